package upstream

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"quillfront/internal/sockets"
)

const (
	// maxResetWait bounds how long the end of a connection waits for a write that is in progress. A write
	// to a connection that was reset returns at once.
	maxResetWait = 100 * time.Millisecond
	// resetPollInterval is the interval at which it looks whether the write has returned.
	resetPollInterval = 50 * time.Microsecond
)

// resetDetector tells the reset of a connection from its end in order. The kernel reports a reset once.
// If a write, in another goroutine, gets that error, reads return what had been received and then EOF:
// a response that ends with its connection would seem to be complete.
type resetDetector struct {
	writing atomic.Bool
	broke   atomic.Bool // a write has got the error of the connection
}

// writeBegins records that a write begins.
func (d *resetDetector) writeBegins() { d.writing.Store(true) }

// writeEnds records the result of a write.
func (d *resetDetector) writeEnds(err error) {
	if err != nil && brokeConnection(err) {
		d.broke.Store(true)
	}
	d.writing.Store(false)
}

// brokeConnection reports whether a write failed with err because its connection broke before the peer
// had ended its side. If the peer had, the kernel reports EPIPE instead.
func brokeConnection(err error) bool {
	return !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// hides reports whether the EOF that was read from c hides a reset.
func (d *resetDetector) hides(c net.Conn) bool {
	if tcp, ok := c.(*net.TCPConn); ok && !sockets.IsClosed(tcp) {
		return false
	}
	for until := time.Now().Add(maxResetWait); d.writing.Load() && time.Now().Before(until); {
		time.Sleep(resetPollInterval)
	}
	return d.broke.Load()
}

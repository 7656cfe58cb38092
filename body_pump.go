package quillfront

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// drainStallTimeout is how long a client may send nothing of a request whose answer it has, and
	// minDrainRate is the minimum mean rate in bytes per second: half the rate of the slowest clients.
	drainStallTimeout = 1500 * time.Millisecond
	minDrainRate      = 32 << 10
	// drainCheckInterval is the interval at which the progress of a client is looked at.
	drainCheckInterval = 100 * time.Millisecond
	// chunkedDrainTime is how long a client is waited for whose answer has no length: net/http's server
	// writes its end only when the handler has returned.
	chunkedDrainTime = time.Second
	// maxDrain is the longest rest of a request that is read after its answer, in bytes.
	maxDrain = 32 << 20
)

// bodyPump reads the body of a request in a goroutine of its own, from the first Read on. After interrupt
// it reads on and discards what comes. If it did not, net/http's server would close the connection over
// unread bytes half a second after an early answer, which resets it, and a client that reads slowly would
// lose the rest of the answer. All methods but interrupt are for one goroutine at a time.
type bodyPump struct {
	body       io.Reader
	controller *http.ResponseController
	reader     *io.PipeReader
	writer     *io.PipeWriter
	received   atomic.Int64 // bytes
	started    atomic.Bool
	done       chan struct{}
	panicked   any // value of a panic of the body's Read; set before done is closed
}

// newBodyPump returns a pump for the body of req, which stop has to end.
func newBodyPump(w http.ResponseWriter, req *http.Request) *bodyPump {
	p := &bodyPump{body: req.Body, controller: http.NewResponseController(w), done: make(chan struct{})}
	p.reader, p.writer = io.Pipe()
	return p
}

// start starts the goroutine.
func (p *bodyPump) start() {
	go func() {
		defer close(p.done)
		defer func() {
			if p.panicked = recover(); p.panicked != nil {
				p.writer.CloseWithError(io.ErrUnexpectedEOF)
			}
		}()
		p.writer.CloseWithError(p.run())
	}()
}

// run copies the body to the pipe to its end, and returns its error. Once nobody reads from the pipe, it
// discards the rest.
func (p *bodyPump) run() error {
	buf := make([]byte, 16<<10)
	discard := false
	for {
		n, err := p.body.Read(buf)
		p.received.Add(int64(n))
		if n > 0 && !discard {
			_, writeErr := p.writer.Write(buf[:n])
			discard = writeErr != nil
		}
		if err != nil {
			return err
		}
	}
}

// Read implements io.Reader.
func (p *bodyPump) Read(b []byte) (int, error) {
	if p.started.CompareAndSwap(false, true) {
		p.start()
	}
	return p.reader.Read(b)
}

// Close implements io.Closer. The body is read on.
func (p *bodyPump) Close() error { return p.reader.Close() }

// interrupt ends a pending Read and all further ones: the rest of the body is not needed.
func (p *bodyPump) interrupt() { p.reader.Close() }

// drain waits until the client has sent all of its request, as long as it does so steadily, but no longer
// than limit; 0: there is none.
func (p *bodyPump) drain(limit time.Duration) {
	p.interrupt()
	if !p.started.Load() {
		return
	}
	begun, first := time.Now(), p.received.Load()
	last, lastAt := first, begun
	tick := time.NewTicker(drainCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-tick.C:
		}
		now, received := time.Now(), p.received.Load()
		if received > last {
			last, lastAt = received, now
		}
		minimum := int64((now.Sub(begun) - drainStallTimeout).Seconds() * minDrainRate)
		if now.Sub(lastAt) >= drainStallTimeout || received-first > maxDrain || received-first < minimum || limit > 0 && now.Sub(begun) >= limit {
			return
		}
	}
}

// stop ends the reading of the body, and repeats a panic of its Read. It must be called before the
// request's handler returns.
func (p *bodyPump) stop() {
	p.interrupt()
	if !p.started.Load() {
		return
	}
	select {
	case <-p.done:
	default:
		p.controller.SetReadDeadline(time.Now())
		<-p.done
		// net/http's server reads up to 256 KiB of what is left.
		p.controller.SetReadDeadline(time.Now().Add(drainStallTimeout))
	}
	if p.panicked != nil {
		panic(p.panicked)
	}
}

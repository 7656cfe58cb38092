package sockets

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// backlogEmptyAfter is how long no connection has to arrive for the backlog to count as empty.
const backlogEmptyAfter = 50 * time.Millisecond

// DrainableListener is a listener that can be drained: it accepts until a given time, and then
// until the backlog is empty. Closing the listener at once would reset the connections that the
// kernel has accepted, and lose the data sent on them.
type DrainableListener struct {
	*net.TCPListener
	mu         sync.Mutex
	drainUntil time.Time // zero: not draining
}

// NewDrainableListener returns a DrainableListener on ln.
func NewDrainableListener(ln *net.TCPListener) *DrainableListener {
	return &DrainableListener{TCPListener: ln}
}

// Drain starts draining. Accept returns net.ErrClosed once the backlog is empty after until.
func (l *DrainableListener) Drain(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainUntil = until
	l.SetDeadline(until.Add(backlogEmptyAfter))
}

// Accept implements net.Listener.
func (l *DrainableListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	if now := time.Now(); !l.drainUntil.IsZero() && now.After(l.drainUntil) {
		l.SetDeadline(now.Add(backlogEmptyAfter))
	}
	l.mu.Unlock()
	c, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed // after a timeout error the server would retry
	}
	return c, err
}

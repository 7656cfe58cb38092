package sockets

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// backlogQuiet is how long no connection may come before the backlog counts as empty.
const backlogQuiet = 50 * time.Millisecond

// DrainableListener is a listener that can be drained: it goes on accepting until a time, and then until no more connections wait. Closing it at once
// would reset those that the kernel has accepted, and what was written to them.
type DrainableListener struct {
	*net.TCPListener
	mu    sync.Mutex
	until time.Time // zero: not draining
}

// NewDrainableListener returns a Backlog of ln.
func NewDrainableListener(ln *net.TCPListener) *DrainableListener {
	return &DrainableListener{TCPListener: ln}
}

// Drain starts the draining; Accept fails with net.ErrClosed once the backlog is empty after until.
func (b *DrainableListener) Drain(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until = until
	b.SetDeadline(until.Add(backlogQuiet))
}

// Accept is the method of net.Listener.
func (b *DrainableListener) Accept() (net.Conn, error) {
	b.mu.Lock()
	if now := time.Now(); !b.until.IsZero() && now.After(b.until) {
		b.SetDeadline(now.Add(backlogQuiet))
	}
	b.mu.Unlock()
	c, err := b.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed // a time-out would make the server try again
	}
	return c, err
}

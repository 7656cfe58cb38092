// Package acceptor accepts client connections from a listener: it enforces the connection limits,
// stops accepting on shutdown, and waits for the remaining connections. Fronts handle the
// connections.
package acceptor

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"quillfront/internal/connlimit"
)

// acceptRetryDelay is the delay after a failed accept: the process may be out of descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// Acceptor accepts the connections of one listener. It is safe for concurrent use.
type Acceptor struct {
	limiter *connlimit.Limiter
	log     *slog.Logger
	ctx     context.Context // canceled by Close
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu            sync.Mutex
	ln            net.Listener
	drainingSince time.Time
}

// New returns an Acceptor that enforces l.
func New(l connlimit.Limits, log *slog.Logger) *Acceptor {
	a := &Acceptor{limiter: connlimit.New(l), log: log}
	a.ctx, a.stop = context.WithCancel(context.Background())
	return a
}

// Context returns a context that Close cancels. Connection handlers end with it.
func (a *Acceptor) Context() context.Context { return a.ctx }

// Stats returns the connection counts.
func (a *Acceptor) Stats() connlimit.Stats { return a.limiter.Stats() }

// DrainingSince returns when the acceptor stopped accepting, or zero while it still accepts.
func (a *Acceptor) DrainingSince() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drainingSince
}

// Serve accepts connections from ln until StopAccepting, and runs handle for each in a goroutine of
// its own. handle has to close its connection. Connections over a limit go to reject, which must
// not block. background runs in a goroutine that Close waits for: it has to end with Context. If
// the acceptor has already stopped accepting, Serve closes ln and returns net.ErrClosed.
func (a *Acceptor) Serve(ln net.Listener, background func(), reject func(net.Conn, connlimit.Reason), handle func(net.Conn, *connlimit.Slot)) error {
	a.mu.Lock()
	if !a.drainingSince.IsZero() {
		a.mu.Unlock()
		ln.Close()
		return net.ErrClosed
	}
	a.ln = ln
	a.wg.Go(background)
	a.mu.Unlock()
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			a.log.Warn("accept", "err", err)
			select {
			case <-time.After(acceptRetryDelay):
				continue
			case <-a.ctx.Done():
				return nil
			}
		}
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		slot, reason := a.limiter.Acquire(host)
		if reason != connlimit.Admitted {
			reject(c, reason)
			continue
		}
		a.wg.Go(func() {
			defer slot.Release()
			handle(c, slot)
		})
	}
}

// StopAccepting closes the listener and rejects all further connections.
func (a *Acceptor) StopAccepting() {
	a.limiter.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drainingSince.IsZero() {
		a.drainingSince = time.Now()
	}
	if a.ln != nil {
		a.ln.Close()
	}
}

// Drain stops accepting and waits until no connections are left. It returns the error of ctx if
// that ends before.
func (a *Acceptor) Drain(ctx context.Context) error {
	a.StopAccepting()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for a.limiter.Stats().Current > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close stops accepting and calls closeAll until no connections are left: it repeats, as an
// accepted connection may not have reached its handler yet. It returns once all goroutines have
// ended.
func (a *Acceptor) Close(closeAll func()) {
	a.StopAccepting()
	a.stop()
	for a.limiter.Stats().Current > 0 {
		closeAll()
		time.Sleep(time.Millisecond)
	}
	a.wg.Wait()
}

// Package door lets clients in at a listener: who may, until when, and how all who are in are waited for at the end. What is done with one is
// the front's.
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

// acceptPause is waited for where no connection can be taken: the descriptors may have run out.
const acceptPause = 10 * time.Millisecond

// Acceptor takes the clients of one listener. Its methods may be called from many goroutines at once.
type Acceptor struct {
	guests *connlimit.Limiter
	log    *slog.Logger
	ctx    context.Context // ends with Close
	stop   context.CancelFunc
	work   sync.WaitGroup

	mu     sync.Mutex
	ln     net.Listener
	ending time.Time
}

// New returns a Door through which as many may come as l says.
func New(l connlimit.Limits, log *slog.Logger) *Acceptor {
	d := &Acceptor{guests: connlimit.New(l), log: log}
	d.ctx, d.stop = context.WithCancel(context.Background())
	return d
}

// Context ends once the door is closed for good, and with it all that is behind it.
func (d *Acceptor) Context() context.Context { return d.ctx }

// Stats counts who is in.
func (d *Acceptor) Stats() connlimit.Stats { return d.guests.Stats() }

// DrainingSince returns since when nobody new is let in; zero: somebody may be.
func (d *Acceptor) DrainingSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ending
}

// Serve lets clients in from ln until the door is shut, and runs each in take, whose connection it does not close; one that may not come
// in is turnAway's, which must not wait for it. beside runs as long as the door is not closed. Serve closes ln.
func (d *Acceptor) Serve(ln net.Listener, beside func(), turnAway func(net.Conn, connlimit.Reason), take func(net.Conn, *connlimit.Slot)) error {
	d.mu.Lock()
	if !d.ending.IsZero() {
		d.mu.Unlock()
		ln.Close()
		return net.ErrClosed
	}
	d.ln = ln
	d.work.Go(beside)
	d.mu.Unlock()
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			d.log.Warn("accept", "err", err)
			select {
			case <-time.After(acceptPause):
				continue
			case <-d.ctx.Done():
				return nil
			}
		}
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		g, why := d.guests.Acquire(host)
		if why != connlimit.Admitted {
			turnAway(c, why)
			continue
		}
		d.work.Go(func() {
			defer g.Release()
			take(c, g)
		})
	}
}

// StopAccepting lets nobody new in from now on.
func (d *Acceptor) StopAccepting() {
	d.guests.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ending.IsZero() {
		d.ending = time.Now()
	}
	if d.ln != nil {
		d.ln.Close()
	}
}

// Drain shuts the door, and waits until all have left or ctx has ended, whose error it returns.
func (d *Acceptor) Drain(ctx context.Context) error {
	d.StopAccepting()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for d.guests.Stats().Current > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close shuts the door and has cut cut off all who are in, again and again, as one may be about to begin. It returns once nothing runs.
func (d *Acceptor) Close(cut func()) {
	d.StopAccepting()
	d.stop()
	for d.guests.Stats().Current > 0 {
		cut()
		time.Sleep(time.Millisecond)
	}
	d.work.Wait()
}

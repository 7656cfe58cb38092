// Package stream proxies raw TCP connections. A frontend accepts the connections of a service, and
// a transport opens the connection to the server that the decision module picks. Opening the
// connection is the request; the bytes that follow are not interpreted.
package stream

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quillfront/internal/acceptor"
	"quillfront/internal/connlimit"
	"quillfront/internal/engine"
	"quillfront/internal/sockets"
	"quillfront/policy"
)

// checkInterval is how often the limits of the streams are checked, and so their precision.
const checkInterval = 100 * time.Millisecond

// Frontend accepts the connections of one service.
type Frontend struct {
	cfg      Config
	engine   *engine.Engine
	budget   *sockets.Budget
	acceptor *acceptor.Acceptor

	mu      sync.Mutex
	streams map[*stream]struct{}
	ended   [reasonCount]uint64
	refused [engine.Dropped + 1]uint64
	bytes   [2]uint64 // of ended streams: to servers, to clients
}

// stream is a client's connection paired with its server connection.
type stream struct {
	client *net.TCPConn
	server *serverConn
	opened time.Time

	lastActivity  atomic.Int64    // nanoseconds since opened
	writeBlocked  [2]atomic.Int64 // when the pending write of a direction began; 0: none is pending
	writeFailed   [2]atomic.Bool  // a write failed; set before writeBlocked is cleared
	halfClosed    atomic.Int64
	bytes         [2]atomic.Uint64
	drainingSince time.Time // used by monitor only

	once   sync.Once
	reason Reason
}

// New returns a Frontend that opens streams through e and takes its descriptors from b. c must have
// passed Check.
func New(c Config, e *engine.Engine, b *sockets.Budget, log *slog.Logger) *Frontend {
	c = c.WithDefaults()
	return &Frontend{cfg: c, engine: e, budget: b, acceptor: acceptor.New(c.ConnLimits, log.With("stream", c.Name)), streams: map[*stream]struct{}{}}
}

// Serve accepts connections from ln, which must be a TCP listener, until Shutdown or Close. It
// closes ln.
func (f *Frontend) Serve(ln net.Listener) error {
	return f.acceptor.Serve(ln, f.monitor, func(c net.Conn, _ connlimit.Reason) { reject(c) }, func(c net.Conn, _ *connlimit.Slot) { f.handle(c.(*net.TCPConn)) })
}

// reject resets the connection of a client that has received no byte. An orderly close could be
// taken for an empty reply.
func reject(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// handle opens a stream for a client's connection and relays it until it ends.
func (f *Frontend) handle(c *net.TCPConn) {
	class, ok := f.engine.Class(f.cfg.Class)
	if !ok {
		reject(c)
		return
	}
	ctx, cancel := context.WithTimeout(f.acceptor.Context(), class.Deadline)
	defer cancel()
	release, err := f.budget.AcquireClient(ctx)
	if err != nil {
		reject(c)
		return
	}
	defer release()
	r := &engine.Request{Class: class.Name, Timeout: class.Deadline}
	if err := f.engine.Submit(r, f.engine.Now()); err != nil {
		reject(c)
		return
	}
	var result engine.Result
	select {
	case result = <-r.Result():
	case <-f.acceptor.Context().Done():
		if f.engine.Withdraw(r) {
			reject(c)
			return
		}
		result = <-r.Result()
	}
	if result.Kind != engine.Served {
		f.mu.Lock()
		f.refused[result.Kind]++
		f.mu.Unlock()
		reject(c)
		return
	}
	l := result.Reply.(*serverConn)
	defer l.finish()
	s := &stream{client: c, server: l, opened: time.Now()}
	f.mu.Lock()
	f.streams[s] = struct{}{}
	f.mu.Unlock()
	f.relay(s)
	f.mu.Lock()
	delete(f.streams, s)
	f.ended[s.reason]++
	f.bytes[0] += s.bytes[0].Load()
	f.bytes[1] += s.bytes[1].Load()
	f.mu.Unlock()
}

// relay copies in both directions until both sides have closed, one is reset, or this side aborts
// the stream.
func (f *Frontend) relay(s *stream) {
	var splice *sockets.Budget
	if f.cfg.Splice {
		splice = f.budget
	}
	var other sync.WaitGroup
	other.Go(func() { s.copyDirection(1, s.client, s.server.TCPConn, splice) })
	s.copyDirection(0, s.server.TCPConn, s.client, splice)
	other.Wait()
	s.once.Do(func() { s.reason = BothClosed })
	s.client.Close()
	s.server.Close()
}

// copyDirection copies one direction. It forwards EOF as a half-close, and a reset of either side
// as a reset of the other.
func (s *stream) copyDirection(direction int, to, from *net.TCPConn, splice *sockets.Budget) {
	err := copyUntilEOF(to, from, splice, func(n int, done bool, err error) {
		now := int64(time.Since(s.opened)) | 1
		s.lastActivity.Store(now)
		if done {
			if err != nil {
				s.writeFailed[direction].Store(true)
			}
			s.writeBlocked[direction].Store(0)
			s.bytes[direction].Add(uint64(n))
		} else {
			s.writeBlocked[direction].Store(now)
		}
	})
	switch {
	case err == nil && s.wasReset(direction, from):
		s.abort(Reset)
	case err == nil:
		to.CloseWrite()
		s.halfClosed.CompareAndSwap(0, int64(time.Since(s.opened))|1)
	default:
		s.abort(Reset)
	}
}

// wasReset reports whether the EOF that was read of from was in fact a reset. The kernel reports
// the error once, and a write in the other direction may have consumed it, so that the read sees
// EOF. Without this check a truncated stream would end like a complete one. A write to a connection
// that is gone returns at once, so the wait lasts no longer than a single write.
func (s *stream) wasReset(direction int, from *net.TCPConn) bool {
	if !sockets.IsClosed(from) {
		return false
	}
	other := 1 - direction
	for s.writeBlocked[other].Load() != 0 {
		time.Sleep(50 * time.Microsecond)
	}
	return s.writeFailed[other].Load()
}

// abort resets both connections of a stream. Every end that the peers have not sent themselves is a
// reset: either peer would take EOF for the end of what the other one sends, and a truncated
// transfer for a complete one.
func (s *stream) abort(why Reason) {
	s.once.Do(func() { s.reason = why })
	s.client.SetLinger(0)
	s.server.SetLinger(0)
	s.client.Close()
	s.server.Close()
}

// state returns a snapshot of the times that endReason decides by.
func (s *stream) state() streamState {
	f := streamState{opened: s.opened, lastActivity: s.at(s.lastActivity.Load()), drainingSince: s.drainingSince}
	if v := s.halfClosed.Load(); v != 0 {
		f.halfClosed = s.at(v)
	}
	for i := range s.writeBlocked {
		if v := s.writeBlocked[i].Load(); v != 0 && (f.writeBlocked.IsZero() || s.at(v).Before(f.writeBlocked)) {
			f.writeBlocked = s.at(v)
		}
	}
	return f
}

// at converts nanoseconds since opened to a time.
func (s *stream) at(ns int64) time.Time { return s.opened.Add(time.Duration(ns)) }

// monitor ends the streams that have reached a limit, until the frontend is closed.
func (f *Frontend) monitor() {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-f.acceptor.Context().Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		ending := f.acceptor.DrainingSince()
		f.mu.Lock()
		all := make([]*stream, 0, len(f.streams))
		for s := range f.streams {
			all = append(all, s)
		}
		f.mu.Unlock()
		takes := map[policy.ServerID]bool{}
		for _, s := range all {
			id := s.server.server
			ok, known := takes[id]
			if !known {
				ok = f.engine.ServerUsable(id)
				takes[id] = ok
			}
			switch {
			case ok:
				s.drainingSince = time.Time{}
			case s.drainingSince.IsZero():
				s.drainingSince = now
			}
			facts := s.state()
			facts.shutdownSince = ending
			if why, end := f.cfg.endReason(now, facts); end {
				s.abort(why)
			}
		}
	}
}

// Shutdown stops accepting connections and waits until all streams have ended. Streams that last
// beyond the shutdown timeout, or until ctx is done, are reset.
func (f *Frontend) Shutdown(ctx context.Context) error {
	err := f.acceptor.Drain(ctx)
	f.Close()
	return err
}

// Close resets all streams and returns when all goroutines of the frontend have ended.
func (f *Frontend) Close() {
	f.acceptor.Close(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for s := range f.streams {
			s.abort(Reset)
		}
	})
}

// Stats counts the streams of a Frontend.
type Stats struct {
	Connections connlimit.Stats
	Open        int
	Ended       map[string]uint64 // by reason
	Refused     uint64            // not opened: the servers were too busy
	Failed      uint64            // not opened: no server could be reached in time
	Bytes       [2]uint64         // to servers and to clients, of all streams
}

// Stats returns the current counts.
func (f *Frontend) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Stats{
		Connections: f.acceptor.Stats(), Open: len(f.streams), Ended: map[string]uint64{}, Refused: f.refused[engine.Refused],
		Failed: f.refused[engine.Failed] + f.refused[engine.Dropped], Bytes: f.bytes,
	}
	for r, n := range f.ended {
		if n > 0 {
			s.Ended[Reason(r).String()] = n
		}
	}
	for open := range f.streams {
		s.Bytes[0] += open.bytes[0].Load()
		s.Bytes[1] += open.bytes[1].Load()
	}
	return s
}

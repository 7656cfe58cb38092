package proxy

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"quillfront/internal/acceptor"
	"quillfront/internal/connlimit"
	"quillfront/internal/mysql/wire"
	"quillfront/internal/pool"
	"quillfront/internal/shutdown"
	"quillfront/internal/sockets"
)

// lookEvery is how often sessions at rest are looked at: their limits are as exact.
const lookEvery = 50 * time.Millisecond

// smallStatement is what a statement may have without its bytes being counted.
const smallStatement = 64 << 10

// Frontend takes the clients of one service.
type Frontend struct {
	cfg       Config
	pool      *pool.Pool
	transport *Transport
	budget    *sockets.Budget
	users     *directory
	door      *acceptor.Acceptor
	room      *semaphore.Weighted // for the bytes of statements
	log       *slog.Logger
	schedule  atomic.Pointer[shutdown.Schedule] // of the end; nil: it is not to end

	mu       sync.Mutex
	sessions map[uint32]*client
	last     uint32

	statements [answers]atomic.Uint64
	moved      atomic.Uint64
	drained    atomic.Uint64
}

// answer is how a statement was answered.
type answer int

const (
	served  answer = iota
	errored        // by a server
	refused        // with 9001
	unknown        // with 9002
	lost           // with any other of this side's errors
	left           // its client left
	answers
)

// New returns a front of p, whose servers t reaches, which takes descriptors from b. c must have been checked.
func New(c Config, p *pool.Pool, t *Transport, b *sockets.Budget, log *slog.Logger) *Frontend {
	c = c.WithDefaults()
	log = log.With("mysql", c.Name)
	return &Frontend{
		cfg: c, pool: p, transport: t, budget: b, users: newDirectory(c.Users), door: acceptor.New(c.ConnLimits, log), room: semaphore.NewWeighted(c.StatementMemory), log: log,
		sessions: map[uint32]*client{},
	}
}

// SetUsers makes users those that may log in from now on.
func (f *Frontend) SetUsers(users []User) { f.users.set(users) }

// Serve takes connections from ln until Shutdown or Close. It closes ln.
func (f *Frontend) Serve(ln net.Listener) error { return f.door.Serve(ln, f.look, turnAway, f.take) }

// turnAway tells a client that it may not connect. It waits for nobody.
func turnAway(c net.Conn, why connlimit.Reason) {
	e := wire.TooManyConnections(why.String())
	if why == connlimit.Closed {
		e = wire.ConnectionClosing("the proxy is ending")
	}
	b := e.Append(make([]byte, 4))
	n := len(b) - 4
	b[0], b[1] = byte(n), byte(n>>8)
	c.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
	c.Write(b)
	c.Close()
}

// take serves one client until it leaves.
func (f *Frontend) take(c net.Conn, g *connlimit.Slot) {
	defer c.Close()
	ctx, cancel := context.WithTimeout(f.door.Context(), f.cfg.LoginTimeout)
	release, err := f.budget.AcquireClient(ctx)
	cancel()
	if err != nil {
		turnAway(c, connlimit.TotalLimit)
		return
	}
	defer release()
	f.mu.Lock()
	if f.door.Context().Err() != nil {
		f.mu.Unlock()
		return
	}
	for f.last++; f.last == 0 || f.sessions[f.last] != nil; f.last++ {
	}
	s := newClient(f, f.last, c, g)
	f.sessions[s.id] = s
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.sessions, s.id)
		f.mu.Unlock()
	}()
	s.run()
}

// find returns a session by its number.
func (f *Frontend) find(id uint32) *client {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sessions[id]
}

func (f *Frontend) all() []*client {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.sessions))
}

// look looks at sessions at rest until the front is closed.
func (f *Frontend) look() {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-f.door.Context().Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		for _, s := range f.all() {
			s.look(now)
		}
	}
}

// Shutdown takes nobody new, closes sessions as they come to rest outside of a transaction, and all that are left as the
// patience ends. A statement that has no answer then is told as one that may have run. If ctx ends before, they are cut off.
func (f *Frontend) Shutdown(ctx context.Context) error {
	schedule := shutdown.WithinContext(ctx, f.cfg.ShutdownTimeout)
	f.schedule.Store(&schedule)
	ctx, cancel := context.WithDeadline(ctx, schedule.Exit)
	defer cancel()
	err := f.door.Drain(ctx)
	f.Close()
	return err
}

// ending returns the schedule by which the front ends; it is zero as long as it is not to.
func (f *Frontend) ending() shutdown.Schedule {
	if s := f.schedule.Load(); s != nil {
		return *s
	}
	return shutdown.Schedule{}
}

// Close cuts all sessions off, and returns once nothing of the front runs.
func (f *Frontend) Close() {
	f.door.Close(func() {
		for _, s := range f.all() {
			s.raw.Close()
		}
	})
}

// Stats counts what a front does.
type Stats struct {
	Connections  connlimit.Stats
	Sessions     int
	Bound        int               // of them, in a transaction or otherwise bound to their server
	Statements   map[string]uint64 // by answer
	Migrated     uint64            // sessions that went on at another server
	DrainExpired uint64            // sessions whose server took nothing more and whose time there was up
	ServerConns  ConnCounts
}

// Stats returns the present counts.
func (f *Frontend) Stats() Stats {
	all := f.all()
	s := Stats{Connections: f.door.Stats(), Sessions: len(all), Statements: map[string]uint64{}, Migrated: f.moved.Load(), DrainExpired: f.drained.Load(), ServerConns: f.transport.Stats()}
	for _, c := range all {
		if c.bound.Load() {
			s.Bound++
		}
	}
	for i, name := range []string{"served", "error", "refused", "unknown", "lost", "left"} {
		if n := f.statements[i].Load(); n > 0 {
			s.Statements[name] = n
		}
	}
	return s
}

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

// idleCheckInterval is the interval at which idle sessions are checked. The time limits of sessions
// are accurate to within it.
const idleCheckInterval = 50 * time.Millisecond

// unaccountedStatementSize is the largest statement whose bytes do not count towards
// Config.StatementMemory.
const unaccountedStatementSize = 64 << 10

// Frontend serves the clients of one service.
type Frontend struct {
	cfg             Config
	pool            *pool.Pool
	transport       *Transport
	budget          *sockets.Budget
	users           *userDirectory
	acceptor        *acceptor.Acceptor
	statementBudget *semaphore.Weighted // bytes of large statements
	log             *slog.Logger
	schedule        atomic.Pointer[shutdown.Schedule] // nil until Shutdown is called

	mu       sync.Mutex
	sessions map[uint32]*clientSession
	lastID   uint32

	outcomes     [outcomeCount]atomic.Uint64
	migrated     atomic.Uint64
	drainExpired atomic.Uint64
}

// outcome says how a statement was answered.
type outcome int

const (
	served  outcome = iota
	errored         // with an error of a server
	refused         // with 9001
	unknown         // with 9002
	lost            // with any other error of the proxy
	left            // not answered: the client disconnected
	outcomeCount
)

// New returns a frontend that submits statements to p. t is the transport of p, and b is the
// descriptor budget. c must have passed Check.
func New(c Config, p *pool.Pool, t *Transport, b *sockets.Budget, log *slog.Logger) *Frontend {
	c = c.WithDefaults()
	log = log.With("mysql", c.Name)
	return &Frontend{
		cfg: c, pool: p, transport: t, budget: b, users: newUserDirectory(c.Users), acceptor: acceptor.New(c.ConnLimits, log), statementBudget: semaphore.NewWeighted(c.StatementMemory), log: log,
		sessions: map[uint32]*clientSession{},
	}
}

// SetUsers replaces the users that may log in. Sessions that are logged in continue.
func (f *Frontend) SetUsers(users []User) { f.users.set(users) }

// Serve accepts connections from ln until Shutdown or Close is called. It closes ln.
func (f *Frontend) Serve(ln net.Listener) error {
	return f.acceptor.Serve(ln, f.checkIdleSessions, reject, f.serveClient)
}

// reject tells a client that it may not connect and closes the connection. The write may block for
// 10 ms at most.
func reject(c net.Conn, why connlimit.Reason) {
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

// serveClient serves one client until it disconnects.
func (f *Frontend) serveClient(c net.Conn, g *connlimit.Slot) {
	defer c.Close()
	ctx, cancel := context.WithTimeout(f.acceptor.Context(), f.cfg.LoginTimeout)
	release, err := f.budget.AcquireClient(ctx)
	cancel()
	if err != nil {
		reject(c, connlimit.TotalLimit)
		return
	}
	defer release()
	f.mu.Lock()
	if f.acceptor.Context().Err() != nil {
		f.mu.Unlock()
		return
	}
	for f.lastID++; f.lastID == 0 || f.sessions[f.lastID] != nil; f.lastID++ {
	}
	s := newClientSession(f, f.lastID, c, g)
	f.sessions[s.id] = s
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.sessions, s.id)
		f.mu.Unlock()
	}()
	s.serve()
}

// findSession returns the session with the given connection ID, or nil.
func (f *Frontend) findSession(id uint32) *clientSession {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sessions[id]
}

func (f *Frontend) allSessions() []*clientSession {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.sessions))
}

// checkIdleSessions checks idle sessions periodically until the frontend is closed.
func (f *Frontend) checkIdleSessions() {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-f.acceptor.Context().Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		for _, s := range f.allSessions() {
			s.checkIdle(now)
		}
	}
}

// Shutdown stops accepting clients and closes each session as soon as it is idle outside of a
// transaction. Sessions that remain at the end of Config.ShutdownTimeout are closed; a statement
// without an answer by then is reported as one that may have run. If ctx ends earlier, the
// remaining sessions are disconnected.
func (f *Frontend) Shutdown(ctx context.Context) error {
	schedule := shutdown.WithinContext(ctx, f.cfg.ShutdownTimeout)
	f.schedule.Store(&schedule)
	ctx, cancel := context.WithDeadline(ctx, schedule.Exit)
	defer cancel()
	err := f.acceptor.Drain(ctx)
	f.Close()
	return err
}

// shutdownSchedule returns the schedule of the shutdown, or zero if Shutdown was not called.
func (f *Frontend) shutdownSchedule() shutdown.Schedule {
	if s := f.schedule.Load(); s != nil {
		return *s
	}
	return shutdown.Schedule{}
}

// Close disconnects all sessions and returns when all goroutines of the frontend have ended.
func (f *Frontend) Close() {
	f.acceptor.Close(func() {
		for _, s := range f.allSessions() {
			s.raw.Close()
		}
	})
}

// Stats holds the statistics of a frontend.
type Stats struct {
	Connections  connlimit.Stats
	Sessions     int
	Bound        int               // sessions in a transaction or otherwise bound to their server
	Statements   map[string]uint64 // by outcome
	Migrated     uint64            // times a session left a draining server that it was not bound to
	DrainExpired uint64            // sessions cut from a draining server after Config.DrainTimeout
	ServerConns  ConnCounts
}

// Stats returns the current statistics.
func (f *Frontend) Stats() Stats {
	all := f.allSessions()
	s := Stats{Connections: f.acceptor.Stats(), Sessions: len(all), Statements: map[string]uint64{}, Migrated: f.migrated.Load(), DrainExpired: f.drainExpired.Load(), ServerConns: f.transport.Stats()}
	for _, c := range all {
		if c.bound.Load() {
			s.Bound++
		}
	}
	for i, name := range []string{"served", "error", "refused", "unknown", "lost", "left"} {
		if n := f.outcomes[i].Load(); n > 0 {
			s.Statements[name] = n
		}
	}
	return s
}

package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"quillfront/internal/engine"
	"quillfront/internal/mysql/session"
	"quillfront/internal/mysql/wire"
	"quillfront/internal/pool"
	"quillfront/internal/sockets"
	"quillfront/policy"
)

const (
	// mostPrepared bounds the statements that a connection has prepared.
	mostPrepared = 64
	// idleShare is the part of a server's idle limit after which an idle connection is closed.
	idleShare = 0.6
	// killTime is how long the end of a statement that nobody awaits may take to be ordered, and mostKills how many orders may be under
	// way.
	killTime  = 2 * time.Second
	mostKills = 4
	probeTime = 400 * time.Millisecond
)

// job is what one statement takes to be run anywhere.
type job struct {
	command  wire.Command
	message  []byte             // as it is sent, but for an EXECUTE
	stmt     *prepared          // an EXECUTE's
	exec     *session.Execution // the same
	long     [][]byte           // messages to come before it, of stmt
	profile  profile
	schema   string
	settings []session.Setting
	clean    bool // nothing that another session has left may be on the connection
	read     bool
	target   *atomic.Pointer[server] // is told where it runs
	open     bool                    // a whole session is to be opened instead, with the client's own credentials
}

// prepared is a statement that a client has prepared.
type prepared struct {
	id     uint32 // the client's
	sql    string
	schema string
	params int
	types  []byte
	long   [][]byte
	size   int // of long, in bytes
	scan   session.Statement
}

// exchange is a command on a connection whose reply has begun. Whoever was given it ends it once.
type exchange struct {
	*server
	reply *session.ReplyTracker
	held  [][]byte      // the first messages of the reply
	hello wire.Greeting // with job.open
	at    policy.ServerID
	ended chan policy.Status
	once  sync.Once
}

// end has the attempt end; the connection is the caller's to keep or close before.
func (x *exchange) end(s policy.Status) { x.once.Do(func() { x.ended <- s }) }

// Transport implements engine.Transport for MySQL: an attempt sends one statement on one connection, once, and lasts until the session
// that it was sent for lets go of the connection.
type Transport struct {
	cfg      Config
	dialTime time.Duration
	idleTime time.Duration
	budget   *sockets.Budget
	load     func(engine.Endpoint) string
	prober   pool.Prober // nil: none
	log      *slog.Logger
	some     rate.Sometimes // of what servers do wrong
	ctx      context.Context
	stop     context.CancelFunc
	work     sync.WaitGroup
	kills    chan struct{}
	out      pool.InFlight // connections in use

	mu     sync.Mutex
	idle   map[engine.Endpoint][]*server // the last one used comes last
	closed bool
	counts ConnCounts
}

// ConnCounts counts what became of connections to servers.
type ConnCounts struct {
	Dials, Reuses, Resets, Kills uint64
	Idle                         int
}

// NewTransport returns a Transport that takes descriptors from b. With a prober, load tells where it asks.
func NewTransport(c Config, dial, idle time.Duration, b *sockets.Budget, load func(engine.Endpoint) string, p pool.Prober, log *slog.Logger) *Transport {
	t := &Transport{
		cfg: c.WithDefaults(), dialTime: dial, idleTime: time.Duration(float64(idle) * idleShare), budget: b, load: load, prober: p, log: log,
		some: rate.Sometimes{First: 1, Interval: 10 * time.Second}, idle: map[engine.Endpoint][]*server{},
		kills: make(chan struct{}, mostKills),
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	t.work.Go(t.sweep)
	return t
}

// Close closes the idle connections, and keeps none from now on.
func (t *Transport) Close() {
	t.stop()
	t.mu.Lock()
	t.closed = true
	var all []*server
	for _, l := range t.idle {
		all = append(all, l...)
	}
	clear(t.idle)
	t.mu.Unlock()
	for _, s := range all {
		s.Close()
	}
	t.work.Wait()
}

// Stats returns the present counts.
func (t *Transport) Stats() ConnCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	for _, l := range t.idle {
		c.Idle += len(l)
	}
	return c
}

// EvictIdle closes one idle connection, and reports whether there was one.
func (t *Transport) EvictIdle() bool {
	t.mu.Lock()
	var s *server
	for to, l := range t.idle {
		if len(l) > 0 {
			s = l[0]
			t.idle[to] = l[1:]
			break
		}
	}
	t.mu.Unlock()
	if s == nil {
		return false
	}
	s.Close()
	return true
}

// CloseIdle is a method of engine.Transport.
func (t *Transport) CloseIdle(to engine.Endpoint) {
	t.mu.Lock()
	l := t.idle[to]
	delete(t.idle, to)
	t.mu.Unlock()
	for _, s := range l {
		s.Close()
	}
}

// sweep closes connections that have been idle for too long, until Close.
func (t *Transport) sweep() {
	tick := time.NewTicker(max(t.idleTime/4, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-tick.C:
		}
		var old []*server
		t.mu.Lock()
		for to, l := range t.idle {
			n := 0
			for n < len(l) && time.Since(l[n].since) > t.idleTime {
				n++
			}
			old = append(old, l[:n]...)
			if l = slices.Clone(l[n:]); len(l) == 0 {
				delete(t.idle, to)
			} else {
				t.idle[to] = l
			}
		}
		t.mu.Unlock()
		for _, s := range old {
			s.Close()
		}
	}
}

// keep puts a connection back on which nothing is under way.
func (t *Transport) keep(s *server) {
	s.until, s.since = time.Time{}, time.Now()
	s.runs(false)
	if s.wire.R.Buffered() > 0 || s.killed || t.budget.Scarce() { // the kernel is asked when it is used again
		s.Close()
		return
	}
	var old *server
	t.mu.Lock()
	l := t.idle[s.to]
	switch {
	case t.closed:
		old = s
	case len(l) >= t.cfg.MaxIdlePerServer:
		old = l[0]
		t.idle[s.to] = append(slices.Clone(l[1:]), s)
	default:
		t.idle[s.to] = append(l, s)
	}
	t.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// reuse returns an idle connection for a job: one that was told the same settings if there is one.
func (t *Transport) reuse(to engine.Endpoint, j *job) *server {
	want := said{schema: j.schema, settings: joined(j.settings)}
	for {
		t.mu.Lock()
		l := t.idle[to]
		best := -1
		for i := len(l) - 1; i >= 0; i-- {
			s := l[i]
			if s.profile != j.profile || s.said.schema != "" && j.schema == "" {
				continue // there is no way to leave a schema
			}
			if s.said == want && !j.clean {
				best = i
				break
			}
			if best < 0 && resettable(s.profile.charset) {
				best = i
			}
		}
		if best < 0 {
			t.mu.Unlock()
			return nil
		}
		s := l[best]
		t.idle[to] = slices.Delete(slices.Clone(l), best, best+1)
		t.mu.Unlock()
		if time.Since(s.since) < t.idleTime && s.quiet() {
			return s
		}
		s.Close()
	}
}

// charsets are SET NAMES for the collations that clients mostly log in with, which COM_RESET_CONNECTION forgets.
var charsets = map[byte]string{
	8: "latin1 collate latin1_swedish_ci", 33: "utf8mb3 collate utf8mb3_general_ci", 45: "utf8mb4 collate utf8mb4_general_ci",
	46: "utf8mb4 collate utf8mb4_bin", 63: "binary", 83: "utf8mb3 collate utf8mb3_bin", 224: "utf8mb4 collate utf8mb4_unicode_ci",
	255: "utf8mb4 collate utf8mb4_0900_ai_ci",
}

func resettable(charset byte) bool { return charsets[charset] != "" }

func joined(settings []session.Setting) string {
	var b strings.Builder
	for _, s := range settings {
		b.WriteString(s.SQL)
		b.WriteByte(0)
	}
	return b.String()
}

// errSync marks an error of what is said to a server before a statement: nothing of the statement has run.
type errSync struct{ error }

func (e errSync) Unwrap() error { return e.error }

// acquire returns a connection that stands as a job wants it.
func (t *Transport) acquire(ctx context.Context, a *engine.Attempt, to engine.Endpoint, j *job) (*server, error) {
	s := t.reuse(to, j)
	if s != nil {
		t.count(func(c *ConnCounts) { c.Reuses++ })
	} else {
		var err error
		if s, err = t.login(ctx, to, j.profile, j.schema); err != nil {
			return nil, errSync{err}
		}
		t.count(func(c *ConnCounts) { c.Dials++ })
	}
	s.until = a.Deadline
	if !a.Sending(func() { s.raw.Close() }) {
		t.keep(s)
		return nil, errSync{context.Canceled}
	}
	if err := t.sync(s, j); err != nil {
		s.Close()
		return nil, errSync{err}
	}
	return s, nil
}

func (t *Transport) count(f func(*ConnCounts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.counts)
}

// sync tells a server the settings of a session.
func (t *Transport) sync(s *server, j *job) error {
	want := said{schema: j.schema, settings: joined(j.settings)}
	if s.said == want && !j.clean {
		return nil
	}
	if s.said.settings != "" || s.said.dirty || j.clean && s.since != (time.Time{}) {
		t.count(func(c *ConnCounts) { c.Resets++ })
		if err := s.simple([]byte{byte(wire.ResetConnection)}); err != nil {
			return err
		}
		s.prepared, s.order = map[string]*remote{}, nil
		s.said.settings, s.said.dirty = "", false
		if err := s.simple([]byte("\x03set names " + charsets[s.profile.charset])); err != nil {
			return err
		}
	}
	if s.said.schema != j.schema {
		if err := s.simple([]byte("\x02" + j.schema)); err != nil {
			return err
		}
		s.said.schema = j.schema
	}
	for _, set := range j.settings {
		if err := s.simple([]byte("\x03" + set.SQL)); err != nil {
			return err
		}
	}
	s.said = want
	return nil
}

// simple sends a command whose reply is an OK or an error.
func (s *server) simple(b []byte) error {
	s.wire.Reset()
	if err := s.send(b); err != nil {
		return err
	}
	r, err := s.wire.Read(session.MaxControlPacket)
	switch {
	case err != nil:
		return err
	case len(r) > 0 && r[0] == 0:
		return nil
	case len(r) > 0 && r[0] == 0xff:
		return wire.ParseError(r, wire.Protocol41)
	}
	return fmt.Errorf("%w: no OK", wire.ErrMalformed)
}

// errParams tells that a statement has other parameters than when it was prepared.
var errParams = errors.New("the statement has other parameters now")

// prepare has a statement prepared on a server, unless it is.
func (s *server) prepare(p *prepared) (r *remote, err error) {
	key := p.schema + "\x00" + p.sql
	if r := s.prepared[key]; r != nil {
		return r, nil
	}
	for len(s.order) >= mostPrepared {
		old := s.prepared[s.order[0]]
		delete(s.prepared, s.order[0])
		s.order = s.order[1:]
		s.wire.Reset()
		if err := s.wire.Write([]byte{byte(wire.StmtClose), byte(old.id), byte(old.id >> 8), byte(old.id >> 16), byte(old.id >> 24)}); err != nil {
			return nil, err
		}
	}
	if now := s.said.schema; p.schema != now { // its names mean what they meant when it was prepared
		if p.schema == "" || now == "" {
			return nil, wire.NotSupported("a statement prepared without a schema, once there is one,")
		}
		if err := s.simple([]byte("\x02" + p.schema)); err != nil {
			return nil, err
		}
		defer func() {
			if err == nil {
				err = s.simple([]byte("\x02" + now))
			}
		}()
	}
	s.wire.Reset()
	if err := s.send(append([]byte{byte(wire.StmtPrepare)}, p.sql...)); err != nil {
		return nil, err
	}
	reply := session.NewReplyTracker(wire.StmtPrepare, s.profile.caps)
	for !reply.Done() {
		piece, err := s.wire.Peek()
		if err != nil {
			return nil, err
		}
		whole, err := reply.MustReadWhole(piece)
		if err != nil {
			return nil, err
		}
		b, err := s.wire.Read(session.MaxControlPacket)
		if err != nil {
			return nil, err
		}
		if whole {
			err = reply.Consume(b)
		} else {
			reply.Forwarded(len(b))
		}
		if err != nil {
			return nil, err
		}
	}
	if reply.Error != nil {
		return nil, reply.Error
	}
	r = &remote{id: reply.Prepared.ID, params: int(reply.Prepared.Params)}
	s.know(key, r)
	if r.params != p.params {
		return nil, errParams
	}
	return r, nil
}

func (s *server) know(key string, r *remote) {
	s.prepared[key] = r
	s.order = append(s.order, key)
}

// write sends the command of a job. Nothing of it has been sent where the error is an errSync.
func (s *server) write(j *job) error {
	message := j.message
	if j.stmt != nil {
		r, err := s.prepare(j.stmt)
		if err != nil {
			return errSync{err}
		}
		for _, l := range j.long {
			s.wire.Reset()
			l = append([]byte(nil), l...)
			l[1], l[2], l[3], l[4] = byte(r.id), byte(r.id>>8), byte(r.id>>16), byte(r.id>>24)
			if err := s.wire.Write(l); err != nil {
				return errSync{err}
			}
		}
		message = j.exec.Message(r.id, r.types == string(j.exec.Types))
		r.types = string(j.exec.Types)
	}
	s.wire.Reset()
	return s.send(message)
}

// mostHeld is how much of a reply is held before it is passed on. What is spoilt shows mostly at its begin, another attempt can be made
// until then, and clients understand an error in the place of a row, but not of a definition.
const mostHeld = 16 << 10

// begin reads the first messages of a reply: all of a short one.
func (s *server) begin(command wire.Command) (*session.ReplyTracker, [][]byte, error) {
	reply := session.NewReplyTracker(command, s.profile.caps)
	var held [][]byte
	for size := 0; !reply.Done(); {
		piece, err := s.wire.Peek()
		if err != nil {
			return reply, held, err
		}
		whole, err := reply.MustReadWhole(piece)
		if err != nil {
			return reply, held, err
		}
		if !whole && reply.InRows() && size+piece.Len > mostHeld {
			break
		}
		b, err := s.wire.Read(session.MaxControlPacket)
		if err != nil {
			return reply, held, err
		}
		if whole {
			if err := reply.Consume(b); err != nil {
				return reply, held, err
			}
		} else {
			reply.Forwarded(len(b))
		}
		held = append(held, b)
		if size += len(b); size > session.MaxControlPacket {
			return reply, held, fmt.Errorf("%w: definitions of over %d bytes", wire.ErrMalformed, session.MaxControlPacket)
		}
	}
	return reply, held, nil
}

// Do is a method of engine.Transport.
func (t *Transport) Do(a *engine.Attempt, to engine.Endpoint) engine.AttemptResult {
	j := a.Payload().(*job)
	ctx, cancel := context.WithDeadline(t.ctx, a.Deadline)
	defer cancel()
	if !a.OnCancel(cancel) {
		return engine.AttemptResult{Status: policy.Canceled}
	}
	t.out.Add(a.Server, 1)
	defer t.out.Add(a.Server, -1)
	if most := t.cfg.MaxConnsPerServer; most > 0 && t.out.Count(a.Server) > most {
		return engine.AttemptResult{Status: policy.Overloaded}
	}
	if j.open {
		return t.openSession(ctx, a, to)
	}
	s, err := t.acquire(ctx, a, to, j)
	if err != nil {
		return t.failed(a, nil, j, err)
	}
	s.runs(true)
	if j.target != nil {
		j.target.Store(s)
	}
	if err := s.write(j); err != nil {
		return t.failed(a, s, j, err)
	}
	reply, b, err := s.begin(j.command)
	if err != nil {
		return t.failed(a, s, j, err)
	}
	if e := reply.Error; e != nil && closing(e.Code) && j.read {
		s.Close()
		return engine.AttemptResult{Status: policy.AppError}
	}
	return t.hand(a, &exchange{server: s, reply: reply, held: b, at: a.Server})
}

// hand gives an exchange to whoever awaits it, and waits for its end.
func (t *Transport) hand(a *engine.Attempt, x *exchange) engine.AttemptResult {
	x.ended = make(chan policy.Status, 1)
	if !a.OnCancel(func() {}) || !a.BeginReply(x) {
		x.Close()
		t.kill(x.to, x.thread)
		return engine.AttemptResult{Status: policy.Canceled}
	}
	return engine.AttemptResult{Status: <-x.ended, Load: t.own(a.Server)}
}

// openSession connects for a client that logs in at the server itself.
func (t *Transport) openSession(ctx context.Context, a *engine.Attempt, to engine.Endpoint) engine.AttemptResult {
	s, g, err := t.dial(ctx, to)
	if err != nil {
		return t.failed(a, nil, &job{read: true}, errSync{err})
	}
	s.until = time.Time{}
	return t.hand(a, &exchange{server: s, hello: g, at: a.Server})
}

// closing are the codes by which a server says that it takes nothing more.
func closing(code uint16) bool { return code == 1053 || code == 3032 || code == 1040 || code == 1203 }

// failed tells how an attempt has ended that has no reply. What is only due to this side's own shortage says nothing of the server.
func (t *Transport) failed(a *engine.Attempt, s *server, j *job, err error) engine.AttemptResult {
	if s != nil {
		s.Close()
	}
	var sync errSync
	status := policy.Reset
	var answer *wire.Error
	switch {
	case a.Canceled():
		if s != nil {
			t.kill(s.to, s.thread)
		}
		return engine.AttemptResult{Status: policy.Canceled}
	case errors.Is(err, sockets.ErrNoDescriptor) || t.ctx.Err() != nil:
		status = policy.NotSent
	case errors.As(err, &sync) && errors.As(err, &answer) && (answer.Code == 1040 || answer.Code == 1203):
		status = policy.Overloaded
	case errors.As(err, &sync):
		status = policy.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = policy.Timeout
		if s != nil {
			t.kill(s.to, s.thread)
		}
	}
	if answer != nil || errors.Is(err, wire.ErrMalformed) || errors.Is(err, session.ErrUnexpectedData) || errors.Is(err, wire.ErrSequence) {
		t.some.Do(func() { t.log.Warn("a server's answer cannot be used", "server", string(a.Server), "err", err) })
	}
	t.log.Debug("attempt", "server", string(a.Server), "status", status, "err", err)
	return engine.AttemptResult{Status: status}
}

// kill orders the end of a statement that nobody awaits any more: a server that works on it would notice only at its end.
func (t *Transport) kill(to engine.Endpoint, thread uint32) {
	if t.cfg.Account.User == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	select {
	case t.kills <- struct{}{}:
	default:
		return
	}
	t.work.Go(func() {
		defer func() { <-t.kills }()
		if err := t.order(to, thread); err != nil {
			t.log.Debug("kill", "server", string(to.ID), "err", err)
		}
	})
}

// end orders the end of a statement that is under way on a connection, and reports whether one was.
func (t *Transport) end(s *server) (bool, error) {
	s.killing.Lock()
	defer s.killing.Unlock()
	if !s.running {
		return false, nil
	}
	s.killed = true
	return true, t.order(s.to, s.thread)
}

// order orders a server to end the statement of a thread.
func (t *Transport) order(to engine.Endpoint, thread uint32) error {
	ctx, cancel := context.WithTimeout(t.ctx, killTime)
	defer cancel()
	t.count(func(c *ConnCounts) { c.Kills++ })
	return t.with(ctx, to, func(s *server) error {
		return s.simple([]byte("\x03kill query " + strconv.FormatUint(uint64(thread), 10)))
	})
}

// own_ has f use a connection of this side's own.
func (t *Transport) with(ctx context.Context, to engine.Endpoint, f func(*server) error) error {
	j := &job{profile: profile{caps: wire.DeprecateEOF, charset: 45}}
	s := t.reuse(to, j)
	if s == nil {
		var err error
		if s, err = t.login(ctx, to, j.profile, ""); err != nil {
			return err
		}
	}
	s.until, _ = ctx.Deadline()
	if err := f(s); err != nil {
		s.Close()
		return err
	}
	t.keep(s)
	return nil
}

// own is the load of a server as this process makes it, where it is not asked.
func (t *Transport) own(id policy.ServerID) *policy.Load {
	if t.prober != nil || t.cfg.LoadQuery != "" {
		return nil
	}
	return t.out.Load(id)
}

// Probe is a method of engine.Transport.
func (t *Transport) Probe(ctx context.Context, to engine.Endpoint) (policy.Status, *policy.Load) {
	switch {
	case t.prober != nil:
		to.Addr = t.load(to)
		return t.prober.Probe(ctx, to)
	case t.cfg.LoadQuery == "":
		return policy.OK, t.own(to.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	var n float64
	err := t.with(ctx, to, func(s *server) (err error) {
		n, err = s.load(t.cfg.LoadQuery)
		return err
	})
	var answer *wire.Error
	switch {
	case err == nil:
		return policy.OK, pool.QueueReport(n)
	case errors.Is(err, sockets.ErrNoDescriptor):
		return policy.NotSent, nil
	case errors.As(err, &answer) && (answer.Code == 1040 || answer.Code == 1203):
		return policy.Overloaded, nil
	case errors.As(err, &answer) || errors.Is(err, errLoad):
		t.some.Do(func() { t.log.Warn("load_query", "server", string(to.ID), "err", err) })
		return policy.AppError, nil
	case errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil:
		return policy.Timeout, nil
	}
	return policy.ConnectFailed, nil
}

// errLoad tells that a server's load is no number.
var errLoad = errors.New("no number")

// load asks for one number.
func (s *server) load(sql string) (float64, error) {
	s.wire.Reset()
	if err := s.send(append([]byte{byte(wire.Query)}, sql...)); err != nil {
		return 0, err
	}
	reply := session.NewReplyTracker(wire.Query, s.profile.caps)
	var value []byte
	for rows := 0; !reply.Done(); {
		piece, err := s.wire.Peek()
		if err != nil {
			return 0, err
		}
		whole, err := reply.MustReadWhole(piece)
		if err != nil {
			return 0, err
		}
		b, err := s.wire.Read(session.MaxControlPacket)
		if err != nil {
			return 0, err
		}
		if whole {
			if err := reply.Consume(b); err != nil {
				return 0, err
			}
			continue
		}
		if reply.Forwarded(len(b)); reply.Rows > rows {
			if rows++; rows > 100 {
				return 0, fmt.Errorf("%w: over 100 rows", errLoad)
			}
			if row, err := wire.ParseTextRow(b); err == nil && rows == 1 && len(row) > 0 {
				value = row[len(row)-1]
			}
		}
	}
	if reply.Error != nil {
		return 0, reply.Error
	}
	n, err := strconv.ParseFloat(string(value), 64)
	if err != nil || !(n >= 0 && n <= 1e9) {
		return 0, fmt.Errorf("%w: %.40q", errLoad, value)
	}
	return n, nil
}

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
	// maxPreparedPerConn limits the prepared statements per server connection.
	maxPreparedPerConn = 64
	// idleTimeoutShare is the fraction of a server's idle timeout after which an idle connection is
	// closed.
	idleTimeoutShare = 0.6
	// killTimeout limits a KILL QUERY for an abandoned statement, and maxConcurrentKills the number
	// of those that run at once.
	killTimeout        = 2 * time.Second
	maxConcurrentKills = 4
	probeTimeout       = 400 * time.Millisecond
)

// job holds all that is needed to run a statement on any server.
type job struct {
	command      wire.Command
	message      []byte             // as sent to the server; unused for COM_STMT_EXECUTE
	stmt         *preparedStatement // for COM_STMT_EXECUTE
	execution    *session.Execution // for COM_STMT_EXECUTE
	longData     [][]byte           // COM_STMT_SEND_LONG_DATA commands to send before it
	profile      profile
	schema       string
	settings     []session.Setting
	requireClean bool // the connection must be free of state of other sessions
	read         bool
	runningOn    *atomic.Pointer[serverConn] // set to the connection on which it runs
	passThrough  bool                        // only connect; the client logs in itself
}

// preparedStatement is a statement prepared by a client.
type preparedStatement struct {
	id           uint32 // as known to the client
	sql          string
	schema       string
	params       int
	types        []byte
	longData     [][]byte
	longDataSize int // of longData, in bytes
	parsed       session.Statement
}

// exchange is a command on a server connection whose reply has begun. Its receiver must call
// finish.
type exchange struct {
	*serverConn
	reply       *session.ReplyTracker
	heldPackets [][]byte      // first packets of the reply, not yet relayed
	greeting    wire.Greeting // of the server, with job.passThrough
	serverID    policy.ServerID
	ended       chan policy.Status
	once        sync.Once
}

// finish ends the attempt. The caller has to close the connection or return it to the pool before.
func (x *exchange) finish(s policy.Status) { x.once.Do(func() { x.ended <- s }) }

// Transport implements engine.Transport for MySQL. An attempt sends one statement once, on one
// connection, and lasts until the session releases the connection.
type Transport struct {
	cfg         Config
	dialTimeout time.Duration
	idleTimeout time.Duration
	budget      *sockets.Budget
	loadAddr    func(engine.Endpoint) string
	prober      pool.Prober // reads the load at a separate address; nil: none
	log         *slog.Logger
	warnLimit   rate.Sometimes // limits warnings about server faults
	ctx         context.Context
	stop        context.CancelFunc
	work        sync.WaitGroup
	killSlots   chan struct{}
	inUse       pool.InFlight // connections in use

	mu     sync.Mutex
	idle   map[engine.Endpoint][]*serverConn // most recently used last
	closed bool
	counts ConnCounts
}

// ConnCounts holds statistics of server connections.
type ConnCounts struct {
	Dials, Reuses, Resets, Kills uint64
	Idle                         int
}

// NewTransport returns a Transport with the given dial and idle timeouts that takes its descriptors
// from b. If p is not nil, it probes servers at the address that load returns.
func NewTransport(c Config, dial, idle time.Duration, b *sockets.Budget, load func(engine.Endpoint) string, p pool.Prober, log *slog.Logger) *Transport {
	t := &Transport{
		cfg: c.WithDefaults(), dialTimeout: dial, idleTimeout: time.Duration(float64(idle) * idleTimeoutShare), budget: b, loadAddr: load, prober: p, log: log,
		warnLimit: rate.Sometimes{First: 1, Interval: 10 * time.Second}, idle: map[engine.Endpoint][]*serverConn{},
		killSlots: make(chan struct{}, maxConcurrentKills),
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	t.work.Go(t.sweep)
	return t
}

// Close closes the idle connections and stops keeping connections.
func (t *Transport) Close() {
	t.stop()
	t.mu.Lock()
	t.closed = true
	var all []*serverConn
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

// Stats returns the current statistics.
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
	var s *serverConn
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

// CloseIdle implements engine.Transport. It closes the idle connections to a server.
func (t *Transport) CloseIdle(to engine.Endpoint) {
	t.mu.Lock()
	l := t.idle[to]
	delete(t.idle, to)
	t.mu.Unlock()
	for _, s := range l {
		s.Close()
	}
}

// sweep closes connections that exceed the idle timeout, until Close is called.
func (t *Transport) sweep() {
	tick := time.NewTicker(max(t.idleTimeout/4, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-tick.C:
		}
		var old []*serverConn
		t.mu.Lock()
		for to, l := range t.idle {
			n := 0
			for n < len(l) && time.Since(l[n].lastUsed) > t.idleTimeout {
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

// putIdle returns a connection on which no command runs to the idle pool.
func (t *Transport) putIdle(s *serverConn) {
	s.deadline, s.lastUsed = time.Time{}, time.Now()
	s.setRunning(false)
	if s.wire.R.Buffered() > 0 || s.killed || t.budget.Scarce() { // reuse checks the socket
		s.Close()
		return
	}
	var old *serverConn
	t.mu.Lock()
	l := t.idle[s.endpoint]
	switch {
	case t.closed:
		old = s
	case len(l) >= t.cfg.MaxIdlePerServer:
		old = l[0]
		t.idle[s.endpoint] = append(slices.Clone(l[1:]), s)
	default:
		t.idle[s.endpoint] = append(l, s)
	}
	t.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// reuse returns an idle connection for a job, or nil. It prefers one with the same session state.
func (t *Transport) reuse(to engine.Endpoint, j *job) *serverConn {
	want := sessionState{schema: j.schema, settings: settingsKey(j.settings)}
	for {
		t.mu.Lock()
		l := t.idle[to]
		best := -1
		for i := len(l) - 1; i >= 0; i-- {
			s := l[i]
			if s.profile != j.profile || s.applied.schema != "" && j.schema == "" {
				continue // a selected schema cannot be deselected
			}
			if s.applied == want && !j.requireClean {
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
		if time.Since(s.lastUsed) < t.idleTimeout && s.quiescent() {
			return s
		}
		s.Close()
	}
}

// setNamesArguments maps the collations that clients commonly log in with to the arguments of SET
// NAMES, which restores the collation after COM_RESET_CONNECTION.
var setNamesArguments = map[byte]string{
	8: "latin1 collate latin1_swedish_ci", 33: "utf8mb3 collate utf8mb3_general_ci", 45: "utf8mb4 collate utf8mb4_general_ci",
	46: "utf8mb4 collate utf8mb4_bin", 63: "binary", 83: "utf8mb3 collate utf8mb3_bin", 224: "utf8mb4 collate utf8mb4_unicode_ci",
	255: "utf8mb4 collate utf8mb4_0900_ai_ci",
}

func resettable(charset byte) bool { return setNamesArguments[charset] != "" }

func settingsKey(settings []session.Setting) string {
	var b strings.Builder
	for _, s := range settings {
		b.WriteString(s.SQL)
		b.WriteByte(0)
	}
	return b.String()
}

// errBeforeStatement wraps an error of a step before the statement: no part of it has run.
type errBeforeStatement struct{ error }

func (e errBeforeStatement) Unwrap() error { return e.error }

// acquire returns a connection with the session state that the job requires.
func (t *Transport) acquire(ctx context.Context, a *engine.Attempt, to engine.Endpoint, j *job) (*serverConn, error) {
	s := t.reuse(to, j)
	if s != nil {
		t.updateCounts(func(c *ConnCounts) { c.Reuses++ })
	} else {
		var err error
		if s, err = t.login(ctx, to, j.profile, j.schema); err != nil {
			return nil, errBeforeStatement{err}
		}
		t.updateCounts(func(c *ConnCounts) { c.Dials++ })
	}
	s.deadline = a.Deadline
	if !a.Sending(func() { s.raw.Close() }) {
		t.putIdle(s)
		return nil, errBeforeStatement{context.Canceled}
	}
	if err := t.applyState(s, j); err != nil {
		s.Close()
		return nil, errBeforeStatement{err}
	}
	return s, nil
}

func (t *Transport) updateCounts(f func(*ConnCounts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.counts)
}

// applyState sets the session state that the job requires on the connection.
func (t *Transport) applyState(s *serverConn, j *job) error {
	want := sessionState{schema: j.schema, settings: settingsKey(j.settings)}
	if s.applied == want && !j.requireClean {
		return nil
	}
	if s.applied.settings != "" || s.applied.dirty || j.requireClean && s.lastUsed != (time.Time{}) {
		t.updateCounts(func(c *ConnCounts) { c.Resets++ })
		if err := s.execSimple([]byte{byte(wire.ResetConnection)}); err != nil {
			return err
		}
		s.prepared, s.preparedOrder = map[string]*remoteStatement{}, nil
		s.applied.settings, s.applied.dirty, s.insertIDLeft = "", false, false
		if err := s.execSimple([]byte("\x03set names " + setNamesArguments[s.profile.charset])); err != nil {
			return err
		}
	}
	if s.applied.schema != j.schema {
		if err := s.execSimple([]byte("\x02" + j.schema)); err != nil {
			return err
		}
		s.applied.schema = j.schema
	}
	for _, set := range j.settings {
		if err := s.execSimple([]byte("\x03" + set.SQL)); err != nil {
			return err
		}
	}
	s.applied = want
	return nil
}

// execSimple sends a command whose reply is an OK or an error packet.
func (s *serverConn) execSimple(b []byte) error {
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

// errParamCountChanged means that a statement has a different number of parameters on this server
// than when the client prepared it.
var errParamCountChanged = errors.New("the number of parameters of the statement has changed")

// prepare prepares a statement on the connection unless it already is.
func (s *serverConn) prepare(p *preparedStatement) (r *remoteStatement, err error) {
	key := p.schema + "\x00" + p.sql
	if r := s.prepared[key]; r != nil {
		return r, nil
	}
	for len(s.preparedOrder) >= maxPreparedPerConn {
		old := s.prepared[s.preparedOrder[0]]
		delete(s.prepared, s.preparedOrder[0])
		s.preparedOrder = s.preparedOrder[1:]
		s.wire.Reset()
		if err := s.wire.Write([]byte{byte(wire.StmtClose), byte(old.id), byte(old.id >> 8), byte(old.id >> 16), byte(old.id >> 24)}); err != nil {
			return nil, err
		}
	}
	if now := s.applied.schema; p.schema != now { // unqualified names resolve as when it was prepared
		if p.schema == "" || now == "" {
			return nil, wire.NotSupported("a statement prepared without a schema, once there is one,")
		}
		if err := s.execSimple([]byte("\x02" + p.schema)); err != nil {
			return nil, err
		}
		defer func() {
			if err == nil {
				err = s.execSimple([]byte("\x02" + now))
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
	r = &remoteStatement{id: reply.Prepared.ID, params: int(reply.Prepared.Params)}
	s.addPrepared(key, r)
	if r.params != p.params {
		return nil, errParamCountChanged
	}
	return r, nil
}

func (s *serverConn) addPrepared(key string, r *remoteStatement) {
	s.prepared[key] = r
	s.preparedOrder = append(s.preparedOrder, key)
}

// sendCommand sends the command of a job. With an errBeforeStatement no part of it has been sent.
func (s *serverConn) sendCommand(j *job) error {
	message := j.message
	if j.stmt != nil {
		r, err := s.prepare(j.stmt)
		if err != nil {
			return errBeforeStatement{err}
		}
		for _, l := range j.longData {
			s.wire.Reset()
			l = append([]byte(nil), l...)
			l[1], l[2], l[3], l[4] = byte(r.id), byte(r.id>>8), byte(r.id>>16), byte(r.id>>24)
			if err := s.wire.Write(l); err != nil {
				return errBeforeStatement{err}
			}
		}
		message = j.execution.Message(r.id, r.types == string(j.execution.Types))
		r.types = string(j.execution.Types)
	}
	s.wire.Reset()
	return s.send(message)
}

// maxHeldReply is how much of a reply is held back before it is relayed. Malformed replies mostly
// show at their start, and another attempt is possible until then. Clients accept an error packet
// in place of a row, but not in place of a column definition.
const maxHeldReply = 16 << 10

// readReplyStart reads the first packets of a reply. It reads a short reply completely.
func (s *serverConn) readReplyStart(command wire.Command) (*session.ReplyTracker, [][]byte, error) {
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
		if !whole && reply.InRows() && size+piece.Len > maxHeldReply {
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
			return reply, held, fmt.Errorf("%w: the start of the reply exceeds %d bytes", wire.ErrMalformed, session.MaxControlPacket)
		}
	}
	return reply, held, nil
}

// Do implements engine.Transport. It runs the attempt of a statement on a server.
func (t *Transport) Do(a *engine.Attempt, to engine.Endpoint) engine.AttemptResult {
	j := a.Payload().(*job)
	ctx, cancel := context.WithDeadline(t.ctx, a.Deadline)
	defer cancel()
	if !a.OnCancel(cancel) {
		return engine.AttemptResult{Status: policy.Canceled}
	}
	t.inUse.Add(a.Server, 1)
	defer t.inUse.Add(a.Server, -1)
	if most := t.cfg.MaxConnsPerServer; most > 0 && t.inUse.Count(a.Server) > most {
		return engine.AttemptResult{Status: policy.Overloaded}
	}
	if j.passThrough {
		return t.openSession(ctx, a, to)
	}
	s, err := t.acquire(ctx, a, to, j)
	if err != nil {
		return t.failureResult(a, nil, j, err)
	}
	s.setRunning(true)
	if j.runningOn != nil {
		j.runningOn.Store(s)
	}
	if err := s.sendCommand(j); err != nil {
		return t.failureResult(a, s, j, err)
	}
	reply, b, err := s.readReplyStart(j.command)
	if err != nil {
		return t.failureResult(a, s, j, err)
	}
	if e := reply.Error; e != nil && isUnavailable(e.Code) && j.read {
		s.Close()
		return engine.AttemptResult{Status: policy.AppError}
	}
	return t.deliver(a, &exchange{serverConn: s, reply: reply, heldPackets: b, serverID: a.Server})
}

// deliver passes an exchange to the waiting session and waits until the session finishes it.
func (t *Transport) deliver(a *engine.Attempt, x *exchange) engine.AttemptResult {
	x.ended = make(chan policy.Status, 1)
	if !a.OnCancel(func() {}) || !a.BeginReply(x) {
		x.Close()
		t.killAsync(x.endpoint, x.threadID)
		return engine.AttemptResult{Status: policy.Canceled}
	}
	return engine.AttemptResult{Status: <-x.ended, Load: t.inFlightLoad(a.Server)}
}

// openSession connects to a server for a client that logs in with its own credentials.
func (t *Transport) openSession(ctx context.Context, a *engine.Attempt, to engine.Endpoint) engine.AttemptResult {
	s, g, err := t.dial(ctx, to)
	if err != nil {
		return t.failureResult(a, nil, &job{read: true}, errBeforeStatement{err})
	}
	s.deadline = time.Time{}
	return t.deliver(a, &exchange{serverConn: s, greeting: g, serverID: a.Server})
}

// isUnavailable reports whether the error code means that the server accepts nothing more: it shuts
// down or has reached a connection limit.
func isUnavailable(code uint16) bool {
	return code == 1053 || code == 3032 || code == 1040 || code == 1203
}

// failureResult returns the result of an attempt without a reply. A shortage of descriptors in the
// proxy is not counted against the server.
func (t *Transport) failureResult(a *engine.Attempt, s *serverConn, j *job, err error) engine.AttemptResult {
	if s != nil {
		s.Close()
	}
	var beforeStatement errBeforeStatement
	status := policy.Reset
	var answer *wire.Error
	switch {
	case a.Canceled():
		if s != nil {
			t.killAsync(s.endpoint, s.threadID)
		}
		return engine.AttemptResult{Status: policy.Canceled}
	case errors.Is(err, sockets.ErrNoDescriptor) || t.ctx.Err() != nil:
		status = policy.NotSent
	case errors.As(err, &beforeStatement) && errors.As(err, &answer) && (answer.Code == 1040 || answer.Code == 1203):
		status = policy.Overloaded
	case errors.As(err, &beforeStatement):
		status = policy.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = policy.Timeout
		if s != nil {
			t.killAsync(s.endpoint, s.threadID)
		}
	}
	if answer != nil || errors.Is(err, wire.ErrMalformed) || errors.Is(err, session.ErrUnexpectedData) || errors.Is(err, wire.ErrSequence) {
		t.warnLimit.Do(func() { t.log.Warn("a server's answer cannot be used", "server", string(a.Server), "err", err) })
	}
	t.log.Debug("attempt", "server", string(a.Server), "status", status, "err", err)
	return engine.AttemptResult{Status: status}
}

// killAsync starts a KILL QUERY for an abandoned statement. Without it, the server would notice the
// closed connection only at the end of the statement.
func (t *Transport) killAsync(to engine.Endpoint, thread uint32) {
	if t.cfg.Account.User == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	select {
	case t.killSlots <- struct{}{}:
	default:
		return
	}
	t.work.Go(func() {
		defer func() { <-t.killSlots }()
		if err := t.killQuery(to, thread); err != nil {
			t.log.Debug("KILL QUERY failed", "server", string(to.ID), "err", err)
		}
	})
}

// killRunning kills the statement that runs on a connection and reports whether there was one.
func (t *Transport) killRunning(s *serverConn) (bool, error) {
	s.killMu.Lock()
	defer s.killMu.Unlock()
	if !s.running {
		return false, nil
	}
	s.killed = true
	return true, t.killQuery(s.endpoint, s.threadID)
}

// killQuery sends KILL QUERY for a thread to a server.
func (t *Transport) killQuery(to engine.Endpoint, thread uint32) error {
	ctx, cancel := context.WithTimeout(t.ctx, killTimeout)
	defer cancel()
	t.updateCounts(func(c *ConnCounts) { c.Kills++ })
	return t.withConn(ctx, to, func(s *serverConn) error {
		return s.execSimple([]byte("\x03kill query " + strconv.FormatUint(uint64(thread), 10)))
	})
}

// withConn calls f with a connection for the proxy's own commands.
func (t *Transport) withConn(ctx context.Context, to engine.Endpoint, f func(*serverConn) error) error {
	j := &job{profile: profile{caps: wire.DeprecateEOF, charset: 45}}
	s := t.reuse(to, j)
	if s == nil {
		var err error
		if s, err = t.login(ctx, to, j.profile, ""); err != nil {
			return err
		}
	}
	s.deadline, _ = ctx.Deadline()
	if err := f(s); err != nil {
		s.Close()
		return err
	}
	t.putIdle(s)
	return nil
}

// inFlightLoad returns the load of a server that results from this process's connections, or nil if
// the load is probed.
func (t *Transport) inFlightLoad(id policy.ServerID) *policy.Load {
	if t.prober != nil || t.cfg.LoadQuery != "" {
		return nil
	}
	return t.inUse.Load(id)
}

// Probe implements engine.Transport. It returns the load of a server.
func (t *Transport) Probe(ctx context.Context, to engine.Endpoint) (policy.Status, *policy.Load) {
	switch {
	case t.prober != nil:
		to.Addr = t.loadAddr(to)
		return t.prober.Probe(ctx, to)
	case t.cfg.LoadQuery == "":
		return policy.OK, t.inFlightLoad(to.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var n float64
	err := t.withConn(ctx, to, func(s *serverConn) (err error) {
		n, err = s.queryNumber(t.cfg.LoadQuery)
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
	case errors.As(err, &answer) || errors.Is(err, errInvalidLoad):
		t.warnLimit.Do(func() { t.log.Warn("load_query failed", "server", string(to.ID), "err", err) })
		return policy.AppError, nil
	case errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil:
		return policy.Timeout, nil
	}
	return policy.ConnectFailed, nil
}

// errInvalidLoad means that the result of the load query is not a valid load.
var errInvalidLoad = errors.New("no number")

// queryNumber runs a query and returns the last value of its first row.
func (s *serverConn) queryNumber(sql string) (float64, error) {
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
				return 0, fmt.Errorf("%w: more than 100 rows", errInvalidLoad)
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
		return 0, fmt.Errorf("%w: %.40q", errInvalidLoad, value)
	}
	return n, nil
}

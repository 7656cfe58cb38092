package proxy

import (
	"bufio"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quillfront/internal/connlimit"
	"quillfront/internal/engine"
	"quillfront/internal/mysql/session"
	"quillfront/internal/mysql/wire"
	"quillfront/internal/pool"
	"quillfront/policy"
)

const (
	// version is the server version in the greeting. Some clients depend on it.
	version = "8.4.0-quillfront"
	// maxStatements and maxPreparedBytes limit the number and the total SQL size of the prepared
	// statements of a session.
	maxStatements    = 1024
	maxPreparedBytes = 1 << 20
	// disconnectPollInterval is the interval at which a waiting client's connection is checked for
	// a disconnect.
	disconnectPollInterval = 20 * time.Millisecond
	clientWriteBuffer      = 8 << 10
)

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, clientWriteBuffer) }}

// clientSession is the session of a client connection.
type clientSession struct {
	frontend      *Frontend
	id            uint32
	slot          *connlimit.Slot
	raw           net.Conn // the TCP connection
	conn          net.Conn // raw, or TLS on top of it
	wire          wire.Conn
	user          User
	caps          wire.Capability
	charset       byte
	preparedBytes int // total SQL size of statements

	// mu is held while a command is processed: the session is idle for whoever else acquires it.
	mu              sync.Mutex
	state           *session.State // nil: not logged in
	current         *exchange      // the server connection that the session holds; nil: none
	statements      map[uint32]*preparedStatement
	lastStatementID uint32    // ID of the last prepared statement
	idleSince       time.Time // end of the last command
	drainingSince   time.Time // when its server was first seen unusable; zero: it is usable

	userName   atomic.Pointer[string] // for readers that do not hold mu
	bound      atomic.Bool
	closeError atomic.Pointer[wire.Error] // set when the session is closed while idle
	runningOn  atomic.Pointer[serverConn] // connection on which its statement runs; nil: none
	dedicated  bool                       // current is kept for the whole session (AuthPassThrough)
}

func newClientSession(f *Frontend, id uint32, c net.Conn, g *connlimit.Slot) *clientSession {
	s := &clientSession{frontend: f, id: id, slot: g, raw: c, conn: c, statements: map[uint32]*preparedStatement{}, idleSince: time.Now()}
	s.wire.R = bufio.NewReaderSize(c, clientReadBuffer)
	return s
}

// currentUser returns the user's name. It may be called without holding mu.
func (s *clientSession) currentUser() string {
	if n := s.userName.Load(); n != nil {
		return *n
	}
	return ""
}

// setUser makes u the session's user.
func (s *clientSession) setUser(u User) {
	s.user = u
	s.userName.Store(&u.Name)
}

// stallWriter writes to the client with the stall timeout as the deadline of each write.
type stallWriter struct{ s *clientSession }

// Write implements io.Writer.
func (w stallWriter) Write(b []byte) (int, error) {
	w.s.conn.SetWriteDeadline(time.Now().Add(w.s.frontend.cfg.StallTimeout))
	return w.s.conn.Write(b)
}

// attachWriter gives the session a write buffer from the pool. The returned function puts it back.
func (s *clientSession) attachWriter() func() {
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(stallWriter{s})
	s.wire.W = w
	return func() {
		s.wire.W = nil
		w.Reset(nil)
		writerPool.Put(w)
	}
}

func (s *clientSession) send(b []byte) error {
	if err := s.wire.Write(b); err != nil {
		return err
	}
	return s.wire.W.Flush()
}

func (s *clientSession) sendError(e *wire.Error) error { return s.send(e.Append(nil)) }

// errSessionEnded ends a session without a further message to the client.
var errSessionEnded = errors.New("the session has ended")

// serve serves the client until it disconnects.
func (s *clientSession) serve() {
	s.raw.SetDeadline(time.Now().Add(s.frontend.cfg.LoginTimeout))
	done := s.attachWriter()
	s.mu.Lock() // the session is not idle during the login
	err := s.login()
	s.idleSince = time.Now()
	s.mu.Unlock()
	done()
	if err != nil {
		return
	}
	s.raw.SetDeadline(time.Time{})
	defer s.cleanup()
	for {
		if err := s.serveCommand(); err != nil {
			return
		}
	}
}

// cleanup releases or closes the server connection that the session holds.
func (s *clientSession) cleanup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return
	}
	if s.dedicated || s.state.Bound() {
		s.closeConn(policy.OK)
	} else {
		s.releaseConn()
	}
}

// acquired makes x the session's connection, on which a statement of the session has just begun.
func (s *clientSession) acquired(x *exchange) {
	s.current = x
	s.state.ConnectionAcquired(x.insertIDLeft)
}

// releaseConn returns the server connection to the pool. The session must not be bound to it.
func (s *clientSession) releaseConn() {
	x := s.current
	s.current, s.drainingSince = nil, time.Time{}
	s.state.ConnectionReleased()
	s.frontend.transport.putIdle(x.serverConn)
	x.finish(policy.OK)
}

// closeConn closes the server connection.
func (s *clientSession) closeConn(status policy.Status) {
	x := s.current
	s.current, s.drainingSince = nil, time.Time{}
	x.Close()
	x.finish(status)
}

// checkIdle applies the time limits to an idle session. It releases a connection that has been held
// for the hold timeout or whose server is unusable, and ends a session whose drain timeout, idle
// timeout or shutdown has passed.
func (s *clientSession) checkIdle(now time.Time) {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.state == nil {
		return
	}
	f := s.frontend
	if x := s.current; x != nil {
		usable := f.pool.ServerUsable(x.serverID)
		switch {
		case usable:
			s.drainingSince = time.Time{}
		case s.drainingSince.IsZero():
			s.drainingSince = now
		}
		switch {
		case !s.dedicated && !s.state.Bound() && (!usable || now.Sub(s.idleSince) >= f.cfg.HoldTimeout):
			if !usable {
				f.migrated.Add(1)
			}
			s.releaseConn()
		case !usable && now.Sub(s.drainingSince) >= f.cfg.DrainTimeout:
			f.drainExpired.Add(1)
			if s.dedicated {
				s.closeIdle(wire.ConnectionClosing("the server takes nothing new"))
				return
			}
			s.closeConn(policy.OK)
			if l := s.state.ConnectionLost(nil, false, "its server takes nothing new"); l.Close {
				s.closeIdle(l.Error)
				return
			}
		}
	}
	s.bound.Store(s.current != nil && (s.dedicated || s.state.Bound()))
	switch {
	case !f.acceptor.DrainingSince().IsZero() && (!s.bound.Load() || f.shutdownSchedule().MustAnswer(now)):
		s.closeIdle(wire.ConnectionClosing("the proxy is ending"))
	case now.Sub(s.idleSince) >= f.cfg.IdleTimeout:
		s.closeIdle(&wire.Error{Code: 4031, State: "HY000", Message: "The client was disconnected because of inactivity"})
	}
}

// closeIdle closes an idle session. The client reads the error as the answer to its next command.
func (s *clientSession) closeIdle(e *wire.Error) {
	s.closeError.Store(e)
	if s.state != nil && s.current != nil && (s.dedicated || s.state.Bound()) {
		s.closeConn(policy.OK)
	}
	b := e.Append([]byte{0, 0, 0, 0})
	n := len(b) - 4
	b[0], b[1] = byte(n), byte(n>>8)
	s.conn.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
	s.conn.Write(b)
	if t, ok := s.raw.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	s.raw.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
}

// serveCommand reads one command and answers it.
func (s *clientSession) serveCommand() error {
	s.wire.Reset()
	piece, err := s.wire.Peek()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.idleSince = time.Now() }()
	defer s.attachWriter()()
	if s.closeError.Load() != nil {
		return errSessionEnded
	}
	if err != nil {
		return s.rejectCommand(err)
	}
	weight := int64(0)
	if piece.Len > unaccountedStatementSize {
		if weight = int64(piece.Len); piece.Len == wire.MaxPayload {
			weight = int64(s.frontend.cfg.MaxStatementSize)
		}
		if piece.Len > s.frontend.cfg.MaxStatementSize {
			return s.rejectCommand(wire.ErrTooLarge)
		}
		if !s.frontend.statementBudget.TryAcquire(weight) {
			s.frontend.outcomes[refused].Add(1)
			s.wire.SetSequence(1)
			s.sendError(wire.Refused(time.Second))
			return errSessionEnded // the rest of the statement cannot be read
		}
		defer s.frontend.statementBudget.Release(weight)
	}
	incomplete := s.wire.R.Buffered() < piece.Len+4 // the rest may never arrive
	if incomplete {
		s.raw.SetReadDeadline(time.Now().Add(s.frontend.cfg.StallTimeout))
	}
	b, err := s.wire.Read(s.frontend.cfg.MaxStatementSize)
	if incomplete {
		s.raw.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return s.rejectCommand(err)
	}
	if len(b) == 0 {
		return s.rejectCommand(wire.ErrMalformed)
	}
	if !s.frontend.shutdownSchedule().MayForward(time.Now()) {
		s.sendError(wire.ConnectionClosing("the proxy is ending"))
		return errSessionEnded
	}
	return s.dispatch(wire.Command(b[0]), b)
}

// rejectCommand ends a session whose command cannot be read. A protocol error is reported to the
// client; after an I/O error nothing is sent.
func (s *clientSession) rejectCommand(err error) error {
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		s.wire.SetSequence(1)
		s.sendError(wire.StatementTooLarge(s.frontend.cfg.MaxStatementSize))
	case errors.Is(err, wire.ErrSequence), errors.Is(err, wire.ErrMalformed):
		s.wire.SetSequence(1)
		s.sendError(wire.ProtocolError(err))
	}
	return errSessionEnded
}

// sendOK sends an OK packet of the proxy itself.
func (s *clientSession) sendOK() error {
	status := wire.Status(0)
	if s.state.Autocommit() {
		status |= wire.Autocommit
	}
	if s.state.InTransaction() {
		status |= wire.InTransaction
	}
	return s.send((&wire.OK{Status: status}).Append(nil, 0, s.caps))
}

// dispatch answers one command. An error ends the session.
func (s *clientSession) dispatch(c wire.Command, b []byte) error {
	switch c {
	case wire.Quit:
		return errSessionEnded
	case wire.Ping:
		// An unbound session is answered here, so that a connection that it holds keeps the state
		// of the last statement.
		if s.current == nil || !s.dedicated && !s.state.Bound() {
			return s.sendOK()
		}
		return s.runOnCurrent(c, b, &session.Statement{Verb: "ping", ReadOnly: true}, 0)
	case wire.InitDB:
		schema := string(b[1:])
		if !s.user.mayUse(schema) {
			return s.sendError(&wire.Error{Code: 1044, State: "42000", Message: "Access denied to this schema"})
		}
		return s.runStatement(c, b, session.Statement{Verb: "use", ReadOnly: true, Schema: schema}, nil, nil)
	case wire.Query:
		return s.query(b)
	case wire.StmtPrepare:
		return s.prepare(b)
	case wire.StmtExecute:
		return s.execute(b)
	case wire.StmtLongData:
		return s.longData(b)
	case wire.StmtClose:
		if p := s.findPrepared(b); p != nil {
			s.preparedBytes -= len(p.sql)
			delete(s.statements, p.id)
		}
		return nil
	case wire.StmtReset:
		p := s.findPrepared(b)
		if p == nil {
			return s.sendError(wire.UnknownStatement())
		}
		p.longData, p.longDataSize = nil, 0
		return s.sendOK()
	case wire.ResetConnection:
		return s.resetConnection(b)
	case wire.ChangeUser:
		return s.changeUser(b)
	}
	name := map[wire.Command]string{
		wire.FieldList: "COM_FIELD_LIST", wire.Statistics: "COM_STATISTICS", wire.ProcessKill: "COM_PROCESS_KILL", wire.Debug: "COM_DEBUG",
		wire.BinlogDump: "COM_BINLOG_DUMP", wire.BinlogDumpGTID: "COM_BINLOG_DUMP_GTID", wire.RegisterReplica: "COM_REGISTER_SLAVE",
		wire.SetOption: "COM_SET_OPTION", wire.StmtFetch: "COM_STMT_FETCH",
	}[c]
	if name == "" {
		return s.sendError(&wire.Error{Code: 1047, State: "08S01", Message: "Unknown command"})
	}
	return s.sendError(wire.NotSupported(name))
}

// scan parses a statement. It drops the hint unless hints are enabled.
func (s *clientSession) scan(sql string) session.Statement {
	st := s.state.Scan(sql)
	if !s.frontend.cfg.Hints {
		st.Hint = session.Hint{}
	}
	return st
}

// query answers COM_QUERY.
func (s *clientSession) query(b []byte) error {
	st := s.scan(string(b[1:]))
	if st.Schema != "" && !s.user.mayUse(st.Schema) {
		return s.sendError(&wire.Error{Code: 1044, State: "42000", Message: "Access denied to this schema"})
	}
	if st.Kill != nil {
		return s.killSession(st.Kill)
	}
	return s.runStatement(wire.Query, b, st, nil, nil)
}

// runStatement runs a command where the session's state allows it and answers it. p and e are set
// for COM_STMT_EXECUTE only.
func (s *clientSession) runStatement(c wire.Command, b []byte, st session.Statement, p *preparedStatement, e *session.Execution) error {
	if st.Hint.Invalid != "" {
		return s.sendError(&wire.Error{Code: 1064, State: "42000", Message: "hint: " + st.Hint.Invalid})
	}
	plan := s.state.Plan(&st, s.current != nil)
	switch plan.Placement {
	case session.LocalReply:
		if plan.Error != nil {
			s.frontend.outcomes[lost].Add(1)
			return s.sendError(plan.Error)
		}
		return s.sendOK()
	case session.CurrentConnection:
		if p == nil {
			return s.runOnCurrent(c, b, &st, plan.InsertID)
		}
		return s.executeOnCurrent(&st, p, e, plan.InsertID)
	}
	if s.current != nil {
		if s.dedicated {
			if p != nil {
				return s.executeOnCurrent(&st, p, e, session.InsertIDKept)
			}
			return s.runOnCurrent(c, b, &st, session.InsertIDKept)
		}
		s.releaseConn()
	}
	return s.runOnAnyServer(c, b, &st, p, e)
}

// classify returns the class of a statement and its timeout.
func (s *clientSession) classify(st *session.Statement, timeout time.Duration) (string, time.Duration) {
	known := func(name string) bool { _, ok := s.frontend.pool.Class(name); return ok }
	name := s.frontend.cfg.classOf(s.user.Name, s.state.DefaultSchema(), st.Verb, st.Hint.Class, known)
	class, _ := s.frontend.pool.Class(name)
	if st.ReadOnly {
		if read, ok := s.frontend.pool.Class(pool.SafeClass(name)); ok {
			class = read
		}
	}
	wait := class.Deadline
	if timeout > 0 && timeout < wait {
		wait = timeout
	}
	return class.Name, wait
}

// runOnAnyServer runs a statement on the server that the engine picks.
func (s *clientSession) runOnAnyServer(c wire.Command, b []byte, st *session.Statement, p *preparedStatement, e *session.Execution) error {
	f := s.frontend
	j := &job{
		command: c, message: b, stmt: p, execution: e, profile: profile{s.caps & replyCapabilities, s.charset}, schema: s.state.DefaultSchema(),
		settings: s.state.Settings(), requireClean: st.Needs != 0 || st.StoredCode, read: st.ReadOnly, runningOn: &s.runningOn,
	}
	defer s.runningOn.Store(nil)
	if p != nil {
		j.longData = p.longData
	}
	name, wait := s.classify(st, st.Hint.Timeout)
	r := &engine.Request{Class: name, Key: st.Hint.Key, Timeout: wait, Payload: j}
	if err := f.pool.Submit(r, f.pool.Now()); err != nil {
		f.outcomes[refused].Add(1)
		return s.sendError(wire.Refused(0))
	}
	result, ok := s.awaitResult(r)
	if !ok {
		f.outcomes[left].Add(1)
		return errSessionEnded
	}
	if result.Kind == engine.Served {
		s.acquired(result.Reply.(*exchange))
		return s.relayReply(st, p)
	}
	return s.reportUnserved(st, result)
}

// reportUnserved sends the client the error for a statement that no server has answered.
func (s *clientSession) reportUnserved(st *session.Statement, result engine.Result) error {
	f := s.frontend
	if result.Kind == engine.Refused {
		f.outcomes[refused].Add(1)
		return s.sendError(wire.Refused(result.RetryAfter))
	}
	sent := !result.NotRun // LastStatus may be of one attempt while another still runs
	if !sent && !st.ReadOnly {
		f.outcomes[refused].Add(1)
		return s.sendError(wire.Refused(0))
	}
	why := "no server could be reached in time"
	switch {
	case result.Attempts > 0 && result.LastStatus == policy.Timeout:
		why = "the server did not answer in time"
	case sent:
		why = "the server went before it answered"
	}
	return s.reportLoss(st, s.state.ConnectionLost(st, sent, why))
}

// reportLoss sends the client the outcome of a statement whose server connection was lost.
func (s *clientSession) reportLoss(st *session.Statement, l session.Loss) error {
	var err error
	switch {
	case l.Error == nil:
		s.frontend.outcomes[served].Add(1)
		err = s.sendOK()
	case l.Error.Code == wire.OutcomeUnknown("").Code:
		s.frontend.outcomes[unknown].Add(1)
		err = s.sendError(l.Error)
	default:
		s.frontend.outcomes[lost].Add(1)
		err = s.sendError(l.Error)
	}
	if l.Close {
		return errSessionEnded
	}
	return err
}

// awaitResult waits for the result of a request. It returns false if the client disconnects or the
// frontend closes first; the request is then withdrawn.
func (s *clientSession) awaitResult(r *engine.Request) (engine.Result, bool) {
	tick := time.NewTicker(disconnectPollInterval)
	defer tick.Stop()
	for {
		select {
		case result := <-r.Result():
			return result, true
		case now := <-tick.C:
			if s.frontend.shutdownSchedule().MustAnswer(now) {
				s.frontend.pool.GiveUp(r)
			}
			if !s.disconnected() {
				continue
			}
		case <-s.frontend.acceptor.Context().Done():
		}
		if s.frontend.pool.Withdraw(r) {
			return engine.Result{}, false
		}
		result := <-r.Result()
		if x, ok := result.Reply.(*exchange); ok {
			x.Close()
			x.finish(policy.Canceled)
		}
		return result, false
	}
}

// disconnected reports whether the client has closed its connection or sent COM_QUIT.
func (s *clientSession) disconnected() bool {
	if s.wire.R.Buffered() > 0 {
		return false
	}
	t, ok := s.raw.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	var b [5]byte
	gone := false
	if err := raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quit := n == 5 && b == [5]byte{1, 0, 0, 0, byte(wire.Quit)}
		gone = err == nil && (n == 0 || quit) || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	}); err != nil {
		return true
	}
	return gone
}

// runOnCurrent runs a command on the connection that the session holds, after the step.
func (s *clientSession) runOnCurrent(c wire.Command, b []byte, st *session.Statement, step session.InsertIDStep) error {
	return s.runDeferred(st, st.Hint.Timeout, func() error {
		if err := s.prepareInsertID(step); err != nil {
			return errBeforeStatement{err}
		}
		return s.current.sendCommand(&job{command: c, message: b})
	}, c, nil)
}

// executeOnCurrent executes a prepared statement on the connection that the session holds, after
// the step.
func (s *clientSession) executeOnCurrent(st *session.Statement, p *preparedStatement, e *session.Execution, step session.InsertIDStep) error {
	return s.runDeferred(st, st.Hint.Timeout, func() error {
		if err := s.prepareInsertID(step); err != nil {
			return errBeforeStatement{err}
		}
		return s.current.sendCommand(&job{command: wire.StmtExecute, stmt: p, execution: e, longData: p.longData})
	}, wire.StmtExecute, p)
}

// prepareInsertID executes a step about LAST_INSERT_ID() on the session's connection.
func (s *clientSession) prepareInsertID(step session.InsertIDStep) error {
	switch step {
	case session.InsertIDCleared:
		if err := s.current.execSimple([]byte("\x03set last_insert_id = 0")); err != nil {
			return err
		}
		s.current.insertIDLeft = false
		s.state.InsertIDWasCleared()
	case session.InsertIDRequired:
		set, err := s.current.queryNumber("select last_insert_id() <> 0")
		if err != nil {
			return err
		}
		if set == 0 {
			return wire.SessionLost("LAST_INSERT_ID() was given up")
		}
	}
	return nil
}

// runDeferred calls write to send a command on the session's connection and relays the reply. The
// engine does not choose a server for it, but still counts it as a request with exactly one result.
func (s *clientSession) runDeferred(st *session.Statement, timeout time.Duration, write func() error, c wire.Command, p *preparedStatement) error {
	f, x := s.frontend, s.current
	name, wait := s.classify(st, timeout)
	r := &engine.Request{Class: name, Timeout: wait}
	if err := f.pool.SubmitDeferred(r); err != nil {
		f.outcomes[refused].Add(1)
		return s.sendError(wire.Refused(0))
	}
	resolve := func(k engine.ResultKind) { f.pool.ResolveDeferred(r, engine.Result{Kind: k, Server: x.serverID}) }
	x.deadline = time.Now().Add(wait)
	if !x.quiescent() {
		resolve(engine.Failed)
		s.closeConn(policy.Reset)
		return s.reportLoss(st, s.state.ConnectionLost(st, false, "its server had gone"))
	}
	x.setRunning(true)
	s.runningOn.Store(x.serverConn)
	defer s.runningOn.Store(nil)
	err := write()
	if err == nil {
		err = s.awaitReply(x, c)
	}
	if err != nil {
		resolve(engine.Failed)
		if errors.Is(err, errClientLeft) || f.acceptor.Context().Err() != nil {
			f.transport.killAsync(x.endpoint, x.threadID)
			s.closeConn(policy.Canceled)
			f.outcomes[left].Add(1)
			return errSessionEnded
		}
		var answer *wire.Error
		var beforeStatement errBeforeStatement
		// The server rejected the PREPARE before the EXECUTE: the session continues.
		if errors.As(err, &beforeStatement) && errors.As(err, &answer) {
			f.outcomes[errored].Add(1)
			return s.sendError(answer)
		}
		why := "the server went before it answered"
		if errors.Is(err, os.ErrDeadlineExceeded) {
			why = "the server did not answer in time"
			f.transport.killAsync(x.endpoint, x.threadID)
		}
		s.closeConn(policy.Reset)
		return s.reportLoss(st, s.state.ConnectionLost(st, !errors.As(err, &beforeStatement), why))
	}
	resolve(engine.Served)
	return s.relayReply(st, p)
}

// errClientLeft means that the client disconnected while it waited for a reply.
var errClientLeft = errors.New("the client has left")

// awaitReply waits for a reply and reads its first packets. Meanwhile it checks whether the client
// has disconnected.
func (s *clientSession) awaitReply(x *exchange, c wire.Command) error {
	until := x.deadline
	for {
		if end := s.frontend.shutdownSchedule(); !end.IsZero() && end.Answer.Before(until) {
			until = end.Answer
		}
		if next := time.Now().Add(disconnectPollInterval); next.Before(until) {
			x.deadline = next
		} else {
			x.deadline = until
		}
		_, err := x.wire.Peek()
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(until) {
			return err
		}
		if s.disconnected() || s.frontend.acceptor.Context().Err() != nil {
			return errClientLeft
		}
	}
	x.deadline = until
	var err error
	x.reply, x.heldPackets, err = x.readReplyStart(c)
	return err
}

// relayReply relays a reply whose first packets have been read, updates the session state, and
// releases the connection if the session is not bound to it. p is the statement that was prepared
// or executed.
func (s *clientSession) relayReply(st *session.Statement, p *preparedStatement) error {
	f, x := s.frontend, s.current
	s.runningOn.Store(x.serverConn)
	defer s.runningOn.Store(nil)
	x.deadline = time.Time{} // the rest of the reply has no deadline, only the stall timeout
	wrote := false
	err := s.copyReply(x, &wrote)
	x.setRunning(false)
	var to wire.WriteError
	switch {
	case errors.As(err, &to): // the client has disconnected or reads nothing
		f.transport.killAsync(x.endpoint, x.threadID)
		s.closeConn(policy.OK)
		f.outcomes[left].Add(1)
		return errSessionEnded
	case err != nil:
		f.transport.warnLimit.Do(func() { f.log.Warn("reply interrupted", "server", string(x.serverID), "err", err) })
		s.closeConn(policy.OK)
		if wrote { // within a packet: an error packet would be read as part of it
			f.outcomes[lost].Add(1)
			return errSessionEnded
		}
		l := s.state.ConnectionLost(st, true, "the reply broke off")
		if l.Error != nil && l.Error.Code == wire.Failed("").Code {
			l.Error = wire.ResultTruncated("its server went")
		}
		return s.reportLoss(st, l)
	}
	reply := x.reply
	if reply.Error != nil {
		f.outcomes[errored].Add(1)
	} else {
		f.outcomes[served].Add(1)
	}
	keep := s.state.StatementEnded(st, reply.ReplySummary) || s.dedicated
	if !s.dedicated && s.state.Bound() || st.StoredCode {
		x.applied.dirty = true
	}
	if reply.OK.LastInsertID != 0 || st.Procedure {
		x.insertIDLeft = true
	}
	if st.Schema != "" && reply.Error == nil {
		x.applied.schema = st.Schema
	}
	if len(st.Settings) > 0 && reply.Error == nil {
		x.applied.settings = settingsKey(s.state.Settings())
	} else if len(st.Settings) > 0 || st.Pins != 0 {
		x.applied.dirty, x.applied.settings = true, "?"
	}
	s.bound.Store(keep && (s.dedicated || s.state.Bound()))
	if !keep {
		s.releaseConn()
	} else if !s.dedicated && !f.pool.ServerUsable(x.serverID) && !s.state.Bound() {
		f.migrated.Add(1)
		s.releaseConn()
	}
	return nil
}

// copyReply copies a reply to the client, packet by packet. It sets wrote if it fails after part of
// a packet was written.
func (s *clientSession) copyReply(x *exchange, wrote *bool) error {
	for _, b := range x.heldPackets {
		if err := s.wire.Write(b); err != nil {
			return wire.NewWriteError(err)
		}
	}
	x.heldPackets = nil
	for !x.reply.Done() {
		if x.wire.R.Buffered() == 0 { // the next packet may take a while
			if err := s.wire.W.Flush(); err != nil {
				return wire.NewWriteError(err)
			}
		}
		piece, err := x.wire.Peek()
		if err != nil {
			return err
		}
		whole, err := x.reply.MustReadWhole(piece)
		if err != nil {
			return err
		}
		if whole {
			b, err := x.wire.Read(session.MaxControlPacket)
			if err != nil {
				return err
			}
			if err := x.reply.Consume(b); err != nil {
				return err
			}
			if err := s.wire.Write(b); err != nil {
				return wire.NewWriteError(err)
			}
			continue
		}
		n, begun, err := x.wire.Forward(&s.wire)
		if err != nil {
			*wrote = begun
			return err
		}
		x.reply.Forwarded(n)
	}
	if err := s.wire.W.Flush(); err != nil {
		return wire.NewWriteError(err)
	}
	return nil
}

// findPrepared returns the prepared statement that a command refers to, or nil.
func (s *clientSession) findPrepared(b []byte) *preparedStatement {
	if len(b) < 5 {
		return nil
	}
	return s.statements[binary.LittleEndian.Uint32(b[1:])]
}

// prepare answers COM_STMT_PREPARE. The statement keeps its ID whichever server runs it.
func (s *clientSession) prepare(b []byte) error {
	sql := string(b[1:])
	if len(s.statements) >= maxStatements || s.preparedBytes+len(sql) > maxPreparedBytes {
		return s.sendError(&wire.Error{Code: 1461, State: "42000", Message: "too many prepared statements in this session"})
	}
	p := &preparedStatement{sql: sql, schema: s.state.DefaultSchema(), parsed: s.scan(sql)}
	if p.parsed.Kill != nil || p.parsed.LocalInfile {
		return s.sendError(wire.NotSupported("this statement, prepared,"))
	}
	for s.lastStatementID++; s.lastStatementID == 0 || s.statements[s.lastStatementID] != nil; s.lastStatementID++ {
	}
	p.id = s.lastStatementID
	st := session.Statement{Verb: p.parsed.Verb, ReadOnly: true, Hint: p.parsed.Hint}
	return s.prepareOnServer(b, &st, p)
}

// prepareOnServer prepares a statement on a server and replaces the server's statement ID in the
// reply by the session's own.
func (s *clientSession) prepareOnServer(b []byte, st *session.Statement, p *preparedStatement) error {
	plan := s.state.Plan(st, s.current != nil)
	if plan.Placement == session.LocalReply {
		s.frontend.outcomes[lost].Add(1)
		return s.sendError(plan.Error)
	}
	useCurrent := s.current != nil && (s.state.Bound() || s.dedicated)
	if s.current != nil && !useCurrent {
		s.releaseConn()
	}
	f := s.frontend
	name, wait := s.classify(st, st.Hint.Timeout)
	if useCurrent {
		r := &engine.Request{Class: name, Timeout: wait}
		if err := f.pool.SubmitDeferred(r); err != nil {
			return s.sendError(wire.Refused(0))
		}
		x := s.current
		x.deadline = time.Now().Add(wait)
		err := x.sendCommand(&job{command: wire.StmtPrepare, message: b})
		if err == nil {
			err = s.awaitReply(x, wire.StmtPrepare)
		}
		if err != nil {
			f.pool.ResolveDeferred(r, engine.Result{Kind: engine.Failed, Server: x.serverID})
			s.closeConn(policy.Reset)
			if errors.Is(err, errClientLeft) {
				return errSessionEnded
			}
			return s.reportLoss(st, s.state.ConnectionLost(st, true, "the server went before it answered"))
		}
		f.pool.ResolveDeferred(r, engine.Result{Kind: engine.Served, Server: x.serverID})
	} else {
		j := &job{
			command: wire.StmtPrepare, message: b, profile: profile{s.caps & replyCapabilities, s.charset}, schema: s.state.DefaultSchema(), settings: s.state.Settings(), read: true,
		}
		r := &engine.Request{Class: name, Timeout: wait, Payload: j}
		if err := f.pool.Submit(r, f.pool.Now()); err != nil {
			f.outcomes[refused].Add(1)
			return s.sendError(wire.Refused(0))
		}
		result, ok := s.awaitResult(r)
		if !ok {
			return errSessionEnded
		}
		if result.Kind != engine.Served {
			return s.reportUnserved(st, result)
		}
		s.acquired(result.Reply.(*exchange))
	}
	x := s.current
	if x.reply.Error == nil {
		p.params = int(x.reply.Prepared.Params)
		s.preparedBytes += len(p.sql)
		s.statements[p.id] = p
		key := p.schema + "\x00" + p.sql
		if old := x.prepared[key]; old == nil && len(x.preparedOrder) < maxPreparedPerConn {
			x.addPrepared(key, &remoteStatement{id: x.reply.Prepared.ID, params: p.params})
		}
		head := x.reply.Prepared
		head.ID = p.id
		x.heldPackets[0] = head.Append(nil)
	}
	return s.relayReply(st, p)
}

// execute answers COM_STMT_EXECUTE.
func (s *clientSession) execute(b []byte) error {
	p := s.findPrepared(b)
	if p == nil {
		return s.sendError(wire.UnknownStatement())
	}
	e, err := session.ParseExecution(b, p.params, p.types)
	defer func() { p.longData, p.longDataSize = nil, 0 }()
	if err != nil {
		var answer *wire.Error
		if errors.As(err, &answer) {
			return s.sendError(answer)
		}
		return s.sendError(wire.ProtocolError(err))
	}
	p.types = e.Types
	return s.runStatement(wire.StmtExecute, nil, p.parsed, p, e)
}

// longData stores part of a parameter until the statement is executed, as the server is only known
// then. COM_STMT_SEND_LONG_DATA has no reply.
func (s *clientSession) longData(b []byte) error {
	p := s.findPrepared(b)
	if p == nil || len(b) < 7 {
		return nil // the EXECUTE reports the error
	}
	if p.longDataSize += len(b); p.longDataSize > s.frontend.cfg.MaxStatementSize {
		s.wire.SetSequence(1)
		s.sendError(wire.StatementTooLarge(s.frontend.cfg.MaxStatementSize))
		return errSessionEnded
	}
	p.longData = append(p.longData, b)
	return nil
}

// resetConnection answers COM_RESET_CONNECTION.
func (s *clientSession) resetConnection(b []byte) error {
	if s.dedicated {
		err := s.runOnCurrent(wire.ResetConnection, b, &session.Statement{Verb: "reset"}, session.InsertIDKept)
		if err == nil && s.current != nil {
			s.state.Reset(s.state.DefaultSchema())
			s.statements, s.preparedBytes = map[uint32]*preparedStatement{}, 0
		}
		return err
	}
	s.resetSession(s.state.DefaultSchema())
	return s.sendOK()
}

// resetSession resets the session to its initial state with the given schema.
func (s *clientSession) resetSession(schema string) {
	if s.current != nil {
		if s.state.Bound() { // the server rolls back
			s.closeConn(policy.OK)
		} else {
			s.releaseConn()
		}
	}
	s.state.Reset(schema)
	s.statements, s.preparedBytes = map[uint32]*preparedStatement{}, 0
	s.bound.Store(false)
}

// killSession answers KILL and KILL QUERY.
func (s *clientSession) killSession(k *session.Kill) error {
	victim := s.frontend.findSession(k.ID)
	if victim == nil || s.user.Name == "" || victim.currentUser() != s.user.Name {
		return s.sendError(&wire.Error{Code: 1094, State: "HY000", Message: "Unknown thread id"})
	}
	to := victim.runningOn.Load()
	if !k.QueryOnly {
		victim.raw.Close() // the goroutine that serves it cleans up
		return s.sendOK()
	}
	if s.frontend.cfg.Account.User == "" {
		return s.sendError(wire.NotSupported("KILL QUERY without an account"))
	}
	if to != nil {
		if _, err := s.frontend.transport.killRunning(to); err != nil {
			return s.sendError(wire.Failed("the server cannot be told: " + err.Error()))
		}
	}
	return s.sendOK()
}

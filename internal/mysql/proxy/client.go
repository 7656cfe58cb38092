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
	// version is what clients are told. Some clients go by it.
	version = "8.4.0-quillfront"
	// mostStatements and mostPreparedText bound what a session has prepared.
	mostStatements   = 1024
	mostPreparedText = 1 << 20
	// watchEvery is how often it is looked whether a client that waits has left.
	watchEvery = 20 * time.Millisecond
	clientBuf  = 8 << 10
)

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, clientBuf) }}

// client is a session of a client.
type client struct {
	f       *Frontend
	id      uint32
	guest   *connlimit.Slot
	raw     net.Conn // the socket
	conn    net.Conn // raw, or TLS on it
	wire    wire.Conn
	user    User
	caps    wire.Capability
	charset byte
	text    int // bytes of what is prepared

	// mu is held while a command is dealt with, so that whoever gets it finds the session at rest.
	mu         sync.Mutex
	state      *session.State // nil: not logged in
	x          *exchange      // the connection that the session has; nil: none
	statements map[uint32]*prepared
	last       uint32    // number of a statement
	rested     time.Time // since when it has been at rest
	drained    time.Time // since when its server takes nothing new; zero: it does

	named   atomic.Pointer[string] // its user, for others
	bound   atomic.Bool
	closing atomic.Pointer[wire.Error] // what the client is told before it is closed
	target  atomic.Pointer[server]     // where its statement runs; nil: nowhere
	forever bool                       // x is the session's for its whole life
}

func newClient(f *Frontend, id uint32, c net.Conn, g *connlimit.Slot) *client {
	s := &client{f: f, id: id, guest: g, raw: c, conn: c, statements: map[uint32]*prepared{}, rested: time.Now()}
	s.wire.R = bufio.NewReaderSize(c, clientRead)
	return s
}

// name returns the user, for whoever does not hold mu.
func (s *client) name() string {
	if n := s.named.Load(); n != nil {
		return *n
	}
	return ""
}

// is makes u the session's user.
func (s *client) is(u User) {
	s.user = u
	s.named.Store(&u.Name)
}

// slow writes to a client that may take nothing only for so long.
type slow struct{ s *client }

// Write is the method of io.Writer.
func (w slow) Write(b []byte) (int, error) {
	w.s.conn.SetWriteDeadline(time.Now().Add(w.s.f.cfg.StallTimeout))
	return w.s.conn.Write(b)
}

// buffer gives the session a buffer for what it writes, until the function that is returned.
func (s *client) buffer() func() {
	w := writers.Get().(*bufio.Writer)
	w.Reset(slow{s})
	s.wire.W = w
	return func() {
		s.wire.W = nil
		w.Reset(nil)
		writers.Put(w)
	}
}

func (s *client) send(b []byte) error {
	if err := s.wire.Write(b); err != nil {
		return err
	}
	return s.wire.W.Flush()
}

func (s *client) fail(e *wire.Error) error { return s.send(e.Append(nil)) }

// errEnd ends a session without a word.
var errEnd = errors.New("the session has ended")

// run serves the client until it leaves.
func (s *client) run() {
	s.raw.SetDeadline(time.Now().Add(s.f.cfg.LoginTimeout))
	done := s.buffer()
	s.mu.Lock() // it is not at rest
	err := s.login()
	s.rested = time.Now()
	s.mu.Unlock()
	done()
	if err != nil {
		return
	}
	s.raw.SetDeadline(time.Time{})
	defer s.leave()
	for {
		if err := s.next(); err != nil {
			return
		}
	}
}

// leave gives back what the session has.
func (s *client) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.x == nil {
		return
	}
	if s.forever || s.state.Bound() {
		s.drop(policy.OK)
	} else {
		s.give()
	}
}

// give gives the connection back, on which nothing binds the session.
func (s *client) give() {
	x := s.x
	s.x, s.drained = nil, time.Time{}
	s.state.ConnectionReleased()
	s.f.transport.keep(x.server)
	x.end(policy.OK)
}

// drop closes the connection.
func (s *client) drop(status policy.Status) {
	x := s.x
	s.x, s.drained = nil, time.Time{}
	x.Close()
	x.end(status)
}

// look deals with a session at rest: its connection is given back once it was held for long enough or its server takes nothing new, and
// the session ends where its time is up.
func (s *client) look(now time.Time) {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.state == nil {
		return
	}
	f := s.f
	if x := s.x; x != nil {
		takes := f.pool.ServerUsable(x.at)
		switch {
		case takes:
			s.drained = time.Time{}
		case s.drained.IsZero():
			s.drained = now
		}
		switch {
		case !s.forever && !s.state.Bound() && (!takes || now.Sub(s.rested) >= f.cfg.HoldTimeout):
			if !takes {
				f.moved.Add(1)
			}
			s.give()
		case !takes && now.Sub(s.drained) >= f.cfg.DrainTimeout:
			f.drained.Add(1)
			if s.forever {
				s.shut(wire.ConnectionClosing("the server takes nothing new"))
				return
			}
			s.drop(policy.OK)
			if l := s.state.ConnectionLost(nil, false, "its server takes nothing new"); l.Close {
				s.shut(l.Error)
				return
			}
		}
	}
	s.bound.Store(s.x != nil && (s.forever || s.state.Bound()))
	switch {
	case !f.door.DrainingSince().IsZero() && (!s.bound.Load() || f.ending().MustAnswer(now)):
		s.shut(wire.ConnectionClosing("the proxy is ending"))
	case now.Sub(s.rested) >= f.cfg.IdleTimeout:
		s.shut(&wire.Error{Code: 4031, State: "HY000", Message: "The client was disconnected because of inactivity"})
	}
}

// shut closes a session at rest: its client reads why as the answer to what it says next.
func (s *client) shut(e *wire.Error) {
	s.closing.Store(e)
	if s.state != nil && s.x != nil && (s.forever || s.state.Bound()) {
		s.drop(policy.OK)
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

// next takes one command and answers it.
func (s *client) next() error {
	s.wire.Reset()
	piece, err := s.wire.Peek()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.rested = time.Now() }()
	defer s.buffer()()
	if s.closing.Load() != nil {
		return errEnd
	}
	if err != nil {
		return s.unread(err)
	}
	weight := int64(0)
	if piece.Len > smallStatement {
		if weight = int64(piece.Len); piece.Len == wire.MaxPayload {
			weight = int64(s.f.cfg.MaxStatementSize)
		}
		if piece.Len > s.f.cfg.MaxStatementSize {
			return s.unread(wire.ErrTooLarge)
		}
		if !s.f.room.TryAcquire(weight) {
			s.f.statements[refused].Add(1)
			s.wire.SetSequence(1)
			s.fail(wire.Refused(time.Second))
			return errEnd // what is still coming cannot be taken
		}
		defer s.f.room.Release(weight)
	}
	part := s.wire.R.Buffered() < piece.Len+4 // the rest may never come
	if part {
		s.raw.SetReadDeadline(time.Now().Add(s.f.cfg.StallTimeout))
	}
	b, err := s.wire.Read(s.f.cfg.MaxStatementSize)
	if part {
		s.raw.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return s.unread(err)
	}
	if len(b) == 0 {
		return s.unread(wire.ErrMalformed)
	}
	if !s.f.ending().MayForward(time.Now()) {
		s.fail(wire.ConnectionClosing("the proxy is ending"))
		return errEnd
	}
	return s.command(wire.Command(b[0]), b)
}

// unread ends a session whose command cannot be read; the client is told why if it may still be there.
func (s *client) unread(err error) error {
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		s.wire.SetSequence(1)
		s.fail(wire.StatementTooLarge(s.f.cfg.MaxStatementSize))
	case errors.Is(err, wire.ErrSequence), errors.Is(err, wire.ErrMalformed):
		s.wire.SetSequence(1)
		s.fail(wire.ProtocolError(err))
	}
	return errEnd
}

// ok answers with an OK of this side's own.
func (s *client) ok() error {
	status := wire.Status(0)
	if s.state.Autocommit() {
		status |= wire.Autocommit
	}
	if s.state.InTransaction() {
		status |= wire.InTransaction
	}
	return s.send((&wire.OK{Status: status}).Append(nil, 0, s.caps))
}

// command answers one command. An error ends the session.
func (s *client) command(c wire.Command, b []byte) error {
	switch c {
	case wire.Quit:
		return errEnd
	case wire.Ping:
		if s.x == nil || !s.forever && !s.state.Bound() { // what a statement has left on a connection stays there
			return s.ok()
		}
		return s.here(c, b, &session.Statement{Verb: "ping", ReadOnly: true}, 0)
	case wire.InitDB:
		schema := string(b[1:])
		if !s.user.mayUse(schema) {
			return s.fail(&wire.Error{Code: 1044, State: "42000", Message: "Access denied to this schema"})
		}
		return s.statement(c, b, session.Statement{Verb: "use", ReadOnly: true, Schema: schema}, nil, nil)
	case wire.Query:
		return s.query(b)
	case wire.StmtPrepare:
		return s.prepare(b)
	case wire.StmtExecute:
		return s.execute(b)
	case wire.StmtLongData:
		return s.longData(b)
	case wire.StmtClose:
		if p := s.prepared(b); p != nil {
			s.text -= len(p.sql)
			delete(s.statements, p.id)
		}
		return nil
	case wire.StmtReset:
		p := s.prepared(b)
		if p == nil {
			return s.fail(wire.UnknownStatement())
		}
		p.long, p.size = nil, 0
		return s.ok()
	case wire.ResetConnection:
		return s.reset(b)
	case wire.ChangeUser:
		return s.changeUser(b)
	}
	name := map[wire.Command]string{
		wire.FieldList: "COM_FIELD_LIST", wire.Statistics: "COM_STATISTICS", wire.ProcessKill: "COM_PROCESS_KILL", wire.Debug: "COM_DEBUG",
		wire.BinlogDump: "COM_BINLOG_DUMP", wire.BinlogDumpGTID: "COM_BINLOG_DUMP_GTID", wire.RegisterReplica: "COM_REGISTER_SLAVE",
		wire.SetOption: "COM_SET_OPTION", wire.StmtFetch: "COM_STMT_FETCH",
	}[c]
	if name == "" {
		return s.fail(&wire.Error{Code: 1047, State: "08S01", Message: "Unknown command"})
	}
	return s.fail(wire.NotSupported(name))
}

// scan reads a statement. Hints mean nothing where the operator has not said so.
func (s *client) scan(sql string) session.Statement {
	st := s.state.Scan(sql)
	if !s.f.cfg.Hints {
		st.Hint = session.Hint{}
	}
	return st
}

// query answers COM_QUERY.
func (s *client) query(b []byte) error {
	st := s.scan(string(b[1:]))
	if st.Schema != "" && !s.user.mayUse(st.Schema) {
		return s.fail(&wire.Error{Code: 1044, State: "42000", Message: "Access denied to this schema"})
	}
	if st.Kill != nil {
		return s.kill(st.Kill)
	}
	return s.statement(wire.Query, b, st, nil, nil)
}

// statement has a command run where the session's state allows it, and answers it. p and e are an EXECUTE's.
func (s *client) statement(c wire.Command, b []byte, st session.Statement, p *prepared, e *session.Execution) error {
	if st.Hint.Invalid != "" {
		return s.fail(&wire.Error{Code: 1064, State: "42000", Message: "hint: " + st.Hint.Invalid})
	}
	plan := s.state.Plan(&st, s.x != nil)
	switch plan.Placement {
	case session.LocalReply:
		if plan.Error != nil {
			s.f.statements[lost].Add(1)
			return s.fail(plan.Error)
		}
		return s.ok()
	case session.CurrentConnection:
		if p == nil {
			return s.here(c, b, &st, st.Hint.Timeout)
		}
		return s.executeHere(&st, p, e)
	}
	if s.x != nil {
		if s.forever {
			if p != nil {
				return s.executeHere(&st, p, e)
			}
			return s.here(c, b, &st, st.Hint.Timeout)
		}
		s.give()
	}
	return s.anywhere(c, b, &st, p, e)
}

// class returns the class of a statement, and how long its client waits.
func (s *client) class(st *session.Statement, timeout time.Duration) (string, time.Duration) {
	known := func(name string) bool { _, ok := s.f.pool.Class(name); return ok }
	name := s.f.cfg.classOf(s.user.Name, s.state.DefaultSchema(), st.Verb, st.Hint.Class, known)
	class, _ := s.f.pool.Class(name)
	if st.ReadOnly {
		if read, ok := s.f.pool.Class(pool.SafeClass(name)); ok {
			class = read
		}
	}
	wait := class.Deadline
	if timeout > 0 && timeout < wait {
		wait = timeout
	}
	return class.Name, wait
}

// anywhere runs a statement at the server that the decision module picks.
func (s *client) anywhere(c wire.Command, b []byte, st *session.Statement, p *prepared, e *session.Execution) error {
	f := s.f
	j := &job{
		command: c, message: b, stmt: p, exec: e, profile: profile{s.caps & shaping, s.charset}, schema: s.state.DefaultSchema(),
		settings: s.state.Settings(), clean: st.Needs != 0, read: st.ReadOnly, target: &s.target,
	}
	defer s.target.Store(nil)
	if p != nil {
		j.long = p.long
	}
	name, wait := s.class(st, st.Hint.Timeout)
	r := &engine.Request{Class: name, Key: st.Hint.Key, Timeout: wait, Payload: j}
	if err := f.pool.Submit(r, f.pool.Now()); err != nil {
		f.statements[refused].Add(1)
		return s.fail(wire.Refused(0))
	}
	result, ok := s.await(r)
	if !ok {
		f.statements[left].Add(1)
		return errEnd
	}
	if result.Kind == engine.Served {
		s.x = result.Reply.(*exchange)
		return s.relay(st, p)
	}
	return s.unserved(st, result)
}

// unserved tells the client of a statement that no server has answered.
func (s *client) unserved(st *session.Statement, result engine.Result) error {
	f := s.f
	if result.Kind == engine.Refused {
		f.statements[refused].Add(1)
		return s.fail(wire.Refused(result.RetryAfter))
	}
	sent := !result.NotRun // Last may tell of one attempt, and another be out still
	if !sent && !st.ReadOnly {
		f.statements[refused].Add(1)
		return s.fail(wire.Refused(0))
	}
	why := "no server could be reached in time"
	switch {
	case result.Attempts > 0 && result.LastStatus == policy.Timeout:
		why = "the server did not answer in time"
	case sent:
		why = "the server went before it answered"
	}
	return s.tell(st, s.state.ConnectionLost(st, sent, why))
}

// tell tells the client what became of its session.
func (s *client) tell(st *session.Statement, l session.Loss) error {
	var err error
	switch {
	case l.Error == nil:
		s.f.statements[served].Add(1)
		err = s.ok()
	case l.Error.Code == wire.OutcomeUnknown("").Code:
		s.f.statements[unknown].Add(1)
		err = s.fail(l.Error)
	default:
		s.f.statements[lost].Add(1)
		err = s.fail(l.Error)
	}
	if l.Close {
		return errEnd
	}
	return err
}

// await returns a request's result; ok is false if the client left before, and the request is withdrawn.
func (s *client) await(r *engine.Request) (engine.Result, bool) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		select {
		case result := <-r.Result():
			return result, true
		case now := <-tick.C:
			if s.f.ending().MustAnswer(now) {
				s.f.pool.GiveUp(r)
			}
			if !s.gone() {
				continue
			}
		case <-s.f.door.Context().Done():
		}
		if s.f.pool.Withdraw(r) {
			return engine.Result{}, false
		}
		result := <-r.Result()
		if x, ok := result.Reply.(*exchange); ok {
			x.Close()
			x.end(policy.Canceled)
		}
		return result, false
	}
}

// gone reports whether the client has closed its connection, or says that it leaves.
func (s *client) gone() bool {
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

// here runs a command on the connection that the session has.
func (s *client) here(c wire.Command, b []byte, st *session.Statement, timeout time.Duration) error {
	return s.on(st, timeout, func() error {
		return s.x.write(&job{command: c, message: b})
	}, c, nil)
}

// executeHere runs a prepared statement on the connection that the session has.
func (s *client) executeHere(st *session.Statement, p *prepared, e *session.Execution) error {
	return s.on(st, st.Hint.Timeout, func() error {
		return s.x.write(&job{command: wire.StmtExecute, stmt: p, exec: e, long: p.long})
	}, wire.StmtExecute, p)
}

// on has write send a command on the session's connection, and passes its reply on. There is nothing to decide about where; the engine
// counts it as a request with its one end all the same.
func (s *client) on(st *session.Statement, timeout time.Duration, write func() error, c wire.Command, p *prepared) error {
	f, x := s.f, s.x
	name, wait := s.class(st, timeout)
	r := &engine.Request{Class: name, Timeout: wait}
	if err := f.pool.SubmitDeferred(r); err != nil {
		f.statements[refused].Add(1)
		return s.fail(wire.Refused(0))
	}
	settle := func(k engine.ResultKind) { f.pool.ResolveDeferred(r, engine.Result{Kind: k, Server: x.at}) }
	x.until = time.Now().Add(wait)
	if !x.quiet() {
		settle(engine.Failed)
		s.drop(policy.Reset)
		return s.tell(st, s.state.ConnectionLost(st, false, "its server had gone"))
	}
	x.runs(true)
	s.target.Store(x.server)
	defer s.target.Store(nil)
	err := write()
	if err == nil {
		err = s.firstOf(x, c)
	}
	if err != nil {
		settle(engine.Failed)
		if errors.Is(err, errGone) || f.door.Context().Err() != nil {
			f.transport.kill(x.to, x.thread)
			s.drop(policy.Canceled)
			f.statements[left].Add(1)
			return errEnd
		}
		var answer *wire.Error
		var sync errSync
		if errors.As(err, &sync) && errors.As(err, &answer) { // to PREPARE: the session goes on
			f.statements[errored].Add(1)
			return s.fail(answer)
		}
		why := "the server went before it answered"
		if errors.Is(err, os.ErrDeadlineExceeded) {
			why = "the server did not answer in time"
			f.transport.kill(x.to, x.thread)
		}
		s.drop(policy.Reset)
		return s.tell(st, s.state.ConnectionLost(st, !errors.As(err, &sync), why))
	}
	settle(engine.Served)
	return s.relay(st, p)
}

// errGone tells that the client left while it waited.
var errGone = errors.New("the client has left")

// firstOf reads the first packet of a reply, and looks meanwhile whether the client is still there.
func (s *client) firstOf(x *exchange, c wire.Command) error {
	until := x.until
	for {
		if end := s.f.ending(); !end.IsZero() && end.Answer.Before(until) {
			until = end.Answer
		}
		if next := time.Now().Add(watchEvery); next.Before(until) {
			x.until = next
		} else {
			x.until = until
		}
		_, err := x.wire.Peek()
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(until) {
			return err
		}
		if s.gone() || s.f.door.Context().Err() != nil {
			return errGone
		}
	}
	x.until = until
	var err error
	x.reply, x.held, err = x.begin(c)
	return err
}

// relay passes on the reply whose first packet has come, notes what it means for the session, and lets go of the connection if nothing
// keeps it. p is the statement that was prepared or executed.
func (s *client) relay(st *session.Statement, p *prepared) error {
	f, x := s.f, s.x
	s.target.Store(x.server)
	defer s.target.Store(nil)
	x.until = time.Time{} // what comes now may be as long as it likes, but may not stand still
	wrote := false
	err := s.pass(x, &wrote)
	x.runs(false)
	var to wire.WriteError
	switch {
	case errors.As(err, &to): // the client has left, or takes nothing
		f.transport.kill(x.to, x.thread)
		s.drop(policy.OK)
		f.statements[left].Add(1)
		return errEnd
	case err != nil:
		f.transport.some.Do(func() { f.log.Warn("a reply broke off", "server", string(x.at), "err", err) })
		s.drop(policy.OK)
		if wrote { // within a packet: nothing that is sent now would be understood
			f.statements[lost].Add(1)
			return errEnd
		}
		l := s.state.ConnectionLost(st, true, "the reply broke off")
		if l.Error != nil && l.Error.Code == wire.Failed("").Code {
			l.Error = wire.ResultTruncated("its server went")
		}
		return s.tell(st, l)
	}
	reply := x.reply
	if reply.Error != nil {
		f.statements[errored].Add(1)
	} else {
		f.statements[served].Add(1)
	}
	keep := s.state.StatementEnded(st, reply.ReplySummary) || s.forever
	if !s.forever && s.state.Bound() {
		x.said.dirty = true
	}
	if st.Schema != "" && reply.Error == nil {
		x.said.schema = st.Schema
	}
	if len(st.Settings) > 0 && reply.Error == nil {
		x.said.settings = joined(s.state.Settings())
	} else if len(st.Settings) > 0 || st.Pins != 0 {
		x.said.dirty, x.said.settings = true, "?"
	}
	s.bound.Store(keep && (s.forever || s.state.Bound()))
	if !keep {
		s.give()
	} else if !s.forever && !f.pool.ServerUsable(x.at) && !s.state.Bound() {
		f.moved.Add(1)
		s.give()
	}
	return nil
}

// pass passes a reply on, packet by packet. wrote tells that part of a packet has gone out.
func (s *client) pass(x *exchange, wrote *bool) error {
	for _, b := range x.held {
		if err := s.wire.Write(b); err != nil {
			return wire.NewWriteError(err)
		}
	}
	x.held = nil
	for !x.reply.Done() {
		if x.wire.R.Buffered() == 0 { // what comes next may take a while
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

// prepared returns the statement that a command names, nil if there is none.
func (s *client) prepared(b []byte) *prepared {
	if len(b) < 5 {
		return nil
	}
	return s.statements[binary.LittleEndian.Uint32(b[1:])]
}

// prepare answers COM_STMT_PREPARE. The statement keeps its number whichever server runs it.
func (s *client) prepare(b []byte) error {
	sql := string(b[1:])
	if len(s.statements) >= mostStatements || s.text+len(sql) > mostPreparedText {
		return s.fail(&wire.Error{Code: 1461, State: "42000", Message: "too many prepared statements in this session"})
	}
	p := &prepared{sql: sql, schema: s.state.DefaultSchema(), scan: s.scan(sql)}
	if p.scan.Kill != nil || p.scan.LocalInfile {
		return s.fail(wire.NotSupported("this statement, prepared,"))
	}
	for s.last++; s.last == 0 || s.statements[s.last] != nil; s.last++ {
	}
	p.id = s.last
	st := session.Statement{Verb: p.scan.Verb, ReadOnly: true, Hint: p.scan.Hint}
	return s.preparing(b, &st, p)
}

// preparing has a server prepare a statement, and tells the client this side's number of it.
func (s *client) preparing(b []byte, st *session.Statement, p *prepared) error {
	plan := s.state.Plan(st, s.x != nil)
	if plan.Placement == session.LocalReply {
		s.f.statements[lost].Add(1)
		return s.fail(plan.Error)
	}
	had := s.x != nil && (s.state.Bound() || s.forever)
	if s.x != nil && !had {
		s.give()
	}
	f := s.f
	name, wait := s.class(st, st.Hint.Timeout)
	if had {
		r := &engine.Request{Class: name, Timeout: wait}
		if err := f.pool.SubmitDeferred(r); err != nil {
			return s.fail(wire.Refused(0))
		}
		x := s.x
		x.until = time.Now().Add(wait)
		err := x.write(&job{command: wire.StmtPrepare, message: b})
		if err == nil {
			err = s.firstOf(x, wire.StmtPrepare)
		}
		if err != nil {
			f.pool.ResolveDeferred(r, engine.Result{Kind: engine.Failed, Server: x.at})
			s.drop(policy.Reset)
			if errors.Is(err, errGone) {
				return errEnd
			}
			return s.tell(st, s.state.ConnectionLost(st, true, "the server went before it answered"))
		}
		f.pool.ResolveDeferred(r, engine.Result{Kind: engine.Served, Server: x.at})
	} else {
		j := &job{
			command: wire.StmtPrepare, message: b, profile: profile{s.caps & shaping, s.charset}, schema: s.state.DefaultSchema(), settings: s.state.Settings(), read: true,
		}
		r := &engine.Request{Class: name, Timeout: wait, Payload: j}
		if err := f.pool.Submit(r, f.pool.Now()); err != nil {
			f.statements[refused].Add(1)
			return s.fail(wire.Refused(0))
		}
		result, ok := s.await(r)
		if !ok {
			return errEnd
		}
		if result.Kind != engine.Served {
			return s.unserved(st, result)
		}
		s.x = result.Reply.(*exchange)
	}
	x := s.x
	if x.reply.Error == nil {
		p.params = int(x.reply.Prepared.Params)
		s.text += len(p.sql)
		s.statements[p.id] = p
		key := p.schema + "\x00" + p.sql
		if old := x.prepared[key]; old == nil && len(x.order) < mostPrepared {
			x.know(key, &remote{id: x.reply.Prepared.ID, params: p.params})
		}
		head := x.reply.Prepared
		head.ID = p.id
		x.held[0] = head.Append(nil)
	}
	return s.relay(st, p)
}

// execute answers COM_STMT_EXECUTE.
func (s *client) execute(b []byte) error {
	p := s.prepared(b)
	if p == nil {
		return s.fail(wire.UnknownStatement())
	}
	e, err := session.ParseExecution(b, p.params, p.types)
	defer func() { p.long, p.size = nil, 0 }()
	if err != nil {
		var answer *wire.Error
		if errors.As(err, &answer) {
			return s.fail(answer)
		}
		return s.fail(wire.ProtocolError(err))
	}
	p.types = e.Types
	return s.statement(wire.StmtExecute, nil, p.scan, p, e)
}

// longData keeps a piece of a parameter until the statement is executed, wherever that is. There is no answer to it.
func (s *client) longData(b []byte) error {
	p := s.prepared(b)
	if p == nil || len(b) < 7 {
		return nil // the EXECUTE will be told
	}
	if p.size += len(b); p.size > s.f.cfg.MaxStatementSize {
		s.wire.SetSequence(1)
		s.fail(wire.StatementTooLarge(s.f.cfg.MaxStatementSize))
		return errEnd
	}
	p.long = append(p.long, b)
	return nil
}

// reset answers COM_RESET_CONNECTION.
func (s *client) reset(b []byte) error {
	if s.forever {
		err := s.here(wire.ResetConnection, b, &session.Statement{Verb: "reset"}, 0)
		if err == nil && s.x != nil {
			s.state.Reset(s.state.DefaultSchema())
			s.statements, s.text = map[uint32]*prepared{}, 0
		}
		return err
	}
	s.begin(s.state.DefaultSchema())
	return s.ok()
}

// begin begins the session anew.
func (s *client) begin(schema string) {
	if s.x != nil {
		if s.state.Bound() { // the server rolls back
			s.drop(policy.OK)
		} else {
			s.give()
		}
	}
	s.state.Reset(schema)
	s.statements, s.text = map[uint32]*prepared{}, 0
	s.bound.Store(false)
}

// kill answers KILL.
func (s *client) kill(k *session.Kill) error {
	v := s.f.find(k.ID)
	if v == nil || s.user.Name == "" || v.name() != s.user.Name {
		return s.fail(&wire.Error{Code: 1094, State: "HY000", Message: "Unknown thread id"})
	}
	to := v.target.Load()
	if !k.QueryOnly {
		v.raw.Close() // whoever serves it sees to the rest
		return s.ok()
	}
	if s.f.cfg.Account.User == "" {
		return s.fail(wire.NotSupported("KILL QUERY without an account"))
	}
	if to != nil {
		if _, err := s.f.transport.end(to); err != nil {
			return s.fail(wire.Failed("the server cannot be told: " + err.Error()))
		}
	}
	return s.ok()
}

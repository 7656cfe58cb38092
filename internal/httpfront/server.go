// Package httpfront is the side of the clients over HTTP/1.1: it owns their connections, takes requests from them and
// writes each its one answer. Each request goes through the engine; it decides nothing itself but what is no request.
package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"quillfront/internal/engine"
	"quillfront/internal/httpcall"
	"quillfront/internal/httpmsg"
	"quillfront/internal/orders"
	"quillfront/internal/shutdown"
	"quillfront/internal/sockets"
)

const (
	// bodyShare is the part of the memory limit that bodies may hold, one over bodyShare.
	bodyShare = 8
	// mostClientHead bounds a request's head. It is held in a buffer of that size.
	mostClientHead = 8 << 10
	// headTime is how long a client may take to write a head, counted from the start of a new connection: bad clients
	// are owed an end within 3 s of it, and clients may take up to 2 s.
	headTime = 2500 * time.Millisecond
	// bodyTime is how long a client may take to write a body of up to httpmsg.MaxWhole. It guards against clients that hold room
	// and a descriptor for ever. One on a link so slow that 64 KiB take longer would be cut off wrongly.
	bodyTime = 2 * time.Second
	// bodyStall is how long a longer body may stand still, and bodyRate how many bytes a second it must bring in the mean:
	// half of what the slowest clients do.
	bodyStall = 1500 * time.Millisecond
	bodyRate  = 32 << 10
	// mostHeld is the longest body that is held whole where there is room for it: such a request can be sent again.
	mostHeld = 1 << 20
	// idleTime is how long a client's connection may stand idle; 2 s are owed. Guards against clients that ask once
	// and keep their connection for good. A client that asks more seldom pays with a new connection each time.
	idleTime = 2100 * time.Millisecond
	// keepAlive tells clients how long a connection is kept, in the whole seconds below idleTime. It guards against requests
	// that cross the close: those that may not be repeated are lost to the client. Clients that honour it, as Node's
	// http.Agent does with a second to spare, open a new connection instead.
	keepAlive = "Keep-Alive: timeout=2\r\n"
	// crowdShare is the part of the clients' places from which an answer is the last one on its connection.
	crowdShare = 0.4
	// quietLeast is how long a connection has been quiet at least when it is closed to make room: a new one's
	// first bytes may be on their way.
	quietLeast = 250 * time.Millisecond
	// slowLeast is the same for one whose request has come in part.
	slowLeast = time.Second
	// writeTime is how long a client may take none of its answer.
	writeTime = 2 * time.Second
	// streamTime is the same once an answer is passed on as it comes, for each piece of it.
	streamTime = 5 * time.Second
	// lingerTime is how long what a client still sends is read and dropped after its request was turned away, so that
	// the answer reaches it before a reset does.
	lingerTime = 300 * time.Millisecond
	// lookEvery is how often a connection is looked at whose client could leave unheard: see unheard. What it waits for is not sent on
	// 0.3 s later.
	lookEvery = 50 * time.Millisecond
	// acceptRetry is the pause after a failed accept.
	acceptRetry = 5 * time.Millisecond
	// mostScratch bounds the room for an answer that a connection keeps for the next one.
	mostScratch = 4 << 10
)

// NewBodyBudget returns the room for the bodies of requests, in bytes. A body's whole length is reserved before it is read:
// however many clients write at once, their bodies hold a fixed part of the memory, and others wait in the kernel.
func NewBodyBudget(memoryMB int) *semaphore.Weighted {
	return semaphore.NewWeighted(max(int64(memoryMB)<<20/bodyShare, httpmsg.MaxWhole))
}

// Server serves the clients. It reads requests itself rather than by net/http's server, which hides what must be known
// here: heads as they came, bytes behind a request, and how far a connection has got when it has to make room.
type Server struct {
	engine  *engine.Engine
	room    *semaphore.Weighted
	whole   *ProxyConfig // nil: it serves the platform's protocol
	limits  limits
	sockets *sockets.Budget
	log     *slog.Logger
	desk    *orders.Desk // nil: requests go to the engine as they come

	mu       sync.Mutex
	conns    map[*clientConn]struct{} // bounded by sockets
	schedule shutdown.Schedule        // of the end, which sequencer runs; zero: not ending. There is no way back: see Drain
	away     bool                     // until Rejoin: see Evacuate
	over     bool                     // all are closed for good
	sweeping bool                     // quiet connections are being closed

	sequencer     *shutdown.Sequencer
	unanswered    context.Context // ends once all that was read has to be answered
	answersDue    context.CancelFunc
	accepting     context.Context // ends once no connection is accepted any more
	stopAccepting context.CancelFunc
	served        chan struct{}  // closed once Serve has ended
	open          sync.WaitGroup // the goroutines of connections
}

// New returns a server that takes its descriptors from b, and holds bodies in room. Requests pass through desk, if there is one.
func New(e *engine.Engine, desk *orders.Desk, room *semaphore.Weighted, b *sockets.Budget, log *slog.Logger) *Server {
	s := newServer(b, log)
	s.engine, s.desk, s.room = e, desk, room
	s.limits = limits{head: mostClientHead, headTime: headTime, idle: idleTime, keepAlive: keepAlive, bodyStall: bodyStall, bodyRate: bodyRate, stream: streamTime}
	return s
}

func newServer(b *sockets.Budget, log *slog.Logger) *Server {
	s := &Server{sockets: b, log: log, conns: map[*clientConn]struct{}{}, served: make(chan struct{})}
	s.sequencer = shutdown.NewSequencer(s.stopForwarding, s.answerAll)
	s.unanswered, s.answersDue = context.WithCancel(context.Background())
	s.accepting, s.stopAccepting = context.WithCancel(context.Background())
	return s
}

// limits are those of a client's connection.
type limits struct {
	head              int // bytes
	headTime, idle    time.Duration
	keepAlive         string // the line that tells idle
	bodyStall, stream time.Duration
	bodyRate          int64 // bytes a second
}

// phase is how far a client's connection has got.
type phase int

const (
	fresh     phase = iota // nothing has come yet
	idle                   // between two requests
	reading                // a request has come in part
	serving                // a request is open
	lingering              // turned away
)

// clientConn is a client's connection. Its phase is under the server's lock.
type clientConn struct {
	net.Conn
	release func()
	peek    *sockets.Peeker // under the server's lock
	r       *bufio.Reader
	head    httpmsg.Head // of the present request
	body    httpmsg.Body // the same
	minor   int          // the same: of HTTP/1
	scratch []byte       // for answers
	more    chan error   // how the wait for what comes next has ended
	waiting bool         // that wait is under way
	bare    bool         // the answer to the present request has no body
	phase   phase
	since   time.Time   // of that phase
	open    openRequest // while it is serving; under the server's lock
	endless bool        // its answer ends with the connection, and has not ended; under the server's lock
	heard   atomic.Bool // something has been read since it fell quiet
}

// openRequest is a request that was handed to an engine, or is about to be.
type openRequest struct {
	engine  *engine.Engine
	request *engine.Request
}

// Read is the method of net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(true)
	}
	return n, err
}

// Serve accepts connections until ln ends, or the server does. It takes a descriptor for each before: while there is none
// free, connections wait in the kernel's backlog. It closes ln, and is called once at most.
func (s *Server) Serve(ln net.Listener) error {
	defer close(s.served)
	defer ln.Close()
	defer context.AfterFunc(s.accepting, func() { ln.Close() })()
	for {
		release, err := s.sockets.AcquireClient(s.accepting)
		if err != nil {
			return net.ErrClosed
		}
		nc, err := ln.Accept()
		if err != nil {
			release()
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			// The machine is short of something, or the peer has left before it was accepted: neither lasts.
			s.log.Warn("accept", "err", err)
			time.Sleep(acceptRetry)
			continue
		}
		s.take(nc, release)
	}
}

// take serves a new connection, and calls release once it has ended. One that comes after the last was accepted is closed.
func (s *Server) take(nc net.Conn, release func()) {
	c := &clientConn{
		Conn: nc, release: release, peek: sockets.NewPeeker(nc), since: time.Now(), more: make(chan error, 1),
	}
	c.r = bufio.NewReaderSize(c, s.limits.head)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accepting.Err() != nil {
		nc.Close()
		release()
		return
	}
	s.conns[c] = struct{}{}
	s.open.Go(func() { s.serve(c) })
}

// enter notes that c has come to a phase, and reports whether it may: one that was closed to make room may not.
func (s *Server) enter(c *clientConn, p phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.enterLocked(c, p)
}

// enterLocked is enter with the lock held.
func (s *Server) enterLocked(c *clientConn, p phase) bool {
	if _, ok := s.conns[c]; !ok {
		return false
	}
	c.phase, c.since, c.open = p, time.Now(), openRequest{}
	if p == serving { // all that came is taken, and nobody reads: what is heard from now on is the next request
		c.heard.Store(false)
	}
	return true
}

// mayServe notes that c is about to have its request r handed to e, or returns why it may not be. From then on the
// server sees to it that r has its result in time when it ends.
//
// A client that has gone gets nothing sent. It guards against sending on what nobody waits for any more, after a wait for
// a place, for room or for a turn of this goroutine: nobody has listened to the connection meanwhile. It costs a look at
// each connection; a client that ends its sending with its request, and yet reads, is taken for one that has gone, here
// as later.
func (s *Server) mayServe(c *clientConn, e *engine.Engine, r *engine.Request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.enterLocked(c, serving) || c.peek.PeerClosed() {
		return errGone
	}
	if !s.schedule.MayForward(time.Now()) {
		return errEnding
	}
	r.Deadline = s.schedule.Answer
	c.open = openRequest{e, r}
	return nil
}

// crowded reports whether clients hold so many connections that none is worth keeping. It guards against clients that ask
// once and keep their connection, a new one for each request: however fast they are, they cannot use up the connections
// that the application may have before idleTime ends the first of them, nor the sidecar's own. It says so with the
// answer rather than closing later, so that no request crosses the close. A crowd that does use its connections again
// pays with a new one for each request. Called with the lock held.
func (s *Server) crowded() bool {
	_, places := s.sockets.Limits()
	return float64(len(s.conns)) > crowdShare*float64(places)
}

// drop closes c and gives its descriptor back. Called with the lock held.
func (s *Server) drop(c *clientConn) {
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		if tcp, ok := c.Conn.(*net.TCPConn); ok && c.endless { // an orderly end would pass for that of the answer
			tcp.SetLinger(0)
		}
		c.Conn.Close()
		c.release()
	}
}

// Evict closes the connection that is missed least: one that was turned away, else the one that has been quiet longest,
// else one that has been slow to write its request. It guards against connections that are opened only to be held: they
// would keep all others waiting. A client whose first request crosses the close must try again.
func (s *Server) Evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	rank := func(c *clientConn) int {
		age := now.Sub(c.since)
		switch {
		case c.phase == lingering:
			return 3
		case (c.phase == idle || c.phase == fresh) && age >= quietLeast && !c.heard.Load():
			return 2
		case c.phase == reading && age >= slowLeast:
			return 1
		}
		return 0
	}
	var victim *clientConn
	best := 0
	for c := range s.conns {
		r := rank(c)
		if r > best || r == best && r > 0 && c.since.Before(victim.since) {
			if r != 2 || c.peek.Empty() {
				victim, best = c, r
			}
		}
	}
	if victim == nil {
		return false
	}
	s.drop(victim)
	return true
}

// serve serves one connection: a request after the other.
func (s *Server) serve(c *clientConn) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.drop(c)
	}()
	for until := c.since.Add(s.limits.headTime); ; until = time.Now().Add(s.limits.idle) {
		first := c.phase == fresh
		c.SetReadDeadline(until) // also of the wait that is under way
		if err := c.next(); err != nil && !s.crossed(c, err) || !s.enter(c, reading) {
			return
		}
		if s.unanswered.Err() != nil {
			s.reject(c, errEnding)
			return
		}
		if now := time.Now(); !first || now.After(until) {
			c.SetReadDeadline(now.Add(s.limits.headTime))
		}
		if s.whole != nil {
			if !s.serveWhole(c) || !s.enter(c, idle) {
				return
			}
			continue
		}
		r, keep, rest, err := s.read(c)
		if err != nil {
			s.reject(c, err)
			return
		}
		if r == nil { // asked whether the sidecar is ready
			if !s.write(c, keep, s.readiness()) || !s.enter(c, idle) {
				return
			}
			continue
		}
		if !s.answer(c, keep, r, rest) || !s.enter(c, idle) {
			return
		}
	}
}

// crossed reports whether something had come when the wait for it ended by its time. It guards against closing on a request
// that is there already: on a busy machine the goroutine that was to read it may get its turn only after the deadline, and
// the close would reset a request that the client may not repeat. It costs a look at the connection when it ends.
func (s *Server) crossed(c *clientConn, err error) bool {
	if !isTimeout(err) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.peek.HasData()
}

// ready is the answer to a probe of readiness.
var ready = &httpmsg.Answer{}

// readiness is the answer to a probe of it.
func (s *Server) readiness() engine.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return engine.Result{Kind: engine.Refused}
	}
	return engine.Result{Reply: ready}
}

// persistence is what a request says of its connection.
type persistence int

const (
	last   persistence = iota // it ends with the answer
	stays                     // it stays open, as it does by default
	spoken                    // it stays open, which the answer must say
)

// read reads one request and hands it to the engine, if it may be served. It returns no request for a probe of
// readiness.
func (s *Server) read(c *clientConn) (*engine.Request, persistence, *httpmsg.Upload, error) {
	if err := c.head.Read(c.r); err != nil {
		return nil, last, nil, err
	}
	method, target, minor, err := c.head.Request()
	if err != nil {
		return nil, last, nil, err
	}
	c.bare, c.minor = string(method) == http.MethodHead, minor
	keep := stays
	switch {
	case c.head.Close || minor == 0 && !c.head.Keep:
		keep = last
	case minor == 0:
		keep = spoken
	}
	if minor == 0 && c.head.Chunked { // such a sender knows of no chunks
		return nil, last, nil, httpmsg.ErrFraming
	}
	call := httpcall.Call{Method: methodName(method), Target: string(target), Length: max(c.head.Length, 0)}
	if c.head.Chunked {
		call.Length = -1
	}
	if call.Method == http.MethodGet && call.Target == "/healthz" && call.Length == 0 {
		c.head.Discard(c.r)
		if !s.enter(c, serving) {
			return nil, last, nil, errGone
		}
		return nil, keep, nil, nil
	}
	lines := 0
	for _, f := range c.head.Fields {
		if err := call.Add(f); err != nil {
			return nil, last, nil, err
		}
		lines += len(f.Name) + len(f.Value) + len(": \r\n")
	}
	call.HostOptional = minor == 0
	r, err := call.Request(s.engine)
	if err != nil {
		return nil, last, nil, err
	}
	m := &httpmsg.Message{Method: call.Method, Target: call.Target, Host: call.Host, Lines: make([]byte, 0, lines)}
	expects := false
	for _, f := range c.head.Fields {
		switch {
		case f.Is("Expect"):
			expects = bytes.EqualFold(f.Value, []byte("100-continue"))
		case f.Is("Host") || f.Is("X-Timeout-Ms") || c.head.Hop(f): // the transport writes its own
		default:
			m.Lines = f.Append(m.Lines)
		}
	}
	r.Payload = m
	c.head.Discard(c.r)
	if err := s.readBody(c, r, m, call.Length, expects); err != nil {
		return nil, last, nil, err
	}
	if m.Rest == nil && c.r.Buffered() > 0 {
		err = errCrowd
	} else if err = s.mayServe(c, s.engine, r); err == nil {
		err = s.hand(r, &call, m)
	}
	if errors.Is(err, engine.ErrDuplicateID) {
		err = httpcall.Rejection{Status: http.StatusConflict, Text: "a request with this X-Request-ID is open"}
	} else if errors.Is(err, orders.ErrMismatch) {
		err = httpcall.Rejection{Status: http.StatusUnprocessableEntity, Text: err.Error()}
	} else if errors.Is(err, engine.ErrClosed) {
		err = httpcall.Rejection{Status: http.StatusServiceUnavailable, Text: err.Error()}
	}
	if err != nil {
		if r.Release != nil {
			r.Release()
		}
		return nil, last, nil, err
	}
	return r, keep, m.Rest, nil
}

// left reports whether c's client has gone; see mayServe.
func (s *Server) left(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.peek.PeerClosed()
}

// hand hands a request on.
func (s *Server) hand(r *engine.Request, call *httpcall.Call, m *httpmsg.Message) error {
	if s.desk == nil || call.IdempotencyKey == "" {
		return s.engine.Submit(r, s.engine.Now())
	}
	read := s.engine.Now()
	return s.desk.Take(r, orders.Ask{Key: call.IdempotencyKey, Print: call.Fingerprint(m.Body)}, read)
}

// methodName is the method's name, without allocating for those that the protocol has.
func methodName(b []byte) string {
	switch string(b) {
	case http.MethodGet:
		return http.MethodGet
	case http.MethodPost:
		return http.MethodPost
	}
	return string(b)
}

var (
	errGone = errors.New("the connection has been closed to make room")
	// errCrowd guards against clients that write many requests at once: the protocol has one at a time, and what
	// came behind would be held unread or served out of turn.
	errCrowd = httpcall.Rejection{Status: http.StatusBadRequest, Text: "more came before the answer: one request at a time"}
	// errEnding is for requests that are read too late in a shutdown to be forwarded.
	errEnding = httpcall.Rejection{Status: http.StatusServiceUnavailable, Text: "shutting down"}
)

// answer waits for the final answer to r and writes it. It reports whether the connection can go on. The wait for what
// comes next then goes on too: to end it for each request would cost two switches of goroutines.
func (s *Server) answer(c *clientConn, keep persistence, r *engine.Request, rest *httpmsg.Upload) bool {
	if rest != nil {
		result, gone := s.unheard(c, s.engine, r, rest)
		if gone {
			return false
		}
		if result != nil {
			if err := rest.Broken(); err != nil && result.Kind != engine.Served {
				s.reject(c, bodyError(err))
				return false
			}
			return s.answerEarly(c, keep, rest, *result)
		}
		if err := rest.Broken(); err != nil {
			if s.engine.Withdraw(r) {
				s.reject(c, bodyError(err))
			} else if result := <-r.Result(); result.Kind != engine.Served {
				s.reject(c, bodyError(err))
			} else {
				s.write(c, last, result)
			}
			return false
		}
	}
	c.SetReadDeadline(time.Time{})
	c.waiting = true
	go c.await()
	select {
	case result := <-r.Result():
		return s.write(c, keep, result)
	case err := <-c.more:
		c.waiting = false
		if !s.engine.Withdraw(r) {
			s.write(c, last, <-r.Result())
		} else if err == nil {
			s.reject(c, errCrowd)
		}
		return false
	}
}

// answerEarly answers at once, though a part of the request's body is still to come, which is read and dropped then: else the
// client, which reads only once it has written, would not get the answer before the end of the connection.
func (s *Server) answerEarly(c *clientConn, keep persistence, rest *httpmsg.Upload, result engine.Result) bool {
	src := rest.TakeBack(func() { c.SetReadDeadline(time.Now()) })
	goesOn := s.write(c, keep, result)
	if src != nil {
		if _, err := io.Copy(io.Discard, src); err != nil {
			return false
		}
	}
	return goesOn
}

// unheard waits for r's result, or for the end of rest if there is one, while more of what its client wrote stands unread, so that nobody
// would hear it leave. It looks for that instead, and withdraws r then. The result is nil where rest has ended or the client is gone.
func (s *Server) unheard(c *clientConn, e *engine.Engine, r *engine.Request, rest *httpmsg.Upload) (result *engine.Result, gone bool) {
	var ended <-chan struct{}
	if rest != nil {
		ended = rest.Done()
	}
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case result := <-r.Result():
			return &result, false
		case <-ended:
			return nil, false
		case <-look.C:
			if rest != nil && rest.Started() { // whoever reads it hears the end
				look.Stop()
			} else if s.left(c) && e.Withdraw(r) {
				return nil, true
			}
		}
	}
}

// await waits until something comes, the client leaves or the read deadline has passed.
func (c *clientConn) await() {
	_, err := c.r.Peek(1)
	c.more <- err
}

// next waits until something has come, or can no longer. From then on nobody else reads.
func (c *clientConn) next() error {
	if c.waiting {
		c.waiting = false
		return <-c.more
	}
	_, err := c.r.Peek(1)
	return err
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// reject answers a request that cannot be served, and ends its connection: what is left of the request is not read for
// what it says.
func (s *Server) reject(c *clientConn, err error) {
	ans := httpcall.Rejection{Status: http.StatusBadRequest, Text: "malformed request"}
	var re httpcall.Rejection
	switch {
	case errors.As(err, &re):
		ans = re
	case errors.Is(err, errGone) || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed):
		return
	case isTimeout(err) && s.unanswered.Err() != nil:
		ans = errEnding
	case isTimeout(err):
		ans = httpcall.Rejection{Status: http.StatusRequestTimeout, Text: "the request did not come whole in time"}
	case errors.Is(err, httpmsg.ErrHeadTooLong):
		ans = httpcall.Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Text: err.Error()}
	case errors.Is(err, httpmsg.ErrHead) || errors.Is(err, httpmsg.ErrFraming) || errors.Is(err, httpmsg.ErrNominated):
		ans.Text = err.Error()
	}
	s.rejectWith(c, ans, "")
}

// rejectWith writes a rejection, with further lines of its head, and ends the connection.
func (s *Server) rejectWith(c *clientConn, ans httpcall.Rejection, lines string) {
	if !s.enter(c, lingering) {
		return
	}
	c.SetWriteDeadline(time.Now().Add(lingerTime))
	body := ans.Text + "\n"
	length := len(body)
	if c.bare { // RFC 9110, section 9.3.2: the length that a body would have had
		body = ""
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		ans.Status, http.StatusText(ans.Status), lines, length, body)
	s.linger(c)
}

// linger ends the sending, and reads and drops what the client still sends for a while, so that what was written reaches it before a
// reset does.
func (s *Server) linger(c *clientConn) {
	c.SetDeadline(time.Now().Add(lingerTime))
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		io.CopyN(io.Discard, c.r, httpmsg.MaxBody)
	}
}

// readBody reads the body once there is room for it, or a part of it where it is long: see httpmsg.Upload.
func (s *Server) readBody(c *clientConn, r *engine.Request, m *httpmsg.Message, length int64, expects bool) error {
	tooLong := httpcall.Rejection{Status: http.StatusRequestEntityTooLarge, Text: httpmsg.ErrBodyTooLong.Error()}
	if length > httpmsg.MaxBody {
		return tooLong
	}
	if length == 0 {
		return nil
	}
	n := length
	if n < 0 || n > httpmsg.MaxWhole && (n > mostHeld || !s.room.TryAcquire(n)) {
		n = httpmsg.MaxWhole // the rest is read as it is sent on
	}
	until := time.Now().Add(bodyTime)
	if n <= httpmsg.MaxWhole && !s.room.TryAcquire(n) {
		ctx, cancel := context.WithDeadline(s.unanswered, until)
		defer cancel()
		if s.room.Acquire(ctx, n) != nil {
			return httpcall.Rejection{Status: http.StatusServiceUnavailable, Text: "no room for the body"}
		}
	}
	r.Release = func() { s.room.Release(n) }
	c.SetReadDeadline(until)
	if expects && c.r.Buffered() == 0 {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	c.body.Reset(c.r, length, length < 0)
	var err error
	if n <= httpmsg.MaxWhole {
		m.Body, err = c.body.UpTo(n)
	} else {
		m.Body = make([]byte, n)
		_, err = io.ReadFull(&paced{c: c, from: time.Now(), lim: &s.limits}, m.Body)
	}
	if err != nil {
		r.Release()
		return bodyError(err)
	}
	if !c.body.Ended() {
		m.Rest, m.Length, r.Upload = httpmsg.NewUpload(&paced{c: c, from: time.Now(), size: n, lim: &s.limits}), length, true
	}
	return nil
}

// bodyError is why a request whose body broke off with err is turned away.
func bodyError(err error) error {
	switch {
	case errors.Is(err, httpmsg.ErrBodyTooLong):
		return httpcall.Rejection{Status: http.StatusRequestEntityTooLarge, Text: err.Error()}
	case isTimeout(err):
		return err
	}
	return httpcall.Rejection{Status: http.StatusBadRequest, Text: "the body did not come whole"}
}

// paced reads the body of c's present request, which must not stand still for bodyStall nor be slower than bodyRate. It
// guards against clients that hold a connection to a server, and its place there, with a body that never ends.
type paced struct {
	c     *clientConn
	from  time.Time // when the body began
	size  int64     // of it, so far
	lim   *limits
	first func() // called before the first Read; nil: nothing is
}

// Read is the method of io.Reader.
func (p *paced) Read(b []byte) (int, error) {
	now := time.Now()
	if p.first != nil {
		p.first()
		p.first, p.from = nil, now
	}
	until := p.from.Add(p.lim.bodyStall + bodyTime - bodyStall + time.Duration(float64(p.size)/float64(p.lim.bodyRate)*float64(time.Second)))
	if now.After(until) {
		return 0, os.ErrDeadlineExceeded
	}
	if still := now.Add(p.lim.bodyStall); still.Before(until) {
		until = still
	}
	p.c.SetReadDeadline(until)
	n, err := p.c.body.Read(b)
	p.size += int64(n)
	return n, err
}

// write writes the final answer, and reports whether the connection can go on.
func (s *Server) write(c *clientConn, keep persistence, result engine.Result) bool {
	s.mu.Lock()
	if s.draining() || s.crowded() {
		keep = last
	}
	s.mu.Unlock()
	status, a := http.StatusBadGateway, &noAnswer
	switch result.Kind {
	case engine.Served:
		if served, ok := result.Reply.(*httpmsg.Answer); ok {
			status, a = http.StatusOK, served
		}
	case engine.Refused:
		status = http.StatusServiceUnavailable
	}
	chunked := a.Rest != nil && a.Length < 0
	if chunked && c.minor == 0 { // it knows of no chunks: the end of the connection is that of the body
		chunked, keep = false, last
	}
	b := appendStatus(c.scratch[:0], status)
	switch {
	case a.Rest == nil:
		b = httpmsg.AppendInt(b, "Content-Length", int64(len(a.Body)))
	case a.Length >= 0:
		b = httpmsg.AppendInt(b, "Content-Length", a.Length)
	case chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	b = s.appendPersistence(b, keep)
	if result.RetryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, result.RetryAfter.Seconds(), 'f', -1, 64)
		b = append(b, "\r\n"...)
	}
	if result.Replayed {
		b = append(b, httpmsg.ReplayedLine...)
	}
	if result.MayHaveRun {
		b = append(b, httpmsg.UnknownLine...)
	}
	b = append(b, a.Lines...)
	b = append(b, "\r\n"...)
	if a.Rest != nil {
		return s.stream(c, b, a, chunked) && keep != last
	}
	b = append(b, a.Body...)
	if c.scratch = nil; cap(b) <= mostScratch {
		c.scratch = b
	}
	c.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := c.Write(b)
	return err == nil && keep != last
}

// appendStatus appends the status line of an answer.
func appendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	return append(b, "\r\n"...)
}

// appendPersistence appends what an answer says of its connection.
func (s *Server) appendPersistence(b []byte, keep persistence) []byte {
	switch keep {
	case last:
		return append(b, "Connection: close\r\n"...)
	case spoken:
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return append(b, s.limits.keepAlive...)
}

// noAnswer is what is written where no server has answered.
var noAnswer httpmsg.Answer

// stream writes head and an answer that is still coming, and reports whether the client has it whole. If it has not, the
// connection ends in a way that tells so: short of the length, without the last chunk, or with a reset where only the end
// of the connection would end the body.
func (s *Server) stream(c *clientConn, head []byte, a *httpmsg.Answer, chunked bool) bool {
	defer a.Rest.Close()
	s.setEndless(c, !chunked && a.Length < 0)
	var size [20]byte
	piece := func(first, b []byte) error {
		c.SetWriteDeadline(time.Now().Add(s.limits.stream))
		parts := net.Buffers{first, b}
		if chunked {
			parts = net.Buffers{first, httpmsg.AppendChunkHead(size[:0], len(b)), b, []byte("\r\n")}
		}
		if len(b) == 0 {
			parts = net.Buffers{first}
		}
		_, err := parts.WriteTo(c.Conn)
		return err
	}
	began, sent := time.Now(), int64(len(a.Body))
	err := piece(head, a.Body)
	by := "client"
	buf, release := httpmsg.Buffer()
	defer release()
	for err == nil {
		var n int
		if n, err = a.Rest.Read(buf); err != nil {
			by = "server"
		}
		if n > 0 {
			if werr := piece(nil, buf[:n]); werr != nil {
				err, by = werr, "client"
			} else {
				sent += int64(n)
			}
		}
	}
	if err != io.EOF {
		s.log.Warn("a long answer broke off", "by", by, "err", err, "sent", sent, "of", a.Length, "after", time.Since(began).Round(time.Millisecond))
	}
	if err == io.EOF && chunked {
		if err = piece(lastChunk(a), nil); err == nil {
			err = io.EOF
		}
	}
	if err == io.EOF {
		s.setEndless(c, false)
	}
	return err == io.EOF
}

// setEndless notes whether c has an answer which only the end of the connection will end, and which has not come to it.
func (s *Server) setEndless(c *clientConn, is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.endless = is
}

// lastChunk is the end of an answer in chunks.
func lastChunk(a *httpmsg.Answer) []byte {
	b := []byte("0\r\n")
	if a.Trailer != nil {
		b = append(b, a.Trailer()...)
	}
	return append(b, "\r\n"...)
}

// Stats counts a server's connections.
type Stats struct {
	Open int // in all
	Idle int // of them, those on which no request is open nor has come in part
}

// Stats returns the present counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Open: len(s.conns)}
	for c := range s.conns {
		if c.phase == fresh || c.phase == idle {
			st.Idle++
		}
	}
	return st
}

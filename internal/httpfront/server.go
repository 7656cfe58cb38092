// Package httpfront is the HTTP/1.1 server for clients. It owns the client connections, reads the
// requests and writes exactly one response to each. Every valid request goes through the engine;
// the package itself decides only which requests are malformed or not allowed.
package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"quillfront/internal/bodybudget"
	"quillfront/internal/engine"
	"quillfront/internal/httpcall"
	"quillfront/internal/httpmsg"
	"quillfront/internal/orders"
	"quillfront/internal/shutdown"
	"quillfront/internal/sockets"
	"quillfront/policy"
)

const (
	// bodyMemoryDivisor sets the share of the memory limit that bodies may use:
	// 1/bodyMemoryDivisor.
	bodyMemoryDivisor = 8
	// maxRequestHead is the maximum size of a request head. The head is held in a buffer of that
	// size.
	maxRequestHead = 8 << 10
	// headTimeout limits the time to read a request head, from the start of a new connection. Bad
	// clients have to be disconnected within 3 s of it, and clients may take up to 2 s.
	headTimeout = 2500 * time.Millisecond
	// bodyTimeout limits the time to read a body of up to httpmsg.MaxFullBody, so that no client
	// holds body memory and a descriptor forever. A client on a link that needs longer for 64 KiB
	// is cut off although it is healthy.
	bodyTimeout = 2 * time.Second
	// bodyStallTimeout limits how long a longer body may make no progress, and minBodyRate is the
	// minimum mean rate in bytes per second: half the rate of the slowest clients.
	bodyStallTimeout = 1500 * time.Millisecond
	minBodyRate      = 32 << 10
	// maxBufferedBody is the longest body that is buffered whole if there is memory for it. Such
	// a request can be sent again.
	maxBufferedBody = 1 << 20
	// idleTimeout limits how long a client connection may be idle; clients are promised 2 s. It
	// ends the connections of clients that send one request and never close. A client that sends
	// requests less often has to open a new connection for each.
	idleTimeout = 2100 * time.Millisecond
	// keepAliveLine announces the idle timeout to clients, in whole seconds below idleTimeout.
	// Without it, a request could cross the close of its connection, and a client loses such a
	// request if it must not be repeated. Clients that honour the header open a new connection
	// instead; Node's http.Agent does so with a margin of one second.
	keepAliveLine = "Keep-Alive: timeout=2\r\n"
	// maxKeepAliveShare is the share of the client connection limit above which each response
	// closes its connection.
	maxKeepAliveShare = 0.4
	// minIdleToEvict is the minimum idle time of a connection that is closed to free a
	// descriptor: the first bytes of a new connection may be in transit.
	minIdleToEvict = 250 * time.Millisecond
	// minReadingToEvict is the same minimum for a connection whose request has been read in part.
	minReadingToEvict = time.Second
	// writeTimeout limits how long a client may read nothing of its response.
	writeTimeout = 2 * time.Second
	// streamTimeout is the same limit for each piece of a response that is streamed.
	streamTimeout = 5 * time.Second
	// lingerTimeout limits how long the server reads and discards what a client still sends after
	// its request was rejected, so that the response reaches the client before a reset does.
	lingerTimeout = 300 * time.Millisecond
	// disconnectPollInterval is the interval of the checks for a disconnected client while
	// nothing reads from its connection; see awaitPolling. The request of a disconnected client
	// must no longer be forwarded after 0.3 s.
	disconnectPollInterval = 50 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 5 * time.Millisecond
	// maxScratch is the largest response buffer that a connection keeps for its next response.
	maxScratch = 4 << 10
)

// NewBodyBudget returns the budget of memory for request bodies. However many clients send at once,
// their bodies use a fixed share of the memory.
func NewBodyBudget(memoryMB int) *bodybudget.Budget {
	return bodybudget.New(int64(memoryMB) << 20 / bodyMemoryDivisor)
}

// Server serves client connections. It parses requests itself because net/http's server does not
// expose what is needed here: the head as received, the bytes after a request, and the state of a
// connection that may have to be evicted.
type Server struct {
	engine           *engine.Engine
	bodyBudget       *bodybudget.Budget
	proxy            *ProxyConfig // nil: the server uses the sidecar protocol
	limits           connLimits
	sockets          *sockets.Budget
	log              *slog.Logger
	orderCoordinator *orders.Coordinator // nil: requests go to the engine directly

	mu    sync.Mutex
	conns map[*clientConn]struct{} // limited by sockets
	// The schedule of the shutdown, run by sequencer; zero: none. It cannot be undone: see Drain.
	schedule  shutdown.Schedule
	evacuated bool // between Evacuate and Rejoin
	closed    bool // all connections are closed, permanently
	sweeping  bool // a sweep of idle connections is scheduled

	sequencer     *shutdown.Sequencer
	answerCtx     context.Context // done once every request read has to be answered
	endAnswerCtx  context.CancelFunc
	acceptCtx     context.Context // done once no connection is accepted any more
	stopAccepting context.CancelFunc
	serveDone     chan struct{}  // closed when Serve returns
	connWG        sync.WaitGroup // the goroutines of the connections
}

// New returns a server for the sidecar protocol. It takes descriptors from b and reserves memory
// for bodies in budget. Requests with an idempotency key pass through coordinator unless it is nil.
func New(e *engine.Engine, coordinator *orders.Coordinator, budget *bodybudget.Budget, b *sockets.Budget, log *slog.Logger) *Server {
	s := newServer(b, log)
	s.engine, s.orderCoordinator, s.bodyBudget = e, coordinator, budget
	s.limits = connLimits{maxHead: maxRequestHead, headTimeout: headTimeout, idleTimeout: idleTimeout, keepAliveLine: keepAliveLine, bodyStallTimeout: bodyStallTimeout, minBodyRate: minBodyRate, streamTimeout: streamTimeout}
	return s
}

// newServer returns a Server without a protocol configuration.
func newServer(b *sockets.Budget, log *slog.Logger) *Server {
	s := &Server{sockets: b, log: log, conns: map[*clientConn]struct{}{}, serveDone: make(chan struct{})}
	s.sequencer = shutdown.NewSequencer(s.stopForwarding, s.answerAll)
	s.answerCtx, s.endAnswerCtx = context.WithCancel(context.Background())
	s.acceptCtx, s.stopAccepting = context.WithCancel(context.Background())
	return s
}

// connLimits are the limits of a client connection.
type connLimits struct {
	maxHead                         int // bytes
	headTimeout, idleTimeout        time.Duration
	keepAliveLine                   string // the header line that announces idleTimeout
	bodyStallTimeout, streamTimeout time.Duration
	minBodyRate                     int64 // bytes per second
}

// phase is the state of a client connection.
type phase int

const (
	phaseNew       phase = iota // nothing has been received yet
	phaseIdle                   // between two requests
	phaseReading                // a request has been received in part
	phaseServing                // a request is open
	phaseLingering              // a request was rejected; the rest of its data is discarded
)

// clientConn is a client connection. The mutex of the server guards its phase and since.
type clientConn struct {
	net.Conn
	release   func()
	peek      *sockets.Peeker // guarded by Server.mu
	r         *bufio.Reader
	head      httpmsg.Head // of the current request
	body      httpmsg.Body // of the current request
	minor     int          // HTTP/1 minor version of the current request
	scratch   []byte       // buffer for responses
	nextReady chan error   // receives the result of awaitNext
	awaiting  bool         // awaitNext is running, or its result has not been received
	omitBody  bool         // the response to the current request has no body
	phase     phase
	since     time.Time   // start of the phase
	current   openRequest // in phaseServing; guarded by Server.mu
	// An unfinished response is delimited by the close of the connection. Guarded by Server.mu.
	closeDelimited bool
	received       atomic.Bool // something has been read since phaseServing last began
	// While an upload is read: looks for unread data before each read, and whether a read had to wait
	// for the client since readWaited was reset. Both belong to the goroutine that reads.
	uploadPeek *sockets.Peeker
	readWaited bool
}

// openRequest is a request that was passed to an engine, or is about to be.
type openRequest struct {
	engine  *engine.Engine
	request *engine.Request
}

// Read implements net.Conn and records in received that data has arrived.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.uploadPeek != nil && c.uploadPeek.Empty() {
		c.readWaited = true
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// Serve accepts connections until ln is closed or the server stops accepting. It acquires a
// descriptor before each accept; while none is free, connections wait in the kernel's backlog. It
// closes ln, and may be called only once.
func (s *Server) Serve(ln net.Listener) error {
	defer close(s.serveDone)
	defer ln.Close()
	defer context.AfterFunc(s.acceptCtx, func() { ln.Close() })()
	for {
		release, err := s.sockets.AcquireClient(s.acceptCtx)
		if err != nil {
			return net.ErrClosed
		}
		nc, err := ln.Accept()
		if err != nil {
			release()
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			// A temporary error: resources are exhausted, or the peer has already disconnected.
			s.log.Warn("accept", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startConn(nc, release)
	}
}

// startConn serves a new connection and calls release when it has ended. After the server has
// stopped accepting, it closes the connection at once.
func (s *Server) startConn(nc net.Conn, release func()) {
	c := &clientConn{
		Conn: nc, release: release, peek: sockets.NewPeeker(nc), since: time.Now(), nextReady: make(chan error, 1),
	}
	c.r = bufio.NewReaderSize(c, s.limits.maxHead)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acceptCtx.Err() != nil {
		nc.Close()
		release()
		return
	}
	s.conns[c] = struct{}{}
	s.connWG.Go(func() { s.serve(c) })
}

// setPhase sets the phase of c. It reports false if c has been closed, for example by Evict.
func (s *Server) setPhase(c *clientConn, p phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setPhaseLocked(c, p)
}

// setPhaseLocked is setPhase for callers that hold s.mu.
func (s *Server) setPhaseLocked(c *clientConn, p phase) bool {
	if _, ok := s.conns[c]; !ok {
		return false
	}
	c.phase, c.since, c.current = p, time.Now(), openRequest{}
	// All input is consumed and nothing reads: what is received from now on is the next request.
	if p == phaseServing {
		c.received.Store(false)
	}
	return true
}

// admit marks c as serving its request r before r is passed to e, or returns an error if r must
// not be served. In a shutdown, the server makes sure that every admitted request gets its result
// in time.
//
// A request whose client has disconnected is not sent. Nothing has read from the connection while
// the request waited for a descriptor, for memory or for the scheduler, so admit checks the
// connection. That is one check per request. A client that shuts down its sending side after the
// request but still reads counts as disconnected, here and in later checks.
func (s *Server) admit(c *clientConn, e *engine.Engine, r *engine.Request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.setPhaseLocked(c, phaseServing) || c.peek.PeerClosed() {
		return errConnClosed
	}
	if !s.schedule.MayForward(time.Now()) {
		return errShuttingDown
	}
	r.Deadline = s.schedule.Answer
	c.current = openRequest{e, r}
	return nil
}

// tooManyConns reports whether clients hold so many connections that responses should close
// theirs. It guards against clients that open a new connection for each request and keep it: at
// any rate of requests, they can exhaust neither the connections that the application may have,
// before idleTimeout closes the first of them, nor those of the sidecar. The close is announced
// in the response rather than done later, so that no request crosses it. If many clients do reuse
// their connections, they have to open a new one for each request. s.mu must be held.
func (s *Server) tooManyConns() bool {
	_, maxClients := s.sockets.Limits()
	return float64(len(s.conns)) > maxKeepAliveShare*float64(maxClients)
}

// closeConn closes c and releases its descriptor. s.mu must be held.
func (s *Server) closeConn(c *clientConn) {
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		// A normal close would look like the end of the response.
		if tcp, ok := c.Conn.(*net.TCPConn); ok && c.closeDelimited {
			tcp.SetLinger(0)
		}
		c.Conn.Close()
		c.release()
	}
}

// Evict closes the connection whose loss matters least: a connection whose request was rejected,
// or else the one that has been idle longest, or else the one that has been sending its request
// for the longest time. It reports false if there is none to close. It guards against connections
// that are opened and only held, which would make all others wait. A client whose first request
// crosses the close has to retry.
func (s *Server) Evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	rank := func(c *clientConn) int {
		age := now.Sub(c.since)
		switch {
		case c.phase == phaseLingering:
			return 3
		case (c.phase == phaseIdle || c.phase == phaseNew) && age >= minIdleToEvict && !c.received.Load():
			return 2
		case c.phase == phaseReading && age >= minReadingToEvict:
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
	s.closeConn(victim)
	return true
}

// serve serves the requests of one connection in order and closes it at the end.
func (s *Server) serve(c *clientConn) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closeConn(c)
	}()
	for until := c.since.Add(s.limits.headTimeout); ; until = time.Now().Add(s.limits.idleTimeout) {
		first := c.phase == phaseNew
		c.SetReadDeadline(until) // also applies to a running awaitNext
		if err := c.waitNext(); err != nil && !s.arrivedAtDeadline(c, err) || !s.setPhase(c, phaseReading) {
			return
		}
		if s.answerCtx.Err() != nil {
			s.reject(c, errShuttingDown)
			return
		}
		if now := time.Now(); !first || now.After(until) {
			c.SetReadDeadline(now.Add(s.limits.headTimeout))
		}
		if s.proxy != nil {
			if !s.serveProxy(c) || !s.setPhase(c, phaseIdle) {
				return
			}
			continue
		}
		r, keep, rest, err := s.read(c)
		if err != nil {
			s.reject(c, err)
			return
		}
		if r == nil { // readiness probe
			if !s.write(c, keep, s.readiness()) || !s.setPhase(c, phaseIdle) {
				return
			}
			continue
		}
		if !s.respond(c, keep, r, rest) || !s.setPhase(c, phaseIdle) {
			return
		}
	}
}

// arrivedAtDeadline reports whether err is a timeout of the wait for a request, but data has
// arrived. On a busy machine the goroutine that reads may be scheduled only after the deadline. A
// close would then reset a request that has already arrived and that the client may not repeat.
// That costs one check of the connection when the wait ends.
func (s *Server) arrivedAtDeadline(c *clientConn, err error) bool {
	if !isTimeout(err) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.peek.HasData()
}

// readyResponse is the reply to a readiness probe while the server is ready.
var readyResponse = &httpmsg.Response{}

// readiness returns the result of a readiness probe.
func (s *Server) readiness() engine.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuated {
		return engine.Result{Kind: engine.Refused}
	}
	return engine.Result{Reply: readyResponse}
}

// persistence says whether the connection stays open after a response.
type persistence int

const (
	connClose     persistence = iota // the response ends the connection
	connKeepAlive                    // the connection stays open by default
	// The connection stays open, and the response has to say so.
	connKeepAliveExplicit
)

// read reads one request and passes it to the engine if it may be served. For a readiness probe
// it returns a nil request.
func (s *Server) read(c *clientConn) (*engine.Request, persistence, *httpmsg.Upload, error) {
	if err := c.head.Read(c.r); err != nil {
		return nil, connClose, nil, err
	}
	method, target, minor, err := c.head.ParseRequestLine()
	if err != nil {
		return nil, connClose, nil, err
	}
	c.omitBody, c.minor = string(method) == http.MethodHead, minor
	keep := connKeepAlive
	switch {
	case c.head.Close || minor == 0 && !c.head.KeepAlive:
		keep = connClose
	case minor == 0:
		keep = connKeepAliveExplicit
	}
	if minor == 0 && c.head.Chunked { // HTTP/1.0 has no chunked encoding
		return nil, connClose, nil, httpmsg.ErrFraming
	}
	call := httpcall.Call{Method: methodName(method), Target: string(target), Length: max(c.head.ContentLength, 0)}
	if c.head.Chunked {
		call.Length = -1
	}
	if call.Method == http.MethodGet && call.Target == "/healthz" && call.Length == 0 {
		c.head.Discard(c.r)
		if !s.setPhase(c, phaseServing) {
			return nil, connClose, nil, errConnClosed
		}
		return nil, keep, nil, nil
	}
	lines := 0
	for _, f := range c.head.Fields {
		if err := call.Add(f); err != nil {
			return nil, connClose, nil, err
		}
		lines += len(f.Name) + len(f.Value) + len(": \r\n")
	}
	call.HostOptional = minor == 0
	r, err := call.Request(s.engine)
	if err != nil {
		return nil, connClose, nil, err
	}
	m := &httpmsg.Message{Method: call.Method, Target: call.Target, Host: call.Host, HeaderLines: make([]byte, 0, lines)}
	expects := false
	for _, f := range c.head.Fields {
		switch {
		case f.Is("Expect"):
			expects = bytes.EqualFold(f.Value, []byte("100-continue"))
		// The transport writes its own fields.
		case f.Is("Host") || f.Is("X-Timeout-Ms") || c.head.IsHopByHop(f):
		default:
			m.HeaderLines = f.Append(m.HeaderLines)
		}
	}
	r.Payload, r.SingleUseID = m, true
	c.head.Discard(c.r)
	receivedAt, err := s.readBody(c, r, &call, m, expects)
	if err != nil {
		return nil, connClose, nil, err
	}
	if m.Upload == nil && c.r.Buffered() > 0 {
		err = errPipelined
	} else if err = s.admit(c, s.engine, r); err == nil {
		err = s.submit(r, &call, m, receivedAt)
	}
	if errors.Is(err, engine.ErrDuplicateID) {
		err = httpcall.Rejection{Status: http.StatusConflict, Text: "a request with this X-Request-ID is open, or may have run"}
	} else if errors.Is(err, orders.ErrMismatch) {
		err = httpcall.Rejection{Status: http.StatusUnprocessableEntity, Text: err.Error()}
	} else if errors.Is(err, engine.ErrClosed) {
		err = httpcall.Rejection{Status: http.StatusServiceUnavailable, Text: err.Error()}
	}
	if err != nil {
		if r.Release != nil {
			r.Release()
		}
		return nil, connClose, nil, err
	}
	return r, keep, m.Upload, nil
}

// clientGone reports whether the client of c has disconnected; see admit.
func (s *Server) clientGone(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.peek.PeerClosed()
}

// isOrder reports whether a request goes to the coordinator of orders.
func (s *Server) isOrder(call *httpcall.Call) bool {
	return s.orderCoordinator != nil && call.IdempotencyKey != ""
}

// submit passes a request to the coordinator of orders if it is one, and otherwise to the engine. Its
// timeout runs from receivedAt.
func (s *Server) submit(r *engine.Request, call *httpcall.Call, m *httpmsg.Message, receivedAt policy.Time) error {
	if !s.isOrder(call) {
		return s.engine.Submit(r, receivedAt)
	}
	return s.orderCoordinator.Submit(r, orders.Identity{Key: call.IdempotencyKey, Fingerprint: call.Fingerprint(m.Body)}, receivedAt)
}

// methodName returns the method as a string, without an allocation for the methods of the
// protocol.
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
	errConnClosed = errors.New("the connection has been closed to make room")
	// errPipelined rejects pipelined requests: the protocol allows one request at a time, and
	// further requests would be held unread or served out of order.
	errPipelined = httpcall.Rejection{Status: http.StatusBadRequest, Text: "more came before the answer: one request at a time"}
	// errShuttingDown rejects requests that are read too late in a shutdown to be forwarded.
	errShuttingDown = httpcall.Rejection{Status: http.StatusServiceUnavailable, Text: "shutting down"}
)

// respond waits for the final result of r and writes the response. It reports whether the
// connection can be used again. In that case the goroutine that waits for the next data keeps
// running, because to stop it for each request would cost two goroutine switches.
func (s *Server) respond(c *clientConn, keep persistence, r *engine.Request, rest *httpmsg.Upload) bool {
	if rest != nil {
		result, gone := s.awaitPolling(c, s.engine, r, rest)
		if gone {
			return false
		}
		if result != nil {
			if err := rest.SourceErr(); err != nil && result.Kind != engine.Served {
				s.reject(c, bodyError(err))
				return false
			}
			return s.respondEarly(c, keep, rest, *result)
		}
		if err := rest.SourceErr(); err != nil {
			if s.engine.Withdraw(r) {
				s.reject(c, bodyError(err))
			} else if result := <-r.Result(); result.Kind != engine.Served {
				s.reject(c, bodyError(err))
			} else {
				s.write(c, connClose, result)
			}
			return false
		}
	}
	c.SetReadDeadline(time.Time{})
	c.awaiting = true
	go c.awaitNext()
	select {
	case result := <-r.Result():
		return s.write(c, keep, result)
	case err := <-c.nextReady:
		c.awaiting = false
		if !s.engine.Withdraw(r) {
			s.write(c, connClose, <-r.Result())
		} else if err == nil {
			s.reject(c, errPipelined)
		}
		return false
	}
}

// respondEarly writes the response before the request body has been read whole, then reads and
// discards the rest of the body. Otherwise a client that reads only after it has sent everything
// would not get the response before the connection ends.
func (s *Server) respondEarly(c *clientConn, keep persistence, rest *httpmsg.Upload, result engine.Result) bool {
	src := rest.Reclaim(func() { c.SetReadDeadline(time.Now()) })
	reusable := s.write(c, keep, result)
	if src != nil {
		if _, err := io.Copy(io.Discard, src); err != nil {
			return false
		}
	}
	return reusable
}

// awaitPolling waits for the result of r, or for the end of upload if it is not nil. Data of the
// client is unread meanwhile, so that no read would notice a disconnect: the server may read a body
// slowly of which all is in the kernel. awaitPolling polls for it instead and then withdraws r.
// result is nil if upload has ended or the client is gone.
func (s *Server) awaitPolling(c *clientConn, e *engine.Engine, r *engine.Request, upload *httpmsg.Upload) (result *engine.Result, gone bool) {
	var ended <-chan struct{}
	if upload != nil {
		ended = upload.Done()
	}
	poll := time.NewTicker(disconnectPollInterval)
	defer poll.Stop()
	for {
		select {
		case result := <-r.Result():
			return &result, false
		case <-ended:
			return nil, false
		case <-poll.C:
			if s.clientGone(c) && e.Withdraw(r) {
				return nil, true
			}
		}
	}
}

// awaitNext waits until data arrives, the client disconnects or the read deadline passes, and
// sends the result to c.nextReady.
func (c *clientConn) awaitNext() {
	_, err := c.r.Peek(1)
	c.nextReady <- err
}

// waitNext waits until data has arrived, or returns the error that ended the wait. After it
// returns, no other goroutine reads from c.
func (c *clientConn) waitNext() error {
	if c.awaiting {
		c.awaiting = false
		return <-c.nextReady
	}
	_, err := c.r.Peek(1)
	return err
}

// Stats counts the connections of a server.
type Stats struct {
	Open int // all connections
	Idle int // connections without a request, not even a partly read one
}

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Open: len(s.conns)}
	for c := range s.conns {
		if c.phase == phaseNew || c.phase == phaseIdle {
			st.Idle++
		}
	}
	return st
}

// Package httpfront is the HTTP/1.1 server for clients. It owns the client connections, reads the
// requests and writes exactly one response to each. Every valid request goes through the engine;
// the package itself decides only which requests are malformed or not allowed.
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
	// orderBodyWaitDivisor sets how long an order may wait for the memory that it needs: its timeout
	// divided by orderBodyWaitDivisor.
	orderBodyWaitDivisor = 4
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

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// reject writes the error response to a request that cannot be served and closes the connection.
// What is left of the request is discarded.
func (s *Server) reject(c *clientConn, err error) {
	ans := httpcall.Rejection{Status: http.StatusBadRequest, Text: "malformed request"}
	var re httpcall.Rejection
	switch {
	case errors.As(err, &re):
		ans = re
	case errors.Is(err, errConnClosed) || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed):
		return
	case isTimeout(err) && s.answerCtx.Err() != nil:
		ans = errShuttingDown
	case isTimeout(err):
		ans = httpcall.Rejection{Status: http.StatusRequestTimeout, Text: "the request did not come whole in time"}
	case errors.Is(err, httpmsg.ErrHeadTooLong):
		ans = httpcall.Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Text: err.Error()}
	case errors.Is(err, httpmsg.ErrMalformedHead) || errors.Is(err, httpmsg.ErrFraming) || errors.Is(err, httpmsg.ErrConnectionOption):
		ans.Text = err.Error()
	}
	s.rejectWith(c, ans, "")
}

// rejectWith writes an error response with additional header lines and closes the connection.
func (s *Server) rejectWith(c *clientConn, ans httpcall.Rejection, lines string) {
	c.head.Release()
	if !s.setPhase(c, phaseLingering) {
		return
	}
	c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	body := ans.Text + "\n"
	length := len(body)
	if c.omitBody { // the Content-Length is that of the omitted body (RFC 9110, section 9.3.2)
		body = ""
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		ans.Status, http.StatusText(ans.Status), lines, length, body)
	s.linger(c)
}

// linger closes the sending side, then reads and discards for a while what the client still
// sends, so that the response reaches the client before a reset does.
func (s *Server) linger(c *clientConn) {
	c.SetDeadline(time.Now().Add(lingerTimeout))
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		io.CopyN(io.Discard, c.r, httpmsg.MaxBody)
	}
}

// readBody reads the body, as far as there is memory for it and it is no longer than maxBufferedBody.
// The rest, which may be all of it, is an httpmsg.Upload. An order needs memory for the start of its
// body, which identifies it, and may wait for that. readBody returns the time from which the request's
// timeout counts: that of the wait if the client had sent the body by then, and else now.
func (s *Server) readBody(c *clientConn, r *engine.Request, call *httpcall.Call, m *httpmsg.Message, expects bool) (receivedAt policy.Time, err error) {
	length := call.Length
	if length > httpmsg.MaxBody {
		return 0, httpcall.Rejection{Status: http.StatusRequestEntityTooLarge, Text: httpmsg.ErrBodyTooLong.Error()}
	}
	if length == 0 {
		return s.engine.Now(), nil
	}
	begunAt, until := s.engine.Now(), time.Now().Add(bodyTimeout)
	memory := s.bodyBudget.Reserve(length, maxBufferedBody)
	waited := memory.Bytes == 0 && s.isOrder(call)
	if waited {
		if memory, err = s.awaitOrderMemory(r, length); err != nil {
			return 0, err
		}
	}
	r.Release = memory.Release
	c.SetReadDeadline(until)
	if expects && c.r.Buffered() == 0 {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	c.body.Reset(c.r, length, length < 0)
	c.readWaited = false
	if waited {
		c.uploadPeek = sockets.NewPeeker(c.Conn)
	}
	switch n := memory.Bytes; {
	case n == 0: // all of the body is an Upload
	case n <= httpmsg.MaxFullBody:
		m.Body, err = c.body.ReadUpTo(n)
	default:
		m.Body = make([]byte, n)
		_, err = io.ReadFull(s.newMinRateReader(c, 0, length), m.Body)
	}
	c.uploadPeek = nil
	if err != nil {
		r.Release()
		return 0, bodyError(err)
	}
	if !c.body.Ended() {
		m.Upload, m.Length, r.Uploading = httpmsg.NewUpload(s.newMinRateReader(c, c.body.Size(), length)), length, true
	}
	if waited && !c.readWaited {
		return begunAt, nil
	}
	return s.engine.Now(), nil
}

// awaitOrderMemory waits for the memory that an order with a body of the given length needs, but only
// for a part of the order's time, so that it can still be served or refused in time.
func (s *Server) awaitOrderMemory(r *engine.Request, length int64) (bodybudget.Reservation, error) {
	ctx, cancel := context.WithTimeout(s.answerCtx, min(bodyTimeout, r.Timeout/orderBodyWaitDivisor))
	defer cancel()
	memory, err := s.bodyBudget.AwaitStart(ctx, length)
	if err != nil {
		return memory, httpcall.Rejection{Status: http.StatusServiceUnavailable, Text: "no room for the body"}
	}
	return memory, nil
}

// bodyError returns the error with which a request is rejected after reading its body has failed
// with err.
func bodyError(err error) error {
	switch {
	case errors.Is(err, httpmsg.ErrBodyTooLong):
		return httpcall.Rejection{Status: http.StatusRequestEntityTooLarge, Text: err.Error()}
	case isTimeout(err):
		return err
	}
	return httpcall.Rejection{Status: http.StatusBadRequest, Text: "the body did not come whole"}
}

// minRateReader reads the body of c's current request. It enforces the limits on stalls and on
// the mean rate, so that no client holds a connection to a server, and its slot there, with a
// body that never ends.
type minRateReader struct {
	c           *clientConn
	waited      time.Duration // time spent in Read: the client's, not that of a server that reads slowly
	bytesRead   int64         // bytes read so far
	length      int64         // of the body; negative: unknown
	limits      *connLimits
	onFirstRead func() // called before the first Read; may be nil

	peek       *sockets.Peeker // not that of c, which other goroutines use
	receivedAt atomic.Pointer[time.Time]
}

// maxSenderBacklog is how much of a body the kernels of both sides may hold: a client may have sent
// the last byte of its request while that much is still unread.
const maxSenderBacklog = 8 << 20

// newMinRateReader returns a reader for the rest of c's current body, of which bytesRead bytes have
// been read. The length is that of the whole body; negative: unknown.
func (s *Server) newMinRateReader(c *clientConn, bytesRead, length int64) *minRateReader {
	now := time.Now()
	p := &minRateReader{c: c, bytesRead: bytesRead, length: length, limits: &s.limits, peek: sockets.NewPeeker(c.Conn)}
	if p.mayBeSent() {
		p.receivedAt.Store(&now)
	}
	return p
}

// mayBeSent reports whether the client may have sent the whole body.
func (p *minRateReader) mayBeSent() bool {
	return p.length < 0 || p.length-p.bytesRead <= maxSenderBacklog
}

// ReceivedAt implements httpmsg.ArrivalSource. A Read that finds nothing shows that the client has
// not sent more until then. While each Read finds data, it may have sent everything long ago.
func (p *minRateReader) ReceivedAt() time.Time {
	if at := p.receivedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Read implements io.Reader.
func (p *minRateReader) Read(b []byte) (int, error) {
	now := time.Now()
	if p.onFirstRead != nil {
		p.onFirstRead()
		p.onFirstRead, p.waited = nil, 0
	}
	allowed := p.limits.bodyStallTimeout + bodyTimeout - bodyStallTimeout + time.Duration(float64(p.bytesRead)/float64(p.limits.minBodyRate)*float64(time.Second))
	if p.waited > allowed {
		return 0, os.ErrDeadlineExceeded
	}
	until := now.Add(allowed - p.waited)
	if still := now.Add(p.limits.bodyStallTimeout); still.Before(until) {
		until = still
	}
	p.c.SetReadDeadline(until)
	p.c.uploadPeek, p.c.readWaited = p.peek, false
	n, err := p.c.body.Read(b)
	p.c.uploadPeek = nil
	p.waited += time.Since(now)
	p.bytesRead += int64(n)
	if p.mayBeSent() && (p.c.readWaited || p.receivedAt.Load() == nil) {
		received := time.Now()
		p.receivedAt.Store(&received)
	}
	return n, err
}

// write writes the final response and reports whether the connection can be used again.
func (s *Server) write(c *clientConn, keep persistence, result engine.Result) bool {
	s.mu.Lock()
	if s.draining() || s.tooManyConns() {
		keep = connClose
	}
	s.mu.Unlock()
	status, a := http.StatusBadGateway, &emptyResponse
	switch result.Kind {
	case engine.Served:
		if served, ok := result.Reply.(*httpmsg.Response); ok {
			status, a = http.StatusOK, served
		}
	case engine.Refused:
		status = http.StatusServiceUnavailable
	}
	chunked := a.BodyRest != nil && a.Length < 0
	// HTTP/1.0 has no chunked encoding: the close of the connection ends the body.
	if chunked && c.minor == 0 {
		chunked, keep = false, connClose
	}
	b := appendStatus(c.scratch[:0], status)
	switch {
	case a.BodyRest == nil:
		b = httpmsg.AppendIntField(b, "Content-Length", int64(len(a.Body)))
	case a.Length >= 0:
		b = httpmsg.AppendIntField(b, "Content-Length", a.Length)
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
	b = append(b, a.HeaderLines...)
	b = append(b, "\r\n"...)
	if a.BodyRest != nil {
		return s.stream(c, b, a, chunked) && keep != connClose
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.writeMessage(b, a.Body) == nil && keep != connClose
}

// writeMessage writes a head and a body. A long body is not copied: while the client reads slowly, it
// is held once. head may become the buffer for the next response.
func (c *clientConn) writeMessage(head, body []byte) error {
	if len(head)+len(body) <= maxScratch {
		head, body = append(head, body...), nil
	}
	if c.scratch = nil; cap(head) <= maxScratch {
		c.scratch = head
	}
	if len(body) == 0 {
		_, err := c.Write(head)
		return err
	}
	parts := net.Buffers{head, body}
	_, err := parts.WriteTo(c.Conn)
	return err
}

// appendStatus appends the status line of a response.
func appendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	return append(b, "\r\n"...)
}

// appendPersistence appends the header lines about the persistence of the connection.
func (s *Server) appendPersistence(b []byte, keep persistence) []byte {
	switch keep {
	case connClose:
		return append(b, "Connection: close\r\n"...)
	case connKeepAliveExplicit:
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return append(b, s.limits.keepAliveLine...)
}

// emptyResponse is written if no server has responded.
var emptyResponse httpmsg.Response

// stream writes head and a response that is still being received, and reports whether the client
// has received all of it. If not, the connection ends in a way that shows this to the client:
// before Content-Length bytes, without the last chunk, or with a reset if only the close of the
// connection ends the body.
func (s *Server) stream(c *clientConn, head []byte, a *httpmsg.Response, chunked bool) bool {
	defer a.BodyRest.Close()
	s.setCloseDelimited(c, !chunked && a.Length < 0)
	var size [20]byte
	writePart := func(first, b []byte) error {
		parts := net.Buffers{first, b}
		if chunked {
			parts = net.Buffers{first, httpmsg.AppendChunkHead(size[:0], len(b)), b, []byte("\r\n")}
		}
		if len(b) == 0 {
			parts = net.Buffers{first}
		}
		_, err := sockets.WriteWithin(c.Conn, &parts, s.limits.streamTimeout, time.Time{}, nil)
		return err
	}
	start, sent := time.Now(), int64(len(a.Body))
	err := writePart(head, a.Body)
	a.Body = nil // a streamed response has one reader: see engine.Result
	by := "client"
	buf, release := httpmsg.CopyBuffer()
	defer release()
	for err == nil {
		var n int
		if n, err = a.BodyRest.Read(buf); err != nil {
			by = "server"
		}
		if n > 0 {
			if werr := writePart(nil, buf[:n]); werr != nil {
				err, by = werr, "client"
			} else {
				sent += int64(n)
			}
		}
	}
	if err != io.EOF {
		s.log.Warn("streamed response interrupted", "request", s.currentID(c), "by", by, "err", err, "sent", sent, "of", a.Length, "after", time.Since(start).Round(time.Millisecond))
	}
	if err == io.EOF && chunked {
		if err = writePart(lastChunk(a), nil); err == nil {
			err = io.EOF
		}
	}
	if err == io.EOF {
		s.setCloseDelimited(c, false)
	}
	return err == io.EOF
}

// currentID returns the client's ID of the request that c is serving; empty: it has none.
func (s *Server) currentID(c *clientConn) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.current.request == nil {
		return ""
	}
	return c.current.request.ExternalID
}

// setCloseDelimited records whether c has an unfinished response that ends with the close of the
// connection.
func (s *Server) setCloseDelimited(c *clientConn, is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closeDelimited = is
}

// lastChunk returns the end of a chunked response, with its trailers.
func lastChunk(a *httpmsg.Response) []byte {
	b := []byte("0\r\n")
	if a.Trailer != nil {
		b = append(b, a.Trailer()...)
	}
	return append(b, "\r\n"...)
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

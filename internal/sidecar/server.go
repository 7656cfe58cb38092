package sidecar

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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"heathstack/policy"
)

const (
	// mostBody is the longest body that a message may have, by the protocol. Guards against clients that announce or
	// send megabytes: what is over it is answered at once and not read.
	mostBody = 64 << 10
	// bodyShare is the part of the memory limit that bodies may hold, one over bodyShare.
	bodyShare = 8
	// mostClientHead bounds a request's head. It is held in a buffer of that size.
	mostClientHead = 8 << 10
	// mostName bounds an id, a class or a tenant: they are kept while a request is open.
	mostName = 256
	// headTime is how long a client may take to write a head, counted from the start of a new connection: bad clients
	// are owed an end within 3 s of it, and clients may take up to 2 s.
	headTime = 2500 * time.Millisecond
	// bodyTime is how long a client may take to write a body. It guards against clients that hold room and a
	// descriptor for ever. One on a link so slow that 64 KiB take longer would be cut off wrongly.
	bodyTime = 2 * time.Second
	// idleTime is how long a client's connection may stand idle; 2 s are owed. Guards against clients that ask once
	// and keep their connection for good. A client that asks more seldom pays with a new connection each time.
	idleTime = 2100 * time.Millisecond
	// crowdShare is the part of the clients' places from which an answer is the last one on its connection.
	crowdShare = 0.4
	// quietLeast is how long a connection has been quiet at least when it is closed to make room: a new one's
	// first bytes may be on their way.
	quietLeast = 250 * time.Millisecond
	// slowLeast is the same for one whose request has come in part.
	slowLeast = time.Second
	// writeTime is how long a client may take none of its answer.
	writeTime = 2 * time.Second
	// lingerTime is how long what a client still sends is read and dropped after its request was turned away, so that
	// the answer reaches it before a reset does.
	lingerTime = 300 * time.Millisecond
	// acceptRetry is the pause after a failed accept.
	acceptRetry = 5 * time.Millisecond
	// mostWait bounds a client's wait where the settings name no class.
	mostWait = time.Minute
)

// newRoom returns the room for the bodies of requests, in bytes. A body's whole length is reserved before it is read:
// however many clients write at once, their bodies hold a fixed part of the memory, and others wait in the kernel.
func newRoom(memoryMB int) *semaphore.Weighted {
	return semaphore.NewWeighted(max(int64(memoryMB)<<20/bodyShare, mostBody))
}

// server serves the clients. It reads requests by net/http's parser, but holds the connections itself, as net/http's
// server hides what must be known here: heads as they came, bytes behind a request, and how far a connection has got
// when it has to make room for another.
type server struct {
	host    *host
	room    *semaphore.Weighted
	sockets *sockets
	log     *slog.Logger

	mu       sync.Mutex
	conns    map[*clientConn]struct{} // bounded by sockets
	draining bool
	open     sync.WaitGroup // their goroutines
}

func newServer(h *host, memoryMB int, s *sockets, log *slog.Logger) *server {
	return &server{host: h, room: newRoom(memoryMB), sockets: s, log: log, conns: map[*clientConn]struct{}{}}
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
	r       *bufio.Reader
	phase   phase
	since   time.Time   // of that phase
	heard   atomic.Bool // something has been read since it fell quiet
}

// Read is the method of net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(true)
	}
	return n, err
}

// Serve accepts connections until ln ends. It takes a descriptor for each before: while there is none free,
// connections wait in the kernel's backlog.
func (s *server) Serve(ln net.Listener) error {
	defer ln.Close()
	for {
		release, err := s.sockets.acquireClient(context.Background())
		if err != nil {
			return err
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
		c := &clientConn{Conn: nc, release: release, since: time.Now()}
		c.r = bufio.NewReaderSize(c, mostClientHead)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.open.Go(func() { s.serve(c) })
	}
}

// enter notes that c has come to a phase, and reports whether it may: one that was closed to make room may not.
func (s *server) enter(c *clientConn, p phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; !ok || s.draining && p == idle {
		return false
	}
	c.phase, c.since = p, time.Now()
	if p == idle {
		c.heard.Store(false)
	}
	return true
}

// crowded reports whether clients hold so many connections that none is worth keeping. It guards against clients that ask
// once and keep their connection, a new one for each request: however fast they are, they cannot use up the connections
// that the application may have before idleTime ends the first of them, nor the sidecar's own. It says so with the
// answer rather than closing later, so that no request crosses the close. A crowd that does use its connections again
// pays with a new one for each request. Called with the lock held.
func (s *server) crowded() bool {
	return float64(len(s.conns)) > crowdShare*float64(cap(s.sockets.clients))
}

// drop closes c and gives its descriptor back. Called with the lock held.
func (s *server) drop(c *clientConn) {
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		c.Conn.Close()
		c.release()
	}
}

// evict closes the connection that is missed least: one that was turned away, else the one that has been quiet longest,
// else one that has been slow to write its request. It guards against connections that are opened only to be held: they
// would keep all others waiting. A client whose first request crosses the close must try again.
func (s *server) evict() bool {
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
			if r != 2 || nothingCame(c.Conn) {
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

// drain makes every answer the last one of its connection, and closes those on which none is owed: a request that
// crosses this comes again on a new connection, which is still accepted.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		if c.phase == idle && !c.heard.Load() && nothingCame(c.Conn) {
			s.drop(c)
		}
	}
}

// wait waits until all connections have ended, or ctx has, and reports whether they have.
func (s *server) wait(ctx context.Context) bool {
	done := make(chan struct{})
	go func() {
		s.open.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// closeAll closes all connections.
func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		s.drop(c)
	}
}

// serve serves one connection: a request after the other.
func (s *server) serve(c *clientConn) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.drop(c)
	}()
	for until := c.since.Add(headTime); ; until = time.Now().Add(idleTime) {
		first := c.phase == fresh
		c.SetReadDeadline(until)
		if _, err := c.r.Peek(1); err != nil || !s.enter(c, reading) {
			return
		}
		if !first {
			c.SetReadDeadline(time.Now().Add(headTime))
		}
		r, q, err := s.read(c)
		if err != nil {
			s.reject(c, err)
			return
		}
		if r == nil { // asked whether the sidecar is ready
			if s.write(c, q, answer{status: http.StatusOK}) != nil || !s.enter(c, idle) {
				return
			}
			continue
		}
		if !s.answer(c, q, r) || !s.enter(c, idle) {
			return
		}
	}
}

// rejection is why a request is turned away.
type rejection struct {
	status int
	text   string
}

func (e rejection) Error() string { return e.text }

// read reads one request and hands it to the module, if it may be served. It returns no request for a probe of
// readiness.
func (s *server) read(c *clientConn) (*request, *http.Request, error) {
	if err := peekHead(c.r); err != nil {
		return nil, nil, err
	}
	q, err := http.ReadRequest(c.r)
	if err != nil {
		return nil, nil, err
	}
	if q.URL.Path == "/healthz" && q.Method == http.MethodGet && q.ContentLength == 0 {
		if !s.enter(c, serving) {
			return nil, nil, errGone
		}
		return nil, q, nil
	}
	r, event, timeout, err := s.legal(q)
	if err != nil {
		return nil, nil, err
	}
	if err := s.readBody(c, q, r); err != nil {
		return nil, nil, err
	}
	if c.r.Buffered() > 0 {
		err = errCrowd
	} else if !s.enter(c, serving) {
		err = errGone
	} else if !s.host.take(r, event, s.host.now(), timeout) {
		err = rejection{http.StatusConflict, "a request with this X-Request-ID is open"}
	}
	if err != nil {
		r.free()
		return nil, nil, err
	}
	return r, q, nil
}

var (
	errGone = errors.New("the connection has been closed to make room")
	// errCrowd guards against clients that write many requests at once: the protocol has one at a time, and what
	// came behind would be held unread or served out of turn.
	errCrowd = rejection{http.StatusBadRequest, "more came before the answer: one request at a time"}
)

// answer waits for the final answer to r and writes it. It reports whether the connection can go on.
func (s *server) answer(c *clientConn, q *http.Request, r *request) bool {
	c.SetReadDeadline(time.Time{})
	more := make(chan error, 1)
	go func() { // ends when something comes, the client leaves, or by the deadline set below
		_, err := c.r.Peek(1)
		more <- err
	}()
	select {
	case ans := <-r.answer:
		c.SetReadDeadline(time.Unix(1, 0))
		err := <-more
		return s.write(c, q, ans) == nil && isTimeout(err) && !q.Close
	case err := <-more:
		if !s.host.withdraw(r) {
			s.write(c, q, <-r.answer)
		} else if err == nil {
			s.reject(c, errCrowd)
		}
		return false
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// reject answers a request that cannot be served, and ends its connection: what is left of the request is not read for
// what it says.
func (s *server) reject(c *clientConn, err error) {
	ans := rejection{http.StatusBadRequest, "malformed request"}
	var re rejection
	switch {
	case errors.As(err, &re):
		ans = re
	case errors.Is(err, errGone) || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed):
		return
	case isTimeout(err):
		ans = rejection{http.StatusRequestTimeout, "the request did not come whole in time"}
	case errors.Is(err, errHeadTooLong):
		ans = rejection{http.StatusRequestHeaderFieldsTooLarge, err.Error()}
	case errors.Is(err, errHead) || errors.Is(err, errFraming):
		ans.text = err.Error()
	}
	if !s.enter(c, lingering) {
		return
	}
	c.SetDeadline(time.Now().Add(lingerTime))
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s\n",
		ans.status, http.StatusText(ans.status), len(ans.text)+1, ans.text)
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		io.CopyN(io.Discard, c.r, mostBody)
	}
}

// legal reads what a request says of itself.
func (s *server) legal(q *http.Request) (*request, policy.Request, time.Duration, error) {
	var event policy.Request
	bad := func(text string) (*request, policy.Request, time.Duration, error) {
		return nil, event, 0, rejection{http.StatusBadRequest, text}
	}
	for _, name := range []string{"X-Request-Id", "X-Timeout-Ms", "Idempotency-Key", "X-Tenant-Id"} {
		// Of two values each reader might take another one.
		if v := q.Header[name]; len(v) > 1 || len(v) == 1 && len(v[0]) > mostName {
			return bad(name + " is given more than once or too long")
		}
	}
	id := q.Header.Get("X-Request-Id")
	if id == "" {
		return bad("no X-Request-ID")
	}
	if q.Host == "" && q.ProtoAtLeast(1, 1) || !strings.HasPrefix(q.RequestURI, "/") {
		return bad("no Host, or no path")
	}
	path := strings.Split(strings.TrimPrefix(q.URL.Path, "/"), "/")
	event.Class = path[0]
	if len(path) > 1 {
		event.Key = path[len(path)-1]
	}
	deadline, known := s.host.deadline[event.Class]
	if !known {
		return nil, event, 0, rejection{http.StatusNotFound, "no such class of requests"}
	}
	safe := s.host.effects[event.Class] == policy.Safe
	if (q.Method == http.MethodGet) != safe || !safe && q.Method != http.MethodPost {
		return nil, event, 0, rejection{http.StatusMethodNotAllowed, "the method is not that of the class"}
	}
	if safe && q.ContentLength != 0 {
		return bad("a request of this class has no body")
	}
	if s.host.effects[event.Class] == policy.Keyed && q.Header.Get("Idempotency-Key") == "" {
		// Upstreams could not tell a repeat, so that it would run twice.
		return bad("no Idempotency-Key")
	}
	event.Tenant = q.Header.Get("X-Tenant-Id")
	event.Retry = q.Header.Get("X-Retried") == "1"
	if us, err := strconv.ParseInt(q.Header.Get("X-Cost"), 10, 64); err == nil && us > 0 && us < int64(time.Hour/time.Microsecond) {
		event.Cost = time.Duration(us) * time.Microsecond
	}
	timeout := deadline
	if text := q.Header.Get("X-Timeout-Ms"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 64)
		if err != nil || ms == 0 {
			return bad("X-Timeout-Ms is no positive whole number")
		}
		// A client that would wait longer than any class allows must not make timers last for ever.
		timeout = time.Duration(min(ms, uint64(s.host.longest.Milliseconds()))) * time.Millisecond
	}
	r := &request{key: id, method: q.Method, target: target(q), host: q.Host, answer: make(chan answer, 1)}
	r.header = forwarded(q.Header)
	return r, event, timeout, nil
}

// readBody reads the body once there is room for it.
func (s *server) readBody(c *clientConn, q *http.Request, r *request) error {
	n := q.ContentLength
	if n < 0 {
		n = mostBody // its length shows at its end
	}
	tooLong := rejection{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
	if n > mostBody {
		return tooLong
	}
	until := time.Now().Add(bodyTime)
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if s.room.Acquire(ctx, n) != nil {
		return rejection{http.StatusServiceUnavailable, "no room for the body"}
	}
	r.free = sync.OnceFunc(func() { s.room.Release(n) })
	if n == 0 {
		return nil
	}
	c.SetReadDeadline(until)
	if strings.EqualFold(q.Header.Get("Expect"), "100-continue") && c.r.Buffered() == 0 {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	var err error
	if q.ContentLength >= 0 {
		r.body = make([]byte, n)
		_, err = io.ReadFull(q.Body, r.body)
	} else if r.body, err = io.ReadAll(io.LimitReader(q.Body, mostBody+1)); err == nil && len(r.body) > mostBody {
		err = tooLong
	}
	if err != nil {
		r.free()
		if isTimeout(err) || errors.Is(err, tooLong) {
			return err
		}
		return rejection{http.StatusBadRequest, "the body did not come whole"}
	}
	return nil
}

// write writes the final answer.
func (s *server) write(c *clientConn, q *http.Request, ans answer) error {
	s.mu.Lock()
	q.Close = q.Close || s.draining || s.crowded()
	s.mu.Unlock()
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", ans.status, http.StatusText(ans.status), len(ans.body))
	if q.Close {
		b.WriteString("Connection: close\r\n")
	} else if !q.ProtoAtLeast(1, 1) {
		b.WriteString("Connection: keep-alive\r\n")
	}
	if ans.retryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %s\r\n", strconv.FormatFloat(ans.retryAfter.Seconds(), 'f', -1, 64))
	}
	ans.header.Write(&b)
	b.WriteString("\r\n")
	b.Write(ans.body)
	c.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := c.Write(b.Bytes())
	return err
}

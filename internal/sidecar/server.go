package sidecar

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
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
	// headTime is how long a client may take to write a head, counted from the start of a new connection. Clients
	// take up to 2 s. It guards against connections on which nothing ever comes: they hold descriptors.
	headTime = 3 * time.Second
	// quietLeast is how long a connection has been quiet at least when it is closed to make room: a new one's
	// first bytes may be on their way.
	quietLeast = 250 * time.Millisecond
	// idleTime is how long a client's connection may stand idle.
	idleTime = 2 * time.Minute
	// bodyTime is how long a client may take to write a body. It guards against clients that hold room and a
	// descriptor for ever. One on a link so slow that 64 KiB take longer would be cut off wrongly.
	bodyTime = 2 * time.Second
	// writeTime is how long a client may take none of its answer.
	writeTime = 10 * time.Second
	// mostClientHead bounds a request's head.
	mostClientHead = 32 << 10
	// mostWait bounds a client's wait where the settings name no class.
	mostWait = time.Minute
)

// newRoom returns the room for the bodies of requests, in bytes. A body's whole length is reserved before it is read:
// however many clients write at once, their bodies hold a fixed part of the memory, and others wait in the kernel.
func newRoom(memoryMB int) *semaphore.Weighted {
	return semaphore.NewWeighted(max(int64(memoryMB)<<20/bodyShare, mostBody))
}

// clients is the handler of the client's requests.
type clients struct {
	host *host
	room *semaphore.Weighted // bytes
}

// ServeHTTP answers one request. Paths go on byte for byte, which a ServeMux would not let them.
func (s *clients) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" && q.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	r, event, timeout, err := s.legal(q)
	if err != nil {
		w.Header().Set("Connection", "close") // what is left of the request is not read
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.readBody(w, q, r) {
		return
	}
	s.host.take(r, event, s.host.now(), timeout)
	var ans answer
	select {
	case ans = <-r.answer:
	case <-q.Context().Done():
		if s.host.withdraw(r) {
			return
		}
		ans = <-r.answer
	}
	s.write(w, ans)
}

// legal reads what a request says of itself.
func (s *clients) legal(q *http.Request) (*request, policy.Request, time.Duration, error) {
	var event policy.Request
	if q.Header.Get("X-Request-Id") == "" {
		return nil, event, 0, errors.New("no X-Request-ID")
	}
	path := strings.Split(strings.TrimPrefix(q.URL.Path, "/"), "/")
	event.Class = path[0]
	if len(path) > 1 {
		event.Key = path[len(path)-1]
	}
	event.Tenant = q.Header.Get("X-Tenant-Id")
	event.Retry = q.Header.Get("X-Retried") == "1"
	if us, err := strconv.ParseInt(q.Header.Get("X-Cost"), 10, 64); err == nil && us > 0 && us < int64(time.Hour/time.Microsecond) {
		event.Cost = time.Duration(us) * time.Microsecond
	}
	class, known := s.host.deadline[event.Class]
	timeout := class
	if ms, err := strconv.ParseInt(q.Header.Get("X-Timeout-Ms"), 10, 64); err == nil && ms > 0 {
		// A client that would wait longer than any class allows must not make timers last for ever.
		timeout = time.Duration(min(ms, s.host.longest.Milliseconds())) * time.Millisecond
	} else if !known {
		return nil, event, 0, errors.New("no usable X-Timeout-Ms")
	}
	if s.host.effects[event.Class] == policy.Keyed && known && q.Header.Get("Idempotency-Key") == "" {
		// Upstreams could not tell a repeat, so that it would run twice.
		return nil, event, 0, errors.New("no Idempotency-Key")
	}
	r := &request{method: q.Method, target: target(q), host: q.Host, answer: make(chan answer, 1)}
	r.header = forwarded(q.Header)
	return r, event, timeout, nil
}

// readBody reads the body once there is room for it. If it returns false the request has been dealt with.
func (s *clients) readBody(w http.ResponseWriter, q *http.Request, r *request) bool {
	n := q.ContentLength
	if n < 0 {
		n = mostBody // its length shows at its end
	}
	reject := func(status int, text string) bool {
		w.Header().Set("Connection", "close") // what is left of the body is not read
		http.Error(w, text, status)
		return false
	}
	if n > mostBody {
		return reject(http.StatusRequestEntityTooLarge, "the body is over 64 KiB")
	}
	ctx, cancel := context.WithTimeout(q.Context(), bodyTime)
	defer cancel()
	if s.room.Acquire(ctx, n) != nil {
		return reject(http.StatusServiceUnavailable, "no room for the body")
	}
	r.free = func() { s.room.Release(n) }
	if n == 0 {
		return true
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Now().Add(bodyTime))
	var err error
	if q.ContentLength >= 0 {
		r.body = make([]byte, n)
		_, err = io.ReadFull(q.Body, r.body)
	} else {
		r.body, err = io.ReadAll(http.MaxBytesReader(w, q.Body, mostBody))
	}
	if err == nil {
		rc.SetReadDeadline(time.Time{})
		return true
	}
	r.free()
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return reject(http.StatusRequestEntityTooLarge, "the body is over 64 KiB")
	}
	return reject(http.StatusBadRequest, "the body did not come whole")
}

// write writes the final answer.
func (s *clients) write(w http.ResponseWriter, ans answer) {
	h := w.Header()
	maps.Copy(h, ans.header)
	switch {
	case ans.stream != nil:
		s.stream(w, ans)
		return
	case ans.status != http.StatusOK:
		if ans.retryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(ans.retryAfter.Seconds(), 'f', -1, 64))
		}
		h["Content-Length"] = []string{"0"}
		w.WriteHeader(ans.status)
		return
	}
	h["Content-Length"] = []string{strconv.Itoa(len(ans.body))}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // none came, and none is guessed
	}
	if len(ans.body) > streamChunk { // it may not fit into the socket's buffer
		rc := http.NewResponseController(w)
		rc.SetWriteDeadline(time.Now().Add(writeTime))
		defer rc.SetWriteDeadline(time.Time{})
	}
	w.WriteHeader(ans.status)
	w.Write(ans.body)
}

// stream passes a long answer on as it comes. If it breaks, the client's connection is cut, so that the client
// can tell that the answer is not whole.
func (s *clients) stream(w http.ResponseWriter, ans answer) {
	if ans.stream.length >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(ans.stream.length, 10)}
	}
	if _, typed := w.Header()["Content-Type"]; !typed {
		w.Header()["Content-Type"] = nil
	}
	rc := http.NewResponseController(w)
	w.WriteHeader(ans.status)
	part, buf := ans.body, make([]byte, streamChunk)
	var err error
	for {
		rc.SetWriteDeadline(time.Now().Add(writeTime))
		_, werr := w.Write(part)
		if werr == nil {
			werr = rc.Flush()
		}
		if werr != nil { // the client has gone, or takes nothing
			ans.stream.end(policy.Canceled)
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			break
		}
		var n int
		n, err = ans.stream.read(buf)
		part = buf[:n]
	}
	if err != io.EOF {
		ans.stream.end(policy.Reset)
		panic(http.ErrAbortHandler)
	}
	rc.SetWriteDeadline(time.Time{})
	ans.stream.end(policy.OK)
}

// quietClients holds the client connections on which no request is being served, by the time at which they fell
// quiet: those between two requests, and those that have not written a first one.
type quietClients struct {
	mu    sync.Mutex
	since map[*clientConn]time.Time
}

// state is a http.Server's ConnState hook.
func (q *quietClients) state(c net.Conn, s http.ConnState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	cc, ok := c.(*clientConn)
	switch {
	case !ok:
	case s == http.StateIdle || s == http.StateNew:
		cc.heard.Store(false)
		q.since[cc] = time.Now()
	default:
		delete(q.since, cc)
	}
}

// evict closes the connection that has been quiet longest. It guards against connections that are opened only
// to be held: they would keep all others waiting. One on which a request has come, if only in part, stays.
func (q *quietClients) evict() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	var oldest *clientConn
	least := time.Now().Add(-quietLeast)
	for c, t := range q.since {
		if t.Before(least) && (oldest == nil || t.Before(q.since[oldest])) && !c.heard.Load() && nothingCame(c.Conn) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(q.since, oldest)
	oldest.Close()
	return true
}

// listener counts the descriptors of the connections that it accepts. While there is none free, connections
// wait in the kernel's backlog.
type listener struct {
	net.Listener
	ctx     context.Context
	sockets *sockets
}

func (l *listener) Accept() (net.Conn, error) {
	release, err := l.sockets.acquireClient(l.ctx)
	if err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		release()
		return nil, err
	}
	return &clientConn{Conn: c, release: release}, nil
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	release func()
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

// Close is the method of net.Conn.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

func newServer(handler http.Handler, quiet *quietClients, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: mostClientHead,
		ConnState: quiet.state, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		DisableGeneralOptionsHandler: true,
	}
}

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
	// mostBody is the longest body that a request may have.
	mostBody = 32 << 20
	// shortBody is the longest body that need not queue for the place of a long one. Sockets can take nearly as
	// much before anything is read.
	shortBody = 4 << 20
	// segment is the longest body that counts as small, and by how much one of unknown length grows.
	segment = 64 << 10
	// firstSegment is what a body of unknown length has room for at first.
	firstSegment = 8 << 10
	// headTime is how long a client may take to write a head, counted from the start of a new connection. Clients
	// take up to 2 s. It guards against connections on which nothing ever comes: they hold descriptors.
	headTime = 3 * time.Second
	// quietLeast is how long a connection has been quiet at least when it is closed to make room: a new one's
	// first bytes may be on their way.
	quietLeast = 250 * time.Millisecond
	// idleTime is how long a client's connection may stand idle.
	idleTime = 2 * time.Minute
	// bodyTime and bodyRate bound how long a client may take to write a body. They guard against clients that
	// hold room and a descriptor for ever.
	bodyTime = 10 * time.Second
	bodyRate = 32 << 10 // bytes a second
	// writeTime is how long a client may take none of its answer.
	writeTime = 10 * time.Second
	// mostClientHead bounds a request's head.
	mostClientHead = 32 << 10
	// mostWait bounds a client's wait where the settings name no class.
	mostWait = time.Minute
)

// room is the memory for the bodies of requests. A body's whole length is reserved before it is read. What the kernel
// can take whole must not queue behind longer bodies: its client's time runs once the client has written it. So
// small bodies, those of some megabytes, and long ones each have room of their own.
type room struct {
	small  *semaphore.Weighted // bytes
	medium *semaphore.Weighted // bytes
	long   *semaphore.Weighted // one place, for mostBody bytes
}

func newRoom(memoryMB int) *room {
	bytes := int64(memoryMB) << 20
	return &room{semaphore.NewWeighted(bytes / 16), semaphore.NewWeighted(bytes / 4), semaphore.NewWeighted(1)}
}

// reserve waits for room for a body of n bytes.
func (m *room) reserve(ctx context.Context, n int64) (*reservation, error) {
	v := &reservation{room: m}
	switch {
	case n == 0:
		return v, nil
	case n > shortBody:
		return v, v.lengthen(ctx)
	case n > segment:
		v.medium = n
		return v, m.medium.Acquire(ctx, n)
	}
	v.small = n
	return v, m.small.Acquire(ctx, n)
}

// reservation is the room of one body.
type reservation struct {
	room          *room
	small, medium int64 // bytes
	long          bool  // has the place for a long body
}

// lengthen waits for the place for a long body. Guards against bodies that hold room and wait for each other's:
// whoever has the place has all the room that it can need, and gives it back in the end.
func (v *reservation) lengthen(ctx context.Context) error {
	if v.long {
		return nil
	}
	if err := v.room.long.Acquire(ctx, 1); err != nil {
		return err
	}
	v.long = true
	return nil
}

// grow makes room for n more bytes of a body whose length is not known before its end.
func (v *reservation) grow(ctx context.Context, n int64) error {
	if v.long || v.medium+n > shortBody || !v.room.medium.TryAcquire(n) {
		return v.lengthen(ctx)
	}
	v.medium += n
	return nil
}

// free gives the room back.
func (v *reservation) free() {
	v.room.small.Release(v.small)
	v.room.medium.Release(v.medium)
	if v.long {
		v.room.long.Release(1)
	}
	*v = reservation{room: v.room}
}

// readChunked reads a body of unknown length, and makes room for it as it comes.
func (v *reservation) readChunked(ctx context.Context, body io.Reader) (parts net.Buffers, err error) {
	part := make([]byte, v.small)
	for {
		n, err := io.ReadFull(body, part)
		parts = append(parts, part[:n])
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return parts, bodyEnd(body)
		}
		if err != nil {
			return nil, err
		}
		if err := v.grow(ctx, segment); err != nil {
			return nil, err
		}
		part = make([]byte, segment)
	}
}

// bodyEnd tells the proper end of a body from one that broke off: io.ReadFull reports both alike.
func bodyEnd(body io.Reader) error {
	if _, err := body.Read(make([]byte, 1)); err != io.EOF {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// clients is the handler of the client's requests.
type clients struct {
	host *host
	room *room
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

// readBody reads the body once there is room for it: until then it is left unread, and the client's time has
// not begun. If it returns false the request has been dealt with.
func (s *clients) readBody(w http.ResponseWriter, q *http.Request, r *request) bool {
	n := q.ContentLength
	if n > mostBody {
		w.Header().Set("Connection", "close")
		http.Error(w, "the body is over 32 MB", http.StatusRequestEntityTooLarge)
		return false
	}
	chunked := n < 0
	if chunked {
		n = firstSegment // its length shows at its end
	}
	v, err := s.room.reserve(q.Context(), n)
	if err != nil {
		return false // the client has gone, and nothing is reserved
	}
	r.free = v.free
	if n == 0 {
		return true
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Now().Add(bodyTime + time.Duration(n)*time.Second/bodyRate))
	if chunked {
		rc.SetReadDeadline(time.Now().Add(bodyTime + mostBody*time.Second/bodyRate))
		r.body, err = v.readChunked(q.Context(), http.MaxBytesReader(w, q.Body, mostBody))
	} else {
		whole := make([]byte, n)
		_, err = io.ReadFull(q.Body, whole)
		r.body = net.Buffers{whole}
	}
	if err == nil {
		rc.SetReadDeadline(time.Time{})
		return true
	}
	r.free()
	w.Header().Set("Connection", "close")
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		http.Error(w, "the body is over 32 MB", http.StatusRequestEntityTooLarge)
	} else {
		http.Error(w, "the body did not come whole", http.StatusBadRequest)
	}
	return false
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

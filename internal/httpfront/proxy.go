package httpfront

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/httpcall"
	"quillfront/internal/httpmsg"
	"quillfront/internal/router"
	"quillfront/internal/sockets"
	"quillfront/policy"
)

// ProxyConfig is how a server serves plain HTTP, whatever its requests and answers are, by routes.
type ProxyConfig struct {
	Router     *router.Router
	Pseudonym  string // pseudonym of this instance in Via
	HealthPath string // a path at which the server itself tells whether it is ready; empty: none

	MaxHead         int           // of a request, in bytes
	HeadTimeout     time.Duration // for a request's head to come
	IdleTimeout     time.Duration // a connection may stand idle
	StallTimeout    time.Duration // a peer may bring or take nothing of a body
	MinBodyRate     int64         // bytes a second that a body must bring in the mean
	MaxBufferedBody int64         // the longest body that is held, so that it can be sent again
	MaxBody         int64         // the longest body; 0: no bound
	ExpectTimeout   time.Duration // for a server to say whether it wants a body that its client asks about

	AddForwardedFor bool // X-Forwarded-For goes on with the client's address added
	AddTraceparent  bool // a traceparent is made where there is none
}

// NewProxy returns a server of w that takes its descriptors from b.
func NewProxy(w ProxyConfig, b *sockets.Budget, log *slog.Logger) *Server {
	s := newServer(b, log)
	s.whole = &w
	s.limits = limits{
		head: w.MaxHead, headTime: w.HeadTimeout, idle: w.IdleTimeout, bodyStall: w.StallTimeout, bodyRate: max(w.MinBodyRate, 1), stream: w.StallTimeout,
		keepAlive: fmt.Sprintf("Keep-Alive: timeout=%d\r\n", max(1, int(w.IdleTimeout/time.Second)-1)), // less than it is: see keepAlive
	}
	return s
}

// wholeCall is the request that a connection serves.
type wholeCall struct {
	*router.Call
	m       *httpmsg.Message
	method  string
	length  int64 // of its body; negative: not told
	held    int64 // bytes that its body has of the room
	expects bool  // the client waits to be told to send it

	mu    sync.Mutex // of writes before the final answer
	begun bool       // that has begun, or nobody wants it
}

// serveWhole serves the request whose first bytes have come, and reports whether the connection can go on.
func (s *Server) serveWhole(c *clientConn) bool {
	q, keep, err := s.readWhole(c)
	if err != nil {
		s.rejectWhole(c, err)
		return false
	}
	if q == nil { // asked whether it is ready
		return s.write(c, keep, s.readiness())
	}
	return s.answerWhole(c, keep, q)
}

func refuse(status int, text string) error { return httpcall.Rejection{Status: status, Text: text} }

// readWhole reads one request and hands it to the engine of its pool. It returns none where the server itself was asked.
func (s *Server) readWhole(c *clientConn) (*wholeCall, persistence, error) {
	if err := c.head.Read(c.r); err != nil {
		return nil, last, err
	}
	method, target, minor, err := c.head.Request()
	if err != nil {
		return nil, last, err
	}
	c.bare, c.minor = string(method) == http.MethodHead, minor
	keep := stays
	switch {
	case c.head.Close || minor == 0 && !c.head.Keep:
		keep = last
	case minor == 0:
		keep = spoken
	}
	q := &wholeCall{method: wholeMethod(method), length: max(c.head.Length, 0)}
	if c.head.Chunked {
		if q.length = -1; minor == 0 { // such a sender knows of no chunks
			return nil, last, httpmsg.ErrFraming
		}
	}
	asked := router.Asked{Method: q.method, Target: string(target), Header: c.head.Values}
	if err := s.address(&asked, minor); err != nil {
		return nil, last, err
	}
	if s.whole.HealthPath != "" && asked.Target == s.whole.HealthPath && q.method == http.MethodGet && q.length == 0 {
		c.head.Discard(c.r)
		if !s.enter(c, serving) {
			return nil, last, errGone
		}
		return nil, keep, nil
	}
	if q.Call, err = s.whole.Router.Route(&asked); err != nil {
		return nil, last, err
	}
	defer func() { q.Taken() }()
	r := q.Request
	if retried := c.head.Values("X-Retried"); len(retried) == 1 {
		r.Retry = retried[0] == "1"
	}
	q.m = &httpmsg.Message{Method: q.method, Target: asked.Target, Host: asked.Host, Lines: s.lines(c, q, minor)}
	q.m.Terms = &httpmsg.Terms{Judge: q.Judge, Stall: s.whole.StallTimeout, Interim: func(code int, lines []byte) { s.interim(c, q, code, lines) }}
	r.Payload = q.m
	c.head.Discard(c.r)
	if err := s.wholeBody(c, q); err != nil {
		return nil, last, err
	}
	q.Call = s.whole.Router.Again(q.Call, q.held, func() *router.Asked { // its head is no longer there
		return &router.Asked{Method: q.m.Method, Host: q.m.Host, Target: q.m.Target, Header: httpmsg.ParseHeader(q.m.Lines).Values}
	})
	q.m.Terms.Judge = q.Judge
	if room, n := q.Room, q.held; n > 0 {
		q.Request.Release = func() { room.Release(n) }
	}
	r = q.Request
	if err = s.mayServe(c, q.Engine, r); err == nil {
		err = q.Engine.Submit(r, q.Engine.Now())
	}
	if errors.Is(err, engine.ErrClosed) || errors.Is(err, engine.ErrUnknownClass) {
		err = refuse(http.StatusServiceUnavailable, err.Error())
	}
	if err != nil {
		if r.Release != nil {
			r.Release()
		}
		return nil, last, err
	}
	return q, keep, nil
}

// address takes the host out of a request, and brings its target into origin form (RFC 9112, section 3.2).
func (s *Server) address(a *router.Asked, minor int) error {
	hosts := a.Header("Host")
	if len(hosts) > 1 || len(hosts) == 0 && minor > 0 {
		return refuse(http.StatusBadRequest, "no Host, or more than one")
	}
	if len(hosts) == 1 {
		a.Host = hosts[0]
	}
	if a.Method == http.MethodConnect {
		return refuse(http.StatusNotImplemented, "CONNECT is not served")
	}
	for _, v := range a.Header("Upgrade") {
		if !strings.EqualFold(v, "h2c") { // which may be passed over (RFC 9113, section 3.1)
			return refuse(http.StatusNotImplemented, "Upgrade is not served")
		}
	}
	if rest, ok := cutPrefixFold(a.Target, "http://"); ok { // the authority there is what counts
		end := strings.IndexAny(rest, "/?")
		if end < 0 {
			end = len(rest)
		}
		a.Host, a.Target = rest[:end], rest[end:]
		if !strings.HasPrefix(a.Target, "/") {
			a.Target = "/" + a.Target
		}
	}
	if !httpcall.ValidHost(a.Host) && !(a.Host == "" && minor == 0) {
		return refuse(http.StatusBadRequest, "no Host, or not one that can be read")
	}
	return router.CheckLoop(a.Header("Via"), s.whole.Pseudonym)
}

func cutPrefixFold(s, prefix string) (rest string, ok bool) {
	if len(s) < len(prefix) || !strings.EqualFold(s[:len(prefix)], prefix) {
		return s, false
	}
	return s[len(prefix):], true
}

// wholeMethod is the method's name, without allocating for the usual ones.
func wholeMethod(b []byte) string {
	for _, m := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodHead, http.MethodDelete, http.MethodPatch, http.MethodOptions} {
		if string(b) == m {
			return m
		}
	}
	return string(b)
}

// lines are those of the head that goes to the server.
func (s *Server) lines(c *clientConn, q *wholeCall, minor int) []byte {
	size := 128
	for _, f := range c.head.Fields {
		size += len(f.Name) + len(f.Value) + len(": \r\n")
	}
	b := make([]byte, 0, size)
	id, trace, forwarded, trailers := false, false, "", false
	for _, f := range c.head.Fields {
		switch {
		case f.Is("Host"):
			continue
		case f.Is("Expect"):
			q.expects = q.expects || minor > 0 && bytes.EqualFold(f.Value, []byte("100-continue"))
			continue
		case f.Is("Te"):
			trailers = trailers || bytes.Contains(bytes.ToLower(f.Value), []byte("trailers"))
			continue
		case c.head.Hop(f):
			if !c.head.Chunked || !f.Is("Trailer") {
				continue
			}
		case s.whole.AddForwardedFor && f.Is("X-Forwarded-For"):
			if forwarded != "" {
				forwarded += ", "
			}
			forwarded += string(f.Value)
			continue
		}
		id = id || f.Is("X-Request-ID")
		trace = trace || f.Is("Traceparent")
		b = f.Append(b)
	}
	if trailers {
		b = append(b, "Te: trailers\r\n"...)
	}
	if s.whole.AddForwardedFor {
		if host, _, err := net.SplitHostPort(c.RemoteAddr().String()); err == nil {
			if forwarded != "" {
				forwarded += ", "
			}
			b = append(b, "X-Forwarded-For: "+forwarded+host+"\r\n"...)
		}
	}
	var random [24]byte
	if !id || s.whole.AddTraceparent && !trace {
		for i := 0; i < len(random); i += 8 {
			v := rand.Uint64()
			for j := range 8 {
				random[i+j] = byte(v >> (8 * j))
			}
		}
	}
	if !id {
		b = append(b, "X-Request-ID: "...)
		b = hex.AppendEncode(b, random[:8])
		b = append(b, "\r\n"...)
	}
	if s.whole.AddTraceparent && !trace { // W3C Trace Context: version, trace, parent, flags: nobody is known to record it
		random[0] |= 1 // neither may be all zeros
		random[16] |= 1
		b = append(b, "traceparent: 00-"...)
		b = hex.AppendEncode(b, random[:16])
		b = append(b, '-')
		b = hex.AppendEncode(b, random[16:])
		b = append(b, "-00\r\n"...)
	}
	return router.AppendVia(b, minor, s.whole.Pseudonym)
}

// wholeBody reads the body, if it may be held, or has it read as it is sent on.
func (s *Server) wholeBody(c *clientConn, q *wholeCall) error {
	if q.length == 0 {
		return nil
	}
	most := int64(math.MaxInt64)
	if s.whole.MaxBody > 0 {
		most = s.whole.MaxBody
	}
	if q.length > most {
		return refuse(http.StatusRequestEntityTooLarge, httpmsg.ErrBodyTooLong.Error())
	}
	chunked := q.length < 0
	c.body.ResetTo(c.r, q.length, chunked, most)
	src := &paced{c: c, from: time.Now(), lim: &s.limits}
	there := chunked && c.endThere()
	if q.expects = q.expects && c.r.Buffered() == 0; !q.expects && (there || !chunked && q.length <= s.whole.MaxBufferedBody) {
		n := q.length
		if chunked {
			n = int64(c.r.Buffered())
		}
		if q.Room.TryAcquire(n) {
			var err error
			if chunked {
				q.m.Body, err = c.body.UpTo(n)
			} else {
				q.m.Body = make([]byte, n)
				_, err = io.ReadFull(src, q.m.Body)
			}
			if err != nil {
				q.Room.Release(n)
				return bodyError(err)
			}
			if t := c.body.Trailer(); t == nil {
				q.held = n
				return nil
			}
			q.Room.Release(n) // what has a trailer goes in chunks, and those go as they come
			q.m.Rest, q.m.Length = httpmsg.NewUpload(bytes.NewReader(q.m.Body)), -1
			q.m.Body, q.m.Trailer, q.Request.Upload = nil, c.body.Trailer, true
			return nil
		}
	}
	if q.expects {
		q.m.Terms.Expect = s.whole.ExpectTimeout
		src.first = func() { s.writeInterim(c, q, "HTTP/1.1 100 Continue\r\n\r\n") }
	}
	q.m.Rest, q.m.Length, q.Request.Upload = httpmsg.NewUpload(src), q.length, true
	if chunked {
		q.m.Trailer = c.body.Trailer
	}
	return nil
}

// endThere reports whether all of a body in chunks lies in c's buffer.
func (c *clientConn) endThere() bool {
	b, _ := c.r.Peek(c.r.Buffered())
	return httpmsg.ChunksEnd(b)
}

// interim passes an informational answer on.
func (s *Server) interim(c *clientConn, q *wholeCall, code int, lines []byte) {
	if c.minor == 0 { // such a client knows of none (RFC 9110, section 15.2)
		return
	}
	s.writeInterim(c, q, fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\n", code, http.StatusText(code), lines))
}

func (s *Server) writeInterim(c *clientConn, q *wholeCall, text string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.begun {
		return
	}
	c.SetWriteDeadline(time.Now().Add(s.limits.stream))
	io.WriteString(c, text) // if that fails, so does the final answer
}

// answerWhole waits for the final answer to q and writes it. It reports whether the connection can go on.
func (s *Server) answerWhole(c *clientConn, keep persistence, q *wholeCall) bool {
	r, rest := q.Request, q.m.Rest
	if rest != nil {
		result, gone := s.unheard(c, q.Engine, r, rest)
		if gone {
			s.lastWord(q)
			return false
		}
		if result != nil {
			if err := rest.Broken(); err != nil && result.Kind != engine.Served {
				s.lastWord(q)
				s.rejectWhole(c, bodyError(err))
				return false
			}
			return s.writeEarly(c, keep, q, *result)
		}
		if err := rest.Broken(); err != nil {
			if !q.Engine.Withdraw(r) {
				if result := <-r.Result(); result.Kind == engine.Served {
					s.writeWhole(c, last, q, result)
					return false
				}
			}
			s.lastWord(q)
			s.rejectWhole(c, bodyError(err))
			return false
		}
	}
	if c.r.Buffered() > 0 { // the next request is there, and waits
		return s.writeUnheard(c, keep, q)
	}
	c.SetReadDeadline(time.Time{})
	c.waiting = true
	go c.await()
	select {
	case result := <-r.Result():
		return s.writeWhole(c, keep, q, result)
	case err := <-c.more:
		if err == nil { // the next request has come, which waits
			c.more <- nil
			return s.writeUnheard(c, keep, q)
		}
		c.waiting = false
		if !q.Engine.Withdraw(r) {
			s.writeWhole(c, last, q, <-r.Result())
		}
		s.lastWord(q)
		return false
	}
}

// writeUnheard waits for the final answer to q, behind which the next request stands already, and writes it.
func (s *Server) writeUnheard(c *clientConn, keep persistence, q *wholeCall) bool {
	result, gone := s.unheard(c, q.Engine, q.Request, nil)
	if gone {
		s.lastWord(q)
		return false
	}
	return s.writeWhole(c, keep, q, *result)
}

// lastWord has nothing more written for q.
func (s *Server) lastWord(q *wholeCall) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.begun = true
}

// writeEarly writes the answer though a part of the request's body may still come, and goes on coming to the server meanwhile. What of
// it is not wanted once the answer is whole is read and dropped: else the client, which may read only once it has written, would not get
// the answer. A client that waits to be told to send its body is not waited for.
func (s *Server) writeEarly(c *clientConn, keep persistence, q *wholeCall, result engine.Result) bool {
	rest := q.m.Rest
	unasked := q.expects && !rest.Started()
	if unasked {
		keep = last
	}
	goesOn := s.writeWhole(c, keep, q, result)
	// A Read that is under way ends by itself while the client writes; one that is cut short would leave a body that cannot be read on.
	late := time.AfterFunc(lingerTime, func() { c.SetReadDeadline(time.Now()) })
	src := rest.TakeBack(func() {})
	late.Stop()
	if src == nil || unasked {
		return goesOn
	}
	if _, err := io.Copy(io.Discard, src); err != nil {
		s.linger(c)
		return false
	}
	return goesOn
}

// writeWhole writes the final answer, and reports whether the connection can go on.
func (s *Server) writeWhole(c *clientConn, keep persistence, q *wholeCall, result engine.Result) bool {
	s.lastWord(q)
	s.mu.Lock()
	if s.draining() || s.crowded() {
		keep = last
	}
	s.mu.Unlock()
	a, _ := result.Reply.(*httpmsg.Answer)
	if result.Kind != engine.Served || a == nil {
		if a = q.m.Terms.Last(result.Kind == engine.Refused || result.NotRun); a == nil {
			a = ownAnswer(result)
		}
	}
	status := a.Status
	chunked := !a.Bare && (a.Rest != nil && a.Length < 0 || a.Rest == nil && a.Trailer != nil && len(a.Trailer()) > 0)
	if chunked && c.minor == 0 { // it knows of no chunks: the end of the connection is that of the body
		chunked, keep = false, last
	}
	b := appendStatus(c.scratch[:0], status)
	switch {
	case a.Bare:
		if a.Length >= 0 && status != http.StatusNoContent {
			b = httpmsg.AppendInt(b, "Content-Length", a.Length)
		}
	case chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case a.Rest == nil:
		b = httpmsg.AppendInt(b, "Content-Length", int64(len(a.Body)))
	case a.Length >= 0:
		b = httpmsg.AppendInt(b, "Content-Length", a.Length)
	}
	b = s.appendPersistence(b, keep)
	b = append(b, a.Lines...)
	if result.Kind == engine.Refused && !a.Asks {
		b = appendRetryAfter(b, result.RetryAfter)
	}
	if !a.Dated { // RFC 9110, section 6.6.1
		b = append(b, "Date: "...)
		b = time.Now().UTC().AppendFormat(b, http.TimeFormat)
		b = append(b, "\r\n"...)
	}
	b = router.AppendVia(b, 1, s.whole.Pseudonym)
	b = append(b, "\r\n"...)
	if a.Rest != nil {
		defer c.watch(a.Rest)()
		return s.stream(c, b, a, chunked) && keep != last
	}
	if chunked {
		if len(a.Body) > 0 { // an empty chunk would be the last
			b = httpmsg.AppendChunkHead(b, len(a.Body))
			b = append(append(b, a.Body...), "\r\n"...)
		}
		b = append(b, lastChunk(a)...)
	} else if !a.Bare {
		b = append(b, a.Body...)
	}
	if c.scratch = nil; cap(b) <= mostScratch {
		c.scratch = b
	}
	c.SetWriteDeadline(time.Now().Add(s.limits.stream))
	_, err := c.Write(b)
	return err == nil && keep != last
}

// watch closes an answer that is still coming when its client leaves, though nothing is there to be written, until stop.
func (c *clientConn) watch(rest io.Closer) (stop func()) {
	if !c.waiting {
		return func() {}
	}
	over, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		select {
		case err := <-c.more:
			if err != nil {
				rest.Close()
			}
			c.more <- err
		case <-over:
		}
	}()
	return func() {
		close(over)
		<-done
	}
}

// ownAnswer is what a client is told where no server has answered: 503 where nothing ran, so that a retry is harmless, else 504 where the
// last server took too long and 502 where it failed otherwise.
func ownAnswer(result engine.Result) *httpmsg.Answer {
	a := &httpmsg.Answer{Status: http.StatusBadGateway}
	switch {
	case result.Kind == engine.Refused || result.NotRun:
		a.Status = http.StatusServiceUnavailable
	case result.LastStatus == policy.Timeout || result.Attempts > 0 && result.LastStatus == policy.OK: // the only one has not ended
		a.Status = http.StatusGatewayTimeout
	}
	return a
}

// appendRetryAfter tells when to come back, in whole seconds (RFC 9110, section 10.2.3); 0 is not told.
func appendRetryAfter(b []byte, after time.Duration) []byte {
	if after <= 0 {
		return b
	}
	return httpmsg.AppendInt(b, "Retry-After", int64((after+time.Second-1)/time.Second))
}

// rejectWhole answers a request that is not served, and ends its connection.
func (s *Server) rejectWhole(c *clientConn, err error) {
	var r *router.Rejection
	if !errors.As(err, &r) {
		s.reject(c, err)
		return
	}
	lines := ""
	if len(r.Allow) > 0 {
		lines = "Allow: " + strings.Join(r.Allow, ", ") + "\r\n"
	}
	if r.Unknown {
		lines += httpmsg.UnknownLine
	}
	s.rejectWith(c, r.Rejection, lines)
}

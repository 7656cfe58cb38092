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

// ProxyConfig configures a server that proxies arbitrary HTTP/1.1 requests according to routes.
type ProxyConfig struct {
	Router     *router.Router
	Pseudonym  string // name of this instance in Via
	HealthPath string // path at which the server reports whether it is ready; empty: none

	MaxHead         int           // bytes of a request head
	HeadTimeout     time.Duration // to read a request head
	IdleTimeout     time.Duration // of a connection between requests
	StallTimeout    time.Duration // limit without progress of a body, in either direction
	MinBodyRate     int64         // minimum mean rate of a request body, in bytes per second
	MaxBufferedBody int64         // the longest body that is buffered, so that it can be sent again
	MaxBody         int64         // the longest body; 0: unlimited
	ExpectTimeout   time.Duration // for a server to respond to Expect: 100-continue

	AddForwardedFor bool // append the address of the client to X-Forwarded-For
	AddTraceparent  bool // add a traceparent to requests without one
}

// NewProxy returns a proxy server with the configuration w that takes its descriptors from b.
func NewProxy(w ProxyConfig, b *sockets.Budget, log *slog.Logger) *Server {
	s := newServer(b, log)
	s.proxy = &w
	s.limits = connLimits{
		maxHead: w.MaxHead, headTimeout: w.HeadTimeout, idleTimeout: w.IdleTimeout, bodyStallTimeout: w.StallTimeout, minBodyRate: max(w.MinBodyRate, 1), streamTimeout: w.StallTimeout,
		// The announced timeout is less than IdleTimeout: see keepAliveLine.
		keepAliveLine: fmt.Sprintf("Keep-Alive: timeout=%d\r\n", max(1, int(w.IdleTimeout/time.Second)-1)),
	}
	return s
}

// proxyCall is the request that a connection currently serves.
type proxyCall struct {
	*router.Decision
	msg             *httpmsg.Message
	method          string
	length          int64 // of the body; negative: unknown
	bodyReserved    int64 // bytes of body memory reserved for the body
	expectsContinue bool  // the client waits for 100 Continue before it sends the body

	mu          sync.Mutex // held while an interim response is written
	interimDone bool       // no interim response may be written any more
}

// serveProxy serves the request whose first bytes have arrived and reports whether the connection
// can be used again.
func (s *Server) serveProxy(c *clientConn) bool {
	q, keep, err := s.readProxy(c)
	if err != nil {
		s.rejectProxy(c, err)
		return false
	}
	if q == nil { // health check
		return s.write(c, keep, s.readiness())
	}
	return s.respondProxy(c, keep, q)
}

// rejection returns an httpcall.Rejection as an error.
func rejection(status int, text string) error { return httpcall.Rejection{Status: status, Text: text} }

// readProxy reads one request and passes it to the engine of its pool. For a health check it
// returns a nil request.
func (s *Server) readProxy(c *clientConn) (*proxyCall, persistence, error) {
	if err := c.head.Read(c.r); err != nil {
		return nil, connClose, err
	}
	method, target, minor, err := c.head.ParseRequestLine()
	if err != nil {
		return nil, connClose, err
	}
	c.omitBody, c.minor = string(method) == http.MethodHead, minor
	keep := connKeepAlive
	switch {
	case c.head.Close || minor == 0 && !c.head.KeepAlive:
		keep = connClose
	case minor == 0:
		keep = connKeepAliveExplicit
	}
	q := &proxyCall{method: proxyMethodName(method), length: max(c.head.ContentLength, 0)}
	if c.head.Chunked {
		if q.length = -1; minor == 0 { // HTTP/1.0 has no chunked encoding
			return nil, connClose, httpmsg.ErrFraming
		}
	}
	asked := router.Request{Method: q.method, Target: string(target), Header: c.head.Values}
	if err := s.resolveTarget(&asked, minor); err != nil {
		return nil, connClose, err
	}
	if s.proxy.HealthPath != "" && asked.Target == s.proxy.HealthPath && q.method == http.MethodGet && q.length == 0 {
		c.head.Discard(c.r)
		if !s.setPhase(c, phaseServing) {
			return nil, connClose, errConnClosed
		}
		return nil, keep, nil
	}
	if q.Decision, err = s.proxy.Router.Route(&asked); err != nil {
		return nil, connClose, err
	}
	defer func() { q.Release() }()
	r := q.Request
	if retried := c.head.Values("X-Retried"); len(retried) == 1 {
		r.Retry = retried[0] == "1"
	}
	q.msg = &httpmsg.Message{Method: q.method, Target: asked.Target, Host: asked.Host, HeaderLines: s.serverHeader(c, q, minor)}
	q.msg.Exchange = &httpmsg.Exchange{Evaluate: q.Evaluate, StallTimeout: s.proxy.StallTimeout, OnInterim: func(code int, lines []byte) { s.forwardInterim(c, q, code, lines) }}
	r.Payload = q.msg
	c.head.Discard(c.r)
	if err := s.readProxyBody(c, q); err != nil {
		return nil, connClose, err
	}
	// The head has been discarded.
	q.Decision = s.proxy.Router.Reroute(q.Decision, q.bodyReserved, func() *router.Request {
		return &router.Request{Method: q.msg.Method, Host: q.msg.Host, Target: q.msg.Target, Header: httpmsg.ParseHeader(q.msg.HeaderLines).Values}
	})
	q.msg.Exchange.Evaluate = q.Evaluate
	if room, n := q.BodyBudget, q.bodyReserved; n > 0 {
		q.Request.Release = func() { room.Release(n) }
	}
	r = q.Request
	if err = s.admit(c, q.Engine, r); err == nil {
		err = q.Engine.Submit(r, q.Engine.Now())
	}
	if errors.Is(err, engine.ErrClosed) || errors.Is(err, engine.ErrUnknownClass) {
		err = rejection(http.StatusServiceUnavailable, err.Error())
	}
	if err != nil {
		if r.Release != nil {
			r.Release()
		}
		return nil, connClose, err
	}
	return q, keep, nil
}

// resolveTarget sets the host of a request and converts its target to origin form (RFC 9112,
// section 3.2).
func (s *Server) resolveTarget(a *router.Request, minor int) error {
	hosts := a.Header("Host")
	if len(hosts) > 1 || len(hosts) == 0 && minor > 0 {
		return rejection(http.StatusBadRequest, "no Host, or more than one")
	}
	if len(hosts) == 1 {
		a.Host = hosts[0]
	}
	if a.Method == http.MethodConnect {
		return rejection(http.StatusNotImplemented, "CONNECT is not served")
	}
	for _, v := range a.Header("Upgrade") {
		if !strings.EqualFold(v, "h2c") { // h2c may be ignored (RFC 9113, section 3.1)
			return rejection(http.StatusNotImplemented, "Upgrade is not served")
		}
	}
	// The authority of the target overrides Host.
	if rest, ok := cutPrefixFold(a.Target, "http://"); ok {
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
		return rejection(http.StatusBadRequest, "no Host, or not one that can be read")
	}
	return router.CheckLoop(a.Header("Via"), s.proxy.Pseudonym)
}

// cutPrefixFold is strings.CutPrefix, but ignores case.
func cutPrefixFold(s, prefix string) (rest string, ok bool) {
	if len(s) < len(prefix) || !strings.EqualFold(s[:len(prefix)], prefix) {
		return s, false
	}
	return s[len(prefix):], true
}

// proxyMethodName returns the method as a string, without an allocation for the usual methods.
func proxyMethodName(b []byte) string {
	for _, m := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodHead, http.MethodDelete, http.MethodPatch, http.MethodOptions} {
		if string(b) == m {
			return m
		}
	}
	return string(b)
}

// serverHeader returns the header lines that are sent to the server. It also sets
// q.expectsContinue.
func (s *Server) serverHeader(c *clientConn, q *proxyCall, minor int) []byte {
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
			q.expectsContinue = q.expectsContinue || minor > 0 && bytes.EqualFold(f.Value, []byte("100-continue"))
			continue
		case f.Is("Te"):
			trailers = trailers || bytes.Contains(bytes.ToLower(f.Value), []byte("trailers"))
			continue
		case c.head.IsHopByHop(f):
			if !c.head.Chunked || !f.Is("Trailer") {
				continue
			}
		case s.proxy.AddForwardedFor && f.Is("X-Forwarded-For"):
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
	if s.proxy.AddForwardedFor {
		if host, _, err := net.SplitHostPort(c.RemoteAddr().String()); err == nil {
			if forwarded != "" {
				forwarded += ", "
			}
			b = append(b, "X-Forwarded-For: "+forwarded+host+"\r\n"...)
		}
	}
	var random [24]byte
	if !id || s.proxy.AddTraceparent && !trace {
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
	// W3C Trace Context: version, trace id, parent id, flags; 00: not known to be recorded.
	if s.proxy.AddTraceparent && !trace {
		random[0] |= 1 // neither id may be all zeros
		random[16] |= 1
		b = append(b, "traceparent: 00-"...)
		b = hex.AppendEncode(b, random[:16])
		b = append(b, '-')
		b = hex.AppendEncode(b, random[16:])
		b = append(b, "-00\r\n"...)
	}
	return router.AppendVia(b, minor, s.proxy.Pseudonym)
}

// readProxyBody buffers the body if it is short enough and there is memory for it. Otherwise the
// body is read while it is sent to the server.
func (s *Server) readProxyBody(c *clientConn, q *proxyCall) error {
	if q.length == 0 {
		return nil
	}
	maxBody := int64(math.MaxInt64)
	if s.proxy.MaxBody > 0 {
		maxBody = s.proxy.MaxBody
	}
	if q.length > maxBody {
		return rejection(http.StatusRequestEntityTooLarge, httpmsg.ErrBodyTooLong.Error())
	}
	chunked := q.length < 0
	c.body.ResetWithLimit(c.r, q.length, chunked, maxBody)
	src := s.newMinRateReader(c, 0, q.length)
	buffered := chunked && c.bodyBuffered()
	if q.expectsContinue = q.expectsContinue && c.r.Buffered() == 0; !q.expectsContinue && (buffered || !chunked && q.length <= s.proxy.MaxBufferedBody) {
		n := q.length
		if chunked {
			n = int64(c.r.Buffered())
		}
		if q.BodyBudget.TryAcquire(n) {
			var err error
			if chunked {
				q.msg.Body, err = c.body.ReadUpTo(n)
			} else {
				q.msg.Body = make([]byte, n)
				_, err = io.ReadFull(src, q.msg.Body)
			}
			if err != nil {
				q.BodyBudget.Release(n)
				return bodyError(err)
			}
			if t := c.body.Trailer(); t == nil {
				q.bodyReserved = n
				return nil
			}
			// A body with a trailer is sent in chunks, and chunked bodies are streamed.
			q.BodyBudget.Release(n)
			q.msg.Upload, q.msg.Length = httpmsg.NewUpload(bytes.NewReader(q.msg.Body)), -1
			q.msg.Body, q.msg.Trailer, q.Request.Uploading = nil, c.body.Trailer, true
			return nil
		}
	}
	if q.expectsContinue {
		q.msg.Exchange.ExpectTimeout = s.proxy.ExpectTimeout
		src.onFirstRead = func() { s.writeInterim(c, q, "HTTP/1.1 100 Continue\r\n\r\n") }
	}
	q.msg.Upload, q.msg.Length, q.Request.Uploading = httpmsg.NewUpload(src), q.length, true
	if chunked {
		q.msg.Trailer = c.body.Trailer
	}
	return nil
}

// bodyBuffered reports whether a whole chunked body is in the buffer of c.
func (c *clientConn) bodyBuffered() bool {
	b, _ := c.r.Peek(c.r.Buffered())
	return httpmsg.ChunkedBodyComplete(b)
}

// forwardInterim forwards an forwardInterim response.
func (s *Server) forwardInterim(c *clientConn, q *proxyCall, code int, lines []byte) {
	if c.minor == 0 { // HTTP/1.0 has no interim responses (RFC 9110, section 15.2)
		return
	}
	s.writeInterim(c, q, fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\n", code, http.StatusText(code), lines))
}

// writeInterim writes an interim response, unless endInterim has been called for q.
func (s *Server) writeInterim(c *clientConn, q *proxyCall, text string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.interimDone {
		return
	}
	c.SetWriteDeadline(time.Now().Add(s.limits.streamTimeout))
	io.WriteString(c, text) // after an error, the final response fails too
}

// respondProxy waits for the final result of q and writes the response. It reports whether the
// connection can be used again.
func (s *Server) respondProxy(c *clientConn, keep persistence, q *proxyCall) bool {
	r, rest := q.Request, q.msg.Upload
	if rest != nil {
		result, gone := s.awaitPolling(c, q.Engine, r, rest)
		if gone {
			s.endInterim(q)
			return false
		}
		if result != nil {
			if err := rest.SourceErr(); err != nil && result.Kind != engine.Served {
				s.endInterim(q)
				s.rejectProxy(c, bodyError(err))
				return false
			}
			return s.writeProxyEarly(c, keep, q, *result)
		}
		if err := rest.SourceErr(); err != nil {
			if !q.Engine.Withdraw(r) {
				if result := <-r.Result(); result.Kind == engine.Served {
					s.writeProxy(c, connClose, q, result)
					return false
				}
			}
			s.endInterim(q)
			s.rejectProxy(c, bodyError(err))
			return false
		}
	}
	if c.r.Buffered() > 0 { // the next request has arrived and has to wait
		return s.writeProxyPolling(c, keep, q)
	}
	c.SetReadDeadline(time.Time{})
	c.awaiting = true
	go c.awaitNext()
	select {
	case result := <-r.Result():
		return s.writeProxy(c, keep, q, result)
	case err := <-c.nextReady:
		if err == nil { // the next request has arrived and has to wait
			c.nextReady <- nil
			return s.writeProxyPolling(c, keep, q)
		}
		c.awaiting = false
		if !q.Engine.Withdraw(r) {
			s.writeProxy(c, connClose, q, <-r.Result())
		}
		s.endInterim(q)
		return false
	}
}

// writeProxyPolling waits for the final result of q while the next request is already buffered,
// and writes the response.
func (s *Server) writeProxyPolling(c *clientConn, keep persistence, q *proxyCall) bool {
	result, gone := s.awaitPolling(c, q.Engine, q.Request, nil)
	if gone {
		s.endInterim(q)
		return false
	}
	return s.writeProxy(c, keep, q, *result)
}

// endInterim prevents further interim responses to q.
func (s *Server) endInterim(q *proxyCall) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.interimDone = true
}

// writeProxyEarly writes the response while the rest of the request body may still be sent to the
// server. What is left of the body after the response is read and discarded, because a client
// that reads only after it has sent everything would otherwise not get the response. If the
// client still waits for 100 Continue, nothing is read: the connection is closed.
func (s *Server) writeProxyEarly(c *clientConn, keep persistence, q *proxyCall, result engine.Result) bool {
	rest := q.msg.Upload
	bodyNotSent := q.expectsContinue && !rest.Started()
	if bodyNotSent {
		keep = connClose
	}
	reusable := s.writeProxy(c, keep, q, result)
	// A Read in progress ends by itself while the client writes. If it is interrupted, the body
	// cannot be read any further.
	timer := time.AfterFunc(lingerTimeout, func() { c.SetReadDeadline(time.Now()) })
	src := rest.Reclaim(func() {})
	timer.Stop()
	if src == nil || bodyNotSent {
		return reusable
	}
	if _, err := io.Copy(io.Discard, src); err != nil {
		s.linger(c)
		return false
	}
	return reusable
}

// writeProxy writes the final response and reports whether the connection can be used again.
func (s *Server) writeProxy(c *clientConn, keep persistence, q *proxyCall, result engine.Result) bool {
	s.endInterim(q)
	s.mu.Lock()
	if s.draining() || s.tooManyConns() {
		keep = connClose
	}
	s.mu.Unlock()
	a, _ := result.Reply.(*httpmsg.Response)
	if result.Kind != engine.Served || a == nil {
		if a = q.msg.Exchange.LastResponse(result.Kind == engine.Refused || result.NotRun); a == nil {
			a = localResponse(result)
		}
	}
	status := a.Status
	chunked := !a.NoBody && (a.BodyRest != nil && a.Length < 0 || a.BodyRest == nil && a.Trailer != nil && len(a.Trailer()) > 0)
	// HTTP/1.0 has no chunked encoding: the close of the connection ends the body.
	if chunked && c.minor == 0 {
		chunked, keep = false, connClose
	}
	b := appendStatus(c.scratch[:0], status)
	switch {
	case a.NoBody:
		if a.Length >= 0 && status != http.StatusNoContent {
			b = httpmsg.AppendIntField(b, "Content-Length", a.Length)
		}
	case chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case a.BodyRest == nil:
		b = httpmsg.AppendIntField(b, "Content-Length", int64(len(a.Body)))
	case a.Length >= 0:
		b = httpmsg.AppendIntField(b, "Content-Length", a.Length)
	}
	b = s.appendPersistence(b, keep)
	b = append(b, a.HeaderLines...)
	if result.Kind == engine.Refused && !a.HasRetryAfter {
		b = appendRetryAfter(b, result.RetryAfter)
	}
	if !a.HasDate { // a proxy adds a missing Date: RFC 9110, section 6.6.1
		b = append(b, "Date: "...)
		b = time.Now().UTC().AppendFormat(b, http.TimeFormat)
		b = append(b, "\r\n"...)
	}
	b = router.AppendVia(b, 1, s.proxy.Pseudonym)
	b = append(b, "\r\n"...)
	if a.BodyRest != nil {
		defer c.watchDisconnect(a.BodyRest)()
		return s.stream(c, b, a, chunked) && keep != connClose
	}
	body := a.Body
	if chunked {
		if len(a.Body) > 0 { // an empty chunk would end the body
			b = httpmsg.AppendChunkHead(b, len(a.Body))
			b = append(append(b, a.Body...), "\r\n"...)
		}
		b, body = append(b, lastChunk(a)...), nil
	} else if a.NoBody {
		body = nil
	}
	c.SetWriteDeadline(time.Now().Add(s.limits.streamTimeout))
	return c.writeMessage(b, body) == nil && keep != connClose
}

// watchDisconnect closes rest if the client disconnects, also while there is nothing to write. It
// watches until stop is called.
func (c *clientConn) watchDisconnect(rest io.Closer) (stop func()) {
	if !c.awaiting {
		return func() {}
	}
	stopped, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		select {
		case err := <-c.nextReady:
			if err != nil {
				rest.Close()
			}
			c.nextReady <- err
		case <-stopped:
		}
	}()
	return func() {
		close(stopped)
		<-done
	}
}

// localResponse returns the response if no server has responded: 503 if no attempt ran, so that a
// retry is harmless, 504 if the last server took too long, and 502 for other failures.
func localResponse(result engine.Result) *httpmsg.Response {
	a := &httpmsg.Response{Status: http.StatusBadGateway}
	switch {
	case result.Kind == engine.Refused || result.NotRun:
		a.Status = http.StatusServiceUnavailable
	// OK as the last status means that the only attempt has not ended.
	case result.LastStatus == policy.Timeout || result.Attempts > 0 && result.LastStatus == policy.OK:
		a.Status = http.StatusGatewayTimeout
	}
	return a
}

// appendRetryAfter appends Retry-After in whole seconds (RFC 9110, section 10.2.3), or nothing if
// after is 0.
func appendRetryAfter(b []byte, after time.Duration) []byte {
	if after <= 0 {
		return b
	}
	return httpmsg.AppendIntField(b, "Retry-After", int64((after+time.Second-1)/time.Second))
}

// rejectProxy writes the error response to a request that is not served and closes the
// connection.
func (s *Server) rejectProxy(c *clientConn, err error) {
	var r *router.Rejection
	if !errors.As(err, &r) {
		s.reject(c, err)
		return
	}
	lines := ""
	if len(r.Allow) > 0 {
		lines = "Allow: " + strings.Join(r.Allow, ", ") + "\r\n"
	}
	if r.OutcomeUnknown {
		lines += httpmsg.UnknownLine
	}
	s.rejectWith(c, r.Rejection, lines)
}

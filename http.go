package quillfront

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"quillfront/internal/bodybudget"
	"quillfront/internal/engine"
	"quillfront/internal/httpcall"
	"quillfront/internal/httpmsg"
	"quillfront/internal/orders"
)

// deadlineMargin is the time after the caller's deadline at which a request times out by itself.
// The caller's context thus always ends first, and the error is always that of the context.
const deadlineMargin = 20 * time.Millisecond

// do executes one request until ctx ends. body is nil if the request has none. unblockRead makes a
// pending Read of body return. If it is nil, do doesn't wait for such a Read, which may then
// outlast the call.
func (b *Balancer) do(ctx context.Context, call *httpcall.Call, header http.Header, body io.Reader, unblockRead func()) (*httpmsg.Response, error) {
	if !b.requestSlots.TryAcquire(1) {
		return nil, &RefusedError{}
	}
	defer b.requestSlots.Release(1)
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	r, err := call.Request(b.engine)
	if err != nil {
		return nil, requestError(err)
	}
	m := &httpmsg.Message{Method: call.Method, Target: call.Target, Host: call.Host}
	m.HeaderLines = httpmsg.Field{Name: []byte("X-Request-ID"), Value: []byte(call.ID)}.Append(nil)
	m.HeaderLines = httpmsg.AppendHeader(m.HeaderLines, header, omitHeader)
	r.Payload = m
	release, more, err := b.readBody(ctx, call, m, body, r.Timeout)
	if err != nil {
		return nil, err
	}
	r.Release, r.Uploading = release, more != nil
	var up *upload
	if more != nil {
		up = startUpload(m, more, call.Length)
		defer up.finish(unblockRead)
	}
	deadline, hasDeadline := ctx.Deadline()
	if hasDeadline { // no attempt outlasts the caller by more than deadlineMargin
		r.Timeout = min(r.Timeout, max(time.Until(deadline), 0)+deadlineMargin)
	}
	err = context.Cause(ctx) // ctx may have ended while the body was read
	if err == nil {
		err = b.submit(r, call, m)
	}
	if err != nil {
		release()
		switch {
		case errors.Is(err, orders.ErrMismatch):
			return nil, &RequestError{http.StatusUnprocessableEntity, err.Error()}
		case errors.Is(err, engine.ErrClosed):
			return nil, ErrClosed
		case errors.Is(err, engine.ErrDuplicateID):
			return nil, &RequestError{http.StatusConflict, "a request with this X-Request-ID is open"}
		}
		return nil, err
	}
	if up != nil {
		select {
		case <-m.Upload.Done():
			if err := m.Upload.SourceErr(); err != nil {
				if b.engine.Withdraw(r) {
					return nil, err
				}
				if result := <-r.Result(); result.Kind == engine.Served { // the answer arrived at the same time
					return b.convertResult(result)
				}
				return nil, err
			}
		case result := <-r.Result():
			if err := m.Upload.SourceErr(); err != nil && result.Kind != engine.Served {
				return nil, err
			}
			return b.convertResult(result)
		case <-ctx.Done():
		}
	}
	select {
	case result := <-r.Result():
		if result.Kind != engine.Served && hasDeadline && !time.Now().Before(deadline) {
			<-ctx.Done() // ctx is about to end
		}
		if result.Kind != engine.Served && ctx.Err() != nil {
			// Both ended at the same time: ctx takes precedence.
			return nil, context.Cause(ctx)
		}
		return b.convertResult(result)
	case <-ctx.Done():
		if b.engine.Withdraw(r) {
			return nil, context.Cause(ctx)
		}
		return b.convertResult(<-r.Result()) // the answer arrived at the same time
	}
}

// submit passes a request to the order store if it has an Idempotency-Key and the Balancer stores
// orders, and to the engine otherwise.
func (b *Balancer) submit(r *engine.Request, call *httpcall.Call, m *httpmsg.Message) error {
	if !b.isOrder(call) {
		return b.engine.Submit(r, b.engine.Now())
	}
	now := b.engine.Now()
	return b.coordinator.Submit(r, orders.Identity{Key: call.IdempotencyKey, Fingerprint: call.Fingerprint(m.Body)}, now)
}

// convertResult converts an engine's result to the answer or error that the caller gets.
func (b *Balancer) convertResult(r engine.Result) (*httpmsg.Response, error) {
	switch r.Kind {
	case engine.Served:
		if a, ok := r.Reply.(*httpmsg.Response); ok {
			if r.Replayed { // stored answers are complete
				a = &httpmsg.Response{HeaderLines: append([]byte(httpmsg.ReplayedLine), a.HeaderLines...), Body: a.Body}
			}
			return a, nil
		}
	case engine.Refused:
		return nil, &RefusedError{r.RetryAfter, r.Attempts}
	case engine.Dropped:
		return nil, fmt.Errorf("%w, and the request may have run", ErrClosed)
	}
	e := &FailedError{Attempts: r.Attempts, Unknown: r.MayHaveRun}
	if r.Attempts > 0 {
		e.Last = outcomeTexts[r.LastStatus]
	}
	return nil, e
}

// requestError converts the rejection of an invalid request to a RequestError. It returns other
// errors unchanged.
func requestError(err error) error {
	var rejection httpcall.Rejection
	if errors.As(err, &rejection) {
		return &RequestError{rejection.Status, rejection.Text}
	}
	return err
}

// omitHeader reports whether a header field is not copied to the message. The transport writes Host
// and X-Timeout-Ms itself. The request ID is written once, whether it was received or generated.
func omitHeader(name string) bool {
	return strings.EqualFold(name, "Host") || strings.EqualFold(name, "X-Timeout-Ms") || strings.EqualFold(name, "X-Request-ID")
}

// isOrder reports whether a call goes to the coordinator of orders.
func (b *Balancer) isOrder(call *httpcall.Call) bool {
	return b.coordinator != nil && call.IdempotencyKey != ""
}

// reserveBody reserves memory for the start of a body of up to httpmsg.MaxFullBody bytes, or none if
// there is none. An order needs the start of its body, which identifies it, and may wait for memory,
// but only for a part of its time.
func (b *Balancer) reserveBody(ctx context.Context, call *httpcall.Call, timeout time.Duration) (bodybudget.Reservation, error) {
	if !b.isOrder(call) {
		return b.bodyBudget.Reserve(call.Length, httpmsg.MaxFullBody), nil
	}
	memory, _, err := b.bodyBudget.ReserveOrder(ctx, call.Length, httpmsg.MaxFullBody, timeout)
	switch {
	case err != nil && ctx.Err() != nil:
		err = context.Cause(ctx)
	case err != nil:
		err = &RefusedError{}
	}
	return memory, err
}

// readBody reads the start of the body into m, as far as there is memory for it. more is the rest,
// which may be all of it, or nil if there is none. release frees the memory. timeout is that of the
// request.
func (b *Balancer) readBody(ctx context.Context, call *httpcall.Call, m *httpmsg.Message, body io.Reader, timeout time.Duration) (release func(), more io.Reader, err error) {
	if call.Length > httpmsg.MaxBody {
		return nil, nil, errTooLong
	}
	if call.Length == 0 || body == nil {
		return func() {}, nil, nil
	}
	memory, err := b.reserveBody(ctx, call, timeout)
	if err != nil {
		return nil, nil, err
	}
	succeeded := false
	defer func() { // also runs if the body's Read panics
		if !succeeded {
			memory.Release()
		}
	}()
	n, known := memory.Bytes, call.Length >= 0
	switch {
	case n == 0: // all of the body is sent as it arrives
	case known:
		m.Body = make([]byte, n, n+1)
		if got, err := io.ReadFull(body, m.Body); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, nil, shortBodyError(int64(got), call.Length)
		} else if err != nil {
			return nil, nil, err
		}
	default:
		if m.Body, err = io.ReadAll(io.LimitReader(body, n)); err != nil {
			return nil, nil, err
		}
	}
	rest := &boundedBody{r: body, size: int64(len(m.Body)), length: call.Length}
	if known && call.Length > n || n == 0 {
		more = rest
	} else if int64(len(m.Body)) == n { // only a further read shows whether there is more
		var next [1]byte
		switch got, err := io.ReadFull(rest, next[:]); {
		case got > 0:
			more = io.MultiReader(bytes.NewReader(next[:]), rest)
		case err != io.EOF:
			return nil, nil, err
		}
	}
	succeeded = true
	return memory.Release, more, nil
}

// errTooLong is the error for a body above the maximum length.
var errTooLong = &RequestError{http.StatusRequestEntityTooLarge, httpmsg.ErrBodyTooLong.Error()}

// shortBodyError returns the error for a body shorter than its Content-Length.
func shortBodyError(received, announced int64) error {
	return &RequestError{http.StatusBadRequest, fmt.Sprintf("the body has %d bytes, and %d were announced", received, announced)}
}

// boundedBody reads the rest of a body, of which size bytes have been read. It fails if the body
// differs from its length or exceeds limit.
type boundedBody struct {
	r      io.Reader
	size   int64
	length int64 // negative: unknown
	limit  int64 // maximum size; 0: httpmsg.MaxBody; negative: unlimited
}

// Read implements io.Reader.
func (l *boundedBody) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.size += int64(n)
	switch {
	case l.length >= 0 && l.size > l.length || l.limit >= 0 && l.size > cmp.Or(l.limit, httpmsg.MaxBody):
		return 0, errTooLong
	case err == io.EOF && l.size < l.length:
		return n, shortBodyError(l.size, l.length)
	}
	return n, err
}

// upload streams the rest of a body. It reads the caller's reader in a separate goroutine, never in
// one of the engine's, because the reader may panic or block forever.
type upload struct {
	pipe     *io.PipeWriter
	done     chan struct{} // closed when the reader is no longer used
	err      error         // why the body failed; set before done is closed
	panicked any           // value of the reader's panic; set before done is closed
}

// startUpload makes body the rest of m's body, of the given total length, and starts to read it.
func startUpload(m *httpmsg.Message, body io.Reader, length int64) *upload {
	r, w := io.Pipe()
	m.Upload, m.Length = httpmsg.NewUpload(r), length
	u := &upload{pipe: w, done: make(chan struct{})}
	go func() {
		defer close(u.done)
		defer func() {
			if u.panicked = recover(); u.panicked != nil {
				u.err = io.ErrUnexpectedEOF
			}
			w.CloseWithError(u.err)
		}()
		if _, u.err = io.Copy(w, body); u.err == io.ErrClosedPipe {
			u.err = nil // the transport needs no more of the body
		}
	}()
	return u
}

// finish stops the upload and repeats a panic of the body's reader. If unblockRead is nil, it
// doesn't wait for a pending Read.
func (u *upload) finish(unblockRead func()) {
	u.pipe.CloseWithError(io.ErrClosedPipe)
	select {
	case <-u.done:
	default:
		if unblockRead == nil {
			return
		}
		unblockRead()
		<-u.done
	}
	if u.panicked != nil {
		panic(u.panicked)
	}
}

// RoundTripper returns an http.RoundTripper that sends requests through b. The host in a request's
// URL is not resolved; it becomes the Host header. Only a server's 200 becomes a response. All else
// is an error: *RefusedError, *FailedError, *RequestError, ErrClosed, the cause of a context that
// ended, or the error of the request's body. An http.Client wraps them in a *url.Error. A call
// neither follows redirects nor makes retries other than those that b decides on.
func (b *Balancer) RoundTripper() http.RoundTripper { return roundTripper{b} }

type roundTripper struct{ *Balancer }

// RoundTrip implements http.RoundTripper.
func (b roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Body != nil {
		defer req.Body.Close()
	}
	if req.URL == nil {
		return nil, &RequestError{http.StatusBadRequest, "the request has no URL"}
	}
	call := httpcall.Call{Method: cmp.Or(req.Method, http.MethodGet), Target: req.URL.RequestURI(), Length: req.ContentLength}
	if req.Body == nil || req.Body == http.NoBody {
		call.Length = 0
	} else if req.ContentLength == 0 {
		call.Length = -1 // net/http: a length of 0 with a body means unknown
	}
	if err := call.AddHeader(req.Header); err != nil {
		return nil, requestError(err)
	}
	call.Host = cmp.Or(req.Host, req.URL.Host)
	if call.ID == "" {
		call.ID = newRequestID()
	}
	a, err := b.do(req.Context(), &call, req.Header, req.Body, nil)
	if err != nil {
		return nil, err
	}
	return &http.Response{
		Status: "200 OK", StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: httpmsg.ParseHeader(a.HeaderLines), Body: bodyReader(req.Context(), a), ContentLength: contentLength(a), Request: req,
	}, nil
}

// contentLength returns the length of a's complete body, or -1 if it is unknown.
func contentLength(a *httpmsg.Response) int64 {
	if a.BodyRest == nil {
		return int64(len(a.Body))
	}
	return max(a.Length, -1)
}

// bodyReader returns a's body. A body that is still being received is closed when ctx ends.
func bodyReader(ctx context.Context, a *httpmsg.Response) io.ReadCloser {
	if a.BodyRest == nil {
		return io.NopCloser(bytes.NewReader(a.Body))
	}
	stop := context.AfterFunc(ctx, func() { a.BodyRest.Close() })
	return &streamedBody{io.MultiReader(bytes.NewReader(a.Body), a.BodyRest), a.BodyRest, stop}
}

// streamedBody is a body that is still being received.
type streamedBody struct {
	io.Reader
	rest io.Closer
	stop func() bool
}

// Close implements io.Closer.
func (l *streamedBody) Close() error {
	l.stop()
	return l.rest.Close()
}

// newRequestID generates an X-Request-ID.
func newRequestID() string {
	var id [33]byte
	return string(strconv.AppendUint(strconv.AppendUint(id[:0], requestIDPrefix, 16), rand.Uint64(), 16))
}

// requestIDPrefix distinguishes the request IDs of this process from those of others.
var requestIDPrefix = rand.Uint64()

// Handler returns an http.Handler that behaves like the sidecar's listener. It answers requests of
// b's classes with 200, refused requests with 503 and Retry-After, failed ones with 502, and
// invalid ones with a 4xx status. It answers GET /healthz with 200. It uses the path of the
// request's URL, so http.StripPrefix can be applied first. When a client disconnects, its request
// is canceled.
func (b *Balancer) Handler() http.Handler { return handler{b} }

type handler struct{ *Balancer }

// ServeHTTP implements http.Handler.
func (b handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	call := httpcall.Call{Method: req.Method, Target: requestTarget(req), Length: req.ContentLength}
	if call.Target == "/healthz" && req.Method == http.MethodGet && req.ContentLength == 0 {
		w.WriteHeader(http.StatusOK)
		return
	}
	err := requestError(call.AddHeader(req.Header))
	call.Host, call.HostOptional = req.Host, !req.ProtoAtLeast(1, 1)
	var a *httpmsg.Response
	body, early := receiveBody(w, req)
	defer early.stop()
	if err == nil {
		a, err = b.do(req.Context(), &call, req.Header, body, early.interrupt)
	}
	header := w.Header()
	if err != nil {
		var request *RequestError
		if req.ProtoMajor == 1 && (call.Length != 0 && !body.atEOF || errors.As(err, &request)) {
			// Otherwise net/http's server would wait for an unneeded body before it answers.
			header.Set("Connection", "close")
		}
		writeError(w, err)
		return
	}
	for name, values := range httpmsg.ParseHeader(a.HeaderLines) {
		header[name] = values
	}
	n := contentLength(a)
	if n >= 0 {
		header.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	answer := bodyReader(early.answerContext(), a)
	defer answer.Close()
	w.WriteHeader(http.StatusOK)
	if err := copyAndFlush(w, answer, a.BodyRest != nil); err != nil && a.BodyRest != nil {
		panic(http.ErrAbortHandler) // lets the client detect that the answer is incomplete
	}
	early.drain(n >= 0)
}

// clientBody is a body received from a client. An error while it is read becomes a RequestError, so
// that the client gets to know it.
type clientBody struct {
	io.ReadCloser
	atEOF bool // the body has been read completely
}

// Read implements io.Reader.
func (w *clientBody) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	if w.atEOF = w.atEOF || err == io.EOF; err != nil && err != io.EOF {
		err = &RequestError{http.StatusBadRequest, "the body did not come whole"}
	}
	return n, err
}

// requestTarget returns the request target of req as received, unless a handler before has changed
// the path.
func requestTarget(req *http.Request) string {
	rawPath, _, _ := strings.Cut(req.RequestURI, "?")
	if unescaped, err := url.PathUnescape(rawPath); err == nil && unescaped == req.URL.Path {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

// writeError answers a request that failed with err.
func writeError(w http.ResponseWriter, err error) {
	var refused *RefusedError
	var request *RequestError
	switch {
	case errors.As(err, &refused):
		if refused.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(refused.RetryAfter.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case err == ErrClosed: // not accepted: a retry at another instance is safe
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.As(err, &request):
		http.Error(w, request.Reason, request.Status)
	default:
		if failed := (*FailedError)(nil); errors.As(err, &failed) && failed.Unknown {
			name, value, _ := strings.Cut(strings.TrimSpace(httpmsg.UnknownLine), ": ")
			w.Header().Set(name, value)
		}
		w.WriteHeader(http.StatusBadGateway)
	}
}

// Middleware returns a function that wraps a handler. Requests for which match returns true go to
// the servers of b; all others go to the handler unchanged. A nil match means b.Matches.
func (b *Balancer) Middleware(match func(*http.Request) bool) func(http.Handler) http.Handler {
	if match == nil {
		match = b.Matches
	}
	servers := b.Handler()
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if match(req) {
				servers.ServeHTTP(w, req)
				return
			}
			next.ServeHTTP(w, req)
		})
	}
}

// Matches reports whether the first path segment of req is the name of a class of b.
func (b *Balancer) Matches(req *http.Request) bool {
	name, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	_, known := b.engine.Class(name)
	return known
}

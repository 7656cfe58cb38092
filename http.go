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

	"quillfront/internal/engine"
	"quillfront/internal/httpcall"
	"quillfront/internal/httpmsg"
	"quillfront/internal/orders"
)

// ownEnd is how much later than its caller's deadline a request ends by itself. The caller's end is thus always the first
// of the two, and the error always the context's.
const ownEnd = 20 * time.Millisecond

// do carries out one request whose answer is wanted until ctx ends. body is nil if it has none. wake makes a Read of it that is
// under way return, or is nil if that is left to the caller, which body then may outlast.
func (b *Balancer) do(ctx context.Context, call *httpcall.Call, header http.Header, body io.Reader, wake func()) (*httpmsg.Response, error) {
	if !b.places.TryAcquire(1) {
		return nil, &RefusedError{}
	}
	defer b.places.Release(1)
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	r, err := call.Request(b.engine)
	if err != nil {
		return nil, requestError(err)
	}
	m := &httpmsg.Message{Method: call.Method, Target: call.Target, Host: call.Host}
	m.HeaderLines = httpmsg.Field{Name: []byte("X-Request-ID"), Value: []byte(call.ID)}.Append(nil)
	m.HeaderLines = httpmsg.AppendHeader(m.HeaderLines, header, ownHeader)
	r.Payload = m
	release, more, err := b.readBody(ctx, call, m, body)
	if err != nil {
		return nil, err
	}
	r.Release, r.Uploading = release, more != nil
	var up *upload
	if more != nil {
		up = send(m, more, call.Length)
		defer up.end(wake)
	}
	until, bounded := ctx.Deadline()
	if bounded { // no attempt outlasts who waits for it by more than that
		r.Timeout = min(r.Timeout, max(time.Until(until), 0)+ownEnd)
	}
	err = context.Cause(ctx) // it may have ended while the body was read
	if err == nil {
		err = b.hand(r, call, m)
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
				if result := <-r.Result(); result.Kind == engine.Served { // it came at the same moment
					return b.result(result)
				}
				return nil, err
			}
		case result := <-r.Result():
			if err := m.Upload.SourceErr(); err != nil && result.Kind != engine.Served {
				return nil, err
			}
			return b.result(result)
		case <-ctx.Done():
		}
	}
	select {
	case result := <-r.Result():
		if result.Kind != engine.Served && bounded && !time.Now().Before(until) { // its timer is about to fire
			<-ctx.Done()
		}
		if result.Kind != engine.Served && ctx.Err() != nil { // both at one moment: the caller's own end comes first
			return nil, context.Cause(ctx)
		}
		return b.result(result)
	case <-ctx.Done():
		if b.engine.Withdraw(r) {
			return nil, context.Cause(ctx)
		}
		return b.result(<-r.Result()) // it came at the same moment
	}
}

// hand hands a request on.
func (b *Balancer) hand(r *engine.Request, call *httpcall.Call, m *httpmsg.Message) error {
	if b.desk == nil || call.IdempotencyKey == "" {
		return b.engine.Submit(r, b.engine.Now())
	}
	read := b.engine.Now()
	return b.desk.Submit(r, orders.Identity{Key: call.IdempotencyKey, Fingerprint: call.Fingerprint(m.Body)}, read)
}

// result is what the caller gets of an engine's result.
func (b *Balancer) result(r engine.Result) (*httpmsg.Response, error) {
	switch r.Kind {
	case engine.Served:
		if a, ok := r.Reply.(*httpmsg.Response); ok {
			if r.Replayed {
				a = &httpmsg.Response{HeaderLines: append([]byte(httpmsg.ReplayedLine), a.HeaderLines...), Body: a.Body} // kept ones are whole
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
		e.Last = outcomes[r.LastStatus]
	}
	return nil, e
}

func requestError(err error) error {
	var rejection httpcall.Rejection
	if errors.As(err, &rejection) {
		return &RequestError{rejection.Status, rejection.Text}
	}
	return err
}

// ownHeader reports whether lines of that name are not copied from the header: the transport writes them itself, and the id
// is written once whether it came or was made up.
func ownHeader(name string) bool {
	return strings.EqualFold(name, "Host") || strings.EqualFold(name, "X-Timeout-Ms") || strings.EqualFold(name, "X-Request-ID")
}

// readBody reads the body into m once there is room for it, or a part of it where it is long: more is then the rest. release
// gives the room back.
func (b *Balancer) readBody(ctx context.Context, call *httpcall.Call, m *httpmsg.Message, body io.Reader) (release func(), more io.Reader, err error) {
	if call.Length > httpmsg.MaxBody {
		return nil, nil, errTooLong
	}
	if call.Length == 0 || body == nil {
		return func() {}, nil, nil
	}
	n := call.Length
	if n < 0 || n > httpmsg.MaxFullBody {
		n = httpmsg.MaxFullBody
	}
	if err := b.room.Acquire(ctx, n); err != nil {
		return nil, nil, context.Cause(ctx)
	}
	taken := false
	defer func() { // also where a body's Read panics
		if !taken {
			b.room.Release(n)
		}
	}()
	known := call.Length >= 0
	if known {
		m.Body = make([]byte, n, n+1)
		if got, err := io.ReadFull(body, m.Body); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, nil, short(int64(got), call.Length)
		} else if err != nil {
			return nil, nil, err
		}
	} else if m.Body, err = io.ReadAll(io.LimitReader(body, n)); err != nil {
		return nil, nil, err
	}
	rest := &bounded{r: body, size: int64(len(m.Body)), length: call.Length}
	if known && call.Length > n {
		more = rest
	} else if int64(len(m.Body)) == n { // whether there is more shows only behind it
		var next [1]byte
		switch got, err := io.ReadFull(rest, next[:]); {
		case got > 0:
			more = io.MultiReader(bytes.NewReader(next[:]), rest)
		case err != io.EOF:
			return nil, nil, err
		}
	}
	taken = true
	return func() { b.room.Release(n) }, more, nil
}

// errTooLong is the answer to a body that is longer than any may be.
var errTooLong = &RequestError{http.StatusRequestEntityTooLarge, httpmsg.ErrBodyTooLong.Error()}

func short(has, announced int64) error {
	return &RequestError{http.StatusBadRequest, fmt.Sprintf("the body has %d bytes, and %d were announced", has, announced)}
}

// bounded reads on a body of which size bytes have been read, and holds it to its length, or to the longest that any may have.
type bounded struct {
	r      io.Reader
	size   int64
	length int64 // negative: not told
	most   int64 // 0: httpmsg.MaxBody; negative: no bound
}

// Read is the method of io.Reader.
func (l *bounded) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.size += int64(n)
	switch {
	case l.length >= 0 && l.size > l.length || l.most >= 0 && l.size > cmp.Or(l.most, httpmsg.MaxBody):
		return 0, errTooLong
	case err == io.EOF && l.size < l.length:
		return n, short(l.size, l.length)
	}
	return n, err
}

// upload passes the rest of a body on. The caller's reader is read in a goroutine of its own, never in one of the engine's:
// it may panic, or block for ever.
type upload struct {
	pipe     *io.PipeWriter
	done     chan struct{} // closed once the reader is read no more
	err      error         // before done is closed: what broke it
	panicked any           // the same
}

func send(m *httpmsg.Message, body io.Reader, length int64) *upload {
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
		if _, u.err = io.Copy(w, body); u.err == io.ErrClosedPipe { // what came was not wanted
			u.err = nil
		}
	}()
	return u
}

// end ends what is still under way, and panics if the body did.
func (u *upload) end(wake func()) {
	u.pipe.CloseWithError(io.ErrClosedPipe)
	select {
	case <-u.done:
	default:
		if wake == nil {
			return
		}
		wake()
		<-u.done
	}
	if u.panicked != nil {
		panic(u.panicked)
	}
}

// RoundTripper returns an http.RoundTripper that sends requests through b. The host in a request's URL is not looked up:
// it becomes the Host header. An answer is a server's 200; everything else is an error: *RefusedError, *FailedError,
// *RequestError, ErrClosed, the cause of a context that ended, or what the request's body returned. With http.Client they
// come wrapped in a *url.Error. Each call sends for one request only: it neither follows redirects nor repeats by itself
// what b did not decide to.
func (b *Balancer) RoundTripper() http.RoundTripper { return roundTripper{b} }

type roundTripper struct{ *Balancer }

// RoundTrip is the method of http.RoundTripper.
func (b roundTripper) RoundTrip(q *http.Request) (*http.Response, error) {
	if q.Body != nil {
		defer q.Body.Close()
	}
	if q.URL == nil {
		return nil, &RequestError{http.StatusBadRequest, "the request has no URL"}
	}
	call := httpcall.Call{Method: cmp.Or(q.Method, http.MethodGet), Target: q.URL.RequestURI(), Length: q.ContentLength}
	if q.Body == nil || q.Body == http.NoBody {
		call.Length = 0
	} else if q.ContentLength == 0 {
		call.Length = -1 // as net/http has it: unknown
	}
	if err := call.AddHeader(q.Header); err != nil {
		return nil, requestError(err)
	}
	call.Host = cmp.Or(q.Host, q.URL.Host)
	if call.ID == "" {
		call.ID = newID()
	}
	a, err := b.do(q.Context(), &call, q.Header, q.Body, nil)
	if err != nil {
		return nil, err
	}
	return &http.Response{
		Status: "200 OK", StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: httpmsg.ParseHeader(a.HeaderLines), Body: bodyOf(q.Context(), a), ContentLength: lengthOf(a), Request: q,
	}, nil
}

// lengthOf is the length of a's whole body; -1: not told.
func lengthOf(a *httpmsg.Response) int64 {
	if a.BodyRest == nil {
		return int64(len(a.Body))
	}
	return max(a.Length, -1)
}

// bodyOf returns a's body. Where it is still coming, it ends with ctx.
func bodyOf(ctx context.Context, a *httpmsg.Response) io.ReadCloser {
	if a.BodyRest == nil {
		return io.NopCloser(bytes.NewReader(a.Body))
	}
	stop := context.AfterFunc(ctx, func() { a.BodyRest.Close() })
	return &longBody{io.MultiReader(bytes.NewReader(a.Body), a.BodyRest), a.BodyRest, stop}
}

// longBody is a body that is still coming.
type longBody struct {
	io.Reader
	rest io.Closer
	stop func() bool
}

// Close is the method of io.Closer.
func (l *longBody) Close() error {
	l.stop()
	return l.rest.Close()
}

// newID makes up the name of a request.
func newID() string {
	var id [33]byte
	return string(strconv.AppendUint(strconv.AppendUint(id[:0], mark, 16), rand.Uint64(), 16))
}

// mark tells the ids that this process makes up from those of others.
var mark = rand.Uint64()

// Handler returns an http.Handler that does what the program's listener does: it serves requests of b's classes with 200,
// 503 and Retry-After where they are refused, 502 where they have failed, and another 4xx where they cannot be served as
// they are; GET /healthz is answered with 200. The path of a request is that of its URL, so that http.StripPrefix may
// stand before it. A client that leaves withdraws its request.
func (b *Balancer) Handler() http.Handler { return handler{b} }

type handler struct{ *Balancer }

// ServeHTTP is the method of http.Handler.
func (b handler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	call := httpcall.Call{Method: q.Method, Target: targetOf(q), Length: q.ContentLength}
	if call.Target == "/healthz" && q.Method == http.MethodGet && q.ContentLength == 0 {
		w.WriteHeader(http.StatusOK)
		return
	}
	err := requestError(call.AddHeader(q.Header))
	call.Host, call.HostOptional = q.Host, !q.ProtoAtLeast(1, 1)
	var a *httpmsg.Response
	body := &wireBody{ReadCloser: q.Body}
	if err == nil {
		a, err = b.do(q.Context(), &call, q.Header, body, func() { http.NewResponseController(w).SetReadDeadline(time.Now()) })
	}
	header := w.Header()
	if err != nil {
		var request *RequestError
		if q.ProtoMajor == 1 && (call.Length != 0 && !body.ended || errors.As(err, &request)) {
			// Else net/http's server would wait for a body that nobody wants before it answers.
			header.Set("Connection", "close")
		}
		writeError(w, err)
		return
	}
	for name, values := range httpmsg.ParseHeader(a.HeaderLines) {
		header[name] = values
	}
	if n := lengthOf(a); n >= 0 {
		header.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	answer := bodyOf(q.Context(), a)
	defer answer.Close()
	w.WriteHeader(http.StatusOK)
	if _, err := io.Copy(w, answer); err != nil && a.BodyRest != nil {
		panic(http.ErrAbortHandler) // the client must be able to tell that it has not come whole
	}
}

// wireBody is a body that comes over the wire: what breaks it is told the client.
type wireBody struct {
	io.ReadCloser
	ended bool
}

// Read is the method of io.Reader.
func (w *wireBody) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	if w.ended = w.ended || err == io.EOF; err != nil && err != io.EOF {
		err = &RequestError{http.StatusBadRequest, "the body did not come whole"}
	}
	return n, err
}

// targetOf is the target of q as it stood on the wire, unless something before has changed its path.
func targetOf(q *http.Request) string {
	path, _, _ := strings.Cut(q.RequestURI, "?")
	if plain, err := url.PathUnescape(path); err == nil && plain == q.URL.Path {
		return q.RequestURI
	}
	return q.URL.RequestURI()
}

func writeError(w http.ResponseWriter, err error) {
	var refused *RefusedError
	var request *RequestError
	switch {
	case errors.As(err, &refused):
		if refused.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(refused.RetryAfter.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case err == ErrClosed: // not taken: asking another instance is harmless
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

// Middleware returns a function that puts b before a handler: requests for which match is true go to the fleet, all
// others to the handler, untouched. With a nil match those go to the fleet whose path begins with the name of a class.
func (b *Balancer) Middleware(match func(*http.Request) bool) func(http.Handler) http.Handler {
	if match == nil {
		match = b.Matches
	}
	fleet := b.Handler()
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if match(q) {
				fleet.ServeHTTP(w, q)
				return
			}
			next.ServeHTTP(w, q)
		})
	}
}

// Matches reports whether the path of q begins with the name of one of b's classes.
func (b *Balancer) Matches(q *http.Request) bool {
	name, _, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
	_, known := b.engine.Class(name)
	return known
}

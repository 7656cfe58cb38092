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

// do carries out one request whose answer is wanted until ctx ends. read returns its body, at most once, and may be nil.
func (b *Balancer) do(ctx context.Context, call *httpcall.Call, header http.Header, read func(limit int64) ([]byte, error)) (*httpmsg.Answer, error) {
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
	m.Lines = httpmsg.Field{Name: []byte("X-Request-ID"), Value: []byte(call.ID)}.Append(nil)
	m.Lines = httpmsg.AppendHeader(m.Lines, header, ownHeader)
	r.Payload = m
	release, err := b.readBody(ctx, call, m, read)
	if err != nil {
		return nil, err
	}
	r.Release = release
	until, bounded := ctx.Deadline()
	if bounded { // no attempt outlasts who waits for it by more than that
		r.Wait = min(r.Wait, max(time.Until(until), 0)+ownEnd)
	}
	if err := b.hand(r, call, m); err != nil {
		release()
		switch {
		case errors.Is(err, orders.ErrMismatch):
			return nil, &RequestError{http.StatusUnprocessableEntity, err.Error()}
		case errors.Is(err, engine.ErrClosed):
			return nil, ErrClosed
		case errors.Is(err, engine.ErrNameOpen):
			return nil, &RequestError{http.StatusConflict, "a request with this X-Request-ID is open"}
		}
		return nil, err
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
		return b.engine.Take(r, b.engine.Now())
	}
	read := b.engine.Now()
	return b.desk.Take(r, orders.Ask{Key: call.IdempotencyKey, Print: call.Print(m.Body)}, read)
}

// result is what the caller gets of an engine's result.
func (b *Balancer) result(r engine.Result) (*httpmsg.Answer, error) {
	switch r.Kind {
	case engine.Served:
		if a, ok := r.Reply.(*httpmsg.Answer); ok {
			if r.Replayed {
				a = &httpmsg.Answer{Lines: append([]byte(httpmsg.ReplayedLine), a.Lines...), Body: a.Body}
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
		e.Last = outcomes[r.Last]
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

// readBody reads the body into m once there is room for it. release gives the room back.
func (b *Balancer) readBody(ctx context.Context, call *httpcall.Call, m *httpmsg.Message, read func(int64) ([]byte, error)) (release func(), err error) {
	n := call.Length
	if n < 0 {
		n = httpmsg.MaxBody // its length shows at its end
	}
	tooLong := &RequestError{http.StatusRequestEntityTooLarge, httpmsg.ErrBodyTooLong.Error()}
	if n > httpmsg.MaxBody {
		return nil, tooLong
	}
	if n == 0 || read == nil {
		return func() {}, nil
	}
	if err := b.room.Acquire(ctx, n); err != nil {
		return nil, context.Cause(ctx)
	}
	taken := false
	defer func() { // also where a body's Read panics
		if !taken {
			b.room.Release(n)
		}
	}()
	if m.Body, err = read(n); err != nil {
		return nil, err
	}
	if int64(len(m.Body)) > n {
		return nil, tooLong
	}
	if call.Length >= 0 && int64(len(m.Body)) < call.Length {
		return nil, &RequestError{http.StatusBadRequest, fmt.Sprintf("the body has %d bytes, and %d were announced", len(m.Body), call.Length)}
	}
	taken = true
	return func() { b.room.Release(n) }, nil
}

// readAll reads a body of at most limit bytes, and one more if there is one.
func readAll(body io.Reader, known int64, limit int64) ([]byte, error) {
	if known >= 0 { // exactly as long as was said, or one more to tell that it is not
		buf := make([]byte, known+1)
		n, err := io.ReadFull(body, buf)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && int64(n) <= known {
			err = nil
		}
		return buf[:n], err
	}
	return io.ReadAll(io.LimitReader(body, limit+1))
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
		call.ID = b.newID()
	}
	var read func(int64) ([]byte, error)
	if call.Length != 0 {
		read = func(limit int64) ([]byte, error) { return readAll(q.Body, call.Length, limit) }
	}
	a, err := b.do(q.Context(), &call, q.Header, read)
	if err != nil {
		return nil, err
	}
	return &http.Response{
		Status: "200 OK", StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: httpmsg.ParseHeader(a.Lines), Body: io.NopCloser(bytes.NewReader(a.Body)),
		ContentLength: int64(len(a.Body)), Request: q,
	}, nil
}

// newID makes up the name of a request.
func (b *Balancer) newID() string {
	var id [33]byte
	return string(strconv.AppendUint(strconv.AppendUint(id[:0], b.mark, 16), rand.Uint64(), 16))
}

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
	call.Host, call.HostMayLack = q.Host, !q.ProtoAtLeast(1, 1)
	var a *httpmsg.Answer
	unread := call.Length != 0
	if err == nil {
		var read func(int64) ([]byte, error)
		if call.Length != 0 {
			read = func(limit int64) ([]byte, error) {
				unread = false
				body, err := readAll(q.Body, call.Length, limit)
				if err != nil {
					err = &RequestError{http.StatusBadRequest, "the body did not come whole"}
				}
				return body, err
			}
		}
		a, err = b.do(q.Context(), &call, q.Header, read)
	}
	header := w.Header()
	if err != nil {
		var request *RequestError
		if q.ProtoMajor == 1 && (unread || errors.As(err, &request)) {
			// Else net/http's server would wait for a body that nobody wants before it answers.
			header.Set("Connection", "close")
		}
		writeError(w, err)
		return
	}
	for name, values := range httpmsg.ParseHeader(a.Lines) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(http.StatusOK)
	w.Write(a.Body)
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

package quillfront

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"quillfront/internal/config"
	"quillfront/internal/engine"
	"quillfront/internal/httpcall"
	"quillfront/internal/httpmsg"
	"quillfront/internal/router"
	"quillfront/internal/services"
	"quillfront/internal/sockets"
)

const (
	// poolsHold is the longest body that is held, so that it can be sent again, and poolsBodies what all of them may take.
	poolsHold   = 1 << 20
	poolsBodies = 16 << 20
	// poolsStall is how long an answer may stand still once its head has come, and poolsExpect how long a server may take to say whether it
	// wants a body.
	poolsStall  = 30 * time.Second
	poolsExpect = time.Second
	// poolsVia is what the handler is called in Via.
	poolsVia = "quillfront"
)

// Pools send any HTTP request to the pool of servers that its route says. Their methods may be called from many goroutines at once.
type Pools struct {
	path string
	web  *services.HTTPPools

	closing sync.Once
}

// OpenPools opens the pools and routes of the operator's file at path, the tables [[pools]] and [[routes]], which may hold connections
// descriptors in all; at least 64. An error names file, table and key. Of the options only WithLogger matters.
func OpenPools(path string, connections int, opts ...Option) (*Pools, error) {
	const least = 64
	if connections < least {
		return nil, wrong("connections", "%d is below %d", connections, least)
	}
	o := options{log: slog.New(slog.DiscardHandler)}
	for _, opt := range opts {
		opt(&o)
	}
	op, err := loadPools(path)
	if err != nil {
		return nil, err
	}
	// All are for servers: there are no clients' connections.
	w, err := services.OpenHTTPPools(op.Services, op.Routes, poolsBodies, sockets.NewForServers(connections), o.log)
	if err != nil {
		return nil, fmt.Errorf("quillfront: %w", err)
	}
	return &Pools{path: path, web: w}, nil
}

func loadPools(path string) (config.Operator, error) {
	op, err := config.LoadOperator(path)
	if err == nil {
		if err = router.Check(op.Routes, op.Pools); err == nil && len(op.Routes) == 0 {
			err = errors.New("there are no [[routes]]")
		}
		if err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
	}
	if err != nil {
		return op, fmt.Errorf("quillfront: %w", err)
	}
	return op, nil
}

// Reload reads the file again, and takes over its routes and pools: what is the same goes on, what is gone ends with its last request. With
// an error all stays as it was.
func (p *Pools) Reload() error {
	op, err := loadPools(p.path)
	if err != nil {
		return err
	}
	if err := p.web.Set(op.Services, op.Routes); err != nil {
		return fmt.Errorf("quillfront: %w", err)
	}
	return nil
}

// Shutdown takes no more requests, waits until all that were taken have their answers or ctx ends, and closes p.
func (p *Pools) Shutdown(ctx context.Context) error {
	err := p.web.Drain(ctx)
	p.Close()
	return err
}

// Close ends p at once: requests that are open end with ErrClosed, and answers that are still coming break off.
func (p *Pools) Close() { p.closing.Do(p.web.Close) }

// RoundTripper returns an http.RoundTripper that sends requests through p. The host in a request's URL is not looked up: routes match it,
// and it becomes the Host header. Every final answer of a server is a Response, whatever its status, with a body that comes as the server
// sends it and ends with the request's context. Where no server has answered there is an error: *RefusedError, *FailedError,
// *RequestError, ErrClosed, or the cause of a context that ended.
func (p *Pools) RoundTripper() http.RoundTripper { return poolsTripper{p} }

type poolsTripper struct{ *Pools }

// RoundTrip is the method of http.RoundTripper.
func (p poolsTripper) RoundTrip(q *http.Request) (*http.Response, error) {
	if q.URL == nil {
		return nil, &RequestError{http.StatusBadRequest, "the request has no URL"}
	}
	ctx := q.Context()
	var interim func(code int, lines []byte)
	if t := httptrace.ContextClientTrace(ctx); t != nil && t.Got1xxResponse != nil {
		interim = func(code int, lines []byte) { t.Got1xxResponse(code, map[string][]string(httpmsg.ParseHeader(lines))) }
	}
	a, finish, err := p.send(q, q.URL.RequestURI(), cmp.Or(q.Host, q.URL.Host), nil, interim, nil)
	if err != nil {
		return nil, err
	}
	status := cmp.Or(a.Status, http.StatusOK)
	resp := &http.Response{
		Status: fmt.Sprintf("%d %s", status, http.StatusText(status)), StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: httpmsg.ParseHeader(a.HeaderLines), Request: q, ContentLength: lengthOf(a), Body: http.NoBody,
	}
	if a.NoBody {
		finish()
		resp.ContentLength = a.Length
		return resp, nil
	}
	for _, v := range resp.Header["Trailer"] {
		for name := range strings.SplitSeq(v, ",") {
			if resp.Trailer == nil {
				resp.Trailer = http.Header{}
			}
			resp.Trailer[http.CanonicalHeaderKey(strings.TrimSpace(name))] = nil
		}
	}
	resp.Header.Del("Trailer")
	resp.Body = &trailing{ReadCloser: bodyOf(ctx, a), a: a, resp: resp, finish: sync.OnceFunc(finish)}
	if a.BodyRest == nil {
		finish()
	}
	return resp, nil
}

// trailing is a body behind which trailers may come.
type trailing struct {
	io.ReadCloser
	a      *httpmsg.Response
	resp   *http.Response
	finish func() // ends the sending of the request's body
}

// Read is the method of io.Reader.
func (t *trailing) Read(b []byte) (int, error) {
	n, err := t.ReadCloser.Read(b)
	if err != nil {
		t.finish()
	}
	if err == io.EOF && t.a.Trailer != nil {
		if lines := t.a.Trailer(); len(lines) > 0 {
			if t.resp.Trailer == nil {
				t.resp.Trailer = http.Header{}
			}
			maps.Copy(t.resp.Trailer, httpmsg.ParseHeader(lines))
		}
		t.a.Trailer = nil
	}
	return n, err
}

// Close is the method of io.Closer.
func (t *trailing) Close() error {
	t.finish()
	return t.ReadCloser.Close()
}

// send carries out one request. Its body may still be coming when its answer is: finish ends that, and is called once where there is an
// answer. extra are further lines of its head; wake makes a Read of its body that is under way return, or is nil.
func (p *Pools) send(q *http.Request, target, host string, extra []byte, interim func(int, []byte), wake func()) (a *httpmsg.Response, finish func(), err error) {
	ctx, body, length := q.Context(), q.Body, q.ContentLength
	var up *upload
	finish = func() {
		if up != nil {
			up.end(wake)
		}
		if body != nil && wake == nil { // else it is the server's
			body.Close()
		}
	}
	defer func() {
		if err != nil {
			finish()
		}
	}()
	a, err = p.carryOut(ctx, q, target, host, body, length, extra, interim, &up)
	return a, finish, err
}

// carryOut is send without the end of the body.
func (p *Pools) carryOut(ctx context.Context, q *http.Request, target, host string, body io.Reader, length int64, extra []byte, interim func(int, []byte), up **upload) (*httpmsg.Response, error) {
	switch {
	case q.Body == nil || q.Body == http.NoBody:
		length = 0
	case length == 0:
		length = -1 // as net/http has it: unknown
	}
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	var check httpcall.Call
	if err := check.AddHeader(q.Header); err != nil {
		return nil, requestError(err)
	}
	if !httpcall.ValidHost(host) {
		return nil, &RequestError{http.StatusBadRequest, "no host, or not one that can be read"}
	}
	method := cmp.Or(q.Method, http.MethodGet)
	asked := &router.Request{Method: method, Host: host, Target: target, Header: q.Header.Values}
	call, err := p.web.Router().Route(asked)
	if err != nil {
		return nil, requestError(err)
	}
	defer func() { call.Release() }()
	r := call.Request
	m := &httpmsg.Message{Method: method, Target: target, Host: host, HeaderLines: slices.Clone(extra)}
	m.HeaderLines = httpmsg.AppendHeader(m.HeaderLines, q.Header, func(name string) bool { return strings.EqualFold(name, "Host") })
	if check.ID == "" {
		m.HeaderLines = httpmsg.Field{Name: []byte("X-Request-ID"), Value: []byte(newID())}.Append(m.HeaderLines)
	}
	m.Exchange = &httpmsg.Exchange{Evaluate: call.Evaluate, StallTimeout: poolsStall, OnInterim: interim}
	r.Payload, r.Retry = m, check.Retried
	switch {
	case length > 0 && length <= poolsHold && q.Trailer == nil && call.BodyBudget.TryAcquire(length):
		release := sync.OnceFunc(func() { call.BodyBudget.Release(length) })
		m.Body = make([]byte, length)
		done := false
		defer func() { // also where a body's Read panics
			if !done {
				release()
			}
		}()
		if n, err := io.ReadFull(body, m.Body); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, short(int64(n), length)
		} else if err != nil {
			return nil, err
		}
		call = p.web.Router().Reroute(call, length, func() *router.Request { return asked })
		r, m.Exchange.Evaluate = call.Request, call.Evaluate
		r.Release, done = release, true
		if err := context.Cause(ctx); err != nil { // it ended while the body was read
			done = false
			return nil, err
		}
		if err := call.Engine.Submit(r, call.Engine.Now()); err != nil {
			done = false
			return nil, poolsError(err)
		}
	case length != 0:
		*up = send(m, &bounded{r: body, length: length, most: -1}, length)
		r.Uploading = true
		if q.Trailer != nil {
			m.Length, m.Trailer = -1, func() []byte { return httpmsg.AppendHeader(nil, q.Trailer, nil) }
		}
		if strings.EqualFold(q.Header.Get("Expect"), "100-continue") {
			m.Exchange.ExpectTimeout = poolsExpect
		}
		fallthrough
	default:
		if err := call.Engine.Submit(r, call.Engine.Now()); err != nil {
			return nil, poolsError(err)
		}
	}
	var sent <-chan struct{}
	if m.Upload != nil {
		sent = m.Upload.Done()
	}
	for {
		select {
		case result := <-r.Result():
			if m.Upload != nil && result.Kind != engine.Served {
				if err := m.Upload.SourceErr(); err != nil {
					return nil, err
				}
			}
			return poolsResult(result, m)
		case <-sent:
			sent = nil
			if err := m.Upload.SourceErr(); err != nil && call.Engine.Withdraw(r) {
				return nil, err
			}
		case <-ctx.Done():
			if call.Engine.Withdraw(r) {
				return nil, context.Cause(ctx)
			}
			return poolsResult(<-r.Result(), m)
		}
	}
}

func poolsError(err error) error {
	if errors.Is(err, engine.ErrClosed) {
		return ErrClosed
	}
	return err
}

// poolsResult is what the caller gets of an engine's result: the answer, be it one by which the last server failed.
func poolsResult(r engine.Result, m *httpmsg.Message) (*httpmsg.Response, error) {
	if a, ok := r.Reply.(*httpmsg.Response); ok && r.Kind == engine.Served {
		return a, nil
	}
	if r.Kind == engine.Dropped {
		return nil, fmt.Errorf("%w, and the request may have run", ErrClosed)
	}
	if a := m.Exchange.LastResponse(r.Kind == engine.Refused || r.NotRun); a != nil {
		return a, nil
	}
	if r.Kind == engine.Refused || r.NotRun {
		return nil, &RefusedError{r.RetryAfter, r.Attempts}
	}
	e := &FailedError{Attempts: r.Attempts}
	if r.Attempts > 0 {
		e.Last = outcomes[r.LastStatus]
	}
	return nil, e
}

// Handler returns an http.Handler that passes each request on by its route, with answers of all statuses as they come. It answers 404 or
// 405 where no route takes a request, 503 with Retry-After where it was refused, 502 or 504 where it has failed.
func (p *Pools) Handler() http.Handler { return poolsHandler{p} }

type poolsHandler struct{ *Pools }

// ServeHTTP is the method of http.Handler.
func (p poolsHandler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	header := w.Header()
	via := router.AppendVia(nil, q.ProtoMinor, poolsVia)
	if err := routesCheck(q); err != nil {
		header.Set("Connection", "close")
		writeError(w, err)
		return
	}
	var mu sync.Mutex
	begun := false
	interim := func(code int, lines []byte) {
		mu.Lock()
		defer mu.Unlock()
		if begun {
			return
		}
		h := httpmsg.ParseHeader(lines)
		for name, values := range h {
			header[name] = values
		}
		w.WriteHeader(code)
		for name := range h {
			delete(header, name)
		}
	}
	if q.ProtoMajor == 1 && q.ContentLength != 0 { // else the answer would wait for the rest of the body
		http.NewResponseController(w).EnableFullDuplex()
	}
	body := &wireBody{ReadCloser: q.Body}
	inner := *q
	if inner.Body = body; q.ContentLength == 0 { // of a request that was received, this says that there is none
		inner.Body = http.NoBody
	}
	a, finish, err := p.send(&inner, targetOf(q), q.Host, via, interim, func() { http.NewResponseController(w).SetReadDeadline(time.Now()) })
	mu.Lock()
	begun = true
	mu.Unlock()
	if err != nil {
		if q.ProtoMajor == 1 && q.ContentLength != 0 && !body.ended {
			header.Set("Connection", "close")
		}
		p.writeFailure(w, err)
		return
	}
	defer finish()
	for name, values := range httpmsg.ParseHeader(a.HeaderLines) {
		header[name] = values
	}
	header.Add("Via", strings.TrimSpace(strings.TrimPrefix(string(router.AppendVia(nil, 1, poolsVia)), "Via:")))
	n := lengthOf(a)
	if a.NoBody {
		n = a.Length
	} else if a.BodyRest == nil && a.Trailer != nil && len(a.Trailer()) > 0 { // which go behind chunks alone
		n = -1
	}
	if n >= 0 {
		header.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	w.WriteHeader(cmp.Or(a.Status, http.StatusOK))
	if a.NoBody {
		return
	}
	answer := bodyOf(q.Context(), a)
	defer answer.Close()
	if err := copyAsItComes(w, answer, a.BodyRest != nil); err != nil {
		panic(http.ErrAbortHandler) // the client must be able to tell that it has not come whole
	}
	if a.Trailer != nil {
		for name, values := range httpmsg.ParseHeader(a.Trailer()) {
			header[http.TrailerPrefix+name] = values
		}
	}
}

// copyAsItComes passes each piece on when it has come.
func copyAsItComes(w http.ResponseWriter, from io.Reader, streams bool) error {
	if !streams {
		_, err := io.Copy(w, from)
		return err
	}
	buf, release := httpmsg.CopyBuffer()
	defer release()
	flush := http.NewResponseController(w)
	flush.Flush() // the head may be all that comes for long
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
			if err := flush.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// routesCheck returns why a request is not passed on, whatever its route.
func routesCheck(q *http.Request) error {
	switch {
	case q.Method == http.MethodConnect:
		return &RequestError{http.StatusNotImplemented, "CONNECT is not served"}
	case q.Header.Get("Upgrade") != "" && !strings.EqualFold(q.Header.Get("Upgrade"), "h2c"):
		return &RequestError{http.StatusNotImplemented, "Upgrade is not served"}
	}
	if err := router.CheckLoop(q.Header.Values("Via"), poolsVia); err != nil {
		return requestError(err)
	}
	return nil
}

// writeFailure answers where there is no answer of a server's.
func (p *Pools) writeFailure(w http.ResponseWriter, err error) {
	var refused *RefusedError
	var failed *FailedError
	switch {
	case errors.As(err, &refused) && refused.RetryAfter > 0:
		w.Header().Set("Retry-After", strconv.Itoa(int((refused.RetryAfter+time.Second-1)/time.Second)))
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.As(err, &failed) && (failed.Timeout() || failed.Attempts > 0 && failed.Last == outcomes[0]):
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		writeError(w, err)
	}
}

// Middleware returns a function that puts p before a handler: requests that some route takes go to its pool, all others to the handler,
// untouched.
func (p *Pools) Middleware() func(http.Handler) http.Handler {
	pools := p.Handler()
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if p.Matches(q) {
				pools.ServeHTTP(w, q)
				return
			}
			next.ServeHTTP(w, q)
		})
	}
}

// Matches reports whether some route takes q.
func (p *Pools) Matches(q *http.Request) bool {
	return p.web.Router().Matches(&router.Request{Method: q.Method, Host: q.Host, Target: targetOf(q), Header: q.Header.Values})
}

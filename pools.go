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
	// maxBufferedBody is the maximum length of a body that is buffered so that it can be sent
	// again, in bytes. poolsBodyBudget limits the memory of all buffered bodies, in bytes.
	maxBufferedBody = 1 << 20
	poolsBodyBudget = 16 << 20
	// answerStallTimeout limits the pauses in an answer after its head. expectTimeout limits the
	// time that a server may take to answer "Expect: 100-continue".
	answerStallTimeout = 30 * time.Second
	expectTimeout      = time.Second
	// viaPseudonym is the name of the handler in Via.
	viaPseudonym = "quillfront"
)

// Pools sends HTTP requests of any kind to the server pools that the routes of an operator's file
// select. Its methods are safe for concurrent use.
type Pools struct {
	path string
	web  *services.HTTPPools

	closeOnce sync.Once
}

// OpenPools opens the pools and routes of the operator's file at path, tables [[pools]] and
// [[routes]]. connections limits their file descriptors in total; it is at least 64. An error names
// the file, table and key. Only the option WithLogger has an effect.
func OpenPools(path string, connections int, opts ...Option) (*Pools, error) {
	const minConnections = 64
	if connections < minConnections {
		return nil, fieldErrorf("connections", "%d is below %d", connections, minConnections)
	}
	o := options{log: slog.New(slog.DiscardHandler)}
	for _, opt := range opts {
		opt(&o)
	}
	op, err := loadPoolsFile(path)
	if err != nil {
		return nil, err
	}
	// All descriptors are for servers, as there are no client connections.
	w, err := services.OpenHTTPPools(op.Services, op.Routes, poolsBodyBudget, sockets.NewForServers(connections), o.log)
	if err != nil {
		return nil, fmt.Errorf("quillfront: %w", err)
	}
	return &Pools{path: path, web: w}, nil
}

// loadPoolsFile reads and checks the operator's file at path.
func loadPoolsFile(path string) (config.Operator, error) {
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

// Reload reads the file again and applies its routes and pools. Unchanged pools continue, and a
// removed pool ends after its last request. On an error nothing changes.
func (p *Pools) Reload() error {
	op, err := loadPoolsFile(p.path)
	if err != nil {
		return err
	}
	if err := p.web.Set(op.Services, op.Routes); err != nil {
		return fmt.Errorf("quillfront: %w", err)
	}
	return nil
}

// Shutdown stops accepting requests, waits until all open requests have ended or ctx ends, and
// closes p.
func (p *Pools) Shutdown(ctx context.Context) error {
	err := p.web.Drain(ctx)
	p.Close()
	return err
}

// Close closes p at once. Open requests end with ErrClosed, and answers that are being received are
// cut off.
func (p *Pools) Close() { p.closeOnce.Do(p.web.Close) }

// RoundTripper returns an http.RoundTripper that sends requests through p. The host in a request's
// URL is not resolved: routes match it, and it becomes the Host header. Every final answer of a
// server becomes a response, whatever its status. Its body is streamed and ends with the request's
// context. If no server has answered, the error is a *RefusedError, a *FailedError, a
// *RequestError, ErrClosed, or the cause of a context that ended.
func (p *Pools) RoundTripper() http.RoundTripper { return poolsRoundTripper{p} }

type poolsRoundTripper struct{ *Pools }

// RoundTrip implements http.RoundTripper.
func (p poolsRoundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.URL == nil {
		return nil, &RequestError{http.StatusBadRequest, "the request has no URL"}
	}
	ctx := req.Context()
	var interim func(code int, lines []byte)
	if t := httptrace.ContextClientTrace(ctx); t != nil && t.Got1xxResponse != nil {
		interim = func(code int, lines []byte) { t.Got1xxResponse(code, map[string][]string(httpmsg.ParseHeader(lines))) }
	}
	a, finish, err := p.do(req, req.URL.RequestURI(), cmp.Or(req.Host, req.URL.Host), nil, interim, nil)
	if err != nil {
		return nil, err
	}
	status := cmp.Or(a.Status, http.StatusOK)
	resp := &http.Response{
		Status: fmt.Sprintf("%d %s", status, http.StatusText(status)), StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: httpmsg.ParseHeader(a.HeaderLines), Request: req, ContentLength: contentLength(a), Body: http.NoBody,
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
	resp.Body = &trailerBody{ReadCloser: bodyReader(ctx, a), a: a, resp: resp, finish: sync.OnceFunc(finish)}
	if a.BodyRest == nil {
		finish()
	}
	return resp, nil
}

// trailerBody is a body that may be followed by trailers.
type trailerBody struct {
	io.ReadCloser
	a      *httpmsg.Response
	resp   *http.Response
	finish func() // stops the upload of the request's body
}

// Read implements io.Reader. At the end of the body it sets the response's trailers.
func (t *trailerBody) Read(b []byte) (int, error) {
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

// Close implements io.Closer.
func (t *trailerBody) Close() error {
	t.finish()
	return t.ReadCloser.Close()
}

// do executes one request. The request's body may still be in transfer when the answer arrives: if
// there is an answer, the caller calls finish once to end the transfer. extra holds additional
// lines of the request's head. unblockRead makes a pending Read of the body return; it is nil if
// the body belongs to a caller of RoundTrip.
func (p *Pools) do(req *http.Request, target, host string, extra []byte, interim func(int, []byte), unblockRead func()) (a *httpmsg.Response, finish func(), err error) {
	ctx, body, length := req.Context(), req.Body, req.ContentLength
	var up *upload
	finish = func() {
		if up != nil {
			up.finish(unblockRead)
		}
		if body != nil && unblockRead == nil { // otherwise net/http's server closes it
			body.Close()
		}
	}
	defer func() {
		if err != nil {
			finish()
		}
	}()
	a, err = p.submitAndWait(ctx, req, target, host, body, length, extra, interim, &up)
	return a, finish, err
}

// submitAndWait routes the request, submits it to an engine and waits for its result. It leaves the
// end of the upload, which it stores in *up, to do.
func (p *Pools) submitAndWait(ctx context.Context, req *http.Request, target, host string, body io.Reader, length int64, extra []byte, interim func(int, []byte), up **upload) (*httpmsg.Response, error) {
	switch {
	case req.Body == nil || req.Body == http.NoBody:
		length = 0
	case length == 0:
		length = -1 // net/http: a length of 0 with a body means unknown
	}
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	var headers httpcall.Call
	if err := headers.AddHeader(req.Header); err != nil {
		return nil, requestError(err)
	}
	if !httpcall.ValidHost(host) {
		return nil, &RequestError{http.StatusBadRequest, "no host, or not one that can be read"}
	}
	method := cmp.Or(req.Method, http.MethodGet)
	routeRequest := &router.Request{Method: method, Host: host, Target: target, Header: req.Header.Values}
	decision, err := p.web.Router().Route(routeRequest)
	if err != nil {
		return nil, requestError(err)
	}
	defer func() { decision.Release() }()
	r := decision.Request
	m := &httpmsg.Message{Method: method, Target: target, Host: host, HeaderLines: slices.Clone(extra)}
	m.HeaderLines = httpmsg.AppendHeader(m.HeaderLines, req.Header, func(name string) bool { return strings.EqualFold(name, "Host") })
	if headers.ID == "" {
		m.HeaderLines = httpmsg.Field{Name: []byte("X-Request-ID"), Value: []byte(newRequestID())}.Append(m.HeaderLines)
	}
	m.Exchange = &httpmsg.Exchange{Evaluate: decision.Evaluate, StallTimeout: answerStallTimeout, OnInterim: interim}
	r.Payload, r.Retry = m, headers.Retried
	switch {
	case length > 0 && length <= maxBufferedBody && req.Trailer == nil && decision.BodyBudget.TryAcquire(length):
		release := sync.OnceFunc(func() { decision.BodyBudget.Release(length) })
		m.Body = make([]byte, length)
		submitted := false
		defer func() { // also runs if the body's Read panics
			if !submitted {
				release()
			}
		}()
		if n, err := io.ReadFull(body, m.Body); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, shortBodyError(int64(n), length)
		} else if err != nil {
			return nil, err
		}
		decision = p.web.Router().Reroute(decision, length, func() *router.Request { return routeRequest })
		r, m.Exchange.Evaluate = decision.Request, decision.Evaluate
		r.Release, submitted = release, true
		if err := context.Cause(ctx); err != nil { // ctx ended while the body was read
			submitted = false
			return nil, err
		}
		if err := decision.Engine.Submit(r, decision.Engine.Now()); err != nil {
			submitted = false
			return nil, submitError(err)
		}
	case length != 0:
		*up = startUpload(m, &boundedBody{r: body, length: length, limit: -1}, length)
		r.Uploading = true
		if req.Trailer != nil {
			m.Length, m.Trailer = -1, func() []byte { return httpmsg.AppendHeader(nil, req.Trailer, nil) }
		}
		if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
			m.Exchange.ExpectTimeout = expectTimeout
		}
		fallthrough
	default:
		if err := decision.Engine.Submit(r, decision.Engine.Now()); err != nil {
			return nil, submitError(err)
		}
	}
	var uploadDone <-chan struct{}
	if m.Upload != nil {
		uploadDone = m.Upload.Done()
	}
	for {
		select {
		case result := <-r.Result():
			if m.Upload != nil && result.Kind != engine.Served {
				if err := m.Upload.SourceErr(); err != nil {
					return nil, err
				}
			}
			return convertPoolsResult(result, m)
		case <-uploadDone:
			uploadDone = nil
			if err := m.Upload.SourceErr(); err != nil && decision.Engine.Withdraw(r) {
				return nil, err
			}
		case <-ctx.Done():
			if decision.Engine.Withdraw(r) {
				return nil, context.Cause(ctx)
			}
			return convertPoolsResult(<-r.Result(), m)
		}
	}
}

// submitError converts an error of engine.Submit to the one that the caller gets.
func submitError(err error) error {
	if errors.Is(err, engine.ErrClosed) {
		return ErrClosed
	}
	return err
}

// convertPoolsResult converts an engine's result to the answer or error that the caller gets. If
// the last server failed with an answer, the caller gets that answer.
func convertPoolsResult(r engine.Result, m *httpmsg.Message) (*httpmsg.Response, error) {
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
		e.Last = outcomeTexts[r.LastStatus]
	}
	return nil, e
}

// Handler returns an http.Handler that sends each request to the pool of its route and passes on
// answers of any status. It answers with 404 or 405 if no route matches, 503 and Retry-After if the
// request was refused, and 502 or 504 if it failed.
func (p *Pools) Handler() http.Handler { return poolsHandler{p} }

type poolsHandler struct{ *Pools }

// ServeHTTP implements http.Handler.
func (p poolsHandler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	header := w.Header()
	via := router.AppendVia(nil, req.ProtoMinor, viaPseudonym)
	if err := checkRequest(req); err != nil {
		header.Set("Connection", "close")
		writeError(w, err)
		return
	}
	var mu sync.Mutex
	finalStarted := false
	interim := func(code int, lines []byte) {
		mu.Lock()
		defer mu.Unlock()
		if finalStarted {
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
	if req.ProtoMajor == 1 && req.ContentLength != 0 {
		// Otherwise the answer would wait for the rest of the body.
		http.NewResponseController(w).EnableFullDuplex()
	}
	body, early := receiveBody(w, req)
	defer early.stop()
	received := *req
	if received.Body = body; req.ContentLength == 0 {
		received.Body = http.NoBody // in a received request, a length of 0 means no body
	}
	a, finish, err := p.do(&received, requestTarget(req), req.Host, via, interim, early.interrupt)
	mu.Lock()
	finalStarted = true
	mu.Unlock()
	if err != nil {
		if req.ProtoMajor == 1 && req.ContentLength != 0 && !body.atEOF {
			header.Set("Connection", "close")
		}
		p.writeError(w, err)
		return
	}
	defer finish()
	for name, values := range httpmsg.ParseHeader(a.HeaderLines) {
		header[name] = values
	}
	header.Add("Via", strings.TrimSpace(strings.TrimPrefix(string(router.AppendVia(nil, 1, viaPseudonym)), "Via:")))
	n := contentLength(a)
	if a.NoBody {
		n = a.Length
	} else if a.BodyRest == nil && a.Trailer != nil && len(a.Trailer()) > 0 {
		n = -1 // trailers require a chunked body
	}
	if n >= 0 {
		header.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	w.WriteHeader(cmp.Or(a.Status, http.StatusOK))
	if a.NoBody {
		return
	}
	answer := bodyReader(early.answerContext(), a)
	defer answer.Close()
	if err := copyAndFlush(w, answer, a.BodyRest != nil); err != nil {
		panic(http.ErrAbortHandler) // lets the client detect that the answer is incomplete
	}
	if a.Trailer != nil {
		for name, values := range httpmsg.ParseHeader(a.Trailer()) {
			header[http.TrailerPrefix+name] = values
		}
	}
	early.drain(n >= 0)
}

// copyAndFlush copies an answer's body to w. It flushes each part of a streamed body at once.
func copyAndFlush(w http.ResponseWriter, from io.Reader, streamed bool) error {
	if !streamed {
		_, err := io.Copy(w, from)
		return err
	}
	buf, release := httpmsg.CopyBuffer()
	defer release()
	flush := http.NewResponseController(w)
	flush.Flush() // the body may take long to start
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

// checkRequest returns an error for a request that no route may pass on.
func checkRequest(req *http.Request) error {
	switch {
	case req.Method == http.MethodConnect:
		return &RequestError{http.StatusNotImplemented, "CONNECT is not served"}
	case req.Header.Get("Upgrade") != "" && !strings.EqualFold(req.Header.Get("Upgrade"), "h2c"):
		return &RequestError{http.StatusNotImplemented, "Upgrade is not served"}
	}
	if err := router.CheckLoop(req.Header.Values("Via"), viaPseudonym); err != nil {
		return requestError(err)
	}
	return nil
}

// writeError answers a request that failed with err.
func (p *Pools) writeError(w http.ResponseWriter, err error) {
	var refused *RefusedError
	var failed *FailedError
	switch {
	case errors.As(err, &refused) && refused.RetryAfter > 0:
		w.Header().Set("Retry-After", strconv.Itoa(int((refused.RetryAfter+time.Second-1)/time.Second)))
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.As(err, &failed) && (failed.Timeout() || failed.Attempts > 0 && failed.Last == outcomeTexts[0]):
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		writeError(w, err)
	}
}

// Middleware returns a function that wraps a handler. Requests that a route matches go to its pool;
// all others go to the handler unchanged.
func (p *Pools) Middleware() func(http.Handler) http.Handler {
	pools := p.Handler()
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if p.Matches(req) {
				pools.ServeHTTP(w, req)
				return
			}
			next.ServeHTTP(w, req)
		})
	}
}

// Matches reports whether a route matches req.
func (p *Pools) Matches(req *http.Request) bool {
	return p.web.Router().Matches(&router.Request{Method: req.Method, Host: req.Host, Target: requestTarget(req), Header: req.Header.Values})
}

package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"heathstack/policy"
)

const (
	// mostInterim bounds the 1xx answers before the final one.
	mostInterim = 5
	// answerTime is how long an answer may take from its first byte to its last. Guards against answers that stop in the
	// middle, whose request would else wait for its whole time. An upstream that writes its answer in pieces and pauses
	// longer would be given up wrongly.
	answerTime = 500 * time.Millisecond
	// idleShare is the part of the idle limit after which an idle connection is closed: the upstream closes it
	// at the limit, and a request that crosses that close is lost to a reset.
	idleShare = 0.6
	// connBuffer is the size of a connection's buffer. The head of an answer must fit.
	connBuffer = 8 << 10
	// writeBuffer is that for what is written to it.
	writeBuffer = 4 << 10
)

// attempt is one send of a request.
type attempt struct {
	req      *request
	number   int
	server   policy.ServerID
	sent     policy.Time
	deadline time.Time
	done     bool // its outcome is told; under the host's lock

	mu       sync.Mutex
	canceled bool
	stop     func() // ends what the attempt waits for
}

// cancel calls the attempt off. Its goroutine tells the outcome.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	if a.stop != nil {
		a.stop()
	}
}

// onCancel makes stop what ends the present wait, and reports whether the attempt is still wanted.
func (a *attempt) onCancel(stop func()) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop = stop
	return !a.canceled
}

func (a *attempt) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

// upstreams holds the connections to upstreams. They carry one request at a time.
type upstreams struct {
	sockets     *sockets
	dialTimeout time.Duration
	idleFor     time.Duration // how long a connection is kept idle

	mu   sync.Mutex
	idle map[dial][]*conn // the last one used comes last
}

// dial is where an upstream is reached, and which one it is: an address may pass from one to another.
type dial struct {
	addr   string
	id     policy.ServerID
	bornMs int64
}

func (d dial) String() string { return d.addr }

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	to      dial
	release func() // of its descriptor
	r       *bufio.Reader
	w       *bufio.Writer
	since   time.Time
	until   time.Time // the deadline of the present exchange
}

func (c *conn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

func newUpstreams(cfg policy.Config, s *sockets) *upstreams {
	return &upstreams{
		sockets: s, dialTimeout: cfg.DialTimeout, idleFor: time.Duration(float64(cfg.ConnIdle) * idleShare),
		idle: map[dial][]*conn{},
	}
}

// reuse returns an idle connection, or nil. One on which the upstream has closed, or has said
// something unasked, is of no use: what is written to it would end as a reset.
func (u *upstreams) reuse(to dial, deadline time.Time) *conn {
	for {
		u.mu.Lock()
		list := u.idle[to]
		if len(list) == 0 {
			u.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		u.setIdle(to, list[:len(list)-1])
		u.mu.Unlock()
		c.setUntil(deadline)
		if time.Since(c.since) < u.idleFor && c.quiet() {
			return c
		}
		c.Close()
	}
}

// setIdle replaces an upstream's list, and drops an empty one: upstreams come and go for ever.
func (u *upstreams) setIdle(to dial, list []*conn) {
	if len(list) == 0 {
		delete(u.idle, to)
		return
	}
	u.idle[to] = list
}

// setUntil sets the deadline of an exchange.
func (c *conn) setUntil(t time.Time) {
	c.until = t
	c.SetDeadline(t)
}

// quiet reports whether nothing is there to be read, neither bytes nor the end.
func (c *conn) quiet() bool { return c.r.Buffered() == 0 && nothingCame(c.Conn) }

// keep makes c idle.
func (u *upstreams) keep(c *conn) {
	if u.idleFor <= 0 || c.r.Buffered() > 0 || u.sockets.scarce() {
		c.Close()
		return
	}
	c.since = time.Now()
	u.mu.Lock()
	u.idle[c.to] = append(u.idle[c.to], c)
	u.mu.Unlock()
}

// hangUp closes the idle connections to an upstream.
func (u *upstreams) hangUp(to dial) {
	u.mu.Lock()
	list := u.idle[to]
	delete(u.idle, to)
	u.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// closeIdle closes the connections that have been idle for d, and returns how many it closed.
func (u *upstreams) closeIdle(d time.Duration, most int) int {
	var old []*conn
	u.mu.Lock()
	for to, list := range u.idle {
		n := 0
		for n < len(list) && len(old) < most && time.Since(list[n].since) >= d {
			old = append(old, list[n])
			n++
		}
		if n > 0 {
			u.setIdle(to, slices.Clone(list[n:]))
		}
	}
	u.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
	return len(old)
}

// sweep closes idle connections in time until ctx ends.
func (u *upstreams) sweep(ctx context.Context) {
	if u.idleFor <= 0 {
		return
	}
	tick := time.NewTicker(max(u.idleFor/4, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			u.closeIdle(u.idleFor, 1<<30)
		}
	}
}

// connect returns an idle connection, or dials one.
func (u *upstreams) connect(ctx context.Context, to dial, deadline time.Time) (*conn, error) {
	if c := u.reuse(to, deadline); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithDeadline(ctx, earlier(deadline, time.Now().Add(u.dialTimeout)))
	defer cancel()
	release, err := u.sockets.acquire(ctx)
	if err != nil {
		return nil, err
	}
	var d net.Dialer
	d.KeepAlive = -1 // idle connections do not live long enough for it
	nc, err := d.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		release()
		return nil, err
	}
	c := &conn{Conn: nc, to: to, release: release}
	c.r, c.w = bufio.NewReaderSize(nc, connBuffer), bufio.NewWriterSize(nc, writeBuffer)
	c.setUntil(deadline)
	return c, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// errNotWritten wraps what broke an exchange before its last byte was written: it has never run.
type errNotWritten struct{ error }

func (e errNotWritten) Unwrap() error { return e.error }

// exchange writes a request and reads the head of the answer.
func (c *conn) exchange(q *http.Request) (*http.Response, error) {
	err := q.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	if err != nil {
		return nil, errNotWritten{err}
	}
	for range mostInterim {
		c.SetReadDeadline(c.until)
		if _, err := c.r.Peek(1); err != nil {
			return nil, err
		}
		c.SetReadDeadline(earlier(c.until, time.Now().Add(answerTime)))
		if err := peekHead(c.r); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.r, q)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// attempt carries out one attempt, and tells its one outcome.
func (h *host) attempt(a *attempt, to dial) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !a.onCancel(cancel) {
		h.settle(a, policy.Canceled, nil, answer{})
		return
	}
	c, err := h.up.connect(ctx, to, a.deadline)
	if err != nil {
		h.broken(a, errNotWritten{err})
		return
	}
	if !a.onCancel(func() { c.Close() }) {
		c.Close()
		h.settle(a, policy.Canceled, nil, answer{})
		return
	}
	resp, err := c.exchange(a.request())
	if err != nil {
		c.Close()
		h.broken(a, err)
		return
	}
	var load *policy.Load
	if text := resp.Header.Get("X-Server-Load"); text != "" && h.settings.Config.InlineReports {
		load = parseLoad(text, h.settings.Fields)
	}
	if resp.StatusCode != http.StatusOK {
		status := policy.AppError
		if resp.StatusCode/100 == 4 {
			status = policy.Rejected
		}
		if s := resp.StatusCode; (s == http.StatusServiceUnavailable || s == http.StatusGatewayTimeout) &&
			resp.Header.Get("X-Not-Processed") == "1" {
			status = policy.Full
		}
		_, err := io.CopyN(io.Discard, resp.Body, connBuffer)
		h.done(a, c, resp, err == io.EOF)
		h.settle(a, status, load, answer{})
		return
	}
	h.pass(a, c, resp, load)
}

// errAnswerTooLong guards against answers without end: they would hold memory, or pass on what no client can use.
var errAnswerTooLong = errors.New("the answer is over 64 KiB")

// pass takes a 200 answer, whole: nothing reaches the client before all of it is known to be in order.
func (h *host) pass(a *attempt, c *conn, resp *http.Response, load *policy.Load) {
	ans := answer{status: http.StatusOK, header: forwarded(resp.Header)}
	var err error
	switch {
	case resp.ContentLength > mostBody:
		err = errAnswerTooLong
	case resp.ContentLength >= 0:
		ans.body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, ans.body)
	default:
		ans.body, err = io.ReadAll(io.LimitReader(resp.Body, mostBody+1))
		if err == nil && len(ans.body) > mostBody {
			err = errAnswerTooLong
		}
	}
	if err != nil {
		c.Close()
		h.broken(a, err)
		return
	}
	h.done(a, c, resp, true)
	h.settle(a, policy.OK, load, ans)
}

// done keeps a connection for the next request, if the exchange on it ended in order.
func (h *host) done(a *attempt, c *conn, resp *http.Response, orderly bool) {
	if !a.onCancel(nil) || !orderly || resp.Close {
		c.Close()
		return
	}
	h.up.keep(c)
}

// broken tells the outcome of an attempt that ended without an answer.
func (h *host) broken(a *attempt, err error) {
	status := policy.Reset
	var notWritten errNotWritten
	switch {
	case a.isCanceled():
		status = policy.Canceled
	case errors.Is(err, errNoSocket): // nothing was wrong with the upstream
		status = policy.Moot
	case errors.As(err, &notWritten): // whatever ended it, the upstream never had the whole
		status = policy.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(a.deadline): // else the answer has stalled
		status = policy.Timeout
	}
	h.log.Debug("attempt", "request", a.req.header.Get("X-Request-Id"), "upstream", a.server, "status", status, "err", err)
	h.settle(a, status, nil, answer{})
}

// request is what the upstream is sent.
func (a *attempt) request() *http.Request {
	r := a.req
	header := maps.Clone(r.header)
	header["X-Timeout-Ms"] = []string{strconv.FormatInt(max(1, time.Until(a.deadline).Milliseconds()), 10)}
	q := &http.Request{Method: r.method, URL: r.target, Host: r.host, Header: header}
	if len(r.body) > 0 {
		q.ContentLength, q.Body = int64(len(r.body)), io.NopCloser(bytes.NewReader(r.body))
	} else if r.method != http.MethodGet {
		q.Body = http.NoBody
	}
	return q
}

// target is the URL under which q's target goes on as the client wrote it.
func target(q *http.Request) *url.URL { return &url.URL{Opaque: q.RequestURI} }

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwarded takes from h what concerns one connection only.
func forwarded(h http.Header) http.Header {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
	return h
}

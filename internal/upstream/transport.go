package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/internal/settings"
	"quillfront/internal/sockets"
	"quillfront/policy"
)

const (
	// probeTimeout is how long a probe may take: an upstream may vanish without a word.
	probeTimeout = 400 * time.Millisecond
	// mostReport bounds the body of a probe's answer.
	mostReport = 4 << 10
	// mostStream bounds the time of an answer that is passed on as it comes: MaxBody at 64 kB a second, and some more.
	mostStream = 10 * time.Minute
	// faultEvery is how seldom the log is told of reports that cannot be used.
	faultEvery = 10 * time.Second
	// mostLoad is the highest figure of a report that is taken for real.
	mostLoad = 1e9
)

// Transport implements engine.Transport over HTTP/1.1. Its requests' payloads are *httpmsg.Message, its replies *httpmsg.Answer.
type Transport struct {
	pool   pool
	load   atomic.Pointer[loadForm]
	log    *slog.Logger
	faults rate.Sometimes // in reports
	stop   context.CancelFunc
	swept  sync.WaitGroup
}

// loadForm is how servers tell their load.
type loadForm struct {
	fields []string // names of the figures in a load report
	inline bool     // answers carry reports
}

// New returns a transport that takes its descriptors from b, and runs until Close.
func New(s settings.Settings, b Descriptors, log *slog.Logger) *Transport {
	ctx, stop := context.WithCancel(context.Background())
	t := &Transport{
		pool: pool{sockets: b, idle: map[engine.Endpoint][]*conn{}}, log: log, stop: stop,
		faults: rate.Sometimes{First: 1, Interval: faultEvery},
	}
	t.Reconfigure(s)
	t.swept.Go(func() { t.pool.sweep(ctx) })
	return t
}

// Reconfigure makes s what holds for all that begins from now on.
func (t *Transport) Reconfigure(s settings.Settings) {
	t.load.Store(&loadForm{s.LoadFields, s.Config.InlineReports})
	t.pool.dialTimeout.Store(int64(s.Config.DialTimeout))
	t.pool.idleFor.Store(int64(float64(s.Config.ConnIdleTimeout) * idleShare))
}

// SetMaxHeaderBytes has heads of answers of up to n bytes read, from the next connection on.
func (t *Transport) SetMaxHeaderBytes(n int) { t.pool.buffer = n }

// Close closes the idle connections, and keeps none from now on. Attempts that are out go on to their ends.
func (t *Transport) Close() {
	t.stop()
	t.swept.Wait()
	t.pool.close()
}

// EvictIdle closes one idle connection, and reports whether there was one.
func (t *Transport) EvictIdle() bool { return t.pool.closeIdle(0, 1) > 0 }

// Dials returns how many connects have been begun.
func (t *Transport) Dials() int64 { return t.pool.dials.Load() }

// Stats counts a transport's idle connections.
type Stats struct {
	Idle     int // in all
	Stale    int // of them, those on which the server has closed or said something unasked
	Settling int // of them, those that carry no request yet: see settleTime
}

// Stats returns the present counts.
func (t *Transport) Stats() Stats {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	var s Stats
	settled := time.Now().Add(-t.pool.settle())
	for _, list := range t.pool.idle {
		s.Idle += len(list)
		for _, c := range list {
			if !c.quiet() {
				s.Stale++
			}
			if c.since.After(settled) {
				s.Settling++
			}
		}
	}
	return s
}

// HangUp is a method of engine.Transport.
func (t *Transport) HangUp(to engine.Endpoint) { t.pool.hangUp(to) }

// Do is a method of engine.Transport. What an attempt's end proves follows the protocol's table of outcomes.
func (t *Transport) Do(a *engine.Attempt, to engine.Endpoint) engine.AttemptResult {
	c := t.pool.reuse(to, a.Deadline)
	if c == nil {
		var err error
		if c, err = t.dial(a, to); err != nil {
			return t.broken(a, errNotWritten{err})
		}
	}
	if !a.Sending(c.hangUp) {
		t.pool.keep(c) // nothing was written to it
		return engine.AttemptResult{Status: policy.Canceled}
	}
	m, _ := a.Payload().(*httpmsg.Message)
	if m != nil && m.Terms != nil {
		return t.whole(a, c, m)
	}
	code, minor, early, err := c.exchange(m, max(time.Until(a.Deadline), 1), func() {
		a.Uploaded()
		c.setUntil(a.Deadline)
	})
	if err != nil {
		c.Close()
		return t.broken(a, err)
	}
	end := engine.AttemptResult{Status: policy.OK}
	var answer *httpmsg.Answer
	if code == http.StatusOK {
		answer = &httpmsg.Answer{}
	} else if end.Status = policy.AppError; code/100 == 4 {
		end.Status = policy.Rejected
	}
	load := t.load.Load()
	for _, f := range c.head.Fields {
		switch {
		case load.inline && f.Is("X-Server-Load"):
			end.Load = t.report(to, string(f.Value), load.fields)
		case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
			f.Is("X-Not-Processed") && string(f.Value) == "1":
			end.Status = policy.Overloaded
		}
		if answer != nil && !c.head.Hop(f) {
			if answer.Lines == nil {
				answer.Lines = make([]byte, 0, 256)
			}
			answer.Lines = f.Append(answer.Lines)
		}
	}
	c.head.Discard(c.r)
	last := c.begin(code, minor) || early
	held := int64(httpmsg.MaxWhole)
	if c.head.Length > held {
		held = mostHeld
	}
	body, err := c.body.UpTo(held)
	if answer != nil && err == nil && !c.body.Ended() {
		answer.Body = body
		c.until, c.stall = time.Now().Add(mostStream), streamTime
		return t.passOn(a, c, answer, end, func() bool { return last })
	}
	wanted := a.OnCancel(nil) // from here on c is no longer the attempt's
	if last || err != nil || !wanted || !c.body.Ended() {
		c.Close()
	} else {
		t.pool.keep(c)
	}
	if answer != nil {
		if err != nil {
			return t.broken(a, err)
		}
		answer.Body = body
		end.Reply = answer
	}
	end.PayloadConsumed = spent(a)
	return end
}

// passOn hands a long answer on as it comes, and waits for its end. end is the ending if it comes whole; last reports then whether the
// connection can carry no further exchange.
func (t *Transport) passOn(a *engine.Attempt, c *conn, answer *httpmsg.Answer, end engine.AttemptResult, last func() bool) engine.AttemptResult {
	rest := &long{c: c, done: make(chan struct{}), settle: func(err error) {
		if a.OnCancel(nil) && err == io.EOF && !last() {
			t.pool.keep(c)
		} else {
			c.Close()
		}
	}}
	answer.Rest, answer.Length = rest, c.head.Length
	if c.head.Chunked {
		answer.Length = -1
	}
	hangUp := func() { // also where nobody reads on
		c.hangUp()
		rest.end(net.ErrClosed, func(error) {})
	}
	if !a.OnCancel(hangUp) || !a.BeginReply(answer) {
		c.Close()
		return engine.AttemptResult{Status: policy.Canceled}
	}
	<-rest.done
	if rest.err == io.EOF || rest.err == nil { // closed by whoever read it, which says nothing of the upstream
		return end
	}
	return t.broken(a, rest.err)
}

// spent reports whether a's payload cannot be sent again.
func spent(a *engine.Attempt) bool {
	m, ok := a.Payload().(*httpmsg.Message)
	return ok && m.Rest != nil && m.Rest.Started()
}

// dial opens a connection for a.
func (t *Transport) dial(a *engine.Attempt, to engine.Endpoint) (*conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !a.OnCancel(cancel) {
		return nil, context.Canceled
	}
	a.SetStage(engine.StageDescriptor)
	return t.pool.dial(ctx, to, a.Deadline, func() { a.SetStage(engine.StageConnect) })
}

// broken is the ending of an attempt that got no whole answer.
func (t *Transport) broken(a *engine.Attempt, err error) engine.AttemptResult {
	status := policy.Reset
	var notWritten errNotWritten
	var source errSource
	switch {
	case a.Canceled():
		status = policy.Canceled
	case errors.Is(err, sockets.ErrNoDescriptor) || errors.As(err, &source): // nothing was wrong with the upstream
		status = policy.NotSent
	case errors.As(err, &notWritten): // whatever ended it, the upstream never had the whole
		status = policy.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(a.Deadline): // else the answer has stalled
		status = policy.Timeout
	}
	t.log.Debug("attempt", "request", a.ExternalID(), "upstream", a.Server, "status", status, "err", err)
	return engine.AttemptResult{Status: status, PayloadConsumed: spent(a)}
}

// Probe is a method of engine.Transport. It takes up to 400 ms.
func (t *Transport) Probe(ctx context.Context, to engine.Endpoint) (policy.Status, *policy.Load) {
	until := time.Now().Add(probeTimeout)
	c := t.pool.reuse(to, until)
	if c == nil {
		var err error
		c, err = t.pool.dial(ctx, to, until, func() {})
		if errors.Is(err, sockets.ErrNoDescriptor) {
			return policy.NotSent, nil
		}
		if err != nil {
			return policy.ConnectFailed, nil
		}
	}
	defer context.AfterFunc(ctx, c.hangUp)()
	code, minor, _, err := c.exchange(&httpmsg.Message{Method: http.MethodGet, Target: "/load", Host: to.Addr}, 0, nil)
	var body []byte
	last := false
	if err == nil {
		c.head.Discard(c.r)
		last = c.begin(code, minor)
		body, err = c.body.UpTo(mostReport)
	}
	var notWritten errNotWritten
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Close()
		return policy.Timeout, nil
	case errors.As(err, &notWritten):
		c.Close()
		return policy.ConnectFailed, nil
	default:
		c.Close()
		return policy.Reset, nil
	}
	if last || !c.body.Ended() {
		c.Close()
	} else {
		t.pool.keep(c)
	}
	switch code {
	case http.StatusOK:
		return policy.OK, t.report(to, string(body), t.load.Load().fields)
	case http.StatusServiceUnavailable:
		return policy.Overloaded, nil
	}
	return policy.AppError, nil
}

// report reads a load report. What is wrong in one is told to the log, one line for all of faultEvery.
func (t *Transport) report(from engine.Endpoint, text string, fields []string) *policy.Load {
	load, err := parseLoad(text, fields)
	if err != nil {
		t.faults.Do(func() { t.log.Warn("a load report has what cannot be used", "server", string(from.ID), "fault", err) })
	}
	return load
}

// parseLoad reads a report such as "TEXT queue=2, util=0.61" by the names of its fields. It returns nil if
// there is nothing in it that can be read, and an error that names the first field that cannot: such a one counts as not told.
func parseLoad(text string, fields []string) (*policy.Load, error) {
	text = strings.TrimSpace(text)
	if format, rest, ok := strings.Cut(text, " "); ok && !strings.ContainsAny(format, "=,") {
		text = rest
	}
	load, found := settings.EmptyLoad(), false
	var fault error
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		if name = strings.TrimSpace(name); !ok || !slices.Contains(fields, name) {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(v >= 0 && v <= mostLoad) { // guards against NaN too
			if fault == nil {
				fault = fmt.Errorf("%s is %.40q", name, value)
			}
			continue
		}
		settings.SetLoadField(&load, name, v)
		found = true
	}
	if !found {
		return nil, fault
	}
	return &load, fault
}

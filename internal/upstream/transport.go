package upstream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
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
	// probeTimeout bounds a probe: a server may vanish without closing its connections.
	probeTimeout = 400 * time.Millisecond
	// maxReportBytes limits the body of the response to a probe.
	maxReportBytes = 4 << 10
	// maxStreamTime bounds a streamed response: enough for MaxBody at 64 kB a second, and some
	// more.
	maxStreamTime = 10 * time.Minute
	// faultLogInterval is the minimum time between log lines about invalid load reports.
	faultLogInterval = 10 * time.Second
	// maxLoadValue is the highest value in a load report that is accepted.
	maxLoadValue = 1e9
)

// Transport implements engine.Transport over HTTP/1.1. The payload of a request is a
// *httpmsg.Message, the reply a *httpmsg.Response.
type Transport struct {
	pool       pool
	loadFormat atomic.Pointer[loadFormat]
	log        *slog.Logger
	faultLog   rate.Sometimes // limits the log lines about invalid load reports

	heldResponses atomic.Int64 // see maxHeldResponses
	stop          context.CancelFunc
	background    sync.WaitGroup
}

// loadFormat describes how servers report their load.
type loadFormat struct {
	fields []string // names of the values in a load report
	inline bool     // responses carry load reports
}

// New returns a transport that takes its descriptors from b. It runs until Close.
func New(s settings.Settings, b Descriptors, log *slog.Logger) *Transport {
	ctx, stop := context.WithCancel(context.Background())
	t := &Transport{
		pool: pool{descriptors: b, idle: map[engine.Endpoint][]*conn{}}, log: log, stop: stop,
		faultLog: rate.Sometimes{First: 1, Interval: faultLogInterval},
	}
	t.Reconfigure(s)
	t.background.Go(func() { t.pool.evictExpired(ctx) })
	return t
}

// Reconfigure applies s to everything that begins from now on.
func (t *Transport) Reconfigure(s settings.Settings) {
	t.loadFormat.Store(&loadFormat{s.LoadFields, s.Config.InlineReports})
	t.pool.dialTimeout.Store(int64(s.Config.DialTimeout))
	t.pool.idleTimeout.Store(int64(float64(s.Config.ConnIdleTimeout) * idleFraction))
}

// SetMaxHeaderBytes sets the maximum size of response heads to n bytes, for new connections.
func (t *Transport) SetMaxHeaderBytes(n int) { t.pool.readBuffer = n }

// Close closes the idle connections, and keeps none from now on. Running attempts continue.
func (t *Transport) Close() {
	t.stop()
	t.background.Wait()
	t.pool.close()
}

// EvictIdle closes one idle connection, and reports whether there was one.
func (t *Transport) EvictIdle() bool { return t.pool.closeIdle(0, 1) > 0 }

// Dials returns how many connects were started.
func (t *Transport) Dials() int64 { return t.pool.dials.Load() }

// Stats counts a transport's idle connections.
type Stats struct {
	Idle     int // all idle connections
	Stale    int // those that the server has closed or sent unsolicited data on
	Settling int // those that may not carry a request yet, see reuseDelay
}

// Stats returns the current counts.
func (t *Transport) Stats() Stats {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	var s Stats
	settled := time.Now().Add(-t.pool.currentReuseDelay())
	for _, list := range t.pool.idle {
		s.Idle += len(list)
		for _, c := range list {
			if !c.noPendingData() {
				s.Stale++
			}
			if c.idleSince.After(settled) {
				s.Settling++
			}
		}
	}
	return s
}

// CloseIdle implements engine.Transport.
func (t *Transport) CloseIdle(to engine.Endpoint) { t.pool.closeIdleTo(to) }

// Do implements engine.Transport. What the end of an attempt proves about its execution follows the
// protocol's table of outcomes.
func (t *Transport) Do(a *engine.Attempt, to engine.Endpoint) engine.AttemptResult {
	c := t.pool.reuse(to, a.Deadline)
	if c == nil {
		var err error
		if c, err = t.dial(a, to); err != nil {
			return t.failure(a, nil, a.Deadline, errNotWritten{err})
		}
	}
	if !a.Sending(c.abort) {
		t.pool.putIdle(c) // nothing was written to it
		return engine.AttemptResult{Status: policy.Canceled}
	}
	m, _ := a.Payload().(*httpmsg.Message)
	if m != nil && m.Exchange != nil {
		return t.doRouted(a, c, m)
	}
	code, minor, early, err := c.exchange(m, max(time.Until(a.Deadline), 1), a.Timeout(), func(receivedAt time.Time) {
		a.Deadline = a.Uploaded(receivedAt)
		c.setExchangeDeadline(a.Deadline)
	}, func(deadline time.Time) *responseWatch {
		return &responseWatch{t: t, a: a, c: c, deadline: deadline, begunAt: time.Now()}
	})
	w := c.watch
	if err != nil {
		c.watch = nil
		c.Close()
		if w != nil {
			return w.failure(err)
		}
		return t.failure(a, c, a.Deadline, err)
	}
	result := engine.AttemptResult{Status: policy.OK}
	answer := t.readResult(c, to, code, &result)
	c.head.Discard(c.r)
	last := c.beginBody(code, minor) || early
	if answer == nil {
		t.discardBody(a, c, last)
		result.PayloadConsumed = bodyConsumed(a)
		return result
	}
	return w.receive(answer, result, func() bool { return last })
}

// bodyConsumed reports whether the payload of a cannot be sent again.
func bodyConsumed(a *engine.Attempt) bool {
	m, ok := a.Payload().(*httpmsg.Message)
	return ok && m.Upload != nil && m.Upload.Started()
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

// failure returns the result of an attempt without a complete response. c is nil if there was no
// connection. deadline is the time by which the response had to come.
func (t *Transport) failure(a *engine.Attempt, c *conn, deadline time.Time, err error) engine.AttemptResult {
	status := policy.Reset
	var notWritten errNotWritten
	var bodyErr errBodySource
	switch {
	case a.Canceled():
		status = policy.Canceled
	case errors.Is(err, sockets.ErrNoDescriptor) || errors.As(err, &bodyErr):
		// Not the server's fault.
		status = policy.NotSent
	case errors.As(err, &notWritten): // whatever the cause, the server never had the whole request
		status = policy.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(deadline):
		// Otherwise the response has stalled.
		status = policy.Timeout
	}
	return engine.AttemptResult{Status: status, PayloadConsumed: bodyConsumed(a), End: describeEnd(a, c, deadline, err)}
}

// Probe implements engine.Transport. It takes up to 400 ms.
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
	defer context.AfterFunc(ctx, c.closeFunc)()
	code, minor, _, err := c.exchange(&httpmsg.Message{Method: http.MethodGet, Target: "/load", Host: to.Addr}, 0, 0, nil, nil)
	var body []byte
	last := false
	if err == nil {
		c.head.Discard(c.r)
		last = c.beginBody(code, minor)
		body, err = c.body.ReadUpTo(maxReportBytes)
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
		t.pool.putIdle(c)
	}
	switch code {
	case http.StatusOK:
		return policy.OK, t.parseReport(to, string(body), t.loadFormat.Load().fields)
	case http.StatusServiceUnavailable:
		return policy.Overloaded, nil
	}
	return policy.AppError, nil
}

// parseReport parses a load report. Invalid reports are logged, at most one line per
// faultLogInterval.
func (t *Transport) parseReport(from engine.Endpoint, text string, fields []string) *policy.Load {
	load, err := parseLoad(text, fields)
	if err != nil {
		t.faultLog.Do(func() { t.log.Warn("a load report has what cannot be used", "server", string(from.ID), "fault", err) })
	}
	return load
}

// parseLoad parses a report such as "TEXT queue=2, util=0.61", of which it uses the values named in
// fields. It returns nil if there is no valid value, and an error that names the first invalid one.
// Invalid values count as not reported.
func parseLoad(text string, fields []string) (*policy.Load, error) {
	text = strings.TrimSpace(text)
	if format, rest, ok := strings.Cut(text, " "); ok && !strings.ContainsAny(format, "=,") {
		text = rest
	}
	load, found := settings.EmptyLoad(), false
	var firstErr error
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		if name = strings.TrimSpace(name); !ok || !slices.Contains(fields, name) {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(v >= 0 && v <= maxLoadValue) { // also rejects NaN
			if firstErr == nil {
				firstErr = fmt.Errorf("%s is %.40q", name, value)
			}
			continue
		}
		settings.SetLoadField(&load, name, v)
		found = true
	}
	if !found {
		return nil, firstErr
	}
	return &load, firstErr
}

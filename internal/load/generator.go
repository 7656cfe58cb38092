package load

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Progress is a snapshot of a run in progress.
type Progress struct {
	At         time.Duration
	Rate       float64 // first tries per second since the last snapshot
	Open       int     // requests in flight
	P50, P99   time.Duration
	Errors     int // tries that were not served since the last snapshot
	Lag        time.Duration
	Untrusted  int // untrusted windows so far
	Unsent     int
	ServedRate float64
}

// Options configures a Generator.
type Options struct {
	Target   string // http://host:port
	Classes  []Class
	Limits   Limits
	IDPrefix string         // prefix of generated ids and keys; unique per run
	Progress func(Progress) // called once per second; nil: never
	StartAt  time.Time      // start of the schedule; zero: 20 ms after Run is called
}

// Generator sends the requests of a Source on schedule. It can be run once.
type Generator struct {
	options Options
	rec     *recorder
	client  *http.Client
	start   time.Time
	open    atomic.Int64
	ids     atomic.Uint64
	work    sync.WaitGroup
}

// New returns a Generator. An error names the invalid option.
func New(o Options) (*Generator, error) {
	o.Limits = o.Limits.withDefaults()
	if !strings.HasPrefix(o.Target, "http://") && !strings.HasPrefix(o.Target, "https://") {
		return nil, fmt.Errorf("target: %q is not an HTTP URL", o.Target)
	}
	o.Target = strings.TrimSuffix(o.Target, "/")
	if err := (&Plan{Classes: o.Classes}).checkClasses(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 10 * time.Second}).DialContext,
		MaxConnsPerHost:     o.Limits.MaxConnections,
		MaxIdleConnsPerHost: o.Limits.MaxConnections,
		MaxIdleConns:        o.Limits.MaxConnections,
		IdleConnTimeout:     1500 * time.Millisecond, // servers close idle ones a little later
		DisableCompression:  true,
	}
	return &Generator{
		options: o, rec: newRecorder(o.Limits),
		client: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
	}, nil
}

// Run sends all requests of s and returns the report once every request has ended; cancelling ctx
// ends the run early. A request that is late by more than Limits.MaxLate is not sent at all:
// sending it would make a burst that no client has sent, and shifting all later requests would hide
// the lateness. It is counted, and its window is marked as untrusted.
func (g *Generator) Run(ctx context.Context, s Source) *Report {
	if g.start = g.options.StartAt; g.start.IsZero() {
		g.start = time.Now().Add(20 * time.Millisecond)
	}
	helperCtx, stop := context.WithCancel(context.Background())
	var helpers sync.WaitGroup
	helpers.Go(func() { g.detectPauses(helperCtx) })
	if g.options.Progress != nil {
		helpers.Go(func() { g.reportProgress(helperCtx) })
	}
	for ctx.Err() == nil {
		r, ok := s.Next()
		if !ok {
			break
		}
		if r.Class < 0 || r.Class >= len(g.options.Classes) {
			continue
		}
		if !g.wait(ctx, g.start.Add(r.At)) {
			break
		}
		g.dispatch(ctx, r)
	}
	if ctx.Err() == nil { // the last window gets its full length
		g.wait(ctx, g.start.Add(s.Length()))
	}
	g.work.Wait()
	stop()
	helpers.Wait()
	g.client.CloseIdleConnections()
	return g.rec.report(time.Since(g.start))
}

// spinWindow is how long before its due time a request is awaited by yielding instead of sleeping,
// because a sleep may overrun by a millisecond. With 0.15 ms the lag was 0.4 ms at p50 and 1 ms at
// p99. It costs up to one core.
const spinWindow = 1200 * time.Microsecond

// wait waits until the given time and reports whether ctx is still active.
func (g *Generator) wait(ctx context.Context, until time.Time) bool {
	for {
		left := time.Until(until)
		switch {
		case left <= 0:
			return ctx.Err() == nil
		case left > 50*time.Millisecond:
			select {
			case <-ctx.Done():
				return false
			case <-time.After(left - 25*time.Millisecond):
			}
		case left > spinWindow:
			time.Sleep(left - spinWindow)
		default:
			runtime.Gosched()
		}
	}
}

// dispatch starts a request, or counts it as not sent if it is too late or too many are open.
func (g *Generator) dispatch(ctx context.Context, r Request) {
	c := &g.options.Classes[r.Class]
	lag := time.Since(g.start) - r.At
	if r.RetryOf == 0 {
		g.rec.recordDue(r.At, c.Name)
	}
	switch {
	case lag > g.options.Limits.MaxLate:
		g.rec.recordUnsent(r.At, c.Name, true)
		return
	case g.open.Load() >= int64(g.options.Limits.MaxOpen):
		g.rec.recordUnsent(r.At, c.Name, false)
		return
	}
	g.rec.recordLag(r.At, max(lag, 0))
	g.open.Add(1)
	g.work.Go(func() {
		defer g.open.Add(-1)
		g.sendWithRetries(ctx, c, r)
	})
}

// sendWithRetries sends a request and the retries of its client.
func (g *Generator) sendWithRetries(ctx context.Context, c *Class, r Request) {
	isRetry := r.RetryOf != 0
	for n := 0; ; n++ {
		o, status, after, took := g.sendOnce(ctx, c, r, isRetry || n > 0)
		g.rec.recordTry(r.At, c.Name, isRetry || n > 0, o, status, took, time.Since(g.start)-r.At)
		switch o {
		case Served, Redirected, Rejected:
			return
		}
		if n >= c.Retry.Max || ctx.Err() != nil {
			return
		}
		wait := c.Retry.Wait
		if c.Retry.HonorRetryAfter {
			wait = max(wait, after)
		}
		if wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
	}
}

// sendOnce sends a request once. took is measured from when a connection was available.
func (g *Generator) sendOnce(ctx context.Context, c *Class, r Request, isRetry bool) (o Outcome, status int, retryAfter, took time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	var sent atomic.Int64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(int64(time.Since(g.start))) }})
	var body io.Reader
	if r.Body != "" {
		body = strings.NewReader(r.Body)
	}
	from := time.Since(g.start)
	q, err := http.NewRequestWithContext(ctx, cmp.Or(r.Method, c.method()), g.options.Target+r.Path, body)
	if err != nil {
		return ConnectFailed, 0, 0, 0
	}
	q.Header.Set("X-Request-ID", fmt.Sprintf("%s-%d", g.options.IDPrefix, g.ids.Add(1)))
	q.Header.Set("X-Timeout-Ms", strconv.FormatInt(c.timeout().Milliseconds(), 10))
	for k, v := range c.Header {
		q.Header.Set(k, v)
	}
	if r.Key != "" {
		q.Header.Set("Idempotency-Key", g.options.IDPrefix+r.Key)
	}
	if r.Tenant != "" {
		q.Header.Set("X-Tenant-Id", r.Tenant)
	}
	if r.Cost > 0 {
		q.Header.Set("X-Cost", strconv.FormatInt(r.Cost.Microseconds(), 10))
	}
	if isRetry {
		q.Header.Set("X-Retried", "1")
	}
	resp, err := g.client.Do(q)
	elapsed := func() time.Duration {
		if v := sent.Load(); v != 0 {
			return time.Since(g.start) - time.Duration(v)
		}
		return time.Since(g.start) - from
	}
	if err != nil {
		return errorOutcome(err, sent.Load() != 0), 0, 0, elapsed()
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errorOutcome(err, true), resp.StatusCode, 0, elapsed()
	}
	switch code := resp.StatusCode; {
	case code/100 == 2:
		o = Served
	case code/100 == 3:
		o = Redirected
	case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests:
		o = Refused
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
			retryAfter = time.Duration(s * float64(time.Second))
		}
	case code/100 == 4:
		o = Rejected
	default:
		o = Failed
	}
	return o, resp.StatusCode, retryAfter, elapsed()
}

// errorOutcome returns the outcome of a try without a complete response.
func errorOutcome(err error, sent bool) Outcome {
	var late net.Error
	switch {
	case errors.As(err, &late) && late.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return TimedOut
	case !sent:
		return ConnectFailed
	}
	return Interrupted
}

// detectPauses records when this process did not run, which shows as a late tick of its own ticker.
func (g *Generator) detectPauses(ctx context.Context) {
	const every = time.Millisecond
	last := time.Now()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if gap := now.Sub(last) - every; gap > g.options.Limits.MinPause && last.After(g.start) {
			g.rec.recordPause(last.Sub(g.start), now.Sub(g.start))
		}
		last = now
	}
}

// reportProgress reports the progress once per second.
func (g *Generator) reportProgress(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		g.options.Progress(g.rec.progress(time.Since(g.start), time.Since(last), int(g.open.Load()), g.options.Limits))
		last = time.Now()
	}
}

func (r *recorder) progress(at, since time.Duration, open int, l Limits) Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Progress{
		At: at, Rate: float64(r.counts.due) / since.Seconds(), ServedRate: float64(r.counts.served) / since.Seconds(), Open: open,
		P50: r.latency.Percentile(50), P99: r.latency.Percentile(99), Errors: r.counts.errors, Lag: r.lag.Percentile(99),
	}
	for _, w := range r.windows {
		if w.evaluate(l); !w.Trusted {
			p.Untrusted++
		}
		p.Unsent += w.Late + w.OverLimit
	}
	r.latency, r.raw, r.lag = newHistogram(), newHistogram(), newHistogram()
	r.counts.due, r.counts.served, r.counts.errors = 0, 0, 0
	return p
}

// ClassNames returns the names of the report's classes in sorted order.
func (r *Report) ClassNames() []string { return slices.Sorted(maps.Keys(r.Classes)) }

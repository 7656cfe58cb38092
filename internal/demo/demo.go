// Package demo demonstrates a sidecar: it runs stand-in servers, a discovery service and a sidecar
// in one process, sends real HTTP requests for some seconds while faults are injected, and reports
// the outcomes together with a check of the four rules.
package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quillfront/internal/load"
	"quillfront/internal/standin"
	"quillfront/policy"
)

// Options configures a demo. A zero value selects the default that the field's comment states.
type Options struct {
	Duration time.Duration         // how long requests are sent; 6 s
	Rate     float64               // requests a second; 300
	Seed     uint64                // 1
	Progress func(Progress)        // called every 200 ms; may be nil
	OnDrain  func(*standin.Server) // called with the draining server, so that tests can break a rule
}

// Progress is the state of a running demo.
type Progress struct {
	At                  time.Duration
	Asked, Served, Open int
	Refused, Failed     int
	Event               string // the event since the last call, or empty
	P50, P99            time.Duration
}

// ClassReport holds the results of one class.
type ClassReport struct {
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`
	Late    int     `json:"late"` // served, but after the aim
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
}

// ServerReport holds the results of one server.
type ServerReport struct {
	Share      float64 `json:"share"` // of all requests that servers received
	Requests   int     `json:"requests"`
	Late       int     `json:"late"`
	Overloaded bool    `json:"fallen"`
	Note       string  `json:"note,omitempty"`
}

// Report holds the results of a demo.
type Report struct {
	Asked   int                      `json:"asked"`
	Served  int                      `json:"served"`
	Refused int                      `json:"refused"`
	Failed  int                      `json:"failed"`
	Lost    int                      `json:"lost"` // requests without a final answer in time
	Classes map[string]*ClassReport  `json:"classes"`
	Servers map[string]*ServerReport `json:"boxes"`

	Duplicates          int `json:"duplicates"`             // effects that were applied more than once
	LateSendsToDraining int `json:"late_sends_to_draining"` // requests sent later than 2 s after discovery listed the server as draining
	Overloaded          int `json:"fallen"`                 // cold servers that crashed from overload

	Violations []string `json:"broken"` // descriptions of the violated rules
}

// class is a request class with its share of the requests and its mean work.
type class struct {
	policy.Class
	share float64
	work  time.Duration
}

var classes = []class{
	{policy.Class{Name: "allocation-check", Effect: policy.Safe, Aim: 150 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 2, LateShare: 0.3}, 0.47, 15 * time.Millisecond},
	{policy.Class{Name: "delivery-order", Effect: policy.Keyed, Group: policy.GroupAll, KeyTTL: 1500 * time.Millisecond, Aim: 150 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 10, LateShare: 0.5}, 0.34, 12 * time.Millisecond},
	{policy.Class{Name: "meter-booking", Effect: policy.Keyed, Group: policy.GroupCell, KeyTTL: 12 * time.Second, Aim: 300 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 3, LateShare: 0.2}, 0.19, 20 * time.Millisecond},
}

// answerSlack is how long after its deadline a client still accepts an answer as in time, to allow
// for a busy machine.
const answerSlack = 250 * time.Millisecond

// maxOpenRequests bounds the requests that are open at once; a request beyond it counts as lost.
const maxOpenRequests = 2000

// runner is a running demo.
type runner struct {
	Options
	fleet  *standin.Fleet
	url    string
	client *http.Client

	mu           sync.Mutex
	report       Report
	latencies    map[string]*hdrhistogram.Histogram // of served requests, in microseconds, by class
	allLatencies *hdrhistogram.Histogram
	open         int
	event        string
	notes        map[string]string // by server ID
	started      time.Time
	clients      sync.WaitGroup
}

// Run runs a demo and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	o.Duration, o.Rate, o.Seed = cmp.Or(o.Duration, 6*time.Second), cmp.Or(o.Rate, 300), cmp.Or(o.Seed, 1)
	if o.Duration < time.Second || o.Duration > time.Hour {
		return nil, fmt.Errorf("demo: length %v is outside 1 s to 1 h", o.Duration)
	}
	if !(o.Rate > 0 && o.Rate <= 5000) {
		return nil, fmt.Errorf("demo: rate %v is outside 0 to 5000 requests a second", o.Rate)
	}
	r := &runner{
		Options: o, latencies: map[string]*hdrhistogram.Histogram{}, allLatencies: newHistogram(), notes: map[string]string{},
		report: Report{Classes: map[string]*ClassReport{}, Servers: map[string]*ServerReport{}, Violations: []string{}},
	}
	var rules []policy.Class
	for _, c := range classes {
		rules = append(rules, c.Class)
		r.report.Classes[c.Name], r.latencies[c.Name] = &ClassReport{}, newHistogram()
	}
	var servers []standin.ServerConfig
	for i, id := range []string{"clare-1", "clare-2", "clare-3", "giru-1", "giru-2", "giru-3"} {
		servers = append(servers, standin.ServerConfig{ID: id, Zone: strings.Split(id, "-")[0], Cell: i % 3, Cores: 2, ServiceTimeFromCost: true, QueueSize: 64})
	}
	env, err := StartEnvironment(rules, servers, o.Seed, 4096)
	if err != nil {
		return nil, err
	}
	r.fleet = env.Fleet
	transport := &http.Transport{MaxIdleConnsPerHost: maxOpenRequests, MaxConnsPerHost: maxOpenRequests, DisableCompression: true}
	r.url, r.client = env.URL, &http.Client{Transport: transport}

	r.started = time.Now()
	var background sync.WaitGroup
	eventsCtx, stopEvents := context.WithCancel(ctx)
	background.Go(func() { r.runEvents(eventsCtx, env.Servers) })
	background.Go(func() { r.progress(eventsCtx) })
	err = r.load(ctx)
	r.clients.Wait()
	stopEvents()
	background.Wait()
	transport.CloseIdleConnections()
	if serr := env.Close(); err == nil {
		err = serr
	}
	if err != nil {
		return nil, err
	}
	r.summarize()
	return &r.report, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Second).Microseconds(), 3)
}

// runEvents injects the faults at fixed shares of the demo's duration: a server that returns
// errors, one that drains, one that starts cold and one that loses or corrupts responses.
func (r *runner) runEvents(ctx context.Context, servers map[string]*standin.Server) {
	steps := []struct {
		at   float64
		text string
		do   func() error
	}{
		{0.15, "clare-2 returns errors for 60% of its requests", func() error { servers["clare-2"].SetFaultRates(standin.FaultRates{ServerError: 0.6}); return nil }},
		{0.30, "giru-3 drains", func() error {
			r.fleet.ListDraining(servers["giru-3"])
			if r.OnDrain != nil {
				r.OnDrain(servers["giru-3"])
			}
			return nil
		}},
		{0.45, "giru-4 starts cold", func() error {
			_, err := r.fleet.Start(standin.ServerConfig{ID: "giru-4", Zone: "giru", Cell: 2, Cores: 2, ServiceTimeFromCost: true, Cold: true})
			return err
		}},
		{0.60, "clare-2 has recovered", func() error { servers["clare-2"].SetFaultRates(standin.FaultRates{}); return nil }},
		{0.70, "clare-1 drops or corrupts 5% of its responses", func() error {
			servers["clare-1"].SetFaultRates(standin.FaultRates{NoReply: 0.02, Malformed: 0.02, Reset: 0.01})
			return nil
		}},
	}
	for _, s := range steps {
		if !sleepUntil(ctx, r.started.Add(time.Duration(s.at*float64(r.Duration)))) {
			return
		}
		if err := s.do(); err != nil {
			s.text += ": " + err.Error()
		}
		r.mu.Lock()
		r.event = s.text
		name, note, _ := strings.Cut(s.text, " ")
		r.notes[name] = strings.TrimPrefix(r.notes[name]+"; "+note, "; ")
		r.mu.Unlock()
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// progress reports the state of the demo to Options.Progress.
func (r *runner) progress(ctx context.Context) {
	if r.Progress == nil {
		return
	}
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.mu.Lock()
		p := Progress{
			At: time.Since(r.started), Asked: r.report.Asked, Served: r.report.Served, Open: r.open, Refused: r.report.Refused,
			Failed: r.report.Failed, Event: r.event, P50: quantile(r.allLatencies, 50), P99: quantile(r.allLatencies, 99),
		}
		r.event = ""
		r.mu.Unlock()
		r.Progress(p)
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(q)) * time.Microsecond
}

// load sends requests at scheduled times, whether or not earlier ones have been answered.
func (r *runner) load(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(r.Seed, 7))
	n := 0
	for at := range load.Arrivals(load.Chain{{Shape: "constant", Duration: r.Duration, From: r.Rate}}, rng) {
		due := r.started.Add(at)
		n++
		if !sleepUntil(ctx, due) {
			return ctx.Err()
		}
		draw, c := rng.Float64(), classes[0]
		for _, k := range classes {
			if c = k; draw < k.share {
				break
			}
			draw -= k.share
		}
		work := time.Duration(float64(c.work) * (0.6 + 0.8*rng.Float64()))
		r.mu.Lock()
		r.report.Asked++
		r.report.Classes[c.Name].Asked++
		full := r.open >= maxOpenRequests
		if full {
			r.report.Lost++
		} else {
			r.open++
		}
		r.mu.Unlock()
		if !full {
			id := n
			r.clients.Go(func() { r.sendRequest(c, id, due, work) })
		}
	}
	return nil
}

// sendRequest sends one request without retries and records its outcome.
func (r *runner) sendRequest(c class, n int, due time.Time, work time.Duration) {
	status, err := r.exchange(c, n, work)
	took := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	k := r.report.Classes[c.Name]
	switch {
	case err != nil || time.Since(due) > c.Deadline+answerSlack && status != http.StatusOK:
		r.report.Lost++
	case status == http.StatusOK:
		r.report.Served++
		k.Served++
		if took > c.Aim {
			k.Late++
		}
		r.latencies[c.Name].RecordValue(min(took, 10*time.Second).Microseconds())
		r.allLatencies.RecordValue(min(took, 10*time.Second).Microseconds())
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		r.report.Refused++
		k.Refused++
	default:
		r.report.Failed++
		k.Failed++
	}
}

func (r *runner) exchange(c class, n int, work time.Duration) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline+answerSlack)
	defer cancel()
	method, body := http.MethodGet, io.Reader(nil)
	if c.Effect != policy.Safe {
		method, body = http.MethodPost, strings.NewReader(strings.Repeat("x", 200))
	}
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("%s/%s/farm-%d", r.url, c.Name, n%97), body)
	if err != nil {
		return 0, err
	}
	q.Header.Set("X-Request-ID", fmt.Sprintf("r%d", n))
	q.Header.Set("X-Timeout-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	q.Header.Set("X-Cost", strconv.FormatInt(work.Microseconds(), 10))
	if c.Effect != policy.Safe {
		q.Header.Set("Idempotency-Key", fmt.Sprintf("k%d", n))
	}
	resp, err := r.client.Do(q)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode == http.StatusOK && !strings.HasPrefix(string(got), method+" /"+c.Name+"/") {
		return 0, errors.New("the response body does not match the request")
	}
	return resp.StatusCode, nil
}

// summarize completes the report and checks the four rules.
func (r *runner) summarize() {
	total := 0
	for _, b := range r.fleet.Servers() {
		n := b.Counts()
		r.report.Servers[b.ID()] = &ServerReport{Requests: int(n.Requests), Late: int(n.Late), Overloaded: n.Overloaded, Note: r.notes[b.ID()]}
		r.report.LateSendsToDraining += int(n.Late)
		total += int(n.Requests)
		if n.Overloaded {
			r.report.Overloaded++
		}
	}
	for _, b := range r.report.Servers {
		b.Share = float64(b.Requests) / float64(max(total, 1))
	}
	for name, k := range r.report.Classes {
		k.P50, k.P99 = milliseconds(quantile(r.latencies[name], 50)), milliseconds(quantile(r.latencies[name], 99))
	}
	r.report.Duplicates = r.fleet.Effects().Duplicates
	for _, rule := range []struct {
		n    int
		text string
	}{
		{r.report.Lost, "requests without a final answer in time"},
		{r.report.Duplicates, "effects applied twice"},
		{r.report.LateSendsToDraining, "requests sent to a draining server later than 2 s after the announcement"},
		{r.report.Overloaded, "cold servers overloaded"},
	} {
		if rule.n > 0 {
			r.report.Violations = append(r.report.Violations, fmt.Sprintf("%d %s", rule.n, rule.text))
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Write writes the report as tables.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-18s %7s %7s %6s %8s %7s %9s %9s\n", "class", "asked", "served", "late", "refused", "failed", "p50 ms", "p99 ms")
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		fmt.Fprintf(&b, "%-18s %7d %7d %6d %8d %7d %9.1f %9.1f\n", name, c.Asked, c.Served, c.Late, c.Refused, c.Failed, c.P50, c.P99)
	}
	fmt.Fprintf(&b, "\n%-18s %7s %7s  %s\n", "server", "sends", "share", "")
	for _, name := range slices.Sorted(maps.Keys(r.Servers)) {
		x := r.Servers[name]
		fmt.Fprintf(&b, "%-18s %7d %6.1f%%  %s\n", name, x.Requests, 100*x.Share, x.Note)
	}
	b.WriteString("\nthe four rules\n")
	for _, rule := range []struct {
		n    int
		text string
	}{
		{r.Lost, "each request has one final answer in time"}, {r.Duplicates, "no effect happens twice"},
		{r.LateSendsToDraining, "no new request to draining servers after 2 s"}, {r.Overloaded, "no cold server is overloaded"},
	} {
		verdict := "kept"
		if rule.n > 0 {
			verdict = fmt.Sprintf("BROKEN (%d)", rule.n)
		}
		fmt.Fprintf(&b, "  %-44s %s\n", rule.text, verdict)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

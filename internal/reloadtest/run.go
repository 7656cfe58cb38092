// Package reloadtest tests reloads of routes and pools under load: ordinary HTTP clients send
// requests to servers that respond at once, while the configuration file is reloaded many times a
// second and renames its pool from time to time. The report says what each late request waited for,
// whether requests were refused while a server was idle, and whether requests were lost or executed
// twice, or goroutines or descriptors leaked.
package reloadtest

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quillfront/internal/config"
	"quillfront/internal/services"
	"quillfront/internal/sockets"
)

// Options configures a run. Zero values select the defaults, which the comments name.
type Options struct {
	Seed           uint64
	Duration       time.Duration // 10 s
	Clients        int           // concurrent; 40
	MaxBody        int           // largest body of a request or a response, in bytes; 4 MiB
	ReloadInterval time.Duration // between two reloads of the file; 50 ms
	RenameInterval time.Duration // between two renames of the pool; 1 s; negative: no renames
	ToggleTimeout  bool          // the route has its own timeout after every other reload
	WarmupRequests int           // before the load, with various statuses and cut responses
	LongBody       int64         // bytes of one response and one PUT before the load; 0: none
	Deadline       time.Duration // of a request; 20 s
	LateThreshold  time.Duration // a response head after more than this is late; 1 s
	MaxDescriptors int           // descriptor budget of the services; 900
	Log            *slog.Logger  // nil: none
}

func (o Options) withDefaults() Options {
	o.Duration, o.Clients, o.MaxBody = cmp.Or(o.Duration, 10*time.Second), cmp.Or(o.Clients, 40), cmp.Or(o.MaxBody, 4<<20)
	o.ReloadInterval, o.RenameInterval = cmp.Or(o.ReloadInterval, 50*time.Millisecond), cmp.Or(o.RenameInterval, time.Second)
	o.Deadline, o.LateThreshold = cmp.Or(o.Deadline, 20*time.Second), cmp.Or(o.LateThreshold, time.Second)
	o.MaxDescriptors = cmp.Or(o.MaxDescriptors, 900)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}

// LateRequest is a request whose response head came late, or that ended late without one.
type LateRequest struct {
	Request   string        // method and target
	Latency   time.Duration // until the response head, or the end without one
	Status    int           // 0: no response
	WaitedFor []string      // what it was observed waiting for, with the number of observations
}

// Report is the result of a run.
type Report struct {
	Requests, Served int
	Reloads, Renames int
	MaxLatency       time.Duration // until a response head
	Late             []LateRequest
	Refused          int                      // requests with status 503
	RefusedWhileIdle int                      // those of Refused that ended while a server was idle
	RefusalWaits     map[string]int           // what refused requests were observed waiting for
	OtherFailures    map[string]int           // other failed requests, by status or cause
	Corrupted        int                      // responses that differ from what the server sent
	Duplicated       int                      // POSTs that were executed more than once
	Lost             int                      // POSTs with status 200 that were never executed
	RefusedButRan    int                      // POSTs with status 503 that were executed
	PoolEnds         services.RetirementStats // how removed pools ended their requests
	Goroutines       [2]int                   // before and after, while the services run
	Descriptors      [2]int                   // likewise
	Violations       []string                 // violated requirements
}

// releaseTimeout is how long after the last request the numbers of goroutines and descriptors may
// take to fall back to those before the first request.
const releaseTimeout = 3 * time.Second

// run is a run in progress.
type run struct {
	Options
	body       []byte          // all bodies are prefixes of it
	inProgress []*atomic.Int64 // requests at each server
	services   *services.Services
	url        string
	client     *http.Client

	mu         sync.Mutex
	executions map[string]int            // executions of POSTs, by request ID
	statuses   map[string]int            // statuses of POSTs, by request ID; 0: no response
	waited     map[string]map[string]int // observations by request and what it waited for
	report     Report
}

// Run runs the test once and returns the report. An error means that the test could not be run.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{Options: o.withDefaults(), executions: map[string]int{}, statuses: map[string]int{}, waited: map[string]map[string]int{}}
	r.report.OtherFailures, r.report.RefusalWaits = map[string]int{}, map[string]int{}
	r.body = make([]byte, r.MaxBody)
	rng := rand.New(rand.NewPCG(r.Seed, 1))
	for i := range r.body {
		r.body[i] = byte(rng.Uint32())
	}
	if err := r.execute(ctx); err != nil {
		return nil, err
	}
	r.evaluate()
	return &r.report, nil
}

// execute starts the servers and the services, sends the load during the reloads, and then waits
// until goroutines and descriptors are released.
func (r *run) execute(ctx context.Context) error {
	var addrs []string
	for i := range 2 {
		r.inProgress = append(r.inProgress, &atomic.Int64{})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		srv := &http.Server{Handler: r.handler(i), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
		served := make(chan struct{})
		go func() { defer close(served); srv.Serve(ln) }()
		defer func() { srv.Close(); <-served }()
		addrs = append(addrs, ln.Addr().String())
	}
	dir, err := os.MkdirTemp("", "quillfront-reloads")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "quillfront.toml")
	load := func(n, name int) (config.Operator, error) {
		if err := os.WriteFile(path, []byte(r.configText(addrs, n, name)), 0o600); err != nil {
			return config.Operator{}, err
		}
		return config.LoadOperator(path)
	}
	op, err := load(0, 0)
	if err != nil {
		return err
	}
	budget := sockets.New(r.MaxDescriptors)
	if r.services, err = services.New(op.Services, op.Routes, 64<<20, budget, r.Log); err != nil {
		return err
	}
	defer r.services.Close()
	budget.OnShortage(r.services.EvictIdle, r.services.EvictClient)
	if err := r.services.Listen(); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- r.services.Serve() }()
	defer func() { r.services.Close(); <-served }()
	r.url = "http://" + r.services.Addr("front")
	tr := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: r.Clients}
	defer tr.CloseIdleConnections()
	r.client = &http.Client{Transport: tr, Timeout: r.Deadline + 10*time.Second}
	resp, err := r.client.Get(r.url + "/.ready") // answered without a server, once the services run
	if err != nil {
		return err
	}
	resp.Body.Close()
	tr.CloseIdleConnections()
	report := &r.report
	// Wait until the numbers of goroutines and descriptors are stable.
	for same := 0; same < 5; time.Sleep(10 * time.Millisecond) {
		if now := [2]int{runtime.NumGoroutine(), openDescriptors()}; now[0] == report.Goroutines[0] && now[1] == report.Descriptors[0] {
			same++
		} else {
			same, report.Goroutines[0], report.Descriptors[0] = 0, now[0], now[1]
		}
	}
	if err := r.warmUp(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Duration)
	defer cancel()
	var clients, sampler sync.WaitGroup
	stop := make(chan struct{})
	sampler.Go(func() { r.sampleWaits(stop) })
	for i := range r.Clients {
		clients.Go(func() { r.sendRequests(ctx, i) })
	}
	err = r.reload(ctx, load)
	cancel()
	clients.Wait()
	close(stop)
	sampler.Wait()
	tr.CloseIdleConnections()
	// The services still run, as they did when the numbers before the load were taken.
	for until := time.Now().Add(releaseTimeout); ; time.Sleep(20 * time.Millisecond) {
		report.Goroutines[1], report.Descriptors[1], report.PoolEnds = runtime.NumGoroutine(), openDescriptors(), r.services.RetirementStats()
		if report.Goroutines[1] <= report.Goroutines[0] && report.Descriptors[1] <= report.Descriptors[0] || time.Now().After(until) {
			return err
		}
	}
}

// configText returns the operator's configuration file for the n-th load, with the name-th pool
// name.
func (r *run) configText(addrs []string, n, name int) string {
	pool := []string{"web", "web2"}[name%2]
	timeout := ""
	if r.ToggleTimeout && n%2 == 1 {
		timeout = fmt.Sprintf("timeout = %q\n", r.Deadline/2)
	}
	return fmt.Sprintf("[[pools]]\nname = %q\nservers = [{addr = %q}, {addr = %q}]\nidle = \"1s\"\n[[pools.classes]]\nname = \"any\"\neffect = \"by-request\"\n"+
		"aim = \"1s\"\ndeadline = %q\nlate_share = 0.5\n[[routes]]\nname = \"all\"\nclass = \"any\"\npool = %q\n%s[[http]]\nname = \"front\"\nlisten = \"127.0.0.1:0\"\nhealth = \"/.ready\"\n",
		pool, addrs[0], addrs[1], r.Deadline, pool, timeout)
}

// reload loads the file again at each interval until ctx ends.
func (r *run) reload(ctx context.Context, load func(n, name int) (config.Operator, error)) error {
	tick := time.NewTicker(r.ReloadInterval)
	defer tick.Stop()
	start := time.Now()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		name := 0
		if r.RenameInterval > 0 {
			name = int(time.Since(start) / r.RenameInterval)
		}
		op, err := load(n, name)
		if err != nil {
			return err
		}
		if err := r.services.Check(op.Services, op.Routes); err != nil {
			return err
		}
		if _, err := r.services.Reload(op.Services, op.Routes); err != nil {
			return err
		}
		r.report.Reloads, r.report.Renames = n, name
	}
}

// handler returns the handler of the i-th server. It responds at once: to GET /g/ID/SIZE with SIZE
// bytes, to POST /p/ID after its body with the length of the body, to /s/STATUS with that status,
// to /cut with a response that is cut off, to GET /long/SIZE with SIZE zeros, and to PUT /long
// after its body.
func (r *run) handler(i int) http.Handler {
	mux := http.NewServeMux()
	size := func(q *http.Request) int64 {
		n, _ := strconv.ParseInt(q.PathValue("n"), 10, 64)
		return n
	}
	mux.HandleFunc("GET /g/{id}/{n}", func(w http.ResponseWriter, q *http.Request) { w.Write(r.body[:size(q)]) })
	mux.HandleFunc("POST /p/{id}", func(w http.ResponseWriter, q *http.Request) {
		n, err := io.Copy(io.Discard, q.Body)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.executions[q.PathValue("id")]++
		r.mu.Unlock()
		fmt.Fprint(w, n)
	})
	mux.HandleFunc("/s/{n}", func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		w.WriteHeader(int(size(q)))
	})
	mux.HandleFunc("/cut", func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Length", "100")
		w.Write(r.body[:10])
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("GET /long/{n}", func(w http.ResponseWriter, q *http.Request) { io.CopyN(w, zeros{}, size(q)) })
	mux.HandleFunc("PUT /long", func(w http.ResponseWriter, q *http.Request) { io.Copy(io.Discard, q.Body) })
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.inProgress[i].Add(1)
		defer r.inProgress[i].Add(-1)
		mux.ServeHTTP(w, q)
	})
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// warmUp sends the first pool what ordinary traffic contains: various statuses, responses that are
// cut off, and long bodies in both directions.
func (r *run) warmUp() error {
	for i := range r.WarmupRequests {
		method := []string{"GET", "POST", "PUT", "DELETE", "HEAD"}[i%5]
		target := fmt.Sprintf("/s/%d", []int{200, 201, 204, 304, 400, 404, 500, 502, 503}[i%9])
		if i%37 == 0 {
			method, target = "GET", "/cut"
		}
		q, err := http.NewRequest(method, r.url+target, nil)
		if err != nil {
			return err
		}
		if resp, err := r.client.Do(q); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	if r.LongBody <= 0 {
		return nil
	}
	resp, err := r.client.Get(fmt.Sprintf("%s/long/%d", r.url, r.LongBody))
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil || n != r.LongBody {
		return fmt.Errorf("the long response: read %d bytes: %w", n, err)
	}
	q, err := http.NewRequest("PUT", r.url+"/long", io.LimitReader(zeros{}, r.LongBody))
	if err != nil {
		return err
	}
	q.ContentLength = r.LongBody
	if resp, err = r.client.Do(q); err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the long PUT: %s", resp.Status)
	}
	return nil
}

// sendRequests sends random requests one after another until ctx ends.
func (r *run) sendRequests(ctx context.Context, client int) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(client)+2))
	for n := 0; ctx.Err() == nil; n++ {
		size := rng.IntN(min(2<<10, r.MaxBody))
		if rng.IntN(4) > 0 {
			size = rng.IntN(r.MaxBody)
		}
		id := fmt.Sprintf("%d-%d", client, n)
		method, target, body := "GET", fmt.Sprintf("/g/%s/%d", id, size), []byte(nil)
		if rng.IntN(2) == 0 {
			method, target, body = "POST", "/p/"+id, r.body[:size]
		}
		r.sendRequest(method, target, id, body, size)
	}
}

// sendRequest sends a request and records its result.
func (r *run) sendRequest(method, target, id string, body []byte, size int) {
	q, err := http.NewRequest(method, r.url+target, bytes.NewReader(body))
	if err != nil {
		panic(err) // the method and the URL are built by this package
	}
	start := time.Now()
	resp, err := r.client.Do(q)
	latency := time.Since(start)
	status, failure, corrupted := 0, "", false
	if err == nil {
		status = resp.StatusCode
		var got []byte
		if got, err = io.ReadAll(resp.Body); status == http.StatusOK && err == nil {
			want := r.body[:size]
			if method == "POST" {
				want = strconv.AppendInt(nil, int64(size), 10)
			}
			corrupted = !bytes.Equal(got, want)
		}
		resp.Body.Close()
	}
	switch {
	case err != nil:
		failure = cause(err)
	case status != http.StatusOK && status != http.StatusServiceUnavailable:
		failure = resp.Status
	}
	key, idle := method+" "+target, false
	for _, n := range r.inProgress {
		idle = idle || n.Load() == 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &r.report
	report.Requests++
	report.MaxLatency = max(report.MaxLatency, latency)
	if method == "POST" {
		r.statuses[id] = status
	}
	switch {
	case corrupted:
		report.Corrupted++
	case failure != "":
		report.OtherFailures[failure]++
	case status == http.StatusServiceUnavailable:
		report.Refused++
		if idle {
			report.RefusedWhileIdle++
		}
		if len(r.waited[key]) == 0 {
			report.RefusalWaits["nothing was observed"]++
		}
		for wait := range r.waited[key] {
			report.RefusalWaits[wait]++
		}
	default:
		report.Served++
	}
	if latency > r.LateThreshold {
		l := LateRequest{Request: key, Latency: latency, Status: status}
		for wait, n := range r.waited[key] {
			l.WaitedFor = append(l.WaitedFor, fmt.Sprintf("%s (seen %d times)", wait, n))
		}
		report.Late = append(report.Late, l)
	}
	delete(r.waited, key)
}

// cause returns the cause of a failed request without the addresses and ports, so that equal causes
// are counted together.
func cause(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}

// watchInterval is how often waiting requests are sampled, and how long a request must have waited
// to be sampled.
const watchInterval = 100 * time.Millisecond

// sampleWaits records what requests wait for, so that the report can explain late requests.
func (r *run) sampleWaits(stop <-chan struct{}) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		for _, w := range r.services.PendingRequests(watchInterval) {
			r.mu.Lock()
			m := r.waited[w.Description]
			if m == nil {
				m = map[string]int{}
				r.waited[w.Description] = m
			}
			m[w.String()]++
			r.mu.Unlock()
		}
	}
}

// evaluate counts the inconsistent results and records the violated requirements.
func (r *run) evaluate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &r.report
	for id, n := range r.executions {
		if n > 1 {
			report.Duplicated++
		}
		if r.statuses[id] == http.StatusServiceUnavailable {
			report.RefusedButRan++
		}
	}
	for id, status := range r.statuses {
		if status == http.StatusOK && r.executions[id] == 0 {
			report.Lost++
		}
	}
	failures := 0
	for _, n := range report.OtherFailures {
		failures += n
	}
	for _, v := range []struct {
		n    int
		what string
	}{
		{len(report.Late), "response heads came late"}, {report.RefusedWhileIdle, "requests were refused while a server was idle"}, {failures, "requests failed"},
		{report.Corrupted, "responses differ from what their server sent"}, {report.Duplicated, "POSTs were executed more than once"}, {report.Lost, "POSTs were lost"},
		{report.RefusedButRan, "POSTs were executed although their clients received 503"},
		{max(0, report.Goroutines[1]-report.Goroutines[0]), "goroutines are left"}, {max(0, report.Descriptors[1]-report.Descriptors[0]), "descriptors are left"},
	} {
		if v.n > 0 {
			report.Violations = append(report.Violations, fmt.Sprintf("%d %s", v.n, v.what))
		}
	}
}

// openDescriptors returns the number of open descriptors of this process.
func openDescriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries)
}

// String returns the report as text.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests, %d served, %d refused (%d while a server was idle), %d reloads, %d pool names; slowest response head %v; goroutines %d to %d, descriptors %d to %d; ends %+v\n",
		r.Requests, r.Served, r.Refused, r.RefusedWhileIdle, r.Reloads, r.Renames+1, r.MaxLatency.Round(time.Millisecond), r.Goroutines[0], r.Goroutines[1], r.Descriptors[0], r.Descriptors[1], r.PoolEnds)
	for wait, n := range r.RefusalWaits {
		fmt.Fprintf(&b, "  refused, %d: %s\n", n, wait)
	}
	for failure, n := range r.OtherFailures {
		fmt.Fprintf(&b, "  %d: %s\n", n, failure)
	}
	for _, l := range r.Late {
		fmt.Fprintf(&b, "  late: %s, %d after %v: %s\n", l.Request, l.Status, l.Latency.Round(time.Millisecond), strings.Join(l.WaitedFor, "; "))
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "  violated: %s\n", v)
	}
	return b.String()
}

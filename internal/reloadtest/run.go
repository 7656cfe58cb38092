// Package reloadtest plays reloads of routes and pools under load: ordinary clients of HTTP, servers that answer at once, a file that is read
// again many times a second and renames its pool now and then. Its account says of each request that came late what it waited for, whether a
// refusal fell while a server had nothing to do, and whether anything was lost, ran twice or is left over.
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

// Options says how a play runs. Zero values take the defaults.
type Options struct {
	Seed       uint64
	For        time.Duration // 10 s
	Clients    int           // at once; 40
	MostBody   int           // of a request or an answer, in bytes; 4 MiB
	Reload     time.Duration // between two reads of the file; 50 ms
	Rename     time.Duration // between two names of the pool; 1 s; negative: it keeps its name
	Retime     bool          // the route has a time of its own at every other read
	Small      int           // exchanges of all statuses before, some broken
	Long       int64         // bytes of one answer and one PUT before; 0: none
	Deadline   time.Duration // of a request; 20 s
	LateAfter  time.Duration // a head later than that counts as late; 1 s
	Descriptor int           // descriptors of the process; 900
	Log        *slog.Logger  // nil: none
}

func (o Options) withDefaults() Options {
	o.For, o.Clients, o.MostBody = cmp.Or(o.For, 10*time.Second), cmp.Or(o.Clients, 40), cmp.Or(o.MostBody, 4<<20)
	o.Reload, o.Rename = cmp.Or(o.Reload, 50*time.Millisecond), cmp.Or(o.Rename, time.Second)
	o.Deadline, o.LateAfter = cmp.Or(o.Deadline, 20*time.Second), cmp.Or(o.LateAfter, time.Second)
	o.Descriptor = cmp.Or(o.Descriptor, 900)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}

// Late is a request whose head came late, or never.
type Late struct {
	What   string        // method and target
	After  time.Duration // until its head, or its end without one
	Status int           // 0: none came
	For    []string      // what it was seen waiting for, each with how often
}

// Report is the account of a play.
type Report struct {
	Requests, Served int
	Reloads, Renames int
	Slowest          time.Duration // until a head
	Late             []Late
	Refused          int                      // 503
	Idle             int                      // of them, while a server had nothing to do
	RefusedFor       map[string]int           // what those that were refused were seen waiting for
	Other            map[string]int           // what else ended a request, by what it was
	Spoilt           int                      // answers that were not what their server sent
	Twice            int                      // POSTs that ran more than once
	Lost             int                      // POSTs that were answered as served and never ran
	Denied           int                      // POSTs that were refused, which says that nothing ran, and ran
	Ended            services.RetirementStats // how pools that were taken out ended what they held
	Goroutines       [2]int                   // before and after, with the services at work
	Descriptors      [2]int
	Broken           []string // what must not be, in words
}

// settleTime is how soon after the last request goroutines and descriptors are to be as few as before the first.
const settleTime = 3 * time.Second

// play is one under way.
type play struct {
	Options
	body     []byte // from which all bodies are cut
	busy     []*atomic.Int64
	services *services.Services
	url      string
	client   *http.Client

	mu     sync.Mutex
	ran    map[string]int // POSTs, by their number
	told   map[string]int // their statuses
	waited map[string]map[string]int
	report Report
}

// Run plays once and returns the account. An error is one of the play itself.
func Run(ctx context.Context, o Options) (*Report, error) {
	p := &play{Options: o.withDefaults(), ran: map[string]int{}, told: map[string]int{}, waited: map[string]map[string]int{}}
	p.report.Other, p.report.RefusedFor = map[string]int{}, map[string]int{}
	p.body = make([]byte, p.MostBody)
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	for i := range p.body {
		p.body[i] = byte(rng.Uint32())
	}
	if err := p.run(ctx); err != nil {
		return nil, err
	}
	p.judge()
	return &p.report, nil
}

func (p *play) run(ctx context.Context) error {
	var addrs []string
	for i := range 2 {
		p.busy = append(p.busy, &atomic.Int64{})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		srv := &http.Server{Handler: p.server(i), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
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
	read := func(n, name int) (config.Operator, error) {
		if err := os.WriteFile(path, []byte(p.file(addrs, n, name)), 0o600); err != nil {
			return config.Operator{}, err
		}
		return config.LoadOperator(path)
	}
	op, err := read(0, 0)
	if err != nil {
		return err
	}
	budget := sockets.New(p.Descriptor)
	if p.services, err = services.New(op.Services, op.Routes, 64<<20, budget, p.Log); err != nil {
		return err
	}
	defer p.services.Close()
	budget.OnShortage(p.services.EvictIdle, p.services.EvictClient)
	if err := p.services.Listen(); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- p.services.Serve() }()
	defer func() { p.services.Close(); <-served }()
	p.url = "http://" + p.services.Addr("front")
	tr := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: p.Clients}
	defer tr.CloseIdleConnections()
	p.client = &http.Client{Transport: tr, Timeout: p.Deadline + 10*time.Second}
	resp, err := p.client.Get(p.url + "/.ready") // which no server is asked: all that serves runs by now
	if err != nil {
		return err
	}
	resp.Body.Close()
	tr.CloseIdleConnections()
	r := &p.report
	for same := 0; same < 5; time.Sleep(10 * time.Millisecond) {
		if now := [2]int{runtime.NumGoroutine(), descriptors()}; now[0] == r.Goroutines[0] && now[1] == r.Descriptors[0] {
			same++
		} else {
			same, r.Goroutines[0], r.Descriptors[0] = 0, now[0], now[1]
		}
	}
	if err := p.before(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.For)
	defer cancel()
	var work, watch sync.WaitGroup
	stop := make(chan struct{})
	watch.Go(func() { p.watch(stop) })
	for i := range p.Clients {
		work.Go(func() { p.ask(ctx, i) })
	}
	err = p.reload(ctx, read)
	cancel()
	work.Wait()
	close(stop)
	watch.Wait()
	tr.CloseIdleConnections()
	for until := time.Now().Add(settleTime); ; time.Sleep(20 * time.Millisecond) { // while the services run
		r.Goroutines[1], r.Descriptors[1], r.Ended = runtime.NumGoroutine(), descriptors(), p.services.RetirementStats()
		if r.Goroutines[1] <= r.Goroutines[0] && r.Descriptors[1] <= r.Descriptors[0] || time.Now().After(until) {
			return err
		}
	}
}

// file is the operator's file of the n-th read.
func (p *play) file(addrs []string, n, name int) string {
	pool := []string{"web", "web2"}[name%2]
	timeout := ""
	if p.Retime && n%2 == 1 {
		timeout = fmt.Sprintf("timeout = %q\n", p.Deadline/2)
	}
	return fmt.Sprintf("[[pools]]\nname = %q\nservers = [{addr = %q}, {addr = %q}]\nidle = \"1s\"\n[[pools.classes]]\nname = \"any\"\neffect = \"by-request\"\n"+
		"aim = \"1s\"\ndeadline = %q\nlate_share = 0.5\n[[routes]]\nname = \"all\"\nclass = \"any\"\npool = %q\n%s[[http]]\nname = \"front\"\nlisten = \"127.0.0.1:0\"\nhealth = \"/.ready\"\n",
		pool, addrs[0], addrs[1], p.Deadline, pool, timeout)
}

func (p *play) reload(ctx context.Context, read func(n, name int) (config.Operator, error)) error {
	tick := time.NewTicker(p.Reload)
	defer tick.Stop()
	began := time.Now()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		name := 0
		if p.Rename > 0 {
			name = int(time.Since(began) / p.Rename)
		}
		op, err := read(n, name)
		if err != nil {
			return err
		}
		if err := p.services.Check(op.Services, op.Routes); err != nil {
			return err
		}
		if _, err := p.services.Reload(op.Services, op.Routes); err != nil {
			return err
		}
		p.report.Reloads, p.report.Renames = n, name
	}
}

// server answers at once: GET /g/ID/SIZE with so many bytes, POST /p/ID once its body has come, /s/STATUS with that, /cut by an answer that
// breaks off, /long/SIZE with zeros.
func (p *play) server(i int) http.Handler {
	mux := http.NewServeMux()
	size := func(q *http.Request) int64 {
		n, _ := strconv.ParseInt(q.PathValue("n"), 10, 64)
		return n
	}
	mux.HandleFunc("GET /g/{id}/{n}", func(w http.ResponseWriter, q *http.Request) { w.Write(p.body[:size(q)]) })
	mux.HandleFunc("POST /p/{id}", func(w http.ResponseWriter, q *http.Request) {
		n, err := io.Copy(io.Discard, q.Body)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.ran[q.PathValue("id")]++
		p.mu.Unlock()
		fmt.Fprint(w, n)
	})
	mux.HandleFunc("/s/{n}", func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		w.WriteHeader(int(size(q)))
	})
	mux.HandleFunc("/cut", func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Length", "100")
		w.Write(p.body[:10])
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("GET /long/{n}", func(w http.ResponseWriter, q *http.Request) { io.CopyN(w, zeros{}, size(q)) })
	mux.HandleFunc("PUT /long", func(w http.ResponseWriter, q *http.Request) { io.Copy(io.Discard, q.Body) })
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		p.busy[i].Add(1)
		defer p.busy[i].Add(-1)
		mux.ServeHTTP(w, q)
	})
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// before has the first pool see what ordinary traffic brings: all statuses, broken answers, long bodies both ways.
func (p *play) before() error {
	for i := range p.Small {
		method := []string{"GET", "POST", "PUT", "DELETE", "HEAD"}[i%5]
		target := fmt.Sprintf("/s/%d", []int{200, 201, 204, 304, 400, 404, 500, 502, 503}[i%9])
		if i%37 == 0 {
			method, target = "GET", "/cut"
		}
		q, err := http.NewRequest(method, p.url+target, nil)
		if err != nil {
			return err
		}
		if resp, err := p.client.Do(q); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	if p.Long <= 0 {
		return nil
	}
	resp, err := p.client.Get(fmt.Sprintf("%s/long/%d", p.url, p.Long))
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil || n != p.Long {
		return fmt.Errorf("the long answer: %d bytes, %w", n, err)
	}
	q, err := http.NewRequest("PUT", p.url+"/long", io.LimitReader(zeros{}, p.Long))
	if err != nil {
		return err
	}
	q.ContentLength = p.Long
	if resp, err = p.client.Do(q); err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the long PUT: %s", resp.Status)
	}
	return nil
}

// ask sends one request after another until ctx ends.
func (p *play) ask(ctx context.Context, client int) {
	rng := rand.New(rand.NewPCG(p.Seed, uint64(client)+2))
	for n := 0; ctx.Err() == nil; n++ {
		size := rng.IntN(min(2<<10, p.MostBody))
		if rng.IntN(4) > 0 {
			size = rng.IntN(p.MostBody)
		}
		id := fmt.Sprintf("%d-%d", client, n)
		method, target, body := "GET", fmt.Sprintf("/g/%s/%d", id, size), []byte(nil)
		if rng.IntN(2) == 0 {
			method, target, body = "POST", "/p/"+id, p.body[:size]
		}
		p.one(method, target, id, body, size)
	}
}

// one sends a request and notes what became of it.
func (p *play) one(method, target, id string, body []byte, size int) {
	q, err := http.NewRequest(method, p.url+target, bytes.NewReader(body))
	if err != nil {
		panic(err) // of the play's own
	}
	began := time.Now()
	resp, err := p.client.Do(q)
	after := time.Since(began)
	status, what, spoilt := 0, "", false
	if err == nil {
		status = resp.StatusCode
		var got []byte
		if got, err = io.ReadAll(resp.Body); status == http.StatusOK && err == nil {
			want := p.body[:size]
			if method == "POST" {
				want = strconv.AppendInt(nil, int64(size), 10)
			}
			spoilt = !bytes.Equal(got, want)
		}
		resp.Body.Close()
	}
	switch {
	case err != nil:
		what = cause(err)
	case status != http.StatusOK && status != http.StatusServiceUnavailable:
		what = resp.Status
	}
	key, idle := method+" "+target, false
	for _, b := range p.busy {
		idle = idle || b.Load() == 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &p.report
	r.Requests++
	r.Slowest = max(r.Slowest, after)
	if method == "POST" {
		p.told[id] = status
	}
	switch {
	case spoilt:
		r.Spoilt++
	case what != "":
		r.Other[what]++
	case status == http.StatusServiceUnavailable:
		r.Refused++
		if idle {
			r.Idle++
		}
		if len(p.waited[key]) == 0 {
			r.RefusedFor["nothing that was seen"]++
		}
		for why := range p.waited[key] {
			r.RefusedFor[why]++
		}
	default:
		r.Served++
	}
	if after > p.LateAfter {
		l := Late{What: key, After: after, Status: status}
		for why, n := range p.waited[key] {
			l.For = append(l.For, fmt.Sprintf("%s (seen %d times)", why, n))
		}
		r.Late = append(r.Late, l)
	}
	delete(p.waited, key)
}

// cause is what ended an exchange, without what differs from one to the next.
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

// lookEvery is how often requests are asked what they wait for, and how long they have waited then at least.
const lookEvery = 100 * time.Millisecond

// watch asks what requests wait for, so that one that comes late can be told by it.
func (p *play) watch(stop <-chan struct{}) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		for _, w := range p.services.PendingRequests(lookEvery) {
			p.mu.Lock()
			m := p.waited[w.Description]
			if m == nil {
				m = map[string]int{}
				p.waited[w.Description] = m
			}
			m[w.String()]++
			p.mu.Unlock()
		}
	}
}

// judge says what must not be.
func (p *play) judge() {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &p.report
	for id, n := range p.ran {
		if n > 1 {
			r.Twice++
		}
		if p.told[id] == http.StatusServiceUnavailable {
			r.Denied++
		}
	}
	for id, status := range p.told {
		if status == http.StatusOK && p.ran[id] == 0 {
			r.Lost++
		}
	}
	others := 0
	for _, n := range r.Other {
		others += n
	}
	for _, v := range []struct {
		n    int
		what string
	}{
		{len(r.Late), "heads came late"}, {r.Idle, "requests were refused while a server was idle"}, {others, "requests failed"},
		{r.Spoilt, "answers were not what their server sent"}, {r.Twice, "POSTs ran twice"}, {r.Lost, "POSTs were lost"},
		{r.Denied, "POSTs ran though their clients were told that nothing did"},
		{max(0, r.Goroutines[1]-r.Goroutines[0]), "goroutines are left"}, {max(0, r.Descriptors[1]-r.Descriptors[0]), "descriptors are left"},
	} {
		if v.n > 0 {
			r.Broken = append(r.Broken, fmt.Sprintf("%d %s", v.n, v.what))
		}
	}
}

// descriptors is how many this process has open.
func descriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries)
}

// String is the account in words.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests, %d served, %d refused (%d beside an idle server), %d reloads, %d names; slowest head %v; goroutines %d to %d, descriptors %d to %d; ends %+v\n",
		r.Requests, r.Served, r.Refused, r.Idle, r.Reloads, r.Renames+1, r.Slowest.Round(time.Millisecond), r.Goroutines[0], r.Goroutines[1], r.Descriptors[0], r.Descriptors[1], r.Ended)
	for why, n := range r.RefusedFor {
		fmt.Fprintf(&b, "  refused, %d: %s\n", n, why)
	}
	for what, n := range r.Other {
		fmt.Fprintf(&b, "  %d: %s\n", n, what)
	}
	for _, l := range r.Late {
		fmt.Fprintf(&b, "  late: %s, %d after %v: %s\n", l.What, l.Status, l.After.Round(time.Millisecond), strings.Join(l.For, "; "))
	}
	for _, v := range r.Broken {
		fmt.Fprintf(&b, "  must not be: %s\n", v)
	}
	return b.String()
}

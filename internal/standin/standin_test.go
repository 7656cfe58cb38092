package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quillfront/internal/discovery"
	"quillfront/internal/engine"
	"quillfront/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitTimeout = 20 * time.Second

var classes = []policy.Class{
	{Name: "read", Effect: policy.Safe},
	{Name: "order", Effect: policy.Keyed, KeyTTL: 200 * time.Millisecond},
	{Name: "cell", Effect: policy.Keyed, Group: policy.GroupCell, KeyTTL: time.Hour},
}

func newFleet(t *testing.T, lag time.Duration) *Fleet {
	t.Helper()
	f, err := NewFleet(classes, 1, lag)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func startTestServer(t *testing.T, f *Fleet, cfg ServerConfig) *Server {
	t.Helper()
	s, err := f.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// post sends a POST request. The status is 0 if there is no valid response.
func post(s *Server, class, key string, header ...string) (status int, resp *http.Response) {
	q, err := http.NewRequest(http.MethodPost, "http://"+s.Addr()+"/"+class+"/k", strings.NewReader("x"))
	if err != nil {
		panic(err)
	}
	q.Header.Set("Idempotency-Key", key)
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	q.Close = true
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	resp, err = client.Do(q)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, resp
}

// TestFaults checks for each fault the response and whether the request is executed.
func TestFaults(t *testing.T) {
	for _, tt := range []struct {
		fault    Fault
		status   int
		executed int
	}{{NoFault, 200, 1}, {ServerError, 500, 0}, {Reject, 503, 0}, {MalformedReply, 0, 1}, {ResetConnection, 0, 1}, {NoReply, 0, 1}} {
		f := newFleet(t, 0)
		s := startTestServer(t, f, ServerConfig{ID: "a", Script: func(int, *http.Request) Fault { return tt.fault }})
		status, resp := post(s, "order", "k")
		if status != tt.status || f.Executions("order", "k") != tt.executed {
			t.Errorf("fault %d: status %d, executed %d times", tt.fault, status, f.Executions("order", "k"))
		}
		if tt.fault == Reject && resp.Header.Get("X-Not-Processed") != "1" {
			t.Error("the response lacks X-Not-Processed: 1")
		}
		f.Close()
	}
}

// TestKeyDeduplication checks that repeats of a key are not executed within the key's lifetime and
// group, and are executed outside of them.
func TestKeyDeduplication(t *testing.T) {
	f := newFleet(t, 0)
	a, b := startTestServer(t, f, ServerConfig{ID: "a", Cell: 1}), startTestServer(t, f, ServerConfig{ID: "b", Cell: 2})
	post(a, "order", "k")
	post(b, "order", "k")
	if n := f.Executions("order", "k"); n != 1 {
		t.Errorf("executed %d times within the key's lifetime, want 1", n)
	}
	time.Sleep(300 * time.Millisecond)
	post(a, "order", "k")
	if n := f.Executions("order", "k"); n != 2 {
		t.Errorf("executed %d times across the key's lifetime, want 2", n)
	}
	post(a, "cell", "k")
	post(a, "cell", "k")
	post(b, "cell", "k")
	if n := f.Executions("cell", "k"); n != 2 {
		t.Errorf("executed %d times in two cells, want 2", n)
	}
	if e := f.Effects(); e.Keys != 2 || e.Duplicates != 2 || e.Deduplicated != 2 {
		t.Errorf("effects %+v", e)
	}
}

// TestFullQueueRejects checks that a server with busy cores and a full queue rejects requests, that
// it reports its queue to a probe, and that it goes on with requests whose clients have left.
func TestFullQueueRejects(t *testing.T) {
	f := newFleet(t, 0)
	s := startTestServer(t, f, ServerConfig{ID: "a", Cores: 1, QueueSize: 2, ServiceTime: time.Minute})
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() { post(s, "read", "k") }) // until the client times out; the server goes on
	}
	for end := time.Now().Add(waitTimeout); s.inProgress.Load() < 3 || s.queued.Load() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d in progress, %d queued", s.inProgress.Load(), s.queued.Load())
		}
	}
	resp, err := http.Get("http://" + s.Addr() + "/load")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	if string(text) != "TEXT eps=0, queue=2" {
		t.Errorf("report %q", text)
	}
	if status, _ := post(s, "read", "k"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d of the fourth request", status)
	}
	wg.Wait()
	if n := s.inProgress.Load(); n != 3 {
		t.Errorf("%d requests in progress after their clients have left, want 3: a cancel must not stop them", n)
	}
}

// TestColdServerOverload checks that a cold server that receives far more work than its capacity is
// overloaded from then on, and that a warm one is not.
func TestColdServerOverload(t *testing.T) {
	f := newFleet(t, 0)
	cold := startTestServer(t, f, ServerConfig{ID: "cold", Cold: true, Cores: 1, QueueSize: 1000, ServiceTimeFromCost: true})
	warm := startTestServer(t, f, ServerConfig{ID: "warm", Cores: 1, QueueSize: 1000, ServiceTimeFromCost: true})
	for _, s := range []*Server{cold, warm} {
		for range 40 { // 40 x 100 ms of work in far less than a second; the limit is 0.8 s
			s.admit(request("X-Cost", "100000"))
		}
	}
	if !cold.Counts().Overloaded || warm.Counts().Overloaded {
		t.Errorf("cold %+v, warm %+v", cold.Counts(), warm.Counts())
	}
	if status, _ := post(cold, "read", "k"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d of the overloaded server", status)
	}
}

func request(header ...string) *http.Request {
	q, err := http.NewRequest(http.MethodGet, "/read/k", nil)
	if err != nil {
		panic(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	return q
}

// TestDiscovery checks that a watch receives changes in order and after the lag, that one that
// resumes receives what it missed, and that watches end and requests fail while discovery is down.
func TestDiscovery(t *testing.T) {
	f := newFleet(t, 0)
	s := startTestServer(t, f, ServerConfig{ID: "a", Zone: "z", Cell: 3})
	client := discovery.Client{Addr: f.Discovery.Addr()}
	received := make(chan engine.List, 100)
	watch := func(since int64) (stop context.CancelFunc, ended chan error) {
		ctx, cancel := context.WithCancel(t.Context())
		ended = make(chan error, 1)
		go func() { ended <- client.Watch(ctx, since, func(l engine.List) { received <- l }) }()
		return cancel, ended
	}
	next := func(what string) engine.List {
		t.Helper()
		select {
		case l := <-received:
			return l
		case <-time.After(waitTimeout):
			t.Fatalf("no %s", what)
			panic("unreachable")
		}
	}
	stop, ended := watch(engine.UnknownSeq)
	l := next("complete list")
	if !l.Full || len(l.Servers) != 1 || l.Servers[0].ID != "a" || l.Servers[0].Cell != 3 || l.Servers[0].Addr != s.Addr() {
		t.Errorf("list %+v", l)
	}
	f.Discovery.SetLag(100 * time.Millisecond)
	start := time.Now()
	f.Drain(s)
	d := next("change")
	if d.Full || len(d.Servers) != 1 || d.Servers[0].State != policy.Draining || d.Seq != l.Seq+1 {
		t.Errorf("change %+v", d)
	}
	if time.Since(start) < 100*time.Millisecond {
		t.Error("the change was published before its lag")
	}
	stop()
	<-ended
	f.Discovery.SetLag(0)
	f.Kill(s)
	stop, ended = watch(d.Seq)
	if m := next("missed change"); m.Full || len(m.Servers) != 1 || m.Servers[0].State != policy.Gone {
		t.Errorf("missed %+v", m)
	}
	f.Discovery.SetDown(true)
	if err := <-ended; err == nil {
		t.Error("the watch ended without an error while discovery is down")
	}
	stop()
	if err := client.Watch(t.Context(), engine.UnknownSeq, func(engine.List) {}); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("a request while discovery is down: %v", err)
	}
	f.Discovery.SetDown(false)
	for range maxHistory + 10 {
		f.Discovery.Update(engine.Server{ID: "x", Addr: "127.0.0.1:1"}, nil)
	}
	stop, ended = watch(d.Seq)
	if l := next("complete list for a watch that is older than the history"); !l.Full {
		t.Errorf("list of %d changes", len(l.Servers))
	}
	stop()
	<-ended
}

// TestLateSends checks that only requests that a server receives more than 2 s, plus 50 ms for
// delays, after discovery has published its drain count as late.
func TestLateSends(t *testing.T) {
	f := newFleet(t, 0)
	s := startTestServer(t, f, ServerConfig{ID: "a"})
	f.ListDraining(s)
	SendRequest(s)
	if n := s.Counts().Late; n != 0 {
		t.Errorf("%d late requests within the grace period", n)
	}
	s.mu.Lock()
	s.drainListedAt = s.drainListedAt.Add(-drainGrace)
	s.mu.Unlock()
	SendRequest(s)
	if n := s.Counts(); n.Late != 1 || n.Requests != 2 {
		t.Errorf("counts %+v", n)
	}
}

// TestServerNeedsID checks that a server without an ID is rejected.
func TestServerNeedsID(t *testing.T) {
	if _, err := newFleet(t, 0).Start(ServerConfig{}); err == nil {
		t.Error("a server without an ID was started")
	}
	if got := fmt.Sprint(newFleet(t, 0)); got != "" {
		t.Errorf("an empty fleet is printed as %q", got)
	}
}

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

const patience = 20 * time.Second

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

func box(t *testing.T, f *Fleet, cfg ServerConfig) *Server {
	t.Helper()
	b, err := f.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// ask sends a request; status is 0 without an answer that can be read.
func ask(b *Server, class, key string, header ...string) (status int, resp *http.Response) {
	q, err := http.NewRequest(http.MethodPost, "http://"+b.Addr()+"/"+class+"/k", strings.NewReader("x"))
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

// TestFaults: each fault does what it says, and is executed or not as it says.
func TestFaults(t *testing.T) {
	for _, tt := range []struct {
		fault    Fault
		status   int
		executed int
	}{{NoFault, 200, 1}, {ServerError, 500, 0}, {Reject, 503, 0}, {MalformedReply, 0, 1}, {ResetConnection, 0, 1}, {NoReply, 0, 1}} {
		f := newFleet(t, 0)
		b := box(t, f, ServerConfig{ID: "a", Script: func(int, *http.Request) Fault { return tt.fault }})
		status, resp := ask(b, "order", "k")
		if status != tt.status || f.Executions("order", "k") != tt.executed {
			t.Errorf("fault %d: status %d, executed %d times", tt.fault, status, f.Executions("order", "k"))
		}
		if tt.fault == Reject && resp.Header.Get("X-Not-Processed") != "1" {
			t.Error("it does not say that it has not run")
		}
		f.Close()
	}
}

// TestMemoryOfKeys: repeats are dropped within the window and the group, and executed beyond.
func TestMemoryOfKeys(t *testing.T) {
	f := newFleet(t, 0)
	a, b := box(t, f, ServerConfig{ID: "a", Cell: 1}), box(t, f, ServerConfig{ID: "b", Cell: 2})
	ask(a, "order", "k")
	ask(b, "order", "k")
	if n := f.Executions("order", "k"); n != 1 {
		t.Errorf("executed %d times within the window, want 1", n)
	}
	time.Sleep(300 * time.Millisecond)
	ask(a, "order", "k")
	if n := f.Executions("order", "k"); n != 2 {
		t.Errorf("executed %d times beyond the window, want 2", n)
	}
	ask(a, "cell", "k")
	ask(a, "cell", "k")
	ask(b, "cell", "k")
	if n := f.Executions("cell", "k"); n != 2 {
		t.Errorf("executed %d times in two cells, want 2", n)
	}
	if e := f.Effects(); e.Keys != 2 || e.Duplicates != 2 || e.Deduplicated != 2 {
		t.Errorf("effects %+v", e)
	}
}

// TestWaitingRoom: beyond its cores and its waiting room a box turns away unseen, and tells its queue when probed.
func TestWaitingRoom(t *testing.T) {
	f := newFleet(t, 0)
	b := box(t, f, ServerConfig{ID: "a", Cores: 1, QueueSize: 2, ServiceTime: time.Minute})
	var asked sync.WaitGroup
	for range 3 {
		asked.Go(func() { ask(b, "read", "k") }) // until its client gives up: the box works on
	}
	for end := time.Now().Add(patience); b.held.Load() < 3 || b.waiting.Load() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d held, %d waiting", b.held.Load(), b.waiting.Load())
		}
	}
	resp, err := http.Get("http://" + b.Addr() + "/load")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	if string(text) != "TEXT eps=0, queue=2" {
		t.Errorf("report %q", text)
	}
	if status, _ := ask(b, "read", "k"); status != http.StatusServiceUnavailable {
		t.Errorf("the fourth: %d", status)
	}
	asked.Wait()
	if n := b.held.Load(); n != 3 {
		t.Errorf("%d held once their clients have left: a cancel must stop nothing", n)
	}
}

// TestColdBoxFalls: one that is sent far more than it can do falls over and stays down; a warm one does not.
func TestColdBoxFalls(t *testing.T) {
	f := newFleet(t, 0)
	cold := box(t, f, ServerConfig{ID: "cold", Cold: true, Cores: 1, QueueSize: 1000, ServiceTimeFromCost: true})
	warm := box(t, f, ServerConfig{ID: "warm", Cores: 1, QueueSize: 1000, ServiceTimeFromCost: true})
	for _, b := range []*Server{cold, warm} {
		for range 40 { // 40 x 100 ms of work in far less than a second, where 0.8 s is the bound
			b.arrive(request("X-Cost", "100000"))
		}
	}
	if !cold.Counts().Overloaded || warm.Counts().Overloaded {
		t.Errorf("cold %+v, warm %+v", cold.Counts(), warm.Counts())
	}
	if status, _ := ask(cold, "read", "k"); status != http.StatusServiceUnavailable {
		t.Errorf("it answers %d after its fall", status)
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

// TestDiscovery: a watch is told of changes, after the lag, in order; one that comes back gets what it missed; while
// discovery is down watches end.
func TestDiscovery(t *testing.T) {
	f := newFleet(t, 0)
	b := box(t, f, ServerConfig{ID: "a", Zone: "z", Cell: 3})
	client := discovery.Client{Addr: f.Discovery.Addr()}
	told := make(chan engine.List, 100)
	watch := func(since int64) (stop context.CancelFunc, over chan error) {
		ctx, cancel := context.WithCancel(t.Context())
		over = make(chan error, 1)
		go func() { over <- client.Watch(ctx, since, func(l engine.List) { told <- l }) }()
		return cancel, over
	}
	next := func(what string) engine.List {
		t.Helper()
		select {
		case l := <-told:
			return l
		case <-time.After(patience):
			t.Fatalf("no %s", what)
			panic("unreachable")
		}
	}
	stop, over := watch(engine.UnknownSeq)
	l := next("whole list")
	if !l.Full || len(l.Servers) != 1 || l.Servers[0].ID != "a" || l.Servers[0].Cell != 3 || l.Servers[0].Addr != b.Addr() {
		t.Errorf("list %+v", l)
	}
	f.Discovery.SetLag(100 * time.Millisecond)
	at := time.Now()
	f.Drain(b)
	d := next("change")
	if d.Full || len(d.Servers) != 1 || d.Servers[0].State != policy.Draining || d.Seq != l.Seq+1 {
		t.Errorf("change %+v", d)
	}
	if time.Since(at) < 100*time.Millisecond {
		t.Error("it came before its lag")
	}
	stop()
	<-over
	f.Discovery.SetLag(0)
	f.Kill(b)
	stop, over = watch(d.Seq)
	if m := next("what was missed"); m.Full || len(m.Servers) != 1 || m.Servers[0].State != policy.Gone {
		t.Errorf("missed %+v", m)
	}
	f.Discovery.SetDown(true)
	if err := <-over; err == nil {
		t.Error("the watch goes on while discovery is down")
	}
	stop()
	if err := client.Watch(t.Context(), engine.UnknownSeq, func(engine.List) {}); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("a call while it is down: %v", err)
	}
	f.Discovery.SetDown(false)
	for range mostHistory + 10 {
		f.Discovery.Update(engine.Server{ID: "x", Addr: "127.0.0.1:1"}, nil)
	}
	stop, over = watch(d.Seq)
	if l := next("whole list in place of a history that is gone"); !l.Full {
		t.Errorf("list of %d changes", len(l.Servers))
	}
	stop()
	<-over
}

// TestLateSends: what comes to a box later than 2 s after discovery told of its drain counts as late, and nothing before.
func TestLateSends(t *testing.T) {
	f := newFleet(t, 0)
	b := box(t, f, ServerConfig{ID: "a"})
	f.ListDraining(b)
	SendRequest(b)
	if n := b.Counts().Late; n != 0 {
		t.Errorf("%d late within the grace", n)
	}
	b.mu.Lock()
	b.toldAt = b.toldAt.Add(-drainGrace)
	b.mu.Unlock()
	SendRequest(b)
	if n := b.Counts(); n.Late != 1 || n.Requests != 2 {
		t.Errorf("counts %+v", n)
	}
}

// TestBadBox: a box needs a name.
func TestBadBox(t *testing.T) {
	if _, err := newFleet(t, 0).Start(ServerConfig{}); err == nil {
		t.Error("a box without a name is taken")
	}
	if got := fmt.Sprint(newFleet(t, 0)); got != "" {
		t.Errorf("an empty fleet is %q", got)
	}
}

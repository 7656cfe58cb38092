package engine

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quillfront/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

// fakeTransport is a transport whose attempts end when the test calls finish, or when they are
// canceled.
type fakeTransport struct {
	started       chan *Attempt
	mu            sync.Mutex
	end           map[*Attempt]chan AttemptResult
	hungUp        []Endpoint
	ignoresCancel bool // attempts continue after they are canceled
}

func newFakeTransport() *fakeTransport {
	return &fakeTransport{started: make(chan *Attempt, 100), end: map[*Attempt]chan AttemptResult{}}
}

func (f *fakeTransport) Do(a *Attempt, _ Endpoint) AttemptResult {
	end, stop := make(chan AttemptResult, 1), make(chan struct{})
	f.mu.Lock()
	f.end[a] = end
	f.mu.Unlock()
	if !a.OnCancel(sync.OnceFunc(func() {
		if !f.ignoresCancel {
			close(stop)
		}
	})) {
		return AttemptResult{Status: policy.Canceled}
	}
	f.started <- a
	select {
	case e := <-end:
		return e
	case <-stop:
		return AttemptResult{Status: policy.Canceled}
	}
}

func (f *fakeTransport) Probe(context.Context, Endpoint) (policy.Status, *policy.Load) {
	return policy.OK, nil
}

func (f *fakeTransport) CloseIdle(to Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hungUp = append(f.hungUp, to)
}

// finish ends attempt a with result e.
func (f *fakeTransport) finish(a *Attempt, e AttemptResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end[a] <- e
}

func receive[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

func fullList(ids ...string) List {
	l := List{Seq: 1, Full: true}
	for _, id := range ids {
		l.Servers = append(l.Servers, Server{ID: policy.ServerID(id), Addr: id + ":1", Weight: 1})
	}
	return l
}

func startEngine(t *testing.T, ids ...string) (*Engine, *fakeTransport) {
	t.Helper()
	cfg := policy.Config{
		GroupSize: 1, MaxAttempts: 2, MayCancel: true, Tick: time.Millisecond, ListPushed: true, DialTimeout: time.Millisecond,
		Classes: []policy.Class{
			{Name: "safe", Aim: 9 * time.Second, Deadline: 10 * time.Second, Worth: 1},
			{Name: "unsafe", Effect: policy.Unsafe, Aim: 9 * time.Second, Deadline: 10 * time.Second, Worth: 1},
		},
	}
	m, err := policy.New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	f, l := newFakeTransport(), fullList(ids...)
	e := New(Options{Config: cfg, Module: m, Transport: f, CachedList: &l, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(e.Close)
	return e, f
}

// submit submits a request. released is closed when the engine releases its payload.
func submit(t *testing.T, e *Engine, class, name string) (r *Request, released chan struct{}) {
	t.Helper()
	released = make(chan struct{})
	r = &Request{Class: class, ExternalID: name, Timeout: 10 * time.Second, Payload: "payload", Release: func() { close(released) }}
	if err := e.Submit(r, e.Now()); err != nil {
		t.Fatal(err)
	}
	return r, released
}

// TestOneResult verifies that a served request gets exactly one result, and that its payload is
// released once.
func TestOneResult(t *testing.T) {
	e, f := startEngine(t, "a")
	r, released := submit(t, e, "safe", "n")
	a := receive(t, "attempt", f.started)
	if a.Payload() != "payload" || a.Server != "a" || a.Number != 0 || a.ExternalID() != "n" {
		t.Errorf("attempt %+v", a)
	}
	if err := e.Submit(&Request{Class: "safe", ExternalID: "n", Timeout: time.Second}, e.Now()); !errors.Is(err, ErrDuplicateID) {
		t.Errorf("same ExternalID while open: error %v, want ErrDuplicateID", err)
	}
	f.finish(a, AttemptResult{Status: policy.OK, Reply: "reply"})
	if got := receive(t, "result", r.Result()); got.Kind != Served || got.Reply != "reply" || got.Server != "a" || got.Attempts != 1 {
		t.Errorf("result %+v", got)
	}
	receive(t, "release", released)
	if e.Withdraw(r) || len(r.Result()) > 0 {
		t.Error("the request is still open, or has a second result")
	}
	if s := e.Snapshot(); s.Open != 0 || s.Retained != 0 || s.Accepted != 1 {
		t.Errorf("snapshot %+v", s)
	}
}

// TestRetryAfterError verifies that after an error a safe request is retried at another server, and
// that an unsafe one fails without a retry.
func TestRetryAfterError(t *testing.T) {
	e, f := startEngine(t, "a", "b")
	r, _ := submit(t, e, "safe", "")
	first := receive(t, "attempt", f.started)
	f.finish(first, AttemptResult{Status: policy.Reset})
	second := receive(t, "second attempt", f.started)
	if second.Server == first.Server || second.Number != 1 {
		t.Errorf("second attempt has number %d and server %s; the first was at %s", second.Number, second.Server, first.Server)
	}
	f.finish(second, AttemptResult{Status: policy.OK})
	if got := receive(t, "result", r.Result()); got.Kind != Served || got.Attempts != 2 {
		t.Errorf("result %+v", got)
	}
	r, _ = submit(t, e, "unsafe", "")
	f.finish(receive(t, "attempt", f.started), AttemptResult{Status: policy.Reset})
	if got := receive(t, "result", r.Result()); got.Kind != Failed || got.Attempts != 1 || got.LastStatus != policy.Reset {
		t.Errorf("result %+v", got)
	}
	if len(f.started) > 0 {
		t.Error("an unsafe request that may have run was sent again")
	}
}

// TestNotRun verifies that Result.NotRun is set only if no attempt is in flight and every attempt
// provably was not executed.
func TestNotRun(t *testing.T) {
	e, f := startEngine(t, "a", "b")
	r, _ := submit(t, e, "unsafe", "")
	f.finish(receive(t, "attempt", f.started), AttemptResult{Status: policy.ConnectFailed})
	second := receive(t, "second attempt", f.started)
	e.RunAsEvent(func(_ policy.Time, act policy.Actions) { act.Fail(r.id) })
	if got := receive(t, "result", r.Result()); got.NotRun || got.Attempts != 2 || got.LastStatus != policy.ConnectFailed {
		t.Errorf("with an attempt in flight: result %+v", got)
	}
	f.finish(second, AttemptResult{Status: policy.Timeout})
	for _, status := range []policy.Status{policy.ConnectFailed, policy.Reset} {
		r, _ = submit(t, e, "unsafe", "")
		a := receive(t, "attempt", f.started)
		f.finish(a, AttemptResult{Status: status})
		if status.NotRun() {
			f.finish(receive(t, "second attempt", f.started), AttemptResult{Status: status})
		}
		if got := receive(t, "result", r.Result()); got.NotRun != status.NotRun() {
			t.Errorf("after %v: result %+v", status, got)
		}
	}
}

// TestWithdraw verifies that withdrawing a request cancels its attempt, releases the payload once
// the attempt has ended, and yields no result.
func TestWithdraw(t *testing.T) {
	e, f := startEngine(t, "a")
	r, released := submit(t, e, "safe", "n")
	receive(t, "attempt", f.started)
	if !e.Withdraw(r) || e.Withdraw(r) {
		t.Error("Withdraw of an open request returned false, or a second Withdraw returned true")
	}
	receive(t, "release", released)
	if len(r.Result()) > 0 {
		t.Error("the withdrawn request has a result")
	}
	if r, _ := submit(t, e, "safe", "n"); e.Withdraw(r) != true { // its ExternalID can be reused
		t.Error("the second request with the same ExternalID is not open")
	}
}

// TestPayloadKeptForOpenAttempt verifies that the payload is kept while an attempt continues after
// its request has ended.
func TestPayloadKeptForOpenAttempt(t *testing.T) {
	e, f := startEngine(t, "a")
	f.ignoresCancel = true
	r, released := submit(t, e, "safe", "")
	a := receive(t, "attempt", f.started)
	e.Withdraw(r)
	select {
	case <-released:
		t.Error("the payload is released while an attempt is in flight")
	default:
	}
	if a.Payload() != "payload" {
		t.Errorf("payload %v", a.Payload())
	}
	f.finish(a, AttemptResult{Status: policy.OK})
	receive(t, "release", released)
	if len(r.Result()) > 0 {
		t.Error("the withdrawn request has a result")
	}
}

// TestUnlistedServer verifies that nothing is sent to a server that has left the list, even if the
// module asks for it.
func TestUnlistedServer(t *testing.T) {
	e, f := startEngine(t, "a")
	e.SetSource(oneListSource{List{Seq: 2, Full: true}})
	for end := time.Now().Add(testTimeout); len(e.Snapshot().Servers) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the server is still listed")
		}
	}
	f.mu.Lock()
	if fmt.Sprint(f.hungUp) != "[a:1]" {
		t.Errorf("idle connections closed to %v, want [a:1]", f.hungUp)
	}
	f.mu.Unlock()
	r, _ := submit(t, e, "safe", "")
	e.RunAsEvent(func(_ policy.Time, act policy.Actions) { act.Send(r.id, "a", time.Second) })
	if len(f.started) > 0 {
		t.Error("an attempt was started at a server that is not listed")
	}
	e.Withdraw(r)
}

// oneListSource is a source that provides a single list and no changes.
type oneListSource struct{ list List }

func (o oneListSource) Watch(ctx context.Context, _ int64, update func(List)) error {
	update(o.list)
	<-ctx.Done()
	return ctx.Err()
}

// TestDrainAndClose verifies that Drain stops the acceptance of requests, and that Close ends open
// requests as Dropped and leaves nothing behind.
func TestDrainAndClose(t *testing.T) {
	e, f := startEngine(t, "a")
	r, released := submit(t, e, "unsafe", "")
	receive(t, "attempt", f.started)
	soon, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := e.Drain(soon); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Drain with a request open: %v", err)
	}
	if err := e.Submit(&Request{Class: "safe", Timeout: time.Second}, e.Now()); !errors.Is(err, ErrClosed) {
		t.Errorf("Submit while draining: %v", err)
	}
	e.Close()
	if got := receive(t, "result", r.Result()); got.Kind != Dropped {
		t.Errorf("result %+v", got)
	}
	receive(t, "release", released)
	if err := e.Drain(t.Context()); err != nil {
		t.Errorf("Drain after Close: %v", err)
	}
	if s := e.Snapshot(); s.Open != 0 || s.Retained != 0 || s.Timers != 0 {
		t.Errorf("snapshot %+v", s)
	}
}

// TestUnknownClass verifies that a request of an unknown class is rejected.
func TestUnknownClass(t *testing.T) {
	e, f := startEngine(t, "a")
	if err := e.Submit(&Request{Class: "novel", Timeout: time.Second}, e.Now()); !errors.Is(err, ErrUnknownClass) {
		t.Errorf("error %v", err)
	}
	if len(f.started) > 0 || e.Snapshot().Accepted > 0 {
		t.Error("the request was accepted")
	}
}

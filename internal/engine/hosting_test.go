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

const patience = 20 * time.Second

// fake is a transport whose attempts end as the test says. It knows no protocol, as the engine knows none.
type fake struct {
	started chan *Attempt
	mu      sync.Mutex
	end     map[*Attempt]chan AttemptResult
	hung    []Endpoint
	deaf    bool // to cancels
}

func newFake() *fake {
	return &fake{started: make(chan *Attempt, 100), end: map[*Attempt]chan AttemptResult{}}
}

func (f *fake) Do(a *Attempt, _ Endpoint) AttemptResult {
	end, stop := make(chan AttemptResult, 1), make(chan struct{})
	f.mu.Lock()
	f.end[a] = end
	f.mu.Unlock()
	if !a.OnCancel(sync.OnceFunc(func() {
		if !f.deaf {
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

func (f *fake) Probe(context.Context, Endpoint) (policy.Status, *policy.Load) { return policy.OK, nil }

func (f *fake) HangUp(to Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hung = append(f.hung, to)
}

// finish ends an attempt.
func (f *fake) finish(a *Attempt, e AttemptResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end[a] <- e
}

func next[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

func list(ids ...string) List {
	l := List{Seq: 1, Full: true}
	for _, id := range ids {
		l.Servers = append(l.Servers, Server{ID: policy.ServerID(id), Addr: id + ":1", Weight: 1})
	}
	return l
}

func start(t *testing.T, ids ...string) (*Engine, *fake) {
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
	f, l := newFake(), list(ids...)
	e := New(Options{Config: cfg, Module: m, Transport: f, CachedList: &l, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(e.Close)
	return e, f
}

// take hands a request over; released is closed when its payload is given back.
func take(t *testing.T, e *Engine, class, name string) (r *Request, released chan struct{}) {
	t.Helper()
	released = make(chan struct{})
	r = &Request{Class: class, ExternalID: name, Timeout: 10 * time.Second, Payload: "payload", Release: func() { close(released) }}
	if err := e.Submit(r, e.Now()); err != nil {
		t.Fatal(err)
	}
	return r, released
}

// TestOneResult: a served request has one result, and its payload is given back once.
func TestOneResult(t *testing.T) {
	e, f := start(t, "a")
	r, released := take(t, e, "safe", "n")
	a := next(t, "attempt", f.started)
	if a.Payload() != "payload" || a.Server != "a" || a.Number != 0 || a.ExternalID() != "n" {
		t.Errorf("attempt %+v", a)
	}
	if err := e.Submit(&Request{Class: "safe", ExternalID: "n", Timeout: time.Second}, e.Now()); !errors.Is(err, ErrDuplicateID) {
		t.Errorf("the name again: %v", err)
	}
	f.finish(a, AttemptResult{Status: policy.OK, Reply: "reply"})
	if got := next(t, "result", r.Result()); got.Kind != Served || got.Reply != "reply" || got.Server != "a" || got.Attempts != 1 {
		t.Errorf("result %+v", got)
	}
	next(t, "release", released)
	if e.Withdraw(r) || len(r.Result()) > 0 {
		t.Error("it is open once more")
	}
	if s := e.Snapshot(); s.Open != 0 || s.Retained != 0 || s.Accepted != 1 {
		t.Errorf("snapshot %+v", s)
	}
}

// TestSecondAttempt: a safe request goes to another server after an error, an unsafe one does not, and fails.
func TestSecondAttempt(t *testing.T) {
	e, f := start(t, "a", "b")
	r, _ := take(t, e, "safe", "")
	first := next(t, "attempt", f.started)
	f.finish(first, AttemptResult{Status: policy.Reset})
	second := next(t, "second attempt", f.started)
	if second.Server == first.Server || second.Number != 1 {
		t.Errorf("second attempt %d at %s after %s", second.Number, second.Server, first.Server)
	}
	f.finish(second, AttemptResult{Status: policy.OK})
	if got := next(t, "result", r.Result()); got.Kind != Served || got.Attempts != 2 {
		t.Errorf("result %+v", got)
	}
	r, _ = take(t, e, "unsafe", "")
	f.finish(next(t, "attempt", f.started), AttemptResult{Status: policy.Reset})
	if got := next(t, "result", r.Result()); got.Kind != Failed || got.Attempts != 1 || got.LastStatus != policy.Reset {
		t.Errorf("result %+v", got)
	}
	if len(f.started) > 0 {
		t.Error("an unsafe request that may have run was sent again")
	}
}

// TestNotRun: a result says that nothing ran only if no attempt is out and each has proved it.
func TestNotRun(t *testing.T) {
	e, f := start(t, "a", "b")
	r, _ := take(t, e, "unsafe", "")
	f.finish(next(t, "attempt", f.started), AttemptResult{Status: policy.ConnectFailed})
	second := next(t, "second attempt", f.started)
	e.RunAsEvent(func(_ policy.Time, act policy.Actions) { act.Fail(r.id) })
	if got := next(t, "result", r.Result()); got.NotRun || got.Attempts != 2 || got.LastStatus != policy.ConnectFailed {
		t.Errorf("with an attempt out: %+v", got)
	}
	f.finish(second, AttemptResult{Status: policy.Timeout})
	for _, status := range []policy.Status{policy.ConnectFailed, policy.Reset} {
		r, _ = take(t, e, "unsafe", "")
		a := next(t, "attempt", f.started)
		f.finish(a, AttemptResult{Status: status})
		if status.NotRun() {
			f.finish(next(t, "second attempt", f.started), AttemptResult{Status: status})
		}
		if got := next(t, "result", r.Result()); got.NotRun != status.NotRun() {
			t.Errorf("after %v: %+v", status, got)
		}
	}
}

// TestWithdraw: the attempt is called off, its payload is given back only once it has ended, and there is no result.
func TestWithdraw(t *testing.T) {
	e, f := start(t, "a")
	r, released := take(t, e, "safe", "n")
	next(t, "attempt", f.started)
	if !e.Withdraw(r) || e.Withdraw(r) {
		t.Error("it was not open, or is so again")
	}
	next(t, "release", released)
	if len(r.Result()) > 0 {
		t.Error("a result after the withdrawal")
	}
	if r, _ := take(t, e, "safe", "n"); e.Withdraw(r) != true { // its name is free
		t.Error("the name is not free")
	}
}

// TestPayloadOutlivesItsRequest: an attempt that goes on after its request has ended still has the payload.
func TestPayloadOutlivesItsRequest(t *testing.T) {
	e, f := start(t, "a")
	f.deaf = true
	r, released := take(t, e, "safe", "")
	a := next(t, "attempt", f.started)
	e.Withdraw(r)
	select {
	case <-released:
		t.Error("the payload is given back while an attempt is out")
	default:
	}
	if a.Payload() != "payload" {
		t.Errorf("the payload is %v", a.Payload())
	}
	f.finish(a, AttemptResult{Status: policy.OK})
	next(t, "release", released)
	if len(r.Result()) > 0 {
		t.Error("a result after the withdrawal")
	}
}

// TestUnlistedServer: what a module sends to a server that has gone was never sent.
func TestUnlistedServer(t *testing.T) {
	e, f := start(t, "a")
	e.SetSource(once{List{Seq: 2, Full: true}})
	for end := time.Now().Add(patience); len(e.Snapshot().Servers) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the server stays listed")
		}
	}
	f.mu.Lock()
	if fmt.Sprint(f.hung) != "[a:1]" {
		t.Errorf("connections hung up: %v", f.hung)
	}
	f.mu.Unlock()
	r, _ := take(t, e, "safe", "")
	e.RunAsEvent(func(_ policy.Time, act policy.Actions) { act.Send(r.id, "a", time.Second) })
	if len(f.started) > 0 {
		t.Error("an attempt at a server that is not listed")
	}
	e.Withdraw(r)
}

// once tells one list and nothing more.
type once struct{ l List }

func (o once) Watch(ctx context.Context, _ int64, tell func(List)) error {
	tell(o.l)
	<-ctx.Done()
	return ctx.Err()
}

// TestDrainAndClose: after Drain nothing is taken; Close ends what is open, and nothing runs on.
func TestDrainAndClose(t *testing.T) {
	e, f := start(t, "a")
	r, released := take(t, e, "unsafe", "")
	next(t, "attempt", f.started)
	soon, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := e.Drain(soon); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Drain with a request open: %v", err)
	}
	if err := e.Submit(&Request{Class: "safe", Timeout: time.Second}, e.Now()); !errors.Is(err, ErrClosed) {
		t.Errorf("Take while draining: %v", err)
	}
	e.Close()
	if got := next(t, "result", r.Result()); got.Kind != Dropped {
		t.Errorf("result %+v", got)
	}
	next(t, "release", released)
	if err := e.Drain(t.Context()); err != nil {
		t.Errorf("Drain after Close: %v", err)
	}
	if s := e.Snapshot(); s.Open != 0 || s.Retained != 0 || s.Timers != 0 {
		t.Errorf("snapshot %+v", s)
	}
}

// TestUnknownClass: nothing is taken.
func TestUnknownClass(t *testing.T) {
	e, f := start(t, "a")
	if err := e.Submit(&Request{Class: "novel", Timeout: time.Second}, e.Now()); !errors.Is(err, ErrUnknownClass) {
		t.Errorf("error %v", err)
	}
	if len(f.started) > 0 || e.Snapshot().Accepted > 0 {
		t.Error("it was taken")
	}
}

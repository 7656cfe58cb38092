package orders

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quillfront/internal/engine"
	"quillfront/internal/standin"
	"quillfront/ledger"
	"quillfront/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 20 * time.Second

var classes = []policy.Class{
	{Name: "read", Effect: policy.Safe, Aim: 9 * time.Second, Deadline: 10 * time.Second, Worth: 1},
	{Name: "order", Effect: policy.Keyed, KeyTTL: 5 * time.Second, Aim: 9 * time.Second, Deadline: 10 * time.Second, Worth: 1},
	{Name: "cell", Effect: policy.Keyed, Group: policy.GroupCell, KeyTTL: 5 * time.Second, Aim: 9 * time.Second, Deadline: 10 * time.Second, Worth: 1},
	{Name: "pay", Effect: policy.Unsafe, Aim: 9 * time.Second, Deadline: 10 * time.Second, Worth: 1},
}

// lost is the ending of an attempt that may have run.
func lost(int, *engine.Attempt, engine.Endpoint) engine.AttemptResult {
	return engine.AttemptResult{Status: policy.Reset}
}

// texts is a codec of strings.
type texts struct{}

func (texts) Encode(reply any) []byte      { return fmt.Append(nil, reply) }
func (texts) Decode(b []byte) (any, error) { return string(b), nil }

// world is a desk before an engine with the real module.
type world struct {
	*Coordinator
	t       testing.TB
	servers *standin.Transport
	mu      sync.Mutex
	up      time.Duration // beyond the true clock
}

func (w *world) now() ledger.Instant {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := Now()
	i.Up += int64(w.up)
	return i
}

func (w *world) pass(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up += d
}

// keep hides the end of a book, which another process opens.
type keep struct{ EntryStore }

func (keep) Close() error { return nil }

func build(t testing.TB, book EntryStore) *world {
	cfg := policy.Config{GroupSize: 1, Classes: classes, MaxAttempts: 1, MayCancel: true, ListPushed: true, ClientsHonorRetryAfter: true, MaxRetryAfter: time.Second, DialTimeout: 50 * time.Millisecond, ColdCapacity: 1, RefreshInterval: time.Hour}
	m, err := policy.New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, servers: &standin.Transport{}}
	log := slog.New(slog.DiscardHandler)
	var known engine.List
	for i, id := range []policy.ServerID{"a", "b", "c"} {
		known.Servers = append(known.Servers, engine.Server{ID: id, Addr: string(id), State: policy.Ready, Cell: i, Weight: 1})
	}
	known.Full = true
	e := engine.New(engine.Options{Config: cfg, Module: m, Transport: Transport(w.servers), CachedList: &known, Log: log})
	w.Coordinator = New(Options{Engine: e, Store: book, Codec: texts{}, Clock: w.now, Retention: func(string) time.Duration { return time.Hour }, Log: log})
	t.Cleanup(w.end)
	return w
}

// end ends the process, as far as its book can tell.
func (w *world) end() {
	w.o.Engine.Close()
	w.Close()
}

func (w *world) take(class, key string, print byte) (*engine.Request, error) {
	r := &engine.Request{Class: class, Timeout: 8 * time.Second}
	return r, w.Submit(r, Identity{Key: key, Fingerprint: [32]byte{print}}, w.o.Engine.Now())
}

func (w *world) ask(class, key string, print byte) engine.Result {
	w.t.Helper()
	r, err := w.take(class, key, print)
	if err != nil {
		w.t.Fatal(err)
	}
	return w.result(r)
}

func (w *world) result(r *engine.Request) engine.Result {
	w.t.Helper()
	select {
	case result := <-r.Result():
		return result
	case <-time.After(patience):
		w.t.Fatal("no result")
		panic("unreachable")
	}
}

func (w *world) eventually(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("never: %s", what)
		}
	}
}

func (w *world) sent(n int) {
	w.t.Helper()
	if got := len(w.servers.Sent()); got != n {
		w.t.Errorf("%d attempts were sent, want %d", got, n)
	}
}

// TestReplay: who asks again for what was served gets the same answer, and no server is asked, also after a restart.
func TestReplay(t *testing.T) {
	book := NewMemoryStore(1 << 20)
	w := build(t, keep{book})
	for _, class := range []string{"order", "pay"} {
		first := w.ask(class, "k", 1)
		if first.Kind != engine.Served || first.Replayed {
			t.Errorf("%s: %+v", class, first)
		}
		if got := w.ask(class, "k", 1); got.Kind != engine.Served || !got.Replayed || fmt.Sprint(got.Reply) != fmt.Sprint(first.Reply) { // who asks before the end is noted waits for it, and has the answer as it came
			t.Errorf("%s again: %+v", class, got)
		}
	}
	w.sent(2)
	if _, err := w.take("order", "k", 2); !errors.Is(err, ErrMismatch) {
		t.Errorf("for something else: %v", err)
	}
	w.end()
	after := build(t, keep{book})
	if got := after.ask("order", "k", 1); !got.Replayed {
		t.Errorf("after a restart: %+v", got)
	}
	after.sent(0)
	after.ask("read", "k", 1)
	after.ask("read", "k", 2) // a safe one is no order
	after.ask("order", "", 1)
	after.ask("order", "", 2) // nor is one without a key
	after.sent(4)
	after.eventually("nothing is held", func() bool { return after.Stats().Open == 0 })
}

// TestMayHaveRun: what may have run is sent again only if it is keyed, within the window, and in the group that has it; after a
// restart too, and whatever the wall clock says.
func TestMayHaveRun(t *testing.T) {
	for _, restart := range []bool{false, true} {
		book := NewMemoryStore(1 << 20)
		w := build(t, keep{book})
		w.servers.SetResult(lost)
		for _, class := range []string{"order", "cell", "pay"} {
			if got := w.ask(class, "k", 1); got.Kind == engine.Served {
				t.Errorf("%s: %+v", class, got)
			}
		}
		w.sent(3)
		first := w.servers.Sent()[1]
		if restart {
			w.end()
			w = build(t, keep{book})
		} else {
			w.servers.SetResult(nil)
		}
		before := len(w.servers.Sent())
		if got := w.ask("pay", "k", 1); got.Kind != engine.Failed || !got.MayHaveRun {
			t.Errorf("unsafe: %+v", got)
		}
		w.sent(before)
		for _, class := range []string{"order", "cell"} {
			if got := w.ask(class, "k", 1); got.Kind != engine.Served || got.Replayed {
				t.Errorf("%s within the window: %+v", class, got)
			}
		}
		w.sent(before + 2)
		if again := w.servers.Sent()[before+1]; again != first {
			t.Errorf("sent to %s, and again to %s of another cell", first, again)
		}
		w.servers.SetResult(lost)
		w.ask("order", "late", 1)
		w.pass(6 * time.Second)
		before = len(w.servers.Sent())
		if got := w.ask("order", "late", 1); got.Kind != engine.Failed || !got.MayHaveRun {
			t.Errorf("past the window: %+v", got)
		}
		w.sent(before)
	}
}

// TestAtOnce: of two requests with one key at once one runs, and the other gets its answer; if the first one's client leaves,
// the other takes its place only as the ledger allows.
func TestAtOnce(t *testing.T) {
	w := build(t, NewMemoryStore(1<<20))
	begun, answer := make(chan struct{}, 10), make(chan struct{})
	w.servers.SetResult(func(n int, a *engine.Attempt, _ engine.Endpoint) engine.AttemptResult {
		begun <- struct{}{}
		if !standin.WaitUnlessCanceled(a, 0, answer) {
			return engine.AttemptResult{Status: policy.Canceled}
		}
		return engine.AttemptResult{Status: policy.OK, Reply: "reply"}
	})
	start := func(class, key string) (first, second *engine.Request) {
		first, err := w.take(class, key, 1)
		if err != nil {
			t.Fatal(err)
		}
		<-begun
		if second, err = w.take(class, key, 1); err != nil {
			t.Fatal(err)
		}
		if _, err := w.take(class, key, 2); !errors.Is(err, ErrMismatch) {
			t.Errorf("for something else: %v", err)
		}
		return first, second
	}
	first, second := start("order", "left")
	w.o.Engine.Withdraw(first)
	<-begun // the second one, within the window
	third, err := w.take("order", "left", 1)
	if err != nil {
		t.Fatal(err)
	}
	gone, err := w.take("order", "left", 1)
	if err != nil {
		t.Fatal(err)
	}
	w.o.Engine.Withdraw(gone)
	pay, other := start("pay", "left")
	w.o.Engine.Withdraw(pay)
	if got := w.result(other); got.Kind != engine.Failed || !got.MayHaveRun {
		t.Errorf("behind an unsafe one that was left: %+v", got)
	}
	close(answer)
	if got := w.result(second); got.Kind != engine.Served || got.Replayed {
		t.Errorf("the one in its place: %+v", got)
	}
	if got := w.result(third); got.Kind != engine.Served || !got.Replayed {
		t.Errorf("the one that waits: %+v", got)
	}
	w.sent(3)
	w.eventually("nothing is held", func() bool { return w.Stats().Open == 0 })
}

// broken is a book that cannot be written while it is told so.
type broken struct {
	EntryStore
	mu  sync.Mutex
	err error
}

func (b *broken) set(err error) { b.mu.Lock(); b.err = err; b.mu.Unlock() }

func (b *broken) fault() error { b.mu.Lock(); defer b.mu.Unlock(); return b.err }

func (b *broken) Put(key string, value []byte, firm bool) error {
	if err := b.fault(); err != nil {
		return err
	}
	return b.EntryStore.Put(key, value, firm)
}

func (b *broken) CheckWritable() error { return b.fault() }

// TestBookThatCannotWrite: orders are refused and nothing is sent for them, safe requests go on, what is known stays known, and it
// mends by itself.
func TestBookThatCannotWrite(t *testing.T) {
	book := &broken{EntryStore: NewMemoryStore(1 << 20)}
	w := build(t, book)
	w.ask("order", "before", 1)
	book.set(errors.New("no room on the disk"))
	for i := range 3 { // the first one finds out, the others are told at once
		if got := w.ask("order", "during", 1); got.Kind != engine.Refused || i > 0 && got.RetryAfter <= 0 {
			t.Errorf("an order: %+v", got)
		}
	}
	if w.Stats().StoreError == nil {
		t.Error("nothing shows it")
	}
	w.sent(1)
	if got := w.ask("order", "before", 1); !got.Replayed {
		t.Errorf("one that was served: %+v", got)
	}
	if got := w.ask("read", "", 1); got.Kind != engine.Served {
		t.Errorf("a safe one: %+v", got)
	}
	book.set(nil)
	w.eventually("it writes again", func() bool { return w.Stats().StoreError == nil })
	if got := w.ask("order", "during", 1); got.Kind != engine.Served {
		t.Errorf("afterwards: %+v", got)
	}
}

// TestEndOfAnotherEntry: an attempt that is out while its order is forgotten for its age neither answers nor clears the order that has
// the key by then.
func TestEndOfAnotherEntry(t *testing.T) {
	w := build(t, NewMemoryStore(1<<20))
	o := w.hold("order\x00k", classes[1])
	defer w.let(o)
	for _, status := range []policy.Status{policy.OK, policy.ConnectFailed} {
		o.entry = &ledger.Entry{Fingerprint: [32]byte{1}}
		old, number, err := o.begin(engine.Endpoint{ID: "a"})
		if err != nil {
			t.Fatal(err)
		}
		o.entry = &ledger.Entry{Fingerprint: [32]byte{2}}
		if _, _, err := o.begin(engine.Endpoint{ID: "b"}); err != nil {
			t.Fatal(err)
		}
		o.end(old, number, engine.AttemptResult{Status: status, Reply: "another's"})
		if o.entry.Served || len(o.entry.Attempts) != 1 {
			t.Errorf("%v: %+v", status, o.entry)
		}
	}
}

// TestMemoryIsBounded: the oldest entries make room.
func TestMemoryIsBounded(t *testing.T) {
	m := NewMemoryStore(10_000)
	for i := range 1000 {
		m.Put(string(rune('a'+i%26))+string(rune(i)), make([]byte, 100), true)
	}
	if n := m.Len(); n < 20 || n > 50 || m.bytes > 10_000 {
		t.Errorf("%d entries of %d bytes", n, m.bytes)
	}
	if _, ok, _ := m.Get(string(rune('a'+999%26)) + string(rune(999))); !ok {
		t.Error("the latest one is gone")
	}
}

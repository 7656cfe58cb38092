// Package orders hosts the ledger: it notes what becomes of each order before and after every attempt, in a book that may
// outlast the process, and lets a request that names an order through to the engine, answers it or has it wait as the ledger
// judges. It stands between the fronts and the engine on one side, and the engine and its transport on the other.
package orders

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"quillfront/internal/engine"
	"quillfront/ledger"
	"quillfront/policy"
)

const (
	// margin is taken off the time for which servers drop repeats: what may pass between an intent and its first byte.
	margin = 250 * time.Millisecond
	// tryEvery is how often a book that cannot write is tried.
	tryEvery = 500 * time.Millisecond
	// mostWaiting bounds the requests that wait for another's answer under one key.
	mostWaiting = 64
	// grace is how long after a start nothing is forgotten for its age. It guards against a wall clock that is set far ahead when
	// the machine starts, and mended soon after: by it everything would be past its retention.
	grace = time.Hour
	// comeBack is when a request that found the book unable to write should be tried again.
	comeBack = time.Second
)

// ErrMismatch tells that the key of an order was used for something else.
var ErrMismatch = errors.New("this Idempotency-Key was used for another request")

// Codec turns a transport's replies into bytes and back.
type Codec interface {
	Encode(reply any) []byte // nil: it cannot be kept
	Decode([]byte) (any, error)
}

// Options is what a Desk is made of.
type Options struct {
	Engine    *engine.Engine
	Store     EntryStore
	Codec     Codec
	Clock     func() ledger.Instant // Now if nil
	Retention func(class string) time.Duration
	Log       *slog.Logger
}

// Coordinator takes requests for an engine. Its methods may be called from many goroutines at once.
type Coordinator struct {
	o    Options
	ctx  context.Context // ends with Close
	stop context.CancelFunc
	work sync.WaitGroup

	began time.Time

	mu      sync.Mutex
	orders  map[string]*order // that a request or an attempt holds
	failing error             // why the book cannot write; nil: it can
	stats   Stats
	closed  bool
}

// Stats counts what a desk has judged.
type Stats struct {
	Replayed, Joined, Resent, Mismatched, Unknown, Unwritable int64
	Open                                                      int   // orders that are held
	StoreError                                                error // why the book cannot write
}

// order is one that a request or an attempt holds.
type order struct {
	d     *Coordinator
	key   string
	class policy.Class
	refs  int // under d.mu

	waiters atomic.Int64 // how many have begun to wait for the leader

	mu      sync.Mutex
	read    bool          // entry has been looked up
	entry   *ledger.Entry // nil: nothing is known
	leader  *leader       // nil, or over: nobody's answer is waited for
	waiting []*waiter
}

// leader is the request of an order that was handed to the engine.
type leader struct {
	over atomic.Pointer[ending] // nil: it is open
}

// ending is how a leader has ended.
type ending struct {
	result    engine.Result
	withdrawn bool
}

// waiter is a request that waits for another one's answer.
type waiter struct {
	r    *engine.Request
	from policy.Time
	end  *time.Timer
}

// New returns a desk that runs until Close.
func New(o Options) *Coordinator {
	if o.Clock == nil {
		o.Clock = Now
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Coordinator{o: o, ctx: ctx, stop: stop, began: time.Now(), orders: map[string]*order{}}
}

// Identity is what a request asks for under a key.
type Identity struct {
	Key         string   // its Idempotency-Key
	Fingerprint [32]byte // tells it from any other
}

// Submit hands r to the engine, or answers it, as what is known of its order says. Its time has run since read. With an error
// nothing was taken.
func (d *Coordinator) Submit(r *engine.Request, a Identity, read policy.Time) error {
	c, known := d.o.Engine.Class(r.Class)
	if !known || c.Effect == policy.Safe || a.Key == "" {
		return d.o.Engine.Submit(r, read)
	}
	o := d.hold(r.Class+"\x00"+a.Key, c)
	release := r.Release
	r.Release = func() { // no attempt is out any more
		if release != nil {
			release()
		}
		d.let(o)
	}
	err := o.take(r, a, read)
	if err != nil {
		r.Release, r.OnEnd = release, nil
		d.let(o)
	}
	return err
}

// hold returns the order of a key, with one more reference.
func (d *Coordinator) hold(key string, c policy.Class) *order {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.orders[key]
	if o == nil {
		o = &order{d: d, key: key, class: c}
		d.orders[key] = o
	}
	o.refs++
	return o
}

// let gives a reference back.
func (d *Coordinator) let(o *order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.refs--; o.refs == 0 {
		delete(d.orders, o.key)
	}
}

func (d *Coordinator) count(n *int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*n++
}

// take judges r and does what follows. Each request that it takes holds a reference until it has ended.
func (o *order) take(r *engine.Request, a Identity, read policy.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.look(); err != nil {
		return o.unwritable(r, err)
	}
	e := o.d.o.Engine
	o.answerWaiting() // if the leader is over, and nobody has yet
	if o.leader != nil && o.leader.over.Load() == nil {
		if o.entry.Fingerprint != a.Fingerprint {
			o.d.count(&o.d.stats.Mismatched)
			return ErrMismatch
		}
		if err := e.SubmitDeferred(r); err != nil {
			return err
		}
		if len(o.waiting) >= mostWaiting {
			e.ResolveDeferred(r, engine.Result{Kind: engine.Refused, RetryAfter: comeBack})
			return nil
		}
		o.d.count(&o.d.stats.Joined)
		w := &waiter{r: r, from: read}
		left := e.Expires(r, read) - e.Now()
		w.end = time.AfterFunc(max(left-ownEnd, 0), func() { e.ResolveDeferred(r, engine.Result{Kind: engine.Failed, MayHaveRun: true}) })
		o.waiting = append(o.waiting, w)
		o.waiters.Add(1)
		o.answerWaiting() // the leader may have ended before it could know of this one
		return nil
	}
	return o.judge(r, a.Fingerprint, read, false)
}

// ownEnd is how much before its time is up a request that waits for another is answered.
const ownEnd = 20 * time.Millisecond

// judge does with r, which nobody else's answer is waited for, what the ledger says. An adopted one is known to the engine.
func (o *order) judge(r *engine.Request, print [32]byte, read policy.Time, adopted bool) error {
	d, e := o.d, o.d.o.Engine
	now := d.o.Clock()
	v := ledger.Decide(o.class, o.entry, print, now, margin, d.retention(o.class.Name))
	settle := func(result engine.Result) error {
		if !adopted {
			if err := e.SubmitDeferred(r); err != nil {
				return err
			}
		}
		e.ResolveDeferred(r, result)
		return nil
	}
	switch v.Action {
	case ledger.Mismatch:
		d.count(&d.stats.Mismatched)
		return ErrMismatch
	case ledger.Replay:
		reply, err := d.o.Codec.Decode(o.entry.Reply)
		if err != nil {
			d.o.Log.Error("an answer that was kept cannot be read", "err", err)
			return settle(engine.Result{Kind: engine.Failed, MayHaveRun: true})
		}
		d.count(&d.stats.Replayed)
		return settle(engine.Result{Kind: engine.Served, Reply: reply, Replayed: true})
	case ledger.Unknown, ledger.Done:
		d.count(&d.stats.Unknown)
		return settle(engine.Result{Kind: engine.Failed, MayHaveRun: true})
	case ledger.Resend:
		d.count(&d.stats.Resent)
	}
	if err := d.unable(); err != nil {
		d.count(&d.stats.Unwritable)
		return settle(engine.Result{Kind: refusal(v), RetryAfter: comeBack, MayHaveRun: v.Action == ledger.Resend})
	}
	if v.Action == ledger.Fresh && (o.entry == nil || o.entry.Fingerprint != print || len(o.entry.Attempts) > 0 || o.entry.Served) {
		o.entry = &ledger.Entry{Fingerprint: print, FirstSeen: now}
	}
	lead := func() {
		l := &leader{}
		o.leader = l
		r.PriorAttempts, r.Order = v.PriorAttempts, o
		r.OnEnd = func(result engine.Result, withdrawn bool) { o.over(l, result, withdrawn) }
	}
	if adopted {
		e.DispatchDeferred(r, read, lead) // if its client is still there
		return nil
	}
	lead()
	if err := e.Submit(r, read); err != nil {
		o.leader, r.OnEnd, r.Order, r.PriorAttempts = nil, nil, nil, nil
		return err
	}
	return nil
}

// refusal is how a request ends that cannot be noted: refused, unless one before it may have run.
func refusal(v ledger.Decision) engine.ResultKind {
	if v.Action == ledger.Resend {
		return engine.Failed
	}
	return engine.Refused
}

// unwritable refuses r because nothing can be learnt of its order.
func (o *order) unwritable(r *engine.Request, err error) error {
	o.d.fail(err)
	o.d.count(&o.d.stats.Unwritable)
	if err := o.d.o.Engine.SubmitDeferred(r); err != nil {
		return err
	}
	// It may have run before: that a retry is harmless holds all the same, as it will be judged by what can then be read.
	o.d.o.Engine.ResolveDeferred(r, engine.Result{Kind: engine.Refused, RetryAfter: comeBack})
	return nil
}

// look reads what the book has of the order, once.
func (o *order) look() error {
	if o.read {
		return nil
	}
	b, ok, err := o.d.o.Store.Get(o.key)
	if err != nil {
		return fmt.Errorf("reading an order: %w", err)
	}
	if ok {
		e, err := ledger.Unmarshal(b)
		if err != nil {
			return fmt.Errorf("reading an order: %w", err)
		}
		o.entry = e
	}
	o.read = true
	return nil
}

// over is told, under the engine's lock, that a leader has its result or was withdrawn. Those that wait are answered elsewhere; mostly
// there are none.
func (o *order) over(l *leader, result engine.Result, withdrawn bool) {
	l.over.Store(&ending{result, withdrawn})
	if o.waiters.Load() > 0 {
		o.d.work.Go(func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.answerWaiting()
		})
	}
}

// answerWaiting gives those that wait the answer of a leader that is over. Where it was withdrawn the first of them takes its place.
func (o *order) answerWaiting() {
	e := o.d.o.Engine
	for len(o.waiting) > 0 && o.leader != nil {
		end := o.leader.over.Load()
		if end == nil {
			return
		}
		w := o.waiting[0]
		o.waiting = o.waiting[1:]
		o.waiters.Add(-1)
		if !w.end.Stop() {
			continue // its own end came first
		}
		if !end.withdrawn && end.result.Kind != engine.Dropped {
			result := end.result
			result.Replayed = result.Kind == engine.Served
			e.ResolveDeferred(w.r, result)
			continue
		}
		if err := o.judge(w.r, o.entry.Fingerprint, w.from, true); err != nil {
			e.ResolveDeferred(w.r, engine.Result{Kind: engine.Failed, MayHaveRun: true})
		}
	}
}

// begin notes an intent, before the first byte of an attempt, and returns the entry that it stands in.
func (o *order) begin(to engine.Endpoint) (e *ledger.Entry, number int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e = o.entry
	number = e.RecordAttempt(ledger.Attempt{Server: string(to.ID), Zone: to.Zone, Cell: to.Cell, At: o.d.o.Clock()})
	if err := o.write(true); err != nil {
		e.RecordNotRun(number)
		return nil, 0, err
	}
	return e, number, nil
}

// end notes how an attempt has ended. What cannot be written counts as may have run after a restart, which is safe. One whose entry
// was forgotten for its age while it was out, says nothing of the order that has the key now.
func (o *order) end(e *ledger.Entry, number int, end engine.AttemptResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.entry != e:
		return
	case end.Status == policy.OK:
		e.RecordReply(o.d.o.Codec.Encode(end.Reply))
	case end.Status.NotRun():
		e.RecordNotRun(number)
	default:
		return // as it stands
	}
	if err := o.write(false); err != nil {
		o.d.o.Log.Warn("an order's end was not noted", "err", err)
	}
}

// write writes the entry.
func (o *order) write(firm bool) error {
	b, err := o.entry.Marshal()
	if err == nil {
		err = o.d.o.Store.Put(o.key, b, firm)
	}
	if err != nil {
		o.d.fail(err)
		return err
	}
	return nil
}

// fail notes that the book cannot write, and tries it until it can.
func (d *Coordinator) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := d.failing == nil
	d.failing = err
	if !first || d.closed {
		return
	}
	d.o.Log.Error("orders cannot be noted: those that need it are refused", "err", err)
	d.work.Go(func() {
		tick := time.NewTicker(tryEvery)
		defer tick.Stop()
		for {
			select {
			case <-d.ctx.Done():
				return
			case <-tick.C:
			}
			if err := d.o.Store.CheckWritable(); err == nil {
				d.mu.Lock()
				d.failing = nil
				d.mu.Unlock()
				d.o.Log.Info("orders can be noted again")
				return
			}
		}
	})
}

// retention is how long an order of a class is known. At first it is no bound: see grace.
func (d *Coordinator) retention(class string) time.Duration {
	if time.Since(d.began) < grace {
		return 0
	}
	return d.o.Retention(class)
}

// unable returns why the book cannot write, or nil.
func (d *Coordinator) unable() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failing
}

// Stats returns the present counts.
func (d *Coordinator) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stats
	s.Open, s.StoreError = len(d.orders), d.failing
	return s
}

// Close ends the desk and its book, once the engine has ended.
func (d *Coordinator) Close() error {
	d.mu.Lock()
	closed := d.closed
	d.closed = true
	d.mu.Unlock()
	if closed {
		return nil
	}
	d.stop()
	d.work.Wait()
	return d.o.Store.Close()
}

// Transport returns inner with an intent before each attempt on an order, and its end behind it. Where the intent cannot be
// noted nothing is sent.
func Transport(inner engine.Transport) engine.Transport {
	return noting{inner}
}

type noting struct{ engine.Transport }

// Do is a method of engine.Transport.
func (t noting) Do(a *engine.Attempt, to engine.Endpoint) engine.AttemptResult {
	o, ok := a.Order().(*order)
	if !ok {
		return t.Transport.Do(a, to)
	}
	e, number, err := o.begin(to)
	if err != nil {
		return engine.AttemptResult{Status: policy.NotSent}
	}
	end := t.Transport.Do(a, to)
	o.end(e, number, end)
	return end
}

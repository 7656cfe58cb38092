// Package orders applies the ledger to requests. It records each order before and after every
// attempt in an entry store, which may survive the process. A request that names an order is passed
// to the engine, answered or made to wait as the ledger decides. The package sits between the
// server fronts and the engine, and between the engine and its transport.
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
	// margin is subtracted from the time for which servers drop repeats. It covers the time between
	// the recording of an intent and the first byte of its attempt.
	margin = 250 * time.Millisecond
	// writeCheckInterval is how often a store whose writes fail is checked.
	writeCheckInterval = 500 * time.Millisecond
	// maxWaiters limits the requests with one key that wait for the result of another one.
	maxWaiters = 64
	// expiryGrace is the time after a start during which no order expires. It protects against a
	// wall clock that is far ahead when the machine boots and is corrected soon after: by such a
	// clock every order would be past its retention.
	expiryGrace = time.Hour
	// retryAfter is the delay after which a client should retry a request that was refused.
	retryAfter = time.Second
)

// ErrMismatch reports that the key of an order was used for a different request.
var ErrMismatch = errors.New("this Idempotency-Key was used for another request")

// Codec encodes and decodes the replies of a transport.
type Codec interface {
	// Encode returns the encoded reply, or nil if it cannot be stored.
	Encode(reply any) []byte
	// Decode decodes a reply that Encode has encoded.
	Decode([]byte) (any, error)
}

// Options configures a Coordinator.
type Options struct {
	Engine    *engine.Engine
	Store     EntryStore
	Codec     Codec
	Clock     func() ledger.Instant // default Now
	Retention func(class string) time.Duration
	Log       *slog.Logger
}

// Coordinator accepts requests for an engine and applies the ledger to those that name an order.
// Its methods are safe for concurrent use.
type Coordinator struct {
	options Options
	ctx     context.Context // ends with Close
	stop    context.CancelFunc
	workers sync.WaitGroup

	started time.Time

	mu       sync.Mutex
	orders   map[string]*order // by key; those that a request or an attempt references
	storeErr error             // why the store fails; nil: it works
	stats    Stats
	closed   bool
}

// Stats counts requests by their handling, and describes the present state.
type Stats struct {
	Replayed, Joined, Resent, Mismatched, Unknown, Unwritable int64
	Open                                                      int   // orders in use by requests or attempts
	StoreError                                                error // nil: the store works
}

// order is an order that a request or an attempt references.
type order struct {
	coordinator *Coordinator
	key         string
	class       policy.Class
	refs        int // guarded by coordinator.mu

	waiterCount atomic.Int64 // length of waiters, readable without mu

	mu      sync.Mutex
	loaded  bool          // entry was read from the store
	entry   *ledger.Entry // nil: the order is unknown
	leader  *leader       // nil or ended: there is no result to wait for
	waiters []*waiter
}

// leader is the request of an order that was passed to the engine, for whose result others wait.
type leader struct {
	outcome atomic.Pointer[leaderOutcome] // nil: still open
}

// leaderOutcome is the result of a leader.
type leaderOutcome struct {
	result    engine.Result
	withdrawn bool
}

// shareable reports whether the result can be given to further requests. The reply of a streamed
// result has a single reader, and a request that was withdrawn or dropped has no result.
func (l *leaderOutcome) shareable() bool {
	return !l.withdrawn && l.result.Kind != engine.Dropped && !l.result.Streamed
}

// waiter is a request that waits for the result of the leader.
type waiter struct {
	r        *engine.Request
	received policy.Time
	expiry   *time.Timer
}

// New returns a Coordinator that runs until Close.
func New(o Options) *Coordinator {
	if o.Clock == nil {
		o.Clock = Now
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Coordinator{options: o, ctx: ctx, stop: stop, started: time.Now(), orders: map[string]*order{}}
}

// Identity identifies the order of a request and the contents of the request.
type Identity struct {
	Key         string   // its Idempotency-Key
	Fingerprint [32]byte // of the request's contents
}

// Submit passes r to the engine, answers it or makes it wait, depending on its order. Its timeout
// runs from received. If it returns an error, r was not accepted.
func (c *Coordinator) Submit(r *engine.Request, id Identity, received policy.Time) error {
	class, known := c.options.Engine.Class(r.Class)
	if !known || class.Effect == policy.Safe || id.Key == "" {
		return c.options.Engine.Submit(r, received)
	}
	o := c.acquire(r.Class+"\x00"+id.Key, class)
	release := r.Release
	r.Release = func() { // all attempts have ended
		if release != nil {
			release()
		}
		c.release(o)
	}
	err := o.submit(r, id, received)
	if err != nil {
		r.Release, r.OnEnd = release, nil
		c.release(o)
	}
	return err
}

// acquire returns the order of a key and adds a reference to it.
func (c *Coordinator) acquire(key string, class policy.Class) *order {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.orders[key]
	if o == nil {
		o = &order{coordinator: c, key: key, class: class}
		c.orders[key] = o
	}
	o.refs++
	return o
}

// release drops a reference to an order.
func (c *Coordinator) release(o *order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.refs--; o.refs == 0 {
		delete(c.orders, o.key)
	}
}

// count increments a counter of the statistics.
func (c *Coordinator) count(n *int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

// submit makes r wait for the leader if there is an open one, and otherwise processes it. Each
// accepted request holds a reference to the order until it has ended.
func (o *order) submit(r *engine.Request, id Identity, received policy.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.load(); err != nil {
		return o.rejectUnreadable(r, err)
	}
	e := o.coordinator.options.Engine
	o.answerWaiters() // if the leader has ended and they are not answered yet
	if o.leader != nil && o.leader.outcome.Load() == nil {
		if o.entry.Fingerprint != id.Fingerprint {
			o.coordinator.count(&o.coordinator.stats.Mismatched)
			return ErrMismatch
		}
		if err := e.SubmitDeferred(r); err != nil {
			return err
		}
		if len(o.waiters) >= maxWaiters {
			e.ResolveDeferred(r, engine.Result{Kind: engine.Refused, RetryAfter: retryAfter})
			return nil
		}
		o.coordinator.count(&o.coordinator.stats.Joined)
		w := &waiter{r: r, received: received}
		left := e.Expires(r, received) - e.Now()
		w.expiry = time.AfterFunc(max(left-waiterMargin, 0), func() { e.ResolveDeferred(r, engine.Result{Kind: engine.Failed, MayHaveRun: true}) })
		o.waiters = append(o.waiters, w)
		o.waiterCount.Add(1)
		o.answerWaiters() // the leader may have ended before this waiter was counted
		return nil
	}
	return o.process(r, id.Fingerprint, received, false)
}

// waiterMargin is how long before its deadline a waiting request is answered.
const waiterMargin = 20 * time.Millisecond

// process handles r as the ledger decides, when there is no open leader to wait for. deferred says
// that r was already submitted to the engine as a deferred request.
func (o *order) process(r *engine.Request, print [32]byte, received policy.Time, deferred bool) error {
	c, e := o.coordinator, o.coordinator.options.Engine
	now := c.options.Clock()
	decision := ledger.Decide(o.class, o.entry, print, now, margin, c.retention(o.class.Name))
	resolve := func(result engine.Result) error {
		if !deferred {
			if err := e.SubmitDeferred(r); err != nil {
				return err
			}
		}
		e.ResolveDeferred(r, result)
		return nil
	}
	switch decision.Action {
	case ledger.Mismatch:
		c.count(&c.stats.Mismatched)
		return ErrMismatch
	case ledger.Replay:
		reply, err := c.options.Codec.Decode(o.entry.Reply)
		if err != nil {
			c.options.Log.Error("cannot decode the stored reply of an order", "err", err)
			return resolve(engine.Result{Kind: engine.Failed, MayHaveRun: true})
		}
		c.count(&c.stats.Replayed)
		return resolve(engine.Result{Kind: engine.Served, Reply: reply, Replayed: true})
	case ledger.Unknown, ledger.Done:
		c.count(&c.stats.Unknown)
		return resolve(engine.Result{Kind: engine.Failed, MayHaveRun: true})
	case ledger.Resend:
		c.count(&c.stats.Resent)
	}
	if err := c.writeError(); err != nil {
		c.count(&c.stats.Unwritable)
		return resolve(engine.Result{Kind: unwritableResult(decision), RetryAfter: retryAfter, MayHaveRun: decision.Action == ledger.Resend})
	}
	if decision.Action == ledger.Fresh && (o.entry == nil || o.entry.Fingerprint != print || len(o.entry.Attempts) > 0 || o.entry.Served) {
		o.entry = &ledger.Entry{Fingerprint: print, FirstSeen: now}
	}
	becomeLeader := func() {
		l := &leader{}
		o.leader = l
		r.PriorAttempts, r.Order = decision.PriorAttempts, o
		r.OnEnd = func(result engine.Result, withdrawn bool) { o.leaderEnded(l, result, withdrawn) }
	}
	if deferred {
		e.DispatchDeferred(r, received, becomeLeader) // unless its client has disconnected
		return nil
	}
	becomeLeader()
	if err := e.Submit(r, received); err != nil {
		o.leader, r.OnEnd, r.Order, r.PriorAttempts = nil, nil, nil, nil
		return err
	}
	return nil
}

// unwritableResult returns the result of a request that cannot be recorded: refused, or failed if
// an earlier attempt may have run.
func unwritableResult(d ledger.Decision) engine.ResultKind {
	if d.Action == ledger.Resend {
		return engine.Failed
	}
	return engine.Refused
}

// rejectUnreadable refuses r because its order cannot be read from the store.
func (o *order) rejectUnreadable(r *engine.Request, err error) error {
	o.coordinator.storeFailed(err)
	o.coordinator.count(&o.coordinator.stats.Unwritable)
	if err := o.coordinator.options.Engine.SubmitDeferred(r); err != nil {
		return err
	}
	// The order may have run before. Asking the client to retry is still safe, because the retry is
	// handled by the entry that can be read by then.
	o.coordinator.options.Engine.ResolveDeferred(r, engine.Result{Kind: engine.Refused, RetryAfter: retryAfter})
	return nil
}

// load reads the order's entry from the store, unless it was read before.
func (o *order) load() error {
	if o.loaded {
		return nil
	}
	b, ok, err := o.coordinator.options.Store.Get(o.key)
	if err != nil {
		return fmt.Errorf("reading an order: %w", err)
	}
	if ok {
		e, err := ledger.Unmarshal(b)
		if err != nil {
			return fmt.Errorf("decoding an order: %w", err)
		}
		o.entry = e
	}
	o.loaded = true
	return nil
}

// leaderEnded records that a leader has its result or was withdrawn. It is called under the
// engine's lock, so it leaves the waiters, of which there are usually none, to another goroutine.
func (o *order) leaderEnded(l *leader, result engine.Result, withdrawn bool) {
	l.outcome.Store(&leaderOutcome{result, withdrawn})
	if o.waiterCount.Load() > 0 {
		o.coordinator.workers.Go(func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.answerWaiters()
		})
	}
}

// answerWaiters gives the waiters the result of a leader that has ended. If that result cannot be
// shared, the first waiter is processed like a request that arrives now.
func (o *order) answerWaiters() {
	e := o.coordinator.options.Engine
	for len(o.waiters) > 0 && o.leader != nil {
		outcome := o.leader.outcome.Load()
		if outcome == nil {
			return
		}
		w := o.waiters[0]
		o.waiters = o.waiters[1:]
		o.waiterCount.Add(-1)
		if !w.expiry.Stop() {
			continue // it has timed out
		}
		if outcome.shareable() {
			result := outcome.result
			result.Replayed = result.Kind == engine.Served
			e.ResolveDeferred(w.r, result)
			continue
		}
		if err := o.process(w.r, o.entry.Fingerprint, w.received, true); err != nil {
			e.ResolveDeferred(w.r, engine.Result{Kind: engine.Failed, MayHaveRun: true})
		}
	}
}

// beginAttempt records the intent of an attempt before its first byte is sent. It returns the entry
// that holds it and the number of the attempt.
func (o *order) beginAttempt(to engine.Endpoint) (e *ledger.Entry, number int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e = o.entry
	number = e.RecordAttempt(ledger.Attempt{Server: string(to.ID), Zone: to.Zone, Cell: to.Cell, At: o.coordinator.options.Clock()})
	if err := o.write(true); err != nil {
		e.RecordNotRun(number)
		return nil, 0, err
	}
	return e, number, nil
}

// endAttempt records the result of an attempt. If that fails, the attempt counts as one that may
// have run after a restart, which is safe. If the attempt's entry has expired meanwhile, its result
// is ignored: it does not concern the order that has the key now.
func (o *order) endAttempt(e *ledger.Entry, number int, end engine.AttemptResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.entry != e:
		return
	case end.Status == policy.OK:
		e.RecordReply(o.coordinator.options.Codec.Encode(end.Reply))
	case end.Status.NotRun():
		e.RecordNotRun(number)
	default:
		return // it may have run, as the intent says
	}
	if err := o.write(false); err != nil {
		o.coordinator.options.Log.Warn("the end of an attempt was not recorded", "err", err)
	}
}

// write writes the entry to the store.
func (o *order) write(durable bool) error {
	b, err := o.entry.Marshal()
	if err == nil {
		err = o.coordinator.options.Store.Put(o.key, b, durable)
	}
	if err != nil {
		o.coordinator.storeFailed(err)
		return err
	}
	return nil
}

// storeFailed records that the store fails, and checks it periodically until writes succeed.
func (c *Coordinator) storeFailed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.storeErr == nil
	c.storeErr = err
	if !first || c.closed {
		return
	}
	c.options.Log.Error("orders cannot be noted: those that need it are refused", "err", err)
	c.workers.Go(func() {
		tick := time.NewTicker(writeCheckInterval)
		defer tick.Stop()
		for {
			select {
			case <-c.ctx.Done():
				return
			case <-tick.C:
			}
			if err := c.options.Store.CheckWritable(); err == nil {
				c.mu.Lock()
				c.storeErr = nil
				c.mu.Unlock()
				c.options.Log.Info("orders can be noted again")
				return
			}
		}
	})
}

// retention returns how long an order of a class is kept; 0, no limit, during expiryGrace.
func (c *Coordinator) retention(class string) time.Duration {
	if time.Since(c.started) < expiryGrace {
		return 0
	}
	return c.options.Retention(class)
}

// writeError returns why the store fails, or nil.
func (c *Coordinator) writeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeErr
}

// Stats returns the current statistics.
func (c *Coordinator) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Open, s.StoreError = len(c.orders), c.storeErr
	return s
}

// Close stops the coordinator and closes its store. The engine must be closed first.
func (c *Coordinator) Close() error {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if closed {
		return nil
	}
	c.stop()
	c.workers.Wait()
	return c.options.Store.Close()
}

// Transport wraps inner so that the intent of each attempt of an order is recorded before it and
// its result after it. If the intent cannot be recorded, nothing is sent.
func Transport(inner engine.Transport) engine.Transport {
	return recordingTransport{inner}
}

type recordingTransport struct{ engine.Transport }

// Do implements engine.Transport.
func (t recordingTransport) Do(a *engine.Attempt, to engine.Endpoint) engine.AttemptResult {
	o, ok := a.Order().(*order)
	if !ok {
		return t.Transport.Do(a, to)
	}
	e, number, err := o.beginAttempt(to)
	if err != nil {
		return engine.AttemptResult{Status: policy.NotSent}
	}
	end := t.Transport.Do(a, to)
	o.endAttempt(e, number, end)
	return end
}

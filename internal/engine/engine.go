// Package engine hosts the decision module. It owns the module and its one lock, its clock and timers, the open requests
// and their attempts, and the list of servers. It turns what happens into the module's events, and carries out the
// module's actions through two interfaces: Transport, which reaches servers, and Source, which tells the list of them.
//
// It knows nothing of HTTP or any other protocol: to it a request is a class, a key, a cost, a time and an opaque
// payload. It picks no server, and neither retries, hedges, refuses nor ejects by itself.
package engine

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"quillfront/internal/siting"
	"quillfront/policy"
	"quillfront/roster"
	"quillfront/sites"
)

// longAgo lies between the clock's origin and the engine's start. It keeps every present time far from zero, which the
// module takes for 'never'.
const longAgo = time.Hour

// mostWait bounds a client's wait where the settings name no class.
const mostWait = time.Minute

// mostProbes bounds the probes under way; one beyond it counts as never sent.
const mostProbes = 64

// Module is what the engine needs of a policy.Balancer.
type Module interface {
	UpdateServers(policy.Time, policy.ListKind, []policy.Server, policy.Actions)
	DiscoveryMoved(policy.Time, policy.Actions)
	Request(policy.Time, policy.Request, policy.Actions)
	Outcome(policy.Time, policy.Outcome, policy.Actions)
	Probed(policy.Time, policy.ProbeResult, policy.Actions)
	ClientDisconnected(policy.Time, policy.RequestID, policy.Actions)
	Timer(policy.Time, string, policy.Actions)
	Reconfigure(policy.Config) error
	ResponseStarted(policy.Time, policy.RequestID, int, policy.Actions)
	UploadComplete(policy.Time, policy.RequestID, policy.Actions)
	StopSending(policy.Time, policy.RequestID, policy.Actions)
	GiveUp(policy.Time, policy.RequestID, policy.Actions)
}

// Endpoint is where a server is reached, and which one it is: an address may pass from one to another, and a server that
// has started anew is another one to whoever holds connections to it.
type Endpoint struct {
	Addr      string
	ID        policy.ServerID
	StartedMs int64 // Unix time in milliseconds; 0 is long ago
	Zone      string
	Cell      int
}

// String returns the address.
func (e Endpoint) String() string { return e.Addr }

// Transport reaches servers by some protocol. Its methods may be called from many goroutines at once.
type Transport interface {
	// Do carries out one attempt and returns its one ending, by a.Deadline at the latest. It sends at most once: whether
	// to send again is for the module to say. What it waits for ends when a is called off; see Attempt.OnCancel.
	Do(a *Attempt, to Endpoint) AttemptResult
	// Probe asks a server for its load. It ends by itself within a fixed time, or when ctx does.
	Probe(ctx context.Context, to Endpoint) (policy.Status, *policy.Load)
	// HangUp closes the idle connections to a server. It does not block.
	HangUp(to Endpoint)
}

// AttemptResult is how an attempt has ended.
type AttemptResult struct {
	Status          policy.Status
	Load            *policy.Load  // nil if none came with the answer
	Reply           any           // with policy.OK: the answer, for the front that asked, unless it was given by Begin
	PayloadConsumed bool          // the payload cannot be sent again
	AvoidFor        time.Duration // the server asks to be left alone for as long; 0: it does not
}

// Options is what an Engine is made of.
type Options struct {
	Config     policy.Config
	Module     Module
	Transport  Transport
	Source     Source        // of the list; nil: nothing is ever told
	Sites      *sites.Config // nil: sites are not watched. It has been checked
	CachedList *List         // the list as it was last known, perhaps out of date
	Log        *slog.Logger
}

// Engine hosts one decision module. Its methods may be called from many goroutines at once.
type Engine struct {
	log      *slog.Logger
	ctx      context.Context // ends with Close
	stop     context.CancelFunc
	work     sync.WaitGroup // attempts, probes and watches
	origin   time.Time      // of the module's clock
	originMs int64          // the same instant in Unix milliseconds, read once: see started
	to       Transport
	rules    atomic.Pointer[rules]

	// All that is below is touched under mu only.
	mu        sync.Mutex
	module    Module
	requests  map[policy.RequestID]*Request // until they have ended and their attempts are back
	names     map[string]*Request           // by Name, until they have ended
	open      int                           // requests that have not ended
	lastID    policy.RequestID
	endpoints map[policy.ServerID]Endpoint // of the servers that are listed
	listed    map[policy.ServerID]Server   // the list as it was told
	counts    map[string]*Counts           // by class
	sites     *siting.Host                 // watches them if it is told to
	config    policy.Config                // by which the module goes
	given     policy.Config                // the same, as it was given
	group     int                          // in place of its GroupSize; 0: that counts
	watched   *sites.Config                // by which sites are watched
	leaving   func(policy.ServerID)
	told      bool                           // by the source
	early     map[policy.ServerID]firstSight // of listed servers that began after they were told of
	faults    complaints
	absences  roster.Absences // what operators have taken out of it
	avoided   roster.Avoided  // what has asked to be left alone
	unavoids  *time.Timer     // ends that; nil: nothing has asked yet
	source    Source
	seq       int64              // of the last list of that source
	stopWatch context.CancelFunc // nil while there is no watch
	probing   int                // probes under way
	timers    timerHeap
	alarm     *time.Timer // fires when the first timer is due
	alarmAt   policy.Time // zero: not set
	after     []func(now policy.Time)
	closing   bool          // nothing more is taken
	drained   chan struct{} // closed once closing and open is 0
	closed    bool          // the module is told of nothing more
	retired   bool          // no list will be heeded any more
	cut       uint64        // refused or failed since
}

// ClockOrigin is the instant of policy.Time 0 for an engine that starts now.
func ClockOrigin() time.Time { return time.Now().Add(-longAgo) }

// New returns an engine that runs until Close.
func New(o Options) *Engine {
	origin := ClockOrigin()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		log: o.Log, ctx: ctx, stop: stop, origin: origin, originMs: origin.UnixMilli(), to: o.Transport,
		module: o.Module, requests: map[policy.RequestID]*Request{},
		names: map[string]*Request{}, endpoints: map[policy.ServerID]Endpoint{}, source: o.Source, seq: UnknownSeq,
		drained: make(chan struct{}), listed: map[policy.ServerID]Server{}, counts: map[string]*Counts{},
		sites: siting.New(o.Module, o.Log), config: o.Config, given: o.Config, early: map[policy.ServerID]firstSight{},
		faults: complaints{some: rate.Sometimes{First: 1, Interval: faultEvery}},
	}
	e.rules.Store(newRules(o.Config))
	e.alarm = time.AfterFunc(longAgo, e.ring)
	e.alarm.Stop()
	if o.Sites != nil {
		if err := e.WatchSites(o.Sites); err != nil {
			panic(err) // it was not checked
		}
	}
	e.event(func(now policy.Time) {
		if o.CachedList != nil {
			e.members(now, policy.ListCached, *o.CachedList)
		}
		e.listen()
	})
	return e
}

// Now reads the module's clock. Only event may do so for an event's time: read outside the lock, it could run backwards
// from one event to the next.
func (e *Engine) Now() policy.Time { return time.Since(e.origin) }

// event runs f, which hands one event to the module, and then those that f's actions gave rise to.
func (e *Engine) event(f func(now policy.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.Now())
	for len(e.after) > 0 {
		next := e.after
		e.after = nil
		for _, f := range next {
			f(e.Now())
		}
	}
}

// RunAsEvent runs f as one event of the module's: under the lock, and with the actions that the module could call. Its actions
// must be those of which the module may learn the outcome. It is for whoever scripts a module.
func (e *Engine) RunAsEvent(f func(now policy.Time, act policy.Actions)) {
	e.event(func(now policy.Time) { f(now, e) })
}

// The errors of Take.
var (
	// ErrClosed tells that the engine takes no more requests.
	ErrClosed = errors.New("the balancer is closed")
	// ErrUnknownClass tells that the configuration has no class of that name.
	ErrUnknownClass = errors.New("no such class of requests")
	// ErrDuplicateID tells that a request of that name is open.
	ErrDuplicateID = errors.New("a request of this id is open")
)

// Submit hands a request to the module. Its time has run since read, a time of Now. With an error nothing was taken, and r
// may be used again.
//
// It guards against two open requests under one name: servers tell requests by it, so that the answer to one could go to
// the other. A client that uses a name twice at once on purpose gets but one of them served.
func (e *Engine) Submit(r *Request, read policy.Time) (err error) {
	e.event(func(now policy.Time) {
		if err = e.admit(r); err == nil {
			e.hand(now, r, read)
		}
	})
	return err
}

// SubmitDeferred takes a request of which the module is not told: whoever adopts it gives it its result by Settle, or hands it to the
// module after all. In everything else it is as one that was taken.
func (e *Engine) SubmitDeferred(r *Request) (err error) {
	e.event(func(policy.Time) {
		if err = e.admit(r); err == nil {
			r.adopted = true
		}
	})
	return err
}

// ResolveDeferred gives an adopted request its result, unless it has ended.
func (e *Engine) ResolveDeferred(r *Request, result Result) {
	e.event(func(policy.Time) {
		if r.adopted {
			e.finish(r, result)
		}
	})
}

// DispatchDeferred hands an adopted request to the module, unless it has ended; first is run before, under the lock.
func (e *Engine) DispatchDeferred(r *Request, read policy.Time, first func()) {
	e.event(func(now policy.Time) {
		if !r.adopted || r.ended {
			return
		}
		if r.unsendable { // what it has waited for so far may have run
			e.finish(r, Result{Kind: Failed, MayHaveRun: true})
			return
		}
		first()
		r.adopted = false
		e.hand(now, r, read)
	})
}

// admit notes a request as open.
func (e *Engine) admit(r *Request) error {
	if !e.rules.Load().known(r.Class) {
		return fmt.Errorf("%w: %q", ErrUnknownClass, r.Class)
	}
	switch {
	case e.closing || r.unsendable:
		return ErrClosed
	case r.ExternalID != "" && e.names[r.ExternalID] != nil:
		return ErrDuplicateID
	case r.ExternalID != "":
		e.names[r.ExternalID] = r
	}
	e.lastID++
	e.open++
	e.count(r).Accepted++
	r.id, r.result, r.since = e.lastID, make(chan Result, 1), e.Now()
	e.requests[r.id] = r
	return nil
}

// Expires is when nobody waits any more for the answer to r, whose time has run since read.
func (e *Engine) Expires(r *Request, read policy.Time) policy.Time {
	if r.Deadline.IsZero() {
		return read + r.Timeout
	}
	return min(read+r.Timeout, r.Deadline.Sub(e.origin))
}

// hand tells the module of a request.
func (e *Engine) hand(now policy.Time, r *Request, read policy.Time) {
	e.sites.Tick(now)
	e.module.Request(now, policy.Request{
		ID: r.id, Class: r.Class, Tenant: r.Tenant, Key: r.Key, Cost: r.Cost, Retry: r.Retry, Expires: e.Expires(r, read), ClientTimeout: r.Timeout, PriorAttempts: r.KeyHistory,
		Uploading: r.Upload,
	}, e)
}

// Withdraw tells the module that the client has left, and reports whether the request was still open. If it was not, its
// result is there.
func (e *Engine) Withdraw(r *Request) (open bool) {
	e.event(func(now policy.Time) {
		if open = !r.ended; open {
			e.withdraw(now, r)
		}
	})
	return open
}

func (e *Engine) withdraw(now policy.Time, r *Request) {
	e.end(r)
	r.callOff(nil)
	e.count(r).Withdrawn++
	if r.OnEnd != nil {
		r.OnEnd(Result{}, true)
	}
	if !r.adopted {
		e.module.ClientDisconnected(now, r.id, e)
	}
	e.forget(r)
}

// finish gives r its final result. It guards against a second one.
func (e *Engine) finish(r *Request, result Result) {
	if r == nil || r.ended {
		return
	}
	e.end(r)
	r.callOff(nil)
	if e.retired {
		e.cut++
	}
	result.Attempts, result.LastStatus, result.NotRun = len(r.attempts), r.last, r.out == 0 && !r.ran
	e.give(r, result)
	e.after = append(e.after, func(policy.Time) { e.forget(r) })
}

// give delivers r's one result.
func (e *Engine) give(r *Request, result Result) {
	r.result <- result
	e.count(r).Results[result.Kind]++
	if r.OnEnd != nil {
		r.OnEnd(result, false)
	}
}

// end notes that r has ended: its name may be used again.
func (e *Engine) end(r *Request) {
	r.ended = true
	if r.ExternalID != "" {
		delete(e.names, r.ExternalID)
	}
	e.open--
	e.checkDrained()
}

func (e *Engine) checkDrained() {
	if e.closing && e.open == 0 {
		select {
		case <-e.drained:
		default:
			close(e.drained)
		}
	}
}

// forget drops a request that has ended once no attempt needs its payload any more.
func (e *Engine) forget(r *Request) {
	if !r.ended || r.out > 0 || e.requests[r.id] != r {
		return
	}
	delete(e.requests, r.id)
	r.Payload = nil
	if r.Release != nil {
		r.Release()
	}
}

// settled takes the end of an attempt.
func (e *Engine) settled(now policy.Time, a *Attempt, end AttemptResult) {
	r := a.req
	a.settled = true
	if end.Status == policy.Canceled && !r.ended && a.unsent() {
		end.Status = policy.NotSent
	}
	r.out--
	r.last = end.Status
	r.ran = r.ran || !end.Status.NotRun()
	e.count(r).Attempts[end.Status]++
	e.sites.Ended(now, a.Server, end.Status)
	if end.AvoidFor > 0 {
		e.avoid(now, a.Server, end.AvoidFor)
	}
	delay := now - a.sent
	if a.begun != 0 {
		delay = a.begun - a.sent // the rest may be as long as it likes
	}
	if end.Status == policy.OK && !r.ended {
		e.end(r)
		r.callOff(a)
		e.give(r, Result{Kind: Served, Reply: end.Reply, Server: a.Server, Attempts: len(r.attempts)})
	}
	e.module.Outcome(now, policy.Outcome{
		ID: r.id, Attempt: a.Number, Server: a.Server, Status: end.Status, Delay: delay,
		Final: r.ended, Load: end.Load, NoResend: end.PayloadConsumed,
	}, e)
	e.forget(r)
}

// BeginReply gives the request of a its result before the attempt has ended: the answer has begun, and nothing else is sent for it
// from now on. It reports false if the request has ended already, so that nobody awaits reply.
func (a *Attempt) BeginReply(reply any) (wanted bool) {
	e, r := a.engine, a.req
	e.event(func(now policy.Time) {
		if wanted = !r.ended; wanted {
			a.begun = now
			e.end(r)
			r.callOff(a)
			e.give(r, Result{Kind: Served, Reply: reply, Server: a.Server, Attempts: len(r.attempts)})
			e.module.ResponseStarted(now, r.id, a.Number, e)
		}
	})
	return wanted
}

// Uploaded tells that all of a payload that was still coming has come: the time of its request counts from now. It is
// called before the attempt waits for its answer, by the one that carries it out.
func (a *Attempt) Uploaded() { a.Deadline = a.UploadedConcurrently() }

// UploadedConcurrently is Uploaded for one that waits for the answer beside the upload: it leaves a.Deadline alone and returns what it is now.
func (a *Attempt) UploadedConcurrently() (deadline time.Time) {
	e, r := a.engine, a.req
	e.event(func(now policy.Time) {
		deadline, a.sent = time.Now().Add(r.Timeout), now
		a.SetStage(StageAnswer)
		if !r.ended {
			e.module.UploadComplete(now, r.id, e)
		}
	})
	return deadline
}

// The methods of policy.Actions. The module calls them under mu, so they never block, and report what comes of them
// through after or from a goroutine of their own.

// Send is a method of policy.Actions.
func (e *Engine) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	r := e.requests[id]
	if r == nil {
		return
	}
	now := time.Now()
	a := &Attempt{engine: e, req: r, Number: len(r.attempts), Server: server, sent: now.Sub(e.origin), Deadline: now.Add(timeout)}
	r.attempts = append(r.attempts, a)
	r.out++
	to, listed := e.endpoints[server]
	if r.ended || !listed || timeout <= 0 {
		e.after = append(e.after, func(now policy.Time) { e.settled(now, a, AttemptResult{Status: policy.NotSent}) })
		return
	}
	e.work.Go(func() {
		end := e.to.Do(a, to)
		e.event(func(now policy.Time) { e.settled(now, a, end) })
	})
}

// Refuse is a method of policy.Actions.
func (e *Engine) Refuse(id policy.RequestID, retryAfter time.Duration) {
	e.finish(e.requests[id], Result{Kind: Refused, RetryAfter: retryAfter})
}

// Fail is a method of policy.Actions.
func (e *Engine) Fail(id policy.RequestID) { e.finish(e.requests[id], Result{Kind: Failed}) }

// Cancel is a method of policy.Actions.
func (e *Engine) Cancel(id policy.RequestID, attempt int) {
	if r := e.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		r.attempts[attempt].cancel()
	}
}

// CloseIdle is a method of policy.Actions.
func (e *Engine) CloseIdle(server policy.ServerID) {
	if to, ok := e.endpoints[server]; ok {
		e.to.HangUp(to)
	}
}

// Log is a method of policy.Actions.
func (e *Engine) Log(text string) { e.log.Info("policy: " + text) }

// Probe is a method of policy.Actions.
func (e *Engine) Probe(server policy.ServerID) {
	sent := e.Now()
	to, listed := e.endpoints[server]
	if !listed || e.probing >= mostProbes || e.closed {
		e.after = append(e.after, func(now policy.Time) {
			e.module.Probed(now, policy.ProbeResult{Server: server, Status: policy.NotSent}, e)
		})
		return
	}
	e.probing++
	e.work.Go(func() {
		status, load := e.to.Probe(e.ctx, to)
		e.event(func(now policy.Time) {
			e.probing--
			e.sites.Ended(now, server, status)
			if !e.closed {
				e.module.Probed(now, policy.ProbeResult{Server: server, Status: status, Delay: now - sent, Load: load}, e)
			}
		})
	})
}

// Drain takes no more requests from now on, and waits until all that were taken have ended, or ctx has.
func (e *Engine) Drain(ctx context.Context) error {
	e.event(func(policy.Time) {
		e.closing = true
		e.checkDrained()
	})
	select {
	case <-e.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends the engine: requests that are still open end as Dropped, their attempts are called off, and it returns once
// no goroutine of the engine's is left.
func (e *Engine) Close() {
	e.event(func(now policy.Time) {
		e.closing = true
		for _, r := range maps.Clone(e.requests) {
			if !r.ended {
				r.result <- Result{Kind: Dropped, Attempts: len(r.attempts), LastStatus: r.last, NotRun: r.out == 0 && !r.ran}
				e.withdraw(now, r)
			}
			for _, a := range r.attempts {
				a.cancel()
			}
		}
		e.checkDrained()
		e.closed = true
		if e.stopWatch != nil {
			e.stopWatch()
			e.stopWatch = nil
		}
		e.timers = nil
		e.alarm.Stop()
		if e.unavoids != nil {
			e.unavoids.Stop()
		}
	})
	e.stop()
	e.work.Wait()
}

// String describes the engine's load for logs.
func (e *Engine) String() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d requests, %d timers, %d upstreams", len(e.requests), len(e.timers), len(e.endpoints))
}

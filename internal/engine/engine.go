// Package engine hosts the decision module. It owns the module and the lock that protects it, the
// module's clock and timers, the open requests and their attempts, and the server list. It turns
// external events into calls of the module and executes the module's actions through two
// interfaces: Transport, which reaches servers, and Source, which provides the server list.
//
// The engine is independent of HTTP and every other protocol: a request is a class, a key, a cost,
// a timeout and an opaque payload. The engine itself never selects a server, retries, hedges,
// refuses or ejects; those decisions belong to the module.
package engine

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"quillfront/exclusion"
	"quillfront/internal/sitewatch"
	"quillfront/policy"
	"quillfront/sites"
)

// clockOffset is the time between the clock's origin and the engine's start. It keeps current times
// far from zero, which the module treats as "never".
const clockOffset = time.Hour

// defaultMaxWait limits how long a client waits if the settings define no class.
const defaultMaxWait = time.Minute

// maxConcurrentProbes limits the probes in flight. A probe above the limit is reported as not sent.
const maxConcurrentProbes = 64

// Module is the part of policy.Balancer that the engine uses.
type Module interface {
	UpdateServers(policy.Time, policy.ListKind, []policy.Server, policy.Actions)
	DiscoveryMoved(policy.Time, policy.Actions)
	Request(policy.Time, policy.Request, policy.Actions)
	Outcome(policy.Time, policy.Outcome, policy.Actions)
	Probed(policy.Time, policy.ProbeResult, policy.Actions)
	ClientDisconnected(policy.Time, policy.RequestID, policy.Actions)
	Timer(policy.Time, string, policy.Actions)
	Reconfigure(policy.Config) error
	ResponseSlow(policy.Time, policy.RequestID, int, policy.Actions)
	ResponseStalled(now policy.Time, id policy.RequestID, attempt int, lastAt policy.Time, act policy.Actions)
	ResponseStarted(policy.Time, policy.RequestID, int, policy.Actions)
	UploadComplete(now policy.Time, id policy.RequestID, receivedAt policy.Time, act policy.Actions) (answerBy policy.Time)
	StopSending(policy.Time, policy.RequestID, policy.Actions)
	GiveUp(policy.Time, policy.RequestID, policy.Actions)
}

// Endpoint is a server's address together with its identity. An address can be reassigned to
// another server, and connections to a server become invalid when it restarts, so endpoints are
// compared as a whole.
type Endpoint struct {
	Addr      string
	ID        policy.ServerID
	StartedMs int64 // Unix time in milliseconds; 0 means long ago
	Zone      string
	Cell      int
}

// String returns the address.
func (e Endpoint) String() string { return e.Addr }

// Transport sends requests and probes to servers over a specific protocol. Its methods are called
// concurrently.
type Transport interface {
	// Do executes one attempt and returns its result no later than a.Deadline. It sends the payload
	// at most once; the module decides about retries. Do stops waiting when a is canceled; see
	// Attempt.OnCancel.
	Do(a *Attempt, to Endpoint) AttemptResult
	// Probe asks a server for a load report. It returns within a fixed time, or when ctx is done.
	Probe(ctx context.Context, to Endpoint) (policy.Status, *policy.Load)
	// CloseIdle closes the idle connections to a server. It does not block.
	CloseIdle(to Endpoint)
}

// AttemptResult is the outcome of an attempt as the transport reports it.
type AttemptResult struct {
	Status policy.Status
	Load   *policy.Load // nil if the reply carried no load report
	// Reply is the reply if Status is policy.OK, unless BeginReply delivered it already.
	Reply           any
	PayloadConsumed bool // the payload cannot be sent again
	// AvoidFor is how long the server asks to get no new requests; 0 if it did not ask.
	AvoidFor time.Duration
	End      AttemptEnd // how an attempt without a whole answer ended
}

// Options configures an Engine.
type Options struct {
	Config     policy.Config
	Module     Module
	Transport  Transport
	Source     Source        // source of the server list; nil if there is none
	Sites      *sites.Config // validated configuration of site monitoring; nil disables it
	CachedList *List         // last known server list, possibly outdated; may be nil
	Log        *slog.Logger
}

// Engine hosts one decision module. Its methods are safe for concurrent use.
type Engine struct {
	log        *slog.Logger
	ctx        context.Context // canceled by Close
	stop       context.CancelFunc
	goroutines sync.WaitGroup // goroutines of attempts, probes and watches
	origin     time.Time      // origin of the module's clock
	originMs   int64          // origin in Unix milliseconds, converted once; see startTime
	transport  Transport
	classes    atomic.Pointer[classSet]

	// mu protects the fields below.
	mu               sync.Mutex
	module           Module
	requests         map[policy.RequestID]*Request // open, or ended with attempts still in flight
	openByExternalID map[string]*Request           // open requests by ExternalID
	spent            spentIDs                      // IDs of requests that may have run
	sharedIDs        SharedIDs                     // IDs in use at all processes; nil: this is the only one
	openCount        int                           // requests that have not ended
	lastID           policy.RequestID              // ID of the request accepted last
	endpoints        map[policy.ServerID]Endpoint  // endpoints of the listed servers
	listed           map[policy.ServerID]Server    // the list as the source sent it
	counts           map[string]*Counts            // by class
	sites            *sitewatch.Watcher            // monitors sites while siteConfig is set
	config           policy.Config                 // configuration that the module uses
	baseConfig       policy.Config                 // config before groupOverride is applied
	groupOverride    int                           // replaces baseConfig.GroupSize; 0: no override
	siteConfig       *sites.Config                 // configuration of site monitoring; may be nil
	onLeaving        func(policy.ServerID)
	listReceived     bool                            // the source has sent a list
	futureStarts     map[policy.ServerID]futureStart // listed servers whose start lay in the future
	entryErrors      entryErrorLog
	exchanges        exchangeLog
	absences         exclusion.State   // servers that operators have removed from the list
	avoided          exclusion.Avoided // servers that get no new requests for a limited time
	avoidTimer       *time.Timer       // ends the next avoidance; nil before the first one
	source           Source
	seq              int64              // version of the last list from source
	stopWatch        context.CancelFunc // nil if no watch is running
	probing          int                // probes in flight
	timers           timerHeap
	wakeTimer        *time.Timer             // fires when the earliest timer is due
	wakeAt           policy.Time             // when wakeTimer fires; zero if it is not set
	deferredEvents   []func(now policy.Time) // run by event after the present one
	closing          bool                    // no new requests are accepted
	drained          chan struct{}           // closed once closing is set and openCount is 0
	closed           bool                    // set by Close: no more timers, probes or watches
	retired          bool                    // set by Retire: list updates are ignored
	unserved         uint64                  // requests refused or failed since Retire
}

// ClockOrigin returns the wall-clock time of policy.Time 0 for an engine that starts now.
func ClockOrigin() time.Time { return time.Now().Add(-clockOffset) }

// New returns an engine that runs until Close.
func New(o Options) *Engine {
	origin := ClockOrigin()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		log: o.Log, ctx: ctx, stop: stop, origin: origin, originMs: origin.UnixMilli(), transport: o.Transport,
		module: o.Module, requests: map[policy.RequestID]*Request{},
		openByExternalID: map[string]*Request{}, endpoints: map[policy.ServerID]Endpoint{}, source: o.Source, seq: UnknownSeq,
		drained: make(chan struct{}), listed: map[policy.ServerID]Server{}, counts: map[string]*Counts{},
		sites: sitewatch.New(o.Module, o.Log), config: o.Config, baseConfig: o.Config, futureStarts: map[policy.ServerID]futureStart{},
		entryErrors: entryErrorLog{limit: rate.Sometimes{First: 1, Interval: entryErrorLogInterval}}, exchanges: newExchangeLog(o.Log),
	}
	e.classes.Store(newClassSet(o.Config))
	e.wakeTimer = time.AfterFunc(clockOffset, e.fireTimers)
	e.wakeTimer.Stop()
	if o.Sites != nil {
		if err := e.WatchSites(o.Sites); err != nil {
			panic(err) // the caller did not validate Options.Sites
		}
	}
	e.event(func(now policy.Time) {
		if o.CachedList != nil {
			e.updateList(now, policy.ListCached, *o.CachedList)
		}
		e.ensurePushedWatch()
	})
	return e
}

// Now returns the current time of the module's clock. Only event may use it as the time of an
// event: if it were read outside the lock, time could go backwards between events.
func (e *Engine) Now() policy.Time { return time.Since(e.origin) }

// event runs f, which passes one event to the module, and then the events that f's actions
// deferred.
func (e *Engine) event(f func(now policy.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.Now())
	for len(e.deferredEvents) > 0 {
		next := e.deferredEvents
		e.deferredEvents = nil
		for _, f := range next {
			f(e.Now())
		}
	}
}

// RunAsEvent runs f as one module event: under the lock, and with the actions that the module can
// call. f may only call actions whose outcome the module can handle. It is meant for tests that
// script a module.
func (e *Engine) RunAsEvent(f func(now policy.Time, act policy.Actions)) {
	e.event(func(now policy.Time) { f(now, e) })
}

// Errors returned by Submit and SubmitDeferred.
var (
	// ErrClosed means that the engine accepts no more requests.
	ErrClosed = errors.New("the balancer is closed")
	// ErrUnknownClass means that the configuration has no class of that name.
	ErrUnknownClass = errors.New("no such class of requests")
	// ErrDuplicateID means that a request with the same ExternalID is open, or may have run.
	ErrDuplicateID = errors.New("a request with this ID is already open, or may have run")
)

// Submit passes a request to the module. The request's timeout runs from receivedAt, a time
// returned by Now. If Submit returns an error, the request was not accepted and r can be reused.
//
// Submit rejects a request whose ExternalID is in use by another open request: servers identify
// requests by it, so the reply to one could be delivered to the other. A client that deliberately
// uses an ID twice at the same time gets only one of the requests served.
func (e *Engine) Submit(r *Request, receivedAt policy.Time) (err error) {
	e.event(func(now policy.Time) {
		if err = e.register(r); err == nil {
			e.dispatch(now, r, receivedAt)
		}
	})
	return err
}

// SubmitDeferred accepts a request without passing it to the module. The caller ends it with
// ResolveDeferred, or passes it to the module later with DispatchDeferred. In all other respects
// the request is treated like a submitted one.
func (e *Engine) SubmitDeferred(r *Request) (err error) {
	e.event(func(policy.Time) {
		if err = e.register(r); err == nil {
			r.deferred = true
		}
	})
	return err
}

// ResolveDeferred delivers the result of a deferred request, unless the request has ended.
func (e *Engine) ResolveDeferred(r *Request, result Result) {
	e.event(func(policy.Time) {
		if r.deferred {
			e.finish(r, result)
		}
	})
}

// DispatchDeferred passes a deferred request to the module, unless the request has ended. It calls
// beforeDispatch first, under the engine's lock.
func (e *Engine) DispatchDeferred(r *Request, receivedAt policy.Time, beforeDispatch func()) {
	e.event(func(now policy.Time) {
		if !r.deferred || r.ended {
			return
		}
		if r.sendingStopped { // the earlier request it waited for may have run
			e.finish(r, Result{Kind: Failed, MayHaveRun: true})
			return
		}
		beforeDispatch()
		r.deferred = false
		e.dispatch(now, r, receivedAt)
	})
}

// register validates a request and records it as open.
func (e *Engine) register(r *Request) error {
	if !e.classes.Load().known(r.Class) {
		return fmt.Errorf("%w: %q", ErrUnknownClass, r.Class)
	}
	switch {
	case e.closing || r.sendingStopped:
		return ErrClosed
	case r.ExternalID != "" && e.openByExternalID[r.ExternalID] != nil:
		return ErrDuplicateID
	case e.singleUse(r) && e.spent.contains(e.Now(), r.ExternalID):
		return ErrDuplicateID
	case !e.claimID(r):
		return ErrDuplicateID
	case r.ExternalID != "":
		e.openByExternalID[r.ExternalID] = r
	}
	e.lastID++
	e.openCount++
	e.countsOf(r).Accepted++
	r.id, r.result, r.submittedAt = e.lastID, make(chan Result, 1), e.Now()
	e.requests[r.id] = r
	return nil
}

// Expires returns when the client stops waiting for the reply to r, whose timeout runs from
// receivedAt.
func (e *Engine) Expires(r *Request, receivedAt policy.Time) policy.Time {
	if r.Deadline.IsZero() {
		return receivedAt + r.Timeout
	}
	return min(receivedAt+r.Timeout, r.Deadline.Sub(e.origin))
}

// dispatch passes a request to the module.
func (e *Engine) dispatch(now policy.Time, r *Request, receivedAt policy.Time) {
	e.sites.Tick(now)
	e.module.Request(now, policy.Request{
		ID: r.id, Class: r.Class, Tenant: r.Tenant, Key: r.Key, Cost: r.Cost, Retry: r.Retry, Expires: e.Expires(r, receivedAt), ClientTimeout: r.Timeout, PriorAttempts: r.PriorAttempts,
		Uploading: r.Uploading,
	}, e)
}

// Withdraw tells the module that the client has disconnected, and reports whether the request was
// still open. If it was not, its result is available.
func (e *Engine) Withdraw(r *Request) (open bool) {
	e.event(func(now policy.Time) {
		if open = !r.ended; open {
			e.withdraw(now, r)
		}
	})
	return open
}

// withdraw ends r without a result and reports that to the module, unless r is deferred.
func (e *Engine) withdraw(now policy.Time, r *Request) {
	e.markEnded(r)
	r.cancelUnsent(nil)
	e.countsOf(r).Withdrawn++
	if r.OnEnd != nil {
		r.OnEnd(Result{}, true)
	}
	if !r.deferred {
		e.module.ClientDisconnected(now, r.id, e)
	}
	e.releaseIfDone(r)
}

// finish ends r with its final result. It does nothing if r is nil or has a result already.
func (e *Engine) finish(r *Request, result Result) {
	if r == nil || r.ended {
		return
	}
	e.markEnded(r)
	r.cancelUnsent(nil)
	if e.retired {
		e.unserved++
	}
	result.Attempts, result.LastStatus, result.NotRun = len(r.attempts), r.lastStatus, r.outstanding == 0 && !r.mayHaveRun
	e.deliver(r, result)
	e.deferredEvents = append(e.deferredEvents, func(policy.Time) { e.releaseIfDone(r) })
}

// deliver counts r's only result and sends it to the client. OnEnd comes first: a client that has the
// result may repeat the request at once, and must not find it open.
func (e *Engine) deliver(r *Request, result Result) {
	e.countsOf(r).Results[result.Kind]++
	e.exchanges.requestEnded(e.Now(), r, result)
	if r.OnEnd != nil {
		r.OnEnd(result, false)
	}
	r.result <- result
}

// markEnded marks r as ended and frees its ExternalID for other requests.
func (e *Engine) markEnded(r *Request) {
	r.ended = true
	e.freeID(r)
	e.openCount--
	e.checkDrained()
}

// checkDrained closes drained if the engine is closing and no request is open.
func (e *Engine) checkDrained() {
	if e.closing && e.openCount == 0 {
		select {
		case <-e.drained:
		default:
			close(e.drained)
		}
	}
}

// releaseIfDone forgets a request that has ended, once no attempt needs its payload.
func (e *Engine) releaseIfDone(r *Request) {
	if !r.ended || r.outstanding > 0 || e.requests[r.id] != r {
		return
	}
	if e.singleUse(r) && !r.mayHaveRun {
		e.unspendID(r)
	}
	delete(e.requests, r.id)
	r.Payload = nil
	if r.Release != nil {
		r.Release()
	}
}

// attemptEnded processes the result of an attempt and reports it to the module.
func (e *Engine) attemptEnded(now policy.Time, a *Attempt, result AttemptResult) {
	r := a.req
	a.ended = true
	if result.Status == policy.Canceled && !r.ended && a.unsent() {
		result.Status = policy.NotSent
	}
	r.outstanding--
	r.lastStatus = result.Status
	r.mayHaveRun = r.mayHaveRun || !result.Status.NotRun()
	if result.End.Reason == policy.ReasonNone {
		result.End.Reason = policy.DefaultReason(result.Status)
	}
	counts := e.countsOf(r)
	counts.Attempts[result.Status]++
	counts.Reasons[result.End.Reason]++
	e.exchanges.attemptEnded(now, a, result)
	e.sites.RecordOutcome(now, a.Server, result.Status)
	if result.AvoidFor > 0 {
		e.avoid(now, a.Server, result.AvoidFor)
	}
	delay := now - a.sentAt
	if a.replyBegunAt != 0 {
		// How long the rest of a slow or streamed reply takes is not the server's latency.
		delay = a.replyBegunAt - a.sentAt
	}
	if result.Status == policy.OK && !r.ended {
		e.markEnded(r)
		r.cancelUnsent(a)
		e.deliver(r, Result{Kind: Served, Reply: result.Reply, Server: a.Server, Attempts: len(r.attempts)})
	}
	e.module.Outcome(now, policy.Outcome{
		ID: r.id, Attempt: a.Number, Server: a.Server, Status: result.Status, Reason: result.End.Reason, Delay: delay,
		Final: r.ended, Load: result.Load, NoResend: result.PayloadConsumed,
	}, e)
	e.releaseIfDone(r)
}

// BeginReply delivers the request's result before the attempt has ended, because the reply has
// started; from now on nothing else is sent for the request. It returns false if the request has
// ended already, so that nobody waits for reply.
func (a *Attempt) BeginReply(reply any) (wanted bool) {
	e, r := a.engine, a.req
	e.event(func(now policy.Time) {
		if wanted = !r.ended; wanted {
			a.replyBegunAt = cmp.Or(a.replyBegunAt, now)
			e.markEnded(r)
			r.cancelUnsent(a)
			e.deliver(r, Result{Kind: Served, Reply: reply, Streamed: true, Server: a.Server, Attempts: len(r.attempts)})
			e.module.ResponseStarted(now, r.id, a.Number, e)
		}
	})
	return wanted
}

// ResponseSlow tells the module that a reply has begun, at begunAt, and is not complete soon after.
func (a *Attempt) ResponseSlow(begunAt time.Time) {
	e := a.engine
	e.event(func(now policy.Time) {
		a.replyBegunAt = min(now, begunAt.Sub(e.origin))
		e.module.ResponseSlow(now, a.req.id, a.Number, e)
	})
}

// Timeout returns how long the client waits for the reply.
func (a *Attempt) Timeout() time.Duration { return a.req.Timeout }

// Uploaded reports that a payload that was still arriving has been sent to its end. It returns the
// deadline of the reply: the request's timeout runs from receivedAt, when the last of the payload had
// arrived, or from now if that is zero, and the module may answer it before. It leaves a.Deadline
// unchanged.
func (a *Attempt) Uploaded(receivedAt time.Time) (deadline time.Time) {
	e, r := a.engine, a.req
	e.event(func(now policy.Time) {
		arrived := now
		if !receivedAt.IsZero() {
			arrived = min(now, receivedAt.Sub(e.origin))
		}
		left := r.Timeout - (now - arrived)
		a.sentAt = now
		a.SetStage(StageAnswer)
		if !r.ended {
			if answerBy := e.module.UploadComplete(now, r.id, arrived, e); answerBy > 0 {
				left = min(left, answerBy-now)
			}
		}
		deadline = time.Now().Add(left)
	})
	return deadline
}

// The methods below implement policy.Actions. The module calls them with mu held, so they never
// block; they report outcomes through deferredEvents or from a goroutine of their own.

// Send implements policy.Actions.
func (e *Engine) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	r := e.requests[id]
	if r == nil {
		return
	}
	now := time.Now()
	a := &Attempt{engine: e, req: r, Number: len(r.attempts), Server: server, sentAt: now.Sub(e.origin), Deadline: now.Add(timeout)}
	r.attempts = append(r.attempts, a)
	r.several.Store(len(r.attempts) > 1)
	r.outstanding++
	to, listed := e.endpoints[server]
	if r.ended || !listed || timeout <= 0 {
		e.deferredEvents = append(e.deferredEvents, func(now policy.Time) { e.attemptEnded(now, a, AttemptResult{Status: policy.NotSent}) })
		return
	}
	e.goroutines.Go(func() {
		result := e.transport.Do(a, to)
		e.event(func(now policy.Time) { e.attemptEnded(now, a, result) })
	})
}

// Refuse implements policy.Actions.
func (e *Engine) Refuse(id policy.RequestID, retryAfter time.Duration) {
	e.finish(e.requests[id], Result{Kind: Refused, RetryAfter: retryAfter})
}

// Fail implements policy.Actions.
func (e *Engine) Fail(id policy.RequestID) { e.finish(e.requests[id], Result{Kind: Failed}) }

// Cancel implements policy.Actions.
func (e *Engine) Cancel(id policy.RequestID, attempt int) {
	if r := e.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		r.attempts[attempt].cancel()
	}
}

// CloseIdle implements policy.Actions.
func (e *Engine) CloseIdle(server policy.ServerID) {
	if to, ok := e.endpoints[server]; ok {
		e.transport.CloseIdle(to)
	}
}

// Log implements policy.Actions.
func (e *Engine) Log(text string) { e.log.Info("policy: " + text) }

// Probe implements policy.Actions.
func (e *Engine) Probe(server policy.ServerID) {
	sent := e.Now()
	to, listed := e.endpoints[server]
	if !listed || e.probing >= maxConcurrentProbes || e.closed {
		e.deferredEvents = append(e.deferredEvents, func(now policy.Time) {
			e.module.Probed(now, policy.ProbeResult{Server: server, Status: policy.NotSent}, e)
		})
		return
	}
	e.probing++
	e.goroutines.Go(func() {
		status, load := e.transport.Probe(e.ctx, to)
		e.event(func(now policy.Time) {
			e.probing--
			e.sites.RecordOutcome(now, server, status)
			if !e.closed {
				e.module.Probed(now, policy.ProbeResult{Server: server, Status: status, Delay: now - sent, Load: load}, e)
			}
		})
	})
}

// Drain stops accepting requests and waits until all accepted requests have ended or ctx is done.
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

// Close stops the engine. Requests that are still open end as Dropped and their attempts are
// canceled. Close returns once all goroutines of the engine have ended.
func (e *Engine) Close() {
	e.event(func(now policy.Time) {
		e.closing = true
		for _, r := range maps.Clone(e.requests) {
			if !r.ended {
				result := Result{Kind: Dropped, Attempts: len(r.attempts), LastStatus: r.lastStatus, NotRun: r.outstanding == 0 && !r.mayHaveRun}
				e.withdraw(now, r)
				r.result <- result
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
		e.wakeTimer.Stop()
		if e.avoidTimer != nil {
			e.avoidTimer.Stop()
		}
	})
	e.stop()
	e.goroutines.Wait()
}

// String describes the engine's load for logs.
func (e *Engine) String() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d requests, %d timers, %d upstreams", len(e.requests), len(e.timers), len(e.endpoints))
}

// Package sidecar is the real host of the decision module: it turns what happens on sockets into the module's
// events, and the module's actions into traffic on sockets. It picks no upstream, and neither retries, hedges,
// refuses nor ejects by itself.
package sidecar

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"net/url"
	"sync"
	"time"

	"heathstack/internal/settings"
	"heathstack/policy"
)

// longAgo lies between the clock's origin and the process's start. It keeps every present time far from
// zero, which the module takes for 'never'.
const longAgo = time.Hour

// module is what the host needs of a policy.Balancer.
type module interface {
	Members(policy.Time, policy.ListKind, []policy.Server, policy.Actions)
	Moved(policy.Time, policy.Actions)
	Request(policy.Time, policy.Request, policy.Actions)
	Outcome(policy.Time, policy.Outcome, policy.Actions)
	Probed(policy.Time, policy.ProbeResult, policy.Actions)
	Withdrawn(policy.Time, policy.RequestID, policy.Actions)
	Timer(policy.Time, string, policy.Actions)
}

// host owns the module. All that is below mu is touched only under it.
type host struct {
	settings settings.Settings
	log      *slog.Logger
	ctx      context.Context // ends with the process
	origin   time.Time       // of the module's clock
	originMs int64           // the same instant in Unix milliseconds, read once: see started
	up       *upstreams
	longest  time.Duration
	effects  map[string]policy.Effect // by class
	deadline map[string]time.Duration // by class

	mu        sync.Mutex
	balancer  module
	requests  map[policy.RequestID]*request // until they have ended and their attempts are back
	open      map[string]*request           // by X-Request-ID, until they have ended
	lastID    policy.RequestID
	dials     map[policy.ServerID]dial // of the upstreams that are listed
	disco     string                   // address of discovery
	seq       int64                    // of the last list message of that discovery
	stopWatch context.CancelFunc       // nil while there is no watch
	probing   int                      // probes under way
	timers    timerHeap
	alarm     *time.Timer // fires when the first timer is due
	alarmAt   policy.Time // zero: not set
	after     []func(now policy.Time)
}

// request is one request of a client, from its last byte until all its attempts are back.
type request struct {
	id       policy.RequestID
	key      string // the client's X-Request-ID
	method   string
	target   *url.URL
	host     string
	header   http.Header
	body     []byte
	free     func() // gives the room of body back
	answer   chan answer
	attempts []*attempt
	out      int
	ended    bool
}

// answer is the final answer to a request.
type answer struct {
	status     int
	retryAfter time.Duration
	header     http.Header
	body       []byte
}

func newHost(ctx context.Context, cfg Config, b module, up *upstreams, log *slog.Logger) *host {
	origin := time.Now().Add(-longAgo)
	h := &host{
		settings: cfg.Settings, log: log, ctx: ctx, origin: origin, originMs: origin.UnixMilli(), up: up,
		disco: cfg.Discovery, seq: unknownSeq, balancer: b, requests: map[policy.RequestID]*request{}, open: map[string]*request{},
		dials: map[policy.ServerID]dial{}, effects: map[string]policy.Effect{},
		deadline: map[string]time.Duration{},
	}
	for _, c := range cfg.Settings.Config.Classes {
		h.effects[c.Name], h.deadline[c.Name] = c.Effect, c.Deadline
		h.longest = max(h.longest, c.Deadline)
	}
	if h.longest == 0 {
		h.longest = mostWait
	}
	h.alarm = time.AfterFunc(longAgo, h.ring)
	h.alarm.Stop()
	if cfg.Known != nil {
		h.event(func(now policy.Time) { h.members(now, policy.ListCached, cfg.Known) })
	}
	return h
}

// now reads the module's clock. Only event may do so for an event's time: read outside the lock, it could
// run backwards from one event to the next.
func (h *host) now() policy.Time { return time.Since(h.origin) }

// event runs f, which hands one event to the balancer, and then those that f's actions gave rise to.
func (h *host) event(f func(now policy.Time)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.now())
	for len(h.after) > 0 {
		next := h.after
		h.after = nil
		for _, f := range next {
			f(h.now())
		}
	}
}

// take hands a request to the module, and reports whether it does. Its time has run since read. It guards against two
// open requests under one id: upstreams tell requests by it, so that the answer to one could go to the other. A client
// that uses an id twice at once on purpose gets but one of them served.
func (h *host) take(r *request, q policy.Request, read policy.Time, timeout time.Duration) (taken bool) {
	h.event(func(now policy.Time) {
		if h.open[r.key] != nil {
			return
		}
		taken = true
		h.open[r.key] = r
		h.lastID++
		r.id = h.lastID
		h.requests[r.id] = r
		q.ID, q.Expires = r.id, read+timeout
		h.balancer.Request(now, q, h)
	})
	return taken
}

// withdraw tells the module that the client has left, and reports whether the request was still open.
func (h *host) withdraw(r *request) (open bool) {
	h.event(func(now policy.Time) {
		if r.ended {
			return
		}
		open = true
		h.close(r)
		h.balancer.Withdrawn(now, r.id, h)
		h.forget(r)
	})
	return open
}

// end gives r its final answer. It guards against a second one.
func (h *host) end(r *request, a answer) {
	if r == nil || r.ended {
		return
	}
	h.close(r)
	r.answer <- a
	h.after = append(h.after, func(policy.Time) { h.forget(r) })
}

// close notes that r has ended: its id may be used again.
func (h *host) close(r *request) {
	r.ended = true
	delete(h.open, r.key)
}

// forget drops a request that has ended once no attempt needs its body any more.
func (h *host) forget(r *request) {
	if !r.ended || r.out > 0 || h.requests[r.id] != r {
		return
	}
	delete(h.requests, r.id)
	r.body = nil
	r.free()
}

// settle takes the end of an attempt: with OK, ans is its answer.
func (h *host) settle(a *attempt, status policy.Status, load *policy.Load, ans answer) {
	h.event(func(now policy.Time) { h.settled(now, a, status, load, ans) })
}

func (h *host) settled(now policy.Time, a *attempt, status policy.Status, load *policy.Load, ans answer) {
	r := a.req
	if a.done { // guards against a second outcome of one attempt
		return
	}
	a.done = true
	r.out--
	if status == policy.OK && !r.ended {
		h.close(r)
		r.answer <- ans
	}
	h.balancer.Outcome(now, policy.Outcome{
		ID: r.id, Attempt: a.number, Server: a.server, Status: status, Delay: now - a.sent,
		Closed: r.ended, Load: load,
	}, h)
	h.forget(r)
}

// The methods of policy.Actions. The balancer calls them under mu, so they never block, and report what
// comes of them through after or from a goroutine of their own.

func (h *host) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	r := h.requests[id]
	if r == nil {
		return
	}
	now := time.Now()
	a := &attempt{req: r, number: len(r.attempts), server: server, sent: now.Sub(h.origin), deadline: now.Add(timeout)}
	r.attempts = append(r.attempts, a)
	r.out++
	to, listed := h.dials[server]
	if r.ended || !listed || timeout <= 0 {
		h.after = append(h.after, func(now policy.Time) { h.settled(now, a, policy.Moot, nil, answer{}) })
		return
	}
	go h.attempt(a, to)
}

func (h *host) Refuse(id policy.RequestID, retryAfter time.Duration) {
	h.end(h.requests[id], answer{status: http.StatusServiceUnavailable, retryAfter: retryAfter})
}

func (h *host) Fail(id policy.RequestID) {
	h.end(h.requests[id], answer{status: http.StatusBadGateway})
}

func (h *host) Cancel(id policy.RequestID, attempt int) {
	if r := h.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		r.attempts[attempt].cancel()
	}
}

func (h *host) HangUp(server policy.ServerID) {
	if to, ok := h.dials[server]; ok {
		h.up.hangUp(to)
	}
}

func (h *host) Log(text string) { h.log.Info("policy: " + text) }

func (h *host) SetTimer(after time.Duration, token string) {
	at := h.now() + max(0, after)
	heap.Push(&h.timers, timer{at, token})
	h.setAlarm()
}

// setAlarm makes the alarm ring when the first timer is due.
func (h *host) setAlarm() {
	if len(h.timers) > 0 && (h.alarmAt == 0 || h.timers[0].at < h.alarmAt) {
		h.alarmAt = h.timers[0].at
		h.alarm.Reset(max(0, h.alarmAt-h.now()))
	}
}

// ring hands the timers that are due to the module, all in one go.
func (h *host) ring() {
	h.event(func(now policy.Time) {
		h.alarmAt = 0
		var due []string
		for len(h.timers) > 0 && h.timers[0].at <= now {
			due = append(due, heap.Pop(&h.timers).(timer).token)
		}
		for _, token := range due {
			h.balancer.Timer(now, token, h)
		}
		h.setAlarm()
	})
}

type timer struct {
	at    policy.Time
	token string
}

// timerHeap implements heap.Interface, the timer that is due first at its top.
type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{} // lets go of the token
	*t = (*t)[:last]
	return x
}

// unknownSeq stands for the version of a list that nobody has told.
const unknownSeq = -1

// move makes addr the address of discovery, and reports whether that is new. Versions are those of the old one: the
// whole list must be asked for.
func (h *host) move(addr string) (moved bool) {
	h.event(func(now policy.Time) {
		if moved = addr != h.disco; moved {
			h.disco, h.seq = addr, unknownSeq
			h.balancer.Moved(now, h)
		}
	})
	return moved
}

// members hands a message about the server list to the module.
func (h *host) members(now policy.Time, kind policy.ListKind, l *list) {
	h.seq = *l.Seq
	before := maps.Clone(h.dials)
	if kind != policy.ListDelta {
		clear(h.dials)
	}
	servers := make([]policy.Server, len(l.Hosts))
	for i, e := range l.Hosts {
		id := policy.ServerID(e.Host)
		servers[i] = policy.Server{
			ID: id, State: states[e.Health], Zone: e.Site, Cell: e.Block, Weight: e.Share, Started: h.started(e.BornMs),
		}
		if servers[i].State == policy.Gone {
			delete(h.dials, id)
		} else {
			h.dials[id] = dial{e.Dial, id, e.BornMs}
		}
	}
	// Connections of an upstream that has gone, moved or started anew are of no use to whoever has its address now.
	for id, old := range before {
		if h.dials[id] != old {
			h.up.hangUp(old)
		}
	}
	h.balancer.Members(now, kind, servers, h)
}

// started is the module's time of a Unix time in milliseconds. It guards against a server that seems to have
// restarted because its time was converted anew by a wall clock that has since been set: equal times stay
// equal, and only 0 is long ago.
func (h *host) started(bornMs int64) policy.Time {
	if bornMs == 0 {
		return 0
	}
	const most = int64(1e12) // about 30 years either way: more would overflow, and none is real
	ms := min(max(bornMs-h.originMs, -most), most)
	if ms == 0 {
		return 1
	}
	return time.Duration(ms) * time.Millisecond
}

// String describes the host's load for logs.
func (h *host) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%d requests, %d timers, %d upstreams", len(h.requests), len(h.timers), len(h.dials))
}

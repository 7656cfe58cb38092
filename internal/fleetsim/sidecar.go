package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"quillfront/policy"
)

// Sidecar is one balancer instance with its clients. It implements policy.Actions.
type Sidecar struct {
	// Disconnected simulates a failure of the sidecar's own link: nothing that it sends arrives.
	Disconnected bool

	sim            *Simulation
	ordinal        int
	share          float64
	incarnation    int // number of starts
	balancer       *policy.Balancer
	watching       bool
	lastCall       policy.Time                     // time of the last call for the list, or of the start
	lastCallFailed bool                            // whether that call failed
	notified       map[policy.ServerID]policy.Time // when it was notified that each server no longer accepts requests
	lastID         policy.RequestID
	openTries      map[policy.RequestID]*try
	idleConns      map[policy.ServerID][]policy.Time // idle connections, as the time of last use
	counts         Counts                            // counters of its own clients
	lastCheck      policy.Time                       // when it last sent the first attempt of a check
}

// request is a client's request with all its tries.
type request struct {
	class   int
	key     string
	work    time.Duration
	hint    time.Duration
	arrived policy.Time
	tries   int
	done    bool
}

// try is one try of a request at a sidecar.
type try struct {
	*request
	expires  policy.Time
	ended    bool
	attempts []*attempt
}

type attempt struct {
	server   *Server
	sent     policy.Time
	inFlight bool
	status   policy.Status
}

func (s *Sidecar) zone() string { return string(rune('a' + s.ordinal%2)) }

// Counts returns the counters of the sidecar's own clients.
func (s *Sidecar) Counts() Counts { return s.counts }

// start creates a balancer that knows a cached, possibly outdated list.
func (s *Sidecar) start(known []policy.Server) {
	w := s.sim
	s.incarnation++
	s.openTries, s.idleConns, s.notified = map[policy.RequestID]*try{}, map[policy.ServerID][]policy.Time{}, map[policy.ServerID]policy.Time{}
	s.watching, s.lastCall, s.lastCallFailed = false, w.now, false
	cfg := policy.Config{
		Ordinal: s.ordinal, GroupSize: w.cfg.Sidecars, Zone: s.zone(), Classes: w.classes, MayProbe: true, MayCancel: true, MayDuplicate: true,
		ClientsHonorRetryAfter: true, MaxAttempts: 3, MaxRetryAfter: 1500 * ms, DialTimeout: dialTimeout, ConnIdleTimeout: 5 * sec, Tick: ms, RefreshInterval: refreshInterval,
		AnswerGrace: answerGrace, ColdCapacity: coldCapacity, Ramp: ramp, ColdOverloadFactor: coldOverloadFactor, ProbeTariff: 0.08, HandshakeTariff: 0.08, CrossZoneTariff: 0.03,
	}
	if w.cfg.Policy != nil {
		w.cfg.Policy(&cfg)
	}
	m, err := policy.New(cfg, w.cfg.Seed<<20|uint64(s.ordinal)<<8|uint64(s.incarnation))
	if err != nil {
		panic(err) // only an invalid configuration from the test gets here
	}
	s.balancer = m
	m.UpdateServers(w.now, policy.ListCached, slices.Clone(known), s)
}

// Restart replaces the balancer by a new one that knows a cached list. Open tries are lost, and
// their clients may retry.
func (s *Sidecar) Restart(known []policy.Server) {
	open := s.openTries
	s.start(known)
	ids := make([]policy.RequestID, 0, len(open))
	for id := range open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if t := open[id]; !t.ended && !t.done {
			s.sim.after(ms, func() { s.retry(t) })
		}
	}
}

// Known returns the list that discovery currently holds.
func (w *Simulation) Known() []policy.Server { return slices.Clone(w.discovery.list) }

// deliverList passes a full list to the balancer after a delay.
func (s *Sidecar) deliverList(after time.Duration, list []policy.Server) {
	w, incarnation := s.sim, s.incarnation
	w.after(after, func() {
		if s.incarnation != incarnation {
			return
		}
		ready := map[policy.ServerID]bool{}
		for _, e := range list {
			ready[e.ID] = e.State == policy.Ready
		}
		for _, v := range w.servers {
			if ready[v.ID] {
				delete(s.notified, v.ID)
			} else if _, known := s.notified[v.ID]; !known {
				s.notified[v.ID] = w.now
			}
		}
		s.balancer.UpdateServers(w.now, policy.ListFull, slices.Clone(list), s)
	})
}

// scheduleArrival schedules the arrival of the next request.
func (s *Sidecar) scheduleArrival() {
	w := s.sim
	rate := w.rate * s.share
	if rate <= 0 {
		w.after(100*ms, s.scheduleArrival)
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(sec)), func() {
		if w.rate > 0 {
			s.arrive()
		}
		s.scheduleArrival()
	})
}

func (s *Sidecar) arrive() {
	w := s.sim
	class, u := 0, w.rng.Float64()
	for u >= classMix[class].share && class < len(classMix)-1 {
		u -= classMix[class].share
		class++
	}
	const cv = 0.5
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	work := time.Duration(float64(classMix[class].work) * math.Exp(sigma*w.rng.NormFloat64()-sigma*sigma/2))
	r := &request{class: class, work: work, hint: time.Duration(float64(work) * (0.8 + 0.4*w.rng.Float64())), arrived: w.now}
	r.key = fmt.Sprintf("%d/%d", s.ordinal, w.eventCount)
	w.Stats.at(w.second(), class).Requests++
	w.Stats.at(w.second(), class).Work += work.Seconds()
	s.counts.Requests++
	s.startTry(r)
}

func (s *Sidecar) startTry(r *request) {
	w := s.sim
	c := w.classes[r.class]
	r.tries++
	left := r.arrived + c.Deadline - w.now
	t := &try{request: r, expires: w.now + min(left, time.Duration(tryShare*float64(c.Deadline)))}
	s.lastID++
	id, incarnation := s.lastID, s.incarnation
	s.openTries[id] = t
	w.Stats.at(w.second(), r.class).Tries++
	w.after(t.expires-w.now+answerGrace+ruleSlack, func() {
		if s.incarnation != incarnation {
			return
		}
		if !t.ended {
			w.Stats.violation("request lost", fmt.Sprintf("%s at sidecar %d", c.Name, s.ordinal))
		}
		if !slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.inFlight }) {
			delete(s.openTries, id)
		}
	})
	s.balancer.Request(w.now, policy.Request{ID: id, Class: c.Name, Key: r.key, Cost: r.hint, Expires: t.expires}, s)
}

// retry starts the client's next try after a failed one, if retries and time remain.
func (s *Sidecar) retry(t *try) {
	w := s.sim
	c := w.classes[t.class]
	if t.done || t.tries > w.cfg.Retries || w.now+w.cfg.Backoff+10*ms >= t.arrived+c.Deadline {
		return
	}
	w.after(w.cfg.Backoff, func() { s.startTry(t.request) })
}

// finishAttempt records the outcome of an attempt, once, and reports it to the balancer.
func (s *Sidecar) finishAttempt(id policy.RequestID, number int, incarnation int, status policy.Status) {
	w, t := s.sim, s.openTries[id]
	if s.incarnation != incarnation || t == nil || !t.attempts[number].inFlight {
		return
	}
	a := t.attempts[number]
	a.inFlight, a.status = false, status
	if status == policy.OK {
		s.idleConns[a.server.ID] = append(s.idleConns[a.server.ID], w.now)
	}
	if status == policy.OK && !t.ended {
		t.ended = true
		s.recordServed(t)
	}
	s.balancer.Outcome(w.now, policy.Outcome{ID: id, Attempt: number, Server: a.server.ID, Status: status, Delay: w.now - a.sent, Final: t.ended}, s)
}

func (s *Sidecar) recordServed(t *try) {
	w := s.sim
	if t.done {
		return
	}
	t.done = true
	k := w.Stats.at(int((t.arrived-origin)/sec), t.class)
	if w.now-t.arrived <= w.classes[t.class].Aim {
		k.InTime++
		k.WorkInTime += t.work.Seconds()
		s.counts.InTime++
	} else {
		k.Late++
		s.counts.Late++
	}
}

// Send implements policy.Actions: it sends an attempt to a server.
func (s *Sidecar) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	w, t, v, incarnation := s.sim, s.openTries[id], s.sim.byID[to], s.incarnation
	if t == nil || v == nil {
		return
	}
	s.checkSend(t, v)
	k := w.Stats.at(w.second(), t.class)
	k.Sends++
	if v.Zone != s.zone() {
		w.Stats.CrossZoneSends++
	}
	a := &attempt{server: v, sent: w.now, inFlight: true}
	number := len(t.attempts)
	if t.class == classCheck && number == 0 {
		s.lastCheck = w.now
	}
	t.attempts = append(t.attempts, a)
	w.after(timeout, func() { s.finishAttempt(id, number, incarnation, policy.Timeout) })
	travel, work := w.travel(s, v), t.work
	idle := slices.DeleteFunc(s.idleConns[to], func(at policy.Time) bool { return w.now-at > connIdleTimeout })
	if v.successor != nil && v.removed {
		v, idle = v.listener(), nil // connections to the old server are reset
	}
	if n := len(idle); n > 0 {
		s.idleConns[to] = idle[:n-1]
	} else {
		w.Stats.Handshakes++
		if s.Disconnected || v.unresponsive || v.removed || v.overloaded {
			w.after(dialTimeout, func() { s.finishAttempt(id, number, incarnation, policy.ConnectFailed) })
			return
		}
		travel += 2*w.travel(s, v) + handshakeTime
		work += handshakeTime
	}
	if s.Disconnected {
		return
	}
	w.after(travel, func() {
		v.accept(work, func(st policy.Status) {
			w.after(w.travel(s, v), func() { s.finishAttempt(id, number, incarnation, st) })
		})
	})
}

// checkSend records the rules that sending an attempt of t to v violates.
func (s *Sidecar) checkSend(t *try, v *Server) {
	w := s.sim
	c := w.classes[t.class]
	if t.ended {
		w.Stats.violation("attempt sent after the try ended", c.Name)
	}
	since, known := s.notified[v.ID]
	if out, listed := w.discovery.withdrawn[v.ID]; !known && !s.watching && listed {
		maxInterval := refreshInterval // longest interval between calls; four times as long after a failed call
		if s.lastCallFailed {
			maxInterval *= 4
		}
		since, known = max(out, s.lastCall)+maxInterval, true
	}
	if known && w.now > since+drainGrace+ruleSlack {
		w.Stats.violation("attempt sent to a draining or removed server", fmt.Sprintf("%s %v after the notification", v.ID, w.now-since))
	}
	for _, a := range t.attempts {
		if !a.inFlight && a.status.NotRun() || c.Effect != policy.Keyed {
			continue
		}
		if w.now > a.sent+c.KeyTTL+ruleSlack || c.Group == policy.GroupCell && a.server.cell != v.cell {
			w.Stats.violation("effect may be applied twice", fmt.Sprintf("%s sent again after %v", c.Name, w.now-a.sent))
		}
	}
}

// Refuse ends a try with a refusal; its client usually retries.
func (s *Sidecar) Refuse(id policy.RequestID, _ time.Duration) {
	w, t := s.sim, s.openTries[id]
	if t != nil && t.class == classOrder && w.now-s.lastCheck <= checkWindow {
		w.Stats.InvertedRefusals++
	}
	if t == nil || t.ended {
		w.Stats.violation("try answered twice", "refused")
		return
	}
	c := w.classes[t.class]
	if c.Effect == policy.Keyed && c.Group != policy.GroupAll &&
		slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.inFlight || !a.status.NotRun() }) {
		w.Stats.violation("refused a request that may have run", c.Name)
	}
	t.ended = true
	w.Stats.at(w.second(), t.class).Refused++
	s.retry(t)
}

// Fail ends a try with a failure; the client retries if a repeated run is safe.
func (s *Sidecar) Fail(id policy.RequestID) {
	w, t := s.sim, s.openTries[id]
	if t == nil || t.ended {
		w.Stats.violation("try answered twice", "failed")
		return
	}
	t.ended = true
	w.Stats.at(w.second(), t.class).Failed++
	if c := w.classes[t.class]; c.Effect == policy.Safe || c.Effect == policy.Keyed && c.Group == policy.GroupAll && w.now < t.arrived+c.KeyTTL {
		s.retry(t)
	}
}

// Cancel cancels an attempt; its server continues to work on it.
func (s *Sidecar) Cancel(id policy.RequestID, attempt int) {
	incarnation := s.incarnation
	s.sim.after(0, func() { s.finishAttempt(id, attempt, incarnation, policy.Canceled) })
}

// SetTimer schedules a Timer event.
func (s *Sidecar) SetTimer(after time.Duration, token string) {
	w, incarnation := s.sim, s.incarnation
	w.after(after, func() {
		if s.incarnation == incarnation {
			s.balancer.Timer(w.now, token, s)
		}
	})
}

// Probe requests a server's load report.
func (s *Sidecar) Probe(to policy.ServerID) {
	w, v, incarnation := s.sim, s.sim.byID[to], s.incarnation
	if v != nil {
		v = v.listener()
	}
	w.Stats.Probes++
	result, took := policy.ProbeResult{Server: to}, zoneLatency
	switch {
	case v == nil:
		result.Status = policy.NotSent
	case s.Disconnected || v.unresponsive || v.removed || v.overloaded:
		result.Status, took = policy.ConnectFailed, dialTimeout
	default:
		v.recordWork(probeWork)
		result.Load = &policy.Load{Queue: v.report(), Inflight: -1, Latency: -1, ErrorRate: -1}
		took = 2 * w.travel(s, v)
	}
	result.Delay = took
	w.after(took, func() {
		if s.incarnation == incarnation {
			s.balancer.Probed(w.now, result, s)
		}
	})
}

// Watch requests the list from discovery.
func (s *Sidecar) Watch(on bool) {
	if !on {
		return
	}
	s.lastCall, s.lastCallFailed = s.sim.now, false
	if s.Disconnected {
		incarnation := s.incarnation
		s.sim.after(s.sim.cfg.CallTimeout, func() {
			if s.incarnation == incarnation {
				s.lastCallFailed = true
				s.balancer.UpdateServers(s.sim.now, policy.ListFailed, nil, s)
			}
		})
		return
	}
	s.sim.discovery.call(s)
}

// CloseIdle closes the idle connections to a server.
func (s *Sidecar) CloseIdle(to policy.ServerID) { delete(s.idleConns, to) }

// Log discards log messages.
func (s *Sidecar) Log(string) {}

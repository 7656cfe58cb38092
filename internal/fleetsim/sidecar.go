package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"quillfront/policy"
)

// Sidecar is one instance of the module with its clients. It implements policy.Actions.
type Sidecar struct {
	// Cut has nothing of what it sends reach anybody: its own link is down.
	Cut bool

	world    *World
	ordinal  int
	share    float64
	life     int // starts
	module   *policy.Balancer
	watching bool
	asked    policy.Time                     // the last call for the list, or start
	failed   bool                            // that call did
	told     map[policy.ServerID]policy.Time // when it was told that they take nothing more
	last     policy.RequestID
	open     map[policy.RequestID]*try
	idle     map[policy.ServerID][]policy.Time // connections, by when they were last used
	tally    Tally                             // of its own first tries
	check    policy.Time                       // when it last sent a first attempt of a check
}

// request is what a client wants.
type request struct {
	class int
	key   string
	work  time.Duration
	hint  time.Duration
	asked policy.Time
	tries int
	over  bool
}

// try is one of its tries at a sidecar.
type try struct {
	*request
	until    policy.Time
	ended    bool
	attempts []*attempt
}

type attempt struct {
	server *Server
	sent   policy.Time
	out    bool
	status policy.Status
}

func (s *Sidecar) zone() string { return string(rune('a' + s.ordinal%2)) }

// Tally returns what became of its own clients' requests so far.
func (s *Sidecar) Tally() Tally { return s.tally }

// boot starts a module that knows an old list.
func (s *Sidecar) boot(known []policy.Server) {
	w := s.world
	s.life++
	s.open, s.idle, s.told = map[policy.RequestID]*try{}, map[policy.ServerID][]policy.Time{}, map[policy.ServerID]policy.Time{}
	s.watching, s.asked, s.failed = false, w.now, false
	cfg := policy.Config{
		Ordinal: s.ordinal, GroupSize: w.cfg.Sidecars, Zone: s.zone(), Classes: w.classes, MayProbe: true, MayCancel: true, MayDuplicate: true,
		ClientsHonorRetryAfter: true, MaxAttempts: 3, MaxRetryAfter: 1500 * ms, DialTimeout: dialTime, ConnIdleTimeout: 5 * sec, Tick: ms, RefreshInterval: askEvery,
		AnswerGrace: answerGrace, ColdCapacity: coldFrom, Ramp: ramp, ColdOverloadFactor: tipMultiple, ProbeTariff: 0.08, HandshakeTariff: 0.08, CrossZoneTariff: 0.03,
	}
	if w.cfg.Policy != nil {
		w.cfg.Policy(&cfg)
	}
	m, err := policy.New(cfg, w.cfg.Seed<<20|uint64(s.ordinal)<<8|uint64(s.life))
	if err != nil {
		panic(err) // by the configuration, which is the test's
	}
	s.module = m
	m.UpdateServers(w.now, policy.ListCached, slices.Clone(known), s)
}

// Kill ends the module and starts another with the list as it was known then. What it held is the clients' to try again.
func (s *Sidecar) Kill(known []policy.Server) {
	held := s.open
	s.boot(known)
	ids := make([]policy.RequestID, 0, len(held))
	for id := range held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if t := held[id]; !t.ended && !t.over {
			s.world.after(ms, func() { s.again(t) })
		}
	}
}

// Known returns the list as discovery has it now.
func (w *World) Known() []policy.Server { return slices.Clone(w.disco.list) }

// hear has the module be told a whole list.
func (s *Sidecar) hear(after time.Duration, list []policy.Server) {
	w, life := s.world, s.life
	w.after(after, func() {
		if s.life != life {
			return
		}
		ready := map[policy.ServerID]bool{}
		for _, e := range list {
			ready[e.ID] = e.State == policy.Ready
		}
		for _, v := range w.servers {
			if ready[v.ID] {
				delete(s.told, v.ID)
			} else if _, known := s.told[v.ID]; !known {
				s.told[v.ID] = w.now
			}
		}
		s.module.UpdateServers(w.now, policy.ListFull, slices.Clone(list), s)
	})
}

// next has the next client come.
func (s *Sidecar) next() {
	w := s.world
	rate := w.rate * s.share
	if rate <= 0 {
		w.after(100*ms, s.next)
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(sec)), func() {
		if w.rate > 0 {
			s.arrive()
		}
		s.next()
	})
}

func (s *Sidecar) arrive() {
	w := s.world
	class, u := 0, w.rng.Float64()
	for u >= mix[class].share && class < len(mix)-1 {
		u -= mix[class].share
		class++
	}
	const cv = 0.5
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	work := time.Duration(float64(mix[class].work) * math.Exp(sigma*w.rng.NormFloat64()-sigma*sigma/2))
	r := &request{class: class, work: work, hint: time.Duration(float64(work) * (0.8 + 0.4*w.rng.Float64())), asked: w.now}
	r.key = fmt.Sprintf("%d/%d", s.ordinal, w.made)
	w.Account.at(w.second(), class).Asked++
	w.Account.at(w.second(), class).Work += work.Seconds()
	s.tally.Asked++
	s.ask(r)
}

func (s *Sidecar) ask(r *request) {
	w := s.world
	c := w.classes[r.class]
	r.tries++
	left := r.asked + c.Deadline - w.now
	t := &try{request: r, until: w.now + min(left, time.Duration(tryShare*float64(c.Deadline)))}
	s.last++
	id, life := s.last, s.life
	s.open[id] = t
	w.Account.at(w.second(), r.class).Tries++
	w.after(t.until-w.now+answerGrace+ruleSlack, func() {
		if s.life != life {
			return
		}
		if !t.ended {
			w.Account.broken("request lost", fmt.Sprintf("%s at sidecar %d", c.Name, s.ordinal))
		}
		if !slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.out }) {
			delete(s.open, id)
		}
	})
	s.module.Request(w.now, policy.Request{ID: id, Class: c.Name, Key: r.key, Cost: r.hint, Expires: t.until}, s)
}

// again has the client of a try that failed ask again, if it does.
func (s *Sidecar) again(t *try) {
	w := s.world
	c := w.classes[t.class]
	if t.over || t.tries > w.cfg.Retries || w.now+w.cfg.Backoff+10*ms >= t.asked+c.Deadline {
		return
	}
	w.after(w.cfg.Backoff, func() { s.ask(t.request) })
}

// settle gives an attempt its one ending.
func (s *Sidecar) settle(id policy.RequestID, number int, life int, status policy.Status) {
	w, t := s.world, s.open[id]
	if s.life != life || t == nil || !t.attempts[number].out {
		return
	}
	a := t.attempts[number]
	a.out, a.status = false, status
	if status == policy.OK {
		s.idle[a.server.ID] = append(s.idle[a.server.ID], w.now)
	}
	if status == policy.OK && !t.ended {
		t.ended = true
		s.served(t)
	}
	s.module.Outcome(w.now, policy.Outcome{ID: id, Attempt: number, Server: a.server.ID, Status: status, Delay: w.now - a.sent, Final: t.ended}, s)
}

func (s *Sidecar) served(t *try) {
	w := s.world
	if t.over {
		return
	}
	t.over = true
	k := w.Account.at(int((t.asked-origin)/sec), t.class)
	if w.now-t.asked <= w.classes[t.class].Aim {
		k.InTime++
		k.Won += t.work.Seconds()
		s.tally.InTime++
	} else {
		k.Late++
		s.tally.Late++
	}
}

// Send is a method of policy.Actions, as are those below.
func (s *Sidecar) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	w, t, v, life := s.world, s.open[id], s.world.byID[to], s.life
	if t == nil || v == nil {
		return
	}
	s.judge(t, v)
	k := w.Account.at(w.second(), t.class)
	k.Sends++
	if v.Zone != s.zone() {
		w.Account.Crossings++
	}
	a := &attempt{server: v, sent: w.now, out: true}
	number := len(t.attempts)
	if t.class == check && number == 0 {
		s.check = w.now
	}
	t.attempts = append(t.attempts, a)
	w.after(timeout, func() { s.settle(id, number, life, policy.Timeout) })
	travel, work := w.travel(s, v), t.work
	idle := slices.DeleteFunc(s.idle[to], func(at policy.Time) bool { return w.now-at > idleTime })
	if v.heir != nil && v.gone {
		v, idle = v.listens(), nil // those to the old one are reset
	}
	if n := len(idle); n > 0 {
		s.idle[to] = idle[:n-1]
	} else {
		w.Account.Handshakes++
		if s.Cut || v.dark || v.gone || v.fell {
			w.after(dialTime, func() { s.settle(id, number, life, policy.ConnectFailed) })
			return
		}
		travel += 2*w.travel(s, v) + handshake
		work += handshake
	}
	if s.Cut {
		return
	}
	w.after(travel, func() {
		v.take(work, func(st policy.Status) {
			w.after(w.travel(s, v), func() { s.settle(id, number, life, st) })
		})
	})
}

// judge notes which rules an attempt of t at v breaks.
func (s *Sidecar) judge(t *try, v *Server) {
	w := s.world
	c := w.classes[t.class]
	if t.ended {
		w.Account.broken("sent after its end", c.Name)
	}
	told, known := s.told[v.ID]
	if out, listed := w.disco.out[v.ID]; !known && !s.watching && listed {
		may := askEvery // it may not ask for so long; after a call that failed four times that
		if s.failed {
			may *= 4
		}
		told, known = max(out, s.asked)+may, true
	}
	if known && w.now > told+drainGrace+ruleSlack {
		w.Account.broken("sent to a server that drains", fmt.Sprintf("%s %v after it was told", v.ID, w.now-told))
	}
	for _, a := range t.attempts {
		if !a.out && a.status.NotRun() || c.Effect != policy.Keyed {
			continue
		}
		if w.now > a.sent+c.KeyTTL+ruleSlack || c.Group == policy.GroupCell && a.server.cell != v.cell {
			w.Account.broken("an effect may happen twice", fmt.Sprintf("%s sent again after %v", c.Name, w.now-a.sent))
		}
	}
}

// Refuse ends a try; its client mostly comes back.
func (s *Sidecar) Refuse(id policy.RequestID, _ time.Duration) {
	w, t := s.world, s.open[id]
	if t != nil && t.class == order && w.now-s.check <= besideCheck {
		w.Account.Inverted++
	}
	if t == nil || t.ended {
		w.Account.broken("answered twice", "refused")
		return
	}
	c := w.classes[t.class]
	if c.Effect == policy.Keyed && c.Group != policy.GroupAll &&
		slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.out || !a.status.NotRun() }) {
		w.Account.broken("refused what may have run", c.Name)
	}
	t.ended = true
	w.Account.at(w.second(), t.class).Refused++
	s.again(t)
}

// Fail ends a try; the client of one that may run again comes back.
func (s *Sidecar) Fail(id policy.RequestID) {
	w, t := s.world, s.open[id]
	if t == nil || t.ended {
		w.Account.broken("answered twice", "failed")
		return
	}
	t.ended = true
	w.Account.at(w.second(), t.class).Failed++
	if c := w.classes[t.class]; c.Effect == policy.Safe || c.Effect == policy.Keyed && c.Group == policy.GroupAll && w.now < t.asked+c.KeyTTL {
		s.again(t)
	}
}

// Cancel calls an attempt off; its server works on.
func (s *Sidecar) Cancel(id policy.RequestID, attempt int) {
	life := s.life
	s.world.after(0, func() { s.settle(id, attempt, life, policy.Canceled) })
}

// SetTimer asks for a Timer event.
func (s *Sidecar) SetTimer(after time.Duration, token string) {
	w, life := s.world, s.life
	w.after(after, func() {
		if s.life == life {
			s.module.Timer(w.now, token, s)
		}
	})
}

// Probe asks a server for its queue.
func (s *Sidecar) Probe(to policy.ServerID) {
	w, v, life := s.world, s.world.byID[to], s.life
	if v != nil {
		v = v.listens()
	}
	w.Account.Probes++
	result, took := policy.ProbeResult{Server: to}, hop
	switch {
	case v == nil:
		result.Status = policy.NotSent
	case s.Cut || v.dark || v.gone || v.fell:
		result.Status, took = policy.ConnectFailed, dialTime
	default:
		v.press(probeWork)
		result.Load = &policy.Load{Queue: v.report(), Inflight: -1, Latency: -1, ErrorRate: -1}
		took = 2 * w.travel(s, v)
	}
	result.Delay = took
	w.after(took, func() {
		if s.life == life {
			s.module.Probed(w.now, result, s)
		}
	})
}

// Watch asks discovery for the list.
func (s *Sidecar) Watch(on bool) {
	if !on {
		return
	}
	s.asked, s.failed = s.world.now, false
	if s.Cut {
		life := s.life
		s.world.after(s.world.cfg.CallTime, func() {
			if s.life == life {
				s.failed = true
				s.module.UpdateServers(s.world.now, policy.ListFailed, nil, s)
			}
		})
		return
	}
	s.world.disco.call(s)
}

// CloseIdle closes the idle connections to a server.
func (s *Sidecar) CloseIdle(to policy.ServerID) { delete(s.idle, to) }

// Log is of no use here.
func (s *Sidecar) Log(string) {}

package sitewatch

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quillfront/policy"
	"quillfront/sites"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// sim plays many instances beside a fleet in virtual time: each has a module and a Host of its own, and tells the others nothing.
type sim struct {
	now     policy.Time
	events  eventHeap
	seq     int // of the latest event
	rng     *rand.Rand
	servers []*simServer
	nodes   []*simNode
	cfg     *sites.Config // nil: sites are not watched
	classes []policy.Class
	lag     time.Duration // until the list tells

	asked, served, refused map[string][]int // by class and second of the client's first try
	arrived                map[string][]int // attempts by site and second
	moves                  int
}

type event struct {
	at  policy.Time
	seq int
	f   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + max(d, 0), s.seq, f})
}

// run lets time pass until at, counted from the start.
func (s *sim) run(at time.Duration) {
	for until := origin + at; len(s.events) > 0 && s.events[0].at < until; {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.f()
	}
	s.now = origin + at
}

// origin keeps times far from zero, which the module takes for 'never'.
const origin = policy.Time(time.Hour)

// second is the second of the present, from the start.
func (s *sim) second() int { return int((s.now - origin) / sec) }

func (s *sim) count(to map[string][]int, name string, second int) {
	for len(to[name]) <= second {
		to[name] = append(to[name], 0)
	}
	to[name][second]++
}

// How a server fails.
const (
	up = iota
	silent
	refusing
	erring
	crawling // all is late
)

const (
	cores    = 2
	workTime = 20 * ms
	coldFrom = 0.31
	ramp     = 8600 * ms
	hop      = ms // one way
	multiple = 2.5
)

type simServer struct {
	sim     *sim
	id      policy.ServerID
	zone    string
	mode    int
	started policy.Time // zero: long ago
	busy    int
	queue   []func()
	recent  []policy.Time // arrivals of the last second, while cold
	fell    bool
	worst   float64 // most that came in a second while it was cold, in what it could do
}

func (v *simServer) warmth() float64 {
	if v.started == 0 || v.sim.now-v.started >= ramp {
		return 1
	}
	return coldFrom + (1-coldFrom)*float64(v.sim.now-v.started)/float64(ramp)
}

// take takes an attempt, and calls done with its ending, or never.
func (v *simServer) take(done func(policy.Status)) {
	s := v.sim
	s.count(s.arrived, v.zone, s.second())
	if v.warmth() < 1 {
		v.recent = append(slices.DeleteFunc(v.recent, func(t policy.Time) bool { return s.now-t > sec }), s.now)
		over := (float64(len(v.recent)) - 3) * workTime.Seconds() / (cores * v.warmth()) // three more may come by chance
		v.worst = max(v.worst, over)
		v.fell = v.fell || over > multiple
	}
	switch v.mode {
	case silent:
		return
	case refusing:
		done(policy.ConnectFailed)
		return
	case erring:
		done(policy.AppError)
		return
	}
	if len(v.queue) >= 64 {
		done(policy.Overloaded)
		return
	}
	v.queue = append(v.queue, func() {
		d := time.Duration(float64(workTime) / v.warmth() * s.rng.ExpFloat64())
		if v.mode == crawling {
			d *= 100
		}
		s.after(d, func() {
			v.busy--
			if v.mode != silent {
				done(policy.OK)
			}
			v.next()
		})
	})
	v.next()
}

func (v *simServer) next() {
	for v.busy < cores && len(v.queue) > 0 {
		f := v.queue[0]
		v.queue = v.queue[1:]
		v.busy++
		f()
	}
}

// restart has it come back cold, under id.
func (v *simServer) restart(id policy.ServerID) {
	v.id, v.mode, v.started, v.queue, v.busy = id, up, v.sim.now, nil, 0
}

// simNode is one instance and its clients. It implements policy.Actions.
type simNode struct {
	sim     *sim
	ordinal int
	rate    float64
	cut     bool // nothing reaches anybody
	life    int  // restarts
	module  *policy.Balancer
	host    *Watcher
	last    policy.RequestID
	open    map[policy.RequestID]*simRequest
	closing bool
}

// simRequest is one try of a client's.
type simRequest struct {
	class policy.Class
	asked int // second of the first try
	tries int
	until policy.Time
	ended bool
	outs  []bool // attempts that are out
}

func (s *sim) config(ordinal int) policy.Config {
	return policy.Config{
		Ordinal: ordinal, GroupSize: len(s.nodes), Classes: s.classes, MayProbe: true, MayCancel: true, MayDuplicate: true, MaxAttempts: 3,
		ClientsHonorRetryAfter: true, MaxRetryAfter: sec, DialTimeout: 250 * ms, Tick: ms, RefreshInterval: 10 * sec, AnswerGrace: 20 * ms,
		ColdCapacity: coldFrom, Ramp: ramp, ProbeTariff: 0.05, ListPushed: true,
	}
}

// boot starts an instance that knows nothing but the list.
func (n *simNode) boot() {
	s := n.sim
	n.life++
	n.open = map[policy.RequestID]*simRequest{}
	m, err := policy.New(s.config(n.ordinal), uint64(n.ordinal)<<8|uint64(n.life))
	if err != nil {
		panic(err)
	}
	n.module, n.host = m, New(m, slog.New(counter{s: s}))
	if err := n.host.Configure(s.now, s.cfg, s.config(n.ordinal)); err != nil {
		panic(err)
	}
	n.members(policy.ListFull, s.list())
}

func (s *sim) list() (all []policy.Server) {
	for _, v := range s.servers {
		all = append(all, policy.Server{ID: v.id, Zone: v.zone, Weight: 1, Started: v.started})
	}
	return all
}

func (n *simNode) members(kind policy.ListKind, l []policy.Server) {
	n.module.UpdateServers(n.sim.now, kind, l, n)
	n.host.UpdateServers(n.sim.now, kind, l)
}

// tell has all instances hear the list as it stands now, each after the lag and a little more.
func (s *sim) tell(l []policy.Server) {
	for _, n := range s.nodes {
		s.after(s.lag+time.Duration(s.rng.Float64()*float64(200*ms)), func() { n.members(policy.ListFull, l) })
	}
}

// arrive has a client ask for the first time, and the next one come.
func (n *simNode) arrive() {
	s := n.sim
	s.after(time.Duration(s.rng.ExpFloat64()/n.rate*float64(sec)), n.arrive)
	if n.closing {
		return
	}
	class := s.classes[0]
	if s.rng.Float64() >= 0.3 {
		class = s.classes[1]
	}
	s.count(s.asked, class.Name, s.second())
	n.ask(&simRequest{class: class, asked: s.second(), until: s.now + class.Deadline})
}

func (n *simNode) ask(r *simRequest) {
	n.last++
	id := n.last
	r.tries++
	n.open[id] = r
	n.host.Tick(n.sim.now)
	n.module.Request(n.sim.now, policy.Request{ID: id, Class: r.class.Name, Key: fmt.Sprint(n.ordinal, "/", r.asked, "/", id), Retry: r.tries > 1, Expires: r.until}, n)
}

func (n *simNode) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	s, r, life := n.sim, n.open[id], n.life
	if r == nil {
		return
	}
	i := slices.IndexFunc(s.servers, func(v *simServer) bool { return v.id == to })
	number, sent := len(r.outs), s.now
	r.outs = append(r.outs, true)
	end := func(status policy.Status) {
		if n.life != life || !r.outs[number] {
			return
		}
		r.outs[number] = false
		n.host.RecordOutcome(s.now, to, status)
		served := status == policy.OK && !r.ended
		if served {
			r.ended = true
			s.count(s.served, r.class.Name, r.asked)
		}
		n.module.Outcome(s.now, policy.Outcome{ID: id, Attempt: number, Server: to, Status: status, Delay: s.now - sent, Final: r.ended}, n)
	}
	s.after(timeout, func() { end(policy.Timeout) })
	if i < 0 || n.cut {
		return
	}
	s.after(hop, func() {
		s.servers[i].take(func(st policy.Status) { s.after(hop, func() { end(st) }) })
	})
}

func (n *simNode) Cancel(id policy.RequestID, attempt int) {
	s, life := n.sim, n.life
	if r := n.open[id]; r != nil && r.outs[attempt] {
		s.after(0, func() {
			if n.life == life && r.outs[attempt] {
				r.outs[attempt] = false
				n.module.Outcome(s.now, policy.Outcome{ID: id, Attempt: attempt, Status: policy.Canceled, Final: r.ended}, n)
			}
		})
	}
}

// Refuse ends a try. The client comes back up to twice, when it is told to.
func (n *simNode) Refuse(id policy.RequestID, after time.Duration) {
	s, r := n.sim, n.open[id]
	if r == nil || r.ended {
		return
	}
	r.ended = true
	life := n.life
	if back := max(after, 20*ms); r.tries < 3 && s.now+back < r.until {
		s.after(back, func() {
			if n.life == life {
				n.ask(&simRequest{class: r.class, asked: r.asked, tries: r.tries, until: r.until})
			}
		})
		return
	}
	s.count(s.refused, r.class.Name, r.asked)
}

func (n *simNode) Fail(id policy.RequestID) {
	if r := n.open[id]; r != nil {
		r.ended = true
	}
}

func (n *simNode) SetTimer(after time.Duration, token string) {
	life := n.life
	n.sim.after(after, func() {
		if n.life == life {
			n.module.Timer(n.sim.now, token, n)
		}
	})
}

func (n *simNode) Probe(to policy.ServerID) {
	s, life := n.sim, n.life
	i := slices.IndexFunc(s.servers, func(v *simServer) bool { return v.id == to })
	result, took := policy.ProbeResult{Server: to}, 2*hop
	switch {
	case i < 0 || n.cut || s.servers[i].mode == silent:
		result.Status, took = policy.Timeout, 400*ms
	case s.servers[i].mode == refusing:
		result.Status = policy.ConnectFailed
	default:
		result.Load = &policy.Load{Queue: float64(len(s.servers[i].queue)), Inflight: -1}
	}
	result.Delay = took
	s.after(took, func() {
		if n.life == life {
			n.host.RecordOutcome(s.now, to, result.Status)
			n.module.Probed(s.now, result, n)
		}
	})
}

func (n *simNode) CloseIdle(policy.ServerID) {}
func (n *simNode) Watch(bool)                {}
func (n *simNode) Log(string)                {}

// newSim returns a sim of two sites, a and b, of four servers each, that takes rate requests a second by so many instances, whose
// traffic is very unequal.
func newSim(seed uint64, instances int, rate float64, cfg *sites.Config) *sim {
	s := &sim{
		now: origin, rng: rand.New(rand.NewPCG(seed, 17)), cfg: cfg, nodes: make([]*simNode, instances),
		asked: map[string][]int{}, served: map[string][]int{}, refused: map[string][]int{}, arrived: map[string][]int{},
		classes: []policy.Class{
			{Name: "order", Effect: policy.Keyed, KeyTTL: 1500 * ms, Aim: 300 * ms, Deadline: 800 * ms, Worth: 3, LateShare: 0.3},
			{Name: "check", Effect: policy.Safe, Aim: 340 * ms, Deadline: sec, Worth: 1, LateShare: 0.2},
		},
	}
	for i := range 8 {
		s.servers = append(s.servers, &simServer{sim: s, id: policy.ServerID(fmt.Sprint([]string{"a", "b"}[i%2], i/2)), zone: []string{"a", "b"}[i%2]})
	}
	sum := 0.0
	for i := range s.nodes {
		s.nodes[i] = &simNode{sim: s, ordinal: i, rate: math.Pow(s.rng.Float64(), -0.6)} // Pareto
		sum += s.nodes[i].rate
	}
	for _, n := range s.nodes {
		n.rate *= rate / sum
		n.boot()
		s.after(time.Duration(s.rng.ExpFloat64()/n.rate*float64(sec)), n.arrive)
	}
	return s
}

// site calls f with each server of a site.
func (s *sim) site(zone string, f func(i int, v *simServer)) {
	for i, v := range s.servers {
		if v.zone == zone {
			f(i, v)
		}
	}
}

// part is the part of what a class asked for first in the seconds from to to that was served in time.
func (s *sim) part(class string, from, to int) float64 {
	return float64(sum(s.served[class], from, to)) / float64(max(1, sum(s.asked[class], from, to)))
}

func sum(list []int, from, to int) (n int) {
	for i := from; i < to && i < len(list); i++ {
		n += list[i]
	}
	return n
}

// most is the most in any second from from to to.
func most(list []int, from, to int) (n int) {
	for i := from; i < to && i < len(list); i++ {
		n = max(n, list[i])
	}
	return n
}

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

// simulation runs many instances and a fleet of servers in virtual time. Each instance has its own
// module and Watcher, and the instances don't communicate.
type simulation struct {
	now       policy.Time
	events    eventHeap
	seq       int // sequence number of the last event
	rng       *rand.Rand
	servers   []*simServer
	instances []*simInstance
	cfg       *sites.Config // nil: sites are not watched
	classes   []policy.Class
	lag       time.Duration // delay of the server list

	requested, served, refused map[string][]int // by class and second of the client's first try
	arrived                    map[string][]int // attempts by site and second
	transitions                int
}

// event is a function call at a time. Events at the same time run in the order of seq.
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

// after schedules f.
func (s *simulation) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + max(d, 0), s.seq, f})
}

// run processes events until at, relative to the start.
func (s *simulation) run(at time.Duration) {
	for until := origin + at; len(s.events) > 0 && s.events[0].at < until; {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.f()
	}
	s.now = origin + at
}

// origin is the start time. It is far from zero, which the module treats as "never".
const origin = policy.Time(time.Hour)

// second returns the number of the current second since the start.
func (s *simulation) second() int { return int((s.now - origin) / sec) }

// count increments the counter of name and second.
func (s *simulation) count(to map[string][]int, name string, second int) {
	for len(to[name]) <= second {
		to[name] = append(to[name], 0)
	}
	to[name][second]++
}

// The modes of a server.
const (
	up       = iota
	silent   // never answers
	refusing // refuses connections
	erring   // answers with errors
	slow     // answers too late
)

const (
	cores          = 2
	serviceTime    = 20 * ms
	coldCapacity   = 0.31
	ramp           = 8600 * ms
	networkDelay   = ms // one way
	overloadFactor = 2.5
)

// simServer is a server with a queue and cores workers. It starts cold and warms up during ramp.
type simServer struct {
	simulation *simulation
	id         policy.ServerID
	zone       string
	mode       int
	started    policy.Time // zero: long ago
	busy       int
	queue      []func()
	recent     []policy.Time // arrivals of the last second, while cold
	overloaded bool
	peakLoad   float64 // highest arrivals per second while cold, relative to the capacity
}

// warmth returns the fraction of its full speed at which the server works.
func (v *simServer) warmth() float64 {
	if v.started == 0 || v.simulation.now-v.started >= ramp {
		return 1
	}
	return coldCapacity + (1-coldCapacity)*float64(v.simulation.now-v.started)/float64(ramp)
}

// handle processes an attempt. It calls done with the result, or never.
func (v *simServer) handle(done func(policy.Status)) {
	s := v.simulation
	s.count(s.arrived, v.zone, s.second())
	if v.warmth() < 1 {
		v.recent = append(slices.DeleteFunc(v.recent, func(t policy.Time) bool { return s.now-t > sec }), s.now)
		over := (float64(len(v.recent)) - 3) * serviceTime.Seconds() / (cores * v.warmth()) // three more may arrive by chance
		v.peakLoad = max(v.peakLoad, over)
		v.overloaded = v.overloaded || over > overloadFactor
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
		d := time.Duration(float64(serviceTime) / v.warmth() * s.rng.ExpFloat64())
		if v.mode == slow {
			d *= 100
		}
		s.after(d, func() {
			v.busy--
			if v.mode != silent {
				done(policy.OK)
			}
			v.startNext()
		})
	})
	v.startNext()
}

// startNext starts queued work on idle cores.
func (v *simServer) startNext() {
	for v.busy < cores && len(v.queue) > 0 {
		f := v.queue[0]
		v.queue = v.queue[1:]
		v.busy++
		f()
	}
}

// restart makes the server work again, cold and with the given ID.
func (v *simServer) restart(id policy.ServerID) {
	v.id, v.mode, v.started, v.queue, v.busy = id, up, v.simulation.now, nil, 0
}

// simInstance is one instance and its clients. It implements policy.Actions.
type simInstance struct {
	simulation *simulation
	ordinal    int
	rate       float64
	cutOff     bool // its requests reach no server
	starts     int  // identifies the run since the last start
	module     *policy.Balancer
	watcher    *Watcher
	lastID     policy.RequestID
	open       map[policy.RequestID]*simRequest
	closing    bool
}

// simRequest is one try of a client.
type simRequest struct {
	class       policy.Class
	firstSecond int // second of the first try
	tries       int
	expires     policy.Time
	ended       bool
	inFlight    []bool // by attempt
}

// config returns the configuration of an instance's module.
func (s *simulation) config(ordinal int) policy.Config {
	return policy.Config{
		Ordinal: ordinal, GroupSize: len(s.instances), Classes: s.classes, MayProbe: true, MayCancel: true, MayDuplicate: true, MaxAttempts: 3,
		ClientsHonorRetryAfter: true, MaxRetryAfter: sec, DialTimeout: 250 * ms, Tick: ms, RefreshInterval: 10 * sec, AnswerGrace: 20 * ms,
		ColdCapacity: coldCapacity, Ramp: ramp, ProbeTariff: 0.05, ListPushed: true,
	}
}

// start starts the instance with no knowledge but the server list.
func (n *simInstance) start() {
	s := n.simulation
	n.starts++
	n.open = map[policy.RequestID]*simRequest{}
	m, err := policy.New(s.config(n.ordinal), uint64(n.ordinal)<<8|uint64(n.starts))
	if err != nil {
		panic(err)
	}
	n.module, n.watcher = m, New(m, slog.New(counter{s: s}))
	if err := n.watcher.Configure(s.now, s.cfg, s.config(n.ordinal)); err != nil {
		panic(err)
	}
	n.updateServers(policy.ListFull, s.list())
}

// list returns the list of all servers.
func (s *simulation) list() (all []policy.Server) {
	for _, v := range s.servers {
		all = append(all, policy.Server{ID: v.id, Zone: v.zone, Weight: 1, Started: v.started})
	}
	return all
}

// updateServers passes a list to the module and the watcher.
func (n *simInstance) updateServers(kind policy.ListKind, l []policy.Server) {
	n.module.UpdateServers(n.simulation.now, kind, l, n)
	n.watcher.UpdateServers(n.simulation.now, kind, l)
}

// publish sends l to all instances, each after the lag and up to 200 ms more.
func (s *simulation) publish(l []policy.Server) {
	for _, n := range s.instances {
		s.after(s.lag+time.Duration(s.rng.Float64()*float64(200*ms)), func() { n.updateServers(policy.ListFull, l) })
	}
}

// newRequest submits a client's first try and schedules the next request.
func (n *simInstance) newRequest() {
	s := n.simulation
	s.after(time.Duration(s.rng.ExpFloat64()/n.rate*float64(sec)), n.newRequest)
	if n.closing {
		return
	}
	class := s.classes[0]
	if s.rng.Float64() >= 0.3 {
		class = s.classes[1]
	}
	s.count(s.requested, class.Name, s.second())
	n.submit(&simRequest{class: class, firstSecond: s.second(), expires: s.now + class.Deadline})
}

// submit passes a try to the module.
func (n *simInstance) submit(r *simRequest) {
	n.lastID++
	id := n.lastID
	r.tries++
	n.open[id] = r
	n.watcher.Tick(n.simulation.now)
	n.module.Request(n.simulation.now, policy.Request{ID: id, Class: r.class.Name, Key: fmt.Sprint(n.ordinal, "/", r.firstSecond, "/", id), Retry: r.tries > 1, Expires: r.expires}, n)
}

func (n *simInstance) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	s, r, starts := n.simulation, n.open[id], n.starts
	if r == nil {
		return
	}
	i := slices.IndexFunc(s.servers, func(v *simServer) bool { return v.id == to })
	number, sent := len(r.inFlight), s.now
	r.inFlight = append(r.inFlight, true)
	end := func(status policy.Status) {
		if n.starts != starts || !r.inFlight[number] {
			return
		}
		r.inFlight[number] = false
		n.watcher.RecordOutcome(s.now, to, status)
		served := status == policy.OK && !r.ended
		if served {
			r.ended = true
			s.count(s.served, r.class.Name, r.firstSecond)
		}
		n.module.Outcome(s.now, policy.Outcome{ID: id, Attempt: number, Server: to, Status: status, Delay: s.now - sent, Final: r.ended}, n)
	}
	s.after(timeout, func() { end(policy.Timeout) })
	if i < 0 || n.cutOff {
		return
	}
	s.after(networkDelay, func() {
		s.servers[i].handle(func(st policy.Status) { s.after(networkDelay, func() { end(st) }) })
	})
}

func (n *simInstance) Cancel(id policy.RequestID, attempt int) {
	s, starts := n.simulation, n.starts
	if r := n.open[id]; r != nil && r.inFlight[attempt] {
		s.after(0, func() {
			if n.starts == starts && r.inFlight[attempt] {
				r.inFlight[attempt] = false
				n.module.Outcome(s.now, policy.Outcome{ID: id, Attempt: attempt, Status: policy.Canceled, Final: r.ended}, n)
			}
		})
	}
}

// Refuse ends a try. The client retries up to twice, after the delay that it was told.
func (n *simInstance) Refuse(id policy.RequestID, after time.Duration) {
	s, r := n.simulation, n.open[id]
	if r == nil || r.ended {
		return
	}
	r.ended = true
	starts := n.starts
	if delay := max(after, 20*ms); r.tries < 3 && s.now+delay < r.expires {
		s.after(delay, func() {
			if n.starts == starts {
				n.submit(&simRequest{class: r.class, firstSecond: r.firstSecond, tries: r.tries, expires: r.expires})
			}
		})
		return
	}
	s.count(s.refused, r.class.Name, r.firstSecond)
}

func (n *simInstance) Fail(id policy.RequestID) {
	if r := n.open[id]; r != nil {
		r.ended = true
	}
}

func (n *simInstance) SetTimer(after time.Duration, token string) {
	starts := n.starts
	n.simulation.after(after, func() {
		if n.starts == starts {
			n.module.Timer(n.simulation.now, token, n)
		}
	})
}

func (n *simInstance) Probe(to policy.ServerID) {
	s, starts := n.simulation, n.starts
	i := slices.IndexFunc(s.servers, func(v *simServer) bool { return v.id == to })
	result, took := policy.ProbeResult{Server: to}, 2*networkDelay
	switch {
	case i < 0 || n.cutOff || s.servers[i].mode == silent:
		result.Status, took = policy.Timeout, 400*ms
	case s.servers[i].mode == refusing:
		result.Status = policy.ConnectFailed
	default:
		result.Load = &policy.Load{Queue: float64(len(s.servers[i].queue)), Inflight: -1}
	}
	result.Delay = took
	s.after(took, func() {
		if n.starts == starts {
			n.watcher.RecordOutcome(s.now, to, result.Status)
			n.module.Probed(s.now, result, n)
		}
	})
}

func (n *simInstance) CloseIdle(policy.ServerID) {}
func (n *simInstance) Watch(bool)                {}
func (n *simInstance) Log(string)                {}

// newSimulation returns a simulation of two sites, a and b, with four servers each. The instances
// have very unequal traffic, rate requests per second in total.
func newSimulation(seed uint64, instances int, rate float64, cfg *sites.Config) *simulation {
	s := &simulation{
		now: origin, rng: rand.New(rand.NewPCG(seed, 17)), cfg: cfg, instances: make([]*simInstance, instances),
		requested: map[string][]int{}, served: map[string][]int{}, refused: map[string][]int{}, arrived: map[string][]int{},
		classes: []policy.Class{
			{Name: "order", Effect: policy.Keyed, KeyTTL: 1500 * ms, Aim: 300 * ms, Deadline: 800 * ms, Worth: 3, LateShare: 0.3},
			{Name: "check", Effect: policy.Safe, Aim: 340 * ms, Deadline: sec, Worth: 1, LateShare: 0.2},
		},
	}
	for i := range 8 {
		s.servers = append(s.servers, &simServer{simulation: s, id: policy.ServerID(fmt.Sprint([]string{"a", "b"}[i%2], i/2)), zone: []string{"a", "b"}[i%2]})
	}
	sum := 0.0
	for i := range s.instances {
		s.instances[i] = &simInstance{simulation: s, ordinal: i, rate: math.Pow(s.rng.Float64(), -0.6)} // Pareto distribution
		sum += s.instances[i].rate
	}
	for _, n := range s.instances {
		n.rate *= rate / sum
		n.start()
		s.after(time.Duration(s.rng.ExpFloat64()/n.rate*float64(sec)), n.newRequest)
	}
	return s
}

// forSite calls f with each server of a site.
func (s *simulation) forSite(zone string, f func(i int, v *simServer)) {
	for i, v := range s.servers {
		if v.zone == zone {
			f(i, v)
		}
	}
}

// servedFraction returns the fraction of a class's requests, first tried in the seconds from from
// up to but not including to, that were served in time.
func (s *simulation) servedFraction(class string, from, to int) float64 {
	return float64(total(s.served[class], from, to)) / float64(max(1, total(s.requested[class], from, to)))
}

// total returns the sum over the seconds from from up to but not including to.
func total(list []int, from, to int) (n int) {
	for i := from; i < to && i < len(list); i++ {
		n += list[i]
	}
	return n
}

// peakOf returns the maximum over the seconds from from up to but not including to.
func peakOf(list []int, from, to int) (n int) {
	for i := from; i < to && i < len(list); i++ {
		n = max(n, list[i])
	}
	return n
}

// Package fleetsim plays a fleet in virtual time: many sidecars, each with a decision module as it runs in production, servers that
// warm up, queue, err, fall over and go dark, a discovery of small capacity, and clients that ask again. Equal configurations
// give equal accounts on every machine: one seed feeds all that is drawn, and events at one instant keep the order in which they
// were made.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"quillfront/policy"
)

// Config is what a World is made of. The zero value of a field is the default that it names.
type Config struct {
	Seed           uint64
	Sidecars       int           // 80
	Servers        int           // 60, in two zones, three kinds of unequal capacity and cells of six
	Rate           float64       // first tries a second over all sidecars; 1,500, about 0.65 of what the servers can do
	Shares         []float64     // of the rate, by sidecar; nil: unequal by a Pareto law
	Retries        int           // by clients, after the first try; 3
	Backoff        time.Duration // before a client's retry; none
	DiscoveryLag   time.Duration // until discovery knows; 1.5 s
	ListRate       float64       // that discovery can send a second, of lists asked for; 400
	CallTimeout    time.Duration // a call that has waited for so long fails; 3 s
	ReuseAddresses bool          // a server that replaces another has its address, though not its id

	// Policy changes what sidecars are told in their settings; nil leaves it.
	Policy func(*policy.Config)
}

const (
	ms  = time.Millisecond
	sec = time.Second

	origin             = policy.Time(time.Hour) // far from zero, which the module takes for never
	zoneLatency        = 300 * time.Microsecond // one way, within a zone
	crossZoneLatency   = 6 * ms                 // more, between zones
	dialTimeout        = 250 * ms
	handshakeTime      = ms // work of a new connection, and its time
	probeWork          = 100 * time.Microsecond
	connIdleTimeout    = 3 * sec // a connection is kept so long
	reportInterval     = 150 * ms
	reportLag          = 60 * ms
	queuePerCore       = 300
	slowdownThreshold  = 6    // requests per core from which on a server slows down
	slowdownPerRequest = 0.08 // for each more
	coldCapacity       = 0.31
	ramp               = 8600 * ms
	warmRequests       = 60 // or so many answers warm a server up, for each core
	coldOverloadFactor = 2.5
	drainGrace         = 2 * sec
	refreshInterval    = 10 * sec
	answerGrace        = 20 * ms
	ruleSlack          = 50 * ms
	tryShare           = 0.53 // of the deadline is a client's patience for a try
)

// Classes returns the classes of the deployment, with times scaled as on its days at size.
func Classes() []policy.Class {
	return []policy.Class{
		{Name: "allocation-check", Effect: policy.Safe, Aim: 390 * ms, Deadline: 1910 * ms, Worth: 2, LateShare: 0.2},
		{Name: "delivery-order", Effect: policy.Keyed, KeyTTL: 1500 * ms, Aim: 390 * ms, Deadline: 1600 * ms, Worth: 10, LateShare: 0.5},
		{Name: "meter-booking", Effect: policy.Keyed, Group: policy.GroupCell, KeyTTL: 12 * sec, Aim: 770 * ms, Deadline: 1600 * ms, Worth: 3, LateShare: 0.3},
	}
}

// The places of the classes.
const (
	classCheck = iota
	classOrder
	classBooking
)

// checkWindow is how close together a check and an order come to one sidecar for the same figures to hold for both: reports are
// renewed so often.
const checkWindow = reportInterval

// classMix is the share of each class and its mean work on a standard core.
var classMix = []struct {
	share float64
	work  time.Duration
}{{0.47, 80 * ms}, {0.34, 68 * ms}, {0.19, 125 * ms}}

// Simulation is a fleet at one instant of virtual time. It is for one goroutine.
type Simulation struct {
	Stats Stats

	cfg         Config
	now         policy.Time
	events      events
	eventCount  int // events so far
	rng         *rand.Rand
	classes     []policy.Class
	servers     []*Server // all that ever were
	byID        map[policy.ServerID]*Server
	sidecars    []*Sidecar
	discovery   discovery
	rate        float64
	serverCount int // servers so far
}

// New returns a fleet in which nothing has happened yet: all servers are warm, all sidecars know the list.
func New(cfg Config) *Simulation {
	setDefault(&cfg.Sidecars, 80)
	setDefault(&cfg.Servers, 60)
	setDefault(&cfg.Rate, 1500)
	setDefault(&cfg.Retries, 3)
	setDefault(&cfg.DiscoveryLag, 1500*ms)
	setDefault(&cfg.ListRate, 400)
	setDefault(&cfg.CallTimeout, 3*sec)
	w := &Simulation{
		cfg: cfg, now: origin, rng: rand.New(rand.NewPCG(cfg.Seed, 26)), classes: Classes(), byID: map[policy.ServerID]*Server{}, rate: cfg.Rate,
	}
	w.discovery.world = w
	for i := range cfg.Servers {
		w.Add(i, 0)
	}
	w.discovery.publish()
	shares := cfg.Shares
	sum := 0.0
	for i := range cfg.Sidecars {
		if len(cfg.Shares) == 0 {
			shares = append(shares, math.Pow(w.rng.Float64(), -0.5))
		}
		sum += shares[i]
	}
	for i := range cfg.Sidecars {
		s := &Sidecar{world: w, ordinal: i, share: shares[i] / sum}
		w.sidecars = append(w.sidecars, s)
		s.start(w.discovery.list)
		s.scheduleArrival()
	}
	return w
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// At has f be called at an instant, counted from the start.
func (w *Simulation) At(at time.Duration, f func()) { w.after(origin+at-w.now, f) }

// Run lets time pass until an instant, counted from the start.
func (w *Simulation) Run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= origin+until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.f()
	}
	w.now = origin + until
}

// Finish ends all arrivals and lets time pass until everything is answered.
func (w *Simulation) Finish() {
	w.rate = 0
	w.Run(w.now - origin + 4*sec)
}

// SetRate changes how many first tries come a second, over all sidecars.
func (w *Simulation) SetRate(rate float64) { w.rate = rate }

// Sidecar returns the i-th sidecar.
func (w *Simulation) Sidecar(i int) *Sidecar { return w.sidecars[i] }

// Up returns the servers that run and are not drained, in the order in which they were added.
func (w *Simulation) Up() (up []*Server) {
	for _, v := range w.servers {
		if !v.removed && !v.draining {
			up = append(up, v)
		}
	}
	return up
}

// Add adds a server at a place, which gives it its zone, cell and kind. Unless age is 0, for long ago, it started that long ago.
func (w *Simulation) Add(place int, age time.Duration) *Server {
	w.serverCount++
	v := &Server{world: w, ID: policy.ServerID(fmt.Sprintf("s%03d", w.serverCount)), slot: place, Zone: string(rune('a' + place%2)), cell: place / 6}
	switch (place / 2) % 3 {
	case 0:
		v.cores, v.speed = 3, 2
	case 1:
		v.cores, v.speed = 2, 1.2
	default:
		v.cores, v.speed = 3, 0.8
	}
	v.speed *= 0.9 + 0.2*w.rng.Float64()
	if age != 0 {
		v.started = w.now - age
	}
	w.servers = append(w.servers, v)
	w.byID[v.ID] = v
	return v
}

// Replace drains a server and starts another in its place, under a new id; the old one is gone 3 s later.
func (w *Simulation) Replace(v *Server) *Server {
	v.draining = true
	n := w.Add(v.slot, time.Nanosecond)
	if w.cfg.ReuseAddresses {
		v.successor = n
	}
	w.ServersChanged()
	w.after(3*sec, func() {
		v.removed = true
		v.crash()
		w.ServersChanged()
	})
	return n
}

// ServersChanged has discovery notice what servers there are, once its lag has passed.
func (w *Simulation) ServersChanged() { w.after(w.cfg.DiscoveryLag, w.discovery.publish) }

func (w *Simulation) after(d time.Duration, f func()) {
	w.eventCount++
	heap.Push(&w.events, event{w.now + max(d, 0), w.eventCount, f})
}

func (w *Simulation) second() int { return int((w.now - origin) / sec) }

// travel is the time from a sidecar to a server, one way.
func (w *Simulation) travel(s *Sidecar, v *Server) time.Duration {
	if s.zone() != v.Zone {
		return zoneLatency + crossZoneLatency
	}
	return zoneLatency
}

type event struct {
	at  policy.Time
	seq int
	f   func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

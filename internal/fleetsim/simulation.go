// Package fleetsim simulates a fleet in virtual time: many sidecars, each with the balancer as it
// runs in production; servers that warm up, queue, return errors, crash and stop responding; a
// discovery service of small capacity; and clients that retry. Equal configurations give equal
// statistics on every machine: one seed feeds all random draws, and events at the same instant run
// in the order in which they were scheduled.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"quillfront/policy"
)

// Config configures a Simulation. A zero value selects the default that the field's comment states.
type Config struct {
	Seed           uint64
	Sidecars       int           // number of sidecars; 80
	Servers        int           // number of servers; 60, in two zones, three capacity kinds and cells of six
	Rate           float64       // first tries a second over all sidecars; 1,500, about 0.65 of capacity
	Shares         []float64     // relative share of the rate by sidecar; nil: Pareto-distributed
	Retries        int           // retries by a client after the first try; 3
	Backoff        time.Duration // delay before a client's retry; none
	DiscoveryLag   time.Duration // delay until discovery publishes a change; 1.5 s
	ListRate       float64       // list entries that discovery can send a second; 400
	CallTimeout    time.Duration // time after which a waiting call to discovery fails; 3 s
	ReuseAddresses bool          // a replacement takes the address, but not the id, of the old server

	// Policy adjusts the configuration of each sidecar's balancer; nil leaves it unchanged.
	Policy func(*policy.Config)
}

const (
	ms  = time.Millisecond
	sec = time.Second

	origin             = policy.Time(time.Hour) // far from zero, which the balancer treats as never
	zoneLatency        = 300 * time.Microsecond // one way, within a zone
	crossZoneLatency   = 6 * ms                 // added to zoneLatency between zones
	dialTimeout        = 250 * ms
	handshakeTime      = ms // server work of a new connection, and its duration
	probeWork          = 100 * time.Microsecond
	connIdleTimeout    = 3 * sec // idle connections are closed after this
	reportInterval     = 150 * ms
	reportLag          = 60 * ms
	queuePerCore       = 300
	slowdownThreshold  = 6    // requests per core above which a server slows down
	slowdownPerRequest = 0.08 // slowdown for each request per core above the threshold
	coldCapacity       = 0.31
	ramp               = 8600 * ms
	warmRequests       = 60 // completed requests per core that warm a server up before the ramp ends
	coldOverloadFactor = 2.5
	drainGrace         = 2 * sec
	refreshInterval    = 10 * sec
	answerGrace        = 20 * ms
	ruleSlack          = 50 * ms
	tryShare           = 0.53 // share of the deadline that a client waits for one try
)

// Classes returns the request classes of the deployment, with times scaled to a full-size day.
func Classes() []policy.Class {
	return []policy.Class{
		{Name: "allocation-check", Effect: policy.Safe, Aim: 390 * ms, Deadline: 1910 * ms, Worth: 2, LateShare: 0.2},
		{Name: "delivery-order", Effect: policy.Keyed, KeyTTL: 1500 * ms, Aim: 390 * ms, Deadline: 1600 * ms, Worth: 10, LateShare: 0.5},
		{Name: "meter-booking", Effect: policy.Keyed, Group: policy.GroupCell, KeyTTL: 12 * sec, Aim: 770 * ms, Deadline: 1600 * ms, Worth: 3, LateShare: 0.3},
	}
}

// Indexes into Classes and classMix.
const (
	classCheck = iota
	classOrder
	classBooking
)

// checkWindow is the time within which a check and an order at one sidecar are decided on the same
// load reports; it equals the interval at which reports are renewed.
const checkWindow = reportInterval

// classMix holds the share of each class in the requests and its mean work on a standard core.
var classMix = []struct {
	share float64
	work  time.Duration
}{{0.47, 80 * ms}, {0.34, 68 * ms}, {0.19, 125 * ms}}

// Simulation is a simulated fleet. It is not safe for concurrent use.
type Simulation struct {
	Stats Stats

	cfg         Config
	now         policy.Time
	events      events
	eventCount  int // events scheduled so far
	rng         *rand.Rand
	classes     []policy.Class
	servers     []*Server // including removed ones
	byID        map[policy.ServerID]*Server
	sidecars    []*Sidecar
	discovery   discovery
	rate        float64
	serverCount int // servers added so far
}

// New returns a simulation at its start: all servers are warm and all sidecars know the list.
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
	w.discovery.sim = w
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
		s := &Sidecar{sim: w, ordinal: i, share: shares[i] / sum}
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

// At schedules f for a time counted from the start.
func (w *Simulation) At(at time.Duration, f func()) { w.after(origin+at-w.now, f) }

// Run processes events up to a time counted from the start.
func (w *Simulation) Run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= origin+until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.f()
	}
	w.now = origin + until
}

// Finish stops new requests and runs 4 s more, in which open requests are answered.
func (w *Simulation) Finish() {
	w.rate = 0
	w.Run(w.now - origin + 4*sec)
}

// SetRate sets the number of first tries a second over all sidecars.
func (w *Simulation) SetRate(rate float64) { w.rate = rate }

// Sidecar returns the i-th sidecar.
func (w *Simulation) Sidecar(i int) *Sidecar { return w.sidecars[i] }

// Up returns the servers that are neither removed nor draining, in the order in which they were
// added.
func (w *Simulation) Up() (up []*Server) {
	for _, v := range w.servers {
		if !v.removed && !v.draining {
			up = append(up, v)
		}
	}
	return up
}

// Add adds a server in a slot, which determines its zone, cell and kind. It started age ago; 0
// means long ago, so that it is warm.
func (w *Simulation) Add(place int, age time.Duration) *Server {
	w.serverCount++
	v := &Server{sim: w, ID: policy.ServerID(fmt.Sprintf("s%03d", w.serverCount)), slot: place, Zone: string(rune('a' + place%2)), cell: place / 6}
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

// Replace drains a server and starts another in its slot, under a new id. The old server is removed
// 3 s later.
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

// ServersChanged schedules the publication of the current servers after the discovery lag.
func (w *Simulation) ServersChanged() { w.after(w.cfg.DiscoveryLag, w.discovery.publish) }

func (w *Simulation) after(d time.Duration, f func()) {
	w.eventCount++
	heap.Push(&w.events, event{w.now + max(d, 0), w.eventCount, f})
}

func (w *Simulation) second() int { return int((w.now - origin) / sec) }

// travel returns the one-way latency between a sidecar and a server.
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

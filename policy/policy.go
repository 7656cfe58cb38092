// The interface (Config, events, Actions) is in policy/api.go, the records kept are in policy/state.go.

package policy

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const (
	// probeSample is d of JBT-d: two choices already tilt the pick (section 3.2).
	probeSample = 2
	// usualReadySet keeps each member's figures fresh in a sidecar that sends little: more members than this see too
	// few of its own requests and probes. One that sends more has a larger set.
	usualReadySet = 5
	// freshRequests is how many requests each member is to see while a mark lives.
	freshRequests = 2
	// gapMemory is the weight of a new gap between requests in their mean.
	gapMemory = 0.02
	// probeSpend is what probing may cost in points of the result; with the tariff it gives the period T. A sidecar that sends
	// less than a request in a mark's life learns little else, and may spend quietSpend.
	probeSpend = 0.02
	quietSpend = 0.05
	// refusedShare of it is spent on a request that ends up refused: it comes back up to three times.
	refusedShare = 0.4
	// connSpend is what held connections may cost in points; with the tariff it sizes the ready set.
	connSpend = 0.02
	// minReadySet keeps a choice and two spares when one member fails.
	minReadySet = 3
	// patienceShare of the time left may pass until a good reply: the request then stands in that queue too.
	patienceShare = 6
	// lateBand is the part of the time left over which refusals set in, up to certain: wide enough that
	// queues settle inside it, below the aim, although each refused client comes back up to three times.
	lateBand = 0.4
	// queueShare of the time that is left after the work is what a queue may take of what is worth most, at a sidecar that sees
	// little: a client that is refused asks again at once, mostly in time for another server, while one that waits is late for
	// good if its server is slower than the last figures tell. With manyRequests in a mark's life a sidecar sees for itself how
	// long queues are, and lets them have all of the time.
	queueShare   = 0.45
	manyRequests = 16
	// firstEject is the first ejection; each further failure in a row doubles it, up to the ramp time.
	firstEject = 500 * time.Millisecond
	// mostSlowness bounds how much slower or faster than the common line a server is held to be: machines differ by less,
	// and without a bound the line and the factors drift apart together.
	mostSlowness = 4
	// dearShare is the power of a site's share with which it gets what is worth more than the least.
	dearShare = 1.5
	// smooth is the weight of a new sample in moving averages: about the last ten count.
	smooth = 0.1
)

// Balancer decides for one sidecar. It is not safe for concurrent use.
type Balancer struct {
	cfg        Config
	rng        *rand.Rand
	classes    map[string]*class
	servers    map[ServerID]*server
	ready      []*server // ready servers in this sidecar's order of preference
	meanWeight float64   // of them
	zonal      bool      // the ready set is of the own zone
	setSize    int       // how many of them make up the ready set
	mostSet    int       // how many may, by the traffic
	gap        float64   // smoothed: between requests
	lastAsk    Time      // the latest request
	requests   map[RequestID]*request

	threshold float64       // shortest queue reported so far in the last probe round
	newRound  bool          // no reply of that round has come
	held      []*request    // in order of arrival: requests waiting for a mark
	markLife  time.Duration // marks older than this have gone stale
	busy      float64       // share of probes that found a request waiting
	credit    float64       // probes that the traffic so far has paid for

	delay delayModel // of answers by the depth found

	plan   SitePlan           // nil: sites mean nothing
	shares map[string]float64 // of sites that take a part of their traffic only

	topWorth   float64 // highest worth of a class for each second of its aim
	leastWorth float64 // lowest
	sweeping   bool    // a timer for sweep is out
	watching   bool
	watchFails int
	over       bool // no list will be told any more
}

// New returns a Balancer for cfg; seed feeds its private random numbers.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*class{}, servers: map[ServerID]*server{}, requests: map[RequestID]*request{},
		threshold: math.Inf(1), credit: probeSample, busy: 1, mostSet: usualReadySet, gap: float64(time.Second),
	}
	b.setClasses(cfg)
	return b, nil
}

// setClasses makes cfg's classes those that requests may be of. What was learnt of a class stays with its name.
func (b *Balancer) setClasses(cfg Config) {
	before := b.classes
	b.cfg, b.classes, b.topWorth, b.leastWorth, b.markLife = cfg, map[string]*class{}, 0, math.Inf(1), 0
	for _, c := range cfg.Classes {
		k := &class{}
		if old := before[c.Name]; old != nil {
			*k = *old
		}
		k.Class = c
		b.classes[c.Name] = k
		b.topWorth = max(b.topWorth, c.Worth/c.Aim.Seconds())
		b.leastWorth = min(b.leastWorth, c.Worth/c.Aim.Seconds())
		if b.markLife == 0 || c.Aim < b.markLife {
			b.markLife = c.Aim
		}
	}
}

// Reconfigure makes cfg what b goes by. Open requests keep their class and their number of attempts. With an error, which
// New would give too, nothing has changed.
func (b *Balancer) Reconfigure(cfg Config) error {
	if err := cfg.validate(); err != nil {
		return err
	}
	b.setClasses(cfg)
	b.rebuild()
	return nil
}

// UpdateServers takes a message about the server list.
func (b *Balancer) UpdateServers(now Time, kind ListKind, entries []Server, act Actions) {
	if kind == ListFailed {
		// A failed call is retried after a growing, jittered pause: a thousand sidecars
		// that ask again at once would swamp the list service for good. The first pause is short, as a
		// watch that breaks often leaves a list that changes.
		b.watching = false
		b.watchFails++
		pause := b.cfg.RefreshInterval / 16 << min(b.watchFails, 4)
		act.SetTimer(pause/2+b.jitter(pause), "watch")
		return
	}
	b.over = b.over || kind == ListEnded
	if kind.Complete() {
		for _, s := range b.servers {
			s.State = Gone
		}
	}
	for _, e := range entries {
		s := b.servers[e.ID]
		if s == nil {
			s = &server{slowness: 1}
			b.servers[e.ID] = s
		}
		if e.Started != s.Started {
			*s = server{slowness: 1, out: s.out} // a restarted process owes nothing to its past
		}
		if e.State == Ready && s.State != Ready { // what became of it while it was to be left alone says nothing of it now
			s.fails, s.ejected = 0, 0
		}
		s.Server = e
	}
	// Guards against a fleet that keeps being replaced: its records would grow without end.
	maps.DeleteFunc(b.servers, func(_ ServerID, s *server) bool { return s.State == Gone })
	b.rebuild()
	if kind == ListCached && !b.cfg.ListPushed && !b.watching {
		act.SetTimer(b.jitter(b.cfg.RefreshInterval*6/10), "watch") // spread over most of the time that rules give
	} else if b.watching {
		b.watchFails = 0
	}
	for _, id := range sortedKeys(b.requests) { // requests held for want of a server
		if r := b.requests[id]; !r.ended && len(r.attempts) == 0 && (r.patience == 0 || b.over) {
			b.dispatch(now, r, b.set(now, r), act)
		}
	}
}

// DiscoveryMoved notes that discovery has another address: the list is asked for there at once, whatever pause a failed call has
// earned the old one, as it counts as told before long. The timer of such a pause then finds a watch that stands.
func (b *Balancer) DiscoveryMoved(now Time, act Actions) {
	b.watching, b.watchFails = true, 0
	act.Watch(true)
}

// rebuild orders the ready servers. A ready set starts at a place given by the sidecar's number and
// goes on in steps that differ between neighbours: every server gets equally many sidecars, and the
// load of one that fails spreads over many. The spares after it follow by rendezvous hashing.
func (b *Balancer) rebuild() {
	pool := b.ready[:0]
	for _, id := range sortedKeys(b.servers) {
		s := b.servers[id]
		s.marked = s.marked && s.State == Ready
		if s.State == Ready {
			pool = append(pool, s)
		}
	}
	b.meanWeight = 0
	for _, s := range pool {
		b.meanWeight += s.Weight / float64(len(pool))
	}
	byHash(pool, 0)
	// Where leaving the zone costs more than the probes to find a server there, the set is of the own zone.
	abroad := func(s *server) bool { return s.Zone != b.cfg.Zone }
	near := slices.DeleteFunc(slices.Clone(pool), abroad)
	b.zonal = len(near) >= minReadySet && b.cfg.CrossZoneTariff > probeSample*b.cfg.ProbeTariff
	if !b.zonal {
		near = slices.Clone(pool)
	}
	n := len(near)
	b.setSize = min(n, b.mostSet)
	if b.cfg.ConnectionTariff > 0 {
		perSidecar := 100 * connSpend / b.cfg.ConnectionTariff * float64(len(pool)) / float64(b.cfg.GroupSize)
		b.setSize = min(b.setSize, max(minReadySet, int(perSidecar)))
	}
	ordered := make([]*server, 0, len(pool))
	step := 1 + b.cfg.Ordinal%max(1, (n-1)/max(1, b.setSize-1))
	for j := range b.setSize {
		ordered = append(ordered, near[(b.cfg.Ordinal*n/b.cfg.GroupSize+j*step)%n])
	}
	byHash(pool, uint64(b.cfg.Ordinal)<<32)
	for _, s := range pool {
		if !slices.Contains(ordered[:b.setSize], s) {
			ordered = append(ordered, s)
		}
	}
	b.ready = ordered
}

// pace fits the size of the ready set to the traffic. It guards against sidecars that refuse while a server idles which
// they never ask: where few sidecars share a small fleet, each one left out of a set is capacity that nobody uses. With
// many busy sidecars, it has each hold connections to more servers; where those are dear, ConnectionTariff bounds it.
func (b *Balancer) pace(now Time) {
	if b.lastAsk != 0 {
		b.gap += gapMemory * (float64(min(now-b.lastAsk, time.Second)) - b.gap)
	}
	b.lastAsk = now
	most := max(usualReadySet, int(float64(b.markLife)/freshRequests/max(b.gap, float64(b.cfg.Tick)/10, 1)))
	if most > b.mostSet || most < b.mostSet/2 { // not at each swing
		b.mostSet = most
		if b.setSize != min(most, len(b.ready)) {
			b.rebuild()
		}
	}
}

// Request takes a client's request.
func (b *Balancer) Request(now Time, q Request, act Actions) {
	b.pace(now)
	c := b.classes[q.Class]
	if c == nil { // unknown: assume the worst of a repeat and the best of a late answer
		left := q.Expires - now
		c = &class{Class: Class{Name: q.Class, Effect: Unsafe, Aim: left, Deadline: left}}
	}
	r := &request{Request: q, class: c, most: b.cfg.MaxAttempts, taken: now}
	for _, p := range q.PriorAttempts {
		r.past = append(r.past, attempt{zone: p.Zone, cell: p.Cell, sent: now - p.Age})
	}
	b.requests[q.ID] = r
	r.began = c.began(now, q, b.cfg.Tick)
	r.useful = r.began + c.Aim
	r.end = q.Expires
	if c.LateShare == 0 {
		r.end = min(r.end, r.useful-b.cfg.Tick)
	}
	// What is worth less for its time gives way first, by standing less of a queue: by its worth where little is seen, by the
	// root of it where much is.
	bare := b.delay.at(0)
	r.weight = c.Worth / c.Aim.Seconds() / max(b.topWorth, 1e-9)
	blind := min(1, manyRequests*b.gap/float64(b.markLife))
	scale := (1 - blind*(1-queueShare)) * math.Pow(r.weight, (1+blind)/2) * (1 - lateBand*b.rng.Float64())
	// An answer after the aim is worth a share, and stands the square of that share of a queue. Guards against turning
	// away, beside free servers, the retries of requests whose answers got lost or came too late. It gives way first when
	// there is much else to do; by the share itself it would not, and late work would crowd out what is in time.
	late := (float64(r.end-now) - bare) * scale * c.LateShare * c.LateShare
	r.limit = time.Duration(bare + max((float64(r.useful-now)-bare)*scale, late))
	if r.end <= now+b.cfg.Tick { // nobody gains from the work
		b.finish(now, r, false, act)
		return
	}
	if !b.place(now, r) {
		b.finish(now, r, true, act) // the other sites have enough of their own
		return
	}
	act.SetTimer(r.end-now, token(q.ID))
	b.earn(refusedShare)
	set := b.set(now, r)
	if !b.cfg.MayProbe || b.credit < probeSample || len(set) == 0 {
		// Guards against refusals by lot, which each bring a retry: on a fleet of unlike machines or queues the draw
		// falls on one that is too slow for this request beside others that are not. Those take it if their figures
		// are fresh; stale ones would send all that many sidecars would else refuse to the same few servers.
		if s := b.pick(now, r, set); s != nil && b.inTime(s, r.limit) {
			set = []*server{s} // a second draw could fall on one that is too slow
		} else if s != nil {
			if set = b.fitting(now, r, set); len(set) == 0 { // work that nobody awaits any more keeps queues long for all
				b.turnAway(now, r, act)
				return
			}
		}
		b.dispatch(now, r, set, act)
		return
	}
	r.probed = b.renew(r, set, act)
	good := func(s *server) bool { return b.hasMark(now, s) && b.inTime(s, r.limit) && !b.cfg.ServersCacheKeys }
	if slices.ContainsFunc(set, good) {
		b.dispatch(now, r, set, act)
		return
	}
	// Only stale figures: the request waits for the first reply of its round, or else is refused.
	r.patience = now + (r.end-now)/patienceShare
	b.held = append(b.held, r)
	act.SetTimer(r.patience-now, token(q.ID))
}

// earn credits the probes that a share of a request pays for: all of them after a failure or while they
// find requests waiting, and down to a tenth while they find none, when any server will do.
func (b *Balancer) earn(share float64) {
	spend := probeSpend + (quietSpend-probeSpend)*min(1, b.gap/float64(b.markLife))
	b.credit = min(b.credit+share*max(b.busy, 0.1)*spend/max(b.cfg.ProbeTariff, 1e-9), probeSample)
}

// renew starts a probe round, whose replies set the threshold. The period T is thus counted in
// requests, so that sidecars that send little neither probe in vain nor keep a clock.
// Where servers do less work for a key they met lately, the round asks the key's homes instead: the d
// servers that rendezvous hashing puts first.
func (b *Balancer) renew(r *request, set []*server, act Actions) []*server {
	set = slices.Clone(set)
	b.rng.Shuffle(len(set), func(i, j int) { set[i], set[j] = set[j], set[i] })
	if b.cfg.ServersCacheKeys && r.Key != "" {
		byHash(set, hash(ServerID(r.Key), 0))
	}
	set = set[:min(probeSample, len(set))]
	b.credit -= probeSample
	b.newRound = true
	for _, s := range set {
		act.Probe(s.ID)
	}
	return set
}

// Probed takes the result of a probe.
func (b *Balancer) Probed(now Time, p ProbeResult, act Actions) {
	s := b.servers[p.Server]
	if s == nil {
		return
	}
	told := false // its queue
	if p.Status != OK {
		b.failed(now, s, p.Status)
	} else {
		s.fails, s.lastOK = 0, now
		if q := queueOf(p.Load); q >= 0 {
			told = true
			b.busy += smooth * (min(q, 1) - b.busy)
			if b.newRound || q < b.threshold {
				b.newRound, b.threshold = false, q
				for _, t := range b.ready {
					t.marked = t.marked && t.queue <= b.threshold
				}
			}
			b.report(now, s, p.Load)
		}
	}
	for i, r := range b.held {
		if !slices.Contains(r.probed, s) {
			continue
		}
		r.replies++
		var to []*server
		switch {
		case told && b.inTime(s, r.limit):
			// The first reply of its own round is the request's threshold, and so its mark. Waiting for a
			// mark under the threshold of another request's round would refuse what could be served.
			b.threshold, s.marked, s.markedAt = s.queue, true, now
			to = []*server{s}
		case r.replies < len(r.probed):
			continue
		case r.replies == len(r.probed) && told && b.zonal && r.sites == nil && b.credit >= probeSample:
			r.probed = b.renew(r, b.ready[b.setSize:], act) // the own zone is full: look abroad
			continue
		default:
			// Guards against requests that wait for nothing once their round is over: the servers probed were too
			// slow, failed, or said nothing that can be read, while another is known to be free. Probes that all fail
			// at once by a fault of our own would have the latest figures, as old as a mark may be, used for longer.
			to = b.fitting(now, r, b.set(now, r))
		}
		if len(to) > 0 {
			b.held = slices.Delete(b.held, i, i+1)
			r.patience = 0
			b.dispatch(now, r, to, act)
			break
		}
	}
}

// fitting returns those of set that would answer r within its limit by fresh figures, or, where none ever told any,
// as far as their answers tell.
func (b *Balancer) fitting(now Time, r *request, set []*server) []*server {
	tell := slices.ContainsFunc(set, func(s *server) bool { return s.reported })
	return slices.DeleteFunc(slices.Clone(set), func(s *server) bool {
		return tell && now-s.told > b.markLife || !b.inTime(s, r.limit) || !b.maySend(now, r, s)
	})
}

// hasMark reports whether s has a mark that is not stale.
func (b *Balancer) hasMark(now Time, s *server) bool { return s.marked && now-s.markedAt <= b.markLife }

// report notes a load report. The tick of the design is the arrival of a report: the server is
// marked if the figure is at or below the threshold. Figures are never used twice for marking,
// which is how marks and thresholds of a sidecar that sends little stay fresh.
func (b *Balancer) report(now Time, s *server, l *Load) {
	q := queueOf(l)
	if q < 0 {
		return
	}
	s.queue, s.reported, s.told = q, true, now
	s.marked, s.markedAt = s.State == Ready && s.queue <= b.threshold, now
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now Time, o Outcome, act Actions) {
	if s := b.servers[o.Server]; s != nil {
		if o.Status == OK || o.Status == Rejected {
			s.fails, s.lastOK = 0, now
		} else {
			b.failed(now, s, o.Status)
		}
		b.report(now, s, o.Load)
	}
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].out {
		return
	}
	a := &r.attempts[o.Attempt]
	a.out, a.notRun = false, o.Status.NotRun()
	r.out--
	a.works(false)
	r.ended = r.ended || o.Final
	r.spent = r.spent || o.NoResend
	if o.Status == OK || o.Status == Timeout {
		if at := b.delay.at(a.depth); at > 0 && !math.IsInf(at, 1) {
			s := a.server
			s.slowness += smooth * (min(float64(o.Delay)/at, 10) - s.slowness)
			s.slowness = min(max(s.slowness, 1/mostSlowness), mostSlowness)
		}
		if o.Status == OK { // a server that has gone silent says nothing of the others
			b.delay.learn(a.depth, float64(o.Delay)/a.server.slowness)
		}
	}
	switch {
	case r.ended:
		b.cancelAll(r, act)
		b.forget(r)
	case r.out == 0 && o.Status == Rejected: // no other server could use it either
		b.finish(now, r, false, act)
	case r.out == 0 && !b.send(now, r, b.set(now, r), act):
		b.finish(now, r, true, act)
	}
}

// failed notes evidence against a server: it is left out of the ready set for a while that grows
// with failures in a row. Guards against servers that err at once and so keep a short queue.
func (b *Balancer) failed(now Time, s *server, st Status) {
	s.marked = false
	switch st {
	case Canceled, NotSent:
		return
	case Timeout, Overloaded:
		s.queue = math.Inf(1) // until it reports again
	}
	s.fails, b.busy = s.fails+1, 1
	if st == Overloaded || st == Timeout && (s.fails < 3 || now-s.lastOK < time.Second) {
		return // may be the load: see set
	}
	s.ejected = now + min(firstEject<<min(s.fails-1, 10), max(b.cfg.Ramp, firstEject))
}

// set returns the ready set: the first servers in order of preference that are not ejected or cold, those within their ramp only if
// their place is of the set: where most are new all would rush upon the first to pass for warm. When more than half of all are
// ejected the evidence is against the network or the load, not against servers, and ejections are ignored.
func (b *Balancer) set(now Time, r *request) []*server {
	set := make([]*server, 0, b.setSize)
	bad := 0
	for i, s := range b.ready {
		if s.ejected > now {
			bad++
		} else if young := s.Started != 0 && now-s.Started < b.cfg.Ramp; len(set) < b.setSize && r.mayAt(s) && (!young || i < b.setSize && b.warmth(now, s) == 1) {
			set = append(set, s)
		}
	}
	if 2*bad > len(b.ready) || len(set) == 0 {
		set = append(set[:0], b.places(r)...)
	}
	return set
}

// places returns as many servers as make up the ready set, in order of preference, of the sites that may have r.
func (b *Balancer) places(r *request) []*server {
	if r.sites == nil {
		return b.ready[:b.setSize]
	}
	near := make([]*server, 0, b.setSize)
	for _, s := range b.ready {
		if len(near) < b.setSize && r.mayAt(s) {
			near = append(near, s)
		}
	}
	return near
}

// mayAt reports whether r may go to the site of s.
func (r *request) mayAt(s *server) bool { return r.sites == nil || slices.Contains(r.sites, s.Zone) }

// coldTurn draws a place of the ready set, and returns the server there if it is cold, in proportion to
// the least capacity it can have. An empty queue would make every probe round choose it; this way it
// gets that part of what this sidecar sends a warm one, whatever its reports, and however many wait.
func (b *Balancer) coldTurn(now Time, r *request) *server {
	places := b.places(r)
	if len(places) == 0 {
		return nil
	}
	s := places[b.rng.IntN(len(places))]
	if w := b.warmth(now, s); w == 1 || s.ejected > now || b.rng.Float64() >= w || !b.inTime(s, r.limit) {
		return nil
	}
	return s
}

// coldMargin is how far above its share of the traffic may go what a cold server is sent within the window of the rule.
const coldMargin = 1.25

// refusedCold is the part of its turns that a cold server gets of the requests that warm ones are too slow for, where this
// sidecar sends too little to go by. With all of it, an overload with clients' retries would push over what has just started.
const refusedCold = 0.5

// relief draws a place of the ready set, and returns the server there if it is cold and may take one of the requests that
// warm ones are too slow for: while it has less of this sidecar's requests than those have in the mean, in proportion to its
// least capacity. What stands at it is bounded so by its share of what stands at them, over all sidecars alike, and what it
// is sent by what it answers, however many are refused. Where none is warm it gets one at a time. It guards against refusals beside servers that warm up while a release of the fleet
// leaves the others overloaded: their turns come with what is sent, of which there is less the more is refused.
func (b *Balancer) relief(now Time, r *request) *server {
	places := b.places(r)
	if len(places) == 0 {
		return nil
	}
	s := places[b.rng.IntN(len(places))]
	w := b.warmth(now, s)
	if w == 1 || s.ejected > now {
		return nil
	}
	warm, out := 0, 0
	for _, t := range b.ready {
		if b.warmth(now, t) == 1 && t.ejected <= now {
			warm, out = warm+1, out+t.out
		}
	}
	if warm > 0 && float64((s.out+1)*warm) <= w*float64(out) || warm == 0 && s.out == 0 || s.out == 0 && b.rng.Float64() < refusedCold*w {
		return s
	}
	return nil
}

// turnAway refuses r unless a cold server can relieve the others of it.
func (b *Balancer) turnAway(now Time, r *request, act Actions) {
	if s := b.relief(now, r); s != nil && len(r.attempts) == 0 && b.inTime(s, r.limit) && b.maySend(now, r, s) {
		if r.patience > 0 {
			r.patience = 0
			b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
		}
		b.start(now, r, s, act)
		return
	}
	// What its sites are too slow for goes over to another, within what may be added there.
	if r.sites != nil && len(r.attempts) == 0 && !r.spilled && b.spill(now, r, r.sites[0]) {
		if set := b.fitting(now, r, b.set(now, r)); len(set) > 0 && b.maySend(now, r, set[0]) {
			b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
			r.patience = 0
			if b.send(now, r, set, act) {
				return
			}
		}
	}
	b.finish(now, r, true, act)
}

// dispatch sends r, or turns it away where no server may have it: it would wait for nothing until its time is up. One that ran before may be
// awaited by its zone or cell.
func (b *Balancer) dispatch(now Time, r *request, set []*server, act Actions) {
	if !b.send(now, r, set, act) && (r.sites != nil || b.over || len(r.past) == 0) {
		b.turnAway(now, r, act)
	}
}

// send starts a further attempt of r if a legal one exists and reports whether it did, or whether
// the request may still be held.
func (b *Balancer) send(now Time, r *request, set []*server, act Actions) bool {
	var s *server
	if own := r.sites; b.plan != nil && len(r.attempts) > 0 {
		// A further attempt goes to another site that has room: where all of one fails, the others of it would as well.
		first := r.attempts[0].zone
		r.sites = nil
		elsewhere := func(t *server) bool { return t.Zone != first && b.maySend(now, r, t) }
		if slices.ContainsFunc(b.ready, elsewhere) && b.spill(now, r, first) {
			s = b.pick(now, r, b.ready)
		}
		if s == nil {
			r.sites = own
		}
	}
	if s == nil {
		s = b.pick(now, r, set)
	}
	if s == nil {
		s = b.pick(now, r, b.ready)
	}
	if s == nil {
		return len(r.attempts) == 0 && len(b.ready) == 0 && !b.over // hold until the list names a server
	}
	if c := b.coldTurn(now, r); c != nil && len(r.attempts) == 0 && b.maySend(now, r, c) {
		s = c
	}
	b.start(now, r, s, act)
	return true
}

// start sends an attempt of r to s.
func (b *Balancer) start(now Time, r *request, s *server, act Actions) {
	s.marked = false
	if b.plan != nil {
		b.plan.RecordAttempt(now, s.Zone)
	}
	a := attempt{server: s, zone: s.Zone, cell: s.Cell, sent: now, out: true, depth: b.depth(s)}
	r.attempts = append(r.attempts, a)
	r.out++
	if len(r.attempts) == 1 {
		b.earn(1 - refusedShare)
	}
	s.used, s.open = now, true
	r.attempts[len(r.attempts)-1].works(!r.Uploading)
	b.sweep(now, act)
	act.Send(r.ID, s.ID, r.end-now)
}

// sweep hangs up connections that cost more to hold than to open anew. An open one costs
// ConnectionTariff/100 of a server's share, a handshake HandshakeTariff of a request's: they balance
// after 100 x HandshakeTariff/ConnectionTariff requests of a server, whose rate follows by Little's
// law from the delay and the requests it holds, assumed to be half as many as cores while all are idle.
func (b *Balancer) sweep(now Time, act Actions) {
	served := 100 * b.cfg.HandshakeTariff / max(b.cfg.ConnectionTariff, 1e-9)
	hold := time.Duration(served * b.delay.delay / (assumedCores * (0.5 + b.busy)))
	left := false
	for _, s := range b.ready {
		if s.open && b.cfg.ConnectionTariff > 0 && now-s.used >= hold {
			s.open = false
			act.CloseIdle(s.ID)
		}
		left = left || s.open
	}
	if left && !b.sweeping && b.cfg.ConnectionTariff > 0 && hold > 0 {
		b.sweeping = true
		act.SetTimer(hold, "sweep")
	}
}

// pick draws a marked server of set at random, or else a server uniformly: of those that would answer within the limit of a
// first attempt, if there are any, since a slow server that takes its even share collects an endless queue.
func (b *Balancer) pick(now Time, r *request, set []*server) *server {
	var marked, all, late []*server
	for _, s := range set {
		tried := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
		if !tried && b.maySend(now, r, s) && b.thin(now, r, s) {
			if !b.inTime(s, r.useful-now) || len(r.attempts) == 0 && !b.inTime(s, r.limit) {
				late = append(late, s)
				continue
			}
			all = append(all, s)
			if b.hasMark(now, s) {
				marked = append(marked, s)
			}
		}
	}
	if len(r.attempts) > 0 {
		late = nil // a further attempt that would be late as well only feeds the overload
	}
	for _, from := range [][]*server{marked, all, late} {
		abroad := func(s *server) bool { return b.cfg.CrossZoneTariff > 0 && s.Zone != b.cfg.Zone }
		if near := slices.DeleteFunc(slices.Clone(from), abroad); len(near) > 0 {
			from = near // what leaves the zone costs, and takes longer
		}
		if len(from) > 0 {
			return from[b.rng.IntN(len(from))]
		}
	}
	return nil
}

// thin lets a request have a cold server for its first attempt only, and only a share of requests: that
// of its least capacity. All picks for a request agree, so that asking twice does not double the share.
func (b *Balancer) thin(now Time, r *request, s *server) bool {
	w := b.warmth(now, s)
	return w == 1 || len(r.attempts) == 0 && float64(hash(s.ID, uint64(r.ID))) < w*math.MaxUint64
}

// inTime reports whether an answer of s is to be expected within limit. A server that reports nobody waiting and has
// none of this sidecar's requests is given one whatever was learnt of delays. It guards against a belief that
// starves itself of evidence: once every server is held too slow nothing is sent, and nothing is learnt that would put
// it right, however it came about (a stall, an outage, a client's or a network's fault). Should reports say 0 while
// requests wait, it would keep one request in flight at each server that could have been refused.
func (b *Balancer) inTime(s *server, limit time.Duration) bool {
	return b.expected(s) <= limit || limit > 0 && s.out == 0 && s.reported && s.queue < 1
}

// expected is the delay to expect of an answer of s: the common line of delay by depth, times how much slower than it
// s has been.
func (b *Balancer) expected(s *server) time.Duration {
	d := b.depth(s)
	if math.IsInf(d, 1) { // on a line that lies flat it would come out as no number, which passes for in time
		return time.Hour
	}
	return time.Duration(min(b.delay.at(d)*s.slowness, float64(time.Hour)))
}

// depth is how many requests stand before a new one at s, as far as is known: those that it reported, or this sidecar's
// own that have no outcome, if they are more. It guards against reports that run behind, whether they are refreshed
// seldom, come late, or the probes do: until the next, all that is sent would be held to wait no longer than the first.
// It should also notice a server that stalls. Marks and the threshold go by reports alone, as the design has it. It
// does harm where a server takes many requests at once that do not wait for one another: the line has to learn that.
func (b *Balancer) depth(s *server) float64 {
	q := s.queue
	if !s.reported {
		q = b.delay.queue
	}
	return max(q, float64(s.out))
}

// SetSitePlan has b go by p, nil for none.
func (b *Balancer) SetSitePlan(p SitePlan) { b.plan = p }

// place finds the site that r is to go to, and reports whether there is one: that of a place of the ready set, drawn among the sites
// that r is meant for, or one that takes over from it.
func (b *Balancer) place(now Time, r *request) bool {
	if b.plan == nil {
		return true
	}
	again := r.Retry || r.began < now
	b.plan.RecordRequest(now, r.Class, r.Tenant, again)
	var lost float64
	r.sites, lost = b.plan.HomeSites(r.Class, r.Tenant)
	places := b.places(r)
	if len(b.ready) == 0 {
		return true
	}
	if len(places) == 0 || b.rng.Float64() < lost {
		return b.spill(now, r, "")
	}
	// What comes back has been refused or has failed: it goes where there is room, as further attempts do. Guards against its being
	// drawn anew until it is meant for a site that has its own, where it would crowd out that, whatever it is worth.
	from := places[b.rng.IntN(len(places))].Zone
	share, partly := b.shares[from]
	if r.weight*b.topWorth > b.leastWorth { // trials and first steps are for what is worth least
		share = math.Pow(share, dearShare)
	}
	if partly && b.rng.Float64() >= share || again && !b.plan.HasSpareCapacity(now, from, r.weight) {
		return b.spill(now, r, from)
	}
	r.sites = []string{from}
	return true
}

// spill has r go to the site that takes it over from another, and reports whether there is one.
func (b *Balancer) spill(now Time, r *request, from string) bool {
	to, wait := b.plan.Spill(now, r.Class, r.Tenant, from, r.weight)
	r.sites, r.wait, r.spilled = []string{to}, wait, true
	return to != ""
}

// SetSiteShares has the sites that are named take that part of what is meant for them, from 0 to below 1; all others take theirs
// whole. It matters with a Plan only.
func (b *Balancer) SetSiteShares(shares map[string]float64) {
	b.shares = map[string]float64{}
	for site, share := range shares {
		if share < 1 {
			b.shares[site] = max(share, 0)
		}
	}
}

// warmth is the share of its capacity that s is held to have at now: the least that it can have, or more by what it stands
// beyond that, as servers warm up by work too. Guards against refusals beside new servers that idle, as when most of a fleet is
// replaced at once. Where the list tells weights, one that is smaller than the mean has that much less of a share.
func (b *Balancer) warmth(now Time, s *server) float64 {
	faster := 1.0
	if b.cfg.ColdOverloadFactor >= 2 {
		faster = min(b.cfg.ColdOverloadFactor/coldMargin, 2)
	}
	age := faster * float64(max(0, now-s.Started))
	if s.Started == 0 || age >= float64(b.cfg.Ramp) {
		return 1
	}
	w := b.cfg.ColdCapacity + (1-b.cfg.ColdCapacity)*age/float64(b.cfg.Ramp)
	return w * b.smallness(s)
}

// smallness is how much less than the mean a server can do by the weights that the list tells, at most 1. Where it tells none
// they are all alike.
func (b *Balancer) smallness(s *server) float64 {
	if !(s.Weight > 0 && s.Weight < b.meanWeight) {
		return 1
	}
	return s.Weight / b.meanWeight
}

// maySend is the one judge of whether the rules allow an attempt of r at s.
func (b *Balancer) maySend(now Time, r *request, s *server) bool {
	if r.ended || r.stream || r.spent || r.Uploading && r.out > 0 || s.State != Ready || !r.mayAt(s) || now >= r.Expires || len(r.attempts) >= r.most ||
		r.out > 0 && !b.cfg.MayDuplicate {
		return false
	}
	bars := func(a attempt) bool {
		c := r.class
		return !a.notRun && (c.Effect == Unsafe || c.Effect == Keyed && (now >= a.sent+c.KeyTTL-b.cfg.DialTimeout-b.cfg.Tick ||
			c.Group == GroupZone && a.zone != s.Zone || c.Group == GroupCell && a.cell != s.Cell))
	}
	return !slices.ContainsFunc(r.past, bars) && !slices.ContainsFunc(r.attempts, bars)
}

// mayRefuse is the one judge of whether a refusal, which promises that a retry is harmless, is true of r. Of one that may have
// run under its key before, at a time that its client cannot know, it is not.
func mayRefuse(r *request) bool {
	return len(r.past) == 0 && (r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.notRun }))
}

// finish gives the final answer: a refusal where it is true and a retry could help, else a failure.
func (b *Balancer) finish(now Time, r *request, retry bool, act Actions) {
	b.cancelAll(r, act)
	r.ended = true
	if now < r.Expires {
		r.class.owe(r)
	}
	if r.patience > 0 {
		r.patience = 0
		b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
	}
	if retry && mayRefuse(r) {
		act.Refuse(r.ID, b.comeBack(now, r))
	} else {
		act.Fail(r.ID)
	}
	b.forget(r)
}

// comeBack is how long r's client should wait before it asks again: until the server that will be free first has worked
// off what stands in the way of r, if nothing else came; where none is known to be free ever, a mark's life, in which
// reports are renewed. It guards against refusals that beget retries at once, which are refused alike. It does harm
// where queues fall faster than by work, as when a fleet grows: its clients then idle for as long.
func (b *Balancer) comeBack(now Time, r *request) time.Duration {
	if !b.cfg.ClientsHonorRetryAfter {
		return 0
	}
	wait := time.Hour
	for _, s := range b.set(now, r) {
		wait = min(wait, b.expected(s))
	}
	if wait == time.Hour {
		wait = b.markLife
	}
	return min(max(wait-max(r.limit, 0), b.cfg.Tick, r.wait), b.cfg.MaxRetryAfter).Round(time.Millisecond)
}

func (b *Balancer) cancelAll(r *request, act Actions) {
	for i, a := range r.attempts {
		if a.out && b.cfg.MayCancel && !a.canceled {
			r.attempts[i].canceled = true
			act.Cancel(r.ID, i)
		}
	}
}

// forget drops an ended request once all its attempts are back.
func (b *Balancer) forget(r *request) {
	if r.out == 0 {
		delete(b.requests, r.ID)
	}
}

// ResponseStarted notes that the answer of r has begun: other attempts of it are of no use any more.
func (b *Balancer) ResponseStarted(now Time, id RequestID, attempt int, act Actions) {
	if r := b.requests[id]; r != nil {
		r.stream = true
		if attempt >= 0 && attempt < len(r.attempts) {
			r.attempts[attempt].works(false)
			r.attempts[attempt].canceled = true // it is the one that goes on
			b.cancelAll(r, act)
		}
	}
}

// UploadComplete notes that the last byte of a request has come which was still coming: its time counts from now, and it
// cannot be sent again.
func (b *Balancer) UploadComplete(now Time, id RequestID, act Actions) {
	if r := b.requests[id]; r != nil && r.Uploading && !r.ended {
		r.Uploading, r.spent = false, true
		for i := range r.attempts {
			if a := &r.attempts[i]; a.out {
				a.sent, a.depth = now, b.depth(a.server)
				a.works(true)
			}
		}
		late := now - r.taken
		r.taken = now
		for _, t := range []*Time{&r.Expires, &r.began, &r.useful, &r.end} {
			*t += late
		}
		act.SetTimer(r.end-now, token(r.ID))
	}
}

// ClientDisconnected notes that the client has left.
func (b *Balancer) ClientDisconnected(now Time, id RequestID, act Actions) {
	if r := b.requests[id]; r != nil && !r.ended {
		r.ended = true
		b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
		b.cancelAll(r, act)
		b.forget(r)
	}
}

// Timer takes a timer that has fallen due.
func (b *Balancer) Timer(now Time, tok string, act Actions) {
	if tok == "watch" {
		if !b.watching {
			b.watching = true
			act.Watch(true)
		}
		return
	}
	if tok == "sweep" {
		b.sweeping = false
		b.sweep(now, act)
		return
	}
	id, _ := strconv.ParseUint(tok, 36, 64)
	r := b.requests[RequestID(id)]
	switch {
	case r == nil || r.ended || r.stream || r.Uploading && r.out > 0: // the last is for whoever reads it to end
	case now >= r.end:
		b.finish(now, r, false, act)
	case r.patience > 0 && now >= r.patience:
		b.turnAway(now, r, act)
	}
}

// jitter draws a time below d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

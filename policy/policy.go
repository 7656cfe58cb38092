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
	// probesPerRound is d of JBT-d: two choices already tilt the pick (section 3.2).
	probesPerRound = 2
	// defaultReadySet keeps each member's figures fresh in a sidecar that sends little: more members than this see too
	// few of its own requests and probes. One that sends more has a larger set.
	defaultReadySet = 5
	// requestsPerMarkLife is how many requests each member is to see while a mark lives.
	requestsPerMarkLife = 2
	// gapSmoothing is the weight of a new gap between requests in their mean.
	gapSmoothing = 0.02
	// probeBudget is what probing may cost in points of the result; with the tariff it gives the period T. A sidecar that sends
	// less than a request in a mark's life learns little else, and may spend quietSpend.
	probeBudget      = 0.02
	quietProbeBudget = 0.05
	// refusedProbeShare of it is spent on a request that ends up refused: it comes back up to three times.
	refusedProbeShare = 0.4
	// connectionBudget is what held connections may cost in points; with the tariff it sizes the ready set.
	connectionBudget = 0.02
	// minReadySet keeps a choice and two spares when one member fails.
	minReadySet = 3
	// holdDivisor of the time left may pass until a good reply: the request then stands in that queue too.
	holdDivisor = 6
	// refusalBand is the part of the time left over which refusals set in, up to certain: wide enough that
	// queues settle inside it, below the aim, although each refused client comes back up to three times.
	refusalBand = 0.4
	// maxQueueShare of the time that is left after the work is what a queue may take of what is worth most, at a sidecar that sees
	// little: a client that is refused asks again at once, mostly in time for another server, while one that waits is late for
	// good if its server is slower than the last figures tell. With manyRequests in a mark's life a sidecar sees for itself how
	// long queues are, and lets them have all of the time.
	maxQueueShare = 0.45
	busyRequests  = 16
	// firstEjection is the first ejection; each further failure in a row doubles it, up to the ramp time.
	firstEjection = 500 * time.Millisecond
	// maxSlowness bounds how much slower or faster than the common line a server is held to be: machines differ by less,
	// and without a bound the line and the factors drift apart together.
	maxSlowness = 4
	// highWorthExponent is the power of a site's share with which it gets what is worth more than the least.
	highWorthExponent = 1.5
	// smoothing is the weight of a new sample in moving averages: about the last ten count.
	smoothing = 0.1
)

// Balancer decides for one sidecar. It is not safe for concurrent use.
type Balancer struct {
	cfg         Config
	rng         *rand.Rand
	classes     map[string]*class
	servers     map[ServerID]*server
	ready       []*server // ready servers in this sidecar's order of preference
	meanWeight  float64   // of them
	ownZoneOnly bool      // the ready set is of the own zone
	setSize     int       // how many of them make up the ready set
	maxSetSize  int       // how many may, by the traffic
	requestGap  float64   // smoothed: between requests
	lastRequest Time      // the latest request
	requests    map[RequestID]*request

	threshold   float64       // shortest queue reported so far in the last probe round
	newRound    bool          // no reply of that round has come
	held        []*request    // in order of arrival: requests waiting for a mark
	markLife    time.Duration // marks older than this have gone stale
	busyShare   float64       // share of probes that found a request waiting
	probeCredit float64       // probes that the traffic so far has paid for

	delay delayModel // of answers by the depth found

	sitePlan   SitePlan           // nil: sites mean nothing
	siteShares map[string]float64 // of sites that take a part of their traffic only

	maxWorthRate   float64 // highest worth of a class for each second of its aim
	minWorthRate   float64 // lowest
	sweepScheduled bool    // a timer for sweep is out
	watching       bool
	watchFailures  int
	listEnded      bool // no list will be told any more
}

// New returns a Balancer for cfg; seed feeds its private random numbers.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*class{}, servers: map[ServerID]*server{}, requests: map[RequestID]*request{},
		threshold: math.Inf(1), probeCredit: probesPerRound, busyShare: 1, maxSetSize: defaultReadySet, requestGap: float64(time.Second),
	}
	b.setClasses(cfg)
	return b, nil
}

// setClasses makes cfg's classes those that requests may be of. What was learnt of a class stays with its name.
func (b *Balancer) setClasses(cfg Config) {
	before := b.classes
	b.cfg, b.classes, b.maxWorthRate, b.minWorthRate, b.markLife = cfg, map[string]*class{}, 0, math.Inf(1), 0
	for _, c := range cfg.Classes {
		k := &class{}
		if old := before[c.Name]; old != nil {
			*k = *old
		}
		k.Class = c
		b.classes[c.Name] = k
		b.maxWorthRate = max(b.maxWorthRate, c.Worth/c.Aim.Seconds())
		b.minWorthRate = min(b.minWorthRate, c.Worth/c.Aim.Seconds())
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
	b.rebuildReadySet()
	return nil
}

// UpdateServers takes a message about the server list.
func (b *Balancer) UpdateServers(now Time, kind ListKind, entries []Server, act Actions) {
	if kind == ListFailed {
		// A failed call is retried after a growing, jittered pause: a thousand sidecars
		// that ask again at once would swamp the list service for good. The first pause is short, as a
		// watch that breaks often leaves a list that changes.
		b.watching = false
		b.watchFailures++
		pause := b.cfg.RefreshInterval / 16 << min(b.watchFailures, 4)
		act.SetTimer(pause/2+b.jitter(pause), "watch")
		return
	}
	b.listEnded = b.listEnded || kind == ListEnded
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
			*s = server{slowness: 1, outstanding: s.outstanding} // a restarted process owes nothing to its past
		}
		if e.State == Ready && s.State != Ready { // what became of it while it was to be left alone says nothing of it now
			s.failures, s.ejectedUntil = 0, 0
		}
		s.Server = e
	}
	// Guards against a fleet that keeps being replaced: its records would grow without end.
	maps.DeleteFunc(b.servers, func(_ ServerID, s *server) bool { return s.State == Gone })
	b.rebuildReadySet()
	if kind == ListCached && !b.cfg.ListPushed && !b.watching {
		act.SetTimer(b.jitter(b.cfg.RefreshInterval*6/10), "watch") // spread over most of the time that rules give
	} else if b.watching {
		b.watchFailures = 0
	}
	for _, id := range sortedKeys(b.requests) { // requests held for want of a server
		if r := b.requests[id]; !r.ended && len(r.attempts) == 0 && (r.heldUntil == 0 || b.listEnded) {
			b.dispatch(now, r, b.readySet(now, r), act)
		}
	}
}

// DiscoveryMoved notes that discovery has another address: the list is asked for there at once, whatever pause a failed call has
// earned the old one, as it counts as told before long. The timer of such a pause then finds a watch that stands.
func (b *Balancer) DiscoveryMoved(now Time, act Actions) {
	b.watching, b.watchFailures = true, 0
	act.Watch(true)
}

// rebuildReadySet orders the ready servers. A ready set starts at a place given by the sidecar's number and
// goes on in steps that differ between neighbours: every server gets equally many sidecars, and the
// load of one that fails spreads over many. The spares after it follow by rendezvous hashing.
func (b *Balancer) rebuildReadySet() {
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
	sortByHash(pool, 0)
	// Where leaving the zone costs more than the probes to find a server there, the set is of the own zone.
	abroad := func(s *server) bool { return s.Zone != b.cfg.Zone }
	near := slices.DeleteFunc(slices.Clone(pool), abroad)
	b.ownZoneOnly = len(near) >= minReadySet && b.cfg.CrossZoneTariff > probesPerRound*b.cfg.ProbeTariff
	if !b.ownZoneOnly {
		near = slices.Clone(pool)
	}
	n := len(near)
	b.setSize = min(n, b.maxSetSize)
	if b.cfg.ConnectionTariff > 0 {
		perSidecar := 100 * connectionBudget / b.cfg.ConnectionTariff * float64(len(pool)) / float64(b.cfg.GroupSize)
		b.setSize = min(b.setSize, max(minReadySet, int(perSidecar)))
	}
	ordered := make([]*server, 0, len(pool))
	step := 1 + b.cfg.Ordinal%max(1, (n-1)/max(1, b.setSize-1))
	for j := range b.setSize {
		ordered = append(ordered, near[(b.cfg.Ordinal*n/b.cfg.GroupSize+j*step)%n])
	}
	sortByHash(pool, uint64(b.cfg.Ordinal)<<32)
	for _, s := range pool {
		if !slices.Contains(ordered[:b.setSize], s) {
			ordered = append(ordered, s)
		}
	}
	b.ready = ordered
}

// adaptReadySet fits the size of the ready set to the traffic. It guards against sidecars that refuse while a server idles which
// they never ask: where few sidecars share a small fleet, each one left out of a set is capacity that nobody uses. With
// many busy sidecars, it has each hold connections to more servers; where those are dear, ConnectionTariff bounds it.
func (b *Balancer) adaptReadySet(now Time) {
	if b.lastRequest != 0 {
		b.requestGap += gapSmoothing * (float64(min(now-b.lastRequest, time.Second)) - b.requestGap)
	}
	b.lastRequest = now
	most := max(defaultReadySet, int(float64(b.markLife)/requestsPerMarkLife/max(b.requestGap, float64(b.cfg.Tick)/10, 1)))
	if most > b.maxSetSize || most < b.maxSetSize/2 { // not at each swing
		b.maxSetSize = most
		if b.setSize != min(most, len(b.ready)) {
			b.rebuildReadySet()
		}
	}
}

// Request takes a client's request.
func (b *Balancer) Request(now Time, q Request, act Actions) {
	b.adaptReadySet(now)
	c := b.classes[q.Class]
	if c == nil { // unknown: assume the worst of a repeat and the best of a late answer
		left := q.Expires - now
		c = &class{Class: Class{Name: q.Class, Effect: Unsafe, Aim: left, Deadline: left}}
	}
	r := &request{Request: q, class: c, maxAttempts: b.cfg.MaxAttempts, receivedAt: now}
	for _, p := range q.PriorAttempts {
		r.priorAttempts = append(r.priorAttempts, attempt{zone: p.Zone, cell: p.Cell, sent: now - p.Age})
	}
	b.requests[q.ID] = r
	r.startedAt = c.estimateStart(now, q, b.cfg.Tick)
	r.aimEnd = r.startedAt + c.Aim
	r.answerBy = q.Expires
	if c.LateShare == 0 {
		r.answerBy = min(r.answerBy, r.aimEnd-b.cfg.Tick)
	}
	// What is worth less for its time gives way first, by standing less of a queue: by its worth where little is seen, by the
	// root of it where much is.
	bare := b.delay.delayAt(0)
	r.relativeWorth = c.Worth / c.Aim.Seconds() / max(b.maxWorthRate, 1e-9)
	blind := min(1, busyRequests*b.requestGap/float64(b.markLife))
	scale := (1 - blind*(1-maxQueueShare)) * math.Pow(r.relativeWorth, (1+blind)/2) * (1 - refusalBand*b.rng.Float64())
	// An answer after the aim is worth a share, and stands the square of that share of a queue. Guards against turning
	// away, beside free servers, the retries of requests whose answers got lost or came too late. It gives way first when
	// there is much else to do; by the share itself it would not, and late work would crowd out what is in time.
	late := (float64(r.answerBy-now) - bare) * scale * c.LateShare * c.LateShare
	r.delayLimit = time.Duration(bare + max((float64(r.aimEnd-now)-bare)*scale, late))
	if r.answerBy <= now+b.cfg.Tick { // nobody gains from the work
		b.finish(now, r, false, act)
		return
	}
	if !b.assignSite(now, r) {
		b.finish(now, r, true, act) // the other sites have enough of their own
		return
	}
	act.SetTimer(r.answerBy-now, timerToken(q.ID))
	b.earnProbeCredit(refusedProbeShare)
	set := b.readySet(now, r)
	if !b.cfg.MayProbe || b.probeCredit < probesPerRound || len(set) == 0 {
		// Guards against refusals by lot, which each bring a retry: on a fleet of unlike machines or queues the draw
		// falls on one that is too slow for this request beside others that are not. Those take it if their figures
		// are fresh; stale ones would send all that many sidecars would else refuse to the same few servers.
		if s := b.pickServer(now, r, set); s != nil && b.withinLimit(s, r.delayLimit) {
			set = []*server{s} // a second draw could fall on one that is too slow
		} else if s != nil {
			if set = b.serversWithinLimit(now, r, set); len(set) == 0 { // work that nobody awaits any more keeps queues long for all
				b.relieveOrRefuse(now, r, act)
				return
			}
		}
		b.dispatch(now, r, set, act)
		return
	}
	r.probed = b.startProbeRound(r, set, act)
	good := func(s *server) bool {
		return b.hasMark(now, s) && b.withinLimit(s, r.delayLimit) && !b.cfg.ServersCacheKeys
	}
	if slices.ContainsFunc(set, good) {
		b.dispatch(now, r, set, act)
		return
	}
	// Only stale figures: the request waits for the first reply of its round, or else is refused.
	r.heldUntil = now + (r.answerBy-now)/holdDivisor
	b.held = append(b.held, r)
	act.SetTimer(r.heldUntil-now, timerToken(q.ID))
}

// earnProbeCredit credits the probes that a share of a request pays for: all of them after a failure or while they
// find requests waiting, and down to a tenth while they find none, when any server will do.
func (b *Balancer) earnProbeCredit(share float64) {
	spend := probeBudget + (quietProbeBudget-probeBudget)*min(1, b.requestGap/float64(b.markLife))
	b.probeCredit = min(b.probeCredit+share*max(b.busyShare, 0.1)*spend/max(b.cfg.ProbeTariff, 1e-9), probesPerRound)
}

// startProbeRound starts a probe round, whose replies set the threshold. The period T is thus counted in
// requests, so that sidecars that send little neither probe in vain nor keep a clock.
// Where servers do less work for a key they met lately, the round asks the key's homes instead: the d
// servers that rendezvous hashing puts first.
func (b *Balancer) startProbeRound(r *request, set []*server, act Actions) []*server {
	set = slices.Clone(set)
	b.rng.Shuffle(len(set), func(i, j int) { set[i], set[j] = set[j], set[i] })
	if b.cfg.ServersCacheKeys && r.Key != "" {
		sortByHash(set, hash(ServerID(r.Key), 0))
	}
	set = set[:min(probesPerRound, len(set))]
	b.probeCredit -= probesPerRound
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
		b.recordFailure(now, s, p.Status)
	} else {
		s.failures, s.lastOK = 0, now
		if q := queueLength(p.Load); q >= 0 {
			told = true
			b.busyShare += smoothing * (min(q, 1) - b.busyShare)
			if b.newRound || q < b.threshold {
				b.newRound, b.threshold = false, q
				for _, t := range b.ready {
					t.marked = t.marked && t.queue <= b.threshold
				}
			}
			b.recordReport(now, s, p.Load)
		}
	}
	for i, r := range b.held {
		if !slices.Contains(r.probed, s) {
			continue
		}
		r.probeReplies++
		var to []*server
		switch {
		case told && b.withinLimit(s, r.delayLimit):
			// The first reply of its own round is the request's threshold, and so its mark. Waiting for a
			// mark under the threshold of another request's round would refuse what could be served.
			b.threshold, s.marked, s.markedAt = s.queue, true, now
			to = []*server{s}
		case r.probeReplies < len(r.probed):
			continue
		case r.probeReplies == len(r.probed) && told && b.ownZoneOnly && r.sites == nil && b.probeCredit >= probesPerRound:
			r.probed = b.startProbeRound(r, b.ready[b.setSize:], act) // the own zone is full: look abroad
			continue
		default:
			// Guards against requests that wait for nothing once their round is over: the servers probed were too
			// slow, failed, or said nothing that can be read, while another is known to be free. Probes that all fail
			// at once by a fault of our own would have the latest figures, as old as a mark may be, used for longer.
			to = b.serversWithinLimit(now, r, b.readySet(now, r))
		}
		if len(to) > 0 {
			b.held = slices.Delete(b.held, i, i+1)
			r.heldUntil = 0
			b.dispatch(now, r, to, act)
			break
		}
	}
}

// serversWithinLimit returns those of set that would answer r within its limit by fresh figures, or, where none ever told any,
// as far as their answers tell.
func (b *Balancer) serversWithinLimit(now Time, r *request, set []*server) []*server {
	tell := slices.ContainsFunc(set, func(s *server) bool { return s.reported })
	return slices.DeleteFunc(slices.Clone(set), func(s *server) bool {
		return tell && now-s.reportedAt > b.markLife || !b.withinLimit(s, r.delayLimit) || !b.maySend(now, r, s)
	})
}

// hasMark reports whether s has a mark that is not stale.
func (b *Balancer) hasMark(now Time, s *server) bool { return s.marked && now-s.markedAt <= b.markLife }

// recordReport notes a load recordReport. The tick of the design is the arrival of a recordReport: the server is
// marked if the figure is at or below the threshold. Figures are never used twice for marking,
// which is how marks and thresholds of a sidecar that sends little stay fresh.
func (b *Balancer) recordReport(now Time, s *server, l *Load) {
	q := queueLength(l)
	if q < 0 {
		return
	}
	s.queue, s.reported, s.reportedAt = q, true, now
	s.marked, s.markedAt = s.State == Ready && s.queue <= b.threshold, now
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now Time, o Outcome, act Actions) {
	if s := b.servers[o.Server]; s != nil {
		if o.Status == OK || o.Status == Rejected {
			s.failures, s.lastOK = 0, now
		} else {
			b.recordFailure(now, s, o.Status)
		}
		b.recordReport(now, s, o.Load)
	}
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].pending {
		return
	}
	a := &r.attempts[o.Attempt]
	a.pending, a.notRun = false, o.Status.NotRun()
	r.outstanding--
	a.setExecuting(false)
	r.ended = r.ended || o.Final
	r.noMoreSends = r.noMoreSends || o.NoResend
	if o.Status == OK || o.Status == Timeout {
		if at := b.delay.delayAt(a.depth); at > 0 && !math.IsInf(at, 1) {
			s := a.server
			s.slowness += smoothing * (min(float64(o.Delay)/at, 10) - s.slowness)
			s.slowness = min(max(s.slowness, 1/maxSlowness), maxSlowness)
		}
		if o.Status == OK { // a server that has gone silent says nothing of the others
			b.delay.observe(a.depth, float64(o.Delay)/a.server.slowness)
		}
	}
	switch {
	case r.ended:
		b.cancelAll(r, act)
		b.forget(r)
	case r.outstanding == 0 && o.Status == Rejected: // no other server could use it either
		b.finish(now, r, false, act)
	case r.outstanding == 0 && !b.sendNext(now, r, b.readySet(now, r), act):
		b.finish(now, r, true, act)
	}
}

// recordFailure notes evidence against a server: it is left out of the ready set for a while that grows
// with failures in a row. Guards against servers that err at once and so keep a short queue.
func (b *Balancer) recordFailure(now Time, s *server, st Status) {
	s.marked = false
	switch st {
	case Canceled, NotSent:
		return
	case Timeout, Overloaded:
		s.queue = math.Inf(1) // until it reports again
	}
	s.failures, b.busyShare = s.failures+1, 1
	if st == Overloaded || st == Timeout && (s.failures < 3 || now-s.lastOK < time.Second) {
		return // may be the load: see set
	}
	s.ejectedUntil = now + min(firstEjection<<min(s.failures-1, 10), max(b.cfg.Ramp, firstEjection))
}

// readySet returns the ready readySet: the first servers in order of preference that are not ejected or cold, those within their ramp only if
// their place is of the readySet: where most are new all would rush upon the first to pass for warm. When more than half of all are
// ejected the evidence is against the network or the load, not against servers, and ejections are ignored.
func (b *Balancer) readySet(now Time, r *request) []*server {
	set := make([]*server, 0, b.setSize)
	bad := 0
	for i, s := range b.ready {
		if s.ejectedUntil > now {
			bad++
		} else if young := s.Started != 0 && now-s.Started < b.cfg.Ramp; len(set) < b.setSize && r.allowsSite(s) && (!young || i < b.setSize && b.warmth(now, s) == 1) {
			set = append(set, s)
		}
	}
	if 2*bad > len(b.ready) || len(set) == 0 {
		set = append(set[:0], b.siteReadySet(r)...)
	}
	return set
}

// siteReadySet returns as many servers as make up the ready set, in order of preference, of the sites that may have r.
func (b *Balancer) siteReadySet(r *request) []*server {
	if r.sites == nil {
		return b.ready[:b.setSize]
	}
	near := make([]*server, 0, b.setSize)
	for _, s := range b.ready {
		if len(near) < b.setSize && r.allowsSite(s) {
			near = append(near, s)
		}
	}
	return near
}

// allowsSite reports whether r may go to the site of s.
func (r *request) allowsSite(s *server) bool {
	return r.sites == nil || slices.Contains(r.sites, s.Zone)
}

// drawColdServer draws a place of the ready set, and returns the server there if it is cold, in proportion to
// the least capacity it can have. An empty queue would make every probe round choose it; this way it
// gets that part of what this sidecar sends a warm one, whatever its reports, and however many wait.
func (b *Balancer) drawColdServer(now Time, r *request) *server {
	places := b.siteReadySet(r)
	if len(places) == 0 {
		return nil
	}
	s := places[b.rng.IntN(len(places))]
	if w := b.warmth(now, s); w == 1 || s.ejectedUntil > now || b.rng.Float64() >= w || !b.withinLimit(s, r.delayLimit) {
		return nil
	}
	return s
}

// coldMargin is how far above its share of the traffic may go what a cold server is sent within the window of the rule.
const coldMargin = 1.25

// coldReliefShare is the part of its turns that a cold server gets of the requests that warm ones are too slow for, where this
// sidecar sends too little to go by. With all of it, an overload with clients' retries would push over what has just started.
const coldReliefShare = 0.5

// drawReliefServer draws a place of the ready set, and returns the server there if it is cold and may take one of the requests that
// warm ones are too slow for: while it has less of this sidecar's requests than those have in the mean, in proportion to its
// least capacity. What stands at it is bounded so by its share of what stands at them, over all sidecars alike, and what it
// is sent by what it answers, however many are refused. Where none is warm it gets one at a time. It guards against refusals beside servers that warm up while a release of the fleet
// leaves the others overloaded: their turns come with what is sent, of which there is less the more is refused.
func (b *Balancer) drawReliefServer(now Time, r *request) *server {
	places := b.siteReadySet(r)
	if len(places) == 0 {
		return nil
	}
	s := places[b.rng.IntN(len(places))]
	w := b.warmth(now, s)
	if w == 1 || s.ejectedUntil > now {
		return nil
	}
	warm, out := 0, 0
	for _, t := range b.ready {
		if b.warmth(now, t) == 1 && t.ejectedUntil <= now {
			warm, out = warm+1, out+t.outstanding
		}
	}
	if warm > 0 && float64((s.outstanding+1)*warm) <= w*float64(out) || warm == 0 && s.outstanding == 0 || s.outstanding == 0 && b.rng.Float64() < coldReliefShare*w {
		return s
	}
	return nil
}

// relieveOrRefuse refuses r unless a cold server can relieve the others of it.
func (b *Balancer) relieveOrRefuse(now Time, r *request, act Actions) {
	if s := b.drawReliefServer(now, r); s != nil && len(r.attempts) == 0 && b.withinLimit(s, r.delayLimit) && b.maySend(now, r, s) {
		if r.heldUntil > 0 {
			r.heldUntil = 0
			b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
		}
		b.startAttempt(now, r, s, act)
		return
	}
	// What its sites are too slow for goes over to another, within what may be added there.
	if r.sites != nil && len(r.attempts) == 0 && !r.spilled && b.spill(now, r, r.sites[0]) {
		if set := b.serversWithinLimit(now, r, b.readySet(now, r)); len(set) > 0 && b.maySend(now, r, set[0]) {
			b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
			r.heldUntil = 0
			if b.sendNext(now, r, set, act) {
				return
			}
		}
	}
	b.finish(now, r, true, act)
}

// dispatch sends r, or turns it away where no server may have it: it would wait for nothing until its time is up. One that ran before may be
// awaited by its zone or cell.
func (b *Balancer) dispatch(now Time, r *request, set []*server, act Actions) {
	if !b.sendNext(now, r, set, act) && (r.sites != nil || b.listEnded || len(r.priorAttempts) == 0) {
		b.relieveOrRefuse(now, r, act)
	}
}

// sendNext starts a further attempt of r if a legal one exists and reports whether it did, or whether
// the request may still be held.
func (b *Balancer) sendNext(now Time, r *request, set []*server, act Actions) bool {
	var s *server
	if own := r.sites; b.sitePlan != nil && len(r.attempts) > 0 {
		// A further attempt goes to another site that has room: where all of one fails, the others of it would as well.
		first := r.attempts[0].zone
		r.sites = nil
		elsewhere := func(t *server) bool { return t.Zone != first && b.maySend(now, r, t) }
		if slices.ContainsFunc(b.ready, elsewhere) && b.spill(now, r, first) {
			s = b.pickServer(now, r, b.ready)
		}
		if s == nil {
			r.sites = own
		}
	}
	if s == nil {
		s = b.pickServer(now, r, set)
	}
	if s == nil {
		s = b.pickServer(now, r, b.ready)
	}
	if s == nil {
		return len(r.attempts) == 0 && len(b.ready) == 0 && !b.listEnded // hold until the list names a server
	}
	if c := b.drawColdServer(now, r); c != nil && len(r.attempts) == 0 && b.maySend(now, r, c) {
		s = c
	}
	b.startAttempt(now, r, s, act)
	return true
}

// startAttempt sends an attempt of r to s.
func (b *Balancer) startAttempt(now Time, r *request, s *server, act Actions) {
	s.marked = false
	if b.sitePlan != nil {
		b.sitePlan.RecordAttempt(now, s.Zone)
	}
	a := attempt{server: s, zone: s.Zone, cell: s.Cell, sent: now, pending: true, depth: b.queueDepth(s)}
	r.attempts = append(r.attempts, a)
	r.outstanding++
	if len(r.attempts) == 1 {
		b.earnProbeCredit(1 - refusedProbeShare)
	}
	s.lastSend, s.connOpen = now, true
	r.attempts[len(r.attempts)-1].setExecuting(!r.Uploading)
	b.closeIdleConnections(now, act)
	act.Send(r.ID, s.ID, r.answerBy-now)
}

// closeIdleConnections hangs up connections that cost more to hold than to open anew. An open one costs
// ConnectionTariff/100 of a server's share, a handshake HandshakeTariff of a request's: they balance
// after 100 x HandshakeTariff/ConnectionTariff requests of a server, whose rate follows by Little's
// law from the delay and the requests it holds, assumed to be half as many as cores while all are idle.
func (b *Balancer) closeIdleConnections(now Time, act Actions) {
	served := 100 * b.cfg.HandshakeTariff / max(b.cfg.ConnectionTariff, 1e-9)
	hold := time.Duration(served * b.delay.delay / (assumedCores * (0.5 + b.busyShare)))
	left := false
	for _, s := range b.ready {
		if s.connOpen && b.cfg.ConnectionTariff > 0 && now-s.lastSend >= hold {
			s.connOpen = false
			act.CloseIdle(s.ID)
		}
		left = left || s.connOpen
	}
	if left && !b.sweepScheduled && b.cfg.ConnectionTariff > 0 && hold > 0 {
		b.sweepScheduled = true
		act.SetTimer(hold, "sweep")
	}
}

// pickServer draws a marked server of set at random, or else a server uniformly: of those that would answer within the limit of a
// first attempt, if there are any, since a slow server that takes its even share collects an endless queue.
func (b *Balancer) pickServer(now Time, r *request, set []*server) *server {
	var marked, all, late []*server
	for _, s := range set {
		tried := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
		if !tried && b.maySend(now, r, s) && b.admitsCold(now, r, s) {
			if !b.withinLimit(s, r.aimEnd-now) || len(r.attempts) == 0 && !b.withinLimit(s, r.delayLimit) {
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

// admitsCold lets a request have a cold server for its first attempt only, and only a share of requests: that
// of its least capacity. All picks for a request agree, so that asking twice does not double the share.
func (b *Balancer) admitsCold(now Time, r *request, s *server) bool {
	w := b.warmth(now, s)
	return w == 1 || len(r.attempts) == 0 && float64(hash(s.ID, uint64(r.ID))) < w*math.MaxUint64
}

// withinLimit reports whether an answer of s is to be expected within limit. A server that reports nobody waiting and has
// none of this sidecar's requests is given one whatever was learnt of delays. It guards against a belief that
// starves itself of evidence: once every server is held too slow nothing is sent, and nothing is learnt that would put
// it right, however it came about (a stall, an outage, a client's or a network's fault). Should reports say 0 while
// requests wait, it would keep one request in flight at each server that could have been refused.
func (b *Balancer) withinLimit(s *server, limit time.Duration) bool {
	return b.expectedDelay(s) <= limit || limit > 0 && s.outstanding == 0 && s.reported && s.queue < 1
}

// expectedDelay is the delay to expect of an answer of s: the common line of delay by depth, times how much slower than it
// s has been.
func (b *Balancer) expectedDelay(s *server) time.Duration {
	d := b.queueDepth(s)
	if math.IsInf(d, 1) { // on a line that lies flat it would come out as no number, which passes for in time
		return time.Hour
	}
	return time.Duration(min(b.delay.delayAt(d)*s.slowness, float64(time.Hour)))
}

// queueDepth is how many requests stand before a new one at s, as far as is known: those that it reported, or this sidecar's
// own that have no outcome, if they are more. It guards against reports that run behind, whether they are refreshed
// seldom, come late, or the probes do: until the next, all that is sent would be held to wait no longer than the first.
// It should also notice a server that stalls. Marks and the threshold go by reports alone, as the design has it. It
// does harm where a server takes many requests at once that do not wait for one another: the line has to learn that.
func (b *Balancer) queueDepth(s *server) float64 {
	q := s.queue
	if !s.reported {
		q = b.delay.queue
	}
	return max(q, float64(s.outstanding))
}

// SetSitePlan has b go by p, nil for none.
func (b *Balancer) SetSitePlan(p SitePlan) { b.sitePlan = p }

// assignSite finds the site that r is to go to, and reports whether there is one: that of a assignSite of the ready set, drawn among the sites
// that r is meant for, or one that takes over from it.
func (b *Balancer) assignSite(now Time, r *request) bool {
	if b.sitePlan == nil {
		return true
	}
	again := r.Retry || r.startedAt < now
	b.sitePlan.RecordRequest(now, r.Class, r.Tenant, again)
	var lost float64
	r.sites, lost = b.sitePlan.HomeSites(r.Class, r.Tenant)
	places := b.siteReadySet(r)
	if len(b.ready) == 0 {
		return true
	}
	if len(places) == 0 || b.rng.Float64() < lost {
		return b.spill(now, r, "")
	}
	// What comes back has been refused or has failed: it goes where there is room, as further attempts do. Guards against its being
	// drawn anew until it is meant for a site that has its own, where it would crowd out that, whatever it is worth.
	from := places[b.rng.IntN(len(places))].Zone
	share, partly := b.siteShares[from]
	if r.relativeWorth*b.maxWorthRate > b.minWorthRate { // trials and first steps are for what is worth least
		share = math.Pow(share, highWorthExponent)
	}
	if partly && b.rng.Float64() >= share || again && !b.sitePlan.HasSpareCapacity(now, from, r.relativeWorth) {
		return b.spill(now, r, from)
	}
	r.sites = []string{from}
	return true
}

// spill has r go to the site that takes it over from another, and reports whether there is one.
func (b *Balancer) spill(now Time, r *request, from string) bool {
	to, wait := b.sitePlan.Spill(now, r.Class, r.Tenant, from, r.relativeWorth)
	r.sites, r.spillRetryAfter, r.spilled = []string{to}, wait, true
	return to != ""
}

// SetSiteShares has the sites that are named take that part of what is meant for them, from 0 to below 1; all others take theirs
// whole. It matters with a Plan only.
func (b *Balancer) SetSiteShares(shares map[string]float64) {
	b.siteShares = map[string]float64{}
	for site, share := range shares {
		if share < 1 {
			b.siteShares[site] = max(share, 0)
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
	return w * b.relativeWeight(s)
}

// relativeWeight is how much less than the mean a server can do by the weights that the list tells, at most 1. Where it tells none
// they are all alike.
func (b *Balancer) relativeWeight(s *server) float64 {
	if !(s.Weight > 0 && s.Weight < b.meanWeight) {
		return 1
	}
	return s.Weight / b.meanWeight
}

// maySend is the one judge of whether the rules allow an attempt of r at s.
func (b *Balancer) maySend(now Time, r *request, s *server) bool {
	if r.ended || r.responseStarted || r.noMoreSends || r.Uploading && r.outstanding > 0 || s.State != Ready || !r.allowsSite(s) || now >= r.Expires || len(r.attempts) >= r.maxAttempts ||
		r.outstanding > 0 && !b.cfg.MayDuplicate {
		return false
	}
	bars := func(a attempt) bool {
		c := r.class
		return !a.notRun && (c.Effect == Unsafe || c.Effect == Keyed && (now >= a.sent+c.KeyTTL-b.cfg.DialTimeout-b.cfg.Tick ||
			c.Group == GroupZone && a.zone != s.Zone || c.Group == GroupCell && a.cell != s.Cell))
	}
	return !slices.ContainsFunc(r.priorAttempts, bars) && !slices.ContainsFunc(r.attempts, bars)
}

// mayRefuse is the one judge of whether a refusal, which promises that a retry is harmless, is true of r. Of one that may have
// run under its key before, at a time that its client cannot know, it is not.
func mayRefuse(r *request) bool {
	return len(r.priorAttempts) == 0 && (r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.notRun }))
}

// finish gives the final answer: a refusal where it is true and a retry could help, else a failure.
func (b *Balancer) finish(now Time, r *request, retry bool, act Actions) {
	b.cancelAll(r, act)
	r.ended = true
	if now < r.Expires {
		r.class.addUnanswered(r)
	}
	if r.heldUntil > 0 {
		r.heldUntil = 0
		b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
	}
	if retry && mayRefuse(r) {
		act.Refuse(r.ID, b.retryAfter(now, r))
	} else {
		act.Fail(r.ID)
	}
	b.forget(r)
}

// retryAfter is how long r's client should wait before it asks again: until the server that will be free first has worked
// off what stands in the way of r, if nothing else came; where none is known to be free ever, a mark's life, in which
// reports are renewed. It guards against refusals that beget retries at once, which are refused alike. It does harm
// where queues fall faster than by work, as when a fleet grows: its clients then idle for as long.
func (b *Balancer) retryAfter(now Time, r *request) time.Duration {
	if !b.cfg.ClientsHonorRetryAfter {
		return 0
	}
	wait := time.Hour
	for _, s := range b.readySet(now, r) {
		wait = min(wait, b.expectedDelay(s))
	}
	if wait == time.Hour {
		wait = b.markLife
	}
	return min(max(wait-max(r.delayLimit, 0), b.cfg.Tick, r.spillRetryAfter), b.cfg.MaxRetryAfter).Round(time.Millisecond)
}

func (b *Balancer) cancelAll(r *request, act Actions) {
	for i, a := range r.attempts {
		if a.pending && b.cfg.MayCancel && !a.canceled {
			r.attempts[i].canceled = true
			act.Cancel(r.ID, i)
		}
	}
}

// forget drops an ended request once all its attempts are back.
func (b *Balancer) forget(r *request) {
	if r.outstanding == 0 {
		delete(b.requests, r.ID)
	}
}

// ResponseStarted notes that the answer of r has begun: other attempts of it are of no use any more.
func (b *Balancer) ResponseStarted(now Time, id RequestID, attempt int, act Actions) {
	if r := b.requests[id]; r != nil {
		r.responseStarted = true
		if attempt >= 0 && attempt < len(r.attempts) {
			r.attempts[attempt].setExecuting(false)
			r.attempts[attempt].canceled = true // it is the one that goes on
			b.cancelAll(r, act)
		}
	}
}

// UploadComplete notes that the last byte of a request has come which was still coming: its time counts from now, and it
// cannot be sent again.
func (b *Balancer) UploadComplete(now Time, id RequestID, act Actions) {
	if r := b.requests[id]; r != nil && r.Uploading && !r.ended {
		r.Uploading, r.noMoreSends = false, true
		for i := range r.attempts {
			if a := &r.attempts[i]; a.pending {
				a.sent, a.depth = now, b.queueDepth(a.server)
				a.setExecuting(true)
			}
		}
		late := now - r.receivedAt
		r.receivedAt = now
		for _, t := range []*Time{&r.Expires, &r.startedAt, &r.aimEnd, &r.answerBy} {
			*t += late
		}
		act.SetTimer(r.answerBy-now, timerToken(r.ID))
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
		b.sweepScheduled = false
		b.closeIdleConnections(now, act)
		return
	}
	id, _ := strconv.ParseUint(tok, 36, 64)
	r := b.requests[RequestID(id)]
	switch {
	case r == nil || r.ended || r.responseStarted || r.Uploading && r.outstanding > 0: // the last is for whoever reads it to end
	case now >= r.answerBy:
		b.finish(now, r, false, act)
	case r.heldUntil > 0 && now >= r.heldUntil:
		b.relieveOrRefuse(now, r, act)
	}
}

// jitter draws a time below d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

// This file holds the Balancer's decisions. The interface (Config, events, Actions) is in api.go,
// and the records that it keeps are in state.go.

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
	// probesPerRound is the parameter d of JBT-d. A choice between two is enough to tilt the pick.
	probesPerRound = 2
	// defaultReadySet is the ready set's size at low traffic. In a larger set each member would
	// get too few requests and probes of this sidecar to keep its figures fresh. A sidecar that
	// sends more has a larger set.
	defaultReadySet = 5
	// requestsPerMarkLife is the number of requests that each member should get within the
	// lifetime of a mark.
	requestsPerMarkLife = 2
	// gapSmoothing is the weight of a new gap in the moving average of gaps between requests.
	gapSmoothing = 0.02
	// probeBudget is the cost that probes may cause, in points of the result. Together with the
	// tariff it determines the period T. A sidecar that sends less than one request per mark
	// lifetime learns little from other sources and may spend quietProbeBudget.
	probeBudget      = 0.02
	quietProbeBudget = 0.05
	// refusedProbeShare is the part of the probe budget spent on a request that is refused in the
	// end, because the request may return up to three times.
	refusedProbeShare = 0.4
	// connectionBudget is the cost that open connections may cause, in points of the result.
	// Together with the tariff it limits the size of the ready set.
	connectionBudget = 0.02
	// minReadySet leaves a choice of two servers if one of three members fails.
	minReadySet = 3
	// holdDivisor limits the wait for a usable probe reply to 1/holdDivisor of the time that a
	// request has left, because it then still has to wait in the queue of a server.
	holdDivisor = 6
	// refusalBand is the part of the remaining time over which the probability of a refusal rises
	// to 1. It is wide enough for queues to settle within it, below the aim, although each
	// refused client returns up to three times.
	refusalBand = 0.4
	// maxQueueShare is the part of the time left after the work itself that a queue may take from
	// the requests with the highest worth, in a sidecar with little traffic. A refused client
	// retries at once, mostly in time for another server, while a waiting client is late for good
	// if its server is slower than the last report said. A sidecar that sees more than
	// busyRequests requests per mark lifetime learns queue lengths from its own traffic, and
	// allows the more of the time the more it sees, up to all of it.
	maxQueueShare = 0.45
	busyRequests  = 16
	// firstEjection is the duration of the first ejection. Each further failure in a row doubles
	// it, up to the ramp time.
	firstEjection = 500 * time.Millisecond
	// maxSlowness limits how much slower or faster than the common regression line a server is
	// estimated to be. Servers differ by less, and without the limit the line and the factors
	// drift apart together.
	maxSlowness = 4
	// highWorthExponent is the power of a site's share that applies to requests worth more than
	// the minimum.
	highWorthExponent = 1.5
	// smoothing is the weight of a new sample in moving averages. About the last ten samples
	// count.
	smoothing = 0.1
)

// Balancer makes the routing decisions of one sidecar. It is not safe for concurrent use.
type Balancer struct {
	cfg         Config
	rng         *rand.Rand
	classes     map[string]*class
	servers     map[ServerID]*server
	ready       []*server // ready servers in this sidecar's order of preference
	meanWeight  float64   // of the ready servers
	ownZoneOnly bool      // the ready set is limited to the sidecar's own zone
	setSize     int       // size of the ready set
	maxSetSize  int       // size of the ready set that the traffic allows
	requestGap  float64   // moving average of the time between requests
	lastRequest Time      // when the latest request came
	requests    map[RequestID]*request

	threshold   float64       // shortest queue reported so far in the last probe round
	newRound    bool          // no reply of the last round has come
	held        []*request    // requests waiting for a mark, in order of arrival
	markLife    time.Duration // marks older than this are stale
	busyShare   float64       // share of probes that found a waiting request
	probeCredit float64       // probes that the traffic so far allows

	delay delayModel // of answers by the queue depth at the send

	sitePlan   SitePlan           // nil: sites are not used
	siteShares map[string]float64 // of sites that take only a part of their traffic

	maxWorthRate   float64 // highest worth of a class per second of its aim
	minWorthRate   float64 // lowest worth of a class per second of its aim
	sweepScheduled bool    // a timer for closeIdleConnections is set
	watching       bool
	watchFailures  int
	listEnded      bool // no further list update will come
}

// New returns a Balancer for cfg. The seed is that of its random numbers.
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

// setClasses applies the classes of cfg. The estimates of a class are kept under its name.
func (b *Balancer) setClasses(cfg Config) {
	previous := b.classes
	b.cfg, b.classes, b.maxWorthRate, b.minWorthRate, b.markLife = cfg, map[string]*class{}, 0, math.Inf(1), 0
	for _, c := range cfg.Classes {
		k := &class{}
		if old := previous[c.Name]; old != nil {
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

// Reconfigure applies cfg. Open requests keep their class and their number of attempts. If cfg is
// invalid, which New would report in the same way, nothing changes.
func (b *Balancer) Reconfigure(cfg Config) error {
	if err := cfg.validate(); err != nil {
		return err
	}
	b.setClasses(cfg)
	b.rebuildReadySet()
	return nil
}

// maxWatchPause limits the pause after a failed call. A change counts as told 6 s after the list
// service could be reached; the jitter lengthens the pause by half, and the call needs the rest.
const maxWatchPause = 3 * time.Second

// UpdateServers applies an update of the server list.
func (b *Balancer) UpdateServers(now Time, kind ListKind, entries []Server, act Actions) {
	if kind == ListFailed {
		// A failed call is retried after a growing, jittered pause. A thousand sidecars that ask
		// again at once would overload the list service permanently. The first pause is short,
		// because a list whose watch breaks often also changes often.
		b.watching = false
		b.watchFailures++
		pause := min(b.cfg.RefreshInterval/16<<min(b.watchFailures, 4), maxWatchPause)
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
			// A restarted process starts with a clean record.
			*s = server{slowness: 1, outstanding: s.outstanding}
		}
		// Failures while draining say nothing about it now.
		if e.State == Ready && s.State != Ready {
			s.failures, s.ejectedUntil = 0, 0
		}
		s.Server = e
	}
	// Guards against unbounded growth of the records when servers keep being replaced.
	maps.DeleteFunc(b.servers, func(_ ServerID, s *server) bool { return s.State == Gone })
	b.rebuildReadySet()
	if kind == ListCached && !b.cfg.ListPushed && !b.watching {
		// Spread over most of the time allowed by the rules.
		act.SetTimer(b.jitter(b.cfg.RefreshInterval*6/10), "watch")
	} else if b.watching {
		b.watchFailures = 0
	}
	for _, id := range sortedKeys(b.requests) { // requests held because no server was ready
		if r := b.requests[id]; !r.ended && len(r.attempts) == 0 && (r.heldUntil == 0 || b.listEnded) {
			b.dispatch(now, r, b.readySet(now, r), act)
		}
	}
}

// DiscoveryMoved notes that discovery has a new address. It watches the list there at once,
// whatever pause a failed call imposed on the old address, because the list counts as delivered
// before long. If the timer of such a pause fires later, it finds a running watch.
func (b *Balancer) DiscoveryMoved(now Time, act Actions) {
	b.watching, b.watchFailures = true, 0
	act.Watch(true)
}

// rebuildReadySet orders the ready servers. A ready set starts at a position given by the
// sidecar's ordinal and continues in steps that differ between neighbours, so every server gets
// about as many sidecars and the load of a failing server spreads over many. The spares follow in
// order of rendezvous hashing.
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
	// If leaving the zone costs more than the probes to find a server within it, the set is
	// limited to the own zone.
	outOfZone := func(s *server) bool { return s.Zone != b.cfg.Zone }
	candidates := slices.DeleteFunc(slices.Clone(pool), outOfZone)
	b.ownZoneOnly = len(candidates) >= minReadySet && b.cfg.CrossZoneTariff > probesPerRound*b.cfg.ProbeTariff
	if !b.ownZoneOnly {
		candidates = slices.Clone(pool)
	}
	n := len(candidates)
	b.setSize = min(n, b.maxSetSize)
	if b.cfg.ConnectionTariff > 0 {
		perSidecar := 100 * connectionBudget / b.cfg.ConnectionTariff * float64(len(pool)) / float64(b.cfg.GroupSize)
		b.setSize = min(b.setSize, max(minReadySet, int(perSidecar)))
	}
	ordered := make([]*server, 0, len(pool))
	stride := 1 + b.cfg.Ordinal%max(1, (n-1)/max(1, b.setSize-1))
	for j := range b.setSize {
		ordered = append(ordered, candidates[(b.cfg.Ordinal*n/b.cfg.GroupSize+j*stride)%n])
	}
	sortByHash(pool, uint64(b.cfg.Ordinal)<<32)
	for _, s := range pool {
		if !slices.Contains(ordered[:b.setSize], s) {
			ordered = append(ordered, s)
		}
	}
	b.ready = ordered
}

// adaptReadySet adjusts the size of the ready set to the traffic. It guards against sidecars that
// refuse requests while a server outside their sets idles: when few sidecars share a small fleet,
// a server left out of a set is unused capacity. In busy sidecars a larger set means connections
// to more servers; where connections are expensive, ConnectionTariff limits the set.
func (b *Balancer) adaptReadySet(now Time) {
	if b.lastRequest != 0 {
		b.requestGap += gapSmoothing * (float64(min(now-b.lastRequest, time.Second)) - b.requestGap)
	}
	b.lastRequest = now
	size := max(defaultReadySet, int(float64(b.markLife)/requestsPerMarkLife/max(b.requestGap, float64(b.cfg.Tick)/10, 1)))
	if size > b.maxSetSize || size < b.maxSetSize/2 { // not at every fluctuation
		b.maxSetSize = size
		if b.setSize != min(size, len(b.ready)) {
			b.rebuildReadySet()
		}
	}
}

// Request handles a client's request.
func (b *Balancer) Request(now Time, q Request, act Actions) {
	b.adaptReadySet(now)
	c := b.classes[q.Class]
	// Unknown class: assume that repeats do harm and that late answers keep their worth.
	if c == nil {
		remaining := q.Expires - now
		c = &class{Class: Class{Name: q.Class, Effect: Unsafe, Aim: remaining, Deadline: remaining}}
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
	// Requests that are worth less for their time are refused earlier, because they tolerate a
	// shorter queue: in proportion to their worth when there is little traffic, to the root of it
	// when there is much.
	idleDelay := b.delay.delayAt(0)
	r.relativeWorth = c.Worth / c.Aim.Seconds() / max(b.maxWorthRate, 1e-9)
	lowTraffic := min(1, busyRequests*b.requestGap/float64(b.markLife))
	scale := (1 - lowTraffic*(1-maxQueueShare)) * math.Pow(r.relativeWorth, (1+lowTraffic)/2) * (1 - refusalBand*b.rng.Float64())
	// An answer after the aim keeps a share of its worth, and the request tolerates the square of
	// that share of the queue. This guards against refusing retries beside idle servers when the
	// answers to earlier tries were lost or late. With the square, late work yields first when
	// there is much else to do; with the share itself it would crowd out requests that can still
	// be in time.
	lateLimit := (float64(r.answerBy-now) - idleDelay) * scale * c.LateShare * c.LateShare
	r.delayLimit = time.Duration(idleDelay + max((float64(r.aimEnd-now)-idleDelay)*scale, lateLimit))
	if r.answerBy <= now+b.cfg.Tick { // an answer would come too late to help anyone
		b.finish(now, r, false, act)
		return
	}
	if !b.assignSite(now, r) {
		b.finish(now, r, true, act) // the other sites are full with their own requests
		return
	}
	act.SetTimer(r.answerBy-now, timerToken(q.ID))
	b.earnProbeCredit(refusedProbeShare)
	set := b.readySet(now, r)
	if !b.cfg.MayProbe || b.probeCredit < probesPerRound || len(set) == 0 {
		// Guards against refusals by chance, each of which causes a retry: in a fleet of unequal
		// servers or queues the draw may fall on a server that is too slow for this request while
		// others are not. Those others take the request if their figures are fresh. With stale
		// figures many sidecars would send their refused requests to the same few servers.
		if s := b.pickServer(now, r, set); s != nil && b.withinLimit(s, r.delayLimit) {
			set = []*server{s} // a second draw could fall on a server that is too slow
		} else if s != nil {
			// Requests nobody waits for any more would keep queues long for all.
			if set = b.serversWithinLimit(now, r, set); len(set) == 0 {
				b.relieveOrRefuse(now, r, act)
				return
			}
		}
		b.dispatch(now, r, set, act)
		return
	}
	r.probed = b.startProbeRound(r, set, act)
	usable := func(s *server) bool {
		return b.hasMark(now, s) && b.withinLimit(s, r.delayLimit) && !b.cfg.ServersCacheKeys
	}
	if slices.ContainsFunc(set, usable) {
		b.dispatch(now, r, set, act)
		return
	}
	// Only stale figures are available: the request waits for the first reply of its round, and
	// is refused if none comes in time.
	r.heldUntil = now + (r.answerBy-now)/holdDivisor
	b.held = append(b.held, r)
	act.SetTimer(r.heldUntil-now, timerToken(q.ID))
}

// earnProbeCredit adds the probes that a share of a request pays for: the full amount after a
// failure or while probes find waiting requests, and down to a tenth while they find none, when
// any server will do.
func (b *Balancer) earnProbeCredit(share float64) {
	spend := probeBudget + (quietProbeBudget-probeBudget)*min(1, b.requestGap/float64(b.markLife))
	b.probeCredit = min(b.probeCredit+share*max(b.busyShare, 0.1)*spend/max(b.cfg.ProbeTariff, 1e-9), probesPerRound)
}

// startProbeRound starts a probe round, whose replies set the threshold. The period T is
// therefore counted in requests, so sidecars that send little neither probe in vain nor need a
// clock. If servers do less work for a key they have seen recently, the round asks the servers
// responsible for the key instead: the first d servers in order of rendezvous hashing.
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

// Probed handles the result of a probe.
func (b *Balancer) Probed(now Time, p ProbeResult, act Actions) {
	s := b.servers[p.Server]
	if s == nil {
		return
	}
	hasQueue := false // the reply contains a queue
	if p.Status != OK {
		b.recordFailure(now, s, p.Status)
	} else {
		s.failures, s.lastOK = 0, now
		if q := queueLength(p.Load); q >= 0 {
			hasQueue = true
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
		case hasQueue && b.withinLimit(s, r.delayLimit):
			// The first reply to the request's own round sets the threshold and the server's
			// mark. Waiting for a mark under the threshold of another request's round would
			// refuse requests that could be served.
			b.threshold, s.marked, s.markedAt = s.queue, true, now
			to = []*server{s}
		case r.probeReplies < len(r.probed):
			continue
		case r.probeReplies == len(r.probed) && hasQueue && b.ownZoneOnly && r.sites == nil && b.probeCredit >= probesPerRound:
			// The own zone is full: try the other zones.
			r.probed = b.startProbeRound(r, b.ready[b.setSize:], act)
			continue
		default:
			// Guards against requests that wait in vain after their round has ended: the probed
			// servers were too slow, failed, or sent nothing usable, while another server is
			// known to be free. If all probes fail at once because of a fault on this side, the
			// latest figures are used for as long as a mark lives.
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

// serversWithinLimit returns the servers of set that would answer r within its delay limit
// according to fresh reports, or, if no server has ever reported, according to their answers.
func (b *Balancer) serversWithinLimit(now Time, r *request, set []*server) []*server {
	anyReported := slices.ContainsFunc(set, func(s *server) bool { return s.reported })
	return slices.DeleteFunc(slices.Clone(set), func(s *server) bool {
		return anyReported && now-s.reportedAt > b.markLife || !b.withinLimit(s, r.delayLimit) || !b.maySend(now, r, s)
	})
}

// hasMark reports whether s has a mark that is not stale.
func (b *Balancer) hasMark(now Time, s *server) bool { return s.marked && now-s.markedAt <= b.markLife }

// recordReport records a load report. In terms of JBT, its arrival is the tick: the server is
// marked if its queue is at or below the threshold. A report is never used twice for marking, so
// marks and thresholds stay fresh in sidecars that send little.
func (b *Balancer) recordReport(now Time, s *server, l *Load) {
	q := queueLength(l)
	if q < 0 {
		return
	}
	s.queue, s.reported, s.reportedAt = q, true, now
	s.marked, s.markedAt = s.State == Ready && s.queue <= b.threshold, now
}

// Outcome handles the end of an attempt.
func (b *Balancer) Outcome(now Time, o Outcome, act Actions) {
	if s := b.servers[o.Server]; s != nil {
		b.recordOutcome(now, s, o)
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
		if o.Status == OK { // a server without answers says nothing about the others
			b.delay.observe(a.depth, float64(o.Delay)/a.server.slowness)
		}
	}
	switch {
	case r.ended:
		b.cancelAll(r, act)
		b.forget(r)
	case r.outstanding == 0 && o.Status == Rejected: // no other server could process it either
		b.finish(now, r, false, act)
	case r.outstanding == 0 && !b.sendNext(now, r, b.readySet(now, r), act):
		b.finish(now, r, true, act)
	}
}

// recordOutcome records what the end of an attempt says of its server.
func (b *Balancer) recordOutcome(now Time, s *server, o Outcome) {
	switch {
	case o.Status == OK || o.Status == Rejected:
		s.failures, s.lastOK = 0, now
	case o.Reason == ReasonSlow:
		// Its response flowed: the server, or the way to it, is slow, but sound.
	case o.Status == Canceled && o.Reason == ReasonStoodStill:
		b.recordFailure(now, s, Timeout) // another attempt got ahead of it
	default:
		b.recordFailure(now, s, o.Status)
	}
}

// recordFailure counts a failure of a server and leaves it out of the ready set for a time that
// grows with the failures in a row. This guards against servers that fail quickly and therefore
// keep a short queue.
func (b *Balancer) recordFailure(now Time, s *server, st Status) {
	s.marked = false
	switch st {
	case Canceled, NotSent:
		return
	case Timeout, Overloaded:
		s.queue = math.Inf(1) // until the next report
	}
	s.failures, b.busyShare = s.failures+1, 1
	if st == Overloaded || st == Timeout && (s.failures < 3 || now-s.lastOK < time.Second) {
		return // may be caused by load rather than a fault; see readySet
	}
	s.ejectedUntil = now + min(firstEjection<<min(s.failures-1, 10), max(b.cfg.Ramp, firstEjection))
}

// readySet returns the first servers in order of preference that are neither ejected nor cold. A
// server within its ramp is included only if it is warm and among the first setSize servers: if
// most servers are new, all sidecars would otherwise rush to the first one that counts as warm.
// If more than half of all servers are ejected, the cause is probably the network or the load,
// and ejections are ignored.
func (b *Balancer) readySet(now Time, r *request) []*server {
	set := make([]*server, 0, b.setSize)
	ejected := 0
	for i, s := range b.ready {
		if s.ejectedUntil > now {
			ejected++
		} else if inRamp := s.Started != 0 && now-s.Started < b.cfg.Ramp; len(set) < b.setSize && r.allowsSite(s) && (!inRamp || i < b.setSize && b.warmth(now, s) == 1) {
			set = append(set, s)
		}
	}
	if 2*ejected > len(b.ready) || len(set) == 0 {
		set = append(set[:0], b.siteReadySet(r)...)
	}
	return set
}

// siteReadySet returns as many servers as a ready set has, in order of preference, from the sites
// that may serve r.
func (b *Balancer) siteReadySet(r *request) []*server {
	if r.sites == nil {
		return b.ready[:b.setSize]
	}
	set := make([]*server, 0, b.setSize)
	for _, s := range b.ready {
		if len(set) < b.setSize && r.allowsSite(s) {
			set = append(set, s)
		}
	}
	return set
}

// allowsSite reports whether r may go to the site of s.
func (r *request) allowsSite(s *server) bool {
	return r.sites == nil || slices.Contains(r.sites, s.Zone)
}

// drawColdServer picks a random member of the ready set and returns it if it is cold, with a
// probability equal to its minimum capacity. Its empty queue would make every probe round choose
// it; with the draw it gets that part of what this sidecar sends to a warm server, whatever it
// reports and however many requests wait.
func (b *Balancer) drawColdServer(now Time, r *request) *server {
	members := b.siteReadySet(r)
	if len(members) == 0 {
		return nil
	}
	s := members[b.rng.IntN(len(members))]
	if w := b.warmth(now, s); w == 1 || s.ejectedUntil > now || b.rng.Float64() >= w || !b.withinLimit(s, r.delayLimit) {
		return nil
	}
	return s
}

// coldMargin is the factor by which the traffic sent to a cold server within the time window of
// the rule may exceed its share.
const coldMargin = 1.25

// coldReliefShare is the part of its draws in which a cold server gets a request that warm
// servers are too slow for, when this sidecar sends too little to go by. With all of its draws,
// an overload with retries would push a freshly started server over.
const coldReliefShare = 0.5

// drawReliefServer picks a random member of the ready set and returns it if it is cold and may
// take a request that warm servers are too slow for: if it has fewer of this sidecar's requests
// than the warm servers have on average, in proportion to its minimum capacity. Over all sidecars
// this limits the requests at it to its share of theirs, and limits what it is sent by what it
// answers, however many are refused. If no server is warm, it gets one request at a time. This
// guards against refusals beside servers that warm up while a rolling release overloads the
// others: a cold server's draws come with the requests sent, and there are fewer of those the
// more are refused.
func (b *Balancer) drawReliefServer(now Time, r *request) *server {
	members := b.siteReadySet(r)
	if len(members) == 0 {
		return nil
	}
	s := members[b.rng.IntN(len(members))]
	w := b.warmth(now, s)
	if w == 1 || s.ejectedUntil > now {
		return nil
	}
	warm, outstanding := 0, 0
	for _, t := range b.ready {
		if b.warmth(now, t) == 1 && t.ejectedUntil <= now {
			warm, outstanding = warm+1, outstanding+t.outstanding
		}
	}
	if warm > 0 && float64((s.outstanding+1)*warm) <= w*float64(outstanding) || warm == 0 && s.outstanding == 0 || s.outstanding == 0 && b.rng.Float64() < coldReliefShare*w {
		return s
	}
	return nil
}

// relieveOrRefuse refuses r unless a cold server can take it.
func (b *Balancer) relieveOrRefuse(now Time, r *request, act Actions) {
	if s := b.drawReliefServer(now, r); s != nil && len(r.attempts) == 0 && b.withinLimit(s, r.delayLimit) && b.maySend(now, r, s) {
		if r.heldUntil > 0 {
			r.heldUntil = 0
			b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
		}
		b.startAttempt(now, r, s, act)
		return
	}
	// Requests that the home sites are too slow for go to another site, within the capacity that
	// it has to spare.
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

// dispatch sends r, or refuses it if no server may take it, because it would otherwise wait in
// vain until its time is up. A request with prior attempts may still wait for a server of the
// zone or cell that has run it.
func (b *Balancer) dispatch(now Time, r *request, set []*server, act Actions) {
	if !b.sendNext(now, r, set, act) && (r.sites != nil || b.listEnded || len(r.priorAttempts) == 0) {
		b.relieveOrRefuse(now, r, act)
	}
}

// sendNext starts a further attempt of r if one is allowed. It reports whether it did, or whether
// the request may still be held.
func (b *Balancer) sendNext(now Time, r *request, set []*server, act Actions) bool {
	var s *server
	if own := r.sites; b.sitePlan != nil && len(r.attempts) > 0 {
		// A further attempt goes to another site with spare capacity: if a whole site fails, its
		// other servers would fail as well.
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
		// Hold until the list names a server.
		return len(r.attempts) == 0 && len(b.ready) == 0 && !b.listEnded
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

// closeIdleConnections closes connections that cost more to keep than to reopen. An open
// connection costs ConnectionTariff/100 of a server's share, a handshake costs HandshakeTariff of
// a request's. The two balance after 100 x HandshakeTariff/ConnectionTariff requests to a server.
// By Little's law the request rate follows from the delay and the number of requests in the
// server, assumed to be half the number of cores while all are idle.
func (b *Balancer) closeIdleConnections(now Time, act Actions) {
	breakEven := 100 * b.cfg.HandshakeTariff / max(b.cfg.ConnectionTariff, 1e-9)
	idleTimeout := time.Duration(breakEven * b.delay.delay / (assumedCores * (0.5 + b.busyShare)))
	anyOpen := false
	for _, s := range b.ready {
		if s.connOpen && b.cfg.ConnectionTariff > 0 && now-s.lastSend >= idleTimeout {
			s.connOpen = false
			act.CloseIdle(s.ID)
		}
		anyOpen = anyOpen || s.connOpen
	}
	if anyOpen && !b.sweepScheduled && b.cfg.ConnectionTariff > 0 && idleTimeout > 0 {
		b.sweepScheduled = true
		act.SetTimer(idleTimeout, "sweep")
	}
}

// pickServer picks a random marked server of set, or else any server uniformly, among those that
// would answer within the delay limit of a first attempt, if there are any: a slow server that
// gets an even share builds up an endless queue.
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
		late = nil // a further attempt that would be late as well only adds to the overload
	}
	for _, from := range [][]*server{marked, all, late} {
		outOfZone := func(s *server) bool { return b.cfg.CrossZoneTariff > 0 && s.Zone != b.cfg.Zone }
		if inZone := slices.DeleteFunc(slices.Clone(from), outOfZone); len(inZone) > 0 {
			from = inZone // leaving the zone costs, and takes longer
		}
		if len(from) > 0 {
			return from[b.rng.IntN(len(from))]
		}
	}
	return nil
}

// admitsCold reports whether s may get a request in view of its warmth. A cold server gets only
// first attempts, and only a share of requests equal to its minimum capacity. The choice is the
// same for all picks of a request, so asking twice does not double the share.
func (b *Balancer) admitsCold(now Time, r *request, s *server) bool {
	w := b.warmth(now, s)
	return w == 1 || len(r.attempts) == 0 && float64(hash(s.ID, uint64(r.ID))) < w*math.MaxUint64
}

// withinLimit reports whether s is expected to answer within limit. A server that reports no
// waiting request and has none of this sidecar's requests gets one whatever the delay estimate
// says. This guards against an estimate that deprives itself of evidence: once every server
// counts as too slow nothing is sent, and nothing is learned that would correct it, whatever the
// cause (a stall, an outage, a fault of a client or of the network). If reports show 0 while
// requests wait, one request per server is sent that could have been refused.
func (b *Balancer) withinLimit(s *server, limit time.Duration) bool {
	return b.expectedDelay(s) <= limit || limit > 0 && s.outstanding == 0 && s.reported && s.queue < 1
}

// expectedDelay is the expected delay of an answer of s: the common line of delay by queue depth,
// times the slowness of s.
func (b *Balancer) expectedDelay(s *server) time.Duration {
	d := b.queueDepth(s)
	if math.IsInf(d, 1) { // on a flat line the result would be NaN, which would count as in time
		return time.Hour
	}
	return time.Duration(min(b.delay.delayAt(d)*s.slowness, float64(time.Hour)))
}

// queueDepth is the number of requests ahead of a new one at s, as far as is known: the reported
// queue or this sidecar's own outstanding requests, whichever is greater. It guards against
// reports that lag behind because they are refreshed rarely or arrive late, or because probes do:
// until the next report, every further request would be estimated to wait no longer than the
// first. It should also detect a stalled server. Marks and the threshold use reports only, as JBT
// requires. It does harm where a server processes many requests at once that do not wait for one
// another; the line has to learn that.
func (b *Balancer) queueDepth(s *server) float64 {
	q := s.queue
	if !s.reported {
		q = b.delay.queue
	}
	return max(q, float64(s.outstanding))
}

// SetSitePlan sets the plan that decides about sites; nil disables it.
func (b *Balancer) SetSitePlan(p SitePlan) { b.sitePlan = p }

// assignSite chooses the site that r goes to and reports whether there is one: the site of a
// random member of the ready set among the sites assigned to r, or a site that takes over from
// it.
func (b *Balancer) assignSite(now Time, r *request) bool {
	if b.sitePlan == nil {
		return true
	}
	again := r.Retry || r.startedAt < now
	b.sitePlan.RecordRequest(now, r.Class, r.Tenant, again)
	var lost float64
	r.sites, lost = b.sitePlan.HomeSites(r.Class, r.Tenant)
	members := b.siteReadySet(r)
	if len(b.ready) == 0 {
		return true
	}
	if len(members) == 0 || b.rng.Float64() < lost {
		return b.spill(now, r, "")
	}
	// A retry has been refused or has failed: it goes where there is room, as further attempts
	// do. This guards against drawing it again until it is assigned to a site that has its own
	// traffic, which it would crowd out whatever its worth.
	from := members[b.rng.IntN(len(members))].Zone
	share, limited := b.siteShares[from]
	// Recovery trials and first steps use the requests worth least.
	if r.relativeWorth*b.maxWorthRate > b.minWorthRate {
		share = math.Pow(share, highWorthExponent)
	}
	if limited && b.rng.Float64() >= share || again && !b.sitePlan.HasSpareCapacity(now, from, r.relativeWorth) {
		return b.spill(now, r, from)
	}
	r.sites = []string{from}
	return true
}

// spill assigns r to the site that takes over from another site, and reports whether there is
// one.
func (b *Balancer) spill(now Time, r *request, from string) bool {
	to, wait := b.sitePlan.Spill(now, r.Class, r.Tenant, from, r.relativeWorth)
	r.sites, r.spillRetryAfter, r.spilled = []string{to}, wait, true
	return to != ""
}

// SetSiteShares limits each named site to the given share of its own traffic, from 0 to below 1.
// All other sites take all of theirs. It has an effect only with a SitePlan.
func (b *Balancer) SetSiteShares(shares map[string]float64) {
	b.siteShares = map[string]float64{}
	for site, share := range shares {
		if share < 1 {
			b.siteShares[site] = max(share, 0)
		}
	}
}

// warmth is the share of its full capacity that s is estimated to have at now: its minimum, or
// more if it briefly withstands an overload, as servers also warm up by work. This guards against
// refusals beside idle new servers, for example when most of a fleet is replaced at once. If the
// list contains weights, a weight below the mean reduces the share accordingly.
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

// relativeWeight is the capacity of a server relative to the mean by the list's weights, at most
// 1. Without weights all servers are equal.
func (b *Balancer) relativeWeight(s *server) float64 {
	if !(s.Weight > 0 && s.Weight < b.meanWeight) {
		return 1
	}
	return s.Weight / b.meanWeight
}

// maySend alone decides whether the rules allow an attempt of r at s.
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

// mayRefuse alone decides whether r may be refused, which promises that a retry is harmless. The
// promise is false if an earlier request with the same key may have run, because the client
// cannot know when.
func mayRefuse(r *request) bool {
	return len(r.priorAttempts) == 0 && (r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.notRun }))
}

// finish gives the final answer: a refusal if its promise is true and a retry could help,
// otherwise a failure.
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

// retryAfter is how long the client of r should wait before it asks again: until the first server
// to become free has processed what is ahead of r, if nothing else arrives. If no server is known
// to become free it is the lifetime of a mark, in which reports are renewed. This guards against
// refusals that cause immediate retries, which would be refused as well. It does harm where
// queues shrink faster than by work, as when a fleet grows: the clients then idle for that time.
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

// cancelAll cancels the outstanding attempts of r, if the configuration allows it.
func (b *Balancer) cancelAll(r *request, act Actions) {
	for i, a := range r.attempts {
		if a.pending && b.cfg.MayCancel && !a.canceled {
			r.attempts[i].canceled = true
			act.Cancel(r.ID, i)
		}
	}
}

// forget drops an ended request once all its attempts have ended.
func (b *Balancer) forget(r *request) {
	if r.outstanding == 0 {
		delete(b.requests, r.ID)
	}
}

// ResponseStarted notes that the response to r has begun. Other attempts of the request are no
// longer of use.
func (b *Balancer) ResponseStarted(now Time, id RequestID, attempt int, act Actions) {
	if r := b.requests[id]; r != nil {
		r.responseStarted = true
		if attempt >= 0 && attempt < len(r.attempts) {
			r.attempts[attempt].setExecuting(false)
			r.attempts[attempt].canceled = true // this attempt is the one that continues
			b.cancelAll(r, act)
		}
	}
}

// UploadComplete notes that the last byte of a request body has been sent to the server. The
// request's time counts from receivedAt, when that byte had arrived, and it cannot be sent again. It
// returns the time by which the request is answered, zero if it is not open.
func (b *Balancer) UploadComplete(now Time, id RequestID, receivedAt Time, act Actions) (answerBy Time) {
	if r := b.requests[id]; r != nil && r.Uploading && !r.ended {
		r.Uploading, r.noMoreSends = false, true
		for i := range r.attempts {
			if a := &r.attempts[i]; a.pending {
				a.sent, a.depth = now, b.queueDepth(a.server)
				a.setExecuting(true)
			}
		}
		shift := receivedAt - r.receivedAt
		r.receivedAt = receivedAt
		for _, t := range []*Time{&r.Expires, &r.startedAt, &r.aimEnd, &r.answerBy} {
			*t += shift
		}
		act.SetTimer(r.answerBy-now, timerToken(r.ID))
		answerBy = r.answerBy
	}
	return answerBy
}

// ClientDisconnected notes that the client has closed its connection.
func (b *Balancer) ClientDisconnected(now Time, id RequestID, act Actions) {
	if r := b.requests[id]; r != nil && !r.ended {
		r.ended = true
		b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
		b.cancelAll(r, act)
		b.forget(r)
	}
}

// Timer handles a timer that is due.
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
	// An upload is left to its reader to end.
	case r == nil || r.ended || r.responseStarted || r.Uploading && r.outstanding > 0:
	case now >= r.answerBy:
		b.finish(now, r, false, act)
	case r.heldUntil > 0 && now >= r.heldUntil:
		b.relieveOrRefuse(now, r, act)
	}
}

// jitter returns a random time below d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

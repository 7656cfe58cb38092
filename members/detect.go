package members

import (
	"maps"
	"math"
	"slices"
	"time"
)

// vote is an observer's answer about a member, based only on its own observations.
type vote uint8

const (
	voteUnknown vote = iota
	voteAlive        // the member answers the observer's pings
	voteSilent       // the member does not answer, and the observer trusts that finding
	voteLeft         // the member told the observer that it leaves
	voteCount
)

// maxSilenceExtension is how many further Silence timeouts a member must stay silent when all the
// other monitored members are silent too.
const maxSilenceExtension = 2.0

// maxFalseAlarm is the accepted probability that as many consecutive pings as make a member silent
// are lost although it is up. healthWindow is the number of pings over which the acknowledged
// fraction is averaged.
const maxFalseAlarm, healthWindow = 1e-6, 24

// Limits. Those on time without a unit are multiples of the configured intervals.
const (
	requestLifetime = 5 // Periods during which a request may be answered
	voteLifetime    = 5 // Periods during which a vote counts
	// Silence timeouts after which an investigation that no other observer supports ends
	investigationTimeout = 10
	maxSeedInterval      = 30 * time.Second
	maxAskers            = 16    // observers told about one member
	maxUnansweredQueries = 2     // consecutive queries to one observer without a vote
	minPings, maxPings   = 4, 60 // unanswered pings that make a member silent
	// times ObserverCount: members a process monitors at most while many are unreliable
	maxMonitorFactor = 3
)

// request is a sent datagram that awaits an answer.
type request struct {
	target         ID // 0: any sender
	kind           byte
	sent           time.Duration
	measuresHealth bool // whether the answer counts towards this process's own health
	countedLost    bool // already counted as unanswered
}

// monitor holds this process's own observations of one member and its investigation.
type monitor struct {
	member    *member
	assigned  bool // this process is an observer of the member
	onRequest bool // created because of another process's query or report
	// reported makes this process query the observers and decide although it is not an observer of
	// the member. A query alone does not set it: queries would cause more queries.
	reported bool
	// pingWanted requests one more ping although this process is not an observer of the member.
	pingWanted bool
	nextPing   time.Duration
	// send time of the oldest ping since the last ack; negative: no ping is unanswered
	silentSince time.Duration
	pings       int // pings sent since then
	lastAck     time.Duration
	started     time.Duration

	investigating      bool
	investigatingSince time.Duration
	nextQuery          time.Duration
	queryInterval      time.Duration
	votes              map[ID]receivedVote
	declaredSilent     bool // this process has found the member silent itself
	unreliable         bool // no longer counts as an observer of other members
	// nonce of the query by the observer that awaits this process's vote
	askers            map[ID]uint32
	unansweredQueries map[ID]int // consecutive queries per observer without a vote
	quorumSince       time.Duration
	silentVotes       int
	quorum            int
}

// receivedVote is an observer's vote and the time it arrived.
type receivedVote struct {
	vote vote
	at   time.Duration
}

// Tick advances the time. Call it at least every fifth of Config.Retry. Only Tick declares members
// gone by verdict.
func (n *Node) Tick(now time.Duration) {
	n.advance(now)
	n.lastTick = now
	if n.displaced || n.self.state == Left {
		return
	}
	n.expireRequests()
	n.contactSeeds()
	n.pingRandom()
	n.verifyCandidates()
	if !n.monitorsCurrent {
		n.assignMonitors()
	}
	queries := map[ID][]*member{}
	ids := slices.Sorted(maps.Keys(n.monitors))
	for _, id := range ids {
		n.runMonitor(n.monitors[id], queries)
	}
	for _, id := range slices.Sorted(maps.Keys(queries)) {
		n.sendQueries(id, queries[id])
	}
	for _, id := range ids {
		if mon := n.monitors[id]; mon != nil {
			n.decide(mon)
		}
	}
	if silentFleet := n.liveCount > 0 && n.lastAck > 0 && now-n.lastAck > 2*n.cfg.Silence; silentFleet && !n.isolated {
		n.isolated, n.seedInterval = true, n.cfg.Period/2
		n.emit(Isolated, &n.self, 0)
	}
}

// advance moves the clock forward and detects that this process itself was stalled. What looked
// like silence of other members was then its own, so that observations and votes are discarded.
func (n *Node) advance(now time.Duration) {
	if !n.ticking {
		n.ticking, n.lastTick, n.started, n.now = true, now, now, now
	}
	n.now = max(n.now, now)
	elapsed := now - n.lastTick
	if n.trustSelf || elapsed <= 2*n.cfg.Retry {
		return
	}
	n.lastTick = now
	n.stats.Stalls++
	clear(n.pending)
	n.pendingOrder, n.healthOrder = n.pendingOrder[:0], n.healthOrder[:0]
	n.trustAfter = now + n.cfg.Period
	for _, mon := range n.monitors {
		mon.silentSince, mon.pings, mon.nextPing, mon.declaredSilent, mon.quorumSince = -1, 0, now, false, -1
		clear(mon.votes)
	}
	if elapsed > n.cfg.Period {
		n.events = append(n.events, Event{Kind: Stalled, Member: n.self.snapshot(), Duration: elapsed})
	}
}

// expireRequests forgets requests that are too old to be answered.
func (n *Node) expireRequests() {
	i := 0
	for ; i < len(n.pendingOrder); i++ {
		req, ok := n.pending[n.pendingOrder[i]]
		if !ok {
			continue
		}
		if n.now-req.sent < requestLifetime*n.cfg.Period && len(n.pending) < maxPending {
			break
		}
		delete(n.pending, n.pendingOrder[i])
	}
	n.pendingOrder = append(n.pendingOrder[:0], n.pendingOrder[i:]...)
	// The health of this process must be known before members are judged by it, so a late answer
	// counts as lost until it arrives.
	wait := max(n.cfg.Period, n.retryInterval())
	for i = 0; i < len(n.healthOrder); i++ {
		req, ok := n.pending[n.healthOrder[i]]
		if ok && n.now-req.sent < wait {
			break
		}
		if ok {
			req.measuresHealth, req.countedLost = false, true
			n.pending[n.healthOrder[i]] = req
			n.ackRate -= n.ackRate / healthWindow
		}
	}
	n.healthOrder = append(n.healthOrder[:0], n.healthOrder[i:]...)
}

// requiredPings returns how many consecutive pings must stay unanswered to rule out chance, given
// the currently acknowledged fraction. It is higher on a lossy link or when this process itself is
// at fault.
func (n *Node) requiredPings() int {
	if n.trustSelf {
		return minPings
	}
	p := min(max(n.ackRate, 0.05), 0.9)
	return min(max(int(math.Ceil(math.Log(maxFalseAlarm)/math.Log(1-p))), minPings), maxPings)
}

// newRequest records a request that is about to be sent and returns its nonce.
func (n *Node) newRequest(req request) uint32 {
	req.sent = n.now
	for {
		nonce := n.rng.Uint32()
		if _, ok := n.pending[nonce]; !ok && nonce != 0 {
			n.pending[nonce] = req
			n.pendingOrder = append(n.pendingOrder, nonce)
			if req.measuresHealth {
				n.healthOrder = append(n.healthOrder, nonce)
			}
			return nonce
		}
	}
}

// ping checks whether a member is up. If an earlier ping is unanswered, the ping carries this
// process's record, as the member may not know the sender.
func (n *Node) ping(m *member, first bool) {
	var flags byte
	if m.state == Left {
		flags = flagRecord
	}
	w := n.newDatagram(kindPing, flags, n.newRequest(request{target: m.id, kind: kindPing, measuresHealth: m.present() && n.pingMeasuresHealth(m)}))
	w.add(digestItem(n.digest))
	if m.state != Alive {
		w.add(aboutReceiverItem(m))
	}
	if !first {
		w.add(recordItem(&n.self))
	}
	n.appendGossip(w)
	n.send(w, m.addr, m.present())
}

// pingMeasuresHealth reports whether a ping to m tells anything about this process's own health.
// Pings to a member that is already silent do not.
func (n *Node) pingMeasuresHealth(m *member) bool {
	mon := n.monitors[m.id]
	return mon == nil || mon.silentSince < 0 || mon.pings <= 2
}

// pingUnverified pings a process known only from other processes, or a seed if id is 0, and asks
// for its record.
func (n *Node) pingUnverified(id ID, m *member) {
	w := n.newDatagram(kindPing, flagRecord, n.newRequest(request{target: id, kind: kindPing}))
	w.add(recordItem(&n.self))
	w.add(digestItem(n.digest))
	n.send(w, m.addr, false)
}

// assignMonitors selects the members that this process observes: its successors on the ring, and as
// many more as are needed to replace unreliable ones.
func (n *Node) assignMonitors() {
	n.monitorsCurrent = true
	for _, mon := range n.monitors {
		mon.assigned = false
	}
	reliable, total := 0, 0
	n.walkRing(n.self.id, 1, func(m *member) bool {
		if m == &n.self {
			return false
		}
		if !m.present() {
			return true
		}
		mon := n.monitors[m.id]
		if mon == nil {
			mon = n.startMonitor(m)
			// Spread over a period, so that the observers of a member do not all ping it at once.
			mon.nextPing = n.now + time.Duration(n.rng.Int64N(int64(n.cfg.Period)))
		}
		if mon.onRequest {
			mon.onRequest = false
			n.requestedMonitors--
		}
		mon.assigned = true
		if total++; !mon.unreliable {
			reliable++
		}
		return reliable < n.cfg.ObserverCount && total < maxMonitorFactor*n.cfg.ObserverCount
	})
}

// pingInterval returns the time between two pings to one member. It is shorter in small fleets,
// which detect failures sooner at no higher cost.
func (n *Node) pingInterval() time.Duration {
	return max(n.cfg.Period*time.Duration(min(n.liveCount, n.cfg.ObserverCount))/time.Duration(n.cfg.ObserverCount), n.cfg.Period/2)
}

// retryInterval returns the time until a ping is repeated. It grows with the round-trip time, as a
// ping still under way is not lost.
func (n *Node) retryInterval() time.Duration {
	return min(max(n.cfg.Retry, n.rtt+4*n.rttVar), n.cfg.Period)
}

// retryIntervalAfter returns the time until a member that has been silent for that long is pinged
// again. It is halved towards the end of the Silence timeout, so that the result depends less on
// chance.
func (n *Node) retryIntervalAfter(silent time.Duration) time.Duration {
	switch {
	case silent > 3*n.cfg.Silence:
		return n.cfg.Period
	case silent > n.cfg.Silence/2:
		return min(max(n.cfg.Retry/2, n.rtt+4*n.rttVar), n.retryInterval())
	}
	return n.retryInterval()
}

// updateRTT updates the round-trip estimate and its deviation as in RFC 6298.
func (n *Node) updateRTT(d time.Duration) {
	n.rttVar += ((n.rtt - d).Abs() - n.rttVar) / 4
	n.rtt += (d - n.rtt) / 8
}

func (n *Node) startMonitor(m *member) *monitor {
	mon := &monitor{member: m, silentSince: -1, quorumSince: -1, nextPing: n.now, started: n.now, votes: map[ID]receivedVote{}, unansweredQueries: map[ID]int{}, askers: map[ID]uint32{}}
	n.monitors[m.id] = mon
	return mon
}

func (n *Node) stopMonitor(mon *monitor) {
	if mon.onRequest {
		n.requestedMonitors--
	}
	delete(n.monitors, mon.member.id)
}

// investigate makes this process check m itself after another process reported or asked about it,
// if there is room.
func (n *Node) investigate(m *member, reported bool) {
	mon := n.monitors[m.id]
	if mon == nil {
		if n.requestedMonitors >= maxRequestedMonitors {
			n.stats.Refused++
			return
		}
		mon = n.startMonitor(m)
		mon.onRequest = true
		n.requestedMonitors++
	}
	mon.reported = mon.reported || reported
	if mon.silentSince < 0 && (mon.lastAck == 0 || n.now-mon.lastAck >= n.cfg.Retry) {
		mon.pingWanted, mon.nextPing = true, n.now
	}
	if mon.investigating {
		mon.queryInterval, mon.nextQuery = n.cfg.Retry, min(mon.nextQuery, n.now+n.cfg.Retry)
	}
}

// walkRing visits the members from the position of id, excluding id itself, forwards or backwards
// (step) until visit returns false. This process is passed as &n.self.
func (n *Node) walkRing(id ID, step int, visit func(*member) bool) {
	_, selfIndex := n.find(n.self.id)
	total := len(n.table) + 1
	memberAt := func(i int) *member {
		switch {
		case i < selfIndex:
			return n.table[i]
		case i == selfIndex:
			return &n.self
		}
		return n.table[i-1]
	}
	_, i := n.find(id)
	if id > n.self.id {
		i++
	}
	for range total - 1 {
		if i = (i + step + total) % total; memberAt(i).id == id || !visit(memberAt(i)) {
			return
		}
	}
}

// observers returns the observers of m: its nearest predecessors on the ring that this process does
// not consider unreliable.
func (n *Node) observers(m *member) []*member {
	var observers []*member
	n.walkRing(m.id, -1, func(o *member) bool {
		if o.present() {
			if mon := n.monitors[o.id]; mon == nil || !mon.unreliable {
				observers = append(observers, o)
			}
		}
		return len(observers) < n.cfg.ObserverCount
	})
	return observers
}

// ownVote returns this process's vote on a member, based only on its own observations.
func (n *Node) ownVote(m *member) vote {
	if m == &n.self {
		return voteAlive
	}
	switch m.state {
	case Gone:
		return voteSilent
	case Left:
		return voteLeft
	}
	mon := n.monitors[m.id]
	switch {
	case mon == nil:
		return voteUnknown
	case n.isSilent(mon):
		return voteSilent
	case mon.silentSince < 0 && mon.lastAck > 0 && n.now-mon.lastAck < 2*n.cfg.Period:
		return voteAlive
	}
	return voteUnknown
}

// isSilent reports whether a member is silent and that finding can be trusted: it was silent long
// enough and over enough pings while other members did answer, and this process has not just been
// stalled.
func (n *Node) isSilent(mon *monitor) bool {
	if !n.trustSelf && (n.now < n.trustAfter || n.lastAck <= mon.silentSince) {
		return false
	}
	if mon.silentSince < 0 || n.now-mon.silentSince < n.cfg.Silence {
		return false
	}
	factor := n.silenceFactor(mon)
	return n.now-mon.silentSince >= time.Duration(factor*float64(n.cfg.Silence)) && float64(mon.pings) >= factor*float64(n.requiredPings())
}

// silenceFactor returns the factor by which the Silence timeout is extended. If half or more of the
// other members that this process observes are silent too, the fault may be its own.
func (n *Node) silenceFactor(mon *monitor) float64 {
	if n.trustSelf {
		return 1
	}
	total, silent := 0.0, 0.0
	for _, other := range n.monitors {
		if other != mon && other.assigned {
			total++
			if other.silentSince >= 0 && n.now-other.silentSince >= 2*n.retryInterval() {
				silent++
			}
		}
	}
	if 2*silent < total || total == 0 {
		return 1
	}
	return 1 + maxSilenceExtension*silent/total
}

// runMonitor pings a member when due and queries its other observers while it is silent.
func (n *Node) runMonitor(mon *monitor, queries map[ID][]*member) {
	now := n.now
	if !mon.assigned && !mon.reported && mon.investigating && now-mon.investigatingSince > investigationTimeout*n.cfg.Silence {
		n.stopMonitor(mon)
		return
	}
	if !mon.member.present() || !mon.assigned && !mon.investigating && mon.silentSince < 0 && now-max(mon.lastAck, mon.started) > 2*n.cfg.Period {
		n.stopMonitor(mon)
		return
	}
	if now >= mon.nextPing && (mon.assigned || mon.pingWanted || mon.silentSince >= 0) {
		mon.pingWanted = false
		first := mon.silentSince < 0
		if first {
			mon.silentSince, mon.pings = now, 0
		}
		mon.pings++
		n.ping(mon.member, first)
		mon.nextPing = now + n.retryIntervalAfter(now-mon.silentSince)
	}
	if mon.silentSince < 0 || now-mon.silentSince < n.retryInterval() {
		return
	}
	if !mon.investigating {
		mon.investigating, mon.investigatingSince, mon.nextQuery, mon.queryInterval, mon.quorumSince = true, now, now, n.retryInterval(), -1
	}
	if !mon.declaredSilent && n.isSilent(mon) {
		mon.declaredSilent, mon.nextQuery, mon.queryInterval = true, now, n.retryInterval()
		n.answerAskers(mon)
	}
	if !mon.unreliable && (mon.declaredSilent || now-mon.investigatingSince > 2*n.cfg.Silence) {
		mon.unreliable, n.monitorsCurrent = true, false
	}
	if now < mon.nextQuery || !mon.assigned && !mon.reported {
		return
	}
	// Query once at the start, so that the others check for themselves, and again when they may
	// have a result.
	mon.nextQuery = now + mon.queryInterval
	if mon.declaredSilent && now-mon.investigatingSince < 2*n.cfg.Silence {
		mon.nextQuery = now + n.retryInterval()/2
	}
	if !mon.declaredSilent && mon.assigned {
		mon.nextQuery = now + n.cfg.Period
	}
	if now-mon.investigatingSince > 2*n.cfg.Silence {
		mon.queryInterval = min(2*mon.queryInterval, 4*n.cfg.Period)
	}
	observers := n.observers(mon.member)
	wanted := len(observers)
	if !mon.assigned {
		wanted = quorum(len(observers)) + 1
		n.rng.Shuffle(len(observers), func(i, j int) { observers[i], observers[j] = observers[j], observers[i] })
	}
	for _, observer := range observers {
		if s, ok := mon.votes[observer.id]; observer == &n.self || ok && s.vote >= voteSilent && now-s.at < n.cfg.Period {
			wanted--
			continue
		}
		if wanted <= 0 {
			break
		}
		wanted--
		queries[observer.id] = append(queries[observer.id], mon.member)
		if mon.unansweredQueries[observer.id]++; mon.unansweredQueries[observer.id] > maxUnansweredQueries {
			// it may be down itself; others then replace it as observers
			n.investigate(observer, false)
		}
	}
}

// answerAskers sends the vote to the observers that queried before this process had a result, so
// that they need not query again at the right moment.
func (n *Node) answerAskers(mon *monitor) {
	for _, id := range slices.Sorted(maps.Keys(mon.askers)) {
		if asker, _ := n.find(id); asker != nil && asker.present() {
			w := n.newDatagram(kindVotes, 0, mon.askers[id])
			w.add(voteItem(mon.member.id, n.ownVote(mon.member), mon.member.epoch, mon.member.incarnation))
			n.send(w, asker.addr, true)
		}
	}
	clear(mon.askers)
}

// quorum returns how many observers of a member must each find it silent before it is declared
// gone. From minWitnesses on it is suspect.
func quorum(observers int) int { return max(minWitnesses, observers/2+1) }

// countVotes counts the observers that find a member silent. Without an own observation that
// confirms the silence, the count stays below minWitnesses.
func (n *Node) countVotes(mon *monitor) (silentVotes, leftVotes, total int) {
	observers := n.observers(mon.member)
	observing := false
	for _, o := range observers {
		if o == &n.self {
			observing = true
			if n.isSilent(mon) {
				silentVotes++
			}
			continue
		}
		if s, ok := mon.votes[o.id]; ok && n.now-s.at < voteLifetime*n.cfg.Period {
			switch s.vote {
			case voteSilent:
				silentVotes++
			case voteLeft:
				silentVotes++
				leftVotes++
			}
		}
	}
	confirmed := n.isSilent(mon) || (!observing || leftVotes > 0) && mon.silentSince >= 0 && mon.pings >= 2 && n.now-mon.silentSince >= n.cfg.Retry+n.cfg.Retry/2 && (n.trustSelf || n.now >= n.trustAfter)
	if !confirmed {
		silentVotes = min(silentVotes, minWitnesses-1)
	}
	return silentVotes, leftVotes, len(observers)
}

// decide compares the votes on a member with minWitnesses and the quorum.
func (n *Node) decide(mon *monitor) {
	if !mon.investigating || mon.silentSince < 0 || !mon.member.present() || !mon.assigned && !mon.reported {
		return
	}
	silentVotes, leftVotes, total := n.countVotes(mon)
	mon.silentVotes, mon.quorum = silentVotes, quorum(total)
	if n.singleWitness {
		mon.quorum = 1
		if n.isSilent(mon) {
			mon.silentVotes = max(silentVotes, 1)
		}
	}
	if mon.silentVotes >= minWitnesses && mon.member.state == Alive {
		mon.member.state = Suspect
		n.emit(Suspected, mon.member, silentVotes)
	}
	if mon.silentVotes < mon.quorum {
		mon.quorumSince = -1
		if !mon.assigned && n.now-mon.investigatingSince > investigationTimeout*n.cfg.Silence {
			n.stopMonitor(mon)
		}
		return
	}
	if mon.quorumSince < 0 {
		mon.quorumSince = n.now
	}
	// Members that fail together should be removed in one step: wait briefly while another one is
	// between minWitnesses and its quorum.
	if n.now-mon.quorumSince < 2*n.cfg.Retry {
		for _, other := range n.monitors {
			if other != mon && other.investigating && other.member.present() && other.silentVotes >= minWitnesses && other.silentVotes < other.quorum {
				return
			}
		}
	}
	state, kind := Gone, DeclaredGone
	if 2*leftVotes > mon.silentVotes {
		state, kind = Left, Departed
	}
	n.remove(mon.member, state, kind, mon.silentVotes)
	n.stopMonitor(mon)
}

// remove takes a member out of the view.
func (n *Node) remove(m *member, s State, kind EventKind, witnesses int) {
	n.update(m, func() { m.state = s })
	if kind == DeclaredGone {
		n.stats.Verdicts++
	}
	n.emit(kind, m, witnesses)
	n.enqueueGossip(m.id)
}

// confirmAlive records that a member acknowledged a ping sent at sent.
func (n *Node) confirmAlive(m *member, sent time.Duration) {
	mon := n.monitors[m.id]
	if mon == nil {
		return
	}
	mon.lastAck = n.now
	if mon.silentSince < 0 || sent < mon.silentSince {
		// An old ping proves that the member was up after it was sent, but not that it is up now.
		if mon.silentSince >= 0 && n.now-sent > n.cfg.Silence {
			return
		}
	}
	mon.silentSince, mon.pings, mon.investigating, mon.declaredSilent, mon.quorumSince, mon.silentVotes, mon.reported = -1, 0, false, false, -1, 0, false
	clear(mon.votes)
	clear(mon.unansweredQueries)
	clear(mon.askers)
	mon.nextPing = n.now + n.pingInterval()
	if mon.unreliable {
		mon.unreliable, n.monitorsCurrent = false, false
	}
	if m.state == Suspect {
		m.state = Alive
		n.emit(Cleared, m, 0)
	}
}

// pingRandom pings a random member, so that gossip spreads across the ring, and a random gone
// member, which may be back. It also drops members that have been out of the view for longer than
// Forget.
func (n *Node) pingRandom() {
	if n.now < n.nextRandomPing {
		return
	}
	n.nextRandomPing = n.now + n.cfg.Period
	var gone []*member
	for i := 0; i < len(n.table); i++ {
		m := n.table[i]
		if m.present() {
			continue
		}
		if n.now-m.since > n.cfg.Forget {
			n.table = slices.Delete(n.table, i, i+1)
			i--
			continue
		}
		if m.state == Gone {
			gone = append(gone, m)
		}
	}
	if len(gone) > 0 {
		n.ping(gone[n.rng.IntN(len(gone))], false)
	}
	if n.liveCount > n.cfg.ObserverCount { // otherwise every member is monitored anyway
		for range 8 {
			if m := n.table[n.rng.IntN(len(n.table))]; m.present() {
				n.ping(m, true)
				break
			}
		}
	}
}

// contactSeeds pings seeds: often while no member is known or answers, otherwise occasionally those
// seeds that are not members, as the fleet may have split for longer than Forget.
func (n *Node) contactSeeds() {
	if n.now < n.nextSeedContact || len(n.seeds) == 0 {
		return
	}
	alone := n.liveCount == 0 || n.isolated
	n.nextSeedContact = n.now + n.seedInterval + time.Duration(n.rng.Int64N(int64(n.seedInterval)/4+1))
	n.seedInterval = min(2*n.seedInterval, maxSeedInterval)
	contacted := 0
	for _, i := range n.rng.Perm(len(n.seeds)) {
		s := n.seeds[i]
		if s == n.self.addr || !alone && slices.ContainsFunc(n.table, func(m *member) bool { return m.addr == s && m.present() }) {
			continue
		}
		n.pingUnverified(0, &member{addr: s})
		if contacted++; contacted == 2 {
			return
		}
	}
}

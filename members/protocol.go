package members

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

const (
	// maxVerifyPerTick bounds the candidates that are pinged in each tick.
	maxVerifyPerTick = 32
	// maxCandidatesPerName bounds the candidates of one name.
	maxCandidatesPerName = 4
	// maxVerifyAttempts bounds the pings to one candidate, which follow at doubling intervals.
	maxVerifyAttempts = 5
	// maxConflicts bounds the conflicting epochs of this process's name and the processes that
	// report a later one.
	maxConflicts = 64
	// startupPeriods is the number of periods after the start during which a later epoch of this
	// process's name is taken to be an earlier start of this process.
	startupPeriods = 5
)

// candidate is a process that this one knows only from unverified reports and is to ping.
type candidate struct {
	member   member
	attempts int
	next     time.Duration
}

// gossipItem counts how often an update was sent and how often it is to be sent.
type gossipItem struct{ sent, limit int }

// claim is a datagram's statement about a member.
type claim struct {
	id          ID
	state       State
	vote        vote
	epoch       uint64
	incarnation uint32
}

// message holds the decoded items of a datagram.
type message struct {
	records         []member
	statuses, votes []claim
	aboutReceiver   *claim
	digest          *uint64
	span            *span // of partDigests, or of the requested records
	hints           []serverHint
	parts           [16]uint64
}

// message decodes the items of a datagram.
func (r *reader) message() (m message) {
	for r.err == nil && len(r.b) > 0 {
		switch r.byte() {
		case itemRecord:
			m.records = append(m.records, r.record())
		case itemStatus:
			c := claim{id: ID(r.u64()), state: r.state()}
			c.epoch, c.incarnation = r.epoch()
			m.statuses = append(m.statuses, c)
		case itemAboutReceiver:
			c := claim{state: r.state()}
			c.epoch, c.incarnation = r.epoch()
			m.aboutReceiver = &c
		case itemDigest:
			d := r.u64()
			m.digest = &d
		case itemVote:
			c := claim{id: ID(r.u64()), vote: vote(r.byte())}
			c.epoch, c.incarnation = r.epoch()
			if c.vote >= voteCount {
				r.err = errMalformed
			}
			m.votes = append(m.votes, c)
		case itemRangeDigests:
			m.span = r.span()
			for i := range m.parts {
				m.parts[i] = r.u64()
			}
		case itemRecordRequest:
			m.span = r.span()
		case itemServerHint:
			age := time.Duration(binary.BigEndian.Uint16(r.take(2))) * 100 * time.Millisecond
			m.hints = append(m.hints, serverHint{r.text(MaxServerIDLen), age})
		default:
			r.err = errMalformed
		}
	}
	for _, c := range m.records {
		if c.epoch == 0 || c.epoch >= maxEpoch || c.incarnation > maxIncarnation {
			r.err = errMalformed
		}
	}
	return m
}

// Receive processes a datagram. A datagram that cannot be used is counted and dropped. b is not
// retained.
func (n *Node) Receive(now time.Duration, b []byte) {
	n.advance(now)
	h, r, reason := n.parseHeader(b)
	var msg message
	if reason == "" {
		if msg = r.message(); r.err != nil {
			reason = "items"
		}
	}
	if reason == "" && h.sender == n.self.id && h.epoch == n.self.epoch {
		reason = "own"
	}
	if n.displaced {
		reason = "out"
	}
	if reason != "" {
		n.stats.Dropped[reason]++
		return
	}
	m, _ := n.find(h.sender)
	if h.kind != kindPing && h.kind != kindAck && (m == nil || !m.present() || m.epoch != h.epoch) {
		n.stats.Dropped["stranger"]++
		return
	}
	switch h.kind {
	case kindPing:
		n.handlePing(h, m, &msg)
	case kindAck:
		n.handleAck(h, &msg)
	case kindQuery:
		w := n.newDatagram(kindVotes, 0, h.nonce)
		for _, c := range msg.votes {
			n.answerQuery(w, c, h)
		}
		n.send(w, m.addr, true)
	case kindVotes:
		req, ok := n.pending[h.nonce]
		if !ok || req.kind != kindQuery || req.target != h.sender {
			n.stats.Dropped["unasked"]++
			return
		}
		// The request stays pending until it expires, as further votes may follow.
		for _, c := range msg.votes {
			n.recordVote(h.sender, c)
		}
	case kindDigests:
		if msg.span != nil {
			n.compareDigests(m, *msg.span, msg.parts)
		}
	case kindRecordRequest:
		if msg.span != nil {
			n.handleRecordRequest(m, *msg.span)
		}
	case kindRecords:
		n.handleRecords(m, &msg)
	}
}

// senderRecord returns the sender's own record if the datagram contains it.
func (msg *message) senderRecord(h header) *member {
	for i := range msg.records {
		if r := &msg.records[i]; r.id == h.sender && r.epoch == h.epoch && r.incarnation == h.incarnation {
			return r
		}
	}
	return nil
}

// handlePing answers a ping. Nothing that it claims about its sender is trusted: an unknown sender
// is first pinged in turn.
func (n *Node) handlePing(h header, m *member, msg *message) {
	rec := msg.senderRecord(h)
	to := n.self.addr
	switch {
	case h.sender == n.self.id && rec == nil:
		return
	case m != nil && m.epoch >= h.epoch && (rec == nil || m.present() && m.epoch == h.epoch):
		to = m.addr
	case rec != nil:
		to = rec.addr
	default: // an unknown sender includes its record in the next ping
		n.stats.Dropped["stranger"]++
		return
	}
	if h.sender == n.self.id { // another process with this name
		if h.epoch > n.self.epoch {
			n.pingNamesake(rec)
			return
		}
		if !n.conflictingEpochs[h.epoch] && len(n.conflictingEpochs) < maxConflicts {
			n.conflictingEpochs[h.epoch] = true
			n.events = append(n.events, Event{Kind: NameConflict, Member: rec.snapshot()})
		}
	}
	w := n.newDatagram(kindAck, 0, h.nonce)
	if h.flags&flagRecord != 0 || n.self.state == Left {
		w.add(recordItem(&n.self))
	}
	if m != nil && (m.epoch > h.epoch || m.epoch == h.epoch && m.incarnation >= h.incarnation && m.state != Alive) {
		w.add(aboutReceiverItem(m))
		if m.epoch > h.epoch && m.present() {
			w.add(recordItem(m)) // so that the sender can ping that process itself
		}
	}
	n.appendGossip(w)
	n.send(w, to, m != nil && m.present())
	if h.sender == n.self.id || n.self.state == Left {
		return
	}
	if m == nil || h.epoch > m.epoch || h.epoch == m.epoch && h.incarnation > m.incarnation && !m.present() || rec != nil && rec.state == Left && m.present() {
		if rec != nil {
			n.addCandidate(rec)
		}
	}
	if msg.aboutReceiver != nil {
		n.refute(msg.aboutReceiver)
	}
	n.handleRecords(m, msg)
	if msg.digest != nil && *msg.digest != n.digest && m != nil && m.present() && m.epoch == h.epoch && n.now >= n.nextRepair {
		n.nextRepair = n.now + n.cfg.Period
		n.sendDigests(m, span{})
	}
}

// handleAck processes an ack. It is the only trusted statement, and only about its sender.
func (n *Node) handleAck(h header, msg *message) {
	req, ok := n.pending[h.nonce]
	if !ok || req.kind != kindPing || req.target != 0 && req.target != h.sender {
		n.stats.Dropped["unasked"]++
		return
	}
	delete(n.pending, h.nonce)
	rec := msg.senderRecord(h)
	if h.sender == n.self.id {
		if h.epoch > n.self.epoch {
			n.handleLaterEpoch(h.epoch, 0)
		}
		return
	}
	n.lastAck = n.now
	n.updateRTT(n.now - req.sent)
	if n.isolated {
		n.isolated = false
		n.emit(Reconnected, &n.self, 0)
	}
	if req.measuresHealth || req.countedLost {
		n.ackRate += (1 - n.ackRate) / healthWindow
	}
	if c := msg.aboutReceiver; c != nil {
		if c.epoch > n.self.epoch && c.epoch < maxEpoch && n.self.state != Left {
			n.handleLaterEpoch(c.epoch, h.sender)
		} else {
			n.refute(c)
		}
	}
	m := n.applySelfReport(h, rec)
	if m != nil && m.epoch == h.epoch && m.present() {
		n.confirmAlive(m, req.sent)
	}
	n.handleRecords(m, msg)
	n.handleHints(m, msg)
}

// applySelfReport updates the table with what a process has reported about itself.
func (n *Node) applySelfReport(h header, rec *member) *member {
	m, index := n.find(h.sender)
	if rec != nil || m != nil && m.epoch == h.epoch {
		n.candidates = slices.DeleteFunc(n.candidates, func(c candidate) bool { return c.member.id == h.sender && c.member.epoch <= h.epoch })
	}
	left := rec != nil && rec.state == Left
	switch {
	case m == nil:
		if rec == nil || left {
			return nil
		}
		if len(n.table)+1 >= n.cfg.MaxMembers {
			n.stats.Refused++
			return nil
		}
		m = &member{state: Left}
		n.applyRecord(m, rec)
		n.table = slices.Insert(n.table, index, m)
	case h.epoch > m.epoch:
		if rec == nil {
			unverified := *m
			unverified.epoch, unverified.incarnation = h.epoch, h.incarnation
			n.addCandidate(&unverified)
			return nil
		}
		n.applyRecord(m, rec)
		if mon := n.monitors[m.id]; mon != nil {
			n.stopMonitor(mon)
		}
		n.monitorsCurrent = false
		if left {
			n.remove(m, Left, Departed, 0)
			return m
		}
	case h.epoch < m.epoch:
		return m
	case left:
		if m.present() {
			n.remove(m, Left, Departed, 0)
		}
		return m
	case h.incarnation > m.incarnation:
		wasPresent := m.present()
		n.update(m, func() {
			m.incarnation = h.incarnation
			if !wasPresent {
				m.state = Alive
			}
		})
		n.enqueueGossip(m.id)
		if wasPresent {
			return m
		}
	default:
		return m
	}
	n.emit(Joined, m, 0)
	n.enqueueGossip(m.id)
	return m
}

// applyRecord sets m to the record of a new start.
func (n *Node) applyRecord(m *member, rec *member) {
	n.update(m, func() {
		m.id, m.name, m.zone, m.addr, m.epoch, m.incarnation, m.state = rec.id, rec.name, n.internZone(rec.zone), rec.addr, rec.epoch, rec.incarnation, Alive
	})
	m.since = n.now
}

// internZone keeps one copy of each zone name.
func (n *Node) internZone(zone string) string {
	if z, ok := n.zones[zone]; ok {
		return z
	}
	if len(n.zones) < 256 {
		n.zones[zone] = zone
	}
	return zone
}

// addCandidate schedules a process for verification. If there is no room, it replaces a random
// candidate. As candidates are pinged in the next tick, a sender that reports many of them cannot
// keep out processes that exist.
func (n *Node) addCandidate(rec *member) {
	sameName, victim := 0, -1
	for i, c := range n.candidates {
		if c.member.id != rec.id {
			continue
		}
		if c.member.epoch == rec.epoch && c.member.incarnation == rec.incarnation && c.member.addr == rec.addr {
			return
		}
		if sameName++; n.rng.IntN(sameName) == 0 {
			victim = i
		}
	}
	switch c := (candidate{member: *rec, next: n.now}); {
	case sameName >= maxCandidatesPerName:
		n.stats.Refused++
		n.candidates[victim] = c
	case len(n.candidates) >= maxCandidates:
		n.stats.Refused++
		n.candidates[n.rng.IntN(len(n.candidates))] = c
	default:
		n.candidates = append(n.candidates, c)
	}
}

// verifyCandidates pings the candidates that are due.
func (n *Node) verifyCandidates() {
	n.candidates = slices.DeleteFunc(n.candidates, func(c candidate) bool { return c.attempts >= maxVerifyAttempts && n.now >= c.next })
	pinged := 0
	for i := range n.candidates {
		c := &n.candidates[i]
		if n.now < c.next {
			continue
		}
		if pinged++; pinged > maxVerifyPerTick {
			return
		}
		n.pingUnverified(c.member.id, &c.member)
		c.next = n.now + n.cfg.Retry<<c.attempts
		c.attempts++
	}
}

// refute handles another process's claim about this one, which costs at most one incarnation. A
// later epoch is accepted only from acks, as anybody can forge a ping in another process's name.
func (n *Node) refute(c *claim) {
	switch {
	case n.self.state == Left:
	case c.epoch == n.self.epoch && !(&member{state: c.state}).present() && c.incarnation >= n.self.incarnation:
		if c.incarnation > n.self.incarnation || n.self.incarnation >= maxIncarnation {
			n.startNewEpoch(n.self.epoch + 1) // this process never sent that incarnation
			return
		}
		n.update(&n.self, func() { n.self.incarnation++ })
		n.stats.Refutations++
		n.emit(Refuted, &n.self, 0)
		n.enqueueGossip(n.self.id)
	}
}

// startNewEpoch starts a new epoch of this process.
func (n *Node) startNewEpoch(epoch uint64) {
	n.update(&n.self, func() { n.self.epoch, n.self.incarnation = min(epoch, maxEpoch-1), 0 })
	n.enqueueGossip(n.self.id)
}

// handleLaterEpoch handles a report that a process of this name has a later epoch: from that
// process itself (reporter 0) or from another member. Shortly after a start the later epoch is
// taken to be an earlier start of this process, whose clock was ahead. Later this process gives
// way, but not on the word of a single member.
func (n *Node) handleLaterEpoch(epoch uint64, reporter ID) {
	if n.now-n.started < startupPeriods*n.cfg.Period && reporter != 0 {
		n.startNewEpoch(epoch + 1)
		return
	}
	if reporter != 0 {
		if len(n.laterEpochReporters) < maxConflicts {
			n.laterEpochReporters[reporter] = true
		}
		if len(n.laterEpochReporters) < minWitnesses {
			return
		}
	}
	n.displaced = true
	n.emit(Displaced, &n.self, 0)
}

// pingNamesake pings a process that claims this process's name with a later epoch.
func (n *Node) pingNamesake(rec *member) {
	if rec.addr != n.self.addr && rec.epoch > n.self.epoch {
		n.pingUnverified(n.self.id, rec)
	}
}

// handleRecords treats the records and statuses of other members as reasons to verify them.
func (n *Node) handleRecords(sender *member, msg *message) {
	var stale []*member
	for i := range msg.records {
		rec := &msg.records[i]
		m, _ := n.find(rec.id)
		switch {
		case sender != nil && rec.id == sender.id: // already handled as the sender's own record
		case rec.id == n.self.id:
			if rec.epoch > n.self.epoch {
				n.pingNamesake(rec)
			} else if rec.epoch == n.self.epoch && rec.incarnation > n.self.incarnation {
				n.startNewEpoch(n.self.epoch + 1)
			}
		case !rec.present():
			n.handleStatus(claim{id: rec.id, state: rec.state, epoch: rec.epoch, incarnation: rec.incarnation})
		case m == nil || rec.epoch > m.epoch:
			n.addCandidate(rec)
		case rec.epoch < m.epoch || rec.incarnation <= m.incarnation:
			if !m.present() {
				stale = append(stale, m)
			}
		default:
			n.addCandidate(rec)
		}
	}
	for _, c := range msg.statuses {
		n.handleStatus(c)
	}
	if sender != nil && len(stale) > 0 {
		w := n.newDatagram(kindRecords, 0, 0)
		for _, m := range stale {
			w.add(statusItem(m))
		}
		n.send(w, sender.addr, true)
	}
}

// handleStatus treats a report that a member is gone as a reason to check it.
func (n *Node) handleStatus(c claim) {
	if c.id == n.self.id {
		if c.state == Gone {
			n.refute(&c)
		}
		return
	}
	m, _ := n.find(c.id)
	if m != nil && m.present() && c.epoch == m.epoch && c.incarnation >= m.incarnation && (c.state == Gone || c.state == Left) {
		n.investigate(m, true)
	}
}

// sendQueries asks an observer for its votes on members.
func (n *Node) sendQueries(id ID, members []*member) {
	observer, _ := n.find(id)
	for len(members) > 0 {
		w := n.newDatagram(kindQuery, 0, n.newRequest(request{target: id, kind: kindQuery}))
		count := 0
		for count < len(members) && w.add(voteItem(members[count].id, voteUnknown, members[count].epoch, members[count].incarnation)) {
			count++
		}
		members = members[count:]
		n.send(w, observer.addr, true)
	}
}

// answerQuery adds this process's vote on a member, and starts to check the member if it has no
// result.
func (n *Node) answerQuery(w *writer, c claim, h header) {
	m, _ := n.find(c.id)
	if c.id == n.self.id {
		m = &n.self
	}
	if m == nil || m.epoch < c.epoch {
		return
	}
	own := n.ownVote(m)
	if own == voteUnknown && m.present() && n.self.state != Left {
		n.investigate(m, false)
		if w := n.monitors[m.id]; w != nil && len(w.askers) < maxAskers {
			w.askers[h.sender] = h.nonce
		}
	}
	w.add(voteItem(m.id, own, m.epoch, m.incarnation))
}

// recordVote stores an observer's vote. It counts only during an investigation of that epoch and
// incarnation.
func (n *Node) recordVote(from ID, c claim) {
	m, _ := n.find(c.id)
	if mon := n.monitors[c.id]; m != nil && mon != nil && mon.investigating && c.epoch == m.epoch && c.incarnation >= m.incarnation {
		mon.votes[from] = receivedVote{c.vote, n.now}
		delete(mon.unansweredQueries, from)
	}
}

// enqueueGossip schedules a member's state for gossip and makes pings that carry it due now.
func (n *Node) enqueueGossip(id ID) {
	if len(n.gossip) >= maxGossip && n.gossip[id] == nil {
		n.stats.Refused++
		return
	}
	n.gossip[id] = &gossipItem{limit: n.gossipLimit()}
	if n.now-n.lastExpedite < n.cfg.Retry {
		return
	}
	n.lastExpedite = n.now
	for _, mon := range n.monitors {
		if mon.assigned && mon.silentSince < 0 {
			mon.nextPing = n.now
		}
	}
}

// appendGossip adds updates to a datagram, those sent least often first.
func (n *Node) appendGossip(w *writer) {
	n.appendHints(w)
	if len(n.gossip) == 0 {
		return
	}
	keys := slices.SortedFunc(maps.Keys(n.gossip), func(a, b ID) int {
		return cmp.Or(cmp.Compare(n.gossip[a].sent, n.gossip[b].sent), cmp.Compare(a, b))
	})
	for _, id := range keys {
		m, _ := n.find(id)
		if id == n.self.id {
			m = &n.self
		}
		if m == nil {
			delete(n.gossip, id)
			continue
		}
		encoded := statusItem(m)
		if m.present() || m == &n.self {
			encoded = recordItem(m)
		}
		if !w.add(encoded) {
			return
		}
		entry := n.gossip[id]
		if entry.sent++; entry.sent >= entry.limit {
			delete(n.gossip, id)
		}
	}
}

// Leave announces to some members that this process leaves. It keeps answering while its host runs
// it, which should be for Config.Linger.
func (n *Node) Leave(now time.Duration) {
	n.advance(now)
	if n.displaced || n.self.state == Left {
		return
	}
	n.update(&n.self, func() { n.self.state = Left })
	recipients := n.observers(&n.self)
	for range min(len(n.table), n.cfg.ObserverCount) {
		recipients = append(recipients, n.table[n.rng.IntN(len(n.table))])
	}
	for _, m := range recipients {
		if m.present() && m != &n.self {
			w := n.newDatagram(kindPing, 0, n.newRequest(request{target: m.id, kind: kindPing}))
			w.add(recordItem(&n.self))
			n.send(w, m.addr, true)
		}
	}
}

package members

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

const (
	// verifyAtOnce is how many of those that others have told of are called at each tick.
	verifyAtOnce = 32
	// mostOfName bounds the candidates of one name.
	mostOfName = 4
	// verifyTries is how often one is, at doubling distances.
	verifyTries = 5
	// mostRivals bounds the other processes of this one's name, and who tells of them, that are told apart.
	mostRivals = 64
	// youth is for how many periods after its start a process whose name is known at a later epoch takes that for its own former start.
	youth = 5
)

// candidate is somebody of whom others have told.
type candidate struct {
	m     member
	tries int
	next  time.Duration
}

// item is news: how often it was passed on, and how often it is to be.
type item struct{ sent, left int }

// claim is what a datagram says of a member.
type claim struct {
	id    ID
	state State
	v     vote
	epoch uint64
	inc   uint32
}

// message is what a datagram holds.
type message struct {
	records       []member
	rumours, says []claim
	about         *claim
	digest        *uint64
	span          *span // of parts, or wanted
	servers       []serverHint
	parts         [16]uint64
}

func (r *reader) message() (m message) {
	for r.err == nil && len(r.b) > 0 {
		switch r.byte() {
		case itemRecord:
			m.records = append(m.records, r.record())
		case itemRumour:
			c := claim{id: ID(r.u64()), state: r.state()}
			c.epoch, c.inc = r.stamp()
			m.rumours = append(m.rumours, c)
		case itemAbout:
			c := claim{state: r.state()}
			c.epoch, c.inc = r.stamp()
			m.about = &c
		case itemDigest:
			d := r.u64()
			m.digest = &d
		case itemVote:
			c := claim{id: ID(r.u64()), v: vote(r.byte())}
			c.epoch, c.inc = r.stamp()
			if c.v >= votes {
				r.err = errShort
			}
			m.says = append(m.says, c)
		case itemRange:
			m.span = r.span()
			for i := range m.parts {
				m.parts[i] = r.u64()
			}
		case itemWant:
			m.span = r.span()
		case itemHint:
			age := time.Duration(binary.BigEndian.Uint16(r.take(2))) * 100 * time.Millisecond
			m.servers = append(m.servers, serverHint{r.text(MaxServerIDLen), age})
		default:
			r.err = errShort
		}
	}
	for _, c := range m.records {
		if c.epoch == 0 || c.epoch >= mostEpoch || c.inc > mostInc {
			r.err = errShort
		}
	}
	return m
}

// Receive takes a datagram. What cannot be used is counted and dropped. b is not kept.
func (n *Node) Receive(now time.Duration, b []byte) {
	n.advance(now)
	h, r, why := n.open(b)
	var msg message
	if why == "" {
		if msg = r.message(); r.err != nil {
			why = "items"
		}
	}
	if why == "" && h.from == n.self.id && h.epoch == n.self.epoch {
		why = "own"
	}
	if n.out {
		why = "out"
	}
	if why != "" {
		n.stats.Dropped[why]++
		return
	}
	m, _ := n.find(h.from)
	if h.kind != ping && h.kind != ack && (m == nil || !m.there() || m.epoch != h.epoch) {
		n.stats.Dropped["stranger"]++
		return
	}
	switch h.kind {
	case ping:
		n.pinged(h, m, &msg)
	case ack:
		n.acked(h, &msg)
	case ask:
		w := n.begin(answer, 0, h.nonce)
		for _, c := range msg.says {
			n.replied(w, c, h)
		}
		n.send(w, m.addr, true)
	case answer:
		q, ok := n.pending[h.nonce]
		if !ok || q.kind != ask || q.to != h.from {
			n.stats.Dropped["unasked"]++
			return
		}
		for _, c := range msg.says { // another answer may follow: the question is forgotten by its age
			n.voted(h.from, c)
		}
	case sums:
		if msg.span != nil {
			n.compare(m, *msg.span, msg.parts)
		}
	case want:
		if msg.span != nil {
			n.hand(m, *msg.span)
		}
	case records:
		n.hints(m, &msg)
	}
}

// own returns the record of the sender itself, if the datagram holds it.
func (msg *message) own(h head) *member {
	for i := range msg.records {
		if r := &msg.records[i]; r.id == h.from && r.epoch == h.epoch && r.inc == h.inc {
			return r
		}
	}
	return nil
}

// pinged answers a ping. Nothing that it says of its sender is believed: whoever is new is called back first.
func (n *Node) pinged(h head, m *member, msg *message) {
	rec := msg.own(h)
	to := n.self.addr
	switch {
	case h.from == n.self.id && rec == nil:
		return
	case m != nil && m.epoch >= h.epoch && (rec == nil || m.there() && m.epoch == h.epoch):
		to = m.addr
	case rec != nil:
		to = rec.addr
	default: // it will say who it is when it asks again
		n.stats.Dropped["stranger"]++
		return
	}
	if h.from == n.self.id { // another process of this name
		if h.epoch > n.self.epoch {
			n.rivalled(rec)
			return
		}
		if !n.rivals[h.epoch] && len(n.rivals) < mostRivals {
			n.rivals[h.epoch] = true
			n.events = append(n.events, Event{Kind: NameConflict, Member: rec.told()})
		}
	}
	w := n.begin(ack, 0, h.nonce)
	if h.flags&flagRecord != 0 || n.self.state == Left {
		w.add(recordItem(&n.self))
	}
	if m != nil && (m.epoch > h.epoch || m.epoch == h.epoch && m.inc >= h.inc && m.state != Alive) {
		w.add(aboutItem(m))
		if m.epoch > h.epoch && m.there() {
			w.add(recordItem(m)) // so that it can ask that process itself
		}
	}
	n.pass(w)
	n.send(w, to, m != nil && m.there())
	if h.from == n.self.id || n.self.state == Left {
		return
	}
	if m == nil || h.epoch > m.epoch || h.epoch == m.epoch && h.inc > m.inc && !m.there() || rec != nil && rec.state == Left && m.there() {
		if rec != nil {
			n.candidate(rec)
		}
	}
	if msg.about != nil {
		n.told(msg.about)
	}
	n.hints(m, msg)
	if msg.digest != nil && *msg.digest != n.digest && m != nil && m.there() && m.epoch == h.epoch && n.now >= n.repairAt {
		n.repairAt = n.now + n.cfg.Period
		n.sum(m, span{})
	}
}

// acked takes an answer to a ping: the only thing that is believed, and of its sender alone.
func (n *Node) acked(h head, msg *message) {
	q, ok := n.pending[h.nonce]
	if !ok || q.kind != ping || q.to != 0 && q.to != h.from {
		n.stats.Dropped["unasked"]++
		return
	}
	delete(n.pending, h.nonce)
	rec := msg.own(h)
	if h.from == n.self.id {
		if h.epoch > n.self.epoch {
			n.later(h.epoch, 0)
		}
		return
	}
	n.heard = n.now
	n.took(n.now - q.sent)
	if n.isolated {
		n.isolated = false
		n.tell(Reconnected, &n.self, 0)
	}
	if q.tells || q.late {
		n.answered += (1 - n.answered) / healthOf
	}
	if c := msg.about; c != nil {
		if c.epoch > n.self.epoch && c.epoch < mostEpoch && n.self.state != Left {
			n.later(c.epoch, h.from)
		} else {
			n.told(c)
		}
	}
	m := n.accept(h, rec)
	if m != nil && m.epoch == h.epoch && m.there() {
		n.answeredBy(m, q.sent)
	}
	n.hints(m, msg)
	n.hinted(m, msg)
}

// accept takes over what a process has said of itself.
func (n *Node) accept(h head, rec *member) *member {
	m, at := n.find(h.from)
	if rec != nil || m != nil && m.epoch == h.epoch {
		n.cands = slices.DeleteFunc(n.cands, func(c candidate) bool { return c.m.id == h.from && c.m.epoch <= h.epoch })
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
		n.adopt(m, rec)
		n.table = slices.Insert(n.table, at, m)
	case h.epoch > m.epoch:
		if rec == nil {
			again := *m
			again.epoch, again.inc = h.epoch, h.inc
			n.candidate(&again)
			return nil
		}
		n.adopt(m, rec)
		if w := n.watches[m.id]; w != nil {
			n.unwatch(w)
		}
		n.ringed = false
		if left {
			n.end(m, Left, Departed, 0)
			return m
		}
	case h.epoch < m.epoch:
		return m
	case left:
		if m.there() {
			n.end(m, Left, Departed, 0)
		}
		return m
	case h.inc > m.inc:
		was := m.there()
		n.set(m, func() {
			m.inc = h.inc
			if !was {
				m.state = Alive
			}
		})
		n.spread(m.id)
		if was {
			return m
		}
	default:
		return m
	}
	n.tell(Joined, m, 0)
	n.spread(m.id)
	return m
}

// adopt makes m what the record of a start says.
func (n *Node) adopt(m *member, rec *member) {
	n.set(m, func() {
		m.id, m.name, m.zone, m.addr, m.epoch, m.inc, m.state = rec.id, rec.name, n.interned(rec.zone), rec.addr, rec.epoch, rec.inc, Alive
	})
	m.since = n.now
}

// interned keeps one copy of each zone's name.
func (n *Node) interned(zone string) string {
	if z, ok := n.zones[zone]; ok {
		return z
	}
	if len(n.zones) < 256 {
		n.zones[zone] = zone
	}
	return zone
}

// candidate remembers to call somebody. Where there is no room it takes the place of another, drawn by chance: so nobody who tells of many
// keeps those out who are there, as each is called at the next tick.
func (n *Node) candidate(rec *member) {
	named, victim := 0, -1
	for i, c := range n.cands {
		if c.m.id != rec.id {
			continue
		}
		if c.m.epoch == rec.epoch && c.m.inc == rec.inc && c.m.addr == rec.addr {
			return
		}
		if named++; n.rng.IntN(named) == 0 {
			victim = i
		}
	}
	switch c := (candidate{m: *rec, next: n.now}); {
	case named >= mostOfName:
		n.stats.Refused++
		n.cands[victim] = c
	case len(n.cands) >= mostCandidates:
		n.stats.Refused++
		n.cands[n.rng.IntN(len(n.cands))] = c
	default:
		n.cands = append(n.cands, c)
	}
}

// verify calls those of whom others have told.
func (n *Node) verify() {
	n.cands = slices.DeleteFunc(n.cands, func(c candidate) bool { return c.tries >= verifyTries && n.now >= c.next })
	calls := 0
	for i := range n.cands {
		c := &n.cands[i]
		if n.now < c.next {
			continue
		}
		if calls++; calls > verifyAtOnce {
			return
		}
		n.call(c.m.id, &c.m)
		c.next = n.now + n.cfg.Retry<<c.tries
		c.tries++
	}
}

// told takes what another is said to hold of this process: that costs an incarnation at most. Word of a later epoch counts in answers only,
// as anybody can write a ping in another's name.
func (n *Node) told(c *claim) {
	switch {
	case n.self.state == Left:
	case c.epoch == n.self.epoch && !(&member{state: c.state}).there() && c.inc >= n.self.inc:
		if c.inc > n.self.inc || n.self.inc >= mostInc {
			n.restart(n.self.epoch + 1) // nobody can have heard that from here
			return
		}
		n.set(&n.self, func() { n.self.inc++ })
		n.stats.Refutations++
		n.tell(Refuted, &n.self, 0)
		n.spread(n.self.id)
	}
}

// restart has this process begin a new epoch.
func (n *Node) restart(epoch uint64) {
	n.set(&n.self, func() { n.self.epoch, n.self.inc = min(epoch, mostEpoch-1), 0 })
	n.spread(n.self.id)
}

// later takes word that a process of this name has a later epoch: from that process itself (teller 0), or from another. Soon after a
// start that is a former start of this process, whose clock was ahead; else this process gives way, though not on one other's word.
func (n *Node) later(epoch uint64, teller ID) {
	if n.now-n.started < youth*n.cfg.Period && teller != 0 {
		n.restart(epoch + 1)
		return
	}
	if teller != 0 {
		if len(n.tellers) < mostRivals {
			n.tellers[teller] = true
		}
		if len(n.tellers) < leastWitnesses {
			return
		}
	}
	n.out = true
	n.tell(Displaced, &n.self, 0)
}

// rivalled calls a process that claims this one's name.
func (n *Node) rivalled(rec *member) {
	if rec.addr != n.self.addr && rec.epoch > n.self.epoch {
		n.call(n.self.id, rec)
	}
}

// hints takes what a member tells of others: as a reason to ask them.
func (n *Node) hints(teller *member, msg *message) {
	var stale []*member
	for i := range msg.records {
		rec := &msg.records[i]
		m, _ := n.find(rec.id)
		switch {
		case teller != nil && rec.id == teller.id: // its own, taken already
		case rec.id == n.self.id:
			if rec.epoch > n.self.epoch {
				n.rivalled(rec)
			} else if rec.epoch == n.self.epoch && rec.inc > n.self.inc {
				n.restart(n.self.epoch + 1)
			}
		case !rec.there():
			n.rumour(claim{id: rec.id, state: rec.state, epoch: rec.epoch, inc: rec.inc})
		case m == nil || rec.epoch > m.epoch:
			n.candidate(rec)
		case rec.epoch < m.epoch || rec.inc <= m.inc:
			if !m.there() {
				stale = append(stale, m)
			}
		default:
			n.candidate(rec)
		}
	}
	for _, c := range msg.rumours {
		n.rumour(c)
	}
	if teller != nil && len(stale) > 0 {
		w := n.begin(records, 0, 0)
		for _, m := range stale {
			w.add(rumourItem(m))
		}
		n.send(w, teller.addr, true)
	}
}

// rumour takes another's word that a member is gone: as a reason to look.
func (n *Node) rumour(c claim) {
	if c.id == n.self.id {
		if c.state == Gone {
			n.told(&c)
		}
		return
	}
	m, _ := n.find(c.id)
	if m != nil && m.there() && c.epoch == m.epoch && c.inc >= m.inc && (c.state == Gone || c.state == Left) {
		n.doubt(m, true)
	}
}

// ask asks a member what it has found out of others.
func (n *Node) ask(id ID, about []*member) {
	o, _ := n.find(id)
	for len(about) > 0 {
		w := n.begin(ask, 0, n.question(question{to: id, kind: ask}))
		k := 0
		for k < len(about) && w.add(voteItem(about[k].id, unsure, about[k].epoch, about[k].inc)) {
			k++
		}
		about = about[k:]
		n.send(w, o.addr, true)
	}
}

// replied answers one question, by what this process knows itself, and has it look if it does not.
func (n *Node) replied(w *writer, c claim, h head) {
	m, _ := n.find(c.id)
	if c.id == n.self.id {
		m = &n.self
	}
	if m == nil || m.epoch < c.epoch {
		return
	}
	v := n.say(m)
	if v == unsure && m.there() && n.self.state != Left {
		n.doubt(m, false)
		if w := n.watches[m.id]; w != nil && len(w.askers) < mostAskers {
			w.askers[h.from] = h.nonce
		}
	}
	w.add(voteItem(m.id, v, m.epoch, m.inc))
}

// voted takes an observer's word for what it has found out itself. It counts while there is a trial, of that start and incarnation.
func (n *Node) voted(from ID, c claim) {
	m, _ := n.find(c.id)
	if w := n.watches[c.id]; m != nil && w != nil && w.open && c.epoch == m.epoch && c.inc >= m.inc {
		w.says[from] = said{c.v, n.now}
		delete(w.unheard, from)
	}
}

// spread makes something news, and has it go out soon.
func (n *Node) spread(id ID) {
	if len(n.news) >= mostNews && n.news[id] == nil {
		n.stats.Refused++
		return
	}
	n.news[id] = &item{left: n.share()}
	if n.now-n.hurried < n.cfg.Retry {
		return
	}
	n.hurried = n.now
	for _, w := range n.watches {
		if w.duty && w.first < 0 {
			w.next = n.now
		}
	}
}

// pass adds news to a datagram, what was passed on least first.
func (n *Node) pass(w *writer) {
	n.passHints(w)
	if len(n.news) == 0 {
		return
	}
	keys := slices.SortedFunc(maps.Keys(n.news), func(a, b ID) int {
		return cmp.Or(cmp.Compare(n.news[a].sent, n.news[b].sent), cmp.Compare(a, b))
	})
	for _, id := range keys {
		m, _ := n.find(id)
		if id == n.self.id {
			m = &n.self
		}
		if m == nil {
			delete(n.news, id)
			continue
		}
		text := rumourItem(m)
		if m.there() || m == &n.self {
			text = recordItem(m)
		}
		if !w.add(text) {
			return
		}
		it := n.news[id]
		if it.sent++; it.sent >= it.left {
			delete(n.news, id)
		}
	}
}

// Leave tells some that this process goes. It answers for Config.Linger more, if it is let.
func (n *Node) Leave(now time.Duration) {
	n.advance(now)
	if n.out || n.self.state == Left {
		return
	}
	n.set(&n.self, func() { n.self.state = Left })
	tellTo := n.observers(&n.self)
	for range min(len(n.table), n.cfg.ObserverCount) {
		tellTo = append(tellTo, n.table[n.rng.IntN(len(n.table))])
	}
	for _, m := range tellTo {
		if m.there() && m != &n.self {
			w := n.begin(ping, 0, n.question(question{to: m.id, kind: ping}))
			w.add(recordItem(&n.self))
			n.send(w, m.addr, true)
		}
	}
}

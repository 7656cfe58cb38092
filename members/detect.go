package members

import (
	"maps"
	"math"
	"slices"
	"time"
)

// vote is what an observer says of a member, by what it has found out itself.
type vote uint8

const (
	unsure   vote = iota
	up            // it answers me
	down          // it is silent to me, and I have reason to trust that
	departed      // it has told me that it leaves
	votes
)

// mostUnsound is by how many Silences longer a member has to be silent while all the others are.
const mostUnsound = 2.0

// chance is how often as many pings in a row as make one silent may stay unanswered though it is there, and healthOf over how many pings
// the part that is answered is taken.
const chance, healthOf = 1e-6, 24

// Bounds of time, as parts of the configured ones.
const (
	pendingAge            = 5  // Periods for which a question may be answered
	voteAge               = 5  // Periods for which a vote counts
	patience              = 10 // Silences after which a trial that nobody else shares is over
	mostSeedGap           = 30 * time.Second
	mostAskers            = 16    // that are told of one member
	mostUnheard           = 2     // questions to an observer without an answer
	leastTries, mostTries = 4, 60 // pings without an answer that make one silent
	mostSkipped           = 3     // times Observed: whom a process observes at most while many are silent
)

// question is one that was sent and not answered.
type question struct {
	to    ID // 0: whoever answers
	kind  byte
	sent  time.Duration
	tells bool // of this process's own health
	late  bool // that was counted as unanswered
}

// watch is what a process finds out of one member itself, and the trial of it.
type watch struct {
	m     *member
	duty  bool // this process observes it
	asked bool // it began with somebody else's word
	// rumoured has this process ask others, and judge, though it does not observe the member. A mere question does not: questions would
	// beget questions.
	rumoured bool
	// wanted has one more ping sent though this process does not observe it.
	wanted bool
	next   time.Duration
	first  time.Duration // sending of the oldest ping since which none was answered; below 0: there is none
	tries  int           // pings since then
	heard  time.Duration
	begun  time.Duration

	open     bool // there is a trial
	since    time.Duration
	askAt    time.Duration
	askGap   time.Duration
	says     map[ID]said
	sure     bool          // this process has said so itself
	doubtful bool          // it no longer counts as an observer of others
	askers   map[ID]uint32 // who has asked and is to be told, with the nonce of the question
	unheard  map[ID]int    // questions to observers that were not answered, in a row
	enough   time.Duration
	downs    int
	high     int
}

type said struct {
	v  vote
	at time.Duration
}

// Tick tells the time, at least every fifth of Config.Retry. Verdicts come from here only.
func (n *Node) Tick(now time.Duration) {
	n.advance(now)
	n.ticked = now
	if n.out || n.self.state == Left {
		return
	}
	n.expire()
	n.seek()
	n.mingle()
	n.verify()
	if !n.ringed {
		n.duties()
	}
	asks := map[ID][]*member{}
	ids := slices.Sorted(maps.Keys(n.watches))
	for _, id := range ids {
		n.look(n.watches[id], asks)
	}
	for _, id := range slices.Sorted(maps.Keys(asks)) {
		n.ask(id, asks[id])
	}
	for _, id := range ids {
		if w := n.watches[id]; w != nil {
			n.judge(w)
		}
	}
	if alone := n.living > 0 && n.heard > 0 && now-n.heard > 2*n.cfg.Silence; alone && !n.isolated {
		n.isolated, n.seedGap = true, n.cfg.Period/2
		n.tell(Isolated, &n.self, 0)
	}
}

// advance takes the time over, and notices that this process stood still: what it took for others' silence was its own.
func (n *Node) advance(now time.Duration) {
	if !n.begun {
		n.begun, n.ticked, n.started, n.now = true, now, now, now
	}
	n.now = max(n.now, now)
	gap := now - n.ticked
	if n.steady || gap <= 2*n.cfg.Retry {
		return
	}
	n.ticked = now
	n.stats.Stalls++
	clear(n.pending)
	n.expiry, n.owed = n.expiry[:0], n.owed[:0]
	n.trust = now + n.cfg.Period
	for _, w := range n.watches {
		w.first, w.tries, w.next, w.sure, w.enough = -1, 0, now, false, -1
		clear(w.says)
	}
	if gap > n.cfg.Period {
		n.events = append(n.events, Event{Kind: Stalled, Member: n.self.told(), Duration: gap})
	}
}

// expire forgets questions that are too old to be answered.
func (n *Node) expire() {
	i := 0
	for ; i < len(n.expiry); i++ {
		q, ok := n.pending[n.expiry[i]]
		if !ok {
			continue
		}
		if n.now-q.sent < pendingAge*n.cfg.Period && len(n.pending) < mostPending {
			break
		}
		delete(n.pending, n.expiry[i])
	}
	n.expiry = append(n.expiry[:0], n.expiry[i:]...)
	// Whether answers come is to be known before anybody is judged by it: what is late counts as none until it comes.
	wait := max(n.cfg.Period, n.retry())
	for i = 0; i < len(n.owed); i++ {
		q, ok := n.pending[n.owed[i]]
		if ok && n.now-q.sent < wait {
			break
		}
		if ok {
			q.tells, q.late = false, true
			n.pending[n.owed[i]] = q
			n.answered -= n.answered / healthOf
		}
	}
	n.owed = append(n.owed[:0], n.owed[i:]...)
}

// needed is how many pings in a row have to stay unanswered until that is no accident, by what part of them is answered at present: on a
// lossy link, or at a process that is itself to blame, more.
func (n *Node) needed() int {
	if n.steady {
		return leastTries
	}
	p := min(max(n.answered, 0.05), 0.9)
	return min(max(int(math.Ceil(math.Log(chance)/math.Log(1-p))), leastTries), mostTries)
}

// question remembers one that is about to be sent.
func (n *Node) question(q question) uint32 {
	q.sent = n.now
	for {
		nonce := n.rng.Uint32()
		if _, ok := n.pending[nonce]; !ok && nonce != 0 {
			n.pending[nonce] = q
			n.expiry = append(n.expiry, nonce)
			if q.tells {
				n.owed = append(n.owed, nonce)
			}
			return nonce
		}
	}
}

// ping asks a member whether it is there. Whoever has not answered is told who asks, as it may not know.
func (n *Node) ping(m *member, first bool) {
	var flags byte
	if m.state == Left {
		flags = flagRecord
	}
	w := n.begin(ping, flags, n.question(question{to: m.id, kind: ping, tells: m.there() && n.fresh(m)}))
	w.add(digestItem(n.digest))
	if m.state != Alive {
		w.add(aboutItem(m))
	}
	if !first {
		w.add(recordItem(&n.self))
	}
	n.pass(w)
	n.send(w, m.addr, m.there())
}

// fresh reports whether a ping to m tells of this process's own health: those to one that is silent already do not.
func (n *Node) fresh(m *member) bool {
	w := n.watches[m.id]
	return w == nil || w.first < 0 || w.tries <= 2
}

// call pings somebody of whom only others have told, or a seed if id is 0, and asks it who it is.
func (n *Node) call(id ID, m *member) {
	w := n.begin(ping, flagRecord, n.question(question{to: id, kind: ping}))
	w.add(recordItem(&n.self))
	w.add(digestItem(n.digest))
	n.send(w, m.addr, false)
}

// duties finds out whom this process observes: the next ones on the ring, those it doubts besides.
func (n *Node) duties() {
	n.ringed = true
	for _, w := range n.watches {
		w.duty = false
	}
	sound, all := 0, 0
	n.around(n.self.id, 1, func(m *member) bool {
		if m == &n.self {
			return false
		}
		if !m.there() {
			return true
		}
		w := n.watches[m.id]
		if w == nil {
			w = n.watch(m)
			// Spread over a period, so that a member does not hear of all its observers at once.
			w.next = n.now + time.Duration(n.rng.Int64N(int64(n.cfg.Period)))
		}
		if w.asked {
			w.asked = false
			n.asked--
		}
		w.duty = true
		if all++; !w.doubtful {
			sound++
		}
		return sound < n.cfg.ObserverCount && all < mostSkipped*n.cfg.ObserverCount
	})
}

// period is the time between two pings to one member: less where there are few, who then find one another silent sooner at no more cost.
func (n *Node) period() time.Duration {
	return max(n.cfg.Period*time.Duration(min(n.living, n.cfg.ObserverCount))/time.Duration(n.cfg.ObserverCount), n.cfg.Period/2)
}

// retry is the time until a ping is sent again: longer where answers take long, as a ping that is under way is not lost.
func (n *Node) retry() time.Duration {
	return min(max(n.cfg.Retry, n.rtt+4*n.swing), n.cfg.Period)
}

// again is the time until one that has been silent for that long is pinged again: towards the end of its time twice as often, so that
// chance has less to do with it.
func (n *Node) again(silent time.Duration) time.Duration {
	switch {
	case silent > 3*n.cfg.Silence:
		return n.cfg.Period
	case silent > n.cfg.Silence/2:
		return min(max(n.cfg.Retry/2, n.rtt+4*n.swing), n.retry())
	}
	return n.retry()
}

// took takes note of how long an answer took, as RFC 6298 has it.
func (n *Node) took(d time.Duration) {
	n.swing += ((n.rtt - d).Abs() - n.swing) / 4
	n.rtt += (d - n.rtt) / 8
}

func (n *Node) watch(m *member) *watch {
	w := &watch{m: m, first: -1, enough: -1, next: n.now, begun: n.now, says: map[ID]said{}, unheard: map[ID]int{}, askers: map[ID]uint32{}}
	n.watches[m.id] = w
	return w
}

func (n *Node) unwatch(w *watch) {
	if w.asked {
		n.asked--
	}
	delete(n.watches, w.m.id)
}

// doubt has this process look after m by itself, as somebody else finds it silent, where there is room.
func (n *Node) doubt(m *member, rumoured bool) {
	w := n.watches[m.id]
	if w == nil {
		if n.asked >= mostAsked {
			n.stats.Refused++
			return
		}
		w = n.watch(m)
		w.asked = true
		n.asked++
	}
	w.rumoured = w.rumoured || rumoured
	if w.first < 0 && (w.heard == 0 || n.now-w.heard >= n.cfg.Retry) {
		w.wanted, w.next = true, n.now
	}
	if w.open {
		w.askGap, w.askAt = n.cfg.Retry, min(w.askAt, n.now+n.cfg.Retry)
	}
}

// around walks the ring from the place of id, without id itself, forwards or backwards, until f reports false. This process stands in
// its place as &n.self.
func (n *Node) around(id ID, step int, f func(*member) bool) {
	_, mine := n.find(n.self.id)
	all := len(n.table) + 1
	at := func(i int) *member {
		switch {
		case i < mine:
			return n.table[i]
		case i == mine:
			return &n.self
		}
		return n.table[i-1]
	}
	_, i := n.find(id)
	if id > n.self.id {
		i++
	}
	for range all - 1 {
		if i = (i + step + all) % all; at(i).id == id || !f(at(i)) {
			return
		}
	}
}

// observers returns who observes m: the nearest ones before it on the ring that this process does not doubt itself.
func (n *Node) observers(m *member) []*member {
	var all []*member
	n.around(m.id, -1, func(o *member) bool {
		if o.there() {
			if w := n.watches[o.id]; w == nil || !w.doubtful {
				all = append(all, o)
			}
		}
		return len(all) < n.cfg.ObserverCount
	})
	return all
}

// say is what this process says of a member, by its own knowledge alone.
func (n *Node) say(m *member) vote {
	if m == &n.self {
		return up
	}
	switch m.state {
	case Gone:
		return down
	case Left:
		return departed
	}
	w := n.watches[m.id]
	switch {
	case w == nil:
		return unsure
	case n.silent(w):
		return down
	case w.first < 0 && w.heard > 0 && n.now-w.heard < 2*n.cfg.Period:
		return up
	}
	return unsure
}

// silent reports whether a member is silent to this process, and whether that can be trusted: for long enough, often enough, while
// others did answer, and not by a process that has just stood still.
func (n *Node) silent(w *watch) bool {
	if !n.steady && (n.now < n.trust || n.heard <= w.first) {
		return false
	}
	if w.first < 0 || n.now-w.first < n.cfg.Silence {
		return false
	}
	f := n.unsound(w)
	return n.now-w.first >= time.Duration(f*float64(n.cfg.Silence)) && float64(w.tries) >= f*float64(n.needed())
}

// unsound is by how much longer than usual a member has to be silent: where half or more of those that this process watches besides are
// silent too, the fault may be its own, and there is no hurry.
func (n *Node) unsound(w *watch) float64 {
	if n.steady {
		return 1
	}
	all, silent := 0.0, 0.0
	for _, o := range n.watches {
		if o != w && o.duty {
			all++
			if o.first >= 0 && n.now-o.first >= 2*n.retry() {
				silent++
			}
		}
	}
	if 2*silent < all || all == 0 {
		return 1
	}
	return 1 + mostUnsound*silent/all
}

// look pings a member when it is time, and asks its other observers while it is silent.
func (n *Node) look(w *watch, asks map[ID][]*member) {
	now := n.now
	if !w.duty && !w.rumoured && w.open && now-w.since > patience*n.cfg.Silence {
		n.unwatch(w)
		return
	}
	if !w.m.there() || !w.duty && !w.open && w.first < 0 && now-max(w.heard, w.begun) > 2*n.cfg.Period {
		n.unwatch(w)
		return
	}
	if now >= w.next && (w.duty || w.wanted || w.first >= 0) {
		w.wanted = false
		first := w.first < 0
		if first {
			w.first, w.tries = now, 0
		}
		w.tries++
		n.ping(w.m, first)
		w.next = now + n.again(now-w.first)
	}
	if w.first < 0 || now-w.first < n.retry() {
		return
	}
	if !w.open {
		w.open, w.since, w.askAt, w.askGap, w.enough = true, now, now, n.retry(), -1
	}
	if !w.sure && n.silent(w) {
		w.sure, w.askAt, w.askGap = true, now, n.retry()
		n.tellAskers(w)
	}
	if !w.doubtful && (w.sure || now-w.since > 2*n.cfg.Silence) {
		w.doubtful, n.ringed = true, false
	}
	if now < w.askAt || !w.duty && !w.rumoured {
		return
	}
	// Once at the beginning, so that the others look for themselves, and again when they may have found out.
	w.askAt = now + w.askGap
	if w.sure && now-w.since < 2*n.cfg.Silence {
		w.askAt = now + n.retry()/2
	}
	if !w.sure && w.duty {
		w.askAt = now + n.cfg.Period
	}
	if now-w.since > 2*n.cfg.Silence {
		w.askGap = min(2*w.askGap, 4*n.cfg.Period)
	}
	all := n.observers(w.m)
	want := len(all)
	if !w.duty {
		want = mark2(len(all)) + 1
		n.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	}
	for _, o := range all {
		if s, ok := w.says[o.id]; o == &n.self || ok && s.v >= down && now-s.at < n.cfg.Period {
			want--
			continue
		}
		if want <= 0 {
			break
		}
		want--
		asks[o.id] = append(asks[o.id], w.m)
		if w.unheard[o.id]++; w.unheard[o.id] > mostUnheard {
			n.doubt(o, false) // it may be silent itself, and others are to be asked in its place
		}
	}
}

// tellAskers answers those who have asked before this process knew, so that they need not ask again at the right moment.
func (n *Node) tellAskers(w *watch) {
	for _, id := range slices.Sorted(maps.Keys(w.askers)) {
		if o, _ := n.find(id); o != nil && o.there() {
			d := n.begin(answer, 0, w.askers[id])
			d.add(voteItem(w.m.id, n.say(w.m), w.m.epoch, w.m.inc))
			n.send(d, o.addr, true)
		}
	}
	clear(w.askers)
}

// mark2 is the high mark: how many of k observers have to say for themselves that a member is silent. The low mark, from which on it
// counts as suspect, is leastWitnesses.
func mark2(k int) int { return max(leastWitnesses, k/2+1) }

// count counts who finds a member silent, as far as this process may believe it. It needs to have found it silent itself.
func (n *Node) count(w *watch) (downs, left, k int) {
	all := n.observers(w.m)
	mine := false
	for _, o := range all {
		if o == &n.self {
			mine = true
			if n.silent(w) {
				downs++
			}
			continue
		}
		if s, ok := w.says[o.id]; ok && n.now-s.at < voteAge*n.cfg.Period {
			switch s.v {
			case down:
				downs++
			case departed:
				downs++
				left++
			}
		}
	}
	own := n.silent(w) || (!mine || left > 0) && w.first >= 0 && w.tries >= 2 && n.now-w.first >= n.cfg.Retry+n.cfg.Retry/2 && (n.steady || n.now >= n.trust)
	if !own {
		downs = min(downs, leastWitnesses-1)
	}
	return downs, left, len(all)
}

// judge holds what observers have said of a member against the two marks.
func (n *Node) judge(w *watch) {
	if !w.open || w.first < 0 || !w.m.there() || !w.duty && !w.rumoured {
		return
	}
	downs, left, k := n.count(w)
	w.downs, w.high = downs, mark2(k)
	if n.lone {
		w.high = 1
		if n.silent(w) {
			w.downs = max(downs, 1)
		}
	}
	if w.downs >= leastWitnesses && w.m.state == Alive {
		w.m.state = Suspect
		n.tell(Suspected, w.m, downs)
	}
	if w.downs < w.high {
		w.enough = -1
		if !w.duty && n.now-w.since > patience*n.cfg.Silence {
			n.unwatch(w)
		}
		return
	}
	if w.enough < 0 {
		w.enough = n.now
	}
	// Who goes at the same time is to go in one cut: as long as another one is between the marks, wait a little.
	if n.now-w.enough < 2*n.cfg.Retry {
		for _, o := range n.watches {
			if o != w && o.open && o.m.there() && o.downs >= leastWitnesses && o.downs < o.high {
				return
			}
		}
	}
	state, kind := Gone, DeclaredGone
	if 2*left > w.downs {
		state, kind = Left, Departed
	}
	n.end(w.m, state, kind, w.downs)
	n.unwatch(w)
}

// end takes a member out of the view.
func (n *Node) end(m *member, s State, kind EventKind, witnesses int) {
	n.set(m, func() { m.state = s })
	if kind == DeclaredGone {
		n.stats.Verdicts++
	}
	n.tell(kind, m, witnesses)
	n.spread(m.id)
}

// answeredBy takes note that a member has answered a ping that was sent at sent.
func (n *Node) answeredBy(m *member, sent time.Duration) {
	w := n.watches[m.id]
	if w == nil {
		return
	}
	w.heard = n.now
	if w.first < 0 || sent < w.first {
		// An old ping: the member lived after it was sent, which does not tell whether it does now.
		if w.first >= 0 && n.now-sent > n.cfg.Silence {
			return
		}
	}
	w.first, w.tries, w.open, w.sure, w.enough, w.downs, w.rumoured = -1, 0, false, false, -1, 0, false
	clear(w.says)
	clear(w.unheard)
	clear(w.askers)
	w.next = n.now + n.period()
	if w.doubtful {
		w.doubtful, n.ringed = false, false
	}
	if m.state == Suspect {
		m.state = Alive
		n.tell(Cleared, m, 0)
	}
}

// mingle keeps news going between parts of the ring, and tries whoever is gone: it may be back.
func (n *Node) mingle() {
	if n.now < n.mixAt {
		return
	}
	n.mixAt = n.now + n.cfg.Period
	var gone []*member
	for i := 0; i < len(n.table); i++ {
		m := n.table[i]
		if m.there() {
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
	if n.living > n.cfg.ObserverCount { // otherwise all are observed anyway
		for range 8 {
			if m := n.table[n.rng.IntN(len(n.table))]; m.there() {
				n.ping(m, true)
				break
			}
		}
	}
}

// seek asks seeds: often while nobody is known or answers, else now and then those that are no members, as the fleet may have
// parted and forgotten.
func (n *Node) seek() {
	if n.now < n.seedAt || len(n.seeds) == 0 {
		return
	}
	alone := n.living == 0 || n.isolated
	n.seedAt = n.now + n.seedGap + time.Duration(n.rng.Int64N(int64(n.seedGap)/4+1))
	n.seedGap = min(2*n.seedGap, mostSeedGap)
	asked := 0
	for _, i := range n.rng.Perm(len(n.seeds)) {
		s := n.seeds[i]
		if s == n.self.addr || !alone && slices.ContainsFunc(n.table, func(m *member) bool { return m.addr == s && m.there() }) {
			continue
		}
		n.call(0, &member{addr: s})
		if asked++; asked == 2 {
			return
		}
	}
}

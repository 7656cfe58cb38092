package sites

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Time is an instant on the host's monotonic clock; its origin means nothing.
type Time = time.Duration

// State is how a site is held to be.
type State int

// The states.
const (
	Healthy    State = iota // it takes all its traffic
	Degraded                // it takes less by what fails there
	Down                    // it takes trials only
	Recovering              // it takes a share that grows
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"healthy", "doubtful", "dark", "returning"}[s]
}

// Server is a server that may take requests.
type Server struct{ ID, Site string }

const (
	// leastEvidence is the weight from which on a server's evidence counts.
	leastEvidence = 0.5
	// trialShare is the part of its traffic that a dark site gets as trials: what is not tried is never known to be back.
	trialShare = 0.01
	// groupTrials is how often a second all instances together try a dark site that they hardly send to, each of them at
	// least once in mostTrialGap and at most once in leastTrialGap, and never with more than mostTrialShare of its traffic.
	groupTrials                 = 20.0
	leastTrialGap, mostTrialGap = 2 * time.Second, time.Minute
	mostTrialShare              = 0.25
	// climbSteps is how many answers a site must give at least on its way back.
	climbSteps = 8
	// judgeEvery is how often evidence is weighed at most: it takes a look at every server.
	judgeEvery = 20 * time.Millisecond
	// mostServers bounds the servers whose evidence is kept.
	mostServers = 100_000
)

// Monitor watches sites. It is not safe for concurrent use.
type Monitor struct {
	cfg     Config
	servers map[string]*server
	order   []*server // by their ids: sums of figures must not hang on the order of a map
	sites   map[string]*site
	names   []string // of the sites, in order
	ranked  []*site  // in the order of preference
	rules   []*rule
	alone   bool // nothing reaches anybody: the fault is this instance's own
	judged  Time
	offered load
	places  float64
	log     func(Transition)
}

type server struct {
	id       string
	site     string
	bad, all float64 // decaying sums of evidence
	at       Time
}

type site struct {
	name     string
	servers  int
	places   float64 // servers, those included that the list has lost and whose traffic is still held to be this site's
	faded    Time    // when places was last brought up to date
	state    State
	since    Time
	before   State         // what it was before that, but for a moment's doubt
	from     float64       // the share with which the present climb began
	climbed  time.Duration // how much of the climb is done
	proof    time.Duration // how much more of it its answers stand for
	climb    time.Duration
	relapses int
	calm     Time   // since when it has been healthy
	good     Time   // dark: since when its trials are answered; 0: they are not
	changes  []Time // for the better, within the last minute
	run      run
	bucket   bucket // what may be added for others
	evidence evidence
	lastBad  float64 // of the latest evidence
	lastSeen Time    // when that was; zero: never

	spilled, turnedAway uint64
}

// evidence is what is known of a site's servers.
type evidence struct {
	known  int     // servers of which enough is known
	bad    float64 // the mean part that failed, over those
	enough bool    // of half of its servers, or of a run of failures
}

// Transition is a change of a site's state.
type Transition struct {
	Site         string
	From, To     State
	At           Time
	KnownServers int     // servers of which enough was known
	FailureRatio float64 // the part of them that failed
	Reason       string
}

// New returns a Monitor. log, which may be nil, is told of each transition. The error names the field of cfg at fault.
func New(cfg Config, log func(Transition)) (*Monitor, error) {
	if log == nil {
		log = func(Transition) {}
	}
	m := &Monitor{servers: map[string]*server{}, sites: map[string]*site{}, log: log}
	if err := m.Reconfigure(cfg); err != nil {
		return nil, err
	}
	return m, nil
}

// Reconfigure makes cfg what m goes by from now on. What it knows of sites stays, and so do climbs that have begun. The error
// names the field of cfg at fault; nothing has changed then.
func (m *Monitor) Reconfigure(cfg Config) error {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return err
	}
	m.cfg = cfg
	m.rules = m.compile(cfg.Rules)
	m.rank()
	return nil
}

// UpdateServers makes list the servers that may take requests. A site without any keeps its state, so that a list which is empty
// for one message changes nothing, and a site whose servers come back under new ids returns as it left. What is known of
// servers that are listed no more is forgotten.
func (m *Monitor) UpdateServers(now Time, list []Server) {
	if len(list) == 0 {
		return
	}
	for _, s := range m.sites {
		s.servers = 0
	}
	listed := make(map[string]bool, len(list))
	for _, s := range list[:min(len(list), mostServers)] {
		listed[s.ID] = true
		if old := m.servers[s.ID]; old == nil || old.site != s.Site {
			m.servers[s.ID] = &server{id: s.ID, site: s.Site, at: now}
		}
		at := m.sites[s.Site]
		if at == nil {
			at = &site{name: s.Site, since: now, calm: now, climb: m.cfg.RecoveryTime, faded: now, bucket: bucket{at: now}}
			m.sites[s.Site] = at
		}
		at.servers++
	}
	maps.DeleteFunc(m.servers, func(id string, _ *server) bool { return !listed[id] })
	m.order = m.order[:0]
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		m.order = append(m.order, m.servers[id])
	}
	for _, s := range m.sites {
		s.fade(now, m.cfg.LostSiteHalfLife)
	}
	// Sites come and go as well. One that the list has lost is forgotten once its traffic has become that of the others, and
	// a dark one not before it may have forgiven its relapses.
	maps.DeleteFunc(m.sites, func(_ string, s *site) bool {
		return s.servers == 0 && s.places < leastPlaces && (s.state == Healthy || now-s.since > m.cfg.MaxRecoveryTime)
	})
	m.rank()
	m.judge(now)
}

// leastPlaces is what of a lost site's places is held for none.
const leastPlaces = 0.05

// fade brings s.places up to date: they follow the servers at once when there are more, and by degrees when there are less, since
// a list drops the servers of a lost site one by one.
func (s *site) fade(now Time, half time.Duration) {
	listed := float64(s.servers)
	if s.places -= listed; s.places > 0 {
		s.places *= math.Exp2(-float64(now-s.faded) / float64(half))
	}
	if s.places < leastPlaces {
		s.places = 0
	}
	s.places += listed
	s.faded = now
}

// rank puts the sites in order.
func (m *Monitor) rank() {
	m.names = slices.Sorted(maps.Keys(m.sites))
	place := func(s *site) int {
		if i := slices.Index(m.cfg.Prefer, s.name); i >= 0 {
			return i
		}
		return len(m.cfg.Prefer)
	}
	m.ranked = m.ranked[:0]
	for _, name := range m.names {
		m.ranked = append(m.ranked, m.sites[name])
	}
	slices.SortStableFunc(m.ranked, func(a, b *site) int { return cmp.Compare(place(a), place(b)) })
}

// RecordOutcome notes the end of an attempt or a probe at a server: whether it was answered in time, or failed in a way that speaks
// against the server: silence, a reset, an error, or an answer too late to be of use. A server that turns work away answers.
func (m *Monitor) RecordOutcome(now Time, id string, ok bool) {
	v := m.servers[id]
	if v == nil {
		return
	}
	v.decay(now, m.cfg.EvidenceHalfLife)
	v.all++
	s := m.sites[v.site]
	s.run.note(now, id, ok)
	if ok {
		s.proof = min(s.proof+s.climb/climbSteps, s.climb/4)
	} else {
		v.bad++
	}
	if now-m.judged >= judgeEvery {
		m.judge(now)
	}
}

func (s *server) decay(now Time, half time.Duration) {
	if dt := now - s.at; dt > 0 {
		f := math.Exp2(-float64(dt) / float64(half))
		s.bad, s.all, s.at = s.bad*f, s.all*f, now
	}
}

// Tick lets time pass: shares grow, and what is known grows old. The host calls it a few times a second.
func (m *Monitor) Tick(now Time) { m.judge(now) }

// judge weighs the evidence and moves each site on.
func (m *Monitor) judge(now Time) {
	since := now - m.judged
	m.judged = now
	for _, s := range m.sites {
		s.evidence = evidence{}
		s.fade(now, m.cfg.LostSiteHalfLife)
	}
	for _, v := range m.order {
		v.decay(now, m.cfg.EvidenceHalfLife)
		if s := m.sites[v.site]; v.all >= leastEvidence {
			s.evidence.known++
			s.evidence.bad += v.bad / v.all
		}
	}
	m.places = 0
	known, dark := 0, 0
	for _, name := range m.names {
		s := m.sites[name]
		m.places += s.places
		s.weigh(now)
		if s.evidence.known > 0 {
			s.lastBad, s.lastSeen = s.evidence.bad, now
		}
		if s.lastSeen != 0 && now-s.lastSeen <= m.cfg.HoldTime {
			known++
			if s.lastBad >= m.cfg.DownThreshold {
				dark++
			}
		}
	}
	// Where everything fails at every site at once it is this instance that is cut off, or all is lost anyway: to take
	// traffic away from everybody helps nobody. The first of them to fail was held for dark a moment ago, wrongly.
	was := m.alone
	if m.alone = known > 1 && dark == known; m.alone && !was {
		for _, name := range m.names {
			if s := m.sites[name]; s.state == Down && s.before == Healthy && now-s.since <= m.cfg.HoldTime && s.mayImprove(now, m.cfg.MaxImprovements) {
				m.move(now, s, Healthy, "nothing reaches any site: this instance is cut off")
			}
		}
	}
	for _, name := range m.names {
		m.step(now, since, m.sites[name])
	}
	m.settle(now)
}

// weigh makes what is known of s's servers evidence of the site. An instance that knows less than half of them goes by a run
// of failures at several, if there is one.
func (s *site) weigh(now Time) {
	e := &s.evidence
	if e.known > 0 {
		e.bad /= float64(e.known)
		e.enough = 2*e.known >= s.servers
	}
	if !e.enough && s.run.tells(now, s.servers) {
		*e = evidence{known: max(e.known, len(s.run.at)), bad: 1, enough: true}
	}
}

// step moves one site on, of which since has passed.
func (m *Monitor) step(now Time, since time.Duration, s *site) {
	e := s.evidence
	held := now-s.since >= m.cfg.HoldTime+m.jitter(s)
	switch s.state {
	case Healthy:
		if s.relapses > 0 && now-s.calm >= m.cfg.MaxRecoveryTime { // long enough ago
			s.relapses, s.calm = s.relapses-1, now
		}
		switch {
		case m.alone || !e.enough:
		case e.bad >= m.cfg.DownThreshold:
			m.move(now, s, Down, "most of what is sent there fails")
		case e.bad >= m.cfg.DegradedThreshold:
			m.move(now, s, Degraded, "a part of what is sent there fails")
		}
	case Degraded:
		switch {
		case m.alone || e.known == 0:
		case e.enough && e.bad >= m.cfg.DownThreshold:
			m.move(now, s, Down, "most of what is sent there fails")
		case e.bad < m.cfg.HealthyThreshold && held && s.mayImprove(now, m.cfg.MaxImprovements):
			m.move(now, s, Healthy, "what is sent there is answered")
		}
	case Down:
		switch {
		case e.known > 0 && e.bad >= m.cfg.HealthyThreshold:
			s.good = 0
		case e.known > 0 && s.good == 0:
			s.good = now
		}
		// Between the trials of a trickle nothing is known for long: that speaks neither for the site nor against it.
		if s.good != 0 && held && now-s.good >= m.jitter(s) && s.mayImprove(now, m.cfg.MaxImprovements) {
			s.climb = min(m.cfg.RecoveryTime<<min(s.relapses, 20), m.cfg.MaxRecoveryTime)
			s.good, s.climbed, s.proof = 0, 0, 0
			s.from = max(m.cfg.InitialShare/float64(uint64(1)<<min(s.relapses, 20)), trialShare)
			m.move(now, s, Recovering, "trials are answered")
		}
	case Recovering:
		// The share grows with time, but no further than the answers stand for.
		done := min(since, s.proof)
		s.climbed, s.proof = s.climbed+done, s.proof-done
		switch {
		case m.alone:
		case e.known > 0 && e.bad >= m.cfg.DegradedThreshold:
			s.relapses++
			m.move(now, s, Down, "it fails again")
		case s.climbed >= s.climb && s.mayImprove(now, m.cfg.MaxImprovements):
			s.calm = now
			m.move(now, s, Healthy, "it takes all its traffic")
		}
	}
}

// mayImprove reports whether the site may change for the better once more within this minute. For the worse it always may.
func (s *site) mayImprove(now Time, most int) bool {
	s.changes = slices.DeleteFunc(s.changes, func(t Time) bool { return now-t >= time.Minute })
	return len(s.changes) < most
}

func (m *Monitor) move(now Time, s *site, to State, reason string) {
	from := s.state
	if s.before = from; from == Degraded && now-s.since <= m.cfg.HoldTime { // on the way from one to another
		s.before = Healthy
	}
	if to == Healthy || to == Recovering {
		s.changes = append(s.changes, now)
	}
	s.state, s.since = to, now
	if to == Down {
		s.run.clear()
	}
	m.log(Transition{s.name, from, to, now, s.evidence.known, s.evidence.bad, reason})
}

// jitter spreads the steps of peers, and of one instance's sites, over half of Hold.
func (m *Monitor) jitter(s *site) time.Duration {
	h := uint64(m.cfg.Ordinal)*0x9e3779b97f4a7c15 + uint64(len(s.name))
	for _, c := range []byte(s.name) {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	return time.Duration(float64(m.cfg.HoldTime) / 2 * float64(h>>11) / (1 << 53))
}

// Share returns which part of its traffic a site may take now, 0 to 1. Of a site that is not known it is 1.
func (m *Monitor) Share(now Time, name string) float64 {
	if s := m.sites[name]; s != nil {
		return m.share(now, s)
	}
	return 1
}

// Shares returns the shares of all sites. There is always one that takes all of its traffic: where every site fails in part,
// the best of them does, and the others in proportion.
func (m *Monitor) Shares(now Time) map[string]float64 {
	all := make(map[string]float64, len(m.sites))
	best := 0.0
	for name, s := range m.sites {
		all[name] = m.share(now, s)
		if s.servers > 0 {
			best = max(best, all[name])
		}
	}
	for name := range all {
		if best > 0 {
			all[name] = min(all[name]/best, 1)
		}
	}
	return all
}

func (m *Monitor) share(now Time, s *site) float64 {
	if m.alone {
		return 1
	}
	switch s.state {
	case Degraded:
		return max(1-s.evidence.bad, m.cfg.InitialShare)
	case Down:
		return m.trials(now, s)
	case Recovering: // by equal factors in equal times, as a queue that is too long shows late
		grown := s.from * math.Pow(1/s.from, float64(s.climbed)/float64(s.climb))
		return min(1, max(grown, m.trials(now, s)))
	}
	return 1
}

// trials is the share that a dark site gets as trials. It guards against an instance that sends so little that a part of it
// would be one request in hours: such a one tries at least now and then, the seldomer the more peers it has.
func (m *Monitor) trials(now Time, s *site) float64 {
	gap := time.Duration(float64(m.cfg.GroupSize) / groupTrials * float64(time.Second))
	gap = min(max(gap, leastTrialGap), mostTrialGap)
	share := 1 / max(m.normal(now, s)*gap.Seconds(), 1/mostTrialShare)
	return max(trialShare, share)
}

// SiteSnapshot is what a Monitor holds of a site.
type SiteSnapshot struct {
	Site         string
	State        State
	Since        Time // of the state
	Share        float64
	Servers      int
	KnownServers int     // servers of which enough is known
	FailureRatio float64 // the part of them that fails
	Relapses     int
	NormalRate   float64 // requests a second that are the site's by its servers
	Spilled      uint64  // requests that were added for others
	TurnedAway   uint64  // requests meant for it that no other site had room for
}

// String describes v for logs.
func (v SiteSnapshot) String() string {
	return fmt.Sprintf("%s %s, share %.2f, %d of %d servers known, %.2f bad", v.Site, v.State, v.Share, v.KnownServers, v.Servers, v.FailureRatio)
}

// Snapshot returns all sites in the order of preference.
func (m *Monitor) Snapshot(now Time) []SiteSnapshot {
	var all []SiteSnapshot
	for _, s := range m.ranked {
		all = append(all, SiteSnapshot{
			s.name, s.state, s.since, m.share(now, s), s.servers, s.evidence.known, s.evidence.bad, s.relapses, m.normal(now, s), s.spilled, s.turnedAway,
		})
	}
	return all
}

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
	Healthy   State = iota // it takes all its traffic
	Doubtful               // it takes less by what fails there
	Dark                   // it takes trials only
	Returning              // it takes a share that grows
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
	// burst is how many seconds of spill may come at once.
	burst = 1.0
	// leastSpill is what an instance may always add, in requests a second: a tablet's order must not hang on its being busy.
	leastSpill = 0.1
	// judgeEvery is how often evidence is weighed at most: it takes a look at every server.
	judgeEvery = 20 * time.Millisecond
	// loadMemory is over how long the load is measured that counts as normal.
	loadMemory = 30 * time.Second
	// mostServers bounds the servers whose evidence is kept.
	mostServers = 100_000
)

// Monitor watches sites. It is not safe for concurrent use.
type Monitor struct {
	cfg     Config
	servers map[string]*server
	order   []*server // by their ids: sums of figures must not hang on the order of a map
	sites   map[string]*site
	alone   bool // nothing reaches anybody: the fault is this instance's own
	judged  Time
	offered float64 // requests a second, over loadMemory
	asked   Time    // the latest of them
	first   Time    // the first
	listed  int     // servers
	log     func(Transition)
}

type server struct {
	site     string
	bad, all float64 // decaying sums of evidence
	at       Time
}

type site struct {
	name                string
	servers             int
	state               State
	since               Time
	from                float64 // the share with which the present climb began
	climb               time.Duration
	relapses            int
	calm                Time    // since when it has been healthy
	good                Time    // dark: since when its trials are answered; 0: they are not
	changes             []Time  // for the better, within the last minute
	tokens              float64 // requests that may be added for others now
	filled              Time
	spilled, turnedAway uint64
	evidence            evidence
}

// evidence is what is known of a site's servers.
type evidence struct {
	known int     // servers of which enough is known
	bad   float64 // the mean part that failed, over those
}

// Transition is a change of a site's state.
type Transition struct {
	Site     string
	From, To State
	At       Time
	Known    int     // servers of which enough was known
	Bad      float64 // the part of them that failed
	Reason   string
}

// New returns a Monitor. log, which may be nil, is told of each transition. The error names the field of cfg at fault.
func New(cfg Config, log func(Transition)) (*Monitor, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	if log == nil {
		log = func(Transition) {}
	}
	return &Monitor{cfg: cfg, servers: map[string]*server{}, sites: map[string]*site{}, log: log}, nil
}

// Servers makes list the servers that may take requests. A site without any keeps its state, so that a list which is empty
// for one message changes nothing, and a site whose servers come back under new ids returns as it left. What is known of
// servers that are listed no more is forgotten.
func (m *Monitor) Servers(now Time, list []Server) {
	if len(list) == 0 {
		return
	}
	for _, s := range m.sites {
		s.servers = 0
	}
	m.listed = min(len(list), mostServers)
	listed := make(map[string]bool, len(list))
	for _, s := range list[:min(len(list), mostServers)] {
		listed[s.ID] = true
		if old := m.servers[s.ID]; old == nil || old.site != s.Site {
			m.servers[s.ID] = &server{site: s.Site, at: now}
		}
		at := m.sites[s.Site]
		if at == nil {
			at = &site{name: s.Site, since: now, calm: now, climb: m.cfg.Climb, filled: now}
			m.sites[s.Site] = at
		}
		at.servers++
	}
	maps.DeleteFunc(m.servers, func(id string, _ *server) bool { return !listed[id] })
	m.order = m.order[:0]
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		m.order = append(m.order, m.servers[id])
	}
	// Sites come and go as well. One that is not listed and was healthy holds nothing worth keeping.
	maps.DeleteFunc(m.sites, func(_ string, s *site) bool {
		return s.servers == 0 && s.state == Healthy && now-s.since > m.cfg.MostClimb
	})
	m.judge(now)
}

// Outcome notes the end of an attempt or a probe at a server: whether it was answered in time, or failed in a way that speaks
// against the server: silence, a reset, an error, or an answer too late to be of use. A server that turns work away answers.
func (m *Monitor) Outcome(now Time, id string, ok bool) {
	s := m.servers[id]
	if s == nil {
		return
	}
	s.decay(now, m.cfg.Memory)
	s.all++
	if !ok {
		s.bad++
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
	m.judged = now
	for _, s := range m.sites {
		s.evidence = evidence{}
	}
	for _, v := range m.order {
		v.decay(now, m.cfg.Memory)
		if s := m.sites[v.site]; v.all >= leastEvidence {
			s.evidence.known++
			s.evidence.bad += v.bad / v.all
		}
	}
	known, dark := 0, 0
	for _, s := range m.sites {
		if s.evidence.known > 0 {
			s.evidence.bad /= float64(s.evidence.known)
			known++
			if s.evidence.bad >= m.cfg.Dark {
				dark++
			}
		}
	}
	// Where everything fails at every site at once it is this instance that is cut off, or all is lost anyway: to take
	// traffic away from everybody helps nobody.
	m.alone = known > 1 && dark == known
	for _, name := range m.names() {
		m.step(now, m.sites[name])
	}
}

func (m *Monitor) names() []string { return slices.Sorted(maps.Keys(m.sites)) }

// step moves one site on.
func (m *Monitor) step(now Time, s *site) {
	e := s.evidence
	enough := e.known > 0 && 2*e.known >= s.servers // of half its servers
	held := now-s.since >= m.cfg.Hold+m.jitter(s)
	switch s.state {
	case Healthy:
		if s.relapses > 0 && now-s.calm >= m.cfg.MostClimb { // long enough ago
			s.relapses, s.calm = s.relapses-1, now
		}
		switch {
		case m.alone || !enough:
		case e.bad >= m.cfg.Dark:
			m.move(now, s, Dark, "most of what is sent there fails")
		case e.bad >= m.cfg.Doubt:
			m.move(now, s, Doubtful, "a part of what is sent there fails")
		}
	case Doubtful:
		switch {
		case m.alone || e.known == 0:
		case enough && e.bad >= m.cfg.Dark:
			m.move(now, s, Dark, "most of what is sent there fails")
		case e.bad < m.cfg.Clear && held && s.mayImprove(now, m.cfg.Changes):
			m.move(now, s, Healthy, "what is sent there is answered")
		}
	case Dark:
		if e.known == 0 || e.bad >= m.cfg.Clear {
			s.good = 0
			return
		}
		if s.good == 0 {
			s.good = now
		}
		if held && now-s.good >= m.jitter(s) && s.mayImprove(now, m.cfg.Changes) {
			s.climb = min(m.cfg.Climb<<min(s.relapses, 20), m.cfg.MostClimb)
			s.good = 0
			s.from = max(m.cfg.First/float64(uint64(1)<<min(s.relapses, 20)), trialShare)
			m.move(now, s, Returning, "trials are answered")
		}
	case Returning:
		switch {
		case m.alone:
		case e.known > 0 && e.bad >= m.cfg.Doubt:
			s.relapses++
			m.move(now, s, Dark, "it fails again")
		case m.share(now, s) >= 1 && s.mayImprove(now, m.cfg.Changes):
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
	if to == Healthy || to == Returning {
		s.changes = append(s.changes, now)
	}
	s.state, s.since = to, now
	m.log(Transition{s.name, from, to, now, s.evidence.known, s.evidence.bad, reason})
}

// jitter spreads the steps of peers, and of one instance's sites, over half of Hold.
func (m *Monitor) jitter(s *site) time.Duration {
	h := uint64(m.cfg.Ordinal)*0x9e3779b97f4a7c15 + uint64(len(s.name))
	for _, c := range []byte(s.name) {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	return time.Duration(float64(m.cfg.Hold) / 2 * float64(h>>11) / (1 << 53))
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
	case Doubtful:
		return max(1-s.evidence.bad, m.cfg.First)
	case Dark:
		return trialShare
	case Returning: // by equal factors in equal times, as a queue that is too long shows late
		t := float64(now-s.since) / float64(s.climb)
		return min(1, s.from*math.Pow(1/s.from, t))
	}
	return 1
}

// Offered notes a request that a client asks for the first time. It tells how much is normal.
func (m *Monitor) Offered(now Time) {
	if gap := float64(now - m.asked); m.asked > 0 && gap > 0 {
		m.offered *= math.Exp(-gap / float64(loadMemory))
	}
	m.offered += float64(time.Second) / float64(loadMemory)
	if m.asked = now; m.first == 0 {
		m.first = now
	}
}

// normal is the part of the load that is a site's by its servers, in requests a second.
// What has been seen for less than loadMemory is taken for as much as it would come to: else an instance that starts while a site is
// dark would turn nearly all away that was meant for it.
func (m *Monitor) normal(s *site) float64 {
	seen := max(float64(m.asked-m.first), float64(time.Second))
	return m.offered / (1 - math.Exp(-seen/float64(loadMemory))) * float64(s.servers) / float64(max(m.listed, 1))
}

// Spill reports whether a request that is meant for a site which may not take it may go to another one, and counts it if so:
// to the first in the order of preference that has room. weight is how much the request is worth beside the most that any
// is, 0 to 1: what is worth little is turned away while half of what may spill is still there, so that what is worth most
// goes on to the last.
//
// Each instance adds at most the configured part of what is a site's of its own load, so that the sum over instances is
// bounded by the same part of the sum, however unequal they are; but for a request each ten seconds, which one that sends
// next to nothing may always add.
func (m *Monitor) Spill(now Time, from string, weight float64) bool {
	for _, s := range m.ranked() {
		if s.name != from && s.servers > 0 && s.state == Healthy && m.take(now, s, weight) {
			s.spilled++
			return true
		}
	}
	if s := m.sites[from]; s != nil {
		s.turnedAway++
	}
	return false
}

// take takes a token of what may be added to s.
func (m *Monitor) take(now Time, s *site, weight float64) bool {
	rate := m.cfg.Spill * m.normal(s)
	most := max(rate*burst, 1)
	s.tokens = min(s.tokens+max(rate, leastSpill)*(now-s.filled).Seconds(), most)
	s.filled = now
	if s.tokens < 1+(1-min(max(weight, 0), 1))*(most-1)/2 {
		return false
	}
	s.tokens--
	return true
}

// ranked returns the sites in the order of preference.
func (m *Monitor) ranked() []*site {
	all := slices.Collect(maps.Values(m.sites))
	slices.SortFunc(all, func(a, b *site) int {
		return cmp.Or(cmp.Compare(m.rank(a.name), m.rank(b.name)), cmp.Compare(a.name, b.name))
	})
	return all
}

// View is what a Monitor holds of a site.
type View struct {
	Site       string
	State      State
	Since      Time // of the state
	Share      float64
	Servers    int
	Known      int     // servers of which enough is known
	Bad        float64 // the part of them that fails
	Relapses   int
	Normal     float64 // requests a second that are the site's by its servers
	Spilled    uint64  // requests that were added for others
	TurnedAway uint64  // requests meant for it that no other site had room for
}

// String describes v for logs.
func (v View) String() string {
	return fmt.Sprintf("%s %s, share %.2f, %d of %d servers known, %.2f bad", v.Site, v.State, v.Share, v.Known, v.Servers, v.Bad)
}

// Views returns all sites in the order of preference.
func (m *Monitor) Views(now Time) []View {
	var all []View
	for _, s := range m.ranked() {
		all = append(all, View{
			s.name, s.state, s.since, m.share(now, s), s.servers, s.evidence.known, s.evidence.bad, s.relapses, m.normal(s), s.spilled, s.turnedAway,
		})
	}
	return all
}

// rank is a site's place in the order of preference.
func (m *Monitor) rank(name string) int {
	if i := slices.Index(m.cfg.Prefer, name); i >= 0 {
		return i
	}
	return len(m.cfg.Prefer)
}

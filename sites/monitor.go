package sites

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Time is an instant on the caller's monotonic clock, whose origin is arbitrary.
type Time = time.Duration

// State is the health of a site.
type State int

// The states of a site. String returns the names that logs, metrics and the operator's file use.
const (
	Healthy    State = iota // receives all its traffic
	Degraded                // receives less traffic, in proportion to its failures
	Down                    // receives trials only
	Recovering              // receives a growing share of its traffic
)

// String returns the name under which operators see the state.
func (s State) String() string {
	return [...]string{"healthy", "doubtful", "dark", "returning"}[s]
}

// Server is a server that may receive requests, and its site.
type Server struct{ ID, Site string }

const (
	// minEvidence is the total weight of outcomes from which on a server's evidence counts.
	minEvidence = 0.5
	// minTrialShare is the minimum share of its traffic that a site receives as trials while it is
	// down. Without trials its recovery would go unnoticed.
	minTrialShare = 0.01
	// groupTrialRate is the number of trials per second that all instances together send to a site
	// which is down and has little traffic from each. An instance sends one at least every
	// maxTrialInterval and at most every minTrialInterval, and never uses more than maxTrialShare
	// of the site's traffic for it.
	groupTrialRate                     = 20.0
	minTrialInterval, maxTrialInterval = 2 * time.Second, time.Minute
	maxTrialShare                      = 0.25
	// minRecoverySuccesses is the minimum number of successes before a site has fully recovered.
	minRecoverySuccesses = 8
	// evaluationInterval is the minimum time between two evaluations of the evidence that outcomes
	// cause, because each evaluation visits every server.
	evaluationInterval = 20 * time.Millisecond
	// maxServers limits the servers whose evidence is kept.
	maxServers = 100_000
)

// Monitor tracks the health of sites. It is not safe for concurrent use.
type Monitor struct {
	cfg              Config
	servers          map[string]*server
	sortedServers    []*server // by ID, as floating-point sums must not depend on map order
	sites            map[string]*site
	siteNames        []string // sorted
	byPreference     []*site
	rules            []*rule
	isolated         bool // no site can be reached: the cause is this instance's own connectivity
	evaluatedAt      Time
	offered          load
	effectiveServers float64 // sum over all sites
	log              func(Transition)
}

type server struct {
	id              string
	site            string
	failures, total float64 // weights of outcomes, which decay
	updatedAt       Time
}

type site struct {
	name             string
	servers          int
	effectiveServers float64 // listed servers, and lost ones whose load is still attributed to it
	effectiveAt      Time    // last update of effectiveServers
	state            State
	since            Time
	previous         State         // before state, without a degraded phase that was only brief
	initialShare     float64       // share at the start of the current recovery
	recoveryProgress time.Duration // completed part of recoveryTime
	recoveryCredit   time.Duration // further progress that successes have earned
	recoveryTime     time.Duration
	relapses         int
	healthySince     Time   // also set when a relapse is forgiven
	succeedingSince  Time   // while down: time since which trials succeed; zero: they don't
	improvements     []Time // changes to a better state within the last minute
	streak           streak
	bucket           bucket // limits what spills to the site
	evidence         evidence
	lastFailureRatio float64 // of the latest evidence
	lastEvidenceAt   Time    // zero: never

	spilled, turnedAway uint64
}

// evidence summarizes the recent outcomes of a site's servers.
type evidence struct {
	known        int     // servers with at least minEvidence
	failureRatio float64 // mean over those servers
	sufficient   bool    // covers half of the servers, or a streak of failures on several
}

// Transition is a change of a site's state.
type Transition struct {
	Site         string
	From, To     State
	At           Time
	KnownServers int     // servers with enough evidence
	FailureRatio float64 // mean over those servers
	Reason       string
}

// New returns a Monitor that calls log, which may be nil, on each transition. An error names the
// invalid field of cfg.
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

// Reconfigure replaces the configuration of m. The state of sites is kept, including recoveries in
// progress. If cfg is invalid, m is unchanged and the error names the field.
func (m *Monitor) Reconfigure(cfg Config) error {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return err
	}
	m.cfg = cfg
	m.rules = m.compileRules(cfg.Rules)
	m.sortSites()
	return nil
}

// UpdateServers replaces the servers that may receive requests. An empty list is ignored, so that a
// list which is empty for a single message changes nothing. A site without servers keeps its state,
// so that a site whose servers come back with new IDs continues where it left off. Evidence about
// servers that are no longer listed is dropped.
func (m *Monitor) UpdateServers(now Time, list []Server) {
	if len(list) == 0 {
		return
	}
	for _, s := range m.sites {
		s.servers = 0
	}
	listed := make(map[string]bool, len(list))
	for _, s := range list[:min(len(list), maxServers)] {
		listed[s.ID] = true
		if old := m.servers[s.ID]; old == nil || old.site != s.Site {
			m.servers[s.ID] = &server{id: s.ID, site: s.Site, updatedAt: now}
		}
		at := m.sites[s.Site]
		if at == nil {
			at = &site{name: s.Site, since: now, healthySince: now, recoveryTime: m.cfg.Climb, effectiveAt: now, bucket: bucket{updatedAt: now}}
			m.sites[s.Site] = at
		}
		at.servers++
	}
	maps.DeleteFunc(m.servers, func(id string, _ *server) bool { return !listed[id] })
	m.sortedServers = m.sortedServers[:0]
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		m.sortedServers = append(m.sortedServers, m.servers[id])
	}
	for _, s := range m.sites {
		s.updateEffectiveServers(now, m.cfg.Fade)
	}
	// A site without servers is dropped once its load has become the normal load of the others. If
	// it isn't healthy, it is also kept for MostClimb, after which a relapse would be
	// forgiven.
	maps.DeleteFunc(m.sites, func(_ string, s *site) bool {
		return s.servers == 0 && s.effectiveServers < minEffectiveServers && (s.state == Healthy || now-s.since > m.cfg.MostClimb)
	})
	m.sortSites()
	m.evaluate(now)
}

// minEffectiveServers is the number below which attributed unlisted servers are rounded down to
// none.
const minEffectiveServers = 0.05

// updateEffectiveServers updates s.effectiveServers. It follows an increase of the listed servers
// at once, but decays after a decrease, because a list drops the servers of a lost site one by one.
func (s *site) updateEffectiveServers(now Time, halfLife time.Duration) {
	listed := float64(s.servers)
	if s.effectiveServers -= listed; s.effectiveServers > 0 {
		s.effectiveServers *= math.Exp2(-float64(now-s.effectiveAt) / float64(halfLife))
	}
	if s.effectiveServers < minEffectiveServers {
		s.effectiveServers = 0
	}
	s.effectiveServers += listed
	s.effectiveAt = now
}

// sortSites updates the sites in order of name and of preference.
func (m *Monitor) sortSites() {
	m.siteNames = slices.Sorted(maps.Keys(m.sites))
	rank := func(s *site) int {
		if i := slices.Index(m.cfg.Prefer, s.name); i >= 0 {
			return i
		}
		return len(m.cfg.Prefer)
	}
	m.byPreference = m.byPreference[:0]
	for _, name := range m.siteNames {
		m.byPreference = append(m.byPreference, m.sites[name])
	}
	slices.SortStableFunc(m.byPreference, func(a, b *site) int { return cmp.Compare(rank(a), rank(b)) })
}

// RecordOutcome records the end of an attempt or a probe at a server. ok is false for a failure
// that the server may have caused: silence, a reset, an error, or an answer that came too late. A
// server that rejects work answers, so ok is true for a rejection.
func (m *Monitor) RecordOutcome(now Time, id string, ok bool) {
	v := m.servers[id]
	if v == nil {
		return
	}
	v.decay(now, m.cfg.Memory)
	v.total++
	s := m.sites[v.site]
	s.streak.record(now, id, ok)
	if ok {
		s.recoveryCredit = min(s.recoveryCredit+s.recoveryTime/minRecoverySuccesses, s.recoveryTime/4)
	} else {
		v.failures++
	}
	if now-m.evaluatedAt >= evaluationInterval {
		m.evaluate(now)
	}
}

// decay updates the weights of s to now.
func (s *server) decay(now Time, halfLife time.Duration) {
	if dt := now - s.updatedAt; dt > 0 {
		f := math.Exp2(-float64(dt) / float64(halfLife))
		s.failures, s.total, s.updatedAt = s.failures*f, s.total*f, now
	}
}

// Tick advances recoveries and the decay of evidence to now. The caller calls it a few times per
// second.
func (m *Monitor) Tick(now Time) { m.evaluate(now) }

// evaluate aggregates the evidence and updates the state of each site.
func (m *Monitor) evaluate(now Time) {
	elapsed := now - m.evaluatedAt
	m.evaluatedAt = now
	for _, s := range m.sites {
		s.evidence = evidence{}
		s.updateEffectiveServers(now, m.cfg.Fade)
	}
	for _, v := range m.sortedServers {
		v.decay(now, m.cfg.Memory)
		if s := m.sites[v.site]; v.total >= minEvidence {
			s.evidence.known++
			s.evidence.failureRatio += v.failures / v.total
		}
	}
	m.effectiveServers = 0
	known, down := 0, 0
	for _, name := range m.siteNames {
		s := m.sites[name]
		m.effectiveServers += s.effectiveServers
		s.aggregateEvidence(now)
		if s.evidence.known > 0 {
			s.lastFailureRatio, s.lastEvidenceAt = s.evidence.failureRatio, now
		}
		if s.lastEvidenceAt != 0 && now-s.lastEvidenceAt <= m.cfg.Hold {
			known++
			if s.lastFailureRatio >= m.cfg.Dark {
				down++
			}
		}
	}
	// If every known site fails at the same time, either this instance is cut off or no site works
	// at all, and withdrawing traffic wouldn't help. The first site to fail was marked down moments
	// ago, which was wrong and is undone.
	wasIsolated := m.isolated
	if m.isolated = known > 1 && down == known; m.isolated && !wasIsolated {
		for _, name := range m.siteNames {
			if s := m.sites[name]; s.state == Down && s.previous == Healthy && now-s.since <= m.cfg.Hold && s.mayImprove(now, m.cfg.Changes) {
				m.transition(now, s, Healthy, "no site can be reached: this instance is cut off")
			}
		}
	}
	for _, name := range m.siteNames {
		m.advance(now, elapsed, m.sites[name])
	}
	m.updateBaselines(now)
}

// aggregateEvidence turns the evidence about s's servers into evidence about the site. If less than
// half of the servers is known, a streak of failures on several servers is used, if there is one.
func (s *site) aggregateEvidence(now Time) {
	e := &s.evidence
	if e.known > 0 {
		e.failureRatio /= float64(e.known)
		e.sufficient = 2*e.known >= s.servers
	}
	if !e.sufficient && s.streak.indicatesDown(now, s.servers) {
		*e = evidence{known: max(e.known, len(s.streak.servers)), failureRatio: 1, sufficient: true}
	}
}

// advance updates the state of s. elapsed is the time since the last evaluation.
func (m *Monitor) advance(now Time, elapsed time.Duration, s *site) {
	e := s.evidence
	held := now-s.since >= m.cfg.Hold+m.jitter(s)
	switch s.state {
	case Healthy:
		if s.relapses > 0 && now-s.healthySince >= m.cfg.MostClimb { // a relapse is forgiven
			s.relapses, s.healthySince = s.relapses-1, now
		}
		switch {
		case m.isolated || !e.sufficient:
		case e.failureRatio >= m.cfg.Dark:
			m.transition(now, s, Down, "most requests fail")
		case e.failureRatio >= m.cfg.Doubt:
			m.transition(now, s, Degraded, "part of the requests fail")
		}
	case Degraded:
		switch {
		case m.isolated || e.known == 0:
		case e.sufficient && e.failureRatio >= m.cfg.Dark:
			m.transition(now, s, Down, "most requests fail")
		case e.failureRatio < m.cfg.Clear && held && s.mayImprove(now, m.cfg.Changes):
			m.transition(now, s, Healthy, "requests succeed")
		}
	case Down:
		switch {
		case e.known > 0 && e.failureRatio >= m.cfg.Clear:
			s.succeedingSince = 0
		case e.known > 0 && s.succeedingSince == 0:
			s.succeedingSince = now
		}
		// With few requests there is no evidence for long times between trials. That counts neither
		// for the site nor against it.
		if s.succeedingSince != 0 && held && now-s.succeedingSince >= m.jitter(s) && s.mayImprove(now, m.cfg.Changes) {
			s.recoveryTime = min(m.cfg.Climb<<min(s.relapses, 20), m.cfg.MostClimb)
			s.succeedingSince, s.recoveryProgress, s.recoveryCredit = 0, 0, 0
			s.initialShare = max(m.cfg.First/float64(uint64(1)<<min(s.relapses, 20)), minTrialShare)
			m.transition(now, s, Recovering, "trials are answered")
		}
	case Recovering:
		// The share grows with time, but only as far as successes have earned.
		done := min(elapsed, s.recoveryCredit)
		s.recoveryProgress, s.recoveryCredit = s.recoveryProgress+done, s.recoveryCredit-done
		switch {
		case m.isolated:
		case e.known > 0 && e.failureRatio >= m.cfg.Doubt:
			s.relapses++
			m.transition(now, s, Down, "requests fail again")
		case s.recoveryProgress >= s.recoveryTime && s.mayImprove(now, m.cfg.Changes):
			s.healthySince = now
			m.transition(now, s, Healthy, "it receives all its traffic")
		}
	}
}

// mayImprove reports whether s may change to a better state now: at most limit such changes are
// made per minute. Changes to a worse state are not limited.
func (s *site) mayImprove(now Time, limit int) bool {
	s.improvements = slices.DeleteFunc(s.improvements, func(t Time) bool { return now-t >= time.Minute })
	return len(s.improvements) < limit
}

// transition changes the state of s and logs the change.
func (m *Monitor) transition(now Time, s *site, to State, reason string) {
	from := s.state
	if s.previous = from; from == Degraded && now-s.since <= m.cfg.Hold { // passed through only
		s.previous = Healthy
	}
	if to == Healthy || to == Recovering {
		s.improvements = append(s.improvements, now)
	}
	s.state, s.since = to, now
	if to == Down {
		s.streak.clear()
	}
	m.log(Transition{s.name, from, to, now, s.evidence.known, s.evidence.failureRatio, reason})
}

// jitter returns a delay that spreads the transitions of peers, and of the sites of one instance,
// over half of Hold.
func (m *Monitor) jitter(s *site) time.Duration {
	h := uint64(m.cfg.Ordinal)*0x9e3779b97f4a7c15 + uint64(len(s.name))
	for _, c := range []byte(s.name) {
		h = (h ^ uint64(c)) * 0x100000001b3
	}
	return time.Duration(float64(m.cfg.Hold) / 2 * float64(h>>11) / (1 << 53))
}

// Share returns the share of its traffic that a site may receive now, from 0 to 1. It is 1 for an
// unknown site.
func (m *Monitor) Share(now Time, name string) float64 {
	if s := m.sites[name]; s != nil {
		return m.share(now, s)
	}
	return 1
}

// Shares returns the shares of all sites, scaled so that the highest share of a site with servers
// is 1. If every site fails in part, the best of them still receives all its traffic.
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

// share returns the share of s before scaling.
func (m *Monitor) share(now Time, s *site) float64 {
	if m.isolated {
		return 1
	}
	switch s.state {
	case Degraded:
		return max(1-s.evidence.failureRatio, m.cfg.First)
	case Down:
		return m.trialShare(now, s)
	case Recovering: // grows exponentially, since a queue that is too long is noticed late
		grown := s.initialShare * math.Pow(1/s.initialShare, float64(s.recoveryProgress)/float64(s.recoveryTime))
		return min(1, max(grown, m.trialShare(now, s)))
	}
	return 1
}

// trialShare returns the share of its traffic that a site receives as trials while it is down. An
// instance with little traffic would send one trial in hours with a fixed share, so it uses a
// higher one; the more peers it has, the less often it tries.
func (m *Monitor) trialShare(now Time, s *site) float64 {
	gap := time.Duration(float64(m.cfg.GroupSize) / groupTrialRate * float64(time.Second))
	gap = min(max(gap, minTrialInterval), maxTrialInterval)
	share := 1 / max(m.normalRate(now, s)*gap.Seconds(), 1/maxTrialShare)
	return max(minTrialShare, share)
}

// SiteSnapshot is the state of a site at one moment.
type SiteSnapshot struct {
	Site         string
	State        State
	Since        Time // of the state
	Share        float64
	Servers      int
	KnownServers int     // servers with enough evidence
	FailureRatio float64 // mean over those servers
	Relapses     int
	NormalRate   float64 // normal requests per second, by its number of servers
	Spilled      uint64  // requests taken over for other sites
	TurnedAway   uint64  // home requests of the site that no other site had capacity for
}

// String formats v for logs.
func (v SiteSnapshot) String() string {
	return fmt.Sprintf("%s %s, share %.2f, %d of %d servers known, failure ratio %.2f", v.Site, v.State, v.Share, v.KnownServers, v.Servers, v.FailureRatio)
}

// Snapshot returns the state of all sites in the order of preference.
func (m *Monitor) Snapshot(now Time) []SiteSnapshot {
	var all []SiteSnapshot
	for _, s := range m.byPreference {
		all = append(all, SiteSnapshot{
			s.name, s.state, s.since, m.share(now, s), s.servers, s.evidence.known, s.evidence.failureRatio, s.relapses, m.normalRate(now, s), s.spilled, s.turnedAway,
		})
	}
	return all
}

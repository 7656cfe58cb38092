package sites

import (
	"math"
	"time"
)

const (
	// burst is how many seconds of spill may come at once.
	burst = 1.0
	// leastBurst is how many requests may come at once at the least: with fewer nothing could be kept for what is worth most.
	leastBurst = 2.0
	// leastSpill is what an instance may always send to a site, in requests a second: a tablet's order must not hang on its being busy.
	leastSpill = 0.1
	// loadMemory is over how long the load is measured that counts as normal.
	loadMemory = 30 * time.Second
)

// rate measures events a second over loadMemory.
type rate struct {
	value       float64
	first, last Time
}

func (r *rate) note(now Time) {
	if gap := float64(now - r.last); r.last > 0 && gap > 0 {
		r.value *= math.Exp(-gap / float64(loadMemory))
	}
	r.value += float64(time.Second) / float64(loadMemory)
	if r.last = now; r.first == 0 {
		r.first = now
	}
}

// at is the rate. What has been seen for less than loadMemory is taken for as much as it would come to: else an instance that
// starts while a site is dark would turn nearly all away that was meant for it.
func (r *rate) at(now Time) float64 {
	if r.last == 0 {
		return 0
	}
	seen := max(float64(r.last-r.first), float64(time.Second))
	quiet := math.Exp(-float64(now-r.last) / float64(loadMemory))
	return r.value * quiet / (1 - math.Exp(-seen/float64(loadMemory)))
}

// load measures what is normal.
type load struct {
	all   rate    // requests
	fresh rate    // those of clients that have not asked before, as far as can be told
	calm  float64 // all, when no site was in trouble last; 0: that was not seen for long enough
}

// calmSeen is for how long the load must have been measured in calm time to go by it.
const calmSeen = 5 * time.Second

// settle notes that no site is in trouble.
func (l *load) settle(now Time) {
	if l.all.last-l.all.first >= calmSeen {
		l.calm = l.all.at(now)
	}
}

func (l *load) note(now Time, again bool) {
	if l.all.note(now); !again {
		l.fresh.note(now)
	}
}

// normal is how many requests a second are normal. While a site is in trouble what is turned away comes back, and neither figure
// can be trusted: with retries all is too much, and fresh is too little where many clients ask for the same and pass for one that
// asks again. So it stays as it was in calm time, unless the one proves more or the other less.
func (l *load) normal(now Time) float64 {
	if l.calm == 0 {
		return l.all.at(now)
	}
	return min(max(l.calm, l.fresh.at(now)), l.all.at(now))
}

// bucket is room for requests.
type bucket struct {
	tokens float64
	at     Time
}

// fill lets time pass, at so many tokens a second, and returns how many there are at most.
func (b *bucket) fill(now Time, perSecond float64) (most float64) {
	most = max(perSecond*burst, leastBurst)
	b.tokens = min(max(b.tokens, -most)+max(perSecond, leastSpill)*(now-b.at).Seconds(), most)
	b.at = now
	return most
}

// after returns how long it takes until a request of a weight from 0 to 1 may have a token, at so many a second: what is worth
// little stops at half of the bucket, and what is worth most overdraws it by half, which is paid back before the rest gets any.
func (b *bucket) after(now Time, perSecond, weight float64) time.Duration {
	most := b.fill(now, perSecond)
	perSecond = max(perSecond, leastSpill)
	need := 1 + (most-1)/2 - min(max(weight, 0), 1)*(most-0.5)
	if b.tokens >= need {
		return 0
	}
	return max(time.Duration((need-b.tokens)/perSecond*float64(time.Second)), time.Millisecond)
}

// rule is a Rule with what is measured of it.
type rule struct {
	Rule
	offered load
	buckets []bucket // of its tiers
}

// compile returns rules as they are used. What was measured of one that stands unchanged at its place stays.
func (m *Monitor) compile(rules []Rule) []*rule {
	all := make([]*rule, len(rules))
	for i, r := range rules {
		all[i] = &rule{Rule: r, buckets: make([]bucket, len(r.Tiers))}
		if i < len(m.rules) && len(m.rules[i].buckets) == len(r.Tiers) {
			all[i].offered = m.rules[i].offered
			copy(all[i].buckets, m.rules[i].buckets)
		}
	}
	return all
}

// rule returns the rule of requests of class and tenant, nil if there is none.
func (m *Monitor) rule(class, tenant string) *rule {
	for _, r := range m.rules {
		if r.matches(class, tenant) {
			return r
		}
	}
	return nil
}

// RecordRequest notes a request of a client, and whether it has asked before, as far as can be told. It tells how much is normal.
func (m *Monitor) RecordRequest(now Time, class, tenant string, again bool) {
	m.offered.note(now, again)
	if r := m.rule(class, tenant); r != nil {
		r.offered.note(now, again)
	}
}

// settle notes what is normal while no site is in trouble.
func (m *Monitor) settle(now Time) {
	for _, s := range m.sites {
		if s.state != Healthy || s.servers == 0 {
			return
		}
	}
	m.offered.settle(now)
	for _, r := range m.rules {
		r.offered.settle(now)
	}
}

// normal is the part of the load that is a site's by its servers, in requests a second.
func (m *Monitor) normal(now Time, s *site) float64 {
	return m.offered.normal(now) * s.places / max(m.places, 1)
}

// HomeSites returns the sites that requests of a class and tenant are meant for, nil for all that are listed, and which part of
// them is meant for sites that the list has lost. It must not be changed.
func (m *Monitor) HomeSites(class, tenant string) (sites []string, lost float64) {
	var all, gone float64
	if r := m.rule(class, tenant); r != nil {
		for _, t := range r.Tiers {
			all, gone = 0, 0
			for _, name := range t.Sites {
				if s := m.sites[name]; s != nil {
					all += s.places
					if s.servers == 0 {
						gone += s.places
					}
				}
			}
			if all > 0 {
				return t.Sites, gone / all
			}
		}
		return r.Tiers[0].Sites, 1
	}
	for _, s := range m.ranked {
		if s.servers == 0 {
			gone += s.places
		}
	}
	return nil, gone / max(m.places, 1)
}

// Spill returns the site that may take over a request which is meant for the site from, and may not go there, and counts it:
// the first in the order of preference that has room. from is empty for sites that the list has lost. Where none has room to is
// empty, and after is when one may. weight is how much the request is worth beside the most that any is, 0 to 1: what is worth
// little is turned away while half of what may spill is still there, so that what is worth most goes on to the last.
//
// A site has what is normal for it and the configured part of that more, by this instance's own load, so that the sum over
// instances is bounded by the same part of the sum, however unequal they are; but for a request each ten seconds, which one that
// sends next to nothing may always add.
func (m *Monitor) Spill(now Time, class, tenant, from string, weight float64) (to string, after time.Duration) {
	wait := time.Duration(math.MaxInt64)
	try := func(s *site, tier *bucket, most float64) bool {
		if s == nil || s.name == from || !s.mayTakeOver() {
			return false
		}
		d := s.bucket.after(now, m.room(now, s), weight)
		if tier != nil {
			d = max(d, tier.after(now, most, weight))
		}
		if d > 0 {
			wait = min(wait, d)
			return false
		}
		if tier != nil {
			tier.tokens--
		}
		s.spilled++
		to = s.name
		return true
	}
	r := m.rule(class, tenant)
	if r == nil {
		for _, s := range m.ranked {
			if try(s, nil, 0) {
				return to, 0
			}
		}
	} else {
		for i, t := range r.Tiers {
			var tier *bucket
			if i > 0 {
				tier = &r.buckets[i]
			}
			for _, name := range t.Sites {
				if try(m.sites[name], tier, t.Most*r.offered.normal(now)) {
					return to, 0
				}
			}
		}
	}
	if s := m.sites[from]; s != nil {
		s.turnedAway++
	}
	if wait == math.MaxInt64 { // nobody could take it: until one may be better
		wait = m.cfg.Hold
	}
	return "", wait
}

// mayTakeOver reports whether s may have what is meant for others: one that is dark or on its way back may not.
func (s *site) mayTakeOver() bool {
	return s.servers > 0 && (s.state == Healthy || s.state == Doubtful)
}

// room is how many requests a second s may have, its own among them, before nothing more is added to it. Of one that is doubtful
// only the part counts that does not fail: to add nothing there would turn all away that is meant for a dark site beside it.
func (m *Monitor) room(now Time, s *site) float64 {
	return (1 + m.cfg.Spill) * m.normal(now, s) * m.share(now, s)
}

// HasSpareCapacity reports whether what has been asked before may go to a site now: it has room for more than its own.
func (m *Monitor) HasSpareCapacity(now Time, to string, weight float64) bool {
	s := m.sites[to]
	return s != nil && s.mayTakeOver() && s.bucket.after(now, m.room(now, s), weight) == 0
}

// RecordAttempt notes an attempt at a server of a site. Every one counts, whatever it was meant for: what a site has of its own beyond what
// is normal, by retries of what others turned away, is not free for others.
func (m *Monitor) RecordAttempt(now Time, site string) {
	if s := m.sites[site]; s != nil {
		s.bucket.fill(now, m.room(now, s))
		s.bucket.tokens--
	}
}

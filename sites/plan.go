package sites

import (
	"math"
	"time"
)

const (
	// burstSeconds is the burst size of a bucket, in seconds of its rate.
	burstSeconds = 1.0
	// minBurst is the minimum burst size in requests. With fewer, nothing could be reserved for the
	// requests with the highest worth.
	minBurst = 2.0
	// minRefillRate is the rate that an instance may always send to a site, in requests per second,
	// so that an instance with almost no load, on a tablet for example, can still send an order.
	minRefillRate = 0.1
	// loadTimeConstant is the time constant of the moving average that measures the normal load.
	loadTimeConstant = 30 * time.Second
)

// rate is an exponentially weighted moving average of events per second, with loadTimeConstant.
type rate struct {
	value       float64
	first, last Time
}

// record counts an event.
func (r *rate) record(now Time) {
	if gap := float64(now - r.last); r.last > 0 && gap > 0 {
		r.value *= math.Exp(-gap / float64(loadTimeConstant))
	}
	r.value += float64(time.Second) / float64(loadTimeConstant)
	if r.last = now; r.first == 0 {
		r.first = now
	}
}

// perSecond returns the rate at now. A rate that was observed for less than loadTimeConstant is
// extrapolated: otherwise an instance that starts while a site is down would reject nearly all
// requests meant for it.
func (r *rate) perSecond(now Time) float64 {
	if r.last == 0 {
		return 0
	}
	seen := max(float64(r.last-r.first), float64(time.Second))
	quiet := math.Exp(-float64(now-r.last) / float64(loadTimeConstant))
	return r.value * quiet / (1 - math.Exp(-seen/float64(loadTimeConstant)))
}

// load measures the normal request rate.
type load struct {
	all        rate    // all requests
	firstTries rate    // requests that are not retries, as far as the caller can tell
	baseline   float64 // all when every site was last healthy; 0: not measured for long enough
}

// minBaselineWindow is the minimum time of measurement before a baseline is set.
const minBaselineWindow = 5 * time.Second

// updateBaseline sets the baseline. It must be called only while all sites are healthy.
func (l *load) updateBaseline(now Time) {
	if l.all.last-l.all.first >= minBaselineWindow {
		l.baseline = l.all.perSecond(now)
	}
}

// record counts a request; again marks a retry.
func (l *load) record(now Time, again bool) {
	if l.all.record(now); !again {
		l.firstTries.record(now)
	}
}

// normalRate returns the normal load in requests per second. While a site fails, rejected requests
// are retried and neither measurement can be trusted: all includes the retries, and firstTries is
// too low where many clients ask for the same thing and look like one client that retries. The
// result therefore is the baseline, unless firstTries is higher or all is lower.
func (l *load) normalRate(now Time) float64 {
	if l.baseline == 0 {
		return l.all.perSecond(now)
	}
	return min(max(l.baseline, l.firstTries.perSecond(now)), l.all.perSecond(now))
}

// bucket is a token bucket for requests.
type bucket struct {
	tokens    float64
	updatedAt Time
}

// refill adds the tokens of the time until now, at perSecond, and returns the bucket's size.
func (b *bucket) refill(now Time, perSecond float64) (size float64) {
	size = max(perSecond*burstSeconds, minBurst)
	b.tokens = min(max(b.tokens, -size)+max(perSecond, minRefillRate)*(now-b.updatedAt).Seconds(), size)
	b.updatedAt = now
	return size
}

// delay returns the time until a request of the given weight, from 0 to 1, may take a token, or 0.
// A request of weight 0 leaves half of the bucket untouched. One of weight 1 may overdraw the
// bucket by half, and the debt is paid back before other requests get tokens.
func (b *bucket) delay(now Time, perSecond, weight float64) time.Duration {
	size := b.refill(now, perSecond)
	perSecond = max(perSecond, minRefillRate)
	need := 1 + (size-1)/2 - min(max(weight, 0), 1)*(size-0.5)
	if b.tokens >= need {
		return 0
	}
	return max(time.Duration((need-b.tokens)/perSecond*float64(time.Second)), time.Millisecond)
}

// rule is a Rule with its measured load.
type rule struct {
	Rule
	offered load
	buckets []bucket // one per tier
}

// compileRules returns the runtime form of rules. A rule takes over the measurements of the
// previous rule at its index if that has the same number of tiers.
func (m *Monitor) compileRules(rules []Rule) []*rule {
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

// findRule returns the rule that applies to requests of class and tenant, or nil.
func (m *Monitor) findRule(class, tenant string) *rule {
	for _, r := range m.rules {
		if r.matches(class, tenant) {
			return r
		}
	}
	return nil
}

// RecordRequest records a request of a client. again reports whether it is a retry, as far as the
// caller can tell. Recorded requests determine the normal load.
func (m *Monitor) RecordRequest(now Time, class, tenant string, again bool) {
	m.offered.record(now, again)
	if r := m.findRule(class, tenant); r != nil {
		r.offered.record(now, again)
	}
}

// updateBaselines updates the baseline loads if all sites are healthy.
func (m *Monitor) updateBaselines(now Time) {
	for _, s := range m.sites {
		if s.state != Healthy || s.servers == 0 {
			return
		}
	}
	m.offered.updateBaseline(now)
	for _, r := range m.rules {
		r.offered.updateBaseline(now)
	}
}

// normalRate returns the part of the normal load that falls to s by its number of servers, in
// requests per second.
func (m *Monitor) normalRate(now Time, s *site) float64 {
	return m.offered.normalRate(now) * s.effectiveServers / max(m.effectiveServers, 1)
}

// HomeSites returns the home sites of requests of class and tenant, nil for all listed sites, and
// the fraction of the requests whose home is a site that is no longer listed. The caller must not
// modify the slice.
func (m *Monitor) HomeSites(class, tenant string) (sites []string, lost float64) {
	var all, gone float64
	if r := m.findRule(class, tenant); r != nil {
		for _, t := range r.Tiers {
			all, gone = 0, 0
			for _, name := range t.Sites {
				if s := m.sites[name]; s != nil {
					all += s.effectiveServers
					if s.servers == 0 {
						gone += s.effectiveServers
					}
				}
			}
			if all > 0 {
				return t.Sites, gone / all
			}
		}
		return r.Tiers[0].Sites, 1
	}
	for _, s := range m.byPreference {
		if s.servers == 0 {
			gone += s.effectiveServers
		}
	}
	return nil, gone / max(m.effectiveServers, 1)
}

// Spill selects the site that takes over a request which its home site from may not receive, and
// counts the request: the first site in the order of preference that has capacity. from is empty
// for home sites that are no longer listed. If no site has capacity, to is empty and after is the
// time until one may have it. weight is the worth of the request relative to the highest worth of
// any, from 0 to 1. Requests of low weight are rejected while half of the spill capacity is still
// free, so that it lasts for those of high weight.
//
// The capacity of a site is its normal load and the fraction Spill of that, measured by this
// instance's own load. So the sum over all instances stays within the same fraction of their total
// load, however unequal they are. The exception is one request per ten seconds, which even an
// instance with almost no load may always add.
func (m *Monitor) Spill(now Time, class, tenant, from string, weight float64) (to string, after time.Duration) {
	wait := time.Duration(math.MaxInt64)
	try := func(s *site, tier *bucket, tierRate float64) bool {
		if s == nil || s.name == from || !s.acceptsSpill() {
			return false
		}
		d := s.bucket.delay(now, m.maxRate(now, s), weight)
		if tier != nil {
			d = max(d, tier.delay(now, tierRate, weight))
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
	r := m.findRule(class, tenant)
	if r == nil {
		for _, s := range m.byPreference {
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
				if try(m.sites[name], tier, t.Most*r.offered.normalRate(now)) {
					return to, 0
				}
			}
		}
	}
	if s := m.sites[from]; s != nil {
		s.turnedAway++
	}
	if wait == math.MaxInt64 { // no site accepts spill: one may after Hold
		wait = m.cfg.Hold
	}
	return "", wait
}

// acceptsSpill reports whether s may take over requests of other sites. A site that is down or
// recovering may not.
func (s *site) acceptsSpill() bool {
	return s.servers > 0 && (s.state == Healthy || s.state == Degraded)
}

// maxRate returns the rate, in requests per second and including the site's own, up to which s
// takes over requests. For a degraded site it is reduced to the share that doesn't fail; with no
// spill at all to a degraded site, everything meant for a second site that is down would be
// rejected.
func (m *Monitor) maxRate(now Time, s *site) float64 {
	return (1 + m.cfg.Spill) * m.normalRate(now, s) * m.share(now, s)
}

// HasSpareCapacity reports whether a further attempt of a request may go to a site now, which is
// the case if the site has capacity beyond its own load.
func (m *Monitor) HasSpareCapacity(now Time, to string, weight float64) bool {
	s := m.sites[to]
	return s != nil && s.acceptsSpill() && s.bucket.delay(now, m.maxRate(now, s), weight) == 0
}

// RecordAttempt records an attempt at a server of a site. It counts every attempt, whatever its
// home site: retries of rejected requests raise a site's own load above normal, and leave less
// capacity for the requests of other sites.
func (m *Monitor) RecordAttempt(now Time, site string) {
	if s := m.sites[site]; s != nil {
		s.bucket.refill(now, m.maxRate(now, s))
		s.bucket.tokens--
	}
}

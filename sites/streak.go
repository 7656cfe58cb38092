package sites

import (
	"math"
	"slices"
	"time"
)

const (
	// minStreak and maxStreak bound the number of consecutive failures from which on a site counts
	// as down. Between them it is the number that occurs by chance, at the site's usual failure
	// rate, with the probability falsePositiveRate.
	minStreak, maxStreak = 4, 20
	falsePositiveRate    = 0.001
	// minStreakServers is the number of servers that the failures must come from, if the site has
	// as many: a single faulty server doesn't make a site count as down.
	minStreakServers = 3
	// streakTimeout is the maximum time since the last outcome of a streak.
	streakTimeout = time.Minute
	// failureRateWeight is the weight of a new outcome in the usual failure rate.
	failureRateWeight = 1.0 / 32
)

// streak counts a site's consecutive failures. It serves instances whose traffic is too low for
// decaying sums: such an instance reaches a few servers of a site, each a few times per minute.
type streak struct {
	failures    int      // since the last success
	servers     []string // servers that failed, at most minStreakServers
	last        Time     // time of the last outcome
	failureRate float64  // usual fraction of failures
}

// record records the outcome of an attempt or probe.
func (s *streak) record(now Time, server string, ok bool) {
	if now-s.last > streakTimeout {
		s.clear()
	}
	s.last = now
	if !ok {
		s.failures = min(s.failures+1, maxStreak)
		if len(s.servers) < minStreakServers && !slices.Contains(s.servers, server) {
			s.servers = append(s.servers, server)
		}
		return
	}
	for range s.failures { // the streak has ended, so its failures are usual ones
		s.failureRate += failureRateWeight * (1 - s.failureRate)
	}
	s.failureRate -= failureRateWeight * s.failureRate
	s.clear()
}

// clear ends the streak.
func (s *streak) clear() { s.failures, s.servers = 0, s.servers[:0] }

// indicatesDown reports whether the streak shows that a site with that number of servers is down.
func (s *streak) indicatesDown(now Time, servers int) bool {
	if s.failures < minStreak || now-s.last > streakTimeout || len(s.servers) < min(minStreakServers, servers) {
		return false
	}
	need := maxStreak
	if s.failureRate < 0.7 {
		need = min(max(int(math.Ceil(math.Log(falsePositiveRate)/math.Log(max(s.failureRate, 0.01)))), minStreak), maxStreak)
	}
	return s.failures >= need
}

package members

import (
	"math"
	"time"
)

// Sharing decides by how many processes that is divided which all may do together: probes, connections, what a cold server or another
// site bears. It has no clock.
//
// The number follows those who live at once where they are more, which makes each one more careful. Where they are fewer it falls by half
// in Fall at most, and never below Group divided by Bolder: so that a split, in which each part believes that it is alone, makes nobody
// take more than Bolder times his share by the settings.
type GroupEstimator struct {
	Configured     int           // by the settings; at least 1
	MaxShareFactor float64       // at least 1
	HalfLife       time.Duration // above 0

	at    time.Duration
	value float64
}

// Next returns the number, given how many live at present. Times must not go back.
func (s *GroupEstimator) Update(now time.Duration, living int) int {
	if s.value == 0 {
		s.value, s.at = float64(s.Configured), now
	}
	fallen := s.value * math.Exp2(-float64(max(now-s.at, 0))/float64(s.HalfLife))
	s.at = now
	least := math.Ceil(float64(s.Configured) / max(s.MaxShareFactor, 1))
	s.value = max(fallen, float64(living), least, 1)
	return int(math.Ceil(s.value - 1e-9))
}

// Number is the place of a process that has the place ordinal of group by the settings, where it is one of now. Others may have the
// same: it only spreads them.
func ScaleOrdinal(ordinal, group, now int) int {
	if now >= group {
		return ordinal
	}
	return ordinal * now / max(group, 1)
}

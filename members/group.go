package members

import (
	"math"
	"time"
)

// GroupEstimator estimates the number of processes that share fleet-wide limits: probes,
// connections, and the load on a cold server or another site. It has no clock.
//
// The estimate follows an increase of live processes at once, which makes each one more careful. It
// falls by at most half per HalfLife, and never below Configured/MaxShareFactor. So a network
// split, in which each part believes that it is alone, lets no process use more than MaxShareFactor
// times its configured share.
type GroupEstimator struct {
	Configured     int           // the configured number of processes; at least 1
	MaxShareFactor float64       // at least 1
	HalfLife       time.Duration // above 0

	updatedAt time.Duration
	value     float64
}

// Update returns the estimate for the current number of live processes. Times must not decrease.
func (e *GroupEstimator) Update(now time.Duration, live int) int {
	if e.value == 0 {
		e.value, e.updatedAt = float64(e.Configured), now
	}
	decayed := e.value * math.Exp2(-float64(max(now-e.updatedAt, 0))/float64(e.HalfLife))
	e.updatedAt = now
	minimum := math.Ceil(float64(e.Configured) / max(e.MaxShareFactor, 1))
	e.value = max(decayed, float64(live), minimum, 1)
	return int(math.Ceil(e.value - 1e-9))
}

// ScaleOrdinal maps a process's ordinal in a configured group to a group of now processes. The
// results need not be unique: they only spread the processes.
func ScaleOrdinal(ordinal, group, size int) int {
	if size >= group {
		return ordinal
	}
	return ordinal * size / max(group, 1)
}

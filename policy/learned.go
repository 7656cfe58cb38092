package policy

import (
	"math"
	"time"
)

// Learned is the part of a Balancer's estimates that stays valid for a successor process: how the
// delay of answers depends on queues, how servers differ, and how much traffic there is. Marks,
// reports and thresholds are excluded because they would be too old by then. It is stored as JSON
// under the field names or tags given here.
type Learned struct {
	Queue, Delay, Variance, Covariance float64       // regression of delay on queue depth
	Busy                               float64       // share of probes that found a waiting request
	Gap                                time.Duration // between requests
	MaxReadySet                        int           `json:"MostSet"` // for the traffic
	Slowness                           map[ServerID]float64
	Ejected                            map[ServerID]time.Duration // remaining time of the ejection
	UsualTryTime                       map[string]time.Duration   `json:"Usual"` // by class
}

// Learned returns the estimates of b for a successor.
func (b *Balancer) Learned(now Time) Learned {
	l := Learned{
		Queue: b.delay.queue, Delay: b.delay.delay, Variance: b.delay.variance, Covariance: b.delay.covariance, Busy: b.busyShare,
		Gap: time.Duration(b.requestGap), MaxReadySet: b.maxSetSize, Slowness: map[ServerID]float64{}, Ejected: map[ServerID]time.Duration{},
		UsualTryTime: map[string]time.Duration{},
	}
	for id, s := range b.servers {
		l.Slowness[id] = s.slowness
		if s.ejectedUntil > now {
			l.Ejected[id] = s.ejectedUntil - now
		}
	}
	for name, c := range b.classes {
		if c.usualVotes >= minVotes {
			l.UsualTryTime[name] = c.usualTryTime
		}
	}
	return l
}

// Restore makes b start with the estimates of another Balancer. It guards against a start in the
// middle of an overload: without a known delay a Balancer refuses nothing until the first answers
// are late, and then considers all servers slow. Values out of range are left out, and the others
// are corrected by later observations, as if b had learned them itself.
func (b *Balancer) Restore(now Time, l Learned) {
	inRange := func(limit float64, values ...float64) bool {
		for _, f := range values {
			if !(f >= 0 && f <= limit) {
				return false
			}
		}
		return true
	}
	if hour := float64(time.Hour); inRange(hour, l.Queue, l.Delay, l.Variance) && math.Abs(l.Covariance) <= hour*hour {
		b.delay = delayModel{l.Queue, l.Delay, l.Variance, l.Covariance}
	}
	if inRange(1, l.Busy) {
		b.busyShare = l.Busy
	}
	if inRange(float64(time.Second), float64(l.Gap)) && l.Gap > 0 {
		b.requestGap = float64(l.Gap)
	}
	b.maxSetSize = min(max(l.MaxReadySet, defaultReadySet), 1000)
	for id, s := range b.servers {
		if f, ok := l.Slowness[id]; ok && inRange(maxSlowness, f) {
			s.slowness = max(f, 1.0/maxSlowness)
		}
		if left := l.Ejected[id]; left > 0 {
			s.ejectedUntil = now + min(left, max(b.cfg.Ramp, firstEjection))
		}
	}
	for name, c := range b.classes {
		if usual := l.UsualTryTime[name]; usual > 0 && usual <= c.Deadline {
			c.usualTryTime, c.usualVotes = usual, minVotes
		}
	}
	b.rebuildReadySet()
}

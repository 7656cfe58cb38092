package policy

import (
	"math"
	"time"
)

// Learned is what a Balancer has learnt that holds for whoever takes its place: how answers depend on queues, how machines
// differ, how much traffic there is. Marks, reports and thresholds are not of it: they are older than they may be.
type Learned struct {
	Queue, Delay, Variance, Covariance float64       // the line of delay by depth
	Busy                               float64       // share of probes that found a request waiting
	Gap                                time.Duration // between requests
	MaxReadySet                        int           `json:"MostSet"`
	Slowness                           map[ServerID]float64
	Ejected                            map[ServerID]time.Duration // how much longer
	UsualTryTime                       map[string]time.Duration   `json:"Usual"` // the usual time of a try, by class
}

// Learned returns what b has learnt by now.
func (b *Balancer) Learned(now Time) Learned {
	l := Learned{
		Queue: b.delay.queue, Delay: b.delay.delay, Variance: b.delay.variance, Covariance: b.delay.covariance, Busy: b.busy,
		Gap: time.Duration(b.gap), MaxReadySet: b.mostSet, Slowness: map[ServerID]float64{}, Ejected: map[ServerID]time.Duration{},
		UsualTryTime: map[string]time.Duration{},
	}
	for id, s := range b.servers {
		l.Slowness[id] = s.slowness
		if s.ejected > now {
			l.Ejected[id] = s.ejected - now
		}
	}
	for name, c := range b.classes {
		if c.votes >= minVotes {
			l.UsualTryTime[name] = c.usual
		}
	}
	return l
}

// Restore has b begin with what another one had learnt. It guards against a start in the middle of an overload, where a
// Balancer that knows of no delay refuses nothing until the first answers are late, and then holds all servers for slow. What
// cannot be is left out; the rest is put right by what is learnt from then on, as it would be had b learnt it itself.
func (b *Balancer) Restore(now Time, l Learned) {
	sound := func(most float64, figures ...float64) bool {
		for _, f := range figures {
			if !(f >= 0 && f <= most) {
				return false
			}
		}
		return true
	}
	if hour := float64(time.Hour); sound(hour, l.Queue, l.Delay, l.Variance) && math.Abs(l.Covariance) <= hour*hour {
		b.delay = delayModel{l.Queue, l.Delay, l.Variance, l.Covariance}
	}
	if sound(1, l.Busy) {
		b.busy = l.Busy
	}
	if sound(float64(time.Second), float64(l.Gap)) && l.Gap > 0 {
		b.gap = float64(l.Gap)
	}
	b.mostSet = min(max(l.MaxReadySet, usualReadySet), 1000)
	for id, s := range b.servers {
		if f, ok := l.Slowness[id]; ok && sound(mostSlowness, f) {
			s.slowness = max(f, 1.0/mostSlowness)
		}
		if left := l.Ejected[id]; left > 0 {
			s.ejected = now + min(left, max(b.cfg.Ramp, firstEject))
		}
	}
	for name, c := range b.classes {
		if usual := l.UsualTryTime[name]; usual > 0 && usual <= c.Deadline {
			c.usual, c.votes = usual, minVotes
		}
	}
	b.rebuild()
}

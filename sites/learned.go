package sites

import (
	"math"
	"time"
)

// Learned is what a Monitor has learnt that holds for whoever takes its place. Evidence is not of it: it is older than it may be.
type Learned struct {
	RequestRate float64 `json:"Offered"` // requests a second
	Sites       []LearnedSite
}

// LearnedSite is what is held of one site.
type LearnedSite struct {
	Site             string
	State            State
	StateAge         time.Duration `json:"For"`     // since it is so
	EffectiveServers float64       `json:"Servers"` // whose traffic is held to be its own
	InitialShare     float64       `json:"From"`    // the share with which the present climb began
	RecoveryProgress time.Duration `json:"Climbed"`
	RecoveryTime     time.Duration `json:"Climb"`
	Relapses         int
}

// Learned returns what m has learnt by now.
func (m *Monitor) Learned(now Time) Learned {
	all := Learned{RequestRate: m.offered.normal(now)}
	for _, name := range m.names {
		s := m.sites[name]
		all.Sites = append(all.Sites, LearnedSite{s.name, s.state, now - s.since, s.places, s.from, s.climbed, s.climb, s.relapses})
	}
	return all
}

// Restore has m begin with what another one had learnt. It guards against a rush by an instance that starts while a site is dark
// or returns. What cannot be is left out: sites that are not listed, states that there are not, figures out of range.
func (m *Monitor) Restore(now Time, from Learned) {
	if o := from.RequestRate; o > 0 && o < 1e6 {
		r := rate{value: o, first: now - 10*loadMemory, last: now}
		m.offered = load{all: r, fresh: r, calm: o}
	}
	for _, v := range from.Sites {
		s := m.sites[v.Site]
		if s == nil || v.State < Healthy || v.State > Recovering || v.StateAge < 0 || !(v.InitialShare >= 0 && v.InitialShare <= 1) ||
			v.RecoveryTime < time.Second || v.RecoveryTime > m.cfg.MaxRecoveryTime || v.RecoveryProgress < 0 || v.Relapses < 0 || math.IsNaN(v.EffectiveServers) {
			continue
		}
		s.state, s.since = v.State, now-min(v.StateAge, 24*time.Hour)
		s.from, s.climb, s.climbed = max(v.InitialShare, trialShare), v.RecoveryTime, min(v.RecoveryProgress, v.RecoveryTime)
		s.relapses = min(v.Relapses, 20)
	}
}

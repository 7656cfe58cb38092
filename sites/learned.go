package sites

import (
	"math"
	"time"
)

// Learned is the state that a Monitor hands over to its successor, in memory or as JSON. It
// excludes evidence, which would be too old to use. The JSON names of the fields must not change,
// because the two processes may run different versions.
type Learned struct {
	RequestRate float64 `json:"Offered"` // normal requests per second
	Sites       []LearnedSite
}

// LearnedSite is the state of one site that a Monitor hands over.
type LearnedSite struct {
	Site             string
	State            State
	StateAge         time.Duration `json:"For"`     // time since the last change of state
	EffectiveServers float64       `json:"Servers"` // servers whose load is attributed to the site
	InitialShare     float64       `json:"From"`    // share at the start of the current recovery
	RecoveryProgress time.Duration `json:"Climbed"` // completed part of RecoveryTime
	RecoveryTime     time.Duration `json:"Climb"`   // total duration of the current recovery
	Relapses         int
}

// Learned returns the state that m hands over to its successor.
func (m *Monitor) Learned(now Time) Learned {
	all := Learned{RequestRate: m.offered.normalRate(now)}
	for _, name := range m.siteNames {
		s := m.sites[name]
		all.Sites = append(all.Sites, LearnedSite{s.name, s.state, now - s.since, s.effectiveServers, s.initialShare, s.recoveryProgress, s.recoveryTime, s.relapses})
	}
	return all
}

// Restore makes m continue from the state of another Monitor, so that an instance which starts
// while a site is down or recovering doesn't send it a surge of requests. Entries for unlisted
// sites, with unknown states or with values out of range are ignored.
func (m *Monitor) Restore(now Time, from Learned) {
	if o := from.RequestRate; o > 0 && o < 1e6 {
		r := rate{value: o, first: now - 10*loadTimeConstant, last: now}
		m.offered = load{all: r, firstTries: r, baseline: o}
	}
	for _, v := range from.Sites {
		s := m.sites[v.Site]
		if s == nil || v.State < Healthy || v.State > Recovering || v.StateAge < 0 || !(v.InitialShare >= 0 && v.InitialShare <= 1) ||
			v.RecoveryTime < time.Second || v.RecoveryTime > m.cfg.MostClimb || v.RecoveryProgress < 0 || v.Relapses < 0 || math.IsNaN(v.EffectiveServers) {
			continue
		}
		s.state, s.since = v.State, now-min(v.StateAge, 24*time.Hour)
		s.initialShare, s.recoveryTime, s.recoveryProgress = max(v.InitialShare, minTrialShare), v.RecoveryTime, min(v.RecoveryProgress, v.RecoveryTime)
		s.relapses = min(v.Relapses, 20)
	}
}

// Package sites decides how much of the traffic a site may take: what befalls its servers makes it doubtful or dark, what
// is answered again lets it return by degrees, and what other sites take over for it is bounded. Which server of a site
// takes a request is not its to say.
//
// It is a pure state machine: the host tells it what happens, and when; it starts nothing, reads no clock and draws no
// random numbers, so that equal events give equal shares. docs/design/sites.md weighs the ways.
package sites

import (
	"fmt"
	"strings"
	"time"
)

// Config bounds a Monitor. Zero values take the defaults.
type Config struct {
	// Prefer is the order in which sites take over for others: the first that has room gets a request. Sites that it does not
	// name come last, in the order of their names.
	Prefer []string
	// Rules say which sites requests are meant for, by class and tenant; the first that matches holds. Requests that none
	// matches are meant for all sites alike. At most 64.
	Rules []Rule
	// DegradedThreshold and DownThreshold are the parts of a site's servers that fail from which on it is doubtful or dark; 0.3 and 0.7. HealthyThreshold
	// is the part below which it is neither; 0.15. It lies under DegradedThreshold, so that a load at the bound does not swing it.
	HealthyThreshold, DegradedThreshold, DownThreshold float64
	// EvidenceHalfLife is how long evidence keeps half its weight; 1 s. HoldTime is how long a site stays as it is before it may get
	// better; 3 s.
	EvidenceHalfLife, HoldTime time.Duration
	// InitialShare is the share of its traffic with which a dark site begins to return; 0.05. Climb is how long it takes to all of
	// it; 20 s. A relapse halves the one and doubles the other, up to MostClimb; 5 min.
	InitialShare                  float64
	RecoveryTime, MaxRecoveryTime time.Duration
	// MaxSpill is how much of a site's normal load may be added to it for others, as a part of that; 0.5.
	MaxSpill float64
	// LostSiteHalfLife is how long the traffic of a site that the list has lost keeps half its weight as that site's; 2 min. Until then the
	// others take it over within Spill only; a site that is closed for good becomes the others' normal load over it.
	LostSiteHalfLife time.Duration
	// MaxImprovements bounds how often a minute a site may change its state for the better; 6.
	MaxImprovements int
	// Ordinal and GroupSize are this instance's number among its peers: peers step at other moments, and share out the
	// trials of a dark site.
	Ordinal, GroupSize int
}

// Rule says for requests of some classes and tenants which sites they are meant for.
type Rule struct {
	Classes []string // by name; empty: of all
	Tenants []string // by name, or by what it begins with and a final "*"; empty: of all
	Tiers   []Tier   // the most preferred first; sites that no tier names never get such requests. At most 16
}

// Tier is a set of sites of one preference.
type Tier struct {
	Sites []string
	// MaxShare is the part of the rule's requests that may go to this tier for those before it; 1. The first tier has none.
	MaxShare float64
}

const (
	mostRules, mostTiers = 64, 16
	// mostNames bounds the names that a rule lists of classes, tenants and sites each.
	mostNames = 1024
)

func (c Config) withDefaults() (Config, error) {
	usual := func(v *float64, d float64) {
		if *v == 0 {
			*v = d
		}
	}
	lasting := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	usual(&c.HealthyThreshold, 0.15)
	usual(&c.DegradedThreshold, 0.3)
	usual(&c.DownThreshold, 0.7)
	usual(&c.InitialShare, 0.05)
	usual(&c.MaxSpill, 0.5)
	lasting(&c.EvidenceHalfLife, time.Second)
	lasting(&c.HoldTime, 3*time.Second)
	lasting(&c.RecoveryTime, 20*time.Second)
	lasting(&c.MaxRecoveryTime, 5*time.Minute)
	lasting(&c.LostSiteHalfLife, 2*time.Minute)
	if c.MaxImprovements == 0 {
		c.MaxImprovements = 6
	}
	if c.GroupSize == 0 {
		c.GroupSize = 1
	}
	wrong := func(field, format string, args ...any) (Config, error) {
		return Config{}, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
	if i, s := repeated(c.Prefer); i >= 0 {
		return wrong(fmt.Sprintf("prefer[%d]", i), "%q is empty or there twice", s)
	}
	switch {
	case !(c.HealthyThreshold > 0 && c.HealthyThreshold < c.DegradedThreshold):
		return wrong("clear", "%v is outside 0 to doubt, which is %v", c.HealthyThreshold, c.DegradedThreshold)
	case !(c.DegradedThreshold < c.DownThreshold):
		return wrong("doubt", "%v is not below dark, which is %v", c.DegradedThreshold, c.DownThreshold)
	case !(c.DownThreshold <= 1):
		return wrong("dark", "%v is above 1", c.DownThreshold)
	case !(c.InitialShare > 0 && c.InitialShare <= 1):
		return wrong("first", "%v is outside 0 to 1", c.InitialShare)
	case !(c.MaxSpill >= 0 && c.MaxSpill <= 10):
		return wrong("spill", "%v is outside 0 to 10", c.MaxSpill)
	case c.EvidenceHalfLife < 100*time.Millisecond || c.EvidenceHalfLife > time.Minute:
		return wrong("memory", "%v is outside 100ms to 1m", c.EvidenceHalfLife)
	case c.HoldTime < 0 || c.HoldTime > time.Hour:
		return wrong("hold", "%v is outside 0 to 1h", c.HoldTime)
	case c.RecoveryTime < time.Second || c.RecoveryTime > c.MaxRecoveryTime:
		return wrong("climb", "%v is outside 1s to most_climb, which is %v", c.RecoveryTime, c.MaxRecoveryTime)
	case c.MaxRecoveryTime > 24*time.Hour:
		return wrong("most_climb", "%v is above 24h", c.MaxRecoveryTime)
	case c.LostSiteHalfLife < time.Second || c.LostSiteHalfLife > 24*time.Hour:
		return wrong("fade", "%v is outside 1s to 24h", c.LostSiteHalfLife)
	case c.MaxImprovements < 1:
		return wrong("changes", "%d is below 1", c.MaxImprovements)
	case c.GroupSize < 1 || c.Ordinal < 0 || c.Ordinal >= c.GroupSize:
		return wrong("ordinal", "%d is outside the %d instances", c.Ordinal, c.GroupSize)
	case len(c.Rules) > mostRules:
		return wrong("rules", "%d of them, at most %d may be", len(c.Rules), mostRules)
	}
	rules := make([]Rule, len(c.Rules)) // the caller's stay as they are
	for i, r := range c.Rules {
		if field, err := r.check(); err != nil {
			return wrong(fmt.Sprintf("rules[%d].%s", i, field), "%v", err)
		}
		for j := range i {
			if c.Rules[j].covers(r) {
				return wrong(fmt.Sprintf("rules[%d]", i), "it is never reached: rules[%d] matches all that it does", j)
			}
		}
		rules[i] = Rule{Classes: r.Classes, Tenants: r.Tenants, Tiers: make([]Tier, len(r.Tiers))}
		for j, t := range r.Tiers {
			usual(&t.MaxShare, 1)
			rules[i].Tiers[j] = t
		}
	}
	c.Rules = rules
	return c, nil
}

// check returns what of r is wrong, and its field.
func (r Rule) check() (field string, err error) {
	for _, names := range []struct {
		field string
		list  []string
	}{{"classes", r.Classes}, {"tenants", r.Tenants}} {
		if i, s := repeated(names.list); i >= 0 {
			return fmt.Sprintf("%s[%d]", names.field, i), fmt.Errorf("%q is empty or there twice", s)
		}
		if len(names.list) > mostNames {
			return names.field, fmt.Errorf("%d names, at most %d may be", len(names.list), mostNames)
		}
	}
	for i, t := range r.Tenants {
		if strings.Contains(strings.TrimSuffix(t, "*"), "*") {
			return fmt.Sprintf("tenants[%d]", i), fmt.Errorf("%q has a * before its end", t)
		}
	}
	if len(r.Tiers) == 0 || len(r.Tiers) > mostTiers {
		return "tiers", fmt.Errorf("%d of them, outside 1 to %d", len(r.Tiers), mostTiers)
	}
	var all []string
	for i, t := range r.Tiers {
		at := fmt.Sprintf("tiers[%d]", i)
		switch {
		case len(t.Sites) == 0 || len(t.Sites) > mostNames:
			return at + ".sites", fmt.Errorf("%d sites, outside 1 to %d", len(t.Sites), mostNames)
		case !(t.MaxShare >= 0 && t.MaxShare <= 1):
			return at + ".most", fmt.Errorf("%v is outside 0 to 1", t.MaxShare)
		case i == 0 && t.MaxShare != 0:
			return at + ".most", fmt.Errorf("the first tier takes what is meant for it, and has no bound")
		}
		all = append(all, t.Sites...)
		if j, s := repeated(all); j >= 0 {
			return at + ".sites", fmt.Errorf("%q is empty or there twice", s)
		}
	}
	return "", nil
}

// matches reports whether requests of class and tenant are r's.
func (r Rule) matches(class, tenant string) bool {
	return named(r.Classes, class) && held(r.Tenants, tenant)
}

// covers reports whether r matches whatever other does.
func (r Rule) covers(other Rule) bool {
	for _, c := range other.Classes {
		if !named(r.Classes, c) {
			return false
		}
	}
	for _, t := range other.Tenants {
		if !held(r.Tenants, t) { // a pattern is held by one that is as wide
			return false
		}
	}
	return (len(r.Classes) == 0 || len(other.Classes) > 0) && (len(r.Tenants) == 0 || len(other.Tenants) > 0)
}

func named(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return len(list) == 0
}

func held(patterns []string, name string) bool {
	for _, p := range patterns {
		if begin, open := strings.CutSuffix(p, "*"); p == name || open && strings.HasPrefix(name, begin) {
			return true
		}
	}
	return len(patterns) == 0
}

// repeated returns the first name that is empty or stands in list before, and its place; -1 if there is none.
func repeated(list []string) (int, string) {
	seen := make(map[string]bool, len(list))
	for i, s := range list {
		if s == "" || seen[s] {
			return i, s
		}
		seen[s] = true
	}
	return -1, ""
}

// Check returns an error that names the field of c at fault, if there is one.
func (c Config) Check() error {
	_, err := c.withDefaults()
	return err
}

// Package sites decides which share of its traffic each site receives. Failures of a site's servers
// make the site degraded or down, answered trials let its share grow back step by step, and the
// load that other sites take over for it is bounded. The package doesn't choose the server within
// a site.
//
// A Monitor is a pure state machine: the caller passes in events with their time. It starts no
// goroutines, reads no clock and draws no random numbers, so equal events give equal shares.
// docs/design/sites.md compares the alternatives.
package sites

import (
	"fmt"
	"strings"
	"time"
)

// Config configures a Monitor. Zero values take the defaults. Error messages name a field by its
// key in the operator's file, which the field's comment gives in parentheses where it differs.
type Config struct {
	// Prefer is the order in which sites take over for others: the first with spare capacity gets
	// the request. Sites that it doesn't name follow in the order of their names.
	Prefer []string
	// Rules assign home sites to requests by class and tenant; the first match applies. The home of
	// a request that no rule matches is every site. At most 64 rules.
	Rules []Rule
	// A site is degraded from DegradedThreshold (doubt; default 0.3) and down from DownThreshold
	// (dark; default 0.7) on, each a fraction of its servers that fails. Below HealthyThreshold
	// (clear; default 0.15) it is neither. HealthyThreshold is less than DegradedThreshold, so that
	// a load around the limit doesn't make the site flap.
	HealthyThreshold, DegradedThreshold, DownThreshold float64
	// EvidenceHalfLife (memory; default 1 s) is the half-life of the weight of an outcome. HoldTime
	// (hold; default 3 s) is how long a site keeps its state before it may change to a better one.
	EvidenceHalfLife, HoldTime time.Duration
	// InitialShare (first; default 0.05) is the share of its traffic with which a site that was
	// down starts to recover. RecoveryTime (climb; default 20 s) is the time from there to its full
	// share. Each relapse halves the former and doubles the latter, up to MaxRecoveryTime
	// (most_climb; default 5 min).
	InitialShare                  float64
	RecoveryTime, MaxRecoveryTime time.Duration
	// MaxSpill (spill; default 0.5) limits the requests that a site takes over for others, as a
	// fraction of its normal load.
	MaxSpill float64
	// LostSiteHalfLife (fade; default 2 min) is the half-life of the load attributed to a site that
	// is no longer listed. The other sites take over attributed load within MaxSpill only; the load
	// of a site that is closed for good becomes their normal load as the attribution decays.
	LostSiteHalfLife time.Duration
	// MaxImprovements (changes; default 6) limits how often per minute a site may change to a
	// better state.
	MaxImprovements int
	// Ordinal and GroupSize are the number of this instance among its peers and their count. Peers
	// change states at different times and share the trials of a site that is down.
	Ordinal, GroupSize int
}

// Rule assigns home sites to the requests of some classes and tenants.
type Rule struct {
	Classes []string // names; empty matches all
	Tenants []string // names, or prefixes that end in "*"; empty matches all
	Tiers   []Tier   // most preferred first, at most 16; other sites never get the requests
}

// Tier is a set of sites with the same preference.
type Tier struct {
	Sites []string
	// MaxShare (most; default 1) is the fraction of the rule's requests that may spill from earlier
	// tiers to this one. It must not be set for the first tier.
	MaxShare float64
}

const (
	maxRules, maxTiers = 64, 16
	// maxNames limits the classes and the tenants of a rule, and the sites of a tier.
	maxNames = 1024
)

// withDefaults returns c with its defaults filled in, or an error that names the first invalid
// field.
func (c Config) withDefaults() (Config, error) {
	setDefault := func(v *float64, d float64) {
		if *v == 0 {
			*v = d
		}
	}
	setDefaultDuration := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	setDefault(&c.HealthyThreshold, 0.15)
	setDefault(&c.DegradedThreshold, 0.3)
	setDefault(&c.DownThreshold, 0.7)
	setDefault(&c.InitialShare, 0.05)
	setDefault(&c.MaxSpill, 0.5)
	setDefaultDuration(&c.EvidenceHalfLife, time.Second)
	setDefaultDuration(&c.HoldTime, 3*time.Second)
	setDefaultDuration(&c.RecoveryTime, 20*time.Second)
	setDefaultDuration(&c.MaxRecoveryTime, 5*time.Minute)
	setDefaultDuration(&c.LostSiteHalfLife, 2*time.Minute)
	if c.MaxImprovements == 0 {
		c.MaxImprovements = 6
	}
	if c.GroupSize == 0 {
		c.GroupSize = 1
	}
	fieldError := func(field, format string, args ...any) (Config, error) {
		return Config{}, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
	if i, s := findInvalid(c.Prefer); i >= 0 {
		return fieldError(fmt.Sprintf("prefer[%d]", i), "%q is empty or a duplicate", s)
	}
	switch {
	case !(c.HealthyThreshold > 0 && c.HealthyThreshold < c.DegradedThreshold):
		return fieldError("clear", "%v is not between 0 and doubt (%v)", c.HealthyThreshold, c.DegradedThreshold)
	case !(c.DegradedThreshold < c.DownThreshold):
		return fieldError("doubt", "%v is not below dark (%v)", c.DegradedThreshold, c.DownThreshold)
	case !(c.DownThreshold <= 1):
		return fieldError("dark", "%v is above 1", c.DownThreshold)
	case !(c.InitialShare > 0 && c.InitialShare <= 1):
		return fieldError("first", "%v is outside 0 to 1", c.InitialShare)
	case !(c.MaxSpill >= 0 && c.MaxSpill <= 10):
		return fieldError("spill", "%v is outside 0 to 10", c.MaxSpill)
	case c.EvidenceHalfLife < 100*time.Millisecond || c.EvidenceHalfLife > time.Minute:
		return fieldError("memory", "%v is outside 100ms to 1m", c.EvidenceHalfLife)
	case c.HoldTime < 0 || c.HoldTime > time.Hour:
		return fieldError("hold", "%v is outside 0 to 1h", c.HoldTime)
	case c.RecoveryTime < time.Second || c.RecoveryTime > c.MaxRecoveryTime:
		return fieldError("climb", "%v is outside 1s to most_climb (%v)", c.RecoveryTime, c.MaxRecoveryTime)
	case c.MaxRecoveryTime > 24*time.Hour:
		return fieldError("most_climb", "%v is above 24h", c.MaxRecoveryTime)
	case c.LostSiteHalfLife < time.Second || c.LostSiteHalfLife > 24*time.Hour:
		return fieldError("fade", "%v is outside 1s to 24h", c.LostSiteHalfLife)
	case c.MaxImprovements < 1:
		return fieldError("changes", "%d is below 1", c.MaxImprovements)
	case c.GroupSize < 1 || c.Ordinal < 0 || c.Ordinal >= c.GroupSize:
		return fieldError("ordinal", "%d is not an ordinal of %d instances", c.Ordinal, c.GroupSize)
	case len(c.Rules) > maxRules:
		return fieldError("rules", "%d of them, at most %d may be", len(c.Rules), maxRules)
	}
	rules := make([]Rule, len(c.Rules)) // leaves the caller's slice unchanged
	for i, r := range c.Rules {
		if field, err := r.check(); err != nil {
			return fieldError(fmt.Sprintf("rules[%d].%s", i, field), "%v", err)
		}
		for j := range i {
			if c.Rules[j].covers(r) {
				return fieldError(fmt.Sprintf("rules[%d]", i), "it is never reached: rules[%d] matches all its requests", j)
			}
		}
		rules[i] = Rule{Classes: r.Classes, Tenants: r.Tenants, Tiers: make([]Tier, len(r.Tiers))}
		for j, t := range r.Tiers {
			setDefault(&t.MaxShare, 1)
			rules[i].Tiers[j] = t
		}
	}
	c.Rules = rules
	return c, nil
}

// check returns the first error in r and the path of the field that has it.
func (r Rule) check() (field string, err error) {
	for _, names := range []struct {
		field string
		list  []string
	}{{"classes", r.Classes}, {"tenants", r.Tenants}} {
		if i, s := findInvalid(names.list); i >= 0 {
			return fmt.Sprintf("%s[%d]", names.field, i), fmt.Errorf("%q is empty or a duplicate", s)
		}
		if len(names.list) > maxNames {
			return names.field, fmt.Errorf("%d names, at most %d are allowed", len(names.list), maxNames)
		}
	}
	for i, t := range r.Tenants {
		if strings.Contains(strings.TrimSuffix(t, "*"), "*") {
			return fmt.Sprintf("tenants[%d]", i), fmt.Errorf("%q has a * before its end", t)
		}
	}
	if len(r.Tiers) == 0 || len(r.Tiers) > maxTiers {
		return "tiers", fmt.Errorf("%d tiers, outside 1 to %d", len(r.Tiers), maxTiers)
	}
	var all []string
	for i, t := range r.Tiers {
		path := fmt.Sprintf("tiers[%d]", i)
		switch {
		case len(t.Sites) == 0 || len(t.Sites) > maxNames:
			return path + ".sites", fmt.Errorf("%d sites, outside 1 to %d", len(t.Sites), maxNames)
		case !(t.MaxShare >= 0 && t.MaxShare <= 1):
			return path + ".most", fmt.Errorf("%v is outside 0 to 1", t.MaxShare)
		case i == 0 && t.MaxShare != 0:
			return path + ".most", fmt.Errorf("the first tier takes all its requests and cannot have a limit")
		}
		all = append(all, t.Sites...)
		if j, s := findInvalid(all); j >= 0 {
			return path + ".sites", fmt.Errorf("%q is empty or a duplicate", s)
		}
	}
	return "", nil
}

// matches reports whether r applies to requests of class and tenant.
func (r Rule) matches(class, tenant string) bool {
	return matchesName(r.Classes, class) && matchesPattern(r.Tenants, tenant)
}

// covers reports whether r matches every request that other matches.
func (r Rule) covers(other Rule) bool {
	for _, c := range other.Classes {
		if !matchesName(r.Classes, c) {
			return false
		}
	}
	for _, t := range other.Tenants {
		if !matchesPattern(r.Tenants, t) { // matches patterns that are no wider, too
			return false
		}
	}
	return (len(r.Classes) == 0 || len(other.Classes) > 0) && (len(r.Tenants) == 0 || len(other.Tenants) > 0)
}

// matchesName reports whether list has name or is empty.
func matchesName(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return len(list) == 0
}

// matchesPattern reports whether a name or prefix in patterns matches name, or patterns is empty.
func matchesPattern(patterns []string, name string) bool {
	for _, p := range patterns {
		if prefix, ok := strings.CutSuffix(p, "*"); p == name || ok && strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return len(patterns) == 0
}

// findInvalid returns the index and value of the first name that is empty or a duplicate; the index
// is -1 if there is none.
func findInvalid(list []string) (int, string) {
	seen := make(map[string]bool, len(list))
	for i, s := range list {
		if s == "" || seen[s] {
			return i, s
		}
		seen[s] = true
	}
	return -1, ""
}

// Check returns an error that names the first invalid field of c, or nil.
func (c Config) Check() error {
	_, err := c.withDefaults()
	return err
}

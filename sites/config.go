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
	// A site is degraded from Doubt (doubt; default 0.3) and down from Dark
	// (dark; default 0.7) on, each a fraction of its servers that fails. Below Clear
	// (clear; default 0.15) it is neither. Clear is less than Doubt, so that
	// a load around the limit doesn't make the site flap.
	Clear, Doubt, Dark float64
	// Memory (memory; default 1 s) is the half-life of the weight of an outcome. Hold
	// (hold; default 3 s) is how long a site keeps its state before it may change to a better one.
	Memory, Hold time.Duration
	// First (first; default 0.05) is the share of its traffic with which a site that was
	// down starts to recover. Climb (climb; default 20 s) is the time from there to its full
	// share. Each relapse halves the former and doubles the latter, up to MostClimb
	// (most_climb; default 5 min).
	First            float64
	Climb, MostClimb time.Duration
	// Spill (spill; default 0.5) limits the requests that a site takes over for others, as a
	// fraction of its normal load.
	Spill float64
	// Fade (fade; default 2 min) is the half-life of the load attributed to a site that
	// is no longer listed. The other sites take over attributed load within Spill only; the load
	// of a site that is closed for good becomes their normal load as the attribution decays.
	Fade time.Duration
	// Changes (changes; default 6) limits how often per minute a site may change to a
	// better state.
	Changes int
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
	// Most (most; default 1) is the fraction of the rule's requests that may spill from earlier
	// tiers to this one. It must not be set for the first tier.
	Most float64
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
	setDefault(&c.Clear, 0.15)
	setDefault(&c.Doubt, 0.3)
	setDefault(&c.Dark, 0.7)
	setDefault(&c.First, 0.05)
	setDefault(&c.Spill, 0.5)
	setDefaultDuration(&c.Memory, time.Second)
	setDefaultDuration(&c.Hold, 3*time.Second)
	setDefaultDuration(&c.Climb, 20*time.Second)
	setDefaultDuration(&c.MostClimb, 5*time.Minute)
	setDefaultDuration(&c.Fade, 2*time.Minute)
	if c.Changes == 0 {
		c.Changes = 6
	}
	if c.GroupSize == 0 {
		c.GroupSize = 1
	}
	fieldError := func(field, format string, args ...any) (Config, error) {
		return Config{}, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
	if i, s := findInvalid(c.Prefer); i >= 0 {
		return fieldError(fmt.Sprintf("prefer[%d]", i), "%q is empty or there twice", s)
	}
	switch {
	case !(c.Clear > 0 && c.Clear < c.Doubt):
		return fieldError("clear", "%v is not between 0 and doubt (%v)", c.Clear, c.Doubt)
	case !(c.Doubt < c.Dark):
		return fieldError("doubt", "%v is not below dark (%v)", c.Doubt, c.Dark)
	case !(c.Dark <= 1):
		return fieldError("dark", "%v is above 1", c.Dark)
	case !(c.First > 0 && c.First <= 1):
		return fieldError("first", "%v is outside 0 to 1", c.First)
	case !(c.Spill >= 0 && c.Spill <= 10):
		return fieldError("spill", "%v is outside 0 to 10", c.Spill)
	case c.Memory < 100*time.Millisecond || c.Memory > time.Minute:
		return fieldError("memory", "%v is outside 100ms to 1m", c.Memory)
	case c.Hold < 0 || c.Hold > time.Hour:
		return fieldError("hold", "%v is outside 0 to 1h", c.Hold)
	case c.Climb < time.Second || c.Climb > c.MostClimb:
		return fieldError("climb", "%v is outside 1s to most_climb (%v)", c.Climb, c.MostClimb)
	case c.MostClimb > 24*time.Hour:
		return fieldError("most_climb", "%v is above 24h", c.MostClimb)
	case c.Fade < time.Second || c.Fade > 24*time.Hour:
		return fieldError("fade", "%v is outside 1s to 24h", c.Fade)
	case c.Changes < 1:
		return fieldError("changes", "%d is below 1", c.Changes)
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
			setDefault(&t.Most, 1)
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
			return fmt.Sprintf("%s[%d]", names.field, i), fmt.Errorf("%q is empty or there twice", s)
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
		case !(t.Most >= 0 && t.Most <= 1):
			return path + ".most", fmt.Errorf("%v is outside 0 to 1", t.Most)
		case i == 0 && t.Most != 0:
			return path + ".most", fmt.Errorf("the first tier takes all its requests and cannot have a limit")
		}
		all = append(all, t.Sites...)
		if j, s := findInvalid(all); j >= 0 {
			return path + ".sites", fmt.Errorf("%q is empty or there twice", s)
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

// Package sites decides how much of the traffic a site may take: what befalls its servers makes it doubtful or dark, what
// is answered again lets it return by degrees, and what other sites take over for it is bounded. Which server of a site
// takes a request is not its to say.
//
// It is a pure state machine: the host tells it what happens, and when; it starts nothing, reads no clock and draws no
// random numbers, so that equal events give equal shares. docs/design/sites.md weighs the ways.
package sites

import (
	"fmt"
	"time"
)

// Config bounds a Monitor. Zero values take the defaults.
type Config struct {
	// Prefer is the order in which sites are used: the first that may take a request gets it. Sites that it does not name
	// come last, in the order of their names, as one tier.
	Prefer []string
	// Doubt and Dark are the parts of a site's servers that fail from which on it is doubtful or dark; 0.3 and 0.7. Clear
	// is the part below which it is neither; 0.15. It lies under Doubt, so that a load at the bound does not swing it.
	Clear, Doubt, Dark float64
	// Memory is how long evidence keeps half its weight; 1 s. Hold is how long a site stays as it is before it may get
	// better; 3 s.
	Memory, Hold time.Duration
	// First is the share of its traffic with which a dark site begins to return; 0.05. Climb is how long it takes to all of
	// it; 20 s. A relapse halves the one and doubles the other, up to MostClimb; 5 min.
	First            float64
	Climb, MostClimb time.Duration
	// Spill is how much of a site's normal load may be added to it for others, as a part of that; 0.5.
	Spill float64
	// Changes bounds how often a minute a site may change its state for the better; 6.
	Changes int
	// Ordinal and GroupSize are this instance's number among its peers: peers step at other moments.
	Ordinal, GroupSize int
}

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
	usual(&c.Clear, 0.15)
	usual(&c.Doubt, 0.3)
	usual(&c.Dark, 0.7)
	usual(&c.First, 0.05)
	usual(&c.Spill, 0.5)
	lasting(&c.Memory, time.Second)
	lasting(&c.Hold, 3*time.Second)
	lasting(&c.Climb, 20*time.Second)
	lasting(&c.MostClimb, 5*time.Minute)
	if c.Changes == 0 {
		c.Changes = 6
	}
	if c.GroupSize == 0 {
		c.GroupSize = 1
	}
	wrong := func(field, format string, args ...any) (Config, error) {
		return Config{}, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
	seen := map[string]bool{}
	for i, s := range c.Prefer {
		if s == "" || seen[s] {
			return wrong(fmt.Sprintf("prefer[%d]", i), "%q is empty or there twice", s)
		}
		seen[s] = true
	}
	switch {
	case !(c.Clear > 0 && c.Clear < c.Doubt):
		return wrong("clear", "%v is outside 0 to doubt, which is %v", c.Clear, c.Doubt)
	case !(c.Doubt < c.Dark):
		return wrong("doubt", "%v is not below dark, which is %v", c.Doubt, c.Dark)
	case !(c.Dark <= 1):
		return wrong("dark", "%v is above 1", c.Dark)
	case !(c.First > 0 && c.First <= 1):
		return wrong("first", "%v is outside 0 to 1", c.First)
	case !(c.Spill >= 0 && c.Spill <= 10):
		return wrong("spill", "%v is outside 0 to 10", c.Spill)
	case c.Memory < 100*time.Millisecond || c.Memory > time.Minute:
		return wrong("memory", "%v is outside 100ms to 1m", c.Memory)
	case c.Hold < 0 || c.Hold > time.Hour:
		return wrong("hold", "%v is outside 0 to 1h", c.Hold)
	case c.Climb < time.Second || c.Climb > c.MostClimb:
		return wrong("climb", "%v is outside 1s to most_climb, which is %v", c.Climb, c.MostClimb)
	case c.MostClimb > 24*time.Hour:
		return wrong("most_climb", "%v is above 24h", c.MostClimb)
	case c.Changes < 1:
		return wrong("changes", "%d is below 1", c.Changes)
	case c.GroupSize < 1 || c.Ordinal < 0 || c.Ordinal >= c.GroupSize:
		return wrong("ordinal", "%d is outside the %d instances", c.Ordinal, c.GroupSize)
	}
	return c, nil
}

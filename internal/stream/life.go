package stream

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"quillfront/internal/connlimit"
)

// Config is a service whose connections are passed on as they are. Zero times take their defaults.
type Config struct {
	Name   string
	Listen string // host:port
	Pool   string
	Class  string // of the pool's; opening a stream is a request of it

	Idle  time.Duration // no byte in either direction for so long ends a stream; 5 min
	Stall time.Duration // a peer that takes none of what waits for it for so long ends it; 30 s
	Total time.Duration // no stream lasts longer; 0: no bound
	Drain time.Duration // how long a stream may stay at a server that takes nothing new; 1 min
	Half  time.Duration // how long a stream may go on without a byte once one side has shut; 1 min
	// Patience is how long streams may go on once this process is to end.
	Patience time.Duration // 10 s
	Splice   bool          // large transfers stay in the kernel; two more descriptors for each while it lasts

	Guests connlimit.Limits
}

// WithDefaults returns c with its defaults.
func (c Config) WithDefaults() Config {
	c.Idle, c.Stall = cmp.Or(c.Idle, 5*time.Minute), cmp.Or(c.Stall, 30*time.Second)
	c.Drain, c.Half = cmp.Or(c.Drain, time.Minute), cmp.Or(c.Half, time.Minute)
	c.Patience = cmp.Or(c.Patience, 10*time.Second)
	return c
}

// Check tells the first key that cannot be used.
func (c Config) Check() error {
	if c.Name == "" {
		return errors.New("name: not set")
	}
	if c.Listen == "" {
		return errors.New("listen: not set")
	}
	if c.Class == "" {
		return errors.New("class: not set")
	}
	for _, d := range []struct {
		key string
		v   time.Duration
	}{{"idle", c.Idle}, {"stall", c.Stall}, {"total", c.Total}, {"drain", c.Drain}, {"half", c.Half}, {"patience", c.Patience}} {
		if d.v < 0 {
			return fmt.Errorf("%s: %v is negative", d.key, d.v)
		}
	}
	return c.Guests.Check()
}

// Reason says why a stream has ended.
type Reason int

// The reasons. Those up to Shut are the peers' own; the others are this side's.
const (
	Shut    Reason = iota // both sides have shut
	Reset                 // a side was reset; the other has been too
	Idle                  // nothing came for too long
	Stalled               // a peer takes nothing
	Old                   // it has lasted as long as it may
	Drained               // its server takes nothing new, and its time there is up
	Ending                // this process ends
	reasons
)

// String names the reason.
func (r Reason) String() string {
	return [...]string{"shut", "reset", "idle", "stalled", "old", "drained", "ending"}[r]
}

// Orderly reports whether a stream that ends so ends as if both sides had shut: what was read is passed on, then comes the end.
// A stalled peer would never see it.
func (r Reason) Orderly() bool { return r == Idle || r == Old || r == Drained || r == Ending }

// facts are what is known of a stream.
type facts struct {
	opened  time.Time
	moved   time.Time // the latest byte, in either direction
	waiting time.Time // since when some byte has waited for a peer to take it; zero: none does
	half    time.Time // when the first side shut; zero: none has
	drained time.Time // since when its server has taken nothing new; zero: it does
	ending  time.Time // since when this process is to end; zero: it is not
}

// verdict decides whether a stream is to end now, and why. It is the whole of what ends a stream other than its peers.
func (c *Config) verdict(now time.Time, f facts) (why Reason, end bool) {
	past := func(since time.Time, most time.Duration) bool { return !since.IsZero() && now.Sub(since) >= most }
	switch {
	case past(f.ending, c.Patience):
		return Ending, true
	case past(f.drained, c.Drain):
		return Drained, true
	case c.Total > 0 && past(f.opened, c.Total):
		return Old, true
	case past(f.waiting, c.Stall):
		return Stalled, true
	case past(f.moved, c.Idle):
		return Idle, true
	case past(f.half, c.Half) && past(f.moved, c.Half):
		return Idle, true
	}
	return 0, false
}

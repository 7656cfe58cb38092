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

	IdleTimeout       time.Duration // no byte in either direction for so long ends a stream; 5 min
	StallTimeout      time.Duration // a peer that takes none of what waits for it for so long ends it; 30 s
	MaxDuration       time.Duration // no stream lasts longer; 0: no bound
	DrainTimeout      time.Duration // how long a stream may stay at a server that takes nothing new; 1 min
	HalfClosedTimeout time.Duration // how long a stream may go on without a byte once one side has shut; 1 min
	// ShutdownTimeout is how long streams may go on once this process is to end.
	ShutdownTimeout time.Duration // 10 s
	Splice          bool          // large transfers stay in the kernel; two more descriptors for each while it lasts

	ConnLimits connlimit.Limits
}

// WithDefaults returns c with its defaults.
func (c Config) WithDefaults() Config {
	c.IdleTimeout, c.StallTimeout = cmp.Or(c.IdleTimeout, 5*time.Minute), cmp.Or(c.StallTimeout, 30*time.Second)
	c.DrainTimeout, c.HalfClosedTimeout = cmp.Or(c.DrainTimeout, time.Minute), cmp.Or(c.HalfClosedTimeout, time.Minute)
	c.ShutdownTimeout = cmp.Or(c.ShutdownTimeout, 10*time.Second)
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
	}{{"idle", c.IdleTimeout}, {"stall", c.StallTimeout}, {"total", c.MaxDuration}, {"drain", c.DrainTimeout}, {"half", c.HalfClosedTimeout}, {"patience", c.ShutdownTimeout}} {
		if d.v < 0 {
			return fmt.Errorf("%s: %v is negative", d.key, d.v)
		}
	}
	return c.ConnLimits.Check()
}

// Reason says why a stream has ended.
type Reason int

// The reasonCount. Those up to BothClosed are the peers' own; the others are this side's.
const (
	BothClosed         Reason = iota // both sides have shut
	Reset                            // a side was reset; the other has been too
	Idle                             // nothing came for too long
	Stalled                          // a peer takes nothing
	MaxDurationReached               // it has lasted as long as it may
	Drained                          // its server takes nothing new, and its time there is up
	ShuttingDown                     // this process ends
	reasonCount
)

// String names the reason.
func (r Reason) String() string {
	return [...]string{"shut", "reset", "idle", "stalled", "old", "drained", "ending"}[r]
}

// Orderly reports whether a stream that ends so ends as if both sides had shut: what was read is passed on, then comes the end.
// A stalled peer would never see it.
func (r Reason) Orderly() bool {
	return r == Idle || r == MaxDurationReached || r == Drained || r == ShuttingDown
}

// streamState are what is known of a stream.
type streamState struct {
	opened        time.Time
	lastActivity  time.Time // the latest byte, in either direction
	writeBlocked  time.Time // since when some byte has waited for a peer to take it; zero: none does
	halfClosed    time.Time // when the first side shut; zero: none has
	drainingSince time.Time // since when its server has taken nothing new; zero: it does
	shutdownSince time.Time // since when this process is to end; zero: it is not
}

// endReason decides whether a stream is to end now, and why. It is the whole of what ends a stream other than its peers.
func (c *Config) endReason(now time.Time, f streamState) (why Reason, end bool) {
	past := func(since time.Time, most time.Duration) bool { return !since.IsZero() && now.Sub(since) >= most }
	switch {
	case past(f.shutdownSince, c.ShutdownTimeout):
		return ShuttingDown, true
	case past(f.drainingSince, c.DrainTimeout):
		return Drained, true
	case c.MaxDuration > 0 && past(f.opened, c.MaxDuration):
		return MaxDurationReached, true
	case past(f.writeBlocked, c.StallTimeout):
		return Stalled, true
	case past(f.lastActivity, c.IdleTimeout):
		return Idle, true
	case past(f.halfClosed, c.HalfClosedTimeout) && past(f.lastActivity, c.HalfClosedTimeout):
		return Idle, true
	}
	return 0, false
}

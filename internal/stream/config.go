package stream

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"quillfront/internal/connlimit"
)

// Config is the configuration of a raw TCP service. Zero durations take their defaults.
type Config struct {
	Name   string
	Listen string // host:port
	Pool   string
	Class  string // a class of the pool; opening a stream is a request of it

	IdleTimeout       time.Duration // ends a stream without a byte in either direction; 5 min
	StallTimeout      time.Duration // ends a stream whose peer accepts no pending data; 30 s
	MaxDuration       time.Duration // the longest lifetime of a stream; 0: unlimited
	DrainTimeout      time.Duration // how long a stream may stay on a draining server; 1 min
	HalfClosedTimeout time.Duration // the idle timeout once one side has closed; 1 min
	// ShutdownTimeout is how long streams may continue once this process shuts down.
	ShutdownTimeout time.Duration // 10 s
	Splice          bool          // splice large transfers in the kernel, at two more descriptors each

	ConnLimits connlimit.Limits
}

// WithDefaults returns c with the defaults filled in.
func (c Config) WithDefaults() Config {
	c.IdleTimeout, c.StallTimeout = cmp.Or(c.IdleTimeout, 5*time.Minute), cmp.Or(c.StallTimeout, 30*time.Second)
	c.DrainTimeout, c.HalfClosedTimeout = cmp.Or(c.DrainTimeout, time.Minute), cmp.Or(c.HalfClosedTimeout, time.Minute)
	c.ShutdownTimeout = cmp.Or(c.ShutdownTimeout, 10*time.Second)
	return c
}

// Check returns an error that names the first invalid key.
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

// Reason is why a stream has ended.
type Reason int

// The reasons. BothClosed and Reset come from the peers; for the others this side resets the stream.
const (
	BothClosed         Reason = iota // both sides have closed
	Reset                            // one side was reset, and the other in turn
	Idle                             // no byte within IdleTimeout or HalfClosedTimeout
	Stalled                          // a peer accepts no data
	MaxDurationReached               // MaxDuration is over
	Drained                          // its server is draining, and DrainTimeout is over
	ShuttingDown                     // this process shuts down
	reasonCount
)

// String returns the name of the reason in metrics.
func (r Reason) String() string {
	return [...]string{"shut", "reset", "idle", "stalled", "old", "drained", "ending"}[r]
}

// streamState holds the times that endReason decides by.
type streamState struct {
	opened        time.Time
	lastActivity  time.Time // of the latest byte in either direction
	writeBlocked  time.Time // when the oldest pending write began; zero: none is pending
	halfClosed    time.Time // when the first side closed; zero: none has
	drainingSince time.Time // when its server began to drain; zero: it accepts streams
	shutdownSince time.Time // when this process began to shut down; zero: it has not
}

// endReason decides whether a stream ends now, and why. Apart from the peers, only this decision
// ends a stream before Close.
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

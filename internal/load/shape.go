// Package load is an open-loop HTTP load generator. Arrivals follow an absolute schedule whatever
// the servers do, latencies are measured from the scheduled send time (which avoids coordinated
// omission), and the report states the generator's own schedule lag. The package reads no flags and
// prints nothing.
package load

import (
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"time"
)

// Shape is an arrival rate as a function of time.
type Shape interface {
	// Rate returns the arrivals per second at an offset from the start of the shape.
	Rate(at time.Duration) float64
	// Length returns the total duration.
	Length() time.Duration
}

// Stage is a Shape selected by name, as a plan configures it.
type Stage struct {
	Shape     string        // constant, ramp, steps, spike, sine or cutoff
	Duration  time.Duration // total duration
	From      float64       // arrivals per second at the start; of a constant stage, throughout
	To        float64       // arrivals per second at the end; of a spike and a sine, at the peak
	Steps     int           // steps: their number, the first at From, the last at To
	At        time.Duration // spike: time of the peak
	Width     time.Duration // spike: full width at half maximum; sine: period
	Doublings float64       // cutoff: doublings of the rate between From and To; default 5
}

const (
	maxRate     = 1e6
	maxDuration = 24 * time.Hour
)

// Check returns an error that names the first invalid key.
func (s Stage) Check() error {
	switch {
	case s.Duration <= 0 || s.Duration > maxDuration:
		return fmt.Errorf("for: %v is outside 0 to %v", s.Duration, maxDuration)
	case !(s.From >= 0 && s.From <= maxRate):
		return fmt.Errorf("from: %v is outside 0 to %v", s.From, maxRate)
	case !(s.To >= 0 && s.To <= maxRate):
		return fmt.Errorf("to: %v is outside 0 to %v", s.To, maxRate)
	}
	switch s.Shape {
	case "constant", "ramp":
	case "steps":
		if s.Steps < 2 || s.Steps > 10_000 {
			return fmt.Errorf("steps: %d is outside 2 to 10000", s.Steps)
		}
	case "spike":
		if s.Width <= 0 || s.At < 0 || s.At > s.Duration {
			return fmt.Errorf("at, width: a spike of width %v at %v is outside the stage's %v", s.Width, s.At, s.Duration)
		}
	case "sine":
		if s.Width <= 0 {
			return fmt.Errorf("width: %v is not a positive period", s.Width)
		}
	case "cutoff":
		if s.Doublings < 0 || s.Doublings > 30 {
			return fmt.Errorf("sharp: %v is outside 0 to 30", s.Doublings)
		}
	default:
		return fmt.Errorf("shape: %q is not one of constant, ramp, steps, spike, sine and cutoff", s.Shape)
	}
	return nil
}

// Length implements Shape.
func (s Stage) Length() time.Duration { return s.Duration }

// Rate implements Shape.
func (s Stage) Rate(at time.Duration) float64 {
	fraction := min(max(float64(at)/float64(s.Duration), 0), 1)
	switch s.Shape {
	case "ramp":
		return s.From + (s.To-s.From)*fraction
	case "steps":
		return s.From + (s.To-s.From)*min(math.Floor(fraction*float64(s.Steps)), float64(s.Steps-1))/float64(s.Steps-1)
	case "spike":
		const half = 2.772588722239781 // 4 ln 2: half the height at Width/2
		x := float64(at-s.At) / float64(s.Width)
		return s.From + (s.To-s.From)*math.Exp(-half*x*x)
	case "sine":
		return s.From + (s.To-s.From)*(1-math.Cos(2*math.Pi*float64(at)/float64(s.Width)))/2
	case "cutoff":
		sharp := s.Doublings
		if sharp == 0 {
			sharp = 5
		}
		return s.From + (s.To-s.From)*(math.Exp2(sharp*fraction)-1)/(math.Exp2(sharp)-1)
	}
	return s.From
}

// Chain is a Shape that runs its stages one after the other.
type Chain []Stage

// Length implements Shape.
func (c Chain) Length() (sum time.Duration) {
	for _, s := range c {
		sum += s.Duration
	}
	return sum
}

// Rate implements Shape.
func (c Chain) Rate(at time.Duration) float64 {
	for i, s := range c {
		if at < s.Duration || i == len(c)-1 {
			return s.Rate(at)
		}
		at -= s.Duration
	}
	return 0
}

// rateStep is the interval over which the rate is integrated.
const rateStep = time.Millisecond

// Arrivals returns the scheduled arrival times in order, as offsets from the start of the shape.
// With rng the gaps are exponential, as those of many independent clients are (a Poisson process);
// without it an arrival is due each time the integral of the rate grows by one.
func Arrivals(s Shape, rng *rand.Rand) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		next := func() float64 {
			if rng == nil {
				return 1
			}
			return rng.ExpFloat64()
		}
		due, sum := next(), 0.0 // integral of the rate at the next arrival, and so far
		if rng == nil {
			due = 0.5 // half a gap from the start: the number of arrivals is the integral, rounded
		}
		for at := time.Duration(0); at < s.Length(); at += rateStep {
			last := min(rateStep, s.Length()-at)
			more := s.Rate(at+last/2) * last.Seconds()
			for more > 0 && due <= sum+more {
				when := at + time.Duration(float64(last)*(due-sum)/more)
				if !yield(when) {
					return
				}
				due += next()
			}
			sum += more
		}
	}
}

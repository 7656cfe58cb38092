// Package load makes load that can be trusted: arrivals on an absolute schedule, whatever the servers do, latencies counted from when a
// request was to be sent, and an account of the generator's own lateness. It reads no flags and prints nothing.
package load

import (
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"time"
)

// Shape is how many arrivals there are a second over a time.
type Shape interface {
	// Rate is how many there are a second at a time from the shape's begin.
	Rate(at time.Duration) float64
	// Length is how long it lasts.
	Length() time.Duration
}

// Stage is a Shape by its name, as a plan has it.
type Stage struct {
	Shape     string        // constant, ramp, steps, spike, sine or cutoff
	Duration  time.Duration // how long it lasts
	From      float64       // arrivals a second at its begin, and all the time of a constant one
	To        float64       // at its end; of a spike and a sine: at the top
	Steps     int           // of steps: how many, the first at From, the last at To
	At        time.Duration // of a spike: when its top is
	Width     time.Duration // of a spike: from half the height to half the height; of a sine: a period
	Doublings float64       // of a cutoff: how many times the rate doubles on its way from From to To; 5
}

const (
	mostRate = 1e6
	mostFor  = 24 * time.Hour
)

// Check tells the first key that cannot be used.
func (s Stage) Check() error {
	switch {
	case s.Duration <= 0 || s.Duration > mostFor:
		return fmt.Errorf("for: %v is outside 0 to %v", s.Duration, mostFor)
	case !(s.From >= 0 && s.From <= mostRate):
		return fmt.Errorf("from: %v is outside 0 to %v", s.From, mostRate)
	case !(s.To >= 0 && s.To <= mostRate):
		return fmt.Errorf("to: %v is outside 0 to %v", s.To, mostRate)
	}
	switch s.Shape {
	case "constant", "ramp":
	case "steps":
		if s.Steps < 2 || s.Steps > 10_000 {
			return fmt.Errorf("steps: %d is outside 2 to 10000", s.Steps)
		}
	case "spike":
		if s.Width <= 0 || s.At < 0 || s.At > s.Duration {
			return fmt.Errorf("at, width: a spike of width %v at %v does not lie within %v", s.Width, s.At, s.Duration)
		}
	case "sine":
		if s.Width <= 0 {
			return fmt.Errorf("width: %v is no period", s.Width)
		}
	case "cutoff":
		if s.Doublings < 0 || s.Doublings > 30 {
			return fmt.Errorf("sharp: %v is outside 0 to 30", s.Doublings)
		}
	default:
		return fmt.Errorf("shape: %q is none of constant, ramp, steps, spike, sine and cutoff", s.Shape)
	}
	return nil
}

// Length is a method of Shape.
func (s Stage) Length() time.Duration { return s.Duration }

// Rate is a method of Shape.
func (s Stage) Rate(at time.Duration) float64 {
	part := min(max(float64(at)/float64(s.Duration), 0), 1)
	switch s.Shape {
	case "ramp":
		return s.From + (s.To-s.From)*part
	case "steps":
		return s.From + (s.To-s.From)*min(math.Floor(part*float64(s.Steps)), float64(s.Steps-1))/float64(s.Steps-1)
	case "spike":
		const half = 2.772588722239781 // 4 ln 2: half the height at half the width
		x := float64(at-s.At) / float64(s.Width)
		return s.From + (s.To-s.From)*math.Exp(-half*x*x)
	case "sine":
		return s.From + (s.To-s.From)*(1-math.Cos(2*math.Pi*float64(at)/float64(s.Width)))/2
	case "cutoff":
		sharp := s.Doublings
		if sharp == 0 {
			sharp = 5
		}
		return s.From + (s.To-s.From)*(math.Exp2(sharp*part)-1)/(math.Exp2(sharp)-1)
	}
	return s.From
}

// Chain is one stage after the other.
type Chain []Stage

// Length is a method of Shape.
func (c Chain) Length() (sum time.Duration) {
	for _, s := range c {
		sum += s.Duration
	}
	return sum
}

// Rate is a method of Shape.
func (c Chain) Rate(at time.Duration) float64 {
	for i, s := range c {
		if at < s.Duration || i == len(c)-1 {
			return s.Rate(at)
		}
		at -= s.Duration
	}
	return 0
}

// step is how finely a rate is followed.
const step = time.Millisecond

// Arrivals returns when arrivals are to be, in order, from the shape's begin. With rng their distances are random, as those of many
// independent clients are (Poisson); without it each comes as soon as the shape has brought one more.
func Arrivals(s Shape, rng *rand.Rand) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		next := func() float64 {
			if rng == nil {
				return 1
			}
			return rng.ExpFloat64()
		}
		due, sum := next(), 0.0 // arrivals so far, and at which the next one is due
		if rng == nil {
			due = 0.5 // half a distance from the begin, so that a shape brings as many as its integral, rounded
		}
		for at := time.Duration(0); at < s.Length(); at += step {
			last := min(step, s.Length()-at)
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

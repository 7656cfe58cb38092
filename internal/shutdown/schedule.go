// Package shutdown defines the time limits of a graceful shutdown. A Schedule is computed once,
// from the time of the signal and from how long the process may live after it. All fronts of the
// process follow that Schedule and have no time limits of their own. A Sequencer runs a Schedule:
// it calls a function at each of its times.
//
// The package is independent of connections, requests and protocols.
package shutdown

import (
	"context"
	"time"
)

const (
	// MaxAwaitedDeadline and KillGrace are how long the platform waits before it kills a process
	// that was told to terminate: the longest deadline of the classes, but at most
	// MaxAwaitedDeadline, plus KillGrace.
	MaxAwaitedDeadline = 3 * time.Second
	KillGrace          = 700 * time.Millisecond

	// MaxStall is how long the process may be stalled between an event, or a read of its clock, and
	// its reaction.
	MaxStall = 150 * time.Millisecond
	// exitReserve is the time for the last writes and for the exit of the process itself.
	exitReserve = 50 * time.Millisecond
	// forwardLead is the time between the last forwarded requests and the last responses. With
	// less, hardly any server responds in time, and its work is wasted.
	forwardLead = 50 * time.Millisecond

	// connectWindow is how long new connections may still arrive after the signal. The platform
	// specifies 0.2 to 0.4 s; the rest is reserve.
	connectWindow = 500 * time.Millisecond

	// For a short timeout, MaxStall is limited to timeout/marginDivisor, and forwardLead to half of
	// that.
	marginDivisor = 4
)

// Schedule holds the time limits of a shutdown. Forward, Answer and Exit follow in this order;
// Accept is independent of Forward and Answer.
type Schedule struct {
	Accept  time.Time // after it, no new connections are expected
	Forward time.Time // from then on nothing is forwarded: requests are refused as they are read
	Answer  time.Time // by then every request read has its final response, whatever the servers do
	Exit    time.Time // by then all connections are closed
}

// ForTermination returns the schedule of a process that the platform has told to terminate. signal
// is the time at which the process noticed the signal, longest the longest deadline of the classes.
//
// SIGKILL comes no earlier than min(longest, MaxAwaitedDeadline) + KillGrace after the signal was
// sent, which may be MaxStall before the process noticed it. MaxStall also separates the last
// responses from the exit: a process that is stalled again at its last responses still writes them
// in time.
func ForTermination(signal time.Time, longest time.Duration) Schedule {
	kill := signal.Add(min(longest, MaxAwaitedDeadline) + KillGrace)
	return newSchedule(signal, kill.Add(-MaxStall-exitReserve), MaxStall, forwardLead)
}

// Within returns the schedule of a process or a front that has to exit within timeout of begin.
func Within(begin time.Time, timeout time.Duration) Schedule {
	return newSchedule(begin, begin.Add(timeout), min(MaxStall, timeout/marginDivisor), min(forwardLead, timeout/(2*marginDivisor)))
}

// WithinContext returns the schedule that begins now and ends after timeout or at the deadline of
// ctx, whichever is earlier.
func WithinContext(ctx context.Context, timeout time.Duration) Schedule {
	now := time.Now()
	if end, ok := ctx.Deadline(); ok {
		timeout = min(timeout, end.Sub(now))
	}
	return Within(now, max(timeout, 0))
}

func newSchedule(begin, exit time.Time, margin, lead time.Duration) Schedule {
	answer := exit.Add(-margin)
	return Schedule{Accept: earlier(begin.Add(connectWindow), exit), Forward: answer.Add(-lead), Answer: answer, Exit: exit}
}

// IsZero reports whether s is the zero Schedule: no shutdown is in progress.
func (s Schedule) IsZero() bool { return s.Exit.IsZero() }

// MayForward reports whether a request that has been read may be forwarded at now.
func (s Schedule) MayForward(now time.Time) bool { return s.IsZero() || now.Before(s.Forward) }

// MustAnswer reports whether, at now, every request that was read has to be answered.
func (s Schedule) MustAnswer(now time.Time) bool { return !s.IsZero() && !now.Before(s.Answer) }

// Earlier returns the schedule with the earlier of each time of s and o. If one of them is zero, it
// returns the other.
func (s Schedule) Earlier(o Schedule) Schedule {
	if s.IsZero() {
		return o
	}
	if o.IsZero() {
		return s
	}
	return Schedule{
		Accept: earlier(s.Accept, o.Accept), Forward: earlier(s.Forward, o.Forward), Answer: earlier(s.Answer, o.Answer),
		Exit: earlier(s.Exit, o.Exit),
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Package shutdown owns the time of an orderly end of a process. A Schedule is computed once, from the moment of the
// signal and from how long the process may live after it; every front of the process goes by that one Schedule, and
// by no bound of its own. A Sequencer runs a Schedule: it calls back at its points.
//
// The package knows nothing of connections, requests or protocols.
package shutdown

import (
	"context"
	"time"
)

const (
	// MaxAwaitedDeadline is how much of the longest deadline of the classes the platform waits for before it kills a
	// process that was told to end, and KillGrace what it waits beyond that (PROTOCOL, "Figures").
	MaxAwaitedDeadline = 3 * time.Second
	KillGrace          = 700 * time.Millisecond

	// MaxStall is how long a process may be held up between an event, or a look at its clock, and what it does then.
	MaxStall = 150 * time.Millisecond
	// exitTime is left for the last writes and for the end of the process itself.
	exitTime = 50 * time.Millisecond
	// answerLead is how long before the last answers the last requests are forwarded: with less, hardly a server
	// answers, and the work is done for nobody.
	answerLead = 50 * time.Millisecond

	// connectWindow is how long new connections may go on coming after the signal, with some reserve: the platform
	// says 0.2 to 0.4 s.
	connectWindow = 500 * time.Millisecond

	// marginParts bounds MaxStall, and twice that answerLead, to a part of a patience that is short.
	marginParts = 4
)

// Schedule is when what becomes of a process that was told to end. The points follow one another in the order of the
// fields, but for Accept, which stands beside them.
type Schedule struct {
	Accept  time.Time // from then on no new connections are to be expected
	Forward time.Time // from then on nothing is forwarded: what is read is refused at once
	Answer  time.Time // by then all that was read has its final answer, whatever servers do
	Exit    time.Time // by then all connections are closed
}

// ForTermination returns the schedule of a process that the platform has told to end, as noticed at signal. longest is the
// longest deadline of the classes.
//
// SIGKILL comes no sooner than min(longest, MaxAwaitedDeadline) + KillGrace after the signal was sent, which may have been
// MaxStall before it was noticed. So that a process which is held up once more at its last answers still writes them in
// time, MaxStall lies between the last answers and the exit, too.
func ForTermination(signal time.Time, longest time.Duration) Schedule {
	kill := signal.Add(min(longest, MaxAwaitedDeadline) + KillGrace)
	return newSchedule(signal, kill.Add(-MaxStall-exitTime), MaxStall, answerLead)
}

// Within returns the schedule of a process, or a front, that has a patience from begin on until it is over.
func Within(begin time.Time, patience time.Duration) Schedule {
	return newSchedule(begin, begin.Add(patience), min(MaxStall, patience/marginParts), min(answerLead, patience/(2*marginParts)))
}

// WithinContext is Within from now on for a patience that ctx may cut short by its deadline.
func WithinContext(ctx context.Context, patience time.Duration) Schedule {
	now := time.Now()
	if end, ok := ctx.Deadline(); ok {
		patience = min(patience, end.Sub(now))
	}
	return Within(now, max(patience, 0))
}

func newSchedule(begin, exit time.Time, margin, lead time.Duration) Schedule {
	answer := exit.Add(-margin)
	return Schedule{Accept: earlier(begin.Add(connectWindow), exit), Forward: answer.Add(-lead), Answer: answer, Exit: exit}
}

// IsZero reports whether s is no schedule: nothing is to end.
func (s Schedule) IsZero() bool { return s.Exit.IsZero() }

// MayForward reports whether a request that was read by now may be forwarded.
func (s Schedule) MayForward(now time.Time) bool { return s.IsZero() || now.Before(s.Forward) }

// MustAnswer reports whether all that was read has to be answered now.
func (s Schedule) MustAnswer(now time.Time) bool { return !s.IsZero() && !now.Before(s.Answer) }

// Earlier returns the schedule of which each point is the earlier one of s and o. One that is zero leaves the other.
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

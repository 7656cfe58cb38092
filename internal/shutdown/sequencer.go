package shutdown

import (
	"sync"
	"time"
)

// Sequencer runs a Schedule. Its methods are safe for concurrent use. Its callbacks run on their
// own goroutines, with no lock held.
type Sequencer struct {
	onForward, onAnswer func()

	mu       sync.Mutex
	schedule Schedule
	timers   []*time.Timer
	exited   chan struct{}
	finished bool // exited is closed
}

// NewSequencer returns a Sequencer that has not begun. It calls onForward at Schedule.Forward, when
// nothing may be forwarded any more, and onAnswer at Schedule.Answer, when every request has to be
// answered. Unless it is stopped first, each is called at least once before the exit. Both may run
// several times, also concurrently.
func NewSequencer(onForward, onAnswer func()) *Sequencer {
	return &Sequencer{onForward: onForward, onAnswer: onAnswer, exited: make(chan struct{})}
}

// Begin starts the sequence. If it has already begun, the earlier of each time of the current
// schedule and s applies.
func (q *Sequencer) Begin(s Schedule) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.finished {
		return
	}
	q.schedule = q.schedule.Earlier(s)
	q.stopTimers()
	times := []time.Time{q.schedule.Forward, q.schedule.Answer, q.schedule.Exit}
	calls := []func(){q.onForward, q.onAnswer, q.exit}
	for i, at := range times {
		q.timers = append(q.timers, time.AfterFunc(time.Until(at), func() {
			// In order, also if a stall has made several times due at once.
			for _, call := range calls[:i+1] {
				call()
			}
		}))
	}
}

// Schedule returns the current schedule. It is zero until Begin is called.
func (q *Sequencer) Schedule() Schedule {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.schedule
}

// Exited returns a channel that is closed at Schedule.Exit, or when the sequence is stopped.
func (q *Sequencer) Exited() <-chan struct{} { return q.exited }

// Stop ends the sequence: no timer fires from then on.
func (q *Sequencer) Stop() { q.exit() }

func (q *Sequencer) exit() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopTimers()
	if !q.finished {
		q.finished = true
		close(q.exited)
	}
}

// stopTimers stops all timers. q.mu must be held.
func (q *Sequencer) stopTimers() {
	for _, t := range q.timers {
		t.Stop()
	}
	q.timers = nil
}

package shutdown

import (
	"sync"
	"time"
)

// Sequencer runs a Schedule. Its methods may be called from many goroutines at once; its callbacks run on goroutines of
// their own, with no lock held.
type Sequencer struct {
	onForward, onAnswer func()

	mu       sync.Mutex
	schedule Schedule
	timers   []*time.Timer
	exited   chan struct{}
	over     bool // exited is closed
}

// NewSequencer returns a sequence that has not begun. onForward is called when nothing may be forwarded any more, and onAnswer
// when everything has to be answered; each at least once before the exit, unless the sequence was stopped before. They may
// run more than once, and beside themselves.
func NewSequencer(onForward, onAnswer func()) *Sequencer {
	return &Sequencer{onForward: onForward, onAnswer: onAnswer, exited: make(chan struct{})}
}

// Begin starts the sequence, or brings one that has begun forward: of two schedules the earlier points count.
func (q *Sequencer) Begin(s Schedule) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.over {
		return
	}
	q.schedule = q.schedule.Earlier(s)
	q.stopTimers()
	points := []time.Time{q.schedule.Forward, q.schedule.Answer, q.schedule.Exit}
	calls := []func(){q.onForward, q.onAnswer, q.exit}
	for i, at := range points {
		q.timers = append(q.timers, time.AfterFunc(time.Until(at), func() {
			for _, call := range calls[:i+1] { // in order, also where a hold-up has made several points due at once
				call()
			}
		}))
	}
}

// Schedule returns what the sequence goes by; it is zero as long as it has not begun.
func (q *Sequencer) Schedule() Schedule {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.schedule
}

// Exited is closed once the exit has come, or the sequence was stopped.
func (q *Sequencer) Exited() <-chan struct{} { return q.exited }

// Stop ends the sequence: no callback begins from now on.
func (q *Sequencer) Stop() { q.exit() }

func (q *Sequencer) exit() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopTimers()
	if !q.over {
		q.over = true
		close(q.exited)
	}
}

// stopTimers is called with the lock held.
func (q *Sequencer) stopTimers() {
	for _, t := range q.timers {
		t.Stop()
	}
	q.timers = nil
}

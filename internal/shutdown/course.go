package shutdown

import (
	"sync"
	"time"
)

// Course runs a Schedule. Its methods may be called from many goroutines at once; its callbacks run on goroutines of
// their own, with no lock held.
type Course struct {
	onForward, onAnswer func()

	mu       sync.Mutex
	schedule Schedule
	timers   []*time.Timer
	exited   chan struct{}
	over     bool // exited is closed
}

// NewCourse returns a course that has not begun. onForward is called when nothing may be forwarded any more, and onAnswer
// when everything has to be answered; each at least once before the exit, unless the course was stopped before. They may
// run more than once, and beside themselves.
func NewCourse(onForward, onAnswer func()) *Course {
	return &Course{onForward: onForward, onAnswer: onAnswer, exited: make(chan struct{})}
}

// Begin starts the course, or brings a course that has begun forward: of two schedules the earlier points count.
func (c *Course) Begin(s Schedule) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return
	}
	c.schedule = c.schedule.Earlier(s)
	c.stopTimers()
	points := []time.Time{c.schedule.Forward, c.schedule.Answer, c.schedule.Exit}
	calls := []func(){c.onForward, c.onAnswer, c.exit}
	for i, at := range points {
		c.timers = append(c.timers, time.AfterFunc(time.Until(at), func() {
			for _, call := range calls[:i+1] { // in order, also where a hold-up has made several points due at once
				call()
			}
		}))
	}
}

// Schedule returns what the course goes by; it is zero as long as it has not begun.
func (c *Course) Schedule() Schedule {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.schedule
}

// Exited is closed once the exit has come, or the course was stopped.
func (c *Course) Exited() <-chan struct{} { return c.exited }

// Stop ends the course: no callback begins from now on.
func (c *Course) Stop() { c.exit() }

func (c *Course) exit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopTimers()
	if !c.over {
		c.over = true
		close(c.exited)
	}
}

// stopTimers is called with the lock held.
func (c *Course) stopTimers() {
	for _, t := range c.timers {
		t.Stop()
	}
	c.timers = nil
}

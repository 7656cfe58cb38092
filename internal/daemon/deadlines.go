package daemon

import (
	"slices"
	"sync"
	"time"

	"quillfront/internal/shutdown"
	"quillfront/policy"
)

// deadlineHistory records the longest deadline of the current settings and of the settings replaced
// so recently that the platform may still apply them. It is safe for concurrent use.
type deadlineHistory struct {
	mu       sync.Mutex
	current  time.Duration
	previous []previousDeadline
}

// previousDeadline is the longest deadline of replaced settings.
type previousDeadline struct {
	longest    time.Duration
	validUntil time.Time // after it, the platform no longer applies those settings
}

// update records that cfg holds the settings in effect from at on.
func (d *deadlineHistory) update(cfg policy.Config, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current > 0 {
		d.previous = append(d.previous, previousDeadline{d.current, at.Add(settingsTransition)})
	}
	d.current = 0
	for _, c := range cfg.Classes {
		d.current = max(d.current, c.Deadline)
	}
	if d.current == 0 { // there are no classes, so no deadline limits the wait
		d.current = shutdown.MaxAwaitedDeadline
	}
	d.previous = slices.DeleteFunc(d.previous, func(p previousDeadline) bool { return p.validUntil.Before(at) })
}

// effective returns the smallest of the longest deadlines that the platform may apply at a time.
// The process cannot rely on more time than that.
func (d *deadlineHistory) effective(at time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	shortest := d.current
	for _, p := range d.previous {
		if !p.validUntil.Before(at) {
			shortest = min(shortest, p.longest)
		}
	}
	return shortest
}

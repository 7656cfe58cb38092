package daemon

import (
	"slices"
	"sync"
	"time"

	"quillfront/internal/shutdown"
	"quillfront/policy"
)

// deadlines remembers the longest deadlines of the settings as they are and as they were before changes, as long as the
// platform may still go by those. Its methods may be called from many goroutines at once.
type deadlines struct {
	mu     sync.Mutex
	now    time.Duration
	former []formerDeadline
}

// formerDeadline is the longest deadline of settings that were replaced.
type formerDeadline struct {
	longest time.Duration
	until   time.Time // when nobody goes by it any more
}

// set notes that cfg are the settings from at on.
func (d *deadlines) set(cfg policy.Config, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now > 0 {
		d.former = append(d.former, formerDeadline{d.now, at.Add(changeTime)})
	}
	d.now = 0
	for _, c := range cfg.Classes {
		d.now = max(d.now, c.Deadline)
	}
	if d.now == 0 { // no class, so no bound
		d.now = shutdown.MaxAwaitedDeadline
	}
	d.former = slices.DeleteFunc(d.former, func(f formerDeadline) bool { return f.until.Before(at) })
}

// agreed returns the longest deadline that holds at a time by whichever settings the platform goes: nobody can count on
// more.
func (d *deadlines) agreed(at time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	least := d.now
	for _, f := range d.former {
		if !f.until.Before(at) {
			least = min(least, f.longest)
		}
	}
	return least
}

package engine

import (
	"container/heap"
	"time"

	"quillfront/policy"
)

// SetTimer implements policy.Actions.
func (e *Engine) SetTimer(after time.Duration, token string) {
	if e.closed {
		return
	}
	heap.Push(&e.timers, timer{e.Now() + max(0, after), token})
	e.scheduleWake()
}

// scheduleWake sets wakeTimer to the time when the earliest timer is due.
func (e *Engine) scheduleWake() {
	if len(e.timers) > 0 && (e.wakeAt == 0 || e.timers[0].at < e.wakeAt) {
		e.wakeAt = e.timers[0].at
		e.wakeTimer.Reset(max(0, e.wakeAt-e.Now()))
	}
}

// fireTimers passes all timers that are due to the module, within one event.
func (e *Engine) fireTimers() {
	e.event(func(now policy.Time) {
		e.wakeAt = 0
		var due []string
		for len(e.timers) > 0 && e.timers[0].at <= now {
			due = append(due, heap.Pop(&e.timers).(timer).token)
		}
		for _, token := range due {
			e.module.Timer(now, token, e)
		}
		e.scheduleWake()
	})
}

// timer is a timer that the module has set.
type timer struct {
	at    policy.Time
	token string
}

// timerHeap implements heap.Interface with the earliest timer at the top.
type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{} // releases the token
	*t = (*t)[:last]
	return x
}

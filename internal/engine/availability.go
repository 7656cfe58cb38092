package engine

import (
	"maps"
	"slices"
	"time"

	"quillfront/exclusion"
	"quillfront/policy"
)

// ListEntry returns a server's entry in the list, without regard to removals by operators.
func (e *Engine) ListEntry(id policy.ServerID) (exclusion.Entry, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.listed[id]
	return exclusion.Entry{ID: s.ID, State: s.State, StartedMs: s.StartedMs}, ok
}

// ServerUsable reports whether a server is listed and may get new requests according to the list,
// to operators and to the server itself.
func (e *Engine) ServerUsable(id policy.ServerID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.listed[id]
	return ok && e.effective(e.absences, s).State == policy.Ready
}

// HasUsableServer reports whether any listed server may get new requests.
func (e *Engine) HasUsableServer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hasUsableServer()
}

func (e *Engine) hasUsableServer() bool {
	for _, s := range e.listed {
		if e.effective(e.absences, s).State == policy.Ready {
			return true
		}
	}
	return false
}

// Retire marks every listed server as draining and ignores list updates from now on: no server gets
// new requests, and requests that wait for a server are answered at once.
func (e *Engine) Retire() {
	e.event(func(now policy.Time) {
		if e.stopWatch != nil {
			e.stopWatch()
			e.stopWatch = nil
		}
		e.source, e.retired = nil, true
		var all []Server
		for _, id := range slices.Sorted(maps.Keys(e.listed)) {
			s := e.listed[id]
			s.State = policy.Draining
			e.listed[id] = s
			all = append(all, e.effective(e.absences, s))
		}
		e.applyEntries(now, policy.ListEnded, all)
	})
}

// UnservedSinceRetire returns how many requests were refused or failed since Retire.
func (e *Engine) UnservedSinceRetire() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unserved
}

// OpenRequests returns the number of requests without a result.
func (e *Engine) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openCount
}

// RetainedRequests returns the number of requests that the engine retains: open ones, and ended
// ones with attempts still in flight.
func (e *Engine) RetainedRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// SetAbsences sets which servers operators have removed and restored. The module is informed of
// every server whose effective entry changes. The caller must not modify a afterwards.
func (e *Engine) SetAbsences(a exclusion.State) {
	e.event(func(now policy.Time) {
		before := e.absences
		e.absences = a
		var changed []Server
		for _, id := range slices.Sorted(maps.Keys(e.listed)) {
			s := e.listed[id]
			if current := e.effective(a, s); current != e.effective(before, s) {
				changed = append(changed, current)
			}
		}
		if len(changed) > 0 {
			e.applyEntries(now, policy.ListDelta, changed)
		}
	})
}

// effective returns s with the operators' removals in a and the current avoidances applied.
func (e *Engine) effective(a exclusion.State, s Server) Server {
	c := a.Effective(exclusion.Entry{ID: s.ID, State: s.State, StartedMs: s.StartedMs})
	s.State, s.StartedMs = c.State, c.StartedMs
	if s.State == policy.Ready && e.avoided.Has(s.ID) {
		s.State = policy.Draining
	}
	return s
}

// hintDuration is how long a server is treated as draining after a hint from another process.
const hintDuration = 10 * time.Second

// HintDraining handles a hint from another process that a server is draining or gone. The server is
// treated as draining for hintDuration, as if it had asked for it. A wrong hint does little harm:
// it only makes this process more cautious, and it expires soon if the process's own list does not
// confirm it. At most half of the usable servers are avoided.
func (e *Engine) HintDraining(id policy.ServerID) {
	e.event(func(now policy.Time) { e.avoid(now, id, hintDuration) })
}

// OnLeaving registers f to be called for every listed server that starts draining or disappears
// from the list. f must not block or call e.
func (e *Engine) OnLeaving(f func(policy.ServerID)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onLeaving = f
}

// reportLeaving calls onLeaving for the servers that leave with this list.
func (e *Engine) reportLeaving(kind policy.ListKind, l []Server) {
	if e.onLeaving == nil {
		return
	}
	present := make(map[policy.ServerID]bool, len(l))
	for _, s := range l {
		present[s.ID] = true
		if old, listed := e.listed[s.ID]; listed && old.State == policy.Ready && s.State != policy.Ready {
			e.onLeaving(s.ID)
		}
	}
	if kind.Complete() && kind != policy.ListCached {
		for _, id := range slices.Sorted(maps.Keys(e.listed)) {
			if !present[id] && e.listed[id].State == policy.Ready {
				e.onLeaving(id)
			}
		}
	}
}

// avoid treats a server as draining for the duration d, and as ready again afterwards.
func (e *Engine) avoid(now policy.Time, id policy.ServerID, d time.Duration) {
	s, listed := e.listed[id]
	if !listed || e.closed {
		return
	}
	usable := 0
	for _, o := range e.listed {
		if c := e.absences.Effective(exclusion.Entry{ID: o.ID, State: o.State, StartedMs: o.StartedMs}); c.State == policy.Ready {
			usable++
		}
	}
	before := e.effective(e.absences, s)
	if !e.avoided.Add(id, now.Milliseconds(), max(d.Milliseconds(), 1), usable) {
		return
	}
	if current := e.effective(e.absences, s); current != before {
		e.applyEntries(now, policy.ListDelta, []Server{current})
	}
	e.endAvoidance(now)
}

// endAvoidance ends the avoidances that have expired, and schedules itself for the next one.
func (e *Engine) endAvoidance(now policy.Time) {
	expired, next := e.avoided.Expire(now.Milliseconds(), func(id policy.ServerID) bool { _, listed := e.listed[id]; return !listed })
	var changed []Server
	slices.Sort(expired)
	for _, id := range expired {
		if s, listed := e.listed[id]; listed {
			changed = append(changed, e.effective(e.absences, s))
		}
	}
	if len(changed) > 0 {
		e.applyEntries(now, policy.ListDelta, changed)
	}
	if next > 0 && !e.closed {
		if e.avoidTimer != nil {
			e.avoidTimer.Stop()
		}
		e.avoidTimer = time.AfterFunc(time.Duration(next)*time.Millisecond, func() {
			e.event(func(now policy.Time) {
				if !e.closed {
					e.endAvoidance(now)
				}
			})
		})
	}
}

// recordEntries stores the entries of a list or list change, and returns the effective entries.
func (e *Engine) recordEntries(kind policy.ListKind, l []Server) []Server {
	if kind.Complete() {
		clear(e.listed)
	}
	entries := make([]Server, len(l))
	for i, s := range l {
		if s.State == policy.Gone {
			delete(e.listed, s.ID)
		} else {
			e.listed[s.ID] = s
		}
		entries[i] = e.effective(e.absences, s)
	}
	return entries
}

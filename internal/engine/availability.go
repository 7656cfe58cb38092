package engine

import (
	"maps"
	"slices"
	"time"

	"quillfront/policy"
	"quillfront/roster"
)

// ListEntry returns what the list says of a server, whether operators have it out or not.
func (e *Engine) ListEntry(id policy.ServerID) (roster.Entry, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.listed[id]
	return roster.Entry{ID: s.ID, State: s.State, BornMs: s.StartedMs}, ok
}

// ServerUsable reports whether a server is listed and may get anything new, as far as the list and operators tell.
func (e *Engine) ServerUsable(id policy.ServerID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.listed[id]
	return ok && e.asCounts(e.absences, s).State == policy.Ready
}

// HasUsableServer reports whether any server is listed that may get something new.
func (e *Engine) HasUsableServer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usable()
}

func (e *Engine) usable() bool {
	for _, s := range e.listed {
		if e.asCounts(e.absences, s).State == policy.Ready {
			return true
		}
	}
	return false
}

// Retire has every listed server count as draining, and heeds no list from now on: nothing new goes to any, and what waits for one is
// answered at once.
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
			all = append(all, e.asCounts(e.absences, s))
		}
		e.tell(now, policy.ListEnded, all)
	})
}

// UnservedSinceRetire returns how many requests have been refused or have failed since Retire.
func (e *Engine) UnservedSinceRetire() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cut
}

// OpenRequests returns how many requests have no result yet.
func (e *Engine) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

// RetainedRequests returns how many requests are kept: open ones, and ended ones with attempts that are still out.
func (e *Engine) RetainedRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// SetAbsences makes a what operators have taken out and put back. The module is told of each server that counts as
// something else from now on. a must not be changed afterwards.
func (e *Engine) SetAbsences(a roster.Absences) {
	e.event(func(now policy.Time) {
		before := e.absences
		e.absences = a
		var changed []Server
		for _, id := range slices.Sorted(maps.Keys(e.listed)) {
			s := e.listed[id]
			if is := e.asCounts(a, s); is != e.asCounts(before, s) {
				changed = append(changed, is)
			}
		}
		if len(changed) > 0 {
			e.tell(now, policy.ListDelta, changed)
		}
	})
}

// asCounts is s as it counts under a, and as it has asked itself.
func (e *Engine) asCounts(a roster.Absences, s Server) Server {
	c := a.Counts(roster.Entry{ID: s.ID, State: s.State, BornMs: s.StartedMs})
	s.State, s.StartedMs = c.State, c.BornMs
	if s.State == policy.Ready && e.avoided.Has(s.ID) {
		s.State = policy.Draining
	}
	return s
}

// mostHint is how long a server counts as draining on another's word.
const mostHint = 10 * time.Second

// HintDraining takes another process's word that a server drains or is gone. It counts as draining for a while, as if it had asked to be left alone:
// that makes this process more careful, and is over soon if its own list does not say so too. At most half of those that could be used are
// left alone.
func (e *Engine) HintDraining(id policy.ServerID) {
	e.event(func(now policy.Time) { e.avoid(now, id, mostHint) })
}

// OnLeaving has f told of each server that the list has had and that drains or is gone from now on. f must not block, nor call e.
func (e *Engine) OnLeaving(f func(policy.ServerID)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = f
}

// leaves tells whoever is to know of servers that have left.
func (e *Engine) leaves(kind policy.ListKind, l []Server) {
	if e.leaving == nil {
		return
	}
	said := make(map[policy.ServerID]bool, len(l))
	for _, s := range l {
		said[s.ID] = true
		if was, listed := e.listed[s.ID]; listed && was.State == policy.Ready && s.State != policy.Ready {
			e.leaving(s.ID)
		}
	}
	if kind.Complete() && kind != policy.ListCached {
		for _, id := range slices.Sorted(maps.Keys(e.listed)) {
			if !said[id] && e.listed[id].State == policy.Ready {
				e.leaving(id)
			}
		}
	}
}

// avoid leaves a server alone for a while, as it has asked. The module is told that it drains, and at the end that it does not.
func (e *Engine) avoid(now policy.Time, id policy.ServerID, d time.Duration) {
	s, listed := e.listed[id]
	if !listed || e.closed {
		return
	}
	usable := 0
	for _, o := range e.listed {
		if c := e.absences.Counts(roster.Entry{ID: o.ID, State: o.State, BornMs: o.StartedMs}); c.State == policy.Ready {
			usable++
		}
	}
	before := e.asCounts(e.absences, s)
	if !e.avoided.Avoid(id, now.Milliseconds(), max(d.Milliseconds(), 1), usable) {
		return
	}
	if is := e.asCounts(e.absences, s); is != before {
		e.tell(now, policy.ListDelta, []Server{is})
	}
	e.unavoid(now)
}

// unavoid ends what is over of avoid, and comes again when the next is.
func (e *Engine) unavoid(now policy.Time) {
	back, next := e.avoided.End(now.Milliseconds(), func(id policy.ServerID) bool { _, listed := e.listed[id]; return !listed })
	var changed []Server
	slices.Sort(back)
	for _, id := range back {
		if s, listed := e.listed[id]; listed {
			changed = append(changed, e.asCounts(e.absences, s))
		}
	}
	if len(changed) > 0 {
		e.tell(now, policy.ListDelta, changed)
	}
	if next > 0 && !e.closed {
		if e.unavoids != nil {
			e.unavoids.Stop()
		}
		e.unavoids = time.AfterFunc(time.Duration(next)*time.Millisecond, func() {
			e.event(func(now policy.Time) {
				if !e.closed {
					e.unavoid(now)
				}
			})
		})
	}
}

// note notes a message about the list, and returns its entries as they count.
func (e *Engine) note(kind policy.ListKind, l []Server) []Server {
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
		entries[i] = e.asCounts(e.absences, s)
	}
	return entries
}

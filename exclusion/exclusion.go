// Package exclusion decides what the servers' list comes to when operators take servers out of it and put them back. A server
// that is out counts as draining, whatever the list says of it meanwhile. One that is put back counts as cold from that
// moment on until the list tells of its new start: it was restarted while it was out, and the list runs seconds late.
//
// It does no I/O and reads no clock. Two processes that take over from one another share Absences as JSON.
package exclusion

import (
	"errors"
	"maps"
	"slices"

	"quillfront/policy"
)

const (
	// MaxExcluded bounds the servers that may be out at once. Those that are no longer listed give way first.
	MaxExcluded = 1024
	// backMs is how long, in milliseconds, it is remembered that a server was put back. The list has told of its new start
	// by then, or there was none, and it is warm.
	backMs = 60_000
)

// The errors of Exclude and Include.
var (
	// ErrUnknown tells that the list has no server of that id, and that none of that id is out.
	ErrUnknown = errors.New("no such server")
	// ErrTooMany tells that MostOut servers are out already.
	ErrTooMany = errors.New("too many servers are out")
)

// State is which servers operators have out, and which they have put back of late. The zero value has none.
type State struct {
	Excluded map[policy.ServerID]Excluded `json:"out,omitempty"`
	Restored map[policy.ServerID]Restored `json:"back,omitempty"`
}

// Excluded is a server that is out.
type Excluded struct {
	StartedMs  int64 `json:"born_ms"` // its start as it was listed when it was taken out: Unix time in milliseconds, 0 is long ago
	ExcludedMs int64 `json:"from_ms"` // when it was taken out
}

// Restored is a server that was put back.
type Restored struct {
	StartedMs  int64 `json:"born_ms"`  // its start as it was listed before it was taken out
	RestoredMs int64 `json:"since_ms"` // when it was put back
}

// Entry is what the list says of a server, as far as it matters here.
type Entry struct {
	ID        policy.ServerID
	State     policy.ServerState
	StartedMs int64
}

// Exclude takes a server out. To do so twice is as to do so once. listed tells what the list says of a server.
func (a *State) Exclude(id policy.ServerID, listed func(policy.ServerID) (Entry, bool), nowMs int64) error {
	if _, out := a.Excluded[id]; out {
		return nil
	}
	e, known := listed(id)
	if !known {
		return ErrUnknown
	}
	if len(a.Excluded) >= MaxExcluded && !a.makeRoom(listed) {
		return ErrTooMany
	}
	if a.Excluded == nil {
		a.Excluded = map[policy.ServerID]Excluded{}
	}
	a.Excluded[id] = Excluded{StartedMs: e.StartedMs, ExcludedMs: nowMs}
	delete(a.Restored, id)
	return nil
}

// makeRoom forgets one server that is out and not listed, and reports whether there was one.
func (a *State) makeRoom(listed func(policy.ServerID) (Entry, bool)) bool {
	for _, id := range slices.Sorted(maps.Keys(a.Excluded)) {
		if _, known := listed(id); !known {
			delete(a.Excluded, id)
			return true
		}
	}
	return false
}

// Include puts a server back, however often it was taken out. One that is listed and was never out is left as it is.
func (a *State) Include(id policy.ServerID, listed func(policy.ServerID) (Entry, bool), nowMs int64) error {
	o, out := a.Excluded[id]
	if !out {
		if _, known := listed(id); !known {
			return ErrUnknown
		}
		return nil
	}
	delete(a.Excluded, id)
	maps.DeleteFunc(a.Restored, func(_ policy.ServerID, b Restored) bool { return nowMs-b.RestoredMs >= backMs })
	if a.Restored == nil {
		a.Restored = map[policy.ServerID]Restored{}
	}
	a.Restored[id] = Restored{StartedMs: o.StartedMs, RestoredMs: nowMs}
	return nil
}

// Effective is e as it counts.
func (a *State) Effective(e Entry) Entry {
	if _, out := a.Excluded[e.ID]; out && e.State == policy.Ready {
		e.State = policy.Draining
	}
	if b, back := a.Restored[e.ID]; back && e.StartedMs == b.StartedMs {
		e.StartedMs = b.RestoredMs
	}
	return e
}

// Equal reports whether a and b say the same.
func (a *State) Equal(b *State) bool {
	return maps.Equal(a.Excluded, b.Excluded) && maps.Equal(a.Restored, b.Restored)
}

// Clone returns a copy that shares nothing with a.
func (a *State) Clone() State {
	return State{Excluded: maps.Clone(a.Excluded), Restored: maps.Clone(a.Restored)}
}

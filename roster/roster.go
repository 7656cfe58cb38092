// Package roster decides what the servers' list comes to when operators take servers out of it and put them back. A server
// that is out counts as draining, whatever the list says of it meanwhile. One that is put back counts as cold from that
// moment on until the list tells of its new start: it was restarted while it was out, and the list runs seconds late.
//
// It does no I/O and reads no clock. Two processes that take over from one another share Absences as JSON.
package roster

import (
	"errors"
	"maps"
	"slices"

	"quillfront/policy"
)

const (
	// MostOut bounds the servers that may be out at once. Those that are no longer listed give way first.
	MostOut = 1024
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

// Absences is which servers operators have out, and which they have put back of late. The zero value has none.
type Absences struct {
	Out  map[policy.ServerID]Out  `json:"out,omitempty"`
	Back map[policy.ServerID]Back `json:"back,omitempty"`
}

// Out is a server that is out.
type Out struct {
	BornMs int64 `json:"born_ms"` // its start as it was listed when it was taken out: Unix time in milliseconds, 0 is long ago
	FromMs int64 `json:"from_ms"` // when it was taken out
}

// Back is a server that was put back.
type Back struct {
	BornMs  int64 `json:"born_ms"`  // its start as it was listed before it was taken out
	SinceMs int64 `json:"since_ms"` // when it was put back
}

// Entry is what the list says of a server, as far as it matters here.
type Entry struct {
	ID     policy.ServerID
	State  policy.ServerState
	BornMs int64
}

// Exclude takes a server out. To do so twice is as to do so once. listed tells what the list says of a server.
func (a *Absences) Exclude(id policy.ServerID, listed func(policy.ServerID) (Entry, bool), nowMs int64) error {
	if _, out := a.Out[id]; out {
		return nil
	}
	e, known := listed(id)
	if !known {
		return ErrUnknown
	}
	if len(a.Out) >= MostOut && !a.makeRoom(listed) {
		return ErrTooMany
	}
	if a.Out == nil {
		a.Out = map[policy.ServerID]Out{}
	}
	a.Out[id] = Out{BornMs: e.BornMs, FromMs: nowMs}
	delete(a.Back, id)
	return nil
}

// makeRoom forgets one server that is out and not listed, and reports whether there was one.
func (a *Absences) makeRoom(listed func(policy.ServerID) (Entry, bool)) bool {
	for _, id := range slices.Sorted(maps.Keys(a.Out)) {
		if _, known := listed(id); !known {
			delete(a.Out, id)
			return true
		}
	}
	return false
}

// Include puts a server back, however often it was taken out. One that is listed and was never out is left as it is.
func (a *Absences) Include(id policy.ServerID, listed func(policy.ServerID) (Entry, bool), nowMs int64) error {
	o, out := a.Out[id]
	if !out {
		if _, known := listed(id); !known {
			return ErrUnknown
		}
		return nil
	}
	delete(a.Out, id)
	maps.DeleteFunc(a.Back, func(_ policy.ServerID, b Back) bool { return nowMs-b.SinceMs >= backMs })
	if a.Back == nil {
		a.Back = map[policy.ServerID]Back{}
	}
	a.Back[id] = Back{BornMs: o.BornMs, SinceMs: nowMs}
	return nil
}

// Counts is e as it counts.
func (a *Absences) Counts(e Entry) Entry {
	if _, out := a.Out[e.ID]; out && e.State == policy.Ready {
		e.State = policy.Draining
	}
	if b, back := a.Back[e.ID]; back && e.BornMs == b.BornMs {
		e.BornMs = b.SinceMs
	}
	return e
}

// Equal reports whether a and b say the same.
func (a *Absences) Equal(b *Absences) bool {
	return maps.Equal(a.Out, b.Out) && maps.Equal(a.Back, b.Back)
}

// Clone returns a copy that shares nothing with a.
func (a *Absences) Clone() Absences {
	return Absences{Out: maps.Clone(a.Out), Back: maps.Clone(a.Back)}
}

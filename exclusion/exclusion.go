// Package exclusion applies operators' changes to the server list: servers that they exclude and
// include again at run time. An excluded server counts as draining, whatever the list says. One
// that is included again counts as cold from that time on until the list reports its new start: it
// was restarted while it was excluded, and the list lags by seconds.
//
// The package does no I/O and reads no clock. Two processes share State as JSON while one takes
// over from the other.
package exclusion

import (
	"errors"
	"maps"
	"slices"

	"quillfront/policy"
)

const (
	// MaxExcluded limits the servers that are excluded at the same time. At the limit, a server
	// that is no longer listed is dropped to make room.
	MaxExcluded = 1024
	// restoredTTLMs is how long a Restored entry is kept, in milliseconds. By then the list has
	// reported the new start of the server, or the server did not restart and is warm.
	restoredTTLMs = 60_000
)

// The errors of Exclude and Include.
var (
	// ErrUnknown means that no server with the ID is listed or excluded.
	ErrUnknown = errors.New("no such server")
	// ErrTooMany means that MaxExcluded servers are excluded already.
	ErrTooMany = errors.New("too many servers are out")
)

// State holds the servers that operators have excluded, and those that they recently included
// again. The zero value is empty and ready to use.
type State struct {
	Excluded map[policy.ServerID]Excluded `json:"out,omitempty"`
	Restored map[policy.ServerID]Restored `json:"back,omitempty"`
}

// Excluded is an excluded server. Times are Unix times in milliseconds.
type Excluded struct {
	StartedMs  int64 `json:"born_ms"` // start as listed at the time of the exclusion; 0: long ago
	ExcludedMs int64 `json:"from_ms"` // time of the exclusion
}

// Restored is a server that was included again.
type Restored struct {
	StartedMs  int64 `json:"born_ms"`  // start as listed before the exclusion
	RestoredMs int64 `json:"since_ms"` // time of the inclusion
}

// Entry is the part of a server's list entry that this package uses.
type Entry struct {
	ID        policy.ServerID
	State     policy.ServerState
	StartedMs int64
}

// Exclude excludes a server. It has no effect on one that is excluded already. listed returns the
// list entry of a server.
func (s *State) Exclude(id policy.ServerID, listed func(policy.ServerID) (Entry, bool), nowMs int64) error {
	if _, excluded := s.Excluded[id]; excluded {
		return nil
	}
	e, known := listed(id)
	if !known {
		return ErrUnknown
	}
	if len(s.Excluded) >= MaxExcluded && !s.evictUnlisted(listed) {
		return ErrTooMany
	}
	if s.Excluded == nil {
		s.Excluded = map[policy.ServerID]Excluded{}
	}
	s.Excluded[id] = Excluded{StartedMs: e.StartedMs, ExcludedMs: nowMs}
	delete(s.Restored, id)
	return nil
}

// evictUnlisted drops one excluded server that is not listed, and reports whether there was one.
func (s *State) evictUnlisted(listed func(policy.ServerID) (Entry, bool)) bool {
	for _, id := range slices.Sorted(maps.Keys(s.Excluded)) {
		if _, known := listed(id); !known {
			delete(s.Excluded, id)
			return true
		}
	}
	return false
}

// Include includes a server again, however often it was excluded. It has no effect on a listed
// server that is not excluded.
func (s *State) Include(id policy.ServerID, listed func(policy.ServerID) (Entry, bool), nowMs int64) error {
	o, excluded := s.Excluded[id]
	if !excluded {
		if _, known := listed(id); !known {
			return ErrUnknown
		}
		return nil
	}
	delete(s.Excluded, id)
	maps.DeleteFunc(s.Restored, func(_ policy.ServerID, b Restored) bool { return nowMs-b.RestoredMs >= restoredTTLMs })
	if s.Restored == nil {
		s.Restored = map[policy.ServerID]Restored{}
	}
	s.Restored[id] = Restored{StartedMs: o.StartedMs, RestoredMs: nowMs}
	return nil
}

// Effective returns e with the exclusions and inclusions in s applied.
func (s *State) Effective(e Entry) Entry {
	if _, excluded := s.Excluded[e.ID]; excluded && e.State == policy.Ready {
		e.State = policy.Draining
	}
	if b, restored := s.Restored[e.ID]; restored && e.StartedMs == b.StartedMs {
		e.StartedMs = b.RestoredMs
	}
	return e
}

// Equal reports whether s and b hold the same servers.
func (s *State) Equal(b *State) bool {
	return maps.Equal(s.Excluded, b.Excluded) && maps.Equal(s.Restored, b.Restored)
}

// Clone returns a deep copy of s.
func (s *State) Clone() State {
	return State{Excluded: maps.Clone(s.Excluded), Restored: maps.Clone(s.Restored)}
}

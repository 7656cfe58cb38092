package engine

import (
	"slices"
	"strings"
	"time"

	"quillfront/policy"
	"quillfront/sites"
)

// Snapshot is the state of an engine and its module at one moment.
type Snapshot struct {
	At       policy.Time // time of the snapshot by the module's clock
	Open     int         // requests without a result
	Retained int         // retained requests: open ones, and ended ones with attempts in flight
	Accepted uint64
	Probing  int           // probes in flight
	Timers   int           // timers that are not due yet
	LastDue  time.Duration // time until the last timer is due
	ListSeq  int64         // version of the list; UnknownSeq if there is none
	Watching bool
	Servers  []ServerState // sorted by ID
	Module   policy.Snapshot
	Sites    []sites.SiteSnapshot // in order of preference; empty if sites are not monitored
}

// ServerState is a listed server with the module's state of it.
type ServerState struct {
	Addr string
	policy.ServerSnapshot
}

// snapshotter is implemented by modules that can report their state.
type snapshotter interface {
	Snapshot(policy.Time) policy.Snapshot
}

// Snapshot returns the present state of the engine and its module. It holds the engine's lock for a
// time that grows with the number of servers.
func (e *Engine) Snapshot() Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Snapshot{
		At: e.Now(), Open: e.openCount, Retained: len(e.requests), Accepted: uint64(e.lastID), Probing: e.probing, Timers: len(e.timers),
		ListSeq: e.seq, Watching: e.stopWatch != nil,
	}
	for _, t := range e.timers {
		s.LastDue = max(s.LastDue, t.at-e.Now())
	}
	if m, ok := e.module.(snapshotter); ok {
		s.Module = m.Snapshot(e.Now())
	}
	s.Sites = e.sites.Snapshot(e.Now())
	states := map[policy.ServerID]policy.ServerSnapshot{}
	for _, b := range s.Module.Servers {
		states[b.ID] = b
	}
	s.Module.Servers = nil
	for id, to := range e.endpoints {
		b := states[id]
		b.ID = id
		s.Servers = append(s.Servers, ServerState{to.Addr, b})
	}
	slices.SortFunc(s.Servers, func(a, b ServerState) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return s
}

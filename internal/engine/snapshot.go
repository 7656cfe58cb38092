package engine

import (
	"slices"
	"strings"
	"time"

	"quillfront/policy"
	"quillfront/sites"
)

// Snapshot is what an engine holds and believes at one moment.
type Snapshot struct {
	At       policy.Time // when it was taken, by the module's clock
	Open     int         // requests without a result
	Retained int         // requests of which something is kept: open ones, and ended ones with attempts out
	Accepted uint64
	Probing  int           // probes under way
	Timers   int           // timers that are not yet due
	LastDue  time.Duration // until the last of them is
	ListSeq  int64         // version of the list; UnknownSeq if none was told
	Watching bool
	Servers  []ServerState // in the order of their IDs
	Beliefs  policy.Snapshot
	Sites    []sites.View // in the order of preference; none where sites are not watched
}

// ServerState is a listed server with what the module believes of it.
type ServerState struct {
	Addr string
	policy.ServerSnapshot
}

// believer is a module that can tell what it believes.
type believer interface {
	Snapshot(policy.Time) policy.Snapshot
}

// Snapshot returns what the engine holds and believes now. It takes the engine's lock for a time that grows with the
// number of servers.
func (e *Engine) Snapshot() Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := Snapshot{
		At: e.Now(), Open: e.open, Retained: len(e.requests), Accepted: uint64(e.lastID), Probing: e.probing, Timers: len(e.timers),
		ListSeq: e.seq, Watching: e.stopWatch != nil,
	}
	for _, t := range e.timers {
		s.LastDue = max(s.LastDue, t.at-e.Now())
	}
	if m, ok := e.module.(believer); ok {
		s.Beliefs = m.Snapshot(e.Now())
	}
	s.Sites = e.sites.Views(e.Now())
	believed := map[policy.ServerID]policy.ServerSnapshot{}
	for _, b := range s.Beliefs.Servers {
		believed[b.ID] = b
	}
	s.Beliefs.Servers = nil
	for id, to := range e.endpoints {
		b := believed[id]
		b.ID = id
		s.Servers = append(s.Servers, ServerState{to.Addr, b})
	}
	slices.SortFunc(s.Servers, func(a, b ServerState) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return s
}

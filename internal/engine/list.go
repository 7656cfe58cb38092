package engine

import (
	"context"
	"maps"
	"time"

	"quillfront/policy"
)

// UnknownSeq stands for the version of a list that nobody has told.
const UnknownSeq = -1

// Source tells the list of servers.
type Source interface {
	// Watch calls tell with what has changed since version since, or with the whole list where since is UnknownSeq or
	// the source has no versions, and then with each change, until ctx ends or the watch fails. tell does not keep the
	// list that it is given. When to ask again after a failure is for the module to say.
	Watch(ctx context.Context, since int64, tell func(List)) error
}

// List is the whole list of servers, or the changes since the one before.
type List struct {
	Seq         int64 // its version
	Full        bool
	Servers     []Server
	EntryErrors []EntryError // of entries that are not among Servers, or lack there what could not be read
}

// Server is an entry of the list. Whoever makes it has checked it: there is an ID, and an address that can be dialled or,
// with a Fault or if it is gone, none.
type Server struct {
	ID        policy.ServerID
	Addr      string
	State     policy.ServerState
	Zone      string
	Cell      int
	Weight    float64
	StartedMs int64 // when it last started, Unix time in milliseconds; 0 is long ago
}

// rewatch is the pause before a pushed list is listened to again after a failure. What the source gets counts as told, and the
// source is the process's own, so that nobody else waits longer for the call; it keeps a source that refuses from being asked without end.
const rewatch = 200 * time.Millisecond

// listen begins the watch of a list that is pushed, unless it stands: it comes unasked to the module, and asking for it is the engine's.
func (e *Engine) listen() {
	if e.config.ListPushed && e.stopWatch == nil {
		e.Watch(true)
	}
}

// Watch is a method of policy.Actions. A watch ends in one ListFailed, unless it is called off or the list is pushed; when to ask again
// is for the module to say.
func (e *Engine) Watch(on bool) {
	if e.stopWatch != nil {
		e.stopWatch()
		e.stopWatch = nil
	}
	if !on || e.closed || e.source == nil {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.stopWatch = cancel
	source, since := e.source, e.seq
	e.work.Go(func() {
		err := source.Watch(ctx, since, func(l List) {
			kind := policy.ListDelta
			if l.Full {
				kind = policy.ListFull
			}
			e.event(func(now policy.Time) {
				if ctx.Err() == nil {
					e.members(now, kind, l)
				}
			})
		})
		e.event(func(now policy.Time) {
			if ctx.Err() != nil { // called off
				return
			}
			cancel()
			e.stopWatch = nil
			e.log.Warn("watch on discovery ended", "err", err)
			if e.config.ListPushed {
				time.AfterFunc(rewatch, func() { e.event(func(policy.Time) { e.listen() }) })
				return
			}
			e.module.UpdateServers(now, policy.ListFailed, nil, e)
		})
	})
}

// SetSource makes s the source of the list. Versions are those of the old one: the whole list must be asked for.
func (e *Engine) SetSource(s Source) {
	e.event(func(now policy.Time) {
		e.source, e.seq = s, UnknownSeq
		e.module.DiscoveryMoved(now, e)
	})
}

// Refresh asks the source for the whole list at once, rather than when the module would.
func (e *Engine) Refresh() {
	e.event(func(now policy.Time) {
		e.seq = UnknownSeq
		e.module.DiscoveryMoved(now, e)
	})
}

// ListReceived reports whether the source has told the list, beyond what was known at the start.
func (e *Engine) ListReceived() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.told
}

// members notes a message about the server list, and hands it to the module as it counts.
func (e *Engine) members(now policy.Time, kind policy.ListKind, l List) {
	e.seq = l.Seq
	e.told = kind != policy.ListCached
	servers, faults := vet(l, e.listed, e.originMs+now.Milliseconds())
	e.complain(faults)
	e.leaves(kind, servers)
	e.tell(now, kind, e.note(kind, servers))
}

// tell hands entries of the list to the module.
func (e *Engine) tell(now policy.Time, kind policy.ListKind, entries []Server) {
	before := e.endpoints // of those that may change: of a whole list all, else what its entries name
	if kind.Complete() {
		e.endpoints = make(map[policy.ServerID]Endpoint, len(entries))
	} else {
		before = make(map[policy.ServerID]Endpoint, len(entries))
		for _, s := range entries {
			if old, stood := e.endpoints[s.ID]; stood {
				before[s.ID] = old
			}
		}
	}
	servers := make([]policy.Server, len(entries))
	for i, s := range entries {
		servers[i] = policy.Server{
			ID: s.ID, State: s.State, Zone: s.Zone, Cell: s.Cell, Weight: s.Weight, Started: e.started(now, s),
		}
		if s.State == policy.Gone {
			delete(e.endpoints, s.ID)
		} else {
			e.endpoints[s.ID] = Endpoint{s.Addr, s.ID, s.StartedMs, s.Zone, s.Cell}
		}
	}
	maps.DeleteFunc(e.early, func(id policy.ServerID, f firstSight) bool { return e.endpoints[id].StartedMs != f.bornMs })
	leaving := map[policy.ServerID]bool{}
	// Connections of a server that has gone, moved or started anew are of no use to whoever has its address now.
	for id, old := range before {
		if e.endpoints[id] != old {
			e.to.HangUp(old)
			leaving[id] = true
		}
	}
	for _, s := range servers {
		if s.State != policy.Ready {
			leaving[s.ID] = true
		}
	}
	e.module.UpdateServers(now, kind, servers, e)
	e.recall(leaving)
	e.sites.Members(now, kind, servers)
}

// recall calls off what waits to be sent to servers that leave, so that the module decides anew. It guards against sends that begin long
// after the decision: however long a descriptor or a connection takes to come, nothing new goes to a server that was told to leave.
func (e *Engine) recall(leaving map[policy.ServerID]bool) {
	if len(leaving) == 0 {
		return
	}
	for _, r := range e.requests {
		for _, a := range r.attempts {
			if !a.settled && a.begun == 0 && leaving[a.Server] {
				a.callOff()
			}
		}
	}
}

// started is the module's time of a server's start. It guards against a server that seems to have restarted because its time
// was converted anew by a wall clock that has since been set: equal times stay equal, and only 0 is long ago. It also guards
// against a start in the future, by a clock that is wrong: the server would be held for cold until then.
func (e *Engine) started(now policy.Time, s Server) policy.Time {
	if s.StartedMs == 0 {
		return 0
	}
	if f, ok := e.early[s.ID]; ok && f.bornMs == s.StartedMs {
		return f.at
	}
	const most = int64(1e12) // about 30 years either way: more would overflow, and none is real
	ms := min(max(s.StartedMs-e.originMs, -most), most)
	at := time.Duration(ms) * time.Millisecond
	switch {
	case ms == 0:
		return 1
	case at > now:
		e.early[s.ID] = firstSight{s.StartedMs, now}
		return now
	}
	return at
}

// firstSight is a time told that was in the future, and when that was.
type firstSight struct {
	bornMs int64
	at     policy.Time
}

package engine

import (
	"context"
	"maps"
	"time"

	"quillfront/policy"
)

// UnknownSeq is the version of the list before the source has sent one.
const UnknownSeq = -1

// Source provides the server list.
type Source interface {
	// Watch calls update with the changes since version since, or with the full list if since is
	// UnknownSeq or the source has no versions, and then with every further change, until ctx is
	// done or the watch fails. update does not retain its argument. The module decides when to
	// watch again after a failure.
	Watch(ctx context.Context, since int64, update func(List)) error
}

// List is the full server list, or the changes since the previous version.
type List struct {
	Seq         int64 // version of the list
	Full        bool  // Servers is the full list, not a change
	Servers     []Server
	EntryErrors []EntryError // errors of entries that are missing or incomplete in Servers
}

// Server is an entry of the server list. The source has validated it: ID is set, and Addr can be
// dialed or is empty. It is empty only if the server is gone or the entry has an EntryError.
type Server struct {
	ID        policy.ServerID
	Addr      string
	State     policy.ServerState
	Zone      string
	Cell      int
	Weight    float64
	StartedMs int64 // last start, Unix time in milliseconds; 0 means long ago
}

// rewatchDelay is the pause before the engine watches a pushed list again after a failure. It keeps
// the engine from calling a failing source in a busy loop. The delay costs no other process
// anything: the source belongs to this process, and what it has received counts as delivered.
const rewatchDelay = 200 * time.Millisecond

// ensurePushedWatch starts the watch of a pushed list unless it is running. The module does not
// request a pushed list, so the engine has to start the watch.
func (e *Engine) ensurePushedWatch() {
	if e.config.ListPushed && e.stopWatch == nil {
		e.Watch(true)
	}
}

// Watch implements policy.Actions. A watch ends with one ListFailed event, unless it is canceled or
// the list is pushed. The module decides when to watch again.
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
	e.goroutines.Go(func() {
		err := source.Watch(ctx, since, func(l List) {
			kind := policy.ListDelta
			if l.Full {
				kind = policy.ListFull
			}
			e.event(func(now policy.Time) {
				switch {
				case ctx.Err() != nil:
				case kind == policy.ListDelta && l.Seq < e.seq:
					e.sourceRestarted(now, l.Seq)
				default:
					e.updateList(now, kind, l)
				}
			})
		})
		e.event(func(now policy.Time) {
			if ctx.Err() != nil { // canceled
				return
			}
			cancel()
			e.stopWatch = nil
			e.log.Warn("watch on discovery ended", "err", err)
			if e.config.ListPushed {
				time.AfterFunc(rewatchDelay, func() { e.event(func(policy.Time) { e.ensurePushedWatch() }) })
				return
			}
			e.module.UpdateServers(now, policy.ListFailed, nil, e)
		})
	})
}

// sourceRestarted requests the full list after a change with a version below the present one. The
// source has lost its versions, as a new process does that comes up at the address of the old one:
// its changes are those of another list, and must not be applied to the present one.
func (e *Engine) sourceRestarted(now policy.Time, seq int64) {
	e.log.Warn("the source of the server list has begun anew", "seq", seq, "before", e.seq)
	e.seq = UnknownSeq
	e.module.DiscoveryMoved(now, e)
}

// SetSource replaces the source of the server list. Versions of the old source mean nothing to the
// new one, so the next watch requests the full list.
func (e *Engine) SetSource(s Source) {
	e.event(func(now policy.Time) {
		e.source, e.seq = s, UnknownSeq
		e.module.DiscoveryMoved(now, e)
	})
}

// Refresh has the module request the full list at once instead of at its next regular time.
func (e *Engine) Refresh() {
	e.event(func(now policy.Time) {
		e.seq = UnknownSeq
		e.module.DiscoveryMoved(now, e)
	})
}

// ListReceived reports whether the source has sent a list. The cached list does not count.
func (e *Engine) ListReceived() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listReceived
}

// updateList records a list or list change and passes the effective entries to the module.
func (e *Engine) updateList(now policy.Time, kind policy.ListKind, l List) {
	e.seq = l.Seq
	e.listReceived = kind != policy.ListCached
	servers, errs := validateList(l, e.listed, e.originMs+now.Milliseconds())
	e.logEntryErrors(errs)
	e.reportLeaving(kind, servers)
	e.applyEntries(now, kind, e.recordEntries(kind, servers))
}

// applyEntries updates the endpoints from list entries, passes the entries to the module, and stops
// using servers that leave or whose endpoint has changed.
func (e *Engine) applyEntries(now policy.Time, kind policy.ListKind, entries []Server) {
	before := e.endpoints // old endpoints that may change: all for a full list, else those in entries
	if kind.Complete() {
		e.endpoints = make(map[policy.ServerID]Endpoint, len(entries))
	} else {
		before = make(map[policy.ServerID]Endpoint, len(entries))
		for _, s := range entries {
			if old, existed := e.endpoints[s.ID]; existed {
				before[s.ID] = old
			}
		}
	}
	servers := make([]policy.Server, len(entries))
	for i, s := range entries {
		servers[i] = policy.Server{
			ID: s.ID, State: s.State, Zone: s.Zone, Cell: s.Cell, Weight: s.Weight, Started: e.startTime(now, s),
		}
		if s.State == policy.Gone {
			delete(e.endpoints, s.ID)
		} else {
			e.endpoints[s.ID] = Endpoint{s.Addr, s.ID, s.StartedMs, s.Zone, s.Cell}
		}
	}
	maps.DeleteFunc(e.futureStarts, func(id policy.ServerID, f futureStart) bool { return e.endpoints[id].StartedMs != f.startedMs })
	leaving := map[policy.ServerID]bool{}
	// Connections to a server that has gone, moved or restarted are unusable for the server that
	// has its address now.
	for id, old := range before {
		if e.endpoints[id] != old {
			e.transport.CloseIdle(old)
			leaving[id] = true
		}
	}
	for _, s := range servers {
		if s.State != policy.Ready {
			leaving[s.ID] = true
		}
	}
	e.module.UpdateServers(now, kind, servers, e)
	e.cancelUnsent(leaving)
	e.sites.UpdateServers(now, kind, servers)
}

// cancelUnsent cancels attempts that have not been sent yet to servers that leave, so that the
// module selects again. Waiting for a descriptor or a connection can take long; without this, a
// send could start long after the selection, at a server that must not get new requests any more.
func (e *Engine) cancelUnsent(leaving map[policy.ServerID]bool) {
	if len(leaving) == 0 {
		return
	}
	for _, r := range e.requests {
		for _, a := range r.attempts {
			if !a.ended && a.replyBegunAt == 0 && leaving[a.Server] {
				a.cancelIfUnsent()
			}
		}
	}
}

// startTime converts a server's start time to the module's clock. The conversion does not depend on
// the present wall clock: equal times stay equal after the clock was set, so that the server does
// not seem to have restarted. Only 0 converts to 0, which means long ago. A start in the future,
// reported by a wrong clock, becomes the time at which it was first listed; otherwise the server
// would be treated as cold until then.
func (e *Engine) startTime(now policy.Time, s Server) policy.Time {
	if s.StartedMs == 0 {
		return 0
	}
	if f, ok := e.futureStarts[s.ID]; ok && f.startedMs == s.StartedMs {
		return f.at
	}
	// 1e12 ms is about 30 years; larger values would overflow and cannot be real.
	const maxOffsetMs = int64(1e12)
	ms := min(max(s.StartedMs-e.originMs, -maxOffsetMs), maxOffsetMs)
	at := time.Duration(ms) * time.Millisecond
	switch {
	case ms == 0:
		return 1
	case at > now:
		e.futureStarts[s.ID] = futureStart{s.StartedMs, now}
		return now
	}
	return at
}

// futureStart is a reported start time that lay in the future, and when it was first listed.
type futureStart struct {
	startedMs int64
	at        policy.Time
}

package engine

import (
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"quillfront/policy"
)

// EntryError describes a list entry that the source could not use in full. The server keeps its
// previous state, except for what the entry does provide.
type EntryError struct {
	ID     policy.ServerID // empty if the entry has no ID
	Reason string          // one line that names the invalid field
}

// validateList returns the usable entries of l, completed from the previous list, and the errors of
// its entries. nowMs is the present in Unix milliseconds.
//
// An entry without an address keeps the previous one, so that a server that drains gets no new
// requests even if the rest of its entry is invalid. An entry without any address is dropped. Of
// two entries for one server the more restrictive state applies: a drain is kept even if another
// entry contradicts it.
func validateList(l List, previous map[policy.ServerID]Server, nowMs int64) ([]Server, []EntryError) {
	errs := l.EntryErrors
	index := make(map[policy.ServerID]int, len(l.Servers))
	servers := make([]Server, 0, len(l.Servers))
	for _, s := range l.Servers {
		if s.Addr == "" && s.State != policy.Gone {
			s.Addr = previous[s.ID].Addr
		}
		if s.StartedMs > nowMs {
			errs = append(errs, EntryError{s.ID, fmt.Sprintf("start time is %v from now: using the time it was first listed",
				time.Duration(min(s.StartedMs-nowMs, 1e12))*time.Millisecond)})
		}
		i, duplicate := index[s.ID]
		switch {
		case duplicate:
			errs = append(errs, EntryError{s.ID, "server is listed more than once"})
			if s.State >= servers[i].State {
				servers[i] = s
			}
		case s.Addr != "" || s.State == policy.Gone:
			index[s.ID] = len(servers)
			servers = append(servers, s)
		}
	}
	if l.Full { // servers whose entries are invalid keep their previous entries
		for _, f := range l.EntryErrors {
			s, listed := previous[f.ID]
			if _, present := index[f.ID]; listed && !present {
				index[f.ID] = len(servers)
				servers = append(servers, s)
			}
		}
	}
	return servers, errs
}

// entryErrorLog limits the logging of entry errors to one line per entryErrorLogInterval, because a
// source may send invalid entries without end.
type entryErrorLog struct {
	limit      rate.Sometimes
	unreported int // errors since the last line
}

const entryErrorLogInterval = 10 * time.Second

func (e *Engine) logEntryErrors(errs []EntryError) {
	if len(errs) == 0 {
		return
	}
	e.entryErrors.unreported += len(errs)
	e.entryErrors.limit.Do(func() {
		e.log.Warn("the list has what cannot be used", "server", string(errs[0].ID), "fault", errs[0].Reason, "faults", e.entryErrors.unreported)
		e.entryErrors.unreported = 0
	})
}

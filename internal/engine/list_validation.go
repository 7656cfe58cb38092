package engine

import (
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"quillfront/policy"
)

// EntryError is what a source could not use of an entry. What stood of its server stays, but for what the entry does tell.
type EntryError struct {
	ID     policy.ServerID // empty: the entry has none
	Reason string          // one line, which names the field
}

// vet returns the entries of l as they can be used beside those that stood before, and what is wrong with it. nowMs is the
// present in Unix milliseconds.
//
// An entry without an address keeps the one that stood, so that a server that leaves is left alone even if the rest of its entry
// is spoilt; if none stood it is dropped. Of two for one server the one that lets it take least counts: a drain that another
// line denies is kept.
func vet(l List, before map[policy.ServerID]Server, nowMs int64) ([]Server, []EntryError) {
	faults := l.EntryErrors
	at := make(map[policy.ServerID]int, len(l.Servers))
	servers := make([]Server, 0, len(l.Servers))
	for _, s := range l.Servers {
		if s.Addr == "" && s.State != policy.Gone {
			s.Addr = before[s.ID].Addr
		}
		if s.StartedMs > nowMs {
			faults = append(faults, EntryError{s.ID, fmt.Sprintf("began %v from now: counts as begun when it was first told",
				time.Duration(min(s.StartedMs-nowMs, 1e12))*time.Millisecond)})
		}
		i, twice := at[s.ID]
		switch {
		case twice:
			faults = append(faults, EntryError{s.ID, "is there twice"})
			if s.State >= servers[i].State {
				servers[i] = s
			}
		case s.Addr != "" || s.State == policy.Gone:
			at[s.ID] = len(servers)
			servers = append(servers, s)
		}
	}
	if l.Full { // what stood of those that could not be read stays
		for _, f := range l.EntryErrors {
			s, stood := before[f.ID]
			if _, told := at[f.ID]; stood && !told {
				at[f.ID] = len(servers)
				servers = append(servers, s)
			}
		}
	}
	return servers, faults
}

// complaints tells the log of faults, one line for those of faultEvery: who sends what is wrong may do so without end.
type complaints struct {
	some rate.Sometimes
	left int // faults since the last line
}

const faultEvery = 10 * time.Second

func (e *Engine) complain(faults []EntryError) {
	if len(faults) == 0 {
		return
	}
	e.faults.left += len(faults)
	e.faults.some.Do(func() {
		e.log.Warn("the list has what cannot be used", "server", string(faults[0].ID), "fault", faults[0].Reason, "faults", e.faults.left)
		e.faults.left = 0
	})
}

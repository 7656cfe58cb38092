package exclusion

import "quillfront/policy"

// Avoided are the servers that have asked to be left alone for a while. At most half of those that could be used are left alone at once: a
// fleet whose servers all ask for it is in need of clients that come back later, not of a sidecar that has nobody left. The zero value has
// none.
type Avoided struct{ until map[policy.ServerID]int64 }

// Add notes that a server asks to be left alone for forMs, at nowMs, where usable servers could be used if none were. It reports whether
// it is left alone. A later end replaces an earlier one.
func (a *Avoided) Add(id policy.ServerID, nowMs, forMs int64, usable int) bool {
	until, is := a.until[id]
	if !is && 2*(len(a.until)+1) > usable {
		return false
	}
	if a.until == nil {
		a.until = map[policy.ServerID]int64{}
	}
	a.until[id] = max(until, nowMs+forMs)
	return true
}

// Has reports whether a server is left alone.
func (a *Avoided) Has(id policy.ServerID) bool {
	_, is := a.until[id]
	return is
}

// Expire takes those out whose time is over at nowMs, or for which gone is true, and returns them, with the time until the next one's is; 0:
// there is none.
func (a *Avoided) Expire(nowMs int64, gone func(policy.ServerID) bool) (back []policy.ServerID, nextMs int64) {
	for id, until := range a.until {
		if until <= nowMs || gone(id) {
			back = append(back, id)
			delete(a.until, id)
		} else if left := until - nowMs; nextMs == 0 || left < nextMs {
			nextMs = left
		}
	}
	return back, nextMs
}

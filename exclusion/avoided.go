package exclusion

import "quillfront/policy"

// Avoided holds the servers that have asked not to receive requests for a while. At most half of
// the usable servers are avoided at the same time: if all servers of a fleet ask for it, the
// clients must come back later, and a sidecar without any server left would not help. The zero
// value is empty.
type Avoided struct{ until map[policy.ServerID]int64 }

// Add records that a server asks to be avoided for forMs from nowMs on, where usable is the number
// of servers that could be used if none were avoided. It reports whether the server is avoided now.
// If it was avoided already, the later end applies.
func (a *Avoided) Add(id policy.ServerID, nowMs, forMs int64, usable int) bool {
	until, avoided := a.until[id]
	if !avoided && 2*(len(a.until)+1) > usable {
		return false
	}
	if a.until == nil {
		a.until = map[policy.ServerID]int64{}
	}
	a.until[id] = max(until, nowMs+forMs)
	return true
}

// Has reports whether a server is avoided.
func (a *Avoided) Has(id policy.ServerID) bool {
	_, avoided := a.until[id]
	return avoided
}

// Expire removes the servers whose time has ended at nowMs or for which gone is true, and returns
// them and the time until the next one ends, 0 if there is none.
func (a *Avoided) Expire(nowMs int64, gone func(policy.ServerID) bool) (expired []policy.ServerID, nextMs int64) {
	for id, until := range a.until {
		if until <= nowMs || gone(id) {
			expired = append(expired, id)
			delete(a.until, id)
		} else if left := until - nowMs; nextMs == 0 || left < nextMs {
			nextMs = left
		}
	}
	return expired, nextMs
}

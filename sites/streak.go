package sites

import (
	"math"
	"slices"
	"time"
)

const (
	// leastRun and mostRun bound how many failures in a row tell that a site is dark. Between them it is as many as come by
	// chance, with what fails there usually, once in a thousand times.
	leastRun, mostRun = 4, 20
	byChance          = 0.001
	// runServers is at how many servers they must have come, if the site has as many: one that is ill is no dark site.
	runServers = 3
	// runMemory is how old the latest failure may be.
	runMemory = time.Minute
	// baseMemory is the weight of a new outcome in what fails usually.
	baseMemory = 1.0 / 32
)

// run is the outcomes of a site one by one, for an instance that sends too little for sums that decay: of the servers of a
// site it meets a few, each some times a minute.
type run struct {
	bad  int      // failures since the latest answer
	at   []string // servers at which they came, at most runServers
	last Time     // the latest outcome
	base float64  // the part that fails usually
}

// note notes an outcome.
func (r *run) note(now Time, server string, ok bool) {
	if now-r.last > runMemory {
		r.clear()
	}
	r.last = now
	if !ok {
		r.bad = min(r.bad+1, mostRun)
		if len(r.at) < runServers && !slices.Contains(r.at, server) {
			r.at = append(r.at, server)
		}
		return
	}
	for range r.bad { // failures that did not become a run are what is usual
		r.base += baseMemory * (1 - r.base)
	}
	r.base -= baseMemory * r.base
	r.clear()
}

func (r *run) clear() { r.bad, r.at = 0, r.at[:0] }

// tells reports whether the failures tell that a site of so many servers is dark.
func (r *run) tells(now Time, servers int) bool {
	if r.bad < leastRun || now-r.last > runMemory || len(r.at) < min(runServers, servers) {
		return false
	}
	need := mostRun
	if r.base < 0.7 {
		need = min(max(int(math.Ceil(math.Log(byChance)/math.Log(max(r.base, 0.01)))), leastRun), mostRun)
	}
	return r.bad >= need
}

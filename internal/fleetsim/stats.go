package fleetsim

import (
	"fmt"
	"hash/fnv"
)

// Stats holds the counters and rule violations of a Simulation.
type Stats struct {
	Seconds          [][]Counts // by second and class
	Violations       []string   // in order of occurrence; at most maxViolations
	ViolationCount   int        // including those not kept in Violations
	Probes           int
	Handshakes       int
	CrossZoneSends   int     // attempts sent to another zone
	ListCalls        int     // calls to discovery for the server list
	InvertedRefusals int     // orders refused within checkWindow after the same sidecar sent a check
	MaxColdLoad      float64 // peak work sent to a cold server in one second, divided by its capacity
}

// Counts holds the counters of one class in one second. Requests, InTime, Late, Work and WorkInTime
// belong to the second in which the first try arrived; the others to the second of the event.
type Counts struct {
	Requests, InTime, Late        int
	Tries, Sends, Refused, Failed int
	Work, WorkInTime              float64 // seconds of work requested, and answered in time
}

// maxViolations bounds the violations that are kept with their text.
const maxViolations = 20

func (a *Stats) at(second, class int) *Counts {
	for len(a.Seconds) <= second {
		a.Seconds = append(a.Seconds, make([]Counts, len(classMix)))
	}
	return &a.Seconds[second][class]
}

func (a *Stats) violation(rule, detail string) {
	a.ViolationCount++
	if len(a.Violations) < maxViolations {
		a.Violations = append(a.Violations, rule+": "+detail)
	}
}

// ClassTotal sums the counters of a class over the seconds [from, to).
func (a *Stats) ClassTotal(class, from, to int) (sum Counts) {
	for i := from; i < to && i < len(a.Seconds); i++ {
		t := a.Seconds[i][class]
		sum.Requests += t.Requests
		sum.InTime += t.InTime
		sum.Late += t.Late
		sum.Tries += t.Tries
		sum.Sends += t.Sends
		sum.Refused += t.Refused
		sum.Failed += t.Failed
		sum.Work += t.Work
		sum.WorkInTime += t.WorkInTime
	}
	return sum
}

// ServedShare returns the share of the requested work that was answered in time, weighted by worth.
func (a *Stats) ServedShare(from, to int) float64 {
	won, work := 0.0, 0.0
	for i, c := range Classes() {
		t := a.ClassTotal(i, from, to)
		won += c.Worth * t.WorkInTime
		work += c.Worth * t.Work
	}
	return won / max(work, 1e-9)
}

// Hash returns a hash of the statistics, for comparing two runs.
func (a *Stats) Hash() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, a.Seconds, a.Violations, a.ViolationCount, a.Probes, a.Handshakes, a.CrossZoneSends, a.ListCalls, a.InvertedRefusals)
	return h.Sum64()
}

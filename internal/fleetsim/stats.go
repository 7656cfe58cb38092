package fleetsim

import (
	"fmt"
	"hash/fnv"
)

// Stats is what a World has counted.
type Stats struct {
	Seconds          [][]Counts // by second and class
	Violations       []string   // rules, in the order in which they were broken; mostBroken of them
	ViolationCount   int        // all of them
	Probes           int
	Handshakes       int
	CrossZoneSends   int     // attempts at servers of another zone
	ListCalls        int     // for the list
	InvertedRefusals int     // orders turned away where the same sidecar had sent a check less than besideCheck before
	MaxColdLoad      float64 // most work that came to a cold server in a second, in what it could do
}

// Counts counts first tries by the second in which they came, and what is sent, refused and failed by the second in which it is.
type Counts struct {
	Requests, InTime, Late        int
	Tries, Sends, Refused, Failed int
	Work, WorkInTime              float64 // seconds of work asked for, and answered in time
}

// maxViolations bounds what is kept of breaches.
const maxViolations = 20

func (a *Stats) at(second, class int) *Counts {
	for len(a.Seconds) <= second {
		a.Seconds = append(a.Seconds, make([]Counts, len(classMix)))
	}
	return &a.Seconds[second][class]
}

func (a *Stats) violation(rule, what string) {
	a.ViolationCount++
	if len(a.Violations) < maxViolations {
		a.Violations = append(a.Violations, rule+": "+what)
	}
}

// ClassTotal sums up a class over the seconds from from up to to.
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

// ServedShare is the worth that was answered in time of that asked for, counted by work.
func (a *Stats) ServedShare(from, to int) float64 {
	won, work := 0.0, 0.0
	for i, c := range Classes() {
		t := a.ClassTotal(i, from, to)
		won += c.Worth * t.WorkInTime
		work += c.Worth * t.Work
	}
	return won / max(work, 1e-9)
}

// Hash is a hash of all that was counted.
func (a *Stats) Hash() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, a.Seconds, a.Violations, a.ViolationCount, a.Probes, a.Handshakes, a.CrossZoneSends, a.ListCalls, a.InvertedRefusals)
	return h.Sum64()
}

package fleetsim

import (
	"fmt"
	"hash/fnv"
)

// Account is what a World has counted.
type Account struct {
	Seconds    [][]Tally // by second and class
	Broken     []string  // rules, in the order in which they were broken; mostBroken of them
	Breaches   int       // all of them
	Probes     int
	Handshakes int
	Crossings  int     // attempts at servers of another zone
	Calls      int     // for the list
	Inverted   int     // orders turned away where the same sidecar had sent a check less than besideCheck before
	Pressure   float64 // most work that came to a cold server in a second, in what it could do
}

// Tally counts first tries by the second in which they came, and what is sent, refused and failed by the second in which it is.
type Tally struct {
	Asked, InTime, Late           int
	Tries, Sends, Refused, Failed int
	Work, Won                     float64 // seconds of work asked for, and answered in time
}

// mostBroken bounds what is kept of breaches.
const mostBroken = 20

func (a *Account) at(second, class int) *Tally {
	for len(a.Seconds) <= second {
		a.Seconds = append(a.Seconds, make([]Tally, len(mix)))
	}
	return &a.Seconds[second][class]
}

func (a *Account) broken(rule, what string) {
	a.Breaches++
	if len(a.Broken) < mostBroken {
		a.Broken = append(a.Broken, rule+": "+what)
	}
}

// Class sums up a class over the seconds from from up to to.
func (a *Account) Class(class, from, to int) (sum Tally) {
	for i := from; i < to && i < len(a.Seconds); i++ {
		t := a.Seconds[i][class]
		sum.Asked += t.Asked
		sum.InTime += t.InTime
		sum.Late += t.Late
		sum.Tries += t.Tries
		sum.Sends += t.Sends
		sum.Refused += t.Refused
		sum.Failed += t.Failed
		sum.Work += t.Work
		sum.Won += t.Won
	}
	return sum
}

// Served is the worth that was answered in time of that asked for, counted by work.
func (a *Account) Served(from, to int) float64 {
	won, work := 0.0, 0.0
	for i, c := range Classes() {
		t := a.Class(i, from, to)
		won += c.Worth * t.Won
		work += c.Worth * t.Work
	}
	return won / max(work, 1e-9)
}

// Sum is a hash of all that was counted.
func (a *Account) Sum() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, a.Seconds, a.Broken, a.Breaches, a.Probes, a.Handshakes, a.Crossings, a.Calls, a.Inverted)
	return h.Sum64()
}

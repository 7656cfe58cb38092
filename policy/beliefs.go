package policy

import "time"

// Beliefs is what a Balancer believes at one moment. It is for staff to look at: nothing is decided by it.
type Beliefs struct {
	Threshold float64 // shortest queue of the last probe round; +Inf before the first
	ReadySet  int     // how many of the ready servers make up the ready set
	Held      int     // requests that wait for a mark
	Credit    float64 // probes that the traffic so far has paid for
	Watching  bool
	Servers   []ServerBelief // in the order of their IDs
}

// ServerBelief is what a Balancer believes of one server.
type ServerBelief struct {
	ID       ServerID
	State    ServerState
	Zone     string
	Cell     int
	Queue    float64 // latest reported; meaningless unless Reported
	Reported bool
	Marked   bool // it has a mark that is not stale
	InSet    bool // it is of the ready set
	Out      int  // attempts of this sidecar that have no outcome
	Fails    int  // failures in a row
	Ejected  time.Duration
	Warmth   float64       // least share of its capacity, 0 to 1
	Expected time.Duration // delay to expect of an answer
}

// Beliefs returns what b believes at now.
func (b *Balancer) Beliefs(now Time) Beliefs {
	s := Beliefs{Threshold: b.threshold, ReadySet: b.setSize, Held: len(b.held), Credit: b.credit, Watching: b.watching}
	inSet := map[*server]bool{}
	for _, t := range b.ready[:min(b.setSize, len(b.ready))] {
		inSet[t] = true
	}
	for _, id := range sortedKeys(b.servers) {
		t := b.servers[id]
		s.Servers = append(s.Servers, ServerBelief{
			ID: id, State: t.State, Zone: t.Zone, Cell: t.Cell, Queue: t.queue, Reported: t.reported,
			Marked: b.hasMark(now, t), InSet: inSet[t], Out: t.out, Fails: t.fails, Ejected: max(0, t.ejected-now),
			Warmth: b.warmth(now, t), Expected: b.expected(t),
		})
	}
	return s
}

package policy

import "time"

// Snapshot is what a Balancer believes at one moment. It is for staff to look at: nothing is decided by it.
type Snapshot struct {
	Threshold   float64 // shortest queue of the last probe round; +Inf before the first
	ReadySet    int     // how many of the ready servers make up the ready set
	Held        int     // requests that wait for a mark
	ProbeCredit float64 // probes that the traffic so far has paid for
	Watching    bool
	Servers     []ServerSnapshot // in the order of their IDs
}

// ServerSnapshot is what a Balancer believes of one server.
type ServerSnapshot struct {
	ID                  ServerID
	State               ServerState
	Zone                string
	Cell                int
	Queue               float64 // latest reported; meaningless unless Reported
	Reported            bool
	Marked              bool // it has a mark that is not stale
	InReadySet          bool // it is of the ready set
	Outstanding         int  // attempts of this sidecar that have no outcome
	ConsecutiveFailures int  // failures in a row
	EjectedFor          time.Duration
	Warmth              float64       // least share of its capacity, 0 to 1
	ExpectedDelay       time.Duration // delay to expect of an answer
}

// Snapshot returns what b believes at now.
func (b *Balancer) Snapshot(now Time) Snapshot {
	s := Snapshot{Threshold: b.threshold, ReadySet: b.setSize, Held: len(b.held), ProbeCredit: b.credit, Watching: b.watching}
	inSet := map[*server]bool{}
	for _, t := range b.ready[:min(b.setSize, len(b.ready))] {
		inSet[t] = true
	}
	for _, id := range sortedKeys(b.servers) {
		t := b.servers[id]
		s.Servers = append(s.Servers, ServerSnapshot{
			ID: id, State: t.State, Zone: t.Zone, Cell: t.Cell, Queue: t.queue, Reported: t.reported,
			Marked: b.hasMark(now, t), InReadySet: inSet[t], Outstanding: t.out, ConsecutiveFailures: t.fails, EjectedFor: max(0, t.ejected-now),
			Warmth: b.warmth(now, t), ExpectedDelay: b.expected(t),
		})
	}
	return s
}

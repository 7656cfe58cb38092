package policy

import "time"

// Snapshot is the state of a Balancer at one moment, for operators. No decision depends on it.
type Snapshot struct {
	Threshold   float64 // shortest queue of the last probe round; +Inf before the first
	ReadySet    int     // number of servers in the ready set
	Held        int     // requests that wait for a mark
	ProbeCredit float64 // probes that the traffic so far allows
	Watching    bool
	Servers     []ServerSnapshot // sorted by ID
}

// ServerSnapshot is the state that a Balancer keeps of one server.
type ServerSnapshot struct {
	ID                  ServerID
	State               ServerState
	Zone                string
	Cell                int
	Queue               float64 // latest reported queue; meaningless unless Reported
	Reported            bool
	Marked              bool // has a mark that is not stale
	InReadySet          bool // is in the ready set
	Outstanding         int  // attempts of this sidecar without an outcome
	ConsecutiveFailures int
	EjectedFor          time.Duration // time left of the ejection; 0: not ejected
	Warmth              float64       // minimum share of its full capacity, 0 to 1
	ExpectedDelay       time.Duration // expected delay of an answer
}

// Snapshot returns the state of b at now.
func (b *Balancer) Snapshot(now Time) Snapshot {
	s := Snapshot{Threshold: b.threshold, ReadySet: b.setSize, Held: len(b.held), ProbeCredit: b.probeCredit, Watching: b.watching}
	inSet := map[*server]bool{}
	for _, t := range b.ready[:min(b.setSize, len(b.ready))] {
		inSet[t] = true
	}
	for _, id := range sortedKeys(b.servers) {
		t := b.servers[id]
		s.Servers = append(s.Servers, ServerSnapshot{
			ID: id, State: t.State, Zone: t.Zone, Cell: t.Cell, Queue: t.queue, Reported: t.reported,
			Marked: b.hasMark(now, t), InReadySet: inSet[t], Outstanding: t.outstanding, ConsecutiveFailures: t.failures, EjectedFor: max(0, t.ejectedUntil-now),
			Warmth: b.warmth(now, t), ExpectedDelay: b.expectedDelay(t),
		})
	}
	return s
}

package quillfront

import (
	"math"
	"time"

	"quillfront/policy"
)

// Snapshot is the state of a Balancer at one moment, for debugging. It can be marshaled as JSON.
type Snapshot struct {
	Open        int              // requests without an answer
	Taken       uint64           // requests accepted so far
	Probing     int              // probes in flight
	Waiting     int              // requests that wait for a load report
	Connections int              // connections to servers, including idle ones
	Watching    bool             // whether the source is being watched
	Threshold   float64          // queue up to which a report marks a server; -1 if there is no limit
	ReadySet    int              // number of servers in the ready set
	Servers     []ServerSnapshot // ordered by ID
	Orders      *OrdersSnapshot  // nil without WithOrders
	Sites       []SiteSnapshot   // in order of preference; nil without WithSites
}

// OrdersSnapshot counts the requests with an Idempotency-Key by how they were handled.
type OrdersSnapshot struct {
	Open       int    // orders with an open request or attempt
	Replayed   int64  // requests answered with a stored answer
	Joined     int64  // requests that waited for the answer of another request
	Again      int64  // requests that were sent although an earlier one may have run
	Mismatched int64  // requests that reused the key of a different request
	Unknown    int64  // requests that were not sent because an earlier one may have run
	Unwritable int64  // requests refused because the order could not be stored
	Failing    string // why orders can't be stored at present; empty if they can
}

// ServerSnapshot is the state that a Balancer keeps of one server.
type ServerSnapshot struct {
	ID, Addr, Zone string
	Cell           int
	State          State
	Queue          float64       // latest reported queue; -1 if none was reported
	Marked         bool          // the last reported queue was within the threshold; no send since
	InReadySet     bool          // in the ready set, the servers that this Balancer prefers
	Out            int           // attempts of this Balancer in flight
	Failures       int           // consecutive failures
	Ejected        time.Duration // time left of the ejection; 0 if it is not ejected
	Warmth         float64       // minimum share of its full capacity, 0 to 1
	Expected       time.Duration // expected delay of an answer
}

// Snapshot returns the current state of b.
func (b *Balancer) Snapshot() Snapshot {
	e := b.engine.Snapshot()
	used, _ := b.sockets.InUse()
	s := Snapshot{
		Open: e.Open, Taken: e.Accepted, Probing: e.Probing, Waiting: e.Module.Held, Connections: used,
		Watching: e.Watching, Threshold: e.Module.Threshold, ReadySet: e.Module.ReadySet,
		Servers: make([]ServerSnapshot, len(e.Servers)), Sites: siteSnapshots(e),
	}
	if b.coordinator != nil {
		d := b.coordinator.Stats()
		s.Orders = &OrdersSnapshot{
			Open: d.Open, Replayed: d.Replayed, Joined: d.Joined, Again: d.Resent, Mismatched: d.Mismatched, Unknown: d.Unknown,
			Unwritable: d.Unwritable,
		}
		if d.StoreError != nil {
			s.Orders.Failing = d.StoreError.Error()
		}
	}
	if math.IsInf(s.Threshold, 1) {
		s.Threshold = -1
	}
	for i, t := range e.Servers {
		s.Servers[i] = ServerSnapshot{
			ID: string(t.ID), Addr: t.Addr, Zone: t.Zone, Cell: t.Cell, Queue: t.Queue, Marked: t.Marked,
			InReadySet: t.InReadySet, Out: t.Outstanding, Failures: t.ConsecutiveFailures, Ejected: t.EjectedFor, Warmth: t.Warmth, Expected: t.ExpectedDelay,
		}
		if t.State == policy.Draining {
			s.Servers[i].State = Draining
		}
		if !t.Reported || math.IsInf(t.Queue, 0) {
			s.Servers[i].Queue = -1
		}
	}
	return s
}

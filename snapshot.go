package quillfront

import (
	"math"
	"time"

	"quillfront/policy"
)

// Snapshot is what a Balancer holds and believes at one moment, for debugging. It can be written as JSON.
type Snapshot struct {
	Open        int    // requests without an answer
	Taken       uint64 // requests so far
	Probing     int    // probes under way
	Waiting     int    // requests that wait for a report
	Connections int    // to servers, idle ones too
	Watching    bool   // the source is being watched
	Threshold   float64
	ReadySet    int
	Servers     []ServerSnapshot // in the order of their IDs
	Orders      *OrdersSnapshot  // nil without WithOrders
	Sites       []SiteSnapshot   // in the order of preference; nil without WithSites
}

// OrdersSnapshot is what became of requests that named an order.
type OrdersSnapshot struct {
	Open       int    // orders that a request or an attempt holds
	Replayed   int64  // answered from memory
	Joined     int64  // waited for another's answer
	Again      int64  // went on though an earlier one may have run
	Mismatched int64  // used a key for something else
	Unknown    int64  // were not sent, as an earlier one may have run
	Unwritable int64  // were refused because nothing could be noted
	Failing    string // why nothing can be noted now; empty: it can
}

// ServerSnapshot is what a Balancer believes of one server.
type ServerSnapshot struct {
	ID, Addr, Zone string
	Cell           int
	State          State
	Queue          float64       // latest reported; -1: none was
	Marked         bool          // by the paper's rule: its reported queue was at most the threshold, and no send has spent it
	InReadySet     bool          // one of those that this Balancer prefers
	Out            int           // attempts of this Balancer in flight
	Failures       int           // in a row
	Ejected        time.Duration // how much longer it is left out; 0: it is not
	Warmth         float64       // least share of its capacity, 0 to 1
	Expected       time.Duration // delay to expect of an answer
}

// Snapshot returns what b holds and believes now.
func (b *Balancer) Snapshot() Snapshot {
	e := b.engine.Snapshot()
	used, _ := b.sockets.InUse()
	s := Snapshot{
		Open: e.Open, Taken: e.Accepted, Probing: e.Probing, Waiting: e.Module.Held, Connections: used,
		Watching: e.Watching, Threshold: e.Module.Threshold, ReadySet: e.Module.ReadySet,
		Servers: make([]ServerSnapshot, len(e.Servers)), Sites: siteSnapshots(e),
	}
	if b.desk != nil {
		d := b.desk.Stats()
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

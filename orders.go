package quillfront

import (
	"time"

	"quillfront/internal/orders"
)

// Durability says when an intent counts as noted, which is before the first byte of its attempt is sent.
type Durability = orders.Durability

// The levels of durability.
const (
	Sync     = orders.Sync     // on the disk: survives a power cut
	Batched  = orders.Batched  // with the system, and on the disk after Orders.SyncEvery
	Buffered = orders.Buffered // with the system, which writes it when it likes
)

// Orders says that a Balancer remembers orders: requests of Keyed and Unsafe classes that bear an Idempotency-Key. One that
// names an order which was served gets the same answer, marked by "Idempotency-Replayed: true", and no server is asked; one that names
// an order which is open waits for its answer; one that names an order which may have run is sent again only where and while
// its class allows, and else fails with FailedError.Unknown; one that uses the key for something else gets a RequestError
// of 422. Without a Dir this holds within the process's life only.
type Orders struct {
	Dir        string                   // a directory that outlasts the process, for one Balancer alone; empty: in memory
	Durability Durability               // Sync
	SyncEvery  time.Duration            // with Batched: 10 ms
	Retention  time.Duration            // how long an order is known; 24 h
	ByClass    map[string]time.Duration // for some classes, at most Retention
	MostBytes  int64                    // of Dir: 256 MiB; in memory 16 MiB, where the oldest orders give way
	MostOrders int                      // with Dir: 1,000,000. One more is refused until others are past their retention
}

// WithOrders makes a Balancer remember orders. New returns an error if the directory cannot be used.
func WithOrders(o Orders) Option {
	return func(opts *options) { c := orders.Config(o); opts.orders = &c }
}

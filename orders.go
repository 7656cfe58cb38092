package quillfront

import (
	"time"

	"quillfront/internal/orders"
)

// Durability says when the intent to send an attempt counts as stored. The intent is stored before
// the first byte of the attempt is sent.
type Durability = orders.Durability

// The levels of durability.
const (
	Sync     = orders.Sync     // synced to disk: survives a power failure
	Batched  = orders.Batched  // written to the page cache; synced to disk after Orders.SyncEvery
	Buffered = orders.Buffered // written to the page cache; the system syncs it at its own pace
)

// Orders configures the storage of orders. An order is a request of a Keyed or Unsafe class with an
// Idempotency-Key. How a further request with the same key is handled depends on the order:
//
//   - if it was served, the request gets the same answer, with "Idempotency-Replayed: true" and
//     without a request to a server
//   - if it is open, the request waits for its answer
//   - if it may have run, the request is sent only where and while its class allows a repeat;
//     otherwise it fails with FailedError.Unknown
//   - if it was a different request, the request gets a RequestError with status 422
//
// Without a Dir this holds only for the lifetime of the process.
type Orders struct {
	// Dir is a directory that outlasts the process, used by one Balancer only. Without it, orders
	// are kept in memory.
	Dir        string
	Durability Durability               // default Sync
	SyncEvery  time.Duration            // sync interval for Batched; default 10 ms
	Retention  time.Duration            // how long an order is kept; default 24 h
	ByClass    map[string]time.Duration // retention of single classes, at most Retention
	// MostBytes limits the size of Dir, default 256 MiB, or the memory, default 16 MiB. In memory
	// the oldest orders are evicted.
	MostBytes int64
	// MostOrders limits the orders in Dir; default 1,000,000. Further orders are refused until
	// others expire.
	MostOrders int
}

// WithOrders makes a Balancer store orders. New returns an error if the directory cannot be used.
func WithOrders(o Orders) Option {
	return func(opts *options) { c := orders.Config(o); opts.orders = &c }
}

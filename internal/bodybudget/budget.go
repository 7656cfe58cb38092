// Package bodybudget limits the memory that a process uses for the bodies of open requests. A body
// that finds no free memory is not held: it is sent to its server as it arrives.
package bodybudget

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"quillfront/internal/httpmsg"
)

const (
	// A share of the budget is a number of sixteenths of it.
	shareUnit = 16
	// longShare is what bodies longer than httpmsg.MaxFullBody, or of unknown length, may use. Their
	// clients may take minutes to send them; the rest of the budget is for the others.
	longShare = 12
	// mediumShare is what all bodies longer than maxSmall may use. Most requests are smaller, and what is
	// left serves them beside any number of clients that send the others slowly.
	mediumShare = 14
	// maxSmall is the longest small body, in bytes. It is also how much is held of a body of unknown
	// length when the share of long bodies is used up: most such bodies are shorter.
	maxSmall = 4 << 10
	// startWaitDivisor sets how long a request may wait for memory: its timeout divided by
	// startWaitDivisor.
	startWaitDivisor = 4
)

// Budget is a limit of memory for bodies, in bytes. Its methods are safe for concurrent use.
type Budget struct {
	// What bodies are taken from: small ones from the whole budget, medium ones also from mediumShare,
	// long ones also from longShare.
	small, medium, long []*semaphore.Weighted
	used                atomic.Int64
}

// New returns a budget of the given size in bytes, but at least such that one body of
// httpmsg.MaxFullBody has room.
func New(size int64) *Budget {
	size = max(size, httpmsg.MaxFullBody)
	share := func(n int64) *semaphore.Weighted {
		return semaphore.NewWeighted(max(size/shareUnit*n, httpmsg.MaxFullBody))
	}
	total, medium, long := semaphore.NewWeighted(size), share(mediumShare), share(longShare)
	return &Budget{
		small:  []*semaphore.Weighted{total},
		medium: []*semaphore.Weighted{medium, total},
		long:   []*semaphore.Weighted{long, medium, total},
	}
}

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reservation is memory that is reserved for the start of a body. The zero Reservation is empty.
type Reservation struct {
	Bytes  int64 // how much of the body may be held
	budget *Budget
	from   []*semaphore.Weighted // what it was taken from
}

// Release returns the memory to the budget. It must be called once.
func (r Reservation) Release() {
	if r.budget == nil {
		return
	}
	r.budget.used.Add(-r.Bytes)
	release(r.from, r.Bytes)
}

// Reserve reserves memory for a body of the given length; negative: unknown. It never waits. It
// reserves the whole length of a body of up to maxWhole bytes, and the first httpmsg.MaxFullBody bytes
// of another, or less if there is less: then the caller sends the rest as it arrives.
func (b *Budget) Reserve(length, maxWhole int64) Reservation {
	if length >= 0 && length <= httpmsg.MaxFullBody {
		return b.tryReserve(length, b.sharesOf(length))
	}
	if length >= 0 && length <= maxWhole {
		if r := b.tryReserve(length, b.long); r.Bytes > 0 {
			return r
		}
	}
	r := b.tryReserve(httpmsg.MaxFullBody, b.long)
	if r.Bytes == 0 && length < 0 {
		r = b.tryReserve(maxSmall, b.small)
	}
	return r
}

// ReserveOrder is Reserve for a body whose start identifies its request, so that it has to be held. It
// waits for that as AwaitStart does, and reports whether it did.
func (b *Budget) ReserveOrder(ctx context.Context, length, maxWhole int64, timeout time.Duration) (r Reservation, waited bool, err error) {
	if r = b.Reserve(length, maxWhole); r.Bytes >= startLength(length) {
		return r, false, nil
	}
	r.Release()
	r, err = b.AwaitStart(ctx, length, timeout)
	return r, true, err
}

// startLength returns how much of a body of the given length identifies its request; negative: unknown.
func startLength(length int64) int64 {
	if length < 0 {
		return httpmsg.MaxFullBody
	}
	return min(length, httpmsg.MaxFullBody)
}

// AwaitStart waits until it can reserve memory for as much of a body as identifies it: all of it, but
// at most httpmsg.MaxFullBody bytes. It waits only for a part of the request's timeout, so that the
// request can still be served or refused in time. It returns an error if that or ctx ends first.
func (b *Budget) AwaitStart(ctx context.Context, length int64, timeout time.Duration) (Reservation, error) {
	length = startLength(length)
	ctx, cancel := context.WithTimeout(ctx, timeout/startWaitDivisor)
	defer cancel()
	shares := b.sharesOf(length)
	for i, s := range shares {
		if err := s.Acquire(ctx, length); err != nil {
			release(shares[:i], length)
			return Reservation{}, err
		}
	}
	return b.reserved(length, shares), nil
}

// sharesOf returns what a body of up to httpmsg.MaxFullBody bytes is taken from.
func (b *Budget) sharesOf(length int64) []*semaphore.Weighted {
	if length <= maxSmall {
		return b.small
	}
	return b.medium
}

// tryReserve reserves n bytes of all shares, or nothing.
func (b *Budget) tryReserve(n int64, shares []*semaphore.Weighted) Reservation {
	if n == 0 {
		return Reservation{}
	}
	for i, s := range shares {
		if !s.TryAcquire(n) {
			release(shares[:i], n)
			return Reservation{}
		}
	}
	return b.reserved(n, shares)
}

// release returns n bytes to each share.
func release(shares []*semaphore.Weighted, n int64) {
	for _, s := range shares {
		s.Release(n)
	}
}

// reserved counts n bytes as used.
func (b *Budget) reserved(n int64, shares []*semaphore.Weighted) Reservation {
	b.used.Add(n)
	return Reservation{Bytes: n, budget: b, from: shares}
}

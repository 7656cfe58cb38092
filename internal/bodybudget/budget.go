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
	// longShareNumerator and longShareDenominator give the share of the budget that bodies longer than
	// httpmsg.MaxFullBody, or of unknown length, may use. Their clients may take minutes to send them;
	// the rest of the budget is for the others.
	longShareNumerator, longShareDenominator = 3, 4
	// minChunkedStart is the start of a body of unknown length, in bytes, that is held when the share of
	// long bodies is used up. Most such bodies are shorter.
	minChunkedStart = 4 << 10
	// startWaitDivisor sets how long a request may wait for memory: its timeout divided by
	// startWaitDivisor.
	startWaitDivisor = 4
)

// Budget is a limit of memory for bodies, in bytes. Its methods are safe for concurrent use.
type Budget struct {
	total *semaphore.Weighted
	long  *semaphore.Weighted // the part of total that long bodies may use
	used  atomic.Int64
}

// New returns a budget of the given size in bytes, but at least httpmsg.MaxFullBody.
func New(size int64) *Budget {
	size = max(size, httpmsg.MaxFullBody)
	return &Budget{total: semaphore.NewWeighted(size), long: semaphore.NewWeighted(size / longShareDenominator * longShareNumerator)}
}

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reservation is memory that is reserved for the start of a body. The zero Reservation is empty.
type Reservation struct {
	Bytes  int64 // how much of the body may be held
	budget *Budget
	long   bool
}

// Release returns the memory to the budget. It must be called once.
func (r Reservation) Release() {
	if r.budget == nil {
		return
	}
	r.budget.used.Add(-r.Bytes)
	r.budget.total.Release(r.Bytes)
	if r.long {
		r.budget.long.Release(r.Bytes)
	}
}

// Reserve reserves memory for a body of the given length; negative: unknown. It never waits. It
// reserves the whole length of a body of up to maxWhole bytes, and the first httpmsg.MaxFullBody bytes
// of another, or less if there is less: then the caller sends the rest as it arrives.
func (b *Budget) Reserve(length, maxWhole int64) Reservation {
	if length >= 0 && length <= httpmsg.MaxFullBody {
		return b.reserveShort(length)
	}
	if length >= 0 && length <= maxWhole {
		if r := b.reserveLong(length); r.Bytes > 0 {
			return r
		}
	}
	r := b.reserveLong(httpmsg.MaxFullBody)
	if r.Bytes == 0 && length < 0 {
		r = b.reserveShort(minChunkedStart)
	}
	return r
}

// AwaitStart waits until it can reserve memory for as much of a body as identifies it: all of it, but
// at most httpmsg.MaxFullBody bytes. It waits only for a part of the request's timeout, so that the
// request can still be served or refused in time. It returns an error if that or ctx ends first.
func (b *Budget) AwaitStart(ctx context.Context, length int64, timeout time.Duration) (Reservation, error) {
	if length < 0 || length > httpmsg.MaxFullBody {
		length = httpmsg.MaxFullBody
	}
	ctx, cancel := context.WithTimeout(ctx, timeout/startWaitDivisor)
	defer cancel()
	if err := b.total.Acquire(ctx, length); err != nil {
		return Reservation{}, err
	}
	return b.reserved(length, false), nil
}

// reserveShort reserves n bytes of the whole budget, or nothing.
func (b *Budget) reserveShort(n int64) Reservation {
	if n == 0 || !b.total.TryAcquire(n) {
		return Reservation{}
	}
	return b.reserved(n, false)
}

// reserveLong reserves n bytes of the share of long bodies, or nothing.
func (b *Budget) reserveLong(n int64) Reservation {
	if !b.long.TryAcquire(n) {
		return Reservation{}
	}
	if !b.total.TryAcquire(n) {
		b.long.Release(n)
		return Reservation{}
	}
	return b.reserved(n, true)
}

// reserved counts n bytes as used.
func (b *Budget) reserved(n int64, long bool) Reservation {
	b.used.Add(n)
	return Reservation{Bytes: n, budget: b, long: long}
}

package sockets

import (
	"context"
	"sync"
	"time"
)

// Quota divides a number of places, of descriptors or of bytes, among parts that each have some guaranteed and may borrow what no other
// part's guarantee stands on. A part that takes all it can get leaves every other one what it was promised. Its methods, and those of its
// parts, may be called from many goroutines at once.
type Quota struct {
	mu    sync.Mutex
	total int64
	used  int64
	parts map[*Share]struct{}
	waits int           // how many wait for places
	freed chan struct{} // closed, and replaced, when places have been given back to somebody who waits
}

// Share is what one of those who share may take.
type Share struct {
	of        *Quota
	guarantee int64
	used      int64
	waited    Waits
}

// Waits counts those who found no place free.
type Waits struct {
	Acquired uint64 // one in the end
	TimedOut uint64 // within their time, or within mostWait
}

// NewQuota returns shares of total places.
func NewQuota(total int64) *Quota {
	return &Quota{total: total, parts: map[*Share]struct{}{}, freed: make(chan struct{})}
}

// Total is how many places there are.
func (s *Quota) Total() int64 { return s.total }

// NewShare adds a part, which is guaranteed nothing.
func (s *Quota) NewShare() *Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &Share{of: s}
	s.parts[p] = struct{}{}
	return p
}

// SetGuarantees changes what parts are guaranteed, all at once: whatever order they come in, one that gives up its guarantee leaves it to the
// others. The rest of the parts keep theirs. Where more is wanted than there is, each gets its part of that.
func (s *Quota) SetGuarantees(wanted map[*Share]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left, sum := s.total, int64(0)
	for p := range s.parts {
		if _, changes := wanted[p]; !changes {
			left -= p.guarantee
		}
	}
	for _, n := range wanted {
		sum += max(n, 0)
	}
	for p, n := range wanted {
		if n = max(n, 0); sum > left {
			n = int64(float64(n) * float64(max(left, 0)) / float64(sum))
		}
		p.guarantee = n
	}
	s.wake()
}

// Close takes p out of the shares: what it still has in use is given back place by place.
func (p *Share) Close() {
	p.of.mu.Lock()
	defer p.of.mu.Unlock()
	p.guarantee = 0
	delete(p.of.parts, p)
	p.of.wake()
}

// may reports whether p may take n more. Within its guarantee it may whatever the others have, as none of them could take that; beyond
// it, it leaves all that others have been promised and do not use.
func (s *Quota) may(p *Share, n int64) bool {
	reserved := int64(0)
	for o := range s.parts {
		if o != p {
			reserved += max(0, o.guarantee-o.used)
		}
	}
	return s.used+n+reserved <= s.total
}

// TryAcquire takes n places if p may have them now.
func (p *Share) TryAcquire(n int64) bool {
	p.of.mu.Lock()
	defer p.of.mu.Unlock()
	return p.take(n)
}

// take takes n places if p may have them. Called with the lock held.
func (p *Share) take(n int64) bool {
	if !p.of.may(p, n) {
		return false
	}
	p.used += n
	p.of.used += n
	return true
}

// Acquire waits until p may have n places and takes them, or until ctx ends.
func (p *Share) Acquire(ctx context.Context, n int64) error {
	for {
		p.of.mu.Lock()
		if p.take(n) {
			p.of.mu.Unlock()
			return nil
		}
		p.of.waits++
		freed := p.of.freed
		p.of.mu.Unlock()
		var err error
		select {
		case <-freed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		p.of.mu.Lock()
		p.of.waits--
		p.of.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// Release gives n places back.
func (p *Share) Release(n int64) {
	p.of.mu.Lock()
	defer p.of.mu.Unlock()
	p.used -= n
	p.of.used -= n
	p.of.wake()
}

// wake has all who wait look again. Called with the lock held.
func (s *Quota) wake() {
	if s.waits == 0 {
		return
	}
	close(s.freed)
	s.freed = make(chan struct{})
}

// Used returns how many places p has, and how many it is guaranteed.
func (p *Share) Used() (used, guarantee int64) {
	p.of.mu.Lock()
	defer p.of.mu.Unlock()
	return p.used, p.guarantee
}

// Waits returns how many have waited for places of p.
func (p *Share) Waits() Waits {
	p.of.mu.Lock()
	defer p.of.mu.Unlock()
	return p.waited
}

// PoolBudget is a part of the descriptors for servers of a budget. Where another part's idle connections hold what this one is to have,
// makeRoom is asked to close them.
type PoolBudget struct {
	*Budget
	*Share
	makeRoom func() bool
}

// ServerQuota returns the descriptors that are left for servers however many clients there are, to be divided.
func (s *Budget) ServerQuota() *Quota { return NewQuota(int64(cap(s.all) - cap(s.clients))) }

// ForPool returns what the connections of one pool take their descriptors from.
func (s *Budget) ForPool(p *Share, makeRoom func() bool) *PoolBudget {
	return &PoolBudget{s, p, makeRoom}
}

// mostWait is how long one may wait for a descriptor, whatever time there is to connect: it may be that nobody gives one back, and another
// server, to which a connection is idle, may have the request.
const mostWait = 500 * time.Millisecond

// Acquire takes a descriptor, and returns the function that gives it back. It waits for mostWait at most.
func (l *PoolBudget) Acquire(ctx context.Context) (release func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, mostWait)
	defer cancel()
	waits := !l.Share.TryAcquire(1)
	if waits {
		err = l.wait(ctx)
	}
	var give func()
	if err == nil {
		if give, err = l.Budget.Acquire(ctx); err != nil {
			l.Share.Release(1)
		}
	}
	l.of.mu.Lock()
	defer l.of.mu.Unlock()
	switch {
	case err != nil:
		l.waited.TimedOut++
		return nil, err
	case waits:
		l.waited.Acquired++
	}
	return sync.OnceFunc(func() { give(); l.Share.Release(1) }), nil
}

// wait waits for a place.
func (l *PoolBudget) wait(ctx context.Context) error {
	for !l.Share.TryAcquire(1) {
		if l.makeRoom() {
			continue
		}
		again, cancel := context.WithTimeout(ctx, retry)
		err := l.Share.Acquire(again, 1)
		cancel()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ErrNoDescriptor
		}
	}
	return nil
}

// Scarce reports whether idle connections should not be kept.
func (l *PoolBudget) Scarce() bool {
	used, guarantee := l.Used()
	return used > guarantee && !l.mayOne() || l.Budget.Scarce()
}

func (l *PoolBudget) mayOne() bool {
	l.of.mu.Lock()
	defer l.of.mu.Unlock()
	return l.of.may(l.Share, 1)
}

package sockets

import (
	"context"
	"sync"
	"time"
)

// Quota divides a number of places (descriptors or bytes) among shares. Each share has a guarantee,
// and may also use places that no other share's guarantee reserves. A share that uses all it can
// get leaves every other share its guarantee. Quota and Share are safe for concurrent use.
type Quota struct {
	mu      sync.Mutex
	total   int64
	used    int64
	shares  map[*Share]struct{}
	waiters int           // calls that wait for places
	freed   chan struct{} // closed and replaced when places may be free and there are waiters
}

// Share is the part of a quota that one user of it may take.
type Share struct {
	quota     *Quota
	guarantee int64
	used      int64
	waited    Waits
}

// Waits counts the requests that found no free place at once.
type Waits struct {
	Acquired uint64 // got a place in the end
	TimedOut uint64 // got none before their deadline or within maxWait
}

// NewQuota returns a quota of total places.
func NewQuota(total int64) *Quota {
	return &Quota{total: total, shares: map[*Share]struct{}{}, freed: make(chan struct{})}
}

// Total returns the number of places.
func (q *Quota) Total() int64 { return q.total }

// NewShare adds a share without a guarantee.
func (q *Quota) NewShare() *Share {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &Share{quota: q}
	q.shares[s] = struct{}{}
	return s
}

// SetGuarantees changes the guarantees of the given shares in one step, so that in any order what
// one share gives up is there for the others. Shares that are not given keep theirs. If the sum
// exceeds what is left, each guarantee is scaled down in proportion.
func (q *Quota) SetGuarantees(wanted map[*Share]int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	left, sum := q.total, int64(0)
	for s := range q.shares {
		if _, changes := wanted[s]; !changes {
			left -= s.guarantee
		}
	}
	for _, n := range wanted {
		sum += max(n, 0)
	}
	for s, n := range wanted {
		if n = max(n, 0); sum > left {
			n = int64(float64(n) * float64(max(left, 0)) / float64(sum))
		}
		s.guarantee = n
	}
	q.notifyWaiters()
}

// Close removes s from the quota. Places that it still uses are given back by Release.
func (s *Share) Close() {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	s.guarantee = 0
	delete(s.quota.shares, s)
	s.quota.notifyWaiters()
}

// canTake reports whether s may take n more places: the unused guarantees of the other shares have
// to stay free. Within its guarantee s can always take places, as no other share can use those,
// unless others took them before the guarantee was raised and have not given them back yet.
func (q *Quota) canTake(s *Share, n int64) bool {
	reserved := int64(0)
	for o := range q.shares {
		if o != s {
			reserved += max(0, o.guarantee-o.used)
		}
	}
	return q.used+n+reserved <= q.total
}

// TryAcquire takes n places if s may have them now.
func (s *Share) TryAcquire(n int64) bool {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	return s.take(n)
}

// take takes n places if s may have them. The caller holds the lock.
func (s *Share) take(n int64) bool {
	if !s.quota.canTake(s, n) {
		return false
	}
	s.used += n
	s.quota.used += n
	return true
}

// Acquire takes n places, and waits for them until ctx ends.
func (s *Share) Acquire(ctx context.Context, n int64) error {
	for {
		s.quota.mu.Lock()
		if s.take(n) {
			s.quota.mu.Unlock()
			return nil
		}
		s.quota.waiters++
		freed := s.quota.freed
		s.quota.mu.Unlock()
		var err error
		select {
		case <-freed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		s.quota.mu.Lock()
		s.quota.waiters--
		s.quota.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// Release gives n places back.
func (s *Share) Release(n int64) {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	s.used -= n
	s.quota.used -= n
	s.quota.notifyWaiters()
}

// notifyWaiters makes all waiters check again. The caller holds the lock.
func (q *Quota) notifyWaiters() {
	if q.waiters == 0 {
		return
	}
	close(q.freed)
	q.freed = make(chan struct{})
}

// Used returns the number of places that s uses, and its guarantee.
func (s *Share) Used() (used, guarantee int64) {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	return s.used, s.guarantee
}

// Waits returns how many requests had to wait for places of s.
func (s *Share) Waits() Waits {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	return s.waited
}

// PoolBudget provides the descriptors for the server connections of one pool: each takes a
// descriptor of the budget and a place of the pool's share. If idle connections of other pools hold
// the places that this one is guaranteed, evictIdle is called to close them.
type PoolBudget struct {
	*Budget
	*Share
	evictIdle func() bool
}

// ServerQuota returns a quota of the descriptors that clients can never use.
func (b *Budget) ServerQuota() *Quota { return NewQuota(int64(cap(b.all) - cap(b.clients))) }

// ForPool returns the budget of a pool whose share is s. evictIdle closes one idle connection and
// reports whether there was one.
func (b *Budget) ForPool(s *Share, evictIdle func() bool) *PoolBudget {
	return &PoolBudget{b, s, evictIdle}
}

// maxWait bounds the wait for a descriptor, whatever the connect timeout is: it may be that none is
// given back, and that the request can use another server to which there is an idle connection.
const maxWait = 500 * time.Millisecond

// Acquire takes a descriptor and returns the function that gives it back. It waits for up to
// maxWait.
func (p *PoolBudget) Acquire(ctx context.Context) (release func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	waits := !p.Share.TryAcquire(1)
	if waits {
		err = p.wait(ctx)
	}
	var releaseDescriptor func()
	if err == nil {
		if releaseDescriptor, err = p.Budget.Acquire(ctx); err != nil {
			p.Share.Release(1)
		}
	}
	p.quota.mu.Lock()
	defer p.quota.mu.Unlock()
	switch {
	case err != nil:
		p.waited.TimedOut++
		return nil, err
	case waits:
		p.waited.Acquired++
	}
	return sync.OnceFunc(func() { releaseDescriptor(); p.Share.Release(1) }), nil
}

// wait takes a place of the share, and waits for it until ctx ends.
func (p *PoolBudget) wait(ctx context.Context) error {
	for !p.Share.TryAcquire(1) {
		if p.evictIdle() {
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, retryInterval)
		err := p.Share.Acquire(attempt, 1)
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

// Scarce reports whether descriptors are so few that idle connections should not be kept.
func (p *PoolBudget) Scarce() bool {
	used, guarantee := p.Used()
	return used > guarantee && !p.canTakeOne() || p.Budget.Scarce()
}

func (p *PoolBudget) canTakeOne() bool {
	p.quota.mu.Lock()
	defer p.quota.mu.Unlock()
	return p.quota.canTake(p.Share, 1)
}

// Package guests decides who may connect to a front, and counts who is there: in all, from one address, and by one user. It does
// no I/O. What it keeps ends with those that it counts.
package connlimit

import (
	"fmt"
	"sync"
)

// Limits bounds who may be connected at once. A zero bounds nothing.
type Limits struct {
	Total      int // in all
	PerAddress int // from one address
	PerUser    int // by one user
}

// Check tells which limit cannot be used.
func (l Limits) Check() error {
	for _, v := range []struct {
		key string
		n   int
	}{{"most", l.Total}, {"most_per_address", l.PerAddress}, {"most_per_user", l.PerUser}} {
		if v.n < 0 {
			return fmt.Errorf("%s: %d is below 0", v.key, v.n)
		}
	}
	return nil
}

// Reason says why somebody may not connect.
type Reason int

// The reasons.
const (
	Admitted Reason = iota
	TotalLimit
	AddressLimit
	UserLimit
	Closed
)

// String names the reason for logs.
func (r Reason) String() string {
	return [...]string{"welcome", "too many connections", "too many connections from this address", "too many connections of this user", "closing"}[r]
}

// Limiter counts who is connected. It may be used from many goroutines at once.
type Limiter struct {
	limits Limits

	mu      sync.Mutex
	closed  bool
	all     int
	by      map[string]int // address
	users   map[string]int
	turned  [Closed + 1]uint64
	welcome uint64
}

// New returns a Book without anybody.
func New(l Limits) *Limiter {
	return &Limiter{limits: l, by: map[string]int{}, users: map[string]int{}}
}

// Slot is one that was let in.
type Slot struct {
	book *Limiter
	addr string
	user string
	gone bool
}

// Acquire counts one from addr in, or tells why not.
func (b *Limiter) Acquire(addr string) (*Slot, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	why := Admitted
	switch l := b.limits; {
	case b.closed:
		why = Closed
	case l.Total > 0 && b.all >= l.Total:
		why = TotalLimit
	case l.PerAddress > 0 && b.by[addr] >= l.PerAddress:
		why = AddressLimit
	}
	if why != Admitted {
		b.turned[why]++
		return nil, why
	}
	b.all++
	b.by[addr]++
	b.welcome++
	return &Slot{book: b, addr: addr}, Admitted
}

// SetUser counts a guest as a user's from now on, and no longer as that of the one before, or tells why not; it then stays
// what it was.
func (g *Slot) SetUser(user string) Reason {
	b := g.book
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.gone || g.user == user {
		return Admitted
	}
	if l := b.limits.PerUser; l > 0 && b.users[user] >= l {
		b.turned[UserLimit]++
		return UserLimit
	}
	b.leaveUser(g)
	g.user = user
	b.users[user]++
	return Admitted
}

func (b *Limiter) leaveUser(g *Slot) {
	if g.user == "" {
		return
	}
	if b.users[g.user]--; b.users[g.user] == 0 {
		delete(b.users, g.user)
	}
}

// Release counts a guest out. To do so twice is as to do so once.
func (g *Slot) Release() {
	b := g.book
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.gone {
		return
	}
	g.gone = true
	b.all--
	if b.by[g.addr]--; b.by[g.addr] == 0 {
		delete(b.by, g.addr)
	}
	b.leaveUser(g)
}

// Close lets nobody in from now on.
func (b *Limiter) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// Stats counts guests.
type Stats struct {
	Current  int
	Admitted uint64            // were let in
	Rejected map[string]uint64 // away, by reason
}

// Stats returns the present counts.
func (b *Limiter) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Stats{Current: b.all, Admitted: b.welcome, Rejected: map[string]uint64{}}
	for r, n := range b.turned {
		if n > 0 {
			s.Rejected[Reason(r).String()] = n
		}
	}
	return s
}

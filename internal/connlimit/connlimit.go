// Package connlimit limits the client connections of a front: in total, per address and per user.
// It does no I/O, and keeps no state about connections that are closed.
package connlimit

import (
	"fmt"
	"sync"
)

// Limits bounds the number of concurrent connections. A limit of zero is no limit.
type Limits struct {
	Total      int // all connections
	PerAddress int // connections from one address
	PerUser    int // connections of one user
}

// Check returns an error that names the first invalid limit.
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

// Reason is the outcome of a request for a slot: Admitted, or why it was rejected.
type Reason int

// Outcomes of a request for a slot.
const (
	Admitted     Reason = iota
	TotalLimit          // Limits.Total is reached
	AddressLimit        // Limits.PerAddress is reached
	UserLimit           // Limits.PerUser is reached
	Closed              // the limiter is closed
)

// String returns the text of the reason in logs and metrics.
func (r Reason) String() string {
	return [...]string{"welcome", "too many connections", "too many connections from this address", "too many connections of this user", "closing"}[r]
}

// Limiter counts the current connections. It is safe for concurrent use.
type Limiter struct {
	limits Limits

	mu        sync.Mutex
	closed    bool
	total     int
	byAddress map[string]int
	byUser    map[string]int
	rejected  [Closed + 1]uint64
	admitted  uint64
}

// New returns a Limiter without connections.
func New(l Limits) *Limiter {
	return &Limiter{limits: l, byAddress: map[string]int{}, byUser: map[string]int{}}
}

// Slot is the place of one admitted connection.
type Slot struct {
	limiter  *Limiter
	addr     string
	user     string
	released bool
}

// Acquire counts a connection from addr, or returns why it is rejected.
func (l *Limiter) Acquire(addr string) (*Slot, Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reason := Admitted
	switch limits := l.limits; {
	case l.closed:
		reason = Closed
	case limits.Total > 0 && l.total >= limits.Total:
		reason = TotalLimit
	case limits.PerAddress > 0 && l.byAddress[addr] >= limits.PerAddress:
		reason = AddressLimit
	}
	if reason != Admitted {
		l.rejected[reason]++
		return nil, reason
	}
	l.total++
	l.byAddress[addr]++
	l.admitted++
	return &Slot{limiter: l, addr: addr}, Admitted
}

// SetUser assigns the connection to user, and takes it off the count of its previous user. If the
// limit of user is reached, the previous assignment stays.
func (s *Slot) SetUser(user string) Reason {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.released || s.user == user {
		return Admitted
	}
	if limit := l.limits.PerUser; limit > 0 && l.byUser[user] >= limit {
		l.rejected[UserLimit]++
		return UserLimit
	}
	l.clearUser(s)
	s.user = user
	l.byUser[user]++
	return Admitted
}

func (l *Limiter) clearUser(s *Slot) {
	if s.user == "" {
		return
	}
	if l.byUser[s.user]--; l.byUser[s.user] == 0 {
		delete(l.byUser, s.user)
	}
}

// Release takes the connection off the counts. It is idempotent.
func (s *Slot) Release() {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	l.total--
	if l.byAddress[s.addr]--; l.byAddress[s.addr] == 0 {
		delete(l.byAddress, s.addr)
	}
	l.clearUser(s)
}

// Close rejects all further connections.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// Stats counts connections.
type Stats struct {
	Current  int
	Admitted uint64            // since the start
	Rejected map[string]uint64 // since the start, by Reason.String
}

// Stats returns the current counts.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{Current: l.total, Admitted: l.admitted, Rejected: map[string]uint64{}}
	for r, n := range l.rejected {
		if n > 0 {
			s.Rejected[Reason(r).String()] = n
		}
	}
	return s
}

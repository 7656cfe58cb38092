// Package sockets owns the descriptors of a process that may hold but few: who may take one, who has to wait, and which
// idle connections make room.
package sockets

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Reserved descriptors are not counted: the listener, discovery, the log, the runtime's poller.
	Reserved = 16
	// clientShare is the part of the descriptors that clients may hold. The rest is always left for servers, so that
	// requests which were taken can be answered.
	clientShare = 0.6
	// scarceShare is the part in use from which idle connections are not kept.
	scarceShare = 0.9
	// retry is how often one that waits for a descriptor looks for idle connections to close.
	retry = 10 * time.Millisecond
)

// ErrNoDescriptor tells that no descriptor is free, which says nothing of the peer that one was wanted for.
var ErrNoDescriptor = errors.New("no free descriptor")

// Budget counts the descriptors of connections. Near the limit idle connections make room: those to servers first, then
// those of clients. Beyond it work waits.
type Budget struct {
	all     chan struct{}
	clients chan struct{}
	waiting atomic.Int32
	servers func() bool // closes an idle connection to a server and reports whether there was one
	guests  func() bool // the same of a client

	sharing sync.Mutex         // held while the share changes
	stop    context.CancelFunc // ends the change that is under way
	lent    [2]atomic.Int32    // places that are not this process's at present: of all, and of clients
}

// New returns the budget of a process that may hold limit descriptors, which must be over Spare.
func New(limit int) *Budget {
	n := limit - Reserved
	never := func() bool { return false }
	return &Budget{
		all: make(chan struct{}, n), clients: make(chan struct{}, max(1, int(float64(n)*clientShare))),
		servers: never, guests: never,
	}
}

// NewForServers returns the budget of limit descriptors for connections to servers alone.
func NewForServers(limit int) *Budget {
	b := New(limit + Reserved)
	b.clients = make(chan struct{})
	return b
}

// OnShortage tells how to make room: each function closes one idle connection, and reports whether there was one. It is
// called before the budget is used; a nil function makes no room.
func (s *Budget) OnShortage(servers, clients func() bool) {
	if servers != nil {
		s.servers = servers
	}
	if clients != nil {
		s.guests = clients
	}
}

// Acquire takes a descriptor, and returns the function that gives it back.
func (s *Budget) Acquire(ctx context.Context) (release func(), err error) {
	if err := s.take(ctx, s.all, s.servers, s.guests); err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() { <-s.all }), nil
}

// TryAcquire is Acquire where nobody waits: ok is false if no descriptor is free now, nothing is closed to make room.
func (s *Budget) TryAcquire() (release func(), ok bool) {
	select {
	case s.all <- struct{}{}:
		return sync.OnceFunc(func() { <-s.all }), true
	default:
		return nil, false
	}
}

// AcquireClient takes a descriptor for a client's connection.
func (s *Budget) AcquireClient(ctx context.Context) (release func(), err error) {
	if err := s.take(ctx, s.clients, s.guests); err != nil {
		return nil, err
	}
	if err := s.take(ctx, s.all, s.servers, s.guests); err != nil {
		<-s.clients
		return nil, err
	}
	return sync.OnceFunc(func() { <-s.all; <-s.clients }), nil
}

func (s *Budget) take(ctx context.Context, from chan struct{}, evict ...func() bool) error {
	select {
	case from <- struct{}{}:
		return nil
	default:
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	for {
		for _, e := range evict {
			if e() {
				break
			}
		}
		again := time.NewTimer(retry)
		select {
		case from <- struct{}{}:
			again.Stop()
			return nil
		case <-ctx.Done():
			again.Stop()
			return fmt.Errorf("%w: %w", ErrNoDescriptor, ctx.Err())
		case <-again.C:
		}
	}
}

// Scarce reports whether descriptors are so few that idle connections should not be kept.
func (s *Budget) Scarce() bool {
	return s.waiting.Load() > 0 && len(s.all) > int(scarceShare*float64(cap(s.all))) || len(s.all) == cap(s.all)
}

// SetFraction leaves this process a part of its places, above 0 and at most 1, as long as another one of the same sidecar lives. What
// it has in use beyond that it gives up as it becomes free, idle connections first; meanwhile nothing new is opened.
func (s *Budget) SetFraction(part float64) {
	s.sharing.Lock()
	defer s.sharing.Unlock()
	if s.stop != nil {
		s.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	for i, places := range []chan struct{}{s.all, s.clients} {
		want := int32(float64(cap(places)) * (1 - part))
		for s.lent[i].Load() > want {
			s.lent[i].Add(-1)
			<-places
		}
		for s.lent[i].Load() < want { // what is free goes at once
			select {
			case places <- struct{}{}:
				s.lent[i].Add(1)
				continue
			default:
			}
			break
		}
		if s.lent[i].Load() < want {
			go s.lend(ctx, i, places, want)
		}
	}
}

// lend gives up places as they become free, until want are lent or ctx ends.
func (s *Budget) lend(ctx context.Context, i int, places chan struct{}, want int32) {
	evict := []func() bool{s.servers, s.guests}
	if i == 1 {
		evict = evict[1:]
	}
	for s.lent[i].Load() < want && s.take(ctx, places, evict...) == nil {
		s.sharing.Lock()
		if ctx.Err() != nil { // the share has changed meanwhile
			<-places
		} else {
			s.lent[i].Add(1)
		}
		s.sharing.Unlock()
	}
}

// InUse returns how many descriptors are taken, in all and by clients.
func (s *Budget) InUse() (all, clients int) {
	return len(s.all) - int(s.lent[0].Load()), len(s.clients) - int(s.lent[1].Load())
}

// Limits returns how many may be taken, in all and by clients.
func (s *Budget) Limits() (all, clients int) {
	return cap(s.all) - int(s.lent[0].Load()), cap(s.clients) - int(s.lent[1].Load())
}

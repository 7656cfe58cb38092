// Package sockets manages the file descriptors of a process with a low descriptor limit: it limits
// the connections, makes callers wait for a free descriptor, and evicts idle connections.
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
	// clientFraction is the fraction of the descriptors that clients may use. The rest is always
	// left for servers, so that accepted requests can be answered.
	clientFraction = 0.6
	// scarceFraction is the fraction in use above which idle connections are not kept while
	// somebody waits.
	scarceFraction = 0.9
	// retryInterval is how often a caller that waits for a descriptor tries to evict an idle
	// connection.
	retryInterval = 10 * time.Millisecond
)

// ErrNoDescriptor reports that no descriptor is free. It says nothing about the peer of the planned
// connection.
var ErrNoDescriptor = errors.New("no free descriptor")

// Budget counts the descriptors of connections. If none is free, it evicts idle connections: those
// to servers first, then those of clients. If there are none either, callers wait.
type Budget struct {
	all         chan struct{}
	clients     chan struct{}
	waiting     atomic.Int32
	evictServer func() bool // closes an idle connection to a server; false: there is none
	evictClient func() bool // the same for clients

	scaling       sync.Mutex         // held while withheld changes
	cancelScaling context.CancelFunc // ends the withholding that is under way
	// withheld counts the places that this process must not use at present: of all, and of clients.
	withheld [2]atomic.Int32
}

// New returns the budget of a process that may use limit descriptors, which must exceed Reserved.
func New(limit int) *Budget {
	n := limit - Reserved
	never := func() bool { return false }
	return &Budget{
		all: make(chan struct{}, n), clients: make(chan struct{}, max(1, int(float64(n)*clientFraction))),
		evictServer: never, evictClient: never,
	}
}

// NewForServers returns a budget of limit descriptors for connections to servers only.
func NewForServers(limit int) *Budget {
	b := New(limit + Reserved)
	b.clients = make(chan struct{})
	return b
}

// OnShortage sets the functions that evict an idle connection to a server or of a client, and
// report whether there was one. It must be called before the budget is used. A nil function is
// ignored.
func (b *Budget) OnShortage(servers, clients func() bool) {
	if servers != nil {
		b.evictServer = servers
	}
	if clients != nil {
		b.evictClient = clients
	}
}

// Acquire takes a descriptor, and returns the function that gives it back.
func (b *Budget) Acquire(ctx context.Context) (release func(), err error) {
	if err := b.acquireFrom(ctx, b.all, b.evictServer, b.evictClient); err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() { <-b.all }), nil
}

// TryAcquire takes a descriptor without waiting and without evicting idle connections. ok is false
// if none is free.
func (b *Budget) TryAcquire() (release func(), ok bool) {
	select {
	case b.all <- struct{}{}:
		return sync.OnceFunc(func() { <-b.all }), true
	default:
		return nil, false
	}
}

// AcquireClient takes a descriptor for a client connection.
func (b *Budget) AcquireClient(ctx context.Context) (release func(), err error) {
	if err := b.acquireFrom(ctx, b.clients, b.evictClient); err != nil {
		return nil, err
	}
	if err := b.acquireFrom(ctx, b.all, b.evictServer, b.evictClient); err != nil {
		<-b.clients
		return nil, err
	}
	return sync.OnceFunc(func() { <-b.all; <-b.clients }), nil
}

// acquireFrom takes a place of from. While there is none it calls the evict functions in order
// until one has closed a connection, and waits.
func (b *Budget) acquireFrom(ctx context.Context, from chan struct{}, evict ...func() bool) error {
	select {
	case from <- struct{}{}:
		return nil
	default:
	}
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	for {
		for _, e := range evict {
			if e() {
				break
			}
		}
		timer := time.NewTimer(retryInterval)
		select {
		case from <- struct{}{}:
			timer.Stop()
			return nil
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("%w: %w", ErrNoDescriptor, ctx.Err())
		case <-timer.C:
		}
	}
}

// Scarce reports whether descriptors are so few that idle connections should not be kept.
func (b *Budget) Scarce() bool {
	return b.waiting.Load() > 0 && len(b.all) > int(scarceFraction*float64(cap(b.all))) || len(b.all) == cap(b.all)
}

// SetFraction limits this process to a fraction of its places, above 0 and at most 1, while another
// process of the same sidecar runs. Places in use beyond that are given up as they become free,
// idle connections first; until then no new connection is opened.
func (b *Budget) SetFraction(fraction float64) {
	b.scaling.Lock()
	defer b.scaling.Unlock()
	if b.cancelScaling != nil {
		b.cancelScaling()
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancelScaling = cancel
	for i, places := range []chan struct{}{b.all, b.clients} {
		want := int32(float64(cap(places)) * (1 - fraction))
		for b.withheld[i].Load() > want {
			b.withheld[i].Add(-1)
			<-places
		}
		for b.withheld[i].Load() < want { // free places are withheld at once
			select {
			case places <- struct{}{}:
				b.withheld[i].Add(1)
				continue
			default:
			}
			break
		}
		if b.withheld[i].Load() < want {
			go b.withhold(ctx, i, places, want)
		}
	}
}

// withhold takes places as they become free, until want of them are withheld or ctx ends.
func (b *Budget) withhold(ctx context.Context, i int, places chan struct{}, want int32) {
	evict := []func() bool{b.evictServer, b.evictClient}
	if i == 1 {
		evict = evict[1:]
	}
	for b.withheld[i].Load() < want && b.acquireFrom(ctx, places, evict...) == nil {
		b.scaling.Lock()
		if ctx.Err() != nil { // SetFraction was called again meanwhile
			<-places
		} else {
			b.withheld[i].Add(1)
		}
		b.scaling.Unlock()
	}
}

// InUse returns the number of descriptors in use, in total and by clients.
func (b *Budget) InUse() (all, clients int) {
	return len(b.all) - int(b.withheld[0].Load()), len(b.clients) - int(b.withheld[1].Load())
}

// Limits returns the number of descriptors that may be in use, in total and by clients.
func (b *Budget) Limits() (all, clients int) {
	return cap(b.all) - int(b.withheld[0].Load()), cap(b.clients) - int(b.withheld[1].Load())
}

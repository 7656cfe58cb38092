package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// spareSockets are descriptors that are not counted: the listener, discovery, the log, the runtime's poller.
	spareSockets = 16
	// clientShare is the part of the sockets that clients may hold. The rest is always left for upstreams, so
	// that requests which were taken can be answered.
	clientShare = 0.6
	// scarceShare is the part in use from which idle connections are not kept.
	scarceShare = 0.9
	// socketRetry is how often one that waits for a descriptor looks for idle connections to close.
	socketRetry = 10 * time.Millisecond
)

// errNoSocket tells that this sidecar has no descriptor free, which says nothing of the upstream that one was wanted for.
var errNoSocket = errors.New("no free descriptor")

// sockets counts the descriptors of connections. Near the limit idle connections make room: those to
// upstreams first, then those of clients. Beyond it work waits.
type sockets struct {
	all     chan struct{}
	clients chan struct{}
	waiting atomic.Int32
	evict   []func() bool // each closes an idle connection and reports whether there was one
}

func newSockets(limit int) *sockets {
	n := limit - spareSockets
	return &sockets{all: make(chan struct{}, n), clients: make(chan struct{}, max(1, int(float64(n)*clientShare)))}
}

// acquire takes a descriptor, and returns the function that gives it back.
func (s *sockets) acquire(ctx context.Context) (release func(), err error) {
	if err := s.take(ctx, s.all, s.evict); err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() { <-s.all }), nil
}

// acquireClient takes a descriptor for a client's connection.
func (s *sockets) acquireClient(ctx context.Context) (release func(), err error) {
	if err := s.take(ctx, s.clients, s.evict[1:]); err != nil {
		return nil, err
	}
	if err := s.take(ctx, s.all, s.evict); err != nil {
		<-s.clients
		return nil, err
	}
	return sync.OnceFunc(func() { <-s.all; <-s.clients }), nil
}

func (s *sockets) take(ctx context.Context, from chan struct{}, evict []func() bool) error {
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
		retry := time.NewTimer(socketRetry)
		select {
		case from <- struct{}{}:
			retry.Stop()
			return nil
		case <-ctx.Done():
			retry.Stop()
			return fmt.Errorf("%w: %w", errNoSocket, ctx.Err())
		case <-retry.C:
		}
	}
}

// scarce reports whether descriptors are so few that idle connections should not be kept.
func (s *sockets) scarce() bool {
	return s.waiting.Load() > 0 && len(s.all) > int(scarceShare*float64(cap(s.all))) || len(s.all) == cap(s.all)
}

// nothingCame reports whether the kernel has nothing of c that is still to be read, neither bytes nor the end. It
// may be asked while another goroutine reads.
func nothingCame(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && nothing
}

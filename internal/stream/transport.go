package stream

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/pool"
	"quillfront/internal/sockets"
	"quillfront/policy"
)

// Transport implements engine.Transport for streams. An attempt opens a connection and lasts until
// the stream has ended. The load of a server is its number of streams of this process, unless the
// server is probed for load reports.
type Transport struct {
	dial     time.Duration
	budget   *sockets.Budget
	load     func(engine.Endpoint) string // the address of a server's load reports; empty: none
	prober   pool.Prober                  // nil: servers are not probed
	log      *slog.Logger
	inFlight pool.InFlight // open streams by server
}

// NewTransport returns a Transport that takes its descriptors from b. With a prober, load returns
// the address to probe.
func NewTransport(dial time.Duration, b *sockets.Budget, load func(engine.Endpoint) string, p pool.Prober, log *slog.Logger) *Transport {
	return &Transport{dial: dial, budget: b, load: load, prober: p, log: log}
}

// serverConn is an open connection to a server. The receiver must call finish.
type serverConn struct {
	*net.TCPConn
	server policy.ServerID
	ended  chan struct{}
	once   sync.Once
}

// finish ends the attempt that opened the connection. Further calls do nothing.
func (l *serverConn) finish() { l.once.Do(func() { close(l.ended) }) }

// Do implements engine.Transport.
func (t *Transport) Do(a *engine.Attempt, to engine.Endpoint) engine.AttemptResult {
	ctx, cancel := context.WithDeadline(context.Background(), earlier(a.Deadline, time.Now().Add(t.dial)))
	defer cancel()
	if !a.OnCancel(cancel) {
		return engine.AttemptResult{Status: policy.Canceled}
	}
	release, err := t.budget.Acquire(ctx)
	if err != nil {
		return engine.AttemptResult{Status: t.failureStatus(a, policy.NotSent, err)}
	}
	defer release()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		status := policy.ConnectFailed
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			status = policy.NotSent // a local shortage, which says nothing about the server
		}
		return engine.AttemptResult{Status: t.failureStatus(a, status, err)}
	}
	l := &serverConn{TCPConn: c.(*net.TCPConn), server: a.Server, ended: make(chan struct{})}
	t.inFlight.Add(a.Server, 1)
	if !a.BeginReply(l) {
		l.Close()
		t.inFlight.Add(a.Server, -1)
		return engine.AttemptResult{Status: policy.Canceled}
	}
	<-l.ended
	t.inFlight.Add(a.Server, -1)
	return engine.AttemptResult{Status: policy.OK, Load: t.localLoad(a.Server)}
}

// failureStatus logs err and returns status, or Canceled for a canceled attempt.
func (t *Transport) failureStatus(a *engine.Attempt, status policy.Status, err error) policy.Status {
	if a.Canceled() {
		return policy.Canceled
	}
	t.log.Debug("stream", "upstream", a.Server, "err", err)
	return status
}

// localLoad returns the load that this process puts on a server, or nil where the load is probed.
func (t *Transport) localLoad(id policy.ServerID) *policy.Load {
	if t.prober != nil {
		return nil
	}
	return t.inFlight.Load(id)
}

// Probe implements engine.Transport.
func (t *Transport) Probe(ctx context.Context, to engine.Endpoint) (policy.Status, *policy.Load) {
	if t.prober == nil {
		return policy.OK, t.localLoad(to.ID)
	}
	to.Addr = t.load(to)
	return t.prober.Probe(ctx, to)
}

// CloseIdle implements engine.Transport. Streams leave no idle connections.
func (t *Transport) CloseIdle(engine.Endpoint) {}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

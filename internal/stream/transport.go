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

// Transport implements engine.Transport for streams: an attempt is the opening of a connection, and lasts until the stream has
// ended. What servers have open for this process is their load, unless they tell it elsewhere.
type Transport struct {
	dial     time.Duration
	budget   *sockets.Budget
	load     func(engine.Endpoint) string // where a server tells its load; empty: nowhere
	prober   pool.Prober                  // nil: none does
	log      *slog.Logger
	inFlight pool.InFlight // streams
}

// NewTransport returns a Transport that takes its descriptors from b. With a prober, load tells where it asks.
func NewTransport(dial time.Duration, b *sockets.Budget, load func(engine.Endpoint) string, p pool.Prober, log *slog.Logger) *Transport {
	return &Transport{dial: dial, budget: b, load: load, prober: p, log: log}
}

// serverConn is an open connection to a server, which whoever was given it ends once.
type serverConn struct {
	*net.TCPConn
	server policy.ServerID
	ended  chan struct{}
	once   sync.Once
}

// finish has the attempt that opened the link finish.
func (l *serverConn) finish() { l.once.Do(func() { close(l.ended) }) }

// Do is a method of engine.Transport.
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
			status = policy.NotSent // it says nothing of the server
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

func (t *Transport) failureStatus(a *engine.Attempt, status policy.Status, err error) policy.Status {
	if a.Canceled() {
		return policy.Canceled
	}
	t.log.Debug("stream", "upstream", a.Server, "err", err)
	return status
}

// localLoad is the load of a server as this process makes it.
func (t *Transport) localLoad(id policy.ServerID) *policy.Load {
	if t.prober != nil {
		return nil
	}
	return t.inFlight.Load(id)
}

// Probe is a method of engine.Transport.
func (t *Transport) Probe(ctx context.Context, to engine.Endpoint) (policy.Status, *policy.Load) {
	if t.prober == nil {
		return policy.OK, t.localLoad(to.ID)
	}
	to.Addr = t.load(to)
	return t.prober.Probe(ctx, to)
}

// CloseIdle is a method of engine.Transport. There are no idle connections.
func (t *Transport) CloseIdle(engine.Endpoint) {}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

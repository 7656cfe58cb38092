package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"quillfront/internal/engine"
	"quillfront/policy"
)

// Transport is an engine.Transport without a network: Result decides how its attempts end. It works
// in real time and in a testing/synctest bubble.
type Transport struct {
	// Result returns the result of the n-th attempt, from 1. Nil: each attempt succeeds at once,
	// with n as its reply.
	Result func(n int, a *engine.Attempt, to engine.Endpoint) engine.AttemptResult

	mu   sync.Mutex
	sent []policy.ServerID
}

// SetResult replaces Result. It may be called while attempts are in progress.
func (t *Transport) SetResult(end func(n int, a *engine.Attempt, to engine.Endpoint) engine.AttemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Result = end
}

// Sent returns the server of each attempt, in order.
func (t *Transport) Sent() []policy.ServerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.sent)
}

// Do implements engine.Transport.
func (t *Transport) Do(a *engine.Attempt, to engine.Endpoint) engine.AttemptResult {
	t.mu.Lock()
	t.sent = append(t.sent, to.ID)
	n, end := len(t.sent), t.Result
	t.mu.Unlock()
	if end == nil {
		return engine.AttemptResult{Status: policy.OK, Reply: n}
	}
	return end(n, a, to)
}

// Probe implements engine.Transport. It reports that no probe was sent.
func (*Transport) Probe(context.Context, engine.Endpoint) (policy.Status, *policy.Load) {
	return policy.NotSent, nil
}

// CloseIdle implements engine.Transport. There are no connections to close.
func (*Transport) CloseIdle(engine.Endpoint) {}

// WaitUnlessCanceled waits until the attempt is canceled, d has passed or open is closed, and
// reports whether the attempt is still wanted. If d is 0, there is no time limit.
func WaitUnlessCanceled(a *engine.Attempt, d time.Duration, open <-chan struct{}) (wanted bool) {
	ctx := context.Background()
	if d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	canceled := make(chan struct{})
	if !a.OnCancel(sync.OnceFunc(func() { close(canceled) })) {
		return false
	}
	select {
	case <-ctx.Done():
	case <-open:
	case <-canceled:
		return false
	}
	return a.OnCancel(nil)
}

// SingleAttempt is a minimal module that sends each request to one server, without retries.
type SingleAttempt struct {
	engine.Module
	Server policy.ServerID
}

// UpdateServers implements engine.Module. The list is ignored.
func (SingleAttempt) UpdateServers(policy.Time, policy.ListKind, []policy.Server, policy.Actions) {}

// Request implements engine.Module.
func (m SingleAttempt) Request(now policy.Time, q policy.Request, act policy.Actions) {
	act.Send(q.ID, m.Server, q.Expires-now)
}

// Outcome implements engine.Module.
func (SingleAttempt) Outcome(_ policy.Time, o policy.Outcome, act policy.Actions) {
	if !o.Final {
		act.Fail(o.ID)
	}
}

// ClientDisconnected implements engine.Module.
func (SingleAttempt) ClientDisconnected(_ policy.Time, id policy.RequestID, act policy.Actions) {
	act.Cancel(id, 0)
}

// StopSending implements engine.Module. There are no further attempts to suppress.
func (SingleAttempt) StopSending(policy.Time, policy.RequestID, policy.Actions) {}

// GiveUp implements engine.Module.
func (SingleAttempt) GiveUp(_ policy.Time, id policy.RequestID, act policy.Actions) { act.Fail(id) }

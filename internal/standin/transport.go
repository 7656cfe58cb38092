package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"quillfront/internal/engine"
	"quillfront/policy"
)

// Transport is an engine.Transport without a network: its attempts end as End says, in real time or in a bubble of testing/synctest.
type Transport struct {
	// Result returns the ending of the n-th attempt, from 1. Nil: each is served at once, with n as its reply.
	Result func(n int, a *engine.Attempt, to engine.Endpoint) engine.AttemptResult

	mu   sync.Mutex
	sent []policy.ServerID
}

// SetResult replaces End while attempts go on.
func (t *Transport) SetResult(end func(n int, a *engine.Attempt, to engine.Endpoint) engine.AttemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Result = end
}

// Sent returns the servers that got an attempt, in order.
func (t *Transport) Sent() []policy.ServerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.sent)
}

// Do is a method of engine.Transport.
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

// Probe is a method of engine.Transport. There is nothing to probe.
func (*Transport) Probe(context.Context, engine.Endpoint) (policy.Status, *policy.Load) {
	return policy.NotSent, nil
}

// CloseIdle is a method of engine.Transport.
func (*Transport) CloseIdle(engine.Endpoint) {}

// WaitUnlessCanceled waits until the attempt is called off, for d, or until open is closed, and reports whether it is still wanted. A d of 0 is for
// ever.
func WaitUnlessCanceled(a *engine.Attempt, d time.Duration, open <-chan struct{}) (wanted bool) {
	ctx := context.Background()
	if d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	called := make(chan struct{})
	if !a.OnCancel(sync.OnceFunc(func() { close(called) })) {
		return false
	}
	select {
	case <-ctx.Done():
	case <-open:
	case <-called:
		return false
	}
	return a.OnCancel(nil)
}

// SingleAttempt is a module that sends each request once, to one server, and knows nothing else.
type SingleAttempt struct {
	engine.Module
	Server policy.ServerID
}

// UpdateServers is the method of engine.Module.
func (SingleAttempt) UpdateServers(policy.Time, policy.ListKind, []policy.Server, policy.Actions) {}

// Request is the method of engine.Module.
func (o SingleAttempt) Request(now policy.Time, q policy.Request, act policy.Actions) {
	act.Send(q.ID, o.Server, q.Expires-now)
}

// Outcome is the method of engine.Module.
func (SingleAttempt) Outcome(_ policy.Time, o policy.Outcome, act policy.Actions) {
	if !o.Final {
		act.Fail(o.ID)
	}
}

// ClientDisconnected is the method of engine.Module.
func (SingleAttempt) ClientDisconnected(_ policy.Time, id policy.RequestID, act policy.Actions) {
	act.Cancel(id, 0)
}

// StopSending is the method of engine.Module. There is never a further attempt.
func (SingleAttempt) StopSending(policy.Time, policy.RequestID, policy.Actions) {}

// GiveUp is the method of engine.Module.
func (SingleAttempt) GiveUp(_ policy.Time, id policy.RequestID, act policy.Actions) { act.Fail(id) }

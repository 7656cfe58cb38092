package policy

// This file holds the events of a shutdown. The host, which has the clock, decides when they
// happen; the Balancer decides what a request may still get.

// StopSending forbids any further attempt for a request, whether a first attempt, a retry or a
// hedge. A request without an outstanding attempt is answered at once.
func (b *Balancer) StopSending(now Time, id RequestID, act Actions) {
	r := b.requests[id]
	if r == nil || r.ended || r.responseStarted {
		return
	}
	r.noMoreSends = true
	if r.outstanding == 0 {
		b.finish(now, r, true, act)
	}
}

// GiveUp ends a request that the host no longer waits for, however much time its client has left.
// The request is refused if it is safe to promise that a retry is harmless. Otherwise it fails,
// because an attempt may have run or may still run.
func (b *Balancer) GiveUp(now Time, id RequestID, act Actions) {
	if r := b.requests[id]; r != nil && !r.ended && !r.responseStarted {
		b.finish(now, r, true, act)
	}
}

package policy

// The events of a shutdown. The host, which has the clock, says when; what a request may still have is decided here.

// StopSending has no further attempt made for a request, neither a first one nor a retry or hedge. One that has no
// attempt out is answered at once.
func (b *Balancer) StopSending(now Time, id RequestID, act Actions) {
	r := b.requests[id]
	if r == nil || r.ended || r.stream {
		return
	}
	r.spent = true
	if r.out == 0 {
		b.finish(now, r, true, act)
	}
}

// GiveUp ends a request whose host waits no longer, whatever time its client has left: it is refused where that promise
// is true, and else it has failed, as an attempt may have run or may yet.
func (b *Balancer) GiveUp(now Time, id RequestID, act Actions) {
	if r := b.requests[id]; r != nil && !r.ended && !r.stream {
		b.finish(now, r, true, act)
	}
}

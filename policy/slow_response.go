package policy

// This file holds the events of responses that take long to arrive.

// ResponseSlow notes that the response of an attempt has begun but is not complete soon after: its
// server no longer works on the request, but writes. A response that flows slowly takes no place
// that another request needs.
func (b *Balancer) ResponseSlow(now Time, id RequestID, attempt int, act Actions) {
	if r := b.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		r.attempts[attempt].setExecuting(false)
	}
}

// ResponseStalled notes that the response of an attempt has begun and stands still since lastAt. It may
// go on, so the attempt is not given up. Where a request may have two attempts in flight, another server
// gets it too, unless that is expected to come too late; see ChooseResponse for which of them wins.
func (b *Balancer) ResponseStalled(now Time, id RequestID, attempt int, lastAt Time, act Actions) {
	r := b.requests[id]
	if r == nil || r.ended || attempt < 0 || attempt >= len(r.attempts) || !r.attempts[attempt].pending {
		return
	}
	stalled := &r.attempts[attempt]
	stalled.server.marked = false
	if b.cfg.MayDuplicate && b.cfg.MayCancel && copyCanEndFirst(now, stalled.sent, lastAt, r.answerBy) {
		b.sendNext(now, r, b.readySet(now, r), act)
	}
}

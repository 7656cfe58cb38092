package engine

import "quillfront/policy"

// StopSending prevents any further send for r: attempts that wait for a descriptor or a connection
// are canceled, and there are no retries or hedges. A request without an attempt in flight ends at
// once; attempts in flight may still bring the reply. StopSending may be called before Submit,
// which then fails with ErrClosed, and after r has ended.
func (e *Engine) StopSending(r *Request) {
	e.event(func(now policy.Time) {
		r.sendingStopped = true
		if r.ended || !r.submitted() || r.deferred {
			return
		}
		r.cancelUnsent(nil)
		e.module.StopSending(now, r.id, e)
	})
}

// GiveUp ends r with a final result now, if it has none, because its caller can wait no longer. It
// includes the effects of StopSending.
func (e *Engine) GiveUp(r *Request) {
	e.event(func(now policy.Time) {
		r.sendingStopped = true
		if r.ended || !r.submitted() {
			return
		}
		if !r.deferred {
			e.module.GiveUp(now, r.id, e)
		}
		// A deferred request waits for an earlier one, which may have run. For any other request
		// this is a safeguard against a module that leaves it open.
		e.finish(r, Result{Kind: Failed, MayHaveRun: r.deferred})
	})
}

// submitted reports whether the engine has accepted r by Submit or SubmitDeferred.
func (r *Request) submitted() bool { return r.id != 0 }

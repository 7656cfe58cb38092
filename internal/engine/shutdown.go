package engine

import "quillfront/policy"

// StopSending has nothing more sent for r from now on: attempts that wait for a descriptor or a connection are called
// off, and there is no retry or hedge. One that has no attempt out is answered at once; those that are out may still
// bring the answer. It may be called before Take, which then fails with ErrClosed, and after r has ended.
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

// GiveUp gives r its final result now, if it has none: whoever waits for it can wait no longer. It includes StopSending.
func (e *Engine) GiveUp(r *Request) {
	e.event(func(now policy.Time) {
		r.sendingStopped = true
		if r.ended || !r.submitted() {
			return
		}
		if !r.deferred {
			e.module.GiveUp(now, r.id, e)
		}
		// What it was adopted for may have run. For another it guards against a module that leaves it open.
		e.finish(r, Result{Kind: Failed, MayHaveRun: r.deferred})
	})
}

// submitted reports whether r has been submitted or adopted.
func (r *Request) submitted() bool { return r.id != 0 }

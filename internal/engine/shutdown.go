package engine

import "quillfront/policy"

// StopSending has nothing more sent for r from now on: attempts that wait for a descriptor or a connection are called
// off, and there is no retry or hedge. One that has no attempt out is answered at once; those that are out may still
// bring the answer. It may be called before Take, which then fails with ErrClosed, and after r has ended.
func (e *Engine) StopSending(r *Request) {
	e.event(func(now policy.Time) {
		r.unsendable = true
		if r.ended || !r.taken() || r.adopted {
			return
		}
		r.callOff(nil)
		e.module.StopSending(now, r.id, e)
	})
}

// GiveUp gives r its final result now, if it has none: whoever waits for it can wait no longer. It includes StopSending.
func (e *Engine) GiveUp(r *Request) {
	e.event(func(now policy.Time) {
		r.unsendable = true
		if r.ended || !r.taken() {
			return
		}
		if !r.adopted {
			e.module.GiveUp(now, r.id, e)
		}
		// What it was adopted for may have run. For another it guards against a module that leaves it open.
		e.finish(r, Result{Kind: Failed, MayHaveRun: r.adopted})
	})
}

// taken reports whether r has been taken or adopted.
func (r *Request) taken() bool { return r.id != 0 }

package engine

import (
	"time"

	"quillfront/policy"
)

// This file follows the replies that are arriving, of which the policy chooses the one that is passed
// on.

// ReplyReceived records that so many bytes of the reply's body, of expected bytes, have been received;
// negative: of unknown length.
func (a *Attempt) ReplyReceived(received, expected int64) {
	now := a.engine.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.progress == nil {
		a.progress = &policy.ResponseProgress{Attempt: a.Number, SentAt: a.sentAt, Expected: expected}
	}
	a.progress.Record(now, received)
}

// replyProgress returns how far the reply has come, and false if its body has not begun or the attempt
// was canceled.
func (a *Attempt) replyProgress() (policy.ResponseProgress, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.progress == nil || a.canceled {
		return policy.ResponseProgress{}, false
	}
	return *a.progress, true
}

// ResponseStalled tells the module that a reply has begun and stands still since lastAt, unless the
// request has ended.
func (a *Attempt) ResponseStalled(lastAt time.Time) {
	e, r := a.engine, a.req
	e.event(func(now policy.Time) {
		if !r.ended {
			e.module.ResponseStalled(now, r.id, a.Number, lastAt.Sub(e.origin), e)
		}
	})
}

// Alone reports whether no other attempt of the request is in flight.
func (a *Attempt) Alone() bool {
	if !a.req.several.Load() {
		return true
	}
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	return a.req.outstanding <= 1
}

// HasCompanions reports whether the request has had further attempts. Unlike Alone it takes no lock.
func (a *Attempt) HasCompanions() bool { return a.req.several.Load() }

// MayPassOn reports whether the reply of a, which has begun, is the one to be passed on: of all replies
// that are arriving it is expected to end first. If another one is, and urgent says that something has
// to be passed on now, that one is asked to. latest is the last time at which a reply can be passed on.
func (a *Attempt) MayPassOn(latest time.Time, urgent bool) bool {
	if !a.HasCompanions() {
		return true
	}
	e := a.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	var arriving []policy.ResponseProgress
	for _, other := range a.req.attempts {
		if other.ended {
			continue
		}
		if p, ok := other.replyProgress(); ok {
			arriving = append(arriving, p)
		}
	}
	best, ok := policy.ChooseResponse(e.Now(), latest.Sub(e.origin), arriving)
	if ok && best != a.Number && urgent {
		a.req.attempts[best].askedToPass.Store(true)
	}
	return ok && best == a.Number
}

// AskedToPassOn reports whether the reply of a has to be passed on now, as another attempt has found it
// to be the best.
func (a *Attempt) AskedToPassOn() bool { return a.askedToPass.Load() }

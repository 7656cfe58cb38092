package engine

import (
	"strings"

	"quillfront/policy"
	"quillfront/reconfig"
)

// SharedIDs records the IDs of requests that are open, or may have run, at all processes that serve the
// same clients. The engine calls it under its lock, so that its methods must not block.
type SharedIDs interface {
	// Claim records the ID of a request that is about to be open, and reports false if the ID is in use.
	// singleUse says that it must not be used again if its request may have run.
	Claim(id string, singleUse bool) bool
	// Release records that the request has ended, and that its ID may be used again.
	Release(id string)
	// Spend records that the request has ended and may have run.
	Spend(id string)
	// Unspend takes Spend back: the request has turned out not to have run.
	Unspend(id string)
}

// ShareIDs makes the engine record its requests' IDs in ids too. It must be called before the first
// request.
func (e *Engine) ShareIDs(ids SharedIDs) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sharedIDs = ids
}

// singleUse reports whether r must not run if an earlier request with its ID may have run. Orders
// are left to the code that records their attempts.
func (e *Engine) singleUse(r *Request) bool {
	if !r.SingleUseID || r.ExternalID == "" || r.Order != nil {
		return false
	}
	name, _ := strings.CutSuffix(r.Class, reconfig.PreviousSuffix)
	class, known := e.Class(name)
	return !known || class.Effect != policy.Safe
}

// claimID reports whether no other process uses the ExternalID of r, and records that r does.
func (e *Engine) claimID(r *Request) bool {
	return e.sharedIDs == nil || r.ExternalID == "" || e.sharedIDs.Claim(r.ExternalID, e.singleUse(r))
}

// freeID records that r has ended: its ExternalID is free for other requests, unless it must not be
// used again and r may have run.
func (e *Engine) freeID(r *Request) {
	if r.ExternalID == "" {
		return
	}
	delete(e.openByExternalID, r.ExternalID)
	spent := e.singleUse(r) && (r.mayHaveRun || r.outstanding > 0)
	if spent {
		e.spent.add(e.Now(), r.ExternalID)
	}
	switch {
	case e.sharedIDs == nil:
	case spent:
		e.sharedIDs.Spend(r.ExternalID)
	default:
		e.sharedIDs.Release(r.ExternalID)
	}
}

// unspendID frees the ExternalID of r, which has ended and did not run.
func (e *Engine) unspendID(r *Request) {
	e.spent.remove(r.ExternalID)
	if e.sharedIDs != nil {
		e.sharedIDs.Unspend(r.ExternalID)
	}
}

package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"quillfront/policy"
)

// Request is a client's request. The caller sets the exported fields and passes it to Submit or
// SubmitDeferred; from then on the fields belong to the engine.
type Request struct {
	Class, Tenant, Key string
	Cost               time.Duration // rough estimate of the work; zero if unknown
	Retry              bool          // the client declares that this is a retry
	// ExternalID is the client's ID, unique among open requests; empty if none
	ExternalID string
	// SingleUseID says that the client never uses ExternalID again: a request that is not safe to
	// repeat is rejected if an earlier one with that ID may have run.
	SingleUseID bool
	Timeout     time.Duration // how long the client waits for the reply
	// Deadline is the latest time of the reply, unless an upload ends after it was set. If it is
	// zero, Timeout alone applies.
	Deadline time.Time
	Payload  any // what the transport sends; opaque to the engine
	// Release is called once when no attempt needs Payload any more. It must not block.
	Release func()
	// Uploading means that Payload is still arriving and can be sent only once; Timeout runs from
	// the end of the upload.
	Uploading     bool
	PriorAttempts []policy.PriorAttempt // earlier attempts under the same key, for the module
	// Order is data for the code that records the attempts; opaque to the engine.
	Order any

	// OnEnd is called once, with the engine's lock held, when the request has its result or was
	// withdrawn. It must not block or call the engine.
	OnEnd func(result Result, withdrawn bool)

	id             policy.RequestID
	submittedAt    policy.Time // when the request was accepted
	result         chan Result // buffered, capacity 1
	attempts       []*Attempt
	several        atomic.Bool // there has been more than one attempt
	outstanding    int         // attempts that have not ended
	ended          bool
	deferred       bool // not yet passed to the module
	sendingStopped bool // see StopSending
	mayHaveRun     bool // an attempt has ended that the server may have executed
	lastStatus     policy.Status
}

// cancelUnsent cancels the attempts of r that have not been sent yet, except one. Otherwise, an
// attempt that waits for a descriptor or a connection could be sent although nobody waits for the
// reply: if attempts must not be canceled once sent, the module does not cancel unsent ones either.
func (r *Request) cancelUnsent(except *Attempt) {
	for _, a := range r.attempts {
		if a != except && !a.ended {
			a.cancelIfUnsent()
		}
	}
}

// Result returns the channel that receives the request's only result. A withdrawn request gets
// none.
func (r *Request) Result() <-chan Result { return r.result }

// ResultKind is the way in which a request ended.
type ResultKind int

// The kinds of results.
const (
	Served  ResultKind = iota // a server has replied
	Refused                   // the request was not executed, or executing it again is harmless
	Failed                    // the request may have been executed
	Dropped                   // the engine was closed; the request may have been executed
)

// Result is the outcome of a request.
type Result struct {
	Kind  ResultKind
	Reply any // Served: the reply as the transport returned it
	// Streamed is set on Served if the reply has begun but may not be complete: whoever receives
	// Reply reads the rest of it, so that no second request can be given the same Reply.
	Streamed   bool
	Server     policy.ServerID // Served: the server that replied
	RetryAfter time.Duration   // Refused: when to retry; zero if unspecified
	Attempts   int             // number of attempts made
	LastStatus policy.Status   // not Served: status of the attempt that ended last, if Attempts > 0
	Replayed   bool            // Served: the reply belongs to an earlier request under the same key
	// NotRun is set unless Served, if every attempt has ended and was provably never executed.
	NotRun bool
	// MayHaveRun is set on Failed: this request was not sent, but an earlier one under its key may
	// have run.
	MayHaveRun bool
}

// Attempt is one attempt to send a request to a server.
type Attempt struct {
	Number   int // index among the request's attempts, from 0
	Server   policy.ServerID
	Deadline time.Time // when the module stops waiting

	engine       *Engine
	req          *Request
	sentAt       policy.Time
	ended        bool        // the transport has returned
	replyBegunAt policy.Time // when a slow or streamed reply began; zero: there is none
	stage        atomic.Int32
	askedToPass  atomic.Bool // see AskedToPassOn

	mu       sync.Mutex
	progress *policy.ResponseProgress // nil: the body of a reply has not begun
	canceled bool
	sending  bool   // the server may have received part of it
	stopWait func() // ends the attempt's present wait
}

// Payload returns what is to be sent. It remains valid until the attempt has ended.
func (a *Attempt) Payload() any { return a.req.Payload }

// ExternalID returns the client's ID of the request.
func (a *Attempt) ExternalID() string { return a.req.ExternalID }

// Order returns the Order field of the request.
func (a *Attempt) Order() any { return a.req.Order }

// cancel cancels the attempt. The attempt's goroutine reports the outcome.
func (a *Attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	if a.stopWait != nil {
		a.stopWait()
	}
}

// cancelIfUnsent cancels an attempt that has not been sent yet. It applies even where attempts must
// not be canceled, because no server has received it.
func (a *Attempt) cancelIfUnsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sending || a.canceled {
		return
	}
	a.canceled = true
	if a.stopWait != nil {
		a.stopWait()
	}
}

// unsent reports whether the attempt was canceled before any of it was sent, so that it never ran.
func (a *Attempt) unsent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled && !a.sending
}

// Sending is like OnCancel and marks the start of the send: from now on only the module can cancel
// the attempt.
func (a *Attempt) Sending(stop func()) bool {
	a.SetStage(StageSend)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopWait, a.sending = stop, true
	return !a.canceled
}

// OnCancel registers stop as the function that ends the present wait, and reports whether the
// attempt is still wanted. stop is called at most once for each cancellation and must not block.
func (a *Attempt) OnCancel(stop func()) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopWait = stop
	return !a.canceled
}

// Canceled reports whether the attempt was canceled.
func (a *Attempt) Canceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"quillfront/policy"
)

// Request is one request of a client. A front fills in the exported fields and hands it to Take; from then on they belong
// to the engine.
type Request struct {
	Class, Tenant, Key string
	Cost               time.Duration         // rough expected work; zero: unknown
	Retry              bool                  // the client says that it has asked before
	ExternalID         string                // the client's own name of it, which no two open requests share; empty: none
	Timeout            time.Duration         // how long the client waits
	Deadline           time.Time             // when it has its answer at the latest, if it has not been uploaded since; zero: with Wait
	Payload            any                   // what the transport sends; the engine never looks at it
	Release            func()                // called once, when no attempt needs Payload any more; it must not block
	Upload             bool                  // Payload is still coming, and can be sent once; Wait runs from its end
	KeyHistory         []policy.PriorAttempt // what the module is told of earlier requests under its key
	Order              any                   // what whoever notes its attempts goes by; the engine never looks at it

	// OnEnd is called once, under the engine's lock, when the request has its result or was withdrawn. It must not block nor
	// call the engine.
	OnEnd func(result Result, withdrawn bool)

	id         policy.RequestID
	since      policy.Time // when it was taken
	result     chan Result // of one place
	attempts   []*Attempt
	out        int // attempts without an ending
	ended      bool
	adopted    bool // the module was not told of it
	unsendable bool // see StopSending
	ran        bool // an attempt has ended that may have been executed
	last       policy.Status
}

// callOff calls off the attempts of r that wait to be sent, but for one. It guards against sending what nobody waits for any more, after
// a wait for a descriptor or a connection: where attempts that are out may not be called off, the module leaves these alone too.
func (r *Request) callOff(but *Attempt) {
	for _, a := range r.attempts {
		if a != but && !a.settled {
			a.callOff()
		}
	}
}

// Result returns where the request's one result comes, unless it is withdrawn.
func (r *Request) Result() <-chan Result { return r.result }

// ResultKind says how a request ended.
type ResultKind int

// The kinds.
const (
	Served  ResultKind = iota // a server has answered it
	Refused                   // a retry is harmless
	Failed                    // nothing is promised: it may have run
	Dropped                   // the engine was closed; nothing is promised
)

// Result is the one result of a request.
type Result struct {
	Kind       ResultKind
	Reply      any             // Served: the answer, as the transport gave it
	Server     policy.ServerID // Served: whose it is
	RetryAfter time.Duration   // Refused: when to come back; zero: not told
	Attempts   int             // how many attempts were made
	LastStatus policy.Status   // not Served: how the attempt that ended last did, if Attempts is above 0
	Replayed   bool            // Served: the answer was made for an earlier request under the same key
	NotRun     bool            // not Served: each attempt that was made has ended, and proves that it was never executed
	MayHaveRun bool            // Failed: an earlier request under the same key may have run, and this one was not sent
}

// Attempt is one send of a request.
type Attempt struct {
	Number   int // of the request's attempts, from 0
	Server   policy.ServerID
	Deadline time.Time // the module waits no longer

	engine  *Engine
	req     *Request
	sent    policy.Time
	settled bool        // it has ended
	begun   policy.Time // when its answer was passed on before its end; zero: it was not
	stage   atomic.Int32

	mu       sync.Mutex
	canceled bool
	sending  bool   // its server may have seen some of it
	stop     func() // ends what the attempt waits for
}

// Payload is what is to be sent. It stays until the attempt has ended.
func (a *Attempt) Payload() any { return a.req.Payload }

// ExternalID is the client's own name of the request.
func (a *Attempt) ExternalID() string { return a.req.ExternalID }

// Order is the request's.
func (a *Attempt) Order() any { return a.req.Order }

// cancel calls the attempt off. Its goroutine tells the outcome.
func (a *Attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	if a.stop != nil {
		a.stop()
	}
}

// callOff is cancel of an attempt that waits to be sent. It asks nobody whether attempts may be called off: no server has seen it.
func (a *Attempt) callOff() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sending || a.canceled {
		return
	}
	a.canceled = true
	if a.stop != nil {
		a.stop()
	}
}

// unsent reports whether the attempt was called off before any of it was sent: it has never run.
func (a *Attempt) unsent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled && !a.sending
}

// Sending is OnCancel where the attempt begins to be sent: from now on the module alone may call it off.
func (a *Attempt) Sending(stop func()) bool {
	a.SetStage(StageSend)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop, a.sending = stop, true
	return !a.canceled
}

// OnCancel makes stop what ends the present wait, and reports whether the attempt is still wanted. stop is called at
// most once for each cancel and must not block.
func (a *Attempt) OnCancel(stop func()) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop = stop
	return !a.canceled
}

// Canceled reports whether the attempt was called off.
func (a *Attempt) Canceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

package engine

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"quillfront/policy"
)

// Stage is the step of an attempt that is in progress, named after what it waits for.
type Stage int32

// The stages of an attempt.
const (
	StageServer     Stage = iota // the server; the transport has reported nothing more specific
	StageDescriptor              // a file descriptor
	StageConnect                 // a connection
	StageSend                    // the server to accept the request
	StageAnswer                  // the head of the reply
)

var stageNames = [...]string{
	StageServer: "its server", StageDescriptor: "a descriptor", StageConnect: "a connection", StageSend: "the request to be taken",
	StageAnswer: "the answer",
}

// String returns a description of what the attempt waits for.
func (s Stage) String() string { return stageNames[s] }

// SetStage records what the attempt waits for from now on. The transport may call it at any time.
func (a *Attempt) SetStage(s Stage) { a.stage.Store(int32(s)) }

// PendingRequest describes a request without a result and what it waits for.
type PendingRequest struct {
	Description  string // the payload's String, if it has that method
	Class        string
	Age          time.Duration // since the request was accepted
	Attempts     int           // attempts made so far
	OpenAttempts []OpenAttempt // attempts that have not ended
	WaitsFor     string        // what the request waits for if no attempt is open
}

// OpenAttempt describes an attempt that has not ended.
type OpenAttempt struct {
	Server policy.ServerID
	Age    time.Duration // since the send, or since the end of the upload
	Stage  Stage
}

// String describes what w waits for, without times.
func (w PendingRequest) String() string {
	if len(w.OpenAttempts) == 0 {
		return w.WaitsFor
	}
	var all []string
	for _, a := range w.OpenAttempts {
		all = append(all, fmt.Sprintf("%v of %s", a.Stage, a.Server))
	}
	return strings.Join(all, ", ")
}

// PendingRequests returns the requests that have waited for at least d, oldest first.
func (e *Engine) PendingRequests(d time.Duration) []PendingRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	reason := "a load report"
	if !e.hasUsableServer() {
		reason = "a list with a server that takes requests"
		if e.retired {
			reason += ", in a pool that is taken out"
		}
	}
	var all []PendingRequest
	for _, r := range e.requests {
		if r.ended || now-r.submittedAt < d {
			continue
		}
		w := PendingRequest{Class: r.Class, Age: now - r.submittedAt, Attempts: len(r.attempts)}
		if s, ok := r.Payload.(fmt.Stringer); ok {
			w.Description = s.String()
		}
		for _, a := range r.attempts {
			if !a.ended {
				w.OpenAttempts = append(w.OpenAttempts, OpenAttempt{a.Server, now - a.sentAt, Stage(a.stage.Load())})
			}
		}
		switch {
		case len(w.OpenAttempts) > 0:
		case r.deferred:
			w.WaitsFor = "another request of its order"
		default:
			w.WaitsFor = reason
		}
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b PendingRequest) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), strings.Compare(a.Description, b.Description))
	})
	return all
}

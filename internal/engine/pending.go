package engine

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"quillfront/policy"
)

// Stage is what an attempt waits for.
type Stage int32

// The stages.
const (
	StageServer     Stage = iota // its server, as far as its transport tells
	StageDescriptor              // a descriptor
	StageConnect                 // a connection
	StageSend                    // the server to take what is sent
	StageAnswer                  // the head of the answer
)

var stages = [...]string{
	StageServer: "its server", StageDescriptor: "a descriptor", StageConnect: "a connection", StageSend: "the request to be taken",
	StageAnswer: "the answer",
}

// String returns the stage in words.
func (s Stage) String() string { return stages[s] }

// SetStage notes what the attempt waits for from now on. It may be called by the transport at any time.
func (a *Attempt) SetStage(s Stage) { a.stage.Store(int32(s)) }

// PendingRequest is a request without a result, and what it waits for.
type PendingRequest struct {
	Description  string // the payload's own word for it, if it has one
	Class        string
	Age          time.Duration // since it was taken
	Attempts     int           // made so far
	OpenAttempts []OpenAttempt // attempts that have not ended
	WaitsFor     string        // with none out: what keeps it
}

// OpenAttempt is an attempt that has not ended.
type OpenAttempt struct {
	Server policy.ServerID
	Age    time.Duration // since it was sent, or the last byte of its request was
	Stage  Stage
}

// String says what w waits for, without times.
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

// PendingRequests returns the requests that have waited for longer than d, the oldest first.
func (e *Engine) PendingRequests(d time.Duration) []PendingRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Now()
	none := "a load report"
	if !e.usable() {
		none = "a list with a server that takes requests"
		if e.retired {
			none += ", in a pool that is taken out"
		}
	}
	var all []PendingRequest
	for _, r := range e.requests {
		if r.ended || now-r.since < d {
			continue
		}
		w := PendingRequest{Class: r.Class, Age: now - r.since, Attempts: len(r.attempts)}
		if s, ok := r.Payload.(fmt.Stringer); ok {
			w.Description = s.String()
		}
		for _, a := range r.attempts {
			if !a.settled {
				w.OpenAttempts = append(w.OpenAttempts, OpenAttempt{a.Server, now - a.sent, Stage(a.stage.Load())})
			}
		}
		switch {
		case len(w.OpenAttempts) > 0:
		case r.adopted:
			w.WaitsFor = "another request of its order"
		default:
			w.WaitsFor = none
		}
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b PendingRequest) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), strings.Compare(a.Description, b.Description))
	})
	return all
}

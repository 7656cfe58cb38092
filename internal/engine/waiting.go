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

// At notes what the attempt waits for from now on. It may be called by the transport at any time.
func (a *Attempt) At(s Stage) { a.stage.Store(int32(s)) }

// Waiting is a request without a result, and what it waits for.
type Waiting struct {
	What     string // the payload's own word for it, if it has one
	Class    string
	Age      time.Duration // since it was taken
	Attempts int           // made so far
	Out      []AttemptOut  // attempts that have not ended
	For      string        // with none out: what keeps it
}

// AttemptOut is an attempt that has not ended.
type AttemptOut struct {
	Server policy.ServerID
	Age    time.Duration // since it was sent, or the last byte of its request was
	Stage  Stage
}

// String says what w waits for, without times.
func (w Waiting) String() string {
	if len(w.Out) == 0 {
		return w.For
	}
	var all []string
	for _, a := range w.Out {
		all = append(all, fmt.Sprintf("%v of %s", a.Stage, a.Server))
	}
	return strings.Join(all, ", ")
}

// Waiting returns the requests that have waited for longer than d, the oldest first.
func (e *Engine) Waiting(d time.Duration) []Waiting {
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
	var all []Waiting
	for _, r := range e.requests {
		if r.ended || now-r.since < d {
			continue
		}
		w := Waiting{Class: r.Class, Age: now - r.since, Attempts: len(r.attempts)}
		if s, ok := r.Payload.(fmt.Stringer); ok {
			w.What = s.String()
		}
		for _, a := range r.attempts {
			if !a.settled {
				w.Out = append(w.Out, AttemptOut{a.Server, now - a.sent, Stage(a.stage.Load())})
			}
		}
		switch {
		case len(w.Out) > 0:
		case r.adopted:
			w.For = "another request of its order"
		default:
			w.For = none
		}
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b Waiting) int { return cmp.Or(cmp.Compare(b.Age, a.Age), strings.Compare(a.What, b.What)) })
	return all
}

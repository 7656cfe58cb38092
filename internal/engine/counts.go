package engine

import (
	"maps"
	"strings"

	"quillfront/policy"
	"quillfront/reconfig"
)

// Counts holds the number of requests and attempts of a class since the engine's start, by outcome.
type Counts struct {
	Accepted  uint64
	Results   [Dropped + 1]uint64         // by ResultKind
	Withdrawn uint64                      // the client disconnected
	Attempts  [policy.Rejected + 1]uint64 // ended attempts by status
	Reasons   [policy.Reasons]uint64      // ended attempts by the reason for which they brought no answer
}

// countsOf returns the counts of r's class. Every class that ever was in the configuration has its
// own counts, up to maxCountedClasses; further classes share the name "other".
func (e *Engine) countsOf(r *Request) *Counts {
	name, _ := strings.CutSuffix(r.Class, reconfig.PreviousSuffix)
	c := e.counts[name]
	if c == nil {
		if len(e.counts) >= maxCountedClasses {
			name = "other"
			if c = e.counts[name]; c != nil {
				return c
			}
		}
		c = &Counts{}
		e.counts[name] = c
	}
	return c
}

// maxCountedClasses limits the number of classes with separate counts, because every change of the
// settings may introduce new ones.
const maxCountedClasses = 256

// Counts returns the counts since the engine's start by class.
func (e *Engine) Counts() map[string]Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make(map[string]Counts, len(e.counts))
	for name, c := range maps.All(e.counts) {
		all[name] = *c
	}
	return all
}

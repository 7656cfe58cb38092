package engine

import (
	"maps"
	"strings"

	"quillfront/policy"
	"quillfront/retune"
)

// Counts is what has become of the requests of a class since the start.
type Counts struct {
	Accepted  uint64
	Results   [Dropped + 1]uint64         // by Kind
	Withdrawn uint64                      // their clients have left
	Attempts  [policy.Rejected + 1]uint64 // that have ended, by how they did
}

// count returns the counts of r's class. There are as many as there were classes; beyond mostCounted the rest is one.
func (e *Engine) count(r *Request) *Counts {
	name, _ := strings.CutSuffix(r.Class, retune.Before)
	c := e.counts[name]
	if c == nil {
		if len(e.counts) >= mostCounted {
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

// mostCounted bounds the classes that are counted apart: settings may bring ever new ones.
const mostCounted = 256

// Counts returns what has become of requests since the start, by class.
func (e *Engine) Counts() map[string]Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make(map[string]Counts, len(e.counts))
	for name, c := range maps.All(e.counts) {
		all[name] = *c
	}
	return all
}

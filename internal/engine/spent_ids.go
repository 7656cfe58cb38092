package engine

import (
	"time"

	"quillfront/policy"
)

const (
	// SpentIDLifetime is how long the ID of a request that may have run is remembered. It covers the
	// time in which a client, or what is between it and this process, may send the request again.
	SpentIDLifetime = 30 * time.Second
	// maxSpentIDs limits the remembered IDs; the oldest are forgotten first.
	maxSpentIDs = 16_384
)

// spentIDs remembers the IDs of requests that may have run.
type spentIDs struct {
	since map[string]policy.Time
	queue []spentID // oldest first; its stale entries are those that since does not confirm
}

// spentID is an ID and when it was added.
type spentID struct {
	id string
	at policy.Time
}

// add remembers an ID.
func (s *spentIDs) add(now policy.Time, id string) {
	if s.since == nil {
		s.since = map[string]policy.Time{}
	}
	s.since[id] = now
	s.queue = append(s.queue, spentID{id, now})
	for len(s.queue) > maxSpentIDs || now-s.queue[0].at > SpentIDLifetime {
		oldest := s.queue[0]
		s.queue = s.queue[1:]
		if s.since[oldest.id] == oldest.at {
			delete(s.since, oldest.id)
		}
	}
}

// remove forgets an ID whose request has turned out not to have run.
func (s *spentIDs) remove(id string) { delete(s.since, id) }

// contains reports whether an ID is remembered.
func (s *spentIDs) contains(now policy.Time, id string) bool {
	at, ok := s.since[id]
	return ok && now-at <= SpentIDLifetime
}

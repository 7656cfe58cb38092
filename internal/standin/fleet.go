package standin

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"quillfront/internal/engine"
	"quillfront/policy"
)

// Fleet is a set of servers that share a record of the requests that they have executed, and the
// discovery service that lists them.
type Fleet struct {
	classes   map[string]policy.Class
	Discovery *Discovery

	mu           sync.Mutex
	servers      []*Server
	lastSeed     uint64
	executed     map[string]*execution // by class and key, at most maxRemembered
	reached      map[string][]string   // servers that received a request, by X-Request-ID; likewise
	deduplicated int                   // repeats that were recognized and not executed again
}

// execution records the executions of one key.
type execution struct {
	class string
	count int
	zone  map[string]time.Time // time of the latest execution by zone
	cell  map[int]time.Time
	last  time.Time
}

// NewFleet starts a fleet without servers, whose discovery service publishes changes after lag.
func NewFleet(classes []policy.Class, seed uint64, lag time.Duration) (*Fleet, error) {
	d, err := newDiscovery(lag)
	if err != nil {
		return nil, err
	}
	f := &Fleet{classes: map[string]policy.Class{}, Discovery: d, lastSeed: seed, executed: map[string]*execution{}, reached: map[string][]string{}}
	for _, c := range classes {
		f.classes[c.Name] = c
	}
	return f, nil
}

// Start starts a server and adds it to the list.
func (f *Fleet) Start(cfg ServerConfig) (*Server, error) {
	f.mu.Lock()
	f.lastSeed++
	seed := f.lastSeed
	f.mu.Unlock()
	s, err := startServer(cfg, f, seed)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	f.Discovery.Update(entryOf(s, policy.Ready), nil)
	return s, nil
}

// entryOf returns the list entry of a server in a given state.
func entryOf(s *Server, state policy.ServerState) engine.Server {
	entry := engine.Server{
		ID: policy.ServerID(s.cfg.ID), Addr: s.Addr(), State: state, Zone: s.cfg.Zone, Cell: s.cfg.Cell, Weight: 1,
	}
	if !s.startedAt.IsZero() {
		entry.StartedMs = s.startedAt.UnixMilli()
	}
	return entry
}

// Drain makes a server finish its requests and reject new ones, and lists it as draining.
func (f *Fleet) Drain(s *Server) {
	s.drain()
	f.Discovery.Update(entryOf(s, policy.Draining), func() { s.drainListed(time.Now()) })
}

// ListDraining lists a server as draining although it still serves all requests. A request after
// the grace period is then counted as late rather than rejected.
func (f *Fleet) ListDraining(s *Server) {
	f.Discovery.Update(entryOf(s, policy.Draining), func() { s.drainListed(time.Now()) })
}

// Kill ends a server and removes it from the list.
func (f *Fleet) Kill(s *Server) {
	s.close()
	f.Discovery.Update(entryOf(s, policy.Gone), nil)
}

// Close ends all servers and the discovery service.
func (f *Fleet) Close() {
	f.Discovery.Close()
	f.mu.Lock()
	servers := slices.Clone(f.servers)
	f.mu.Unlock()
	for _, s := range servers {
		s.close()
	}
}

// Servers returns all servers that were ever started.
func (f *Fleet) Servers() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.servers)
}

// recordArrival records that a server has received a request.
func (f *Fleet) recordArrival(id, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, known := f.reached[id]; known || len(f.reached) < maxRemembered {
		f.reached[id] = append(r, server)
	}
}

// ServersReached returns the IDs of the servers that have received the request with an
// X-Request-ID, in order.
func (f *Fleet) ServersReached(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.reached[id])
}

// recordExecution records that s has executed q, unless the group of its class still remembers the
// key.
func (f *Fleet) recordExecution(s *Server, q *http.Request, now time.Time) {
	name, key := requestKey(q)
	c := f.classes[name]
	f.mu.Lock()
	defer f.mu.Unlock()
	id := name + "\x00" + key
	e := f.executed[id]
	if e == nil {
		if len(f.executed) >= maxRemembered {
			return
		}
		e = &execution{class: name, zone: map[string]time.Time{}, cell: map[int]time.Time{}}
		f.executed[id] = e
	}
	known := e.last
	switch c.Group {
	case policy.GroupZone:
		known = e.zone[s.cfg.Zone]
	case policy.GroupCell:
		known = e.cell[s.cfg.Cell]
	}
	if c.Effect == policy.Keyed && !known.IsZero() && now.Sub(known) <= c.KeyTTL {
		f.deduplicated++
		return
	}
	e.count++
	e.last, e.zone[s.cfg.Zone], e.cell[s.cfg.Cell] = now, now, now
}

// Executions returns how often a key of a class was executed.
func (f *Fleet) Executions(class, key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.executed[class+"\x00"+key]; e != nil {
		return e.count
	}
	return 0
}

// Effects counts the executions of a fleet.
type Effects struct {
	Keys         int // distinct keys of classes whose effect is not policy.Safe
	Duplicates   int // executions of such keys beyond the first of each
	Deduplicated int // repeats that the servers recognized and did not execute
}

// Effects returns the present counts.
func (f *Fleet) Effects() Effects {
	f.mu.Lock()
	defer f.mu.Unlock()
	effects := Effects{Deduplicated: f.deduplicated}
	for _, e := range f.executed {
		if f.classes[e.class].Effect != policy.Safe {
			effects.Keys++
			effects.Duplicates += e.count - 1
		}
	}
	return effects
}

// String lists the servers by ID, with the number of requests that each has received.
func (f *Fleet) String() string {
	servers := f.Servers()
	slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.cfg.ID, b.cfg.ID) })
	text := ""
	for _, s := range servers {
		text += fmt.Sprintf("%s %d\n", s.cfg.ID, s.requests.Load())
	}
	return text
}

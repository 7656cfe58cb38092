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

// Fleet is a set of boxes with the memory that they share of what they have executed, and the discovery that lists them.
type Fleet struct {
	classes   map[string]policy.Class
	Discovery *Discovery

	mu       sync.Mutex
	boxes    []*Server
	seeds    uint64
	executed map[string]*execution // by class and key, at most mostKept
	routes   map[string][]string   // the boxes that a request came to, by X-Request-ID, at most mostKept
	dropped  int                   // repeats that were known and so not executed again
}

// execution is what became of one key.
type execution struct {
	class string
	times int
	zone  map[string]time.Time // of the latest one there
	cell  map[int]time.Time
	last  time.Time
}

// NewFleet starts a fleet without boxes, whose discovery tells of changes after lag.
func NewFleet(classes []policy.Class, seed uint64, lag time.Duration) (*Fleet, error) {
	d, err := newDiscovery(lag)
	if err != nil {
		return nil, err
	}
	f := &Fleet{classes: map[string]policy.Class{}, Discovery: d, seeds: seed, executed: map[string]*execution{}, routes: map[string][]string{}}
	for _, c := range classes {
		f.classes[c.Name] = c
	}
	return f, nil
}

// Start starts a box and lists it.
func (f *Fleet) Start(cfg ServerConfig) (*Server, error) {
	f.mu.Lock()
	f.seeds++
	seed := f.seeds
	f.mu.Unlock()
	b, err := startBox(cfg, f, seed)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.boxes = append(f.boxes, b)
	f.mu.Unlock()
	f.Discovery.Update(entryOf(b, policy.Ready), nil)
	return b, nil
}

func entryOf(b *Server, state policy.ServerState) engine.Server {
	s := engine.Server{
		ID: policy.ServerID(b.cfg.ID), Addr: b.Addr(), State: state, Zone: b.cfg.Zone, Cell: b.cfg.Cell, Weight: 1,
	}
	if !b.born.IsZero() {
		s.StartedMs = b.born.UnixMilli()
	}
	return s
}

// Drain makes a box finish what it has and take nothing new, and tells discovery.
func (f *Fleet) Drain(b *Server) {
	b.drain()
	f.Discovery.Update(entryOf(b, policy.Draining), func() { b.told(time.Now()) })
}

// ListDraining tells discovery to list a box as draining although it still serves whatever comes: what a box gets after the grace
// then shows as late rather than being turned away.
func (f *Fleet) ListDraining(b *Server) {
	f.Discovery.Update(entryOf(b, policy.Draining), func() { b.told(time.Now()) })
}

// Kill ends a box, which discovery then lists as gone.
func (f *Fleet) Kill(b *Server) {
	b.close()
	f.Discovery.Update(entryOf(b, policy.Gone), nil)
}

// Close ends all boxes and the discovery.
func (f *Fleet) Close() {
	f.Discovery.Close()
	f.mu.Lock()
	boxes := slices.Clone(f.boxes)
	f.mu.Unlock()
	for _, b := range boxes {
		b.close()
	}
}

// Servers returns all boxes that were ever started.
func (f *Fleet) Servers() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.boxes)
}

// came notes that a request has come to a box.
func (f *Fleet) came(id, box string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, known := f.routes[id]; known || len(f.routes) < mostKept {
		f.routes[id] = append(r, box)
	}
}

// ServersReached returns the names of the boxes that a request came to, by its X-Request-ID and in order.
func (f *Fleet) ServersReached(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.routes[id])
}

// execute notes that b has executed q, unless the memory of its group still knows the key.
func (f *Fleet) execute(b *Server, q *http.Request, now time.Time) {
	name, key := keyOf(q)
	c := f.classes[name]
	f.mu.Lock()
	defer f.mu.Unlock()
	id := name + "\x00" + key
	e := f.executed[id]
	if e == nil {
		if len(f.executed) >= mostKept {
			return
		}
		e = &execution{class: name, zone: map[string]time.Time{}, cell: map[int]time.Time{}}
		f.executed[id] = e
	}
	known := e.last
	switch c.Group {
	case policy.GroupZone:
		known = e.zone[b.cfg.Zone]
	case policy.GroupCell:
		known = e.cell[b.cfg.Cell]
	}
	if c.Effect == policy.Keyed && !known.IsZero() && now.Sub(known) <= c.KeyTTL {
		f.dropped++
		return
	}
	e.times++
	e.last, e.zone[b.cfg.Zone], e.cell[b.cfg.Cell] = now, now, now
}

// Executions returns how often the effect of a key took place.
func (f *Fleet) Executions(class, key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.executed[class+"\x00"+key]; e != nil {
		return e.times
	}
	return 0
}

// Effects is what the fleet has executed.
type Effects struct {
	Keys         int // different keys of classes that are not safe to repeat
	Duplicates   int // executions of such a key beyond the first
	Deduplicated int // repeats that the boxes knew
}

// Effects returns the present counts.
func (f *Fleet) Effects() Effects {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Effects{Deduplicated: f.dropped}
	for _, e := range f.executed {
		if f.classes[e.class].Effect != policy.Safe {
			s.Keys++
			s.Duplicates += e.times - 1
		}
	}
	return s
}

// String lists the boxes by name with the requests that each has had.
func (f *Fleet) String() string {
	boxes := f.Servers()
	slices.SortFunc(boxes, func(a, b *Server) int { return cmp.Compare(a.cfg.ID, b.cfg.ID) })
	text := ""
	for _, b := range boxes {
		text += fmt.Sprintf("%s %d\n", b.cfg.ID, b.requests.Load())
	}
	return text
}

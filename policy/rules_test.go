package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ruleChecker is an Actions that plays the host. It checks each action against the rules with its
// own records, independent of those of the Balancer, and reports violations.
type ruleChecker struct {
	t        *testing.T
	cfg      Config
	now      Time
	classes  map[string]Class
	servers  map[ServerID]Server
	drained  map[ServerID]bool // reported as draining or gone
	requests map[RequestID]*openRequest
	timers   []timerEvent
	probes   []ServerID
	log      []string
	failed   bool
}

type timerEvent struct {
	at    Time
	token string
}

type openRequest struct {
	Request
	received Time
	class    Class
	attempts []openAttempt
	answers  int
	ended    bool
	stopped  bool // no further send is allowed
}

type openAttempt struct {
	server  Server
	sent    Time
	pending bool
	status  Status
}

func (c *ruleChecker) violation(format string, args ...any) {
	c.t.Helper()
	c.failed = true
	c.t.Errorf("at %v: %s", c.now, fmt.Sprintf(format, args...))
}

func (c *ruleChecker) Send(id RequestID, s ServerID, timeout time.Duration) {
	c.log = append(c.log, fmt.Sprint("send ", id, s, timeout))
	r := c.requests[id]
	srv, ok := c.servers[s]
	switch {
	case r == nil || r.ended:
		c.violation("send for the ended or unknown request %d", id)
		return
	case !ok:
		c.violation("send to the unknown server %s", s)
		return
	case r.stopped:
		c.violation("send for request %d, for which no further send is allowed", id)
	case c.drained[s]:
		c.violation("send to %s, which is draining or gone", s)
	case len(r.attempts) >= c.cfg.MaxAttempts:
		c.violation("attempt %d of %d", len(r.attempts)+1, c.cfg.MaxAttempts)
	}
	for _, a := range r.attempts {
		if a.pending && !c.cfg.MayDuplicate {
			c.violation("duplicate of request %d, which the configuration forbids", id)
		}
		proven := !a.pending && (a.status == Overloaded || a.status == ConnectFailed || a.status == NotSent)
		if proven || r.class.Effect == Safe {
			continue
		}
		switch {
		case r.class.Effect == Unsafe:
			c.violation("unsafe request %d sent again", id)
		case c.now > a.sent+r.class.KeyTTL:
			c.violation("keyed request %d sent again %v after its first send", id, c.now-a.sent)
		case r.class.Group == GroupZone && a.server.Zone != srv.Zone,
			r.class.Group == GroupCell && a.server.Cell != srv.Cell:
			c.violation("keyed request %d sent outside its group", id)
		}
	}
	for _, p := range r.PriorAttempts {
		switch {
		case r.class.Effect == Unsafe:
			c.violation("unsafe request %d sent although it may have run before", id)
		case r.class.Effect != Keyed:
		case c.now > r.received-p.Age+r.class.KeyTTL:
			c.violation("keyed request %d sent %v after the first send of an earlier request", id, c.now-r.received+p.Age)
		case r.class.Group == GroupZone && p.Zone != srv.Zone, r.class.Group == GroupCell && p.Cell != srv.Cell:
			c.violation("keyed request %d sent outside the group that recognizes it", id)
		}
	}
	r.attempts = append(r.attempts, openAttempt{server: srv, sent: c.now, pending: true})
}

func (c *ruleChecker) answer(id RequestID) *openRequest {
	r := c.requests[id]
	if r == nil {
		c.violation("answer to the unknown request %d", id)
		return nil
	}
	if r.ended {
		c.violation("second answer to request %d", id)
	}
	if c.now > r.Expires+c.cfg.AnswerGrace {
		c.violation("answer to request %d is %v late", id, c.now-r.Expires)
	}
	r.ended = true
	return r
}

func (c *ruleChecker) Refuse(id RequestID, d time.Duration) {
	c.log = append(c.log, fmt.Sprint("refuse ", id, d))
	r := c.answer(id)
	if r != nil && len(r.PriorAttempts) > 0 {
		c.violation("request %d may have run before and is refused", id)
	}
	if r == nil || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll {
		return
	}
	for _, a := range r.attempts {
		if a.pending || a.status != Overloaded && a.status != ConnectFailed && a.status != NotSent {
			c.violation("request %d may have run and is refused", id)
		}
	}
}

func (c *ruleChecker) Fail(id RequestID) {
	c.log = append(c.log, fmt.Sprint("fail ", id))
	c.answer(id)
}

func (c *ruleChecker) Cancel(id RequestID, attempt int) {
	c.log = append(c.log, fmt.Sprint("cancel ", id, attempt))
	if r := c.requests[id]; r == nil || attempt >= len(r.attempts) {
		c.violation("cancel of attempt %d of %d, which was never made", attempt, id)
	}
	if !c.cfg.MayCancel {
		c.violation("cancel although the configuration forbids it")
	}
}

func (c *ruleChecker) SetTimer(d time.Duration, token string) {
	c.log = append(c.log, fmt.Sprint("timer ", d, token))
	if d > 71*time.Minute || token == "" || len(token) > 64 {
		c.violation("timer of %v named %q", d, token)
	}
	c.timers = append(c.timers, timerEvent{c.now + max(d, c.cfg.Tick), token})
}

func (c *ruleChecker) Probe(s ServerID) {
	c.log = append(c.log, fmt.Sprint("probe ", s))
	if !c.cfg.MayProbe {
		c.violation("probe although the configuration forbids it")
	}
	if _, ok := c.servers[s]; !ok {
		c.violation("probe of the unknown server %s", s)
	}
	c.probes = append(c.probes, s)
}

func (c *ruleChecker) CloseIdle(s ServerID) {
	c.log = append(c.log, fmt.Sprint("hangup ", s))
	if _, ok := c.servers[s]; !ok {
		c.violation("close of idle connections to the unknown server %s", s)
	}
}

func (c *ruleChecker) Watch(on bool)   { c.log = append(c.log, fmt.Sprint("watch ", on)) }
func (c *ruleChecker) Log(text string) { c.log = append(c.log, "log "+text) }

// runRandomEvents runs a random legal sequence of events drawn from seed and returns the actions
// taken.
func runRandomEvents(t *testing.T, seed uint64, steps int) []string {
	rng := rand.New(rand.NewPCG(seed, 7))
	cfg := testConfig()
	cfg.GroupSize = 1 + rng.IntN(20)
	cfg.Ordinal = rng.IntN(cfg.GroupSize)
	cfg.MayProbe, cfg.MayCancel, cfg.MayDuplicate = rng.IntN(4) > 0, rng.IntN(4) > 0, rng.IntN(3) > 0
	cfg.MaxAttempts = 1 + rng.IntN(5)
	cfg.ConnectionTariff, cfg.HandshakeTariff = 0.05*float64(rng.IntN(2)), 0.05
	for i := range cfg.Classes {
		cfg.Classes[i].LateShare = 0.5 * float64(rng.IntN(2))
	}
	b, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := &ruleChecker{
		t: t, cfg: cfg, classes: map[string]Class{}, servers: map[ServerID]Server{},
		drained: map[ServerID]bool{}, requests: map[RequestID]*openRequest{},
	}
	for _, cl := range cfg.Classes {
		c.classes[cl.Name] = cl
	}
	update := func(kind ListKind, list []Server) {
		if kind == ListFailed {
			list = nil
		}
		if kind == ListFull || kind == ListCached {
			for id := range c.servers {
				c.drained[id] = true
			}
		}
		for _, s := range list {
			c.servers[s.ID], c.drained[s.ID] = s, s.State != Ready
		}
		b.UpdateServers(c.now, kind, list, c)
	}
	draw := func(n int) (list []Server) {
		for range n {
			i := rng.IntN(8)
			s := Server{ID: ServerID(fmt.Sprint("s", i)), Zone: string(rune('a' + i%2)), Cell: i / 2}
			s.State = ServerState(max(0, rng.IntN(5)-2))
			if rng.IntN(3) == 0 {
				s.Started = max(1, c.now-time.Duration(rng.IntN(9))*time.Second)
			}
			if !slices.ContainsFunc(list, func(o Server) bool { return o.ID == s.ID }) {
				list = append(list, s)
			}
		}
		return list
	}
	load := func() *Load {
		if rng.IntN(3) == 0 {
			return nil
		}
		return &Load{Queue: float64(rng.IntN(30)) - 1, Latency: 20, ErrorRate: -1}
	}
	settle := func(r *openRequest, i int, status Status) {
		a := &r.attempts[i]
		a.pending, a.status = false, status
		if status == OK {
			r.ended = true
		}
		b.Outcome(c.now, Outcome{
			ID: r.ID, Attempt: i, Server: a.server.ID, Status: status, Delay: c.now - a.sent,
			Final: r.ended, Load: load(),
		}, c)
	}
	update(ListCached, draw(rng.IntN(9)))
	var ids []RequestID
	for step := range steps {
		c.now += cfg.Tick * time.Duration(1+rng.IntN(4))
		due := slices.Clone(c.timers)
		c.timers = c.timers[:0]
		for _, e := range due {
			if e.at <= c.now {
				b.Timer(c.now, e.token, c)
			} else {
				c.timers = append(c.timers, e)
			}
		}
		for _, id := range ids { // the host's own timeout at the client's deadline
			r := c.requests[id]
			if !r.ended && c.now > r.Expires+cfg.AnswerGrace {
				c.violation("request %d got no answer in time", id)
				return c.log
			}
			for i := range r.attempts {
				if r.attempts[i].pending && c.now >= r.Expires {
					settle(r, i, Timeout)
				}
			}
		}
		switch rng.IntN(14) {
		case 0:
			update(ListKind(rng.IntN(4)), draw(rng.IntN(5)))
		case 1, 2, 3, 4:
			name := "unheard-of"
			if k := rng.IntN(len(cfg.Classes) + 1); k < len(cfg.Classes) {
				name = cfg.Classes[k].Name
			}
			cl, ok := c.classes[name]
			if !ok {
				cl = Class{Effect: Unsafe}
			}
			id := RequestID(step + 1)
			patience := time.Duration(1+rng.IntN(900)) * time.Millisecond
			q := Request{ID: id, Class: name, Expires: c.now + patience}
			if id%5 == 0 && cl.Effect == Keyed { // some were sent before for an earlier request
				q.PriorAttempts = []PriorAttempt{{Zone: cfg.Zone, Cell: int(id) % 3, Age: cl.KeyTTL * time.Duration(id%7) / 6}}
			}
			c.requests[id] = &openRequest{Request: q, class: cl, received: c.now}
			ids = append(ids, id)
			b.Request(c.now, q, c)
		case 5:
			if len(ids) > 0 {
				r := c.requests[ids[rng.IntN(len(ids))]]
				r.ended = true
				b.ClientDisconnected(c.now, r.ID, c)
			}
		case 12:
			if len(ids) > 0 {
				r := c.requests[ids[rng.IntN(len(ids))]]
				r.stopped = true
				b.StopSending(c.now, r.ID, c)
				if out := slices.ContainsFunc(r.attempts, func(a openAttempt) bool { return a.pending }); !out && !r.ended {
					c.violation("request %d has no outstanding attempt, allows no further send, and is left open", r.ID)
				}
			}
		case 13:
			if len(ids) > 0 {
				r := c.requests[ids[rng.IntN(len(ids))]]
				r.stopped = true
				b.GiveUp(c.now, r.ID, c)
				if !r.ended {
					c.violation("request %d is given up and left open", r.ID)
				}
			}
		case 6, 7:
			if len(c.probes) > 0 {
				p := c.probes[0]
				c.probes = c.probes[1:]
				b.Probed(c.now, ProbeResult{Server: p, Status: Status(rng.IntN(8)), Load: load()}, c)
			}
		default:
			if len(ids) == 0 {
				continue
			}
			r := c.requests[ids[len(ids)-1-rng.IntN(min(len(ids), 5))]]
			for i := range r.attempts {
				if r.attempts[i].pending {
					settle(r, i, Status(rng.IntN(8)))
					break
				}
			}
		}
		if c.failed {
			return c.log
		}
	}
	return c.log
}

// TestRulesOnRandomEvents guards rules 1 to 3 and the obligations of the protocol on every path.
func TestRulesOnRandomEvents(t *testing.T) {
	for seed := range uint64(300) {
		runRandomEvents(t, seed, 400)
		if t.Failed() {
			t.Fatalf("with seed %d", seed)
		}
	}
}

// TestDeterministicActions guards against decisions that depend on clocks, map order or shared
// state.
func TestDeterministicActions(t *testing.T) {
	for seed := range uint64(20) {
		if !slices.Equal(runRandomEvents(t, seed, 400), runRandomEvents(t, seed, 400)) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// FuzzRules checks the rules on random events drawn from the fuzzed seed.
func FuzzRules(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) { runRandomEvents(t, seed, 400) })
}

// TestDelayBeforeRequestEvent guards against taking a fresh request for the last try of an old
// one because a busy machine used up a part of its time before the event.
func TestDelayBeforeRequestEvent(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 4)
	b.cfg.MayProbe = false
	for i := range 5 { // the usual timeout of a try is known afterwards
		now := Time(i+1) * time.Second
		b.Request(now, Request{ID: RequestID(i), Class: "safe", Expires: now + 400*time.Millisecond, ClientTimeout: 400 * time.Millisecond}, rec)
		b.Outcome(now, Outcome{ID: RequestID(i), Server: b.requests[RequestID(i)].attempts[0].server.ID, Status: OK, Final: true}, rec)
	}
	rec.take("")
	now := 10 * time.Second
	b.Request(now, Request{ID: 9, Class: "safe", Expires: now + 300*time.Millisecond, ClientTimeout: 400 * time.Millisecond}, rec)
	if r := b.requests[9]; r == nil || r.startedAt != now || len(rec.take("send")) != 1 {
		t.Errorf("a request with 100 ms used up is not sent as a fresh one: %+v", r)
	}
	b.Request(now, Request{ID: 10, Class: "safe", Expires: now + 300*time.Millisecond, ClientTimeout: 300 * time.Millisecond}, rec)
	if r := b.requests[10]; r != nil && r.startedAt == now {
		t.Error("a last try counts as a fresh one")
	}
}

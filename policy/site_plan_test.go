package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// stubPlan is a Plan by the book: what is meant for whom, who takes over, and whether attempts may be added.
type stubPlan struct {
	home    []string
	lost    float64
	to      string
	after   time.Duration
	added   bool
	spilled []string // from where
}

func (p *stubPlan) HomeSites(string, string) ([]string, float64) { return p.home, p.lost }

func (p *stubPlan) Spill(_ Time, _, _, from string, _ float64) (string, time.Duration) {
	p.spilled = append(p.spilled, from)
	return p.to, p.after
}

func (*stubPlan) RecordRequest(Time, string, string, bool) {}

func (*stubPlan) RecordAttempt(Time, string) {}

func (p *stubPlan) HasSpareCapacity(Time, string, float64) bool { return p.added }

// planned sends n requests of a class, each of which is served at once by the server that gets it, and returns how many went to
// servers of each zone, and how many were refused.
func planned(t *testing.T, p *stubPlan, shares map[string]float64, class string, n int) (zones map[string]int, refused int) {
	t.Helper()
	cfg := testConfig()
	cfg.MayProbe = false
	b, rec := start(t, cfg, 12)
	b.SetSitePlan(p)
	b.SetSiteShares(shares)
	now := time.Minute
	zones = map[string]int{}
	for i := range n {
		now += 5 * time.Millisecond
		id := RequestID(i + 1)
		b.Request(now, Request{ID: id, Class: class, Key: fmt.Sprint(i), Expires: now + time.Second}, rec)
		for _, l := range rec.take("") {
			switch f := strings.Fields(l); f[0] {
			case "send":
				s := b.servers[ServerID(f[2])]
				zones[s.Zone]++
				b.Outcome(now, Outcome{ID: id, Server: s.ID, Status: OK, Delay: time.Millisecond, Final: true}, rec)
			case "refuse":
				refused++
			}
		}
	}
	return zones, refused
}

// TestPlan: requests go to the sites that they are meant for, those that a site may not take to the one that the plan names, and
// are refused where it names none.
func TestPlan(t *testing.T) {
	const n = 4000
	if zones, refused := planned(t, &stubPlan{}, nil, "safe", n); zones["a"] < n/3 || zones["b"] < n/3 || refused > 0 {
		t.Errorf("without shares: %v, %d refused", zones, refused)
	}
	if zones, refused := planned(t, &stubPlan{home: []string{"b"}}, nil, "safe", n); zones["b"] != n || refused > 0 {
		t.Errorf("meant for b: %v, %d refused", zones, refused)
	}
	p := &stubPlan{to: "b"}
	zones, refused := planned(t, p, map[string]float64{"a": 0.1, "b": 1}, "keyed", n)
	if meant := len(p.spilled) + zones["a"]; zones["a"] < meant*7/100 || zones["a"] > meant*13/100 || refused > 0 || zones["a"]+zones["b"] != n {
		t.Errorf("a takes a tenth: %v of %d, %d refused", zones, meant, refused)
	}
	p = &stubPlan{to: "b"}
	if dear, _ := planned(t, p, map[string]float64{"a": 0.1, "b": 1}, "safe", n); dear["a"] > zones["a"]/2 || dear["a"] == 0 {
		t.Errorf("of what is worth most %v go to a site that may take a tenth, of the rest %v", dear, zones)
	}
	p = &stubPlan{after: 300 * time.Millisecond}
	if zones, refused = planned(t, p, map[string]float64{"a": 0.01}, "safe", n); refused != len(p.spilled) || refused < n/4 || zones["b"] < n/4 {
		t.Errorf("nobody takes over: %v, %d refused of %d", zones, refused, len(p.spilled))
	}
	p = &stubPlan{lost: 0.25, to: "b"}
	if planned(t, p, nil, "safe", n); len(p.spilled) < n/5 || len(p.spilled) > n*3/10 || p.spilled[0] != "" {
		t.Errorf("%d of %d are meant for sites that are lost", len(p.spilled), n)
	}
	if zones, refused = planned(t, &stubPlan{home: []string{"gone"}, to: "a"}, nil, "safe", n); zones["a"] != n || refused > 0 {
		t.Errorf("meant for a site without servers: %v, %d refused", zones, refused)
	}
}

// TestPlanTells: a refusal for want of room at other sites says when there may be some.
func TestPlanTells(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsHonorRetryAfter, cfg.MaxRetryAfter = true, time.Second
	b, _ := start(t, cfg, 4)
	b.SetSitePlan(&stubPlan{lost: 1, after: 700 * time.Millisecond})
	var told refusals
	b.Request(time.Minute, Request{ID: 1, Class: "safe", Expires: time.Minute + time.Second}, &told)
	if len(told.after) != 1 || told.after[0] != 700*time.Millisecond {
		t.Errorf("told %v", told.after)
	}
}

// refusals is an Actions that keeps what refusals say.
type refusals struct {
	recorder
	after []time.Duration
}

func (r *refusals) Refuse(_ RequestID, d time.Duration) { r.after = append(r.after, d) }

// TestPlanAndAttempts: a further attempt stays at the first one's site unless another may have it, and whatever the plan says
// the rules of a class hold: what may repeat in one zone only is never repeated in another.
func TestPlanAndAttempts(t *testing.T) {
	try := func(class string, p *stubPlan, home []string) (zones []string) {
		cfg := testConfig()
		cfg.MayProbe = false
		b, rec := start(t, cfg, 4)
		p.home = home
		b.SetSitePlan(p)
		now := time.Minute
		b.Request(now, Request{ID: 1, Class: class, Key: "k", Expires: now + time.Second}, rec)
		for attempt := 0; ; attempt++ {
			sent := rec.take("send")
			if len(sent) == 0 {
				return zones
			}
			s := b.servers[ServerID(strings.Fields(sent[0])[2])]
			zones = append(zones, s.Zone)
			b.Outcome(now, Outcome{ID: 1, Attempt: attempt, Server: s.ID, Status: AppError}, rec)
		}
	}
	crossed := func(zones []string) bool {
		return strings.Contains(strings.Join(zones, ""), "ab") || strings.Contains(strings.Join(zones, ""), "ba")
	}
	for range 20 {
		if z := try("safe", &stubPlan{}, nil); crossed(z) || len(z) != 2 {
			t.Fatalf("attempts at %v though none may be added", z)
		}
	}
	if z := try("safe", &stubPlan{to: "b", added: true}, []string{"a"}); strings.Join(z, "") != "abb" {
		t.Errorf("attempts at %v, want the site's, and then those of the one that has room", z)
	}
	for range 20 {
		if z := try("zonal", &stubPlan{to: "b", added: true}, []string{"a"}); crossed(z) {
			t.Fatalf("one that repeats in a zone only has attempts at %v", z)
		}
		if z := try("unsafe", &stubPlan{to: "b", added: true}, nil); len(z) != 1 {
			t.Fatalf("one that may not repeat has attempts at %v", z)
		}
	}
}

// TestPlanAndDrains: a site all of whose servers drain gets nothing, whatever is meant for it.
func TestPlanAndDrains(t *testing.T) {
	b, rec := start(t, testConfig(), 4)
	b.SetSitePlan(&stubPlan{home: []string{"a"}, to: "a"})
	b.SetSiteShares(map[string]float64{"b": 0.5})
	var drained []Server
	for _, s := range b.ready {
		if s.Zone == "a" {
			e := s.Server
			e.State = Draining
			drained = append(drained, e)
		}
	}
	b.UpdateServers(0, ListDelta, drained, rec)
	rec.take("")
	for i := range 200 {
		b.Request(time.Minute, Request{ID: RequestID(i + 1), Class: "safe", Expires: time.Minute + time.Second}, rec)
	}
	if got := rec.take("send"); len(got) > 0 {
		t.Errorf("%v", got)
	}
}

// TestPlanWaitsForNothing: a request that its probes speak for, at a site all of whose servers are cold and take a part of what
// comes only, is sent or turned away at once: it does not wait until its time is up.
func TestPlanWaitsForNothing(t *testing.T) {
	b, rec := start(t, testConfig(), 4)
	now := time.Minute
	var cold []Server
	for _, s := range b.ready {
		e := s.Server
		e.Started = now
		cold = append(cold, e)
	}
	b.UpdateServers(now, ListDelta, cold, rec)
	b.SetSitePlan(&stubPlan{home: []string{"a"}, after: time.Second})
	sent, refused := 0, 0
	for i := range 200 {
		b.probeCredit = probesPerRound
		id := RequestID(i + 1)
		b.Request(now, Request{ID: id, Class: "safe", Expires: now + time.Second}, rec)
		if r := b.requests[id]; r != nil && r.heldUntil > 0 {
			for _, s := range r.probed {
				b.Probed(now, ProbeResult{Server: s.ID, Load: &Load{Queue: 0, Inflight: -1}}, rec)
			}
		}
		if r := b.requests[id]; r != nil && !r.ended && len(r.attempts) == 0 && r.heldUntil == 0 {
			t.Fatalf("request %d waits for nothing", id)
		}
		for _, l := range rec.take("") {
			switch {
			case strings.HasPrefix(l, "send"):
				sent++
			case strings.HasPrefix(l, "refuse"):
				refused++
			}
		}
	}
	if sent+refused != 200 {
		t.Errorf("%d sent and %d refused of 200", sent, refused)
	}
}

package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// stubPlan is a SitePlan with fixed answers.
type stubPlan struct {
	home    []string
	lost    float64
	to      string
	after   time.Duration
	added   bool
	spilled []string // the sites that Spill was called for
}

func (p *stubPlan) HomeSites(string, string) ([]string, float64) { return p.home, p.lost }

func (p *stubPlan) Spill(_ Time, _, _, from string, _ float64) (string, time.Duration) {
	p.spilled = append(p.spilled, from)
	return p.to, p.after
}

func (*stubPlan) RecordRequest(Time, string, string, bool) {}

func (*stubPlan) RecordAttempt(Time, string) {}

func (p *stubPlan) HasSpareCapacity(Time, string, float64) bool { return p.added }

// runWithPlan sends n requests of a class, each answered at once by its server. It returns the
// number of requests per zone and the number refused.
func runWithPlan(t *testing.T, p *stubPlan, shares map[string]float64, class string, n int) (zones map[string]int, refused int) {
	t.Helper()
	cfg := testConfig()
	cfg.MayProbe = false
	b, rec := newTestBalancer(t, cfg, 12)
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

// TestSitePlan checks that requests go to their home sites, that requests a site may not take go
// to the site named by the plan, and that they are refused if it names none.
func TestSitePlan(t *testing.T) {
	const n = 4000
	if zones, refused := runWithPlan(t, &stubPlan{}, nil, "safe", n); zones["a"] < n/3 || zones["b"] < n/3 || refused > 0 {
		t.Errorf("without shares: %v, %d refused", zones, refused)
	}
	if zones, refused := runWithPlan(t, &stubPlan{home: []string{"b"}}, nil, "safe", n); zones["b"] != n || refused > 0 {
		t.Errorf("home b: %v, %d refused", zones, refused)
	}
	p := &stubPlan{to: "b"}
	zones, refused := runWithPlan(t, p, map[string]float64{"a": 0.1, "b": 1}, "keyed", n)
	if assigned := len(p.spilled) + zones["a"]; zones["a"] < assigned*7/100 || zones["a"] > assigned*13/100 || refused > 0 || zones["a"]+zones["b"] != n {
		t.Errorf("a takes a tenth: %v of %d, %d refused", zones, assigned, refused)
	}
	p = &stubPlan{to: "b"}
	if valuable, _ := runWithPlan(t, p, map[string]float64{"a": 0.1, "b": 1}, "safe", n); valuable["a"] > zones["a"]/2 || valuable["a"] == 0 {
		t.Errorf("requests worth most at a site that may take a tenth: %v, others: %v", valuable, zones)
	}
	p = &stubPlan{after: 300 * time.Millisecond}
	if zones, refused = runWithPlan(t, p, map[string]float64{"a": 0.01}, "safe", n); refused != len(p.spilled) || refused < n/4 || zones["b"] < n/4 {
		t.Errorf("no site takes over: %v, %d refused of %d", zones, refused, len(p.spilled))
	}
	p = &stubPlan{lost: 0.25, to: "b"}
	if runWithPlan(t, p, nil, "safe", n); len(p.spilled) < n/5 || len(p.spilled) > n*3/10 || p.spilled[0] != "" {
		t.Errorf("%d of %d are assigned to missing sites", len(p.spilled), n)
	}
	if zones, refused = runWithPlan(t, &stubPlan{home: []string{"gone"}, to: "a"}, nil, "safe", n); zones["a"] != n || refused > 0 {
		t.Errorf("home site without servers: %v, %d refused", zones, refused)
	}
}

// TestSpillRetryAfter checks that a refusal because other sites are full says when there may be
// room.
func TestSpillRetryAfter(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsHonorRetryAfter, cfg.MaxRetryAfter = true, time.Second
	b, _ := newTestBalancer(t, cfg, 4)
	b.SetSitePlan(&stubPlan{lost: 1, after: 700 * time.Millisecond})
	var rec refusalRecorder
	b.Request(time.Minute, Request{ID: 1, Class: "safe", Expires: time.Minute + time.Second}, &rec)
	if len(rec.after) != 1 || rec.after[0] != 700*time.Millisecond {
		t.Errorf("delays %v", rec.after)
	}
}

// refusalRecorder is an Actions that also records the delays given with refusals.
type refusalRecorder struct {
	recorder
	after []time.Duration
}

func (r *refusalRecorder) Refuse(_ RequestID, d time.Duration) { r.after = append(r.after, d) }

// TestSitePlanAndAttempts checks that a further attempt stays at the site of the first unless
// another site takes it over, and that the rules of a class hold whatever the plan says: requests
// that may repeat in one zone only are never repeated in another.
func TestSitePlanAndAttempts(t *testing.T) {
	try := func(class string, p *stubPlan, home []string) (zones []string) {
		cfg := testConfig()
		cfg.MayProbe = false
		b, rec := newTestBalancer(t, cfg, 4)
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
			t.Fatalf("attempts at %v although no site takes over", z)
		}
	}
	if z := try("safe", &stubPlan{to: "b", added: true}, []string{"a"}); strings.Join(z, "") != "abb" {
		t.Errorf("attempts at %v, want the home site first, then the site with room", z)
	}
	for range 20 {
		if z := try("zonal", &stubPlan{to: "b", added: true}, []string{"a"}); crossed(z) {
			t.Fatalf("a request that may repeat in its zone only has attempts at %v", z)
		}
		if z := try("unsafe", &stubPlan{to: "b", added: true}, nil); len(z) != 1 {
			t.Fatalf("a request that may not repeat has attempts at %v", z)
		}
	}
}

// TestSitePlanAndDrains checks that a site whose servers all drain gets no requests, whatever is
// assigned to it.
func TestSitePlanAndDrains(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 4)
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

// TestSitePlanNeverWaitsInVain checks that a request with a good probe reply, at a site whose
// servers are all cold and take only a part of the requests, is sent or refused at once instead
// of waiting until its time is up.
func TestSitePlanNeverWaitsInVain(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 4)
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
			t.Fatalf("request %d waits in vain", id)
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

package sites

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// TestLowTraffic: an instance that sends a request every ten seconds, to a few of a site's many
// servers, still detects within a few requests that a site is down, sends it some trials, and
// recognizes its recovery.
func TestLowTraffic(t *testing.T) {
	m, err := New(Config{Ordinal: 3, GroupSize: 1500}, nil)
	if err != nil {
		t.Fatal(err)
	}
	now := Time(time.Hour)
	m.UpdateServers(now, testServers(20, "a", "b"))
	rng := rand.New(rand.NewPCG(5, 6))
	down, trials, failures := false, 0, 0
	run := func(d time.Duration) {
		for until := now + d; now < until; now += 10 * time.Second {
			m.RecordRequest(now, "", "", false)
			site := []string{"a", "b"}[rng.IntN(2)]
			if rng.Float64() >= m.Share(now, site) {
				continue
			}
			ok := site == "b" || !down
			if down && site == "a" {
				trials++
			}
			if !ok {
				failures++
			}
			m.RecordOutcome(now, fmt.Sprint(site, "-", rng.IntN(5)), ok)
			m.Tick(now)
		}
	}
	run(10 * time.Minute)
	if m.Share(now, "a") < 1 || m.Share(now, "b") < 1 {
		t.Fatalf("shares below 1 without failures: %v", m.Snapshot(now))
	}
	down = true
	run(5 * time.Minute)
	if m.Snapshot(now)[0].State != Down || failures > 14 {
		t.Errorf("after %d failures the site is %v", failures, m.Snapshot(now)[0])
	}
	trials = 0
	run(time.Hour)
	if trials < 5 || trials > 60 {
		t.Errorf("%d of about 180 requests are trials, want 5 to 60", trials)
	}
	down = false
	run(2 * time.Hour)
	if s := m.Snapshot(now)[0]; s.State != Healthy {
		t.Errorf("two hours after it works again the site is %v", s)
	}
}

// TestSingleFaultyServer: the failures of a single server don't make its site count as down,
// however long the streak is.
func TestSingleFaultyServer(t *testing.T) {
	m, _ := New(Config{}, nil)
	now := Time(time.Hour)
	m.UpdateServers(now, testServers(20, "a", "b"))
	for range 100 {
		now += 5 * time.Second
		m.RecordRequest(now, "", "", false)
		m.RecordOutcome(now, "a-1", false)
		m.RecordOutcome(now, "b-1", true)
		m.Tick(now)
	}
	if s := m.Snapshot(now)[0]; s.State != Healthy {
		t.Errorf("one faulty server makes the site %v", s)
	}
}

// TestUnlistedSite: the load of a site that is no longer listed spills to the others within
// Spill only, and becomes their normal load over time. A site that loses some of its servers
// keeps its load.
func TestUnlistedSite(t *testing.T) {
	w := newSimulation(t, Config{Fade: time.Minute, Spill: 0.2})
	w.run(time.Minute)
	w.UpdateServers(w.now, append(testServers(1, "a"), testServers(4, "b")...))
	if _, lost := w.HomeSites("", ""); lost != 0 {
		t.Errorf("with one server left, %.2f of the load is lost", lost)
	}
	w.UpdateServers(w.now, testServers(4, "a", "b"))
	for left := 3; left >= 0; left-- { // discovery removes the servers one by one
		w.UpdateServers(w.now, append(testServers(left, "a"), testServers(4, "b")...))
	}
	if sites, lost := w.HomeSites("", ""); sites != nil || lost < 0.49 || lost > 0.51 {
		t.Fatalf("home sites %v, %.2f of the load lost, want none and 0.5", sites, lost)
	}
	spilled := 0
	for i := range 2000 { // 20 s at 100 per second; half is b's, of which 0.2 may be added
		if i == 1000 {
			spilled = 0 // the burst is used up
		}
		if to, after := w.Spill(w.now, "", "", "", 1); to == "b" {
			w.RecordAttempt(w.now, to)
			spilled++
		} else if after <= 0 || after > time.Second {
			t.Fatalf("refused with a delay of %v", after)
		}
		w.RecordRequest(w.now, "", "", false)
		if w.now += 10 * ms; w.now/(10*ms)%2 == 0 {
			w.RecordAttempt(w.now, "b") // its own load
		}
	}
	if spilled < 90 || spilled > 120 {
		t.Errorf("%d requests spill in 10 s, want about 100", spilled)
	}
	w.run(time.Minute)
	if _, lost := w.HomeSites("", ""); lost < 0.25 || lost > 0.4 {
		t.Errorf("after about one half-life, %.2f of the load is lost", lost)
	}
	w.run(10 * time.Minute)
	w.UpdateServers(w.now, testServers(4, "b"))
	if _, lost := w.HomeSites("", ""); lost != 0 || len(w.sites) != 1 {
		t.Errorf("at the end, %.2f of the load is lost and %d sites are kept", lost, len(w.sites))
	}
}

// TestTiers: the home sites of a rule's requests are its first tier with servers. The requests
// spill in the order of the tiers, within the limit of each, and never to a site that the rule
// doesn't name.
func TestTiers(t *testing.T) {
	w := newSimulation(t, Config{Spill: 10, Rules: []Rule{
		{Classes: []string{"order"}, Tiers: []Tier{{Sites: []string{"a"}}, {Sites: []string{"b"}, Most: 0.1}, {Sites: []string{"c"}}}},
		{Tenants: []string{"north*"}, Tiers: []Tier{{Sites: []string{"b"}}}},
		{Tiers: []Tier{{Sites: []string{"gone", "c"}}, {Sites: []string{"a"}}}},
	}})
	w.UpdateServers(w.now, testServers(4, "a", "b", "c"))
	for _, tt := range []struct{ class, tenant, home string }{
		{"order", "north-1", "[a]"}, {"check", "north-1", "[b]"}, {"check", "south", "[gone c]"},
	} {
		if sites, lost := w.HomeSites(tt.class, tt.tenant); fmt.Sprint(sites) != tt.home || lost != 0 {
			t.Errorf("class %s, tenant %s: home sites %v, %.2f lost", tt.class, tt.tenant, sites, lost)
		}
	}
	to := map[string]int{}
	for range 10_000 { // 100 s at 100 per second, all of which must spill
		w.RecordRequest(w.now, "order", "", false)
		w.RecordRequest(w.now, "check", "x", false) // raises the normal load, so that only the tiers limit the spill
		site, _ := w.Spill(w.now, "order", "", "a", 1)
		w.RecordAttempt(w.now, site)
		to[site]++
		w.now += 10 * ms
	}
	if to["a"] > 0 || to["b"] < 900 || to["b"] > 1150 || to["c"] < 8700 {
		t.Errorf("10,000 requests with home a, of which b may receive a tenth, go to %v", to)
	}
	if site, after := w.Spill(w.now, "check", "north-1", "b", 1); site != "" || after <= 0 {
		t.Errorf("requests for b alone spill to %q", site)
	}
	w.UpdateServers(w.now, testServers(4, "a", "b")) // c is unlisted: its load is lost until it has decayed
	if _, lost := w.HomeSites("check", "south"); lost != 1 {
		t.Errorf("%.2f of the load of c is lost, want 1", lost)
	}
	w.run(20 * time.Minute)
	w.UpdateServers(w.now, testServers(4, "a", "b"))
	if sites, lost := w.HomeSites("check", "south"); fmt.Sprint(sites) != "[a]" || lost != 0 {
		t.Errorf("after the decay: home sites %v, %.2f lost", sites, lost)
	}
}

// TestHasSpareCapacity: further attempts at other sites count against the same limit as spill, and
// never go to a site that is down.
func TestHasSpareCapacity(t *testing.T) {
	w := newSimulation(t, Config{Spill: 0.1})
	w.run(time.Minute)
	n := 0
	for i := range 2000 {
		if i == 1000 {
			n = 0 // the burst is used up
		}
		w.RecordRequest(w.now, "", "", false)
		if w.now/(10*ms)%2 == 0 {
			w.RecordAttempt(w.now, "b") // its own load
		}
		if w.HasSpareCapacity(w.now, "b", 1) {
			w.RecordAttempt(w.now, "b")
			n++
		}
		w.now += 10 * ms
	}
	if n < 45 || n > 60 { // 0.1 of 50 per second for 10 s
		t.Errorf("%d attempts are added, want about 50", n)
	}
	w.successRate["b"] = constant(0)
	w.run(10 * time.Second)
	if w.HasSpareCapacity(w.now, "b", 1) || w.HasSpareCapacity(w.now, "nowhere", 1) {
		t.Error("spare capacity at a site that is down or unknown")
	}
}

// TestRestore: a Monitor continues from the state of its predecessor, and ignores invalid values.
func TestRestore(t *testing.T) {
	w := newSimulation(t, Config{})
	w.run(30 * time.Second)
	w.successRate["a"] = constant(0)
	w.run(20 * time.Second)
	v := newSimulation(t, Config{})
	v.now = w.now + time.Hour // its clock has another origin
	v.UpdateServers(v.now, testServers(4, "a", "b"))
	v.Restore(v.now, w.Learned(w.now))
	if v.state("a") != Down || v.Share(v.now, "a") > 1.1*w.Share(w.now, "a") || v.state("b") != Healthy {
		t.Errorf("restored %v from %v", v.Snapshot(v.now), w.Snapshot(w.now))
	}
	if a, b := v.Snapshot(v.now)[0].NormalRate, w.Snapshot(w.now)[0].NormalRate; a < b*0.9 || a > b*1.1 {
		t.Errorf("normal rate %.1f, was %.1f", a, b)
	}
	for _, bad := range []LearnedSite{
		{Site: "nowhere", State: Down, RecoveryTime: time.Minute}, {Site: "b", State: 9, RecoveryTime: time.Minute}, {Site: "b", State: -1, RecoveryTime: time.Minute},
		{Site: "b", State: Down, RecoveryTime: 1}, {Site: "b", State: Down, RecoveryTime: 1 << 60}, {Site: "b", State: Recovering, RecoveryTime: time.Minute, InitialShare: 7},
		{Site: "b", State: Down, RecoveryTime: time.Minute, Relapses: -1}, {Site: "b", State: Down, RecoveryTime: time.Minute, StateAge: -1},
	} {
		v.Restore(v.now, Learned{RequestRate: -5, Sites: []LearnedSite{bad}})
		if v.state("b") != Healthy || len(v.sites) != 2 {
			t.Errorf("%+v was restored", bad)
		}
	}
}

// TestReconfigure: a new configuration keeps the state of sites, and an invalid one changes
// nothing.
func TestReconfigure(t *testing.T) {
	w := newSimulation(t, Config{})
	w.run(30 * time.Second)
	w.successRate["a"] = constant(0)
	w.run(10 * time.Second)
	if err := w.Reconfigure(Config{Spill: 0.2, Prefer: []string{"b"}}); err != nil {
		t.Fatal(err)
	}
	if w.state("a") != Down || w.Snapshot(w.now)[0].Site != "b" || w.cfg.Spill != 0.2 {
		t.Errorf("after Reconfigure: %v", w.Snapshot(w.now))
	}
	if err := w.Reconfigure(Config{Spill: -1}); err == nil || w.cfg.Spill != 0.2 {
		t.Errorf("spill %v: %v", w.cfg.Spill, err)
	}
}

// TestRuleErrors: the error for an invalid rule, or one that is never reached, names it.
func TestRuleErrors(t *testing.T) {
	a, b := []Tier{{Sites: []string{"a"}}}, []string{"b"}
	for want, rules := range map[string][]Rule{
		"rules[0].tiers:":             {{}},
		"rules[0].classes[1]:":        {{Classes: []string{"b", "b"}, Tiers: a}},
		"rules[0].tenants[0]:":        {{Tenants: []string{"x*y"}, Tiers: a}},
		"rules[0].tiers[0].sites:":    {{Tiers: []Tier{{}}}},
		"rules[0].tiers[0].most:":     {{Tiers: []Tier{{Sites: b, Most: 0.5}}}},
		"rules[0].tiers[1].most:":     {{Tiers: []Tier{{Sites: b}, {Sites: []string{"a"}, Most: 2}}}},
		"rules[0].tiers[1].sites:":    {{Tiers: []Tier{{Sites: b}, {Sites: b}}}},
		"rules[1]: it is never":       {{Tiers: a}, {Classes: b, Tiers: a}},
		"rules[2]: it is never":       {{Classes: b, Tiers: a}, {Tenants: []string{"n*"}, Tiers: a}, {Classes: b, Tenants: []string{"no*", "nx"}, Tiers: a}},
		"rules: 65 of them, at most ": make([]Rule, 65),
	} {
		if err := (Config{Rules: rules}).Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("error %v, want prefix %q", err, want)
		}
	}
	if err := (Config{Rules: []Rule{{Classes: b, Tiers: a}, {Tenants: b, Tiers: a}, {Tiers: a}}}).Check(); err != nil {
		t.Error(err)
	}
}

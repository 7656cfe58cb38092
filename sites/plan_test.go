package sites

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// TestTrickle: an instance that sends a request each ten seconds, and meets few of a site's many servers, notices a site that is
// dark within some requests, tries it now and then, and finds the way back.
func TestTrickle(t *testing.T) {
	m, err := New(Config{Ordinal: 3, GroupSize: 1500}, nil)
	if err != nil {
		t.Fatal(err)
	}
	now := Time(time.Hour)
	m.UpdateServers(now, list(20, "a", "b"))
	rng := rand.New(rand.NewPCG(5, 6))
	dark, tried, failed := false, 0, 0
	run := func(d time.Duration) {
		for until := now + d; now < until; now += 10 * time.Second {
			m.RecordRequest(now, "", "", false)
			site := []string{"a", "b"}[rng.IntN(2)]
			if rng.Float64() >= m.Share(now, site) {
				continue
			}
			ok := site == "b" || !dark
			if dark && site == "a" {
				tried++
			}
			if !ok {
				failed++
			}
			m.RecordOutcome(now, fmt.Sprint(site, "-", rng.IntN(5)), ok)
			m.Tick(now)
		}
	}
	run(10 * time.Minute)
	if m.Share(now, "a") < 1 || m.Share(now, "b") < 1 {
		t.Fatalf("a calm time: %v", m.Snapshot(now))
	}
	dark = true
	run(5 * time.Minute)
	if m.Snapshot(now)[0].State != Down || failed > 14 {
		t.Errorf("after %d failures it is %v", failed, m.Snapshot(now)[0])
	}
	tried = 0
	run(time.Hour)
	if tried < 5 || tried > 60 {
		t.Errorf("%d of about 180 requests are trials", tried)
	}
	dark = false
	run(2 * time.Hour)
	if s := m.Snapshot(now)[0]; s.State != Healthy {
		t.Errorf("two hours after its return it is %v", s)
	}
}

// TestIllServer: one server that fails, however often in a row, is no dark site.
func TestIllServer(t *testing.T) {
	m, _ := New(Config{}, nil)
	now := Time(time.Hour)
	m.UpdateServers(now, list(20, "a", "b"))
	for range 100 {
		now += 5 * time.Second
		m.RecordRequest(now, "", "", false)
		m.RecordOutcome(now, "a-1", false)
		m.RecordOutcome(now, "b-1", true)
		m.Tick(now)
	}
	if s := m.Snapshot(now)[0]; s.State != Healthy {
		t.Errorf("%v", s)
	}
}

// TestLost: the traffic of a site that the list has lost is added to the others within the bound only, and becomes theirs as
// time goes; a site some of whose servers are gone keeps all of it.
func TestLost(t *testing.T) {
	w := newWorld(t, Config{LostSiteHalfLife: time.Minute, MaxSpill: 0.2})
	w.run(time.Minute)
	w.UpdateServers(w.now, append(list(1, "a"), list(4, "b")...))
	if _, lost := w.HomeSites("", ""); lost != 0 {
		t.Errorf("with a server left %.2f is lost", lost)
	}
	w.UpdateServers(w.now, list(4, "a", "b"))
	for left := 3; left >= 0; left-- { // the list drops them one by one
		w.UpdateServers(w.now, append(list(left, "a"), list(4, "b")...))
	}
	if sites, lost := w.HomeSites("", ""); sites != nil || lost < 0.49 || lost > 0.51 {
		t.Fatalf("%v, %.2f is lost", sites, lost)
	}
	spilled := 0
	for i := range 2000 { // 20 s at 100 a second, of which half was the lost site's: 0.2 of the other half may be added
		if i == 1000 {
			spilled = 0 // what may come at once is used up
		}
		if to, after := w.Spill(w.now, "", "", "", 1); to == "b" {
			w.RecordAttempt(w.now, to)
			spilled++
		} else if after <= 0 || after > time.Second {
			t.Fatalf("refused for %v", after)
		}
		w.RecordRequest(w.now, "", "", false)
		if w.now += 10 * ms; w.now/(10*ms)%2 == 0 {
			w.RecordAttempt(w.now, "b") // its own
		}
	}
	if spilled < 90 || spilled > 120 {
		t.Errorf("%d spill in 10 s, 100 may", spilled)
	}
	w.run(time.Minute)
	if _, lost := w.HomeSites("", ""); lost < 0.25 || lost > 0.4 {
		t.Errorf("after about a half-life %.2f is lost", lost)
	}
	w.run(10 * time.Minute)
	w.UpdateServers(w.now, list(4, "b"))
	if _, lost := w.HomeSites("", ""); lost != 0 || len(w.sites) != 1 {
		t.Errorf("at the end %.2f is lost, and %d sites are kept", lost, len(w.sites))
	}
}

// TestTiers: a rule's requests are meant for its first tier that has servers, go over in the order of its tiers and within
// what each may take, and never to a site that it does not name.
func TestTiers(t *testing.T) {
	w := newWorld(t, Config{MaxSpill: 10, Rules: []Rule{
		{Classes: []string{"order"}, Tiers: []Tier{{Sites: []string{"a"}}, {Sites: []string{"b"}, MaxShare: 0.1}, {Sites: []string{"c"}}}},
		{Tenants: []string{"north*"}, Tiers: []Tier{{Sites: []string{"b"}}}},
		{Tiers: []Tier{{Sites: []string{"gone", "c"}}, {Sites: []string{"a"}}}},
	}})
	w.UpdateServers(w.now, list(4, "a", "b", "c"))
	for _, tt := range []struct{ class, tenant, home string }{
		{"order", "north-1", "[a]"}, {"check", "north-1", "[b]"}, {"check", "south", "[gone c]"},
	} {
		if sites, lost := w.HomeSites(tt.class, tt.tenant); fmt.Sprint(sites) != tt.home || lost != 0 {
			t.Errorf("%s of %s: %v, %.2f lost", tt.class, tt.tenant, sites, lost)
		}
	}
	to := map[string]int{}
	for range 10_000 { // 100 s at 100 a second, all displaced
		w.RecordRequest(w.now, "order", "", false)
		w.RecordRequest(w.now, "check", "x", false) // so that b's and c's own load is no bound
		site, _ := w.Spill(w.now, "order", "", "a", 1)
		w.RecordAttempt(w.now, site)
		to[site]++
		w.now += 10 * ms
	}
	if to["a"] > 0 || to["b"] < 900 || to["b"] > 1150 || to["c"] < 8700 {
		t.Errorf("of 10,000 that are meant for a, of which b may have a tenth: %v", to)
	}
	if site, after := w.Spill(w.now, "check", "north-1", "b", 1); site != "" || after <= 0 {
		t.Errorf("what is for b alone goes to %q", site)
	}
	w.UpdateServers(w.now, list(4, "a", "b")) // the list loses c: what is meant for it is lost until that has faded
	if _, lost := w.HomeSites("check", "south"); lost != 1 {
		t.Errorf("%.2f of what is meant for c is lost", lost)
	}
	w.run(20 * time.Minute)
	w.UpdateServers(w.now, list(4, "a", "b"))
	if sites, lost := w.HomeSites("check", "south"); fmt.Sprint(sites) != "[a]" || lost != 0 {
		t.Errorf("later: %v, %.2f lost", sites, lost)
	}
}

// TestAdded: further attempts at other sites are counted against the same bound, and never go to a site that is dark.
func TestAdded(t *testing.T) {
	w := newWorld(t, Config{MaxSpill: 0.1})
	w.run(time.Minute)
	n := 0
	for i := range 2000 {
		if i == 1000 {
			n = 0 // what may come at once is used up
		}
		w.RecordRequest(w.now, "", "", false)
		if w.now/(10*ms)%2 == 0 {
			w.RecordAttempt(w.now, "b") // its own
		}
		if w.HasSpareCapacity(w.now, "b", 1) {
			w.RecordAttempt(w.now, "b")
			n++
		}
		w.now += 10 * ms
	}
	if n < 45 || n > 60 { // 0.1 of 50 a second, for 10 s
		t.Errorf("%d attempts are added, 50 may", n)
	}
	w.up["b"] = is(0)
	w.run(10 * time.Second)
	if w.HasSpareCapacity(w.now, "b", 1) || w.HasSpareCapacity(w.now, "nowhere", 1) {
		t.Error("an attempt is added to a dark site")
	}
}

// TestMemory: a Monitor that takes over goes on where another was, and is not led astray by figures that cannot be.
func TestMemory(t *testing.T) {
	w := newWorld(t, Config{})
	w.run(30 * time.Second)
	w.up["a"] = is(0)
	w.run(20 * time.Second)
	v := newWorld(t, Config{})
	v.now = w.now + time.Hour // its clock is another
	v.UpdateServers(v.now, list(4, "a", "b"))
	v.Restore(v.now, w.Learned(w.now))
	if v.state("a") != Down || v.Share(v.now, "a") > 1.1*w.Share(w.now, "a") || v.state("b") != Healthy {
		t.Errorf("%v, was %v", v.Snapshot(v.now), w.Snapshot(w.now))
	}
	if a, b := v.Snapshot(v.now)[0].NormalRate, w.Snapshot(w.now)[0].NormalRate; a < b*0.9 || a > b*1.1 {
		t.Errorf("normal is %.1f, was %.1f", a, b)
	}
	for _, bad := range []LearnedSite{
		{Site: "nowhere", State: Down, RecoveryTime: time.Minute}, {Site: "b", State: 9, RecoveryTime: time.Minute}, {Site: "b", State: -1, RecoveryTime: time.Minute},
		{Site: "b", State: Down, RecoveryTime: 1}, {Site: "b", State: Down, RecoveryTime: 1 << 60}, {Site: "b", State: Recovering, RecoveryTime: time.Minute, InitialShare: 7},
		{Site: "b", State: Down, RecoveryTime: time.Minute, Relapses: -1}, {Site: "b", State: Down, RecoveryTime: time.Minute, StateAge: -1},
	} {
		v.Restore(v.now, Learned{RequestRate: -5, Sites: []LearnedSite{bad}})
		if v.state("b") != Healthy || len(v.sites) != 2 {
			t.Errorf("%+v was believed", bad)
		}
	}
}

// TestReconfigured: other settings leave what is known, and those that cannot be used change nothing.
func TestReconfigured(t *testing.T) {
	w := newWorld(t, Config{})
	w.run(30 * time.Second)
	w.up["a"] = is(0)
	w.run(10 * time.Second)
	if err := w.Reconfigure(Config{MaxSpill: 0.2, Prefer: []string{"b"}}); err != nil {
		t.Fatal(err)
	}
	if w.state("a") != Down || w.Snapshot(w.now)[0].Site != "b" || w.cfg.MaxSpill != 0.2 {
		t.Errorf("%v", w.Snapshot(w.now))
	}
	if err := w.Reconfigure(Config{MaxSpill: -1}); err == nil || w.cfg.MaxSpill != 0.2 {
		t.Errorf("spill %v: %v", w.cfg.MaxSpill, err)
	}
}

// TestRules: a rule that cannot be used is named, and so is one that is never reached.
func TestRules(t *testing.T) {
	a, b := []Tier{{Sites: []string{"a"}}}, []string{"b"}
	for want, rules := range map[string][]Rule{
		"rules[0].tiers:":             {{}},
		"rules[0].classes[1]:":        {{Classes: []string{"b", "b"}, Tiers: a}},
		"rules[0].tenants[0]:":        {{Tenants: []string{"x*y"}, Tiers: a}},
		"rules[0].tiers[0].sites:":    {{Tiers: []Tier{{}}}},
		"rules[0].tiers[0].most:":     {{Tiers: []Tier{{Sites: b, MaxShare: 0.5}}}},
		"rules[0].tiers[1].most:":     {{Tiers: []Tier{{Sites: b}, {Sites: []string{"a"}, MaxShare: 2}}}},
		"rules[0].tiers[1].sites:":    {{Tiers: []Tier{{Sites: b}, {Sites: b}}}},
		"rules[1]: it is never":       {{Tiers: a}, {Classes: b, Tiers: a}},
		"rules[2]: it is never":       {{Classes: b, Tiers: a}, {Tenants: []string{"n*"}, Tiers: a}, {Classes: b, Tenants: []string{"no*", "nx"}, Tiers: a}},
		"rules: 65 of them, at most ": make([]Rule, 65),
	} {
		if err := (Config{Rules: rules}).Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s %v", want, err)
		}
	}
	if err := (Config{Rules: []Rule{{Classes: b, Tiers: a}, {Tenants: b, Tiers: a}, {Tiers: a}}}).Check(); err != nil {
		t.Error(err)
	}
}

package daemon

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"quillfront/internal/config"
	"quillfront/internal/engine"
	"quillfront/internal/standin"
	"quillfront/policy"
	"quillfront/sites"
)

// newSiteSidecar returns a sidecar that monitors sites as configured by cfg, with two servers at
// each of the sites a and b.
func newSiteSidecar(t *testing.T, cfg *sites.Config) *Sidecar {
	t.Helper()
	known := engine.List{Seq: 1, Full: true}
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		known.Servers = append(known.Servers, engine.Server{ID: policy.ServerID(id), Addr: "127.0.0.1:1", Zone: id[:1], Weight: 1})
	}
	c, err := config.Parse(standin.PlatformConfig{CachedList: &known, NoProbes: true, ListPushed: true, Classes: []policy.Class{
		{Name: "read", Aim: time.Second, Deadline: 2 * time.Second, Worth: 1},
	}}.JSON())
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(c, config.Operator{Sites: cfg}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	return s
}

// siteStates returns the sites of s with their states.
func siteStates(s *Sidecar) string {
	var all []string
	for _, v := range s.engine.Snapshot().Sites {
		all = append(all, v.Site+" "+v.State.String())
	}
	return strings.Join(all, ", ")
}

// TestReloadSites checks that a reload changes the monitoring of sites without losing their states,
// turns it off and on, and changes nothing if the new settings are invalid.
func TestReloadSites(t *testing.T) {
	s := newSiteSidecar(t, &sites.Config{Hold: time.Hour})
	s.engine.RestoreSites(sites.Learned{Sites: []sites.LearnedSite{{Site: "a", State: sites.Down, RecoveryTime: time.Minute, EffectiveServers: 2}}})
	if got := siteStates(s); got != "a dark, b healthy" {
		t.Fatal(got)
	}
	reload := func(c *sites.Config) error { return s.Reload(s.Config(), config.Operator{Sites: c}) }
	if err := reload(&sites.Config{Hold: time.Hour, Prefer: []string{"b"}}); err != nil || siteStates(s) != "b healthy, a dark" {
		t.Errorf("%v, %s", err, siteStates(s))
	}
	if err := reload(&sites.Config{Spill: -1}); err == nil || !strings.Contains(err.Error(), "[sites]: spill") || siteStates(s) != "b healthy, a dark" {
		t.Errorf("%v, %s", err, siteStates(s))
	}
	if err := reload(nil); err != nil || siteStates(s) != "" {
		t.Errorf("off: %v, %s", err, siteStates(s))
	}
	if err := reload(&sites.Config{}); err != nil || siteStates(s) != "a healthy, b healthy" {
		t.Errorf("on again: %v, %s", err, siteStates(s))
	}
}

// TestHandoverOfSites checks that a process starts with the site states that its predecessor saved,
// and that the saved state of a version without sites does no harm.
func TestHandoverOfSites(t *testing.T) {
	s := newSiteSidecar(t, &sites.Config{})
	s.engine.RestoreSites(sites.Learned{RequestRate: 40, Sites: []sites.LearnedSite{{Site: "a", State: sites.Down, RecoveryTime: time.Minute, EffectiveServers: 2}}})
	l, _ := s.engine.Learned()
	text, err := json.Marshal(learnedState{l, s.engine.SiteMemory()})
	if err != nil {
		t.Fatal(err)
	}
	successor := newSiteSidecar(t, &sites.Config{})
	var n learnedState
	if err := json.Unmarshal(text, &n); err != nil {
		t.Fatal(err)
	}
	successor.engine.RestoreSites(n.Sites)
	if got := siteStates(successor); got != "a dark, b healthy" {
		t.Error(got)
	}
	old, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	n = learnedState{}
	if err := json.Unmarshal(old, &n); err != nil {
		t.Fatal(err)
	}
	successor.engine.Learn(n.Policy)
	successor.engine.RestoreSites(n.Sites)
	if got := siteStates(successor); got != "a dark, b healthy" {
		t.Errorf("after loading the state of an old version: %s", got)
	}
	// Restoring has no effect without monitoring of sites.
	newSiteSidecar(t, nil).engine.RestoreSites(sites.Learned{RequestRate: 1})
	if s, err := New(s.Config(), config.Operator{Sites: &sites.Config{Spill: -1}}, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "[sites]: spill") {
		t.Errorf("invalid settings: %v, %v", s, err)
	}
}

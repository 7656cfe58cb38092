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

// siteSidecar returns a sidecar that watches sites by cfg, with two servers at each of a and b, and has seen a fail.
func siteSidecar(t *testing.T, cfg *sites.Config) *Sidecar {
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

func views(s *Sidecar) string {
	var all []string
	for _, v := range s.engine.Snapshot().Sites {
		all = append(all, v.Site+" "+v.State.String())
	}
	return strings.Join(all, ", ")
}

// TestReloadOfSites: SIGHUP takes over how sites are watched with what is known of them, turns the watch off and on, and changes
// nothing where the new settings cannot be used.
func TestReloadOfSites(t *testing.T) {
	s := siteSidecar(t, &sites.Config{Hold: time.Hour})
	s.engine.RestoreSites(sites.Learned{Sites: []sites.LearnedSite{{Site: "a", State: sites.Down, RecoveryTime: time.Minute, EffectiveServers: 2}}})
	if got := views(s); got != "a dark, b healthy" {
		t.Fatal(got)
	}
	reload := func(c *sites.Config) error { return s.Reload(s.Config(), config.Operator{Sites: c}) }
	if err := reload(&sites.Config{Hold: time.Hour, Prefer: []string{"b"}}); err != nil || views(s) != "b healthy, a dark" {
		t.Errorf("%v, %s", err, views(s))
	}
	if err := reload(&sites.Config{Spill: -1}); err == nil || !strings.Contains(err.Error(), "[sites]: spill") || views(s) != "b healthy, a dark" {
		t.Errorf("%v, %s", err, views(s))
	}
	if err := reload(nil); err != nil || views(s) != "" {
		t.Errorf("off: %v, %s", err, views(s))
	}
	if err := reload(&sites.Config{}); err != nil || views(s) != "a healthy, b healthy" {
		t.Errorf("on again: %v, %s", err, views(s))
	}
}

// TestHandoverOfSites: what one process leaves of its sites the next begins with, and a note of a version that knew of none does no
// harm.
func TestHandoverOfSites(t *testing.T) {
	s := siteSidecar(t, &sites.Config{})
	s.engine.RestoreSites(sites.Learned{RequestRate: 40, Sites: []sites.LearnedSite{{Site: "a", State: sites.Down, RecoveryTime: time.Minute, EffectiveServers: 2}}})
	l, _ := s.engine.Learned()
	text, err := json.Marshal(note{l, s.engine.SiteMemory()})
	if err != nil {
		t.Fatal(err)
	}
	next := siteSidecar(t, &sites.Config{})
	var n note
	if err := json.Unmarshal(text, &n); err != nil {
		t.Fatal(err)
	}
	next.engine.RestoreSites(n.Sites)
	if got := views(next); got != "a dark, b healthy" {
		t.Error(got)
	}
	old, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	n = note{}
	if err := json.Unmarshal(old, &n); err != nil {
		t.Fatal(err)
	}
	next.engine.Learn(n.Policy)
	next.engine.RestoreSites(n.Sites)
	if got := views(next); got != "a dark, b healthy" {
		t.Errorf("after an old note: %s", got)
	}
	siteSidecar(t, nil).engine.RestoreSites(sites.Learned{RequestRate: 1}) // where none are watched
	if s, err := New(s.Config(), config.Operator{Sites: &sites.Config{Spill: -1}}, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "[sites]: spill") {
		t.Errorf("settings that cannot be used: %v, %v", s, err)
	}
}

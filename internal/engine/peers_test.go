package engine

import (
	"slices"
	"testing"
	"time"

	"quillfront/policy"
)

// TestRegroup verifies that Regroup overrides the configured GroupSize, also after Reconfigure,
// until the override is removed.
func TestRegroup(t *testing.T) {
	e, _ := startEngine(t, "a", "b")
	group := func() (g [2]int) {
		e.event(func(policy.Time) { g = [2]int{e.config.GroupSize, e.config.Ordinal} })
		return g
	}
	cfg := e.baseConfig
	cfg.GroupSize, cfg.Ordinal = 10, 8
	if err := e.Reconfigure(cfg); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct{ to, size, ordinal int }{{20, 20, 8}, {5, 5, 4}, {1, 1, 0}, {0, 10, 8}} {
		if err := e.Regroup(step.to); err != nil || group() != [2]int{step.size, step.ordinal} {
			t.Errorf("Regroup(%d): group %v, error %v", step.to, group(), err)
		}
	}
	e.Regroup(4)
	cfg.GroupSize = 12
	if err := e.Reconfigure(cfg); err != nil || group() != [2]int{4, 2} {
		t.Errorf("after Reconfigure: group %v, error %v", group(), err)
	}
	if cfg.GroupSize = 0; e.Reconfigure(cfg) == nil || e.baseConfig.GroupSize != 12 {
		t.Error("an invalid configuration was applied")
	}
}

// TestHint verifies that a hint makes a listed server count as draining for a limited time, that
// hints apply to at most half of the servers and to none that are not listed, and that OnLeaving
// reports servers that leave the process's own list.
func TestHint(t *testing.T) {
	e, _ := startEngine(t, "a", "b", "c", "d")
	var left []policy.ServerID
	e.OnLeaving(func(id policy.ServerID) { left = append(left, id) })
	for _, id := range []policy.ServerID{"x", "a", "b", "c"} {
		e.HintDraining(id)
	}
	for id, usable := range map[policy.ServerID]bool{"x": false, "a": false, "b": false, "c": true, "d": true} {
		if e.ServerUsable(id) != usable {
			t.Errorf("server %s usable: %v", id, !usable)
		}
	}
	e.event(func(now policy.Time) { e.endAvoidance(now + hintDuration + time.Second) })
	if !e.ServerUsable("a") || !e.ServerUsable("b") {
		t.Error("the hints have not expired")
	}
	next := fullList("a", "b", "c")
	next.Servers[1].State = policy.Draining
	e.event(func(now policy.Time) {
		e.updateList(now, policy.ListFull, next)
		e.updateList(now, policy.ListFull, next)
		e.updateList(now, policy.ListDelta, List{Seq: 2, Servers: []Server{{ID: "a", Addr: "a:1", State: policy.Gone}}})
	})
	if !slices.Equal(left, []policy.ServerID{"b", "d", "a"}) {
		t.Errorf("servers reported as leaving: %v", left)
	}
}

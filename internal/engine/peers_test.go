package engine

import (
	"slices"
	"testing"
	"time"

	"quillfront/policy"
)

// TestRegroup: the number of instances takes the place of the configured one, also after a new configuration, until it counts again.
func TestRegroup(t *testing.T) {
	e, _ := start(t, "a", "b")
	group := func() (g [2]int) {
		e.event(func(policy.Time) { g = [2]int{e.config.GroupSize, e.config.Ordinal} })
		return g
	}
	cfg := e.given
	cfg.GroupSize, cfg.Ordinal = 10, 8
	if err := e.Reconfigure(cfg); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct{ to, size, ordinal int }{{20, 20, 8}, {5, 5, 4}, {1, 1, 0}, {0, 10, 8}} {
		if err := e.Regroup(step.to); err != nil || group() != [2]int{step.size, step.ordinal} {
			t.Errorf("%d: %v, %v", step.to, group(), err)
		}
	}
	e.Regroup(4)
	cfg.GroupSize = 12
	if err := e.Reconfigure(cfg); err != nil || group() != [2]int{4, 2} {
		t.Errorf("a new configuration: %v, %v", group(), err)
	}
	if cfg.GroupSize = 0; e.Reconfigure(cfg) == nil || e.given.GroupSize != 12 {
		t.Error("what cannot be used is taken over")
	}
}

// TestHint: another's word makes a listed server count as draining for a while, half of them at most, and names none that the own list has
// not; what leaves the own list is told.
func TestHint(t *testing.T) {
	e, _ := start(t, "a", "b", "c", "d")
	var left []policy.ServerID
	e.OnLeaving(func(id policy.ServerID) { left = append(left, id) })
	for _, id := range []policy.ServerID{"x", "a", "b", "c"} {
		e.HintDraining(id)
	}
	for id, takes := range map[policy.ServerID]bool{"x": false, "a": false, "b": false, "c": true, "d": true} {
		if e.ServerUsable(id) != takes {
			t.Errorf("%s takes requests: %v", id, !takes)
		}
	}
	e.event(func(now policy.Time) { e.unavoid(now + mostHint + time.Second) })
	if !e.ServerUsable("a") || !e.ServerUsable("b") {
		t.Error("a hint is not over")
	}
	next := list("a", "b", "c")
	next.Servers[1].State = policy.Draining
	e.event(func(now policy.Time) {
		e.members(now, policy.ListFull, next)
		e.members(now, policy.ListFull, next)
		e.members(now, policy.ListDelta, List{Seq: 2, Servers: []Server{{ID: "a", Addr: "a:1", State: policy.Gone}}})
	})
	if !slices.Equal(left, []policy.ServerID{"b", "d", "a"}) {
		t.Errorf("told of %v", left)
	}
}

package members

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestGroupEstimator guards the limits of the estimate under arbitrary changes: no process takes
// more than MaxShareFactor times its share, growth counts at once, and a decrease counts slowly.
func TestGroupEstimator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := GroupEstimator{Configured: rapid.IntRange(1, 500).Draw(t, "group"), MaxShareFactor: rapid.Float64Range(1, 8).Draw(t, "bolder"), HalfLife: time.Minute}
		now, last := time.Duration(0), estimator.Configured
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			d := time.Duration(rapid.Int64Range(0, int64(10*time.Minute)).Draw(t, "d"))
			now += d
			live := rapid.IntRange(1, 1000).Draw(t, "living")
			estimate := estimator.Update(now, live)
			if estimate < live || float64(estimator.Configured)/float64(estimate) > estimator.MaxShareFactor+1e-9 {
				t.Fatalf("estimate %d for %d live processes, %d configured", estimate, live, estimator.Configured)
			}
			if d < time.Minute && 2*estimate < last-1 {
				t.Fatalf("estimate fell from %d to %d in %v", last, estimate, d)
			}
			if n := ScaleOrdinal(estimator.Configured-1, estimator.Configured, estimate); n < 0 || n >= estimate && n >= estimator.Configured {
				t.Fatalf("ordinal %d of %d", n, estimate)
			}
			last = estimate
		}
	})
}

// TestHints checks that a hint about a server reaches every process exactly once and expires.
func TestHints(t *testing.T) {
	sim := newConverged(t, 20, 1)
	received := map[int]int{}
	sim.onEvent = func(index int, e Event) {
		if e.Kind == Hinted && e.Server == "box-7" {
			received[index]++
		}
	}
	sim.processes[3].n.Hint(sim.now, "box-7")
	took := sim.until(3*sec, func() bool { return len(received) == 19 })
	sim.run(40 * sec)
	for index, count := range received {
		if count != 1 {
			t.Errorf("process %d received the hint %d times", index, count)
		}
	}
	for i := range 2 * MaxHints {
		sim.processes[3].n.Hint(sim.now, string(rune('a'+i%26))+string(rune('a'+i/26)))
	}
	if n := len(sim.processes[3].n.hints); n != MaxHints {
		t.Errorf("%d hints held", n)
	}
	t.Logf("received by all after %v", took)
}

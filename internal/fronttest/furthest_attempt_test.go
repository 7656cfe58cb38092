package fronttest

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestFurthestAttemptWins guards against an attempt that is given up although its answer would have been
// whole first: servers that pause lead to further attempts, each of which pauses as well.
func TestFurthestAttemptWins(t *testing.T) {
	for _, shape := range []struct {
		name string
		wait time.Duration
		plan answerPlan
	}{
		{"lumps", 1500 * time.Millisecond, answerPlan{pieces: lumps(150_000, 3, 1800*time.Millisecond)}},
		{"longer lumps", 1500 * time.Millisecond, answerPlan{pieces: lumps(224_000, 3, 1800*time.Millisecond)}},
		{"late end", 1500 * time.Millisecond, answerPlan{pieces: []piece{{0, 40_000}}, lastPause: 1415 * time.Millisecond}},
		{"late end of a long answer", 2500 * time.Millisecond, answerPlan{pieces: []piece{{0, 63_000}}, lastPause: 2450 * time.Millisecond}},
	} {
		for _, framing := range []framing{byLength, inChunks, untilClose} {
			t.Run(fmt.Sprint(shape.name, ", ", framing), func(t *testing.T) {
				t.Parallel()
				for _, kind := range []string{platformFront, handlerForm, transportForm} {
					for _, class := range []string{"read", "order"} {
						fleet := startScriptedFleet(t, 6)
						f := startAny(t, kind, options{servers: fleet.addrs, deadline: shape.wait})
						plan := shape.plan
						plan.shape, plan.framing = shape.name, framing
						x := &exchange{class: class, wait: shape.wait, plan: fleet.add(&plan)}
						x.run(f)
						attempts := fleet.attemptsOf(x.plan)
						broken := x.judge(&plan, attempts, time.Time{})
						if len(broken) > 0 || x.status != http.StatusOK || !x.whole {
							t.Errorf("%s, %s: %v: %s\n%s", kind, class, broken, x.describe(&plan, attempts), f.logOf(x.id))
						}
					}
				}
			})
		}
	}
}

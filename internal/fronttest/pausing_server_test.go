package fronttest

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// TestAnswersOfPausingServers guards against a long answer that is cut off because its server pauses
// in the middle, or because its length is unknown when the client's time is up.
func TestAnswersOfPausingServers(t *testing.T) {
	const (
		exchanges = 60
		interval  = 60 * time.Millisecond // between the requests of two clients
	)
	onBothFronts(t, func(t *testing.T, kind string) {
		rng := rand.New(rand.NewPCG(68, 0))
		fleet := startScriptedFleet(t, 6)
		f := startFront(t, kind, options{servers: fleet.addrs, deadline: 2500 * time.Millisecond})
		var all []*exchange
		var wg sync.WaitGroup
		for i := range exchanges {
			plan, wait := pausingAnswer(rng, i)
			x := &exchange{class: []string{"read", "order", "pay"}[i%3], wait: wait, plan: fleet.add(plan)}
			all = append(all, x)
			wg.Go(func() {
				time.Sleep(time.Duration(i) * interval)
				x.run(f)
			})
		}
		wg.Wait()
		broken := 0
		for _, x := range all {
			plan, attempts := fleet.plans[x.plan], fleet.attemptsOf(x.plan)
			for _, rule := range x.judge(plan, attempts, time.Time{}) {
				broken++
				t.Errorf("%s: %s", rule, x.describe(plan, attempts))
			}
		}
		t.Logf("%d of %d exchanges broke a rule", broken, exchanges)
		if broken > 0 {
			t.Logf("log of the program:\n%s", f.logText())
		}
	})
}

// pausingAnswer returns a random answer of 100 to 260 KB whose first bytes come in time, and how long
// its client waits.
func pausingAnswer(rng *rand.Rand, i int) (*answerPlan, time.Duration) {
	size := 100_000 + rng.IntN(160_000)
	p := &answerPlan{framing: oneOf(rng, byLength, inChunks, untilClose)}
	wait := between(rng, 600*time.Millisecond, 850*time.Millisecond)
	switch i / 3 % 3 {
	case 0:
		p.shape, p.pieces = "steady", steady(size, 100_000)
	case 1:
		p.shape, p.pieces = "lumps", lumps(size, 3, between(rng, 520*time.Millisecond, 600*time.Millisecond))
	case 2:
		p.shape, wait = "late body", 2500*time.Millisecond
		p.pieces = append([]piece{{between(rng, 900*time.Millisecond, time.Second), size / 4}}, steady(size-size/4, 400_000)...)
	}
	return p, wait
}

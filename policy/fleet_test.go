package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// TestWarmth: where a cold server stands twice of what it can do it is held for warm after half of the ramp, and at no age for
// twice as strong as it is at least; elsewhere for no stronger than that at any age.
func TestWarmth(t *testing.T) {
	for multiple, most := range map[float64]float64{0: 1, 1.5: 1, 2: 2, 2.5: 2} {
		cfg := testConfig()
		cfg.ColdOverloadFactor = multiple
		b, _ := start(t, cfg, 1)
		now := time.Minute
		s := b.servers["s0"]
		worst := 0.0
		for age := time.Duration(0); age <= cfg.Ramp; age += 50 * time.Millisecond {
			s.Started = now - age
			least := cfg.ColdCapacity + (1-cfg.ColdCapacity)*float64(age)/float64(cfg.Ramp)
			w := b.warmth(now, s)
			worst = max(worst, w/least)
			if w < least-1e-9 || w > 1 {
				t.Fatalf("multiple %v, age %v: %.2f, at least %.2f", multiple, age, w, least)
			}
		}
		if worst > most-0.2 && worst > 1+1e-9 || most == 2 && worst < 1.2 {
			t.Errorf("multiple %v: held for up to %.2f times as strong as it is at least", multiple, worst)
		}
	}
}

// TestWarmthLeavesRoom guards against pushing a cold server over with no more than its share of a busy fleet's traffic: what it is
// held for stays below what it stands by a margin for chance, and a server that the list has for smaller gets less.
func TestWarmthLeavesRoom(t *testing.T) {
	const margin = 1.2
	for _, multiple := range []float64{2, 2.5, 3, 10} {
		cfg := testConfig()
		cfg.ColdCapacity, cfg.ColdOverloadFactor, cfg.Ramp = 0.15, multiple, 9*time.Second
		b, _ := start(t, cfg, 4)
		now := time.Minute
		large, small := b.servers["s0"], b.servers["s1"]
		for _, s := range b.servers {
			s.Weight = 6
		}
		small.Weight = 2
		b.rebuildReadySet() // the mean is 5
		for age := time.Duration(0); age <= cfg.Ramp; age += 50 * time.Millisecond {
			large.Started, small.Started = now-age, now-age
			can := cfg.ColdCapacity + (1-cfg.ColdCapacity)*float64(age)/float64(cfg.Ramp)
			if w := b.warmth(now, large); w*margin > can*multiple {
				t.Errorf("multiple %v, age %v: held for %.2f, can do %.2f", multiple, age, w, can)
			}
			if w, of := b.warmth(now, small), b.warmth(now, large); w < 1 && math.Abs(w-of*2/5) > 1e-9 {
				t.Errorf("multiple %v, age %v: a small one is held for %.2f, a large one for %.2f", multiple, age, w, of)
			}
		}
	}
}

// TestQueuesByWhatIsSeen: a sidecar that sends little lets a request wait for a short queue only, by the request's worth; one
// that sends much lets it have all of the time that it has left, less a band, and what is worth a quarter half of that.
func TestQueuesByWhatIsSeen(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe = false
	cheap := cfg.Classes[0]
	cheap.Name, cheap.Worth = "cheap", 0.25
	cfg.Classes = append(cfg.Classes, cheap)
	for _, tt := range []struct {
		class string
		gap   time.Duration // between requests
		most  float64       // of the time
	}{
		{"safe", time.Second, maxQueueShare}, {"cheap", time.Second, maxQueueShare / 4},
		{"safe", 20 * time.Microsecond, 1}, {"cheap", 20 * time.Microsecond, 0.5},
	} {
		b, rec := start(t, cfg, 2)
		now, least, most := time.Minute, time.Hour, time.Duration(0)
		for i := range 2000 {
			now += tt.gap
			id := RequestID(i + 1)
			b.Request(now, Request{ID: id, Class: tt.class, Expires: now + time.Second}, rec)
			r := b.requests[id]
			if r == nil {
				t.Fatalf("%s: not sent", tt.class)
			}
			if i >= 1000 { // the gap is known by then
				least, most = min(least, r.delayLimit), max(most, r.delayLimit)
			}
			b.Outcome(now, Outcome{ID: id, Server: r.attempts[0].server.ID, Status: OK, Final: true}, rec)
			rec.take("")
		}
		share := func(d time.Duration) float64 { return float64(d) / float64(200*time.Millisecond) }
		if share(most) > tt.most*1.001 || share(most) < tt.most*0.97 || share(least) > tt.most*0.64 || share(least) < tt.most*(1-refusalBand)*0.97 {
			t.Errorf("%s, one in %v: %.3f to %.3f of the time, want %.3f to %.3f", tt.class, tt.gap, share(least), share(most), tt.most*(1-refusalBand), tt.most)
		}
	}
}

// TestFirstAttemptWithinTheLimit: the first attempt is drawn among servers whose queue is short enough for the request, not
// refused because the draw fell on another.
func TestFirstAttemptWithinTheLimit(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe = false
	b, rec := start(t, cfg, 4)
	b.delay.observe(0, float64(10*time.Millisecond))
	now := time.Minute
	for i := range 4 {
		s := b.servers[ServerID(fmt.Sprint("s", i))]
		if s.reported, s.reportedAt = true, now-time.Second; i > 0 { // too old to look for another by
			s.queue = 18 // within the aim, over every limit of a sidecar that sends little
		}
	}
	for i := range 200 {
		b.Request(now, Request{ID: RequestID(i + 1), Class: "safe", Expires: now + time.Second}, rec)
		sent := rec.take("send")
		if len(sent) != 1 || !strings.HasSuffix(sent[0], " s0") {
			t.Fatalf("request %d: %v", i, sent)
		}
		b.Outcome(now, Outcome{ID: RequestID(i + 1), Server: "s0", Status: OK, Delay: 10 * time.Millisecond, Final: true}, rec)
	}
}

// TestOwnZoneFirst: where leaving the zone costs, requests go to servers of the own zone that would answer in time, and abroad
// where there are none; where it costs nothing, to all alike.
func TestOwnZoneFirst(t *testing.T) {
	abroad := func(tariff float64, full bool) (share float64) {
		cfg := testConfig()
		cfg.MayProbe, cfg.CrossZoneTariff = false, tariff
		b, rec := start(t, cfg, 4) // s0 and s2 are of zone a
		now := time.Minute
		if full {
			b.servers["s0"].queue, b.servers["s2"].queue = math.Inf(1), math.Inf(1)
			b.servers["s0"].reported, b.servers["s2"].reported = true, true
		}
		const n = 400
		for i := range n {
			b.Request(now, Request{ID: RequestID(i + 1), Class: "safe", Expires: now + time.Second}, rec)
			for id := range b.servers {
				if b.servers[id].Zone == "b" {
					for _, a := range b.requests[RequestID(i+1)].attempts {
						if a.server.ID == id {
							share += 1.0 / n
						}
					}
				}
			}
			b.Outcome(now, Outcome{ID: RequestID(i + 1), Server: b.requests[RequestID(i+1)].attempts[0].server.ID, Status: OK, Final: true}, rec)
		}
		return share
	}
	if got := abroad(0.03, false); got != 0 {
		t.Errorf("%.2f go abroad though the own zone has room", got)
	}
	if got := abroad(0.03, true); got < 0.999 {
		t.Errorf("%.2f go abroad though the own zone has none", got)
	}
	if got := abroad(0, false); got < 0.4 || got > 0.6 {
		t.Errorf("%.2f go abroad where that costs nothing", got)
	}
}

// TestProbesByTraffic: a sidecar that sends less than a request in a mark's life may spend more on probes for each than one that
// learns from its own answers.
func TestProbesByTraffic(t *testing.T) {
	earned := func(gap time.Duration) float64 {
		cfg := testConfig()
		cfg.ProbeTariff = 0.08
		b, _ := start(t, cfg, 4)
		b.requestGap, b.probeCredit, b.busyShare = float64(gap), 0, 1
		b.earnProbeCredit(1)
		return b.probeCredit
	}
	if quiet, busy := earned(time.Second), earned(time.Microsecond); math.Abs(quiet-quietProbeBudget/0.08) > 1e-3 || math.Abs(busy-probeBudget/0.08) > 1e-3 {
		t.Errorf("%.3f probes for a request of a quiet sidecar, %.3f of a busy one", quiet, busy)
	}
	if half := earned(100 * time.Millisecond); half <= earned(time.Microsecond) || half >= earned(time.Second) {
		t.Errorf("%.3f between them", half)
	}
}

package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// TestWarmthByOverloadFactor checks how warm a cold server counts. If it withstands twice its
// capacity, it counts as warm after half of the ramp and at any age as less than twice its
// minimum capacity. Otherwise it never counts as more than its minimum.
func TestWarmthByOverloadFactor(t *testing.T) {
	for multiple, most := range map[float64]float64{0: 1, 1.5: 1, 2: 2, 2.5: 2} {
		cfg := testConfig()
		cfg.ColdOverloadFactor = multiple
		b, _ := newTestBalancer(t, cfg, 1)
		now := time.Minute
		s := b.servers["s0"]
		highest := 0.0
		for age := time.Duration(0); age <= cfg.Ramp; age += 50 * time.Millisecond {
			s.Started = now - age
			least := cfg.ColdCapacity + (1-cfg.ColdCapacity)*float64(age)/float64(cfg.Ramp)
			w := b.warmth(now, s)
			highest = max(highest, w/least)
			if w < least-1e-9 || w > 1 {
				t.Fatalf("multiple %v, age %v: warmth %.2f, minimum %.2f", multiple, age, w, least)
			}
		}
		if highest > most-0.2 && highest > 1+1e-9 || most == 2 && highest < 1.2 {
			t.Errorf("multiple %v: warmth is up to %.2f times the minimum capacity", multiple, highest)
		}
	}
}

// TestWarmthKeepsMargin guards against overloading a cold server with no more than its share of a
// busy fleet's traffic: the estimated warmth has to stay below what the server withstands by a
// margin for chance, and a server with a lower weight has to get less.
func TestWarmthKeepsMargin(t *testing.T) {
	const margin = 1.2
	for _, multiple := range []float64{2, 2.5, 3, 10} {
		cfg := testConfig()
		cfg.ColdCapacity, cfg.ColdOverloadFactor, cfg.Ramp = 0.15, multiple, 9*time.Second
		b, _ := newTestBalancer(t, cfg, 4)
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
				t.Errorf("multiple %v, age %v: warmth %.2f, capacity %.2f", multiple, age, w, can)
			}
			if w, full := b.warmth(now, small), b.warmth(now, large); w < 1 && math.Abs(w-full*2/5) > 1e-9 {
				t.Errorf("multiple %v, age %v: warmth of a small server %.2f, of a large one %.2f", multiple, age, w, full)
			}
		}
	}
}

// TestDelayLimitByTraffic checks the delay limit. With little traffic a request may wait only for
// a short queue, in proportion to its worth. With much traffic it may use all its remaining time
// less a band, and a request of a quarter of the worth half of that.
func TestDelayLimitByTraffic(t *testing.T) {
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
		b, rec := newTestBalancer(t, cfg, 2)
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

// TestFirstAttemptWithinLimit guards against refusals because the random draw chose a server
// whose queue is too long while another is short enough for the request.
func TestFirstAttemptWithinLimit(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe = false
	b, rec := newTestBalancer(t, cfg, 4)
	b.delay.observe(0, float64(10*time.Millisecond))
	now := time.Minute
	for i := range 4 {
		s := b.servers[ServerID(fmt.Sprint("s", i))]
		if s.reported, s.reportedAt = true, now-time.Second; i > 0 { // too old to choose by
			s.queue = 18 // within the aim, above any limit of a sidecar with little traffic
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

// TestOwnZoneFirst checks that, if leaving the zone costs, requests go to servers of the own zone
// that would answer in time, and to others only if there are none. If it costs nothing all
// servers are equal.
func TestOwnZoneFirst(t *testing.T) {
	remoteShare := func(tariff float64, full bool) (share float64) {
		cfg := testConfig()
		cfg.MayProbe, cfg.CrossZoneTariff = false, tariff
		b, rec := newTestBalancer(t, cfg, 4) // s0 and s2 are of zone a
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
	if got := remoteShare(0.03, false); got != 0 {
		t.Errorf("%.2f leave the zone although it has room", got)
	}
	if got := remoteShare(0.03, true); got < 0.999 {
		t.Errorf("%.2f leave the zone although it has no room", got)
	}
	if got := remoteShare(0, false); got < 0.4 || got > 0.6 {
		t.Errorf("%.2f leave the zone although that costs nothing", got)
	}
}

// TestProbeCreditByTraffic checks that a sidecar that sends less than one request per mark
// lifetime may spend more on probes per request than one that learns from its own answers.
func TestProbeCreditByTraffic(t *testing.T) {
	earned := func(gap time.Duration) float64 {
		cfg := testConfig()
		cfg.ProbeTariff = 0.08
		b, _ := newTestBalancer(t, cfg, 4)
		b.requestGap, b.probeCredit, b.busyShare = float64(gap), 0, 1
		b.earnProbeCredit(1)
		return b.probeCredit
	}
	if quiet, busy := earned(time.Second), earned(time.Microsecond); math.Abs(quiet-quietProbeBudget/0.08) > 1e-3 || math.Abs(busy-probeBudget/0.08) > 1e-3 {
		t.Errorf("%.3f probes per request in a quiet sidecar, %.3f in a busy one", quiet, busy)
	}
	if half := earned(100 * time.Millisecond); half <= earned(time.Microsecond) || half >= earned(time.Second) {
		t.Errorf("%.3f between the two", half)
	}
}

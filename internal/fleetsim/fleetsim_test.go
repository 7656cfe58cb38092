package fleetsim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"quillfront/policy"
)

// seeds are few because each one also runs under the race detector, which is slow.
var seeds = []uint64{1, 2}

// requireNoViolations fails t if a rule was violated.
func requireNoViolations(t *testing.T, w *Simulation) {
	t.Helper()
	if a := w.Stats; a.ViolationCount > 0 {
		t.Errorf("%d rule violations, including %q", a.ViolationCount, a.Violations)
	}
}

// maxInvertedShare is the share of tries of orders that may be refused while the same sidecar sends
// a check: a random pick may hit a server whose queue is too long for the order but not for the
// check, which has the longer deadline.
const maxInvertedShare = 0.1

// requireFewInversions fails t if a sidecar often refuses orders while it sends checks, which are
// worth less.
func requireFewInversions(t *testing.T, w *Simulation) {
	t.Helper()
	tries := w.Stats.ClassTotal(classOrder, 0, len(w.Stats.Seconds)).Tries
	share := float64(w.Stats.InvertedRefusals) / float64(max(tries, 1))
	t.Logf("%.4f of %d tries of orders are refused within checkWindow of a check", share, tries)
	if share > maxInvertedShare {
		t.Errorf("%.3f of %d tries of orders are refused while the same sidecar sends checks", share, tries)
	}
}

// inTimeShare returns the share of a class's requests of the seconds [from, to) that was answered
// in time.
func (w *Simulation) inTimeShare(class, from, to int) float64 {
	s := w.Stats.ClassTotal(class, from, to)
	return float64(s.InTime) / float64(max(s.Requests, 1))
}

// injectErrors sets the error rate of n available servers in a zone, or in any zone if it is empty.
func (w *Simulation) injectErrors(n int, zone string, share float64) {
	for _, v := range w.Up() {
		if n > 0 && (zone == "" || v.Zone == zone) {
			v.ErrorRate = share
			n--
		}
	}
}

// TestDeterminism checks that equal seeds give equal statistics and different seeds do not.
func TestDeterminism(t *testing.T) {
	t.Parallel()
	play := func(seed uint64) uint64 {
		w := New(Config{Seed: seed, Sidecars: 20, Servers: 20, Rate: 500})
		w.At(2*sec, func() { w.Replace(w.Up()[3]) })
		w.At(3*sec, func() { w.Sidecar(4).Restart(w.Known()) })
		w.Run(6 * sec)
		w.Finish()
		return w.Stats.Hash()
	}
	first := play(1)
	if again := play(1); again != first {
		t.Errorf("equal seeds give different statistics: %x and %x", first, again)
	}
	if other := play(2); other == first {
		t.Error("different seeds give equal statistics")
	}
}

// TestNormalLoad checks that nearly all requests are served without faults and that few are sent to
// another zone.
func TestNormalLoad(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed})
		w.Run(10 * sec)
		w.Finish()
		requireNoViolations(t, w)
		requireFewInversions(t, w)
		sends, a := 0, &w.Stats
		for class := range classMix {
			sends += a.ClassTotal(class, 0, 10).Sends
		}
		t.Logf("seed %d: %.3f served, %.2f of sends cross-zone, %.2f probes and %.2f handshakes per send", seed, a.ServedShare(1, 10),
			float64(a.CrossZoneSends)/float64(sends), float64(a.Probes)/float64(sends), float64(a.Handshakes)/float64(sends))
		if a.ServedShare(1, 10) < 0.97 {
			t.Errorf("seed %d: %.3f served", seed, a.ServedShare(1, 10))
		}
		if a.CrossZoneSends*4 > sends {
			t.Errorf("seed %d: %d of %d sends leave the zone", seed, a.CrossZoneSends, sends)
		}
	}
}

// runRollout simulates a release: six in ten servers are replaced within 7 s by new ones, some of
// which return errors at once.
func runRollout(seed uint64, change func(*policy.Config)) *Simulation {
	w := New(Config{Seed: seed, Policy: change})
	for i, v := range w.Up()[:36] {
		w.At(6*sec+time.Duration(i)*190*ms, func() {
			if n := w.Replace(v); i%9 == 4 {
				n.ErrorRate = 0.8
			}
		})
	}
	w.Run(22 * sec)
	w.Finish()
	return w
}

// TestRollingReplacement checks that new servers are used while they warm up, that none is
// overloaded and that nothing is sent to draining ones. Servers treated as cold for the whole ramp
// would be idle while requests are refused.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	var with, without float64
	for _, seed := range seeds {
		w := runRollout(seed, nil)
		requireNoViolations(t, w)
		requireFewInversions(t, w)
		got := w.Stats.ServedShare(8, 16)
		with += got / float64(len(seeds))
		slow := runRollout(seed, func(c *policy.Config) { c.ColdOverloadFactor = 0 })
		requireNoViolations(t, slow)
		without += slow.Stats.ServedShare(8, 16) / float64(len(seeds))
		t.Logf("seed %d: %.3f served while they are replaced, orders %.3f, %.3f after; %.3f where they are held for cold; most pressure %.2f of %.1f", seed,
			got, w.inTimeShare(classOrder, 8, 16), w.Stats.ServedShare(18, 22), slow.Stats.ServedShare(8, 16), w.Stats.MaxColdLoad, coldOverloadFactor)
		if w.inTimeShare(classOrder, 8, 16) < 0.9 || w.Stats.ServedShare(18, 22) < 0.95 {
			t.Errorf("seed %d: orders %.3f meanwhile, all %.3f after", seed, w.inTimeShare(classOrder, 8, 16), w.Stats.ServedShare(18, 22))
		}
	}
	if with <= without {
		t.Errorf("%.3f served, but %.3f where new servers are treated as cold for longer", with, without)
	}
}

// TestNearTotalReplacement replaces all but four servers within a few seconds, under new IDs. The
// remaining capacity must be used and no server overloaded.
func TestNearTotalReplacement(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed, Rate: 900})
		for i, v := range w.Up()[4:] {
			w.At(5*sec+time.Duration(i)*60*ms, func() {
				if n := w.Replace(v); i%10 == 0 {
					n.ErrorRate = 0.8
				}
			})
		}
		w.Run(20 * sec)
		w.Finish()
		requireNoViolations(t, w)
		requireFewInversions(t, w)
		t.Logf("seed %d: orders %.3f, all %.3f meanwhile, %.3f after, most pressure %.2f", seed, w.inTimeShare(classOrder, 6, 14), w.Stats.ServedShare(6, 14),
			w.Stats.ServedShare(16, 20), w.Stats.MaxColdLoad)
		if w.inTimeShare(classOrder, 6, 14) < 0.75 || w.Stats.ServedShare(16, 20) < 0.95 {
			t.Errorf("seed %d: orders %.3f meanwhile, all %.3f after", seed, w.inTimeShare(classOrder, 6, 14), w.Stats.ServedShare(16, 20))
		}
	}
}

// TestNewIDsAtOldAddresses runs the same release with each new server at the address of the old
// one, while discovery is silent and half of the sidecars have restarted with the old list. They
// reach cold servers under the IDs of warm ones.
func TestNewIDsAtOldAddresses(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed, ReuseAddresses: true})
		old := w.Known()
		for i, v := range w.Up()[:36] {
			w.At(6*sec+time.Duration(i)*190*ms, func() {
				if n := w.Replace(v); i%9 == 4 {
					n.ErrorRate = 0.8
				}
			})
		}
		w.Run(11 * sec)
		w.SetDiscoveryMode(Silent)
		for i := range 40 {
			w.Sidecar(2 * i).Restart(old)
		}
		w.Run(13 * sec)
		w.SetDiscoveryMode(Answering)
		w.Run(30 * sec)
		w.Finish()
		requireNoViolations(t, w)
		requireFewInversions(t, w)
		t.Logf("seed %d: orders %.3f, all %.3f meanwhile, %.3f after, most pressure %.2f", seed, w.inTimeShare(classOrder, 8, 18), w.Stats.ServedShare(8, 18),
			w.Stats.ServedShare(24, 30), w.Stats.MaxColdLoad)
		if w.inTimeShare(classOrder, 8, 18) < 0.8 || w.Stats.ServedShare(24, 30) < 0.95 {
			t.Errorf("seed %d: orders %.3f meanwhile, all %.3f after", seed, w.inTimeShare(classOrder, 8, 18), w.Stats.ServedShare(24, 30))
		}
	}
}

// TestZoneOutage makes half of the servers unresponsive at once and brings them back cold, while
// some of the others return errors. Orders must be served before classes of lower worth, and
// service must recover soon after.
func TestZoneOutage(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed})
		w.At(5*sec, func() { w.injectErrors(4, "a", 0.8) })
		w.At(6*sec, func() {
			for _, v := range w.Up() {
				if v.Zone == "b" {
					v.Hang()
					v.removed = true
				}
			}
		})
		w.At(9*sec, w.discovery.publish)
		w.At(13*sec, func() {
			for _, v := range w.servers {
				if v.Zone == "b" {
					v.RestartCold()
				}
				v.ErrorRate = 0
			}
			w.ServersChanged()
		})
		w.Run(26 * sec)
		w.Finish()
		requireNoViolations(t, w)
		requireFewInversions(t, w)
		t.Logf("seed %d: during the outage orders %.3f, checks %.3f, bookings %.3f; %.3f on return, %.3f after; most pressure %.2f", seed, w.inTimeShare(classOrder, 8, 13),
			w.inTimeShare(classCheck, 8, 13), w.inTimeShare(classBooking, 8, 13), w.Stats.ServedShare(15, 20), w.Stats.ServedShare(21, 26), w.Stats.MaxColdLoad)
		if w.inTimeShare(classOrder, 8, 13) < w.inTimeShare(classCheck, 8, 13)+0.1 {
			t.Errorf("seed %d: orders %.3f beside checks %.3f", seed, w.inTimeShare(classOrder, 8, 13), w.inTimeShare(classCheck, 8, 13))
		}
		if w.inTimeShare(classOrder, 8, 13) < 0.5 || w.Stats.ServedShare(21, 26) < 0.95 {
			t.Errorf("seed %d: orders %.3f during the outage, all %.3f after", seed, w.inTimeShare(classOrder, 8, 13), w.Stats.ServedShare(21, 26))
		}
	}
}

// TestMassSidecarRestart restarts nine in ten sidecars at once with an old list, while servers are
// replaced and discovery refuses calls, is silent, or is overloaded. The list must arrive in the
// time that the drain rule allows, and failures must not increase the number of calls.
func TestMassSidecarRestart(t *testing.T) {
	t.Parallel()
	for name, mode := range map[string]DiscoveryMode{"overbooked": Answering, "refusing": Refusing, "silent": Silent} {
		for _, seed := range seeds {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				w := New(Config{Seed: seed})
				w.Run(5 * sec)
				old := w.Known()
				for _, v := range w.Up()[10:20] {
					w.Replace(v)
				}
				w.Run(7 * sec)
				w.SetDiscoveryMode(mode)
				for i := range 72 {
					w.Sidecar(i).Restart(old)
				}
				calls := w.Stats.ListCalls
				w.Run(10 * sec)
				w.SetDiscoveryMode(Answering)
				w.Run(26 * sec)
				w.Finish()
				requireNoViolations(t, w)
				requireFewInversions(t, w)
				watching := 0
				for _, s := range w.sidecars {
					if s.watching {
						watching++
					}
				}
				t.Logf("%d calls for 80 sidecars, %d watch; served %.3f at once, %.3f after", w.Stats.ListCalls-calls, watching, w.Stats.ServedShare(7, 10), w.Stats.ServedShare(20, 26))
				if watching < 80 || w.Stats.ListCalls-calls > 80*6 {
					t.Errorf("%d of 80 sidecars watch, after %d calls", watching, w.Stats.ListCalls-calls)
				}
				if w.Stats.ServedShare(7, 10) < 0.8 || w.Stats.ServedShare(20, 26) < 0.97 {
					t.Errorf("%.3f served after the kill, %.3f at last", w.Stats.ServedShare(7, 10), w.Stats.ServedShare(20, 26))
				}
			})
		}
	}
}

// TestSidecarLinkOutage checks that a sidecar whose own link was down for 5 s serves as before 2 s
// after it is back, and that the others are not affected.
func TestSidecarLinkOutage(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed, Sidecars: 20, Servers: 20, Rate: 400})
		s := w.Sidecar(3)
		w.At(4*sec, func() { s.Disconnected = true })
		w.At(9*sec, func() { s.Disconnected = false })
		var before, back Counts
		w.Run(11 * sec)
		before = s.Counts()
		w.Run(16 * sec)
		back = s.Counts()
		w.Finish()
		requireNoViolations(t, w)
		requireFewInversions(t, w)
		asked, served := back.Requests-before.Requests, back.InTime-before.InTime
		if float64(served) < 0.9*float64(asked)-3 {
			t.Errorf("seed %d: %d of %d served once the link is back", seed, served, asked)
		}
		if got := w.Stats.ServedShare(11, 16); got < 0.95 {
			t.Errorf("seed %d: %.3f served by all", seed, got)
		}
	}
}

// TestUnequalShares checks that a sidecar with half of all requests and one with a request every
// ten seconds are both served.
func TestUnequalShares(t *testing.T) {
	t.Parallel()
	shares := slices.Repeat([]float64{1}, 80)
	shares[0], shares[1] = 79, 0.0263 // of 158: one in ten seconds
	var asked, served int
	for _, seed := range seeds {
		w := New(Config{Seed: seed, Shares: shares, Rate: 600, Servers: 24})
		w.Run(60 * sec)
		w.Finish()
		requireNoViolations(t, w)
		requireFewInversions(t, w)
		large, small := w.Sidecar(0).Counts(), w.Sidecar(1).Counts()
		asked, served = asked+small.Requests, served+small.InTime
		t.Logf("seed %d: %d of %d at the large sidecar, %d of %d at the small one, all %.3f", seed, large.InTime, large.Requests, small.InTime, small.Requests, w.Stats.ServedShare(1, 60))
		if float64(large.InTime) < 0.95*float64(large.Requests) {
			t.Errorf("seed %d: the large sidecar serves %d of %d in time", seed, large.InTime, large.Requests)
		}
	}
	if asked == 0 || float64(served) < 0.7*float64(asked) {
		t.Errorf("small sidecars serve %d of %d in time", served, asked)
	}
}

// TestRecoveryAfterOverload applies twice the capacity for 6 s and then normal load. Orders must
// come first during the overload, and refusals must end after it, as estimates get new evidence.
func TestRecoveryAfterOverload(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed})
		w.At(5*sec, func() { w.SetRate(4000) })
		w.At(11*sec, func() { w.SetRate(1000) })
		w.Run(20 * sec)
		w.Finish()
		requireNoViolations(t, w)
		requireFewInversions(t, w)
		t.Logf("seed %d: orders %.3f, checks %.3f meanwhile; %.3f 2 s after", seed, w.inTimeShare(classOrder, 6, 11), w.inTimeShare(classCheck, 6, 11), w.Stats.ServedShare(13, 20))
		if w.inTimeShare(classOrder, 6, 11) < w.inTimeShare(classCheck, 6, 11)+0.1 {
			t.Errorf("seed %d: orders %.3f beside checks %.3f", seed, w.inTimeShare(classOrder, 6, 11), w.inTimeShare(classCheck, 6, 11))
		}
		if got := w.Stats.ServedShare(13, 20); got < 0.98 {
			t.Errorf("seed %d: %.3f served 2 s after", seed, got)
		}
	}
}

// TestLoadNearCapacity alternates the load around the capacity: orders must be served in each
// period, and the share served must not vary widely.
func TestLoadNearCapacity(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed})
		for i := range 10 {
			w.At(time.Duration(5+2*i)*sec, func() { w.SetRate([]float64{2350, 1950}[i%2]) })
		}
		w.Run(25 * sec)
		w.Finish()
		requireNoViolations(t, w)
		requireFewInversions(t, w)
		least, most := 1.0, 0.0
		for at := 7; at < 25; at += 2 {
			got := w.inTimeShare(classOrder, at, at+2)
			least, most = min(least, got), max(most, got)
		}
		t.Logf("seed %d: orders %.3f to %.3f, all %.3f", seed, least, most, w.Stats.ServedShare(7, 25))
		if least < 0.85 || most-least > 0.12 {
			t.Errorf("seed %d: between %.3f and %.3f of orders are served", seed, least, most)
		}
	}
}

package fleetsim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"quillfront/policy"
)

// seeds are few, as each is played under the race detector; more have been by hand.
var seeds = []uint64{1, 2}

// requireNoViolations fails t where a rule was broken.
func requireNoViolations(t *testing.T, w *Simulation) {
	t.Helper()
	if a := w.Stats; a.ViolationCount > 0 {
		t.Errorf("%d breaches of the rules, such as %q", a.ViolationCount, a.Violations)
	}
}

// maxInvertedShare is the share of the orders' tries that may be turned away while the same sidecar sends a check: a draw may fall on a
// server that stands too long a queue for the one and not for the other, which waits longer.
const maxInvertedShare = 0.1

// requireFewInversions fails t where orders give way to checks at the same place.
func requireFewInversions(t *testing.T, w *Simulation) {
	t.Helper()
	tries := w.Stats.ClassTotal(classOrder, 0, len(w.Stats.Seconds)).Tries
	share := float64(w.Stats.InvertedRefusals) / float64(max(tries, 1))
	t.Logf("%.4f of %d tries of orders are turned away beside a check", share, tries)
	if share > maxInvertedShare {
		t.Errorf("%.3f of %d tries of orders are turned away while the same sidecar sends a check", share, tries)
	}
}

// inTimeShare is the inTimeShare of a class that was answered in time, of what came in the seconds from from up to to.
func (w *Simulation) inTimeShare(class, from, to int) float64 {
	s := w.Stats.ClassTotal(class, from, to)
	return float64(s.InTime) / float64(max(s.Requests, 1))
}

// injectErrors has n of the servers that are up in a zone, or anywhere, injectErrors from now on.
func (w *Simulation) injectErrors(n int, zone string, share float64) {
	for _, v := range w.Up() {
		if n > 0 && (zone == "" || v.Zone == zone) {
			v.ErrorRate = share
			n--
		}
	}
}

// TestDeterminism: one seed gives one account, another another.
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
		t.Errorf("the same seed gives %x and %x", first, again)
	}
	if other := play(2); other == first {
		t.Error("another seed gives the same")
	}
}

// TestNormalLoad: calm days are served nearly whole, few sends leave the zone, and few are refused for good.
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
		t.Logf("seed %d: %.3f served, %.2f of sends abroad, %.2f probes and %.2f handshakes a request", seed, a.ServedShare(1, 10),
			float64(a.CrossZoneSends)/float64(sends), float64(a.Probes)/float64(sends), float64(a.Handshakes)/float64(sends))
		if a.ServedShare(1, 10) < 0.97 {
			t.Errorf("seed %d: %.3f served", seed, a.ServedShare(1, 10))
		}
		if a.CrossZoneSends*4 > sends {
			t.Errorf("seed %d: %d of %d sends leave the zone", seed, a.CrossZoneSends, sends)
		}
	}
}

// runRollout plays a release: six in ten servers are runRollout within 7 s by new ones, some of which err at once.
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

// TestRollingReplacement: new servers are used as they warm up, none is pushed over, and nothing is sent to those that drain. Held
// for cold through the whole ramp they would stand idle while requests are refused.
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
		t.Errorf("%.3f served, %.3f where new servers are held for cold for longer", with, without)
	}
}

// TestNearTotalReplacement: the same at once for all but four, under new ids; what can be done is, and nobody falls over.
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

// TestNewIDsAtOldAddresses: the same release, in which each new server has the address of the old one, while discovery says nothing
// and half of the sidecars have just been killed and know the old list. They reach cold servers under the names of warm ones.
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

// TestZoneOutage: half of the servers say nothing from one moment on and come back cold, some of the others err. Orders come
// before what is worth less, and all is well soon after.
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
		t.Logf("seed %d: in the dark orders %.3f, checks %.3f, bookings %.3f; %.3f on return, %.3f after; most pressure %.2f", seed, w.inTimeShare(classOrder, 8, 13),
			w.inTimeShare(classCheck, 8, 13), w.inTimeShare(classBooking, 8, 13), w.Stats.ServedShare(15, 20), w.Stats.ServedShare(21, 26), w.Stats.MaxColdLoad)
		if w.inTimeShare(classOrder, 8, 13) < w.inTimeShare(classCheck, 8, 13)+0.1 {
			t.Errorf("seed %d: orders %.3f beside checks %.3f", seed, w.inTimeShare(classOrder, 8, 13), w.inTimeShare(classCheck, 8, 13))
		}
		if w.inTimeShare(classOrder, 8, 13) < 0.5 || w.Stats.ServedShare(21, 26) < 0.95 {
			t.Errorf("seed %d: orders %.3f in the dark, all %.3f after", seed, w.inTimeShare(classOrder, 8, 13), w.Stats.ServedShare(21, 26))
		}
	}
}

// TestMassSidecarRestart: nine in ten sidecars are killed at once and know an old list only, while servers are replaced and discovery
// turns all calls away, says nothing, or has too many. The list gets through in the time that the drain rule gives, and calls do
// not grow with failures.
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

// TestSidecarLinkOutage: a sidecar whose own link is down for 5 s serves as before 2 s after, and no other is the worse for it.
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

// TestUnequalShares: one sidecar sends half of all, one a request in ten seconds. Both are served.
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
		t.Logf("seed %d: %d of %d at the large one, %d of %d at the small one, all %.3f", seed, large.InTime, large.Requests, small.InTime, small.Requests, w.Stats.ServedShare(1, 60))
		if float64(large.InTime) < 0.95*float64(large.Requests) {
			t.Errorf("seed %d: the large one serves %d of %d in time", seed, large.InTime, large.Requests)
		}
	}
	if asked == 0 || float64(served) < 0.7*float64(asked) {
		t.Errorf("small ones serve %d of %d in time", served, asked)
	}
}

// TestRecoveryAfterOverload: twice what servers can do for 6 s, then calm: nothing stays refused, as beliefs find evidence again. While it
// lasts orders come first.
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

// TestLoadNearCapacity: load that swings about the edge of what servers can do: orders are kept at each swing, and what is served does not lurch.
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

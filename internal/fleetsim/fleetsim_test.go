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

// kept fails t where a rule was broken.
func kept(t *testing.T, w *World) {
	t.Helper()
	if a := w.Account; a.Breaches > 0 {
		t.Errorf("%d breaches of the rules, such as %q", a.Breaches, a.Broken)
	}
}

// mostInverted is the share of the orders' tries that may be turned away while the same sidecar sends a check: a draw may fall on a
// server that stands too long a queue for the one and not for the other, which waits longer.
const mostInverted = 0.1

// upright fails t where orders give way to checks at the same place.
func upright(t *testing.T, w *World) {
	t.Helper()
	tries := w.Account.Class(order, 0, len(w.Account.Seconds)).Tries
	share := float64(w.Account.Inverted) / float64(max(tries, 1))
	t.Logf("%.4f of %d tries of orders are turned away beside a check", share, tries)
	if share > mostInverted {
		t.Errorf("%.3f of %d tries of orders are turned away while the same sidecar sends a check", share, tries)
	}
}

// part is the part of a class that was answered in time, of what came in the seconds from from up to to.
func (w *World) part(class, from, to int) float64 {
	s := w.Account.Class(class, from, to)
	return float64(s.InTime) / float64(max(s.Asked, 1))
}

// err has n of the servers that are up in a zone, or anywhere, err from now on.
func (w *World) err(n int, zone string, share float64) {
	for _, v := range w.Up() {
		if n > 0 && (zone == "" || v.Zone == zone) {
			v.Errors = share
			n--
		}
	}
}

// TestSame: one seed gives one account, another another.
func TestSame(t *testing.T) {
	t.Parallel()
	play := func(seed uint64) uint64 {
		w := New(Config{Seed: seed, Sidecars: 20, Servers: 20, Rate: 500})
		w.At(2*sec, func() { w.Replace(w.Up()[3]) })
		w.At(3*sec, func() { w.Sidecar(4).Kill(w.Known()) })
		w.Run(6 * sec)
		w.Finish()
		return w.Account.Sum()
	}
	first := play(1)
	if again := play(1); again != first {
		t.Errorf("the same seed gives %x and %x", first, again)
	}
	if other := play(2); other == first {
		t.Error("another seed gives the same")
	}
}

// TestCalm: calm days are served nearly whole, few sends leave the zone, and few are refused for good.
func TestCalm(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed})
		w.Run(10 * sec)
		w.Finish()
		kept(t, w)
		upright(t, w)
		sends, a := 0, &w.Account
		for class := range mix {
			sends += a.Class(class, 0, 10).Sends
		}
		t.Logf("seed %d: %.3f served, %.2f of sends abroad, %.2f probes and %.2f handshakes a request", seed, a.Served(1, 10),
			float64(a.Crossings)/float64(sends), float64(a.Probes)/float64(sends), float64(a.Handshakes)/float64(sends))
		if a.Served(1, 10) < 0.97 {
			t.Errorf("seed %d: %.3f served", seed, a.Served(1, 10))
		}
		if a.Crossings*4 > sends {
			t.Errorf("seed %d: %d of %d sends leave the zone", seed, a.Crossings, sends)
		}
	}
}

// replaced plays a release: six in ten servers are replaced within 7 s by new ones, some of which err at once.
func replaced(seed uint64, change func(*policy.Config)) *World {
	w := New(Config{Seed: seed, Policy: change})
	for i, v := range w.Up()[:36] {
		w.At(6*sec+time.Duration(i)*190*ms, func() {
			if n := w.Replace(v); i%9 == 4 {
				n.Errors = 0.8
			}
		})
	}
	w.Run(22 * sec)
	w.Finish()
	return w
}

// TestMostAreReplaced: new servers are used as they warm up, none is pushed over, and nothing is sent to those that drain. Held
// for cold through the whole ramp they would stand idle while requests are refused.
func TestMostAreReplaced(t *testing.T) {
	t.Parallel()
	var with, without float64
	for _, seed := range seeds {
		w := replaced(seed, nil)
		kept(t, w)
		upright(t, w)
		got := w.Account.Served(8, 16)
		with += got / float64(len(seeds))
		slow := replaced(seed, func(c *policy.Config) { c.ColdOverloadFactor = 0 })
		kept(t, slow)
		without += slow.Account.Served(8, 16) / float64(len(seeds))
		t.Logf("seed %d: %.3f served while they are replaced, orders %.3f, %.3f after; %.3f where they are held for cold; most pressure %.2f of %.1f", seed,
			got, w.part(order, 8, 16), w.Account.Served(18, 22), slow.Account.Served(8, 16), w.Account.Pressure, tipMultiple)
		if w.part(order, 8, 16) < 0.9 || w.Account.Served(18, 22) < 0.95 {
			t.Errorf("seed %d: orders %.3f meanwhile, all %.3f after", seed, w.part(order, 8, 16), w.Account.Served(18, 22))
		}
	}
	if with <= without {
		t.Errorf("%.3f served, %.3f where new servers are held for cold for longer", with, without)
	}
}

// TestAllButAFewAreReplaced: the same at once for all but four, under new ids; what can be done is, and nobody falls over.
func TestAllButAFewAreReplaced(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed, Rate: 900})
		for i, v := range w.Up()[4:] {
			w.At(5*sec+time.Duration(i)*60*ms, func() {
				if n := w.Replace(v); i%10 == 0 {
					n.Errors = 0.8
				}
			})
		}
		w.Run(20 * sec)
		w.Finish()
		kept(t, w)
		upright(t, w)
		t.Logf("seed %d: orders %.3f, all %.3f meanwhile, %.3f after, most pressure %.2f", seed, w.part(order, 6, 14), w.Account.Served(6, 14),
			w.Account.Served(16, 20), w.Account.Pressure)
		if w.part(order, 6, 14) < 0.75 || w.Account.Served(16, 20) < 0.95 {
			t.Errorf("seed %d: orders %.3f meanwhile, all %.3f after", seed, w.part(order, 6, 14), w.Account.Served(16, 20))
		}
	}
}

// TestNewIDsAtOldAddresses: the same release, in which each new server has the address of the old one, while discovery says nothing
// and half of the sidecars have just been killed and know the old list. They reach cold servers under the names of warm ones.
func TestNewIDsAtOldAddresses(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed, Reuse: true})
		old := w.Known()
		for i, v := range w.Up()[:36] {
			w.At(6*sec+time.Duration(i)*190*ms, func() {
				if n := w.Replace(v); i%9 == 4 {
					n.Errors = 0.8
				}
			})
		}
		w.Run(11 * sec)
		w.Discovery(Silent)
		for i := range 40 {
			w.Sidecar(2 * i).Kill(old)
		}
		w.Run(13 * sec)
		w.Discovery(Answering)
		w.Run(30 * sec)
		w.Finish()
		kept(t, w)
		upright(t, w)
		t.Logf("seed %d: orders %.3f, all %.3f meanwhile, %.3f after, most pressure %.2f", seed, w.part(order, 8, 18), w.Account.Served(8, 18),
			w.Account.Served(24, 30), w.Account.Pressure)
		if w.part(order, 8, 18) < 0.8 || w.Account.Served(24, 30) < 0.95 {
			t.Errorf("seed %d: orders %.3f meanwhile, all %.3f after", seed, w.part(order, 8, 18), w.Account.Served(24, 30))
		}
	}
}

// TestZoneDark: half of the servers say nothing from one moment on and come back cold, some of the others err. Orders come
// before what is worth less, and all is well soon after.
func TestZoneDark(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed})
		w.At(5*sec, func() { w.err(4, "a", 0.8) })
		w.At(6*sec, func() {
			for _, v := range w.Up() {
				if v.Zone == "b" {
					v.GoDark()
					v.gone = true
				}
			}
		})
		w.At(9*sec, w.disco.publish)
		w.At(13*sec, func() {
			for _, v := range w.servers {
				if v.Zone == "b" {
					v.Return()
				}
				v.Errors = 0
			}
			w.Changed()
		})
		w.Run(26 * sec)
		w.Finish()
		kept(t, w)
		upright(t, w)
		t.Logf("seed %d: in the dark orders %.3f, checks %.3f, bookings %.3f; %.3f on return, %.3f after; most pressure %.2f", seed, w.part(order, 8, 13),
			w.part(check, 8, 13), w.part(booking, 8, 13), w.Account.Served(15, 20), w.Account.Served(21, 26), w.Account.Pressure)
		if w.part(order, 8, 13) < w.part(check, 8, 13)+0.1 {
			t.Errorf("seed %d: orders %.3f beside checks %.3f", seed, w.part(order, 8, 13), w.part(check, 8, 13))
		}
		if w.part(order, 8, 13) < 0.5 || w.Account.Served(21, 26) < 0.95 {
			t.Errorf("seed %d: orders %.3f in the dark, all %.3f after", seed, w.part(order, 8, 13), w.Account.Served(21, 26))
		}
	}
}

// TestMostAreKilled: nine in ten sidecars are killed at once and know an old list only, while servers are replaced and discovery
// turns all calls away, says nothing, or has too many. The list gets through in the time that the drain rule gives, and calls do
// not grow with failures.
func TestMostAreKilled(t *testing.T) {
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
				w.Discovery(mode)
				for i := range 72 {
					w.Sidecar(i).Kill(old)
				}
				calls := w.Account.Calls
				w.Run(10 * sec)
				w.Discovery(Answering)
				w.Run(26 * sec)
				w.Finish()
				kept(t, w)
				upright(t, w)
				watching := 0
				for _, s := range w.sidecars {
					if s.watching {
						watching++
					}
				}
				t.Logf("%d calls for 80 sidecars, %d watch; served %.3f at once, %.3f after", w.Account.Calls-calls, watching, w.Account.Served(7, 10), w.Account.Served(20, 26))
				if watching < 80 || w.Account.Calls-calls > 80*6 {
					t.Errorf("%d of 80 sidecars watch, after %d calls", watching, w.Account.Calls-calls)
				}
				if w.Account.Served(7, 10) < 0.8 || w.Account.Served(20, 26) < 0.97 {
					t.Errorf("%.3f served after the kill, %.3f at last", w.Account.Served(7, 10), w.Account.Served(20, 26))
				}
			})
		}
	}
}

// TestOwnLink: a sidecar whose own link is down for 5 s serves as before 2 s after, and no other is the worse for it.
func TestOwnLink(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed, Sidecars: 20, Servers: 20, Rate: 400})
		s := w.Sidecar(3)
		w.At(4*sec, func() { s.Cut = true })
		w.At(9*sec, func() { s.Cut = false })
		var before, back Tally
		w.Run(11 * sec)
		before = s.Tally()
		w.Run(16 * sec)
		back = s.Tally()
		w.Finish()
		kept(t, w)
		upright(t, w)
		asked, served := back.Asked-before.Asked, back.InTime-before.InTime
		if float64(served) < 0.9*float64(asked)-3 {
			t.Errorf("seed %d: %d of %d served once the link is back", seed, served, asked)
		}
		if got := w.Account.Served(11, 16); got < 0.95 {
			t.Errorf("seed %d: %.3f served by all", seed, got)
		}
	}
}

// TestUnequal: one sidecar sends half of all, one a request in ten seconds. Both are served.
func TestUnequal(t *testing.T) {
	t.Parallel()
	shares := slices.Repeat([]float64{1}, 80)
	shares[0], shares[1] = 79, 0.0263 // of 158: one in ten seconds
	var asked, served int
	for _, seed := range seeds {
		w := New(Config{Seed: seed, Shares: shares, Rate: 600, Servers: 24})
		w.Run(60 * sec)
		w.Finish()
		kept(t, w)
		upright(t, w)
		large, small := w.Sidecar(0).Tally(), w.Sidecar(1).Tally()
		asked, served = asked+small.Asked, served+small.InTime
		t.Logf("seed %d: %d of %d at the large one, %d of %d at the small one, all %.3f", seed, large.InTime, large.Asked, small.InTime, small.Asked, w.Account.Served(1, 60))
		if float64(large.InTime) < 0.95*float64(large.Asked) {
			t.Errorf("seed %d: the large one serves %d of %d in time", seed, large.InTime, large.Asked)
		}
	}
	if asked == 0 || float64(served) < 0.7*float64(asked) {
		t.Errorf("small ones serve %d of %d in time", served, asked)
	}
}

// TestOverloadEnds: twice what servers can do for 6 s, then calm: nothing stays refused, as beliefs find evidence again. While it
// lasts orders come first.
func TestOverloadEnds(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed})
		w.At(5*sec, func() { w.SetRate(4000) })
		w.At(11*sec, func() { w.SetRate(1000) })
		w.Run(20 * sec)
		w.Finish()
		kept(t, w)
		upright(t, w)
		t.Logf("seed %d: orders %.3f, checks %.3f meanwhile; %.3f 2 s after", seed, w.part(order, 6, 11), w.part(check, 6, 11), w.Account.Served(13, 20))
		if w.part(order, 6, 11) < w.part(check, 6, 11)+0.1 {
			t.Errorf("seed %d: orders %.3f beside checks %.3f", seed, w.part(order, 6, 11), w.part(check, 6, 11))
		}
		if got := w.Account.Served(13, 20); got < 0.98 {
			t.Errorf("seed %d: %.3f served 2 s after", seed, got)
		}
	}
}

// TestEdge: load that swings about the edge of what servers can do: orders are kept at each swing, and what is served does not lurch.
func TestEdge(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		w := New(Config{Seed: seed})
		for i := range 10 {
			w.At(time.Duration(5+2*i)*sec, func() { w.SetRate([]float64{2350, 1950}[i%2]) })
		}
		w.Run(25 * sec)
		w.Finish()
		kept(t, w)
		upright(t, w)
		least, most := 1.0, 0.0
		for at := 7; at < 25; at += 2 {
			got := w.part(order, at, at+2)
			least, most = min(least, got), max(most, got)
		}
		t.Logf("seed %d: orders %.3f to %.3f, all %.3f", seed, least, most, w.Account.Served(7, 25))
		if least < 0.85 || most-least > 0.12 {
			t.Errorf("seed %d: between %.3f and %.3f of orders are served", seed, least, most)
		}
	}
}

package members

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// playCount is the number of seeds to run. Run TestSchedules by hand with 100000, which takes some
// minutes.
var (
	playCount = flag.Int("plays", 100, "seeds to play")
	firstSeed = flag.Uint64("from", 0, "the first seed of TestSchedules")
)

// newConverged returns a simulation of n processes that know one another.
func newConverged(t testing.TB, n int, seed uint64) *simulation {
	sim := newSimulation(t, seed)
	sim.add(n)
	sim.until(30*sec, func() bool { return sim.converged(nil) })
	sim.run(12 * sec)
	return sim
}

// lossy returns a network that loses the given fraction of datagrams.
func lossy(part float64) func(int, int) link {
	return func(int, int) link { return link{loss: part, minDelay: ms, jitter: 4 * ms} }
}

// TestDetection checks that with datagrams lost a killed process is declared gone within 3 s by
// the first process and soon by all, and that no other process is.
func TestDetection(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 5, 9, 50} {
		var firstDetections, agreements []time.Duration
		for seed := range max(16, *playCount/10) {
			sim := newConverged(t, n, uint64(seed*1000+n))
			sim.link = lossy(0.1)
			sim.run(sec + time.Duration(sim.rng.Int64N(int64(sec))))
			at, detected := sim.now, time.Duration(0)
			sim.kill(sim.rng.IntN(n))
			sim.onEvent = func(_ int, e Event) {
				if e.Kind == DeclaredGone && detected == 0 {
					detected = sim.now - at
				}
			}
			agreements = append(agreements, sim.until(10*sec, func() bool { return sim.converged(nil) }))
			firstDetections = append(firstDetections, detected)
			if sim.falseVerdicts > 0 {
				t.Errorf("%d, seed %d: %d false verdicts", n, seed, sim.falseVerdicts)
			}
		}
		slices.Sort(firstDetections)
		slices.Sort(agreements)
		p99 := len(firstDetections) - 1 - len(firstDetections)/100
		t.Logf("%d processes: detected after %v to %v (99 of 100), agreed after %v to %v", n, firstDetections[0], firstDetections[p99], agreements[0], agreements[p99])
		// part of the Silence timeout may already be spent on lost pings
		if firstDetections[p99] > 3*sec || firstDetections[0] < 1500*ms {
			t.Errorf("%d processes: detected after %v to %v", n, firstDetections[0], firstDetections[len(firstDetections)-1])
		}
	}
}

// TestOneWayPartitions guards against wrong verdicts under asymmetric cuts: only the process that
// is cut off is removed, or none, and at most once by each observer. After the cut all processes
// agree.
func TestOneWayPartitions(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name    string
		cut     func(from, to int) bool
		removed bool // whether the others remove the first process
	}{
		{"all outbound cut", func(from, to int) bool { return from == 0 }, true},
		{"all inbound cut", func(from, to int) bool { return to == 0 }, true},
		{"two cut from each other", func(from, to int) bool { return from+to == 1 }, false},
		{"one way cut between two", func(from, to int) bool { return from == 0 && to == 1 }, false},
		{"one way cut to two of many", func(from, to int) bool { return from == 0 && to <= 2 }, false},
	} {
		for _, loss := range []float64{0, 0.2} {
			for seed := range 6 {
				sim := newConverged(t, 9, uint64(seed))
				sim.faulty[0] = tt.removed
				sim.link = func(from, to int) link { return link{cut: tt.cut(from, to), loss: loss, minDelay: ms, jitter: 5 * ms} }
				sim.run(60 * sec)
				gone := 0
				for _, p := range sim.processes[1:] {
					if m, _ := p.n.find(sim.processes[0].n.self.id); m != nil && !m.present() {
						gone++
					}
				}
				if sim.falseVerdicts > 0 || tt.removed != (gone == 8) || !tt.removed && gone > 0 {
					t.Errorf("%s, loss %v, seed %d: %d false verdicts, removed by %d", tt.name, loss, seed, sim.falseVerdicts, gone)
				}
				for _, p := range sim.processes[:1] {
					if p.n.Stats().Verdicts > 0 {
						t.Errorf("%s: the isolated process declared %d gone", tt.name, p.n.Stats().Verdicts)
					}
				}
				sim.link = lossy(loss)
				sim.until(20*sec, func() bool { return sim.converged(nil) })
				for who, k := range sim.flaps {
					if k > 1 {
						t.Errorf("%s: %s was removed %d times", tt.name, who, k)
					}
				}
			}
		}
	}
}

// TestPauses checks that a process stalled for less than MaxPause is declared gone by nobody, and
// that one stalled for longer rejoins by itself, once. A stalled process declares nobody gone.
func TestPauses(t *testing.T) {
	for _, d := range []time.Duration{500 * ms, 1900 * ms, 5 * sec, 30 * sec} {
		for name, paused := range map[string]func(i int) bool{
			"one": func(i int) bool { return i == 4 }, "a third": func(i int) bool { return i%3 == 0 }, "all": func(int) bool { return true },
		} {
			for seed := range 4 {
				sim := newConverged(t, 9, uint64(seed))
				pausedCount := 0
				for i := range sim.processes {
					if paused(i) {
						pausedCount++
						sim.freeze(i, d)
						sim.faulty[i] = d > sim.processes[i].n.cfg.MaxPause()
					}
				}
				sim.run(d)
				at := map[int]int{}
				for i, p := range sim.processes {
					at[i] = len(p.events)
				}
				sim.until(10*sec, func() bool { return sim.converged(nil) })
				sim.run(5 * sec)
				if sim.falseVerdicts > 0 {
					t.Errorf("%s for %v, seed %d: %d false verdicts", name, d, seed, sim.falseVerdicts)
				}
				for i, p := range sim.processes {
					s := p.n.Stats()
					if paused(i) && (s.Verdicts > 0 || s.Refutations > 1) {
						t.Errorf("%s for %v, seed %d: a stalled process declared %d gone and rejoined %d times", name, d, seed, s.Verdicts, s.Refutations)
					}
					if paused(i) && s.Stalls == 0 || d == 30*sec && name == "one" && paused(i) && s.Refutations != 1 {
						t.Errorf("%s for %v: %+v", name, d, s)
					}
				}
			}
		}
	}
}

// TestUnreliableLinks checks that there is no false verdict with a third of the datagrams lost,
// some duplicated, and all delayed by up to a second and reordered.
func TestUnreliableLinks(t *testing.T) {
	t.Parallel()
	for _, size := range []int{9, 40} {
		for seed := range 1 + *playCount/300 {
			sim := newConverged(t, size, uint64(seed))
			sim.link = func(int, int) link { return link{loss: 0.3, dup: 0.2, jitter: sec} }
			sim.run(90 * sec)
			if sim.falseVerdicts > 0 {
				t.Errorf("%d, seed %d: %d false verdicts", size, seed, sim.falseVerdicts)
			}
			sim.link = lossy(0)
			sim.until(10*sec, func() bool { return sim.converged(nil) })
		}
	}
}

// TestPartitions checks that each part of a partitioned fleet keeps working, also if a third of the
// processes restarts meanwhile, and that all agree again soon after it heals.
func TestPartitions(t *testing.T) {
	t.Parallel()
	for _, n := range []int{9, 24} {
		for _, parts := range []int{2, 3} {
			for _, restart := range []bool{false, true} {
				sim := newConverged(t, n, uint64(n+parts))
				part := func(i int) int { return i % parts }
				for i := range n {
					sim.faulty[i] = true
				}
				sim.link = func(from, to int) link { return link{cut: part(from) != part(to), minDelay: ms, jitter: 4 * ms} }
				sim.run(20 * sec)
				if restart {
					for i := 0; i < n; i += 3 {
						sim.start(i, nil)
					}
				}
				sim.run(40 * sec)
				for p := range parts {
					// restarted processes may have no seed in their part
					if !sim.converged(func(i int) bool { return part(i) == p }) && !restart {
						t.Errorf("%d in %d parts: part %d has not converged: %s", n, parts, p, sim)
					}
				}
				sim.link = lossy(0)
				d := sim.until(20*sec, func() bool { return sim.converged(nil) })
				t.Logf("%d in %d parts, restarts %v: converged after %v", n, parts, restart, d)
				if d > 5*sec && !restart {
					t.Errorf("%d in %d parts: converged after %v", n, parts, d)
				}
				for _, p := range sim.processes {
					if p.n.Stats().Refutations > 1 {
						t.Errorf("%d in %d parts: a process rejoined %d times", n, parts, p.n.Stats().Refutations)
					}
				}
			}
		}
	}
}

// TestRestarts checks that a start under a known name replaces the earlier one whatever its clock
// says, that a process in a restart loop is never considered gone for longer than it is down, and
// that of two processes with one name the earlier gives way and both are told.
func TestRestarts(t *testing.T) {
	sim := newConverged(t, 9, 1)
	sim.processes[3].up = false
	sim.run(100 * ms)
	sim.start(3, nil)
	sim.until(5*sec, func() bool { return sim.converged(nil) })
	if sim.falseVerdicts > 0 {
		t.Errorf("a restart within 100 ms: %d false verdicts", sim.falseVerdicts)
	}
	// The clock was set back.
	sim.processes[4].up = false
	sim.run(100 * ms)
	sim.start(4, func(c *Config) { c.Epoch = 5 })
	sim.until(5*sec, func() bool { return sim.converged(nil) })
	for range 15 {
		sim.processes[5].up = false
		sim.run(50 * ms)
		sim.start(5, nil)
		sim.run(1950 * ms)
	}
	sim.until(5*sec, func() bool { return sim.converged(nil) })
	if sim.falseVerdicts > 0 {
		t.Errorf("a restart every 2 s: %d false verdicts", sim.falseVerdicts)
	}
	sim.processes = append(sim.processes, &process{})
	sim.start(9, func(c *Config) { c.Name = "p6" })
	sim.until(10*sec, func() bool { return sim.processes[6].n.Displaced() && sim.converged(nil) })
	sim.run(2 * sec)
	if sim.processes[9].n.Displaced() || !hasEvent(sim.processes[6], Displaced) || !hasEvent(sim.processes[9], NameConflict) {
		t.Errorf("two processes with one name: %v, %v", sim.processes[6].events, sim.processes[9].events)
	}
}

func hasEvent(p *process, k EventKind) bool {
	return slices.ContainsFunc(p.events, func(e Event) bool { return e.Kind == k })
}

// TestMassStartAndFailure starts 50 processes at once with one of three seeds dead, then kills 70 %
// of them at once.
func TestMassStartAndFailure(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.add(50)
	sim.processes[1].up = false
	joined := sim.until(10*sec, func() bool { return sim.converged(nil) })
	sim.run(10 * sec)
	for i := range 35 {
		sim.kill(i)
	}
	settled := sim.until(30*sec, func() bool { return sim.converged(nil) })
	t.Logf("all joined after %v, 35 removed after %v", joined, settled)
	if sim.falseVerdicts > 0 {
		t.Errorf("%d false verdicts", sim.falseVerdicts)
	}
}

// TestLeave checks that a process that announces that it leaves is recorded as Left, not Gone, and
// that a delayed datagram does not bring it back.
func TestLeave(t *testing.T) {
	sim := newConverged(t, 20, 4)
	sim.link = lossy(0.1)
	sim.processes[7].n.Leave(sim.now)
	sim.flush(7)
	sim.run(sec)
	sim.processes[7].up = false
	sim.until(5*sec, func() bool { return sim.converged(nil) })
	for i, p := range sim.processes {
		m, _ := p.n.find(IDOf("p7"))
		if i != 7 && (m == nil || m.state != Left || hasEvent(p, DeclaredGone)) {
			t.Errorf("process %d has the entry %v", i, m)
		}
	}
}

// TestForgedReports checks that the claims of a single member add, remove or change no member,
// whatever they say, and cause a bounded number of datagrams.
func TestForgedReports(t *testing.T) {
	t.Parallel()
	sim := newConverged(t, 12, 5)
	attacker := sim.processes[11].n
	forgedCount := 0
	forge := func(kind byte, to int, items ...[]byte) {
		forgedCount++
		d := attacker.newDatagram(kind, 0, sim.rng.Uint32())
		for _, it := range items {
			d.add(it)
		}
		attacker.send(d, addrOf(to), true)
	}
	sent := func() (n uint64) {
		for _, p := range sim.processes[:11] {
			n += p.n.Stats().Sent
		}
		return n
	}
	sentIdle := sent()
	sim.run(20 * sec)
	sentIdle = sent() - sentIdle
	before := sent()
	for range 200 {
		for to := range 11 {
			for i := range 11 {
				m := sim.processes[i].n.self
				gone := m
				gone.state = Gone
				highIncarnation := m
				highIncarnation.incarnation = maxIncarnation
				laterEpoch := m
				laterEpoch.epoch += 10
				unknown := member{name: fmt.Sprint("nobody", sim.rng.IntN(1000)), addr: addrOf(5000), epoch: 9}
				about := m
				about.state, about.incarnation = Gone, m.incarnation
				forge(kindPing, to, statusItem(&gone), recordItem(&gone))
				forge(kindPing, to, recordItem(&highIncarnation))
				forge(kindRecords, to, recordItem(&laterEpoch), recordItem(&unknown))
				forge(kindPing, to, aboutReceiverItem(&about))
				forge(kindVotes, to, voteItem(m.id, voteSilent, m.epoch, m.incarnation))
			}
			forge(kindPing, to, aboutReceiverItem(&member{state: Gone, epoch: sim.processes[to].n.self.epoch, incarnation: maxIncarnation}))
			laterEpoch := aboutReceiverItem(&member{state: Alive, epoch: sim.processes[to].n.self.epoch + 9})
			forge(kindPing, to, laterEpoch)
			for i := range 11 { // forged in the names of other processes
				as := *attacker
				as.self, as.sends = sim.processes[i].n.self, nil
				d := as.newDatagram(kindPing, 0, sim.rng.Uint32())
				d.add(laterEpoch)
				as.send(d, addrOf(to), true)
				attacker.sends = append(attacker.sends, as.sends...)
				forgedCount++
			}
		}
		sim.flush(11)
		sim.run(100 * ms)
	}
	sentUnderAttack := sent() - before
	sim.run(5 * sec)
	if sim.falseVerdicts > 0 || !sim.converged(nil) {
		t.Errorf("%d false verdicts; %s", sim.falseVerdicts, sim)
	}
	for i, p := range sim.processes[:11] {
		if p.n.Displaced() || p.n.LiveCount() != 12 || len(p.n.candidates) > maxCandidates {
			t.Errorf("process %d: displaced %v, %d live", i, p.n.Displaced(), p.n.LiveCount())
		}
	}
	t.Logf("%d datagrams in 20 s idle, %d with %d forged ones", sentIdle, sentUnderAttack, forgedCount)
	if sentUnderAttack-sentIdle > 4*uint64(forgedCount) {
		t.Errorf("%d forged datagrams caused %d", forgedCount, sentUnderAttack-sentIdle)
	}
}

// TestStoppedClock checks that a process whose clock has stopped declares nobody gone and still
// answers, and that a process starved of CPU is not declared gone.
func TestStoppedClock(t *testing.T) {
	sim := newConverged(t, 9, 6)
	sim.processes[2].clockStopped = true
	sim.kill(8)
	sim.run(30 * sec)
	if sim.processes[2].n.Stats().Verdicts > 0 || sim.falseVerdicts > 0 {
		t.Errorf("%d verdicts, %d false", sim.processes[2].n.Stats().Verdicts, sim.falseVerdicts)
	}
	sim.processes[2].clockStopped = false
	sim.until(10*sec, func() bool { return sim.converged(nil) })
	before := sim.processes[3].n.Stats().Verdicts
	for range 60 { // a tenth of a core, in slices
		sim.freeze(3, 900*ms)
		sim.run(sec)
	}
	if sim.falseVerdicts > 0 || sim.processes[3].n.Stats().Verdicts > before {
		t.Errorf("starved process: %d false verdicts, %d by it", sim.falseVerdicts, sim.processes[3].n.Stats().Verdicts)
	}
	sim.until(10*sec, func() bool { return sim.converged(nil) })
}

// TestSafeguards checks that the tests above depend on the quorum and on each process's checks of
// its own health: without either there are false verdicts.
func TestSafeguards(t *testing.T) {
	falseVerdictsAfterCut := func(modify func(*Node)) int {
		sim := newSimulation(t, 1)
		sim.modifyNode = modify
		sim.add(9)
		sim.run(15 * sec)
		sim.link = func(from, to int) link { return link{cut: from == 0 && to <= 2, minDelay: ms} }
		sim.run(30 * sec)
		return sim.falseVerdicts
	}
	if falseVerdictsAfterCut(nil) != 0 || falseVerdictsAfterCut(func(n *Node) { n.singleWitness = true }) == 0 {
		t.Error("the quorum makes no difference: a single witness caused no false verdict, or the quorum did")
	}
	// Three of five processes receive a fifth of the datagrams sent to them.
	falseVerdictsWithLossyInbound := func(modify func(*Node)) (verdicts int) {
		for seed := range 4 {
			sim := newSimulation(t, uint64(seed))
			sim.modifyNode = modify
			sim.add(5)
			sim.run(15 * sec)
			sim.link = func(_, to int) link {
				if to < 3 {
					return link{loss: 0.8, minDelay: ms}
				}
				return link{minDelay: ms}
			}
			sim.run(2 * time.Minute)
			verdicts += sim.falseVerdicts
		}
		return verdicts
	}
	with, without := falseVerdictsWithLossyInbound(nil), falseVerdictsWithLossyInbound(func(n *Node) { n.trustSelf = true })
	t.Logf("lossy inbound links: %d false verdicts, %d without self-checks", with, without)
	if with*10 > without || without == 0 {
		t.Errorf("the self-checks make too little difference: %d and %d false verdicts", with, without)
	}
}

// TestSchedules runs random faults and checks the invariants: there are never two epochs of a name
// at once, a return without a new epoch or incarnation, a verdict on a healthy process, or views
// that stay different.
func TestSchedules(t *testing.T) {
	t.Parallel()
	for i := range *playCount {
		runSchedule(t, *firstSeed+uint64(i))
	}
}

func runSchedule(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	n := 3 + rng.IntN(7)
	sim := newSimulation(t, seed)
	type stamp struct {
		epoch uint64
		inc   uint32
	}
	gone := map[string]stamp{}
	sim.onEvent = func(of int, e Event) {
		key := fmt.Sprint(of, " ", sim.processes[of].generation, " ", e.Member.Name)
		switch e.Kind {
		case DeclaredGone, Departed:
			gone[key] = stamp{e.Member.Epoch, e.Member.Incarnation}
		case Joined:
			if s, ok := gone[key]; ok && (e.Member.Epoch < s.epoch || e.Member.Epoch == s.epoch && e.Member.Incarnation <= s.inc) {
				t.Errorf("seed %d: %s rejoined as %v after %v", seed, key, e.Member, s)
			}
		}
	}
	sim.add(n)
	sim.run(time.Duration(rng.Int64N(int64(5 * sec))))
	for range 1 + rng.IntN(5) {
		who, d := rng.IntN(n), time.Duration(rng.Int64N(int64(8*sec)))
		sim.faulty[who] = true
		switch rng.IntN(6) {
		case 0:
			sim.processes[who].up = false
			sim.run(time.Duration(rng.Int64N(int64(4 * sec))))
			sim.start(who, nil)
		case 1:
			sim.freeze(who, d)
		case 2:
			sim.link = lossy(0.3 * rng.Float64())
		case 3:
			sim.link = func(from, to int) link { return link{cut: from == who, minDelay: ms} }
		case 4:
			sim.link = func(from, to int) link { return link{cut: to == who, minDelay: ms, jitter: 50 * ms} }
		case 5:
			for i := range n {
				sim.faulty[i] = true
			}
			sim.link = func(from, to int) link { return link{cut: (from < who) != (to < who), minDelay: ms} }
		}
		sim.run(d)
		if rng.IntN(2) == 0 {
			sim.link = lossy(0)
		}
	}
	sim.run(8 * sec) // all pauses have ended
	sim.link = lossy(0)
	sim.until(90*sec, func() bool { return sim.converged(nil) })
	if sim.falseVerdicts > 0 {
		t.Errorf("seed %d: %d false verdicts", seed, sim.falseVerdicts)
	}
}

// TestFleetSizes checks that the idle traffic of a process does not grow with the fleet, and bounds
// the memory per member.
func TestFleetSizes(t *testing.T) {
	sizes := []int{100, 1000}
	if *playCount > 200 {
		sizes = append(sizes, 5000)
	}
	for _, n := range sizes {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		sim := newSimulation(t, 7)
		sim.add(n)
		for _, p := range sim.processes { // as if all had met
			for i, q := range sim.processes {
				if q != p {
					m := q.n.self
					m.name = string(append([]byte(nil), m.name...))
					p.n.table = append(p.n.table, &m)
					p.n.digest += digestOf(&m)
					_ = i
				}
			}
			p.n.liveCount = n - 1
			slices.SortFunc(p.n.table, func(a, b *member) int {
				if a.id < b.id {
					return -1
				}
				return 1
			})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytesPerMember := float64(after.HeapAlloc-before.HeapAlloc) / float64(n) / float64(n)
		sim.run(3 * sec)
		for _, p := range sim.processes {
			p.bytes = 0
		}
		sim.run(5 * sec)
		total := 0
		for _, p := range sim.processes {
			total += p.bytes
		}
		at := sim.now
		sim.kill(n / 2)
		first := time.Duration(0)
		sim.onEvent = func(_ int, e Event) {
			if e.Kind == DeclaredGone && first == 0 {
				first = sim.now - at
			}
		}
		all := sim.until(30*sec, func() bool { return sim.converged(nil) })
		most := 0
		for _, p := range sim.processes {
			most = max(most, p.bytes)
		}
		t.Logf("%d processes: %d bytes/s each when idle, %.0f bytes of memory per member, a kill detected after %v and by all after %v, at most %d bytes sent since", n, total/5/n, bytesPerMember, first, all, most)
		if total/5/n > 1000 || n >= 1000 && bytesPerMember > 200 {
			t.Errorf("%d processes: %d bytes/s, %.0f bytes per member", n, total/5/n, bytesPerMember)
		}
	}
}

// TestInvalidConfig checks that an invalid configuration is rejected with an error that names the
// setting.
func TestInvalidConfig(t *testing.T) {
	good := Config{Name: "a", Cluster: "c", Address: addrOf(1), Epoch: 1}
	for want, change := range map[string]func(*Config){
		"name":     func(c *Config) { c.Name = strings.Repeat("x", MaxNameLen+1) },
		"zone":     func(c *Config) { c.Zone = strings.Repeat("x", MaxZoneLen+1) },
		"cluster":  func(c *Config) { c.Cluster = "" },
		"address":  func(c *Config) { c.Address = netip.AddrPort{} },
		"epoch":    func(c *Config) { c.Epoch = maxEpoch },
		"observed": func(c *Config) { c.ObserverCount = 2 },
		"silence":  func(c *Config) { c.Silence = time.Second },
		"forget":   func(c *Config) { c.Forget = time.Second },
		"most":     func(c *Config) { c.MaxMembers = 1 },
		"datagram": func(c *Config) { c.DatagramSize = 255 },
	} {
		c := good
		change(&c)
		if _, err := New(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	if _, err := New(good); err != nil {
		t.Error(err)
	}
}

// BenchmarkIdleSecond measures what an idle second costs each of 300 processes, including the
// simulation itself.
func BenchmarkIdleSecond(b *testing.B) {
	sim := newConverged(b, 300, 1)
	sim.run(20 * sec)
	for b.Loop() {
		sim.run(sec)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/300, "us/process")
}

package members

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// link describes the delivery of datagrams in one direction between two processes.
type link struct {
	cut              bool
	loss, dup        float64
	minDelay, jitter time.Duration
}

// simulation runs processes in virtual time. Equal seeds give equal runs.
type simulation struct {
	t             testing.TB
	rng           *rand.Rand
	now           time.Duration
	events        eventQueue
	seq           int
	processes     []*process
	byAddress     map[netip.AddrPort]int
	link          func(from, to int) link
	tickInterval  time.Duration
	swimSize      int         // number of processes if plain SWIM runs in place of Nodes
	modifyNode    func(*Node) // applied to each new node
	falseVerdicts int         // verdicts on processes that were up and never cut off or stalled
	flaps         map[string]int
	faulty        map[int]bool // processes on which a verdict is not an error
	onEvent       func(of int, e Event)
}

// participant is what the simulation runs: a Node, or plain SWIM.
type participant interface {
	Tick(time.Duration)
	Receive(time.Duration, []byte)
	Ready() ([]Datagram, []Event)
}

type process struct {
	participant
	n            *Node
	up           bool
	frozenUntil  time.Duration // until then the process is stalled
	inbox        [][]byte
	clockStopped bool // the process receives no ticks
	generation   int
	bytes        int
	events       []Event
}

type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), byAddress: map[netip.AddrPort]int{}, tickInterval: 50 * ms, flaps: map[string]int{}, faulty: map[int]bool{}}
	sim.link = func(int, int) link { return link{minDelay: ms, jitter: 2 * ms} }
	return sim
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.events, scheduledEvent{sim.now + d, sim.seq, run})
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.events) > 0 && sim.events[0].at <= end {
		event := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = event.at
		event.run()
	}
	sim.now = end
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + i>>16), byte(i >> 8), byte(i)}), 7946)
}

// config returns the configuration of process i for its current start.
func (sim *simulation) config(i, start int) Config {
	return Config{Name: fmt.Sprintf("p%d", i), Zone: "z", Cluster: "c", Address: addrOf(i), Epoch: uint64(1_700_000_000_000 + int(sim.now/ms) + start), Seed: sim.rng.Uint64()}
}

// add starts n processes that use the first ones as seeds.
func (sim *simulation) add(n int) {
	for range n {
		sim.processes = append(sim.processes, &process{})
		sim.start(len(sim.processes)-1, nil)
	}
}

func (sim *simulation) start(i int, modify func(*Config)) {
	p := sim.processes[i]
	p.generation++
	cfg := sim.config(i, p.generation)
	if modify != nil {
		modify(&cfg)
	}
	n, err := New(cfg)
	if err != nil {
		sim.t.Fatal(err)
	}
	if sim.modifyNode != nil {
		sim.modifyNode(n)
	}
	n.SetSeeds([]netip.AddrPort{addrOf(0), addrOf(1), addrOf(2)})
	p.n, p.participant, p.up, p.inbox = n, n, true, nil
	if sim.swimSize > 0 {
		p.participant = newSWIM(i, sim.swimSize, sim.rng.Uint64())
	}
	sim.byAddress[cfg.Address] = i
	generation := p.generation
	var tick func()
	tick = func() {
		if !p.up || p.generation != generation {
			return
		}
		if sim.now >= p.frozenUntil {
			sim.receiveInbox(i)
			if !p.clockStopped {
				p.Tick(sim.now)
			}
			sim.flush(i)
		}
		sim.after(sim.tickInterval, tick)
	}
	sim.after(time.Duration(sim.rng.Int64N(int64(sim.tickInterval))), tick)
}

func (sim *simulation) receiveInbox(i int) {
	p := sim.processes[i]
	inbox := p.inbox
	p.inbox = nil
	for _, b := range inbox {
		p.Receive(sim.now, b)
	}
}

func (sim *simulation) kill(i int) { sim.processes[i].up = false; sim.faulty[i] = true }

func (sim *simulation) freeze(i int, d time.Duration) { sim.processes[i].frozenUntil = sim.now + d }

func (sim *simulation) flush(i int) {
	p := sim.processes[i]
	sends, events := p.Ready()
	for _, e := range events {
		p.events = append(p.events, e)
		if sim.onEvent != nil {
			sim.onEvent(i, e)
		}
		if e.Kind == DeclaredGone {
			sim.flaps[fmt.Sprint(i, e.Member.Name)]++
			var of int
			fmt.Sscanf(e.Member.Name, "p%d", &of)
			if !sim.faulty[of] {
				sim.falseVerdicts++
			}
		}
	}
	for _, d := range sends {
		p.bytes += len(d.Data)
		if len(d.Data) > p.n.cfg.DatagramSize {
			sim.t.Fatalf("datagram of %d bytes exceeds DatagramSize", len(d.Data))
		}
		to, ok := sim.byAddress[d.To]
		if !ok {
			continue
		}
		sim.deliver(i, to, d.Data)
	}
}

func (sim *simulation) deliver(from, to int, b []byte) {
	l := sim.link(from, to)
	copies := 1
	if l.dup > 0 && sim.rng.Float64() < l.dup {
		copies = 2
	}
	for range copies {
		if l.cut || l.loss > 0 && sim.rng.Float64() < l.loss {
			continue
		}
		d := l.minDelay
		if l.jitter > 0 {
			d += time.Duration(sim.rng.Int64N(int64(l.jitter)))
		}
		sim.after(d, func() {
			q := sim.processes[to]
			switch {
			case !q.up:
			case sim.now < q.frozenUntil:
				if len(q.inbox) < 200 { // capacity of a socket buffer
					q.inbox = append(q.inbox, b)
				}
			default:
				sim.receiveInbox(to)
				q.Receive(sim.now, b)
				sim.flush(to)
			}
		})
	}
}

// converged reports whether the included processes that are up (nil: all) know exactly one another.
func (sim *simulation) converged(included func(int) bool) bool {
	want, count := uint64(0), 0
	var views []uint64
	for i, p := range sim.processes {
		if p.up && (included == nil || included(i)) && p.n.self.present() && !p.n.displaced {
			want += digestOf(&p.n.self)
			count++
			views = append(views, p.n.ViewDigest())
		}
	}
	for _, v := range views {
		if v != want {
			return false
		}
	}
	return count > 0
}

// until runs until f holds, for at most d, and returns how long that took.
func (sim *simulation) until(d time.Duration, f func() bool) time.Duration {
	started := sim.now
	for sim.now-started < d {
		if f() {
			return sim.now - started
		}
		sim.run(50 * ms)
	}
	if !f() {
		sim.t.Errorf("not within %v: %s", d, sim)
	}
	return sim.now - started
}

func (sim *simulation) String() string {
	text := ""
	for i, p := range sim.processes {
		if i == 12 {
			return text + "..."
		}
		text += fmt.Sprintf("[%d up=%v living=%d out=%v] ", i, p.up, p.n.LiveCount(), p.n.displaced)
	}
	return text
}

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

// link is how datagrams fare in one direction between two.
type link struct {
	cut              bool
	loss, dup        float64
	minDelay, jitter time.Duration
}

// world is processes in virtual time. Equal seeds give equal plays.
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
	swimSize      int         // processes, if plain SWIM is played in place of Nodes
	modifyNode    func(*Node) // changes each new node
	falseVerdicts int         // verdicts on processes that were up and never cut or stopped
	flaps         map[string]int
	faulty        map[int]bool // whose verdicts are no mistakes
	onEvent       func(of int, e Event)
}

// player is what the world plays: a Node, or the baseline.
type participant interface {
	Tick(time.Duration)
	Receive(time.Duration, []byte)
	Ready() ([]Datagram, []Event)
}

type process struct {
	participant
	n            *Node
	up           bool
	frozenUntil  time.Duration // until then it stands still
	inbox        [][]byte
	clockStopped bool // it stands
	start        int
	bytes        int
	events       []Event
}

type scheduledEvent struct {
	at  time.Duration
	seq int
	f   func()
}

type eventQueue []scheduledEvent

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventQueue) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), byAddress: map[netip.AddrPort]int{}, tickInterval: 50 * ms, flaps: map[string]int{}, faulty: map[int]bool{}}
	w.link = func(int, int) link { return link{minDelay: ms, jitter: 2 * ms} }
	return w
}

func (w *simulation) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, scheduledEvent{w.now + d, w.seq, f})
}

func (w *simulation) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		h := heap.Pop(&w.events).(scheduledEvent)
		w.now = h.at
		h.f()
	}
	w.now = end
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + i>>16), byte(i >> 8), byte(i)}), 7946)
}

// config is that of process i at its present start.
func (w *simulation) config(i, start int) Config {
	return Config{Name: fmt.Sprintf("p%d", i), Zone: "z", Cluster: "c", Address: addrOf(i), Epoch: uint64(1_700_000_000_000 + int(w.now/ms) + start), Seed: w.rng.Uint64()}
}

// add starts n processes that know the first ones as seeds.
func (w *simulation) add(n int) {
	for range n {
		w.processes = append(w.processes, &process{})
		w.start(len(w.processes)-1, nil)
	}
}

func (w *simulation) start(i int, change func(*Config)) {
	p := w.processes[i]
	p.start++
	cfg := w.config(i, p.start)
	if change != nil {
		change(&cfg)
	}
	n, err := New(cfg)
	if err != nil {
		w.t.Fatal(err)
	}
	if w.modifyNode != nil {
		w.modifyNode(n)
	}
	n.SetSeeds([]netip.AddrPort{addrOf(0), addrOf(1), addrOf(2)})
	p.n, p.participant, p.up, p.inbox = n, n, true, nil
	if w.swimSize > 0 {
		p.participant = newSWIM(i, w.swimSize, w.rng.Uint64())
	}
	w.byAddress[cfg.Address] = i
	mine := p.start
	var tick func()
	tick = func() {
		if !p.up || p.start != mine {
			return
		}
		if w.now >= p.frozenUntil {
			w.receiveInbox(i)
			if !p.clockStopped {
				p.Tick(w.now)
			}
			w.flush(i)
		}
		w.after(w.tickInterval, tick)
	}
	w.after(time.Duration(w.rng.Int64N(int64(w.tickInterval))), tick)
}

func (w *simulation) receiveInbox(i int) {
	p := w.processes[i]
	inbox := p.inbox
	p.inbox = nil
	for _, b := range inbox {
		p.Receive(w.now, b)
	}
}

func (w *simulation) kill(i int) { w.processes[i].up = false; w.faulty[i] = true }

func (w *simulation) freeze(i int, d time.Duration) { w.processes[i].frozenUntil = w.now + d }

func (w *simulation) flush(i int) {
	p := w.processes[i]
	sends, events := p.Ready()
	for _, e := range events {
		p.events = append(p.events, e)
		if w.onEvent != nil {
			w.onEvent(i, e)
		}
		if e.Kind == DeclaredGone {
			w.flaps[fmt.Sprint(i, e.Member.Name)]++
			var of int
			fmt.Sscanf(e.Member.Name, "p%d", &of)
			if !w.faulty[of] {
				w.falseVerdicts++
			}
		}
	}
	for _, d := range sends {
		p.bytes += len(d.Data)
		if len(d.Data) > p.n.cfg.DatagramSize {
			w.t.Fatalf("a datagram of %d bytes", len(d.Data))
		}
		to, ok := w.byAddress[d.To]
		if !ok {
			continue
		}
		w.deliver(i, to, d.Data)
	}
}

func (w *simulation) deliver(from, to int, b []byte) {
	l := w.link(from, to)
	copies := 1
	if l.dup > 0 && w.rng.Float64() < l.dup {
		copies = 2
	}
	for range copies {
		if l.cut || l.loss > 0 && w.rng.Float64() < l.loss {
			continue
		}
		d := l.minDelay
		if l.jitter > 0 {
			d += time.Duration(w.rng.Int64N(int64(l.jitter)))
		}
		w.after(d, func() {
			q := w.processes[to]
			switch {
			case !q.up:
			case w.now < q.frozenUntil:
				if len(q.inbox) < 200 { // what a socket's buffer holds
					q.inbox = append(q.inbox, b)
				}
			default:
				w.receiveInbox(to)
				q.Receive(w.now, b)
				w.flush(to)
			}
		})
	}
}

// agreed reports whether those of the processes that are up and of part (all: nil) know just one another.
func (w *simulation) converged(part func(int) bool) bool {
	want, count := uint64(0), 0
	var views []uint64
	for i, p := range w.processes {
		if p.up && (part == nil || part(i)) && p.n.self.present() && !p.n.displaced {
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

// until runs until f holds, at most d, and returns how long that took.
func (w *simulation) until(d time.Duration, f func() bool) time.Duration {
	began := w.now
	for w.now-began < d {
		if f() {
			return w.now - began
		}
		w.run(50 * ms)
	}
	if !f() {
		w.t.Errorf("not within %v: %s", d, w)
	}
	return w.now - began
}

func (w *simulation) String() string {
	text := ""
	for i, p := range w.processes {
		if i == 12 {
			return text + "..."
		}
		text += fmt.Sprintf("[%d up=%v living=%d out=%v] ", i, p.up, p.n.LiveCount(), p.n.displaced)
	}
	return text
}

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
	cut         bool
	loss, dup   float64
	least, var_ time.Duration
}

// world is processes in virtual time. Equal seeds give equal plays.
type world struct {
	t        testing.TB
	rng      *rand.Rand
	now      time.Duration
	queue    happenings
	seq      int
	all      []*process
	at       map[netip.AddrPort]int
	link     func(from, to int) link
	every    time.Duration
	baseline int         // processes, if plain SWIM is played in place of Nodes
	alter    func(*Node) // changes each new node
	false_   int         // verdicts on processes that were up and never cut or stopped
	flaps    map[string]int
	fault    map[int]bool // whose verdicts are no mistakes
	onEvent  func(of int, e Event)
}

// player is what the world plays: a Node, or the baseline.
type player interface {
	Tick(time.Duration)
	Receive(time.Duration, []byte)
	Ready() ([]Datagram, []Event)
}

type process struct {
	player
	n      *Node
	up     bool
	frozen time.Duration // until then it stands still
	inbox  [][]byte
	clock  bool // it stands
	start  int
	bytes  int
	events []Event
}

type happening struct {
	at  time.Duration
	seq int
	f   func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), at: map[netip.AddrPort]int{}, every: 50 * ms, flaps: map[string]int{}, fault: map[int]bool{}}
	w.link = func(int, int) link { return link{least: ms, var_: 2 * ms} }
	return w
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, happening{w.now + d, w.seq, f})
}

func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		h := heap.Pop(&w.queue).(happening)
		w.now = h.at
		h.f()
	}
	w.now = end
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + i>>16), byte(i >> 8), byte(i)}), 7946)
}

// config is that of process i at its present start.
func (w *world) config(i, start int) Config {
	return Config{Name: fmt.Sprintf("p%d", i), Zone: "z", Cluster: "c", Address: addrOf(i), Epoch: uint64(1_700_000_000_000 + int(w.now/ms) + start), Seed: w.rng.Uint64()}
}

// add starts n processes that know the first ones as seeds.
func (w *world) add(n int) {
	for range n {
		w.all = append(w.all, &process{})
		w.start(len(w.all)-1, nil)
	}
}

func (w *world) start(i int, change func(*Config)) {
	p := w.all[i]
	p.start++
	cfg := w.config(i, p.start)
	if change != nil {
		change(&cfg)
	}
	n, err := New(cfg)
	if err != nil {
		w.t.Fatal(err)
	}
	if w.alter != nil {
		w.alter(n)
	}
	n.SetSeeds([]netip.AddrPort{addrOf(0), addrOf(1), addrOf(2)})
	p.n, p.player, p.up, p.inbox = n, n, true, nil
	if w.baseline > 0 {
		p.player = newSWIM(i, w.baseline, w.rng.Uint64())
	}
	w.at[cfg.Address] = i
	mine := p.start
	var tick func()
	tick = func() {
		if !p.up || p.start != mine {
			return
		}
		if w.now >= p.frozen {
			w.wake(i)
			if !p.clock {
				p.Tick(w.now)
			}
			w.flush(i)
		}
		w.after(w.every, tick)
	}
	w.after(time.Duration(w.rng.Int64N(int64(w.every))), tick)
}

func (w *world) wake(i int) {
	p := w.all[i]
	inbox := p.inbox
	p.inbox = nil
	for _, b := range inbox {
		p.Receive(w.now, b)
	}
}

func (w *world) kill(i int) { w.all[i].up = false; w.fault[i] = true }

func (w *world) freeze(i int, d time.Duration) { w.all[i].frozen = w.now + d }

func (w *world) flush(i int) {
	p := w.all[i]
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
			if !w.fault[of] {
				w.false_++
			}
		}
	}
	for _, d := range sends {
		p.bytes += len(d.Data)
		if len(d.Data) > p.n.cfg.DatagramSize {
			w.t.Fatalf("a datagram of %d bytes", len(d.Data))
		}
		to, ok := w.at[d.To]
		if !ok {
			continue
		}
		w.carry(i, to, d.Data)
	}
}

func (w *world) carry(from, to int, b []byte) {
	l := w.link(from, to)
	copies := 1
	if l.dup > 0 && w.rng.Float64() < l.dup {
		copies = 2
	}
	for range copies {
		if l.cut || l.loss > 0 && w.rng.Float64() < l.loss {
			continue
		}
		d := l.least
		if l.var_ > 0 {
			d += time.Duration(w.rng.Int64N(int64(l.var_)))
		}
		w.after(d, func() {
			q := w.all[to]
			switch {
			case !q.up:
			case w.now < q.frozen:
				if len(q.inbox) < 200 { // what a socket's buffer holds
					q.inbox = append(q.inbox, b)
				}
			default:
				w.wake(to)
				q.Receive(w.now, b)
				w.flush(to)
			}
		})
	}
}

// agreed reports whether those of the processes that are up and of part (all: nil) know just one another.
func (w *world) agreed(part func(int) bool) bool {
	want, count := uint64(0), 0
	var views []uint64
	for i, p := range w.all {
		if p.up && (part == nil || part(i)) && p.n.self.there() && !p.n.out {
			want += mark(&p.n.self)
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
func (w *world) until(d time.Duration, f func() bool) time.Duration {
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

func (w *world) String() string {
	text := ""
	for i, p := range w.all {
		if i == 12 {
			return text + "..."
		}
		text += fmt.Sprintf("[%d up=%v living=%d out=%v] ", i, p.up, p.n.LiveCount(), p.n.out)
	}
	return text
}

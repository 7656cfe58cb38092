package members

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// swim is plain SWIM (Das, Gupta, Motivala, DSN 2002, with its suspicion), to measure against: a random member is pinged each period, at
// first directly and then through three others; who does not answer is suspect, and gone when it does not say otherwise in time. What
// anybody tells is believed. All processes are known from the start.
type swim struct {
	me, n  int
	rng    *rand.Rand
	now    time.Duration
	known  []swimMember
	order  []int
	probe  int // who is pinged in this period
	acked  bool
	asked  bool
	period time.Duration // its beginning
	begun  bool
	for_   map[[2]int]bool // asker and target of indirect pings under way
	news   map[int]int     // of whom, how often it is still told
	sends  []Datagram
	events []Event
}

type swimMember struct {
	state State
	inc   uint32
	since time.Duration
}

const (
	swimPeriod, swimTimeout = sec, 500 * ms
	swimPing, swimAck       = 1, 2
	swimAsk, swimToldAck    = 3, 4
)

func newSWIM(me, n int, seed uint64) *swim {
	return &swim{me: me, n: n, rng: rand.New(rand.NewPCG(seed, 5)), known: make([]swimMember, n), for_: map[[2]int]bool{}, news: map[int]int{}, probe: -1}
}

func (s *swim) Ready() ([]Datagram, []Event) {
	a, b := s.sends, s.events
	s.sends, s.events = nil, nil
	return a, b
}

// send sends a message about a target, with news.
func (s *swim) send(to int, kind byte, target int) {
	b := []byte{kind, byte(s.me), byte(target), byte(s.known[to].state)}
	b = binary.BigEndian.AppendUint32(b, s.known[to].inc) // so that one that is held for gone can say otherwise
	for i := range s.n {
		if left := s.news[i]; left > 0 && len(b) < 200 {
			s.news[i]--
			b = append(b, byte(i), byte(s.known[i].state))
			b = binary.BigEndian.AppendUint32(b, s.known[i].inc)
		}
	}
	s.sends = append(s.sends, Datagram{To: addrOf(to), Data: b})
}

func (s *swim) spread(i int) { s.news[i] = 4 * int(1+math.Log2(float64(s.n))) }

// suspicion is how long a suspect has to say otherwise, as hashicorp/memberlist has it by default.
func (s *swim) suspicion() time.Duration {
	return time.Duration(4 * max(1, math.Log10(float64(s.n))) * float64(swimPeriod))
}

func (s *swim) Tick(now time.Duration) {
	s.now = now
	if !s.begun {
		s.begun, s.period = true, now
	}
	for i := range s.known {
		if m := &s.known[i]; m.state == Suspect && now-m.since > s.suspicion() {
			s.learn(i, Gone, m.inc)
		}
	}
	if s.probe >= 0 && !s.acked && !s.asked && now-s.period > swimTimeout {
		s.asked = true
		for range 3 {
			if via := s.rng.IntN(s.n); via != s.me && via != s.probe {
				s.send(via, swimAsk, s.probe)
			}
		}
	}
	if now-s.period < swimPeriod && s.probe >= 0 {
		return
	}
	if s.probe >= 0 && !s.acked && s.known[s.probe].state == Alive {
		s.learn(s.probe, Suspect, s.known[s.probe].inc)
	}
	s.period, s.acked, s.asked = now, false, false
	for tries := 0; ; tries++ {
		if len(s.order) == 0 {
			s.order = s.rng.Perm(s.n)
		}
		s.probe = s.order[0]
		s.order = s.order[1:]
		if s.probe != s.me && (s.known[s.probe].state != Gone || tries > s.n) {
			break
		}
	}
	s.send(s.probe, swimPing, s.probe)
	if gone := s.rng.IntN(s.n); s.known[gone].state == Gone {
		s.send(gone, swimPing, gone)
	}
}

func (s *swim) learn(i int, state State, inc uint32) {
	m := &s.known[i]
	if i == s.me {
		if state != Alive && inc >= m.inc {
			m.inc = inc + 1
			s.spread(i)
		}
		return
	}
	if inc < m.inc || inc == m.inc && state <= m.state {
		return
	}
	if state == Gone && m.state != Gone {
		s.events = append(s.events, Event{Kind: DeclaredGone, Member: Member{Name: fmt.Sprintf("p%d", i)}})
	}
	m.state, m.inc, m.since = state, inc, s.now
	s.spread(i)
}

func (s *swim) Receive(now time.Duration, b []byte) {
	s.now = max(s.now, now)
	kind, from, target := b[0], int(b[1]), int(b[2])
	s.learn(s.me, State(b[3]), binary.BigEndian.Uint32(b[4:]))
	for b := b[8:]; len(b) >= 6; b = b[6:] {
		s.learn(int(b[0]), State(b[1]), binary.BigEndian.Uint32(b[2:]))
	}
	switch kind {
	case swimPing:
		s.send(from, swimAck, s.me)
	case swimAsk:
		s.for_[[2]int{from, target}] = true
		s.send(target, swimPing, target)
	case swimAck, swimToldAck:
		if target == s.probe {
			s.acked = true
		}
		for asker := range s.n {
			if kind == swimAck && s.for_[[2]int{asker, from}] {
				delete(s.for_, [2]int{asker, from})
				s.send(asker, swimToldAck, from)
			}
		}
	}
}

// TestBesidePlainSWIM plays half an hour of the same mixed faults with Nodes and with plain SWIM.
func TestBesidePlainSWIM(t *testing.T) {
	t.Parallel()
	play := func(baseline int, seed uint64) (false_, verdicts int) {
		w := newWorld(t, seed)
		w.baseline = baseline
		w.add(20)
		w.run(20 * sec)
		rng := rand.New(rand.NewPCG(seed, 11))
		w.onEvent = func(_ int, e Event) {
			if e.Kind == DeclaredGone {
				verdicts++
			}
		}
		for w.now < 30*time.Minute {
			who, other := rng.IntN(20), rng.IntN(20)
			clear(w.fault)
			switch rng.IntN(6) {
			case 0:
				w.link = func(from, to int) link { return link{cut: from == who && to == other, least: ms} }
			case 1:
				w.fault[who] = true
				w.link = func(from, to int) link { return link{cut: to == who, least: ms} }
			case 2:
				w.fault[who] = true
				w.link = func(from, to int) link { return link{cut: from == who, loss: 0.1, least: ms} }
			case 3:
				w.link = func(int, int) link { return link{loss: 0.3, var_: 500 * ms} }
			case 4:
				for i := range 20 {
					if i%3 == who%3 {
						w.freeze(i, 1900*ms)
					}
				}
			case 5:
				w.fault[who] = true
				w.freeze(who, 8*sec)
			}
			w.run(15 * sec)
			w.link = lossy(0)
			w.run(15 * sec)
		}
		return w.false_, verdicts
	}
	ours, theirs, of := 0, 0, [2]int{}
	for seed := range uint64(2) {
		a, v := play(0, seed)
		b, u := play(20, seed)
		ours, theirs, of[0], of[1] = ours+a, theirs+b, of[0]+v, of[1]+u
	}
	t.Logf("false verdicts in an hour of mixed faults: %d of %d, by plain SWIM %d of %d", ours, of[0], theirs, of[1])
	if ours != 0 || theirs == 0 {
		t.Errorf("%d false verdicts, %d by plain SWIM", ours, theirs)
	}
}

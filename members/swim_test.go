package members

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// swim is plain SWIM (Das, Gupta, Motivala, DSN 2002, with its suspicion mechanism), for
// comparison: a random member is pinged each period, first directly and then through three others.
// A member that does not answer is suspected, and is gone unless it refutes that in time. All
// reports are trusted. All processes are known from the start.
type swim struct {
	self, size   int
	rng          *rand.Rand
	now          time.Duration
	known        []swimMember
	order        []int
	target       int // member pinged in this period
	acked        bool
	indirectSent bool
	periodStart  time.Duration // start of the current period
	started      bool
	indirect     map[[2]int]bool // requester and target of pending indirect pings
	gossip       map[int]int     // per member, how often its update is still sent
	sends        []Datagram
	events       []Event
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
	return &swim{self: me, size: n, rng: rand.New(rand.NewPCG(seed, 5)), known: make([]swimMember, n), indirect: map[[2]int]bool{}, gossip: map[int]int{}, target: -1}
}

func (s *swim) Ready() ([]Datagram, []Event) {
	a, b := s.sends, s.events
	s.sends, s.events = nil, nil
	return a, b
}

// send sends a message about a target, with gossip.
func (s *swim) send(to int, kind byte, target int) {
	b := []byte{kind, byte(s.self), byte(target), byte(s.known[to].state)}
	// so that a receiver held for gone can refute it
	b = binary.BigEndian.AppendUint32(b, s.known[to].inc)
	for i := range s.size {
		if left := s.gossip[i]; left > 0 && len(b) < 200 {
			s.gossip[i]--
			b = append(b, byte(i), byte(s.known[i].state))
			b = binary.BigEndian.AppendUint32(b, s.known[i].inc)
		}
	}
	s.sends = append(s.sends, Datagram{To: addrOf(to), Data: b})
}

func (s *swim) enqueueGossip(i int) { s.gossip[i] = 4 * int(1+math.Log2(float64(s.size))) }

// suspicion returns the time a suspect has to refute, as in the defaults of hashicorp/memberlist.
func (s *swim) suspicion() time.Duration {
	return time.Duration(4 * max(1, math.Log10(float64(s.size))) * float64(swimPeriod))
}

func (s *swim) Tick(now time.Duration) {
	s.now = now
	if !s.started {
		s.started, s.periodStart = true, now
	}
	for i := range s.known {
		if m := &s.known[i]; m.state == Suspect && now-m.since > s.suspicion() {
			s.apply(i, Gone, m.inc)
		}
	}
	if s.target >= 0 && !s.acked && !s.indirectSent && now-s.periodStart > swimTimeout {
		s.indirectSent = true
		for range 3 {
			if via := s.rng.IntN(s.size); via != s.self && via != s.target {
				s.send(via, swimAsk, s.target)
			}
		}
	}
	if now-s.periodStart < swimPeriod && s.target >= 0 {
		return
	}
	if s.target >= 0 && !s.acked && s.known[s.target].state == Alive {
		s.apply(s.target, Suspect, s.known[s.target].inc)
	}
	s.periodStart, s.acked, s.indirectSent = now, false, false
	for tries := 0; ; tries++ {
		if len(s.order) == 0 {
			s.order = s.rng.Perm(s.size)
		}
		s.target = s.order[0]
		s.order = s.order[1:]
		if s.target != s.self && (s.known[s.target].state != Gone || tries > s.size) {
			break
		}
	}
	s.send(s.target, swimPing, s.target)
	if gone := s.rng.IntN(s.size); s.known[gone].state == Gone {
		s.send(gone, swimPing, gone)
	}
}

func (s *swim) apply(i int, state State, inc uint32) {
	m := &s.known[i]
	if i == s.self {
		if state != Alive && inc >= m.inc {
			m.inc = inc + 1
			s.enqueueGossip(i)
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
	s.enqueueGossip(i)
}

func (s *swim) Receive(now time.Duration, b []byte) {
	s.now = max(s.now, now)
	kind, from, target := b[0], int(b[1]), int(b[2])
	s.apply(s.self, State(b[3]), binary.BigEndian.Uint32(b[4:]))
	for b := b[8:]; len(b) >= 6; b = b[6:] {
		s.apply(int(b[0]), State(b[1]), binary.BigEndian.Uint32(b[2:]))
	}
	switch kind {
	case swimPing:
		s.send(from, swimAck, s.self)
	case swimAsk:
		s.indirect[[2]int{from, target}] = true
		s.send(target, swimPing, target)
	case swimAck, swimToldAck:
		if target == s.target {
			s.acked = true
		}
		for asker := range s.size {
			if kind == swimAck && s.indirect[[2]int{asker, from}] {
				delete(s.indirect, [2]int{asker, from})
				s.send(asker, swimToldAck, from)
			}
		}
	}
}

// TestComparisonWithPlainSWIM runs half an hour of the same mixed faults with Nodes and with plain
// SWIM.
func TestComparisonWithPlainSWIM(t *testing.T) {
	t.Parallel()
	simulate := func(swimSize int, seed uint64) (falseVerdicts, verdicts int) {
		sim := newSimulation(t, seed)
		sim.swimSize = swimSize
		sim.add(20)
		sim.run(20 * sec)
		rng := rand.New(rand.NewPCG(seed, 11))
		sim.onEvent = func(_ int, e Event) {
			if e.Kind == DeclaredGone {
				verdicts++
			}
		}
		for sim.now < 30*time.Minute {
			who, other := rng.IntN(20), rng.IntN(20)
			clear(sim.faulty)
			switch rng.IntN(6) {
			case 0:
				sim.link = func(from, to int) link { return link{cut: from == who && to == other, minDelay: ms} }
			case 1:
				sim.faulty[who] = true
				sim.link = func(from, to int) link { return link{cut: to == who, minDelay: ms} }
			case 2:
				sim.faulty[who] = true
				sim.link = func(from, to int) link { return link{cut: from == who, loss: 0.1, minDelay: ms} }
			case 3:
				sim.link = func(int, int) link { return link{loss: 0.3, jitter: 500 * ms} }
			case 4:
				for i := range 20 {
					if i%3 == who%3 {
						sim.freeze(i, 1900*ms)
					}
				}
			case 5:
				sim.faulty[who] = true
				sim.freeze(who, 8*sec)
			}
			sim.run(15 * sec)
			sim.link = lossy(0)
			sim.run(15 * sec)
		}
		return sim.falseVerdicts, verdicts
	}
	ours, plainSWIM, totals := 0, 0, [2]int{}
	for seed := range uint64(2) {
		a, v := simulate(0, seed)
		b, u := simulate(20, seed)
		ours, plainSWIM, totals[0], totals[1] = ours+a, plainSWIM+b, totals[0]+v, totals[1]+u
	}
	t.Logf("false verdicts in an hour of mixed faults: %d of %d, by plain SWIM %d of %d", ours, totals[0], plainSWIM, totals[1])
	if ours != 0 || plainSWIM == 0 {
		t.Errorf("%d false verdicts, %d by plain SWIM", ours, plainSWIM)
	}
}

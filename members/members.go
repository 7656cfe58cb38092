// Package members is how processes of the program know who else is there. A Node has no clock and does no I/O: it is told the
// time by Tick, datagrams by Receive and the wish to go by Leave, and what it wants sent and has to tell is fetched by Ready.
// docs/design/members.md has the ways weighed and the bounds.
//
// In short: names stand on a ring by their hashes. Each process pings the Observed next ones on it. Who does not answer is asked
// about at its other observers, and goes only when more than half of them say for themselves that it is silent. What others
// tell of third ones is a hint: it is never believed, but has the node ask whoever it concerns.
package members

import (
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// The bounds of a Node's configuration and state.
const (
	// MinDatagramSize and MaxDatagramSize bound Config.DatagramSize. The platform passes 256 bytes.
	MinDatagramSize, MaxDatagramSize = 256, 1200
	// MaxNameLen and MaxZoneLen bound texts, in bytes.
	MaxNameLen, MaxZoneLen = 48, 24
	// MaxServerIDLen bounds a server id, in bytes. MaxHints bounds the hints held at one time.
	MaxServerIDLen, MaxHints = 64, 64
	// mostCandidates bounds those of whom others have told and who have not answered yet.
	mostCandidates = 1024
	// mostAsked bounds the watches that others' questions have begun.
	mostAsked = 256
	// mostPending bounds the questions without an answer that are remembered.
	mostPending = 8192
	// mostNews bounds what is passed on at one time.
	mostNews = 1024
	// leastWitnesses is how many have to say that a member is silent, however few there are.
	leastWitnesses = 2
	// mostInc is the highest incarnation that is believed. Whoever gets there begins a new epoch.
	mostInc = 1 << 30
	// mostEpoch bounds epochs, which are milliseconds since 1970 at the most.
	mostEpoch = 1 << 47
)

// State is what a member is held for.
type State uint8

// The states of a member.
const (
	Alive   State = iota
	Suspect       // at least two observers say that it is silent
	Gone          // by verdict
	Left          // by its own word
)

// String returns the state's name as it is shown.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "?"
}

var stateNames = [...]string{"alive", "suspect", "gone", "left"}

// ID is a member's place on the ring: the hash of its name.
type ID uint64

// IDOf returns the ID of a name.
func IDOf(name string) ID {
	h := fnv.New64a()
	io.WriteString(h, name)
	return ID(mix(h.Sum64()))
}

// mix is the finalizer of splitmix64: fnv alone leaves names that differ in their last letter close together.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Config is what a Node is made of. The zero value of a time or number is the default that it names.
type Config struct {
	Name, Zone string
	Cluster    string         // whose datagrams count
	Address    netip.AddrPort // where others reach this process
	Epoch      uint64         // of this start: higher than those before, such as milliseconds since 1970
	Seed       uint64         // of all that is drawn

	ObserverCount int           // whom each process observes: 8, of 3 to 16
	Period        time.Duration // between two pings to one member: 800 ms
	Retry         time.Duration // until a ping is sent again: 200 ms
	Silence       time.Duration // until an observer says that a member is silent: 2 s
	Linger        time.Duration // how long one that leaves says so: 1 s
	Forget        time.Duration // how long those who are gone are remembered, and tried: 10 min
	MaxMembers    int           // members: 10,000
	DatagramSize  int           // bytes: 256
}

// MaxPause is how long a process may stand still without being held for gone by anybody, whatever else befalls it.
func (c Config) MaxPause() time.Duration { return c.Silence }

// WithDefaults returns c with its zero values filled in, and what is wrong with it.
func (c Config) WithDefaults() (Config, error) {
	fill := func(d *time.Duration, usual time.Duration) {
		if *d == 0 {
			*d = usual
		}
	}
	fill(&c.Period, 800*time.Millisecond)
	fill(&c.Retry, 200*time.Millisecond)
	fill(&c.Silence, 2*time.Second)
	fill(&c.Linger, time.Second)
	fill(&c.Forget, 10*time.Minute)
	if c.ObserverCount == 0 {
		c.ObserverCount = 8
	}
	if c.MaxMembers == 0 {
		c.MaxMembers = 10_000
	}
	if c.DatagramSize == 0 {
		c.DatagramSize = MinDatagramSize
	}
	switch {
	case c.Name == "" || len(c.Name) > MaxNameLen:
		return c, fmt.Errorf("name: %.60q has to have 1 to %d bytes", c.Name, MaxNameLen)
	case len(c.Zone) > MaxZoneLen:
		return c, fmt.Errorf("zone: %.60q has more than %d bytes", c.Zone, MaxZoneLen)
	case c.Cluster == "":
		return c, errors.New("cluster: not set")
	case !c.Address.IsValid() || c.Address.Port() == 0 || c.Address.Addr().IsUnspecified():
		return c, fmt.Errorf("address: %v cannot be reached by others", c.Address)
	case c.Epoch == 0 || c.Epoch >= mostEpoch:
		return c, fmt.Errorf("epoch: %d is outside 1 to %d", c.Epoch, uint64(mostEpoch-1))
	case c.ObserverCount < 3 || c.ObserverCount > 16:
		return c, fmt.Errorf("observed: %d is outside 3 to 16", c.ObserverCount)
	case c.Retry < 10*time.Millisecond || c.Period < 2*c.Retry || c.Silence < 2*c.Period || c.Silence > time.Minute:
		return c, fmt.Errorf("retry %v, period %v, silence %v: a period is at least 2 retries of at least 10ms, silence 2 periods and at most 1m", c.Retry, c.Period, c.Silence)
	case c.Linger < 0 || c.Forget < 10*c.Silence:
		return c, fmt.Errorf("linger %v, forget %v: forget is at least 10 times silence", c.Linger, c.Forget)
	case c.MaxMembers < 2 || c.MaxMembers > 100_000:
		return c, fmt.Errorf("most: %d is outside 2 to 100000", c.MaxMembers)
	case c.DatagramSize < MinDatagramSize || c.DatagramSize > MaxDatagramSize:
		return c, fmt.Errorf("datagram: %d is outside %d to %d", c.DatagramSize, MinDatagramSize, MaxDatagramSize)
	}
	return c, nil
}

// Member is one of those that a Node knows.
type Member struct {
	Name, Zone  string
	Address     netip.AddrPort
	State       State
	Epoch       uint64
	Incarnation uint32
	Since       time.Duration // when it came to be as it is, by the Node's time
}

// EventKind is what an Event tells.
type EventKind uint8

// The kinds of events.
const (
	Joined       EventKind = iota // a member came, or came back
	Suspected                     // several find it silent
	Cleared                       // it has answered after that
	DeclaredGone                  // it is gone, by the verdict of its observers
	Departed                      // it has left by its own word
	Stalled                       // this process stood still for Event.For, and mistrusts what it thought before
	Isolated                      // nobody answers this process
	Reconnected                   // somebody does again
	Refuted                       // others held this process for gone: it has a new incarnation
	Displaced                     // another process has this one's name and began later: this one gives way
	Hinted                        // somebody says that the server of Event.Server drains or is gone
	NameConflict                  // another process had this one's name and gives way
)

var eventNames = [...]string{"joined", "suspected", "cleared", "condemned", "departed", "stalled", "isolated", "reached", "returned", "displaced", "hinted", "rival"}

// String returns the kind's name as the log has it.
func (k EventKind) String() string { return eventNames[k] }

// Event is something to tell.
type Event struct {
	Kind      EventKind
	Member    Member        // whom it concerns; this process's own from Stalled on
	Witnesses int           // with Suspected and Condemned
	Duration  time.Duration // with Stalled
	Server    string        // with Hinted
}

// Datagram is something to send.
type Datagram struct {
	To   netip.AddrPort
	Data []byte
	// Known tells that it goes to a member, so that it comes before what strangers cause.
	ToMember bool
}

// Stats counts what a Node has done since its start.
type Stats struct {
	Dropped     map[string]uint64 // datagrams, by why
	Refused     uint64            // hints and questions for which there was no room
	Verdicts    uint64
	Refutations uint64
	Stalls      uint64
	Sent        uint64
	Health      float64 // part of first pings that are answered
	Candidates  int
	Tombstones  int
}

// member is what is held of one. A process of 5,000 holds as many.
type member struct {
	id    ID
	epoch uint64
	since time.Duration
	name  string
	zone  string
	addr  netip.AddrPort
	inc   uint32
	state State
}

// Node is one process's view of the others. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	cluster uint32
	rng     *rand.Rand
	now     time.Duration
	ticked  time.Duration
	started time.Duration

	self  member
	out   bool // displaced: it takes no part any more
	begun bool // Tick was called

	table    []*member // by id, without self
	living   int       // of table, alive or suspect
	digest   uint64    // of those and self
	zones    map[string]string
	watches  map[ID]*watch
	asked    int // watches that others' questions have begun
	pending  map[uint32]question
	expiry   []uint32    // of pending, oldest first
	owed     []uint32    // those of pending whose answers tell of this process's own health, oldest first
	cands    []candidate // in no order that matters
	news     map[ID]*item
	tellers  map[ID]bool // who say that a later process has this one's name
	rivals   map[uint64]bool
	hintsOf  map[string]*hint // by server
	seeds    []netip.AddrPort
	seedAt   time.Duration
	seedGap  time.Duration
	mixAt    time.Duration
	repairAt time.Duration
	hurried  time.Duration
	ringed   bool // duties are as the table has it

	answered float64       // part of first pings that are answered
	rtt      time.Duration // of answers, and how far they are off it
	swing    time.Duration
	heard    time.Duration
	isolated bool
	trust    time.Duration // until then this process says of nobody that it is silent

	sends  []Datagram
	events []Event
	stats  Stats

	// For tests, which show what these guard.
	lone   bool // one witness is enough
	steady bool // stalls are not noticed
}

// New returns a node that knows nobody. cfg is checked.
func New(cfg Config) (*Node, error) {
	cfg, err := cfg.WithDefaults()
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, cluster: crc32.ChecksumIEEE([]byte(cfg.Cluster)), rng: rand.New(rand.NewPCG(cfg.Seed, 42)),
		zones: map[string]string{}, watches: map[ID]*watch{}, pending: map[uint32]question{},
		news: map[ID]*item{}, tellers: map[ID]bool{}, rivals: map[uint64]bool{}, hintsOf: map[string]*hint{}, answered: 0.98, stats: Stats{Dropped: map[string]uint64{}},
		seedGap: cfg.Period / 2,
	}
	n.self = member{id: IDOf(cfg.Name), name: cfg.Name, zone: cfg.Zone, addr: cfg.Address, epoch: cfg.Epoch}
	n.digest = mark(&n.self)
	return n, nil
}

// SetSeeds names where others may be found. They are asked again for ever, at a falling rate, unless they are members.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	if !slices.Equal(seeds, n.seeds) {
		n.seeds, n.seedGap, n.seedAt = slices.Clone(seeds), n.cfg.Period/2, n.now
	}
}

// Ready returns what is to be sent and told since it was called last.
func (n *Node) Ready() ([]Datagram, []Event) {
	s, e := n.sends, n.events
	n.sends, n.events = nil, nil
	return s, e
}

// Self is this process as others are told of it.
func (n *Node) Self() Member { return n.self.told() }

// Out reports whether this process has given way to a later one of its name.
func (n *Node) Displaced() bool { return n.out }

// Living is how many count as there, this process included. Those that are suspect count: they may be there.
func (n *Node) LiveCount() int { return n.living + 1 }

// Isolated reports whether nobody answers though there were others.
func (n *Node) Isolated() bool { return n.isolated }

// View is a number that two processes have in common when they know the same members.
func (n *Node) ViewDigest() uint64 { return n.digest }

// Members returns all that are known, this process included, by name.
func (n *Node) Members() []Member {
	all := []Member{n.self.told()}
	for _, m := range n.table {
		all = append(all, m.told())
	}
	slices.SortFunc(all, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// Stats returns what was counted.
func (n *Node) Stats() Stats {
	s := n.stats
	s.Dropped = make(map[string]uint64, len(n.stats.Dropped))
	for k, v := range n.stats.Dropped {
		s.Dropped[k] = v
	}
	s.Health, s.Candidates = n.answered, len(n.cands)
	s.Tombstones = len(n.table) - n.living
	return s
}

func (m *member) told() Member {
	return Member{Name: m.name, Zone: m.zone, Address: m.addr, State: m.state, Epoch: m.epoch, Incarnation: m.inc, Since: m.since}
}

// there reports whether a member counts.
func (m *member) there() bool { return m.state == Alive || m.state == Suspect }

// mark is what a member adds to the digest of a view.
func mark(m *member) uint64 { return mix(uint64(m.id) ^ mix(m.epoch<<24^uint64(m.inc))) }

// find returns the member of that id, and where in the table it is or would be.
func (n *Node) find(id ID) (*member, int) {
	i, ok := slices.BinarySearchFunc(n.table, id, func(m *member, id ID) int {
		switch {
		case m.id < id:
			return -1
		case m.id > id:
			return 1
		}
		return 0
	})
	if ok {
		return n.table[i], i
	}
	return nil, i
}

// set changes what is held of m, by whose leave the digest and the ring are kept true.
func (n *Node) set(m *member, change func()) {
	if m != &n.self && m.there() {
		n.living--
		n.digest -= mark(m)
	} else if m == &n.self && m.there() {
		n.digest -= mark(m)
	}
	was := m.there()
	change()
	if m.there() {
		n.digest += mark(m)
		if m != &n.self {
			n.living++
		}
	}
	if was != m.there() {
		m.since, n.ringed = n.now, false
	}
}

func (n *Node) tell(k EventKind, m *member, witnesses int) {
	n.events = append(n.events, Event{Kind: k, Member: m.told(), Witnesses: witnesses})
}

// share is how many times each passes news on: more often in larger fleets, so that it reaches nearly everybody. The digests find the rest.
func (n *Node) share() int { return 3 + int(math.Log2(float64(n.living+2))) }

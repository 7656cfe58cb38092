// Package members implements the membership protocol between the processes of the program. A Node
// has no clock and does no I/O: the host passes it the time (Tick), datagrams (Receive) and the
// request to leave (Leave), and takes datagrams to send and events from Ready.
//
// Members are placed on a hash ring by their names. Each process pings the next ObserverCount
// members on the ring. A member that does not answer is queried at its other observers, and it is
// declared gone only by a quorum of more than half of its observers, each of which has found it
// silent itself. Reports about third parties are never trusted: they only make a node ping the
// process concerned.
//
// docs/design/members.md describes the alternatives and the bounds.
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

// Limits of a Node's configuration and state.
const (
	// MinDatagramSize and MaxDatagramSize bound Config.DatagramSize. The platform allows 256 bytes.
	MinDatagramSize, MaxDatagramSize = 256, 1200
	// MaxNameLen and MaxZoneLen bound the name and the zone of a member, in bytes.
	MaxNameLen, MaxZoneLen = 48, 24
	// MaxServerIDLen bounds a server id, in bytes. MaxHints bounds the hints held at one time.
	MaxServerIDLen, MaxHints = 64, 64
	// maxCandidates bounds the processes that were reported by others and have not answered yet.
	maxCandidates = 1024
	// maxRequestedMonitors bounds the monitors that other processes' queries and reports have
	// created.
	maxRequestedMonitors = 256
	// maxPending bounds the unanswered requests that are kept.
	maxPending = 8192
	// maxGossip bounds the updates that are gossiped at one time.
	maxGossip = 1024
	// minWitnesses is the minimum number of observers that must find a member silent, in fleets of
	// any size.
	minWitnesses = 2
	// maxIncarnation is the highest accepted incarnation. A process that reaches it starts a new
	// epoch.
	maxIncarnation = 1 << 30
	// maxEpoch bounds epochs, which are milliseconds since 1970 at most.
	maxEpoch = 1 << 47
)

// State is the state of a member in a node's view.
type State uint8

// States of a member.
const (
	Alive   State = iota
	Suspect       // at least two observers find it silent
	Gone          // declared gone by its observers
	Left          // left voluntarily
)

// String returns the name shown to operators.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "?"
}

var stateNames = [...]string{"alive", "suspect", "gone", "left"}

// ID is a member's position on the ring: the hash of its name.
type ID uint64

// IDOf returns the ID of a name.
func IDOf(name string) ID {
	h := fnv.New64a()
	io.WriteString(h, name)
	return ID(mix64(h.Sum64()))
}

// mix64 is the finalizer of splitmix64. FNV alone places names that differ only in their last
// character close together.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Config configures a Node. Zero times and numbers stand for the defaults given at each field.
type Config struct {
	Name, Zone string
	Cluster    string         // datagrams of other clusters are dropped
	Address    netip.AddrPort // where other processes reach this one
	// of this start; must exceed the epochs of earlier starts, such as milliseconds since 1970
	Epoch uint64
	Seed  uint64 // of the random number generator

	ObserverCount int           // members that each process observes: 8, from 3 to 16
	Period        time.Duration // between two pings to one member: 800 ms
	Retry         time.Duration // until a ping is repeated: 200 ms
	Silence       time.Duration // until an observer considers a member silent: 2 s
	Linger        time.Duration // how long a leaving process keeps answering: 1 s
	Forget        time.Duration // how long gone members are remembered and pinged: 10 min
	MaxMembers    int           // members in the table: 10,000
	DatagramSize  int           // bytes: 256
}

// MaxPause returns how long a process may be stalled without being declared gone by any other,
// whatever other faults occur.
func (c Config) MaxPause() time.Duration { return c.Silence }

// WithDefaults returns c with defaults for its zero values, and an error if it is invalid.
func (c Config) WithDefaults() (Config, error) {
	setDefault := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	setDefault(&c.Period, 800*time.Millisecond)
	setDefault(&c.Retry, 200*time.Millisecond)
	setDefault(&c.Silence, 2*time.Second)
	setDefault(&c.Linger, time.Second)
	setDefault(&c.Forget, 10*time.Minute)
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
		return c, fmt.Errorf("name: %.60q must have 1 to %d bytes", c.Name, MaxNameLen)
	case len(c.Zone) > MaxZoneLen:
		return c, fmt.Errorf("zone: %.60q has more than %d bytes", c.Zone, MaxZoneLen)
	case c.Cluster == "":
		return c, errors.New("cluster: not set")
	case !c.Address.IsValid() || c.Address.Port() == 0 || c.Address.Addr().IsUnspecified():
		return c, fmt.Errorf("address: %v cannot be reached by others", c.Address)
	case c.Epoch == 0 || c.Epoch >= maxEpoch:
		return c, fmt.Errorf("epoch: %d is outside 1 to %d", c.Epoch, uint64(maxEpoch-1))
	case c.ObserverCount < 3 || c.ObserverCount > 16:
		return c, fmt.Errorf("observed: %d is outside 3 to 16", c.ObserverCount)
	case c.Retry < 10*time.Millisecond || c.Period < 2*c.Retry || c.Silence < 2*c.Period || c.Silence > time.Minute:
		return c, fmt.Errorf("retry %v, period %v, silence %v: retry must be at least 10ms, period at least 2 retries, and silence at least 2 periods and at most 1m", c.Retry, c.Period, c.Silence)
	case c.Linger < 0 || c.Forget < 10*c.Silence:
		return c, fmt.Errorf("linger %v, forget %v: linger must not be negative and forget must be at least 10 times silence", c.Linger, c.Forget)
	case c.MaxMembers < 2 || c.MaxMembers > 100_000:
		return c, fmt.Errorf("most: %d is outside 2 to 100000", c.MaxMembers)
	case c.DatagramSize < MinDatagramSize || c.DatagramSize > MaxDatagramSize:
		return c, fmt.Errorf("datagram: %d is outside %d to %d", c.DatagramSize, MinDatagramSize, MaxDatagramSize)
	}
	return c, nil
}

// Member describes a member known to a Node.
type Member struct {
	Name, Zone  string
	Address     netip.AddrPort
	State       State
	Epoch       uint64
	Incarnation uint32
	Since       time.Duration // when it entered the present state, in the Node's time
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	Joined       EventKind = iota // a member joined or came back
	Suspected                     // several observers find the member silent
	Cleared                       // a suspected member has answered
	DeclaredGone                  // declared gone by a quorum of its observers
	Departed                      // the member left voluntarily
	// this process was stalled for Event.Duration and discarded its earlier observations
	Stalled
	Isolated    // no member answers this process
	Reconnected // a member answers again after Isolated
	// others declared this process gone; it has taken a new incarnation
	Refuted
	Displaced    // a process with the same name started later; this one gives way
	Hinted       // a member reports that Event.Server drains or is gone
	NameConflict // another process with this name started earlier and gives way
)

var eventNames = [...]string{"joined", "suspected", "cleared", "condemned", "departed", "stalled", "isolated", "reached", "returned", "displaced", "hinted", "rival"}

// String returns the name used in the log.
func (k EventKind) String() string { return eventNames[k] }

// Event is a change that a Node reports to its host.
type Event struct {
	Kind EventKind
	// the member concerned; this process itself from Stalled on, except for Hinted (the sender) and
	// NameConflict (the other process)
	Member    Member
	Witnesses int           // for Suspected and DeclaredGone
	Duration  time.Duration // for Stalled
	Server    string        // for Hinted
}

// Datagram is a datagram to send.
type Datagram struct {
	To   netip.AddrPort
	Data []byte
	// ToMember reports whether the receiver is a member. Such datagrams take precedence over those
	// caused by unknown senders.
	ToMember bool
}

// Stats counts a Node's activity since its start.
type Stats struct {
	Dropped map[string]uint64 // datagrams by reason
	// updates, hints, candidates and monitors for which there was no room
	Refused     uint64
	Verdicts    uint64
	Refutations uint64
	Stalls      uint64
	Sent        uint64
	Health      float64 // fraction of first pings that are answered
	Candidates  int
	Tombstones  int
}

// member is a node's entry for one process. A process in a fleet of 5,000 holds as many of them.
type member struct {
	id          ID
	epoch       uint64
	since       time.Duration
	name        string
	zone        string
	addr        netip.AddrPort
	incarnation uint32
	state       State
}

// Node is one process's view of the membership. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	cluster  uint32
	rng      *rand.Rand
	now      time.Duration
	lastTick time.Duration
	started  time.Duration

	self      member
	displaced bool // a later process has the same name; this one no longer takes part
	ticking   bool // Tick was called

	table             []*member // sorted by id, without self
	liveCount         int       // members of table that are Alive or Suspect
	digest            uint64    // of these members and self
	zones             map[string]string
	monitors          map[ID]*monitor
	requestedMonitors int // monitors created by other processes' queries and reports
	pending           map[uint32]request
	pendingOrder      []uint32 // nonces of pending, oldest first
	// nonces of pending requests that measure this process's health, oldest first
	healthOrder         []uint32
	candidates          []candidate // in no particular order
	gossip              map[ID]*gossipItem
	laterEpochReporters map[ID]bool // members that report a later process with this name
	conflictingEpochs   map[uint64]bool
	hints               map[string]*hint // by server
	seeds               []netip.AddrPort
	nextSeedContact     time.Duration
	seedInterval        time.Duration
	nextRandomPing      time.Duration
	nextRepair          time.Duration
	lastExpedite        time.Duration
	monitorsCurrent     bool // the assigned monitors match the table

	ackRate    float64       // fraction of first pings that are answered
	rtt        time.Duration // smoothed round-trip time and its deviation (rttVar)
	rttVar     time.Duration
	lastAck    time.Duration
	isolated   bool
	trustAfter time.Duration // until then this process finds no member silent

	sends  []Datagram
	events []Event
	stats  Stats

	// Set by tests to show what these safeguards prevent.
	singleWitness bool // one witness is enough
	trustSelf     bool // skips the checks of own health, such as stall detection
}

// New returns a Node that knows no other process. It validates cfg.
func New(cfg Config) (*Node, error) {
	cfg, err := cfg.WithDefaults()
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, cluster: crc32.ChecksumIEEE([]byte(cfg.Cluster)), rng: rand.New(rand.NewPCG(cfg.Seed, 42)),
		zones: map[string]string{}, monitors: map[ID]*monitor{}, pending: map[uint32]request{},
		gossip: map[ID]*gossipItem{}, laterEpochReporters: map[ID]bool{}, conflictingEpochs: map[uint64]bool{}, hints: map[string]*hint{}, ackRate: 0.98, stats: Stats{Dropped: map[string]uint64{}},
		seedInterval: cfg.Period / 2,
	}
	n.self = member{id: IDOf(cfg.Name), name: cfg.Name, zone: cfg.Zone, addr: cfg.Address, epoch: cfg.Epoch}
	n.digest = digestOf(&n.self)
	return n, nil
}

// SetSeeds sets the addresses where others may be found. Those that are not members are contacted
// forever, at a falling rate.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	if !slices.Equal(seeds, n.seeds) {
		n.seeds, n.seedInterval, n.nextSeedContact = slices.Clone(seeds), n.cfg.Period/2, n.now
	}
}

// Ready returns the datagrams to send and the events since the last call.
func (n *Node) Ready() ([]Datagram, []Event) {
	s, e := n.sends, n.events
	n.sends, n.events = nil, nil
	return s, e
}

// Self returns this process as other members see it.
func (n *Node) Self() Member { return n.self.snapshot() }

// Displaced reports whether this process has given way to a later one with the same name.
func (n *Node) Displaced() bool { return n.displaced }

// LiveCount returns the number of live members, including this process. Suspect members count, as
// they may be up.
func (n *Node) LiveCount() int { return n.liveCount + 1 }

// Isolated reports whether no member answers although others were known.
func (n *Node) Isolated() bool { return n.isolated }

// ViewDigest returns a digest of the live members, equal in processes that know the same ones.
func (n *Node) ViewDigest() uint64 { return n.digest }

// Members returns all known members by name, including this process.
func (n *Node) Members() []Member {
	members := []Member{n.self.snapshot()}
	for _, m := range n.table {
		members = append(members, m.snapshot())
	}
	slices.SortFunc(members, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return members
}

// Stats returns a copy of the counters.
func (n *Node) Stats() Stats {
	s := n.stats
	s.Dropped = make(map[string]uint64, len(n.stats.Dropped))
	for k, v := range n.stats.Dropped {
		s.Dropped[k] = v
	}
	s.Health, s.Candidates = n.ackRate, len(n.candidates)
	s.Tombstones = len(n.table) - n.liveCount
	return s
}

func (m *member) snapshot() Member {
	return Member{Name: m.name, Zone: m.zone, Address: m.addr, State: m.state, Epoch: m.epoch, Incarnation: m.incarnation, Since: m.since}
}

// present reports whether a member belongs to the view.
func (m *member) present() bool { return m.state == Alive || m.state == Suspect }

// digestOf returns a member's contribution to the digest of a view.
func digestOf(m *member) uint64 {
	return mix64(uint64(m.id) ^ mix64(m.epoch<<24^uint64(m.incarnation)))
}

// find returns the member with that id, or nil, and its index or insertion point in the table.
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

// update applies a change to m and keeps the digest, the live count and the ring consistent.
func (n *Node) update(m *member, change func()) {
	if m != &n.self && m.present() {
		n.liveCount--
		n.digest -= digestOf(m)
	} else if m == &n.self && m.present() {
		n.digest -= digestOf(m)
	}
	wasPresent := m.present()
	change()
	if m.present() {
		n.digest += digestOf(m)
		if m != &n.self {
			n.liveCount++
		}
	}
	if wasPresent != m.present() {
		m.since, n.monitorsCurrent = n.now, false
	}
}

func (n *Node) emit(k EventKind, m *member, witnesses int) {
	n.events = append(n.events, Event{Kind: k, Member: m.snapshot(), Witnesses: witnesses})
}

// gossipLimit returns how often each process sends an update. It grows with the fleet so that
// nearly all members receive it; anti-entropy by digests covers the rest.
func (n *Node) gossipLimit() int { return 3 + int(math.Log2(float64(n.liveCount+2))) }

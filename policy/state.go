package policy

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"
)

// validate reports what in cfg is out of range.
func (cfg Config) validate() error {
	switch {
	case cfg.GroupSize < 1 || cfg.Ordinal < 0 || cfg.Ordinal >= cfg.GroupSize:
		return fmt.Errorf("policy: ordinal %d outside a group of %d", cfg.Ordinal, cfg.GroupSize)
	case cfg.MaxAttempts < 1:
		return errors.New("policy: MaxAttempts below 1")
	case !(cfg.ColdCapacity >= 0 && cfg.ColdCapacity <= 1) || cfg.Ramp < 0:
		return errors.New("policy: ColdFrom outside 0..1 or negative Ramp")
	case cfg.Tick < 0 || cfg.RefreshInterval < 0 || cfg.AnswerGrace < 0 || cfg.DialTimeout < 0:
		return errors.New("policy: negative time in Config")
	}
	for _, c := range cfg.Classes {
		if c.Aim <= 0 || c.Deadline < c.Aim || c.Worth < 0 || c.KeyTTL < 0 {
			return fmt.Errorf("policy: class %q: aim, deadline, worth or window out of range", c.Name)
		}
	}
	return nil
}

type class struct {
	Class
	usual time.Duration // the time that clients give most tries; the last one gets all that is left
	votes int           // by how many the tries of the usual time lead
	owed  []*request    // ended unanswered while their clients go on: a try of each may follow
}

// minVotes tells that the usual time of a try is known.
const minVotes = 2

// began estimates when the request began of which q is a try, as few clients mark their retries. A last
// try, which gets all the time that is left of the deadline rather than the usual, tells it exactly.
// Another is taken for a retry of a request owed to the same tenant and key with the same hint of its cost, if one could
// come now. Guards against a spiral: in dense traffic without keys every fresh request looks like the retry of one
// refused, counts as begun long ago, is refused as late, and so is owed in turn. Requests that carry neither key nor
// hint are never matched; where hints change from try to try, retries pass for fresh and get more patience than is due.
func (c *class) began(now Time, q Request, tick time.Duration) Time {
	left := cmp.Or(q.ClientTimeout, q.Expires-now)
	near := (left - c.usual).Abs() <= 2*tick
	known := c.votes >= minVotes
	switch { // the majority vote of Boyer and Moore
	case near:
		c.votes = min(c.votes+1, 4*minVotes)
	case c.votes == 0:
		c.usual, c.votes = left, 1
	default:
		c.votes--
	}
	c.owed = slices.DeleteFunc(c.owed, func(r *request) bool { return now > r.began+c.Deadline })
	for i, r := range c.owed {
		same := r.Tenant == q.Tenant && r.Key == q.Key && r.Cost == q.Cost && (q.Key != "" || q.Cost != 0)
		if same && q.Expires <= r.began+c.Deadline+2*tick {
			c.owed = slices.Delete(c.owed, i, i+1)
			return r.began
		}
	}
	if known && !near {
		return min(now, max(now, q.Expires)-c.Deadline)
	}
	return now
}

// mostOwed bounds the requests that are owed; the oldest are the first whose clients give up.
const mostOwed = 1000

// owe notes that r ended unanswered while its client goes on.
func (c *class) owe(r *request) {
	if len(c.owed) >= mostOwed {
		c.owed = slices.Delete(c.owed, 0, len(c.owed)-mostOwed+1)
	}
	c.owed = append(c.owed, r)
}

type server struct {
	Server
	queue    float64 // latest reported queue
	reported bool
	told     Time // the latest report
	marked   bool
	markedAt Time
	fails    int // failures in a row
	lastOK   Time
	used     Time    // the last send
	open     bool    // a connection may be open
	slowness float64 // smoothed: delay of its answers over that expected
	out      int     // attempts of this sidecar that have no outcome
	ejected  Time
}

// assumedCores is how many requests a server works on at once, which is not told, until the
// answers have taught the slope: two is the least that has any.
const assumedCores = 2

// delayModel is a running least-squares line of the delay of answers by the depth that the server had when they were
// sent. Stale figures flatten the line by themselves, and so count for less.
type delayModel struct {
	queue, delay, variance, covariance float64
}

// learn takes one answer.
func (m *delayModel) learn(queue, delay float64) {
	if math.IsInf(queue, 1) {
		return
	}
	if m.delay == 0 {
		m.queue, m.delay = queue, delay
	}
	dq, dd := queue-m.queue, delay-m.delay
	m.queue += smooth * dq
	m.delay += smooth * dd
	m.variance = (1 - smooth) * (m.variance + smooth*dq*dq)
	m.covariance = (1 - smooth) * (m.covariance + smooth*dq*dd)
}

// at is the delay to expect at a reported queue. Until queues have varied by a request or so the
// slope is that of assumedCores.
func (m *delayModel) at(queue float64) float64 {
	prior := m.delay / (1 + m.queue/assumedCores) / assumedCores
	slope := max(0, (m.covariance+prior)/(m.variance+1))
	return max(m.delay+slope*(queue-m.queue), m.delay/4)
}

// queueOf is the queue of JBT-d: all that a server holds, where it tells. Those that take many requests
// at once are slow long before any of them waits. It is negative if l tells neither.
func queueOf(l *Load) float64 {
	if l == nil {
		return -1
	}
	return max(l.Queue, l.Inflight)
}

type attempt struct {
	server   *server
	zone     string
	cell     int
	canceled bool
	sent     Time
	depth    float64 // of the server when it was sent
	out      bool    // no outcome yet
	notRun   bool    // proven never to have run
	counted  bool    // its server works on it, as far as is known
}

// works notes whether its server works on a: not before the last byte of a request has come, nor once the answer has begun.
// Guards against servers that pass for loaded because peers are slow to write or read.
func (a *attempt) works(is bool) {
	switch {
	case is && !a.counted:
		a.server.out++
	case !is && a.counted:
		a.server.out--
	}
	a.counted = is
}

type request struct {
	Request
	class    *class
	most     int           // attempts that it may have
	limit    time.Duration // an expected delay over it means refusal
	began    Time          // when the client first asked, as far as can be told
	useful   Time          // an answer after this has lost worth
	end      Time          // a final answer is given then at the latest
	patience Time          // while held: a refusal is given then
	probed   []*server     // by the round it has started
	replies  int           // of them, to all its rounds
	attempts []attempt
	past     []attempt // of earlier requests under its key: they may have run
	out      int
	ended    bool
	spent    bool          // nothing is left that could be sent
	taken    Time          // when it came, or its upload ended
	sites    []string      // that may have it; nil: all
	spilled  bool          // it goes to a site that takes over for others
	weight   float64       // its worth for its time beside the most that any has
	wait     time.Duration // refused for want of room at other sites: until there may be some
	stream   bool          // the answer has begun; the client has it
}

func token(id RequestID) string { return strconv.FormatUint(uint64(id), 36) }

// byHash sorts servers by a hash of their ID and salt.
func byHash(list []*server, salt uint64) {
	slices.SortFunc(list, func(x, y *server) int {
		return cmp.Or(cmp.Compare(hash(x.ID, salt), hash(y.ID, salt)), cmp.Compare(x.ID, y.ID))
	})
}

func hash(id ServerID, salt uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	x := h.Sum64() ^ salt*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

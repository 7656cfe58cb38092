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
	usualTryTime time.Duration // the time that clients give most tries; the last one gets all that is left
	usualVotes   int           // by how many the tries of the usual time lead
	unanswered   []*request    // ended unanswered while their clients go on: a try of each may follow
}

// minVotes tells that the usual time of a try is known.
const minVotes = 2

// estimateStart estimates when the request estimateStart of which q is a try, as few clients mark their retries. A last
// try, which gets all the time that is left of the deadline rather than the usual, tells it exactly.
// Another is taken for a retry of a request owed to the same tenant and key with the same hint of its cost, if one could
// come now. Guards against a spiral: in dense traffic without keys every fresh request looks like the retry of one
// refused, counts as begun long ago, is refused as late, and so is owed in turn. Requests that carry neither key nor
// hint are never matched; where hints change from try to try, retries pass for fresh and get more patience than is due.
func (c *class) estimateStart(now Time, q Request, tick time.Duration) Time {
	left := cmp.Or(q.ClientTimeout, q.Expires-now)
	near := (left - c.usualTryTime).Abs() <= 2*tick
	known := c.usualVotes >= minVotes
	switch { // the majority vote of Boyer and Moore
	case near:
		c.usualVotes = min(c.usualVotes+1, 4*minVotes)
	case c.usualVotes == 0:
		c.usualTryTime, c.usualVotes = left, 1
	default:
		c.usualVotes--
	}
	c.unanswered = slices.DeleteFunc(c.unanswered, func(r *request) bool { return now > r.startedAt+c.Deadline })
	for i, r := range c.unanswered {
		same := r.Tenant == q.Tenant && r.Key == q.Key && r.Cost == q.Cost && (q.Key != "" || q.Cost != 0)
		if same && q.Expires <= r.startedAt+c.Deadline+2*tick {
			c.unanswered = slices.Delete(c.unanswered, i, i+1)
			return r.startedAt
		}
	}
	if known && !near {
		return min(now, max(now, q.Expires)-c.Deadline)
	}
	return now
}

// maxUnanswered bounds the requests that are owed; the oldest are the first whose clients give up.
const maxUnanswered = 1000

// addUnanswered notes that r ended unanswered while its client goes on.
func (c *class) addUnanswered(r *request) {
	if len(c.unanswered) >= maxUnanswered {
		c.unanswered = slices.Delete(c.unanswered, 0, len(c.unanswered)-maxUnanswered+1)
	}
	c.unanswered = append(c.unanswered, r)
}

type server struct {
	Server
	queue        float64 // latest reported queue
	reported     bool
	reportedAt   Time // the latest report
	marked       bool
	markedAt     Time
	failures     int // failures in a row
	lastOK       Time
	lastSend     Time    // the last send
	connOpen     bool    // a connection may be open
	slowness     float64 // smoothed: delay of its answers over that expected
	outstanding  int     // attempts of this sidecar that have no outcome
	ejectedUntil Time
}

// assumedCores is how many requests a server works on at once, which is not told, until the
// answers have taught the slope: two is the least that has any.
const assumedCores = 2

// delayModel is a running least-squares line of the delay of answers by the depth that the server had when they were
// sent. Stale figures flatten the line by themselves, and so count for less.
type delayModel struct {
	queue, delay, variance, covariance float64
}

// observe takes one answer.
func (m *delayModel) observe(queue, delay float64) {
	if math.IsInf(queue, 1) {
		return
	}
	if m.delay == 0 {
		m.queue, m.delay = queue, delay
	}
	dq, dd := queue-m.queue, delay-m.delay
	m.queue += smoothing * dq
	m.delay += smoothing * dd
	m.variance = (1 - smoothing) * (m.variance + smoothing*dq*dq)
	m.covariance = (1 - smoothing) * (m.covariance + smoothing*dq*dd)
}

// delayAt is the delay to expect delayAt a reported queue. Until queues have varied by a request or so the
// slope is that of assumedCores.
func (m *delayModel) delayAt(queue float64) float64 {
	prior := m.delay / (1 + m.queue/assumedCores) / assumedCores
	slope := max(0, (m.covariance+prior)/(m.variance+1))
	return max(m.delay+slope*(queue-m.queue), m.delay/4)
}

// queueLength is the queue of JBT-d: all that a server holds, where it tells. Those that take many requests
// at once are slow long before any of them waits. It is negative if l tells neither.
func queueLength(l *Load) float64 {
	if l == nil {
		return -1
	}
	return max(l.Queue, l.Inflight)
}

type attempt struct {
	server    *server
	zone      string
	cell      int
	canceled  bool
	sent      Time
	depth     float64 // of the server when it was sent
	pending   bool    // no outcome yet
	notRun    bool    // proven never to have run
	executing bool    // its server works on it, as far as is known
}

// setExecuting notes whether its server setExecuting on a: not before the last byte of a request has come, nor once the answer has begun.
// Guards against servers that pass for loaded because peers are slow to write or read.
func (a *attempt) setExecuting(is bool) {
	switch {
	case is && !a.executing:
		a.server.outstanding++
	case !is && a.executing:
		a.server.outstanding--
	}
	a.executing = is
}

type request struct {
	Request
	class           *class
	maxAttempts     int           // attempts that it may have
	delayLimit      time.Duration // an expected delay over it means refusal
	startedAt       Time          // when the client first asked, as far as can be told
	aimEnd          Time          // an answer after this has lost worth
	answerBy        Time          // a final answer is given then at the latest
	heldUntil       Time          // while held: a refusal is given then
	probed          []*server     // by the round it has started
	probeReplies    int           // of them, to all its rounds
	attempts        []attempt
	priorAttempts   []attempt // of earlier requests under its key: they may have run
	outstanding     int
	ended           bool
	noMoreSends     bool          // nothing is left that could be sent
	receivedAt      Time          // when it came, or its upload ended
	sites           []string      // that may have it; nil: all
	spilled         bool          // it goes to a site that takes over for others
	relativeWorth   float64       // its worth for its time beside the most that any has
	spillRetryAfter time.Duration // refused for want of room at other sites: until there may be some
	responseStarted bool          // the answer has begun; the client has it
}

func timerToken(id RequestID) string { return strconv.FormatUint(uint64(id), 36) }

// sortByHash sorts servers by a hash of their ID and salt.
func sortByHash(list []*server, salt uint64) {
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

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

// validate reports the first setting in cfg that is out of range.
func (cfg Config) validate() error {
	switch {
	case cfg.GroupSize < 1 || cfg.Ordinal < 0 || cfg.Ordinal >= cfg.GroupSize:
		return fmt.Errorf("policy: ordinal %d is outside the group of %d", cfg.Ordinal, cfg.GroupSize)
	case cfg.MaxAttempts < 1:
		return errors.New("policy: MaxAttempts must be at least 1")
	case !(cfg.ColdCapacity >= 0 && cfg.ColdCapacity <= 1) || cfg.Ramp < 0:
		return errors.New("policy: ColdFrom must be within 0..1 and Ramp must not be negative")
	case cfg.Tick < 0 || cfg.RefreshInterval < 0 || cfg.AnswerGrace < 0 || cfg.DialTimeout < 0:
		return errors.New("policy: times in Config must not be negative")
	}
	for _, c := range cfg.Classes {
		if c.Aim <= 0 || c.Deadline < c.Aim || c.Worth < 0 || c.KeyTTL < 0 {
			return fmt.Errorf("policy: class %q: aim, deadline, worth or window out of range", c.Name)
		}
	}
	return nil
}

// class is a Class with what was observed of its requests.
type class struct {
	Class
	// Timeout that clients give most tries; the last try gets all the time left.
	usualTryTime time.Duration
	usualVotes   int // lead of the tries with the usual timeout in the majority vote
	// Requests that ended unanswered while their clients go on; a retry of each may follow.
	unanswered []*request
}

// minVotes is the lead from which the usual timeout of a try counts as known.
const minVotes = 2

// estimateStart estimates when the client first sent the request of which q is a try, because few
// clients mark their retries. A last try gets all the time left until the deadline instead of the
// usual timeout, and so shows the start exactly. Any other try counts as a retry of an unanswered
// request with the same tenant, key and cost hint, if a retry could come now. This guards against
// a feedback loop: in dense traffic without keys every fresh request would look like the retry of
// a refused one, count as started long ago, be refused as too late, and become unanswered in
// turn. Requests without key and hint are never matched. If hints change from try to try, retries
// count as fresh and are held longer than they should be.
func (c *class) estimateStart(now Time, q Request, tick time.Duration) Time {
	remaining := cmp.Or(q.ClientTimeout, q.Expires-now)
	isUsual := (remaining - c.usualTryTime).Abs() <= 2*tick
	known := c.usualVotes >= minVotes
	switch { // Boyer-Moore majority vote
	case isUsual:
		c.usualVotes = min(c.usualVotes+1, 4*minVotes)
	case c.usualVotes == 0:
		c.usualTryTime, c.usualVotes = remaining, 1
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
	if known && !isUsual {
		return min(now, max(now, q.Expires)-c.Deadline)
	}
	return now
}

// maxUnanswered limits the number of unanswered requests kept. The clients of the oldest give up
// first.
const maxUnanswered = 1000

// addUnanswered records that r ended unanswered while its client goes on.
func (c *class) addUnanswered(r *request) {
	if len(c.unanswered) >= maxUnanswered {
		c.unanswered = slices.Delete(c.unanswered, 0, len(c.unanswered)-maxUnanswered+1)
	}
	c.unanswered = append(c.unanswered, r)
}

// server is a Server with the state that the Balancer keeps of it.
type server struct {
	Server
	queue      float64 // latest reported queue
	reported   bool
	reportedAt Time // time of the latest report
	marked     bool
	markedAt   Time
	failures   int // failures in a row
	lastOK     Time
	lastSend   Time // time of the last send
	connOpen   bool // a connection may be open
	// Moving average of the delay of its answers relative to the expected delay.
	slowness     float64
	outstanding  int // attempts of this sidecar without an outcome
	ejectedUntil Time
}

// assumedCores is the assumed number of requests that a server processes at once, which is not
// reported, until the answers have shown the slope. Two is the minimum of any server.
const assumedCores = 2

// delayModel is a running least-squares line of the delay of answers by the queue depth of the
// server at the send. Stale figures flatten the line by themselves and so have less effect.
type delayModel struct {
	queue, delay, variance, covariance float64
}

// observe adds one answer.
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

// delayAt is the expected delay at a reported queue. Until queues have varied by about one
// request, the slope is that of assumedCores.
func (m *delayModel) delayAt(queue float64) float64 {
	prior := m.delay / (1 + m.queue/assumedCores) / assumedCores
	slope := max(0, (m.covariance+prior)/(m.variance+1))
	return max(m.delay+slope*(queue-m.queue), m.delay/4)
}

// queueLength is the queue in terms of JBT-d: all requests in a server, if it reports them.
// Servers that process many requests at once become slow long before any request waits. It is
// negative if l reports neither value.
func queueLength(l *Load) float64 {
	if l == nil {
		return -1
	}
	return max(l.Queue, l.Inflight)
}

// attempt is one attempt of a request.
type attempt struct {
	server    *server
	zone      string
	cell      int
	canceled  bool
	sent      Time
	depth     float64 // of the server at the send
	pending   bool    // no outcome yet
	notRun    bool    // proven not to have run
	executing bool    // the server is working on it, as far as is known
}

// setExecuting records whether the server is working on a: not before the last byte of the
// request has arrived, and not after the response has begun. This guards against servers that
// look loaded because their peers are slow to write or read.
func (a *attempt) setExecuting(executing bool) {
	switch {
	case executing && !a.executing:
		a.server.outstanding++
	case !executing && a.executing:
		a.server.outstanding--
	}
	a.executing = executing
}

// request is a Request with the state that the Balancer keeps until it has ended.
type request struct {
	Request
	class         *class
	maxAttempts   int           // attempts that it may have
	delayLimit    time.Duration // a longer expected delay means a refusal
	startedAt     Time          // estimated time of the client's first try
	aimEnd        Time          // an answer after this has lost worth
	answerBy      Time          // latest time of a final answer
	heldUntil     Time          // while held: when the request is refused
	probed        []*server     // servers probed by the latest round that it started
	probeReplies  int           // probe replies to all its rounds
	attempts      []attempt
	priorAttempts []attempt // of earlier requests under its key, which may have run
	outstanding   int
	ended         bool
	noMoreSends   bool     // no further attempt may be sent
	receivedAt    Time     // when it arrived, or when its upload ended
	sites         []string // sites that may serve it; nil: all
	spilled       bool     // assigned to a site that takes over from another
	relativeWorth float64  // worth for its time, relative to the highest of all classes
	// If refused because other sites are full: time until one may have room.
	spillRetryAfter time.Duration
	responseStarted bool // the response has begun and reached the client
}

// timerToken returns the token of the timers of a request.
func timerToken(id RequestID) string { return strconv.FormatUint(uint64(id), 36) }

// sortByHash sorts servers by a hash of their ID and salt.
func sortByHash(list []*server, salt uint64) {
	slices.SortFunc(list, func(x, y *server) int {
		return cmp.Or(cmp.Compare(hash(x.ID, salt), hash(y.ID, salt)), cmp.Compare(x.ID, y.ID))
	})
}

// hash returns a hash of id and salt.
func hash(id ServerID, salt uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	x := h.Sum64() ^ salt*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

package load

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Plan is what is sent, and when.
type Plan struct {
	Seed         uint64
	EvenlySpaced bool // arrivals at even distances, else random ones
	Stages       Chain
	Classes      []Class
	Limits       Limits
}

// Limits bound a run, and what is held for right. Zero values take their defaults.
type Limits struct {
	MaxOpen        int           // requests at once; 10,000. One more is not sent, and counts as such
	MaxConnections int           // to the target; 1,000
	TrustedLag     time.Duration // p99 of a window from which on it is not to be trusted; 1 ms
	MaxLate        time.Duration // an arrival that is later than that is not sent; 50 ms
	Window         time.Duration // 1 s
	MinPause       time.Duration // from when on a standstill of this process counts; 10 ms
}

func (l Limits) withDefaults() Limits {
	def := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	if l.MaxOpen == 0 {
		l.MaxOpen = 10_000
	}
	if l.MaxConnections == 0 {
		l.MaxConnections = 1000
	}
	def(&l.TrustedLag, time.Millisecond)
	def(&l.MaxLate, 50*time.Millisecond)
	def(&l.Window, time.Second)
	def(&l.MinPause, 10*time.Millisecond)
	return l
}

// Class is a kind of request.
type Class struct {
	Name           string
	Share          float64 // of all, beside those of other classes
	Method         string  // GET
	Path           string  // {class} and {key} stand for what they say; /{class}/{key}
	Header         map[string]string
	Body           string
	BodySize       int // of a body of letters, in place of Body
	Tenants        []string
	Keys           int           // how many there are; 0: each request has a new one
	Zipf           float64       // above 1: some are asked for more than others, by this power; 0: all alike
	IdempotencyKey bool          // it brings an Idempotency-Key
	Cost           time.Duration // told as X-Cost; 0: not
	Timeout        time.Duration // of one try, told as X-Timeout-Ms; 2 s
	Retry          Retry
}

// Retry is what a client does that was not served.
type Retry struct {
	Max             int           // tries after the first; at most 3
	Wait            time.Duration // before each
	HonorRetryAfter bool          // it comes back no sooner than it was told
}

const (
	mostClasses = 100
	mostRetries = 3
	mostSize    = 32 << 20
)

// Check tells the first key that cannot be used.
func (p *Plan) Check() error {
	if len(p.Stages) == 0 {
		return errors.New("stages: there are none")
	}
	if p.Stages.Length() > mostFor {
		return fmt.Errorf("stages: they last %v, over %v", p.Stages.Length(), mostFor)
	}
	for i, s := range p.Stages {
		if err := s.Check(); err != nil {
			return fmt.Errorf("stages: number %d: %w", i+1, err)
		}
	}
	return p.checkClasses()
}

func (p *Plan) checkClasses() error {
	if len(p.Classes) == 0 || len(p.Classes) > mostClasses {
		return fmt.Errorf("classes: %d of them, want 1 to %d", len(p.Classes), mostClasses)
	}
	sum := 0.0
	seen := map[string]bool{}
	for _, c := range p.Classes {
		wrong := func(key, form string, args ...any) error {
			return fmt.Errorf("classes %q: %s: %s", c.Name, key, fmt.Sprintf(form, args...))
		}
		switch {
		case c.Name == "" || strings.ContainsAny(c.Name, "/ \r\n"):
			return wrong("name", "it is empty, or has a slash or a space")
		case seen[c.Name]:
			return wrong("name", "is there twice")
		case !(c.Share >= 0):
			return wrong("share", "%v is below 0", c.Share)
		case c.BodySize < 0 || c.BodySize > mostSize:
			return wrong("size", "%d is outside 0 to %d", c.BodySize, mostSize)
		case c.Body != "" && c.BodySize > 0:
			return wrong("size", "body is set too")
		case c.Keys < 0:
			return wrong("keys", "%d is below 0", c.Keys)
		case c.Zipf != 0 && !(c.Zipf > 1 && c.Zipf < 20):
			return wrong("zipf", "%v is outside 1 to 20", c.Zipf)
		case c.Zipf != 0 && c.Keys == 0:
			return wrong("zipf", "keys is not set")
		case c.Timeout < 0 || c.Timeout > time.Hour:
			return wrong("timeout", "%v is outside 0 to an hour", c.Timeout)
		case c.Retry.Max < 0 || c.Retry.Max > mostRetries:
			return wrong("retries", "%d is outside 0 to %d", c.Retry.Max, mostRetries)
		case c.Retry.Wait < 0:
			return wrong("retry_wait", "%v is negative", c.Retry.Wait)
		}
		if _, err := http.NewRequest(c.method(), "http://x"+c.path("k"), nil); err != nil {
			return wrong("path", "%v", err)
		}
		seen[c.Name] = true
		sum += c.Share
	}
	if sum <= 0 {
		return errors.New("classes: their shares add up to nothing")
	}
	return nil
}

func (c *Class) method() string {
	if c.Method == "" {
		return http.MethodGet
	}
	return c.Method
}

func (c *Class) path(key string) string {
	path := c.Path
	if path == "" {
		path = "/{class}/{key}"
	}
	return strings.NewReplacer("{class}", c.Name, "{key}", key).Replace(path)
}

func (c *Class) timeout() time.Duration {
	if c.Timeout == 0 {
		return 2 * time.Second
	}
	return c.Timeout
}

// Request is one first try that is to be sent.
type Request struct {
	At      time.Duration // from the begin
	Class   int           // its place among the plan's
	Method  string        // empty: its class's
	Path    string
	Key     string // its Idempotency-Key; empty: none
	Tenant  string
	Body    string
	Cost    time.Duration
	RetryOf int // in a replay: of which request before it this is a retry, -1 of one that is not in it; 0: of none
}

// Source tells what is sent, in order.
type Source interface {
	// Next returns the next request, or false if there is none.
	Next() (Request, bool)
	// Length is how long it lasts.
	Length() time.Duration
}

// drawn is the Source of a plan.
type drawn struct {
	plan  *Plan
	rng   *rand.Rand
	zipf  []*rand.Zipf
	next  func() (time.Duration, bool)
	stop  func()
	count int
	sum   float64
	fill  []string
}

package load

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Plan describes the requests to send and when to send them.
type Plan struct {
	Seed         uint64
	EvenlySpaced bool // arrivals without randomness; else a Poisson process
	Stages       Chain
	Classes      []Class
	Limits       Limits
}

// Limits bounds a run and the conditions under which its results are trusted. Zero values take the
// defaults.
type Limits struct {
	MaxOpen        int           // open requests; more are counted as unsent; 10,000
	MaxConnections int           // connections to the target; 1,000
	TrustedLag     time.Duration // a window with a higher p99 lag is untrusted; 1 ms
	MaxLate        time.Duration // an arrival that is later is not sent; 50 ms
	Window         time.Duration // length of a window; 1 s
	MinPause       time.Duration // a longer pause of this process is counted; 10 ms
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

// Class describes one kind of request.
type Class struct {
	Name           string
	Share          float64 // of the requests, relative to the shares of the other classes
	Method         string  // default GET
	Path           string  // {class} and {key} are replaced; default /{class}/{key}
	Header         map[string]string
	Body           string
	BodySize       int // size of a filler body, in place of Body
	Tenants        []string
	Keys           int           // number of keys; 0: a new key per request
	Zipf           float64       // exponent of a Zipf distribution of keys, above 1; 0: uniform
	IdempotencyKey bool          // requests carry an Idempotency-Key
	Cost           time.Duration // sent as X-Cost; 0: not sent
	Timeout        time.Duration // of one try, sent as X-Timeout-Ms; 2 s
	Retry          Retry
}

// Retry configures how clients retry requests that were not served.
type Retry struct {
	Max             int           // tries after the first, at most 3
	Wait            time.Duration // before each retry
	HonorRetryAfter bool          // wait at least for the time in Retry-After
}

const (
	maxClasses  = 100
	maxRetries  = 3
	maxBodySize = 32 << 20
)

// Check returns an error that names the first invalid key.
func (p *Plan) Check() error {
	if len(p.Stages) == 0 {
		return errors.New("stages: none is configured")
	}
	if p.Stages.Length() > maxDuration {
		return fmt.Errorf("stages: they last %v, over %v", p.Stages.Length(), maxDuration)
	}
	for i, s := range p.Stages {
		if err := s.Check(); err != nil {
			return fmt.Errorf("stages: number %d: %w", i+1, err)
		}
	}
	return p.checkClasses()
}

func (p *Plan) checkClasses() error {
	if len(p.Classes) == 0 || len(p.Classes) > maxClasses {
		return fmt.Errorf("classes: %d of them, want 1 to %d", len(p.Classes), maxClasses)
	}
	sum := 0.0
	seen := map[string]bool{}
	for _, c := range p.Classes {
		invalid := func(key, form string, args ...any) error {
			return fmt.Errorf("classes %q: %s: %s", c.Name, key, fmt.Sprintf(form, args...))
		}
		switch {
		case c.Name == "" || strings.ContainsAny(c.Name, "/ \r\n"):
			return invalid("name", "it is empty, or contains a slash, a space or a line break")
		case seen[c.Name]:
			return invalid("name", "is there twice")
		case !(c.Share >= 0):
			return invalid("share", "%v is below 0", c.Share)
		case c.BodySize < 0 || c.BodySize > maxBodySize:
			return invalid("size", "%d is outside 0 to %d", c.BodySize, maxBodySize)
		case c.Body != "" && c.BodySize > 0:
			return invalid("size", "body is also set")
		case c.Keys < 0:
			return invalid("keys", "%d is below 0", c.Keys)
		case c.Zipf != 0 && !(c.Zipf > 1 && c.Zipf < 20):
			return invalid("zipf", "%v is outside 1 to 20", c.Zipf)
		case c.Zipf != 0 && c.Keys == 0:
			return invalid("zipf", "keys is not set")
		case c.Timeout < 0 || c.Timeout > time.Hour:
			return invalid("timeout", "%v is outside 0 to an hour", c.Timeout)
		case c.Retry.Max < 0 || c.Retry.Max > maxRetries:
			return invalid("retries", "%d is outside 0 to %d", c.Retry.Max, maxRetries)
		case c.Retry.Wait < 0:
			return invalid("retry_wait", "%v is negative", c.Retry.Wait)
		}
		if _, err := http.NewRequest(c.method(), "http://x"+c.path("k"), nil); err != nil {
			return invalid("path", "%v", err)
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

// Request is one scheduled request.
type Request struct {
	At      time.Duration // from the start of the run
	Class   int           // index into the classes
	Method  string        // empty: the method of its class
	Path    string
	Key     string // value of Idempotency-Key; empty: none
	Tenant  string
	Body    string
	Cost    time.Duration
	RetryOf int // replay: number of the entry it retries; -1: one outside the trace; 0: none
}

// Source yields the requests to send in the order of their times.
type Source interface {
	// Next returns the next request, or false at the end.
	Next() (Request, bool)
	// Length returns the total duration.
	Length() time.Duration
}

// planSource is the Source of a Plan.
type planSource struct {
	plan     *Plan
	rng      *rand.Rand
	zipf     []*rand.Zipf
	next     func() (time.Duration, bool)
	stop     func()
	count    int
	shareSum float64
	padding  []string
}

// Package dnslist resolves lists of servers from DNS: the addresses of a name (A and AAAA records,
// RFC 1035 and RFC 3596) or its services (SRV records, RFC 2782). A Cache, which has no clock and
// does no I/O, decides which list to use and when to query again.
package dnslist

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// MaxServers is the maximum number of servers in a list. A longer answer is cut after sorting by
// address, so that every instance uses the same servers.
const MaxServers = 10_000

// Record is one server in an answer.
type Record struct {
	Addr     string // host:port
	Weight   uint16 // SRV
	Priority uint16 // SRV: only the records with the lowest value are used
}

// Answer is the result of a lookup.
type Answer struct {
	Records []Record
	TTL     time.Duration // the smallest of all records, or the negative TTL of RFC 2308
}

// ErrNoRecords is matched by the error of a Resolver that got a negative answer: the name does not
// exist or has no records of that kind. The Answer returned with it holds the TTL.
var ErrNoRecords = errors.New("dnslist: no such records")

// CacheConfig configures a Cache. Zero values select the defaults.
type CacheConfig struct {
	// MinInterval and MaxInterval bound the time between two queries, whatever the TTL. They
	// default to 1 s and 1 min.
	MinInterval time.Duration
	MaxInterval time.Duration
	// KeepFor is how long the last good list stays in use while lookups fail or return no records.
	// It defaults to 1 h. Negative: forever.
	KeepFor time.Duration
	// EmptyThreshold is the number of consecutive answers without records after which the list
	// becomes empty. 0: they never empty it before KeepFor has passed. It guards against a zone
	// that is published empty by mistake, which would empty the list of every instance at once.
	EmptyThreshold int
}

// withDefaults fills in the defaults and validates the result.
func (c CacheConfig) withDefaults() (CacheConfig, error) {
	c.MinInterval = cmp.Or(c.MinInterval, time.Second)
	c.MaxInterval = cmp.Or(c.MaxInterval, time.Minute)
	c.KeepFor = cmp.Or(c.KeepFor, time.Hour)
	if c.MinInterval < 10*time.Millisecond || c.MaxInterval < c.MinInterval || c.MaxInterval > 24*time.Hour || c.EmptyThreshold < 0 {
		return c, fmt.Errorf("dnslist: min interval %v, max interval %v, empty threshold %d: want 10ms <= min <= max <= 24h and a threshold of at least 0", c.MinInterval, c.MaxInterval, c.EmptyThreshold)
	}
	return c, nil
}

// Cache holds the list that is in use. The caller passes the time, which must not go backwards.
type Cache struct {
	config      CacheConfig
	list        []Record
	valid       bool          // list came from an answer and has not expired
	confirmedAt time.Duration // time of the latest answer with records
	failures    int           // consecutive failures, empty answers included
	empty       int           // consecutive empty answers
}

// NewCache returns a Cache without a list.
func NewCache(config CacheConfig) (*Cache, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Cache{config: config}, nil
}

// Result is the outcome of an Update.
type Result struct {
	List         []Record      // the list to use from now on, sorted by address
	Changed      bool          // List differs from the previous one
	RefreshAfter time.Duration // when to query again, from now
	Stale        bool          // List comes from an earlier answer
}

// Update processes the result of a lookup. An answer with records replaces the list. After an
// answer without records or a failure, the last good list stays in use for KeepFor. The next query
// then follows after a backoff that doubles from MinInterval to MaxInterval, or after the negative
// TTL, up to MaxInterval, if that is longer. A list that alternates between answers is reported
// each time: smoothing it would send requests to servers that are gone.
func (c *Cache) Update(now time.Duration, answer Answer, err error) Result {
	if err == nil && len(answer.Records) > 0 {
		list := selectRecords(answer.Records)
		changed := !c.valid || !slices.Equal(list, c.list)
		c.list, c.valid, c.confirmedAt, c.failures, c.empty = list, true, now, 0, 0
		return Result{List: c.list, Changed: changed, RefreshAfter: min(max(answer.TTL, c.config.MinInterval), c.config.MaxInterval)}
	}
	noRecords := err == nil || errors.Is(err, ErrNoRecords)
	if noRecords {
		c.empty++
	} else {
		c.empty = 0
	}
	c.failures++
	backoff := c.config.MinInterval << min(c.failures-1, 20)
	if backoff > c.config.MaxInterval || backoff <= 0 {
		backoff = c.config.MaxInterval
	}
	if noRecords {
		backoff = min(max(backoff, answer.TTL), c.config.MaxInterval)
	}
	expired := c.config.KeepFor >= 0 && now-c.confirmedAt >= c.config.KeepFor || noRecords && c.config.EmptyThreshold > 0 && c.empty >= c.config.EmptyThreshold
	if c.valid && expired {
		c.list, c.valid = nil, false
		return Result{Changed: true, RefreshAfter: backoff}
	}
	return Result{List: c.list, RefreshAfter: backoff, Stale: c.valid}
}

// selectRecords returns the records to use: those of the lowest priority, sorted by address, with
// each address once and at most MaxServers in all.
func selectRecords(records []Record) []Record {
	lowest := records[0].Priority
	for _, r := range records {
		lowest = min(lowest, r.Priority)
	}
	list := make([]Record, 0, len(records))
	for _, r := range records {
		if r.Priority == lowest {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(b.Weight, a.Weight)) })
	list = slices.CompactFunc(list, func(a, b Record) bool { return a.Addr == b.Addr })
	return list[:min(len(list), MaxServers)]
}

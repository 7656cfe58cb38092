// Package dnslist takes the list of servers from DNS: the addresses of a name (A and AAAA, RFC 1035 and 3596) or its services (SRV,
// RFC 2782). What is kept and when to ask again is decided by a Keeper, which has no clock and does no I/O.
package dnslist

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// MaxServers bounds a list. Of a longer answer the first in the order of their addresses are taken, so that every instance takes the
// same.
const MaxServers = 10_000

// Record is one server of an answer.
type Record struct {
	Addr     string // host:port
	Weight   uint16 // SRV
	Priority uint16 // SRV: only those of the lowest are used
}

// Answer is what a resolver has found.
type Answer struct {
	Records []Record
	TTL     time.Duration // the least of all records; of a negative answer that of RFC 2308
}

// ErrNoRecords is matched by the error of a resolver that was told, by whoever knows, that there is nothing of that name or kind. Its
// Answer has the TTL.
var ErrNoRecords = errors.New("dnslist: there is no such record")

// CacheConfig say how a list is kept. Zero values take the defaults.
type CacheConfig struct {
	MinInterval time.Duration // between two questions, whatever the TTL; 1 s
	MaxInterval time.Duration // the same; 1 min
	KeepFor     time.Duration // how long a list that was good stays while answers fail or are empty; 1 h. Negative: for ever
	// EmptyThreshold takes an answer without records for the truth once it has come that often in a row; 0: never. Guards against a zone
	// that is published empty by mistake, which would empty the fleet of all instances at once.
	EmptyThreshold int
}

func (r CacheConfig) withDefaults() (CacheConfig, error) {
	r.MinInterval = cmp.Or(r.MinInterval, time.Second)
	r.MaxInterval = cmp.Or(r.MaxInterval, time.Minute)
	r.KeepFor = cmp.Or(r.KeepFor, time.Hour)
	if r.MinInterval < 10*time.Millisecond || r.MaxInterval < r.MinInterval || r.MaxInterval > 24*time.Hour || r.EmptyThreshold < 0 {
		return r, fmt.Errorf("dnslist: between %v and %v, after %d empty answers: want 10ms to 24h, and no fewer than 0", r.MinInterval, r.MaxInterval, r.EmptyThreshold)
	}
	return r, nil
}

// Cache holds the list as it is to be used. Times are the caller's and never run backwards.
type Cache struct {
	rules CacheConfig
	list  []Record
	good  bool          // list came from an answer, and still holds
	since time.Duration // the latest answer that confirmed it
	fails int           // failures in a row, empty answers among them
	empty int           // empty answers in a row
}

// NewCache returns a keeper without a list.
func NewCache(r CacheConfig) (*Cache, error) {
	r, err := r.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Cache{rules: r}, nil
}

// Result is what follows from an answer.
type Result struct {
	List         []Record      // the list to use from now on, in the order of addresses
	Changed      bool          // it is another than before
	RefreshAfter time.Duration // when to ask again, from now
	Stale        bool          // the list stands on an earlier answer
}

// Update takes what a resolver has returned. An answer with records replaces the list. One without, or a failure, leaves the list
// that was good for KeepFor; the next question comes after a pause that doubles from Min to Max, or the negative answer's TTL if
// that is longer. A list that flips between answers is told as it flips: to smooth it would send to servers that are gone.
func (k *Cache) Update(now time.Duration, a Answer, err error) Result {
	if err == nil && len(a.Records) > 0 {
		list := chosen(a.Records)
		changed := !k.good || !slices.Equal(list, k.list)
		k.list, k.good, k.since, k.fails, k.empty = list, true, now, 0, 0
		return Result{List: k.list, Changed: changed, RefreshAfter: min(max(a.TTL, k.rules.MinInterval), k.rules.MaxInterval)}
	}
	none := err == nil || errors.Is(err, ErrNoRecords)
	if none {
		k.empty++
	} else {
		k.empty = 0
	}
	k.fails++
	pause := k.rules.MinInterval << min(k.fails-1, 20)
	if pause > k.rules.MaxInterval || pause <= 0 {
		pause = k.rules.MaxInterval
	}
	if none {
		pause = min(max(pause, a.TTL), k.rules.MaxInterval)
	}
	over := k.rules.KeepFor >= 0 && now-k.since >= k.rules.KeepFor || none && k.rules.EmptyThreshold > 0 && k.empty >= k.rules.EmptyThreshold
	if k.good && over {
		k.list, k.good = nil, false
		return Result{Changed: true, RefreshAfter: pause}
	}
	return Result{List: k.list, RefreshAfter: pause, Stale: k.good}
}

// chosen returns the records to use, each address once, in order.
func chosen(records []Record) []Record {
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

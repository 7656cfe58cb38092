package routes

import (
	"container/list"
	"errors"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Splitter divides the traffic of a route among pools by weight. While the weights stay the same, a
// key stays with one pool. When they change, the fewest possible keys move. A Splitter is not safe
// for concurrent use. It has no clock: callers pass the time, which must never decrease.
//
// It uses weighted rendezvous hashing (Schindelhauer and Schomaker, SPAA 2005): each pool has the
// score -w/ln(h) with a hash h of key and pool, and the highest score wins. A key moves only if a
// pool whose weight increased overtakes its pool, or if the weight of its pool decreased and it
// falls behind. The share of keys that moves is half the sum of the changes of all shares, which is
// the minimum of any method.
//
// In addition, a key can be pinned: it stays with its pool for a window after its latest request,
// whatever the weights are. Otherwise servers of two pools could both execute an order under one
// key, because neither pool knows which repeats the other has dropped. The number of pinned keys is
// limited. When the limit is reached, the least recently used key is unpinned before its window has
// passed, which EarlyEvictions counts.
type Splitter struct {
	pools   []WeightedPool
	window  time.Duration
	maxPins int

	pins           map[string]*list.Element
	byAge          *list.List // of *pinnedKey, the most recently used at the back
	earlyEvictions int64
}

// pinnedKey is a key that stays with its pool.
type pinnedKey struct {
	key      string
	pool     string
	lastUsed time.Duration
}

// NewSplitter returns a Splitter that pins at most maxPins keys, each for window after its latest
// request. A window of 0 pins no keys.
func NewSplitter(pools []WeightedPool, window time.Duration, maxPins int) (*Splitter, error) {
	if maxPins < 1 || window < 0 {
		return nil, errors.New("routes: a splitter needs room for at least one key and a window that is not negative")
	}
	s := &Splitter{window: window, maxPins: maxPins, pins: map[string]*list.Element{}, byAge: list.New()}
	s.SetWeights(pools)
	return s, nil
}

// SetWeights replaces the weights. Pinned keys stay with their pools.
func (s *Splitter) SetWeights(pools []WeightedPool) { s.pools = slices.Clone(pools) }

// SetWindow changes how long keys are pinned, including those that are pinned already.
func (s *Splitter) SetWindow(window time.Duration) { s.window = window }

// Pick returns the pool for a request with key. sticky pins the key to the pool, as keyed and
// unsafe requests need it. ready reports which pools can accept a request; nil means all of them.
// A sticky request stays with the pool that its key is pinned to even if that pool is not ready.
// The result is empty if no pool with a weight above 0 is ready.
func (s *Splitter) Pick(now time.Duration, key string, sticky bool, ready func(pool string) bool) (pool string) {
	s.expire(now)
	if e := s.pins[key]; e != nil {
		pinned := e.Value.(*pinnedKey)
		if sticky || ready == nil || ready(pinned.pool) {
			if sticky {
				pinned.lastUsed = now
				s.byAge.MoveToBack(e)
			}
			return pinned.pool
		}
	}
	best := math.Inf(-1)
	for _, p := range s.pools {
		if p.Weight <= 0 || ready != nil && !ready(p.Pool) {
			continue
		}
		if score := -p.Weight / math.Log(hashToUnit(key, p.Pool)); score > best {
			pool, best = p.Pool, score
		}
	}
	if sticky && pool != "" {
		s.pin(now, key, pool)
	}
	return pool
}

// PinnedPool returns the pool that key is pinned to, if any.
func (s *Splitter) PinnedPool(now time.Duration, key string) (pool string, ok bool) {
	s.expire(now)
	if e := s.pins[key]; e != nil {
		return e.Value.(*pinnedKey).pool, true
	}
	return "", false
}

// Pin pins key to a pool that was not chosen by Pick.
func (s *Splitter) Pin(now time.Duration, key, pool string) {
	s.expire(now)
	if e := s.pins[key]; e != nil {
		s.unpin(e)
	}
	s.pin(now, key, pool)
}

// pin records that a request with key was sent to pool. The key must not be pinned already.
func (s *Splitter) pin(now time.Duration, key, pool string) {
	if s.window == 0 {
		return
	}
	if len(s.pins) >= s.maxPins {
		s.unpin(s.byAge.Front())
		s.earlyEvictions++
	}
	s.pins[key] = s.byAge.PushBack(&pinnedKey{key, pool, now})
}

// expire unpins the keys whose window has passed.
func (s *Splitter) expire(now time.Duration) {
	for e := s.byAge.Front(); e != nil && now-e.Value.(*pinnedKey).lastUsed > s.window; e = s.byAge.Front() {
		s.unpin(e)
	}
}

func (s *Splitter) unpin(e *list.Element) {
	delete(s.pins, e.Value.(*pinnedKey).key)
	s.byAge.Remove(e)
}

// PinnedKeys returns the number of pinned keys.
func (s *Splitter) PinnedKeys() int { return len(s.pins) }

// EarlyEvictions returns how many keys were unpinned before their window had passed because the
// maximum number of keys was reached.
func (s *Splitter) EarlyEvictions() int64 { return s.earlyEvictions }

// hashToUnit hashes key and pool to a number between 0 and 1, both excluded.
func hashToUnit(key, pool string) float64 {
	h := fnv.New64a()
	h.Write([]byte(pool))
	h.Write([]byte{0})
	h.Write([]byte(key))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // splitmix64's finalizer: the low bits of FNV are poor
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

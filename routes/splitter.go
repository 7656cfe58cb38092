package routes

import (
	"container/list"
	"errors"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Splitter divides a route's traffic among pools by weight. A key stays with one pool while weights stay, and when they move no
// more keys do than must. Its methods are for one goroutine at a time. It has no clock: times are the caller's, and never run
// backwards.
//
// It picks by weighted rendezvous hashing (Schindelhauer and Schomaker, SPAA 2005): each pool scores -w/ln(h) with a hash h of key and
// pool, and the highest score wins. A key moves only if a pool that grew overtakes, or one that shrank falls behind: the share of keys
// that moves is half the sum of the changes of all shares, the least that any way could move.
//
// Beside that, a key that was sent to a pool stays there for a window after its latest request, whatever the weights say: it guards
// against servers of two pools that each execute an order under one key, as neither knows what the other has dropped. At most so many
// keys are held; when there are more the oldest goes early, and Early counts it.
type Splitter struct {
	pools  []WeightedPool
	window time.Duration
	most   int

	held  map[string]*list.Element
	order *list.List // of *heldKey, the latest at the back
	early int64
}

type heldKey struct {
	key  string
	pool string
	at   time.Duration
}

// NewSplitter returns a splitter that holds at most that many keys, each for window after its latest request.
func NewSplitter(pools []WeightedPool, window time.Duration, most int) (*Splitter, error) {
	if most < 1 || window < 0 {
		return nil, errors.New("routes: a splitter must hold keys, and for some time")
	}
	s := &Splitter{window: window, most: most, held: map[string]*list.Element{}, order: list.New()}
	s.SetWeights(pools)
	return s, nil
}

// SetWeights moves the weights. Keys that are held stay.
func (s *Splitter) SetWeights(pools []WeightedPool) { s.pools = slices.Clone(pools) }

// SetWindow changes for how long keys are held. Those that are held stay for the new one.
func (s *Splitter) SetWindow(window time.Duration) { s.window = window }

// Pick returns the pool of a key at a time. firm says that the key must not move within the window: that of a keyed or unsafe
// request. ready tells which pools can take a request; nil: all. A firm key whose pool is not ready stays with it all the same. An
// empty pool says that no pool of any weight is ready.
func (s *Splitter) Pick(now time.Duration, key string, firm bool, ready func(pool string) bool) (pool string) {
	s.expire(now)
	if e := s.held[key]; e != nil {
		h := e.Value.(*heldKey)
		if firm || ready == nil || ready(h.pool) {
			if firm {
				h.at = now
				s.order.MoveToBack(e)
			}
			return h.pool
		}
	}
	best := math.Inf(-1)
	for _, p := range s.pools {
		if p.Weight <= 0 || ready != nil && !ready(p.Pool) {
			continue
		}
		if score := -p.Weight / math.Log(unit(key, p.Pool)); score > best {
			pool, best = p.Pool, score
		}
	}
	if firm && pool != "" {
		s.hold(now, key, pool)
	}
	return pool
}

// PinnedPool returns the pool that a key is kept with at a time, if it is.
func (s *Splitter) PinnedPool(now time.Duration, key string) (pool string, ok bool) {
	s.expire(now)
	if e := s.held[key]; e != nil {
		return e.Value.(*heldKey).pool, true
	}
	return "", false
}

// Pin keeps a key with a pool that was picked by other means.
func (s *Splitter) Pin(now time.Duration, key, pool string) {
	s.expire(now)
	if e := s.held[key]; e != nil {
		s.drop(e)
	}
	s.hold(now, key, pool)
}

// hold notes that a key was sent to a pool.
func (s *Splitter) hold(now time.Duration, key, pool string) {
	if s.window == 0 {
		return
	}
	if len(s.held) >= s.most {
		s.drop(s.order.Front())
		s.early++
	}
	s.held[key] = s.order.PushBack(&heldKey{key, pool, now})
}

func (s *Splitter) expire(now time.Duration) {
	for e := s.order.Front(); e != nil && now-e.Value.(*heldKey).at > s.window; e = s.order.Front() {
		s.drop(e)
	}
}

func (s *Splitter) drop(e *list.Element) {
	delete(s.held, e.Value.(*heldKey).key)
	s.order.Remove(e)
}

// PinnedKeys is how many keys are held.
func (s *Splitter) PinnedKeys() int { return len(s.held) }

// EarlyEvictions counts the keys that were let go before their window had passed, for want of room.
func (s *Splitter) EarlyEvictions() int64 { return s.early }

// unit hashes a key and a pool to a number within 0 and 1, both excluded.
func unit(key, pool string) float64 {
	h := fnv.New64a()
	h.Write([]byte(pool))
	h.Write([]byte{0})
	h.Write([]byte(key))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // the finalizer of splitmix64: FNV's low bits are poor
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

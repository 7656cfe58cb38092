package index

// Rand returns random numbers in [0, n). *rand.Rand of math/rand/v2 implements it.
type Rand interface{ IntN(n int) int }

// Set is a set of keys that can be sampled uniformly without iterating over it. The zero value is
// empty.
type Set[K comparable] struct {
	keys     []K
	position map[K]int32 // of each key in keys
}

// Len returns the number of keys.
func (s *Set[K]) Len() int { return len(s.keys) }

// Has reports whether key is in the set.
func (s *Set[K]) Has(key K) bool {
	_, ok := s.position[key]
	return ok
}

// Add adds key and reports whether it was added: it is not if it was present.
func (s *Set[K]) Add(key K) bool {
	if s.Has(key) {
		return false
	}
	if s.position == nil {
		s.position = map[K]int32{}
	}
	s.position[key] = int32(len(s.keys))
	s.keys = append(s.keys, key)
	return true
}

// Remove removes key and reports whether it was present.
func (s *Set[K]) Remove(key K) bool {
	i, ok := s.position[key]
	if !ok {
		return false
	}
	last := len(s.keys) - 1
	s.swap(int(i), last)
	var zero K
	s.keys[last] = zero
	s.keys = s.keys[:last]
	delete(s.position, key)
	return true
}

func (s *Set[K]) swap(i, j int) {
	if i == j {
		return
	}
	s.keys[i], s.keys[j] = s.keys[j], s.keys[i]
	s.position[s.keys[i]], s.position[s.keys[j]] = int32(i), int32(j)
}

// Draw returns a key chosen uniformly at random. It panics if the set is empty.
func (s *Set[K]) Draw(r Rand) K { return s.keys[r.IntN(len(s.keys))] }

// Sample appends n distinct keys, or all if there are fewer, to dst and returns it. Every
// combination of keys is equally likely. The time taken depends on n alone.
func (s *Set[K]) Sample(r Rand, n int, dst []K) []K {
	n = min(n, len(s.keys))
	for i := range n { // the first n steps of a Fisher-Yates shuffle
		s.swap(i, i+r.IntN(len(s.keys)-i))
	}
	return append(dst, s.keys[:n]...)
}

// DrawMatching draws up to maxDraws keys and returns the first that matches: a uniform choice among
// the matching keys. It suits predicates that most keys match. found is false if no drawn key
// matched.
func (s *Set[K]) DrawMatching(r Rand, maxDraws int, match func(K) bool) (key K, found bool) {
	if len(s.keys) == 0 {
		return key, false
	}
	for range maxDraws {
		if k := s.Draw(r); match(k) {
			return k, true
		}
	}
	return key, false
}

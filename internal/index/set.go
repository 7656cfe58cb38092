package index

// Rand draws a number from 0 to n-1, as math/rand/v2's Rand does.
type Rand interface{ IntN(n int) int }

// Set is a set that draws from its keys uniformly, without walking them. The zero value is empty.
type Set[K comparable] struct {
	keys  []K
	where map[K]int32
}

// Len is how many keys there are.
func (s *Set[K]) Len() int { return len(s.keys) }

// Has reports whether a key is in the set.
func (s *Set[K]) Has(key K) bool {
	_, has := s.where[key]
	return has
}

// Add adds a key, and reports whether it is new.
func (s *Set[K]) Add(key K) bool {
	if s.Has(key) {
		return false
	}
	if s.where == nil {
		s.where = map[K]int32{}
	}
	s.where[key] = int32(len(s.keys))
	s.keys = append(s.keys, key)
	return true
}

// Remove takes a key out, and reports whether it was there.
func (s *Set[K]) Remove(key K) bool {
	i, has := s.where[key]
	if !has {
		return false
	}
	last := len(s.keys) - 1
	s.swap(int(i), last)
	var zero K
	s.keys[last] = zero
	s.keys = s.keys[:last]
	delete(s.where, key)
	return true
}

func (s *Set[K]) swap(i, j int) {
	if i == j {
		return
	}
	s.keys[i], s.keys[j] = s.keys[j], s.keys[i]
	s.where[s.keys[i]], s.where[s.keys[j]] = int32(i), int32(j)
}

// Draw returns a key, each alike often. It panics where there is none.
func (s *Set[K]) Draw(r Rand) K { return s.keys[r.IntN(len(s.keys))] }

// Sample appends n different keys to to, or all where there are fewer, each choice alike often. Its time grows with n alone.
func (s *Set[K]) Sample(r Rand, n int, to []K) []K {
	n = min(n, len(s.keys))
	for i := range n { // the first steps of Fisher and Yates
		s.swap(i, i+r.IntN(len(s.keys)-i))
	}
	return append(to, s.keys[:n]...)
}

// DrawMatching draws keys until ok holds for one, at most tries times, and returns it: a uniform choice among those for which it holds, where most do. has
// is false if none was found.
func (s *Set[K]) DrawMatching(r Rand, tries int, ok func(K) bool) (key K, has bool) {
	if len(s.keys) == 0 {
		return key, false
	}
	for range tries {
		if k := s.Draw(r); ok(k) {
			return k, true
		}
	}
	return key, false
}

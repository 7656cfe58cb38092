// Package index provides indexed collections for load-balancing policies whose decisions must cost
// the same for ten servers as for a hundred thousand: a set ordered by hash with ranks, a set that
// can be sampled uniformly, and a queue of timers. The collections make no decisions and read no
// clock. They keep their capacity, so once grown they do not allocate. None of them is safe for
// concurrent use.
package index

import "cmp"

// noNode is the index of a missing child or of the root of an empty tree.
const noNode = -1

// RankedSet keeps keys ordered by hash, with ties broken by the key itself. Insert, Remove, At and
// Rank take logarithmic time in the number of keys. It is a treap (Seidel and Aragon, Algorithmica
// 1996) that stores the size of each subtree and derives the priority of a node from its hash and
// the number of insertions before it. Nodes live in one slice and are reused. The zero value is
// empty.
type RankedSet[K cmp.Ordered] struct {
	nodes []node[K]
	free  []int32 // indexes of unused nodes
	root  int32   // index of the root plus one: 0 is an empty set
	seed  uint64  // advances with each insertion, for the priorities
}

// node is a key in the treap. Its children are indexes of nodes, or noNode.
type node[K cmp.Ordered] struct {
	key         K
	hash        uint64
	priority    uint64
	left, right int32
	size        int32 // of the subtree, this node included
}

// Len returns the number of keys.
func (s *RankedSet[K]) Len() int { return s.size(s.root - 1) }

// size returns the number of nodes in the subtree of n.
func (s *RankedSet[K]) size(n int32) int {
	if n == noNode {
		return 0
	}
	return int(s.nodes[n].size)
}

// before reports whether node n sorts before (hash, key).
func (s *RankedSet[K]) before(n int32, hash uint64, key K) bool {
	m := &s.nodes[n]
	return m.hash < hash || m.hash == hash && m.key < key
}

// Insert adds key under hash and reports whether it was added: it is not if it was present.
func (s *RankedSet[K]) Insert(key K, hash uint64) bool {
	if _, present := s.Rank(key, hash); present {
		return false
	}
	s.seed += 0x9e3779b97f4a7c15
	n := node[K]{key: key, hash: hash, priority: mix64(hash ^ s.seed), left: noNode, right: noNode, size: 1}
	var i int32
	if last := len(s.free) - 1; last >= 0 {
		i = s.free[last]
		s.free = s.free[:last]
		s.nodes[i] = n
	} else {
		i = int32(len(s.nodes))
		s.nodes = append(s.nodes, n)
	}
	before, after := s.split(s.root-1, hash, key)
	s.root = s.merge(s.merge(before, i), after) + 1
	return true
}

// Remove removes a key that was inserted under hash, and reports whether it was present.
func (s *RankedSet[K]) Remove(key K, hash uint64) bool {
	if _, present := s.Rank(key, hash); !present {
		return false
	}
	at := s.root - 1
	var parent int32 = noNode
	left := false
	for {
		m := &s.nodes[at]
		if m.hash == hash && m.key == key {
			break
		}
		m.size--
		parent = at
		if left = !s.before(at, hash, key); left {
			at = m.left
		} else {
			at = m.right
		}
	}
	merged := s.merge(s.nodes[at].left, s.nodes[at].right)
	switch {
	case parent == noNode:
		s.root = merged + 1
	case left:
		s.nodes[parent].left = merged
	default:
		s.nodes[parent].right = merged
	}
	var zero node[K]
	s.nodes[at] = zero // so that the free node does not retain the key
	s.free = append(s.free, at)
	return true
}

// At returns the key with the given rank, counted from 0. It panics if rank is not below Len.
func (s *RankedSet[K]) At(rank int) K {
	for at := s.root - 1; ; {
		m := &s.nodes[at]
		switch left := s.size(m.left); {
		case rank < left:
			at = m.left
		case rank == left:
			return m.key
		default:
			rank -= left + 1
			at = m.right
		}
	}
}

// Rank returns the number of keys that sort before (hash, key), and reports whether key is present.
func (s *RankedSet[K]) Rank(key K, hash uint64) (rank int, present bool) {
	for at := s.root - 1; at != noNode; {
		m := &s.nodes[at]
		switch {
		case m.hash == hash && m.key == key:
			return rank + s.size(m.left), true
		case s.before(at, hash, key):
			rank += s.size(m.left) + 1
			at = m.right
		default:
			at = m.left
		}
	}
	return rank, false
}

// split divides the subtree of at into the nodes that sort before (hash, key) and the rest.
func (s *RankedSet[K]) split(at int32, hash uint64, key K) (before, after int32) {
	if at == noNode {
		return noNode, noNode
	}
	if s.before(at, hash, key) {
		a, b := s.split(s.nodes[at].right, hash, key)
		s.nodes[at].right = a
		s.updateSize(at)
		return at, b
	}
	a, b := s.split(s.nodes[at].left, hash, key)
	s.nodes[at].left = b
	s.updateSize(at)
	return a, at
}

// merge joins the subtrees a and b. Every node of a must sort before every node of b.
func (s *RankedSet[K]) merge(a, b int32) int32 {
	switch {
	case a == noNode:
		return b
	case b == noNode:
		return a
	case s.nodes[a].priority > s.nodes[b].priority:
		r := s.merge(s.nodes[a].right, b)
		s.nodes[a].right = r
		s.updateSize(a)
		return a
	}
	l := s.merge(a, s.nodes[b].left)
	s.nodes[b].left = l
	s.updateSize(b)
	return b
}

// updateSize recomputes the subtree size of a node from its children.
func (s *RankedSet[K]) updateSize(at int32) {
	m := &s.nodes[at]
	m.size = int32(1 + s.size(m.left) + s.size(m.right))
}

// mix64 is the finalizer of splitmix64 (Steele, Lea and Flood, OOPSLA 2014).
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Package index holds sets of servers for a decision module that must cost the same for ten servers as for a hundred thousand: an order by
// hash with ranks, a set that draws uniformly, and times of which the earliest is known. It decides nothing and has no clock. What a
// structure holds it keeps room for: once grown it allocates nothing. None of them is for several goroutines at once.
package index

import "cmp"

// none is the index of no node.
const none = -1

// RankedSet keeps keys in the order of their hashes, and of themselves where hashes are equal. Put, Remove, At and Rank take time logarithmic in
// the number of keys. It is a treap (Seidel and Aragon, Algorithmica 1996) whose priorities follow from hash and rank of arrival, with the
// size of each subtree; nodes lie in one slice and are used again. The zero value is empty.
type RankedSet[K cmp.Ordered] struct {
	nodes []node[K]
	free  []int32
	root  int32 // plus one: 0 is an empty order
	mix   uint64
}

type node[K cmp.Ordered] struct {
	key         K
	hash        uint64
	priority    uint64
	left, right int32
	size        int32
}

// Len is how many keys there are.
func (o *RankedSet[K]) Len() int { return o.size(o.root - 1) }

func (o *RankedSet[K]) size(n int32) int {
	if n == none {
		return 0
	}
	return int(o.nodes[n].size)
}

// before reports whether the node n comes before (hash, key).
func (o *RankedSet[K]) before(n int32, hash uint64, key K) bool {
	m := &o.nodes[n]
	return m.hash < hash || m.hash == hash && m.key < key
}

// Insert adds a key under its hash, and reports whether it is new.
func (o *RankedSet[K]) Insert(key K, hash uint64) bool {
	if _, has := o.Rank(key, hash); has {
		return false
	}
	o.mix += 0x9e3779b97f4a7c15
	n := node[K]{key: key, hash: hash, priority: mixed(hash ^ o.mix), left: none, right: none, size: 1}
	var i int32
	if last := len(o.free) - 1; last >= 0 {
		i = o.free[last]
		o.free = o.free[:last]
		o.nodes[i] = n
	} else {
		i = int32(len(o.nodes))
		o.nodes = append(o.nodes, n)
	}
	before, after := o.split(o.root-1, hash, key)
	o.root = o.merge(o.merge(before, i), after) + 1
	return true
}

// Remove takes a key out that was put under hash, and reports whether it was there.
func (o *RankedSet[K]) Remove(key K, hash uint64) bool {
	if _, has := o.Rank(key, hash); !has {
		return false
	}
	at := o.root - 1
	var parent int32 = none
	left := false
	for {
		m := &o.nodes[at]
		if m.hash == hash && m.key == key {
			break
		}
		m.size--
		parent = at
		if left = !o.before(at, hash, key); left {
			at = m.left
		} else {
			at = m.right
		}
	}
	joined := o.merge(o.nodes[at].left, o.nodes[at].right)
	switch {
	case parent == none:
		o.root = joined + 1
	case left:
		o.nodes[parent].left = joined
	default:
		o.nodes[parent].right = joined
	}
	var zero node[K]
	o.nodes[at] = zero // holds on to nothing
	o.free = append(o.free, at)
	return true
}

// At returns the key of that rank, from 0. It panics beyond Len.
func (o *RankedSet[K]) At(rank int) K {
	for at := o.root - 1; ; {
		m := &o.nodes[at]
		switch left := o.size(m.left); {
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

// Rank returns how many keys come before (hash, key), and whether it is there.
func (o *RankedSet[K]) Rank(key K, hash uint64) (rank int, has bool) {
	for at := o.root - 1; at != none; {
		m := &o.nodes[at]
		switch {
		case m.hash == hash && m.key == key:
			return rank + o.size(m.left), true
		case o.before(at, hash, key):
			rank += o.size(m.left) + 1
			at = m.right
		default:
			at = m.left
		}
	}
	return rank, false
}

// split divides a tree into what comes before (hash, key) and the rest.
func (o *RankedSet[K]) split(at int32, hash uint64, key K) (before, after int32) {
	if at == none {
		return none, none
	}
	if o.before(at, hash, key) {
		a, b := o.split(o.nodes[at].right, hash, key)
		o.nodes[at].right = a
		o.measure(at)
		return at, b
	}
	a, b := o.split(o.nodes[at].left, hash, key)
	o.nodes[at].left = b
	o.measure(at)
	return a, at
}

// merge joins two trees of which all of a comes before all of b.
func (o *RankedSet[K]) merge(a, b int32) int32 {
	switch {
	case a == none:
		return b
	case b == none:
		return a
	case o.nodes[a].priority > o.nodes[b].priority:
		r := o.merge(o.nodes[a].right, b)
		o.nodes[a].right = r
		o.measure(a)
		return a
	}
	l := o.merge(a, o.nodes[b].left)
	o.nodes[b].left = l
	o.measure(b)
	return b
}

func (o *RankedSet[K]) measure(at int32) {
	m := &o.nodes[at]
	m.size = int32(1 + o.size(m.left) + o.size(m.right))
}

// mixed is the finaliser of splitmix64 (Steele, Lea and Flood, OOPSLA 2014).
func mixed(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

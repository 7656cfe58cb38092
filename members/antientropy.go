package members

import "math"

const (
	// fewRecords is how many records of a part are sent unasked where views differ, mostRecords how many when asked for.
	fewRecords, mostRecords = 6, 64
	mostDepth               = 15
)

// span is a range of the ring: all ids with that many nibbles in common.
type span struct {
	depth  byte
	prefix ID
}

func (r *reader) span() *span {
	s := &span{depth: r.byte(), prefix: ID(r.u64())}
	if s.depth > mostDepth || s.prefix&^s.mask() != 0 {
		r.err = errShort
	}
	return s
}

func (s span) mask() ID {
	if s.depth == 0 {
		return 0
	}
	return math.MaxUint64 << (64 - 4*s.depth)
}

func (s span) part(i int) span {
	return span{s.depth + 1, s.prefix | ID(i)<<(60-4*s.depth)}
}

// within returns those of the view in a range, this process included.
func (n *Node) within(s span) (all []*member) {
	_, at := n.find(s.prefix)
	for ; at < len(n.table) && n.table[at].id&s.mask() == s.prefix; at++ {
		if n.table[at].there() {
			all = append(all, n.table[at])
		}
	}
	if n.self.id&s.mask() == s.prefix && n.self.there() {
		all = append(all, &n.self)
	}
	return all
}

// parts are the digests of the sixteen parts of a range.
func (n *Node) parts(s span) (d [16]uint64) {
	for _, m := range n.within(s) {
		d[m.id>>(60-4*s.depth)&15] += mark(m)
	}
	return d
}

// sum tells a member what this one's view of a range comes to.
func (n *Node) sum(m *member, s span) {
	w := n.begin(sums, 0, 0)
	w.add(rangeItem(s, n.parts(s)))
	n.send(w, m.addr, true)
}

// compare holds another's view of a range against this one's, and goes on with what differs.
func (n *Node) compare(m *member, s span, theirs [16]uint64) {
	ours := n.parts(s)
	for i := range ours {
		if ours[i] == theirs[i] {
			continue
		}
		part := s.part(i)
		here := n.within(part)
		if len(here) > fewRecords && part.depth < mostDepth && theirs[i] != 0 {
			n.sum(m, part)
			continue
		}
		n.give(m, here)
		if theirs[i] != 0 {
			w := n.begin(want, 0, 0)
			w.add(wantItem(part))
			n.send(w, m.addr, true)
		}
	}
}

// hand gives what was asked for, or says how its parts differ where that is too much.
func (n *Node) hand(m *member, s span) {
	if here := n.within(s); len(here) <= mostRecords || s.depth == mostDepth {
		n.give(m, here[:min(len(here), mostRecords)])
	} else {
		n.sum(m, s)
	}
}

// give sends records.
func (n *Node) give(m *member, all []*member) {
	for len(all) > 0 {
		w := n.begin(records, 0, 0)
		k := 0
		for k < len(all) && w.add(recordItem(all[k])) {
			k++
		}
		all = all[k:]
		n.send(w, m.addr, true)
	}
}

package members

import "math"

const (
	// maxUnsolicitedRecords is how many records of a part are sent without a request where views
	// differ. maxRequestedRecords is the limit for requested records.
	maxUnsolicitedRecords, maxRequestedRecords = 6, 64
	maxDepth                                   = 15
)

// span is a range of the ring: all ids that share a prefix of depth nibbles.
type span struct {
	depth  byte
	prefix ID
}

func (r *reader) span() *span {
	s := &span{depth: r.byte(), prefix: ID(r.u64())}
	if s.depth > maxDepth || s.prefix&^s.mask() != 0 {
		r.err = errMalformed
	}
	return s
}

// mask returns the bits of the prefix.
func (s span) mask() ID {
	if s.depth == 0 {
		return 0
	}
	return math.MaxUint64 << (64 - 4*s.depth)
}

// child returns the i-th of the sixteen parts of s.
func (s span) child(i int) span {
	return span{s.depth + 1, s.prefix | ID(i)<<(60-4*s.depth)}
}

// membersIn returns the live members in a range, including this process.
func (n *Node) membersIn(s span) (all []*member) {
	_, i := n.find(s.prefix)
	for ; i < len(n.table) && n.table[i].id&s.mask() == s.prefix; i++ {
		if n.table[i].present() {
			all = append(all, n.table[i])
		}
	}
	if n.self.id&s.mask() == s.prefix && n.self.present() {
		all = append(all, &n.self)
	}
	return all
}

// partDigests returns the digests of the sixteen parts of a range.
func (n *Node) partDigests(s span) (d [16]uint64) {
	for _, m := range n.membersIn(s) {
		d[m.id>>(60-4*s.depth)&15] += digestOf(m)
	}
	return d
}

// sendDigests sends the digests of this process's view of a range.
func (n *Node) sendDigests(m *member, s span) {
	w := n.newDatagram(kindDigests, 0, 0)
	w.add(rangeDigestsItem(s, n.partDigests(s)))
	n.send(w, m.addr, true)
}

// compareDigests compares another member's digests of a range with this view and resolves the parts
// that differ.
func (n *Node) compareDigests(m *member, s span, theirs [16]uint64) {
	ours := n.partDigests(s)
	for i := range ours {
		if ours[i] == theirs[i] {
			continue
		}
		child := s.child(i)
		local := n.membersIn(child)
		if len(local) > maxUnsolicitedRecords && child.depth < maxDepth && theirs[i] != 0 {
			n.sendDigests(m, child)
			continue
		}
		n.sendRecords(m, local)
		if theirs[i] != 0 {
			w := n.newDatagram(kindRecordRequest, 0, 0)
			w.add(recordRequestItem(child))
			n.send(w, m.addr, true)
		}
	}
}

// handleRecordRequest sends the requested records, or the digests of the parts if there are too
// many.
func (n *Node) handleRecordRequest(m *member, s span) {
	if records := n.membersIn(s); len(records) <= maxRequestedRecords || s.depth == maxDepth {
		n.sendRecords(m, records[:min(len(records), maxRequestedRecords)])
	} else {
		n.sendDigests(m, s)
	}
}

// sendRecords sends records in as many datagrams as are needed.
func (n *Node) sendRecords(m *member, members []*member) {
	for len(members) > 0 {
		w := n.newDatagram(kindRecords, 0, 0)
		count := 0
		for count < len(members) && w.add(recordItem(members[count])) {
			count++
		}
		members = members[count:]
		n.send(w, m.addr, true)
	}
}

package members

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/netip"
	"time"
)

// A datagram is, in big endian:
//
//	magic 1, version 1, kind 1, flags 1, cluster 4, sender 8, its epoch 6, its incarnation 4, nonce 4,
//	items, each with its kind first, and a checksum of all before, 4.
const (
	magic   = 'q'
	version = 1
	headLen = 30
	sumLen  = 4
)

// The kinds of datagrams.
const (
	ping    = 1 + iota // answered by an ack with the same nonce
	ack                //
	ask                // what do you know yourself of these? answered by an answer with the same nonce
	answer             //
	sums               // digests of the sixteen parts of a range of the ring
	want               // the records of a range are asked for
	records            //
	kinds
)

// flagRecord asks for the sender's record in the ack.
const flagRecord = 1

// The kinds of items.
const (
	itemRecord = 1 + iota // state 1, epoch 6, incarnation 4, address 4 or 16 with its length before, port 2, name, zone
	itemRumour            // id 8, state 1, epoch 6, incarnation 4
	itemAbout             // state 1, epoch 6, incarnation 4: what the sender holds of the receiver
	itemDigest            // 8: of the sender's view
	itemVote              // id 8, vote 1, epoch 6, incarnation 4
	itemRange             // depth 1, prefix 8, sixteen digests of 8
	itemWant              // depth 1, prefix 8
	itemHint              // age in tenths of a second 2, id of a server: it drains or is gone
)

var errShort = errors.New("truncated")

// head is what each datagram begins with.
type head struct {
	kind, flags byte
	from        ID
	epoch       uint64
	inc         uint32
	nonce       uint32
}

// writer fills a datagram.
type writer struct {
	b    []byte
	most int
}

func (n *Node) begin(kind, flags byte, nonce uint32) *writer {
	w := &writer{b: make([]byte, 0, n.cfg.DatagramSize), most: n.cfg.DatagramSize - sumLen}
	w.b = append(w.b, magic, version, kind, flags)
	w.b = binary.BigEndian.AppendUint32(w.b, n.cluster)
	w.b = binary.BigEndian.AppendUint64(w.b, uint64(n.self.id))
	w.b = stamped(w.b, n.self.epoch, n.self.inc)
	w.b = binary.BigEndian.AppendUint32(w.b, nonce)
	return w
}

func stamped(b []byte, epoch uint64, inc uint32) []byte {
	b = append(b, byte(epoch>>40), byte(epoch>>32))
	b = binary.BigEndian.AppendUint32(b, uint32(epoch))
	return binary.BigEndian.AppendUint32(b, inc)
}

// add adds an item if there is room for it.
func (w *writer) add(item []byte) bool {
	if len(w.b)+len(item) > w.most {
		return false
	}
	w.b = append(w.b, item...)
	return true
}

func (n *Node) send(w *writer, to netip.AddrPort, known bool) {
	w.b = binary.BigEndian.AppendUint32(w.b, crc32.Checksum(w.b, castagnoli))
	n.stats.Sent++
	n.sends = append(n.sends, Datagram{To: to, Data: w.b, ToMember: known})
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func recordItem(m *member) []byte {
	b := stamped([]byte{itemRecord, byte(m.state)}, m.epoch, m.inc)
	a := m.addr.Addr().Unmap()
	b = append(append(b, byte(a.BitLen()/8)), a.AsSlice()...)
	b = binary.BigEndian.AppendUint16(b, m.addr.Port())
	b = append(append(b, byte(len(m.name))), m.name...)
	return append(append(b, byte(len(m.zone))), m.zone...)
}

func rumourItem(m *member) []byte {
	b := binary.BigEndian.AppendUint64([]byte{itemRumour}, uint64(m.id))
	return stamped(append(b, byte(m.state)), m.epoch, m.inc)
}

func aboutItem(m *member) []byte {
	return stamped([]byte{itemAbout, byte(m.state)}, m.epoch, m.inc)
}

func digestItem(d uint64) []byte { return binary.BigEndian.AppendUint64([]byte{itemDigest}, d) }

func voteItem(id ID, v vote, epoch uint64, inc uint32) []byte {
	b := binary.BigEndian.AppendUint64([]byte{itemVote}, uint64(id))
	return stamped(append(b, byte(v)), epoch, inc)
}

func hintItem(server string, age time.Duration) []byte {
	b := binary.BigEndian.AppendUint16([]byte{itemHint}, uint16(age/(100*time.Millisecond)))
	return append(append(b, byte(len(server))), server...)
}

func wantItem(r span) []byte {
	return binary.BigEndian.AppendUint64([]byte{itemWant, r.depth}, uint64(r.prefix))
}

func rangeItem(r span, parts [16]uint64) []byte {
	b := binary.BigEndian.AppendUint64([]byte{itemRange, r.depth}, uint64(r.prefix))
	for _, p := range parts {
		b = binary.BigEndian.AppendUint64(b, p)
	}
	return b
}

// reader takes a datagram apart. After an error all that it returns is zero.
type reader struct {
	b   []byte
	err error
}

func (r *reader) take(n int) []byte {
	if r.err != nil || len(r.b) < n {
		r.err, r.b = errShort, nil
		return make([]byte, n)
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) byte() byte  { return r.take(1)[0] }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

func (r *reader) stamp() (epoch uint64, inc uint32) {
	b := r.take(6)
	epoch = uint64(b[0])<<40 | uint64(b[1])<<32 | uint64(binary.BigEndian.Uint32(b[2:]))
	return epoch, binary.BigEndian.Uint32(r.take(4))
}

func (r *reader) state() State {
	s := State(r.byte())
	if s > Left {
		r.err = errors.New("no state")
		return Alive
	}
	return s
}

func (r *reader) text(most int) string {
	n := int(r.byte())
	if n > most {
		r.err = errors.New("long text")
		return ""
	}
	return string(r.take(n))
}

func (r *reader) record() (m member) {
	m.state = r.state()
	m.epoch, m.inc = r.stamp()
	n := int(r.byte())
	if n != 4 && n != 16 {
		r.err = errors.New("no address")
		return m
	}
	a, _ := netip.AddrFromSlice(r.take(n))
	m.addr = netip.AddrPortFrom(a, binary.BigEndian.Uint16(r.take(2)))
	m.name, m.zone = r.text(MaxNameLen), r.text(MaxZoneLen)
	m.id = IDOf(m.name)
	if r.err == nil && (m.name == "" || m.addr.Port() == 0 || a.IsUnspecified() || a.IsMulticast()) {
		r.err = errors.New("no address")
	}
	return m
}

// open checks a datagram and returns its head and the rest. why is empty, or names why it is not for this node.
func (n *Node) open(b []byte) (h head, r reader, why string) {
	if len(b) < headLen+sumLen || len(b) > MaxDatagramSize {
		return h, r, "length"
	}
	switch {
	case b[0] != magic:
		return h, r, "foreign"
	case b[1] != version:
		return h, r, "version"
	}
	body := b[:len(b)-sumLen]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[len(body):]) {
		return h, r, "checksum"
	}
	r.b = body[2:]
	h.kind, h.flags = r.byte(), r.byte()
	cluster := binary.BigEndian.Uint32(r.take(4))
	h.from = ID(r.u64())
	h.epoch, h.inc = r.stamp()
	h.nonce = binary.BigEndian.Uint32(r.take(4))
	switch {
	case cluster != n.cluster:
		return h, r, "cluster"
	case h.kind == 0 || h.kind >= kinds:
		return h, r, "kind"
	case h.epoch == 0 || h.epoch >= mostEpoch || h.inc > mostInc:
		return h, r, "limits"
	}
	return h, r, ""
}

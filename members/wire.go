package members

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/netip"
	"time"
)

// Layout of a datagram (big endian), with sizes in bytes:
//
//	magic 1, version 1, kind 1, flags 1, cluster 4, sender 8, epoch 6, incarnation 4, nonce 4,
//	items, each starting with its kind, and a checksum of all preceding bytes, 4.
const (
	magic       = 'q'
	version     = 1
	headerLen   = 30
	checksumLen = 4
)

// Kinds of datagrams.
const (
	kindPing = 1 + iota // answered by kindAck with the same nonce
	kindAck             // answers kindPing
	// asks for the receiver's own votes on members; answered by kindVotes with the same nonce
	kindQuery
	kindVotes         // answers kindQuery
	kindDigests       // digests of the sixteen parts of a range of the ring
	kindRecordRequest // asks for the records of a range
	kindRecords       // records or statuses of members
	kindCount
)

// flagRecord requests the receiver's record in the ack.
const flagRecord = 1

// Kinds of items, with their fields and sizes in bytes.
const (
	// state 1, epoch 6, incarnation 4, address 4 or 16 preceded by its length, port 2, name, zone
	itemRecord = 1 + iota
	itemStatus // id 8, state 1, epoch 6, incarnation 4
	// state 1, epoch 6, incarnation 4: the sender's entry for the receiver
	itemAboutReceiver
	itemDigest        // 8: digest of the sender's view
	itemVote          // id 8, vote 1, epoch 6, incarnation 4
	itemRangeDigests  // depth 1, prefix 8, sixteen digests of 8
	itemRecordRequest // depth 1, prefix 8
	// age 2 in tenths of a second, id of a server that drains or is gone
	itemServerHint
)

var errMalformed = errors.New("truncated")

// header is the fixed part at the start of each datagram.
type header struct {
	kind, flags byte
	sender      ID
	epoch       uint64
	incarnation uint32
	nonce       uint32
}

// writer builds a datagram.
type writer struct {
	b     []byte
	limit int
}

func (n *Node) newDatagram(kind, flags byte, nonce uint32) *writer {
	w := &writer{b: make([]byte, 0, n.cfg.DatagramSize), limit: n.cfg.DatagramSize - checksumLen}
	w.b = append(w.b, magic, version, kind, flags)
	w.b = binary.BigEndian.AppendUint32(w.b, n.cluster)
	w.b = binary.BigEndian.AppendUint64(w.b, uint64(n.self.id))
	w.b = appendEpoch(w.b, n.self.epoch, n.self.incarnation)
	w.b = binary.BigEndian.AppendUint32(w.b, nonce)
	return w
}

func appendEpoch(b []byte, epoch uint64, incarnation uint32) []byte {
	b = append(b, byte(epoch>>40), byte(epoch>>32))
	b = binary.BigEndian.AppendUint32(b, uint32(epoch))
	return binary.BigEndian.AppendUint32(b, incarnation)
}

// add appends an item if there is room for it, and reports whether there was.
func (w *writer) add(item []byte) bool {
	if len(w.b)+len(item) > w.limit {
		return false
	}
	w.b = append(w.b, item...)
	return true
}

func (n *Node) send(w *writer, to netip.AddrPort, toMember bool) {
	w.b = binary.BigEndian.AppendUint32(w.b, crc32.Checksum(w.b, castagnoli))
	n.stats.Sent++
	n.sends = append(n.sends, Datagram{To: to, Data: w.b, ToMember: toMember})
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func recordItem(m *member) []byte {
	b := appendEpoch([]byte{itemRecord, byte(m.state)}, m.epoch, m.incarnation)
	a := m.addr.Addr().Unmap()
	b = append(append(b, byte(a.BitLen()/8)), a.AsSlice()...)
	b = binary.BigEndian.AppendUint16(b, m.addr.Port())
	b = append(append(b, byte(len(m.name))), m.name...)
	return append(append(b, byte(len(m.zone))), m.zone...)
}

func statusItem(m *member) []byte {
	b := binary.BigEndian.AppendUint64([]byte{itemStatus}, uint64(m.id))
	return appendEpoch(append(b, byte(m.state)), m.epoch, m.incarnation)
}

func aboutReceiverItem(m *member) []byte {
	return appendEpoch([]byte{itemAboutReceiver, byte(m.state)}, m.epoch, m.incarnation)
}

func digestItem(d uint64) []byte { return binary.BigEndian.AppendUint64([]byte{itemDigest}, d) }

func voteItem(id ID, v vote, epoch uint64, inc uint32) []byte {
	b := binary.BigEndian.AppendUint64([]byte{itemVote}, uint64(id))
	return appendEpoch(append(b, byte(v)), epoch, inc)
}

func serverHintItem(server string, age time.Duration) []byte {
	b := binary.BigEndian.AppendUint16([]byte{itemServerHint}, uint16(age/(100*time.Millisecond)))
	return append(append(b, byte(len(server))), server...)
}

func recordRequestItem(r span) []byte {
	return binary.BigEndian.AppendUint64([]byte{itemRecordRequest, r.depth}, uint64(r.prefix))
}

func rangeDigestsItem(r span, parts [16]uint64) []byte {
	b := binary.BigEndian.AppendUint64([]byte{itemRangeDigests, r.depth}, uint64(r.prefix))
	for _, p := range parts {
		b = binary.BigEndian.AppendUint64(b, p)
	}
	return b
}

// reader decodes a datagram. After an error all further values are zero.
type reader struct {
	b   []byte
	err error
}

func (r *reader) take(n int) []byte {
	if r.err != nil || len(r.b) < n {
		r.err, r.b = errMalformed, nil
		return make([]byte, n)
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) byte() byte  { return r.take(1)[0] }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

func (r *reader) epoch() (epoch uint64, inc uint32) {
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
	m.epoch, m.incarnation = r.epoch()
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

// parseHeader validates a datagram and returns its header and a reader of its items. A non-empty
// reason states why the datagram is dropped.
func (n *Node) parseHeader(b []byte) (h header, r reader, reason string) {
	if len(b) < headerLen+checksumLen || len(b) > MaxDatagramSize {
		return h, r, "length"
	}
	switch {
	case b[0] != magic:
		return h, r, "foreign"
	case b[1] != version:
		return h, r, "version"
	}
	body := b[:len(b)-checksumLen]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[len(body):]) {
		return h, r, "checksum"
	}
	r.b = body[2:]
	h.kind, h.flags = r.byte(), r.byte()
	cluster := binary.BigEndian.Uint32(r.take(4))
	h.sender = ID(r.u64())
	h.epoch, h.incarnation = r.epoch()
	h.nonce = binary.BigEndian.Uint32(r.take(4))
	switch {
	case cluster != n.cluster:
		return h, r, "cluster"
	case h.kind == 0 || h.kind >= kindCount:
		return h, r, "kind"
	case h.epoch == 0 || h.epoch >= maxEpoch || h.incarnation > maxIncarnation:
		return h, r, "limits"
	}
	return h, r, ""
}

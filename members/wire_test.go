package members

import (
	"encoding/binary"
	"hash/crc32"
	"testing"
)

// withChecksum returns a copy of a datagram with its checksum recomputed.
func withChecksum(b []byte) []byte {
	b = append([]byte(nil), b[:len(b)-checksumLen]...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// TestInvalidDatagrams checks that a datagram not meant for this node is dropped and counted by its
// reason.
func TestInvalidDatagrams(t *testing.T) {
	sim := newConverged(t, 3, 1)
	a, b := sim.processes[0].n, sim.processes[1].n
	d := b.newDatagram(kindPing, 0, 1)
	d.add(digestItem(b.digest))
	b.send(d, addrOf(0), true)
	sends, _ := b.Ready()
	valid := sends[len(sends)-1].Data
	withByte := func(i int, v byte) []byte { c := append([]byte(nil), valid...); c[i] = v; return withChecksum(c) }
	truncated := valid[:len(valid)-1]
	for reason, datagram := range map[string][]byte{
		"length": valid[:10], "foreign": withByte(0, 'x'), "version": withByte(1, 2), "kind": withByte(2, 99), "cluster": withByte(4, valid[4]+1),
		"checksum": append(append([]byte(nil), truncated...), valid[len(valid)-1]+1), "limits": withByte(22, 0xff), "items": withChecksum(append(append([]byte(nil), valid[:len(valid)-checksumLen]...), itemRecord, 1, 2, 3, 4, 5, 6)),
	} {
		before := a.Stats().Dropped[reason]
		a.Receive(sim.now, datagram)
		if a.Stats().Dropped[reason] != before+1 {
			t.Errorf("%s was not counted: %v", reason, a.Stats().Dropped)
		}
	}
	sent := a.Stats().Sent
	a.Receive(sim.now, valid)
	if a.Stats().Sent != sent+1 {
		t.Error("a valid datagram was not answered")
	}
}

// FuzzReceive checks that no datagram breaks a node, makes it exceed its limits, or changes which
// members are live.
func FuzzReceive(f *testing.F) {
	sim := newConverged(f, 5, 1)
	for _, p := range sim.processes[1:] {
		p.n.Tick(sim.now)
		sends, _ := p.n.Ready()
		for _, d := range sends {
			f.Add(d.Data)
		}
		m := p.n.self
		d := p.n.newDatagram(kindRecords, 0, 7)
		for _, it := range [][]byte{recordItem(&m), statusItem(&m), aboutReceiverItem(&m), voteItem(m.id, voteSilent, m.epoch, m.incarnation), recordRequestItem(span{}), serverHintItem("s", 0)} {
			d.add(it)
		}
		p.n.send(d, addrOf(0), true)
		e := p.n.newDatagram(kindDigests, 0, 7)
		e.add(rangeDigestsItem(span{1, m.id & span{depth: 1}.mask()}, [16]uint64{1}))
		p.n.send(e, addrOf(0), true)
		sends, _ = p.n.Ready()
		for _, d := range sends {
			f.Add(d.Data)
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) < headerLen+checksumLen {
			return
		}
		sim := newConverged(t, 3, 1)
		n := sim.processes[0].n
		n.Receive(sim.now, b)
		n.Receive(sim.now, withChecksum(b))
		if n.LiveCount() != 3 || len(n.candidates) > 32 || len(n.monitors) > 8 {
			t.Errorf("%d live, %d candidates, %d monitored", n.LiveCount(), len(n.candidates), len(n.monitors))
		}
		sends, _ := n.Ready()
		total := 0
		for _, d := range sends {
			total += len(d.Data)
		}
		if total > 17*256 {
			t.Errorf("%d bytes sent for a datagram of %d", total, len(b))
		}
	})
}

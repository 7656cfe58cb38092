package members

import (
	"encoding/binary"
	"hash/crc32"
	"testing"
)

// sealed is a datagram with its checksum renewed.
func sealed(b []byte) []byte {
	b = append([]byte(nil), b[:len(b)-sumLen]...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// TestForeign: what is not for this node is dropped, and counted by why.
func TestForeign(t *testing.T) {
	w := settled(t, 3, 1)
	a, b := w.all[0].n, w.all[1].n
	d := b.begin(ping, 0, 1)
	d.add(digestItem(b.digest))
	b.send(d, addrOf(0), true)
	sends, _ := b.Ready()
	good := sends[len(sends)-1].Data
	at := func(i int, v byte) []byte { c := append([]byte(nil), good...); c[i] = v; return sealed(c) }
	cut := good[:len(good)-1]
	for why, text := range map[string][]byte{
		"length": good[:10], "foreign": at(0, 'x'), "version": at(1, 2), "kind": at(2, 99), "cluster": at(4, good[4]+1),
		"checksum": append(append([]byte(nil), cut...), good[len(good)-1]+1), "limits": at(22, 0xff), "items": sealed(append(append([]byte(nil), good[:len(good)-sumLen]...), itemRecord, 1, 2, 3, 4, 5, 6)),
	} {
		before := a.Stats().Dropped[why]
		a.Receive(w.now, text)
		if a.Stats().Dropped[why] != before+1 {
			t.Errorf("%s: %v", why, a.Stats().Dropped)
		}
	}
	sent := a.Stats().Sent
	a.Receive(w.now, good)
	if a.Stats().Sent != sent+1 {
		t.Error("a good one has no answer")
	}
}

// FuzzReceive: no datagram breaks a node, makes it hold more than it may, or changes who is there.
func FuzzReceive(f *testing.F) {
	w := settled(f, 5, 1)
	for _, p := range w.all[1:] {
		p.n.Tick(w.now)
		sends, _ := p.n.Ready()
		for _, d := range sends {
			f.Add(d.Data)
		}
		m := p.n.self
		d := p.n.begin(records, 0, 7)
		for _, it := range [][]byte{recordItem(&m), rumourItem(&m), aboutItem(&m), voteItem(m.id, down, m.epoch, m.inc), wantItem(span{}), hintItem("s", 0)} {
			d.add(it)
		}
		p.n.send(d, addrOf(0), true)
		e := p.n.begin(sums, 0, 7)
		e.add(rangeItem(span{1, m.id & span{depth: 1}.mask()}, [16]uint64{1}))
		p.n.send(e, addrOf(0), true)
		sends, _ = p.n.Ready()
		for _, d := range sends {
			f.Add(d.Data)
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) < headLen+sumLen {
			return
		}
		w := settled(t, 3, 1)
		n := w.all[0].n
		n.Receive(w.now, b)
		n.Receive(w.now, sealed(b))
		if n.LiveCount() != 3 || len(n.cands) > 32 || len(n.watches) > 8 {
			t.Errorf("%d live, %d candidates, %d watched", n.LiveCount(), len(n.cands), len(n.watches))
		}
		sends, _ := n.Ready()
		total := 0
		for _, d := range sends {
			total += len(d.Data)
		}
		if total > 17*256 {
			t.Errorf("%d bytes for %d", total, len(b))
		}
	})
}

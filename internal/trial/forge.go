package trial

import (
	"encoding/binary"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"quillfront/members"
)

// liar writes datagrams of members' format by itself, as anybody can who has read of it.
type liar struct {
	cluster uint32
	name    string // of the member as which it speaks
	epoch   uint64
	rng     *rand.Rand
}

func stamp(b []byte, epoch uint64, inc uint32) []byte {
	b = append(b, byte(epoch>>40), byte(epoch>>32))
	b = binary.BigEndian.AppendUint32(b, uint32(epoch))
	return binary.BigEndian.AppendUint32(b, inc)
}

// say is a ping that says of a member that it is gone, that it has the highest incarnation, and that there is a later one at nowhere.
func (l *liar) say(name string, epoch uint64, inc uint32) []byte {
	id := uint64(members.IDOf(name))
	b := []byte{'q', 1, 1, 0}
	b = binary.BigEndian.AppendUint32(b, l.cluster)
	b = binary.BigEndian.AppendUint64(b, uint64(members.IDOf(l.name)))
	b = stamp(b, l.epoch, 0)
	b = binary.BigEndian.AppendUint32(b, l.rng.Uint32())
	b = binary.BigEndian.AppendUint64(append(b, 2), id) // a rumour: gone
	b = stamp(append(b, 2), epoch, inc)
	for _, r := range [][2]uint64{{epoch, 1 << 30}, {epoch + 1000, 0}} { // records
		b = stamp(append(b, 1, 0), r[0], uint32(r[1]))
		b = append(b, 4, 127, 255, 255, 250, 0, 9, byte(len(name)))
		b = append(append(b, name...), 0)
	}
	b = stamp(append(b, 3, 2), epoch, inc) // to that member itself: you are gone
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli)))
}

// flood sends b to a process n times a second, from one address, until stop is closed.
func flood(to netip.AddrPort, n int, b func() []byte, stop <-chan struct{}) {
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		return
	}
	defer c.Close()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			for range max(n/100, 1) {
				c.Write(b())
			}
		}
	}
}

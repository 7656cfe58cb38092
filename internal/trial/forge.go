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

// forger writes valid datagrams of the members protocol without belonging to the cluster. The
// protocol does not authenticate its datagrams, so anyone who knows the format can do so.
type forger struct {
	cluster uint32
	name    string // of the impersonated member
	epoch   uint64
	rng     *rand.Rand
}

// appendStamp appends the 48-bit epoch and the incarnation of a member.
func appendStamp(b []byte, epoch uint64, inc uint32) []byte {
	b = append(b, byte(epoch>>40), byte(epoch>>32))
	b = binary.BigEndian.AppendUint32(b, uint32(epoch))
	return binary.BigEndian.AppendUint32(b, inc)
}

// forgePing returns a ping with false claims about a member: that it is gone, that it has a very
// high incarnation, and that a process of a later epoch has its name at an unreachable address.
func (f *forger) forgePing(name string, epoch uint64, inc uint32) []byte {
	id := uint64(members.IDOf(name))
	b := []byte{'q', 1, 1, 0}
	b = binary.BigEndian.AppendUint32(b, f.cluster)
	b = binary.BigEndian.AppendUint64(b, uint64(members.IDOf(f.name)))
	b = appendStamp(b, f.epoch, 0)
	b = binary.BigEndian.AppendUint32(b, f.rng.Uint32())
	b = binary.BigEndian.AppendUint64(append(b, 2), id) // a gossiped claim: the member is gone
	b = appendStamp(append(b, 2), epoch, inc)
	for _, r := range [][2]uint64{{epoch, 1 << 30}, {epoch + 1000, 0}} { // member records
		b = appendStamp(append(b, 1, 0), r[0], uint32(r[1]))
		b = append(b, 4, 127, 255, 255, 250, 0, 9, byte(len(name)))
		b = append(append(b, name...), 0)
	}
	b = appendStamp(append(b, 3, 2), epoch, inc) // tells the member itself that it is gone
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli)))
}

// flood sends datagrams to a process from one address until stop is closed, rate of them per second
// and at least 100.
func flood(to netip.AddrPort, rate int, datagram func() []byte, stop <-chan struct{}) {
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
			for range max(rate/100, 1) {
				c.Write(datagram())
			}
		}
	}
}

package standin

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"

	"golang.org/x/net/dns/dnsmessage"
)

// DNS stands in for a name server, over UDP and TCP at one port.
type DNS struct {
	udp  net.PacketConn
	tcp  net.Listener
	done sync.WaitGroup

	mu    sync.Mutex
	zone  map[dnsmessage.Question][]dnsmessage.Resource
	rcode dnsmessage.RCode
	cut   bool // datagrams are cut short
	lie   bool // a datagram of another id comes first
	asked int
	conns []net.Conn
}

// NewDNS starts a name server without records.
func NewDNS() (*DNS, error) {
	d := &DNS{zone: map[dnsmessage.Question][]dnsmessage.Resource{}}
	var err error
	if d.tcp, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("standin: DNS: %w", err)
	}
	if d.udp, err = net.ListenPacket("udp", d.tcp.Addr().String()); err != nil {
		d.tcp.Close()
		return nil, fmt.Errorf("standin: DNS: %w", err)
	}
	d.done.Go(d.datagrams)
	d.done.Go(func() {
		for {
			c, err := d.tcp.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns = append(d.conns, c)
			d.mu.Unlock()
			d.done.Go(func() { d.stream(c) })
		}
	})
	return d, nil
}

// Addr returns where it listens.
func (d *DNS) Addr() string { return d.tcp.Addr().String() }

// SetRecords replaces the records of a name, in lower case, and type, which may be aliases; none at all is a name without such records.
func (d *DNS) SetRecords(name string, t dnsmessage.Type, ttl uint32, bodies ...dnsmessage.ResourceBody) {
	q := dnsmessage.Question{Name: dnsmessage.MustNewName(name), Type: t, Class: dnsmessage.ClassINET}
	var records []dnsmessage.Resource
	for _, b := range bodies {
		records = append(records, dnsmessage.Resource{Header: dnsmessage.ResourceHeader{Name: q.Name, Class: q.Class, TTL: ttl}, Body: b})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zone[q] = records
}

// SetFaults makes it answer with a code, cut its datagrams short, or send another's answer first.
func (d *DNS) SetFaults(rcode dnsmessage.RCode, cut, lie bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rcode, d.cut, d.lie = rcode, cut, lie
}

// QueryCount returns how many questions came.
func (d *DNS) QueryCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asked
}

// Close ends it.
func (d *DNS) Close() {
	d.tcp.Close()
	d.udp.Close()
	d.mu.Lock()
	for _, c := range d.conns {
		c.Close()
	}
	d.mu.Unlock()
	d.done.Wait()
}

// answer returns the answer to a query, and whether another's should come first.
func (d *DNS) answer(query []byte, datagram bool) (b []byte, lie bool) {
	var m dnsmessage.Message
	if m.Unpack(query) != nil || len(m.Questions) != 1 {
		return nil, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked++
	q := m.Questions[0]
	r := dnsmessage.Message{Header: dnsmessage.Header{ID: m.ID, Response: true, RecursionAvailable: true, RCode: d.rcode}, Questions: m.Questions}
	if d.rcode == dnsmessage.RCodeSuccess {
		next := q
		if lower, err := dnsmessage.NewName(strings.ToLower(q.Name.String())); err == nil {
			next.Name = lower
		}
		for {
			records, known := d.zone[next]
			r.Answers = append(r.Answers, records...)
			if len(records) > 0 || known {
				break
			}
			alias := d.zone[dnsmessage.Question{Name: next.Name, Type: dnsmessage.TypeCNAME, Class: next.Class}]
			if len(alias) == 0 || len(r.Answers) > 20 {
				break
			}
			r.Answers = append(r.Answers, alias...)
			next.Name = alias[0].Body.(*dnsmessage.CNAMEResource).CNAME
		}
		if len(r.Answers) == 0 {
			r.Authorities = []dnsmessage.Resource{{
				Header: dnsmessage.ResourceHeader{Name: q.Name, Class: q.Class, TTL: 60},
				Body:   &dnsmessage.SOAResource{NS: q.Name, MBox: q.Name, MinTTL: 7},
			}}
		}
	}
	if datagram && d.cut {
		r.Truncated, r.Answers = true, nil
	}
	b, err := r.Pack()
	if err != nil {
		return nil, false
	}
	return b, d.lie && datagram
}

func (d *DNS) datagrams() {
	b := make([]byte, 4096)
	for {
		n, from, err := d.udp.ReadFrom(b)
		if err != nil {
			return
		}
		answer, lie := d.answer(b[:n], true)
		if lie {
			other := append([]byte{answer[0] ^ 0xff}, answer[1:]...)
			d.udp.WriteTo(other, from)
		}
		d.udp.WriteTo(answer, from)
	}
}

func (d *DNS) stream(c net.Conn) {
	defer c.Close()
	for {
		var length [2]byte
		if _, err := io.ReadFull(c, length[:]); err != nil {
			return
		}
		b := make([]byte, binary.BigEndian.Uint16(length[:]))
		if _, err := io.ReadFull(c, b); err != nil {
			return
		}
		answer, _ := d.answer(b, false)
		c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(answer))), answer...))
	}
}

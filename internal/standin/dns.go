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

// DNS is a stand-in for a name server, over UDP and TCP on the same port.
type DNS struct {
	udp net.PacketConn
	tcp net.Listener
	wg  sync.WaitGroup

	mu       sync.Mutex
	zone     map[dnsmessage.Question][]dnsmessage.Resource
	rcode    dnsmessage.RCode
	truncate bool // UDP responses are truncated
	spoof    bool // each UDP response is preceded by one with a wrong ID
	queries  int
	conns    []net.Conn
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
	d.wg.Go(d.serveUDP)
	d.wg.Go(func() {
		for {
			c, err := d.tcp.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns = append(d.conns, c)
			d.mu.Unlock()
			d.wg.Go(func() { d.serveTCP(c) })
		}
	})
	return d, nil
}

// Addr returns the address on which the name server listens.
func (d *DNS) Addr() string { return d.tcp.Addr().String() }

// SetRecords replaces the records of a name, which must be in lower case, and a type, which may be
// CNAME. Without bodies, the name exists but has no records of the type.
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

// SetFaults makes the server respond with rcode, truncate its UDP responses, or precede each of
// them with a spoofed one that has a wrong ID.
func (d *DNS) SetFaults(rcode dnsmessage.RCode, truncate, spoof bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rcode, d.truncate, d.spoof = rcode, truncate, spoof
}

// QueryCount returns the number of queries received.
func (d *DNS) QueryCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queries
}

// Close ends the name server and closes its connections.
func (d *DNS) Close() {
	d.tcp.Close()
	d.udp.Close()
	d.mu.Lock()
	for _, c := range d.conns {
		c.Close()
	}
	d.mu.Unlock()
	d.wg.Wait()
}

// answer returns the response to a query, and whether a spoofed one should precede it.
func (d *DNS) answer(query []byte, datagram bool) (b []byte, spoof bool) {
	var m dnsmessage.Message
	if m.Unpack(query) != nil || len(m.Questions) != 1 {
		return nil, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queries++
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
	if datagram && d.truncate {
		r.Truncated, r.Answers = true, nil
	}
	b, err := r.Pack()
	if err != nil {
		return nil, false
	}
	return b, d.spoof && datagram
}

func (d *DNS) serveUDP() {
	b := make([]byte, 4096)
	for {
		n, from, err := d.udp.ReadFrom(b)
		if err != nil {
			return
		}
		answer, spoof := d.answer(b[:n], true)
		if spoof {
			spoofed := append([]byte{answer[0] ^ 0xff}, answer[1:]...)
			d.udp.WriteTo(spoofed, from)
		}
		d.udp.WriteTo(answer, from)
	}
}

func (d *DNS) serveTCP(c net.Conn) {
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

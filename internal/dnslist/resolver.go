package dnslist

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// Kind is which records are asked for.
type Kind int

// The kinds.
const (
	Addresses Kind = iota // A and AAAA
	Services              // SRV, and the addresses of their targets
)

// Resolver asks for the records of a name. Its errors match ErrNone where there are none by whoever knows.
type Resolver interface {
	Lookup(ctx context.Context, kind Kind, name string, port int) (Answer, error)
}

const (
	// tryTime is how long one server has for one answer.
	tryTime = 2 * time.Second
	// mostDatagram is what a server may send in a datagram (RFC 6891, and what dnsflagday.net advises).
	mostDatagram = 1232
	// mostMessage is the longest message there is, over TCP (RFC 1035, 4.2.2).
	mostMessage = 64 << 10
	// mostTargets bounds the targets of an SRV answer that are asked for.
	mostTargets = 1000
	// mostAliases bounds a chain of CNAMEs.
	mostAliases = 8
)

// Client is a stub resolver (RFC 1035): it asks the servers that it is given, in turn, by UDP and where an answer was cut by TCP. It
// believes an answer only from the address that it asked, under the id and to the question that it asked.
type Client struct {
	Servers []string // host:port
}

// Lookup is the method of Resolver.
func (c Client) Lookup(ctx context.Context, kind Kind, name string, port int) (Answer, error) {
	if kind == Addresses {
		return c.addresses(ctx, name, port)
	}
	found, ttl, err := c.ask(ctx, name, dnsmessage.TypeSRV)
	if err != nil {
		return Answer{TTL: ttl}, err
	}
	a := Answer{TTL: ttl}
	for _, r := range found[:min(len(found), mostTargets)] {
		srv, ok := r.Body.(*dnsmessage.SRVResource)
		target := ""
		if ok {
			target = srv.Target.String()
		}
		if !ok || target == "." { // the service is decidedly not there (RFC 2782)
			continue
		}
		at, err := c.addresses(ctx, target, int(srv.Port))
		if errors.Is(err, ErrNoRecords) {
			continue
		}
		if err != nil {
			return Answer{}, fmt.Errorf("the target %s: %w", target, err)
		}
		a.TTL = min(a.TTL, at.TTL)
		for _, r := range at.Records {
			a.Records = append(a.Records, Record{r.Addr, srv.Weight, srv.Priority})
		}
	}
	if len(a.Records) == 0 {
		return a, fmt.Errorf("%w: no target of %s has an address", ErrNoRecords, name)
	}
	return a, nil
}

// addresses asks for A and AAAA. One of the two may lack.
func (c Client) addresses(ctx context.Context, name string, port int) (Answer, error) {
	a := Answer{TTL: 1 << 62}
	none := 0
	for _, t := range []dnsmessage.Type{dnsmessage.TypeA, dnsmessage.TypeAAAA} {
		found, ttl, err := c.ask(ctx, name, t)
		if errors.Is(err, ErrNoRecords) {
			if none++; none == 2 {
				return Answer{TTL: min(ttl, a.TTL)}, err
			}
			a.TTL = min(a.TTL, ttl)
			continue
		}
		if err != nil {
			return Answer{}, err
		}
		a.TTL = min(a.TTL, ttl)
		for _, r := range found {
			var ip netip.Addr
			switch b := r.Body.(type) {
			case *dnsmessage.AResource:
				ip = netip.AddrFrom4(b.A)
			case *dnsmessage.AAAAResource:
				ip = netip.AddrFrom16(b.AAAA)
			default:
				continue
			}
			a.Records = append(a.Records, Record{Addr: net.JoinHostPort(ip.String(), strconv.Itoa(port))})
		}
	}
	return a, nil
}

// ask asks the servers in turn until one answers, and returns the records of that type and their least TTL.
func (c Client) ask(ctx context.Context, name string, t dnsmessage.Type) ([]dnsmessage.Resource, time.Duration, error) {
	if !strings.HasSuffix(name, ".") {
		name += "."
	}
	n, err := dnsmessage.NewName(name)
	if err != nil {
		return nil, 0, fmt.Errorf("dnslist: %s: %w", name, err)
	}
	q := dnsmessage.Question{Name: n, Type: t, Class: dnsmessage.ClassINET}
	errs := []error{errors.New("dnslist: no server answered")}
	for _, server := range c.Servers {
		m, err := exchange(ctx, server, q)
		if err == nil {
			return read(m, q)
		}
		errs = append(errs, fmt.Errorf("%s: %w", server, err))
		if ctx.Err() != nil {
			break
		}
	}
	return nil, 0, errors.Join(errs...)
}

// exchange asks one server.
func exchange(ctx context.Context, server string, q dnsmessage.Question) (*dnsmessage.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	id := uint16(rand.Uint32())
	b := dnsmessage.NewBuilder(nil, dnsmessage.Header{ID: id, RecursionDesired: true})
	var opt dnsmessage.ResourceHeader
	err := errors.Join(b.StartQuestions(), b.Question(q), b.StartAdditionals(), opt.SetEDNS0(mostDatagram, dnsmessage.RCodeSuccess, false),
		b.OPTResource(opt, dnsmessage.OPTResource{}))
	if err != nil {
		return nil, err
	}
	query, err := b.Finish()
	if err != nil {
		return nil, err
	}
	m, err := overUDP(ctx, server, query, id, q)
	if err == nil && m.Truncated {
		m, err = overTCP(ctx, server, query, id, q)
	}
	if err != nil {
		return nil, err
	}
	if m.RCode != dnsmessage.RCodeSuccess && m.RCode != dnsmessage.RCodeNameError {
		return nil, fmt.Errorf("it answers %v", m.RCode)
	}
	return m, nil
}

func overUDP(ctx context.Context, server string, query []byte, id uint16, q dnsmessage.Question) (*dnsmessage.Message, error) {
	c, err := dial(ctx, "udp", server)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, err := c.Write(query); err != nil {
		return nil, err
	}
	b := make([]byte, mostDatagram)
	for {
		n, err := c.Read(b)
		if err != nil {
			return nil, err
		}
		if m, err := parse(b[:n], id, q); err == nil { // others are not the answer, whoever sent them
			return m, nil
		}
	}
}

func overTCP(ctx context.Context, server string, query []byte, id uint16, q dnsmessage.Question) (*dnsmessage.Message, error) {
	c, err := dial(ctx, "tcp", server)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, err := c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(query))), query...)); err != nil {
		return nil, err
	}
	var length [2]byte
	if _, err := io.ReadFull(c, length[:]); err != nil {
		return nil, err
	}
	b := make([]byte, binary.BigEndian.Uint16(length[:]))
	if _, err := io.ReadFull(c, b); err != nil {
		return nil, err
	}
	return parse(b, id, q)
}

func dial(ctx context.Context, network, server string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, server)
	if err != nil {
		return nil, err
	}
	if until, ok := ctx.Deadline(); ok {
		c.SetDeadline(until)
	}
	return c, nil
}

var errNotAsked = errors.New("dnslist: not the answer to the question")

// parse reads a message that answers q under id.
func parse(b []byte, id uint16, q dnsmessage.Question) (*dnsmessage.Message, error) {
	if len(b) > mostMessage {
		return nil, errNotAsked
	}
	var m dnsmessage.Message
	if err := m.Unpack(b); err != nil {
		return nil, err
	}
	if m.ID != id || !m.Response || len(m.Questions) != 1 || !equalNames(m.Questions[0].Name, q.Name) ||
		m.Questions[0].Type != q.Type || m.Questions[0].Class != q.Class {
		return nil, errNotAsked
	}
	return &m, nil
}

func equalNames(a, b dnsmessage.Name) bool { return strings.EqualFold(a.String(), b.String()) }

// read returns the records of an answer that belong to the question, along its aliases, and their least TTL.
func read(m *dnsmessage.Message, q dnsmessage.Question) ([]dnsmessage.Resource, time.Duration, error) {
	name, ttl := q.Name, uint32(1<<31-1)
	for range mostAliases {
		var found []dnsmessage.Resource
		var alias *dnsmessage.CNAMEResource
		for _, r := range m.Answers {
			if !equalNames(r.Header.Name, name) || r.Header.Class != dnsmessage.ClassINET {
				continue
			}
			switch {
			case r.Header.Type == q.Type:
				found = append(found, r)
				ttl = min(ttl, r.Header.TTL)
			case r.Header.Type == dnsmessage.TypeCNAME && alias == nil:
				alias, _ = r.Body.(*dnsmessage.CNAMEResource)
				ttl = min(ttl, r.Header.TTL)
			}
		}
		if len(found) > 0 {
			return found, seconds(ttl), nil
		}
		if alias == nil {
			break
		}
		name = alias.CNAME
	}
	negative := uint32(0) // RFC 2308, section 5
	for _, r := range m.Authorities {
		if soa, ok := r.Body.(*dnsmessage.SOAResource); ok {
			negative = min(r.Header.TTL, soa.MinTTL)
		}
	}
	return nil, seconds(negative), fmt.Errorf("%w: %v %v", ErrNoRecords, q.Name, q.Type)
}

// seconds is a TTL; one with its highest bit set counts as 0 (RFC 2181, section 8).
func seconds(ttl uint32) time.Duration {
	if ttl > 1<<31-1 {
		return 0
	}
	return time.Duration(ttl) * time.Second
}

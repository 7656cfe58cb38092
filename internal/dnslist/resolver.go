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

// Kind selects the record types of a lookup.
type Kind int

// The kinds of lookups.
const (
	Addresses Kind = iota // A and AAAA
	Services              // SRV, and A and AAAA of the targets
)

// Resolver looks up the records of a name.
type Resolver interface {
	// Lookup returns the servers that name stands for. port is that of the servers with kind
	// Addresses. The error of a negative answer matches ErrNoRecords.
	Lookup(ctx context.Context, kind Kind, name string, port int) (Answer, error)
}

const (
	// queryTimeout limits a query to one DNS server, over UDP and TCP together.
	queryTimeout = 2 * time.Second
	// maxDatagram is the UDP payload size advertised by EDNS (RFC 6891): 1232 bytes, as recommended
	// by dnsflagday.net.
	maxDatagram = 1232
	// maxMessage is the maximum size of a message over TCP (RFC 1035, section 4.2.2).
	maxMessage = 64 << 10
	// maxTargets is the maximum number of targets of an SRV answer that are resolved.
	maxTargets = 1000
	// maxAliases is the maximum length of a chain of CNAME records.
	maxAliases = 8
)

// Client is a stub resolver (RFC 1035). It queries the configured servers in turn until one
// answers, over UDP and, if the answer was truncated, over TCP. It accepts an answer only from the
// address that it queried and only if ID and question match the query.
type Client struct {
	Servers []string // host:port
}

// Lookup implements Resolver.
func (c Client) Lookup(ctx context.Context, kind Kind, name string, port int) (Answer, error) {
	if kind == Addresses {
		return c.lookupAddresses(ctx, name, port)
	}
	found, ttl, err := c.query(ctx, name, dnsmessage.TypeSRV)
	if err != nil {
		return Answer{TTL: ttl}, err
	}
	a := Answer{TTL: ttl}
	for _, r := range found[:min(len(found), maxTargets)] {
		srv, ok := r.Body.(*dnsmessage.SRVResource)
		target := ""
		if ok {
			target = srv.Target.String()
		}
		if !ok || target == "." { // "." says that the service is not available (RFC 2782)
			continue
		}
		addrs, err := c.lookupAddresses(ctx, target, int(srv.Port))
		if errors.Is(err, ErrNoRecords) {
			continue
		}
		if err != nil {
			return Answer{}, fmt.Errorf("the target %s: %w", target, err)
		}
		a.TTL = min(a.TTL, addrs.TTL)
		for _, r := range addrs.Records {
			a.Records = append(a.Records, Record{r.Addr, srv.Weight, srv.Priority})
		}
	}
	if len(a.Records) == 0 {
		return a, fmt.Errorf("%w: no target of %s has an address", ErrNoRecords, name)
	}
	return a, nil
}

// lookupAddresses queries A and AAAA records. Either type may be missing, but not both.
func (c Client) lookupAddresses(ctx context.Context, name string, port int) (Answer, error) {
	a := Answer{TTL: 1 << 62}
	missing := 0
	for _, t := range []dnsmessage.Type{dnsmessage.TypeA, dnsmessage.TypeAAAA} {
		found, ttl, err := c.query(ctx, name, t)
		if errors.Is(err, ErrNoRecords) {
			if missing++; missing == 2 {
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

// query queries the servers in turn until one answers, and returns the records of type t and their
// smallest TTL.
func (c Client) query(ctx context.Context, name string, t dnsmessage.Type) ([]dnsmessage.Resource, time.Duration, error) {
	if !strings.HasSuffix(name, ".") {
		name += "."
	}
	n, err := dnsmessage.NewName(name)
	if err != nil {
		return nil, 0, fmt.Errorf("dnslist: %s: %w", name, err)
	}
	q := dnsmessage.Question{Name: n, Type: t, Class: dnsmessage.ClassINET}
	errs := []error{errors.New("dnslist: no DNS server answered")}
	for _, server := range c.Servers {
		m, err := exchange(ctx, server, q)
		if err == nil {
			return answerRecords(m, q)
		}
		errs = append(errs, fmt.Errorf("%s: %w", server, err))
		if ctx.Err() != nil {
			break
		}
	}
	return nil, 0, errors.Join(errs...)
}

// exchange sends the question to one server and returns the response.
func exchange(ctx context.Context, server string, q dnsmessage.Question) (*dnsmessage.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	id := uint16(rand.Uint32())
	b := dnsmessage.NewBuilder(nil, dnsmessage.Header{ID: id, RecursionDesired: true})
	var opt dnsmessage.ResourceHeader
	err := errors.Join(b.StartQuestions(), b.Question(q), b.StartAdditionals(), opt.SetEDNS0(maxDatagram, dnsmessage.RCodeSuccess, false),
		b.OPTResource(opt, dnsmessage.OPTResource{}))
	if err != nil {
		return nil, err
	}
	query, err := b.Finish()
	if err != nil {
		return nil, err
	}
	m, err := exchangeUDP(ctx, server, query, id, q)
	if err == nil && m.Truncated {
		m, err = exchangeTCP(ctx, server, query, id, q)
	}
	if err != nil {
		return nil, err
	}
	if m.RCode != dnsmessage.RCodeSuccess && m.RCode != dnsmessage.RCodeNameError {
		return nil, fmt.Errorf("it answers %v", m.RCode)
	}
	return m, nil
}

// exchangeUDP sends query over UDP and waits for the response that matches it.
func exchangeUDP(ctx context.Context, server string, query []byte, id uint16, q dnsmessage.Question) (*dnsmessage.Message, error) {
	c, err := dial(ctx, "udp", server)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, err := c.Write(query); err != nil {
		return nil, err
	}
	b := make([]byte, maxDatagram)
	for {
		n, err := c.Read(b)
		if err != nil {
			return nil, err
		}
		if m, err := parse(b[:n], id, q); err == nil { // anything else is ignored, as it may be forged
			return m, nil
		}
	}
}

// exchangeTCP sends query over TCP and reads one response.
func exchangeTCP(ctx context.Context, server string, query []byte, id uint16, q dnsmessage.Question) (*dnsmessage.Message, error) {
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

// dial connects to server with the deadline of ctx set on the connection.
func dial(ctx context.Context, network, server string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, server)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.SetDeadline(deadline)
	}
	return c, nil
}

// errMismatch is the error of a message that does not answer the query.
var errMismatch = errors.New("dnslist: response does not match the query")

// parse decodes a message and checks that it answers q with the given ID.
func parse(b []byte, id uint16, q dnsmessage.Question) (*dnsmessage.Message, error) {
	if len(b) > maxMessage {
		return nil, errMismatch
	}
	var m dnsmessage.Message
	if err := m.Unpack(b); err != nil {
		return nil, err
	}
	if m.ID != id || !m.Response || len(m.Questions) != 1 || !equalNames(m.Questions[0].Name, q.Name) ||
		m.Questions[0].Type != q.Type || m.Questions[0].Class != q.Class {
		return nil, errMismatch
	}
	return &m, nil
}

// equalNames compares domain names without regard to case.
func equalNames(a, b dnsmessage.Name) bool { return strings.EqualFold(a.String(), b.String()) }

// answerRecords returns the records of m that answer q, following CNAME records, and their smallest
// TTL. Without such records it returns the negative TTL and an error that matches ErrNoRecords.
func answerRecords(m *dnsmessage.Message, q dnsmessage.Question) ([]dnsmessage.Resource, time.Duration, error) {
	name, ttl := q.Name, uint32(1<<31-1)
	for range maxAliases {
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
	negativeTTL := uint32(0) // RFC 2308, section 5
	for _, r := range m.Authorities {
		if soa, ok := r.Body.(*dnsmessage.SOAResource); ok {
			negativeTTL = min(r.Header.TTL, soa.MinTTL)
		}
	}
	return nil, seconds(negativeTTL), fmt.Errorf("%w: %v %v", ErrNoRecords, q.Name, q.Type)
}

// seconds converts a TTL to a duration. A TTL with the highest bit set counts as 0 (RFC 2181,
// section 8).
func seconds(ttl uint32) time.Duration {
	if ttl > 1<<31-1 {
		return 0
	}
	return time.Duration(ttl) * time.Second
}

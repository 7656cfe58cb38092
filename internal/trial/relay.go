package trial

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Link describes the impairments of one direction between two processes. The zero Link forwards
// everything at once.
type Link struct {
	Cut       bool          // drop everything
	Loss      float64       // fraction of datagrams that are dropped
	Duplicate float64       // fraction of datagrams that arrive twice
	Corrupt   float64       // fraction of datagrams in which a byte is changed
	Delay     time.Duration // of each datagram
	Jitter    time.Duration // random extra delay up to this, which reorders datagrams
	Rate      int           // bytes per second, 0: unlimited; see maxQueueDelay
}

// merge returns a link that has the impairments of both.
func (l Link) merge(o Link) Link {
	combine := func(a, b float64) float64 { return 1 - (1-a)*(1-b) }
	l.Cut = l.Cut || o.Cut
	l.Loss, l.Duplicate, l.Corrupt = combine(l.Loss, o.Loss), combine(l.Duplicate, o.Duplicate), combine(l.Corrupt, o.Corrupt)
	l.Delay, l.Jitter = l.Delay+o.Delay, l.Jitter+o.Jitter
	if l.Rate == 0 || o.Rate > 0 && o.Rate < l.Rate {
		l.Rate = o.Rate
	}
	return l
}

const (
	maxDatagram = 2048
	// maxQueueDelay is how long a datagram may wait at a link with a limited rate before it is
	// dropped.
	maxQueueDelay = time.Second
)

// network relays the datagrams between all processes. Each process is reached through the relay in
// front of it, which knows the sender by its IP address and forwards from an address that
// represents that sender.
type network struct {
	mu        sync.Mutex
	rng       *rand.Rand
	links     map[[2]int]Link // keyed by sender and receiver
	busyUntil map[[2]int]time.Time
	sentBytes []int // by sender, before any loss
	closed    bool

	listen   []netip.AddrPort // of each process
	inbound  []*net.UDPConn   // one relay per receiver
	outbound []*net.UDPConn   // one per sender
	wg       sync.WaitGroup
}

// newNetwork opens relays at advertise for processes at listen. The relays forward from the
// addresses in outbound, one per sender.
func newNetwork(listen, advertise, outbound []netip.AddrPort, seed uint64) (*network, error) {
	n := &network{rng: rand.New(rand.NewPCG(seed, 3)), links: map[[2]int]Link{}, busyUntil: map[[2]int]time.Time{}, listen: listen, sentBytes: make([]int, len(listen))}
	for i := range listen {
		in, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(advertise[i]))
		if err != nil {
			n.close()
			return nil, err
		}
		n.inbound = append(n.inbound, in)
		out, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(outbound[i]))
		if err != nil {
			n.close()
			return nil, err
		}
		n.outbound = append(n.outbound, out)
	}
	for to, c := range n.inbound {
		n.wg.Go(func() { n.relay(to, c) })
	}
	return n, nil
}

func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	for _, c := range append(n.inbound, n.outbound...) {
		c.Close()
	}
	n.wg.Wait()
}

// setLinks replaces all impairments. A link that is not in the map has none.
func (n *network) setLinks(links map[[2]int]Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = links
}

// bytesSent returns how many bytes each process has sent so far.
func (n *network) bytesSent() []int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.sentBytes)
}

// relay forwards the datagrams that arrive for one process. Those of unknown senders are dropped.
func (n *network) relay(to int, c *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for {
		k, from, err := c.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		for i, addr := range n.listen {
			if addr.Addr() == from.Addr() {
				n.forward(i, to, buf[:k])
			}
		}
	}
}

// forward forwards one datagram with the impairments of its link.
func (n *network) forward(from, to int, b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentBytes[from] += len(b)
	l := n.links[[2]int{from, to}]
	if l.Cut || n.rng.Float64() < l.Loss {
		return
	}
	copies := 1
	if n.rng.Float64() < l.Duplicate {
		copies = 2
	}
	for range copies {
		datagram := append([]byte(nil), b...)
		if n.rng.Float64() < l.Corrupt {
			datagram[n.rng.IntN(len(datagram))] ^= byte(1 + n.rng.IntN(255))
		}
		d := l.Delay
		if l.Jitter > 0 {
			d += time.Duration(n.rng.Int64N(int64(l.Jitter)))
		}
		if l.Rate > 0 {
			free := n.busyUntil[[2]int{from, to}]
			if now := time.Now(); free.Before(now) {
				free = now
			}
			free = free.Add(time.Duration(len(datagram)) * time.Second / time.Duration(l.Rate))
			wait := time.Until(free)
			if wait > maxQueueDelay {
				continue
			}
			n.busyUntil[[2]int{from, to}] = free
			d += wait
		}
		send := func() { n.outbound[from].WriteToUDPAddrPort(datagram, n.listen[to]) }
		if d == 0 {
			send()
		} else {
			time.AfterFunc(d, send)
		}
	}
}

// TCPRelay relays TCP connections from one process to an address of another. Of the impairments of
// the link it applies Cut, Delay and Rate. During a cut, data waits instead of being lost, as TCP
// would send it again.
type TCPRelay struct {
	net      *network
	from, to int
	ln       net.Listener
	target   string
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

// newTCPRelay opens a relay from one process to target, an address of the other.
func (n *network) newTCPRelay(from, to int, target string) (*TCPRelay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &TCPRelay{net: n, from: from, to: to, ln: ln, target: target}
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns the address to which the first process connects.
func (r *TCPRelay) Addr() string { return r.ln.Addr().String() }

// Close closes the relay and all its connections.
func (r *TCPRelay) Close() {
	r.ln.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		c.Close()
	}
	r.conns = nil
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *TCPRelay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", r.target)
		if err != nil {
			c.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, c, s)
		r.mu.Unlock()
		r.wg.Go(func() { r.copy(s, c, r.from, r.to) })
		r.wg.Go(func() { r.copy(c, s, r.to, r.from) })
	}
}

// copy forwards one direction piece by piece, each with the impairments that its link has at the
// time.
func (r *TCPRelay) copy(dst, src net.Conn, from, to int) {
	defer dst.(*net.TCPConn).CloseWrite()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		for start := time.Now(); n > 0; time.Sleep(5 * time.Millisecond) {
			r.net.mu.Lock()
			l, closed := r.net.links[[2]int{from, to}], r.net.closed
			r.net.mu.Unlock()
			wait := l.Delay
			if l.Rate > 0 {
				wait += time.Duration(n) * time.Second / time.Duration(l.Rate)
			}
			if closed {
				return
			}
			if !l.Cut && time.Since(start) >= wait {
				break
			}
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				dst.Close()
			}
			return
		}
	}
}

// addresses returns n loopback addresses 127.second.x.y, with x from third on.
func addresses(second, third, n int, port uint16) (all []netip.AddrPort) {
	for i := range n {
		k := 1 + i
		a, _ := netip.ParseAddr(fmt.Sprintf("127.%d.%d.%d", second, third+k/250, 1+k%250))
		all = append(all, netip.AddrPortFrom(a, port))
	}
	return all
}

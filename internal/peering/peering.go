// Package peering is the host of a members.Node: one UDP socket, the monotonic clock, the sources of seeds, and bounds on what comes and
// goes. It decides nothing.
package peering

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"quillfront/internal/engine"
	"quillfront/members"
)

const (
	// usualBytes bounds what a process sends, a second, whatever the fleet does; strangers cause a quarter of it at most.
	usualBytes, leastBytes = 32 << 10, 4 << 10
	// perSource bounds the datagrams a second that are read of one address, and mostSources the addresses that are told apart.
	perSource, mostSources = 400, 4096
	receiveBuffer          = 512 << 10
	rebind                 = 200 * time.Millisecond // while another process of this sidecar still has the address
)

// Config is what a Peers is made of.
type Config struct {
	Node   members.Config // with Address, where others reach this process: the default is Listen. Epoch is the Host's
	Listen string         // UDP, host:port
	Seeds  []netip.AddrPort
	// Source tells of seeds besides, such as a file or DNS: the addresses of its lists. It may be nil.
	SeedSource  engine.Source
	MaxSendRate int // sent a second, at least 4 KiB; 0: 32 KiB
}

// WithDefaults returns c with its zero values filled in, and what is wrong with it.
func (c Config) WithDefaults() (Config, error) {
	at, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return c, fmt.Errorf("listen: %q is no IP address with a port", c.Listen)
	}
	if c.Node.Address == (netip.AddrPort{}) {
		c.Node.Address = at
	}
	c.Node.Epoch = max(c.Node.Epoch, 1)
	c.MaxSendRate = cmp.Or(c.MaxSendRate, usualBytes)
	if c.MaxSendRate < leastBytes {
		return c, fmt.Errorf("most_bytes: %d is below %d", c.MaxSendRate, leastBytes)
	}
	c.Node, err = c.Node.WithDefaults()
	return c, err
}

// Figures are what is told of a Peers for Prometheus.
type Metrics struct {
	States                   map[string]int // members by state, this process included
	Live, Group              int
	ViewDigest               uint64
	Stats                    members.Stats
	Isolated, Displaced      bool
	SentBytes, ReceivedBytes uint64
	SendLimited              uint64 // datagrams not sent as they were over the bound
	ReceiveLimited           uint64 // datagrams not read as their source sent too many
}

// Peers is a process among others.
type Host struct {
	cfg   Config
	log   *slog.Logger
	began time.Time
	on    Hooks

	mu      sync.Mutex
	node    *members.Node
	conn    *net.UDPConn // nil: not yet bound, or closed
	all     *rate.Limiter
	strange *rate.Limiter
	sources map[netip.AddrPort]int // datagrams read in this second
	second  int64
	figures Metrics
	sharing *members.GroupEstimator
	group   int

	telling sync.Mutex // held while Hooks.Group is called
}

// Hooks are what a Peers calls, from goroutines of its own. Each may be nil.
type Hooks struct {
	// Group is told by how many processes that is divided which all may do together, when that changes. Sharing says how.
	GroupChanged func(int)
	Estimator    *members.GroupEstimator
	// Hinted is told that another process's list says that a server drains or is gone.
	HintReceived func(server string)
}

// New returns a Peers that knows nobody. cfg is checked.
func New(cfg Config, on Hooks, log *slog.Logger) (*Host, error) {
	cfg, err := cfg.WithDefaults()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	cfg.Node.Epoch = uint64(began.UnixMilli())
	if cfg.Node.Seed == 0 {
		cfg.Node.Seed = uint64(began.UnixNano())
	}
	node, err := members.New(cfg.Node)
	if err != nil {
		return nil, err
	}
	node.SetSeeds(cfg.Seeds)
	p := &Host{
		cfg: cfg, log: log, began: began, on: on, node: node, sources: map[netip.AddrPort]int{},
		all:     rate.NewLimiter(rate.Limit(cfg.MaxSendRate), cfg.MaxSendRate),
		strange: rate.NewLimiter(rate.Limit(cfg.MaxSendRate/4), max(cfg.MaxSendRate/4, members.MaxDatagramSize)),
	}
	if on.Estimator != nil {
		s := *on.Estimator
		p.sharing, p.group = &s, s.Configured
	}
	return p, nil
}

// now is the node's time. It is monotonic: that of the wall may be set.
func (p *Host) now() time.Duration { return time.Since(p.began) }

// Listen opens the address.
func (p *Host) Listen() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(p.cfg.Listen)))
	if err != nil {
		return fmt.Errorf("[members] listen: %w", err)
	}
	conn.SetReadBuffer(receiveBuffer) // the system's own bound holds where it is lower
	p.mu.Lock()
	p.conn = conn
	p.mu.Unlock()
	return nil
}

// Run takes part until ctx ends, says goodbye and answers for a little longer. Where Listen was not called, or could not open the address,
// it waits for that: another process of the same sidecar may have it, as in a change of versions.
func (p *Host) Run(ctx context.Context) {
	for told := false; p.conn == nil; {
		err := p.Listen()
		if err != nil && !told {
			p.log.Warn("members: the address cannot be had, as long as another process has it", "err", err)
			told = true
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rebind):
		}
	}
	conn := p.conn
	p.log.Info("members", "listen", conn.LocalAddr().String(), "advertise", p.cfg.Node.Address.String(), "epoch", p.cfg.Node.Epoch)
	beside, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { p.read(conn) })
	work.Go(func() { p.tick(beside) })
	if p.cfg.SeedSource != nil {
		work.Go(func() { p.watch(ctx) })
	}
	<-ctx.Done()
	p.do(func(now time.Duration) { p.node.Leave(now) })
	time.Sleep(p.cfg.Node.Linger)
	stop()
	p.mu.Lock()
	p.conn = nil
	p.mu.Unlock()
	conn.Close()
	work.Wait()
}

// do has the node take something, and carries out what follows.
func (p *Host) do(f func(now time.Duration)) {
	p.mu.Lock()
	f(p.now())
	sends, events := p.node.Ready()
	for _, d := range sends {
		p.send(d)
	}
	regrouped := p.regroup()
	p.mu.Unlock()
	for _, e := range events {
		p.tell(e)
	}
	if regrouped && p.on.GroupChanged != nil {
		p.telling.Lock() // of two changes at once the later one counts
		defer p.telling.Unlock()
		p.mu.Lock()
		group := p.group
		p.mu.Unlock()
		p.on.GroupChanged(group)
	}
}

// send sends within the bounds. Called with the lock held.
func (p *Host) send(d members.Datagram) {
	now := time.Now()
	if p.conn == nil || !d.ToMember && !p.strange.AllowN(now, len(d.Data)) || !p.all.AllowN(now, len(d.Data)) {
		p.figures.SendLimited++
		return
	}
	if _, err := p.conn.WriteToUDPAddrPort(d.Data, d.To); err == nil {
		p.figures.SentBytes += uint64(len(d.Data))
	}
}

// regroup renews the number of processes to divide by, and reports whether it has changed by enough to be worth telling. Called with the
// lock held.
func (p *Host) regroup() bool {
	if p.sharing == nil {
		return false
	}
	g := p.sharing.Update(p.now(), p.node.LiveCount())
	// Growth counts at once, as the others are careful for no longer; a fall in steps, as each costs a new order of the servers.
	if g > p.group || g < p.group-p.group/20 || g < p.group && g == p.node.LiveCount() {
		p.group = g
		return true
	}
	return false
}

func (p *Host) read(conn *net.UDPConn) {
	buf := make([]byte, members.MaxDatagramSize+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as word that nobody listens where something was sent
			time.Sleep(time.Millisecond)
			continue
		}
		if p.crowded(from, n) {
			continue
		}
		p.do(func(now time.Duration) { p.node.Receive(now, buf[:n]) })
	}
}

// crowded counts a datagram, and reports whether its source has sent too many in this second.
func (p *Host) crowded(from netip.AddrPort, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.figures.ReceivedBytes += uint64(n)
	if s := int64(p.now() / time.Second); s != p.second {
		p.second = s
		clear(p.sources)
	}
	k, known := p.sources[from]
	if k >= perSource || !known && len(p.sources) >= mostSources {
		p.figures.ReceiveLimited++
		return true
	}
	p.sources[from] = k + 1
	return false
}

func (p *Host) tick(ctx context.Context) {
	t := time.NewTicker(p.cfg.Node.Retry / 5)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.do(p.node.Tick)
		}
	}
}

// watch takes seeds from the source, beside those that are fixed.
func (p *Host) watch(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.cfg.SeedSource.Watch(ctx, engine.UnknownSeq, func(l engine.List) {
			seeds := append([]netip.AddrPort(nil), p.cfg.Seeds...)
			for _, s := range l.Servers {
				if at, err := netip.ParseAddrPort(s.Addr); err == nil {
					seeds = append(seeds, at)
				}
			}
			p.do(func(time.Duration) { p.node.SetSeeds(seeds) })
		})
		if ctx.Err() == nil {
			p.log.Warn("members: the source of seeds", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}
}

// Hint tells the others that a server drains or is gone.
func (p *Host) Hint(server string) {
	p.do(func(now time.Duration) { p.node.Hint(now, server) })
}

// tell logs an event, a line each, and hands hints on.
func (p *Host) tell(e members.Event) {
	m := e.Member
	switch e.Kind {
	case members.Hinted:
		if p.on.HintReceived != nil {
			p.on.HintReceived(e.Server)
		}
	case members.Stalled:
		p.log.Warn("members", "event", e.Kind.String(), "for", e.Duration.Round(time.Millisecond))
	case members.Suspected, members.DeclaredGone:
		p.log.Warn("members", "event", e.Kind.String(), "name", m.Name, "epoch", m.Epoch, "incarnation", m.Incarnation, "witnesses", e.Witnesses)
	case members.Displaced:
		p.log.Error("members: a later process has this one's name: this one takes no part any more", "event", e.Kind.String(), "name", m.Name)
	case members.NameConflict:
		p.log.Error("members: an earlier process has this one's name, and gives way", "event", e.Kind.String(), "name", m.Name, "at", m.Address.String())
	default:
		p.log.Info("members", "event", e.Kind.String(), "name", m.Name, "epoch", m.Epoch, "incarnation", m.Incarnation)
	}
}

// Member is one of a View.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Epoch       uint64 `json:"epoch"`
	Incarnation uint32 `json:"incarnation"`
	SinceMs     int64  `json:"since_ms"` // how long it has been as it is
}

// View is what a process holds of all, as GET /api/members tells it.
type View struct {
	Self      string   `json:"self"`
	Epoch     uint64   `json:"epoch"`
	Digest    string   `json:"view"` // equal where processes know just the same members
	Live      int      `json:"living"`
	Group     int      `json:"group,omitempty"`
	Isolated  bool     `json:"isolated"`
	Displaced bool     `json:"out"` // it has given way to a later process of its name
	Health    float64  `json:"health"`
	Members   []Member `json:"members"`
}

// View returns what this process holds of all.
func (p *Host) View() View {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	v := View{
		Self: p.node.Self().Name, Epoch: p.node.Self().Epoch, Digest: fmt.Sprintf("%016x", p.node.ViewDigest()), Live: p.node.LiveCount(), Group: p.group,
		Isolated: p.node.Isolated(), Displaced: p.node.Displaced(), Health: p.node.Stats().Health,
	}
	for _, m := range p.node.Members() {
		v.Members = append(v.Members, Member{m.Name, m.Address.String(), m.Zone, m.State.String(), m.Epoch, m.Incarnation, (now - m.Since).Milliseconds()})
	}
	return v
}

// ServeHTTP answers with the View as JSON.
func (p *Host) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(p.View())
}

// Figures returns what is counted.
func (p *Host) Metrics() Metrics {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.figures
	f.States = map[string]int{}
	for _, m := range p.node.Members() {
		f.States[m.State.String()]++
	}
	f.Live, f.Group, f.ViewDigest, f.Stats = p.node.LiveCount(), p.group, p.node.ViewDigest(), p.node.Stats()
	f.Isolated, f.Displaced = p.node.Isolated(), p.node.Displaced()
	return f
}

// Package peering runs a members.Node: it provides one UDP socket, the monotonic clock, the seed
// sources and the rate limits in both directions. It makes no membership decisions.
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
	// defaultSendRate bounds the bytes per second that a process sends, regardless of the fleet's
	// size. Unknown senders cause at most a quarter of it.
	defaultSendRate, minSendRate = 32 << 10, 4 << 10
	// maxPerSource bounds the datagrams per second accepted from one address. maxSources bounds the
	// addresses tracked.
	maxPerSource, maxSources = 400, 4096
	receiveBuffer            = 512 << 10
	// between attempts to bind while another process of this sidecar still holds the address
	rebindInterval = 200 * time.Millisecond
)

// Config configures a Host.
type Config struct {
	// Address, where others reach this process, defaults to Listen. New sets Epoch.
	Node   members.Config
	Listen string // UDP, host:port
	Seeds  []netip.AddrPort
	// SeedSource provides further seeds, such as from a file or DNS, as the addresses of its lists.
	// It may be nil.
	SeedSource  engine.Source
	MaxSendRate int // bytes per second, at least 4 KiB; 0: 32 KiB
}

// WithDefaults returns c with defaults for its zero values, and an error if it is invalid.
func (c Config) WithDefaults() (Config, error) {
	at, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return c, fmt.Errorf("listen: %q is not an IP address with a port", c.Listen)
	}
	if c.Node.Address == (netip.AddrPort{}) {
		c.Node.Address = at
	}
	c.Node.Epoch = max(c.Node.Epoch, 1)
	c.MaxSendRate = cmp.Or(c.MaxSendRate, defaultSendRate)
	if c.MaxSendRate < minSendRate {
		return c, fmt.Errorf("most_bytes: %d is below the minimum of %d", c.MaxSendRate, minSendRate)
	}
	c.Node, err = c.Node.WithDefaults()
	return c, err
}

// Metrics holds the values that a Host exports to Prometheus.
type Metrics struct {
	States                   map[string]int // members by state, including this process
	Live, Group              int
	ViewDigest               uint64
	Stats                    members.Stats
	Isolated, Displaced      bool
	SentBytes, ReceivedBytes uint64
	SendLimited              uint64 // datagrams not sent: over the send rate limit, or no socket
	ReceiveLimited           uint64 // datagrams not read because their source sent too many
}

// Host runs a members.Node on a UDP socket.
type Host struct {
	cfg     Config
	log     *slog.Logger
	started time.Time
	hooks   Hooks

	mu              sync.Mutex
	node            *members.Node
	conn            *net.UDPConn // nil: not bound yet, or closed
	limiter         *rate.Limiter
	strangerLimiter *rate.Limiter
	received        map[netip.AddrPort]int // datagrams read in currentSecond, by source
	currentSecond   int64
	metrics         Metrics
	estimator       *members.GroupEstimator
	group           int

	notifyMu sync.Mutex // held while Hooks.GroupChanged is called
}

// Hooks are the callbacks of a Host, which calls them from its own goroutines, and its Estimator.
// Each may be nil.
type Hooks struct {
	// GroupChanged receives the number of processes that share fleet-wide limits when it changes.
	// Estimator computes it.
	GroupChanged func(int)
	Estimator    *members.GroupEstimator
	// HintReceived receives the id of a server that drains or is gone according to another
	// process's list.
	HintReceived func(server string)
}

// New returns a Host that knows no other process. It validates cfg.
func New(cfg Config, hooks Hooks, log *slog.Logger) (*Host, error) {
	cfg, err := cfg.WithDefaults()
	if err != nil {
		return nil, err
	}
	started := time.Now()
	cfg.Node.Epoch = uint64(started.UnixMilli())
	if cfg.Node.Seed == 0 {
		cfg.Node.Seed = uint64(started.UnixNano())
	}
	node, err := members.New(cfg.Node)
	if err != nil {
		return nil, err
	}
	node.SetSeeds(cfg.Seeds)
	h := &Host{
		cfg: cfg, log: log, started: started, hooks: hooks, node: node, received: map[netip.AddrPort]int{},
		limiter:         rate.NewLimiter(rate.Limit(cfg.MaxSendRate), cfg.MaxSendRate),
		strangerLimiter: rate.NewLimiter(rate.Limit(cfg.MaxSendRate/4), max(cfg.MaxSendRate/4, members.MaxDatagramSize)),
	}
	if hooks.Estimator != nil {
		estimator := *hooks.Estimator
		h.estimator, h.group = &estimator, estimator.Configured
	}
	return h, nil
}

// now returns the node's time. It is monotonic, as the wall clock may be set.
func (h *Host) now() time.Duration { return time.Since(h.started) }

// Listen binds the UDP address.
func (h *Host) Listen() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(h.cfg.Listen)))
	if err != nil {
		return fmt.Errorf("[members] listen: %w", err)
	}
	conn.SetReadBuffer(receiveBuffer) // the operating system's limit applies if it is lower
	h.mu.Lock()
	h.conn = conn
	h.mu.Unlock()
	return nil
}

// Run takes part in the membership until ctx ends, then announces that it leaves and keeps
// answering for Linger. If Listen was not called or failed, Run retries it: another process of the
// same sidecar may hold the address, as during an upgrade.
func (h *Host) Run(ctx context.Context) {
	for logged := false; h.conn == nil; {
		err := h.Listen()
		if err != nil && !logged {
			h.log.Warn("members: cannot bind the listen address; retrying", "err", err)
			logged = true
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rebindInterval):
		}
	}
	conn := h.conn
	h.log.Info("members", "listen", conn.LocalAddr().String(), "advertise", h.cfg.Node.Address.String(), "epoch", h.cfg.Node.Epoch)
	tickCtx, stop := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	workers.Go(func() { h.read(conn) })
	workers.Go(func() { h.tick(tickCtx) })
	if h.cfg.SeedSource != nil {
		workers.Go(func() { h.watchSeeds(ctx) })
	}
	<-ctx.Done()
	h.do(func(now time.Duration) { h.node.Leave(now) })
	time.Sleep(h.cfg.Node.Linger)
	stop()
	h.mu.Lock()
	h.conn = nil
	h.mu.Unlock()
	conn.Close()
	workers.Wait()
}

// do applies f to the node, sends the resulting datagrams and reports the events.
func (h *Host) do(f func(now time.Duration)) {
	h.mu.Lock()
	f(h.now())
	sends, events := h.node.Ready()
	for _, d := range sends {
		h.send(d)
	}
	changed := h.updateGroup()
	h.mu.Unlock()
	for _, e := range events {
		h.handleEvent(e)
	}
	if changed && h.hooks.GroupChanged != nil {
		h.notifyMu.Lock() // of two concurrent changes the later one wins
		defer h.notifyMu.Unlock()
		h.mu.Lock()
		group := h.group
		h.mu.Unlock()
		h.hooks.GroupChanged(group)
	}
}

// send sends a datagram within the rate limits. The caller holds mu.
func (h *Host) send(d members.Datagram) {
	now := time.Now()
	if h.conn == nil || !d.ToMember && !h.strangerLimiter.AllowN(now, len(d.Data)) || !h.limiter.AllowN(now, len(d.Data)) {
		h.metrics.SendLimited++
		return
	}
	if _, err := h.conn.WriteToUDPAddrPort(d.Data, d.To); err == nil {
		h.metrics.SentBytes += uint64(len(d.Data))
	}
}

// updateGroup updates the number of processes that share the limits, and reports whether it changed
// enough to be reported. The caller holds mu.
func (h *Host) updateGroup() bool {
	if h.estimator == nil {
		return false
	}
	group := h.estimator.Update(h.now(), h.node.LiveCount())
	// Growth is reported at once, as the other processes hold back no longer than that. A decrease
	// is reported in steps, as each one causes a reordering of the servers.
	if group > h.group || group < h.group-h.group/20 || group < h.group && group == h.node.LiveCount() {
		h.group = group
		return true
	}
	return false
}

func (h *Host) read(conn *net.UDPConn) {
	buf := make([]byte, members.MaxDatagramSize+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as an ICMP port unreachable for an earlier send
			time.Sleep(time.Millisecond)
			continue
		}
		if h.overReceiveLimit(from, n) {
			continue
		}
		h.do(func(now time.Duration) { h.node.Receive(now, buf[:n]) })
	}
}

// overReceiveLimit counts a datagram, and reports whether its source exceeded the limit in this
// second.
func (h *Host) overReceiveLimit(from netip.AddrPort, n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.metrics.ReceivedBytes += uint64(n)
	if second := int64(h.now() / time.Second); second != h.currentSecond {
		h.currentSecond = second
		clear(h.received)
	}
	count, known := h.received[from]
	if count >= maxPerSource || !known && len(h.received) >= maxSources {
		h.metrics.ReceiveLimited++
		return true
	}
	h.received[from] = count + 1
	return false
}

func (h *Host) tick(ctx context.Context) {
	t := time.NewTicker(h.cfg.Node.Retry / 5)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.do(h.node.Tick)
		}
	}
}

// watchSeeds adds the seeds of the source to the fixed ones.
func (h *Host) watchSeeds(ctx context.Context) {
	for ctx.Err() == nil {
		err := h.cfg.SeedSource.Watch(ctx, engine.UnknownSeq, func(l engine.List) {
			seeds := append([]netip.AddrPort(nil), h.cfg.Seeds...)
			for _, s := range l.Servers {
				if at, err := netip.ParseAddrPort(s.Addr); err == nil {
					seeds = append(seeds, at)
				}
			}
			h.do(func(time.Duration) { h.node.SetSeeds(seeds) })
		})
		if ctx.Err() == nil {
			h.log.Warn("members: watching the seed source failed; retrying", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}
}

// Hint tells the other members that a server drains or is gone.
func (h *Host) Hint(server string) {
	h.do(func(now time.Duration) { h.node.Hint(now, server) })
}

// handleEvent logs an event on one line, or forwards a hint.
func (h *Host) handleEvent(e members.Event) {
	m := e.Member
	switch e.Kind {
	case members.Hinted:
		if h.hooks.HintReceived != nil {
			h.hooks.HintReceived(e.Server)
		}
	case members.Stalled:
		h.log.Warn("members", "event", e.Kind.String(), "for", e.Duration.Round(time.Millisecond))
	case members.Suspected, members.DeclaredGone:
		h.log.Warn("members", "event", e.Kind.String(), "name", m.Name, "epoch", m.Epoch, "incarnation", m.Incarnation, "witnesses", e.Witnesses)
	case members.Displaced:
		h.log.Error("members: a process with the same name started later; this process no longer takes part", "event", e.Kind.String(), "name", m.Name)
	case members.NameConflict:
		h.log.Error("members: an earlier process with the same name gives way", "event", e.Kind.String(), "name", m.Name, "at", m.Address.String())
	default:
		h.log.Info("members", "event", e.Kind.String(), "name", m.Name, "epoch", m.Epoch, "incarnation", m.Incarnation)
	}
}

// Member is an entry of a View.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Epoch       uint64 `json:"epoch"`
	Incarnation uint32 `json:"incarnation"`
	SinceMs     int64  `json:"since_ms"` // time in the present state
}

// View is a process's view of the membership, as returned by GET /api/members.
type View struct {
	Self      string   `json:"self"`
	Epoch     uint64   `json:"epoch"`
	Digest    string   `json:"view"` // digest, equal in processes that know the same members
	Live      int      `json:"living"`
	Group     int      `json:"group,omitempty"`
	Isolated  bool     `json:"isolated"`
	Displaced bool     `json:"out"` // displaced by a later process with the same name
	Health    float64  `json:"health"`
	Members   []Member `json:"members"`
}

// View returns this process's view of the membership.
func (h *Host) View() View {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	v := View{
		Self: h.node.Self().Name, Epoch: h.node.Self().Epoch, Digest: fmt.Sprintf("%016x", h.node.ViewDigest()), Live: h.node.LiveCount(), Group: h.group,
		Isolated: h.node.Isolated(), Displaced: h.node.Displaced(), Health: h.node.Stats().Health,
	}
	for _, m := range h.node.Members() {
		v.Members = append(v.Members, Member{m.Name, m.Address.String(), m.Zone, m.State.String(), m.Epoch, m.Incarnation, (now - m.Since).Milliseconds()})
	}
	return v
}

// ServeHTTP responds with the View as JSON.
func (h *Host) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(h.View())
}

// Metrics returns the current metrics.
func (h *Host) Metrics() Metrics {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.metrics
	f.States = map[string]int{}
	for _, m := range h.node.Members() {
		f.States[m.State.String()]++
	}
	f.Live, f.Group, f.ViewDigest, f.Stats = h.node.LiveCount(), h.group, h.node.ViewDigest(), h.node.Stats()
	f.Isolated, f.Displaced = h.node.Isolated(), h.node.Displaced()
	return f
}

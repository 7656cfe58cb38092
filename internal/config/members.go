package config

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"path/filepath"
	"time"

	"quillfront/internal/dnslist"
	"quillfront/internal/filelist"
	"quillfront/internal/peering"
	"quillfront/members"
)

// Members configures the membership of this process in a cluster.
type Members struct {
	Peers peering.Config // without the name of the process
	// EstimateGroup makes the number of live processes, as smoothed by Estimator, replace the
	// configured group size. Estimator.Configured is still to be set from the settings.
	EstimateGroup bool
	Estimator     members.GroupEstimator
	// UsePlatformAddresses takes the addresses from the platform's configuration.
	UsePlatformAddresses bool
	// ExchangeHints sends the other processes hints about servers from this process's list, and
	// makes it more cautious about servers on which it receives hints from theirs.
	ExchangeHints bool
}

// membersTable is the table [members] of the operator's file.
type membersTable struct {
	Cluster   string    `toml:"cluster"`
	Listen    string    `toml:"listen"`
	Advertise string    `toml:"advertise"`
	Zone      string    `toml:"zone"`
	Seeds     []string  `toml:"seeds"`
	SeedsFile string    `toml:"seeds_file"`
	SeedsDNS  *dnsTable `toml:"seeds_dns"`
	Observed  int       `toml:"observed"`
	Period    duration  `toml:"period"`
	Retry     duration  `toml:"retry"`
	Silence   duration  `toml:"silence"`
	Linger    duration  `toml:"linger"`
	Forget    duration  `toml:"forget"`
	Most      int       `toml:"most"`
	Datagram  int       `toml:"datagram"`
	MostBytes int       `toml:"most_bytes"`
	Share     bool      `toml:"share"`
	Bolder    float64   `toml:"bolder"`
	Fall      duration  `toml:"fall"`
	Hints     bool      `toml:"hints"`
	Platform  bool      `toml:"platform"`
}

// ForPlatform returns m with the addresses that the platform gives, if m uses those. It returns an
// error if the platform's settings do not allow datagrams between sidecars, or if an address is
// missing or invalid.
func (m *Members) ForPlatform(c *Config) (*Members, error) {
	if m == nil || !m.UsePlatformAddresses {
		return m, nil
	}
	if !c.Settings.Peers {
		return nil, errors.New("[members] platform: the settings do not allow datagrams between sidecars (Limits.Peers)")
	}
	n, ordinal := *m, c.Settings.Config.Ordinal
	if ordinal >= len(c.Peers) {
		return nil, fmt.Errorf("[members] platform: peers has %d addresses, and the ordinal of this sidecar is %d", len(c.Peers), ordinal)
	}
	n.Peers.Listen, n.Peers.Seeds = c.PeerListen, nil
	for i, text := range c.Peers {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("[members] platform: peers: %q is not an IP address with a port", text)
		}
		if i == ordinal {
			n.Peers.Node.Address = a
		} else {
			n.Peers.Seeds = append(n.Peers.Seeds, a)
		}
	}
	var err error
	n.Peers, err = n.Peers.WithDefaults()
	return &n, err
}

// maxSeeds limits the seeds in the file.
const maxSeeds = 100

// members converts the table, and sets the defaults in it. An error names the key.
func (t *membersTable) members(dir string) (*Members, error) {
	t.Bolder, t.Fall = cmp.Or(t.Bolder, 2), cmp.Or(t.Fall, duration(time.Minute))
	m := &Members{EstimateGroup: t.Share, ExchangeHints: t.Hints, Estimator: members.GroupEstimator{MaxShareFactor: t.Bolder, HalfLife: time.Duration(t.Fall)}}
	m.Peers = peering.Config{
		Listen: t.Listen, MaxSendRate: t.MostBytes,
		Node: members.Config{
			Name: "unnamed", Cluster: t.Cluster, Zone: t.Zone, ObserverCount: t.Observed, Period: time.Duration(t.Period), Retry: time.Duration(t.Retry),
			Silence: time.Duration(t.Silence), Linger: time.Duration(t.Linger), Forget: time.Duration(t.Forget), MaxMembers: t.Most, DatagramSize: t.Datagram,
		},
	}
	var err error
	if t.Advertise != "" {
		if m.Peers.Node.Address, err = netip.ParseAddrPort(t.Advertise); err != nil {
			return nil, fmt.Errorf("advertise: %q is not an IP address with a port", t.Advertise)
		}
	}
	if len(t.Seeds) > maxSeeds {
		return nil, fmt.Errorf("seeds: %d of them, at most %d", len(t.Seeds), maxSeeds)
	}
	for _, s := range t.Seeds {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, fmt.Errorf("seeds: %q is not an IP address with a port", s)
		}
		m.Peers.Seeds = append(m.Peers.Seeds, a)
	}
	switch log := slog.Default(); {
	case t.SeedsFile != "" && t.SeedsDNS != nil:
		return nil, errors.New("seeds_file: seeds_dns is set too, only one of them may be")
	case t.SeedsFile != "":
		path := t.SeedsFile
		if !filepath.IsAbs(path) {
			path = filepath.Join(dir, path)
		}
		m.Peers.SeedSource = filelist.Source{Path: path, AllowEmpty: true, Log: log}
	case t.SeedsDNS != nil:
		d := t.SeedsDNS
		s := dnslist.Source{
			Resolver: dnslist.Client{Servers: d.Resolvers}, Kind: dnslist.Services, Name: d.Name, Port: d.Port, Log: log,
			Cache: dnslist.CacheConfig{MinInterval: time.Duration(d.Min), MaxInterval: time.Duration(d.Max), KeepFor: time.Duration(d.KeepFor), EmptyThreshold: d.EmptyCounts},
		}
		if d.Port != 0 {
			s.Kind = dnslist.Addresses
		}
		if len(d.Resolvers) == 0 {
			return nil, errors.New("seeds_dns: resolvers: not set")
		}
		if err := s.Check(); err != nil {
			return nil, fmt.Errorf("seeds_dns: %w", err)
		}
		m.Peers.SeedSource = s
	}
	switch {
	case t.Bolder < 1 || t.Bolder > 100:
		return nil, fmt.Errorf("bolder: %v is outside 1 to 100", t.Bolder)
	case time.Duration(t.Fall) < time.Second:
		return nil, fmt.Errorf("fall: %v is below 1s", time.Duration(t.Fall))
	}
	if m.UsePlatformAddresses = t.Platform; m.UsePlatformAddresses {
		if t.Listen != "" || t.Advertise != "" || len(t.Seeds) > 0 || m.Peers.SeedSource != nil {
			return nil, errors.New("platform: listen, advertise and seeds come from the platform and must not be set")
		}
		m.Peers.Listen = "127.0.0.1:1" // a placeholder for the check, until the platform's is known
	}
	if m.Peers, err = m.Peers.WithDefaults(); err != nil {
		return nil, err
	}
	n := m.Peers.Node
	if m.UsePlatformAddresses {
		m.Peers.Listen, n.Address, m.Peers.Node.Address = "", netip.AddrPort{}, netip.AddrPort{}
	} else {
		t.Advertise = n.Address.String()
	}
	t.Observed, t.Most, t.Datagram, t.MostBytes = n.ObserverCount, n.MaxMembers, n.DatagramSize, m.Peers.MaxSendRate
	t.Period, t.Retry, t.Silence, t.Linger, t.Forget = duration(n.Period), duration(n.Retry), duration(n.Silence), duration(n.Linger), duration(n.Forget)
	return m, nil
}

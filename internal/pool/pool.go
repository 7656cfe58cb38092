// Package pool implements the server pools that an operator configures. A pool is a named set of
// servers of one protocol with an engine of its own, and so with its own request classes, server
// list and server state. A transport of the pool's protocol reaches the servers.
package pool

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"time"

	"quillfront/internal/discovery"
	"quillfront/internal/dnslist"
	"quillfront/internal/engine"
	"quillfront/internal/filelist"
	"quillfront/policy"
)

// Config is the configuration of a pool. Zero values take the defaults that the fields name.
type Config struct {
	Name      string
	Servers   []Server
	Discovery string // address of a discovery service; excludes Servers, File and DNS
	File      string // path of a watched list file; see filelist.Source
	DNS       *DNS
	Classes   []Class
	Zone      string // zone of this process

	Attempts   int           // maximum attempts of a request; default 3
	Dial       time.Duration // connect timeout; default 250 ms
	Idle       time.Duration // time after which servers close an idle connection; default 15 s
	RetryAfter time.Duration // maximum Retry-After of a refusal; default 1 s
	Ramp       time.Duration // time that a server needs to warm up after its start; default 9 s
	NoHedging  bool          // no second attempt of a request while one is in flight

	// LoadPort is a port on each server's host that answers GET /load with a load report, as the
	// platform's servers do; 0 if there is none.
	LoadPort   int
	LoadFields []string // names of the fields in such a report; default queue and eps

	// Descriptors and Memory are the connections and the bytes of request bodies that are
	// guaranteed to a pool of HTTP servers, whatever the other pools of the process use. 0 means
	// an equal share of half of the total.
	Descriptors int
	Memory      int64

	Seed uint64 // seed of the module's random numbers; 0 selects a random one
}

// Server is an entry of the static server list.
type Server = filelist.Server

// DNS configures a server list from DNS. Zero values take the defaults of quillfront.DNSOptions.
type DNS struct {
	Name        string
	Resolvers   []string // host:port
	Port        int      // port of all addresses (A, AAAA) of the name; 0 to look up SRV records
	Min, Max    time.Duration
	KeepFor     time.Duration
	EmptyCounts int
}

// Class configures a class of requests.
type Class struct {
	Name      string
	Safe      bool // requests may be repeated freely
	ByRequest bool // the effect depends on the request; safe requests use class SafeClass(Name)
	// KeyWindow is how long every server drops a repeat of a request under the same key; 0 if
	// servers don't drop repeats. With KeyWindow and ByRequest set, requests that have a key use
	// class KeyedClass(Name).
	KeyWindow time.Duration
	Aim       time.Duration // answers within it have the full worth
	Deadline  time.Duration // at least Aim
	Worth     float64       // worth of an answer relative to other classes; default 1
	LateShare float64       // share of Worth that an answer after Aim keeps, 0 to 1
}

// SafeClass returns the name of the class for the safe requests of a by-request class.
func SafeClass(class string) string { return class + "+read" }

// KeyedClass returns the name of the class for the requests of a by-request class whose repeats the
// servers drop by key.
func KeyedClass(class string) string { return class + "+keyed" }

// MaxClasses is the maximum number of configured classes of a pool.
const MaxClasses = 100

const (
	maxAttempts     = 16
	refreshInterval = 10 * time.Second
	probeTariff     = 0.05 // makes a request pay for one probe at most
	coldCapacity    = 0.3
)

// Check returns an error for the first invalid key of c, or nil.
func (c *Config) Check() error {
	_, err := c.policyConfig()
	if err == nil {
		_, err = c.staticList()
	}
	return err
}

// WithDefaults returns c with the defaults of Attempts, RetryAfter, Ramp, Dial and Idle filled in.
func (c Config) WithDefaults() Config {
	c.Attempts, c.RetryAfter, c.Ramp = cmp.Or(c.Attempts, 3), cmp.Or(c.RetryAfter, time.Second), cmp.Or(c.Ramp, 9*time.Second)
	c.Dial, c.Idle = c.DialTimeout(), c.IdleTimeout()
	return c
}

// policyConfig checks c, except for its server list, and returns the decision module's
// configuration.
func (c *Config) policyConfig() (policy.Config, error) {
	d := c.WithDefaults()
	p := policy.Config{
		GroupSize: 1, Zone: c.Zone, MayProbe: true, MayCancel: true, MayDuplicate: !c.NoHedging, ClientsHonorRetryAfter: true,
		MaxAttempts: d.Attempts, MaxRetryAfter: d.RetryAfter, DialTimeout: d.Dial, ConnIdleTimeout: d.Idle,
		Tick: time.Millisecond, RefreshInterval: refreshInterval, ColdCapacity: coldCapacity, Ramp: d.Ramp, ProbeTariff: probeTariff,
	}
	switch {
	case c.Name == "":
		return p, errors.New("name: not set")
	case p.MaxAttempts < 1 || p.MaxAttempts > maxAttempts:
		return p, fmt.Errorf("attempts: %d is outside 1 to %d", c.Attempts, maxAttempts)
	case p.DialTimeout < 0:
		return p, fmt.Errorf("dial: %v is negative", c.Dial)
	case p.ConnIdleTimeout < 0:
		return p, fmt.Errorf("idle: %v is negative", c.Idle)
	case p.MaxRetryAfter < 0:
		return p, fmt.Errorf("retry_after: %v is negative", c.RetryAfter)
	case p.Ramp < 0:
		return p, fmt.Errorf("ramp: %v is negative", c.Ramp)
	case c.Descriptors < 0:
		return p, fmt.Errorf("descriptors: %d is negative", c.Descriptors)
	case c.Memory < 0:
		return p, fmt.Errorf("memory: %d is negative", c.Memory)
	case c.LoadPort < 0 || c.LoadPort > 65535:
		return p, fmt.Errorf("load_port: %d is outside 0 to 65535", c.LoadPort)
	case len(c.Classes) == 0 || len(c.Classes) > MaxClasses:
		return p, fmt.Errorf("classes: %d of them, want 1 to %d", len(c.Classes), MaxClasses)
	}
	for i, class := range c.Classes {
		effect := policy.Unsafe
		if class.Safe {
			effect = policy.Safe
		}
		key := fmt.Sprintf("classes %q", class.Name)
		switch {
		case class.Name == "":
			return p, fmt.Errorf("classes: number %d has no name", i+1)
		case slices.ContainsFunc(c.Classes[:i], func(o Class) bool { return o.Name == class.Name }):
			return p, fmt.Errorf("%s: is there twice", key)
		case class.Safe && class.ByRequest:
			return p, fmt.Errorf("%s: cannot be both safe and by request", key)
		case class.Aim <= 0:
			return p, fmt.Errorf("%s: aim: %v is not above 0", key, class.Aim)
		case class.Deadline < class.Aim || class.Deadline > time.Hour:
			return p, fmt.Errorf("%s: deadline: %v is outside %v (aim) to 1h", key, class.Deadline, class.Aim)
		case class.KeyWindow < 0 || class.KeyWindow > time.Hour:
			return p, fmt.Errorf("%s: window: %v is outside 0 to 1h", key, class.KeyWindow)
		case !(class.Worth >= 0):
			return p, fmt.Errorf("%s: worth: %v is below 0", key, class.Worth)
		case !(class.LateShare >= 0 && class.LateShare <= 1):
			return p, fmt.Errorf("%s: late_share: %v is outside 0 to 1", key, class.LateShare)
		}
		converted := policy.Class{
			Name: class.Name, Effect: effect, Aim: class.Aim, Deadline: class.Deadline, Worth: cmp.Or(class.Worth, 1), LateShare: class.LateShare,
		}
		p.Classes = append(p.Classes, converted)
		if class.ByRequest {
			converted.Name, converted.Effect = SafeClass(class.Name), policy.Safe
			p.Classes = append(p.Classes, converted)
			if class.KeyWindow > 0 {
				converted.Name, converted.Effect, converted.Group, converted.KeyTTL = KeyedClass(class.Name), policy.Keyed, policy.GroupAll, class.KeyWindow
				p.Classes = append(p.Classes, converted)
			}
		}
	}
	return p, nil
}

// staticList checks c's server list settings. It returns the full static list, or an empty one if
// the servers come from a source.
func (c *Config) staticList() (engine.List, error) {
	l := engine.List{Full: true}
	sources := 0
	for _, set := range []bool{len(c.Servers) > 0, c.Discovery != "", c.File != "", c.DNS != nil} {
		if set {
			sources++
		}
	}
	switch {
	case sources != 1:
		return l, fmt.Errorf("servers: %d of servers, discovery, file and dns are set, want exactly one", sources)
	case c.File != "":
		return l, nil
	case c.DNS != nil:
		for _, r := range c.DNS.Resolvers {
			if _, _, err := net.SplitHostPort(r); err != nil {
				return l, fmt.Errorf("dns.resolvers: %q: %w", r, err)
			}
		}
		if len(c.DNS.Resolvers) == 0 {
			return l, errors.New("dns.resolvers: not set")
		}
		if err := c.source(nil).(dnslist.Source).Check(); err != nil {
			return l, fmt.Errorf("dns: %w", err)
		}
		return l, nil
	case c.Discovery != "":
		_, _, err := net.SplitHostPort(c.Discovery)
		if err != nil {
			return l, fmt.Errorf("discovery: %w", err)
		}
		return l, nil
	}
	return filelist.NewList(c.Servers)
}

// source returns the source of the server list, or nil if the list is static.
func (c *Config) source(log *slog.Logger) engine.Source {
	switch {
	case c.Discovery != "":
		return discovery.Client{Addr: c.Discovery}
	case c.File != "":
		return filelist.Source{Path: c.File, Log: log}
	case c.DNS != nil:
		s := dnslist.Source{
			Resolver: dnslist.Client{Servers: c.DNS.Resolvers}, Kind: dnslist.Services, Name: c.DNS.Name, Port: c.DNS.Port, Log: log,
			Cache: dnslist.CacheConfig{MinInterval: c.DNS.Min, MaxInterval: c.DNS.Max, KeepFor: c.DNS.KeepFor, EmptyThreshold: c.DNS.EmptyCounts},
		}
		if c.DNS.Port != 0 {
			s.Kind = dnslist.Addresses
		}
		return s
	}
	return nil
}

// HasStaticList reports whether c itself holds the server list, rather than a source.
func (c *Config) HasStaticList() bool { return c.source(nil) == nil }

// Class returns the configured class with the given name.
func (c *Config) Class(name string) (Class, bool) {
	i := slices.IndexFunc(c.Classes, func(k Class) bool { return k.Name == name })
	if i < 0 {
		return Class{}, false
	}
	return c.Classes[i], true
}

// LoadAddr returns the address at which a server reports its load, or "" if it doesn't report.
func (c *Config) LoadAddr(to engine.Endpoint) string {
	host, _, err := net.SplitHostPort(to.Addr)
	if c.LoadPort == 0 || err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(c.LoadPort))
}

// ReportFields returns the names of the fields in load reports.
func (c *Config) ReportFields() []string {
	if c.LoadFields == nil {
		return []string{"queue", "eps"}
	}
	return c.LoadFields
}

// DialTimeout returns the connect timeout.
func (c *Config) DialTimeout() time.Duration { return cmp.Or(c.Dial, 250*time.Millisecond) }

// IdleTimeout returns the time after which servers close an idle connection.
func (c *Config) IdleTimeout() time.Duration { return cmp.Or(c.Idle, 15*time.Second) }

// InFlight counts the requests, streams or connections that this process has open at each server.
// The count stands in for the load report of a server that is not probed. It is safe for concurrent
// use.
type InFlight struct {
	mu     sync.Mutex
	counts map[policy.ServerID]int // only servers with a count other than 0
}

// Add adds n to the count of a server.
func (f *InFlight) Add(id policy.ServerID, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[policy.ServerID]int{}
	}
	if f.counts[id] += n; f.counts[id] == 0 {
		delete(f.counts, id)
	}
}

// Count returns the count of a server.
func (f *InFlight) Count(id policy.ServerID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[id]
}

// Load returns the count of a server as a load report.
func (f *InFlight) Load(id policy.ServerID) *policy.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return QueueReport(float64(f.counts[id]))
}

// ServerCount returns the number of servers with a count other than 0.
func (f *InFlight) ServerCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.counts)
}

// QueueReport returns a load report with a queue length and no other field.
func QueueReport(n float64) *policy.Load {
	return &policy.Load{Queue: n, Inflight: -1, Latency: -1, ErrorRate: -1}
}

// Prober requests a server's load report from an address other than that of its requests.
type Prober interface {
	Probe(ctx context.Context, to engine.Endpoint) (policy.Status, *policy.Load)
}

// Pool is a running pool.
type Pool struct {
	*engine.Engine
	source *pushedSource // provides the static list; nil if the list comes from another source
	log    *slog.Logger

	mu  sync.Mutex
	cfg Config
}

// Open starts a pool that reaches its servers through t. It returns an error if c is invalid.
func (c Config) Open(t engine.Transport, log *slog.Logger) (*Pool, error) {
	p, err := c.policyConfig()
	if err != nil {
		return nil, err
	}
	l, err := c.staticList()
	if err != nil {
		return nil, err
	}
	m, err := policy.New(p, cmp.Or(c.Seed, rand.Uint64()))
	if err != nil {
		return nil, err
	}
	o := engine.Options{Config: p, Module: m, Transport: t, Log: log.With("pool", c.Name)}
	pool := &Pool{cfg: c, log: o.Log}
	if o.Source = c.source(o.Log); o.Source == nil {
		pool.source = &pushedSource{changed: make(chan struct{}, 1)}
		pool.source.set(l)
		o.Source, o.CachedList = pool.source, &l
	}
	pool.Engine = engine.New(o)
	pool.Engine.Refresh()
	return pool, nil
}

// Reload applies a new configuration of the same pool: its server list, classes and timing. On an
// error nothing changes. The settings of the transport need a restart, and so does a change between
// a static list and a source.
func (p *Pool) Reload(c Config) error {
	cfg, err := c.policyConfig()
	if err != nil {
		return err
	}
	l, err := c.staticList()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.HasStaticList() != (p.source != nil) {
		return errors.New("discovery, file, dns: a change between a static list and a source requires a restart")
	}
	if err := p.Engine.Reconfigure(cfg); err != nil {
		return err
	}
	switch {
	case p.source != nil:
		p.source.set(l)
	case c.Discovery != p.cfg.Discovery || c.File != p.cfg.File || !reflect.DeepEqual(c.DNS, p.cfg.DNS):
		p.Engine.SetSource(c.source(p.log))
	}
	p.cfg = c
	return nil
}

// pushedSource is a Source that provides the lists passed to set.
type pushedSource struct {
	mu      sync.Mutex
	list    engine.List
	changed chan struct{}
}

func (s *pushedSource) set(l engine.List) {
	s.mu.Lock()
	s.list = l
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Watch implements engine.Source.
func (s *pushedSource) Watch(ctx context.Context, _ int64, update func(engine.List)) error {
	for {
		s.mu.Lock()
		l := s.list
		s.mu.Unlock()
		update(l)
		select {
		case <-s.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

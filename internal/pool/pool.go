// Package pool is a set of servers of one kind that an operator has named, with an engine of its own: its classes of requests,
// its list, its beliefs. What reaches the servers is a transport of their protocol's.
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

// Config is a pool as an operator describes it.
type Config struct {
	Name      string
	Servers   []Server
	Discovery string // address of a discovery; in place of Servers, as File and DNS are
	File      string // the path of a file that is watched; see filelist.Source
	DNS       *DNS
	Classes   []Class
	Zone      string // where this process is

	Attempts   int           // sends for one request in all; 3
	Dial       time.Duration // 250 ms
	Idle       time.Duration // after which servers close an idle connection; 15 s
	RetryAfter time.Duration // the longest time to come back that a refusal names; 1 s
	Ramp       time.Duration // until a server that has just started is warm; 9 s
	NoHedging  bool          // never a second attempt while one is out

	// LoadPort is a port at each server's host that answers GET /load as the platform's servers do; 0: none.
	LoadPort   int
	LoadFields []string // names of the figures in such an answer; queue and eps

	// Descriptors and Memory are what a pool of HTTP servers has of its process's however much others want, in connections and in bytes of
	// bodies; 0: an equal part of half of all.
	Descriptors int
	Memory      int64

	Seed uint64 // of its module's chances; 0: drawn
}

// Server is an entry of a list that the operator gives.
type Server = filelist.Server

// DNS says how a list is taken from DNS. Zero values take the defaults of quillfront.DNSOptions.
type DNS struct {
	Name        string
	Resolvers   []string // host:port
	Port        int      // of all addresses of the name; 0: it is a service (SRV)
	Min, Max    time.Duration
	KeepFor     time.Duration
	EmptyCounts int
}

// Class is a class of requests.
type Class struct {
	Name      string
	Safe      bool // may be repeated freely
	ByRequest bool // whether it may hangs on the request: those that may are of the class SafeClass(Name)
	// KeyWindow is for how long every server drops a repeat of a request by its key; with it, and with ByRequest, those that have a key are
	// of the class KeyedClass(Name). 0: none does.
	KeyWindow time.Duration
	Aim       time.Duration
	Deadline  time.Duration // at least Aim
	Worth     float64       // beside those of other classes; 1
	LateShare float64       // of it that is left after Aim, 0 to 1
}

// SafeClass is the class of those requests of a class by request that may be repeated.
func SafeClass(class string) string { return class + "+read" }

// KeyedClass is the class of those whose repeats servers drop by their key.
func KeyedClass(class string) string { return class + "+keyed" }

// MaxClasses bounds the classes of a pool.
const MaxClasses = 100

const (
	mostAttempts = 16
	askEvery     = 10 * time.Second
	probeTariff  = 0.05 // prices a probe so that a request pays for one at most
	coldFrom     = 0.3
)

// Check tells the first key that cannot be used.
func (c *Config) Check() error {
	_, err := c.policy()
	if err == nil {
		_, err = c.list()
	}
	return err
}

// WithDefaults fills in what is not set.
func (c Config) WithDefaults() Config {
	c.Attempts, c.RetryAfter, c.Ramp = cmp.Or(c.Attempts, 3), cmp.Or(c.RetryAfter, time.Second), cmp.Or(c.Ramp, 9*time.Second)
	c.Dial, c.Idle = c.DialTimeout(), c.IdleTimeout()
	return c
}

// policy returns what the module is told.
func (c *Config) policy() (policy.Config, error) {
	d := c.WithDefaults()
	p := policy.Config{
		GroupSize: 1, Zone: c.Zone, MayProbe: true, MayCancel: true, MayDuplicate: !c.NoHedging, ClientsHonorRetryAfter: true,
		MaxAttempts: d.Attempts, MaxRetryAfter: d.RetryAfter, DialTimeout: d.Dial, ConnIdleTimeout: d.Idle,
		Tick: time.Millisecond, RefreshInterval: askEvery, ColdCapacity: coldFrom, Ramp: d.Ramp, ProbeTariff: probeTariff,
	}
	switch {
	case c.Name == "":
		return p, errors.New("name: not set")
	case p.MaxAttempts < 1 || p.MaxAttempts > mostAttempts:
		return p, fmt.Errorf("attempts: %d is outside 1 to %d", c.Attempts, mostAttempts)
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
	for i, k := range c.Classes {
		effect := policy.Unsafe
		if k.Safe {
			effect = policy.Safe
		}
		key := fmt.Sprintf("classes %q", k.Name)
		switch {
		case k.Name == "":
			return p, fmt.Errorf("classes: number %d has no name", i+1)
		case slices.ContainsFunc(c.Classes[:i], func(o Class) bool { return o.Name == k.Name }):
			return p, fmt.Errorf("%s: is there twice", key)
		case k.Safe && k.ByRequest:
			return p, fmt.Errorf("%s: safe and by request", key)
		case k.Aim <= 0:
			return p, fmt.Errorf("%s: aim: %v is not above 0", key, k.Aim)
		case k.Deadline < k.Aim || k.Deadline > time.Hour:
			return p, fmt.Errorf("%s: deadline: %v is outside aim, which is %v, to an hour", key, k.Deadline, k.Aim)
		case k.KeyWindow < 0 || k.KeyWindow > time.Hour:
			return p, fmt.Errorf("%s: window: %v is outside 0 to an hour", key, k.KeyWindow)
		case !(k.Worth >= 0):
			return p, fmt.Errorf("%s: worth: %v is below 0", key, k.Worth)
		case !(k.LateShare >= 0 && k.LateShare <= 1):
			return p, fmt.Errorf("%s: late_share: %v is outside 0 to 1", key, k.LateShare)
		}
		class := policy.Class{
			Name: k.Name, Effect: effect, Aim: k.Aim, Deadline: k.Deadline, Worth: cmp.Or(k.Worth, 1), LateShare: k.LateShare,
		}
		p.Classes = append(p.Classes, class)
		if k.ByRequest {
			class.Name, class.Effect = SafeClass(k.Name), policy.Safe
			p.Classes = append(p.Classes, class)
			if k.KeyWindow > 0 {
				class.Name, class.Effect, class.Group, class.KeyTTL = KeyedClass(k.Name), policy.Keyed, policy.GroupAll, k.KeyWindow
				p.Classes = append(p.Classes, class)
			}
		}
	}
	return p, nil
}

// list returns the list that the operator gives, whole.
func (c *Config) list() (engine.List, error) {
	l := engine.List{Full: true}
	told := 0
	for _, is := range []bool{len(c.Servers) > 0, c.Discovery != "", c.File != "", c.DNS != nil} {
		if is {
			told++
		}
	}
	switch {
	case told != 1:
		return l, fmt.Errorf("servers: %d of servers, discovery, file and dns are set, want one", told)
	case c.File != "":
		return l, nil
	case c.DNS != nil:
		for _, r := range c.DNS.Resolvers {
			if _, _, err := net.SplitHostPort(r); err != nil {
				return l, fmt.Errorf("dns.resolvers: %q: %w", r, err)
			}
		}
		if len(c.DNS.Resolvers) == 0 {
			return l, errors.New("dns.resolvers: none are there")
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

// source returns where the list comes from; nil: it is c's own.
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

// HasStaticList reports whether the list is c's own, and is not told by a source.
func (c *Config) HasStaticList() bool { return c.source(nil) == nil }

// Class returns the class of that name.
func (c *Config) Class(name string) (Class, bool) {
	i := slices.IndexFunc(c.Classes, func(k Class) bool { return k.Name == name })
	if i < 0 {
		return Class{}, false
	}
	return c.Classes[i], true
}

// LoadAddr returns where a server tells its load, empty if it does not.
func (c *Config) LoadAddr(to engine.Endpoint) string {
	host, _, err := net.SplitHostPort(to.Addr)
	if c.LoadPort == 0 || err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(c.LoadPort))
}

// ReportFields returns the names of the figures in load reports.
func (c *Config) ReportFields() []string {
	if c.LoadFields == nil {
		return []string{"queue", "eps"}
	}
	return c.LoadFields
}

// DialTimeout is how long a connect may take.
func (c *Config) DialTimeout() time.Duration { return cmp.Or(c.Dial, 250*time.Millisecond) }

// IdleTimeout is after how long servers close an idle connection.
func (c *Config) IdleTimeout() time.Duration { return cmp.Or(c.Idle, 15*time.Second) }

// InFlight counts what this process has at each server, which is its load where it is not asked. It may be used from many goroutines at once.
type InFlight struct {
	mu sync.Mutex
	n  map[policy.ServerID]int // only of those that have any
}

// Add adds to what a server has.
func (o *InFlight) Add(id policy.ServerID, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.n == nil {
		o.n = map[policy.ServerID]int{}
	}
	if o.n[id] += n; o.n[id] == 0 {
		delete(o.n, id)
	}
}

// Count returns what a server has.
func (o *InFlight) Count(id policy.ServerID) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.n[id]
}

// Load returns what a server has as a report of its queue.
func (o *InFlight) Load(id policy.ServerID) *policy.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	return QueueReport(float64(o.n[id]))
}

// ServerCount returns how many servers have something.
func (o *InFlight) ServerCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.n)
}

// QueueReport is a report that tells a queue and nothing else.
func QueueReport(n float64) *policy.Load {
	return &policy.Load{Queue: n, Inflight: -1, Latency: -1, ErrorRate: -1}
}

// Prober asks a server for its load at another address than that of the requests.
type Prober interface {
	Probe(ctx context.Context, to engine.Endpoint) (policy.Status, *policy.Load)
}

// Pool is a pool at work.
type Pool struct {
	*engine.Engine
	source *pushedSource // nil: another one tells
	log    *slog.Logger

	mu  sync.Mutex
	cfg Config
}

// Open starts a pool, whose servers t reaches. c must have been checked.
func (c Config) Open(t engine.Transport, log *slog.Logger) (*Pool, error) {
	p, err := c.policy()
	if err != nil {
		return nil, err
	}
	l, err := c.list()
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

// Reload takes over another description of the same pool, or none of it: its list, its classes, its times. What a transport was
// made with is for the next start, and so is where the list comes from.
func (p *Pool) Reload(c Config) error {
	cfg, err := c.policy()
	if err != nil {
		return err
	}
	l, err := c.list()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.HasStaticList() != (p.source != nil) {
		return errors.New("discovery, file, dns: whether there is one takes a restart")
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

// pushedSource is a source of the lists that it is given.
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

// Watch is the method of engine.Source.
func (s *pushedSource) Watch(ctx context.Context, _ int64, tell func(engine.List)) error {
	for {
		s.mu.Lock()
		l := s.list
		s.mu.Unlock()
		tell(l)
		select {
		case <-s.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

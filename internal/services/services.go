// Package services puts the operator's own pools together with what listens for them, and owns their start, reload and planned end.
// Each service has a pool of its own, even where two name the same: what one learns of a server by its protocol says little to the other.
package services

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"slices"
	"sync"
	"time"

	"quillfront/internal/config"
	"quillfront/internal/engine"
	"quillfront/internal/httpfront"
	"quillfront/internal/mysql/proxy"
	"quillfront/internal/pool"
	"quillfront/internal/router"
	"quillfront/internal/settings"
	"quillfront/internal/sockets"
	"quillfront/internal/stream"
	"quillfront/internal/upstream"
	"quillfront/policy"
	"quillfront/routes"
)

// Services are all that run.
type Services struct {
	budget *sockets.Budget
	log    *slog.Logger
	all    []*service
	web    *web // nil: no HTTP is served

	once sync.Once // of Close

	mu  sync.Mutex
	cfg config.Services
}

// front is what listens.
type front interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close()
}

// service is one that listens, with its pool.
type service struct {
	kind, name, listen string
	pool               *pool.Pool
	poolName           string
	front              front
	makeRoom           func() bool
	close              func() // of the transport
	setUsers           func([]proxy.User)
	clients            *httpfront.Server // of HTTP; nil: of none. Its pools are the web's
	streams            func() stream.Stats
	mysql              func() proxy.Stats
	ln                 net.Listener
}

// New makes all services of cfg, which has been checked, and the pools that list leads to where HTTP is served. Bodies of requests may hold
// memory bytes in all. It opens no socket.
func New(cfg config.Services, list []routes.Route, memory int64, b *sockets.Budget, log *slog.Logger) (*Services, error) {
	s := &Services{budget: b, log: log, cfg: cfg}
	if len(cfg.HTTP) > 0 {
		var err error
		if s.web, err = newWeb(cfg, list, memory, b, log); err != nil {
			return nil, err
		}
	}
	for _, c := range cfg.HTTP {
		s.http(c)
	}
	for _, c := range cfg.Streams {
		if err := s.stream(c, cfg.Pool(c.Pool)); err != nil {
			s.Close()
			return nil, fmt.Errorf("[[streams]] %s: %w", c.Name, err)
		}
	}
	for _, c := range cfg.MySQL {
		if err := s.mysql(c, cfg.Pool(c.Pool)); err != nil {
			s.Close()
			return nil, fmt.Errorf("[[mysql]] %s: %w", c.Name, err)
		}
	}
	return s, nil
}

// prober asks servers for their load at a port beside; nil where they have none.
func (s *Services) prober(p pool.Config) *upstream.Transport {
	if p.LoadPort == 0 {
		return nil
	}
	return upstream.New(settings.Settings{
		Config: policy.Config{DialTimeout: p.DialTimeout(), ConnIdleTimeout: p.IdleTimeout()}, LoadFields: p.ReportFields(),
	}, s.budget, s.log)
}

func (s *Services) stream(c stream.Config, p pool.Config) error {
	log := s.log.With("stream", c.Name)
	var asks pool.Prober
	beside := s.prober(p)
	if beside != nil {
		asks = beside
	}
	t := stream.NewTransport(p.DialTimeout(), s.budget, p.LoadAddr, asks, log)
	opened, err := p.Open(t, log)
	if err != nil {
		return err
	}
	f := stream.New(c, opened.Engine, s.budget, s.log)
	s.all = append(s.all, &service{
		kind: "stream", name: c.Name, listen: c.Listen, pool: opened, poolName: p.Name, front: f, streams: f.Stats,
		makeRoom: roomOf(beside, nil), close: closing(beside, nil),
	})
	return nil
}

func (s *Services) mysql(c proxy.Config, p pool.Config) error {
	log := s.log.With("mysql", c.Name)
	var asks pool.Prober
	beside := s.prober(p)
	if beside != nil {
		asks = beside
	}
	t := proxy.NewTransport(c, p.DialTimeout(), p.IdleTimeout(), s.budget, p.LoadAddr, asks, log)
	opened, err := p.Open(t, log)
	if err != nil {
		t.Close()
		return err
	}
	f := proxy.New(c, opened, t, s.budget, s.log)
	s.all = append(s.all, &service{
		kind: "mysql", name: c.Name, listen: c.Listen, pool: opened, poolName: p.Name, front: f, setUsers: f.SetUsers, mysql: f.Stats,
		makeRoom: roomOf(beside, t.EvictIdle), close: closing(beside, t.Close),
	})
	return nil
}

func roomOf(beside *upstream.Transport, other func() bool) func() bool {
	return func() bool { return other != nil && other() || beside != nil && beside.EvictIdle() }
}

func closing(beside *upstream.Transport, other func()) func() {
	return func() {
		if other != nil {
			other()
		}
		if beside != nil {
			beside.Close()
		}
	}
}

// EvictIdle closes one idle connection to a server, and reports whether there was one.
func (s *Services) EvictIdle() bool {
	return slices.ContainsFunc(s.all, func(v *service) bool { return v.makeRoom() })
}

// Listen opens all addresses, or none. An error names the service.
func (s *Services) Listen() error {
	for _, v := range s.all {
		ln, err := net.Listen("tcp", v.listen)
		if err != nil {
			for _, o := range s.all {
				if o.ln != nil {
					o.ln.Close()
					o.ln = nil
				}
			}
			return fmt.Errorf("%s %s: %w", v.kind, v.name, err)
		}
		v.ln = ln
	}
	for _, v := range s.all {
		s.log.Info("service", "kind", v.kind, "name", v.name, "at", v.ln.Addr().String(), "pool", v.poolName)
	}
	return nil
}

// Addr returns where a service listens, once Listen has opened its address.
func (s *Services) Addr(name string) string {
	for _, v := range s.all {
		if v.name == name && v.ln != nil {
			return v.ln.Addr().String()
		}
	}
	return ""
}

// Serve serves until all services have been shut down or closed. Listen comes before it.
func (s *Services) Serve() error {
	var work sync.WaitGroup
	errs := make([]error, len(s.all))
	for i, v := range s.all {
		work.Go(func() {
			if err := v.front.Serve(v.ln); err != nil && !errors.Is(err, net.ErrClosed) {
				errs[i] = fmt.Errorf("%s %s: %w", v.kind, v.name, err)
			}
		})
	}
	work.Wait()
	return errors.Join(errs...)
}

// Shutdown ends all services as each is to end, at once, and returns once they have. What is left when ctx ends is cut off.
func (s *Services) Shutdown(ctx context.Context) {
	var work sync.WaitGroup
	for _, v := range s.all {
		work.Go(func() { v.front.Shutdown(ctx) })
	}
	work.Wait()
}

// Close ends all that New has made.
func (s *Services) Close() {
	s.once.Do(func() {
		for _, v := range s.all {
			v.front.Close()
			if v.pool != nil {
				v.pool.Close()
			}
			v.close()
		}
		if s.web != nil {
			s.web.close()
		}
	})
}

// Check tells what of cfg and list could not be taken over.
func (s *Services) Check(cfg config.Services, list []routes.Route) error {
	if s.web != nil {
		if err := router.Check(list, cfg.Pools); err != nil {
			return err
		}
	}
	for _, v := range s.all {
		if p := cfg.Pool(v.poolName); p.Name != "" {
			if err := p.Check(); err != nil {
				return fmt.Errorf("[[pools]] %s: %w", p.Name, err)
			}
		}
	}
	return nil
}

// Reload takes over the routes, the pools' lists, classes and times, and the users. What else has changed is for the next start, which restart
// reports. cfg has passed Check.
func (s *Services) Reload(cfg config.Services, list []routes.Route) (restart bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.web != nil {
		if err := s.web.set(cfg, list); err != nil {
			return false, err
		}
	}
	for _, v := range s.all {
		if v.pool == nil {
			continue
		}
		before, p := s.cfg.Pool(v.poolName), cfg.Pool(v.poolName)
		if p.Name == "" || p.HasStaticList() != before.HasStaticList() {
			restart = true
			continue
		}
		if reflect.DeepEqual(p, before) {
			continue
		}
		if err := v.pool.Reload(p); err != nil {
			return restart, fmt.Errorf("[[pools]] %s: %w", p.Name, err)
		}
		restart = restart || p.LoadPort != before.LoadPort || p.Dial != before.Dial || p.Idle != before.Idle
	}
	for _, c := range cfg.MySQL {
		for _, v := range s.all {
			if v.name == c.Name && v.setUsers != nil {
				v.setUsers(c.Users)
			}
		}
	}
	restart = restart || !reflect.DeepEqual(still(cfg), still(s.cfg))
	s.cfg = cfg
	return restart, nil
}

// still is what a reload does not take over.
func still(c config.Services) config.Services {
	c.Pools, c.MySQL = nil, slices.Clone(c.MySQL)
	for i := range c.MySQL {
		c.MySQL[i].Users, c.MySQL[i].TLS, c.MySQL[i].ServerTLS = nil, nil, nil
	}
	return c
}

// Stats are what a service does, for telemetry.
type Stats struct {
	Kind, Name string
	Counts     map[string]engine.Counts // by class
	Pool       engine.Snapshot
	Stream     *stream.Stats // of a stream
	HTTP       *HTTPStats    // of HTTP: a pool, or an address
	MySQL      *proxy.Stats  // of a MySQL service
}

// Stats returns the present figures of all services.
func (s *Services) Stats() []Stats {
	var all []Stats
	if s.web != nil {
		all = s.web.figures()
	}
	for _, v := range s.all {
		if v.clients != nil {
			all = append(all, Stats{Kind: v.kind, Name: v.name, HTTP: &HTTPStats{Clients: v.clients.Stats(), Routes: s.web.router.Stats(), Retired: s.RetirementStats()}})
			continue
		}
		f := Stats{Kind: v.kind, Name: v.name, Counts: v.pool.Counts(), Pool: v.pool.Snapshot()}
		if v.streams != nil {
			st := v.streams()
			f.Stream = &st
		}
		if v.mysql != nil {
			st := v.mysql()
			f.MySQL = &st
		}
		all = append(all, f)
	}
	return all
}

// PendingRequest is a request that waits at a service or a pool.
type PendingRequest struct {
	Pool string
	engine.PendingRequest
}

// PendingRequests returns the requests of all services and pools that have waited for longer than d, pools that are being ended among them.
func (s *Services) PendingRequests(d time.Duration) (all []PendingRequest) {
	if s.web != nil {
		all = s.web.waiting(d)
	}
	for _, v := range s.all {
		if v.pool == nil {
			continue
		}
		for _, r := range v.pool.PendingRequests(d) {
			all = append(all, PendingRequest{v.poolName, r})
		}
	}
	return all
}

// RetirementStats returns how pools that were taken out have ended so far.
func (s *Services) RetirementStats() RetirementStats {
	if s.web == nil {
		return RetirementStats{}
	}
	s.web.mu.Lock()
	defer s.web.mu.Unlock()
	return s.web.ends
}

// Package services assembles the operator's services, each a listener with the pool that it
// forwards to, and handles their start, reload and shutdown. Every stream and MySQL service has a
// pool of its own, even if two name the same one: what is learned about a server over one protocol
// says little about it over another. The HTTP services share the pools that the routes lead to.
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

// Services is the set of services of one process.
type Services struct {
	budget    *sockets.Budget
	log       *slog.Logger
	services  []*service
	httpPools *httpPoolSet // nil without HTTP services

	closeOnce sync.Once

	mu  sync.Mutex
	cfg config.Services
}

// frontend accepts and serves the connections of a service.
type frontend interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close()
}

// service is a frontend with its address and its pool.
type service struct {
	kind, name, listen string
	pool               *pool.Pool
	poolName           string
	frontend           frontend
	evictIdle          func() bool
	close              func() // closes the transports
	setUsers           func([]proxy.User)
	httpServer         *httpfront.Server // nil unless it is an HTTP service
	streamStats        func() stream.Stats
	mysqlStats         func() proxy.Stats
	ln                 net.Listener
}

// New creates the services of cfg and, if there are HTTP services, the pools that list leads to.
// cfg and list must have been validated. memory is the limit in bytes for all buffered request
// bodies. New opens no listener.
func New(cfg config.Services, list []routes.Route, memory int64, b *sockets.Budget, log *slog.Logger) (*Services, error) {
	s := &Services{budget: b, log: log, cfg: cfg}
	if len(cfg.HTTP) > 0 {
		var err error
		if s.httpPools, err = newHTTPPoolSet(cfg, list, memory, b, log); err != nil {
			return nil, err
		}
	}
	for _, c := range cfg.HTTP {
		s.addHTTP(c)
	}
	for _, c := range cfg.Streams {
		if err := s.addStream(c, cfg.Pool(c.Pool)); err != nil {
			s.Close()
			return nil, fmt.Errorf("[[streams]] %s: %w", c.Name, err)
		}
	}
	for _, c := range cfg.MySQL {
		if err := s.addMySQL(c, cfg.Pool(c.Pool)); err != nil {
			s.Close()
			return nil, fmt.Errorf("[[mysql]] %s: %w", c.Name, err)
		}
	}
	return s, nil
}

// loadTransport returns a transport that queries the load of servers at a separate port, or nil if
// the pool has no such port.
func (s *Services) loadTransport(p pool.Config) *upstream.Transport {
	if p.LoadPort == 0 {
		return nil
	}
	return upstream.New(settings.Settings{
		Config: policy.Config{DialTimeout: p.DialTimeout(), ConnIdleTimeout: p.IdleTimeout()}, LoadFields: p.ReportFields(),
	}, s.budget, s.log)
}

// addStream adds the stream service c with its pool.
func (s *Services) addStream(c stream.Config, p pool.Config) error {
	log := s.log.With("stream", c.Name)
	var prober pool.Prober
	loads := s.loadTransport(p)
	if loads != nil {
		prober = loads
	}
	t := stream.NewTransport(p.DialTimeout(), s.budget, p.LoadAddr, prober, log)
	opened, err := p.Open(t, log)
	if err != nil {
		return err
	}
	f := stream.New(c, opened.Engine, s.budget, s.log)
	s.services = append(s.services, &service{
		kind: "stream", name: c.Name, listen: c.Listen, pool: opened, poolName: p.Name, frontend: f, streamStats: f.Stats,
		evictIdle: evictIdleFunc(loads, nil), close: closeFunc(loads, nil),
	})
	return nil
}

// addMySQL adds the MySQL service c with its pool.
func (s *Services) addMySQL(c proxy.Config, p pool.Config) error {
	log := s.log.With("mysql", c.Name)
	var prober pool.Prober
	loads := s.loadTransport(p)
	if loads != nil {
		prober = loads
	}
	t := proxy.NewTransport(c, p.DialTimeout(), p.IdleTimeout(), s.budget, p.LoadAddr, prober, log)
	opened, err := p.Open(t, log)
	if err != nil {
		t.Close()
		return err
	}
	f := proxy.New(c, opened, t, s.budget, s.log)
	s.services = append(s.services, &service{
		kind: "mysql", name: c.Name, listen: c.Listen, pool: opened, poolName: p.Name, frontend: f, setUsers: f.SetUsers, mysqlStats: f.Stats,
		evictIdle: evictIdleFunc(loads, t.EvictIdle), close: closeFunc(loads, t.Close),
	})
	return nil
}

// evictIdleFunc returns a function that closes an idle connection, with evict or one of loads. Both
// may be nil.
func evictIdleFunc(loads *upstream.Transport, evict func() bool) func() bool {
	return func() bool { return evict != nil && evict() || loads != nil && loads.EvictIdle() }
}

// closeFunc returns a function that calls closeTransport and closes loads. Both may be nil.
func closeFunc(loads *upstream.Transport, closeTransport func()) func() {
	return func() {
		if closeTransport != nil {
			closeTransport()
		}
		if loads != nil {
			loads.Close()
		}
	}
}

// EvictIdle closes one idle connection to a server and reports whether there was one.
func (s *Services) EvictIdle() bool {
	return slices.ContainsFunc(s.services, func(v *service) bool { return v.evictIdle() })
}

// Listen opens the listeners of all services, or none of them. An error names the service.
func (s *Services) Listen() error {
	for _, v := range s.services {
		ln, err := net.Listen("tcp", v.listen)
		if err != nil {
			for _, o := range s.services {
				if o.ln != nil {
					o.ln.Close()
					o.ln = nil
				}
			}
			return fmt.Errorf("%s %s: %w", v.kind, v.name, err)
		}
		v.ln = ln
	}
	for _, v := range s.services {
		// Trials, CI and the tests of the command parse this line.
		s.log.Info("service", "kind", v.kind, "name", v.name, "at", v.ln.Addr().String(), "pool", v.poolName)
	}
	return nil
}

// Addr returns the address at which a service listens, or "" before Listen.
func (s *Services) Addr(name string) string {
	for _, v := range s.services {
		if v.name == name && v.ln != nil {
			return v.ln.Addr().String()
		}
	}
	return ""
}

// Serve serves until all services are shut down or closed. Listen must have been called.
func (s *Services) Serve() error {
	var wg sync.WaitGroup
	errs := make([]error, len(s.services))
	for i, v := range s.services {
		wg.Go(func() {
			if err := v.frontend.Serve(v.ln); err != nil && !errors.Is(err, net.ErrClosed) {
				errs[i] = fmt.Errorf("%s %s: %w", v.kind, v.name, err)
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Shutdown shuts all services down gracefully and concurrently, and returns once all have ended.
// Connections that are still open when ctx ends are closed.
func (s *Services) Shutdown(ctx context.Context) {
	var wg sync.WaitGroup
	for _, v := range s.services {
		wg.Go(func() { v.frontend.Shutdown(ctx) })
	}
	wg.Wait()
}

// Close ends all services and pools at once.
func (s *Services) Close() {
	s.closeOnce.Do(func() {
		for _, v := range s.services {
			v.frontend.Close()
			if v.pool != nil {
				v.pool.Close()
			}
			v.close()
		}
		if s.httpPools != nil {
			s.httpPools.close()
		}
	})
}

// Check returns an error if Reload could not apply cfg and list.
func (s *Services) Check(cfg config.Services, list []routes.Route) error {
	if s.httpPools != nil {
		if err := router.Check(list, cfg.Pools); err != nil {
			return err
		}
	}
	for _, v := range s.services {
		if p := cfg.Pool(v.poolName); p.Name != "" {
			if err := p.Check(); err != nil {
				return fmt.Errorf("[[pools]] %s: %w", p.Name, err)
			}
		}
	}
	return nil
}

// Reload applies the routes, the lists, classes and timeouts of pools, and the MySQL users. restart
// reports that cfg has other changes, which take effect only at the next start. cfg must have
// passed Check.
func (s *Services) Reload(cfg config.Services, list []routes.Route) (restart bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpPools != nil {
		if err := s.httpPools.reload(cfg, list); err != nil {
			return false, err
		}
	}
	for _, v := range s.services {
		if v.pool == nil {
			continue
		}
		previous, p := s.cfg.Pool(v.poolName), cfg.Pool(v.poolName)
		if p.Name == "" || p.HasStaticList() != previous.HasStaticList() {
			restart = true
			continue
		}
		if reflect.DeepEqual(p, previous) {
			continue
		}
		if err := v.pool.Reload(p); err != nil {
			return restart, fmt.Errorf("[[pools]] %s: %w", p.Name, err)
		}
		restart = restart || p.LoadPort != previous.LoadPort || p.Dial != previous.Dial || p.Idle != previous.Idle
	}
	for _, c := range cfg.MySQL {
		for _, v := range s.services {
			if v.name == c.Name && v.setUsers != nil {
				v.setUsers(c.Users)
			}
		}
	}
	restart = restart || !reflect.DeepEqual(restartOnly(cfg), restartOnly(s.cfg))
	s.cfg = cfg
	return restart, nil
}

// restartOnly returns the part of c that a reload does not apply.
func restartOnly(c config.Services) config.Services {
	c.Pools, c.MySQL = nil, slices.Clone(c.MySQL)
	for i := range c.MySQL {
		c.MySQL[i].Users, c.MySQL[i].TLS, c.MySQL[i].ServerTLS = nil, nil, nil
	}
	return c
}

// Stats holds the telemetry of a service, or of a pool of HTTP servers.
type Stats struct {
	Kind, Name string
	Counts     map[string]engine.Counts // by class
	Pool       engine.Snapshot
	Stream     *stream.Stats // nil unless it is a stream service
	HTTP       *HTTPStats    // nil unless it is an HTTP service or a pool of HTTP servers
	MySQL      *proxy.Stats  // nil unless it is a MySQL service
}

// Stats returns the telemetry of all services and of all pools that routes lead to.
func (s *Services) Stats() []Stats {
	var all []Stats
	if s.httpPools != nil {
		all = s.httpPools.stats()
	}
	for _, v := range s.services {
		if v.httpServer != nil {
			all = append(all, Stats{Kind: v.kind, Name: v.name, HTTP: &HTTPStats{Clients: v.httpServer.Stats(), Routes: s.httpPools.router.Stats(), Retired: s.RetirementStats()}})
			continue
		}
		f := Stats{Kind: v.kind, Name: v.name, Counts: v.pool.Counts(), Pool: v.pool.Snapshot()}
		if v.streamStats != nil {
			stats := v.streamStats()
			f.Stream = &stats
		}
		if v.mysqlStats != nil {
			stats := v.mysqlStats()
			f.MySQL = &stats
		}
		all = append(all, f)
	}
	return all
}

// PendingRequest is a request that waits in a pool.
type PendingRequest struct {
	Pool string
	engine.PendingRequest
}

// PendingRequests returns the requests that have waited for longer than d in any pool, including
// the pools that are being retired.
func (s *Services) PendingRequests(d time.Duration) (all []PendingRequest) {
	if s.httpPools != nil {
		all = s.httpPools.pendingRequests(d)
	}
	for _, v := range s.services {
		if v.pool == nil {
			continue
		}
		for _, r := range v.pool.PendingRequests(d) {
			all = append(all, PendingRequest{v.poolName, r})
		}
	}
	return all
}

// RetirementStats returns the counts of pools that have been retired so far.
func (s *Services) RetirementStats() RetirementStats {
	if s.httpPools == nil {
		return RetirementStats{}
	}
	s.httpPools.mu.Lock()
	defer s.httpPools.mu.Unlock()
	return s.httpPools.retired
}

package services

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quillfront/internal/config"
	"quillfront/internal/engine"
	"quillfront/internal/httpfront"
	"quillfront/internal/pool"
	"quillfront/internal/router"
	"quillfront/internal/settings"
	"quillfront/internal/shutdown"
	"quillfront/internal/sockets"
	"quillfront/internal/upstream"
	"quillfront/policy"
	"quillfront/routes"
)

const (
	// acceptGracePeriod is how long a listener that shuts down still accepts queued connections.
	acceptGracePeriod = 100 * time.Millisecond
	// retirePollInterval is how often a retiring pool is checked for its last requests.
	retirePollInterval = 20 * time.Millisecond
	// retireGracePeriod is how long a retiring pool may still send and retry the requests that it
	// accepted before. A server must get nothing later than 2 s after it was removed. Requests that
	// are not at a server by the end of the period are answered at once.
	retireGracePeriod = 1500 * time.Millisecond
)

// httpPoolSet holds the pools that routes lead to, and the router that selects among them.
type httpPoolSet struct {
	log       *slog.Logger
	budget    *sockets.Budget
	connQuota *sockets.Quota // descriptors for connections to servers
	bodyQuota *sockets.Quota // bytes for request bodies
	router    *router.Router
	ctx       context.Context // canceled by close
	cancel    context.CancelFunc
	wg        sync.WaitGroup // goroutines that retire routes and pools

	mu       sync.Mutex
	pools    map[string]*httpPool
	retiring []*httpPool     // retired from the routes, with requests that are still open
	retired  RetirementStats // counts of pools that have ended
}

// RetirementStats counts how retired pools have ended.
type RetirementStats struct {
	Pools uint64 // pools that have ended
	Cut   uint64 // requests that ended without a server's response because their pool was retired
}

// httpPool is a pool of HTTP servers.
type httpPool struct {
	*pool.Pool
	name           string
	cfg            pool.Config // as applied last
	transport      *httpTransport
	connShare      *sockets.Share
	bodyShare      *sockets.Share
	route          *router.Pool
	retiringRoutes []retiringRoute
}

// retiringRoute is what remains of a router pool whose configuration was replaced: requests that
// were routed by it may still need its classes.
type retiringRoute struct {
	classes []pool.Class
	drained <-chan struct{} // closed once all of those requests have reached the engine
}

// httpTransport counts the requests that this process has in flight at each server. The count
// serves as the load of servers without a load port.
type httpTransport struct {
	*upstream.Transport
	cfg      atomic.Pointer[pool.Config]
	inFlight pool.InFlight
}

// Do implements engine.Transport.
func (t *httpTransport) Do(a *engine.Attempt, to engine.Endpoint) engine.AttemptResult {
	t.inFlight.Add(a.Server, 1)
	result := t.Transport.Do(a, to)
	t.inFlight.Add(a.Server, -1)
	if t.cfg.Load().LoadPort == 0 {
		result.Load = t.inFlight.Load(a.Server)
	}
	return result
}

// Probe implements engine.Transport.
func (t *httpTransport) Probe(ctx context.Context, to engine.Endpoint) (policy.Status, *policy.Load) {
	c := t.cfg.Load()
	if c.LoadPort == 0 {
		return policy.OK, t.inFlight.Load(to.ID)
	}
	to.Addr = c.LoadAddr(to)
	return t.Transport.Probe(ctx, to)
}

// newHTTPPoolSet opens the pools that list leads to.
func newHTTPPoolSet(cfg config.Services, list []routes.Route, memory int64, b *sockets.Budget, log *slog.Logger) (*httpPoolSet, error) {
	s := &httpPoolSet{
		log: log, budget: b, connQuota: b.ServerQuota(), bodyQuota: sockets.NewQuota(max(memory, 1<<20)), pools: map[string]*httpPool{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	var err error
	if s.router, err = router.New(nil, nil); err == nil {
		err = s.reload(cfg, list)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// routedPools returns the configurations of the pools that list leads to, with the classes that
// the routes need.
func routedPools(cfg config.Services, list []routes.Route) []pool.Config {
	names := map[string]bool{}
	for _, r := range list {
		for _, p := range r.Pools {
			names[p.Pool] = true
		}
		names[r.Fallback] = true
	}
	all := slices.DeleteFunc(slices.Clone(cfg.Pools), func(p pool.Config) bool { return !names[p.Name] })
	for i := range all {
		all[i].Classes = router.Classes(all[i], list)
	}
	return all
}

// reload applies routes and the pools that they lead to. An unchanged pool keeps its state, a pool
// with another list, classes or timeouts applies them, and a pool that no route leads to any more
// is retired. cfg and list must have been validated.
func (s *httpPoolSet) reload(cfg config.Services, list []routes.Route) error {
	opened, err := s.applyConfig(cfg, list)
	if err != nil {
		for _, p := range opened { // without the lock: see closePool
			s.closePool(p)
		}
	}
	return err
}

// applyConfig is reload without the cleanup: after an error, the caller closes the pools in opened.
func (s *httpPoolSet) applyConfig(cfg config.Services, list []routes.Route) (opened []*httpPool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]*httpPool{}
	wanted := routedPools(cfg, list)
	for _, c := range wanted {
		p := s.pools[c.Name]
		if p == nil || p.cfg.HasStaticList() != c.HasStaticList() {
			created, err := s.open(c)
			if err != nil {
				return opened, fmt.Errorf("[[pools]] %s: %w", c.Name, err)
			}
			p = created
			opened = append(opened, p)
		}
		next[c.Name] = p
	}
	for _, c := range wanted {
		p := next[c.Name]
		if reflect.DeepEqual(p.cfg, c) {
			continue
		}
		if err := p.applyConfig(c); err != nil {
			return opened, fmt.Errorf("[[pools]] %s: %w", c.Name, err)
		}
		p.transport.Reconfigure(settingsOf(c))
		p.transport.cfg.Store(&c)
		p.cfg = c
	}
	routed, replaced := map[string]*router.Pool{}, map[*httpPool]*router.Pool{}
	for name, p := range next {
		routed[name] = p.route
		if p.route == nil || !reflect.DeepEqual(p.route.Config, p.cfg) {
			routed[name] = &router.Pool{Engine: p.Engine, Config: p.cfg, BodyBudget: p.bodyShare}
			replaced[p] = p.route
		}
	}
	if err := s.router.Set(list, routed); err != nil {
		return opened, err
	}
	for p, previous := range replaced {
		p.route = routed[p.name]
		if previous != nil {
			s.retireRoute(p, previous)
		}
	}
	descriptors, bytes := map[*sockets.Share]int64{}, map[*sockets.Share]int64{}
	for name, p := range s.pools {
		// A retired pool loses its guarantees. Otherwise new and retired pools together would be
		// guaranteed the whole quota, and no pool could borrow.
		if next[name] != p {
			descriptors[p.connShare], bytes[p.bodyShare] = 0, 0
			s.retire(p)
		}
	}
	for _, c := range wanted {
		p := next[c.Name]
		descriptors[p.connShare] = positiveOr(int64(c.Descriptors), s.connQuota.Total()/2/int64(len(wanted)))
		bytes[p.bodyShare] = positiveOr(c.Memory, s.bodyQuota.Total()/2/int64(len(wanted)))
	}
	s.connQuota.SetGuarantees(descriptors)
	s.bodyQuota.SetGuarantees(bytes)
	s.pools = next
	return opened, nil
}

// applyConfig reloads p with c. Classes that c lacks are kept, up to pool.MaxClasses, for requests
// that were routed by an earlier configuration. The caller holds the lock of the httpPoolSet.
func (p *httpPool) applyConfig(c pool.Config) error {
	c.Classes = slices.Clone(c.Classes)
	for _, r := range p.retiringRoutes {
		c.Classes = addClasses(c.Classes, r.classes)
	}
	if p.route != nil && !reflect.DeepEqual(p.route.Config, c) {
		c.Classes = addClasses(c.Classes, p.route.Config.Classes)
	}
	return p.Reload(c)
}

// addClasses appends the classes of more whose names are not in classes, up to pool.MaxClasses.
func addClasses(classes, more []pool.Class) []pool.Class {
	for _, class := range more {
		if len(classes) < pool.MaxClasses && !slices.ContainsFunc(classes, func(c pool.Class) bool { return c.Name == class.Name }) {
			classes = append(classes, class)
		}
	}
	return classes
}

// retireRoute stops routing by previous, an earlier configuration of p, and drops its classes once
// all requests that were routed by it have reached the engine. The caller holds the lock.
func (s *httpPoolSet) retireRoute(p *httpPool, previous *router.Pool) {
	r := retiringRoute{previous.Config.Classes, previous.Retire()}
	p.retiringRoutes = append(p.retiringRoutes, r)
	s.wg.Go(func() {
		if !wait(s, r.drained) {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		p.retiringRoutes = slices.DeleteFunc(p.retiringRoutes, func(o retiringRoute) bool { return o.drained == r.drained })
		if s.pools[p.name] != p {
			return
		}
		if err := p.applyConfig(p.cfg); err != nil { // the pool accepted it with more classes
			s.log.Error("cannot remove retired classes from pool", "pool", p.cfg.Name, "err", err)
		}
	})
}

// isClosed reports whether c is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// wait waits for done, and reports false if s is closed first.
func wait[T any](s *httpPoolSet, done <-chan T) bool {
	select {
	case <-done:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// positiveOr returns n if it is positive, else fallback.
func positiveOr(n, fallback int64) int64 {
	if n > 0 {
		return n
	}
	return fallback
}

// settingsOf returns the settings of the transport of pool c.
func settingsOf(c pool.Config) settings.Settings {
	return settings.Settings{Config: policy.Config{DialTimeout: c.DialTimeout(), ConnIdleTimeout: c.IdleTimeout()}, LoadFields: c.ReportFields()}
}

// open creates the pool of c with its transport and its shares of the quotas.
func (s *httpPoolSet) open(c pool.Config) (*httpPool, error) {
	log := s.log.With("pool", c.Name)
	p := &httpPool{name: c.Name, cfg: c, connShare: s.connQuota.NewShare(), bodyShare: s.bodyQuota.NewShare()}
	lender := s.budget.ForPool(p.connShare, s.evictIdleFor(p))
	p.transport = &httpTransport{Transport: upstream.New(settingsOf(c), lender, log)}
	p.transport.SetMaxHeaderBytes(config.MaxResponseHead)
	p.transport.cfg.Store(&c)
	var err error
	if p.Pool, err = c.Open(p.transport, log); err != nil {
		p.transport.Close()
		p.connShare.Close()
		p.bodyShare.Close()
		return nil, err
	}
	return p, nil
}

// evictIdleFor returns a function that closes an idle connection of a pool other than p.
func (s *httpPoolSet) evictIdleFor(p *httpPool) func() bool {
	return func() bool { return s.evictIdle(p) }
}

// evictIdle closes one idle connection to a server and reports whether there was one. If requester
// is set, the connection belongs to another pool that uses more than its guarantee: a descriptor
// that a pool frees within its guarantee is available to that pool only.
func (s *httpPoolSet) evictIdle(requester *httpPool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.allLocked() {
		if used, guaranteed := p.connShare.Used(); requester != nil && (p == requester || used <= guaranteed) {
			continue
		}
		if p.transport.EvictIdle() {
			return true
		}
	}
	return false
}

// retire closes a pool that no route leads to any more once its last request has ended. Its
// servers get only requests that it accepted before, for at most retireGracePeriod, and open
// requests end in this pool. The caller holds the lock.
func (s *httpPoolSet) retire(p *httpPool) {
	s.log.Info("retiring pool", "pool", p.cfg.Name, "held", p.RetainedRequests())
	s.retiring = append(s.retiring, p)
	drained := []<-chan struct{}{p.route.Retire()}
	for _, r := range p.retiringRoutes {
		drained = append(drained, r.drained)
	}
	s.wg.Go(func() {
		deadline := time.Now().Add(retireGracePeriod)
		tick := time.NewTicker(retirePollInterval)
		defer tick.Stop()
		waitUntil := func(done func() bool) {
			for !done() && wait(s, tick.C) {
			}
		}
		waitUntil(func() bool {
			drained = slices.DeleteFunc(drained, isClosed)
			return len(drained) == 0 && p.OpenRequests() == 0 || time.Now().After(deadline)
		})
		p.Retire()
		p.transport.Close() // closes the idle connections, which have no further use
		for _, d := range drained {
			wait(s, d)
		}
		waitUntil(func() bool { return p.RetainedRequests() == 0 })
		s.closePool(p)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.retiring = slices.DeleteFunc(s.retiring, func(o *httpPool) bool { return o == p })
		s.retired.Pools++
		s.retired.Cut += p.UnservedSinceRetire()
	})
}

// closePool closes a pool at once. It waits for attempts, which may be waiting for evictIdle, so
// the lock must not be held.
func (s *httpPoolSet) closePool(p *httpPool) {
	p.Close()
	p.transport.Close()
	p.connShare.Close()
	p.bodyShare.Close()
}

// close closes all pools.
func (s *httpPoolSet) close() {
	s.cancel()
	s.wg.Wait()
	s.mu.Lock()
	pools := s.pools
	s.pools = nil
	s.mu.Unlock()
	for _, p := range pools {
		s.closePool(p)
	}
}

// HTTPPools holds the pools that routes lead to, for a program that uses the library and has no
// HTTP services.
type HTTPPools struct{ pools *httpPoolSet }

// OpenHTTPPools opens the pools that list leads to. cfg and list must have been validated. memory
// is the limit in bytes for all buffered request bodies.
func OpenHTTPPools(cfg config.Services, list []routes.Route, memory int64, b *sockets.Budget, log *slog.Logger) (*HTTPPools, error) {
	pools, err := newHTTPPoolSet(cfg, list, memory, b, log)
	if err != nil {
		return nil, err
	}
	b.OnShortage(func() bool { return pools.evictIdle(nil) }, nil)
	return &HTTPPools{pools}, nil
}

// Router returns the router that selects the pool of a request.
func (h *HTTPPools) Router() *router.Router { return h.pools.router }

// Engines returns the engines of all pools.
func (h *HTTPPools) Engines() []*engine.Engine { return h.pools.engines() }

// Set applies other routes and pools, which must have been validated.
func (h *HTTPPools) Set(cfg config.Services, list []routes.Route) error {
	return h.pools.reload(cfg, list)
}

// Drain rejects new requests and waits until all accepted requests have ended or ctx ends.
func (h *HTTPPools) Drain(ctx context.Context) error {
	for _, p := range h.pools.all() {
		if err := p.Drain(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close closes all pools at once.
func (h *HTTPPools) Close() { h.pools.close() }

// stats returns the telemetry of all pools that routes lead to.
func (s *httpPoolSet) stats() (all []Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.pools {
		f := Stats{Kind: "pool", Name: name, Counts: p.Counts(), Pool: p.Snapshot(), HTTP: &HTTPStats{}}
		f.HTTP.Descriptors, _ = p.connShare.Used()
		f.HTTP.BodyBytes, _ = p.bodyShare.Used()
		f.HTTP.DescriptorWaits = p.connShare.Waits()
		all = append(all, f)
	}
	return all
}

// HTTPStats holds the telemetry of a pool of HTTP servers or of an HTTP service.
type HTTPStats struct {
	Descriptors, BodyBytes int64                   // of a pool: what it uses of its shares
	DescriptorWaits        sockets.Waits           // of a pool: waits for a descriptor
	Clients                httpfront.Stats         // of a service
	Retired                RetirementStats         // of all retired pools; the same for each service
	Routes                 map[string]router.Stats // by route; the same for each service
}

// httpFrontend is the frontend of an HTTP service.
type httpFrontend struct {
	*httpfront.Server
	patience time.Duration

	mu     sync.Mutex
	ln     *sockets.DrainableListener // nil before Serve
	closed bool
}

// Serve implements frontend.
func (f *httpFrontend) Serve(ln net.Listener) error {
	drainable := sockets.NewDrainableListener(ln.(*net.TCPListener))
	f.mu.Lock()
	f.ln = drainable
	closed := f.closed
	f.mu.Unlock()
	if closed {
		ln.Close()
		return net.ErrClosed
	}
	return f.Server.Serve(drainable)
}

// Shutdown implements frontend. It closes idle connections and adds Connection: close to responses.
// Requests that have no response shortly before the patience is over get an error response. A
// response that is still being sent at the end of the patience is aborted in a way that its client
// can detect.
func (f *httpFrontend) Shutdown(ctx context.Context) error {
	f.Drain(shutdown.WithinContext(ctx, f.patience))
	defer context.AfterFunc(ctx, f.CloseAll)()
	f.mu.Lock()
	ln := f.ln
	f.closed = true
	f.mu.Unlock()
	if ln == nil { // Serve was not called
		f.CloseAll()
	} else { // the kernel has accepted the queued connections, so they are served
		ln.Drain(time.Now().Add(acceptGracePeriod))
	}
	if !f.Wait() {
		return cmp.Or(ctx.Err(), errCutOff)
	}
	return nil
}

// errCutOff is returned if connections with open requests were closed at the end of the patience.
var errCutOff = errors.New("connections with open requests were closed at the end of the shutdown patience")

// Close implements frontend.
func (f *httpFrontend) Close() {
	f.mu.Lock()
	if f.closed = true; f.ln != nil {
		f.ln.Close()
	}
	f.mu.Unlock()
	f.Server.Close()
}

// addHTTP adds the HTTP service c.
func (s *Services) addHTTP(c config.HTTP) {
	proxyConfig := c.Proxy
	proxyConfig.Router = s.httpPools.router
	f := &httpFrontend{Server: httpfront.NewProxy(proxyConfig, s.budget, s.log.With("http", c.Name)), patience: c.ShutdownTimeout}
	s.services = append(s.services, &service{
		kind: "http", name: c.Name, listen: c.Listen, frontend: f, evictIdle: func() bool { return s.httpPools.evictIdle(nil) }, close: func() {},
		httpServer: f.Server,
	})
}

// EvictClient closes the HTTP client connection whose loss matters least, and reports whether there
// was one.
func (s *Services) EvictClient() bool {
	return slices.ContainsFunc(s.services, func(v *service) bool { return v.httpServer != nil && v.httpServer.Evict() })
}

// SetEvacuated sets whether all HTTP services report that they are not ready and close their
// client connections.
func (s *Services) SetEvacuated(evacuated bool) {
	for _, v := range s.services {
		switch {
		case v.httpServer == nil:
		case evacuated:
			v.httpServer.Evacuate()
		default:
			v.httpServer.Rejoin()
		}
	}
}

// Engines returns the engines of all pools, including those that are being retired.
func (s *Services) Engines() (all []*engine.Engine) {
	for _, v := range s.services {
		if v.pool != nil {
			all = append(all, v.pool.Engine)
		}
	}
	if s.httpPools != nil {
		all = append(all, s.httpPools.engines()...)
	}
	return all
}

// engines returns the engines of all pools. Retiring pools are included, as they may still send
// requests that they accepted before.
func (s *httpPoolSet) engines() (all []*engine.Engine) {
	for _, p := range s.all() {
		all = append(all, p.Engine)
	}
	return all
}

// allLocked returns all pools, including those that are being retired. The caller holds the lock.
func (s *httpPoolSet) allLocked() []*httpPool {
	return slices.Concat(slices.Collect(maps.Values(s.pools)), s.retiring)
}

// all is allLocked for a caller that does not hold the lock.
func (s *httpPoolSet) all() []*httpPool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allLocked()
}

// pendingRequests returns the requests of all pools that have waited for longer than d.
func (s *httpPoolSet) pendingRequests(d time.Duration) (all []PendingRequest) {
	for _, p := range s.all() {
		for _, r := range p.PendingRequests(d) {
			all = append(all, PendingRequest{p.name, r})
		}
	}
	return all
}

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
	// acceptGracePeriod is how long connections may go on coming once a listener is to end.
	acceptGracePeriod = 100 * time.Millisecond
	// retirePollInterval is how often a pool that has been taken out is looked at for its last requests.
	retirePollInterval = 20 * time.Millisecond
	// retireGracePeriod is how long what a pool had taken when it was taken out may still be sent and tried again there: nothing new may come to a
	// server later than 2 s after it was to get none. What is not out at a server by then is answered at once.
	retireGracePeriod = 1500 * time.Millisecond
)

// httpPoolSet is the pools that serve HTTP by routes, and the router between them and their fronts.
type httpPoolSet struct {
	log       *slog.Logger
	budget    *sockets.Budget
	connQuota *sockets.Quota // descriptors for servers
	bodyQuota *sockets.Quota // memory
	router    *router.Router
	ctx       context.Context // ends with close
	cancel    context.CancelFunc
	wg        sync.WaitGroup // pools that end

	mu       sync.Mutex
	pools    map[string]*httpPool
	retiring []*httpPool     // taken out, with requests that are still to end
	retired  RetirementStats // of those that have ended
}

// RetirementStats counts how pools that were taken out have ended.
type RetirementStats struct {
	Pools uint64 // that have ended
	Cut   uint64 // requests that were answered without a server's answer as their pool was over
}

// httpPool is a pool of HTTP servers.
type httpPool struct {
	*pool.Pool
	name           string
	cfg            pool.Config // as it was taken over last
	transport      *httpTransport
	connShare      *sockets.Share
	bodyShare      *sockets.Share
	route          *router.Pool
	retiringRoutes []retiringRoute // under which requests may still be on their way to the engine
}

// retiringRoute is a description of a pool that was replaced by another, with what requests go by that were routed before.
type retiringRoute struct {
	classes []pool.Class
	drained <-chan struct{} // closed once all those have come to the engine
}

// httpTransport counts what each server has of this process, which is its load where it does not tell it.
type httpTransport struct {
	*upstream.Transport
	cfg      atomic.Pointer[pool.Config]
	inFlight pool.InFlight
}

// Do is a method of engine.Transport.
func (t *httpTransport) Do(a *engine.Attempt, to engine.Endpoint) engine.AttemptResult {
	t.inFlight.Add(a.Server, 1)
	end := t.Transport.Do(a, to)
	t.inFlight.Add(a.Server, -1)
	if t.cfg.Load().LoadPort == 0 {
		end.Load = t.inFlight.Load(a.Server)
	}
	return end
}

// Probe is a method of engine.Transport.
func (t *httpTransport) Probe(ctx context.Context, to engine.Endpoint) (policy.Status, *policy.Load) {
	c := t.cfg.Load()
	if c.LoadPort == 0 {
		return policy.OK, t.inFlight.Load(to.ID)
	}
	to.Addr = c.LoadAddr(to)
	return t.Transport.Probe(ctx, to)
}

// newHTTPPoolSet returns the pools that the routes lead to; none where there is no [[http]].
func newHTTPPoolSet(cfg config.Services, list []routes.Route, memory int64, b *sockets.Budget, log *slog.Logger) (*httpPoolSet, error) {
	w := &httpPoolSet{
		log: log, budget: b, connQuota: b.ServerQuota(), bodyQuota: sockets.NewQuota(max(memory, 1<<20)), pools: map[string]*httpPool{},
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	var err error
	if w.router, err = router.New(nil, nil); err == nil {
		err = w.reload(cfg, list)
	}
	if err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// routedPools returns the pools that routes lead to.
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

// reload takes over routes and the pools that they lead to: one that is the same goes on with all that it has, one whose list, classes or times
// have changed takes them over, and one that is gone ends once its last request has. cfg and list have been checked.
func (w *httpPoolSet) reload(cfg config.Services, list []routes.Route) error {
	fresh, err := w.applyConfig(cfg, list)
	if err != nil {
		for _, p := range fresh { // without the lock: see end
			w.closePool(p)
		}
	}
	return err
}

// applyConfig is set. With an error the pools that it has opened are the caller's to end.
func (w *httpPoolSet) applyConfig(cfg config.Services, list []routes.Route) (fresh []*httpPool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := map[string]*httpPool{}
	wanted := routedPools(cfg, list)
	for _, c := range wanted {
		p := w.pools[c.Name]
		if p == nil || p.cfg.HasStaticList() != c.HasStaticList() {
			opened, err := w.open(c)
			if err != nil {
				return fresh, fmt.Errorf("[[pools]] %s: %w", c.Name, err)
			}
			p = opened
			fresh = append(fresh, p)
		}
		next[c.Name] = p
	}
	for _, c := range wanted {
		p := next[c.Name]
		if reflect.DeepEqual(p.cfg, c) {
			continue
		}
		if err := p.applyConfig(c); err != nil {
			return fresh, fmt.Errorf("[[pools]] %s: %w", c.Name, err)
		}
		p.transport.Reconfigure(settingsOf(c))
		p.transport.cfg.Store(&c)
		p.cfg = c
	}
	lead, replaced := map[string]*router.Pool{}, map[*httpPool]*router.Pool{}
	for name, p := range next {
		lead[name] = p.route
		if p.route == nil || !reflect.DeepEqual(p.route.Config, p.cfg) {
			lead[name] = &router.Pool{Engine: p.Engine, Config: p.cfg, BodyBudget: p.bodyShare}
			replaced[p] = p.route
		}
	}
	if err := w.router.Set(list, lead); err != nil {
		return fresh, err
	}
	for p, before := range replaced {
		p.route = lead[p.name]
		if before != nil {
			w.retireRoute(p, before)
		}
	}
	places, bytes := map[*sockets.Share]int64{}, map[*sockets.Share]int64{}
	for name, p := range w.pools {
		if next[name] != p { // else those that come and those that go would be promised all there is, and nobody could borrow
			places[p.connShare], bytes[p.bodyShare] = 0, 0
			w.retire(p)
		}
	}
	for _, c := range wanted {
		p := next[c.Name]
		places[p.connShare] = positiveOr(int64(c.Descriptors), w.connQuota.Total()/2/int64(len(wanted)))
		bytes[p.bodyShare] = positiveOr(c.Memory, w.bodyQuota.Total()/2/int64(len(wanted)))
	}
	w.connQuota.SetGuarantees(places)
	w.bodyQuota.SetGuarantees(bytes)
	w.pools = next
	return fresh, nil
}

// applyConfig makes c what p is from now on. Classes that c lacks stay for requests that are on their way by a former description, as far as there
// is room for them. Called with the lock of its web held.
func (p *httpPool) applyConfig(c pool.Config) error {
	c.Classes = slices.Clone(c.Classes)
	for _, f := range p.retiringRoutes {
		c.Classes = addClasses(c.Classes, f.classes)
	}
	if p.route != nil && !reflect.DeepEqual(p.route.Config, c) {
		c.Classes = addClasses(c.Classes, p.route.Config.Classes)
	}
	return p.Reload(c)
}

// addClasses adds those of more whose names are not there, up to as many as a pool may have.
func addClasses(to, more []pool.Class) []pool.Class {
	for _, k := range more {
		if len(to) < pool.MaxClasses && !slices.ContainsFunc(to, func(o pool.Class) bool { return o.Name == k.Name }) {
			to = append(to, k)
		}
	}
	return to
}

// retireRoute lets nothing new in by a former description of p, and forgets its classes once all that was routed by it has come to the engine.
// Called with the lock held.
func (w *httpPoolSet) retireRoute(p *httpPool, before *router.Pool) {
	f := retiringRoute{before.Config.Classes, before.Retire()}
	p.retiringRoutes = append(p.retiringRoutes, f)
	w.wg.Go(func() {
		if !wait(w, f.drained) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		p.retiringRoutes = slices.DeleteFunc(p.retiringRoutes, func(o retiringRoute) bool { return o.drained == f.drained })
		if w.pools[p.name] != p {
			return
		}
		if err := p.applyConfig(p.cfg); err != nil { // it was taken over before, with more
			w.log.Error("pool", "pool", p.cfg.Name, "err", err)
		}
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// wait waits for done, and reports false if everything ends before.
func wait[T any](w *httpPoolSet, done <-chan T) bool {
	select {
	case <-done:
		return true
	case <-w.ctx.Done():
		return false
	}
}

func positiveOr(n, otherwise int64) int64 {
	if n > 0 {
		return n
	}
	return otherwise
}

func settingsOf(c pool.Config) settings.Settings {
	return settings.Settings{Config: policy.Config{DialTimeout: c.DialTimeout(), ConnIdleTimeout: c.IdleTimeout()}, LoadFields: c.ReportFields()}
}

func (w *httpPoolSet) open(c pool.Config) (*httpPool, error) {
	log := w.log.With("pool", c.Name)
	p := &httpPool{name: c.Name, cfg: c, connShare: w.connQuota.NewShare(), bodyShare: w.bodyQuota.NewShare()}
	lender := w.budget.ForPool(p.connShare, w.evictIdleFor(p))
	p.transport = &httpTransport{Transport: upstream.New(settingsOf(c), lender, log)}
	p.transport.SetMaxHeaderBytes(config.ServerHead)
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

// evictIdleFor returns what closes an idle connection of another pool than p.
func (w *httpPoolSet) evictIdleFor(p *httpPool) func() bool {
	return func() bool { return w.evictIdle(p) }
}

// evictIdle closes one idle connection to a server, and reports whether there was one. Where it is for a pool, it is another one's that has more
// than it was promised: what that gives back within its promise is nobody else's to take.
func (w *httpPoolSet) evictIdle(but *httpPool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.allLocked() {
		if used, promised := p.connShare.Used(); but != nil && (p == but || used <= promised) {
			continue
		}
		if p.transport.EvictIdle() {
			return true
		}
	}
	return false
}

// retire ends a pool that no route leads to any more, once its last request has ended: its servers get nothing but what it had taken, for
// graceTime at most, and open requests end where they began. Called with the lock held.
func (w *httpPoolSet) retire(p *httpPool) {
	w.log.Info("pool ends", "pool", p.cfg.Name, "held", p.RetainedRequests())
	w.retiring = append(w.retiring, p)
	through := []<-chan struct{}{p.route.Retire()}
	for _, f := range p.retiringRoutes {
		through = append(through, f.drained)
	}
	w.wg.Go(func() {
		over := time.Now().Add(retireGracePeriod)
		tick := time.NewTicker(retirePollInterval)
		defer tick.Stop()
		until := func(done func() bool) {
			for !done() && wait(w, tick.C) {
			}
		}
		until(func() bool {
			through = slices.DeleteFunc(through, isClosed)
			return len(through) == 0 && p.OpenRequests() == 0 || time.Now().After(over)
		})
		p.Retire()
		p.transport.Close() // what is idle is of no use any more
		for _, t := range through {
			wait(w, t)
		}
		until(func() bool { return p.RetainedRequests() == 0 })
		w.closePool(p)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.retiring = slices.DeleteFunc(w.retiring, func(o *httpPool) bool { return o == p })
		w.retired.Pools++
		w.retired.Cut += p.UnservedSinceRetire()
	})
}

// closePool ends a pool at once. It waits for attempts, which may be waiting for makeRoom: the lock must not be held.
func (w *httpPoolSet) closePool(p *httpPool) {
	p.Close()
	p.transport.Close()
	p.connShare.Close()
	p.bodyShare.Close()
}

// close ends all pools.
func (w *httpPoolSet) close() {
	w.cancel()
	w.wg.Wait()
	w.mu.Lock()
	pools := w.pools
	w.pools = nil
	w.mu.Unlock()
	for _, p := range pools {
		w.closePool(p)
	}
}

// HTTPPools is the pools that routes lead to without an address of their own, for a library.
type HTTPPools struct{ pools *httpPoolSet }

// OpenHTTPPools opens the pools that list leads to, which have been checked. Bodies of requests may hold memory bytes in all.
func OpenHTTPPools(cfg config.Services, list []routes.Route, memory int64, b *sockets.Budget, log *slog.Logger) (*HTTPPools, error) {
	w, err := newHTTPPoolSet(cfg, list, memory, b, log)
	if err != nil {
		return nil, err
	}
	b.OnShortage(func() bool { return w.evictIdle(nil) }, nil)
	return &HTTPPools{w}, nil
}

// Router says which pool takes a request.
func (w *HTTPPools) Router() *router.Router { return w.pools.router }

// Engines returns the engines of all pools.
func (w *HTTPPools) Engines() []*engine.Engine { return w.pools.engines() }

// Set takes over other routes and pools, which have been checked.
func (w *HTTPPools) Set(cfg config.Services, list []routes.Route) error {
	return w.pools.reload(cfg, list)
}

// Drain takes no more requests, and waits until all that were taken have their answers or ctx ends.
func (w *HTTPPools) Drain(ctx context.Context) error {
	for _, p := range w.pools.all() {
		if err := p.Drain(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all pools at once.
func (w *HTTPPools) Close() { w.pools.close() }

// stats returns those of all pools and routes.
func (w *httpPoolSet) stats() (all []Stats) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, p := range w.pools {
		f := Stats{Kind: "pool", Name: name, Counts: p.Counts(), Pool: p.Snapshot(), HTTP: &HTTPStats{}}
		f.HTTP.Descriptors, _ = p.connShare.Used()
		f.HTTP.BodyBytes, _ = p.bodyShare.Used()
		f.HTTP.DescriptorWaits = p.connShare.Waits()
		all = append(all, f)
	}
	return all
}

// HTTPStats are what a pool of HTTP servers holds, or what comes in at an address of HTTP.
type HTTPStats struct {
	Descriptors, BodyBytes int64                   // of a pool, taken of its share
	DescriptorWaits        sockets.Waits           // for descriptors of its share
	Clients                httpfront.Stats         // of an address
	Retired                RetirementStats         // of pools that were taken out; the same at each address
	Routes                 map[string]router.Stats // likewise; the same at each
}

// httpFrontend is an address at which HTTP is served.
type httpFrontend struct {
	*httpfront.Server
	patience time.Duration

	mu     sync.Mutex
	ln     *sockets.DrainableListener // nil: it has not begun
	closed bool
}

// Serve is a method of front.
func (f *httpFrontend) Serve(ln net.Listener) error {
	b := sockets.NewDrainableListener(ln.(*net.TCPListener))
	f.mu.Lock()
	f.ln = b
	ended := f.closed
	f.mu.Unlock()
	if ended {
		ln.Close()
		return net.ErrClosed
	}
	return f.Server.Serve(b)
}

// Shutdown is a method of front: connections that are quiet are closed, answers say that theirs ends, and what is not
// answered shortly before the patience is over is given up, with an answer that says so. An answer that is still coming
// then is cut off in a way that its client can tell.
func (f *httpFrontend) Shutdown(ctx context.Context) error {
	f.Drain(shutdown.WithinContext(ctx, f.patience))
	defer context.AfterFunc(ctx, f.CloseAll)()
	f.mu.Lock()
	ln := f.ln
	f.closed = true
	f.mu.Unlock()
	if ln == nil { // it has not begun
		f.CloseAll()
	} else { // what waits there has been accepted by the machine: it is served
		ln.Drain(time.Now().Add(acceptGracePeriod))
	}
	if !f.Wait() {
		return cmp.Or(ctx.Err(), errCutOff)
	}
	return nil
}

// errCutOff tells that connections with requests or answers on them were closed at the end of the patience.
var errCutOff = errors.New("not all had ended as the patience was over")

// Close is a method of front.
func (f *httpFrontend) Close() {
	f.mu.Lock()
	if f.closed = true; f.ln != nil {
		f.ln.Close()
	}
	f.mu.Unlock()
	f.Server.Close()
}

func (s *Services) addHTTP(c config.HTTP) {
	whole := c.Whole
	whole.Router = s.httpPools.router
	f := &httpFrontend{Server: httpfront.NewProxy(whole, s.budget, s.log.With("http", c.Name)), patience: c.Patience}
	s.services = append(s.services, &service{
		kind: "http", name: c.Name, listen: c.Listen, frontend: f, evictIdle: func() bool { return s.httpPools.evictIdle(nil) }, close: func() {},
		httpServer: f.Server,
	})
}

// EvictClient closes the connection of a client of HTTP that is missed least, and reports whether there was one.
func (s *Services) EvictClient() bool {
	return slices.ContainsFunc(s.services, func(v *service) bool { return v.httpServer != nil && v.httpServer.Evict() })
}

// SetEvacuated has all addresses of HTTP say that they are not ready, and close their connections; Rejoin ends it.
func (s *Services) SetEvacuated(is bool) {
	for _, v := range s.services {
		switch {
		case v.httpServer == nil:
		case is:
			v.httpServer.Evacuate()
		default:
			v.httpServer.Rejoin()
		}
	}
}

// Engines returns the engines of all pools that are at work.
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

// engines returns those of all pools: what is taken out may still send what it had taken.
func (w *httpPoolSet) engines() (all []*engine.Engine) {
	for _, p := range w.all() {
		all = append(all, p.Engine)
	}
	return all
}

// allLocked returns all pools, those that still end among them. Called with the lock held.
func (w *httpPoolSet) allLocked() []*httpPool {
	return slices.Concat(slices.Collect(maps.Values(w.pools)), w.retiring)
}

// all is both without the lock.
func (w *httpPoolSet) all() []*httpPool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allLocked()
}

// pendingRequests returns the requests of all pools that have waited for longer than d.
func (w *httpPoolSet) pendingRequests(d time.Duration) (all []PendingRequest) {
	for _, p := range w.all() {
		for _, r := range p.PendingRequests(d) {
			all = append(all, PendingRequest{p.name, r})
		}
	}
	return all
}

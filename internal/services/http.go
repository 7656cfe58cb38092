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
	// lateConns is how long connections may go on coming once a listener is to end.
	lateConns = 100 * time.Millisecond
	// lookEvery is how often a pool that has been taken out is looked at for its last requests.
	lookEvery = 20 * time.Millisecond
	// graceTime is how long what a pool had taken when it was taken out may still be sent and tried again there: nothing new may come to a
	// server later than 2 s after it was to get none. What is not out at a server by then is answered at once.
	graceTime = 1500 * time.Millisecond
)

// web is the pools that serve HTTP by routes, and the router between them and their fronts.
type web struct {
	log    *slog.Logger
	budget *sockets.Budget
	conns  *sockets.Quota // descriptors for servers
	bodies *sockets.Quota // memory
	router *router.Router
	ctx    context.Context // ends with close
	stop   context.CancelFunc
	work   sync.WaitGroup // pools that end

	mu    sync.Mutex
	pools map[string]*webPool
	old   []*webPool      // taken out, with requests that are still to end
	ends  RetirementStats // of those that have ended
}

// RetirementStats counts how pools that were taken out have ended.
type RetirementStats struct {
	Pools uint64 // that have ended
	Cut   uint64 // requests that were answered without a server's answer as their pool was over
}

// webPool is a pool of HTTP servers.
type webPool struct {
	*pool.Pool
	name      string
	cfg       pool.Config // as it was taken over last
	transport *webTransport
	conns     *sockets.Share
	room      *sockets.Share
	route     *router.Pool
	former    []former // under which requests may still be on their way to the engine
}

// former is a description of a pool that was replaced by another, with what requests go by that were routed before.
type former struct {
	classes []pool.Class
	through <-chan struct{} // closed once all those have come to the engine
}

// webTransport counts what each server has of this process, which is its load where it does not tell it.
type webTransport struct {
	*upstream.Transport
	cfg atomic.Pointer[pool.Config]
	out pool.InFlight
}

// Do is a method of engine.Transport.
func (t *webTransport) Do(a *engine.Attempt, to engine.Endpoint) engine.AttemptResult {
	t.out.Add(a.Server, 1)
	end := t.Transport.Do(a, to)
	t.out.Add(a.Server, -1)
	if t.cfg.Load().LoadPort == 0 {
		end.Load = t.out.Load(a.Server)
	}
	return end
}

// Probe is a method of engine.Transport.
func (t *webTransport) Probe(ctx context.Context, to engine.Endpoint) (policy.Status, *policy.Load) {
	c := t.cfg.Load()
	if c.LoadPort == 0 {
		return policy.OK, t.out.Load(to.ID)
	}
	to.Addr = c.LoadAddr(to)
	return t.Transport.Probe(ctx, to)
}

// newWeb returns the pools that the routes lead to; none where there is no [[http]].
func newWeb(cfg config.Services, list []routes.Route, memory int64, b *sockets.Budget, log *slog.Logger) (*web, error) {
	w := &web{
		log: log, budget: b, conns: b.ServerQuota(), bodies: sockets.NewQuota(max(memory, 1<<20)), pools: map[string]*webPool{},
	}
	w.ctx, w.stop = context.WithCancel(context.Background())
	var err error
	if w.router, err = router.New(nil, nil); err == nil {
		err = w.set(cfg, list)
	}
	if err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// leads returns the pools that routes lead to.
func leads(cfg config.Services, list []routes.Route) []pool.Config {
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

// set takes over routes and the pools that they lead to: one that is the same goes on with all that it has, one whose list, classes or times
// have changed takes them over, and one that is gone ends once its last request has. cfg and list have been checked.
func (w *web) set(cfg config.Services, list []routes.Route) error {
	fresh, err := w.change(cfg, list)
	if err != nil {
		for _, p := range fresh { // without the lock: see end
			w.end(p)
		}
	}
	return err
}

// change is set. With an error the pools that it has opened are the caller's to end.
func (w *web) change(cfg config.Services, list []routes.Route) (fresh []*webPool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := map[string]*webPool{}
	wanted := leads(cfg, list)
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
		if err := p.takeOver(c); err != nil {
			return fresh, fmt.Errorf("[[pools]] %s: %w", c.Name, err)
		}
		p.transport.Reconfigure(settingsOf(c))
		p.transport.cfg.Store(&c)
		p.cfg = c
	}
	lead, replaced := map[string]*router.Pool{}, map[*webPool]*router.Pool{}
	for name, p := range next {
		lead[name] = p.route
		if p.route == nil || !reflect.DeepEqual(p.route.Config, p.cfg) {
			lead[name] = &router.Pool{Engine: p.Engine, Config: p.cfg, BodyBudget: p.room}
			replaced[p] = p.route
		}
	}
	if err := w.router.Set(list, lead); err != nil {
		return fresh, err
	}
	for p, before := range replaced {
		p.route = lead[p.name]
		if before != nil {
			w.replace(p, before)
		}
	}
	places, bytes := map[*sockets.Share]int64{}, map[*sockets.Share]int64{}
	for name, p := range w.pools {
		if next[name] != p { // else those that come and those that go would be promised all there is, and nobody could borrow
			places[p.conns], bytes[p.room] = 0, 0
			w.retire(p)
		}
	}
	for _, c := range wanted {
		p := next[c.Name]
		places[p.conns] = or(int64(c.Descriptors), w.conns.Total()/2/int64(len(wanted)))
		bytes[p.room] = or(c.Memory, w.bodies.Total()/2/int64(len(wanted)))
	}
	w.conns.SetGuarantees(places)
	w.bodies.SetGuarantees(bytes)
	w.pools = next
	return fresh, nil
}

// takeOver makes c what p is from now on. Classes that c lacks stay for requests that are on their way by a former description, as far as there
// is room for them. Called with the lock of its web held.
func (p *webPool) takeOver(c pool.Config) error {
	c.Classes = slices.Clone(c.Classes)
	for _, f := range p.former {
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

// replace lets nothing new in by a former description of p, and forgets its classes once all that was routed by it has come to the engine.
// Called with the lock held.
func (w *web) replace(p *webPool, before *router.Pool) {
	f := former{before.Config.Classes, before.Retire()}
	p.former = append(p.former, f)
	w.work.Go(func() {
		if !wait(w, f.through) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		p.former = slices.DeleteFunc(p.former, func(o former) bool { return o.through == f.through })
		if w.pools[p.name] != p {
			return
		}
		if err := p.takeOver(p.cfg); err != nil { // it was taken over before, with more
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
func wait[T any](w *web, done <-chan T) bool {
	select {
	case <-done:
		return true
	case <-w.ctx.Done():
		return false
	}
}

func or(n, otherwise int64) int64 {
	if n > 0 {
		return n
	}
	return otherwise
}

func settingsOf(c pool.Config) settings.Settings {
	return settings.Settings{Config: policy.Config{DialTimeout: c.DialTimeout(), ConnIdleTimeout: c.IdleTimeout()}, LoadFields: c.ReportFields()}
}

func (w *web) open(c pool.Config) (*webPool, error) {
	log := w.log.With("pool", c.Name)
	p := &webPool{name: c.Name, cfg: c, conns: w.conns.NewShare(), room: w.bodies.NewShare()}
	lender := w.budget.ForPool(p.conns, w.makeRoomFor(p))
	p.transport = &webTransport{Transport: upstream.New(settingsOf(c), lender, log)}
	p.transport.SetMaxHeaderBytes(config.MaxResponseHead)
	p.transport.cfg.Store(&c)
	var err error
	if p.Pool, err = c.Open(p.transport, log); err != nil {
		p.transport.Close()
		p.conns.Close()
		p.room.Close()
		return nil, err
	}
	return p, nil
}

// makeRoomFor returns what closes an idle connection of another pool than p.
func (w *web) makeRoomFor(p *webPool) func() bool {
	return func() bool { return w.makeRoom(p) }
}

// makeRoom closes one idle connection to a server, and reports whether there was one. Where it is for a pool, it is another one's that has more
// than it was promised: what that gives back within its promise is nobody else's to take.
func (w *web) makeRoom(but *webPool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.both() {
		if used, promised := p.conns.Used(); but != nil && (p == but || used <= promised) {
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
func (w *web) retire(p *webPool) {
	w.log.Info("pool ends", "pool", p.cfg.Name, "held", p.RetainedRequests())
	w.old = append(w.old, p)
	through := []<-chan struct{}{p.route.Retire()}
	for _, f := range p.former {
		through = append(through, f.through)
	}
	w.work.Go(func() {
		over := time.Now().Add(graceTime)
		tick := time.NewTicker(lookEvery)
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
		w.end(p)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.old = slices.DeleteFunc(w.old, func(o *webPool) bool { return o == p })
		w.ends.Pools++
		w.ends.Cut += p.UnservedSinceRetire()
	})
}

// end ends a pool at once. It waits for attempts, which may be waiting for makeRoom: the lock must not be held.
func (w *web) end(p *webPool) {
	p.Close()
	p.transport.Close()
	p.conns.Close()
	p.room.Close()
}

// close ends all pools.
func (w *web) close() {
	w.stop()
	w.work.Wait()
	w.mu.Lock()
	pools := w.pools
	w.pools = nil
	w.mu.Unlock()
	for _, p := range pools {
		w.end(p)
	}
}

// HTTPPools is the pools that routes lead to without an address of their own, for a library.
type HTTPPools struct{ web *web }

// OpenHTTPPools opens the pools that list leads to, which have been checked. Bodies of requests may hold memory bytes in all.
func OpenHTTPPools(cfg config.Services, list []routes.Route, memory int64, b *sockets.Budget, log *slog.Logger) (*HTTPPools, error) {
	w, err := newWeb(cfg, list, memory, b, log)
	if err != nil {
		return nil, err
	}
	b.OnShortage(func() bool { return w.makeRoom(nil) }, nil)
	return &HTTPPools{w}, nil
}

// Router says which pool takes a request.
func (w *HTTPPools) Router() *router.Router { return w.web.router }

// Engines returns the engines of all pools.
func (w *HTTPPools) Engines() []*engine.Engine { return w.web.engines() }

// Set takes over other routes and pools, which have been checked.
func (w *HTTPPools) Set(cfg config.Services, list []routes.Route) error { return w.web.set(cfg, list) }

// Drain takes no more requests, and waits until all that were taken have their answers or ctx ends.
func (w *HTTPPools) Drain(ctx context.Context) error {
	for _, p := range w.web.all() {
		if err := p.Drain(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all pools at once.
func (w *HTTPPools) Close() { w.web.close() }

// figures returns those of all pools and routes.
func (w *web) figures() (all []Stats) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, p := range w.pools {
		f := Stats{Kind: "pool", Name: name, Counts: p.Counts(), Pool: p.Snapshot(), HTTP: &HTTPStats{}}
		f.HTTP.Descriptors, _ = p.conns.Used()
		f.HTTP.BodyBytes, _ = p.room.Used()
		f.HTTP.DescriptorWaits = p.conns.Waits()
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

// webFront is an address at which HTTP is served.
type webFront struct {
	*httpfront.Server
	patience time.Duration

	mu    sync.Mutex
	ln    *sockets.DrainableListener // nil: it has not begun
	ended bool
}

// Serve is a method of front.
func (f *webFront) Serve(ln net.Listener) error {
	b := sockets.NewDrainableListener(ln.(*net.TCPListener))
	f.mu.Lock()
	f.ln = b
	ended := f.ended
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
func (f *webFront) Shutdown(ctx context.Context) error {
	f.Drain(shutdown.WithinContext(ctx, f.patience))
	defer context.AfterFunc(ctx, f.CloseAll)()
	f.mu.Lock()
	ln := f.ln
	f.ended = true
	f.mu.Unlock()
	if ln == nil { // it has not begun
		f.CloseAll()
	} else { // what waits there has been accepted by the machine: it is served
		ln.Drain(time.Now().Add(lateConns))
	}
	if !f.Wait() {
		return cmp.Or(ctx.Err(), errCutOff)
	}
	return nil
}

// errCutOff tells that connections with requests or answers on them were closed at the end of the patience.
var errCutOff = errors.New("not all had ended as the patience was over")

// Close is a method of front.
func (f *webFront) Close() {
	f.mu.Lock()
	if f.ended = true; f.ln != nil {
		f.ln.Close()
	}
	f.mu.Unlock()
	f.Server.Close()
}

func (s *Services) http(c config.HTTP) {
	whole := c.Proxy
	whole.Router = s.web.router
	f := &webFront{Server: httpfront.NewProxy(whole, s.budget, s.log.With("http", c.Name)), patience: c.ShutdownTimeout}
	s.all = append(s.all, &service{
		kind: "http", name: c.Name, listen: c.Listen, front: f, makeRoom: func() bool { return s.web.makeRoom(nil) }, close: func() {},
		clients: f.Server,
	})
}

// EvictClient closes the connection of a client of HTTP that is missed least, and reports whether there was one.
func (s *Services) EvictClient() bool {
	return slices.ContainsFunc(s.all, func(v *service) bool { return v.clients != nil && v.clients.Evict() })
}

// SetEvacuated has all addresses of HTTP say that they are not ready, and close their connections; Rejoin ends it.
func (s *Services) SetEvacuated(is bool) {
	for _, v := range s.all {
		switch {
		case v.clients == nil:
		case is:
			v.clients.Evacuate()
		default:
			v.clients.Rejoin()
		}
	}
}

// Engines returns the engines of all pools that are at work.
func (s *Services) Engines() (all []*engine.Engine) {
	for _, v := range s.all {
		if v.pool != nil {
			all = append(all, v.pool.Engine)
		}
	}
	if s.web != nil {
		all = append(all, s.web.engines()...)
	}
	return all
}

// engines returns those of all pools: what is taken out may still send what it had taken.
func (w *web) engines() (all []*engine.Engine) {
	for _, p := range w.all() {
		all = append(all, p.Engine)
	}
	return all
}

// both returns all pools, those that still end among them. Called with the lock held.
func (w *web) both() []*webPool { return slices.Concat(slices.Collect(maps.Values(w.pools)), w.old) }

// all is both without the lock.
func (w *web) all() []*webPool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.both()
}

// waiting returns the requests of all pools that have waited for longer than d.
func (w *web) waiting(d time.Duration) (all []PendingRequest) {
	for _, p := range w.all() {
		for _, r := range p.PendingRequests(d) {
			all = append(all, PendingRequest{p.name, r})
		}
	}
	return all
}

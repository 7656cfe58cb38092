// Package router says what becomes of a request of plain HTTP: by its route, which pool takes it, as what class, with what key, for how
// long, and how its answers are judged. Every front that serves by routes asks it. It opens no connection.
package router

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/httpcall"
	"quillfront/internal/pool"
	"quillfront/policy"
	"quillfront/routes"
)

// mostHeld bounds the keys that one route remembers the pool of.
const mostHeld = 100_000

// Pool is a pool that routes lead to.
type Pool struct {
	Engine     *engine.Engine
	Config     pool.Config
	BodyBudget BodyBudget // for bodies

	mu      sync.Mutex
	taking  int           // requests that are on their way to the engine
	retired chan struct{} // closed once none is nor will be; nil: it takes requests
}

// enter notes a request that is on its way to the engine, and reports whether it may go there.
func (p *Pool) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired != nil {
		return false
	}
	p.taking++
	return true
}

func (p *Pool) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taking--; p.taking == 0 && p.retired != nil {
		close(p.retired)
	}
}

// late reports whether p has been retired.
func (p *Pool) late() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retired != nil
}

// Retire lets no request into p from now on, and returns what is closed once those on their way have come to the engine. It is called
// once, when no table leads to p any more.
func (p *Pool) Retire() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = make(chan struct{})
	if p.taking == 0 {
		close(p.retired)
	}
	return p.retired
}

// BodyBudget is the memory, in bytes, that bodies of requests may hold.
type BodyBudget interface {
	TryAcquire(n int64) bool
	Release(n int64)
}

// Request is what of a request decides over it.
type Request struct {
	Method, Host string
	Target       string                     // in origin form, as it stands on the wire
	Header       func(name string) []string // the values of a field, by its name in any case
}

// Decision is what becomes of a request.
type Decision struct {
	Route      string
	Pool       string
	Engine     *engine.Engine
	Request    *engine.Request // without payload
	Evaluate   func(code int, header func(name string) []string) routes.Evaluation
	BodyBudget BodyBudget
	Release    func() // called once, when the engine has the request or nobody will give it to it
	// PoolRetired reports whether the table that led here has been replaced by one that does not: who has not given the request to the engine yet
	// asks again.
	PoolRetired func() bool
}

// Router goes by a table of routes, which can be replaced while it is asked. Its methods may be called from many goroutines at once.
type Router struct {
	state atomic.Pointer[state]

	mu     sync.Mutex
	splits map[string]*split // by route
}

// state is what is replaced whole.
type state struct {
	table  *routes.Table
	pools  map[string]*Pool
	splits map[string]*split
}

// split is where the keys of one route go.
type split struct {
	mu     sync.Mutex
	origin time.Time
	pools  []routes.WeightedPool
	*routes.Splitter
	requests atomic.Uint64
}

// classOf is the class of a route's requests in a pool that has k: one of its own where the route has a time of its own. The module takes a
// request whose time is not its class's for the last try of an older one.
func classOf(r *routes.Route, k pool.Class) string {
	if r.Timeout == 0 || r.Timeout == k.Deadline {
		return k.Name
	}
	return k.Name + "@" + r.Timeout.String()
}

// Classes returns the classes that p has for routes: its own, and one for each time that a route to it has of its own.
func Classes(p pool.Config, list []routes.Route) []pool.Class {
	all := slices.Clone(p.Classes)
	for _, r := range list {
		leads := r.Fallback == p.Name || slices.ContainsFunc(r.Pools, func(w routes.WeightedPool) bool { return w.Pool == p.Name })
		k, ok := p.Class(r.Class)
		name := classOf(&r, k)
		if !leads || !ok || slices.ContainsFunc(all, func(o pool.Class) bool { return o.Name == name }) {
			continue
		}
		k.Name, k.Aim, k.Deadline = name, min(k.Aim, r.Timeout), r.Timeout
		all = append(all, k)
	}
	return all
}

// New returns a Router of routes that lead to pools. See Check for what is wrong with them.
func New(list []routes.Route, pools map[string]*Pool) (*Router, error) {
	r := &Router{splits: map[string]*split{}}
	return r, r.Set(list, pools)
}

// Check tells what of routes their pools could not do. An error names route and key.
func Check(list []routes.Route, pools []pool.Config) error {
	if _, err := routes.New(list); err != nil {
		return err
	}
	for _, r := range list {
		names := make([]string, 0, len(r.Pools)+1)
		for _, p := range r.Pools {
			names = append(names, p.Pool)
		}
		if r.Fallback != "" {
			names = append(names, r.Fallback)
		}
		for _, name := range names {
			i := slices.IndexFunc(pools, func(p pool.Config) bool { return p.Name == name })
			if i < 0 {
				return fmt.Errorf("[[routes]] %s: pool: there is no [[pools]] %q", r.Name, name)
			}
			k, ok := pools[i].Class(r.Class)
			switch {
			case !ok || !k.ByRequest:
				return fmt.Errorf("[[routes]] %s: class: pool %q has no class %q with effect \"by-request\"", r.Name, name, r.Class)
			case (r.Effect == routes.Keyed || r.TrustIdempotencyKey) && k.KeyWindow == 0:
				return fmt.Errorf("[[routes]] %s: class %q of pool %q has no window: for how long do servers drop repeats of a key?", r.Name, r.Class, name)
			}
		}
	}
	return nil
}

// Set replaces routes and pools. What a route remembers of its keys is kept by its name, so that a key whose order may have run is not sent
// to another pool because the file has changed. With an error all stays as it was.
func (r *Router) Set(list []routes.Route, pools map[string]*Pool) error {
	table, err := routes.New(list)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	splits, windows := map[string]*split{}, map[string]time.Duration{}
	for _, route := range list {
		window := time.Duration(0)
		for _, w := range route.Pools {
			p := pools[w.Pool]
			if p == nil {
				return fmt.Errorf("route %q: there is no pool %q", route.Name, w.Pool)
			}
			k, _ := p.Config.Class(route.Class)
			window = max(window, k.KeyWindow)
		}
		s := r.splits[route.Name]
		if s == nil {
			spl, err := routes.NewSplitter(route.Pools, window, mostHeld)
			if err != nil {
				return err
			}
			s = &split{origin: time.Now(), pools: route.Pools, Splitter: spl}
		}
		splits[route.Name], windows[route.Name] = s, window
	}
	for _, route := range list {
		s := splits[route.Name]
		s.mu.Lock()
		s.SetWindow(windows[route.Name])
		if !reflect.DeepEqual(s.pools, route.Pools) {
			s.SetWeights(route.Pools)
			s.pools = route.Pools
		}
		s.mu.Unlock()
	}
	r.splits = splits
	r.state.Store(&state{table, maps.Clone(pools), splits})
	return nil
}

// Rejection is why a request is not served, beside what httpcall has.
type Rejection struct {
	httpcall.Rejection
	Allow          []string // with 405
	OutcomeUnknown bool     // an earlier request under the same key may have run
}

// Unwrap makes it an httpcall.Rejection.
func (e *Rejection) Unwrap() error { return e.Rejection }

func reject(status int, text string) error {
	return &Rejection{Rejection: httpcall.Rejection{Status: status, Text: text}}
}

// Matches reports whether some route takes a request.
func (r *Router) Matches(q *Request) bool {
	_, err := r.state.Load().table.Find(&routes.Request{Host: q.Host, Method: q.Method, Target: q.Target, Header: q.Header})
	return err == nil
}

// Route says what becomes of a request. An error is a *Rejection or an httpcall.Rejection.
func (r *Router) Route(q *Request) (*Decision, error) {
	if _, err := httpcall.DecodePath(q.Target); err != nil {
		return nil, err
	}
	for {
		call, err := r.state.Load().route(q)
		if err != errRetired {
			return call, err
		}
	}
}

// Reroute routes a request anew that has not come to its engine yet and whose call is late, as its body was long in coming. It returns the call
// to go on with, which is c where c is not late or nothing else takes the request: its pool then refuses it as long as that is true. held
// bytes of its body move to the other pool's room, and what the request has been told of itself with them.
func (r *Router) Reroute(c *Decision, held int64, asked func() *Request) *Decision {
	for c.PoolRetired() {
		next, err := r.Route(asked())
		if err != nil {
			return c
		}
		if held > 0 && !next.BodyBudget.TryAcquire(held) {
			next.Release()
			return c
		}
		if held > 0 {
			c.BodyBudget.Release(held)
		}
		next.Request.Payload, next.Request.Retry, next.Request.Uploading = c.Request.Payload, c.Request.Retry, c.Request.Uploading
		c.Release()
		c = next
	}
	return c
}

// errRetired tells that the table has just been replaced.
var errRetired = errors.New("the pool takes no more requests")

func (st *state) route(q *Request) (*Decision, error) {
	found, err := st.table.Find(&routes.Request{Host: q.Host, Method: q.Method, Target: q.Target, Header: q.Header})
	var method *routes.MethodError
	switch {
	case errors.As(err, &method):
		return nil, &Rejection{Rejection: httpcall.Rejection{Status: http.StatusMethodNotAllowed, Text: err.Error()}, Allow: method.Allow}
	case errors.Is(err, routes.ErrNoRoute):
		return nil, reject(http.StatusNotFound, err.Error())
	case err != nil:
		return nil, reject(http.StatusBadRequest, err.Error())
	}
	idem := q.Header("Idempotency-Key")
	if len(idem) > 1 || len(idem) == 1 && len(idem[0]) > httpcall.MaxIdentifierLength { // of two keys each reader might take another one
		return nil, reject(http.StatusBadRequest, "Idempotency-Key is given more than once or too long")
	}
	keyed := len(idem) == 1 && idem[0] != ""
	effect := found.RequestEffect(keyed)
	if effect == policy.Keyed && !keyed {
		effect = policy.Unsafe
	}
	key, tenant := found.RequestKey(), found.RequestTenant()
	if len(key) > httpcall.MaxIdentifierLength || len(tenant) > httpcall.MaxIdentifierLength {
		return nil, reject(http.StatusBadRequest, "what the request is about, or whose it is, is told by too many bytes")
	}
	name, err := st.pick(&found, q, effect, key, idem)
	if err != nil {
		return nil, err
	}
	p := st.pools[name]
	if !p.enter() {
		return nil, errRetired
	}
	k, _ := p.Config.Class(found.Class)
	k, _ = p.Config.Class(classOf(found.Route, k))
	class := k.Name
	switch effect {
	case policy.Safe:
		class = pool.SafeClass(k.Name)
	case policy.Keyed:
		class = pool.KeyedClass(k.Name)
	}
	answers := found.ResponseRules
	return &Decision{
		Route: found.Name, Pool: name, Engine: p.Engine, BodyBudget: p.BodyBudget, Release: p.leave, PoolRetired: p.late,
		Request: &engine.Request{Class: class, Tenant: tenant, Key: key, Timeout: k.Deadline},
		Evaluate: func(code int, header func(string) []string) routes.Evaluation {
			return answers.Evaluate(code, header, time.Now())
		},
	}, nil
}

// pick says which pool takes a request. A key whose order may have run stays with its pool for as long as servers there remember it,
// and a new one goes by the override, the weights, and the fallback where its pool has no server.
func (st *state) pick(found *routes.MatchedRoute, q *Request, effect policy.Effect, key string, idem []string) (string, error) {
	s := st.splits[found.Name]
	s.requests.Add(1)
	firm := effect == policy.Keyed
	if firm {
		key = idem[0] // what servers know a repeat by, whatever the route takes for its key
	} else if len(found.Pools) == 1 && found.Fallback == "" {
		return found.Pools[0].Pool, nil
	}
	if key == "" {
		key = strconv.FormatUint(rand.Uint64(), 16)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.origin)
	if firm {
		if held, ok := s.PinnedPool(now, key); ok {
			if st.pools[held] == nil {
				return "", &Rejection{Rejection: httpcall.Rejection{Status: http.StatusBadGateway, Text: "the pool of an earlier request under this key has gone"}, OutcomeUnknown: true}
			}
			return s.Pick(now, key, true, nil), nil
		}
	}
	if found.Override != "" {
		if named := q.Header(found.Override); len(named) == 1 {
			if !slices.ContainsFunc(found.Pools, func(w routes.WeightedPool) bool { return w.Pool == named[0] }) {
				return "", reject(http.StatusBadRequest, fmt.Sprintf("%s names no pool of the route", found.Override))
			}
			if firm {
				s.Pin(now, key, named[0])
			}
			return named[0], nil
		}
	}
	if found.Fallback == "" {
		return s.Pick(now, key, firm, nil), nil
	}
	usable := func(name string) bool { return st.pools[name].Engine.HasUsableServer() }
	if name := s.Pick(now, key, firm, usable); name != "" {
		return name, nil
	}
	if st.pools[found.Fallback] == nil {
		return "", reject(http.StatusServiceUnavailable, "no pool has a server")
	}
	if firm {
		s.Pin(now, key, found.Fallback)
	}
	return found.Fallback, nil
}

// Stats counts what the routes have done.
type Stats struct {
	Requests       uint64
	PinnedKeys     int   // keys that are kept with their pools
	EarlyEvictions int64 // keys that were let go before their window had passed, for want of room
}

// Stats returns the counts by route.
func (r *Router) Stats() map[string]Stats {
	all := map[string]Stats{}
	for name, s := range r.state.Load().splits {
		s.mu.Lock()
		all[name] = Stats{s.requests.Load(), s.PinnedKeys(), s.EarlyEvictions()}
		s.mu.Unlock()
	}
	return all
}

// CheckLoop tells whether a request has come through the instance of that name before, by the lines of Via.
func CheckLoop(via []string, name string) error {
	if err := routes.CheckVia(via, name); err != nil {
		return httpcall.Rejection{Status: http.StatusLoopDetected, Text: err.Error()}
	}
	return nil
}

// AppendVia appends a line of Via (RFC 9110, section 7.6.3) for a message of HTTP/1.minor that passes through the instance of that name.
func AppendVia(b []byte, minor int, name string) []byte {
	b = append(b, "Via: 1."...)
	b = strconv.AppendInt(b, int64(minor), 10)
	b = append(b, ' ')
	b = append(b, name...)
	return append(b, "\r\n"...)
}

// ValidName reports whether an instance can be called so: a pseudonym, which is a token (RFC 9110, section 7.6.3).
func ValidName(name string) bool {
	return name != "" && len(name) <= 64 && strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
}

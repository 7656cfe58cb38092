// Package router decides how a plain HTTP request is handled. From the route of the request it
// determines the pool, the class, the key, the timeout and the evaluation of responses. All HTTP
// fronts that use routes share it. It opens no connections.
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

// maxPinnedKeys limits the keys whose pool one route remembers.
const maxPinnedKeys = 100_000

// Pool is a pool that routes refer to.
type Pool struct {
	Engine     *engine.Engine
	Config     pool.Config
	BodyBudget BodyBudget // for the bodies of its requests

	mu       sync.Mutex
	inFlight int           // requests that are routed here but not yet submitted to the engine
	drained  chan struct{} // closed once p is retired and inFlight is 0; nil before Retire
}

// acquire counts a request as in flight. It reports false if p is retired.
func (p *Pool) acquire() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drained != nil {
		return false
	}
	p.inFlight++
	return true
}

// release ends a successful acquire.
func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight--; p.inFlight == 0 && p.drained != nil {
		close(p.drained)
	}
}

// isRetired reports whether Retire has been called.
func (p *Pool) isRetired() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.drained != nil
}

// Retire stops p from accepting requests. The returned channel is closed once all requests that are
// in flight have reached the engine. It must be called only once, when no table refers to p any
// more.
func (p *Pool) Retire() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drained = make(chan struct{})
	if p.inFlight == 0 {
		close(p.drained)
	}
	return p.drained
}

// BodyBudget limits the memory, in bytes, for request bodies.
type BodyBudget interface {
	TryAcquire(n int64) bool
	Release(n int64)
}

// Request holds the parts of a request that the routing depends on.
type Request struct {
	Method, Host string
	Target       string                     // in origin form, as sent on the wire
	Header       func(name string) []string // the values of a header, by case-insensitive name
}

// Decision says how a request is handled.
type Decision struct {
	Route      string
	Pool       string
	Engine     *engine.Engine
	Request    *engine.Request // without payload
	Evaluate   func(code int, header func(name string) []string) routes.Evaluation
	BodyBudget BodyBudget
	// Release must be called exactly once, when the engine has the request or the request will not
	// be submitted.
	Release func()
	// PoolRetired reports whether the pool has been retired, because the current table no longer
	// refers to it. A request that has not been submitted to the engine is then routed again.
	PoolRetired func() bool
}

// Router routes requests by a table that can be replaced at any time. It is safe for concurrent
// use.
type Router struct {
	state atomic.Pointer[state]

	mu     sync.Mutex
	splits map[string]*routeSplit // by route
}

// state is replaced as a whole by Set.
type state struct {
	table  *routes.Table
	pools  map[string]*Pool
	splits map[string]*routeSplit
}

// routeSplit distributes the keys of one route among its pools.
type routeSplit struct {
	mu     sync.Mutex
	origin time.Time // the zero of the Splitter's clock
	pools  []routes.WeightedPool
	*routes.Splitter
	requests atomic.Uint64
}

// className returns the class of r's requests in a pool with class k. A route whose timeout differs
// from that of k gets a class of its own: the decision module would take a request whose timeout is
// not that of its class for the last try of an older request.
func className(r *routes.Route, k pool.Class) string {
	if r.Timeout == 0 || r.Timeout == k.Deadline {
		return k.Name
	}
	return k.Name + "@" + r.Timeout.String()
}

// Classes returns the classes that p needs for the routes in list: its own, and one for each
// different timeout of a route that refers to p.
func Classes(p pool.Config, list []routes.Route) []pool.Class {
	all := slices.Clone(p.Classes)
	for _, r := range list {
		usesPool := r.Fallback == p.Name || slices.ContainsFunc(r.Pools, func(w routes.WeightedPool) bool { return w.Pool == p.Name })
		k, ok := p.Class(r.Class)
		name := className(&r, k)
		if !usesPool || !ok || slices.ContainsFunc(all, func(o pool.Class) bool { return o.Name == name }) {
			continue
		}
		k.Name, k.Aim, k.Deadline = name, min(k.Aim, r.Timeout), r.Timeout
		all = append(all, k)
	}
	return all
}

// New returns a Router for routes and the pools that they refer to. Check validates them.
func New(list []routes.Route, pools map[string]*Pool) (*Router, error) {
	r := &Router{splits: map[string]*routeSplit{}}
	return r, r.Set(list, pools)
}

// Check reports an error if the routes are invalid or their pools cannot handle their requests. An
// error about a pool names the route and the key of the configuration.
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
				return fmt.Errorf("[[routes]] %s: class %q of pool %q has no window, the time for which servers drop repeats of a key", r.Name, r.Class, name)
			}
		}
	}
	return nil
}

// Set replaces the routes and pools. A route keeps its pinned keys under its name, so that a key
// whose order may have been executed is not sent to another pool because the configuration changed.
// On an error nothing changes.
func (r *Router) Set(list []routes.Route, pools map[string]*Pool) error {
	table, err := routes.New(list)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	splits, windows := map[string]*routeSplit{}, map[string]time.Duration{}
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
			splitter, err := routes.NewSplitter(route.Pools, window, maxPinnedKeys)
			if err != nil {
				return err
			}
			s = &routeSplit{origin: time.Now(), pools: route.Pools, Splitter: splitter}
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

// Rejection is an httpcall.Rejection with details of the routing.
type Rejection struct {
	httpcall.Rejection
	Allow          []string // the methods that would match, with status 405
	OutcomeUnknown bool     // an earlier request with the same key may have been executed
}

// Unwrap returns the httpcall.Rejection.
func (e *Rejection) Unwrap() error { return e.Rejection }

func reject(status int, text string) error {
	return &Rejection{Rejection: httpcall.Rejection{Status: status, Text: text}}
}

// Matches reports whether a route matches q.
func (r *Router) Matches(q *Request) bool {
	_, err := r.state.Load().table.Find(&routes.Request{Host: q.Host, Method: q.Method, Target: q.Target, Header: q.Header})
	return err == nil
}

// Route decides how q is handled. The error is a *Rejection or an httpcall.Rejection.
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

// Reroute routes a request again if its pool was retired before the request was submitted to the
// engine, for example while its body was still arriving. It returns the decision to follow. That is
// d if its pool is not retired, or if no other pool can accept the request; the retired pool then
// rejects it. The reservation of reserved bytes for the body moves to the budget of the new pool,
// and the payload and the retry and upload flags of the request move to the new request.
func (r *Router) Reroute(d *Decision, reserved int64, request func() *Request) *Decision {
	for d.PoolRetired() {
		next, err := r.Route(request())
		if err != nil {
			return d
		}
		if reserved > 0 && !next.BodyBudget.TryAcquire(reserved) {
			next.Release()
			return d
		}
		if reserved > 0 {
			d.BodyBudget.Release(reserved)
		}
		next.Request.Payload, next.Request.Retry, next.Request.Uploading = d.Request.Payload, d.Request.Retry, d.Request.Uploading
		d.Release()
		d = next
	}
	return d
}

// errRetired reports that the pool was retired after the table was loaded. It does not leave Route.
var errRetired = errors.New("the pool takes no more requests")

// route is Route for one state. The error is errRetired if the pool has been retired since.
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
	idempotencyKeys := q.Header("Idempotency-Key")
	// With several keys, readers could choose different ones.
	if len(idempotencyKeys) > 1 || len(idempotencyKeys) == 1 && len(idempotencyKeys[0]) > httpcall.MaxIdentifierLength {
		return nil, reject(http.StatusBadRequest, "Idempotency-Key is given more than once or too long")
	}
	keyed := len(idempotencyKeys) == 1 && idempotencyKeys[0] != ""
	effect := found.RequestEffect(keyed)
	if effect == policy.Keyed && !keyed {
		effect = policy.Unsafe
	}
	key, tenant := found.RequestKey(), found.RequestTenant()
	if len(key) > httpcall.MaxIdentifierLength || len(tenant) > httpcall.MaxIdentifierLength {
		return nil, reject(http.StatusBadRequest, "what the request is about, or whose it is, is told by too many bytes")
	}
	name, err := st.pickPool(&found, q, effect, key, idempotencyKeys)
	if err != nil {
		return nil, err
	}
	p := st.pools[name]
	if !p.acquire() {
		return nil, errRetired
	}
	k, _ := p.Config.Class(found.Class)
	k, _ = p.Config.Class(className(found.Route, k))
	class := k.Name
	switch effect {
	case policy.Safe:
		class = pool.SafeClass(k.Name)
	case policy.Keyed:
		class = pool.KeyedClass(k.Name)
	}
	rules := found.ResponseRules
	return &Decision{
		Route: found.Name, Pool: name, Engine: p.Engine, BodyBudget: p.BodyBudget, Release: p.release, PoolRetired: p.isRetired,
		Request: &engine.Request{Class: class, Tenant: tenant, Key: key, Timeout: k.Deadline},
		Evaluate: func(code int, header func(string) []string) routes.Evaluation {
			return rules.Evaluate(code, header, time.Now())
		},
	}, nil
}

// pickPool returns the name of the pool for a request. An idempotency key whose order may have been
// executed stays with its pool for as long as the servers there remember it. The pool for any other
// request depends on the override header, the weights, and the fallback if no weighted pool has a
// usable server.
func (st *state) pickPool(found *routes.MatchedRoute, q *Request, effect policy.Effect, key string, idempotencyKeys []string) (string, error) {
	s := st.splits[found.Name]
	s.requests.Add(1)
	sticky := effect == policy.Keyed
	if sticky {
		key = idempotencyKeys[0] // servers recognize a repeat by it, whatever the key of the route is
	} else if len(found.Pools) == 1 && found.Fallback == "" {
		return found.Pools[0].Pool, nil
	}
	if key == "" {
		key = strconv.FormatUint(rand.Uint64(), 16)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.origin)
	if sticky {
		if pinned, ok := s.PinnedPool(now, key); ok {
			if st.pools[pinned] == nil {
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
			if sticky {
				s.Pin(now, key, named[0])
			}
			return named[0], nil
		}
	}
	if found.Fallback == "" {
		return s.Pick(now, key, sticky, nil), nil
	}
	usable := func(name string) bool { return st.pools[name].Engine.HasUsableServer() }
	if name := s.Pick(now, key, sticky, usable); name != "" {
		return name, nil
	}
	if st.pools[found.Fallback] == nil {
		return "", reject(http.StatusServiceUnavailable, "no pool has a server")
	}
	if sticky {
		s.Pin(now, key, found.Fallback)
	}
	return found.Fallback, nil
}

// Stats holds the counters of one route.
type Stats struct {
	Requests       uint64 // since the route was added
	PinnedKeys     int    // keys that stay with their pools
	EarlyEvictions int64  // keys that were unpinned before their window had passed
}

// Stats returns the counters by route.
func (r *Router) Stats() map[string]Stats {
	all := map[string]Stats{}
	for name, s := range r.state.Load().splits {
		s.mu.Lock()
		all[name] = Stats{s.requests.Load(), s.PinnedKeys(), s.EarlyEvictions()}
		s.mu.Unlock()
	}
	return all
}

// CheckLoop returns a rejection if the lines of Via show that a request has passed through the
// instance with that name before, or through too many hops.
func CheckLoop(via []string, name string) error {
	if err := routes.CheckVia(via, name); err != nil {
		return httpcall.Rejection{Status: http.StatusLoopDetected, Text: err.Error()}
	}
	return nil
}

// AppendVia appends a Via header line (RFC 9110, section 7.6.3) for an HTTP/1.minor message that
// passes through the instance with that name.
func AppendVia(b []byte, minor int, name string) []byte {
	b = append(b, "Via: 1."...)
	b = strconv.AppendInt(b, int64(minor), 10)
	b = append(b, ' ')
	b = append(b, name...)
	return append(b, "\r\n"...)
}

// ValidName reports whether name can be the name of an instance: a pseudonym of up to 64
// characters, which must be a token (RFC 9110, section 7.6.3).
func ValidName(name string) bool {
	return name != "" && len(name) <= 64 && strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
}

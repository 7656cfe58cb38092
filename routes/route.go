// Package routes finds the route of a request, which determines its class, pool, key, tenant,
// effect and timeout. It has no clock and does no I/O. A Table is built once from all routes, which
// are checked against each other, and is immutable.
//
// # Precedence
//
// Of the routes that match a request, the most specific one wins, by a total order:
//
//  1. the host: a name, then a pattern for one label (*.example.org), then a suffix
//     (**.example.org, the longer one first), then any host;
//  2. the path, segment by segment from the left: a literal, then a capture ({id}), then a capture
//     of all remaining segments ({rest...});
//  3. the methods: fewer before more, and all methods last;
//  4. the conditions on headers and query: more before fewer; with the same number, more exact
//     values, then more patterns;
//  5. Order, the lower value first.
//
// It is an error if this order does not decide between two routes that could match the same
// request, or if no request can reach a route.
package routes

import (
	"cmp"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Limits of a table. Exceeding them is an error.
const (
	MaxRoutes        = 100_000
	MaxSegments      = 64  // of a path; a request with more matches no route
	maxConditions    = 16  // of a route
	maxPatternLength = 512 // bytes of a pattern
)

// Condition is a condition on a header or a query parameter. With neither Exact nor Pattern, the
// header or parameter only has to be present.
type Condition struct {
	Name    string
	Exact   string // the whole value
	Pattern string // an RE2 expression for the whole value
}

// specificity ranks conditions: 2 for an exact value, 1 for a pattern and 0 for mere presence.
func (c Condition) specificity() int {
	switch {
	case c.Exact != "":
		return 2
	case c.Pattern != "":
		return 1
	}
	return 0
}

// Match holds the conditions of a route on a request. Empty fields match everything.
type Match struct {
	Hosts   []string // names, *.NAME for one more label, **.NAME for one or more
	Methods []string // GET includes HEAD
	// Path consists of segments that are literals or {name}, and optionally {name...} at the end for
	// all remaining segments. Segments of a request are unescaped before they are compared.
	Path    string
	Headers []Condition
	Query   []Condition
}

// ValueSource says where a value is taken from in a request. Exactly one field is set.
type ValueSource struct {
	Path, Header, Query string // the names of a capture, a header and a query parameter
}

// Effect says what repeating a request may do, and so whether it may be retried.
type Effect int

// The effects of a route's requests.
const (
	// ByMethod follows RFC 9110, section 9.2: GET, HEAD, OPTIONS and TRACE are safe. PUT and DELETE
	// are treated as safe too, because they are idempotent. Other methods are unsafe; POST and PATCH
	// are keyed if TrustIdempotencyKey is set and the request has an Idempotency-Key.
	ByMethod Effect = iota
	Safe            // may be retried
	Keyed           // may be retried if it has an Idempotency-Key, and is unsafe otherwise
	Unsafe          // may be retried only if it is proven not to have been executed
)

// Route says which requests it matches and how they are handled.
type Route struct {
	Name  string // unique
	Match Match
	Order int // decides between routes of otherwise equal precedence; the lowest value wins

	Class               string
	Pools               []WeightedPool // the destination of its requests; several share them by weight
	Override            string         // a header by which a request chooses one of Pools; empty: none
	Fallback            string         // the pool to use if none of Pools has a server; empty: none
	Key                 []ValueSource  // the sources of the key, whose values are combined
	Tenant              []ValueSource  // the sources of the tenant
	Timeout             time.Duration  // 0: that of the class
	Effect              Effect
	TrustIdempotencyKey bool // with ByMethod: an Idempotency-Key makes POST and PATCH keyed
	ResponseRules       ResponseRules
}

// WeightedPool is a pool and its weight, which is relative to the weights of the other pools.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// RouteError describes why a route is invalid, by itself or together with another route.
type RouteError struct {
	Route, Other string // the names of the routes; Other may be empty
	Reason       string
}

// Error returns the names of the routes and the reason.
func (e *RouteError) Error() string {
	if e.Other != "" {
		return fmt.Sprintf("routes %q and %q: %s", e.Route, e.Other, e.Reason)
	}
	return fmt.Sprintf("route %q: %s", e.Route, e.Reason)
}

// segment is one segment of a route's path: a literal or a capture.
type segment struct {
	literal string
	name    string // of the capture
	rest    bool   // the capture takes all remaining segments
}

// compiledRoute is a checked route with its parsed path and compiled conditions.
type compiledRoute struct {
	*Route
	index    int // in the list that New got
	segments []segment
	headers  []compiledCondition
	query    []compiledCondition
}

// compiledCondition is a condition with its compiled pattern.
type compiledCondition struct {
	Condition
	re *regexp.Regexp // nil without a pattern
}

// matches reports whether one of the values meets the condition.
func (c compiledCondition) matches(values []string) bool {
	for _, v := range values {
		switch {
		case c.Exact != "":
			if v == c.Exact {
				return true
			}
		case c.re != nil:
			if c.re.MatchString(v) {
				return true
			}
		default:
			return true
		}
	}
	return false
}

// compile checks a route without regard to other routes and compiles it. It sets defaults in r.
func compile(r *Route, number int) (*compiledRoute, error) {
	fail := func(format string, args ...any) (*compiledRoute, error) {
		return nil, &RouteError{Route: r.Name, Reason: fmt.Sprintf(format, args...)}
	}
	c := &compiledRoute{Route: r, index: number}
	if r.Name == "" {
		return fail("it has no name")
	}
	for i, h := range r.Match.Hosts {
		if _, _, err := parseHostPattern(h); err != nil {
			return fail("host %q: %v", h, err)
		}
		if slices.Contains(r.Match.Hosts[:i], h) {
			return fail("host %q is there twice", h)
		}
	}
	for i, m := range r.Match.Methods {
		if !httpguts.ValidHeaderFieldName(m) { // a method is a token, as a header name is
			return fail("method %q is none", m)
		}
		if slices.Contains(r.Match.Methods[:i], m) {
			return fail("method %s is there twice", m)
		}
	}
	var err error
	if c.segments, err = parsePath(r.Match.Path); err != nil {
		return fail("path %q: %v", r.Match.Path, err)
	}
	if len(r.Match.Headers)+len(r.Match.Query) > maxConditions {
		return fail("more than %d conditions", maxConditions)
	}
	if c.headers, err = compileConditions(r.Match.Headers, true); err != nil {
		return fail("header %v", err)
	}
	if c.query, err = compileConditions(r.Match.Query, false); err != nil {
		return fail("query %v", err)
	}
	if r.ResponseRules, err = r.ResponseRules.WithDefaults(); err != nil {
		return fail("answers: %v", err)
	}
	if r.Class == "" {
		return fail("it has no class")
	}
	if len(r.Pools) == 0 {
		return fail("it has no pool")
	}
	sum := 0.0
	for i, p := range r.Pools {
		if p.Pool == "" || !(p.Weight >= 0 && p.Weight <= 1e6) {
			return fail("pool %q has the weight %v, want 0 to 1,000,000", p.Pool, p.Weight)
		}
		if slices.ContainsFunc(r.Pools[:i], func(o WeightedPool) bool { return o.Pool == p.Pool }) {
			return fail("pool %s is there twice", p.Pool)
		}
		sum += p.Weight
	}
	if sum == 0 {
		return fail("its pools have no weight: the sum of the weights is 0")
	}
	for _, p := range slices.Concat(r.Key, r.Tenant) {
		set := 0
		for _, s := range []string{p.Path, p.Header, p.Query} {
			if s != "" {
				set++
			}
		}
		if set != 1 {
			return fail("a part of its key or tenant has %d sources, want one of path, header and query", set)
		}
		if p.Path != "" && !slices.ContainsFunc(c.segments, func(s segment) bool { return s.name == p.Path }) {
			return fail("its path has no part {%s}", p.Path)
		}
	}
	if r.Timeout < 0 || r.Effect < ByMethod || r.Effect > Unsafe {
		return fail("its timeout or effect is out of range")
	}
	return c, nil
}

// hostKind is the kind of a host pattern. Higher values take precedence.
type hostKind int

const (
	anyHost hostKind = iota
	suffixHost
	labelHost
	exactHost
)

// parseHostPattern parses a host pattern. It returns its kind and the name in lower case, without
// the wildcard.
func parseHostPattern(h string) (kind hostKind, name string, err error) {
	kind, name = exactHost, strings.ToLower(strings.TrimSuffix(h, "."))
	if rest, ok := strings.CutPrefix(name, "**."); ok {
		kind, name = suffixHost, rest
	} else if rest, ok := strings.CutPrefix(name, "*."); ok {
		kind, name = labelHost, rest
	}
	if name == "" || strings.ContainsAny(name, "*/ \t@?#%") || !httpguts.ValidHostHeader(name) {
		return 0, "", errors.New("want a name, *.NAME or **.NAME, without a port")
	}
	if !strings.HasPrefix(name, "[") && strings.Contains(name, ":") {
		return 0, "", errors.New("a port cannot be matched")
	}
	for label := range strings.SplitSeq(name, ".") {
		if label == "" {
			return 0, "", errors.New("it has an empty label")
		}
	}
	return kind, name, nil
}

// parsePath parses a path pattern. An empty pattern matches every path.
func parsePath(p string) ([]segment, error) {
	if p == "" {
		return []segment{{rest: true}}, nil
	}
	if p[0] != '/' {
		return nil, errors.New("it does not begin with a slash")
	}
	parts := strings.Split(p[1:], "/")
	if len(parts) > MaxSegments {
		return nil, fmt.Errorf("more than %d segments", MaxSegments)
	}
	var segments []segment
	names := map[string]bool{}
	for i, part := range parts {
		if !strings.ContainsAny(part, "{}") {
			if part == "." || part == ".." {
				return nil, errors.New("it has a dot segment")
			}
			segments = append(segments, segment{literal: part})
			continue
		}
		name, ok := strings.CutPrefix(part, "{")
		name, ok2 := strings.CutSuffix(name, "}")
		name, rest := strings.CutSuffix(name, "...")
		switch {
		case !ok || !ok2 || strings.ContainsAny(name, "{}") || name == "" && !rest:
			return nil, fmt.Errorf("segment %q is neither a literal, {name} nor {name...}", part)
		case rest && i < len(parts)-1:
			return nil, fmt.Errorf("%s is not at the end", part)
		case name != "" && names[name]:
			return nil, fmt.Errorf("{%s} is there twice", name)
		}
		names[name] = true
		segments = append(segments, segment{name: name, rest: rest})
	}
	return segments, nil
}

// compileConditions checks and compiles conditions and sorts them by name.
func compileConditions(list []Condition, header bool) ([]compiledCondition, error) {
	var out []compiledCondition
	for _, c := range list {
		switch {
		case c.Name == "" || header && !httpguts.ValidHeaderFieldName(c.Name):
			return nil, fmt.Errorf("%q is not a valid name", c.Name)
		case c.Exact != "" && c.Pattern != "":
			return nil, fmt.Errorf("%s has both a value and a pattern", c.Name)
		case len(c.Pattern) > maxPatternLength:
			return nil, fmt.Errorf("%s has a pattern of %d bytes, at most %d", c.Name, len(c.Pattern), maxPatternLength)
		}
		if header {
			c.Name = strings.ToLower(c.Name)
		}
		n := compiledCondition{Condition: c}
		if c.Pattern != "" {
			re, err := regexp.Compile(`^(?:` + c.Pattern + `)$`)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", c.Name, err)
			}
			n.re = re
		}
		if slices.ContainsFunc(out, func(o compiledCondition) bool { return o.Name == n.Name }) {
			return nil, fmt.Errorf("%s has two conditions; combine them in one pattern", c.Name)
		}
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b compiledCondition) int { return cmp.Compare(a.Name, b.Name) })
	return out, nil
}

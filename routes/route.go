// Package routes decides which route a request takes, and what follows from it: class, pool, key, tenant, effect and time. It has no
// clock and does no I/O. A Table is made once from all routes, which it checks against each other, and never changes.
//
// # Precedence
//
// Of the routes that match a request the most specific one wins, by a total order:
//
//  1. the host: a name, then a pattern of one label (*.example.org), then a suffix (**.example.org, the longer one first), then any;
//  2. the path, segment by segment from the left: a literal, then a named part ({id}), then the rest ({rest...});
//  3. the methods: fewer before more, all of them last;
//  4. the conditions on headers and query: more before fewer, and of as many those with more exact values, then more patterns;
//  5. Order, the lower one first.
//
// Two routes that some request could match and that this order does not tell apart are an error, and so is one that no request can
// reach.
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

// Bounds of a table. What is beyond them is an error.
const (
	MaxRoutes      = 100_000
	MaxSegments    = 64  // of a path; a request with more matches none
	mostConditions = 16  // of a route
	mostPattern    = 512 // bytes of a pattern
)

// Condition is what a route asks of a header or of a parameter of the query.
type Condition struct {
	Name    string
	Exact   string // the whole value; empty: see Pattern
	Pattern string // RE2 for the whole value; empty, as Exact is: it must be there
}

// kind orders conditions by how much they tell.
func (c Condition) kind() int {
	switch {
	case c.Exact != "":
		return 2
	case c.Pattern != "":
		return 1
	}
	return 0
}

// Match is what a route asks of a request. What is empty is not asked for.
type Match struct {
	Hosts   []string // names, *.NAME for one more label, **.NAME for one or more
	Methods []string // GET takes HEAD too
	Path    string   // segments that are literals, {name}, or {name...} at the end for the rest; escapes are undone first
	Headers []Condition
	Query   []Condition
}

// ValueSource says where a value of a request is taken from. One of its fields is set.
type ValueSource struct {
	Path, Header, Query string
}

// Effect says what repeating a request may do.
type Effect int

// The effects of a route's requests.
const (
	// ByMethod goes by RFC 9110, section 9.2: GET, HEAD, OPTIONS and TRACE are safe; PUT and DELETE, whose repeats have no further
	// effect, are so too as far as sending goes; others are unsafe, or keyed where TrustKey holds and there is an Idempotency-Key.
	ByMethod Effect = iota
	Safe
	Keyed
	Unsafe
)

// Route is one route.
type Route struct {
	Name  string // unique
	Match Match
	Order int // between routes that are alike in everything else

	Class               string
	Pools               []WeightedPool // where its requests go; one, or several by weight
	Override            string         // a header that names one of Pools for a request; empty: none
	Fallback            string         // a pool for requests whose own has no server; empty: none
	Key                 []ValueSource  // what a request is about; several are taken together
	Tenant              []ValueSource
	Timeout             time.Duration // 0: that of the class
	Effect              Effect
	TrustIdempotencyKey bool // with ByMethod: an Idempotency-Key makes POST and PATCH keyed
	ResponseRules       ResponseRules
}

// WeightedPool is a pool and its share, beside those of the others.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// RouteError tells what is wrong with a route, and with which other one.
type RouteError struct {
	Route, Other string // names; Other may be empty
	Reason       string
}

// Error names the route, the other one and the reason.
func (e *RouteError) Error() string {
	if e.Other != "" {
		return fmt.Sprintf("routes %q and %q: %s", e.Route, e.Other, e.Reason)
	}
	return fmt.Sprintf("route %q: %s", e.Route, e.Reason)
}

// segment is one part of a route's path.
type segment struct {
	literal string
	name    string // of a part or the rest
	rest    bool
}

// compiled is a route as the table looks it up.
type compiled struct {
	*Route
	number   int // in the order of their being given
	segments []segment
	headers  []condition
	query    []condition
}

type condition struct {
	Condition
	re *regexp.Regexp
}

func (c condition) holds(values []string) bool {
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

// compile checks a route by itself.
func compile(r *Route, number int) (*compiled, error) {
	wrong := func(format string, args ...any) (*compiled, error) {
		return nil, &RouteError{Route: r.Name, Reason: fmt.Sprintf(format, args...)}
	}
	c := &compiled{Route: r, number: number}
	if r.Name == "" {
		return wrong("it has no name")
	}
	for i, h := range r.Match.Hosts {
		if _, _, err := hostPattern(h); err != nil {
			return wrong("host %q: %v", h, err)
		}
		if slices.Contains(r.Match.Hosts[:i], h) {
			return wrong("host %q is there twice", h)
		}
	}
	for i, m := range r.Match.Methods {
		if !httpguts.ValidHeaderFieldName(m) { // a method is a token, as a name is
			return wrong("method %q is none", m)
		}
		if slices.Contains(r.Match.Methods[:i], m) {
			return wrong("method %s is there twice", m)
		}
	}
	var err error
	if c.segments, err = parsePath(r.Match.Path); err != nil {
		return wrong("path %q: %v", r.Match.Path, err)
	}
	if len(r.Match.Headers)+len(r.Match.Query) > mostConditions {
		return wrong("more than %d conditions", mostConditions)
	}
	if c.headers, err = conditions(r.Match.Headers, true); err != nil {
		return wrong("header %v", err)
	}
	if c.query, err = conditions(r.Match.Query, false); err != nil {
		return wrong("query %v", err)
	}
	if r.ResponseRules, err = r.ResponseRules.WithDefaults(); err != nil {
		return wrong("answers: %v", err)
	}
	if r.Class == "" {
		return wrong("it has no class")
	}
	if len(r.Pools) == 0 {
		return wrong("it has no pool")
	}
	sum := 0.0
	for i, p := range r.Pools {
		if p.Pool == "" || !(p.Weight >= 0 && p.Weight <= 1e6) {
			return wrong("pool %q has the weight %v, want 0 to 1,000,000", p.Pool, p.Weight)
		}
		if slices.ContainsFunc(r.Pools[:i], func(o WeightedPool) bool { return o.Pool == p.Pool }) {
			return wrong("pool %s is there twice", p.Pool)
		}
		sum += p.Weight
	}
	if sum == 0 {
		return wrong("its pools have no weight")
	}
	for _, p := range slices.Concat(r.Key, r.Tenant) {
		set := 0
		for _, s := range []string{p.Path, p.Header, p.Query} {
			if s != "" {
				set++
			}
		}
		if set != 1 {
			return wrong("a part of its key or tenant has %d sources, want one of path, header and query", set)
		}
		if p.Path != "" && !slices.ContainsFunc(c.segments, func(s segment) bool { return s.name == p.Path }) {
			return wrong("its path has no part {%s}", p.Path)
		}
	}
	if r.Timeout < 0 || r.Effect < ByMethod || r.Effect > Unsafe {
		return wrong("its time or its effect is out of range")
	}
	return c, nil
}

// hostKind orders patterns of hosts; the higher comes first.
type hostKind int

const (
	anyHost hostKind = iota
	suffixHost
	labelHost
	exactHost
)

// hostPattern reads a pattern of a host: its kind, and the name without its wildcard in lower case.
func hostPattern(h string) (kind hostKind, name string, err error) {
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

// parsePath reads a path's pattern. An empty one matches every path.
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

// conditions compiles conditions, in the order of their names.
func conditions(list []Condition, header bool) ([]condition, error) {
	var out []condition
	for _, c := range list {
		switch {
		case c.Name == "" || header && !httpguts.ValidHeaderFieldName(c.Name):
			return nil, fmt.Errorf("%q cannot be a name", c.Name)
		case c.Exact != "" && c.Pattern != "":
			return nil, fmt.Errorf("%s has both a value and a pattern", c.Name)
		case len(c.Pattern) > mostPattern:
			return nil, fmt.Errorf("%s has a pattern of %d bytes, at most %d", c.Name, len(c.Pattern), mostPattern)
		}
		if header {
			c.Name = strings.ToLower(c.Name)
		}
		n := condition{Condition: c}
		if c.Pattern != "" {
			re, err := regexp.Compile(`^(?:` + c.Pattern + `)$`)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", c.Name, err)
			}
			n.re = re
		}
		if slices.ContainsFunc(out, func(o condition) bool { return o.Name == n.Name }) {
			return nil, fmt.Errorf("%s has two conditions: one pattern can say both", c.Name)
		}
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b condition) int { return cmp.Compare(a.Name, b.Name) })
	return out, nil
}

package routes

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// mostAlike bounds the routes of one host and path, which are compared with each other and tried in turn.
const mostAlike = 1000

// Table looks up routes. It may be used from many goroutines at once.
type Table struct {
	routes []*compiled
	exact  map[string]*node // by host
	label  map[string]*node // by host without its first label
	suffix map[string]*node // by the end of the host
	any    *node
}

// node is a place in the tree of paths below one pattern of hosts.
type node struct {
	literals map[string]*node
	part     *node
	rest     *leaf // routes whose path goes on with anything
	end      *leaf // routes whose path ends here
}

// leaf holds the routes of one host and path.
type leaf struct {
	all      []*compiled            // in the order of precedence
	byMethod map[string][]*compiled // the same, of those that match a method
	other    []*compiled            // of those that match methods that are named nowhere
}

// New makes a table, or tells all that is wrong with the routes, each as a *RouteError.
func New(list []Route) (*Table, error) {
	if len(list) > MaxRoutes {
		return nil, fmt.Errorf("%d routes, at most %d", len(list), MaxRoutes)
	}
	t := &Table{exact: map[string]*node{}, label: map[string]*node{}, suffix: map[string]*node{}, any: &node{}}
	var errs []error
	names := map[string]bool{}
	leaves := map[*leaf]bool{}
	for i := range list {
		r := list[i] // a copy: the caller's may change
		c, err := compile(&r, i)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if names[r.Name] {
			errs = append(errs, &RouteError{Route: r.Name, Reason: "the name is there twice"})
			continue
		}
		names[r.Name] = true
		t.routes = append(t.routes, c)
		for _, n := range t.hosts(r.Match.Hosts) {
			l := n.leaf(c.segments)
			l.all = append(l.all, c)
			leaves[l] = true
		}
	}
	reached := map[*compiled]bool{}
	hidden := map[*compiled]*compiled{}
	for l := range leaves {
		errs = append(errs, l.build(reached, hidden)...)
	}
	for _, c := range t.routes {
		if by := hidden[c]; by != nil && !reached[c] {
			errs = append(errs, &RouteError{c.Name, by.Name, "no request reaches the first, as the second takes all that it matches"})
		}
	}
	if len(errs) > 0 {
		slices.SortFunc(errs, func(a, b error) int { return cmp.Compare(a.Error(), b.Error()) })
		return nil, errors.Join(slices.CompactFunc(errs, func(a, b error) bool { return a.Error() == b.Error() })...)
	}
	return t, nil
}

// hosts returns the trees of some patterns, which have been checked.
func (t *Table) hosts(patterns []string) []*node {
	if len(patterns) == 0 {
		return []*node{t.any}
	}
	var out []*node
	for _, p := range patterns {
		kind, name, _ := hostPattern(p)
		m := map[hostKind]map[string]*node{exactHost: t.exact, labelHost: t.label, suffixHost: t.suffix}[kind]
		if m[name] == nil {
			m[name] = &node{}
		}
		if !slices.Contains(out, m[name]) { // two spellings of one host
			out = append(out, m[name])
		}
	}
	return out
}

// leaf returns the leaf of a path, made if it lacks.
func (n *node) leaf(path []segment) *leaf {
	for _, s := range path {
		switch {
		case s.rest:
			if n.rest == nil {
				n.rest = &leaf{}
			}
			return n.rest
		case s.name != "":
			if n.part == nil {
				n.part = &node{}
			}
			n = n.part
		default:
			if n.literals == nil {
				n.literals = map[string]*node{}
			}
			if n.literals[s.literal] == nil {
				n.literals[s.literal] = &node{}
			}
			n = n.literals[s.literal]
		}
	}
	if n.end == nil {
		n.end = &leaf{}
	}
	return n.end
}

// rank compares routes of one leaf by precedence; 0 says that it does not tell them apart.
func rank(a, b *compiled) int {
	methods := func(c *compiled) int {
		if n := len(c.Match.Methods); n > 0 {
			return n
		}
		return 1 << 20
	}
	count := func(c *compiled, least int) (n int) {
		for _, list := range [][]condition{c.headers, c.query} {
			for _, x := range list {
				if x.kind() >= least {
					n++
				}
			}
		}
		return n
	}
	return cmp.Or(cmp.Compare(methods(a), methods(b)), cmp.Compare(count(b, 0), count(a, 0)), cmp.Compare(count(b, 2), count(a, 2)),
		cmp.Compare(count(b, 1), count(a, 1)), cmp.Compare(a.Order, b.Order))
}

// build sorts a leaf's routes and finds those that cannot be told apart. It notes which can be reached, and what hides others.
func (l *leaf) build(reached map[*compiled]bool, hidden map[*compiled]*compiled) (errs []error) {
	if len(l.all) > mostAlike {
		return []error{&RouteError{Route: l.all[0].Name, Reason: fmt.Sprintf("%d routes have its host and path, at most %d", len(l.all), mostAlike)}}
	}
	slices.SortFunc(l.all, func(a, b *compiled) int { return cmp.Or(rank(a, b), cmp.Compare(a.number, b.number)) })
	l.byMethod = map[string][]*compiled{}
	for _, c := range l.all {
		for _, m := range c.Match.Methods {
			l.byMethod[m] = nil
			if m == http.MethodGet {
				l.byMethod[http.MethodHead] = nil
			}
		}
	}
	takes := func(c *compiled, m string) bool {
		return len(c.Match.Methods) == 0 || slices.Contains(c.Match.Methods, m) ||
			m == http.MethodHead && slices.Contains(c.Match.Methods, http.MethodGet) // as with http.ServeMux
	}
	for _, c := range l.all {
		for m := range l.byMethod {
			if takes(c, m) {
				l.byMethod[m] = append(l.byMethod[m], c)
			}
		}
		if len(c.Match.Methods) == 0 {
			l.other = append(l.other, c)
		}
	}
	lists := [][]*compiled{l.other}
	for _, list := range l.byMethod {
		lists = append(lists, list)
	}
	for _, list := range lists {
		for i, c := range list {
			by := slices.IndexFunc(list[:i], func(o *compiled) bool { return o.covers(c) })
			if by < 0 {
				reached[c] = true
			}
			for _, o := range list[:i] {
				if rank(o, c) == 0 && !o.excludes(c) {
					errs = append(errs, &RouteError{o.Name, c.Name, "a request could match both, and nothing tells which is meant; give one an order"})
				}
			}
			if by >= 0 && rank(list[by], c) != 0 {
				hidden[c] = list[by]
			}
		}
	}
	return errs
}

// covers reports whether every request of c's host, path and method that meets c's conditions meets o's.
func (o *compiled) covers(c *compiled) bool {
	return implied(o.headers, c.headers) && implied(o.query, c.query)
}

func implied(weak, strong []condition) bool {
	for _, w := range weak {
		ok := slices.ContainsFunc(strong, func(s condition) bool {
			return s.Name == w.Name && (w.kind() == 0 || s.Condition == w.Condition || w.re != nil && s.Exact != "" && w.re.MatchString(s.Exact))
		})
		if !ok {
			return false
		}
	}
	return true
}

// excludes reports whether no request meets the conditions of both. A header or parameter that comes twice may meet two values;
// routes count as exclusive all the same, and the first in the order of their being given wins.
func (o *compiled) excludes(c *compiled) bool {
	differ := func(a, b []condition) bool {
		for _, x := range a {
			for _, y := range b {
				if x.Name != y.Name {
					continue
				}
				if x.Exact != "" && y.Exact != "" && x.Exact != y.Exact || x.Exact != "" && y.re != nil && !y.re.MatchString(x.Exact) ||
					y.Exact != "" && x.re != nil && !x.re.MatchString(y.Exact) {
					return true
				}
			}
		}
		return false
	}
	return differ(o.headers, c.headers) || differ(o.query, c.query)
}

// Request is what of a request the table goes by.
type Request struct {
	Host   string // as in the Host header, with a port or without
	Method string
	Target string                     // path and query, as they stand on the wire
	Header func(name string) []string // the values of a header, by its name in any case; nil: there is none
}

// MatchedRoute is the route of a request, and what was found of the request on the way.
type MatchedRoute struct {
	*Route
	parts map[string]string
	query url.Values
	q     *Request
}

// The reasons for which a request has no route.
var (
	ErrNoRoute = errors.New("no route matches")
	ErrTarget  = errors.New("the target cannot be read")
)

// MethodError tells that routes match the request but for its method.
type MethodError struct{ Allow []string }

// Error names the methods that would match.
func (e *MethodError) Error() string {
	return "the method is none of " + strings.Join(e.Allow, ", ")
}

// Find returns the route of q, or ErrNoRoute, a *MethodError or ErrTarget.
func (t *Table) Find(q *Request) (MatchedRoute, error) {
	path, query, _ := strings.Cut(q.Target, "?")
	segments, ok := split(path)
	if !ok {
		return MatchedRoute{}, ErrTarget
	}
	s := search{q: q, segments: segments, rawQuery: query}
	for n := range t.candidates(hostOf(q.Host)) {
		if s.walk(n, 0) {
			return s.found(), nil
		}
	}
	if len(s.allow) > 0 {
		slices.Sort(s.allow)
		return MatchedRoute{}, &MethodError{slices.Compact(s.allow)}
	}
	return MatchedRoute{}, ErrNoRoute
}

// hostOf is a host as the table has it: without port and final dot, in lower case.
func hostOf(h string) string {
	if name, _, err := net.SplitHostPort(h); err == nil {
		if strings.Contains(name, ":") {
			name = "[" + name + "]"
		}
		h = name
	}
	return strings.ToLower(strings.TrimSuffix(h, "."))
}

// candidates yields the trees that a host may be in, in the order of precedence.
func (t *Table) candidates(host string) func(func(*node) bool) {
	return func(yield func(*node) bool) {
		if n := t.exact[host]; n != nil && !yield(n) {
			return
		}
		_, rest, ok := strings.Cut(host, ".")
		if n := t.label[rest]; ok && n != nil && !yield(n) {
			return
		}
		for labels := 0; ok && len(t.suffix) > 0 && labels < 127; labels++ { // a name has at most 127 (RFC 1035, 2.3.4)
			if n := t.suffix[rest]; n != nil && !yield(n) {
				return
			}
			_, rest, ok = strings.Cut(rest, ".")
		}
		yield(t.any)
	}
}

// split splits a path into segments and undoes their escapes, so that an escaped slash stays within one.
func split(path string) ([]string, bool) {
	if path == "" || path[0] != '/' || strings.Count(path, "/") > MaxSegments {
		return nil, false
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		if strings.IndexByte(s, '%') >= 0 {
			plain, err := url.PathUnescape(s)
			if err != nil {
				return nil, false
			}
			segments[i] = plain
		}
	}
	return segments, true
}

// search is one look-up.
type search struct {
	q        *Request
	segments []string
	rawQuery string
	query    url.Values // parsed when it is first asked for
	route    *compiled
	allow    []string
}

// walk looks below n for a route of the segments from i on. Each node is met once at most, as it has one way to it.
func (s *search) walk(n *node, i int) bool {
	if i == len(s.segments) {
		return s.try(n.end) || s.try(n.rest)
	}
	if next := n.literals[s.segments[i]]; next != nil && s.walk(next, i+1) {
		return true
	}
	if n.part != nil && s.segments[i] != "" && s.walk(n.part, i+1) {
		return true
	}
	return s.try(n.rest)
}

// try looks for a route of a leaf that takes the method and whose conditions hold.
func (s *search) try(l *leaf) bool {
	if l == nil {
		return false
	}
	list, named := l.byMethod[s.q.Method]
	if !named {
		list = l.other
	}
	for _, c := range list {
		if s.holds(c) {
			s.route = c
			return true
		}
	}
	if len(list) == 0 {
		for _, c := range l.all {
			if s.holds(c) {
				s.allow = append(s.allow, c.Match.Methods...)
			}
		}
	}
	return false
}

func (s *search) holds(c *compiled) bool {
	for _, x := range c.headers {
		if s.q.Header == nil || !x.holds(s.q.Header(x.Name)) {
			return false
		}
	}
	if len(c.query) > 0 && s.query == nil {
		s.query, _ = url.ParseQuery(s.rawQuery) // what of it can be read
	}
	for _, x := range c.query {
		if !x.holds(s.query[x.Name]) {
			return false
		}
	}
	return true
}

func (s *search) found() MatchedRoute {
	f := MatchedRoute{Route: s.route.Route, q: s.q, query: s.query}
	for i, seg := range s.route.segments {
		if seg.name == "" {
			continue
		}
		if f.parts == nil {
			f.parts = map[string]string{}
		}
		if seg.rest {
			f.parts[seg.name] = strings.Join(s.segments[min(i, len(s.segments)):], "/")
		} else {
			f.parts[seg.name] = s.segments[i]
		}
	}
	return f
}

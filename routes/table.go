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

// maxRoutesPerPath limits the routes with the same host and path. They are compared in pairs when
// the table is built, and tried one by one on lookup.
const maxRoutesPerPath = 1000

// Table finds the route of a request. It is safe for concurrent use.
type Table struct {
	routes   []*compiledRoute
	exact    map[string]*node // path trees by host
	oneLabel map[string]*node // path trees by host without its first label
	suffix   map[string]*node // path trees by the end of the host
	any      *node            // path tree of the routes without a host
}

// node is a node in the path tree of one host pattern.
type node struct {
	literals map[string]*node // by segment
	capture  *node            // for a segment that is not empty
	rest     *leaf            // routes that capture all remaining segments
	end      *leaf            // routes whose path ends here
}

// leaf holds the routes with the same host and path.
type leaf struct {
	routes   []*compiledRoute            // in order of precedence
	byMethod map[string][]*compiledRoute // those that match a method, for methods that routes name
	other    []*compiledRoute            // those that match all other methods
}

// New builds a table. For invalid routes the error joins a *RouteError for each problem.
func New(list []Route) (*Table, error) {
	if len(list) > MaxRoutes {
		return nil, fmt.Errorf("%d routes, at most %d", len(list), MaxRoutes)
	}
	t := &Table{exact: map[string]*node{}, oneLabel: map[string]*node{}, suffix: map[string]*node{}, any: &node{}}
	var errs []error
	names := map[string]bool{}
	leaves := map[*leaf]bool{}
	for i := range list {
		r := list[i] // a copy, because the caller may change the list
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
		for _, n := range t.hostTrees(r.Match.Hosts) {
			l := n.leafFor(c.segments)
			l.routes = append(l.routes, c)
			leaves[l] = true
		}
	}
	reached := map[*compiledRoute]bool{}
	hidden := map[*compiledRoute]*compiledRoute{}
	for l := range leaves {
		errs = append(errs, l.finalize(reached, hidden)...)
	}
	for _, c := range t.routes {
		if by := hidden[c]; by != nil && !reached[c] {
			errs = append(errs, &RouteError{c.Name, by.Name, "no request reaches the first, because the second matches every request that it matches"})
		}
	}
	if len(errs) > 0 {
		slices.SortFunc(errs, func(a, b error) int { return cmp.Compare(a.Error(), b.Error()) })
		return nil, errors.Join(slices.CompactFunc(errs, func(a, b error) bool { return a.Error() == b.Error() })...)
	}
	return t, nil
}

// hostTrees returns the path trees of host patterns, which must be valid, and creates missing ones.
func (t *Table) hostTrees(patterns []string) []*node {
	if len(patterns) == 0 {
		return []*node{t.any}
	}
	var out []*node
	for _, p := range patterns {
		kind, name, _ := parseHostPattern(p)
		m := map[hostKind]map[string]*node{exactHost: t.exact, labelHost: t.oneLabel, suffixHost: t.suffix}[kind]
		if m[name] == nil {
			m[name] = &node{}
		}
		if !slices.Contains(out, m[name]) { // not another spelling of the same host
			out = append(out, m[name])
		}
	}
	return out
}

// leafFor returns the leaf of a path and creates missing nodes.
func (n *node) leafFor(path []segment) *leaf {
	for _, s := range path {
		switch {
		case s.rest:
			if n.rest == nil {
				n.rest = &leaf{}
			}
			return n.rest
		case s.name != "":
			if n.capture == nil {
				n.capture = &node{}
			}
			n = n.capture
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

// comparePrecedence orders two routes of a leaf by precedence. It returns 0 if precedence does not
// decide between them.
func comparePrecedence(a, b *compiledRoute) int {
	methods := func(c *compiledRoute) int {
		if n := len(c.Match.Methods); n > 0 {
			return n
		}
		return 1 << 20
	}
	count := func(c *compiledRoute, least int) (n int) {
		for _, list := range [][]compiledCondition{c.headers, c.query} {
			for _, x := range list {
				if x.specificity() >= least {
					n++
				}
			}
		}
		return n
	}
	return cmp.Or(cmp.Compare(methods(a), methods(b)), cmp.Compare(count(b, 0), count(a, 0)), cmp.Compare(count(b, 2), count(a, 2)),
		cmp.Compare(count(b, 1), count(a, 1)), cmp.Compare(a.Order, b.Order))
}

// finalize sorts the routes of a leaf and indexes them by method. It returns an error for each pair
// of routes that precedence does not decide between. It records in reached the routes that a
// request can reach, and in hidden, by route, another route that takes all its requests with some
// method.
func (l *leaf) finalize(reached map[*compiledRoute]bool, hidden map[*compiledRoute]*compiledRoute) (errs []error) {
	if len(l.routes) > maxRoutesPerPath {
		return []error{&RouteError{Route: l.routes[0].Name, Reason: fmt.Sprintf("%d routes share its host and path, at most %d are allowed", len(l.routes), maxRoutesPerPath)}}
	}
	slices.SortFunc(l.routes, func(a, b *compiledRoute) int { return cmp.Or(comparePrecedence(a, b), cmp.Compare(a.index, b.index)) })
	l.byMethod = map[string][]*compiledRoute{}
	for _, c := range l.routes {
		for _, m := range c.Match.Methods {
			l.byMethod[m] = nil
			if m == http.MethodGet {
				l.byMethod[http.MethodHead] = nil
			}
		}
	}
	matchesMethod := func(c *compiledRoute, m string) bool {
		return len(c.Match.Methods) == 0 || slices.Contains(c.Match.Methods, m) ||
			m == http.MethodHead && slices.Contains(c.Match.Methods, http.MethodGet) // as with http.ServeMux
	}
	for _, c := range l.routes {
		for m := range l.byMethod {
			if matchesMethod(c, m) {
				l.byMethod[m] = append(l.byMethod[m], c)
			}
		}
		if len(c.Match.Methods) == 0 {
			l.other = append(l.other, c)
		}
	}
	lists := [][]*compiledRoute{l.other}
	for _, list := range l.byMethod {
		lists = append(lists, list)
	}
	for _, list := range lists {
		for i, c := range list {
			by := slices.IndexFunc(list[:i], func(o *compiledRoute) bool { return o.covers(c) })
			if by < 0 {
				reached[c] = true
			}
			for _, o := range list[:i] {
				if comparePrecedence(o, c) == 0 && !o.disjoint(c) {
					errs = append(errs, &RouteError{o.Name, c.Name, "a request could match both, and nothing decides between them; give one an order"})
				}
			}
			if by >= 0 && comparePrecedence(list[by], c) != 0 {
				hidden[c] = list[by]
			}
		}
	}
	return errs
}

// covers reports whether every request that meets the conditions of c on headers and query also
// meets those of o.
func (o *compiledRoute) covers(c *compiledRoute) bool {
	return impliedBy(o.headers, c.headers) && impliedBy(o.query, c.query)
}

// impliedBy reports whether every request that meets the conditions strong also meets weak.
func impliedBy(weak, strong []compiledCondition) bool {
	for _, w := range weak {
		ok := slices.ContainsFunc(strong, func(s compiledCondition) bool {
			return s.Name == w.Name && (w.specificity() == 0 || s.Condition == w.Condition || w.re != nil && s.Exact != "" && w.re.MatchString(s.Exact))
		})
		if !ok {
			return false
		}
	}
	return true
}

// disjoint reports whether no request meets the conditions of both routes. A header or query
// parameter that occurs twice can meet both nevertheless; then the route that is listed first wins.
func (o *compiledRoute) disjoint(c *compiledRoute) bool {
	differ := func(a, b []compiledCondition) bool {
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

// Request holds the parts of a request that routing depends on.
type Request struct {
	Host   string // as in the Host header, with or without a port
	Method string
	Target string                     // path and query as sent on the wire
	Header func(name string) []string // the values of a header, by case-insensitive name; may be nil
}

// MatchedRoute is the route of a request with the values that were extracted from the request.
type MatchedRoute struct {
	*Route
	captures map[string]string
	query    url.Values
	request  *Request
}

// The errors of Find, besides *MethodError.
var (
	ErrNoRoute = errors.New("no route matches")
	ErrTarget  = errors.New("the target cannot be read")
)

// MethodError reports that routes match the request except for its method.
type MethodError struct{ Allow []string }

// Error returns a message with the methods that would match.
func (e *MethodError) Error() string {
	return "the method is none of " + strings.Join(e.Allow, ", ")
}

// Find returns the route of q. The error is ErrNoRoute, ErrTarget or a *MethodError.
func (t *Table) Find(q *Request) (MatchedRoute, error) {
	path, query, _ := strings.Cut(q.Target, "?")
	segments, ok := splitPath(path)
	if !ok {
		return MatchedRoute{}, ErrTarget
	}
	s := search{q: q, segments: segments, rawQuery: query}
	for n := range t.candidates(normalizeHost(q.Host)) {
		if s.walk(n, 0) {
			return s.result(), nil
		}
	}
	if len(s.allow) > 0 {
		slices.Sort(s.allow)
		return MatchedRoute{}, &MethodError{slices.Compact(s.allow)}
	}
	return MatchedRoute{}, ErrNoRoute
}

// normalizeHost returns a host in the form that the table uses: in lower case, without port and
// trailing dot.
func normalizeHost(h string) string {
	if name, _, err := net.SplitHostPort(h); err == nil {
		if strings.Contains(name, ":") {
			name = "[" + name + "]"
		}
		h = name
	}
	return strings.ToLower(strings.TrimSuffix(h, "."))
}

// candidates yields the path trees whose pattern matches host, in order of precedence.
func (t *Table) candidates(host string) func(func(*node) bool) {
	return func(yield func(*node) bool) {
		if n := t.exact[host]; n != nil && !yield(n) {
			return
		}
		_, rest, ok := strings.Cut(host, ".")
		if n := t.oneLabel[rest]; ok && n != nil && !yield(n) {
			return
		}
		// A name has at most 127 labels (RFC 1035, section 2.3.4).
		for labels := 0; ok && len(t.suffix) > 0 && labels < 127; labels++ {
			if n := t.suffix[rest]; n != nil && !yield(n) {
				return
			}
			_, rest, ok = strings.Cut(rest, ".")
		}
		yield(t.any)
	}
}

// splitPath splits a path into segments and then unescapes them, so that an escaped slash does not
// separate segments.
func splitPath(path string) ([]string, bool) {
	if path == "" || path[0] != '/' || strings.Count(path, "/") > MaxSegments {
		return nil, false
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		if strings.IndexByte(s, '%') >= 0 {
			unescaped, err := url.PathUnescape(s)
			if err != nil {
				return nil, false
			}
			segments[i] = unescaped
		}
	}
	return segments, true
}

// search is the state of one lookup.
type search struct {
	q        *Request
	segments []string
	rawQuery string
	query    url.Values // parsed on first use
	route    *compiledRoute
	allow    []string
}

// walk searches the subtree of n for a route that matches the segments from index i on. It visits
// each node at most once, because the nodes form a tree.
func (s *search) walk(n *node, i int) bool {
	if i == len(s.segments) {
		return s.tryLeaf(n.end) || s.tryLeaf(n.rest)
	}
	if next := n.literals[s.segments[i]]; next != nil && s.walk(next, i+1) {
		return true
	}
	if n.capture != nil && s.segments[i] != "" && s.walk(n.capture, i+1) {
		return true
	}
	return s.tryLeaf(n.rest)
}

// tryLeaf searches a leaf for a route that matches the method and whose conditions are met. If no
// route of the leaf matches the method, it records the methods that would match.
func (s *search) tryLeaf(l *leaf) bool {
	if l == nil {
		return false
	}
	list, named := l.byMethod[s.q.Method]
	if !named {
		list = l.other
	}
	for _, c := range list {
		if s.conditionsMet(c) {
			s.route = c
			return true
		}
	}
	if len(list) == 0 {
		for _, c := range l.routes {
			if s.conditionsMet(c) {
				s.allow = append(s.allow, c.Match.Methods...)
			}
		}
	}
	return false
}

// conditionsMet reports whether the request meets the conditions of c on headers and query.
func (s *search) conditionsMet(c *compiledRoute) bool {
	for _, x := range c.headers {
		if s.q.Header == nil || !x.matches(s.q.Header(x.Name)) {
			return false
		}
	}
	if len(c.query) > 0 && s.query == nil {
		s.query, _ = url.ParseQuery(s.rawQuery) // the parameters that can be parsed
	}
	for _, x := range c.query {
		if !x.matches(s.query[x.Name]) {
			return false
		}
	}
	return true
}

// result returns the route that was found, with its captures.
func (s *search) result() MatchedRoute {
	f := MatchedRoute{Route: s.route.Route, request: s.q, query: s.query}
	for i, seg := range s.route.segments {
		if seg.name == "" {
			continue
		}
		if f.captures == nil {
			f.captures = map[string]string{}
		}
		if seg.rest {
			f.captures[seg.name] = strings.Join(s.segments[min(i, len(s.segments)):], "/")
		} else {
			f.captures[seg.name] = s.segments[i]
		}
	}
	return f
}

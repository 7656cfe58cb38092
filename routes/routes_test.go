package routes

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillfront/policy"
)

// route returns a valid route with the options applied.
func route(name string, m Match, options ...func(*Route)) Route {
	r := Route{Name: name, Match: m, Class: "c", Pools: []WeightedPool{{"p", 1}}}
	for _, apply := range options {
		apply(&r)
	}
	return r
}

// order is an option of route that sets Order.
func order(n int) func(*Route) { return func(r *Route) { r.Order = n } }

// header returns a lookup function for headers that are given as names and values in turn.
func header(pairs ...string) func(string) []string {
	h := http.Header{}
	for i := 0; i+1 < len(pairs); i += 2 {
		h.Add(pairs[i], pairs[i+1])
	}
	return func(name string) []string { return h.Values(name) }
}

// TestPrecedence checks that the most specific route wins, whatever the order of the list is.
func TestPrecedence(t *testing.T) {
	list := []Route{
		route("anything", Match{}),
		route("below a", Match{Path: "/a/{rest...}"}),
		route("part", Match{Path: "/a/{id}"}),
		route("literal", Match{Path: "/a/b"}),
		route("part and literal", Match{Path: "/a/{id}/c"}),
		route("literal and part", Match{Path: "/a/b/{id}"}),
		route("posted", Match{Path: "/a/b", Methods: []string{"POST"}}),
		route("posted or put", Match{Path: "/a/b", Methods: []string{"POST", "PUT"}}),
		route("with a header", Match{Path: "/a/b", Headers: []Condition{{Name: "X-A"}}}),
		route("with its value", Match{Path: "/a/b", Headers: []Condition{{Name: "x-a", Exact: "1"}}}),
		route("with a pattern", Match{Path: "/a/b", Headers: []Condition{{Name: "X-A", Pattern: "2|3"}}}),
		route("with a query", Match{Path: "/a/b", Headers: []Condition{{Name: "X-A", Exact: "1"}}, Query: []Condition{{Name: "q", Exact: "x y"}}}),
		route("host", Match{Hosts: []string{"A.example.org."}}),
		route("host's literal", Match{Hosts: []string{"a.example.org"}, Path: "/a/b"}),
		route("label", Match{Hosts: []string{"*.example.org"}}),
		route("suffix", Match{Hosts: []string{"**.example.org"}}),
		route("longer suffix", Match{Hosts: []string{"**.b.example.org"}}),
		route("v6", Match{Hosts: []string{"[2001:db8::1]"}}),
		route("slash", Match{Path: "/s/"}),
		route("no slash", Match{Path: "/s"}),
	}
	for range 3 {
		slices.Reverse(list)
		slices.SortStableFunc(list, func(a, b Route) int { return len(a.Name)%5 - len(b.Name)%5 })
		table, err := New(list)
		if err != nil {
			t.Fatal(err)
		}
		for _, tt := range []struct {
			method, host, target, want string
			header                     func(string) []string
		}{
			{"GET", "x", "/", "anything", nil}, {"GET", "x", "/a", "below a", nil}, {"GET", "x", "/a/", "below a", nil},
			{"GET", "x", "/a/x", "part", nil}, {"GET", "x", "/a/b", "literal", nil}, {"HEAD", "x", "/a/b", "literal", nil},
			{"GET", "x", "/a/%62", "literal", nil}, {"GET", "x", "/a%2Fb", "anything", nil}, {"GET", "x", "/a/b%2Fc", "part", nil},
			{"GET", "x", "/a/b/c", "literal and part", nil}, {"GET", "x", "/a/x/c", "part and literal", nil}, {"GET", "x", "/a//c", "below a", nil},
			{"GET", "x", "/a/x/d", "below a", nil}, {"POST", "x", "/a/b", "posted", nil}, {"PUT", "x", "/a/b", "posted or put", nil},
			{"GET", "x", "/a/b", "with a header", header("X-A", "")}, {"GET", "x", "/a/b", "with its value", header("X-A", "1")},
			{"GET", "x", "/a/b", "with a pattern", header("X-A", "3")}, {"GET", "x", "/a/b", "with a header", header("X-A", "33")},
			{"GET", "x", "/a/b?q=x+y", "with a query", header("X-A", "1")}, {"GET", "x", "/a/b?q=xy", "with its value", header("X-A", "1")},
			{"GET", "a.example.org", "/z", "host", nil}, {"GET", "A.EXAMPLE.org.:8080", "/z", "host", nil}, {"GET", "a.example.org", "/a/b", "host's literal", nil},
			{"GET", "b.example.org", "/a/b", "label", nil}, {"GET", "c.b.example.org", "/", "longer suffix", nil}, {"GET", "d.c.b.example.org", "/", "longer suffix", nil},
			{"GET", "c.c.example.org", "/", "suffix", nil}, {"GET", "example.org", "/", "anything", nil}, {"GET", "[2001:db8::1]:80", "/", "v6", nil},
			{"GET", "[2001:db8::1]", "/", "v6", nil}, {"GET", "x", "/s", "no slash", nil}, {"GET", "x", "/s/", "slash", nil}, {"GET", "x", "/s/t", "anything", nil},
		} {
			got, err := table.Find(&Request{Host: tt.host, Method: tt.method, Target: tt.target, Header: tt.header})
			if err != nil || got.Name != tt.want {
				t.Errorf("%s %s%s: %v, %v; want %s", tt.method, tt.host, tt.target, got.Route, err, tt.want)
			}
		}
	}
}

// TestNoRoute checks that Find distinguishes a request without a route, a request with a method
// that no route matches, and an invalid target.
func TestNoRoute(t *testing.T) {
	table, err := New([]Route{route("a", Match{Path: "/a", Methods: []string{"GET", "PUT"}}), route("b", Match{Path: "/{x}", Methods: []string{"POST"}, Headers: []Condition{{Name: "X-B"}}})})
	if err != nil {
		t.Fatal(err)
	}
	find := func(method, target string, h func(string) []string) error {
		_, err := table.Find(&Request{Host: "s", Method: method, Target: target, Header: h})
		return err
	}
	var methodErr *MethodError
	if err := find("DELETE", "/a", header("X-B", "1")); !errors.As(err, &methodErr) || strings.Join(methodErr.Allow, " ") != "GET POST PUT" {
		t.Errorf("error %v, want a MethodError for GET, POST and PUT", err)
	}
	if err := find("DELETE", "/a", nil); !errors.As(err, &methodErr) || strings.Join(methodErr.Allow, " ") != "GET PUT" {
		t.Errorf("error %v, want a MethodError for GET and PUT", err)
	}
	if err := find("GET", "/b/c", nil); !errors.Is(err, ErrNoRoute) {
		t.Errorf("error %v, want ErrNoRoute", err)
	}
	for _, target := range []string{"", "a", "*", "/%", "/%zz", strings.Repeat("/a", MaxSegments+1)} {
		if err := find("GET", target, nil); !errors.Is(err, ErrTarget) {
			t.Errorf("%.20s: error %v, want ErrTarget", target, err)
		}
	}
}

// TestInvalidRoutes checks the errors for invalid routes, which name both routes of a conflict.
func TestInvalidRoutes(t *testing.T) {
	get := []string{"GET"}
	for _, tt := range []struct {
		name string
		list []Route
		want string
	}{
		{"the same match", []Route{route("one", Match{Path: "/a"}), route("two", Match{Path: "/a"})}, `routes "one" and "two": a request could match both`},
		{"the same match with other names of captures", []Route{route("one", Match{Path: "/{a}"}), route("two", Match{Path: "/{b}"})}, `"one" and "two"`},
		{"one host in common", []Route{route("one", Match{Hosts: []string{"a", "b"}}), route("two", Match{Hosts: []string{"B.", "c"}})}, `"one" and "two"`},
		{"conditions that can both be met", []Route{route("one", Match{Headers: []Condition{{Name: "a"}}}), route("two", Match{Headers: []Condition{{Name: "b"}}})}, `"one" and "two"`},
		{"hidden by an order", []Route{route("one", Match{Path: "/a"}, order(1)), route("two", Match{Path: "/a"})}, `routes "one" and "two": no request reaches the first`},
		{"hidden by two", []Route{route("one", Match{Methods: []string{"GET", "PUT"}}), route("two", Match{Methods: []string{"GET"}}), route("three", Match{Methods: []string{"PUT"}})}, `no request reaches the first`},
		{"hidden by a pattern", []Route{route("one", Match{Headers: []Condition{{Name: "a", Pattern: "x+"}}}, order(1)), route("two", Match{Headers: []Condition{{Name: "a", Pattern: "x+"}}})}, "no request reaches the first"},
		{"a duplicate name", []Route{route("one", Match{Path: "/a"}), route("one", Match{Path: "/b"})}, "the name is there twice"},
		{"no name", []Route{route("", Match{})}, "no name"},
		{"no slash", []Route{route("one", Match{Path: "a"})}, "slash"},
		{"a rest capture in the middle", []Route{route("one", Match{Path: "/{a...}/b"})}, "not at the end"},
		{"a duplicate capture", []Route{route("one", Match{Path: "/{a}/{a}"})}, "twice"},
		{"a literal with a capture in one segment", []Route{route("one", Match{Path: "/a{b}"})}, "neither"},
		{"a dot segment", []Route{route("one", Match{Path: "/a/../b"})}, "dot"},
		{"a host with a port", []Route{route("one", Match{Hosts: []string{"a:80"}})}, "port"},
		{"a wildcard inside a host", []Route{route("one", Match{Hosts: []string{"a.*.b"}})}, "want a name"},
		{"a method of two words", []Route{route("one", Match{Methods: []string{"GET PUT"}})}, "is none"},
		{"an invalid pattern", []Route{route("one", Match{Headers: []Condition{{Name: "a", Pattern: "("}}})}, "missing closing"},
		{"a value and a pattern", []Route{route("one", Match{Query: []Condition{{Name: "a", Exact: "x", Pattern: "x"}}})}, "both"},
		{"no pool", []Route{route("one", Match{}, func(r *Route) { r.Pools = nil })}, "no pool"},
		{"no weight", []Route{route("one", Match{}, func(r *Route) { r.Pools = []WeightedPool{{"a", 0}} })}, "no weight"},
		{"an invalid weight", []Route{route("one", Match{}, func(r *Route) { r.Pools = []WeightedPool{{"a", math.NaN()}} })}, "weight"},
		{"a key from an unknown capture", []Route{route("one", Match{Path: "/{a}"}, func(r *Route) { r.Key = []ValueSource{{Path: "b"}} })}, "no part {b}"},
		{"a key source with two fields", []Route{route("one", Match{}, func(r *Route) { r.Key = []ValueSource{{Header: "a", Query: "b"}} })}, "2 sources"},
	} {
		_, err := New(tt.list)
		var routeErr *RouteError
		if !errors.As(err, &routeErr) || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v, want %s", tt.name, err, tt.want)
		}
	}
	if _, err := New([]Route{
		route("one", Match{Headers: []Condition{{Name: "a", Exact: "1"}}}), route("two", Match{Headers: []Condition{{Name: "a", Exact: "2"}}}),
		route("three", Match{Headers: []Condition{{Name: "b", Exact: "2"}}}, order(1)), route("get", Match{Methods: get}), route("any", Match{}),
	}); err != nil {
		t.Errorf("disjoint routes: %v", err)
	}
}

// TestRequestValues checks the key, the tenant and the effect of requests.
func TestRequestValues(t *testing.T) {
	table, err := New([]Route{route("one", Match{Path: "/farms/{farm}/{rest...}"}, func(r *Route) {
		r.Key, r.Tenant, r.TrustIdempotencyKey = []ValueSource{{Path: "farm"}, {Query: "outlet"}, {Header: "X-Group"}}, []ValueSource{{Header: "X-Group"}}, true
	})})
	if err != nil {
		t.Fatal(err)
	}
	q := Request{Method: "POST", Target: "/farms/a%2Fb/x/y?outlet=7", Header: header("x-group", "g")}
	f, err := table.Find(&q)
	if err != nil || f.RequestKey() != "3:a/b1:71:g" || f.RequestTenant() != "g" || f.captures["rest"] != "x/y" {
		t.Errorf("key %q, tenant %q, captures %q, error %v", f.RequestKey(), f.RequestTenant(), f.captures, err)
	}
	for method, want := range map[string][2]policy.Effect{
		"GET": {policy.Safe, policy.Safe}, "PUT": {policy.Safe, policy.Safe}, "DELETE": {policy.Safe, policy.Safe},
		"POST": {policy.Unsafe, policy.Keyed}, "PATCH": {policy.Unsafe, policy.Keyed}, "NOVEL": {policy.Unsafe, policy.Unsafe},
	} {
		q.Method = method
		f, err := table.Find(&q)
		if err != nil || f.RequestEffect(false) != want[0] || f.RequestEffect(true) != want[1] {
			t.Errorf("%s: %v and %v, %v; want %v", method, f.RequestEffect(false), f.RequestEffect(true), err, want)
		}
	}
}

// TestFindAgainstLinearScan checks that the tree finds the same route as a linear scan of the list.
func TestFindAgainstLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		paths := []string{"", "/a", "/a/b", "/{x}", "/a/{x}", "/{x}/b", "/a/{x...}", "/{x...}", "/a/b/c", "/{x}/{y}/c", "/"}
		hosts := []string{"", "a.b", "*.b", "**.b"}
		var list []Route
		for i := range rapid.IntRange(1, 12).Draw(t, "routes") {
			m := Match{Path: rapid.SampledFrom(paths).Draw(t, "path")}
			if h := rapid.SampledFrom(hosts).Draw(t, "host"); h != "" {
				m.Hosts = []string{h}
			}
			if v := rapid.SampledFrom([]string{"", "GET", "POST"}).Draw(t, "method"); v != "" {
				m.Methods = []string{v}
			}
			list = append(list, route(fmt.Sprint(i), m, order(i)))
		}
		var table *Table
		for { // remove unreachable routes
			var err error
			if table, err = New(list); err == nil {
				break
			}
			var routeErr *RouteError
			if !errors.As(err, &routeErr) {
				t.Fatal(err)
			}
			list = slices.DeleteFunc(list, func(r Route) bool { return r.Name == routeErr.Route })
		}
		q := Request{
			Host:   rapid.SampledFrom([]string{"a.b", "c.b", "d.c.b", "b", "e"}).Draw(t, "request host"),
			Method: rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "request method"),
			Target: rapid.SampledFrom([]string{"/", "/a", "/b", "/a/b", "/b/b", "/a/c", "/a/b/c", "/x/y/c", "/a/b/d", "//b"}).Draw(t, "request path"),
		}
		var best *Route
		for i := range list {
			if matches(&list[i], &q) && (best == nil || before(&list[i], best, &q)) {
				best = &list[i]
			}
		}
		got, err := table.Find(&q)
		if best == nil && err == nil || best != nil && (err != nil || got.Name != best.Name) {
			t.Fatalf("%+v: %+v, %v; want %+v", q, got.Route, err, best)
		}
	})
}

// matches, hostMatches and before implement the rules again without a tree. They support the
// subset of patterns that TestFindAgainstLinearScan generates.

// matches reports whether r matches q.
func matches(r *Route, q *Request) bool {
	if len(r.Match.Methods) > 0 && r.Match.Methods[0] != q.Method || len(r.Match.Hosts) > 0 && !hostMatches(r.Match.Hosts[0], q.Host) {
		return false
	}
	path, _ := parsePath(r.Match.Path)
	segments := strings.Split(q.Target[1:], "/")
	for i, s := range path {
		if s.rest {
			return true
		}
		if i >= len(segments) || s.name == "" && s.literal != segments[i] || s.name != "" && segments[i] == "" {
			return false
		}
	}
	return len(path) == len(segments)
}

// hostMatches reports whether a host pattern matches host.
func hostMatches(pattern, host string) bool {
	if name, ok := strings.CutPrefix(pattern, "**."); ok {
		return strings.HasSuffix(host, "."+name)
	}
	if name, ok := strings.CutPrefix(pattern, "*."); ok {
		_, rest, _ := strings.Cut(host, ".")
		return rest == name
	}
	return pattern == host
}

// before reports whether a takes precedence over b.
func before(a, b *Route, q *Request) bool {
	key := func(r *Route) string {
		host := byte('9')
		if len(r.Match.Hosts) > 0 {
			host = map[int]byte{0: '0', 1: '1', 2: '2'}[strings.Count(r.Match.Hosts[0], "*")]
		}
		text := string(host)
		path, _ := parsePath(r.Match.Path)
		for _, s := range path {
			switch {
			case s.rest:
				text += "2"
			case s.name != "":
				text += "1"
			default:
				text += "0"
			}
		}
		for len(text) < 8 {
			text += "0" // a path that ends takes precedence over a rest capture
		}
		if len(r.Match.Methods) > 0 {
			return text + "0" + fmt.Sprintf("%05d", r.Order)
		}
		return text + "1" + fmt.Sprintf("%05d", r.Order)
	}
	return key(a) < key(b)
}

// TestSplitter checks that the shares follow the weights, that no more keys than necessary move
// when the weights change, and that a sticky key never changes its pool within its window.
func TestSplitter(t *testing.T) {
	const keys, window = 20_000, time.Minute
	pools := func(canary float64) []WeightedPool {
		return []WeightedPool{{"stable", 100 - canary}, {"canary", canary}}
	}
	unpinned, err := NewSplitter(pools(0), 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	sticky, err := NewSplitter(pools(0), window, keys)
	if err != nil {
		t.Fatal(err)
	}
	where, last := map[int]string{}, map[int]string{}
	now := time.Duration(0)
	for _, share := range []float64{0, 1, 10, 50, 100} {
		unpinned.SetWeights(pools(share))
		sticky.SetWeights(pools(share))
		now += 10 * time.Second
		moved, canary := 0, 0
		for k := range keys {
			key := fmt.Sprint("farm-", k)
			pool := unpinned.Pick(now, key, false, nil)
			if pool == "canary" {
				canary++
			}
			if where[k] != "" && where[k] != pool {
				moved++
				if pool != "canary" {
					t.Fatalf("%s moved to the pool whose weight decreased", key)
				}
			}
			where[k] = pool
			got := sticky.Pick(now, key, true, nil)
			if last[k] != "" && got != last[k] {
				t.Fatalf("%s went to %s and %s within its window", key, last[k], got)
			}
			last[k] = got
		}
		if got := float64(canary) / keys; math.Abs(got-share/100) > 0.015 {
			t.Errorf("weight %v: share %.3f", share, got)
		}
		t.Logf("canary at %v of 100: %d of %d keys moved", share, moved, keys)
	}
	if sticky.PinnedKeys() != keys || sticky.EarlyEvictions() != 0 {
		t.Errorf("%d keys pinned, %d evicted early", sticky.PinnedKeys(), sticky.EarlyEvictions())
	}
	if got := sticky.Pick(now+window+1, "farm-1", true, nil); got != "canary" || sticky.PinnedKeys() != 1 {
		t.Errorf("after the window: %s, %d keys pinned", got, sticky.PinnedKeys())
	}
	down := func(pool string) bool { return pool != "canary" }
	if got := sticky.Pick(now+window+2, "farm-1", true, down); got != "canary" {
		t.Errorf("a sticky key whose pool is not ready went to %q", got)
	}
	if got := sticky.Pick(now+window+2, "farm-2", false, down); got != "" {
		t.Errorf("no pool with a weight is ready, and the key went to %q", got)
	}
	small, err := NewSplitter(pools(50), window, 10)
	if err != nil {
		t.Fatal(err)
	}
	for k := range 25 {
		small.Pick(0, fmt.Sprint(k), true, nil)
	}
	if small.PinnedKeys() != 10 || small.EarlyEvictions() != 15 {
		t.Errorf("%d keys pinned, %d evicted early", small.PinnedKeys(), small.EarlyEvictions())
	}
}

// BenchmarkFind compares Find with http.ServeMux.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		var list []Route
		mux := http.NewServeMux()
		for i := range n {
			path := fmt.Sprintf("/service-%d/{id}/orders/{order}", i)
			list = append(list, route(fmt.Sprint(i), Match{Path: path, Methods: []string{"GET"}}))
			mux.HandleFunc("GET "+path, func(http.ResponseWriter, *http.Request) {})
		}
		table, err := New(list)
		if err != nil {
			b.Fatal(err)
		}
		target := fmt.Sprintf("/service-%d/farm-7/orders/12345", n/2)
		b.Run(fmt.Sprintf("table/routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.Find(&Request{Host: "s", Method: "GET", Target: target}); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("mux/routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			q, _ := http.NewRequest("GET", "http://s"+target, nil)
			for b.Loop() {
				if _, pattern := mux.Handler(q); pattern == "" {
					b.Fatal("no pattern")
				}
			}
		})
	}
}

// TestSlowPattern guards against patterns that are slow in backtracking engines, which would not
// come to an end here. RE2 takes time linear in the length of the value: a value twice as long does
// not take four times as long.
func TestSlowPattern(t *testing.T) {
	table, err := New([]Route{route("slow", Match{Headers: []Condition{{Name: "X", Pattern: "(a*)*(a|aa)+b"}}}), route("other", Match{})})
	if err != nil {
		t.Fatal(err)
	}
	for n, want := range map[string]string{strings.Repeat("a", 8000): "other", strings.Repeat("a", 8000) + "b": "slow"} {
		if got, err := table.Find(&Request{Host: "h", Method: "GET", Target: "/", Header: header("X", n)}); err != nil || got.Name != want {
			t.Errorf("%v, %v; want %s", got.Route, err, want)
		}
	}
}

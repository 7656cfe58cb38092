package config

import (
	"fmt"
	"strings"
	"time"

	"quillfront/routes"
)

// routeTable is a table [[routes]] of the operator's file.
type routeTable struct {
	Name     string             `toml:"name"`
	Hosts    []string           `toml:"hosts"`
	Methods  []string           `toml:"methods"`
	Path     string             `toml:"path"`
	Headers  []conditionTable   `toml:"headers"`
	Query    []conditionTable   `toml:"query"`
	Order    int                `toml:"order"`
	Class    string             `toml:"class"`
	Pool     string             `toml:"pool"`
	Split    map[string]float64 `toml:"split"`
	Override string             `toml:"override_header"`
	Fallback string             `toml:"fallback_pool"`
	Key      []string           `toml:"key"`
	Tenant   []string           `toml:"tenant"`
	Timeout  duration           `toml:"timeout"`
	Effect   string             `toml:"effect"`
	TrustKey bool               `toml:"trust_idempotency_key"`
	Answers  answersTable       `toml:"answers"`
}

// answersTable classifies the answers of servers.
type answersTable struct {
	Failure    []string `toml:"failure"`
	NotRun     []string `toml:"not_run"`
	Mark       string   `toml:"mark"`
	Bare       bool     `toml:"bare"`
	RetryAfter string   `toml:"retry_after"`
}

// answers converts the table. With an error it also returns the key at fault.
func (t *answersTable) answers() (routes.ResponseRules, string, error) {
	a := routes.ResponseRules{NotRunHeader: t.Mark, NotRunByStatus: t.Bare}
	var err error
	if a.Failure, err = routes.ParseStatuses(t.Failure); err != nil {
		return a, "answers.failure", err
	}
	if a.NotRun, err = routes.ParseStatuses(t.NotRun); err != nil {
		return a, "answers.not_run", err
	}
	switch t.RetryAfter {
	case "", "tell":
	case "avoid":
		a.RetryAfter = routes.AvoidServer
	default:
		return a, "answers.retry_after", fmt.Errorf("%q is neither tell nor avoid", t.RetryAfter)
	}
	return a, "", nil
}

// conditionTable is a condition on a header or a query parameter. A name without a value requires
// only that it is present.
type conditionTable struct {
	Name    string `toml:"name"`
	Exact   string `toml:"exact"`
	Pattern string `toml:"pattern"`
}

// routeEffects maps the values of the key effect; by-method is the default.
var routeEffects = map[string]routes.Effect{
	"": routes.ByMethod, "by-method": routes.ByMethod, "safe": routes.Safe, "keyed": routes.Keyed, "unsafe": routes.Unsafe,
}

// route converts the table with index i. An error names the route and the key.
func (t *routeTable) route(i int) (routes.Route, error) {
	fail := func(key, format string, args ...any) (routes.Route, error) {
		name := t.Name
		if name == "" {
			name = fmt.Sprintf("number %d", i+1)
		}
		return routes.Route{}, fmt.Errorf("[[routes]] %s: %s: %s", name, key, fmt.Sprintf(format, args...))
	}
	effect, known := routeEffects[t.Effect]
	switch {
	case !known:
		return fail("effect", "%q is not one of by-method, safe, keyed and unsafe", t.Effect)
	case t.Pool == "" && len(t.Split) == 0:
		return fail("pool", "neither pool nor split is set")
	case t.Pool != "" && len(t.Split) > 0:
		return fail("split", "both pool and split are set")
	case t.Timeout < 0:
		return fail("timeout", "%v is negative", time.Duration(t.Timeout))
	}
	r := routes.Route{
		Name:  t.Name,
		Match: routes.Match{Hosts: t.Hosts, Methods: t.Methods, Path: t.Path, Headers: conditions(t.Headers), Query: conditions(t.Query)},
		Order: t.Order, Class: t.Class, Override: t.Override, Fallback: t.Fallback, Timeout: time.Duration(t.Timeout),
		Effect: effect, TrustIdempotencyKey: t.TrustKey,
	}
	var err error
	var key string
	if r.ResponseRules, key, err = t.Answers.answers(); err != nil {
		return fail(key, "%v", err)
	}
	if t.Pool != "" {
		r.Pools = []routes.WeightedPool{{Pool: t.Pool, Weight: 1}}
	}
	for _, pool := range sortedKeys(t.Split) {
		r.Pools = append(r.Pools, routes.WeightedPool{Pool: pool, Weight: t.Split[pool]})
	}
	for key, from := range map[string][]string{"key": t.Key, "tenant": t.Tenant} {
		for _, text := range from {
			p, err := parseValueSource(text)
			if err != nil {
				return fail(key, "%v", err)
			}
			if key == "key" {
				r.Key = append(r.Key, p)
			} else {
				r.Tenant = append(r.Tenant, p)
			}
		}
	}
	return r, nil
}

// conditions converts tables of conditions.
func conditions(tables []conditionTable) (list []routes.Condition) {
	for _, c := range tables {
		list = append(list, routes.Condition(c))
	}
	return list
}

// parseValueSource parses the source of a value: "path:NAME", "header:NAME" or "query:NAME".
func parseValueSource(text string) (routes.ValueSource, error) {
	from, name, ok := strings.Cut(text, ":")
	if ok && name != "" {
		switch from {
		case "path":
			return routes.ValueSource{Path: name}, nil
		case "header":
			return routes.ValueSource{Header: name}, nil
		case "query":
			return routes.ValueSource{Query: name}, nil
		}
	}
	return routes.ValueSource{}, fmt.Errorf("%q is not one of path:NAME, header:NAME and query:NAME", text)
}

package routes

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"quillfront/policy"
)

// ExplainLine is one named line of the output of Explain.
type ExplainLine struct{ Name, Text string }

// Explain describes how the request is handled and why its route was chosen. keyed says whether it
// has an Idempotency-Key header.
func (f *MatchedRoute) Explain(keyed bool) []ExplainLine {
	lines := []ExplainLine{{"route", f.Name}, {"because", f.reason()}, {"class", f.Class}}
	var pools []string
	sum := 0.0
	for _, p := range f.Pools {
		sum += p.Weight
	}
	for _, p := range f.Pools {
		if len(f.Pools) == 1 {
			pools = append(pools, p.Pool)
			continue
		}
		pools = append(pools, fmt.Sprintf("%s (%.3g of 100)", p.Pool, 100*p.Weight/sum))
	}
	lines = append(lines, ExplainLine{"pool", strings.Join(pools, ", ")})
	if f.Override != "" {
		lines = append(lines, ExplainLine{"override", "by the header " + f.Override})
	}
	if f.Fallback != "" {
		lines = append(lines, ExplainLine{"fallback", f.Fallback})
	}
	if len(f.Route.Key) > 0 {
		lines = append(lines, ExplainLine{"key", fmt.Sprintf("%q", f.RequestKey())})
	}
	if len(f.Route.Tenant) > 0 {
		lines = append(lines, ExplainLine{"tenant", fmt.Sprintf("%q", f.RequestTenant())})
	}
	effects := map[policy.Effect]string{
		policy.Safe:   "safe: may be sent again",
		policy.Keyed:  "keyed: may be sent again where and while servers drop repeats",
		policy.Unsafe: "unsafe: is sent once, unless it is proven not to have run",
	}
	lines = append(lines, ExplainLine{"effect", effects[f.RequestEffect(keyed)]})
	proof := "alone"
	if f.ResponseRules.NotRunHeader != "" {
		proof = "with " + f.ResponseRules.NotRunHeader
	}
	lines = append(lines, ExplainLine{"answers", fmt.Sprintf("%v are failures of the server, %v prove %s that nothing ran, all others are final",
		f.ResponseRules.Failure, f.ResponseRules.NotRun, proof)})
	if f.Timeout > 0 {
		lines = append(lines, ExplainLine{"timeout", f.Timeout.String()})
	}
	return lines
}

// reason describes the conditions of the route that the request meets.
func (f *MatchedRoute) reason() string {
	var parts []string
	if len(f.Match.Hosts) > 0 {
		parts = append(parts, "the host is "+strings.Join(f.Match.Hosts, " or "))
	}
	if len(f.Match.Methods) > 0 {
		parts = append(parts, "the method is "+strings.Join(f.Match.Methods, " or "))
	}
	if f.Match.Path != "" {
		text := "the path matches " + f.Match.Path
		names := make([]string, 0, len(f.captures))
		for name := range f.captures {
			names = append(names, name)
		}
		slices.SortFunc(names, cmp.Compare)
		for _, name := range names {
			text += fmt.Sprintf(", %s is %q", name, f.captures[name])
		}
		parts = append(parts, text)
	}
	say := func(what string, list []Condition) {
		for _, c := range list {
			switch c.specificity() {
			case 2:
				parts = append(parts, fmt.Sprintf("the %s %s is %q", what, c.Name, c.Exact))
			case 1:
				parts = append(parts, fmt.Sprintf("the %s %s matches %s", what, c.Name, c.Pattern))
			default:
				parts = append(parts, fmt.Sprintf("the %s %s is there", what, c.Name))
			}
		}
	}
	say("header", f.Match.Headers)
	say("parameter", f.Match.Query)
	if len(parts) == 0 {
		return "it takes what no other route does"
	}
	return strings.Join(parts, "; ")
}

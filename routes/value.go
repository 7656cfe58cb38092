package routes

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"quillfront/policy"
)

// sourceValue returns the value that p selects from the request.
func (f *MatchedRoute) sourceValue(p ValueSource) string {
	switch {
	case p.Path != "":
		return f.captures[p.Path]
	case p.Header != "":
		if f.request.Header == nil {
			return ""
		}
		return strings.Join(f.request.Header(p.Header), ",")
	}
	if f.query == nil {
		_, raw, _ := strings.Cut(f.request.Target, "?")
		f.query, _ = url.ParseQuery(raw)
	}
	return strings.Join(f.query[p.Query], ",")
}

// combine joins the values of several sources. It prefixes each with its length, so that different
// lists of values never give the same result. A single value stays as it is.
func (f *MatchedRoute) combine(parts []ValueSource) string {
	if len(parts) == 1 {
		return f.sourceValue(parts[0])
	}
	var b strings.Builder
	for _, p := range parts {
		v := f.sourceValue(p)
		b.WriteString(strconv.Itoa(len(v)))
		b.WriteByte(':')
		b.WriteString(v)
	}
	return b.String()
}

// RequestKey returns the key of the request by the route's Key, or "" if the route has none.
func (f *MatchedRoute) RequestKey() string { return f.combine(f.Route.Key) }

// RequestTenant returns the tenant of the request by the route's Tenant, or "" if the route has
// none.
func (f *MatchedRoute) RequestTenant() string { return f.combine(f.Route.Tenant) }

// RequestEffect returns the effect of the request, which decides whether it may be retried. keyed
// says whether it has an Idempotency-Key header.
func (f *MatchedRoute) RequestEffect(keyed bool) policy.Effect {
	switch f.Route.Effect {
	case Safe:
		return policy.Safe
	case Keyed:
		if keyed {
			return policy.Keyed
		}
		return policy.Unsafe
	case Unsafe:
		return policy.Unsafe
	}
	switch f.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return policy.Safe
	case http.MethodPost, http.MethodPatch:
		if keyed && f.Route.TrustIdempotencyKey {
			return policy.Keyed
		}
	}
	return policy.Unsafe
}

package routes

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"quillfront/policy"
)

// sourceValue takes a part of the request.
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

// combine takes several parts together, so that no two lists of values give one and the same.
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

// RequestKey is what the request is about, by the route's Key; empty without one.
func (f *MatchedRoute) RequestKey() string { return f.combine(f.Route.Key) }

// RequestTenant is whose the request is, by the route's Tenant.
func (f *MatchedRoute) RequestTenant() string { return f.combine(f.Route.Tenant) }

// RequestEffect says what repeating the request may do. keyed tells whether it has an Idempotency-Key.
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

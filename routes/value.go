package routes

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"quillfront/policy"
)

// value takes a part of the request.
func (f *MatchedRoute) value(p ValueSource) string {
	switch {
	case p.Path != "":
		return f.parts[p.Path]
	case p.Header != "":
		if f.q.Header == nil {
			return ""
		}
		return strings.Join(f.q.Header(p.Header), ",")
	}
	if f.query == nil {
		_, raw, _ := strings.Cut(f.q.Target, "?")
		f.query, _ = url.ParseQuery(raw)
	}
	return strings.Join(f.query[p.Query], ",")
}

// join takes several parts together, so that no two lists of values give one and the same.
func (f *MatchedRoute) join(parts []ValueSource) string {
	if len(parts) == 1 {
		return f.value(parts[0])
	}
	var b strings.Builder
	for _, p := range parts {
		v := f.value(p)
		b.WriteString(strconv.Itoa(len(v)))
		b.WriteByte(':')
		b.WriteString(v)
	}
	return b.String()
}

// RequestKey is what the request is about, by the route's Key; empty without one.
func (f *MatchedRoute) RequestKey() string { return f.join(f.Route.Key) }

// RequestTenant is whose the request is, by the route's Tenant.
func (f *MatchedRoute) RequestTenant() string { return f.join(f.Route.Tenant) }

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
	switch f.q.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return policy.Safe
	case http.MethodPost, http.MethodPatch:
		if keyed && f.Route.TrustIdempotencyKey {
			return policy.Keyed
		}
	}
	return policy.Unsafe
}

package httpcall

import (
	"testing"

	"quillfront/internal/httpmsg"
)

// TestDecodePath checks that DecodePath rejects paths whose class a server could read differently.
func TestDecodePath(t *testing.T) {
	for target, want := range map[string]string{
		"/read/k": "read/k", "/read": "read", "/read?a=/../b": "read", "/re%61d/k": "read/k", "/read//k": "read//k",
		"/read/a%2Fb": "read/a/b", "/read/a%5cb%00": "read/a\\b\x00", "/read/...": "read/...", "/read/a.b/..c": "read/a.b/..c",
		"/read/k;v=1": "read/k;v=1", "/read/%252e%252e/k": "read/%2e%2e/k", "/": "", "//read/k": "/read/k",
	} {
		if got, err := DecodePath(target); err != nil || got != want {
			t.Errorf("DecodePath(%q) = %q, %v; want %q", target, got, err, want)
		}
	}
	for _, target := range []string{
		"", "read/k", "*", "http://s/read/k", "/read/../order/k", "/read/%2e%2E/order/k", "/read/.%2e/order/k", "/read%2f..%2forder%2fk",
		"/read/x%2f..%2f..%2forder/k", "/read/..", "/read/.", "/./read/k", "/../read/k", "/read/..;/order/k", "/read/..%3bx/order/k",
		"/read\\..\\order\\k", "/read/x\\..\\..\\order", "/read%5c..%5corder", "/read/%2e%2e%5corder", "/re%00ad/k", "/read%0d/k", "/read%7f/k",
		"/read%2Fk", "/read%5ck", "/read\\k", "/read/%", "/read/%2", "/read/%zz", "/read/k#x", "/read/k?a#x", "/read/a b", "/read/a\tb",
		"/read/k?a b", "/read/\r\nX: y", "/read/\x7f", "/read/%+1",
	} {
		if got, err := DecodePath(target); err == nil {
			t.Errorf("DecodePath(%q) = %q, want an error", target, got)
		}
	}
}

// TestValidHost checks valid and invalid values of Host.
func TestValidHost(t *testing.T) {
	for _, host := range []string{
		"s", "s.example:80", "S.Example.:8080", "127.0.0.1:1", "[::1]", "[2001:db8::1]:443", "a_b", "x:", "a%41b", "a,b", "xn--bcher-kva",
	} {
		if !ValidHost(host) {
			t.Errorf("ValidHost(%q) = false, want true", host)
		}
	}
	for _, host := range []string{
		"", "a b", "a b/c", "a/c", "u@s", "s?x", "s#x", "s\\x", "a\r\nb", "[::1", "::1", "[s]", "[::1%eth0]", "[::1]x", "[::1]:x", "s:x", "s:65536",
		"s:-1", "s:+1", "a:1:2", ":80", "a%zz", "a[b]", "é", "\"s\"", "<s>", "[127.0.0.1]",
	} {
		if ValidHost(host) {
			t.Errorf("ValidHost(%q) = true, want false", host)
		}
	}
}

// TestFingerprint checks that a difference in method, target, tenant or body changes the
// fingerprint, and that equal requests have equal fingerprints.
func TestFingerprint(t *testing.T) {
	seen := map[[32]byte]Call{}
	for _, c := range []Call{{}, {Method: "a"}, {Target: "a"}, {Tenant: "a"}, {Method: "a", Target: "b"}, {Method: "ab"}, {Target: "ab"}, {Target: "a", Tenant: "b"}} {
		for _, body := range []string{"", "a", "ab"} {
			p := c.Fingerprint([]byte(body))
			if other, ok := seen[p]; ok {
				t.Errorf("%+v with body %q has the same fingerprint as %+v", c, body, other)
			}
			seen[p] = c
			if p != c.Fingerprint([]byte(body)) {
				t.Error("two fingerprints of the same request differ")
			}
		}
	}
	long := make([]byte, httpmsg.MaxFullBody+1)
	if (&Call{}).Fingerprint(long) != (&Call{}).Fingerprint(long[:httpmsg.MaxFullBody]) {
		t.Error("the fingerprint depends on how much of a long body is held")
	}
}

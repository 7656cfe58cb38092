package quillfront

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// leaving reads as a body at whose end its caller's context ends.
type leaving struct {
	io.Reader
	leave context.CancelFunc
}

func (l leaving) Read(p []byte) (int, error) {
	n, err := l.Reader.Read(p)
	l.leave()
	return n, err
}

// TestCallerLeavesWhileItsBodyIsRead: a request whose caller has left before its body was read is sent to nobody.
func TestCallerLeavesWhileItsBodyIsRead(t *testing.T) {
	var hits atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { hits.Add(1) }))
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	b, _ := balancer(t, Static(Server{ID: "a", Addr: addr}))
	path := t.TempDir() + "/pools.toml"
	poolsFile(t, path, srv.URL, srv.URL, 0)
	p, err := OpenPools(path, 100)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for name, rt := range map[string]http.RoundTripper{"http://fleet/order/k": b.RoundTripper(), "http://shop.example/any": p.RoundTripper()} {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, name, leaving{strings.NewReader("body"), cancel})
		if err != nil {
			t.Fatal(err)
		}
		q.ContentLength = 4
		q.Header.Set("Idempotency-Key", "k")
		resp, err := rt.RoundTrip(q)
		if err == nil {
			resp.Body.Close()
		}
		if !errors.Is(err, context.Canceled) {
			t.Errorf("%s: %v, want the context's end", name, err)
		}
	}
	taken := b.engine.Snapshot().Accepted
	for _, e := range p.web.Engines() {
		taken += e.Snapshot().Accepted
	}
	if n := hits.Load(); n > 0 || taken > 0 {
		t.Errorf("%d requests were taken, %d sent on", taken, n)
	}
}

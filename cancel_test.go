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

// cancelingReader is a body whose Read cancels the caller's context.
type cancelingReader struct {
	io.Reader
	cancel context.CancelFunc
}

func (l cancelingReader) Read(p []byte) (int, error) {
	n, err := l.Reader.Read(p)
	l.cancel()
	return n, err
}

// TestContextCanceledWhileBodyIsRead checks that a request is not sent if the caller's context ends
// while the body is read.
func TestContextCanceledWhileBodyIsRead(t *testing.T) {
	var hits atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { hits.Add(1) }))
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	b, _ := newTestBalancer(t, Static(Server{ID: "a", Addr: addr}))
	path := t.TempDir() + "/pools.toml"
	writePoolsFile(t, path, srv.URL, srv.URL, 0)
	p, err := OpenPools(path, 100)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for name, rt := range map[string]http.RoundTripper{"http://fleet/order/k": b.RoundTripper(), "http://shop.example/any": p.RoundTripper()} {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, name, cancelingReader{strings.NewReader("body"), cancel})
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
			t.Errorf("%s: %v, want context.Canceled", name, err)
		}
	}
	accepted := b.engine.Snapshot().Accepted
	for _, e := range p.web.Engines() {
		accepted += e.Snapshot().Accepted
	}
	if n := hits.Load(); n > 0 || accepted > 0 {
		t.Errorf("%d requests were accepted, %d were sent", accepted, n)
	}
}

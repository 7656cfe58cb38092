package quillfront_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quillfront"
	"quillfront/internal/config"
	"quillfront/internal/daemon"
	"quillfront/internal/engine"
	"quillfront/internal/orders"
	"quillfront/internal/standin"
	"quillfront/policy"
)

// BenchmarkPath measures one request, with 200 bytes in the request body and 1,000 in the answer,
// through each form of the balancer. For comparison it measures a plain http.Transport and an
// httputil.ReverseProxy whose connection pool holds all connections. Client, balancer and server
// run in one process and are measured together. The client is an http.Transport with the same
// settings in all cases but the round tripper, which is a client itself.
func BenchmarkPath(b *testing.B) {
	answer := []byte(strings.Repeat("x", 1000))
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		w.Header()["Content-Type"] = []string{"text/plain"}
		w.Write(answer)
	}))
	defer srv.Close()
	addr := srv.Listener.Addr().String()
	text := standin.PlatformConfig{
		Seed: 1, ListPushed: true, NoProbes: true, Sockets: 1024,
		CachedList: &engine.List{Seq: 1, Full: true, Servers: []engine.Server{{ID: "a", Addr: addr}}},
		Classes: []policy.Class{{
			Name: "order", Effect: policy.Keyed, KeyTTL: time.Second, Aim: 9 * time.Second, Deadline: 10 * time.Second, Worth: 1,
		}},
	}.JSON()
	transport := func() *http.Transport {
		return &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	}
	library := func(b *testing.B) *quillfront.Balancer {
		l, err := quillfront.NewFromJSON(text)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(l.Close)
		return l
	}
	through := func(b *testing.B, h http.Handler) (http.RoundTripper, string) {
		front := httptest.NewServer(h)
		b.Cleanup(front.Close)
		tr := transport()
		b.Cleanup(tr.CloseIdleConnections)
		return tr, front.URL
	}
	paths := []struct {
		name  string
		start func(b *testing.B) (http.RoundTripper, string)
	}{
		{"direct", func(b *testing.B) (http.RoundTripper, string) {
			tr := transport()
			b.Cleanup(tr.CloseIdleConnections)
			return tr, srv.URL
		}},
		{"round-tripper", func(b *testing.B) (http.RoundTripper, string) { return library(b).RoundTripper(), "http://fleet" }},
		{"reverse-proxy", func(b *testing.B) (http.RoundTripper, string) {
			to, _ := url.Parse(srv.URL)
			proxy := httputil.NewSingleHostReverseProxy(to)
			proxy.Transport = transport()
			return through(b, proxy)
		}},
		{"handler", func(b *testing.B) (http.RoundTripper, string) { return through(b, library(b).Handler()) }},
		{"daemon", sidecarPath(text, nil)},
		{"routes", servicesPath(addr)},
		{"daemon-memory", sidecarPath(text, &orders.Config{})},
		{"daemon-batched", sidecarPath(text, &orders.Config{Durability: orders.Batched})},
		{"daemon-sync", sidecarPath(text, &orders.Config{Durability: orders.Sync})},
	}
	for _, clients := range []int{1, 16} {
		for _, p := range paths {
			b.Run(fmt.Sprintf("%s/clients=%d", p.name, clients), func(b *testing.B) {
				rt, base := p.start(b)
				runLoad(b, rt, base, clients)
			})
		}
	}
}

// servicesPath returns a function that starts an HTTP service of an operator's file.
func servicesPath(server string) func(b *testing.B) (http.RoundTripper, string) {
	return func(b *testing.B) (http.RoundTripper, string) {
		path := filepath.Join(b.TempDir(), "quillfront.toml")
		text := fmt.Sprintf("[[pools]]\nname = \"p\"\nservers = [{addr = %q}]\n[[pools.classes]]\nname = \"order\"\neffect = \"by-request\"\naim = \"9s\"\ndeadline = \"10s\"\nwindow = \"1s\"\n"+
			"[[routes]]\nname = \"all\"\nclass = \"order\"\npool = \"p\"\ntrust_idempotency_key = true\n[[http]]\nname = \"front\"\nlisten = \"127.0.0.1:0\"\n", server)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
		s, err := quillfront.OpenServices(path, 1000)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { s.Close() })
		tr := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
		b.Cleanup(tr.CloseIdleConnections)
		return tr, "http://" + s.Addr("front")
	}
}

// sidecarPath returns a function that starts a sidecar. It stores orders as store says, on disk in
// a temporary directory or in memory.
func sidecarPath(text []byte, store *orders.Config) func(b *testing.B) (http.RoundTripper, string) {
	return func(b *testing.B) (http.RoundTripper, string) {
		cfg, err := config.Parse(text)
		if err != nil {
			b.Fatal(err)
		}
		var op config.Operator
		if store != nil {
			c := *store
			if c.Durability != "" {
				c.Dir = b.TempDir()
			}
			op.Store = &c
		}
		s, err := daemon.New(cfg, op, slog.New(slog.DiscardHandler))
		if err != nil {
			b.Fatal(err)
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx, ln.(*net.TCPListener)) }()
		tr := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
		b.Cleanup(func() { tr.CloseIdleConnections(); stop(); <-done })
		return tr, "http://" + ln.Addr().String()
	}
}

// runLoad sends requests from the given number of concurrent clients until b.N are answered, and
// reports the 99th percentile in addition to the mean.
func runLoad(b *testing.B, rt http.RoundTripper, base string, clients int) {
	body := bytes.Repeat([]byte("y"), 200)
	var n, id atomic.Int64
	send := func() error {
		q, err := http.NewRequest(http.MethodPost, base+"/order/k", bytes.NewReader(body))
		if err != nil {
			return err
		}
		name := fmt.Sprint(id.Add(1))
		q.Header["X-Request-Id"], q.Header["Idempotency-Key"] = []string{name}, []string{name}
		resp, err := rt.RoundTrip(q)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if got, err := io.Copy(io.Discard, resp.Body); err != nil || got != 1000 || resp.StatusCode != http.StatusOK {
			return fmt.Errorf("answer %d of %d bytes, %v", resp.StatusCode, got, err)
		}
		return nil
	}
	for range 4 * clients { // warm up: open connections and let the module learn
		if err := send(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	var all sync.WaitGroup
	times := make([][]time.Duration, clients)
	for i := range clients {
		times[i] = make([]time.Duration, 0, b.N/clients+1)
		all.Go(func() {
			for n.Add(1) <= int64(b.N) {
				began := time.Now()
				if err := send(); err != nil {
					b.Error(err)
					return
				}
				times[i] = append(times[i], time.Since(began))
			}
		})
	}
	all.Wait()
	b.StopTimer()
	merged := slices.Concat(times...)
	slices.Sort(merged)
	if len(merged) > 0 {
		b.ReportMetric(float64(merged[len(merged)*99/100].Microseconds()), "p99-us")
	}
}

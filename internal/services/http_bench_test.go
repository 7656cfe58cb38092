package services

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// proxies lists what stands between client and server in a benchmark. start starts the proxy and
// returns its address.
var proxies = []struct {
	name  string
	start func(t testing.TB, server string) string
}{
	{"direct", func(t testing.TB, server string) string { return server }},
	{"reverse-proxy", func(t testing.TB, server string) string {
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: server})
		proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}
		srv := httptest.NewServer(proxy)
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}},
	{"quillfront", func(t testing.TB, server string) string {
		_, addr := serveHTTP(t, httpConfig("", server))
		return addr
	}},
}

// benchmarkHandler answers /long with bytes until the client disconnects. It reads the body of any
// other request and answers it with a small response.
func benchmarkHandler(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/long" {
		chunk := make([]byte, 64<<10)
		for q.Context().Err() == nil {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
		return
	}
	io.Copy(io.Discard, q.Body)
	io.WriteString(w, "fine")
}

// BenchmarkSmallResponse measures small requests over four persistent connections.
func BenchmarkSmallResponse(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(benchmarkHandler))
	defer srv.Close()
	for _, p := range proxies {
		b.Run(p.name, func(b *testing.B) {
			addr := p.start(b, strings.TrimPrefix(srv.URL, "http://"))
			text := []byte("GET /small HTTP/1.1\r\nHost: a\r\nAccept: */*\r\nUser-Agent: bench\r\n\r\n")
			b.ResetTimer()
			var wg sync.WaitGroup
			const clients = 4
			for i := range clients {
				wg.Go(func() {
					c, err := net.Dial("tcp", addr)
					if err != nil {
						b.Error(err)
						return
					}
					defer c.Close()
					buf := make([]byte, 4096)
					for range b.N/clients + min(1, b.N%clients-i) {
						c.Write(text)
						if n, err := c.Read(buf); err != nil || !strings.HasPrefix(string(buf[:n]), "HTTP/1.1 200") {
							b.Errorf("%q, %v", buf[:n], err)
							return
						}
					}
				})
			}
			wg.Wait()
		})
	}
}

// BenchmarkLargeBody measures a large response (down) and a large request body (up) over one
// connection.
func BenchmarkLargeBody(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(benchmarkHandler))
	defer srv.Close()
	const size = 256 << 20
	for _, direction := range []string{"down", "up"} {
		for _, p := range proxies {
			b.Run(direction+"/"+p.name, func(b *testing.B) {
				addr := p.start(b, strings.TrimPrefix(srv.URL, "http://"))
				tr := &http.Transport{DisableCompression: true}
				defer tr.CloseIdleConnections()
				b.SetBytes(size)
				for b.Loop() {
					ctx, cancel := context.WithCancel(context.Background())
					q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/long", nil)
					if direction == "up" {
						q, _ = http.NewRequest("PUT", "http://"+addr+"/up", io.LimitReader(zeroReader{}, size))
						q.ContentLength = size
					}
					resp, err := (&http.Client{Transport: tr}).Do(q)
					if err != nil {
						b.Fatal(err)
					}
					if direction == "down" {
						if _, err := io.CopyN(io.Discard, resp.Body, size); err != nil {
							b.Fatal(err)
						}
					}
					cancel()
					resp.Body.Close()
				}
			})
		}
	}
}

// zeroReader reads as an endless sequence of zero bytes.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// TestManyStreams checks that a process with an HTTP service that forwards 100 long responses to
// slow clients uses less than 32 MB of memory.
func TestManyStreams(t *testing.T) {
	if addr := os.Getenv("QUILLFRONT_STREAMS_OF"); addr != "" { // the process that is measured
		_, front := serveHTTP(t, httpConfig("", addr))
		os.Stdout.WriteString("at " + front + "\n")
		io.Copy(io.Discard, os.Stdin)
		return
	}
	if raceEnabled {
		t.Skip("the race detector uses memory of its own")
	}
	srv := httptest.NewServer(http.HandlerFunc(benchmarkHandler))
	defer srv.Close()
	cmd := exec.Command(os.Args[0], "-test.run=^TestManyStreams$", "-test.v")
	cmd.Env = append(os.Environ(), "QUILLFRONT_STREAMS_OF="+strings.TrimPrefix(srv.URL, "http://"))
	in, _ := cmd.StdinPipe()
	out, _ := cmd.StdoutPipe()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer in.Close()
	addr := ""
	buf := make([]byte, 4096)
	for text := ""; addr == ""; {
		n, err := out.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		text += string(buf[:n])
		if _, rest, ok := strings.Cut(text, "at 127."); ok && strings.Contains(rest, "\n") {
			addr, _, _ = strings.Cut("127."+rest, "\n")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	tr := &http.Transport{DisableCompression: true, ReadBufferSize: 4096}
	defer tr.CloseIdleConnections()
	for range 100 {
		q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/long", nil)
		resp, err := (&http.Client{Transport: tr}).Do(q)
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() {
			defer resp.Body.Close()
			for ctx.Err() == nil {
				if _, err := io.CopyN(io.Discard, resp.Body, 64<<10); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	text, err := os.ReadFile("/proc/" + strconv.Itoa(cmd.Process.Pid) + "/status")
	if err != nil {
		t.Skip(err)
	}
	peak := 0
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			for _, c := range strings.TrimSpace(rest) {
				if c < '0' || c > '9' {
					break
				}
				peak = peak*10 + int(c-'0')
			}
		}
	}
	t.Logf("100 streams: peak of %d kB, with %s", peak, runtime.Version())
	if peak == 0 || peak > 32<<10 {
		t.Errorf("100 streams: peak of %d kB, want at most %d", peak, 32<<10)
	}
}

package services

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"quillfront/internal/config"
	"quillfront/internal/standin"
)

// scripted is a server that does what its script says with each connection, once the head of a request has come.
func scripted(t testing.TB, script func(c net.Conn, r *bufio.Reader, q *http.Request)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var work sync.WaitGroup
	t.Cleanup(func() { ln.Close(); work.Wait() })
	work.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			work.Go(func() {
				defer c.Close()
				c.SetDeadline(time.Now().Add(patience))
				r := bufio.NewReader(c)
				if q, err := http.ReadRequest(r); err == nil {
					script(c, r, q)
				}
			})
		}
	})
	return ln.Addr().String()
}

func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func webClient(t testing.TB) *http.Client {
	tr := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 200, ExpectContinueTimeout: patience}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: patience}
}

// TestBrokenAnswers: a server that ends an answer where it should not. What has not begun to go to the client is tried again if that is
// harmless; what has begun ends so that nobody takes it for whole; and nothing that may have run is sent twice.
func TestBrokenAnswers(t *testing.T) {
	for _, tt := range []struct {
		name, method string
		script       string // what the server writes before it resets
		status       int
		whole        bool  // the client gets an answer that is whole
		sent         int32 // times, of the broken server
	}{
		{"before the head", "GET", "", 200, true, 1},
		{"before the head, unsafe", "POST", "", 502, true, 1},
		{"within the head", "GET", "HTTP/1.1 200 OK\r\nContent-Le", 200, true, 1},
		{"after the head", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", 200, false, 1},
		{"within the body", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n01234", 200, false, 1},
		{"within a chunk", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01", 200, false, 1},
		{"before the last chunk", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n", 200, false, 1},
		{"within the trailer", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\nX-Sum: ", 200, false, 1},
		{"after the end", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\n\r\n", 200, true, 1},
		{"a failure, unsafe", "POST", "HTTP/1.1 500 Oh\r\nContent-Length: 3\r\n\r\nbad", 500, true, 1},
		{"a failure", "GET", "HTTP/1.1 500 Oh\r\nContent-Length: 3\r\n\r\nbad", 200, true, 1},
		{"proof that nothing ran, unsafe", "POST", "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", 200, true, 1},
		{"a switch that nobody asked for", "GET", "HTTP/1.1 101 Switch\r\n\r\n", 200, true, 1},
		{"two lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 200, true, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var sent, good atomic.Int32
			bad := scripted(t, func(c net.Conn, r *bufio.Reader, q *http.Request) {
				sent.Add(1)
				io.Copy(io.Discard, q.Body)
				io.WriteString(c, tt.script)
				time.Sleep(20 * time.Millisecond) // a reset overtakes what was written
				reset(c)
			})
			well := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { good.Add(1); io.WriteString(w, "fine") }))
			defer well.Close()
			s, addr := serveHTTP(t, httpText("", bad))
			client := webClient(t)
			do := func() (int, error) {
				q, _ := http.NewRequest(tt.method, "http://"+addr+"/x", strings.NewReader(map[string]string{"POST": "body"}[tt.method]))
				resp, err := client.Do(q)
				if err != nil {
					return 0, err
				}
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
				return resp.StatusCode, err
			}
			// A second server is listed once the first is known, so that the first attempt goes to the first.
			o := load(t, t.TempDir(), httpText("", bad, strings.TrimPrefix(well.URL, "http://")))
			drained := load(t, t.TempDir(), strings.Replace(httpText("", bad, strings.TrimPrefix(well.URL, "http://")), `id = "s1",`, `id = "s1", drain = true,`, 1))
			if _, err := s.Reload(drained.Services, drained.Routes); err != nil {
				t.Fatal(err)
			}
			until := time.Now().Add(patience)
			for sent.Load() == 0 {
				status, err := do()
				if tt.status != 200 || !tt.whole || tt.name == "after the end" {
					if (err == nil) != tt.whole || err == nil && status != tt.status {
						t.Fatalf("%d, %v; want %d, whole %v", status, err, tt.status, tt.whole)
					}
				} else if err != nil {
					t.Fatal(err)
				}
				if time.Now().After(until) {
					t.Fatal("nothing was sent")
				}
			}
			if tt.status == 200 && tt.whole && tt.name != "after the end" { // with another server it is served by that one
				if _, err := s.Reload(o.Services, o.Routes); err != nil {
					t.Fatal(err)
				}
				for good.Load() == 0 {
					if status, err := do(); err != nil || status != 200 && status < 500 {
						t.Fatal(status, err)
					}
					if time.Now().After(until) {
						t.Fatal("the other server was never asked")
					}
				}
			}
		})
	}
}

// TestUnsafeOnce: however a server fails, an unsafe request comes to servers once, and one that they prove not to have run may come again.
func TestUnsafeOnce(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	rng := rand.New(rand.NewPCG(17, 17))
	handle := func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		mu.Lock()
		kind := rng.IntN(6)
		if kind != 0 {
			ran[string(body)]++
		}
		mu.Unlock()
		switch kind {
		case 0:
			w.Header().Set("X-Not-Processed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			w.WriteHeader(http.StatusInternalServerError)
		case 2:
			panic(http.ErrAbortHandler)
		case 3:
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "short")
			panic(http.ErrAbortHandler)
		}
	}
	var servers []string
	for range 3 {
		srv := httptest.NewServer(http.HandlerFunc(handle))
		defer srv.Close()
		servers = append(servers, strings.TrimPrefix(srv.URL, "http://"))
	}
	_, addr := serveHTTP(t, httpText("", servers...))
	client := webClient(t)
	var work sync.WaitGroup
	var refusedRan atomic.Int32
	for w := range 8 {
		work.Go(func() {
			for i := range 60 {
				id := fmt.Sprintf("%d-%d", w, i)
				resp, err := client.Post("http://"+addr+"/order", "text/plain", strings.NewReader(id))
				if err != nil {
					t.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				mu.Lock()
				if resp.StatusCode == http.StatusServiceUnavailable && ran[id] > 0 {
					refusedRan.Add(1)
				}
				mu.Unlock()
			}
		})
	}
	work.Wait()
	for id, n := range ran {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if refusedRan.Load() > 0 {
		t.Errorf("%d were refused though they had run", refusedRan.Load())
	}
}

// pattern gives bytes of which no two are alike for long.
type pattern struct {
	left int64
	at   byte
}

func (p *pattern) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(b)), p.left))
	for i := range n {
		b[i] = p.at
		p.at += 7
	}
	p.left -= int64(n)
	return n, nil
}

// TestLargeBodies: bodies of any length go through whole both ways, told or in chunks, and what is echoed as it comes does too.
func TestLargeBodies(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/echo" {
			http.NewResponseController(w).EnableFullDuplex()
			w.(http.Flusher).Flush()
			io.Copy(w, q.Body)
			return
		}
		sum := sha256.New()
		io.Copy(sum, q.Body)
		fmt.Fprintf(w, "%x", sum.Sum(nil))
	}))
	defer srv.Close()
	_, addr := serveHTTP(t, httpText("", strings.TrimPrefix(srv.URL, "http://")))
	client := webClient(t)
	for _, size := range []int64{1, 70_000, 3 << 20, 48 << 20} {
		sum := sha256.New()
		io.Copy(sum, &pattern{left: size})
		want := fmt.Sprintf("%x", sum.Sum(nil))
		for _, told := range []int64{size, -1} {
			for _, path := range []string{"/sum", "/echo"} {
				q, _ := http.NewRequest("PUT", "http://"+addr+path, io.NopCloser(&pattern{left: size}))
				q.ContentLength = told
				resp, err := client.Do(q)
				if err != nil {
					t.Fatalf("%s %d: %v", path, size, err)
				}
				got := sha256.New()
				var text bytes.Buffer
				n, err := io.Copy(io.MultiWriter(got, &limited{&text}), resp.Body)
				resp.Body.Close()
				if path == "/echo" && (n != size || fmt.Sprintf("%x", got.Sum(nil)) != want) || path == "/sum" && text.String() != want || err != nil {
					t.Errorf("%s %d of %d: %d bytes, %d, %v", path, told, size, n, resp.StatusCode, err)
				}
			}
		}
	}
}

type limited struct{ *bytes.Buffer }

func (l *limited) Write(p []byte) (int, error) {
	l.Buffer.Write(p[:min(len(p), max(0, 100-l.Len()))])
	return len(p), nil
}

// TestEarlyAnswer: a server answers before it has read the body, and goes on or closes.
func TestEarlyAnswer(t *testing.T) {
	for _, closes := range []bool{true, false} {
		addr := scripted(t, func(c net.Conn, r *bufio.Reader, q *http.Request) {
			io.WriteString(c, "HTTP/1.1 413 No\r\nContent-Length: 3\r\n\r\nbig")
			if !closes {
				io.Copy(io.Discard, r)
			}
		})
		_, front := serveHTTP(t, httpText("", addr))
		q, _ := http.NewRequest("POST", "http://"+front+"/x", io.NopCloser(&pattern{left: 8 << 20}))
		resp, err := webClient(t).Do(q)
		if err != nil {
			t.Fatal(closes, err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusRequestEntityTooLarge || string(body) != "big" {
			t.Errorf("closes %v: %d %q", closes, resp.StatusCode, body)
		}
	}
}

// TestExpect: the server says no, says nothing, or says yes once the body has begun; the client is told what the server says.
func TestExpect(t *testing.T) {
	read := func(c net.Conn, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for _, tt := range []struct {
		name   string
		script func(c net.Conn, r *bufio.Reader, q *http.Request)
		status int
		asked  bool // the client is told to send its body
	}{
		{"no", func(c net.Conn, r *bufio.Reader, q *http.Request) {
			io.WriteString(c, "HTTP/1.1 417 No\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, r)
		}, 417, false},
		{"yes", func(c net.Conn, r *bufio.Reader, q *http.Request) {
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
			read(c, q)
		}, 200, true},
		{"nothing", func(c net.Conn, r *bufio.Reader, q *http.Request) { read(c, q) }, 200, true},
		{"yes, late", func(c net.Conn, r *bufio.Reader, q *http.Request) {
			r.Peek(1)
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
			read(c, q)
		}, 200, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, front := serveHTTP(t, httpText("expect = \"100ms\"", scripted(t, tt.script)))
			c, err := net.Dial("tcp", front)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(patience))
			io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
			r := bufio.NewReader(c)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			asked := resp.StatusCode == http.StatusContinue
			if asked {
				io.WriteString(c, "abcd")
				for resp.StatusCode < 200 {
					if resp, err = http.ReadResponse(r, nil); err != nil {
						t.Fatal(err)
					}
				}
			}
			body, _ := io.ReadAll(resp.Body)
			if asked != tt.asked || resp.StatusCode != tt.status || asked && string(body) != "abcd" {
				t.Errorf("asked %v, %d %q", asked, resp.StatusCode, body)
			}
		})
	}
}

// TestStillPeers: what stands still ends: a client that takes nothing of a long answer, one whose body stops, and one that trickles its
// body keeps its place as long as it brings enough.
func TestStillPeers(t *testing.T) {
	var broke atomic.Bool
	ended := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch q.URL.Path {
		case "/long":
			defer close(ended)
			for range 1 << 10 {
				if _, err := w.Write(make([]byte, 1<<20)); err != nil {
					broke.Store(true)
					return
				}
			}
		default:
			n, _ := io.Copy(io.Discard, q.Body)
			fmt.Fprint(w, n)
		}
	}))
	defer srv.Close()
	_, addr := serveHTTP(t, httpText("stall = \"400ms\"\nleast_rate = 10", strings.TrimPrefix(srv.URL, "http://")))
	dial := func(text string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, text)
		return c, bufio.NewReader(c)
	}
	dial("GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
	select {
	case <-ended:
	case <-time.After(patience):
		t.Error("a client that takes nothing of 1 GiB is still waited for")
	}
	if !broke.Load() {
		t.Error("1 GiB went to a client that takes nothing")
	}
	c, r := dial("POST /up HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range 15 { // longer than a standstill may last
		io.WriteString(c, "2\r\nab\r\n")
		time.Sleep(50 * time.Millisecond)
	}
	io.WriteString(c, "0\r\n\r\n")
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
		t.Error("a trickle:", resp, err)
	}
	_, r = dial("POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\nab")
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusRequestTimeout {
		t.Error("a body that stops:", resp, err)
	}
}

// TestEvents: server-sent events go on as they come, and a client that leaves is noticed though nothing is there to be written.
func TestEvents(t *testing.T) {
	next, left := make(chan string), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.(http.Flusher).Flush()
		for {
			select {
			case text := <-next:
				io.WriteString(w, text)
				w.(http.Flusher).Flush()
			case <-q.Context().Done():
				close(left)
				return
			}
		}
	}))
	defer srv.Close()
	_, addr := serveHTTP(t, httpText("", strings.TrimPrefix(srv.URL, "http://")))
	ctx, cancel := context.WithCancel(context.Background())
	q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/events", nil)
	resp, err := webClient(t).Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	for _, text := range []string{"data: 1\n\n", "data: 0\r\n\r\n", "data: 3\n\n"} {
		next <- text
		if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "data") {
			t.Fatal(line, err)
		}
		r.ReadString('\n')
	}
	cancel()
	select {
	case <-left:
	case <-time.After(patience):
		t.Error("the server was not told that the client has left")
	}
}

// TestEdgeOfRoutes: what is no request, or goes round in a loop, and what is not served, is told so.
func TestEdgeOfRoutes(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(origin))
	defer srv.Close()
	_, addr := serveHTTP(t, httpText("most_body = 100", strings.TrimPrefix(srv.URL, "http://")))
	for text, want := range map[string]int{
		"GET / HTTP/1.1\r\n":                                                     200,
		"GET http://other.example/x?y HTTP/1.1\r\n":                              200,
		"GET /.ready HTTP/1.1\r\n":                                               200,
		"GET /../x HTTP/1.1\r\n":                                                 400,
		"GET /%2e%2e/x HTTP/1.1\r\n":                                             400,
		"OPTIONS * HTTP/1.1\r\n":                                                 400,
		"CONNECT a:1 HTTP/1.1\r\n":                                               501,
		"GET / HTTP/1.1\r\nUpgrade: websocket\r\n":                               501,
		"GET / HTTP/1.1\r\nUpgrade: h2c\r\n":                                     200,
		"GET / HTTP/1.1\r\nVia: 1.1 a, 1.1 quillfront\r\n":                       508,
		"POST / HTTP/1.1\r\nContent-Length: 101\r\n":                             413,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n": 400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n":                400,
		"POST / HTTP/1.1\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n":        400,
		"GET / HTTP/1.1\r\nConnection: Host\r\n":                                 400,
		"GET / HTTP/1.1\r\nX-Long: " + strings.Repeat("x", 20_000) + "\r\n":      431,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n70\r\n" + strings.Repeat("x", 0x70) + "\r\n0\r\n": 413,
	} {
		if got := exchange(addr, text); got.status != want {
			t.Errorf("%.80q: %d, %v; want %d", text, got.status, got.err, want)
		}
	}
	c, err := net.Dial("tcp", addr) // one behind the other on one connection, of which the first is slow
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, strings.Repeat("GET /sizes?size=9 HTTP/1.1\r\nHost: a\r\n\r\n", 5))
	r := bufio.NewReader(c)
	for i := range 5 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(i, err)
		}
		if body, _ := io.ReadAll(resp.Body); string(body) != "012345678" {
			t.Errorf("%d: %q", i, body)
		}
	}
}

// TestReloads: routes and pools change under load, again and again, while requests, retries and a stream go on; nothing is lost, a stream
// ends where it began, and pools that are gone leave nothing behind.
func TestReloads(t *testing.T) {
	dir := t.TempDir()
	hold := make(chan struct{})
	var slow atomic.Int32
	server := func(name string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			switch q.URL.Path {
			case "/stream":
				io.WriteString(w, name)
				w.(http.Flusher).Flush()
				slow.Add(1)
				<-hold
			case "/slow":
				slow.Add(1)
				time.Sleep(100 * time.Millisecond)
			}
			io.WriteString(w, name)
		}))
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	a, b := server("a"), server("b")
	text := func(pool string) string {
		one := func(name, addr string) string {
			return fmt.Sprintf("[[pools]]\nname = %q\nservers = [{addr = %q}]\n[[pools.classes]]\nname = \"any\"\neffect = \"by-request\"\naim = \"8s\"\ndeadline = \"9s\"\nwindow = \"30s\"\n", name, addr)
		}
		all := map[string]string{"a": one("a", a), "b": one("b", b)}[pool]
		return all + fmt.Sprintf("[[routes]]\nname = \"all\"\nclass = \"any\"\npool = %q\ntrust_idempotency_key = true\n[[http]]\nname = \"front\"\nlisten = \"127.0.0.1:0\"\n", pool)
	}
	s, addr := serveHTTP(t, text("a"))
	client := webClient(t)
	resp, err := client.Get("http://" + addr + "/stream")
	if err != nil {
		t.Fatal(err)
	}
	keyed := func(want int) string {
		q, _ := http.NewRequest("POST", "http://"+addr+"/order", strings.NewReader("x"))
		q.Header.Set("Idempotency-Key", "k1")
		resp, err := client.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != want {
			t.Errorf("a keyed order: %d, want %d", resp.StatusCode, want)
		}
		return string(body)
	}
	if got := keyed(200); got != "a" {
		t.Errorf("a keyed order went to %s", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	var done atomic.Int64
	for range 8 {
		work.Go(func() {
			for ctx.Err() == nil {
				resp, err := client.Get("http://" + addr + "/slow")
				if err != nil {
					t.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != 200 {
					t.Errorf("%d during a reload", resp.StatusCode)
				}
				done.Add(1)
			}
		})
	}
	for i := range 20 {
		o := load(t, dir, text([]string{"b", "a"}[i%2]))
		if err := s.Check(o.Services, o.Routes); err != nil {
			t.Fatal(err)
		}
		if restart, err := s.Reload(o.Services, o.Routes); restart || err != nil {
			t.Fatal(restart, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	o := load(t, dir, text("b"))
	if _, err := s.Reload(o.Services, o.Routes); err != nil {
		t.Fatal(err)
	}
	keyed(http.StatusBadGateway) // its pool has gone, and it may have run there
	cancel()
	work.Wait()
	close(hold)
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if string(body) != "aa" || err != nil {
		t.Errorf("the stream: %q, %v", body, err)
	}
	until := time.Now().Add(patience)
	for left := 1; left > 0; {
		s.web.mu.Lock()
		left = len(s.web.old)
		s.web.mu.Unlock()
		if time.Now().After(until) {
			t.Fatalf("%d pools have not ended", left)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if done.Load() == 0 {
		t.Error("nothing was served")
	}
}

// TestReloadBetweenAttempts: a request whose server fails after its route has moved to another pool is not tried there: it ends where it
// began, once.
func TestReloadBetweenAttempts(t *testing.T) {
	came, fail := make(chan struct{}, 9), make(chan struct{})
	bad := scripted(t, func(c net.Conn, r *bufio.Reader, q *http.Request) {
		came <- struct{}{}
		<-fail
	})
	var others atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { others.Add(1) }))
	defer srv.Close()
	text := httpText("", bad)
	s, addr := serveHTTP(t, text)
	done := make(chan int, 1)
	go func() {
		resp, err := webClient(t).Get("http://" + addr)
		if err != nil {
			t.Error(err)
			done <- 0
			return
		}
		resp.Body.Close()
		done <- resp.StatusCode
	}()
	<-came
	o := load(t, t.TempDir(), strings.ReplaceAll(httpText("", strings.TrimPrefix(srv.URL, "http://")), `"web"`, `"other"`))
	if _, err := s.Reload(o.Services, o.Routes); err != nil {
		t.Fatal(err)
	}
	close(fail)
	if status := <-done; status < 500 || others.Load() != 0 {
		t.Errorf("%d, and %d requests came to the other pool", status, others.Load())
	}
	if resp, err := webClient(t).Get("http://" + addr); err != nil || resp.StatusCode != 200 {
		t.Errorf("a new request: %v, %v", resp, err)
	} else {
		resp.Body.Close()
	}
}

// TestLinesOfItsOwn: ids are made where they lack and kept where they come; what goes along is told as the file says.
func TestLinesOfItsOwn(t *testing.T) {
	heads := make(chan http.Header, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { heads <- q.Header }))
	defer srv.Close()
	_, addr := serveHTTP(t, httpText("forwarded = true\ntrace = true\nvia = \"edge-7\"", strings.TrimPrefix(srv.URL, "http://")))
	exchange(addr, "GET / HTTP/1.1\r\nX-Forwarded-For: 10.0.0.1\r\nX-Forwarded-For: 10.0.0.2\r\nVia: 1.0 fred\r\n")
	h := <-heads
	trace := strings.Split(h.Get("Traceparent"), "-")
	if len(h.Get("X-Request-Id")) != 16 || h.Get("X-Forwarded-For") != "10.0.0.1, 10.0.0.2, 127.0.0.1" || strings.Join(h["Via"], ", ") != "1.0 fred, 1.1 edge-7" ||
		len(trace) != 4 || trace[0] != "00" || len(trace[1]) != 32 || len(trace[2]) != 16 || trace[3] != "00" {
		t.Errorf("%v", h)
	}
	const given = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	exchange(addr, "GET / HTTP/1.1\r\nX-Request-ID: mine\r\nTraceparent: "+given+"\r\n")
	if h := <-heads; h.Get("X-Request-Id") != "mine" || h.Get("Traceparent") != given {
		t.Errorf("%v", h)
	}
}

// TestPoolsShare: a pool whose servers never answer takes what nobody else wants, and no more: another one is served as before.
func TestPoolsShare(t *testing.T) {
	silent := scripted(t, func(c net.Conn, r *bufio.Reader, q *http.Request) { io.Copy(io.Discard, r) })
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { io.Copy(io.Discard, q.Body) }))
	defer srv.Close()
	one := func(name, addr string) string {
		return fmt.Sprintf("[[pools]]\nname = %q\nservers = [{addr = %q}]\ndescriptors = 20\nmemory = 100000\n[[pools.classes]]\nname = \"any\"\neffect = \"by-request\"\naim = \"10s\"\ndeadline = \"20s\"\n", name, addr)
	}
	_, addr := serveHTTP(t, one("ill", silent)+one("well", strings.TrimPrefix(srv.URL, "http://"))+`
[[routes]]
name = "ill"
path = "/ill"
class = "any"
pool = "ill"
[[routes]]
name = "well"
path = "/well"
class = "any"
pool = "well"
[[http]]
name = "front"
listen = "127.0.0.1:0"
`)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := webClient(t)
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	for range 380 {
		work.Go(func() {
			q, _ := http.NewRequestWithContext(ctx, "PUT", "http://"+addr+"/ill", strings.NewReader(strings.Repeat("x", 30_000)))
			if resp, err := client.Do(q); err == nil {
				resp.Body.Close()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	for range 50 {
		began := time.Now()
		q, _ := http.NewRequest("PUT", "http://"+addr+"/well", strings.NewReader(strings.Repeat("x", 30_000)))
		resp, err := client.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 || time.Since(began) > patience/2 {
			t.Fatalf("%d after %v beside a pool in trouble", resp.StatusCode, time.Since(began))
		}
	}
}

// TestCloseUnderPressure: services end at once although attempts of a pool wait for descriptors that another one has.
func TestCloseUnderPressure(t *testing.T) {
	silent := scripted(t, func(c net.Conn, r *bufio.Reader, q *http.Request) { io.Copy(io.Discard, r) })
	for range 5 {
		s, addr := serveWith(t, httpText("", silent), 200)
		var work sync.WaitGroup
		for range 100 {
			work.Go(func() {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(patience))
				io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				io.Copy(io.Discard, c)
			})
		}
		until := time.Now().Add(patience)
		for s.web.figures()[0].Web.Descriptors < s.web.conns.Total() && time.Now().Before(until) {
			time.Sleep(time.Millisecond)
		}
		closed := make(chan struct{})
		s.web.mu.Lock() // so that the end comes before the attempts, which ask for room every 10 ms
		go func() { s.web.close(); close(closed) }()
		time.Sleep(50 * time.Millisecond)
		s.web.mu.Unlock()
		select {
		case <-closed:
		case <-time.After(patience):
			t.Fatal("the pools do not end")
		}
		s.Close()
		work.Wait()
	}
}

// TestOwnWords: what a client is told where no server has answered.
func TestOwnWords(t *testing.T) {
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refuses := nobody.Addr().String()
	nobody.Close()
	silent := scripted(t, func(c net.Conn, r *bufio.Reader, q *http.Request) { io.Copy(io.Discard, r) })
	for _, tt := range []struct {
		server, method string
		want           int
	}{{refuses, "POST", 503}, {refuses, "GET", 503}, {silent, "POST", 504}} {
		_, addr := serveHTTP(t, strings.Replace(httpText("", tt.server), `pool = "web"`, "pool = \"web\"\ntimeout = \"300ms\"", 1))
		q, _ := http.NewRequest(tt.method, "http://"+addr+"/", nil)
		resp, err := webClient(t).Do(q)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != tt.want {
			t.Errorf("%s: %d, want %d", tt.method, resp.StatusCode, tt.want)
		}
	}
}

// TestSourcesOfPools: a pool goes by a file, or by DNS, however it changes; one that is torn or an answer that is empty changes nothing.
func TestSourcesOfPools(t *testing.T) {
	var addrs []string
	for i := range 2 {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { fmt.Fprint(w, i) }))
		defer srv.Close()
		addrs = append(addrs, strings.TrimPrefix(srv.URL, "http://"))
	}
	dir := t.TempDir()
	write := func(text string) {
		if err := os.WriteFile(dir+"/list.toml", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	d, err := standin.NewDNS()
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.SetRecords("here.example.", dnsmessage.TypeA, 1, &dnsmessage.AResource{A: [4]byte{127, 0, 0, 1}})
	tell := map[string]func(i int){
		"file": func(i int) {
			write("[[servers]]\naddr = \"" + addrs[i] + "\"\n")
		},
		"dns": func(i int) {
			_, port, _ := net.SplitHostPort(addrs[i])
			n, _ := strconv.Atoi(port)
			d.SetRecords("_web._tcp.example.", dnsmessage.TypeSRV, 0, &dnsmessage.SRVResource{Port: uint16(n), Target: dnsmessage.MustNewName("here.example.")})
		},
	}
	spoil := map[string]func(){
		"file": func() { write("[[servers]]\naddr = ") },
		"dns":  func() { d.SetRecords("_web._tcp.example.", dnsmessage.TypeSRV, 0) },
	}
	for name, source := range map[string]string{
		"file": fmt.Sprintf("file = %q", dir+"/list.toml"),
		"dns":  fmt.Sprintf("dns = {name = \"_web._tcp.example\", resolvers = [%q], min = \"10ms\", max = \"10ms\"}", d.Addr()),
	} {
		tell[name](0)
		_, addr := serveHTTP(t, strings.Replace(httpText(""), "servers = []", source, 1))
		client := webClient(t)
		until := time.Now().Add(patience)
		await := func(want string) {
			for {
				resp, err := client.Get("http://" + addr)
				if err != nil {
					t.Fatal(err)
				}
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				if string(body) == want {
					return
				}
				if time.Now().After(until) {
					t.Fatalf("%s: %d %q, want %s", name, resp.StatusCode, body, want)
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
		await("0")
		tell[name](1)
		await("1")
		spoil[name]()
		time.Sleep(100 * time.Millisecond)
		await("1")
	}
}

// TestRetryAfterOfServers: a server that asks to be left alone is, where its route says so, and is used again once its time is over; where
// all ask, half are used all the same.
func TestRetryAfterOfServers(t *testing.T) {
	var shy, hits [2]atomic.Int64
	var addrs []string
	for i := range 2 {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			hits[i].Add(1)
			if shy[i].Load() > 0 {
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		defer srv.Close()
		addrs = append(addrs, strings.TrimPrefix(srv.URL, "http://"))
	}
	_, addr := serveHTTP(t, strings.Replace(httpText("", addrs...), `pool = "web"`, "pool = \"web\"\nanswers = {retry_after = \"avoid\"}", 1))
	client := webClient(t)
	ask := func() int {
		resp, err := client.Get("http://" + addr)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	until := time.Now().Add(patience)
	await := func(what string, is func() bool) {
		t.Helper()
		for !is() {
			if ask(); time.Now().After(until) {
				t.Fatal(what)
			}
		}
	}
	await("both are used", func() bool { return hits[0].Load() > 0 && hits[1].Load() > 0 })
	shy[0].Store(1)
	n := hits[0].Load()
	await("the first asks to be left alone", func() bool { return hits[0].Load() > n })
	n, began := hits[0].Load(), time.Now()
	for time.Since(began) < 500*time.Millisecond {
		if status := ask(); status != 200 {
			t.Fatalf("%d though another server is there", status)
		}
	}
	if got := hits[0].Load(); got > n {
		t.Errorf("%d requests to a server that is to be left alone", got-n)
	}
	shy[0].Store(0)
	await("the first is used again", func() bool { return hits[0].Load() > n })
	shy[0].Store(1)
	shy[1].Store(1)
	n, m := hits[0].Load(), hits[1].Load()
	await("both ask, and one is used all the same", func() bool { return hits[0].Load() > n+3 || hits[1].Load() > m+3 })
}

// TestBadRoutes: what routes, pools and addresses of HTTP do not agree on is an error that names it.
func TestBadRoutes(t *testing.T) {
	good := httpText("", "127.0.0.1:1")
	for _, tt := range []struct{ old, new, want string }{
		{`pool = "web"`, `pool = "none"`, `[[routes]] all: pool: there is no [[pools]] "none"`},
		{`effect = "by-request"`, `effect = "unsafe"`, `[[routes]] all: class: pool "web" has no class "any" with effect "by-request"`},
		{`window = "30s"`, ``, `has no window`},
		{`health = "/.ready"`, `health = "ready"`, `[[http]] front: health`},
		{`health = "/.ready"`, `via = "a b"`, `[[http]] front: via`},
		{`health = "/.ready"`, `stall = "-1s"`, `[[http]] front: stall`},
		{`health = "/.ready"`, `most_head = 1`, `[[http]] front: most_head`},
		{`listen = "127.0.0.1:0"`, `listen = "here"`, `[[http]] front: listen`},
		{`name = "front"`, `nam = "front"`, `unknown key http.nam`},
	} {
		path := t.TempDir() + "/quillfront.toml"
		if err := os.WriteFile(path, []byte(strings.Replace(good, tt.old, tt.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := config.LoadOperator(path); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v, want %s", tt.new, err, tt.want)
		}
	}
}

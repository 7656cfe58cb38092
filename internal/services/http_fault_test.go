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

// startScriptedServer starts a server that calls script for each connection once it has read the
// head of a request, and returns its address.
func startScriptedServer(t testing.TB, script func(c net.Conn, r *bufio.Reader, q *http.Request)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	t.Cleanup(func() { ln.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				c.SetDeadline(time.Now().Add(testTimeout))
				r := bufio.NewReader(c)
				if q, err := http.ReadRequest(r); err == nil {
					script(c, r, q)
				}
			})
		}
	})
	return ln.Addr().String()
}

// resetConn closes c with a TCP reset.
func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// newClient returns an HTTP client that waits for 100 Continue and does not request compression.
func newClient(t testing.TB) *http.Client {
	tr := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 200, ExpectContinueTimeout: testTimeout}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: testTimeout}
}

// TestBrokenResponses covers servers that truncate a response or send an invalid one. A request
// whose response has not reached the client yet is retried if that is safe. A response that was
// started ends so that the client detects the truncation. A request that may have run is never sent
// twice.
func TestBrokenResponses(t *testing.T) {
	for _, tt := range []struct {
		name, method string
		script       string // what the server writes before it resets the connection
		status       int
		complete     bool  // the client gets a complete response
		sent         int32 // requests to the broken server
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
		{"status 500, unsafe", "POST", "HTTP/1.1 500 Oh\r\nContent-Length: 3\r\n\r\nbad", 500, true, 1},
		{"status 500", "GET", "HTTP/1.1 500 Oh\r\nContent-Length: 3\r\n\r\nbad", 200, true, 1},
		{"not processed, unsafe", "POST", "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", 200, true, 1},
		{"unrequested protocol switch", "GET", "HTTP/1.1 101 Switch\r\n\r\n", 200, true, 1},
		{"two Content-Length headers", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 200, true, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var badRequests, goodRequests atomic.Int32
			bad := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, q *http.Request) {
				badRequests.Add(1)
				io.Copy(io.Discard, q.Body)
				io.WriteString(c, tt.script)
				time.Sleep(20 * time.Millisecond) // a reset may discard data that the proxy has not read yet
				resetConn(c)
			})
			good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { goodRequests.Add(1); io.WriteString(w, "fine") }))
			defer good.Close()
			s, addr := serveHTTP(t, httpConfig("", bad))
			client := newClient(t)
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
			// The good server is listed as draining at first, so that attempts go to the broken
			// one.
			ready := loadConfig(t, t.TempDir(), httpConfig("", bad, strings.TrimPrefix(good.URL, "http://")))
			drained := loadConfig(t, t.TempDir(), strings.Replace(httpConfig("", bad, strings.TrimPrefix(good.URL, "http://")), `id = "s1",`, `id = "s1", drain = true,`, 1))
			if _, err := s.Reload(drained.Services, drained.Routes); err != nil {
				t.Fatal(err)
			}
			deadline := time.Now().Add(testTimeout)
			for badRequests.Load() == 0 {
				status, err := do()
				if tt.status != 200 || !tt.complete || tt.name == "after the end" {
					if (err == nil) != tt.complete || err == nil && status != tt.status {
						t.Fatalf("status %d, %v; want %d, complete %v", status, err, tt.status, tt.complete)
					}
				} else if err != nil {
					t.Fatal(err)
				}
				if time.Now().After(deadline) {
					t.Fatal("the broken server got no request")
				}
			}
			// Once the good server is ready, it serves the request.
			if tt.status == 200 && tt.complete && tt.name != "after the end" {
				if _, err := s.Reload(ready.Services, ready.Routes); err != nil {
					t.Fatal(err)
				}
				for goodRequests.Load() == 0 {
					if status, err := do(); err != nil || status != 200 && status < 500 {
						t.Fatal(status, err)
					}
					if time.Now().After(deadline) {
						t.Fatal("the good server got no request")
					}
				}
			}
		})
	}
}

// TestUnsafeRequestsRunOnce checks that an unsafe request runs at most once however servers fail.
// Only a request that a server proves not to have run may be sent again.
func TestUnsafeRequestsRunOnce(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	rng := rand.New(rand.NewPCG(17, 17))
	handle := func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		mu.Lock()
		fault := rng.IntN(6)
		if fault != 0 {
			ran[string(body)]++
		}
		mu.Unlock()
		switch fault {
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
	_, addr := serveHTTP(t, httpConfig("", servers...))
	client := newClient(t)
	var wg sync.WaitGroup
	var refusedButRan atomic.Int32
	for w := range 8 {
		wg.Go(func() {
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
					refusedButRan.Add(1)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for id, n := range ran {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if refusedButRan.Load() > 0 {
		t.Errorf("%d requests were refused although they had run", refusedButRan.Load())
	}
}

// patternReader reads as a sequence of bytes without long repetitions.
type patternReader struct {
	remaining int64
	next      byte
}

func (p *patternReader) Read(b []byte) (int, error) {
	if p.remaining == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(b)), p.remaining))
	for i := range n {
		b[i] = p.next
		p.next += 7
	}
	p.remaining -= int64(n)
	return n, nil
}

// TestLargeBodies checks that bodies of any size arrive complete in both directions, with a
// Content-Length or chunked, also if the server echoes the body while it reads it.
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
	_, addr := serveHTTP(t, httpConfig("", strings.TrimPrefix(srv.URL, "http://")))
	client := newClient(t)
	for _, size := range []int64{1, 70_000, 3 << 20, 48 << 20} {
		sum := sha256.New()
		io.Copy(sum, &patternReader{remaining: size})
		want := fmt.Sprintf("%x", sum.Sum(nil))
		for _, length := range []int64{size, -1} {
			for _, path := range []string{"/sum", "/echo"} {
				q, _ := http.NewRequest("PUT", "http://"+addr+path, io.NopCloser(&patternReader{remaining: size}))
				q.ContentLength = length
				resp, err := client.Do(q)
				if err != nil {
					t.Fatalf("%s %d: %v", path, size, err)
				}
				got := sha256.New()
				var text bytes.Buffer
				n, err := io.Copy(io.MultiWriter(got, &limitedBuffer{&text}), resp.Body)
				resp.Body.Close()
				if path == "/echo" && (n != size || fmt.Sprintf("%x", got.Sum(nil)) != want) || path == "/sum" && text.String() != want || err != nil {
					t.Errorf("%s with Content-Length %d of %d: got %d bytes, status %d, %v", path, length, size, n, resp.StatusCode, err)
				}
			}
		}
	}
}

// limitedBuffer keeps the first 100 bytes written to it.
type limitedBuffer struct{ *bytes.Buffer }

func (l *limitedBuffer) Write(p []byte) (int, error) {
	l.Buffer.Write(p[:min(len(p), max(0, 100-l.Len()))])
	return len(p), nil
}

// TestResponseBeforeRequestBody covers a server that responds before it has read the body, and then
// reads the rest or closes the connection.
func TestResponseBeforeRequestBody(t *testing.T) {
	for _, closes := range []bool{true, false} {
		addr := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, q *http.Request) {
			io.WriteString(c, "HTTP/1.1 413 No\r\nContent-Length: 3\r\n\r\nbig")
			if !closes {
				io.Copy(io.Discard, r)
			}
		})
		_, front := serveHTTP(t, httpConfig("", addr))
		q, _ := http.NewRequest("POST", "http://"+front+"/x", io.NopCloser(&patternReader{remaining: 8 << 20}))
		resp, err := newClient(t).Do(q)
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

// TestExpectContinue covers a server that rejects Expect: 100-continue, ignores it, or sends 100
// Continue at once or late. The client must get what the server sends.
func TestExpectContinue(t *testing.T) {
	echoBody := func(c net.Conn, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for _, tt := range []struct {
		name   string
		script func(c net.Conn, r *bufio.Reader, q *http.Request)
		status int
		asked  bool // the client gets 100 Continue
	}{
		{"rejected", func(c net.Conn, r *bufio.Reader, q *http.Request) {
			io.WriteString(c, "HTTP/1.1 417 No\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, r)
		}, 417, false},
		{"accepted", func(c net.Conn, r *bufio.Reader, q *http.Request) {
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
			echoBody(c, q)
		}, 200, true},
		{"ignored", func(c net.Conn, r *bufio.Reader, q *http.Request) { echoBody(c, q) }, 200, true},
		{"accepted late", func(c net.Conn, r *bufio.Reader, q *http.Request) {
			r.Peek(1)
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
			echoBody(c, q)
		}, 200, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, front := serveHTTP(t, httpConfig("expect = \"100ms\"", startScriptedServer(t, tt.script)))
			c, err := net.Dial("tcp", front)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
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
				t.Errorf("100 Continue %v, status %d %q", asked, resp.StatusCode, body)
			}
		})
	}
}

// TestStalledClients checks that a client that stops reading a long response or stops sending its
// body is disconnected, and that one that sends its body slowly, but above the minimum rate, is
// served.
func TestStalledClients(t *testing.T) {
	var writeFailed atomic.Bool
	ended := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch q.URL.Path {
		case "/long":
			defer close(ended)
			for range 1 << 10 {
				if _, err := w.Write(make([]byte, 1<<20)); err != nil {
					writeFailed.Store(true)
					return
				}
			}
		default:
			n, _ := io.Copy(io.Discard, q.Body)
			fmt.Fprint(w, n)
		}
	}))
	defer srv.Close()
	_, addr := serveHTTP(t, httpConfig("stall = \"400ms\"\nleast_rate = 10", strings.TrimPrefix(srv.URL, "http://")))
	dial := func(text string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(c, text)
		return c, bufio.NewReader(c)
	}
	dial("GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("a client that reads nothing of 1 GiB is still connected")
	}
	if !writeFailed.Load() {
		t.Error("1 GiB was sent to a client that reads nothing")
	}
	c, r := dial("POST /up HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range 15 { // longer than the stall timeout
		io.WriteString(c, "2\r\nab\r\n")
		time.Sleep(50 * time.Millisecond)
	}
	io.WriteString(c, "0\r\n\r\n")
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
		t.Error("a slow body:", resp, err)
	}
	_, r = dial("POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\nab")
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusRequestTimeout {
		t.Error("a stalled body:", resp, err)
	}
}

// TestServerSentEvents checks that server-sent events are forwarded at once, and that a client
// disconnect is detected although there is nothing to write.
func TestServerSentEvents(t *testing.T) {
	next, disconnected := make(chan string), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.(http.Flusher).Flush()
		for {
			select {
			case text := <-next:
				io.WriteString(w, text)
				w.(http.Flusher).Flush()
			case <-q.Context().Done():
				close(disconnected)
				return
			}
		}
	}))
	defer srv.Close()
	_, addr := serveHTTP(t, httpConfig("", strings.TrimPrefix(srv.URL, "http://")))
	ctx, cancel := context.WithCancel(context.Background())
	q, _ := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/events", nil)
	resp, err := newClient(t).Do(q)
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
	case <-disconnected:
	case <-time.After(testTimeout):
		t.Error("the request at the server was not canceled after the client disconnected")
	}
}

// TestRejectedRequests checks the status of invalid, looping and unsupported requests next to valid
// ones, and that pipelined requests are answered in order.
func TestRejectedRequests(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(originHandler))
	defer srv.Close()
	_, addr := serveHTTP(t, httpConfig("most_body = 100", strings.TrimPrefix(srv.URL, "http://")))
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
	c, err := net.Dial("tcp", addr) // pipelined requests on one connection
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
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

// TestReloadUnderLoad replaces routes and pools repeatedly while requests, retries and a stream are
// open. No request may fail, the stream ends at the server where it began, and retired pools must
// end.
func TestReloadUnderLoad(t *testing.T) {
	dir := t.TempDir()
	finish := make(chan struct{})
	var slow atomic.Int32
	server := func(name string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			switch q.URL.Path {
			case "/stream":
				io.WriteString(w, name)
				w.(http.Flusher).Flush()
				slow.Add(1)
				<-finish
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
		poolText := func(name, addr string) string {
			return fmt.Sprintf("[[pools]]\nname = %q\nservers = [{addr = %q}]\n[[pools.classes]]\nname = \"any\"\neffect = \"by-request\"\naim = \"8s\"\ndeadline = \"9s\"\nwindow = \"30s\"\n", name, addr)
		}
		all := map[string]string{"a": poolText("a", a), "b": poolText("b", b)}[pool]
		return all + fmt.Sprintf("[[routes]]\nname = \"all\"\nclass = \"any\"\npool = %q\ntrust_idempotency_key = true\n[[http]]\nname = \"front\"\nlisten = \"127.0.0.1:0\"\n", pool)
	}
	s, addr := serveHTTP(t, text("a"))
	client := newClient(t)
	resp, err := client.Get("http://" + addr + "/stream")
	if err != nil {
		t.Fatal(err)
	}
	sendKeyed := func(want int) string {
		q, _ := http.NewRequest("POST", "http://"+addr+"/order", strings.NewReader("x"))
		q.Header.Set("Idempotency-Key", "k1")
		resp, err := client.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != want {
			t.Errorf("request with an idempotency key: status %d, want %d", resp.StatusCode, want)
		}
		return string(body)
	}
	if got := sendKeyed(200); got != "a" {
		t.Errorf("request with an idempotency key went to %s", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var served atomic.Int64
	for range 8 {
		wg.Go(func() {
			for ctx.Err() == nil {
				resp, err := client.Get("http://" + addr + "/slow")
				if err != nil {
					t.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != 200 {
					t.Errorf("status %d during a reload", resp.StatusCode)
				}
				served.Add(1)
			}
		})
	}
	for i := range 20 {
		o := loadConfig(t, dir, text([]string{"b", "a"}[i%2]))
		if err := s.Check(o.Services, o.Routes); err != nil {
			t.Fatal(err)
		}
		if restart, err := s.Reload(o.Services, o.Routes); restart || err != nil {
			t.Fatal(restart, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	o := loadConfig(t, dir, text("b"))
	if _, err := s.Reload(o.Services, o.Routes); err != nil {
		t.Fatal(err)
	}
	sendKeyed(http.StatusBadGateway) // its pool is retired, and it may have run there
	cancel()
	wg.Wait()
	close(finish)
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if string(body) != "aa" || err != nil {
		t.Errorf("the stream: %q, %v", body, err)
	}
	deadline := time.Now().Add(testTimeout)
	for remaining := 1; remaining > 0; {
		s.httpPools.mu.Lock()
		remaining = len(s.httpPools.retiring)
		s.httpPools.mu.Unlock()
		if time.Now().After(deadline) {
			t.Fatalf("%d retired pools have not ended", remaining)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if served.Load() == 0 {
		t.Error("no request was served")
	}
}

// TestReloadBetweenAttempts checks that a request whose server fails after its route was changed to
// another pool is not retried in that pool, but ends in its own.
func TestReloadBetweenAttempts(t *testing.T) {
	arrived, fail := make(chan struct{}, 9), make(chan struct{})
	bad := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, q *http.Request) {
		arrived <- struct{}{}
		<-fail
	})
	var otherRequests atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { otherRequests.Add(1) }))
	defer srv.Close()
	text := httpConfig("", bad)
	s, addr := serveHTTP(t, text)
	done := make(chan int, 1)
	go func() {
		resp, err := newClient(t).Get("http://" + addr)
		if err != nil {
			t.Error(err)
			done <- 0
			return
		}
		resp.Body.Close()
		done <- resp.StatusCode
	}()
	<-arrived
	o := loadConfig(t, t.TempDir(), strings.ReplaceAll(httpConfig("", strings.TrimPrefix(srv.URL, "http://")), `"web"`, `"other"`))
	if _, err := s.Reload(o.Services, o.Routes); err != nil {
		t.Fatal(err)
	}
	close(fail)
	if status := <-done; status < 500 || otherRequests.Load() != 0 {
		t.Errorf("status %d, and %d requests reached the other pool", status, otherRequests.Load())
	}
	if resp, err := newClient(t).Get("http://" + addr); err != nil || resp.StatusCode != 200 {
		t.Errorf("a new request: %v, %v", resp, err)
	} else {
		resp.Body.Close()
	}
}

// TestAddedHeaders checks the request ID, trace and forwarding headers that are added to a request,
// and that an ID and a trace from the client are kept.
func TestAddedHeaders(t *testing.T) {
	heads := make(chan http.Header, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { heads <- q.Header }))
	defer srv.Close()
	_, addr := serveHTTP(t, httpConfig("forwarded = true\ntrace = true\nvia = \"edge-7\"", strings.TrimPrefix(srv.URL, "http://")))
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

// TestPoolIsolation checks that a pool whose servers never respond does not use up the descriptors
// and memory guaranteed to another pool, which must be served as before.
func TestPoolIsolation(t *testing.T) {
	silent := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, q *http.Request) { io.Copy(io.Discard, r) })
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { io.Copy(io.Discard, q.Body) }))
	defer srv.Close()
	poolText := func(name, addr string) string {
		return fmt.Sprintf("[[pools]]\nname = %q\nservers = [{addr = %q}]\ndescriptors = 20\nmemory = 100000\n[[pools.classes]]\nname = \"any\"\neffect = \"by-request\"\naim = \"10s\"\ndeadline = \"20s\"\n", name, addr)
	}
	_, addr := serveHTTP(t, poolText("silent", silent)+poolText("healthy", strings.TrimPrefix(srv.URL, "http://"))+`
[[routes]]
name = "silent"
path = "/silent"
class = "any"
pool = "silent"
[[routes]]
name = "healthy"
path = "/healthy"
class = "any"
pool = "healthy"
[[http]]
name = "front"
listen = "127.0.0.1:0"
`)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := newClient(t)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for range 380 {
		wg.Go(func() {
			q, _ := http.NewRequestWithContext(ctx, "PUT", "http://"+addr+"/silent", strings.NewReader(strings.Repeat("x", 30_000)))
			if resp, err := client.Do(q); err == nil {
				resp.Body.Close()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	for range 50 {
		start := time.Now()
		q, _ := http.NewRequest("PUT", "http://"+addr+"/healthy", strings.NewReader(strings.Repeat("x", 30_000)))
		resp, err := client.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 || time.Since(start) > testTimeout/2 {
			t.Fatalf("status %d after %v next to a pool of silent servers", resp.StatusCode, time.Since(start))
		}
	}
}

// TestCloseUnderPressure guards against a deadlock: Close waits for attempts that wait for
// descriptors, and evicting an idle connection for them needs the lock of the pools.
func TestCloseUnderPressure(t *testing.T) {
	silent := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, q *http.Request) { io.Copy(io.Discard, r) })
	for range 5 {
		s, addr := serveHTTPWithDescriptors(t, httpConfig("", silent), 200)
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(testTimeout))
				io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				io.Copy(io.Discard, c)
			})
		}
		deadline := time.Now().Add(testTimeout)
		for s.httpPools.stats()[0].HTTP.Descriptors < s.httpPools.connQuota.Total() && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		closed := make(chan struct{})
		s.httpPools.mu.Lock() // so that close starts before the attempts, which try to evict every 10 ms
		go func() { s.httpPools.close(); close(closed) }()
		time.Sleep(50 * time.Millisecond)
		s.httpPools.mu.Unlock()
		select {
		case <-closed:
		case <-time.After(testTimeout):
			t.Fatal("close did not return")
		}
		s.Close()
		wg.Wait()
	}
}

// TestStatusWithoutResponse checks the status that a client gets if no server has responded.
func TestStatusWithoutResponse(t *testing.T) {
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := closedListener.Addr().String()
	closedListener.Close()
	silent := startScriptedServer(t, func(c net.Conn, r *bufio.Reader, q *http.Request) { io.Copy(io.Discard, r) })
	for _, tt := range []struct {
		server, method string
		want           int
	}{{refusing, "POST", 503}, {refusing, "GET", 503}, {silent, "POST", 504}} {
		_, addr := serveHTTP(t, strings.Replace(httpConfig("", tt.server), `pool = "web"`, "pool = \"web\"\ntimeout = \"300ms\"", 1))
		q, _ := http.NewRequest(tt.method, "http://"+addr+"/", nil)
		resp, err := newClient(t).Do(q)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != tt.want {
			t.Errorf("%s: %d, want %d", tt.method, resp.StatusCode, tt.want)
		}
	}
}

// TestServerListSources checks that a pool follows its list in a file or in DNS, and that a
// truncated file or an empty DNS answer changes nothing.
func TestServerListSources(t *testing.T) {
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
	publish := map[string]func(i int){
		"file": func(i int) {
			write("[[servers]]\naddr = \"" + addrs[i] + "\"\n")
		},
		"dns": func(i int) {
			_, port, _ := net.SplitHostPort(addrs[i])
			n, _ := strconv.Atoi(port)
			d.SetRecords("_web._tcp.example.", dnsmessage.TypeSRV, 0, &dnsmessage.SRVResource{Port: uint16(n), Target: dnsmessage.MustNewName("here.example.")})
		},
	}
	corrupt := map[string]func(){
		"file": func() { write("[[servers]]\naddr = ") },
		"dns":  func() { d.SetRecords("_web._tcp.example.", dnsmessage.TypeSRV, 0) },
	}
	for name, source := range map[string]string{
		"file": fmt.Sprintf("file = %q", dir+"/list.toml"),
		"dns":  fmt.Sprintf("dns = {name = \"_web._tcp.example\", resolvers = [%q], min = \"10ms\", max = \"10ms\"}", d.Addr()),
	} {
		publish[name](0)
		_, addr := serveHTTP(t, strings.Replace(httpConfig(""), "servers = []", source, 1))
		client := newClient(t)
		deadline := time.Now().Add(testTimeout)
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
				if time.Now().After(deadline) {
					t.Fatalf("%s: %d %q, want %s", name, resp.StatusCode, body, want)
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
		await("0")
		publish[name](1)
		await("1")
		corrupt[name]()
		time.Sleep(100 * time.Millisecond)
		await("1")
	}
}

// TestServerRetryAfter checks that, with answers.retry_after set to avoid, a server that responds
// with Retry-After is avoided and is used again after that time. If all servers do, half of them
// are still used.
func TestServerRetryAfter(t *testing.T) {
	var overloaded, hits [2]atomic.Int64
	var addrs []string
	for i := range 2 {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			hits[i].Add(1)
			if overloaded[i].Load() > 0 {
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		defer srv.Close()
		addrs = append(addrs, strings.TrimPrefix(srv.URL, "http://"))
	}
	_, addr := serveHTTP(t, strings.Replace(httpConfig("", addrs...), `pool = "web"`, "pool = \"web\"\nanswers = {retry_after = \"avoid\"}", 1))
	client := newClient(t)
	request := func() int {
		resp, err := client.Get("http://" + addr)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	deadline := time.Now().Add(testTimeout)
	await := func(what string, ok func() bool) {
		t.Helper()
		for !ok() {
			if request(); time.Now().After(deadline) {
				t.Fatal(what)
			}
		}
	}
	await("not both servers are used", func() bool { return hits[0].Load() > 0 && hits[1].Load() > 0 })
	overloaded[0].Store(1)
	n := hits[0].Load()
	await("the first server got no request", func() bool { return hits[0].Load() > n })
	n, start := hits[0].Load(), time.Now()
	for time.Since(start) < 500*time.Millisecond {
		if status := request(); status != 200 {
			t.Fatalf("status %d although another server is available", status)
		}
	}
	if got := hits[0].Load(); got > n {
		t.Errorf("%d requests to a server that is to be avoided", got-n)
	}
	overloaded[0].Store(0)
	await("the first server is not used again", func() bool { return hits[0].Load() > n })
	overloaded[0].Store(1)
	overloaded[1].Store(1)
	n, m := hits[0].Load(), hits[1].Load()
	await("no server is used while both send Retry-After", func() bool { return hits[0].Load() > n+3 || hits[1].Load() > m+3 })
}

// TestInvalidConfig checks that the error for an inconsistent configuration of routes, pools and
// HTTP services names the fault.
func TestInvalidConfig(t *testing.T) {
	good := httpConfig("", "127.0.0.1:1")
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

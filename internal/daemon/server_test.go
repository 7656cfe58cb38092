package daemon

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quillfront/internal/config"
	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/internal/orders"
	"quillfront/policy"
)

// receivedRequest is a request as received by a server.
type receivedRequest struct {
	line       string // method and target as on the wire
	header     http.Header
	bodySum    [sha256.Size]byte
	bodyLength int
}

// startRecordingServer starts a server that responds with okResponse, and returns its address and
// the requests it receives.
func startRecordingServer(t *testing.T) (string, chan receivedRequest) {
	got := make(chan receivedRequest, 100)
	return startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		body, _ := io.ReadAll(q.Body)
		got <- receivedRequest{q.Method + " " + q.RequestURI, q.Header, sha256.Sum256(body), len(body)}
		io.WriteString(c, strings.ReplaceAll(okResponse, "\n", "\r\n"))
	})), got
}

// TestRequestsAreForwardedUnchanged guards against changes to a request by which a server detects
// repeats, and against paths that a mux or a URL parser rewrites.
func TestRequestsAreForwardedUnchanged(t *testing.T) {
	addr, got := startRecordingServer(t)
	sc := startSidecar(t, newScriptedModule(), addr, "127.0.0.1:1")
	big := strings.Repeat("0123456789abcdef", httpmsg.MaxFullBody/16)
	tests := []struct{ name, line, headers, body string }{
		{"plain", "GET /read/k", "", ""},
		{"unusual target", "GET /read/a%2Fb//c/..d/%41?x=1&&y=%20;z/../", "", ""},
		{"characters that URLs escape", `GET /read/"<k>|^`, "", ""},
		{"keyed", "POST /order/k", "Idempotency-Key: 5C0f\nX-Novel: 1\n", "body"},
		{"unsafe, no body", "POST /pay/k", "", ""},
		{"64 KiB", "POST /pay/k", "", big},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := fmt.Sprintf("%s HTTP/1.1\nHost: s\nX-Request-ID: id%d\nX-Timeout-Ms: 9000\n%s", tt.line, i, tt.headers)
			if strings.HasPrefix(tt.line, "POST") {
				text += fmt.Sprintf("Content-Length: %d\n", len(tt.body))
			}
			resp, body := sc.roundTrip(t, text+"\n"+tt.body)
			if resp.StatusCode != http.StatusOK || body != "ok" {
				t.Fatalf("status %d %q", resp.StatusCode, body)
			}
			s := receive(t, "request", got)
			if s.line != tt.line {
				t.Errorf("request line %q, want %q", s.line, tt.line)
			}
			if s.bodyLength != len(tt.body) || s.bodySum != sha256.Sum256([]byte(tt.body)) {
				t.Errorf("the body of %d bytes differs from the client's", s.bodyLength)
			}
			if id := s.header.Get("X-Request-Id"); id != fmt.Sprint("id", i) {
				t.Errorf("X-Request-ID %q", id)
			}
			if strings.Contains(tt.headers, "5C0f") && (s.header.Get("Idempotency-Key") != "5C0f" || s.header.Get("X-Novel") != "1") {
				t.Errorf("headers %v", s.header)
			}
		})
	}
}

// TestChunkedBodiesAreForwarded checks that a server receives a chunked body in one piece, and does
// not receive a truncated one.
func TestChunkedBodiesAreForwarded(t *testing.T) {
	addr, got := startRecordingServer(t)
	sc := startSidecar(t, newScriptedModule(), addr, "127.0.0.1:1")
	head := "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nTransfer-Encoding: chunked\n\n"
	for _, n := range []int{0, 1, 8 << 10, httpmsg.MaxFullBody} {
		body := strings.Repeat("0123456789abcdef", n/16+1)[:n]
		c := sc.connect(t)
		c.write(head)
		if n > 0 {
			fmt.Fprintf(c, "%x\r\n%s\r\n", n, body)
		}
		c.write("0\n\n")
		if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
			t.Errorf("%d bytes: status %d", n, resp.StatusCode)
		}
		if s := receive(t, "request", got); s.bodyLength != n || s.bodySum != sha256.Sum256([]byte(body)) {
			t.Errorf("%d bytes: the server received %d bytes, or a different body", n, s.bodyLength)
		}
	}
	c := sc.connect(t)
	c.write(head)
	fmt.Fprintf(c, "%x\r\n%s\r\n", 5, "hello")
	c.Conn.(*net.TCPConn).CloseWrite()
	if resp, _ := c.read(t); resp.StatusCode != http.StatusBadRequest || len(got) > 0 {
		t.Errorf("truncated body: status %d, %d requests forwarded", resp.StatusCode, len(got))
	}
}

// TestTimeoutIsForwarded checks that X-Timeout-Ms tells the server how long the sidecar waits,
// rather than the client's timeout.
func TestTimeoutIsForwarded(t *testing.T) {
	addr, got := startRecordingServer(t)
	m := newScriptedModule()
	m.onRequest = func(_ policy.Time, q policy.Request, act policy.Actions) { act.Send(q.ID, "a", 700*time.Millisecond) }
	sc := startSidecar(t, m, addr, "127.0.0.1:1")
	sc.roundTrip(t, plainGet)
	ms, err := strconv.Atoi(receive(t, "request", got).header.Get("X-Timeout-Ms"))
	if err != nil || ms < 1 || ms > 700 {
		t.Errorf("X-Timeout-Ms is %d, %v; want at most 700", ms, err)
	}
}

// TestRequestEvents checks the event that the module receives for each request.
func TestRequestEvents(t *testing.T) {
	type event struct {
		policy.Request
		remaining time.Duration
	}
	events := make(chan event, 10)
	m := newScriptedModule()
	m.onRequest = func(now policy.Time, q policy.Request, act policy.Actions) {
		events <- event{q, q.Expires - now}
		act.Fail(q.ID)
	}
	sc := startSidecar(t, m, "127.0.0.1:1", "127.0.0.1:1")
	tests := []struct {
		name, request string
		want          policy.Request
		remaining     time.Duration // upper limit; at least 1 s less
	}{
		{"all headers", "GET /read/u/k7 HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 4000\nX-Tenant-Id: acme\nX-Retried: 1\nX-Cost: 1200\nX-Attrs: a=1\n\n",
			policy.Request{Class: "read", Key: "k7", Tenant: "acme", Retry: true, Cost: 1200 * time.Microsecond}, 4 * time.Second},
		{"no key", "GET /read HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 4000\n\n", policy.Request{Class: "read"}, 4 * time.Second},
		{"no timeout", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\n\n", policy.Request{Class: "read", Key: "k"}, 10 * time.Second},
		{"maximum timeout", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9223372036854775807\n\n", policy.Request{Class: "read", Key: "k"}, 10 * time.Second},
		{"malformed cost", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 4000\nX-Cost: much\nX-Attrs: ====,\n\n", policy.Request{Class: "read", Key: "k"}, 4 * time.Second},
		{"negative cost", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 4000\nX-Cost: -3\n\n", policy.Request{Class: "read", Key: "k"}, 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if resp, _ := sc.roundTrip(t, tt.request); resp.StatusCode != http.StatusBadGateway {
				t.Errorf("status %d for a request that the module fails", resp.StatusCode)
			}
			e := receive(t, "event", events)
			got := e.Request
			got.ID, got.Expires = 0, 0
			tt.want.ClientTimeout = tt.remaining
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("event %+v, want %+v", got, tt.want)
			}
			if e.remaining > tt.remaining || e.remaining < tt.remaining-time.Second {
				t.Errorf("%v remaining, want %v", e.remaining, tt.remaining)
			}
		})
	}
}

// TestInvalidRequests checks that invalid requests get an error response, and reach neither the
// module nor a server.
func TestInvalidRequests(t *testing.T) {
	m := newScriptedModule()
	m.onRequest = func(_ policy.Time, q policy.Request, act policy.Actions) {
		t.Errorf("the module received %+v", q)
		act.Fail(q.ID)
	}
	sc := startSidecar(t, m, "127.0.0.1:1", "127.0.0.1:1")
	tests := []struct {
		name, request string
		want          int
	}{
		{"not HTTP", "HELLO\n\n", 400},
		{"no request ID", "GET /read/k HTTP/1.1\nHost: s\nX-Timeout-Ms: 9000\n\n", 400},
		{"no host", "GET /read/k HTTP/1.1\nX-Request-ID: 1\n\n", 400},
		{"unknown class and no timeout", "GET /novel/k HTTP/1.1\nHost: s\nX-Request-ID: 1\n\n", 404},
		{"non-numeric timeout", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: soon\n\n", 400},
		{"negative timeout", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: -4\n\n", 400},
		{"unknown class", "POST /novel/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 4000\nContent-Length: 0\n\n", 404},
		{"wrong method for the class", "POST /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 0\n\n", 405},
		{"body not allowed by the class", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 1\n\nx", 400},
		{"two request IDs", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Request-ID: 2\n\n", 400},
		{"Content-Length and Transfer-Encoding", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 5\nTransfer-Encoding: chunked\n\n0\n\n", 400},
		{"two Content-Length headers", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 0\nContent-Length: 0\n\n", 400},
		{"negative length", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: -5\n\n", 400},
		{"unknown transfer coding", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nTransfer-Encoding: xchunked\n\n0\n\n", 400},
		{"folded header line", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 0\nX-A: b\n Transfer-Encoding: chunked\n\n", 400},
		{"pipelined requests", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\n\nGET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 2\n\n", 400},
		{"keyed class without a key", "POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 0\n\n", 400},
		{"idempotency key as hop-by-hop header", "POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nIdempotency-Key: k\nConnection: close, Idempotency-Key\nContent-Length: 0\n\n", 400},
		{"request ID as hop-by-hop header", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nConnection: X-Request-ID\n\n", 400},
		{"invalid host", "GET /read/k HTTP/1.1\nHost: a b/c\nX-Request-ID: 1\n\n", 400},
		{"dot segments out of the class", "GET /read/../order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\n\n", 400},
		{"non-numeric length", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: many\n\n", 400},
		{"over 32 MiB", fmt.Sprintf("POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: %d\n\n", httpmsg.MaxBody+1), 413},
		{"invalid chunk", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nTransfer-Encoding: chunked\n\nzz\n", 400},
		{"head too long", "GET /read/k HTTP/1.1\nHost: s\nX-Long: " + strings.Repeat("x", 2*(8<<10)) + "\n\n", 431},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := sc.connect(t)
			go c.write(tt.request)
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil || resp.StatusCode != tt.want {
				t.Errorf("response %v, %v; want status %d", resp, err, tt.want)
			}
		})
	}
	t.Run("healthz", func(t *testing.T) {
		if resp, _ := sc.roundTrip(t, "GET /healthz HTTP/1.1\nHost: s\n\n"); resp.StatusCode != 200 {
			t.Errorf("status %d", resp.StatusCode)
		}
	})
}

// TestNewRequestsAreNotTreatedAsRetries guards against a spiral of refusals: requests without a key
// that follow a failed one must not all be treated as its retries, which would date them back to
// its start and end them as late. A real retry is dated back.
func TestNewRequestsAreNotTreatedAsRetries(t *testing.T) {
	var healthy atomic.Bool
	addr := startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		text := "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
		if healthy.Load() {
			text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		}
		io.WriteString(c, text)
	}))
	const aim = 1500 * time.Millisecond
	sc := startSidecar(t, nil, addr, "127.0.0.1:1", func(c *config.Config) {
		c.Settings.Config.MayProbe = false
		for i := range c.Settings.Config.Classes {
			c.Settings.Config.Classes[i].Aim = aim
		}
	})
	text := "GET /read HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 5000\nX-Cost: %d\n\n"
	if resp, _ := sc.roundTrip(t, fmt.Sprintf(text, 1000)); resp.StatusCode == http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	healthy.Store(true)
	time.Sleep(aim + 50*time.Millisecond) // the aim of the failed request has passed
	if resp, _ := sc.roundTrip(t, fmt.Sprintf(text, 1500)); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d for a new request", resp.StatusCode)
	}
	if resp, _ := sc.roundTrip(t, fmt.Sprintf(text, 1000)); resp.StatusCode == http.StatusOK {
		t.Errorf("status %d for a retry after its aim", resp.StatusCode)
	}
}

// TestSlowServerRecovers guards against an estimate that prevents the evidence against it: a server
// that was slow, and is considered too slow for any request, gets a request as soon as it reports
// an empty queue.
func TestSlowServerRecovers(t *testing.T) {
	var slow atomic.Bool
	slow.Store(true)
	const aim = 100 * time.Millisecond
	addr := startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		if q.URL.Path == "/load" {
			text = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nqueue=0"
		} else if slow.Load() {
			time.Sleep(4 * aim)
		}
		io.WriteString(c, text)
	}))
	sc := startSidecar(t, nil, addr, "127.0.0.1:1", func(c *config.Config) {
		for i := range c.Settings.Config.Classes {
			c.Settings.Config.Classes[i].Aim, c.Settings.Config.Classes[i].LateShare = aim, 0.5
		}
	})
	for range 6 {
		sc.roundTrip(t, plainGet)
	}
	slow.Store(false)
	for range 3 {
		if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK {
			t.Errorf("status %d, although the server is idle", resp.StatusCode)
		}
	}
}

// TestIdleClientConnectionsAreClosed checks that a client that keeps its connection after one
// request holds a descriptor for about 2 s, rather than forever.
func TestIdleClientConnectionsAreClosed(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1")
	c := sc.connect(t)
	// Taken before the connection becomes idle, so that the limit below holds on a slow machine.
	began := time.Now()
	c.write(plainGet)
	c.read(t)
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("read: %v, want EOF", err)
	}
	if d := time.Since(began); d < 2*time.Second {
		t.Errorf("closed after %v, want at least 2 s", d)
	} else if d > testTimeout/2 {
		t.Errorf("closed after %v", d)
	}
}

// TestDuplicateRequestID checks that while a request is open, another request with its ID is
// rejected on any connection without affecting it, and that the ID can be used again afterwards.
func TestDuplicateRequestID(t *testing.T) {
	g := newGatedServer(t)
	sc := startSidecar(t, newScriptedModule(), g.addr, "127.0.0.1:1")
	text := strings.Replace(plainGet, "ID: 1", "ID: twice", 1)
	first := sc.connect(t)
	first.write(text)
	receive(t, "request", g.requests)
	if resp, _ := sc.roundTrip(t, text); resp.StatusCode != http.StatusConflict || !resp.Close {
		t.Errorf("second request: status %d, close: %v", resp.StatusCode, resp.Close)
	}
	close(g.gate)
	if resp, body := first.read(t); resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("first request: status %d %q", resp.StatusCode, body)
	}
	if resp, _ := sc.roundTrip(t, text); resp.StatusCode != http.StatusOK {
		t.Errorf("after the first request has ended: status %d", resp.StatusCode)
	}
}

// TestPipelinedRequest checks that a client that sends a second request before the response to the
// first is rejected, and that its open request is canceled rather than answered out of order.
func TestPipelinedRequest(t *testing.T) {
	g := newGatedServer(t)
	m := newScriptedModule()
	sc := startSidecar(t, m, g.addr, "127.0.0.1:1")
	c := sc.connect(t)
	c.write(plainGet)
	receive(t, "request", g.requests)
	c.write(plainGet)
	if resp, _ := c.read(t); resp.StatusCode != http.StatusBadRequest || !resp.Close {
		t.Errorf("status %d, close: %v", resp.StatusCode, resp.Close)
	}
	receive(t, "ClientDisconnected", m.disconnects)
	close(g.gate)
}

// TestStalledClientsAreClosed checks that silence, an incomplete head and an incomplete body each
// lead to an error or a close within the required 3 s (the test allows what a slow machine needs),
// and that no resources are leaked.
func TestStalledClientsAreClosed(t *testing.T) {
	m := newScriptedModule()
	m.onRequest = func(_ policy.Time, q policy.Request, act policy.Actions) {
		t.Errorf("the module received %+v", q)
		act.Fail(q.ID)
	}
	sc := startSidecar(t, m, "127.0.0.1:1", "127.0.0.1:1")
	for _, text := range []string{
		"", "GET /read/k HTTP/1.1\nHost: s\nX-", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 9\n\nhalf",
		"POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nTransfer-Encoding: chunked\n\n9\nhalf",
	} {
		c := sc.connect(t)
		c.write(text)
		resp, err := http.ReadResponse(c.r, nil)
		if err == nil && resp.StatusCode < 400 {
			t.Errorf("%q: status %d", text, resp.StatusCode)
		} else if isTimeout(err) {
			t.Errorf("%q: neither an error nor a close", text)
		}
	}
	eventually(t, "all resources are released", func() bool {
		return sc.server.Stats().Open == 0 && sc.bodyBudget.Used() == 0
	})
}

// TestTimeoutStartsAtLastByte guards against counting the time that a slow client takes to send its
// request towards the timeout.
func TestTimeoutStartsAtLastByte(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1")
	c := sc.connect(t)
	c.write("POST /pay/k HTTP/1.1\nHost: s\nX-Reque")
	time.Sleep(600 * time.Millisecond)
	c.write("st-ID: 1\nX-Timeout-Ms: 1000\nContent-Length: 2\n\nx")
	time.Sleep(600 * time.Millisecond)
	c.write("y")
	if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// TestKeepAlive checks that a client connection carries several requests, one after the other.
func TestKeepAlive(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1")
	c := sc.connect(t)
	for range 5 {
		c.write(plainGet)
		if resp, body := c.read(t); resp.StatusCode != 200 || body != "ok" || resp.Close {
			t.Fatalf("status %d %q, close: %v", resp.StatusCode, body, resp.Close)
		}
	}
}

// TestFinalResponses checks the response that the client gets for each decision of the module.
func TestFinalResponses(t *testing.T) {
	tests := []struct {
		name   string
		decide func(id policy.RequestID, act policy.Actions)
		want   int
		retry  string
	}{
		{"refused", func(id policy.RequestID, act policy.Actions) { act.Refuse(id, 0) }, 503, ""},
		{"refused with a delay", func(id policy.RequestID, act policy.Actions) { act.Refuse(id, 1500*time.Millisecond) }, 503, "1.5"},
		{"failed", func(id policy.RequestID, act policy.Actions) { act.Fail(id) }, 502, ""},
		{"two decisions", func(id policy.RequestID, act policy.Actions) { act.Fail(id); act.Refuse(id, 0) }, 502, ""},
		{"send after the decision", func(id policy.RequestID, act policy.Actions) { act.Refuse(id, 0); act.Send(id, "a", time.Second) }, 503, ""},
		{"unlisted server", func(id policy.RequestID, act policy.Actions) { act.Send(id, "b", time.Second) }, 502, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newScriptedModule()
			m.onRequest = func(_ policy.Time, q policy.Request, act policy.Actions) { tt.decide(q.ID, act) }
			sc := startSidecar(t, m, startServer(t, func(int, net.Conn) { t.Error("a server was reached") }), "127.0.0.1:1")
			resp, _ := sc.roundTrip(t, plainGet)
			if resp.StatusCode != tt.want || resp.Header.Get("Retry-After") != tt.retry {
				t.Errorf("status %d, Retry-After %q; want %d, %q", resp.StatusCode, resp.Header.Get("Retry-After"), tt.want, tt.retry)
			}
			eventually(t, "no state is retained", func() bool {
				return sc.engine.Snapshot().Retained == 0
			})
		})
	}
}

// TestOversizedResponses checks that a response that is longer than the protocol allows is not read
// to its end, that its connection is closed, and that the client can tell that the request has
// failed.
func TestOversizedResponses(t *testing.T) {
	for _, head := range []string{
		"Content-Length: 3000000000\r\n\r\n",
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", 1<<30),
	} {
		closed := make(chan struct{})
		m := newScriptedModule()
		sc := startSidecar(t, m, startServer(t, func(_ int, c net.Conn) {
			http.ReadRequest(bufio.NewReader(c))
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
			for {
				if _, err := c.Write(make([]byte, 1<<16)); err != nil {
					close(closed)
					return
				}
			}
		}), "127.0.0.1:1")
		c := sc.connect(t)
		c.write(plainGet)
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); resp.StatusCode == http.StatusOK && (err == nil || n > httpmsg.MaxBody) {
			t.Errorf("%d bytes look like a complete response", n)
		}
		receive(t, "the close of the server's connection", closed)
		if o := receive(t, "outcome", m.outcomes); o.Status != policy.Reset {
			t.Errorf("outcome %+v, want Reset", o)
		}
	}
}

// TestSlowChunkedBodiesDoNotBlockOthers guards against incident r1f1b89: while some clients are
// slow to send bodies of unknown length, the bodies of other clients are read.
func TestSlowChunkedBodiesDoNotBlockOthers(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1")
	for range 20 {
		c := sc.connect(t)
		c.write("POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nTransfer-Encoding: chunked\n\n")
		fmt.Fprintf(c, "%x\r\n%s", 60<<10, make([]byte, 30<<10)) // never completed
	}
	for range 3 {
		body := strings.Repeat("x", 50<<10)
		resp, _ := sc.roundTrip(t, fmt.Sprintf("POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nTransfer-Encoding: chunked\n\n%x\n%s\n0\n\n", len(body), body))
		if resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
}

// TestOrderRepeatedWithoutMemory guards against an order that is taken for another one because less of its
// body is held when it is repeated.
func TestOrderRepeatedWithoutMemory(t *testing.T) {
	sc := startSidecarWith(t, config.Operator{Store: &orders.Config{}}, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1")
	text := strings.Repeat("x", 200<<10)
	order := func(key, framing string) int {
		resp, _ := sc.roundTrip(t, fmt.Sprintf("POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nIdempotency-Key: %s\n%s", key, framing))
		return resp.StatusCode
	}
	framings := map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\n\n%s", len(text), text),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\n\n%x\n%s\n0\n\n", len(text), text),
	}
	for key, framing := range framings {
		if status := order(key, framing); status != http.StatusOK {
			t.Fatalf("%s: status %d", key, status)
		}
	}
	for sc.bodyBudget.Reserve(1<<20, 1<<20).Bytes > 0 { // the share of long bodies
	}
	for key, framing := range framings {
		if status := order(key, framing); status != http.StatusOK {
			t.Errorf("%s: status %d of the same order with less memory", key, status)
		}
	}
}

// TestBodyBudgetIsBounded checks that bodies that are only announced never reserve more than their
// share of the memory, and that a body that finds no memory is served without any, in time.
func TestBodyBudgetIsBounded(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1", func(c *config.Config) { c.MemoryMB = config.MinMemoryMB })
	if _, err := sc.bodyBudget.AwaitStart(t.Context(), httpmsg.MaxFullBody, time.Second); err != nil {
		t.Fatal(err)
	}
	for sc.bodyBudget.Reserve(1<<10, 0).Bytes > 0 {
	}
	if used := sc.bodyBudget.Used(); used != config.MinMemoryMB<<20/8 {
		t.Errorf("%d bytes are reserved, not an eighth of the memory", used)
	}
	for _, body := range []string{"Content-Length: 1\n\nx", "Transfer-Encoding: chunked\n\n1\nx\n0\n\n"} {
		begun := time.Now()
		resp, _ := sc.roundTrip(t, "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 1000\n"+body)
		if took := time.Since(begun); resp.StatusCode != http.StatusOK || took > time.Second {
			t.Errorf("%q: status %d after %v without free memory", body, resp.StatusCode, took)
		}
	}
}

// TestSlowBodiesDoNotBlockSmallOnes guards against incident r1f0832: while clients are slow to send
// large bodies, small bodies are read.
func TestSlowBodiesDoNotBlockSmallOnes(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1")
	for range 40 {
		sc.connect(t).write(fmt.Sprintf("POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nContent-Length: %d\n\nx", 60<<10))
	}
	if resp, _ := sc.roundTrip(t, "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nContent-Length: 1\n\nx"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	body := strings.Repeat("0123456789abcdef", 1000)
	if resp, _ := sc.roundTrip(t, fmt.Sprintf("POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nTransfer-Encoding: chunked\n\n%x\n%s\n0\n\n", 5, body[:5])); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// TestIdleServerIsPreferredToBusyOne guards against random refusals: a request must not be refused
// because the server drawn for it has a long queue while another one is known to have none.
func TestIdleServerIsPreferredToBusyOne(t *testing.T) {
	const service = 20 * time.Millisecond
	// learned is closed once the idle server has responded: until then the other report would set
	// the scale.
	learned := make(chan struct{})
	serve := func(report string, takes time.Duration) func(int, net.Conn) {
		return respondWith(func(q *http.Request, c net.Conn) {
			text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
			if q.URL.Path != "/load" {
				time.Sleep(takes)
			} else if text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report); takes > service {
				<-learned
			}
			io.WriteString(c, text)
		})
	}
	idle, busy := startServer(t, serve("queue=0", service)), startServer(t, serve("queue=100", 20*service))
	sc := startSidecar(t, nil, idle, "127.0.0.1:1", func(c *config.Config) {
		c.CachedList.Servers = append(c.CachedList.Servers, engine.Server{ID: "b", Addr: busy, Zone: "z"})
		c.Settings.Config.ProbeTariff = 1e6 // only the first request causes probes
		// With this, the other classes accept a short queue only, well below their aim.
		c.Settings.Config.Classes[1].Worth = 1e4
	})
	if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK {
		t.Fatalf("first request: status %d", resp.StatusCode)
	}
	close(learned)
	eventually(t, "both reports have arrived", func() bool {
		return sc.engine.Snapshot().Probing == 0
	})
	for range 20 {
		if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK {
			t.Errorf("status %d, although one server is idle", resp.StatusCode)
		}
	}
}

// TestOwnRequestsCountTowardsQueue guards against outdated reports: a server that was idle at its
// last report is not idle while requests of this sidecar wait there, and what would be too late
// behind them is refused at once.
func TestOwnRequestsCountTowardsQueue(t *testing.T) {
	const service = 20 * time.Millisecond
	gate := make(chan struct{})
	var learned atomic.Bool
	addr := startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		if q.URL.Path == "/load" {
			text = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nqueue=0"
		} else if learned.Load() {
			<-gate
		} else {
			time.Sleep(service)
		}
		io.WriteString(c, text)
	}))
	sc := startSidecar(t, nil, addr, "127.0.0.1:1", func(c *config.Config) {
		c.Settings.Config.MaxRetryAfter = time.Second
		c.Settings.Config.ProbeTariff = 1e6 // only the first request causes probes
		// With this, the other classes accept a short queue only.
		c.Settings.Config.Classes[1].Worth = 1e4
	})
	if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK {
		t.Fatalf("first request: status %d", resp.StatusCode)
	}
	learned.Store(true)
	const burst = 30
	responses := make(chan *http.Response, burst)
	for range burst {
		c := sc.connect(t)
		c.write(plainGet)
		go func() {
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				resp = &http.Response{}
			}
			responses <- resp
		}()
	}
	first := receive(t, "response", responses)
	if first.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d while all other requests wait, want 503", first.StatusCode)
	}
	// Retry-After is set, as a client that retries at once is refused again.
	if wait, err := strconv.ParseFloat(first.Header.Get("Retry-After"), 64); err != nil || wait <= 0 || wait > 1 {
		t.Errorf("Retry-After %q", first.Header.Get("Retry-After"))
	}
	close(gate)
	served := 0
	for range burst - 1 {
		switch status := receive(t, "response", responses).StatusCode; status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
		default:
			t.Errorf("status %d", status)
		}
	}
	if served == 0 {
		t.Error("no request was served")
	}
}

// TestBusySidecarUsesWholeFleet guards against servers that stay idle because no busy sidecar has
// them in its ready set.
func TestBusySidecarUsesWholeFleet(t *testing.T) {
	const fleet = 6
	var requests [fleet]atomic.Int64
	var hosts []engine.Server
	for i := range fleet {
		addr := startServer(t, respondWith(func(q *http.Request, c net.Conn) {
			requests[i].Add(1)
			io.WriteString(c, strings.ReplaceAll(okResponse, "\n", "\r\n"))
		}))
		hosts = append(hosts, engine.Server{ID: policy.ServerID(fmt.Sprint("u", i)), Addr: addr, Zone: "z"})
	}
	sc := startSidecar(t, nil, "127.0.0.1:1", "127.0.0.1:1", func(c *config.Config) {
		c.CachedList.Servers = hosts
		c.Settings.Config.MayProbe = false
	})
	c := sc.connect(t)
	for range 200 {
		c.write(plainGet)
		if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	for i := range requests {
		if requests[i].Load() == 0 {
			t.Errorf("server %d of %d got no request", i, fleet)
		}
	}
}

// TestIdleClientConnectionsAreLimited guards against many clients that each send one request on a
// new connection and keep it: a few connections are kept for the next request, and the other
// clients are told that the connection closes.
func TestIdleClientConnectionsAreLimited(t *testing.T) {
	sc := startSidecar(t, nil, startServer(t, respondText(okResponse)), "127.0.0.1:1", func(c *config.Config) {
		c.Sockets, c.Settings.Config.MayProbe = config.MinSockets, false
	})
	const many = 20 // of 28 client connections
	kept := 0
	for i := range many {
		c := sc.connect(t)
		c.write(plainGet)
		resp, _ := c.read(t)
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d", resp.StatusCode)
		}
		if !resp.Close {
			kept++
			continue
		}
		if _, err := c.r.ReadByte(); err != io.EOF {
			t.Errorf("connection %d stays open after its last response: %v", i, err)
		}
	}
	if kept == 0 || kept > many*3/4 {
		t.Errorf("%d of %d connections kept", kept, many)
	}
}

// TestUnusableLoadReports guards against requests that wait for reports that never arrive: once all
// probes of its round have ended, a request proceeds without reports.
func TestUnusableLoadReports(t *testing.T) {
	loads := map[string]string{
		"unreadable": "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nqueue=?",
		"failed":     "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
	}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			serve := func(load string) string {
				return startServer(t, respondWith(func(q *http.Request, c net.Conn) {
					text := strings.ReplaceAll(okResponse, "\n", "\r\n")
					if q.URL.Path == "/load" {
						text = load
					}
					io.WriteString(c, text)
				}))
			}
			sc := startSidecar(t, nil, serve(load), "127.0.0.1:1", func(c *config.Config) {
				for i := range 3 {
					c.CachedList.Servers = append(c.CachedList.Servers, engine.Server{ID: policy.ServerID(fmt.Sprint("u", i)), Addr: serve(load), Zone: "z"})
				}
			})
			for range 3 {
				if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK {
					t.Errorf("status %d, although servers are idle", resp.StatusCode)
				}
			}
		})
	}
}

// TestLateRetryIsServedByIdleServer checks that a retry after its aim, which still has its late
// share of the worth, is served where no request waits.
func TestLateRetryIsServedByIdleServer(t *testing.T) {
	var healthy atomic.Bool
	addr := startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		text := "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
		if healthy.Load() {
			text = strings.ReplaceAll(okResponse, "\n", "\r\n")
		}
		io.WriteString(c, text)
	}))
	const aim = 300 * time.Millisecond
	sc := startSidecar(t, nil, addr, "127.0.0.1:1", func(c *config.Config) {
		c.Settings.Config.MayProbe = false
		for i := range c.Settings.Config.Classes {
			c.Settings.Config.Classes[i].Aim, c.Settings.Config.Classes[i].LateShare = aim, 0.5
		}
	})
	text := "GET /read HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 5000\nX-Cost: 1000\n\n"
	if resp, _ := sc.roundTrip(t, text); resp.StatusCode == http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	healthy.Store(true)
	time.Sleep(aim + 50*time.Millisecond)
	if resp, _ := sc.roundTrip(t, text); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d for a late retry, although the server is idle", resp.StatusCode)
	}
}

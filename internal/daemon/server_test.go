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
	"quillfront/policy"
)

// receivedRequest is a request as an upstream has it.
type receivedRequest struct {
	line       string // method and target as they stand on the wire
	header     http.Header
	bodySum    [sha256.Size]byte
	bodyLength int
}

// startRecordingServer answers requests with okAnswer and tells what it saw.
func startRecordingServer(t *testing.T) (string, chan receivedRequest) {
	got := make(chan receivedRequest, 100)
	return startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		body, _ := io.ReadAll(q.Body)
		got <- receivedRequest{q.Method + " " + q.RequestURI, q.Header, sha256.Sum256(body), len(body)}
		io.WriteString(c, strings.ReplaceAll(okResponse, "\n", "\r\n"))
	})), got
}

// TestForwardsUnchanged guards what an upstream tells repeats by, and paths that a mux or a URL parser rewrites.
func TestForwardsUnchanged(t *testing.T) {
	addr, got := startRecordingServer(t)
	sc := startSidecar(t, newScriptedModule(), addr, "127.0.0.1:1")
	big := strings.Repeat("0123456789abcdef", httpmsg.MaxFullBody/16)
	tests := []struct{ name, line, headers, body string }{
		{"plain", "GET /read/k", "", ""},
		{"target kept byte for byte", "GET /read/a%2Fb//c/..d/%41?x=1&&y=%20;z/../", "", ""},
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
				t.Fatalf("answer %d %q", resp.StatusCode, body)
			}
			s := receive(t, "request", got)
			if s.line != tt.line {
				t.Errorf("request line %q, want %q", s.line, tt.line)
			}
			if s.bodyLength != len(tt.body) || s.bodySum != sha256.Sum256([]byte(tt.body)) {
				t.Errorf("body of %d bytes is not the client's", s.bodyLength)
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

// TestChunkedBodiesAreForwarded: their parts come to the upstream in one piece, and one that breaks off does not.
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
			t.Errorf("%d bytes: answer %d", n, resp.StatusCode)
		}
		if s := receive(t, "request", got); s.bodyLength != n || s.bodySum != sha256.Sum256([]byte(body)) {
			t.Errorf("%d bytes came as %d, or changed", n, s.bodyLength)
		}
	}
	c := sc.connect(t)
	c.write(head)
	fmt.Fprintf(c, "%x\r\n%s\r\n", 5, "hello")
	c.Conn.(*net.TCPConn).CloseWrite()
	if resp, _ := c.read(t); resp.StatusCode != http.StatusBadRequest || len(got) > 0 {
		t.Errorf("answer %d to half a body, %d sent on", resp.StatusCode, len(got))
	}
}

// TestWaitIsPassedOn: X-Timeout-Ms tells the upstream how long the sidecar waits, not what the client said.
func TestWaitIsPassedOn(t *testing.T) {
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

// TestWhatTheModuleIsTold is a table of requests and the event of each.
func TestWhatTheModuleIsTold(t *testing.T) {
	type event struct {
		policy.Request
		left time.Duration
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
		left          time.Duration // at most, and at least 1 s less
	}{
		{"all there is", "GET /read/u/k7 HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 4000\nX-Tenant-Id: acme\nX-Retried: 1\nX-Cost: 1200\nX-Attrs: a=1\n\n",
			policy.Request{Class: "read", Key: "k7", Tenant: "acme", Retry: true, Cost: 1200 * time.Microsecond}, 4 * time.Second},
		{"no key", "GET /read HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 4000\n\n", policy.Request{Class: "read"}, 4 * time.Second},
		{"no timeout", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\n\n", policy.Request{Class: "read", Key: "k"}, 10 * time.Second},
		{"endless timeout", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9223372036854775807\n\n", policy.Request{Class: "read", Key: "k"}, 10 * time.Second},
		{"malformed cost", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 4000\nX-Cost: much\nX-Attrs: ====,\n\n", policy.Request{Class: "read", Key: "k"}, 4 * time.Second},
		{"negative cost", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 4000\nX-Cost: -3\n\n", policy.Request{Class: "read", Key: "k"}, 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if resp, _ := sc.roundTrip(t, tt.request); resp.StatusCode != http.StatusBadGateway {
				t.Errorf("answer %d to a request that the module fails", resp.StatusCode)
			}
			e := receive(t, "event", events)
			got := e.Request
			got.ID, got.Expires = 0, 0
			tt.want.ClientTimeout = tt.left
			if !reflect.DeepEqual(got, tt.want) {
				t.Errorf("event %+v, want %+v", got, tt.want)
			}
			if e.left > tt.left || e.left < tt.left-time.Second {
				t.Errorf("%v left, want %v", e.left, tt.left)
			}
		})
	}
}

// TestIllegalRequests: what is malformed is answered, and comes neither to the module nor to an upstream.
func TestIllegalRequests(t *testing.T) {
	m := newScriptedModule()
	m.onRequest = func(_ policy.Time, q policy.Request, act policy.Actions) {
		t.Errorf("the module got %+v", q)
		act.Fail(q.ID)
	}
	sc := startSidecar(t, m, "127.0.0.1:1", "127.0.0.1:1")
	tests := []struct {
		name, request string
		want          int
	}{
		{"no HTTP", "HELLO\n\n", 400},
		{"no id", "GET /read/k HTTP/1.1\nHost: s\nX-Timeout-Ms: 9000\n\n", 400},
		{"no host", "GET /read/k HTTP/1.1\nX-Request-ID: 1\n\n", 400},
		{"unknown class and no timeout", "GET /novel/k HTTP/1.1\nHost: s\nX-Request-ID: 1\n\n", 404},
		{"a deadline that is no number", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: soon\n\n", 400},
		{"a negative deadline", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: -4\n\n", 400},
		{"unknown class", "POST /novel/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 4000\nContent-Length: 0\n\n", 404},
		{"a method that is not the class's", "POST /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 0\n\n", 405},
		{"a body that the class has not", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 1\n\nx", 400},
		{"two ids", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Request-ID: 2\n\n", 400},
		{"both lengths", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 5\nTransfer-Encoding: chunked\n\n0\n\n", 400},
		{"two lengths", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 0\nContent-Length: 0\n\n", 400},
		{"a negative length", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: -5\n\n", 400},
		{"a coding of another name", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nTransfer-Encoding: xchunked\n\n0\n\n", 400},
		{"a folded line", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 0\nX-A: b\n Transfer-Encoding: chunked\n\n", 400},
		{"requests in one go", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\n\nGET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 2\n\n", 400},
		{"keyed class without a key", "POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 0\n\n", 400},
		{"a key taken out on the way", "POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nIdempotency-Key: k\nConnection: close, Idempotency-Key\nContent-Length: 0\n\n", 400},
		{"an id taken out on the way", "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nConnection: X-Request-ID\n\n", 400},
		{"a host that is none", "GET /read/k HTTP/1.1\nHost: a b/c\nX-Request-ID: 1\n\n", 400},
		{"dots out of the class", "GET /read/../order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\n\n", 400},
		{"senseless length", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: many\n\n", 400},
		{"over 32 MiB", fmt.Sprintf("POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: %d\n\n", httpmsg.MaxBody+1), 413},
		{"broken chunk", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nTransfer-Encoding: chunked\n\nzz\n", 400},
		{"head too long", "GET /read/k HTTP/1.1\nHost: s\nX-Long: " + strings.Repeat("x", 2*(8<<10)) + "\n\n", 431},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := sc.connect(t)
			go c.write(tt.request)
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil || resp.StatusCode != tt.want {
				t.Errorf("answer %v, %v; want %d", resp, err, tt.want)
			}
		})
	}
	t.Run("healthz", func(t *testing.T) {
		if resp, _ := sc.roundTrip(t, "GET /healthz HTTP/1.1\nHost: s\n\n"); resp.StatusCode != 200 {
			t.Errorf("answer %d", resp.StatusCode)
		}
	})
}

// TestFreshRequestsAreNotTakenForRetries guards against a spiral of refusals: requests without a key that come after one
// that failed are not all its retries, begun when it began, and so must not be ended as late. A true retry is.
func TestFreshRequestsAreNotTakenForRetries(t *testing.T) {
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
		t.Fatalf("answer %d", resp.StatusCode)
	}
	healthy.Store(true)
	time.Sleep(aim + 50*time.Millisecond) // what the failed one would be worth is gone
	if resp, _ := sc.roundTrip(t, fmt.Sprintf(text, 1500)); resp.StatusCode != http.StatusOK {
		t.Errorf("answer %d to a fresh request", resp.StatusCode)
	}
	if resp, _ := sc.roundTrip(t, fmt.Sprintf(text, 1000)); resp.StatusCode == http.StatusOK {
		t.Errorf("answer %d to a retry whose aim has passed", resp.StatusCode)
	}
}

// TestBeliefDoesNotStarve guards against beliefs that keep out the evidence against them: an upstream that was slow, and
// so is held too slow for any request, gets one as soon as it reports an empty queue.
func TestBeliefDoesNotStarve(t *testing.T) {
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
			t.Errorf("answer %d, though the upstream is idle", resp.StatusCode)
		}
	}
}

// TestIdleClientsEnd: a client that has asked once and keeps its connection holds a descriptor for about 2 s, not for
// good.
func TestIdleClientsEnd(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1")
	c := sc.connect(t)
	began := time.Now() // before the connection falls idle: the bound below holds on a slow machine too
	c.write(plainGet)
	c.read(t)
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("read: %v, want the end", err)
	}
	if d := time.Since(began); d < 2*time.Second {
		t.Errorf("closed after %v: 2 s are owed", d)
	} else if d > testTimeout/2 {
		t.Errorf("closed after %v", d)
	}
}

// TestOneIdOpenOnce: while a request is open another under its id is turned away, on whatever connection, and does not
// disturb it; afterwards the id is free again.
func TestOneIdOpenOnce(t *testing.T) {
	g := newGatedServer(t)
	sc := startSidecar(t, newScriptedModule(), g.addr, "127.0.0.1:1")
	text := strings.Replace(plainGet, "ID: 1", "ID: twice", 1)
	first := sc.connect(t)
	first.write(text)
	receive(t, "request", g.requests)
	if resp, _ := sc.roundTrip(t, text); resp.StatusCode != http.StatusConflict || !resp.Close {
		t.Errorf("answer %d to the second, closes: %v", resp.StatusCode, resp.Close)
	}
	close(g.gate)
	if resp, body := first.read(t); resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("answer %d %q to the first", resp.StatusCode, body)
	}
	if resp, _ := sc.roundTrip(t, text); resp.StatusCode != http.StatusOK {
		t.Errorf("answer %d once the first has ended", resp.StatusCode)
	}
}

// TestBehindAnOpenRequest: a client that writes a second request before the first is answered is turned away, and what
// it had open is called off rather than answered out of turn.
func TestBehindAnOpenRequest(t *testing.T) {
	g := newGatedServer(t)
	m := newScriptedModule()
	sc := startSidecar(t, m, g.addr, "127.0.0.1:1")
	c := sc.connect(t)
	c.write(plainGet)
	receive(t, "request", g.requests)
	c.write(plainGet)
	if resp, _ := c.read(t); resp.StatusCode != http.StatusBadRequest || !resp.Close {
		t.Errorf("answer %d, closes: %v", resp.StatusCode, resp.Close)
	}
	receive(t, "Withdrawn", m.disconnects)
	close(g.gate)
}

// TestBadClientsEnd: silence, a head without end and half a body each get an error or a close within the 3 s that are
// owed (the test allows what a slow machine needs), and nothing of them is left.
func TestBadClientsEnd(t *testing.T) {
	m := newScriptedModule()
	m.onRequest = func(_ policy.Time, q policy.Request, act policy.Actions) {
		t.Errorf("the module got %+v", q)
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
			t.Errorf("%q: answer %d", text, resp.StatusCode)
		} else if isTimeout(err) {
			t.Errorf("%q: neither an error nor a close", text)
		}
	}
	eventually(t, "nothing is left of them", func() bool {
		return sc.server.Stats().Open == 0 && sc.bodyBudget.TryAcquire(128<<20/8)
	})
}

// TestTimeRunsFromTheLastByte guards against charging a slow client for the time it takes to write.
func TestTimeRunsFromTheLastByte(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1")
	c := sc.connect(t)
	c.write("POST /pay/k HTTP/1.1\nHost: s\nX-Reque")
	time.Sleep(600 * time.Millisecond)
	c.write("st-ID: 1\nX-Timeout-Ms: 1000\nContent-Length: 2\n\nx")
	time.Sleep(600 * time.Millisecond)
	c.write("y")
	if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
		t.Errorf("answer %d", resp.StatusCode)
	}
}

// TestKeepAlive: a client's connection carries one request after another.
func TestKeepAlive(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1")
	c := sc.connect(t)
	for range 5 {
		c.write(plainGet)
		if resp, body := c.read(t); resp.StatusCode != 200 || body != "ok" || resp.Close {
			t.Fatalf("answer %d %q, closes: %v", resp.StatusCode, body, resp.Close)
		}
	}
}

// TestFinalAnswers is a table of what the module decides and what the client gets.
func TestFinalAnswers(t *testing.T) {
	tests := []struct {
		name   string
		decide func(id policy.RequestID, act policy.Actions)
		want   int
		retry  string
	}{
		{"refused", func(id policy.RequestID, act policy.Actions) { act.Refuse(id, 0) }, 503, ""},
		{"refused with a delay", func(id policy.RequestID, act policy.Actions) { act.Refuse(id, 1500*time.Millisecond) }, 503, "1.5"},
		{"failed", func(id policy.RequestID, act policy.Actions) { act.Fail(id) }, 502, ""},
		{"two answers", func(id policy.RequestID, act policy.Actions) { act.Fail(id); act.Refuse(id, 0) }, 502, ""},
		{"send after the answer", func(id policy.RequestID, act policy.Actions) { act.Refuse(id, 0); act.Send(id, "a", time.Second) }, 503, ""},
		{"unlisted server", func(id policy.RequestID, act policy.Actions) { act.Send(id, "b", time.Second) }, 502, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newScriptedModule()
			m.onRequest = func(_ policy.Time, q policy.Request, act policy.Actions) { tt.decide(q.ID, act) }
			sc := startSidecar(t, m, startServer(t, func(int, net.Conn) { t.Error("an upstream was reached") }), "127.0.0.1:1")
			resp, _ := sc.roundTrip(t, plainGet)
			if resp.StatusCode != tt.want || resp.Header.Get("Retry-After") != tt.retry {
				t.Errorf("answer %d, Retry-After %q; want %d, %q", resp.StatusCode, resp.Header.Get("Retry-After"), tt.want, tt.retry)
			}
			eventually(t, "nothing is left of it", func() bool {
				return sc.engine.Snapshot().Retained == 0
			})
		})
	}
}

// TestAnswersOverTheBound: an answer that is longer than the protocol allows is read no further, its connection is
// closed, and the client can tell that the request has failed.
func TestAnswersOverTheBound(t *testing.T) {
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
			t.Errorf("%d bytes pass for whole", n)
		}
		receive(t, "close of the upstream's connection", closed)
		if o := receive(t, "outcome", m.outcomes); o.Status != policy.Reset {
			t.Errorf("outcome %+v, want Reset", o)
		}
	}
}

// TestChunkedBodiesDoNotQueue guards against incident r1f1b89: while some clients take long over bodies of
// unknown length, the bodies of others are read.
func TestChunkedBodiesDoNotQueue(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1")
	for range 20 {
		c := sc.connect(t)
		c.write("POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nTransfer-Encoding: chunked\n\n")
		fmt.Fprintf(c, "%x\r\n%s", 60<<10, make([]byte, 30<<10)) // and no more
	}
	for range 3 {
		body := strings.Repeat("x", 50<<10)
		resp, _ := sc.roundTrip(t, fmt.Sprintf("POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nTransfer-Encoding: chunked\n\n%x\n%s\n0\n\n", len(body), body))
		if resp.StatusCode != http.StatusOK {
			t.Errorf("answer %d", resp.StatusCode)
		}
	}
}

// TestRoomIsBounded: bodies that are only announced never hold more than their part of the memory, and one that finds
// no room is refused rather than lost.
func TestRoomIsBounded(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1", func(c *config.Config) { c.MemoryMB = config.LeastMemoryMB })
	if !sc.bodyBudget.TryAcquire(config.LeastMemoryMB<<20/8) || sc.bodyBudget.TryAcquire(1) {
		t.Error("the room is not its part of the memory")
	}
	resp, _ := sc.roundTrip(t, "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 1\n\nx")
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("answer %d without room", resp.StatusCode)
	}
}

// TestSmallBodiesDoNotQueue guards against incident r1f0832: while clients take long over bodies of megabytes, small
// ones are read.
func TestSmallBodiesDoNotQueue(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1")
	for range 40 {
		sc.connect(t).write(fmt.Sprintf("POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nContent-Length: %d\n\nx", 60<<10))
	}
	if resp, _ := sc.roundTrip(t, "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nContent-Length: 1\n\nx"); resp.StatusCode != http.StatusOK {
		t.Errorf("answer %d", resp.StatusCode)
	}
	body := strings.Repeat("0123456789abcdef", 1000)
	if resp, _ := sc.roundTrip(t, fmt.Sprintf("POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nTransfer-Encoding: chunked\n\n%x\n%s\n0\n\n", 5, body[:5])); resp.StatusCode != http.StatusOK {
		t.Errorf("answer %d", resp.StatusCode)
	}
}

// TestSlowUpstreamBesideAFreeOne guards against refusals by lot: a request is not refused because the upstream that was
// drawn for it has a long queue, while another one is known to have none.
func TestSlowUpstreamBesideAFreeOne(t *testing.T) {
	const service = 20 * time.Millisecond
	learnt := make(chan struct{}) // closed once the free one has answered: until then the other's report would set the scale
	serve := func(report string, takes time.Duration) func(int, net.Conn) {
		return respondWith(func(q *http.Request, c net.Conn) {
			text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
			if q.URL.Path != "/load" {
				time.Sleep(takes)
			} else if text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report); takes > service {
				<-learnt
			}
			io.WriteString(c, text)
		})
	}
	free, busy := startServer(t, serve("queue=0", service)), startServer(t, serve("queue=100", 20*service))
	sc := startSidecar(t, nil, free, "127.0.0.1:1", func(c *config.Config) {
		c.Known.Servers = append(c.Known.Servers, engine.Server{ID: "b", Addr: busy, Zone: "z"})
		c.Settings.Config.ProbeTariff = 1e6      // nothing is probed but for the first request
		c.Settings.Config.Classes[1].Worth = 1e4 // so that the others stand little of a queue, well below their aim
	})
	if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK {
		t.Fatalf("answer %d to the first request", resp.StatusCode)
	}
	close(learnt)
	eventually(t, "both reports are in", func() bool {
		return sc.engine.Snapshot().Probing == 0
	})
	for range 20 {
		if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK {
			t.Errorf("answer %d, though one upstream is free", resp.StatusCode)
		}
	}
}

// TestOwnRequestsCount guards against reports that run behind: an upstream that was idle by its last report is not idle
// while this sidecar's own requests wait there, and what would come too late behind them is refused at once.
func TestOwnRequestsCount(t *testing.T) {
	const service = 20 * time.Millisecond
	gate := make(chan struct{})
	var learnt atomic.Bool
	addr := startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		if q.URL.Path == "/load" {
			text = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nqueue=0"
		} else if learnt.Load() {
			<-gate
		} else {
			time.Sleep(service)
		}
		io.WriteString(c, text)
	}))
	sc := startSidecar(t, nil, addr, "127.0.0.1:1", func(c *config.Config) {
		c.Settings.Config.MaxRetryAfter = time.Second
		c.Settings.Config.ProbeTariff = 1e6      // nothing is probed but for the first request
		c.Settings.Config.Classes[1].Worth = 1e4 // so that the others stand little of a queue
	})
	if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK {
		t.Fatalf("answer %d to the first request", resp.StatusCode)
	}
	learnt.Store(true)
	const crowd = 30
	answers := make(chan *http.Response, crowd)
	for range crowd {
		c := sc.connect(t)
		c.write(plainGet)
		go func() {
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				resp = &http.Response{}
			}
			answers <- resp
		}()
	}
	first := receive(t, "answer", answers)
	if first.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("answer %d while all others wait, want a refusal", first.StatusCode)
	}
	// It tells when to come back: a client that asks again at once is refused again.
	if wait, err := strconv.ParseFloat(first.Header.Get("Retry-After"), 64); err != nil || wait <= 0 || wait > 1 {
		t.Errorf("Retry-After %q", first.Header.Get("Retry-After"))
	}
	close(gate)
	served := 0
	for range crowd - 1 {
		switch status := receive(t, "answer", answers).StatusCode; status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
		default:
			t.Errorf("answer %d", status)
		}
	}
	if served == 0 {
		t.Error("nobody was served")
	}
}

// TestBusySidecarUsesWholeFleet guards against upstreams that idle because no busy sidecar has them in its ready set.
func TestBusySidecarUsesWholeFleet(t *testing.T) {
	const fleet = 6
	var asked [fleet]atomic.Int64
	var hosts []engine.Server
	for i := range fleet {
		addr := startServer(t, respondWith(func(q *http.Request, c net.Conn) {
			asked[i].Add(1)
			io.WriteString(c, strings.ReplaceAll(okResponse, "\n", "\r\n"))
		}))
		hosts = append(hosts, engine.Server{ID: policy.ServerID(fmt.Sprint("u", i)), Addr: addr, Zone: "z"})
	}
	sc := startSidecar(t, nil, "127.0.0.1:1", "127.0.0.1:1", func(c *config.Config) {
		c.Known.Servers = hosts
		c.Settings.Config.MayProbe = false
	})
	c := sc.connect(t)
	for range 200 {
		c.write(plainGet)
		if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
			t.Fatalf("answer %d", resp.StatusCode)
		}
	}
	for i := range asked {
		if asked[i].Load() == 0 {
			t.Errorf("upstream %d of %d was never asked", i, fleet)
		}
	}
}

// TestCrowdIsNotKept guards against clients that ask once and keep their connection, each with a new one: a few are kept
// for their next request, a crowd is told that its answers are the last.
func TestCrowdIsNotKept(t *testing.T) {
	sc := startSidecar(t, nil, startServer(t, respondText(okResponse)), "127.0.0.1:1", func(c *config.Config) {
		c.Sockets, c.Settings.Config.MayProbe = config.LeastSockets, false
	})
	const many = 20 // of 28 places for clients
	kept := 0
	for i := range many {
		c := sc.connect(t)
		c.write(plainGet)
		resp, _ := c.read(t)
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("answer %d", resp.StatusCode)
		}
		if !resp.Close {
			kept++
			continue
		}
		if _, err := c.r.ReadByte(); err != io.EOF {
			t.Errorf("connection %d goes on after its last answer: %v", i, err)
		}
	}
	if kept == 0 || kept > many*3/4 {
		t.Errorf("%d of %d connections kept", kept, many)
	}
}

// TestProbesThatTellNothing guards against requests that wait for reports which do not come: once the probes of its round
// are answered, a request goes on without.
func TestProbesThatTellNothing(t *testing.T) {
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
					c.Known.Servers = append(c.Known.Servers, engine.Server{ID: policy.ServerID(fmt.Sprint("u", i)), Addr: serve(load), Zone: "z"})
				}
			})
			for range 3 {
				if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK {
					t.Errorf("answer %d, though upstreams are free", resp.StatusCode)
				}
			}
		})
	}
}

// TestLateRetryBesideAFreeUpstream: a retry whose aim has passed is still worth a share, and is served where nobody waits.
func TestLateRetryBesideAFreeUpstream(t *testing.T) {
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
		t.Fatalf("answer %d", resp.StatusCode)
	}
	healthy.Store(true)
	time.Sleep(aim + 50*time.Millisecond)
	if resp, _ := sc.roundTrip(t, text); resp.StatusCode != http.StatusOK {
		t.Errorf("answer %d to a late retry, though the upstream is free", resp.StatusCode)
	}
}

package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quillfront/internal/config"
	"quillfront/policy"
)

// testTimeout is how long a test waits for an event that must happen. It only limits how long a
// failing test takes.
const testTimeout = 20 * time.Second

// scriptedModule is a decision module whose decisions are made by the test. It records the events
// it receives.
type scriptedModule struct {
	onRequest      func(now policy.Time, q policy.Request, act policy.Actions) // nil: sends to server "a"
	onReconfigure  func()                                                      // called when the settings change; may be nil
	onOutcome      func(o policy.Outcome, act policy.Actions)                  // nil: fails a request that is still open
	outcomes       chan policy.Outcome
	probeResults   chan policy.ProbeResult
	lists          chan listEvent
	disconnects    chan policy.RequestID
	responseStarts chan policy.RequestID
	uploads        chan policy.RequestID
	timers         chan string
}

// listEvent is a call of UpdateServers.
type listEvent struct {
	kind    policy.ListKind
	servers []policy.Server
	act     policy.Actions
}

func newScriptedModule() *scriptedModule {
	return &scriptedModule{
		outcomes: make(chan policy.Outcome, 1000), probeResults: make(chan policy.ProbeResult, 1000),
		lists: make(chan listEvent, 1000), disconnects: make(chan policy.RequestID, 1000),
		timers: make(chan string, 1000), responseStarts: make(chan policy.RequestID, 1000), uploads: make(chan policy.RequestID, 1000),
	}
}

func (s *scriptedModule) UpdateServers(_ policy.Time, kind policy.ListKind, l []policy.Server, act policy.Actions) {
	s.lists <- listEvent{kind, l, act}
}

func (s *scriptedModule) Request(now policy.Time, q policy.Request, act policy.Actions) {
	if s.onRequest == nil {
		act.Send(q.ID, "a", q.Expires-now)
		return
	}
	s.onRequest(now, q, act)
}

func (s *scriptedModule) Outcome(_ policy.Time, o policy.Outcome, act policy.Actions) {
	if s.onOutcome != nil {
		s.onOutcome(o, act)
	} else if !o.Final {
		act.Fail(o.ID)
	}
	s.outcomes <- o
}

func (s *scriptedModule) Probed(_ policy.Time, p policy.ProbeResult, _ policy.Actions) {
	s.probeResults <- p
}

func (s *scriptedModule) ClientDisconnected(_ policy.Time, id policy.RequestID, _ policy.Actions) {
	s.disconnects <- id
}

func (s *scriptedModule) DiscoveryMoved(_ policy.Time, act policy.Actions) { act.Watch(true) }

func (s *scriptedModule) ResponseSlow(policy.Time, policy.RequestID, int, policy.Actions) {}
func (s *scriptedModule) ResponseStalled(policy.Time, policy.RequestID, int, policy.Time, policy.Actions) {
}
func (s *scriptedModule) ResponseStarted(_ policy.Time, id policy.RequestID, _ int, _ policy.Actions) {
	s.responseStarts <- id
}

func (s *scriptedModule) UploadComplete(_ policy.Time, id policy.RequestID, _ policy.Time, _ policy.Actions) policy.Time {
	s.uploads <- id
	return 0 // as late as the client allows
}

func (s *scriptedModule) StopSending(policy.Time, policy.RequestID, policy.Actions) {}

func (s *scriptedModule) GiveUp(_ policy.Time, id policy.RequestID, act policy.Actions) { act.Fail(id) }

func (s *scriptedModule) Reconfigure(policy.Config) error {
	if s.onReconfigure != nil {
		s.onReconfigure()
	}
	return nil
}

func (s *scriptedModule) Timer(_ policy.Time, token string, _ policy.Actions) { s.timers <- token }

// receive returns the next value from c. what names it in the failure message.
func receive[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// eventually waits until ok returns true. what describes that condition in the failure message.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// settingsText is the settings object that the tests use. It contains an unknown key.
const settingsText = `{"GroupSize":1,"Zone":"z","MembershipMode":"on_request","TickUs":1000,
"Limits":{"Cancelling":true,"MayDuplicate":true,"Probes":true,"RetryAfter":true,"SendCap":3,
 "DialTimeoutUs":2000000,"ConnIdleUs":60000000},
"RequestClasses":[
 {"Name":"read","Effect":"read_like","Group":"all","AimUs":9000000,"DeadlineUs":10000000,"Worth":1},
 {"Name":"order","Effect":"idempotency_key","Group":"all","KeyTtlUs":1500000,"AimUs":9000000,"DeadlineUs":10000000,"Worth":1},
 {"Name":"pay","Effect":"non_idempotent","AimUs":9000000,"DeadlineUs":10000000,"Worth":1}],
"Safety":{"AskEveryUs":10000000,"GraceToAnswerUs":20000},
"Telemetry":{"Fields":["eps","queue"],"Via":"on_probe"},"Novel":{"key":1}}`

// configText returns a configuration in which server "a" has the address dial. It contains unknown
// keys.
func configText(dial, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","novel":true,
"limits":{"cores":1.0,"memory_mb":128,"sockets":256},
"known":{"seq":41,"whole":true,"hosts":[{"host":"a","dial":%q,"site":"z","class":"m","block":3,"health":"active","share":1.0,"born_ms":0,"novel":2}]},
"settings":%s}`, discovery, dial, settingsText)
}

// loadConfig loads a configuration from a temporary file with the given text.
func loadConfig(t testing.TB, text string) (config.Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return config.Load(func(name string) string {
		if name == "GW_CONFIG" {
			return path
		}
		return ""
	})
}

// testSidecar is a running Sidecar.
type testSidecar struct {
	*Sidecar
	addr      string
	terminate context.CancelFunc // has the effect of SIGTERM
	done      chan error         // the result of Serve
}

// startSidecar runs a sidecar with the module m, or with the real module if m is nil, until the
// test ends.
func startSidecar(t testing.TB, m *scriptedModule, dial, discovery string, change ...func(*config.Config)) *testSidecar {
	t.Helper()
	return startSidecarWith(t, config.Operator{}, m, dial, discovery, change...)
}

// startSidecarWith is startSidecar with the configuration of an operator's file.
func startSidecarWith(t testing.TB, op config.Operator, m *scriptedModule, dial, discovery string, change ...func(*config.Config)) *testSidecar {
	t.Helper()
	cfg, err := loadConfig(t, configText(dial, discovery))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range change {
		f(&cfg)
	}
	var s *Sidecar
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if m != nil {
		if s, err = newSidecar(cfg, op, m, log); err != nil {
			t.Fatal(err)
		}
		receive(t, "the cached list", m.lists)
	} else if s, err = New(cfg, op, log); err != nil {
		t.Fatal(err)
	}
	return serveSidecar(t, s)
}

// serveSidecar runs s until the test ends.
func serveSidecar(t testing.TB, s *Sidecar) *testSidecar {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	sc := &testSidecar{Sidecar: s, addr: ln.Addr().String(), terminate: cancel, done: make(chan error, 1)}
	go func() { sc.done <- s.Serve(ctx, ln.(*net.TCPListener)) }()
	t.Cleanup(func() {
		cancel()
		s.server.CloseAll()
	})
	return sc
}

// runActions calls f with the actions that are available to the module.
func (sc *testSidecar) runActions(f func(act policy.Actions)) {
	sc.engine.RunAsEvent(func(_ policy.Time, act policy.Actions) { f(act) })
}

// waitReusableConn waits until the only idle connection to a server can carry the next request.
func (sc *testSidecar) waitReusableConn(t *testing.T) {
	t.Helper()
	eventually(t, "the idle connection can be reused", func() bool { s := sc.transport.Stats(); return s.Idle == 1 && s.Settling == 0 })
}

// inUse and clientsInUse return the number of descriptors in use, limit and clientLimit their
// limits.
func (sc *testSidecar) inUse() int        { n, _ := sc.sockets.InUse(); return n }
func (sc *testSidecar) clientsInUse() int { _, n := sc.sockets.InUse(); return n }
func (sc *testSidecar) limit() int        { n, _ := sc.sockets.Limits(); return n }
func (sc *testSidecar) clientLimit() int  { _, n := sc.sockets.Limits(); return n }

// connect opens a client connection.
func (sc *testSidecar) connect(t *testing.T) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", sc.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &testClient{c, bufio.NewReader(c)}
}

// testClient is a client connection.
type testClient struct {
	net.Conn
	r *bufio.Reader
}

var lastRequestID atomic.Int64

// write writes a request, with CRLF for each newline, and with a unique request ID in place of 1:
// two open requests must not share an ID.
func (c *testClient) write(text string) {
	text = strings.Replace(text, "X-Request-ID: 1\n", fmt.Sprintf("X-Request-ID: u%d\n", lastRequestID.Add(1)), 1)
	io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
}

// read reads a response.
func (c *testClient) read(t *testing.T) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatalf("cannot read the response: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("the response body is incomplete: %v", err)
	}
	return resp, string(body)
}

// roundTrip sends a request on a new connection and returns the response.
func (sc *testSidecar) roundTrip(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	c := sc.connect(t)
	c.write(text)
	return c.read(t)
}

const plainGet = "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\n\n"

// startServer starts a server that runs serve on each connection, and returns its address. serve
// gets the connections numbered from 0.
func startServer(t testing.TB, serve func(n int, c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var open []net.Conn
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	})
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			go serve(n, c)
		}
	}()
	return ln.Addr().String()
}

// respondWith returns a handler of connections that calls reply for each request.
func respondWith(reply func(q *http.Request, c net.Conn)) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			reply(q, c)
			io.Copy(io.Discard, q.Body)
		}
	}
}

// respondText returns a handler of connections that responds to every request with text.
func respondText(text string) func(int, net.Conn) {
	return respondWith(func(q *http.Request, c net.Conn) {
		io.Copy(io.Discard, q.Body)
		io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	})
}

const okResponse = "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"

// fakeDiscovery is a discovery server. It passes each watch to the test, which writes the
// responses.
type fakeDiscovery struct {
	addr    string
	watches chan *watchConn
}

// watchConn is the connection of a watch.
type watchConn struct {
	net.Conn
	query       string
	requestedAt time.Time // when the watch was requested
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	d := &fakeDiscovery{watches: make(chan *watchConn, 100)}
	d.addr = startServer(t, func(_ int, c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			c.Close()
			return
		}
		d.watches <- &watchConn{c, q.RequestURI, time.Now()}
	})
	return d
}

// writeHead writes the head of the response to the watch.
func (c *watchConn) writeHead() {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// writeMessage writes one message of the watch.
func (c *watchConn) writeMessage(text string) { fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text) }

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// setBacklog limits the connections waiting to be accepted on ln to about n.
func setBacklog(ln *net.TCPListener, n int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}

// canceledContext returns a context that is already canceled.
func canceledContext(t *testing.T) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx, cancel
}

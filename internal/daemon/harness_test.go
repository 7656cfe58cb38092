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

// patience is how long a test waits for what must happen. It bounds a failure; no verdict hangs on it.
const patience = 20 * time.Second

// script is a decision module whose decisions the test makes. It records the events that it gets.
type script struct {
	request   func(now policy.Time, q policy.Request, act policy.Actions) // nil: send to server "a"
	retune    func()                                                      // called as the settings change; nil: nothing is
	outcome   func(o policy.Outcome, act policy.Actions)                  // nil: fail a request that is left open
	outcomes  chan policy.Outcome
	probed    chan policy.ProbeResult
	members   chan membersEvent
	withdrawn chan policy.RequestID
	streaming chan policy.RequestID
	uploaded  chan policy.RequestID
	timers    chan string
}

type membersEvent struct {
	kind    policy.ListKind
	servers []policy.Server
	act     policy.Actions
}

func newScript() *script {
	return &script{
		outcomes: make(chan policy.Outcome, 1000), probed: make(chan policy.ProbeResult, 1000),
		members: make(chan membersEvent, 1000), withdrawn: make(chan policy.RequestID, 1000),
		timers: make(chan string, 1000), streaming: make(chan policy.RequestID, 1000), uploaded: make(chan policy.RequestID, 1000),
	}
}

func (s *script) UpdateServers(_ policy.Time, kind policy.ListKind, l []policy.Server, act policy.Actions) {
	s.members <- membersEvent{kind, l, act}
}

func (s *script) Request(now policy.Time, q policy.Request, act policy.Actions) {
	if s.request == nil {
		act.Send(q.ID, "a", q.Expires-now)
		return
	}
	s.request(now, q, act)
}

func (s *script) Outcome(_ policy.Time, o policy.Outcome, act policy.Actions) {
	if s.outcome != nil {
		s.outcome(o, act)
	} else if !o.Final {
		act.Fail(o.ID)
	}
	s.outcomes <- o
}

func (s *script) Probed(_ policy.Time, p policy.ProbeResult, _ policy.Actions) { s.probed <- p }

func (s *script) ClientDisconnected(_ policy.Time, id policy.RequestID, _ policy.Actions) {
	s.withdrawn <- id
}

func (s *script) DiscoveryMoved(_ policy.Time, act policy.Actions) { act.Watch(true) }

func (s *script) ResponseStarted(_ policy.Time, id policy.RequestID, _ int, _ policy.Actions) {
	s.streaming <- id
}

func (s *script) UploadComplete(_ policy.Time, id policy.RequestID, _ policy.Actions) {
	s.uploaded <- id
}

func (s *script) StopSending(policy.Time, policy.RequestID, policy.Actions) {}

func (s *script) GiveUp(_ policy.Time, id policy.RequestID, act policy.Actions) { act.Fail(id) }

func (s *script) Reconfigure(policy.Config) error {
	if s.retune != nil {
		s.retune()
	}
	return nil
}

func (s *script) Timer(_ policy.Time, token string, _ policy.Actions) { s.timers <- token }

// next waits for something to come from c.
func next[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

// eventually waits until ok.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// settingsText is the settings object of the tests.
const settingsText = `{"GroupSize":1,"Zone":"z","MembershipMode":"on_request","TickUs":1000,
"Limits":{"Cancelling":true,"MayDuplicate":true,"Probes":true,"RetryAfter":true,"SendCap":3,
 "DialTimeoutUs":2000000,"ConnIdleUs":60000000},
"RequestClasses":[
 {"Name":"read","Effect":"read_like","Group":"all","AimUs":9000000,"DeadlineUs":10000000,"Worth":1},
 {"Name":"order","Effect":"idempotency_key","Group":"all","KeyTtlUs":1500000,"AimUs":9000000,"DeadlineUs":10000000,"Worth":1},
 {"Name":"pay","Effect":"non_idempotent","AimUs":9000000,"DeadlineUs":10000000,"Worth":1}],
"Safety":{"AskEveryUs":10000000,"GraceToAnswerUs":20000},
"Telemetry":{"Fields":["eps","queue"],"Via":"on_probe"},"Novel":{"key":1}}`

// configText is a configuration in which server "a" listens at dial.
func configText(dial, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","novel":true,
"limits":{"cores":1.0,"memory_mb":128,"sockets":256},
"known":{"seq":41,"whole":true,"hosts":[{"host":"a","dial":%q,"site":"z","class":"m","block":3,"health":"active","share":1.0,"born_ms":0,"novel":2}]},
"settings":%s}`, discovery, dial, settingsText)
}

// loadText reads a configuration from its text.
func loadText(t testing.TB, text string) (config.Config, error) {
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

// world is a running sidecar.
type world struct {
	*Sidecar
	addr string
	term context.CancelFunc // what SIGTERM does
	over chan error         // what Run returned
}

// start runs a sidecar under m, or under the real module if m is nil, until the test ends.
func start(t testing.TB, m *script, dial, discovery string, change ...func(*config.Config)) *world {
	t.Helper()
	cfg, err := loadText(t, configText(dial, discovery))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range change {
		f(&cfg)
	}
	var s *Sidecar
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if m != nil {
		if s, err = newSidecar(cfg, config.Operator{}, m, log); err != nil {
			t.Fatal(err)
		}
		next(t, "cached list", m.members)
	} else if s, err = New(cfg, config.Operator{}, log); err != nil {
		t.Fatal(err)
	}
	return serve(t, s)
}

// serve has s serve until the test ends.
func serve(t testing.TB, s *Sidecar) *world {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{Sidecar: s, addr: ln.Addr().String(), term: cancel, over: make(chan error, 1)}
	go func() { w.over <- s.Serve(ctx, ln.(*net.TCPListener)) }()
	t.Cleanup(func() {
		cancel()
		s.server.CloseAll()
	})
	return w
}

// act does what the module could.
func (w *world) act(f func(act policy.Actions)) {
	w.engine.RunAsEvent(func(_ policy.Time, act policy.Actions) { f(act) })
}

// settled waits until the one idle connection to a server may carry the next request.
func (w *world) settled(t *testing.T) {
	t.Helper()
	eventually(t, "an idle connection that has rested", func() bool { s := w.transport.Stats(); return s.Idle == 1 && s.Settling == 0 })
}

// inUse and clients tell how many descriptors are taken, places and clientPlaces how many there are.
func (w *world) inUse() int        { n, _ := w.sockets.InUse(); return n }
func (w *world) clients() int      { _, n := w.sockets.InUse(); return n }
func (w *world) places() int       { n, _ := w.sockets.Limits(); return n }
func (w *world) clientPlaces() int { _, n := w.sockets.Limits(); return n }

// connect opens a client's connection.
func (w *world) connect(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &client{c, bufio.NewReader(c)}
}

type client struct {
	net.Conn
	r *bufio.Reader
}

var lastID atomic.Int64

// write writes a request with CRLF for each newline, and a new id in place of 1: an id is never open twice.
func (c *client) write(text string) {
	text = strings.Replace(text, "X-Request-ID: 1\n", fmt.Sprintf("X-Request-ID: u%d\n", lastID.Add(1)), 1)
	io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
}

// read reads an answer.
func (c *client) read(t *testing.T) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("an answer that is not whole: %v", err)
	}
	return resp, string(body)
}

// ask sends a request and reads the answer.
func (w *world) ask(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	c := w.connect(t)
	c.write(text)
	return c.read(t)
}

const plainGet = "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\n\n"

// peer is a server: it runs serve on each connection that comes, and returns its address.
func peer(t testing.TB, serve func(n int, c net.Conn)) string {
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

// answering serves each request of a connection by reply.
func answering(reply func(q *http.Request, c net.Conn)) func(int, net.Conn) {
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

// say answers every request with text.
func say(text string) func(int, net.Conn) {
	return answering(func(q *http.Request, c net.Conn) {
		io.Copy(io.Discard, q.Body)
		io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	})
}

const okAnswer = "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"

// lister is a discovery: it serves watches: each gets a channel on which the test says its lines.
type lister struct {
	addr    string
	watches chan *watchConn
}

type watchConn struct {
	net.Conn
	query string
	at    time.Time // when it was asked for
}

func newDiscovery(t *testing.T) *lister {
	d := &lister{watches: make(chan *watchConn, 100)}
	d.addr = peer(t, func(_ int, c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			c.Close()
			return
		}
		d.watches <- &watchConn{c, q.RequestURI, time.Now()}
	})
	return d
}

func (w *watchConn) head() {
	io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// line says one line of the watch.
func (w *watchConn) line(text string) { fmt.Fprintf(w, "%x\r\n%s\n\r\n", len(text)+1, text) }

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// setBacklog makes ln hold at most about n connections that nobody has accepted.
func setBacklog(ln *net.TCPListener, n int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var lerr error
	if err := raw.Control(func(fd uintptr) { lerr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return lerr
}

// contextThatEnded returns a context that has ended.
func contextThatEnded(t *testing.T) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx, cancel
}

package quillfront

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quillfront/internal/engine"
	"quillfront/internal/standin"
	"quillfront/policy"
)

// testTimeout limits how long a test waits for an expected event. It only ends tests that fail
// anyway.
const testTimeout = 20 * time.Second

// eventually waits until ok returns true, and fails the test if it takes longer than testTimeout.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// recordingModule is the real module and records the outcomes and withdrawals passed to it.
type recordingModule struct {
	*policy.Balancer
	mu        sync.Mutex
	outcomes  []policy.Outcome
	withdrawn int
}

// Outcome implements engine.Module.
func (s *recordingModule) Outcome(now policy.Time, o policy.Outcome, act policy.Actions) {
	s.mu.Lock()
	s.outcomes = append(s.outcomes, o)
	s.mu.Unlock()
	s.Balancer.Outcome(now, o, act)
}

// ClientDisconnected implements engine.Module.
func (s *recordingModule) ClientDisconnected(now policy.Time, id policy.RequestID, act policy.Actions) {
	s.mu.Lock()
	s.withdrawn++
	s.mu.Unlock()
	s.Balancer.ClientDisconnected(now, id, act)
}

// seen returns the recorded outcomes and the number of withdrawals.
func (s *recordingModule) seen() (outcomes []policy.Outcome, withdrawn int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]policy.Outcome(nil), s.outcomes...), s.withdrawn
}

var testClasses = []Class{
	{Name: "read", Effect: Safe, Aim: 9 * time.Second, Deadline: 10 * time.Second},
	{Name: "order", Effect: Keyed, Aim: 9 * time.Second, Deadline: 10 * time.Second, KeyWindow: time.Second},
	{Name: "pay", Effect: Unsafe, Aim: 9 * time.Second, Deadline: 10 * time.Second},
}

// startFleet starts stand-in servers that drop repeats of a key as testClasses says.
func startFleet(t testing.TB, configs ...standin.ServerConfig) (*standin.Fleet, []Server) {
	t.Helper()
	var classes []policy.Class
	for i, c := range testClasses {
		p, err := c.convert(fmt.Sprint(i))
		if err != nil {
			t.Fatal(err)
		}
		classes = append(classes, p)
	}
	f, err := standin.NewFleet(classes, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	var servers []Server
	for i, cfg := range configs {
		if cfg.ID == "" {
			cfg.ID = fmt.Sprintf("box-%d", i)
		}
		b, err := f.Start(cfg)
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, Server{ID: b.ID(), Addr: b.Addr()})
	}
	return f, servers
}

// newTestBalancer starts a Balancer that is closed at the end of the test. It returns the module
// that records the events.
func newTestBalancer(t testing.TB, source Source, change ...func(*Config)) (*Balancer, *recordingModule) {
	t.Helper()
	c := Config{Classes: testClasses, Servers: source}
	for _, f := range change {
		f(&c)
	}
	p, err := c.resolve()
	if err != nil {
		t.Fatal(err)
	}
	m, err := policy.New(p.settings.Config, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := &recordingModule{Balancer: m}
	b, err := New(c, func(o *options) { o.module = s })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b, s
}

var lastID atomic.Int64

// post returns a POST request with a fresh request ID and, unless key is empty, an Idempotency-Key.
func post(ctx context.Context, class, key string, body io.Reader) *http.Request {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://fleet/"+class+"/k", body)
	if err != nil {
		panic(err)
	}
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	q.Header.Set("X-Request-ID", fmt.Sprintf("t%d", lastID.Add(1)))
	return q
}

// get returns a GET request without a request ID.
func get(path string) *http.Request {
	q, err := http.NewRequest(http.MethodGet, "http://fleet"+path, nil)
	if err != nil {
		panic(err)
	}
	return q
}

// readAll reads and closes the body of resp.
func readAll(t testing.TB, resp *http.Response, err error) string {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestConfigErrors checks that the error for an invalid configuration names the field.
func TestConfigErrors(t *testing.T) {
	good := Config{Classes: testClasses, Servers: Static(Server{Addr: "127.0.0.1:1"})}
	class := func(change func(*Class)) func(*Config) {
		return func(c *Config) {
			c.Classes = append([]Class(nil), testClasses...)
			change(&c.Classes[1])
		}
	}
	for _, tt := range []struct {
		field  string
		change func(*Config)
	}{
		{"Classes", func(c *Config) { c.Classes = nil }},
		{"Classes[1].Name", class(func(c *Class) { c.Name = "" })},
		{"Classes[1].Name", class(func(c *Class) { c.Name = "a/b" })},
		{"Classes[1].Name", class(func(c *Class) { c.Name = "read" })},
		{"Classes[1].Effect", class(func(c *Class) { c.Effect = 0 })},
		{"Classes[1].Effect", class(func(c *Class) { c.Effect = 9 })},
		{"Classes[1].Group", class(func(c *Class) { c.Group = -1 })},
		{"Classes[1].Aim", class(func(c *Class) { c.Aim = 0 })},
		{"Classes[1].Deadline", class(func(c *Class) { c.Deadline = time.Second })},
		{"Classes[1].Worth", class(func(c *Class) { c.Worth = -1 })},
		{"Classes[1].LateShare", class(func(c *Class) { c.LateShare = 1.1 })},
		{"Classes[1].KeyWindow", class(func(c *Class) { c.KeyWindow = 0 })},
		{"Classes[1].KeyWindow", class(func(c *Class) { c.Effect = Safe })},
		{"Servers", func(c *Config) { c.Servers = nil }},
		{"Servers", func(c *Config) { c.Servers = Func(nil) }},
		{"Servers", func(c *Config) { c.Servers = Discovery("nowhere") }},
		{"Servers[1].Addr", func(c *Config) { c.Servers = Static(Server{Addr: "127.0.0.1:1"}, Server{ID: "a"}) }},
		{"Servers[0].Addr", func(c *Config) { c.Servers = Static(Server{Addr: "127.0.0.1"}) }},
		{"Servers[0].State", func(c *Config) { c.Servers = Static(Server{Addr: "127.0.0.1:1", State: 7}) }},
		{"Servers[1].ID", func(c *Config) { c.Servers = Static(Server{Addr: "127.0.0.1:1"}, Server{Addr: "127.0.0.1:1"}) }},
		{"Instance", func(c *Config) { c.Instance = 1 }},
		{"Instances", func(c *Config) { c.Instances = -1 }},
		{"Limits.Attempts", func(c *Config) { c.Limits.Attempts = -1 }},
		{"Limits.Requests", func(c *Config) { c.Limits.Requests = -1 }},
		{"Limits.Connections", func(c *Config) { c.Limits.Connections = 3 }},
		{"Limits.BodyBytes", func(c *Config) { c.Limits.BodyBytes = 100 }},
		{"Limits.DialTimeout", func(c *Config) { c.Limits.DialTimeout = -1 }},
		{"Limits.IdleTimeout", func(c *Config) { c.Limits.IdleTimeout = 2 * time.Hour }},
		{"Limits.RetryAfter", func(c *Config) { c.Limits.RetryAfter = -1 }},
		{"Cold.From", func(c *Config) { c.Cold.From = 2 }},
		{"Reports", func(c *Config) { c.Reports = 5 }},
		{"ReportFields[0]", func(c *Config) { c.ReportFields = []string{"mood"} }},
	} {
		c := good
		tt.change(&c)
		b, err := New(c)
		var field *FieldError
		if !errors.As(err, &field) || field.Field != tt.field {
			t.Errorf("error %v, want one that names %s", err, tt.field)
		}
		if b != nil {
			b.Close()
		}
	}
	b, err := New(good)
	if err != nil {
		t.Fatal(err)
	}
	b.Close()
	b.Close()
	for text, want := range map[string]string{
		"{": "JSON", `{"limits":{"sockets":3}}`: "limits.sockets", "{}": "settings",
		string(standin.PlatformConfig{MaxAttempts: -1}.JSON()): "Limits.SendCap",
	} {
		if _, err := NewFromJSON([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.40s: error %v, want one that names %s", text, err, want)
		}
	}
}

// TestBadRequests checks that an invalid request ends with a typed error and is not sent, in
// particular one whose header, query, host or method would inject lines into the message.
func TestBadRequests(t *testing.T) {
	f, servers := startFleet(t, standin.ServerConfig{})
	b, _ := newTestBalancer(t, Static(servers...))
	rt := b.RoundTripper()
	valueInjection, nameInjection := get("/read/k"), get("/read/k")
	valueInjection.Header["X-Evil"] = []string{"a\r\nX-Request-Id: other"}
	nameInjection.Header["X-Evil: 1\r\nX-A"] = []string{"a"}
	invalidKey := post(t.Context(), "order", "k\n", nil)
	duplicateKey := post(t.Context(), "order", "k", nil)
	duplicateKey.Header["idempotency-key"] = []string{"other"}
	queryInjection := get("/read/k")
	queryInjection.URL.RawQuery = "a HTTP/1.1\r\nX-Evil: 1"
	keyInConnection := post(t.Context(), "order", "k", nil)
	keyInConnection.Header.Set("Connection", "close, idempotency-key")
	_, err := rt.RoundTrip(get("/novel/k"))
	if !errors.Is(err, ErrUnknownClass) {
		t.Errorf("unknown class: %v", err)
	}
	for name, q := range map[string]*http.Request{
		"no URL":                          {Method: http.MethodGet},
		"no key":                          post(t.Context(), "order", "", nil),
		"line break in a header value":    valueInjection,
		"line break in a header name":     nameInjection,
		"key named in Connection":         keyInConnection,
		"key with a line break":           invalidKey,
		"key in two spellings":            duplicateKey,
		"line break in the query":         queryInjection,
		"dot segments that leave a class": get("/read/%2e%2e/order/k"),
		"line break in the host":          {Method: http.MethodGet, URL: get("/read").URL, Host: "a\r\nX: y"},
		"line break in the method":        {Method: "GET / HTTP/1.1\r\n", URL: get("/read").URL},
	} {
		var request *RequestError
		if _, err := rt.RoundTrip(q); !errors.As(err, &request) {
			t.Errorf("%s: %v, want a RequestError", name, err)
		}
	}
	short := post(t.Context(), "pay", "", strings.NewReader("short"))
	short.ContentLength = 9
	long := post(t.Context(), "pay", "", strings.NewReader("longer than that"))
	long.ContentLength = 3
	for _, q := range []*http.Request{short, long} {
		var request *RequestError
		if _, err := rt.RoundTrip(q); !errors.As(err, &request) {
			t.Errorf("a body that differs from its Content-Length: %v", err)
		}
	}
	broken := errors.New("disk failure")
	q := post(t.Context(), "pay", "", io.MultiReader(strings.NewReader("half"), errReader{broken}))
	if _, err := rt.RoundTrip(q); !errors.Is(err, broken) {
		t.Errorf("a body whose Read fails: %v", err)
	}
	if n := f.Servers()[0].Counts().Requests; n > 0 {
		t.Errorf("%d requests were sent", n)
	}
	// A nil body is an empty body.
	if got := mustRoundTrip(t, rt, post(t.Context(), "pay", "", nil)); got != "POST /pay/k 0" {
		t.Errorf("a nil body: %q", got)
	}
	// An empty request ID is replaced by a generated one, which is written once.
	q = get("/read/k")
	q.Header["X-Request-Id"] = []string{""}
	if got := mustRoundTrip(t, rt, q); got != "GET /read/k 0" {
		t.Errorf("an empty request ID: %q", got)
	}
	b.Close()
	if _, err := rt.RoundTrip(get("/read/k")); !errors.Is(err, ErrClosed) {
		t.Errorf("closed: %v", err)
	}
}

// mustRoundTrip sends q and returns the body of the answer.
func mustRoundTrip(t testing.TB, rt http.RoundTripper, q *http.Request) string {
	t.Helper()
	resp, err := rt.RoundTrip(q)
	return readAll(t, resp, err)
}

// errReader is a reader that fails with its error.
type errReader struct{ error }

func (e errReader) Read([]byte) (int, error) { return 0, e.error }

// TestCallerContextEnds checks that the caller's context ends a request before the first attempt,
// during an attempt, and while the answer is being read. The caller gets the context's error, there
// is no further attempt, the module learns the outcome, and the engine retains nothing.
func TestCallerContextEnds(t *testing.T) {
	stalledServer := func(t *testing.T, text string) (Server, *atomic.Int64) {
		var sent atomic.Int64
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var conns sync.WaitGroup
		conns.Go(func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				conns.Go(func() {
					defer c.Close()
					buf := make([]byte, 4096)
					if n, _ := c.Read(buf); n > 0 && !bytes.HasPrefix(buf, []byte("GET /load")) {
						sent.Add(1)
						io.WriteString(c, text)
					}
					io.Copy(io.Discard, c) // until the attempt is canceled
				})
			}
		})
		t.Cleanup(func() { ln.Close(); conns.Wait() })
		return Server{Addr: ln.Addr().String()}, &sent
	}
	for _, tt := range []struct {
		name   string
		answer string
		listed bool
		sent   int64
	}{
		{"before the first attempt", "", false, 0},
		{"during the attempt", "", true, 1},
		{"while the answer is being read", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal", true, 1},
	} {
		for _, class := range []string{"read", "order", "pay"} {
			for _, how := range []string{"cancelled", "timed out"} {
				t.Run(tt.name+", "+class+", "+how, func(t *testing.T) {
					s, sent := stalledServer(t, tt.answer)
					source := Static(s)
					if !tt.listed {
						source = Push(nil)
					}
					b, m := newTestBalancer(t, source, func(c *Config) { c.Reports = Never })
					cause := errors.New("canceled by the application")
					ctx, cancel := context.WithCancelCause(t.Context())
					defer cancel(nil)
					want := cause
					if how == "timed out" {
						var stop context.CancelFunc
						ctx, stop = context.WithTimeout(ctx, 100*time.Millisecond)
						defer stop()
						want = context.DeadlineExceeded
					}
					done := make(chan error, 1)
					go func() {
						q := post(ctx, class, "key", strings.NewReader("x"))
						if class == "read" {
							q = get("/read/k").WithContext(ctx)
						}
						_, err := b.RoundTripper().RoundTrip(q)
						done <- err
					}()
					if how == "cancelled" {
						eventually(t, "the request is accepted and sent", func() bool { return b.Snapshot().Taken == 1 && sent.Load() == tt.sent })
						cancel(cause)
					}
					if err := <-done; !errors.Is(err, want) {
						t.Errorf("the request ends with %v, want %v", err, want)
					}
					eventually(t, "the engine retains no request", func() bool { return b.engine.Snapshot().Retained == 0 })
					outcomes, withdrawn := m.seen()
					if int64(len(outcomes)) != sent.Load() || sent.Load() > tt.sent || how == "cancelled" && withdrawn != 1 {
						t.Errorf("%d attempts, %d outcomes, %d withdrawals; want %d attempts", sent.Load(), len(outcomes), withdrawn, tt.sent)
					}
				})
			}
		}
	}
}

// TestHTTPClientSendsOnce checks that http.Client doesn't repeat a request that may have run. It
// must follow no redirect, and must not retry after a reused connection broke, although GetBody
// would allow it.
func TestHTTPClientSendsOnce(t *testing.T) {
	var sent atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/load" {
			return
		}
		switch sent.Add(1) {
		case 1:
			http.Redirect(w, q, "/pay/elsewhere", http.StatusTemporaryRedirect)
		case 2:
			io.WriteString(w, "ok") // keeps the connection open
		default:
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	b, _ := newTestBalancer(t, Static(Server{Addr: srv.Listener.Addr().String()}), func(c *Config) { c.Reports = Never })
	client := &http.Client{Transport: b.RoundTripper()}
	for i, want := range []bool{false, true, false} {
		q := post(t.Context(), "pay", "", bytes.NewReader([]byte("body"))) // http.NewRequest sets GetBody
		resp, err := client.Do(q)
		if (err == nil) != want {
			t.Errorf("request %d: %v", i, err)
		}
		var failed *FailedError
		if err != nil && !errors.As(err, &failed) {
			t.Errorf("request %d: %v, want a FailedError", i, err)
		}
		if err == nil {
			readAll(t, resp, err)
		}
		if n := sent.Load(); n != int64(i+1) {
			t.Errorf("request %d: sent %d times", i, n-int64(i))
		}
		time.Sleep(600 * time.Millisecond) // an error ejects the only server for half a second
	}
}

// TestRestartLosesState checks the documented behavior of a restart: a new Balancer knows no
// earlier requests, so only the servers' memory of keys prevents a second execution.
func TestRestartLosesState(t *testing.T) {
	f, servers := startFleet(t, standin.ServerConfig{})
	order := func() {
		b, _ := newTestBalancer(t, Static(servers...))
		defer b.Close()
		if got := mustRoundTrip(t, b.RoundTripper(), post(t.Context(), "order", "the-key", strings.NewReader("x"))); got != "POST /order/k 1" {
			t.Errorf("%q", got)
		}
	}
	order()
	order()
	if n := f.Executions("order", "the-key"); n != 1 {
		t.Errorf("executed %d times within the servers' memory, want 1", n)
	}
	time.Sleep(testClasses[1].KeyWindow + 100*time.Millisecond)
	order()
	if n := f.Executions("order", "the-key"); n != 2 {
		t.Errorf("executed %d times beyond the servers' memory, want the 2 that are documented", n)
	}
}

// TestOrders checks that a Balancer with WithOrders remembers, across a restart, which orders were
// served and which may have run, both in the RoundTripper and in the Handler.
func TestOrders(t *testing.T) {
	var fail atomic.Bool
	f, servers := startFleet(t, standin.ServerConfig{Script: func(int, *http.Request) standin.Fault {
		if fail.Load() {
			return standin.ResetConnection
		}
		return standin.NoFault
	}})
	orders := Orders{Dir: t.TempDir()}
	config := Config{Classes: testClasses, Servers: Static(servers...)}
	start := func() *Balancer {
		b, err := New(config, WithOrders(orders))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		return b
	}
	order := func(b *Balancer, class, key, text string) (*http.Response, error) {
		return b.RoundTripper().RoundTrip(post(t.Context(), class, key, strings.NewReader(text)))
	}
	b := start()
	if got := mustRoundTrip(t, b.RoundTripper(), post(t.Context(), "order", "k", strings.NewReader("one"))); got != "POST /order/k 3" {
		t.Errorf("%q", got)
	}
	if _, err := New(config, WithOrders(orders)); err == nil {
		t.Error("two balancers share one directory")
	}
	fail.Store(true)
	if _, err := order(b, "pay", "k", "one"); err == nil {
		t.Error("an incomplete answer is served")
	}
	b.Close()
	b = start()
	resp, err := order(b, "order", "k", "one")
	if err != nil || resp.Header.Get("Idempotency-Replayed") != "true" {
		t.Errorf("repeat of a served order: %v, %v", resp, err)
	}
	var request *RequestError
	if _, err := order(b, "order", "k", "two"); !errors.As(err, &request) || request.Status != http.StatusUnprocessableEntity {
		t.Errorf("same key with another body: %v", err)
	}
	var failed *FailedError
	if _, err := order(b, "pay", "k", "one"); !errors.As(err, &failed) || !failed.Unknown {
		t.Errorf("repeat of an order that may have run: %v", err)
	}
	w := httptest.NewRecorder()
	b.Handler().ServeHTTP(w, post(t.Context(), "pay", "k", strings.NewReader("one")))
	if w.Code != http.StatusBadGateway || w.Header().Get("Idempotency-State") != "unknown" {
		t.Errorf("Handler: %d, %v", w.Code, w.Header())
	}
	if n := f.Servers()[0].Counts().Requests; n != 2 {
		t.Errorf("%d requests were sent, want 2", n)
	}
	if o := b.Snapshot().Orders; o == nil || o.Replayed != 1 || o.Mismatched != 1 || o.Unknown != 2 || o.Failing != "" {
		t.Errorf("snapshot %+v", o)
	}
}

// TestLongAnswerOfConcurrentOrders guards against a part of an answer that is served as a whole one:
// two requests with one key are open at once, and the answer is too long to be buffered.
func TestLongAnswerOfConcurrentOrders(t *testing.T) {
	const answerSize = 1 << 20
	arrived := make(chan struct{}, 10)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		w.Write(bytes.Repeat([]byte("x"), answerSize))
	}))
	defer server.Close()
	servers := Static(Server{ID: "a", Addr: server.Listener.Addr().String()})
	b, err := New(Config{Classes: testClasses, Servers: servers}, WithOrders(Orders{}))
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	var clients sync.WaitGroup
	send := func() {
		clients.Go(func() {
			resp, err := b.RoundTripper().RoundTrip(post(t.Context(), "order", "k", strings.NewReader("one")))
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err != nil || len(body) != answerSize {
				t.Errorf("%d bytes of %d, %v", len(body), answerSize, err)
			}
		})
	}
	send()
	<-arrived
	send()
	eventually(t, "the second request waits", func() bool { return b.Snapshot().Orders.Joined == 1 })
	close(release)
	clients.Wait()
}

// TestIndependentBalancers checks that two Balancers in one process share no state.
func TestIndependentBalancers(t *testing.T) {
	fa, a := startFleet(t, standin.ServerConfig{ID: "a"})
	fb, b := startFleet(t, standin.ServerConfig{ID: "b"})
	ba, _ := newTestBalancer(t, Static(a...))
	bb, _ := newTestBalancer(t, Static(b...))
	for range 5 {
		mustRoundTrip(t, ba.RoundTripper(), get("/read/k"))
	}
	ba.Close()
	mustRoundTrip(t, bb.RoundTripper(), get("/read/k"))
	if x, y := fa.Servers()[0].Counts().Requests, fb.Servers()[0].Counts().Requests; x != 5 || y != 1 {
		t.Errorf("%d and %d requests, want 5 and 1", x, y)
	}
}

// TestShutdown checks that Shutdown waits for the open request, that later requests fail with
// ErrClosed, and that no descriptor is left.
func TestShutdown(t *testing.T) {
	gate := make(chan struct{})
	f, servers := startFleet(t, standin.ServerConfig{Script: func(int, *http.Request) standin.Fault { <-gate; return standin.NoFault }})
	b, _ := newTestBalancer(t, Static(servers...))
	done := make(chan error, 1)
	go func() {
		resp, err := b.RoundTripper().RoundTrip(get("/read/k"))
		if err == nil {
			resp.Body.Close()
		}
		done <- err
	}()
	eventually(t, "the request is sent", func() bool { return f.Servers()[0].Counts().Requests == 1 })
	down := make(chan error, 1)
	go func() { down <- b.Shutdown(t.Context()) }()
	eventually(t, "new requests are rejected", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := b.RoundTripper().RoundTrip(get("/read/k").WithContext(ctx))
		return errors.Is(err, ErrClosed)
	})
	w := httptest.NewRecorder()
	q := httptest.NewRequest(http.MethodGet, "/read/k", nil)
	q.Header.Set("X-Request-ID", "late")
	if b.Handler().ServeHTTP(w, q); w.Code != http.StatusServiceUnavailable {
		t.Errorf("the handler answers %d", w.Code)
	}
	select {
	case err := <-down:
		t.Fatalf("Shutdown returned while a request was open: %v", err)
	default:
	}
	close(gate)
	if err := <-done; err != nil {
		t.Errorf("the open request: %v", err)
	}
	if err := <-down; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
	if used, _ := b.sockets.InUse(); used != 0 {
		t.Errorf("%d descriptors are left", used)
	}
}

// TestCloseDuringRequests checks that Close ends each open request once, with ErrClosed, and leaves
// no descriptor and no retained request.
func TestCloseDuringRequests(t *testing.T) {
	f, servers := startFleet(t, standin.ServerConfig{Cores: 50, Script: func(int, *http.Request) standin.Fault { return standin.NoReply }})
	b, m := newTestBalancer(t, Static(servers...))
	const many = 20
	done := make(chan error, 2*many)
	for range many {
		go func() {
			_, err := b.RoundTripper().RoundTrip(post(context.Background(), "pay", "", strings.NewReader("x")))
			done <- err
		}()
	}
	eventually(t, "all requests are sent", func() bool { return f.Servers()[0].Counts().Requests == many })
	b.Close()
	for range many {
		if err := <-done; !errors.Is(err, ErrClosed) {
			t.Errorf("a request ends with %v", err)
		}
	}
	if outcomes, _ := m.seen(); len(outcomes) != many || f.Servers()[0].Counts().Requests != many {
		t.Errorf("%d outcomes of %d attempts", len(outcomes), f.Servers()[0].Counts().Requests)
	}
	if used, _ := b.sockets.InUse(); used != 0 || b.engine.Snapshot().Retained != 0 {
		t.Errorf("%d descriptors and %d requests are left", used, b.engine.Snapshot().Retained)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := b.Shutdown(ctx); err != nil && !errors.Is(err, context.Canceled) {
		t.Errorf("Shutdown after Close: %v", err)
	}
}

// TestServerListUpdates checks that a pushed list can become empty and non-empty again, that a list
// with an invalid entry is dropped as a whole, and that a draining server gets no requests.
func TestServerListUpdates(t *testing.T) {
	f, servers := startFleet(t, standin.ServerConfig{}, standin.ServerConfig{})
	errs := make(chan error, 10)
	lists := make(chan []Server)
	b, _ := newTestBalancer(t, Func(func(ctx context.Context, update func([]Server) error) error {
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case l := <-lists:
				errs <- update(l)
			}
		}
	}))
	update := func(l ...Server) error { lists <- l; return <-errs }
	first := make(chan string, 1)
	go func() { first <- mustRoundTrip(t, b.RoundTripper(), get("/read/k")) }()
	eventually(t, "the request waits for a list", func() bool { return b.Snapshot().Open == 1 })
	if err := update(servers[:1]...); err != nil {
		t.Error(err)
	}
	if got := <-first; got != "GET /read/k 0" {
		t.Errorf("%q", got)
	}
	if err := update(servers[1], Server{ID: "no address"}); err == nil || !strings.Contains(err.Error(), "Servers[1].Addr") {
		t.Errorf("a list with an invalid entry: %v", err)
	}
	if s := b.Snapshot().Servers; len(s) != 1 || s[0].ID != "box-0" {
		t.Errorf("servers %+v after an invalid list", s)
	}
	update()
	if n := len(b.Snapshot().Servers); n != 0 {
		t.Errorf("%d servers on an empty list", n)
	}
	go func() { first <- mustRoundTrip(t, b.RoundTripper(), get("/read/k")) }()
	eventually(t, "the request waits", func() bool { return b.Snapshot().Open == 1 })
	servers[0].State = Draining
	update(servers...)
	<-first
	for range 20 {
		mustRoundTrip(t, b.RoundTripper(), get("/read/k"))
	}
	if x, y := f.Servers()[0].Counts().Requests, f.Servers()[1].Counts().Requests; x != 1 || y != 21 {
		t.Errorf("%d and %d requests, want 1 before the drain and 21", x, y)
	}
	s := b.Snapshot()
	if s.Servers[0].State != Draining || s.Servers[1].State != Ready || !s.Servers[1].InReadySet {
		t.Errorf("snapshot %+v", s)
	}
	if _, err := json.Marshal(s); err != nil {
		t.Errorf("a snapshot as JSON: %v", err)
	}
}

// TestPushChannelClosed checks that the list stays and the watch doesn't restart when the channel
// of Push is closed.
func TestPushChannelClosed(t *testing.T) {
	_, servers := startFleet(t, standin.ServerConfig{})
	lists := make(chan []Server, 1)
	lists <- servers
	close(lists)
	b, _ := newTestBalancer(t, Push(lists))
	for range 3 {
		mustRoundTrip(t, b.RoundTripper(), get("/read/k"))
	}
	if !b.Snapshot().Watching {
		t.Error("the watch has ended")
	}
}

// TestRequestLimit checks that a request above Limits.Requests is refused at once.
func TestRequestLimit(t *testing.T) {
	f, servers := startFleet(t, standin.ServerConfig{Script: func(int, *http.Request) standin.Fault { return standin.NoReply }})
	b, _ := newTestBalancer(t, Static(servers...), func(c *Config) { c.Limits.Requests = 1 })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := b.RoundTripper().RoundTrip(get("/read/k").WithContext(ctx))
		done <- err
	}()
	eventually(t, "the limit is reached", func() bool { return f.Servers()[0].Counts().Requests == 1 })
	var refused *RefusedError
	if _, err := b.RoundTripper().RoundTrip(get("/read/k")); !errors.As(err, &refused) {
		t.Errorf("%v, want a refusal", err)
	}
	cancel()
	<-done
}

// TestMiddleware checks that requests of known classes go to the servers and all others reach the
// wrapped handler, and that a panic in the handler or in a body's Read leaks no resources.
func TestMiddleware(t *testing.T) {
	_, servers := startFleet(t, standin.ServerConfig{})
	b, _ := newTestBalancer(t, Static(servers...), func(c *Config) { c.Limits.BodyBytes = 64 << 10 })
	mux := http.NewServeMux()
	mux.HandleFunc("/own/", func(w http.ResponseWriter, q *http.Request) { io.WriteString(w, "own "+q.URL.Path) })
	mux.HandleFunc("/panics", func(http.ResponseWriter, *http.Request) { panic("the app's") })
	h := b.Middleware(nil)(mux)
	serve := func(method, path string, body io.Reader) (w *httptest.ResponseRecorder, panicked any) {
		w = httptest.NewRecorder()
		defer func() { panicked = recover() }()
		q := httptest.NewRequest(method, path, body)
		q.Header.Set("X-Request-ID", fmt.Sprintf("m%d", lastID.Add(1)))
		h.ServeHTTP(w, q)
		return w, nil
	}
	if w, _ := serve("GET", "/read/a%2Fb?x=1", nil); w.Code != 200 || w.Body.String() != "GET /read/a/b 0" {
		t.Errorf("a known class: %d %q", w.Code, w.Body)
	}
	if w, _ := serve("GET", "/own/x", nil); w.Code != 200 || w.Body.String() != "own /own/x" {
		t.Errorf("another path: %d %q", w.Code, w.Body)
	}
	if _, p := serve("GET", "/panics", nil); p != "the app's" {
		t.Errorf("the handler's panic arrived as %v", p)
	}
	for range 3 {
		if _, p := serve("POST", "/pay/k", panickingReader{}); p != "the body's" {
			t.Errorf("the body's panic arrived as %v", p)
		}
	}
	if w, _ := serve("POST", "/pay/k", strings.NewReader(strings.Repeat("x", 64<<10))); w.Code != 200 {
		t.Errorf("after the panics: %d %s", w.Code, w.Body)
	}
	if s := b.Snapshot(); s.Open != 0 || b.bodyBudget.Used() != 0 {
		t.Errorf("%d requests are still open, %d bytes of bodies are held", s.Open, b.bodyBudget.Used())
	}
	stripped := http.StripPrefix("/fleet", b.Handler())
	w := httptest.NewRecorder()
	q := httptest.NewRequest("GET", "/fleet/read/k?y=2", nil)
	q.Header.Set("X-Request-ID", "stripped")
	if stripped.ServeHTTP(w, q); w.Body.String() != "GET /read/k 0" {
		t.Errorf("with StripPrefix: %d %q", w.Code, w.Body)
	}
}

// panickingReader is a body whose Read panics.
type panickingReader struct{}

func (panickingReader) Read([]byte) (int, error) { panic("the body's") }

// TestDescriptorsReleased checks, by the system's count, that the descriptors of connections are
// closed when the Balancer closes.
func TestDescriptorsReleased(t *testing.T) {
	open := func() int {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip(err)
		}
		return len(list)
	}
	f, servers := startFleet(t, standin.ServerConfig{}, standin.ServerConfig{})
	before := open()
	b, _ := newTestBalancer(t, Static(servers...))
	for range 10 {
		mustRoundTrip(t, b.RoundTripper(), get("/read/k"))
	}
	b.Close()
	f.Close()
	eventually(t, "all descriptors are closed", func() bool { return open() <= before })
}

var _ engine.Module = (*recordingModule)(nil)

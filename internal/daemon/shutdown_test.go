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
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"quillfront/internal/config"
	"quillfront/internal/shutdown"
	"quillfront/policy"
)

const (
	// shortDeadline is the deadline of all classes in tests that wait for an entire shutdown.
	shortDeadline = 400 * time.Millisecond
	// longDeadline is a deadline long after the earliest time of SIGKILL.
	longDeadline = 8 * time.Second
	// scheduleTolerance is how late a point of the schedule may be on a busy machine.
	scheduleTolerance = 2 * time.Second
)

// withDeadline sets the deadline and the aim of all classes.
func withDeadline(d time.Duration) func(*config.Config) {
	return func(c *config.Config) {
		for i := range c.Settings.Config.Classes {
			c.Settings.Config.Classes[i].Deadline, c.Settings.Config.Classes[i].Aim = d, d
		}
	}
}

// hangingServer reads requests and never responds, except to probes. It records the request IDs.
type hangingServer struct {
	addr       string
	requestIDs chan string
}

func newHangingServer(t *testing.T) *hangingServer {
	h := &hangingServer{requestIDs: make(chan string, 1000)}
	h.addr = startServer(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if id := q.Header.Get("X-Request-ID"); id != "" {
				h.requestIDs <- id
			} else {
				respondLoad(c)
			}
		}
	})
	return h
}

// respondLoad responds to a probe.
func respondLoad(c net.Conn) {
	const report = "TEXT eps=0, queue=0"
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
}

// receivedIDs returns the IDs of the requests received so far.
func (h *hangingServer) receivedIDs() map[string]bool {
	ids := map[string]bool{}
	for len(h.requestIDs) > 0 {
		ids[<-h.requestIDs] = true
	}
	return ids
}

// schedule waits until the shutdown has begun and returns its schedule.
func (sc *testSidecar) schedule(t *testing.T) shutdown.Schedule {
	t.Helper()
	var s shutdown.Schedule
	eventually(t, "the shutdown has begun", func() bool {
		sc.shutdownMu.Lock()
		signaled := sc.signaledAt
		sc.shutdownMu.Unlock()
		s = shutdown.ForTermination(signaled, sc.deadlines.effective(signaled))
		return !signaled.IsZero()
	})
	return s
}

// TestShutdownSchedule checks, with a server that hangs, that requests whose last byte arrives 1 ms
// before or after each point of the schedule get a complete response, and that no request whose
// last byte arrives after the end of forwarding is forwarded.
func TestShutdownSchedule(t *testing.T) {
	h := newHangingServer(t)
	sc := startSidecar(t, nil, h.addr, "127.0.0.1:1", withDeadline(shortDeadline))
	const partialRequest = "GET /read/k HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 400\r\n\r"
	type lateRequest struct {
		*testClient
		id string
	}
	var clients []lateRequest
	for i := range 6 {
		c := lateRequest{sc.connect(t), fmt.Sprintf("p%d", i)}
		fmt.Fprintf(c, partialRequest, c.id)
		clients = append(clients, c)
	}
	eventually(t, "their partial heads have arrived", func() bool { s := sc.server.Stats(); return s.Open-s.Idle == len(clients) })
	sc.terminate()
	s := sc.schedule(t)
	var all sync.WaitGroup
	for i, c := range clients {
		point := []time.Time{s.Forward, s.Answer, s.Exit}[i/2]
		at := point.Add(time.Duration(2*(i%2)-1) * time.Millisecond)
		all.Go(func() {
			time.Sleep(time.Until(at))
			io.WriteString(c, "\n")
			resp, err := http.ReadResponse(c.r, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil {
				t.Errorf("%s, last byte %v before the exit: %v", c.id, s.Exit.Sub(at), err)
			} else if resp.StatusCode/100 != 5 || !resp.Close {
				t.Errorf("%s: status %d, close %v", c.id, resp.StatusCode, resp.Close)
			}
		})
	}
	all.Wait()
	if err := receive(t, "the end of the sidecar", sc.done); err != nil {
		t.Error(err)
	}
	if late := time.Since(s.Exit); late > scheduleTolerance {
		t.Errorf("the sidecar ended %v after the exit time", late)
	}
	for id := range h.receivedIDs() {
		if id != "p0" {
			t.Errorf("%s was forwarded", id)
		}
	}
}

// TestShutdownDuringUpload checks that a request whose upload to a server is stalled gets its
// response by the exit.
func TestShutdownDuringUpload(t *testing.T) {
	h := newHangingServer(t)
	sc := startSidecar(t, nil, h.addr, "127.0.0.1:1", withDeadline(shortDeadline))
	c := sc.connect(t)
	c.write(fmt.Sprintf("POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nIdempotency-Key: k\nContent-Length: %d\n\n", 4<<20))
	c.Write(make([]byte, 2<<20))
	receive(t, "request", h.requestIDs)
	sc.terminate()
	if resp, _ := c.read(t); resp.StatusCode/100 != 5 || !resp.Close {
		t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
	receive(t, "the end of the sidecar", sc.done)
}

// TestShutdownWithStalledClient checks that a client that does not read its response prevents
// neither the responses of others nor the exit of the process.
func TestShutdownWithStalledClient(t *testing.T) {
	// Built before the request: building 32 MiB can take longer than the request's deadline on a
	// busy machine.
	response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 32<<20, strings.Repeat("x", 32<<20))
	long := startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		if q.URL.Path == "/load" {
			respondLoad(c)
			return
		}
		c.Write(response)
	}))
	sc := startSidecar(t, nil, long, "127.0.0.1:1", withDeadline(shortDeadline))
	stalled := sc.connect(t)
	if err := stalled.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	stalled.write(plainGet)
	if status, err := stalled.r.ReadString('\n'); err != nil || !strings.Contains(status, " 200 ") {
		t.Fatalf("its response begins with %q, %v", status, err)
	}
	sc.terminate()
	s := sc.schedule(t)
	if resp, _ := sc.roundTrip(t, "GET /healthz HTTP/1.1\nHost: s\n\n"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	receive(t, "the end of the sidecar", sc.done)
	if late := time.Since(s.Exit); late < 0 || late > scheduleTolerance {
		t.Errorf("the sidecar ended %v after the exit time, which alone closes the connection of the stalled client", late)
	}
}

// TestShutdownResetsTruncatedResponse checks that an HTTP/1.0 response, which ends with its
// connection, ends with a reset if it is cut off at the exit, so that it is not mistaken for a
// complete one.
func TestShutdownResetsTruncatedResponse(t *testing.T) {
	endless := startServer(t, respondWith(func(_ *http.Request, c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", 32<<10, strings.Repeat("x", 32<<10)); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}))
	sc := startSidecar(t, nil, endless, "127.0.0.1:1", withDeadline(shortDeadline))
	c := sc.connect(t)
	c.write("GET /read/k HTTP/1.0\nHost: s\nX-Request-ID: 1\n\n")
	if _, err := c.r.Peek(1); err != nil {
		t.Fatal(err)
	}
	sc.terminate()
	if _, err := io.Copy(io.Discard, c.r); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the truncated response ends with %v, want a reset", err)
	}
	receive(t, "the end of the sidecar", sc.done)
}

// TestShutdownWithFewDescriptors checks that requests on connections that wait for a descriptor
// when SIGTERM arrives get a response, as the kernel has accepted them, although the server never
// responds.
func TestShutdownWithFewDescriptors(t *testing.T) {
	h := newHangingServer(t)
	sc := startSidecar(t, nil, h.addr, "127.0.0.1:1", withDeadline(longDeadline), func(c *config.Config) { c.Sockets = config.MinSockets })
	var clients []*testClient
	for range 2 * sc.clientLimit() {
		c := sc.connect(t)
		c.write(strings.Replace(plainGet, "9000", "8000", 1))
		clients = append(clients, c)
	}
	sc.terminate()
	for i, c := range clients {
		resp, err := http.ReadResponse(c.r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			t.Fatalf("connection %d of %d: %v", i, len(clients), err)
		}
	}
	receive(t, "the end of the sidecar", sc.done)
}

// TestShutdownBeforeServing checks that a process that is terminated before it listens accepts
// no connection.
func TestShutdownBeforeServing(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), "127.0.0.1:1", "127.0.0.1:1")
	sc.terminate()
	receive(t, "the end of the sidecar", sc.done)
	cfg, err := loadConfig(t, configText("127.0.0.1:1", "127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0") // listening on this address would fail
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	cfg.Listen = ln.Addr().String()
	s, err := New(cfg, config.Operator{}, sc.log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := canceledContext(t)
	defer cancel()
	if err := s.Run(ctx); err != nil {
		t.Errorf("Run: %v, want nil without listening", err)
	}
}

// TestReloadDuringShutdown checks that a reload during a shutdown may bring the exit forward, as
// the platform may apply the new deadlines, and never postpones it.
func TestReloadDuringShutdown(t *testing.T) {
	for _, tt := range []struct{ before, after time.Duration }{{3 * time.Second, shortDeadline}, {shortDeadline, 3 * time.Second}} {
		t.Run(fmt.Sprintf("%v to %v", tt.before, tt.after), func(t *testing.T) {
			h := newHangingServer(t)
			sc := startSidecar(t, nil, h.addr, "127.0.0.1:1", withDeadline(tt.before))
			c := sc.connect(t)
			c.write(plainGet)
			receive(t, "request", h.requestIDs)
			sc.terminate()
			sc.schedule(t)
			cfg := sc.Config()
			cfg.Settings.Config.Classes = append(cfg.Settings.Config.Classes[:0:0], cfg.Settings.Config.Classes...)
			withDeadline(tt.after)(&cfg)
			if err := sc.Reload(cfg, config.Operator{}); err != nil {
				t.Fatal(err)
			}
			sc.shutdownMu.Lock()
			want := shutdown.ForTermination(sc.signaledAt, shortDeadline)
			sc.shutdownMu.Unlock()
			if resp, _ := c.read(t); resp.StatusCode/100 != 5 {
				t.Errorf("status %d", resp.StatusCode)
			}
			receive(t, "the end of the sidecar", sc.done)
			if late := time.Since(want.Exit); late > scheduleTolerance {
				t.Errorf("the sidecar ended %v after the exit time", late)
			}
		})
	}
}

// TestDeadlineHistory checks that the shortest of the deadlines that the platform may still apply
// is effective.
func TestDeadlineHistory(t *testing.T) {
	settings := func(deadlines ...time.Duration) (cfg policy.Config) {
		for _, d := range deadlines {
			cfg.Classes = append(cfg.Classes, policy.Class{Deadline: d})
		}
		return cfg
	}
	began := time.Now()
	at := func(d time.Duration) time.Time { return began.Add(d) }
	var d deadlineHistory
	want := func(after, longest time.Duration) {
		t.Helper()
		if got := d.effective(at(after)); got != longest {
			t.Errorf("after %v: %v, want %v", after, got, longest)
		}
	}
	d.update(settings(time.Second, 2*time.Second), began)
	want(0, 2*time.Second)
	d.update(settings(4*time.Second), at(time.Minute)) // longer: the previous one may still apply
	want(time.Minute, 2*time.Second)
	want(time.Minute+settingsTransition+time.Millisecond, 4*time.Second)
	d.update(settings(time.Second), at(time.Hour)) // shorter: it applies at once
	want(time.Hour, time.Second)
	d.update(settings(5*time.Second), at(time.Hour+time.Second))
	d.update(settings(6*time.Second), at(time.Hour+2*time.Second)) // three changes in a row
	want(time.Hour+2*time.Second, time.Second)
	want(time.Hour+time.Second+settingsTransition+time.Millisecond, 5*time.Second)
	want(2*time.Hour, 6*time.Second)
	d.update(settings(), at(3*time.Hour))
	want(4*time.Hour, shutdown.MaxAwaitedDeadline)
	if len(d.previous) > 1 {
		t.Errorf("%d previous deadlines are kept", len(d.previous))
	}
}

// TestTerminationDuringReload checks that a shutdown begins while a reload is stalled, and follows
// the new deadlines once the reload has finished.
func TestTerminationDuringReload(t *testing.T) {
	h := newHangingServer(t)
	m := newScriptedModule()
	reloading, resume := make(chan struct{}), make(chan struct{})
	sc := startSidecar(t, m, h.addr, "127.0.0.1:1", withDeadline(3*time.Second))
	c := sc.connect(t)
	c.write(plainGet)
	receive(t, "request", h.requestIDs)
	m.onReconfigure = func() {
		close(reloading)
		<-resume
	}
	cfg := sc.Config()
	cfg.Settings.Config.Classes = slices.Clone(cfg.Settings.Config.Classes)
	withDeadline(shortDeadline)(&cfg)
	reloaded := make(chan error, 1)
	go func() { reloaded <- sc.Reload(cfg, config.Operator{}) }()
	<-reloading
	m.onReconfigure = nil // the transition to the new settings ends later
	sc.terminate()
	schedule := sc.schedule(t)
	close(resume)
	if err := receive(t, "the end of the reload", reloaded); err != nil {
		t.Error(err)
	}
	if resp, _ := c.read(t); resp.StatusCode/100 != 5 {
		t.Errorf("status %d", resp.StatusCode)
	}
	receive(t, "the end of the sidecar", sc.done)
	if early := schedule.Exit.Sub(time.Now()); early < 3*time.Second-shortDeadline-scheduleTolerance {
		t.Errorf("the sidecar ended %v before the exit time of the previous deadlines", early)
	}
}

// TestTerminationDuringUpgrade checks that a newer process that is terminated before it serves
// responds to the requests waiting at the shared socket, as the older process has left them to
// it.
func TestTerminationDuringUpgrade(t *testing.T) {
	platform, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	socket, err := platform.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	shared := t.TempDir() + "/shared"
	server := startServer(t, respondText(okResponse))
	newProcess := func() *Sidecar {
		cfg, err := loadConfig(t, configText(server, "127.0.0.1:1"))
		if err != nil {
			t.Fatal(err)
		}
		cfg.SharedDir = shared
		if cfg.AcceptFD, err = syscall.Dup(int(socket.Fd())); err != nil {
			t.Fatal(err)
		}
		s, err := New(cfg, config.Operator{}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	run := func(s *Sidecar, ctx context.Context) chan error {
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		return done
	}
	ctx, terminateOlder := context.WithCancel(context.Background())
	defer terminateOlder()
	older := newProcess()
	olderDone := run(older, ctx)
	eventually(t, "the older process serves", older.serving.Load)
	newer := newProcess()
	terminateOlder()
	if err := receive(t, "the end of the older process", olderDone); err != nil {
		t.Error(err)
	}
	conn, err := net.Dial("tcp", platform.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	c := &testClient{conn, bufio.NewReader(conn)}
	c.write(plainGet)
	ended, cancel := canceledContext(t)
	defer cancel()
	newerDone := run(newer, ended)
	if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	if err := receive(t, "the end of the newer process", newerDone); err != nil {
		t.Error(err)
	}
}

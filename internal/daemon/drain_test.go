package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"quillfront/internal/config"
	"quillfront/internal/sockets"
	"quillfront/policy"
)

// connectWindow is how long new connections are expected after SIGTERM, with some reserve.
const connectWindow = 500 * time.Millisecond

// gatedServer is an upstream that answers nothing before it is opened.
type gatedServer struct {
	addr     string
	requests chan struct{}
	gate     chan struct{}
}

func newGatedServer(t *testing.T) *gatedServer {
	g := &gatedServer{requests: make(chan struct{}, 1000), gate: make(chan struct{})}
	g.addr = startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		g.requests <- struct{}{}
		<-g.gate
		io.WriteString(c, strings.ReplaceAll(okResponse, "\n", "\r\n"))
	}))
	return g
}

// TestDrain: after SIGTERM nothing that is taken is lost, and new connections are served for as long as they may
// come.
func TestDrain(t *testing.T) {
	g := newGatedServer(t)
	sc := startSidecar(t, newScriptedModule(), g.addr, "127.0.0.1:1")
	idle, busy, fresh := sc.connect(t), sc.connect(t), sc.connect(t)
	idle.write("GET /healthz HTTP/1.1\nHost: s\n\n")
	idle.read(t)
	busy.write(plainGet)
	receive(t, "request", g.requests)
	sc.terminate()
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("read from an idle connection: %v, want its end", err)
	}
	late := sc.connect(t)
	late.write(plainGet)
	fresh.write(plainGet)
	receive(t, "request", g.requests)
	receive(t, "request", g.requests)
	select {
	case err := <-sc.done:
		t.Fatalf("the sidecar ended with requests unanswered: %v", err)
	case <-time.After(connectWindow + 200*time.Millisecond): // past the window they still have their time
	}
	close(g.gate)
	for _, c := range []*testClient{busy, late, fresh} {
		if resp, body := c.read(t); resp.StatusCode != http.StatusOK || body != "ok" || !resp.Close {
			t.Errorf("answer %d %q, closes: %v; want a whole one that closes", resp.StatusCode, body, resp.Close)
		}
	}
	if err := receive(t, "end", sc.done); err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", sc.addr); err == nil {
		c.Close()
		t.Error("it still listens")
	}
}

// TestDrainEmptiesTheBacklog: connections that the kernel has accepted count as taken.
func TestDrainEmptiesTheBacklog(t *testing.T) {
	g := newGatedServer(t)
	sc := startSidecar(t, newScriptedModule(), g.addr, "127.0.0.1:1", func(c *config.Config) { c.Sockets = config.LeastSockets })
	var clients []*testClient
	for range sc.clientLimit() + 5 { // five have to wait
		c := sc.connect(t)
		c.write(plainGet)
		clients = append(clients, c)
	}
	for range sc.limit() - sc.clientLimit() {
		receive(t, "request", g.requests)
	}
	sc.terminate()
	select {
	case err := <-sc.done:
		t.Fatalf("the sidecar ended with requests unanswered: %v", err)
	case <-time.After(connectWindow + 200*time.Millisecond):
	}
	close(g.gate)
	for i, c := range clients {
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatalf("connection %d of %d: %v", i, len(clients), err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	if err := receive(t, "end", sc.done); err != nil {
		t.Error(err)
	}
}

// TestSocketsAreBounded: many times as many clients as there are descriptors get their answers, by turns.
func TestSocketsAreBounded(t *testing.T) {
	m := newScriptedModule()
	sc := startSidecar(t, m, startServer(t, respondText(okResponse)), "127.0.0.1:1", func(c *config.Config) { c.Sockets = config.LeastSockets })
	var clients []*testClient
	for range 4 * config.LeastSockets {
		c := sc.connect(t)
		c.write(plainGet)
		clients = append(clients, c)
	}
	for _, c := range clients { // each stays open, so that idle ones must make room for those that wait
		if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
			t.Fatalf("answer %d", resp.StatusCode)
		}
		if n := sc.inUse(); n > config.LeastSockets-sockets.Reserved {
			t.Fatalf("%d descriptors in use", n)
		}
	}
}

// TestSilentConnectionsMakeRoom guards against incident rab7690: connections on which nothing ever comes must not
// keep clients out. The one that has been silent longest goes, and no other.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1", func(c *config.Config) { c.Sockets = config.LeastSockets })
	quiet := func() int { return sc.server.Stats().Idle }
	var silent []*testClient
	begun := sc.connect(t) // a head that is slow to come is not silence
	begun.write(plainGet[:20])
	for range sc.clientLimit() - 1 {
		silent = append(silent, sc.connect(t))
	}
	eventually(t, "all places are taken, but for what one more needs", func() bool { return quiet() >= sc.clientLimit()-1 })
	if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK {
		t.Errorf("answer %d", resp.StatusCode)
	}
	if n := quiet(); n < sc.clientLimit()-4 {
		t.Errorf("only %d of %d silent connections are left", n, len(silent))
	}
	if _, err := silent[0].r.ReadByte(); err == nil {
		t.Error("something came on a silent connection")
	}
	begun.write(plainGet[20:])
	if resp, _ := begun.read(t); resp.StatusCode != http.StatusOK {
		t.Errorf("answer %d", resp.StatusCode)
	}
}

// TestNoDescriptorForAnAttempt: an attempt that gets none in time has never run, and is no evidence against the upstream.
func TestNoDescriptorForAnAttempt(t *testing.T) {
	m := newScriptedModule()
	sc := startSidecar(t, m, startServer(t, respondText(okResponse)), "127.0.0.1:1", func(c *config.Config) {
		c.Sockets = config.LeastSockets
		c.Settings.Config.DialTimeout = 30 * time.Millisecond
	})
	c := sc.connect(t)
	c.write("GET /healthz HTTP/1.1\nHost: s\n\n")
	c.read(t)
	soon, cancel := context.WithCancel(t.Context())
	cancel()
	for { // take all that are left
		if _, err := sc.sockets.Acquire(soon); err != nil {
			break
		}
	}
	c.write(plainGet)
	c.read(t)
	if o := receive(t, "outcome", m.outcomes); o.Status != policy.NotSent {
		t.Errorf("outcome %v, want NotSent", o.Status)
	}
}

// TestTimers: they are due in order, each once, and none is due later than a client can wait.
func TestTimers(t *testing.T) {
	m := newScriptedModule()
	sc := startSidecar(t, m, "127.0.0.1:1", "127.0.0.1:1")
	sc.runActions(func(act policy.Actions) {
		act.SetTimer(30*time.Millisecond, "third")
		act.SetTimer(20*time.Millisecond, "second")
		act.SetTimer(-time.Hour, "first")
	})
	for _, want := range []string{"first", "second", "third"} {
		if got := receive(t, "timer", m.timers); got != want {
			t.Errorf("timer %q, want %q", got, want)
		}
	}
	if n := sc.engine.Snapshot().Timers; n > 0 || len(m.timers) > 0 {
		t.Errorf("%d timers are left, and %d came twice", n, len(m.timers))
	}
}

// TestNothingIsLeftBehind: requests, attempts, connections and goroutines of a busy hour are gone after it.
func TestNothingIsLeftBehind(t *testing.T) {
	sc := startSidecar(t, nil, startServer(t, func(n int, c net.Conn) {
		if n%3 == 0 { // some connections break
			http.ReadRequest(bufio.NewReader(c))
			c.Close()
			return
		}
		respondText(okResponse)(n, c)
	}), "127.0.0.1:1", func(c *config.Config) { c.Settings.Config.ConnIdleTimeout = 100 * time.Millisecond })
	var clients []*testClient
	for range 50 {
		c := sc.connect(t)
		c.write(strings.Replace(plainGet, "9000", "9223372036854775807", 1))
		clients = append(clients, c)
	}
	for _, c := range clients {
		if _, err := http.ReadResponse(c.r, nil); err != nil {
			t.Errorf("no answer: %v", err)
		}
		c.Close()
	}
	eventually(t, "all is gone", func() bool {
		// One place for the connection that the listener waits for.
		return sc.engine.Snapshot().Retained == 0 && sc.engine.Snapshot().Probing == 0 && sc.inUse() <= 1 && sc.clientsInUse() <= 1
	})
	if due := sc.engine.Snapshot().LastDue; due > sc.engine.LongestDeadline() {
		t.Errorf("a timer is due in %v", due)
	}
}

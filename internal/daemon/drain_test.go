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

// gatedServer is a server that does not respond until gate is closed.
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

// TestDrain checks that no accepted request is lost after SIGTERM, and that new connections are
// served for as long as they may arrive.
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
		t.Errorf("read from an idle connection: %v, want EOF", err)
	}
	late := sc.connect(t)
	late.write(plainGet)
	fresh.write(plainGet)
	receive(t, "request", g.requests)
	receive(t, "request", g.requests)
	select {
	case err := <-sc.done:
		t.Fatalf("the sidecar ended with open requests: %v", err)
	case <-time.After(connectWindow + 200*time.Millisecond):
		// Open requests still have time after the window.
	}
	close(g.gate)
	for _, c := range []*testClient{busy, late, fresh} {
		if resp, body := c.read(t); resp.StatusCode != http.StatusOK || body != "ok" || !resp.Close {
			t.Errorf("status %d %q, close: %v; want a complete response with Connection: close", resp.StatusCode, body, resp.Close)
		}
	}
	if err := receive(t, "the end of the sidecar", sc.done); err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", sc.addr); err == nil {
		c.Close()
		t.Error("the sidecar still listens")
	}
}

// TestDrainEmptiesBacklog checks that connections in the kernel's accept queue are served.
func TestDrainEmptiesBacklog(t *testing.T) {
	g := newGatedServer(t)
	sc := startSidecar(t, newScriptedModule(), g.addr, "127.0.0.1:1", func(c *config.Config) { c.Sockets = config.MinSockets })
	var clients []*testClient
	for range sc.clientLimit() + 5 { // five connections have to wait
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
		t.Fatalf("the sidecar ended with open requests: %v", err)
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
	if err := receive(t, "the end of the sidecar", sc.done); err != nil {
		t.Error(err)
	}
}

// TestDescriptorsAreLimited checks that many times as many clients as there are descriptors get
// their responses, by turns.
func TestDescriptorsAreLimited(t *testing.T) {
	m := newScriptedModule()
	sc := startSidecar(t, m, startServer(t, respondText(okResponse)), "127.0.0.1:1", func(c *config.Config) { c.Sockets = config.MinSockets })
	var clients []*testClient
	for range 4 * config.MinSockets {
		c := sc.connect(t)
		c.write(plainGet)
		clients = append(clients, c)
	}
	// Each connection stays open, so idle ones must be evicted for waiting ones.
	for _, c := range clients {
		if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d", resp.StatusCode)
		}
		if n := sc.inUse(); n > config.MinSockets-sockets.Reserved {
			t.Fatalf("%d descriptors in use", n)
		}
	}
}

// TestSilentConnectionsAreEvicted guards against incident rab7690: connections on which nothing
// ever arrives must not keep other clients out. Only the connection that has been silent the
// longest is closed.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondText(okResponse)), "127.0.0.1:1", func(c *config.Config) { c.Sockets = config.MinSockets })
	silentConns := func() int { return sc.server.Stats().Idle }
	var silent []*testClient
	partial := sc.connect(t) // a head that arrives slowly is not silence
	partial.write(plainGet[:20])
	for range sc.clientLimit() - 1 {
		silent = append(silent, sc.connect(t))
	}
	eventually(t, "all descriptors but those of one more client are in use", func() bool { return silentConns() >= sc.clientLimit()-1 })
	if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	if n := silentConns(); n < sc.clientLimit()-4 {
		t.Errorf("only %d of %d silent connections are still open", n, len(silent))
	}
	if _, err := silent[0].r.ReadByte(); err == nil {
		t.Error("received data on a silent connection")
	}
	partial.write(plainGet[20:])
	if resp, _ := partial.read(t); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// TestNoDescriptorForAttempt checks that an attempt that gets no descriptor in time counts as never
// sent, which is no evidence against the server.
func TestNoDescriptorForAttempt(t *testing.T) {
	m := newScriptedModule()
	sc := startSidecar(t, m, startServer(t, respondText(okResponse)), "127.0.0.1:1", func(c *config.Config) {
		c.Sockets = config.MinSockets
		c.Settings.Config.DialTimeout = 30 * time.Millisecond
	})
	c := sc.connect(t)
	c.write("GET /healthz HTTP/1.1\nHost: s\n\n")
	c.read(t)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for { // take all remaining descriptors
		if _, err := sc.sockets.Acquire(canceled); err != nil {
			break
		}
	}
	c.write(plainGet)
	c.read(t)
	if o := receive(t, "outcome", m.outcomes); o.Status != policy.NotSent {
		t.Errorf("outcome %v, want NotSent", o.Status)
	}
}

// TestTimers checks that timers fire in order, each once, and none later than a client can wait.
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
		t.Errorf("%d timers remain, and %d fired twice", n, len(m.timers))
	}
}

// TestNoLeaks checks that the requests, attempts and connections of a busy period are gone after
// it.
func TestNoLeaks(t *testing.T) {
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
			t.Errorf("no response: %v", err)
		}
		c.Close()
	}
	eventually(t, "all resources are released", func() bool {
		// One descriptor is reserved for the next connection of the listener.
		return sc.engine.Snapshot().Retained == 0 && sc.engine.Snapshot().Probing == 0 && sc.inUse() <= 1 && sc.clientsInUse() <= 1
	})
	if due := sc.engine.Snapshot().LastDue; due > sc.engine.LongestDeadline() {
		t.Errorf("the last timer is due in %v", due)
	}
}

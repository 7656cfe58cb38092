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

// gate is an upstream that answers nothing before it is opened.
type gate struct {
	addr    string
	arrived chan struct{}
	open    chan struct{}
}

func newGate(t *testing.T) *gate {
	g := &gate{arrived: make(chan struct{}, 1000), open: make(chan struct{})}
	g.addr = peer(t, answering(func(q *http.Request, c net.Conn) {
		g.arrived <- struct{}{}
		<-g.open
		io.WriteString(c, strings.ReplaceAll(okAnswer, "\n", "\r\n"))
	}))
	return g
}

// TestDrain: after SIGTERM nothing that is taken is lost, and new connections are served for as long as they may
// come.
func TestDrain(t *testing.T) {
	g := newGate(t)
	w := start(t, newScript(), g.addr, "127.0.0.1:1")
	idle, busy, fresh := w.connect(t), w.connect(t), w.connect(t)
	idle.write("GET /healthz HTTP/1.1\nHost: s\n\n")
	idle.read(t)
	busy.write(plainGet)
	next(t, "request", g.arrived)
	w.term()
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("read from an idle connection: %v, want its end", err)
	}
	late := w.connect(t)
	late.write(plainGet)
	fresh.write(plainGet)
	next(t, "request", g.arrived)
	next(t, "request", g.arrived)
	select {
	case err := <-w.over:
		t.Fatalf("the sidecar ended with requests unanswered: %v", err)
	case <-time.After(connectWindow + 200*time.Millisecond): // past the window they still have their time
	}
	close(g.open)
	for _, c := range []*client{busy, late, fresh} {
		if resp, body := c.read(t); resp.StatusCode != http.StatusOK || body != "ok" || !resp.Close {
			t.Errorf("answer %d %q, closes: %v; want a whole one that closes", resp.StatusCode, body, resp.Close)
		}
	}
	if err := next(t, "end", w.over); err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", w.addr); err == nil {
		c.Close()
		t.Error("it still listens")
	}
}

// TestDrainEmptiesTheBacklog: connections that the kernel has accepted count as taken.
func TestDrainEmptiesTheBacklog(t *testing.T) {
	g := newGate(t)
	w := start(t, newScript(), g.addr, "127.0.0.1:1", func(c *config.Config) { c.Sockets = config.MinSockets })
	var clients []*client
	for range w.clientPlaces() + 5 { // five have to wait
		c := w.connect(t)
		c.write(plainGet)
		clients = append(clients, c)
	}
	for range w.places() - w.clientPlaces() {
		next(t, "request", g.arrived)
	}
	w.term()
	select {
	case err := <-w.over:
		t.Fatalf("the sidecar ended with requests unanswered: %v", err)
	case <-time.After(connectWindow + 200*time.Millisecond):
	}
	close(g.open)
	for i, c := range clients {
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Fatalf("connection %d of %d: %v", i, len(clients), err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	if err := next(t, "end", w.over); err != nil {
		t.Error(err)
	}
}

// TestSocketsAreBounded: many times as many clients as there are descriptors get their answers, by turns.
func TestSocketsAreBounded(t *testing.T) {
	m := newScript()
	w := start(t, m, peer(t, say(okAnswer)), "127.0.0.1:1", func(c *config.Config) { c.Sockets = config.MinSockets })
	var clients []*client
	for range 4 * config.MinSockets {
		c := w.connect(t)
		c.write(plainGet)
		clients = append(clients, c)
	}
	for _, c := range clients { // each stays open, so that idle ones must make room for those that wait
		if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
			t.Fatalf("answer %d", resp.StatusCode)
		}
		if n := w.inUse(); n > config.MinSockets-sockets.Reserved {
			t.Fatalf("%d descriptors in use", n)
		}
	}
}

// TestSilentConnectionsMakeRoom guards against incident rab7690: connections on which nothing ever comes must not
// keep clients out. The one that has been silent longest goes, and no other.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	w := start(t, newScript(), peer(t, say(okAnswer)), "127.0.0.1:1", func(c *config.Config) { c.Sockets = config.MinSockets })
	quiet := func() int { return w.server.Stats().Idle }
	var silent []*client
	begun := w.connect(t) // a head that is slow to come is not silence
	begun.write(plainGet[:20])
	for range w.clientPlaces() - 1 {
		silent = append(silent, w.connect(t))
	}
	eventually(t, "all places are taken, but for what one more needs", func() bool { return quiet() >= w.clientPlaces()-1 })
	if resp, _ := w.ask(t, plainGet); resp.StatusCode != http.StatusOK {
		t.Errorf("answer %d", resp.StatusCode)
	}
	if n := quiet(); n < w.clientPlaces()-4 {
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
	m := newScript()
	w := start(t, m, peer(t, say(okAnswer)), "127.0.0.1:1", func(c *config.Config) {
		c.Sockets = config.MinSockets
		c.Settings.Config.DialTimeout = 30 * time.Millisecond
	})
	c := w.connect(t)
	c.write("GET /healthz HTTP/1.1\nHost: s\n\n")
	c.read(t)
	soon, cancel := context.WithCancel(t.Context())
	cancel()
	for { // take all that are left
		if _, err := w.sockets.Acquire(soon); err != nil {
			break
		}
	}
	c.write(plainGet)
	c.read(t)
	if o := next(t, "outcome", m.outcomes); o.Status != policy.NotSent {
		t.Errorf("outcome %v, want NotSent", o.Status)
	}
}

// TestTimers: they are due in order, each once, and none is due later than a client can wait.
func TestTimers(t *testing.T) {
	m := newScript()
	w := start(t, m, "127.0.0.1:1", "127.0.0.1:1")
	w.act(func(act policy.Actions) {
		act.SetTimer(30*time.Millisecond, "third")
		act.SetTimer(20*time.Millisecond, "second")
		act.SetTimer(-time.Hour, "first")
	})
	for _, want := range []string{"first", "second", "third"} {
		if got := next(t, "timer", m.timers); got != want {
			t.Errorf("timer %q, want %q", got, want)
		}
	}
	if n := w.engine.Snapshot().Timers; n > 0 || len(m.timers) > 0 {
		t.Errorf("%d timers are left, and %d came twice", n, len(m.timers))
	}
}

// TestNothingIsLeftBehind: requests, attempts, connections and goroutines of a busy hour are gone after it.
func TestNothingIsLeftBehind(t *testing.T) {
	w := start(t, nil, peer(t, func(n int, c net.Conn) {
		if n%3 == 0 { // some connections break
			http.ReadRequest(bufio.NewReader(c))
			c.Close()
			return
		}
		say(okAnswer)(n, c)
	}), "127.0.0.1:1", func(c *config.Config) { c.Settings.Config.ConnIdleTimeout = 100 * time.Millisecond })
	var clients []*client
	for range 50 {
		c := w.connect(t)
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
		return w.engine.Snapshot().Retained == 0 && w.engine.Snapshot().Probing == 0 && w.inUse() <= 1 && w.clients() <= 1
	})
	if due := w.engine.Snapshot().LastDue; due > w.engine.LongestDeadline() {
		t.Errorf("a timer is due in %v", due)
	}
}

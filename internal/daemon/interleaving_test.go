package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"quillfront/internal/config"
	"quillfront/internal/engine"
	"quillfront/internal/orders"
	"quillfront/policy"
)

// fullBacklogServer is a server whose accept queue is full, so that no connection is established
// until it accepts one.
type fullBacklogServer struct {
	*net.TCPListener
	queued []net.Conn // connections in the accept queue
}

func newFullBacklogServer(t *testing.T) *fullBacklogServer {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	f := &fullBacklogServer{TCPListener: ln}
	t.Cleanup(func() {
		ln.Close()
		for _, c := range f.queued {
			c.Close()
		}
	})
	if err := setBacklog(ln, 0); err != nil {
		t.Fatal(err)
	}
	for {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return f
		}
		f.queued = append(f.queued, c)
	}
}

// attemptWaitsFor reports whether exactly one attempt is open, and is at stage.
func (sc *testSidecar) attemptWaitsFor(stage engine.Stage) bool {
	all := sc.engine.PendingRequests(0)
	return len(all) == 1 && len(all[0].OpenAttempts) == 1 && all[0].OpenAttempts[0].Stage == stage
}

// TestClientDisconnectsBeforeSend checks that a request whose client disconnects while it waits is
// not forwarded, whatever it waits for, even where attempts must not be canceled once they are
// sent.
func TestClientDisconnectsBeforeSend(t *testing.T) {
	noCancel := func(c *config.Config) { c.Settings.Config.MayCancel = false }
	// disconnect closes c while its attempt is at stage, and checks that the attempt ends unsent.
	disconnect := func(t *testing.T, sc *testSidecar, m *scriptedModule, c *testClient, stage engine.Stage) {
		t.Helper()
		eventually(t, "the attempt waits for "+stage.String(), func() bool { return sc.attemptWaitsFor(stage) })
		c.Close()
		receive(t, "ClientDisconnected", m.disconnects)
		if o := receive(t, "outcome", m.outcomes); o.Status != policy.Canceled || !o.Final {
			t.Errorf("outcome %+v, want Canceled and Final", o)
		}
		eventually(t, "no state is retained", func() bool { return sc.engine.Snapshot().Retained == 0 })
	}
	t.Run("a connection", func(t *testing.T) {
		m, f := newScriptedModule(), newFullBacklogServer(t)
		sc := startSidecar(t, m, f.Addr().String(), "127.0.0.1:1", noCancel)
		c := sc.connect(t)
		c.write(plainGet)
		disconnect(t, sc, m, c, engine.StageConnect)
	})
	t.Run("a descriptor", func(t *testing.T) {
		m := newScriptedModule()
		sc := startSidecar(t, m, startServer(t, respondText(okResponse)), "127.0.0.1:1", noCancel)
		c := sc.connect(t)
		c.write("GET /healthz HTTP/1.1\nHost: s\n\n")
		c.read(t)
		for all := false; !all; {
			_, ok := sc.sockets.TryAcquire()
			all = !ok
		}
		c.write(plainGet)
		disconnect(t, sc, m, c, engine.StageDescriptor)
	})
	t.Run("a connection, with an unread body", func(t *testing.T) {
		m, f := newScriptedModule(), newFullBacklogServer(t)
		sc := startSidecar(t, m, f.Addr().String(), "127.0.0.1:1", noCancel)
		c := sc.connect(t)
		c.write("POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nIdempotency-Key: k\nTransfer-Encoding: chunked\n\n")
		for range 5 { // more than the sidecar buffers, less than the kernel buffers
			fmt.Fprintf(c, "%x\r\n%s\r\n", 16<<10, strings.Repeat("x", 16<<10))
		}
		io.WriteString(c, "0\r\n\r\n")
		disconnect(t, sc, m, c, engine.StageConnect)
	})
	// disconnectQueued has clients write a request and disconnect while it cannot be served. It is
	// never accepted, and other requests are not lost.
	disconnectQueued := func(t *testing.T, g *gatedServer, sc *testSidecar, text string, disconnecting, busy int) {
		t.Helper()
		for range disconnecting {
			c := sc.connect(t)
			c.write(text)
			c.Close()
		}
		last := sc.connect(t)
		last.write(plainGet)
		close(g.gate)
		if resp, _ := last.read(t); resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
		last.Close()
		eventually(t, "all connections have ended", func() bool { return sc.clientsInUse() <= 1 })
		if n := sc.engine.Snapshot().Accepted; n != uint64(busy+1) {
			t.Errorf("%d requests were accepted, want %d", n, busy+1)
		}
	}
	t.Run("a client descriptor", func(t *testing.T) { // clients disconnect in the accept queue
		g := newGatedServer(t)
		sc := startSidecar(t, newScriptedModule(), g.addr, "127.0.0.1:1", func(c *config.Config) { c.Sockets = config.MinSockets })
		busy := sc.clientLimit()
		for range busy {
			c := sc.connect(t)
			c.write(strings.Replace(plainGet, "GET /read/k HTTP/1.1\n", "GET /read/k HTTP/1.1\nConnection: close\n", 1))
		}
		for range min(busy, sc.limit()-busy) {
			receive(t, "request", g.requests)
		}
		disconnectQueued(t, g, sc, plainGet, 20, busy)
	})
	t.Run("body budget", func(t *testing.T) { // clients disconnect while their bodies are not read
		g := newGatedServer(t)
		// Only remembered orders wait for memory: other bodies are sent as they arrive.
		sc := startSidecarWith(t, config.Operator{Store: &orders.Config{}}, newScriptedModule(), g.addr, "127.0.0.1:1", func(c *config.Config) { c.MemoryMB = 1 })
		post := "POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nIdempotency-Key: k\nContent-Length: 65536\nConnection: close\n\n" + strings.Repeat("x", 65536)
		// Of the body budget, an eighth of a MiB, such bodies may use seven eighths.
		sc.connect(t).write(post)
		receive(t, "request", g.requests)
		disconnectQueued(t, g, sc, post, 5, 1)
	})
}

// TestLateRequestsDuringShutdown checks that a request that arrives late in a drain on an open
// connection gets its response before the sidecar ends, although its client would wait longer and
// the server hangs.
func TestLateRequestsDuringShutdown(t *testing.T) {
	g := newGatedServer(t)
	sc := startSidecar(t, nil, g.addr, "127.0.0.1:1", func(c *config.Config) {
		c.Settings.Config.MayProbe = false
		for i := range c.Settings.Config.Classes {
			c.Settings.Config.Classes[i].Aim, c.Settings.Config.Classes[i].Deadline = 800*time.Millisecond, time.Second
		}
	})
	idle, slow := sc.connect(t), sc.connect(t)
	idle.write("GET /healthz HTTP/1.1\nHost: s\n\n")
	idle.read(t)
	slow.write(strings.TrimSuffix(strings.Replace(plainGet, "9000", "1000", 1), "\n"))
	sc.terminate()
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("read from an idle connection: %v, want EOF", err)
	}
	// A deadline of 1 s from now is after the exit, which is 1.65 s after SIGTERM.
	time.Sleep(900 * time.Millisecond)
	slow.write("\n")
	resp, err := http.ReadResponse(slow.r, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if resp.StatusCode/100 != 5 || !resp.Close {
		t.Errorf("status %d, close: %v", resp.StatusCode, resp.Close)
	}
	if err := receive(t, "the end of the sidecar", sc.done); err != nil {
		t.Error(err)
	}
}

// TestSurplusResponse checks that a second response to a request is never taken for the response to
// the next one, and shows that connections have to be idle for longer before they are reused.
func TestSurplusResponse(t *testing.T) {
	sendSurplus := make(chan struct{})
	conns := make(chan int, 10)
	addr := startServer(t, func(n int, c net.Conn) {
		conns <- n
		for r := bufio.NewReader(c); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, q.Body)
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n%s", q.Header.Get("X-Request-Id"))
			io.WriteString(c, response)
			if n == 0 {
				<-sendSurplus
				io.WriteString(c, response)
			}
		}
	})
	sc := startSidecar(t, newScriptedModule(), addr, "127.0.0.1:1")
	for i, id := range []string{"id1", "id2", "id3"} {
		if _, body := sc.roundTrip(t, strings.Replace(plainGet, "ID: 1", "ID: "+id, 1)); body != id {
			t.Errorf("the response to %s is that to %s", id, body)
		}
		if i == 0 {
			close(sendSurplus)
			eventually(t, "the second response has arrived", func() bool { s := sc.transport.Stats(); return s.Stale == 1 && s.Settling == 0 })
		}
	}
	if a, b := receive(t, "connection", conns), receive(t, "connection", conns); a != 0 || b != 1 {
		t.Errorf("connections %d and %d", a, b)
	}
}

// TestServerLeavesBeforeSend checks that a request that waits for a connection to a server that
// drains or has restarted is scheduled again. This includes a class that must not run twice, as the
// request has certainly not run.
func TestServerLeavesBeforeSend(t *testing.T) {
	for name, what := range map[string]string{"leaving": `"health":"leaving"`, "restarted": `"health":"active","born_ms":1700000000123`} {
		t.Run(name, func(t *testing.T) {
			f, d := newFullBacklogServer(t), newFakeDiscovery(t)
			sc := startSidecar(t, nil, f.Addr().String(), d.addr, func(c *config.Config) {
				c.Settings.Config.MayProbe, c.Settings.Config.MayCancel = false, false
				c.Settings.Config.RefreshInterval, c.Settings.Config.DialTimeout = 100*time.Millisecond, time.Minute
			})
			watch := receive(t, "watch", d.watches)
			watch.writeHead()
			c := sc.connect(t)
			c.write("POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nContent-Length: 2\n\nhi")
			eventually(t, "the attempt waits for a connection", func() bool { return sc.attemptWaitsFor(engine.StageConnect) })
			watch.writeMessage(fmt.Sprintf(`{"seq":42,"hosts":[{"host":"a","dial":%q,%s},{"host":"b","dial":%q,"site":"z","health":"active"}]}`,
				f.Addr(), what, startServer(t, respondText(okResponse))))
			if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
				t.Errorf("status %d", resp.StatusCode)
			}
		})
	}
}

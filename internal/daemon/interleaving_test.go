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
	"quillfront/policy"
)

// fullBacklogServer is a server whose queue of connections is fullBacklogServer, so that none comes up before it accepts.
type fullBacklogServer struct {
	*net.TCPListener
	queued []net.Conn // in its queue
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

// attemptWaitsFor reports whether one attempt is out, and waits for s.
func (sc *testSidecar) attemptWaitsFor(s engine.Stage) bool {
	all := sc.engine.PendingRequests(0)
	return len(all) == 1 && len(all[0].OpenAttempts) == 1 && all[0].OpenAttempts[0].Stage == s
}

// TestClientLeavesBeforeItIsSent: a request whose client leaves while it waits is not sent on, whatever it waits for, and also where
// attempts may not be called off once they are out.
func TestClientLeavesBeforeItIsSent(t *testing.T) {
	uncancelled := func(c *config.Config) { c.Settings.Config.MayCancel = false }
	// leaves has c's client leave while its attempt waits for s, and checks that the attempt ends unsent.
	leaves := func(t *testing.T, sc *testSidecar, m *scriptedModule, c *testClient, s engine.Stage) {
		t.Helper()
		eventually(t, "the attempt waits for "+s.String(), func() bool { return sc.attemptWaitsFor(s) })
		c.Close()
		receive(t, "Withdrawn", m.disconnects)
		if o := receive(t, "outcome", m.outcomes); o.Status != policy.Canceled || !o.Final {
			t.Errorf("outcome %+v, want Canceled and Closed", o)
		}
		eventually(t, "nothing is left of it", func() bool { return sc.engine.Snapshot().Retained == 0 })
	}
	t.Run("a connection", func(t *testing.T) {
		m, f := newScriptedModule(), newFullBacklogServer(t)
		sc := startSidecar(t, m, f.Addr().String(), "127.0.0.1:1", uncancelled)
		c := sc.connect(t)
		c.write(plainGet)
		leaves(t, sc, m, c, engine.StageConnect)
	})
	t.Run("a descriptor", func(t *testing.T) {
		m := newScriptedModule()
		sc := startSidecar(t, m, startServer(t, respondText(okResponse)), "127.0.0.1:1", uncancelled)
		c := sc.connect(t)
		c.write("GET /healthz HTTP/1.1\nHost: s\n\n")
		c.read(t)
		for all := false; !all; {
			_, ok := sc.sockets.TryAcquire()
			all = !ok
		}
		c.write(plainGet)
		leaves(t, sc, m, c, engine.StageDescriptor)
	})
	t.Run("a connection, with a body unread", func(t *testing.T) {
		m, f := newScriptedModule(), newFullBacklogServer(t)
		sc := startSidecar(t, m, f.Addr().String(), "127.0.0.1:1", uncancelled)
		c := sc.connect(t)
		c.write("POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nIdempotency-Key: k\nTransfer-Encoding: chunked\n\n")
		for range 5 { // more than is held, and less than the kernel takes
			fmt.Fprintf(c, "%x\r\n%s\r\n", 16<<10, strings.Repeat("x", 16<<10))
		}
		io.WriteString(c, "0\r\n\r\n")
		leaves(t, sc, m, c, engine.StageConnect)
	})
	// left has clients write a request and leave, while nothing of it can be served. It is never taken, nor are others lost.
	left := func(t *testing.T, g *gatedServer, sc *testSidecar, text string, leaving, busy int) {
		t.Helper()
		for range leaving {
			c := sc.connect(t)
			c.write(text)
			c.Close()
		}
		last := sc.connect(t)
		last.write(plainGet)
		close(g.gate)
		if resp, _ := last.read(t); resp.StatusCode != http.StatusOK {
			t.Errorf("answer %d", resp.StatusCode)
		}
		last.Close()
		eventually(t, "all have ended", func() bool { return sc.clientsInUse() <= 1 })
		if n := sc.engine.Snapshot().Accepted; n != uint64(busy+1) {
			t.Errorf("%d requests were taken, want %d", n, busy+1)
		}
	}
	t.Run("a place", func(t *testing.T) { // clients leave in the kernel's queue
		g := newGatedServer(t)
		sc := startSidecar(t, newScriptedModule(), g.addr, "127.0.0.1:1", func(c *config.Config) { c.Sockets = config.LeastSockets })
		busy := sc.clientLimit()
		for range busy {
			c := sc.connect(t)
			c.write(strings.Replace(plainGet, "GET /read/k HTTP/1.1\n", "GET /read/k HTTP/1.1\nConnection: close\n", 1))
		}
		for range min(busy, sc.limit()-busy) {
			receive(t, "request", g.requests)
		}
		left(t, g, sc, plainGet, 20, busy)
	})
	t.Run("room", func(t *testing.T) { // clients leave while nobody reads their bodies
		g := newGatedServer(t)
		sc := startSidecar(t, newScriptedModule(), g.addr, "127.0.0.1:1", func(c *config.Config) { c.MemoryMB = 1 })
		post := "POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nIdempotency-Key: k\nContent-Length: 65536\nConnection: close\n\n" + strings.Repeat("x", 65536)
		for range 2 { // an eighth of a MiB
			sc.connect(t).write(post)
			receive(t, "request", g.requests)
		}
		left(t, g, sc, post, 5, 2)
	})
}

// TestLateRequestsWhileItEnds: what comes on a connection that is still open late in a drain is answered before the sidecar ends, though
// its client would wait longer and the server hangs.
func TestLateRequestsWhileItEnds(t *testing.T) {
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
		t.Errorf("read from an idle connection: %v, want its end", err)
	}
	time.Sleep(900 * time.Millisecond) // not for anything to happen: 1 s more is beyond the end, which is 1.65 s after SIGTERM
	slow.write("\n")
	resp, err := http.ReadResponse(slow.r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if resp.StatusCode/100 != 5 || !resp.Close {
		t.Errorf("answer %d, closes: %v", resp.StatusCode, resp.Close)
	}
	if err := receive(t, "end", sc.done); err != nil {
		t.Error(err)
	}
}

// TestSecondAnswer: a second answer that comes behind the first is never the next request's, and shows that connections have to rest for
// longer.
func TestSecondAnswer(t *testing.T) {
	again := make(chan struct{})
	conns := make(chan int, 10)
	addr := startServer(t, func(n int, c net.Conn) {
		conns <- n
		for r := bufio.NewReader(c); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, q.Body)
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n%s", q.Header.Get("X-Request-Id"))
			io.WriteString(c, answer)
			if n == 0 {
				<-again
				io.WriteString(c, answer)
			}
		}
	})
	sc := startSidecar(t, newScriptedModule(), addr, "127.0.0.1:1")
	for i, id := range []string{"id1", "id2", "id3"} {
		if _, body := sc.roundTrip(t, strings.Replace(plainGet, "ID: 1", "ID: "+id, 1)); body != id {
			t.Errorf("the answer to %s is that to %s", id, body)
		}
		if i == 0 {
			close(again)
			eventually(t, "the second answer is there", func() bool { s := sc.transport.Stats(); return s.Stale == 1 && s.Settling == 0 })
		}
	}
	if a, b := receive(t, "connection", conns), receive(t, "connection", conns); a != 0 || b != 1 {
		t.Errorf("connections %d and %d", a, b)
	}
}

// TestServerLeavesBeforeItIsSent: what waits for a connection to a server that is told to leave, or has started anew, is decided anew, also
// of a class that must not run twice, as it has surely not run.
func TestServerLeavesBeforeItIsSent(t *testing.T) {
	for name, what := range map[string]string{"leaving": `"health":"leaving"`, "started anew": `"health":"active","born_ms":1700000000123`} {
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
				t.Errorf("answer %d", resp.StatusCode)
			}
		})
	}
}

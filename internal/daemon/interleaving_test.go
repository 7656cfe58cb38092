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

// full is a server whose queue of connections is full, so that none comes up before it accepts.
type full struct {
	*net.TCPListener
	waiting []net.Conn // in its queue
}

func newFull(t *testing.T) *full {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	f := &full{TCPListener: ln}
	t.Cleanup(func() {
		ln.Close()
		for _, c := range f.waiting {
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
		f.waiting = append(f.waiting, c)
	}
}

// stage reports whether one attempt is out, and waits for s.
func (w *world) stage(s engine.Stage) bool {
	all := w.engine.PendingRequests(0)
	return len(all) == 1 && len(all[0].OpenAttempts) == 1 && all[0].OpenAttempts[0].Stage == s
}

// TestClientLeavesBeforeItIsSent: a request whose client leaves while it waits is not sent on, whatever it waits for, and also where
// attempts may not be called off once they are out.
func TestClientLeavesBeforeItIsSent(t *testing.T) {
	uncancelled := func(c *config.Config) { c.Settings.Config.MayCancel = false }
	// leaves has c's client leave while its attempt waits for s, and checks that the attempt ends unsent.
	leaves := func(t *testing.T, w *world, m *script, c *client, s engine.Stage) {
		t.Helper()
		eventually(t, "the attempt waits for "+s.String(), func() bool { return w.stage(s) })
		c.Close()
		next(t, "Withdrawn", m.withdrawn)
		if o := next(t, "outcome", m.outcomes); o.Status != policy.Canceled || !o.Final {
			t.Errorf("outcome %+v, want Canceled and Closed", o)
		}
		eventually(t, "nothing is left of it", func() bool { return w.engine.Snapshot().Retained == 0 })
	}
	t.Run("a connection", func(t *testing.T) {
		m, f := newScript(), newFull(t)
		w := start(t, m, f.Addr().String(), "127.0.0.1:1", uncancelled)
		c := w.connect(t)
		c.write(plainGet)
		leaves(t, w, m, c, engine.StageConnect)
	})
	t.Run("a descriptor", func(t *testing.T) {
		m := newScript()
		w := start(t, m, peer(t, say(okAnswer)), "127.0.0.1:1", uncancelled)
		c := w.connect(t)
		c.write("GET /healthz HTTP/1.1\nHost: s\n\n")
		c.read(t)
		for all := false; !all; {
			_, ok := w.sockets.TryAcquire()
			all = !ok
		}
		c.write(plainGet)
		leaves(t, w, m, c, engine.StageDescriptor)
	})
	t.Run("a connection, with a body unread", func(t *testing.T) {
		m, f := newScript(), newFull(t)
		w := start(t, m, f.Addr().String(), "127.0.0.1:1", uncancelled)
		c := w.connect(t)
		c.write("POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nIdempotency-Key: k\nTransfer-Encoding: chunked\n\n")
		for range 5 { // more than is held, and less than the kernel takes
			fmt.Fprintf(c, "%x\r\n%s\r\n", 16<<10, strings.Repeat("x", 16<<10))
		}
		io.WriteString(c, "0\r\n\r\n")
		leaves(t, w, m, c, engine.StageConnect)
	})
	// left has clients write a request and leave, while nothing of it can be served. It is never taken, nor are others lost.
	left := func(t *testing.T, g *gate, w *world, text string, leaving, busy int) {
		t.Helper()
		for range leaving {
			c := w.connect(t)
			c.write(text)
			c.Close()
		}
		last := w.connect(t)
		last.write(plainGet)
		close(g.open)
		if resp, _ := last.read(t); resp.StatusCode != http.StatusOK {
			t.Errorf("answer %d", resp.StatusCode)
		}
		last.Close()
		eventually(t, "all have ended", func() bool { return w.clients() <= 1 })
		if n := w.engine.Snapshot().Accepted; n != uint64(busy+1) {
			t.Errorf("%d requests were taken, want %d", n, busy+1)
		}
	}
	t.Run("a place", func(t *testing.T) { // clients leave in the kernel's queue
		g := newGate(t)
		w := start(t, newScript(), g.addr, "127.0.0.1:1", func(c *config.Config) { c.Sockets = config.LeastSockets })
		busy := w.clientPlaces()
		for range busy {
			c := w.connect(t)
			c.write(strings.Replace(plainGet, "GET /read/k HTTP/1.1\n", "GET /read/k HTTP/1.1\nConnection: close\n", 1))
		}
		for range min(busy, w.places()-busy) {
			next(t, "request", g.arrived)
		}
		left(t, g, w, plainGet, 20, busy)
	})
	t.Run("room", func(t *testing.T) { // clients leave while nobody reads their bodies
		g := newGate(t)
		w := start(t, newScript(), g.addr, "127.0.0.1:1", func(c *config.Config) { c.MemoryMB = 1 })
		post := "POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nIdempotency-Key: k\nContent-Length: 65536\nConnection: close\n\n" + strings.Repeat("x", 65536)
		for range 2 { // an eighth of a MiB
			w.connect(t).write(post)
			next(t, "request", g.arrived)
		}
		left(t, g, w, post, 5, 2)
	})
}

// TestLateRequestsWhileItEnds: what comes on a connection that is still open late in a drain is answered before the sidecar ends, though
// its client would wait longer and the server hangs.
func TestLateRequestsWhileItEnds(t *testing.T) {
	g := newGate(t)
	w := start(t, nil, g.addr, "127.0.0.1:1", func(c *config.Config) {
		c.Settings.Config.MayProbe = false
		for i := range c.Settings.Config.Classes {
			c.Settings.Config.Classes[i].Aim, c.Settings.Config.Classes[i].Deadline = 800*time.Millisecond, time.Second
		}
	})
	idle, slow := w.connect(t), w.connect(t)
	idle.write("GET /healthz HTTP/1.1\nHost: s\n\n")
	idle.read(t)
	slow.write(strings.TrimSuffix(strings.Replace(plainGet, "9000", "1000", 1), "\n"))
	w.term()
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
	if err := next(t, "end", w.over); err != nil {
		t.Error(err)
	}
}

// TestSecondAnswer: a second answer that comes behind the first is never the next request's, and shows that connections have to rest for
// longer.
func TestSecondAnswer(t *testing.T) {
	again := make(chan struct{})
	conns := make(chan int, 10)
	addr := peer(t, func(n int, c net.Conn) {
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
	w := start(t, newScript(), addr, "127.0.0.1:1")
	for i, id := range []string{"id1", "id2", "id3"} {
		if _, body := w.ask(t, strings.Replace(plainGet, "ID: 1", "ID: "+id, 1)); body != id {
			t.Errorf("the answer to %s is that to %s", id, body)
		}
		if i == 0 {
			close(again)
			eventually(t, "the second answer is there", func() bool { s := w.transport.Stats(); return s.Stale == 1 && s.Settling == 0 })
		}
	}
	if a, b := next(t, "connection", conns), next(t, "connection", conns); a != 0 || b != 1 {
		t.Errorf("connections %d and %d", a, b)
	}
}

// TestServerLeavesBeforeItIsSent: what waits for a connection to a server that is told to leave, or has started anew, is decided anew, also
// of a class that must not run twice, as it has surely not run.
func TestServerLeavesBeforeItIsSent(t *testing.T) {
	for name, what := range map[string]string{"leaving": `"health":"leaving"`, "started anew": `"health":"active","born_ms":1700000000123`} {
		t.Run(name, func(t *testing.T) {
			f, d := newFull(t), newDiscovery(t)
			w := start(t, nil, f.Addr().String(), d.addr, func(c *config.Config) {
				c.Settings.Config.MayProbe, c.Settings.Config.MayCancel = false, false
				c.Settings.Config.RefreshInterval, c.Settings.Config.DialTimeout = 100*time.Millisecond, time.Minute
			})
			watch := next(t, "watch", d.watches)
			watch.head()
			c := w.connect(t)
			c.write("POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\nContent-Length: 2\n\nhi")
			eventually(t, "the attempt waits for a connection", func() bool { return w.stage(engine.StageConnect) })
			watch.line(fmt.Sprintf(`{"seq":42,"hosts":[{"host":"a","dial":%q,%s},{"host":"b","dial":%q,"site":"z","health":"active"}]}`,
				f.Addr(), what, peer(t, say(okAnswer))))
			if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
				t.Errorf("answer %d", resp.StatusCode)
			}
		})
	}
}

package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"quillfront/internal/config"
	"quillfront/internal/engine"
	upstreams "quillfront/internal/upstream"
	"quillfront/policy"
)

// staticSource is a source that tells some staticSource and then nothing more.
type staticSource []engine.List

func (l staticSource) Watch(ctx context.Context, _ int64, tell func(engine.List)) error {
	for _, list := range l {
		tell(list)
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestOutcomes guards PROTOCOL's table of outcomes, on which rests what may be sent again.
func TestOutcomes(t *testing.T) {
	refused := func(t *testing.T) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		return ln.Addr().String()
	}
	serving := func(serve func(int, net.Conn)) func(*testing.T) string {
		return func(t *testing.T) string { return startServer(t, serve) }
	}
	// closing reads a request, and ends the connection after text.
	closing := func(text string) func(*testing.T) string {
		return serving(func(_ int, c net.Conn) {
			q, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				io.Copy(io.Discard, q.Body)
			}
			io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
			c.Close()
		})
	}
	short := "GET /read/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 300\n\n"
	tests := []struct {
		name     string
		upstream func(*testing.T) string
		request  string
		want     policy.Status
		code     int
	}{
		{"served", serving(respondText(okResponse)), plainGet, policy.OK, 200},
		{"served, after an interim answer", serving(respondText("HTTP/1.1 103 Early Hints\n\n" + okResponse)), plainGet, policy.OK, 200},
		{"served, empty", serving(respondText("HTTP/1.1 200 OK\nContent-Length: 0\n\n")), plainGet, policy.OK, 200},
		{"served, chunked", serving(respondText("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n")), plainGet, policy.OK, 200},
		{"error", serving(respondText("HTTP/1.1 500 Oh\nContent-Length: 0\n\n")), plainGet, policy.AppError, 502},
		{"another success is no answer", serving(respondText("HTTP/1.1 204 No\n\n")), plainGet, policy.AppError, 502},
		{"turned away", serving(respondText("HTTP/1.1 503 No\nX-Not-Processed: 1\nContent-Length: 0\n\n")), plainGet, policy.Overloaded, 502},
		{"over", serving(respondText("HTTP/1.1 504 No\nX-Not-Processed: 1\nContent-Length: 0\n\n")), plainGet, policy.Overloaded, 502},
		{"503 that may have run", serving(respondText("HTTP/1.1 503 No\nContent-Length: 0\n\n")), plainGet, policy.AppError, 502},
		{"500 cannot be turned away", serving(respondText("HTTP/1.1 500 No\nX-Not-Processed: 1\nContent-Length: 0\n\n")), plainGet, policy.AppError, 502},
		{"connection refused", refused, plainGet, policy.ConnectFailed, 502},
		{"break after writing", closing(""), plainGet, policy.Reset, 502},
		{"break in the head", closing("HTTP/1.1 200 OK\nContent-"), plainGet, policy.Reset, 502},
		{"break in the body", closing("HTTP/1.1 200 OK\nContent-Length: 9\n\nabc"), plainGet, policy.Reset, 502},
		{"broken HTTP", closing("HELLO\n\n"), plainGet, policy.Reset, 502},
		{"senseless length", closing("HTTP/1.1 200 OK\nContent-Length: -5\n\nabc"), plainGet, policy.Reset, 502},
		{"broken chunk", closing("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\nzz\nabc"), plainGet, policy.Reset, 502},
		{"endless head", serving(respondWith(func(_ *http.Request, c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for {
				if _, err := io.WriteString(c, "X-More: "+strings.Repeat("y", 1000)+"\r\n"); err != nil {
					return
				}
			}
		})), plainGet, policy.Reset, 502},
		{"endless interim answers", serving(respondWith(func(_ *http.Request, c net.Conn) {
			for {
				if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
					return
				}
			}
		})), plainGet, policy.Reset, 502},
		{"silence", serving(func(int, net.Conn) {}), short, policy.Timeout, 502},
		// These would wait for their whole 9 s.
		{"silence in the body", serving(respondText("HTTP/1.1 200 OK\nContent-Length: 9\n\nabc")), plainGet, policy.Reset, 502},
		{"silence in the head", serving(respondText("HTTP/1.1 200 OK\nContent-")), plainGet, policy.Reset, 502},
		{"both lengths", serving(respondText("HTTP/1.1 200 OK\nContent-Length: 2\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n")), plainGet, policy.Reset, 502},
		{"a type taken out on the way", serving(respondText("HTTP/1.1 200 OK\nConnection: Content-Type\nContent-Type: a/b\nContent-Length: 0\n\n")), plainGet, policy.Reset, 502},
		{"a proof taken out on the way", serving(respondText("HTTP/1.1 503 No\nConnection: X-Not-Processed\nX-Not-Processed: 1\nContent-Length: 0\n\n")), plainGet, policy.Reset, 502},
		{"not usable", serving(respondText("HTTP/1.1 404 No\nContent-Length: 0\n\n")), plainGet, policy.Rejected, 502},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newScriptedModule()
			sc := startSidecar(t, m, tt.upstream(t), "127.0.0.1:1")
			c := sc.connect(t)
			go c.write(tt.request)
			began := time.Now()
			resp, _ := c.read(t)
			if d := time.Since(began); d > 8*time.Second {
				t.Errorf("an answer after %v: the time was waited out", d)
			}
			o := receive(t, "outcome", m.outcomes)
			if o.Status != tt.want || resp.StatusCode != tt.code {
				t.Errorf("outcome %v, answer %d; want %v, %d", o.Status, resp.StatusCode, tt.want, tt.code)
			}
			if o.Server != "a" || o.Attempt != 0 || o.Delay <= 0 || o.Final != (tt.want == policy.OK) {
				t.Errorf("outcome %+v", o)
			}
			if n := len(m.outcomes); n > 0 {
				t.Errorf("%d more outcomes of one attempt", n)
			}
		})
	}
}

// TestDialThatNeverComesUp: a listener whose backlog is full answers nothing.
func TestDialThatNeverComesUp(t *testing.T) {
	m := newScriptedModule()
	sc := startSidecar(t, m, newFullBacklogServer(t).Addr().String(), "127.0.0.1:1", func(c *config.Config) {
		c.Settings.Config.DialTimeout = 50 * time.Millisecond
	})
	sc.roundTrip(t, plainGet)
	if o := receive(t, "outcome", m.outcomes); o.Status != policy.ConnectFailed {
		t.Errorf("outcome %v, want ConnectFailed", o.Status)
	}
}

// TestNothingIsSentAgain guards against a library that repeats a request when a kept connection breaks.
func TestNothingIsSentAgain(t *testing.T) {
	requests := make(chan string, 10)
	addr := startServer(t, func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		for i := 0; ; i++ {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			requests <- q.Header.Get("X-Request-Id")
			if n == 0 && i == 1 {
				c.Close()
				return
			}
			io.WriteString(c, strings.ReplaceAll(okResponse, "\n", "\r\n"))
		}
	})
	m := newScriptedModule()
	sc := startSidecar(t, m, addr, "127.0.0.1:1")
	sc.roundTrip(t, strings.Replace(plainGet, "ID: 1", "ID: first", 1))
	sc.waitReusableConn(t)
	sc.roundTrip(t, strings.Replace(plainGet, "ID: 1", "ID: 2\nIdempotency-Key: x", 1))
	receive(t, "outcome", m.outcomes)
	if o := receive(t, "outcome", m.outcomes); o.Status != policy.Reset {
		t.Errorf("outcome %v, want Reset", o.Status)
	}
	sc.roundTrip(t, strings.Replace(plainGet, "ID: 1", "ID: 3", 1)) // whatever is sent again has come by now
	var got []string
	for range 3 {
		got = append(got, receive(t, "request", requests))
	}
	if fmt.Sprint(got) != "[first 2 3]" || len(requests) > 0 {
		t.Errorf("requests %v, and %d more", got, len(requests))
	}
}

// TestIdleConnections guards against writing to a connection that the upstream closes as idle.
func TestIdleConnections(t *testing.T) {
	conns := make(chan net.Conn, 10)
	addr := startServer(t, func(n int, c net.Conn) {
		conns <- c
		respondText(okResponse)(n, c)
	})
	t.Run("reused", func(t *testing.T) {
		sc := startSidecar(t, newScriptedModule(), addr, "127.0.0.1:1")
		sc.roundTrip(t, plainGet)
		sc.waitReusableConn(t)
		sc.roundTrip(t, plainGet)
		receive(t, "connection", conns)
		if len(conns) != 0 {
			t.Error("a second connection, with an idle one at hand")
		}
		sc.runActions(func(act policy.Actions) { act.CloseIdle("a") })
		sc.roundTrip(t, plainGet)
		receive(t, "new connection after a hang-up", conns)
	})
	t.Run("closed by the upstream", func(t *testing.T) {
		m := newScriptedModule()
		sc := startSidecar(t, m, addr, "127.0.0.1:1")
		for range 2 {
			sc.roundTrip(t, plainGet)
			if o := receive(t, "outcome", m.outcomes); o.Status != policy.OK {
				t.Errorf("outcome %v, want OK", o.Status)
			}
			receive(t, "connection", conns).Close()
			sc.waitReusableConn(t)
			eventually(t, "the close shows", func() bool { return sc.transport.Stats() == upstreams.Stats{Idle: 1, Stale: 1} })
		}
	})
	t.Run("closed in time", func(t *testing.T) {
		sc := startSidecar(t, newScriptedModule(), addr, "127.0.0.1:1", func(c *config.Config) {
			c.Settings.Config.ConnIdleTimeout = 100 * time.Millisecond
		})
		sc.roundTrip(t, plainGet)
		c := receive(t, "connection", conns)
		c.SetReadDeadline(time.Now().Add(testTimeout))
		eventually(t, "no idle connection is left", func() bool { return sc.transport.Stats().Idle == 0 })
		eventually(t, "its descriptor is given back", func() bool { return sc.inUse() <= 2 })
	})
}

// TestAddressPassesOn: an idle connection to one upstream never carries a request to another that has its address now,
// nor to the same one started anew.
func TestAddressPassesOn(t *testing.T) {
	conns := make(chan net.Conn, 10)
	addr := startServer(t, func(n int, c net.Conn) {
		conns <- c
		respondText(okResponse)(n, c)
	})
	m := newScriptedModule()
	id := policy.ServerID("a")
	m.onRequest = func(now policy.Time, q policy.Request, act policy.Actions) { act.Send(q.ID, id, q.Expires-now) }
	sc := startSidecar(t, m, addr, "127.0.0.1:1")
	for i, e := range []engine.Server{{ID: "a", Addr: addr}, {ID: "b", Addr: addr}, {ID: "b", Addr: addr, StartedMs: 5}} {
		id = e.ID
		sc.engine.SetSource(staticSource{{Seq: int64(50 + i), Full: true, Servers: []engine.Server{e}}})
		receive(t, "list", m.lists)
		for range 2 {
			if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK {
				t.Fatalf("answer %d", resp.StatusCode)
			}
			receive(t, "outcome", m.outcomes)
			sc.waitReusableConn(t)
		}
		receive(t, "connection", conns)
		if len(conns) > 0 {
			t.Error("a second connection to the same upstream")
		}
	}
	eventually(t, "the connections of the upstreams before are closed", func() bool { return sc.transport.Stats().Idle == 1 })
}

// TestCancel guards against attempts that go on after the module, or the client, has given them up.
func TestCancel(t *testing.T) {
	gone := make(chan error, 10)
	addr := startServer(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		http.ReadRequest(r)
		_, err := r.ReadByte()
		gone <- err
	})
	t.Run("by the module", func(t *testing.T) {
		m := newScriptedModule()
		m.onRequest = func(now policy.Time, q policy.Request, act policy.Actions) {
			act.Send(q.ID, "a", time.Minute)
			act.Send(q.ID, "a", time.Minute)
			act.SetTimer(10*time.Millisecond, "x")
		}
		sc := startSidecar(t, m, addr, "127.0.0.1:1")
		c := sc.connect(t)
		c.write(plainGet)
		receive(t, "timer", m.timers)
		sc.runActions(func(act policy.Actions) {
			act.Cancel(1, 0)
			act.Cancel(1, 1)
			act.Cancel(1, 2) // never made
			act.Fail(1)
		})
		for range 2 {
			if o := receive(t, "outcome", m.outcomes); o.Status != policy.Canceled {
				t.Errorf("outcome %v, want Canceled", o.Status)
			}
		}
		if resp, _ := c.read(t); resp.StatusCode != http.StatusBadGateway {
			t.Errorf("answer %d", resp.StatusCode)
		}
	})
	t.Run("client gone", func(t *testing.T) {
		m := newScriptedModule()
		sc := startSidecar(t, m, addr, "127.0.0.1:1")
		c := sc.connect(t)
		c.write(plainGet)
		eventually(t, "the request is taken", func() bool {
			return sc.engine.Snapshot().Accepted == 1
		})
		c.Close()
		id := receive(t, "Withdrawn", m.disconnects)
		sc.runActions(func(act policy.Actions) { act.Cancel(id, 0) })
		if o := receive(t, "outcome", m.outcomes); o.Status != policy.Canceled || !o.Final {
			t.Errorf("outcome %+v, want Canceled and Closed", o)
		}
		eventually(t, "nothing is left of it", func() bool {
			return sc.engine.Snapshot().Retained == 0
		})
	})
}

// TestLosersWriteNothing: of two copies the first whole answer is the client's, and the other one's is dropped.
func TestLosersWriteNothing(t *testing.T) {
	arrived, second := make(chan struct{}), make(chan struct{})
	addr := startServer(t, func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		http.ReadRequest(r)
		if n == 0 {
			<-arrived // an attempt that is not sent yet would be called off by the first answer
		} else if n == 1 {
			close(arrived)
			<-second
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
		respondText(okResponse)(n, c)
	})
	m := newScriptedModule()
	m.onRequest = func(now policy.Time, q policy.Request, act policy.Actions) {
		act.Send(q.ID, "a", q.Expires-now)
		act.Send(q.ID, "a", q.Expires-now)
	}
	sc := startSidecar(t, m, addr, "127.0.0.1:1")
	c := sc.connect(t)
	c.write(plainGet)
	if _, body := c.read(t); body != "0" {
		t.Errorf("answer %q, want that of the first", body)
	}
	close(second)
	for range 2 {
		if o := receive(t, "outcome", m.outcomes); o.Status != policy.OK || !o.Final {
			t.Errorf("outcome %+v, want OK and Closed", o)
		}
	}
	m.onRequest = nil
	c.write(plainGet) // comes next on the connection: nothing else was written to it
	if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
		t.Errorf("the next answer is %d", resp.StatusCode)
	}
}

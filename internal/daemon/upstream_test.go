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

// staticSource is a source that delivers its lists and then nothing more.
type staticSource []engine.List

func (l staticSource) Watch(ctx context.Context, _ int64, deliver func(engine.List)) error {
	for _, list := range l {
		deliver(list)
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestOutcomes checks the outcome of each kind of response and failure, which decides whether a
// request may be sent again.
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
	// closing reads a request, writes text and closes the connection.
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
		{"served, after an interim response", serving(respondText("HTTP/1.1 103 Early Hints\n\n" + okResponse)), plainGet, policy.OK, 200},
		{"served, empty", serving(respondText("HTTP/1.1 200 OK\nContent-Length: 0\n\n")), plainGet, policy.OK, 200},
		{"served, chunked", serving(respondText("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n")), plainGet, policy.OK, 200},
		{"error", serving(respondText("HTTP/1.1 500 Oh\nContent-Length: 0\n\n")), plainGet, policy.AppError, 502},
		{"other success status", serving(respondText("HTTP/1.1 204 No\n\n")), plainGet, policy.AppError, 502},
		{"rejected", serving(respondText("HTTP/1.1 503 No\nX-Not-Processed: 1\nContent-Length: 0\n\n")), plainGet, policy.Overloaded, 502},
		{"rejected after its deadline", serving(respondText("HTTP/1.1 504 No\nX-Not-Processed: 1\nContent-Length: 0\n\n")), plainGet, policy.Overloaded, 502},
		{"503 without proof that it has not run", serving(respondText("HTTP/1.1 503 No\nContent-Length: 0\n\n")), plainGet, policy.AppError, 502},
		{"500 with proof that it has not run", serving(respondText("HTTP/1.1 500 No\nX-Not-Processed: 1\nContent-Length: 0\n\n")), plainGet, policy.AppError, 502},
		{"connection refused", refused, plainGet, policy.ConnectFailed, 502},
		{"closed after the request", closing(""), plainGet, policy.Reset, 502},
		{"closed in the head", closing("HTTP/1.1 200 OK\nContent-"), plainGet, policy.Reset, 502},
		{"closed in the body", closing("HTTP/1.1 200 OK\nContent-Length: 9\n\nabc"), plainGet, policy.Reset, 502},
		{"not HTTP", closing("HELLO\n\n"), plainGet, policy.Reset, 502},
		{"negative length", closing("HTTP/1.1 200 OK\nContent-Length: -5\n\nabc"), plainGet, policy.Reset, 502},
		{"invalid chunk", closing("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\nzz\nabc"), plainGet, policy.Reset, 502},
		{"endless head", serving(respondWith(func(_ *http.Request, c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for {
				if _, err := io.WriteString(c, "X-More: "+strings.Repeat("y", 1000)+"\r\n"); err != nil {
					return
				}
			}
		})), plainGet, policy.Reset, 502},
		{"endless interim responses", serving(respondWith(func(_ *http.Request, c net.Conn) {
			for {
				if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
					return
				}
			}
		})), plainGet, policy.Reset, 502},
		{"silence", serving(func(int, net.Conn) {}), short, policy.Timeout, 502},
		// Without a stall timeout, these would wait for the entire 9 s.
		{"silence in the body", serving(respondText("HTTP/1.1 200 OK\nContent-Length: 9\n\nabc")), plainGet, policy.Reset, 502},
		{"silence in the head", serving(respondText("HTTP/1.1 200 OK\nContent-")), plainGet, policy.Reset, 502},
		{"Content-Length and Transfer-Encoding", serving(respondText("HTTP/1.1 200 OK\nContent-Length: 2\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n")), plainGet, policy.Reset, 502},
		{"Content-Type as hop-by-hop header", serving(respondText("HTTP/1.1 200 OK\nConnection: Content-Type\nContent-Type: a/b\nContent-Length: 0\n\n")), plainGet, policy.Reset, 502},
		{"X-Not-Processed as hop-by-hop header", serving(respondText("HTTP/1.1 503 No\nConnection: X-Not-Processed\nX-Not-Processed: 1\nContent-Length: 0\n\n")), plainGet, policy.Reset, 502},
		{"not found", serving(respondText("HTTP/1.1 404 No\nContent-Length: 0\n\n")), plainGet, policy.Rejected, 502},
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
				t.Errorf("response after %v: the sidecar waited for the entire timeout", d)
			}
			o := receive(t, "outcome", m.outcomes)
			if o.Status != tt.want || resp.StatusCode != tt.code {
				t.Errorf("outcome %v, status %d; want %v, %d", o.Status, resp.StatusCode, tt.want, tt.code)
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

// TestDialTimeout checks the outcome if a listener does not respond because its backlog is full.
func TestDialTimeout(t *testing.T) {
	m := newScriptedModule()
	sc := startSidecar(t, m, newFullBacklogServer(t).Addr().String(), "127.0.0.1:1", func(c *config.Config) {
		c.Settings.Config.DialTimeout = 50 * time.Millisecond
	})
	sc.roundTrip(t, plainGet)
	if o := receive(t, "outcome", m.outcomes); o.Status != policy.ConnectFailed {
		t.Errorf("outcome %v, want ConnectFailed", o.Status)
	}
}

// TestNoImplicitResend guards against a library that repeats a request if a kept connection breaks.
func TestNoImplicitResend(t *testing.T) {
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
	// A repeated request would arrive before this one.
	sc.roundTrip(t, strings.Replace(plainGet, "ID: 1", "ID: 3", 1))
	var got []string
	for range 3 {
		got = append(got, receive(t, "request", requests))
	}
	if fmt.Sprint(got) != "[first 2 3]" || len(requests) > 0 {
		t.Errorf("requests %v, and %d more", got, len(requests))
	}
}

// TestIdleConnections guards against writing to a connection that the server closes because it is
// idle.
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
			t.Error("a second connection, although an idle one is available")
		}
		sc.runActions(func(act policy.Actions) { act.CloseIdle("a") })
		sc.roundTrip(t, plainGet)
		receive(t, "a new connection after CloseIdle", conns)
	})
	t.Run("closed by the server", func(t *testing.T) {
		m := newScriptedModule()
		sc := startSidecar(t, m, addr, "127.0.0.1:1")
		for range 2 {
			sc.roundTrip(t, plainGet)
			if o := receive(t, "outcome", m.outcomes); o.Status != policy.OK {
				t.Errorf("outcome %v, want OK", o.Status)
			}
			receive(t, "connection", conns).Close()
			sc.waitReusableConn(t)
			eventually(t, "the close is detected", func() bool { return sc.transport.Stats() == upstreams.Stats{Idle: 1, Stale: 1} })
		}
	})
	t.Run("closed after the idle timeout", func(t *testing.T) {
		sc := startSidecar(t, newScriptedModule(), addr, "127.0.0.1:1", func(c *config.Config) {
			c.Settings.Config.ConnIdleTimeout = 100 * time.Millisecond
		})
		sc.roundTrip(t, plainGet)
		c := receive(t, "connection", conns)
		c.SetReadDeadline(time.Now().Add(testTimeout))
		eventually(t, "no idle connection is left", func() bool { return sc.transport.Stats().Idle == 0 })
		eventually(t, "its descriptor is released", func() bool { return sc.inUse() <= 2 })
	})
}

// TestAddressReuse checks that an idle connection to one server never carries a request to another
// server that now has its address, nor to the same server after a restart.
func TestAddressReuse(t *testing.T) {
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
				t.Fatalf("status %d", resp.StatusCode)
			}
			receive(t, "outcome", m.outcomes)
			sc.waitReusableConn(t)
		}
		receive(t, "connection", conns)
		if len(conns) > 0 {
			t.Error("a second connection to the same server")
		}
	}
	eventually(t, "the connections to the previous servers are closed", func() bool { return sc.transport.Stats().Idle == 1 })
}

// TestCancel guards against attempts that continue after the module, or the client, has given them
// up.
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
			act.Cancel(1, 2) // never started
			act.Fail(1)
		})
		for range 2 {
			if o := receive(t, "outcome", m.outcomes); o.Status != policy.Canceled {
				t.Errorf("outcome %v, want Canceled", o.Status)
			}
		}
		if resp, _ := c.read(t); resp.StatusCode != http.StatusBadGateway {
			t.Errorf("status %d", resp.StatusCode)
		}
	})
	t.Run("client gone", func(t *testing.T) {
		m := newScriptedModule()
		sc := startSidecar(t, m, addr, "127.0.0.1:1")
		c := sc.connect(t)
		c.write(plainGet)
		eventually(t, "the request is accepted", func() bool {
			return sc.engine.Snapshot().Accepted == 1
		})
		c.Close()
		id := receive(t, "ClientDisconnected", m.disconnects)
		sc.runActions(func(act policy.Actions) { act.Cancel(id, 0) })
		if o := receive(t, "outcome", m.outcomes); o.Status != policy.Canceled || !o.Final {
			t.Errorf("outcome %+v, want Canceled and Final", o)
		}
		eventually(t, "no state is retained", func() bool {
			return sc.engine.Snapshot().Retained == 0
		})
	})
}

// TestFirstResponseWins checks that of two copies of a request the first complete response goes to
// the client, and that the other one is dropped.
func TestFirstResponseWins(t *testing.T) {
	arrived, second := make(chan struct{}), make(chan struct{})
	addr := startServer(t, func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		http.ReadRequest(r)
		if n == 0 {
			<-arrived // the first response would cancel an attempt that is not sent yet
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
		t.Errorf("response %q, want that of the first attempt", body)
	}
	close(second)
	for range 2 {
		if o := receive(t, "outcome", m.outcomes); o.Status != policy.OK || !o.Final {
			t.Errorf("outcome %+v, want OK and Final", o)
		}
	}
	m.onRequest = nil
	c.write(plainGet) // the next response on the connection: nothing else was written to it
	if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
		t.Errorf("the next response: status %d", resp.StatusCode)
	}
}

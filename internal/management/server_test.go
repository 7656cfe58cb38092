package management

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quillfront/exclusion"
	"quillfront/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeTarget is a Target that records the last call and returns err.
type fakeTarget struct {
	lastCall atomic.Value
	err      error
}

func (o *fakeTarget) record(call string) error { o.lastCall.Store(call); return o.err }

func (o *fakeTarget) Ready() error                     { return o.record("ready") }
func (o *fakeTarget) Exclude(id policy.ServerID) error { return o.record("exclude " + string(id)) }
func (o *fakeTarget) Include(id policy.ServerID) error { return o.record("include " + string(id)) }
func (o *fakeTarget) Evacuate() error                  { return o.record("evacuate") }
func (o *fakeTarget) Rejoin() error                    { return o.record("rejoin") }
func (o *fakeTarget) Metrics() http.Handler            { return nil }
func (o *fakeTarget) Members() http.Handler            { return nil }
func (o *fakeTarget) PendingRequests(d time.Duration) []string {
	return slices.Repeat([]string{d.String()}, 201)
}

func startServer(t *testing.T, o Target) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- New(o, slog.New(slog.DiscardHandler)).Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

func call(t *testing.T, addr, method, path, body string) int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	io.Copy(io.Discard, resp.Body)
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("%s %s: the connection was not closed: %v", method, path, err)
	}
	return resp.StatusCode
}

// TestCalls checks, for each call, the method of the Target that is called and the status.
func TestCalls(t *testing.T) {
	for _, tt := range []struct {
		method, path, body string
		err                error
		calls              string
		want               int
	}{
		{"GET", "/api/ready", "", nil, "ready", 200},
		{"GET", "/api/ready", "", ErrNotReady, "ready", 503},
		{"POST", "/api/exclude/s-1", "", nil, "exclude s-1", 200},
		{"POST", "/api/exclude/s%2F1", "{}", nil, "exclude s/1", 200},
		{"POST", "/api/exclude/s-1", "", fmt.Errorf("x: %w", exclusion.ErrUnknown), "exclude s-1", 404},
		{"POST", "/api/exclude/s-1", "", exclusion.ErrTooMany, "exclude s-1", 507},
		{"POST", "/api/exclude/s-1", "", io.ErrShortWrite, "exclude s-1", 500},
		{"POST", "/api/include/s-1", strings.Repeat("x", 1000), nil, "include s-1", 200},
		{"POST", "/api/evacuate", "", nil, "evacuate", 200},
		{"POST", "/api/rejoin", "", nil, "rejoin", 200},
		{"GET", "/api/evacuate", "", nil, "", 405},
		{"GET", "/api/exclude/s-1", "", nil, "", 405},
		{"POST", "/api/exclude/", "", nil, "", 404},
		{"POST", "/api/exclude", "", nil, "", 404},
		{"POST", "/read/k", "", nil, "", 404},
	} {
		o := &fakeTarget{err: tt.err}
		o.lastCall.Store("")
		if got := call(t, startServer(t, o), tt.method, tt.path, tt.body); got != tt.want || o.lastCall.Load() != tt.calls {
			t.Errorf("%s %s: status %d after %q, want %d after %q", tt.method, tt.path, got, o.lastCall.Load(), tt.want, tt.calls)
		}
	}
}

// TestSilentCallers checks that callers that connect and never complete a call don't block other
// callers, and hold at most MaxConnections connections.
func TestSilentCallers(t *testing.T) {
	o := &fakeTarget{}
	addr := startServer(t, o)
	var silent []net.Conn
	for i := range 3 * MaxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "POST /api/evac")
		}
		silent = append(silent, c)
	}
	if got := call(t, addr, "GET", "/api/ready", ""); got != http.StatusOK {
		t.Errorf("status %d, want 200", got)
	}
	closed := 0
	for _, c := range silent {
		c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			closed++
		}
	}
	if closed < 2*MaxConnections {
		t.Errorf("%d of %d silent connections were closed", closed, len(silent))
	}
}

// TestPendingRequests checks that pending requests are listed up to the limit, that the minimum
// wait is passed on, and that one that is no duration is rejected.
func TestPendingRequests(t *testing.T) {
	addr := startServer(t, &fakeTarget{})
	for _, tt := range []struct {
		query, want string
		status      int
	}{
		{"", "500ms\n", 200}, {"?over=2s", "2s\n", 200}, {"?over=soon", `over: "soon" is no time`, 400}, {"?over=-1s", "over: ", 400},
	} {
		resp, err := http.Get("http://" + addr + "/api/waiting" + tt.query)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != tt.status || !strings.HasPrefix(string(text), tt.want) {
			t.Errorf("%s: status %d, body %.40q", tt.query, resp.StatusCode, text)
		}
		if tt.status == 200 && (strings.Count(string(text), tt.want) != maxPendingListed || !strings.HasSuffix(string(text), "and 1 more\n")) {
			t.Errorf("%s: %d lines", tt.query, strings.Count(string(text), "\n"))
		}
	}
}

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

// operated records the calls that it gets.
type operated struct {
	calls atomic.Value
	err   error
}

func (o *operated) note(call string) error { o.calls.Store(call); return o.err }

func (o *operated) Ready() error                     { return o.note("ready") }
func (o *operated) Exclude(id policy.ServerID) error { return o.note("exclude " + string(id)) }
func (o *operated) Include(id policy.ServerID) error { return o.note("include " + string(id)) }
func (o *operated) Evacuate() error                  { return o.note("evacuate") }
func (o *operated) Rejoin() error                    { return o.note("rejoin") }
func (o *operated) Metrics() http.Handler            { return nil }
func (o *operated) Members() http.Handler            { return nil }
func (o *operated) PendingRequests(d time.Duration) []string {
	return slices.Repeat([]string{d.String()}, 201)
}

func start(t *testing.T, o Target) string {
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
		t.Errorf("%s %s: the connection goes on: %v", method, path, err)
	}
	return resp.StatusCode
}

// TestCalls is a table of calls, what is done, and the answer.
func TestCalls(t *testing.T) {
	for _, tt := range []struct {
		method, path, body string
		err                error
		does               string
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
		o := &operated{err: tt.err}
		o.calls.Store("")
		if got := call(t, start(t, o), tt.method, tt.path, tt.body); got != tt.want || o.calls.Load() != tt.does {
			t.Errorf("%s %s: %d after %q, want %d after %q", tt.method, tt.path, got, o.calls.Load(), tt.want, tt.does)
		}
	}
}

// TestSilentCallers: callers that connect and finish no call keep nobody out, and hold no more than MaxConnections connections.
func TestSilentCallers(t *testing.T) {
	o := &operated{}
	addr := start(t, o)
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
		t.Errorf("answer %d", got)
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

// TestWaiting: who asks what waits is told of as many as there is room for, over the time that is given; what is no time is an error.
func TestWaiting(t *testing.T) {
	addr := start(t, &operated{})
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
			t.Errorf("%s: %d %.40q", tt.query, resp.StatusCode, text)
		}
		if tt.status == 200 && (strings.Count(string(text), tt.want) != mostWaiting || !strings.HasSuffix(string(text), "and 1 more\n")) {
			t.Errorf("%s: %d lines", tt.query, strings.Count(string(text), "\n"))
		}
	}
}

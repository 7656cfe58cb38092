// Package conformance is the test suite that every form of the balancer must pass: the daemon over
// sockets, the library's handler and its RoundTripper. It accesses a form only through the
// interface Form and runs the same tests against all of them.
package conformance

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quillfront/internal/standin"
	"quillfront/policy"
)

// Form is a running form of the balancer. Its methods are safe for concurrent use.
type Form interface {
	// Do sends one request and returns its result. The request is canceled when ctx ends.
	Do(ctx context.Context, q Request) Result
}

// Start starts a form with the platform's configuration and stops it when the test ends.
type Start func(t testing.TB, config []byte) Form

// Request is a request to a form.
type Request struct {
	Method, Path string
	Header       map[string]string
	Body         io.Reader // nil: none. The length is announced if it is a *strings.Reader
}

// Outcome classifies the result of a request.
type Outcome string

// The outcomes.
const (
	Served     Outcome = "served"
	Refused    Outcome = "refused"
	Failed     Outcome = "failed"
	Rejected   Outcome = "rejected" // invalid request: nothing was sent to a server
	Canceled   Outcome = "gone"     // the client's own time was up, or it disconnected
	NoResponse Outcome = "broken"   // no answer at all, which is always an error
)

// Result is the result of a request. A comment names the outcome for which a field is set.
type Result struct {
	Outcome    Outcome
	Status     int // Rejected: the HTTP status code
	Body       string
	Header     http.Header   // Served
	RetryAfter time.Duration // Refused
	Err        error         // NoResponse
}

// String returns the part of the result that must be equal for all forms.
func (a Result) String() string {
	switch a.Outcome {
	case Served:
		return string(a.Outcome) + " " + a.Body
	case Rejected:
		return string(a.Outcome) + " " + strconv.Itoa(a.Status)
	case NoResponse:
		return fmt.Sprintf("broken: %v", a.Err)
	}
	return string(a.Outcome)
}

// HTTPForm is a form that serves HTTP at a URL: the daemon, or a server with the library's handler.
type HTTPForm struct {
	URL    string
	Client *http.Client
	// SingleUseIDs says that clients never use an ID twice: a request that is not safe to repeat is
	// rejected if an earlier one with its ID may have run.
	SingleUseIDs bool
}

// Do implements Form.
func (f HTTPForm) Do(ctx context.Context, q Request) Result {
	req, err := q.HTTPRequest(ctx, f.URL)
	if err != nil {
		return Result{Outcome: NoResponse, Err: err}
	}
	resp, err := f.Client.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return Result{Outcome: Canceled}
		}
		return Result{Outcome: NoResponse, Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		if ctx.Err() != nil {
			return Result{Outcome: Canceled}
		}
		return Result{Outcome: NoResponse, Err: err}
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return Result{Outcome: Served, Body: string(body), Header: resp.Header}
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return Result{Outcome: Refused, RetryAfter: time.Duration(after * float64(time.Second))}
	case resp.StatusCode/100 == 4:
		return Result{Outcome: Rejected, Status: resp.StatusCode}
	}
	return Result{Outcome: Failed}
}

// HTTPRequest converts q to an http.Request to the server at base.
func (q Request) HTTPRequest(ctx context.Context, base string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, q.Method, base+q.Path, q.Body)
	if err != nil {
		return nil, err
	}
	for name, value := range q.Header {
		req.Header.Set(name, value)
	}
	return req, nil
}

// Classes returns the request classes of the suite.
func Classes() []policy.Class {
	long := func(c policy.Class) policy.Class {
		c.Aim, c.Deadline, c.Worth = 9*time.Second, 10*time.Second, 1
		return c
	}
	return []policy.Class{
		long(policy.Class{Name: "read", Effect: policy.Safe}),
		long(policy.Class{Name: "order", Effect: policy.Keyed, KeyTTL: 3 * time.Second}),
		long(policy.Class{Name: "cell", Effect: policy.Keyed, Group: policy.GroupCell, KeyTTL: 12 * time.Second}),
		long(policy.Class{Name: "pay", Effect: policy.Unsafe}),
		{Name: "quick", Effect: policy.Safe, Aim: 100 * time.Millisecond, Deadline: 400 * time.Millisecond, Worth: 1},
	}
}

// testTimeout bounds how long a failing test waits; no assertion depends on its value.
const testTimeout = 20 * time.Second

// Run runs the suite against the form that start makes.
func Run(t *testing.T, start Start) {
	t.Run("Rejections", func(t *testing.T) { rejections(t, start) })
	t.Run("Outcomes", func(t *testing.T) { outcomes(t, start) })
	t.Run("Refusal", func(t *testing.T) { refusal(t, start) })
	t.Run("DuplicateID", func(t *testing.T) { duplicateID(t, start) })
	t.Run("ClientLeaves", func(t *testing.T) { clientLeaves(t, start) })
	t.Run("ClientTimeout", func(t *testing.T) { clientTimeout(t, start) })
	t.Run("Bodies", func(t *testing.T) { bodies(t, start) })
	t.Run("Drain", func(t *testing.T) { drain(t, start) })
	t.Run("EmptyList", func(t *testing.T) { emptyList(t, start, Failed) })
	t.Run("ConcurrentClients", func(t *testing.T) { concurrentClients(t, start) })
}

// RunRoutes runs the part of the suite that applies to ordinary HTTP against a form that serves by
// routes. Request headers of the platform and repeats within a cell are not part of it.
func RunRoutes(t *testing.T, start Start) {
	t.Run("Outcomes", func(t *testing.T) { outcomesOf(t, start, func(class string) bool { return class != "cell" }) })
	t.Run("Refusal", func(t *testing.T) { refusal(t, start) })
	t.Run("ClientLeaves", func(t *testing.T) { clientLeaves(t, start) })
	t.Run("Drain", func(t *testing.T) { drain(t, start) })
	t.Run("EmptyList", func(t *testing.T) { emptyList(t, start, Refused) })
	t.Run("ConcurrentClients", func(t *testing.T) { concurrentClients(t, start) })
}

// testbed is a fleet of stand-in servers with a form in front of it.
type testbed struct {
	Form
	fleet   *standin.Fleet
	servers []*standin.Server
}

// newTestbed starts a fleet and a form whose list is pushed, so that only requests change the state
// of its balancer.
func newTestbed(t testing.TB, start Start, change func(*standin.PlatformConfig), servers ...standin.ServerConfig) *testbed {
	t.Helper()
	f, err := standin.NewFleet(Classes(), 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	w := &testbed{fleet: f}
	for i, cfg := range servers {
		cfg.ID = fmt.Sprintf("box-%d", i)
		b, err := f.Start(cfg)
		if err != nil {
			t.Fatal(err)
		}
		w.servers = append(w.servers, b)
	}
	known := f.Discovery.List()
	p := standin.PlatformConfig{Seed: 11, CachedList: &known, Classes: Classes(), ListPushed: true, NoProbes: true}
	if change != nil {
		change(&p)
	}
	w.Form = start(t, p.JSON())
	return w
}

var lastID atomic.Int64

// newRequest returns a request of a class with a new ID and key. Each pair in header sets a header,
// or removes it if the value is empty.
func newRequest(class string, header ...string) Request {
	n := lastID.Add(1)
	q := Request{Method: http.MethodGet, Path: fmt.Sprintf("/%s/k", class), Header: map[string]string{
		"X-Request-ID": fmt.Sprintf("c%d", n), "X-Timeout-Ms": "9000",
	}}
	if class != "read" && class != "quick" {
		q.Method, q.Body = http.MethodPost, strings.NewReader("body")
	}
	if class == "order" || class == "cell" {
		q.Header["Idempotency-Key"] = fmt.Sprintf("key-%d", n)
	}
	for i := 0; i+1 < len(header); i += 2 {
		if header[i+1] == "" {
			delete(q.Header, header[i])
		} else {
			q.Header[header[i]] = header[i+1]
		}
	}
	return q
}

func totalRequests(servers []*standin.Server) (n int64) {
	for _, b := range servers {
		n += b.Counts().Requests
	}
	return n
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not reached: %s", what)
		}
	}
}

// rejections checks that an invalid request is rejected and reaches no server.
func rejections(t *testing.T, start Start) {
	w := newTestbed(t, start, nil, standin.ServerConfig{})
	wrongMethod, bodied := newRequest("pay"), newRequest("read")
	wrongMethod.Method, wrongMethod.Body = http.MethodGet, nil
	bodied.Method, bodied.Body = http.MethodPost, strings.NewReader("x")
	for _, tt := range []struct {
		name string
		ask  Request
		want string
	}{
		{"unknown class", newRequest("novel"), "rejected 404"},
		{"a timeout that is no number", newRequest("read", "X-Timeout-Ms", "soon"), "rejected 400"},
		{"a negative timeout", newRequest("read", "X-Timeout-Ms", "-4"), "rejected 400"},
		{"no key", newRequest("order", "Idempotency-Key", ""), "rejected 400"},
		{"GET for an unsafe class", wrongMethod, "rejected 405"},
		{"POST with a body for a safe class", bodied, "rejected 405"},
		{"an ID over the limit", newRequest("read", "X-Request-ID", strings.Repeat("x", 300)), "rejected 400"},
	} {
		if got := w.Do(t.Context(), tt.ask); got.String() != tt.want {
			t.Errorf("%s: %v, want %s", tt.name, got, tt.want)
		}
	}
	if n := totalRequests(w.servers); n > 0 {
		t.Errorf("%d requests reached a server", n)
	}
}

// outcomes checks, for a fault that all three servers have, the outcome of a request and how often
// it was sent and executed.
func outcomes(t *testing.T, start Start) {
	outcomesOf(t, start, func(string) bool { return true })
}

func outcomesOf(t *testing.T, start Start, has func(class string) bool) {
	for _, tt := range []struct {
		class    string
		fault    standin.Fault
		want     Outcome
		sent     int64
		executed int
	}{
		{"read", standin.NoFault, Served, 1, 1},
		{"order", standin.NoFault, Served, 1, 1},
		{"pay", standin.NoFault, Served, 1, 1},
		{"read", standin.ResetConnection, Refused, 3, 3}, // retried up to the limit
		{"order", standin.ResetConnection, Refused, 3, 1},
		{"cell", standin.ResetConnection, Failed, 3, 1}, // a refusal would promise that it did not run, which holds in one cell only
		{"pay", standin.ResetConnection, Failed, 1, 1},  // it may have run, so it is never retried
		{"pay", standin.MalformedReply, Failed, 1, 1},
		{"pay", standin.ServerError, Failed, 1, 0},
		{"pay", standin.Reject, Refused, 3, 0}, // proven not to have run
	} {
		if !has(tt.class) {
			continue
		}
		t.Run(fmt.Sprintf("%s fault %d", tt.class, tt.fault), func(t *testing.T) {
			faulty := standin.ServerConfig{Script: func(int, *http.Request) standin.Fault { return tt.fault }}
			w := newTestbed(t, start, nil, faulty, faulty, faulty)
			q := newRequest(tt.class)
			if got := w.Do(t.Context(), q); got.Outcome != tt.want {
				t.Errorf("%v, want %s", got, tt.want)
			}
			key := q.Header["Idempotency-Key"]
			if key == "" {
				key = q.Header["X-Request-ID"]
			}
			if n := totalRequests(w.servers); n != tt.sent {
				t.Errorf("sent %d times, want %d", n, tt.sent)
			}
			if n := w.fleet.Executions(tt.class, key); n != tt.executed {
				t.Errorf("executed %d times, want %d", n, tt.executed)
			}
		})
	}
}

// refusal checks that a request that every server rejects is refused early, with a Retry-After.
func refusal(t *testing.T, start Start) {
	w := newTestbed(t, start, nil, standin.ServerConfig{Script: func(int, *http.Request) standin.Fault { return standin.Reject }})
	began := time.Now()
	a := w.Do(t.Context(), newRequest("read"))
	if a.Outcome != Refused || a.RetryAfter <= 0 || a.RetryAfter > time.Second {
		t.Errorf("%v with Retry-After %v", a, a.RetryAfter)
	}
	if d := time.Since(began); d > 5*time.Second { // its timeout is 9 s
		t.Errorf("refused after %v", d)
	}
}

// duplicateID checks that a request is rejected while another with the same ID is open.
func duplicateID(t *testing.T, start Start) {
	w := newTestbed(t, start, nil, standin.ServerConfig{ServiceTime: 500 * time.Millisecond})
	first := make(chan Result, 1)
	q := newRequest("read")
	go func() { first <- w.Do(context.Background(), q) }()
	eventually(t, "the first request has arrived", func() bool { return totalRequests(w.servers) == 1 })
	if got := w.Do(t.Context(), q); got.String() != "rejected 409" {
		t.Errorf("second request with the same ID: %v", got)
	}
	if got := <-first; got.Outcome != Served {
		t.Errorf("first request: %v", got)
	}
	if got := w.Do(t.Context(), q); got.Outcome != Served {
		t.Errorf("the ID used again after the first request: %v", got)
	}
}

// clientLeaves checks that a client's disconnect cancels the attempt in flight and that nothing
// more is sent.
func clientLeaves(t *testing.T, start Start) {
	for _, class := range []string{"read", "order", "pay"} {
		w := newTestbed(t, start, nil, standin.ServerConfig{Script: func(int, *http.Request) standin.Fault { return standin.NoReply }}, standin.ServerConfig{
			Script: func(int, *http.Request) standin.Fault { return standin.NoReply },
		})
		ctx, leave := context.WithCancel(t.Context())
		over := make(chan Result, 1)
		q := newRequest(class)
		go func() { over <- w.Do(ctx, q) }()
		eventually(t, "the attempt has arrived", func() bool { return totalRequests(w.servers) == 1 })
		leave()
		if got := <-over; got.Outcome != Canceled {
			t.Errorf("%s: %v", class, got)
		}
		sendAgain := func() string {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			again := q
			if q.Body != nil {
				again.Body = strings.NewReader("body")
			}
			return w.Do(ctx, again).String()
		}
		if form, ok := w.Form.(HTTPForm); ok && form.SingleUseIDs && class != "read" {
			// The first request may have run: its ID stays used, before and after the form has noticed
			// the disconnect.
			for range 10 {
				if got := sendAgain(); got != "rejected 409" {
					t.Errorf("%s: sent again under its ID: %s", class, got)
				}
				time.Sleep(50 * time.Millisecond)
			}
			if n := len(w.fleet.ServersReached(q.Header["X-Request-ID"])); n > 1 {
				t.Errorf("%s: sent to %d servers under one ID", class, n)
			}
			continue
		}
		// The ID is usable again once the form has noticed the disconnect.
		eventually(t, "its ID is usable again", func() bool { return sendAgain() != "rejected 409" })
		if n := len(w.fleet.ServersReached(q.Header["X-Request-ID"])); n > 2 { // the first one, and the accepted one above
			t.Errorf("%s: sent to %d servers for a client that had disconnected", class, n)
		}
	}
}

// clientTimeout checks that X-Timeout-Ms and the client's own deadline shorten the deadline of the
// class: the request ends once, in time, and an unsafe request is sent once.
func clientTimeout(t *testing.T, start Start) {
	w := newTestbed(t, start, nil, standin.ServerConfig{Script: func(int, *http.Request) standin.Fault { return standin.NoReply }})
	began := time.Now()
	if got := w.Do(t.Context(), newRequest("pay", "X-Timeout-Ms", "200")); got.Outcome != Failed {
		t.Errorf("X-Timeout-Ms of 200: %v", got)
	}
	if d := time.Since(began); d < 150*time.Millisecond || d > 8*time.Second {
		t.Errorf("it ended after %v", d)
	}
	if n := totalRequests(w.servers); n != 1 {
		t.Errorf("sent %d times", n)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if got := w.Do(ctx, newRequest("pay")); got.Outcome != Canceled {
		t.Errorf("client deadline of 200 ms: %v", got)
	}
	if n := totalRequests(w.servers); n != 2 {
		t.Errorf("sent %d times", n-1)
	}
}

// unknownLength hides the length of a reader from net/http.
type unknownLength struct{ io.Reader }

// errBodyRead is the read error of failingReader.
var errBodyRead = errors.New("body read failed")

// bodies checks that a body of unknown length reaches the server complete, and that a request whose
// body is too long or fails to read is not sent.
func bodies(t *testing.T, start Start) {
	w := newTestbed(t, start, nil, standin.ServerConfig{})
	post := func(body io.Reader) Result {
		q := newRequest("pay")
		q.Body = body
		return w.Do(t.Context(), q)
	}
	for _, n := range []int{0, 1, 100, 64 << 10, 64<<10 + 1, 3 << 20} {
		text := strings.Repeat("x", n)
		want := fmt.Sprintf("served POST /pay/k %d", n)
		if got := post(strings.NewReader(text)); got.String() != want {
			t.Errorf("%v, want %s", got, want)
		}
		if got := post(unknownLength{strings.NewReader(text)}); got.String() != want {
			t.Errorf("of unknown length: %v, want %s", got, want)
		}
	}
	before := totalRequests(w.servers)
	long := bytes.Repeat([]byte("x"), 32<<20+1)
	// Over sockets the close may arrive before the answer; the request must not be served.
	if got := post(bytes.NewReader(long)); got.Outcome != Rejected && got.Outcome != NoResponse {
		t.Errorf("over the limit: %v", got)
	}
	if got := post(unknownLength{bytes.NewReader(long)}); got.Outcome != Rejected && got.Outcome != NoResponse {
		t.Errorf("over the limit, of unknown length: %v", got)
	}
	if got := post(io.MultiReader(strings.NewReader("half"), failingReader{})); got.Outcome == Served || got.Outcome == Refused {
		t.Errorf("a body that fails to read: %v", got)
	}
	if n := totalRequests(w.servers) - before; n > 0 {
		t.Errorf("%d of them reached a server", n)
	}
}

// failingReader fails on the first read.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errBodyRead }

// drain checks that a draining server gets no new requests while the others continue to serve.
func drain(t *testing.T, start Start) {
	w := newTestbed(t, start, nil, standin.ServerConfig{}, standin.ServerConfig{})
	live := newTestbed(t, start, func(p *standin.PlatformConfig) {
		known := w.fleet.Discovery.List()
		p.CachedList, p.Discovery, p.ListPushed, p.RefreshInterval = &known, w.fleet.Discovery.Addr(), false, 100*time.Millisecond
	}, standin.ServerConfig{})
	eventually(t, "the list is watched", func() bool { return w.fleet.Discovery.RequestCount() > 0 })
	w.fleet.ListDraining(w.servers[0])
	eventually(t, "the draining server gets no requests", func() bool {
		before := w.servers[0].Counts().Requests
		for range 20 {
			if got := live.Do(t.Context(), newRequest("read")); got.Outcome != Served {
				t.Errorf("%v", got)
			}
		}
		return w.servers[0].Counts().Requests == before
	})
	before := w.servers[0].Counts().Requests
	for range 50 {
		live.Do(t.Context(), newRequest("read"))
	}
	if n := w.servers[0].Counts(); n.Requests != before || n.Late > 0 {
		t.Errorf("%d more sends after that, %d of them late", n.Requests-before, n.Late)
	}
	if n := w.servers[1].Counts().Requests; n < 50 {
		t.Errorf("the other server got %d requests", n)
	}
}

// emptyList checks that requests wait while the list is empty, end with the outcome unserved when
// their time is up, and are served once a server is listed.
func emptyList(t *testing.T, start Start, unserved Outcome) {
	w := newTestbed(t, start, nil, standin.ServerConfig{})
	live := newTestbed(t, start, func(p *standin.PlatformConfig) {
		known := w.fleet.Discovery.List()
		p.CachedList, p.Discovery, p.ListPushed, p.RefreshInterval = &known, w.fleet.Discovery.Addr(), false, 100*time.Millisecond
	}, standin.ServerConfig{})
	eventually(t, "the list is watched", func() bool { return w.fleet.Discovery.RequestCount() > 0 })
	w.fleet.Kill(w.servers[0])
	eventually(t, "requests end unserved with an empty list", func() bool {
		return live.Do(t.Context(), newRequest("quick", "X-Timeout-Ms", "100")).Outcome == unserved
	})
	over := make(chan Result, 1)
	go func() { over <- live.Do(context.Background(), newRequest("read")) }()
	b, err := w.fleet.Start(standin.ServerConfig{ID: "new"})
	if err != nil {
		t.Fatal(err)
	}
	if got := <-over; got.Outcome != Served {
		t.Errorf("%v after a server was listed", got)
	}
	if b.Counts().Requests == 0 {
		t.Error("the new server got no request")
	}
}

// concurrentClients checks with many clients, some of which disconnect, that each request gets one
// answer and no effect is applied twice.
func concurrentClients(t *testing.T, start Start) {
	var cfgs []standin.ServerConfig
	for range 4 {
		cfgs = append(cfgs, standin.ServerConfig{Cores: 8, ServiceTime: 2 * time.Millisecond})
	}
	w := newTestbed(t, start, nil, cfgs...)
	for _, b := range w.servers {
		b.SetFaultRates(standin.FaultRates{ServerError: 0.1, Malformed: 0.05, Reset: 0.05})
	}
	classes := []string{"read", "order", "pay"}
	var mu sync.Mutex
	var asked []Request
	var clients sync.WaitGroup
	for i := range 32 {
		clients.Go(func() {
			for j := range 15 {
				q := newRequest(classes[(i+j)%len(classes)])
				mu.Lock()
				asked = append(asked, q)
				mu.Unlock()
				ctx, cancel := context.WithCancel(t.Context())
				if j%5 == 4 {
					time.AfterFunc(time.Millisecond, cancel)
				}
				if a := w.Do(ctx, q); a.Outcome == NoResponse || a.Outcome == Rejected || a.Outcome == Canceled && j%5 != 4 {
					t.Errorf("%v", a)
				}
				cancel()
			}
		})
	}
	clients.Wait()
	for _, q := range asked {
		class := strings.Split(q.Path, "/")[1]
		key := q.Header["Idempotency-Key"]
		if key == "" {
			key = q.Header["X-Request-ID"]
		}
		if n := w.fleet.Executions(class, key); class != "read" && n > 1 {
			t.Errorf("%s was executed %d times", class, n)
		}
	}
}

// Transcript records a scripted run of one form: the results, and the servers that each request was
// sent to.
type Transcript struct {
	Results []string
	Servers []string
}

// RunScripted runs a sequence that is the same for every form: one seed, one request at a time, and
// servers whose load reports and faults follow a script. The result does not depend on timing: load
// reports come with the answers, the list is pushed, and after a fault the run waits until all
// ejections are over.
func RunScripted(t testing.TB, start Start, seed uint64) Transcript {
	t.Helper()
	const serverCount, rounds = 5, 60
	var cfgs []standin.ServerConfig
	for i := range serverCount {
		cfgs = append(cfgs, standin.ServerConfig{
			Report: func(n int) string { return fmt.Sprintf("TEXT queue=%d", (n*7+i*3)%5) },
			Script: func(_ int, q *http.Request) standin.Fault {
				switch n, _ := strconv.Atoi(q.Header.Get("X-Step")); {
				case n == 20 && i%2 == 0:
					return standin.ServerError
				case n == 31 && i%2 == 1:
					return standin.ResetConnection
				case n == 42 && i < 3:
					return standin.Reject
				}
				return standin.NoFault
			},
		})
	}
	w := newTestbed(t, start, func(p *standin.PlatformConfig) { p.InlineReports, p.Seed = true, seed }, cfgs...)
	classes := []string{"read", "order", "pay", "cell"}
	var r Transcript
	for n := range rounds {
		q := newRequest(classes[n%len(classes)], "X-Step", strconv.Itoa(n), "X-Request-ID", fmt.Sprintf("step-%d", n))
		r.Results = append(r.Results, w.Do(t.Context(), q).String())
		r.Servers = append(r.Servers, strings.Join(w.fleet.ServersReached(q.Header["X-Request-ID"]), "+"))
		if n == 20 || n == 31 || n == 42 {
			time.Sleep(2500 * time.Millisecond) // three failures in a row eject for 2 s
		}
	}
	return r
}

// Diff describes the first difference between two transcripts, or returns "".
func (r Transcript) Diff(other Transcript) string {
	for i := range r.Results {
		if i >= len(other.Results) || r.Results[i] != other.Results[i] || r.Servers[i] != other.Servers[i] {
			return fmt.Sprintf("step %d: %s by %s, and %s by %s", i, r.Results[i], r.Servers[i], other.Results[i], other.Servers[i])
		}
	}
	return ""
}

// Varied reports whether the run used several servers and met faults; otherwise a comparison proves
// nothing.
func (r Transcript) Varied() bool {
	kinds, picks := map[string]bool{}, map[string]bool{}
	for i := range r.Results {
		kind, _, _ := strings.Cut(r.Results[i], " ")
		kinds[kind], picks[r.Servers[i]] = true, true
	}
	return len(picks) >= 5 && len(kinds) >= 2 && slices.ContainsFunc(r.Servers, func(p string) bool { return strings.Contains(p, "+") })
}

// LoadResults holds the results of RunLoad by class.
type LoadResults map[string]ClassLoadResult

// ClassLoadResult holds the number of requests of a class, the share served, and the median latency
// of the served ones.
type ClassLoadResult struct {
	Requests    int
	ServedShare float64
	Median      time.Duration
}

// RunLoad sends requests at a fixed rate, without waiting for answers, to servers of which two
// return errors or reset connections.
func RunLoad(t testing.TB, start Start, length time.Duration, rate int) LoadResults {
	t.Helper()
	var cfgs []standin.ServerConfig
	for range 6 {
		cfgs = append(cfgs, standin.ServerConfig{Cores: 4, ServiceTime: 10 * time.Millisecond})
	}
	w := newTestbed(t, start, func(p *standin.PlatformConfig) { p.NoProbes = false }, cfgs...)
	w.servers[0].SetFaultRates(standin.FaultRates{ServerError: 0.3})
	w.servers[1].SetFaultRates(standin.FaultRates{Reset: 0.3})
	classes := []string{"read", "order", "pay"}
	var mu sync.Mutex
	times, asked := map[string][]time.Duration{}, map[string]int{}
	var clients sync.WaitGroup
	began := time.Now()
	for i := range int(length.Seconds() * float64(rate)) {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		class := classes[i%len(classes)]
		clients.Go(func() {
			at := time.Now()
			a := w.Do(t.Context(), newRequest(class))
			mu.Lock()
			defer mu.Unlock()
			asked[class]++
			if a.Outcome == Served {
				times[class] = append(times[class], time.Since(at))
			}
		})
	}
	clients.Wait()
	f := LoadResults{}
	for _, class := range classes {
		slices.Sort(times[class])
		c := ClassLoadResult{Requests: asked[class], ServedShare: float64(len(times[class])) / float64(max(asked[class], 1))}
		if n := len(times[class]); n > 0 {
			c.Median = times[class][n/2]
		}
		f[class] = c
	}
	if e := w.fleet.Effects(); e.Duplicates > 0 {
		t.Errorf("%d effects were applied twice", e.Duplicates)
	}
	return f
}

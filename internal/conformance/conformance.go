// Package conformance holds the one suite that every form of the balancer must pass: the daemon over sockets, the
// library's handler and its RoundTripper. It knows a form only by the interface Form, and runs the same against all.
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

// Form is one running form of the balancer. Its methods may be called from many goroutines at once.
type Form interface {
	// Do sends one request and returns what became of it. The request is withdrawn when ctx ends.
	Do(ctx context.Context, q Request) Result
}

// Start starts a form by the platform's configuration, until the test ends.
type Start func(t testing.TB, config []byte) Form

// Request is one request.
type Request struct {
	Method, Path string
	Header       map[string]string
	Body         io.Reader // nil: none. Its length is told if it is a *strings.Reader
}

// Outcome says what became of a request.
type Outcome string

// The kinds.
const (
	Served     Outcome = "served"
	Refused    Outcome = "refused"
	Failed     Outcome = "failed"
	Rejected   Outcome = "rejected" // not usable as it is: nothing was sent for it
	Canceled   Outcome = "gone"     // the asker's own time was up, or it left
	NoResponse Outcome = "broken"   // no answer at all, which no form may give
)

// Result is what became of a request.
type Result struct {
	Outcome    Outcome
	Status     int // Rejected: as HTTP has it
	Body       string
	Header     http.Header   // Served
	RetryAfter time.Duration // Refused
	Err        error         // Broken
}

// String is what must be the same of all forms.
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

// HTTPForm asks whoever serves HTTP at a URL: the daemon, or a server with the library's handler.
type HTTPForm struct {
	URL    string
	Client *http.Client
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

// HTTPRequest is q as net/http has it, to the server at base.
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

// Classes are the classes of the suite.
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

// testTimeout bounds a failure; no verdict hangs on it.
const testTimeout = 20 * time.Second

// Run runs the suite against the form that start makes.
func Run(t *testing.T, start Start) {
	t.Run("Rejections", func(t *testing.T) { rejections(t, start) })
	t.Run("Outcomes", func(t *testing.T) { outcomes(t, start) })
	t.Run("Refusal", func(t *testing.T) { refusal(t, start) })
	t.Run("NameOpen", func(t *testing.T) { duplicateID(t, start) })
	t.Run("ClientLeaves", func(t *testing.T) { clientLeaves(t, start) })
	t.Run("OwnTimeIsShorter", func(t *testing.T) { clientTimeout(t, start) })
	t.Run("Bodies", func(t *testing.T) { bodies(t, start) })
	t.Run("Drain", func(t *testing.T) { drain(t, start) })
	t.Run("EmptyAndFullAgain", func(t *testing.T) { emptyList(t, start, Failed) })
	t.Run("Crowd", func(t *testing.T) { concurrentClients(t, start) })
}

// RunRoutes runs what of the suite is meant for ordinary HTTP too, against a form that serves by routes: what a request says of itself, and
// repeats within a cell, are the platform's alone.
func RunRoutes(t *testing.T, start Start) {
	t.Run("Outcomes", func(t *testing.T) { outcomesOf(t, start, func(class string) bool { return class != "cell" }) })
	t.Run("Refusal", func(t *testing.T) { refusal(t, start) })
	t.Run("ClientLeaves", func(t *testing.T) { clientLeaves(t, start) })
	t.Run("Drain", func(t *testing.T) { drain(t, start) })
	t.Run("EmptyAndFullAgain", func(t *testing.T) { emptyList(t, start, Refused) })
	t.Run("Crowd", func(t *testing.T) { concurrentClients(t, start) })
}

// testbed is a fleet with a form before it.
type testbed struct {
	Form
	fleet   *standin.Fleet
	servers []*standin.Server
}

// newTestbed starts a fleet of boxes and a form whose list is pushed, so that nothing but requests moves its module.
func newTestbed(t testing.TB, start Start, change func(*standin.PlatformConfig), boxes ...standin.ServerConfig) *testbed {
	t.Helper()
	f, err := standin.NewFleet(Classes(), 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	w := &testbed{fleet: f}
	for i, cfg := range boxes {
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

// newRequest makes a request of a class, with an id and a key of its own.
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

func totalRequests(boxes []*standin.Server) (n int64) {
	for _, b := range boxes {
		n += b.Counts().Requests
	}
	return n
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// rejections: what cannot be served as it is comes to no box.
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
		{"no time at all", newRequest("read", "X-Timeout-Ms", "soon"), "rejected 400"},
		{"a negative time", newRequest("read", "X-Timeout-Ms", "-4"), "rejected 400"},
		{"no key", newRequest("order", "Idempotency-Key", ""), "rejected 400"},
		{"the method of another effect", wrongMethod, "rejected 405"},
		{"a body that the class has not", bodied, "rejected 405"},
		{"an id without end", newRequest("read", "X-Request-ID", strings.Repeat("x", 300)), "rejected 400"},
	} {
		if got := w.Do(t.Context(), tt.ask); got.String() != tt.want {
			t.Errorf("%s: %v, want %s", tt.name, got, tt.want)
		}
	}
	if n := totalRequests(w.servers); n > 0 {
		t.Errorf("%d requests came to a box", n)
	}
}

// outcomes: what all three boxes do, and what becomes of the request, how often it was sent and executed.
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
		{"read", standin.ResetConnection, Refused, 3, 3}, // sent again as often as it may be
		{"order", standin.ResetConnection, Refused, 3, 1},
		{"cell", standin.ResetConnection, Failed, 3, 1}, // a refusal would promise what holds in one cell only
		{"pay", standin.ResetConnection, Failed, 1, 1},  // it may have run: never again
		{"pay", standin.MalformedReply, Failed, 1, 1},
		{"pay", standin.ServerError, Failed, 1, 0},
		{"pay", standin.Reject, Refused, 3, 0}, // proven not to have run
	} {
		if !has(tt.class) {
			continue
		}
		t.Run(fmt.Sprintf("%s fault %d", tt.class, tt.fault), func(t *testing.T) {
			box := standin.ServerConfig{Script: func(int, *http.Request) standin.Fault { return tt.fault }}
			w := newTestbed(t, start, nil, box, box, box)
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

// refusal: what is turned away everywhere is refused at once, with a time to come back.
func refusal(t *testing.T, start Start) {
	w := newTestbed(t, start, nil, standin.ServerConfig{Script: func(int, *http.Request) standin.Fault { return standin.Reject }})
	began := time.Now()
	a := w.Do(t.Context(), newRequest("read"))
	if a.Outcome != Refused || a.RetryAfter <= 0 || a.RetryAfter > time.Second {
		t.Errorf("%v, come back after %v", a, a.RetryAfter)
	}
	if d := time.Since(began); d > 5*time.Second { // it had 9 s
		t.Errorf("refused after %v", d)
	}
}

// duplicateID: while a request is open another under its id is turned away.
func duplicateID(t *testing.T, start Start) {
	w := newTestbed(t, start, nil, standin.ServerConfig{ServiceTime: 500 * time.Millisecond})
	first := make(chan Result, 1)
	q := newRequest("read")
	go func() { first <- w.Do(context.Background(), q) }()
	eventually(t, "the first one is there", func() bool { return totalRequests(w.servers) == 1 })
	if got := w.Do(t.Context(), q); got.String() != "rejected 409" {
		t.Errorf("the second: %v", got)
	}
	if got := <-first; got.Outcome != Served {
		t.Errorf("the first: %v", got)
	}
	if got := w.Do(t.Context(), q); got.Outcome != Served {
		t.Errorf("the id, used again: %v", got)
	}
}

// clientLeaves: a client that leaves while an attempt is out has its attempt called off, and nothing more is sent.
func clientLeaves(t *testing.T, start Start) {
	for _, class := range []string{"read", "order", "pay"} {
		w := newTestbed(t, start, nil, standin.ServerConfig{Script: func(int, *http.Request) standin.Fault { return standin.NoReply }}, standin.ServerConfig{
			Script: func(int, *http.Request) standin.Fault { return standin.NoReply },
		})
		ctx, leave := context.WithCancel(t.Context())
		over := make(chan Result, 1)
		q := newRequest(class)
		go func() { over <- w.Do(ctx, q) }()
		eventually(t, "the attempt is out", func() bool { return totalRequests(w.servers) == 1 })
		leave()
		if got := <-over; got.Outcome != Canceled {
			t.Errorf("%s: %v", class, got)
		}
		// Its id is free once the form has noticed, and a later request is no worse for it.
		eventually(t, "its id is free", func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			again := q
			if q.Body != nil {
				again.Body = strings.NewReader("body")
			}
			return w.Do(ctx, again).String() != "rejected 409"
		})
		if n := len(w.fleet.ServersReached(q.Header["X-Request-ID"])); n > 2 { // the first one, and the one above that came through
			t.Errorf("%s: sent %d times for a client that had left", class, n)
		}
	}
}

// clientTimeout: X-Timeout-Ms and the asker's own deadline cut across the class's. There is one end, in time, and an unsafe
// request was sent once.
func clientTimeout(t *testing.T, start Start) {
	w := newTestbed(t, start, nil, standin.ServerConfig{Script: func(int, *http.Request) standin.Fault { return standin.NoReply }})
	began := time.Now()
	if got := w.Do(t.Context(), newRequest("pay", "X-Timeout-Ms", "200")); got.Outcome != Failed {
		t.Errorf("200 ms by the header: %v", got)
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
		t.Errorf("200 ms of its own: %v", got)
	}
	if n := totalRequests(w.servers); n != 2 {
		t.Errorf("sent %d times", n-1)
	}
}

// unknownLength hides the length of a reader from net/http.
type unknownLength struct{ io.Reader }

// errBodyRead is what a body fails with.
var errBodyRead = errors.New("the body broke")

// bodies: one of unknown length comes whole to the box, and one that is too long or breaks comes not at all.
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
	// Over sockets the end of the connection may overtake the answer: not served is what counts.
	if got := post(bytes.NewReader(long)); got.Outcome != Rejected && got.Outcome != NoResponse {
		t.Errorf("over the limit: %v", got)
	}
	if got := post(unknownLength{bytes.NewReader(long)}); got.Outcome != Rejected && got.Outcome != NoResponse {
		t.Errorf("over the limit, of unknown length: %v", got)
	}
	if got := post(io.MultiReader(strings.NewReader("half"), failingReader{})); got.Outcome == Served || got.Outcome == Refused {
		t.Errorf("a body that breaks: %v", got)
	}
	if n := totalRequests(w.servers) - before; n > 0 {
		t.Errorf("%d of them came to a box", n)
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errBodyRead }

// drain: what is told to drain gets nothing new, while requests go on at the others.
func drain(t *testing.T, start Start) {
	w := newTestbed(t, start, nil, standin.ServerConfig{}, standin.ServerConfig{})
	live := newTestbed(t, start, func(p *standin.PlatformConfig) {
		known := w.fleet.Discovery.List()
		p.CachedList, p.Discovery, p.ListPushed, p.RefreshInterval = &known, w.fleet.Discovery.Addr(), false, 100*time.Millisecond
	}, standin.ServerConfig{})
	eventually(t, "the list is watched", func() bool { return w.fleet.Discovery.RequestCount() > 0 })
	w.fleet.ListDraining(w.servers[0])
	eventually(t, "nothing goes to the one that drains", func() bool {
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
		t.Errorf("the other one got %d", n)
	}
}

// emptyList: while the list is empty requests wait for their time, end as the form has it, and are served once a box is listed.
func emptyList(t *testing.T, start Start, unserved Outcome) {
	w := newTestbed(t, start, nil, standin.ServerConfig{})
	live := newTestbed(t, start, func(p *standin.PlatformConfig) {
		known := w.fleet.Discovery.List()
		p.CachedList, p.Discovery, p.ListPushed, p.RefreshInterval = &known, w.fleet.Discovery.Addr(), false, 100*time.Millisecond
	}, standin.ServerConfig{})
	eventually(t, "the list is watched", func() bool { return w.fleet.Discovery.RequestCount() > 0 })
	w.fleet.Kill(w.servers[0])
	eventually(t, "an empty list leaves nobody to ask", func() bool {
		return live.Do(t.Context(), newRequest("quick", "X-Timeout-Ms", "100")).Outcome == unserved
	})
	over := make(chan Result, 1)
	go func() { over <- live.Do(context.Background(), newRequest("read")) }()
	b, err := w.fleet.Start(standin.ServerConfig{ID: "new"})
	if err != nil {
		t.Fatal(err)
	}
	if got := <-over; got.Outcome != Served {
		t.Errorf("%v once a box is there", got)
	}
	if b.Counts().Requests == 0 {
		t.Error("it was not asked")
	}
}

// concurrentClients: many at once, some of whom leave: each gets one answer, and no effect takes place twice.
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

// Transcript is what one form did on the scripted run: the answers, and for each request the boxes it went to.
type Transcript struct {
	Results []string
	Servers []string
}

// RunScripted plays one run that is the same for every form: one seed, one request at a time, boxes whose reports and
// faults follow a script. Nothing in it depends on how long anything takes: reports come with the answers, the list is
// pushed, and after a fault the run waits until every ejection is over.
func RunScripted(t testing.TB, start Start, seed uint64) Transcript {
	t.Helper()
	const boxes, rounds = 5, 60
	var cfgs []standin.ServerConfig
	for i := range boxes {
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

// Diff tells where two records differ; empty: nowhere.
func (r Transcript) Diff(other Transcript) string {
	for i := range r.Results {
		if i >= len(other.Results) || r.Results[i] != other.Results[i] || r.Servers[i] != other.Servers[i] {
			return fmt.Sprintf("step %d: %s by %s, and %s by %s", i, r.Results[i], r.Servers[i], other.Results[i], other.Servers[i])
		}
	}
	return ""
}

// Varied reports whether the run went to several boxes and met faults, as a run that does not shows nothing.
func (r Transcript) Varied() bool {
	kinds, picks := map[string]bool{}, map[string]bool{}
	for i := range r.Results {
		kind, _, _ := strings.Cut(r.Results[i], " ")
		kinds[kind], picks[r.Servers[i]] = true, true
	}
	return len(picks) >= 5 && len(kinds) >= 2 && slices.ContainsFunc(r.Servers, func(p string) bool { return strings.Contains(p, "+") })
}

// LoadResults is what a form gave under load, by class: the share served, and the median time of those.
type LoadResults map[string]ClassLoadResult

// ClassLoadResult is that of one class.
type ClassLoadResult struct {
	Requests    int
	ServedShare float64
	Median      time.Duration
}

// RunLoad plays some seconds of a schedule that does not wait for answers, on boxes of which two err.
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
		t.Errorf("%d effects took place twice", e.Duplicates)
	}
	return f
}

// Package fronttest runs the program as a process and plays difficult clients and servers against
// both of its HTTP fronts over loopback sockets.
package fronttest

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/standin"
	"quillfront/policy"
)

// testTimeout is how long a test waits for an event that must happen.
const testTimeout = 20 * time.Second

// The fronts that each test runs on.
const (
	platformFront = "platform" // the sidecar protocol, configured by the platform
	routesFront   = "routes"   // any HTTP, by routes of the operator's file
)

// program is the path of the program, built once without the race detector, whose memory a test can
// measure.
var program string

func TestMain(m *testing.M) {
	if runsFile := os.Getenv(runsFileVariable); runsFile != "" {
		os.Exit(runServerProcess(runsFile))
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fronttest")
	if err != nil {
		log.Print(err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "quillfront")
	if text, err := exec.Command("go", "build", "-o", program, "quillfront/cmd/quillfront").CombinedOutput(); err != nil {
		log.Printf("building the program: %v\n%s", err, text)
		return 1
	}
	return m.Run()
}

// onBothFronts runs a test on each front.
func onBothFronts(t *testing.T, test func(t *testing.T, kind string)) {
	onAll(t, []string{platformFront, routesFront}, test)
}

// onAll runs a test on each of several fronts.
func onAll(t *testing.T, kinds []string, test func(t *testing.T, kind string)) {
	for _, kind := range kinds {
		t.Run(kind, func(t *testing.T) { test(t, kind) })
	}
}

// options configures a process.
type options struct {
	memoryMB int           // 128
	sockets  int           // 1024
	deadline time.Duration // of all classes; 1.5 s
	servers  []string      // addresses
	// discovery is the address of the service that lists the servers; empty: servers is the list.
	discovery string
	operator  string // added to the operator's file; with the platform's front: the whole file
	stall     string // of the operator's file; empty: the default
	oneCore   bool   // the process uses one core, as the platform gives it
}

// front is a process of the program that serves clients on one of its fronts.
type front struct {
	t    testing.TB
	kind string
	addr string
	cmd  *exec.Cmd
	// terminated says that the process was told to end.
	terminated atomic.Bool
	mu         sync.Mutex
	log        strings.Builder // guarded by mu
	done       chan struct{}   // closed when the process has ended
}

// startFront starts a process that serves the classes read, order and pay until the test ends. It
// fails the test if the process ends before.
func startFront(t testing.TB, kind string, o options) *front {
	t.Helper()
	dir := t.TempDir()
	cmd := exec.Command(program)
	pattern := regexp.MustCompile(`msg=ready .*listen=(\S+)`)
	if kind == platformFront {
		path := filepath.Join(dir, "config.json")
		writeFile(t, path, o.platformConfig())
		cmd.Env = append(os.Environ(), "GW_CONFIG="+path)
		if o.operator != "" {
			operator := filepath.Join(dir, "operator.toml")
			writeFile(t, operator, o.operator)
			cmd.Args = append(cmd.Args, "serve", "--config", operator)
		}
	} else {
		path := filepath.Join(dir, "quillfront.toml")
		writeFile(t, path, o.operatorFile())
		cmd.Args = append(cmd.Args, "serve", "--config", path)
		cmd.Env = append(os.Environ(), "GW_CONFIG=")
		pattern = regexp.MustCompile(`msg=service kind=\S+ name=front at=(\S+)`)
	}
	if o.oneCore {
		cmd.Env = append(cmd.Env, "GOMAXPROCS=1")
	}
	f := &front{t: t, kind: kind, cmd: cmd, done: make(chan struct{})}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ready := make(chan string, 1)
	go f.readLog(stderr, pattern, ready)
	select {
	case f.addr = <-ready:
	case <-time.After(testTimeout):
		t.Fatal("the process is not ready")
	}
	t.Cleanup(f.stop)
	return f
}

// readLog reads the log of the process to its end. It sends the address that pattern finds in it.
func (f *front) readLog(log io.Reader, pattern *regexp.Regexp, ready chan<- string) {
	defer close(f.done)
	lines := bufio.NewScanner(log)
	addr := ""
	for lines.Scan() {
		if m := pattern.FindStringSubmatch(lines.Text()); m != nil {
			addr = m[1]
		}
		if strings.Contains(lines.Text(), "msg=ready") {
			ready <- addr
		}
		f.mu.Lock()
		f.log.WriteString(lines.Text() + "\n")
		f.mu.Unlock()
	}
	f.cmd.Wait()
}

// logText returns what the process has logged so far.
func (f *front) logText() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.String()
}

// stop kills the process and fails the test if it had ended before.
func (f *front) stop() {
	select {
	case <-f.done:
		if f.terminated.Load() {
			return
		}
		f.t.Errorf("the process has ended: %v\n%s", f.cmd.ProcessState, f.logText())
	default:
		f.cmd.Process.Kill()
		<-f.done
	}
}

// terminate tells the process to end, and kills it as early as the platform may: the longest deadline
// and killGrace later. It returns that time.
func (f *front) terminate(longest time.Duration) (killed time.Time) {
	const (
		killGrace   = 700 * time.Millisecond
		maxDeadline = 3 * time.Second
	)
	f.terminated.Store(true)
	f.cmd.Process.Signal(syscall.SIGTERM)
	after := min(longest, maxDeadline) + killGrace
	time.AfterFunc(after, func() { f.cmd.Process.Kill() })
	return time.Now().Add(after)
}

// peakMemory returns the highest resident memory of the process so far, in MiB.
func (f *front) peakMemory() float64 {
	f.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmd.Process.Pid))
	if err != nil {
		f.t.Fatal(err)
	}
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(text)
	if m == nil {
		f.t.Fatal("the process has ended")
	}
	kib, _ := strconv.ParseFloat(string(m[1]), 64)
	return kib / 1024
}

func (o options) withDefaults() options {
	if o.memoryMB == 0 {
		o.memoryMB = 128
	}
	if o.sockets == 0 {
		o.sockets = 1024
	}
	if o.deadline == 0 {
		o.deadline = 1500 * time.Millisecond
	}
	return o
}

// classes returns the classes of requests.
func (o options) classes() []policy.Class {
	all := []policy.Class{{Name: "read"}, {Name: "order", Effect: policy.Keyed, KeyTTL: 10 * time.Second}, {Name: "pay", Effect: policy.Unsafe}}
	for i := range all {
		all[i].Aim, all[i].Deadline, all[i].Worth = o.deadline*9/10, o.deadline, 1
	}
	return all
}

func (o options) platformConfig() string {
	o = o.withDefaults()
	list := &engine.List{Seq: 1, Full: true}
	for i, addr := range o.servers {
		list.Servers = append(list.Servers, engine.Server{ID: policy.ServerID(fmt.Sprint("s", i)), Addr: addr})
	}
	if o.discovery != "" {
		list.Servers = nil // the last list that was known is empty
	}
	return string(standin.PlatformConfig{Seed: 1, Discovery: o.discovery, ListPushed: o.discovery == "", NoProbes: true, Sockets: o.sockets, MemoryMB: o.memoryMB, CachedList: list, Classes: o.classes()}.JSON())
}

func (o options) operatorFile() string {
	o = o.withDefaults()
	var list []string
	for i, addr := range o.servers {
		list = append(list, fmt.Sprintf("{id = \"s%d\", addr = %q}", i, addr))
	}
	source := fmt.Sprintf("servers = [%s]", strings.Join(list, ", "))
	if o.discovery != "" {
		source = fmt.Sprintf("discovery = %q", o.discovery)
	}
	text := fmt.Sprintf("[process]\nseed = \"1\"\nmemory_mb = %d\nsockets = %d\n%s\n[[http]]\nname = \"front\"\nlisten = \"127.0.0.1:0\"\nstall = %q\n[[pools]]\nname = \"fleet\"\n%s\n",
		o.memoryMB, o.sockets, o.operator, cmp.Or(o.stall, "30s"), source)
	routes := ""
	for _, c := range o.classes() {
		text += fmt.Sprintf("[[pools.classes]]\nname = %q\neffect = \"by-request\"\naim = \"%v\"\ndeadline = \"%v\"\n", c.Name, c.Aim, c.Deadline)
		if c.Effect == policy.Keyed {
			text += fmt.Sprintf("window = \"%v\"\n", c.KeyTTL)
		}
		routes += fmt.Sprintf("[[routes]]\nname = %q\npath = \"/%s/{rest...}\"\nclass = %q\npool = \"fleet\"\ntrust_idempotency_key = %v\n", c.Name, c.Name, c.Name, c.Effect == policy.Keyed)
	}
	return text + routes
}

func writeFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

var lastID atomic.Int64

// newID returns a new request ID.
func newID() string { return fmt.Sprint("id", lastID.Add(1)) }

// requestHead returns the head of a request of a class, with additional header lines. The length is
// that of the body; 0: there is none.
func requestHead(class, id string, length int, lines string) string {
	method := http.MethodGet
	if class != "read" {
		method = http.MethodPost
	}
	text := fmt.Sprintf("%s /%s/k HTTP/1.1\r\nHost: fleet\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 1500\r\n", method, class, id)
	if class == "order" {
		text += "Idempotency-Key: " + id + "\r\n"
	}
	if length > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + lines + "\r\n"
}

// dial connects a client to the front.
func (f *front) dial() (*net.TCPConn, error) {
	c, err := net.DialTimeout("tcp", f.addr, testTimeout)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// startServer starts a server that calls serve for each request on each of its connections, and
// returns its address.
func startServer(t testing.TB, serve http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: serve, ErrorLog: log.New(io.Discard, "", 0)}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

// tally counts the answers that usual clients get.
type tally struct {
	mu        sync.Mutex
	statuses  map[int]int // 0: no answer
	latencies []time.Duration
}

// startUsualClients starts n clients that send short reads, one after the other with a pause in
// between, until ctx ends. wait waits for them and returns what they got.
func (f *front) startUsualClients(ctx context.Context, n int, pause time.Duration) (wait func() *tally) {
	a := &tally{statuses: map[int]int{}}
	var clients sync.WaitGroup
	for range n {
		clients.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for ctx.Err() == nil {
				a.read(transport, f.addr)
				time.Sleep(pause)
			}
		})
	}
	return func() *tally {
		clients.Wait()
		return a
	}
}

// read sends one read and counts its answer.
func (a *tally) read(transport *http.Transport, addr string) {
	begun, status := time.Now(), 0
	q, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/read/k", nil)
	q.Header.Set("X-Request-ID", newID())
	q.Header.Set("X-Timeout-Ms", "1500")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if resp, err := transport.RoundTrip(q.WithContext(ctx)); err == nil {
		if _, err := io.Copy(io.Discard, resp.Body); err == nil {
			status = resp.StatusCode
		}
		resp.Body.Close()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.statuses[status]++
	a.latencies = append(a.latencies, time.Since(begun))
}

// String returns the counts by status and the 99th percentile of the latencies.
func (a *tally) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.Sort(a.latencies)
	p99 := time.Duration(0)
	if n := len(a.latencies); n > 0 {
		p99 = a.latencies[n*99/100]
	}
	return fmt.Sprintf("%v, p99 %v", a.statuses, p99.Round(time.Millisecond))
}

// minServedShare is the share of their requests for which usual clients get 200.
const minServedShare = 0.95

// check reports an error unless usual clients got 200 for nearly all of their requests, and each
// answer within the client's time.
func (a *tally) check(t testing.TB, clientTimeout time.Duration) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	all := len(a.latencies)
	if share := float64(a.statuses[http.StatusOK]) / float64(all); !(share >= minServedShare) {
		t.Errorf("usual clients got 200 for %.3f of %d requests", share, all)
	}
	if a.statuses[0] > 0 {
		t.Errorf("%d requests of usual clients got no answer", a.statuses[0])
	}
	if longest := slices.Max(append(a.latencies, 0)); longest > clientTimeout {
		t.Errorf("an answer to a usual client took %v, its time was %v", longest, clientTimeout)
	}
}

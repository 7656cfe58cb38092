package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// managementStatus sends a request to the management address of s and returns the status.
func (s *process) managementStatus(t *testing.T, method, path string) int {
	t.Helper()
	q, err := http.NewRequest(method, "http://"+s.management+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// metric returns the value of a metric of s as it is written.
func (s *process) metric(t *testing.T, name string) string {
	t.Helper()
	resp, err := http.Get("http://" + s.management + "/api/telemetry")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	_, value, ok := strings.Cut("\n"+string(text), "\n"+name+" ")
	if !ok {
		t.Fatalf("no metric %s", name)
	}
	value, _, _ = strings.Cut(value, "\n")
	return value
}

// requestUntil sends requests on one connection after the other until stop is closed, on each for
// as long as it lasts. It counts answers, and requests that ended without one because they crossed
// the close of the connection. No request is sent twice.
func requestUntil(addr string, stop <-chan struct{}, served, crossed *atomic.Int64) error {
	for {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return err
		}
		r := bufio.NewReader(c)
		for first := true; ; first = false {
			select {
			case <-stop:
				return c.Close()
			default:
			}
			c.SetDeadline(time.Now().Add(20 * time.Second))
			fmt.Fprintf(c, "GET /read/k HTTP/1.1\r\nHost: s\r\nX-Request-ID: k%d\r\n\r\n", lastID.Add(1))
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				if first {
					return fmt.Errorf("first request on a new connection: %w", err)
				}
				crossed.Add(1)
				break
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
				return fmt.Errorf("answer %d, %w", resp.StatusCode, err)
			}
			served.Add(1)
			// Pause, so that the close of the connection becomes visible.
			c.SetDeadline(time.Now().Add(time.Millisecond))
			if _, err := r.Peek(1); resp.Close || !errors.Is(err, os.ErrDeadlineExceeded) {
				break
			}
		}
		c.Close()
	}
}

// TestUpgrade replaces the program twice under load: every request is answered, a server that
// operators have excluded stays excluded, and the old process exits by itself.
func TestUpgrade(t *testing.T) {
	var mu sync.Mutex
	hits := map[string]int{}
	server := func(name string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			hits[name]++
			mu.Unlock()
			io.WriteString(w, "ok")
		}))
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	count := func(name string) int {
		mu.Lock()
		defer mu.Unlock()
		return hits[name]
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	tmp := t.TempDir()
	text := strings.Replace(platformConfig(ln.Addr().String(), server("a")), `{"host":"a"`,
		fmt.Sprintf(`{"host":"b","dial":%q,"health":"active"},{"host":"a"`, server("b")), 1)
	startProcess := func() *process {
		cmd := sidecarCommand(t, text)
		cmd.ExtraFiles = append(cmd.ExtraFiles, f)
		cmd.Env = append(cmd.Env, "GW_ACCEPT_FD=3", "GW_MANAGEMENT=127.0.0.1:0", "TMPDIR="+tmp)
		s := startCommand(t, cmd)
		for end := time.Now().Add(20 * time.Second); s.managementStatus(t, "GET", "/api/ready") != http.StatusOK; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the process does not become ready")
			}
		}
		return s
	}
	s := startProcess()
	stop := make(chan struct{})
	var served, crossed atomic.Int64
	failed := make(chan error, 8)
	for range cap(failed) {
		go func() { failed <- requestUntil(ln.Addr().String(), stop, &served, &crossed) }()
	}
	awaitAnswers := func(n int64) {
		t.Helper()
		for end, from := time.Now().Add(20*time.Second), served.Load(); served.Load() < from+n; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no requests are answered")
			}
		}
	}
	awaitAnswers(200)
	if count("a") == 0 || count("b") == 0 {
		t.Errorf("both servers should have requests before the upgrade: %v", hits)
	}
	initial := s.metric(t, `svc_descriptors_most{of="clients"}`)
	if got := s.managementStatus(t, "POST", "/api/exclude/c"); got != http.StatusNotFound {
		t.Errorf("exclude an unknown server: status %d", got)
	}
	if got := s.managementStatus(t, "POST", "/api/exclude/a"); got != http.StatusOK {
		t.Fatalf("exclude: status %d", got)
	}
	for range 2 {
		awaitAnswers(50) // requests in flight to the excluded server have ended
		before := count("a")
		newer := startProcess()
		awaitAnswers(200)
		if err := s.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := s.Wait(); err != nil {
			t.Errorf("exit status of the old process: %v", err)
		}
		awaitAnswers(200)
		for end := time.Now().Add(20 * time.Second); newer.metric(t, `svc_descriptors_most{of="clients"}`) != initial; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("clients may have %s descriptors after the old process has exited, want %s as before", newer.metric(t, `svc_descriptors_most{of="clients"}`), initial)
			}
		}
		if got := count("a"); got != before {
			t.Errorf("%d requests to an excluded server", got-before)
		}
		s = newer
	}
	if got := s.managementStatus(t, "POST", "/api/include/a"); got != http.StatusOK {
		t.Errorf("include: status %d", got)
	}
	before := count("a")
	awaitAnswers(200)
	if count("a") == before {
		t.Error("an included server is not used")
	}
	close(stop)
	for range cap(failed) {
		err = errors.Join(err, <-failed)
	}
	t.Logf("%d of %d requests crossed the close of their connection", crossed.Load(), served.Load())
	if err != nil || crossed.Load() > 2 {
		t.Errorf("%v; %d of %d requests crossed the close of their connection", err, crossed.Load(), served.Load())
	}
}

// TestBadDescriptor checks that a descriptor that is not a number, is not open or is not a
// listening socket ends the start with a line that names GW_ACCEPT_FD.
func TestBadDescriptor(t *testing.T) {
	for _, fd := range []string{"x", "1", "77"} {
		cmd := sidecarCommand(t, platformConfig("127.0.0.1:0", "127.0.0.1:1"))
		cmd.Env = append(cmd.Env, "GW_ACCEPT_FD="+fd)
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), "GW_ACCEPT_FD") {
			t.Errorf("%s: %v, %s", fd, err, out)
		}
	}
}

// idServer answers after a time of work, and counts the runs of each ID.
type idServer struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
}

func startIDServer(t *testing.T, work time.Duration) *idServer {
	s := &idServer{runs: map[string]int{}}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		s.mu.Lock()
		s.runs[q.Header.Get("X-Request-ID")]++
		s.mu.Unlock()
		time.Sleep(work)
		io.WriteString(w, "ok")
	}))
	t.Cleanup(s.Close)
	return s
}

// checkRuns reports an error if IDs ran twice, or fewer than wanted ran at all.
func (s *idServer) checkRuns(t *testing.T, wanted int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	twice := 0
	for _, n := range s.runs {
		if n > 1 {
			twice++
		}
	}
	if twice > 0 || len(s.runs) < wanted {
		t.Errorf("%d of %d IDs ran twice", twice, len(s.runs))
	}
}

// startTwoProcesses starts two processes of one sidecar that accept on the same socket. It returns the
// socket's address and the processes, the older one first.
func startTwoProcesses(t *testing.T, serverAddr, effect string) (addr string, processes [2]*process) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	tmp := t.TempDir()
	config := strings.Replace(platformConfig(ln.Addr().String(), serverAddr), `"read_like"`, strconv.Quote(effect), 1)
	for i := range processes {
		cmd := sidecarCommand(t, config)
		cmd.ExtraFiles = append(cmd.ExtraFiles, f)
		cmd.Env = append(cmd.Env, "GW_ACCEPT_FD=3", "GW_MANAGEMENT=127.0.0.1:0", "TMPDIR="+tmp)
		processes[i] = startCommand(t, cmd)
	}
	return ln.Addr().String(), processes
}

// sendID sends a request on a new connection and returns the status; 0: there was none within wait.
func sendID(t *testing.T, addr, method, id string, wait time.Duration) int {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(wait))
	fmt.Fprintf(c, "%s /read/k HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nContent-Length: 0\r\n\r\n", method, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestIDComesAgainAtOtherProcess guards against a request that runs twice because its client left one
// process of an upgrade and sends it again, under the same ID, to the other one.
func TestIDComesAgainAtOtherProcess(t *testing.T) {
	const requests = 40
	server := startIDServer(t, 300*time.Millisecond)
	addr, _ := startTwoProcesses(t, server.Listener.Addr().String(), "non_idempotent")
	var clients sync.WaitGroup
	for i := range requests {
		clients.Go(func() {
			for range 4 { // at one process or the other
				sendID(t, addr, http.MethodPost, fmt.Sprint("u", i), 100*time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	server.checkRuns(t, requests/2)
}

// TestIDsOfKilledProcess guards against requests that run twice because the process that had them open was
// killed, and against IDs of requests that are safe to repeat which it blocks for ever.
func TestIDsOfKilledProcess(t *testing.T) {
	const requests = 40
	for _, effect := range []string{"non_idempotent", "read_like"} {
		t.Run(effect, func(t *testing.T) {
			server := startIDServer(t, 400*time.Millisecond)
			addr, processes := startTwoProcesses(t, server.Listener.Addr().String(), effect)
			method, want := http.MethodPost, http.StatusConflict
			if effect == "read_like" {
				method, want = http.MethodGet, http.StatusOK
			}
			var clients sync.WaitGroup
			var cut sync.Map // IDs whose requests were open at the process that was killed
			for i := range requests {
				clients.Go(func() {
					id := fmt.Sprint(effect, i)
					if sendID(t, addr, method, id, 10*time.Second) == 0 {
						cut.Store(id, true)
					}
				})
			}
			time.Sleep(200 * time.Millisecond) // they are open
			processes[0].Process.Kill()
			clients.Wait()
			again := 0
			cut.Range(func(id, _ any) bool {
				again++
				if status := sendID(t, addr, method, id.(string), 10*time.Second); status != want {
					t.Errorf("status %d for an ID of the process that was killed, want %d", status, want)
				}
				return again < 10
			})
			if again == 0 {
				t.Error("the process that was killed had no request")
			}
			if effect == "non_idempotent" {
				server.checkRuns(t, requests/2)
			}
		})
	}
}

// TestIDsOfStoppedProcess guards against a process that holds up the other one of an upgrade because it
// stands still, and against the loss of what it has open: its IDs stay in use.
func TestIDsOfStoppedProcess(t *testing.T) {
	const (
		requests = 20
		bound    = time.Second // of an answer at the other process, whose server takes 0.3 s
	)
	server := startIDServer(t, 300*time.Millisecond)
	addr, processes := startTwoProcesses(t, server.Listener.Addr().String(), "non_idempotent")
	var clients sync.WaitGroup
	for i := range requests {
		clients.Go(func() { sendID(t, addr, http.MethodPost, fmt.Sprint("open", i), 10*time.Second) })
	}
	time.Sleep(100 * time.Millisecond) // they are open
	processes[0].Process.Signal(syscall.SIGSTOP)
	statuses := map[int]int{} // of new connections that the running process accepts
	for i := range requests {
		for _, id := range []string{fmt.Sprint("open", i), fmt.Sprint("new", i)} {
			begun := time.Now()
			status := sendID(t, addr, http.MethodPost, id, bound)
			if statuses[status]++; status == 0 && time.Since(begun) < bound {
				t.Errorf("%s: no answer", id)
			}
		}
	}
	processes[0].Process.Signal(syscall.SIGCONT)
	clients.Wait()
	if statuses[http.StatusConflict] == 0 || statuses[http.StatusOK] == 0 {
		t.Errorf("statuses %v beside a process that stands still", statuses)
	}
	server.checkRuns(t, requests)
}

// TestOpenIDAtOtherProcess guards against a client that is served under the ID of another client's
// request, which is open at the other process of an upgrade.
func TestOpenIDAtOtherProcess(t *testing.T) {
	const requests = 40
	server := startIDServer(t, 800*time.Millisecond)
	addr, _ := startTwoProcesses(t, server.Listener.Addr().String(), "read_like")
	var clients sync.WaitGroup
	var served atomic.Int32
	for i := range requests {
		id := fmt.Sprint("open", i)
		clients.Go(func() {
			if sendID(t, addr, http.MethodGet, id, 10*time.Second) == http.StatusOK {
				served.Add(1)
			}
		})
		clients.Go(func() {
			time.Sleep(300 * time.Millisecond)
			for range 3 { // at one process or the other
				if status := sendID(t, addr, http.MethodGet, id, 10*time.Second); status != http.StatusConflict {
					t.Errorf("status %d under the ID of an open request", status)
				}
			}
		})
	}
	clients.Wait()
	if n := served.Load(); n < requests {
		t.Errorf("%d of %d usual requests were served", n, requests)
	}
	server.checkRuns(t, requests)
}

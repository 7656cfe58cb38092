package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the program instead of the tests if the test binary was started as a sidecar.
func TestMain(m *testing.M) {
	if os.Getenv("QUILLFRONT_IS_SIDECAR") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a running sidecar process.
type process struct {
	*exec.Cmd
	addr       string
	management string            // empty if there is none
	services   map[string]string // service addresses by name
	log        chan string       // lines after the one that says it is ready
}

// sidecarCommand returns the command that runs the program with a platform configuration.
func sidecarCommand(t testing.TB, config string, args ...string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], args...)
	// The race detector otherwise delays the exit of a process by a second.
	cmd.Env = append(os.Environ(), "QUILLFRONT_IS_SIDECAR=1", "GW_CONFIG="+path, "GORACE=atexit_sleep_ms=0")
	return cmd
}

var (
	readyPattern      = regexp.MustCompile(`msg=ready .*listen=(\S+)`)
	managementPattern = regexp.MustCompile(`msg=operators management=(\S+)`)
	servicePattern    = regexp.MustCompile(`msg=service kind=\S+ name=(\S+) at=(\S+)`)
)

// startSidecar starts the program with a platform configuration and waits until it is ready.
func startSidecar(t testing.TB, config string, args ...string) *process {
	t.Helper()
	return startCommand(t, sidecarCommand(t, config, args...))
}

// startCommand starts cmd, waits until it is ready and reads its addresses from the log.
func startCommand(t testing.TB, cmd *exec.Cmd) *process {
	t.Helper()
	s := &process{Cmd: cmd, log: make(chan string, 1000), services: map[string]string{}}
	log, err := s.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Process.Kill() })
	lines := bufio.NewScanner(log)
	for ready := false; !ready; {
		if !lines.Scan() {
			t.Fatalf("the sidecar did not become ready: %v", lines.Err())
		}
		if m := readyPattern.FindStringSubmatch(lines.Text()); m != nil {
			s.addr, ready = m[1], true
		} else if m := managementPattern.FindStringSubmatch(lines.Text()); m != nil {
			s.management = m[1]
		} else if m := servicePattern.FindStringSubmatch(lines.Text()); m != nil {
			s.services[m[1]] = m[2]
		} else if strings.Contains(lines.Text(), "msg=ready ") { // run by an operator's file alone
			ready = true
		}
	}
	go func() {
		for lines.Scan() {
			select {
			case s.log <- lines.Text():
			default:
			}
		}
	}()
	return s
}

// reload replaces the platform configuration of a process and sends it SIGHUP.
func (s *process) reload(t testing.TB, config string) {
	t.Helper()
	for _, v := range s.Env {
		if path, ok := strings.CutPrefix(v, "GW_CONFIG="); ok {
			if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
				t.Error(err)
			}
		}
	}
	if err := s.Process.Signal(syscall.SIGHUP); err != nil {
		t.Error(err)
	}
}

// platformConfig returns a platform configuration with one server and the class read.
func platformConfig(listen, upstream string) string {
	return fmt.Sprintf(`{"name":"n","listen":%q,"discovery":"127.0.0.1:1",
"known":{"seq":1,"whole":true,"hosts":[{"host":"a","dial":%q,"health":"active"}]},
"settings":{"GroupSize":1,"TickUs":1000,"Limits":{"SendCap":3,"Cancelling":true,"DialTimeoutUs":2000000,"ConnIdleUs":5000000},
"Safety":{"AskEveryUs":10000000},"RequestClasses":[{"Name":"read","Effect":"read_like","AimUs":9000000,"DeadlineUs":10000000,"Worth":1}]}}`, listen, upstream)
}

var lastID atomic.Int64

// getRead sends a GET request of the class read.
func getRead(addr string) (*http.Response, error) {
	q, err := http.NewRequest(http.MethodGet, "http://"+addr+"/read/k", nil)
	if err != nil {
		return nil, err
	}
	q.Header.Set("X-Request-ID", fmt.Sprint(lastID.Add(1)))
	return http.DefaultClient.Do(q)
}

// TestBadConfiguration checks that an invalid configuration ends the start with one line that names
// the key.
func TestBadConfiguration(t *testing.T) {
	for _, tt := range []struct{ config, want string }{
		{"", "GW_CONFIG"},
		{platformConfig("", "127.0.0.1:1"), "listen"},
		{strings.Replace(platformConfig("127.0.0.1:0", "127.0.0.1:1"), `"SendCap":3`, `"SendCap":0`, 1), "SendCap"},
		{platformConfig("127.0.0.1:99999", "127.0.0.1:1"), "listen"},
	} {
		cmd := sidecarCommand(t, tt.config)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		if err == nil || !strings.Contains(stderr.String(), tt.want) || strings.Count(stderr.String(), "\n") != 1 {
			t.Errorf("exit %v with %q, want one line that names %s", err, stderr.String(), tt.want)
		}
	}
}

// TestSIGTERMAndSIGKILL checks that accepted requests are answered after SIGTERM, and that a
// sidecar starts again at its old address after SIGKILL.
func TestSIGTERMAndSIGKILL(t *testing.T) {
	arrived, release := make(chan struct{}, 10), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		arrived <- struct{}{}
		<-release
		io.WriteString(w, "ok")
	}))
	defer srv.Close()
	s := startSidecar(t, platformConfig("127.0.0.1:0", srv.Listener.Addr().String()))
	type result struct {
		body string
		err  error
	}
	results := make(chan result, 10)
	ask := func() {
		resp, err := getRead(s.addr)
		if err != nil {
			results <- result{"", err}
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		results <- result{string(body), err}
	}
	go ask()
	<-arrived
	if err := s.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	go ask() // within the time in which new connections are still accepted
	<-arrived
	close(release)
	for range 2 {
		if r := <-results; r.err != nil || r.body != "ok" {
			t.Errorf("answer %q, %v", r.body, r.err)
		}
	}
	if err := s.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}

	s = startSidecar(t, platformConfig(s.addr, srv.Listener.Addr().String()))
	if err := s.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	s.Wait()
	began := time.Now()
	s = startSidecar(t, platformConfig(s.addr, srv.Listener.Addr().String()))
	go ask()
	if r := <-results; r.err != nil || r.body != "ok" {
		t.Errorf("answer %q, %v", r.body, r.err)
	}
	t.Logf("answers again %v after SIGKILL", time.Since(began))
}

// TestReloadOnSIGHUP checks that SIGHUP applies a new discovery address, that an invalid file
// changes nothing, and that the program goes on in both cases.
func TestReloadOnSIGHUP(t *testing.T) {
	asked := make(chan string, 100)
	discovery := func(name string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			asked <- name
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { io.WriteString(w, "ok") }))
	defer srv.Close()
	text := platformConfig("127.0.0.1:0", srv.Listener.Addr().String())
	s := startSidecar(t, text)
	reload := func(text string) {
		t.Helper()
		s.reload(t, text)
	}
	awaitDiscovery := func(name string) {
		t.Helper()
		for {
			select {
			case got := <-asked:
				if got == name {
					return
				}
			case <-time.After(20 * time.Second):
				t.Fatalf("discovery %s was not asked", name)
			}
		}
	}
	reload(strings.Replace(text, "127.0.0.1:1\"", discovery("b")+"\"", 1))
	awaitDiscovery("b")
	reload("{")
	for line := ""; !strings.Contains(line, "GW_CONFIG"); {
		select {
		case line = <-s.log:
		case <-time.After(20 * time.Second):
			t.Fatal("the log does not report that the file is invalid")
		}
	}
	reload(strings.Replace(text, "127.0.0.1:1\"", discovery("c")+"\"", 1))
	awaitDiscovery("c")
	if resp, err := getRead(s.addr); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("answer after reloads: %v, %v", resp, err)
	}
}

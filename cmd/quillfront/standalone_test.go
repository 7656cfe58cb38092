package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"quillfront/internal/config"
	"quillfront/internal/conformance"
	"quillfront/policy"
)

// startStandalone starts the program with an operator's file and no platform configuration.
func startStandalone(t testing.TB, path string) *process {
	t.Helper()
	cmd := exec.Command(os.Args[0], "serve", "--config", path)
	cmd.Env = append(os.Environ(), "QUILLFRONT_IS_SIDECAR=1", "GW_CONFIG=")
	return startCommand(t, cmd)
}

func writeFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// standaloneConfig returns an operator's file that serves HTTP with one pool, described by pool,
// and a route for each class that matches the first segment of the path.
func standaloneConfig(pool string, classes []policy.Class, seed uint64) string {
	text := fmt.Sprintf("[process]\nmanagement = \"127.0.0.1:0\"\nseed = \"%x\"\n[log]\nrate = 1000\n[[http]]\nname = \"front\"\nlisten = \"127.0.0.1:0\"\nhealth = \"/.ready\"\n", seed)
	routes := ""
	text += "[[pools]]\nname = \"fleet\"\n" + pool + "\n"
	for _, c := range classes {
		window := ""
		if c.Effect == policy.Keyed {
			window = fmt.Sprintf("window = \"%v\"\n", c.KeyTTL)
		}
		text += fmt.Sprintf("[[pools.classes]]\nname = %q\neffect = \"by-request\"\naim = \"%v\"\ndeadline = \"%v\"\n%s", c.Name, c.Aim, c.Deadline, window)
		routes += fmt.Sprintf("[[routes]]\nname = %q\npath = \"/%s/{rest...}\"\nclass = %q\npool = \"fleet\"\nkey = [\"path:rest\"]\ntrust_idempotency_key = %v\n", c.Name, c.Name, c.Name, window != "")
	}
	return text + routes
}

// startStandaloneForm starts the program with an operator's file that is equivalent to a platform
// configuration.
func startStandaloneForm(t testing.TB, text []byte) conformance.Form {
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	pool := fmt.Sprintf("discovery = %q", cfg.Discovery)
	if cfg.Discovery == "127.0.0.1:1" { // no discovery service listens there
		var list []string
		for _, s := range cfg.CachedList.Servers {
			list = append(list, fmt.Sprintf("{id = %q, addr = %q, cell = %d}", s.ID, s.Addr, s.Cell))
		}
		pool = "servers = [" + strings.Join(list, ", ") + "]"
	}
	path := filepath.Join(t.TempDir(), "quillfront.toml")
	writeFile(t, path, standaloneConfig(pool, cfg.Settings.Config.Classes, cfg.Seed))
	return conformance.HTTPForm{URL: "http://" + startStandalone(t, path).services["front"], Client: newHTTPClient(t)}
}

// TestRoutesConformance runs the conformance suite against the program with routes.
func TestRoutesConformance(t *testing.T) { conformance.RunRoutes(t, startStandaloneForm) }

// TestStandalone checks that the program runs with an operator's file alone, with a management
// address, reloads, and shuts down cleanly; and that the error for an invalid file or environment
// names what is wrong.
func TestStandalone(t *testing.T) {
	servers := make([]*httptest.Server, 2)
	for i := range servers {
		servers[i] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { fmt.Fprint(w, i) }))
		defer servers[i].Close()
	}
	classes := []policy.Class{{Name: "x", Aim: 8 * time.Second, Deadline: 9 * time.Second}}
	path := filepath.Join(t.TempDir(), "quillfront.toml")
	serverList := func(i int) string {
		return fmt.Sprintf("servers = [{id = \"s%d\", addr = %q}]", i, servers[i].Listener.Addr())
	}
	writeFile(t, path, standaloneConfig(serverList(0), classes, 1))
	s := startStandalone(t, path)
	base := "http://" + s.services["front"]
	c := newHTTPClient(t)
	await := func(want string) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			resp, err := c.Get(base + "/x/y")
			if err != nil {
				t.Fatal(err)
			}
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if string(text) == want {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%d %q, want %q", resp.StatusCode, text, want)
			}
		}
	}
	call := func(method, what string) int {
		q, _ := http.NewRequest(method, "http://"+s.management+"/api/"+what, nil)
		resp, err := c.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		for _, metric := range []string{`svc_service_requests_total{class="x+read",kind="served",service="fleet"}`, `svc_route_requests_total{route="x",service="front"}`, `svc_service_descriptors{service="fleet"}`, `svc_service_descriptor_waits_total{result="none",service="fleet"} 0`, `svc_pools_ended_requests_total{service="front"} 0`} {
			if what == "telemetry" && !strings.Contains(string(text), metric) {
				t.Errorf("metric %s is missing:\n%s", metric, text)
			}
		}
		return resp.StatusCode
	}
	await("0")
	if call("GET", "ready") != 200 || call("GET", "telemetry") != 200 || call("POST", "exclude/nobody") == 200 {
		t.Error("unexpected status from the management address")
	}
	if call("POST", "exclude/s0") != 200 {
		t.Error("the server cannot be excluded")
	}
	resp, err := c.Get(base + "/x/y")
	if err != nil || resp.StatusCode != 503 {
		t.Errorf("request with no server left: %v, %v", resp, err)
	}
	resp.Body.Close()
	if call("POST", "include/s0") != 200 {
		t.Error("the server cannot be included again")
	}
	await("0")
	writeFile(t, path, standaloneConfig(serverList(1), classes, 1))
	if err := s.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	await("1")
	if call("POST", "evacuate") != 200 || call("GET", "ready") == 200 {
		t.Error("the process does not drain")
	}
	if resp, err := c.Get(base + "/.ready"); err != nil || resp.StatusCode != 503 {
		t.Errorf("readiness while draining: %v, %v", resp, err)
	}
	if call("POST", "rejoin") != 200 || call("GET", "ready") != 200 {
		t.Error("the process does not become ready again")
	}
	await("1")
	if err := s.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := s.Wait(); err != nil {
		t.Errorf("exit status of the program: %v", err)
	}
	for _, tt := range []struct {
		text, env, want string
	}{
		{"", "", "nothing is to be served"},
		{standaloneConfig(serverList(0), classes, 1), "GW_LISTEN=127.0.0.1:0", "GW_LISTEN is set and GW_CONFIG is not"},
		{strings.Replace(standaloneConfig(serverList(0), classes, 1), `rate = 1000`, `level = "loud"`, 1), "", "[log]: level"},
		{strings.Replace(standaloneConfig(serverList(0), classes, 1), "[process]", "[process]\nsockets = 7", 1), "", "[process]: sockets: 7"},
		{standaloneConfig(serverList(0), classes, 1) + "[store]\n", "", "[store]"},
	} {
		writeFile(t, path, tt.text)
		cmd := exec.Command(os.Args[0], "serve", "--config", path)
		cmd.Env = append(os.Environ(), "QUILLFRONT_IS_SIDECAR=1", "GW_CONFIG=", tt.env)
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), tt.want) || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%v, %q; want %s", err, out, tt.want)
		}
	}
}

// TestOrdinaryClient runs a script of typical requests with a net/http client that has its default
// settings. docs/design/routes.md records the same with curl and Node.
func TestOrdinaryClient(t *testing.T) {
	files := map[string]string{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch {
		case q.URL.Path == "/x/moved":
			http.Redirect(w, q, "/x/file", http.StatusFound)
		case q.URL.Path == "/x/up":
			sum := sha256.New()
			n, _ := io.Copy(sum, q.Body)
			fmt.Fprintf(w, "%d %x", n, sum.Sum(nil))
		case q.URL.Path == "/x/down":
			io.CopyN(w, zeroReader{}, 64<<20)
		case q.Method == "PUT":
			text, _ := io.ReadAll(q.Body)
			files[q.URL.Path] = string(text)
			w.WriteHeader(http.StatusCreated)
		case q.Method == "DELETE":
			delete(files, q.URL.Path)
			w.WriteHeader(http.StatusNoContent)
		case q.Method == "POST":
			w.Header().Set("Location", "/x/made")
			w.WriteHeader(http.StatusCreated)
		case files[q.URL.Path] == "":
			http.NotFound(w, q)
		default:
			http.ServeContent(w, q, "a.txt", time.Time{}, strings.NewReader(files[q.URL.Path]))
		}
	}))
	defer srv.Close()
	path := filepath.Join(t.TempDir(), "quillfront.toml")
	writeFile(t, path, standaloneConfig(fmt.Sprintf("servers = [{addr = %q}]", srv.Listener.Addr()), []policy.Class{{Name: "x", Aim: 8 * time.Second, Deadline: 9 * time.Second}}, 1))
	base := "http://" + startStandalone(t, path).services["front"] + "/x"
	tr := http.DefaultTransport.(*http.Transport).Clone()
	defer tr.CloseIdleConnections()
	c := &http.Client{Transport: tr}
	zeros := sha256.New()
	io.CopyN(zeros, zeroReader{}, 64<<20)
	sum := fmt.Sprintf("%x", zeros.Sum(nil))
	for _, step := range []struct {
		method, path, send, header string
		status                     int
		want                       string
	}{
		{"GET", "/file", "", "", 404, "404 page not found\n"},
		{"PUT", "/file", "0123456789", "", 201, ""},
		{"GET", "/file", "", "", 200, "0123456789"},
		{"HEAD", "/file", "", "", 200, ""},
		{"GET", "/file", "", "bytes=2-4", 206, "234"},
		{"GET", "/moved", "", "", 200, "0123456789"},
		{"POST", "/", "x", "", 201, ""},
		{"DELETE", "/file", "", "", 204, ""},
		{"GET", "/file", "", "", 404, "404 page not found\n"},
		{"POST", "/up", "zeroes", "", 200, fmt.Sprintf("%d %s", 64<<20, sum)},
		{"GET", "/down", "", "", 200, "zeroes"},
	} {
		var body io.Reader
		switch step.send {
		case "":
		case "zeroes":
			body = io.LimitReader(zeroReader{}, 64<<20)
		default:
			body = strings.NewReader(step.send)
		}
		q, _ := http.NewRequestWithContext(context.Background(), step.method, base+step.path, body)
		if step.header != "" {
			q.Header.Set("Range", step.header)
		}
		resp, err := c.Do(q)
		if err != nil {
			t.Fatalf("%s %s: %v", step.method, step.path, err)
		}
		got := ""
		if step.want == "zeroes" {
			h := sha256.New()
			if _, err := io.Copy(h, resp.Body); err == nil && fmt.Sprintf("%x", h.Sum(nil)) == sum {
				got = "zeroes"
			}
		} else {
			text, _ := io.ReadAll(resp.Body)
			got = string(text)
		}
		resp.Body.Close()
		if resp.StatusCode != step.status || got != step.want {
			t.Errorf("%s %s: %d %.80q, want %d %.80q", step.method, step.path, resp.StatusCode, got, step.status, step.want)
		}
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"

	"quillfront/exclusion"
	"quillfront/internal/config"
	"quillfront/internal/handover"
	"quillfront/internal/management"
	"quillfront/policy"
)

// TestExclude checks that a server that operators have excluded counts as draining whatever
// discovery lists, and as just restarted once it is included again.
func TestExclude(t *testing.T) {
	m := newScriptedModule()
	sc := startSidecar(t, m, "127.0.0.1:1", "127.0.0.1:1")
	managed := managedSidecar{sc.Sidecar}
	if err := managed.Exclude("b"); !errors.Is(err, exclusion.ErrUnknown) {
		t.Errorf("an unknown server: %v", err)
	}
	wantListed := func(want policy.ServerState) policy.Server {
		t.Helper()
		e := receive(t, "list", m.lists)
		if len(e.servers) != 1 || e.servers[0].ID != "a" || e.servers[0].State != want {
			t.Fatalf("the module received %+v, want state %v", e.servers, want)
		}
		return e.servers[0]
	}
	for range 2 {
		if err := managed.Exclude("a"); err != nil {
			t.Fatal(err)
		}
	}
	wantListed(policy.Draining)
	d := newFakeDiscovery(t)
	cfg := sc.Config()
	cfg.Discovery = d.addr
	if err := sc.Reload(cfg, config.Operator{}); err != nil {
		t.Fatal(err)
	}
	watch := receive(t, "watch", d.watches)
	watch.writeHead()
	watch.writeMessage(`{"seq":50,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active"}]}`)
	wantListed(policy.Draining)
	if err := managed.Include("a"); err != nil {
		t.Fatal(err)
	}
	if s := wantListed(policy.Ready); s.Started == 0 {
		t.Error("the server does not count as restarted")
	}
	watch.writeMessage(`{"seq":51,"whole":false,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active"}]}`)
	if s := wantListed(policy.Ready); s.Started == 0 {
		t.Error("an outdated list makes the server count as warm")
	}
	if len(m.lists) > 0 {
		t.Errorf("the module received another list: %+v", receive(t, "list", m.lists))
	}
}

// TestEvacuate checks that a drained sidecar reports that it is not ready, closes each connection
// after its response and idle connections at once, keeps serving, and returns to normal once the
// drain has ended.
func TestEvacuate(t *testing.T) {
	addr := startServer(t, respondText(okResponse))
	sc := startSidecar(t, newScriptedModule(), addr, "127.0.0.1:1")
	managed := managedSidecar{sc.Sidecar}
	eventually(t, "the sidecar is ready", func() bool { return managed.Ready() == nil })
	const probe = "GET /healthz HTTP/1.1\nHost: s\n\n"
	idle, busy := sc.connect(t), sc.connect(t)
	for _, c := range []*testClient{idle, busy} {
		c.write(plainGet)
		if resp, _ := c.read(t); resp.Close {
			t.Fatal("the connection is not kept")
		}
	}
	busy.write("GET /read/k HTTP/1.1\nHost: s\n") // a partial request
	eventually(t, "the partial request is read", func() bool { return sc.server.Stats().Idle == 1 })
	if err := managed.Evacuate(); err != nil {
		t.Fatal(err)
	}
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection: %v, want EOF", err)
	}
	busy.write("X-Request-ID: 1\n\n")
	if resp, _ := busy.read(t); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("the partial request: status %d, close %v", resp.StatusCode, resp.Close)
	}
	if resp, _ := sc.roundTrip(t, probe); resp.StatusCode != http.StatusServiceUnavailable || !errors.Is(managed.Ready(), management.ErrNotReady) {
		t.Errorf("/healthz: status %d; Ready: %v", resp.StatusCode, managed.Ready())
	}
	if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("a new connection: status %d, close %v", resp.StatusCode, resp.Close)
	}
	silent := sc.connect(t)
	if _, err := silent.r.ReadByte(); err != io.EOF {
		t.Errorf("a silent connection: %v, want EOF", err)
	}
	if err := managed.Rejoin(); err != nil {
		t.Fatal(err)
	}
	if resp, _ := sc.roundTrip(t, probe); resp.StatusCode != http.StatusOK || resp.Close || managed.Ready() != nil {
		t.Errorf("after the drain: status %d, close %v; Ready: %v", resp.StatusCode, resp.Close, managed.Ready())
	}
}

// TestTwoProcesses checks that a change by an operator to one process of a sidecar applies to the
// other too, and that both share the descriptors until one ends.
func TestTwoProcesses(t *testing.T) {
	shared := t.TempDir() + "/shared"
	share := func(c *config.Config) { c.SharedDir = shared }
	older := startSidecar(t, newScriptedModule(), "127.0.0.1:1", "127.0.0.1:1", share)
	all := older.limit()
	newer := startSidecar(t, newScriptedModule(), "127.0.0.1:1", "127.0.0.1:1", share)
	eventually(t, "each process has half of the descriptors", func() bool { return older.limit() == (all+1)/2 && newer.limit() == (all+1)/2 })
	if err := (managedSidecar{older.Sidecar}).Exclude("a"); err != nil {
		t.Fatal(err)
	}
	if err := (managedSidecar{newer.Sidecar}).Evacuate(); err != nil {
		t.Fatal(err)
	}
	applied := func(sc *testSidecar) bool {
		sc.mu.Lock()
		defer sc.mu.Unlock()
		_, ok := sc.operatorState.Exclusions.Excluded["a"]
		return ok && sc.operatorState.Evacuated
	}
	eventually(t, "both changes apply to both processes", func() bool { return applied(older) && applied(newer) })
	older.terminate()
	receive(t, "the end of the older process", older.done)
	eventually(t, "the other process has all descriptors", func() bool { return newer.limit() == all })
	third := startSidecar(t, newScriptedModule(), "127.0.0.1:1", "127.0.0.1:1", share)
	if !applied(third) {
		t.Error("the changes do not apply to a third process")
	}
	for _, sc := range []*testSidecar{newer, third} {
		sc.terminate()
		receive(t, "the end of the process", sc.done)
	}
}

// TestConcurrentUpdates checks that no change is lost if many are made at once.
func TestConcurrentUpdates(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), "127.0.0.1:1", "127.0.0.1:1")
	var calls sync.WaitGroup
	for i := range 100 {
		calls.Go(func() {
			sc.updateOperatorState(func(s *handover.State) error {
				runtime.Gosched()
				return s.Exclusions.Exclude(policy.ServerID(fmt.Sprint(i)), func(id policy.ServerID) (exclusion.Entry, bool) { return exclusion.Entry{ID: id}, true }, 1)
			})
		})
	}
	calls.Wait()
	if n := len(sc.operatorState.Exclusions.Excluded); n != 100 {
		t.Errorf("%d of 100 changes are applied", n)
	}
}

// TestReloadSettings checks that new settings apply to new requests, that clients may follow the
// old settings for a while, that open requests keep theirs, and that invalid settings change
// nothing.
func TestReloadSettings(t *testing.T) {
	release := make(chan struct{})
	addr := startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		if q.Header.Get("Idempotency-Key") == "slow" {
			<-release
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}))
	sc := startSidecar(t, nil, addr, "127.0.0.1:1")
	const keyed = "POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nIdempotency-Key: %\nContent-Length: 0\n\n"
	status := func(text string) int {
		resp, _ := sc.roundTrip(t, text)
		return resp.StatusCode
	}
	slow := sc.connect(t)
	slow.write(strings.ReplaceAll(keyed, "%", "slow"))
	eventually(t, "the slow request is open", func() bool { return sc.engine.Snapshot().Open == 1 })
	cfg := sc.Config()
	newCfg, err := loadConfig(t, strings.NewReplacer(
		`"Name":"order","Effect":"idempotency_key"`, `"Name":"order","Effect":"read_like"`,
		`"Name":"pay"`, `"Name":"settle"`, `"SendCap":3`, `"SendCap":2`).Replace(configText(addr, "127.0.0.1:1")))
	if err != nil {
		t.Fatal(err)
	}
	bad := newCfg
	bad.Settings.Config.MaxAttempts = 0
	if err := sc.Reload(bad, config.Operator{}); err == nil || sc.Config().Settings.Config.MaxAttempts != cfg.Settings.Config.MaxAttempts {
		t.Errorf("MaxAttempts 0: %v", err)
	}
	const get, pay, settle = "GET /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\n\n", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 0\n\n",
		"POST /settle/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 0\n\n"
	if got := [...]int{status(get), status(settle), status(pay)}; got != [...]int{405, 404, 200} {
		t.Errorf("before: %v", got)
	}
	if err := sc.Reload(newCfg, config.Operator{}); err != nil {
		t.Fatal(err)
	}
	if got := [...]int{status(get), status(settle), status(pay), status(strings.ReplaceAll(keyed, "%", "x"))}; got != [...]int{200, 200, 200, 200} {
		t.Errorf("during the transition: %v", got)
	}
	eventually(t, "the old settings have ended", func() bool { return status(pay) == 404 })
	if got := [...]int{status(get), status(settle), status(strings.ReplaceAll(keyed, "%", "x"))}; got != [...]int{200, 200, 405} {
		t.Errorf("after: %v", got)
	}
	close(release)
	if resp, body := slow.read(t); resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("the slow request: status %d, body %q", resp.StatusCode, body)
	}
}

// TestTelemetry checks that the metrics show the outcomes of requests and the changes by operators.
func TestTelemetry(t *testing.T) {
	m := newScriptedModule()
	m.onRequest = func(now policy.Time, q policy.Request, act policy.Actions) {
		if q.Key == "no" {
			act.Refuse(q.ID, 0)
			return
		}
		act.Send(q.ID, "a", q.Expires-now)
	}
	sc := startSidecar(t, m, startServer(t, respondText(okResponse)), "127.0.0.1:1")
	for _, key := range []string{"k", "k", "no"} {
		sc.roundTrip(t, strings.Replace(plainGet, "/read/k", "/read/"+key, 1))
	}
	managed := managedSidecar{sc.Sidecar}
	if err := managed.Exclude("a"); err != nil {
		t.Fatal(err)
	}
	sc.ReloadFailed(errors.New("no"))
	rec := httptest.NewRecorder()
	managed.Metrics().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/api/telemetry", nil))
	for _, want := range []string{
		`svc_ok_total{kind="read"} 2`, `svc_shed_total{kind="read"} 1`, `svc_errors_total{kind="read"} 0`,
		`svc_tries_total{kind="read",result="ok"} 2`, `svc_active 0`, `svc_pool_size 1`, `svc_server_out{server="a"} 0`, `svc_pool_out 1`, `svc_pool_draining 0`,
		`svc_config_rejected_total 1`, `svc_config_applied_total 0`, `svc_descriptors_most{of="all"} 240`,
	} {
		if !strings.Contains(rec.Body.String(), want+"\n") {
			t.Errorf("the metrics have no line %q", want)
		}
	}
}

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

// TestExclude: a server that operators have out counts as draining whatever discovery lists meanwhile, and as one that has
// just started once it is back.
func TestExclude(t *testing.T) {
	m := newScriptedModule()
	sc := startSidecar(t, m, "127.0.0.1:1", "127.0.0.1:1")
	o := managedSidecar{sc.Sidecar}
	if err := o.Exclude("b"); !errors.Is(err, exclusion.ErrUnknown) {
		t.Errorf("an unknown server: %v", err)
	}
	told := func(want policy.ServerState) policy.Server {
		t.Helper()
		e := receive(t, "list", m.lists)
		if len(e.servers) != 1 || e.servers[0].ID != "a" || e.servers[0].State != want {
			t.Fatalf("the module is told %+v, want state %v", e.servers, want)
		}
		return e.servers[0]
	}
	for range 2 {
		if err := o.Exclude("a"); err != nil {
			t.Fatal(err)
		}
	}
	told(policy.Draining)
	d := newFakeDiscovery(t)
	cfg := sc.Config()
	cfg.Discovery = d.addr
	if err := sc.Reload(cfg, config.Operator{}); err != nil {
		t.Fatal(err)
	}
	watch := receive(t, "watch", d.watches)
	watch.writeHead()
	watch.writeMessage(`{"seq":50,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active"}]}`)
	told(policy.Draining)
	if err := o.Include("a"); err != nil {
		t.Fatal(err)
	}
	if s := told(policy.Ready); s.Started == 0 {
		t.Error("it does not count as started anew")
	}
	watch.writeMessage(`{"seq":51,"whole":false,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active"}]}`)
	if s := told(policy.Ready); s.Started == 0 {
		t.Error("a list that runs behind makes it warm")
	}
	if len(m.lists) > 0 {
		t.Errorf("the module is told more: %+v", receive(t, "list", m.lists))
	}
}

// TestEvacuate: a drained sidecar says that it is not ready, ends each connection with its answer and closes those that are
// quiet, goes on serving, and is as before once the drain has ended.
func TestEvacuate(t *testing.T) {
	addr := startServer(t, respondText(okResponse))
	sc := startSidecar(t, newScriptedModule(), addr, "127.0.0.1:1")
	o := managedSidecar{sc.Sidecar}
	eventually(t, "ready", func() bool { return o.Ready() == nil })
	const probe = "GET /healthz HTTP/1.1\nHost: s\n\n"
	quiet, busy := sc.connect(t), sc.connect(t)
	for _, c := range []*testClient{quiet, busy} {
		c.write(plainGet)
		if resp, _ := c.read(t); resp.Close {
			t.Fatal("the connection is not kept")
		}
	}
	busy.write("GET /read/k HTTP/1.1\nHost: s\n") // a request that has come in part
	eventually(t, "part of a request is read", func() bool { return sc.server.Stats().Idle == 1 })
	if err := o.Evacuate(); err != nil {
		t.Fatal(err)
	}
	if _, err := quiet.r.ReadByte(); err != io.EOF {
		t.Errorf("a quiet connection: %v", err)
	}
	busy.write("X-Request-ID: 1\n\n")
	if resp, _ := busy.read(t); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("the request that had begun: %d, close %v", resp.StatusCode, resp.Close)
	}
	if resp, _ := sc.roundTrip(t, probe); resp.StatusCode != http.StatusServiceUnavailable || !errors.Is(o.Ready(), management.ErrNotReady) {
		t.Errorf("/healthz is %d, ready is %v", resp.StatusCode, o.Ready())
	}
	if resp, _ := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("a new connection: %d, close %v", resp.StatusCode, resp.Close)
	}
	silent := sc.connect(t)
	if _, err := silent.r.ReadByte(); err != io.EOF {
		t.Errorf("a connection on which nothing comes: %v", err)
	}
	if err := o.Rejoin(); err != nil {
		t.Fatal(err)
	}
	if resp, _ := sc.roundTrip(t, probe); resp.StatusCode != http.StatusOK || resp.Close || o.Ready() != nil {
		t.Errorf("after the drain: %d, close %v, ready is %v", resp.StatusCode, resp.Close, o.Ready())
	}
}

// TestSharedByTwo: what one process of a sidecar is told to do the other does too, and both share the descriptors until one
// ends.
func TestSharedByTwo(t *testing.T) {
	shared := t.TempDir() + "/shared"
	share := func(c *config.Config) { c.Shared = shared }
	older := startSidecar(t, newScriptedModule(), "127.0.0.1:1", "127.0.0.1:1", share)
	alone := older.limit()
	newer := startSidecar(t, newScriptedModule(), "127.0.0.1:1", "127.0.0.1:1", share)
	eventually(t, "both have half", func() bool { return older.limit() == (alone+1)/2 && newer.limit() == (alone+1)/2 })
	if err := (managedSidecar{older.Sidecar}).Exclude("a"); err != nil {
		t.Fatal(err)
	}
	if err := (managedSidecar{newer.Sidecar}).Evacuate(); err != nil {
		t.Fatal(err)
	}
	out := func(sc *testSidecar) bool {
		sc.mu.Lock()
		defer sc.mu.Unlock()
		_, ok := sc.operatorState.Absences.Excluded["a"]
		return ok && sc.operatorState.Evacuated
	}
	eventually(t, "both do what either was told", func() bool { return out(older) && out(newer) })
	older.terminate()
	receive(t, "end", older.done)
	eventually(t, "the other has all", func() bool { return newer.limit() == alone })
	again := startSidecar(t, newScriptedModule(), "127.0.0.1:1", "127.0.0.1:1", share)
	if !out(again) {
		t.Error("a third process knows nothing of it")
	}
	for _, sc := range []*testSidecar{newer, again} {
		sc.terminate()
		receive(t, "end", sc.done)
	}
}

// TestCallsAtOnce: of many calls at once each is kept.
func TestCallsAtOnce(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), "127.0.0.1:1", "127.0.0.1:1")
	var calls sync.WaitGroup
	for i := range 100 {
		calls.Go(func() {
			sc.updateOperatorState(func(s *handover.State) error {
				runtime.Gosched()
				return s.Absences.Exclude(policy.ServerID(fmt.Sprint(i)), func(id policy.ServerID) (exclusion.Entry, bool) { return exclusion.Entry{ID: id}, true }, 1)
			})
		})
	}
	calls.Wait()
	if n := len(sc.operatorState.Absences.Excluded); n != 100 {
		t.Errorf("%d of 100 are kept", n)
	}
}

// TestRetune: new settings hold for what comes after them, clients may go by the old ones for a while, open requests keep
// theirs, and settings that cannot be used change nothing.
func TestRetune(t *testing.T) {
	open := make(chan struct{})
	addr := startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		if q.Header.Get("Idempotency-Key") == "slow" {
			<-open
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
	eventually(t, "it is open", func() bool { return sc.engine.Snapshot().Open == 1 })
	cfg := sc.Config()
	next, err := loadConfig(t, strings.NewReplacer(
		`"Name":"order","Effect":"idempotency_key"`, `"Name":"order","Effect":"read_like"`,
		`"Name":"pay"`, `"Name":"settle"`, `"SendCap":3`, `"SendCap":2`).Replace(configText(addr, "127.0.0.1:1")))
	if err != nil {
		t.Fatal(err)
	}
	bad := next
	bad.Settings.Config.MaxAttempts = 0
	if err := sc.Reload(bad, config.Operator{}); err == nil || sc.Config().Settings.Config.MaxAttempts != cfg.Settings.Config.MaxAttempts {
		t.Errorf("no attempts: %v", err)
	}
	const get, pay, settle = "GET /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\n\n", "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 0\n\n",
		"POST /settle/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nContent-Length: 0\n\n"
	if got := [...]int{status(get), status(settle), status(pay)}; got != [...]int{405, 404, 200} {
		t.Errorf("before: %v", got)
	}
	if err := sc.Reload(next, config.Operator{}); err != nil {
		t.Fatal(err)
	}
	if got := [...]int{status(get), status(settle), status(pay), status(strings.ReplaceAll(keyed, "%", "x"))}; got != [...]int{200, 200, 200, 200} {
		t.Errorf("while clients change over: %v", got)
	}
	eventually(t, "the old rules have ended", func() bool { return status(pay) == 404 })
	if got := [...]int{status(get), status(settle), status(strings.ReplaceAll(keyed, "%", "x"))}; got != [...]int{200, 200, 405} {
		t.Errorf("after: %v", got)
	}
	close(open)
	if resp, body := slow.read(t); resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("the request that was open: %d %q", resp.StatusCode, body)
	}
}

// TestTelemetry: the figures tell what has become of requests, and what operators have asked for.
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
	o := managedSidecar{sc.Sidecar}
	if err := o.Exclude("a"); err != nil {
		t.Fatal(err)
	}
	sc.ReloadFailed(errors.New("no"))
	rec := httptest.NewRecorder()
	o.Metrics().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/api/telemetry", nil))
	for _, want := range []string{
		`svc_ok_total{kind="read"} 2`, `svc_shed_total{kind="read"} 1`, `svc_errors_total{kind="read"} 0`,
		`svc_tries_total{kind="read",result="ok"} 2`, `svc_active 0`, `svc_pool_size 1`, `svc_server_out{server="a"} 0`, `svc_pool_out 1`, `svc_pool_draining 0`,
		`svc_config_rejected_total 1`, `svc_config_applied_total 0`, `svc_descriptors_most{of="all"} 240`,
	} {
		if !strings.Contains(rec.Body.String(), want+"\n") {
			t.Errorf("no line %q", want)
		}
	}
}

package pool

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quillfront/internal/engine"
	"quillfront/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// unreachableTransport is a transport that reaches no server.
type unreachableTransport struct{}

func (unreachableTransport) Do(*engine.Attempt, engine.Endpoint) engine.AttemptResult {
	return engine.AttemptResult{Status: policy.ConnectFailed}
}
func (unreachableTransport) Probe(context.Context, engine.Endpoint) (policy.Status, *policy.Load) {
	return policy.ConnectFailed, nil
}
func (unreachableTransport) CloseIdle(engine.Endpoint) {}

func config() Config {
	return Config{
		Name: "p", Servers: []Server{{ID: "a", Addr: "127.0.0.1:1"}, {Addr: "127.0.0.1:2", Drain: true}},
		Classes: []Class{{Name: "sql", ByRequest: true, Aim: time.Second, Deadline: 2 * time.Second}},
	}
}

// TestPool checks that the static list is known from the start, that Reload replaces the list and
// the classes, and that an invalid configuration changes nothing.
func TestPool(t *testing.T) {
	p, err := config().Open(unreachableTransport{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if !p.ServerUsable("a") || p.ServerUsable("127.0.0.1:2") || p.ServerUsable("c") {
		t.Error("the server list differs from the configuration")
	}
	if c, ok := p.Class("sql"); !ok || c.Effect != policy.Unsafe {
		t.Errorf("class %+v", c)
	}
	if c, ok := p.Class(SafeClass("sql")); !ok || c.Effect != policy.Safe {
		t.Errorf("class %+v of the safe requests", c)
	}
	next := config()
	next.Servers[0].Drain, next.Servers[1].Drain, next.Classes[0].Name = true, false, "other"
	if err := p.Reload(next); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); p.ServerUsable("a") || !p.ServerUsable("127.0.0.1:2"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("Reload did not replace the server list")
		}
	}
	if _, ok := p.Class("other"); !ok {
		t.Error("Reload did not replace the classes")
	}
	invalid := config()
	invalid.Servers[0].Addr = "nowhere"
	if err := p.Reload(invalid); err == nil {
		t.Error("Reload accepted a list with an invalid address")
	}
	discovered := config()
	discovered.Servers, discovered.Discovery = nil, "127.0.0.1:9"
	if err := p.Reload(discovered); err == nil {
		t.Error("Reload accepted discovery in place of a static list")
	}
	if p.ServerUsable("a") || !p.ServerUsable("127.0.0.1:2") {
		t.Error("an invalid configuration changed the server list")
	}
}

// TestLoadAddr checks that a server has a load address only if a load port is configured.
func TestLoadAddr(t *testing.T) {
	c := config()
	to := engine.Endpoint{Addr: "127.0.0.1:3306"}
	if got := c.LoadAddr(to); got != "" {
		t.Errorf("without a load port: %q", got)
	}
	c.LoadPort = 9100
	if got := c.LoadAddr(to); got != "127.0.0.1:9100" {
		t.Errorf("with a load port: %q", got)
	}
}

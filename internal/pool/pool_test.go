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

// nobody is a transport that reaches nobody.
type nobody struct{}

func (nobody) Do(*engine.Attempt, engine.Endpoint) engine.AttemptResult {
	return engine.AttemptResult{Status: policy.ConnectFailed}
}
func (nobody) Probe(context.Context, engine.Endpoint) (policy.Status, *policy.Load) {
	return policy.ConnectFailed, nil
}
func (nobody) CloseIdle(engine.Endpoint) {}

func config() Config {
	return Config{
		Name: "p", Servers: []Server{{ID: "a", Addr: "127.0.0.1:1"}, {Addr: "127.0.0.1:2", Drain: true}},
		Classes: []Class{{Name: "sql", ByRequest: true, Aim: time.Second, Deadline: 2 * time.Second}},
	}
}

// TestPool: the list is known from the start on, a reload changes it and the classes, and one that cannot be used changes nothing.
func TestPool(t *testing.T) {
	p, err := config().Open(nobody{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if !p.ServerUsable("a") || p.ServerUsable("127.0.0.1:2") || p.ServerUsable("c") {
		t.Error("the list is not that of the configuration")
	}
	if c, ok := p.Class("sql"); !ok || c.Effect != policy.Unsafe {
		t.Errorf("class %+v", c)
	}
	if c, ok := p.Class(SafeClass("sql")); !ok || c.Effect != policy.Safe {
		t.Errorf("class %+v of what may be repeated", c)
	}
	next := config()
	next.Servers[0].Drain, next.Servers[1].Drain, next.Classes[0].Name = true, false, "other"
	if err := p.Reload(next); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); p.ServerUsable("a") || !p.ServerUsable("127.0.0.1:2"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the list is not taken over")
		}
	}
	if _, ok := p.Class("other"); !ok {
		t.Error("the classes are not taken over")
	}
	bad := config()
	bad.Servers[0].Addr = "nowhere"
	if err := p.Reload(bad); err == nil {
		t.Error("a list with a wrong address is taken")
	}
	far := config()
	far.Servers, far.Discovery = nil, "127.0.0.1:9"
	if err := p.Reload(far); err == nil {
		t.Error("a discovery in place of a list is taken without a restart")
	}
	if p.ServerUsable("a") || !p.ServerUsable("127.0.0.1:2") {
		t.Error("what cannot be used has changed something")
	}
}

func TestLoadAddr(t *testing.T) {
	c := config()
	to := engine.Endpoint{Addr: "127.0.0.1:3306"}
	if got := c.LoadAddr(to); got != "" {
		t.Errorf("without a port: %q", got)
	}
	c.LoadPort = 9100
	if got := c.LoadAddr(to); got != "127.0.0.1:9100" {
		t.Errorf("%q", got)
	}
}

package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"quillfront/internal/config"
	"strings"
	"testing"
	"time"

	"quillfront/policy"
)

// startWatchingSidecar starts a sidecar whose module has asked for a watch.
func startWatchingSidecar(t *testing.T) (*testSidecar, *scriptedModule, *fakeDiscovery, *watchConn) {
	m, d := newScriptedModule(), newFakeDiscovery(t)
	sc := startSidecar(t, m, "127.0.0.1:1", d.addr)
	sc.startWatch()
	return sc, m, d, receive(t, "watch", d.watches)
}

func (sc *testSidecar) startWatch() { sc.runActions(func(act policy.Actions) { act.Watch(true) }) }

func TestWatch(t *testing.T) {
	sc, m, d, c := startWatchingSidecar(t)
	if c.query != "/v1/servers?follow=1&since=41" {
		t.Errorf("watch asks for %q", c.query)
	}
	c.writeHead()
	c.writeMessage("")
	c.writeMessage(`{"seq":42,"whole":false,"novel":1,"hosts":[{"host":"b","dial":"127.0.0.1:2","site":"y","class":"m","block":7,"health":"active","share":0.5,"born_ms":1700000000123,"novel":2}]}`)
	e := receive(t, "list", m.lists)
	if e.kind != policy.ListDelta || len(e.servers) != 1 {
		t.Fatalf("event %+v", e)
	}
	b := e.servers[0]
	if b.ID != "b" || b.State != policy.Ready || b.Zone != "y" || b.Cell != 7 || b.Weight != 0.5 || b.Started == 0 {
		t.Errorf("server %+v", b)
	}
	c.writeMessage(`{"seq":43,"whole":false,"hosts":[{"host":"b","dial":"127.0.0.1:3","site":"y","block":7,"health":"leaving","share":1,"born_ms":1700000000123}]}`)
	e = receive(t, "list", m.lists)
	if e.servers[0].State != policy.Draining || e.servers[0].Started != b.Started {
		t.Errorf("server %+v; a time that is said again must stay the same", e.servers[0])
	}
	dials := func() string {
		m := map[policy.ServerID]string{}
		for _, s := range sc.engine.Snapshot().Servers {
			m[s.ID] = s.Addr
		}
		return fmt.Sprint(m)
	}
	if got := dials(); got != "map[a:127.0.0.1:1 b:127.0.0.1:3]" {
		t.Errorf("addresses %s, want b's new one", got)
	}
	c.writeMessage(`{"seq":44,"whole":false,"hosts":[{"host":"b","dial":"","health":"left"},{"host":"a","dial":"127.0.0.1:1","health":"active","born_ms":1700000009000}]}`)
	e = receive(t, "list", m.lists)
	if e.servers[0].State != policy.Gone || e.servers[1].Started == 0 || e.servers[1].Started == b.Started {
		t.Errorf("servers %+v", e.servers)
	}
	c.writeMessage(`{"seq":45,"whole":true,"hosts":[{"host":"c","dial":"127.0.0.1:4","health":"active"}]}`)
	if e = receive(t, "list", m.lists); e.kind != policy.ListFull || e.servers[0].Started != 0 {
		t.Errorf("event %+v", e)
	}
	if got := dials(); got != "map[c:127.0.0.1:4]" {
		t.Errorf("addresses %s, want those of the whole list alone", got)
	}
	c.Close()
	if e = receive(t, "failure", m.lists); e.kind != policy.ListFailed || len(e.servers) != 0 {
		t.Errorf("event %+v, want ListFailed", e)
	}
	if len(d.watches) > 0 {
		t.Error("the sidecar asked again of its own accord")
	}
	sc.startWatch()
	if c = receive(t, "second watch", d.watches); !strings.HasSuffix(c.query, "since=45") {
		t.Errorf("watch asks for %q, want since=45", c.query)
	}
	sc.runActions(func(act policy.Actions) { act.Watch(false) })
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("a watch that is called off stays open")
	}
}

// TestReloadMovesDiscovery: a new address is asked at once for its whole list, as versions of the old one mean nothing
// there, and the old watch ends. The same address again changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	sc, m, _, old := startWatchingSidecar(t)
	old.writeHead()
	old.writeMessage(`{"seq":90,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active"}]}`)
	receive(t, "list", m.lists)
	d := newFakeDiscovery(t)
	cfg := sc.cfg
	cfg.Discovery = d.addr
	sc.Reload(cfg, config.Operator{})
	c := receive(t, "watch at the new address", d.watches)
	if c.query != "/v1/servers?follow=1" {
		t.Errorf("watch asks for %q", c.query)
	}
	old.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := old.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the old watch: %v, want its end", err)
	}
	c.writeHead()
	c.writeMessage(`{"seq":3,"whole":true,"hosts":[{"host":"b","dial":"127.0.0.1:2","health":"active"}]}`)
	if e := receive(t, "list", m.lists); e.kind != policy.ListFull || e.servers[0].ID != "b" {
		t.Errorf("event %+v, want the new list and no failure", e)
	}
	sc.Reload(cfg, config.Operator{})
	c.writeMessage(`{"seq":4,"whole":false,"hosts":[]}`)
	if e := receive(t, "list", m.lists); e.kind != policy.ListDelta || len(d.watches) > 0 {
		t.Errorf("event %+v, and %d more watches, though the address stayed", e, len(d.watches))
	}
}

// TestWatchFails: whatever goes wrong with a watch, the list stays and the module is told once.
func TestWatchFails(t *testing.T) {
	tests := []struct {
		name  string
		serve func(c *watchConn)
	}{
		{"refused", func(c *watchConn) { io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") }},
		{"reset", func(c *watchConn) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() }},
		{"no HTTP", func(c *watchConn) { io.WriteString(c, "HELLO\r\n\r\n") }},
		{"a line that is cut", func(c *watchConn) {
			c.writeHead()
			c.writeMessage(`{"seq":50,"whole":true,"hosts":[{"host":"b","dial":"127.`)
		}},
		{"malformed line", func(c *watchConn) { c.writeHead(); c.writeMessage(`{"seq":`) }},
		{"no version", func(c *watchConn) { c.writeHead(); c.writeMessage(`{"whole":true,"hosts":[]}`) }},
		{"wrong type", func(c *watchConn) { c.writeHead(); c.writeMessage(`{"seq":50,"whole":true,"hosts":[{"host":7}]}`) }},
		{"endless line", func(c *watchConn) { c.writeHead(); c.writeMessage(strings.Repeat(" ", (1<<20)+1)) }},
		{"endless head", func(c *watchConn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 2*(64<<10)))
		}},
		{"a message that trickles", func(c *watchConn) {
			c.writeHead()
			for text := `{"seq":50,"whole":true,"hosts":[` + strings.Repeat(" ", 1000); text != ""; text = text[1:] {
				if _, err := fmt.Fprintf(c, "1\r\n%c\r\n", text[0]); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond) // it has to be slow: that is what is tested
			}
		}},
		{"end", func(c *watchConn) { c.writeHead(); io.WriteString(c, "0\r\n\r\n") }},
		{"silence from the start", func(c *watchConn) {}},
		{"silence later", func(c *watchConn) { c.writeHead(); c.writeMessage("") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel() // some of them wait for silence to end
			sc, m, _, c := startWatchingSidecar(t)
			go tt.serve(c)
			if e := receive(t, "failure", m.lists); e.kind != policy.ListFailed {
				t.Fatalf("event %+v, want ListFailed", e)
			}
			if len(m.lists) > 0 || len(sc.engine.Snapshot().Servers) != 1 || sc.engine.Snapshot().ListSeq != 41 || sc.engine.Snapshot().Watching {
				t.Errorf("%d more events, addresses %v, version %d", len(m.lists), sc.engine.Snapshot().Servers, sc.engine.Snapshot().ListSeq)
			}
		})
	}
}

// TestSpoiltEntries: of a list with entries that cannot be used the others count, what stood of those stays, a drain is kept
// whatever else its entry says, and the watch goes on.
func TestSpoiltEntries(t *testing.T) {
	sc, m, d, c := startWatchingSidecar(t)
	c.writeHead()
	c.writeMessage(`{"seq":42,"whole":true,"hosts":[{"host":"a","dial":"nowhere","health":"active"},{"host":"b","dial":"127.0.0.1:2","health":"active"},` +
		`{"host":"c","dial":"127.0.0.1:0","health":"active"},{"host":"d","dial":"127.0.0.1:4","health":"odd"},{"host":"","dial":"127.0.0.1:5","health":"active"}]}`)
	if e := receive(t, "list", m.lists); e.kind != policy.ListFull || len(e.servers) != 2 {
		t.Fatalf("event %+v, want a, as it stood, and b", e)
	}
	c.writeMessage(`{"seq":43,"hosts":[{"host":"b","dial":"127.0.0.1:99999","health":"leaving"},{"host":"a","dial":"127.0.0.1:7","health":"leaving"},{"host":"a","dial":"127.0.0.1:7","health":"active"}]}`)
	e := receive(t, "changes", m.lists)
	if len(e.servers) != 2 || e.servers[0].State != policy.Draining || e.servers[1].State != policy.Draining {
		t.Errorf("event %+v, want both draining", e)
	}
	for _, s := range sc.engine.Snapshot().Servers {
		if want := map[policy.ServerID]string{"a": "127.0.0.1:7", "b": "127.0.0.1:2"}[s.ID]; s.Addr != want {
			t.Errorf("%s is at %q, want %q", s.ID, s.Addr, want)
		}
	}
	if len(d.watches) > 0 || !sc.engine.Snapshot().Watching {
		t.Error("the watch has ended")
	}
}

// TestDiscoveryRefused: nobody listens.
func TestDiscoveryRefused(t *testing.T) {
	m := newScriptedModule()
	sc := startSidecar(t, m, "127.0.0.1:1", "127.0.0.1:1")
	sc.startWatch()
	if e := receive(t, "failure", m.lists); e.kind != policy.ListFailed {
		t.Errorf("event %+v, want ListFailed", e)
	}
}

// TestIndentedLists: a message may stand on many lines, be cut anywhere, and come together with the one behind it.
func TestIndentedLists(t *testing.T) {
	_, m, d, c := startWatchingSidecar(t)
	var all strings.Builder
	for seq, dial := range []string{"127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"} {
		one := fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[{"host":"b","dial":%q,"site":"y } ] \" {","health":"active"}]}`, 42+seq, dial)
		var text bytes.Buffer
		if err := json.Indent(&text, []byte(one), "", "  "); err != nil {
			t.Fatal(err)
		}
		all.WriteString(text.String())
		all.WriteString("\n\n")
	}
	c.writeHead()
	c.writeMessage(all.String()) // whole
	for range 3 {
		receive(t, "list", m.lists)
	}
	for _, b := range []byte(all.String()) { // and byte by byte
		fmt.Fprintf(c, "1\r\n%c\r\n", b)
	}
	for range 3 {
		if e := receive(t, "list", m.lists); e.kind != policy.ListDelta || len(e.servers) != 1 || e.servers[0].ID != "b" {
			t.Fatalf("event %+v", e)
		}
	}
	if len(d.watches) > 0 {
		t.Error("the watch has ended")
	}
}

// TestPushedListsAreWatched: where lists are pushed, an agent has to be listened to from the start, as what it has counts as told. One
// that takes a call and says nothing is asked again within the 2 s that a drain leaves once it has it.
func TestPushedListsAreWatched(t *testing.T) {
	d := newFakeDiscovery(t)
	sc := startSidecar(t, nil, "127.0.0.1:1", d.addr, func(c *config.Config) { c.Settings.Config.ListPushed = true })
	receive(t, "first call", d.watches)
	for range 5 { // pauses grow with each
		before := time.Now()
		receive(t, "next call", d.watches)
		if took := time.Since(before); took >= 2*time.Second {
			t.Errorf("asked again after %v", took)
		}
	}
	c := receive(t, "call", d.watches)
	c.writeHead()
	c.writeMessage(`{"seq":50,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"leaving"}]}`)
	eventually(t, "the drain is known", func() bool {
		all := sc.engine.Snapshot().Servers
		return len(all) == 1 && all[0].State == policy.Draining
	})
}

// TestSilentAfterSilent: a watch that says nothing from its first moment is given up in time for the next call, by which what it
// missed is known before it counts: 6 s later, and 2 s that a drain leaves.
func TestSilentAfterSilent(t *testing.T) {
	t.Parallel() // it waits for silence to end
	var all []*fakeDiscovery
	for _, seed := range []uint64{0, 2, 4, 7} { // which draws pauses that are long
		d := newFakeDiscovery(t)
		all = append(all, d)
		startSidecar(t, nil, "127.0.0.1:1", d.addr, func(c *config.Config) { c.Settings.Config.RefreshInterval, c.Seed = 10*time.Second, seed })
	}
	for _, d := range all {
		c := receive(t, "first watch", d.watches)
		c.writeHead()
		c.writeMessage("")
	}
	for i, d := range all {
		second := receive(t, "second watch", d.watches) // silent from its first moment
		if took := receive(t, "third watch", d.watches).requestedAt.Sub(second.requestedAt); took >= 8*time.Second {
			t.Errorf("%d: asked again after %v", i, took)
		}
	}
}

package peering

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quillfront/internal/filelist"
	"quillfront/members"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// free returns an address that was free a moment ago.
func free(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

func config(name, listen string, seeds ...string) Config {
	c := Config{Listen: listen, Node: members.Config{Name: name, Cluster: "c", Linger: 100 * time.Millisecond}}
	for _, s := range seeds {
		c.Seeds = append(c.Seeds, netip.MustParseAddrPort(s))
	}
	return c
}

// run starts a Peers, and returns what ends it.
func run(t *testing.T, c Config, on Hooks) (*Host, func()) {
	t.Helper()
	p, err := New(c, on, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	end := sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(end)
	return p, end
}

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: " + what)
		}
	}
}

// TestPeers: processes find one another by a seed and by a file that comes later, share by their number, hear of servers that leave, and
// hold for left who says goodbye.
func TestPeers(t *testing.T) {
	at := []string{free(t), free(t), free(t)}
	file := filepath.Join(t.TempDir(), "seeds.json")
	var mu sync.Mutex
	var groups []int
	hinted := make(chan string, 8)
	a, _ := run(t, config("a", at[0]), Hooks{
		Estimator: &members.GroupEstimator{Configured: 2, MaxShareFactor: 2, HalfLife: time.Hour}, GroupChanged: func(g int) { mu.Lock(); groups = append(groups, g); mu.Unlock() },
		HintReceived: func(server string) { hinted <- server },
	})
	_, endB := run(t, config("b", at[1], at[0]), Hooks{})
	c := config("c", at[2])
	c.SeedSource = filelist.Source{Path: file, Every: 10 * time.Millisecond, Log: slog.New(slog.DiscardHandler)}
	pc, _ := run(t, c, Hooks{})
	await(t, "two", func() bool { return a.View().Live == 2 })
	if err := os.WriteFile(file, []byte(fmt.Sprintf(`{"servers":[{"id":"s","addr":%q}]}`, at[1])), 0o600); err != nil {
		t.Fatal(err)
	}
	await(t, "three", func() bool { return a.View().Live == 3 && a.View().Digest == pc.View().Digest })
	mu.Lock()
	if !slices.Equal(groups, []int{3}) {
		t.Errorf("told of %v", groups)
	}
	mu.Unlock()
	pc.Hint("box-1")
	select {
	case s := <-hinted:
		if s != "box-1" {
			t.Error(s)
		}
	case <-time.After(10 * time.Second):
		t.Error("no hint")
	}
	endB()
	state := func() string {
		w := httptest.NewRecorder()
		a.ServeHTTP(w, nil)
		var v View
		if err := json.Unmarshal(w.Body.Bytes(), &v); err != nil {
			t.Fatal(err)
		}
		return v.Members[1].State
	}
	await(t, "a goodbye", func() bool { return state() == "left" && pc.View().Live == 2 })
	if f := a.Metrics(); f.States["left"] != 1 || f.Live != 2 || f.Group != 3 || f.SentBytes == 0 || f.ReceivedBytes == 0 {
		t.Errorf("%+v", f)
	}
	if _, err := New(Config{Listen: "x"}, Hooks{}, slog.Default()); err == nil {
		t.Error("an address that is none")
	}
	d, err := New(config("d", at[0]), Hooks{}, slog.New(slog.DiscardHandler))
	if err != nil || d.Listen() == nil {
		t.Errorf("an address that is taken: %v", err)
	}
}

// TestBounds: who sends too much is not read, and what a process sends stays within its bound, strangers' part within a quarter of that.
func TestBounds(t *testing.T) {
	at := free(t)
	c := config("a", at)
	c.MaxSendRate = leastBytes
	p, _ := run(t, c, Hooks{})
	s, err := net.Dial("udp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	// A stranger's pings, which are answered where it says that it is.
	q, err := members.New(members.Config{Name: "s", Cluster: "c", Address: netip.MustParseAddrPort(s.LocalAddr().String()), Epoch: 1})
	if err != nil {
		t.Fatal(err)
	}
	q.SetSeeds([]netip.AddrPort{netip.MustParseAddrPort(at)})
	q.Tick(time.Second)
	sends, _ := q.Ready()
	for range 5 * perSource {
		s.Write(sends[0].Data)
		time.Sleep(20 * time.Microsecond)
	}
	await(t, "the flood", func() bool { return p.Metrics().ReceiveLimited > 0 })
	f := p.Metrics()
	took := p.now().Seconds()
	if f.SendLimited == 0 || float64(f.SentBytes) > leastBytes/4*(took+2) {
		t.Errorf("%d bytes in %.1f s, %d over", f.SentBytes, took, f.SendLimited)
	}
}

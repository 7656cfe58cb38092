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

// freeAddress returns an address that was free a moment ago.
func freeAddress(t *testing.T) string {
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

// start starts a Host and returns it with a function that stops it.
func start(t *testing.T, c Config, hooks Hooks) (*Host, func()) {
	t.Helper()
	h, err := New(c, hooks, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); h.Run(ctx) }()
	stop := sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(stop)
	return h, stop
}

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

// TestHosts checks that processes find one another by a seed and by a file created later, share
// limits by their number, receive hints about servers, and record a process that announces its
// departure as left.
func TestHosts(t *testing.T) {
	addrs := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	file := filepath.Join(t.TempDir(), "seeds.json")
	var mu sync.Mutex
	var groups []int
	hinted := make(chan string, 8)
	hostA, _ := start(t, config("a", addrs[0]), Hooks{
		Estimator: &members.GroupEstimator{Configured: 2, MaxShareFactor: 2, HalfLife: time.Hour}, GroupChanged: func(g int) { mu.Lock(); groups = append(groups, g); mu.Unlock() },
		HintReceived: func(server string) { hinted <- server },
	})
	_, stopB := start(t, config("b", addrs[1], addrs[0]), Hooks{})
	configC := config("c", addrs[2])
	configC.SeedSource = filelist.Source{Path: file, PollInterval: 10 * time.Millisecond, Log: slog.New(slog.DiscardHandler)}
	hostC, _ := start(t, configC, Hooks{})
	await(t, "two members", func() bool { return hostA.View().Live == 2 })
	if err := os.WriteFile(file, []byte(fmt.Sprintf(`{"servers":[{"id":"s","addr":%q}]}`, addrs[1])), 0o600); err != nil {
		t.Fatal(err)
	}
	await(t, "three members", func() bool { return hostA.View().Live == 3 && hostA.View().Digest == hostC.View().Digest })
	mu.Lock()
	if !slices.Equal(groups, []int{3}) {
		t.Errorf("GroupChanged received %v", groups)
	}
	mu.Unlock()
	hostC.Hint("box-1")
	select {
	case s := <-hinted:
		if s != "box-1" {
			t.Error(s)
		}
	case <-time.After(10 * time.Second):
		t.Error("no hint received")
	}
	stopB()
	state := func() string {
		w := httptest.NewRecorder()
		hostA.ServeHTTP(w, nil)
		var v View
		if err := json.Unmarshal(w.Body.Bytes(), &v); err != nil {
			t.Fatal(err)
		}
		return v.Members[1].State
	}
	await(t, "the departure of b", func() bool { return state() == "left" && hostC.View().Live == 2 })
	if metrics := hostA.Metrics(); metrics.States["left"] != 1 || metrics.Live != 2 || metrics.Group != 3 || metrics.SentBytes == 0 || metrics.ReceivedBytes == 0 {
		t.Errorf("%+v", metrics)
	}
	if _, err := New(Config{Listen: "x"}, Hooks{}, slog.Default()); err == nil {
		t.Error("an invalid listen address was accepted")
	}
	hostD, err := New(config("d", addrs[0]), Hooks{}, slog.New(slog.DiscardHandler))
	if err != nil || hostD.Listen() == nil {
		t.Errorf("Listen succeeded on an address in use; New: %v", err)
	}
}

// TestRateLimits checks that excess datagrams of one source are not read, and that a process sends
// no more than its limit, of which unknown senders cause at most a quarter.
func TestRateLimits(t *testing.T) {
	listen := freeAddress(t)
	c := config("a", listen)
	c.MaxSendRate = minSendRate
	h, _ := start(t, c, Hooks{})
	conn, err := net.Dial("udp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// Pings of an unknown sender, which are answered at the address that it claims.
	stranger, err := members.New(members.Config{Name: "s", Cluster: "c", Address: netip.MustParseAddrPort(conn.LocalAddr().String()), Epoch: 1})
	if err != nil {
		t.Fatal(err)
	}
	stranger.SetSeeds([]netip.AddrPort{netip.MustParseAddrPort(listen)})
	stranger.Tick(time.Second)
	sends, _ := stranger.Ready()
	for range 5 * maxPerSource {
		conn.Write(sends[0].Data)
		time.Sleep(20 * time.Microsecond)
	}
	await(t, "dropped datagrams", func() bool { return h.Metrics().ReceiveLimited > 0 })
	metrics := h.Metrics()
	elapsed := h.now().Seconds()
	if metrics.SendLimited == 0 || float64(metrics.SentBytes) > minSendRate/4*(elapsed+2) {
		t.Errorf("%d bytes sent in %.1f s, %d datagrams over the limit", metrics.SentBytes, elapsed, metrics.SendLimited)
	}
}

package policy

import (
	"bufio"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

var record = flag.Bool("record", false, "rewrite testdata/scripts.txt with the current behavior")

// runScript simulates a host with a fleet drawn from seed: requests, outcomes, probes, list
// updates, timers and disconnects. It returns a hash of all actions so far after every 100th
// event. The random numbers of the host are independent of those of the Balancer.
func runScript(t *testing.T, seed uint64, events int) (hashes []string) {
	rng := rand.New(rand.NewPCG(seed, 99))
	cfg := testConfig()
	cfg.MayProbe, cfg.MayDuplicate, cfg.ClientsHonorRetryAfter = seed%4 != 1, seed%3 != 1, seed%2 == 0
	cfg.ServersCacheKeys, cfg.MaxRetryAfter = seed%5 == 2, time.Second
	if seed%4 == 2 {
		cfg.CrossZoneTariff, cfg.ConnectionTariff, cfg.HandshakeTariff = 1, 0.05, 0.01
	}
	cfg.GroupSize, cfg.Ordinal = 10, int(seed%10)
	n := 1 + rng.IntN(14)
	b, rec := newTestBalancer(t, cfg, n)
	type sent struct {
		id      RequestID
		attempt int
		server  ServerID
		at      Time
	}
	var out []sent
	var probes []ServerID
	timers := map[string]Time{}
	attempts := map[RequestID]int{}
	now := time.Minute
	sum := fnv.New64a()
	drain := func() {
		for _, l := range rec.take("") {
			fmt.Fprintln(sum, l)
			var id RequestID
			var s ServerID
			switch f := strings.Fields(l); f[0] {
			case "send":
				fmt.Sscanf(l, "send %d %s", &id, &s)
				out = append(out, sent{id, attempts[id], s, now})
				attempts[id]++
			case "probe":
				probes = append(probes, ServerID(f[1]))
			case "timer":
				d, err := time.ParseDuration(f[1])
				if err != nil {
					t.Fatal(err)
				}
				timers[f[2]] = now + d
			}
		}
	}
	load := func() *Load {
		if rng.IntN(4) == 0 {
			return nil
		}
		return &Load{Queue: float64(rng.IntN(12)), Inflight: -1}
	}
	classes := []string{"safe", "keyed", "zonal", "cellular", "unsafe", "unknown"}
	for e := range events {
		now += time.Duration(rng.IntN(4000)) * time.Microsecond
		for _, tok := range sortedKeys(timers) {
			if timers[tok] <= now {
				delete(timers, tok)
				b.Timer(now, tok, rec)
				drain()
			}
		}
		switch k := rng.IntN(100); {
		case k < 35:
			q := Request{ID: RequestID(e + 1), Class: classes[rng.IntN(len(classes))], Key: fmt.Sprint(rng.IntN(50)), Retry: rng.IntN(5) == 0,
				Cost: time.Duration(rng.IntN(9)) * time.Millisecond, Expires: now + time.Duration(50+rng.IntN(900))*time.Millisecond}
			if rng.IntN(20) == 0 {
				q.PriorAttempts = []PriorAttempt{{Zone: "a", Age: time.Duration(rng.IntN(400)) * time.Millisecond}}
			}
			b.Request(now, q, rec)
		case k < 70 && len(out) > 0:
			i := rng.IntN(len(out))
			o := out[i]
			out = append(out[:i], out[i+1:]...)
			status := OK
			if rng.IntN(4) == 0 {
				status = Status(rng.IntN(int(Rejected) + 1))
			}
			b.Outcome(now, Outcome{ID: o.id, Attempt: o.attempt, Server: o.server, Status: status, Delay: now - o.at, Final: status == OK, Load: load()}, rec)
		case k < 90 && len(probes) > 0:
			p := ProbeResult{Server: probes[0], Delay: time.Millisecond, Load: load()}
			if rng.IntN(8) == 0 {
				p.Status, p.Load = Status(rng.IntN(int(Rejected)+1)), nil
			}
			probes = probes[1:]
			b.Probed(now, p, rec)
		case k < 93:
			b.ClientDisconnected(now, RequestID(1+rng.IntN(e+1)), rec)
		case k < 96:
			s := Server{ID: ServerID(fmt.Sprint("s", rng.IntN(n+3))), State: ServerState(rng.IntN(3)), Zone: string(rune('a' + rng.IntN(2))), Cell: rng.IntN(3)}
			if rng.IntN(2) == 0 {
				s.State, s.Started = Ready, now-time.Duration(rng.IntN(9000))*time.Millisecond
			}
			b.UpdateServers(now, ListDelta, []Server{s}, rec)
		case k < 97:
			b.ResponseStarted(now, RequestID(1+rng.IntN(e+1)), 0, rec)
		}
		drain()
		if e%100 == 99 {
			hashes = append(hashes, fmt.Sprintf("%016x", sum.Sum64()))
		}
	}
	return hashes
}

// TestScripts replays recorded scripts of events: without sites the Balancer has to act as the
// version that they were recorded with, which did not support sites. An intended change of
// behavior is recorded again (go test -run TestScripts -record), and its commit says why.
func TestScripts(t *testing.T) {
	const name, scripts, events = "testdata/scripts.txt", 24, 3000
	if *record {
		var text strings.Builder
		for seed := range uint64(scripts) {
			fmt.Fprintln(&text, strings.Join(runScript(t, seed, events), " "))
		}
		if err := os.WriteFile(name, []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	seed := uint64(0)
	for ; lines.Scan(); seed++ {
		want := strings.Fields(lines.Text())
		got := runScript(t, seed, events)
		if len(want) != events/100 {
			t.Fatalf("script %d has %d hashes", seed, len(want))
		}
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("script %d: actions differ between events %d and %d", seed, i*100, i*100+99)
				break
			}
		}
	}
	if seed != scripts {
		t.Errorf("%d scripts, want %d", seed, scripts)
	}
}

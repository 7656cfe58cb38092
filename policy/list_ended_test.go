package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestListEnded checks that, once no further list update will come, requests that wait for a
// server or a report are refused at once, and so are later ones. Until then they wait, because an
// update may name a server.
func TestListEnded(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 4)
	drainAll := func(kind ListKind) {
		var all []Server
		for i := range 4 {
			all = append(all, Server{ID: ServerID(fmt.Sprint("s", i)), State: Draining})
		}
		b.UpdateServers(0, kind, all, rec)
	}
	b.Request(0, Request{ID: 1, Class: "safe", Expires: time.Second}, rec) // waits for a report
	if b.held == nil {
		t.Fatal("no request waits for a report")
	}
	drainAll(ListDelta)
	b.Request(0, Request{ID: 2, Class: "unsafe", Expires: 2 * time.Second}, rec) // waits for a list
	for _, p := range []ServerID{"s0", "s1", "s2", "s3"} {
		b.Probed(0, ProbeResult{Server: p, Load: &Load{}}, rec)
	}
	if got := rec.take("refuse"); len(got) > 0 {
		t.Fatalf("%v although an update may name a server", got)
	}
	drainAll(ListEnded)
	b.Request(0, Request{ID: 3, Class: "keyed", Expires: 2 * time.Second}, rec)
	if got := rec.take("refuse"); !slices.Equal(got, []string{"refuse 1", "refuse 2", "refuse 3"}) {
		t.Errorf("%v, want all three refused", got)
	}
	if len(b.requests) != 0 || len(b.held) != 0 {
		t.Errorf("%d requests and %d held requests are left", len(b.requests), len(b.held))
	}
}

// TestAllCold guards against requests that wait in vain until their time is up when all servers
// are cold: each is sent, probed for or answered.
func TestAllCold(t *testing.T) {
	for _, servers := range []int{1, 2, 5} {
		b, rec := newTestBalancer(t, testConfig(), 0)
		var list []Server
		for i := range servers {
			list = append(list, Server{ID: ServerID(fmt.Sprint("s", i)), Zone: "a", Started: time.Second})
		}
		now := time.Second
		b.UpdateServers(now, ListFull, list, rec)
		waits, sent := 0, 0
		for id := RequestID(1); id <= 200; id++ {
			now += 20 * time.Millisecond
			b.Request(now, Request{ID: id, Class: "unsafe", Expires: now + 2*time.Second}, rec)
			for _, p := range rec.take("probe") {
				b.Probed(now, ProbeResult{Server: ServerID(p[len("probe "):]), Load: &Load{}}, rec)
			}
			r := b.requests[id]
			if r != nil && len(r.attempts) == 0 && r.heldUntil == 0 {
				waits++
			}
			if r != nil && len(r.attempts) > 0 {
				sent++
				b.Outcome(now, Outcome{ID: id, Server: r.attempts[0].server.ID, Delay: 10 * time.Millisecond, Load: &Load{}}, rec)
			}
		}
		t.Logf("%d servers: %d of 200 sent, %d wait in vain", servers, sent, waits)
		if waits > 0 {
			t.Errorf("%d servers: %d of 200 wait in vain", servers, waits)
		}
	}
}

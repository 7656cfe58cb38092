package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestListEnded: what waits for a server, or for a report, when no list will be told any more is refused at once, and so is what comes later.
// Until then it waits, as a list may name one.
func TestListEnded(t *testing.T) {
	b, rec := start(t, testConfig(), 4)
	gone := func(kind ListKind) {
		var all []Server
		for i := range 4 {
			all = append(all, Server{ID: ServerID(fmt.Sprint("s", i)), State: Draining})
		}
		b.UpdateServers(0, kind, all, rec)
	}
	b.Request(0, Request{ID: 1, Class: "safe", Expires: time.Second}, rec) // waits for a report
	if b.held == nil {
		t.Fatal("nothing waits for a report")
	}
	gone(ListDelta)
	b.Request(0, Request{ID: 2, Class: "unsafe", Expires: 2 * time.Second}, rec) // waits for a list
	for _, p := range []ServerID{"s0", "s1", "s2", "s3"} {
		b.Probed(0, ProbeResult{Server: p, Load: &Load{}}, rec)
	}
	if got := rec.take("refuse"); len(got) > 0 {
		t.Fatalf("%v though a list may name a server", got)
	}
	gone(ListEnded)
	b.Request(0, Request{ID: 3, Class: "keyed", Expires: 2 * time.Second}, rec)
	if got := rec.take("refuse"); !slices.Equal(got, []string{"refuse 1", "refuse 2", "refuse 3"}) {
		t.Errorf("%v, want all three refused", got)
	}
	if len(b.requests) != 0 || len(b.held) != 0 {
		t.Errorf("%d requests and %d that are held are left", len(b.requests), len(b.held))
	}
}

// TestAllCold: beside servers that are all cold no request is left without a send, a probe or an answer until its time is up.
func TestAllCold(t *testing.T) {
	for _, servers := range []int{1, 2, 5} {
		b, rec := start(t, testConfig(), 0)
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
		t.Logf("%d servers: %d of 200 sent, %d wait for nothing", servers, sent, waits)
		if waits > 0 {
			t.Errorf("%d servers: %d of 200 wait for nothing", servers, waits)
		}
	}
}

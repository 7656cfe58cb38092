package policy

import (
	"slices"
	"testing"
	"time"
)

// TestStopSending checks that a request with an outstanding attempt waits for that attempt only,
// and that one without is answered at once.
func TestStopSending(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe = false
	b, rec := newTestBalancer(t, cfg, 4)
	now := Time(time.Second)
	b.Request(now, Request{ID: 1, Class: "safe", Expires: now + time.Second}, rec)
	server := b.requests[1].attempts[0].server.ID
	rec.take("")
	b.StopSending(now, 1, rec)
	if got := rec.take(""); len(got) > 0 {
		t.Errorf("with an outstanding attempt: %v, want nothing", got)
	}
	b.Outcome(now, Outcome{ID: 1, Server: server, Status: ConnectFailed}, rec)
	if got := rec.lines; slices.ContainsFunc(got, func(l string) bool { return l[:4] == "send" }) || !slices.Contains(got, "refuse 1") {
		t.Errorf("after its attempt failed: %v, want a refusal and no retry", got)
	}

	none, rec := newTestBalancer(t, cfg, 0)
	none.Request(now, Request{ID: 2, Class: "unsafe", Expires: now + time.Second}, rec)
	rec.take("")
	none.StopSending(now, 2, rec)
	if got := rec.take("refuse"); len(got) != 1 {
		t.Errorf("waiting for a server: %v, want a refusal at once", got)
	}
	none.StopSending(now, 2, rec) // already ended
	none.StopSending(now, 99, rec)
	none.GiveUp(now, 2, rec)
	if got := rec.take(""); len(got) > 0 {
		t.Errorf("ended or unknown: %v, want nothing", got)
	}
}

// TestGiveUp checks that a request that may still run is refused only if a repeat is harmless.
func TestGiveUp(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe = false
	for class, want := range map[string]string{
		"safe": "refuse 1", "keyed": "refuse 1", "zonal": "fail 1", "cellular": "fail 1", "unsafe": "fail 1",
	} {
		b, rec := newTestBalancer(t, cfg, 4)
		now := Time(time.Second)
		b.Request(now, Request{ID: 1, Class: class, Expires: now + 2*time.Second}, rec)
		if len(b.requests[1].attempts) != 1 {
			t.Fatalf("%s: not sent", class)
		}
		rec.take("")
		b.GiveUp(now, 1, rec)
		if !slices.Equal(rec.lines, []string{"cancel 1 0", want}) {
			t.Errorf("%s: %v, want the attempt canceled and %s", class, rec.lines, want)
		}
	}
}

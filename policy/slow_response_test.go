package policy

import (
	"strings"
	"testing"
	"time"
)

// startRequest makes request 1 of a class open with one attempt in flight.
func startRequest(t *testing.T, b *Balancer, rec *recorder, class string) *request {
	t.Helper()
	k := b.classes[class]
	r := &request{Request: Request{ID: 1, Class: class, Expires: 2 * time.Second}, class: k, maxAttempts: 3, aimEnd: 2 * time.Second, answerBy: 2 * time.Second}
	b.requests[1] = r
	if !b.sendNext(0, r, b.readySet(0, r), rec) {
		t.Fatal("nothing was sent")
	}
	rec.take("")
	return r
}

// TestStalledResponseIsNotGivenUp guards against a sound response that is ended because it stands
// still: the request goes to a second server beside it only if it may have two attempts in flight,
// and the first attempt goes on.
func TestStalledResponseIsNotGivenUp(t *testing.T) {
	for _, tt := range []struct {
		class        string
		mayDuplicate bool
		sends        int
	}{{"safe", true, 1}, {"safe", false, 0}, {"unsafe", true, 0}} {
		cfg := testConfig()
		cfg.MayDuplicate, cfg.MayCancel = tt.mayDuplicate, true
		b, rec := newTestBalancer(t, cfg, 3)
		r := startRequest(t, b, rec, tt.class)
		b.ResponseStalled(500*time.Millisecond, 1, 0, 0, rec)
		got := rec.take("")
		sends := 0
		for _, line := range got {
			if strings.HasPrefix(line, "send 1") {
				sends++
			}
			if strings.HasPrefix(line, "cancel") {
				t.Errorf("%+v: %s", tt, line)
			}
		}
		if sends != tt.sends || !r.attempts[0].pending || r.ended {
			t.Errorf("%+v: %v", tt, got)
		}
		if sends > 0 && r.attempts[0].server == r.attempts[1].server {
			t.Errorf("%+v: both attempts are at one server", tt)
		}
	}
}

// TestSlowResponsesHoldNoPlace guards against a fleet that refuses requests because responses flow
// slowly, and against the ejection of a server that writes slowly but is sound.
func TestSlowResponsesHoldNoPlace(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 3)
	r := startRequest(t, b, rec, "safe")
	s := r.attempts[0].server
	b.ResponseSlow(50*time.Millisecond, 1, 0, rec)
	if s.outstanding != 0 {
		t.Errorf("%d requests count as being worked on", s.outstanding)
	}
	for range 10 {
		b.Outcome(time.Second, Outcome{ID: 9, Server: s.ID, Status: Timeout, Reason: ReasonSlow}, rec)
	}
	if s.failures != 0 || s.ejectedUntil != 0 || s.queue > 0 {
		t.Errorf("%d failures, ejected until %v, queue %v", s.failures, s.ejectedUntil, s.queue)
	}
	b.Outcome(time.Second, Outcome{ID: 9, Server: s.ID, Status: Canceled, Reason: ReasonStoodStill}, rec)
	if s.failures != 1 {
		t.Errorf("%d failures after a response that stood still until another one got ahead", s.failures)
	}
}

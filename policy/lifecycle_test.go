package policy

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestRefusedBesideColdServers: of the requests that warm servers are too slow for, one that warms up gets a part of its
// turns, one at a time, and never by an answer that could not be in time.
func TestRefusedBesideColdServers(t *testing.T) {
	now := time.Minute
	try := func(out, busy int, limit time.Duration) (sent, refused int) {
		b, rec := start(t, testConfig(), 2)
		b.servers["s1"].outstanding = busy
		cold := b.servers["s0"]
		cold.Started, cold.reported, cold.queue, cold.outstanding = now, true, 0, out
		const requests = 4000
		for i := range requests {
			r := &request{Request: Request{ID: RequestID(i + 1), Expires: now + time.Second}, class: b.classes["safe"], maxAttempts: 3,
				delayLimit: limit, aimEnd: now + time.Second, answerBy: now + time.Second}
			b.requests[r.ID] = r
			b.relieveOrRefuse(now, r, rec)
			cold.outstanding = out // as if it were answered at once
		}
		for _, l := range rec.take("") {
			switch {
			case strings.HasSuffix(l, " s0"):
				sent++
			case strings.HasPrefix(l, "refuse"):
				refused++
			}
		}
		if sent+refused != requests {
			t.Errorf("%d sent and %d refused of %d", sent, refused, requests)
		}
		return sent, refused
	}
	cfg := testConfig()
	if sent, refused := try(0, 0, time.Second); float64(sent) > cfg.ColdCapacity*coldReliefShare/2*1.2*4000 || float64(sent) < cfg.ColdCapacity*coldReliefShare/2*0.8*4000 || refused == 0 {
		t.Errorf("%d of 4000 sent, want about %.0f", sent, cfg.ColdCapacity*coldReliefShare/2*4000)
	}
	if sent, _ := try(1, 0, time.Second); sent > 0 {
		t.Errorf("%d sent beside one that is out", sent)
	}
	// With 10 at the warm one, 3 may be at one that has 0.3 of its capacity.
	if sent, _ := try(2, 10, time.Minute); sent < 1500 {
		t.Errorf("%d of 4000 sent beside 2, want each turn", sent)
	}
	if sent, _ := try(3, 10, time.Minute); sent > 0 {
		t.Errorf("%d sent beside 3", sent)
	}
	if sent, _ := try(0, 0, -1); sent > 0 {
		t.Errorf("%d sent though none could be in time", sent)
	}
}

// TestUploadAndStream: a server works on a request from its last byte to the first of the answer; meanwhile and after nothing
// of it is sent again, and its time counts from its last byte.
func TestUploadAndStream(t *testing.T) {
	b, rec := start(t, testConfig(), 3)
	now := time.Second
	b.Request(now, Request{ID: 1, Class: "safe", Expires: now + time.Second, Uploading: true}, rec)
	r := b.requests[1]
	if len(r.attempts) == 0 { // held for its probes
		for _, s := range r.probed {
			b.Probed(now, ProbeResult{Server: s.ID, Load: &Load{Queue: 0, Inflight: -1}}, rec)
		}
	}
	if len(r.attempts) != 1 {
		t.Fatalf("%d attempts", len(r.attempts))
	}
	s := r.attempts[0].server
	if s.outstanding != 0 {
		t.Error("the server works on what has not come")
	}
	rec.take("")
	b.Timer(now+2*time.Second, timerToken(1), rec)
	if got := rec.take(""); len(got) > 0 || r.ended {
		t.Errorf("its time ran out while it came: %v", got)
	}
	if b.maySend(now, r, b.ready[0]) || b.maySend(now, r, b.ready[1]) {
		t.Error("a second attempt may be sent beside an upload")
	}
	now += 3 * time.Second
	b.UploadComplete(now, 1, rec)
	if s.outstanding != 1 || r.Expires != now+time.Second || r.attempts[0].sent != now {
		t.Errorf("after its last byte: %d out, expires %v, sent %v", s.outstanding, r.Expires, r.attempts[0].sent)
	}
	b.ResponseStarted(now, 1, 0, rec)
	if s.outstanding != 0 {
		t.Error("the server works on what it has answered")
	}
	rec.take("")
	b.Timer(now+2*time.Second, timerToken(1), rec)
	if got := rec.take(""); len(got) > 0 {
		t.Errorf("an answer that has begun was cut: %v", got)
	}
	b.Outcome(now+3*time.Second, Outcome{ID: 1, Server: s.ID, Status: Reset, Final: true}, rec)
	if s.outstanding != 0 || len(b.requests) != 0 {
		t.Errorf("%d out, %d requests kept", s.outstanding, len(b.requests))
	}
}

// TestSpent: what cannot be sent again is refused if it has not run, and has failed if it may have.
func TestSpent(t *testing.T) {
	for status, want := range map[Status]string{Overloaded: "refuse 1", AppError: "fail 1"} {
		b, rec := start(t, testConfig(), 3)
		r := &request{Request: Request{ID: 1, Expires: time.Second}, class: b.classes["unsafe"], maxAttempts: 3, aimEnd: time.Second, answerBy: time.Second}
		b.requests[1] = r
		b.sendNext(0, r, b.readySet(0, r), rec)
		rec.take("")
		b.Outcome(0, Outcome{ID: 1, Server: r.attempts[0].server.ID, Status: status, NoResend: true}, rec)
		if got := rec.take(""); !slices.Contains(got, want) || slices.ContainsFunc(got, func(l string) bool { return strings.HasPrefix(l, "send") }) {
			t.Errorf("%v: %v, want %s", status, got, want)
		}
	}
}

// TestReconfigure: what comes is of the new classes, what is open keeps its own, and a configuration that is out of range
// changes nothing.
func TestReconfigure(t *testing.T) {
	b, rec := start(t, testConfig(), 3)
	r := &request{Request: Request{ID: 1, Expires: time.Second}, class: b.classes["safe"], maxAttempts: 3, aimEnd: time.Second, answerBy: time.Second}
	b.requests[1] = r
	next := testConfig()
	next.MaxAttempts = 1
	i := slices.IndexFunc(next.Classes, func(c Class) bool { return c.Name == "safe" })
	next.Classes[i].Effect = Unsafe
	bad := next
	bad.MaxAttempts = 0
	if err := b.Reconfigure(bad); err == nil || b.cfg.MaxAttempts != testConfig().MaxAttempts {
		t.Errorf("no attempts at all: %v", err)
	}
	b.classes["safe"].usualTryTime = 7
	if err := b.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	if c := b.classes["safe"]; c.Effect != Unsafe || c.usualTryTime != 7 {
		t.Errorf("the class is %+v", c)
	}
	if !b.maySend(0, r, b.ready[0]) || r.class.Effect != Safe {
		t.Error("the open request goes by the new rules")
	}
	r.attempts = []attempt{{server: b.ready[1]}, {server: b.ready[2]}}
	if !b.maySend(0, r, b.ready[0]) {
		t.Error("the open request may not have its third attempt")
	}
	b.Request(0, Request{ID: 2, Class: "safe", Expires: time.Second}, rec)
	if q := b.requests[2]; q != nil && (q.maxAttempts != 1 || q.class.Effect != Unsafe) {
		t.Errorf("a new request has %d attempts and %v", q.maxAttempts, q.class.Effect)
	}
}

// TestBackFromADrain: what a server failed at while it was to be left alone does not keep it out when it is back.
func TestBackFromADrain(t *testing.T) {
	b, rec := start(t, testConfig(), 3)
	s := b.servers["s0"]
	entry := s.Server
	entry.State = Draining
	b.UpdateServers(0, ListDelta, []Server{entry}, rec)
	for range 5 {
		b.recordFailure(0, s, ConnectFailed)
	}
	entry.State = Ready
	b.UpdateServers(time.Millisecond, ListDelta, []Server{entry}, rec)
	if !slices.Contains(b.readySet(time.Millisecond, &request{}), b.servers["s0"]) {
		t.Error("it is left out")
	}
}

// TestLearned: what one has learnt another begins with, and what cannot be is left out.
func TestLearned(t *testing.T) {
	a, _ := start(t, testConfig(), 3)
	a.delay = delayModel{2, 5e7, 3, 1e7}
	a.busyShare, a.requestGap, a.maxSetSize = 0.3, 3e6, 20
	a.servers["s1"].slowness, a.servers["s2"].ejectedUntil = 2, 3*time.Second
	a.classes["safe"].usualTryTime, a.classes["safe"].usualVotes = 300*time.Millisecond, minVotes
	b, _ := start(t, testConfig(), 3)
	b.Restore(time.Minute, a.Learned(time.Second))
	if b.delay != a.delay || b.busyShare != 0.3 || b.requestGap != 3e6 || b.maxSetSize != 20 || b.servers["s1"].slowness != 2 ||
		b.servers["s2"].ejectedUntil != time.Minute+2*time.Second || b.classes["safe"].usualTryTime != 300*time.Millisecond {
		t.Errorf("%+v, busy %v, gap %v, set %d", b.delay, b.busyShare, b.requestGap, b.maxSetSize)
	}
	c, _ := start(t, testConfig(), 3)
	c.Restore(time.Minute, Learned{
		Queue: math.NaN(), Delay: -1, Busy: math.Inf(1), Gap: -1, MaxReadySet: 1 << 40, Slowness: map[ServerID]float64{"s0": math.Inf(1), "x": 1},
		Ejected: map[ServerID]time.Duration{"s0": 1 << 60}, UsualTryTime: map[string]time.Duration{"safe": 1 << 60},
	})
	if c.delay != (delayModel{}) || c.busyShare != 1 || c.requestGap != float64(time.Second) || c.maxSetSize > 1000 || c.servers["s0"].slowness != 1 ||
		c.servers["s0"].ejectedUntil > time.Minute+c.cfg.Ramp || c.classes["safe"].usualVotes != 0 {
		t.Errorf("what cannot be was learnt: %+v, busy %v, gap %v, set %d", c.delay, c.busyShare, c.requestGap, c.maxSetSize)
	}
}

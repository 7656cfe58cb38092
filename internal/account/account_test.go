package account

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"quillfront/policy"
)

// host is a policy.Actions that does nothing but record the sends.
type host struct {
	sent []policy.ServerID
	last policy.RequestID
}

func (h *host) Send(id policy.RequestID, s policy.ServerID, _ time.Duration) {
	h.sent, h.last = append(h.sent, s), id
}
func (h *host) Refuse(policy.RequestID, time.Duration) {}
func (h *host) Fail(policy.RequestID)                  {}
func (h *host) Cancel(policy.RequestID, int)           {}
func (h *host) SetTimer(time.Duration, string)         {}
func (h *host) Probe(policy.ServerID)                  {}
func (h *host) CloseIdle(policy.ServerID)              {}
func (h *host) Watch(bool)                             {}
func (h *host) Log(string)                             {}

func config() policy.Config {
	return policy.Config{
		GroupSize: 1, MaxAttempts: 2, Ramp: 8 * time.Second, ColdCapacity: 0.3, Tick: time.Millisecond,
		Classes: []policy.Class{{Name: "check", Aim: 300 * time.Millisecond, Deadline: time.Second, Worth: 1}},
	}
}

// TestRecorder checks that sends, their kind of server and their results (in time, late, failed
// over) are counted in the second in which they happen, and that seconds are aligned with the wall
// clock.
func TestRecorder(t *testing.T) {
	b, err := policy.New(config(), 1)
	if err != nil {
		t.Fatal(err)
	}
	var emitted []Second
	const origin = 1_000_000_250 // 250 ms into a second
	r := New(b, config(), origin, func(s Second) { emitted = append(emitted, s) })
	h, now := &host{}, policy.Time(time.Hour)
	r.UpdateServers(now, policy.ListFull, []policy.Server{{ID: "old"}, {ID: "new", Started: now - time.Second}}, h)
	request := func(id policy.RequestID) policy.ServerID {
		t.Helper()
		n := len(h.sent)
		r.Request(now, policy.Request{ID: id, Class: "check", Cost: 50 * time.Millisecond, Expires: now + time.Second}, h)
		if len(h.sent) != n+1 {
			t.Fatalf("request %d: %d sends", id, len(h.sent)-n)
		}
		return h.sent[n]
	}
	s := request(1)
	now += 100 * time.Millisecond
	r.Outcome(now, policy.Outcome{ID: 1, Server: s, Status: policy.OK, Delay: 100 * time.Millisecond, Final: true}, h)
	s = request(2)
	now += 400 * time.Millisecond
	r.Outcome(now, policy.Outcome{ID: 2, Server: s, Status: policy.OK, Delay: 400 * time.Millisecond, Final: true}, h)
	s = request(3)
	now += 200 * time.Millisecond
	r.Outcome(now, policy.Outcome{ID: 3, Server: s, Status: policy.AppError, Delay: 200 * time.Millisecond}, h)
	if len(emitted) != 0 {
		t.Fatalf("%d seconds emitted during the first", len(emitted))
	}
	s = request(4) // its response starts and breaks off
	r.Outcome(now, policy.Outcome{ID: 4, Server: s, Status: policy.Reset, Final: true}, h)
	if len(r.requests) > 1 { // 3 may have been sent again
		t.Errorf("%d requests are retained, want at most 1", len(r.requests))
	}
	now += time.Second
	r.Timer(now, "none", h)
	if len(emitted) != 1 {
		t.Fatalf("%d seconds emitted, want 1", len(emitted))
	}
	got := emitted[0]
	c := got.Classes["check"]
	if got.UpSeconds != 0 || r.current.UpSeconds != 1 && r.current.UpSeconds != 2 {
		t.Errorf("uptime %d s, and then %d s", got.UpSeconds, r.current.UpSeconds)
	}
	if got.StartMs%1000 != 0 || got.StartMs != origin-250+time.Hour.Milliseconds() {
		t.Errorf("the second starts at %d", got.StartMs)
	}
	if c == nil || c.Requests != 4 || c.InTime != 1 || c.Late != 1 || c.Work < 0.199 || c.Work > 0.201 {
		t.Errorf("class: %+v", c)
	}
	if got.Sends.FirstAttempts != 4 || got.Sends.NoReport != len(h.sent) || got.Sends.Resends != len(h.sent)-4 {
		t.Errorf("sends: %+v of %d", got.Sends, len(h.sent))
	}
	if got.AttemptResults["ok"] != 2 || got.AttemptResults["error"] != 1 || got.ReadyServers != 2 || got.ColdServers != 1 || got.ListUpdates != 1 {
		t.Errorf("second: %+v", got)
	}
	cold := 0
	for _, id := range h.sent {
		if id == "new" {
			cold++
		}
	}
	if got.Sends.ToCold != cold {
		t.Errorf("%d sends to cold servers counted, %d made", got.Sends.ToCold, cold)
	}
}

// TestRead checks that the seconds in a log are decoded and summed up over sidecars by phase, and
// that truncated and corrupt lines are counted without affecting the lines around them.
func TestRead(t *testing.T) {
	logLine := func(unix int64, taken, refused int, queue float64) string {
		s := Second{StartMs: unix, UpSeconds: int(unix-4000) / 1000, Dials: 3, Sends: Sends{FirstAttempts: taken - refused, StaleReport: 1}, Classes: map[string]*Class{"check": {Requests: taken, RefusedAtOnce: refused}},
			Servers: map[string]*Server{"a": {Sent: taken - refused, Queue: queue, Age: 3}}}
		return "0.01 time=x level=INFO msg=account second=" + strconv.Quote(s.Encode())
	}
	whole := logLine(5000, 10, 2, 4)
	log := strings.Join([]string{whole, "msg=ready", whole[:len(whole)-9], "msg=account second=\"{}x", logLine(7000, 6, 1, -1), logLine(7000, 4, 1, 2)}, "\n")
	var all []Second
	bad, err := Read(strings.NewReader(log), func(s Second) { all = append(all, s) })
	if err != nil || bad != 2 || len(all) != 3 {
		t.Fatalf("%d seconds, %d corrupt lines, error %v", len(all), bad, err)
	}
	p := SumPhases(all, []time.Duration{2 * time.Second})
	if len(p) != 2 {
		t.Fatalf("%d phases", len(p))
	}
	first, second := p[0].Total.Classes["check"], p[1].Total.Classes["check"]
	if first.Requests != 10 || first.RefusedAtOnce != 2 || second.Requests != 10 || second.RefusedAtOnce != 2 || p[1].Sidecars != 2 {
		t.Errorf("phases: %+v %+v, %d sidecars", first, second, p[1].Sidecars)
	}
	if p[0].Total.Dials != 3 || p[1].Total.Dials != 6 {
		t.Errorf("%d and %d dials, want 3 and 6", p[0].Total.Dials, p[1].Total.Dials)
	}
	if q := p[1].PerServer["a"].Queue; q != 2 || p[1].ByServerAge[1].Sent != 8 {
		t.Errorf("queue %v, by server age %+v", q, p[1].ByServerAge)
	}
	if b := p[0].Startup; b.Seconds != 1 || b.Classes.Requests != 10 || b.Sends.FirstAttempts != 8 || b.Sends.StaleReport != 1 || p[1].Startup.Seconds != 0 {
		t.Errorf("startup of the first phase %+v, of the second %+v", b, p[1].Startup)
	}
	var out strings.Builder
	Print(&out, p, true)
	if !strings.Contains(out.String(), fmt.Sprintf("| check | %d |", 5)) {
		t.Errorf("the table has no row of 5 tries a second: %s", out.String())
	}
	if SumPhases(nil, nil) != nil {
		t.Error("SumPhases of no seconds is not nil")
	}
}

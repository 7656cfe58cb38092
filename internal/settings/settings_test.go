package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"quillfront/policy"
)

const completeSettings = `{"GroupSize":2,"Ordinal":1,"Zone":"a","MembershipMode":"asked","OverShareWorth":0.5,"TickUs":1000,
"Limits":{"Cancelling":true,"MayDuplicate":true,"Probes":true,"RetryAfter":true,"ConnIdleUs":5000000,"DialTimeoutUs":250000,"MaxRetryAfterUs":1500000,"SendCap":3},
"RequestClasses":[{"Name":"order","Effect":"idempotency_key","Group":"cell","AimUs":400000,"DeadlineUs":1600000,"KeyTtlUs":1500000,"Worth":10,"LateShare":0.5}],
"Safety":{"AskEveryUs":10000000,"GraceToAnswerUs":20000,"RampTimeUs":8000000,"ColdFrom":0.3,"TipMultiple":2.5},
"FamilyInfo":{"WarmKeys":false},"Tariffs":{"Connection":0.01,"CrossZone":0.03,"Handshake":0.08,"Probe":0.08},
"Telemetry":{"Fields":["queue"],"Via":"inline"},"Tenants":[{"Name":"north","AllowancePerS":5}]}`

// countingActions counts the sends of a module and ignores its other actions.
type countingActions struct{ sent int }

func (a *countingActions) Send(policy.RequestID, policy.ServerID, time.Duration) { a.sent++ }
func (*countingActions) Refuse(policy.RequestID, time.Duration)                  {}
func (*countingActions) Fail(policy.RequestID)                                   {}
func (*countingActions) Cancel(policy.RequestID, int)                            {}
func (*countingActions) SetTimer(time.Duration, string)                          {}
func (*countingActions) Probe(policy.ServerID)                                   {}
func (*countingActions) CloseIdle(policy.ServerID)                               {}
func (*countingActions) Watch(bool)                                              {}
func (*countingActions) Log(string)                                              {}

// TestMissingKey verifies that settings without a key either yield a one-line error that names the
// key, or a module that serves requests, with the feature of that key disabled.
func TestMissingKey(t *testing.T) {
	parse := func() map[string]any {
		var m map[string]any
		if err := json.Unmarshal([]byte(completeSettings), &m); err != nil {
			t.Fatal(err)
		}
		return m
	}
	if _, err := Parse([]byte(completeSettings)); err != nil {
		t.Fatal(err)
	}
	rejected := map[string]bool{}
	check := func(key string, m map[string]any) {
		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Parse(text)
		if err != nil {
			rejected[key] = true
			if !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
				t.Errorf("without %s: error %q", key, err)
			}
			return
		}
		b, err := policy.New(s.Config, 1)
		if err != nil {
			t.Errorf("without %s: %v", key, err)
			return
		}
		act := &countingActions{}
		now := policy.Time(time.Hour)
		b.UpdateServers(now, policy.ListFull, []policy.Server{{ID: "s", Zone: "a"}, {ID: "t", Zone: "b", Started: now - time.Second}}, act)
		for i := range 20 {
			now += 50 * time.Millisecond
			b.Request(now, policy.Request{ID: policy.RequestID(i), Class: "order", Key: fmt.Sprint(i), Cost: time.Millisecond, Expires: now + time.Second}, act)
			b.Probed(now, policy.ProbeResult{Server: "s", Status: policy.OK, Load: &policy.Load{Queue: 0, Inflight: -1, Latency: -1, ErrorRate: -1}}, act)
			b.Outcome(now+10*time.Millisecond, policy.Outcome{ID: policy.RequestID(i), Server: "s", Status: policy.OK, Delay: 10 * time.Millisecond, Final: true}, act)
		}
		if act.sent == 0 {
			t.Errorf("without %s: nothing is sent", key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(parse())) {
		m := parse()
		delete(m, key)
		check(key, m)
		section, ok := parse()[key].(map[string]any)
		if !ok {
			continue
		}
		for _, sub := range slices.Sorted(maps.Keys(section)) {
			m := parse()
			delete(m[key].(map[string]any), sub)
			check(sub, m)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(parse()["RequestClasses"].([]any)[0].(map[string]any))) {
		m := parse()
		delete(m["RequestClasses"].([]any)[0].(map[string]any), key)
		check(key, m)
	}
	if want := map[string]bool{"GroupSize": true, "Limits": true, "SendCap": true, "Effect": true, "AimUs": true, "DeadlineUs": true}; !maps.Equal(rejected, want) {
		t.Errorf("settings are rejected without %v, want %v", rejected, want)
	}
}

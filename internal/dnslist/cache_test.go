package dnslist

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func answer(ttl time.Duration, addrs ...string) Answer {
	a := Answer{TTL: ttl}
	for _, addr := range addrs {
		a.Records = append(a.Records, Record{Addr: addr})
	}
	return a
}

// TestKeeper: a list that was good outlasts answers that fail or are empty for a stated time, flips as it is told, and is bounded.
func TestKeeper(t *testing.T) {
	k, err := NewCache(CacheConfig{MinInterval: time.Second, MaxInterval: 8 * time.Second, KeepFor: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	failed := errors.New("no answer")
	for i, tt := range []struct {
		at   time.Duration
		a    Answer
		err  error
		want Result
	}{
		{0, Answer{}, failed, Result{RefreshAfter: time.Second}},
		{1, answer(0, "b:1", "a:1", "b:1"), nil, Result{List: []Record{{Addr: "a:1"}, {Addr: "b:1"}}, Changed: true, RefreshAfter: time.Second}},
		{2, answer(time.Hour, "b:1", "a:1"), nil, Result{List: []Record{{Addr: "a:1"}, {Addr: "b:1"}}, RefreshAfter: 8 * time.Second}},
		{3, answer(3*time.Second, "c:1"), nil, Result{List: []Record{{Addr: "c:1"}}, Changed: true, RefreshAfter: 3 * time.Second}},
		{4, answer(5 * time.Second), nil, Result{List: []Record{{Addr: "c:1"}}, RefreshAfter: 5 * time.Second, Stale: true}},
		{5, answer(time.Minute), ErrNoRecords, Result{List: []Record{{Addr: "c:1"}}, RefreshAfter: 8 * time.Second, Stale: true}},
		{6, Answer{}, failed, Result{List: []Record{{Addr: "c:1"}}, RefreshAfter: 4 * time.Second, Stale: true}},
		{7, Answer{}, failed, Result{List: []Record{{Addr: "c:1"}}, RefreshAfter: 8 * time.Second, Stale: true}},
		{62, Answer{}, failed, Result{List: []Record{{Addr: "c:1"}}, RefreshAfter: 8 * time.Second, Stale: true}},
		{63, Answer{}, failed, Result{Changed: true, RefreshAfter: 8 * time.Second}},
		{64, Answer{}, failed, Result{RefreshAfter: 8 * time.Second}},
		{65, answer(0, "c:1"), nil, Result{List: []Record{{Addr: "c:1"}}, Changed: true, RefreshAfter: time.Second}},
	} {
		if got := k.Update(tt.at*time.Second, tt.a, tt.err); fmt.Sprint(got) != fmt.Sprint(tt.want) {
			t.Errorf("%d: %+v, want %+v", i, got, tt.want)
		}
	}
	emptied, err := NewCache(CacheConfig{EmptyThreshold: 2})
	if err != nil {
		t.Fatal(err)
	}
	emptied.Update(0, answer(0, "a:1"), nil)
	if s := emptied.Update(1, answer(0), nil); len(s.List) != 1 {
		t.Errorf("emptied by one answer: %+v", s)
	}
	if s := emptied.Update(2, answer(0), ErrNoRecords); len(s.List) != 0 || !s.Changed {
		t.Errorf("not emptied by two: %+v", s)
	}
	var many Answer
	for i := range MaxServers + 5 {
		many.Records = append(many.Records, Record{Addr: fmt.Sprintf("%05d:1", i), Priority: uint16(i % 2)})
	}
	if s := emptied.Update(3, many, nil); len(s.List) != MaxServers/2+3 {
		t.Errorf("%d of the lowest priority", len(s.List))
	}
	if _, err := NewCache(CacheConfig{MinInterval: time.Hour}); err == nil {
		t.Error("a least pause above the longest is taken")
	}
}

// TestKeeperNeverLosesEarly: whatever answers come, a list that was good is used until KeepFor after the answer that confirmed it, and the
// next question comes within the bounds.
func TestKeeperNeverLosesEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, err := NewCache(CacheConfig{MinInterval: time.Second, MaxInterval: 10 * time.Second, KeepFor: time.Minute})
		if err != nil {
			t.Fatal(err)
		}
		now, confirmed, had := time.Duration(0), time.Duration(0), false
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			var a Answer
			var failed error
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				a = answer(time.Duration(rapid.IntRange(-5, 100).Draw(t, "ttl"))*time.Second, rapid.SampledFrom([]string{"a:1", "b:1"}).Draw(t, "addr"))
				confirmed, had = now, true
			case 1:
				failed = ErrNoRecords
			case 2:
				failed = errors.New("no answer")
			}
			s := k.Update(now, a, failed)
			if s.RefreshAfter < time.Second || s.RefreshAfter > 10*time.Second {
				t.Fatalf("the next question comes after %v", s.RefreshAfter)
			}
			if holds := had && now-confirmed < time.Minute; holds != (len(s.List) > 0) {
				t.Fatalf("%d servers %v after the answer that confirmed them", len(s.List), now-confirmed)
			}
			had = had && len(s.List) > 0
			now += s.RefreshAfter
		}
	})
}

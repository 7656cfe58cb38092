package dnslist

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// answer returns an answer with the given addresses.
func answer(ttl time.Duration, addrs ...string) Answer {
	a := Answer{TTL: ttl}
	for _, addr := range addrs {
		a.Records = append(a.Records, Record{Addr: addr})
	}
	return a
}

// TestCache checks that the last good list outlives failed and empty answers for KeepFor, that a
// list that alternates is reported each time, and that its length is bounded.
func TestCache(t *testing.T) {
	cache, err := NewCache(CacheConfig{MinInterval: time.Second, MaxInterval: 8 * time.Second, KeepFor: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	errFailed := errors.New("no answer")
	for i, tt := range []struct {
		at   time.Duration
		a    Answer
		err  error
		want Result
	}{
		{0, Answer{}, errFailed, Result{RefreshAfter: time.Second}},
		{1, answer(0, "b:1", "a:1", "b:1"), nil, Result{List: []Record{{Addr: "a:1"}, {Addr: "b:1"}}, Changed: true, RefreshAfter: time.Second}},
		{2, answer(time.Hour, "b:1", "a:1"), nil, Result{List: []Record{{Addr: "a:1"}, {Addr: "b:1"}}, RefreshAfter: 8 * time.Second}},
		{3, answer(3*time.Second, "c:1"), nil, Result{List: []Record{{Addr: "c:1"}}, Changed: true, RefreshAfter: 3 * time.Second}},
		{4, answer(5 * time.Second), nil, Result{List: []Record{{Addr: "c:1"}}, RefreshAfter: 5 * time.Second, Stale: true}},
		{5, answer(time.Minute), ErrNoRecords, Result{List: []Record{{Addr: "c:1"}}, RefreshAfter: 8 * time.Second, Stale: true}},
		{6, Answer{}, errFailed, Result{List: []Record{{Addr: "c:1"}}, RefreshAfter: 4 * time.Second, Stale: true}},
		{7, Answer{}, errFailed, Result{List: []Record{{Addr: "c:1"}}, RefreshAfter: 8 * time.Second, Stale: true}},
		{62, Answer{}, errFailed, Result{List: []Record{{Addr: "c:1"}}, RefreshAfter: 8 * time.Second, Stale: true}},
		{63, Answer{}, errFailed, Result{Changed: true, RefreshAfter: 8 * time.Second}},
		{64, Answer{}, errFailed, Result{RefreshAfter: 8 * time.Second}},
		{65, answer(0, "c:1"), nil, Result{List: []Record{{Addr: "c:1"}}, Changed: true, RefreshAfter: time.Second}},
	} {
		if got := cache.Update(tt.at*time.Second, tt.a, tt.err); fmt.Sprint(got) != fmt.Sprint(tt.want) {
			t.Errorf("%d: %+v, want %+v", i, got, tt.want)
		}
	}
	withThreshold, err := NewCache(CacheConfig{EmptyThreshold: 2})
	if err != nil {
		t.Fatal(err)
	}
	withThreshold.Update(0, answer(0, "a:1"), nil)
	if s := withThreshold.Update(1, answer(0), nil); len(s.List) != 1 {
		t.Errorf("list emptied by one empty answer: %+v", s)
	}
	if s := withThreshold.Update(2, answer(0), ErrNoRecords); len(s.List) != 0 || !s.Changed {
		t.Errorf("list not emptied by two empty answers: %+v", s)
	}
	var many Answer
	for i := range MaxServers + 5 {
		many.Records = append(many.Records, Record{Addr: fmt.Sprintf("%05d:1", i), Priority: uint16(i % 2)})
	}
	if s := withThreshold.Update(3, many, nil); len(s.List) != MaxServers/2+3 {
		t.Errorf("%d servers of the lowest priority", len(s.List))
	}
	if _, err := NewCache(CacheConfig{MinInterval: time.Hour}); err == nil {
		t.Error("a minimum interval above the maximum was accepted")
	}
}

// TestCacheKeepsListForKeepFor checks with random answers that a good list is used until KeepFor
// after the answer that confirmed it, and that the time to the next query stays within its bounds.
func TestCacheKeepsListForKeepFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache, err := NewCache(CacheConfig{MinInterval: time.Second, MaxInterval: 10 * time.Second, KeepFor: time.Minute})
		if err != nil {
			t.Fatal(err)
		}
		now, confirmedAt, valid := time.Duration(0), time.Duration(0), false
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			var a Answer
			var lookupErr error
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				a = answer(time.Duration(rapid.IntRange(-5, 100).Draw(t, "ttl"))*time.Second, rapid.SampledFrom([]string{"a:1", "b:1"}).Draw(t, "addr"))
				confirmedAt, valid = now, true
			case 1:
				lookupErr = ErrNoRecords
			case 2:
				lookupErr = errors.New("no answer")
			}
			result := cache.Update(now, a, lookupErr)
			if result.RefreshAfter < time.Second || result.RefreshAfter > 10*time.Second {
				t.Fatalf("next query after %v", result.RefreshAfter)
			}
			if want := valid && now-confirmedAt < time.Minute; want != (len(result.List) > 0) {
				t.Fatalf("%d servers %v after the answer that confirmed them", len(result.List), now-confirmedAt)
			}
			valid = valid && len(result.List) > 0
			now += result.RefreshAfter
		}
	})
}

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
	k, err := NewKeeper(Rules{Min: time.Second, Max: 8 * time.Second, KeepFor: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	failed := errors.New("no answer")
	for i, tt := range []struct {
		at   time.Duration
		a    Answer
		err  error
		want Step
	}{
		{0, Answer{}, failed, Step{Next: time.Second}},
		{1, answer(0, "b:1", "a:1", "b:1"), nil, Step{List: []Record{{Addr: "a:1"}, {Addr: "b:1"}}, Changed: true, Next: time.Second}},
		{2, answer(time.Hour, "b:1", "a:1"), nil, Step{List: []Record{{Addr: "a:1"}, {Addr: "b:1"}}, Next: 8 * time.Second}},
		{3, answer(3*time.Second, "c:1"), nil, Step{List: []Record{{Addr: "c:1"}}, Changed: true, Next: 3 * time.Second}},
		{4, answer(5 * time.Second), nil, Step{List: []Record{{Addr: "c:1"}}, Next: 5 * time.Second, Kept: true}},
		{5, answer(time.Minute), ErrNone, Step{List: []Record{{Addr: "c:1"}}, Next: 8 * time.Second, Kept: true}},
		{6, Answer{}, failed, Step{List: []Record{{Addr: "c:1"}}, Next: 4 * time.Second, Kept: true}},
		{7, Answer{}, failed, Step{List: []Record{{Addr: "c:1"}}, Next: 8 * time.Second, Kept: true}},
		{62, Answer{}, failed, Step{List: []Record{{Addr: "c:1"}}, Next: 8 * time.Second, Kept: true}},
		{63, Answer{}, failed, Step{Changed: true, Next: 8 * time.Second}},
		{64, Answer{}, failed, Step{Next: 8 * time.Second}},
		{65, answer(0, "c:1"), nil, Step{List: []Record{{Addr: "c:1"}}, Changed: true, Next: time.Second}},
	} {
		if got := k.Answered(tt.at*time.Second, tt.a, tt.err); fmt.Sprint(got) != fmt.Sprint(tt.want) {
			t.Errorf("%d: %+v, want %+v", i, got, tt.want)
		}
	}
	emptied, err := NewKeeper(Rules{EmptyCounts: 2})
	if err != nil {
		t.Fatal(err)
	}
	emptied.Answered(0, answer(0, "a:1"), nil)
	if s := emptied.Answered(1, answer(0), nil); len(s.List) != 1 {
		t.Errorf("emptied by one answer: %+v", s)
	}
	if s := emptied.Answered(2, answer(0), ErrNone); len(s.List) != 0 || !s.Changed {
		t.Errorf("not emptied by two: %+v", s)
	}
	var many Answer
	for i := range MostServers + 5 {
		many.Records = append(many.Records, Record{Addr: fmt.Sprintf("%05d:1", i), Priority: uint16(i % 2)})
	}
	if s := emptied.Answered(3, many, nil); len(s.List) != MostServers/2+3 {
		t.Errorf("%d of the lowest priority", len(s.List))
	}
	if _, err := NewKeeper(Rules{Min: time.Hour}); err == nil {
		t.Error("a least pause above the longest is taken")
	}
}

// TestKeeperNeverLosesEarly: whatever answers come, a list that was good is used until KeepFor after the answer that confirmed it, and the
// next question comes within the bounds.
func TestKeeperNeverLosesEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, err := NewKeeper(Rules{Min: time.Second, Max: 10 * time.Second, KeepFor: time.Minute})
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
				failed = ErrNone
			case 2:
				failed = errors.New("no answer")
			}
			s := k.Answered(now, a, failed)
			if s.Next < time.Second || s.Next > 10*time.Second {
				t.Fatalf("the next question comes after %v", s.Next)
			}
			if holds := had && now-confirmed < time.Minute; holds != (len(s.List) > 0) {
				t.Fatalf("%d servers %v after the answer that confirmed them", len(s.List), now-confirmed)
			}
			had = had && len(s.List) > 0
			now += s.Next
		}
	})
}

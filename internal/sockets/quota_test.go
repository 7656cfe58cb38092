package sockets

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestShares: whatever parts take and give back, none has more than all places, and one can always have what it was promised.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(1, 50).Draw(t, "total")
		s := NewQuota(total)
		var parts []*Share
		wanted := map[*Share]int64{}
		for i := range rapid.IntRange(1, 5).Draw(t, "parts") {
			parts = append(parts, s.NewShare())
			wanted[parts[i]] = rapid.Int64Range(0, 30).Draw(t, string(rune('a'+i)))
		}
		s.SetGuarantees(wanted)
		used := make([]int64, len(parts))
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(parts)-1).Draw(t, "part")
			n := rapid.Int64Range(1, 5).Draw(t, "n")
			if rapid.Bool().Draw(t, "gives") {
				n = min(n, used[i])
				parts[i].Release(n)
				used[i] -= n
			} else if parts[i].TryAcquire(n) {
				used[i] += n
			}
			sum := int64(0)
			for j, p := range parts {
				u, promised := p.Used()
				if u != used[j] {
					t.Fatalf("part %d counts %d, has %d", j, u, used[j])
				}
				sum += u
				if left := promised - u; left > 0 {
					if !p.TryAcquire(left) {
						t.Fatalf("part %d has %d of the %d that it was promised, and gets no more", j, u, promised)
					}
					p.Release(left)
				}
			}
			if sum > total {
				t.Fatalf("%d of %d places are taken", sum, total)
			}
		}
	})
	s := NewQuota(2)
	a, b := s.NewShare(), s.NewShare()
	s.SetGuarantees(map[*Share]int64{a: 1, b: 1})
	if !a.TryAcquire(1) || a.TryAcquire(1) {
		t.Error("a part takes what the other was promised")
	}
	b.Close()
	if !a.TryAcquire(1) {
		t.Error("what a part that is gone was promised is not lent")
	}
	// One that gives up its promise leaves it to another that comes for it in the same step, in whatever order they stand.
	c := s.NewShare()
	for range 9 {
		s.SetGuarantees(map[*Share]int64{a: 0, c: 2})
		if _, promised := c.Used(); promised != 2 {
			t.Fatalf("%d promised of the 2 that were given up", promised)
		}
		s.SetGuarantees(map[*Share]int64{a: 3, c: 1})
		if _, promised := a.Used(); promised != 1 { // three quarters of two
			t.Fatalf("%d promised of 2 where 3 and 1 are wanted", promised)
		}
	}
	c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := a.Acquire(ctx, 1); !errors.Is(err, context.DeadlineExceeded) {
		t.Error(err)
	}
	got := make(chan error, 1)
	go func() { got <- a.Acquire(context.Background(), 1) }()
	time.Sleep(5 * time.Millisecond)
	a.Release(1)
	if err := <-got; err != nil {
		t.Error(err)
	}
}

// TestNobodyGivesBack: who waits for a descriptor that nobody gives back hears so long before the time it has, and is counted.
func TestNobodyGivesBack(t *testing.T) {
	b := New(Reserved + 4)
	s := b.ServerQuota()
	one, other := s.NewShare(), s.NewShare()
	if !one.TryAcquire(s.Total()) {
		t.Fatal("not all places can be had")
	}
	l := b.ForPool(other, func() bool { return false })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := l.Acquire(ctx); !errors.Is(err, ErrNoDescriptor) || ctx.Err() != nil {
		t.Errorf("%v, %v", err, ctx.Err())
	}
	time.AfterFunc(20*time.Millisecond, func() { one.Release(1) })
	release, err := l.Acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	release()
	one.Release(s.Total() - 1) // the share has room, but all of the process's are taken
	for range 4 {
		if _, ok := b.TryAcquire(); !ok {
			t.Fatal("not all descriptors can be had")
		}
	}
	if _, err := l.Acquire(ctx); !errors.Is(err, ErrNoDescriptor) || ctx.Err() != nil {
		t.Errorf("%v, %v", err, ctx.Err())
	}
	if used, _ := other.Used(); used != 0 {
		t.Errorf("%d places are kept for what was not had", used)
	}
	if w := other.Waits(); w != (Waits{Acquired: 1, TimedOut: 2}) {
		t.Errorf("%+v", w)
	}
}

package sockets

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestQuota checks for any sequence of acquires and releases that no more than all places are in
// use, and that each share can always acquire its guarantee.
func TestQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(1, 50).Draw(t, "total")
		s := NewQuota(total)
		var shares []*Share
		wanted := map[*Share]int64{}
		for i := range rapid.IntRange(1, 5).Draw(t, "shares") {
			shares = append(shares, s.NewShare())
			wanted[shares[i]] = rapid.Int64Range(0, 30).Draw(t, string(rune('a'+i)))
		}
		s.SetGuarantees(wanted)
		used := make([]int64, len(shares))
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(shares)-1).Draw(t, "share")
			n := rapid.Int64Range(1, 5).Draw(t, "n")
			if rapid.Bool().Draw(t, "gives") {
				n = min(n, used[i])
				shares[i].Release(n)
				used[i] -= n
			} else if shares[i].TryAcquire(n) {
				used[i] += n
			}
			sum := int64(0)
			for j, p := range shares {
				u, guarantee := p.Used()
				if u != used[j] {
					t.Fatalf("share %d reports %d places, has %d", j, u, used[j])
				}
				sum += u
				if left := guarantee - u; left > 0 {
					if !p.TryAcquire(left) {
						t.Fatalf("share %d uses %d of its guarantee of %d, and gets no more", j, u, guarantee)
					}
					p.Release(left)
				}
			}
			if sum > total {
				t.Fatalf("%d of %d places are in use", sum, total)
			}
		}
	})
	s := NewQuota(2)
	a, b := s.NewShare(), s.NewShare()
	s.SetGuarantees(map[*Share]int64{a: 1, b: 1})
	if !a.TryAcquire(1) || a.TryAcquire(1) {
		t.Error("a share takes the guarantee of another")
	}
	b.Close()
	if !a.TryAcquire(1) {
		t.Error("the guarantee of a closed share is not available")
	}
	// A guarantee that one share gives up is there for another in the same step, in any map order.
	c := s.NewShare()
	for range 9 {
		s.SetGuarantees(map[*Share]int64{a: 0, c: 2})
		if _, guarantee := c.Used(); guarantee != 2 {
			t.Fatalf("guarantee %d, want the 2 that were given up", guarantee)
		}
		s.SetGuarantees(map[*Share]int64{a: 3, c: 1})
		if _, guarantee := a.Used(); guarantee != 1 { // three quarters of two
			t.Fatalf("guarantee %d of 2 places where 3 and 1 are wanted, want 1", guarantee)
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

// TestNoRelease checks that a wait for a descriptor that is never released ends long before the
// caller's deadline, and is counted.
func TestNoRelease(t *testing.T) {
	b := New(Reserved + 4)
	s := b.ServerQuota()
	one, other := s.NewShare(), s.NewShare()
	if !one.TryAcquire(s.Total()) {
		t.Fatal("cannot acquire all places")
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
	one.Release(s.Total() - 1) // the share has free places, but the process has no free descriptor
	for range 4 {
		if _, ok := b.TryAcquire(); !ok {
			t.Fatal("cannot acquire all descriptors")
		}
	}
	if _, err := l.Acquire(ctx); !errors.Is(err, ErrNoDescriptor) || ctx.Err() != nil {
		t.Errorf("%v, %v", err, ctx.Err())
	}
	if used, _ := other.Used(); used != 0 {
		t.Errorf("%d places leaked by failed acquires", used)
	}
	if w := other.Waits(); w != (Waits{Acquired: 1, TimedOut: 2}) {
		t.Errorf("%+v", w)
	}
}

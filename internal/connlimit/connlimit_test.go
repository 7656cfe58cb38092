package connlimit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestLimits checks that no sequence of arrivals, user changes and departures exceeds a limit, and
// that no state of closed connections is kept.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Total: rapid.IntRange(0, 6).Draw(t, "most"), PerAddress: rapid.IntRange(0, 3).Draw(t, "address"), PerUser: rapid.IntRange(0, 2).Draw(t, "user")}
		limiter := New(l)
		var slots []*Slot
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				addr := name.Draw(t, "addr")
				total, byAddress := len(slots), 0
				for _, s := range slots {
					if s.addr == addr {
						byAddress++
					}
				}
				slot, reason := limiter.Acquire(addr)
				full := l.Total > 0 && total >= l.Total || l.PerAddress > 0 && byAddress >= l.PerAddress
				if full == (reason == Admitted) {
					t.Fatalf("with %d connections, %d of them from %s: %v", total, byAddress, addr, reason)
				}
				if reason == Admitted {
					slots = append(slots, slot)
				}
			case 1:
				if len(slots) > 0 {
					slot, user := slots[rapid.IntRange(0, len(slots)-1).Draw(t, "slot")], name.Draw(t, "user")
					sameUser, before := 0, slot.user
					for _, s := range slots {
						if s.user == user {
							sameUser++
						}
					}
					full := l.PerUser > 0 && sameUser >= l.PerUser && before != user
					if reason := slot.SetUser(user); full == (reason == Admitted) || full && slot.user != before {
						t.Fatalf("with %d connections of %s: %v", sameUser, user, reason)
					}
				}
			default:
				if len(slots) > 0 {
					i := rapid.IntRange(0, len(slots)-1).Draw(t, "released")
					slots[i].Release()
					slots[i].Release()
					slots = append(slots[:i], slots[i+1:]...)
				}
			}
			if s := limiter.Stats(); s.Current != len(slots) {
				t.Fatalf("Stats().Current = %d, want %d", s.Current, len(slots))
			}
		}
		for _, s := range slots {
			s.Release()
		}
		if len(limiter.byAddress)+len(limiter.byUser) > 0 {
			t.Fatalf("state of closed connections is kept: %v %v", limiter.byAddress, limiter.byUser)
		}
	})
}

func TestClosed(t *testing.T) {
	l := New(Limits{})
	l.Close()
	if _, reason := l.Acquire("a"); reason != Closed || fmt.Sprint(l.Stats().Rejected) != "map[closing:1]" {
		t.Errorf("%v, %v", reason, l.Stats())
	}
	if err := (Limits{PerUser: -1}).Check(); err == nil || err.Error() != "most_per_user: -1 is below 0" {
		t.Error(err)
	}
}

package connlimit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestBook: whatever comes and goes, no bound is passed, and nothing is kept of those that have left.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Total: rapid.IntRange(0, 6).Draw(t, "most"), PerAddress: rapid.IntRange(0, 3).Draw(t, "address"), PerUser: rapid.IntRange(0, 2).Draw(t, "user")}
		b := New(l)
		var in []*Slot
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				addr := name.Draw(t, "addr")
				all, by := len(in), 0
				for _, g := range in {
					if g.addr == addr {
						by++
					}
				}
				g, why := b.Acquire(addr)
				full := l.Total > 0 && all >= l.Total || l.PerAddress > 0 && by >= l.PerAddress
				if full == (why == Admitted) {
					t.Fatalf("with %d in, %d of them from %s: %v", all, by, addr, why)
				}
				if why == Admitted {
					in = append(in, g)
				}
			case 1:
				if len(in) > 0 {
					g, user := in[rapid.IntRange(0, len(in)-1).Draw(t, "guest")], name.Draw(t, "user")
					same, before := 0, g.user
					for _, o := range in {
						if o.user == user {
							same++
						}
					}
					full := l.PerUser > 0 && same >= l.PerUser && before != user
					if why := g.SetUser(user); full == (why == Admitted) || full && g.user != before {
						t.Fatalf("%d are %s already: %v", same, user, why)
					}
				}
			default:
				if len(in) > 0 {
					i := rapid.IntRange(0, len(in)-1).Draw(t, "leaver")
					in[i].Release()
					in[i].Release()
					in = append(in[:i], in[i+1:]...)
				}
			}
			if s := b.Stats(); s.Current != len(in) {
				t.Fatalf("%d are counted, %d are in", s.Current, len(in))
			}
		}
		for _, g := range in {
			g.Release()
		}
		if len(b.by)+len(b.users) > 0 {
			t.Fatalf("kept of those that left: %v %v", b.by, b.users)
		}
	})
}

func TestClosed(t *testing.T) {
	b := New(Limits{})
	b.Close()
	if _, why := b.Acquire("a"); why != Closed || fmt.Sprint(b.Stats().Rejected) != "map[closing:1]" {
		t.Errorf("%v, %v", why, b.Stats())
	}
	if err := (Limits{PerUser: -1}).Check(); err == nil || err.Error() != "most_per_user: -1 is below 0" {
		t.Error(err)
	}
}

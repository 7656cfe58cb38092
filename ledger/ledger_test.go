package ledger

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillfront/policy"
)

const margin = 250 * time.Millisecond

var (
	order = policy.Class{Name: "order", Effect: policy.Keyed, KeyTTL: 1500 * time.Millisecond}
	pay   = policy.Class{Name: "pay", Effect: policy.Unsafe}
)

func instantAt(up time.Duration) Instant {
	return Instant{Wall: int64(1e18) + int64(up), Boot: 7, Up: int64(time.Hour + up)}
}

// TestDecide tests the action for orders in various states and at various times.
func TestDecide(t *testing.T) {
	print, other := [32]byte{1}, [32]byte{2}
	entry := func(change func(*Entry)) *Entry {
		e := &Entry{Fingerprint: print, FirstSeen: instantAt(0)}
		if change != nil {
			change(e)
		}
		return e
	}
	sent := func(e *Entry) { e.RecordAttempt(Attempt{Server: "a", Zone: "z", Cell: 3, At: instantAt(0)}) }
	for _, tt := range []struct {
		name  string
		class policy.Class
		entry *Entry
		now   Instant
		print [32]byte
		want  Action
	}{
		{"unknown order", order, nil, instantAt(0), print, Fresh},
		{"accepted, never sent", order, entry(nil), instantAt(time.Second), print, Fresh},
		{"never sent, different request", order, entry(nil), instantAt(time.Second), other, Mismatch},
		{"sent, within the window", order, entry(sent), instantAt(time.Second), print, Resend},
		{"sent, at the end of the window less the margin", order, entry(sent), instantAt(1250 * time.Millisecond), print, Unknown},
		{"sent, after the window", order, entry(sent), instantAt(3 * time.Second), print, Unknown},
		{"sent, different request", order, entry(sent), instantAt(time.Second), other, Mismatch},
		{"sent, unsafe", pay, entry(sent), instantAt(time.Millisecond), print, Unknown},
		{"provably did not run", pay, entry(func(e *Entry) { sent(e); e.RecordNotRun(1) }), instantAt(time.Second), print, Fresh},
		{"one of two provably did not run", pay, entry(func(e *Entry) { sent(e); sent(e); e.RecordNotRun(1) }), instantAt(time.Second), print, Unknown},
		{"served", order, entry(func(e *Entry) { sent(e); e.RecordReply([]byte("x")) }), instantAt(time.Hour), print, Replay},
		{"served, different request", order, entry(func(e *Entry) { sent(e); e.RecordReply([]byte("x")) }), instantAt(time.Hour), other, Mismatch},
		{"served, reply not kept", order, entry(func(e *Entry) { sent(e); e.RecordReply(nil) }), instantAt(time.Second), print, Done},
		{"after the retention", pay, entry(sent), instantAt(25 * time.Hour), print, Fresh},
		{"after the retention by a wall clock that was set forward", pay, entry(sent), Instant{Wall: instantAt(1000 * time.Hour).Wall, Boot: 7, Up: instantAt(time.Hour).Up}, print, Unknown},
		{"after the retention, after a reboot", pay, entry(sent), Instant{Wall: instantAt(25 * time.Hour).Wall, Boot: 8, Up: 1}, print, Fresh},
		{"wall clock set back", order, entry(sent), Instant{Wall: instantAt(-time.Hour).Wall, Boot: 7, Up: instantAt(time.Second).Up}, print, Resend},
		{"wall clock set back, after the window", order, entry(sent), Instant{Wall: instantAt(time.Second).Wall, Boot: 7, Up: instantAt(time.Minute).Up}, print, Unknown},
		{"wall clock set forward", order, entry(sent), Instant{Wall: instantAt(time.Hour).Wall, Boot: 7, Up: instantAt(time.Second).Up}, print, Resend},
		{"after a reboot", order, entry(sent), Instant{Wall: instantAt(time.Second).Wall, Boot: 8, Up: instantAt(time.Second).Up}, print, Unknown},
		{"no monotonic clock", order, entry(sent), Instant{Wall: instantAt(time.Second).Wall}, print, Unknown},
		{"monotonic clock before the send", order, entry(sent), instantAt(-time.Second), print, Unknown},
	} {
		v := Decide(tt.class, tt.entry, tt.print, tt.now, margin, 24*time.Hour)
		if v.Action != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, v.Action, tt.want)
		}
		if v.Action == Resend && (len(v.PriorAttempts) != 1 || v.PriorAttempts[0].Zone != "z" || v.PriorAttempts[0].Cell != 3 || v.PriorAttempts[0].Age != time.Duration(tt.now.Up-instantAt(0).Up)) {
			t.Errorf("%s: prior attempts %+v", tt.name, v.PriorAttempts)
		}
	}
	many := entry(nil)
	for range MaxAttempts {
		sent(many)
	}
	if v := Decide(order, many, print, instantAt(0), margin, 0); v.Action != Unknown {
		t.Errorf("order with %d attempts: %v, want unknown", MaxAttempts, v.Action)
	}
}

// TestNoDuplicateEffect: in any history, an order that may have run is sent again only if it is keyed
// and all attempts that may have run are within the window by the monotonic clock. Entries survive
// encoding and decoding between the steps.
func TestNoDuplicateEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.SampledFrom([]policy.Class{order, pay}).Draw(t, "class")
		e := &Entry{Fingerprint: [32]byte{1}, FirstSeen: instantAt(0)}
		elapsed, mayHaveRun, served := time.Duration(0), map[int]time.Duration{}, false
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			elapsed += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			now := instantAt(elapsed)
			now.Wall += int64(rapid.IntRange(-3600, 3600).Draw(t, "clock")) * int64(time.Second)
			v := Decide(c, e, e.Fingerprint, now, margin, 0)
			switch v.Action {
			case Fresh, Resend:
				for _, sent := range mayHaveRun {
					if c.Effect != policy.Keyed || elapsed-sent >= c.KeyTTL {
						t.Fatalf("sent again %v after an attempt that may have run: %v", elapsed-sent, v.Action)
					}
				}
				if served {
					t.Fatalf("sent again after it was served: %v", v.Action)
				}
				n := e.RecordAttempt(Attempt{Server: "a", At: now})
				switch rapid.IntRange(0, 3).Draw(t, "end") {
				case 0:
					e.RecordNotRun(n)
				case 1:
					e.RecordReply([]byte("x"))
					served = true
				default:
					mayHaveRun[n] = elapsed
				}
			case Replay:
				if !served {
					t.Fatal("replayed an order that was never served")
				}
			}
			b, err := e.Marshal()
			if err != nil {
				t.Fatal(err)
			}
			if e, err = Unmarshal(b); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestUnmarshalErrors: invalid bytes give ErrInvalidEntry.
func TestUnmarshalErrors(t *testing.T) {
	for _, b := range [][]byte{nil, {}, {2}, {entryVersion}, {entryVersion, 0xff}, []byte("nonsense")} {
		if e, err := Unmarshal(b); !errors.Is(err, ErrInvalidEntry) {
			t.Errorf("Unmarshal(%x) = %+v, %v", b, e, err)
		}
	}
}

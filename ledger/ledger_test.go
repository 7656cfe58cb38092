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

func at(up time.Duration) Instant {
	return Instant{Wall: int64(1e18) + int64(up), Boot: 7, Up: int64(time.Hour + up)}
}

// TestJudge is a table of what is known of an order, and what follows.
func TestJudge(t *testing.T) {
	print, other := [32]byte{1}, [32]byte{2}
	entry := func(change func(*Entry)) *Entry {
		e := &Entry{Fingerprint: print, FirstSeen: at(0)}
		if change != nil {
			change(e)
		}
		return e
	}
	sent := func(e *Entry) { e.RecordAttempt(Attempt{Server: "a", Zone: "z", Cell: 3, At: at(0)}) }
	for _, tt := range []struct {
		name  string
		class policy.Class
		entry *Entry
		now   Instant
		print [32]byte
		want  Action
	}{
		{"nothing is known", order, nil, at(0), print, Fresh},
		{"taken, and never sent", order, entry(nil), at(time.Second), print, Fresh},
		{"never sent, for something else", order, entry(nil), at(time.Second), other, Mismatch},
		{"sent, within the window", order, entry(sent), at(time.Second), print, Resend},
		{"sent, at the window's end less the margin", order, entry(sent), at(1250 * time.Millisecond), print, Unknown},
		{"sent, past the window", order, entry(sent), at(3 * time.Second), print, Unknown},
		{"sent, for something else", order, entry(sent), at(time.Second), other, Mismatch},
		{"sent, unsafe", pay, entry(sent), at(time.Millisecond), print, Unknown},
		{"proven not to have run", pay, entry(func(e *Entry) { sent(e); e.RecordNotRun(1) }), at(time.Second), print, Fresh},
		{"one of two proven not to have run", pay, entry(func(e *Entry) { sent(e); sent(e); e.RecordNotRun(1) }), at(time.Second), print, Unknown},
		{"served", order, entry(func(e *Entry) { sent(e); e.RecordReply([]byte("x")) }), at(time.Hour), print, Replay},
		{"served, for something else", order, entry(func(e *Entry) { sent(e); e.RecordReply([]byte("x")) }), at(time.Hour), other, Mismatch},
		{"served, and the answer is not kept", order, entry(func(e *Entry) { sent(e); e.RecordReply(nil) }), at(time.Second), print, Done},
		{"past the retention", pay, entry(sent), at(25 * time.Hour), print, Fresh},
		{"past the retention by a clock that was set", pay, entry(sent), Instant{Wall: at(1000 * time.Hour).Wall, Boot: 7, Up: at(time.Hour).Up}, print, Unknown},
		{"past the retention, after the machine's restart", pay, entry(sent), Instant{Wall: at(25 * time.Hour).Wall, Boot: 8, Up: 1}, print, Fresh},
		{"the clock was set back", order, entry(sent), Instant{Wall: at(-time.Hour).Wall, Boot: 7, Up: at(time.Second).Up}, print, Resend},
		{"the clock was set back past the window", order, entry(sent), Instant{Wall: at(time.Second).Wall, Boot: 7, Up: at(time.Minute).Up}, print, Unknown},
		{"the clock was set forward", order, entry(sent), Instant{Wall: at(time.Hour).Wall, Boot: 7, Up: at(time.Second).Up}, print, Resend},
		{"the machine was started anew", order, entry(sent), Instant{Wall: at(time.Second).Wall, Boot: 8, Up: at(time.Second).Up}, print, Unknown},
		{"no clock of the machine", order, entry(sent), Instant{Wall: at(time.Second).Wall}, print, Unknown},
		{"the machine's clock before the send", order, entry(sent), at(-time.Second), print, Unknown},
	} {
		v := Decide(tt.class, tt.entry, tt.print, tt.now, margin, 24*time.Hour)
		if v.Action != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, v.Action, tt.want)
		}
		if v.Action == Resend && (len(v.PriorAttempts) != 1 || v.PriorAttempts[0].Zone != "z" || v.PriorAttempts[0].Cell != 3 || v.PriorAttempts[0].Age != time.Duration(tt.now.Up-at(0).Up)) {
			t.Errorf("%s: past %+v", tt.name, v.PriorAttempts)
		}
	}
	many := entry(nil)
	for range MaxAttempts {
		sent(many)
	}
	if v := Decide(order, many, print, at(0), margin, 0); v.Action != Unknown {
		t.Errorf("with %d attempts: %v", MaxAttempts, v.Action)
	}
}

// TestNeverTwice: whatever has happened, an order that may have run is sent again only if it is keyed and every attempt that
// may have run is within the window by a clock that nobody sets; and an entry comes back from its bytes as it was.
func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.SampledFrom([]policy.Class{order, pay}).Draw(t, "class")
		e := &Entry{Fingerprint: [32]byte{1}, FirstSeen: at(0)}
		up, oldest, ran := time.Duration(0), map[int]time.Duration{}, false
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			up += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			now := at(up)
			now.Wall += int64(rapid.IntRange(-3600, 3600).Draw(t, "clock")) * int64(time.Second)
			v := Decide(c, e, e.Fingerprint, now, margin, 0)
			switch v.Action {
			case Fresh, Resend:
				for _, sent := range oldest {
					if c.Effect != policy.Keyed || up-sent >= c.KeyTTL {
						t.Fatalf("sent again %v after an attempt that may have run: %v", up-sent, v.Action)
					}
				}
				if ran {
					t.Fatalf("sent again after it was served: %v", v.Action)
				}
				n := e.RecordAttempt(Attempt{Server: "a", At: now})
				switch rapid.IntRange(0, 3).Draw(t, "end") {
				case 0:
					e.RecordNotRun(n)
				case 1:
					e.RecordReply([]byte("x"))
					ran = true
				default:
					oldest[n] = up
				}
			case Replay:
				if !ran {
					t.Fatal("an answer that nobody gave")
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

// TestUnmarshalErrors: what is no entry is an error.
func TestUnmarshalErrors(t *testing.T) {
	for _, b := range [][]byte{nil, {}, {2}, {entryVersion}, {entryVersion, 0xff}, []byte("nonsense")} {
		if e, err := Unmarshal(b); !errors.Is(err, ErrInvalidEntry) {
			t.Errorf("%x is %+v, %v", b, e, err)
		}
	}
}

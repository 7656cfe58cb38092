package store

import (
	"context"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestModel compares a store with a map over random calls, restarts and power losses with varying
// outcomes for unsynced data. After each restart the store must be in a state that the map has had,
// no older than the last durable one, and must continue from it.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk, clk := newMemFS(), newClock()
		options := Options{SegmentBytes: 1 << 10, Now: clk.Now, Hints: true}
		s, err := openWithoutWorkers(disk, options)
		if err != nil {
			t.Fatal(err)
		}
		states, durable := []map[string]string{{}}, 0 // since the store was last opened
		addState := func(isDurable bool, change func(map[string]string)) {
			state := maps.Clone(states[len(states)-1])
			change(state)
			states = append(states, state)
			if isDurable {
				durable = len(states) - 1
			}
		}
		check := func(got map[string]string, from int) {
			for i := len(states) - 1; i >= from; i-- {
				if maps.Equal(states[i], got) {
					states, durable = []map[string]string{got}, 0
					return
				}
			}
			t.Fatalf("the contents match no state from %d to %d: %v", from, len(states)-1, got)
		}
		reopen := func() map[string]string {
			if s, err = openWithoutWorkers(disk, options); err != nil {
				t.Fatal(err)
			}
			return rapidContents(t, s)
		}
		key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k, v := key.Draw(t, "key"), rapid.StringN(0, 60, 200).Draw(t, "value")
				d := rapid.SampledFrom([]Durability{Synced, Buffered}).Draw(t, "durability")
				if err := s.Put([]byte(k), []byte(v), d); err != nil {
					t.Fatal(err)
				}
				addState(d == Synced, func(m map[string]string) { m[k] = v })
			},
			"delete": func(t *rapid.T) {
				k := key.Draw(t, "key")
				if err := s.Delete([]byte(k), Buffered); err != nil {
					t.Fatal(err)
				}
				addState(false, func(m map[string]string) { delete(m, k) })
			},
			"compact": func(t *rapid.T) {
				if err := s.Compact(context.Background()); err != nil {
					t.Fatal(err)
				}
			},
			"hints": func(t *rapid.T) {
				if err := s.WriteHints(); err != nil {
					t.Fatal(err)
				}
			},
			"clock": func(t *rapid.T) {
				clk.set(clk.Now().Add(time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "s")) * time.Second))
			},
			"close": func(t *rapid.T) {
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				check(reopen(), len(states)-1)
			},
			"power loss": func(t *rapid.T) {
				part := rapid.Float64Range(0, 1).Draw(t, "part")
				disk = disk.afterPowerLoss(part, rapid.Bool().Draw(t, "zeros"), rapid.Bool().Draw(t, "names"))
				check(reopen(), durable)
			},
			"": func(t *rapid.T) {
				if got := rapidContents(t, s); !maps.Equal(got, states[len(states)-1]) {
					t.Fatalf("contents %v, want %v", got, states[len(states)-1])
				}
			},
		})
	})
}

// rapidContents returns the contents of a store in a rapid test.
func rapidContents(t *rapid.T, s *Store) map[string]string {
	got := map[string]string{}
	err := s.Range(time.Unix(0, 0), time.Unix(1<<32, 0), func(key, value []byte, _ time.Time) bool {
		got[string(key)] = string(value)
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	return got
}

package members

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSharing: whatever comes and goes, nobody is bolder than stated, more of them count at once, and fewer slowly.
func TestSharing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := GroupEstimator{Configured: rapid.IntRange(1, 500).Draw(t, "group"), MaxShareFactor: rapid.Float64Range(1, 8).Draw(t, "bolder"), HalfLife: time.Minute}
		now, last := time.Duration(0), s.Configured
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			d := time.Duration(rapid.Int64Range(0, int64(10*time.Minute)).Draw(t, "d"))
			now += d
			living := rapid.IntRange(1, 1000).Draw(t, "living")
			v := s.Update(now, living)
			if v < living || float64(s.Configured)/float64(v) > s.MaxShareFactor+1e-9 {
				t.Fatalf("%d of %d that live, %d by the settings", v, living, s.Configured)
			}
			if d < time.Minute && 2*v < last-1 {
				t.Fatalf("from %d to %d in %v", last, v, d)
			}
			if n := ScaleOrdinal(s.Configured-1, s.Configured, v); n < 0 || n >= v && n >= s.Configured {
				t.Fatalf("number %d of %d", n, v)
			}
			last = v
		}
	})
}

// TestHints: what one process's list says of a server reaches all, once each, and is over after a while.
func TestHints(t *testing.T) {
	w := settled(t, 20, 1)
	heard := map[int]int{}
	w.onEvent = func(of int, e Event) {
		if e.Kind == Hinted && e.Server == "box-7" {
			heard[of]++
		}
	}
	w.all[3].n.Hint(w.now, "box-7")
	d := w.until(3*sec, func() bool { return len(heard) == 19 })
	w.run(40 * sec)
	for of, k := range heard {
		if k != 1 {
			t.Errorf("%d heard it %d times", of, k)
		}
	}
	for i := range 2 * MaxHints {
		w.all[3].n.Hint(w.now, string(rune('a'+i%26))+string(rune('a'+i/26)))
	}
	if n := len(w.all[3].n.hintsOf); n != MaxHints {
		t.Errorf("%d hints are held", n)
	}
	t.Logf("heard by all after %v", d)
}

package index

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pair is an element of the sorted slice that RankedSet is compared with.
type pair struct {
	hash uint64
	key  string
}

func comparePairs(a, b pair) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.key, b.key))
}

// TestRankedSet compares a RankedSet with a sorted slice, with colliding hashes among the keys.
func TestRankedSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s RankedSet[string]
		var plain []pair
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			p := pair{uint64(rapid.IntRange(0, 7).Draw(t, "hash")), fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))}
			i, want := slices.BinarySearchFunc(plain, p, comparePairs)
			if rank, present := s.Rank(p.key, p.hash); rank != i || present != want {
				t.Fatalf("rank %d, present %v; want %d, %v", rank, present, i, want)
			}
			if rapid.Bool().Draw(t, "insert") {
				if s.Insert(p.key, p.hash) == want {
					t.Fatalf("insert %v: wrong result with present %v", p, want)
				}
				if !want {
					plain = slices.Insert(plain, i, p)
				}
			} else {
				if s.Remove(p.key, p.hash) != want {
					t.Fatalf("remove %v: wrong result with present %v", p, want)
				}
				if want {
					plain = slices.Delete(plain, i, i+1)
				}
			}
			if s.Len() != len(plain) {
				t.Fatalf("%d keys, want %d", s.Len(), len(plain))
			}
			for i, p := range plain {
				if got := s.At(i); got != p.key {
					t.Fatalf("At(%d) = %q, want %q", i, got, p.key)
				}
			}
		}
	})
}

// TestSet compares a Set with a map, and checks that draws and samples return keys of the set with
// equal frequency.
func TestSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var s Set[int]
		plain := map[int]bool{}
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			k := rapid.IntRange(0, 20).Draw(t, "key")
			if rapid.Bool().Draw(t, "add") {
				if s.Add(k) == plain[k] {
					t.Fatalf("wrong result for %d with present %v", k, plain[k])
				}
				plain[k] = true
			} else {
				if s.Remove(k) != plain[k] {
					t.Fatalf("wrong result for %d with present %v", k, plain[k])
				}
				delete(plain, k)
			}
			if s.Len() != len(plain) || s.Has(k) != plain[k] {
				t.Fatalf("%d keys, want %d", s.Len(), len(plain))
			}
			n := rapid.IntRange(0, 25).Draw(t, "sample")
			got := s.Sample(r, n, nil)
			slices.Sort(got)
			if len(got) != min(n, len(plain)) || len(slices.Compact(slices.Clone(got))) != len(got) || slices.ContainsFunc(got, func(k int) bool { return !plain[k] }) {
				t.Fatalf("sample of %d out of %d keys: %v", n, len(plain), got)
			}
			if len(plain) > 0 && !plain[s.Draw(r)] {
				t.Fatal("drew a key that is not in the set")
			}
		}
	})
	r := rand.New(rand.NewPCG(1, 2))
	var s Set[int]
	for i := range 10 {
		s.Add(i)
	}
	var drawn, sampled, matched [10]int
	const n = 20_000
	for range n {
		drawn[s.Draw(r)]++
		for _, k := range s.Sample(r, 3, nil) {
			sampled[k]++
		}
		if k, ok := s.DrawMatching(r, 100, func(k int) bool { return k%2 == 0 }); ok {
			matched[k]++
		}
	}
	for k := range 10 {
		want := 0
		if k%2 == 0 {
			want = n / 5
		}
		if abs(drawn[k]-n/10) > n/100 || abs(sampled[k]-n*3/10) > n/50 || abs(matched[k]-want) > n/50 {
			t.Errorf("key %d: drawn %d times, sampled %d times, matched %d times", k, drawn[k], sampled[k], matched[k])
		}
	}
	if _, ok := s.DrawMatching(r, 3, func(int) bool { return false }); ok {
		t.Error("found a key though none matches")
	}
}

func abs(n int) int { return max(n, -n) }

// TestTimerQueue compares a TimerQueue with a map that is scanned.
func TestTimerQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q TimerQueue[int]
		plain := map[int]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			k := rapid.IntRange(0, 20).Draw(t, "key")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				plain[k] = now + time.Duration(rapid.IntRange(0, 10).Draw(t, "at"))
				q.Schedule(k, plain[k])
			case 2:
				_, want := plain[k]
				if q.Remove(k) != want {
					t.Fatalf("remove %d: wrong result with present %v", k, want)
				}
				delete(plain, k)
			case 3:
				now += time.Duration(rapid.IntRange(0, 3).Draw(t, "elapsed"))
				for k, ok := q.PopDue(now); ok; k, ok = q.PopDue(now) {
					if at, present := plain[k]; !present || at > now {
						t.Fatalf("popped %d, due at %v, at %v", k, at, now)
					}
					delete(plain, k)
				}
				for k, at := range plain {
					if at <= now {
						t.Fatalf("%d, due at %v, was not popped at %v", k, at, now)
					}
				}
			}
			earliest := time.Duration(-1)
			for k, at := range plain {
				if got, ok := q.TimeOf(k); !ok || got != at {
					t.Fatalf("%d is due at %v, want %v", k, got, at)
				}
				if earliest < 0 || at < earliest {
					earliest = at
				}
			}
			if _, at, ok := q.Earliest(); ok != (len(plain) > 0) || ok && at != earliest || q.Len() != len(plain) {
				t.Fatalf("earliest time %v, want %v", at, earliest)
			}
		}
	})
}

// BenchmarkIndex measures one update and one lookup of each collection next to the naive
// implementation, and reports the allocations of an update, which should be none.
func BenchmarkIndex(b *testing.B) {
	for _, n := range []int{16, 128, 1024, 8192, 65_536} {
		keys := make([]string, n)
		hashes := make([]uint64, n)
		for i := range keys {
			keys[i], hashes[i] = fmt.Sprintf("server-%d", i), mix64(uint64(i))
		}
		r := rand.New(rand.NewPCG(1, 2))
		b.Run(fmt.Sprintf("ranked-set/n=%d", n), func(b *testing.B) {
			var s RankedSet[string]
			for i, k := range keys {
				s.Insert(k, hashes[i])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				j := i % n
				s.Remove(keys[j], hashes[j])
				s.Insert(keys[j], hashes[j])
				s.At(j)
			}
		})
		b.Run(fmt.Sprintf("ranked-set-sorted-slice/n=%d", n), func(b *testing.B) {
			var plain []pair
			for i, k := range keys {
				plain = append(plain, pair{hashes[i], k})
			}
			slices.SortFunc(plain, comparePairs)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p := pair{hashes[i%n], keys[i%n]}
				at, _ := slices.BinarySearchFunc(plain, p, comparePairs)
				plain = slices.Delete(plain, at, at+1)
				plain = slices.Insert(plain, at, p)
			}
		})
		b.Run(fmt.Sprintf("set/n=%d", n), func(b *testing.B) {
			var s Set[string]
			for _, k := range keys {
				s.Add(k)
			}
			out := make([]string, 0, 2)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Remove(keys[i%n])
				s.Add(keys[i%n])
				out = s.Sample(r, 2, out[:0])
			}
		})
		b.Run(fmt.Sprintf("set-scan/n=%d", n), func(b *testing.B) {
			in := make([]bool, n)
			var set []int
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				in[i%n] = !in[i%n]
				set = set[:0]
				for j, present := range in {
					if !present {
						set = append(set, j)
					}
				}
				if len(set) > 0 {
					_ = set[r.IntN(len(set))]
				}
			}
		})
		b.Run(fmt.Sprintf("timer-queue/n=%d", n), func(b *testing.B) {
			var q TimerQueue[string]
			for i, k := range keys {
				q.Schedule(k, time.Duration(hashes[i]>>20))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Schedule(keys[i%n], time.Duration(mix64(uint64(i))>>20))
				q.Earliest()
			}
		})
		b.Run(fmt.Sprintf("timer-queue-scan/n=%d", n), func(b *testing.B) {
			at := make([]time.Duration, n)
			for i := 0; b.Loop(); i++ {
				at[i%n] = time.Duration(mix64(uint64(i)) >> 20)
				earliest := at[0]
				for _, v := range at {
					earliest = min(earliest, v)
				}
				_ = earliest
			}
		})
	}
}

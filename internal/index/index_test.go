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

type pair struct {
	hash uint64
	key  string
}

func byPair(a, b pair) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.key, b.key)) }

// TestOrder: an order does what a sorted slice does, also where hashes are equal.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o RankedSet[string]
		var plain []pair
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			p := pair{uint64(rapid.IntRange(0, 7).Draw(t, "hash")), fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))}
			i, has := slices.BinarySearchFunc(plain, p, byPair)
			if rank, is := o.Rank(p.key, p.hash); rank != i || is != has {
				t.Fatalf("rank %d %v, want %d %v", rank, is, i, has)
			}
			if rapid.Bool().Draw(t, "puts") {
				if o.Insert(p.key, p.hash) == has {
					t.Fatalf("put %v: it is there %v", p, has)
				}
				if !has {
					plain = slices.Insert(plain, i, p)
				}
			} else {
				if o.Remove(p.key, p.hash) != has {
					t.Fatalf("remove %v: it is there %v", p, has)
				}
				if has {
					plain = slices.Delete(plain, i, i+1)
				}
			}
			if o.Len() != len(plain) {
				t.Fatalf("%d keys, want %d", o.Len(), len(plain))
			}
			for i, p := range plain {
				if got := o.At(i); got != p.key {
					t.Fatalf("at %d %q, want %q", i, got, p.key)
				}
			}
		}
	})
}

// TestSet: a set does what a map does, and draws and samples from it alone, each key alike often.
func TestSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var s Set[int]
		plain := map[int]bool{}
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			k := rapid.IntRange(0, 20).Draw(t, "key")
			if rapid.Bool().Draw(t, "adds") {
				if s.Add(k) == plain[k] {
					t.Fatalf("%d is there: %v", k, plain[k])
				}
				plain[k] = true
			} else {
				if s.Remove(k) != plain[k] {
					t.Fatalf("%d is there: %v", k, plain[k])
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
				t.Fatalf("a sample of %d of %d: %v", n, len(plain), got)
			}
			if len(plain) > 0 && !plain[s.Draw(r)] {
				t.Fatal("a key is drawn that is not there")
			}
		}
	})
	r := rand.New(rand.NewPCG(1, 2))
	var s Set[int]
	for i := range 10 {
		s.Add(i)
	}
	var drawn, sampled, found [10]int
	const n = 20_000
	for range n {
		drawn[s.Draw(r)]++
		for _, k := range s.Sample(r, 3, nil) {
			sampled[k]++
		}
		if k, has := s.DrawMatching(r, 100, func(k int) bool { return k%2 == 0 }); has {
			found[k]++
		}
	}
	for k := range 10 {
		want := 0
		if k%2 == 0 {
			want = n / 5
		}
		if abs(drawn[k]-n/10) > n/100 || abs(sampled[k]-n*3/10) > n/50 || abs(found[k]-want) > n/50 {
			t.Errorf("%d is drawn %d times, sampled %d times, found %d times", k, drawn[k], sampled[k], found[k])
		}
	}
	if _, has := s.DrawMatching(r, 3, func(int) bool { return false }); has {
		t.Error("what nothing holds for is found")
	}
}

func abs(n int) int { return max(n, -n) }

// TestDue: times do what a map that is walked does.
func TestDue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d TimerQueue[int]
		plain := map[int]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			k := rapid.IntRange(0, 20).Draw(t, "key")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				plain[k] = now + time.Duration(rapid.IntRange(0, 10).Draw(t, "at"))
				d.Schedule(k, plain[k])
			case 2:
				_, has := plain[k]
				if d.Remove(k) != has {
					t.Fatalf("%d is there: %v", k, has)
				}
				delete(plain, k)
			case 3:
				now += time.Duration(rapid.IntRange(0, 3).Draw(t, "passes"))
				for k, has := d.PopDue(now); has; k, has = d.PopDue(now) {
					if at, is := plain[k]; !is || at > now {
						t.Fatalf("%d is due at %v, now %v", k, at, now)
					}
					delete(plain, k)
				}
				for k, at := range plain {
					if at <= now {
						t.Fatalf("%d was due at %v, now %v", k, at, now)
					}
				}
			}
			earliest := time.Duration(-1)
			for k, at := range plain {
				if got, has := d.TimeOf(k); !has || got != at {
					t.Fatalf("%d is due at %v, want %v", k, got, at)
				}
				if earliest < 0 || at < earliest {
					earliest = at
				}
			}
			if _, at, has := d.Earliest(); has != (len(plain) > 0) || has && at != earliest || d.Len() != len(plain) {
				t.Fatalf("the earliest is %v, want %v", at, earliest)
			}
		}
	})
}

// BenchmarkIndex takes one change and one look at each structure beside the plain way, and tells that a change allocates nothing.
func BenchmarkIndex(b *testing.B) {
	for _, n := range []int{16, 128, 1024, 8192, 65_536} {
		keys := make([]string, n)
		hashes := make([]uint64, n)
		for i := range keys {
			keys[i], hashes[i] = fmt.Sprintf("server-%d", i), mixed(uint64(i))
		}
		r := rand.New(rand.NewPCG(1, 2))
		b.Run(fmt.Sprintf("order/n=%d", n), func(b *testing.B) {
			var o RankedSet[string]
			for i, k := range keys {
				o.Insert(k, hashes[i])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				j := i % n
				o.Remove(keys[j], hashes[j])
				o.Insert(keys[j], hashes[j])
				o.At(j)
			}
		})
		b.Run(fmt.Sprintf("order-sorted-slice/n=%d", n), func(b *testing.B) {
			var plain []pair
			for i, k := range keys {
				plain = append(plain, pair{hashes[i], k})
			}
			slices.SortFunc(plain, byPair)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p := pair{hashes[i%n], keys[i%n]}
				at, _ := slices.BinarySearchFunc(plain, p, byPair)
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
		b.Run(fmt.Sprintf("set-collected/n=%d", n), func(b *testing.B) {
			in := make([]bool, n)
			var set []int
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				in[i%n] = !in[i%n]
				set = set[:0]
				for j, is := range in {
					if !is {
						set = append(set, j)
					}
				}
				if len(set) > 0 {
					_ = set[r.IntN(len(set))]
				}
			}
		})
		b.Run(fmt.Sprintf("due/n=%d", n), func(b *testing.B) {
			var d TimerQueue[string]
			for i, k := range keys {
				d.Schedule(k, time.Duration(hashes[i]>>20))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d.Schedule(keys[i%n], time.Duration(mixed(uint64(i))>>20))
				d.Earliest()
			}
		})
		b.Run(fmt.Sprintf("due-walked/n=%d", n), func(b *testing.B) {
			at := make([]time.Duration, n)
			for i := 0; b.Loop(); i++ {
				at[i%n] = time.Duration(mixed(uint64(i)) >> 20)
				least := at[0]
				for _, v := range at {
					least = min(least, v)
				}
				_ = least
			}
		})
	}
}

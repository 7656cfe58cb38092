package compare

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"quillfront/store"
)

// BenchmarkPut puts records from 16 goroutines at each durability.
func BenchmarkPut(b *testing.B) {
	for _, firm := range []bool{true, false} {
		for _, s := range stores {
			b.Run(fmt.Sprintf("%s/firm=%v", s.name, firm), func(b *testing.B) {
				db, err := s.open(b.TempDir(), firm)
				if err != nil {
					b.Fatal(err)
				}
				defer db.Close()
				const writers = 16
				took := make([][]time.Duration, writers)
				before, err := written()
				if err != nil {
					b.Skip(err)
				}
				b.ResetTimer()
				var work sync.WaitGroup
				for w := range writers {
					work.Go(func() {
						for i := w; i < b.N; i += writers {
							began := time.Now()
							if err := db.Put(key(i), value(i), firm); err != nil {
								b.Error(err)
								return
							}
							took[w] = append(took[w], time.Since(began))
						}
					})
				}
				work.Wait()
				b.StopTimer()
				after, err := written()
				if err != nil {
					b.Fatal(err)
				}
				all := slices.Concat(took...)
				slices.Sort(all)
				b.ReportMetric(float64(all[len(all)*99/100].Nanoseconds())/1e3, "p99-us")
				b.ReportMetric(float64(after-before)/float64(b.N*(valueSize+len(key(0)))), "written/stored")
			})
		}
	}
}

// BenchmarkCompaction puts a record every 300 us under keys that are written again, without compaction and beside it.
func BenchmarkCompaction(b *testing.B) {
	for _, rate := range []int64{0, 8 << 20} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			o := store.Options{SegmentBytes: 1 << 20, MostBytes: 1 << 30, CompactRate: rate}
			if rate > 0 {
				o.MostBytes = 8 << 20
			}
			s, err := store.Open(store.Dir(b.TempDir()), o)
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			var all []time.Duration
			began := time.Now()
			for i := range b.N {
				time.Sleep(time.Until(began.Add(time.Duration(i) * 300 * time.Microsecond)))
				at := time.Now()
				if err := s.Put(key(i%9000), value(i), store.Buffered); err != nil {
					b.Fatal(err)
				}
				all = append(all, time.Since(at))
			}
			slices.Sort(all)
			st := s.Stats()
			b.ReportMetric(float64(all[len(all)*99/100].Nanoseconds())/1e3, "p99-us")
			b.ReportMetric(float64(all[len(all)-1].Nanoseconds())/1e3, "max-us")
			b.ReportMetric(float64(st.Bytes)/float64(st.Live), "bytes/live")
		})
	}
}

var million = os.Getenv("COMPARE_KEYS")

// BenchmarkOpen opens what holds that many keys, and tells what of memory it then takes for each.
func BenchmarkOpen(b *testing.B) {
	n := 100_000
	if million != "" {
		n, _ = strconv.Atoi(million)
	}
	for _, s := range stores {
		b.Run(fmt.Sprintf("%s/keys=%d", s.name, n), func(b *testing.B) {
			dir := b.TempDir()
			db, err := s.open(dir, false)
			if err != nil {
				b.Fatal(err)
			}
			var work sync.WaitGroup
			for w := range 16 { // bbolt batches what comes at once
				work.Go(func() {
					for i := w; i < n; i += 16 {
						put := db.Put
						if bl, ok := db.(bolt); ok {
							put = func(k, v []byte, _ bool) error { return bl.Put(k, v, true) }
						}
						if err := put(key(i), value(i), false); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			work.Wait()
			db.Close()
			db = nil
			least := math.Inf(1)
			for b.Loop() {
				before := heap()
				db, err := s.open(dir, false)
				if err != nil {
					b.Fatal(err)
				}
				least = min(least, float64(heap()-before)/float64(n))
				db.Close()
			}
			b.ReportMetric(least, "heap-B/key")
		})
	}
}

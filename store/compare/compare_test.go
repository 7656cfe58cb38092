// Package compare measures the store beside bbolt and pebble, at the work of the order ledger: records of some 250 bytes under keys of
// some 50, written once or twice and read seldom. It is a module of its own, so that nobody else carries the two.
package compare

import (
	"encoding/binary"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble"
	"go.etcd.io/bbolt"

	"quillfront/store"
)

const valueSize = 250

func key(i int) []byte {
	return fmt.Appendf(nil, "delivery-order\x00%032x", uint64(i)*0x9e3779b97f4a7c15)
}

func value(i int) []byte {
	v := make([]byte, valueSize)
	for at := 0; at+8 <= len(v); at += 8 {
		binary.LittleEndian.PutUint64(v[at:], uint64(i+at)*0xbf58476d1ce4e5b9)
	}
	return v
}

// kept is a store as it is measured.
type kept interface {
	Put(key, value []byte, firm bool) error
	Close() error
}

type ours struct{ *store.Store }

func (s ours) Put(k, v []byte, firm bool) error {
	if firm {
		return s.Store.Put(k, v, store.Synced)
	}
	return s.Store.Put(k, v, store.Buffered)
}

type bolt struct{ *bbolt.DB }

var bucket = []byte("orders")

// Put shares a transaction and its sync among those that come at once, as bbolt would have it.
func (s bolt) Put(k, v []byte, firm bool) error {
	put := func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucket)
		if err != nil {
			return err
		}
		return b.Put(k, v)
	}
	if firm {
		return s.Batch(put)
	}
	return s.Update(put)
}

type rocks struct{ *pebble.DB }

func (s rocks) Put(k, v []byte, firm bool) error {
	if firm {
		return s.Set(k, v, pebble.Sync)
	}
	return s.Set(k, v, pebble.NoSync)
}

var stores = []struct {
	name string
	open func(dir string, firm bool) (kept, error)
}{
	{"store", func(dir string, _ bool) (kept, error) {
		s, err := store.Open(store.Dir(dir), store.Options{MostBytes: 4 << 30, MostKeys: 2_000_000})
		return ours{s}, err
	}},
	{"bbolt", func(dir string, firm bool) (kept, error) {
		s, err := bbolt.Open(dir+"/db", 0o600, &bbolt.Options{NoSync: !firm, FreelistType: bbolt.FreelistMapType})
		if err == nil {
			s.MaxBatchDelay = 500 * time.Microsecond
		}
		return bolt{s}, err
	}},
	{"pebble", func(dir string, _ bool) (kept, error) {
		s, err := pebble.Open(dir, &pebble.Options{Logger: quiet{}})
		return rocks{s}, err
	}},
}

type quiet struct{}

func (quiet) Infof(string, ...any)  {}
func (quiet) Errorf(string, ...any) {}
func (quiet) Fatalf(format string, args ...any) {
	panic(fmt.Sprintf(format, args...))
}

// written is what this process has written by system calls, in bytes.
func written(t testing.TB) int64 {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		t.Skip(err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if v, ok := strings.CutPrefix(line, "wchar: "); ok {
			n, _ := strconv.ParseInt(v, 10, 64)
			return n
		}
	}
	t.Fatal("no wchar")
	return 0
}

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
				before := written(b)
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
				all := slices.Concat(took...)
				slices.Sort(all)
				b.ReportMetric(float64(all[len(all)*99/100].Nanoseconds())/1e3, "p99-us")
				b.ReportMetric(float64(written(b)-before)/float64(b.N*(valueSize+len(key(0)))), "written/stored")
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

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

package store

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
)

// benchValue is the size of a value as the order ledger writes it: about 250 bytes, with keys of
// about 50.
const benchValue = 250

func benchKey(i int) []byte {
	return fmt.Appendf(nil, "delivery-order\x00%032x", uint64(i)*0x9e3779b97f4a7c15)
}

func benchRecord(i int) []byte {
	v := make([]byte, benchValue)
	for offset := 0; offset+8 <= len(v); offset += 8 {
		binary.LittleEndian.PutUint64(v[offset:], uint64(i+offset)*0xbf58476d1ce4e5b9)
	}
	return v
}

// plainFile is the baseline: it appends records to one file, and syncs after each durable one.
type plainFile struct {
	mu sync.Mutex
	f  *os.File
}

func (p *plainFile) put(k, v []byte, durable bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, err := p.f.Write(append(slices.Clone(k), v...)); err != nil || !durable {
		return err
	}
	return p.f.Sync()
}

// BenchmarkPut writes durable and buffered records from 16 goroutines to a store, and to a plain
// file for comparison.
func BenchmarkPut(b *testing.B) {
	for _, durable := range []bool{true, false} {
		level := Buffered
		if durable {
			level = Synced
		}
		for _, name := range []string{"store", "plain-file"} {
			b.Run(fmt.Sprintf("%s/durable=%v", name, durable), func(b *testing.B) {
				var put func(k, v []byte) error
				if name == "store" {
					s, err := Open(Dir(b.TempDir()), Options{MaxBytes: 4 << 30, MaxKeys: 2_000_000})
					if err != nil {
						b.Fatal(err)
					}
					defer s.Close()
					put = func(k, v []byte) error { return s.Put(k, v, level) }
				} else {
					f, err := os.Create(filepath.Join(b.TempDir(), "log"))
					if err != nil {
						b.Fatal(err)
					}
					defer f.Close()
					p := &plainFile{f: f}
					put = func(k, v []byte) error { return p.put(k, v, durable) }
				}
				const writers = 16
				latencies := make([][]time.Duration, writers)
				b.ResetTimer()
				var wg sync.WaitGroup
				for w := range writers {
					wg.Go(func() {
						for i := w; i < b.N; i += writers {
							started := time.Now()
							if err := put(benchKey(i), benchRecord(i)); err != nil {
								b.Error(err)
								return
							}
							latencies[w] = append(latencies[w], time.Since(started))
						}
					})
				}
				wg.Wait()
				b.StopTimer()
				all := slices.Concat(latencies...)
				slices.Sort(all)
				b.ReportMetric(float64(all[len(all)*99/100].Nanoseconds())/1e3, "p99-us")
			})
		}
	}
}

// BenchmarkOpen opens a store of 100,000 keys with and without hints, and reports its heap use per
// key.
func BenchmarkOpen(b *testing.B) {
	const keys = 100_000
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, hints := range []bool{true, false} {
		b.Run(fmt.Sprintf("hints=%v", hints), func(b *testing.B) {
			dir := Dir(b.TempDir())
			o := Options{MaxBytes: 4 << 30, MaxKeys: 2_000_000, Hints: hints}
			s, err := Open(dir, o)
			if err != nil {
				b.Fatal(err)
			}
			for i := range keys {
				if err := s.Put(benchKey(i), benchRecord(i), Buffered); err != nil {
					b.Fatal(err)
				}
			}
			s.Close()
			minHeap := 0.0
			for b.Loop() {
				before := heap()
				if s, err = Open(dir, o); err != nil {
					b.Fatal(err)
				}
				if n := (heap() - before) / keys; minHeap == 0 || n < minHeap {
					minHeap = n
				}
				s.Close()
			}
			b.ReportMetric(minHeap, "heap-B/key")
		})
	}
}

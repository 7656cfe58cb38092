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

// The work of the order ledger: records of some 250 bytes under keys of some 50.
const benchValue = 250

func benchKey(i int) []byte {
	return fmt.Appendf(nil, "delivery-order\x00%032x", uint64(i)*0x9e3779b97f4a7c15)
}

func benchRecord(i int) []byte {
	v := make([]byte, benchValue)
	for at := 0; at+8 <= len(v); at += 8 {
		binary.LittleEndian.PutUint64(v[at:], uint64(i+at)*0xbf58476d1ce4e5b9)
	}
	return v
}

// plainFile is the baseline: records are appended to one file, and each durable one is synced by whoever wrote it.
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

// BenchmarkPut puts records from 16 goroutines, durable and buffered, beside the plain file.
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
				took := make([][]time.Duration, writers)
				b.ResetTimer()
				var work sync.WaitGroup
				for w := range writers {
					work.Go(func() {
						for i := w; i < b.N; i += writers {
							began := time.Now()
							if err := put(benchKey(i), benchRecord(i)); err != nil {
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
			})
		}
	}
}

// BenchmarkOpen opens what holds 100,000 keys, with hints and without, and tells what of memory it then takes for each.
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
			least := 0.0
			for b.Loop() {
				before := heap()
				if s, err = Open(dir, o); err != nil {
					b.Fatal(err)
				}
				if n := (heap() - before) / keys; least == 0 || n < least {
					least = n
				}
				s.Close()
			}
			b.ReportMetric(least, "heap-B/key")
		})
	}
}

// Package compare measures the store beside bbolt and pebble, at the work of the order ledger: records of some 250 bytes under keys of
// some 50, written once or twice and read seldom. It is a module of its own, so that nobody else carries the two.
package compare

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
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
	{"store-hints", func(dir string, _ bool) (kept, error) {
		s, err := store.Open(store.Dir(dir), store.Options{MostBytes: 4 << 30, MostKeys: 2_000_000, Hints: true})
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
func written() (int64, error) {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if v, ok := strings.CutPrefix(line, "wchar: "); ok {
			return strconv.ParseInt(v, 10, 64)
		}
	}
	return 0, errors.New("compare: /proc/self/io has no wchar")
}

// heap is what of memory is taken, after a collection.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

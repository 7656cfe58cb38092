package store

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// clock is a settable clock that advances by a millisecond with each reading.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(time.Millisecond)
	return c.now
}

func (c *clock) set(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = t
}

func newClock() *clock { return &clock{now: time.Unix(1_700_000_000, 0)} }

func openStore(t testing.TB, fs FS, change ...func(*Options)) *Store {
	t.Helper()
	o := Options{SegmentBytes: 1 << 10, Now: newClock().Now}
	for _, f := range change {
		f(&o)
	}
	s, err := Open(fs, o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// contents returns all keys and values of a store.
func contents(t testing.TB, s *Store) map[string]string {
	t.Helper()
	m := map[string]string{}
	if err := s.Range(time.Unix(0, 0), time.Unix(1<<32, 0), func(k, v []byte, _ time.Time) bool {
		m[string(k)] = string(v)
		return true
	}); err != nil {
		t.Fatal(err)
	}
	return m
}

// operation is one call of a workload.
type operation struct {
	remove     bool
	key, value string
	d          Durability
	sync       bool // only a Sync
	compact    bool // only a Compact
	hint       bool // only a WriteHints
}

// workload returns n random operations on a few keys. They fill several segments.
func workload(seed uint64, n int) []operation {
	rng := rand.New(rand.NewPCG(seed, 2))
	steps := make([]operation, n)
	for i := range steps {
		s := operation{key: fmt.Sprintf("key-%d", rng.IntN(8)), value: strings.Repeat(fmt.Sprint(i, " "), 1+rng.IntN(20)), d: Buffered}
		switch rng.IntN(14) {
		case 10:
			s.compact = true
		case 11, 12:
			s.hint = true
		case 0:
			s.remove = true
		case 1:
			s.sync = true
		case 2, 3, 4:
			s.d = Synced
		}
		steps[i] = s
	}
	return steps
}

// runWorkload executes the operations until one fails. It returns the state of the store before the
// first and after each operation, and the index of the last state acknowledged as durable.
func runWorkload(s *Store, steps []operation) (states []map[string]string, durable int) {
	state := map[string]string{}
	states = append(states, maps.Clone(state))
	for _, c := range steps {
		var err error
		switch {
		case c.sync:
			err = s.Sync()
		case c.compact:
			err = s.Compact(context.Background())
		case c.hint:
			s.WriteHints() // the background hint writer ignores errors as well
		case c.remove:
			delete(state, c.key)
			err = s.Delete([]byte(c.key), c.d)
		default:
			state[c.key] = c.value
			err = s.Put([]byte(c.key), []byte(c.value), c.d)
		}
		states = append(states, maps.Clone(state)) // a failed operation may have taken effect
		if err != nil {
			return states, durable
		}
		if c.sync || c.d == Synced {
			durable = len(states) - 1
		}
	}
	return states, durable
}

// openWithHints opens a store from hints, without the workers that write them: the workload does.
func openWithHints(t testing.TB, fs FS) (*Store, error) {
	t.Helper()
	return openWithoutWorkers(fs, Options{SegmentBytes: 1 << 10, Now: newClock().Now, Hints: true})
}

// TestPowerLoss simulates a power loss after every byte written and every call made by a workload
// over several segments, with several outcomes for unsynced data. The store must open to a state
// that it has had, no older than the last durable one, must accept writes, and must have the same
// contents after another power loss.
func TestPowerLoss(t *testing.T) {
	steps := workload(1, 60)
	outcomes := []struct {
		part         float64
		zeros, names bool
	}{{0, false, false}, {1, false, true}, {0.5, false, true}, {0.5, true, true}, {0, true, true}, {0.9, true, false}}
	total := 0
	for n := 0; ; n++ {
		m := newMemFS()
		m.steps = n
		s, err := openWithHints(t, m)
		states, durable := []map[string]string{{}}, 0
		if err == nil {
			states, durable = runWorkload(s, steps)
		}
		if !m.powerLost {
			total = n
			break
		}
		for _, w := range outcomes {
			disk := m.afterPowerLoss(w.part, w.zeros, w.names)
			s, err := openWithHints(t, disk)
			if err != nil {
				t.Fatalf("power loss after %d, %+v: %v", n, w, err)
			}
			got := contents(t, s)
			match := -1
			for i := len(states) - 1; i >= durable && match < 0; i-- {
				if maps.Equal(states[i], got) {
					match = i
				}
			}
			if match < 0 {
				t.Fatalf("power loss after %d, %+v: the contents match no state from %d to %d:\n%v", n, w, durable, len(states)-1, got)
			}
			if err := s.Put([]byte("after"), []byte("power loss"), Synced); err != nil {
				t.Fatalf("power loss after %d, %+v: %v", n, w, err)
			}
			got["after"] = "power loss"
			reopened, err := openWithHints(t, disk.afterPowerLoss(0, false, false))
			if err != nil {
				t.Fatalf("power loss after %d, %+v, and again: %v", n, w, err)
			}
			if again := contents(t, reopened); !maps.Equal(got, again) {
				t.Fatalf("power loss after %d, %+v, and again: contents %v, want %v", n, w, again, got)
			}
		}
	}
	if total < 3000 {
		t.Errorf("only %d power losses were simulated, want at least 3000", total)
	}
}

// TestFlippedBits flips a bit in each durable byte. The store must report the file and offset, or
// open to an earlier state. It must never return data that was not written.
func TestFlippedBits(t *testing.T) {
	m := newMemFS()
	s := openStore(t, m)
	steps := workload(3, 25)
	states, _ := runWorkload(s, steps)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	last := states[len(states)-1]
	reported, truncations := 0, 0
	for name, f := range m.files {
		for i := range f.data {
			disk := m.afterPowerLoss(1, false, true)
			disk.files[name].data[i] ^= 1 << (i % 8)
			s, err := Open(disk, Options{SegmentBytes: 1 << 10, Now: newClock().Now})
			var corrupt *CorruptError
			switch {
			case errors.As(err, &corrupt):
				reported++
				if corrupt.File != name {
					t.Errorf("%s at %d: reported as %v", name, i, err)
				}
			case err != nil:
				if !errors.Is(err, ErrVersion) {
					t.Errorf("%s at %d: %v", name, i, err)
				}
			default: // in records that no later one states to be durable, a flip looks like truncation
				truncations++
				got := contents(t, s)
				found := false
				for _, state := range states {
					found = found || maps.Equal(state, got)
				}
				if !found || maps.Equal(got, last) {
					t.Errorf("%s at %d: the contents match no earlier state: %v", name, i, got)
				}
			}
		}
	}
	if reported == 0 || truncations > reported {
		t.Errorf("%d flips reported, %d taken for truncation", reported, truncations)
	}
}

// TestHints: a store opened from hints has the same contents as without them, even if hints are
// corrupt or truncated. A flipped bit in a segment that Open did not read is detected when the
// record is read. Hints of removed segments are removed.
func TestHints(t *testing.T) {
	m := newMemFS()
	s := openStore(t, m)
	states, _ := runWorkload(s, slices.DeleteFunc(workload(7, 120), func(c operation) bool { return c.compact }))
	if err := s.WriteHints(); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	want := states[len(states)-1]
	names := func(m *memFS, ending string) (list []string) {
		for name := range m.files {
			if strings.HasSuffix(name, ending) {
				list = append(list, name)
			}
		}
		slices.Sort(list)
		return list
	}
	hints, segments := names(m, hintSuffix), names(m, segmentSuffix)
	if len(hints) < 2 || len(hints) != len(segments)-1 {
		t.Fatalf("hints %v of segments %v", hints, segments)
	}
	for _, name := range hints {
		for i := range m.files[name].data {
			for _, truncate := range []bool{false, true} {
				disk := m.afterPowerLoss(1, false, true)
				if f := disk.files[name]; truncate {
					f.data = f.data[:i]
				} else {
					f.data[i] ^= 1 << (i % 8)
				}
				s, err := openWithHints(t, disk)
				if err != nil {
					t.Fatalf("%s changed at %d, truncated %v: %v", name, i, truncate, err)
				}
				if got := contents(t, s); !maps.Equal(got, want) {
					t.Fatalf("%s changed at %d, truncated %v: contents %v, want %v", name, i, truncate, got, want)
				}
			}
		}
	}
	detected, closed := 0, segments[len(segments)-2]
	for i := range m.files[closed].data {
		disk := m.afterPowerLoss(1, false, true)
		disk.files[closed].data[i] ^= 1 << (i % 8)
		s, err := openWithHints(t, disk)
		if err != nil {
			t.Fatalf("flip at %d: %v", i, err)
		}
		for key := range want {
			value, _, ok, err := s.Get([]byte(key))
			var corrupt *CorruptError
			if errors.As(err, &corrupt) && corrupt.File == closed {
				detected++
			} else if err != nil || !ok || string(value) != want[key] {
				t.Errorf("flip at %d: %s is %q, %v, %v", i, key, value, ok, err)
			}
		}
	}
	if detected == 0 {
		t.Error("no flipped bit was detected")
	}
	disk := m.afterPowerLoss(1, false, true)
	s, err := openWithHints(t, disk)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Compact(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if left := names(disk, hintSuffix); len(left) > 0 {
		t.Errorf("hints %v remain after compaction", left)
	}
	orphan := m.afterPowerLoss(1, false, true)
	orphan.files["00000000000000099999.hint"] = &memFile{}
	if _, err := openWithHints(t, orphan); err != nil || len(names(orphan, "99999.hint")) > 0 {
		t.Errorf("a hint without a segment is not removed, or Open failed: %v", err)
	}
}

// TestFailedSync: after a failed sync the store must not report unsynced writes as durable. Once
// syncs succeed again they become durable.
func TestFailedSync(t *testing.T) {
	m := newMemFS()
	s := openStore(t, m)
	if err := s.Put([]byte("a"), []byte("1"), Synced); err != nil {
		t.Fatal(err)
	}
	m.failSync = true
	for range 3 {
		if err := s.Put([]byte("b"), []byte("2"), Synced); !errors.Is(err, errSync) {
			t.Fatalf("Put during failing syncs: %v, want errSync", err)
		}
		if s.Err() == nil {
			t.Error("Err reports no failure")
		}
	}
	if got := contents(t, openStore(t, m.afterPowerLoss(0, false, false))); len(got) != 1 || got["a"] != "1" {
		t.Errorf("contents after a power loss: %v", got)
	}
	m.failSync = false
	if err := s.Put([]byte("c"), []byte("3"), Synced); err != nil {
		t.Fatal(err)
	}
	if s.Err() != nil {
		t.Errorf("Err still reports %v", s.Err())
	}
	for _, part := range []float64{0, 0.5, 1} {
		if got := contents(t, openStore(t, m.afterPowerLoss(part, false, false))); len(got) != 3 || got["b"] != "2" || got["c"] != "3" {
			t.Errorf("contents after recovery and a power loss: %v", got)
		}
	}
}

// TestDiskFull: a write without enough disk space fails and leaves nothing behind. The store
// accepts writes again once there is space.
func TestDiskFull(t *testing.T) {
	m := newMemFS()
	s := openStore(t, m)
	if err := s.Put([]byte("a"), []byte("1"), Synced); err != nil {
		t.Fatal(err)
	}
	m.full = true
	for range 5 {
		if err := s.Put([]byte("b"), []byte(strings.Repeat("x", 300)), Synced); !errors.Is(err, errNoSpace) {
			t.Fatalf("Put on a full disk: %v, want errNoSpace", err)
		}
	}
	if v, _, ok, err := s.Get([]byte("a")); !ok || string(v) != "1" || err != nil {
		t.Errorf("Get of an earlier key: %q, %v, %v", v, ok, err)
	}
	m.full = false
	if err := s.Put([]byte("c"), []byte("3"), Synced); err != nil {
		t.Fatal(err)
	}
	for _, part := range []float64{0, 1} {
		if got := contents(t, openStore(t, m.afterPowerLoss(part, false, true))); len(got) != 2 || got["a"] != "1" || got["c"] != "3" {
			t.Errorf("contents once there is space: %v", got)
		}
	}
}

// TestDiskFullWhileCompactingOrOpening: no data is lost if the disk is full during compaction or
// Open, and compaction succeeds once there is space.
func TestDiskFullWhileCompactingOrOpening(t *testing.T) {
	m := newMemFS()
	s := openStore(t, m)
	for i := range 60 {
		if err := s.Put(fmt.Appendf(nil, "k%d", i%20), []byte(strings.Repeat(fmt.Sprint(i), 30)), Synced); err != nil {
			t.Fatal(err)
		}
	}
	want := contents(t, s)
	before := s.Stats()
	m.full = true
	if err := s.Compact(t.Context()); !errors.Is(err, errNoSpace) {
		t.Errorf("compacting on a full disk: %v", err)
	}
	if got := contents(t, s); !maps.Equal(got, want) {
		t.Errorf("contents after the failed compaction: %v", got)
	}
	disk := m.afterPowerLoss(0.5, false, true)
	disk.full = true
	found := openStore(t, disk)
	if got := contents(t, found); !maps.Equal(got, want) {
		t.Errorf("contents when opened on a full disk: %v", got)
	}
	disk.full = false
	if err := found.Compact(t.Context()); err != nil {
		t.Fatal(err)
	}
	after := found.Stats()
	if got := contents(t, openStore(t, disk.afterPowerLoss(0, false, false))); !maps.Equal(got, want) || after.Bytes >= before.Bytes || after.Live > after.Bytes {
		t.Errorf("after compaction: contents %v, stats %+v, and %+v before", got, after, before)
	}
}

// TestLimits tests the limits on the number of keys, the total size and the sizes of keys, values
// and segments.
func TestLimits(t *testing.T) {
	s := openStore(t, newMemFS(), func(o *Options) { o.MaxBytes, o.MaxKeys = 4<<10, 3 })
	for i := range 3 {
		if err := s.Put(fmt.Appendf(nil, "k%d", i), nil, Buffered); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Put([]byte("k3"), nil, Buffered); !errors.Is(err, ErrFull) {
		t.Errorf("one key beyond MaxKeys: %v", err)
	}
	var err error
	for range 100 {
		if err = s.Put([]byte("k0"), make([]byte, 200), Buffered); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrFull) {
		t.Errorf("writes beyond MaxBytes: %v", err)
	}
	for _, kv := range [][2]int{{0, 1}, {MaxKeySize + 1, 1}, {1, MaxValueSize + 1}} {
		if err := s.Put(make([]byte, kv[0]), make([]byte, kv[1]), Buffered); !errors.Is(err, ErrSize) {
			t.Errorf("key of %d bytes and value of %d: %v", kv[0], kv[1], err)
		}
	}
	if _, err := Open(newMemFS(), Options{SegmentBytes: 1}); err == nil {
		t.Error("SegmentBytes of 1 is accepted")
	}
}

// TestRetention: records expire after the retention, and segments are removed once all of their
// records have expired. Setting the clock back across a restart changes no record's age.
func TestRetention(t *testing.T) {
	m, c := newMemFS(), newClock()
	hour := func(o *Options) { o.Retention, o.Now = time.Hour, c.Now }
	s := openStore(t, m, hour)
	start := c.Now()
	for i := range 20 {
		if err := s.Put(fmt.Appendf(nil, "old-%d", i), make([]byte, 100), Synced); err != nil {
			t.Fatal(err)
		}
	}
	files := len(m.files)
	c.set(start.Add(59 * time.Minute))
	s.Put([]byte("new"), []byte("1"), Synced)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	c.set(start.Add(-24 * time.Hour)) // set back
	s = openStore(t, m, hour)
	if got := contents(t, s); len(got) != 21 {
		t.Errorf("%d records after the clock was set back, want 21", len(got))
	}
	s.Put([]byte("newer"), []byte("2"), Synced)
	if _, at, ok, _ := s.Get([]byte("newer")); !ok || at.Before(start.Add(59*time.Minute)) {
		t.Errorf("record time %v is earlier than that of a previous record", at)
	}
	c.set(start.Add(90 * time.Minute))
	if _, _, ok, _ := s.Get([]byte("old-3")); ok {
		t.Error("a record is returned after its retention")
	}
	s.Put([]byte("newest"), []byte("3"), Synced)
	if got := contents(t, s); len(got) != 3 || len(m.files) >= files {
		t.Errorf("contents %v, %d files, %d before", got, len(m.files), files)
	}
}

// TestOpenErrors: Open reports a second process, a newer version and an invalid file name, and the
// methods of a closed store return ErrClosed.
func TestOpenErrors(t *testing.T) {
	m := newMemFS()
	s := openStore(t, m)
	s.Put([]byte("a"), []byte("1"), Synced)
	if _, err := Open(m, Options{}); !errors.Is(err, ErrLocked) {
		t.Errorf("Open by a second process: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); !errors.Is(err, ErrClosed) {
		t.Errorf("second Close: %v", err)
	}
	if err := s.Put([]byte("a"), nil, Buffered); !errors.Is(err, ErrClosed) {
		t.Errorf("Put on a closed store: %v", err)
	}
	name := segmentName(1)
	newer := appendSegmentHeader(nil, 1)
	newer[len(segmentMagic)]++
	newer = newer[:segmentHeaderSize-4]
	m.files[name].data = append(binary.LittleEndian.AppendUint32(newer, crc32.Checksum(newer, castagnoli)), m.files[name].data[segmentHeaderSize:]...)
	if _, err := Open(m, Options{}); !errors.Is(err, ErrVersion) || !strings.Contains(err.Error(), name) {
		t.Errorf("Open of a newer version: %v", err)
	}
	other := newMemFS()
	other.files["7.seg"] = &memFile{}
	var corrupt *CorruptError
	if _, err := Open(other, Options{}); !errors.As(err, &corrupt) {
		t.Errorf("Open with an invalid file name: %v", err)
	}
}

// TestDir tests a store on the local file system with concurrent writers, and that the directory
// cannot be opened twice.
func TestDir(t *testing.T) {
	d := Dir(t.TempDir())
	s := openStore(t, d, func(o *Options) { o.SegmentBytes = 16 << 10 })
	if _, err := Open(d, Options{}); !errors.Is(err, ErrLocked) {
		t.Errorf("second Open: %v", err)
	}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for j := range 50 {
				if err := s.Put(fmt.Appendf(nil, "%d-%d", i, j), make([]byte, 100), Durability(j%2)); err != nil {
					t.Error(err)
				}
				if v, _, ok, err := s.Get(fmt.Appendf(nil, "%d-%d", i, j)); !ok || len(v) != 100 || err != nil {
					t.Errorf("Get: %d bytes, %v, %v", len(v), ok, err)
				}
			}
		})
	}
	wg.Wait()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = openStore(t, d)
	if n := s.Len(); n != 400 {
		t.Errorf("%d keys after reopening, want 400", n)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// FuzzParse: no input makes the decoder panic, and a decoded record is encoded to the same bytes.
func FuzzParse(f *testing.F) {
	r := record{seq: 7, durableSeq: 3, time: 5, kind: kindPut, key: []byte("key"), value: []byte("value")}
	f.Add(r.appendTo(nil))
	f.Add([]byte{})
	f.Add(make([]byte, recordHeaderSize))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := parseRecord(b)
		if err != nil {
			return
		}
		if again := r.appendTo(nil); string(again) != string(b[:r.size()]) {
			t.Errorf("%q is encoded as %q", b[:r.size()], again)
		}
	})
}

// TestPreallocation: a segment keeps its length while it is written and is truncated after its last
// record when the store closes. A new segment fails at once if the disk has no space for all of it.
func TestPreallocation(t *testing.T) {
	m := newMemFS()
	s := openStore(t, m)
	for i := range 3 {
		if err := s.Put([]byte{'a' + byte(i)}, []byte("value"), Synced); err != nil {
			t.Fatal(err)
		}
		if n := len(m.files[segmentName(1)].data); n != 1<<10 {
			t.Errorf("file of %d bytes after %d writes, want 1024", n, i+1)
		}
	}
	if got := contents(t, openStore(t, m.afterPowerLoss(0, true, false))); len(got) != 3 {
		t.Errorf("contents after a power loss: %v", got)
	}
	size := s.Stats().Bytes
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if n := len(m.files[segmentName(1)].data); int64(n) != size {
		t.Errorf("file of %d bytes after Close, want %d", n, size)
	}
	s = openStore(t, m)
	m.full = true
	if err := s.Put([]byte("d"), []byte(strings.Repeat("x", 1<<10)), Buffered); !errors.Is(err, errNoSpace) {
		t.Errorf("Put without space for a segment: %v", err)
	}
	m.full = false
	if err := s.Put([]byte("d"), []byte("value"), Synced); err != nil {
		t.Errorf("Put once there is space: %v", err)
	}
}

// FuzzHint: any hint is either rejected or describes consecutive records within its segment.
func FuzzHint(f *testing.F) {
	m := newMemFS()
	s := openStore(f, m)
	runWorkload(s, workload(7, 60))
	s.WriteHints()
	for name, file := range m.files {
		if strings.HasSuffix(name, hintSuffix) {
			f.Add(file.data)
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) >= 4 { // fix the checksum, which would reject nearly all inputs
			binary.LittleEndian.PutUint32(b[len(b)-4:], crc32.Checksum(b[:len(b)-4], castagnoli))
		}
		next := segmentHeaderSize
		end, err := parseHint(b, 1, 9, 1<<20, func(h hintEntry, offset int) {
			if offset != next || len(h.key) == 0 {
				t.Errorf("record with key %q at offset %d, want %d", h.key, offset, next)
			}
			next += h.size
		})
		if err == nil && (end != int64(next) || end > 1<<20) {
			t.Errorf("end is %d, but the records end at %d", end, next)
		}
	})
}

// FuzzRecover: a store with an arbitrary segment either fails to open or has the same contents when
// it is closed and reopened.
func FuzzRecover(f *testing.F) {
	m := newMemFS()
	s := openStore(f, m)
	runWorkload(s, workload(5, 5))
	f.Add(m.files[segmentName(1)].data)
	f.Add(appendSegmentHeader(nil, 1))
	f.Add([]byte("QFSTORE"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m := newMemFS()
		m.files[segmentName(1)] = &memFile{data: b, synced: len(b)}
		s, err := Open(m, Options{SegmentBytes: 1 << 10, Now: newClock().Now, Retention: math.MaxInt64})
		if err != nil {
			return
		}
		before := contents(t, s)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		if after := contents(t, openStore(t, m, func(o *Options) { o.Retention = math.MaxInt64 })); !maps.Equal(before, after) {
			t.Errorf("contents %v, after reopening %v", before, after)
		}
	})
}

// TestFlippedBitInDurableRecord: a flipped bit in a record that a later one states to be durable is
// reported as corruption, not taken for truncation. In the last record of all they cannot be
// distinguished.
func TestFlippedBitInDurableRecord(t *testing.T) {
	m := newMemFS()
	s := openStore(t, m)
	var ends []int
	for _, k := range []string{"a", "b", "c"} {
		if err := s.Put([]byte(k), []byte("value"), Synced); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, int(s.Stats().Bytes))
	}
	flipped := func(at int) (*Store, error) {
		disk := m.afterPowerLoss(1, false, true)
		disk.files[segmentName(1)].data[at] ^= 1
		return Open(disk, Options{Now: newClock().Now})
	}
	var corrupt *CorruptError
	if _, err := flipped(ends[1] - 1); !errors.As(err, &corrupt) || corrupt.Offset != int64(ends[0]) {
		t.Errorf("flipped bit in the second record: %v, want offset %d", err, ends[0])
	}
	s, err := flipped(ends[2] - 1)
	if err != nil {
		t.Fatalf("flipped bit in the last record: %v", err)
	}
	if got := contents(t, s); len(got) != 2 {
		t.Errorf("contents with a flipped bit in the last record: %v", got)
	}
}

// TestProcessCrash: buffered writes survive a crash of the process, and are durable after Sync.
func TestProcessCrash(t *testing.T) {
	m := newMemFS()
	s := openStore(t, m)
	s.Put([]byte("a"), []byte("1"), Synced)
	s.Put([]byte("b"), []byte("2"), Buffered)
	m.locked = false // as the system releases the lock of a crashed process
	s = openStore(t, m)
	if got := contents(t, s); len(got) != 2 {
		t.Errorf("contents after the crash: %v", got)
	}
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	if got := contents(t, openStore(t, m.afterPowerLoss(0, false, false))); len(got) != 2 {
		t.Errorf("contents after Sync and a power loss: %v", got)
	}
}

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

// clock is a clock that a test sets.
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

func open(t testing.TB, fs FS, change ...func(*Options)) *Store {
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

// contents is all that a store holds.
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

// step is one call of a workload.
type step struct {
	remove     bool
	key, value string
	d          Durability
	sync       bool // only a Sync
	compact    bool // only a Compact
	hint       bool // only a WriteHints
}

// workload draws calls over some keys, which fill several segments.
func workload(seed uint64, n int) []step {
	rng := rand.New(rand.NewPCG(seed, 2))
	steps := make([]step, n)
	for i := range steps {
		s := step{key: fmt.Sprintf("key-%d", rng.IntN(8)), value: strings.Repeat(fmt.Sprint(i, " "), 1+rng.IntN(20)), d: Buffered}
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

// play makes the calls until one fails. It returns the states that the store had after each call, from the empty one on,
// and the number of the last state that was acknowledged as durable.
func play(s *Store, steps []step) (states []map[string]string, durable int) {
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
			s.WriteHints() // beside writes nobody hears of its errors either
		case c.remove:
			delete(state, c.key)
			err = s.Delete([]byte(c.key), c.d)
		default:
			state[c.key] = c.value
			err = s.Put([]byte(c.key), []byte(c.value), c.d)
		}
		states = append(states, maps.Clone(state)) // the call that fails may have taken place
		if err != nil {
			return states, durable
		}
		if c.sync || c.d == Synced {
			durable = len(states) - 1
		}
	}
	return states, durable
}

// byHints opens by hints, and leaves the writing of them to the workload.
func byHints(t testing.TB, fs FS) (*Store, error) {
	t.Helper()
	return prepare(fs, Options{SegmentBytes: 1 << 10, Now: newClock().Now, Hints: true})
}

// TestPowerCut cuts the power after every byte written and every call made, for a workload over several segments, and
// with each cut finds the disk in several ways. The store opens to a state that it has had, not before the last that was
// durable, and can be written to; cut once more at once it is still there.
func TestPowerCut(t *testing.T) {
	steps := workload(1, 60)
	ways := []struct {
		part         float64
		zeros, names bool
	}{{0, false, false}, {1, false, true}, {0.5, false, true}, {0.5, true, true}, {0, true, true}, {0.9, true, false}}
	total := 0
	for n := 0; ; n++ {
		m := newMemFS()
		m.steps = n
		s, err := byHints(t, m)
		states, durable := []map[string]string{{}}, 0
		if err == nil {
			states, durable = play(s, steps)
		}
		if !m.cut {
			total = n
			break
		}
		for _, w := range ways {
			disk := m.after(w.part, w.zeros, w.names)
			s, err := byHints(t, disk)
			if err != nil {
				t.Fatalf("cut after %d, %+v: %v", n, w, err)
			}
			got := contents(t, s)
			at := -1
			for i := len(states) - 1; i >= durable && at < 0; i-- {
				if maps.Equal(states[i], got) {
					at = i
				}
			}
			if at < 0 {
				t.Fatalf("cut after %d, %+v: the state is none from %d to %d:\n%v", n, w, durable, len(states)-1, got)
			}
			if err := s.Put([]byte("after"), []byte("the cut"), Synced); err != nil {
				t.Fatalf("cut after %d, %+v: %v", n, w, err)
			}
			got["after"] = "the cut"
			once, err := byHints(t, disk.after(0, false, false))
			if err != nil {
				t.Fatalf("cut after %d, %+v, and again: %v", n, w, err)
			}
			if again := contents(t, once); !maps.Equal(got, again) {
				t.Fatalf("cut after %d, %+v, and again: %v, want %v", n, w, again, got)
			}
		}
	}
	if total < 3000 {
		t.Errorf("only %d cuts", total)
	}
}

// TestFlippedBits flips each bit of what is durable, and then cuts what follows: the store reports file and offset, or
// opens to what it had; it never shows what was not written.
func TestFlippedBits(t *testing.T) {
	m := newMemFS()
	s := open(t, m)
	steps := workload(3, 25)
	states, _ := play(s, steps)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	last := states[len(states)-1]
	reported, cut := 0, 0
	for name, f := range m.files {
		for i := range f.data {
			disk := m.after(1, false, true)
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
			default: // behind the last record that tells that it was durable, a flip cannot be told from a cut
				cut++
				got := contents(t, s)
				found := false
				for _, state := range states {
					found = found || maps.Equal(state, got)
				}
				if !found || maps.Equal(got, last) {
					t.Errorf("%s at %d: %v", name, i, got)
				}
			}
		}
	}
	if reported == 0 || cut > reported {
		t.Errorf("%d reported, %d taken for cuts", reported, cut)
	}
}

// TestHints: a store that is opened by hints is what it is without, whatever has become of the hints; a flip in a segment that
// was not read is found when its record is, and those of segments that are gone go too.
func TestHints(t *testing.T) {
	m := newMemFS()
	s := open(t, m)
	states, _ := play(s, slices.DeleteFunc(workload(7, 120), func(c step) bool { return c.compact }))
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
	hints, segments := names(m, hintSuffix), names(m, suffix)
	if len(hints) < 2 || len(hints) != len(segments)-1 {
		t.Fatalf("hints %v of %v", hints, segments)
	}
	for _, name := range hints {
		for i := range m.files[name].data {
			for _, cut := range []bool{false, true} {
				disk := m.after(1, false, true)
				if f := disk.files[name]; cut {
					f.data = f.data[:i]
				} else {
					f.data[i] ^= 1 << (i % 8)
				}
				s, err := byHints(t, disk)
				if err != nil {
					t.Fatalf("%s changed at %d, cut %v: %v", name, i, cut, err)
				}
				if got := contents(t, s); !maps.Equal(got, want) {
					t.Fatalf("%s changed at %d, cut %v: %v, want %v", name, i, cut, got, want)
				}
			}
		}
	}
	found, sealed := 0, segments[len(segments)-2]
	for i := range m.files[sealed].data {
		disk := m.after(1, false, true)
		disk.files[sealed].data[i] ^= 1 << (i % 8)
		s, err := byHints(t, disk)
		if err != nil {
			t.Fatalf("flip at %d: %v", i, err)
		}
		for key := range want {
			value, _, ok, err := s.Get([]byte(key))
			var corrupt *CorruptError
			if errors.As(err, &corrupt) && corrupt.File == sealed {
				found++
			} else if err != nil || !ok || string(value) != want[key] {
				t.Errorf("flip at %d: %s is %q, %v, %v", i, key, value, ok, err)
			}
		}
	}
	if found == 0 {
		t.Error("no flip was found")
	}
	disk := m.after(1, false, true)
	s, err := byHints(t, disk)
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
		t.Errorf("%v are left", left)
	}
	orphan := m.after(1, false, true)
	orphan.files["00000000000000099999.hint"] = &memFile{}
	if _, err := byHints(t, orphan); err != nil || len(names(orphan, "99999.hint")) > 0 {
		t.Errorf("a hint without a segment stays, or %v", err)
	}
}

// TestFailedSync: what a failed sync left unsure is not claimed durable, and is so once writing works again.
func TestFailedSync(t *testing.T) {
	m := newMemFS()
	s := open(t, m)
	if err := s.Put([]byte("a"), []byte("1"), Synced); err != nil {
		t.Fatal(err)
	}
	m.noSync = true
	for range 3 {
		if err := s.Put([]byte("b"), []byte("2"), Synced); !errors.Is(err, errSync) {
			t.Fatalf("error %v", err)
		}
		if s.Err() == nil {
			t.Error("the state tells of no failure")
		}
	}
	if got := contents(t, open(t, m.after(0, false, false))); len(got) != 1 || got["a"] != "1" {
		t.Errorf("after a cut: %v", got)
	}
	m.noSync = false
	if err := s.Put([]byte("c"), []byte("3"), Synced); err != nil {
		t.Fatal(err)
	}
	if s.Err() != nil {
		t.Errorf("the state still tells of %v", s.Err())
	}
	for _, part := range []float64{0, 0.5, 1} {
		if got := contents(t, open(t, m.after(part, false, false))); len(got) != 3 || got["b"] != "2" || got["c"] != "3" {
			t.Errorf("after it works again and a cut: %v", got)
		}
	}
}

// TestDiskFull: a write that finds no room fails and leaves nothing behind; the store goes on by itself once there is some.
func TestDiskFull(t *testing.T) {
	m := newMemFS()
	s := open(t, m)
	if err := s.Put([]byte("a"), []byte("1"), Synced); err != nil {
		t.Fatal(err)
	}
	m.full = true
	for range 5 {
		if err := s.Put([]byte("b"), []byte(strings.Repeat("x", 300)), Synced); !errors.Is(err, errRoom) {
			t.Fatalf("error %v", err)
		}
	}
	if v, _, ok, err := s.Get([]byte("a")); !ok || string(v) != "1" || err != nil {
		t.Errorf("what was there: %q, %v, %v", v, ok, err)
	}
	m.full = false
	if err := s.Put([]byte("c"), []byte("3"), Synced); err != nil {
		t.Fatal(err)
	}
	for _, part := range []float64{0, 1} {
		if got := contents(t, open(t, m.after(part, false, true))); len(got) != 2 || got["a"] != "1" || got["c"] != "3" {
			t.Errorf("after it works again: %v", got)
		}
	}
}

// TestDiskFullElsewhere: a disk that is full while the store compacts or opens costs nothing that was written, and compaction
// goes on once there is room.
func TestDiskFullElsewhere(t *testing.T) {
	m := newMemFS()
	s := open(t, m)
	for i := range 60 {
		if err := s.Put(fmt.Appendf(nil, "k%d", i%20), []byte(strings.Repeat(fmt.Sprint(i), 30)), Synced); err != nil {
			t.Fatal(err)
		}
	}
	want := contents(t, s)
	before := s.Stats()
	m.full = true
	if err := s.Compact(t.Context()); !errors.Is(err, errRoom) {
		t.Errorf("compacting on a full disk: %v", err)
	}
	if got := contents(t, s); !maps.Equal(got, want) {
		t.Errorf("after that: %v", got)
	}
	disk := m.after(0.5, false, true)
	disk.full = true
	found := open(t, disk)
	if got := contents(t, found); !maps.Equal(got, want) {
		t.Errorf("opened on a full disk: %v", got)
	}
	disk.full = false
	if err := found.Compact(t.Context()); err != nil {
		t.Fatal(err)
	}
	after := found.Stats()
	if got := contents(t, open(t, disk.after(0, false, false))); !maps.Equal(got, want) || after.Bytes >= before.Bytes || after.Live > after.Bytes {
		t.Errorf("compacted: %v, %+v, and %+v before", got, after, before)
	}
}

// TestBounds: of keys, bytes and sizes.
func TestBounds(t *testing.T) {
	s := open(t, newMemFS(), func(o *Options) { o.MaxBytes, o.MaxKeys = 4<<10, 3 })
	for i := range 3 {
		if err := s.Put(fmt.Appendf(nil, "k%d", i), nil, Buffered); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Put([]byte("k3"), nil, Buffered); !errors.Is(err, ErrFull) {
		t.Errorf("a key too many: %v", err)
	}
	var err error
	for range 100 {
		if err = s.Put([]byte("k0"), make([]byte, 200), Buffered); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrFull) {
		t.Errorf("bytes without end: %v", err)
	}
	for _, kv := range [][2]int{{0, 1}, {MaxKeySize + 1, 1}, {1, MaxValueSize + 1}} {
		if err := s.Put(make([]byte, kv[0]), make([]byte, kv[1]), Buffered); !errors.Is(err, ErrSize) {
			t.Errorf("key of %d bytes and value of %d: %v", kv[0], kv[1], err)
		}
	}
	if _, err := Open(newMemFS(), Options{SegmentBytes: 1}); err == nil {
		t.Error("segments of a byte are taken")
	}
}

// TestRetention: records end with their time, segments with all of their records; a clock that is set back across a
// restart makes nothing older than it is.
func TestRetention(t *testing.T) {
	m, c := newMemFS(), newClock()
	hour := func(o *Options) { o.Retention, o.Now = time.Hour, c.Now }
	s := open(t, m, hour)
	began := c.Now()
	for i := range 20 {
		if err := s.Put(fmt.Appendf(nil, "old-%d", i), make([]byte, 100), Synced); err != nil {
			t.Fatal(err)
		}
	}
	files := len(m.files)
	c.set(began.Add(59 * time.Minute))
	s.Put([]byte("new"), []byte("1"), Synced)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	c.set(began.Add(-24 * time.Hour)) // set back
	s = open(t, m, hour)
	if got := contents(t, s); len(got) != 21 {
		t.Errorf("%d records after the clock was set back, want 21", len(got))
	}
	s.Put([]byte("newer"), []byte("2"), Synced)
	if _, at, ok, _ := s.Get([]byte("newer")); !ok || at.Before(began.Add(59*time.Minute)) {
		t.Errorf("a record of %v: time has run backwards", at)
	}
	c.set(began.Add(90 * time.Minute))
	if _, _, ok, _ := s.Get([]byte("old-3")); ok {
		t.Error("a record outlives its retention")
	}
	s.Put([]byte("newest"), []byte("3"), Synced)
	if got := contents(t, s); len(got) != 3 || len(m.files) >= files {
		t.Errorf("%v, %d files of %d", got, len(m.files), files)
	}
}

// TestOpenErrors: a second process, a newer version and files of other names are told, and nothing is changed.
func TestOpenErrors(t *testing.T) {
	m := newMemFS()
	s := open(t, m)
	s.Put([]byte("a"), []byte("1"), Synced)
	if _, err := Open(m, Options{}); !errors.Is(err, ErrLocked) {
		t.Errorf("a second process: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); !errors.Is(err, ErrClosed) {
		t.Errorf("closed twice: %v", err)
	}
	if err := s.Put([]byte("a"), nil, Buffered); !errors.Is(err, ErrClosed) {
		t.Errorf("Put on a closed store: %v", err)
	}
	name := segmentName(1)
	newer := appendHeader(nil, 1)
	newer[len(magic)]++
	newer = newer[:headerSize-4]
	m.files[name].data = append(binary.LittleEndian.AppendUint32(newer, crc32.Checksum(newer, castagnoli)), m.files[name].data[headerSize:]...)
	if _, err := Open(m, Options{}); !errors.Is(err, ErrVersion) || !strings.Contains(err.Error(), name) {
		t.Errorf("a newer version: %v", err)
	}
	other := newMemFS()
	other.files["7.seg"] = &memFile{}
	var corrupt *CorruptError
	if _, err := Open(other, Options{}); !errors.As(err, &corrupt) {
		t.Errorf("a name of another kind: %v", err)
	}
}

// TestDir: the same on the machine's files, by many at once, with a second process kept out.
func TestDir(t *testing.T) {
	d := Dir(t.TempDir())
	s := open(t, d, func(o *Options) { o.SegmentBytes = 16 << 10 })
	if _, err := Open(d, Options{}); !errors.Is(err, ErrLocked) {
		t.Errorf("a second one: %v", err)
	}
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			for j := range 50 {
				if err := s.Put(fmt.Appendf(nil, "%d-%d", i, j), make([]byte, 100), Durability(j%2)); err != nil {
					t.Error(err)
				}
				if v, _, ok, err := s.Get(fmt.Appendf(nil, "%d-%d", i, j)); !ok || len(v) != 100 || err != nil {
					t.Errorf("%d bytes, %v, %v", len(v), ok, err)
				}
			}
		})
	}
	all.Wait()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open(t, d)
	if n := s.Len(); n != 400 {
		t.Errorf("%d keys after opening again", n)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// FuzzParse: no bytes make the decoder panic, and what it takes it would write just so.
func FuzzParse(f *testing.F) {
	r := record{seq: 7, durable: 3, at: 5, kind: put, key: []byte("key"), value: []byte("value")}
	f.Add(r.appendTo(nil))
	f.Add([]byte{})
	f.Add(make([]byte, recordHead))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := parse(b)
		if err != nil {
			return
		}
		if again := r.appendTo(nil); string(again) != string(b[:r.size()]) {
			t.Errorf("%q is written as %q", b[:r.size()], again)
		}
	})
}

// TestRoomAhead: a segment's length stays while it is written, ends behind its last record when the store closes, and a disk
// without room for it is full at once.
func TestRoomAhead(t *testing.T) {
	m := newMemFS()
	s := open(t, m)
	for i := range 3 {
		if err := s.Put([]byte{'a' + byte(i)}, []byte("value"), Synced); err != nil {
			t.Fatal(err)
		}
		if n := len(m.files[segmentName(1)].data); n != 1<<10 {
			t.Errorf("%d bytes after %d writes", n, i+1)
		}
	}
	if got := contents(t, open(t, m.after(0, true, false))); len(got) != 3 {
		t.Errorf("after a cut: %v", got)
	}
	size := s.Stats().Bytes
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if n := len(m.files[segmentName(1)].data); int64(n) != size {
		t.Errorf("%d bytes once it is closed, want %d", n, size)
	}
	s = open(t, m)
	m.full = true
	if err := s.Put([]byte("d"), []byte(strings.Repeat("x", 1<<10)), Buffered); !errors.Is(err, errRoom) {
		t.Errorf("no room for a segment: %v", err)
	}
	m.full = false
	if err := s.Put([]byte("d"), []byte("value"), Synced); err != nil {
		t.Errorf("once there is: %v", err)
	}
}

// FuzzHint: whatever stands in a hint is passed over, or tells of records that fill its segment.
func FuzzHint(f *testing.F) {
	m := newMemFS()
	s := open(f, m)
	play(s, workload(7, 60))
	s.WriteHints()
	for name, file := range m.files {
		if strings.HasSuffix(name, hintSuffix) {
			f.Add(file.data)
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) >= 4 { // past the checksum, which would stop nearly all
			binary.LittleEndian.PutUint32(b[len(b)-4:], crc32.Checksum(b[:len(b)-4], castagnoli))
		}
		next := headerSize
		end, err := parseHint(b, 1, 9, 1<<20, func(h hinted, offset int) {
			if offset != next || len(h.key) == 0 {
				t.Errorf("a record of %q at %d, want %d", h.key, offset, next)
			}
			next += h.size
		})
		if err == nil && (end != int64(next) || end > 1<<20) {
			t.Errorf("end %d, and the records end at %d", end, next)
		}
	})
}

// FuzzRecover: whatever stands in a segment, the store opens or says what is wrong, and does not change its mind.
func FuzzRecover(f *testing.F) {
	m := newMemFS()
	s := open(f, m)
	play(s, workload(5, 5))
	f.Add(m.files[segmentName(1)].data)
	f.Add(appendHeader(nil, 1))
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
		if after := contents(t, open(t, m, func(o *Options) { o.Retention = math.MaxInt64 })); !maps.Equal(before, after) {
			t.Errorf("%v, and then %v", before, after)
		}
	})
}

// TestFlipBeforeDurable: a record that a later one shows to have been durable is corrupt, and never taken for a cut; the
// last one of all cannot be told from one.
func TestFlipBeforeDurable(t *testing.T) {
	m := newMemFS()
	s := open(t, m)
	var ends []int
	for _, k := range []string{"a", "b", "c"} {
		if err := s.Put([]byte(k), []byte("value"), Synced); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, int(s.Stats().Bytes))
	}
	flipped := func(at int) (*Store, error) {
		disk := m.after(1, false, true)
		disk.files[segmentName(1)].data[at] ^= 1
		return Open(disk, Options{Now: newClock().Now})
	}
	var corrupt *CorruptError
	if _, err := flipped(ends[1] - 1); !errors.As(err, &corrupt) || corrupt.Offset != int64(ends[0]) {
		t.Errorf("a flip in the second: %v, want offset %d", err, ends[0])
	}
	s, err := flipped(ends[2] - 1)
	if err != nil {
		t.Fatalf("a flip in the last: %v", err)
	}
	if got := contents(t, s); len(got) != 2 {
		t.Errorf("a flip in the last leaves %v", got)
	}
}

// TestDeathOfTheProcess: what was buffered is found after the process has died, and is durable once Sync has said so.
func TestDeathOfTheProcess(t *testing.T) {
	m := newMemFS()
	s := open(t, m)
	s.Put([]byte("a"), []byte("1"), Synced)
	s.Put([]byte("b"), []byte("2"), Buffered)
	m.locked = false // as the system does for a process that has died
	s = open(t, m)
	if got := contents(t, s); len(got) != 2 {
		t.Errorf("after the death: %v", got)
	}
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	if got := contents(t, open(t, m.after(0, false, false))); len(got) != 2 {
		t.Errorf("after Sync and a cut: %v", got)
	}
}

// Package store is an embedded store for what must outlast a restart: an append-only log in segments, with a checksum and a
// sequence in every record, and an index in memory that is rebuilt from it. After any cut it opens to a state that it has
// had before, which holds everything that was acknowledged as durable, and never a record that was not written.
//
// It owns the files of one directory, whose format is at record.go, and bounds them and its memory by Options. It imports
// nothing of the rest of the program.
package store

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options bounds a store. Zero values take the defaults.
type Options struct {
	SegmentBytes int64            // a segment is closed once it is that long; 4 MiB, at most 1 GiB
	MaxBytes     int64            // of all segments; 256 MiB. What does not fit gives ErrFull
	MaxKeys      int              // 1,000,000. One more gives ErrFull
	Retention    time.Duration    // how long a record is kept; 24 h
	Grace        time.Duration    // how long after Open nothing expires, in case the clock was wrong when the machine started
	CompactRate  int64            // bytes a second that compaction may copy beside writes; 0: only Compact compacts
	Hints        bool             // write a hint for each closed segment, and open by them: values are then checked as they are read
	SyncEvery    time.Duration    // Buffered writes become durable about that often; 0: when a Synced one comes
	Now          func() time.Time // time.Now
}

// The errors of a store, beside those of its file system.
var (
	ErrClosed = errors.New("store: closed")
	ErrFull   = errors.New("store: full")
	ErrSize   = errors.New("store: the key or the value is too long, or the key is empty")
)

// CorruptError tells that bytes which were durable are not as they were written.
type CorruptError struct {
	File   string
	Offset int64
	Reason error
}

// Error names the file and the offset.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("store: %s at offset %d: %v", e.File, e.Offset, e.Reason)
}

// Unwrap returns the reason.
func (e *CorruptError) Unwrap() error { return e.Reason }

// Durability says when a write is acknowledged.
type Durability int

// The levels.
const (
	// Synced writes return once they are durable. Those that wait together share a sync.
	Synced Durability = iota
	// Buffered writes return once the file system has them: they survive the death of the process, and a power cut only
	// after the next Sync.
	Buffered
)

// Store is an open store. Its methods may be called from many goroutines at once.
type Store struct {
	fs   FS
	o    Options
	lock io.Closer

	mu       sync.Mutex
	index    map[id]place
	seeds    [2]maphash.Seed // of ids
	segments []*segment      // in order of their sequences; the last one is written to
	out      File            // of the last one; nil: the next write begins a segment
	seq      uint64          // of the latest record
	at       int64           // of the latest record: times never run backwards
	scratch  []byte          // room to write a record
	pending  []byte          // written since the last sync, to write it again elsewhere should a sync fail
	opened   time.Time
	closed   bool
	failed   error // why the last write could not be made; nil: it could

	stop       chan struct{} // ends work
	work       sync.WaitGroup
	compacting sync.Mutex // held by the one that compacts
	hinting    sync.Mutex // held by the one that writes hints
	sealed     chan struct{}

	syncing bool       // one syncs, without mu
	synced  *sync.Cond // told when it has
	durable uint64     // the latest record known to be durable
}

// segment is one file. Its records have the sequences from first on.
type segment struct {
	name  string
	first uint64
	size  int64
	live  int64 // bytes of records that are the latest of their keys
	last  int64 // time of its latest record

	hinted bool // it has its hint, or is not to have one
}

// id stands for a key in the index, so that its size does not hang on the keys'. Its seeds are drawn by each process: nobody can
// choose keys that share one, and of a million keys two do by chance once in 2^89.
type id [16]byte

func (s *Store) id(key []byte) (i id) {
	binary.LittleEndian.PutUint64(i[:8], maphash.Bytes(s.seeds[0], key))
	binary.LittleEndian.PutUint64(i[8:], maphash.Bytes(s.seeds[1], key))
	return i
}

// place is where the latest record of a key lies.
type place struct {
	in     *segment
	at     int64 // when the value was written
	offset uint32
	size   uint32
}

const suffix = ".seg"

func segmentName(first uint64) string { return fmt.Sprintf("%020d%s", first, suffix) }

// Open opens the store in fs, or makes one. A directory that another process has open gives ErrLocked, files of a newer
// version ErrVersion, and durable bytes that have changed a *CorruptError; in all cases nothing is changed.
func Open(fs FS, o Options) (*Store, error) {
	s, err := prepare(fs, o)
	if err != nil {
		return nil, err
	}
	if s.o.Hints {
		s.work.Go(s.hinter)
		s.tellSealed()
	}
	if s.o.SyncEvery > 0 {
		s.work.Go(s.batch)
	}
	if s.o.CompactRate > 0 {
		s.work.Go(s.compactor)
	}
	return s, nil
}

// prepare opens a store that does nothing by itself.
func prepare(fs FS, o Options) (*Store, error) {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = 4 << 20
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = 256 << 20
	}
	if o.MaxKeys == 0 {
		o.MaxKeys = 1_000_000
	}
	if o.Retention == 0 {
		o.Retention = 24 * time.Hour
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.SegmentBytes < 1<<10 || o.SegmentBytes > 1<<30 || o.MaxBytes < o.SegmentBytes || o.MaxKeys < 1 || o.Retention < 0 {
		return nil, fmt.Errorf("store: options out of range: %+v", o)
	}
	lock, err := fs.Lock("lock")
	if err != nil {
		return nil, err
	}
	s := &Store{fs: fs, o: o, opened: o.Now(), lock: lock, index: map[id]place{}, seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}, sealed: make(chan struct{}, 1), stop: make(chan struct{})}
	s.synced = sync.NewCond(&s.mu)
	if err := s.recover(); err != nil {
		lock.Close()
		return nil, err
	}
	return s, nil
}

// tellSealed wakes the hinter, if there is one.
func (s *Store) tellSealed() {
	select {
	case s.sealed <- struct{}{}:
	default:
	}
}

// batch makes durable what was written, every now and then. A sync that fails shows in Err, and at the next write.
func (s *Store) batch() {
	tick := time.NewTicker(s.o.SyncEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
			s.mu.Lock()
			behind := s.durable < s.seq
			s.mu.Unlock()
			if behind {
				s.Sync()
			}
		}
	}
}

// recover reads all segments. The first record that is not one ends the log, unless a later record shows that it had
// been durable: each segment begins only once the one before is durable whole, so that only the last may be cut.
func (s *Store) recover() error {
	names, err := s.fs.List()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	hints := map[string]bool{}
	for _, name := range names {
		if number, ok := strings.CutSuffix(name, hintSuffix); ok {
			hints[number+suffix] = true
		}
		number, ok := strings.CutSuffix(name, suffix)
		if !ok {
			continue
		}
		first, err := strconv.ParseUint(number, 10, 64)
		if err != nil || segmentName(first) != name {
			return &CorruptError{name, 0, errors.New("the name is none that this program gives")}
		}
		s.segments = append(s.segments, &segment{name: name, first: first})
	}
	for _, g := range s.segments {
		delete(hints, g.name)
	}
	for name := range hints { // their segments were taken away, and they were not
		s.fs.Remove(strings.TrimSuffix(name, suffix) + hintSuffix)
	}
	for i := 0; i < len(s.segments); i++ {
		g := s.segments[i]
		next := uint64(math.MaxUint64)
		if i+1 < len(s.segments) {
			next = s.segments[i+1].first
		}
		end, err := s.load(g, next)
		if err != nil {
			return err
		}
		g.size = end
		if next != math.MaxUint64 && next != s.seq+1 {
			return &CorruptError{g.name, end, fmt.Errorf("records %d to %d are missing", s.seq+1, next-1)}
		}
	}
	if n := len(s.segments); n > 0 && s.segments[n-1].size == 0 { // cut before its header was durable
		if err := s.fs.Remove(s.segments[n-1].name); err != nil {
			return fmt.Errorf("store: %w", err)
		}
		s.segments = s.segments[:n-1]
	}
	s.durable = s.seq
	return s.resume()
}

// resume opens the last segment for writing behind its last record, and makes durable what was read: it may not be so yet,
// as what the process before had not synced can be read though a power cut would lose it.
func (s *Store) resume() error {
	if len(s.segments) == 0 {
		return nil
	}
	g := s.segments[len(s.segments)-1]
	out, err := s.fs.Append(g.name, g.size)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err = out.Sync(); err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		out.Close()
		return fmt.Errorf("store: %w", err)
	}
	s.out = out
	return nil
}

// load reads a segment into the index, up to the first record of the next one, and returns where its records end; 0 if
// not even its header is there. What stands at and behind that record was given up after a failure and written anew.
func (s *Store) load(g *segment, next uint64) (end int64, err error) {
	last := next == math.MaxUint64
	if s.o.Hints && !last {
		if end, err := s.loadHint(g, next); err == nil {
			g.hinted, s.seq = true, next-1
			return end, nil
		}
	}
	f, err := s.fs.Open(g.name)
	if err != nil {
		return 0, fmt.Errorf("store: %w", err)
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return 0, fmt.Errorf("store: %w", err)
	}
	if size > 2<<30 {
		return 0, &CorruptError{g.name, 0, errRecord}
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(io.NewSectionReader(f, 0, size), b); err != nil {
		return 0, fmt.Errorf("store: %s: %w", g.name, err)
	}
	first, err := parseHeader(b)
	switch {
	case errors.Is(err, ErrVersion):
		return 0, fmt.Errorf("%s: %w", g.name, err)
	case err != nil && last && !anyRecord(b, g.first+1):
		return 0, nil
	case err != nil:
		return 0, &CorruptError{g.name, 0, err}
	case first != g.first:
		return 0, &CorruptError{g.name, 0, fmt.Errorf("it begins with record %d", first)}
	}
	seq := g.first - 1
	offset := headerSize
	for offset < len(b) && seq+1 < next {
		r, err := parse(b[offset:])
		if err == nil && r.seq != seq+1 {
			err = fmt.Errorf("record %d stands where %d belongs", r.seq, seq+1)
		}
		if err != nil {
			if !last || anyRecord(b[offset:], seq+2) {
				return 0, &CorruptError{g.name, int64(offset), err}
			}
			break // the cut
		}
		seq = r.seq
		s.apply(r, g, offset)
		offset += r.size()
	}
	s.seq = max(seq, g.first-1)
	return int64(offset), nil
}

// anyRecord reports whether a whole record with a sequence of at least least stands anywhere in b that says that what
// was before it had been durable. Such a record follows a bit that has flipped, never a cut.
func anyRecord(b []byte, least uint64) bool {
	end := len(b)
	for end > 0 && b[end-1] == 0 { // none begins in what is all zeros
		end--
	}
	for i := 0; i < end && i+recordHead <= len(b); i++ {
		if r, err := parse(b[i:]); err == nil && r.seq >= least && r.durable+1 >= least {
			return true
		}
	}
	return false
}

// apply notes a record that lies in g at offset.
func (s *Store) apply(r record, g *segment, offset int) {
	s.note(hinted{r.kind, r.size(), r.at, r.written(), r.key}, g, offset)
}

// note notes what h says of a record that lies in g at offset.
func (s *Store) note(h hinted, g *segment, offset int) {
	s.at, g.last = max(s.at, h.at), max(g.last, h.at)
	key := s.id(h.key)
	if old, ok := s.index[key]; ok {
		old.in.live -= int64(old.size)
	}
	if h.kind == remove {
		delete(s.index, key)
		return
	}
	s.index[key] = place{g, h.written, uint32(offset), uint32(h.size)}
	g.live += int64(h.size)
}

// Put writes a value under a key.
func (s *Store) Put(key, value []byte, d Durability) error { return s.write(put, key, value, d) }

// Delete takes a key out. It is no error if there is none.
func (s *Store) Delete(key []byte, d Durability) error { return s.write(remove, key, nil, d) }

func (s *Store) write(k kind, key, value []byte, d Durability) error {
	if len(key) == 0 || len(key) > MaxKeySize || len(value) > MaxValueSize {
		return ErrSize
	}
	s.mu.Lock()
	seq, err := s.appendRecord(record{kind: k, key: key, value: value})
	s.mu.Unlock()
	if err != nil || d == Buffered {
		return err
	}
	return s.syncTo(seq)
}

// appendRecord appends a record under mu, which gives it its sequence and time.
func (s *Store) appendRecord(r record) (seq uint64, err error) {
	if s.closed {
		return 0, ErrClosed
	}
	s.expire()
	most := s.o.MaxBytes
	if r.kind != copied { // which frees more than it takes
		most -= s.reserve()
		if _, there := s.index[s.id(r.key)]; !there && r.kind == put && len(s.index) >= s.o.MaxKeys {
			return 0, fmt.Errorf("%w: %d keys", ErrFull, len(s.index))
		}
	}
	r.seq, r.at, r.durable = s.seq+1, max(s.at, s.now()), s.durable
	if s.bytes()+int64(r.size()+headerSize) > most {
		return 0, fmt.Errorf("%w: %d bytes", ErrFull, s.bytes())
	}
	g, err := s.room(r.size())
	if err != nil {
		s.failed = err
		return 0, err
	}
	b := r.appendTo(s.scratch[:0])
	s.scratch = b
	if _, err := s.out.Write(b); err != nil {
		s.failed = err
		s.abandon()
		return 0, fmt.Errorf("store: %w", err)
	}
	s.failed = nil
	s.pending = append(s.pending, b...)
	s.seq = r.seq
	s.apply(r, g, int(g.size))
	g.size += int64(len(b))
	return r.seq, nil
}

// bytes is how long all segments are.
func (s *Store) bytes() (n int64) {
	for _, g := range s.segments {
		n += g.size
	}
	return n
}

// room returns a segment with room for n bytes. The one before it is made durable first.
func (s *Store) room(n int) (*segment, error) {
	if s.out != nil {
		g := s.segments[len(s.segments)-1]
		if g.size+int64(n) <= s.o.SegmentBytes {
			return g, nil
		}
		if err := s.out.Sync(); err != nil {
			s.abandon()
			return nil, fmt.Errorf("store: %w", err)
		}
		s.durable, s.pending = s.seq, s.pending[:0]
		if a, ok := s.out.(allocator); ok {
			a.Truncate(g.size) // else zeros stay: they are never read
		}
		s.out.Close()
		s.out = nil
	}
	return s.begin()
}

// begin begins a segment, with what has been written since the last sync if a sync has failed.
func (s *Store) begin() (*segment, error) {
	first := s.durable + 1
	g := &segment{name: segmentName(first), first: first, last: s.at}
	if n := len(s.segments); n > 0 && s.segments[n-1].first == first { // nothing of it was ever durable
		s.segments = s.segments[:n-1]
	}
	if err := s.fs.Remove(g.name); err != nil && !notExist(err) {
		return nil, fmt.Errorf("store: %w", err)
	}
	out, err := s.fs.Create(g.name)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	b := append(appendHeader(nil, first), s.pending...)
	// Guards against writes that wait for the file system's journal: a file whose length stays needs no more of it. The zeros
	// behind the records are a cut to whoever reads them.
	if a, ok := out.(allocator); ok {
		err = a.Allocate(s.o.SegmentBytes)
	}
	if err == nil {
		_, err = out.Write(b)
	}
	if err == nil {
		if err = out.Sync(); err == nil {
			err = s.fs.SyncDir()
		}
	}
	if err != nil {
		out.Close()
		s.fs.Remove(g.name) // best effort: the next begin, or recovery, meets it again
		return nil, fmt.Errorf("store: %w", err)
	}
	for offset := headerSize; offset < len(b); {
		r, err := parse(b[offset:])
		if err != nil {
			panic(err) // what this store has written itself
		}
		s.apply(r, g, offset)
		offset += r.size()
	}
	g.size = int64(len(b))
	s.segments, s.out, s.pending, s.durable = append(s.segments, g), out, nil, s.seq
	s.tellSealed()
	return g, nil
}

// abandon gives up the file that is written to, after a failure that leaves unknown what of it is durable. What was
// durable stays there; the rest is written anew with the next segment.
func (s *Store) abandon() {
	if s.out != nil {
		s.out.Close()
		s.out = nil
	}
}

// syncTo returns once record seq is durable. One syncs for all that have written by then; whoever is covered returns with it, and
// of the others one is the next to sync.
func (s *Store) syncTo(seq uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.durable < seq {
		switch {
		case s.closed:
			return ErrClosed
		case s.syncing:
			s.synced.Wait()
			continue
		case s.out == nil: // given up after a failure
			if _, err := s.begin(); err != nil {
				s.failed = err
				return err
			}
			s.failed = nil
			continue
		}
		out, to, n := s.out, s.seq, len(s.pending)
		s.syncing = true
		s.mu.Unlock()
		err := out.Sync() // others append meanwhile
		s.mu.Lock()
		s.syncing = false
		s.synced.Broadcast()
		if s.out != out { // another segment was begun, which made this one durable, or it was given up
			continue
		}
		if err != nil {
			s.failed = err
			s.abandon()
			return fmt.Errorf("store: %w", err)
		}
		s.durable, s.pending = to, s.pending[:copy(s.pending, s.pending[n:])]
	}
	return nil
}

// Sync returns once everything that was written before is durable.
func (s *Store) Sync() error {
	s.mu.Lock()
	seq := s.seq
	s.mu.Unlock()
	return s.syncTo(seq)
}

// Err returns why the last write could not be made, or nil once one could.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// expire removes segments all of whose records are older than the retention, under mu.
func (s *Store) expire() {
	oldest := s.oldest()
	for len(s.segments) > 1 && s.segments[0].last < oldest {
		g := s.segments[0]
		if s.fs.Remove(g.name) != nil {
			return // it is met again with the next write
		}
		s.fs.Remove(hintName(g)) // one that stays is taken away by the next Open
		s.segments = s.segments[1:]
		for key, p := range s.index {
			if p.in == g {
				delete(s.index, key)
			}
		}
	}
}

// now is the time by the clock as it stood when the store was opened: one that is set later makes nothing older or younger.
func (s *Store) now() int64 {
	return s.opened.UnixNano() + int64(s.o.Now().Sub(s.opened))
}

// oldest is the time before which records are not kept.
func (s *Store) oldest() int64 {
	if s.o.Retention == math.MaxInt64 || s.o.Now().Sub(s.opened) < s.o.Grace {
		return math.MinInt64
	}
	return max(s.at, s.now()) - int64(s.o.Retention)
}

// Get returns the value under a key and when it was written, or ok false.
func (s *Store) Get(key []byte) (value []byte, at time.Time, ok bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, time.Time{}, false, ErrClosed
	}
	p, ok := s.index[s.id(key)]
	if !ok || p.at < s.oldest() {
		return nil, time.Time{}, false, nil
	}
	r, err := s.read(p)
	if err != nil {
		return nil, time.Time{}, false, err
	}
	if !bytes.Equal(r.key, key) {
		return nil, time.Time{}, false, &CorruptError{p.in.name, int64(p.offset), errRecord}
	}
	return r.value, time.Unix(0, r.written()), true, nil
}

// read reads the record at a place.
func (s *Store) read(p place) (record, error) {
	f, err := s.fs.Open(p.in.name)
	if err != nil {
		return record{}, fmt.Errorf("store: %w", err)
	}
	defer f.Close()
	b := make([]byte, p.size)
	if _, err := io.ReadFull(io.NewSectionReader(f, int64(p.offset), int64(p.size)), b); err != nil {
		return record{}, fmt.Errorf("store: %s: %w", p.in.name, err)
	}
	r, err := parse(b)
	if err != nil {
		return record{}, &CorruptError{p.in.name, int64(p.offset), err}
	}
	return r, nil
}

// Range calls f with all keys written from one time to before another, in the order of their writing, until it returns
// false. It sees the store as it was when it was called.
func (s *Store) Range(from, to time.Time, f func(key, value []byte, at time.Time) bool) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	low := max(from.UnixNano(), s.oldest())
	var places []place
	for _, p := range s.index {
		if p.at >= low && p.at < to.UnixNano() {
			places = append(places, p)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.in.first, b.in.first), cmp.Compare(a.offset, b.offset))
	})
	for _, p := range places {
		s.mu.Lock()
		r, err := s.read(p)
		s.mu.Unlock()
		if notExist(err) {
			continue // it has expired meanwhile
		}
		if err != nil {
			return err
		}
		if !f(r.key, r.value, time.Unix(0, r.written())) {
			return nil
		}
	}
	return nil
}

// Stats tells how large a store is.
type Stats struct {
	Keys     int
	Segments int
	Bytes    int64 // of all segments
	Live     int64 // of records that are the latest of their keys
}

// Stats returns the present figures.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Keys: len(s.index), Segments: len(s.segments), Bytes: s.bytes()}
	for _, g := range s.segments {
		st.Live += g.live
	}
	return st
}

// Len returns how many keys there are, expired ones too that still take room.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.index)
}

// Close makes everything durable and closes the store.
func (s *Store) Close() error {
	err := s.Sync()
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	s.closed = true
	s.synced.Broadcast()
	s.mu.Unlock()
	close(s.stop)
	s.work.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out != nil {
		if a, ok := s.out.(allocator); ok {
			a.Truncate(s.segments[len(s.segments)-1].size)
		}
		err = errors.Join(err, s.out.Close())
	}
	return errors.Join(err, s.lock.Close())
}

// Package store is an embedded key-value store for data that must survive a restart. It is an
// append-only log split into segments, with a checksum and a sequence number in every record, and
// an in-memory index that is rebuilt from the log. After a crash or power loss at any point it
// opens to a state that it had before, which contains every write that was acknowledged as durable
// and never a record that was not written.
//
// A store owns the files of one directory, whose format is described in record.go. Options limits
// their size and the memory of the index. The package imports no other package of the program.
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

// Options configures a store. Zero values select the defaults. Writes that exceed MaxBytes or
// MaxKeys fail with ErrFull.
type Options struct {
	SegmentBytes int64            // size at which a segment is closed, up to 1 GiB; default 4 MiB
	MaxBytes     int64            // limit on the size of all segments; default 256 MiB
	MaxKeys      int              // limit on the number of keys; default 1,000,000
	Retention    time.Duration    // how long a record is kept; default 24 h
	Grace        time.Duration    // time without expiry after Open: the clock may be wrong at boot
	CompactRate  int64            // bytes/s copied by background compaction; 0: only Compact compacts
	Hints        bool             // write and open from hints; values are then verified when read
	SyncEvery    time.Duration    // interval of syncs of Buffered writes; 0: only with Synced ones
	Now          func() time.Time // default time.Now
}

// The errors of a store, in addition to those of its file system.
var (
	ErrClosed = errors.New("store: closed")
	ErrFull   = errors.New("store: full")
	ErrSize   = errors.New("store: key is empty, or key or value is too long")
)

// CorruptError reports that durable bytes differ from what was written.
type CorruptError struct {
	File   string
	Offset int64
	Reason error
}

// Error returns the file, the offset and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("store: %s at offset %d: %v", e.File, e.Offset, e.Reason)
}

// Unwrap returns the reason.
func (e *CorruptError) Unwrap() error { return e.Reason }

// Durability determines when a write is acknowledged.
type Durability int

// Durability levels.
const (
	// Synced writes return once they are durable. Concurrent writers share a sync.
	Synced Durability = iota
	// Buffered writes return once they are passed to the file system: they survive a crash of the
	// process, but a power loss only after the next Sync.
	Buffered
)

// Store is an open store. Its methods are safe for concurrent use.
type Store struct {
	fs      FS
	options Options
	lock    io.Closer

	mu         sync.Mutex
	index      map[keyHash]location
	seeds      [2]maphash.Seed // of key hashes
	segments   []*segment      // ordered by sequence number; the last one is active
	activeFile File            // of the active segment; nil: the next write starts a new segment
	lastSeq    uint64          // of the latest record
	lastTime   int64           // Unix nanoseconds of the latest record; never decreases
	scratch    []byte          // encoding buffer of records
	unsynced   []byte          // written since the last sync, to rewrite after a failed one
	openedAt   time.Time
	closed     bool
	writeErr   error // error of the last write; nil if it succeeded

	stop      chan struct{} // closed to stop the workers
	workers   sync.WaitGroup
	compactMu sync.Mutex    // serializes compactions
	hintMu    sync.Mutex    // serializes the writing of hints
	sealed    chan struct{} // signals that a segment was closed

	syncing    bool       // a sync is in progress, without mu
	syncDone   *sync.Cond // signaled when a sync completes
	durableSeq uint64     // latest sequence known to be durable
}

// segment is one file of the log. Its records have consecutive sequences from firstSeq on.
type segment struct {
	name      string
	firstSeq  uint64
	size      int64
	liveBytes int64 // bytes of records that are the latest of their keys
	lastTime  int64 // of its latest record, in Unix nanoseconds

	hinted bool // its hint is written, or writing it failed and is not retried
}

// keyHash identifies a key in the index, so that the size of the index does not depend on the
// length of the keys. The seeds are random in each process, so that nobody can choose colliding
// keys. Among a million keys the probability of a chance collision is 2^-89.
type keyHash [16]byte

func (s *Store) hashKey(key []byte) (h keyHash) {
	binary.LittleEndian.PutUint64(h[:8], maphash.Bytes(s.seeds[0], key))
	binary.LittleEndian.PutUint64(h[8:], maphash.Bytes(s.seeds[1], key))
	return h
}

// location is the position of the latest record of a key.
type location struct {
	segment   *segment
	valueTime int64 // when the value was first written, in Unix nanoseconds
	offset    uint32
	size      uint32
}

const segmentSuffix = ".seg"

func segmentName(first uint64) string { return fmt.Sprintf("%020d%s", first, segmentSuffix) }

// Open opens the store in fs, or creates one. It returns ErrLocked if another process has the
// directory open, ErrVersion if the files are of a newer version, and a *CorruptError if durable
// bytes have changed. In all these cases it modifies nothing.
func Open(fs FS, o Options) (*Store, error) {
	s, err := openWithoutWorkers(fs, o)
	if err != nil {
		return nil, err
	}
	if s.options.Hints {
		s.workers.Go(s.runHintWriter)
		s.notifySealed()
	}
	if s.options.SyncEvery > 0 {
		s.workers.Go(s.syncPeriodically)
	}
	if s.options.CompactRate > 0 {
		s.workers.Go(s.runCompactor)
	}
	return s, nil
}

// openWithoutWorkers opens a store without its background goroutines.
func openWithoutWorkers(fs FS, o Options) (*Store, error) {
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
	s := &Store{fs: fs, options: o, openedAt: o.Now(), lock: lock, index: map[keyHash]location{}, seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}, sealed: make(chan struct{}, 1), stop: make(chan struct{})}
	s.syncDone = sync.NewCond(&s.mu)
	if err := s.recover(); err != nil {
		lock.Close()
		return nil, err
	}
	return s, nil
}

// notifySealed wakes the hint writer, if it runs.
func (s *Store) notifySealed() {
	select {
	case s.sealed <- struct{}{}:
	default:
	}
}

// syncPeriodically syncs outstanding writes every Options.SyncEvery. A failed sync is reported by
// Err and by the next write.
func (s *Store) syncPeriodically() {
	tick := time.NewTicker(s.options.SyncEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
			s.mu.Lock()
			unsynced := s.durableSeq < s.lastSeq
			s.mu.Unlock()
			if unsynced {
				s.Sync()
			}
		}
	}
}

// recover reads all segments. The first invalid record ends the log, unless a later record proves
// that it was durable. Only the last segment may be truncated, because a segment is started only
// once the previous one is durable as a whole.
func (s *Store) recover() error {
	names, err := s.fs.List()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	hints := map[string]bool{}
	for _, name := range names {
		if number, ok := strings.CutSuffix(name, hintSuffix); ok {
			hints[number+segmentSuffix] = true
		}
		number, ok := strings.CutSuffix(name, segmentSuffix)
		if !ok {
			continue
		}
		first, err := strconv.ParseUint(number, 10, 64)
		if err != nil || segmentName(first) != name {
			return &CorruptError{name, 0, errors.New("invalid segment file name")}
		}
		s.segments = append(s.segments, &segment{name: name, firstSeq: first})
	}
	for _, g := range s.segments {
		delete(hints, g.name)
	}
	for name := range hints { // hints that were left behind when their segments were removed
		s.fs.Remove(strings.TrimSuffix(name, segmentSuffix) + hintSuffix)
	}
	for i := 0; i < len(s.segments); i++ {
		g := s.segments[i]
		next := uint64(math.MaxUint64)
		if i+1 < len(s.segments) {
			next = s.segments[i+1].firstSeq
		}
		end, err := s.loadSegment(g, next)
		if err != nil {
			return err
		}
		g.size = end
		if next != math.MaxUint64 && next != s.lastSeq+1 {
			return &CorruptError{g.name, end, fmt.Errorf("records %d to %d are missing", s.lastSeq+1, next-1)}
		}
	}
	if n := len(s.segments); n > 0 && s.segments[n-1].size == 0 {
		// Truncated before its header was durable.
		if err := s.fs.Remove(s.segments[n-1].name); err != nil {
			return fmt.Errorf("store: %w", err)
		}
		s.segments = s.segments[:n-1]
	}
	s.durableSeq = s.lastSeq
	return s.openActive()
}

// openActive opens the last segment for writing after its last record, and syncs it: records that
// the previous process had not synced can be read, but a power loss would still lose them.
func (s *Store) openActive() error {
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
	s.activeFile = out
	return nil
}

// loadSegment reads a segment into the index, up to the first record of the next segment, and
// returns the offset at which its records end, or 0 if its header is incomplete. Records from that
// one on were abandoned in this segment after a failure, and written again to the next one.
func (s *Store) loadSegment(g *segment, next uint64) (end int64, err error) {
	last := next == math.MaxUint64
	if s.options.Hints && !last {
		if end, err := s.loadHint(g, next); err == nil {
			g.hinted, s.lastSeq = true, next-1
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
		return 0, &CorruptError{g.name, 0, errInvalidRecord}
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(io.NewSectionReader(f, 0, size), b); err != nil {
		return 0, fmt.Errorf("store: %s: %w", g.name, err)
	}
	first, err := parseSegmentHeader(b)
	switch {
	case errors.Is(err, ErrVersion):
		return 0, fmt.Errorf("%s: %w", g.name, err)
	case err != nil && last && !hasLaterRecord(b, g.firstSeq+1):
		return 0, nil
	case err != nil:
		return 0, &CorruptError{g.name, 0, err}
	case first != g.firstSeq:
		return 0, &CorruptError{g.name, 0, fmt.Errorf("the header names record %d as the first", first)}
	}
	seq := g.firstSeq - 1
	offset := segmentHeaderSize
	for offset < len(b) && seq+1 < next {
		r, err := parseRecord(b[offset:])
		if err == nil && r.seq != seq+1 {
			err = fmt.Errorf("sequence number %d instead of %d", r.seq, seq+1)
		}
		if err != nil {
			if !last || hasLaterRecord(b[offset:], seq+2) {
				return 0, &CorruptError{g.name, int64(offset), err}
			}
			break // the truncated end
		}
		seq = r.seq
		s.indexRecord(r, g, offset)
		offset += r.size()
	}
	s.lastSeq = max(seq, g.firstSeq-1)
	return int64(offset), nil
}

// hasLaterRecord reports whether b contains, at any offset, a valid record with a sequence of at
// least minSeq that states that the records before it were durable. Such a record can follow a
// flipped bit, but never a truncated end.
func hasLaterRecord(b []byte, minSeq uint64) bool {
	end := len(b)
	for end > 0 && b[end-1] == 0 { // no record starts within trailing zeros
		end--
	}
	for i := 0; i < end && i+recordHeaderSize <= len(b); i++ {
		if r, err := parseRecord(b[i:]); err == nil && r.seq >= minSeq && r.durableSeq+1 >= minSeq {
			return true
		}
	}
	return false
}

// indexRecord adds a record at offset of g to the index.
func (s *Store) indexRecord(r record, g *segment, offset int) {
	s.indexEntry(hintEntry{r.kind, r.size(), r.time, r.valueTime(), r.key}, g, offset)
}

// indexEntry adds the record that h describes, at offset of g, to the index.
func (s *Store) indexEntry(h hintEntry, g *segment, offset int) {
	s.lastTime, g.lastTime = max(s.lastTime, h.time), max(g.lastTime, h.time)
	key := s.hashKey(h.key)
	if old, ok := s.index[key]; ok {
		old.segment.liveBytes -= int64(old.size)
	}
	if h.kind == kindDelete {
		delete(s.index, key)
		return
	}
	s.index[key] = location{g, h.valueTime, uint32(offset), uint32(h.size)}
	g.liveBytes += int64(h.size)
}

// Put stores value under key.
func (s *Store) Put(key, value []byte, d Durability) error { return s.write(kindPut, key, value, d) }

// Delete removes a key. It is not an error if the key does not exist.
func (s *Store) Delete(key []byte, d Durability) error { return s.write(kindDelete, key, nil, d) }

func (s *Store) write(k recordKind, key, value []byte, d Durability) error {
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

// appendRecord appends a record and sets its sequence and time. The caller holds mu.
func (s *Store) appendRecord(r record) (seq uint64, err error) {
	if s.closed {
		return 0, ErrClosed
	}
	s.removeExpired()
	limit := s.options.MaxBytes
	if r.kind != kindCopy { // copies may use the reserve: compaction frees more than it writes
		limit -= s.compactionReserve()
		if _, exists := s.index[s.hashKey(r.key)]; !exists && r.kind == kindPut && len(s.index) >= s.options.MaxKeys {
			return 0, fmt.Errorf("%w: %d keys", ErrFull, len(s.index))
		}
	}
	r.seq, r.time, r.durableSeq = s.lastSeq+1, max(s.lastTime, s.now()), s.durableSeq
	if s.totalBytes()+int64(r.size()+segmentHeaderSize) > limit {
		return 0, fmt.Errorf("%w: %d bytes", ErrFull, s.totalBytes())
	}
	g, err := s.segmentFor(r.size())
	if err != nil {
		s.writeErr = err
		return 0, err
	}
	b := r.appendTo(s.scratch[:0])
	s.scratch = b
	if _, err := s.activeFile.Write(b); err != nil {
		s.writeErr = err
		s.abandonActive()
		return 0, fmt.Errorf("store: %w", err)
	}
	s.writeErr = nil
	s.unsynced = append(s.unsynced, b...)
	s.lastSeq = r.seq
	s.indexRecord(r, g, int(g.size))
	g.size += int64(len(b))
	return r.seq, nil
}

// totalBytes returns the size of all segments.
func (s *Store) totalBytes() (n int64) {
	for _, g := range s.segments {
		n += g.size
	}
	return n
}

// segmentFor returns a segment with space for n bytes. A full segment is synced before the next one
// is started.
func (s *Store) segmentFor(n int) (*segment, error) {
	if s.activeFile != nil {
		g := s.segments[len(s.segments)-1]
		if g.size+int64(n) <= s.options.SegmentBytes {
			return g, nil
		}
		if err := s.activeFile.Sync(); err != nil {
			s.abandonActive()
			return nil, fmt.Errorf("store: %w", err)
		}
		s.durableSeq, s.unsynced = s.lastSeq, s.unsynced[:0]
		if a, ok := s.activeFile.(allocator); ok {
			a.Truncate(g.size) // best effort: if it fails, zeros remain and are never read
		}
		s.activeFile.Close()
		s.activeFile = nil
	}
	return s.startSegment()
}

// startSegment starts a segment. After a failed sync it begins with the records written since the
// last successful one.
func (s *Store) startSegment() (*segment, error) {
	first := s.durableSeq + 1
	g := &segment{name: segmentName(first), firstSeq: first, lastTime: s.lastTime}
	if n := len(s.segments); n > 0 && s.segments[n-1].firstSeq == first {
		// None of its records was ever durable.
		s.segments = s.segments[:n-1]
	}
	if err := s.fs.Remove(g.name); err != nil && !notExist(err) {
		return nil, fmt.Errorf("store: %w", err)
	}
	out, err := s.fs.Create(g.name)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	b := append(appendSegmentHeader(nil, first), s.unsynced...)
	// Allocates the whole segment, so that writes don't wait for the file system's journal, which a
	// file of constant length does not need. Readers treat the zeros after the records as the end.
	if a, ok := out.(allocator); ok {
		err = a.Allocate(s.options.SegmentBytes)
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
		s.fs.Remove(g.name) // best effort: the next startSegment or recovery handles it
		return nil, fmt.Errorf("store: %w", err)
	}
	for offset := segmentHeaderSize; offset < len(b); {
		r, err := parseRecord(b[offset:])
		if err != nil {
			panic(err) // the store has encoded these records itself
		}
		s.indexRecord(r, g, offset)
		offset += r.size()
	}
	g.size = int64(len(b))
	s.segments, s.activeFile, s.unsynced, s.durableSeq = append(s.segments, g), out, nil, s.lastSeq
	s.notifySealed()
	return g, nil
}

// abandonActive closes the active file after a failure that leaves it unknown which of its bytes
// are durable. Records known to be durable stay in it; the others are written again to the next
// segment.
func (s *Store) abandonActive() {
	if s.activeFile != nil {
		s.activeFile.Close()
		s.activeFile = nil
	}
}

// syncTo returns once record seq is durable. One caller syncs on behalf of all that have written by
// then. The callers that it covers return with it, and one of the others syncs next.
func (s *Store) syncTo(seq uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.durableSeq < seq {
		switch {
		case s.closed:
			return ErrClosed
		case s.syncing:
			s.syncDone.Wait()
			continue
		case s.activeFile == nil: // abandoned after a failure
			if _, err := s.startSegment(); err != nil {
				s.writeErr = err
				return err
			}
			s.writeErr = nil
			continue
		}
		out, to, n := s.activeFile, s.lastSeq, len(s.unsynced)
		s.syncing = true
		s.mu.Unlock()
		err := out.Sync() // without mu, so that other writers can append meanwhile
		s.mu.Lock()
		s.syncing = false
		s.syncDone.Broadcast()
		if s.activeFile != out {
			// The file was abandoned, or it was synced before a new segment was started.
			continue
		}
		if err != nil {
			s.writeErr = err
			s.abandonActive()
			return fmt.Errorf("store: %w", err)
		}
		s.durableSeq, s.unsynced = to, s.unsynced[:copy(s.unsynced, s.unsynced[n:])]
	}
	return nil
}

// Sync returns once all earlier writes are durable.
func (s *Store) Sync() error {
	s.mu.Lock()
	seq := s.lastSeq
	s.mu.Unlock()
	return s.syncTo(seq)
}

// Err returns the error of the last write, or nil if it succeeded.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeErr
}

// removeExpired removes segments whose records are all older than the retention. The caller holds
// mu.
func (s *Store) removeExpired() {
	oldest := s.expiryCutoff()
	for len(s.segments) > 1 && s.segments[0].lastTime < oldest {
		g := s.segments[0]
		if s.fs.Remove(g.name) != nil {
			return // retried with the next write
		}
		s.fs.Remove(hintName(g)) // best effort: the next Open removes a leftover hint
		s.segments = s.segments[1:]
		for key, p := range s.index {
			if p.segment == g {
				delete(s.index, key)
			}
		}
	}
}

// now returns the time at which the store was opened plus the time elapsed since, in Unix
// nanoseconds, so that later changes to the wall clock do not alter the age of records.
func (s *Store) now() int64 {
	return s.openedAt.UnixNano() + int64(s.options.Now().Sub(s.openedAt))
}

// expiryCutoff returns the time before which records are expired, in Unix nanoseconds.
func (s *Store) expiryCutoff() int64 {
	if s.options.Retention == math.MaxInt64 || s.options.Now().Sub(s.openedAt) < s.options.Grace {
		return math.MinInt64
	}
	return max(s.lastTime, s.now()) - int64(s.options.Retention)
}

// Get returns the value of a key and the time at which it was written. ok reports whether the key
// exists.
func (s *Store) Get(key []byte) (value []byte, at time.Time, ok bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, time.Time{}, false, ErrClosed
	}
	p, ok := s.index[s.hashKey(key)]
	if !ok || p.valueTime < s.expiryCutoff() {
		return nil, time.Time{}, false, nil
	}
	r, err := s.readRecord(p)
	if err != nil {
		return nil, time.Time{}, false, err
	}
	if !bytes.Equal(r.key, key) {
		return nil, time.Time{}, false, &CorruptError{p.segment.name, int64(p.offset), errInvalidRecord}
	}
	return r.value, time.Unix(0, r.valueTime()), true, nil
}

// readRecord reads the record at a location.
func (s *Store) readRecord(p location) (record, error) {
	f, err := s.fs.Open(p.segment.name)
	if err != nil {
		return record{}, fmt.Errorf("store: %w", err)
	}
	defer f.Close()
	b := make([]byte, p.size)
	if _, err := io.ReadFull(io.NewSectionReader(f, int64(p.offset), int64(p.size)), b); err != nil {
		return record{}, fmt.Errorf("store: %s: %w", p.segment.name, err)
	}
	r, err := parseRecord(b)
	if err != nil {
		return record{}, &CorruptError{p.segment.name, int64(p.offset), err}
	}
	return r, nil
}

// Range calls f for every key that was written at or after from and before to, in the order of
// writing, until f returns false. It works on a snapshot of the index taken when it is called.
func (s *Store) Range(from, to time.Time, f func(key, value []byte, at time.Time) bool) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	low := max(from.UnixNano(), s.expiryCutoff())
	var locations []location
	for _, p := range s.index {
		if p.valueTime >= low && p.valueTime < to.UnixNano() {
			locations = append(locations, p)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(locations, func(a, b location) int {
		return cmp.Or(cmp.Compare(a.valueTime, b.valueTime), cmp.Compare(a.segment.firstSeq, b.segment.firstSeq), cmp.Compare(a.offset, b.offset))
	})
	for _, p := range locations {
		s.mu.Lock()
		r, err := s.readRecord(p)
		s.mu.Unlock()
		if notExist(err) {
			continue // its segment has expired or was compacted meanwhile
		}
		if err != nil {
			return err
		}
		if !f(r.key, r.value, time.Unix(0, r.valueTime())) {
			return nil
		}
	}
	return nil
}

// Stats describes the size of a store.
type Stats struct {
	Keys     int
	Segments int
	Bytes    int64 // size of all segments
	Live     int64 // bytes of records that are the latest of their keys
}

// Stats returns the current size of the store.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Keys: len(s.index), Segments: len(s.segments), Bytes: s.totalBytes()}
	for _, g := range s.segments {
		st.Live += g.liveBytes
	}
	return st
}

// Len returns the number of keys, including expired ones that are still in the index.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.index)
}

// Close makes all writes durable and closes the store.
func (s *Store) Close() error {
	err := s.Sync()
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	s.closed = true
	s.syncDone.Broadcast()
	s.mu.Unlock()
	close(s.stop)
	s.workers.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeFile != nil {
		if a, ok := s.activeFile.(allocator); ok {
			a.Truncate(s.segments[len(s.segments)-1].size)
		}
		err = errors.Join(err, s.activeFile.Close())
	}
	return errors.Join(err, s.lock.Close())
}

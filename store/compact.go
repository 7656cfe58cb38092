package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// compactInterval is how often the store checks whether compaction is worthwhile.
const compactInterval = time.Second

// compactionReserve returns the number of bytes that only compaction may use: the space for its
// copies of a segment's records until the segment is removed. The caller holds mu.
func (s *Store) compactionReserve() int64 {
	return min(s.options.SegmentBytes, s.options.MaxBytes/4)
}

// shouldCompact reports whether compaction is worth its writes: more than half of the permitted
// bytes are used, and more than a third of those are dead. On average, freeing a byte then costs
// copying at most two live ones. The caller holds mu.
func (s *Store) shouldCompact() bool {
	var live int64
	for _, g := range s.segments {
		live += g.liveBytes
	}
	bytes := s.totalBytes()
	return len(s.segments) > 1 && 2*bytes > s.options.MaxBytes && 3*live < 2*bytes
}

// runCompactor compacts in the background until the store closes.
func (s *Store) runCompactor() {
	tick := time.NewTicker(compactInterval)
	defer tick.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.workers.Go(func() {
		<-s.stop
		cancel()
	})
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for ctx.Err() == nil {
			s.mu.Lock()
			worthwhile := s.shouldCompact()
			s.mu.Unlock()
			if !worthwhile || s.compactOldest(ctx, s.options.CompactRate) != nil {
				// The next write fails with a persistent error as well.
				break
			}
		}
	}
}

// Compact copies the live records of the oldest segment to the end of the log and removes the
// segment. It repeats this for each segment that existed when it was called. Writes continue
// meanwhile.
func (s *Store) Compact(ctx context.Context) error {
	s.mu.Lock()
	until := s.lastSeq
	s.mu.Unlock()
	for {
		s.mu.Lock()
		done := len(s.segments) < 2 || s.segments[1].firstSeq > until
		s.mu.Unlock()
		if done {
			return nil
		}
		if err := s.compactOldest(ctx, 0); err != nil {
			return err
		}
	}
}

// compactOldest compacts the oldest segment at no more than rate bytes per second; 0 is no limit.
// It removes the segment only once all copies are durable. After a crash in between both exist, and
// the copy takes precedence as the later record. Deletions need no copies: the earlier values of
// their keys are in the same segment or in one that was removed before.
func (s *Store) compactOldest(ctx context.Context, rate int64) error {
	s.compactMu.Lock()
	defer s.compactMu.Unlock()
	s.mu.Lock()
	if s.closed || len(s.segments) < 2 {
		s.mu.Unlock()
		return nil
	}
	g, next := s.segments[0], s.segments[1].firstSeq
	s.mu.Unlock()
	b, err := s.readSegment(g)
	if err != nil {
		return err
	}
	seq := g.firstSeq - 1
	for offset := segmentHeaderSize; offset < len(b) && seq+1 < next; {
		// Bytes after record next-1 were abandoned and written again to the next segment.
		r, err := parseRecord(b[offset:])
		if err != nil {
			return &CorruptError{g.name, int64(offset), err}
		}
		seq = r.seq
		copied, err := s.copyIfLive(g, &r, offset)
		if err != nil {
			return err
		}
		offset += r.size()
		if copied > 0 && rate > 0 {
			pause := time.NewTimer(time.Duration(int64(copied) * int64(time.Second) / rate))
			select {
			case <-pause.C:
			case <-ctx.Done():
				pause.Stop()
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if err := s.Sync(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.segments) < 2 || s.segments[0] != g { // expired meanwhile
		return nil
	}
	if g.liveBytes > 0 {
		return fmt.Errorf("store: %s: %d bytes are still live after compaction", g.name, g.liveBytes)
	}
	if err := s.fs.Remove(g.name); err != nil && !notExist(err) {
		return fmt.Errorf("store: %w", err)
	}
	s.fs.Remove(hintName(g)) // best effort: the next Open removes a leftover hint
	s.segments = s.segments[1:]
	return nil
}

// readSegment reads a closed segment.
func (s *Store) readSegment(g *segment) ([]byte, error) {
	f, err := s.fs.Open(g.name)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	defer f.Close()
	b := make([]byte, g.size)
	if _, err := io.ReadFull(io.NewSectionReader(f, 0, g.size), b); err != nil {
		return nil, fmt.Errorf("store: %s: %w", g.name, err)
	}
	return b, nil
}

// copyIfLive copies a record of g if it is the latest of its key and has not expired. It returns
// the number of bytes written.
func (s *Store) copyIfLive(g *segment, r *record, offset int) (copied int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := s.hashKey(r.key)
	p, ok := s.index[key]
	if !ok || p.segment != g || int(p.offset) != offset {
		return 0, nil
	}
	if p.valueTime < s.expiryCutoff() {
		delete(s.index, key)
		g.liveBytes -= int64(p.size)
		return 0, nil
	}
	if _, err := s.appendRecord(record{kind: kindCopy, originalTime: p.valueTime, key: r.key, value: r.value}); err != nil {
		if errors.Is(err, ErrFull) {
			return 0, fmt.Errorf("compaction: %w", err)
		}
		return 0, err
	}
	return r.size() + copyPrefixSize, nil
}

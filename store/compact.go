package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// compactEvery is how often the store looks whether there is something to compact.
const compactEvery = time.Second

// reserve is the room that only compaction may use, under mu: what it copies of a segment before the segment goes.
func (s *Store) reserve() int64 {
	return min(s.o.SegmentBytes, s.o.MaxBytes/4)
}

// wasteful reports whether compaction is worth its writes, under mu: half of what the store may hold is taken, and a third of that is
// dead. A segment that goes then has on average cost twice its live part at the most.
func (s *Store) wasteful() bool {
	var live int64
	for _, g := range s.segments {
		live += g.live
	}
	bytes := s.bytes()
	return len(s.segments) > 1 && 2*bytes > s.o.MaxBytes && 3*live < 2*bytes
}

// compactor compacts beside writes until the store closes.
func (s *Store) compactor() {
	tick := time.NewTicker(compactEvery)
	defer tick.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.work.Go(func() {
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
			wasteful := s.wasteful()
			s.mu.Unlock()
			if !wasteful || s.compactFront(ctx, s.o.CompactRate) != nil { // an error shows at the next write as well
				break
			}
		}
	}
}

// Compact copies what is live in the oldest segment behind the latest record and takes the segment away, one segment after the
// other, until it has come to the ones that were begun meanwhile. It runs beside writes.
func (s *Store) Compact(ctx context.Context) error {
	s.mu.Lock()
	until := s.seq
	s.mu.Unlock()
	for {
		s.mu.Lock()
		over := len(s.segments) < 2 || s.segments[1].first > until
		s.mu.Unlock()
		if over {
			return nil
		}
		if err := s.compactFront(ctx, 0); err != nil {
			return err
		}
	}
}

// compactFront compacts the oldest segment, at no more than rate bytes a second; 0 is no bound. The segment goes only once all
// copies are durable: after a cut there are both, and the copy counts as it is the later one. A key that is removed in a
// segment that goes has its earlier values there too, or in one that went before.
func (s *Store) compactFront(ctx context.Context, rate int64) error {
	s.compacting.Lock()
	defer s.compacting.Unlock()
	s.mu.Lock()
	if s.closed || len(s.segments) < 2 {
		s.mu.Unlock()
		return nil
	}
	g, next := s.segments[0], s.segments[1].first
	s.mu.Unlock()
	b, err := s.readAll(g)
	if err != nil {
		return err
	}
	seq := g.first - 1
	for offset := headerSize; offset < len(b) && seq+1 < next; { // what stands behind was given up, and written anew
		r, err := parse(b[offset:])
		if err != nil {
			return &CorruptError{g.name, int64(offset), err}
		}
		seq = r.seq
		took, err := s.copyOver(g, &r, offset)
		if err != nil {
			return err
		}
		offset += r.size()
		if took > 0 && rate > 0 {
			pause := time.NewTimer(time.Duration(int64(took) * int64(time.Second) / rate))
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
	if s.closed || len(s.segments) < 2 || s.segments[0] != g { // it has expired meanwhile
		return nil
	}
	if g.live > 0 {
		return fmt.Errorf("store: %s: %d bytes of it are still live", g.name, g.live)
	}
	if err := s.fs.Remove(g.name); err != nil && !notExist(err) {
		return fmt.Errorf("store: %w", err)
	}
	s.fs.Remove(hintName(g)) // one that stays is taken away by the next Open
	s.segments = s.segments[1:]
	return nil
}

// readAll reads a segment that is written no more.
func (s *Store) readAll(g *segment) ([]byte, error) {
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

// copyOver copies a record of g if it is the latest of its key and not past the retention, and returns how much it wrote.
func (s *Store) copyOver(g *segment, r *record, offset int) (took int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := s.id(r.key)
	p, ok := s.index[key]
	if !ok || p.in != g || int(p.offset) != offset {
		return 0, nil
	}
	if p.at < s.oldest() {
		delete(s.index, key)
		g.live -= int64(p.size)
		return 0, nil
	}
	if _, err := s.appendRecord(record{kind: copied, first: p.at, key: r.key, value: r.value}); err != nil {
		if errors.Is(err, ErrFull) {
			return 0, fmt.Errorf("compaction: %w", err)
		}
		return 0, err
	}
	return r.size() + copiedHead, nil
}

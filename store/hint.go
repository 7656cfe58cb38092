package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"strings"
)

// A hint file accompanies a closed segment, under the segment's name with hintSuffix. It holds what
// the index needs of each record, so that Open does not have to read the values. All numbers are
// little endian.
//
//	magic "QFHINTS\x00", uint32 version, uint64 first, uint64 next, uint64 end,
//	and for each record of the segment with a sequence from first to next-1, in order:
//	    uint8 kind, uint32 size of the record, int64 time,
//	    int64 time at which its value was first written, uint16 length of key, key;
//	uint32 CRC-32C of all bytes before
//
// First is the first sequence of the segment, next that of the following segment, and end the
// offset at which the segment's records end.
//
// Hints are optional and not synced. A hint that is truncated, corrupt, of another version or does
// not match its segment and the following one is ignored, and the segment is read instead. Values
// that Open skips because of a hint are verified when they are read.
const (
	hintMagic      = "QFHINTS\x00"
	hintVersion    = 1
	hintSuffix     = ".hint"
	hintHeaderSize = len(hintMagic) + 4 + 8 + 8 + 8
	hintEntrySize  = 1 + 4 + 8 + 8 + 2
)

func hintName(g *segment) string { return strings.TrimSuffix(g.name, segmentSuffix) + hintSuffix }

// errUnusableHint reports that a hint is invalid or does not match its segment.
var errUnusableHint = errors.New("store: unusable hint")

// runHintWriter writes the hints of segments as they are closed, until the store closes.
func (s *Store) runHintWriter() {
	for {
		select {
		case <-s.stop:
			return
		case <-s.sealed:
			s.WriteHints() // errors are ignored: Open reads a segment that has no hint
		}
	}
}

// WriteHints writes the missing hints of closed segments. With Options.Hints the store does this in
// the background.
func (s *Store) WriteHints() error {
	s.hintMu.Lock()
	defer s.hintMu.Unlock()
	for {
		s.mu.Lock()
		var g *segment
		var next uint64
		for i := 0; i+1 < len(s.segments); i++ {
			if !s.segments[i].hinted {
				g, next = s.segments[i], s.segments[i+1].firstSeq
				break
			}
		}
		closed := s.closed
		s.mu.Unlock()
		if g == nil || closed {
			return nil
		}
		if err := s.writeHint(g, next); err != nil {
			return err
		}
	}
}

// writeHint writes the hint of g. The following segment starts with record next.
func (s *Store) writeHint(g *segment, next uint64) error {
	b, err := s.readSegment(g)
	if notExist(err) { // expired or compacted meanwhile
		err = nil
	} else if err == nil {
		b, err = appendHint(nil, g.firstSeq, next, b)
	}
	if err == nil && b != nil {
		err = s.replaceFile(hintName(g), b)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.hinted = true // also after an error, so that it is not tried again
	removed := true
	for _, h := range s.segments {
		removed = removed && h != g
	}
	if removed {
		s.fs.Remove(hintName(g))
	}
	return err
}

// replaceFile writes a file with the contents b and replaces an existing one of that name.
func (s *Store) replaceFile(name string, b []byte) error {
	if err := s.fs.Remove(name); err != nil && !notExist(err) {
		return fmt.Errorf("store: %w", err)
	}
	f, err := s.fs.Create(name)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	_, err = f.Write(b)
	if err = errors.Join(err, f.Close()); err != nil {
		s.fs.Remove(name)
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// appendHint appends the hint of the segment with the contents b to dst.
func appendHint(dst []byte, first, next uint64, b []byte) ([]byte, error) {
	from := len(dst)
	dst = append(dst, hintMagic...)
	dst = binary.LittleEndian.AppendUint32(dst, hintVersion)
	dst = binary.LittleEndian.AppendUint64(dst, first)
	dst = binary.LittleEndian.AppendUint64(dst, next)
	dst = binary.LittleEndian.AppendUint64(dst, 0) // end, which is set below
	offset := segmentHeaderSize
	for seq := first; seq < next; seq++ {
		r, err := parseRecord(b[min(offset, len(b)):])
		if err == nil && r.seq != seq {
			err = errInvalidRecord
		}
		if err != nil {
			return nil, fmt.Errorf("%w: record %d: %w", errUnusableHint, seq, err)
		}
		dst = append(dst, byte(r.kind))
		dst = binary.LittleEndian.AppendUint32(dst, uint32(r.size()))
		dst = binary.LittleEndian.AppendUint64(dst, uint64(r.time))
		dst = binary.LittleEndian.AppendUint64(dst, uint64(r.valueTime()))
		dst = binary.LittleEndian.AppendUint16(dst, uint16(len(r.key)))
		dst = append(dst, r.key...)
		offset += r.size()
	}
	binary.LittleEndian.PutUint64(dst[from+hintHeaderSize-8:], uint64(offset))
	return binary.LittleEndian.AppendUint32(dst, crc32.Checksum(dst[from:], castagnoli)), nil
}

// hintEntry is the description of one record in a hint.
type hintEntry struct {
	kind            recordKind
	size            int
	time, valueTime int64
	key             []byte
}

// parseHint parses the hint of a segment of size bytes, and calls f with each entry and the offset
// of its record. It validates the whole hint before the first call of f.
func parseHint(b []byte, first, next uint64, size int64, f func(h hintEntry, offset int)) (end int64, err error) {
	if len(b) < hintHeaderSize+4 || string(b[:len(hintMagic)]) != hintMagic ||
		crc32.Checksum(b[:len(b)-4], castagnoli) != binary.LittleEndian.Uint32(b[len(b)-4:]) ||
		binary.LittleEndian.Uint32(b[len(hintMagic):]) != hintVersion ||
		binary.LittleEndian.Uint64(b[len(hintMagic)+4:]) != first || binary.LittleEndian.Uint64(b[len(hintMagic)+12:]) != next {
		return 0, errUnusableHint
	}
	end = int64(binary.LittleEndian.Uint64(b[hintHeaderSize-8:]))
	for _, report := range []bool{false, true} {
		rest, offset, seq := b[hintHeaderSize:len(b)-4], segmentHeaderSize, first
		for ; len(rest) > 0; seq++ {
			if len(rest) < hintEntrySize {
				return 0, errUnusableHint
			}
			h := hintEntry{
				kind: recordKind(rest[0]), size: int(binary.LittleEndian.Uint32(rest[1:])),
				time: int64(binary.LittleEndian.Uint64(rest[5:])), valueTime: int64(binary.LittleEndian.Uint64(rest[13:])),
			}
			n := int(binary.LittleEndian.Uint16(rest[21:]))
			if len(rest) < hintEntrySize+n || n == 0 || h.kind < kindPut || h.kind > kindCopy || h.size < recordHeaderSize+n {
				return 0, errUnusableHint
			}
			h.key, rest = rest[hintEntrySize:hintEntrySize+n], rest[hintEntrySize+n:]
			if report {
				f(h, offset)
			}
			offset += h.size
		}
		if int64(offset) != end || end > size || seq != next {
			return 0, errUnusableHint
		}
	}
	return end, nil
}

// loadHint adds the records in the segment's hint to the index, and returns the offset at which
// they end. If it returns an error, the index is unchanged.
func (s *Store) loadHint(g *segment, next uint64) (end int64, err error) {
	f, err := s.fs.Open(hintName(g))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil || size > 2<<30 {
		return 0, errors.Join(err, errUnusableHint)
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(io.NewSectionReader(f, 0, size), b); err != nil {
		return 0, err
	}
	records, err := s.fs.Open(g.name)
	if err != nil {
		return 0, err
	}
	defer records.Close()
	if size, err = records.Size(); err != nil {
		return 0, err
	}
	return parseHint(b, g.firstSeq, next, size, func(h hintEntry, offset int) { s.indexEntry(h, g, offset) })
}

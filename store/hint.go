package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"strings"
)

// A hint file stands beside a segment that is written no more, under its name with hintSuffix. It holds what the index
// needs of each of the segment's records, so that Open need not read the values. All numbers are little endian.
//
//	magic "QFHINTS\x00", uint32 version, uint64 first, uint64 next, uint64 end,
//	and for each record of the segment with a sequence from first to before next, in order:
//	    uint8 kind, uint32 size of the record, int64 time, int64 time at which its value was first written, uint16 length of key, key;
//	uint32 CRC-32C of all before
//
// First is the segment's, next the first sequence of the segment behind it, and end where its records end.
//
// A hint is never more than that: it is not synced, and one that is cut, changed, of another version or not of the segment's
// present neighbours is passed over, and the segment read. What it spares Open from reading is checked when it is read.
const (
	hintMagic   = "QFHINTS\x00"
	hintVersion = 1
	hintSuffix  = ".hint"
	hintHead    = len(hintMagic) + 4 + 8 + 8 + 8
	hintEntry   = 1 + 4 + 8 + 8 + 2
)

func hintName(g *segment) string { return strings.TrimSuffix(g.name, suffix) + hintSuffix }

// errHint tells that a hint cannot be used.
var errHint = errors.New("store: the hint cannot be used")

// hinter writes hints as segments are closed, until the store closes.
func (s *Store) hinter() {
	for {
		select {
		case <-s.stop:
			return
		case <-s.sealed:
			s.WriteHints() // a segment without one is read
		}
	}
}

// WriteHints writes the hints that segments lack. With Options.Hints it is done beside writes.
func (s *Store) WriteHints() error {
	s.hinting.Lock()
	defer s.hinting.Unlock()
	for {
		s.mu.Lock()
		var g *segment
		var next uint64
		for i := 0; i+1 < len(s.segments); i++ {
			if !s.segments[i].hinted {
				g, next = s.segments[i], s.segments[i+1].first
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

// writeHint writes the hint of g, behind which a segment begins with record next.
func (s *Store) writeHint(g *segment, next uint64) error {
	b, err := s.readAll(g)
	if notExist(err) { // it has expired or was compacted meanwhile
		err = nil
	} else if err == nil {
		b, err = appendHint(nil, g.first, next, b)
	}
	if err == nil && b != nil {
		err = s.replace(hintName(g), b)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.hinted = true // or it is not worth another try
	gone := true
	for _, h := range s.segments {
		gone = gone && h != g
	}
	if gone {
		s.fs.Remove(hintName(g))
	}
	return err
}

// replace writes a file whole, in place of one of that name.
func (s *Store) replace(name string, b []byte) error {
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

// appendHint appends the hint of a segment whose bytes are given.
func appendHint(to []byte, first, next uint64, b []byte) ([]byte, error) {
	from := len(to)
	to = append(to, hintMagic...)
	to = binary.LittleEndian.AppendUint32(to, hintVersion)
	to = binary.LittleEndian.AppendUint64(to, first)
	to = binary.LittleEndian.AppendUint64(to, next)
	to = binary.LittleEndian.AppendUint64(to, 0) // the end, below
	offset := headerSize
	for seq := first; seq < next; seq++ {
		r, err := parse(b[min(offset, len(b)):])
		if err == nil && r.seq != seq {
			err = errRecord
		}
		if err != nil {
			return nil, fmt.Errorf("%w: record %d: %w", errHint, seq, err)
		}
		to = append(to, byte(r.kind))
		to = binary.LittleEndian.AppendUint32(to, uint32(r.size()))
		to = binary.LittleEndian.AppendUint64(to, uint64(r.at))
		to = binary.LittleEndian.AppendUint64(to, uint64(r.written()))
		to = binary.LittleEndian.AppendUint16(to, uint16(len(r.key)))
		to = append(to, r.key...)
		offset += r.size()
	}
	binary.LittleEndian.PutUint64(to[from+hintHead-8:], uint64(offset))
	return binary.LittleEndian.AppendUint32(to, crc32.Checksum(to[from:], castagnoli)), nil
}

// hinted is what a hint says of a record.
type hinted struct {
	kind        kind
	size        int
	at, written int64
	key         []byte
}

// parseHint reads the hint of a segment that has that many bytes, and calls f with each of its records and where it lies. It
// calls f only if all of it can be used.
func parseHint(b []byte, first, next uint64, size int64, f func(h hinted, offset int)) (end int64, err error) {
	if len(b) < hintHead+4 || string(b[:len(hintMagic)]) != hintMagic ||
		crc32.Checksum(b[:len(b)-4], castagnoli) != binary.LittleEndian.Uint32(b[len(b)-4:]) ||
		binary.LittleEndian.Uint32(b[len(hintMagic):]) != hintVersion ||
		binary.LittleEndian.Uint64(b[len(hintMagic)+4:]) != first || binary.LittleEndian.Uint64(b[len(hintMagic)+12:]) != next {
		return 0, errHint
	}
	end = int64(binary.LittleEndian.Uint64(b[hintHead-8:]))
	for _, tell := range []bool{false, true} {
		rest, offset, seq := b[hintHead:len(b)-4], headerSize, first
		for ; len(rest) > 0; seq++ {
			if len(rest) < hintEntry {
				return 0, errHint
			}
			h := hinted{
				kind: kind(rest[0]), size: int(binary.LittleEndian.Uint32(rest[1:])),
				at: int64(binary.LittleEndian.Uint64(rest[5:])), written: int64(binary.LittleEndian.Uint64(rest[13:])),
			}
			n := int(binary.LittleEndian.Uint16(rest[21:]))
			if len(rest) < hintEntry+n || n == 0 || h.kind < put || h.kind > copied || h.size < recordHead+n {
				return 0, errHint
			}
			h.key, rest = rest[hintEntry:hintEntry+n], rest[hintEntry+n:]
			if tell {
				f(h, offset)
			}
			offset += h.size
		}
		if int64(offset) != end || end > size || seq != next {
			return 0, errHint
		}
	}
	return end, nil
}

// loadHint reads the segment's hint into the index, and returns where its records end. With an error nothing was read.
func (s *Store) loadHint(g *segment, next uint64) (end int64, err error) {
	f, err := s.fs.Open(hintName(g))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil || size > 2<<30 {
		return 0, errors.Join(err, errHint)
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
	return parseHint(b, g.first, next, size, func(h hinted, offset int) { s.note(h, g, offset) })
}

package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A segment consists of a header of segmentHeaderSize bytes followed by records without gaps. All
// numbers are little endian.
//
//	header:  magic "QFSTORE\x00", uint32 version, uint64 sequence of the first record,
//	         uint32 CRC-32C of the 20 bytes before
//	record:  uint32 CRC-32C of all that follows, uint32 length of key, uint32 length of value,
//	         uint64 sequence, uint64 durable, int64 time (Unix nanoseconds), uint8 kind, key, value
//
// The value of a copied record begins with the time at which it was first written.
//
// Durable is the latest sequence known to be durable when the record was written. It distinguishes
// a flipped bit from a truncated end: only after a flipped bit can there be a record which states
// that the damaged one was durable. Sequences increase by one from record to record, within a
// segment and from one segment to the next. A record whose checksum, lengths or sequence do not
// match is invalid.
const (
	segmentMagic      = "QFSTORE\x00"
	segmentVersion    = 1
	segmentHeaderSize = len(segmentMagic) + 4 + 8 + 4
	recordHeaderSize  = 4 + 4 + 4 + 8 + 8 + 8 + 1
)

// Size limits of keys and values, in bytes.
const (
	MaxKeySize   = 1 << 10
	MaxValueSize = 1 << 20
)

// recordKind is the operation that a record logs.
type recordKind uint8

const (
	kindPut recordKind = 1 + iota
	kindDelete
	// kindCopy is a put by compaction. Its value is prefixed with the time at which it was first
	// written, an int64 in Unix nanoseconds.
	kindCopy
)

// copyPrefixSize is the size of the time that precedes the value of a copied record.
const copyPrefixSize = 8

// record is a decoded record.
type record struct {
	seq          uint64
	durableSeq   uint64 // latest sequence known to be durable when the record was written
	time         int64  // Unix nanoseconds
	kind         recordKind
	originalTime int64 // kindCopy: when the value was first written, in Unix nanoseconds
	key          []byte
	value        []byte
}

func (r *record) size() int {
	if r.kind == kindCopy {
		return recordHeaderSize + copyPrefixSize + len(r.key) + len(r.value)
	}
	return recordHeaderSize + len(r.key) + len(r.value)
}

// valueTime returns when the value was first written, in Unix nanoseconds.
func (r *record) valueTime() int64 {
	if r.kind == kindCopy {
		return r.originalTime
	}
	return r.time
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendTo appends the encoded record to b.
func (r *record) appendTo(b []byte) []byte {
	from := len(b)
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(r.key)))
	b = binary.LittleEndian.AppendUint32(b, uint32(r.size()-recordHeaderSize-len(r.key)))
	b = binary.LittleEndian.AppendUint64(b, r.seq)
	b = binary.LittleEndian.AppendUint64(b, r.durableSeq)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.time))
	b = append(b, byte(r.kind))
	b = append(b, r.key...)
	if r.kind == kindCopy {
		b = binary.LittleEndian.AppendUint64(b, uint64(r.originalTime))
	}
	b = append(b, r.value...)
	binary.LittleEndian.PutUint32(b[from:], crc32.Checksum(b[from+4:], castagnoli))
	return b
}

// Reasons for which a header or record is invalid.
var (
	errTruncated     = errors.New("truncated")
	errChecksum      = errors.New("checksum mismatch")
	errInvalidRecord = errors.New("invalid format")
)

// parseRecord decodes the record at the start of b. Its key and value alias b.
func parseRecord(b []byte) (record, error) {
	if len(b) < recordHeaderSize {
		return record{}, errTruncated
	}
	keyLen, valueLen := binary.LittleEndian.Uint32(b[4:]), binary.LittleEndian.Uint32(b[8:])
	if keyLen > MaxKeySize || valueLen > MaxValueSize+copyPrefixSize {
		return record{}, errInvalidRecord
	}
	size := recordHeaderSize + int(keyLen) + int(valueLen)
	if len(b) < size {
		return record{}, errTruncated
	}
	if crc32.Checksum(b[4:size], castagnoli) != binary.LittleEndian.Uint32(b) {
		return record{}, errChecksum
	}
	r := record{
		seq: binary.LittleEndian.Uint64(b[12:]), durableSeq: binary.LittleEndian.Uint64(b[20:]),
		time: int64(binary.LittleEndian.Uint64(b[28:])), kind: recordKind(b[36]),
		key: b[recordHeaderSize : recordHeaderSize+int(keyLen)], value: b[recordHeaderSize+int(keyLen) : size],
	}
	switch {
	case keyLen == 0:
		return record{}, errInvalidRecord
	case r.kind == kindPut && valueLen <= MaxValueSize, r.kind == kindDelete && valueLen == 0:
	case r.kind == kindCopy && valueLen >= copyPrefixSize:
		r.originalTime, r.value = int64(binary.LittleEndian.Uint64(r.value)), r.value[copyPrefixSize:]
	default:
		return record{}, errInvalidRecord
	}
	return r, nil
}

// appendSegmentHeader appends the header of a segment that starts with record first.
func appendSegmentHeader(b []byte, first uint64) []byte {
	from := len(b)
	b = append(b, segmentMagic...)
	b = binary.LittleEndian.AppendUint32(b, segmentVersion)
	b = binary.LittleEndian.AppendUint64(b, first)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[from:], castagnoli))
}

// ErrVersion reports that the files have a format version that this program does not support.
var ErrVersion = errors.New("store: the files have an unsupported format version")

// parseSegmentHeader decodes a segment header and returns its first sequence.
func parseSegmentHeader(b []byte) (first uint64, err error) {
	if len(b) < segmentHeaderSize {
		return 0, errTruncated
	}
	if string(b[:len(segmentMagic)]) != segmentMagic {
		return 0, errInvalidRecord
	}
	if crc32.Checksum(b[:segmentHeaderSize-4], castagnoli) != binary.LittleEndian.Uint32(b[segmentHeaderSize-4:]) {
		return 0, errChecksum
	}
	if v := binary.LittleEndian.Uint32(b[len(segmentMagic):]); v != segmentVersion {
		return 0, fmt.Errorf("%w: %d, this program supports %d", ErrVersion, v, segmentVersion)
	}
	return binary.LittleEndian.Uint64(b[len(segmentMagic)+4:]), nil
}

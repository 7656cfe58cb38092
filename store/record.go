package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// The layout of a segment: a header of headerSize bytes, and then records one behind the other. All numbers are little
// endian.
//
//	header:  magic "QFSTORE\x00", uint32 version, uint64 sequence of the first record, uint32 CRC-32C of the 20 bytes before
//	record:  uint32 CRC-32C of all that follows, uint32 length of key, uint32 length of value, uint64 sequence,
//	         uint64 durable, int64 time (Unix nanoseconds), uint8 kind, key, value
//
// The value of a copied record begins with the time at which it was first written.
//
// Durable is the latest sequence that was known to be durable when the record was written: it tells a bit that has flipped,
// behind which such a record stands, from a cut. Sequences rise by one from record to record, within a segment and from one to the next. A record whose checksum,
// lengths or sequence do not fit is not one.
const (
	magic      = "QFSTORE\x00"
	version    = 1
	headerSize = len(magic) + 4 + 8 + 4
	recordHead = 4 + 4 + 4 + 8 + 8 + 8 + 1
)

// Bounds of a record, in bytes.
const (
	MaxKeySize   = 1 << 10
	MaxValueSize = 1 << 20
)

// kind says what a record does.
type kind uint8

const (
	put kind = 1 + iota
	remove
	copied // as put, of a value that was written before: its value begins with the time of that, int64 Unix nanoseconds
)

// copiedHead is what stands before the value of a copied record.
const copiedHead = 8

// record is one record.
type record struct {
	seq     uint64
	durable uint64 // the latest sequence known to be durable when it was written
	at      int64  // Unix nanoseconds
	kind    kind
	first   int64 // copied: when the value was first written
	key     []byte
	value   []byte
}

func (r *record) size() int {
	if r.kind == copied {
		return recordHead + copiedHead + len(r.key) + len(r.value)
	}
	return recordHead + len(r.key) + len(r.value)
}

// written is when the record's value was first written.
func (r *record) written() int64 {
	if r.kind == copied {
		return r.first
	}
	return r.at
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendTo appends the record's bytes to b.
func (r *record) appendTo(b []byte) []byte {
	from := len(b)
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(r.key)))
	b = binary.LittleEndian.AppendUint32(b, uint32(r.size()-recordHead-len(r.key)))
	b = binary.LittleEndian.AppendUint64(b, r.seq)
	b = binary.LittleEndian.AppendUint64(b, r.durable)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.at))
	b = append(b, byte(r.kind))
	b = append(b, r.key...)
	if r.kind == copied {
		b = binary.LittleEndian.AppendUint64(b, uint64(r.first))
	}
	b = append(b, r.value...)
	binary.LittleEndian.PutUint32(b[from:], crc32.Checksum(b[from+4:], castagnoli))
	return b
}

// What can be wrong with the bytes at a place.
var (
	errShort    = errors.New("the record is cut off")
	errChecksum = errors.New("the checksum is wrong")
	errRecord   = errors.New("the record is none that this program writes")
)

// parse reads the record at the front of b, which it aliases.
func parse(b []byte) (record, error) {
	if len(b) < recordHead {
		return record{}, errShort
	}
	keyLen, valueLen := binary.LittleEndian.Uint32(b[4:]), binary.LittleEndian.Uint32(b[8:])
	if keyLen > MaxKeySize || valueLen > MaxValueSize+copiedHead {
		return record{}, errRecord
	}
	size := recordHead + int(keyLen) + int(valueLen)
	if len(b) < size {
		return record{}, errShort
	}
	if crc32.Checksum(b[4:size], castagnoli) != binary.LittleEndian.Uint32(b) {
		return record{}, errChecksum
	}
	r := record{
		seq: binary.LittleEndian.Uint64(b[12:]), durable: binary.LittleEndian.Uint64(b[20:]),
		at: int64(binary.LittleEndian.Uint64(b[28:])), kind: kind(b[36]),
		key: b[recordHead : recordHead+int(keyLen)], value: b[recordHead+int(keyLen) : size],
	}
	switch {
	case keyLen == 0:
		return record{}, errRecord
	case r.kind == put && valueLen <= MaxValueSize, r.kind == remove && valueLen == 0:
	case r.kind == copied && valueLen >= copiedHead:
		r.first, r.value = int64(binary.LittleEndian.Uint64(r.value)), r.value[copiedHead:]
	default:
		return record{}, errRecord
	}
	return r, nil
}

// appendHeader appends a segment's header.
func appendHeader(b []byte, first uint64) []byte {
	from := len(b)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, version)
	b = binary.LittleEndian.AppendUint64(b, first)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[from:], castagnoli))
}

// ErrVersion tells that the files are of a version that this program does not know.
var ErrVersion = errors.New("store: the files are of a newer version than this program knows")

// parseHeader reads a segment's header.
func parseHeader(b []byte) (first uint64, err error) {
	if len(b) < headerSize {
		return 0, errShort
	}
	if string(b[:len(magic)]) != magic {
		return 0, errRecord
	}
	if crc32.Checksum(b[:headerSize-4], castagnoli) != binary.LittleEndian.Uint32(b[headerSize-4:]) {
		return 0, errChecksum
	}
	if v := binary.LittleEndian.Uint32(b[len(magic):]); v != version {
		return 0, fmt.Errorf("%w: %d, and this is %d", ErrVersion, v, version)
	}
	return binary.LittleEndian.Uint64(b[len(magic)+4:]), nil
}

// Package wire encodes and decodes the MySQL client/server protocol, version 10, by its published
// description: packets, the handshake, the two common authentication plugins, and the reply packets
// that a proxy has to understand. It opens no sockets.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// MaxPayload is the largest payload of a packet; a longer message continues in the next packet.
	MaxPayload = 1<<24 - 1
	headerSize = 4
)

// ErrSequence is returned for a packet with an unexpected sequence number.
var ErrSequence = errors.New("packets out of order")

// ErrTooLarge is returned for a message that exceeds the size limit.
var ErrTooLarge = errors.New("message too large")

// ErrMalformed is wrapped by the errors about messages that cannot be decoded.
var ErrMalformed = errors.New("malformed packet")

func malformed(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }

// Conn reads and writes packets. It must not be used by several goroutines at once. Reads and writes
// share the sequence number, which counts from the last Reset.
type Conn struct {
	R   *bufio.Reader
	W   *bufio.Writer
	seq byte
}

// Reset begins a new exchange: the next packet of either side has sequence number 0.
func (c *Conn) Reset() { c.seq = 0 }

// Sequence returns the sequence number of the next packet.
func (c *Conn) Sequence() byte { return c.seq }

// SetSequence sets the sequence number of the next packet.
func (c *Conn) SetSequence(n byte) { c.seq = n }

// readHeader reads the header of the next packet and returns the length of its payload.
func (c *Conn) readHeader() (int, error) {
	b, err := c.R.Peek(headerSize)
	if err != nil {
		if err == io.EOF && len(b) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, err
	}
	n, seq := int(b[0])|int(b[1])<<8|int(b[2])<<16, b[3]
	c.R.Discard(headerSize)
	if seq != c.seq {
		return 0, fmt.Errorf("%w: number %d where %d was to come", ErrSequence, seq, c.seq)
	}
	c.seq++
	return n, nil
}

// Read returns the next message, of at most most bytes. For a longer one it returns ErrTooLarge and
// leaves the rest of the message unread.
func (c *Conn) Read(most int) ([]byte, error) {
	var text []byte
	for {
		n, err := c.readHeader()
		if err != nil {
			return nil, unexpectedEOF(err, text)
		}
		if len(text)+n > most {
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, most)
		}
		if text, err = c.readPayload(text, n); err != nil {
			return nil, unexpectedEOF(err, text)
		}
		if n < MaxPayload {
			return text, nil
		}
	}
}

// readPayload appends n more bytes to text. It allocates in steps as the bytes arrive, so that a
// header alone, which anybody can send, reserves no memory for its claimed length.
func (c *Conn) readPayload(text []byte, n int) ([]byte, error) {
	const step = 64 << 10
	if text == nil {
		text = make([]byte, 0, min(n, step))
	}
	for n > 0 {
		part := min(n, step)
		at := len(text)
		text = append(text, make([]byte, part)...)
		if _, err := io.ReadFull(c.R, text[at:]); err != nil {
			return text, unexpectedEOF(err, text)
		}
		n -= part
	}
	return text, nil
}

// unexpectedEOF turns io.EOF in the middle of a message into io.ErrUnexpectedEOF.
func unexpectedEOF(err error, text []byte) error {
	if err == io.EOF && text != nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Write writes a message in as many packets as it needs. It doesn't flush W.
func (c *Conn) Write(text []byte) error {
	for {
		n := min(len(text), MaxPayload)
		if err := c.writeHeader(n); err != nil {
			return err
		}
		if _, err := c.W.Write(text[:n]); err != nil {
			return err
		}
		text = text[n:]
		if n < MaxPayload {
			return nil
		}
	}
}

func (c *Conn) writeHeader(n int) error {
	b := [headerSize]byte{byte(n), byte(n >> 8), byte(n >> 16), c.seq}
	c.seq++
	_, err := c.W.Write(b[:])
	return err
}

// PacketPrefix describes a packet that has not been read yet.
type PacketPrefix struct {
	Len   int  // of the payload
	First byte // first byte of the payload; 0 if it is empty
}

// Peek returns the length and first byte of the next packet without reading it.
func (c *Conn) Peek() (PacketPrefix, error) {
	b, err := c.R.Peek(headerSize)
	if err != nil {
		if err == io.EOF && len(b) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return PacketPrefix{}, err
	}
	p := PacketPrefix{Len: int(b[0]) | int(b[1])<<8 | int(b[2])<<16}
	if b[3] != c.seq {
		return p, fmt.Errorf("%w: number %d where %d was to come", ErrSequence, b[3], c.seq)
	}
	if p.Len > 0 {
		if b, err = c.R.Peek(headerSize + 1); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return p, err
		}
		p.First = b[headerSize]
	}
	return p, nil
}

// Forward copies the next packet to another connection, under that connection's sequence number, and
// returns the length of the payload. An error of the destination is a WriteError. begun reports
// whether part of the packet may have been written; a packet that fits into R is never forwarded in
// part.
func (c *Conn) Forward(to *Conn) (n int, begun bool, err error) {
	n, err = c.readHeader()
	if err != nil {
		return 0, false, err
	}
	if n <= c.R.Size() {
		if _, err := c.R.Peek(n); err != nil {
			return n, false, unexpectedEOF(err, []byte{})
		}
	}
	if err := to.writeHeader(n); err != nil {
		return n, true, WriteError{err}
	}
	for left := n; left > 0; {
		b, err := c.R.Peek(min(left, max(c.R.Buffered(), 1)))
		if len(b) == 0 {
			return n, true, unexpectedEOF(err, []byte{})
		}
		if _, err := to.W.Write(b); err != nil {
			return n, true, WriteError{err}
		}
		c.R.Discard(len(b))
		left -= len(b)
	}
	return n, false, nil
}

// WriteError marks an error of the destination of a copy.
type WriteError struct{ error }

// NewWriteError wraps err in a WriteError.
func NewWriteError(err error) WriteError { return WriteError{err} }

// Unwrap returns the underlying error.
func (e WriteError) Unwrap() error { return e.error }

// payloadReader decodes the fields of a message. After a field that exceeds the payload, malformed
// is set and the fields read as zero.
type payloadReader struct {
	b         []byte
	malformed bool
}

func (t *payloadReader) take(n int) []byte {
	if n < 0 || n > len(t.b) {
		t.malformed, t.b = true, nil
		return nil
	}
	b := t.b[:n]
	t.b = t.b[n:]
	return b
}

func (t *payloadReader) byte() byte {
	if b := t.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (t *payloadReader) uint16() uint16 {
	if b := t.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (t *payloadReader) uint32() uint32 {
	if b := t.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

// nulString reads a null-terminated string.
func (t *payloadReader) nulString() string {
	for i, c := range t.b {
		if c == 0 {
			s := string(t.b[:i])
			t.b = t.b[i+1:]
			return s
		}
	}
	t.malformed, t.b = true, nil
	return ""
}

// lenencInt reads a length-encoded integer.
func (t *payloadReader) lenencInt() uint64 {
	switch first := t.byte(); first {
	case 0xfc:
		return uint64(t.uint16())
	case 0xfd:
		if b := t.take(3); b != nil {
			return uint64(b[0]) | uint64(b[1])<<8 | uint64(b[2])<<16
		}
		return 0
	case 0xfe:
		if b := t.take(8); b != nil {
			return binary.LittleEndian.Uint64(b)
		}
		return 0
	case 0xfb, 0xff:
		t.malformed = true
		return 0
	default:
		return uint64(first)
	}
}

// lenencBytes reads a length-encoded string.
func (t *payloadReader) lenencBytes() []byte {
	n := t.lenencInt()
	if n > uint64(len(t.b)) {
		t.malformed, t.b = true, nil
		return nil
	}
	return t.take(int(n))
}

// AppendLenencInt appends a length-encoded integer.
func AppendLenencInt(b []byte, v uint64) []byte {
	switch {
	case v < 0xfb:
		return append(b, byte(v))
	case v < 1<<16:
		return append(b, 0xfc, byte(v), byte(v>>8))
	case v < 1<<24:
		return append(b, 0xfd, byte(v), byte(v>>8), byte(v>>16))
	}
	return binary.LittleEndian.AppendUint64(append(b, 0xfe), v)
}

// AppendLenencString appends a length-encoded string.
func AppendLenencString[T ~string | ~[]byte](b []byte, s T) []byte {
	return append(AppendLenencInt(b, uint64(len(s))), s...)
}

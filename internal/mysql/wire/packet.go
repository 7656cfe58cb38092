// Package wire reads and writes the MySQL client/server protocol, version 10, by its published description: packets, the handshake,
// the two common ways to prove a password, and the few packets of replies that a proxy has to understand. It opens no sockets.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// MaxPayload is the most that one packet carries; a longer message goes on in the next.
	MaxPayload = 1<<24 - 1
	headerSize = 4
)

// ErrSequence tells that a packet came out of order.
var ErrSequence = errors.New("packets out of order")

// ErrTooLarge tells that a message is longer than it may be.
var ErrTooLarge = errors.New("message too large")

// ErrMalformed is what errors of messages that cannot be read wrap.
var ErrMalformed = errors.New("malformed packet")

func malformed(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }

// Conn reads and writes packets. It is for one goroutine at a time. Sequence numbers are counted over reads and writes alike, from
// the last Reset on.
type Conn struct {
	R   *bufio.Reader
	W   *bufio.Writer
	seq byte
}

// Reset begins a new exchange: the next packet, of whichever side, is number 0.
func (c *Conn) Reset() { c.seq = 0 }

// Sequence returns the number of the next packet.
func (c *Conn) Sequence() byte { return c.seq }

// SetSequence makes n the number of the next packet.
func (c *Conn) SetSequence(n byte) { c.seq = n }

// readHeader reads the readHeader of the next packet.
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

// Read returns the next message whole, of at most most bytes. Where it is longer the error is ErrTooLarge, and what is left of it has
// not been read.
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

// readPayload reads n bytes more. It takes room for them as they come: a header alone, which anybody can write, takes none.
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

// unexpectedEOF makes an end in the middle of a message an error of its own.
func unexpectedEOF(err error, text []byte) error {
	if err == io.EOF && text != nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Write writes a message, in as many packets as it takes. What it writes may stay in W.
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

// PacketPrefix is the begin of a packet that has not been taken yet.
type PacketPrefix struct {
	Len   int  // of its payload
	First byte // 0 if there is none
}

// Peek returns the next packet's length and first byte.
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

// Forward passes the next packet on to another side as it is, under the number that is due there, and returns its length. With an error of
// to it is an ErrTo. begun tells whether part of the packet may have been written; a packet that fits into R is never passed on in part.
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

// WriteError marks an error of the side that is written to.
type WriteError struct{ error }

// NewWriteError marks err.
func NewWriteError(err error) WriteError { return WriteError{err} }

// Unwrap returns the error itself.
func (e WriteError) Unwrap() error { return e.error }

// payloadReader reads the parts of a message.
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

// nulString reads a text that ends with a nulString.
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

// lenencBytes reads a length-encoded text.
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

// AppendLenencString appends a length-encoded text.
func AppendLenencString[T ~string | ~[]byte](b []byte, s T) []byte {
	return append(AppendLenencInt(b, uint64(len(s))), s...)
}

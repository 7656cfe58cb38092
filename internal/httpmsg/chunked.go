package httpmsg

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// maxChunkLine limits a line with the size of a chunk, extensions included, in bytes.
	maxChunkLine = 4 << 10
	// maxChunkOverhead limits the bytes of chunk extensions and white space, beyond
	// freeChunkOverhead for each chunk and twice the bytes of its data.
	maxChunkOverhead  = 16 << 10
	freeChunkOverhead = 16
	// maxChunkDigits limits the digits of a chunk's size.
	maxChunkDigits = 16
)

// errChunk reports a malformed chunk.
var errChunk = errors.New("malformed chunk")

// chunkReader decodes a chunked body up to the last chunk, without its trailer section (RFC 9112,
// section 7.1). Unlike httputil.NewChunkedReader, a Read returns what has arrived of a chunk: it never
// waits for more while it has data.
type chunkReader struct {
	r        *bufio.Reader
	left     uint64 // bytes to come of the current chunk
	inChunk  bool   // the line break after the current chunk has not been read
	overhead int64  // see maxChunkOverhead
	err      error  // io.EOF or the error that ended the body
}

// Read implements io.Reader. It returns io.EOF after the last chunk.
func (c *chunkReader) Read(p []byte) (n int, err error) {
	if c.err == nil && c.left == 0 {
		c.err = c.nextChunk()
	}
	if c.err != nil {
		return 0, c.err
	}
	if uint64(len(p)) > c.left {
		p = p[:c.left]
	}
	n, err = c.r.Read(p)
	c.left -= uint64(n)
	c.err = unexpectedEOF(err)
	return n, c.err
}

// nextChunk reads up to the data of the next chunk. It returns io.EOF for the last chunk.
func (c *chunkReader) nextChunk() error {
	if c.inChunk {
		if err := c.readLineBreak(); err != nil {
			return err
		}
		c.inChunk = false
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	if c.left, err = parseChunkSize(size); err != nil {
		return err
	}
	c.overhead += int64(len(line)) + int64(len("\r\n")) - freeChunkOverhead
	c.overhead -= 2 * int64(min(c.left, maxChunkOverhead))
	if c.overhead = max(c.overhead, 0); c.overhead > maxChunkOverhead {
		return errChunk
	}
	if c.left == 0 {
		return io.EOF
	}
	c.inChunk = true
	return nil
}

// readLine reads the line with the size of a chunk, without its end and trailing white space. A line
// that does not end in CRLF, or has another CR, is malformed: parsers differ about it.
func (c *chunkReader) readLine() ([]byte, error) {
	line, err := c.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errChunk
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	end := len(line) - len("\r\n")
	if end < 0 || bytes.IndexByte(line, '\r') != end || end >= maxChunkLine {
		return nil, errChunk
	}
	return bytes.TrimRight(line[:end], " \t"), nil
}

// readLineBreak reads the line break after the data of a chunk.
func (c *chunkReader) readLineBreak() error {
	var b [2]byte
	if _, err := io.ReadFull(c.r, b[:]); err != nil {
		return unexpectedEOF(err)
	}
	if b != [2]byte{'\r', '\n'} {
		return errChunk
	}
	return nil
}

// parseChunkSize parses the size of a chunk, in bytes.
func parseChunkSize(text []byte) (uint64, error) {
	if len(text) == 0 || len(text) > maxChunkDigits {
		return 0, errChunk
	}
	n := uint64(0)
	for _, d := range text {
		value := bytes.IndexByte([]byte("0123456789abcdef"), lowerHex(d))
		if value < 0 {
			return 0, errChunk
		}
		n = n<<4 | uint64(value)
	}
	return n, nil
}

// lowerHex returns the lower-case form of a hexadecimal digit, and other bytes as they are.
func lowerHex(b byte) byte {
	if 'A' <= b && b <= 'F' {
		return b + 'a' - 'A'
	}
	return b
}

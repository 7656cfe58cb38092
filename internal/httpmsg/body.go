package httpmsg

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxBody is the maximum length of a body in the sidecar protocol, in bytes.
	MaxBody = 32 << 20
	// MaxFullBody is the maximum length of a body that is always read in full before it is
	// forwarded, in bytes. A longer response counts as received with its first bytes.
	MaxFullBody = 64 << 10
	// maxTrailer is the maximum size of the trailer section after a chunked body, in bytes. Fields
	// in it that concern framing, routing or authorization are dropped.
	maxTrailer = 4 << 10
)

// Body reads the body of a message whose head has been read from r. It returns io.EOF only where
// the body ends according to its framing, and leaves the bytes after the body in r. It must not be
// read before Reset.
type Body struct {
	r           *bufio.Reader
	chunkReader *chunkReader // nil: the body is not chunked
	remaining   int64        // if not chunked: bytes to come; negative: the body ends with the connection
	size        int64        // bytes read so far
	limit       int64        // the maximum of size
	trailer     []byte       // the lines of the trailer section that may be forwarded
	err         error        // io.EOF or the error that ended the body
}

// Reset makes b read the body of a message with that length, or up to the end of the connection if
// length is -1. The limit is MaxBody.
func (b *Body) Reset(r *bufio.Reader, length int64, chunked bool) {
	b.ResetWithLimit(r, length, chunked, MaxBody)
}

// ResetWithLimit is Reset with a limit of limit bytes.
func (b *Body) ResetWithLimit(r *bufio.Reader, length int64, chunked bool, limit int64) {
	*b = Body{r: r, remaining: length, limit: limit}
	if chunked {
		b.chunkReader = &chunkReader{r: r}
	}
	if b.remaining > limit && !chunked {
		b.err = ErrBodyTooLong
	}
}

// ReadErr returns the error that ended the body early, or nil if the body is complete or not yet
// read to its end.
func (b *Body) ReadErr() error {
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// Size returns how many bytes of the body have been read.
func (b *Body) Size() int64 { return b.size }

// Trailer returns the lines of the trailer section that may be forwarded (RFC 9110, section 6.5.1),
// once the body has been read to its end.
func (b *Body) Trailer() []byte { return b.trailer }

// Ended reports whether the body has been read to its end.
func (b *Body) Ended() bool {
	return b.err == io.EOF || b.chunkReader == nil && b.remaining == 0 && b.err == nil
}

// Read implements io.Reader. It returns ErrBodyTooLong if the body exceeds its limit, and
// io.ErrUnexpectedEOF if the connection ends before the body.
func (b *Body) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	switch {
	case b.chunkReader != nil:
		if n, err = b.chunkReader.Read(p); err == io.EOF {
			if err = b.readTrailer(); err == nil {
				err = io.EOF
			}
		}
	case b.remaining == 0:
		err = io.EOF
	case b.remaining > 0:
		n, err = b.r.Read(p[:min(int64(len(p)), b.remaining)])
		b.remaining -= int64(n)
		err = unexpectedEOF(err)
	default:
		n, err = b.r.Read(p)
	}
	if b.size += int64(n); b.size > b.limit {
		n, err = 0, ErrBodyTooLong
	}
	b.err = err
	return n, err
}

// readTrailer reads the trailer section and keeps the fields that may be forwarded.
func (b *Body) readTrailer() error {
	for left := maxTrailer; ; {
		line, err := b.r.ReadSlice('\n')
		if err != nil {
			return unexpectedEOF(err)
		}
		if left -= len(line); left < 0 {
			return ErrHeadTooLong
		}
		if line = trimLine(line); len(line) == 0 {
			return nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || hasControl(line) {
			return ErrMalformedHead
		}
		if !IsHopByHopName(name) && !isEndToEnd(name) {
			b.trailer = Field{name, bytes.Trim(value, " \t")}.Append(b.trailer)
		}
	}
}

// ReadUpTo reads until it has n bytes or the body ends, which Ended reports. If the length of the
// body is unknown, it reads one more byte to find out whether the body has ended.
func (b *Body) ReadUpTo(n int64) ([]byte, error) {
	if b.err != nil && b.err != io.EOF {
		return nil, b.err
	}
	var buf []byte
	if b.chunkReader == nil && b.remaining >= 0 {
		if n = min(n, b.remaining); n == 0 {
			return nil, nil
		}
		buf = make([]byte, 0, n)
	} else {
		n++
	}
	for int64(len(buf)) < n {
		buf = Grow(buf, n)
		m, err := b.Read(buf[len(buf):min(int64(cap(buf)), n)])
		buf = buf[:len(buf)+m]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return buf, nil
}

// minBodyBuffer is the first buffer for a body of unknown length. Each further one is four times as
// long, so that little memory is left behind for the garbage collector.
const minBodyBuffer = 4 << 10

// Grow returns buf with room for more if it is full, up to limit bytes in all.
func Grow(buf []byte, limit int64) []byte {
	if len(buf) < cap(buf) {
		return buf
	}
	size := min(max(4*int64(cap(buf)), minBodyBuffer), limit)
	return append(make([]byte, 0, size), buf...)
}

// ReadAll reads the rest of the body. It returns ErrBodyTooLong if that is longer than limit bytes.
func (b *Body) ReadAll(limit int64) ([]byte, error) {
	if b.chunkReader == nil && b.remaining > limit {
		return nil, ErrBodyTooLong
	}
	body, err := b.ReadUpTo(limit)
	if err == nil && int64(len(body)) > limit {
		return nil, ErrBodyTooLong
	}
	return body, err
}

// ChunkedBodyComplete reports whether b, which starts with a chunk header, contains the rest of a
// chunked body including its trailer section.
func ChunkedBodyComplete(b []byte) bool {
	for {
		line, rest, ok := bytes.Cut(b, []byte("\n"))
		if !ok {
			return false
		}
		size, _, _ := bytes.Cut(trimLine(line), []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		if err != nil {
			return true // the reader finds the error without more data
		}
		if n == 0 {
			return bytes.HasPrefix(rest, []byte("\r\n")) || bytes.Contains(rest, []byte("\r\n\r\n"))
		}
		if b = rest; uint64(len(b)) < n+2 {
			return false
		}
		b = b[n+2:]
	}
}

// AppendChunkHead appends the header line of a chunk of n bytes. The chunk data must be followed by
// CRLF.
func AppendChunkHead(b []byte, n int) []byte {
	return append(strconv.AppendInt(b, int64(n), 16), "\r\n"...)
}

const (
	// copyBufferSize is the size of the buffers for copying long bodies.
	copyBufferSize = 32 << 10
	// maxCopyBuffers limits these buffers. A body whose peer is slow holds one all the time, so that
	// further bodies get buffers of smallCopyBufferSize.
	maxCopyBuffers = 128
	// smallCopyBufferSize is the size of the other buffers.
	smallCopyBufferSize = 8 << 10
)

var (
	copyBuffers      = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}
	smallCopyBuffers = sync.Pool{New: func() any { return new([smallCopyBufferSize]byte) }}
	copyBuffersInUse atomic.Int64 // of copyBuffers
)

// CopyBuffer returns a buffer for copying a long body, and a function that returns it to the pool.
func CopyBuffer() (b []byte, release func()) {
	if copyBuffersInUse.Add(1) > maxCopyBuffers {
		copyBuffersInUse.Add(-1)
		p := smallCopyBuffers.Get().(*[smallCopyBufferSize]byte)
		return p[:], func() { smallCopyBuffers.Put(p) }
	}
	p := copyBuffers.Get().(*[copyBufferSize]byte)
	return p[:], func() {
		copyBuffers.Put(p)
		copyBuffersInUse.Add(-1)
	}
}

// unexpectedEOF replaces io.EOF, which within a message is an error, with io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ErrReclaimed reports to a reader of an Upload that its owner has reclaimed or stopped it.
var ErrReclaimed = errors.New("the rest of the body was taken back")

// Upload is the part of a request body that has not been received yet. It can be read only once, by
// the attempt that starts to read it. The front that created it learns from Done when reading has
// ended, and may reclaim it.
type Upload struct {
	src       io.Reader
	started   atomic.Bool
	reclaimed atomic.Bool
	readMu    sync.Mutex // held during a Read
	endOnce   sync.Once
	done      chan struct{}
	err       error // set before done is closed: io.EOF or the error that ended it
}

// NewUpload returns an Upload that reads from src.
func NewUpload(src io.Reader) *Upload { return &Upload{src: src, done: make(chan struct{})} }

// ArrivalSource is a source of an Upload that estimates when the body had arrived.
type ArrivalSource interface {
	io.Reader
	// ReceivedAt returns since when the sender may have sent the last byte, or zero if it cannot have
	// done so yet. It may be called during a Read.
	ReceivedAt() time.Time
}

// ReceivedAt returns since when the sender may have sent the last byte of the body, even if much of
// it is still unread, or zero if it cannot have done so yet or that is unknown.
func (u *Upload) ReceivedAt() time.Time {
	if src, ok := u.src.(ArrivalSource); ok {
		return src.ReceivedAt()
	}
	return time.Time{}
}

// Read implements io.Reader.
func (u *Upload) Read(p []byte) (int, error) {
	u.readMu.Lock()
	defer u.readMu.Unlock()
	if u.reclaimed.Load() {
		return 0, ErrReclaimed
	}
	u.started.Store(true)
	n, err := u.src.Read(p)
	if err != nil {
		u.end(err)
	}
	return n, err
}

// end records the first error and closes done.
func (u *Upload) end(err error) {
	u.endOnce.Do(func() {
		u.err = err
		close(u.done)
	})
}

// Stop makes all further Reads fail. It does not wait for a Read in progress, whose data nobody
// uses any more.
func (u *Upload) Stop() { u.reclaimed.Store(true) }

// MarkStarted records that the body is about to be read, so that it cannot be sent again.
func (u *Upload) MarkStarted() { u.started.Store(true) }

// Started reports whether reading has started, so that the body cannot be sent again.
func (u *Upload) Started() bool { return u.started.Load() }

// Done returns a channel that is closed once nothing more will be read.
func (u *Upload) Done() <-chan struct{} { return u.done }

// Err returns the error that ended the reading once Done is closed: io.EOF if everything was read.
// Before that it returns nil.
func (u *Upload) Err() error {
	select {
	case <-u.done:
		return u.err
	default:
		return nil
	}
}

// SourceErr returns the error of the source that ended the body early, if any.
func (u *Upload) SourceErr() error {
	if err := u.Err(); err != io.EOF && err != ErrReclaimed {
		return err
	}
	return nil
}

// Reclaim ends the reading. If a Read is in progress, it calls wake, which must make that Read
// return, and waits for it. It returns the source, which nobody else reads any more, or nil if the
// source has been read to its end.
func (u *Upload) Reclaim(wake func()) io.Reader {
	u.reclaimed.Store(true)
	if !u.readMu.TryLock() {
		wake()
		u.readMu.Lock()
	}
	defer u.readMu.Unlock()
	u.end(ErrReclaimed)
	if u.err == io.EOF {
		return nil
	}
	return u.src
}

package httpmsg

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strconv"
	"sync"
	"sync/atomic"
)

const (
	// MaxBody is the longest body that a message may have, in bytes, by the protocol.
	MaxBody = 32 << 20
	// MaxFullBody is the longest body that is always held whole before it goes on, in bytes. Above it the first bytes of an answer
	// are what counts.
	MaxFullBody = 64 << 10
	// mostTrailer bounds the trailer section after a chunked body, in bytes; what in it speaks of framing, routes or rights is dropped.
	mostTrailer = 4 << 10
)

// Body reads the body of the message whose head was taken from r. It gives io.EOF only where the body ends as its framing
// says, and leaves what stands behind it in r. Before Reset it must not be read.
type Body struct {
	r      *bufio.Reader
	chunks io.Reader // nil: the body is not in chunks
	left   int64     // without chunks: bytes to come; negative: all until the end of the connection
	size   int64     // bytes that were read
	limit  int64     // of size
	lines  []byte    // of the trailer section that may go on
	err    error     // what ended it
}

// Reset makes b the body of a message of that length, which is -1 where only the end of the connection ends it.
func (b *Body) Reset(r *bufio.Reader, length int64, chunked bool) {
	b.ResetWithLimit(r, length, chunked, MaxBody)
}

// ResetWithLimit is Reset for a body that may have up to limit bytes.
func (b *Body) ResetWithLimit(r *bufio.Reader, length int64, chunked bool, limit int64) {
	*b = Body{r: r, left: length, limit: limit}
	if chunked {
		b.chunks = httputil.NewChunkedReader(r)
	}
	if b.left > limit && !chunked {
		b.err = ErrBodyTooLong
	}
}

// ReadErr returns what broke the body; nil: it has ended in order, or not yet.
func (b *Body) ReadErr() error {
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// Trailer returns the lines of the trailer section that may go on (RFC 9110, section 6.5.1), once all of the body has been read.
func (b *Body) Trailer() []byte { return b.lines }

// Ended reports whether all of the body has been read.
func (b *Body) Ended() bool { return b.err == io.EOF || b.chunks == nil && b.left == 0 && b.err == nil }

// Read is the method of io.Reader. It gives ErrBodyTooLong for what is over MaxBody, and io.ErrUnexpectedEOF where the
// connection ends before the body does.
func (b *Body) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	switch {
	case b.chunks != nil:
		if n, err = b.chunks.Read(p); err == io.EOF {
			if err = b.readTrailer(); err == nil {
				err = io.EOF
			}
		}
	case b.left == 0:
		err = io.EOF
	case b.left > 0:
		n, err = b.r.Read(p[:min(int64(len(p)), b.left)])
		b.left -= int64(n)
		err = unexpected(err)
	default:
		n, err = b.r.Read(p)
	}
	if b.size += int64(n); b.size > b.limit {
		n, err = 0, ErrBodyTooLong
	}
	b.err = err
	return n, err
}

func (b *Body) readTrailer() error {
	for left := mostTrailer; ; {
		line, err := b.r.ReadSlice('\n')
		if err != nil {
			return unexpected(err)
		}
		if left -= len(line); left < 0 {
			return ErrHeadTooLong
		}
		if line = trimLine(line); len(line) == 0 {
			return nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !token(name) || hasControl(line) {
			return ErrMalformedHead
		}
		if !IsHopByHopName(name) && !meantForAll(name) {
			b.lines = Field{name, bytes.Trim(value, " \t")}.Append(b.lines)
		}
	}
}

// ReadUpTo reads until n bytes have come or the body has ended, which Ended tells. Where its length is not told, it reads one
// more to learn whether it has.
func (b *Body) ReadUpTo(n int64) ([]byte, error) {
	if b.err != nil && b.err != io.EOF {
		return nil, b.err
	}
	var buf []byte
	if b.chunks == nil && b.left >= 0 {
		if n = min(n, b.left); n == 0 {
			return nil, nil
		}
		buf = make([]byte, 0, n)
	} else {
		n++
	}
	for int64(len(buf)) < n {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
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

// ReadAll reads the rest of the body, of at most limit bytes; beyond that it gives ErrBodyTooLong.
func (b *Body) ReadAll(limit int64) ([]byte, error) {
	if b.chunks == nil && b.left > limit {
		return nil, ErrBodyTooLong
	}
	body, err := b.ReadUpTo(limit)
	if err == nil && int64(len(body)) > limit {
		return nil, ErrBodyTooLong
	}
	return body, err
}

// ChunkedBodyComplete reports whether b, which begins with the head of a chunk, holds all of a chunked body up to the end of its trailer section.
func ChunkedBodyComplete(b []byte) bool {
	for {
		line, rest, ok := bytes.Cut(b, []byte("\n"))
		if !ok {
			return false
		}
		size, _, _ := bytes.Cut(trimLine(line), []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		if err != nil {
			return true // whoever reads it learns what is wrong without waiting
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

// AppendChunkHead appends the head of a chunk of n bytes; its end is a line break.
func AppendChunkHead(b []byte, n int) []byte {
	return append(strconv.AppendInt(b, int64(n), 16), "\r\n"...)
}

// copyBuffer is the size of the buffers through which long bodies go.
const copyBuffer = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// CopyBuffer returns a buffer through which a long body can go, and the function that gives it back.
func CopyBuffer() (b []byte, release func()) {
	p := buffers.Get().(*[copyBuffer]byte)
	return p[:], func() { buffers.Put(p) }
}

// unexpected makes the end of the input an error within a message.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ErrReclaimed tells a reader of an Upload that whoever owns it has taken it back.
var ErrReclaimed = errors.New("the rest of the body was taken back")

// Upload is what is still to come of a request's body. It is read once, by whoever carries out the attempt that begins to
// read it; the front that it comes from learns of its end by Done, and may take it back.
type Upload struct {
	src     io.Reader
	started atomic.Bool
	taken   atomic.Bool
	reading sync.Mutex // held by a Read that is under way
	ended   sync.Once
	done    chan struct{}
	err     error // before done is closed: io.EOF, or what broke it
}

// NewUpload returns an Upload of what src gives.
func NewUpload(src io.Reader) *Upload { return &Upload{src: src, done: make(chan struct{})} }

// Read is the method of io.Reader.
func (u *Upload) Read(p []byte) (int, error) {
	u.reading.Lock()
	defer u.reading.Unlock()
	if u.taken.Load() {
		return 0, ErrReclaimed
	}
	u.started.Store(true)
	n, err := u.src.Read(p)
	if err != nil {
		u.end(err)
	}
	return n, err
}

func (u *Upload) end(err error) {
	u.ended.Do(func() {
		u.err = err
		close(u.done)
	})
}

// Stop ends the reading for good without waiting for a Read that is under way, which gives what it has got to nobody.
func (u *Upload) Stop() { u.taken.Store(true) }

// MarkStarted notes that the body is about to be read, and so can be sent once only.
func (u *Upload) MarkStarted() { u.started.Store(true) }

// Started reports whether something has been read, so that the body cannot be sent again.
func (u *Upload) Started() bool { return u.started.Load() }

// Done is closed once nothing more will be read.
func (u *Upload) Done() <-chan struct{} { return u.done }

// Err returns what ended it, once Done is closed: io.EOF if all was read. Before, it returns nil.
func (u *Upload) Err() error {
	select {
	case <-u.done:
		return u.err
	default:
		return nil
	}
}

// SourceErr returns what broke the body on its way here, if something has.
func (u *Upload) SourceErr() error {
	if err := u.Err(); err != io.EOF && err != ErrReclaimed {
		return err
	}
	return nil
}

// Reclaim ends the reading: wake makes a Read that is under way return. It returns the source, of which nothing is read
// any more by others, and nil if it has been read to its end.
func (u *Upload) Reclaim(wake func()) io.Reader {
	u.taken.Store(true)
	if !u.reading.TryLock() {
		wake()
		u.reading.Lock()
	}
	defer u.reading.Unlock()
	u.end(ErrReclaimed)
	if u.err == io.EOF {
		return nil
	}
	return u.src
}

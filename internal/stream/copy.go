package stream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"quillfront/internal/sockets"
)

const (
	// bufferSize is the buffer of a direction while it copies; a direction that waits for data
	// holds no buffer.
	bufferSize = 32 << 10
	// bulkReads is how many reads in a row must fill the buffer before a direction counts as a
	// large transfer.
	bulkReads = 8
	// bulkTime is how long these reads may take: a slow transfer gains nothing from splicing.
	bulkTime = 100 * time.Millisecond
	// spliceSize is how much one splice call moves within the kernel, and spliceTime how long it
	// may wait for more data. While splicing, a peer that accepts less than spliceSize within
	// Config.StallTimeout counts as stalled.
	spliceSize = 256 << 10
	spliceTime = 50 * time.Millisecond
)

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// pooledReader reads a connection into pooled buffers, which it takes only when the connection
// is readable.
type pooledReader struct {
	raw  syscall.RawConn
	buf  *[bufferSize]byte
	n    int
	err  error
	read func(fd uintptr) bool
}

func newPooledReader(c *net.TCPConn) (*pooledReader, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	p := &pooledReader{raw: raw}
	p.read = func(fd uintptr) bool {
		p.buf = buffers.Get().(*[bufferSize]byte)
		for {
			p.n, p.err = syscall.Read(int(fd), p.buf[:])
			if p.err != syscall.EINTR {
				break
			}
		}
		if p.err == syscall.EAGAIN {
			p.release()
			return false
		}
		return true
	}
	return p, nil
}

// nextChunk returns the next bytes of the connection. They are valid until release. It returns
// io.EOF at the end of the stream.
func (p *pooledReader) nextChunk() ([]byte, error) {
	p.n, p.err = 0, nil
	if err := p.raw.Read(p.read); err != nil {
		p.release()
		return nil, err
	}
	if p.err != nil {
		p.release()
		return nil, os.NewSyscallError("read", p.err)
	}
	if p.n == 0 {
		p.release()
		return nil, io.EOF
	}
	return p.buf[:p.n], nil
}

// release returns the buffer to the pool.
func (p *pooledReader) release() {
	if p.buf != nil {
		buffers.Put(p.buf)
		p.buf = nil
	}
}

// writeError marks an error of the destination.
type writeError struct{ error }

// Unwrap returns the underlying error.
func (e writeError) Unwrap() error { return e.error }

// copyUntilEOF copies from one connection to the other until the source ends. It calls progress for
// each chunk before the write and, with the error of the write, after it. An error of the
// destination is returned as a writeError.
func copyUntilEOF(to, from *net.TCPConn, splice *sockets.Budget, progress func(n int, done bool, err error)) error {
	p, err := newPooledReader(from)
	if err != nil {
		return err
	}
	full, since := 0, time.Time{}
	for {
		b, err := p.nextChunk()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		progress(len(b), false, nil)
		n := len(b)
		_, err = to.Write(b)
		p.release()
		progress(n, true, err)
		if err != nil {
			return writeError{err}
		}
		if full++; n < bufferSize || splice == nil {
			full = 0
		} else if full == 1 {
			since = time.Now()
		} else if full >= bulkReads {
			if full = 0; time.Since(since) < bulkTime {
				if err := spliceUntilPause(to, from, splice, progress); err == io.EOF {
					return nil
				} else if err != nil {
					return err
				}
			}
		}
	}
}

// spliceUntilPause moves a large transfer within the kernel until it pauses. It returns nil on a
// pause and io.EOF at the end of the source. Any other error may be of either side and is final:
// the kernel reports a reset once and EOF after that.
func spliceUntilPause(to, from *net.TCPConn, budget *sockets.Budget, progress func(n int, done bool, err error)) error {
	for range 2 { // the two ends of the pipe
		release, ok := budget.TryAcquire()
		if !ok {
			return nil
		}
		defer release()
	}
	defer from.SetReadDeadline(time.Time{})
	for {
		from.SetReadDeadline(time.Now().Add(spliceTime))
		progress(0, false, nil)
		// Writes have no deadline, so that no data is left in the pipe when one expires.
		n, err := io.CopyN(to, from, spliceSize)
		if errors.Is(err, os.ErrDeadlineExceeded) || err == io.EOF {
			progress(int(n), true, nil)
		} else {
			progress(int(n), true, err)
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // the transfer pauses, or the stream is being closed
			return nil
		case err != nil:
			return err
		}
	}
}

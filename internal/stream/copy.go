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
	// bufferSize is what a direction holds while it passes bytes on; one that waits holds none.
	bufferSize = 32 << 10
	// bulkReads is how many reads in a row must fill a buffer before a direction is held for a large transfer.
	bulkReads = 8
	// bulkTime is how long they may take: a slow transfer gains nothing.
	bulkTime = 100 * time.Millisecond
	// spliceSize is how much is passed on at once within the kernel, and spliceTime how long it may wait for more. A peer that
	// takes less than spliceSize within Config.Stall counts as stalled then.
	spliceSize = 256 << 10
	spliceTime = 50 * time.Millisecond
)

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// pooledReader reads a connection into buffers that are taken only once there is something to read.
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

// next returns what has come; it is the caller's until drop. The end is io.EOF.
func (p *pooledReader) next() ([]byte, error) {
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

func (p *pooledReader) release() {
	if p.buf != nil {
		buffers.Put(p.buf)
		p.buf = nil
	}
}

// writeError marks an error of the side that is written to.
type writeError struct{ error }

func (e writeError) Unwrap() error { return e.error }

// copyUntilEOF passes on all that comes from one side to the other until the first shuts, and tells on of each piece: before it is written,
// and once it is, with what broke it. With an error of the other side it is an errWrite.
func copyUntilEOF(to, from *net.TCPConn, splice *sockets.Budget, on func(n int, done bool, err error)) error {
	p, err := newPooledReader(from)
	if err != nil {
		return err
	}
	full, since := 0, time.Time{}
	for {
		b, err := p.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		on(len(b), false, nil)
		n := len(b)
		_, err = to.Write(b)
		p.release()
		on(n, true, err)
		if err != nil {
			return writeError{err}
		}
		if full++; n < bufferSize || splice == nil {
			full = 0
		} else if full == 1 {
			since = time.Now()
		} else if full >= bulkReads {
			if full = 0; time.Since(since) < bulkTime {
				if err := spliceUntilPause(to, from, splice, on); err == io.EOF {
					return nil
				} else if err != nil {
					return err
				}
			}
		}
	}
}

// spliceUntilPause passes on a large transfer as long as it goes on, without bringing it into this process. It returns io.EOF once the
// one side has shut. Any other error is either side's, and final: the kernel tells a reset once, and an end after that.
func spliceUntilPause(to, from *net.TCPConn, budget *sockets.Budget, on func(n int, done bool, err error)) error {
	for range 2 { // a pipe
		release, ok := budget.TryAcquire()
		if !ok {
			return nil
		}
		defer release()
	}
	defer from.SetReadDeadline(time.Time{})
	for {
		from.SetReadDeadline(time.Now().Add(spliceTime))
		on(0, false, nil)
		// A write has no deadline, so that nothing is left in the pipe where one passes.
		n, err := io.CopyN(to, from, spliceSize)
		if errors.Is(err, os.ErrDeadlineExceeded) || err == io.EOF {
			on(int(n), true, nil)
		} else {
			on(int(n), true, err)
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // the transfer pauses, or the stream was told to end
			return nil
		case err != nil:
			return err
		}
	}
}

package sockets

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// connected returns the two ends of a TCP connection on the loopback interface.
func connected(t *testing.T) (a, b *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// TestWriteToSteadyReader guards against a peer that is given up although it reads steadily: the
// kernel accepts more only once much of its buffer is free. A peer that reads nothing is given up.
func TestWriteToSteadyReader(t *testing.T) {
	const (
		stall = 1500 * time.Millisecond
		size  = 11 << 19
	)
	a, b := connected(t)
	a.SetWriteBuffer(2 << 20)
	b.SetReadBuffer(64 << 10)
	go func() { // 300 KB a second
		for {
			if _, err := io.CopyN(io.Discard, b, 6<<10); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	begun := time.Now()
	n, err := WriteWithin(a, &net.Buffers{bytes.Repeat([]byte("x"), size)}, stall, time.Time{}, nil)
	if n != size || err != nil {
		t.Errorf("%d of %d bytes after %v: %v", n, size, time.Since(begun), err)
	}

	a, _ = connected(t)
	a.SetWriteBuffer(64 << 10)
	begun = time.Now()
	n, err = WriteWithin(a, &net.Buffers{make([]byte, 16<<20)}, stall, time.Time{}, nil)
	if after := time.Since(begun); !errors.Is(err, os.ErrDeadlineExceeded) || n == 16<<20 || after < stall || after > 10*stall {
		t.Errorf("to a peer that reads nothing: %d bytes, %v after %v", n, err, after)
	}
}

// TestWriteLeavesNoDeadline guards against a later write of another kind, such as an interim response,
// that fails because of the deadline of a try.
func TestWriteLeavesNoDeadline(t *testing.T) {
	a, _ := connected(t)
	if _, err := WriteWithin(a, &net.Buffers{[]byte("x")}, time.Second, time.Time{}, nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * writeRetry)
	if _, err := a.Write([]byte("y")); err != nil {
		t.Error(err)
	}
}

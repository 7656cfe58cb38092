package sockets

import (
	"net"
	"syscall"
)

// Peeker inspects the kernel's receive buffer of a connection without consuming data. It is for one
// goroutine at a time, which may peek while another goroutine reads.
type Peeker struct {
	raw        syscall.RawConn
	probe      func(fd uintptr)
	empty      bool // nothing to read
	hasData    bool // bytes to read
	peerClosed bool // the peer has closed its side, or the connection is broken
	buf        [1]byte
}

// NewPeeker returns a Peeker for c. If c has no socket, all methods of the Peeker return false.
func NewPeeker(c net.Conn) *Peeker {
	p := &Peeker{}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			p.raw = raw
		}
	}
	p.probe = func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), p.buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		p.empty = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		p.hasData = err == nil && n > 0
		p.peerClosed = !p.empty && err != syscall.EINTR && (!p.hasData || peerFinished(int(fd)))
	}
	return p
}

// Empty reports whether there is nothing to read: neither bytes nor the end of the stream.
func (p *Peeker) Empty() bool {
	if p.raw == nil {
		return false
	}
	p.empty = false
	return p.raw.Control(p.probe) == nil && p.empty
}

// HasData reports whether there are unread bytes.
func (p *Peeker) HasData() bool {
	if p.raw == nil {
		return false
	}
	p.hasData = false
	return p.raw.Control(p.probe) == nil && p.hasData
}

// PeerClosed reports whether the peer has closed its side or the connection is broken, even if
// there are unread bytes before that.
func (p *Peeker) PeerClosed() bool {
	if p.raw == nil {
		return false
	}
	p.peerClosed = false
	return p.raw.Control(p.probe) == nil && p.peerClosed
}

package sockets

import (
	"net"
	"syscall"
)

// Peeker looks at what the kernel holds of a connection without taking it. It is for one goroutine at a time, which may
// look while another one reads.
type Peeker struct {
	raw     syscall.RawConn
	look    func(fd uintptr)
	nothing bool // the kernel had nothing
	bytes   bool // the kernel had bytes
	ended   bool // the peer has ended its sending or broken the connection
	b       [1]byte
}

// NewPeeker returns a Peeker of c. One of a connection that is no socket never sees that nothing has come.
func NewPeeker(c net.Conn) *Peeker {
	p := &Peeker{}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			p.raw = raw
		}
	}
	p.look = func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), p.b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		p.nothing = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		p.bytes = err == nil && n > 0
		p.ended = !p.nothing && err != syscall.EINTR && (!p.bytes || endedBehind(int(fd)))
	}
	return p
}

// Empty reports whether the kernel has nothing that is still to be read, neither bytes nor the end.
func (p *Peeker) Empty() bool {
	if p.raw == nil {
		return false
	}
	p.nothing = false
	return p.raw.Control(p.look) == nil && p.nothing
}

// HasData reports whether the kernel has bytes that are still to be read.
func (p *Peeker) HasData() bool {
	if p.raw == nil {
		return false
	}
	p.bytes = false
	return p.raw.Control(p.look) == nil && p.bytes
}

// PeerClosed reports whether the peer has ended its sending, or the connection is broken, also behind bytes that are still to be read.
func (p *Peeker) PeerClosed() bool {
	if p.raw == nil {
		return false
	}
	p.ended = false
	return p.raw.Control(p.look) == nil && p.ended
}

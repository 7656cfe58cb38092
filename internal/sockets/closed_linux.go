package sockets

import (
	"net"
	"syscall"
)

// tcpClosed is TCP_CLOSE of linux/tcp_states.h: the connection was reset, or both sides have closed
// it. A connection that only the peer has closed is in another state.
const tcpClosed = 7

// IsClosed reports whether a connection is closed on both sides. It is false if only the peer has
// closed its side.
func IsClosed(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	state := tcpClosed
	raw.Control(func(fd uintptr) {
		if s, ok := tcpState(int(fd)); ok {
			state = s
		}
	})
	return state == tcpClosed
}

// tcpState returns the state of a connection: the first byte of struct tcp_info.
func tcpState(fd int) (state int, ok bool) {
	v, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	return v & 0xff, err == nil
}

// peerFinished reports whether the peer has closed its side, even if there are unread bytes.
func peerFinished(fd int) bool {
	const closeWait, lastAck, closing = 8, 9, 11 // of linux/tcp_states.h
	s, ok := tcpState(fd)
	return ok && (s == tcpClosed || s == closeWait || s == lastAck || s == closing)
}

package sockets

import (
	"net"
	"syscall"
)

// closedState is the state of a connection that is over on both sides (TCP_CLOSE of linux/tcp_states.h): it was reset, or both sides have
// ended it. One that its peer alone has ended is in another.
const closedState = 7

// IsClosed reports whether a connection is over on both sides. Of one whose peer has only ended its sending it is false.
func IsClosed(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	state := closedState
	raw.Control(func(fd uintptr) {
		if s, ok := stateOf(int(fd)); ok {
			state = s
		}
	})
	return state == closedState
}

// stateOf is the state of a connection, the first byte of struct tcp_info.
func stateOf(fd int) (state int, ok bool) {
	v, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	return v & 0xff, err == nil
}

// endedBehind reports whether the peer of a connection has ended its sending, whatever of it is still to be read.
func endedBehind(fd int) bool {
	const closeWait, lastAck, closing = 8, 9, 11 // of linux/tcp_states.h
	s, ok := stateOf(fd)
	return ok && (s == closedState || s == closeWait || s == lastAck || s == closing)
}

package sockets

import (
	"errors"
	"net"
	"os"
	"time"
)

// writeRetry is the interval at which a write that blocks is tried again.
const writeRetry = 100 * time.Millisecond

// WriteWithin writes parts to c, whose peer may take no bytes for up to stall. A peer that reads
// steadily may let a write block for much longer: the kernel reports a socket as writable only once a
// large part of its buffer is free, though it accepts bytes before. So a write that blocks is tried
// again now and then. It ends by until at the latest, unless that is zero, and soon after abandon
// reports that it is no longer wanted, unless that is nil. If it succeeds, c has no write deadline.
//
// n is how many bytes the kernel has accepted. An error that wraps os.ErrDeadlineExceeded tells that a
// limit ran out, or that the write was abandoned.
func WriteWithin(c net.Conn, parts *net.Buffers, stall time.Duration, until time.Time, abandon func() bool) (n int64, err error) {
	for progress := time.Now(); ; {
		deadline := time.Now().Add(min(stall, writeRetry))
		if !until.IsZero() && until.Before(deadline) {
			deadline = until
		}
		if err := c.SetWriteDeadline(deadline); err != nil {
			return n, err
		}
		accepted, err := parts.WriteTo(c)
		n += accepted
		if err == nil {
			c.SetWriteDeadline(time.Time{})
			return n, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		now := time.Now()
		if accepted > 0 {
			progress = now
		}
		if now.Sub(progress) >= stall || !until.IsZero() && !now.Before(until) || abandon != nil && abandon() {
			return n, err
		}
	}
}

package handover

import (
	"time"

	"golang.org/x/sys/unix"
)

// sharedClock returns a clock that all processes of the machine share and that is never set. It reads
// the system's clock once: further readings come from the runtime, which needs no system call.
func sharedClock() func() time.Duration {
	var ts unix.Timespec
	started := time.Now()
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) != nil {
		return func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	}
	base := time.Duration(ts.Nano())
	return func() time.Duration { return base + time.Since(started) }
}

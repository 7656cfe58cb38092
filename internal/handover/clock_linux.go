package handover

import (
	"time"

	"golang.org/x/sys/unix"
)

// machineTime returns the time since the machine's start, by a clock that all processes share and that
// is never set.
func machineTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

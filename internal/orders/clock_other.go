//go:build !linux

package orders

import (
	"time"

	"quillfront/ledger"
)

// Now reads the wall clock and the time since the process started. On these platforms no monotonic
// clock is shared by all processes, so that no age is known after a restart of the process.
func Now() ledger.Instant {
	return ledger.Instant{Wall: time.Now().UnixNano(), Boot: processBoot, Up: int64(time.Since(processStart))}
}

var (
	processStart = time.Now()
	processBoot  = uint64(processStart.UnixNano()) | 1
)

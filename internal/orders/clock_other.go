//go:build !linux

package orders

import (
	"time"

	"quillfront/ledger"
)

// Now reads the wall clock. No other one is the same for all processes here, so that after a restart no age is known.
func Now() ledger.Instant {
	return ledger.Instant{Wall: time.Now().UnixNano(), Boot: process, Up: int64(time.Since(began))}
}

var (
	began   = time.Now()
	process = uint64(began.UnixNano()) | 1
)

//go:build !linux

package handover

import "time"

// sharedClock returns the wall clock, the only one that all processes share.
func sharedClock() func() time.Duration {
	return func() time.Duration { return time.Duration(time.Now().UnixNano()) }
}

//go:build !linux

package handover

import "time"

// machineTime returns the wall-clock time, the only clock that all processes share.
func machineTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

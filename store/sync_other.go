//go:build !linux

package store

import "os"

// datasync makes a file durable.
func datasync(f *os.File) error { return f.Sync() }

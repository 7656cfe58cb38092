//go:build !linux

package store

import "os"

// datasync makes a file's contents durable.
func datasync(f *os.File) error { return f.Sync() }

// allocate does nothing: preallocation is implemented for Linux only.
func allocate(*os.File, int64) error { return nil }

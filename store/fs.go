package store

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// FS is the access to one directory that a store needs. Names contain no slashes. Changes are
// durable only once they are synced: File.Sync syncs the bytes of a file, and SyncDir the creation,
// removal or renaming of files.
type FS interface {
	// Create creates an empty file for writing. It fails if the file exists.
	Create(name string) (File, error)
	// Append truncates an existing file to size bytes and opens it for writing at its end.
	Append(name string, size int64) (File, error)
	// Open opens a file for reading.
	Open(name string) (Reader, error)
	// Remove removes a file.
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncDir makes the creation, removal and renaming of files durable.
	SyncDir() error
	// Lock takes an exclusive lock, which is released when the result is closed. It fails with
	// ErrLocked if another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is a file that is written sequentially.
type File interface {
	io.WriteCloser
	// Sync makes the bytes written so far durable.
	Sync() error
}

// allocator is implemented by a File that can allocate space in advance, so that later writes need
// no space and do not change the file's length.
type allocator interface {
	// Allocate extends the file to size bytes, of which those not yet written are zeros. It fails
	// if there is not enough space.
	Allocate(size int64) error
	// Truncate truncates the file to size bytes.
	Truncate(size int64) error
}

// Reader is a file that is open for reading.
type Reader interface {
	io.ReaderAt
	io.Closer
	// Size returns the file's length in bytes.
	Size() (int64, error)
}

// ErrLocked reports that another process has the store open.
var ErrLocked = errors.New("store: locked by another process")

// Dir returns an FS for an existing directory of the local file system.
func Dir(path string) FS { return dir(path) }

type dir string

func (d dir) path(name string) string { return filepath.Join(string(d), name) }

func (d dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return writer{f}, nil
}

type writer struct{ *os.File }

func (w writer) Sync() error { return datasync(w.File) }

func (w writer) Allocate(size int64) error { return allocate(w.File, size) }

func (d dir) Append(name string, size int64) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY, 0)
	if err != nil {
		return nil, err
	}
	if err = f.Truncate(size); err == nil {
		_, err = f.Seek(size, io.SeekStart)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return writer{f}, nil
}

func (d dir) Open(name string) (Reader, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	return reader{f}, nil
}

type reader struct{ *os.File }

func (r reader) Size() (int64, error) {
	info, err := r.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (d dir) Remove(name string) error { return os.Remove(d.path(name)) }

func (d dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func (d dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (d dir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, err
	}
	return f, nil // closing the file releases the lock
}

// notExist reports whether err means that a file does not exist.
func notExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

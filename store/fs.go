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

// FS is what a store needs of a file system, in one directory. Names have no slashes. Nothing is durable before it was
// synced: a file's bytes by File.Sync, and the creation, removal or renaming of names by SyncDir.
type FS interface {
	// Create makes a new, empty file for writing. It fails if there is one of that name.
	Create(name string) (File, error)
	// Append opens a file to write behind its first size bytes; what it holds beyond them is cut off.
	Append(name string, size int64) (File, error)
	// Open opens a file for reading.
	Open(name string) (Reader, error)
	Remove(name string) error
	// List returns the names of all files, in order.
	List() ([]string, error)
	SyncDir() error
	// Lock keeps other processes out until the lock is closed. It fails with ErrLocked if one is in.
	Lock(name string) (io.Closer, error)
}

// File is a file that is written from its front to its end.
type File interface {
	io.WriteCloser
	Sync() error
}

// allocator is a File that can set room aside ahead of its writes, so that they need none and its length stays.
type allocator interface {
	// Allocate makes the file size bytes long: what is not written is zeros. It fails if there is no room.
	Allocate(size int64) error
	// Truncate ends the file behind its first size bytes.
	Truncate(size int64) error
}

// Reader is a file that is read.
type Reader interface {
	io.ReaderAt
	io.Closer
	Size() (int64, error)
}

// ErrLocked tells that another process holds the store.
var ErrLocked = errors.New("store: another process has it open")

// Dir returns the file system of a directory of the machine, which must exist.
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
	return f, nil // closing it unlocks
}

// notExist reports whether err says that there is no such file.
func notExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

package store

import (
	"os"
	"syscall"
)

// datasync makes a file's bytes and its length durable, and not the times that nobody goes by (fdatasync(2)). The file may be
// closed meanwhile: the descriptor is held until it returns.
func datasync(f *os.File) error { return call(f, "fdatasync", syscall.Fdatasync) }

// allocate sets room aside (fallocate(2)). Where the file system cannot, the file stays as it is.
func allocate(f *os.File, size int64) error {
	return call(f, "fallocate", func(fd int) error {
		err := syscall.Fallocate(fd, 0, 0, size)
		if err == syscall.EOPNOTSUPP || err == syscall.ENOSYS {
			return nil
		}
		return err
	})
}

// call makes a system call on f's descriptor, again where a signal has interrupted it.
func call(f *os.File, name string, what func(fd int) error) error {
	raw, err := f.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		for failed = syscall.EINTR; failed == syscall.EINTR; {
			failed = what(int(fd))
		}
	})
	if err != nil {
		return err
	}
	return os.NewSyscallError(name, failed)
}

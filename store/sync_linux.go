package store

import (
	"os"
	"syscall"
)

// datasync makes a file's bytes and its length durable, and not the times that nobody goes by (fdatasync(2)). The file may be
// closed meanwhile: the descriptor is held until it returns.
func datasync(f *os.File) error {
	raw, err := f.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		for {
			if failed = syscall.Fdatasync(int(fd)); failed != syscall.EINTR {
				return
			}
		}
	})
	if err != nil {
		return err
	}
	return os.NewSyscallError("fdatasync", failed)
}

// allocate sets room aside (fallocate(2)). Where the file system cannot, the file stays as it is.
func allocate(f *os.File, size int64) error {
	raw, err := f.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		for {
			if failed = syscall.Fallocate(int(fd), 0, 0, size); failed != syscall.EINTR {
				return
			}
		}
	})
	if err != nil || failed == syscall.EOPNOTSUPP || failed == syscall.ENOSYS {
		return err
	}
	return os.NewSyscallError("fallocate", failed)
}

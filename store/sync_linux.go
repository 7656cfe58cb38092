package store

import (
	"os"
	"syscall"
)

// datasync makes a file's bytes and length durable with fdatasync(2), but not its timestamps, which
// nothing uses. The file may be closed concurrently: the descriptor stays valid until datasync
// returns.
func datasync(f *os.File) error { return retryOnEINTR(f, "fdatasync", syscall.Fdatasync) }

// allocate allocates space with fallocate(2). If the file system does not support it, the file
// stays unchanged.
func allocate(f *os.File, size int64) error {
	return retryOnEINTR(f, "fallocate", func(fd int) error {
		err := syscall.Fallocate(fd, 0, 0, size)
		if err == syscall.EOPNOTSUPP || err == syscall.ENOSYS {
			return nil
		}
		return err
	})
}

// retryOnEINTR makes a system call on f's descriptor and repeats it while a signal interrupts it.
func retryOnEINTR(f *os.File, name string, fn func(fd int) error) error {
	raw, err := f.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	err = raw.Control(func(fd uintptr) {
		for callErr = syscall.EINTR; callErr == syscall.EINTR; {
			callErr = fn(int(fd))
		}
	})
	if err != nil {
		return err
	}
	return os.NewSyscallError(name, callErr)
}

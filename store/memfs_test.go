package store

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"slices"
	"sync"
)

// memFS is an in-memory file system that simulates power loss: afterwards unsynced data may be
// present in whole, in part, as zeros or not at all, and unsynced directory changes may be lost.
type memFS struct {
	mu        sync.Mutex
	files     map[string]*memFile // as the process sees them
	names     map[string]*memFile // as durable in the directory
	steps     int                 // bytes and calls until the power is lost; below 0: unlimited
	powerLost bool                // all further changes fail
	full      bool                // writes fail for lack of space
	failSync  bool                // syncs fail
	locked    bool
}

type memFile struct {
	data   []byte
	synced int
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, names: map[string]*memFile{}, steps: -1}
}

var (
	errPowerLost = errors.New("power lost")
	errNoSpace   = errors.New("no space on the disk")
	errSync      = errors.New("sync failed")
)

// spend uses up n of the remaining steps and returns how many of them succeed.
func (m *memFS) spend(n int) int {
	if m.powerLost {
		return 0
	}
	if m.steps < 0 {
		return n
	}
	if n > m.steps {
		n, m.powerLost = m.steps, true
	}
	m.steps -= n
	return n
}

// afterPowerLoss returns the file system as it is found after a power loss. part is the share of
// each file's unsynced bytes that is kept, zeros whether the remaining ones are zeros or missing,
// and names whether unsynced directory changes are kept.
func (m *memFS) afterPowerLoss(part float64, zeros, names bool) *memFS {
	n := newMemFS()
	from := m.names
	if names {
		from = m.files
	}
	for name, f := range from {
		kept := f.synced + int(part*float64(len(f.data)-f.synced))
		data := slices.Clone(f.data[:kept])
		if zeros {
			data = append(data, make([]byte, len(f.data)-kept)...)
		}
		g := &memFile{data, len(data)}
		n.files[name], n.names[name] = g, g
	}
	return n
}

type memWriter struct {
	m      *memFS
	f      *memFile
	offset int
}

// write appends to the data written so far, over any allocated zeros. Overwritten bytes are no
// longer durable.
func (w *memWriter) write(p []byte) {
	w.f.synced = min(w.f.synced, w.offset)
	n := copy(w.f.data[w.offset:], p)
	w.f.data = append(w.f.data, p[n:]...)
	w.offset += len(p)
}

func (w *memWriter) Allocate(size int64) error {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	if w.m.spend(1) < 1 {
		return errPowerLost
	}
	if w.m.full {
		return errNoSpace
	}
	if n := int(size) - len(w.f.data); n > 0 {
		w.f.data = append(w.f.data, make([]byte, n)...)
	}
	return nil
}

func (w *memWriter) Truncate(size int64) error {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	if w.m.spend(1) < 1 {
		return errPowerLost
	}
	w.f.data = w.f.data[:size]
	w.f.synced = min(w.f.synced, len(w.f.data))
	return nil
}

func (m *memFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.spend(1) < 1 {
		return nil, errPowerLost
	}
	if m.full {
		return nil, errNoSpace
	}
	if m.files[name] != nil {
		return nil, fs.ErrExist
	}
	f := &memFile{}
	m.files[name] = f
	return &memWriter{m, f, len(f.data)}, nil
}

func (m *memFS) Append(name string, size int64) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.spend(1) < 1 {
		return nil, errPowerLost
	}
	f := m.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	f.data = f.data[:size]
	f.synced = min(f.synced, len(f.data))
	return &memWriter{m, f, len(f.data)}, nil
}

func (w *memWriter) Write(p []byte) (int, error) {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	if w.m.full {
		half := len(p) / 2
		w.write(p[:half])
		return half, errNoSpace
	}
	n := w.m.spend(len(p))
	w.write(p[:n])
	if n < len(p) {
		return n, errPowerLost
	}
	return n, nil
}

func (w *memWriter) Sync() error {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	if w.m.spend(1) < 1 {
		return errPowerLost
	}
	if w.m.failSync {
		return errSync
	}
	w.f.synced = len(w.f.data)
	return nil
}

func (w *memWriter) Close() error { return nil }

type memReader struct {
	*bytes.Reader
}

func (r memReader) Size() (int64, error) { return r.Reader.Size(), nil }
func (r memReader) Close() error         { return nil }

func (m *memFS) Open(name string) (Reader, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return memReader{bytes.NewReader(slices.Clone(f.data))}, nil
}

func (m *memFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.files[name] == nil {
		return fs.ErrNotExist
	}
	if m.spend(1) < 1 {
		return errPowerLost
	}
	delete(m.files, name)
	return nil
}

func (m *memFS) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.spend(1) < 1 {
		return errPowerLost
	}
	if m.failSync {
		return errSync
	}
	clear(m.names)
	for name, f := range m.files {
		m.names[name] = f
	}
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return closer(func() { m.mu.Lock(); m.locked = false; m.mu.Unlock() }), nil
}

type closer func()

func (c closer) Close() error { c(); return nil }

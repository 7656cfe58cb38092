package store

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"slices"
	"sync"
)

// memFS is a file system in memory that can lose its power: what was not synced may then be there in part, in whole, as
// zeros, or not at all, and names that were not synced may be as they were before.
type memFS struct {
	mu     sync.Mutex
	files  map[string]*memFile // as the process sees them
	names  map[string]*memFile // as the directory has them durably
	steps  int                 // bytes and calls that still go through; below 0: no end
	cut    bool                // the power is gone
	full   bool                // writes fail for want of room
	noSync bool                // syncs fail
	locked bool
}

type memFile struct {
	data   []byte
	synced int
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, names: map[string]*memFile{}, steps: -1}
}

var (
	errCut  = errors.New("the power is gone")
	errRoom = errors.New("no room on the disk")
	errSync = errors.New("the sync failed")
)

// step spends n steps and returns how many went through.
func (m *memFS) step(n int) int {
	if m.cut {
		return 0
	}
	if m.steps < 0 {
		return n
	}
	if n > m.steps {
		n, m.cut = m.steps, true
	}
	m.steps -= n
	return n
}

// after returns the file system that is found when the power is back. how says what became of what was not synced: the
// part of each file's unsynced bytes that is there, whether what is missing is zeros, and whether unsynced names are kept.
func (m *memFS) after(part float64, zeros, names bool) *memFS {
	n := newMemFS()
	from := m.names
	if names {
		from = m.files
	}
	for name, f := range from {
		there := f.synced + int(part*float64(len(f.data)-f.synced))
		data := slices.Clone(f.data[:there])
		if zeros {
			data = append(data, make([]byte, len(f.data)-there)...)
		}
		g := &memFile{data, len(data)}
		n.files[name], n.names[name] = g, g
	}
	return n
}

type memWriter struct {
	m  *memFS
	f  *memFile
	at int
}

// put writes behind what was written before, over the zeros that were allocated. What it overwrites is not durable any more.
func (w *memWriter) put(p []byte) {
	w.f.synced = min(w.f.synced, w.at)
	n := copy(w.f.data[w.at:], p)
	w.f.data = append(w.f.data, p[n:]...)
	w.at += len(p)
}

func (w *memWriter) Allocate(size int64) error {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	if w.m.step(1) < 1 {
		return errCut
	}
	if w.m.full {
		return errRoom
	}
	if n := int(size) - len(w.f.data); n > 0 {
		w.f.data = append(w.f.data, make([]byte, n)...)
	}
	return nil
}

func (w *memWriter) Truncate(size int64) error {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	if w.m.step(1) < 1 {
		return errCut
	}
	w.f.data = w.f.data[:size]
	w.f.synced = min(w.f.synced, len(w.f.data))
	return nil
}

func (m *memFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.step(1) < 1 {
		return nil, errCut
	}
	if m.full {
		return nil, errRoom
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
	if m.step(1) < 1 {
		return nil, errCut
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
		w.put(p[:half])
		return half, errRoom
	}
	n := w.m.step(len(p))
	w.put(p[:n])
	if n < len(p) {
		return n, errCut
	}
	return n, nil
}

func (w *memWriter) Sync() error {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	if w.m.step(1) < 1 {
		return errCut
	}
	if w.m.noSync {
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
	if m.step(1) < 1 {
		return errCut
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
	if m.step(1) < 1 {
		return errCut
	}
	if m.noSync {
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

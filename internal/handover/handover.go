// Package handover keeps the state that two processes of one sidecar share while one takes over
// from the other: which processes are alive, and what operators have requested. The state is
// stored in a directory that both processes are given. Each process holds a file lock, which the
// kernel releases when the process ends, so that a process never counts as alive after it has
// ended, however it ends.
package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"quillfront/exclusion"
)

const (
	// pollInterval is how often Follow checks the directory for changes.
	pollInterval = 100 * time.Millisecond
	// maxFileSize limits the files that are read, in bytes.
	maxFileSize = 4 << 20

	stateFile   = "state.json"
	lockFile    = "lock"
	learnedFile = "learned.json"
	liveSuffix  = ".live"
	newSuffix   = ".new" // of a file that does not have its final name yet
)

// State holds what operators have requested. It outlives a single process of the sidecar.
type State struct {
	Exclusions exclusion.State `json:"absences"`
	Evacuated  bool            `json:"evacuated,omitempty"`
}

// Clone returns a deep copy of s.
func (s State) Clone() State {
	s.Exclusions = s.Exclusions.Clone()
	return s
}

func (s State) equal(t State) bool {
	return s.Evacuated == t.Evacuated && s.Exclusions.Equal(&t.Exclusions)
}

// Dir is one process's handle on the shared directory. Its methods are safe for concurrent use.
type Dir struct {
	path     string
	liveFile *os.File // locked for as long as this process runs
	name     string

	mu         sync.Mutex
	cached     State           // as last read or written
	liveOwners map[uint64]bool // owner numbers of the other processes that CountOthers found last
}

// Open registers this process in the directory at path, creating the directory if necessary. The
// directory must be on a local file system and belong to the user of the process; Open returns an
// error if other users may write to it.
func Open(path string) (*Dir, error) {
	if err := os.Mkdir(path, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	info, err := os.Lstat(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if st, ok := info.Sys().(*syscall.Stat_t); !info.IsDir() || info.Mode().Perm()&0o022 != 0 || ok && int(st.Uid) != os.Getuid() {
		return nil, fmt.Errorf("handover: %s is not a directory that only this user may write to", path)
	}
	d := &Dir{path: path}
	unlock, err := d.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	d.chooseName(time.Now())
	if d.liveFile, err = createLocked(filepath.Join(path, d.name)); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if d.cached, err = d.readState(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// chooseName sets the name of this process's liveness file. The names sort by the time at which their
// processes started, and no two of them have the same owner number.
func (d *Dir) chooseName(start time.Time) {
	for offset := range int64(1) << slotOwnerBits {
		d.name = fmt.Sprintf("%020d-%d%s", start.UnixNano()+offset, os.Getpid(), liveSuffix)
		if !d.ownerTaken(ownerNumber(d.name)) {
			return
		}
	}
}

// createLocked creates the named file, which nobody ever sees without a lock: other processes take an
// unlocked liveness file for that of a process that has died, and remove it.
func createLocked(name string) (*os.File, error) {
	unnamed := name + newSuffix
	f, err := openLocked(unnamed, syscall.LOCK_EX)
	if err != nil {
		return nil, err
	}
	if err := os.Rename(unnamed, name); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// openLocked opens the named file, creating it if necessary, and locks it.
func openLocked(name string, how int) (*os.File, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		err = syscall.Flock(int(f.Fd()), how)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// lock keeps other processes from changing the directory until unlock is called. It is held only
// for a few system calls.
func (d *Dir) lock() (unlock func(), err error) {
	f, err := openLocked(filepath.Join(d.path, lockFile), syscall.LOCK_EX)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return func() { f.Close() }, nil
}

// Close removes this process from the directory.
func (d *Dir) Close() {
	os.Remove(filepath.Join(d.path, d.name))
	if d.liveFile != nil {
		d.liveFile.Close()
	}
}

// State returns the state as this process last read or wrote it, without accessing the file.
func (d *Dir) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cached.Clone()
}

// Update applies f to the state, atomically for all processes. If f returns an error, Update
// returns it and leaves the state unchanged.
func (d *Dir) Update(f func(*State) error) (State, error) {
	unlock, err := d.lock()
	if err != nil {
		return State{}, err
	}
	defer unlock()
	s, err := d.readState()
	if err != nil {
		return State{}, err
	}
	before := s.Clone()
	if err := f(&s); err != nil {
		return State{}, err
	}
	if !s.equal(before) {
		if err := d.writeState(s); err != nil {
			return State{}, err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cached = s.Clone()
	return s, nil
}

// readState reads the state file. A file that does not exist is the zero State.
func (d *Dir) readState() (State, error) {
	var s State
	f, err := os.Open(filepath.Join(d.path, stateFile))
	if errors.Is(err, fs.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return s, fmt.Errorf("handover: %w", err)
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil || info.Size() > maxFileSize {
		return s, fmt.Errorf("handover: %s is too large, or cannot be read: %w", f.Name(), err)
	}
	if err := json.NewDecoder(f).Decode(&s); err != nil {
		return State{}, fmt.Errorf("handover: %s: %w", f.Name(), err)
	}
	return s, nil
}

// refresh reads the state and caches it. It holds the lock, so that it never replaces the state
// that Update has cached by an older one.
func (d *Dir) refresh() (State, error) {
	unlock, err := d.lock()
	if err != nil {
		return State{}, err
	}
	defer unlock()
	s, err := d.readState()
	if err == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.cached = s.Clone()
	}
	return s, err
}

// writeState replaces the state file atomically: if the process dies during the write, the
// previous file remains.
func (d *Dir) writeState(s State) error {
	text, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return d.replaceFile(stateFile, text)
}

// replaceFile writes text to a temporary file and renames it to name.
func (d *Dir) replaceFile(name string, text []byte) error {
	path := filepath.Join(d.path, name)
	tmp := fmt.Sprintf("%s.%d%s", path, os.Getpid(), newSuffix)
	if err := os.WriteFile(tmp, text, 0o600); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := os.Rename(tmp, path); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// SaveLearned saves what this process has learned, for a process that takes over. It replaces what
// was saved before.
func (d *Dir) SaveLearned(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return d.replaceFile(learnedFile, text)
}

// LoadLearned decodes into v what a process has saved within the last age, and reports whether it
// found any.
func (d *Dir) LoadLearned(v any, age time.Duration) bool {
	name := filepath.Join(d.path, learnedFile)
	info, err := os.Stat(name)
	if err != nil || time.Since(info.ModTime()).Abs() > age || info.Size() > maxFileSize {
		return false
	}
	text, err := os.ReadFile(name)
	return err == nil && json.Unmarshal(text, v) == nil
}

// ProcessCounts counts the other live processes of the sidecar, by whether they started before or
// after this one.
type ProcessCounts struct{ Older, Newer int }

// CountOthers counts the other live processes, and removes the files of those that have died.
func (d *Dir) CountOthers() (ProcessCounts, error) {
	var o ProcessCounts
	names, err := d.liveNames()
	if err != nil {
		return o, fmt.Errorf("handover: %w", err)
	}
	live := map[uint64]bool{}
	for _, name := range names {
		if name == d.name || !d.processAlive(name) {
			continue
		}
		live[ownerNumber(name)] = true
		if name < d.name {
			o.Older++
		} else {
			o.Newer++
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.liveOwners = live
	return o, nil
}

// Follow calls state and others with the current values, and again whenever any process changes
// them, until ctx ends. It calls state for the first time once there is a state file. The
// functions are never called concurrently.
func (d *Dir) Follow(ctx context.Context, state func(State), others func(ProcessCounts)) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	var seen os.FileInfo
	var last ProcessCounts
	for first := true; ; first = false {
		if info, err := os.Stat(filepath.Join(d.path, stateFile)); err == nil && (seen == nil || !os.SameFile(seen, info) || !info.ModTime().Equal(seen.ModTime())) {
			if s, err := d.refresh(); err == nil {
				seen = info
				state(s)
			}
		}
		if o, err := d.CountOthers(); err == nil && (first || o != last) {
			last = o
			others(o)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

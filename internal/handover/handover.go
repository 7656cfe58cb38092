// Package handover is what two processes of one sidecar share while one takes over from the other: who of them lives, and
// what operators have asked for. It lies in a directory that both were given. A lock that the kernel lets go when its holder
// dies tells who lives, so that no process counts for longer than it runs, however it ends.
package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"quillfront/exclusion"
)

const (
	// poll is how often a Dir looks for what the other process has changed.
	poll = 100 * time.Millisecond
	// mostState bounds the file of the state, in bytes.
	mostState = 4 << 20

	stateName  = "state.json"
	lockName   = "lock"
	noteName   = "learned.json"
	liveSuffix = ".live"
)

// State is what operators have asked for, and what outlasts a process of the sidecar.
type State struct {
	Exclusions exclusion.State `json:"absences"`
	Evacuated  bool            `json:"evacuated,omitempty"`
}

// Clone returns a copy that shares nothing with s.
func (s State) Clone() State {
	s.Exclusions = s.Exclusions.Clone()
	return s
}

func (s State) equal(t State) bool {
	return s.Evacuated == t.Evacuated && s.Exclusions.Equal(&t.Exclusions)
}

// Dir is one process's part in the shared directory. Its methods may be called from many goroutines at once.
type Dir struct {
	path string
	live *os.File // locked while this process lives
	name string

	mu   sync.Mutex
	last State // as it was last read or written
}

// Open takes part in the directory at path, which it makes if need be. It must be on a local file system and the
// process's own: an error says so if others may write to it.
func Open(path string) (*Dir, error) {
	if err := os.Mkdir(path, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	info, err := os.Lstat(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if st, ok := info.Sys().(*syscall.Stat_t); !info.IsDir() || info.Mode().Perm()&0o022 != 0 || ok && int(st.Uid) != os.Getuid() {
		return nil, fmt.Errorf("handover: %s is no directory that only this user may write to", path)
	}
	// The names of the living sort by when they came.
	d := &Dir{path: path, name: fmt.Sprintf("%020d-%d%s", time.Now().UnixNano(), os.Getpid(), liveSuffix)}
	unlock, err := d.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	if d.live, err = locked(filepath.Join(path, d.name), syscall.LOCK_EX); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if d.last, err = d.read(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// locked opens the file of that name and locks it.
func locked(name string, how int) (*os.File, error) {
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

// lock keeps other processes from changing the directory until unlock. Its holders do only a few calls.
func (d *Dir) lock() (unlock func(), err error) {
	f, err := locked(filepath.Join(d.path, lockName), syscall.LOCK_EX)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return func() { f.Close() }, nil
}

// Close takes no further part.
func (d *Dir) Close() {
	os.Remove(filepath.Join(d.path, d.name))
	if d.live != nil {
		d.live.Close()
	}
}

// State returns the state as it was last read or written.
func (d *Dir) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last.Clone()
}

// Update changes the state by f, as one step for all processes. With an error of f's, which it returns, nothing is changed.
func (d *Dir) Update(f func(*State) error) (State, error) {
	unlock, err := d.lock()
	if err != nil {
		return State{}, err
	}
	defer unlock()
	s, err := d.read()
	if err != nil {
		return State{}, err
	}
	before := s.Clone()
	if err := f(&s); err != nil {
		return State{}, err
	}
	if !s.equal(before) {
		if err := d.write(s); err != nil {
			return State{}, err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last = s.Clone()
	return s, nil
}

func (d *Dir) read() (State, error) {
	var s State
	f, err := os.Open(filepath.Join(d.path, stateName))
	if errors.Is(err, fs.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return s, fmt.Errorf("handover: %w", err)
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil || info.Size() > mostState {
		return s, fmt.Errorf("handover: %s is too large, or cannot be read: %w", f.Name(), err)
	}
	if err := json.NewDecoder(f).Decode(&s); err != nil {
		return State{}, fmt.Errorf("handover: %s: %w", f.Name(), err)
	}
	return s, nil
}

// refresh reads the state. It holds the lock, so that what it notes is never older than what Update has noted.
func (d *Dir) refresh() (State, error) {
	unlock, err := d.lock()
	if err != nil {
		return State{}, err
	}
	defer unlock()
	s, err := d.read()
	if err == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.last = s.Clone()
	}
	return s, err
}

// write replaces the file whole: a process that dies on the way leaves the one before.
func (d *Dir) write(s State) error {
	text, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return d.replace(stateName, text)
}

func (d *Dir) replace(name string, text []byte) error {
	path := filepath.Join(d.path, name)
	fresh := fmt.Sprintf("%s.%d.new", path, os.Getpid())
	if err := os.WriteFile(fresh, text, 0o600); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := os.Rename(fresh, path); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// SaveLearned leaves what may help a process that takes over. It is replaced whole.
func (d *Dir) SaveLearned(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return d.replace(noteName, text)
}

// LoadLearned reads into v what another process has left within the last age, and reports whether there was such.
func (d *Dir) LoadLearned(v any, age time.Duration) bool {
	name := filepath.Join(d.path, noteName)
	info, err := os.Stat(name)
	if err != nil || time.Since(info.ModTime()).Abs() > age || info.Size() > mostState {
		return false
	}
	text, err := os.ReadFile(name)
	return err == nil && json.Unmarshal(text, v) == nil
}

// ProcessCounts counts the other processes that live.
type ProcessCounts struct{ Older, Newer int }

// CountOthers returns who else lives, and forgets those that have died.
func (d *Dir) CountOthers() (ProcessCounts, error) {
	var o ProcessCounts
	names, err := os.ReadDir(d.path)
	if err != nil {
		return o, fmt.Errorf("handover: %w", err)
	}
	for _, n := range names {
		if !strings.HasSuffix(n.Name(), liveSuffix) || n.Name() == d.name {
			continue
		}
		path := filepath.Join(d.path, n.Name())
		f, err := os.OpenFile(path, os.O_RDWR, 0)
		if err != nil {
			continue // it has just ended in order
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			os.Remove(path) // nobody holds it: its process has died
		} else if n.Name() < d.name {
			o.Older++
		} else {
			o.Newer++
		}
		f.Close()
	}
	return o, nil
}

// Follow tells of each change of the state and of who lives, by whichever process, until ctx ends. It first tells how both
// are. The functions are called one at a time.
func (d *Dir) Follow(ctx context.Context, state func(State), others func(ProcessCounts)) {
	tick := time.NewTicker(poll)
	defer tick.Stop()
	var seen os.FileInfo
	var with ProcessCounts
	for first := true; ; first = false {
		if info, err := os.Stat(filepath.Join(d.path, stateName)); err == nil && (seen == nil || !os.SameFile(seen, info) || !info.ModTime().Equal(seen.ModTime())) {
			if s, err := d.refresh(); err == nil {
				seen = info
				state(s)
			}
		}
		if o, err := d.CountOthers(); err == nil && (first || o != with) {
			with = o
			others(o)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

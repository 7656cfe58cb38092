package handover

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"quillfront/exclusion"
	"quillfront/policy"
)

func open(t *testing.T, path string) *Dir {
	t.Helper()
	d, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func anyServer(id policy.ServerID) (exclusion.Entry, bool) { return exclusion.Entry{ID: id}, true }

// TestUpdate: changes by two processes at once are both kept, and each follows the other.
func TestUpdate(t *testing.T) {
	path := filepath.Join(t.TempDir(), "shared")
	older := open(t, path)
	newer := open(t, path)
	const each = 50
	var work sync.WaitGroup
	for i, d := range []*Dir{older, newer} {
		work.Go(func() {
			for n := range each {
				if _, err := d.Update(func(s *State) error {
					return s.Exclusions.Exclude(policy.ServerID(fmt.Sprintf("%d-%d", i, n)), anyServer, 1)
				}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	work.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	followed := make(chan State, 100)
	work.Go(func() { older.Follow(ctx, func(s State) { followed <- s }, func(ProcessCounts) {}) })
	if s := <-followed; len(s.Exclusions.Excluded) != 2*each {
		t.Errorf("%d of %d changes are kept", len(s.Exclusions.Excluded), 2*each)
	}
	wrong := errors.New("no")
	if _, err := newer.Update(func(s *State) error { s.Evacuated = true; return wrong }); !errors.Is(err, wrong) || newer.State().Evacuated {
		t.Errorf("a change that failed: %v", err)
	}
	if _, err := newer.Update(func(s *State) error { s.Evacuated = true; return nil }); err != nil {
		t.Fatal(err)
	}
	if s := <-followed; !s.Evacuated || !older.State().Evacuated {
		t.Error("the other process does not follow")
	}
	cancel()
	work.Wait()
}

// TestOthers: who lives is told apart by age, and one that dies without a word counts no longer.
func TestOthers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "shared")
	is := func(d *Dir, want ProcessCounts) {
		t.Helper()
		if o, err := d.CountOthers(); err != nil || o != want {
			t.Errorf("others are %+v, %v; want %+v", o, err, want)
		}
	}
	older := open(t, path)
	is(older, ProcessCounts{})
	newer := open(t, path)
	is(older, ProcessCounts{Newer: 1})
	is(newer, ProcessCounts{Older: 1})
	older.live.Close() // what the kernel does for a process that is killed
	is(newer, ProcessCounts{})
	if names, _ := filepath.Glob(filepath.Join(path, "*"+liveSuffix)); len(names) != 1 {
		t.Errorf("%v are left", names)
	}
	newer.Close()
	if again := open(t, path); true {
		is(again, ProcessCounts{})
	}
}

// TestBadDirectory: a state that cannot be read, and a directory that others may write to, are errors that name them.
func TestBadDirectory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "shared")
	d := open(t, path)
	if err := os.WriteFile(filepath.Join(path, stateName), []byte(`{"absen`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := d.Update(func(*State) error { return nil }); err == nil {
		t.Error("half a state is taken")
	}
	if _, err := Open(path); err == nil {
		t.Error("half a state is taken at the start")
	}
	if err := os.Chmod(path, 0o777); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); err == nil {
		t.Error("a directory of everybody's is taken")
	}
	if _, err := Open(filepath.Join(path, stateName)); err == nil {
		t.Error("a file is taken for a directory")
	}
}

// TestNote: what one process leaves another finds, unless it is old or cut.
func TestNote(t *testing.T) {
	path := filepath.Join(t.TempDir(), "shared")
	older, newer := open(t, path), open(t, path)
	var got []int
	if newer.LoadLearned(&got, time.Hour) {
		t.Error("there is something at the start")
	}
	if err := older.SaveLearned([]int{1, 2}); err != nil {
		t.Fatal(err)
	}
	if !newer.LoadLearned(&got, time.Hour) || len(got) != 2 {
		t.Errorf("%v", got)
	}
	long := time.Now().Add(-time.Hour)
	if err := os.Chtimes(filepath.Join(path, noteName), long, long); err != nil {
		t.Fatal(err)
	}
	if newer.LoadLearned(&got, time.Minute) {
		t.Error("what is old is taken")
	}
	if err := os.WriteFile(filepath.Join(path, noteName), []byte("[1,"), 0o600); err != nil {
		t.Fatal(err)
	}
	if newer.LoadLearned(&got, time.Hour) {
		t.Error("half of it is taken")
	}
}

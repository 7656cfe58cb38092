package handover

import (
	"hash/fnv"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// ownerNumber returns the number by which the table of request IDs knows a process, from the name of
// its liveness file. It is never 0.
func ownerNumber(liveName string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(liveName))
	return 1 + h.Sum64()%lowBits(slotOwnerBits)
}

// liveNames returns the names of the liveness files. The processes of some may have died.
func (d *Dir) liveNames() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), liveSuffix) {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// processAlive reports whether the process of a liveness file runs. If not, it removes the file.
func (d *Dir) processAlive(liveName string) bool {
	path := filepath.Join(d.path, liveName)
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return false // its process has just ended and removed it
	}
	defer f.Close()
	if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		return true
	}
	os.Remove(path) // the lock is free: its process has died
	return false
}

// ownerAlive reports whether a process with an owner number runs. It counts as running for a while after
// CountOthers, which Follow calls at each pollInterval, has found it, so that requests do not look at files.
// If it cannot be found out, it counts as running.
func (d *Dir) ownerAlive(owner uint64) bool {
	d.mu.Lock()
	known := d.liveOwners[owner]
	d.mu.Unlock()
	if known {
		return true
	}
	names, err := d.liveNamesOf(owner)
	if err != nil {
		return true
	}
	return slices.ContainsFunc(names, func(name string) bool { return name == d.name || d.processAlive(name) })
}

// ownerTaken reports whether another process has, or had when it died, an owner number.
func (d *Dir) ownerTaken(owner uint64) bool {
	names, err := d.liveNamesOf(owner)
	return err == nil && len(names) > 0
}

// liveNamesOf returns the names of the liveness files that have an owner number.
func (d *Dir) liveNamesOf(owner uint64) ([]string, error) {
	names, err := d.liveNames()
	return slices.DeleteFunc(names, func(name string) bool { return ownerNumber(name) != owner }), err
}

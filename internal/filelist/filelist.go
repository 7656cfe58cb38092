// Package filelist reads lists of servers that operators write: in a file that is watched, or as they stand in a configuration.
package filelist

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"quillfront/internal/engine"
	"quillfront/policy"
)

const (
	// MaxServers bounds a list.
	MaxServers = 10_000
	// MaxFileBytes bounds a file, in bytes.
	MaxFileBytes = 8 << 20
	// usualEvery is how often a file is looked at, leastEvery how often it may be.
	usualEvery = 500 * time.Millisecond
	leastEvery = 10 * time.Millisecond
)

// Server is an entry of a list.
type Server struct {
	ID      string // empty: the address
	Addr    string // host:port
	Drain   bool   // it finishes what it has, and gets nothing new
	Zone    string
	Cell    int
	Started time.Time // zero: long ago
}

// NewList checks a whole list. An error names the entry.
func NewList(servers []Server) (engine.List, error) {
	l := engine.List{Seq: engine.UnknownSeq, Full: true, Servers: make([]engine.Server, len(servers))}
	if len(servers) > MaxServers {
		return l, fmt.Errorf("servers: %d of them, at most %d", len(servers), MaxServers)
	}
	seen := make(map[string]bool, len(servers))
	for i, s := range servers {
		s.ID = cmp.Or(s.ID, s.Addr)
		_, port, err := net.SplitHostPort(s.Addr)
		if n, perr := strconv.ParseUint(port, 10, 16); err != nil || perr != nil || n == 0 {
			return l, fmt.Errorf("servers: %q is no host:port", s.Addr)
		}
		if seen[s.ID] {
			return l, fmt.Errorf("servers: %q is there twice", s.ID)
		}
		seen[s.ID] = true
		e := engine.Server{ID: policy.ServerID(s.ID), Addr: s.Addr, Zone: s.Zone, Cell: s.Cell, Weight: 1}
		if s.Drain {
			e.State = policy.Draining
		}
		if !s.Started.IsZero() {
			e.StartedMs = s.Started.UnixMilli()
		}
		l.Servers[i] = e
	}
	return l, nil
}

// Source implements engine.Source over a file that is watched: TOML with [[servers]] tables, or JSON with an array "servers" where its
// name ends in .json, of id, addr, state ("ready" or "draining"), zone, cell and started (RFC 3339). A file that is gone, torn, empty, too
// long or wrong in any entry changes nothing.
type Source struct {
	Path         string
	PollInterval time.Duration // between two looks; 0: 500 ms
	AllowEmpty   bool          // an empty list is one
	Log          *slog.Logger  // tells what is wrong with the file, once for each writing of it
}

// Check returns what is wrong with s, or nil. It does not look at the file.
func (s Source) Check() error {
	if s.Path == "" {
		return errors.New("a file without a path")
	}
	if s.PollInterval != 0 && s.PollInterval < leastEvery {
		return fmt.Errorf("%s is looked at every %v, at least %v", s.Path, s.PollInterval, leastEvery)
	}
	return nil
}

// Watch is the method of engine.Source. It ends with ctx only.
func (s Source) Watch(ctx context.Context, _ int64, tell func(engine.List)) error {
	w := watch{path: s.Path, none: s.AllowEmpty}
	tick := time.NewTicker(cmp.Or(s.PollInterval, usualEvery))
	defer tick.Stop()
	for {
		if err := w.look(tell); err != nil {
			s.Log.Error("the list's file cannot be used, the list before stays", "path", s.Path, "err", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// watch is what is known of a file.
type watch struct {
	path string
	none bool // it may list no server

	seen   stamp // at the latest look
	taken  stamp // of what was last judged, for good or bad
	inside []byte
	gone   bool
}

// stamp tells one writing of a file from another.
type stamp struct {
	size  int64
	mtime time.Time
	id    any // which file it is; by os.SameFile
}

func (s stamp) same(t stamp) bool {
	a, ok := s.id.(fs.FileInfo)
	b, ok2 := t.id.(fs.FileInfo)
	return ok && ok2 && s.size == t.size && s.mtime.Equal(t.mtime) && os.SameFile(a, b)
}

// look reads the file if it is another than the one judged last, and has not changed since the look before. It returns each
// mistake once.
func (w *watch) look(tell func(engine.List)) error {
	info, err := os.Stat(w.path)
	if err != nil {
		first := !w.gone
		w.gone, w.seen = true, stamp{}
		if first {
			return err
		}
		return nil
	}
	w.gone = false
	now := stamp{info.Size(), info.ModTime(), info}
	settled := now.same(w.seen)
	first := w.seen.id == nil && w.taken.id == nil // at the start nobody waits longer than need be
	w.seen = now
	if now.same(w.taken) || !settled && !first {
		return nil
	}
	if info.Size() > MaxFileBytes {
		w.taken = now
		return fmt.Errorf("it has %d bytes, at most %d", info.Size(), MaxFileBytes)
	}
	text, err := os.ReadFile(w.path)
	if err != nil {
		return err
	}
	if int64(len(text)) != info.Size() { // it is being written: the next look will see it
		return nil
	}
	w.taken = now
	if bytes.Equal(text, w.inside) {
		return nil
	}
	servers, err := parse(w.path, text)
	if err != nil {
		return err
	}
	if len(servers) == 0 && !w.none {
		return errors.New("it lists no server")
	}
	l, err := NewList(servers)
	if err != nil {
		return err
	}
	tell(l)
	w.inside = text
	return nil
}

// entry is an entry as it stands in a file.
type entry struct {
	ID      string    `toml:"id" json:"id"`
	Addr    string    `toml:"addr" json:"addr"`
	State   string    `toml:"state" json:"state"`
	Zone    string    `toml:"zone" json:"zone"`
	Cell    int       `toml:"cell" json:"cell"`
	Started time.Time `toml:"started" json:"started"`
}

// parse reads the text of a list, strictly.
func parse(path string, text []byte) ([]Server, error) {
	var file struct {
		Servers []entry `toml:"servers" json:"servers"`
	}
	if strings.EqualFold(filepath.Ext(path), ".json") {
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		if err := d.Decode(&file); err != nil {
			return nil, err
		}
		if d.More() {
			return nil, errors.New("something stands behind the list")
		}
	} else {
		meta, err := toml.Decode(string(text), &file)
		if err != nil {
			return nil, err
		}
		if unknown := meta.Undecoded(); len(unknown) > 0 {
			return nil, fmt.Errorf("unknown key %s", unknown[0])
		}
	}
	draining := map[string]bool{"": false, "ready": false, "draining": true}
	servers := make([]Server, len(file.Servers))
	for i, s := range file.Servers {
		drain, known := draining[s.State]
		if !known {
			return nil, fmt.Errorf("servers[%d].state: %q is neither ready nor draining", i, s.State)
		}
		servers[i] = Server{ID: s.ID, Addr: s.Addr, Drain: drain, Zone: s.Zone, Cell: s.Cell, Started: s.Started}
	}
	return servers, nil
}

// Package filelist builds server lists that an operator writes, either in a configuration or in a
// file of its own that is polled for changes.
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
	// MaxServers is the maximum number of servers in a list.
	MaxServers = 10_000
	// MaxFileBytes is the maximum size of a list file.
	MaxFileBytes = 8 << 20
	// defaultPollInterval and minPollInterval are the default and the shortest time between two
	// checks of a file.
	defaultPollInterval = 500 * time.Millisecond
	minPollInterval     = 10 * time.Millisecond
)

// Server is one entry of a server list.
type Server struct {
	ID      string // defaults to Addr
	Addr    string // host:port
	Drain   bool   // it finishes its requests and gets no new ones
	Zone    string
	Cell    int
	Started time.Time // zero: it has been running for a long time
}

// NewList validates servers and returns them as a full list. An error names the invalid entry.
func NewList(servers []Server) (engine.List, error) {
	list := engine.List{Seq: engine.UnknownSeq, Full: true, Servers: make([]engine.Server, len(servers))}
	if len(servers) > MaxServers {
		return list, fmt.Errorf("servers: %d of them, at most %d", len(servers), MaxServers)
	}
	seen := make(map[string]bool, len(servers))
	for i, s := range servers {
		s.ID = cmp.Or(s.ID, s.Addr)
		_, port, err := net.SplitHostPort(s.Addr)
		if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || n == 0 {
			return list, fmt.Errorf("servers: %q is no host:port", s.Addr)
		}
		if seen[s.ID] {
			return list, fmt.Errorf("servers: %q is there twice", s.ID)
		}
		seen[s.ID] = true
		entry := engine.Server{ID: policy.ServerID(s.ID), Addr: s.Addr, Zone: s.Zone, Cell: s.Cell, Weight: 1}
		if s.Drain {
			entry.State = policy.Draining
		}
		if !s.Started.IsZero() {
			entry.StartedMs = s.Started.UnixMilli()
		}
		list.Servers[i] = entry
	}
	return list, nil
}

// Source implements engine.Source by polling a file. The file is TOML with [[servers]] tables or,
// if its name ends in .json, JSON with an array "servers". An entry has id, addr, state ("ready"
// or "draining"), zone, cell and started (RFC 3339). The last valid list stays in use while the
// file is missing, partly written, empty, too large or invalid in any entry.
type Source struct {
	Path         string
	PollInterval time.Duration // 0: 500 ms; otherwise at least 10 ms
	AllowEmpty   bool          // accept a file without servers as a valid list
	Log          *slog.Logger  // gets one error for each invalid version of the file
}

// Check validates the settings of s. It does not read the file.
func (s Source) Check() error {
	if s.Path == "" {
		return errors.New("server list file: no path")
	}
	if s.PollInterval != 0 && s.PollInterval < minPollInterval {
		return fmt.Errorf("server list file %s: poll interval %v is below %v", s.Path, s.PollInterval, minPollInterval)
	}
	return nil
}

// Watch implements engine.Source. It returns only when ctx ends.
func (s Source) Watch(ctx context.Context, _ int64, report func(engine.List)) error {
	w := watcher{path: s.Path, allowEmpty: s.AllowEmpty}
	tick := time.NewTicker(cmp.Or(s.PollInterval, defaultPollInterval))
	defer tick.Stop()
	for {
		if err := w.poll(report); err != nil {
			s.Log.Error("server list file is unusable, keeping the previous list", "path", s.Path, "err", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// watcher is the state of polling one file.
type watcher struct {
	path       string
	allowEmpty bool

	seen     version // as of the latest poll
	examined version // the latest one that was read or rejected for its size
	content  []byte  // of the list in use
	missing  bool
}

// version distinguishes one version of a file from another.
type version struct {
	size  int64
	mtime time.Time
	id    any // an fs.FileInfo, compared by os.SameFile; nil: no file
}

func (v version) equal(o version) bool {
	a, ok := v.id.(fs.FileInfo)
	b, ok2 := o.id.(fs.FileInfo)
	return ok && ok2 && v.size == o.size && v.mtime.Equal(o.mtime) && os.SameFile(a, b)
}

// poll reads the file if it differs from the version examined last and has not changed since the
// previous poll, which keeps it from reading a file that is still being written. It returns the
// error of each invalid version once.
func (w *watcher) poll(report func(engine.List)) error {
	info, err := os.Stat(w.path)
	if err != nil {
		first := !w.missing
		w.missing, w.seen = true, version{}
		if first {
			return err
		}
		return nil
	}
	w.missing = false
	now := version{info.Size(), info.ModTime(), info}
	settled := now.equal(w.seen)
	first := w.seen.id == nil && w.examined.id == nil // do not delay the initial list by a poll
	w.seen = now
	if now.equal(w.examined) || !settled && !first {
		return nil
	}
	if info.Size() > MaxFileBytes {
		w.examined = now
		return fmt.Errorf("file has %d bytes, more than %d", info.Size(), MaxFileBytes)
	}
	text, err := os.ReadFile(w.path)
	if err != nil {
		return err
	}
	if int64(len(text)) != info.Size() { // it is being written: the next poll sees the change
		return nil
	}
	w.examined = now
	if bytes.Equal(text, w.content) {
		return nil
	}
	servers, err := parse(w.path, text)
	if err != nil {
		return err
	}
	if len(servers) == 0 && !w.allowEmpty {
		return errors.New("file lists no servers")
	}
	list, err := NewList(servers)
	if err != nil {
		return err
	}
	report(list)
	w.content = text
	return nil
}

// fileEntry is the file representation of a Server.
type fileEntry struct {
	ID      string    `toml:"id" json:"id"`
	Addr    string    `toml:"addr" json:"addr"`
	State   string    `toml:"state" json:"state"`
	Zone    string    `toml:"zone" json:"zone"`
	Cell    int       `toml:"cell" json:"cell"`
	Started time.Time `toml:"started" json:"started"`
}

// parse decodes the text of a list file, as JSON or TOML by the extension of path. It rejects
// unknown keys.
func parse(path string, text []byte) ([]Server, error) {
	var file struct {
		Servers []fileEntry `toml:"servers" json:"servers"`
	}
	if strings.EqualFold(filepath.Ext(path), ".json") {
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		if err := d.Decode(&file); err != nil {
			return nil, err
		}
		if d.More() {
			return nil, errors.New("unexpected data after the list")
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
	drainByState := map[string]bool{"": false, "ready": false, "draining": true}
	servers := make([]Server, len(file.Servers))
	for i, s := range file.Servers {
		drain, known := drainByState[s.State]
		if !known {
			return nil, fmt.Errorf("servers[%d].state: %q is neither ready nor draining", i, s.State)
		}
		servers[i] = Server{ID: s.ID, Addr: s.Addr, Drain: drain, Zone: s.Zone, Cell: s.Cell, Started: s.Started}
	}
	return servers, nil
}

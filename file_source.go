package quillfront

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

const (
	// fileEvery is how often the file of a list is looked at.
	fileEvery = 500 * time.Millisecond
	// mostFile bounds it, in bytes.
	mostFile = 8 << 20
)

// FileOptions says how the file of a list is read. Zero values take the defaults.
type FileOptions struct {
	Every     time.Duration // between two looks at the file; 500 ms, at least 10 ms
	MayBeNone bool          // an empty list empties the fleet; otherwise it counts as a mistake, and the list before stays
	Log       *slog.Logger  // tells what is wrong with the file, once for each writing of it; nil: nothing
}

// File takes the list from a file that is watched: TOML with [[servers]] tables, or JSON with an array "servers" where its name
// ends in .json, of id, addr, state ("ready" or "draining"), zone, cell and started (RFC 3339). Replace it by renaming another one to its
// name; one that is written in place is read once it has stopped changing between two looks. A file that is gone, torn,
// empty, too long or wrong in any entry changes nothing: the list that was good stays, however long.
func File(path string, o FileOptions) Source {
	if o.Every == 0 {
		o.Every = fileEvery
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return Func(func(ctx context.Context, update func([]Server) error) error {
		if o.Every < 10*time.Millisecond {
			return wrong("Servers", "looks at %s every %v, at least 10ms", path, o.Every)
		}
		w := fileWatch{path: path, o: o}
		tick := time.NewTicker(o.Every)
		defer tick.Stop()
		for {
			if err := w.look(update); err != nil {
				o.Log.Error("the list's file cannot be used, the list before stays", "path", path, "err", err)
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-tick.C:
			}
		}
	})
}

// fileWatch is what is known of a file.
type fileWatch struct {
	path string
	o    FileOptions

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
func (w *fileWatch) look(update func([]Server) error) error {
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
	if info.Size() > mostFile {
		w.taken = now
		return fmt.Errorf("it has %d bytes, at most %d", info.Size(), mostFile)
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
	servers, err := parseServers(w.path, text)
	if err != nil {
		return err
	}
	if len(servers) == 0 && !w.o.MayBeNone {
		return errors.New("it lists no server")
	}
	if err := update(servers); err != nil {
		return err
	}
	w.inside = text
	return nil
}

// fileServer is an entry as it stands in a file.
type fileServer struct {
	ID      string    `toml:"id" json:"id"`
	Addr    string    `toml:"addr" json:"addr"`
	State   string    `toml:"state" json:"state"`
	Zone    string    `toml:"zone" json:"zone"`
	Cell    int       `toml:"cell" json:"cell"`
	Started time.Time `toml:"started" json:"started"`
}

// parseServers reads the text of a list, strictly.
func parseServers(path string, text []byte) ([]Server, error) {
	var file struct {
		Servers []fileServer `toml:"servers" json:"servers"`
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
	states := map[string]State{"": Ready, "ready": Ready, "draining": Draining}
	servers := make([]Server, len(file.Servers))
	for i, s := range file.Servers {
		state, known := states[s.State]
		if !known {
			return nil, fmt.Errorf("servers[%d].state: %q is neither ready nor draining", i, s.State)
		}
		servers[i] = Server{ID: s.ID, Addr: s.Addr, State: state, Zone: s.Zone, Cell: s.Cell, Started: s.Started}
	}
	return servers, nil
}

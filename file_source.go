package quillfront

import (
	"log/slog"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/filelist"
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
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return file{filelist.Source{Path: path, PollInterval: o.Every, AllowEmpty: o.MayBeNone, Log: o.Log}}
}

type file struct{ filelist.Source }

func (f file) start() (engine.Source, *engine.List, error) {
	if err := f.Check(); err != nil {
		return nil, nil, wrong("Servers", "%v", err)
	}
	return f.Source, nil, nil
}

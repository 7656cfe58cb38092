package quillfront

import (
	"log/slog"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/filelist"
)

// FileOptions are the options of File. Zero values take the defaults.
type FileOptions struct {
	Every time.Duration // poll interval; default 500 ms, at least 10 ms
	// MayBeNone accepts an empty list, which removes all servers. By default an empty list is an
	// error, and the previous list stays.
	MayBeNone bool
	Log       *slog.Logger // logs an invalid file, once for each version of it; nil disables logging
}

// File returns a Source that watches a file. The file is TOML with [[servers]] tables or, if its
// name ends in .json, JSON with an array "servers". An entry has the keys id, addr, state ("ready"
// or "draining"), zone, cell and started (RFC 3339).
//
// The file should be replaced by renaming a new one to its name. A file that is written in place is
// read once it has not changed between two polls. A file that is missing, incomplete, empty, too
// long or invalid in any entry changes nothing: the last valid list stays, for any length of time.
func File(path string, o FileOptions) Source {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return fileSource{filelist.Source{Path: path, PollInterval: o.Every, AllowEmpty: o.MayBeNone, Log: o.Log}}
}

type fileSource struct{ filelist.Source }

func (f fileSource) prepare() (engine.Source, *engine.List, error) {
	if err := f.Check(); err != nil {
		return nil, nil, fieldErrorf("Servers", "%v", err)
	}
	return f.Source, nil, nil
}

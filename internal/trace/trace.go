// Package trace has the format in which recorded traffic is kept, and makes it from access logs and HAR captures. Secrets are not kept:
// of a request there stay its time, class, method, path, key, tenant, cost and size, and a body where that was asked for.
package trace

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Version is the version of the format that is written. A reader takes it and those before.
const Version = 1

const formatName = "quillfront trace"

// mostLine bounds a line of a trace, in bytes.
const mostLine = 48 << 20

// Header is a trace's first line.
type Header struct {
	Format  string    `json:"format"`
	Version int       `json:"version"`
	Origin  time.Time `json:"origin"` // when the first arrival was
	Notes   []string  `json:"notes,omitempty"`
}

// Entry is one arrival, a line of a trace. Entries are in the order of their times.
type Entry struct {
	At         int64   `json:"at_us"` // from Origin
	Class      string  `json:"class"`
	Method     string  `json:"method"`
	Path       string  `json:"path"`
	Key        string  `json:"key,omitempty"`     // its Idempotency-Key
	Tenant     string  `json:"tenant,omitempty"`  //
	Cost       int64   `json:"cost_us,omitempty"` //
	Size       int64   `json:"size,omitempty"`    // of its body
	Body       []byte  `json:"body,omitempty"`    // in base64
	Client     string  `json:"client,omitempty"`  // a name that tells clients apart and nothing else
	Status     int     `json:"status,omitempty"`  // of the recorded answer; 0: there was none
	RetryOf    int     `json:"of,omitempty"`      // it is a retry of the entry of that number, from 1; -1: of one that is not in this trace
	Rule       string  `json:"rule,omitempty"`    // by which it is held for a retry
	Confidence float64 `json:"sure,omitempty"`    // how sure that is, 0 to 1
}

// Writer writes a trace.
type Writer struct {
	w   io.Writer
	gz  *gzip.Writer
	buf *bufio.Writer
	n   int
	at  int64
}

// NewWriter writes a header to w. Close ends the trace.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	h.Format, h.Version = formatName, Version
	t := &Writer{w: w, gz: gzip.NewWriter(w)}
	t.buf = bufio.NewWriterSize(t.gz, 64<<10)
	return t, t.line(h)
}

func (t *Writer) line(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	t.buf.Write(b)
	return t.buf.WriteByte('\n')
}

// Write writes an entry, which must not be before the one before it, and returns its number.
func (t *Writer) Write(e Entry) (int, error) {
	if e.At < t.at {
		return 0, fmt.Errorf("trace: an entry at %d us behind one at %d us", e.At, t.at)
	}
	if e.RetryOf > t.n {
		return 0, fmt.Errorf("trace: entry %d is a retry of %d, which comes later", t.n+1, e.RetryOf)
	}
	t.at = e.At
	t.n++
	return t.n, t.line(e)
}

// Close ends the trace. It does not close what it was written to.
func (t *Writer) Close() error {
	if err := t.buf.Flush(); err != nil {
		return err
	}
	return t.gz.Close()
}

// Reader reads a trace.
type Reader struct {
	Header Header
	lines  *bufio.Scanner
	n      int
	at     int64
}

// ErrFormat is what errors of what is no trace wrap.
var ErrFormat = errors.New("no quillfront trace")

// NewReader reads the header of a trace, compressed or not.
func NewReader(r io.Reader) (*Reader, error) {
	plain, err := inflate(r)
	if err != nil {
		return nil, err
	}
	t := &Reader{lines: bufio.NewScanner(plain)}
	t.lines.Buffer(make([]byte, 0, 64<<10), mostLine)
	if !t.lines.Scan() {
		return nil, fmt.Errorf("%w: it is empty or cut (%v)", ErrFormat, t.lines.Err())
	}
	if err := json.Unmarshal(t.lines.Bytes(), &t.Header); err != nil || t.Header.Format != formatName {
		return nil, fmt.Errorf("%w: its first line is %.60q", ErrFormat, t.lines.Bytes())
	}
	if t.Header.Version < 1 || t.Header.Version > Version {
		return nil, fmt.Errorf("%w: version %d, at most %d is known", ErrFormat, t.Header.Version, Version)
	}
	return t, nil
}

// inflate returns what r holds, compressed by gzip or not.
func inflate(r io.Reader) (io.Reader, error) {
	b := bufio.NewReaderSize(r, 64<<10)
	if head, _ := b.Peek(2); bytes.Equal(head, []byte{0x1f, 0x8b}) {
		return gzip.NewReader(b)
	}
	return b, nil
}

// Next returns the next entry, or io.EOF. An error names the entry.
func (t *Reader) Next() (Entry, error) {
	var e Entry
	if !t.lines.Scan() {
		if err := t.lines.Err(); err != nil {
			return e, fmt.Errorf("entry %d: %w", t.n+1, err)
		}
		return e, io.EOF
	}
	t.n++
	wrong := func(form string, args ...any) (Entry, error) {
		return Entry{}, fmt.Errorf("%w: entry %d: %s", ErrFormat, t.n, fmt.Sprintf(form, args...))
	}
	if err := json.Unmarshal(t.lines.Bytes(), &e); err != nil {
		return wrong("%v", err)
	}
	switch {
	case e.At < t.at:
		return wrong("it is before the one before it")
	case e.RetryOf < -1 || e.RetryOf >= t.n:
		return wrong("it is a retry of %d", e.RetryOf)
	case e.Class == "":
		return wrong("it has no class")
	case len(e.Path) == 0 || e.Path[0] != '/':
		return wrong("its path is %.60q", e.Path)
	case e.Size < 0 || e.Cost < 0:
		return wrong("its size or cost is negative")
	}
	t.at = e.At
	return e, nil
}

// Package trace defines the file format of recorded traffic and converts access logs and HAR
// captures to it. Secrets are dropped: of a request, a trace keeps the time, class, method, path,
// key, tenant, cost and size, and the body only if the rules say so.
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

// Version is the format version that a Writer writes. A Reader accepts it and all earlier ones.
const Version = 1

const formatName = "quillfront trace"

// maxLine is the maximum length of a line of a trace, in bytes.
const maxLine = 48 << 20

// Header is the first line of a trace.
type Header struct {
	Format  string    `json:"format"`
	Version int       `json:"version"`
	Origin  time.Time `json:"origin"` // time of the first arrival
	Notes   []string  `json:"notes,omitempty"`
}

// Entry is one arrival, stored as one line of a trace. Entries are ordered by time.
type Entry struct {
	At         int64   `json:"at_us"` // offset from Origin
	Class      string  `json:"class"`
	Method     string  `json:"method"`
	Path       string  `json:"path"`
	Key        string  `json:"key,omitempty"` // value of Idempotency-Key
	Tenant     string  `json:"tenant,omitempty"`
	Cost       int64   `json:"cost_us,omitempty"`
	Size       int64   `json:"size,omitempty"`   // size of the body
	Body       []byte  `json:"body,omitempty"`   // base64 in JSON
	Client     string  `json:"client,omitempty"` // pseudonym of the client
	Status     int     `json:"status,omitempty"` // of the recorded response; 0: none
	RetryOf    int     `json:"of,omitempty"`     // entry it retries, from 1; -1: outside the trace
	Rule       string  `json:"rule,omitempty"`   // that classified it as a retry
	Confidence float64 `json:"sure,omitempty"`   // of that classification, 0 to 1
}

// Writer writes a compressed trace.
type Writer struct {
	w   io.Writer
	gz  *gzip.Writer
	buf *bufio.Writer
	n   int
	at  int64
}

// NewWriter returns a Writer and writes the header to w. Close completes the trace.
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

// Write writes an entry and returns its number. The entry must not be earlier than the previous
// one.
func (t *Writer) Write(e Entry) (int, error) {
	if e.At < t.at {
		return 0, fmt.Errorf("trace: an entry at %d us follows one at %d us", e.At, t.at)
	}
	if e.RetryOf > t.n {
		return 0, fmt.Errorf("trace: entry %d is a retry of %d, which comes later", t.n+1, e.RetryOf)
	}
	t.at = e.At
	t.n++
	return t.n, t.line(e)
}

// Close completes the trace. It does not close the underlying writer.
func (t *Writer) Close() error {
	if err := t.buf.Flush(); err != nil {
		return err
	}
	return t.gz.Close()
}

// Reader reads a trace and validates its entries.
type Reader struct {
	Header Header
	lines  *bufio.Scanner
	n      int
	at     int64
}

// ErrFormat is wrapped by the errors for input that is not a valid trace.
var ErrFormat = errors.New("not a quillfront trace")

// NewReader returns a Reader and reads the header. The trace may be compressed by gzip or not.
func NewReader(r io.Reader) (*Reader, error) {
	plain, err := inflate(r)
	if err != nil {
		return nil, err
	}
	t := &Reader{lines: bufio.NewScanner(plain)}
	t.lines.Buffer(make([]byte, 0, 64<<10), maxLine)
	if !t.lines.Scan() {
		return nil, fmt.Errorf("%w: it is empty or truncated (%v)", ErrFormat, t.lines.Err())
	}
	if err := json.Unmarshal(t.lines.Bytes(), &t.Header); err != nil || t.Header.Format != formatName {
		return nil, fmt.Errorf("%w: its first line is %.60q", ErrFormat, t.lines.Bytes())
	}
	if t.Header.Version < 1 || t.Header.Version > Version {
		return nil, fmt.Errorf("%w: version %d is not supported, want at most %d", ErrFormat, t.Header.Version, Version)
	}
	return t, nil
}

// inflate returns a reader of the content of r, decompressed if it is in gzip format.
func inflate(r io.Reader) (io.Reader, error) {
	b := bufio.NewReaderSize(r, 64<<10)
	if head, _ := b.Peek(2); bytes.Equal(head, []byte{0x1f, 0x8b}) {
		return gzip.NewReader(b)
	}
	return b, nil
}

// Next returns the next entry, or io.EOF at the end. Any other error names the entry.
func (t *Reader) Next() (Entry, error) {
	var e Entry
	if !t.lines.Scan() {
		if err := t.lines.Err(); err != nil {
			return e, fmt.Errorf("entry %d: %w", t.n+1, err)
		}
		return e, io.EOF
	}
	t.n++
	invalid := func(form string, args ...any) (Entry, error) {
		return Entry{}, fmt.Errorf("%w: entry %d: %s", ErrFormat, t.n, fmt.Sprintf(form, args...))
	}
	if err := json.Unmarshal(t.lines.Bytes(), &e); err != nil {
		return invalid("%v", err)
	}
	switch {
	case e.At < t.at:
		return invalid("it is earlier than the previous entry")
	case e.RetryOf < -1 || e.RetryOf >= t.n:
		return invalid("it is a retry of %d", e.RetryOf)
	case e.Class == "":
		return invalid("it has no class")
	case len(e.Path) == 0 || e.Path[0] != '/':
		return invalid("its path is %.60q", e.Path)
	case e.Size < 0 || e.Cost < 0:
		return invalid("its size or cost is negative")
	}
	t.at = e.At
	return e, nil
}

package httpmsg

import (
	"bytes"
	"net/http"
	"net/textproto"
	"slices"
)

// AppendHeader appends the lines of h to b, sorted by name, except for hop-by-hop fields and those
// for which skip returns true. skip may be nil. All names and values must be valid in a header
// line.
func AppendHeader(b []byte, h http.Header, skip func(name string) bool) []byte {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	slices.Sort(names)
	var connectionOptions []string
	for _, v := range h["Connection"] {
		for name := range bytes.SplitSeq([]byte(v), []byte(",")) {
			connectionOptions = append(connectionOptions, textproto.CanonicalMIMEHeaderKey(string(bytes.TrimSpace(name))))
		}
	}
	for _, name := range names {
		if IsHopByHopName([]byte(name)) || skip != nil && skip(name) || slices.Contains(connectionOptions, textproto.CanonicalMIMEHeaderKey(name)) {
			continue
		}
		for _, v := range h[name] {
			b = Field{[]byte(name), []byte(v)}.Append(b)
		}
	}
	return b
}

// ParseHeader parses header lines that have been validated before and that each end with CRLF.
func ParseHeader(lines []byte) http.Header {
	h := http.Header{}
	for line := range bytes.SplitSeq(lines, []byte("\r\n")) {
		if name, value, ok := bytes.Cut(line, []byte(":")); ok {
			h.Add(string(name), string(bytes.TrimSpace(value)))
		}
	}
	return h
}

package httpmsg

import (
	"bytes"
	"net/http"
	"net/textproto"
	"slices"
)

// AppendHeader appends the lines of h to b, but those that concern one connection only and those for which skip is true. All
// names and values must be such as a line may hold.
func AppendHeader(b []byte, h http.Header, skip func(name string) bool) []byte {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	slices.Sort(names)
	var listed []string
	for _, v := range h["Connection"] {
		for name := range bytes.SplitSeq([]byte(v), []byte(",")) {
			listed = append(listed, textproto.CanonicalMIMEHeaderKey(string(bytes.TrimSpace(name))))
		}
	}
	for _, name := range names {
		if IsHopByHopName([]byte(name)) || skip != nil && skip(name) || slices.Contains(listed, textproto.CanonicalMIMEHeaderKey(name)) {
			continue
		}
		for _, v := range h[name] {
			b = Field{[]byte(name), []byte(v)}.Append(b)
		}
	}
	return b
}

// ParseHeader reads lines that were checked before, each ended by CRLF.
func ParseHeader(lines []byte) http.Header {
	h := http.Header{}
	for line := range bytes.SplitSeq(lines, []byte("\r\n")) {
		if name, value, ok := bytes.Cut(line, []byte(":")); ok {
			h.Add(string(name), string(bytes.TrimSpace(value)))
		}
	}
	return h
}

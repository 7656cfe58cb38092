package httpmsg

import (
	"bytes"
	"net/http"
	"net/textproto"
	"slices"

	"golang.org/x/net/http/httpguts"
)

// AppendHeader appends the lines of h to b, but those that concern one connection only and those for which skip is true.
// Names and values that no line may hold are left out, as they would end the line.
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
		if HopName([]byte(name)) || skip != nil && skip(name) || !httpguts.ValidHeaderFieldName(name) ||
			slices.Contains(listed, textproto.CanonicalMIMEHeaderKey(name)) {
			continue
		}
		for _, v := range h[name] {
			if httpguts.ValidHeaderFieldValue(v) {
				b = Field{[]byte(name), []byte(v)}.Append(b)
			}
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

package httpcall

import (
	"net/netip"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// DecodePath returns the path of a request target without its first slash and as clients mean it, that is with its escapes
// undone, or why the target cannot be served. The first part of the path names the class.
//
// It guards against a path that is of one class here and of another at a server, which may resolve dot segments, undo
// escapes before it splits the path, or take a backslash for a slash (RFC 3986, sections 5.2.4, 6.2.2 and 7.3). Dot segments
// are rejected wherever they stand and however they are spelt, also before a path parameter; an encoded slash, a
// backslash and a control are rejected up to the end of the class. Behind it they are a part of the key, and pass.
func DecodePath(target string) (string, error) {
	if !strings.HasPrefix(target, "/") {
		return "", bad("no path: the target must begin with a slash")
	}
	raw, query, _ := strings.Cut(target[1:], "?")
	plain := true // nothing in the path that a server could take otherwise
	for i := range len(raw) {
		switch c := raw[i]; {
		case c <= ' ' || c == 0x7f || c == '#':
			return "", bad("the target has a character that no target may have")
		case c == '%' || c == '.' || c == '\\' || c == ';':
			plain = false
		}
	}
	for i := range len(query) {
		if c := query[i]; c <= ' ' || c == 0x7f || c == '#' {
			return "", bad("the target has a character that no target may have")
		}
	}
	if plain {
		return raw, nil
	}
	path, ok := unescape(raw)
	if !ok {
		return "", bad("the path cannot be read")
	}
	class, _, _ := strings.Cut(raw, "/")
	class, _ = unescape(class)
	for i := range len(class) {
		if c := class[i]; c == '/' || c == '\\' || c < ' ' || c == 0x7f {
			return "", bad("the class has a character that servers may read otherwise")
		}
	}
	for segment := range strings.FieldsFuncSeq(path, func(r rune) bool { return r == '/' || r == '\\' }) {
		if segment, _, _ = strings.Cut(segment, ";"); segment == "." || segment == ".." {
			return "", bad("the path has dot segments")
		}
	}
	return path, nil
}

// unescape undoes percent-encoding, and reports whether all of it could be read.
func unescape(s string) (string, bool) {
	if strings.IndexByte(s, '%') < 0 {
		return s, true
	}
	b := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c == '%' {
			if i+2 >= len(s) {
				return "", false
			}
			n, err := strconv.ParseUint(s[i+1:i+3], 16, 8)
			if err != nil {
				return "", false
			}
			c = byte(n)
			i += 2
		}
		b = append(b, c)
	}
	return string(b), true
}

// ValidHost reports whether s can be the value of Host: a registered name, an IPv4 address or an IPv6 address in brackets,
// and perhaps a port (RFC 9110, section 7.2; RFC 3986, section 3.2.2). An empty one names nobody. It guards against a value
// that ends the line, names a path or a user, or that a server and whoever routes by it would split in different places.
func ValidHost(s string) bool {
	if s == "" || !httpguts.ValidHostHeader(s) {
		return false
	}
	name, port := s, ""
	if strings.HasPrefix(s, "[") {
		end := strings.IndexByte(s, ']')
		if end < 0 {
			return false
		}
		addr, err := netip.ParseAddr(s[1:end])
		if err != nil || !addr.Is6() || addr.Zone() != "" {
			return false
		}
		name, port = "", s[end+1:]
	} else if i := strings.IndexByte(s, ':'); i >= 0 {
		name, port = s[:i], s[i:]
		if name == "" {
			return false
		}
	}
	if strings.ContainsAny(name, "[]") {
		return false
	}
	if _, ok := unescape(name); !ok {
		return false
	}
	if port == "" || port == ":" {
		return true
	}
	n, ok := strings.CutPrefix(port, ":")
	if !ok {
		return false
	}
	for i := range len(n) {
		if n[i] < '0' || n[i] > '9' {
			return false
		}
	}
	_, err := strconv.ParseUint(n, 10, 16)
	return err == nil
}

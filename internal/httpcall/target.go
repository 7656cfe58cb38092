package httpcall

import (
	"net/netip"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// DecodePath returns the percent-decoded path of a request target, without its leading slash, or
// a Rejection if the target cannot be served. The first segment of the path names the class.
//
// A server may resolve dot segments, decode escapes before it splits the path, or treat a backslash
// as a slash (RFC 3986, sections 5.2.4, 6.2.2 and 7.3). The class here and the class at the server
// could then differ. To prevent this, DecodePath rejects dot segments anywhere and in any encoding,
// also before a path parameter. In the class it also rejects an encoded slash, a backslash and
// control characters. After the class they are part of the key and are accepted.
func DecodePath(target string) (string, error) {
	if !strings.HasPrefix(target, "/") {
		return "", badRequest("no path: the target must begin with a slash")
	}
	raw, query, _ := strings.Cut(target[1:], "?")
	plain := true // the path has nothing that a server could interpret differently
	for i := range len(raw) {
		switch c := raw[i]; {
		case c <= ' ' || c == 0x7f || c == '#':
			return "", badRequest("the target has a character that no target may have")
		case c == '%' || c == '.' || c == '\\' || c == ';':
			plain = false
		}
	}
	for i := range len(query) {
		if c := query[i]; c <= ' ' || c == 0x7f || c == '#' {
			return "", badRequest("the target has a character that no target may have")
		}
	}
	if plain {
		return raw, nil
	}
	path, ok := unescape(raw)
	if !ok {
		return "", badRequest("the path cannot be read")
	}
	class, _, _ := strings.Cut(raw, "/")
	class, _ = unescape(class)
	for i := range len(class) {
		if c := class[i]; c == '/' || c == '\\' || c < ' ' || c == 0x7f {
			return "", badRequest("the class has a character that servers may read otherwise")
		}
	}
	for segment := range strings.FieldsFuncSeq(path, func(r rune) bool { return r == '/' || r == '\\' }) {
		if segment, _, _ = strings.Cut(segment, ";"); segment == "." || segment == ".." {
			return "", badRequest("the path has dot segments")
		}
	}
	return path, nil
}

// unescape decodes percent-encoding and reports whether all escapes are valid.
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

// ValidHost reports whether s is a valid value of Host: a registered name, an IPv4 address or an
// IPv6 address in brackets, and optionally a port (RFC 9110, section 7.2; RFC 3986, section 3.2.2).
// An empty value is not valid. ValidHost rejects values that contain a line break, a path or user
// information, and values that a server and a router could split differently.
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

// Package httpmsg reads the heads and bodies of HTTP/1.1 messages (RFC 9112) as strictly as two parties must who do not
// trust each other to see the same end of a message, and tells what of a head concerns one connection only. It serves
// both the side of the clients and that of the servers; it opens no connection and keeps nothing.
package httpmsg

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// What can be wrong with a message.
var (
	ErrHeadTooLong      = errors.New("the head is too long")
	ErrMalformedHead    = errors.New("the head cannot be read")
	ErrFraming          = errors.New("the head gives the length of its body in more than one way")
	ErrBodyTooLong      = errors.New("the body is too long")
	ErrConnectionOption = errors.New("Connection names a field that is meant for every recipient")
)

// Field is one line of a head. Both parts lie in the reader's buffer.
type Field struct{ Name, Value []byte }

// Is reports whether the field has that name, in whatever case.
func (f Field) Is(name string) bool { return equalFold(f.Name, name) }

// equalFold compares without regard to the case of ASCII letters, and without allocating.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i, c := range b {
		d := s[i]
		if 'A' <= c && c <= 'Z' {
			c |= 0x20
		}
		if 'A' <= d && d <= 'Z' {
			d |= 0x20
		}
		if c != d {
			return false
		}
	}
	return true
}

// Head is the head of one message. It lies in the buffer of the reader that it was read from: it holds until Discard, and
// a Head may be used again for the next message.
type Head struct {
	StartLine     []byte // the request line or status line
	Fields        []Field
	ContentLength int64 // of the body by Content-Length; -1 without one
	Chunked       bool  // the body is in chunks
	Close         bool  // the sender ends the connection after this message
	KeepAlive     bool  // the sender asks to keep it, which only HTTP/1.0 must

	listed [][]byte // further names that Connection lists
	size   int
}

// Read waits until the whole head of a message lies in r's buffer, and checks it. It reads no byte beyond what it must
// wait for, and leaves the head in the buffer: see Discard.
//
// It guards against messages whose end two readers see in different places, so that one of them takes a part of the body
// for a message of its own: it rejects two lengths of whatever kind, folded lines, control characters, white space in
// names, and lengths and codings that are not spelt out plainly. By the size of the buffer it guards against heads
// without end. What it rejects is never valid between parties of this protocol; a sender that folds its lines would be
// turned away though it means no harm.
func (h *Head) Read(r *bufio.Reader) error {
	for seen := 0; ; {
		if _, err := r.Peek(max(seen+1, r.Buffered())); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return ErrHeadTooLong
			}
			return err
		}
		b, _ := r.Peek(r.Buffered())
		for i := max(0, seen-3); i < len(b); i++ { // the end may straddle what had come before
			n := bytes.IndexByte(b[i:], '\n')
			if n < 0 {
				break
			}
			i += n
			if rest := b[i+1:]; bytes.HasPrefix(rest, []byte("\n")) {
				return h.parse(b[:i+2])
			} else if bytes.HasPrefix(rest, []byte("\r\n")) {
				return h.parse(b[:i+3])
			}
		}
		if seen = len(b); seen == r.Size() {
			return ErrHeadTooLong
		}
	}
}

// Discard takes the head out of r's buffer. Nothing of h may be used afterwards but Length, Chunked, Close and Keep.
func (h *Head) Discard(r *bufio.Reader) {
	r.Discard(h.size)
	h.StartLine, h.Fields, h.listed = nil, h.Fields[:0], h.listed[:0]
}

func (h *Head) parse(head []byte) error {
	*h = Head{Fields: h.Fields[:0], listed: h.listed[:0], ContentLength: -1, size: len(head)}
	lengths := 0
	for len(head) > 0 {
		var line []byte
		line, head, _ = bytes.Cut(head, []byte("\n"))
		if line = trimLine(line); hasControl(line) {
			return ErrMalformedHead
		}
		if h.StartLine == nil {
			if len(line) == 0 {
				return ErrMalformedHead
			}
			h.StartLine = line
			continue
		}
		if len(line) == 0 {
			break // the end
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !token(name) {
			return ErrMalformedHead
		}
		f := Field{name, bytes.Trim(value, " \t")}
		switch {
		case f.Is("Content-Length"):
			lengths++
			n, ok := decimal(f.Value)
			if !ok {
				return ErrMalformedHead
			}
			h.ContentLength = n
		case f.Is("Transfer-Encoding"):
			lengths++
			if !equalFold(f.Value, "chunked") {
				return ErrMalformedHead
			}
			h.Chunked = true
		case f.Is("Connection"):
			for rest := f.Value; len(rest) > 0; {
				var option []byte
				option, rest, _ = bytes.Cut(rest, []byte(","))
				switch option = bytes.Trim(option, " \t"); {
				case equalFold(option, "close"):
					h.Close = true
				case equalFold(option, "keep-alive"):
					h.KeepAlive = true
				case meantForAll(option):
					return ErrConnectionOption
				case len(option) > 0:
					h.listed = append(h.listed, option)
				}
			}
		}
		h.Fields = append(h.Fields, f)
	}
	if lengths > 1 {
		return ErrFraming
	}
	return nil
}

// trimLine takes the end off a line: a line feed, and a carriage return before it.
func trimLine(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// hasControl reports whether a line has a character that none may have (RFC 9110, section 5.5).
func hasControl(line []byte) bool {
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// token reports whether b is a token (RFC 9110, section 5.6.2).
func token(b []byte) bool {
	for _, c := range b {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(b) > 0
}

// decimal reads a length. More digits than any length has are as wrong as a sign is.
func decimal(b []byte) (int64, bool) {
	if len(b) == 0 || len(b) > 18 {
		return 0, false
	}
	var n int64
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}

// Values returns the values of the fields of that name, in whatever case.
func (h *Head) Values(name string) (all []string) {
	for _, f := range h.Fields {
		if f.Is(name) {
			all = append(all, string(f.Value))
		}
	}
	return all
}

// ParseRequestLine reads the request line: the method, the target as it stands, and the minor version of HTTP/1.
func (h *Head) ParseRequestLine() (method, target []byte, minor int, err error) {
	method, rest, ok := bytes.Cut(h.StartLine, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !token(method) || len(target) == 0 || bytes.IndexByte(target, '\t') >= 0 {
		return nil, nil, 0, ErrMalformedHead
	}
	if minor, ok = version1(version); !ok {
		return nil, nil, 0, ErrMalformedHead
	}
	return method, target, minor, nil
}

// ParseStatusLine reads the status line: the code, and the minor version of HTTP/1.
func (h *Head) ParseStatusLine() (code, minor int, err error) {
	version, rest, ok := bytes.Cut(h.StartLine, []byte(" "))
	minor, ok1 := version1(version)
	text, _, _ := bytes.Cut(rest, []byte(" "))
	n, ok2 := decimal(text)
	if !ok || !ok1 || !ok2 || len(text) != 3 || n < 100 {
		return 0, 0, ErrMalformedHead
	}
	return int(n), minor, nil
}

func version1(b []byte) (minor int, ok bool) {
	if len(b) != len("HTTP/1.x") || string(b[:7]) != "HTTP/1." || b[7] != '0' && b[7] != '1' {
		return 0, false
	}
	return int(b[7] - '0'), true
}

// IsHopByHop reports whether f concerns one connection only (RFC 9110, section 7.6.1), or frames the body.
func (h *Head) IsHopByHop(f Field) bool {
	for _, listed := range h.listed {
		if bytes.EqualFold(listed, f.Name) {
			return true
		}
	}
	return IsHopByHopName(f.Name)
}

// hopNames concern one connection only.
var hopNames = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// IsHopByHopName reports whether fields of that name concern one connection only, or frame the body.
func IsHopByHopName(name []byte) bool {
	for _, hop := range hopNames {
		if equalFold(name, hop) {
			return true
		}
	}
	return false
}

// throughNames are meant for every recipient on the way: what the protocol between an application, its sidecar and servers
// is read from, and what says where a message goes, what it holds and who sent it.
var throughNames = []string{
	"Idempotency-Key", "X-Request-ID", "X-Timeout-Ms", "X-Tenant-Id", "X-Cost", "X-Retried", "X-Attrs",
	"X-Not-Processed", "X-Server-Load", "Retry-After",
	"Host", "Authorization", "Cookie", "Set-Cookie", "Www-Authenticate", "Origin", "Via", "Forwarded", "Max-Forwards",
	"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "Traceparent", "Tracestate", "Date", "Location", "Allow",
	"Content-Length", "Content-Type", "Content-Encoding", "Content-Language", "Content-Location", "Content-Range",
	"Content-Disposition", "Accept", "Accept-Encoding", "Accept-Language", "Range", "If-Match", "If-None-Match",
	"If-Modified-Since", "If-Unmodified-Since", "If-Range", "Cache-Control", "Expires", "Age", "Vary", "Etag", "Last-Modified",
}

// meantForAll reports whether no connection option may be of that name (RFC 9110, section 7.6.1). It guards against a
// sender that has a field taken out on the way which the next recipient goes by: without its key a server cannot drop a
// repeat, and without its type a body is read as another.
func meantForAll(option []byte) bool {
	return slices.ContainsFunc(throughNames, func(name string) bool { return equalFold(option, name) })
}

// CheckConnection returns ErrNominated if h has a connection option that no message may have.
func CheckConnection(h http.Header) error {
	for _, v := range h["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			if meantForAll([]byte(strings.Trim(option, " \t"))) {
				return ErrConnectionOption
			}
		}
	}
	return nil
}

// Append appends the field as a line.
func (f Field) Append(b []byte) []byte {
	b = append(b, f.Name...)
	b = append(b, ": "...)
	b = append(b, f.Value...)
	return append(b, "\r\n"...)
}

// AppendIntField appends a line with a number.
func AppendIntField(b []byte, name string, n int64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

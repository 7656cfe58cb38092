// Package httpmsg parses the heads and bodies of HTTP/1.1 messages (RFC 9112), for connections to
// clients and to servers. It is strict, because two parties that do not trust each other must agree
// on where a message ends. It also recognizes hop-by-hop fields. It opens no connections and keeps
// no state between messages.
package httpmsg

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// Errors of invalid messages.
var (
	ErrHeadTooLong      = errors.New("the head is too long")
	ErrMalformedHead    = errors.New("the head cannot be read")
	ErrFraming          = errors.New("the head gives the length of its body in more than one way")
	ErrBodyTooLong      = errors.New("the body is too long")
	ErrConnectionOption = errors.New("Connection names a field that is meant for every recipient")
)

// Field is a header field. Name and Value point into the buffer of the reader.
type Field struct{ Name, Value []byte }

// Is reports whether f has that name, regardless of case.
func (f Field) Is(name string) bool { return equalFold(f.Name, name) }

// equalFold reports whether b and s are equal regardless of the case of ASCII letters. It does not
// allocate.
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

// Head is the head of one message. It points into the buffer of the reader that it was read from,
// so it is valid until Discard or Release. A Head can be reused for the next message.
type Head struct {
	StartLine     []byte // the request line or status line
	Fields        []Field
	ContentLength int64 // the value of Content-Length; -1 without one
	Chunked       bool  // the body is chunked
	Close         bool  // the sender closes the connection after this message
	KeepAlive     bool  // the sender asks to keep the connection open, which only HTTP/1.0 requires

	connectionOptions [][]byte     // the other options of Connection, which name hop-by-hop fields
	size              int          // bytes in the buffer
	storage           *headStorage // of Fields and connectionOptions; nil between two heads
}

// headStorage is the memory for the parsed fields of a head. Short fields take many times their own
// size in it, so that connections share it and none holds it between two heads.
type headStorage struct {
	fields  []Field
	options [][]byte
}

// usualFields is the number of fields for which a new headStorage has room.
const usualFields = 32

var headStoragePool = sync.Pool{New: func() any { return &headStorage{fields: make([]Field, 0, usualFields)} }}

// Read waits until the complete head of a message is in the buffer of r, and parses it. It does not
// wait for any byte after the head, and leaves the head in the buffer: see Discard.
//
// It prevents request smuggling, where two readers see the end of a message in different places and
// one of them takes a part of the body for a message. It rejects more than one length of any kind,
// folded lines, control characters, white space in names, and lengths and codings that are not in
// their plain form. The size of the buffer limits the length of a head. Nothing that it rejects is
// valid in this protocol; a harmless sender that folds its lines is rejected too.
func (h *Head) Read(r *bufio.Reader) error {
	for seen := 0; ; {
		if _, err := r.Peek(max(seen+1, r.Buffered())); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return ErrHeadTooLong
			}
			return err
		}
		b, _ := r.Peek(r.Buffered())
		for i := max(0, seen-3); i < len(b); i++ { // the end may span two reads
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

// Discard removes the head from the buffer of r. Afterwards only ContentLength, Chunked, Close and
// KeepAlive may be used.
func (h *Head) Discard(r *bufio.Reader) {
	r.Discard(h.size)
	h.Release()
}

// Release is Discard for a head whose connection is not read any further: the head stays in the
// buffer.
func (h *Head) Release() {
	if h.storage != nil {
		clear(h.Fields) // they point into the buffer of the connection
		clear(h.connectionOptions)
		h.storage.fields, h.storage.options = h.Fields[:0], h.connectionOptions[:0]
		headStoragePool.Put(h.storage)
	}
	h.StartLine, h.Fields, h.connectionOptions, h.storage = nil, nil, nil, nil
}

// parse parses the lines of head into h.
func (h *Head) parse(head []byte) error {
	h.Release()
	storage := headStoragePool.Get().(*headStorage)
	*h = Head{Fields: storage.fields[:0], connectionOptions: storage.options[:0], ContentLength: -1, size: len(head), storage: storage}
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
			break // the end of the head
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return ErrMalformedHead
		}
		f := Field{name, bytes.Trim(value, " \t")}
		switch {
		case f.Is("Content-Length"):
			lengths++
			n, ok := parseDecimal(f.Value)
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
				case isEndToEnd(option):
					return ErrConnectionOption
				case len(option) > 0:
					h.connectionOptions = append(h.connectionOptions, option)
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

// trimLine removes the line terminator: a line feed and a carriage return before it.
func trimLine(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// hasControl reports whether a line contains a control character that is not allowed (RFC 9110,
// section 5.5).
func hasControl(line []byte) bool {
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// isToken reports whether b is a token (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(b) > 0
}

// parseDecimal parses an unsigned number of at most 18 digits. A sign is an error.
func parseDecimal(b []byte) (int64, bool) {
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

// Values returns the values of all fields with that name, regardless of case.
func (h *Head) Values(name string) (all []string) {
	for _, f := range h.Fields {
		if f.Is(name) {
			all = append(all, string(f.Value))
		}
	}
	return all
}

// ParseRequestLine parses the request line. It returns the method, the unmodified target and the
// minor version of HTTP/1.
func (h *Head) ParseRequestLine() (method, target []byte, minor int, err error) {
	method, rest, ok := bytes.Cut(h.StartLine, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !isToken(method) || len(target) == 0 || bytes.IndexByte(target, '\t') >= 0 {
		return nil, nil, 0, ErrMalformedHead
	}
	if minor, ok = parseVersion(version); !ok {
		return nil, nil, 0, ErrMalformedHead
	}
	return method, target, minor, nil
}

// ParseStatusLine parses the status line. It returns the status code and the minor version of
// HTTP/1.
func (h *Head) ParseStatusLine() (code, minor int, err error) {
	version, rest, ok := bytes.Cut(h.StartLine, []byte(" "))
	minor, ok1 := parseVersion(version)
	text, _, _ := bytes.Cut(rest, []byte(" "))
	n, ok2 := parseDecimal(text)
	if !ok || !ok1 || !ok2 || len(text) != 3 || n < 100 {
		return 0, 0, ErrMalformedHead
	}
	return int(n), minor, nil
}

// parseVersion parses HTTP/1.0 and HTTP/1.1.
func parseVersion(b []byte) (minor int, ok bool) {
	if len(b) != len("HTTP/1.x") || string(b[:7]) != "HTTP/1." || b[7] != '0' && b[7] != '1' {
		return 0, false
	}
	return int(b[7] - '0'), true
}

// IsHopByHop reports whether f is a hop-by-hop field (RFC 9110, section 7.6.1) or frames the body.
func (h *Head) IsHopByHop(f Field) bool {
	for _, option := range h.connectionOptions {
		if bytes.EqualFold(option, f.Name) {
			return true
		}
	}
	return IsHopByHopName(f.Name)
}

// hopByHopNames are the fields that are always hop-by-hop or frame the body.
var hopByHopNames = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// IsHopByHopName reports whether fields with that name are always hop-by-hop or frame the body.
func IsHopByHopName(name []byte) bool {
	for _, hop := range hopByHopNames {
		if equalFold(name, hop) {
			return true
		}
	}
	return false
}

// endToEndNames are fields that are meant for every recipient: those of the protocol between an
// application, its sidecar and servers, and those that describe the destination, content and origin
// of a message.
var endToEndNames = []string{
	"Idempotency-Key", "X-Request-ID", "X-Timeout-Ms", "X-Tenant-Id", "X-Cost", "X-Retried", "X-Attrs",
	"X-Not-Processed", "X-Server-Load", "Retry-After",
	"Host", "Authorization", "Cookie", "Set-Cookie", "Www-Authenticate", "Origin", "Via", "Forwarded", "Max-Forwards",
	"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "Traceparent", "Tracestate", "Date", "Location", "Allow",
	"Content-Length", "Content-Type", "Content-Encoding", "Content-Language", "Content-Location", "Content-Range",
	"Content-Disposition", "Accept", "Accept-Encoding", "Accept-Language", "Range", "If-Match", "If-None-Match",
	"If-Modified-Since", "If-Unmodified-Since", "If-Range", "Cache-Control", "Expires", "Age", "Vary", "Etag", "Last-Modified",
}

// isEndToEnd reports whether option is the name of an end-to-end field, which must not be a
// connection option (RFC 9110, section 7.6.1). Otherwise a sender could make an intermediary remove
// fields that the next recipient relies on: without the key a server cannot drop a repeat, and
// without the content type it misinterprets the body.
func isEndToEnd(option []byte) bool {
	return slices.ContainsFunc(endToEndNames, func(name string) bool { return equalFold(option, name) })
}

// CheckConnection returns ErrConnectionOption if Connection names an end-to-end field.
func CheckConnection(h http.Header) error {
	for _, v := range h["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			if isEndToEnd([]byte(strings.Trim(option, " \t"))) {
				return ErrConnectionOption
			}
		}
	}
	return nil
}

// Append appends f as a header line.
func (f Field) Append(b []byte) []byte {
	b = append(b, f.Name...)
	b = append(b, ": "...)
	b = append(b, f.Value...)
	return append(b, "\r\n"...)
}

// AppendIntField appends a header line with a number as its value.
func AppendIntField(b []byte, name string, n int64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

package httpmsg

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// read parses the head of text, whose lines end with LF, with a buffer of 1,024 bytes.
func read(text string) (*Head, *bufio.Reader, error) {
	r := bufio.NewReaderSize(strings.NewReader(strings.ReplaceAll(text, "\n", "\r\n")), 1024)
	h := &Head{}
	return h, r, h.Read(r)
}

// TestHead checks valid heads and the errors for invalid ones.
func TestHead(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		err        error
		length     int64
		chunked    bool
		close      bool
	}{
		{"plain", "GET / HTTP/1.1\nHost: s\n\n", nil, -1, false, false},
		{"a length", "GET / HTTP/1.1\nContent-Length: 17\n\n", nil, 17, false, false},
		{"chunks", "GET / HTTP/1.1\ntransfer-encoding: Chunked\n\n", nil, -1, true, false},
		{"Connection: close", "GET / HTTP/1.1\nConnection: X-A, close\n\n", nil, -1, false, true},
		{"two lengths", "GET / HTTP/1.1\nContent-Length: 1\nContent-Length: 1\n\n", ErrFraming, 0, false, false},
		{"both a length and a coding", "GET / HTTP/1.1\nContent-Length: 1\nTransfer-Encoding: chunked\n\n", ErrFraming, 0, false, false},
		{"two codings", "GET / HTTP/1.1\nTransfer-Encoding: chunked\nTransfer-Encoding: chunked\n\n", ErrFraming, 0, false, false},
		{"another coding", "GET / HTTP/1.1\nTransfer-Encoding: gzip, chunked\n\n", ErrMalformedHead, 0, false, false},
		{"a sign", "GET / HTTP/1.1\nContent-Length: +1\n\n", ErrMalformedHead, 0, false, false},
		{"no digits", "GET / HTTP/1.1\nContent-Length:\n\n", ErrMalformedHead, 0, false, false},
		{"too many digits", "GET / HTTP/1.1\nContent-Length: 9999999999999999999\n\n", ErrMalformedHead, 0, false, false},
		{"a folded line", "GET / HTTP/1.1\nA: b\n c: d\n\n", ErrMalformedHead, 0, false, false},
		{"white space in a name", "GET / HTTP/1.1\nContent-Length : 1\n\n", ErrMalformedHead, 0, false, false},
		{"no colon", "GET / HTTP/1.1\nnonsense\n\n", ErrMalformedHead, 0, false, false},
		{"no name", "GET / HTTP/1.1\n: x\n\n", ErrMalformedHead, 0, false, false},
		{"a control character", "GET / HTTP/1.1\nA: \x00\n\n", ErrMalformedHead, 0, false, false},
		{"a bare CR", "GET / HTTP/1.1\nA: b\rContent-Length: 3\n\n", ErrMalformedHead, 0, false, false},
		{"an empty first line", "\nGET / HTTP/1.1\n\n", ErrMalformedHead, 0, false, false},
		{"an end-to-end field named by Connection", "GET / HTTP/1.1\nConnection: close, idempotency-KEY\n\n", ErrConnectionOption, 0, false, false},
		{"the same in a second line", "GET / HTTP/1.1\nConnection: close\nA: b\nConnection: x-a,\tHost ,\n\n", ErrConnectionOption, 0, false, false},
		{"cut off", "GET / HTTP/1.1\nHost", io.EOF, 0, false, false},
		{"longer than the buffer", "GET / HTTP/1.1\nA: " + strings.Repeat("x", 2000), ErrHeadTooLong, 0, false, false},
	} {
		h, _, err := read(tt.text)
		if !errors.Is(err, tt.err) || tt.err == nil && err != nil {
			t.Errorf("%s: error %v, want %v", tt.name, err, tt.err)
		} else if err == nil && (h.ContentLength != tt.length || h.Chunked != tt.chunked || h.Close != tt.close) {
			t.Errorf("%s: %+v", tt.name, h)
		}
	}
}

// TestStartLines checks valid and invalid request lines and status lines.
func TestStartLines(t *testing.T) {
	for line, want := range map[string]bool{
		"GET /a?b HTTP/1.1": true, "POST /a HTTP/1.0": true, "GET /a": false, "GET  /a HTTP/1.1": false, "GET /a b HTTP/1.1": false,
		"G(T /a HTTP/1.1": false, "GET /a HTTP/2.0": false, "GET /a HTTP/1.1x": false, "GET /a http/1.1": false, "GET /a HTTP/1.": false,
	} {
		h := Head{StartLine: []byte(line)}
		if _, _, _, err := h.ParseRequestLine(); (err == nil) != want {
			t.Errorf("request line %q: error %v", line, err)
		}
	}
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.0 503": 503, "HTTP/1.1 503 ": 503, "HTTP/1.1 20": 0, "HTTP/1.1 2000": 0, "HTTP/1.1 099 x": 0,
		"HTTP/3.1 200 OK": 0, "200 OK": 0, "HTTP/1.1 -20 x": 0, "": 0,
	} {
		h := Head{StartLine: []byte(line)}
		if code, _, err := h.ParseStatusLine(); (err == nil) != (want > 0) || err == nil && code != want {
			t.Errorf("status line %q: code %d, error %v", line, code, err)
		}
	}
}

// TestHopByHop checks that fields listed in Connection are hop-by-hop, as well as those that always
// are, and that AppendHeader omits them.
func TestHopByHop(t *testing.T) {
	h, _, err := read("GET / HTTP/1.1\nConnection: x-mine, Close\nX-Mine: 1\nKEEP-ALIVE: 5\nX-Other: 2\n\n")
	if err != nil {
		t.Fatal(err)
	}
	var kept []string
	for _, f := range h.Fields {
		if !h.IsHopByHop(f) {
			kept = append(kept, string(f.Name))
		}
	}
	if len(kept) != 1 || kept[0] != "X-Other" {
		t.Errorf("end-to-end fields %v, want X-Other", kept)
	}
	lines := AppendHeader(nil, http.Header{
		"Connection": {"x-mine"}, "X-Mine": {"1"}, "X-Other": {"a", "b"}, "Host": {"h"},
	}, func(name string) bool { return name == "Host" })
	if string(lines) != "X-Other: a\r\nX-Other: b\r\n" {
		t.Errorf("appended lines %q", lines)
	}
	if got := ParseHeader(lines); len(got) != 1 || strings.Join(got["X-Other"], ",") != "a,b" {
		t.Errorf("parsed header %v", got)
	}
}

// TestBodies checks chunked bodies and bodies with a length that are complete, truncated or too
// long, and that the bytes after a body are left in the reader.
func TestBodies(t *testing.T) {
	chunked := func(text string) (string, string, error) {
		r := bufio.NewReader(strings.NewReader(strings.ReplaceAll(text, "\n", "\r\n")))
		var b Body
		b.Reset(r, -1, true)
		body, err := b.ReadAll(MaxFullBody)
		rest, _ := io.ReadAll(r)
		return string(body), string(rest), err
	}
	for _, text := range []string{"5\nhello\n0\n\nrest", "2\nhe\n3\nllo\n0\nX-Trailer: y\n\nrest"} {
		if body, rest, err := chunked(text); body != "hello" || rest != "rest" || err != nil {
			t.Errorf("%q: %q, %q, %v", text, body, rest, err)
		}
	}
	for _, text := range []string{"5\nhel", "5\nhello\n", "5\nhello\n0\n", "zz\n", "-1\n", "", "5\nhello\n0\n" + strings.Repeat("X: y\n", 2000) + "\n"} {
		if body, _, err := chunked(text); err == nil {
			t.Errorf("%.20q: accepted as %q", text, body)
		}
	}
	endless := func() *bufio.Reader {
		return bufio.NewReader(io.MultiReader(strings.NewReader("4000000\r\n"), zeros{}))
	}
	for _, tt := range []struct {
		name    string
		r       *bufio.Reader
		length  int64
		chunked bool
		limit   int64
		want    error
	}{
		{"chunks over the limit", endless(), -1, true, MaxFullBody, ErrBodyTooLong},
		{"chunks over MaxBody", endless(), -1, true, MaxBody, ErrBodyTooLong},
		{"a length over MaxBody", endless(), MaxBody + 1, false, MaxBody, ErrBodyTooLong},
		{"a length over the limit", endless(), MaxFullBody + 1, false, MaxFullBody, ErrBodyTooLong},
		{"no end", bufio.NewReader(zeros{}), -1, false, MaxFullBody, ErrBodyTooLong},
		{"cut off", bufio.NewReader(strings.NewReader("ab")), 3, false, MaxFullBody, io.ErrUnexpectedEOF},
	} {
		var b Body
		b.Reset(tt.r, tt.length, tt.chunked)
		if _, err := b.ReadAll(tt.limit); !errors.Is(err, tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, err, tt.want)
		}
	}
	var b Body
	b.Reset(endless(), -1, true)
	if n, err := io.Copy(io.Discard, &b); n > MaxBody || !errors.Is(err, ErrBodyTooLong) {
		t.Errorf("%d bytes of an endless body, %v", n, err)
	}
}

// TestReadUpTo checks that a part of a body can be read, that Ended reports whether it was all, and
// that the rest can be read afterwards.
func TestReadUpTo(t *testing.T) {
	for _, tt := range []struct {
		text    string
		length  int64
		chunked bool
	}{{"abcdefrest", 6, false}, {"4\r\nabcd\r\n2\r\nef\r\n0\r\n\r\nrest", -1, true}} {
		r := bufio.NewReader(strings.NewReader(tt.text))
		var b Body
		b.Reset(r, tt.length, tt.chunked)
		part, err := b.ReadUpTo(4)
		if !strings.HasPrefix("abcde", string(part)) || len(part) < 4 || err != nil || b.Ended() {
			t.Errorf("%q, %v, ended %v", part, err, b.Ended())
		}
		more, err := io.ReadAll(&b)
		rest, _ := io.ReadAll(r)
		if string(part)+string(more) != "abcdef" || err != nil || !b.Ended() || string(rest) != "rest" {
			t.Errorf("%q, %v, ended %v, then %q", more, err, b.Ended(), rest)
		}
	}
}

// TestUpload checks that the reader of an Upload and the owner that reclaims it both learn how the
// reading ended.
func TestUpload(t *testing.T) {
	u := NewUpload(strings.NewReader("abc"))
	if u.Started() {
		t.Error("Started before the first Read")
	}
	if b, err := io.ReadAll(u); string(b) != "abc" || err != nil || !u.Started() {
		t.Errorf("%q, %v", b, err)
	}
	<-u.Done()
	if u.Err() != io.EOF || u.Reclaim(func() {}) != nil {
		t.Errorf("the reading ended with %v", u.Err())
	}
	near, far := io.Pipe()
	u = NewUpload(near)
	read := make(chan error)
	go func() {
		_, err := u.Read(make([]byte, 1))
		read <- err
		_, err = u.Read(make([]byte, 1))
		read <- err
	}()
	for !u.Started() {
		runtime.Gosched()
	}
	src := u.Reclaim(func() { far.Write([]byte("x")) })
	if first, second := <-read, <-read; first != nil || second != ErrReclaimed || src != near || u.Err() != ErrReclaimed {
		t.Errorf("Reads returned %v, then %v; Err after Reclaim: %v", first, second, u.Err())
	}
}

// zeros is an endless source of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// FuzzHead checks that a head is parsed alike in one piece and byte by byte, and that net/http sees
// the same body length in each head that both accept.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: s\r\n\r\n", "POST /a HTTP/1.0\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello",
		"POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "GET / HTTP/1.1\nA:b\n\n", "\r\n\r\n", "a: b\n c\n\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var whole, pieces Head
		err := whole.Read(bufio.NewReaderSize(bytes.NewReader(text), 4096))
		perr := pieces.Read(bufio.NewReaderSize(oneByOne{bytes.NewReader(text)}, 4096))
		if (err == nil) != (perr == nil) || err == nil && (whole.ContentLength != pieces.ContentLength || len(whole.Fields) != len(pieces.Fields)) {
			t.Fatalf("whole %v, in pieces %v", err, perr)
		}
		if err != nil {
			return
		}
		method, _, _, err := whole.ParseRequestLine()
		if err != nil || string(method) == "PRI" || whole.Chunked {
			return
		}
		q, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return // net/http may be stricter about targets, hosts and trailers
		}
		if length := max(whole.ContentLength, 0); q.ContentLength != length {
			t.Errorf("length %d, and %d by net/http", length, q.ContentLength)
		}
	})
}

// oneByOne returns one byte per Read.
type oneByOne struct{ io.Reader }

func (o oneByOne) Read(p []byte) (int, error) { return o.Reader.Read(p[:min(len(p), 1)]) }

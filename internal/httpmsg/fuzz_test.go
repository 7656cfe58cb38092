package httpmsg

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"testing"
)

// canonical returns the fields of h in the form of net/http, without those that net/http removes.
func canonical(h *Head) http.Header {
	got := http.Header{}
	for _, f := range h.Fields {
		switch name := textproto.CanonicalMIMEHeaderKey(string(f.Name)); name {
		case "Host", "Transfer-Encoding", "Trailer":
		default:
			got[name] = append(got[name], string(f.Value))
		}
	}
	return got
}

// FuzzRequest checks that a request which both this parser and net/http accept is read alike by
// both: the method, the target, the host, the fields, the body, and where the next message begins.
func FuzzRequest(f *testing.F) {
	for _, text := range []string{
		"GET /read/k?a=b HTTP/1.1\r\nHost: s\r\nX-Request-ID: 1\r\n\r\n", "POST /a HTTP/1.0\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello",
		"POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\nGET /", "GET / HTTP/1.1\nHost:b\nA:b\n\n",
		"POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello", "GET /%2e/ HTTP/1.1\r\nhost:\ts \r\nA: b\r\n c\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "GET /a HTTP/1.1\r\nHost: s\r\nConnection: x-a\r\nX-A:\r\n\r\nGET",
		"POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n0\n\nrest", "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX y\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		ours, theirs := bytes.NewReader(text), bytes.NewReader(text)
		r := bufio.NewReaderSize(ours, 4096)
		var h Head
		if h.Read(r) != nil {
			return
		}
		method, target, minor, err := h.ParseRequestLine()
		if err != nil || minor == 0 && h.Chunked { // the HTTP front rejects a chunked body of HTTP/1.0
			return
		}
		tr := bufio.NewReaderSize(theirs, 4096)
		q, err := http.ReadRequest(tr)
		if err != nil {
			return // net/http may be stricter about targets and hosts
		}
		if string(method) != q.Method || string(target) != q.RequestURI || minor != q.ProtoMinor {
			t.Errorf("%s %s %d, and by net/http %s %s %d", method, target, minor, q.Method, q.RequestURI, q.ProtoMinor)
		}
		for _, f := range h.Fields {
			if f.Is("Host") && q.URL.Host == "" && string(f.Value) != q.Host {
				if !repeated(&h, "Host") { // httpcall rejects a repeated Host
					t.Errorf("host %q, and %q by net/http", f.Value, q.Host)
				}
			}
		}
		want := maps.Clone(q.Header)
		got := canonical(&h)
		if _, ok := got["Pragma"]; ok { // net/http adds a Cache-Control for it
			delete(got, "Cache-Control")
			delete(want, "Cache-Control")
		}
		delete(want, "Trailer")
		if !maps.EqualFunc(got, want, slices.Equal) {
			t.Errorf("fields %q, and by net/http %q", got, want)
		}
		if h.Close && !q.Close {
			t.Error("the request closes the connection here, and not by net/http")
		}
		h.Discard(r)
		body, err := bodyOf(&h, r)
		if err != nil {
			return
		}
		other, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		rest, otherRest := ours.Len()+r.Buffered(), theirs.Len()+tr.Buffered()
		if !bytes.Equal(body, other) || rest != otherRest {
			t.Errorf("body %q and %d bytes after it, and by net/http %q and %d", body, rest, other, otherRest)
		}
	})
}

// repeated reports whether h has more than one field with that name.
func repeated(h *Head, name string) bool {
	n := 0
	for _, f := range h.Fields {
		if f.Is(name) {
			n++
		}
	}
	return n > 1
}

// bodyOf reads the body of the request with head h.
func bodyOf(h *Head, r *bufio.Reader) ([]byte, error) {
	var b Body
	b.Reset(r, max(h.ContentLength, 0), h.Chunked)
	return b.ReadAll(MaxFullBody)
}

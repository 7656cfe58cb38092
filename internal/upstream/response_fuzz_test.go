package upstream

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"testing"

	"quillfront/internal/httpmsg"
)

// FuzzResponse compares this package's response parser with net/http. A response that both accept
// has to have the same status code, fields, body, connection persistence and end.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.0 200 OK\r\n\r\nok", "HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\nok\r\n0\r\nA: b\r\n\r\nHTTP", "HTTP/1.1 304 \r\nA: b\r\n\r\nHTTP",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "HTTP/1.1 200 OK\nConnection: close\nX-A:\t b \nContent-Length: 2\n\nok",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nokHTTP", "HTTP/1.1 503\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		ours, theirs := bytes.NewReader(text), bytes.NewReader(text)
		c := conn{r: bufio.NewReaderSize(ours, defaultReadBuffer)}
		if c.head.Read(c.r) != nil {
			return
		}
		code, minor, err := c.status()
		if err != nil || code < 200 {
			return
		}
		tr := bufio.NewReaderSize(theirs, defaultReadBuffer)
		resp, err := http.ReadResponse(tr, nil)
		if err != nil {
			return
		}
		if code != resp.StatusCode || minor != resp.ProtoMinor {
			t.Errorf("%d with HTTP/1.%d, net/http: %d with HTTP/1.%d", code, minor, resp.StatusCode, resp.ProtoMinor)
		}
		got := http.Header{}
		for _, f := range c.head.Fields {
			name := textproto.CanonicalMIMEHeaderKey(string(f.Name))
			got[name] = append(got[name], string(f.Value))
		}
		want := maps.Clone(resp.Header)
		for _, name := range []string{"Transfer-Encoding", "Trailer", "Connection"} {
			delete(got, name)
			delete(want, name)
		}
		if _, ok := got["Pragma"]; ok { // net/http adds its own Cache-Control
			delete(got, "Cache-Control")
			delete(want, "Cache-Control")
		}
		if !maps.EqualFunc(got, want, slices.Equal) {
			t.Errorf("fields %q, net/http: %q", got, want)
		}
		c.head.Discard(c.r)
		last := c.beginBody(code, minor)
		body, err := c.body.ReadAll(httpmsg.MaxFullBody)
		if err != nil {
			return
		}
		other, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		rest, otherRest := ours.Len()+c.r.Buffered(), theirs.Len()+tr.Buffered()
		if !bytes.Equal(body, other) || rest != otherRest {
			t.Errorf("body %q followed by %d bytes, net/http: %q followed by %d", body, rest, other, otherRest)
		}
		if resp.Close && !last {
			t.Error("the connection is kept, net/http closes it")
		}
	})
}

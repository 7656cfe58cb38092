package daemon

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"quillfront/policy"
)

// longBody is longer than any body that is buffered completely. No two positions of it look alike.
var longBody = func() []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < 2<<20; i++ {
		fmt.Fprintf(&b, "%08x", i*2654435761)
	}
	return b.Bytes()[:2<<20]
}()

// writeInPieces writes text in pieces of size bytes.
func writeInPieces(c net.Conn, text []byte, size int) {
	for len(text) > 0 {
		n := min(len(text), size)
		if _, err := c.Write(text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// chunkedBody returns text in chunks of size bytes. last adds the last chunk and a trailer.
func chunkedBody(text []byte, size int, last bool) []byte {
	var b bytes.Buffer
	for len(text) > 0 {
		n := min(len(text), size)
		fmt.Fprintf(&b, "%x;ext=1\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	if last {
		b.WriteString("0\r\nX-Trailer: y\r\n\r\n")
	}
	return b.Bytes()
}

// TestLongResponses checks that long responses in every framing reach the client byte for byte, for
// HTTP/1.1 and HTTP/1.0, and that the module is told when they start.
func TestLongResponses(t *testing.T) {
	for _, tt := range []struct {
		name, head string
		body       []byte
	}{
		{"with a length", fmt.Sprintf("Content-Length: %d\r\n", len(longBody)), longBody},
		{"chunked", "Transfer-Encoding: chunked\r\n", chunkedBody(longBody, 10_000, true)},
		{"until close", "Connection: close\r\n", longBody},
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(tt.name+" to HTTP/"+version, func(t *testing.T) {
				m := newScriptedModule()
				sc := startSidecar(t, m, startServer(t, respondWith(func(q *http.Request, c net.Conn) {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Novel: 1\r\n"+tt.head+"\r\n")
					writeInPieces(c, tt.body, 7777)
					if strings.Contains(tt.head, "close") {
						c.Close()
					}
				})), "127.0.0.1:1")
				c := sc.connect(t)
				c.write(strings.Replace(plainGet, "HTTP/1.1", "HTTP/"+version, 1))
				resp, body := c.read(t)
				if resp.StatusCode != http.StatusOK || sha256.Sum256([]byte(body)) != sha256.Sum256(longBody) || resp.Header.Get("X-Novel") != "1" {
					t.Errorf("status %d, %d bytes, header %v", resp.StatusCode, len(body), resp.Header)
				}
				receive(t, "the start of the response", m.responseStarts)
				if o := receive(t, "outcome", m.outcomes); o.Status != policy.OK || !o.Final {
					t.Errorf("outcome %+v", o)
				}
			})
		}
	}
}

// TestTruncatedLongResponse checks that a client can always tell a truncated response from a
// complete one, and that the request is not sent again.
func TestTruncatedLongResponse(t *testing.T) {
	for _, tt := range []struct {
		name, head string
		body       []byte
	}{
		{"with a length", fmt.Sprintf("Content-Length: %d\r\n", len(longBody)), longBody[:1<<20]},
		{"chunked", "Transfer-Encoding: chunked\r\n", chunkedBody(longBody[:1<<20], 10_000, false)},
		{"invalid chunk", "Transfer-Encoding: chunked\r\n", append(chunkedBody(longBody[:1<<20], 10_000, false), "no chunk\r\n"...)},
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(tt.name+" to HTTP/"+version, func(t *testing.T) {
				m := newScriptedModule()
				sc := startSidecar(t, m, startServer(t, respondWith(func(q *http.Request, c net.Conn) {
					io.WriteString(c, "HTTP/1.1 200 OK\r\n"+tt.head+"\r\n")
					c.Write(tt.body)
					c.Close()
				})), "127.0.0.1:1")
				c := sc.connect(t)
				c.write(strings.Replace(plainGet, "HTTP/1.1", "HTTP/"+version, 1))
				resp, err := http.ReadResponse(c.r, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatal(resp, err)
				}
				if n, err := io.Copy(io.Discard, resp.Body); err == nil {
					t.Errorf("%d bytes look like a complete response", n)
				}
				if o := receive(t, "outcome", m.outcomes); o.Status != policy.Reset || !o.Final {
					t.Errorf("outcome %+v, want Reset", o)
				}
			})
		}
	}
}

// TestClientDisconnectsDuringResponse checks that the server's connection is closed with the
// client's, and that both descriptors are released.
func TestClientDisconnectsDuringResponse(t *testing.T) {
	closed := make(chan struct{})
	m := newScriptedModule()
	sc := startSidecar(t, m, startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 32<<20)
		for {
			if _, err := c.Write(make([]byte, 1<<16)); err != nil {
				close(closed)
				return
			}
		}
	})), "127.0.0.1:1")
	c := sc.connect(t)
	c.write(plainGet)
	if _, err := io.ReadFull(c.r, make([]byte, 100_000)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	receive(t, "the end of the server's connection", closed)
	if o := receive(t, "outcome", m.outcomes); o.Status != policy.OK || !o.Final {
		t.Errorf("outcome %+v, want OK: a client's disconnect is no evidence against the server", o)
	}
	// One descriptor is reserved for the next client.
	eventually(t, "all descriptors are released", func() bool { return sc.inUse() == 1 })
}

// postHead returns the head of a request with a body of n bytes, or with a chunked body if n is
// negative.
func postHead(n int) string {
	framing := fmt.Sprintf("Content-Length: %d", n)
	if n < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\n" + framing + "\n\n"
}

// TestLongRequests checks that long bodies in both framings reach the server byte for byte. Bodies
// that fit into memory are buffered; others are streamed, and the module is told when their upload
// ends.
func TestLongRequests(t *testing.T) {
	for _, tt := range []struct {
		name     string
		length   int
		body     []byte
		want     []byte
		uploaded bool
	}{
		{"buffered", 1 << 20, longBody[:1<<20], longBody[:1<<20], false},
		{"with a length", len(longBody), longBody, longBody, true},
		{"chunked", -1, chunkedBody(longBody, 9999, true), longBody, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr, got := startRecordingServer(t)
			m := newScriptedModule()
			sc := startSidecar(t, m, addr, "127.0.0.1:1")
			c := sc.connect(t)
			for range 2 { // the connections are reused
				c.write(postHead(tt.length))
				writeInPieces(c, tt.body, 12345)
				if resp, body := c.read(t); resp.StatusCode != http.StatusOK || body != "ok" {
					t.Fatalf("status %d %q", resp.StatusCode, body)
				}
				if s := receive(t, "request", got); s.bodyLength != len(tt.want) || s.bodySum != sha256.Sum256(tt.want) {
					t.Errorf("the server received %d bytes of %d, or a different body", s.bodyLength, len(tt.want))
				}
				if o := receive(t, "outcome", m.outcomes); o.Status != policy.OK || o.NoResend != tt.uploaded {
					t.Errorf("outcome %+v", o)
				}
			}
			if n := len(m.uploads); (n == 2) != tt.uploaded {
				t.Errorf("the module was told of %d uploads", n)
			}
		})
	}
}

// TestStreamedRequestsAreNotResent checks that a streamed request is not sent again. A request
// that certainly has not run is refused at once, and one that may have run fails. Both responses
// reach a client that is still writing.
func TestStreamedRequestsAreNotResent(t *testing.T) {
	for _, tt := range []struct {
		name    string
		respond func(r *bufio.Reader, c net.Conn)
		want    int
	}{
		{"rejected before it is read", func(_ *bufio.Reader, c net.Conn) {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusServiceUnavailable},
		{"rejected", func(r *bufio.Reader, c net.Conn) {
			io.CopyN(io.Discard, r, int64(len(longBody)))
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusServiceUnavailable},
		{"failed", func(r *bufio.Reader, c net.Conn) {
			io.CopyN(io.Discard, r, int64(len(longBody)))
			io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusBadGateway},
	} {
		t.Run(tt.name, func(t *testing.T) {
			attempts := make(chan struct{}, 10)
			end := make(chan struct{})
			defer close(end)
			sc := startSidecar(t, nil, startServer(t, func(_ int, c net.Conn) {
				r := bufio.NewReader(c)
				q, err := http.ReadRequest(r)
				if err != nil || q.URL.Path == "/load" {
					c.Close()
					return
				}
				attempts <- struct{}{}
				tt.respond(r, c)
				<-end
			}), "127.0.0.1:1")
			c := sc.connect(t)
			c.write(postHead(len(longBody)))
			c.Write(longBody)
			resp, _ := c.read(t)
			if resp.StatusCode != tt.want {
				t.Errorf("status %d, want %d", resp.StatusCode, tt.want)
			}
			if n := len(attempts); n != 1 {
				t.Errorf("sent %d times", n)
			}
			eventually(t, "no state is retained", func() bool { return sc.engine.Snapshot().Retained == 0 })
		})
	}
}

// TestEarlyResponseAfterTimeout checks that a response that rejects a long request during its
// upload is used even if the upload has already taken longer than the client's timeout, which has
// not started.
func TestEarlyResponseAfterTimeout(t *testing.T) {
	m := newScriptedModule()
	end := make(chan struct{})
	defer close(end)
	sc := startSidecar(t, m, startServer(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err == nil {
			io.CopyN(io.Discard, r, 1<<20)
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, r)
		}
		<-end
	}), "127.0.0.1:1")
	c := sc.connect(t)
	c.write(strings.Replace(postHead(len(longBody)), "9000", "100", 1))
	c.Write(longBody[:1<<19])
	time.Sleep(300 * time.Millisecond)
	c.Write(longBody[1<<19:])
	c.read(t)
	if o := receive(t, "outcome", m.outcomes); o.Status != policy.Overloaded {
		t.Errorf("outcome %+v, want Overloaded", o)
	}
}

// TestBrokenUpload checks that a long body that stalls, is truncated or has an invalid chunk ends
// its request and the attempt.
func TestBrokenUpload(t *testing.T) {
	for _, tt := range []struct {
		name  string
		write func(c *testClient)
		want  int
	}{
		{"stalls", func(c *testClient) { c.write(postHead(len(longBody))); c.Write(longBody[:1<<20]) }, http.StatusRequestTimeout},
		{"is truncated", func(c *testClient) {
			c.write(postHead(len(longBody)))
			c.Write(longBody[:1<<20])
			c.Conn.(*net.TCPConn).CloseWrite()
		}, http.StatusBadRequest},
		{"has an invalid chunk", func(c *testClient) {
			c.write(postHead(-1))
			c.Write(append(chunkedBody(longBody, 9999, false), "no chunk\r\n"...))
		}, http.StatusBadRequest},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ended := make(chan error, 10)
			sc := startSidecar(t, nil, startServer(t, func(_ int, c net.Conn) {
				defer c.Close()
				q, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil || q.URL.Path == "/load" {
					return
				}
				_, err = io.Copy(io.Discard, q.Body)
				ended <- err
			}), "127.0.0.1:1")
			c := sc.connect(t)
			go tt.write(c)
			if resp, err := http.ReadResponse(c.r, nil); err != nil || resp.StatusCode != tt.want {
				t.Errorf("response %v, %v; want status %d", resp, err, tt.want)
			}
			if err := receive(t, "the end of the body at the server", ended); err == nil {
				t.Error("the server takes the body for complete")
			}
			eventually(t, "no state is retained", func() bool { return sc.engine.Snapshot().Retained == 0 })
		})
	}
}

// TestUploadDoesNotUseTimeout checks that a request's timeout starts at the end of its body, and is
// not shortened by the upload.
func TestUploadDoesNotUseTimeout(t *testing.T) {
	timeouts := make(chan int, 1)
	sc := startSidecar(t, nil, startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		if q.URL.Path != "/load" {
			ms, _ := strconv.Atoi(q.Header.Get("X-Timeout-Ms"))
			timeouts <- ms
		}
		io.Copy(io.Discard, q.Body)
		time.Sleep(20 * time.Millisecond)
		io.WriteString(c, strings.ReplaceAll(okResponse, "\n", "\r\n"))
	})), "127.0.0.1:1")
	c := sc.connect(t)
	c.write(strings.Replace(postHead(len(longBody)), "9000", "400", 1))
	for range 4 { // 600 ms in total
		c.Write(longBody[:len(longBody)/4])
		time.Sleep(150 * time.Millisecond)
	}
	if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	if ms := receive(t, "the timeout", timeouts); ms < 1 || ms > 400 {
		t.Errorf("the server is told a timeout of %d ms, want at most 400", ms)
	}
}

// TestSlowResponse checks that a response is complete if it arrives in small pieces over a time
// longer than the stall timeout.
func TestSlowResponse(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		for _, b := range []byte("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n0123456789abcdefghij") {
			c.Write([]byte{b})
			time.Sleep(15 * time.Millisecond)
		}
	})), "127.0.0.1:1")
	if resp, body := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK || body != "0123456789abcdefghij" {
		t.Errorf("status %d %q", resp.StatusCode, body)
	}
}

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

// longBody is longer than is ever held whole, and no two places of it are alike.
var longBody = func() []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < 2<<20; i++ {
		fmt.Fprintf(&b, "%08x", i*2654435761)
	}
	return b.Bytes()[:2<<20]
}()

// writeInPieces writes text in writeInPieces of some size.
func writeInPieces(c net.Conn, text []byte, size int) {
	for len(text) > 0 {
		n := min(len(text), size)
		if _, err := c.Write(text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// chunkedBody is text in chunks.
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

// TestLongAnswers: answers in every framing come to the client byte for byte, whichever version it speaks, and the module
// hears of their begin.
func TestLongAnswers(t *testing.T) {
	for _, tt := range []struct {
		name, head string
		body       []byte
	}{
		{"of a length", fmt.Sprintf("Content-Length: %d\r\n", len(longBody)), longBody},
		{"in chunks", "Transfer-Encoding: chunked\r\n", chunkedBody(longBody, 10_000, true)},
		{"to the end", "Connection: close\r\n", longBody},
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
					t.Errorf("%d, %d bytes, %v", resp.StatusCode, len(body), resp.Header)
				}
				receive(t, "begin of the answer", m.responseStarts)
				if o := receive(t, "outcome", m.outcomes); o.Status != policy.OK || !o.Final {
					t.Errorf("outcome %+v", o)
				}
			})
		}
	}
}

// TestLongAnswerBreaks: a client can always tell an answer that broke off from a whole one, and nothing is sent again.
func TestLongAnswerBreaks(t *testing.T) {
	for _, tt := range []struct {
		name, head string
		body       []byte
	}{
		{"of a length", fmt.Sprintf("Content-Length: %d\r\n", len(longBody)), longBody[:1<<20]},
		{"in chunks", "Transfer-Encoding: chunked\r\n", chunkedBody(longBody[:1<<20], 10_000, false)},
		{"in chunks that are none", "Transfer-Encoding: chunked\r\n", append(chunkedBody(longBody[:1<<20], 10_000, false), "no chunk\r\n"...)},
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
					t.Errorf("%d bytes pass for whole", n)
				}
				if o := receive(t, "outcome", m.outcomes); o.Status != policy.Reset || !o.Final {
					t.Errorf("outcome %+v, want Reset", o)
				}
			})
		}
	}
}

// TestClientLeavesLongAnswer: the upstream's connection ends with the client, and both descriptors come back.
func TestClientLeavesLongAnswer(t *testing.T) {
	left := make(chan struct{})
	m := newScriptedModule()
	sc := startSidecar(t, m, startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 32<<20)
		for {
			if _, err := c.Write(make([]byte, 1<<16)); err != nil {
				close(left)
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
	receive(t, "end of the upstream's connection", left)
	if o := receive(t, "outcome", m.outcomes); o.Status != policy.OK || !o.Final {
		t.Errorf("outcome %+v: what a client does says nothing of the upstream", o)
	}
	eventually(t, "all descriptors are back", func() bool { return sc.inUse() == 1 }) // that of the next client
}

// postHead is a request with a body of n bytes that is still to be written, or in chunks if n is negative.
func postHead(n int) string {
	framing := fmt.Sprintf("Content-Length: %d", n)
	if n < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return "POST /pay/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\n" + framing + "\n\n"
}

// TestLongRequests: bodies in both framings come to the upstream byte for byte, those that fit into memory whole and others
// as they come, of whose end the module hears.
func TestLongRequests(t *testing.T) {
	for _, tt := range []struct {
		name     string
		length   int
		body     []byte
		want     []byte
		uploaded bool
	}{
		{"held", 1 << 20, longBody[:1<<20], longBody[:1<<20], false},
		{"of a length", len(longBody), longBody, longBody, true},
		{"in chunks", -1, chunkedBody(longBody, 9999, true), longBody, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr, got := startRecordingServer(t)
			m := newScriptedModule()
			sc := startSidecar(t, m, addr, "127.0.0.1:1")
			c := sc.connect(t)
			for range 2 { // the connections can carry more
				c.write(postHead(tt.length))
				writeInPieces(c, tt.body, 12345)
				if resp, body := c.read(t); resp.StatusCode != http.StatusOK || body != "ok" {
					t.Fatalf("answer %d %q", resp.StatusCode, body)
				}
				if s := receive(t, "request", got); s.bodyLength != len(tt.want) || s.bodySum != sha256.Sum256(tt.want) {
					t.Errorf("%d bytes came of %d, or changed", s.bodyLength, len(tt.want))
				}
				if o := receive(t, "outcome", m.outcomes); o.Status != policy.OK || o.NoResend != tt.uploaded {
					t.Errorf("outcome %+v", o)
				}
			}
			if n := len(m.uploads); (n == 2) != tt.uploaded {
				t.Errorf("the module hears of %d ends", n)
			}
		})
	}
}

// TestSpentRequests: what has been sent as it came is not sent again. One that has never run is refused, at once and
// truly; one that may have run has failed, and both answers reach a client that is still writing.
func TestSpentRequests(t *testing.T) {
	for _, tt := range []struct {
		name   string
		answer func(r *bufio.Reader, c net.Conn)
		want   int
	}{
		{"turned away before it was read", func(_ *bufio.Reader, c net.Conn) {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusServiceUnavailable},
		{"turned away", func(r *bufio.Reader, c net.Conn) {
			io.CopyN(io.Discard, r, int64(len(longBody)))
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusServiceUnavailable},
		{"failed", func(r *bufio.Reader, c net.Conn) {
			io.CopyN(io.Discard, r, int64(len(longBody)))
			io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusBadGateway},
	} {
		t.Run(tt.name, func(t *testing.T) {
			sent := make(chan struct{}, 10)
			end := make(chan struct{})
			defer close(end)
			sc := startSidecar(t, nil, startServer(t, func(_ int, c net.Conn) {
				r := bufio.NewReader(c)
				q, err := http.ReadRequest(r)
				if err != nil || q.URL.Path == "/load" {
					c.Close()
					return
				}
				sent <- struct{}{}
				tt.answer(r, c)
				<-end
			}), "127.0.0.1:1")
			c := sc.connect(t)
			c.write(postHead(len(longBody)))
			c.Write(longBody)
			resp, _ := c.read(t)
			if resp.StatusCode != tt.want {
				t.Errorf("answer %d, want %d", resp.StatusCode, tt.want)
			}
			if n := len(sent); n != 1 {
				t.Errorf("sent %d times", n)
			}
			eventually(t, "it is forgotten", func() bool { return sc.engine.Snapshot().Retained == 0 })
		})
	}
}

// TestLateEarlyAnswer: an upstream that turns a long request away while it comes is heard, also when that took longer than the
// client's time, which has not begun.
func TestLateEarlyAnswer(t *testing.T) {
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
		t.Errorf("outcome %+v, want that of its answer", o)
	}
}

// TestBodyBreaks: a long body that stands still, breaks off or is too long ends its request and the attempt that it had.
func TestBodyBreaks(t *testing.T) {
	for _, tt := range []struct {
		name  string
		write func(c *testClient)
		want  int
	}{
		{"stands still", func(c *testClient) { c.write(postHead(len(longBody))); c.Write(longBody[:1<<20]) }, http.StatusRequestTimeout},
		{"breaks off", func(c *testClient) {
			c.write(postHead(len(longBody)))
			c.Write(longBody[:1<<20])
			c.Conn.(*net.TCPConn).CloseWrite()
		}, http.StatusBadRequest},
		{"has a chunk that is none", func(c *testClient) {
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
				t.Errorf("answer %v, %v; want %d", resp, err, tt.want)
			}
			if err := receive(t, "end at the upstream", ended); err == nil {
				t.Error("the upstream takes it for whole")
			}
			eventually(t, "it is forgotten", func() bool { return sc.engine.Snapshot().Retained == 0 })
		})
	}
}

// TestTimeCountsFromTheLastByte: while a body comes its request's time does not run, and it runs whole from its end.
func TestTimeCountsFromTheLastByte(t *testing.T) {
	waits := make(chan int, 1)
	sc := startSidecar(t, nil, startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		if q.URL.Path != "/load" {
			ms, _ := strconv.Atoi(q.Header.Get("X-Timeout-Ms"))
			waits <- ms
		}
		io.Copy(io.Discard, q.Body)
		time.Sleep(20 * time.Millisecond)
		io.WriteString(c, strings.ReplaceAll(okResponse, "\n", "\r\n"))
	})), "127.0.0.1:1")
	c := sc.connect(t)
	c.write(strings.Replace(postHead(len(longBody)), "9000", "400", 1))
	for range 4 { // 600 ms in all
		c.Write(longBody[:len(longBody)/4])
		time.Sleep(150 * time.Millisecond)
	}
	if resp, _ := c.read(t); resp.StatusCode != http.StatusOK {
		t.Errorf("answer %d", resp.StatusCode)
	}
	if ms := receive(t, "wait", waits); ms < 1 || ms > 400 {
		t.Errorf("the upstream is told to wait %d ms", ms)
	}
}

// TestSlowPieces: an answer that comes in small pieces over longer than it may stand still is whole.
func TestSlowPieces(t *testing.T) {
	sc := startSidecar(t, newScriptedModule(), startServer(t, respondWith(func(q *http.Request, c net.Conn) {
		for _, b := range []byte("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n0123456789abcdefghij") {
			c.Write([]byte{b})
			time.Sleep(15 * time.Millisecond)
		}
	})), "127.0.0.1:1")
	if resp, body := sc.roundTrip(t, plainGet); resp.StatusCode != http.StatusOK || body != "0123456789abcdefghij" {
		t.Errorf("answer %d %q", resp.StatusCode, body)
	}
}

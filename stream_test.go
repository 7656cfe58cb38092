package quillfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"
)

// TestHandlerPassesAnswersOnAsTheyCome guards against the start of a long answer that Handler keeps in
// net/http's buffer until its server has written more: the first bytes of it are timed.
func TestHandlerPassesAnswersOnAsTheyCome(t *testing.T) {
	const (
		size    = 100 << 10
		clients = 500 * time.Millisecond // their time
		pause   = 2 * time.Second
	)
	release := make(chan struct{})
	origin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		w.Write(make([]byte, 100))
		w.(http.Flusher).Flush()
		select {
		case <-release:
		case <-time.After(pause):
		}
		w.Write(make([]byte, size-100))
	}))
	defer origin.Close()
	b, err := New(Config{Classes: testClasses, Reports: Never, Servers: Static(Server{ID: "a", Addr: origin.Listener.Addr().String()})})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	front := httptest.NewServer(b.Handler())
	defer front.Close()
	q, _ := http.NewRequest(http.MethodGet, front.URL+"/read/k", nil)
	q.Header.Set("X-Request-ID", "1")
	q.Header.Set("X-Timeout-Ms", strconv.Itoa(int(clients.Milliseconds())))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	begun := time.Now()
	resp, err := transport.RoundTrip(q)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, 100)); err != nil || time.Since(begun) > pause/2 {
		t.Errorf("status %d, the first bytes after %v of %v: %v", resp.StatusCode, time.Since(begun), clients, err)
	}
	close(release)
	if n, err := io.Copy(io.Discard, resp.Body); n != size-100 || err != nil {
		t.Errorf("%d more bytes, %v", n, err)
	}
}

// TestHandlerServesLongEarlyAnswer guards against a long answer that is cut off because its server
// gave it before it had the whole request, so that the client's body is no longer read.
func TestHandlerServesLongEarlyAnswer(t *testing.T) {
	const size = 1 << 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", size)
				for range 16 {
					c.Write(make([]byte, size/16))
					time.Sleep(20 * time.Millisecond)
				}
				io.WriteString(c, "\r\n0\r\n\r\n")
				io.Copy(io.Discard, c)
			}()
		}
	}()
	b, err := New(Config{Classes: testClasses, Reports: Never, Servers: Static(Server{ID: "a", Addr: ln.Addr().String()})})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	front := httptest.NewServer(b.Handler())
	defer front.Close()
	c, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "POST /pay/k HTTP/1.1\r\nHost: fleet\r\nX-Request-ID: 1\r\nX-Timeout-Ms: 5000\r\nContent-Length: %d\r\n\r\n", size)
	go func() { // the client sends slowly, and longer than the answer takes
		for range 100 {
			if _, err := c.Write(make([]byte, size/100)); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); resp.StatusCode != http.StatusOK || n != size || err != nil {
		t.Errorf("status %d, %d of %d bytes, %v", resp.StatusCode, n, size, err)
	}
}

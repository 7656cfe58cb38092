package services

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// TestShutdownAnswersOpenRequests checks that Shutdown answers every request within the patience
// although the server hangs: requests that were open before, an incomplete request, and one that
// arrives shortly before the end.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	const patience = 800 * time.Millisecond
	arrived, finish := make(chan string, 10), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		arrived <- q.URL.Path
		select {
		case <-finish:
		case <-q.Context().Done():
		}
	}))
	defer srv.Close()
	defer close(finish)
	s, addr := serveHTTP(t, httpConfig(`patience = "800ms"`, srv.Listener.Addr().String()))
	connect := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return c, bufio.NewReader(c)
	}
	var wg sync.WaitGroup
	expectError := func(name string, r *bufio.Reader) {
		wg.Go(func() {
			resp, err := http.ReadResponse(r, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil || resp.StatusCode/100 != 5 || !resp.Close {
				t.Errorf("%s: response %+v, %v; want a complete 5xx response with Connection: close", name, resp, err)
			}
		})
	}
	open, openReader := connect()
	io.WriteString(open, "GET /open HTTP/1.1\r\nHost: s\r\n\r\n")
	body, bodyReader := connect()
	fmt.Fprintf(body, "POST /upload HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\nx", 64<<20)
	for range 2 {
		<-arrived
	}
	part, partReader := connect()
	io.WriteString(part, "GET /part HTTP/1.1\r\nHost")
	late, lateReader := connect()
	io.WriteString(late, "GET /late HTTP/1.1\r\nHost: s\r\n\r")
	expectError("open", openReader)
	expectError("with a stalled body", bodyReader)
	expectError("incomplete", partReader)
	expectError("late", lateReader)
	start := time.Now()
	time.AfterFunc(patience*7/8, func() { io.WriteString(late, "\n") })
	s.Shutdown(context.Background())
	if took := time.Since(start); took < patience/2 || took > patience+2*time.Second {
		t.Errorf("Shutdown took %v, want about %v", took, patience)
	}
	wg.Wait()
	if len(arrived) > 0 {
		t.Errorf("%s was forwarded during the shutdown", <-arrived)
	}
}

// TestShutdownContextBeforePatience checks that a context that ends before the patience bounds the
// shutdown, and that requests are answered before the context ends.
func TestShutdownContextBeforePatience(t *testing.T) {
	arrived := make(chan struct{}, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		arrived <- struct{}{}
		<-q.Context().Done()
	}))
	defer srv.Close()
	s, addr := serveHTTP(t, httpConfig(`patience = "1m"`, srv.Listener.Addr().String()))
	result := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + addr + "/")
		if err == nil && resp.StatusCode/100 != 5 {
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		result <- err
	}()
	<-arrived
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	s.Shutdown(ctx)
	if err := <-result; err != nil {
		t.Error(err)
	}
}

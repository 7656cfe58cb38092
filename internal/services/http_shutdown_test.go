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

// TestShutdownAnswersOpenRequests: what an address of HTTP has read as its process is to end is answered within its patience, though the server
// hangs: what was open before, what comes in part and is never whole, and what comes after the last was forwarded.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	const patience = 800 * time.Millisecond
	arrived, over := make(chan string, 10), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		arrived <- q.URL.Path
		select {
		case <-over:
		case <-q.Context().Done():
		}
	}))
	defer srv.Close()
	defer close(over)
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
	var answers sync.WaitGroup
	answered := func(what string, r *bufio.Reader) {
		answers.Go(func() {
			resp, err := http.ReadResponse(r, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil || resp.StatusCode/100 != 5 || !resp.Close {
				t.Errorf("%s: answer %+v, %v; want a whole one that tells of a failure and closes", what, resp, err)
			}
		})
	}
	open, openAnswer := connect()
	io.WriteString(open, "GET /open HTTP/1.1\r\nHost: s\r\n\r\n")
	body, bodyAnswer := connect()
	fmt.Fprintf(body, "POST /upload HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\nx", 64<<20)
	for range 2 {
		<-arrived
	}
	part, partAnswer := connect()
	io.WriteString(part, "GET /part HTTP/1.1\r\nHost")
	late, lateAnswer := connect()
	io.WriteString(late, "GET /late HTTP/1.1\r\nHost: s\r\n\r")
	answered("open", openAnswer)
	answered("with a body that stands still", bodyAnswer)
	answered("in part", partAnswer)
	answered("late", lateAnswer)
	began := time.Now()
	time.AfterFunc(patience*7/8, func() { io.WriteString(late, "\n") })
	s.Shutdown(context.Background())
	if took := time.Since(began); took < patience/2 || took > patience+2*time.Second {
		t.Errorf("the end took %v, want about %v", took, patience)
	}
	answers.Wait()
	if len(arrived) > 0 {
		t.Errorf("%s was forwarded in the end", <-arrived)
	}
}

// TestShutdownContextBeforePatience: a context that ends before the patience bounds it, and the answers come before that too.
func TestShutdownContextBeforePatience(t *testing.T) {
	arrived := make(chan struct{}, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		arrived <- struct{}{}
		<-q.Context().Done()
	}))
	defer srv.Close()
	s, addr := serveHTTP(t, httpConfig(`patience = "1m"`, srv.Listener.Addr().String()))
	answer := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + addr + "/")
		if err == nil && resp.StatusCode/100 != 5 {
			err = fmt.Errorf("answer %d", resp.StatusCode)
		}
		answer <- err
	}()
	<-arrived
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	s.Shutdown(ctx)
	if err := <-answer; err != nil {
		t.Error(err)
	}
}

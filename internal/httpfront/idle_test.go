package httpfront

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/sockets"
	"quillfront/internal/standin"
	"quillfront/policy"
)

// TestRequestThatCrossedTheDeadline: a request that the kernel had when the wait for it ended is served, however late the
// goroutine gets its turn; a connection on which nothing came is closed.
func TestRequestThatCrossedTheDeadline(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	e := engine.New(engine.Options{Config: policy.Config{}, Module: standin.Once{}, Transport: answering(), Log: log})
	defer e.Close()
	s := New(e, nil, NewRoom(24), sockets.New(64), log)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, text := range []string{"GET /healthz HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n", ""} {
		near, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer near.Close()
		near.SetDeadline(time.Now().Add(20 * time.Second))
		far, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(near, text); err != nil {
			t.Fatal(err)
		}
		c := &clientConn{Conn: far, release: func() {}, peek: sockets.NewPeeker(far), since: time.Now().Add(-time.Minute), more: make(chan error, 1)}
		for text != "" && c.peek.NothingCame() {
			time.Sleep(time.Millisecond)
		}
		c.r = bufio.NewReaderSize(c, mostClientHead)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.open.Go(func() { s.serve(c) }) // its time was up a minute ago
		resp, err := http.ReadResponse(bufio.NewReader(near), nil)
		if text == "" && err == nil {
			t.Errorf("answer %d to nothing", resp.StatusCode)
		}
		if text != "" && (err != nil || resp.StatusCode != http.StatusOK) {
			t.Errorf("answer %v, %v", resp, err)
		}
		s.open.Wait()
	}
}

// TestKeepAliveIsBelowTheLimit: what is announced is the whole seconds below the true limit.
func TestKeepAliveIsBelowTheLimit(t *testing.T) {
	text, ok := strings.CutPrefix(strings.TrimSpace(keepAlive), "Keep-Alive: timeout=")
	n, err := strconv.Atoi(text)
	if announced := time.Duration(n) * time.Second; !ok || err != nil || announced >= idleTime || announced+time.Second < idleTime {
		t.Errorf("%q is announced, and the limit is %v", keepAlive, idleTime)
	}
}

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
	"quillfront/internal/shutdown"
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
	s := New(e, nil, NewBodyBudget(24), sockets.New(64), log)
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
		for text != "" && c.peek.Empty() {
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

// TestDrainClosesWhatIsQuiet: a drain closes connections that have been quiet for a while, and neither such as were just used, whose next
// request would cross the close, nor such on which one has come.
func TestDrainClosesWhatIsQuiet(t *testing.T) {
	s := New(nil, nil, NewBodyBudget(24), sockets.New(64), slog.New(slog.DiscardHandler))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, tt := range []struct {
		name  string
		phase phase
		quiet time.Duration
		says  string
		stays bool
	}{
		{"quiet", idle, usedTime, "", false},
		{"just used", idle, -time.Hour, "", true}, // ahead of any stall of this test
		{"a request has come", idle, time.Minute, "GET", true},
		{"new", fresh, usedTime, "", true},
		{"never used", fresh, freshTime, "", false},
		{"a request is open", serving, time.Minute, "", true},
	} {
		near, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer near.Close()
		far, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
		io.WriteString(near, tt.says)
		c := &clientConn{Conn: far, release: func() {}, peek: sockets.NewPeeker(far), phase: tt.phase, since: time.Now().Add(-tt.quiet)}
		for tt.says != "" && c.peek.Empty() {
			time.Sleep(time.Millisecond)
		}
		s.mu.Lock()
		s.over = true // no further sweep by itself
		s.conns[c] = struct{}{}
		s.schedule = shutdown.Within(time.Now(), time.Minute)
		s.sweep()
		if _, stays := s.conns[c]; stays != tt.stays {
			t.Errorf("%s: it stays: %v, want %v", tt.name, stays, tt.stays)
		}
		delete(s.conns, c)
		s.mu.Unlock()
	}
}

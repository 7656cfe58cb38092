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

// TestRequestArrivedAtIdleDeadline checks that a request that has reached the kernel when its
// wait times out is served, however late the goroutine is scheduled, and that a connection
// without data is closed.
func TestRequestArrivedAtIdleDeadline(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	e := engine.New(engine.Options{Config: policy.Config{}, Module: standin.SingleAttempt{}, Transport: newNumberingTransport(), Log: log})
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
		c := &clientConn{Conn: far, release: func() {}, peek: sockets.NewPeeker(far), since: time.Now().Add(-time.Minute), nextReady: make(chan error, 1)}
		for text != "" && c.peek.Empty() {
			time.Sleep(time.Millisecond)
		}
		c.r = bufio.NewReaderSize(c, maxRequestHead)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.connWG.Go(func() { s.serve(c) }) // the deadline passed a minute ago
		resp, err := http.ReadResponse(bufio.NewReader(near), nil)
		if text == "" && err == nil {
			t.Errorf("response %d without a request", resp.StatusCode)
		}
		if text != "" && (err != nil || resp.StatusCode != http.StatusOK) {
			t.Errorf("response %v, %v", resp, err)
		}
		s.connWG.Wait()
	}
}

// TestKeepAliveBelowIdleTimeout checks that the announced timeout is the largest number of whole
// seconds below idleTimeout.
func TestKeepAliveBelowIdleTimeout(t *testing.T) {
	text, ok := strings.CutPrefix(strings.TrimSpace(keepAliveLine), "Keep-Alive: timeout=")
	n, err := strconv.Atoi(text)
	if announced := time.Duration(n) * time.Second; !ok || err != nil || announced >= idleTimeout || announced+time.Second < idleTimeout {
		t.Errorf("%q is announced, but the idle timeout is %v", keepAliveLine, idleTimeout)
	}
}

// TestDrainClosesIdleConnections checks that a drain closes connections that have been idle for a
// while. It must not close recently used ones, whose next request would cross the close, or those
// on which a request has arrived.
func TestDrainClosesIdleConnections(t *testing.T) {
	s := New(nil, nil, NewBodyBudget(24), sockets.New(64), slog.New(slog.DiscardHandler))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, tt := range []struct {
		name  string
		phase phase
		idle  time.Duration
		input string
		open  bool
	}{
		{"idle", phaseIdle, usedConnGrace, "", false},
		// Far enough in the future for any stall of the test.
		{"recently used", phaseIdle, -time.Hour, "", true},
		{"request arrived", phaseIdle, time.Minute, "GET", true},
		{"new", phaseNew, usedConnGrace, "", true},
		{"never used", phaseNew, newConnGrace, "", false},
		{"request open", phaseServing, time.Minute, "", true},
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
		io.WriteString(near, tt.input)
		c := &clientConn{Conn: far, release: func() {}, peek: sockets.NewPeeker(far), phase: tt.phase, since: time.Now().Add(-tt.idle)}
		for tt.input != "" && c.peek.Empty() {
			time.Sleep(time.Millisecond)
		}
		s.mu.Lock()
		s.closed = true // prevents further scheduled sweeps
		s.conns[c] = struct{}{}
		s.schedule = shutdown.Within(time.Now(), time.Minute)
		s.sweep()
		if _, open := s.conns[c]; open != tt.open {
			t.Errorf("%s: open: %v, want %v", tt.name, open, tt.open)
		}
		delete(s.conns, c)
		s.mu.Unlock()
	}
}

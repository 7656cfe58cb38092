package services

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"quillfront/internal/engine"
)

// startFullServer returns the address of a listener whose accept queue is full, so that connecting
// to it blocks.
func startFullServer(t *testing.T) string {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	raw, err := ln.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		t.Fatal(err)
	}
	for {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return ln.Addr().String()
		}
		t.Cleanup(func() { c.Close() })
	}
}

// TestClientDisconnectWithUnreadData checks that the disconnect of a client whose request waits is
// detected even if unread data, a pipelined request or a body, precedes the end of the connection.
func TestClientDisconnectWithUnreadData(t *testing.T) {
	for name, text := range map[string]string{
		"pipelined request, at once": "GET /a HTTP/1.1\nHost: s\n\nGET /b HTTP/1.1\nHost: s\n\n",
		"pipelined request, later":   "GET /a HTTP/1.1\nHost: s\n\n|GET /b HTTP/1.1\nHost: s\n\n",
		"body":                       "PUT /a HTTP/1.1\nHost: s\nTransfer-Encoding: chunked\n\n4\nbody\n4\nmore\n0\nX-Trailer: t\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, addr := serveHTTP(t, strings.Replace(httpConfig("", startFullServer(t)), `dial = "1s"`, `dial = "8s"`, 1))
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			first, later, _ := strings.Cut(strings.ReplaceAll(text, "\n", "\r\n"), "|")
			io.WriteString(c, first)
			e := s.Engines()[0]
			waitUntil(t, func() bool {
				all := e.PendingRequests(0)
				return len(all) == 1 && len(all[0].OpenAttempts) == 1 && all[0].OpenAttempts[0].Stage == engine.StageConnect
			})
			io.WriteString(c, later)
			c.Close()
			waitUntil(t, func() bool {
				n := uint64(0)
				for _, c := range e.Counts() {
					n += c.Withdrawn
				}
				return n == 1
			})
			waitUntil(t, func() bool { return e.Snapshot().Retained == 0 })
		})
	}
}

// waitUntil waits until ok returns true.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the condition")
		}
	}
}

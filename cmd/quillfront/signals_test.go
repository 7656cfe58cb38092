package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"
)

// TestSignalsDuringShutdown checks that a second SIGTERM, or a SIGHUP, does not disturb a shutdown:
// accepted requests are answered, and the process exits with status 0. SIGTERM before the process
// is ready ends it.
func TestSignalsDuringShutdown(t *testing.T) {
	arrived, release := make(chan struct{}, 10), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		arrived <- struct{}{}
		<-release
		io.WriteString(w, "ok")
	}))
	defer srv.Close()
	s := startSidecar(t, platformConfig("127.0.0.1:0", srv.Listener.Addr().String()))
	answer := make(chan string, 1)
	go func() {
		resp, err := getRead(s.addr)
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		answer <- string(body)
	}()
	<-arrived
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := s.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	close(release)
	if got := <-answer; got != "ok" {
		t.Errorf("answer %q", got)
	}
	if err := s.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}

	starting := sidecarCommand(t, platformConfig("127.0.0.1:0", srv.Listener.Addr().String()))
	if err := starting.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		starting.Wait()
		close(ended)
	}()
	starting.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		starting.Process.Kill()
		t.Error("SIGTERM before the process is ready does not end it")
	}
}

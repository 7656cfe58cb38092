package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"
)

// TestSignalsCross: a second SIGTERM, and SIGHUP beside it, change nothing about a drain: what was taken is answered, and the process ends
// with 0. One that is told to end before it is ready ends.
func TestSignalsCross(t *testing.T) {
	arrived, open := make(chan struct{}, 10), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		arrived <- struct{}{}
		<-open
		io.WriteString(w, "ok")
	}))
	defer srv.Close()
	s := start(t, configText("127.0.0.1:0", srv.Listener.Addr().String()))
	answer := make(chan string, 1)
	go func() {
		resp, err := get(s.addr)
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
	close(open)
	if got := <-answer; got != "ok" {
		t.Errorf("answer %q", got)
	}
	if err := s.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}

	early := command(t, configText("127.0.0.1:0", srv.Listener.Addr().String()))
	if err := early.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		early.Wait()
		close(ended)
	}()
	early.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		early.Process.Kill()
		t.Error("SIGTERM before it is ready does not end it")
	}
}

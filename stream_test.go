package quillfront

import (
	"io"
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

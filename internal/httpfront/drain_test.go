package httpfront

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"quillfront/internal/shutdown"
	"quillfront/internal/sockets"
)

// TestFirstByteAfterAnswerTime checks that a request whose first byte arrives after every request
// had to be answered is refused at once, without waiting for the rest of it, and that a
// connection that arrives after the exit is not served.
func TestFirstByteAfterAnswerTime(t *testing.T) {
	const timeout = 20 * time.Second
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(nil, nil, nil, sockets.New(100), slog.New(slog.DiscardHandler))
	defer s.Close()
	go s.Serve(ln)
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(timeout))
	now := time.Now()
	s.Drain(shutdown.Schedule{Accept: now, Forward: now, Answer: now, Exit: now.Add(timeout)})
	<-s.answerCtx.Done()
	wrote := time.Now()
	io.WriteString(c, "G")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("response %+v, %v; want status 503 and a close", resp, err)
	}
	if took := time.Since(wrote); took > headTimeout/2 {
		t.Errorf("refused after %v: the server waited for the rest of the request", took)
	}
	s.CloseAll()
	near, far := net.Pipe()
	defer near.Close()
	released := false
	s.startConn(far, func() { released = true })
	if n := s.Stats().Open; n > 0 || !released {
		t.Errorf("after the exit: %d connections, released %v", n, released)
	}
}

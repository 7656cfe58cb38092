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

// TestFirstByteBehindTheLastAnswers: what begins to come once all has to be answered is refused as soon as it is heard, and not
// waited for; a connection that comes behind the exit is not served.
func TestFirstByteBehindTheLastAnswers(t *testing.T) {
	const patience = 20 * time.Second
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
	c.SetDeadline(time.Now().Add(patience))
	now := time.Now()
	s.Drain(shutdown.Schedule{Accept: now, Forward: now, Answer: now, Exit: now.Add(patience)})
	<-s.answerCtx.Done()
	wrote := time.Now()
	io.WriteString(c, "G")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("answer %+v, %v; want a refusal", resp, err)
	}
	if took := time.Since(wrote); took > headTimeout/2 {
		t.Errorf("it took %v: the rest of the request was waited for", took)
	}
	s.CloseAll()
	near, far := net.Pipe()
	defer near.Close()
	released := false
	s.startConn(far, func() { released = true })
	if n := s.Stats().Open; n > 0 || !released {
		t.Errorf("behind the exit: %d connections, released %v", n, released)
	}
}

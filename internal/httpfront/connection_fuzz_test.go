package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/internal/sockets"
	"quillfront/internal/standin"
	"quillfront/policy"
)

// newNumberingTransport returns a transport that responds to each attempt, after 10 ms, with its
// number.
func newNumberingTransport() *standin.Transport {
	return &standin.Transport{Result: func(n int, a *engine.Attempt, _ engine.Endpoint) engine.AttemptResult {
		if !standin.WaitUnlessCanceled(a, 10*time.Millisecond, nil) {
			return engine.AttemptResult{Status: policy.Canceled}
		}
		return engine.AttemptResult{Status: policy.OK, Reply: &httpmsg.Response{Body: strconv.AppendInt(nil, int64(n), 10)}}
	}}
}

var testClasses = []policy.Class{{Name: "read", Effect: policy.Safe, Deadline: time.Second}, {Name: "pay", Effect: policy.Unsafe, Deadline: time.Second}}

// TestConnection checks that runConnection counts responses, so that FuzzConnection is not
// vacuous: two sequential requests get two responses.
func TestConnection(t *testing.T) {
	first := "GET /read/k HTTP/1.1\r\nHost: s\r\nX-Request-ID: 1\r\n\r\n"
	text := first + "POST /pay/k HTTP/1.1\r\nHost: s\r\nX-Request-ID: 2\r\nContent-Length: 4\r\n\r\nbody"
	for _, cuts := range [][]byte{{byte(len(first)) | 0x80, 0xff}, {byte(len(first)) | 0x80, 3}} {
		synctest.Test(t, func(t *testing.T) {
			if n, err := runConnection(testClasses, []byte(text), cuts, false); n != 2 || err != nil {
				t.Errorf("%d responses, %v", n, err)
			}
		})
	}
}

// FuzzConnection checks, for any input in any pieces, that each request gets at most one
// response, that the server writes only valid responses, that a rejection is the last response,
// and that the connection ends in bounded time.
func FuzzConnection(f *testing.F) {
	get := "GET /read/k HTTP/1.1\r\nHost: s\r\nX-Request-ID: 1\r\n\r\n"
	post := "POST /pay/k HTTP/1.1\r\nHost: s\r\nX-Request-ID: 2\r\nContent-Length: 4\r\n\r\nbody"
	chunks := "POST /pay/k HTTP/1.1\r\nHost: s\r\nX-Request-ID: 3\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for _, text := range []string{get, get + get, post, post + get, chunks, chunks + post + get, "GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n" + get, "HELLO\r\n\r\n", get[:20]} {
		f.Add([]byte(text), []byte{255}, true)
		f.Add([]byte(text), []byte{7, 130, 1}, false)
		f.Add([]byte(text), []byte{byte(min(len(text), 127)), 200}, false)
	}
	f.Fuzz(func(t *testing.T, text, cuts []byte, half bool) {
		if len(text) > 1<<14 || len(cuts) > 64 {
			return
		}
		synctest.Test(t, func(t *testing.T) {
			if _, err := runConnection(testClasses, text, cuts, half); err != nil {
				t.Error(err)
			}
		})
	})
}

// runConnection writes text to a server and checks the responses. Each byte of cuts gives the
// length of a piece in its low bits, and its high bit adds a pause after the piece. half closes
// the connection after the text.
func runConnection(classes []policy.Class, text, cuts []byte, half bool) (responses int, err error) {
	transport := newNumberingTransport()
	log := slog.New(slog.DiscardHandler)
	e := engine.New(engine.Options{
		Config: policy.Config{Classes: classes}, Module: standin.SingleAttempt{Server: "a"}, Transport: transport, Log: log,
		CachedList: &engine.List{Full: true, Servers: []engine.Server{{ID: "a", Addr: "nowhere", State: policy.Ready}}},
	})
	defer e.Close()
	s := New(e, nil, NewBodyBudget(24), sockets.New(64), log)
	near, far := net.Pipe()
	s.startConn(far, func() {})
	var client sync.WaitGroup
	defer client.Wait()
	client.Go(func() {
		for i := 0; len(text) > 0; i++ {
			n := len(text)
			if len(cuts) > 0 {
				n = min(n, max(1, int(cuts[i%len(cuts)]&0x7f)))
			}
			if _, err := near.Write(text[:n]); err != nil {
				return
			}
			if text = text[n:]; len(cuts) > 0 && cuts[i%len(cuts)]&0x80 != 0 {
				time.Sleep(20 * time.Millisecond)
			}
		}
		if half { // a pipe cannot be closed in one direction only
			time.Sleep(time.Second)
			near.Close()
		}
	})
	start := time.Now()
	out, err := io.ReadAll(near)
	if err != nil && !half {
		near.Close()
		return 0, fmt.Errorf("reading from the connection: %w", err)
	}
	near.Close()
	s.connWG.Wait()
	if d := time.Since(start); d > time.Minute {
		return 0, fmt.Errorf("the connection ended after %v", d)
	}
	served := map[string]bool{}
	closed := false
	for r := bufio.NewReader(bytes.NewReader(out)); ; {
		if _, err := r.Peek(1); err != nil {
			break
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return 0, fmt.Errorf("invalid response: %w in %q", err, out)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return 0, fmt.Errorf("incomplete response: %w in %q", err, out)
		}
		switch {
		case closed:
			return 0, fmt.Errorf("a response after the last one: %q", out)
		case resp.StatusCode == http.StatusContinue:
			continue
		case resp.StatusCode == http.StatusOK && len(body) > 0:
			if served[string(body)] {
				return 0, fmt.Errorf("two responses to one request: %q", out)
			}
			served[string(body)] = true
		case resp.StatusCode != http.StatusOK && !resp.Close:
			return 0, fmt.Errorf("status %d does not close the connection: %q", resp.StatusCode, out)
		}
		closed = resp.Close
	}
	if n := len(transport.Sent()); len(served) > n {
		return 0, fmt.Errorf("%d requests served, but %d sent", len(served), n)
	}
	return len(served), nil
}

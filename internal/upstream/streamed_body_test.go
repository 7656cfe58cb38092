package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
)

// TestReadAfterEnd checks that reads after the end of a streamed response take no data of the next
// response on its connection, which another request may already be reading.
func TestReadAfterEnd(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		text, length := "first", int64(5)
		if chunked {
			text, length = "5\r\nfirst\r\n0\r\n\r\n", -1
		}
		c := &conn{r: bufio.NewReader(strings.NewReader(text + "second"))}
		c.body.Reset(c.r, length, chunked)
		body := &streamedBody{c: c, done: make(chan struct{})}
		body.finish = func(err error) {
			if err != io.EOF {
				t.Errorf("finished with %v", err)
			}
			c.body.Reset(c.r, 6, false) // as the next exchange does
		}
		var got []byte
		// Exactly the size of the body, so that only the framing tells the end.
		buf := make([]byte, 5)
		var err error
		for range 10 {
			var n int
			n, err = body.Read(buf)
			if got = append(got, buf[:n]...); err != nil {
				break
			}
		}
		if string(got) != "first" || err != io.EOF {
			t.Errorf("chunked %v: %q, %v", chunked, got, err)
		}
		for range 2 {
			if n, err := body.Read(buf); n != 0 || err != io.EOF {
				t.Errorf("chunked %v: after the end %q, %v", chunked, buf[:n], err)
			}
		}
		if next, err := io.ReadAll(&c.body); string(next) != "second" || err != nil {
			t.Errorf("chunked %v: next response: %q, %v", chunked, next, err)
		}
	}
	body := &streamedBody{c: &conn{}, done: make(chan struct{}), finish: func(error) {}}
	body.Close()
	if n, err := body.Read(make([]byte, 1)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("after Close: %d, %v", n, err)
	}
}

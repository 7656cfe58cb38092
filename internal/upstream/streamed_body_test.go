package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
)

// TestReadBehindTheEnd: whoever reads on behind the end of a long answer takes nothing of the next one on its connection, which
// another request may have begun to read meanwhile.
func TestReadBehindTheEnd(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		text, length := "first", int64(5)
		if chunked {
			text, length = "5\r\nfirst\r\n0\r\n\r\n", -1
		}
		c := &conn{r: bufio.NewReader(strings.NewReader(text + "second"))}
		c.body.Reset(c.r, length, chunked)
		l := &long{c: c, done: make(chan struct{})}
		l.settle = func(err error) {
			if err != io.EOF {
				t.Errorf("settled with %v", err)
			}
			c.body.Reset(c.r, 6, false) // as the next exchange does
		}
		var got []byte
		buf := make([]byte, 5) // as much as there is, so that nothing tells the end but the framing
		var err error
		for range 10 {
			var n int
			n, err = l.Read(buf)
			if got = append(got, buf[:n]...); err != nil {
				break
			}
		}
		if string(got) != "first" || err != io.EOF {
			t.Errorf("chunked %v: %q, %v", chunked, got, err)
		}
		for range 2 {
			if n, err := l.Read(buf); n != 0 || err != io.EOF {
				t.Errorf("chunked %v: behind the end %q, %v", chunked, buf[:n], err)
			}
		}
		if next, err := io.ReadAll(&c.body); string(next) != "second" || err != nil {
			t.Errorf("chunked %v: the next answer is %q, %v", chunked, next, err)
		}
	}
	l := &long{c: &conn{}, done: make(chan struct{}), settle: func(error) {}}
	l.Close()
	if n, err := l.Read(make([]byte, 1)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("after Close: %d, %v", n, err)
	}
}

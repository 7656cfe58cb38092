package upstream

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/internal/sockets"
)

// TestBreakWhileWriting checks that a request whose last byte was not written is reported as not
// executed. A socket buffers a whole request, so the test uses a pipe, which has no buffer.
func TestBreakWhileWriting(t *testing.T) {
	near, far := net.Pipe()
	go func() {
		io.ReadFull(far, make([]byte, 1000))
		far.Close()
	}()
	c := newConn(near, engine.Endpoint{}, func() {}, defaultReadBuffer)
	m := &httpmsg.Message{Method: "POST", Target: "/order/k", Host: "s", Body: []byte(strings.Repeat("x", httpmsg.MaxFullBody))}
	var notWritten errNotWritten
	if _, _, _, err := c.exchange(m, time.Second, time.Second, nil, nil); !errors.As(err, &notWritten) {
		t.Errorf("error %v, want errNotWritten", err)
	}
}

// TestReuseDelay checks that a connection is not reused within reuseDelay of a response, or within
// cautiousReuseDelay once a server has sent unsolicited data: a late second response would be taken
// for that to the next request.
func TestReuseDelay(t *testing.T) {
	to := engine.Endpoint{Addr: "a:1", ID: "a"}
	p := &pool{descriptors: sockets.New(64), idle: map[engine.Endpoint][]*conn{}}
	p.idleTimeout.Store(int64(time.Minute))
	pair := func() (near, far net.Conn) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		if near, err = net.Dial("tcp", ln.Addr().String()); err != nil {
			t.Fatal(err)
		}
		if far, err = ln.Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { near.Close(); far.Close() })
		return near, far
	}
	// reused reports whether a connection is reused that became idle the given time ago.
	reused := func(ago time.Duration) bool {
		near, _ := pair()
		c := newConn(near, to, func() {}, defaultReadBuffer)
		p.putIdle(c)
		c.idleSince = time.Now().Add(-ago)
		defer p.closeIdleTo(to)
		return p.reuse(to, time.Now().Add(time.Minute)) == c
	}
	future := -time.Hour // later than any pause of this test
	if reused(future) || !reused(reuseDelay) {
		t.Error("a connection is reused within reuseDelay, or not after it")
	}
	near, far := pair()
	io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\n")
	c := newConn(near, to, func() {}, defaultReadBuffer)
	for !c.peeker.HasData() {
		time.Sleep(time.Millisecond)
	}
	p.putIdle(c)
	c.idleSince = time.Now().Add(-time.Second)
	if p.reuse(to, time.Now().Add(time.Minute)) != nil {
		t.Fatal("a connection with unread data is reused")
	}
	if p.currentReuseDelay() != cautiousReuseDelay || !reused(cautiousReuseDelay) {
		t.Error("after unsolicited data, cautiousReuseDelay does not apply")
	}
	p.lastUnsolicited.Store(time.Now().Add(-cautiousPeriod).UnixNano())
	if p.currentReuseDelay() != reuseDelay {
		t.Error("unsolicited data still counts after cautiousPeriod")
	}
}

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

// TestBreakWhileWriting: a request whose last byte was never written has not run. Sockets take a whole one at once, so a
// pipe, which has no buffer, stands for them.
func TestBreakWhileWriting(t *testing.T) {
	near, far := net.Pipe()
	go func() {
		io.ReadFull(far, make([]byte, 1000))
		far.Close()
	}()
	c := newConn(near, engine.Endpoint{}, func() {}, connBuffer)
	m := &httpmsg.Message{Method: "POST", Target: "/order/k", Host: "s", Body: []byte(strings.Repeat("x", httpmsg.MaxWhole))}
	var notWritten errNotWritten
	if _, _, _, err := c.exchange(m, time.Second, nil); !errors.As(err, &notWritten) {
		t.Errorf("error %v, want one that tells that nothing has run", err)
	}
}

// TestConnectionsRest: after an answer a connection rests before it carries the next request, and longer once some server has said more
// than it was asked for: a second answer that is late would pass for that to the next request.
func TestConnectionsRest(t *testing.T) {
	to := engine.Endpoint{Addr: "a:1", ID: "a"}
	p := &pool{sockets: sockets.New(64), idle: map[engine.Endpoint][]*conn{}}
	p.idleFor.Store(int64(time.Minute))
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
	// rested tells whether a connection that was kept so long ago is used again.
	rested := func(ago time.Duration) bool {
		near, _ := pair()
		c := newConn(near, to, func() {}, connBuffer)
		p.keep(c)
		c.since = time.Now().Add(-ago)
		defer p.hangUp(to)
		return p.reuse(to, time.Now().Add(time.Minute)) == c
	}
	ahead := -time.Hour // of any stall of this test
	if rested(ahead) || !rested(settleTime) {
		t.Error("a connection does not rest for settleTime")
	}
	near, far := pair()
	io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\n")
	c := newConn(near, to, func() {}, connBuffer)
	for !c.peek.HasData() {
		time.Sleep(time.Millisecond)
	}
	p.keep(c)
	c.since = time.Now().Add(-time.Second)
	if p.reuse(to, time.Now().Add(time.Minute)) != nil {
		t.Fatal("a connection on which something came is used again")
	}
	if p.settle() != wareTime || !rested(wareTime) {
		t.Error("a connection does not rest for wareTime, with something unasked seen")
	}
	p.unasked.Store(time.Now().Add(-wareFor).UnixNano())
	if p.settle() != settleTime {
		t.Error("what was seen long ago still counts")
	}
}

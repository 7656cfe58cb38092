// Package upstream reaches servers over HTTP/1.1. It owns the connections to them, and implements engine.Transport: one
// attempt is one exchange on one connection, sent once, whose answer is taken whole before anybody sees it.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/internal/sockets"
)

const (
	// mostInterim bounds the 1xx answers before the final one.
	mostInterim = 5
	// answerTime is how long an answer may take from its first byte to its last. Guards against answers that stop in the
	// middle, whose request would else wait for its whole time. An upstream that writes its answer in pieces and pauses
	// longer would be given up wrongly.
	answerTime = 500 * time.Millisecond
	// idleShare is the part of the idle limit after which an idle connection is closed: the upstream closes it
	// at the limit, and a request that crosses that close is lost to a reset.
	idleShare = 0.6
	// connBuffer is the size of a connection's buffer. The head of an answer must fit.
	connBuffer = 8 << 10
	// writeBuffer is that for what is written to it.
	writeBuffer = 4 << 10
)

// pool holds the connections to upstreams. They carry one request at a time.
type pool struct {
	sockets     *sockets.Budget
	dialTimeout atomic.Int64 // a time.Duration, as idleFor is
	idleFor     atomic.Int64 // how long a connection is kept idle

	mu     sync.Mutex
	idle   map[engine.Endpoint][]*conn // the last one used comes last
	closed bool                        // none is kept any more
}

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	to      engine.Endpoint
	release func() // of its descriptor
	hangUp  func() // closes it
	peek    *sockets.Peeker
	r       *bufio.Reader
	w       *bufio.Writer
	head    httpmsg.Head // of the answer that is being read
	number  [20]byte     // room to write one
	since   time.Time
	until   time.Time // the deadline of the present exchange
	first   time.Time // when the first byte of the present answer came; zero: none has, or its deadline is set
}

func newConn(nc net.Conn, to engine.Endpoint, release func()) *conn {
	c := &conn{Conn: nc, to: to, release: release, peek: sockets.NewPeeker(nc)}
	c.hangUp = func() { c.Close() }
	c.r, c.w = bufio.NewReaderSize(c, connBuffer), bufio.NewWriterSize(nc, writeBuffer)
	return c
}

// Read is the method of net.Conn. An answer that did not come in one piece must be whole within answerTime: the deadline
// for it is set with the second piece, as most answers have none.
func (c *conn) Read(p []byte) (int, error) {
	if !c.first.IsZero() {
		c.SetReadDeadline(earlier(c.until, c.first.Add(answerTime)))
		c.first = time.Time{}
	}
	return c.Conn.Read(p)
}

func (c *conn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// reuse returns an idle connection, or nil. One on which the upstream has closed, or has said
// something unasked, is of no use: what is written to it would end as a reset.
func (p *pool) reuse(to engine.Endpoint, deadline time.Time) *conn {
	for {
		p.mu.Lock()
		list := p.idle[to]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		list[len(list)-1] = nil
		p.idle[to] = list[:len(list)-1] // an empty one goes with closeIdle or hangUp: upstreams come and go for ever
		p.mu.Unlock()
		c.setUntil(deadline)
		if time.Since(c.since) < time.Duration(p.idleFor.Load()) && c.quiet() {
			return c
		}
		c.Close()
	}
}

// setUntil sets the deadline of an exchange.
func (c *conn) setUntil(t time.Time) {
	c.until, c.first = t, time.Time{}
	c.SetDeadline(t)
}

// quiet reports whether nothing is there to be read, neither bytes nor the end.
func (c *conn) quiet() bool { return c.r.Buffered() == 0 && c.peek.NothingCame() }

// keep makes c idle.
func (p *pool) keep(c *conn) {
	if p.idleFor.Load() <= 0 || c.r.Buffered() > 0 || p.sockets.Scarce() {
		c.Close()
		return
	}
	c.since = time.Now()
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle[c.to] = append(p.idle[c.to], c)
	}
	p.mu.Unlock()
	if closed {
		c.Close()
	}
}

// hangUp closes the idle connections to an upstream.
func (p *pool) hangUp(to engine.Endpoint) {
	p.mu.Lock()
	list := p.idle[to]
	delete(p.idle, to)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// closeIdle closes the connections that have been idle for d, and returns how many it closed.
func (p *pool) closeIdle(d time.Duration, most int) int {
	var old []*conn
	p.mu.Lock()
	for to, list := range p.idle {
		n := 0
		for n < len(list) && len(old) < most && time.Since(list[n].since) >= d {
			old = append(old, list[n])
			n++
		}
		if n == len(list) {
			delete(p.idle, to)
		} else if n > 0 {
			p.idle[to] = slices.Clone(list[n:])
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
	return len(old)
}

// close closes all idle connections, and keeps none from now on.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle(0, 1<<30)
}

// sweep closes idle connections in time until ctx ends.
func (p *pool) sweep(ctx context.Context) {
	for {
		d := time.Duration(p.idleFor.Load())
		again := time.NewTimer(min(max(d/4, 10*time.Millisecond), time.Second))
		select {
		case <-ctx.Done():
			again.Stop()
			return
		case <-again.C:
			p.closeIdle(max(d, 0), 1<<30)
		}
	}
}

// dial opens a connection.
func (p *pool) dial(ctx context.Context, to engine.Endpoint, deadline time.Time) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, earlier(deadline, time.Now().Add(time.Duration(p.dialTimeout.Load()))))
	defer cancel()
	release, err := p.sockets.Acquire(ctx)
	if err != nil {
		return nil, err
	}
	var d net.Dialer
	d.KeepAlive = -1 // idle connections do not live long enough for it
	nc, err := d.DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		release()
		return nil, err
	}
	c := newConn(nc, to, release)
	c.setUntil(deadline)
	return c, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// errNotWritten wraps what broke an exchange before its last byte was written: it has never run.
type errNotWritten struct{ error }

func (e errNotWritten) Unwrap() error { return e.error }

// write writes m and its time left.
func (c *conn) write(m *httpmsg.Message, left time.Duration) error {
	w := c.w
	w.WriteString(m.Method)
	w.WriteByte(' ')
	w.WriteString(m.Target)
	w.WriteString(" HTTP/1.1\r\nHost: ")
	w.WriteString(m.Host)
	w.WriteString("\r\n")
	w.Write(m.Lines)
	if left > 0 {
		c.writeInt("X-Timeout-Ms: ", max(1, left.Milliseconds()))
	}
	if len(m.Body) > 0 || m.Method != "GET" {
		c.writeInt("Content-Length: ", int64(len(m.Body)))
	}
	w.WriteString("\r\n")
	w.Write(m.Body)
	return w.Flush() // a bufio.Writer keeps its first error
}

func (c *conn) writeInt(name string, n int64) {
	c.w.WriteString(name)
	c.w.Write(strconv.AppendInt(c.number[:0], n, 10))
	c.w.WriteString("\r\n")
}

// exchange writes m and reads the head of the answer, which then stands in c.head and still in c.r.
func (c *conn) exchange(m *httpmsg.Message, left time.Duration) (code, minor int, err error) {
	if err := c.write(m, left); err != nil {
		return 0, 0, errNotWritten{err}
	}
	for i := range mostInterim {
		if i > 0 { // the one before may have set that of its own end
			c.first = time.Time{}
			c.SetReadDeadline(c.until)
		}
		if _, err := c.r.Peek(1); err != nil {
			return 0, 0, err
		}
		c.first = time.Now()
		if err := c.head.Read(c.r); err != nil {
			return 0, 0, err
		}
		code, minor, err := c.status()
		if err != nil {
			return 0, 0, err
		}
		if code >= 200 {
			return code, minor, nil
		}
		c.head.Discard(c.r)
	}
	return 0, 0, errors.New("too many interim answers")
}

// status reads the status line of the head that has been read. Chunks from HTTP/1.0 are rejected: a sender that knows of none
// has a part of its answer taken for a length (RFC 9112, section 6.1).
func (c *conn) status() (code, minor int, err error) {
	if code, minor, err = c.head.Status(); err == nil && minor == 0 && c.head.Chunked {
		err = httpmsg.ErrFraming
	}
	return code, minor, err
}

// body reads the body of the answer whose head has been discarded, of at most httpmsg.MaxBody. last reports whether the
// connection can carry no further exchange.
func (c *conn) body(code, minor int) (body []byte, last bool, err error) {
	last = c.head.Close || minor == 0 && !c.head.Keep
	switch {
	case code == 204 || code == 304: // these have none, whatever their heads say
	case c.head.Chunked:
		body, err = httpmsg.ReadChunked(c.r)
	case c.head.Length >= 0:
		body, err = httpmsg.ReadBody(c.r, c.head.Length)
	default:
		last = true
		body, err = httpmsg.ReadToEnd(c.r)
	}
	return body, last, err
}

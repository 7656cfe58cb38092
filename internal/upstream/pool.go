// Package upstream reaches servers over HTTP/1.1. It owns the connections to them, and implements engine.Transport: one
// attempt is one exchange on one connection, sent once, whose answer is taken whole before anybody sees it.
package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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
	// answerTime is how long an answer that has begun may stand still. Guards against answers that stop in the middle, whose
	// request would else wait for its whole time. An upstream that writes its answer in pieces and pauses longer would be
	// given up wrongly.
	answerTime = 500 * time.Millisecond
	// streamTime is the same once an answer is passed on as it comes: nothing else can be done for its request any more.
	streamTime = 5 * time.Second
	// sendTime is how long an upstream may take none of what is sent to it.
	sendTime = 2 * time.Second
	// mostHeld is how much of a long answer is held before it is passed on: what is spoilt shows mostly at its begin, and
	// until then another attempt can be made.
	mostHeld = 16 << 10
	// idleShare is the part of the idle limit after which an idle connection is closed: the upstream closes it
	// at the limit, and a request that crosses that close is lost to a reset.
	idleShare = 0.6
	// settleTime is how long a connection rests after an answer before it carries the next request. Guards against a second answer that
	// comes some milliseconds behind the first: it would pass for that to the next request. At a thousand requests a second to one server it
	// costs five more connections there.
	settleTime = 5 * time.Millisecond
	// wareTime is the same for wareFor after some server has said more than it was asked for, as then others may too, and later.
	wareTime = 50 * time.Millisecond
	wareFor  = 5 * time.Minute
	// connBuffer is the size of a connection's buffer. The head of an answer must fit.
	connBuffer = 8 << 10
	// writeBuffer is that for what is written to it.
	writeBuffer = 4 << 10
)

// pool holds the connections to upstreams. They carry one request at a time.
type pool struct {
	sockets     Descriptors
	dialTimeout atomic.Int64 // a time.Duration, as idleFor is
	idleFor     atomic.Int64 // how long a connection is kept idle
	dials       atomic.Int64 // connects that were begun
	unasked     atomic.Int64 // when a server last said more than it was asked for, in Unix nanoseconds

	buffer int // of a connection, in bytes; the head of an answer must fit

	mu     sync.Mutex
	idle   map[engine.Endpoint][]*conn // the last one used comes last
	closed bool                        // none is kept any more
}

// Descriptors is where connections have theirs from.
type Descriptors interface {
	Acquire(ctx context.Context) (release func(), err error)
	Scarce() bool // idle connections should not be kept
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
	body    httpmsg.Body // the same
	number  [20]byte     // room to write one
	since   time.Time
	until   time.Time // the deadline of the present exchange
	answers bool      // the first byte of the present answer has come
	stall   time.Duration
	written atomic.Int64 // bytes that the kernel has taken of the present exchange
}

// Write is the method of net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

func newConn(nc net.Conn, to engine.Endpoint, release func(), buffer int) *conn {
	c := &conn{Conn: nc, to: to, release: release, peek: sockets.NewPeeker(nc)}
	c.hangUp = func() { c.Close() }
	c.r, c.w = bufio.NewReaderSize(c, buffer), bufio.NewWriterSize(c, writeBuffer)
	return c
}

// Read is the method of net.Conn. An answer that has begun may stand still for c.stall at most, which is answerTime unless it
// is passed on as it comes. Its first piece has no deadline of its own, and most have but one.
func (c *conn) Read(p []byte) (int, error) {
	if c.answers {
		c.SetReadDeadline(earlier(c.until, time.Now().Add(c.stall)))
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
		settled := time.Now().Add(-p.settle())
		p.mu.Lock()
		list := p.idle[to]
		i := len(list) - 1
		for i >= 0 && list[i].since.After(settled) {
			i--
		}
		if i < 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[i]
		p.idle[to] = slices.Delete(list, i, i+1) // an empty one goes with closeIdle or hangUp: upstreams come and go for ever
		p.mu.Unlock()
		c.setUntil(deadline)
		if time.Since(c.since) < time.Duration(p.idleFor.Load()) && c.quiet() {
			return c
		}
		p.heed(c)
		c.Close()
	}
}

// settle is how long a connection has to rest now.
func (p *pool) settle() time.Duration {
	if last := p.unasked.Load(); last != 0 && time.Now().UnixNano()-last < int64(wareFor) {
		return wareTime
	}
	return settleTime
}

// heed notes whether more has come on c than was asked for. Its end alone is not.
func (p *pool) heed(c *conn) {
	if c.r.Buffered() > 0 || c.peek.HasData() {
		p.unasked.Store(time.Now().UnixNano())
	}
}

// setUntil sets the deadline of an exchange.
func (c *conn) setUntil(t time.Time) {
	c.until, c.answers, c.stall = t, false, answerTime
	c.written.Store(0)
	c.SetDeadline(t)
}

// quiet reports whether nothing is there to be read, neither bytes nor the end.
func (c *conn) quiet() bool { return c.r.Buffered() == 0 && c.peek.Empty() }

// keep makes c idle.
func (p *pool) keep(c *conn) {
	if p.idleFor.Load() <= 0 || c.r.Buffered() > 0 || p.sockets.Scarce() {
		p.heed(c)
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

// dial opens a connection. connecting is called once it has a descriptor for it.
func (p *pool) dial(ctx context.Context, to engine.Endpoint, deadline time.Time, connecting func()) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, earlier(deadline, time.Now().Add(time.Duration(p.dialTimeout.Load()))))
	defer cancel()
	release, err := p.sockets.Acquire(ctx)
	if err != nil {
		return nil, err
	}
	p.dials.Add(1)
	connecting()
	var d net.Dialer
	d.KeepAlive = -1 // idle connections do not live long enough for it
	nc, err := d.DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		release()
		return nil, err
	}
	c := newConn(nc, to, release, cmp.Or(p.buffer, connBuffer))
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

// write writes m and its time left. Of a body that is still coming it is told by uploaded when all of it is written.
func (c *conn) write(m *httpmsg.Message, left time.Duration, uploaded func()) error {
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
	if m.Rest != nil {
		return c.upload(m, uploaded)
	}
	if len(m.Body) > 0 || (m.Terms == nil || lengthTold(m.Method)) && m.Method != "GET" {
		c.writeInt("Content-Length: ", int64(len(m.Body)))
	}
	w.WriteString("\r\n")
	w.Write(m.Body)
	return w.Flush() // a bufio.Writer keeps its first error
}

// lengthTold reports whether a request of that method tells its length though it has no body (RFC 9110, section 8.6).
func lengthTold(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// errEarly tells that an answer has begun before the request was written whole.
var errEarly = errors.New("the upstream answers early")

// errSource wraps what broke a body on its way here: the upstream has no part in it.
type errSource struct{ error }

func (e errSource) Unwrap() error { return e.error }

// upload writes a body as it comes. It ends with errEarly, and what is not written is not read, as soon as the upstream
// answers. Every write has sendTime; how long the body takes to come is for its source to bound.
func (c *conn) upload(m *httpmsg.Message, uploaded func()) error {
	c.framing(m)
	if err := c.sendBody(m, sendTime, c.peek.HasData); err != nil {
		return err
	}
	uploaded()
	return nil
}

// framing ends the head of a request whose body follows as it comes.
func (c *conn) framing(m *httpmsg.Message) {
	if m.Length < 0 {
		c.w.WriteString("Transfer-Encoding: chunked\r\n")
	} else {
		c.writeInt("Content-Length: ", m.Length)
	}
	c.w.WriteString("\r\n")
}

// sendBody writes a body as it comes. A server may take none of it for stall; where answers reports that it has said something, that is
// errEarly. An error of the body's own is an errSource.
func (c *conn) sendBody(m *httpmsg.Message, stall time.Duration, answers func() bool) error {
	chunked := m.Length < 0
	piece := func(b []byte) error {
		c.SetWriteDeadline(time.Now().Add(stall))
		if chunked && len(b) > 0 {
			c.w.Write(httpmsg.AppendChunkHead(c.number[:0], len(b)))
		}
		c.w.Write(b)
		if chunked && len(b) > 0 {
			c.w.WriteString("\r\n")
		}
		return c.w.Flush()
	}
	if err := piece(m.Body); err != nil {
		return err
	}
	buf, release := httpmsg.Buffer()
	defer release()
	for {
		n, err := m.Rest.Read(buf)
		if n > 0 {
			if answers() {
				return errEarly
			}
			if err := piece(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return errSource{err}
		}
	}
	if chunked {
		c.w.WriteString("0\r\n")
		if m.Trailer != nil {
			c.w.Write(m.Trailer())
		}
		c.w.WriteString("\r\n")
	}
	return c.w.Flush()
}

func (c *conn) writeInt(name string, n int64) {
	c.w.WriteString(name)
	c.w.Write(strconv.AppendInt(c.number[:0], n, 10))
	c.w.WriteString("\r\n")
}

// exchange writes m and reads the head of the answer, which then stands in c.head and still in c.r. uploaded is called, if
// m's body is still coming, once all of it is written. early reports that the answer has come before.
func (c *conn) exchange(m *httpmsg.Message, left time.Duration, uploaded func()) (code, minor int, early bool, err error) {
	if err := c.write(m, left, uploaded); errors.Is(err, errEarly) {
		early = true
		if soon := time.Now().Add(answerTime); c.until.Before(soon) { // the upload has outlasted what was left at its begin
			c.until = soon
		}
		c.SetReadDeadline(c.until)
	} else if err != nil {
		return 0, 0, false, errNotWritten{err}
	}
	for i := range mostInterim {
		if i > 0 { // the one before may have set that of its own end
			c.answers = false
			c.SetReadDeadline(c.until)
		}
		if _, err := c.r.Peek(1); err != nil {
			return 0, 0, early, err
		}
		c.answers = true
		if err := c.head.Read(c.r); err != nil {
			return 0, 0, early, err
		}
		code, minor, err := c.status()
		if err != nil {
			return 0, 0, early, err
		}
		if code >= 200 {
			return code, minor, early, nil
		}
		c.head.Discard(c.r)
	}
	return 0, 0, early, errors.New("too many interim answers")
}

// status reads the status line of the head that has been read. Chunks from HTTP/1.0 are rejected: a sender that knows of none
// has a part of its answer taken for a length (RFC 9112, section 6.1).
func (c *conn) status() (code, minor int, err error) {
	if code, minor, err = c.head.Status(); err == nil && minor == 0 && c.head.Chunked {
		err = httpmsg.ErrFraming
	}
	return code, minor, err
}

// begin makes c.body the body of the answer whose head has been discarded. last reports whether the connection can carry no
// further exchange once the body has been read.
func (c *conn) begin(code, minor int) (last bool) {
	last = c.head.Close || minor == 0 && !c.head.Keep
	length := c.head.Length
	if code == 204 || code == 304 { // these have none, whatever their heads say
		length = 0
		c.head.Chunked = false
	}
	c.body.Reset(c.r, length, c.head.Chunked)
	return last || length < 0 && !c.head.Chunked
}

// long is the rest of an answer that is passed on as it comes. It implements io.ReadCloser, for one goroutine.
type long struct {
	c      *conn
	settle func(error) // makes the connection idle, or closes it: io.EOF if all was read, nil if that is not wanted
	ended  atomic.Bool
	done   chan struct{} // closed once it is read to its end or closed
	err    error         // before done is closed: what ended it; nil: it was closed before its end
}

// Read is the method of io.Reader. Once it has ended the connection may be another request's, whose answer it must not touch: the
// last piece comes with its io.EOF, and whoever reads on nevertheless gets nothing.
func (l *long) Read(p []byte) (int, error) {
	select {
	case <-l.done:
		if l.err == nil {
			return 0, net.ErrClosed
		}
		return 0, l.err
	default:
	}
	n, err := l.c.body.Read(p)
	if err == nil && l.c.body.Ended() {
		err = io.EOF
	}
	if err != nil {
		l.end(err, l.settle)
	}
	return n, err
}

// Close is the method of io.Closer.
func (l *long) Close() error {
	l.end(nil, l.settle)
	return nil
}

// end ends it once, by err. One that comes second does not wait for the first: it may hold a lock that the first's settle
// needs, as an attempt's is held while it is called off.
func (l *long) end(err error, settle func(error)) {
	if !l.ended.CompareAndSwap(false, true) {
		return
	}
	settle(err)
	l.err = err
	close(l.done)
}

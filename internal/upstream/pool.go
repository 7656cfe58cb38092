// Package upstream connects to servers over HTTP/1.1. It owns the connections, and implements
// engine.Transport: an attempt is one request, sent once on one connection. Its response is read in
// full before it is passed on, unless it is too long or its route streams it.
package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/internal/sockets"
)

const (
	// maxInterim limits the 1xx responses before the final one.
	maxInterim = 5
	// responseStallTimeout is how long a response that has begun may stand still. Before it is
	// passed on, the time of its request mostly ends before.
	responseStallTimeout = 5 * time.Second
	// brokenWriteTimeout is how long a server whose connection broke in the middle of a request has
	// for the response that it may have sent before.
	brokenWriteTimeout = 500 * time.Millisecond
	// writeStallTimeout is how long a server may accept no bytes of a request.
	writeStallTimeout = 5 * time.Second
	// idleFraction is the fraction of the idle limit after which an idle connection is closed. The
	// server closes it at the limit, and a request sent at that moment is lost to a reset.
	idleFraction = 0.6
	// reuseDelay is the minimum time between a response and the next request on its connection. It
	// protects against a second response some milliseconds after the first, which would be taken
	// for the response to the next request. At a thousand requests a second to one server it costs
	// five more connections there.
	reuseDelay = 5 * time.Millisecond
	// cautiousReuseDelay replaces reuseDelay for cautiousPeriod after a server has sent unsolicited
	// data, as other servers may then do so too, and later.
	cautiousReuseDelay = 50 * time.Millisecond
	cautiousPeriod     = 5 * time.Minute
	// defaultReadBuffer is the size of a connection's read buffer, which limits the response head.
	defaultReadBuffer = 8 << 10
	// writeBufferSize is the size of a connection's write buffer.
	writeBufferSize = 4 << 10
)

// pool holds the connections to upstreams. Each carries one request at a time.
type pool struct {
	descriptors     Descriptors
	dialTimeout     atomic.Int64 // a time.Duration, as idleTimeout is
	idleTimeout     atomic.Int64 // how long a connection is kept idle
	dials           atomic.Int64 // connects that were started
	lastUnsolicited atomic.Int64 // when a server last sent unsolicited data, in Unix nanoseconds

	readBuffer int // size in bytes of a connection's read buffer; 0: defaultReadBuffer

	mu     sync.Mutex
	idle   map[engine.Endpoint][]*conn // the most recently used one comes last
	closed bool                        // no connection is kept any more
}

// Descriptors provides the descriptors of connections.
type Descriptors interface {
	Acquire(ctx context.Context) (release func(), err error)
	Scarce() bool // idle connections should not be kept
}

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	to               engine.Endpoint
	release          func() // gives the descriptor back
	closeFunc        func() // closes the connection
	peeker           *sockets.Peeker
	r                *bufio.Reader
	w                *bufio.Writer
	head             httpmsg.Head // of the response that is being read
	body             httpmsg.Body // of the response that is being read
	numBuf           [20]byte     // scratch space to format a number
	idleSince        time.Time
	exchangeDeadline time.Time // deadline of the current exchange
	responseBegun    bool      // the first byte of the current response has arrived
	stallTimeout     time.Duration
	writeStall       time.Duration // while a body is uploaded: how long the server may accept nothing; otherwise 0
	// While writeStall is set: the end of the write, zero: it has none, and what tells that the
	// server needs no more of it.
	writeUntil   time.Time
	writeAbandon func() bool
	waitingSince time.Time      // when the present or last Read began
	watch        *responseWatch // of the response that is being buffered; nil: none
	bytesWritten atomic.Int64   // bytes of the current exchange that the kernel has accepted
	reset        resetDetector
}

// Write implements net.Conn. While a body is uploaded, it is bounded by c.writeStall and c.writeUntil.
func (c *conn) Write(p []byte) (int, error) {
	c.reset.writeBegins()
	n, err := c.writeBounded(p)
	c.reset.writeEnds(err)
	c.bytesWritten.Add(n)
	return int(n), err
}

// writeBounded is Write without the records of c.
func (c *conn) writeBounded(p []byte) (int64, error) {
	if c.writeStall == 0 {
		n, err := c.Conn.Write(p)
		return int64(n), err
	}
	return sockets.WriteWithin(c.Conn, &net.Buffers{p}, c.writeStall, c.writeUntil, c.writeAbandon)
}

func newConn(nc net.Conn, to engine.Endpoint, release func(), buffer int) *conn {
	c := &conn{Conn: nc, to: to, release: release, peeker: sockets.NewPeeker(nc)}
	c.closeFunc = func() { c.Close() }
	c.r, c.w = bufio.NewReaderSize(c, buffer), bufio.NewWriterSize(c, writeBufferSize)
	return c
}

// Read implements net.Conn. It returns io.EOF only if the server has ended its side in order: the end of
// a connection that was reset is an error.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.readBounded(p)
	if err == io.EOF && c.reset.hides(c.Conn) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// readBounded is Read without the check of the end. A response that has begun may stand still for
// c.stallTimeout; while it does, the connection's watch is woken when it asks for that. The first read
// of an exchange has no deadline of its own, and most responses need only one read.
func (c *conn) readBounded(p []byte) (int, error) {
	if !c.responseBegun {
		return c.Conn.Read(p)
	}
	c.waitingSince = time.Now()
	for {
		limit := earlier(c.exchangeDeadline, c.waitingSince.Add(c.stallTimeout))
		wakeAt := limit
		if c.watch != nil {
			if next := c.watch.nextAt(c.waitingSince); !next.IsZero() {
				wakeAt = earlier(limit, next)
			}
		}
		c.SetReadDeadline(wakeAt)
		n, err := c.Conn.Read(p)
		if n > 0 || c.watch == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		now := time.Now()
		if c.watch.wake(now, c.waitingSince); c.watch != nil && !now.Before(limit) {
			return n, err
		}
	}
}

// maxUnsent is how much of a request a connection may have written so that no part of it waits in
// the kernel for a server that reads slowly.
const maxUnsent = 64 << 10

// abort closes the connection of an attempt that is canceled. What a slow server has not taken of a
// long request is discarded: after a usual close the kernel would deliver it, and the server would
// run a request that nobody waits for.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.bytesWritten.Load() > maxUnsent {
		tcp.SetLinger(0)
	}
	c.Close()
}

func (c *conn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// reuse returns an idle connection, or nil. A connection that the server has closed or sent
// unsolicited data on cannot be used: a request on it would end in a reset.
func (p *pool) reuse(to engine.Endpoint, deadline time.Time) *conn {
	for {
		settled := time.Now().Add(-p.currentReuseDelay())
		p.mu.Lock()
		list := p.idle[to]
		i := len(list) - 1
		for i >= 0 && list[i].idleSince.After(settled) {
			i--
		}
		if i < 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[i]
		// CloseIdle and closeIdleTo delete empty lists, as upstreams come and go.
		p.idle[to] = slices.Delete(list, i, i+1)
		p.mu.Unlock()
		c.resetExchange(deadline)
		if time.Since(c.idleSince) < time.Duration(p.idleTimeout.Load()) && c.noPendingData() {
			return c
		}
		p.noteUnsolicited(c)
		c.Close()
	}
}

// currentReuseDelay returns the reuse delay that applies now.
func (p *pool) currentReuseDelay() time.Duration {
	if last := p.lastUnsolicited.Load(); last != 0 && time.Now().UnixNano()-last < int64(cautiousPeriod) {
		return cautiousReuseDelay
	}
	return reuseDelay
}

// noteUnsolicited records whether c has received unsolicited data. The end of the stream alone is
// not.
func (p *pool) noteUnsolicited(c *conn) {
	if c.r.Buffered() > 0 || c.peeker.HasData() {
		p.lastUnsolicited.Store(time.Now().UnixNano())
	}
}

// resetExchange prepares c for an exchange with deadline t.
func (c *conn) resetExchange(t time.Time) {
	c.responseBegun, c.stallTimeout = false, responseStallTimeout
	c.bytesWritten.Store(0)
	c.body, c.watch = httpmsg.Body{}, nil
	c.setExchangeDeadline(t)
}

// setExchangeDeadline changes the deadline of the current exchange, whose response has not begun.
func (c *conn) setExchangeDeadline(t time.Time) {
	c.exchangeDeadline = t
	c.SetDeadline(t)
}

// noPendingData reports whether there is nothing to read, neither bytes nor the end of the stream.
func (c *conn) noPendingData() bool { return c.r.Buffered() == 0 && c.peeker.Empty() }

// putIdle makes c idle, or closes it if it cannot be kept.
func (p *pool) putIdle(c *conn) {
	if p.idleTimeout.Load() <= 0 || c.r.Buffered() > 0 || p.descriptors.Scarce() {
		p.noteUnsolicited(c)
		c.Close()
		return
	}
	c.idleSince = time.Now()
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

// closeIdleTo closes the idle connections to an upstream.
func (p *pool) closeIdleTo(to engine.Endpoint) {
	p.mu.Lock()
	list := p.idle[to]
	delete(p.idle, to)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// closeIdle closes up to limit connections that have been idle for d, and returns how many it
// closed.
func (p *pool) closeIdle(d time.Duration, limit int) int {
	var expired []*conn
	p.mu.Lock()
	for to, list := range p.idle {
		n := 0
		for n < len(list) && len(expired) < limit && time.Since(list[n].idleSince) >= d {
			expired = append(expired, list[n])
			n++
		}
		if n == len(list) {
			delete(p.idle, to)
		} else if n > 0 {
			p.idle[to] = slices.Clone(list[n:])
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
	return len(expired)
}

// close closes all idle connections, and keeps none from now on.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle(0, 1<<30)
}

// evictExpired closes connections that have been idle for idleTimeout, until ctx ends.
func (p *pool) evictExpired(ctx context.Context) {
	for {
		d := time.Duration(p.idleTimeout.Load())
		timer := time.NewTimer(min(max(d/4, 10*time.Millisecond), time.Second))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			p.closeIdle(max(d, 0), 1<<30)
		}
	}
}

// dial opens a connection. It calls connecting once it has a descriptor.
func (p *pool) dial(ctx context.Context, to engine.Endpoint, deadline time.Time, connecting func()) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, earlier(deadline, time.Now().Add(time.Duration(p.dialTimeout.Load()))))
	defer cancel()
	release, err := p.descriptors.Acquire(ctx)
	if err != nil {
		return nil, err
	}
	p.dials.Add(1)
	connecting()
	var d net.Dialer
	d.KeepAlive = -1 // idle connections are closed before a keep-alive probe matters
	nc, err := d.DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		release()
		return nil, err
	}
	c := newConn(nc, to, release, cmp.Or(p.readBuffer, defaultReadBuffer))
	c.resetExchange(deadline)
	return c, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// errNotWritten wraps an error that occurred before the last byte of a request was written: the
// server has not executed the request.
type errNotWritten struct{ error }

func (e errNotWritten) Unwrap() error { return e.error }

// write writes m and its remaining time. If the body is still arriving, it calls uploaded when all
// of it is written; see upload.
func (c *conn) write(m *httpmsg.Message, remaining, timeout time.Duration, uploaded func(receivedAt time.Time)) error {
	w := c.w
	w.WriteString(m.Method)
	w.WriteByte(' ')
	w.WriteString(m.Target)
	w.WriteString(" HTTP/1.1\r\nHost: ")
	w.WriteString(m.Host)
	w.WriteString("\r\n")
	w.Write(m.HeaderLines)
	if remaining > 0 {
		c.writeInt("X-Timeout-Ms: ", max(1, remaining.Milliseconds()))
	}
	if m.Upload != nil {
		return c.upload(m, timeout, uploaded)
	}
	if len(m.Body) > 0 || (m.Exchange == nil || declaresLength(m.Method)) && m.Method != "GET" {
		c.writeInt("Content-Length: ", int64(len(m.Body)))
	}
	w.WriteString("\r\n")
	w.Write(m.Body)
	return w.Flush() // a bufio.Writer keeps its first error
}

// declaresLength reports whether a request with that method has a Content-Length even without a
// body (RFC 9110, section 8.6).
func declaresLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// errEarlyResponse reports that a response has begun before the request was fully written.
var errEarlyResponse = errors.New("the response began before the request was complete")

// errBodySource wraps an error of the source of a request body, which is not the server's fault.
type errBodySource struct{ error }

func (e errBodySource) Unwrap() error { return e.error }

// errUploadTimeout reports that the time of a request was up before its server had read the body.
var errUploadTimeout = errors.New("the server reads the request too slowly")

// upload writes a body as it arrives. As soon as the server responds, it stops reading the body and
// returns errEarlyResponse. Each write has writeStallTimeout; the source bounds how long the body
// takes to arrive, and timeout how long the server may take to read it from then on. At the end it
// calls uploaded with the time at which the client had sent the body, zero if that is unknown.
func (c *conn) upload(m *httpmsg.Message, timeout time.Duration, uploaded func(receivedAt time.Time)) error {
	c.writeFraming(m)
	if err := c.sendBody(m, writeStallTimeout, timeout, c.peeker.HasData); err != nil {
		return err
	}
	uploaded(m.Upload.ReceivedAt())
	return nil
}

// writeFraming ends the head of a request whose body follows as it arrives.
func (c *conn) writeFraming(m *httpmsg.Message) {
	if m.Length < 0 {
		c.w.WriteString("Transfer-Encoding: chunked\r\n")
	} else {
		c.writeInt("Content-Length: ", m.Length)
	}
	c.w.WriteString("\r\n")
}

// sendBody writes a body as it arrives. The server may accept no bytes for up to stall, and must have
// read everything by timeout after the client had sent it: else sendBody returns errUploadTimeout.
// Once responded reports that the server has responded, it returns errEarlyResponse. Errors of the
// body's source are returned as errBodySource.
func (c *conn) sendBody(m *httpmsg.Message, stall, timeout time.Duration, responded func() bool) error {
	chunked := m.Length < 0
	c.writeStall, c.writeAbandon = stall, responded
	defer func() { c.writeStall, c.writeAbandon = 0, nil }()
	writePart := func(b []byte) error {
		received := m.Upload.ReceivedAt()
		if c.writeUntil = (time.Time{}); !received.IsZero() {
			c.writeUntil = received.Add(timeout)
		}
		if chunked && len(b) > 0 {
			c.w.Write(httpmsg.AppendChunkHead(c.numBuf[:0], len(b)))
		}
		c.w.Write(b)
		if chunked && len(b) > 0 {
			c.w.WriteString("\r\n")
		}
		err := c.w.Flush()
		if errors.Is(err, os.ErrDeadlineExceeded) && responded() {
			return errEarlyResponse
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && !received.IsZero() && time.Since(received) >= timeout {
			return errUploadTimeout
		}
		return err
	}
	if err := writePart(m.Body); err != nil {
		return err
	}
	buf, release := httpmsg.CopyBuffer()
	defer release()
	for {
		n, err := m.Upload.Read(buf)
		if n > 0 {
			if responded() {
				return errEarlyResponse
			}
			if err := writePart(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return errBodySource{err}
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
	c.w.Write(strconv.AppendInt(c.numBuf[:0], n, 10))
	c.w.WriteString("\r\n")
}

// exchange writes m and reads the head of the response, which is then in c.head and still in c.r.
// If the body of m is still arriving, it calls uploaded once all of it is written. early reports
// that the response began before that.
//
// If watch is not nil, it is called at the first byte of each response with the time by which the
// first bytes have to come, and returns what follows the response.
func (c *conn) exchange(m *httpmsg.Message, remaining, timeout time.Duration, uploaded func(receivedAt time.Time), watch func(deadline time.Time) *responseWatch) (code, minor int, early bool, err error) {
	if err := c.write(m, remaining, timeout, uploaded); errors.Is(err, errEarlyResponse) {
		early = true
		// The client's time has not begun, as it has not sent its last byte.
		if until := time.Now().Add(timeout + responseStallTimeout); c.exchangeDeadline.Before(until) {
			c.exchangeDeadline = until
		}
		c.SetReadDeadline(c.exchangeDeadline)
	} else if err != nil {
		return 0, 0, false, errNotWritten{err}
	}
	for i := range maxInterim {
		if i > 0 { // the previous response may have set its stall deadline
			c.responseBegun, c.watch = false, nil
			c.SetReadDeadline(c.exchangeDeadline)
		}
		if _, err := c.r.Peek(1); err != nil {
			return 0, 0, early, err
		}
		c.responseBegun, c.waitingSince = true, time.Now()
		if watch != nil {
			c.watch = watch(c.exchangeDeadline)
		}
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
	return 0, 0, early, errors.New("too many interim responses")
}

// status parses the status line of the head in c.head. Chunked responses with HTTP/1.0 are
// rejected: a sender that does not know chunks has part of its response taken for a length (RFC
// 9112, section 6.1).
func (c *conn) status() (code, minor int, err error) {
	if code, minor, err = c.head.ParseStatusLine(); err == nil && minor == 0 && c.head.Chunked {
		err = httpmsg.ErrFraming
	}
	return code, minor, err
}

// beginBody makes c.body the body of the response whose head has been discarded. last reports
// whether the connection can carry no further exchange once the body has been read.
func (c *conn) beginBody(code, minor int) (last bool) {
	last = c.head.Close || minor == 0 && !c.head.KeepAlive
	length := c.head.ContentLength
	if code == 204 || code == 304 { // these have no body, whatever their heads say
		length = 0
		c.head.Chunked = false
	}
	c.body.Reset(c.r, length, c.head.Chunked)
	return last || length < 0 && !c.head.Chunked
}

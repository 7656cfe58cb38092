package httpfront

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"quillfront/internal/bodybudget"
	"quillfront/internal/engine"
	"quillfront/internal/httpcall"
	"quillfront/internal/httpmsg"
	"quillfront/internal/sockets"
	"quillfront/policy"
)

// This file reads the bodies of requests.

// readBody reads the body, as far as there is memory for it and it is no longer than maxBufferedBody.
// The rest, which may be all of it, is an httpmsg.Upload. An order needs memory for the start of its
// body, which identifies it, and may wait for that. readBody returns the time from which the request's
// timeout counts: that of the wait if the client had sent the body by then, and else now.
func (s *Server) readBody(c *clientConn, r *engine.Request, call *httpcall.Call, m *httpmsg.Message, expects bool) (receivedAt policy.Time, err error) {
	length := call.Length
	if length > httpmsg.MaxBody {
		return 0, httpcall.Rejection{Status: http.StatusRequestEntityTooLarge, Text: httpmsg.ErrBodyTooLong.Error()}
	}
	if length == 0 {
		return s.engine.Now(), nil
	}
	begunAt := s.engine.Now()
	var memory bodybudget.Reservation
	waited := false
	if !s.isOrder(call) {
		memory = s.bodyBudget.Reserve(length, maxBufferedBody)
	} else if memory, waited, err = s.bodyBudget.ReserveOrder(s.answerCtx, length, maxBufferedBody, r.Timeout); err != nil {
		return 0, httpcall.Rejection{Status: http.StatusServiceUnavailable, Text: "no room for the body"}
	}
	r.Release = memory.Release
	c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if expects && c.r.Buffered() == 0 {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	c.body.Reset(c.r, length, length < 0)
	c.readWaited = false
	if waited {
		c.uploadPeek = sockets.NewPeeker(c.Conn)
	}
	switch n := memory.Bytes; {
	case n == 0: // all of the body is an Upload
	case n <= httpmsg.MaxFullBody:
		m.Body, err = c.body.ReadUpTo(n)
	default:
		m.Body = make([]byte, n)
		_, err = io.ReadFull(s.newMinRateReader(c, 0, length), m.Body)
	}
	c.uploadPeek = nil
	if err != nil {
		r.Release()
		return 0, bodyError(err)
	}
	if !c.body.Ended() {
		m.Upload, m.Length, r.Uploading = httpmsg.NewUpload(s.newMinRateReader(c, c.body.Size(), length)), length, true
	}
	if waited && !c.readWaited {
		return begunAt, nil
	}
	return s.engine.Now(), nil
}

// bodyError returns the error with which a request is rejected after reading its body has failed
// with err.
func bodyError(err error) error {
	switch {
	case errors.Is(err, httpmsg.ErrBodyTooLong):
		return httpcall.Rejection{Status: http.StatusRequestEntityTooLarge, Text: err.Error()}
	case isTimeout(err):
		return err
	}
	return httpcall.Rejection{Status: http.StatusBadRequest, Text: "the body did not come whole"}
}

// minRateReader reads the body of c's current request. It enforces the limits on stalls and on
// the mean rate, so that no client holds a connection to a server, and its slot there, with a
// body that never ends.
type minRateReader struct {
	c           *clientConn
	waited      time.Duration // time spent in Read: the client's, not that of a server that reads slowly
	bytesRead   int64         // bytes read so far
	length      int64         // of the body; negative: unknown
	limits      *connLimits
	onFirstRead func() // called before the first Read; may be nil

	peek       *sockets.Peeker // not that of c, which other goroutines use
	receivedAt atomic.Pointer[time.Time]
}

// maxSenderBacklog is how much of a body the kernels of both sides may hold: a client may have sent
// the last byte of its request while that much is still unread.
const maxSenderBacklog = 8 << 20

// newMinRateReader returns a reader for the rest of c's current body, of which bytesRead bytes have
// been read. The length is that of the whole body; negative: unknown.
func (s *Server) newMinRateReader(c *clientConn, bytesRead, length int64) *minRateReader {
	now := time.Now()
	p := &minRateReader{c: c, bytesRead: bytesRead, length: length, limits: &s.limits, peek: sockets.NewPeeker(c.Conn)}
	if p.mayBeSent() {
		p.receivedAt.Store(&now)
	}
	return p
}

// mayBeSent reports whether the client may have sent the whole body.
func (p *minRateReader) mayBeSent() bool {
	return p.length < 0 || p.length-p.bytesRead <= maxSenderBacklog
}

// ReceivedAt implements httpmsg.ArrivalSource. A Read that finds nothing shows that the client has
// not sent more until then. While each Read finds data, it may have sent everything long ago.
func (p *minRateReader) ReceivedAt() time.Time {
	if at := p.receivedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Read implements io.Reader.
func (p *minRateReader) Read(b []byte) (int, error) {
	now := time.Now()
	if p.onFirstRead != nil {
		p.onFirstRead()
		p.onFirstRead, p.waited = nil, 0
	}
	allowed := p.limits.bodyStallTimeout + bodyTimeout - bodyStallTimeout + time.Duration(float64(p.bytesRead)/float64(p.limits.minBodyRate)*float64(time.Second))
	if p.waited > allowed {
		return 0, os.ErrDeadlineExceeded
	}
	until := now.Add(allowed - p.waited)
	if still := now.Add(p.limits.bodyStallTimeout); still.Before(until) {
		until = still
	}
	p.c.SetReadDeadline(until)
	p.c.uploadPeek, p.c.readWaited = p.peek, false
	n, err := p.c.body.Read(b)
	p.c.uploadPeek = nil
	p.waited += time.Since(now)
	p.bytesRead += int64(n)
	if p.mayBeSent() && (p.c.readWaited || p.receivedAt.Load() == nil) {
		received := time.Now()
		p.receivedAt.Store(&received)
	}
	return n, err
}

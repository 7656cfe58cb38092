package upstream

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/policy"
)

// streamedBody is the rest of a response that is streamed. It implements io.ReadCloser, for use by
// one goroutine.
type streamedBody struct {
	c *conn
	// finish makes the connection idle, or closes it. It gets io.EOF if all was read, nil if closed
	// early.
	finish func(error)
	ended  atomic.Bool
	done   chan struct{} // closed once the body is read to its end or closed
	// err is set before done is closed: what ended the body; nil: it was closed before its end.
	err error

	// handedOver is closed once the attempt reads no more of the body itself, after part and partErr
	// were set: the result of its last Read. If it is nil, the attempt has read nothing.
	handedOver chan struct{}
	part       []byte
	partErr    error
}

// handOver ends the reading by the attempt, whose last Read had that result.
func (l *streamedBody) handOver(part []byte, err error) {
	l.part, l.partErr = part, err
	close(l.handedOver)
}

// Read implements io.Reader. The last bytes come with io.EOF. After that the connection may belong
// to another request, whose response must not be touched: further reads return no data.
func (l *streamedBody) Read(p []byte) (int, error) {
	select {
	case <-l.done:
		return 0, l.closedErr()
	default:
	}
	if l.handedOver != nil {
		select {
		case <-l.handedOver:
		case <-l.done:
			return 0, l.closedErr()
		}
	}
	n, err := l.next(p)
	if err == nil && len(l.part) == 0 && l.c.body.Ended() {
		err = io.EOF
	}
	if err != nil {
		l.end(err, l.finish)
	}
	return n, err
}

// closedErr returns the error of a Read after done is closed.
func (l *streamedBody) closedErr() error {
	if l.err == nil {
		return net.ErrClosed
	}
	return l.err
}

// next reads what the attempt has handed over, and then the body.
func (l *streamedBody) next(p []byte) (int, error) {
	if len(l.part) == 0 && l.partErr == nil {
		return l.c.body.Read(p)
	}
	n := copy(p, l.part)
	if l.part = l.part[n:]; len(l.part) > 0 {
		return n, nil
	}
	return n, l.partErr
}

// Close implements io.Closer.
func (l *streamedBody) Close() error {
	l.end(nil, l.finish)
	return nil
}

// end ends the body once, with err. A second call does not wait for the first: it may hold a lock
// that finish needs in the first, such as an attempt's lock while the attempt is canceled.
func (l *streamedBody) end(err error, settle func(error)) {
	if !l.ended.CompareAndSwap(false, true) {
		return
	}
	settle(err)
	l.err = err
	close(l.done)
}

// beginStream gives the client a response whose body is still arriving on c, and returns the rest of
// that body, which the caller has to hand over. It returns nil if the request has ended; c is closed
// then. last reports whether c can carry no further exchange after a complete body.
func (t *Transport) beginStream(a *engine.Attempt, c *conn, answer *httpmsg.Response, last func() bool) *streamedBody {
	rest := &streamedBody{c: c, done: make(chan struct{}), handedOver: make(chan struct{}), finish: func(err error) {
		if a.OnCancel(nil) && err == io.EOF && !last() {
			t.pool.putIdle(c)
		} else {
			c.Close()
		}
	}}
	c.exchangeDeadline = time.Now().Add(maxStreamTime)
	answer.BodyRest, answer.Length = rest, c.head.ContentLength
	if c.head.Chunked {
		answer.Length = -1
	}
	cancel := func() { // also ends the body if nobody reads it
		c.abort()
		rest.end(net.ErrClosed, func(error) {})
	}
	if !a.OnCancel(cancel) || !a.BeginReply(answer) {
		c.Close()
		return nil
	}
	return rest
}

// awaitStream waits for the end of a streamed body. It returns result if the body is complete or its
// reader closed it.
func (t *Transport) awaitStream(a *engine.Attempt, rest *streamedBody, result engine.AttemptResult) engine.AttemptResult {
	<-rest.done
	// A body that its reader closed says nothing about the server.
	if rest.err == io.EOF || rest.err == nil {
		return result
	}
	failed := t.failure(a, rest.c, a.Deadline, rest.err)
	failed.End.PassedOn = true
	return failed
}

// streamBody is beginStream and awaitStream for a body of which the caller reads nothing itself.
func (t *Transport) streamBody(a *engine.Attempt, c *conn, answer *httpmsg.Response, result engine.AttemptResult, last func() bool) engine.AttemptResult {
	rest := t.beginStream(a, c, answer, last)
	if rest == nil {
		return engine.AttemptResult{Status: policy.Canceled}
	}
	rest.handOver(nil, nil)
	return t.awaitStream(a, rest, result)
}

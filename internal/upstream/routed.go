package upstream

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/policy"
	"quillfront/routes"
)

const (
	// maxInterimRouted limits the 1xx responses before the final one.
	maxInterimRouted = 32
	// headStallTimeout is how long the head of a response may stall once it has begun.
	headStallTimeout = 5 * time.Second
	// bufferTimeout bounds the time to receive the body of a response that counts as a failure,
	// which is buffered.
	bufferTimeout = 2 * time.Second
	// noTimeout is a time that no exchange reaches: a streamed response only has a stall timeout.
	noTimeout = 100 * 365 * 24 * time.Hour
)

// routedExchange is one attempt of a message with an Exchange: the rules of its route apply, and
// the response may arrive, and be streamed, while the request body is still being sent.
type routedExchange struct {
	*conn
	m *httpmsg.Message

	mu          sync.Mutex
	deadline    time.Time // for the first byte of the response; zero: the body is still being sent
	headBegun   bool      // a head is being read or has been read
	ended       bool      // the attempt has ended: the upload is no longer needed
	requestSent bool      // the request has been fully written
	bodyErr     error     // an error of the source of the request body
	timedOut    bool      // the server has not read the request in time

	// proceedCh is closed when the server requests the body, or when the attempt has ended.
	proceedCh   chan struct{}
	proceedOnce sync.Once
}

// doRouted carries out an attempt of a message with an Exchange on c. What its end proves about its
// execution follows RFC 9110: a request that was partly written may have been executed.
func (t *Transport) doRouted(a *engine.Attempt, c *conn, m *httpmsg.Message) engine.AttemptResult {
	x := &routedExchange{conn: c, m: m, deadline: a.Deadline}
	if m.Upload != nil {
		x.proceedCh = make(chan struct{})
	}
	result := t.runRouted(a, x)
	x.finish()
	result.PayloadConsumed = bodyConsumed(a) // from here on this attempt reads no more of the body
	return result
}

func (t *Transport) runRouted(a *engine.Attempt, x *routedExchange) engine.AttemptResult {
	c, m := x.conn, x.m
	if m.Upload != nil {
		x.deadline = time.Time{}
		c.SetDeadline(time.Time{})
		go x.uploadAsync(a)
	} else if err := c.write(m, 0, 0, nil); err == nil {
		x.requestSent = true
	} else if c.bytesWritten.Load() == 0 {
		c.Close()
		return t.routedFailure(a, x, errNotWritten{err})
	} else { // the server may still have responded, and closed
		x.deadline = time.Now().Add(brokenWriteTimeout)
		c.SetReadDeadline(x.deadline)
	}
	if m.Upload == nil {
		a.SetStage(engine.StageAnswer)
	}
	code, minor, err := x.readFinalHead()
	if err != nil {
		c.Close()
		return t.routedFailure(a, x, err)
	}
	j := m.Exchange.Evaluate(code, x.head.Values)
	if j.Verdict == routes.Invalid {
		c.Close()
		return t.routedFailure(a, x, httpmsg.ErrMalformedHead)
	}
	answer := &httpmsg.Response{Status: code, Length: -1, NoBody: !routes.HasBody(m.Method, code)}
	answer.HeaderLines = make([]byte, 0, 256)
	for _, f := range c.head.Fields {
		if c.head.IsHopByHop(f) && !(c.head.Chunked && f.Is("Trailer")) {
			continue
		}
		answer.HasDate = answer.HasDate || f.Is("Date")
		answer.HasRetryAfter = answer.HasRetryAfter || f.Is("Retry-After")
		answer.HeaderLines = f.Append(answer.HeaderLines)
	}
	if !c.head.Chunked {
		answer.Length = c.head.ContentLength
	}
	c.head.Discard(c.r)
	last := c.head.Close || minor == 0 && !c.head.KeepAlive || !answer.NoBody && answer.Length < 0 && !c.head.Chunked
	c.exchangeDeadline, c.stallTimeout = time.Now().Add(noTimeout), m.Exchange.StallTimeout
	length, chunked := c.head.ContentLength, c.head.Chunked
	if answer.NoBody {
		length, chunked = 0, false
	}
	c.body.ResetWithLimit(c.r, length, chunked, noTimeout.Nanoseconds())
	var trailer []byte // copied when the body ends: c may then belong to another request
	if chunked {
		answer.Trailer = func() []byte { return trailer }
	}
	reusable := func() bool {
		trailer = c.body.Trailer()
		return !last && x.wasSent()
	}
	result := engine.AttemptResult{Status: policy.OK}
	if j.Verdict != routes.Final {
		result.AvoidFor = j.AvoidFor
		if result.Status = policy.AppError; j.Verdict == routes.NotRun {
			result.Status = policy.Overloaded
		}
		if x.bufferBody(answer) {
			m.Exchange.RecordResponse(answer, j.Verdict == routes.NotRun)
			t.releaseConn(a, c, reusable())
			return result
		}
		// The body is incomplete or too long to be buffered.
		if j.Verdict == routes.NotRun || !x.canContinue() {
			c.Close()
			return result
		}
	} else if x.bodyBuffered() {
		answer.Body, err = c.body.ReadUpTo(int64(c.r.Size()))
		if err != nil {
			c.Close()
			return t.routedFailure(a, x, err)
		}
		result.Reply = answer
		t.releaseConn(a, c, reusable() && c.body.Ended())
		return result
	}
	return t.streamBody(a, c, answer, result, func() bool { return !reusable() })
}

// releaseConn ends the use of c by an attempt whose response has been read.
func (t *Transport) releaseConn(a *engine.Attempt, c *conn, reusable bool) {
	// From here on c does not belong to the attempt.
	if active := a.OnCancel(nil); active && reusable {
		t.pool.putIdle(c)
	} else {
		c.Close()
	}
}

// readFinalHead reads heads up to that of a final response, which is then in x.head and still in
// x.r.
func (x *routedExchange) readFinalHead() (code, minor int, err error) {
	for range maxInterimRouted {
		if _, err := x.r.Peek(1); err != nil {
			return 0, 0, err
		}
		x.mu.Lock()
		x.headBegun = true
		x.mu.Unlock()
		x.exchangeDeadline, x.stallTimeout, x.responseBegun = time.Now().Add(headStallTimeout), headStallTimeout, true
		if err := x.head.Read(x.r); err != nil {
			return 0, 0, err
		}
		if code, minor, err = x.status(); err != nil {
			return 0, 0, err
		}
		if code >= 200 || code == http.StatusSwitchingProtocols {
			return code, minor, nil
		}
		if code == http.StatusContinue {
			x.proceed()
		} else if x.m.Exchange.OnInterim != nil {
			var lines []byte
			for _, f := range x.head.Fields {
				if !x.head.IsHopByHop(f) {
					lines = f.Append(lines)
				}
			}
			x.m.Exchange.OnInterim(code, lines)
		}
		x.head.Discard(x.r)
		x.mu.Lock()
		x.headBegun, x.responseBegun = false, false
		x.SetReadDeadline(x.deadline)
		x.mu.Unlock()
	}
	return 0, 0, errors.New("too many interim responses")
}

// bodyBuffered reports whether the whole body is in the read buffer, or there is no body.
func (x *routedExchange) bodyBuffered() bool {
	switch {
	case x.body.Ended():
		return true
	case x.head.Chunked:
		b, _ := x.r.Peek(x.r.Buffered())
		return httpmsg.ChunkedBodyComplete(b)
	}
	return x.head.ContentLength >= 0 && x.head.ContentLength <= int64(x.r.Buffered())
}

// bufferBody reads the body of a response that is not passed on yet, and reports whether it is
// complete.
func (x *routedExchange) bufferBody(answer *httpmsg.Response) (whole bool) {
	if x.head.ContentLength > httpmsg.MaxFullBody && !answer.NoBody {
		return false
	}
	x.stallTimeout = min(x.stallTimeout, bufferTimeout)
	x.exchangeDeadline = time.Now().Add(bufferTimeout)
	x.responseBegun = true
	x.SetReadDeadline(x.exchangeDeadline)
	body, err := x.body.ReadUpTo(httpmsg.MaxFullBody)
	answer.Body = body
	x.exchangeDeadline, x.stallTimeout = time.Now().Add(noTimeout), x.m.Exchange.StallTimeout
	return err == nil && x.body.Ended()
}

// canContinue reports whether the rest of the body can still arrive, so that it can be streamed.
func (x *routedExchange) canContinue() bool { return x.body.ReadErr() == nil }

// uploadAsync sends the request while its response may already be arriving.
func (x *routedExchange) uploadAsync(a *engine.Attempt) {
	expects := x.m.Exchange.ExpectTimeout > 0
	err := x.writeHead()
	if err == nil && expects {
		timer := time.NewTimer(x.m.Exchange.ExpectTimeout)
		select {
		case <-x.proceedCh:
		case <-timer.C:
		}
		timer.Stop()
		x.mu.Lock()
		ended := x.ended
		x.mu.Unlock()
		if ended { // the server has responded without the body
			return
		}
	}
	if err == nil {
		err = x.uploadBody(a.Timeout())
	}
	if err == nil {
		deadline := a.Uploaded(x.m.Upload.ReceivedAt())
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.requestSent, x.deadline = true, deadline; !x.headBegun && !x.ended {
			x.SetReadDeadline(deadline)
		}
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	var bodyErr errBodySource
	if errors.As(err, &bodyErr) {
		x.bodyErr = err
	}
	if x.ended {
		return
	}
	x.timedOut = errors.Is(err, errUploadTimeout)
	if x.deadline = time.Now().Add(brokenWriteTimeout); x.bodyErr != nil || x.timedOut {
		x.deadline = time.Now()
	}
	if !x.headBegun { // the server may still have responded, and closed
		x.SetReadDeadline(x.deadline)
	}
}

// writeHead writes the head of a request whose body follows as it arrives.
func (x *routedExchange) writeHead() error {
	c, m := x.conn, x.m
	c.w.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	c.w.Write(m.HeaderLines)
	if m.Exchange.ExpectTimeout > 0 {
		c.w.WriteString("Expect: 100-continue\r\n")
	}
	c.writeFraming(m)
	c.SetWriteDeadline(time.Now().Add(x.m.Exchange.StallTimeout))
	if m.Exchange.ExpectTimeout > 0 {
		return c.w.Flush()
	}
	return nil
}

// uploadBody writes the body, unless the attempt has ended.
func (x *routedExchange) uploadBody(timeout time.Duration) error {
	x.mu.Lock()
	if x.ended {
		x.mu.Unlock()
		return net.ErrClosed
	}
	x.m.Upload.MarkStarted()
	x.mu.Unlock()
	return x.sendBody(x.m, x.m.Exchange.StallTimeout, timeout, func() bool { return false })
}

// proceed lets the upload send the body.
func (x *routedExchange) proceed() {
	if x.proceedCh != nil {
		x.proceedOnce.Do(func() { close(x.proceedCh) })
	}
}

// finish marks the attempt as ended, and stops its upload if there is one.
func (x *routedExchange) finish() {
	x.mu.Lock()
	x.ended = true
	x.mu.Unlock()
	x.proceed()
	if x.m.Upload != nil && x.m.Upload.Started() {
		x.m.Upload.Stop()
	}
}

func (x *routedExchange) wasSent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.requestSent
}

// routedFailure returns the result of an attempt that failed with err.
func (t *Transport) routedFailure(a *engine.Attempt, x *routedExchange, err error) engine.AttemptResult {
	x.mu.Lock()
	bodyErr, deadline, timedOut := x.bodyErr, x.deadline, x.timedOut
	x.mu.Unlock()
	status := policy.Reset
	var notWritten errNotWritten
	switch {
	case a.Canceled():
		status = policy.Canceled
	case bodyErr != nil: // not the server's fault
		status = policy.NotSent
		if x.bytesWritten.Load() > 0 {
			status = policy.Canceled
		}
	case timedOut:
		status = policy.Timeout
	case errors.As(err, &notWritten), x.bytesWritten.Load() == 0:
		// Whatever the cause, the server received nothing of it.
		status = policy.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded) && !deadline.IsZero() && !time.Now().Before(deadline) && x.wasSent():
		status = policy.Timeout
	}
	return engine.AttemptResult{Status: status, End: describeEnd(a, x.conn, deadline, err)}
}

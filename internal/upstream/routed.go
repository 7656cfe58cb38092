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
	// mostInterimWhole bounds the informational answers before the final one.
	mostInterimWhole = 32
	// headTime is how long the head of an answer may stand still once it has begun.
	headTime = 5 * time.Second
	// heldTime is how long the body of an answer that counts as a failure may take to come, as it is held.
	heldTime = 2 * time.Second
	// never is a time that no exchange reaches: what is passed on has a bound on its standing still alone.
	never = 100 * 365 * 24 * time.Hour
)

// exchange is one attempt of a message with Terms: its answer may come, and be passed on, while its body is still being sent.
type exchange struct {
	*conn
	m *httpmsg.Message

	mu       sync.Mutex
	deadline time.Time // of the answer's first byte; zero: the body is still being sent
	begun    bool      // a head is being read, or has been
	over     bool      // the attempt has ended: the body is nobody's business any more
	sent     bool      // the request has been written whole
	source   error     // what broke the body on its way here

	goOn chan struct{} // closed once the server wants the body, or once it has ended
	once sync.Once
}

// whole carries out one attempt of a message with Terms on c. What its end proves follows RFC 9110: a request of which a part was
// written may have run.
func (t *Transport) whole(a *engine.Attempt, c *conn, m *httpmsg.Message) engine.AttemptResult {
	x := &exchange{conn: c, m: m, deadline: a.Deadline}
	if m.Rest != nil {
		x.goOn = make(chan struct{})
	}
	end := t.carryOut(a, x)
	x.end()
	end.PayloadConsumed = spent(a) // from here on nothing more of the body is read for this attempt
	return end
}

func (t *Transport) carryOut(a *engine.Attempt, x *exchange) engine.AttemptResult {
	c, m := x.conn, x.m
	if m.Rest != nil {
		x.deadline = time.Time{}
		c.SetDeadline(time.Time{})
		go x.upload(a)
	} else if err := c.write(m, 0, nil); err == nil {
		x.sent = true
	} else if c.written.Load() == 0 {
		c.Close()
		return t.ending(a, x, errNotWritten{err})
	} else { // it may have answered all the same, and closed
		x.deadline = time.Now().Add(answerTime)
		c.SetReadDeadline(x.deadline)
	}
	if m.Rest == nil {
		a.SetStage(engine.StageAnswer)
	}
	code, minor, err := x.answer()
	if err != nil {
		c.Close()
		return t.ending(a, x, err)
	}
	j := m.Terms.Judge(code, x.head.Values)
	if j.Verdict == routes.Spoilt {
		c.Close()
		return t.ending(a, x, httpmsg.ErrHead)
	}
	answer := &httpmsg.Answer{Status: code, Length: -1, Bare: !routes.HasBody(m.Method, code)}
	answer.Lines = make([]byte, 0, 256)
	for _, f := range c.head.Fields {
		if c.head.Hop(f) && !(c.head.Chunked && f.Is("Trailer")) {
			continue
		}
		answer.Dated = answer.Dated || f.Is("Date")
		answer.Asks = answer.Asks || f.Is("Retry-After")
		answer.Lines = f.Append(answer.Lines)
	}
	if !c.head.Chunked {
		answer.Length = c.head.Length
	}
	c.head.Discard(c.r)
	last := c.head.Close || minor == 0 && !c.head.Keep || !answer.Bare && answer.Length < 0 && !c.head.Chunked
	c.until, c.stall = time.Now().Add(never), m.Terms.Stall
	length, chunked := c.head.Length, c.head.Chunked
	if answer.Bare {
		length, chunked = 0, false
	}
	c.body.ResetTo(c.r, length, chunked, never.Nanoseconds())
	var trailer []byte // taken as the body ends: then c may be another request's
	if chunked {
		answer.Trailer = func() []byte { return trailer }
	}
	reusable := func() bool {
		trailer = c.body.Trailer()
		return !last && x.wasSent()
	}
	end := engine.AttemptResult{Status: policy.OK}
	if j.Verdict != routes.Final {
		end.AvoidFor = j.Avoid
		if end.Status = policy.AppError; j.Verdict == routes.NotRun {
			end.Status = policy.Overloaded
		}
		if x.hold(answer) {
			m.Terms.Keep(answer, j.Verdict == routes.NotRun)
			t.done(a, c, reusable())
			return end
		}
		if j.Verdict == routes.NotRun || !x.goesOn() { // it does not come whole, or is too long to be held
			c.Close()
			return end
		}
	} else if x.there() {
		answer.Body, err = c.body.UpTo(int64(c.r.Size()))
		if err != nil {
			c.Close()
			return t.ending(a, x, err)
		}
		end.Reply = answer
		t.done(a, c, reusable() && c.body.Ended())
		return end
	}
	return t.passOn(a, c, answer, end, func() bool { return !reusable() })
}

// done ends the use of c by an attempt whose answer has been read.
func (t *Transport) done(a *engine.Attempt, c *conn, reusable bool) {
	if wanted := a.OnCancel(nil); wanted && reusable { // from here on c is no longer the attempt's
		t.pool.keep(c)
	} else {
		c.Close()
	}
}

// answer reads heads until that of a final answer, which then stands in x.head and still in x.r.
func (x *exchange) answer() (code, minor int, err error) {
	for range mostInterimWhole {
		if _, err := x.r.Peek(1); err != nil {
			return 0, 0, err
		}
		x.mu.Lock()
		x.begun = true
		x.mu.Unlock()
		x.until, x.stall, x.answers = time.Now().Add(headTime), headTime, true
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
		} else if x.m.Terms.Interim != nil {
			var lines []byte
			for _, f := range x.head.Fields {
				if !x.head.Hop(f) {
					lines = f.Append(lines)
				}
			}
			x.m.Terms.Interim(code, lines)
		}
		x.head.Discard(x.r)
		x.mu.Lock()
		x.begun, x.answers = false, false
		x.SetReadDeadline(x.deadline)
		x.mu.Unlock()
	}
	return 0, 0, errors.New("too many interim answers")
}

// there reports whether all of the body lies in the buffer, or there is none.
func (x *exchange) there() bool {
	switch {
	case x.body.Ended():
		return true
	case x.head.Chunked:
		b, _ := x.r.Peek(x.r.Buffered())
		return httpmsg.ChunksEnd(b)
	}
	return x.head.Length >= 0 && x.head.Length <= int64(x.r.Buffered())
}

// hold reads the body of an answer that is not passed on yet, and reports whether it has come whole.
func (x *exchange) hold(answer *httpmsg.Answer) (whole bool) {
	if x.head.Length > httpmsg.MaxWhole && !answer.Bare {
		return false
	}
	x.stall = min(x.stall, heldTime)
	x.until = time.Now().Add(heldTime)
	x.answers = true
	x.SetReadDeadline(x.until)
	body, err := x.body.UpTo(httpmsg.MaxWhole)
	answer.Body = body
	x.until, x.stall = time.Now().Add(never), x.m.Terms.Stall
	return err == nil && x.body.Ended()
}

// goesOn reports whether the rest of the body can still come, so that it can be passed on.
func (x *exchange) goesOn() bool { return x.body.Broken() == nil }

// upload sends the request while its answer may already be coming.
func (x *exchange) upload(a *engine.Attempt) {
	expects := x.m.Terms.Expect > 0
	err := x.writeHead()
	if err == nil && expects {
		late := time.NewTimer(x.m.Terms.Expect)
		select {
		case <-x.goOn:
		case <-late.C:
		}
		late.Stop()
		x.mu.Lock()
		over := x.over
		x.mu.Unlock()
		if over { // it has answered without the body
			return
		}
	}
	if err == nil {
		err = x.pieces()
	}
	if err == nil {
		deadline := a.UploadedConcurrently()
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.sent, x.deadline = true, deadline; !x.begun && !x.over {
			x.SetReadDeadline(deadline)
		}
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	var source errSource
	if errors.As(err, &source) {
		x.source = err
	}
	if x.over {
		return
	}
	if x.deadline = time.Now().Add(answerTime); x.source != nil {
		x.deadline = time.Now()
	}
	if !x.begun { // it may have answered all the same, and closed
		x.SetReadDeadline(x.deadline)
	}
}

// writeHead writes the head of a request whose body follows as it comes.
func (x *exchange) writeHead() error {
	c, m := x.conn, x.m
	c.w.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	c.w.Write(m.Lines)
	if m.Terms.Expect > 0 {
		c.w.WriteString("Expect: 100-continue\r\n")
	}
	c.framing(m)
	c.SetWriteDeadline(time.Now().Add(x.m.Terms.Stall))
	if m.Terms.Expect > 0 {
		return c.w.Flush()
	}
	return nil
}

// pieces writes the body, unless the attempt has ended by then.
func (x *exchange) pieces() error {
	x.mu.Lock()
	if x.over {
		x.mu.Unlock()
		return net.ErrClosed
	}
	x.m.Rest.Start()
	x.mu.Unlock()
	return x.sendBody(x.m, x.m.Terms.Stall, func() bool { return false })
}

// proceed has the body sent.
func (x *exchange) proceed() {
	if x.goOn != nil {
		x.once.Do(func() { close(x.goOn) })
	}
}

// end tells the upload, if there is one, that nobody waits for it any more.
func (x *exchange) end() {
	x.mu.Lock()
	x.over = true
	x.mu.Unlock()
	x.proceed()
	if x.m.Rest != nil && x.m.Rest.Started() {
		x.m.Rest.Stop()
	}
}

func (x *exchange) wasSent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sent
}

// ending is the ending of an attempt that err broke.
func (t *Transport) ending(a *engine.Attempt, x *exchange, err error) engine.AttemptResult {
	x.mu.Lock()
	source, deadline := x.source, x.deadline
	x.mu.Unlock()
	status := policy.Reset
	var notWritten errNotWritten
	switch {
	case a.Canceled():
		status = policy.Canceled
	case source != nil: // nothing was wrong with the server
		status = policy.NotSent
		if x.written.Load() > 0 {
			status = policy.Canceled
		}
	case errors.As(err, &notWritten), x.written.Load() == 0: // whatever ended it, the server never had any of it
		status = policy.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded) && !deadline.IsZero() && !time.Now().Before(deadline) && x.wasSent():
		status = policy.Timeout
	}
	t.log.Debug("attempt", "request", a.ExternalID(), "upstream", a.Server, "status", status, "err", err)
	return engine.AttemptResult{Status: status}
}

package upstream

import (
	"io"
	"net/http"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/policy"
)

const (
	// maxHeldResponses limits the responses of more than maxBufferedBody bytes that are buffered
	// before they are passed on, or of which as much as that is waiting for a slow client.
	maxHeldResponses = 128
	// maxBufferedBody is how much of a long response is buffered before it is passed on. Broken
	// responses mostly break near their start, and until then the request can be attempted again.
	maxBufferedBody = 16 << 10
	// maxBufferTime is how long the start of a response may be buffered. A long response must not be
	// held back for 2 s, and one of unknown length may be long.
	maxBufferTime = 1500 * time.Millisecond
	// passOnReserve is how long before its deadline a response that is still being buffered is passed
	// on.
	passOnReserve = 100 * time.Millisecond
	// slowResponseDelay is how long after its begin a response that is not complete counts as slow:
	// its server no longer works on the request, but writes.
	slowResponseDelay = 50 * time.Millisecond
	// stallNotice is how long a response may stand still before the module hears of it, which may
	// then send the request to another server beside this one.
	stallNotice = 500 * time.Millisecond
	// choiceRecheck is the interval at which the responses to one request look which of them is to be
	// passed on.
	choiceRecheck = 10 * time.Millisecond
	// choiceTime is how long responses that are due to be passed on wait for one that is about to get
	// ahead of them, and maxChoiceTime how long one of them waits for another to be passed on. Both have
	// to be below passOnReserve.
	choiceTime    = 70 * time.Millisecond
	maxChoiceTime = 90 * time.Millisecond
	// errorBodyTimeout bounds the time to receive the body of an error, which is discarded.
	errorBodyTimeout = 100 * time.Millisecond
)

// responseWatch follows a response from its first byte until it is complete or passed on. It tells
// the module that the response is slow or stands still, and passes it on when its time is up. Its
// connection calls wake, in the goroutine that reads, while that waits for data.
type responseWatch struct {
	t        *Transport
	a        *engine.Attempt
	c        *conn
	deadline time.Time // of the first bytes of the response
	begunAt  time.Time

	toldSlow, toldStalled bool
	dueSince              time.Time // since when another response is waited for; zero: it is not

	// The fields below are set once the body has begun.
	answer *httpmsg.Response
	last   func() bool // reports whether the connection can carry no further exchange
	start  []byte      // what has been read of the body
	passAt time.Time   // when start is passed on; zero: never, as the body is known to be short

	rest   *streamedBody // set once start has been passed on
	unwant bool          // the request had ended when start was to be passed on
}

// nextAt returns when wake is to be called unless data arrives before. The zero time means never.
func (w *responseWatch) nextAt(waitingSince time.Time) time.Time {
	next := w.passAt
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if !w.toldSlow {
		consider(w.begunAt.Add(slowResponseDelay))
	}
	if !w.toldStalled {
		consider(waitingSince.Add(stallNotice))
	}
	if w.mayBePassedOn() && w.a.HasCompanions() {
		consider(time.Now().Add(choiceRecheck))
	}
	return next
}

// mayBePassedOn reports whether the response can be passed on before it is complete.
func (w *responseWatch) mayBePassedOn() bool { return !w.passAt.IsZero() }

// wake does what is due at now, while nothing has come since waitingSince.
func (w *responseWatch) wake(now, waitingSince time.Time) {
	if !w.toldSlow && !now.Before(w.begunAt.Add(slowResponseDelay)) {
		w.toldSlow = true
		w.a.ResponseSlow(w.begunAt)
	}
	stalled := !now.Before(waitingSince.Add(stallNotice))
	if stalled && !w.toldStalled {
		w.toldStalled = true
		w.a.ResponseStalled(waitingSince)
	}
	if w.mayBePassedOn() && w.duePassOn(now, stalled) {
		w.passOn()
	}
}

// duePassOn reports whether the response has to be passed on now. A response that stands still lets
// another attempt get ahead as long as it can, and one that another is expected to end before asks that
// one to be passed on, and waits for a short while.
func (w *responseWatch) duePassOn(now time.Time, stalled bool) bool {
	if w.a.AskedToPassOn() {
		return true
	}
	if now.Before(w.passAt) {
		return false
	}
	if latest := w.latestPass(); stalled && now.Before(latest) && !w.a.Alone() {
		w.passAt = latest
		return false
	}
	if w.dueSince.IsZero() {
		w.dueSince = now
	}
	left := w.deadline.Sub(w.dueSince)
	latestChoice := w.dueSince.Add(min(choiceTime, left*7/10))
	if latestChoice.Before(now) {
		latestChoice = now
	}
	last := w.dueSince.Add(min(maxChoiceTime, left*9/10))
	if !now.Before(last) || w.a.MayPassOn(latestChoice, true) {
		return true
	}
	w.passAt = now.Add(choiceRecheck)
	return false
}

// latestPass returns the latest time at which the response is passed on.
func (w *responseWatch) latestPass() time.Time {
	return w.deadline.Add(-min(passOnReserve, max(0, w.deadline.Sub(w.begunAt)/2)))
}

// passOn gives the response to the client, with what has been read of the body as its start. From
// now on the watch is over, and the client's reader gets the rest.
func (w *responseWatch) passOn() {
	w.c.watch = nil
	w.answer.Body = w.start
	w.rest = w.t.beginStream(w.a, w.c, w.answer, w.last)
	w.unwant = w.rest == nil
}

// receive reads the body of answer, whose head has been read, and returns the result of the attempt.
// A body that is known to be short is delivered once it is whole. Any other is passed on, unless it
// ends before: when enough of it has come, or when it may be buffered no longer.
func (w *responseWatch) receive(answer *httpmsg.Response, result engine.AttemptResult, last func() bool) engine.AttemptResult {
	c, t := w.c, w.t
	w.answer, w.last = answer, last
	target := int64(maxBufferedBody)
	switch length := c.head.ContentLength; {
	case c.body.Ended() || !c.head.Chunked && length >= 0 && length <= httpmsg.MaxFullBody:
		target = httpmsg.MaxFullBody + 1
		w.start = make([]byte, 0, max(length, 0))
	default:
		w.passAt = earlier(w.begunAt.Add(maxBufferTime), w.latestPass())
	}
	held := false
	var part []byte // what a Read brought during which the response was passed on
	var err error
	for w.rest == nil && !w.unwant && err == nil && !c.body.Ended() {
		if int64(len(w.start)) >= target {
			// A length that is known tells that the response is long, and that another attempt ends
			// before it can be seen only in what comes.
			full := held || expectedLength(c) >= 0 && w.a.MayPassOn(w.passAt, false)
			if full || !t.holdResponse() {
				w.passOn()
				break
			}
			held, target = true, httpmsg.MaxFullBody+1
			defer t.heldResponses.Add(-1)
		}
		buf := httpmsg.Grow(w.start, target)
		var n int
		n, err = c.body.Read(buf[len(buf):min(int64(cap(buf)), target)])
		if part = buf[len(buf) : len(buf)+n]; w.rest == nil {
			w.start, part = buf[:len(buf)+n], nil
			if err == nil && !c.body.Ended() { // most responses end with their first bytes
				w.a.ReplyReceived(int64(len(w.start)), expectedLength(c))
			}
			if w.mayBePassedOn() && w.a.AskedToPassOn() && err == nil && !c.body.Ended() {
				w.passOn()
			}
		}
	}
	c.watch = nil
	switch {
	case w.unwant:
		return engine.AttemptResult{Status: policy.Canceled}
	case w.rest != nil:
		w.rest.handOver(part, err)
		return t.awaitStream(w.a, w.rest, result)
	case err != nil && err != io.EOF:
		w.a.OnCancel(nil)
		c.Close()
		return w.failure(err)
	}
	answer.Body, result.Reply = w.start, answer
	t.releaseConn(w.a, c, !last())
	result.PayloadConsumed = bodyConsumed(w.a)
	return result
}

// expectedLength returns the length of the body that a response on c has announced; -1: none.
func expectedLength(c *conn) int64 {
	if c.head.Chunked {
		return -1
	}
	return c.head.ContentLength
}

// failure returns the result of an attempt whose response ended with err before its time.
func (w *responseWatch) failure(err error) engine.AttemptResult {
	result := w.t.failure(w.a, w.c, w.deadline, err)
	if result.Status == policy.Canceled && w.toldStalled && time.Since(w.c.waitingSince) >= stallNotice {
		result.End.Reason = policy.ReasonStoodStill // which is why another attempt got ahead
	}
	return result
}

// holdResponse reports whether one more response may be buffered up to httpmsg.MaxFullBody bytes. If
// so, the caller has to subtract it from t.heldResponses at its end.
func (t *Transport) holdResponse() bool {
	if t.heldResponses.Add(1) <= maxHeldResponses {
		return true
	}
	t.heldResponses.Add(-1)
	return false
}

// discardBody reads and discards the body of an error within a short time, so that its connection can
// be used again, and releases the connection.
func (t *Transport) discardBody(a *engine.Attempt, c *conn, last bool) {
	c.watch = nil
	c.exchangeDeadline = earlier(c.exchangeDeadline, time.Now().Add(errorBodyTimeout))
	_, err := c.body.ReadUpTo(httpmsg.MaxFullBody)
	t.releaseConn(a, c, err == nil && !last && c.body.Ended())
}

// readResult fills result from the head of a response, and returns the response if it is to be
// delivered: if its status is 200.
func (t *Transport) readResult(c *conn, to engine.Endpoint, code int, result *engine.AttemptResult) *httpmsg.Response {
	var answer *httpmsg.Response
	switch {
	case code == http.StatusOK:
		answer = &httpmsg.Response{}
	case code/100 == 4:
		result.Status = policy.Rejected
	default:
		result.Status = policy.AppError
	}
	format := t.loadFormat.Load()
	for _, f := range c.head.Fields {
		switch {
		case format.inline && f.Is("X-Server-Load"):
			result.Load = t.parseReport(to, string(f.Value), format.fields)
		case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
			f.Is("X-Not-Processed") && string(f.Value) == "1":
			result.Status = policy.Overloaded
		}
		if answer != nil && !c.head.IsHopByHop(f) {
			if answer.HeaderLines == nil {
				answer.HeaderLines = make([]byte, 0, 256)
			}
			answer.HeaderLines = f.Append(answer.HeaderLines)
		}
	}
	return answer
}

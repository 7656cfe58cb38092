package fronttest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// holdLimit is how long bytes that a server has given may be held back.
	holdLimit = 2 * time.Second
	// lateLimit is how long after its time an answer only earns nothing; later, it is lost.
	lateLimit = 500 * time.Millisecond
	// giveUpLimit bounds the wait for the end of an answer whose server has stopped in the middle.
	giveUpLimit = 8 * time.Second
	// scheduling is the allowance for delays of the machine.
	scheduling = 150 * time.Millisecond
)

// exchange is one request and what became of it at the client.
type exchange struct {
	class string
	wait  time.Duration // the client's time
	plan  int           // index of the plan by which servers answer
	id    string

	sentAt  time.Time
	firstAt time.Time // first byte of the answer; zero: none came
	endAt   time.Time
	status  int // 0: no answer
	attempt int // whose answer it is
	reads   []written
	whole   bool // the answer came to an end according to its framing
	corrupt bool // the body is not what the server wrote
	err     error
}

// run sends the request and reads its answer.
func (x *exchange) run(f *front) {
	x.id = newID()
	c, err := f.dial()
	if err != nil {
		x.err, x.sentAt, x.endAt = err, time.Now(), time.Now()
		return
	}
	defer c.Close()
	x.sentAt = time.Now()
	c.SetDeadline(x.sentAt.Add(x.wait + testTimeout))
	io.WriteString(c, x.head())
	r := bufio.NewReader(c)
	defer func() { x.endAt = time.Now() }()
	if _, x.err = r.Peek(1); x.err != nil {
		return
	}
	x.firstAt = time.Now()
	resp, err := http.ReadResponse(r, nil)
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(r, nil)
	}
	if x.err = err; err != nil {
		return
	}
	x.status = resp.StatusCode
	x.attempt, _ = strconv.Atoi(resp.Header.Get("X-Attempt"))
	x.readBody(resp.Body)
}

// head returns the request.
func (x *exchange) head() string {
	method := http.MethodGet
	if x.class != "read" {
		method = http.MethodPost
	}
	text := fmt.Sprintf("%s /%s/k?plan=%d HTTP/1.1\r\nHost: fleet\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n", method, x.class, x.plan, x.id, x.wait.Milliseconds())
	if x.class == "order" {
		text += "Idempotency-Key: " + x.id + "\r\n"
	}
	if x.class != "read" {
		text += "Content-Length: 0\r\n"
	}
	return text + "\r\n"
}

// readBody reads the body of the answer and compares it with what the server writes.
func (x *exchange) readBody(body io.Reader) {
	buf := make([]byte, 4<<10)
	total := 0
	for {
		n, err := body.Read(buf)
		if x.status == http.StatusOK && !bytes.Equal(buf[:n], answerBytes(x.plan, x.attempt, total, n)) {
			x.corrupt = true
		}
		total += n
		x.reads = append(x.reads, written{time.Now(), total})
		if err != nil {
			x.whole, x.err = err == io.EOF, err
			return
		}
	}
}

// received returns how much of the body the client got.
func (x *exchange) received() int {
	if len(x.reads) == 0 {
		return 0
	}
	return x.reads[len(x.reads)-1].total
}

// heldBack returns the longest time for which bytes of the attempt that answered were held back.
func (x *exchange) heldBack(a attemptRecord) time.Duration {
	longest, i := time.Duration(0), 0
	for _, w := range a.writes {
		for i < len(x.reads) && x.reads[i].total < w.total {
			i++
		}
		until := x.endAt
		if i < len(x.reads) {
			until = x.reads[i].at
		}
		longest = max(longest, until.Sub(w.at))
	}
	return longest
}

// judge returns the rules that the exchange broke, by the rules on requests and answers. attempts is
// what the servers saw.
func (x *exchange) judge(plan *answerPlan, attempts []attemptRecord) (broken []string) {
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	long := plan.size() > fullSize
	sound := plan.ending == endsInOrder
	by := x.sentAt.Add(x.wait)
	switch {
	case x.status == 0:
		add("no answer: %v", x.err)
	case x.corrupt:
		add("corrupt: the body is not what the server wrote")
	case x.whole && x.status == http.StatusOK && x.received() != plan.size():
		add("corrupt: a part of %d bytes passes for the whole", x.received())
	case x.status != http.StatusOK && x.endAt.After(by.Add(lateLimit+scheduling)):
		add("late: %d after %v", x.status, x.endAt.Sub(x.sentAt))
	case x.status == http.StatusOK && x.firstAt.After(by.Add(lateLimit+scheduling)):
		add("late: the first byte after %v", x.firstAt.Sub(x.sentAt))
	case x.endAt.After(by.Add(giveUpLimit)) && !x.whole:
		add("late: the end of a broken answer after %v", x.endAt.Sub(x.sentAt))
	}
	if sound && long && !x.whole && x.status != 0 {
		for _, a := range attempts {
			if x.status == http.StatusOK && a.number == x.attempt || x.givesInTime(plan, a) {
				add("cut off: status %d, %d bytes, ended %v after it was sent", x.status, x.received(), x.endAt.Sub(x.sentAt).Round(time.Millisecond))
				break
			}
		}
	}
	if sound && long && x.status != http.StatusOK && x.status != 0 && x.whole {
		for _, a := range attempts {
			if x.givesInTime(plan, a) {
				add("cut off: status %d %v after it was sent, although %s", x.status, x.endAt.Sub(x.sentAt).Round(time.Millisecond), a)
				break
			}
		}
	}
	if len(attempts) == 0 && x.status == http.StatusServiceUnavailable {
		add("refused before any attempt")
	}
	if x.status == http.StatusOK && x.whole && x.attempt < len(attempts) {
		if held := x.heldBack(attempts[x.attempt]); long && held > holdLimit {
			add("held back for %v", held)
		}
	}
	if x.class == "pay" && len(attempts) > 1 {
		add("twice: %d attempts of a request that must not be repeated", len(attempts))
	}
	return broken
}

// givesInTime reports whether an attempt gave the first bytes of its body within the client's time, or
// would have done so if the program had not ended it.
func (x *exchange) givesInTime(plan *answerPlan, a attemptRecord) bool {
	if a.headAt.IsZero() {
		return false
	}
	first := a.headAt
	if len(plan.pieces) > 0 {
		first = first.Add(plan.pieces[0].pause)
	}
	return first.Before(x.sentAt.Add(x.wait - scheduling))
}

// describe returns a line about the exchange for a report.
func (x *exchange) describe(plan *answerPlan, attempts []attemptRecord) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v: id %s class %s wait %v", plan, x.id, x.class, x.wait)
	if !x.firstAt.IsZero() {
		fmt.Fprintf(&b, ", first byte of the answer after %v", x.firstAt.Sub(x.sentAt).Round(time.Millisecond))
	}
	fmt.Fprintf(&b, ", status %d, %d bytes, ended after %v (%v)", x.status, x.received(), x.endAt.Sub(x.sentAt).Round(time.Millisecond), x.err)
	for _, a := range attempts {
		fmt.Fprintf(&b, "; %v", a)
	}
	return b.String()
}

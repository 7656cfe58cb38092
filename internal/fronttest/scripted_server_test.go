package fronttest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

// framing is how an answer shows its end.
type framing int

const (
	byLength framing = iota
	inChunks
	inOneChunk // one chunk, which is written in pieces
	untilClose
)

func (f framing) String() string {
	return [...]string{"length", "chunked", "one chunk", "close"}[f]
}

// ending is what a server does after the pieces of an answer.
type ending int

const (
	endsInOrder ending = iota
	stopsForever
	resets
)

func (e ending) String() string { return [...]string{"in order", "stops forever", "reset"}[e] }

// piece is a part of an answer's body, which is written after a pause.
type piece struct {
	pause time.Duration
	size  int // bytes
}

// answerPlan tells servers how to answer one request.
type answerPlan struct {
	shape     string // name of the pattern that made the pieces
	framing   framing
	headPause time.Duration // before the head
	pieces    []piece
	missing   int           // bytes of the body that the server announces and never gives
	lastPause time.Duration // before the last chunk, or the close
	ending    ending
	// interim is the number of 1xx answers before the final one.
	interim int
	early   bool // answer before the request's body has been read
	// next is how further attempts are answered; nil: as the first one.
	next *answerPlan
	// readRate limits how fast the request's body is read, in bytes per second; 0: no limit.
	readRate int
}

// at returns the plan of an attempt, numbered from 0.
func (p *answerPlan) at(attempt int) *answerPlan {
	if attempt > 0 && p.next != nil {
		return p.next
	}
	return p
}

// duration returns how long the answer takes from its head to its end.
func (p *answerPlan) duration() time.Duration {
	d := p.lastPause
	for _, part := range p.pieces {
		d += part.pause
	}
	return d
}

// size returns the length of the body in bytes.
func (p *answerPlan) size() int {
	n := p.missing
	for _, part := range p.pieces {
		n += part.size
	}
	return n
}

func (p *answerPlan) String() string {
	text := fmt.Sprintf("%s, %v, %d bytes, ends %v", p.shape, p.framing, p.size(), p.ending)
	if p.interim > 0 {
		text += fmt.Sprintf(", %d interim", p.interim)
	}
	if p.early {
		text += ", early"
	}
	if p.readRate > 0 {
		text += fmt.Sprintf(", body read at %d B/s", p.readRate)
	}
	if p.next != nil {
		text += " (then " + p.next.String() + ")"
	}
	return text
}

// written is how much of an answer's body had been written at a time.
type written struct {
	at    time.Time
	total int
}

// attemptRecord is what a server saw of one attempt.
type attemptRecord struct {
	server   string
	number   int // of the attempt, from 0
	headAt   time.Time
	writes   []written
	complete bool      // all was written, and the answer ended in order
	closedAt time.Time // when the program ended the connection before that; zero: it did not
}

func (a attemptRecord) String() string {
	text := fmt.Sprintf("%s gave", a.server)
	if n := len(a.writes); n > 0 {
		text += fmt.Sprintf(" %d", a.writes[n-1].total)
	} else {
		text += " 0"
	}
	if !a.closedAt.IsZero() {
		text += fmt.Sprintf(", closed by the program %v after its head", a.closedAt.Sub(a.headAt).Round(time.Millisecond))
	}
	return text
}

// scriptedFleet is a group of servers that answer each request by the plan that its query names.
type scriptedFleet struct {
	addrs []string

	mu       sync.Mutex
	plans    []*answerPlan
	attempts map[int][]*attemptRecord // by index of the plan
}

// startScriptedFleet starts n servers. They stop with the test.
func startScriptedFleet(t testing.TB, n int) *scriptedFleet {
	t.Helper()
	f := &scriptedFleet{attempts: map[int][]*attemptRecord{}}
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		f.addrs = append(f.addrs, ln.Addr().String())
		go f.serve(ln)
	}
	return f
}

// add adds a plan and returns its index.
func (f *scriptedFleet) add(p *answerPlan) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plans = append(f.plans, p)
	return len(f.plans) - 1
}

// attemptsOf returns copies of what the servers saw of a plan's request so far.
func (f *scriptedFleet) attemptsOf(plan int) []attemptRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []attemptRecord
	for _, a := range f.attempts[plan] {
		c := *a
		c.writes = append([]written(nil), a.writes...)
		all = append(all, c)
	}
	return all
}

// serve accepts connections until ln is closed.
func (f *scriptedFleet) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go f.serveConn(c.(*net.TCPConn), ln.Addr().String())
	}
}

// serveConn answers the requests of one connection.
func (f *scriptedFleet) serveConn(c *net.TCPConn, addr string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		index, err := strconv.Atoi(q.URL.Query().Get("plan"))
		f.mu.Lock()
		if err != nil || index >= len(f.plans) { // a probe
			f.mu.Unlock()
			io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		plan := f.plans[index]
		f.mu.Unlock()
		if !plan.early {
			if err := readBodyAtRate(q.Body, plan.readRate); err != nil {
				return
			}
		}
		f.mu.Lock()
		record := &attemptRecord{server: addr, number: len(f.attempts[index])}
		f.attempts[index] = append(f.attempts[index], record)
		f.mu.Unlock()
		if plan.early {
			own := plan.at(record.number)
			f.write(c, own, index, record, nil)
			f.mu.Lock()
			record.complete = own.ending == endsInOrder
			f.mu.Unlock()
			if own.ending == resets { // while the request is still being sent
				c.SetLinger(0)
				return
			}
			if own.framing == untilClose {
				c.CloseWrite() // the end of the answer, while the request is still being read
			}
			if readBodyAtRate(q.Body, plan.readRate) != nil || own.framing == untilClose {
				return
			}
			continue
		}
		if !f.answer(c, r, plan.at(record.number), index, record) {
			return
		}
	}
}

// readBodyAtRate reads a body at a rate in bytes per second; 0: as fast as it comes.
func readBodyAtRate(body io.Reader, rate int) error {
	if rate == 0 {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	const interval = 20 * time.Millisecond
	part := make([]byte, max(1, rate/int(time.Second/interval)))
	for {
		_, err := io.ReadFull(body, part)
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(interval)
	}
}

// answer writes an answer by its plan and reports whether the connection can carry another one.
func (f *scriptedFleet) answer(c *net.TCPConn, r *bufio.Reader, plan *answerPlan, index int, record *attemptRecord) bool {
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_, err := r.Peek(1)
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return // the next request, or the end of this answer
		}
		f.mu.Lock()
		record.closedAt = time.Now()
		f.mu.Unlock()
		close(stop)
	}()
	done := f.write(c, plan, index, record, stop)
	f.mu.Lock()
	record.complete = done && plan.ending == endsInOrder
	f.mu.Unlock()
	if done && plan.ending == resets {
		c.SetLinger(0)
		return false
	}
	if done && plan.ending == stopsForever {
		<-stop
		return false
	}
	c.SetReadDeadline(time.Now()) // ends the goroutine above
	<-watched
	c.SetReadDeadline(time.Time{})
	return done && plan.framing != untilClose
}

// write writes the parts of an answer and reports whether it could write them all.
func (f *scriptedFleet) write(c net.Conn, plan *answerPlan, index int, record *attemptRecord, stop <-chan struct{}) bool {
	pause := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-stop:
			return false
		}
	}
	send := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	for range plan.interim {
		if !send("HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n") || !pause(plan.headPause) {
			return false
		}
	}
	if !pause(plan.headPause) {
		return false
	}
	size := plan.size()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: %d\r\n", record.number)
	switch plan.framing {
	case byLength:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
	case inChunks:
		head += "Transfer-Encoding: chunked\r\n\r\n"
	case inOneChunk:
		head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size)
	case untilClose:
		head += "Connection: close\r\n\r\n"
	}
	f.mu.Lock()
	record.headAt = time.Now()
	f.mu.Unlock()
	if !send(head) {
		return false
	}
	total := 0
	for _, part := range plan.pieces {
		if !pause(part.pause) {
			return false
		}
		if part.size == 0 {
			continue
		}
		data := string(answerBytes(index, record.number, total, part.size))
		if plan.framing == inChunks {
			data = fmt.Sprintf("%x\r\n%s\r\n", part.size, data)
		}
		if !send(data) {
			return false
		}
		total += part.size
		f.mu.Lock()
		record.writes = append(record.writes, written{time.Now(), total})
		f.mu.Unlock()
	}
	if plan.ending != endsInOrder {
		return true
	}
	if plan.framing == byLength { // the answer is complete
		return true
	}
	if !pause(plan.lastPause) {
		return false
	}
	switch plan.framing {
	case inChunks:
		return send("0\r\n\r\n")
	case inOneChunk:
		return send("\r\n0\r\n\r\n")
	}
	return true
}

// answerBytes returns the bytes of an answer's body from an offset on, which depend on the plan and
// the attempt.
func answerBytes(plan, attempt, offset, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + (plan*7+attempt*3+(offset+i)/64)%26)
	}
	return b
}

// Sizes at which the handling of answers changes, in bytes.
const (
	heldSize = 16 << 10 // of the start of an answer that is known to be long
	fullSize = 64 << 10 // above it only the first bytes of an answer are timed
)

// steady returns pieces of equal size every 20 ms at a rate in bytes per second.
func steady(size, rate int) []piece {
	const interval = 20 * time.Millisecond
	var all []piece
	each := max(1, rate/int(time.Second/interval))
	for left := size; left > 0; left -= each {
		all = append(all, piece{interval, min(left, each)})
	}
	return all
}

// lumps returns a first piece and n further ones, each after a pause.
func lumps(size, n int, pause time.Duration) []piece {
	each := size / (n + 1)
	all := []piece{{0, size - n*each}}
	for range n {
		all = append(all, piece{pause, each})
	}
	return all
}

// between returns a random duration.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)+1))
}

// oneOf returns a random element.
func oneOf[T any](rng *rand.Rand, list ...T) T { return list[rng.IntN(len(list))] }

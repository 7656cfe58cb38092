package httpmsg

import (
	"encoding/binary"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"quillfront/routes"
)

// Message is a request as servers are sent it: the payload of an engine.Request between an HTTP front and an HTTP
// transport, which know each other by it alone. Its body is released with the request.
type Message struct {
	Method string
	Target string // as the client wrote it
	Host   string
	Lines  []byte // the further lines of its head, each ended by CRLF: none that the transport writes itself
	Body   []byte
	Rest   *Upload // what follows Body; nil: nothing
	Length int64   // with Rest: of the whole body; negative: not told
	// Trailer returns the lines behind Rest, once it has been read to its end; nil: there are none.
	Trailer func() []byte
	Terms   *Terms // nil: it is a message of the platform's protocol
}

// String is the method and the target without its query, which may hold what is nobody else's business.
func (m *Message) String() string {
	path, _, _ := strings.Cut(m.Target, "?")
	return m.Method + " " + path
}

// Terms are what a message of plain HTTP asks of whoever carries it out: its answers are of every status, and go on as they come.
type Terms struct {
	// Judge says what an answer comes to, from its status and the values of its head.
	Judge func(code int, header func(name string) []string) routes.Judgment
	// Interim takes an informational answer, whose lines it does not keep. It may be called by several attempts, and once the
	// request has ended.
	Interim func(code int, lines []byte)
	// Stall is how long an answer may stand still once its head has come.
	Stall time.Duration
	// Expect is how long a server may take to say whether it wants the body (100-continue) until it is sent unasked; 0: nobody asked.
	Expect time.Duration

	mu           sync.Mutex
	failed, last *Answer
}

// Keep notes an answer that was not passed on because another attempt may be made: one by which the server has failed, or one that proves
// that nothing ran.
func (t *Terms) Keep(a *Answer, notRun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last = a; !notRun {
		t.failed = a
	}
}

// Last returns the answer that was kept last; nil: none was. Unless a retry of the request is harmless, one that proves that its own
// attempt did not run is none to be given: whoever got it would ask again.
func (t *Terms) Last(harmless bool) *Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if harmless {
		return t.last
	}
	return t.failed
}

// Answer is a server's answer: the reply of an attempt. Nobody changes it.
type Answer struct {
	Status int    // 0: 200
	Lines  []byte // of its head, each ended by CRLF, but those that concern one connection only
	Body   []byte // at most MaxWhole
	// Bare says that it has no body, though Length may tell one: it answers HEAD, or its status has none.
	Bare  bool
	Dated bool // Lines has a Date
	Asks  bool // Lines has a Retry-After
	// Rest is what follows Body, as it comes; nil: nothing. Whoever has the answer reads it to its end or closes it, and
	// passes on a body that breaks off as one that does: see Body.
	Rest   io.ReadCloser
	Length int64 // with Rest or Bare: of the whole body; negative: not told
	// Trailer returns the lines behind the body, once it has been read to its end; nil: there are none.
	Trailer func() []byte
}

// Codec turns answers into bytes and back, for whoever keeps them.
type Codec struct{}

// Encode returns the bytes of an *Answer that is whole, and nil for anything else: the length of its lines, the lines and
// the body.
func (Codec) Encode(reply any) []byte {
	a, ok := reply.(*Answer)
	if !ok || a.Rest != nil || a.Status != 0 {
		return nil
	}
	b := make([]byte, 0, binary.MaxVarintLen64+len(a.Lines)+len(a.Body))
	b = binary.AppendUvarint(b, uint64(len(a.Lines)))
	return append(append(b, a.Lines...), a.Body...)
}

// Decode reads an *Answer.
func (Codec) Decode(b []byte) (any, error) {
	n, head := binary.Uvarint(b)
	if head <= 0 || n > uint64(len(b)-head) {
		return nil, errors.New("httpmsg: no answer")
	}
	b = b[head:]
	return &Answer{Lines: b[:n:n], Body: b[n:]}, nil
}

// What answers say of an order beside what its server said.
const (
	// ReplayedLine tells that the answer was made for an earlier request under the same Idempotency-Key.
	ReplayedLine = "Idempotency-Replayed: true\r\n"
	// UnknownLine tells that an earlier request under the same Idempotency-Key may have run: nobody knows.
	UnknownLine = "Idempotency-State: unknown\r\n"
)

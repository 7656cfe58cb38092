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
	Method      string
	Target      string // as the client wrote it
	Host        string
	HeaderLines []byte // the further lines of its head, each ended by CRLF: none that the transport writes itself
	Body        []byte
	Upload      *Upload // what follows Body; nil: nothing
	Length      int64   // with Rest: of the whole body; negative: not told
	// Trailer returns the lines behind Rest, once it has been read to its end; nil: there are none.
	Trailer  func() []byte
	Exchange *Exchange // nil: it is a message of the platform's protocol
}

// String is the method and the target without its query, which may hold what is nobody else's business.
func (m *Message) String() string {
	path, _, _ := strings.Cut(m.Target, "?")
	return m.Method + " " + path
}

// Exchange are what a message of plain HTTP asks of whoever carries it out: its answers are of every status, and go on as they come.
type Exchange struct {
	// Evaluate says what an answer comes to, from its status and the values of its head.
	Evaluate func(code int, header func(name string) []string) routes.Evaluation
	// OnInterim takes an informational answer, whose lines it does not keep. It may be called by several attempts, and once the
	// request has ended.
	OnInterim func(code int, lines []byte)
	// StallTimeout is how long an answer may stand still once its head has come.
	StallTimeout time.Duration
	// ExpectTimeout is how long a server may take to say whether it wants the body (100-continue) until it is sent unasked; 0: nobody asked.
	ExpectTimeout time.Duration

	mu           sync.Mutex
	failed, last *Response
}

// RecordResponse notes an answer that was not passed on because another attempt may be made: one by which the server has failed, or one that proves
// that nothing ran.
func (t *Exchange) RecordResponse(a *Response, notRun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last = a; !notRun {
		t.failed = a
	}
}

// LastResponse returns the answer that was kept last; nil: none was. Unless a retry of the request is harmless, one that proves that its own
// attempt did not run is none to be given: whoever got it would ask again.
func (t *Exchange) LastResponse(harmless bool) *Response {
	t.mu.Lock()
	defer t.mu.Unlock()
	if harmless {
		return t.last
	}
	return t.failed
}

// Response is a server's answer: the reply of an attempt. Nobody changes it.
type Response struct {
	Status      int    // 0: 200
	HeaderLines []byte // of its head, each ended by CRLF, but those that concern one connection only
	Body        []byte // at most MaxWhole
	// NoBody says that it has no body, though Length may tell one: it answers HEAD, or its status has none.
	NoBody        bool
	HasDate       bool // Lines has a Date
	HasRetryAfter bool // Lines has a Retry-After
	// BodyRest is what follows Body, as it comes; nil: nothing. Whoever has the answer reads it to its end or closes it, and
	// passes on a body that breaks off as one that does: see Body.
	BodyRest io.ReadCloser
	Length   int64 // with Rest or Bare: of the whole body; negative: not told
	// Trailer returns the lines behind the body, once it has been read to its end; nil: there are none.
	Trailer func() []byte
}

// Codec turns answers into bytes and back, for whoever keeps them.
type Codec struct{}

// Encode returns the bytes of an *Answer that is whole, and nil for anything else: the length of its lines, the lines and
// the body.
func (Codec) Encode(reply any) []byte {
	a, ok := reply.(*Response)
	if !ok || a.BodyRest != nil || a.Status != 0 {
		return nil
	}
	b := make([]byte, 0, binary.MaxVarintLen64+len(a.HeaderLines)+len(a.Body))
	b = binary.AppendUvarint(b, uint64(len(a.HeaderLines)))
	return append(append(b, a.HeaderLines...), a.Body...)
}

// Decode reads an *Answer.
func (Codec) Decode(b []byte) (any, error) {
	n, head := binary.Uvarint(b)
	if head <= 0 || n > uint64(len(b)-head) {
		return nil, errors.New("httpmsg: no answer")
	}
	b = b[head:]
	return &Response{HeaderLines: b[:n:n], Body: b[n:]}, nil
}

// What answers say of an order beside what its server said.
const (
	// ReplayedLine tells that the answer was made for an earlier request under the same Idempotency-Key.
	ReplayedLine = "Idempotency-Replayed: true\r\n"
	// UnknownLine tells that an earlier request under the same Idempotency-Key may have run: nobody knows.
	UnknownLine = "Idempotency-State: unknown\r\n"
)

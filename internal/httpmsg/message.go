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

// Message is a request in the form in which it is sent to servers. It is the payload of an
// engine.Request and the only interface between an HTTP front and an HTTP transport. The memory for
// its body is released with the request.
type Message struct {
	Method      string
	Target      string // as the client sent it
	Host        string
	HeaderLines []byte // each ends with CRLF; without the lines that the transport writes
	Body        []byte
	Upload      *Upload // the part of the body after Body; nil: none
	Length      int64   // with Upload: the length of the whole body; negative: unknown
	// Trailer returns the trailer lines once Upload has been read to its end; nil: there are none.
	Trailer  func() []byte
	Exchange *Exchange // nil: the message follows the sidecar protocol
}

// String returns the method and the target without its query, which may contain private data.
func (m *Message) String() string {
	path, _, _ := strings.Cut(m.Target, "?")
	return m.Method + " " + path
}

// Exchange tells the transport how to handle the exchange of a plain HTTP request, whose response
// may have any status and is forwarded while it arrives. It also keeps the responses of failed
// attempts.
type Exchange struct {
	// Evaluate evaluates a response by its status code and headers.
	Evaluate func(code int, header func(name string) []string) routes.Evaluation
	// OnInterim is called for each informational response. It must not retain lines. Several
	// attempts may call it, also after the request has ended.
	OnInterim func(code int, lines []byte)
	// StallTimeout limits the time without progress after the head of a response has arrived.
	StallTimeout time.Duration
	// ExpectTimeout limits the wait for 100 (Continue) before the body is sent anyway; 0: the client
	// did not send Expect: 100-continue.
	ExpectTimeout time.Duration

	mu                sync.Mutex
	lastFailure, last *Response
}

// RecordResponse records a response that was not forwarded because another attempt may follow: a
// failure of the server or, with notRun, a proof that the attempt was not executed.
func (x *Exchange) RecordResponse(r *Response, notRun bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.last = r; !notRun {
		x.lastFailure = r
	}
}

// LastResponse returns the last recorded response, or nil. Unless a retry of the request is
// harmless, it ignores responses that prove that their own attempt was not executed: a client that
// got one would retry the request.
func (x *Exchange) LastResponse(harmless bool) *Response {
	x.mu.Lock()
	defer x.mu.Unlock()
	if harmless {
		return x.last
	}
	return x.lastFailure
}

// Response is the response of a server, the reply of an attempt. It is immutable.
type Response struct {
	Status      int    // 0 means 200
	HeaderLines []byte // each ends with CRLF; without hop-by-hop fields
	Body        []byte // at most MaxFullBody bytes
	// NoBody says that there is no body even if Length is set: the response is to HEAD, or its
	// status does not allow a body.
	NoBody        bool
	HasDate       bool // HeaderLines has a Date
	HasRetryAfter bool // HeaderLines has a Retry-After
	// BodyRest streams the part of the body after Body; nil: none. The owner of the response must
	// read it to its end or close it. If it breaks off, the forwarded body must break off too: see
	// the type Body.
	BodyRest io.ReadCloser
	Length   int64 // with BodyRest or NoBody: the length of the whole body; negative: unknown
	// Trailer returns the trailer lines once the body has been read to its end; nil: there are none.
	Trailer func() []byte
}

// Codec encodes and decodes responses for storage.
type Codec struct{}

// Encode encodes a *Response with status 200 and a complete body as the length of its header lines,
// the lines and the body. It returns nil for anything else.
func (Codec) Encode(reply any) []byte {
	a, ok := reply.(*Response)
	if !ok || a.BodyRest != nil || a.Status != 0 {
		return nil
	}
	b := make([]byte, 0, binary.MaxVarintLen64+len(a.HeaderLines)+len(a.Body))
	b = binary.AppendUvarint(b, uint64(len(a.HeaderLines)))
	return append(append(b, a.HeaderLines...), a.Body...)
}

// Decode decodes a *Response.
func (Codec) Decode(b []byte) (any, error) {
	n, head := binary.Uvarint(b)
	if head <= 0 || n > uint64(len(b)-head) {
		return nil, errors.New("httpmsg: malformed encoded response")
	}
	b = b[head:]
	return &Response{HeaderLines: b[:n:n], Body: b[n:]}, nil
}

// Header lines that are added to responses to orders.
const (
	// ReplayedLine says that the response is that to an earlier request with the same
	// Idempotency-Key.
	ReplayedLine = "Idempotency-Replayed: true\r\n"
	// UnknownLine says that it is unknown whether an earlier request with the same Idempotency-Key
	// was executed.
	UnknownLine = "Idempotency-State: unknown\r\n"
)

package httpmsg

import (
	"encoding/binary"
	"errors"
)

// Message is a request as servers are sent it: the payload of an engine.Request between an HTTP front and an HTTP
// transport, which know each other by it alone. Its body is released with the request.
type Message struct {
	Method string
	Target string // as the client wrote it
	Host   string
	Lines  []byte // the further lines of its head, each ended by CRLF: none that the transport writes itself
	Body   []byte
}

// Answer is a server's whole 200 answer: the reply of an attempt. Nobody changes it.
type Answer struct {
	Lines []byte // of its head, each ended by CRLF, but those that concern one connection only
	Body  []byte // at most MaxBody
}

// Codec turns answers into bytes and back, for whoever keeps them.
type Codec struct{}

// Encode returns the bytes of an *Answer, and nil for anything else: the length of its lines, the lines and the body.
func (Codec) Encode(reply any) []byte {
	a, ok := reply.(*Answer)
	if !ok {
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

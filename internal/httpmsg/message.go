package httpmsg

import (
	"encoding/binary"
	"errors"
	"io"
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
}

// Answer is a server's 200 answer: the reply of an attempt. Nobody changes it.
type Answer struct {
	Lines []byte // of its head, each ended by CRLF, but those that concern one connection only
	Body  []byte // at most MaxWhole
	// Rest is what follows Body, as it comes; nil: nothing. Whoever has the answer reads it to its end or closes it, and
	// passes on a body that breaks off as one that does: see Body.
	Rest   io.ReadCloser
	Length int64 // with Rest: of the whole body; negative: not told
}

// Codec turns answers into bytes and back, for whoever keeps them.
type Codec struct{}

// Encode returns the bytes of an *Answer that is whole, and nil for anything else: the length of its lines, the lines and
// the body.
func (Codec) Encode(reply any) []byte {
	a, ok := reply.(*Answer)
	if !ok || a.Rest != nil {
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

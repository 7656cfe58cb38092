package httpmsg

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

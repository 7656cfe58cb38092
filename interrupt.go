package quillfront

import (
	"context"
	"net/http"
	"time"

	"quillfront/internal/httpmsg"
)

// bodyInterrupter ends the reading of a request's body, where the answer has come before the end of that
// body. With HTTP/1, a pump reads a long body on while the answer is written.
type bodyInterrupter struct {
	w           http.ResponseWriter
	req         *http.Request
	pump        *bodyPump // nil: the body is read by its reader itself
	interrupted bool
}

// receiveBody returns the body of req, and what ends its reading.
func receiveBody(w http.ResponseWriter, req *http.Request) (*clientBody, *bodyInterrupter) {
	i := &bodyInterrupter{w: w, req: req}
	if req.ProtoMajor != 1 || req.ContentLength >= 0 && req.ContentLength <= httpmsg.MaxFullBody {
		return &clientBody{ReadCloser: req.Body}, i
	}
	// Otherwise the answer would wait for the rest of the body.
	http.NewResponseController(w).EnableFullDuplex()
	i.pump = newBodyPump(w, req)
	return &clientBody{ReadCloser: i.pump}, i
}

// interrupt ends a pending Read of the body.
func (i *bodyInterrupter) interrupt() {
	if i.pump != nil {
		i.pump.interrupt()
		return
	}
	i.interrupted = true
	http.NewResponseController(i.w).SetReadDeadline(time.Now())
}

// drain gives the client time to send the rest of its request after its answer has been written.
// knownLength says that the client can see the end of the answer now.
func (i *bodyInterrupter) drain(knownLength bool) {
	if i.pump == nil {
		return
	}
	if !knownLength {
		i.pump.drain(chunkedDrainTime)
		return
	}
	http.NewResponseController(i.w).Flush()
	i.pump.drain(0)
}

// stop ends the reading of the body. It must be called before the request's handler returns.
func (i *bodyInterrupter) stop() {
	switch {
	case i.pump != nil:
		i.pump.stop()
	case i.interrupted: // net/http's server reads what is left
		http.NewResponseController(i.w).SetReadDeadline(time.Now().Add(drainStallTimeout))
	}
}

// answerContext returns the context of the request while its answer is written. net/http's server ends
// a request's context when a Read of its body fails, also one that interrupt has ended; from then on
// only writes show that the client has left.
func (i *bodyInterrupter) answerContext() context.Context {
	if i.interrupted {
		return context.WithoutCancel(i.req.Context())
	}
	return i.req.Context()
}

package quillfront

import (
	"context"
	"net/http"
	"time"
)

// bodyInterrupter ends a pending Read of a request's body, where the answer has come before the end of
// that body. It is for one goroutine.
type bodyInterrupter struct {
	w           http.ResponseWriter
	req         *http.Request
	interrupted bool
}

// interrupt ends a pending Read of the body.
func (i *bodyInterrupter) interrupt() {
	i.interrupted = true
	http.NewResponseController(i.w).SetReadDeadline(time.Now())
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

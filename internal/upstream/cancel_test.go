package upstream

import (
	"net"
	"sync"
	"testing"
	"time"
)

// TestCancelWhileBodyEnds guards against a deadlock: an attempt is canceled, with its lock held, at
// the moment at which its streamed response ends, which needs that lock.
func TestCancelWhileBodyEnds(t *testing.T) {
	var attempt sync.Mutex
	ending := make(chan struct{})
	body := &streamedBody{done: make(chan struct{}), finish: func(error) {
		close(ending)
		attempt.Lock()
		defer attempt.Unlock()
	}}
	canceled := make(chan struct{})
	attempt.Lock()
	go body.Close()
	go func() {
		<-ending
		body.end(net.ErrClosed, func(error) { t.Error("finish was called twice") })
		attempt.Unlock()
		close(canceled)
	}()
	for _, c := range []chan struct{}{canceled, body.done} {
		select {
		case <-c:
		case <-time.After(20 * time.Second):
			t.Fatal("cancel and end of the body wait for each other")
		}
	}
}

package upstream

import (
	"net"
	"sync"
	"testing"
	"time"
)

// TestCalledOffAsItEnds guards against a deadlock: an attempt is called off, under its lock, at the moment at which its long
// answer ends, which needs that lock.
func TestCalledOffAsItEnds(t *testing.T) {
	var attempt sync.Mutex
	ending := make(chan struct{})
	l := &long{done: make(chan struct{}), settle: func(error) {
		close(ending)
		attempt.Lock()
		defer attempt.Unlock()
	}}
	calledOff := make(chan struct{})
	attempt.Lock()
	go l.Close()
	go func() {
		<-ending
		l.end(net.ErrClosed, func(error) { t.Error("it ended twice") })
		attempt.Unlock()
		close(calledOff)
	}()
	for _, c := range []chan struct{}{calledOff, l.done} {
		select {
		case <-c:
		case <-time.After(20 * time.Second):
			t.Fatal("they wait for one another")
		}
	}
}

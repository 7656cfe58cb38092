package fronttest

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestOrdersBesideSlowBodies guards against short requests that get no answer in time while clients
// that send long bodies slowly hold the memory for bodies.
func TestOrdersBesideSlowBodies(t *testing.T) {
	const (
		memoryMB = 24
		sockets  = 512
		slow     = sockets / 3 // clients that send bodies
		rate     = 64 << 10    // bytes per second of each
		wait     = 1500 * time.Millisecond
	)
	for name, body := range map[string]slowBody{
		"long":               {size: 1 << 20},
		"as long as is held": {size: 64 << 10},
		"in chunks":          {size: 1 << 20, chunked: true},
	} {
		t.Run(name, func(t *testing.T) {
			onAll(t, []string{platformFront, routesFront, handlerForm, transportForm}, func(t *testing.T, kind string) {
				server := startServer(t, func(w http.ResponseWriter, q *http.Request) {
					io.Copy(io.Discard, q.Body)
					io.WriteString(w, "done")
				})
				f := startAny(t, kind, options{servers: []string{server}, memoryMB: memoryMB, sockets: sockets})
				f.checkOrdersBesideSlowBodies(slow, body, rate, wait, "order", "pay")
			})
		})
	}
}

// TestRememberedOrdersBesideSlowBodies guards against remembered orders that wait past their time for the
// memory that they need: each gets an answer in time, also if clients that send slowly hold all of it.
func TestRememberedOrdersBesideSlowBodies(t *testing.T) {
	const (
		memoryMB = 24
		sockets  = 512
		slow     = sockets / 3
		wait     = 600 * time.Millisecond
	)
	server := startServer(t, func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		io.WriteString(w, "done")
	})
	f := startFront(t, platformFront, options{servers: []string{server}, memoryMB: memoryMB, sockets: sockets, deadline: wait, operator: "[store]\n"})
	f.checkOrdersBesideSlowBodies(slow, slowBody{size: 64 << 10, class: "order"}, 40<<10, wait, "order")
}

// checkOrdersBesideSlowBodies sends short requests of classes while clients send bodies slowly, at rate
// bytes per second, and reports an error unless each has an answer in time and nearly all are served.
func (f *front) checkOrdersBesideSlowBodies(slow int, body slowBody, rate int, wait time.Duration, classes ...string) {
	const (
		orders   = 60
		interval = 20 * time.Millisecond
		begin    = time.Second // after it the slow clients have begun
	)
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	for range slow {
		clients.Go(func() { f.repeatSlowBody(ctx, body, rate) })
	}
	time.Sleep(begin)
	all := make([]exchange, orders)
	var sending sync.WaitGroup
	for i := range all {
		all[i] = exchange{class: classes[i%len(classes)], wait: wait, bodySize: 212}
		sending.Go(func() { all[i].run(f) })
		time.Sleep(interval)
	}
	sending.Wait()
	statuses := map[int]int{}
	for i := range all {
		x := &all[i]
		statuses[x.status]++
		if took := x.endAt.Sub(x.startAt); x.status == 0 || took > wait+lateLimit {
			f.t.Errorf("status %d, %v after %v\n%s", x.status, x.err, took.Round(time.Millisecond), f.logOf(x.id))
		}
	}
	if share := float64(statuses[http.StatusOK]) / orders; share < minServedShare {
		f.t.Errorf("%.2f of the orders were served: statuses %v", share, statuses)
	}
}

// startAny starts a front of the program or a form of the library.
func startAny(t testing.TB, kind string, o options) *front {
	t.Helper()
	if slices.Contains([]string{handlerForm, transportForm}, kind) {
		return startLibrary(t, kind, o)
	}
	return startFront(t, kind, o)
}

// slowBody is a body that clients send slowly.
type slowBody struct {
	size    int
	chunked bool
	class   string // pay if empty
}

// send sends a request with the body at rate bytes per second.
func (b slowBody) send(c net.Conn, rate int) {
	class := cmp.Or(b.class, "pay")
	if !b.chunked {
		io.WriteString(c, requestHead(class, newID(), b.size, ""))
		writeSlowly(c, make([]byte, b.size), rate)
		return
	}
	const perSecond = 20
	chunk := fmt.Sprintf("%x\r\n%s\r\n", rate/perSecond, strings.Repeat("x", rate/perSecond))
	io.WriteString(c, requestHead(class, newID(), 0, "Transfer-Encoding: chunked\r\n"))
	for sent := 0; sent < b.size; sent += rate / perSecond {
		if _, err := io.WriteString(c, chunk); err != nil {
			return
		}
		time.Sleep(time.Second / perSecond)
	}
	io.WriteString(c, "0\r\n\r\n")
}

// repeatSlowBody sends a body on one new connection after the other until ctx ends.
func (f *front) repeatSlowBody(ctx context.Context, body slowBody, rate int) {
	for ctx.Err() == nil {
		c, err := f.dial()
		if err != nil {
			return
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		body.send(c, rate)
		c.SetReadDeadline(time.Now().Add(testTimeout))
		c.Read(make([]byte, 1))
		stop()
		c.Close()
	}
}

package fronttest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestSlowUploadInChunks guards against an upload in chunks that is given up although its client is
// still sending: its time has not begun. The client's chunks end in the middle of the data that has
// arrived.
func TestSlowUploadInChunks(t *testing.T) {
	onBothFronts(t, func(t *testing.T, kind string) {
		fleet := startScriptedFleet(t, 2)
		f := startFront(t, kind, options{servers: fleet.addrs, deadline: 700 * time.Millisecond})
		plan := &answerPlan{shape: "at once", framing: byLength, pieces: []piece{{0, 100}}}
		for _, class := range []string{"order", "pay"} {
			x := &exchange{class: class, wait: 700 * time.Millisecond, plan: fleet.add(plan), bodySize: 128 << 10, writeRate: 64 << 10, chunked: true}
			x.run(f)
			if x.status != http.StatusOK || !x.whole {
				t.Errorf("%s\n%s", x.describe(plan, fleet.attemptsOf(x.plan)), f.logOf(x.id))
			}
		}
	})
}

// TestSlowAnswerToUpload guards against a long answer to an upload that is given up because it would be
// passed on only after the policy has ended the request, which it does before the client's time.
func TestSlowAnswerToUpload(t *testing.T) {
	onBothFronts(t, func(t *testing.T, kind string) {
		fleet := startScriptedFleet(t, 2)
		f := startFront(t, kind, options{servers: fleet.addrs})
		plan := &answerPlan{shape: "trickle", framing: byLength, pieces: steady(70_000, 9_000)}
		x := &exchange{class: "pay", wait: 1500 * time.Millisecond, plan: fleet.add(plan), bodySize: 100 << 10, chunked: true}
		x.run(f)
		if x.status != http.StatusOK || !x.whole {
			t.Errorf("%s\n%s", x.describe(plan, fleet.attemptsOf(x.plan)), f.logOf(x.id))
		}
	})
}

// TestShortEarlyAnswerInLumps guards against an early answer that is given up at the client's time,
// which has not begun while the client is still sending.
func TestShortEarlyAnswerInLumps(t *testing.T) {
	onBothFronts(t, func(t *testing.T, kind string) {
		fleet := startScriptedFleet(t, 2)
		f := startFront(t, kind, options{servers: fleet.addrs})
		plan := &answerPlan{shape: "lumps", framing: byLength, pieces: lumps(600, 2, 500*time.Millisecond), early: true}
		x := &exchange{class: "pay", wait: 500 * time.Millisecond, plan: fleet.add(plan), bodySize: 192 << 10, writeRate: 64 << 10, chunked: true}
		x.run(f)
		if x.status != http.StatusOK || !x.whole {
			t.Errorf("%s\n%s", x.describe(plan, fleet.attemptsOf(x.plan)), f.logOf(x.id))
		}
	})
}

// TestLongUploadToSlowServer guards against an upload that is given up at the client's time although
// the client, which its server holds up, has not sent its last byte.
func TestLongUploadToSlowServer(t *testing.T) {
	const bodySize = 14 << 20
	onBothFronts(t, func(t *testing.T, kind string) {
		fleet := startScriptedFleet(t, 2)
		f := startFront(t, kind, options{servers: fleet.addrs})
		for _, chunked := range []bool{false, true} {
			plan := &answerPlan{shape: "at once", framing: byLength, pieces: []piece{{0, 100}}, readRate: 1 << 20}
			x := &exchange{class: "pay", wait: time.Second, plan: fleet.add(plan), bodySize: bodySize, chunked: chunked}
			x.run(f)
			if !x.sentAll {
				t.Errorf("chunked %v: status %d after %v, while the client was still sending\n%s", chunked, x.status, x.endAt.Sub(x.startAt).Round(time.Millisecond), f.logOf(x.id))
			}
		}
	})
}

// TestUploadThatIsReadInSteps guards against an upload that is given up because its server seems to
// stand still: the window of a large socket buffer opens only after the server has read some hundred
// KB, which takes a steady reader of 100 KB a second several seconds.
func TestUploadThatIsReadInSteps(t *testing.T) {
	const (
		bodySize = 32 << 20
		rate     = 100 << 10       // bytes per second that the server reads
		watched  = 6 * time.Second // longer than one step
	)
	onBothFronts(t, func(t *testing.T, kind string) {
		var read atomic.Int64
		server := startServer(t, func(_ http.ResponseWriter, q *http.Request) {
			buf := make([]byte, rate/50)
			for {
				n, err := io.ReadFull(q.Body, buf)
				if read.Add(int64(n)); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		f := startFront(t, kind, options{servers: []string{server}})
		c, err := f.dial()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetWriteBuffer(64 << 10) // the client still has most of the body
		io.WriteString(c, requestHead("pay", newID(), bodySize, ""))
		written := make(chan error, 1)
		go func() {
			_, err := io.CopyN(c, zeros{}, bodySize)
			written <- err
		}()
		c.SetReadDeadline(time.Now().Add(watched))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
			status := "no answer"
			if err == nil {
				status = fmt.Sprint("status ", resp.StatusCode)
			}
			t.Errorf("%s (%v) while the server is reading: it has %d bytes", status, err, read.Load())
		}
		select {
		case err := <-written:
			t.Errorf("the client has written all: %v", err)
		default:
		}
	})
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }

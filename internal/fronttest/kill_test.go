package fronttest

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestServerKilledDuringShutdown guards, where servers pause in the middle of their answers so that copies
// of requests are out, against an unsafe request that has two attempts, a part of an answer that passes for
// a whole one, and a request that gets none: a server process is killed by SIGKILL, then the daemon is told
// to end while clients go on, and is killed as early as the platform may.
func TestServerKilledDuringShutdown(t *testing.T) {
	const (
		servers    = 4
		exchanges  = 400
		duration   = 4 * time.Second // over which exchanges begin
		killAfter  = 1200 * time.Millisecond
		termAfter  = 2500 * time.Millisecond
		deadline   = 1500 * time.Millisecond
		maxCopies  = 3 // attempts of a request that may be repeated, by the settings
		seed       = 76
		minAnswers = exchanges / 4 // of 200, so that the play shows something
	)
	onBothFronts(t, func(t *testing.T, kind string) {
		runsFile := newRunsFile(t)
		var processes []*serverProcess
		var addrs []string
		for range servers {
			s := startServerProcess(t, runsFile)
			processes, addrs = append(processes, s), append(addrs, s.addr)
		}
		f := startFront(t, kind, options{servers: addrs, deadline: deadline})
		rng := rand.New(rand.NewPCG(seed, 0))
		begun := time.Now()
		all := make([]lumpExchange, exchanges)
		var clients sync.WaitGroup
		for i := range all {
			x := &all[i]
			x.class, x.id = oneOf(rng, "read", "order", "pay"), newID()
			start := between(rng, 0, duration)
			clients.Go(func() {
				time.Sleep(start)
				x.run(f, deadline)
			})
		}
		time.Sleep(time.Until(begun.Add(killAfter)))
		processes[0].kill()
		time.Sleep(time.Until(begun.Add(termAfter)))
		killed := f.terminate(deadline).Add(-exitReserve)
		clients.Wait()
		runs := readRuns(t, runsFile)
		served, copies := 0, 0
		for i := range all {
			x := &all[i]
			n := runs[x.id]
			if copies += max(0, n-1); n > 1 && x.class == "pay" || n > maxCopies {
				t.Errorf("%s, %s: %d runs", x.id, x.class, n)
			}
			if x.status == http.StatusOK && x.whole {
				served++
			}
			for _, fault := range x.faults(killed, deadline) {
				t.Errorf("%s, %s: %s (status %d after %v, %v)\n%s", x.id, x.class, fault, x.status, x.endAt.Sub(x.sentAt).Round(time.Millisecond), x.err, f.logOf(x.id))
			}
		}
		t.Logf("%d of %d came whole, %d copies were run", served, exchanges, copies)
		if served < minAnswers {
			t.Errorf("%d of %d came whole: the play shows too little", served, exchanges)
		}
	})
}

// lumpExchange is a request to a server process and what its client got.
type lumpExchange struct {
	class, id     string
	refused       bool // there was no connection
	sentAt, endAt time.Time
	status        int // 0: no answer
	whole         bool
	body          string
	err           error
}

// run sends the request on a new connection and reads the answer.
func (x *lumpExchange) run(f *front, wait time.Duration) {
	c, err := f.dial()
	if x.sentAt = time.Now(); err != nil {
		x.refused, x.err, x.endAt = true, err, x.sentAt
		return
	}
	defer c.Close()
	defer func() { x.endAt = time.Now() }()
	c.SetDeadline(x.sentAt.Add(wait + testTimeout))
	length := 0
	if x.class != "read" {
		length = 200
	}
	io.WriteString(c, requestHead(x.class, x.id, length, "")+strings.Repeat("y", length))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if x.err = err; err != nil {
		return
	}
	x.status = resp.StatusCode
	text, err := io.ReadAll(resp.Body)
	x.body, x.whole, x.err = string(text), err == nil, err
}

// faults returns the rules that the exchange broke. From killed on the process had to be gone.
func (x *lumpExchange) faults(killed time.Time, wait time.Duration) (broken []string) {
	if x.status == http.StatusOK && x.whole && !strings.HasSuffix(x.body, answerEnd(x.id)) {
		broken = append(broken, "a part passes for the whole")
	}
	if x.refused || x.endAt.After(killed) {
		return broken
	}
	switch {
	case x.status == 0:
		broken = append(broken, "no answer")
	case x.endAt.After(x.sentAt.Add(wait + serverPause + lateLimit + scheduling)):
		broken = append(broken, "late")
	}
	return broken
}

//go:build review

// Case 1: a client gives up a try of an order early and retries, while the sidecar still has the first try open, and the
// answer is longer than 64 KiB. Other clients go on as usual beside it.
package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"quillfront/review/lib"
)

const (
	orders     = 24
	answerSize = 1 << 20
	giveUp     = 300 * time.Millisecond // how long the client waits for its first try: half of the time that its class is wanted in
	usual      = 4                      // other clients, each with one read after the other
	work       = 400 * time.Millisecond // of an order, until its answer begins
)

// answer is the receipt of one order: blocks that name the order and count on.
func answer(key string) []byte {
	h := fnv.New64a()
	io.WriteString(h, key)
	b := make([]byte, 0, answerSize)
	for i := uint64(0); len(b) < answerSize; i++ {
		b = binary.BigEndian.AppendUint64(b, h.Sum64())
		b = binary.BigEndian.AppendUint64(b, i)
	}
	return b
}

func main() {
	c := lib.Start()
	var ran, read sync.Map // the keys of orders and the ids of reads that have reached an upstream
	var executions atomic.Int64
	var hosts []lib.Host
	for i := range 3 {
		id := fmt.Sprintf("s-%d", i)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Must(err)
		srv := &http.Server{IdleTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path == "/load" || q.URL.Path == "/healthz" {
				io.WriteString(w, "TEXT eps=0, queue=0")
				return
			}
			io.Copy(io.Discard, q.Body)
			if q.Method == http.MethodGet {
				read.Store(q.Header.Get("X-Request-ID"), true)
				time.Sleep(20 * time.Millisecond)
				fmt.Fprintf(w, "done %s", q.Header.Get("X-Request-ID"))
				return
			}
			key := q.Header.Get("Idempotency-Key")
			// All upstreams drop a repeat of a key: they answer it like the first one.
			if _, again := ran.LoadOrStore(key, true); !again {
				executions.Add(1)
			}
			c.Log("%s runs %s for request %s", id, key, q.Header.Get("X-Request-ID"))
			time.Sleep(work)
			b := answer(key)
			w.Header().Set("Content-Type", "application/octet-stream")
			w.(http.Flusher).Flush() // the answer is written in chunks
			for len(b) > 0 {
				n := min(len(b), 64<<10)
				if _, err := w.Write(b[:n]); err != nil {
					return
				}
				w.(http.Flusher).Flush()
				b = b[n:]
				time.Sleep(time.Millisecond)
			}
		})}
		go srv.Serve(ln)
		hosts = append(hosts, lib.Host{Host: id, Dial: ln.Addr().String(), Site: "clare-pump", Class: "big-box", Block: 0, Health: "active", Share: 1})
	}
	d := c.NewDiscovery(hosts)
	listen := c.FreeAddr()
	config := c.Write("config.json", lib.JSON(lib.Object{
		"name": "n0", "listen": listen, "discovery": d.Addr, "seed": lib.NewID(), "limits": lib.Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known": d.List(), "settings": lib.Settings(0, 1),
	}))
	operator := c.Write("operator.toml", []byte(fmt.Sprintf("[store]\npath = %q\ndurability = \"sync\"\n", c.Tmp+"/orders")))
	p := c.Run("n0", c.RunLine()+" serve --config "+operator, "GW_CONFIG="+config)
	c.AwaitHealthy(listen, p)
	var wg sync.WaitGroup
	var whole, failed, reads atomic.Int64
	stop := make(chan struct{})
	for range usual {
		wg.Go(func() {
			k := &lib.Client{Addr: listen}
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				q := lib.Call{Method: "GET", Path: "/allocation-check/" + lib.NewID(), ID: lib.NewID(), Timeout: 1600 * time.Millisecond}
				if p.Ended() != "" { // what nobody takes is not lost
					return
				}
				status, body, err := k.Do(q, 4*time.Second)
				switch {
				case err != nil:
					if _, taken := read.Load(q.ID); taken {
						c.Broken("the read %s of another client was taken and sent on, and has no answer: %v", q.ID, err)
					} else {
						c.Log("read %s: %v", q.ID, err)
					}
				case status == 200 && string(body) != "done "+q.ID:
					c.Broken("the read %s of another client is answered with %.80q", q.ID, body)
				case status == 200:
					reads.Add(1)
				default:
					c.Log("read %s: %d", q.ID, status)
				}
			}
		})
	}
	// send sends a try of an order. Of a try that is given up the client heeds nothing more; its connection stays open.
	send := func(key, what string, givenUp bool) {
		defer wg.Done()
		conn, err := lib.Dial(listen)
		if err != nil {
			c.Log("%s of %s: %v", what, key, err)
			return
		}
		defer conn.Close()
		q := lib.Call{Method: "POST", Path: "/delivery-order/" + key[:8], ID: lib.NewID(), Key: key, Timeout: 1300 * time.Millisecond, Body: `{"outlet":"D7","ml":3}`}
		c.Log("%s of %s is sent as request %s", what, key, q.ID)
		status, body, _, err := conn.Do(q, 20*time.Second)
		switch want := answer(key); {
		case givenUp:
			c.Log("%s of %s, given up: status %d, %d bytes, %v", what, key, status, len(body), err)
		case err != nil && status != 0: // the client can tell that it is not whole
			failed.Add(1)
			c.Log("%s of %s: status %d, %d bytes, then %v", what, key, status, len(body), err)
		case err != nil:
			failed.Add(1)
			c.Broken("%s of %s was taken, and its connection ended with no answer: %v", what, key, err)
		case status == 200 && !bytes.Equal(body, want):
			at := 0
			for at < len(body) && at < len(want) && body[at] == want[at] {
				at++
			}
			c.Broken("%s of %s is answered with 200 and a body that no upstream made, whole by its framing: %d bytes of %d, first difference at %d", what, key, len(body), len(want), at)
		case status == 200:
			whole.Add(1)
			c.Log("%s of %s: 200, %d bytes as made", what, key, len(body))
		default:
			failed.Add(1)
			c.Log("%s of %s: %d", what, key, status)
		}
	}
	for range orders {
		key := lib.NewID() + lib.NewID()
		wg.Add(1)
		go send(key, "the first try", lib.Trouble())
		if lib.Trouble() {
			time.Sleep(giveUp)
			wg.Add(1)
			go send(key, "the retry", false)
		}
		time.Sleep(600 * time.Millisecond)
		if p.Ended() != "" {
			break
		}
	}
	close(stop)
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	if p.Ended() != "" {
		c.Broken("the sidecar has crashed: %s", p.Ended())
		c.Log("its log: %.4000s", p.LogText())
	}
	c.Log("%d orders executed, %d answers whole and as made, %d failed; %d reads of other clients served", executions.Load(), whole.Load(), failed.Load(), reads.Load())
	if (whole.Load() == 0 || reads.Load() == 0) && c.BrokenCount() == 0 {
		c.Unable("nothing was served")
	}
	c.End()
}

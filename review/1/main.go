//go:build review

// Case 1: a client's retry of an order joins the open one, and the answer is longer than 64 KiB.
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
	answerSize = 4 << 20
	retryAfter = 120 * time.Millisecond // a short fixed wait
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
	var ran sync.Map
	var executions atomic.Int64
	var hosts []lib.Host
	for i := range 3 {
		id := fmt.Sprintf("s-%d", i)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Must(err)
		go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path == "/load" || q.URL.Path == "/healthz" {
				io.WriteString(w, "TEXT eps=0, queue=0")
				return
			}
			io.Copy(io.Discard, q.Body)
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
		}))
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
	whole, failed := atomic.Int64{}, atomic.Int64{}
	send := func(key, what string) {
		defer wg.Done()
		conn, err := lib.Dial(listen)
		if err != nil {
			c.Log("%s of %s: %v", what, key, err)
			if p.Ended() != "" {
				c.Broken("the sidecar has ended: %s", p.Ended())
			}
			return
		}
		defer conn.Close()
		q := lib.Call{Method: "POST", Path: "/delivery-order/" + key[:8], ID: lib.NewID(), Key: key, Timeout: 2500 * time.Millisecond, Body: `{"outlet":"D7","ml":3}`}
		c.Log("%s of %s is sent as request %s", what, key, q.ID)
		status, body, _, err := conn.Do(q, 20*time.Second)
		switch want := answer(key); {
		case err != nil:
			// The client can tell that it is not whole: failed, unless nothing excuses it.
			c.Log("%s of %s: status %d, %d bytes, then %v", what, key, status, len(body), err)
			failed.Add(1)
			if status == 0 && p.Ended() == "" {
				c.Broken("%s of %s was read, and its connection ended with no answer: %v", what, key, err)
			}
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
		go send(key, "the first try")
		if lib.Trouble() {
			time.Sleep(retryAfter)
			wg.Add(1)
			go send(key, "the retry")
		}
		time.Sleep(600 * time.Millisecond)
		if p.Ended() != "" {
			break
		}
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	if p.Ended() != "" {
		c.Broken("the sidecar has crashed: %s", p.Ended())
		c.Log("its log: %.4000s", p.LogText())
	}
	c.Log("%d orders executed, %d answers whole and as made, %d failed", executions.Load(), whole.Load(), failed.Load())
	if whole.Load() == 0 && c.BrokenCount() == 0 {
		c.Unable("no order was served")
	}
	c.End()
}

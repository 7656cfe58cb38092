//go:build review2

package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { commands["slow-bodies"] = slowBodies }

// soundServer answers requests as PROTOCOL.md has it, after a time of work, and counts those that it has run: orders, and long bodies.
type soundServer struct {
	ln           net.Listener
	work         time.Duration
	orders, long atomic.Int64
}

func startSoundServer(work time.Duration) (*soundServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &soundServer{ln: ln, work: work}
	go http.Serve(ln, s)
	return s, nil
}

func (s *soundServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/healthz":
		return
	case "/load":
		io.WriteString(w, "TEXT eps=0, queue=0")
		return
	}
	if q.Header.Get("X-Request-ID") == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	time.Sleep(s.work)
	if id := q.Header.Get("X-Request-ID"); strings.HasPrefix(id, "long-") {
		s.long.Add(1)
	} else {
		s.orders.Add(1)
	}
	fmt.Fprintf(w, "done %s\n", q.Header.Get("X-Request-ID"))
}

// slowBodies has some clients send long bodies at 64 kB a second (at full speed without the trouble), and
// judges whether the usual requests beside them get their final answers in time.
func slowBodies(args []string) int {
	flags := flag.NewFlagSet("slow-bodies", flag.ExitOnError)
	root := flags.String("root", "", "")
	dir := flags.String("dir", "", "")
	recordPath := flags.String("record", "", "")
	trouble := flags.Bool("trouble", true, "")
	flags.Parse(args)
	rec, err := openRecord(*recordPath)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer killAll()
	const (
		slow      = 32       // clients with long bodies
		length    = 1 << 20  // of such a body
		rate      = 64 << 10 // bytes a second, not less than the 64 kB of the page
		timeout   = 1250 * time.Millisecond
		bound     = timeout + 500*time.Millisecond + 50*time.Millisecond
		perSecond = 20
		measured  = 10 * time.Second
	)
	var servers []*soundServer
	var hosts []listed
	for i := range 6 {
		s, err := startSoundServer(20 * time.Millisecond)
		if err != nil {
			return 2
		}
		servers = append(servers, s)
		hosts = append(hosts, listed{fmt.Sprintf("s-%d", i), s.ln.Addr().String(), []string{"clare-pump", "giru-office"}[i%2], "big-box", i / 2, "active", 1, 0})
	}
	d, err := startDiscovery(rec, hosts)
	if err != nil {
		return 2
	}
	addr, file := freeAddr(), filepath.Join(*dir, "config.json")
	err = writeJSON(file, object{
		"name": "n3", "listen": addr, "discovery": d.ln.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 512},
		"known":  object{"seq": 41, "whole": true, "hosts": hosts}, "settings": settings(deltaWater()),
	})
	if err != nil {
		return 2
	}
	if _, err := start(*root, *dir, "sidecar", "", "GW_CONFIG="+file, "TMPDIR="+*dir); err != nil || !awaitReady(addr) {
		rec.result("cannot run: the sidecar does not get ready")
		return 2
	}
	time.Sleep(time.Second)
	var uploads, orders sync.WaitGroup
	begun := time.Now()
	for i := range slow {
		uploads.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			defer c.Close()
			fmt.Fprintf(c, "POST /delivery-order/%x HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: long-%d\r\nX-Timeout-Ms: 1250\r\nIdempotency-Key: long-%d\r\nContent-Length: %d\r\n\r\n", i, i, i, length)
			part := []byte(strings.Repeat("x", rate/20))
			bodyAt := time.Now()
			for sent := 0; sent < length; sent += len(part) {
				if *trouble { // the first part is sent ahead, so that the rate is never below rate
					time.Sleep(time.Until(bodyAt.Add(time.Duration(sent) * time.Second / rate)))
				}
				if _, err := c.Write(part[:min(len(part), length-sent)]); err != nil {
					break
				}
			}
			sentAt := time.Now()
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			status := 0
			if err == nil {
				status = r.StatusCode
			}
			rec.note("long body %d: sent in %v, status %d, err %v, %v after its last byte", i, sentAt.Sub(bodyAt).Round(time.Millisecond), status, err, time.Since(sentAt).Round(time.Millisecond))
		})
	}
	time.Sleep(2500*time.Millisecond - time.Since(begun))
	var answered, refused, failed, lost atomic.Int64
	for n := range int(measured.Seconds() * perSecond) {
		time.Sleep(time.Until(begun.Add(2500*time.Millisecond + time.Duration(n)*time.Second/perSecond)))
		orders.Go(func() {
			sentAt := time.Now()
			a := call(addr, http.MethodPost, fmt.Sprintf("/delivery-order/%x", n), strings.Repeat("o", 212), bound,
				"X-Request-ID", fmt.Sprintf("order-%d", n), "X-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()), "Idempotency-Key", fmt.Sprintf("order-%d", n))
			took := time.Since(sentAt).Round(time.Millisecond)
			switch {
			case a.Err != nil:
				lost.Add(1)
			case a.Status == 200:
				answered.Add(1)
			case a.Status == 503 || a.Status == 429:
				refused.Add(1)
			default:
				failed.Add(1)
			}
			rec.note("order %d: status %d, err %v, after %v", n, a.Status, a.Err, took)
		})
	}
	orders.Wait()
	uploads.Wait()
	ran, long := int64(0), int64(0)
	for _, s := range servers {
		ran += s.orders.Load()
		long += s.long.Load()
	}
	rec.result("long_bodies=%d of %d bytes, run_by_servers=%d; orders=%d served=%d refused=%d failed=%d without_answer_%v_after_sending=%d run_by_servers=%d", slow, length, long, int(measured.Seconds()*perSecond), answered.Load(), refused.Load(), failed.Load(), bound, lost.Load(), ran)
	if lost.Load() > 0 {
		return 1
	}
	return 0
}

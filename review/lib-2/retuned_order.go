//go:build review2

package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { commands["retuned-order"] = retunedOrder }

// cellMemory is what the servers of one cell remember of keys, for 12 s.
type cellMemory struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// bookingServer runs bookings, once a key in its cell, and answers them after a time of work.
type bookingServer struct {
	name   string
	cell   *cellMemory
	work   time.Duration
	rec    *record
	mu     *sync.Mutex
	counts map[string]int // executions by key, of all servers
}

func (s *bookingServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/healthz":
		return
	case "/load":
		io.WriteString(w, "TEXT eps=0, queue=0")
		return
	}
	io.Copy(io.Discard, q.Body)
	key := q.Header.Get("Idempotency-Key")
	s.cell.mu.Lock()
	at, seen := s.cell.seen[key]
	repeat := seen && time.Since(at) < 12*time.Second
	if !repeat {
		s.cell.seen[key] = time.Now()
	}
	s.cell.mu.Unlock()
	if !repeat {
		s.mu.Lock()
		s.counts[key]++
		s.mu.Unlock()
	}
	s.rec.note("server %s: %s of id %s, key %s, run=%v", s.name, q.Method, q.Header.Get("X-Request-ID"), key, !repeat)
	time.Sleep(s.work)
	fmt.Fprintf(w, "booked %s\n", key)
}

// retunedOrder has a sidecar with a store killed while servers work on bookings. It starts again, and the
// clients that found it gone repeat their bookings. With the trouble a new configuration comes 0.4 s before.
func retunedOrder(args []string) int {
	flags := flag.NewFlagSet("retuned-order", flag.ExitOnError)
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
	const bookings = 20
	var mu sync.Mutex
	counts := map[string]int{}
	var hosts []listed
	for cell := range 3 {
		memory := &cellMemory{seen: map[string]time.Time{}}
		for i := range 2 {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return 2
			}
			name := fmt.Sprintf("s-%d%d", cell, i)
			go http.Serve(ln, &bookingServer{name, memory, 800 * time.Millisecond, rec, &mu, counts})
			hosts = append(hosts, listed{name, ln.Addr().String(), []string{"clare-pump", "giru-office"}[i], "big-box", cell, "active", 1, 0})
		}
	}
	d, err := startDiscovery(rec, hosts)
	if err != nil {
		return 2
	}
	addr, file, operator := freeAddr(), filepath.Join(*dir, "config.json"), filepath.Join(*dir, "operator.toml")
	configuration := func(classes []object) object {
		return object{
			"name": "n3", "listen": addr, "discovery": d.ln.Addr().String(), "seed": "8c1f30d27a5be964",
			"limits": object{"cores": 1.0, "memory_mb": 128, "sockets": 512},
			"known":  object{"seq": 41, "whole": true, "hosts": hosts}, "settings": settings(classes),
		}
	}
	if err := writeJSON(file, configuration(deltaWater())); err != nil {
		return 2
	}
	if err := writeText(operator, fmt.Sprintf("[store]\npath = %q\n", filepath.Join(*dir, "store"))); err != nil {
		return 2
	}
	run := func() *process {
		p, err := start(*root, *dir, "sidecar", "serve --config "+operator, "GW_CONFIG="+file, "TMPDIR="+*dir)
		if err != nil || !awaitReady(addr) {
			rec.result("cannot run: the sidecar does not get ready")
			return nil
		}
		return p
	}
	p := run()
	if p == nil {
		return 2
	}
	time.Sleep(1200 * time.Millisecond)
	book := func(try string) {
		var all sync.WaitGroup
		for n := range bookings {
			all.Go(func() {
				sent := time.Now()
				a := call(addr, http.MethodPost, fmt.Sprintf("/meter-booking/%x", n), strings.Repeat("b", 80), 2500*time.Millisecond,
					"X-Request-ID", fmt.Sprintf("%s-%d", try, n), "X-Timeout-Ms", "1300", "Idempotency-Key", fmt.Sprintf("booking-%d", n))
				rec.note("client: id %s-%d, key booking-%d: status %d, err %v, replayed %q, state %q, after %v", try, n, n, a.Status, a.Err,
					a.Header.Get("Idempotency-Replayed"), a.Header.Get("Idempotency-State"), time.Since(sent).Round(time.Millisecond))
			})
		}
		all.Wait()
	}
	go func() {
		time.Sleep(400 * time.Millisecond)
		rec.note("the sidecar is killed")
		p.signal(syscall.SIGKILL)
	}()
	book("first")
	<-p.done
	if p = run(); p == nil {
		return 2
	}
	time.Sleep(1200 * time.Millisecond)
	if *trouble {
		classes := deltaWater()
		classes[2]["Effect"], classes[2]["Group"] = "read_like", "all"
		if err := writeJSON(file, configuration(classes)); err != nil {
			return 2
		}
		rec.note("SIGHUP: meter-booking is read_like")
		p.signal(syscall.SIGHUP)
	}
	time.Sleep(400 * time.Millisecond)
	book("again")
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for _, n := range counts {
		if n > 1 {
			twice++
		}
	}
	rec.result("bookings=%d run=%d run_more_than_once=%d", bookings, len(counts), twice)
	switch {
	case len(counts) < bookings/2:
		return 2
	case twice > 0:
		return 1
	}
	return 0
}

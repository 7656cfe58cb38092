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

func init() { commands["two-configurations"] = twoConfigurations }

// resettingServer runs bookings like a bookingServer, and resets their connections in place of an answer.
type resettingServer struct{ bookingServer }

func (s *resettingServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" || q.URL.Path == "/load" {
		s.bookingServer.ServeHTTP(w, q)
		return
	}
	c, rest, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	c.(*net.TCPConn).SetLinger(0)
	io.CopyN(io.Discard, rest, q.ContentLength)
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
	s.rec.note("server %s: %s of id %s, key %s, run=%v, reset", s.name, q.Method, q.Header.Get("X-Request-ID"), key, !repeat)
}

// twoConfigurations has one of six servers reset connections under bookings that it has run. A new configuration widens the group of
// bookings from a cell to all servers; with the trouble a second one follows that adds a class. Bookings come before the first one's rules bind.
func twoConfigurations(args []string) int {
	flags := flag.NewFlagSet("two-configurations", flag.ExitOnError)
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
	const bookings = 40
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
			s := bookingServer{name, memory, 20 * time.Millisecond, rec, &mu, counts}
			if cell == 0 && i == 0 {
				go http.Serve(ln, &resettingServer{s})
			} else {
				go http.Serve(ln, &s)
			}
			hosts = append(hosts, listed{name, ln.Addr().String(), []string{"clare-pump", "giru-office"}[i], "big-box", cell, "active", 1, 0})
		}
	}
	d, err := startDiscovery(rec, hosts)
	if err != nil {
		return 2
	}
	addr, file := freeAddr(), filepath.Join(*dir, "config.json")
	configure := func(classes []object) error {
		return writeJSON(file, object{
			"name": "n3", "listen": addr, "discovery": d.ln.Addr().String(), "seed": "8c1f30d27a5be964",
			"limits": object{"cores": 1.0, "memory_mb": 128, "sockets": 512},
			"known":  object{"seq": 41, "whole": true, "hosts": hosts}, "settings": settings(classes),
		})
	}
	if err := configure(deltaWater()); err != nil {
		return 2
	}
	p, err := start(*root, *dir, "sidecar", "", "GW_CONFIG="+file, "TMPDIR="+*dir)
	if err != nil || !awaitReady(addr) {
		rec.result("cannot run: the sidecar does not get ready")
		return 2
	}
	time.Sleep(1200 * time.Millisecond)
	wider := deltaWater()
	wider[2]["Group"] = "all"
	if err := configure(wider); err != nil {
		return 2
	}
	rec.note("SIGHUP: the group of meter-booking is all servers")
	first := time.Now()
	p.signal(syscall.SIGHUP)
	time.Sleep(400 * time.Millisecond)
	if *trouble {
		if err := configure(append(wider, class("channel-status", "read_like", "all", 600*time.Millisecond, 2*time.Second, 0))); err != nil {
			return 2
		}
		rec.note("SIGHUP: a class is added")
		p.signal(syscall.SIGHUP)
	}
	time.Sleep(time.Until(first.Add(600 * time.Millisecond)))
	var all sync.WaitGroup
	for n := range bookings {
		all.Go(func() {
			a := call(addr, http.MethodPost, fmt.Sprintf("/meter-booking/%x", n), strings.Repeat("b", 80), 2500*time.Millisecond,
				"X-Request-ID", fmt.Sprintf("id-%d", n), "X-Timeout-Ms", "1300", "Idempotency-Key", fmt.Sprintf("booking-%d", n))
			rec.note("client: id id-%d, key booking-%d: status %d, err %v", n, n, a.Status, a.Err)
		})
		time.Sleep(8 * time.Millisecond)
	}
	all.Wait()
	last := time.Since(first)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for _, n := range counts {
		if n > 1 {
			twice++
		}
	}
	rec.result("bookings=%d run=%d run_more_than_once=%d, the last one answered %v after the first SIGHUP", bookings, len(counts), twice, last.Round(time.Millisecond))
	switch {
	case len(counts) < bookings/2 || last > 1200*time.Millisecond:
		return 2
	case twice > 0:
		return 1
	}
	return 0
}

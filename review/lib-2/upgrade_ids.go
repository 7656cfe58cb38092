//go:build review2

package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { commands["upgrade-ids"] = upgradeIDs }

// idServer runs each request that comes, and counts the runs of each id.
type idServer struct {
	name string
	work time.Duration
	rec  *record
	mu   *sync.Mutex
	runs map[string]int
}

func (s *idServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/healthz":
		return
	case "/load":
		io.WriteString(w, "TEXT eps=0, queue=0")
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	id := q.Header.Get("X-Request-ID")
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.mu.Unlock()
	s.rec.note("server %s: %s %s, id %s, run %d of it", s.name, q.Method, q.URL.Path, id, n)
	time.Sleep(s.work)
	fmt.Fprintf(w, "placed %s\n", id)
}

// startOn starts the program with a listening socket that it inherits as descriptor 3.
func startOn(root, dir, name string, socket *os.File, env ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &process{Cmd: exec.Command("/bin/sh", "-c", "exec bin/quillfront"), log: out.Name(), done: make(chan struct{})}
	p.Dir, p.Stdout, p.Stderr, p.ExtraFiles = root, out, out, []*os.File{socket}
	p.Env = append(os.Environ(), append(env, "GW_ACCEPT_FD=3")...)
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return nil, err
	}
	started = append(started, p)
	go func() {
		p.Wait()
		close(p.done)
	}()
	return p, nil
}

// awaitYes waits for a yes to GET /api/ready at the operators' address.
func awaitYes(management string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for begun := time.Now(); time.Since(begun) < 6*time.Second; time.Sleep(20 * time.Millisecond) {
		if r, err := c.Get("http://" + management + "/api/ready"); err == nil {
			r.Body.Close()
			if r.StatusCode/100 == 2 {
				return true
			}
		}
	}
	return false
}

// upgradeIDs has usual clients send requests that are not safe to repeat, and bad clients send the same under the ids of these
// while they are open. With the trouble a new version takes over in between.
func upgradeIDs(args []string) int {
	flags := flag.NewFlagSet("upgrade-ids", flag.ExitOnError)
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
	const requests = 20
	var mu sync.Mutex
	runs := map[string]int{}
	var hosts []listed
	for i := range 6 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 2
		}
		name := fmt.Sprintf("s-%d", i)
		go http.Serve(ln, &idServer{name, time.Second, rec, &mu, runs})
		hosts = append(hosts, listed{name, ln.Addr().String(), []string{"clare-pump", "giru-office"}[i%2], "big-box", i / 2, "active", 1, 0})
	}
	d, err := startDiscovery(rec, hosts)
	if err != nil {
		return 2
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0") // the platform holds the clients' socket
	if err != nil {
		return 2
	}
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		return 2
	}
	addr, file := ln.Addr().String(), filepath.Join(*dir, "config.json")
	classes := deltaWater()
	classes[1]["Effect"] = "non_idempotent"
	err = writeJSON(file, object{
		"name": "n3", "listen": addr, "discovery": d.ln.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 128, "sockets": 512},
		"known":  object{"seq": 41, "whole": true, "hosts": hosts}, "settings": settings(classes),
	})
	if err != nil {
		return 2
	}
	first := freeAddr()
	older, err := startOn(*root, *dir, "older", socket, "GW_CONFIG="+file, "TMPDIR="+*dir, "GW_MANAGEMENT="+first)
	if err != nil || !awaitYes(first) {
		rec.result("cannot run: the sidecar does not get ready")
		return 2
	}
	time.Sleep(1200 * time.Millisecond)
	conns := make([]net.Conn, requests) // of the usual clients, which keep them
	for i := range conns {
		if conns[i], err = net.Dial("tcp", addr); err != nil {
			return 2
		}
		defer conns[i].Close()
		if a := callOn(conns[i], http.MethodGet, "/healthz", "", time.Second); a.Status != 200 {
			rec.result("cannot run: %+v", a)
			return 2
		}
	}
	if *trouble {
		second := freeAddr()
		if _, err := startOn(*root, *dir, "newer", socket, "GW_CONFIG="+file, "TMPDIR="+*dir, "GW_MANAGEMENT="+second); err != nil || !awaitYes(second) {
			rec.result("cannot run: the new version does not get ready")
			return 2
		}
		rec.note("the new version says yes")
	}
	body := strings.Repeat("o", 120)
	send := func(who string, i int, c net.Conn) int {
		id := fmt.Sprintf("id-%d", i)
		a := callOn(c, http.MethodPost, fmt.Sprintf("/delivery-order/%x", i), body, 4*time.Second, "X-Request-ID", id, "X-Timeout-Ms", "1450")
		rec.note("%s client: id %s: status %d, err %v", who, id, a.Status, a.Err)
		return a.Status
	}
	var all sync.WaitGroup
	var usual, bad atomic.Int64
	for i, c := range conns {
		all.Go(func() {
			if send("usual", i, c) == 200 {
				usual.Add(1)
			}
		})
	}
	time.Sleep(20 * time.Millisecond) // their requests are taken
	if *trouble {
		rec.note("SIGTERM to the older process")
		older.signal(syscall.SIGTERM)
	}
	time.Sleep(200 * time.Millisecond)
	for i := range requests {
		all.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			defer c.Close()
			if send("bad", i, c) == 200 {
				bad.Add(1)
			}
		})
	}
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	rec.result("requests=%d run=%d served_to_usual_clients=%d served_to_bad_clients=%d ids_run_more_than_once=%d", requests, len(runs), usual.Load(), bad.Load(), twice)
	switch {
	case len(runs) < requests/2:
		return 2
	case twice > 0 || bad.Load() > 0:
		return 1
	}
	return 0
}

//go:build review

// Case 5: after an outage of discovery sidecars ask again too late, and go on sending to an upstream that drains.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quillfront/review/lib"
)

const (
	sidecars  = 24
	upstreams = 8
	quiet     = 6 * time.Second
	outage    = 8 * time.Second // of discovery
	drainsAt  = time.Second     // after its return: "within seconds of its return"
	// toldAfter: a change counts as told at the latest 6 s after discovery had it and could be reached. grace: 2 s by the
	// settings, 50 ms for sockets, and 150 ms in which a sidecar may be held up.
	toldAfter = 6 * time.Second
	grace     = 2*time.Second + 50*time.Millisecond + 150*time.Millisecond
	after     = 20 * time.Second // what is watched after the drain
)

func main() {
	c := lib.Start()
	var mu sync.Mutex
	var drainAt time.Time // discovery can be reached, and has the drain from here on
	late := map[string]int{}
	lastLate := map[string]time.Duration{}
	var served, failed, ran atomic.Int64
	var hosts []lib.Host
	for i := range upstreams {
		id := fmt.Sprintf("s-%d", i)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Must(err)
		drains := i < 2
		srv := &http.Server{IdleTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path == "/load" || q.URL.Path == "/healthz" {
				io.WriteString(w, "TEXT eps=0, queue=0")
				return
			}
			io.Copy(io.Discard, q.Body)
			now := time.Now()
			ran.Add(1)
			mu.Lock()
			if drains && !drainAt.IsZero() {
				sidecar, _, _ := strings.Cut(q.Header.Get("X-Request-ID"), "-")
				since := now.Sub(drainAt)
				c.Log("%s (leaving) gets request %s, %.3f s after discovery had its drain and could be reached", id, q.Header.Get("X-Request-ID"), since.Seconds())
				if since > toldAfter+grace {
					late[sidecar]++
					lastLate[sidecar] = since
				}
			}
			mu.Unlock()
			time.Sleep(15 * time.Millisecond)
			fmt.Fprintf(w, "done %s", q.Header.Get("X-Request-ID"))
		})}
		go srv.Serve(ln)
		hosts = append(hosts, lib.Host{Host: id, Dial: ln.Addr().String(), Site: "clare-pump", Class: "big-box", Block: i / 4, Health: "active", Share: 1})
	}
	d := c.NewDiscovery(hosts)
	var addrs []string
	var procs []*lib.Process
	for i := range sidecars {
		name, listen := fmt.Sprintf("n%d", i), c.FreeAddr()
		settings := lib.Settings(i, sidecars)
		settings["Localities"] = []string{"clare-pump"}
		config := c.Write(name+".json", lib.JSON(lib.Object{
			"name": name, "listen": listen, "discovery": d.Addr, "seed": lib.NewID(), "limits": lib.Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"known": d.List(), "settings": settings,
		}))
		addrs, procs = append(addrs, listen), append(procs, c.Run(name, c.RunLine(), "GW_CONFIG="+config))
	}
	for i, p := range procs {
		c.AwaitHealthy(addrs[i], p)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() { // some 8 requests a second for each sidecar
			k := &lib.Client{Addr: addr}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				q := lib.Call{Method: "GET", Path: "/allocation-check/" + lib.NewID(), ID: fmt.Sprintf("n%d-%s", i, lib.NewID()), Timeout: 3 * time.Second}
				status, body, err := k.Do(q, 4*time.Second)
				if err == nil && status == 200 && string(body) == "done "+q.ID {
					served.Add(1)
				} else {
					failed.Add(1)
					c.Log("request %s: %d %v", q.ID, status, err)
				}
			}
		})
	}
	// All sidecars begin to watch within the first six tenths of AskEveryUs.
	time.Sleep(quiet + 2*time.Second)
	if lib.Trouble() {
		c.Log("discovery goes down")
		d.SetDown(true)
		time.Sleep(outage)
		d.SetDown(false)
		c.Log("discovery is back")
	} else {
		time.Sleep(outage)
	}
	time.Sleep(drainsAt)
	mu.Lock()
	d.SetHealth("s-0", "leaving")
	d.SetHealth("s-1", "leaving")
	drainAt = time.Now()
	mu.Unlock()
	c.Log("s-0 and s-1 are leaving")
	time.Sleep(after)
	close(stop)
	wg.Wait()
	for i, p := range procs {
		if ended := p.Ended(); ended != "" {
			c.Unable("sidecar %d has ended: %s", i, ended)
		}
	}
	mu.Lock()
	for name, n := range late {
		c.Broken("sidecar %s sent %d requests to upstreams that drain more than 2 s after it counted as told, the last %.3f s after discovery had the drain and could be reached (allowed: 8 s)", name, n, lastLate[name].Seconds())
	}
	mu.Unlock()
	c.Log("%d served, %d not, %d run; %d calls at discovery", served.Load(), failed.Load(), ran.Load(), d.Calls())
	if served.Load() < 1000 {
		c.Unable("few requests were served: %d", served.Load())
	}
	c.End()
}

//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// object is a JSON object.
type object = map[string]any

// record writes the record of a case: lines with the time since its begin.
type record struct {
	mu    sync.Mutex
	out   *os.File
	begun time.Time
}

func openRecord(path string) (*record, error) {
	out, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return &record{out: out, begun: time.Now()}, err
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// result notes and prints the last line of a case.
func (r *record) result(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// listed is an upstream as discovery lists it.
type listed struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// discovery is the discovery of PROTOCOL.md with a list that does not change: whole lists, and watches with an empty line every 2 s.
type discovery struct {
	ln net.Listener

	seq   int64
	hosts []listed
	log   *record
}

func startDiscovery(log *record, hosts []listed) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{ln: ln, seq: 41, hosts: hosts, log: log}
	go http.Serve(ln, http.HandlerFunc(d.serve))
	return d, nil
}

func (d *discovery) serve(w http.ResponseWriter, q *http.Request) {
	d.log.note("discovery: %s of %s", q.URL, q.RemoteAddr)
	message := object{"seq": d.seq, "whole": true, "hosts": d.hosts}
	if since, err := strconv.ParseInt(q.URL.Query().Get("since"), 10, 64); err == nil && since == d.seq {
		message = object{"seq": d.seq, "whole": false, "hosts": []listed{}}
	}
	b, _ := json.Marshal(message)
	w.Write(append(b, '\n'))
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for q.URL.Query().Get("follow") == "1" {
		w.(http.Flusher).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-tick.C:
			io.WriteString(w, "\n")
		}
	}
}

// class is a class of requests as the settings have it.
func class(name, effect, group string, aim, deadline, ttl time.Duration) object {
	return object{
		"Name": name, "Effect": effect, "Group": group, "AimUs": aim.Microseconds(), "DeadlineUs": deadline.Microseconds(),
		"KeyTtlUs": ttl.Microseconds(), "LateShare": 0.5, "Stream": false, "Worth": 2.0,
	}
}

// deltaWater returns the classes of the first deployment.
func deltaWater() []object {
	return []object{
		class("allocation-check", "read_like", "all", 600*time.Millisecond, 3*time.Second, 5*time.Second),
		class("delivery-order", "idempotency_key", "all", 600*time.Millisecond, 2500*time.Millisecond, 1500*time.Millisecond),
		class("meter-booking", "idempotency_key", "cell", 1200*time.Millisecond, 2500*time.Millisecond, 12*time.Second),
	}
}

// settings returns settings like the example of WIRE.md.
func settings(classes []object) object {
	return object{
		"Clients": object{"MarksRetry": false}, "Family": "mesh", "FamilyInfo": object{"WarmKeys": false}, "GroupSize": 1, "Ordinal": 0,
		"Kinds": []string{"big-box", "small-box", "slow-box"},
		"Limits": object{
			"Cancelling": true, "ConnIdleUs": 5_000_000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 1501662, "DialTimeoutUs": 250_000, "MaxRetryAfterUs": 1_500_000,
			"MayDuplicate": true, "MostHeld": 375415, "Peers": false, "Probes": true, "RetryAfter": true, "SendCap": 3, "StreamsPerConn": 1,
		},
		"Localities": []string{"clare-pump", "giru-office"}, "MembershipMode": "on_request", "OverShareWorth": 0.1, "RequestClasses": classes,
		"Safety": object{
			"AskEveryUs": 10_000_000, "ColdFrom": 0.31, "DrainGraceUs": 2_000_000, "GraceToAnswerUs": 20_000, "OverloadForUs": 1_000_000, "RampTimeUs": 8_600_000,
			"TipMultiple": 2.5,
		},
		"Tariffs": object{
			"Connection": 0.0, "CrossZone": 0.03, "Handshake": 0.0, "LateFail": 0.05, "MembershipMode": 0.0, "Moves": 0.0, "Origin": 0.0, "Peer": 0.0,
			"Probe": 0.05, "Waste": 0.05,
		},
		"Telemetry": object{"Fields": []string{"eps", "queue"}, "Via": "on_probe"}, "Tenants": []object{}, "TickUs": 5000, "Tier": 0,
		"Tiers": []string{"water-orders"}, "ValueBy": "work", "Weights": "off", "Zone": "clare-pump",
	}
}

// writeJSON replaces a file.
func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", " ")
	if err == nil {
		err = os.WriteFile(path+".new", b, 0o644)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	return err
}

// process is a process of the program, started as the deploy file's run does it.
type process struct {
	*exec.Cmd
	log  string
	done chan struct{}
}

var started []*process

// start runs "exec bin/quillfront ARGS" from the root.
func start(root, dir, name, args string, env ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &process{Cmd: exec.Command("/bin/sh", "-c", strings.TrimSpace("exec bin/quillfront "+args)), log: out.Name(), done: make(chan struct{})}
	p.Dir, p.Stdout, p.Stderr = root, out, out
	p.Env = append(os.Environ(), env...)
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

func (p *process) signal(s syscall.Signal) { p.Process.Signal(s) }

// killAll ends the processes that were started.
func killAll() {
	for _, p := range started {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// awaitReady waits until GET /healthz at addr answers 200.
func awaitReady(addr string) bool {
	c := http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 200 {
		if r, err := c.Get("http://" + addr + "/healthz"); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				return true
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
	return false
}

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// answer is what a client sees of an answer.
type answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// call sends one request on a new connection and reads its answer.
func call(addr, method, target, body string, wait time.Duration, headers ...string) answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{Err: err}
	}
	defer c.Close()
	return callOn(c, method, target, body, wait, headers...)
}

func callOn(c net.Conn, method, target, body string, wait time.Duration, headers ...string) answer {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: service.internal\r\n", method, target)
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	c.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{Err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{Err: err}
	}
	a := answer{Status: r.StatusCode, Header: r.Header}
	a.Body, a.Err = io.ReadAll(r.Body)
	return a
}

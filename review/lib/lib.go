//go:build review

// Package lib has what the cases of the review share: it starts the project's programs with the commands of the deploy
// file, keeps the record of a case, and has small stand-ins for discovery and for the upstreams' side of the protocol.
package lib

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Object is a JSON object.
type Object = map[string]any

// Trouble reports whether the disruption of the case takes place.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Case is one run of a case.
type Case struct {
	Root string // of the repository
	Dir  string // of the case
	Tmp  string // temporary folder of this run

	mu     sync.Mutex
	out    *os.File
	start  time.Time
	broken []string
	procs  []*Process
	given  map[string]bool // addresses that FreeAddr has returned
}

// Start begins the record of a case. Its environment has CASE_ROOT, CASE_DIR and CASE_TMP.
func Start() *Case {
	c := &Case{Root: os.Getenv("CASE_ROOT"), Dir: os.Getenv("CASE_DIR"), Tmp: os.Getenv("CASE_TMP"), start: time.Now(), given: map[string]bool{}}
	var err error
	if c.out, err = os.Create(filepath.Join(c.Dir, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	c.Log("trouble=%v", Trouble())
	return c
}

// Log writes a line to the record, with the time since the start.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, "%9.3f "+format+"\n", append([]any{time.Since(c.start).Seconds()}, args...)...)
}

// Broken records that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Log("BROKEN %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, text)
}

// BrokenCount returns how often the rule was broken so far.
func (c *Case) BrokenCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.broken)
}

// Unable ends the run because the case could not be carried out.
func (c *Case) Unable(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Log("could not run: %s", text)
	fmt.Println("could not run:", text)
	c.end(2)
}

// Must ends the run if err is set.
func (c *Case) Must(err error) {
	if err != nil {
		c.Unable("%v", err)
	}
}

// End ends the run with the verdict.
func (c *Case) End() {
	if n := c.BrokenCount(); n > 0 {
		c.Log("verdict: the rule was broken, %d times", n)
		fmt.Printf("the rule was broken, %d times; the first: %s\n", n, c.broken[0])
		c.end(1)
	}
	c.Log("verdict: the rule held")
	fmt.Println("the rule held")
	c.end(0)
}

func (c *Case) end(code int) {
	for _, p := range c.procs {
		p.Kill()
	}
	c.out.Close()
	os.Exit(code)
}

// Process is a program of the project that the case started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}

	mu    sync.Mutex
	state string // how it ended; empty: it runs
}

// Run starts a command line by /bin/sh from the repository's root, as the deploy file says.
func (c *Case) Run(name, line string, env ...string) *Process {
	p := &Process{Name: name, log: filepath.Join(c.Tmp, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	c.Must(err)
	p.cmd = exec.Command("/bin/sh", "-c", line)
	p.cmd.Dir = c.Root
	private := filepath.Join(c.Tmp, "tmp-"+name)
	c.Must(os.MkdirAll(private, 0o700))
	p.cmd.Env = append(os.Environ(), append([]string{"TMPDIR=" + private}, env...)...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Must(p.cmd.Start())
	out.Close()
	c.procs = append(c.procs, p)
	c.Log("started %s: %s", name, line)
	go func() {
		p.cmd.Wait()
		p.mu.Lock()
		p.state = p.cmd.ProcessState.String()
		p.mu.Unlock()
		close(p.done)
	}()
	return p
}

// RunLine returns the line `run` of the deploy file.
func (c *Case) RunLine() string {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	c.Must(err)
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if m == nil {
		c.Unable("the deploy file has no line run")
	}
	return string(m[1])
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) { p.cmd.Process.Signal(s) }

// Ended returns how the process ended, or an empty string while it runs.
func (p *Process) Ended() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	if p.Ended() == "" {
		p.cmd.Process.Kill()
		<-p.done
	}
}

// LogText returns what the process has logged.
func (p *Process) LogText() string {
	text, _ := os.ReadFile(p.log)
	return string(text)
}

// AwaitHealthy waits until GET /healthz at addr answers 200.
func (c *Case) AwaitHealthy(addr string, p *Process) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if p.Ended() != "" {
			break
		}
		if r, err := client.Get("http://" + addr + "/healthz"); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				return
			}
		}
	}
	c.Unable("%s does not get ready: %s %s", p.Name, p.Ended(), p.LogText())
}

// FreeAddr returns a loopback address that was free a moment ago. Its port is below those that the system gives to
// connections, so that no connection of the case takes it meanwhile.
func (c *Case) FreeAddr() string {
	for range 1000 {
		var b [2]byte
		rand.Read(b[:])
		addr := fmt.Sprintf("127.0.0.1:%d", 12000+int(binary.BigEndian.Uint16(b[:]))%18000)
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			if !c.given[addr] {
				c.given[addr] = true
				return addr
			}
		}
	}
	c.Unable("no free port")
	return ""
}

// Write writes a file into the temporary folder and returns its path.
func (c *Case) Write(name string, text []byte) string {
	path := filepath.Join(c.Tmp, name)
	c.Must(os.WriteFile(path+".new", text, 0o600))
	c.Must(os.Rename(path+".new", path))
	return path
}

// JSON encodes v.
func JSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// NewID returns a random id of 16 hex digits.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Settings returns the settings of a deployment like delta-water, for the sidecar with that ordinal.
func Settings(ordinal, group int) Object {
	return Object{
		"Clients": Object{"MarksRetry": false}, "Family": "mesh", "FamilyInfo": Object{"WarmKeys": false},
		"Goal":      Object{"Whole": 0.55, "WorstClass": 0.1, "WorstTenant": 0.0, "WorstWindow": 0.35},
		"GroupSize": group, "Kinds": []string{"big-box", "small-box", "slow-box"},
		"Limits": Object{
			"Cancelling": true, "ConnIdleUs": 5000000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 1501662, "DialTimeoutUs": 250000,
			"MaxRetryAfterUs": 1500000, "MayDuplicate": true, "MostHeld": 375415, "Peers": false, "Probes": true, "RetryAfter": true,
			"SendCap": 3, "StreamsPerConn": 1,
		},
		"Localities": []string{"clare-pump", "giru-office"}, "MembershipMode": "on_request", "Ordinal": ordinal, "OverShareWorth": 0.1,
		"RequestClasses": []Object{
			{"AimUs": 600000, "DeadlineUs": 3000000, "Effect": "read_like", "Group": "all", "KeyTtlUs": 5000000, "LateShare": 0.2, "Name": "allocation-check", "Stream": false, "Worth": 2.0},
			{"AimUs": 600000, "DeadlineUs": 2500000, "Effect": "idempotency_key", "Group": "all", "KeyTtlUs": 1500000, "LateShare": 0.5, "Name": "delivery-order", "Stream": false, "Worth": 10.0},
			{"AimUs": 1200000, "DeadlineUs": 2500000, "Effect": "idempotency_key", "Group": "cell", "KeyTtlUs": 12000000, "LateShare": 0.3, "Name": "meter-booking", "Stream": false, "Worth": 3.0},
		},
		"Safety": Object{
			"AskEveryUs": 10000000, "ColdFrom": 0.31, "DrainGraceUs": 2000000, "GraceToAnswerUs": 20000, "OverloadForUs": 1000000,
			"RampTimeUs": 8600000, "TipMultiple": 2.5,
		},
		"Tariffs": Object{
			"Connection": 0.0, "CrossZone": 0.03, "Handshake": 0.0, "LateFail": 0.05, "MembershipMode": 0.0, "Moves": 0.0, "Origin": 0.0,
			"Peer": 0.0, "Probe": 0.05, "Waste": 0.05,
		},
		"Telemetry": Object{"Fields": []string{"eps", "queue"}, "Via": "on_probe"}, "Tenants": []any{}, "TickUs": 5000, "Tier": 0,
		"Tiers": []string{"water-orders"}, "ValueBy": "work", "Weights": "off", "Zone": "clare-pump",
	}
}

// Host is an entry of discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// Discovery is a stand-in for the platform's discovery, by the protocol page: the whole list, or a watch that begins with
// what changed after the version that the caller has. While it is down its calls are answered with 503, and watches end.
type Discovery struct {
	Addr string

	mu      sync.Mutex
	seq     int64
	hosts   []Host
	changes []change
	down    bool
	news    chan struct{}
	calls   int
}

type change struct {
	seq  int64
	host Host
}

type list struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// NewDiscovery starts a discovery that lists hosts.
func (c *Case) NewDiscovery(hosts []Host) *Discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	d := &Discovery{Addr: ln.Addr().String(), seq: 41, hosts: hosts, news: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.serve)
	go http.Serve(ln, mux)
	return d
}

func (d *Discovery) tell() {
	close(d.news)
	d.news = make(chan struct{})
}

// SetDown takes discovery down, or brings it back.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.tell()
}

// SetHealth changes an entry's health.
func (d *Discovery) SetHealth(id, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.hosts {
		if d.hosts[i].Host == id {
			d.seq++
			d.hosts[i].Health = health
			d.changes = append(d.changes, change{d.seq, d.hosts[i]})
		}
	}
	d.tell()
}

// List returns the whole list, in the form of the configuration's key `known`.
func (d *Discovery) List() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{d.seq, true, slices.Clone(d.hosts)}
}

// Calls returns the number of calls so far.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

func (d *Discovery) serve(w http.ResponseWriter, q *http.Request) {
	since, err := strconv.ParseInt(q.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = -1
	}
	follow := q.URL.Query().Get("follow") == "1"
	for first := true; ; first = false {
		d.mu.Lock()
		if first {
			d.calls++
		}
		down, news := d.down, d.news
		l := list{Seq: d.seq, Whole: true, Hosts: slices.Clone(d.hosts)}
		if since >= 41 {
			l.Whole, l.Hosts = false, []Host{}
			for _, n := range d.changes {
				if n.seq > since {
					l.Hosts = append(l.Hosts, n.host)
				}
			}
		}
		d.mu.Unlock()
		if down {
			if first {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		if first || l.Seq != since {
			w.Write(append(JSON(l), '\n'))
			since = l.Seq
		}
		if !follow {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-news:
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
		}
	}
}

// Call is a request of a client to its sidecar, by the protocol page.
type Call struct {
	Method, Path, ID, Key string
	Timeout               time.Duration
	Body                  string
}

// Text returns the request as it is written.
func (q Call) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n", q.Method, q.Path, q.ID, q.Timeout.Milliseconds())
	if q.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", q.Key)
	}
	if q.Method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	return b.String() + "\r\n" + q.Body
}

// Conn is a client's connection to its sidecar.
type Conn struct {
	net.Conn
	R *bufio.Reader
}

// Dial connects a client to its sidecar.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, bufio.NewReader(c)}, nil
}

// Do sends a request and reads its answer, in all of wait. An error means that no whole answer came.
func (c *Conn) Do(q Call, wait time.Duration) (status int, body []byte, closes bool, err error) {
	c.SetDeadline(time.Now().Add(wait))
	if _, err = io.WriteString(c, q.Text()); err != nil {
		return 0, nil, true, err
	}
	r, err := http.ReadResponse(c.R, &http.Request{Method: q.Method})
	if err != nil {
		return 0, nil, true, err
	}
	defer r.Body.Close()
	body, err = io.ReadAll(r.Body)
	return r.StatusCode, body, r.Close, err
}

// Client keeps connections to one sidecar, one request at a time on each, as the protocol page says.
type Client struct {
	Addr string
	mu   sync.Mutex
	idle []*Conn
}

// Do sends a request on a kept connection, or on a new one. A request that crosses the close of a kept connection is sent
// once more on a new one.
func (k *Client) Do(q Call, wait time.Duration) (status int, body []byte, err error) {
	k.mu.Lock()
	var c *Conn
	if n := len(k.idle); n > 0 {
		c, k.idle = k.idle[n-1], k.idle[:n-1]
	}
	k.mu.Unlock()
	kept := c != nil
	if c == nil {
		if c, err = Dial(k.Addr); err != nil {
			return 0, nil, err
		}
	}
	status, body, closes, err := c.Do(q, wait)
	if kept && status == 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		c.Close()
		if c, err = Dial(k.Addr); err != nil {
			return 0, nil, err
		}
		status, body, closes, err = c.Do(q, wait)
	}
	if err != nil || closes {
		c.Close()
		return status, body, err
	}
	k.mu.Lock()
	k.idle = append(k.idle, c)
	k.mu.Unlock()
	return status, body, nil
}

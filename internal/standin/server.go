// Package standin stands in for what a balancer has around it: HTTP servers with cores, a waiting room, a cold start,
// drains, load reports and troubles on order (Box), the fleet of them with the memory by which they drop repeats (Fleet),
// and a discovery that lists them, runs late and goes down (Discovery). All of it listens on loopback addresses only, and
// draws its chances from a seed. It counts what the four rules are about: executions, late sends, falls.
package standin

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what goes wrong with one request at a box.
type Fault int

// The faults.
const (
	NoFault         Fault = iota
	ServerError           // answered 500, not executed
	Reject                // answered 503 with X-Not-Processed, not executed
	MalformedReply        // executed, and answered with noise
	NoReply               // executed, and never answered
	ResetConnection       // executed, and the connection reset in place of an answer
)

// FaultRates is how often each fault happens by chance, as shares of the requests.
type FaultRates struct{ ServerError, Malformed, NoReply, Reset float64 }

// ServerConfig is what one box is like. Zero values take the defaults.
type ServerConfig struct {
	ID   string
	Zone string
	Cell int

	Cores               int           // requests worked on at once; 2
	QueueSize           int           // requests that may wait; 64
	ServiceTime         time.Duration // for a request at full warmth where none is given by X-Cost; 0: none at all
	ServiceTimeFromCost bool          // take the work from X-Cost

	Cold               bool          // it has just started
	ColdCapacity       float64       // share of its capacity at its start; 0.31
	Ramp               time.Duration // until it is warm; 8.6 s
	ColdOverloadFactor float64       // sent more than this multiple of its present capacity for a second it falls over; 2.5

	// Script, if set, says what goes wrong with the nth request (from 0) in place of chance.
	Script func(n int, q *http.Request) Fault
	// Report, if set, is the load report that comes with the answer to the nth request (from 0).
	Report func(n int) string
	// Body is what it answers with; nil: its name and the request's target.
	Body []byte
}

// mostKept bounds what a box remembers of the requests that it has had.
const mostKept = 100_000

// Server is one stand-in server.
type Server struct {
	cfg   ServerConfig
	fleet *Fleet
	ln    net.Listener
	srv   *http.Server
	done  sync.WaitGroup
	end   chan struct{} // closed when it ends
	slots chan struct{}

	requests atomic.Int64 // that came, turned away ones too
	probes   atomic.Int64
	waiting  atomic.Int64
	held     atomic.Int64 // waiting or worked on
	late     atomic.Int64 // requests after the drain's grace
	conns    atomic.Int64 // opened

	mu       sync.Mutex
	rng      *rand.Rand
	trouble  FaultRates
	born     time.Time
	draining bool
	toldAt   time.Time // when discovery told of its drain
	offered  []offer   // of the last second
	fallen   bool
	errs     []time.Time // of the last second
}

// offer is work that came.
type offer struct {
	at   time.Time
	work time.Duration
}

// Counts is what a box has seen.
type Counts struct {
	Requests, Probes, Late, Conns int64
	Overloaded                    bool
}

// drainGrace is how long after it was told a sidecar may still send to a box that drains: 2 s, and the 50 ms that
// sockets are given.
const drainGrace = 2*time.Second + 50*time.Millisecond

func startBox(cfg ServerConfig, f *Fleet, seed uint64) (*Server, error) {
	if cfg.ID == "" {
		return nil, errors.New("standin: a box without ID")
	}
	cfg.Cores, cfg.QueueSize = cmp.Or(cfg.Cores, 2), cmp.Or(cfg.QueueSize, 64)
	cfg.ColdCapacity, cfg.Ramp, cfg.ColdOverloadFactor = cmp.Or(cfg.ColdCapacity, 0.31), cmp.Or(cfg.Ramp, 8600*time.Millisecond), cmp.Or(cfg.ColdOverloadFactor, 2.5)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: box %s: %w", cfg.ID, err)
	}
	b := &Server{
		cfg: cfg, fleet: f, ln: ln, end: make(chan struct{}), slots: make(chan struct{}, cfg.Cores),
		rng: rand.New(rand.NewPCG(seed, 1)),
	}
	if cfg.Cold {
		b.born = time.Now()
	}
	b.srv = &http.Server{
		Handler: b, ErrorLog: log.New(io.Discard, "", 0),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				b.conns.Add(1)
			}
		},
	}
	b.done.Go(func() { b.srv.Serve(ln) })
	return b, nil
}

// ID returns its name.
func (b *Server) ID() string { return b.cfg.ID }

// Addr returns where it listens.
func (b *Server) Addr() string { return b.ln.Addr().String() }

// SetFaultRates sets how often what goes wrong from now on.
func (b *Server) SetFaultRates(t FaultRates) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trouble = t
}

// Counts returns what it has seen so far.
func (b *Server) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{b.requests.Load(), b.probes.Load(), b.late.Load(), b.conns.Load(), b.fallen}
}

// drain makes it finish what it has and turn away what is new.
func (b *Server) drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// told notes that discovery has told of its drain.
func (b *Server) told(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.toldAt.IsZero() {
		b.toldAt = at
	}
}

// close ends it as a process ends that is killed: its connections are reset, and new ones refused.
func (b *Server) close() {
	select {
	case <-b.end:
		return
	default:
	}
	close(b.end)
	b.srv.Close()
	b.done.Wait()
}

// ServeHTTP is the method of http.Handler.
func (b *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/load", "/healthz":
		b.probes.Add(1)
		b.report(w)
		return
	}
	length, err := io.Copy(io.Discard, http.MaxBytesReader(w, q.Body, 32<<20))
	if err != nil {
		panic(http.ErrAbortHandler) // one that did not come whole is never answered
	}
	b.fleet.came(q.Header.Get("X-Request-Id"), b.cfg.ID)
	n := b.requests.Add(1) - 1
	fault, refuse, work := b.arrive(q)
	if !refuse && b.cfg.Script != nil {
		fault = b.cfg.Script(int(n), q)
	}
	if refuse || fault == Reject {
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if b.cfg.Report != nil {
		w.Header().Set("X-Server-Load", b.cfg.Report(int(n)))
	}
	if fault == ServerError {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !b.work(work) {
		panic(http.ErrAbortHandler)
	}
	b.fleet.execute(b, q, time.Now())
	switch fault {
	case NoReply:
		select { // a peer that leaves is noticed; a box that ends closes the connection
		case <-q.Context().Done():
		case <-b.end:
		}
		panic(http.ErrAbortHandler)
	case ResetConnection:
		panic(http.ErrAbortHandler)
	case MalformedReply:
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n\x00\x01noise")
			c.Close()
		}
		return
	}
	answer := b.cfg.Body
	if answer == nil {
		answer = fmt.Appendf(nil, "%s %s %d", q.Method, q.URL.Path, length)
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.Write(answer)
}

// arrive notes a request, and says what is to become of it.
func (b *Server) arrive(q *http.Request) (fault Fault, refuse bool, work time.Duration) {
	now := time.Now()
	work = b.cfg.ServiceTime
	if us, err := strconv.ParseInt(q.Header.Get("X-Cost"), 10, 64); b.cfg.ServiceTimeFromCost && err == nil && us > 0 {
		work = min(time.Duration(us)*time.Microsecond, time.Minute)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.toldAt.IsZero() && now.Sub(b.toldAt) > drainGrace {
		b.late.Add(1)
	}
	b.overdriven(now, work)
	draw := b.rng.Float64()
	if b.draining || b.fallen || b.held.Load() >= int64(b.cfg.Cores+b.cfg.QueueSize) {
		return NoFault, true, 0
	}
	for _, c := range []struct {
		share float64
		fault Fault
	}{{b.trouble.ServerError, ServerError}, {b.trouble.Malformed, MalformedReply}, {b.trouble.NoReply, NoReply}, {b.trouble.Reset, ResetConnection}} {
		if draw < c.share {
			if c.fault == ServerError {
				b.errs = append(b.errs, now)
			}
			return c.fault, false, work
		}
		draw -= c.share
	}
	return NoFault, false, work
}

// overdriven lets a cold box fall over that is sent more than a multiple of what it can do, over the last second. The
// work of three requests more than that passes, for chance.
func (b *Server) overdriven(now time.Time, work time.Duration) {
	if b.born.IsZero() || now.Sub(b.born) > b.cfg.Ramp {
		b.offered = nil
		return
	}
	b.offered = append(b.offered, offer{now, work})
	var sum, most time.Duration
	from := 0
	for i, o := range b.offered {
		if now.Sub(o.at) > time.Second {
			from = i + 1
			continue
		}
		sum += o.work
		most = max(most, o.work)
	}
	b.offered = b.offered[from:]
	can := b.cfg.ColdOverloadFactor * b.warmth(now) * float64(b.cfg.Cores) * float64(time.Second)
	if float64(sum) > can+3*float64(most) {
		b.fallen = true
	}
}

// warmth is the share of its capacity that it has.
func (b *Server) warmth(now time.Time) float64 {
	if b.born.IsZero() || now.Sub(b.born) >= b.cfg.Ramp {
		return 1
	}
	return b.cfg.ColdCapacity + (1-b.cfg.ColdCapacity)*float64(now.Sub(b.born))/float64(b.cfg.Ramp)
}

// work waits for a core and works, whether or not anybody still waits for it. It reports false if the box has ended.
func (b *Server) work(d time.Duration) bool {
	b.held.Add(1)
	defer b.held.Add(-1)
	if d <= 0 {
		return true
	}
	b.waiting.Add(1)
	select {
	case b.slots <- struct{}{}:
		b.waiting.Add(-1)
	case <-b.end:
		b.waiting.Add(-1)
		return false
	}
	defer func() { <-b.slots }()
	b.mu.Lock()
	d = time.Duration(float64(d) / b.warmth(time.Now()))
	b.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-b.end:
		return false
	}
}

// report answers a probe.
func (b *Server) report(w http.ResponseWriter) {
	now := time.Now()
	b.mu.Lock()
	for len(b.errs) > 0 && now.Sub(b.errs[0]) > time.Second {
		b.errs = b.errs[1:]
	}
	text := fmt.Sprintf("TEXT eps=%d, queue=%d", len(b.errs), b.waiting.Load())
	gone := b.draining || b.fallen
	b.mu.Unlock()
	if gone {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	io.WriteString(w, text)
}

// keyOf names what a request does: its class with its Idempotency-Key, or with its X-Request-ID where it has none.
func keyOf(q *http.Request) (class, key string) {
	class, _, _ = strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
	if key = q.Header.Get("Idempotency-Key"); key == "" {
		key = q.Header.Get("X-Request-Id")
	}
	return class, key
}

// SendRequest sends a box one request as somebody does who was never told of its drain, for tests of what counts late sends.
func SendRequest(b *Server) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	if resp, err := client.Get("http://" + b.Addr() + "/poke"); err == nil {
		resp.Body.Close()
	}
}

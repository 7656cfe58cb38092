// Package standin provides stand-ins for the surroundings of a balancer, for tests: HTTP servers
// with a number of cores, a queue, a cold start, drains, load reports and injected faults (Server),
// a fleet of them that deduplicates requests by idempotency key (Fleet), a discovery service that
// lists them, lags and can go down (Discovery), a name server (DNS), and an engine transport
// without a network (Transport). All of them listen on loopback addresses only and draw random
// numbers from a seed. They count what the four rules of the balancer restrict: repeated
// executions, requests to draining servers and overloads of cold servers.
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

// Fault is what goes wrong with one request at a server.
type Fault int

// The faults.
const (
	NoFault         Fault = iota
	ServerError           // answered with 500, not executed
	Reject                // answered with 503 and X-Not-Processed, not executed
	MalformedReply        // executed, and answered with a malformed response
	NoReply               // executed, and never answered
	ResetConnection       // executed, and the connection closed instead of a response
)

// FaultRates holds the probability of each random fault, as a fraction of the requests.
type FaultRates struct{ ServerError, Malformed, NoReply, Reset float64 }

// ServerConfig configures a Server. Zero values select the defaults, which the comments name.
type ServerConfig struct {
	ID   string
	Zone string
	Cell int

	Cores               int           // requests processed at once; 2
	QueueSize           int           // requests that may wait for a core; 64
	ServiceTime         time.Duration // of a request without an X-Cost, at full capacity; 0: none
	ServiceTimeFromCost bool          // take the service time from X-Cost

	Cold               bool          // the server has just started
	ColdCapacity       float64       // fraction of the full capacity at the start; 0.31
	Ramp               time.Duration // until the full capacity is reached; 8.6 s
	ColdOverloadFactor float64       // work per second, over capacity, that overloads it; 2.5

	// Script, if set, returns the fault of the nth request (from 0), in place of the random faults.
	Script func(n int, q *http.Request) Fault
	// Report, if set, returns the load report in the response to the nth request (from 0).
	Report func(n int) string
	// Body is the body of all responses; nil: the method, path and body length of the request.
	Body []byte
}

// maxRemembered bounds the numbers of idempotency keys and of request IDs that a fleet remembers.
const maxRemembered = 100_000

// Server is a stand-in HTTP server.
type Server struct {
	cfg    ServerConfig
	fleet  *Fleet
	ln     net.Listener
	srv    *http.Server
	wg     sync.WaitGroup
	closed chan struct{} // closed by close
	slots  chan struct{}

	requests   atomic.Int64 // received, including rejected ones
	probes     atomic.Int64
	queued     atomic.Int64
	inProgress atomic.Int64 // queued or processed
	late       atomic.Int64 // requests received later than drainGrace after its drain was listed
	conns      atomic.Int64 // accepted

	mu            sync.Mutex
	rng           *rand.Rand
	rates         FaultRates
	startedAt     time.Time
	draining      bool
	drainListedAt time.Time     // when discovery published its drain
	recentWork    []arrivedWork // received in the last second
	overloaded    bool
	recentErrors  []time.Time // in the last second
}

// arrivedWork is the service time of a received request.
type arrivedWork struct {
	at   time.Time
	work time.Duration
}

// Counts holds the counters of a server.
type Counts struct {
	Requests, Probes, Late, Conns int64
	Overloaded                    bool
}

// drainGrace is how long a sidecar may still send to a server after discovery has published its
// drain: 2 s, plus 50 ms for delays of the sockets.
const drainGrace = 2*time.Second + 50*time.Millisecond

func startServer(cfg ServerConfig, f *Fleet, seed uint64) (*Server, error) {
	if cfg.ID == "" {
		return nil, errors.New("standin: the server has no ID")
	}
	cfg.Cores, cfg.QueueSize = cmp.Or(cfg.Cores, 2), cmp.Or(cfg.QueueSize, 64)
	cfg.ColdCapacity, cfg.Ramp, cfg.ColdOverloadFactor = cmp.Or(cfg.ColdCapacity, 0.31), cmp.Or(cfg.Ramp, 8600*time.Millisecond), cmp.Or(cfg.ColdOverloadFactor, 2.5)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: server %s: %w", cfg.ID, err)
	}
	s := &Server{
		cfg: cfg, fleet: f, ln: ln, closed: make(chan struct{}), slots: make(chan struct{}, cfg.Cores),
		rng: rand.New(rand.NewPCG(seed, 1)),
	}
	if cfg.Cold {
		s.startedAt = time.Now()
	}
	s.srv = &http.Server{
		Handler: s, ErrorLog: log.New(io.Discard, "", 0),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				s.conns.Add(1)
			}
		},
	}
	s.wg.Go(func() { s.srv.Serve(ln) })
	return s, nil
}

// ID returns the server's ID.
func (s *Server) ID() string { return s.cfg.ID }

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// SetFaultRates replaces the rates of random faults.
func (s *Server) SetFaultRates(rates FaultRates) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rates = rates
}

// Counts returns the present values of the counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{s.requests.Load(), s.probes.Load(), s.late.Load(), s.conns.Load(), s.overloaded}
}

// drain makes the server finish its requests and reject new ones.
func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// drainListed records when discovery first published that the server drains.
func (s *Server) drainListed(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainListedAt.IsZero() {
		s.drainListedAt = at
	}
}

// close ends the server as if its process were killed: its connections are closed and new ones
// refused.
func (s *Server) close() {
	select {
	case <-s.closed:
		return
	default:
	}
	close(s.closed)
	s.srv.Close()
	s.wg.Wait()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/load", "/healthz":
		s.probes.Add(1)
		s.writeReport(w)
		return
	}
	length, err := io.Copy(io.Discard, http.MaxBytesReader(w, q.Body, 32<<20))
	if err != nil {
		panic(http.ErrAbortHandler) // an incomplete request gets no response
	}
	s.fleet.recordArrival(q.Header.Get("X-Request-Id"), s.cfg.ID)
	n := s.requests.Add(1) - 1
	fault, reject, work := s.admit(q)
	if !reject && s.cfg.Script != nil {
		fault = s.cfg.Script(int(n), q)
	}
	if reject || fault == Reject {
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.cfg.Report != nil {
		w.Header().Set("X-Server-Load", s.cfg.Report(int(n)))
	}
	if fault == ServerError {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !s.execute(work) {
		panic(http.ErrAbortHandler)
	}
	s.fleet.recordExecution(s, q, time.Now())
	switch fault {
	case NoReply:
		select { // until the peer disconnects or the server is closed
		case <-q.Context().Done():
		case <-s.closed:
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
	body := s.cfg.Body
	if body == nil {
		body = fmt.Appendf(nil, "%s %s %d", q.Method, q.URL.Path, length)
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

// admit records a request and returns its random fault, whether it is rejected, and its service
// time.
func (s *Server) admit(q *http.Request) (fault Fault, reject bool, work time.Duration) {
	now := time.Now()
	work = s.cfg.ServiceTime
	if us, err := strconv.ParseInt(q.Header.Get("X-Cost"), 10, 64); s.cfg.ServiceTimeFromCost && err == nil && us > 0 {
		work = min(time.Duration(us)*time.Microsecond, time.Minute)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainListedAt.IsZero() && now.Sub(s.drainListedAt) > drainGrace {
		s.late.Add(1)
	}
	s.checkOverload(now, work)
	draw := s.rng.Float64()
	if s.draining || s.overloaded || s.inProgress.Load() >= int64(s.cfg.Cores+s.cfg.QueueSize) {
		return NoFault, true, 0
	}
	for _, c := range []struct {
		rate  float64
		fault Fault
	}{{s.rates.ServerError, ServerError}, {s.rates.Malformed, MalformedReply}, {s.rates.NoReply, NoReply}, {s.rates.Reset, ResetConnection}} {
		if draw < c.rate {
			if c.fault == ServerError {
				s.recentErrors = append(s.recentErrors, now)
			}
			return c.fault, false, work
		}
		draw -= c.rate
	}
	return NoFault, false, work
}

// checkOverload marks a cold server as overloaded if the work that it received in the last second
// exceeds its capacity by the factor ColdOverloadFactor. The work of three more requests, each as
// long as the longest, is tolerated as random variation.
func (s *Server) checkOverload(now time.Time, work time.Duration) {
	if s.startedAt.IsZero() || now.Sub(s.startedAt) > s.cfg.Ramp {
		s.recentWork = nil
		return
	}
	s.recentWork = append(s.recentWork, arrivedWork{now, work})
	var sum, longest time.Duration
	from := 0
	for i, r := range s.recentWork {
		if now.Sub(r.at) > time.Second {
			from = i + 1
			continue
		}
		sum += r.work
		longest = max(longest, r.work)
	}
	s.recentWork = s.recentWork[from:]
	limit := s.cfg.ColdOverloadFactor * s.capacity(now) * float64(s.cfg.Cores) * float64(time.Second)
	if float64(sum) > limit+3*float64(longest) {
		s.overloaded = true
	}
}

// capacity returns the present fraction of the server's full capacity.
func (s *Server) capacity(now time.Time) float64 {
	if s.startedAt.IsZero() || now.Sub(s.startedAt) >= s.cfg.Ramp {
		return 1
	}
	return s.cfg.ColdCapacity + (1-s.cfg.ColdCapacity)*float64(now.Sub(s.startedAt))/float64(s.cfg.Ramp)
}

// execute waits for a core and occupies it for the service time, even if the client has
// disconnected. It reports false if the server was closed.
func (s *Server) execute(d time.Duration) bool {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	if d <= 0 {
		return true
	}
	s.queued.Add(1)
	select {
	case s.slots <- struct{}{}:
		s.queued.Add(-1)
	case <-s.closed:
		s.queued.Add(-1)
		return false
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	d = time.Duration(float64(d) / s.capacity(time.Now()))
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.closed:
		return false
	}
}

// writeReport responds to a probe with a load report.
func (s *Server) writeReport(w http.ResponseWriter) {
	now := time.Now()
	s.mu.Lock()
	for len(s.recentErrors) > 0 && now.Sub(s.recentErrors[0]) > time.Second {
		s.recentErrors = s.recentErrors[1:]
	}
	text := fmt.Sprintf("TEXT eps=%d, queue=%d", len(s.recentErrors), s.queued.Load())
	unavailable := s.draining || s.overloaded
	s.mu.Unlock()
	if unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	io.WriteString(w, text)
}

// requestKey returns the class of a request and its Idempotency-Key, or its X-Request-ID if it has
// none.
func requestKey(q *http.Request) (class, key string) {
	class, _, _ = strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
	if key = q.Header.Get("Idempotency-Key"); key == "" {
		key = q.Header.Get("X-Request-Id")
	}
	return class, key
}

// SendRequest sends a request directly to a server, as a sidecar does that has not learned of its
// drain. Tests use it to check that late requests are counted.
func SendRequest(s *Server) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	if resp, err := client.Get("http://" + s.Addr() + "/poke"); err == nil {
		resp.Body.Close()
	}
}

// Package management serves the HTTP API of the operators of a sidecar on a separate address. They
// query whether the sidecar is ready, exclude and include servers, and drain the sidecar. Every
// call is delegated to a Target.
package management

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"quillfront/exclusion"
	"quillfront/policy"
)

const (
	// MaxConnections limits the open connections; a new one above the limit closes the oldest.
	MaxConnections = 16
	// callTimeout limits both reading a call and answering it. Callers may take 4 s to send one.
	callTimeout = 6 * time.Second
	// maxHeadBytes limits the head of a call, and maxBodyBytes its body, which is read and
	// discarded.
	maxHeadBytes = 8 << 10
	maxBodyBytes = 64 << 10
	// defaultMinWait is how long a request must have waited to be listed, unless the call gives
	// another duration, and maxPendingListed limits how many are listed.
	defaultMinWait   = 500 * time.Millisecond
	maxPendingListed = 200
)

// ErrNotReady reports that the sidecar is not serving at present.
var ErrNotReady = errors.New("not ready")

// Target is the process that the operators control.
type Target interface {
	Ready() error                           // nil, or ErrNotReady
	Exclude(id policy.ServerID) error       // exclusion.ErrUnknown, exclusion.ErrTooMany
	Include(id policy.ServerID) error       // exclusion.ErrUnknown
	Evacuate() error                        // starts draining the sidecar
	Rejoin() error                          // ends the drain
	Metrics() http.Handler                  // serves the metrics; nil if there are none
	Members() http.Handler                  // serves the list of processes; nil if there is none
	PendingRequests(time.Duration) []string // a line for each request that has waited for longer
}

// Server serves the operators' HTTP API.
type Server struct {
	http *http.Server
	log  *slog.Logger
}

// New returns a Server that delegates calls to target.
func New(target Target, log *slog.Logger) *Server {
	mux := http.NewServeMux()
	handle := func(pattern, done string, f func(*http.Request) error) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, q *http.Request) {
			io.Copy(io.Discard, http.MaxBytesReader(w, q.Body, maxBodyBytes))
			err := f(q)
			status, text := http.StatusOK, done
			if err != nil {
				status, text = statusOf(err), err.Error()
			}
			if q.Method != http.MethodGet {
				log.Info("operator", "call", q.URL.Path, "status", status, "err", err)
			}
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			w.WriteHeader(status)
			io.WriteString(w, text+"\n")
		})
	}
	id := func(q *http.Request) policy.ServerID { return policy.ServerID(q.PathValue("id")) }
	handle("GET /api/ready", "ready", func(*http.Request) error { return target.Ready() })
	handle("POST /api/exclude/{id}", "out", func(q *http.Request) error { return target.Exclude(id(q)) })
	handle("POST /api/include/{id}", "back", func(q *http.Request) error { return target.Include(id(q)) })
	handle("POST /api/evacuate", "draining", func(*http.Request) error { return target.Evacuate() })
	handle("POST /api/rejoin", "serving", func(*http.Request) error { return target.Rejoin() })
	mux.HandleFunc("GET /api/waiting", func(w http.ResponseWriter, q *http.Request) {
		minWait := defaultMinWait
		if text := q.FormValue("over"); text != "" {
			var err error
			if minWait, err = time.ParseDuration(text); err != nil || minWait < 0 {
				http.Error(w, fmt.Sprintf("over: %.40q is no time such as 500ms", text), http.StatusBadRequest)
				return
			}
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		lines := target.PendingRequests(minWait)
		for _, line := range lines[:min(len(lines), maxPendingListed)] {
			fmt.Fprintln(w, line)
		}
		if more := len(lines) - maxPendingListed; more > 0 {
			fmt.Fprintf(w, "and %d more\n", more)
		}
	})
	if h := target.Members(); h != nil {
		mux.Handle("GET /api/members", h)
	}
	if h := target.Metrics(); h != nil {
		mux.Handle("GET /api/telemetry", h)
	}
	s := &Server{log: log, http: &http.Server{
		Handler: mux, ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxHeaderBytes: maxHeadBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// statusOf returns the HTTP status for an error of a Target.
func statusOf(err error) int {
	switch {
	case errors.Is(err, exclusion.ErrUnknown):
		return http.StatusNotFound
	case errors.Is(err, exclusion.ErrTooMany):
		return http.StatusInsufficientStorage
	case errors.Is(err, ErrNotReady):
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

// Serve serves calls on ln until ctx ends, and then closes ln and all connections.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	defer context.AfterFunc(ctx, func() { s.http.Close() })()
	if err := s.http.Serve(&limitedListener{Listener: ln}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// limitedListener is a listener that keeps at most MaxConnections connections open. It guards
// against callers that connect and never complete a call: a new connection closes the oldest, since
// a call that arrives completes within milliseconds. A caller that opens connections faster than
// calls complete could cut those off; this is accepted, as the address is for operators only.
type limitedListener struct {
	net.Listener
	mu   sync.Mutex
	open []*limitedConn // oldest first
}

// limitedConn is a connection that leaves its limitedListener when it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Accept implements net.Listener.
func (c *limitedListener) Accept() (net.Conn, error) {
	nc, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m := &limitedConn{Conn: nc, listener: c}
	c.mu.Lock()
	var oldest *limitedConn
	if len(c.open) >= MaxConnections {
		oldest = c.open[0]
	}
	c.open = append(c.open, m)
	c.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return m, nil
}

// Close implements net.Conn.
func (m *limitedConn) Close() error {
	m.once.Do(func() {
		m.listener.mu.Lock()
		defer m.listener.mu.Unlock()
		for i, o := range m.listener.open {
			if o == m {
				m.listener.open = append(m.listener.open[:i], m.listener.open[i+1:]...)
				break
			}
		}
	})
	return m.Conn.Close()
}

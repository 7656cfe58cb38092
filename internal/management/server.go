// Package management is the operators' side of a sidecar: an address of its own, at which its staff ask whether it is
// ready, take servers out and put them back, and drain it. It decides nothing: each call is handed to a Target.
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
	// MaxConnections bounds the connections that are open at once; a new one beyond it has the oldest closed.
	MaxConnections = 16
	// callTime is how long one call may take in all. Callers may take 4 s to write one.
	callTime = 6 * time.Second
	// mostHead bounds the head of a call, in bytes, and mostBody its body, which is read and dropped.
	mostHead = 8 << 10
	mostBody = 64 << 10
	// defaultOver is how long a request has waited at least that is told of unless the call says otherwise, and mostWaiting how many are.
	defaultOver = 500 * time.Millisecond
	mostWaiting = 200
)

// ErrNotReady tells that the sidecar does not serve at present.
var ErrNotReady = errors.New("not ready")

// Target is what can be operated on.
type Target interface {
	Ready() error                           // ErrNotReady, or nil
	Exclude(id policy.ServerID) error       // exclusion.ErrUnknown, exclusion.ErrTooMany
	Include(id policy.ServerID) error       // exclusion.ErrUnknown
	Evacuate() error                        // begins the drain
	Rejoin() error                          // ends it
	Metrics() http.Handler                  // nil: there are none
	Members() http.Handler                  // of the other processes; nil: there are none
	PendingRequests(time.Duration) []string // requests that have waited for longer, and for what
}

// Server serves the operators.
type Server struct {
	http *http.Server
	log  *slog.Logger
}

// New returns a server of calls on o.
func New(o Target, log *slog.Logger) *Server {
	mux := http.NewServeMux()
	call := func(pattern, done string, f func(*http.Request) error) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, q *http.Request) {
			io.Copy(io.Discard, http.MaxBytesReader(w, q.Body, mostBody))
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
	call("GET /api/ready", "ready", func(*http.Request) error { return o.Ready() })
	call("POST /api/exclude/{id}", "out", func(q *http.Request) error { return o.Exclude(id(q)) })
	call("POST /api/include/{id}", "back", func(q *http.Request) error { return o.Include(id(q)) })
	call("POST /api/evacuate", "draining", func(*http.Request) error { return o.Evacuate() })
	call("POST /api/rejoin", "serving", func(*http.Request) error { return o.Rejoin() })
	mux.HandleFunc("GET /api/waiting", func(w http.ResponseWriter, q *http.Request) {
		over := defaultOver
		if text := q.FormValue("over"); text != "" {
			var err error
			if over, err = time.ParseDuration(text); err != nil || over < 0 {
				http.Error(w, fmt.Sprintf("over: %.40q is no time such as 500ms", text), http.StatusBadRequest)
				return
			}
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		all := o.PendingRequests(over)
		for _, line := range all[:min(len(all), mostWaiting)] {
			fmt.Fprintln(w, line)
		}
		if more := len(all) - mostWaiting; more > 0 {
			fmt.Fprintf(w, "and %d more\n", more)
		}
	})
	if h := o.Members(); h != nil {
		mux.Handle("GET /api/members", h)
	}
	if h := o.Metrics(); h != nil {
		mux.Handle("GET /api/telemetry", h)
	}
	s := &Server{log: log, http: &http.Server{
		Handler: mux, ReadTimeout: callTime, WriteTimeout: callTime, MaxHeaderBytes: mostHead,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// statusOf is the status of a no.
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

// Serve serves calls that come to ln until ctx ends, and then closes it.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	defer context.AfterFunc(ctx, func() { s.http.Close() })()
	if err := s.http.Serve(&crowd{Listener: ln}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// crowd is a listener that keeps at most MaxConnections connections open. It guards against callers that connect and finish
// no call: a new one has the oldest closed, as a call that is heard ends within milliseconds. Someone who opens connections
// faster than calls end could cut those off; the address is for operators only.
type crowd struct {
	net.Listener
	mu   sync.Mutex
	open []*member // oldest first
}

type member struct {
	net.Conn
	in   *crowd
	once sync.Once
}

// Accept is the method of net.Listener.
func (c *crowd) Accept() (net.Conn, error) {
	nc, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m := &member{Conn: nc, in: c}
	c.mu.Lock()
	var oldest *member
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

// Close is the method of net.Conn.
func (m *member) Close() error {
	m.once.Do(func() {
		m.in.mu.Lock()
		defer m.in.mu.Unlock()
		for i, o := range m.in.open {
			if o == m {
				m.in.open = append(m.in.open[:i], m.in.open[i+1:]...)
				break
			}
		}
	})
	return m.Conn.Close()
}

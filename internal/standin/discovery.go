package standin

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"quillfront/internal/discovery"
	"quillfront/internal/engine"
	"quillfront/policy"
)

// heartbeatInterval is how often a watch sends an empty line while the list does not change.
const heartbeatInterval = 2 * time.Second

// maxHistory is how many changes are kept for watches that resume. A watch that asks for older
// changes gets the complete list.
const maxHistory = 1000

// Discovery is a stand-in for the platform's discovery service. It publishes each change after a
// lag. While it is down it responds with 503, and its watches end.
type Discovery struct {
	srv *http.Server
	ln  net.Listener
	wg  sync.WaitGroup

	mu       sync.Mutex
	lag      time.Duration
	pending  int // changes that are not published yet
	seq      int64
	list     map[policy.ServerID]engine.Server
	history  []engine.Server // history[i] is the change to version seq-len(history)+1+i
	changed  chan struct{}   // closed and replaced at each change
	down     bool
	closed   bool
	requests int
}

func newDiscovery(lag time.Duration) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: discovery: %w", err)
	}
	d := &Discovery{ln: ln, lag: lag, seq: 1, list: map[policy.ServerID]engine.Server{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.serve)
	d.srv = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	d.wg.Go(func() { d.srv.Serve(ln) })
	return d, nil
}

// Addr returns the address on which the service listens.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// SetLag sets the delay with which later changes are published.
func (d *Discovery) SetLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
}

// SetDown takes the service down or brings it back.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.notifyWatches()
}

// Update changes, adds or, if its state is policy.Gone, removes an entry. published, if not nil, is
// called when the change is visible to all.
func (d *Discovery) Update(s engine.Server, published func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lag <= 0 {
		d.publish(s, published)
		return
	}
	d.pending++
	time.AfterFunc(d.lag, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.pending--
		if !d.closed {
			d.publish(s, published)
		}
	})
}

func (d *Discovery) publish(s engine.Server, published func()) {
	d.seq++
	if s.State == policy.Gone {
		delete(d.list, s.ID)
	} else {
		d.list[s.ID] = s
	}
	if d.history = append(d.history, s); len(d.history) > maxHistory {
		d.history = slices.Delete(d.history, 0, len(d.history)-maxHistory)
	}
	d.notifyWatches()
	if published != nil {
		published()
	}
}

func (d *Discovery) notifyWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// List returns the list as it is published now.
func (d *Discovery) List() engine.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullList()
}

func (d *Discovery) fullList() engine.List {
	l := engine.List{Seq: d.seq, Full: true}
	for _, s := range d.list {
		l.Servers = append(l.Servers, s)
	}
	slices.SortFunc(l.Servers, func(a, b engine.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return l
}

// since returns the changes after a version, or the complete list if they are not in the history.
func (d *Discovery) since(seq int64) engine.List {
	missed := d.seq - seq
	if seq < 0 || missed < 0 || missed > int64(len(d.history)) {
		return d.fullList()
	}
	return engine.List{Seq: d.seq, Servers: slices.Clone(d.history[len(d.history)-int(missed):])}
}

// RequestCount returns the number of requests, each watch counted once.
func (d *Discovery) RequestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests
}

func (d *Discovery) serve(w http.ResponseWriter, q *http.Request) {
	seq := int64(engine.UnknownSeq)
	if text := q.URL.Query().Get("since"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			http.Error(w, "since is no number", http.StatusBadRequest)
			return
		}
		seq = n
	}
	follow := q.URL.Query().Get("follow") == "1"
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for first := true; ; first = false {
		d.mu.Lock()
		if first {
			d.requests++
		}
		down, news, l := d.down || d.closed, d.changed, d.since(seq)
		d.mu.Unlock()
		if down {
			if first {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		if first || l.Seq != seq {
			text, err := discovery.Format(l)
			if err != nil {
				panic(err) // a list that cannot be formatted is a bug in this package
			}
			if _, err := w.Write(append(text, '\n')); err != nil {
				return
			}
			seq = l.Seq
		}
		if !follow {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-news:
		case <-tick.C:
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
		}
	}
}

// Close ends the service. Changes that are not published yet are discarded.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.closed = true
	d.notifyWatches()
	d.mu.Unlock()
	d.srv.Close()
	d.wg.Wait()
}

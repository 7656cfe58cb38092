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

// beat is how often a watch says an empty line while nothing changes.
const beat = 2 * time.Second

// mostHistory bounds the changes that a watch may ask for; one that asks for older ones gets the whole list.
const mostHistory = 1000

// Discovery stands in for the platform's list of servers. What it is told it tells after a lag; while it is down it
// answers 503 and its watches end.
type Discovery struct {
	srv  *http.Server
	ln   net.Listener
	done sync.WaitGroup

	mu      sync.Mutex
	lag     time.Duration
	pending int // changes that are not yet told
	seq     int64
	list    map[policy.ServerID]engine.Server
	history []engine.Server // change i made version seq-len(history)+1+i
	news    chan struct{}   // closed at each change
	down    bool
	closed  bool
	calls   int
}

func newDiscovery(lag time.Duration) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: discovery: %w", err)
	}
	d := &Discovery{ln: ln, lag: lag, seq: 1, list: map[policy.ServerID]engine.Server{}, news: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.serve)
	d.srv = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	d.done.Go(func() { d.srv.Serve(ln) })
	return d, nil
}

// Addr returns where it listens.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// SetLag sets how late what changes from now on is told.
func (d *Discovery) SetLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
}

// SetDown takes it down or brings it back.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.wake()
}

// Update changes an entry. told, if not nil, is called once all can see it.
func (d *Discovery) Update(s engine.Server, told func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lag <= 0 {
		d.publish(s, told)
		return
	}
	d.pending++
	time.AfterFunc(d.lag, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.pending--
		if !d.closed {
			d.publish(s, told)
		}
	})
}

func (d *Discovery) publish(s engine.Server, told func()) {
	d.seq++
	if s.State == policy.Gone {
		delete(d.list, s.ID)
	} else {
		d.list[s.ID] = s
	}
	if d.history = append(d.history, s); len(d.history) > mostHistory {
		d.history = slices.Delete(d.history, 0, len(d.history)-mostHistory)
	}
	d.wake()
	if told != nil {
		told()
	}
}

func (d *Discovery) wake() {
	close(d.news)
	d.news = make(chan struct{})
}

// List returns the list as it is told now.
func (d *Discovery) List() engine.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole()
}

func (d *Discovery) whole() engine.List {
	l := engine.List{Seq: d.seq, Full: true}
	for _, s := range d.list {
		l.Servers = append(l.Servers, s)
	}
	slices.SortFunc(l.Servers, func(a, b engine.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return l
}

// since returns what changed after a version, or the whole list where that is not known any more.
func (d *Discovery) since(seq int64) engine.List {
	missed := d.seq - seq
	if seq < 0 || missed < 0 || missed > int64(len(d.history)) {
		return d.whole()
	}
	return engine.List{Seq: d.seq, Servers: slices.Clone(d.history[len(d.history)-int(missed):])}
}

// RequestCount returns how often it was asked.
func (d *Discovery) RequestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
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
	tick := time.NewTicker(beat)
	defer tick.Stop()
	for first := true; ; first = false {
		d.mu.Lock()
		if first {
			d.calls++
		}
		down, news, l := d.down || d.closed, d.news, d.since(seq)
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
				panic(err) // a list that cannot be written is a mistake of this package
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

// Close ends it. Changes that are not yet told never are.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.closed = true
	d.wake()
	d.mu.Unlock()
	d.srv.Close()
	d.done.Wait()
}

package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"heathstack/policy"
)

// list is a message of discovery: the whole list of upstreams, or the changes since the one before.
type list struct {
	Seq   *int64      `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []listEntry `json:"hosts"`
}

// listEntry is what discovery says of an upstream.
type listEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

var states = map[string]policy.ServerState{
	"active": policy.Ready, "leaving": policy.Draining, "left": policy.Gone,
}

// parseList reads a message of discovery. It rejects the whole of one that is malformed anywhere, so that a
// list is never taken over in part.
func parseList(text []byte) (*list, error) {
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("server list: %w", err)
	}
	if l.Seq == nil {
		return nil, fmt.Errorf("server list: no seq in %.80q", text)
	}
	for _, e := range l.Hosts {
		state, ok := states[e.Health]
		switch {
		case !ok:
			return nil, fmt.Errorf("server list: host %q has health %q", e.Host, e.Health)
		case e.Host == "" || e.Dial == "" && state != policy.Gone:
			return nil, fmt.Errorf("server list: an entry lacks host or dial in %.80q", text)
		}
	}
	return &l, nil
}

const (
	// callTime is how long discovery may take until the first line of a watch: calls wait in turn.
	callTime = 6 * time.Second
	// quietTime is how long a watch may say nothing, not even an empty line, before it counts as broken. One
	// comes every 2 s; a machine that has vanished says nothing for ever.
	quietTime = 3 * time.Second
	// discoveryDial is how long the connection to discovery may take.
	discoveryDial = 2 * time.Second
	// mostHead bounds the head of discovery's answer.
	mostHead = 64 << 10
	// mostLine bounds a line of a watch.
	mostLine = 1 << 20
)

// Watch is a method of policy.Actions. A watch ends in one ListFailed, unless it is called off; when to ask
// again is for the module to say.
func (h *host) Watch(on bool) {
	if h.stopWatch != nil {
		h.stopWatch()
		h.stopWatch = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.stopWatch = cancel
	addr, since := h.disco, h.seq
	go func() {
		err := h.watch(ctx, addr, since)
		h.event(func(now policy.Time) {
			if ctx.Err() != nil { // called off
				return
			}
			cancel()
			h.stopWatch = nil
			h.log.Warn("watch on discovery ended", "err", err)
			h.balancer.Members(now, policy.ListFailed, nil, h)
		})
	}()
}

// watch hands the module what discovery at addr says of changes after version since, or of the whole list where that is
// unknown, until that fails.
func (h *host) watch(ctx context.Context, addr string, since int64) error {
	query := "follow=1"
	if since != unknownSeq {
		query += "&since=" + strconv.FormatInt(since, 10)
	}
	d := net.Dialer{Timeout: discoveryDial}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(callTime))
	q := &http.Request{
		Method: http.MethodGet, Host: addr,
		URL: &url.URL{Path: "/v1/servers", RawQuery: query},
	}
	if err := q.Write(c); err != nil {
		return err
	}
	// Guards against a head or a line without end.
	head := &io.LimitedReader{R: c, N: mostHead}
	resp, err := http.ReadResponse(bufio.NewReader(head), q)
	if err != nil {
		return err
	}
	head.N = math.MaxInt64
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, mostLine)
	for lines.Scan() {
		c.SetDeadline(time.Now().Add(quietTime))
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		l, err := parseList(text)
		if err != nil {
			return err
		}
		kind := policy.ListDelta
		if l.Whole {
			kind = policy.ListFull
		}
		h.event(func(now policy.Time) {
			if ctx.Err() == nil {
				h.members(now, kind, l)
			}
		})
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

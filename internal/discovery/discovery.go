// Package discovery implements the client side of the platform's discovery protocol: it parses list
// messages, and watches a discovery over HTTP/1.1. It stores no list.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"quillfront/internal/engine"
	"quillfront/policy"
)

// message is a message of the discovery protocol: the whole list of upstreams, or the changes since
// the previous message.
type message struct {
	Seq   *int64  `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

// entry describes one upstream in a message.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

var healthStates = map[string]policy.ServerState{
	"active": policy.Ready, "leaving": policy.Draining, "left": policy.Gone,
}

// Parse reads a discovery message. It rejects a message that is truncated, not JSON, or without a
// sequence number, as the changes are unknown then. An invalid entry is reported in EntryErrors,
// and the others are still used, as one of them may be a drain.
func Parse(text []byte) (engine.List, error) {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return engine.List{}, fmt.Errorf("server list: %w in %.80q", err, text)
	}
	return m.list()
}

// list converts m to a list.
func (m *message) list() (engine.List, error) {
	if m.Seq == nil {
		return engine.List{}, errors.New("server list: no seq")
	}
	l := engine.List{Seq: *m.Seq, Full: m.Whole, Servers: make([]engine.Server, 0, len(m.Hosts))}
	for _, e := range m.Hosts {
		id := policy.ServerID(e.Host)
		fault := func(format string, args ...any) {
			l.EntryErrors = append(l.EntryErrors, engine.EntryError{ID: id, Reason: fmt.Sprintf(format, args...)})
		}
		state, ok := healthStates[e.Health]
		if !ok || e.Host == "" {
			fault("invalid entry: host %.80q, health %.80q", e.Host, e.Health)
			continue
		}
		if err := checkDialable(e.Dial); err != nil && state != policy.Gone {
			fault("dial: %v", err)
			e.Dial = ""
		}
		l.Servers = append(l.Servers, engine.Server{
			ID: id, Addr: e.Dial, State: state, Zone: e.Site, Cell: e.Block, Weight: e.Share, StartedMs: e.BornMs,
		})
	}
	return l, nil
}

// checkDialable returns an error if addr can never be dialed.
func checkDialable(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%.80q has no host and port", addr)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return fmt.Errorf("%.80q has no host, or no port from 1 to 65535", addr)
	}
	return nil
}

// Format is the inverse of Parse. Discovery stand-ins use it.
func Format(l engine.List) ([]byte, error) {
	m := message{Seq: &l.Seq, Whole: l.Full, Hosts: make([]entry, len(l.Servers))}
	for i, s := range l.Servers {
		m.Hosts[i] = entry{string(s.ID), s.Addr, s.Zone, s.Cell, "", s.Weight, s.StartedMs}
		for name, state := range healthStates {
			if state == s.State {
				m.Hosts[i].Health = name
			}
		}
	}
	return json.Marshal(m)
}

const (
	// responseTimeout is how long discovery may take to begin its response if it serves calls one
	// after the other. Changes that a watch misses which gets no data from its start count as
	// delivered 6 s later: this leaves 2 s for the next call. If calls queue for longer than
	// responseTimeout, none is served.
	responseTimeout = 4 * time.Second
	// agentResponseTimeout is the timeout for a local agent, which responds at once. Changes that
	// the agent gets when discovery is back count as delivered at that moment, and a call that the
	// agent has left without a response does not get them.
	agentResponseTimeout = time.Second
	// silenceTimeout is how long a watch may send nothing, not even an empty line, before it counts
	// as broken, and how long a message may take from its first byte to its last. An empty line
	// comes every 2 s; a machine that has vanished stays silent without closing the connection.
	silenceTimeout = 3 * time.Second
	// dialTimeout bounds the time to connect to discovery.
	dialTimeout = 2 * time.Second
	// maxHeadBytes bounds the head of discovery's response.
	maxHeadBytes = 64 << 10
	// maxMessageBytes bounds a message of a watch, including the empty lines before it.
	maxMessageBytes = 1 << 20
)

// Client watches the discovery at one address. It implements engine.Source.
type Client struct {
	Addr       string // host:port
	LocalAgent bool   // the sidecar has an agent of its own, which responds at once
}

// Watch implements engine.Source.
func (c Client) Watch(ctx context.Context, since int64, deliver func(engine.List)) error {
	query := "follow=1"
	if since != engine.UnknownSeq {
		query += "&since=" + strconv.FormatInt(since, 10)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	timeout := responseTimeout
	if c.LocalAgent {
		timeout = agentResponseTimeout
	}
	conn.SetDeadline(time.Now().Add(timeout))
	req := &http.Request{
		Method: http.MethodGet, Host: c.Addr,
		URL: &url.URL{Path: "/v1/servers", RawQuery: query},
	}
	if err := req.Write(conn); err != nil {
		return err
	}
	// Limits the head of the response and the length of its lines.
	head := &io.LimitedReader{R: conn, N: maxHeadBytes}
	resp, err := http.ReadResponse(bufio.NewReader(head), req)
	if err != nil {
		return err
	}
	head.N = math.MaxInt64
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery responded with %s", resp.Status)
	}
	body := &pacedReader{conn: conn, r: resp.Body, awaitingFirst: true}
	messages := json.NewDecoder(body) // a message may be indented, so it may span several lines
	for {
		body.startMessage(messages)
		var m message
		if err := messages.Decode(&m); err == io.EOF {
			return err
		} else if err != nil {
			return fmt.Errorf("server list: %w", err)
		}
		l, err := m.list()
		if err != nil {
			return err
		}
		deliver(l)
	}
}

// errMessageTooLong reports a message larger than maxMessageBytes.
var errMessageTooLong = fmt.Errorf("message exceeds %d bytes", maxMessageBytes)

// pacedReader reads the body of a watch. It limits the size of a message, and its duration: however
// its bytes arrive, a message has silenceTimeout from its first byte to its last. Between messages
// each empty line is a sign of life.
type pacedReader struct {
	conn          net.Conn
	r             io.Reader
	awaitingFirst bool // nothing has been received: the call may still be queued
	inMessage     bool // a message has been received in part
	remaining     int  // bytes that the current message may still have
}

// startMessage begins the next message, part of which may have been read along with the previous
// one.
func (p *pacedReader) startMessage(messages *json.Decoder) {
	rest, _ := io.ReadAll(messages.Buffered()) // in memory, cannot fail
	p.inMessage, p.remaining = false, maxMessageBytes
	p.observe(rest)
}

// observe accounts for received bytes and extends the deadline between messages.
func (p *pacedReader) observe(b []byte) {
	p.remaining -= len(b)
	if p.inMessage {
		return
	}
	p.inMessage = len(bytes.TrimSpace(b)) > 0
	if !p.awaitingFirst {
		p.conn.SetDeadline(time.Now().Add(silenceTimeout))
	}
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	if p.remaining <= 0 {
		return 0, errMessageTooLong
	}
	n, err := p.r.Read(b[:min(len(b), p.remaining)])
	if n > 0 {
		p.awaitingFirst = false
		p.observe(b[:n])
	}
	return n, err
}

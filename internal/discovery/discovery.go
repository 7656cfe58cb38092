// Package discovery speaks the platform's protocol for the list of servers: it reads list messages, and holds watches on
// a discovery over HTTP/1.1. It keeps no list.
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

// message is a message of discovery: the whole list of upstreams, or the changes since the one before.
type message struct {
	Seq   *int64  `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

// entry is what discovery says of an upstream.
type entry struct {
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

// Parse reads a message of discovery. It rejects the whole of one that is cut, is no JSON, or lacks its version: what changed
// cannot be told then. An entry that cannot be used is told among the faults, and the others count, as one of them may be a drain.
func Parse(text []byte) (engine.List, error) {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return engine.List{}, fmt.Errorf("server list: %w in %.80q", err, text)
	}
	return m.list()
}

// list is what m says.
func (m *message) list() (engine.List, error) {
	if m.Seq == nil {
		return engine.List{}, errors.New("server list: no seq")
	}
	l := engine.List{Seq: *m.Seq, Full: m.Whole, Servers: make([]engine.Server, 0, len(m.Hosts))}
	for _, e := range m.Hosts {
		id := policy.ServerID(e.Host)
		fault := func(form string, args ...any) {
			l.EntryErrors = append(l.EntryErrors, engine.EntryError{ID: id, Reason: fmt.Sprintf(form, args...)})
		}
		state, ok := states[e.Health]
		if !ok || e.Host == "" {
			fault("host %.80q has health %.80q", e.Host, e.Health)
			continue
		}
		if err := dialable(e.Dial); err != nil && state != policy.Gone {
			fault("dial: %v", err)
			e.Dial = ""
		}
		l.Servers = append(l.Servers, engine.Server{
			ID: id, Addr: e.Dial, State: state, Zone: e.Site, Cell: e.Block, Weight: e.Share, StartedMs: e.BornMs,
		})
	}
	return l, nil
}

// dialable tells why an address can never be dialled.
func dialable(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%.80q: no host and port", addr)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return fmt.Errorf("%.80q: no host, or no port from 1 to 65535", addr)
	}
	return nil
}

// Format is the inverse of Parse, for whoever stands in for a discovery.
func Format(l engine.List) ([]byte, error) {
	m := message{Seq: &l.Seq, Whole: l.Full, Hosts: make([]entry, len(l.Servers))}
	for i, s := range l.Servers {
		m.Hosts[i] = entry{string(s.ID), s.Addr, s.Zone, s.Cell, "", s.Weight, s.StartedMs}
		for name, state := range states {
			if state == s.State {
				m.Hosts[i].Health = name
			}
		}
	}
	return json.Marshal(m)
}

const (
	// callTime is how long discovery may take to begin its answer where calls wait in turn. What a watch that stays silent from
	// its first moment misses counts as told 6 s later: it leaves 2 s for the next call. Where calls wait longer than callTime
	// none would be answered.
	callTime = 4 * time.Second
	// agentTime is the same of an agent of the sidecar's own, which answers at once. What such a one gets when discovery is back
	// counts as told then, and a call that it has left without an answer hears nothing of it.
	agentTime = time.Second
	// quietTime is how long a watch may say nothing, not even an empty line, before it counts as broken, and how long a message may
	// take from its first byte to its last. An empty line comes every 2 s; a machine that has vanished says nothing for ever.
	quietTime = 3 * time.Second
	// dialTime is how long the connection to discovery may take.
	dialTime = 2 * time.Second
	// mostHead bounds the head of discovery's answer.
	mostHead = 64 << 10
	// mostMessage bounds a message of a watch, and the empty lines before it.
	mostMessage = 1 << 20
)

// Client watches the discovery at one address. It implements engine.Source.
type Client struct {
	Addr       string // host:port
	LocalAgent bool   // an agent of the sidecar's own is there, which answers at once
}

// Watch is a method of engine.Source.
func (d Client) Watch(ctx context.Context, since int64, tell func(engine.List)) error {
	query := "follow=1"
	if since != engine.UnknownSeq {
		query += "&since=" + strconv.FormatInt(since, 10)
	}
	dialer := net.Dialer{Timeout: dialTime}
	c, err := dialer.DialContext(ctx, "tcp", d.Addr)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	wait := callTime
	if d.LocalAgent {
		wait = agentTime
	}
	c.SetDeadline(time.Now().Add(wait))
	q := &http.Request{
		Method: http.MethodGet, Host: d.Addr,
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
	body := &paced{c: c, r: resp.Body, first: true}
	messages := json.NewDecoder(body) // a message may be indented, and so stand on many lines
	for {
		body.next(messages)
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
		tell(l)
	}
}

// errTooLong tells that a message goes beyond mostMessage.
var errTooLong = fmt.Errorf("a message of over %d bytes", mostMessage)

// paced reads the body of a watch. It guards against messages without end, and such as stand still: however slowly the bytes of one
// come, it has quietTime from its first to its last. Between messages each empty line says that the watch lives.
type paced struct {
	c     net.Conn
	r     io.Reader
	first bool // nothing has come: the call may still wait in line
	begun bool // a message has come in part
	left  int  // bytes that it may still have
}

// next has the next message begin, a part of which may have been read together with the one before.
func (p *paced) next(messages *json.Decoder) {
	rest, _ := io.ReadAll(messages.Buffered()) // of memory, which cannot fail
	p.begun, p.left = false, mostMessage
	p.note(rest)
}

// note looks at bytes that have come.
func (p *paced) note(b []byte) {
	p.left -= len(b)
	if p.begun {
		return
	}
	p.begun = len(bytes.TrimSpace(b)) > 0
	if !p.first {
		p.c.SetDeadline(time.Now().Add(quietTime))
	}
}

// Read is the method of io.Reader.
func (p *paced) Read(b []byte) (int, error) {
	if p.left <= 0 {
		return 0, errTooLong
	}
	n, err := p.r.Read(b[:min(len(b), p.left)])
	if n > 0 {
		p.first = false
		p.note(b[:n])
	}
	return n, err
}

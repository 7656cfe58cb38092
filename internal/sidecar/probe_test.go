package sidecar

import (
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"heathstack/policy"
)

func TestProbe(t *testing.T) {
	load := &policy.Load{Queue: 2, Inflight: -1, Latency: -1, ErrorRate: 0.5}
	tests := []struct {
		name  string
		serve func(int, net.Conn)
		want  policy.Status
		load  *policy.Load
	}{
		{"report", say("HTTP/1.1 200 OK\nContent-Length: 31\n\nTEXT eps=0.5, queue=2, util=0.1"), policy.OK, load},
		{"no report", say("HTTP/1.1 200 OK\nContent-Length: 0\n\n"), policy.OK, nil},
		{"broken report", say("HTTP/1.1 200 OK\nContent-Length: 9\n\n\x00=,queue="), policy.OK, nil},
		{"turned away", say("HTTP/1.1 503 No\nContent-Length: 0\n\n"), policy.Full, nil},
		{"not there", say("HTTP/1.1 404 No\nContent-Length: 0\n\n"), policy.AppError, nil},
		{"break", func(_ int, c net.Conn) { io.ReadFull(c, make([]byte, 20)); c.Close() }, policy.Reset, nil},
		{"broken HTTP", say("HELLO\n\n"), policy.Reset, nil},
		{"silence", func(int, net.Conn) {}, policy.Timeout, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newScript()
			w := start(t, m, upstream(t, tt.serve), "127.0.0.1:1")
			w.host.event(func(policy.Time) { w.host.Probe("a") })
			p := next(t, "result", m.probed)
			if p.Server != "a" || p.Status != tt.want || !reflect.DeepEqual(p.Load, tt.load) {
				t.Errorf("result %v, load %+v; want %v, %+v", p.Status, p.Load, tt.want, tt.load)
			}
			if w.host.event(func(policy.Time) {}); w.host.probing != 0 {
				t.Errorf("%d probes under way", w.host.probing)
			}
		})
	}
}

// TestProbesAreBounded: one beyond the bound, or of a server that is not listed, counts as never sent.
func TestProbesAreBounded(t *testing.T) {
	asked := make(chan string, 2*mostProbes)
	m := newScript()
	w := start(t, m, upstream(t, answering(func(q *http.Request, c net.Conn) { asked <- q.RequestURI })), "127.0.0.1:1")
	w.host.event(func(policy.Time) {
		for range mostProbes + 5 {
			w.host.Probe("a")
		}
		w.host.Probe("unlisted")
	})
	moot := 0
	for range mostProbes + 6 {
		if p := next(t, "result", m.probed); p.Status == policy.Moot {
			moot++
		}
	}
	if moot != 6 || len(asked) > mostProbes {
		t.Errorf("%d moot and %d sent, want 6 and at most %d", moot, len(asked), mostProbes)
	}
	if path := next(t, "probe", asked); path != "/load" {
		t.Errorf("probe of %s", path)
	}
}

func TestParseLoad(t *testing.T) {
	fields := []string{"queue", "inflight", "latency_ms", "eps", "util"}
	none := policy.Load{Queue: -1, Inflight: -1, Latency: -1, ErrorRate: -1}
	tests := []struct {
		text string
		want *policy.Load
	}{
		{"", nil},
		{"TEXT", nil},
		{"TEXT queue=3", &policy.Load{Queue: 3, Inflight: -1, Latency: -1, ErrorRate: -1}},
		{" TEXT inflight=7, queue=2, util=0.61\n", &policy.Load{Queue: 2, Inflight: 7, Latency: -1, ErrorRate: -1}},
		{"queue=2,latency_ms=1.5,eps=0", &policy.Load{Queue: 2, Inflight: -1, Latency: 1.5, ErrorRate: 0}},
		{"TEXT novel=1", nil},
		{"TEXT util=1", &none},
		{"TEXT queue=NaN, inflight=Inf, eps=-1, latency_ms=1e300", nil},
		{"TEXT queue, =, ,,queue=x", nil},
		{strings.Repeat("queue=1,", 1000), &policy.Load{Queue: 1, Inflight: -1, Latency: -1, ErrorRate: -1}},
	}
	for _, tt := range tests {
		if got := parseLoad(tt.text, fields); !reflect.DeepEqual(got, tt.want) {
			t.Errorf("parseLoad(%.40q) = %+v, want %+v", tt.text, got, tt.want)
		}
	}
}

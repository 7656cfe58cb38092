package daemon

import (
	"io"
	"net"
	"net/http"
	"reflect"
	"testing"

	"quillfront/policy"
)

func TestProbe(t *testing.T) {
	load := &policy.Load{Queue: 2, Inflight: -1, Latency: -1, ErrorRate: 0.5}
	tests := []struct {
		name  string
		serve func(int, net.Conn)
		want  policy.Status
		load  *policy.Load
	}{
		{"report", respondText("HTTP/1.1 200 OK\nContent-Length: 31\n\nTEXT eps=0.5, queue=2, util=0.1"), policy.OK, load},
		{"no report", respondText("HTTP/1.1 200 OK\nContent-Length: 0\n\n"), policy.OK, nil},
		{"invalid report", respondText("HTTP/1.1 200 OK\nContent-Length: 9\n\n\x00=,queue="), policy.OK, nil},
		{"turned away", respondText("HTTP/1.1 503 No\nContent-Length: 0\n\n"), policy.Overloaded, nil},
		{"not found", respondText("HTTP/1.1 404 No\nContent-Length: 0\n\n"), policy.AppError, nil},
		{"reset", func(_ int, c net.Conn) { io.ReadFull(c, make([]byte, 20)); c.Close() }, policy.Reset, nil},
		{"not HTTP", respondText("HELLO\n\n"), policy.Reset, nil},
		{"silence", func(int, net.Conn) {}, policy.Timeout, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newScriptedModule()
			sc := startSidecar(t, m, startServer(t, tt.serve), "127.0.0.1:1")
			sc.runActions(func(act policy.Actions) { act.Probe("a") })
			p := receive(t, "result", m.probeResults)
			if p.Server != "a" || p.Status != tt.want || !reflect.DeepEqual(p.Load, tt.load) {
				t.Errorf("result %v, load %+v; want %v, %+v", p.Status, p.Load, tt.want, tt.load)
			}
			if sc.engine.Snapshot().Probing != 0 {
				t.Errorf("%d probes are in progress", sc.engine.Snapshot().Probing)
			}
		})
	}
}

// TestProbesAreLimited checks that a probe beyond the limit, or of a server that is not listed,
// counts as never sent.
func TestProbesAreLimited(t *testing.T) {
	probes := make(chan string, 2*64)
	m := newScriptedModule()
	sc := startSidecar(t, m, startServer(t, respondWith(func(q *http.Request, c net.Conn) { probes <- q.RequestURI })), "127.0.0.1:1")
	sc.runActions(func(act policy.Actions) {
		for range 64 + 5 {
			act.Probe("a")
		}
		act.Probe("unlisted")
	})
	notSent := 0
	for range 64 + 6 {
		if p := receive(t, "result", m.probeResults); p.Status == policy.NotSent {
			notSent++
		}
	}
	if notSent != 6 || len(probes) > 64 {
		t.Errorf("%d probes not sent and %d sent, want 6 and at most %d", notSent, len(probes), 64)
	}
	if path := receive(t, "probe", probes); path != "/load" {
		t.Errorf("probe of %s, want /load", path)
	}
}

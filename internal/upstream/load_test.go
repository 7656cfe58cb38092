package upstream

import (
	"bytes"
	"cmp"
	"fmt"
	"log/slog"
	"reflect"
	"strings"
	"testing"

	"quillfront/internal/engine"
	"quillfront/internal/settings"
	"quillfront/internal/sockets"
	"quillfront/policy"
)

func TestParseLoad(t *testing.T) {
	fields := []string{"queue", "inflight", "latency_ms", "eps", "util"}
	none := policy.Load{Queue: -1, Inflight: -1, Latency: -1, ErrorRate: -1}
	tests := []struct {
		text  string
		want  *policy.Load
		fault string
	}{
		{"", nil, ""},
		{"TEXT", nil, ""},
		{"TEXT queue=3", &policy.Load{Queue: 3, Inflight: -1, Latency: -1, ErrorRate: -1}, ""},
		{" TEXT inflight=7, queue=2, util=0.61\n", &policy.Load{Queue: 2, Inflight: 7, Latency: -1, ErrorRate: -1}, ""},
		{"queue=2,latency_ms=1.5,eps=0", &policy.Load{Queue: 2, Inflight: -1, Latency: 1.5, ErrorRate: 0}, ""},
		{"TEXT novel=1", nil, ""},
		{"TEXT util=1", &none, ""},
		{"TEXT queue=NaN, inflight=Inf, eps=-1, latency_ms=1e300", nil, `queue is "NaN"`},
		{"TEXT queue=2, eps=1e300", &policy.Load{Queue: 2, Inflight: -1, Latency: -1, ErrorRate: -1}, `eps is "1e300"`},
		{"TEXT queue, =, ,,queue=x", nil, `queue is "x"`},
		{strings.Repeat("queue=1,", 1000), &policy.Load{Queue: 1, Inflight: -1, Latency: -1, ErrorRate: -1}, ""},
	}
	for _, tt := range tests {
		got, err := parseLoad(tt.text, fields)
		if !reflect.DeepEqual(got, tt.want) {
			t.Errorf("parseLoad(%.40q) = %+v, want %+v", tt.text, got, tt.want)
		}
		if fault := fmt.Sprint(err); fault != cmp.Or(tt.fault, "<nil>") {
			t.Errorf("parseLoad(%.40q): error %s, want %s", tt.text, fault, tt.fault)
		}
	}
}

// TestInvalidReportsAreLoggedOnce checks that a server whose reports are all invalid is logged in
// one line, however many reports there are.
func TestInvalidReportsAreLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	tr := New(settings.Settings{LoadFields: []string{"queue"}}, sockets.New(100), slog.New(slog.NewTextHandler(&log, nil)))
	defer tr.Close()
	for range 1000 {
		tr.parseReport(engine.Endpoint{ID: "box-7"}, "TEXT queue=-3", []string{"queue"})
	}
	if got := log.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "server=box-7") || !strings.Contains(got, "queue is") {
		t.Errorf("log: %q", got)
	}
}

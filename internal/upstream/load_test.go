package upstream

import (
	"reflect"
	"strings"
	"testing"

	"quillfront/policy"
)

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

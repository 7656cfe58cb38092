package engine

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"quillfront/policy"
)

// noopModule is a module that does nothing, so that the benchmark measures the engine alone.
type noopModule struct{ Module }

func (noopModule) UpdateServers(policy.Time, policy.ListKind, []policy.Server, policy.Actions) {}

// unusedTransport is a transport of which only CloseIdle is called.
type unusedTransport struct{ hungUp int }

func (*unusedTransport) Do(*Attempt, Endpoint) AttemptResult {
	return AttemptResult{Status: policy.NotSent}
}
func (*unusedTransport) Probe(context.Context, Endpoint) (policy.Status, *policy.Load) {
	return policy.NotSent, nil
}
func (n *unusedTransport) CloseIdle(Endpoint) { n.hungUp++ }

// BenchmarkListChange measures how the engine applies one changed list entry under its lock,
// without the work of the module.
func BenchmarkListChange(b *testing.B) {
	for _, n := range []int{128, 1024, 8192, 65_536} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			l := List{Full: true}
			for i := range n {
				l.Servers = append(l.Servers, Server{ID: policy.ServerID(fmt.Sprintf("server-%d", i)), Addr: "127.0.0.1:1", Weight: 1})
			}
			to := &unusedTransport{}
			e := New(Options{Module: noopModule{}, Transport: to, CachedList: &l, Log: slog.New(slog.DiscardHandler)})
			defer e.Close()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s := l.Servers[i%n]
				s.Addr = fmt.Sprintf("127.0.0.1:%d", 2+i%1000)
				e.event(func(now policy.Time) { e.updateList(now, policy.ListDelta, List{Servers: []Server{s}}) })
			}
			if to.hungUp == 0 {
				b.Error("no idle connections were closed")
			}
		})
	}
}

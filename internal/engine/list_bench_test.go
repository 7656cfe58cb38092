package engine

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"quillfront/policy"
)

// idle is a module that does nothing, so that what is measured is the engine's own.
type idle struct{ Module }

func (idle) UpdateServers(policy.Time, policy.ListKind, []policy.Server, policy.Actions) {}

// nowhere is a transport that is never used but for HangUp.
type nowhere struct{ hungUp int }

func (*nowhere) Do(*Attempt, Endpoint) AttemptResult { return AttemptResult{Status: policy.NotSent} }
func (*nowhere) Probe(context.Context, Endpoint) (policy.Status, *policy.Load) {
	return policy.NotSent, nil
}
func (n *nowhere) HangUp(Endpoint) { n.hungUp++ }

// BenchmarkListChange is one changed entry of the list as the engine takes it, under its lock, without what the module does of it.
func BenchmarkListChange(b *testing.B) {
	for _, n := range []int{128, 1024, 8192, 65_536} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			l := List{Full: true}
			for i := range n {
				l.Servers = append(l.Servers, Server{ID: policy.ServerID(fmt.Sprintf("server-%d", i)), Addr: "127.0.0.1:1", Weight: 1})
			}
			to := &nowhere{}
			e := New(Options{Module: idle{}, Transport: to, CachedList: &l, Log: slog.New(slog.DiscardHandler)})
			defer e.Close()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s := l.Servers[i%n]
				s.Addr = fmt.Sprintf("127.0.0.1:%d", 2+i%1000)
				e.event(func(now policy.Time) { e.members(now, policy.ListDelta, List{Servers: []Server{s}}) })
			}
			if to.hungUp == 0 {
				b.Error("nobody was hung up on")
			}
		})
	}
}

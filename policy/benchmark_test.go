package policy

import (
	"fmt"
	"testing"
	"time"
)

// noopActions is an Actions that only remembers the server of the latest send.
type noopActions struct{ server ServerID }

func (n *noopActions) Send(_ RequestID, s ServerID, _ time.Duration) { n.server = s }
func (*noopActions) Refuse(RequestID, time.Duration)                 {}
func (*noopActions) Fail(RequestID)                                  {}
func (*noopActions) Cancel(RequestID, int)                           {}
func (*noopActions) CloseIdle(ServerID)                              {}
func (*noopActions) Log(string)                                      {}
func (*noopActions) Probe(ServerID)                                  {}
func (*noopActions) Watch(bool)                                      {}
func (*noopActions) SetTimer(time.Duration, string)                  {}

// BenchmarkEvent measures, for fleets of several sizes, a request with its answer and an update
// of one entry of the server list.
func BenchmarkEvent(b *testing.B) {
	for _, n := range []int{16, 128, 1024, 8192, 65_536} {
		servers := make([]Server, n)
		for i := range servers {
			servers[i] = Server{ID: ServerID(fmt.Sprintf("server-%d", i)), State: Ready, Weight: 1}
		}
		start := func(b *testing.B) (*Balancer, *noopActions) {
			m, err := New(Config{
				GroupSize: 1, MayProbe: true, MayCancel: true, MaxAttempts: 3, DialTimeout: time.Second, ConnIdleTimeout: 15 * time.Second, Tick: time.Millisecond,
				RefreshInterval: 10 * time.Second, Ramp: 9 * time.Second, ProbeTariff: 0.05, ColdCapacity: 0.3,
				Classes: []Class{{Name: "c", Aim: 300 * time.Millisecond, Deadline: time.Second, Worth: 1}},
			}, 1)
			if err != nil {
				b.Fatal(err)
			}
			act := &noopActions{}
			m.UpdateServers(time.Hour, ListFull, servers, act)
			return m, act
		}
		b.Run(fmt.Sprintf("request/servers=%d", n), func(b *testing.B) {
			m, act := start(b)
			now, id := time.Hour, RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				now += 5 * time.Millisecond
				id++
				act.server = ""
				m.Request(now, Request{ID: id, Class: "c", Expires: now + time.Second}, act)
				if act.server != "" {
					m.Outcome(now+time.Millisecond, Outcome{ID: id, Server: act.server, Status: OK, Delay: time.Millisecond, Final: true}, act)
				} else {
					m.ClientDisconnected(now+time.Millisecond, id, act)
				}
			}
		})
		b.Run(fmt.Sprintf("entry/servers=%d", n), func(b *testing.B) {
			m, act := start(b)
			now := time.Hour
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				s := servers[i/2%n]
				if i%2 == 0 {
					s.State = Draining
				}
				m.UpdateServers(now, ListDelta, []Server{s}, act)
			}
		})
	}
}

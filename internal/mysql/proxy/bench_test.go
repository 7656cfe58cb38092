package proxy

import (
	"database/sql"
	"io"
	"net"
	"runtime"
	"slices"
	"testing"
	"time"

	"quillfront/internal/connlimit"
	"quillfront/internal/mysql/standin"
)

// BenchmarkStatement measures the median time of a statement through the frontend, directly at the
// server, and through a relay that only copies bytes. The three take turns within one run.
func BenchmarkStatement(b *testing.B) {
	for _, kind := range []struct{ name, sql string }{{"text", "SELECT 1"}, {"prepared", "SELECT ?"}, {"insert", "INSERT INTO orders (id, item, qty) VALUES ('x', 'y', 1)"},
		{"work of 1 ms", "SELECT 2"}} {
		b.Run(kind.name, func(b *testing.B) {
			w := newTestEnv(b, options{servers: 1})
			w.setFault(func(_, sql string) standin.Fault {
				if sql == "SELECT 2" {
					return standin.Fault{Delay: time.Millisecond}
				}
				return standin.Fault{}
			})
			bare := startRelay(b, w.servers[0].Addr())
			through, direct, hop := w.newClient(""), connect(b, w.servers[0].Addr(), "app", "secret", ""), connect(b, bare, "app", "secret", "")
			var args []any
			if kind.name == "prepared" {
				args = []any{"text"}
			}
			one := func(st *sql.Stmt) time.Duration {
				from := time.Now()
				rows, err := st.Query(args...)
				if err != nil {
					b.Fatal(err)
				}
				for rows.Next() {
				}
				rows.Close()
				return time.Since(from)
			}
			text := func(db *sql.DB) time.Duration {
				from := time.Now()
				if _, err := db.Exec(kind.sql); err != nil {
					b.Fatal(err)
				}
				return time.Since(from)
			}
			run := [3]func() time.Duration{func() time.Duration { return text(direct) }, func() time.Duration { return text(through) }, func() time.Duration { return text(hop) }}
			if kind.name == "prepared" {
				for i, db := range []*sql.DB{direct, through, hop} {
					st, err := db.Prepare(kind.sql)
					if err != nil {
						b.Fatal(err)
					}
					defer st.Close()
					run[i] = func() time.Duration { return one(st) }
				}
			}
			var took [3][]time.Duration
			for range 200 {
				for i := range run {
					run[i]()
				}
			}
			b.ResetTimer()
			for range b.N {
				for i := range run {
					took[i] = append(took[i], run[i]())
				}
			}
			b.StopTimer()
			for i := range took {
				slices.Sort(took[i])
			}
			d, p, h := took[0][b.N/2], took[1][b.N/2], took[2][b.N/2]
			b.ReportMetric(float64(d.Microseconds()), "direct-us")
			b.ReportMetric(float64(p.Microseconds()), "front-us")
			b.ReportMetric(float64(h.Microseconds()), "bare-us")
			// The target is 1.15 times the direct time plus a loopback hop.
			b.ReportMetric(float64(p)/(1.15*float64(d)+float64(h-d)), "of-aim")
		})
	}
}

// startRelay starts a relay that copies bytes to a server and back. It returns the relay's address.
func startRelay(b *testing.B, to string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				s, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer s.Close()
				go func() {
					io.Copy(c, s)
					c.Close()
				}()
				io.Copy(s, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// BenchmarkIdleSessions measures the memory of an idle session, with both ends in this process.
func BenchmarkIdleSessions(b *testing.B) {
	for range b.N {
		const n = 9_000 // as many as the usual descriptor limit allows
		w := newTestEnv(b, options{servers: 1, descriptors: 4 * n, proxy: Config{ConnLimits: connlimit.Limits{Total: 2 * n}}})
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var all []*rawClient
		for range n {
			all = append(all, dialRaw(b, w, "app", "secret"))
			all[len(all)-1].wire.R, all[len(all)-1].wire.W = nil, nil // exclude the buffers of the client
		}
		eventually(b, "all sessions are open", func() bool { return w.Stats().Sessions == n })
		runtime.GC()
		runtime.ReadMemStats(&after)
		used := func(m *runtime.MemStats) uint64 { return m.HeapInuse + m.StackInuse }
		b.ReportMetric(float64(used(&after)-used(&before))/n, "bytes/session")
		b.ReportMetric(float64(used(&after)-used(&before))/n*10_000/(1<<20), "MiB/10000")
		for _, c := range all {
			c.Close()
		}
	}
}

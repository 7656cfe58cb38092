package stream

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// BenchmarkBytes compares the throughput of a long stream through the frontend with that of a plain
// io.Copy proxy, in turns within one run.
func BenchmarkBytes(b *testing.B) {
	const size = 256 << 20
	sink := func(c *net.TCPConn) {
		io.Copy(io.Discard, c)
	}
	for _, splice := range []bool{false, true} {
		b.Run(map[bool]string{true: "splice", false: "buffers"}[splice], func(b *testing.B) {
			box := newBackend(b, sink)
			w := open(b, Config{Splice: splice}, 0, box)
			bare, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer bare.Close()
			go func() {
				for {
					c, err := bare.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						s, err := net.Dial("tcp", box.addr())
						if err != nil {
							return
						}
						defer s.Close()
						var both sync.WaitGroup
						both.Go(func() { io.Copy(c, s); c.(*net.TCPConn).CloseWrite() })
						io.Copy(s, c)
						s.(*net.TCPConn).CloseWrite()
						both.Wait()
					}()
				}
			}()
			send := func(addr string) time.Duration {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					b.Fatal(err)
				}
				defer c.Close()
				from, piece := time.Now(), make([]byte, 64<<10)
				for left := size; left > 0; left -= len(piece) {
					if _, err := c.Write(piece); err != nil {
						b.Fatal(err)
					}
				}
				c.(*net.TCPConn).CloseWrite()
				io.Copy(io.Discard, c)
				return time.Since(from)
			}
			var took [2]time.Duration
			for range b.N {
				took[0] += send(bare.Addr().String())
				took[1] += send(w.addr)
			}
			mb := func(d time.Duration) float64 { return float64(b.N*size) / (1 << 20) / d.Seconds() }
			b.ReportMetric(mb(took[0]), "bare-MB/s")
			b.ReportMetric(mb(took[1]), "front-MB/s")
			b.ReportMetric(mb(took[1])/mb(took[0]), "ratio")
		})
	}
}

// BenchmarkOpen compares the time to open a stream and exchange one message with that of a direct
// connection to the server.
func BenchmarkOpen(b *testing.B) {
	box := newBackend(b, echo)
	w := open(b, Config{}, 0, box)
	one := func(addr string) time.Duration {
		from := time.Now()
		c, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		c.Write([]byte("reading"))
		io.ReadFull(c, make([]byte, 7))
		return time.Since(from)
	}
	var took [2]time.Duration
	for range b.N {
		took[0] += one(box.addr())
		took[1] += one(w.addr)
	}
	b.ReportMetric(float64(took[0].Microseconds())/float64(b.N), "direct-us")
	b.ReportMetric(float64(took[1].Microseconds())/float64(b.N), "front-us")
}

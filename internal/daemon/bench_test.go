package daemon

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"quillfront/internal/config"
)

// BenchmarkRequest is the path of one request: client, module, upstream and back, all on kept connections. The
// far ends only copy bytes.
func BenchmarkRequest(b *testing.B) {
	answer := []byte(strings.ReplaceAll("HTTP/1.1 200 OK\nContent-Type: text/plain\nContent-Length: 1000\n\n", "\n", "\r\n") +
		strings.Repeat("x", 1000))
	request := []byte(strings.ReplaceAll("POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 1\nX-Timeout-Ms: 9000\n"+
		"Idempotency-Key: k\nX-Cost: 1000\nContent-Length: 200\n\n", "\n", "\r\n") + strings.Repeat("y", 200))
	addr := peer(b, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			length := 0
			for { // a head, as cheaply as can be
				line, err := r.ReadSlice('\n')
				if err != nil {
					return
				}
				if value, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
					for _, c := range bytes.TrimSpace(value) {
						length = 10*length + int(c-'0')
					}
				}
				if len(line) == 2 {
					break
				}
			}
			r.Discard(length)
			c.Write(answer)
		}
	})
	w := start(b, nil, addr, "127.0.0.1:1", func(c *config.Config) { c.Settings.Config.MayProbe = false })
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		c.Write(request)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatalf("answer %v, %v", resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}

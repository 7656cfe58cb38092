package daemon

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"net"
	"strings"
	"testing"

	"quillfront/internal/config"
)

// BenchmarkRequest measures the path of one request from the client through the module to the
// server and back, on kept connections. The client and the server only copy bytes.
func BenchmarkRequest(b *testing.B) {
	answer := []byte(strings.ReplaceAll("HTTP/1.1 200 OK\nContent-Type: text/plain\nContent-Length: 1000\n\n", "\n", "\r\n") +
		strings.Repeat("x", 1000))
	request := []byte(strings.ReplaceAll("POST /order/k HTTP/1.1\nHost: s\nX-Request-ID: 0000000000000000\nX-Timeout-Ms: 9000\n"+
		"Idempotency-Key: k\nX-Cost: 1000\nContent-Length: 200\n\n", "\n", "\r\n") + strings.Repeat("y", 200))
	addr := startServer(b, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			if _, err := skipMessage(r); err != nil {
				return
			}
			c.Write(answer)
		}
	})
	sc := startSidecar(b, nil, addr, "127.0.0.1:1", func(c *config.Config) { c.Settings.Config.MayProbe = false })
	c, err := net.Dial("tcp", sc.addr)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	var idBytes [8]byte
	id := bytes.Index(request, []byte("0000000000000000")) // an ID is used once
	b.ReportAllocs()
	for n := uint64(1); b.Loop(); n++ {
		binary.BigEndian.PutUint64(idBytes[:], n)
		hex.Encode(request[id:], idBytes[:])
		c.Write(request)
		if ok, err := skipMessage(r); err != nil || !ok {
			b.Fatalf("status is 200: %v, %v", ok, err)
		}
	}
}

// skipMessage reads a message as cheaply as possible and reports whether its status is 200.
func skipMessage(r *bufio.Reader) (ok bool, err error) {
	length := 0
	for first := true; ; first = false {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return false, err
		}
		if first {
			ok = bytes.HasPrefix(line, []byte("HTTP/1.1 200 "))
		}
		if value, is := bytes.CutPrefix(line, []byte("Content-Length: ")); is {
			for _, c := range bytes.TrimSpace(value) {
				length = 10*length + int(c-'0')
			}
		}
		if len(line) == 2 {
			break
		}
	}
	_, err = r.Discard(length)
	return ok, err
}

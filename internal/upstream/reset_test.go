package upstream

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"quillfront/internal/engine"
)

// TestEndOfConnection guards against a response without a length that passes for a complete one although
// its connection was reset: the write of the request, which is still going on, gets the only error. An end
// in order stays one, also if the rest of the request is reset after it.
func TestEndOfConnection(t *testing.T) {
	const text = "the response"
	for _, tt := range []struct {
		name string
		end  func(c *net.TCPConn) // of the server's side
		want bool                 // EOF
	}{
		{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, false},
		{"end in order", func(c *net.TCPConn) { c.CloseWrite() }, true},
		{"end in order, then reset", func(c *net.TCPConn) {
			c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			c.SetLinger(0)
			c.Close()
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for range 20 {
				server, client := tcpPair(t)
				c := newConn(client, engine.Endpoint{}, func() {}, 4096)
				written := make(chan struct{})
				go func() { // the request
					defer close(written)
					for part := make([]byte, 64<<10); ; {
						if _, err := c.Write(part); err != nil {
							return
						}
					}
				}()
				io.WriteString(server, text)
				var got bytes.Buffer
				time.Sleep(5 * time.Millisecond) // the write is blocked
				tt.end(server)
				time.Sleep(5 * time.Millisecond) // it has the error, if there is one
				_, err := io.Copy(&got, readerOnly{c})
				if got.String() != text && tt.want || (err == nil) != tt.want {
					t.Errorf("read %q, %v", &got, err)
				}
				client.Close()
				server.Close()
				<-written
			}
		})
	}
}

// readerOnly hides all methods of a connection but Read.
type readerOnly struct{ io.Reader }

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (server, client *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

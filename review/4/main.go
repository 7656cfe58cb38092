//go:build review

// Case 4: a stream to a server that drains is ended in its middle with half-closes that neither side has sent.
package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"quillfront/review/lib"
)

const (
	streams  = 4   // of each kind
	parts    = 375 // of a batch or a reply
	pace     = 200 * time.Millisecond
	partSize = 512             // bytes
	drainAt  = 3 * time.Second // after the streams have begun
	limit    = 110 * time.Second
)

// part is the nth part of a batch or reply: both have parts*partSize bytes, for 75 s.
func part(id byte, n int) []byte {
	b := make([]byte, partSize)
	binary.BigEndian.PutUint32(b[1:], uint32(n))
	for i := range b[5:] {
		b[5+i] = byte(n + i)
	}
	b[0] = id
	return b
}

func whole(id byte) []byte {
	var b []byte
	for n := range parts {
		b = append(b, part(id, n)...)
	}
	return b
}

type server struct {
	name, addr string
	ln         net.Listener
}

func main() {
	c := lib.Start()
	var mu sync.Mutex
	booked := map[byte]int{} // batches that a server has taken for whole, and their bytes
	// A server speaks the gateways' protocol: a first byte U and an id, then a batch of readings up to the half-close, which it
	// books then and acknowledges; or R, an id and the half-close, upon which it sends a long reply and ends.
	serve := func(name string, conn *net.TCPConn) {
		defer conn.Close()
		var head [2]byte
		if _, err := io.ReadFull(conn, head[:]); err != nil {
			return
		}
		c.Log("%s: a stream %c%d has begun", name, head[0], head[1])
		if head[0] == 'U' {
			b, err := io.ReadAll(conn)
			if err != nil {
				c.Log("%s: the batch U%d broke off after %d bytes: %v; nothing is booked", name, head[1], len(b), err)
				return
			}
			mu.Lock()
			booked[head[1]] = len(b)
			mu.Unlock()
			c.Log("%s: the batch U%d has ended by a half-close, with %d bytes: booked", name, head[1], len(b))
			if !bytes.Equal(b, whole(head[1])) {
				c.Broken("server %s was given the end of the batch U%d after %d of %d bytes, which its client had not sent, and booked it", name, head[1], len(b), parts*partSize)
			}
			fmt.Fprintf(conn, "booked %d", len(b))
			return
		}
		if b, err := io.ReadAll(conn); err != nil || len(b) > 0 {
			c.Log("%s: R%d: %d bytes behind the request, %v", name, head[1], len(b), err)
			return
		}
		for n := range parts {
			if _, err := conn.Write(part(head[1], n)); err != nil {
				c.Log("%s: the reply R%d ends after %d parts: %v", name, head[1], n, err)
				return
			}
			time.Sleep(pace)
		}
		c.Log("%s: the reply R%d is written", name, head[1])
	}
	var servers []server
	for _, name := range []string{"m1", "m2"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Must(err)
		servers = append(servers, server{name, ln.Addr().String(), ln})
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go serve(name, conn.(*net.TCPConn))
			}
		}()
	}
	listen := c.FreeAddr()
	file := func(drains1 bool) []byte { // the pool and the service "meters" of deploy/quillfront.toml
		return []byte(fmt.Sprintf(`[[pools]]
name = "meters"
servers = [{ id = "m1", addr = %q, drain = %v }, { id = "m2", addr = %q, drain = %v }]
dial = "250ms"

[[pools.classes]]
name = "meter"
effect = "safe"
aim = "300ms"
deadline = "2s"

[[streams]]
name = "meters"
listen = %q
pool = "meters"
class = "meter"
idle = "5m"
stall = "30s"
total = "0s"
half = "1m"
drain = "1m"
patience = "10s"
most = 1000
most_per_address = 100
`, servers[0].addr, drains1, servers[1].addr, !drains1, listen))
	}
	path := c.Write("operator.toml", file(false))
	p := c.Run("n0", c.RunLine()+" serve --config "+path, "GW_CONFIG=")
	c.AwaitLog(p, "msg=ready", 1)
	var wg sync.WaitGroup
	complete := 0
	begin := time.Now()
	for i := range byte(streams) {
		wg.Go(func() { // a gateway uploads a batch
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				c.Log("U%d: %v", i, err)
				return
			}
			defer conn.Close()
			conn.SetDeadline(begin.Add(limit))
			conn.Write([]byte{'U', i})
			for n := range parts {
				if _, err := conn.Write(part(i, n)); err != nil {
					c.Log("U%d: the batch cannot be sent beyond part %d: %v", i, n, err)
					return
				}
				time.Sleep(pace)
			}
			conn.(*net.TCPConn).CloseWrite()
			b, err := io.ReadAll(conn)
			c.Log("U%d: sent whole; the answer is %q, %v", i, b, err)
			if err == nil && strings.HasPrefix(string(b), "booked") {
				mu.Lock()
				complete++
				mu.Unlock()
			}
		})
		wg.Go(func() { // a gateway asks, shuts its sending side, and waits for a long reply
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				c.Log("R%d: %v", i, err)
				return
			}
			defer conn.Close()
			conn.SetDeadline(begin.Add(limit))
			conn.Write([]byte{'R', i})
			conn.(*net.TCPConn).CloseWrite()
			b, err := io.ReadAll(conn)
			switch {
			case err != nil && (errors.Is(err, syscall.ECONNRESET) || strings.Contains(err.Error(), "reset")):
				c.Log("R%d: the reply broke off with a reset after %d bytes: the client can tell", i, len(b))
			case err != nil:
				c.Log("R%d: %d bytes, then %v", i, len(b), err)
			case !bytes.Equal(b, whole(i)):
				c.Broken("the reply R%d ended like a whole one after %d of %d bytes, while its server still wrote", i, len(b), parts*partSize)
			default:
				c.Log("R%d: the reply is whole", i)
				mu.Lock()
				complete++
				mu.Unlock()
			}
		})
	}
	if lib.Trouble() {
		time.Sleep(drainAt)
		c.Write("operator.toml", file(true))
		p.Signal(syscall.SIGHUP)
		c.AwaitLog(p, "msg=reloaded", 1)
		c.Log("m1 is told to drain, m2 takes streams")
	}
	wg.Wait()
	time.Sleep(300 * time.Millisecond)
	if ended := p.Ended(); ended != "" {
		c.Unable("the program has ended: %s", ended)
	}
	c.Log("%d of %d streams came to their end as their peers meant", complete, 2*streams)
	if !lib.Trouble() && complete != 2*streams {
		c.Unable("only %d of %d streams were complete without a disruption", complete, 2*streams)
	}
	c.End()
}

package stream

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quillfront/internal/connlimit"
	"quillfront/internal/pool"
	"quillfront/internal/sockets"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 20 * time.Second

// box is a server of streams: each connection is the test's.
type box struct {
	ln    *net.TCPListener
	took  atomic.Int64
	serve func(c *net.TCPConn)
	done  sync.WaitGroup
}

func newBox(t testing.TB, serve func(c *net.TCPConn)) *box {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &box{ln: ln.(*net.TCPListener), serve: serve}
	b.done.Go(func() {
		for {
			c, err := b.ln.AcceptTCP()
			if err != nil {
				return
			}
			b.took.Add(1)
			b.done.Go(func() {
				defer c.Close()
				c.SetDeadline(time.Now().Add(patience))
				b.serve(c)
			})
		}
	})
	t.Cleanup(func() { b.ln.Close(); b.done.Wait() })
	return b
}

func (b *box) addr() string { return b.ln.Addr().String() }

// world is a front with its pool.
type world struct {
	*Frontend
	t    testing.TB
	pool *pool.Pool
	cfg  pool.Config
	addr string
}

func open(t testing.TB, c Config, descriptors int, boxes ...*box) *world {
	t.Helper()
	w := &world{t: t, cfg: pool.Config{Name: "meters", Classes: []pool.Class{{Name: "meter", Safe: true, Aim: time.Second, Deadline: 5 * time.Second}}}}
	for i, b := range boxes {
		w.cfg.Servers = append(w.cfg.Servers, pool.Server{ID: fmt.Sprint("box", i), Addr: b.addr()})
	}
	budget := sockets.New(cmp.Or(descriptors, 4000))
	log := slog.New(slog.DiscardHandler)
	p, err := w.cfg.Open(NewTransport(w.cfg.DialTimeout(), budget, nil, nil, log), log)
	if err != nil {
		t.Fatal(err)
	}
	c.Name, c.Listen, c.Class = "meters", "127.0.0.1:0", "meter"
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	w.pool, w.Frontend = p, New(c, p.Engine, budget, log)
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		t.Fatal(err)
	}
	w.addr = ln.Addr().String()
	served := make(chan error, 1)
	go func() { served <- w.Serve(ln) }()
	t.Cleanup(func() {
		w.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
		p.Close()
		if all, clients := budget.InUse(); all+clients > 0 {
			t.Errorf("%d descriptors are still taken, %d of them by clients", all, clients)
		}
	})
	return w
}

// dial connects, and returns nil where it is turned away at once.
func (w *world) dial() *net.TCPConn {
	w.t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if errors.Is(err, syscall.ECONNRESET) { // it was turned away before this side knew that it was in
		return nil
	}
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c.(*net.TCPConn)
}

// until waits for something to be so.
func until(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func echo(c *net.TCPConn) {
	io.Copy(c, c)
	c.CloseWrite()
	io.Copy(io.Discard, c)
}

func TestVerdict(t *testing.T) {
	c := Config{IdleTimeout: 10 * time.Second, StallTimeout: 3 * time.Second, MaxDuration: time.Hour, DrainTimeout: time.Minute, HalfClosedTimeout: 5 * time.Second, ShutdownTimeout: 8 * time.Second}
	now := time.Unix(1e9, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, tt := range []struct {
		name string
		f    streamState
		why  Reason
		end  bool
	}{
		{"at work", streamState{opened: ago(time.Minute), lastActivity: ago(0)}, 0, false},
		{"nearly idle", streamState{opened: ago(time.Minute), lastActivity: ago(9 * time.Second)}, 0, false},
		{"idle", streamState{opened: ago(time.Minute), lastActivity: ago(10 * time.Second)}, Idle, true},
		{"one side shut, the other sends", streamState{opened: ago(time.Minute), lastActivity: ago(time.Second), halfClosed: ago(30 * time.Second)}, 0, false},
		{"one side shut, the other silent", streamState{opened: ago(time.Minute), lastActivity: ago(6 * time.Second), halfClosed: ago(6 * time.Second)}, Idle, true},
		{"just shut", streamState{opened: ago(time.Minute), lastActivity: ago(6 * time.Second), halfClosed: ago(time.Second)}, 0, false},
		{"stalled, though the other direction moves", streamState{opened: ago(time.Minute), lastActivity: ago(0), writeBlocked: ago(3 * time.Second)}, Stalled, true},
		{"old", streamState{opened: ago(time.Hour), lastActivity: ago(0)}, MaxDurationReached, true},
		{"its server drains", streamState{opened: ago(time.Minute), lastActivity: ago(0), drainingSince: ago(59 * time.Second)}, 0, false},
		{"its server drained", streamState{opened: ago(time.Minute), lastActivity: ago(0), drainingSince: ago(time.Minute)}, Drained, true},
		{"ending", streamState{opened: ago(time.Minute), lastActivity: ago(0), shutdownSince: ago(7 * time.Second)}, 0, false},
		{"patience is over", streamState{opened: ago(time.Minute), lastActivity: ago(0), shutdownSince: ago(8 * time.Second)}, ShuttingDown, true},
	} {
		if why, end := c.endReason(now, tt.f); end != tt.end || end && why != tt.why {
			t.Errorf("%s: %v, %v", tt.name, why, end)
		}
	}
}

// TestEveryByte: thousands of streams of odd lengths, with both sides shutting in either order, arrive whole in both directions, while some
// servers refuse connections and some break off: then the client sees a reset, never a shorter stream that ends as a whole one.
func TestEveryByte(t *testing.T) {
	const streams, workers = 3000, 24
	// A client sends a head of 24 bytes: how much it sends after it, how much it wants, and a seed; the server answers with what is wanted
	// and the hash of what came. An odd seed has the server answer before it has read all; a seed of 13 mod 50 has it break off.
	serve := func(c *net.TCPConn) {
		head := make([]byte, 24)
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		send, want, seed := binary.LittleEndian.Uint64(head), binary.LittleEndian.Uint64(head[8:]), binary.LittleEndian.Uint64(head[16:])
		answer := func() { io.Copy(c, io.LimitReader(rand.NewChaCha8(key(seed+1)), int64(want))) }
		if seed%50 == 13 {
			io.Copy(c, io.LimitReader(rand.NewChaCha8(key(seed+1)), int64(want/2)))
			c.SetLinger(0)
			return
		}
		sum := sha256.New()
		if seed%2 == 1 {
			answer()
		}
		n, _ := io.Copy(sum, c)
		if seed%2 == 0 {
			answer()
		}
		if uint64(n) == send {
			c.Write(sum.Sum(nil))
		}
		c.CloseWrite()
	}
	boxes := []*box{newBox(t, serve), newBox(t, serve), newBox(t, serve), newBox(t, serve)}
	boxes[3].ln.Close() // nobody listens there any more
	w := open(t, Config{Splice: true}, 0, boxes...)
	rng := rand.New(rand.NewPCG(7, 12))
	jobs := make(chan [3]uint64, streams)
	for i := range streams {
		size := func() uint64 {
			n := rng.Uint64N(1 << (1 + rng.UintN(18)))
			if rng.UintN(100) == 0 {
				n += 3 << 20
			}
			return n
		}
		jobs <- [3]uint64{size(), size(), uint64(i)}
	}
	close(jobs)
	var whole, broken atomic.Int64
	var work sync.WaitGroup
	for range workers {
		work.Go(func() {
			for j := range jobs {
				err := exchange(w.addr, j[0], j[1], j[2])
				switch {
				case j[2]%50 == 13 && errors.Is(err, syscall.ECONNRESET):
					broken.Add(1)
				case j[2]%50 != 13 && err == nil:
					whole.Add(1)
				default:
					t.Errorf("stream %d, %d bytes there and %d back: %v", j[2], j[0], j[1], err)
				}
			}
		})
	}
	work.Wait()
	if whole.Load() != streams-streams/50 || broken.Load() != streams/50 {
		t.Errorf("%d whole, %d broken off", whole.Load(), broken.Load())
	}
	until(t, "all have ended", func() bool { return w.Stats().Open == 0 })
	s := w.Stats()
	if s.Ended["shut"]+s.Ended["reset"] != streams || s.Ended["reset"] < streams/50 {
		t.Errorf("ended %v", s.Ended)
	}
	if boxes[3].took.Load() > 0 || boxes[0].took.Load() < streams/6 {
		t.Errorf("%d at the first, %d at the one that is dead", boxes[0].took.Load(), boxes[3].took.Load())
	}
}

func key(seed uint64) (k [32]byte) {
	binary.LittleEndian.PutUint64(k[:], seed)
	return k
}

// exchange sends n bytes that follow from a seed, and checks the answer. With an error other than a reset something is missing or wrong.
func exchange(addr string, n, want, seed uint64) error {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	c := nc.(*net.TCPConn)
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	head := make([]byte, 24)
	binary.LittleEndian.PutUint64(head, n)
	binary.LittleEndian.PutUint64(head[8:], want)
	binary.LittleEndian.PutUint64(head[16:], seed)
	sum := sha256.New()
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write(head)
		if err == nil {
			_, err = io.Copy(io.MultiWriter(c, sum), io.LimitReader(rand.NewChaCha8(key(seed)), int64(n)))
		}
		c.CloseWrite()
		sent <- err
	}()
	got, err := io.ReadAll(c)
	if serr := <-sent; err == nil && serr != nil {
		err = serr
	}
	if errors.Is(err, syscall.EPIPE) {
		err = syscall.ECONNRESET // it came while this side wrote
	}
	if err != nil {
		return err
	}
	wanted := make([]byte, want)
	io.ReadFull(rand.NewChaCha8(key(seed+1)), wanted)
	if wanted = append(wanted, sum.Sum(nil)...); !bytes.Equal(got, wanted) {
		return fmt.Errorf("%d bytes came, not the %d that were to", len(got), len(wanted))
	}
	return nil
}

// TestHalfClose: a client that shuts its sending side gets a long reply that comes late; a server that shuts first gets all that
// the client still sends.
func TestHalfClose(t *testing.T) {
	got := make(chan int64, 1)
	reply := bytes.Repeat([]byte("reply "), 100_000)
	b := newBox(t, func(c *net.TCPConn) {
		first := make([]byte, 1)
		io.ReadFull(c, first)
		if first[0] == 's' { // the server shuts first
			c.CloseWrite()
			n, _ := io.Copy(io.Discard, c)
			got <- n
			return
		}
		n, _ := io.Copy(io.Discard, c)
		got <- n
		time.Sleep(100 * time.Millisecond)
		c.Write(reply)
	})
	w := open(t, Config{}, 0, b)
	c := w.dial()
	io.WriteString(c, "client shuts")
	c.CloseWrite()
	text, err := io.ReadAll(c)
	if n := <-got; n != 11 || err != nil || !bytes.Equal(text, reply) {
		t.Errorf("%d bytes there, %d back, %v", n, len(text), err)
	}
	c = w.dial()
	io.WriteString(c, "server")
	if text, err := io.ReadAll(c); err != nil || len(text) > 0 {
		t.Errorf("%q, %v", text, err)
	}
	time.Sleep(20 * time.Millisecond)
	if _, err := c.Write(make([]byte, 300_000)); err != nil {
		t.Error(err)
	}
	c.CloseWrite()
	if n := <-got; n != 300_005 {
		t.Errorf("%d bytes came after the server had shut", n)
	}
	until(t, "both have ended", func() bool { return w.Stats().Ended["shut"] == 2 })
}

// TestReset: a reset of either side, with data in flight, is a reset of the other, and harms no other stream.
func TestReset(t *testing.T) {
	end := make(chan error, 1)
	b := newBox(t, func(c *net.TCPConn) {
		first := make([]byte, 1)
		io.ReadFull(c, first)
		switch first[0] {
		case 'r':
			c.Write(make([]byte, 100_000))
			c.SetLinger(0)
		case 'c':
			_, err := io.Copy(io.Discard, c)
			end <- err
		default:
			c.Write(first)
			echo(c)
		}
	})
	w := open(t, Config{}, 0, b)
	other := w.dial()
	io.WriteString(other, "e")
	c := w.dial()
	io.WriteString(c, "r")
	if _, err := io.Copy(io.Discard, c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the server's reset comes as %v", err)
	}
	c = w.dial()
	io.WriteString(c, "c")
	c.Write(make([]byte, 100_000))
	c.SetLinger(0)
	c.Close()
	if err := <-end; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the client's reset comes as %v", err)
	}
	io.WriteString(other, "cho")
	other.CloseWrite()
	if text, err := io.ReadAll(other); string(text) != "echo" || err != nil {
		t.Errorf("the other stream: %q, %v", text, err)
	}
	until(t, "all have ended", func() bool { s := w.Stats(); return s.Ended["reset"] == 2 && s.Ended["shut"] == 1 })
}

// TestIdleAndTrickle: a stream of a byte now and then stays; one without is ended in order, so that both sides read an end.
func TestIdleAndTrickle(t *testing.T) {
	end := make(chan error, 1)
	b := newBox(t, func(c *net.TCPConn) {
		first := make([]byte, 1)
		io.ReadFull(c, first)
		if first[0] == 't' {
			echo(c)
			return
		}
		_, err := io.Copy(io.Discard, c)
		end <- err
	})
	w := open(t, Config{IdleTimeout: 600 * time.Millisecond}, 0, b)
	idle, trickle := w.dial(), w.dial()
	io.WriteString(idle, "i")
	io.WriteString(trickle, "t")
	for range 15 {
		time.Sleep(100 * time.Millisecond)
		io.WriteString(trickle, "x")
	}
	if n, err := idle.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("the idle one: %d bytes, %v", n, err)
	}
	if err := <-end; err != nil {
		t.Errorf("its server reads %v", err)
	}
	trickle.CloseWrite()
	if text, err := io.ReadAll(trickle); len(text) != 15 || err != nil {
		t.Errorf("the trickle: %d bytes, %v", len(text), err)
	}
	until(t, "it counts as idle", func() bool { return w.Stats().Ended["idle"] == 1 })
}

// TestPeerThatStopsReading: what is sent to it is not taken from the sender beyond a bound, and it is cut off.
func TestPeerThatStopsReading(t *testing.T) {
	end := make(chan int64, 1)
	b := newBox(t, func(c *net.TCPConn) {
		sent := int64(0)
		for {
			n, err := c.Write(make([]byte, 64<<10))
			if sent += int64(n); err != nil || sent > 1<<30 {
				end <- sent
				return
			}
		}
	})
	w := open(t, Config{StallTimeout: 500 * time.Millisecond}, 0, b)
	c := w.dial()
	c.SetReadBuffer(16 << 10)
	until(t, "it is cut off", func() bool { return w.Stats().Ended["stalled"] == 1 })
	if n := <-end; n > 64<<20 {
		t.Errorf("%d bytes were taken for a peer that reads nothing", n)
	}
}

// TestDrain: 2 s after the list has told that a server takes nothing more no new stream goes there; those that it has are let finish
// for the time that is stated, and then ended in order.
func TestDrain(t *testing.T) {
	first, second := newBox(t, echo), newBox(t, echo)
	w := open(t, Config{DrainTimeout: 700 * time.Millisecond}, 0, first, second)
	var at []*net.TCPConn
	for first.took.Load() == 0 || second.took.Load() == 0 {
		c := w.dial()
		io.WriteString(c, "x")
		io.ReadFull(c, make([]byte, 1))
		at = append(at, c)
	}
	w.cfg.Servers[0].Drain = true
	if err := w.pool.Reload(w.cfg); err != nil {
		t.Fatal(err)
	}
	told := time.Now()
	until(t, "the list is known", func() bool { return !w.pool.ServerUsable("box0") })
	if time.Since(told) > 2*time.Second {
		t.Fatal("the list came late")
	}
	before := first.took.Load()
	for range 40 {
		c := w.dial()
		io.WriteString(c, "new")
		c.CloseWrite()
		if text, err := io.ReadAll(c); string(text) != "new" || err != nil {
			t.Fatalf("%q, %v", text, err)
		}
	}
	if n := first.took.Load() - before; n > 0 {
		t.Errorf("%d new streams went to the server that drains", n)
	}
	for _, c := range at { // they still work
		io.WriteString(c, "y")
		io.ReadFull(c, make([]byte, 1))
	}
	until(t, "those at it have ended", func() bool { return w.Stats().Ended["drained"] == uint64(before) })
	ended := 0
	for _, c := range at {
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if n, err := c.Read(make([]byte, 1)); n == 0 && err == io.EOF {
			ended++
		}
	}
	if ended != int(before) {
		t.Errorf("%d of %d ended in order", ended, before)
	}
}

// TestShutdown: streams end by themselves within the patience; the others are ended in order after it, and nobody new is let in.
func TestShutdown(t *testing.T) {
	w := open(t, Config{ShutdownTimeout: 600 * time.Millisecond}, 0, newBox(t, echo))
	soon, late := w.dial(), w.dial()
	for _, c := range []*net.TCPConn{soon, late} {
		io.WriteString(c, "x")
		io.ReadFull(c, make([]byte, 1))
	}
	ended := make(chan error, 1)
	go func() { ended <- w.Shutdown(context.Background()) }()
	until(t, "nobody new", func() bool {
		c, err := net.Dial("tcp", w.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	io.WriteString(soon, "more")
	soon.CloseWrite()
	if text, err := io.ReadAll(soon); string(text) != "more" || err != nil {
		t.Errorf("%q, %v", text, err)
	}
	if n, err := late.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("the late one: %d, %v", n, err)
	}
	late.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if s := w.Stats(); s.Ended["shut"] != 1 || s.Ended["ending"] != 1 {
		t.Errorf("ended %v", s.Ended)
	}
}

// TestBounds: one more than may be is reset before any byte, and a place that is left is free again.
func TestBounds(t *testing.T) {
	w := open(t, Config{ConnLimits: connlimit.Limits{PerAddress: 2}}, 0, newBox(t, echo))
	works := func(c *net.TCPConn) bool {
		if c == nil {
			return false
		}
		io.WriteString(c, "x")
		_, err := io.ReadFull(c, make([]byte, 1))
		return err == nil
	}
	first, second, third := w.dial(), w.dial(), w.dial()
	if !works(first) || !works(second) {
		t.Error("those within the bound do not work")
	}
	if works(third) {
		t.Error("one too many works")
	}
	first.Close()
	until(t, "its place is free", func() bool { return w.Stats().Open == 1 })
	until(t, "a new one works", func() bool { return works(w.dial()) })
	if w.Stats().Connections.Rejected["too many connections from this address"] == 0 {
		t.Errorf("%+v", w.Stats().Connections)
	}
}

// TestNoServer: with none that can be reached the client is reset within the class's time, and not told of an empty stream.
func TestNoServer(t *testing.T) {
	b := newBox(t, echo)
	b.ln.Close()
	w := open(t, Config{}, 0, b)
	if c := w.dial(); c != nil {
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%v", err)
		}
	}
	if s := w.Stats(); s.Failed+s.Refused != 1 {
		t.Errorf("%+v", s)
	}
}

// TestDescriptors: streams beyond the budget wait for a place, and harm none of those that are open.
func TestDescriptors(t *testing.T) {
	w := open(t, Config{}, sockets.Reserved+20, newBox(t, echo))
	var work sync.WaitGroup
	for range 60 {
		work.Go(func() {
			c, err := net.Dial("tcp", w.addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(patience))
			time.Sleep(10 * time.Millisecond)
			io.WriteString(c, "x")
			c.(*net.TCPConn).CloseWrite()
			if text, err := io.ReadAll(c); string(text) != "x" || err != nil {
				t.Errorf("%q, %v", text, err)
			}
		})
	}
	work.Wait()
}

func TestCheck(t *testing.T) {
	good := Config{Name: "m", Listen: "127.0.0.1:0", Class: "c"}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Config){
		"name": func(c *Config) { c.Name = "" }, "listen": func(c *Config) { c.Listen = "" }, "class": func(c *Config) { c.Class = "" },
		"idle": func(c *Config) { c.IdleTimeout = -1 }, "stall": func(c *Config) { c.StallTimeout = -1 }, "drain": func(c *Config) { c.DrainTimeout = -1 },
		"most": func(c *Config) { c.ConnLimits.Total = -1 },
	} {
		c := good
		change(&c)
		if err := c.Check(); err == nil || !bytes.HasPrefix([]byte(err.Error()), []byte(want+":")) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// TestResetWhileWriting: a server resets while its client writes. The write to the server has the one error that the kernel tells, and what
// is read of it then looks like an end: the client must see a reset all the same.
func TestResetWhileWriting(t *testing.T) {
	w := open(t, Config{}, 0, newBox(t, func(c *net.TCPConn) {
		io.ReadFull(c, make([]byte, 8))
		c.Write(make([]byte, 100))
		c.SetLinger(0)
	}))
	var work sync.WaitGroup
	var ends atomic.Int64
	for range 16 {
		work.Go(func() {
			for i := range 250 {
				c := w.dial()
				_, err := c.Write(make([]byte, 8))
				for began := time.Now(); time.Since(began) < time.Duration(i)*2*time.Microsecond; {
				}
				if err == nil { // this ends before the first read: the client's own write takes no error from its reads
					_, err = c.Write(make([]byte, 50))
				}
				if _, rerr := io.ReadAll(c); err == nil && rerr == nil {
					ends.Add(1)
				}
				c.Close()
			}
		})
	}
	work.Wait()
	if n := ends.Load(); n > 0 {
		t.Errorf("%d of 4000 streams that broke off ended as whole ones", n)
	}
}

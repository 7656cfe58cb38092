package proxy

import (
	"bufio"
	"net"
	"testing"
	"time"

	"quillfront/internal/mysql/session"
	"quillfront/internal/mysql/wire"
)

// raw is a client that says what the real one never does.
type raw struct {
	net.Conn
	wire wire.Conn
	t    testing.TB
	id   uint32
	caps wire.Capability
}

// dial logs in.
func dial(t testing.TB, w *world, user, password string) *raw {
	t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	r := &raw{Conn: c, t: t, caps: wire.Protocol41 | wire.SecureConnection | wire.PluginAuth | wire.DeprecateEOF | wire.PluginAuthLenenc}
	r.wire.R, r.wire.W = bufio.NewReader(c), bufio.NewWriter(c)
	b, err := r.wire.Read(1 << 16)
	if err != nil {
		t.Fatal(err)
	}
	g, err := wire.ParseGreeting(b)
	if err != nil {
		t.Fatal(err)
	}
	r.id = g.ThreadID
	l := wire.Login{Capabilities: r.caps, Charset: 45, User: user, Plugin: g.Plugin}
	if l.AuthResponse, err = wire.AuthResponse(g.Plugin, password, g.Scramble); err != nil {
		t.Fatal(err)
	}
	r.send(l.Append(nil))
	for {
		b, err := r.wire.Read(1 << 16)
		if err != nil || len(b) == 0 || b[0] == 0xff {
			t.Fatalf("login: %q, %v", b, err)
		}
		if b[0] == 0 {
			return r
		}
	}
}

func (r *raw) send(b []byte) {
	r.wire.Write(b)
	r.wire.W.Flush()
}

// ask sends a command.
func (r *raw) ask(c wire.Command, text string) {
	r.wire.Reset()
	r.send(append([]byte{byte(c)}, text...))
}

// answer returns the first packet of the answer, nil if there is none.
func (r *raw) answer() []byte {
	b, err := r.wire.Read(1 << 20)
	if err != nil {
		return nil
	}
	return b
}

// next returns the next packet, whose number is that of a first answer.
func (r *raw) next() ([]byte, error) {
	r.wire.SetSequence(1)
	return r.wire.Read(1 << 20)
}

// more reads what is left of a result of one column, of which the first packet has been read.
func (r *raw) more(reply *session.ReplyTracker) bool {
	reply.Consume([]byte{1})
	for !reply.Done() {
		p, err := r.wire.Peek()
		if err != nil {
			return true
		}
		whole, _ := reply.MustReadWhole(p)
		b, _ := r.wire.Read(1 << 20)
		if whole {
			reply.Consume(b)
		} else {
			reply.Forwarded(len(b))
		}
	}
	return true
}

// changeUser reports whether it is let in as another user.
func (r *raw) changeUser(user, password string) bool {
	b := append([]byte{byte(wire.ChangeUser)}, user...)
	b = append(b, 0, 0, 0, 45, 0)
	b = append(append(b, wire.SHA2...), 0)
	r.wire.Reset()
	r.send(b)
	for {
		b := r.answer()
		switch {
		case len(b) == 0 || b[0] == 0xff:
			return false
		case b[0] == 0:
			return true
		case b[0] == 0xfe:
			plugin, scramble, err := wire.ParseAuthSwitch(b)
			if err != nil {
				return false
			}
			proof, _ := wire.AuthResponse(plugin, password, scramble)
			r.send(proof)
		}
	}
}

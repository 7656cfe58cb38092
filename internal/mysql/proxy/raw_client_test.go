package proxy

import (
	"bufio"
	"net"
	"testing"
	"time"

	"quillfront/internal/mysql/session"
	"quillfront/internal/mysql/wire"
)

// rawClient sends packets that the go-sql-driver client never sends.
type rawClient struct {
	net.Conn
	wire wire.Conn
	t    testing.TB
	id   uint32
	caps wire.Capability
}

// dialRaw connects to the frontend and logs in.
func dialRaw(t testing.TB, w *testEnv, user, password string) *rawClient {
	t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	r := &rawClient{Conn: c, t: t, caps: wire.Protocol41 | wire.SecureConnection | wire.PluginAuth | wire.DeprecateEOF | wire.PluginAuthLenenc}
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

func (r *rawClient) send(b []byte) {
	r.wire.Write(b)
	r.wire.W.Flush()
}

// sendCommand sends a command.
func (r *rawClient) sendCommand(c wire.Command, text string) {
	r.wire.Reset()
	r.send(append([]byte{byte(c)}, text...))
}

// readAnswer returns the next packet of the answer, or nil after an error.
func (r *rawClient) readAnswer() []byte {
	b, err := r.wire.Read(1 << 20)
	if err != nil {
		return nil
	}
	return b
}

// readFirstAnswer returns the next packet, which must have sequence number 1.
func (r *rawClient) readFirstAnswer() ([]byte, error) {
	r.wire.SetSequence(1)
	return r.wire.Read(1 << 20)
}

// readRest reads the rest of a result of one column after its first packet.
func (r *rawClient) readRest(reply *session.ReplyTracker) bool {
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

// changeUser sends COM_CHANGE_USER and reports whether the login as another user succeeds.
func (r *rawClient) changeUser(user, password string) bool {
	b := append([]byte{byte(wire.ChangeUser)}, user...)
	b = append(b, 0, 0, 0, 45, 0)
	b = append(append(b, wire.SHA2...), 0)
	r.wire.Reset()
	r.send(b)
	for {
		b := r.readAnswer()
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

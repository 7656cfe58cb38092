package proxy

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/mysql/wire"
	"quillfront/internal/sockets"
)

const (
	// mostLogin bounds a message of the login, in bytes.
	mostLogin = 64 << 10
	// mostRounds bounds its messages.
	mostRounds = 10
	// loginDials is how many times the time of a connect a login at a server may take in all: one that stalls is as good as dead.
	loginDials = 4
	clientRead = 2 << 10 // of a client's connection at rest
	serverRead = 16 << 10
)

// carried is what clients may agree on. Compression, files of the client, attributes of queries and results without definitions are
// not.
const carried = wire.LongPassword | wire.FoundRows | wire.LongFlag | wire.ConnectWithDB | wire.IgnoreSpace | wire.Protocol41 |
	wire.Interactive | wire.Transactions | wire.SecureConnection | wire.MultiStatements | wire.MultiResults | wire.PSMultiResults |
	wire.PluginAuth | wire.ConnectAttrs | wire.PluginAuthLenenc | wire.SessionTrack | wire.DeprecateEOF

// needed is what a server must have.
const needed = wire.Protocol41 | wire.SecureConnection | wire.PluginAuth | wire.Transactions

// shaping are the capabilities that change what replies look like or mean: a connection is of use to a client that agreed on the same.
const shaping = wire.FoundRows | wire.IgnoreSpace | wire.MultiStatements | wire.MultiResults | wire.PSMultiResults | wire.SessionTrack |
	wire.DeprecateEOF | wire.Interactive

// askable are those of them that only ask something of a server, which it may not know; replies look the same.
const askable = wire.IgnoreSpace | wire.Interactive

// profile is what connections to servers that can be used for the same clients have in common.
type profile struct {
	caps    wire.Capability
	charset byte
}

// server is a connection to a server that has let it in.
type server struct {
	net.Conn
	raw     net.Conn // under TLS, else Conn itself
	to      engine.Endpoint
	release func()
	peek    *sockets.Peeker
	wire    wire.Conn
	thread  uint32
	version string
	profile profile
	stall   time.Duration // how long the server may pause where there is no deadline
	until   time.Time     // the deadline; zero: none

	killing sync.Mutex // held while the end of its statement is ordered
	running bool       // a statement
	killed  bool       // such an order may come late: it is not used for anything else

	said     said
	prepared map[string]*remote // by the schema and text of a statement
	order    []string           // of prepared, the oldest first
	since    time.Time          // of its last use
}

// said is what a server was told of a session's settings.
type said struct {
	schema   string
	settings string // joined
	dirty    bool   // more was left on it than is known
}

// remote is a statement that a server has prepared.
type remote struct {
	id     uint32
	params int
	types  string // of the parameters, as they were told last
}

// Read is the method of net.Conn, within the deadline and the time that a peer may pause.
func (s *server) Read(p []byte) (int, error) {
	end := s.until
	if end.IsZero() {
		end = time.Now().Add(s.stall)
	}
	s.Conn.SetReadDeadline(end)
	return s.Conn.Read(p)
}

// Write is the method of net.Conn.
func (s *server) Write(p []byte) (int, error) {
	s.Conn.SetWriteDeadline(time.Now().Add(s.stall))
	return s.Conn.Write(p)
}

// Close closes the connection and gives its descriptor back.
func (s *server) Close() error {
	err := s.raw.Close()
	s.release()
	return err
}

// runs notes whether a statement is under way. It waits for an order to end it.
func (s *server) runs(is bool) {
	s.killing.Lock()
	defer s.killing.Unlock()
	s.running = is
}

// quiet reports whether the server has said nothing that is still to be read, nor closed.
func (s *server) quiet() bool { return s.wire.R.Buffered() == 0 && s.peek.Empty() }

// dial connects to a server; the caller logs in.
func (t *Transport) dial(ctx context.Context, to engine.Endpoint) (*server, wire.Greeting, error) {
	var g wire.Greeting
	release, err := t.budget.Acquire(ctx)
	if err != nil {
		return nil, g, err
	}
	c, err := (&net.Dialer{Timeout: t.dialTime}).DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		release()
		return nil, g, err
	}
	s := &server{Conn: c, raw: c, to: to, release: release, peek: sockets.NewPeeker(c), stall: t.cfg.StallTimeout, prepared: map[string]*remote{}}
	s.wire.R, s.wire.W = bufio.NewReaderSize(s, serverRead), bufio.NewWriterSize(s, serverRead)
	if d, ok := ctx.Deadline(); ok {
		s.until = d
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	b, err := s.wire.Read(mostLogin)
	if err == nil {
		g, err = wire.ParseGreeting(b)
	}
	if err != nil {
		s.Close()
		return nil, g, err
	}
	s.thread, s.version = g.ThreadID, g.Version
	return s, g, nil
}

// secure begins TLS with a server, if the operator wants it.
func (t *Transport) secure(ctx context.Context, s *server, g wire.Greeting, l *wire.Login) error {
	if t.cfg.ServerTLS == nil {
		return nil
	}
	if !g.Capabilities.Has(wire.SSL) {
		return errors.New("the server has no TLS")
	}
	l.Capabilities |= wire.SSL
	if err := s.send(l.AppendSSLRequest(nil)); err != nil {
		return err
	}
	cfg := t.cfg.ServerTLS
	if cfg.ServerName == "" && !cfg.InsecureSkipVerify {
		cfg = cfg.Clone()
		cfg.ServerName, _, _ = net.SplitHostPort(s.to.Addr)
	}
	c := tls.Client(s.raw, cfg)
	if err := c.HandshakeContext(ctx); err != nil {
		return err
	}
	s.Conn = c
	return nil
}

func (s *server) send(b []byte) error {
	if err := s.wire.Write(b); err != nil {
		return err
	}
	return s.wire.W.Flush()
}

// login logs in with an account.
func (t *Transport) login(ctx context.Context, to engine.Endpoint, p profile, schema string) (*server, error) {
	ctx, cancel := context.WithTimeout(ctx, loginDials*t.dialTime)
	defer cancel()
	s, g, err := t.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { s.raw.Close() })
	defer stop()
	if err := t.admit(ctx, s, g, p, schema); err != nil {
		s.Close()
		return nil, err
	}
	s.profile, s.said = p, said{schema: schema}
	s.until = time.Time{}
	return s, nil
}

func (t *Transport) admit(ctx context.Context, s *server, g wire.Greeting, p profile, schema string) error {
	if must := p.caps &^ askable; !g.Capabilities.Has(needed | must) {
		return fmt.Errorf("the server's capabilities are %#x, which lack some of %#x", uint32(g.Capabilities), uint32(needed|must))
	}
	a := t.cfg.Account
	l := wire.Login{
		Capabilities: p.caps&g.Capabilities | needed | wire.LongPassword | wire.LongFlag | wire.PluginAuthLenenc, MaxPacket: 1 << 30, Charset: p.charset,
		User: a.User, Plugin: g.Plugin, Schema: schema,
	}
	if schema != "" {
		l.Capabilities |= wire.ConnectWithDB
	}
	if !g.Capabilities.Has(wire.PluginAuthLenenc) {
		l.Capabilities &^= wire.PluginAuthLenenc
	}
	var err error
	if l.AuthResponse, err = wire.AuthResponse(g.Plugin, a.Password, g.Scramble); err != nil {
		l.Plugin = wire.SHA2 // the server will ask for what it wants
		l.AuthResponse, _ = wire.AuthResponse(wire.SHA2, a.Password, g.Scramble)
	}
	if err := t.secure(ctx, s, g, &l); err != nil {
		return err
	}
	if err := s.send(l.Append(nil)); err != nil {
		return err
	}
	return prove(s, l.Plugin, a.Password, g.Scramble, t.cfg.ServerTLS != nil)
}

// prove answers what a server asks until it lets this side in.
func prove(s *server, plugin, password string, scramble []byte, secure bool) error {
	for range mostRounds {
		b, err := s.wire.Read(mostLogin)
		if err != nil {
			return err
		}
		if len(b) == 0 {
			return fmt.Errorf("%w: an empty packet at login", wire.ErrMalformed)
		}
		var answer []byte
		switch {
		case b[0] == 0:
			return nil
		case b[0] == 0xff:
			return wire.ParseError(b, wire.Protocol41)
		case b[0] == 0xfe:
			if plugin, scramble, err = wire.ParseAuthSwitch(b); err != nil {
				return err
			}
			if answer, err = wire.AuthResponse(plugin, password, scramble); err != nil {
				return err
			}
		case b[0] == wire.AuthMoreData && plugin == wire.SHA2 && len(b) == 2 && b[1] == wire.FastAuthSuccess:
			continue
		case b[0] == wire.AuthMoreData && plugin == wire.SHA2 && len(b) == 2 && b[1] == wire.PerformFullAuth:
			if secure {
				answer = append([]byte(password), 0)
				break
			}
			answer = []byte{wire.RequestPublicKey}
		case b[0] == wire.AuthMoreData && plugin == wire.SHA2 && len(b) > 2:
			if answer, err = wire.EncryptPassword(password, scramble, b[1:]); err != nil {
				return err
			}
		default:
			return fmt.Errorf("%w: %#x at login", wire.ErrMalformed, b[0])
		}
		if err := s.send(answer); err != nil {
			return err
		}
	}
	return errors.New("the login does not end")
}

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
	// maxLoginPacket is the maximum size of a packet of the login, in bytes.
	maxLoginPacket = 64 << 10
	// maxLoginPackets is the maximum number of packets that a server may send during a login.
	maxLoginPackets = 10
	// loginTimeoutFactor times the dial timeout limits the whole login to a server. A server that
	// stalls in the login counts as unreachable.
	loginTimeoutFactor = 4
	clientReadBuffer   = 2 << 10 // per client connection, also while it is idle
	serverReadBuffer   = 16 << 10
)

// supportedCapabilities are the capabilities offered to clients. Compression, LOCAL INFILE, query
// attributes and optional result set metadata are not supported.
const supportedCapabilities = wire.LongPassword | wire.FoundRows | wire.LongFlag | wire.ConnectWithDB | wire.IgnoreSpace | wire.Protocol41 |
	wire.Interactive | wire.Transactions | wire.SecureConnection | wire.MultiStatements | wire.MultiResults | wire.PSMultiResults |
	wire.PluginAuth | wire.ConnectAttrs | wire.PluginAuthLenenc | wire.SessionTrack | wire.DeprecateEOF

// requiredCapabilities are the capabilities that a server must have.
const requiredCapabilities = wire.Protocol41 | wire.SecureConnection | wire.PluginAuth | wire.Transactions

// replyCapabilities are the capabilities that change the format or meaning of replies. A server
// connection can only be used for clients that negotiated the same ones.
const replyCapabilities = wire.FoundRows | wire.IgnoreSpace | wire.MultiStatements | wire.MultiResults | wire.PSMultiResults | wire.SessionTrack |
	wire.DeprecateEOF | wire.Interactive

// optionalCapabilities are those replyCapabilities that a server need not support, as they do not
// change the format of replies.
const optionalCapabilities = wire.IgnoreSpace | wire.Interactive

// profile holds the negotiated properties that a server connection must share with the clients that
// it is used for.
type profile struct {
	caps    wire.Capability
	charset byte
}

// serverConn is a connection to a server. It is authenticated, except while a login runs.
type serverConn struct {
	net.Conn
	raw          net.Conn // the TCP connection below TLS, or Conn itself
	endpoint     engine.Endpoint
	release      func()
	peeker       *sockets.Peeker
	wire         wire.Conn
	threadID     uint32
	version      string
	profile      profile
	stallTimeout time.Duration // longest pause of the server if there is no deadline
	deadline     time.Time     // zero: none

	killMu  sync.Mutex // held while a KILL QUERY for the connection runs
	running bool       // a statement runs on the connection
	killed  bool       // a KILL QUERY may take effect late, so the connection is not reused

	applied       sessionState
	insertIDLeft  bool                        // a session may have left its LAST_INSERT_ID()
	prepared      map[string]*remoteStatement // by schema and SQL text
	preparedOrder []string                    // keys of prepared, oldest first
	lastUsed      time.Time                   // when it was last put back; zero: never
}

// sessionState is the session state that was set on a server connection.
type sessionState struct {
	schema   string
	settings string // as returned by settingsKey
	dirty    bool   // the connection may have further state that is not recorded here
}

// remoteStatement is a statement prepared on a server connection.
type remoteStatement struct {
	id     uint32
	params int
	types  string // parameter types of the last execution
}

// Read implements net.Conn. It applies the deadline, or the stall timeout if there is none.
func (s *serverConn) Read(p []byte) (int, error) {
	end := s.deadline
	if end.IsZero() {
		end = time.Now().Add(s.stallTimeout)
	}
	s.Conn.SetReadDeadline(end)
	return s.Conn.Read(p)
}

// Write implements net.Conn. It applies the stall timeout.
func (s *serverConn) Write(p []byte) (int, error) {
	s.Conn.SetWriteDeadline(time.Now().Add(s.stallTimeout))
	return s.Conn.Write(p)
}

// Close closes the connection and returns its descriptor to the budget.
func (s *serverConn) Close() error {
	err := s.raw.Close()
	s.release()
	return err
}

// setRunning records whether a statement runs on the connection. It waits for a KILL QUERY that is
// in progress.
func (s *serverConn) setRunning(running bool) {
	s.killMu.Lock()
	defer s.killMu.Unlock()
	s.running = running
}

// quiescent reports whether there is no unread data and the server has not closed the connection.
func (s *serverConn) quiescent() bool { return s.wire.R.Buffered() == 0 && s.peeker.Empty() }

// dial connects to a server and reads its greeting. The caller logs in.
func (t *Transport) dial(ctx context.Context, to engine.Endpoint) (*serverConn, wire.Greeting, error) {
	var g wire.Greeting
	release, err := t.budget.Acquire(ctx)
	if err != nil {
		return nil, g, err
	}
	c, err := (&net.Dialer{Timeout: t.dialTimeout}).DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		release()
		return nil, g, err
	}
	s := &serverConn{Conn: c, raw: c, endpoint: to, release: release, peeker: sockets.NewPeeker(c), stallTimeout: t.cfg.StallTimeout, prepared: map[string]*remoteStatement{}}
	s.wire.R, s.wire.W = bufio.NewReaderSize(s, serverReadBuffer), bufio.NewWriterSize(s, serverReadBuffer)
	if d, ok := ctx.Deadline(); ok {
		s.deadline = d
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	b, err := s.wire.Read(maxLoginPacket)
	if err == nil {
		g, err = wire.ParseGreeting(b)
	}
	if err != nil {
		s.Close()
		return nil, g, err
	}
	s.threadID, s.version = g.ThreadID, g.Version
	return s, g, nil
}

// startTLS upgrades the connection to TLS if it is configured.
func (t *Transport) startTLS(ctx context.Context, s *serverConn, g wire.Greeting, l *wire.Login) error {
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
		cfg.ServerName, _, _ = net.SplitHostPort(s.endpoint.Addr)
	}
	c := tls.Client(s.raw, cfg)
	if err := c.HandshakeContext(ctx); err != nil {
		return err
	}
	s.Conn = c
	return nil
}

func (s *serverConn) send(b []byte) error {
	if err := s.wire.Write(b); err != nil {
		return err
	}
	return s.wire.W.Flush()
}

// login connects to a server and logs in with the configured account.
func (t *Transport) login(ctx context.Context, to engine.Endpoint, p profile, schema string) (*serverConn, error) {
	ctx, cancel := context.WithTimeout(ctx, loginTimeoutFactor*t.dialTimeout)
	defer cancel()
	s, g, err := t.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { s.raw.Close() })
	defer stop()
	if err := t.authenticate(ctx, s, g, p, schema); err != nil {
		s.Close()
		return nil, err
	}
	s.profile, s.applied = p, sessionState{schema: schema}
	s.deadline = time.Time{}
	return s, nil
}

func (t *Transport) authenticate(ctx context.Context, s *serverConn, g wire.Greeting, p profile, schema string) error {
	if must := p.caps &^ optionalCapabilities; !g.Capabilities.Has(requiredCapabilities | must) {
		return fmt.Errorf("the server's capabilities are %#x, which lack some of %#x", uint32(g.Capabilities), uint32(requiredCapabilities|must))
	}
	a := t.cfg.Account
	l := wire.Login{
		Capabilities: p.caps&g.Capabilities | requiredCapabilities | wire.LongPassword | wire.LongFlag | wire.PluginAuthLenenc, MaxPacket: 1 << 30, Charset: p.charset,
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
		l.Plugin = wire.SHA2 // the server requests a switch to the plugin that it needs
		l.AuthResponse, _ = wire.AuthResponse(wire.SHA2, a.Password, g.Scramble)
	}
	if err := t.startTLS(ctx, s, g, &l); err != nil {
		return err
	}
	if err := s.send(l.Append(nil)); err != nil {
		return err
	}
	return answerAuthRequests(s, l.Plugin, a.Password, g.Scramble, t.cfg.ServerTLS != nil)
}

// answerAuthRequests answers the server's authentication requests until it accepts the login.
func answerAuthRequests(s *serverConn, plugin, password string, scramble []byte, secure bool) error {
	for range maxLoginPackets {
		b, err := s.wire.Read(maxLoginPacket)
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

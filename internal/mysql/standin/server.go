package standin

import (
	"bufio"
	"crypto/rand"
	"crypto/rsa"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quillfront/internal/mysql/wire"
)

// Fault is what goes wrong with one statement.
type Fault struct {
	CloseBefore   bool          // the server breaks off before it runs
	CloseDuring   bool          // in the middle: nothing that is not committed yet stays
	CloseAfter    bool          // once it has run, without a reply
	CutAfterBytes int           // once it has run, behind so many bytes of the reply; 0: not
	Delay         time.Duration // before it runs
	NoReply       bool          // it runs, and nothing is ever said
	RawReply      []byte        // what is sent in place of the reply, raw
	TrailingBytes []byte        // what is sent behind the reply, raw
}

// Config is what one server is like.
type Config struct {
	Name                 string
	Database             *Database
	Users                map[string]string // passwords by user
	Plugin               string            // by which proofs are asked for at first; wire.SHA2
	AlwaysFullAuth       bool              // it asks for the whole password each time, as a server that remembers none does
	TLS                  *tls.Config       // nil: none is offered
	DisabledCapabilities wire.Capability   // that it does not have
	// Fault says what goes wrong with a statement; nil: nothing does.
	Fault func(sql string) Fault
	// RawGreeting, if set, is what a client is sent in place of a greeting, raw; the server then says nothing more.
	RawGreeting []byte
}

// Server is one server.
type Server struct {
	cfg  Config
	ln   net.Listener
	key  *rsa.PrivateKey
	work sync.WaitGroup

	mu       sync.Mutex
	sessions map[uint32]*session
	cached   map[string]bool
	closed   bool
	last     uint32

	Conns             atomic.Int64 // that have come
	Statements        atomic.Int64 // that have come
	TransactionsBegun atomic.Int64 // transactions
	QueriesKilled     atomic.Int64 // statements by KILL QUERY
	Resets            atomic.Int64 // COM_RESET_CONNECTION
	Prepares          atomic.Int64
}

var theKey = sync.OnceValue(func() *rsa.PrivateKey {
	key, err := rsa.GenerateKey(rand.Reader, 2048)
	if err != nil {
		panic(err)
	}
	return key
})

// Start starts a server.
func Start(cfg Config) (*Server, error) {
	if cfg.Plugin == "" {
		cfg.Plugin = wire.SHA2
	}
	if cfg.Database == nil {
		cfg.Database = NewDatabase()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	s := &Server{cfg: cfg, ln: ln, key: theKey(), sessions: map[uint32]*session{}, cached: map[string]bool{}}
	s.work.Go(s.accept)
	return s, nil
}

// Addr returns where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close ends the server at once, and with it all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.ln.Close()
	for _, c := range s.sessions {
		c.hangUp()
	}
	s.mu.Unlock()
	s.work.Wait()
}

// Sessions returns how many connections are open, and in how many of them a transaction is.
func (s *Server) Sessions() (open, inTx int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		if c.status.Load()&uint32(wire.InTransaction) != 0 {
			inTx++
		}
	}
	return len(s.sessions), inTx
}

// ResetConnections resets all connections; the server goes on.
func (s *Server) ResetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		c.hangUp()
	}
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.Conns.Add(1)
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			c.Close()
			return
		}
		s.last++
		n := &session{server: s, id: s.last, c: c, killed: make(chan struct{}, 1), statements: map[uint32]*prepared{}}
		n.reset()
		s.sessions[n.id] = n
		s.mu.Unlock()
		s.work.Go(func() {
			defer func() {
				s.mu.Lock()
				delete(s.sessions, n.id)
				s.mu.Unlock()
				n.hangUp()
			}()
			n.wire(n.c)
			if n.login() == nil {
				n.serve()
			}
		})
	}
}

// has is what the server can do.
func (s *Server) has() wire.Capability {
	c := wire.LongPassword | wire.FoundRows | wire.LongFlag | wire.ConnectWithDB | wire.LocalFiles | wire.Protocol41 | wire.Transactions |
		wire.SecureConnection | wire.MultiStatements | wire.MultiResults | wire.PSMultiResults | wire.PluginAuth | wire.ConnectAttrs |
		wire.PluginAuthLenenc | wire.SessionTrack | wire.DeprecateEOF
	if s.cfg.TLS != nil {
		c |= wire.SSL
	}
	return c &^ s.cfg.DisabledCapabilities
}

// session is one connection.
type session struct {
	server *Server
	id     uint32
	c      net.Conn
	raw    net.Conn // under TLS; nil without
	w      wire.Conn
	caps   wire.Capability
	user   string
	killed chan struct{} // its statement is to end
	status atomic.Uint32

	schema     string
	variables  map[string]string
	temporary  map[string]bool
	changes    []change
	insertID   uint64
	warnings   int
	statements map[uint32]*prepared
	next       uint32
	room       *cutter
}

// hangUp resets the connection.
func (n *session) hangUp() {
	c := n.c
	if n.raw != nil {
		c = n.raw
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// cutter breaks a connection off behind some bytes.
type cutter struct {
	net.Conn
	left int // -1: it does not
}

var errCut = errors.New("cut")

func (c *cutter) Write(b []byte) (int, error) {
	if c.left >= 0 && len(b) >= c.left {
		c.Conn.Write(b[:c.left])
		return c.left, errCut
	}
	if c.left >= 0 {
		c.left -= len(b)
	}
	return c.Conn.Write(b)
}

func (n *session) wire(c net.Conn) {
	n.room = &cutter{c, -1}
	n.w.R, n.w.W = bufio.NewReader(c), bufio.NewWriter(n.room)
}

func (n *session) reset() {
	n.variables, n.temporary, n.changes = map[string]string{}, map[string]bool{}, nil
	n.insertID, n.warnings = 0, 0
	n.statements = map[uint32]*prepared{}
	n.status.Store(uint32(wire.Autocommit))
}

func (n *session) send(b []byte) error {
	if err := n.w.Write(b); err != nil {
		return err
	}
	return n.w.W.Flush()
}

// login lets a client in.
func (n *session) login() error {
	s := n.server
	if s.cfg.RawGreeting != nil {
		n.c.Write(s.cfg.RawGreeting)
		n.w.R.ReadByte()
		return errCut
	}
	scramble := wire.NewScramble()
	g := wire.Greeting{
		Version: "8.4.0-" + s.cfg.Name, ThreadID: n.id, Scramble: scramble, Capabilities: s.has(), Charset: 45, Status: wire.Autocommit,
		Plugin: s.cfg.Plugin,
	}
	if err := n.send(g.Append(nil)); err != nil {
		return err
	}
	b, err := n.w.Read(1 << 16)
	if err != nil {
		return err
	}
	if wire.IsSSLRequest(b) && s.cfg.TLS != nil {
		early, _ := n.w.R.Peek(n.w.R.Buffered()) // of TLS: a client need not wait
		c := tls.Server(wire.PrefixConn(early, n.c), s.cfg.TLS)
		n.raw, n.c = n.c, c
		seq := n.w.Sequence()
		n.wire(c)
		n.w.SetSequence(seq)
		if b, err = n.w.Read(1 << 16); err != nil {
			return err
		}
	}
	l, err := wire.ParseLogin(b)
	if err != nil {
		n.send(wire.ProtocolError(err).Append(nil))
		return err
	}
	n.caps = l.Capabilities & s.has()
	n.schema = l.Schema
	return n.prove(l.User, l.Plugin, l.AuthResponse, scramble)
}

// prove asks for the proof of a password until there is one.
func (n *session) prove(user, plugin string, proof, scramble []byte) error {
	s := n.server
	password, known := s.cfg.Users[user]
	k := wire.NewPasswordHashes(password)
	deny := func() error {
		e := wire.AccessDenied(user)
		n.send(e.Append(nil))
		return e
	}
	if plugin != s.cfg.Plugin {
		scramble, plugin = wire.NewScramble(), s.cfg.Plugin
		if err := n.send(wire.AppendAuthSwitch(nil, plugin, scramble)); err != nil {
			return err
		}
		var err error
		if proof, err = n.w.Read(1 << 16); err != nil {
			return err
		}
	}
	s.mu.Lock()
	fast := s.cached[user] && !s.cfg.AlwaysFullAuth
	s.mu.Unlock()
	switch {
	case plugin == wire.SHA2 && len(proof) > 0 && !fast:
		n.send([]byte{wire.AuthMoreData, wire.PerformFullAuth})
		b, err := n.w.Read(1 << 16)
		if err != nil {
			return err
		}
		if n.raw == nil && len(b) == 1 && b[0] == wire.RequestPublicKey {
			key, err := wire.PublicKeyPEM(s.key)
			if err != nil {
				return err
			}
			n.send(append([]byte{wire.AuthMoreData}, key...))
			if b, err = n.w.Read(1 << 16); err != nil {
				return err
			}
			text, err := wire.DecryptPassword(b, scramble, s.key)
			if err != nil || !known || text != password {
				return deny()
			}
		} else if n.raw == nil || !known || string(b) != password+"\x00" {
			return deny()
		}
		s.mu.Lock()
		s.cached[user] = true
		s.mu.Unlock()
	case !known || !k.VerifyResponse(plugin, proof, scramble):
		return deny()
	case plugin == wire.SHA2 && len(proof) > 0:
		n.send([]byte{wire.AuthMoreData, wire.FastAuthSuccess})
	}
	n.user = user
	return n.ok(0)
}

func (n *session) flags() wire.Status { return wire.Status(n.status.Load()) }

// ok sends an OK.
func (n *session) ok(affected uint64) error {
	o := wire.OK{AffectedRows: affected, LastInsertID: n.insertIDOnce(affected), Status: n.flags(), Warnings: uint16(n.warnings)}
	return n.send(o.Append(nil, 0, n.caps))
}

func (n *session) insertIDOnce(affected uint64) uint64 {
	if affected == 0 {
		return 0
	}
	return n.insertID
}

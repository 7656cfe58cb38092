package proxy

import (
	"crypto/tls"
	"errors"

	"quillfront/internal/connlimit"
	"quillfront/internal/engine"
	"quillfront/internal/mysql/session"
	"quillfront/internal/mysql/wire"
	"quillfront/policy"
)

// login runs the login of the client. If the login is rejected, the client has been told why.
func (s *clientSession) login() error {
	if s.frontend.cfg.Auth == AuthPassThrough {
		return s.passThroughLogin()
	}
	c := s.frontend.cfg
	g := wire.Greeting{
		Version: version, ThreadID: s.id, Scramble: wire.NewScramble(), Capabilities: supportedCapabilities, Charset: 45, Status: wire.Autocommit, Plugin: c.Plugin,
	}
	l, err := s.greet(g)
	if err != nil {
		return err
	}
	s.caps, s.charset = l.Capabilities&g.Capabilities, l.Charset
	if err := s.authenticate(l.User, l.Plugin, l.AuthResponse, g.Scramble, l.Schema); err != nil {
		return err
	}
	s.state = session.New(l.Schema, s.charset)
	return s.sendOK()
}

// greet sends a greeting and returns the client's login. It upgrades the connection to TLS if the
// client requests it.
func (s *clientSession) greet(g wire.Greeting) (wire.Login, error) {
	if s.frontend.cfg.TLS != nil {
		g.Capabilities |= wire.SSL
	}
	if err := s.send(g.Append(nil)); err != nil {
		return wire.Login{}, err
	}
	b, err := s.wire.Read(maxLoginPacket)
	if err != nil {
		return wire.Login{}, s.rejectLogin(err)
	}
	if wire.IsSSLRequest(b) && s.frontend.cfg.TLS != nil {
		early, _ := s.wire.R.Peek(s.wire.R.Buffered())
		c := tls.Server(wire.PrefixConn(early, s.raw), s.frontend.cfg.TLS)
		if err := c.HandshakeContext(s.frontend.acceptor.Context()); err != nil {
			return wire.Login{}, err
		}
		s.conn = c
		s.wire.R.Reset(c)
		if b, err = s.wire.Read(maxLoginPacket); err != nil {
			return wire.Login{}, s.rejectLogin(err)
		}
	}
	l, err := wire.ParseLogin(b)
	if err != nil {
		return l, s.rejectLogin(err)
	}
	return l, nil
}

func (s *clientSession) rejectLogin(err error) error {
	if errors.Is(err, wire.ErrMalformed) || errors.Is(err, wire.ErrSequence) || errors.Is(err, wire.ErrTooLarge) || errors.Is(err, wire.ErrOldClient) {
		s.sendError(wire.ProtocolError(err))
	}
	return errSessionEnded
}

func (s *clientSession) denyAccess(user string) error {
	s.sendError(wire.AccessDenied(user))
	return errSessionEnded
}

// authenticate verifies the client's password and checks its connection limit and its access to
// schema.
func (s *clientSession) authenticate(name, plugin string, proof, scramble []byte, schema string) error {
	u, k, fast, known := s.frontend.users.find(name)
	want := s.frontend.cfg.Plugin
	if plugin != want {
		scramble = wire.NewScramble()
		if err := s.send(wire.AppendAuthSwitch(nil, want, scramble)); err != nil {
			return err
		}
		var err error
		if proof, err = s.wire.Read(maxLoginPacket); err != nil {
			return s.rejectLogin(err)
		}
	}
	switch {
	case fast && (!known || !k.VerifyResponse(want, proof, scramble)):
		// The fast check also fails when a salted password has been changed. The client is then
		// asked for the password itself.
		if !known || u.SaltedHash == "" {
			return s.denyAccess(name)
		}
		fallthrough
	case !fast:
		ok, err := s.verifyFullPassword(known, u, scramble, len(proof) == 0)
		if err != nil {
			return err
		}
		if !ok {
			return s.denyAccess(name)
		}
	case want == wire.SHA2 && len(proof) > 0:
		if err := s.send([]byte{wire.AuthMoreData, wire.FastAuthSuccess}); err != nil {
			return err
		}
	}
	if why := s.slot.SetUser(name); why != connlimit.Admitted {
		s.sendError(&wire.Error{Code: 1203, State: "42000", Message: why.String()})
		return errSessionEnded
	}
	if !u.mayUse(schema) {
		s.sendError(&wire.Error{Code: 1044, State: "42000", Message: "Access denied to this schema"})
		return errSessionEnded
	}
	s.setUser(u)
	return nil
}

// verifyFullPassword asks the client for the password itself and verifies it. The password is sent
// in clear text over TLS and RSA-encrypted otherwise. Unknown users are asked as well, if any user
// is, so that the exchange does not reveal which users exist.
func (s *clientSession) verifyFullPassword(known bool, u User, scramble []byte, empty bool) (bool, error) {
	if empty || s.frontend.cfg.Plugin != wire.SHA2 {
		return false, nil
	}
	if err := s.send([]byte{wire.AuthMoreData, wire.PerformFullAuth}); err != nil {
		return false, err
	}
	b, err := s.wire.Read(maxLoginPacket)
	if err != nil {
		return false, s.rejectLogin(err)
	}
	password := ""
	if s.conn != s.raw {
		if len(b) == 0 || b[len(b)-1] != 0 {
			return false, s.rejectLogin(wire.ErrMalformed)
		}
		password = string(b[:len(b)-1])
	} else {
		if len(b) != 1 || b[0] != wire.RequestPublicKey {
			return false, s.rejectLogin(wire.ErrMalformed)
		}
		key, err := passwordKey()
		if err != nil {
			return false, err
		}
		text, err := wire.PublicKeyPEM(key)
		if err != nil {
			return false, err
		}
		if err := s.send(append([]byte{wire.AuthMoreData}, text...)); err != nil {
			return false, err
		}
		if b, err = s.wire.Read(maxLoginPacket); err != nil {
			return false, s.rejectLogin(err)
		}
		if password, err = wire.DecryptPassword(b, scramble, key); err != nil {
			return false, nil
		}
	}
	return known && s.frontend.users.verifyPassword(u, password), nil
}

// passThroughLogin lets the engine pick a server for the client and relays the login between them.
func (s *clientSession) passThroughLogin() error {
	f := s.frontend
	st := &session.Statement{Verb: "connect", ReadOnly: true}
	s.state = session.New("", 45) // classify reads the schema
	name, wait := s.classify(st, 0)
	s.state = nil
	r := &engine.Request{Class: name, Timeout: wait, Payload: &job{passThrough: true, read: true}}
	if err := f.pool.Submit(r, f.pool.Now()); err != nil {
		s.sendError(wire.ConnectionClosing("the proxy is ending"))
		return errSessionEnded
	}
	result, ok := s.awaitResult(r)
	if !ok {
		return errSessionEnded
	}
	if result.Kind != engine.Served {
		e := wire.TooManyConnections("no server can take a connection now")
		s.sendError(e)
		return errSessionEnded
	}
	x := result.Reply.(*exchange)
	err := s.relayLogin(x)
	if err != nil {
		x.Close()
		x.finish(policy.OK)
		return errSessionEnded
	}
	s.current, s.dedicated = x, true
	s.bound.Store(true)
	return nil
}

// relayLogin relays the login with the server's own scramble. The proxy therefore needs neither the
// password nor a hash of it.
func (s *clientSession) relayLogin(x *exchange) error {
	g := x.greeting
	if !g.Capabilities.Has(requiredCapabilities) {
		s.sendError(wire.ConnectionClosing("the server is too old"))
		return errSessionEnded
	}
	g.ThreadID = s.id
	g.Capabilities &= supportedCapabilities
	l, err := s.greet(g)
	if err != nil {
		return err
	}
	if (s.conn == s.raw) != (s.frontend.cfg.ServerTLS == nil) {
		s.sendError(&wire.Error{Code: 3159, State: "HY000", Message: "Connections using insecure transport are prohibited"})
		return errSessionEnded
	}
	l.Capabilities &= g.Capabilities
	s.caps, s.charset = l.Capabilities, l.Charset
	if why := s.slot.SetUser(l.User); why != connlimit.Admitted {
		s.sendError(&wire.Error{Code: 1203, State: "42000", Message: why.String()})
		return errSessionEnded
	}
	if err := s.frontend.transport.startTLS(s.frontend.acceptor.Context(), x.serverConn, x.greeting, &l); err != nil {
		s.sendError(wire.ConnectionClosing("no TLS with the server"))
		return err
	}
	if err := x.send(l.Append(nil)); err != nil {
		return err
	}
	x.profile, x.applied.schema = profile{s.caps & replyCapabilities, s.charset}, l.Schema
	if err := s.relayAuthExchange(x); err != nil {
		return err
	}
	s.setUser(User{Name: l.User})
	s.state = session.New(l.Schema, s.charset)
	return nil
}

// relayAuthExchange relays authentication packets until the server accepts the client.
func (s *clientSession) relayAuthExchange(x *exchange) error {
	for range maxLoginPackets {
		b, err := x.wire.Read(maxLoginPacket)
		if err != nil {
			s.sendError(wire.ConnectionClosing("the server went"))
			return err
		}
		if err := s.send(b); err != nil {
			return err
		}
		switch {
		case len(b) == 0:
			return errSessionEnded
		case b[0] == 0:
			return nil
		case b[0] == 0xff:
			return errSessionEnded
		case b[0] == wire.AuthMoreData && len(b) == 2 && b[1] == wire.FastAuthSuccess:
			continue
		}
		if b, err = s.wire.Read(maxLoginPacket); err != nil {
			return err
		}
		if err := x.send(b); err != nil {
			return err
		}
	}
	return errSessionEnded
}

// changeUser answers COM_CHANGE_USER.
func (s *clientSession) changeUser(b []byte) error {
	u, err := wire.ParseUserChange(b, s.caps)
	if err != nil {
		return s.rejectCommand(err)
	}
	if s.dedicated {
		return s.passThroughChangeUser(b, u)
	}
	s.resetSession("")
	if u.Charset != 0 {
		s.charset = u.Charset
	}
	// The proof in the command is for a scramble that was already used, so the client is asked for
	// a proof of a new one.
	scramble := wire.NewScramble()
	if err := s.send(wire.AppendAuthSwitch(nil, s.frontend.cfg.Plugin, scramble)); err != nil {
		return err
	}
	proof, err := s.wire.Read(maxLoginPacket)
	if err != nil {
		return s.rejectLogin(err)
	}
	if err := s.authenticate(u.User, s.frontend.cfg.Plugin, proof, scramble, u.Schema); err != nil {
		return err
	}
	s.state = session.New(u.Schema, s.charset)
	return s.sendOK()
}

// passThroughChangeUser relays COM_CHANGE_USER to the session's server.
func (s *clientSession) passThroughChangeUser(b []byte, u wire.UserChange) error {
	if why := s.slot.SetUser(u.User); why != connlimit.Admitted {
		s.sendError(&wire.Error{Code: 1203, State: "42000", Message: why.String()})
		return errSessionEnded
	}
	x := s.current
	x.wire.Reset()
	if err := x.send(b); err != nil {
		return err
	}
	if err := s.relayAuthExchange(x); err != nil {
		return err
	}
	s.setUser(User{Name: u.User})
	s.state = session.New(u.Schema, s.charset)
	s.statements, s.preparedBytes = map[uint32]*preparedStatement{}, 0
	x.prepared, x.preparedOrder = map[string]*remoteStatement{}, nil
	return nil
}

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

// login lets the client in, or tells it why not.
func (s *client) login() error {
	if s.f.cfg.Auth == AuthPassThrough {
		return s.passLogin()
	}
	c := s.f.cfg
	g := wire.Greeting{
		Version: version, ThreadID: s.id, Scramble: wire.NewScramble(), Capabilities: carried, Charset: 45, Status: wire.Autocommit, Plugin: c.Plugin,
	}
	l, err := s.greet(g)
	if err != nil {
		return err
	}
	s.caps, s.charset = l.Capabilities&g.Capabilities, l.Charset
	if err := s.proved(l.User, l.Plugin, l.AuthResponse, g.Scramble, l.Schema); err != nil {
		return err
	}
	s.state = session.New(l.Schema, s.charset)
	return s.ok()
}

// greet sends a greeting, and returns the client's login, over TLS if it asks for it.
func (s *client) greet(g wire.Greeting) (wire.Login, error) {
	if s.f.cfg.TLS != nil {
		g.Capabilities |= wire.SSL
	}
	if err := s.send(g.Append(nil)); err != nil {
		return wire.Login{}, err
	}
	b, err := s.wire.Read(mostLogin)
	if err != nil {
		return wire.Login{}, s.misread(err)
	}
	if wire.IsSSLRequest(b) && s.f.cfg.TLS != nil {
		early, _ := s.wire.R.Peek(s.wire.R.Buffered())
		c := tls.Server(wire.PrefixConn(early, s.raw), s.f.cfg.TLS)
		if err := c.HandshakeContext(s.f.door.Context()); err != nil {
			return wire.Login{}, err
		}
		s.conn = c
		s.wire.R.Reset(c)
		if b, err = s.wire.Read(mostLogin); err != nil {
			return wire.Login{}, s.misread(err)
		}
	}
	l, err := wire.ParseLogin(b)
	if err != nil {
		return l, s.misread(err)
	}
	return l, nil
}

func (s *client) misread(err error) error {
	if errors.Is(err, wire.ErrMalformed) || errors.Is(err, wire.ErrSequence) || errors.Is(err, wire.ErrTooLarge) || errors.Is(err, wire.ErrOldClient) {
		s.fail(wire.ProtocolError(err))
	}
	return errEnd
}

func (s *client) deny(user string) error {
	s.fail(wire.AccessDenied(user))
	return errEnd
}

// proved checks that the client is who it says, and may do what it wants.
func (s *client) proved(name, plugin string, proof, scramble []byte, schema string) error {
	u, k, fast, known := s.f.users.find(name)
	want := s.f.cfg.Plugin
	if plugin != want {
		scramble = wire.NewScramble()
		if err := s.send(wire.AppendAuthSwitch(nil, want, scramble)); err != nil {
			return err
		}
		var err error
		if proof, err = s.wire.Read(mostLogin); err != nil {
			return s.misread(err)
		}
	}
	switch {
	case fast && (!known || !k.VerifyResponse(want, proof, scramble)):
		// A salted password that was changed is asked for in full.
		if !known || u.SaltedHash == "" {
			return s.deny(name)
		}
		fallthrough
	case !fast:
		ok, err := s.full(known, u, scramble, len(proof) == 0)
		if err != nil {
			return err
		}
		if !ok {
			return s.deny(name)
		}
	case want == wire.SHA2 && len(proof) > 0:
		if err := s.send([]byte{wire.AuthMoreData, wire.FastAuthSuccess}); err != nil {
			return err
		}
	}
	if why := s.guest.SetUser(name); why != connlimit.Admitted {
		s.fail(&wire.Error{Code: 1203, State: "42000", Message: why.String()})
		return errEnd
	}
	if !u.mayUse(schema) {
		s.fail(&wire.Error{Code: 1044, State: "42000", Message: "Access denied to this schema"})
		return errEnd
	}
	s.is(u)
	return nil
}

// full asks for the password itself: through TLS as it is, else encrypted. Where some are asked so, those who are not known are too.
func (s *client) full(known bool, u User, scramble []byte, empty bool) (bool, error) {
	if empty || s.f.cfg.Plugin != wire.SHA2 {
		return false, nil
	}
	if err := s.send([]byte{wire.AuthMoreData, wire.PerformFullAuth}); err != nil {
		return false, err
	}
	b, err := s.wire.Read(mostLogin)
	if err != nil {
		return false, s.misread(err)
	}
	password := ""
	if s.conn != s.raw {
		if len(b) == 0 || b[len(b)-1] != 0 {
			return false, s.misread(wire.ErrMalformed)
		}
		password = string(b[:len(b)-1])
	} else {
		if len(b) != 1 || b[0] != wire.RequestPublicKey {
			return false, s.misread(wire.ErrMalformed)
		}
		key, err := theKey()
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
		if b, err = s.wire.Read(mostLogin); err != nil {
			return false, s.misread(err)
		}
		if password, err = wire.DecryptPassword(b, scramble, key); err != nil {
			return false, nil
		}
	}
	return known && s.f.users.full(u, password), nil
}

// passLogin has a server picked for the client, and passes the login on between them.
func (s *client) passLogin() error {
	f := s.f
	st := &session.Statement{Verb: "connect", ReadOnly: true}
	s.state = session.New("", 45) // for its class
	name, wait := s.class(st, 0)
	s.state = nil
	r := &engine.Request{Class: name, Timeout: wait, Payload: &job{open: true, read: true}}
	if err := f.pool.Submit(r, f.pool.Now()); err != nil {
		s.fail(wire.ConnectionClosing("the proxy is ending"))
		return errEnd
	}
	result, ok := s.await(r)
	if !ok {
		return errEnd
	}
	if result.Kind != engine.Served {
		e := wire.TooManyConnections("no server can take a connection now")
		s.fail(e)
		return errEnd
	}
	x := result.Reply.(*exchange)
	err := s.between(x)
	if err != nil {
		x.Close()
		x.end(policy.OK)
		return errEnd
	}
	s.x, s.forever = x, true
	s.bound.Store(true)
	return nil
}

// between passes the login on, with the server's own scramble, so that neither proof nor password is known here.
func (s *client) between(x *exchange) error {
	g := x.hello
	if !g.Capabilities.Has(needed) {
		s.fail(wire.ConnectionClosing("the server is too old"))
		return errEnd
	}
	g.ThreadID = s.id
	g.Capabilities &= carried
	l, err := s.greet(g)
	if err != nil {
		return err
	}
	if (s.conn == s.raw) != (s.f.cfg.ServerTLS == nil) {
		s.fail(&wire.Error{Code: 3159, State: "HY000", Message: "Connections using insecure transport are prohibited"})
		return errEnd
	}
	l.Capabilities &= g.Capabilities
	s.caps, s.charset = l.Capabilities, l.Charset
	if why := s.guest.SetUser(l.User); why != connlimit.Admitted {
		s.fail(&wire.Error{Code: 1203, State: "42000", Message: why.String()})
		return errEnd
	}
	if err := s.f.transport.secure(s.f.door.Context(), x.server, x.hello, &l); err != nil {
		s.fail(wire.ConnectionClosing("no TLS with the server"))
		return err
	}
	if err := x.send(l.Append(nil)); err != nil {
		return err
	}
	x.profile, x.said.schema = profile{s.caps & shaping, s.charset}, l.Schema
	if err := s.prove(x); err != nil {
		return err
	}
	s.is(User{Name: l.User})
	s.state = session.New(l.Schema, s.charset)
	return nil
}

// prove passes the messages of a login on until the server lets the client in.
func (s *client) prove(x *exchange) error {
	for range mostRounds {
		b, err := x.wire.Read(mostLogin)
		if err != nil {
			s.fail(wire.ConnectionClosing("the server went"))
			return err
		}
		if err := s.send(b); err != nil {
			return err
		}
		switch {
		case len(b) == 0:
			return errEnd
		case b[0] == 0:
			return nil
		case b[0] == 0xff:
			return errEnd
		case b[0] == wire.AuthMoreData && len(b) == 2 && b[1] == wire.FastAuthSuccess:
			continue
		}
		if b, err = s.wire.Read(mostLogin); err != nil {
			return err
		}
		if err := x.send(b); err != nil {
			return err
		}
	}
	return errEnd
}

// changeUser answers COM_CHANGE_USER.
func (s *client) changeUser(b []byte) error {
	u, err := wire.ParseUserChange(b, s.caps)
	if err != nil {
		return s.unread(err)
	}
	if s.forever {
		return s.passChange(b, u)
	}
	s.begin("")
	if u.Charset != 0 {
		s.charset = u.Charset
	}
	// Its proof is of a scramble that has been used: it is asked for another.
	scramble := wire.NewScramble()
	if err := s.send(wire.AppendAuthSwitch(nil, s.f.cfg.Plugin, scramble)); err != nil {
		return err
	}
	proof, err := s.wire.Read(mostLogin)
	if err != nil {
		return s.misread(err)
	}
	if err := s.proved(u.User, s.f.cfg.Plugin, proof, scramble, u.Schema); err != nil {
		return err
	}
	s.state = session.New(u.Schema, s.charset)
	return s.ok()
}

// passChange passes a change of user on to the session's server.
func (s *client) passChange(b []byte, u wire.UserChange) error {
	if why := s.guest.SetUser(u.User); why != connlimit.Admitted {
		s.fail(&wire.Error{Code: 1203, State: "42000", Message: why.String()})
		return errEnd
	}
	x := s.x
	x.wire.Reset()
	if err := x.send(b); err != nil {
		return err
	}
	if err := s.prove(x); err != nil {
		return err
	}
	s.is(User{Name: u.User})
	s.state = session.New(u.Schema, s.charset)
	s.statements, s.text = map[uint32]*prepared{}, 0
	x.prepared, x.order = map[string]*remote{}, nil
	return nil
}

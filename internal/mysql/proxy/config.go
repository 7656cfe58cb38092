// Package proxy takes MySQL clients and passes their statements on: a front that listens, keeps their sessions and asks the decision
// module for a server for each statement that may run anywhere, and a transport that keeps the connections to the servers. What a
// session means for where a statement may run is decided in package session.
package proxy

import (
	"cmp"
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"quillfront/internal/connlimit"
	"quillfront/internal/mysql/wire"
)

// Auth says who looks at clients' credentials.
type Auth int

// The ways.
const (
	// AuthUsers are checked here, and servers are reached with an account of the operator's: connections to them serve many clients.
	AuthUsers Auth = iota
	// AuthPassThrough has the server check them: a client has one connection to one server for its whole life.
	AuthPassThrough
)

// Config is a MySQL service. Zero values take their defaults.
type Config struct {
	Name   string
	Listen string // host:port
	Pool   string

	Auth    Auth
	Plugin  string // with Users: by which clients are asked to prove their passwords; caching_sha2_password
	Users   []User // with Users
	Account Account

	TLS       *tls.Config // offered to clients; nil: none
	ServerTLS *tls.Config // with servers; nil: none

	Rules        []Rule // what class a statement is of; the first that matches holds
	DefaultClass string // the class of those that no rule matches
	Hints        bool   // a comment in a statement may name its class, key and timeout

	MaxStatementSize  int           // bytes of a statement; 16 MiB
	StatementMemory   int64         // bytes of all statements under way that are over 64 KiB; 64 MiB
	StallTimeout      time.Duration // how long a peer may take nothing, or pause within a message; 30 s
	IdleTimeout       time.Duration // how long a client may say nothing; 8 h
	LoginTimeout      time.Duration // how long it may take to log in; 10 s
	HoldTimeout       time.Duration // how long a connection is kept for what a statement has left on it; 1 s
	DrainTimeout      time.Duration // how long a transaction may stay at a server that takes nothing new; 10 s
	ShutdownTimeout   time.Duration // how long sessions may go on once this process is to end; 10 s
	MaxIdlePerServer  int           // idle connections kept to each server; 32
	MaxConnsPerServer int           // connections in use at each server; one more is tried elsewhere, or refused; 0: no bound

	// LoadQuery asks a server for its load: the last value of its first row is the queue. Empty: this process's own statements at it
	// are.
	LoadQuery string

	ConnLimits connlimit.Limits
}

// Account is how servers are reached with Users.
type Account struct{ User, Password string }

// User is somebody who may log in.
type User struct {
	Name     string
	Password wire.PasswordHashes
	// SaltedHash, in place of Password, is a hash that takes the password itself to check: "pbkdf2$rounds$salt$hash", in hex.
	SaltedHash string
	Schemas    []string // that it may choose; nil: all
}

// Rule says what class some statements are of. An empty field matches all.
type Rule struct {
	User, Schema string
	Verb         string // the statement's first word, in lower case
	Class        string
}

// WithDefaults returns c with its defaults.
func (c Config) WithDefaults() Config {
	c.Plugin = cmp.Or(c.Plugin, wire.SHA2)
	c.MaxStatementSize, c.StatementMemory = cmp.Or(c.MaxStatementSize, 16<<20), cmp.Or(c.StatementMemory, 64<<20)
	c.StallTimeout, c.IdleTimeout, c.LoginTimeout = cmp.Or(c.StallTimeout, 30*time.Second), cmp.Or(c.IdleTimeout, 8*time.Hour), cmp.Or(c.LoginTimeout, 10*time.Second)
	c.HoldTimeout, c.DrainTimeout, c.ShutdownTimeout = cmp.Or(c.HoldTimeout, time.Second), cmp.Or(c.DrainTimeout, 10*time.Second), cmp.Or(c.ShutdownTimeout, 10*time.Second)
	c.MaxIdlePerServer = cmp.Or(c.MaxIdlePerServer, 32)
	return c
}

// Check tells the first key that cannot be used. class tells whether the pool has a class of that name.
func (c Config) Check(class func(string) bool) error {
	d := c.WithDefaults()
	switch {
	case c.Name == "":
		return errors.New("name: not set")
	case c.Listen == "":
		return errors.New("listen: not set")
	case !class(c.DefaultClass):
		return fmt.Errorf("class: the pool has no class %q", c.DefaultClass)
	case d.Plugin != wire.Native && d.Plugin != wire.SHA2:
		return fmt.Errorf("plugin: %q is neither %s nor %s", c.Plugin, wire.Native, wire.SHA2)
	case c.Auth == AuthUsers && len(c.Users) == 0:
		return errors.New("users: none are there")
	case c.Auth == AuthUsers && c.Account.User == "":
		return errors.New("account: not set")
	case c.Auth == AuthPassThrough && len(c.Users) > 0:
		return errors.New("users: they are not looked at with auth \"pass\"")
	case c.Auth == AuthPassThrough && (c.TLS == nil) != (c.ServerTLS == nil):
		return errors.New("tls: with auth \"pass\" both sides or neither: a password sent through one of them alone would be refused or laid open")
	case c.Auth == AuthPassThrough && c.LoadQuery != "" && c.Account.User == "":
		return errors.New("load_query: it takes an account")
	case d.MaxStatementSize < 1<<10 || d.MaxStatementSize > 1<<30:
		return fmt.Errorf("most_statement: %d is outside 1 KiB to 1 GiB", c.MaxStatementSize)
	case d.StatementMemory < int64(d.MaxStatementSize):
		return fmt.Errorf("memory: %d is below most_statement, which is %d", d.StatementMemory, d.MaxStatementSize)
	case c.MaxConnsPerServer < 0:
		return fmt.Errorf("most_per_server: %d is below 0", c.MaxConnsPerServer)
	case c.MaxIdlePerServer < 0:
		return fmt.Errorf("idle_pool: %d is below 0", c.MaxIdlePerServer)
	}
	for _, v := range []struct {
		key string
		d   time.Duration
	}{{"stall", c.StallTimeout}, {"idle", c.IdleTimeout}, {"login", c.LoginTimeout}, {"hold", c.HoldTimeout}, {"drain", c.DrainTimeout}, {"patience", c.ShutdownTimeout}} {
		if v.d < 0 {
			return fmt.Errorf("%s: %v is negative", v.key, v.d)
		}
	}
	seen := map[string]bool{}
	for _, u := range c.Users {
		if u.Name == "" {
			return errors.New("users: one has no name")
		}
		if seen[u.Name] {
			return fmt.Errorf("users: %q is there twice", u.Name)
		}
		seen[u.Name] = true
		if u.SaltedHash != "" {
			if _, err := parseSalted(u.SaltedHash); err != nil {
				return fmt.Errorf("users: %q: %w", u.Name, err)
			}
			if d.Plugin != wire.SHA2 {
				return fmt.Errorf("users: %q: a salted password takes plugin %s", u.Name, wire.SHA2)
			}
		}
	}
	for i, r := range c.Rules {
		if !class(r.Class) {
			return fmt.Errorf("rules: number %d: the pool has no class %q", i+1, r.Class)
		}
	}
	return c.ConnLimits.Check()
}

// classOf returns the class of a statement: what its hint says if that may be said and is a class, else what the rules say.
func (c *Config) classOf(user, schema, verb, hint string, class func(string) bool) string {
	if c.Hints && hint != "" && class(hint) {
		return hint
	}
	for _, r := range c.Rules {
		if (r.User == "" || r.User == user) && (r.Schema == "" || r.Schema == schema) && (r.Verb == "" || r.Verb == verb) {
			return r.Class
		}
	}
	return c.DefaultClass
}

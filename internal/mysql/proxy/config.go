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
	// Users are checked here, and servers are reached with an account of the operator's: connections to them serve many clients.
	Users Auth = iota
	// Pass has the server check them: a client has one connection to one server for its whole life.
	Pass
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

	Rules   []Rule // what class a statement is of; the first that matches holds
	Default string // the class of those that no rule matches
	Hints   bool   // a comment in a statement may name its class, key and timeout

	MostStatement int           // bytes of a statement; 16 MiB
	Memory        int64         // bytes of all statements under way that are over 64 KiB; 64 MiB
	Stall         time.Duration // how long a peer may take nothing, or pause within a message; 30 s
	Idle          time.Duration // how long a client may say nothing; 8 h
	Login         time.Duration // how long it may take to log in; 10 s
	Hold          time.Duration // how long a connection is kept for what a statement has left on it; 1 s
	Drain         time.Duration // how long a transaction may stay at a server that takes nothing new; 10 s
	Patience      time.Duration // how long sessions may go on once this process is to end; 10 s
	IdlePool      int           // idle connections kept to each server; 32
	PerServer     int           // connections in use at each server; one more is tried elsewhere, or refused; 0: no bound

	// LoadQuery asks a server for its load: the last value of its first row is the queue. Empty: this process's own statements at it
	// are.
	LoadQuery string

	Guests connlimit.Limits
}

// Account is how servers are reached with Users.
type Account struct{ User, Password string }

// User is somebody who may log in.
type User struct {
	Name     string
	Password wire.PasswordHashes
	// Salted, in place of Password, is a hash that takes the password itself to check: "pbkdf2$rounds$salt$hash", in hex.
	Salted  string
	Schemas []string // that it may choose; nil: all
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
	c.MostStatement, c.Memory = cmp.Or(c.MostStatement, 16<<20), cmp.Or(c.Memory, 64<<20)
	c.Stall, c.Idle, c.Login = cmp.Or(c.Stall, 30*time.Second), cmp.Or(c.Idle, 8*time.Hour), cmp.Or(c.Login, 10*time.Second)
	c.Hold, c.Drain, c.Patience = cmp.Or(c.Hold, time.Second), cmp.Or(c.Drain, 10*time.Second), cmp.Or(c.Patience, 10*time.Second)
	c.IdlePool = cmp.Or(c.IdlePool, 32)
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
	case !class(c.Default):
		return fmt.Errorf("class: the pool has no class %q", c.Default)
	case d.Plugin != wire.Native && d.Plugin != wire.SHA2:
		return fmt.Errorf("plugin: %q is neither %s nor %s", c.Plugin, wire.Native, wire.SHA2)
	case c.Auth == Users && len(c.Users) == 0:
		return errors.New("users: none are there")
	case c.Auth == Users && c.Account.User == "":
		return errors.New("account: not set")
	case c.Auth == Pass && len(c.Users) > 0:
		return errors.New("users: they are not looked at with auth \"pass\"")
	case c.Auth == Pass && (c.TLS == nil) != (c.ServerTLS == nil):
		return errors.New("tls: with auth \"pass\" both sides or neither: a password sent through one of them alone would be refused or laid open")
	case c.Auth == Pass && c.LoadQuery != "" && c.Account.User == "":
		return errors.New("load_query: it takes an account")
	case d.MostStatement < 1<<10 || d.MostStatement > 1<<30:
		return fmt.Errorf("most_statement: %d is outside 1 KiB to 1 GiB", c.MostStatement)
	case d.Memory < int64(d.MostStatement):
		return fmt.Errorf("memory: %d is below most_statement, which is %d", d.Memory, d.MostStatement)
	case c.PerServer < 0:
		return fmt.Errorf("most_per_server: %d is below 0", c.PerServer)
	case c.IdlePool < 0:
		return fmt.Errorf("idle_pool: %d is below 0", c.IdlePool)
	}
	for _, v := range []struct {
		key string
		d   time.Duration
	}{{"stall", c.Stall}, {"idle", c.Idle}, {"login", c.Login}, {"hold", c.Hold}, {"drain", c.Drain}, {"patience", c.Patience}} {
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
		if u.Salted != "" {
			if _, err := parseSalted(u.Salted); err != nil {
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
	return c.Guests.Check()
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
	return c.Default
}

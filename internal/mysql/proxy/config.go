// Package proxy is a MySQL proxy. The Frontend accepts clients, keeps their sessions and submits
// each statement that may run on any server to the engine, which picks a server. The Transport
// manages the connections to the servers. Package session decides from the state of a session where
// a statement may run.
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

// Auth selects who checks the credentials of clients.
type Auth int

// The authentication modes.
const (
	// AuthUsers checks clients against Config.Users and logs in to servers with Config.Account, so
	// that a server connection can serve many clients.
	AuthUsers Auth = iota
	// AuthPassThrough leaves the check to the server: each client has one connection to one server
	// for its whole life.
	AuthPassThrough
)

// Config configures a MySQL service. WithDefaults replaces zero values by their defaults.
type Config struct {
	Name   string
	Listen string // host:port
	Pool   string

	Auth    Auth
	Plugin  string // authentication plugin for clients, with AuthUsers; caching_sha2_password
	Users   []User // with AuthUsers
	Account Account

	TLS       *tls.Config // offered to clients; nil: no TLS
	ServerTLS *tls.Config // used with servers; nil: no TLS

	Rules        []Rule // determine the class of a statement; the first match applies
	DefaultClass string // class of statements that no rule matches
	Hints        bool   // whether a comment in a statement may set its class, key and timeout

	MaxStatementSize int           // bytes per statement; 16 MiB
	StatementMemory  int64         // total bytes of running statements over 64 KiB; 64 MiB
	StallTimeout     time.Duration // limit for a peer that reads nothing or pauses in a message; 30 s
	IdleTimeout      time.Duration // longest time between commands of a client; 8 h
	LoginTimeout     time.Duration // time limit for the login of a client; 10 s
	HoldTimeout      time.Duration // how long a session may hold a connection for its state; 1 s
	DrainTimeout     time.Duration // how long a transaction may stay on a draining server; 10 s
	ShutdownTimeout  time.Duration // how long sessions may continue after shutdown begins; 10 s
	MaxIdlePerServer int           // idle connections per server; 32
	// MaxConnsPerServer limits the connections in use per server. Beyond it, a statement is tried on
	// another server or refused. 0 means no limit.
	MaxConnsPerServer int

	// LoadQuery is a query for the load of a server: the last value of its first row is the queue
	// length. If it is empty, the number of this process's own statements on the server is used.
	LoadQuery string

	ConnLimits connlimit.Limits
}

// Account holds the credentials that the proxy uses on servers.
type Account struct{ User, Password string }

// User is a client account with AuthUsers.
type User struct {
	Name     string
	Password wire.PasswordHashes
	// SaltedHash replaces Password by "pbkdf2$rounds$salt$hash", with salt and hash in hex. The
	// client has to send the password itself, as this hash cannot verify a challenge response.
	SaltedHash string
	Schemas    []string // allowed schemas; nil: all
}

// Rule assigns a class to the statements that match it. An empty field matches everything.
type Rule struct {
	User, Schema string
	Verb         string // first word of the statement, in lower case
	Class        string
}

// WithDefaults returns c with zero values replaced by their defaults.
func (c Config) WithDefaults() Config {
	c.Plugin = cmp.Or(c.Plugin, wire.SHA2)
	c.MaxStatementSize, c.StatementMemory = cmp.Or(c.MaxStatementSize, 16<<20), cmp.Or(c.StatementMemory, 64<<20)
	c.StallTimeout, c.IdleTimeout, c.LoginTimeout = cmp.Or(c.StallTimeout, 30*time.Second), cmp.Or(c.IdleTimeout, 8*time.Hour), cmp.Or(c.LoginTimeout, 10*time.Second)
	c.HoldTimeout, c.DrainTimeout, c.ShutdownTimeout = cmp.Or(c.HoldTimeout, time.Second), cmp.Or(c.DrainTimeout, 10*time.Second), cmp.Or(c.ShutdownTimeout, 10*time.Second)
	c.MaxIdlePerServer = cmp.Or(c.MaxIdlePerServer, 32)
	return c
}

// Check returns an error that names the first invalid key. class reports whether the pool has a
// class of the given name.
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
		return errors.New("users: not used with auth \"pass\"")
	case c.Auth == AuthPassThrough && (c.TLS == nil) != (c.ServerTLS == nil):
		return errors.New("tls: auth \"pass\" needs TLS on both sides or neither: with one alone a password would be refused or exposed")
	case c.Auth == AuthPassThrough && c.LoadQuery != "" && c.Account.User == "":
		return errors.New("load_query: requires an account")
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
			return errors.New("users: a user has no name")
		}
		if seen[u.Name] {
			return fmt.Errorf("users: %q is there twice", u.Name)
		}
		seen[u.Name] = true
		if u.SaltedHash != "" {
			if _, err := parseSaltedHash(u.SaltedHash); err != nil {
				return fmt.Errorf("users: %q: %w", u.Name, err)
			}
			if d.Plugin != wire.SHA2 {
				return fmt.Errorf("users: %q: a salted password requires plugin %s", u.Name, wire.SHA2)
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

// classOf returns the class of a statement: that of its hint if hints are enabled and the class
// exists, else that of the first matching rule, else the default class.
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

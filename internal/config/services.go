package config

import (
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"quillfront/internal/connlimit"
	"quillfront/internal/httpfront"
	"quillfront/internal/mysql/proxy"
	"quillfront/internal/mysql/wire"
	"quillfront/internal/pool"
	"quillfront/internal/router"
	"quillfront/internal/stream"
)

// Services holds the pools of the operator's file and the services that use them.
type Services struct {
	Pools   []pool.Config
	Streams []stream.Config
	MySQL   []proxy.Config
	HTTP    []HTTP
}

// HTTP is a listener that serves plain HTTP by the routes.
type HTTP struct {
	Name, Listen    string
	ShutdownTimeout time.Duration         // how long connections may finish when the process ends
	Proxy           httpfront.ProxyConfig // without its Router
}

const (
	// defaultLateShare is the late share of classes with effect "by-request".
	defaultLateShare = 0.5
	// MaxResponseHead limits the head of a server's response, in bytes.
	MaxResponseHead = 16 << 10
	// maxRequestHead is the upper limit of most_head, and maxBufferedBody that of hold, in bytes.
	maxRequestHead  = 1 << 20
	maxBufferedBody = 64 << 20
)

// httpTable is a table [[http]] of the operator's file.
type httpTable struct {
	Name      string   `toml:"name"`
	Listen    string   `toml:"listen"`
	Via       string   `toml:"via"`
	Health    string   `toml:"health"`
	MostHead  int      `toml:"most_head"`
	HeadTime  duration `toml:"head_time"`
	Idle      duration `toml:"idle"`
	Stall     duration `toml:"stall"`
	Rate      int64    `toml:"least_rate"`
	Hold      *int64   `toml:"hold"`
	MostBody  int64    `toml:"most_body"`
	Expect    duration `toml:"expect"`
	Patience  duration `toml:"patience"`
	Forwarded bool     `toml:"forwarded"`
	Trace     bool     `toml:"trace"`
}

// http converts the table, and sets the defaults in it. An error names the key.
func (t *httpTable) http() (HTTP, error) {
	orDefault := func(d *duration, value time.Duration) time.Duration {
		*d = cmp.Or(*d, duration(value))
		return time.Duration(*d)
	}
	t.Via, t.MostHead, t.Rate = cmp.Or(t.Via, "quillfront"), cmp.Or(t.MostHead, 16<<10), cmp.Or(t.Rate, 1<<10)
	if t.Hold == nil {
		hold := int64(1 << 20)
		t.Hold = &hold
	}
	c := HTTP{Name: t.Name, Listen: t.Listen, ShutdownTimeout: orDefault(&t.Patience, 10*time.Second), Proxy: httpfront.ProxyConfig{
		Pseudonym: t.Via, HealthPath: t.Health, MaxHead: t.MostHead, HeadTimeout: orDefault(&t.HeadTime, 10*time.Second), IdleTimeout: orDefault(&t.Idle, time.Minute),
		StallTimeout: orDefault(&t.Stall, 30*time.Second), MinBodyRate: t.Rate, MaxBufferedBody: *t.Hold, MaxBody: t.MostBody, ExpectTimeout: orDefault(&t.Expect, time.Second),
		AddForwardedFor: t.Forwarded, AddTraceparent: t.Trace,
	}}
	_, port, err := net.SplitHostPort(t.Listen)
	if _, perr := strconv.ParseUint(port, 10, 16); err != nil || perr != nil {
		return c, fmt.Errorf("listen: %q is no host:port", t.Listen)
	}
	for _, d := range []struct {
		key string
		v   duration
	}{{"head_time", t.HeadTime}, {"idle", t.Idle}, {"stall", t.Stall}, {"expect", t.Expect}, {"patience", t.Patience}} {
		if d.v <= 0 || time.Duration(d.v) > 24*time.Hour {
			return c, fmt.Errorf("%s: %v is outside 0 to a day", d.key, time.Duration(d.v))
		}
	}
	switch {
	case t.Name == "":
		return c, errors.New("name: not set")
	case !router.ValidName(t.Via):
		return c, fmt.Errorf("via: %q is not a pseudonym of letters, digits, dots, dashes and underscores", t.Via)
	case t.Health != "" && !strings.HasPrefix(t.Health, "/"):
		return c, fmt.Errorf("health: %q does not begin with a slash", t.Health)
	case t.MostHead < 1<<10 || t.MostHead > maxRequestHead:
		return c, fmt.Errorf("most_head: %d is outside 1,024 to %d", t.MostHead, maxRequestHead)
	case t.Rate < 1:
		return c, fmt.Errorf("least_rate: %d is below 1", t.Rate)
	case *t.Hold < 0 || *t.Hold > maxBufferedBody:
		return c, fmt.Errorf("hold: %d is outside 0 to %d", *t.Hold, maxBufferedBody)
	case t.MostBody < 0:
		return c, fmt.Errorf("most_body: %d is negative", t.MostBody)
	}
	return c, nil
}

// Pool returns the pool of that name, or the zero Config if there is none. The pools that a checked
// file refers to always exist.
func (s *Services) Pool(name string) pool.Config {
	for _, p := range s.Pools {
		if p.Name == name {
			return p
		}
	}
	return pool.Config{}
}

// poolTable is a table [[pools]] of the operator's file.
type poolTable struct {
	Name        string            `toml:"name"`
	Discovery   string            `toml:"discovery"`
	File        string            `toml:"file"`
	DNS         *dnsTable         `toml:"dns"`
	Servers     []poolServerTable `toml:"servers"`
	Classes     []poolClassTable  `toml:"classes"`
	Zone        string            `toml:"zone"`
	Attempts    int               `toml:"attempts"`
	Dial        duration          `toml:"dial"`
	Idle        duration          `toml:"idle"`
	RetryAfter  duration          `toml:"retry_after"`
	Ramp        duration          `toml:"ramp"`
	NoCopies    bool              `toml:"no_copies"`
	LoadPort    int               `toml:"load_port"`
	LoadFields  []string          `toml:"load_fields"`
	Descriptors int               `toml:"descriptors"`
	Memory      int64             `toml:"memory"`
}

// dnsTable configures a list of servers or seeds that comes from DNS.
type dnsTable struct {
	Name        string   `toml:"name"`
	Resolvers   []string `toml:"resolvers"`
	Port        int      `toml:"port"`
	Min         duration `toml:"min"`
	Max         duration `toml:"max"`
	KeepFor     duration `toml:"keep_for"`
	EmptyCounts int      `toml:"empty_counts"`
}

// poolServerTable is an entry of servers in [[pools]].
type poolServerTable struct {
	ID    string `toml:"id"`
	Addr  string `toml:"addr"`
	Zone  string `toml:"zone"`
	Cell  int    `toml:"cell"`
	Drain bool   `toml:"drain"`
}

// poolClassTable is a table [[pools.classes]].
type poolClassTable struct {
	Name      string   `toml:"name"`
	Effect    string   `toml:"effect"`
	Aim       duration `toml:"aim"`
	Deadline  duration `toml:"deadline"`
	Window    duration `toml:"window"`
	Worth     float64  `toml:"worth"`
	LateShare *float64 `toml:"late_share"`
}

// pool converts the table. An error names the key.
func (t *poolTable) pool(dir string) (pool.Config, error) {
	c := pool.Config{
		Name: t.Name, Discovery: t.Discovery, Zone: t.Zone, Attempts: t.Attempts, Dial: time.Duration(t.Dial), Idle: time.Duration(t.Idle),
		RetryAfter: time.Duration(t.RetryAfter), Ramp: time.Duration(t.Ramp), NoHedging: t.NoCopies, LoadPort: t.LoadPort, LoadFields: t.LoadFields,
		Descriptors: t.Descriptors, Memory: t.Memory,
	}
	for _, s := range t.Servers {
		c.Servers = append(c.Servers, pool.Server{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Cell: s.Cell, Drain: s.Drain})
	}
	if c.File = t.File; c.File != "" && !filepath.IsAbs(c.File) { // relative to the operator's file
		c.File = filepath.Join(dir, c.File)
	}
	if d := t.DNS; d != nil {
		c.DNS = &pool.DNS{
			Name: d.Name, Resolvers: d.Resolvers, Port: d.Port, Min: time.Duration(d.Min), Max: time.Duration(d.Max),
			KeepFor: time.Duration(d.KeepFor), EmptyCounts: d.EmptyCounts,
		}
	}
	for _, k := range t.Classes {
		class := pool.Class{Name: k.Name, Aim: time.Duration(k.Aim), Deadline: time.Duration(k.Deadline), Worth: k.Worth,
			KeyWindow: time.Duration(k.Window)}
		switch k.Effect {
		case "safe":
			class.Safe = true
		case "unsafe":
		case "by-statement", "by-request":
			class.ByRequest = true
		default:
			return c, fmt.Errorf("classes %q: effect: %q is not one of safe, unsafe, by-statement and by-request", k.Name, k.Effect)
		}
		switch {
		case k.LateShare != nil:
			class.LateShare = *k.LateShare
		case k.Effect == "by-request": // otherwise no answer would be waited for beyond the aim
			class.LateShare = defaultLateShare
		}
		c.Classes = append(c.Classes, class)
	}
	return c, c.Check()
}

// streamTable is a table [[streams]] of the operator's file.
type streamTable struct {
	Name     string   `toml:"name"`
	Listen   string   `toml:"listen"`
	Pool     string   `toml:"pool"`
	Class    string   `toml:"class"`
	Idle     duration `toml:"idle"`
	Stall    duration `toml:"stall"`
	Total    duration `toml:"total"`
	Drain    duration `toml:"drain"`
	Half     duration `toml:"half"`
	Patience duration `toml:"patience"`
	Splice   bool     `toml:"splice"`
	Most     int      `toml:"most"`
	PerAddr  int      `toml:"most_per_address"`
}

// stream converts the table. An error names the key.
func (t *streamTable) stream(pools []pool.Config) (stream.Config, error) {
	c := stream.Config{
		Name: t.Name, Listen: t.Listen, Pool: t.Pool, Class: t.Class, IdleTimeout: time.Duration(t.Idle), StallTimeout: time.Duration(t.Stall), MaxDuration: time.Duration(t.Total),
		DrainTimeout: time.Duration(t.Drain), HalfClosedTimeout: time.Duration(t.Half), ShutdownTimeout: time.Duration(t.Patience), Splice: t.Splice,
		ConnLimits: connlimit.Limits{Total: t.Most, PerAddress: t.PerAddr},
	}
	s := Services{Pools: pools}
	p := s.Pool(t.Pool)
	if p.Name == "" {
		return c, fmt.Errorf("pool: there is no [[pools]] %q", t.Pool)
	}
	if k, ok := p.Class(t.Class); !ok || !k.Safe {
		return c, fmt.Errorf("class: pool %q has no class %q with effect \"safe\", which opening a stream has", t.Pool, t.Class)
	}
	return c, c.Check()
}

// mysqlTable is a table [[mysql]] of the operator's file.
type mysqlTable struct {
	Name       string           `toml:"name"`
	Listen     string           `toml:"listen"`
	Pool       string           `toml:"pool"`
	Auth       string           `toml:"auth"`
	Plugin     string           `toml:"plugin"`
	Users      string           `toml:"users"`
	Account    mysqlAccount     `toml:"account"`
	TLS        mysqlTLS         `toml:"tls"`
	ServerTLS  mysqlServerTLS   `toml:"server_tls"`
	Class      string           `toml:"class"`
	Hints      bool             `toml:"hints"`
	Rules      []mysqlRuleTable `toml:"rules"`
	Statement  int              `toml:"most_statement"`
	Memory     int64            `toml:"memory"`
	Stall      duration         `toml:"stall"`
	Idle       duration         `toml:"idle"`
	Login      duration         `toml:"login"`
	Hold       duration         `toml:"hold"`
	Drain      duration         `toml:"drain"`
	Patience   duration         `toml:"patience"`
	IdlePool   int              `toml:"idle_pool"`
	PerServer  int              `toml:"most_per_server"`
	LoadQuery  string           `toml:"load_query"`
	Most       int              `toml:"most"`
	PerAddress int              `toml:"most_per_address"`
	PerUser    int              `toml:"most_per_user"`
}

// mysqlAccount is the account with which sidecars log in to servers.
type mysqlAccount struct {
	User         string `toml:"user"`
	PasswordFile string `toml:"password_file"`
}

// mysqlTLS is the certificate that clients are shown.
type mysqlTLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// mysqlServerTLS configures TLS to the servers.
type mysqlServerTLS struct {
	CA         string `toml:"ca"`
	Name       string `toml:"name"`
	SkipVerify bool   `toml:"skip_verify"`
}

// mysqlRuleTable selects the class of a statement.
type mysqlRuleTable struct {
	User   string `toml:"user"`
	Schema string `toml:"schema"`
	Verb   string `toml:"verb"`
	Class  string `toml:"class"`
}

// service converts the table and reads the files that it names. An error names the key.
func (t *mysqlTable) service(pools []pool.Config, dir string) (proxy.Config, error) {
	c := proxy.Config{
		Name: t.Name, Listen: t.Listen, Pool: t.Pool, Plugin: t.Plugin, DefaultClass: t.Class, Hints: t.Hints, MaxStatementSize: t.Statement, StatementMemory: t.Memory,
		StallTimeout: time.Duration(t.Stall), IdleTimeout: time.Duration(t.Idle), LoginTimeout: time.Duration(t.Login), HoldTimeout: time.Duration(t.Hold),
		DrainTimeout: time.Duration(t.Drain), ShutdownTimeout: time.Duration(t.Patience), MaxIdlePerServer: t.IdlePool, MaxConnsPerServer: t.PerServer, LoadQuery: t.LoadQuery,
		ConnLimits: connlimit.Limits{Total: t.Most, PerAddress: t.PerAddress, PerUser: t.PerUser},
	}
	s := Services{Pools: pools}
	p := s.Pool(t.Pool)
	if p.Name == "" {
		return c, fmt.Errorf("pool: there is no [[pools]] %q", t.Pool)
	}
	for _, r := range t.Rules {
		r.Verb = strings.ToLower(r.Verb)
		c.Rules = append(c.Rules, proxy.Rule(r))
	}
	switch t.Auth {
	case "users":
	case "pass":
		c.Auth = proxy.AuthPassThrough
	default:
		return c, fmt.Errorf("auth: %q is neither \"users\" nor \"pass\"", t.Auth)
	}
	resolve := func(path string) string { // relative paths start from the operator's file
		if path == "" || filepath.IsAbs(path) {
			return path
		}
		return filepath.Join(dir, path)
	}
	var err error
	if t.Users != "" {
		if c.Users, err = mysqlUsers(resolve(t.Users)); err != nil {
			return c, fmt.Errorf("users: %w", err)
		}
	}
	if c.Account.User = t.Account.User; t.Account.PasswordFile != "" {
		text, err := os.ReadFile(resolve(t.Account.PasswordFile))
		if err != nil {
			return c, fmt.Errorf("account.password_file: %w", err)
		}
		c.Account.Password = strings.TrimRight(string(text), "\r\n")
	}
	if t.TLS != (mysqlTLS{}) {
		cert, err := tls.LoadX509KeyPair(resolve(t.TLS.Cert), resolve(t.TLS.Key))
		if err != nil {
			return c, fmt.Errorf("tls: %w", err)
		}
		c.TLS = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	}
	if t.ServerTLS != (mysqlServerTLS{}) {
		c.ServerTLS = &tls.Config{ServerName: t.ServerTLS.Name, InsecureSkipVerify: t.ServerTLS.SkipVerify, MinVersion: tls.VersionTLS12}
		if t.ServerTLS.CA != "" {
			text, err := os.ReadFile(resolve(t.ServerTLS.CA))
			if err != nil {
				return c, fmt.Errorf("server_tls.ca: %w", err)
			}
			c.ServerTLS.RootCAs = x509.NewCertPool()
			if !c.ServerTLS.RootCAs.AppendCertsFromPEM(text) {
				return c, fmt.Errorf("server_tls.ca: %s holds no certificate", t.ServerTLS.CA)
			}
		}
	}
	err = c.Check(func(name string) bool { k, ok := p.Class(name); return ok && k.ByRequest })
	if err != nil && strings.Contains(err.Error(), "has no class") {
		err = fmt.Errorf("%w with effect \"by-statement\"", err)
	}
	return c, err
}

// mysqlUsers reads the file of the users who may log in.
func mysqlUsers(path string) ([]proxy.User, error) {
	var f struct {
		Users []struct {
			Name     string   `toml:"name"`
			Password *string  `toml:"password"`
			Native   string   `toml:"native"`
			SHA2     string   `toml:"sha2"`
			Salted   string   `toml:"salted"`
			Schemas  []string `toml:"schemas"`
		} `toml:"users"`
	}
	meta, err := toml.DecodeFile(path, &f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key %s", path, unknown[0])
	}
	var users []proxy.User
	for _, u := range f.Users {
		user := proxy.User{Name: u.Name, Schemas: u.Schemas, SaltedHash: u.Salted}
		fail := func(key string, err error) error { return fmt.Errorf("%s: %q: %s: %w", path, u.Name, key, err) }
		hashes := u.Native != "" || u.SHA2 != ""
		switch {
		case u.Password != nil && (hashes || u.Salted != ""), u.Salted != "" && hashes:
			return nil, fail("password", errors.New("it is told in two ways"))
		case u.Password != nil:
			user.Password = wire.NewPasswordHashes(*u.Password)
		case u.Salted != "":
		case !hashes:
			return nil, fail("password", errors.New("neither password, salted, native nor sha2 is set"))
		}
		for _, h := range []struct {
			key, text string
			to        []byte
		}{{"native", strings.TrimPrefix(u.Native, "*"), user.Password.Native[:]}, {"sha2", u.SHA2, user.Password.SHA2[:]}} {
			if h.text == "" {
				continue
			}
			b, err := hex.DecodeString(h.text)
			if err != nil || len(b) != len(h.to) {
				return nil, fail(h.key, fmt.Errorf("%d bytes in hex are required", len(h.to)))
			}
			copy(h.to, b)
		}
		users = append(users, user)
	}
	return users, nil
}

// services converts the tables of pools and of the services that use them, and reads the files that
// they name. Relative paths start from dir.
func (f *operatorFile) services(dir string) (Services, error) {
	var s Services
	seen := map[string]bool{}
	for i := range f.Pools {
		p, err := f.Pools[i].pool(dir)
		if err == nil && seen[p.Name] {
			err = errors.New("name: is there twice")
		}
		if err != nil {
			return s, fmt.Errorf("[[pools]] %s: %w", displayName(f.Pools[i].Name, i), err)
		}
		seen[p.Name] = true
		s.Pools = append(s.Pools, p)
	}
	names, listens := map[string]bool{}, map[string]bool{}
	checkUnique := func(name, listen string) error {
		if names[name] {
			return errors.New("name: another service has it")
		}
		if listens[listen] && !strings.HasSuffix(listen, ":0") {
			return errors.New("listen: another service has it")
		}
		names[name], listens[listen] = true, true
		return nil
	}
	for i := range f.HTTP {
		c, err := f.HTTP[i].http()
		if err == nil {
			err = checkUnique(c.Name, c.Listen)
		}
		if err != nil {
			return s, fmt.Errorf("[[http]] %s: %w", displayName(f.HTTP[i].Name, i), err)
		}
		s.HTTP = append(s.HTTP, c)
	}
	for i := range f.Streams {
		c, err := f.Streams[i].stream(s.Pools)
		if err == nil {
			err = checkUnique(c.Name, c.Listen)
		}
		if err != nil {
			return s, fmt.Errorf("[[streams]] %s: %w", displayName(f.Streams[i].Name, i), err)
		}
		s.Streams = append(s.Streams, c)
	}
	for i := range f.MySQL {
		c, err := f.MySQL[i].service(s.Pools, dir)
		if err == nil {
			err = checkUnique(c.Name, c.Listen)
		}
		if err != nil {
			return s, fmt.Errorf("[[mysql]] %s: %w", displayName(f.MySQL[i].Name, i), err)
		}
		s.MySQL = append(s.MySQL, c)
	}
	return s, nil
}

// displayName returns the name of a table for messages: its position if it has no name.
func displayName(name string, i int) string {
	if name == "" {
		return fmt.Sprintf("number %d", i+1)
	}
	return name
}

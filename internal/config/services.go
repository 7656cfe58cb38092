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

// Services are the operator's own pools, and what listens for them.
type Services struct {
	Pools   []pool.Config
	Streams []stream.Config
	MySQL   []proxy.Config
	HTTP    []HTTP
}

// HTTP is an address at which plain HTTP is served by routes.
type HTTP struct {
	Name, Listen    string
	ShutdownTimeout time.Duration         // at the end of the process
	Proxy           httpfront.ProxyConfig // without a Router
}

const (
	// lateShare is what an answer of HTTP is worth after its aim where the file does not say.
	lateShare = 0.5
	// MaxResponseHead is the longest head of a server's answer, in bytes.
	MaxResponseHead = 16 << 10
	mostHead        = 1 << 20
	mostHold        = 64 << 20
)

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

// http reads the table, and fills its defaults in. The error names the key.
func (t *httpTable) http() (HTTP, error) {
	or := func(d *duration, otherwise time.Duration) time.Duration {
		*d = cmp.Or(*d, duration(otherwise))
		return time.Duration(*d)
	}
	t.Via, t.MostHead, t.Rate = cmp.Or(t.Via, "quillfront"), cmp.Or(t.MostHead, 16<<10), cmp.Or(t.Rate, 1<<10)
	if t.Hold == nil {
		hold := int64(1 << 20)
		t.Hold = &hold
	}
	c := HTTP{Name: t.Name, Listen: t.Listen, ShutdownTimeout: or(&t.Patience, 10*time.Second), Proxy: httpfront.ProxyConfig{
		Pseudonym: t.Via, HealthPath: t.Health, MaxHead: t.MostHead, HeadTimeout: or(&t.HeadTime, 10*time.Second), IdleTimeout: or(&t.Idle, time.Minute),
		StallTimeout: or(&t.Stall, 30*time.Second), MinBodyRate: t.Rate, MaxBufferedBody: *t.Hold, MaxBody: t.MostBody, ExpectTimeout: or(&t.Expect, time.Second),
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
		return c, fmt.Errorf("via: %q is no pseudonym of letters, digits, dots, dashes and underscores", t.Via)
	case t.Health != "" && !strings.HasPrefix(t.Health, "/"):
		return c, fmt.Errorf("health: %q does not begin with a slash", t.Health)
	case t.MostHead < 1<<10 || t.MostHead > mostHead:
		return c, fmt.Errorf("most_head: %d is outside 1,024 to %d", t.MostHead, mostHead)
	case t.Rate < 1:
		return c, fmt.Errorf("least_rate: %d is below 1", t.Rate)
	case *t.Hold < 0 || *t.Hold > mostHold:
		return c, fmt.Errorf("hold: %d is outside 0 to %d", *t.Hold, mostHold)
	case t.MostBody < 0:
		return c, fmt.Errorf("most_body: %d is negative", t.MostBody)
	}
	return c, nil
}

// Pool returns the pool of that name. There is one: the file was checked.
func (s *Services) Pool(name string) pool.Config {
	for _, p := range s.Pools {
		if p.Name == name {
			return p
		}
	}
	return pool.Config{}
}

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

type dnsTable struct {
	Name        string   `toml:"name"`
	Resolvers   []string `toml:"resolvers"`
	Port        int      `toml:"port"`
	Min         duration `toml:"min"`
	Max         duration `toml:"max"`
	KeepFor     duration `toml:"keep_for"`
	EmptyCounts int      `toml:"empty_counts"`
}

type poolServerTable struct {
	ID    string `toml:"id"`
	Addr  string `toml:"addr"`
	Zone  string `toml:"zone"`
	Cell  int    `toml:"cell"`
	Drain bool   `toml:"drain"`
}

type poolClassTable struct {
	Name      string   `toml:"name"`
	Effect    string   `toml:"effect"`
	Aim       duration `toml:"aim"`
	Deadline  duration `toml:"deadline"`
	Window    duration `toml:"window"`
	Worth     float64  `toml:"worth"`
	LateShare *float64 `toml:"late_share"`
}

// pool reads the table. The error names the key.
func (t *poolTable) pool(dir string) (pool.Config, error) {
	c := pool.Config{
		Name: t.Name, Discovery: t.Discovery, Zone: t.Zone, Attempts: t.Attempts, Dial: time.Duration(t.Dial), Idle: time.Duration(t.Idle),
		RetryAfter: time.Duration(t.RetryAfter), Ramp: time.Duration(t.Ramp), NoHedging: t.NoCopies, LoadPort: t.LoadPort, LoadFields: t.LoadFields,
		Descriptors: t.Descriptors, Memory: t.Memory,
	}
	for _, s := range t.Servers {
		c.Servers = append(c.Servers, pool.Server{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Cell: s.Cell, Drain: s.Drain})
	}
	if c.File = t.File; c.File != "" && !filepath.IsAbs(c.File) { // beside the operator's file
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
			return c, fmt.Errorf("classes %q: effect: %q is none of safe, unsafe, by-statement and by-request", k.Name, k.Effect)
		}
		switch {
		case k.LateShare != nil:
			class.LateShare = *k.LateShare
		case k.Effect == "by-request": // else nothing would be waited for beyond the aim
			class.LateShare = lateShare
		}
		c.Classes = append(c.Classes, class)
	}
	return c, c.Check()
}

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
		return c, fmt.Errorf("class: pool %q has no class %q with effect \"safe\": to open a stream is to connect", t.Pool, t.Class)
	}
	return c, c.Check()
}

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

type mysqlAccount struct {
	User         string `toml:"user"`
	PasswordFile string `toml:"password_file"`
}

type mysqlTLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

type mysqlServerTLS struct {
	CA     string `toml:"ca"`
	Name   string `toml:"name"`
	Unsafe bool   `toml:"skip_verify"`
}

type mysqlRuleTable struct {
	User   string `toml:"user"`
	Schema string `toml:"schema"`
	Verb   string `toml:"verb"`
	Class  string `toml:"class"`
}

// service reads the table and the files that it names. The error names the key.
func (t *mysqlTable) service(pools []pool.Config, dir string) (proxy.Config, error) {
	c := proxy.Config{
		Name: t.Name, Listen: t.Listen, Pool: t.Pool, Plugin: t.Plugin, Default: t.Class, Hints: t.Hints, MostStatement: t.Statement, Memory: t.Memory,
		Stall: time.Duration(t.Stall), Idle: time.Duration(t.Idle), Login: time.Duration(t.Login), Hold: time.Duration(t.Hold),
		Drain: time.Duration(t.Drain), Patience: time.Duration(t.Patience), IdlePool: t.IdlePool, PerServer: t.PerServer, LoadQuery: t.LoadQuery,
		Guests: connlimit.Limits{Total: t.Most, PerAddress: t.PerAddress, PerUser: t.PerUser},
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
		c.Auth = proxy.Pass
	default:
		return c, fmt.Errorf("auth: %q is neither \"users\" nor \"pass\"", t.Auth)
	}
	in := func(path string) string { // what is not absolute is beside the operator's file
		if path == "" || filepath.IsAbs(path) {
			return path
		}
		return filepath.Join(dir, path)
	}
	var err error
	if t.Users != "" {
		if c.Users, err = mysqlUsers(in(t.Users)); err != nil {
			return c, fmt.Errorf("users: %w", err)
		}
	}
	if c.Account.User = t.Account.User; t.Account.PasswordFile != "" {
		text, err := os.ReadFile(in(t.Account.PasswordFile))
		if err != nil {
			return c, fmt.Errorf("account.password_file: %w", err)
		}
		c.Account.Password = strings.TrimRight(string(text), "\r\n")
	}
	if t.TLS != (mysqlTLS{}) {
		cert, err := tls.LoadX509KeyPair(in(t.TLS.Cert), in(t.TLS.Key))
		if err != nil {
			return c, fmt.Errorf("tls: %w", err)
		}
		c.TLS = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	}
	if t.ServerTLS != (mysqlServerTLS{}) {
		c.ServerTLS = &tls.Config{ServerName: t.ServerTLS.Name, InsecureSkipVerify: t.ServerTLS.Unsafe, MinVersion: tls.VersionTLS12}
		if t.ServerTLS.CA != "" {
			text, err := os.ReadFile(in(t.ServerTLS.CA))
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

// mysqlUsers reads the file of those who may log in.
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
		user := proxy.User{Name: u.Name, Schemas: u.Schemas, Salted: u.Salted}
		wrong := func(key string, err error) error { return fmt.Errorf("%s: %q: %s: %w", path, u.Name, key, err) }
		hashes := u.Native != "" || u.SHA2 != ""
		switch {
		case u.Password != nil && (hashes || u.Salted != ""), u.Salted != "" && hashes:
			return nil, wrong("password", errors.New("it is told in two ways"))
		case u.Password != nil:
			user.Password = wire.NewPasswordHashes(*u.Password)
		case u.Salted != "":
		case !hashes:
			return nil, wrong("password", errors.New("neither password, salted, native nor sha2 is set"))
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
				return nil, wrong(h.key, fmt.Errorf("%d bytes in hex are wanted", len(h.to)))
			}
			copy(h.to, b)
		}
		users = append(users, user)
	}
	return users, nil
}

// services reads all tables of pools and what listens for them, and the files that they name in dir.
func (f *operatorFile) services(dir string) (Services, error) {
	var s Services
	seen := map[string]bool{}
	for i := range f.Pools {
		p, err := f.Pools[i].pool(dir)
		if err == nil && seen[p.Name] {
			err = errors.New("name: is there twice")
		}
		if err != nil {
			return s, fmt.Errorf("[[pools]] %s: %w", named(f.Pools[i].Name, i), err)
		}
		seen[p.Name] = true
		s.Pools = append(s.Pools, p)
	}
	names, listens := map[string]bool{}, map[string]bool{}
	once := func(name, listen string) error {
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
			err = once(c.Name, c.Listen)
		}
		if err != nil {
			return s, fmt.Errorf("[[http]] %s: %w", named(f.HTTP[i].Name, i), err)
		}
		s.HTTP = append(s.HTTP, c)
	}
	for i := range f.Streams {
		c, err := f.Streams[i].stream(s.Pools)
		if err == nil {
			err = once(c.Name, c.Listen)
		}
		if err != nil {
			return s, fmt.Errorf("[[streams]] %s: %w", named(f.Streams[i].Name, i), err)
		}
		s.Streams = append(s.Streams, c)
	}
	for i := range f.MySQL {
		c, err := f.MySQL[i].service(s.Pools, dir)
		if err == nil {
			err = once(c.Name, c.Listen)
		}
		if err != nil {
			return s, fmt.Errorf("[[mysql]] %s: %w", named(f.MySQL[i].Name, i), err)
		}
		s.MySQL = append(s.MySQL, c)
	}
	return s, nil
}

func named(name string, i int) string {
	if name == "" {
		return fmt.Sprintf("number %d", i+1)
	}
	return name
}

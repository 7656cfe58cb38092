//go:build review

package lib

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quillfront/internal/mysql/wire"
)

// The account by which the proxy reaches the servers, and the user that clients log in as.
const (
	AccountUser, AccountPassword = "sidecar", "between-you-and-me"
	User, Password               = "app", "secret"
)

// MySQL is a small stand-in for a MySQL server, by the published protocol. What its statements do is the case's.
type MySQL struct {
	Name, Addr string
	run        func(s *Session, sql string) Reply
	last       atomic.Uint32
}

// Session is a connection to a MySQL, with the state that the protocol and the manual give it.
type Session struct {
	Server   *MySQL
	ID       uint32
	InsertID uint64            // LAST_INSERT_ID()
	Vars     map[string]string // user variables
	Mode     string            // sql_mode
	Schema   string
}

// Reply is what a statement comes to.
type Reply struct {
	Column, Value string // a result of one row; empty: none
	Null          bool
	InsertID      uint64
	Affected      uint64
	Err           *wire.Error
	Die           bool // the connection dies, and no reply is sent
}

// NewMySQL starts a server whose statements run executes, one at a time for each connection.
func (c *Case) NewMySQL(name string, run func(s *Session, sql string) Reply) *MySQL {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	m := &MySQL{Name: name, Addr: ln.Addr().String(), run: run}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go m.serve(conn)
		}
	}()
	return m
}

func (m *MySQL) serve(conn net.Conn) {
	defer conn.Close()
	w := wire.Conn{R: bufio.NewReader(conn), W: bufio.NewWriter(conn)}
	send := func(b []byte) error {
		if err := w.Write(b); err != nil {
			return err
		}
		return w.W.Flush()
	}
	s := &Session{Server: m, ID: m.last.Add(1), Vars: map[string]string{}}
	offered := wire.LongPassword | wire.FoundRows | wire.LongFlag | wire.ConnectWithDB | wire.Protocol41 | wire.Transactions | wire.SecureConnection |
		wire.MultiStatements | wire.MultiResults | wire.PSMultiResults | wire.PluginAuth | wire.ConnectAttrs | wire.PluginAuthLenenc | wire.SessionTrack | wire.DeprecateEOF
	scramble := wire.NewScramble()
	g := wire.Greeting{Version: "8.4.0-" + m.Name, ThreadID: s.ID, Scramble: scramble, Capabilities: offered, Charset: 45, Status: wire.Autocommit, Plugin: wire.Native}
	if send(g.Append(nil)) != nil {
		return
	}
	b, err := w.Read(1 << 16)
	if err != nil {
		return
	}
	l, err := wire.ParseLogin(b)
	if err != nil {
		return
	}
	caps := l.Capabilities & offered
	s.Schema = l.Schema
	k := wire.NewPasswordHashes(AccountPassword)
	if l.User != AccountUser || !k.VerifyResponse(wire.Native, l.AuthResponse, scramble) {
		send(wire.AccessDenied(l.User).Append(nil))
		return
	}
	ok := func(o wire.OK) error {
		o.Status = wire.Autocommit
		return send(o.Append(nil, 0, caps))
	}
	if ok(wire.OK{}) != nil {
		return
	}
	for {
		w.Reset()
		b, err := w.Read(1 << 20)
		if err != nil || len(b) == 0 {
			return
		}
		switch wire.Command(b[0]) {
		case wire.Quit:
			return
		case wire.Ping:
			err = ok(wire.OK{})
		case wire.InitDB:
			s.Schema = string(b[1:])
			err = ok(wire.OK{})
		case wire.ResetConnection:
			s.InsertID, s.Vars, s.Mode = 0, map[string]string{}, ""
			err = ok(wire.OK{})
		case wire.Query:
			sql := StripComments(string(b[1:]))
			if lower := strings.ToLower(sql); strings.HasPrefix(lower, "set names") || lower == "select 1" {
				if lower == "select 1" {
					err = sendRow(&w, caps, Reply{Column: "1", Value: "1"})
				} else {
					err = ok(wire.OK{})
				}
				break
			}
			switch r := m.run(s, sql); {
			case r.Die:
				return
			case r.Err != nil:
				err = send(r.Err.Append(nil))
			case r.Column != "":
				err = sendRow(&w, caps, r)
			default:
				err = ok(wire.OK{AffectedRows: r.Affected, LastInsertID: r.InsertID})
			}
		default:
			err = send((&wire.Error{Code: 1047, State: "08S01", Message: "Unknown command"}).Append(nil))
		}
		if err != nil {
			return
		}
	}
}

// sendRow sends a result of one column and one row.
func sendRow(w *wire.Conn, caps wire.Capability, r Reply) error {
	w.Write(wire.AppendLenencInt(nil, 1))
	w.Write(wire.Column{Name: r.Column, Type: wire.TypeVarString}.Append(nil))
	if !caps.Has(wire.DeprecateEOF) {
		w.Write(wire.EOF{Status: wire.Autocommit}.Append(nil))
	}
	row := []byte{0xfb}
	if !r.Null {
		row = wire.AppendLenencString(nil, r.Value)
	}
	w.Write(row)
	if caps.Has(wire.DeprecateEOF) {
		o := wire.OK{Status: wire.Autocommit}
		w.Write(o.Append(nil, 0xfe, caps))
	} else {
		w.Write(wire.EOF{Status: wire.Autocommit}.Append(nil))
	}
	return w.W.Flush()
}

// StripComments removes plain comments and white space around a statement.
func StripComments(sql string) string {
	for {
		from := strings.Index(sql, "/*")
		if from < 0 {
			return strings.TrimSpace(sql)
		}
		n := strings.Index(sql[from:], "*/")
		if n < 0 {
			return strings.TrimSpace(sql)
		}
		sql = sql[:from] + sql[from+n+2:]
	}
}

// SQLClient is a client of the proxy.
type SQLClient struct {
	conn net.Conn
	w    wire.Conn
	mu   sync.Mutex
}

const clientCaps = wire.LongPassword | wire.LongFlag | wire.Protocol41 | wire.Transactions | wire.SecureConnection | wire.PluginAuth | wire.PluginAuthLenenc | wire.MultiResults

// ErrLost means that the connection ended without a reply.
var ErrLost = errors.New("the connection ended without a reply")

// SQLDial logs a client in.
func SQLDial(addr string) (*SQLClient, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	k := &SQLClient{conn: conn, w: wire.Conn{R: bufio.NewReader(conn), W: bufio.NewWriter(conn)}}
	b, err := k.w.Read(1 << 16)
	if err != nil {
		return nil, err
	}
	g, err := wire.ParseGreeting(b)
	if err != nil {
		return nil, err
	}
	l := wire.Login{Capabilities: clientCaps, MaxPacket: 1 << 24, Charset: 45, User: User, Plugin: g.Plugin}
	if l.AuthResponse, err = wire.AuthResponse(g.Plugin, Password, g.Scramble); err != nil {
		return nil, err
	}
	if err := k.send(l.Append(nil)); err != nil {
		return nil, err
	}
	for range 5 {
		b, err := k.w.Read(1 << 16)
		switch {
		case err != nil:
			return nil, err
		case len(b) > 0 && b[0] == 0:
			return k, nil
		case len(b) > 0 && b[0] == 0xff:
			return nil, wire.ParseError(b, clientCaps)
		case len(b) > 0 && b[0] == 0xfe:
			plugin, scramble, err := wire.ParseAuthSwitch(b)
			if err != nil {
				return nil, err
			}
			answer, err := wire.AuthResponse(plugin, Password, scramble)
			if err != nil {
				return nil, err
			}
			if err := k.send(answer); err != nil {
				return nil, err
			}
		}
	}
	return nil, errors.New("the login does not end")
}

func (k *SQLClient) send(b []byte) error {
	if err := k.w.Write(b); err != nil {
		return err
	}
	return k.w.W.Flush()
}

// Close closes the client's connection.
func (k *SQLClient) Close() { k.conn.Close() }

// Query runs a statement. value is the first value of the last row of its result, if it has one. The error is a
// *wire.Error if the statement was answered with one, and wraps ErrLost if it was not answered.
func (k *SQLClient) Query(sql string) (value string, insertID uint64, err error) {
	k.conn.SetDeadline(time.Now().Add(15 * time.Second))
	k.w.Reset()
	if err := k.send(append([]byte{byte(wire.Query)}, sql...)); err != nil {
		return "", 0, fmt.Errorf("%w: %w", ErrLost, err)
	}
	read := func() []byte {
		if err != nil {
			return nil
		}
		var b []byte
		if b, err = k.w.Read(1 << 20); err != nil {
			err = fmt.Errorf("%w: %w", ErrLost, err)
		} else if len(b) > 0 && b[0] == 0xff {
			err = wire.ParseError(b, clientCaps)
		}
		return b
	}
	b := read()
	if err != nil {
		return "", 0, err
	}
	if b[0] == 0 {
		o, err := wire.ParseOK(b, clientCaps)
		return "", o.LastInsertID, err
	}
	n, err := wire.ParseColumnCount(b)
	if err != nil {
		return "", 0, err
	}
	for range n {
		read()
	}
	read() // EOF
	for err == nil {
		b := read()
		if err != nil || len(b) < 9 && b[0] == 0xfe {
			break
		}
		row, perr := wire.ParseTextRow(b)
		if perr != nil {
			return "", 0, perr
		}
		value = "NULL"
		if row[0] != nil {
			value = string(row[0])
		}
	}
	return value, 0, err
}

// SQLServer is an entry of the pool in the operator's file.
type SQLServer struct {
	*MySQL
	Drain bool
}

// SQLOperatorFile returns the operator's file of deploy/quillfront.toml, with its pool "ledger" and its service alone, for
// those servers.
func (c *Case) SQLOperatorFile(listen string, servers ...SQLServer) []byte {
	var list []string
	for _, s := range servers {
		list = append(list, fmt.Sprintf("{ id = %q, addr = %q, drain = %v }", s.Name, s.Addr, s.Drain))
	}
	users := c.Write("mysql-users.toml", []byte(fmt.Sprintf("[[users]]\nname = %q\npassword = %q\n", User, Password)))
	password := c.Write("account-password", []byte(AccountPassword))
	return []byte(fmt.Sprintf(`[[pools]]
name = "ledger"
servers = [%s]
idle = "1m"

[[pools.classes]]
name = "statement"
effect = "by-statement"
aim = "200ms"
deadline = "5s"

[[pools.classes]]
name = "delivery-order"
effect = "by-statement"
aim = "400ms"
deadline = "3s"
worth = 10

[[mysql]]
name = "ledger"
listen = %q
pool = "ledger"
auth = "users"
plugin = "mysql_native_password"
users = %q
account = { user = %q, password_file = %q }
class = "statement"
hints = true
hold = "1s"
drain = "10s"
`, strings.Join(list, ", "), listen, users, AccountUser, password))
}

// AwaitSQL waits until a client can log in.
func (c *Case) AwaitSQL(addr string, p *Process) *SQLClient {
	var err error
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && p.Ended() == ""; time.Sleep(20 * time.Millisecond) {
		var k *SQLClient
		if k, err = SQLDial(addr); err == nil {
			return k
		}
	}
	c.Unable("no login: %v %s %s", err, p.Ended(), p.LogText())
	return nil
}

// AwaitLog waits until the log of p has text n times.
func (c *Case) AwaitLog(p *Process, text string, n int) {
	for until := time.Now().Add(10 * time.Second); strings.Count(p.LogText(), text) < n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) || p.Ended() != "" {
			c.Unable("%s does not log %q: %s", p.Name, text, p.LogText())
		}
	}
}

package conformance

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-sql-driver/mysql"

	sqlstandin "quillfront/internal/mysql/standin"
)

// Services are running services configured by an operator's file.
type Services struct {
	Addr   func(name string) string // returns the address of a service's listener
	Reload func()                   // reloads the file
}

// StartServices starts services with an operator's file and stops them when the test ends.
type StartServices func(t testing.TB, path string) Services

// RunServices tests the rules for MySQL statements and TCP streams.
func RunServices(t *testing.T, start StartServices) {
	t.Run("StatementsExactlyOnce", func(t *testing.T) { statementsExactlyOnce(t, start) })
	t.Run("StatementsDuringDrain", func(t *testing.T) { statementsDuringDrain(t, start) })
	t.Run("Streams", func(t *testing.T) { streams(t, start) })
}

// mysqlFixture holds stand-in MySQL servers with a MySQL service in front of them.
type mysqlFixture struct {
	Services
	db      *sqlstandin.Database
	servers []*sqlstandin.Server
	faults  sync.Map // one-time faults, keyed by a substring of the statement
	dir     string
	drain   [3]bool
}

func newMySQLFixture(t *testing.T, start StartServices) *mysqlFixture {
	t.Helper()
	l := &mysqlFixture{db: sqlstandin.NewDatabase(), dir: t.TempDir()}
	for i := range l.drain {
		s, err := sqlstandin.Start(sqlstandin.Config{
			Name: fmt.Sprint("l", i), Database: l.db, Users: map[string]string{"sidecar": "inner"},
			Fault: func(sql string) (trouble sqlstandin.Fault) {
				l.faults.Range(func(k, v any) bool {
					if strings.Contains(sql, k.(string)) && l.faults.CompareAndDelete(k, v) {
						trouble = *v.(*sqlstandin.Fault)
					}
					return true
				})
				return trouble
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		l.servers = append(l.servers, s)
	}
	for name, text := range map[string]string{"inner": "inner\n", "users": "[[users]]\nname = \"app\"\npassword = \"secret\"\n"} {
		if err := os.WriteFile(filepath.Join(l.dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	l.writeConfig(t)
	l.Services = start(t, filepath.Join(l.dir, "quillfront.toml"))
	return l
}

func (l *mysqlFixture) writeConfig(t *testing.T) {
	t.Helper()
	var b strings.Builder
	b.WriteString("[[pools]]\nname = \"ledger\"\n")
	b.WriteString("servers = [")
	for i, s := range l.servers {
		fmt.Fprintf(&b, "{id = \"l%d\", addr = %q, drain = %v}, ", i, s.Addr(), l.drain[i])
	}
	b.WriteString("]\n[[pools.classes]]\nname = \"sql\"\neffect = \"by-statement\"\naim = \"2s\"\ndeadline = \"4s\"\n" +
		"[[mysql]]\nname = \"ledger\"\nlisten = \"127.0.0.1:0\"\npool = \"ledger\"\nclass = \"sql\"\nauth = \"users\"\nusers = \"users\"\ndrain = \"10s\"\n" +
		"account = {user = \"sidecar\", password_file = \"inner\"}\n")
	if err := os.WriteFile(filepath.Join(l.dir, "quillfront.toml"), []byte(b.String()), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (l *mysqlFixture) session(t *testing.T) *sql.Conn {
	t.Helper()
	db, err := sql.Open("mysql", fmt.Sprintf("app:secret@tcp(%s)/", l.Addr("ledger")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { db.Close() })
	c, err := db.Conn(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func sqlCode(err error) uint16 {
	var e *mysql.MySQLError
	if errors.As(err, &e) {
		return e.Number
	}
	return 0
}

func currentServer(t *testing.T, c *sql.Conn) (v string) {
	t.Helper()
	if err := c.QueryRowContext(context.Background(), "SELECT SERVER()").Scan(&v); err != nil {
		t.Fatal(err)
	}
	return v
}

// statementsExactlyOnce checks that each statement gets one answer: a write that may have run is
// not retried and reports an unknown outcome, a read is retried on another server, and a statement
// that reached no server reports a refusal.
func statementsExactlyOnce(t *testing.T, start StartServices) {
	l := newMySQLFixture(t, start)
	c := l.session(t)
	for name, trouble := range map[string]sqlstandin.Fault{"before": {CloseBefore: true}, "during": {CloseDuring: true}, "after": {CloseAfter: true}, "cut": {CutAfterBytes: 5}} {
		l.faults.Store(name, &trouble)
		_, err := c.ExecContext(context.Background(), fmt.Sprintf("INSERT INTO orders (id, item, qty) VALUES ('%s', 'x', 1)", name))
		if sqlCode(err) != 9002 {
			t.Errorf("%s: %v, want error 9002: outcome unknown", name, err)
		}
		l.faults.Store("read "+name, &trouble)
		var v string
		if err := c.QueryRowContext(context.Background(), fmt.Sprintf("SELECT 'read %s'", name)).Scan(&v); v != "read "+name || err != nil {
			t.Errorf("%s: a read gives %q, %v", name, v, err)
		}
	}
	if got := fmt.Sprint(l.db.Executed()); got != "map[after:1 cut:1]" {
		t.Errorf("executed %s", got)
	}
	for _, s := range l.servers {
		s.Close()
	}
	if _, err := c.ExecContext(context.Background(), "INSERT INTO orders (id, item, qty) VALUES ('none', 'x', 1)"); sqlCode(err) != 9001 {
		t.Errorf("with no server: %v, want error 9001: refused", err)
	}
	if l.db.Executed()["none"] > 0 {
		t.Error("it was executed")
	}
}

// statementsDuringDrain checks that, from 2 s after the drain was announced, a draining server gets
// only statements of its open transactions.
func statementsDuringDrain(t *testing.T, start StartServices) {
	l := newMySQLFixture(t, start)
	in, out := l.session(t), l.session(t)
	if _, err := in.ExecContext(context.Background(), "BEGIN"); err != nil {
		t.Fatal(err)
	}
	at := currentServer(t, in)
	var n int
	fmt.Sscanf(at, "l%d", &n)
	l.drain[n] = true
	l.writeConfig(t)
	l.Reload()
	drainAnnounced := time.Now()
	for quiet := 0; quiet < 30; quiet++ {
		if currentServer(t, out) == at {
			quiet = 0
			if time.Since(drainAnnounced) > 2*time.Second {
				t.Fatalf("a statement was sent to the server %v after the drain was announced", time.Since(drainAnnounced))
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	if currentServer(t, in) != at {
		t.Error("the transaction moved to another server")
	}
	for _, sql := range []string{"INSERT INTO orders (id, item, qty) VALUES ('in', 'x', 1)", "COMMIT"} {
		if _, err := in.ExecContext(context.Background(), sql); err != nil {
			t.Errorf("%s: %v", sql, err)
		}
	}
	if currentServer(t, in) == at {
		t.Error("the session is still on the draining server after COMMIT")
	}
}

// streams checks that a failed connect is retried on another server, that a broken stream is reset
// and not closed cleanly, and that a draining server gets no new streams.
func streams(t *testing.T, start StartServices) {
	type streamServer struct {
		net.Listener
		accepted atomic.Int64
	}
	var servers []*streamServer
	for range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		b := &streamServer{Listener: ln}
		t.Cleanup(func() { ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				b.accepted.Add(1)
				go func() {
					defer c.Close()
					text, _ := io.ReadAll(io.LimitReader(c, 5))
					if string(text) == "break" {
						c.Write([]byte("half"))
						c.(*net.TCPConn).SetLinger(0)
						return
					}
					c.Write(text)
				}()
			}
		}()
		servers = append(servers, b)
	}
	servers[2].Close()
	path := filepath.Join(t.TempDir(), "quillfront.toml")
	write := func(drain bool) {
		text := fmt.Sprintf("[[pools]]\nname = \"meters\"\nservers = [{id = \"m0\", addr = %q, drain = %v}, {id = \"m1\", addr = %q}, {id = \"m2\", addr = %q}]\n"+
			"[[pools.classes]]\nname = \"open\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"3s\"\n"+
			"[[streams]]\nname = \"meters\"\nlisten = \"127.0.0.1:0\"\npool = \"meters\"\nclass = \"open\"\n",
			servers[0].Addr(), drain, servers[1].Addr(), servers[2].Addr())
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(false)
	r := start(t, path)
	say := func(text string) (string, error) {
		c, err := net.Dial("tcp", r.Addr("meters"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(c, text)
		b, err := io.ReadAll(c)
		return string(b), err
	}
	for range 30 {
		if got, err := say("hello"); got != "hello" || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
	if got, err := say("break"); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a stream that breaks: %q, %v", got, err)
	}
	write(true)
	r.Reload()
	drainAnnounced, before := time.Now(), int64(-1)
	for quiet := 0; quiet < 30; quiet++ {
		if n := servers[0].accepted.Load(); n != before {
			if before >= 0 && time.Since(drainAnnounced) > 2*time.Second {
				t.Fatalf("a stream was sent to the server %v after the drain was announced", time.Since(drainAnnounced))
			}
			before, quiet = n, 0
		}
		if got, err := say("hello"); got != "hello" || err != nil {
			t.Errorf("%q, %v", got, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

package proxy

import (
	"cmp"
	"context"
	"database/sql"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-sql-driver/mysql"
	"go.uber.org/goleak"

	"quillfront/internal/mysql/standin"
	"quillfront/internal/mysql/wire"
	"quillfront/internal/pool"
	"quillfront/internal/sockets"
	"quillfront/policy"
)

func TestMain(m *testing.M) {
	mysql.SetLogger(discardLogger{})
	goleak.VerifyTestMain(m)
}

type discardLogger struct{}

func (discardLogger) Print(...any) {}

const testTimeout = 20 * time.Second

// testEnv is a frontend with its pool and the test servers behind it.
type testEnv struct {
	*Frontend
	t          testing.TB
	pool       *pool.Pool
	cfg        pool.Config
	addr       string
	budget     *sockets.Budget
	db         *standin.Database
	servers    []*standin.Server
	fault      atomic.Pointer[func(server, sql string) standin.Fault]
	mu         sync.Mutex
	faultCalls int // statements for which a fault was considered
}

type options struct {
	servers       int // 2
	descriptors   int // 4000
	proxy         Config
	server        standin.Config
	deadline      time.Duration // 5 s
	class         func(*pool.Class)
	hintsDisabled bool
}

const (
	account  = "sidecar"
	password = "between you and me"
)

func newTestEnv(t testing.TB, o options) *testEnv {
	t.Helper()
	w := &testEnv{t: t, db: standin.NewDatabase(), budget: sockets.New(cmp.Or(o.descriptors, 4000))}
	for i := range cmp.Or(o.servers, 2) {
		w.startServer(o, fmt.Sprint("box", i))
	}
	deadline := cmp.Or(o.deadline, 5*time.Second)
	w.cfg.Name = "ledger"
	for _, name := range []string{"statement", "delivery-order"} {
		w.cfg.Classes = append(w.cfg.Classes, pool.Class{Name: name, ByRequest: true, Aim: deadline / 2, Deadline: deadline})
	}
	for i := range w.cfg.Classes {
		if o.class != nil {
			o.class(&w.cfg.Classes[i])
		}
	}
	c := o.proxy
	c.Name, c.Listen, c.Pool, c.DefaultClass, c.Hints = "ledger", "127.0.0.1:0", "ledger", "statement", !o.hintsDisabled
	if c.Auth == AuthUsers && c.Users == nil {
		c.Users = []User{{Name: "app", Password: wire.NewPasswordHashes("secret")}, {Name: "other", Password: wire.NewPasswordHashes("hidden")}}
	}
	if c.Auth == AuthUsers {
		c.Account = Account{account, password}
	}
	if err := c.Check(func(name string) bool { _, ok := w.cfg.Class(name); return ok }); err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	if os.Getenv("QUILLFRONT_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	transport := NewTransport(c, w.cfg.DialTimeout(), 15*time.Second, w.budget, w.cfg.LoadAddr, nil, log)
	w.budget.OnShortage(transport.EvictIdle, nil)
	p, err := w.cfg.Open(transport, log)
	if err != nil {
		t.Fatal(err)
	}
	w.pool, w.Frontend = p, New(c, p, transport, w.budget, log)
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		t.Fatal(err)
	}
	w.addr = ln.Addr().String()
	served := make(chan error, 1)
	go func() { served <- w.Serve(ln) }()
	t.Cleanup(func() {
		w.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
		p.Close()
		transport.Close()
		for _, s := range w.servers {
			s.Close()
		}
		if all, clients := w.budget.InUse(); all+clients > 0 {
			t.Errorf("descriptors still in use: %d in all, %d of clients", all, clients)
		}
	})
	return w
}

// startServer starts a server and adds it to the pool's configuration.
func (w *testEnv) startServer(o options, name string) *standin.Server {
	w.t.Helper()
	c := o.server
	c.Name, c.Database = name, w.db
	if c.Users == nil {
		c.Users = map[string]string{account: password, "app": "secret", "other": "hidden"}
	}
	c.Fault = func(sql string) standin.Fault {
		if f := w.fault.Load(); f != nil {
			return (*f)(name, sql)
		}
		return standin.Fault{}
	}
	s, err := standin.Start(c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.servers = append(w.servers, s)
	w.cfg.Servers = append(w.cfg.Servers, pool.Server{ID: name, Addr: s.Addr()})
	return s
}

// setFault sets the function that chooses the fault for each statement.
func (w *testEnv) setFault(f func(server, sql string) standin.Fault) { w.fault.Store(&f) }

// drain marks a server as draining and waits until the pool uses it no more.
func (w *testEnv) drain(i int) {
	w.t.Helper()
	w.cfg.Servers[i].Drain = true
	if err := w.pool.Reload(w.cfg); err != nil {
		w.t.Fatal(err)
	}
	eventually(w.t, "the pool stops using the draining server", func() bool { return !w.pool.ServerUsable(w.serverID(i)) })
}

func eventually(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting until %s", what)
		}
	}
}

// dsn returns the data source name for the go-sql-driver client.
func dsn(addr, user, password, options string) string {
	return fmt.Sprintf("%s:%s@tcp(%s)/?%s", user, password, addr, options)
}

// newClient returns a client of the frontend that uses a single connection.
func (w *testEnv) newClient(options string) *sql.DB {
	w.t.Helper()
	return connect(w.t, w.addr, "app", "secret", options)
}

func connect(t testing.TB, addr, user, password, options string) *sql.DB {
	t.Helper()
	db, err := sql.Open("mysql", dsn(addr, user, password, options))
	if err != nil {
		t.Fatal(err)
	}
	db.SetMaxOpenConns(1)
	t.Cleanup(func() { db.Close() })
	return db
}

// errorCode returns the code of a MySQL error, 0 for no error, and 1 for any other error.
func errorCode(err error) uint16 {
	var e *mysql.MySQLError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &e):
		return e.Number
	}
	return 1
}

func exec(t testing.TB, db interface {
	ExecContext(context.Context, string, ...any) (sql.Result, error)
}, sql string, args ...any) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := db.ExecContext(ctx, sql, args...)
	return err
}

func queryValue(t testing.TB, db interface {
	QueryRowContext(context.Context, string, ...any) *sql.Row
}, query string, args ...any) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var v sql.NullString
	err := db.QueryRowContext(ctx, query, args...).Scan(&v)
	return v.String, err
}

func (w *testEnv) serverID(i int) policy.ServerID { return policy.ServerID(w.cfg.Servers[i].ID) }

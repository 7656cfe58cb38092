package proxy

import (
	"context"
	"database/sql"
	"fmt"
	"testing"

	"quillfront/internal/mysql/wire"
)

// runScript runs typical application statements over the text and the binary protocol and returns
// what the application saw.
func runScript(t *testing.T, db *sql.DB) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := db.Conn(ctx)
	if err != nil {
		return fmt.Sprint("connect: ", err)
	}
	defer c.Close()
	var saw []any
	note := func(v any, err error) { saw = append(saw, v, err) }
	note(queryValue(t, c, "SELECT 1"))
	note(queryValue(t, c, "SELECT ?", "a text"))
	r, err := c.ExecContext(ctx, "INSERT INTO orders (id, item, qty) VALUES ('A1', 'hose', 3)")
	if err == nil {
		n, _ := r.RowsAffected()
		note(n, err)
	} else {
		note(0, err)
	}
	tx, err := c.BeginTx(ctx, nil)
	if err != nil {
		return fmt.Sprint("begin: ", err)
	}
	note(nil, exec(t, tx, "INSERT INTO orders (id, item, qty) VALUES (?, ?, ?)", "A2", "pump", 4))
	note(nil, exec(t, tx, "UPDATE orders SET qty = qty + ? WHERE id = ?", 5, "A1"))
	note(queryValue(t, tx, "SELECT COUNT(*) FROM orders"))
	note(nil, tx.Commit())
	tx, _ = c.BeginTx(ctx, nil)
	note(nil, exec(t, tx, "DELETE FROM orders WHERE id = 'A1'"))
	note(nil, tx.Rollback())
	rows, err := c.QueryContext(ctx, "SELECT id, item, qty FROM orders WHERE id = ?", "A1")
	if err != nil {
		return fmt.Sprint("rows: ", err)
	}
	for rows.Next() {
		var id, item string
		var qty int
		note(fmt.Sprint(id, item, qty), rows.Scan(&id, &item, &qty))
		note(fmt.Sprint(id, item, qty), nil)
	}
	note(nil, rows.Err())
	rows.Close()
	st, err := c.PrepareContext(ctx, "SELECT id, item, qty FROM orders WHERE id = ?")
	if err != nil {
		return fmt.Sprint("prepare: ", err)
	}
	for _, id := range []string{"A1", "A2", "none"} {
		var item string
		var qty int
		note(id, st.QueryRowContext(ctx, id).Scan(&id, &item, &qty))
		note(item, nil)
	}
	st.Close()
	note(nil, exec(t, c, "this is no statement"))
	note(nil, exec(t, c, "SET time_zone = '+10:00'"))
	note(queryValue(t, c, "SELECT @@time_zone"))
	note(nil, exec(t, c, "USE stock"))
	note(queryValue(t, c, "SELECT DATABASE()"))
	note(queryValue(t, c, "SELECT ROW FROM rows_5000"))
	note(nil, c.PingContext(ctx))
	return fmt.Sprint(saw...)
}

// TestRealClient checks that the go-sql-driver client sees the same through the frontend as at the
// server itself, with both protocols, both authentication plugins, and with and without TLS.
func TestRealClient(t *testing.T) {
	cert, roots := tlsConfigs(t)
	tlsOf := func(on bool) options {
		o := options{servers: 1}
		if on {
			o.server.TLS, o.proxy.TLS = cert, cert
			o.proxy.ServerTLS = roots
		}
		return o
	}
	registerTLSConfig(t, roots)
	for _, secure := range []bool{false, true} {
		for _, plugin := range []string{wire.Native, wire.SHA2} {
			for _, auth := range []Auth{AuthUsers, AuthPassThrough} {
				for _, dsn := range []string{"", "interpolateParams=true", "clientFoundRows=true&multiStatements=true"} {
					t.Run(fmt.Sprint(secure, plugin, auth, dsn), func(t *testing.T) {
						t.Parallel()
						o := tlsOf(secure)
						if secure {
							dsn += "&tls=test"
						}
						o.server.Plugin, o.proxy.Plugin, o.proxy.Auth = plugin, plugin, auth
						w := newTestEnv(t, o)
						got := runScript(t, w.newClient(dsn))
						w.db.Reset()
						want := runScript(t, connect(t, w.servers[0].Addr(), "app", "secret", dsn))
						if got != want {
							t.Errorf("through the frontend:\n%s\nat the server:\n%s", got, want)
						}
						if len(want) < 200 {
							t.Errorf("the script saw only %q", want)
						}
					})
				}
			}
		}
	}
}

// TestWrongPassword checks that a wrong password is rejected, whether the user exists or not,
// without a connection to a server.
func TestWrongPassword(t *testing.T) {
	salted, err := HashPassword("secret", []byte("gravel"), 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, u := range []User{{Name: "app", Password: wire.NewPasswordHashes("secret")}, {Name: "app", SaltedHash: salted}} {
		w := newTestEnv(t, options{proxy: Config{Users: []User{u}}})
		for _, c := range [][2]string{{"app", "wrong"}, {"app", ""}, {"nobody", "secret"}, {"nobody", ""}} {
			if err := connect(t, w.addr, c[0], c[1], "").Ping(); errorCode(err) != 1045 {
				t.Errorf("%v: %v", c, err)
			}
		}
		if n := w.servers[0].Conns.Load() + w.servers[1].Conns.Load(); n > 0 {
			t.Errorf("%d connections to servers", n)
		}
		for range 2 { // by full authentication first, then by the cached hash
			if err := w.newClient("").Ping(); err != nil {
				t.Errorf("the right password: %v", err)
			}
		}
		if err := connect(t, w.addr, "app", "wrong", "").Ping(); errorCode(err) != 1045 {
			t.Errorf("a wrong password once the hash of the right one is cached: %v", err)
		}
	}
}

// TestManyShareFew checks that idle sessions hold no server connection.
func TestManyShareFew(t *testing.T) {
	w := newTestEnv(t, options{})
	for i := range 100 {
		db := w.newClient("")
		if v, err := queryValue(t, db, "SELECT 7"); v != "7" || err != nil {
			t.Fatalf("%d: %q, %v", i, v, err)
		}
	}
	a, _ := w.servers[0].Sessions()
	b, _ := w.servers[1].Sessions()
	if a+b > 10 {
		t.Errorf("%d connections for 100 sessions that run statements one after the other", a+b)
	}
	// A statement is counted after its answer has been sent.
	eventually(t, "all statements are counted", func() bool { return w.Stats().Statements["served"] == 100 })
	if s := w.Stats(); s.Sessions != 100 || s.ServerConns.Reuses < 90 {
		t.Errorf("%+v", s)
	}
}

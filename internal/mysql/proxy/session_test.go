package proxy

import (
	"context"
	"crypto/sha256"
	"database/sql"
	"database/sql/driver"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quillfront/internal/connlimit"
	"quillfront/internal/mysql/session"
	"quillfront/internal/mysql/standin"
	"quillfront/internal/mysql/wire"
	"quillfront/internal/sockets"
)

func begin(t *testing.T, db *sql.DB) *sql.Tx {
	t.Helper()
	tx, err := db.BeginTx(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tx.Rollback() })
	return tx
}

// session returns one session of a client.
func (w *world) session(options string) *sql.Conn {
	w.t.Helper()
	c, err := w.client(options).Conn(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	return c
}

// at returns at which server a session runs its statements.
func at(t *testing.T, db interface {
	QueryRowContext(context.Context, string, ...any) *sql.Row
}) int {
	t.Helper()
	v, err := value(t, db, "SELECT SERVER()")
	if err != nil {
		t.Fatal(err)
	}
	var n int
	fmt.Sscanf(v, "box%d", &n)
	return n
}

// TestDrainInATransaction: a server that is told to drain keeps the transaction until it ends and gets no new one; one that goes on beyond
// the limit is gone, and its client is told so until it rolls back.
func TestDrainInATransaction(t *testing.T) {
	w := open(t, options{proxy: Config{DrainTimeout: 400 * time.Millisecond}})
	soon, late, rest := begin(t, w.client("")), w.session(""), w.session("")
	n := at(t, soon)
	exec(t, soon, "INSERT INTO orders (id, item, qty) VALUES ('soon', 'x', 1)")
	for { // another one at the same server
		if err := exec(t, late, "BEGIN"); err != nil {
			t.Fatal(err)
		}
		if at(t, late) == n {
			break
		}
		exec(t, late, "ROLLBACK")
	}
	exec(t, late, "INSERT INTO orders (id, item, qty) VALUES ('late', 'x', 1)")
	w.drain(n)
	begun := w.servers[n].TransactionsBegun.Load()
	if err := exec(t, soon, "UPDATE orders SET qty = qty + 1 WHERE id = 'soon'"); err != nil {
		t.Errorf("a statement of the transaction: %v", err)
	}
	for range 20 { // it may be known for 2 s at most, and is known
		if at(t, rest) == n {
			t.Error("a statement outside of a transaction goes to the server that drains")
		}
		exec(t, rest, "BEGIN")
		exec(t, rest, "COMMIT")
	}
	if w.servers[n].TransactionsBegun.Load() != begun {
		t.Error("a new transaction begins at the server that drains")
	}
	if err := soon.Commit(); err != nil {
		t.Errorf("COMMIT in time: %v", err)
	}
	until(t, "the late one is ended", func() bool { return w.Stats().DrainExpired == 1 })
	if err := exec(t, late, "INSERT INTO orders (id, item, qty) VALUES ('after', 'x', 1)"); code(err) != 9004 {
		t.Errorf("a statement behind it: %v", err)
	}
	if err := exec(t, late, "ROLLBACK"); err != nil {
		t.Errorf("ROLLBACK: %v", err)
	}
	if err := exec(t, late, "INSERT INTO orders (id, item, qty) VALUES ('again', 'x', 1)"); err != nil {
		t.Errorf("a statement behind ROLLBACK: %v", err)
	}
	if got := fmt.Sprint(w.db.Executed()); got != "map[again:1 soon:1]" {
		t.Errorf("executed %s", got)
	}
}

// TestServerDies: at each point of a statement. A write has at most one effect and one truthful answer; a read is answered by another
// server.
func TestServerDies(t *testing.T) {
	w := open(t, options{servers: 3})
	kinds := map[string]standin.Fault{"before": {CloseBefore: true}, "during": {CloseDuring: true}, "after": {CloseAfter: true}}
	for n := 1; n <= 12; n++ { // the reply to an INSERT has 11 bytes or so
		kinds[fmt.Sprint("cut ", n)] = standin.Fault{CutAfterBytes: n}
	}
	for name, trouble := range kinds {
		var once atomic.Bool
		w.make(func(_, sql string) standin.Fault {
			if strings.Contains(sql, name) && once.CompareAndSwap(false, true) {
				return trouble
			}
			return standin.Fault{}
		})
		c := w.session("")
		err := exec(t, c, fmt.Sprintf("/* class=delivery-order */ INSERT INTO orders (id, item, qty) VALUES ('%s', 'x', 1)", name))
		ran := w.db.Executed()[name]
		switch {
		case !once.Load():
			t.Errorf("%s: the trouble did not come", name)
		case ran > 1:
			t.Errorf("%s: executed %d times", name, ran)
		case err == nil && ran != 1:
			t.Errorf("%s: acknowledged and executed %d times", name, ran)
		case err != nil && code(err) != 9002:
			t.Errorf("%s: %v", name, err)
		}
		if v, err := value(t, c, "SELECT 5"); v != "5" || err != nil {
			t.Errorf("%s: the session goes on with %q, %v", name, v, err)
		}
		once.Store(false)
		if v, err := value(t, c, fmt.Sprintf("SELECT '%s'", name)); v != name || err != nil {
			t.Errorf("%s: a read gives %q, %v", name, v, err)
		}
	}
}

// TestCommitDies: an unknown COMMIT is called unknown, and the session is out of the transaction; before COMMIT all is rolled back.
func TestCommitDies(t *testing.T) {
	w := open(t, options{})
	for _, tt := range []struct {
		trouble standin.Fault
		verb    string
		code    uint16
		ran     int
	}{
		{standin.Fault{CloseBefore: true}, "COMMIT", 9002, 0}, {standin.Fault{CloseDuring: true}, "COMMIT", 9002, 0}, {standin.Fault{CloseAfter: true}, "COMMIT", 9002, 1},
		{standin.Fault{CloseAfter: true}, "UPDATE", 9003, 0}, {standin.Fault{CloseAfter: true}, "ROLLBACK", 0, 0}, {standin.Fault{CloseAfter: true}, "CREATE TABLE", 9002, 1},
	} {
		name := fmt.Sprintf("%s %+v", tt.verb, tt.trouble.CloseAfter)
		if tt.trouble.CloseDuring {
			name = "during"
		}
		w.make(func(_, sql string) standin.Fault {
			if strings.HasPrefix(sql, tt.verb) {
				return tt.trouble
			}
			return standin.Fault{}
		})
		c := w.session("")
		exec(t, c, "BEGIN")
		exec(t, c, fmt.Sprintf("INSERT INTO orders (id, item, qty) VALUES ('%s', 'x', 1)", name))
		err := exec(t, c, map[string]string{"COMMIT": "COMMIT", "ROLLBACK": "ROLLBACK", "UPDATE": "UPDATE orders SET qty = qty + 1 WHERE id = 'x'", "CREATE TABLE": "CREATE TABLE t (a int)"}[tt.verb])
		if code(err) != tt.code {
			t.Errorf("%s: %v, want %d", name, err, tt.code)
		}
		if ran := w.db.Executed()[name]; ran != tt.ran {
			t.Errorf("%s: executed %d times, want %d", name, ran, tt.ran)
		}
		next := exec(t, c, "INSERT INTO orders (id, item, qty) VALUES ('next', 'x', 1)")
		if want := map[bool]uint16{true: 9004}[tt.code == 9003]; code(next) != want {
			t.Errorf("%s: the next statement: %v", name, next)
		}
	}
}

// TestResultBreaksOff: rows that are missing are never taken for the whole result.
func TestResultBreaksOff(t *testing.T) {
	w := open(t, options{servers: 1})
	for _, cut := range []int{1, 40, 60, 70, 100, 999, 5000, 40_000, 300_000} {
		var once atomic.Bool
		w.make(func(_, sql string) standin.Fault {
			if strings.Contains(sql, "rows_") && once.CompareAndSwap(false, true) {
				return standin.Fault{CutAfterBytes: cut}
			}
			return standin.Fault{}
		})
		c := w.session("")
		rows, err := c.QueryContext(context.Background(), "SELECT ROW FROM rows_50000")
		n := 0
		if err == nil {
			for rows.Next() {
				n++
			}
			err = rows.Err()
			rows.Close()
		}
		if !once.Load() || err == nil && n != 50_000 || err != nil && n >= 50_000 {
			t.Errorf("cut at %d: %d rows, %v", cut, n, err)
		}
		if n > 0 && err != nil && code(err) != 9006 && !errors.Is(err, driver.ErrBadConn) && code(err) != 1 {
			t.Errorf("cut at %d: %v", cut, err)
		}
		if code(err) == 9006 || err == nil {
			if v, err := value(t, c, "SELECT 5"); v != "5" || err != nil {
				t.Errorf("cut at %d: the session goes on with %q, %v", cut, v, err)
			}
		}
	}
}

// TestClientLeaves: a statement that nobody awaits is ended at its server, and a result that nobody reads does not hold a connection.
func TestClientLeaves(t *testing.T) {
	w := open(t, options{})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, err := w.client("").ExecContext(ctx, "SELECT SLEEP(15)"); err == nil {
		t.Error("it was answered")
	}
	until(t, "its server is told", func() bool { return w.servers[0].QueriesKilled.Load()+w.servers[1].QueriesKilled.Load() == 1 })
	tx := begin(t, w.client(""))
	ctx, cancel = context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, err := tx.ExecContext(ctx, "SELECT SLEEP(15)"); err == nil {
		t.Error("it was answered")
	}
	until(t, "its server is told", func() bool { return w.servers[0].QueriesKilled.Load()+w.servers[1].QueriesKilled.Load() == 2 })
	raw := dial(t, w, "app", "secret")
	raw.ask(wire.Query, "SELECT ROW FROM rows_1000000")
	raw.Read(make([]byte, 1000))
	raw.Close()
	until(t, "nothing is under way", func() bool {
		_, clients := w.budget.InUse()
		return w.Stats().Sessions == clients && w.Stats().Bound == 0 && w.transport.out.ServerCount() == 0
	})
}

// TestPreparedOutlivesItsServer: a statement that was prepared at a server that has gone, or drains, runs at another one.
func TestPreparedOutlivesItsServer(t *testing.T) {
	w := open(t, options{})
	c := w.session("")
	exec(t, c, "SET time_zone = '+10:00'")
	st, err := c.PrepareContext(context.Background(), "SELECT id, item, qty FROM orders WHERE id = ?")
	if err != nil {
		t.Fatal(err)
	}
	defer st.Close()
	in, err := c.PrepareContext(context.Background(), "INSERT INTO orders (id, item, qty) VALUES (?, ?, ?)")
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	run := func(id string) {
		t.Helper()
		if _, err := in.Exec(id, "pump", 4); err != nil {
			t.Errorf("%s: %v", id, err)
		}
		var item string
		var qty int
		if err := st.QueryRow(id).Scan(&id, &item, &qty); err != nil || item != "pump" || qty != 4 {
			t.Errorf("%s: %s %d, %v", id, item, qty, err)
		}
		if v, err := value(t, c, "SELECT @@time_zone"); v != "+10:00" || err != nil {
			t.Errorf("%s: the session's setting is %q, %v", id, v, err)
		}
	}
	run("A1")
	w.drain(0)
	run("A2")
	w.start(options{}, "box2")
	w.cfg.Servers[1].Drain = true
	if err := w.pool.Reload(w.cfg); err != nil {
		t.Fatal(err)
	}
	until(t, "the new one is known", func() bool { return w.pool.ServerUsable("box2") && !w.pool.ServerUsable("box1") })
	w.servers[0].Close()
	w.servers[1].Close()
	run("A3")
	if n := at(t, c); n != 2 {
		t.Errorf("it runs at %d", n)
	}
}

// TestStateStays: what a session has left at its server keeps it there; when the server goes the client is told, and is cut off.
func TestStateStays(t *testing.T) {
	w := open(t, options{servers: 3})
	c := w.session("")
	if err := exec(t, c, "CREATE TEMPORARY TABLE scratch (a int)"); err != nil {
		t.Fatal(err)
	}
	n := at(t, c)
	for range 20 {
		if v, err := value(t, c, "SELECT COUNT(*) FROM scratch"); v != "0" || err != nil {
			t.Fatalf("%q, %v", v, err)
		}
	}
	v := w.session("")
	exec(t, v, "SET @basket = 'x'")
	for range 10 {
		if got, err := value(t, v, "SELECT @basket"); got != "x" || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
	}
	w.servers[n].ResetConnections()
	if _, err := value(t, c, "SELECT COUNT(*) FROM scratch"); code(err) != 9007 {
		t.Errorf("%v", err)
	}
	if _, err := value(t, c, "SELECT 1"); code(err) != 1 {
		t.Errorf("the session goes on: %v", err)
	}
}

// TestIDs: LAST_INSERT_ID() and warnings are those of the session, or an error, never those of another.
func TestIDs(t *testing.T) {
	w := open(t, options{servers: 3, proxy: Config{HoldTimeout: 300 * time.Millisecond}})
	var work sync.WaitGroup
	for i := range 8 {
		work.Go(func() {
			c := w.session("")
			for j := range 30 {
				r, err := c.ExecContext(context.Background(), fmt.Sprintf("INSERT INTO orders (id, item, qty) VALUES ('%d/%d', 'x', 1)", i, j))
				if err != nil {
					t.Error(err)
					return
				}
				id, _ := r.LastInsertId()
				if v, err := value(t, c, "SELECT LAST_INSERT_ID()"); v != fmt.Sprint(id) || err != nil {
					t.Errorf("%q, %v, want %d", v, err, id)
				}
			}
			exec(t, c, "SELECT 1/0")
			var level, message string
			var number int
			if err := c.QueryRowContext(context.Background(), "SHOW WARNINGS").Scan(&level, &number, &message); err != nil || number != 1365 {
				t.Errorf("warning %d, %v", number, err)
			}
		})
	}
	work.Wait()
	pinged := w.session("")
	exec(t, pinged, "INSERT INTO orders (id, item, qty) VALUES ('pinged', 'x', 1)")
	if err := pinged.PingContext(context.Background()); err != nil {
		t.Error(err)
	}
	if v, err := value(t, pinged, "SELECT LAST_INSERT_ID()"); v == "0" || err != nil {
		t.Errorf("behind a ping: %q, %v", v, err)
	}
	fresh := w.session("")
	if v, err := value(t, fresh, "SELECT LAST_INSERT_ID()"); v != "0" || err != nil {
		t.Errorf("a session that has inserted nothing: %q, %v", v, err)
	}
	exec(t, fresh, "INSERT INTO orders (id, item, qty) VALUES ('held', 'x', 1)")
	until(t, "the connection is given back", func() bool { return w.transport.out.ServerCount() == 0 })
	if _, err := value(t, fresh, "SELECT LAST_INSERT_ID()"); code(err) != 9007 {
		t.Errorf("once it was given back: %v", err)
	}
}

// TestDeadlineInATransaction: the client is told in time, the server's transaction is gone, and nothing runs outside of it until
// ROLLBACK. Outside of one the session goes on.
func TestDeadlineInATransaction(t *testing.T) {
	w := open(t, options{servers: 1})
	c := w.session("")
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO orders (id, item, qty) VALUES ('A1', 'x', 1)")
	from := time.Now()
	if _, err := value(t, c, "/* timeout=150ms */ SELECT SLEEP(15)"); code(err) != 9003 {
		t.Errorf("%v", err)
	}
	if took := time.Since(from); took > 5*time.Second {
		t.Errorf("told after %v", took)
	}
	if err := exec(t, c, "INSERT INTO orders (id, item, qty) VALUES ('A2', 'x', 1)"); code(err) != 9004 {
		t.Errorf("a statement behind it: %v", err)
	}
	if err := exec(t, c, "COMMIT"); code(err) != 9003 {
		t.Errorf("COMMIT: %v", err)
	}
	if err := exec(t, c, "INSERT INTO orders (id, item, qty) VALUES ('A3', 'x', 1)"); err != nil {
		t.Error(err)
	}
	if _, err := value(t, c, "/* timeout=150ms */ SELECT SLEEP(15)"); code(err) != 9005 && code(err) != 9001 {
		t.Errorf("outside: %v", err)
	}
	until(t, "the session goes on", func() bool { // its server has failed just now, and may be refused for a while
		err := exec(t, c, "DO SLEEP(15)")
		if code(err) != 1064 && code(err) != 9001 {
			t.Fatal(err)
		}
		return code(err) == 1064
	})
	if got := fmt.Sprint(w.db.Executed()); got != "map[A3:1]" {
		t.Errorf("executed %s", got)
	}
	until(t, "the server was told to end both", func() bool { return w.servers[0].QueriesKilled.Load() == 2 })
	if err := exec(t, c, "/* timeout=never */ SELECT 1"); code(err) != 1064 {
		t.Errorf("a hint that cannot be read: %v", err)
	}
}

// TestAutocommitOff: a client that never says BEGIN is in a transaction from its first statement on, and its setting goes along.
func TestAutocommitOff(t *testing.T) {
	w := open(t, options{servers: 3})
	c, other := w.session("autocommit=false"), w.session("")
	for i := range 20 {
		id := fmt.Sprint("A", i)
		if err := exec(t, c, fmt.Sprintf("INSERT INTO orders (id, item, qty) VALUES ('%s', 'x', 1)", id)); err != nil {
			t.Fatal(err)
		}
		if v, err := value(t, other, "SELECT COUNT(*) FROM orders"); v != fmt.Sprint((i+1)/2) || err != nil {
			t.Errorf("before it ends %s orders are seen, %v", v, err)
		}
		if n := at(t, c); n != at(t, c) {
			t.Error("it moves in the middle")
		}
		if i%2 == 0 {
			exec(t, c, "COMMIT")
		} else {
			exec(t, c, "ROLLBACK")
		}
		if v, err := value(t, c, "SELECT @@autocommit"); v != "0" || err != nil {
			t.Errorf("autocommit is %q, %v", v, err)
		}
		exec(t, c, "COMMIT")
	}
	if n := len(w.db.Executed()); n != 10 {
		t.Errorf("%d orders", n)
	}
	// An implicit commit ends it too.
	exec(t, c, "INSERT INTO orders (id, item, qty) VALUES ('last', 'x', 1)")
	exec(t, c, "CREATE TABLE t (a int)")
	if v, _ := value(t, other, "SELECT COUNT(*) FROM orders"); v != "11" {
		t.Errorf("%s orders are seen behind CREATE TABLE", v)
	}
	until(t, "it is free again", func() bool { return w.Stats().Bound == 0 })
}

// TestKill: KILL QUERY by the number that the client was told ends the statement of that session, of the same user only.
func TestKill(t *testing.T) {
	w := open(t, options{servers: 3})
	victim := dial(t, w, "app", "secret")
	victim.ask(wire.Query, "SELECT SLEEP(15)")
	until(t, "it runs", func() bool {
		return w.servers[0].Statements.Load()+w.servers[1].Statements.Load()+w.servers[2].Statements.Load() == 1
	})
	if err := exec(t, connect(t, w.addr, "other", "hidden", ""), fmt.Sprint("KILL QUERY ", victim.id)); code(err) != 1094 {
		t.Errorf("by another user: %v", err)
	}
	if err := exec(t, w.client(""), fmt.Sprint("KILL QUERY ", victim.id)); err != nil {
		t.Error(err)
	}
	if b := victim.answer(); len(b) == 0 || b[0] != 0xff || wire.ParseError(b, wire.Protocol41).Code != 1317 {
		t.Errorf("the statement ends with %q", b)
	}
	victim.ask(wire.Ping, "")
	if b := victim.answer(); len(b) == 0 || b[0] != 0 {
		t.Errorf("its session: %q", b)
	}
	if err := exec(t, w.client(""), fmt.Sprint("KILL ", victim.id)); err != nil {
		t.Error(err)
	}
	until(t, "the session is closed", func() bool { return w.find(victim.id) == nil })
	if err := exec(t, w.client(""), "KILL 4000000"); code(err) != 1094 {
		t.Errorf("nobody: %v", err)
	}
}

// TestLongMessages: statements and rows beyond 16 MiB arrive whole.
func TestLongMessages(t *testing.T) {
	w := open(t, options{servers: 1, deadline: 15 * time.Second, proxy: Config{MaxStatementSize: 40 << 20, StatementMemory: 80 << 20}})
	db := w.client("maxAllowedPacket=0&interpolateParams=true")
	for _, n := range []int{1 << 10, wire.MaxPayload, 17 << 20} {
		v, err := value(t, db, fmt.Sprintf("SELECT REPEAT('y', %d)", n))
		if err != nil || sha256.Sum256([]byte(v)) != sha256.Sum256([]byte(strings.Repeat("y", n))) {
			t.Errorf("a row of %d bytes: %d came, %v", n, len(v), err)
		}
		text := strings.Repeat("z", n-9)
		if v, err = value(t, db, "SELECT '"+text+"'"); err != nil || v != text {
			t.Errorf("a statement of %d bytes: %d came, %v", n, len(v), err)
		}
	}
	long := strings.Repeat("q", 9<<20) // as COM_STMT_SEND_LONG_DATA
	small := w.client("maxAllowedPacket=4000000")
	if v, err := value(t, small, "SELECT ?", long); err != nil || v != long {
		t.Errorf("a parameter of %d bytes: %d came, %v", len(long), len(v), err)
	}
	if err := exec(t, db, "SELECT '"+strings.Repeat("z", 41<<20)+"'"); err == nil {
		t.Error("a statement over the bound is taken")
	}
	if v, err := value(t, w.client(""), "SELECT 5"); v != "5" || err != nil {
		t.Errorf("others: %q, %v", v, err)
	}
}

// TestSlowClient: one that does not read its result is cut off, and its server is free again.
func TestSlowClient(t *testing.T) {
	w := open(t, options{servers: 1, proxy: Config{StallTimeout: 400 * time.Millisecond}})
	raw := dial(t, w, "app", "secret")
	raw.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	raw.ask(wire.Query, "SELECT ROW FROM rows_3000000")
	until(t, "it is cut off", func() bool { return w.Stats().Sessions == 0 })
	until(t, "its server is free", func() bool { return w.transport.out.ServerCount() == 0 })
	half := dial(t, w, "app", "secret") // and one that stops in the middle of a statement
	half.Conn.Write([]byte{100, 0, 0, 0, byte(wire.Query), 's'})
	until(t, "it is cut off too", func() bool { return w.Stats().Sessions == 0 })
}

// TestBounds: per address, per user, in all, and of descriptors.
func TestBounds(t *testing.T) {
	w := open(t, options{proxy: Config{ConnLimits: connlimit.Limits{Total: 6, PerUser: 2}}})
	a, b := w.session(""), w.session("")
	if err := w.client("").Ping(); code(err) != 1203 {
		t.Errorf("a third of the user: %v", err)
	}
	o := connect(t, w.addr, "other", "hidden", "")
	if err := o.Ping(); err != nil {
		t.Errorf("another user: %v", err)
	}
	a.Raw(func(any) error { return driver.ErrBadConn }) // it leaves
	a.Close()
	until(t, "the place is free", func() bool { return w.Stats().Sessions == 2 })
	if v, err := value(t, w.client(""), "SELECT 5"); v != "5" || err != nil {
		t.Errorf("%q, %v", v, err)
	}
	b.Close()
	var silent []net.Conn
	for range 300 { // who never say anything have no more than their places
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, c)
	}
	until(t, "the places are taken", func() bool {
		return w.Stats().Connections.Current == 6 && w.Stats().Connections.Rejected["too many connections"] >= 290
	})
	for _, c := range silent {
		c.Close()
	}
	until(t, "they are free again", func() bool { return w.Stats().Connections.Current < 6 })
}

// TestPerServer: one more connection in use than a server may have goes to another, and is refused as not run where there is none.
func TestPerServer(t *testing.T) {
	w := open(t, options{servers: 2, deadline: time.Second, proxy: Config{MaxConnsPerServer: 3}})
	for range 6 {
		begin(t, w.client(""))
	}
	for i, s := range w.servers {
		if _, n := s.Sessions(); n != 3 {
			t.Errorf("%d transactions at server %d", n, i)
		}
	}
	if err := exec(t, w.session(""), "INSERT INTO orders (id, item, qty) VALUES ('more', 'x', 1)"); code(err) != 9001 || len(w.db.Executed()) > 0 {
		t.Errorf("%v, executed %v", err, w.db.Executed())
	}
}

// TestSilentClients: those who do not log in are cut off in time, and hold up nobody.
func TestSilentClients(t *testing.T) {
	w := open(t, options{descriptors: sockets.Reserved + 600, proxy: Config{LoginTimeout: 500 * time.Millisecond}})
	for range 300 {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	until(t, "somebody is served", func() bool { v, err := value(t, w.client(""), "SELECT 5"); return v == "5" && err == nil })
	until(t, "they are cut off", func() bool { return w.Stats().Connections.Current <= 3 })
}

// TestBadClients: whatever a client sends, it is told or cut off, and others are served.
func TestBadClients(t *testing.T) {
	w := open(t, options{servers: 1, proxy: Config{StallTimeout: 300 * time.Millisecond, LoginTimeout: 300 * time.Millisecond, MaxStatementSize: 1 << 20}})
	for name, b := range map[string][]byte{
		"HTTP at login": []byte("GET / HTTP/1.1\r\n\r\n"), "an endless login": append([]byte{0xff, 0xff, 0xff, 1}, make([]byte, 100_000)...),
		"an empty login": {0, 0, 0, 1}, "out of order": {5, 0, 0, 7, 1, 2, 3, 4, 5}, "cut": {40, 0, 0, 1, 0, 2}, "an old client": {4, 0, 0, 1, 1, 0, 0, 0},
		"a login that is cut": append([]byte{33, 0, 0, 1, 0, 2, 0, 0}, make([]byte, 29)...),
	} {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(patience))
		c.Write(b)
		for err = error(nil); err == nil; {
			_, err = c.Read(make([]byte, 4096))
		}
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			t.Errorf("%s: it is neither told nor cut off", name)
		}
		c.Close()
	}
	for name, tt := range map[string]struct {
		raw  []byte
		code uint16 // 0: it is cut off without a word
	}{
		"out of order": {[]byte{2, 0, 0, 5, 3, 's'}, 1156}, "empty": {[]byte{0, 0, 0, 0}, 1156}, "too long": {[]byte{0, 0, 0x20, 0, 3, 's'}, 1153},
		"a command nobody knows": {[]byte{1, 0, 0, 0, 0x77}, 1047}, "a replica": {[]byte{1, 0, 0, 0, byte(wire.BinlogDump)}, 1235},
		"an EXECUTE that is cut": {[]byte{6, 0, 0, 0, byte(wire.StmtExecute), 1, 0, 0, 0, 0}, 1243}, "cut": {[]byte{9, 0, 0, 0, 3}, 0},
		"fields": {[]byte{2, 0, 0, 0, byte(wire.FieldList), 0}, 1235}, "a long piece": {append([]byte{0xff, 0xff, 0xff, 0, 3}, make([]byte, 10)...), 1153},
	} {
		c := dial(t, w, "app", "secret")
		c.Conn.Write(tt.raw)
		b, err := c.next()
		if tt.code == 0 && err == nil || tt.code != 0 && (err != nil || len(b) < 3 || wire.ParseError(b, wire.Protocol41).Code != tt.code) {
			t.Errorf("%s: %q, %v", name, b, err)
		}
		c.Close()
	}
	if v, err := value(t, w.client(""), "SELECT 5"); v != "5" || err != nil {
		t.Errorf("others: %q, %v", v, err)
	}
}

// TestBadServers: whatever a server sends, each statement has one answer in time, a write none that is wrong, and no other session harm.
func TestBadServers(t *testing.T) {
	w := open(t, options{servers: 2, deadline: 2 * time.Second, proxy: Config{StallTimeout: 500 * time.Millisecond}})
	for name, trouble := range map[string]standin.Fault{
		"noise": {RawReply: []byte("HTTP/1.1 200 OK\r\n\r\n")}, "out of order": {RawReply: []byte{7, 0, 0, 9, 0, 0, 0, 2, 0, 0, 0}},
		"an empty packet": {RawReply: []byte{0, 0, 0, 1}}, "an endless packet": {RawReply: append([]byte{0xff, 0xff, 0xff, 1, 0}, make([]byte, 2<<20)...)},
		"a file of the client": {RawReply: []byte{2, 0, 0, 1, 0xfb, 'x'}}, "columns without end": {RawReply: []byte{5, 0, 0, 1, 0xfd, 0xff, 0xff, 0xff, 0}},
		"silence": {NoReply: true}, "more than was asked for": {TrailingBytes: []byte{7, 0, 0, 2, 0, 0, 0, 2, 0, 0, 0}},
		"a result that stops": {RawReply: []byte{1, 0, 0, 1, 1}},
	} {
		w.make(func(server, sql string) standin.Fault {
			if server == "box0" && strings.Contains(sql, "trouble") {
				return trouble
			}
			return standin.Fault{}
		})
		ok := 0
		for i := range 6 {
			c := w.session("")
			id := fmt.Sprint("trouble ", name, i)
			from := time.Now()
			err := exec(t, c, fmt.Sprintf("INSERT INTO orders (id, item, qty) VALUES ('%s', 'x', 1)", id))
			if ran := w.db.Executed()[id]; ran > 1 || err == nil && ran == 0 {
				t.Errorf("%s: executed %d times, %v", name, ran, err)
			}
			switch code(err) {
			case 0:
				ok++
			case 9001, 9002:
			case 9006:
				if name != "a result that stops" {
					t.Errorf("%s: %v", name, err)
				}
			default:
				t.Errorf("%s: %v", name, err)
			}
			if v, err := value(t, c, "SELECT 'trouble'"); err == nil && v != "trouble" {
				t.Errorf("%s: a read gives %q", name, v)
			}
			if took := time.Since(from); took > 10*time.Second {
				t.Errorf("%s: %v", name, took)
			}
		}
		w.make(func(string, string) standin.Fault { return standin.Fault{} })
		if v, err := value(t, w.session(""), "SELECT 5"); v != "5" || err != nil {
			t.Errorf("behind %s: %q, %v", name, v, err)
		}
	}
	for _, greeting := range [][]byte{{}, {10}, []byte("HTTP/1.1 400\r\n\r\n"), {3, 0, 0, 0, 0xff, 0x10, 0x04}, {0xff, 0xff, 0xff, 0, 10}} {
		// One that stalls or talks nonsense at the handshake costs a read no more than time.
		w := open(t, options{servers: 1, deadline: 3 * time.Second})
		w.start(options{server: standin.Config{RawGreeting: greeting}}, "bad")
		if err := w.pool.Reload(w.cfg); err != nil {
			t.Fatal(err)
		}
		until(t, "it is known", func() bool { return w.pool.ServerUsable("bad") })
		for range 4 {
			if v, err := value(t, w.session(""), "SELECT 5"); v != "5" || err != nil {
				t.Errorf("greeting %q: %q, %v", greeting, v, err)
			}
		}
	}
}

// TestShutdown: a transaction may end within the patience, sessions at rest are told and closed, nobody new is let in.
func TestShutdown(t *testing.T) {
	w := open(t, options{proxy: Config{ShutdownTimeout: 800 * time.Millisecond}})
	tx, late, rest := begin(t, w.client("")), begin(t, w.client("")), w.session("")
	ended := make(chan error, 1)
	go func() { ended <- w.Shutdown(context.Background()) }()
	until(t, "the one at rest is closed", func() bool { return w.Stats().Sessions == 2 })
	if _, err := value(t, rest, "SELECT 1"); code(err) != 1053 && !errors.Is(err, driver.ErrBadConn) {
		t.Errorf("the one at rest: %v", err)
	}
	if err := exec(t, tx, "INSERT INTO orders (id, item, qty) VALUES ('A1', 'x', 1)"); err != nil {
		t.Errorf("in the transaction: %v", err)
	}
	if err := tx.Commit(); err != nil {
		t.Errorf("COMMIT: %v", err)
	}
	exec(t, late, "INSERT INTO orders (id, item, qty) VALUES ('A2', 'x', 1)")
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if late.Commit() == nil {
		t.Error("the late one is acknowledged")
	}
	if got := fmt.Sprint(w.db.Executed()); got != "map[A1:1]" {
		t.Errorf("executed %s", got)
	}
}

// TestShutdownWhileStatementsHang: statements whose server says nothing, of a session that is bound and of one that is not, are answered
// truthfully before the patience is over (one may have run, the other's transaction is rolled back), however long their deadline is, and a statement that comes after the last was
// forwarded is not sent.
func TestShutdownWhileStatementsHang(t *testing.T) {
	const patience = 800 * time.Millisecond
	w := open(t, options{deadline: time.Minute, proxy: Config{ShutdownTimeout: patience}})
	var hung atomic.Int32
	w.make(func(_, sql string) standin.Fault {
		if !strings.HasPrefix(sql, "INSERT") {
			return standin.Fault{}
		}
		hung.Add(1)
		return standin.Fault{NoReply: true}
	})
	free, tx, late := w.session(""), begin(t, w.client("")), begin(t, w.client(""))
	answers := make(chan [2]any, 2) // its id, and the error's code
	insert := func(c interface {
		ExecContext(context.Context, string, ...any) (sql.Result, error)
	}, id string) {
		answers <- [2]any{id, code(exec(t, c, "INSERT INTO orders (id, item, qty) VALUES ('"+id+"', 'x', 1)"))}
	}
	go insert(free, "A1")
	go insert(tx, "A2")
	until(t, "both hang", func() bool { return hung.Load() == 2 })
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- w.Shutdown(context.Background()) }()
	for range 2 {
		a := <-answers
		want := map[any]uint16{"A1": wire.OutcomeUnknown("").Code, "A2": wire.RolledBack("").Code}[a[0]]
		if a[1] != want {
			t.Errorf("%v: error %v, want %v", a[0], a[1], want)
		}
	}
	if took := time.Since(began); took > patience+2*time.Second {
		t.Errorf("the answers took %v of a patience of %v", took, patience)
	}
	exec(t, late, "INSERT INTO orders (id, item, qty) VALUES ('A3', 'x', 1)")
	if hung.Load() > 2 {
		t.Error("a statement was sent behind the last answers")
	}
	<-ended
	if took := time.Since(began); took > patience+2*time.Second {
		t.Errorf("the end took %v of a patience of %v", took, patience)
	}
}

// TestRefusedTruthfully: with no server that can be reached a write is called not run, and it was not.
func TestRefusedTruthfully(t *testing.T) {
	w := open(t, options{servers: 1, deadline: time.Second})
	c := w.session("")
	w.servers[0].Close()
	if err := exec(t, c, "INSERT INTO orders (id, item, qty) VALUES ('A1', 'x', 1)"); code(err) != 9001 {
		t.Errorf("%v", err)
	}
	if _, err := value(t, c, "SELECT 1"); code(err) != 9001 && code(err) != 9005 {
		t.Errorf("%v", err)
	}
	if len(w.db.Executed()) > 0 {
		t.Error("it was executed")
	}
}

// TestCommands: those that the real client does not use.
func TestCommands(t *testing.T) {
	w := open(t, options{servers: 2})
	c := dial(t, w, "app", "secret")
	do := func(command wire.Command, text string) byte {
		t.Helper()
		c.ask(command, text)
		b := c.answer()
		if len(b) == 0 {
			t.Fatalf("%#x: no answer", command)
		}
		return b[0]
	}
	// What a statement does to the session is counted once its answer is on its way.
	if do(wire.Query, "SET @a = 1") != 0 {
		t.Error("SET @a")
	}
	until(t, "SET @a binds", func() bool { return w.Stats().Bound == 1 })
	if do(wire.ResetConnection, "") != 0 {
		t.Error("COM_RESET_CONNECTION")
	}
	until(t, "COM_RESET_CONNECTION sets it free", func() bool { return w.Stats().Bound == 0 })
	if do(wire.InitDB, "stock") != 0 || do(wire.InitDB, "nowhere") != 0xff {
		t.Error("COM_INIT_DB")
	}
	if do(wire.Ping, "") != 0 || do(wire.SetOption, "\x00\x00") != 0xff {
		t.Error("COM_PING, COM_SET_OPTION")
	}
	if do(wire.StmtReset, "\x09\x00\x00\x00") != 0xff {
		t.Error("COM_STMT_RESET of nothing")
	}
	if do(wire.Query, "LOAD DATA LOCAL INFILE 'x' INTO TABLE orders") != 0xff || do(wire.Query, "SELECT 1") != 1 {
		t.Error("LOCAL INFILE")
	}
	for !c.more(session.NewReplyTracker(wire.Query, c.caps)) {
	}
	if !c.changeUser("other", "hidden") || w.find(c.id).name() != "other" {
		t.Error("COM_CHANGE_USER")
	}
	if c.changeUser("app", "wrong") {
		t.Error("COM_CHANGE_USER with a wrong password")
	}
	until(t, "it is cut off then", func() bool { return w.find(c.id) == nil })
}

// TestHintsOff: a comment means nothing where the operator has not said so.
func TestHintsOff(t *testing.T) {
	w := open(t, options{hintless: true})
	if v, err := value(t, w.session(""), "/* timeout=1ms class=none */ SELECT 5"); v != "5" || err != nil {
		t.Errorf("%q, %v", v, err)
	}
	if v, err := value(t, w.session(""), "/* timeout=never */ SELECT 5"); v != "5" || err != nil {
		t.Errorf("%q, %v", v, err)
	}
}

// TestSchemas: a user may choose its schemas only, by whatever way.
func TestSchemas(t *testing.T) {
	w := open(t, options{proxy: Config{Users: []User{{Name: "app", Password: wire.NewPasswordHashes("secret"), Schemas: []string{"stock"}}}}})
	c := w.session("")
	if err := exec(t, c, "USE stock"); err != nil {
		t.Error(err)
	}
	if err := exec(t, c, "USE `payroll`"); code(err) != 1044 {
		t.Errorf("USE: %v", err)
	}
	db, err := sql.Open("mysql", fmt.Sprintf("app:secret@tcp(%s)/payroll", w.addr))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if err := db.Ping(); code(err) != 1044 {
		t.Errorf("at login: %v", err)
	}
}

// TestLoadQuery: the queue that servers tell reaches the decision module.
func TestLoadQuery(t *testing.T) {
	w := open(t, options{proxy: Config{LoadQuery: "SELECT 7"}})
	until(t, "it is known", func() bool {
		value(t, w.client(""), "SELECT 1")
		for _, s := range w.pool.Snapshot().Servers {
			if s.Reported && s.Queue == 7 {
				return true
			}
		}
		return false
	})
}

func TestCheck(t *testing.T) {
	good := Config{Name: "l", Listen: "x", DefaultClass: "c", Users: []User{{Name: "u"}}, Account: Account{User: "a"}}
	class := func(name string) bool { return name == "c" }
	if err := good.Check(class); err != nil {
		t.Fatal(err)
	}
	cert, _ := certificate(t)
	for want, change := range map[string]func(*Config){
		"name": func(c *Config) { c.Name = "" }, "listen": func(c *Config) { c.Listen = "" }, "class": func(c *Config) { c.DefaultClass = "d" },
		"plugin": func(c *Config) { c.Plugin = "sha1" }, "users": func(c *Config) { c.Users = nil }, "account": func(c *Config) { c.Account = Account{} },
		"tls":            func(c *Config) { c.Auth, c.Users, c.TLS = AuthPassThrough, nil, cert },
		"most_statement": func(c *Config) { c.MaxStatementSize = 1 }, "memory": func(c *Config) { c.StatementMemory = 5 }, "idle_pool": func(c *Config) { c.MaxIdlePerServer = -1 },
		"most_per_server": func(c *Config) { c.MaxConnsPerServer = -1 },
		"stall":           func(c *Config) { c.StallTimeout = -1 }, "rules": func(c *Config) { c.Rules = []Rule{{Class: "d"}} },
		"most_per_user": func(c *Config) { c.ConnLimits.PerUser = -1 },
		"users: \"u\"":  func(c *Config) { c.Users = []User{{Name: "u", SaltedHash: "x"}} },
	} {
		c := good
		change(&c)
		if err := c.Check(class); err == nil || !strings.HasPrefix(err.Error(), want+":") {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// TestRules: the hint comes first if it may, then the first rule that matches.
func TestRules(t *testing.T) {
	c := Config{DefaultClass: "other", Hints: true, Rules: []Rule{{User: "batch", Class: "night"}, {Schema: "stock", Verb: "select", Class: "check"}, {Verb: "insert", Class: "order"}}}
	class := func(string) bool { return true }
	for _, tt := range [][5]string{
		{"batch", "stock", "select", "", "night"}, {"app", "stock", "select", "", "check"}, {"app", "x", "select", "", "other"}, {"app", "x", "insert", "", "order"},
		{"app", "x", "insert", "hinted", "hinted"},
	} {
		if got := c.classOf(tt[0], tt[1], tt[2], tt[3], class); got != tt[4] {
			t.Errorf("%v: %s", tt, got)
		}
	}
	if got := c.classOf("app", "x", "insert", "hinted", func(n string) bool { return n != "hinted" }); got != "order" {
		t.Errorf("a hint of no class: %s", got)
	}
}

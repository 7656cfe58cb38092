package services

import (
	"bytes"
	"database/sql"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	_ "github.com/go-sql-driver/mysql"
	"go.uber.org/goleak"

	"quillfront/internal/config"
	"quillfront/internal/mysql/standin"
	"quillfront/internal/sockets"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout limits each step of a test that waits for something.
const testTimeout = 20 * time.Second

// startEchoServer starts a TCP server that echoes what it reads, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// loadConfig writes text to a file in dir and loads it as the operator's configuration.
func loadConfig(t testing.TB, dir, text string) config.Operator {
	t.Helper()
	path := filepath.Join(dir, "quillfront.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	o, err := config.LoadOperator(path)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// TestServices runs a stream and a MySQL service from an operator's file, reloads servers and
// users, and checks the telemetry and that Close releases all descriptors.
func TestServices(t *testing.T) {
	dir, db := t.TempDir(), standin.NewDatabase()
	var databases []*standin.Server
	for i := range 2 {
		s, err := standin.Start(standin.Config{Name: fmt.Sprint("l", i), Database: db, Users: map[string]string{"sidecar": "inner"}})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		databases = append(databases, s)
	}
	loadServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { io.WriteString(w, "TEXT queue=3") }))
	defer loadServer.Close()
	_, port, _ := net.SplitHostPort(loadServer.Listener.Addr().String())
	if err := os.WriteFile(filepath.Join(dir, "inner"), []byte("inner\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	writeUsers := func(password string) {
		if err := os.WriteFile(filepath.Join(dir, "users"), fmt.Appendf(nil, "[[users]]\nname = \"app\"\npassword = %q\n", password), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeUsers("secret")
	echoAddr := startEchoServer(t)
	text := fmt.Sprintf(`
[[pools]]
name = "meters"
servers = [{addr = %q}]
load_port = %s
[[pools.classes]]
name = "open"
effect = "safe"
aim = "1s"
deadline = "2s"
[[streams]]
name = "meters"
listen = "127.0.0.1:0"
pool = "meters"
class = "open"
[[pools]]
name = "ledger"
servers = [{id = "l0", addr = %q}, {id = "l1", addr = %q}]
[[pools.classes]]
name = "sql"
effect = "by-statement"
aim = "1s"
deadline = "4s"
[[mysql]]
name = "ledger"
listen = "127.0.0.1:0"
pool = "ledger"
class = "sql"
auth = "users"
users = "users"
account = {user = "sidecar", password_file = "inner"}
`, echoAddr, port, databases[0].Addr(), databases[1].Addr())
	budget := sockets.New(500)
	s, err := New(loadConfig(t, dir, text).Services, nil, 1<<20, budget, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	budget.OnShortage(s.EvictIdle, nil)
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	c, err := net.Dial("tcp", s.Addr("meters"))
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(c, "reading")
	c.(*net.TCPConn).CloseWrite()
	if b, err := io.ReadAll(c); string(b) != "reading" || err != nil {
		t.Errorf("%q, %v", b, err)
	}
	c.Close()
	queryServer := func(password string) (string, error) {
		db, err := sql.Open("mysql", fmt.Sprintf("app:%s@tcp(%s)/", password, s.Addr("ledger")))
		if err != nil {
			t.Fatal(err)
		}
		defer db.Close()
		var v string
		return v, db.QueryRow("SELECT SERVER()").Scan(&v)
	}
	if _, err := queryServer("secret"); err != nil {
		t.Error(err)
	}
	writeUsers("changed")
	changed := strings.Replace(text, `id = "l0",`, `id = "l0", drain = true,`, 1)
	next := loadConfig(t, dir, changed).Services
	if err := s.Check(next, nil); err != nil {
		t.Error(err)
	}
	if restart, err := s.Reload(next, nil); restart || err != nil {
		t.Errorf("restart %v, %v", restart, err)
	}
	for end := time.Now().Add(testTimeout); s.services[1].pool.ServerUsable("l0"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the drained server to become unusable")
		}
	}
	before := databases[0].Statements.Load()
	for range 10 {
		if _, err := queryServer("changed"); err != nil {
			t.Error(err)
		}
	}
	if _, err := queryServer("secret"); err == nil {
		t.Error("the old password is still accepted")
	}
	if databases[0].Statements.Load() != before {
		t.Error("statements were sent to the draining server")
	}
	if restart, err := s.Reload(loadConfig(t, dir, strings.Replace(changed, `class = "open"`, "class = \"open\"\nidle = \"7s\"", 1)).Services, nil); !restart || err != nil {
		t.Errorf("reload with another idle timeout: restart %v, %v", restart, err)
	}
	stats := s.Stats()
	if len(stats) != 2 || stats[0].Stream.Bytes != [2]uint64{7, 7} || stats[1].MySQL.Statements["served"] != 11 {
		t.Errorf("%+v %+v", stats[0].Stream, stats[1].MySQL)
	}
	s.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if all, clients := budget.InUse(); all+clients > 0 {
		t.Errorf("%d descriptors are still in use", all+clients)
	}
}

// TestListenAllOrNone checks that an address that is in use fails Listen with an error that names
// the service, and that no listener stays open.
func TestListenAllOrNone(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	const poolText = "[[pools]]\nname = \"p\"\nservers = [{addr = \"127.0.0.1:1\"}]\n[[pools.classes]]\nname = \"open\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"2s\"\n"
	streamText := func(name, addr string) string {
		return fmt.Sprintf("[[streams]]\nname = %q\nlisten = %q\npool = \"p\"\nclass = \"open\"\n", name, addr)
	}
	var log bytes.Buffer
	s, err := New(loadConfig(t, t.TempDir(), poolText+streamText("first", "127.0.0.1:0")+streamText("second", taken.Addr().String())).Services, nil, 1<<20, sockets.New(100), slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Listen(); err == nil || !strings.Contains(err.Error(), "stream second") {
		t.Errorf("%v", err)
	}
	if s.Addr("first") != "" {
		t.Error("the first service still listens")
	}
}

package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"quillfront/internal/mysql/proxy"
	"quillfront/internal/mysql/wire"
)

// TestServices checks the services of the operator's file in the repository.
func TestServices(t *testing.T) {
	o, err := LoadOperator(filepath.Join("..", "..", "deploy", "quillfront.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if len(o.Pools) != 2 || len(o.Streams) != 1 || len(o.MySQL) != 1 {
		t.Fatalf("%d pools, %d streams, %d of MySQL", len(o.Pools), len(o.Streams), len(o.MySQL))
	}
	if s := o.Streams[0]; s.DrainTimeout != time.Minute || s.ConnLimits.PerAddress != 100 || s.Pool != "meters" || !o.Pool("meters").Servers[1].Drain {
		t.Errorf("%+v", s)
	}
	m := o.MySQL[0]
	if m.Auth != proxy.AuthUsers || m.Account.User != "sidecar" || len(m.Users) != 1 || m.Users[0].Schemas[1] != "orders" || m.Rules[0].Class != "delivery-order" {
		t.Errorf("%+v", m)
	}
	if k, ok := o.Pools[1].Class("delivery-order"); !ok || !k.ByRequest || k.Worth != 10 {
		t.Errorf("%+v", k)
	}
}

// TestRoutesPageExamples checks that the configurations on the operators' page are complete.
func TestRoutesPageExamples(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operate", "routes.md"))
	if err != nil {
		t.Fatal(err)
	}
	blocks := strings.Split(string(page), "```toml\n")[1:]
	example, err := os.ReadFile(filepath.Join("..", "..", "examples", "two-servers.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for i, block := range append(blocks, string(example)) {
		text, _, _ := strings.Cut(block, "```")
		if o, err := parseOperator(text, t.TempDir()); err != nil || len(o.HTTP) != 1 || len(o.Routes) == 0 {
			t.Errorf("configuration %d: %v", i+1, err)
		}
	}
	if len(blocks) != 2 {
		t.Errorf("%d configurations on the page, want 2", len(blocks))
	}
}

// TestShow checks that the output of Show has the same meaning as the file, and that Show of its
// own output leaves it unchanged.
func TestShow(t *testing.T) {
	for _, path := range []string{filepath.Join("..", "..", "deploy", "quillfront.toml"), filepath.Join("..", "..", "examples", "two-servers.toml")} {
		want, err := LoadOperator(path)
		if err != nil {
			t.Fatal(err)
		}
		text, err := Show(path)
		if err != nil {
			t.Fatal(err)
		}
		shown := filepath.Join(t.TempDir(), "shown.toml")
		if users, err := os.ReadFile(filepath.Join(filepath.Dir(path), "mysql-users.toml")); err == nil {
			os.WriteFile(filepath.Join(filepath.Dir(shown), "mysql-users.toml"), users, 0o600)
		}
		if err := os.WriteFile(shown, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := LoadOperator(shown)
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
		if again, err := Show(shown); err != nil || again != text {
			t.Errorf("%s: Show of its own output is\n%s\nwant\n%s", path, again, text)
		}
		for i, p := range want.Pools {
			p.Seed = got.Pools[i].Seed
			if g := got.Pools[i].WithDefaults(); g.Dial != p.WithDefaults().Dial || g.LoadPort != p.LoadPort || len(g.Classes) != len(p.Classes) || g.Classes[0] != got.Pools[i].Classes[0] {
				t.Errorf("%+v, want %+v", g, p)
			}
		}
		if !reflect.DeepEqual(got.Sites, want.Sites) || !reflect.DeepEqual(got.Store, want.Store) || !reflect.DeepEqual(got.HTTP, want.HTTP) {
			t.Errorf("%+v, want %+v", got, want)
		}
	}
	if _, err := Show("none"); err == nil {
		t.Error("Show accepted a file that does not exist")
	}
}

// TestBadServices checks that the error for an invalid table names the table and the key, in one
// line.
func TestBadServices(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("users", "[[users]]\nname = \"app\"\npassword = \"secret\"\n")
	write("two-ways", "[[users]]\nname = \"app\"\npassword = \"secret\"\nsha2 = \"00\"\n")
	write("short", "[[users]]\nname = \"app\"\nnative = \"*00\"\n")
	write("typo", "[[users]]\nname = \"app\"\npasword = \"secret\"\n")
	write("empty", "")
	const pools = "[[pools]]\nname = \"p\"\nservers = [{addr = \"127.0.0.1:1\"}]\n[[pools.classes]]\nname = \"open\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"2s\"\n" +
		"[[pools.classes]]\nname = \"sql\"\neffect = \"by-statement\"\naim = \"1s\"\ndeadline = \"2s\"\n"
	const stream = "[[streams]]\nname = \"s\"\nlisten = \"127.0.0.1:0\"\npool = \"p\"\nclass = \"open\"\n"
	const mysql = "[[mysql]]\nname = \"m\"\nlisten = \"127.0.0.1:0\"\npool = \"p\"\nclass = \"sql\"\nauth = \"users\"\nusers = \"users\"\naccount = {user = \"a\"}\n"
	if o, err := parseOperator(pools+stream+mysql, dir); err != nil || o.MySQL[0].Users[0].Password != wire.NewPasswordHashes("secret") {
		t.Fatalf("%+v, %v", o, err)
	}
	for _, tt := range []struct{ text, old, new, want string }{
		{pools, `"127.0.0.1:1"`, `"nowhere"`, `[[pools]] p: servers: "nowhere"`},
		{pools, `addr = "127.0.0.1:1"`, `addr = "127.0.0.1:1"}, {addr = "127.0.0.1:1"`, "is there twice"},
		{pools, `effect = "safe"`, `effect = "kind"`, `classes "open": effect: "kind"`},
		{pools, `aim = "1s"`, `aim = "3s"`, `classes "open": deadline`},
		{pools, `name = "sql"`, `name = "open"`, `classes "open": is there twice`},
		{pools, `name = "p"`, "name = \"p\"\ndiscovery = \"127.0.0.1:1\"", "servers: 2 of servers, discovery, file and dns are set"},
		{pools, `name = "p"`, "name = \"p\"\nattempts = 99", "attempts: 99"},
		{pools + pools, "xx", "xx", "[[pools]] p: name: is there twice"},
		{pools + stream, `pool = "p"`, `pool = "q"`, `[[streams]] s: pool: there is no [[pools]] "q"`},
		{pools + stream, `class = "open"`, `class = "sql"`, `class: pool "p" has no class "sql" with effect "safe"`},
		{pools + stream, `name = "s"`, "name = \"s\"\nidle = \"-1s\"", "idle: -1s is negative"},
		{pools + stream + stream, "xx", "xx", "[[streams]] s: name: another service has it"},
		{pools + stream, `name = "s"`, "name = \"s\"\nidel = \"1s\"", "unknown key streams.idel"},
		{pools + mysql, `class = "sql"`, `class = "open"`, `class: the pool has no class "open" with effect "by-statement"`},
		{pools + mysql, `auth = "users"`, `auth = "kerberos"`, `auth: "kerberos"`},
		{pools + mysql, `users = "users"`, `users = "none"`, "users: "},
		{pools + mysql, `users = "users"`, `users = "two-ways"`, `"app": password: it is told in two ways`},
		{pools + mysql, `users = "users"`, `users = "short"`, `"app": native: 20 bytes`},
		{pools + mysql, `users = "users"`, `users = "typo"`, "unknown key users.pasword"},
		{pools + mysql, `users = "users"`, `users = "empty"`, "users: none are there"},
		{pools + mysql, `account = {user = "a"}`, ``, "account: not set"},
		{pools + mysql, `account = {user = "a"}`, `account = {user = "a", password_file = "none"}`, "account.password_file: "},
		{pools + mysql, `name = "m"`, "name = \"m\"\ntls = {cert = \"none\", key = \"none\"}", "tls: "},
		{pools + mysql, `name = "m"`, "name = \"m\"\nserver_tls = {ca = \"users\"}", "server_tls.ca: "},
		{pools + mysql, `name = "m"`, "name = \"m\"\nmost_statement = 7", "most_statement: 7"},
	} {
		text := strings.Replace(tt.text, tt.old, tt.new, 1)
		if _, err := parseOperator(text, dir); err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: %v, want %q", tt.new, tt.old, err, tt.want)
		}
	}
}

package quillfront

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"quillfront/internal/filelist"
	"quillfront/internal/standin"
)

// TestFile checks that a list file is read after it is replaced or written in place, and that a
// file that is incomplete, empty, missing or invalid changes nothing.
func TestFile(t *testing.T) {
	_, servers := startFleet(t, standin.ServerConfig{}, standin.ServerConfig{})
	entry := func(s Server) string { return fmt.Sprintf("[[servers]]\nid = %q\naddr = %q\n", s.ID, s.Addr) }
	path := filepath.Join(t.TempDir(), "servers.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(entry(servers[0]))
	b, _ := newTestBalancer(t, File(path, FileOptions{Every: 10 * time.Millisecond}))
	listed := func(n int) func() bool { return func() bool { return len(b.Snapshot().Servers) == n } }
	eventually(t, "the list is read", listed(1))
	both := entry(servers[0]) + entry(servers[1])
	next := path + ".new"
	if err := os.WriteFile(next, []byte(both), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, path); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the replaced file is read", listed(2))
	for _, bad := range []string{
		"", both[:len(both)-3], both + entry(servers[1]), "[[servers]]\nid = \"x\"\n", both + "[[servers]]\naddr = \"a:1\"\nstate = \"asleep\"\n",
		both + "[other]\nkey = 1\n", strings.Repeat("# nothing\n", filelist.MaxFileBytes/10+1),
	} {
		write(bad)
		time.Sleep(60 * time.Millisecond) // several polls
		if n := len(b.Snapshot().Servers); n != 2 {
			t.Errorf("%.40q: %d servers are listed", bad, n)
		}
	}
	os.Remove(path)
	time.Sleep(40 * time.Millisecond)
	if got := mustRoundTrip(t, b.RoundTripper(), get("/read/k")); got != "GET /read/k 0" || !listed(2)() {
		t.Errorf("after the file was removed: %q", got)
	}
	write(entry(servers[1]))
	eventually(t, "the new file is read", listed(1))
	if resp, err := b.RoundTripper().RoundTrip(get("/read/k")); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("after the file was written again: %v, %v", resp, err)
	}
}

// TestDNS checks that the targets of SRV records become the servers, and that the error for invalid
// options names the field.
func TestDNS(t *testing.T) {
	_, servers := startFleet(t, standin.ServerConfig{}, standin.ServerConfig{})
	d, err := standin.NewDNS()
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.SetRecords("here.example.", dnsmessage.TypeA, 1, &dnsmessage.AResource{A: [4]byte{127, 0, 0, 1}})
	set := func(list ...Server) {
		var bodies []dnsmessage.ResourceBody
		for _, s := range list {
			_, text, _ := net.SplitHostPort(s.Addr)
			port, _ := strconv.Atoi(text)
			bodies = append(bodies, &dnsmessage.SRVResource{Port: uint16(port), Target: dnsmessage.MustNewName("here.example.")})
		}
		d.SetRecords("_order._tcp.example.", dnsmessage.TypeSRV, 0, bodies...)
	}
	set(servers[0])
	b, _ := newTestBalancer(t, DNS("_order._tcp.example", DNSOptions{Resolvers: []string{d.Addr()}, Min: 10 * time.Millisecond, Max: 10 * time.Millisecond}))
	if got := mustRoundTrip(t, b.RoundTripper(), get("/read/k")); got != "GET /read/k 0" {
		t.Errorf("%q", got)
	}
	set(servers...)
	eventually(t, "both servers are listed", func() bool { return len(b.Snapshot().Servers) == 2 })
	var field *FieldError
	for _, source := range []Source{DNS("x", DNSOptions{}), DNS("x", DNSOptions{Resolvers: []string{"x"}}), DNS("", DNSOptions{Resolvers: []string{"x:53"}}),
		DNS("x", DNSOptions{Resolvers: []string{"x:53"}, Port: 70_000}), DNS("x", DNSOptions{Resolvers: []string{"x:53"}, Min: time.Hour})} {
		if _, err := New(Config{Classes: testClasses, Servers: source}); !errors.As(err, &field) || field.Field != "Servers" {
			t.Errorf("%+v: %v", source, err)
		}
	}
}

// TestSites checks that the snapshot of a Balancer with WithSites holds the state of its sites, and
// that the error for an invalid Sites names the field.
func TestSites(t *testing.T) {
	classes := []Class{{Name: "read", Effect: Safe, Aim: time.Second, Deadline: time.Second}}
	servers := Static(Server{ID: "a", Addr: "127.0.0.1:1", Zone: "x"}, Server{ID: "b", Addr: "127.0.0.1:1", Zone: "y"})
	cfg := Config{Classes: classes, Servers: servers}
	if _, err := New(cfg, WithSites(Sites{Doubt: 0.9})); err == nil || !strings.Contains(err.Error(), "Sites: doubt") {
		t.Errorf("doubt above dark: %v", err)
	}
	b, err := New(cfg, WithSites(Sites{Prefer: []string{"y"}}))
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	for end := time.Now().Add(20 * time.Second); len(b.Snapshot().Sites) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the snapshot has no sites")
		}
	}
	if s := b.Snapshot().Sites; s[0].Site != "y" || s[0].State != "healthy" || s[0].Share != 1 || s[0].Servers != 1 || s[1].Site != "x" {
		t.Errorf("%+v", s)
	}
}

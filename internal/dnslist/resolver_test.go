package dnslist

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/net/dns/dnsmessage"

	"quillfront/internal/engine"
	"quillfront/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startDNS starts a DNS server and returns it with a client for it.
func startDNS(t *testing.T) (*standin.DNS, Client) {
	d, err := standin.NewDNS()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d, Client{Servers: []string{d.Addr()}}
}

// formatRecords formats the records of an answer as addr/priority/weight.
func formatRecords(a Answer) string {
	var parts []string
	for _, r := range a.Records {
		parts = append(parts, fmt.Sprintf("%s/%d/%d", r.Addr, r.Priority, r.Weight))
	}
	return strings.Join(parts, " ")
}

// TestLookup covers addresses of both types, CNAME and SRV records, over UDP and TCP and with
// forged datagrams. A negative answer must be distinguishable from a failed lookup.
func TestLookup(t *testing.T) {
	d, c := startDNS(t)
	d.SetRecords("boxes.example.", dnsmessage.TypeA, 30, &dnsmessage.AResource{A: [4]byte{127, 0, 0, 1}}, &dnsmessage.AResource{A: [4]byte{127, 0, 0, 2}})
	d.SetRecords("boxes.example.", dnsmessage.TypeAAAA, 20, &dnsmessage.AAAAResource{AAAA: [16]byte{15: 1}})
	d.SetRecords("alias.example.", dnsmessage.TypeCNAME, 5, &dnsmessage.CNAMEResource{CNAME: dnsmessage.MustNewName("boxes.example.")})
	d.SetRecords("loop.example.", dnsmessage.TypeCNAME, 5, &dnsmessage.CNAMEResource{CNAME: dnsmessage.MustNewName("loop.example.")})
	d.SetRecords("_order._tcp.example.", dnsmessage.TypeSRV, 60,
		&dnsmessage.SRVResource{Priority: 1, Weight: 7, Port: 90, Target: dnsmessage.MustNewName("boxes.example.")},
		&dnsmessage.SRVResource{Priority: 2, Weight: 1, Port: 91, Target: dnsmessage.MustNewName("none.example.")})
	d.SetRecords("_none._tcp.example.", dnsmessage.TypeSRV, 60, &dnsmessage.SRVResource{Target: dnsmessage.MustNewName(".")})
	for _, tt := range []struct {
		kind Kind
		name string
		want string
		ttl  time.Duration
		err  error
	}{
		{Addresses, "boxes.example", "127.0.0.1:80/0/0 127.0.0.2:80/0/0 [::1]:80/0/0", 20 * time.Second, nil},
		{Addresses, "ALIAS.example.", "127.0.0.1:80/0/0 127.0.0.2:80/0/0 [::1]:80/0/0", 5 * time.Second, nil},
		{Addresses, "none.example", "", 7 * time.Second, ErrNoRecords},
		{Addresses, "loop.example", "", 0, ErrNoRecords},
		{Services, "_order._tcp.example", "127.0.0.1:90/1/7 127.0.0.2:90/1/7 [::1]:90/1/7", 20 * time.Second, nil},
		{Services, "_none._tcp.example", "", 60 * time.Second, ErrNoRecords},
	} {
		for _, fault := range [][2]bool{{false, false}, {true, false}, {false, true}} {
			d.SetFaults(dnsmessage.RCodeSuccess, fault[0], fault[1])
			a, err := c.Lookup(t.Context(), tt.kind, tt.name, 80)
			if !errors.Is(err, tt.err) || formatRecords(a) != tt.want || a.TTL != tt.ttl {
				t.Errorf("%s, with truncated and forged datagrams %v: %s with TTL %v, %v", tt.name, fault, formatRecords(a), a.TTL, err)
			}
		}
	}
	d.SetFaults(dnsmessage.RCodeServerFailure, false, false)
	if a, err := c.Lookup(t.Context(), Addresses, "boxes.example", 80); err == nil || errors.Is(err, ErrNoRecords) {
		t.Errorf("lookup at a failing server: %v, %v", a, err)
	}
	d.SetFaults(dnsmessage.RCodeSuccess, false, false)
	dead, err := standin.NewDNS()
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	c.Servers = []string{dead.Addr(), d.Addr()}
	if a, err := c.Lookup(t.Context(), Addresses, "boxes.example", 80); err != nil || len(a.Records) != 3 {
		t.Errorf("lookup at the second server: %v, %v", a, err)
	}
	if _, err := c.Lookup(t.Context(), Addresses, strings.Repeat("x", 300), 80); err == nil {
		t.Error("looked up an invalid name")
	}
}

// TestSource checks that lists follow the records, also back and forth, and that the last list
// stays while there are no records.
func TestSource(t *testing.T) {
	d, c := startDNS(t)
	set := func(last ...byte) {
		var bodies []dnsmessage.ResourceBody
		for _, b := range last {
			bodies = append(bodies, &dnsmessage.AResource{A: [4]byte{127, 0, 0, b}})
		}
		d.SetRecords("boxes.example.", dnsmessage.TypeA, 0, bodies...)
	}
	set(1)
	s := Source{Resolver: c, Name: "boxes.example", Port: 80, Cache: CacheConfig{MinInterval: 10 * time.Millisecond, MaxInterval: 20 * time.Millisecond}, Log: slog.New(slog.DiscardHandler)}
	lists := make(chan string, 100)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- s.Watch(ctx, engine.UnknownSeq, func(l engine.List) {
			var ids []string
			for _, s := range l.Servers {
				ids = append(ids, string(s.ID))
			}
			lists <- strings.Join(ids, " ")
		})
	}()
	for _, tt := range []struct {
		last []byte
		want string
	}{{[]byte{1}, "127.0.0.1:80"}, {[]byte{2, 1}, "127.0.0.1:80 127.0.0.2:80"}, {[]byte{2}, "127.0.0.2:80"}, {[]byte{1}, "127.0.0.1:80"}} {
		set(tt.last...)
		select {
		case got := <-lists:
			if got != tt.want {
				t.Errorf("%s, want %s", got, tt.want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("timed out waiting for the list %s", tt.want)
		}
	}
	set()
	for before := d.QueryCount(); d.QueryCount() < before+6; {
		time.Sleep(time.Millisecond)
	}
	if len(lists) > 0 {
		t.Errorf("reported the list %q without records", <-lists)
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("Watch returned %v", err)
	}
	if err := (Source{Resolver: c, Name: "x"}).Check(); err == nil {
		t.Error("accepted a source without a port")
	}
}

// TestManyAddresses resolves 10,000 addresses over TCP and then a single one. They belong to three
// targets of a service, because one answer holds about 4,000 addresses.
func TestManyAddresses(t *testing.T) {
	const total = 10_000
	d, c := startDNS(t)
	var targets []dnsmessage.ResourceBody
	ends := []int{0, 3333, 6666, total}
	for n := range 3 {
		name := fmt.Sprintf("t%d.example.", n)
		targets = append(targets, &dnsmessage.SRVResource{Port: 90, Target: dnsmessage.MustNewName(name)})
		var addrs []dnsmessage.ResourceBody
		for i := ends[n]; i < ends[n+1]; i++ {
			addrs = append(addrs, &dnsmessage.AResource{A: [4]byte{127, 1, byte(i >> 8), byte(i)}})
		}
		d.SetRecords(name, dnsmessage.TypeA, 1, addrs...)
	}
	d.SetRecords("_many._tcp.example.", dnsmessage.TypeSRV, 1, targets...)
	d.SetFaults(dnsmessage.RCodeSuccess, true, false)
	a, err := c.Lookup(t.Context(), Services, "_many._tcp.example", 0)
	if err != nil || len(a.Records) != total {
		t.Fatalf("%d addresses, %v", len(a.Records), err)
	}
	cache, err := NewCache(CacheConfig{})
	if err != nil {
		t.Fatal(err)
	}
	if result := cache.Update(0, a, nil); !result.Changed || len(result.List) != total {
		t.Errorf("%d servers listed", len(result.List))
	}
	if result := cache.Update(time.Second, Answer{Records: a.Records[:1], TTL: time.Second}, nil); !result.Changed || len(result.List) != 1 {
		t.Errorf("%d servers listed", len(result.List))
	}
}

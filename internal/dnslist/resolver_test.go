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

func server(t *testing.T) (*standin.DNS, Client) {
	d, err := standin.NewDNS()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d, Client{Servers: []string{d.Addr()}}
}

func addrs(a Answer) string {
	var parts []string
	for _, r := range a.Records {
		parts = append(parts, fmt.Sprintf("%s/%d/%d", r.Addr, r.Priority, r.Weight))
	}
	return strings.Join(parts, " ")
}

// TestLookup: addresses of both kinds, aliases and services; what there is none of is told from what cannot be found out.
func TestLookup(t *testing.T) {
	d, c := server(t)
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
		{Addresses, "none.example", "", 7 * time.Second, ErrNone},
		{Addresses, "loop.example", "", 0, ErrNone},
		{Services, "_order._tcp.example", "127.0.0.1:90/1/7 127.0.0.2:90/1/7 [::1]:90/1/7", 20 * time.Second, nil},
		{Services, "_none._tcp.example", "", 60 * time.Second, ErrNone},
	} {
		for _, trouble := range [][2]bool{{false, false}, {true, false}, {false, true}} {
			d.SetFaults(dnsmessage.RCodeSuccess, trouble[0], trouble[1])
			a, err := c.Lookup(t.Context(), tt.kind, tt.name, 80)
			if !errors.Is(err, tt.err) || addrs(a) != tt.want || a.TTL != tt.ttl {
				t.Errorf("%s, cut and lie %v: %s for %v, %v", tt.name, trouble, addrs(a), a.TTL, err)
			}
		}
	}
	d.SetFaults(dnsmessage.RCodeServerFailure, false, false)
	if a, err := c.Lookup(t.Context(), Addresses, "boxes.example", 80); err == nil || errors.Is(err, ErrNone) {
		t.Errorf("a server that fails: %v, %v", a, err)
	}
	d.SetFaults(dnsmessage.RCodeSuccess, false, false)
	dead, err := standin.NewDNS()
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	c.Servers = []string{dead.Addr(), d.Addr()}
	if a, err := c.Lookup(t.Context(), Addresses, "boxes.example", 80); err != nil || len(a.Records) != 3 {
		t.Errorf("by the second server: %v, %v", a, err)
	}
	if _, err := c.Lookup(t.Context(), Addresses, strings.Repeat("x", 300), 80); err == nil {
		t.Error("a name that cannot be is found")
	}
}

// TestSource: lists follow the records, flip with them, and stay while there are none.
func TestSource(t *testing.T) {
	d, c := server(t)
	set := func(last ...byte) {
		var bodies []dnsmessage.ResourceBody
		for _, b := range last {
			bodies = append(bodies, &dnsmessage.AResource{A: [4]byte{127, 0, 0, b}})
		}
		d.SetRecords("boxes.example.", dnsmessage.TypeA, 0, bodies...)
	}
	set(1)
	s := Source{Resolver: c, Name: "boxes.example", Port: 80, Rules: Rules{Min: 10 * time.Millisecond, Max: 20 * time.Millisecond}, Log: slog.New(slog.DiscardHandler)}
	lists := make(chan string, 100)
	ctx, stop := context.WithCancel(t.Context())
	over := make(chan error, 1)
	go func() {
		over <- s.Watch(ctx, engine.UnknownSeq, func(l engine.List) {
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
			t.Fatalf("never %s", tt.want)
		}
	}
	set()
	for before := d.QueryCount(); d.QueryCount() < before+6; {
		time.Sleep(time.Millisecond)
	}
	if len(lists) > 0 {
		t.Errorf("without records the list is %q", <-lists)
	}
	stop()
	if err := <-over; !errors.Is(err, context.Canceled) {
		t.Errorf("it ended with %v", err)
	}
	if err := (Source{Resolver: c, Name: "x"}).Check(); err == nil {
		t.Error("no port is taken")
	}
}

// TestManyAddresses: 10,000 addresses, of a service with three targets as one answer holds no more than some 4,000, make a list; they come by
// TCP, and the next list may have a single one.
func TestManyAddresses(t *testing.T) {
	const all = 10_000
	d, c := server(t)
	var targets []dnsmessage.ResourceBody
	ends := []int{0, 3333, 6666, all}
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
	if err != nil || len(a.Records) != all {
		t.Fatalf("%d addresses, %v", len(a.Records), err)
	}
	k, err := NewKeeper(Rules{})
	if err != nil {
		t.Fatal(err)
	}
	if step := k.Answered(0, a, nil); !step.Changed || len(step.List) != all {
		t.Errorf("%d are listed", len(step.List))
	}
	if step := k.Answered(time.Second, Answer{Records: a.Records[:1], TTL: time.Second}, nil); !step.Changed || len(step.List) != 1 {
		t.Errorf("%d are listed", len(step.List))
	}
}

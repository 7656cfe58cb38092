package quillfront

import (
	"log/slog"
	"net"
	"time"

	"quillfront/internal/dnslist"
	"quillfront/internal/engine"
)

// DNSOptions are the options of DNS. Zero values take the defaults.
type DNSOptions struct {
	Resolvers []string // name servers as host:port, tried in turn; required

	// Port selects the record type. If it is set, the servers are the addresses of the name (A and
	// AAAA records), all at that port. If it is 0, the name is a service and its SRV records hold
	// the ports. Only the SRV targets with the lowest priority value are used. SRV weights are
	// ignored, because the load decides.
	Port int

	Min time.Duration // minimum time between two queries, whatever the TTLs; default 1 s
	Max time.Duration // maximum time between two queries, whatever the TTLs; default 1 min
	// KeepFor is how long the last valid list is kept while queries fail or return no records;
	// default 1 h. If it is negative, the list is kept forever.
	KeepFor time.Duration
	// EmptyCounts is the number of consecutive answers without records that empty the list. With 0
	// only the end of KeepFor does.
	EmptyCounts int
	Log         *slog.Logger // logs failed queries; nil disables logging
}

// DNS returns a Source that takes the servers from DNS. The ID of a server is its address.
func DNS(name string, o DNSOptions) Source { return dnsSource{name, o} }

type dnsSource struct {
	name string
	o    DNSOptions
}

func (d dnsSource) prepare() (engine.Source, *engine.List, error) {
	if len(d.o.Resolvers) == 0 {
		return nil, nil, fieldErrorf("Servers", "DNS requires Resolvers")
	}
	for _, r := range d.o.Resolvers {
		if _, _, err := net.SplitHostPort(r); err != nil {
			return nil, nil, fieldErrorf("Servers", "resolver %s: %v", r, err)
		}
	}
	s := dnslist.Source{
		Resolver: dnslist.Client{Servers: d.o.Resolvers}, Kind: dnslist.Services, Name: d.name, Port: d.o.Port, Log: d.o.Log,
		Cache: dnslist.CacheConfig{MinInterval: d.o.Min, MaxInterval: d.o.Max, KeepFor: d.o.KeepFor, EmptyThreshold: d.o.EmptyCounts},
	}
	if d.o.Port != 0 {
		s.Kind = dnslist.Addresses
	}
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	if err := s.Check(); err != nil {
		return nil, nil, fieldErrorf("Servers", "%v", err)
	}
	return s, nil, nil
}

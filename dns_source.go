package quillfront

import (
	"log/slog"
	"net"
	"time"

	"quillfront/internal/dnslist"
	"quillfront/internal/engine"
)

// DNSOptions says how a list is taken from DNS. Zero values take the defaults.
type DNSOptions struct {
	Resolvers []string // host:port of name servers, asked in turn; required

	// Port makes the addresses of the name (A and AAAA) the servers, all at that port. 0: the name is a service (SRV), which tells ports
	// itself; only targets of the lowest priority are used, and weights are not, as load is what decides.
	Port int

	Min         time.Duration // between two questions, whatever the records say; 1 s
	Max         time.Duration // the same; 1 min
	KeepFor     time.Duration // how long a list that was good stays while answers fail or are empty; 1 h. Negative: for ever
	EmptyCounts int           // that many answers without records in a row empty the list; 0: none do, before KeepFor is over
	Log         *slog.Logger  // tells of answers that fail; nil: nothing
}

// DNS takes the list from DNS. A server's ID is its address.
func DNS(name string, o DNSOptions) Source { return dns{name, o} }

type dns struct {
	name string
	o    DNSOptions
}

func (d dns) start() (engine.Source, *engine.List, error) {
	if len(d.o.Resolvers) == 0 {
		return nil, nil, wrong("Servers", "DNS without Resolvers")
	}
	for _, r := range d.o.Resolvers {
		if _, _, err := net.SplitHostPort(r); err != nil {
			return nil, nil, wrong("Servers", "the resolver %s: %v", r, err)
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
		return nil, nil, wrong("Servers", "%v", err)
	}
	return s, nil, nil
}

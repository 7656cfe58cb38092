package quillfront

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"quillfront/internal/discovery"
	"quillfront/internal/engine"
	"quillfront/policy"
)

// State is the state of a server according to the server list.
type State int

// The server states.
const (
	Ready    State = iota
	Draining       // completes its requests and gets no new ones
)

// Server is an entry of the server list.
type Server struct {
	ID      string // stays the same if the server's address changes; defaults to Addr
	Addr    string // host:port
	State   State
	Zone    string
	Cell    int
	Started time.Time // last start, after which the server is cold; zero means long ago
}

// maxServers is the maximum length of a server list.
const maxServers = 10_000

// Source provides the server list of a Balancer. Static, Push, Func, File, DNS and Discovery return
// Sources. A Source belongs to one Balancer.
type Source interface {
	// prepare checks the source and returns the list that is already known, if any.
	prepare() (engine.Source, *engine.List, error)
}

// checkServers converts a full list. An error names the invalid entry, as an element of field.
func checkServers(field string, servers []Server) (engine.List, error) {
	l := engine.List{Full: true, Servers: make([]engine.Server, len(servers))}
	if len(servers) > maxServers {
		return l, fieldErrorf(field, "%d servers, want at most %d", len(servers), maxServers)
	}
	seen := make(map[string]bool, len(servers))
	for i, s := range servers {
		entry := fmt.Sprintf("%s[%d]", field, i)
		if s.Addr == "" {
			return l, fieldErrorf(entry+".Addr", "not set")
		}
		if _, _, err := net.SplitHostPort(s.Addr); err != nil {
			return l, fieldErrorf(entry+".Addr", "%v", err)
		}
		s.ID = cmp.Or(s.ID, s.Addr)
		if seen[s.ID] {
			return l, fieldErrorf(entry+".ID", "%q is there twice", s.ID)
		}
		seen[s.ID] = true
		e := engine.Server{ID: policy.ServerID(s.ID), Addr: s.Addr, Zone: s.Zone, Cell: s.Cell, Weight: 1}
		switch s.State {
		case Ready:
		case Draining:
			e.State = policy.Draining
		default:
			return l, fieldErrorf(entry+".State", "%d is neither Ready nor Draining", s.State)
		}
		if !s.Started.IsZero() {
			e.StartedMs = s.Started.UnixMilli()
		}
		l.Servers[i] = e
	}
	return l, nil
}

// silentSource provides no list.
type silentSource struct{}

// Watch implements engine.Source.
func (silentSource) Watch(ctx context.Context, _ int64, _ func(engine.List)) error {
	<-ctx.Done()
	return ctx.Err()
}

// Static returns a Source with a list that never changes.
func Static(servers ...Server) Source { return staticSource(servers) }

type staticSource []Server

func (s staticSource) prepare() (engine.Source, *engine.List, error) {
	l, err := checkServers("Servers", s)
	if err != nil {
		return nil, nil, err
	}
	return fixedSource{l}, &l, nil
}

// fixedSource provides one list and no changes.
type fixedSource struct{ list engine.List }

// Watch implements engine.Source.
func (a fixedSource) Watch(ctx context.Context, since int64, update func(engine.List)) error {
	update(a.list)
	return silentSource{}.Watch(ctx, since, update)
}

// Push returns a Source that receives full lists from a channel. Servers that are not on a list are
// gone. A list with an invalid entry is dropped as a whole and logged, and the previous list stays,
// as it does when the channel is closed. Requests that arrive before the first list wait for it.
func Push(lists <-chan []Server) Source {
	return Func(func(ctx context.Context, update func([]Server) error) error {
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case l, open := <-lists:
				if !open {
					<-ctx.Done()
					return ctx.Err()
				}
				if err := update(l); err != nil {
					return err
				}
			}
		}
	})
}

// Func returns a Source that calls watch, which calls update with full lists until ctx ends. If
// update returns an error, the list is invalid and was not applied; the error names the invalid
// entry. When watch returns, the list stays, and watch is called again after a delay that grows
// with consecutive failures.
func Func(watch func(ctx context.Context, update func([]Server) error) error) Source {
	return funcSource(watch)
}

type funcSource func(ctx context.Context, update func([]Server) error) error

func (f funcSource) prepare() (engine.Source, *engine.List, error) {
	if f == nil {
		return nil, nil, fieldErrorf("Servers", "the function is nil")
	}
	return f, nil, nil
}

// Watch implements engine.Source.
func (f funcSource) Watch(ctx context.Context, _ int64, update func(engine.List)) error {
	err := f(ctx, func(servers []Server) error {
		l, err := checkServers("Servers", servers)
		if err == nil {
			update(l)
		}
		return err
	})
	if err == nil {
		err = errors.New("the source's function has returned")
	}
	return err
}

// Discovery returns a Source that watches the platform's discovery service at addr.
func Discovery(addr string) Source { return discoverySource(addr) }

type discoverySource string

func (p discoverySource) prepare() (engine.Source, *engine.List, error) {
	if _, _, err := net.SplitHostPort(string(p)); err != nil {
		return nil, nil, fieldErrorf("Servers", "discovery address: %v", err)
	}
	return discovery.Client{Addr: string(p)}, nil, nil
}

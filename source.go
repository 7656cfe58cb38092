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

// State says what the list tells of a server.
type State int

// The states.
const (
	Ready    State = iota
	Draining       // finishes what it has, and gets nothing new
)

// Server is an entry of the list of servers.
type Server struct {
	ID      string // the same for as long as it is the same server, whatever its address; empty: the address
	Addr    string // host:port
	State   State
	Zone    string
	Cell    int
	Started time.Time // when it last started; zero: long ago. It is cold for a while after
}

// mostServers bounds a list.
const mostServers = 10_000

// Source tells a Balancer its servers. Sources are made by Static, Push, Func and Discovery, and belong to one Balancer.
type Source interface {
	// start checks the source, and returns the list that is known already, if there is one.
	start() (engine.Source, *engine.List, error)
}

// checkServers converts a whole list. An error names the entry.
func checkServers(field string, servers []Server) (engine.List, error) {
	l := engine.List{Full: true, Servers: make([]engine.Server, len(servers))}
	if len(servers) > mostServers {
		return l, wrong(field, "%d servers, over %d", len(servers), mostServers)
	}
	seen := make(map[string]bool, len(servers))
	for i, s := range servers {
		entry := fmt.Sprintf("%s[%d]", field, i)
		if s.Addr == "" {
			return l, wrong(entry+".Addr", "not set")
		}
		if _, _, err := net.SplitHostPort(s.Addr); err != nil {
			return l, wrong(entry+".Addr", "%v", err)
		}
		s.ID = cmp.Or(s.ID, s.Addr)
		if seen[s.ID] {
			return l, wrong(entry+".ID", "%q is there twice", s.ID)
		}
		seen[s.ID] = true
		e := engine.Server{ID: policy.ServerID(s.ID), Addr: s.Addr, Zone: s.Zone, Cell: s.Cell, Weight: 1}
		switch s.State {
		case Ready:
		case Draining:
			e.State = policy.Draining
		default:
			return l, wrong(entry+".State", "%d is neither Ready nor Draining", s.State)
		}
		if !s.Started.IsZero() {
			e.StartedMs = s.Started.UnixMilli()
		}
		l.Servers[i] = e
	}
	return l, nil
}

// blocked tells nothing.
type blocked struct{}

func (blocked) Watch(ctx context.Context, _ int64, _ func(engine.List)) error {
	<-ctx.Done()
	return ctx.Err()
}

// Static is a list that never changes.
func Static(servers ...Server) Source { return static(servers) }

type static []Server

func (s static) start() (engine.Source, *engine.List, error) {
	l, err := checkServers("Servers", s)
	if err != nil {
		return nil, nil, err
	}
	return always{l}, &l, nil
}

// always tells one list and nothing more.
type always struct{ list engine.List }

func (a always) Watch(ctx context.Context, since int64, tell func(engine.List)) error {
	tell(a.list)
	return blocked{}.Watch(ctx, since, tell)
}

// Push takes whole lists from a channel; servers that a list lacks are gone. A list with a wrong entry is dropped whole
// and logged, and the one before stays, as it does when the channel is closed. A request that comes before the first list
// waits for it.
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

// Func makes a source of a function, which calls update with whole lists until ctx ends; update returns an error that
// names what is wrong with a list, and then has not taken it. When watch returns the list stays, and it is called again
// after a pause that grows with failures in a row.
func Func(watch func(ctx context.Context, update func([]Server) error) error) Source {
	return function(watch)
}

type function func(ctx context.Context, update func([]Server) error) error

func (f function) start() (engine.Source, *engine.List, error) {
	if f == nil {
		return nil, nil, wrong("Servers", "the function is nil")
	}
	return f, nil, nil
}

// Watch is the method of engine.Source.
func (f function) Watch(ctx context.Context, _ int64, tell func(engine.List)) error {
	err := f(ctx, func(servers []Server) error {
		l, err := checkServers("Servers", servers)
		if err == nil {
			tell(l)
		}
		return err
	})
	if err == nil {
		err = errors.New("the source has returned")
	}
	return err
}

// Discovery watches the platform's discovery at an address.
func Discovery(addr string) Source { return platform(addr) }

type platform string

func (p platform) start() (engine.Source, *engine.List, error) {
	if _, _, err := net.SplitHostPort(string(p)); err != nil {
		return nil, nil, wrong("Servers", "the address of discovery: %v", err)
	}
	return discovery.Client{Addr: string(p)}, nil, nil
}

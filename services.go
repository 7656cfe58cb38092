package quillfront

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"quillfront/internal/config"
	"quillfront/internal/services"
	"quillfront/internal/sockets"
)

// Services pass TCP streams and MySQL statements on within an application, as the program does with its operator's file: the tables
// [[pools]], [[streams]] and [[mysql]] of one. They are told apart from a Balancer's requests: each has a pool of servers of its own. Their
// methods may be called from many goroutines at once.
type Services struct {
	path    string
	all     *services.Services
	served  chan error // one value, once nothing serves any more
	ended   sync.Once
	serving error
}

// OpenServices starts the services of the operator's file at path, which may hold connections descriptors in all; at least 64. An error
// names file, table and key, or the service whose address cannot be opened. Of the options only WithLogger matters.
func OpenServices(path string, connections int, opts ...Option) (*Services, error) {
	const (
		least  = 64
		bodies = 16 << 20 // of requests, in bytes
	)
	if connections < least {
		return nil, wrong("connections", "%d is below %d", connections, least)
	}
	o := options{log: slog.New(slog.DiscardHandler)}
	for _, opt := range opts {
		opt(&o)
	}
	op, err := config.LoadOperator(path)
	if err != nil {
		return nil, fmt.Errorf("quillfront: %w", err)
	}
	budget := sockets.New(connections + sockets.Reserved)
	all, err := services.New(op.Services, op.Routes, bodies, budget, o.log)
	if err != nil {
		return nil, fmt.Errorf("quillfront: %w", err)
	}
	budget.OnShortage(all.EvictIdle, all.EvictClient)
	if err := all.Listen(); err != nil {
		all.Close()
		return nil, fmt.Errorf("quillfront: %w", err)
	}
	s := &Services{path: path, all: all, served: make(chan error, 1)}
	go func() { s.served <- all.Serve() }()
	return s, nil
}

// Addr returns where a service listens, empty if there is none of that name.
func (s *Services) Addr(name string) string { return s.all.Addr(name) }

// Reload reads the file again, and takes over servers, classes and users. restart tells that something else has changed, which a new
// start takes. With an error all stays as it was.
func (s *Services) Reload() (restart bool, err error) {
	op, err := config.LoadOperator(s.path)
	if err == nil {
		err = s.all.Check(op.Services, op.Routes)
	}
	if err == nil {
		restart, err = s.all.Reload(op.Services, op.Routes)
	}
	if err != nil {
		return false, fmt.Errorf("quillfront: %w", err)
	}
	return restart, nil
}

// Shutdown lets nobody new in, waits until each service has ended within its patience, and closes s. What is left when ctx ends is cut
// off.
func (s *Services) Shutdown(ctx context.Context) error {
	s.all.Shutdown(ctx)
	return s.Close()
}

// Close cuts all off, and returns once nothing of s's runs. It may be called more than once.
func (s *Services) Close() error {
	s.ended.Do(func() {
		s.all.Close()
		s.serving = <-s.served
	})
	return s.serving
}

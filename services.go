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

// Services runs the TCP, MySQL and HTTP services of an operator's file inside an application, as
// the sidecar does. Each service has a server pool of its own and shares nothing with a Balancer.
// The methods of Services are safe for concurrent use.
type Services struct {
	path      string
	running   *services.Services
	serveDone chan error // receives one value when all services have stopped
	closeOnce sync.Once
	serveErr  error
}

// OpenServices starts the services of the operator's file at path. connections limits their file
// descriptors in total; it is at least 64. An error names the file, table and key, or the service
// whose address cannot be opened. Only the option WithLogger has an effect.
func OpenServices(path string, connections int, opts ...Option) (*Services, error) {
	const (
		minConnections = 64
		bodyBudget     = 16 << 20 // memory for request bodies, in bytes
	)
	if connections < minConnections {
		return nil, fieldErrorf("connections", "%d is below %d", connections, minConnections)
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
	all, err := services.New(op.Services, op.Routes, bodyBudget, budget, o.log)
	if err != nil {
		return nil, fmt.Errorf("quillfront: %w", err)
	}
	budget.OnShortage(all.EvictIdle, all.EvictClient)
	if err := all.Listen(); err != nil {
		all.Close()
		return nil, fmt.Errorf("quillfront: %w", err)
	}
	s := &Services{path: path, running: all, serveDone: make(chan error, 1)}
	go func() { s.serveDone <- all.Serve() }()
	return s, nil
}

// Addr returns the listening address of a service, or "" if there is no service with that name.
func (s *Services) Addr(name string) string { return s.running.Addr(name) }

// Reload reads the file again and applies changes of routes, servers, classes and users. restart
// reports that other settings have changed, which require a restart. On an error nothing changes.
func (s *Services) Reload() (restart bool, err error) {
	op, err := config.LoadOperator(s.path)
	if err == nil {
		err = s.running.Check(op.Services, op.Routes)
	}
	if err == nil {
		restart, err = s.running.Reload(op.Services, op.Routes)
	}
	if err != nil {
		return false, fmt.Errorf("quillfront: %w", err)
	}
	return restart, nil
}

// Shutdown stops accepting clients, waits until each service has ended within its own drain limit,
// and closes s. Connections that are left when ctx ends are cut.
func (s *Services) Shutdown(ctx context.Context) error {
	s.running.Shutdown(ctx)
	return s.Close()
}

// Close cuts all connections and returns when all goroutines of s have ended. It may be called more
// than once.
func (s *Services) Close() error {
	s.closeOnce.Do(func() {
		s.running.Close()
		s.serveErr = <-s.serveDone
	})
	return s.serveErr
}

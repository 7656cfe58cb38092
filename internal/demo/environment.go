package demo

import (
	"context"
	"log/slog"
	"net"
	"time"

	"quillfront/internal/config"
	"quillfront/internal/daemon"
	"quillfront/internal/standin"
	"quillfront/policy"
)

// Environment is a sidecar with a fleet of stand-in servers in this process.
type Environment struct {
	URL     string // of the sidecar
	Fleet   *standin.Fleet
	Servers map[string]*standin.Server

	stop   context.CancelFunc
	served chan error
}

// StartEnvironment starts servers and a sidecar with a limit on open descriptors. Discovery
// publishes changes of the list after 300 ms.
func StartEnvironment(rules []policy.Class, servers []standin.ServerConfig, seed uint64, descriptors int) (*Environment, error) {
	const lag = 300 * time.Millisecond
	fleet, err := standin.NewFleet(rules, seed, lag)
	if err != nil {
		return nil, err
	}
	s := &Environment{Fleet: fleet, Servers: map[string]*standin.Server{}, served: make(chan error, 1)}
	fleet.Discovery.SetLag(0) // the initial list is published without a lag
	for _, c := range servers {
		b, err := fleet.Start(c)
		if err != nil {
			fleet.Close()
			return nil, err
		}
		s.Servers[c.ID] = b
	}
	fleet.Discovery.SetLag(lag)
	if err := s.startSidecar(rules, seed, descriptors); err != nil {
		fleet.Close()
		return nil, err
	}
	return s, nil
}

func (s *Environment) startSidecar(rules []policy.Class, seed uint64, descriptors int) error {
	known := s.Fleet.Discovery.List()
	cfg, err := config.Parse(standin.PlatformConfig{
		Discovery: s.Fleet.Discovery.Addr(), Seed: seed, CachedList: &known, Zone: "clare", Classes: rules, Ramp: 8600 * time.Millisecond, Sockets: descriptors,
	}.JSON())
	if err != nil {
		return err
	}
	sidecar, err := daemon.New(cfg, config.Operator{}, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	s.URL = "http://" + ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() { s.served <- sidecar.Serve(ctx, ln.(*net.TCPListener)) }()
	return nil
}

// Close drains the sidecar and stops the fleet.
func (s *Environment) Close() error {
	s.stop()
	err := <-s.served
	s.Fleet.Close()
	return err
}

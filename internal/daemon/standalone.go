package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"quillfront/exclusion"
	"quillfront/internal/config"
	"quillfront/internal/engine"
	"quillfront/internal/management"
	"quillfront/internal/services"
	"quillfront/internal/sockets"
	"quillfront/internal/telemetry"
	"quillfront/policy"
)

// Standalone is a process that is configured by the operator's file alone. It runs the services of
// that file and, unlike a Sidecar, no front for the platform.
type Standalone struct {
	cfg      config.Config
	log      *slog.Logger
	sockets  *sockets.Budget
	services *services.Services
	peers    *membership // nil: there are no other processes
	serving  atomic.Bool

	mu                sync.Mutex
	exclusions        exclusion.State // servers that operators have taken out of the lists
	evacuated         bool            // drained by operators
	applied, rejected int             // number of configuration files
}

// NewStandalone creates a process for the services of op. It opens no socket.
func NewStandalone(cfg config.Config, op config.Operator, log *slog.Logger) (*Standalone, error) {
	s := &Standalone{cfg: cfg, log: log, sockets: sockets.New(cfg.Sockets)}
	setMemoryLimit(cfg.MemoryMB, 1)
	var err error
	if s.services, err = services.New(op.Services, op.Routes, int64(cfg.MemoryMB)<<20/8, s.sockets, log); err != nil {
		return nil, err
	}
	s.sockets.OnShortage(s.services.EvictIdle, s.services.EvictClient)
	if s.peers, err = newMembership(op.Members, cfg.Name, 1, false, s.services.Engines, log); err != nil {
		s.services.Close()
		return nil, err
	}
	return s, nil
}

// Run serves until ctx ends and then shuts down every service gracefully.
func (s *Standalone) Run(ctx context.Context) error {
	defer s.services.Close()
	// Ends with Run, not with ctx: operators may call during shutdown.
	tasksCtx, stopTasks := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stopTasks()
	membershipCtx, leave := context.WithCancel(ctx)
	defer leave()
	if s.cfg.Management != "" {
		ln, err := net.Listen("tcp", s.cfg.Management)
		if err != nil {
			return err
		}
		server := management.New(managedStandalone{s}, s.log)
		s.log.Info("operators", "management", ln.Addr().String())
		tasks.Go(func() {
			if err := server.Serve(tasksCtx, ln); err != nil {
				s.log.Error("management: serving failed", "err", err)
			}
		})
	}
	if err := s.services.Listen(); err != nil {
		return err
	}
	if err := s.peers.run(membershipCtx, &tasks); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- s.services.Serve() }()
	s.serving.Store(true)
	s.log.Info("ready", "name", s.cfg.Name)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	s.serving.Store(false)
	s.log.Info("draining")
	s.services.Shutdown(context.Background()) // each service has a shutdown timeout of its own
	s.log.Info("drained")
	return <-served
}

// Addr returns the address that a service listens on; see services.Services.
func (s *Standalone) Addr(name string) string { return s.services.Addr(name) }

// Reload applies those parts of op that can change at run time. It logs whether the rest requires a
// restart. If it returns an error, nothing has changed.
func (s *Standalone) Reload(op config.Operator) error {
	if err := s.services.Check(op.Services, op.Routes); err != nil {
		return err
	}
	restart, err := s.services.Reload(op.Services, op.Routes)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied++
	s.applyExclusions() // the reload may have added pools
	s.log.Info("reloaded", "restart_wanted", restart)
	return nil
}

// ReloadFailed records that a new configuration is invalid. The current one stays in effect.
func (s *Standalone) ReloadFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected++
	s.log.Error("reload: the old configuration stays", "err", err)
}

// applyExclusions applies the operators' exclusions to all pools, and connects all pools to the
// membership. s.mu must be held.
func (s *Standalone) applyExclusions() {
	for _, e := range s.services.Engines() {
		e.SetAbsences(s.exclusions.Clone())
	}
	s.peers.attach(s.services.Engines())
}

// managedStandalone provides the management API and the metrics of a Standalone. It implements
// management.Target and telemetry.Source.
type managedStandalone struct{ *Standalone }

// Ready returns nil if the process serves and is not drained.
func (m managedStandalone) Ready() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.serving.Load() || m.evacuated {
		return management.ErrNotReady
	}
	return nil
}

// Exclude takes a server out of service in all pools that list it.
func (m managedStandalone) Exclude(id policy.ServerID) error {
	return m.updateExclusions(func(a *exclusion.State) error { return a.Exclude(id, m.listEntry, time.Now().UnixMilli()) })
}

// Include puts an excluded server back into service.
func (m managedStandalone) Include(id policy.ServerID) error {
	return m.updateExclusions(func(a *exclusion.State) error { return a.Include(id, m.listEntry, time.Now().UnixMilli()) })
}

func (m managedStandalone) updateExclusions(f func(*exclusion.State) error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	updated := m.exclusions.Clone()
	if err := f(&updated); err != nil {
		return err
	}
	m.exclusions = updated
	m.applyExclusions()
	return nil
}

// listEntry returns a server's entry in the first pool that lists it.
func (m managedStandalone) listEntry(id policy.ServerID) (exclusion.Entry, bool) {
	for _, e := range m.services.Engines() {
		if entry, ok := e.ListEntry(id); ok {
			return entry, true
		}
	}
	return exclusion.Entry{}, false
}

// Evacuate begins to drain the process.
func (m managedStandalone) Evacuate() error { return m.setEvacuated(true) }

// Rejoin ends the drain.
func (m managedStandalone) Rejoin() error { return m.setEvacuated(false) }

func (m managedStandalone) setEvacuated(evacuated bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evacuated = evacuated
	m.services.SetEvacuated(evacuated)
	return nil
}

// Members returns the handler for the other processes of the fleet, or nil if there are none.
func (m managedStandalone) Members() http.Handler { return m.peers.handler() }

// Metrics returns the handler for the metrics.
func (m managedStandalone) Metrics() http.Handler { return telemetry.Handler(m) }

// PendingRequests describes the requests that have waited for longer than d.
func (m managedStandalone) PendingRequests(d time.Duration) []string {
	return formatWaiting(m.services.PendingRequests(d))
}

// Counts returns nil, as there is no front for the platform.
func (m managedStandalone) Counts() map[string]engine.Counts { return nil }

// State returns the current values of the metrics.
func (m managedStandalone) State() telemetry.State {
	s := telemetry.State{Services: m.services.Stats(), Peers: m.peers.metrics()}
	s.Descriptors[0], s.Descriptors[1] = m.sockets.InUse()
	s.DescriptorLimits[0], s.DescriptorLimits[1] = m.sockets.Limits()
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Excluded, s.Evacuated, s.ConfigsApplied, s.ConfigsRejected = len(m.exclusions.Excluded), m.evacuated, m.applied, m.rejected
	return s
}

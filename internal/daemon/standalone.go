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

// Standalone is a process that runs by the operator's file alone: the services there, and no front of the platform's.
type Standalone struct {
	cfg      config.Config
	log      *slog.Logger
	sockets  *sockets.Budget
	services *services.Services
	peers    *peers // nil: there are no others
	serving  atomic.Bool

	mu                sync.Mutex
	absences          exclusion.State // what operators have taken out of the lists
	away              bool            // they have it drained
	applied, rejected int             // files
}

// NewStandalone makes a process of op's services. It opens no socket.
func NewStandalone(cfg config.Config, op config.Operator, log *slog.Logger) (*Standalone, error) {
	o := &Standalone{cfg: cfg, log: log, sockets: sockets.New(cfg.Sockets)}
	setMemory(cfg.MemoryMB, 1)
	var err error
	if o.services, err = services.New(op.Services, op.Routes, int64(cfg.MemoryMB)<<20/8, o.sockets, log); err != nil {
		return nil, err
	}
	o.sockets.OnShortage(o.services.EvictIdle, o.services.EvictClient)
	if o.peers, err = newPeers(op.Members, cfg.Name, 1, false, o.services.Engines, log); err != nil {
		o.services.Close()
		return nil, err
	}
	return o, nil
}

// Run serves until ctx ends, and then has each service end as it is to.
func (o *Standalone) Run(ctx context.Context) error {
	defer o.services.Close()
	beside, stop := context.WithCancel(context.Background()) // operators may ask while it ends
	var helpers sync.WaitGroup
	defer helpers.Wait()
	defer stop()
	part, leave := context.WithCancel(ctx) // among the others
	defer leave()
	if o.cfg.Management != "" {
		ln, err := net.Listen("tcp", o.cfg.Management)
		if err != nil {
			return err
		}
		server := management.New(ownOperated{o}, o.log)
		o.log.Info("operators", "management", ln.Addr().String())
		helpers.Go(func() {
			if err := server.Serve(beside, ln); err != nil {
				o.log.Error("management", "err", err)
			}
		})
	}
	if err := o.services.Listen(); err != nil {
		return err
	}
	if err := o.peers.run(part, &helpers); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- o.services.Serve() }()
	o.serving.Store(true)
	o.log.Info("ready", "name", o.cfg.Name)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	o.serving.Store(false)
	o.log.Info("draining")
	o.services.Shutdown(context.Background()) // each ends within its patience
	o.log.Info("drained")
	return <-served
}

// Addr returns where a service listens; see services.Services.
func (o *Standalone) Addr(name string) string { return o.services.Addr(name) }

// Reload takes over what of op can change while the process runs; the log tells what takes a restart. With an error all stays as it was.
func (o *Standalone) Reload(op config.Operator) error {
	if err := o.services.Check(op.Services, op.Routes); err != nil {
		return err
	}
	restart, err := o.services.Reload(op.Services, op.Routes)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applied++
	o.spread() // pools may be new
	o.log.Info("reloaded", "restart_wanted", restart)
	return nil
}

// ReloadFailed tells that a new file cannot be used, and that the old one stays.
func (o *Standalone) ReloadFailed(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rejected++
	o.log.Error("reload: the old configuration stays", "err", err)
}

// spread makes what operators have taken out count in all pools. Called with the lock held.
func (o *Standalone) spread() {
	for _, e := range o.services.Engines() {
		e.SetAbsences(o.absences.Clone())
	}
	o.peers.heed(o.services.Engines())
}

// ownOperated is what operators may do to an Own.
type ownOperated struct{ *Standalone }

// Ready is a method of management.Operated.
func (o ownOperated) Ready() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.serving.Load() || o.away {
		return management.ErrNotReady
	}
	return nil
}

// Exclude is a method of management.Operated. A server is out of all pools that list it.
func (o ownOperated) Exclude(id policy.ServerID) error {
	return o.change(func(a *exclusion.State) error { return a.Exclude(id, o.listed, time.Now().UnixMilli()) })
}

// Include is a method of management.Operated.
func (o ownOperated) Include(id policy.ServerID) error {
	return o.change(func(a *exclusion.State) error { return a.Include(id, o.listed, time.Now().UnixMilli()) })
}

func (o ownOperated) change(f func(*exclusion.State) error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.absences.Clone()
	if err := f(&a); err != nil {
		return err
	}
	o.absences = a
	o.spread()
	return nil
}

func (o ownOperated) listed(id policy.ServerID) (exclusion.Entry, bool) {
	for _, e := range o.services.Engines() {
		if entry, ok := e.ListEntry(id); ok {
			return entry, true
		}
	}
	return exclusion.Entry{}, false
}

// Evacuate is a method of management.Operated.
func (o ownOperated) Evacuate() error { return o.setAway(true) }

// Rejoin is a method of management.Operated.
func (o ownOperated) Rejoin() error { return o.setAway(false) }

func (o ownOperated) setAway(is bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.away = is
	o.services.SetEvacuated(is)
	return nil
}

// Members is a method of management.Operated.
func (o ownOperated) Members() http.Handler { return o.peers.handler() }

// Metrics is a method of management.Operated.
func (o ownOperated) Metrics() http.Handler { return telemetry.Handler(o) }

// Waiting is a method of management.Operated.
func (o ownOperated) Waiting(d time.Duration) []string { return linesOf(o.services.PendingRequests(d)) }

// Counts is a method of telemetry.Source.
func (o ownOperated) Counts() map[string]engine.Counts { return nil }

// State is a method of telemetry.Source.
func (o ownOperated) State() telemetry.State {
	s := telemetry.State{Services: o.services.Stats(), Peers: o.peers.figures()}
	s.Descriptors[0], s.Descriptors[1] = o.sockets.InUse()
	s.Places[0], s.Places[1] = o.sockets.Limits()
	o.mu.Lock()
	defer o.mu.Unlock()
	s.Out, s.Evacuated, s.Applied, s.Rejected = len(o.absences.Excluded), o.away, o.applied, o.rejected
	return s
}

// Package daemon implements the sidecar process that runs next to an application: it connects the
// engine, its transport, discovery, the fronts and the management API, and controls their start,
// their configuration reloads and their graceful shutdown.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"quillfront/internal/account"
	"quillfront/internal/bodybudget"
	"quillfront/internal/config"
	"quillfront/internal/discovery"
	"quillfront/internal/engine"
	"quillfront/internal/handover"
	"quillfront/internal/httpfront"
	"quillfront/internal/httpmsg"
	"quillfront/internal/orders"
	"quillfront/internal/services"
	"quillfront/internal/shutdown"
	"quillfront/internal/sockets"
	"quillfront/internal/upstream"
	"quillfront/policy"
	"quillfront/reconfig"
)

const (
	// settingsTransition is how long requests may still follow the settings before a change:
	// clients apply those for up to 1.2 s, and a request may take 2 s to arrive.
	settingsTransition = 3200 * time.Millisecond
)

// Sidecar is a sidecar process configured by the platform. It serves the platform's front and the
// services of the operator's file.
type Sidecar struct {
	log        *slog.Logger
	engine     *engine.Engine
	transport  *upstream.Transport
	server     *httpfront.Server
	orders     *orders.Coordinator // nil: orders are not recorded
	services   *services.Services
	peers      *membership // nil: there are no other processes
	sockets    *sockets.Budget
	bodyBudget *bodybudget.Budget // memory for request bodies

	handoverDir    *handover.Dir // nil: there is no other process to hand over to
	requestIDs     *handover.RequestIDs
	serving        atomic.Bool  // clients are accepted
	startedAt      time.Time    // start of this process
	takeover       bool         // this process takes over from an older one
	newerProcesses atomic.Int32 // number of live newer processes of this sidecar
	updateMu       sync.Mutex   // serializes changes by operators

	deadlines  deadlineHistory
	shutdownMu sync.Mutex
	signaledAt time.Time // time of the termination signal, zero before it; guarded by shutdownMu

	mu              sync.Mutex
	cfg             config.Config   // in effect; what requires a restart keeps its initial value
	op              config.Operator // likewise
	operatorState   handover.State  // state set by operators, as applied
	transitionTimer *time.Timer     // ends the transition to new settings; nil before the first change
	settingsVersion int             // number of changes of the settings
	reloads         struct{ applied, rejected int }
}

// New creates a sidecar. It opens no socket.
func New(cfg config.Config, op config.Operator, log *slog.Logger) (*Sidecar, error) {
	module, err := policy.New(cfg.Settings.Config, cfg.Seed)
	if err != nil {
		return nil, err
	}
	if op.LogAccount {
		var transport atomic.Pointer[upstream.Transport]
		reported := int64(0) // dials reported so far; seconds are reported one after the other
		report := func(second account.Second) {
			if t := transport.Load(); t != nil {
				n := t.Dials()
				second.Dials, reported = n-reported, n
			}
			log.Info("account", "second", second.Encode())
		}
		s, err := newSidecar(cfg, op, account.New(module, cfg.Settings.Config, engine.ClockOrigin().UnixMilli(), report), log)
		if err == nil {
			transport.Store(s.transport)
		}
		return s, err
	}
	return newSidecar(cfg, op, module, log)
}

func newSidecar(cfg config.Config, op config.Operator, module engine.Module, log *slog.Logger) (*Sidecar, error) {
	var orderStore orders.EntryStore
	var retention func(string) time.Duration
	var err error
	if op.Sites != nil {
		if err = op.Sites.Check(); err != nil {
			return nil, fmt.Errorf("[sites]: %w", err)
		}
	}
	if op.Store != nil {
		if orderStore, retention, err = op.Store.Open(); err != nil {
			return nil, fmt.Errorf("[store]: %w", err)
		}
	}
	s := &Sidecar{cfg: cfg, op: op, log: log, sockets: sockets.New(cfg.Sockets), bodyBudget: httpfront.NewBodyBudget(cfg.MemoryMB), startedAt: time.Now()}
	s.deadlines.update(cfg.Settings.Config, s.startedAt)
	setMemoryLimit(cfg.MemoryMB, 1)
	s.transport = upstream.New(cfg.Settings, s.sockets, log)
	var transport engine.Transport = s.transport
	if orderStore != nil {
		transport = orders.Transport(transport)
	}
	options := engine.Options{
		Config: cfg.Settings.Config, Module: module, Transport: transport, Source: discoveryClient(cfg),
		CachedList: cfg.CachedList, Sites: op.Sites, Log: log,
	}
	s.engine = engine.New(options)
	if orderStore != nil {
		s.orders = orders.New(orders.Options{Engine: s.engine, Store: orderStore, Codec: httpmsg.Codec{}, Retention: retention, Log: log})
	}
	s.server = httpfront.New(s.engine, s.orders, s.bodyBudget, s.sockets, log)
	if s.services, err = services.New(op.Services, op.Routes, int64(cfg.MemoryMB)<<20/8, s.sockets, log); err != nil {
		s.close()
		return nil, err
	}
	s.sockets.OnShortage(func() bool { return s.transport.EvictIdle() || s.services.EvictIdle() }, func() bool { return s.server.Evict() || s.services.EvictClient() })
	if cfg.SharedDir != "" {
		if s.handoverDir, err = handover.Open(cfg.SharedDir); err != nil {
			s.close()
			return nil, err
		}
		if err := s.shareRequestIDs(); err != nil {
			s.close()
			return nil, err
		}
		s.applyOperatorState(s.handoverDir.State())
		others, err := s.handoverDir.CountOthers()
		if err != nil {
			s.close()
			return nil, err
		}
		s.divideLimits(others)
		if s.takeover = others.Older > 0; s.takeover {
			var learned learnedState
			if s.handoverDir.LoadLearned(&learned, learnedStateMaxAge) {
				s.engine.Learn(learned.Policy)
				s.engine.RestoreSites(learned.Sites)
			}
			// The platform takes lists sent to the older process as known to this one.
			s.engine.Refresh()
		}
	}
	engines := func() []*engine.Engine { return append(s.services.Engines(), s.engine) }
	members, err := op.Members.ForPlatform(&cfg)
	if err != nil { // the platform's settings do not allow members: serve without
		log.Warn("members: disabled", "why", err)
	}
	if s.peers, err = newMembership(members, cfg.Name, cfg.Settings.Config.GroupSize, s.takeover, engines, log); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// shareRequestIDs makes the processes of this sidecar know which request IDs the others use.
func (s *Sidecar) shareRequestIDs() (err error) {
	s.requestIDs, err = s.handoverDir.OpenRequestIDs(engine.SpentIDLifetime, func(err error) {
		s.log.Error("other processes no longer know the IDs of requests here", "err", err)
	})
	if err == nil {
		s.engine.ShareIDs(s.requestIDs)
	}
	return err
}

// discoveryClient returns a client for the discovery service configured in cfg.
func discoveryClient(cfg config.Config) discovery.Client {
	return discovery.Client{Addr: cfg.Discovery, LocalAgent: cfg.Settings.Config.ListPushed}
}

// Run serves until ctx ends and then drains. It returns once every accepted request has a response.
// If ctx has already ended, Run returns without listening, unless the platform holds the socket
// open: connections may wait there that no other process accepts.
func (s *Sidecar) Run(ctx context.Context) error {
	if ctx.Err() != nil && s.cfg.AcceptFD == 0 {
		s.close()
		return nil
	}
	ln, err := s.listen()
	if err != nil {
		return err
	}
	return s.Serve(ctx, ln)
}

// listen opens the address for clients, or uses the listening socket passed by the platform.
func (s *Sidecar) listen() (*net.TCPListener, error) {
	if s.cfg.AcceptFD == 0 {
		ln, err := net.Listen("tcp", s.cfg.Listen)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return ln.(*net.TCPListener), nil
	}
	f := os.NewFile(uintptr(s.cfg.AcceptFD), "accept")
	ln, err := net.FileListener(f)
	f.Close() // the listener uses a duplicate of the descriptor
	if err != nil {
		return nil, fmt.Errorf("GW_ACCEPT_FD: descriptor %d is not a listening socket: %w", s.cfg.AcceptFD, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("GW_ACCEPT_FD: descriptor %d listens on %s, which is not a TCP address", s.cfg.AcceptFD, ln.Addr())
	}
	return tcp, nil
}

// Serve is like Run, but serves on ln, which it closes.
func (s *Sidecar) Serve(ctx context.Context, ln *net.TCPListener) error {
	defer s.close()
	// Ends with Serve, not with ctx: operators may call during shutdown.
	tasksCtx, stopTasks := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stopTasks()
	membershipCtx, leave := context.WithCancel(ctx)
	defer leave()
	if err := s.startManagement(tasksCtx, &tasks); err != nil {
		ln.Close()
		return err
	}
	if err := s.services.Listen(); err != nil {
		ln.Close()
		return err
	}
	if err := s.peers.run(membershipCtx, &tasks); err != nil {
		ln.Close()
		return err
	}
	listener := sockets.NewDrainableListener(ln)
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(listener) }()
	tasks.Go(func() {
		if err := s.services.Serve(); err != nil {
			s.log.Error("services: serving failed", "err", err)
		}
	})
	defer s.services.Close() // before tasks.Wait, as one of the tasks serves them
	s.serving.Store(true)
	s.log.Info("ready", "name", s.cfg.Name, "listen", ln.Addr().String(), "load", s.engine.String())
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	s.serving.Store(false)
	schedule := s.beginShutdown(shutdown.EndTime(ctx))
	s.log.Info("draining", "load", s.engine.String(), "exit", time.Until(schedule.Exit).Round(time.Millisecond))
	if s.hasSuccessor() {
		ln.Close() // the newer process accepts the connections that wait in the socket's backlog
	} else {
		listener.Drain(schedule.Accept)
	}
	shutdownCtx, cancel := context.WithDeadline(context.Background(), schedule.Exit)
	defer cancel()
	servicesDone := make(chan struct{})
	go func() {
		defer close(servicesDone)
		s.services.Shutdown(shutdownCtx)
	}()
	allEnded := s.server.Wait()
	select {
	case <-servicesDone:
	case <-s.server.Exited():
		cancel()
		<-servicesDone
	}
	s.log.Info("drained", "load", s.engine.String(), "all_ended", allEnded)
	s.server.CloseAll()
	return nil
}

// beginShutdown starts the shutdown of the front. signal is the time of the termination signal.
func (s *Sidecar) beginShutdown(signal time.Time) shutdown.Schedule {
	s.shutdownMu.Lock()
	s.signaledAt = signal
	s.shutdownMu.Unlock()
	return s.reschedule()
}

// reschedule sets the front's shutdown schedule for the current settings, if a shutdown is in
// progress. Deadlines that became longer do not postpone it. It does not lock s.mu, so a shutdown
// can begin while a reload is in progress; the reload itself calls reschedule.
func (s *Sidecar) reschedule() shutdown.Schedule {
	s.shutdownMu.Lock()
	defer s.shutdownMu.Unlock()
	if s.signaledAt.IsZero() {
		return shutdown.Schedule{}
	}
	schedule := shutdown.ForTermination(s.signaledAt, s.deadlines.effective(s.signaledAt))
	s.server.Drain(schedule)
	return schedule
}

// Config returns the configuration in effect.
func (s *Sidecar) Config() config.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg
}

// Reload applies those parts of cfg and op that can change at run time: the discovery address, the
// settings, the services, and the monitoring of sites, which keeps what it has learned. It logs
// the other differences, which take effect with the next start. For settingsTransition, clients may
// still follow the previous settings. If Reload returns an error, the old configuration stays in
// effect.
func (s *Sidecar) Reload(cfg config.Config, op config.Operator) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.cfg
	if cfg.Name != old.Name || cfg.Listen != old.Listen || cfg.MemoryMB != old.MemoryMB || cfg.Sockets != old.Sockets ||
		cfg.Management != old.Management {
		s.log.Warn("reload: name, listen, management or limits differ, which requires a restart")
	}
	if !reflect.DeepEqual(op.Store, s.op.Store) {
		s.log.Warn("reload: [store] differs, which requires a restart")
	}
	if err := s.services.Check(op.Services, op.Routes); err != nil {
		return err
	}
	if op.Sites != nil { // before anything is changed
		if err := op.Sites.Check(); err != nil {
			return fmt.Errorf("[sites]: %w", err)
		}
	}
	retuned := !reflect.DeepEqual(cfg.Settings, old.Settings)
	if retuned {
		change := reconfig.NewChange(old.Settings.Config, cfg.Settings.Config)
		if err := s.engine.Reconfigure(change.Interim); err != nil {
			return err
		}
		s.transport.Reconfigure(cfg.Settings)
		s.deadlines.update(cfg.Settings.Config, time.Now())
		s.reschedule()
		if s.transitionTimer != nil {
			s.transitionTimer.Stop()
		}
		s.settingsVersion++
		if version := s.settingsVersion; change.HasInterim {
			s.transitionTimer = time.AfterFunc(settingsTransition, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				// The timer may have fired during a later change, which takes precedence.
				if s.settingsVersion != version {
					return
				}
				if err := s.engine.Reconfigure(change.Final); err != nil {
					s.log.Error("reload: cannot end the transition to the new settings", "err", err)
				}
			})
		}
	}
	if !reflect.DeepEqual(op.Sites, s.op.Sites) {
		if err := s.engine.WatchSites(op.Sites); err != nil {
			return fmt.Errorf("[sites]: %w", err)
		}
		s.op.Sites = op.Sites
		s.log.Info("reloaded", "sites", op.Sites != nil)
	}
	restart, err := s.services.Reload(op.Services, op.Routes)
	if err != nil {
		return err
	}
	s.peers.attach(s.services.Engines())
	if !reflect.DeepEqual(op.Members, s.op.Members) {
		s.log.Warn("reload: [members] differs, which requires a restart")
	}
	if restart {
		s.log.Warn("reload: [[http]], [[streams]], [[mysql]] or the fixed settings of their pools differ, which requires a restart")
	}
	moved := discoveryClient(cfg) != discoveryClient(old)
	if moved {
		s.engine.SetSource(discoveryClient(cfg))
	}
	s.cfg.Settings, s.cfg.Discovery, s.cfg.Raw = cfg.Settings, cfg.Discovery, cfg.Raw
	s.reloads.applied++
	s.log.Info("reloaded", "discovery", cfg.Discovery, "moved", moved, "retuned", retuned)
	return nil
}

// close stops everything that New has started.
func (s *Sidecar) close() {
	s.mu.Lock()
	if s.transitionTimer != nil {
		s.transitionTimer.Stop()
	}
	s.mu.Unlock()
	if s.services != nil {
		s.services.Close()
	}
	s.engine.Close()
	s.transport.Close()
	if s.requestIDs != nil {
		s.requestIDs.Close()
	}
	if s.handoverDir != nil {
		s.handoverDir.Close()
	}
	if s.orders != nil {
		if err := s.orders.Close(); err != nil {
			s.log.Error("cannot close the store", "err", err)
		}
	}
}

// ReloadFailed records that a new configuration is invalid. The current one stays in effect.
func (s *Sidecar) ReloadFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reloads.rejected++
	s.log.Error("reload: the old configuration stays", "err", err)
}

// setMemoryLimit sets the soft memory limit of the Go runtime to three quarters of the process's
// share, so that the process is not killed for exceeding its memory limit. The rest is for
// goroutine stacks, code and the kernel. processes is the number of processes that share limitMB.
func setMemoryLimit(limitMB, processes int) {
	debug.SetMemoryLimit(int64(limitMB) << 20 / 4 * 3 / int64(processes))
}

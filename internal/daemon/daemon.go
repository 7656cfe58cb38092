// Package daemon is the program that runs beside an application: it reads the platform's configuration, puts the engine,
// its transport, the discovery and the front together, and owns their start, reload and planned end.
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

	"golang.org/x/sync/semaphore"

	"quillfront/internal/account"
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
	// changeTime is how long clients may go by the settings before a change: 1.2 s, and 2 s in which a request may come.
	changeTime = 3200 * time.Millisecond
)

// Sidecar is one real sidecar.
type Sidecar struct {
	log       *slog.Logger
	engine    *engine.Engine
	transport *upstream.Transport
	server    *httpfront.Server
	desk      *orders.Coordinator // nil: nothing is noted of orders
	services  *services.Services
	peers     *peers // nil: there are no others
	sockets   *sockets.Budget
	room      *semaphore.Weighted // for bodies

	dir     *handover.Dir // nil: there is nobody to hand over to
	serving atomic.Bool   // clients are accepted
	began   time.Time     // when this process did
	took    bool          // it takes over from an older one
	newer   atomic.Int32  // processes of this sidecar that live and are newer
	asking  sync.Mutex    // held while operators change something here

	deadlines deadlines
	ending    sync.Mutex
	told      time.Time // to end; zero: it was not; under ending

	mu      sync.Mutex
	cfg     config.Config   // as it is applied; what takes a restart, as it was at the start
	op      config.Operator // likewise
	state   handover.State  // what operators have asked for, as it is applied
	settle  *time.Timer     // ends a change of the settings; nil before the first
	changes int             // of the settings
	reloads struct{ applied, rejected int }
}

// New makes a sidecar. It opens no socket.
func New(cfg config.Config, op config.Operator, log *slog.Logger) (*Sidecar, error) {
	b, err := policy.New(cfg.Settings.Config, cfg.Seed)
	if err != nil {
		return nil, err
	}
	if op.Account {
		var transport atomic.Pointer[upstream.Transport]
		dials := int64(0) // told so far; seconds are told one after the other
		tell := func(second account.Second) {
			if t := transport.Load(); t != nil {
				n := t.Dials()
				second.Dials, dials = n-dials, n
			}
			log.Info("account", "second", second.Text())
		}
		s, err := newSidecar(cfg, op, account.New(b, cfg.Settings.Config, engine.ClockOrigin().UnixMilli(), tell), log)
		if err == nil {
			transport.Store(s.transport)
		}
		return s, err
	}
	return newSidecar(cfg, op, b, log)
}

func newSidecar(cfg config.Config, op config.Operator, b engine.Module, log *slog.Logger) (*Sidecar, error) {
	var book orders.EntryStore
	var retention func(string) time.Duration
	var err error
	if op.Sites != nil {
		if err = op.Sites.Check(); err != nil {
			return nil, fmt.Errorf("[sites]: %w", err)
		}
	}
	if op.Store != nil {
		if book, retention, err = op.Store.Open(); err != nil {
			return nil, fmt.Errorf("[store]: %w", err)
		}
	}
	s := &Sidecar{cfg: cfg, op: op, log: log, sockets: sockets.New(cfg.Sockets), room: httpfront.NewBodyBudget(cfg.MemoryMB), began: time.Now()}
	s.deadlines.set(cfg.Settings.Config, s.began)
	setMemory(cfg.MemoryMB, 1)
	s.transport = upstream.New(cfg.Settings, s.sockets, log)
	var transport engine.Transport = s.transport
	if book != nil {
		transport = orders.Transport(transport)
	}
	options := engine.Options{
		Config: cfg.Settings.Config, Module: b, Transport: transport, Source: source(cfg),
		CachedList: cfg.Known, Sites: op.Sites, Log: log,
	}
	s.engine = engine.New(options)
	if book != nil {
		s.desk = orders.New(orders.Options{Engine: s.engine, Store: book, Codec: httpmsg.Codec{}, Retention: retention, Log: log})
	}
	s.server = httpfront.New(s.engine, s.desk, s.room, s.sockets, log)
	if s.services, err = services.New(op.Services, op.Routes, int64(cfg.MemoryMB)<<20/8, s.sockets, log); err != nil {
		s.close()
		return nil, err
	}
	s.sockets.OnShortage(func() bool { return s.transport.EvictIdle() || s.services.EvictIdle() }, func() bool { return s.server.Evict() || s.services.EvictClient() })
	if cfg.Shared != "" {
		if s.dir, err = handover.Open(cfg.Shared); err != nil {
			s.close()
			return nil, err
		}
		s.apply(s.dir.State())
		o, err := s.dir.Others()
		if err != nil {
			s.close()
			return nil, err
		}
		s.beside(o)
		if s.took = o.Older > 0; s.took {
			var l note
			if s.dir.Noted(&l, noteAge) {
				s.engine.Learn(l.Policy)
				s.engine.RestoreSites(l.Sites)
			}
			s.engine.Refresh() // what the older one was told counts as told to this one
		}
	}
	engines := func() []*engine.Engine { return append(s.services.Engines(), s.engine) }
	among, err := op.Members.For(&cfg)
	if err != nil { // the platform has the last word, and the sidecar serves without
		log.Warn("members: off", "why", err)
	}
	if s.peers, err = newPeers(among, cfg.Name, cfg.Settings.Config.GroupSize, s.took, engines, log); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// source is where cfg has the list of servers from.
func source(cfg config.Config) discovery.Client {
	return discovery.Client{Addr: cfg.Discovery, LocalAgent: cfg.Settings.Config.ListPushed}
}

// Run serves until ctx ends, and then drains. It returns once all that was taken is answered. If ctx has ended
// before, it opens no address; at a socket that the platform holds open there may be connections that nobody else takes.
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

// listen opens the clients' address, or takes over the socket that the platform holds open for it.
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
	f.Close() // the listener has a descriptor of its own
	if err != nil {
		return nil, fmt.Errorf("GW_ACCEPT_FD: %d is no listening socket: %w", s.cfg.AcceptFD, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("GW_ACCEPT_FD: %d listens at %s, which is not TCP", s.cfg.AcceptFD, ln.Addr())
	}
	return tcp, nil
}

// Serve is Run on a listener that is open already, and closes it.
func (s *Sidecar) Serve(ctx context.Context, ln *net.TCPListener) error {
	defer s.close()
	beside, stop := context.WithCancel(context.Background()) // ends with Serve, not with ctx: operators may ask while it drains
	var helpers sync.WaitGroup
	defer helpers.Wait()
	defer stop()
	part, leave := context.WithCancel(ctx) // among the others
	defer leave()
	if err := s.operate(beside, &helpers); err != nil {
		ln.Close()
		return err
	}
	if err := s.services.Listen(); err != nil {
		ln.Close()
		return err
	}
	if err := s.peers.run(part, &helpers); err != nil {
		ln.Close()
		return err
	}
	backlog := sockets.NewDrainableListener(ln)
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(backlog) }()
	helpers.Go(func() {
		if err := s.services.Serve(); err != nil {
			s.log.Error("services", "err", err)
		}
	})
	defer s.services.Close() // before helpers are waited for
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
	if s.succeeded() {
		ln.Close() // what waits in the socket's queue is the other process's
	} else {
		backlog.Drain(schedule.Accept)
	}
	patience, cut := context.WithDeadline(context.Background(), schedule.Exit)
	defer cut()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.services.Shutdown(patience)
	}()
	all := s.server.Wait()
	select {
	case <-ended:
	case <-s.server.Exited():
		cut()
		<-ended
	}
	s.log.Info("drained", "load", s.engine.String(), "all_ended", all)
	s.server.CloseAll()
	return nil
}

// beginShutdown has the front end by the schedule of a process that was told to end at signal.
func (s *Sidecar) beginShutdown(signal time.Time) shutdown.Schedule {
	s.ending.Lock()
	s.told = signal
	s.ending.Unlock()
	return s.reschedule()
}

// reschedule has the front end by the settings as they are now, if it is to end: deadlines that are longer than the ones
// before change nothing. It waits for no reload that is under way, which comes here itself.
func (s *Sidecar) reschedule() shutdown.Schedule {
	s.ending.Lock()
	defer s.ending.Unlock()
	if s.told.IsZero() {
		return shutdown.Schedule{}
	}
	schedule := shutdown.ForTermination(s.told, s.deadlines.agreed(s.told))
	s.server.Drain(schedule)
	return schedule
}

// Config returns what the sidecar runs by.
func (s *Sidecar) Config() config.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg
}

// Reload takes over what of cfg and op can change while the sidecar runs: the address of discovery, the settings, and how sites
// are watched, without losing what is known of them. The rest is for the next start, which the log tells. For changeTime
// clients may still go by the settings before. With an error the old configuration stays, whole.
func (s *Sidecar) Reload(cfg config.Config, op config.Operator) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.cfg
	if cfg.Name != old.Name || cfg.Listen != old.Listen || cfg.MemoryMB != old.MemoryMB || cfg.Sockets != old.Sockets ||
		cfg.Management != old.Management {
		s.log.Warn("reload: name, listen, management or limits differ, which takes a restart")
	}
	if !reflect.DeepEqual(op.Store, s.op.Store) {
		s.log.Warn("reload: [store] differs, which takes a restart")
	}
	if err := s.services.Check(op.Services, op.Routes); err != nil {
		return err
	}
	if op.Sites != nil { // before anything has changed
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
		s.deadlines.set(cfg.Settings.Config, time.Now())
		s.reschedule()
		if s.settle != nil {
			s.settle.Stop()
		}
		s.changes++
		if n := s.changes; change.HasInterim {
			s.settle = time.AfterFunc(changeTime, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.changes != n { // it fired as another change came: that one holds
					return
				}
				if err := s.engine.Reconfigure(change.Final); err != nil {
					s.log.Error("reload", "err", err)
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
	s.peers.heed(s.services.Engines())
	if !reflect.DeepEqual(op.Members, s.op.Members) {
		s.log.Warn("reload: [members] differs, which takes a restart")
	}
	if restart {
		s.log.Warn("reload: [[http]], [[streams]], [[mysql]] or what their pools are made with differ, which takes a restart")
	}
	moved := source(cfg) != source(old)
	if moved {
		s.engine.SetSource(source(cfg))
	}
	s.cfg.Settings, s.cfg.Discovery, s.cfg.Text = cfg.Settings, cfg.Discovery, cfg.Text
	s.reloads.applied++
	s.log.Info("reloaded", "discovery", cfg.Discovery, "moved", moved, "retuned", retuned)
	return nil
}

// close ends all that New has started.
func (s *Sidecar) close() {
	s.mu.Lock()
	if s.settle != nil {
		s.settle.Stop()
	}
	s.mu.Unlock()
	if s.services != nil {
		s.services.Close()
	}
	s.engine.Close()
	s.transport.Close()
	if s.dir != nil {
		s.dir.Close()
	}
	if s.desk != nil {
		if err := s.desk.Close(); err != nil {
			s.log.Error("closing the store", "err", err)
		}
	}
}

// ReloadFailed tells that a new configuration cannot be used, and that the old one stays.
func (s *Sidecar) ReloadFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reloads.rejected++
	s.log.Error("reload: the old configuration stays", "err", err)
}

// setMemory guards against being killed for memory: the rest is for stacks of the runtime, code and the kernel. parts is how
// many processes share the limit.
func setMemory(limitMB, parts int) {
	debug.SetMemoryLimit(int64(limitMB) << 20 / 4 * 3 / int64(parts))
}

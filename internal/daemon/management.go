package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/handover"
	"quillfront/internal/management"
	"quillfront/internal/services"
	"quillfront/internal/telemetry"
	"quillfront/policy"
	"quillfront/sites"
)

// takeoverWait is how long a process that takes over may wait for the list of servers before it says that it is ready: the
// platform gives it 6 s in all.
const takeoverWait = 3 * time.Second

const (
	// noteEvery is how often a process leaves what it has learnt for the one that takes over.
	noteEvery = time.Second
	// noteAge is how old that may be: what is older was left before a stop.
	noteAge = 5 * time.Second
)

// operate opens the operators' address and follows the other processes of the sidecar, until ctx ends.
func (s *Sidecar) operate(ctx context.Context, helpers *sync.WaitGroup) error {
	if s.dir != nil {
		helpers.Go(func() { s.dir.Follow(ctx, s.apply, s.beside) })
		if s.cfg.AcceptFD != 0 {
			helpers.Go(func() { s.note(ctx) })
		}
	}
	if s.cfg.Management == "" {
		return nil
	}
	ln, err := net.Listen("tcp", s.cfg.Management)
	if err != nil {
		return fmt.Errorf("management: %w", err)
	}
	server := management.New(operated{s}, s.log)
	s.log.Info("operators", "management", ln.Addr().String())
	helpers.Go(func() {
		if err := server.Serve(ctx, ln); err != nil {
			s.log.Error("management", "err", err)
		}
	})
	return nil
}

// note is what a process leaves for the one that takes over.
type note struct {
	Policy policy.Learned
	Sites  sites.Learned
}

// note leaves what was learnt for the process that takes over, until there is one or ctx ends.
func (s *Sidecar) note(ctx context.Context) {
	tick := time.NewTicker(noteEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.newer.Load() > 0 { // it leaves its own
			continue
		}
		if l, ok := s.engine.Learned(); ok {
			if err := s.dir.Note(note{l, s.engine.SiteMemory()}); err != nil {
				s.log.Warn("handover", "err", err)
			}
		}
	}
}

// apply makes state what operators have asked for.
func (s *Sidecar) apply(state handover.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dir != nil {
		state = s.dir.State() // of two calls at once, the second applies what both have changed
	}
	if !state.Absences.Equal(&s.state.Absences) {
		s.engine.SetAbsences(state.Absences.Clone())
	}
	if state.Evacuated != s.state.Evacuated {
		if state.Evacuated {
			s.server.Evacuate()
		} else {
			s.server.Rejoin()
		}
	}
	s.state = state
}

// update changes what operators have asked for, here and in the other process.
func (s *Sidecar) update(f func(*handover.State) error) error {
	s.asking.Lock() // two calls at once are both kept
	defer s.asking.Unlock()
	var state handover.State
	if s.dir != nil {
		var err error
		if state, err = s.dir.Update(f); err != nil {
			return err
		}
	} else {
		s.mu.Lock()
		state = s.state.Clone()
		s.mu.Unlock()
		if err := f(&state); err != nil {
			return err
		}
	}
	s.apply(state)
	return nil
}

// beside fits this process to the others of the sidecar: memory and descriptors are counted together.
func (s *Sidecar) beside(o handover.Others) {
	parts := 1 + o.Older + o.Newer
	s.newer.Store(int32(o.Newer))
	s.sockets.SetFraction(1 / float64(parts))
	setMemory(s.cfg.MemoryMB, parts)
	if parts > 1 {
		s.log.Info("not alone", "older", o.Older, "newer", o.Newer)
	}
}

// succeeded reports whether another process has taken over the clients' socket.
func (s *Sidecar) succeeded() bool {
	if s.dir == nil || s.cfg.AcceptFD == 0 {
		return false
	}
	o, err := s.dir.Others()
	return err == nil && o.Newer > 0
}

// operated is what operators may do to a Sidecar.
type operated struct{ *Sidecar }

// Ready is a method of management.Operated. A process that takes over is ready once it has the list, so that it knows of
// every drain that the process before was told of, or after takeoverWait.
func (o operated) Ready() error {
	s := o.Sidecar
	s.mu.Lock()
	away := s.state.Evacuated
	s.mu.Unlock()
	if !s.serving.Load() || away {
		return management.ErrNotReady
	}
	if s.took && !s.engine.ListReceived() && time.Since(s.began) < takeoverWait {
		return fmt.Errorf("%w: the list of servers has not come yet", management.ErrNotReady)
	}
	return nil
}

// Exclude is a method of management.Operated.
func (o operated) Exclude(id policy.ServerID) error {
	return o.update(func(st *handover.State) error {
		return st.Absences.Exclude(id, o.engine.ListEntry, time.Now().UnixMilli())
	})
}

// Include is a method of management.Operated.
func (o operated) Include(id policy.ServerID) error {
	return o.update(func(st *handover.State) error {
		return st.Absences.Include(id, o.engine.ListEntry, time.Now().UnixMilli())
	})
}

// Evacuate is a method of management.Operated.
func (o operated) Evacuate() error { return o.evacuated(true) }

// Rejoin is a method of management.Operated.
func (o operated) Rejoin() error { return o.evacuated(false) }

func (o operated) evacuated(is bool) error {
	return o.update(func(st *handover.State) error {
		st.Evacuated = is
		return nil
	})
}

// Members is a method of management.Operated.
func (o operated) Members() http.Handler { return o.peers.handler() }

// Metrics is a method of management.Operated.
func (o operated) Metrics() http.Handler { return telemetry.Handler(o) }

// Waiting is a method of management.Operated.
func (o operated) Waiting(d time.Duration) []string {
	var all []services.PendingRequest
	for _, w := range o.engine.PendingRequests(d) {
		all = append(all, services.PendingRequest{Pool: "platform", PendingRequest: w})
	}
	return linesOf(append(all, o.services.PendingRequests(d)...))
}

// linesOf tells requests that wait, one a line.
func linesOf(all []services.PendingRequest) (lines []string) {
	for _, w := range all {
		lines = append(lines, fmt.Sprintf("%v pool=%s class=%s attempts=%d %q waits for %s", w.Age.Round(time.Millisecond), w.Pool, w.Class, w.Attempts, w.Description, w))
	}
	return lines
}

// Counts is a method of telemetry.Source.
func (o operated) Counts() map[string]engine.Counts { return o.engine.Counts() }

// State is a method of telemetry.Source.
func (o operated) State() telemetry.State {
	s := telemetry.State{Engine: o.engine.Snapshot(), Peers: o.peers.figures()}
	s.Descriptors[0], s.Descriptors[1] = o.sockets.InUse()
	s.Places[0], s.Places[1] = o.sockets.Limits()
	if o.desk != nil {
		d := o.desk.Stats()
		s.Orders = &d
	}
	s.Services = o.services.Stats()
	o.mu.Lock()
	defer o.mu.Unlock()
	s.Out, s.Evacuated = len(o.state.Absences.Excluded), o.state.Evacuated
	s.Applied, s.Rejected = o.reloads.applied, o.reloads.rejected
	return s
}

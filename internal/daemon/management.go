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

// takeoverListTimeout is how long a process that takes over waits for the server list before it
// reports ready without it. The platform allows 6 s in total.
const takeoverListTimeout = 3 * time.Second

const (
	// learnedStateInterval is how often a process saves its learned state for its successor.
	learnedStateInterval = time.Second
	// learnedStateMaxAge is the maximum age of saved state that a successor uses. Older state was
	// saved before a stop.
	learnedStateMaxAge = 5 * time.Second
)

// startManagement opens the management address and starts the tasks that synchronize with the other
// processes of the sidecar. They run until ctx ends.
func (s *Sidecar) startManagement(ctx context.Context, tasks *sync.WaitGroup) error {
	if s.handoverDir != nil {
		tasks.Go(func() { s.handoverDir.Follow(ctx, s.applyOperatorState, s.divideLimits) })
		if s.cfg.AcceptFD != 0 {
			tasks.Go(func() { s.saveLearnedState(ctx) })
		}
	}
	if s.cfg.Management == "" {
		return nil
	}
	ln, err := net.Listen("tcp", s.cfg.Management)
	if err != nil {
		return fmt.Errorf("management: %w", err)
	}
	server := management.New(managedSidecar{s}, s.log)
	s.log.Info("operators", "management", ln.Addr().String())
	tasks.Go(func() {
		if err := server.Serve(ctx, ln); err != nil {
			s.log.Error("management: serving failed", "err", err)
		}
	})
	return nil
}

// learnedState is what a process saves for its successor. It is stored as JSON.
type learnedState struct {
	Policy policy.Learned
	Sites  sites.Learned
}

// saveLearnedState periodically saves the learned state until ctx ends. It pauses while there is a
// newer process.
func (s *Sidecar) saveLearnedState(ctx context.Context) {
	tick := time.NewTicker(learnedStateInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.newerProcesses.Load() > 0 { // the newer process saves its own state
			continue
		}
		if l, ok := s.engine.Learned(); ok {
			if err := s.handoverDir.SaveLearned(learnedState{l, s.engine.SiteMemory()}); err != nil {
				s.log.Warn("handover: cannot save the learned state", "err", err)
			}
		}
	}
}

// applyOperatorState brings the engine and the server in line with the state set by operators.
func (s *Sidecar) applyOperatorState(state handover.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handoverDir != nil {
		// Of two concurrent calls, the second applies the changes of both.
		state = s.handoverDir.State()
	}
	if !state.Exclusions.Equal(&s.operatorState.Exclusions) {
		s.engine.SetAbsences(state.Exclusions.Clone())
	}
	if state.Evacuated != s.operatorState.Evacuated {
		if state.Evacuated {
			s.server.Evacuate()
		} else {
			s.server.Rejoin()
		}
	}
	s.operatorState = state
}

// updateOperatorState changes the state set by operators with f, here and in the other processes of
// the sidecar.
func (s *Sidecar) updateOperatorState(f func(*handover.State) error) error {
	s.updateMu.Lock() // so that neither of two concurrent changes is lost
	defer s.updateMu.Unlock()
	var state handover.State
	if s.handoverDir != nil {
		var err error
		if state, err = s.handoverDir.Update(f); err != nil {
			return err
		}
	} else {
		s.mu.Lock()
		state = s.operatorState.Clone()
		s.mu.Unlock()
		if err := f(&state); err != nil {
			return err
		}
	}
	s.applyOperatorState(state)
	return nil
}

// divideLimits divides the limits on memory and file descriptors among the processes of the
// sidecar, which share them.
func (s *Sidecar) divideLimits(others handover.ProcessCounts) {
	processes := 1 + others.Older + others.Newer
	s.newerProcesses.Store(int32(others.Newer))
	s.sockets.SetFraction(1 / float64(processes))
	setMemoryLimit(s.cfg.MemoryMB, processes)
	if processes > 1 {
		s.log.Info("sharing the limits with other processes of this sidecar", "older", others.Older, "newer", others.Newer)
	}
}

// hasSuccessor reports whether another process has taken over the clients' socket.
func (s *Sidecar) hasSuccessor() bool {
	if s.handoverDir == nil || s.cfg.AcceptFD == 0 {
		return false
	}
	others, err := s.handoverDir.CountOthers()
	return err == nil && others.Newer > 0
}

// managedSidecar provides the management API and the metrics of a Sidecar. It implements
// management.Target and telemetry.Source.
type managedSidecar struct{ *Sidecar }

// Ready returns nil if the sidecar is ready. A process that takes over is ready once it has the
// list, so that it knows of every drain that its predecessor was told of, or after
// takeoverListTimeout.
func (m managedSidecar) Ready() error {
	s := m.Sidecar
	s.mu.Lock()
	evacuated := s.operatorState.Evacuated
	s.mu.Unlock()
	if !s.serving.Load() || evacuated {
		return management.ErrNotReady
	}
	if s.takeover && !s.engine.ListReceived() && time.Since(s.startedAt) < takeoverListTimeout {
		return fmt.Errorf("%w: the list of servers has not come yet", management.ErrNotReady)
	}
	return nil
}

// Exclude takes a server out of service.
func (m managedSidecar) Exclude(id policy.ServerID) error {
	return m.updateOperatorState(func(state *handover.State) error {
		return state.Exclusions.Exclude(id, m.engine.ListEntry, time.Now().UnixMilli())
	})
}

// Include puts an excluded server back into service.
func (m managedSidecar) Include(id policy.ServerID) error {
	return m.updateOperatorState(func(state *handover.State) error {
		return state.Exclusions.Include(id, m.engine.ListEntry, time.Now().UnixMilli())
	})
}

// Evacuate begins to drain the sidecar.
func (m managedSidecar) Evacuate() error { return m.setEvacuated(true) }

// Rejoin ends the drain.
func (m managedSidecar) Rejoin() error { return m.setEvacuated(false) }

func (m managedSidecar) setEvacuated(evacuated bool) error {
	return m.updateOperatorState(func(state *handover.State) error {
		state.Evacuated = evacuated
		return nil
	})
}

// Members returns the handler for the other processes of the fleet, or nil if there are none.
func (m managedSidecar) Members() http.Handler { return m.peers.handler() }

// Metrics returns the handler for the metrics.
func (m managedSidecar) Metrics() http.Handler { return telemetry.Handler(m) }

// PendingRequests describes the requests that have waited for longer than d.
func (m managedSidecar) PendingRequests(d time.Duration) []string {
	var waiting []services.PendingRequest
	for _, r := range m.engine.PendingRequests(d) {
		waiting = append(waiting, services.PendingRequest{Pool: "platform", PendingRequest: r})
	}
	return formatWaiting(append(waiting, m.services.PendingRequests(d)...))
}

// formatWaiting describes waiting requests, one per line.
func formatWaiting(waiting []services.PendingRequest) (lines []string) {
	for _, w := range waiting {
		lines = append(lines, fmt.Sprintf("%v pool=%s class=%s attempts=%d %q waits for %s", w.Age.Round(time.Millisecond), w.Pool, w.Class, w.Attempts, w.Description, w))
	}
	return lines
}

// Counts returns the request counts by class.
func (m managedSidecar) Counts() map[string]engine.Counts { return m.engine.Counts() }

// State returns the current values of the metrics.
func (m managedSidecar) State() telemetry.State {
	s := telemetry.State{Engine: m.engine.Snapshot(), Peers: m.peers.metrics()}
	s.Descriptors[0], s.Descriptors[1] = m.sockets.InUse()
	s.DescriptorLimits[0], s.DescriptorLimits[1] = m.sockets.Limits()
	if m.orders != nil {
		stats := m.orders.Stats()
		s.Orders = &stats
	}
	s.Services = m.services.Stats()
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Excluded, s.Evacuated = len(m.operatorState.Exclusions.Excluded), m.operatorState.Evacuated
	s.ConfigsApplied, s.ConfigsRejected = m.reloads.applied, m.reloads.rejected
	return s
}

package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"sync"

	"quillfront/internal/config"
	"quillfront/internal/engine"
	"quillfront/internal/peering"
	"quillfront/policy"
)

// maxQueuedHints limits the queue of drain hints to send to other processes. Hints beyond it are
// dropped.
const maxQueuedHints = 64

// membership connects the engines of this process to the other processes of the fleet: it divides
// shares by the number of processes, and sends and receives drain hints. A nil membership means
// that there are no other processes.
type membership struct {
	*peering.Host
	cfg       config.Members
	retryBind bool // a failed bind is not fatal: it is retried in the background
	log       *slog.Logger
	departing chan policy.ServerID
}

// newMembership returns nil if cfg is nil. base is the number of processes according to the
// settings. engines returns the running engines.
func newMembership(cfg *config.Members, name string, base int, retryBind bool, engines func() []*engine.Engine, log *slog.Logger) (*membership, error) {
	if cfg == nil {
		return nil, nil
	}
	m := &membership{cfg: *cfg, retryBind: retryBind, log: log, departing: make(chan policy.ServerID, maxQueuedHints)}
	var hooks peering.Hooks
	if cfg.EstimateGroup {
		sharing := cfg.Estimator
		sharing.Configured = base
		hooks.Estimator = &sharing
		hooks.GroupChanged = func(group int) {
			for _, e := range engines() {
				if err := e.Regroup(group); err != nil {
					log.Error("members: cannot apply the number of processes", "group", group, "err", err)
				}
			}
			log.Info("members: number of processes changed", "group", group)
		}
	}
	if cfg.ExchangeHints {
		hooks.HintReceived = func(server string) {
			for _, e := range engines() {
				e.HintDraining(policy.ServerID(server))
			}
		}
	}
	c := cfg.Peers
	c.Node.Name = name
	var err error
	if m.Host, err = peering.New(c, hooks, log); err != nil {
		return nil, err
	}
	m.attach(engines())
	return m, nil
}

// attach makes the engines report servers that leave their lists, and sets the current number of
// processes on them.
func (m *membership) attach(engines []*engine.Engine) {
	if m == nil {
		return
	}
	for _, e := range engines {
		if m.cfg.ExchangeHints {
			e.OnLeaving(func(id policy.ServerID) {
				select {
				case m.departing <- id:
				default:
				}
			})
		}
		if g := m.View().Group; g > 0 {
			e.Regroup(g)
		}
	}
}

// run binds the address and starts the background tasks, which take part in the membership until
// ctx ends and the other processes are notified. It returns an error if the address cannot be bound
// and retryBind is not set.
func (m *membership) run(ctx context.Context, tasks *sync.WaitGroup) error {
	if m == nil {
		return nil
	}
	if err := m.Listen(); err != nil && !m.retryBind {
		return err
	}
	tasks.Go(func() { m.Run(ctx) })
	tasks.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case id := <-m.departing:
				m.Hint(string(id))
			}
		}
	})
	return nil
}

// handler returns the management API's handler for the other processes, or nil if there are none.
func (m *membership) handler() http.Handler {
	if m == nil {
		return nil
	}
	return m.Host
}

// metrics returns nil if there are no other processes.
func (m *membership) metrics() *peering.Metrics {
	if m == nil {
		return nil
	}
	metrics := m.Metrics()
	return &metrics
}

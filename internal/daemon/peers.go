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

// mostLeaving bounds the servers of which others are still to be told; one more is not told of.
const mostLeaving = 64

// peers is a process among others, and what it does with what they tell.
type peers struct {
	*peering.Host
	cfg     config.Members
	patient bool
	log     *slog.Logger
	leaving chan policy.ServerID
}

// newPeers returns nil if cfg is. engines returns those that are at work. base is the number of processes by the settings.
func newPeers(cfg *config.Members, name string, base int, patient bool, engines func() []*engine.Engine, log *slog.Logger) (*peers, error) {
	if cfg == nil {
		return nil, nil
	}
	p := &peers{cfg: *cfg, patient: patient, log: log, leaving: make(chan policy.ServerID, mostLeaving)}
	var on peering.Hooks
	if cfg.EstimateGroup {
		sharing := cfg.Estimator
		sharing.Configured = base
		on.Estimator = &sharing
		on.GroupChanged = func(group int) {
			for _, e := range engines() {
				if err := e.Regroup(group); err != nil {
					log.Error("members: the number of processes", "group", group, "err", err)
				}
			}
			log.Info("members: shares", "group", group)
		}
	}
	if cfg.ExchangeHints {
		on.HintReceived = func(server string) {
			for _, e := range engines() {
				e.HintDraining(policy.ServerID(server))
			}
		}
	}
	c := cfg.Peers
	c.Node.Name = name
	var err error
	if p.Host, err = peering.New(c, on, log); err != nil {
		return nil, err
	}
	p.heed(engines())
	return p, nil
}

// heed has others told of what leaves these engines' lists, and the engines count as many processes as there are.
func (p *peers) heed(engines []*engine.Engine) {
	if p == nil {
		return
	}
	for _, e := range engines {
		if p.cfg.ExchangeHints {
			e.OnLeaving(func(id policy.ServerID) {
				select {
				case p.leaving <- id:
				default:
				}
			})
		}
		if g := p.View().Group; g > 0 {
			e.Regroup(g)
		}
	}
}

// run takes part until ctx ends and the others have been told. An error tells that the address cannot be had.
func (p *peers) run(ctx context.Context, helpers *sync.WaitGroup) error {
	if p == nil {
		return nil
	}
	if err := p.Listen(); err != nil && !p.patient {
		return err
	}
	helpers.Go(func() { p.Run(ctx) })
	helpers.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case id := <-p.leaving:
				p.Hint(string(id))
			}
		}
	})
	return nil
}

// handler answers operators' questions for the others; nil: there are none.
func (p *peers) handler() http.Handler {
	if p == nil {
		return nil
	}
	return p.Host
}

// figures are nil if there are no others.
func (p *peers) figures() *peering.Metrics {
	if p == nil {
		return nil
	}
	f := p.Metrics()
	return &f
}

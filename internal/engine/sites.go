package engine

import (
	"time"

	"quillfront/policy"
	"quillfront/sites"
)

// sharesEvery is how often the module is told of the sites' shares at most.
const sharesEvery = 100 * time.Millisecond

// shareTaker is a module that goes by shares of sites, and asks what may spill.
type shareTaker interface {
	SetShares(map[string]float64)
	SetSpill(func(now policy.Time, from string, weight float64) bool)
}

// NewSites returns a monitor of sites by cfg that logs its transitions, for Options.
func (o *Options) NewSites(cfg sites.Config) (*sites.Monitor, error) {
	cfg.Ordinal, cfg.GroupSize = o.Config.Ordinal, o.Config.GroupSize
	return sites.New(cfg, func(t sites.Transition) {
		o.Log.Warn("site", "site", t.Site, "from", t.From.String(), "to", t.To.String(), "reason", t.Reason, "servers_known", t.Known, "bad", t.Bad)
	})
}

// watchSites has the module go by the monitor, if there is one.
func (e *Engine) watchSites() {
	if m, ok := e.module.(shareTaker); ok && e.sites != nil {
		m.SetSpill(e.sites.Spill)
	}
}

// listSites tells the monitor which servers may take requests.
func (e *Engine) listSites(now policy.Time) {
	if e.sites == nil {
		return
	}
	var all []sites.Server
	for id, s := range e.listed {
		if counts(e.absences, s).State == policy.Ready {
			all = append(all, sites.Server{ID: string(id), Site: s.Zone})
		}
	}
	e.sites.Servers(now, all)
	e.share(now)
}

// evidence tells the monitor how an attempt or a probe has ended, if that says something of the server.
func (e *Engine) evidence(now policy.Time, server policy.ServerID, status policy.Status) {
	if e.sites == nil {
		return
	}
	switch status {
	case policy.Canceled, policy.Moot:
		return
	case policy.OK, policy.Full, policy.Rejected:
		e.sites.Outcome(now, string(server), true)
	default:
		e.sites.Outcome(now, string(server), false)
	}
	if now-e.shared >= sharesEvery {
		e.share(now)
	}
}

// offered tells the monitor of a request, and the module of the shares in time for it.
func (e *Engine) offered(now policy.Time, r *Request) {
	if e.sites == nil {
		return
	}
	if !r.Retry {
		e.sites.Offered(now)
	}
	if now-e.shared >= sharesEvery {
		e.sites.Tick(now)
		e.share(now)
	}
}

// share tells the module what each site may take.
func (e *Engine) share(now policy.Time) {
	e.shared = now
	if m, ok := e.module.(shareTaker); ok {
		m.SetShares(e.sites.Shares(now))
	}
}

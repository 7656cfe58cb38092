// Package siting hosts a monitor of sites beside a decision module: it tells the monitor what the module is told, and the
// module what the monitor makes of it. The engine and the simulator's adapter both go through it.
package siting

import (
	"log/slog"
	"time"

	"quillfront/policy"
	"quillfront/sites"
)

// sharesEvery is how often the module is told of the sites' shares at most.
const sharesEvery = 100 * time.Millisecond

// Module is a module that goes by a plan of sites.
type Module interface {
	SetSitePlan(policy.SitePlan)
	SetSiteShares(map[string]float64)
}

// Host hosts a monitor. The zero Host watches nothing until it is given a configuration. It is not safe for concurrent use.
type Host struct {
	module  Module
	log     *slog.Logger
	monitor *sites.Monitor // nil: sites are not watched
	list    map[policy.ServerID]policy.Server
	shared  policy.Time // when the module was last told of the shares
}

// New returns a Host that watches nothing. A module that does not go by plans is left alone.
func New(module any, log *slog.Logger) *Host {
	h := &Host{log: log, list: map[policy.ServerID]policy.Server{}}
	h.module, _ = module.(Module)
	return h
}

// Watch has sites be watched by cfg from now on, with the instance's number taken from p; nil ends it. What is known of sites
// stays where they are watched already. The error names the field of cfg at fault; nothing has changed then.
func (h *Host) Watch(now policy.Time, cfg *sites.Config, p policy.Config) error {
	if h.module == nil {
		return nil
	}
	if cfg == nil {
		if h.monitor != nil {
			h.monitor = nil
			h.module.SetSitePlan(nil)
			h.module.SetSiteShares(nil)
		}
		return nil
	}
	c := *cfg
	c.Ordinal, c.GroupSize = p.Ordinal, p.GroupSize
	if h.monitor != nil {
		if err := h.monitor.Reconfigure(c); err != nil {
			return err
		}
	} else {
		m, err := sites.New(c, h.note)
		if err != nil {
			return err
		}
		h.monitor = m
		h.tell(now)
		h.module.SetSitePlan(m)
	}
	h.share(now)
	return nil
}

// note logs a transition with its evidence.
func (h *Host) note(t sites.Transition) {
	h.log.Warn("site", "site", t.Site, "from", t.From.String(), "to", t.To.String(), "reason", t.Reason, "servers_known", t.Known, "bad", t.Bad)
}

// Members notes a message about the list of servers, before or after the module has it.
func (h *Host) Members(now policy.Time, kind policy.ListKind, entries []policy.Server) {
	if kind == policy.ListFailed {
		return
	}
	if kind.Complete() {
		clear(h.list)
	}
	for _, s := range entries {
		if s.State == policy.Gone {
			delete(h.list, s.ID)
		} else {
			h.list[s.ID] = s
		}
	}
	if h.monitor != nil {
		h.tell(now)
		h.share(now)
	}
}

// tell tells the monitor which servers may take requests.
func (h *Host) tell(now policy.Time) {
	var all []sites.Server
	for id, s := range h.list {
		if s.State == policy.Ready {
			all = append(all, sites.Server{ID: string(id), Site: s.Zone})
		}
	}
	h.monitor.Servers(now, all)
}

// Ended notes how an attempt or a probe has ended, if that says something of the server.
func (h *Host) Ended(now policy.Time, server policy.ServerID, status policy.Status) {
	if h.monitor == nil || status == policy.Canceled || status == policy.NotSent {
		return
	}
	h.monitor.Outcome(now, string(server), status == policy.OK || status == policy.Overloaded || status == policy.Rejected)
	if now-h.shared >= sharesEvery {
		h.share(now)
	}
}

// Tick tells the module of the shares in time for a request.
func (h *Host) Tick(now policy.Time) {
	if h.monitor != nil && now-h.shared >= sharesEvery {
		h.monitor.Tick(now)
		h.share(now)
	}
}

// share tells the module what each site may take.
func (h *Host) share(now policy.Time) {
	h.shared = now
	h.module.SetSiteShares(h.monitor.Shares(now))
}

// Views returns what is held of each site, in the order of preference; none where sites are not watched.
func (h *Host) Views(now policy.Time) []sites.View {
	if h.monitor == nil {
		return nil
	}
	return h.monitor.Views(now)
}

// Memory returns what was learnt of sites, for whoever takes over.
func (h *Host) Memory(now policy.Time) sites.Memory {
	if h.monitor == nil {
		return sites.Memory{}
	}
	return h.monitor.Memory(now)
}

// Recall has the monitor begin with what another one had learnt.
func (h *Host) Recall(now policy.Time, m sites.Memory) {
	if h.monitor != nil {
		h.monitor.Recall(now, m)
		h.share(now)
	}
}

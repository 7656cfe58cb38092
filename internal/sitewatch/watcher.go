// Package sitewatch connects a sites.Monitor to a decision module: it passes the module's events to
// the monitor, and the resulting shares of the sites to the module. The engine and the simulator's
// adapter both use it.
package sitewatch

import (
	"log/slog"
	"time"

	"quillfront/policy"
	"quillfront/sites"
)

// shareInterval is the minimum time between two updates of the shares that events cause.
const shareInterval = 100 * time.Millisecond

// Module is a decision module that supports a site plan.
type Module interface {
	SetSitePlan(policy.SitePlan)
	SetSiteShares(map[string]float64)
}

// Watcher runs a monitor of sites for a module. A new Watcher does nothing until it is configured.
// It is not safe for concurrent use.
type Watcher struct {
	module   Module
	log      *slog.Logger
	monitor  *sites.Monitor // nil: sites are not watched
	listed   map[policy.ServerID]policy.Server
	sharedAt policy.Time // last update of the module's shares
}

// New returns a Watcher that watches nothing. It ignores a module that doesn't implement Module.
func New(module any, log *slog.Logger) *Watcher {
	w := &Watcher{log: log, listed: map[policy.ServerID]policy.Server{}}
	w.module, _ = module.(Module)
	return w
}

// Configure starts watching sites with cfg, or stops if cfg is nil. The ordinal and group size come
// from p. If sites are watched already, their state is kept. If cfg is invalid, nothing changes and
// the error names the field.
func (w *Watcher) Configure(now policy.Time, cfg *sites.Config, p policy.Config) error {
	if w.module == nil {
		return nil
	}
	if cfg == nil {
		if w.monitor != nil {
			w.monitor = nil
			w.module.SetSitePlan(nil)
			w.module.SetSiteShares(nil)
		}
		return nil
	}
	c := *cfg
	c.Ordinal, c.GroupSize = p.Ordinal, p.GroupSize
	if w.monitor != nil {
		if err := w.monitor.Reconfigure(c); err != nil {
			return err
		}
	} else {
		m, err := sites.New(c, w.logTransition)
		if err != nil {
			return err
		}
		w.monitor = m
		w.updateMonitor(now)
		w.module.SetSitePlan(m)
	}
	w.updateShares(now)
	return nil
}

// logTransition logs a transition with its evidence.
func (w *Watcher) logTransition(t sites.Transition) {
	w.log.Warn("site", "site", t.Site, "from", t.From.String(), "to", t.To.String(), "reason", t.Reason, "servers_known", t.KnownServers, "bad", t.FailureRatio)
}

// UpdateServers processes a message about the server list, before or after the module does.
func (w *Watcher) UpdateServers(now policy.Time, kind policy.ListKind, entries []policy.Server) {
	if kind == policy.ListFailed {
		return
	}
	if kind.Complete() {
		clear(w.listed)
	}
	for _, s := range entries {
		if s.State == policy.Gone {
			delete(w.listed, s.ID)
		} else {
			w.listed[s.ID] = s
		}
	}
	if w.monitor != nil {
		w.updateMonitor(now)
		w.updateShares(now)
	}
}

// updateMonitor passes the servers that may receive requests to the monitor.
func (w *Watcher) updateMonitor(now policy.Time) {
	var all []sites.Server
	for id, s := range w.listed {
		if s.State == policy.Ready {
			all = append(all, sites.Server{ID: string(id), Site: s.Zone})
		}
	}
	w.monitor.UpdateServers(now, all)
}

// RecordOutcome records the end of an attempt or a probe. Canceled and unsent attempts are ignored,
// because they say nothing about the server.
func (w *Watcher) RecordOutcome(now policy.Time, server policy.ServerID, status policy.Status) {
	if w.monitor == nil || status == policy.Canceled || status == policy.NotSent {
		return
	}
	w.monitor.RecordOutcome(now, string(server), status == policy.OK || status == policy.Overloaded || status == policy.Rejected)
	if now-w.sharedAt >= shareInterval {
		w.updateShares(now)
	}
}

// Tick updates the shares of the module. It is called before each request.
func (w *Watcher) Tick(now policy.Time) {
	if w.monitor != nil && now-w.sharedAt >= shareInterval {
		w.monitor.Tick(now)
		w.updateShares(now)
	}
}

// updateShares passes the shares of the sites to the module.
func (w *Watcher) updateShares(now policy.Time) {
	w.sharedAt = now
	w.module.SetSiteShares(w.monitor.Shares(now))
}

// Snapshot returns the state of each site in the order of preference, or nil if sites are not
// watched.
func (w *Watcher) Snapshot(now policy.Time) []sites.SiteSnapshot {
	if w.monitor == nil {
		return nil
	}
	return w.monitor.Snapshot(now)
}

// Learned returns the state that the monitor hands over to its successor. It is empty if sites are
// not watched.
func (w *Watcher) Learned(now policy.Time) sites.Learned {
	if w.monitor == nil {
		return sites.Learned{}
	}
	return w.monitor.Learned(now)
}

// Restore makes the monitor continue from the state of another one. It has no effect if sites are
// not watched.
func (w *Watcher) Restore(now policy.Time, m sites.Learned) {
	if w.monitor != nil {
		w.monitor.Restore(now, m)
		w.updateShares(now)
	}
}

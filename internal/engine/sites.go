package engine

import (
	"quillfront/policy"
	"quillfront/sites"
)

// WatchSites monitors sites according to cfg from now on; nil ends the monitoring. State of sites
// that are monitored already is kept. An error names the invalid field of cfg; nothing has changed
// then.
func (e *Engine) WatchSites(cfg *sites.Config) (err error) {
	e.event(func(now policy.Time) {
		if err = e.sites.Configure(now, cfg, e.config); err == nil {
			e.siteConfig = cfg
		}
	})
	return err
}

// SiteMemory returns the learned state of the sites, for a process that takes over.
func (e *Engine) SiteMemory() (m sites.Learned) {
	e.event(func(now policy.Time) { m = e.sites.Learned(now) })
	return m
}

// RestoreSites initializes the monitoring of sites with the learned state of another engine.
func (e *Engine) RestoreSites(m sites.Learned) {
	e.event(func(now policy.Time) { e.sites.Restore(now, m) })
}

package engine

import (
	"quillfront/policy"
	"quillfront/sites"
)

// WatchSites has sites be watched by cfg from now on; nil ends it. What is known of them stays where they are watched already. The
// error names the field of cfg at fault; nothing has changed then.
func (e *Engine) WatchSites(cfg *sites.Config) (err error) {
	e.event(func(now policy.Time) {
		if err = e.sites.Watch(now, cfg, e.config); err == nil {
			e.watched = cfg
		}
	})
	return err
}

// SiteMemory returns what was learnt of sites, for whoever takes over.
func (e *Engine) SiteMemory() (m sites.Memory) {
	e.event(func(now policy.Time) { m = e.sites.Memory(now) })
	return m
}

// RestoreSites has the watch of sites begin with what another engine had learnt.
func (e *Engine) RestoreSites(m sites.Memory) {
	e.event(func(now policy.Time) { e.sites.Recall(now, m) })
}

package quillfront

import (
	"fmt"
	"time"

	"quillfront/internal/engine"
	"quillfront/sites"
)

// Sites configures the health monitoring of sites, which are the Zones of the servers. A site whose
// servers fail gets less traffic, in proportion to the failures, and only trials once most of its
// servers fail. When it answers again, its traffic returns step by step. The traffic that other
// sites take over is limited; requests above the limit are refused, those with the least worth
// first. sites.Config documents the defaults of zero values.
type Sites = sites.Config

// WithSites makes a Balancer monitor its sites. If s is invalid, New returns an error that names
// the field. Config.Instance and Config.Instances set Sites.Ordinal and Sites.GroupSize.
func WithSites(s Sites) Option { return func(o *options) { o.sites = &s } }

// SiteSnapshot is the state that a Balancer keeps of one site.
type SiteSnapshot struct {
	Site       string
	State      string        // healthy, doubtful, dark or returning
	For        time.Duration // time since State last changed
	Share      float64       // share of its traffic that it gets, 0 to 1
	Servers    int           // number of servers
	Known      int           // servers with enough data to judge them
	Bad        float64       // share of the Known servers that fail
	Spilled    uint64        // requests taken over from other sites
	TurnedAway uint64        // requests for this site refused because no other site had room
}

// watchSites adds the site monitor to an engine's options if o has one.
func (o *options) watchSites(e *engine.Options) error {
	if o.sites == nil {
		return nil
	}
	c := *o.sites
	if err := c.Check(); err != nil {
		return fmt.Errorf("quillfront: Sites: %w", err)
	}
	e.Sites = &c
	return nil
}

// SetSites replaces the site monitoring settings of b; nil turns the monitoring off. If sites are
// already monitored, their state is kept. An error names the invalid field; nothing has changed
// then.
func (b *Balancer) SetSites(s *Sites) error {
	if err := b.engine.WatchSites(s); err != nil {
		return fmt.Errorf("quillfront: Sites: %w", err)
	}
	return nil
}

// siteSnapshots returns the sites of an engine's snapshot.
func siteSnapshots(e engine.Snapshot) (all []SiteSnapshot) {
	for _, v := range e.Sites {
		all = append(all, SiteSnapshot{
			v.Site, v.State.String(), e.At - v.Since, v.Share, v.Servers, v.KnownServers, v.FailureRatio, v.Spilled, v.TurnedAway,
		})
	}
	return all
}

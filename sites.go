package quillfront

import (
	"fmt"
	"time"

	"quillfront/internal/engine"
	"quillfront/sites"
)

// Sites says that a Balancer watches the sites of its servers, which are their Zones: one whose servers fail takes less of the
// traffic, by what fails, and trials only once most does; one that answers again returns by degrees. What other sites take over
// for it is bounded, and what is over the bound is refused, what is worth least first. Zero values take the defaults that
// sites.Config names.
type Sites = sites.Config

// WithSites makes a Balancer watch sites. New returns an error that names the field at fault. Sites.Ordinal and
// Sites.GroupSize are taken from Config.Instance and Config.Instances.
func WithSites(s Sites) Option { return func(o *options) { o.sites = &s } }

// SiteSnapshot is how a site is held to be.
type SiteSnapshot struct {
	Site       string
	State      string        // healthy, doubtful, dark or returning
	For        time.Duration // since it is so
	Share      float64       // the part of its traffic that it takes, 0 to 1
	Servers    int
	Known      int     // servers of which enough is known
	Bad        float64 // the part of those that fails
	Spilled    uint64  // requests that were added for others
	TurnedAway uint64  // requests meant for it that no other site had room for
}

// watchSites adds the monitor that o asks for to an engine's options.
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

// SetSites makes s what b watches its sites by from now on, nil to watch them no more. What is known of sites stays where they
// are watched already. An error names the field at fault, and nothing has changed then.
func (b *Balancer) SetSites(s *Sites) error {
	if err := b.engine.WatchSites(s); err != nil {
		return fmt.Errorf("quillfront: Sites: %w", err)
	}
	return nil
}

// siteSnapshots is what a snapshot of the engine's tells of sites.
func siteSnapshots(e engine.Snapshot) (all []SiteSnapshot) {
	for _, v := range e.Sites {
		all = append(all, SiteSnapshot{
			v.Site, v.State.String(), e.At - v.Since, v.Share, v.Servers, v.KnownServers, v.FailureRatio, v.Spilled, v.TurnedAway,
		})
	}
	return all
}

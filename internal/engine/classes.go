package engine

import (
	"strings"
	"time"

	"quillfront/members"
	"quillfront/policy"
	"quillfront/reconfig"
)

// classSet holds the configured request classes. It is immutable; a new configuration replaces it.
type classSet struct {
	// byName holds the current class first, then its previous version, if any.
	byName  map[string][]policy.Class
	longest time.Duration
}

func newClassSet(cfg policy.Config) *classSet {
	r := &classSet{byName: map[string][]policy.Class{}}
	for _, c := range cfg.Classes {
		name, before := strings.CutSuffix(c.Name, reconfig.PreviousSuffix)
		if before {
			r.byName[name] = append(r.byName[name], c)
		} else {
			r.byName[name] = append([]policy.Class{c}, r.byName[name]...)
		}
		r.longest = max(r.longest, c.Deadline)
	}
	if r.longest == 0 {
		r.longest = defaultMaxWait
	}
	return r
}

// known reports whether name is the module's name of a configured class.
func (r *classSet) known(name string) bool {
	public, _ := strings.CutSuffix(name, reconfig.PreviousSuffix)
	for _, c := range r.byName[public] {
		if c.Name == name {
			return true
		}
	}
	return false
}

// LongestDeadline returns the longest time that a request may wait: the longest deadline of all
// classes, or defaultMaxWait if there are none.
func (e *Engine) LongestDeadline() time.Duration { return e.classes.Load().longest }

// Class returns the current class with the given public name.
func (e *Engine) Class(name string) (c policy.Class, known bool) {
	if all := e.Classes(name); len(all) > 0 {
		return all[0], true
	}
	return policy.Class{}, false
}

// Classes returns the class with the given public name, followed by its version before a change of
// its settings for as long as clients may still use that. It returns nothing for an unknown name. A
// request's Class is the Name of one of the returned classes.
func (e *Engine) Classes(name string) []policy.Class { return e.classes.Load().byName[name] }

// Reconfigure applies cfg to the module and to all requests from now on. If it returns an error,
// nothing has changed.
func (e *Engine) Reconfigure(cfg policy.Config) (err error) {
	e.event(func(now policy.Time) { err = e.reconfigure(now, cfg, e.groupOverride) })
	return err
}

// Regroup overrides the GroupSize of the present and of later configurations with group. 0 removes
// the override.
func (e *Engine) Regroup(group int) (err error) {
	e.event(func(now policy.Time) {
		if !e.closed {
			err = e.reconfigure(now, e.baseConfig, group)
		}
	})
	return err
}

// reconfigure applies base, with its GroupSize replaced by group if that is not 0.
func (e *Engine) reconfigure(now policy.Time, base policy.Config, group int) error {
	cfg := base
	if group > 0 {
		cfg.Ordinal, cfg.GroupSize = members.ScaleOrdinal(base.Ordinal, base.GroupSize, group), group
	}
	if err := e.module.Reconfigure(cfg); err != nil {
		return err
	}
	e.classes.Store(newClassSet(cfg))
	regrouped := cfg.GroupSize != e.config.GroupSize || cfg.Ordinal != e.config.Ordinal
	e.config, e.baseConfig, e.groupOverride = cfg, base, group
	e.ensurePushedWatch()
	if regrouped && e.siteConfig != nil {
		return e.sites.Configure(now, e.siteConfig, cfg)
	}
	return nil
}

// learner is implemented by modules that can export and import their learned state.
type learner interface {
	Learned(policy.Time) policy.Learned
	Restore(policy.Time, policy.Learned)
}

// Learned returns the module's learned state. ok is false if the module cannot export it.
func (e *Engine) Learned() (l policy.Learned, ok bool) {
	e.event(func(now policy.Time) {
		var m learner
		if m, ok = e.module.(learner); ok {
			l = m.Learned(now)
		}
	})
	return l, ok
}

// Learn initializes the module with the learned state of another one.
func (e *Engine) Learn(l policy.Learned) {
	e.event(func(now policy.Time) {
		if m, ok := e.module.(learner); ok {
			m.Restore(now, l)
		}
	})
}

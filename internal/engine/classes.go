package engine

import (
	"strings"
	"time"

	"quillfront/members"
	"quillfront/policy"
	"quillfront/retune"
)

// rules are the classes that requests may be of. They are replaced whole.
type rules struct {
	classes map[string][]policy.Class // by the name that clients give: as it is now, and perhaps as it was before
	longest time.Duration
}

func newRules(cfg policy.Config) *rules {
	r := &rules{classes: map[string][]policy.Class{}}
	for _, c := range cfg.Classes {
		name, before := strings.CutSuffix(c.Name, retune.Before)
		if before {
			r.classes[name] = append(r.classes[name], c)
		} else {
			r.classes[name] = append([]policy.Class{c}, r.classes[name]...)
		}
		r.longest = max(r.longest, c.Deadline)
	}
	if r.longest == 0 {
		r.longest = mostWait
	}
	return r
}

// known reports whether requests may be of the class of that name, which is the module's.
func (r *rules) known(name string) bool {
	public, _ := strings.CutSuffix(name, retune.Before)
	for _, c := range r.classes[public] {
		if c.Name == name {
			return true
		}
	}
	return false
}

// LongestDeadline is the longest time that a request may wait: the longest deadline of the classes.
func (e *Engine) LongestDeadline() time.Duration { return e.rules.Load().longest }

// Class returns the class of requests of that name.
func (e *Engine) Class(name string) (c policy.Class, known bool) {
	if all := e.Classes(name); len(all) > 0 {
		return all[0], true
	}
	return policy.Class{}, false
}

// Classes returns the class of requests of that name, and behind it the one that it was before a change of its rules, as
// long as clients may still go by those. It is empty if there is none. A request's Class is the Name of one of them.
func (e *Engine) Classes(name string) []policy.Class { return e.rules.Load().classes[name] }

// Reconfigure makes cfg the configuration of the module and of what comes from now on. With an error nothing has changed.
func (e *Engine) Reconfigure(cfg policy.Config) (err error) {
	e.event(func(now policy.Time) { err = e.reconfigure(now, cfg, e.group) })
	return err
}

// Regroup has the module count group instances in place of the GroupSize of its configuration, whatever that becomes; 0: that counts
// again.
func (e *Engine) Regroup(group int) (err error) {
	e.event(func(now policy.Time) {
		if !e.closed {
			err = e.reconfigure(now, e.given, group)
		}
	})
	return err
}

func (e *Engine) reconfigure(now policy.Time, given policy.Config, group int) error {
	cfg := given
	if group > 0 {
		cfg.Ordinal, cfg.GroupSize = members.ScaleOrdinal(given.Ordinal, given.GroupSize, group), group
	}
	if err := e.module.Reconfigure(cfg); err != nil {
		return err
	}
	e.rules.Store(newRules(cfg))
	regrouped := cfg.GroupSize != e.config.GroupSize || cfg.Ordinal != e.config.Ordinal
	e.config, e.given, e.group = cfg, given, group
	e.listen()
	if regrouped && e.watched != nil {
		return e.sites.Watch(now, e.watched, cfg)
	}
	return nil
}

// learner is a module that can hand on what it has learnt.
type learner interface {
	Learned(policy.Time) policy.Learned
	Restore(policy.Time, policy.Learned)
}

// Learned returns what the module has learnt, if it can tell.
func (e *Engine) Learned() (l policy.Learned, ok bool) {
	e.event(func(now policy.Time) {
		var m learner
		if m, ok = e.module.(learner); ok {
			l = m.Learned(now)
		}
	})
	return l, ok
}

// Learn has the module begin with what another one had learnt.
func (e *Engine) Learn(l policy.Learned) {
	e.event(func(now policy.Time) {
		if m, ok := e.module.(learner); ok {
			m.Restore(now, l)
		}
	})
}

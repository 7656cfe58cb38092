package fleetsim

import (
	"fmt"
	"time"

	"quillfront/policy"
)

// Server is one that takes attempts.
type Server struct {
	ID   policy.ServerID
	Zone string
	// ErrorRate is the share of attempts that it answers with an error at once, 0 to 1.
	ErrorRate float64

	world        *Simulation
	slot         int
	cell         int
	cores        int
	speed        float64
	started      policy.Time // zero: long ago
	completed    int         // since its start
	unresponsive bool        // says nothing, and cannot be connected to
	draining     bool
	removed      bool
	successor    *Server // who has its address once it is gone; nil: nobody
	overloaded   bool
	incarnation  int // crashes: what was under way belongs to an earlier one
	busy         int
	queue        []*job
	reported     float64     // queue, as of the last report
	reportedAt   policy.Time // the last report
	recent       []arrival   // of the last second, while cold
	recentWork   float64     // seconds of work in recent
}

type arrival struct {
	at   policy.Time
	work float64 // seconds on a standard core
}

type job struct {
	work time.Duration
	done func(policy.Status)
}

// capacityShare is the part of its capacity that it has.
func (v *Server) capacityShare() float64 {
	if v.started == 0 {
		return 1
	}
	byTime := float64(v.world.now-v.started) / float64(ramp)
	byWork := float64(v.completed) / float64(warmRequests*v.cores)
	return coldCapacity + (1-coldCapacity)*min(1, max(byTime, byWork))
}

// listener is who listener at the address of v: v itself, or once it is gone who has its address now.
func (v *Server) listener() *Server {
	for v.removed && v.successor != nil {
		v = v.successor
	}
	return v
}

// accept takes an attempt, and calls done with its ending, or never.
func (v *Server) accept(work time.Duration, done func(policy.Status)) {
	switch {
	case v.unresponsive || v.overloaded:
		return
	case v.removed:
		done(policy.ConnectFailed)
		return
	}
	v.recordWork(work)
	switch {
	case v.overloaded:
	case v.ErrorRate > 0 && v.world.rng.Float64() < v.ErrorRate:
		v.world.after(2*ms, func() { done(policy.AppError) })
	case len(v.queue) >= queuePerCore*v.cores:
		done(policy.Overloaded)
	default:
		v.queue = append(v.queue, &job{work, done})
		v.runQueued()
	}
}

// recordWork counts what reaches a cold server, and has it fall over beyond what it stands. The slack is for chance.
func (v *Server) recordWork(work time.Duration) {
	w := v.capacityShare()
	if w == 1 {
		v.recent, v.recentWork = nil, 0
		return
	}
	now := v.world.now
	for len(v.recent) > 0 && now-v.recent[0].at > sec {
		v.recentWork -= v.recent[0].work
		v.recent = v.recent[1:]
	}
	v.recent = append(v.recent, arrival{now, work.Seconds()})
	v.recentWork += work.Seconds()
	can := float64(v.cores) * v.speed * w
	v.world.Stats.MaxColdLoad = max(v.world.Stats.MaxColdLoad, (v.recentWork-0.3)/can)
	if v.recentWork-0.3 > coldOverloadFactor*can {
		v.overloaded = true
		v.crash()
		v.world.Stats.violation("cold server pushed over", fmt.Sprintf("%s of age %v, errs %.1f, %.2f s of work in a second where it can do %.2f", v.ID, v.world.now-v.started, v.ErrorRate, v.recentWork, can))
	}
}

func (v *Server) runQueued() {
	for v.busy < v.cores && len(v.queue) > 0 && !v.unresponsive {
		j := v.queue[0]
		v.queue = v.queue[1:]
		v.busy++
		life := v.incarnation
		crowd := float64(v.busy+len(v.queue))/float64(v.cores) - slowdownThreshold
		slow := 1 + slowdownPerRequest*max(0, crowd)
		v.world.after(time.Duration(float64(j.work)/v.speed/v.capacityShare()*slow), func() {
			if v.incarnation != life {
				return
			}
			v.busy--
			v.completed++
			j.done(policy.OK)
			v.runQueued()
		})
	}
}

// report is the queue as it is reported now: as it was when the report was last renewed.
func (v *Server) report() float64 {
	if at := (v.world.now - reportLag).Truncate(reportInterval); at != v.reportedAt {
		v.reportedAt, v.reported = at, float64(len(v.queue))
	}
	return v.reported
}

// crash loses all that it works on.
func (v *Server) crash() {
	v.incarnation++
	v.busy, v.queue = 0, nil
}

// Hang has it say nothing any more.
func (v *Server) Hang() {
	v.unresponsive = true
	v.crash()
}

// RestartCold has a dark server come back cold, under its id.
func (v *Server) RestartCold() {
	v.unresponsive, v.removed, v.draining, v.overloaded, v.started, v.completed, v.recent, v.recentWork = false, false, false, false, v.world.now, 0, nil, 0
}

// entry is how discovery lists it.
func (v *Server) entry() policy.Server {
	e := policy.Server{ID: v.ID, Zone: v.Zone, Cell: v.cell, Weight: 1, Started: v.started}
	if v.draining {
		e.State = policy.Draining
	}
	return e
}

// discovery knows servers late, and lists them through calls in turn.
type discovery struct {
	world     *Simulation
	list      []policy.Server
	withdrawn map[policy.ServerID]policy.Time // when it published that they take nothing more
	freeAt    policy.Time                     // when it has worked off the calls that wait
	mode      DiscoveryMode
	Calls     int
}

// DiscoveryMode is how discovery treats calls.
type DiscoveryMode int

// The modes.
const (
	Answering DiscoveryMode = iota
	Refusing                // each call fails at once
	Silent                  // each call fails after its time
)

// SetDiscoveryMode has discovery treat calls in a mode from now on. Watches break where it is not Answering.
func (w *Simulation) SetDiscoveryMode(m DiscoveryMode) {
	w.discovery.mode = m
	if m == Answering {
		return
	}
	for _, s := range w.sidecars {
		if s.watching {
			s.watching, s.lastCallFailed = false, true
			s.module.UpdateServers(w.now, policy.ListFailed, nil, s)
		}
	}
}

// publish tells the list as it stands to all that watch.
func (d *discovery) publish() {
	w := d.world
	if d.withdrawn == nil {
		d.withdrawn = map[policy.ServerID]policy.Time{}
	}
	d.list = nil
	for _, v := range w.servers {
		if !v.removed {
			d.list = append(d.list, v.entry())
		}
		if v.removed || v.draining {
			if _, known := d.withdrawn[v.ID]; !known {
				d.withdrawn[v.ID] = w.now
			}
		} else {
			delete(d.withdrawn, v.ID)
		}
	}
	if d.mode != Answering {
		return
	}
	for _, s := range w.sidecars {
		if s.watching {
			s.deliverList(time.Duration(w.rng.Float64()*float64(120*ms)), d.list)
		}
	}
}

// call is a sidecar's call for a watch.
func (d *discovery) call(s *Sidecar) {
	w, life := d.world, s.incarnation
	d.Calls++
	w.Stats.ListCalls = d.Calls
	fail := func(after time.Duration) {
		w.after(after, func() {
			if s.incarnation == life {
				s.lastCallFailed = true
				s.module.UpdateServers(w.now, policy.ListFailed, nil, s)
			}
		})
	}
	switch d.mode {
	case Refusing:
		fail(ms)
		return
	case Silent:
		fail(w.cfg.CallTimeout)
		return
	}
	wait := max(0, d.freeAt-w.now)
	if wait > w.cfg.CallTimeout {
		fail(w.cfg.CallTimeout)
		return
	}
	d.freeAt = w.now + wait + time.Duration(float64(len(d.list))/w.cfg.ListRate*float64(sec))
	w.after(d.freeAt-w.now, func() {
		if s.incarnation == life && d.mode == Answering {
			s.watching = true
			s.deliverList(0, d.list)
		} else if s.incarnation == life {
			fail(0)
		}
	})
}

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
	// Errors is the share of attempts that it answers with an error at once, 0 to 1.
	Errors float64

	world    *World
	place    int
	cell     int
	cores    int
	speed    float64
	started  policy.Time // zero: long ago
	answered int         // since its start
	dark     bool        // says nothing, and cannot be connected to
	draining bool
	gone     bool
	heir     *Server // who has its address once it is gone; nil: nobody
	fell     bool
	life     int // crashes: what was under way belongs to an earlier one
	busy     int
	queue    []*job
	reported float64     // queue, as of the last report
	renewed  policy.Time // the last report
	recent   []arrival   // of the last second, while cold
	pressure float64     // seconds of work in recent
}

type arrival struct {
	at   policy.Time
	work float64 // seconds on a standard core
}

type job struct {
	work time.Duration
	done func(policy.Status)
}

// warmth is the part of its capacity that it has.
func (v *Server) warmth() float64 {
	if v.started == 0 {
		return 1
	}
	byTime := float64(v.world.now-v.started) / float64(ramp)
	byWork := float64(v.answered) / float64(warmRequests*v.cores)
	return coldFrom + (1-coldFrom)*min(1, max(byTime, byWork))
}

// listens is who listens at the address of v: v itself, or once it is gone who has its address now.
func (v *Server) listens() *Server {
	for v.gone && v.heir != nil {
		v = v.heir
	}
	return v
}

// take takes an attempt, and calls done with its ending, or never.
func (v *Server) take(work time.Duration, done func(policy.Status)) {
	switch {
	case v.dark || v.fell:
		return
	case v.gone:
		done(policy.ConnectFailed)
		return
	}
	v.press(work)
	switch {
	case v.fell:
	case v.Errors > 0 && v.world.rng.Float64() < v.Errors:
		v.world.after(2*ms, func() { done(policy.AppError) })
	case len(v.queue) >= queuePerCore*v.cores:
		done(policy.Overloaded)
	default:
		v.queue = append(v.queue, &job{work, done})
		v.next()
	}
}

// press counts what reaches a cold server, and has it fall over beyond what it stands. The slack is for chance.
func (v *Server) press(work time.Duration) {
	w := v.warmth()
	if w == 1 {
		v.recent, v.pressure = nil, 0
		return
	}
	now := v.world.now
	for len(v.recent) > 0 && now-v.recent[0].at > sec {
		v.pressure -= v.recent[0].work
		v.recent = v.recent[1:]
	}
	v.recent = append(v.recent, arrival{now, work.Seconds()})
	v.pressure += work.Seconds()
	can := float64(v.cores) * v.speed * w
	v.world.Account.Pressure = max(v.world.Account.Pressure, (v.pressure-0.3)/can)
	if v.pressure-0.3 > tipMultiple*can {
		v.fell = true
		v.crash()
		v.world.Account.broken("cold server pushed over", fmt.Sprintf("%s of age %v, errs %.1f, %.2f s of work in a second where it can do %.2f", v.ID, v.world.now-v.started, v.Errors, v.pressure, can))
	}
}

func (v *Server) next() {
	for v.busy < v.cores && len(v.queue) > 0 && !v.dark {
		j := v.queue[0]
		v.queue = v.queue[1:]
		v.busy++
		life := v.life
		crowd := float64(v.busy+len(v.queue))/float64(v.cores) - thrashAt
		slow := 1 + thrash*max(0, crowd)
		v.world.after(time.Duration(float64(j.work)/v.speed/v.warmth()*slow), func() {
			if v.life != life {
				return
			}
			v.busy--
			v.answered++
			j.done(policy.OK)
			v.next()
		})
	}
}

// report is the queue as it is reported now: as it was when the report was last renewed.
func (v *Server) report() float64 {
	if at := (v.world.now - reportLag).Truncate(reportEvery); at != v.renewed {
		v.renewed, v.reported = at, float64(len(v.queue))
	}
	return v.reported
}

// crash loses all that it works on.
func (v *Server) crash() {
	v.life++
	v.busy, v.queue = 0, nil
}

// GoDark has it say nothing any more.
func (v *Server) GoDark() {
	v.dark = true
	v.crash()
}

// Return has a dark server come back cold, under its id.
func (v *Server) Return() {
	v.dark, v.gone, v.draining, v.fell, v.started, v.answered, v.recent, v.pressure = false, false, false, false, v.world.now, 0, nil, 0
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
	world *World
	list  []policy.Server
	out   map[policy.ServerID]policy.Time // when it published that they take nothing more
	free  policy.Time                     // when it has worked off the calls that wait
	mode  DiscoveryMode
	Calls int
}

// DiscoveryMode is how discovery treats calls.
type DiscoveryMode int

// The modes.
const (
	Answering DiscoveryMode = iota
	Refusing                // each call fails at once
	Silent                  // each call fails after its time
)

// Discovery has discovery treat calls in a mode from now on. Watches break where it is not Answering.
func (w *World) Discovery(m DiscoveryMode) {
	w.disco.mode = m
	if m == Answering {
		return
	}
	for _, s := range w.sidecars {
		if s.watching {
			s.watching, s.failed = false, true
			s.module.UpdateServers(w.now, policy.ListFailed, nil, s)
		}
	}
}

// publish tells the list as it stands to all that watch.
func (d *discovery) publish() {
	w := d.world
	if d.out == nil {
		d.out = map[policy.ServerID]policy.Time{}
	}
	d.list = nil
	for _, v := range w.servers {
		if !v.gone {
			d.list = append(d.list, v.entry())
		}
		if v.gone || v.draining {
			if _, known := d.out[v.ID]; !known {
				d.out[v.ID] = w.now
			}
		} else {
			delete(d.out, v.ID)
		}
	}
	if d.mode != Answering {
		return
	}
	for _, s := range w.sidecars {
		if s.watching {
			s.hear(time.Duration(w.rng.Float64()*float64(120*ms)), d.list)
		}
	}
}

// call is a sidecar's call for a watch.
func (d *discovery) call(s *Sidecar) {
	w, life := d.world, s.life
	d.Calls++
	w.Account.Calls = d.Calls
	fail := func(after time.Duration) {
		w.after(after, func() {
			if s.life == life {
				s.failed = true
				s.module.UpdateServers(w.now, policy.ListFailed, nil, s)
			}
		})
	}
	switch d.mode {
	case Refusing:
		fail(ms)
		return
	case Silent:
		fail(w.cfg.CallTime)
		return
	}
	wait := max(0, d.free-w.now)
	if wait > w.cfg.CallTime {
		fail(w.cfg.CallTime)
		return
	}
	d.free = w.now + wait + time.Duration(float64(len(d.list))/w.cfg.Lines*float64(sec))
	w.after(d.free-w.now, func() {
		if s.life == life && d.mode == Answering {
			s.watching = true
			s.hear(0, d.list)
		} else if s.life == life {
			fail(0)
		}
	})
}

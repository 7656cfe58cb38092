package fleetsim

import (
	"fmt"
	"time"

	"quillfront/policy"
)

// Server is a simulated server that accepts attempts.
type Server struct {
	ID   policy.ServerID
	Zone string
	// ErrorRate is the share of attempts that are answered with an error at once, 0 to 1.
	ErrorRate float64

	sim          *Simulation
	slot         int
	cell         int
	cores        int
	speed        float64
	started      policy.Time // zero: long ago, so the server is warm
	completed    int         // requests completed since its start
	unresponsive bool        // sends no replies and accepts no connections
	draining     bool
	removed      bool
	successor    *Server // server that takes over its address once it is removed, or nil
	overloaded   bool
	incarnation  int // number of crashes; jobs of an earlier incarnation are lost
	busy         int
	queue        []*job
	reported     float64     // queue length in the last report
	reportedAt   policy.Time // time of the last report
	recent       []arrival   // arrivals of the last second, while cold
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

// capacityShare returns the share of its full capacity that the server has while it warms up.
func (v *Server) capacityShare() float64 {
	if v.started == 0 {
		return 1
	}
	byTime := float64(v.sim.now-v.started) / float64(ramp)
	byWork := float64(v.completed) / float64(warmRequests*v.cores)
	return coldCapacity + (1-coldCapacity)*min(1, max(byTime, byWork))
}

// listener returns the server that listens at the address of v: v itself, or its successor once v
// is removed.
func (v *Server) listener() *Server {
	for v.removed && v.successor != nil {
		v = v.successor
	}
	return v
}

// accept takes an attempt and calls done with its outcome. An unresponsive server never calls it.
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
	case v.ErrorRate > 0 && v.sim.rng.Float64() < v.ErrorRate:
		v.sim.after(2*ms, func() { done(policy.AppError) })
	case len(v.queue) >= queuePerCore*v.cores:
		done(policy.Overloaded)
	default:
		v.queue = append(v.queue, &job{work, done})
		v.runQueued()
	}
}

// recordWork counts the work that reaches a cold server and crashes the server when the work of one
// second exceeds coldOverloadFactor times its capacity. The 0.3 s of slack allow for random bursts.
func (v *Server) recordWork(work time.Duration) {
	w := v.capacityShare()
	if w == 1 {
		v.recent, v.recentWork = nil, 0
		return
	}
	now := v.sim.now
	for len(v.recent) > 0 && now-v.recent[0].at > sec {
		v.recentWork -= v.recent[0].work
		v.recent = v.recent[1:]
	}
	v.recent = append(v.recent, arrival{now, work.Seconds()})
	v.recentWork += work.Seconds()
	can := float64(v.cores) * v.speed * w
	v.sim.Stats.MaxColdLoad = max(v.sim.Stats.MaxColdLoad, (v.recentWork-0.3)/can)
	if v.recentWork-0.3 > coldOverloadFactor*can {
		v.overloaded = true
		v.crash()
		v.sim.Stats.violation("cold server overloaded", fmt.Sprintf("%s of age %v, error rate %.1f, %.2f s of work in a second with a capacity of %.2f", v.ID, v.sim.now-v.started, v.ErrorRate, v.recentWork, can))
	}
}

func (v *Server) runQueued() {
	for v.busy < v.cores && len(v.queue) > 0 && !v.unresponsive {
		j := v.queue[0]
		v.queue = v.queue[1:]
		v.busy++
		incarnation := v.incarnation
		excess := float64(v.busy+len(v.queue))/float64(v.cores) - slowdownThreshold
		slowdown := 1 + slowdownPerRequest*max(0, excess)
		v.sim.after(time.Duration(float64(j.work)/v.speed/v.capacityShare()*slowdown), func() {
			if v.incarnation != incarnation {
				return
			}
			v.busy--
			v.completed++
			j.done(policy.OK)
			v.runQueued()
		})
	}
}

// report returns the queue length in the load report, which is renewed every reportInterval.
func (v *Server) report() float64 {
	if at := (v.sim.now - reportLag).Truncate(reportInterval); at != v.reportedAt {
		v.reportedAt, v.reported = at, float64(len(v.queue))
	}
	return v.reported
}

// crash drops all queued and running jobs.
func (v *Server) crash() {
	v.incarnation++
	v.busy, v.queue = 0, nil
}

// Hang makes the server unresponsive.
func (v *Server) Hang() {
	v.unresponsive = true
	v.crash()
}

// RestartCold brings an unresponsive server back, cold and under the same id.
func (v *Server) RestartCold() {
	v.unresponsive, v.removed, v.draining, v.overloaded, v.started, v.completed, v.recent, v.recentWork = false, false, false, false, v.sim.now, 0, nil, 0
}

// entry returns the server's entry in the discovery list.
func (v *Server) entry() policy.Server {
	e := policy.Server{ID: v.ID, Zone: v.Zone, Cell: v.cell, Weight: 1, Started: v.started}
	if v.draining {
		e.State = policy.Draining
	}
	return e
}

// discovery publishes the server list with a lag and handles list calls one after another.
type discovery struct {
	sim       *Simulation
	list      []policy.Server
	withdrawn map[policy.ServerID]policy.Time // when it first published each as draining or removed
	freeAt    policy.Time                     // when the calls in the queue are finished
	mode      DiscoveryMode
	Calls     int
}

// DiscoveryMode is how discovery responds to calls.
type DiscoveryMode int

// The modes of discovery.
const (
	Answering DiscoveryMode = iota // each call is answered
	Refusing                       // each call fails at once
	Silent                         // each call fails after CallTimeout
)

// SetDiscoveryMode changes how discovery responds to calls. Any mode but Answering breaks all
// watches.
func (w *Simulation) SetDiscoveryMode(m DiscoveryMode) {
	w.discovery.mode = m
	if m == Answering {
		return
	}
	for _, s := range w.sidecars {
		if s.watching {
			s.watching, s.lastCallFailed = false, true
			s.balancer.UpdateServers(w.now, policy.ListFailed, nil, s)
		}
	}
}

// publish sends the current list to all sidecars that watch it.
func (d *discovery) publish() {
	w := d.sim
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

// call handles a sidecar's call to watch the list.
func (d *discovery) call(s *Sidecar) {
	w, incarnation := d.sim, s.incarnation
	d.Calls++
	w.Stats.ListCalls = d.Calls
	fail := func(after time.Duration) {
		w.after(after, func() {
			if s.incarnation == incarnation {
				s.lastCallFailed = true
				s.balancer.UpdateServers(w.now, policy.ListFailed, nil, s)
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
		if s.incarnation == incarnation && d.mode == Answering {
			s.watching = true
			s.deliverList(0, d.list)
		} else if s.incarnation == incarnation {
			fail(0)
		}
	})
}

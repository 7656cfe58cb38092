// Package account counts the inputs and actions of a decision module by the second. The counts go
// to the log of each sidecar, from which Read and SumPhases add them up over a fleet.
package account

import (
	"time"

	"quillfront/policy"
)

// Second holds the counts of one sidecar for one second. The JSON keys are those of the log.
type Second struct {
	StartMs   int64             `json:"t"` // its start, in milliseconds since 1970
	UpSeconds int               `json:"b"` // uptime of the sidecar at its start, in seconds
	Classes   map[string]*Class `json:"c,omitempty"`

	Sends           Sends              `json:"s"`
	AttemptResults  map[string]int     `json:"e,omitempty"` // attempts that ended, by status
	ProbeResults    map[string]int     `json:"p,omitempty"` // probes that ended, by status
	ListUpdates     int                `json:"l,omitempty"` // lists and changes of lists received
	ListCalls       int                `json:"k,omitempty"` // calls to discovery for the list
	Dials           int64              `json:"d,omitempty"` // set by the receiver of the Second
	FailedListCalls int                `json:"f,omitempty"` // calls to discovery that failed
	Servers         map[string]*Server `json:"h,omitempty"` // by id, if sent to or heard from
	ReadyServers    int                `json:"r"`           // servers listed as ready
	ColdServers     int                `json:"y,omitempty"` // ready servers that may still be cold
}

// Class counts the tries of a request class by result. Each is counted in the second in which it
// happens: a try that is served, when it ends.
type Class struct {
	Requests          int     `json:"n,omitempty"` // tries received
	InTime            int     `json:"i,omitempty"` // served within the class's aim
	Late              int     `json:"l,omitempty"` // served after the class's aim
	RefusedAtOnce     int     `json:"u,omitempty"` // refused immediately, without an attempt
	RefusedAfterProbe int     `json:"w,omitempty"` // refused without an attempt, after a probe round
	RefusedAfterSend  int     `json:"r,omitempty"` // refused after an attempt
	Failed            int     `json:"f,omitempty"`
	Work              float64 `json:"k,omitempty"` // cost hints received, in seconds
	LostWork          float64 `json:"x,omitempty"` // cost hints refused or failed, in seconds
}

// Sends counts the attempts that were sent, by what this sidecar knew about the server and by the
// age of the server's last load report.
type Sends struct {
	FirstAttempts int `json:"n,omitempty"`
	Resends       int `json:"a,omitempty"`
	ToCold        int `json:"c,omitempty"` // by its start time in the list, the server may be cold
	ToErroring    int `json:"e,omitempty"` // the last attempt there ended in an error
	ToUnreachable int `json:"d,omitempty"` // the last attempt there was a failed connect or a timeout
	NoReport      int `json:"v,omitempty"` // the server has never reported
	FreshReport   int `json:"f,omitempty"` // reported within freshAge
	RecentReport  int `json:"r,omitempty"` // reported within recentAge
	StaleReport   int `json:"o,omitempty"` // reported before that
}

// Server counts what a sidecar sent to one server, by result.
type Server struct {
	Sent        int     `json:"n,omitempty"`
	OK          int     `json:"o,omitempty"`
	Errors      int     `json:"e,omitempty"`
	Unreachable int     `json:"d,omitempty"` // failed connects and timeouts
	Queue       float64 `json:"q"`           // last reported queue, -1 for none
	Age         float64 `json:"a,omitempty"` // seconds since the server's start; 0 if not known as new
}

// The limits by which load reports count as fresh, recent or stale.
const (
	freshAge  = 250 * time.Millisecond
	recentAge = time.Second
)

// maxServers limits the servers of a Second; those above the limit are not counted by server.
const maxServers = 1000

// Recorder passes all calls on to a Balancer and counts them. It is safe for concurrent use only
// as far as the Balancer is.
type Recorder struct {
	*policy.Balancer
	emit   func(Second)
	origin int64 // Unix milliseconds at policy.Time 0
	aims   map[string]time.Duration
	ramp   time.Duration

	current      Second
	currentStart policy.Time // the start of current
	firstStart   policy.Time // the start of the first second, 0 before it
	requests     map[policy.RequestID]*requestState
	servers      map[policy.ServerID]*serverState
}

// requestState is a request that has neither ended nor been refused.
type requestState struct {
	class    string
	at       policy.Time
	cost     time.Duration
	attempts int
	waited   bool // the call of Request has returned without refusing it
}

// serverState is a listed server and what this sidecar last learned about it.
type serverState struct {
	policy.Server
	lastReport policy.Time // 0 for none
	queue      float64
	lastStatus policy.Status
	hasEnded   bool
}

// New returns a Recorder of b, whose configuration is cfg. origin is the Unix time of policy.Time
// 0, in milliseconds. emit is called with each second in which anything happened, once an event of
// a later one arrives; it must not block.
func New(b *policy.Balancer, cfg policy.Config, origin int64, emit func(Second)) *Recorder {
	r := &Recorder{
		Balancer: b, emit: emit, origin: origin, aims: map[string]time.Duration{}, ramp: cfg.Ramp,
		requests: map[policy.RequestID]*requestState{}, servers: map[policy.ServerID]*serverState{},
	}
	for _, c := range cfg.Classes {
		r.aims[c.Name] = c.Aim
	}
	return r
}

// advance emits the current second and starts a new one if it is over.
func (r *Recorder) advance(now policy.Time) {
	// Seconds are aligned with the wall clock, so that those of all sidecars coincide.
	elapsed := (r.origin + now.Milliseconds()) % 1000
	start := now.Truncate(time.Millisecond) - time.Duration(elapsed)*time.Millisecond
	if r.current.Classes != nil && start == r.currentStart {
		return
	}
	if r.current.Classes != nil {
		for _, s := range r.servers {
			if s.State == policy.Ready {
				r.current.ReadyServers++
				if r.isCold(r.currentStart, s) {
					r.current.ColdServers++
				}
			}
		}
		r.emit(r.current)
	}
	if r.currentStart = start; r.firstStart == 0 {
		r.firstStart = start
	}
	r.current = Second{
		StartMs: r.origin + start.Milliseconds(), UpSeconds: int((start - r.firstStart) / time.Second), Classes: map[string]*Class{}, AttemptResults: map[string]int{}, ProbeResults: map[string]int{},
		Servers: map[string]*Server{},
	}
}

// isCold reports whether s started less than a ramp before now.
func (r *Recorder) isCold(now policy.Time, s *serverState) bool {
	return s.Started != 0 && now-s.Started < r.ramp
}

func (r *Recorder) classCounts(name string) *Class {
	c := r.current.Classes[name]
	if c == nil {
		c = &Class{}
		r.current.Classes[name] = c
	}
	return c
}

// serverCounts returns the counts of id in the current second, or ones that are discarded if there
// are maxServers already.
func (r *Recorder) serverCounts(now policy.Time, id policy.ServerID) *Server {
	v := r.current.Servers[string(id)]
	if v == nil {
		v = &Server{Queue: -1}
		if k := r.servers[id]; k != nil && k.Started != 0 {
			v.Age = (now - k.Started).Seconds()
		}
		if len(r.current.Servers) < maxServers {
			r.current.Servers[string(id)] = v
		}
	}
	return v
}

// UpdateServers counts a list or a failed call, and passes it on to the Balancer.
func (r *Recorder) UpdateServers(now policy.Time, kind policy.ListKind, list []policy.Server, act policy.Actions) {
	r.advance(now)
	if kind == policy.ListFailed {
		r.current.FailedListCalls++
	} else {
		r.current.ListUpdates++
		if kind.Complete() {
			for _, s := range r.servers {
				s.State = policy.Gone
			}
		}
		for _, e := range list {
			k := r.servers[e.ID]
			if k == nil || k.Started != e.Started {
				k = &serverState{}
				r.servers[e.ID] = k
			}
			k.Server = e
		}
		for id, s := range r.servers {
			if s.State == policy.Gone {
				delete(r.servers, id)
			}
		}
	}
	r.Balancer.UpdateServers(now, kind, list, actions{act, r, now})
}

// Request counts a try, and passes it on to the Balancer.
func (r *Recorder) Request(now policy.Time, q policy.Request, act policy.Actions) {
	r.advance(now)
	c := r.classCounts(q.Class)
	c.Requests++
	c.Work += q.Cost.Seconds()
	t := &requestState{class: q.Class, at: now, cost: q.Cost}
	r.requests[q.ID] = t
	r.Balancer.Request(now, q, actions{act, r, now})
	t.waited = true
}

// Outcome counts the end of an attempt, and passes it on to the Balancer.
func (r *Recorder) Outcome(now policy.Time, o policy.Outcome, act policy.Actions) {
	r.advance(now)
	r.current.AttemptResults[statusName(o.Status)]++
	v := r.serverCounts(now, o.Server)
	switch o.Status {
	case policy.OK:
		v.OK++
	case policy.AppError:
		v.Errors++
	case policy.ConnectFailed, policy.Timeout:
		v.Unreachable++
	}
	if k := r.servers[o.Server]; k != nil && o.Status != policy.Canceled {
		k.lastStatus, k.hasEnded = o.Status, true
	}
	r.recordLoad(now, o.Server, o.Load)
	if t := r.requests[o.ID]; t != nil && o.Status == policy.OK {
		if now-t.at <= r.aims[t.class] {
			r.classCounts(t.class).InTime++
		} else {
			r.classCounts(t.class).Late++
		}
		delete(r.requests, o.ID)
	}
	if o.Final { // including a response that started and broke off
		delete(r.requests, o.ID)
	}
	r.Balancer.Outcome(now, o, actions{act, r, now})
}

// recordLoad records the queue of a load report, if it has one.
func (r *Recorder) recordLoad(now policy.Time, id policy.ServerID, l *policy.Load) {
	if k := r.servers[id]; k != nil && l != nil && l.Queue >= 0 {
		k.lastReport, k.queue = now, l.Queue
		r.serverCounts(now, id).Queue = l.Queue
	}
}

// Probed counts the end of a probe, and passes it on to the Balancer.
func (r *Recorder) Probed(now policy.Time, p policy.ProbeResult, act policy.Actions) {
	r.advance(now)
	r.current.ProbeResults[statusName(p.Status)]++
	if p.Status == policy.OK {
		r.recordLoad(now, p.Server, p.Load)
	}
	r.Balancer.Probed(now, p, actions{act, r, now})
}

// ClientDisconnected forgets the request, and passes the call on to the Balancer.
func (r *Recorder) ClientDisconnected(now policy.Time, id policy.RequestID, act policy.Actions) {
	r.advance(now)
	delete(r.requests, id)
	r.Balancer.ClientDisconnected(now, id, actions{act, r, now})
}

// StopSending passes the call on to the Balancer.
func (r *Recorder) StopSending(now policy.Time, id policy.RequestID, act policy.Actions) {
	r.advance(now)
	r.Balancer.StopSending(now, id, actions{act, r, now})
}

// GiveUp passes the call on to the Balancer.
func (r *Recorder) GiveUp(now policy.Time, id policy.RequestID, act policy.Actions) {
	r.advance(now)
	r.Balancer.GiveUp(now, id, actions{act, r, now})
}

// Timer passes the call on to the Balancer.
func (r *Recorder) Timer(now policy.Time, tok string, act policy.Actions) {
	r.advance(now)
	r.Balancer.Timer(now, tok, actions{act, r, now})
}

// DiscoveryMoved passes the call on to the Balancer.
func (r *Recorder) DiscoveryMoved(now policy.Time, act policy.Actions) {
	r.advance(now)
	r.Balancer.DiscoveryMoved(now, actions{act, r, now})
}

// Reconfigure reconfigures the Balancer, and adopts the aims of the classes. The ramp stays that of
// the configuration at the start.
func (r *Recorder) Reconfigure(cfg policy.Config) error {
	if err := r.Balancer.Reconfigure(cfg); err != nil {
		return err
	}
	for _, c := range cfg.Classes {
		r.aims[c.Name] = c.Aim
	}
	return nil
}

// actions counts the actions of the module, and passes them on.
type actions struct {
	policy.Actions
	r   *Recorder
	now policy.Time
}

func (a actions) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	r := a.r
	s := &r.current.Sends
	if t := r.requests[id]; t != nil {
		if t.attempts++; t.attempts == 1 {
			s.FirstAttempts++
		} else {
			s.Resends++
		}
	}
	r.serverCounts(a.now, server).Sent++
	if k := r.servers[server]; k != nil {
		if r.isCold(a.now, k) {
			s.ToCold++
		}
		switch {
		case k.hasEnded && k.lastStatus == policy.AppError:
			s.ToErroring++
		case k.hasEnded && (k.lastStatus == policy.ConnectFailed || k.lastStatus == policy.Timeout):
			s.ToUnreachable++
		}
		switch age := a.now - k.lastReport; {
		case k.lastReport == 0:
			s.NoReport++
		case age <= freshAge:
			s.FreshReport++
		case age <= recentAge:
			s.RecentReport++
		default:
			s.StaleReport++
		}
	}
	a.Actions.Send(id, server, timeout)
}

func (a actions) Refuse(id policy.RequestID, after time.Duration) {
	if t := a.r.requests[id]; t != nil {
		c := a.r.classCounts(t.class)
		c.LostWork += t.cost.Seconds()
		switch {
		case t.attempts > 0:
			c.RefusedAfterSend++
		case t.waited:
			c.RefusedAfterProbe++
		default:
			c.RefusedAtOnce++
		}
		delete(a.r.requests, id)
	}
	a.Actions.Refuse(id, after)
}

func (a actions) Fail(id policy.RequestID) {
	if t := a.r.requests[id]; t != nil {
		c := a.r.classCounts(t.class)
		c.LostWork += t.cost.Seconds()
		c.Failed++
		delete(a.r.requests, id)
	}
	a.Actions.Fail(id)
}

func (a actions) Watch(on bool) {
	if on {
		a.r.current.ListCalls++
	}
	a.Actions.Watch(on)
}

var statusNames = [...]string{"ok", "error", "full", "timeout", "connect", "reset", "canceled", "moot", "rejected"}

func statusName(s policy.Status) string {
	if s < 0 || int(s) >= len(statusNames) {
		return "other"
	}
	return statusNames[s]
}

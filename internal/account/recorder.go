// Package account counts, second by second, what a decision module was told and what it did, so that a day can be counted
// over a whole fleet from the logs of its sidecars.
package account

import (
	"time"

	"quillfront/policy"
)

// Second is what befell one sidecar within a second.
type Second struct {
	StartMs   int64             `json:"t"` // milliseconds since 1970 at its begin
	UpSeconds int               `json:"b"` // seconds that the sidecar had been up by then
	Classes   map[string]*Class `json:"c,omitempty"`

	Sends           Sends              `json:"s"`
	AttemptResults  map[string]int     `json:"e,omitempty"` // of attempts, by status
	ProbeResults    map[string]int     `json:"p,omitempty"` // that have ended, by status
	ListUpdates     int                `json:"l,omitempty"` // that were told
	ListCalls       int                `json:"k,omitempty"` // for the list
	Dials           int64              `json:"d,omitempty"` // connects to servers that were begun; whoever is told fills it in
	FailedListCalls int                `json:"f,omitempty"` // of such calls
	Servers         map[string]*Server `json:"h,omitempty"` // that were sent to or have reported
	ReadyServers    int                `json:"r"`           // servers listed as ready
	ColdServers     int                `json:"y,omitempty"` // of them, those that may be cold
}

// Class is what became of the tries of a class. Served is counted at its end, all else at its own time.
type Class struct {
	Accepted          int     `json:"n,omitempty"`
	InTime            int     `json:"i,omitempty"` // served within the class's aim
	Late              int     `json:"l,omitempty"` // served after it
	RefusedAtOnce     int     `json:"u,omitempty"` // refused at once, with nothing sent
	RefusedAfterProbe int     `json:"w,omitempty"` // refused with nothing sent, once a probe round was over
	RefusedAfterSend  int     `json:"r,omitempty"` // refused after an attempt
	Failed            int     `json:"f,omitempty"`
	Work              float64 `json:"k,omitempty"` // hinted work taken, seconds
	LostWork          float64 `json:"x,omitempty"` // hinted work refused or failed, seconds
}

// Sends counts attempts, by what this sidecar could know of the server, and by the age of its figures.
type Sends struct {
	FirstAttempts int `json:"n,omitempty"`
	Resends       int `json:"a,omitempty"`
	ToCold        int `json:"c,omitempty"` // by the list it may still be cold
	ToErroring    int `json:"e,omitempty"` // its latest ending was an error
	ToUnreachable int `json:"d,omitempty"` // its latest ending was a failed connect or a time-out
	NoReport      int `json:"v,omitempty"` // it has never reported
	FreshReport   int `json:"f,omitempty"` // reported within ageFresh
	RecentReport  int `json:"r,omitempty"` // within ageRecent
	StaleReport   int `json:"o,omitempty"` // before that
}

// Server is what a sidecar had to do with one server.
type Server struct {
	Sent        int     `json:"n,omitempty"`
	OK          int     `json:"o,omitempty"`
	Errors      int     `json:"e,omitempty"` // errors
	Unreachable int     `json:"d,omitempty"` // failed connects and time-outs
	Queue       float64 `json:"q"`           // latest reported, -1 for none
	Age         float64 `json:"a,omitempty"` // seconds since its start, 0: long ago
}

// The bounds of how old figures are.
const (
	ageFresh  = 250 * time.Millisecond
	ageRecent = time.Second
)

// mostServers bounds the servers of a Second; those beyond are not told apart.
const mostServers = 1000

// Recorder hands all on to a Balancer and counts. It is as safe for concurrent use as that is.
type Recorder struct {
	*policy.Balancer
	tell   func(Second)
	origin int64 // Unix milliseconds at policy.Time 0
	aims   map[string]time.Duration
	ramp   time.Duration

	sec      Second
	began    policy.Time // of sec
	up       policy.Time // the first second of all
	requests map[policy.RequestID]*taken
	servers  map[policy.ServerID]*known
}

type taken struct {
	class  string
	at     policy.Time
	cost   time.Duration
	sent   int
	probed bool // an event passed before it was refused
}

type known struct {
	policy.Server
	told     policy.Time // latest report, 0 for none
	queue    float64
	last     policy.Status
	hasEnded bool
}

// New returns a Recorder of b, which goes by cfg. origin is the Unix time in milliseconds of policy.Time 0. tell is given each second
// in which anything happened, once the next has begun; it must not block.
func New(b *policy.Balancer, cfg policy.Config, origin int64, tell func(Second)) *Recorder {
	r := &Recorder{
		Balancer: b, tell: tell, origin: origin, aims: map[string]time.Duration{}, ramp: cfg.Ramp,
		requests: map[policy.RequestID]*taken{}, servers: map[policy.ServerID]*known{},
	}
	for _, c := range cfg.Classes {
		r.aims[c.Name] = c.Aim
	}
	return r
}

// tick begins a new second if the last one is over.
func (r *Recorder) tick(now policy.Time) {
	// By the clock on the wall, so that the seconds of all sidecars are the same.
	into := (r.origin + now.Milliseconds()) % 1000
	begin := now.Truncate(time.Millisecond) - time.Duration(into)*time.Millisecond
	if r.sec.Classes != nil && begin == r.began {
		return
	}
	if r.sec.Classes != nil {
		for _, s := range r.servers {
			if s.State == policy.Ready {
				r.sec.ReadyServers++
				if r.cold(r.began, s) {
					r.sec.ColdServers++
				}
			}
		}
		r.tell(r.sec)
	}
	if r.began = begin; r.up == 0 {
		r.up = begin
	}
	r.sec = Second{
		StartMs: r.origin + begin.Milliseconds(), UpSeconds: int((begin - r.up) / time.Second), Classes: map[string]*Class{}, AttemptResults: map[string]int{}, ProbeResults: map[string]int{},
		Servers: map[string]*Server{},
	}
}

func (r *Recorder) cold(now policy.Time, s *known) bool {
	return s.Started != 0 && now-s.Started < r.ramp
}

func (r *Recorder) class(name string) *Class {
	c := r.sec.Classes[name]
	if c == nil {
		c = &Class{}
		r.sec.Classes[name] = c
	}
	return c
}

// server returns the count of id in the present second, or one that is thrown away.
func (r *Recorder) server(now policy.Time, id policy.ServerID) *Server {
	v := r.sec.Servers[string(id)]
	if v == nil {
		v = &Server{Queue: -1}
		if k := r.servers[id]; k != nil && k.Started != 0 {
			v.Age = (now - k.Started).Seconds()
		}
		if len(r.sec.Servers) < mostServers {
			r.sec.Servers[string(id)] = v
		}
	}
	return v
}

// UpdateServers is a method of policy.Balancer, as are those below.
func (r *Recorder) UpdateServers(now policy.Time, kind policy.ListKind, list []policy.Server, act policy.Actions) {
	r.tick(now)
	if kind == policy.ListFailed {
		r.sec.FailedListCalls++
	} else {
		r.sec.ListUpdates++
		if kind.Complete() {
			for _, s := range r.servers {
				s.State = policy.Gone
			}
		}
		for _, e := range list {
			k := r.servers[e.ID]
			if k == nil || k.Started != e.Started {
				k = &known{}
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

func (r *Recorder) Request(now policy.Time, q policy.Request, act policy.Actions) {
	r.tick(now)
	c := r.class(q.Class)
	c.Accepted++
	c.Work += q.Cost.Seconds()
	t := &taken{class: q.Class, at: now, cost: q.Cost}
	r.requests[q.ID] = t
	r.Balancer.Request(now, q, actions{act, r, now})
	t.probed = true
}

func (r *Recorder) Outcome(now policy.Time, o policy.Outcome, act policy.Actions) {
	r.tick(now)
	r.sec.AttemptResults[status(o.Status)]++
	v := r.server(now, o.Server)
	switch o.Status {
	case policy.OK:
		v.OK++
	case policy.AppError:
		v.Errors++
	case policy.ConnectFailed, policy.Timeout:
		v.Unreachable++
	}
	if k := r.servers[o.Server]; k != nil && o.Status != policy.Canceled {
		k.last, k.hasEnded = o.Status, true
	}
	r.told(now, o.Server, o.Load)
	if t := r.requests[o.ID]; t != nil && o.Status == policy.OK {
		if now-t.at <= r.aims[t.class] {
			r.class(t.class).InTime++
		} else {
			r.class(t.class).Late++
		}
		delete(r.requests, o.ID)
	}
	if o.Final { // also by an answer that had begun and broke off
		delete(r.requests, o.ID)
	}
	r.Balancer.Outcome(now, o, actions{act, r, now})
}

func (r *Recorder) told(now policy.Time, id policy.ServerID, l *policy.Load) {
	if k := r.servers[id]; k != nil && l != nil && l.Queue >= 0 {
		k.told, k.queue = now, l.Queue
		r.server(now, id).Queue = l.Queue
	}
}

func (r *Recorder) Probed(now policy.Time, p policy.ProbeResult, act policy.Actions) {
	r.tick(now)
	r.sec.ProbeResults[status(p.Status)]++
	if p.Status == policy.OK {
		r.told(now, p.Server, p.Load)
	}
	r.Balancer.Probed(now, p, actions{act, r, now})
}

func (r *Recorder) ClientDisconnected(now policy.Time, id policy.RequestID, act policy.Actions) {
	r.tick(now)
	delete(r.requests, id)
	r.Balancer.ClientDisconnected(now, id, actions{act, r, now})
}

func (r *Recorder) StopSending(now policy.Time, id policy.RequestID, act policy.Actions) {
	r.tick(now)
	r.Balancer.StopSending(now, id, actions{act, r, now})
}

func (r *Recorder) GiveUp(now policy.Time, id policy.RequestID, act policy.Actions) {
	r.tick(now)
	r.Balancer.GiveUp(now, id, actions{act, r, now})
}

func (r *Recorder) Timer(now policy.Time, tok string, act policy.Actions) {
	r.tick(now)
	r.Balancer.Timer(now, tok, actions{act, r, now})
}

func (r *Recorder) DiscoveryMoved(now policy.Time, act policy.Actions) {
	r.tick(now)
	r.Balancer.DiscoveryMoved(now, actions{act, r, now})
}

func (r *Recorder) Reconfigure(cfg policy.Config) error {
	if err := r.Balancer.Reconfigure(cfg); err != nil {
		return err
	}
	for _, c := range cfg.Classes {
		r.aims[c.Name] = c.Aim
	}
	return nil
}

// actions counts what the module does.
type actions struct {
	policy.Actions
	r   *Recorder
	now policy.Time
}

func (a actions) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	r := a.r
	s := &r.sec.Sends
	if t := r.requests[id]; t != nil {
		if t.sent++; t.sent == 1 {
			s.FirstAttempts++
		} else {
			s.Resends++
		}
	}
	r.server(a.now, server).Sent++
	if k := r.servers[server]; k != nil {
		if r.cold(a.now, k) {
			s.ToCold++
		}
		switch {
		case k.hasEnded && k.last == policy.AppError:
			s.ToErroring++
		case k.hasEnded && (k.last == policy.ConnectFailed || k.last == policy.Timeout):
			s.ToUnreachable++
		}
		switch age := a.now - k.told; {
		case k.told == 0:
			s.NoReport++
		case age <= ageFresh:
			s.FreshReport++
		case age <= ageRecent:
			s.RecentReport++
		default:
			s.StaleReport++
		}
	}
	a.Actions.Send(id, server, timeout)
}

func (a actions) Refuse(id policy.RequestID, after time.Duration) {
	if t := a.r.requests[id]; t != nil {
		c := a.r.class(t.class)
		c.LostWork += t.cost.Seconds()
		switch {
		case t.sent > 0:
			c.RefusedAfterSend++
		case t.probed:
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
		c := a.r.class(t.class)
		c.LostWork += t.cost.Seconds()
		c.Failed++
		delete(a.r.requests, id)
	}
	a.Actions.Fail(id)
}

func (a actions) Watch(on bool) {
	if on {
		a.r.sec.ListCalls++
	}
	a.Actions.Watch(on)
}

var statuses = [...]string{"ok", "error", "full", "timeout", "connect", "reset", "canceled", "moot", "rejected"}

func status(s policy.Status) string {
	if s < 0 || int(s) >= len(statuses) {
		return "other"
	}
	return statuses[s]
}

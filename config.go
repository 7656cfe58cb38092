package quillfront

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"

	"quillfront/internal/config"
	"quillfront/internal/engine"
	"quillfront/internal/httpmsg"
	"quillfront/internal/settings"
	"quillfront/internal/sockets"
	"quillfront/policy"
)

// Effect says what repeating a request of a class may do.
type Effect int

// The effects. There is no default: a class that says nothing of its effect is an error.
const (
	effectUnset Effect = iota
	Safe               // may be repeated freely; a GET without body
	Keyed              // servers drop a repeat under the same Idempotency-Key for a while; a POST with one
	Unsafe             // must never run twice; a POST
)

// Group says which servers drop the repeats of a keyed class.
type Group int

// The groups.
const (
	AllServers Group = iota // every server
	SameZone                // those of the zone that got the first attempt
	SameCell                // those of the cell that got the first attempt
)

// Class describes one class of requests. The class of a request is the first part of its path.
type Class struct {
	Name     string        // without slashes, at most 256 bytes
	Effect   Effect        // required
	Aim      time.Duration // answers within it have the full worth; above 0
	Deadline time.Duration // how long clients wait over all their tries; at least Aim

	// Worth is what an answer is worth beside those of other classes, and LateShare the share of it that is left after
	// Aim, 0 to 1. Under overload what is worth less for its time gives way first. A Worth of 0 is taken as 1.
	Worth     float64
	LateShare float64

	// For Keyed: which servers drop repeats, and for how long (above 0).
	Group     Group
	KeyWindow time.Duration
}

// Limits bounds what a Balancer may hold. Zero values take the defaults.
type Limits struct {
	Attempts    int           // sends for one request in all; 3, at most 16
	Requests    int           // open at once; 4,096. One more is refused at once
	Connections int           // to servers, idle ones too; 256, at least 16
	BodyBytes   int64         // of all bodies of open requests; 16 MiB, at least 64 KiB. A single body has at most 64 KiB
	DialTimeout time.Duration // 250 ms
	IdleTimeout time.Duration // after which servers close an idle connection; 15 s
	RetryAfter  time.Duration // the longest time to come back that a refusal names; 1 s
}

// Cold describes servers that have just started: they begin with a share of their capacity and grow warm evenly.
type Cold struct {
	From float64       // the least share, 0 to 1; 0.3
	Ramp time.Duration // until they are warm; 9 s. Negative: servers are never cold
}

// Reports says how servers report their load.
type Reports int

// The ways.
const (
	OnProbe  Reports = iota // at GET /load, when asked
	InAnswer                // in the header X-Server-Load of each answer, and when asked
	Never                   // not at all: servers are not probed
)

// Config is what a Balancer is told at its start. Classes and Servers are required.
type Config struct {
	Classes []Class
	Servers Source

	Zone string // where this process is; used only with zones of servers
	// Instances is how many balancers share the fleet, and Instance the number of this one, from 0. They spread the
	// servers that each prefers. Instances of 0 is taken as 1.
	Instance, Instances int

	Limits Limits
	Cold   Cold

	Reports      Reports
	ReportFields []string // names of the figures in a report, of queue, inflight, latency_ms and eps; queue and eps

	NoSecondCopies bool // never a second attempt while one is out
	NoCancel       bool // attempts that are given up run on
}

// FieldError tells which field of a Config is at fault.
type FieldError struct {
	Field  string // as in Classes[2].Aim
	Reason string
}

// Error names the field and what is wrong with it.
func (e *FieldError) Error() string { return "quillfront: " + e.Field + ": " + e.Reason }

func wrong(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

const (
	mostClasses  = 1000
	mostAttempts = 16
	// askEvery is how long a list may be without news before it is asked for again.
	askEvery = 10 * time.Second
	// tick is the time resolution that the module reckons with.
	tick = time.Millisecond
	// probeTariff prices a probe so that a request pays for one at most.
	probeTariff = 0.05
)

var effects = map[Effect]policy.Effect{Safe: policy.Safe, Keyed: policy.Keyed, Unsafe: policy.Unsafe}

var groups = map[Group]policy.Group{AllServers: policy.GroupAll, SameZone: policy.GroupZone, SameCell: policy.GroupCell}

// withDefaults returns l with its defaults.
func (l Limits) withDefaults() (Limits, error) {
	err := errors.Join(
		bound("BodyBytes", &l.BodyBytes, 16<<20, httpmsg.MaxFullBody, math.MaxInt64),
		bound("DialTimeout", &l.DialTimeout, 250*time.Millisecond, 1, time.Minute),
		bound("IdleTimeout", &l.IdleTimeout, 15*time.Second, 1, time.Hour),
		bound("RetryAfter", &l.RetryAfter, time.Second, 1, time.Hour),
		bound("Attempts", &l.Attempts, 3, 1, mostAttempts),
		bound("Requests", &l.Requests, 4096, 1, 1<<20),
		bound("Connections", &l.Connections, 256, 16, 1<<20),
	)
	return l, err
}

// bound gives a limit its usual value if it is zero, and checks it.
func bound[T ~int | ~int64](name string, v *T, usual, least, most T) error {
	if *v = cmp.Or(*v, usual); *v < least || *v > most {
		return wrong("Limits."+name, "%v is outside %v to %v", *v, least, most)
	}
	return nil
}

func (c Class) convert(field string) (policy.Class, error) {
	effect, known := effects[c.Effect]
	group, knownGroup := groups[c.Group]
	if c.Worth == 0 {
		c.Worth = 1
	}
	switch {
	case c.Name == "" || len(c.Name) > 256:
		return policy.Class{}, wrong(field+".Name", "%d bytes, want 1 to 256", len(c.Name))
	case !known:
		return policy.Class{}, wrong(field+".Effect", "%d is none of Safe, Keyed and Unsafe", c.Effect)
	case !knownGroup:
		return policy.Class{}, wrong(field+".Group", "%d is none of AllServers, SameZone and SameCell", c.Group)
	case c.Aim <= 0:
		return policy.Class{}, wrong(field+".Aim", "%v is not above 0", c.Aim)
	case c.Deadline < c.Aim || c.Deadline > time.Hour:
		return policy.Class{}, wrong(field+".Deadline", "%v is outside Aim, which is %v, to an hour", c.Deadline, c.Aim)
	case !(c.Worth > 0) || math.IsInf(c.Worth, 0):
		return policy.Class{}, wrong(field+".Worth", "%v is not above 0", c.Worth)
	case !(c.LateShare >= 0 && c.LateShare <= 1):
		return policy.Class{}, wrong(field+".LateShare", "%v is outside 0 to 1", c.LateShare)
	case c.Effect == Keyed && c.KeyWindow <= 0:
		return policy.Class{}, wrong(field+".KeyWindow", "%v is not above 0, though the class is Keyed", c.KeyWindow)
	case c.Effect != Keyed && (c.KeyWindow != 0 || c.Group != AllServers):
		return policy.Class{}, wrong(field+".KeyWindow", "the class is not Keyed")
	}
	for _, r := range c.Name {
		if r == '/' {
			return policy.Class{}, wrong(field+".Name", "%q holds a slash", c.Name)
		}
	}
	return policy.Class{
		Name: c.Name, Effect: effect, Group: group, KeyTTL: c.KeyWindow, Aim: c.Aim, Deadline: c.Deadline,
		Worth: c.Worth, LateShare: c.LateShare,
	}, nil
}

// plan is a checked configuration.
type plan struct {
	settings settings.Settings
	limits   Limits
	source   engine.Source
	known    *engine.List
	move     bool // ask the source at once
	seed     uint64
}

// plan checks c.
func (c Config) plan() (plan, error) {
	limits, err := c.Limits.withDefaults()
	if err != nil {
		return plan{}, err
	}
	p := policy.Config{
		Ordinal: c.Instance, GroupSize: cmp.Or(c.Instances, 1), Zone: c.Zone,
		MayProbe: c.Reports != Never, MayCancel: !c.NoCancel, MayDuplicate: !c.NoSecondCopies, ClientsHonorRetryAfter: true,
		MaxAttempts: limits.Attempts, MaxRetryAfter: limits.RetryAfter, DialTimeout: limits.DialTimeout,
		ConnIdleTimeout: limits.IdleTimeout, Tick: tick, InlineReports: c.Reports == InAnswer, RefreshInterval: askEvery,
		ColdCapacity: cmp.Or(c.Cold.From, 0.3), Ramp: cmp.Or(c.Cold.Ramp, 9*time.Second), ProbeTariff: probeTariff,
	}
	p.Ramp = max(p.Ramp, 0)
	switch {
	case len(c.Classes) == 0 || len(c.Classes) > mostClasses:
		return plan{}, wrong("Classes", "%d classes, want 1 to %d", len(c.Classes), mostClasses)
	case c.Servers == nil:
		return plan{}, wrong("Servers", "not set")
	case p.GroupSize < 1:
		return plan{}, wrong("Instances", "%d is below 1", c.Instances)
	case c.Instance < 0 || c.Instance >= p.GroupSize:
		return plan{}, wrong("Instance", "%d is outside the %d instances", c.Instance, p.GroupSize)
	case !(c.Cold.From >= 0 && c.Cold.From <= 1):
		return plan{}, wrong("Cold.From", "%v is outside 0 to 1", c.Cold.From)
	case c.Reports < OnProbe || c.Reports > Never:
		return plan{}, wrong("Reports", "%d is none of OnProbe, InAnswer and Never", c.Reports)
	}
	seen := map[string]bool{}
	for i, class := range c.Classes {
		field := fmt.Sprintf("Classes[%d]", i)
		converted, err := class.convert(field)
		if err != nil {
			return plan{}, err
		}
		if seen[class.Name] {
			return plan{}, wrong(field+".Name", "%q is there twice", class.Name)
		}
		seen[class.Name] = true
		p.Classes = append(p.Classes, converted)
	}
	fields := c.ReportFields
	if fields == nil {
		fields = []string{"queue", "eps"}
	}
	for i, f := range fields {
		switch f {
		case "queue", "inflight", "latency_ms", "eps":
		default:
			return plan{}, wrong(fmt.Sprintf("ReportFields[%d]", i), "%q is none of queue, inflight, latency_ms and eps", f)
		}
	}
	source, known, err := c.Servers.start()
	if err != nil {
		return plan{}, err
	}
	return plan{
		settings: settings.Settings{Config: p, LoadFields: fields}, limits: limits, source: source, known: known, move: true,
	}, nil
}

// planJSON reads the platform's configuration. What concerns a listener is not used.
func planJSON(text []byte) (plan, error) {
	c, err := config.Parse(text)
	if err != nil {
		return plan{}, fmt.Errorf("quillfront: %w", err)
	}
	p := plan{settings: c.Settings, known: c.Known, seed: c.Seed, source: blocked{}}
	if c.Discovery != "" {
		if p.source, _, err = Discovery(c.Discovery).start(); err != nil {
			return plan{}, err
		}
	}
	p.limits, err = Limits{
		Attempts: min(c.Settings.Config.MaxAttempts, mostAttempts), Connections: c.Sockets - sockets.Reserved,
		BodyBytes: int64(c.MemoryMB) << 20 / 8,
	}.withDefaults()
	return p, err
}

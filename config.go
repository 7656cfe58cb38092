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

// Effect says whether requests of a class may be repeated.
type Effect int

// The effects. There is no default: a class without an effect is an error.
const (
	effectUnset Effect = iota
	Safe               // may be repeated freely; a GET without a body
	Keyed              // servers drop repeats with the same Idempotency-Key for a while; a POST
	Unsafe             // must never run twice; a POST
)

// Group says which servers recognize and drop a repeat of a Keyed request.
type Group int

// The groups.
const (
	AllServers Group = iota // all servers
	SameZone                // servers in the zone that got the first attempt
	SameCell                // servers in the cell that got the first attempt
)

// Class describes a class of requests. The first segment of a request's path names its class.
type Class struct {
	Name     string        // without slashes, at most 256 bytes
	Effect   Effect        // required
	Aim      time.Duration // answers within it have the full worth; above 0
	Deadline time.Duration // how long clients wait, over all their tries; at least Aim

	// Worth is the worth of an answer relative to other classes, and LateShare the share of it
	// that an answer after Aim keeps, 0 to 1. Under overload, requests with less worth for their
	// server time are refused first. A Worth of 0 means 1.
	Worth     float64
	LateShare float64

	// Group and KeyWindow apply to Keyed classes: which servers drop repeats, and for how long.
	// KeyWindow must be above 0.
	Group     Group
	KeyWindow time.Duration
}

// Limits limits the resources of a Balancer. Zero values take the defaults.
type Limits struct {
	Attempts int // attempts of one request; default 3, at most 16
	Requests int // open requests; default 4,096. Further requests are refused at once
	// Connections limits the connections to servers, including idle ones; default 256, at
	// least 16.
	Connections int
	// BodyBytes limits the memory for the bodies of open requests; default 16 MiB, at least
	// 64 KiB. A single body takes up at most 64 KiB of it. A body that finds no free memory is sent
	// as it is read, so that the request cannot be sent again.
	BodyBytes   int64
	DialTimeout time.Duration // connect timeout; default 250 ms
	IdleTimeout time.Duration // time after which servers close an idle connection; default 15 s
	RetryAfter  time.Duration // maximum RetryAfter of a refusal; default 1 s
}

// Cold describes cold servers. A server that has just started has a share of its full capacity,
// which grows linearly until the server is warm.
type Cold struct {
	From float64       // initial share of the capacity, 0 to 1; default 0.3
	Ramp time.Duration // time to warm up; default 9 s. If negative, servers start warm
}

// Reports says how servers report their load.
type Reports int

// The ways to report load.
const (
	OnProbe  Reports = iota // in the answers to probes, GET /load
	InAnswer                // in header X-Server-Load of every answer, and in the answers to probes
	Never                   // not at all; servers are not probed
)

// Config is the configuration of a Balancer. Classes and Servers are required.
type Config struct {
	Classes []Class
	Servers Source

	Zone string // zone of this process; it matters only if the servers have zones
	// Instances is the number of balancers that share the servers, and Instance the index of this
	// one, from 0. Both serve to spread the ready sets of the balancers over the servers. An
	// Instances of 0 means 1.
	Instance, Instances int

	Limits Limits
	Cold   Cold

	Reports Reports
	// ReportFields names the fields in a load report: queue, inflight, latency_ms or eps. The
	// default is queue and eps.
	ReportFields []string

	NoSecondCopies bool // disables hedging: no second attempt of a request while one is in flight
	NoCancel       bool // attempts that are no longer needed are not canceled
}

// FieldError reports an invalid field of a Config.
type FieldError struct {
	Field  string // such as Classes[2].Aim
	Reason string
}

// Error implements error. It names the field and the reason.
func (e *FieldError) Error() string { return "quillfront: " + e.Field + ": " + e.Reason }

// fieldErrorf returns a FieldError with a formatted reason.
func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

const (
	maxClasses  = 1000
	maxAttempts = 16
	// refreshInterval is the time without an update after which the server list is requested again.
	refreshInterval = 10 * time.Second
	// tick is the time resolution that the module assumes.
	tick = time.Millisecond
	// probeTariff is the cost of a probe. It makes a request pay for one probe at most.
	probeTariff = 0.05
)

// effects maps the effects to those of the decision module.
var effects = map[Effect]policy.Effect{Safe: policy.Safe, Keyed: policy.Keyed, Unsafe: policy.Unsafe}

// groups maps the groups to those of the decision module.
var groups = map[Group]policy.Group{AllServers: policy.GroupAll, SameZone: policy.GroupZone, SameCell: policy.GroupCell}

// withDefaults returns l with the defaults filled in, or an error for each limit out of range.
func (l Limits) withDefaults() (Limits, error) {
	err := errors.Join(
		applyLimit("BodyBytes", &l.BodyBytes, 16<<20, httpmsg.MaxFullBody, math.MaxInt64),
		applyLimit("DialTimeout", &l.DialTimeout, 250*time.Millisecond, 1, time.Minute),
		applyLimit("IdleTimeout", &l.IdleTimeout, 15*time.Second, 1, time.Hour),
		applyLimit("RetryAfter", &l.RetryAfter, time.Second, 1, time.Hour),
		applyLimit("Attempts", &l.Attempts, 3, 1, maxAttempts),
		applyLimit("Requests", &l.Requests, 4096, 1, 1<<20),
		applyLimit("Connections", &l.Connections, 256, 16, 1<<20),
	)
	return l, err
}

// applyLimit sets *v to defaultValue if it is zero, and checks that it is within lo to hi.
func applyLimit[T ~int | ~int64](name string, v *T, defaultValue, lo, hi T) error {
	if *v = cmp.Or(*v, defaultValue); *v < lo || *v > hi {
		return fieldErrorf("Limits."+name, "%v is outside %v to %v", *v, lo, hi)
	}
	return nil
}

// convert checks c and returns the decision module's class. field is the name of c in errors.
func (c Class) convert(field string) (policy.Class, error) {
	effect, known := effects[c.Effect]
	group, knownGroup := groups[c.Group]
	if c.Worth == 0 {
		c.Worth = 1
	}
	switch {
	case c.Name == "" || len(c.Name) > 256:
		return policy.Class{}, fieldErrorf(field+".Name", "%d bytes, want 1 to 256", len(c.Name))
	case !known:
		return policy.Class{}, fieldErrorf(field+".Effect", "%d is none of Safe, Keyed and Unsafe", c.Effect)
	case !knownGroup:
		return policy.Class{}, fieldErrorf(field+".Group", "%d is none of AllServers, SameZone and SameCell", c.Group)
	case c.Aim <= 0:
		return policy.Class{}, fieldErrorf(field+".Aim", "%v is not above 0", c.Aim)
	case c.Deadline < c.Aim || c.Deadline > time.Hour:
		return policy.Class{}, fieldErrorf(field+".Deadline", "%v is outside %v (Aim) to 1h", c.Deadline, c.Aim)
	case !(c.Worth > 0) || math.IsInf(c.Worth, 0):
		return policy.Class{}, fieldErrorf(field+".Worth", "%v is not above 0", c.Worth)
	case !(c.LateShare >= 0 && c.LateShare <= 1):
		return policy.Class{}, fieldErrorf(field+".LateShare", "%v is outside 0 to 1", c.LateShare)
	case c.Effect == Keyed && c.KeyWindow <= 0:
		return policy.Class{}, fieldErrorf(field+".KeyWindow", "%v is not above 0, but the class is Keyed", c.KeyWindow)
	case c.Effect != Keyed && (c.KeyWindow != 0 || c.Group != AllServers):
		return policy.Class{}, fieldErrorf(field+".KeyWindow", "the class is not Keyed")
	}
	for _, r := range c.Name {
		if r == '/' {
			return policy.Class{}, fieldErrorf(field+".Name", "%q contains a slash", c.Name)
		}
	}
	return policy.Class{
		Name: c.Name, Effect: effect, Group: group, KeyTTL: c.KeyWindow, Aim: c.Aim, Deadline: c.Deadline,
		Worth: c.Worth, LateShare: c.LateShare,
	}, nil
}

// resolvedConfig is a checked configuration with its defaults filled in.
type resolvedConfig struct {
	settings     settings.Settings
	limits       Limits
	source       engine.Source
	cachedList   *engine.List
	watchAtStart bool // watch the source from the start
	seed         uint64
}

// resolve checks c and fills in the defaults.
func (c Config) resolve() (resolvedConfig, error) {
	limits, err := c.Limits.withDefaults()
	if err != nil {
		return resolvedConfig{}, err
	}
	p := policy.Config{
		Ordinal: c.Instance, GroupSize: cmp.Or(c.Instances, 1), Zone: c.Zone,
		MayProbe: c.Reports != Never, MayCancel: !c.NoCancel, MayDuplicate: !c.NoSecondCopies, ClientsHonorRetryAfter: true,
		MaxAttempts: limits.Attempts, MaxRetryAfter: limits.RetryAfter, DialTimeout: limits.DialTimeout,
		ConnIdleTimeout: limits.IdleTimeout, Tick: tick, InlineReports: c.Reports == InAnswer, RefreshInterval: refreshInterval,
		ColdCapacity: cmp.Or(c.Cold.From, 0.3), Ramp: cmp.Or(c.Cold.Ramp, 9*time.Second), ProbeTariff: probeTariff,
	}
	p.Ramp = max(p.Ramp, 0)
	switch {
	case len(c.Classes) == 0 || len(c.Classes) > maxClasses:
		return resolvedConfig{}, fieldErrorf("Classes", "%d classes, want 1 to %d", len(c.Classes), maxClasses)
	case c.Servers == nil:
		return resolvedConfig{}, fieldErrorf("Servers", "not set")
	case p.GroupSize < 1:
		return resolvedConfig{}, fieldErrorf("Instances", "%d is below 1", c.Instances)
	case c.Instance < 0 || c.Instance >= p.GroupSize:
		return resolvedConfig{}, fieldErrorf("Instance", "%d is not an index of %d instances", c.Instance, p.GroupSize)
	case !(c.Cold.From >= 0 && c.Cold.From <= 1):
		return resolvedConfig{}, fieldErrorf("Cold.From", "%v is outside 0 to 1", c.Cold.From)
	case c.Reports < OnProbe || c.Reports > Never:
		return resolvedConfig{}, fieldErrorf("Reports", "%d is none of OnProbe, InAnswer and Never", c.Reports)
	}
	seen := map[string]bool{}
	for i, class := range c.Classes {
		field := fmt.Sprintf("Classes[%d]", i)
		converted, err := class.convert(field)
		if err != nil {
			return resolvedConfig{}, err
		}
		if seen[class.Name] {
			return resolvedConfig{}, fieldErrorf(field+".Name", "%q is there twice", class.Name)
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
			return resolvedConfig{}, fieldErrorf(fmt.Sprintf("ReportFields[%d]", i), "%q is none of queue, inflight, latency_ms and eps", f)
		}
	}
	source, cachedList, err := c.Servers.prepare()
	if err != nil {
		return resolvedConfig{}, err
	}
	return resolvedConfig{
		settings: settings.Settings{Config: p, LoadFields: fields}, limits: limits, source: source, cachedList: cachedList, watchAtStart: true,
	}, nil
}

// resolveJSON reads the platform's configuration file and ignores the settings of the listener.
func resolveJSON(text []byte) (resolvedConfig, error) {
	c, err := config.Parse(text)
	if err != nil {
		return resolvedConfig{}, fmt.Errorf("quillfront: %w", err)
	}
	p := resolvedConfig{settings: c.Settings, cachedList: c.CachedList, seed: c.Seed, source: silentSource{}}
	if c.Discovery != "" {
		if p.source, _, err = Discovery(c.Discovery).prepare(); err != nil {
			return resolvedConfig{}, err
		}
	}
	p.limits, err = Limits{
		Attempts: min(c.Settings.Config.MaxAttempts, maxAttempts), Connections: c.Sockets - sockets.Reserved,
		BodyBytes: int64(c.MemoryMB) << 20 / 8,
	}.withDefaults()
	return p, err
}

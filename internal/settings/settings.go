// Package settings parses the operators' settings object, which is part of both the simulator's
// OpenInstance message and the sidecar's configuration, and converts it to the configuration of the
// decision module. It makes no decisions of its own.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"quillfront/policy"
)

// Settings is the part of the settings object that hosts of the decision module use.
type Settings struct {
	Config     policy.Config
	LoadFields []string // names of the values in a load report, in order
	Peers      bool     // sidecars may send datagrams to each other
}

// settingsObject declares the keys that are used; the names of its fields are the keys in the JSON
// text. Other keys are ignored.
type settingsObject struct {
	GroupSize, Ordinal int
	Zone               string
	MembershipMode     string
	OverShareWorth     float64
	TickUs             int64
	Limits             struct {
		Cancelling, MayDuplicate, Peers, Probes, RetryAfter bool
		ConnIdleUs, DialTimeoutUs, MaxRetryAfterUs          int64
		SendCap                                             int
	}
	RequestClasses []struct {
		Name, Effect, Group         string
		AimUs, DeadlineUs, KeyTtlUs int64
		Worth, LateShare            float64
	}
	Safety struct {
		AskEveryUs, GraceToAnswerUs, RampTimeUs int64
		ColdFrom, TipMultiple                   float64
	}
	FamilyInfo struct{ WarmKeys bool }
	Tariffs    struct {
		Connection, CrossZone, Handshake, Probe float64
	}
	Telemetry struct {
		Fields []string
		Via    string
	}
	Tenants []struct {
		Name          string
		AllowancePerS float64
	}
}

var effects = map[string]policy.Effect{
	"read_like": policy.Safe, "idempotency_key": policy.Keyed, "non_idempotent": policy.Unsafe,
}

var groups = map[string]policy.Group{
	"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone, "cell": policy.GroupCell,
}

// Parse parses and validates the settings object. An error names the invalid key.
func Parse(text []byte) (Settings, error) {
	var s settingsObject
	if err := json.Unmarshal(text, &s); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if err := s.validate(); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	cfg := policy.Config{
		ServersCacheKeys: s.FamilyInfo.WarmKeys,
		Ordinal:          s.Ordinal, GroupSize: s.GroupSize, Zone: s.Zone, OverAllowanceWorth: s.OverShareWorth,
		ListPushed: s.MembershipMode == "pushed", MayProbe: s.Limits.Probes, MayCancel: s.Limits.Cancelling,
		MayDuplicate: s.Limits.MayDuplicate, ClientsHonorRetryAfter: s.Limits.RetryAfter, MaxAttempts: s.Limits.SendCap,
		MaxRetryAfter: Micros(s.Limits.MaxRetryAfterUs), DialTimeout: Micros(s.Limits.DialTimeoutUs),
		ConnIdleTimeout: Micros(s.Limits.ConnIdleUs), Tick: Micros(s.TickUs), InlineReports: s.Telemetry.Via == "inline",
		RefreshInterval: Micros(s.Safety.AskEveryUs), AnswerGrace: Micros(s.Safety.GraceToAnswerUs),
		ColdCapacity: s.Safety.ColdFrom, ColdOverloadFactor: s.Safety.TipMultiple, Ramp: Micros(s.Safety.RampTimeUs),
		ProbeTariff: s.Tariffs.Probe, ConnectionTariff: s.Tariffs.Connection,
		HandshakeTariff: s.Tariffs.Handshake, CrossZoneTariff: s.Tariffs.CrossZone,
	}
	for _, c := range s.RequestClasses {
		cfg.Classes = append(cfg.Classes, policy.Class{
			Name: c.Name, Effect: effects[c.Effect], Group: groups[c.Group], KeyTTL: Micros(c.KeyTtlUs),
			Aim: Micros(c.AimUs), Deadline: Micros(c.DeadlineUs), Worth: c.Worth, LateShare: c.LateShare,
		})
	}
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, policy.Tenant{Name: t.Name, AllowancePerSecond: t.AllowancePerS})
	}
	return Settings{Config: cfg, LoadFields: s.Telemetry.Fields, Peers: s.Limits.Peers}, nil
}

// validate rejects settings that the module would reject or misinterpret. Its errors use the names
// of the keys as operators write them.
func (s *settingsObject) validate() error {
	for _, c := range s.RequestClasses {
		_, knownEffect := effects[c.Effect]
		_, knownGroup := groups[c.Group]
		switch {
		case !knownEffect:
			return fmt.Errorf("RequestClasses %q: Effect is %q", c.Name, c.Effect)
		case !knownGroup:
			return fmt.Errorf("RequestClasses %q: Group is %q", c.Name, c.Group)
		case c.AimUs <= 0:
			return fmt.Errorf("RequestClasses %q: AimUs is %d, not above 0", c.Name, c.AimUs)
		case c.DeadlineUs < c.AimUs:
			return fmt.Errorf("RequestClasses %q: DeadlineUs is %d, below AimUs", c.Name, c.DeadlineUs)
		case c.KeyTtlUs < 0:
			return fmt.Errorf("RequestClasses %q: KeyTtlUs is %d, below 0", c.Name, c.KeyTtlUs)
		case c.Worth < 0:
			return fmt.Errorf("RequestClasses %q: Worth is %v, below 0", c.Name, c.Worth)
		}
	}
	switch {
	case s.GroupSize < 1:
		return fmt.Errorf("GroupSize is %d, below 1", s.GroupSize)
	case s.Ordinal < 0 || s.Ordinal >= s.GroupSize:
		return fmt.Errorf("Ordinal is %d, outside a group of %d", s.Ordinal, s.GroupSize)
	case s.Limits.SendCap < 1:
		return fmt.Errorf("Limits.SendCap is %d, below 1", s.Limits.SendCap)
	case !(s.Safety.TipMultiple >= 0):
		return fmt.Errorf("Safety.TipMultiple is %v, below 0", s.Safety.TipMultiple)
	case !(s.Safety.ColdFrom >= 0 && s.Safety.ColdFrom <= 1):
		return fmt.Errorf("Safety.ColdFrom is %v, outside 0 to 1", s.Safety.ColdFrom)
	}
	for _, d := range []struct {
		key   string
		value int64
	}{
		{"TickUs", s.TickUs},
		{"Limits.ConnIdleUs", s.Limits.ConnIdleUs},
		{"Limits.DialTimeoutUs", s.Limits.DialTimeoutUs},
		{"Limits.MaxRetryAfterUs", s.Limits.MaxRetryAfterUs},
		{"Safety.AskEveryUs", s.Safety.AskEveryUs},
		{"Safety.GraceToAnswerUs", s.Safety.GraceToAnswerUs},
		{"Safety.RampTimeUs", s.Safety.RampTimeUs},
	} {
		if d.value < 0 {
			return fmt.Errorf("%s is %d, below 0", d.key, d.value)
		}
	}
	return nil
}

// EmptyLoad returns a load report without any values: -1 marks a value as not reported.
func EmptyLoad() policy.Load {
	return policy.Load{Queue: -1, Inflight: -1, Latency: -1, ErrorRate: -1}
}

// SetLoadField sets the value of a load report's field, given by its name on the wire. Fields that
// the module does not use are ignored.
func SetLoadField(l *policy.Load, field string, value float64) {
	switch field {
	case "queue":
		l.Queue = value
	case "inflight":
		l.Inflight = value
	case "latency_ms":
		l.Latency = value
	case "eps":
		l.ErrorRate = value
	}
}

// Micros converts a number of microseconds to a time.Duration.
func Micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// Package settings translates the operators' settings object, which the
// simulator's first message and the sidecar's configuration share, for the
// decision module. It decides nothing itself.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"quillfront/policy"
)

// Settings is what a host needs of the settings object.
type Settings struct {
	Config     policy.Config
	LoadFields []string // names of the values in a load report, in their order
	Peers      bool     // sidecars may send one another datagrams
}

// object mirrors the keys that the module uses; others are skipped.
type object struct {
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

// Parse reads the settings object. An error names the key at fault.
func Parse(text []byte) (Settings, error) {
	var s object
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

// validate guards against what the module would reject or misread, by the names that the operators use.
func (s *object) validate() error {
	for _, c := range s.RequestClasses {
		_, effect := effects[c.Effect]
		_, group := groups[c.Group]
		switch {
		case !effect:
			return fmt.Errorf("RequestClasses %q: Effect is %q", c.Name, c.Effect)
		case !group:
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

// EmptyLoad returns a report in which nothing is reported.
func EmptyLoad() policy.Load {
	return policy.Load{Queue: -1, Inflight: -1, Latency: -1, ErrorRate: -1}
}

// SetLoadField notes the value that a report gives under a field's name. Fields that the module has no use for are
// skipped.
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

// Micros is a time given in microseconds.
func Micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"quillfront/internal/discovery"
	"quillfront/internal/engine"
	"quillfront/policy"
)

// PlatformConfig holds the settings that the platform gives to a sidecar. Zero values select the
// defaults, which the comments name.
type PlatformConfig struct {
	Listen          string // "127.0.0.1:0"
	Discovery       string // "127.0.0.1:1", on which nothing listens
	Seed            uint64
	Sockets         int // 512
	MemoryMB        int // 128
	CachedList      *engine.List
	Zone            string
	Classes         []policy.Class
	MaxAttempts     int           // 3
	RefreshInterval time.Duration // 1 s
	ListPushed      bool          // an agent at the Discovery address pushes the list
	NoProbes        bool
	InlineReports   bool // load reports come in responses, in place of probes
	Ramp            time.Duration
}

// object is a JSON object.
type object = map[string]any

// JSON returns the text of the platform's configuration file.
func (p PlatformConfig) JSON() []byte {
	effects := map[policy.Effect]string{policy.Safe: "read_like", policy.Keyed: "idempotency_key", policy.Unsafe: "non_idempotent"}
	groups := map[policy.Group]string{policy.GroupAll: "all", policy.GroupZone: "zone", policy.GroupCell: "cell"}
	var classes []object
	for _, c := range p.Classes {
		classes = append(classes, object{
			"Name": c.Name, "Effect": effects[c.Effect], "Group": groups[c.Group], "KeyTtlUs": c.KeyTTL.Microseconds(),
			"AimUs": c.Aim.Microseconds(), "DeadlineUs": c.Deadline.Microseconds(), "Worth": c.Worth, "LateShare": c.LateShare,
		})
	}
	mode, via := "on_request", "on_probe"
	if p.ListPushed {
		mode = "pushed"
	}
	if p.InlineReports {
		via = "inline"
	}
	file := object{
		"name": "standin", "listen": cmp.Or(p.Listen, "127.0.0.1:0"), "discovery": cmp.Or(p.Discovery, "127.0.0.1:1"),
		"seed":   fmt.Sprintf("%x", p.Seed),
		"limits": object{"cores": 1, "memory_mb": cmp.Or(p.MemoryMB, 128), "sockets": cmp.Or(p.Sockets, 512)},
		"settings": object{
			"GroupSize": 1, "Ordinal": 0, "Zone": p.Zone, "MembershipMode": mode, "TickUs": 1000,
			"Limits": object{
				"Cancelling": true, "MayDuplicate": true, "Probes": !p.NoProbes, "RetryAfter": true, "SendCap": cmp.Or(p.MaxAttempts, 3),
				"DialTimeoutUs": 250_000, "ConnIdleUs": 15_000_000, "MaxRetryAfterUs": 1_000_000,
			},
			"RequestClasses": classes,
			"Safety": object{
				"AskEveryUs": cmp.Or(p.RefreshInterval, time.Second).Microseconds(), "GraceToAnswerUs": 20_000, "ColdFrom": 0.31,
				"RampTimeUs": p.Ramp.Microseconds(),
			},
			"Tariffs":   object{"Probe": 0.05},
			"Telemetry": object{"Fields": []string{"eps", "queue"}, "Via": via},
		},
	}
	if p.CachedList != nil {
		known, err := discovery.Format(*p.CachedList)
		if err != nil {
			panic(err) // a list that cannot be formatted is a bug in the caller
		}
		file["known"] = json.RawMessage(known)
	}
	text, err := json.Marshal(file)
	if err != nil {
		panic(err) // likewise, such as a float that is NaN
	}
	return text
}

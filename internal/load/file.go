package load

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"
)

type planFile struct {
	Seed    uint64 `toml:"seed"`
	Arrive  string `toml:"arrivals"`
	Open    int    `toml:"most_open"`
	Conns   int    `toml:"most_connections"`
	Lag     string `toml:"trusted_lag"`
	Late    string `toml:"most_late"`
	Window  string `toml:"window"`
	Pause   string `toml:"pause"`
	Stages  []stageTable
	Classes []classTable
}

type stageTable struct {
	Shape string  `toml:"shape"`
	For   string  `toml:"for"`
	From  float64 `toml:"from"`
	To    float64 `toml:"to"`
	Steps int     `toml:"steps"`
	At    string  `toml:"at"`
	Width string  `toml:"width"`
	Sharp float64 `toml:"sharp"`
}

type classTable struct {
	Name      string            `toml:"name"`
	Share     float64           `toml:"share"`
	Method    string            `toml:"method"`
	Path      string            `toml:"path"`
	Header    map[string]string `toml:"header"`
	Body      string            `toml:"body"`
	Size      int               `toml:"size"`
	Tenants   []string          `toml:"tenants"`
	Keys      int               `toml:"keys"`
	Zipf      float64           `toml:"zipf"`
	Once      bool              `toml:"idempotency_key"`
	Cost      string            `toml:"cost"`
	Timeout   string            `toml:"timeout"`
	Retries   int               `toml:"retries"`
	RetryWait string            `toml:"retry_wait"`
	Heed      bool              `toml:"heed_retry_after"`
}

// ReadPlan reads a plan from a TOML file, strictly: an error names the key.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p, err := parsePlan(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

func parsePlan(text string) (*Plan, error) {
	var f planFile
	meta, err := toml.Decode(text, &f)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("unknown key %s", unknown[0])
	}
	var errs error
	dur := func(key, text string) time.Duration {
		if text == "" {
			return 0
		}
		d, err := time.ParseDuration(text)
		if err != nil && errs == nil {
			errs = fmt.Errorf("%s: %q is no time such as \"10s\"", key, text)
		}
		return d
	}
	p := &Plan{Seed: f.Seed, Limits: Limits{
		MaxOpen: f.Open, MaxConnections: f.Conns, TrustedLag: dur("trusted_lag", f.Lag), MaxLate: dur("most_late", f.Late), Window: dur("window", f.Window), MinPause: dur("pause", f.Pause),
	}}
	switch f.Arrive {
	case "", "random":
	case "even":
		p.EvenlySpaced = true
	default:
		return nil, fmt.Errorf("arrivals: %q is neither random nor even", f.Arrive)
	}
	for i, s := range f.Stages {
		key := func(k string) string { return fmt.Sprintf("stages: number %d: %s", i+1, k) }
		p.Stages = append(p.Stages, Stage{
			Shape: s.Shape, Duration: dur(key("for"), s.For), From: s.From, To: s.To, Steps: s.Steps, At: dur(key("at"), s.At), Width: dur(key("width"), s.Width), Doublings: s.Sharp,
		})
	}
	for _, c := range f.Classes {
		key := func(k string) string { return fmt.Sprintf("classes %q: %s", c.Name, k) }
		p.Classes = append(p.Classes, Class{
			Name: c.Name, Share: c.Share, Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body, BodySize: c.Size, Tenants: c.Tenants, Keys: c.Keys, Zipf: c.Zipf,
			IdempotencyKey: c.Once, Cost: dur(key("cost"), c.Cost), Timeout: dur(key("timeout"), c.Timeout),
			Retry: Retry{Max: c.Retries, Wait: dur(key("retry_wait"), c.RetryWait), HonorRetryAfter: c.Heed},
		})
	}
	if errs != nil {
		return nil, errs
	}
	for _, l := range []struct {
		key string
		bad bool
	}{{"most_open", f.Open < 0}, {"most_connections", f.Conns < 0}, {"trusted_lag", p.Limits.TrustedLag < 0}, {"most_late", p.Limits.MaxLate < 0}, {"window", p.Limits.Window < 0}, {"pause", p.Limits.MinPause < 0}} {
		if l.bad {
			return nil, errors.New(l.key + ": it is negative")
		}
	}
	return p, p.Check()
}

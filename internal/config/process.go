package config

import (
	"errors"
	"fmt"
	"log/slog"
	"strconv"
)

// Process is what the operator's file says of the process itself. What the platform tells, by GW_CONFIG or in the environment, has
// precedence.
type Process struct {
	Name       string
	Management string // where operators connect; empty: nowhere
	MemoryMB   int    // 0: 128
	Sockets    int    // descriptors; 0: 1,024
	Seed       string // 16 hexadecimal digits; empty: drawn
	Cores      int    // threads that run Go code; 0: as many as there are, or 1 beside the platform
}

type processTable struct {
	Name       string `toml:"name"`
	Management string `toml:"management"`
	MemoryMB   int    `toml:"memory_mb"`
	Sockets    int    `toml:"sockets"`
	Seed       string `toml:"seed"`
	Cores      int    `toml:"cores"`
}

// Log is how the log is written.
type Log struct {
	Level slog.Level
	JSON  bool
	Rate  int // lines a second in the long run
}

type logTable struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
	Rate   int    `toml:"rate"`
}

// defaultLogRate bounds the log where there is no disk, as its lines are kept in memory there.
const defaultLogRate = 5

// log reads the table, and fills its defaults in.
func (t *logTable) log() (l Log, err error) {
	if t.Level == "" {
		t.Level = "info"
	}
	if t.Format == "" {
		t.Format = "text"
	}
	if t.Rate == 0 {
		t.Rate = defaultLogRate
	}
	l.Rate = t.Rate
	if err := l.Level.UnmarshalText([]byte(t.Level)); err != nil {
		return l, fmt.Errorf("[log]: level: %q is none of debug, info, warn and error", t.Level)
	}
	switch t.Format {
	case "text":
	case "json":
		l.JSON = true
	default:
		return l, fmt.Errorf("[log]: format: %q is neither text nor json", t.Format)
	}
	if t.Rate < 0 {
		return l, fmt.Errorf("[log]: rate: %d is negative", t.Rate)
	}
	return l, nil
}

// process reads the table, and fills its defaults in.
func (t *processTable) process() (Process, error) {
	if t.Name == "" {
		t.Name = "quillfront"
	}
	if t.MemoryMB == 0 {
		t.MemoryMB = defaultMemoryMB
	}
	if t.Sockets == 0 {
		t.Sockets = defaultSockets
	}
	p := Process(*t)
	if err := p.check(); err != nil {
		return p, fmt.Errorf("[process]: %w", err)
	}
	return p, nil
}

func (p *Process) check() error {
	switch _, err := strconv.ParseUint(p.Seed, 16, 64); {
	case p.MemoryMB < MinMemoryMB:
		return fmt.Errorf("memory_mb: %d is below %d", p.MemoryMB, MinMemoryMB)
	case p.Sockets < MinSockets:
		return fmt.Errorf("sockets: %d is below %d", p.Sockets, MinSockets)
	case p.Cores < 0:
		return fmt.Errorf("cores: %d is negative", p.Cores)
	case p.Seed != "" && err != nil:
		return fmt.Errorf("seed: %q is no number of up to 16 hexadecimal digits", p.Seed)
	}
	return nil
}

// ApplyProcess takes from the operator's file what the platform has not told.
func (c *Config) ApplyProcess(p Process) {
	if c.Name == "" {
		c.Name = p.Name
	}
	if c.Management == "" {
		c.Management = p.Management
	}
	if !c.explicit.memory && p.MemoryMB != 0 {
		c.MemoryMB = p.MemoryMB
	}
	if !c.explicit.sockets && p.Sockets != 0 {
		c.Sockets = p.Sockets
	}
	if !c.explicit.seed && p.Seed != "" {
		c.Seed, _ = strconv.ParseUint(p.Seed, 16, 64)
	}
}

// Standalone is what a process runs by that the platform has not started: the operator's file alone, but for what the environment names. It has
// no Listen, no Discovery and no Settings.
func Standalone(getenv func(string) string, o *Operator) (Config, error) {
	for _, name := range []string{"GW_LISTEN", "GW_DISCOVERY", "GW_ACCEPT_FD"} {
		if getenv(name) != "" {
			return Config{}, fmt.Errorf("%s is set and GW_CONFIG is not: it speaks of a start by the platform", name)
		}
	}
	if len(o.HTTP)+len(o.Streams)+len(o.MySQL) == 0 {
		return Config{}, errors.New("nothing is to be served: GW_CONFIG is not set, and the operator's file has no [[http]], [[streams]] or [[mysql]]")
	}
	if o.Members != nil && o.Members.UsePlatformAddresses {
		return Config{}, errors.New("[members] platform: there is no platform, as GW_CONFIG is not set")
	}
	if o.Store != nil || o.Sites != nil {
		return Config{}, errors.New("[store] and [sites] are for the platform's front, and GW_CONFIG is not set")
	}
	c := Config{Name: getenv("GW_NAME"), Management: getenv("GW_MANAGEMENT")}
	p := o.Process
	if p.MemoryMB == 0 { // the table is not there
		p, _ = (&processTable{}).process()
	}
	c.ApplyProcess(p)
	return c, nil
}

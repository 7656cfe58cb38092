package config

import (
	"errors"
	"fmt"
	"log/slog"
	"strconv"
)

// Process is the table [process] of the operator's file. Values of the platform, from the file that
// GW_CONFIG names or from the environment, have precedence.
type Process struct {
	Name       string
	Management string // listen address of the operators' HTTP API; empty disables it
	MemoryMB   int    // 0: 128
	Sockets    int    // descriptors; 0: 1,024
	Seed       string // up to 16 hexadecimal digits; empty: random
	Cores      int    // GOMAXPROCS; 0: all cores, or 1 with a platform
}

// processTable is the table [process]. Its fields must match those of Process for the conversion.
type processTable struct {
	Name       string `toml:"name"`
	Management string `toml:"management"`
	MemoryMB   int    `toml:"memory_mb"`
	Sockets    int    `toml:"sockets"`
	Seed       string `toml:"seed"`
	Cores      int    `toml:"cores"`
}

// Log is the table [log] of the operator's file.
type Log struct {
	Level slog.Level
	JSON  bool
	Rate  int // sustained rate, in lines a second
}

// logTable is the table [log].
type logTable struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
	Rate   int    `toml:"rate"`
}

// defaultLogRate limits the growth of the log on systems without a disk, which keep it in memory.
const defaultLogRate = 5

// log converts the table, and sets the defaults in it.
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
		return l, fmt.Errorf("[log]: level: %q is not one of debug, info, warn and error", t.Level)
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

// process converts the table, and sets the defaults in it.
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
		return fmt.Errorf("seed: %q is not a number of up to 16 hexadecimal digits", p.Seed)
	}
	return nil
}

// ApplyProcess sets, from the operator's file, the values that the platform leaves out.
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

// Standalone returns the configuration of a process that is not started by the platform: that of
// the operator's file, with GW_NAME and GW_MANAGEMENT of the environment taking precedence. It has
// no Listen, Discovery or Settings.
func Standalone(getenv func(string) string, o *Operator) (Config, error) {
	for _, name := range []string{"GW_LISTEN", "GW_DISCOVERY", "GW_ACCEPT_FD"} {
		if getenv(name) != "" {
			return Config{}, fmt.Errorf("%s is set and GW_CONFIG is not: the variable is only for processes that the platform starts", name)
		}
	}
	if len(o.HTTP)+len(o.Streams)+len(o.MySQL) == 0 {
		return Config{}, errors.New("nothing is to be served: GW_CONFIG is not set, and the operator's file has no [[http]], [[streams]] or [[mysql]]")
	}
	if o.Members != nil && o.Members.UsePlatformAddresses {
		return Config{}, errors.New("[members] platform: it requires a platform, and GW_CONFIG is not set")
	}
	if o.Store != nil || o.Sites != nil {
		return Config{}, errors.New("[store] and [sites] apply only to a sidecar of the platform, and GW_CONFIG is not set")
	}
	c := Config{Name: getenv("GW_NAME"), Management: getenv("GW_MANAGEMENT")}
	p := o.Process
	if p.MemoryMB == 0 { // there is no table [process]
		p, _ = (&processTable{}).process()
	}
	c.ApplyProcess(p)
	return c, nil
}

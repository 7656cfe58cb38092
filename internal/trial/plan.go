package trial

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"quillfront/members"
)

const (
	// MaxProcesses is the largest number of processes in a trial.
	MaxProcesses = 200
	maxFaults    = 10_000
	maxDuration  = 24 * time.Hour
)

// Plan describes a trial. Times count from the moment when all processes know each other.
type Plan struct {
	Processes int    `toml:"processes"`
	Seed      uint64 `toml:"seed"`
	// Length is how long the trial lasts. The default is 5 s after the end of the last fault.
	Length Duration `toml:"for"`
	// JoinTimeout is how long the processes may take to agree on the membership, at the start and
	// after all faults have ended.
	JoinTimeout Duration `toml:"settle"`
	// Members holds extra keys for the [members] table of each process's configuration.
	Members map[string]any `toml:"members"`
	// DeadSeed puts a seed address on which no process listens first in the list of seeds.
	DeadSeed bool    `toml:"dead_seed"`
	Faults   []Fault `toml:"faults"`
}

// Fault is a fault that begins at At and lasts for Length.
type Fault struct {
	At     Duration `toml:"at"`
	Length Duration `toml:"for"`
	Kind   string   `toml:"kind"`
	// Targets are the affected processes, by index from 0. If Fraction is set, that fraction of all
	// processes is drawn by the seed instead.
	Targets  []int   `toml:"who"`
	Fraction float64 `toml:"part"`
	// The fields below describe faults of links, from Targets to To, or to all others if To is
	// empty. BothWays affects the reverse direction too, ReverseOnly the reverse direction alone.
	To          []int    `toml:"to"`
	BothWays    bool     `toml:"back"`
	ReverseOnly bool     `toml:"only_back"`
	Loss        float64  `toml:"loss"`
	Duplicate   float64  `toml:"double"`
	Corrupt     float64  `toml:"corrupt"`
	Delay       Duration `toml:"delay"`
	Jitter      Duration `toml:"jitter"`
	Rate        int      `toml:"rate"`
	Partitions  int      `toml:"parts"` // number of partitions, for KindPartition
	Interval    Duration `toml:"every"` // for KindSlow: the process runs for a tenth of it
}

// The kinds of faults.
const (
	KindCut          = "cut"   // links drop everything
	KindLink         = "link"  // links are impaired; all links if Targets is empty
	KindPartition    = "split" // processes are split into Partitions, by index
	KindStop         = "stop"  // SIGSTOP, then SIGCONT at the end
	KindKill         = "kill"  // SIGKILL, then a restart at the end if Length is set
	KindTerminate    = "term"  // SIGTERM, then a restart at the end if Length is set
	KindSlow         = "slow"  // SIGSTOP for nine tenths of each Interval
	KindNameConflict = "twin"  // a second process takes the name; the first is killed at the end
	KindForge        = "lies"  // forged datagrams claim, among other things, that members are gone
	KindFlood        = "flood" // Rate datagrams per second to Targets; 10,000 if Rate is 0
)

var kinds = []string{KindCut, KindLink, KindPartition, KindStop, KindKill, KindTerminate, KindSlow, KindNameConflict, KindForge, KindFlood}

// Duration is a time.Duration written as text, such as "2s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 || v > maxDuration {
		return fmt.Errorf("%q is not a duration such as \"2s\", of at most %v", text, maxDuration)
	}
	*d = Duration(v)
	return nil
}

// LoadPlan reads and checks a plan file. Unknown keys are errors.
func LoadPlan(path string) (Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, err
	}
	p, err := ParsePlan(string(text))
	if err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// ParsePlan parses and checks the text of a plan. Unknown keys are errors.
func ParsePlan(text string) (p Plan, err error) {
	meta, err := toml.Decode(text, &p)
	if err != nil {
		return p, err
	}
	for _, key := range meta.Undecoded() {
		return p, fmt.Errorf("unknown key %s", key)
	}
	return p, p.Check()
}

// Check fills in defaults and returns the first invalid setting.
func (p *Plan) Check() error {
	if p.Processes == 0 {
		p.Processes = 5
	}
	if p.JoinTimeout == 0 {
		p.JoinTimeout = Duration(20 * time.Second)
	}
	if p.Length == 0 {
		for _, f := range p.Faults {
			p.Length = max(p.Length, f.At+f.Length+Duration(5*time.Second))
		}
	}
	switch {
	case p.Processes < 2 || p.Processes > MaxProcesses:
		return fmt.Errorf("processes: %d is outside 2 to %d", p.Processes, MaxProcesses)
	case len(p.Faults) > maxFaults:
		return fmt.Errorf("faults: %d of them, at most %d", len(p.Faults), maxFaults)
	case p.Length == 0:
		return errors.New("for: not set, and the plan has no faults to derive it from")
	}
	for i, f := range p.Faults {
		if err := f.check(p); err != nil {
			return fmt.Errorf("faults[%d] %q: %w", i, f.Kind, err)
		}
	}
	return nil
}

func (f *Fault) check(p *Plan) error {
	isFraction := func(v float64) bool { return v >= 0 && v <= 1 }
	for _, i := range append(slices.Clone(f.Targets), f.To...) {
		if i < 0 || i >= p.Processes {
			return fmt.Errorf("who, to: there is no process %d", i)
		}
	}
	switch {
	case !slices.Contains(kinds, f.Kind):
		return fmt.Errorf("kind: must be one of %v", kinds)
	case !isFraction(f.Fraction) || !isFraction(f.Loss) || !isFraction(f.Duplicate) || !isFraction(f.Corrupt) || f.Rate < 0:
		return errors.New("part, loss, double and corrupt must be between 0 and 1, rate must not be negative")
	case f.Kind == KindPartition && (f.Partitions < 2 || f.Partitions > p.Processes):
		return fmt.Errorf("parts: %d is outside 2 to %d", f.Partitions, p.Processes)
	case f.Kind == KindSlow && f.Interval < Duration(10*time.Millisecond):
		return errors.New("every: must be at least 10ms")
	case f.Kind != KindLink && f.Kind != KindPartition && f.Kind != KindForge && len(f.Targets) == 0 && f.Fraction == 0:
		return errors.New("who: no process is named, and part is not set")
	case f.At+f.Length > p.Length:
		return fmt.Errorf("the fault ends after %v, later than the trial, which ends after %v", time.Duration(f.At+f.Length), time.Duration(p.Length))
	}
	return nil
}

// link returns the impairment that the fault puts on each affected link.
func (f *Fault) link() Link {
	return Link{
		Cut: f.Kind == KindCut || f.Kind == KindPartition, Loss: f.Loss, Duplicate: f.Duplicate, Corrupt: f.Corrupt,
		Delay: time.Duration(f.Delay), Jitter: time.Duration(f.Jitter), Rate: f.Rate,
	}
}

// affects reports whether the fault applies to the link between two processes, in that direction.
func (f *Fault) affects(from, to int) bool {
	switch f.Kind {
	case KindPartition:
		return from%f.Partitions != to%f.Partitions
	case KindCut, KindLink:
		if len(f.Targets) == 0 && f.Fraction == 0 {
			return true
		}
		forward := slices.Contains(f.Targets, from) && (len(f.To) == 0 || slices.Contains(f.To, to))
		reverse := slices.Contains(f.Targets, to) && (len(f.To) == 0 || slices.Contains(f.To, from))
		if f.ReverseOnly {
			return reverse
		}
		return forward || f.BothWays && reverse
	}
	return false
}

// silence returns the silence timeout of the processes: the one in Members, or the default.
func (p *Plan) silence() time.Duration {
	defaults, _ := members.Config{}.WithDefaults()
	if text, ok := p.Members["silence"].(string); ok {
		if d, err := time.ParseDuration(text); err == nil {
			return d
		}
	}
	return defaults.Silence
}

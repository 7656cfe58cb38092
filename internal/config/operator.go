package config

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"quillfront/internal/orders"
	"quillfront/internal/router"
	"quillfront/routes"
	"quillfront/sites"
)

// Operator is the operator's file, which configures what the platform's configuration does not. A
// feature whose table is missing is disabled.
type Operator struct {
	Store  *orders.Config
	Sites  *sites.Config
	Routes []routes.Route // checked, also for conflicts with one another
	Services
	Process Process
	Log     Log
	Members *Members
	// LogAccount logs each second what the module did. It is set by a flag, not by the file.
	LogAccount bool
}

// operatorFile is the file as it is decoded.
type operatorFile struct {
	Process *processTable `toml:"process"`
	Log     *logTable     `toml:"log"`
	Store   *storeTable   `toml:"store"`
	Sites   *sitesTable   `toml:"sites"`
	Routes  []routeTable  `toml:"routes"`
	Pools   []poolTable   `toml:"pools"`
	Streams []streamTable `toml:"streams"`
	MySQL   []mysqlTable  `toml:"mysql"`
	HTTP    []httpTable   `toml:"http"`
	Members *membersTable `toml:"members"`
}

// storeTable is the table [store] of the operator's file.
type storeTable struct {
	Path             string              `toml:"path"`
	Durability       string              `toml:"durability"`
	SyncEvery        duration            `toml:"sync_every"`
	Retention        duration            `toml:"retention"`
	RetentionByClass map[string]duration `toml:"retention_by_class"`
	MostBytes        int64               `toml:"most_bytes"`
	MostOrders       int                 `toml:"most_orders"`
}

// sitesTable is the table [sites] of the operator's file.
type sitesTable struct {
	Prefer    []string         `toml:"prefer"`
	Rules     []sitesRuleTable `toml:"rules"`
	Fade      duration         `toml:"fade"`
	Clear     float64          `toml:"clear"`
	Doubt     float64          `toml:"doubt"`
	Dark      float64          `toml:"dark"`
	Memory    duration         `toml:"memory"`
	Hold      duration         `toml:"hold"`
	First     float64          `toml:"first"`
	Spill     float64          `toml:"spill"`
	Climb     duration         `toml:"climb"`
	MostClimb duration         `toml:"most_climb"`
	Changes   int              `toml:"changes"`
}

// sitesRuleTable is a table [[sites.rules]].
type sitesRuleTable struct {
	Classes []string         `toml:"classes"`
	Tenants []string         `toml:"tenants"`
	Tiers   []sitesTierTable `toml:"tiers"`
}

// sitesTierTable is an entry of tiers in [[sites.rules]].
type sitesTierTable struct {
	Sites []string `toml:"sites"`
	Most  float64  `toml:"most"`
}

// config converts the table without checking it.
func (t *sitesTable) config() *sites.Config {
	c := sites.Config{
		Prefer: t.Prefer, Clear: t.Clear, Doubt: t.Doubt, Dark: t.Dark, Memory: time.Duration(t.Memory), Hold: time.Duration(t.Hold),
		First: t.First, Spill: t.Spill, Fade: time.Duration(t.Fade), Climb: time.Duration(t.Climb), MostClimb: time.Duration(t.MostClimb),
		Changes: t.Changes,
	}
	for _, r := range t.Rules {
		rule := sites.Rule{Classes: r.Classes, Tenants: r.Tenants}
		for _, tier := range r.Tiers {
			rule.Tiers = append(rule.Tiers, sites.Tier(tier))
		}
		c.Rules = append(c.Rules, rule)
	}
	return &c
}

// duration is a time.Duration in the form "24h".
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"24h\" or \"10ms\"", text)
	}
	*d = duration(v)
	return nil
}

// LoadOperator reads the operator's file at path. Keys that are unknown and values that are invalid
// are errors that name the file, the line where it is known, and the key. With an empty path all
// features are disabled.
func LoadOperator(path string) (Operator, error) {
	if path == "" {
		return Operator{Log: Log{Rate: defaultLogRate}}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, fmt.Errorf("the operator's file: %w", err)
	}
	o, err := parseOperator(string(text), filepath.Dir(path))
	if err != nil {
		return Operator{}, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}

// parseOperator parses the text of an operator's file; dir is what relative paths in it start from.
func parseOperator(text, dir string) (Operator, error) {
	var f operatorFile
	meta, err := toml.Decode(text, &f)
	if err != nil {
		var parseErr toml.ParseError
		if errors.As(err, &parseErr) {
			return Operator{}, fmt.Errorf("line %d: %s", parseErr.Position.Line, parseErrorText(parseErr))
		}
		return Operator{}, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		key := unknown[0]
		return Operator{}, fmt.Errorf("line %d: unknown key %s", lineOfKey(text, key), key)
	}
	var o Operator
	if f.Log == nil {
		f.Log = &logTable{}
	}
	if o.Log, err = f.Log.log(); err != nil {
		return Operator{}, err
	}
	if f.Process != nil {
		if o.Process, err = f.Process.process(); err != nil {
			return Operator{}, err
		}
	}
	if s := f.Store; s != nil {
		c := orders.Config{
			Dir: s.Path, Durability: orders.Durability(s.Durability), SyncEvery: time.Duration(s.SyncEvery),
			Retention: time.Duration(s.Retention), MostBytes: s.MostBytes, MostOrders: s.MostOrders, ByClass: map[string]time.Duration{},
		}
		for class, d := range s.RetentionByClass {
			c.ByClass[class] = time.Duration(d)
		}
		if err := c.Check(); err != nil {
			return Operator{}, fmt.Errorf("[store]: %w", err)
		}
		o.Store = &c
	}
	if t := f.Sites; t != nil {
		o.Sites = t.config()
		if err := o.Sites.Check(); err != nil {
			return Operator{}, fmt.Errorf("[sites]: %w", err)
		}
	}
	if f.Members != nil {
		if o.Members, err = f.Members.members(dir); err != nil {
			return Operator{}, fmt.Errorf("[members]: %w", err)
		}
	}
	for i := range f.Routes {
		r, err := f.Routes[i].route(i)
		if err != nil {
			return Operator{}, err
		}
		o.Routes = append(o.Routes, r)
	}
	if _, err := routes.New(o.Routes); err != nil {
		return Operator{}, err
	}
	if o.Services, err = f.services(dir); err != nil {
		return Operator{}, err
	}
	if seed := o.Process.Seed; seed != "" {
		for i := range o.Pools {
			h := fnv.New64a()
			io.WriteString(h, seed+"/"+o.Pools[i].Name)
			o.Pools[i].Seed = h.Sum64()
		}
	}
	if len(o.HTTP) > 0 {
		if err := router.Check(o.Routes, o.Pools); err != nil {
			return Operator{}, err
		}
		if len(o.Routes) == 0 {
			return Operator{}, errors.New("[[http]]: there are no [[routes]] for it to serve")
		}
	}
	return o, nil
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// parseErrorText returns the message of a ParseError in one line, with the key if it has one.
func parseErrorText(e toml.ParseError) string {
	if e.LastKey != "" {
		return e.LastKey + ": " + e.Message
	}
	return e.Message
}

// lineOfKey returns the number of the line of a key or table, from 1. It returns that of the first
// line with the last part of the key if it finds neither.
func lineOfKey(text string, key toml.Key) int {
	last := key[len(key)-1]
	table := strings.Join(key[:len(key)-1], ".")
	in := ""
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "["); ok {
			in = strings.Trim(strings.SplitN(name, "]", 2)[0], "[ ")
			if in == key.String() {
				return i + 1
			}
			continue
		}
		name, _, _ := strings.Cut(line, "=")
		if in == table && strings.Trim(strings.TrimSpace(name), `"`) == last {
			return i + 1
		}
	}
	return max(1, slices.IndexFunc(lines, func(l string) bool { return strings.Contains(l, last) })+1)
}

package config

import (
	"cmp"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"quillfront/routes"
)

// MarshalText is the method of encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Show returns the operator's file at path as it counts: with what it leaves out filled in, and nothing that other files hold. What cannot
// be used is an error, as at a start.
func Show(path string) (string, error) {
	if _, err := LoadOperator(path); err != nil {
		return "", err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	var f operatorFile
	if _, err := toml.Decode(string(text), &f); err != nil {
		return "", err
	}
	if err := f.fill(); err != nil {
		return "", err
	}
	var b strings.Builder
	e := toml.NewEncoder(&b)
	e.Indent = ""
	if err := e.Encode(f); err != nil {
		return "", err
	}
	return spare(b.String()), nil
}

// spare takes out the lines that tell nothing: those of keys that are empty.
func spare(text string) string {
	var b strings.Builder
	for line := range strings.Lines(text) {
		_, value, ok := strings.Cut(strings.TrimRight(line, "\n"), " = ")
		if !ok || value != `""` && value != "[]" {
			b.WriteString(line)
		}
	}
	return strings.TrimLeft(b.String(), "\n")
}

// fill fills in what the file leaves out.
func (f *operatorFile) fill() error {
	if f.Process == nil {
		f.Process = &processTable{}
	}
	if f.Log == nil {
		f.Log = &logTable{}
	}
	if _, err := f.Process.process(); err != nil {
		return err
	}
	if _, err := f.Log.log(); err != nil {
		return err
	}
	if f.Members != nil {
		if _, err := f.Members.members(""); err != nil {
			return err
		}
	}
	for i := range f.HTTP {
		if _, err := f.HTTP[i].http(); err != nil {
			return err
		}
	}
	for i := range f.Pools {
		f.Pools[i].fill()
	}
	for i := range f.Streams {
		t := &f.Streams[i]
		c, err := t.stream(nil)
		if c.Name == "" {
			return err
		}
		c = c.WithDefaults()
		t.Idle, t.Stall, t.Drain, t.Half, t.Patience = duration(c.IdleTimeout), duration(c.StallTimeout), duration(c.DrainTimeout), duration(c.HalfClosedTimeout), duration(c.ShutdownTimeout)
	}
	for i := range f.MySQL {
		t := &f.MySQL[i]
		c, err := t.service(nil, "")
		if c.Name == "" {
			return err
		}
		c = c.WithDefaults()
		t.Plugin, t.Statement, t.Memory, t.IdlePool = c.Plugin, c.MostStatement, c.Memory, c.IdlePool
		t.Stall, t.Idle, t.Login, t.Hold = duration(c.Stall), duration(c.Idle), duration(c.Login), duration(c.Hold)
		t.Drain, t.Patience = duration(c.Drain), duration(c.Patience)
	}
	for i := range f.Routes {
		f.Routes[i].fill()
	}
	return nil
}

func (t *poolTable) fill() {
	c, _ := t.pool("")
	c = c.WithDefaults()
	t.Attempts, t.Dial, t.Idle, t.RetryAfter, t.Ramp = c.Attempts, duration(c.Dial), duration(c.Idle), duration(c.RetryAfter), duration(c.Ramp)
	for i := range t.Servers {
		t.Servers[i].ID = cmp.Or(t.Servers[i].ID, t.Servers[i].Addr)
	}
	for i, k := range c.Classes {
		t.Classes[i].Worth, t.Classes[i].LateShare = cmp.Or(k.Worth, 1), &c.Classes[i].LateShare
	}
}

func (t *routeTable) fill() {
	t.Effect = cmp.Or(t.Effect, "by-method")
	a, _, _ := t.Answers.answers()
	a, err := a.WithDefaults()
	if err != nil {
		return
	}
	list := func(s routes.Statuses) []string { return strings.Split(s.String(), ", ") }
	t.Answers.Failure, t.Answers.NotRun, t.Answers.Mark = list(a.Failure), list(a.NotRun), a.NotRunHeader
	t.Answers.RetryAfter = cmp.Or(t.Answers.RetryAfter, "tell")
}

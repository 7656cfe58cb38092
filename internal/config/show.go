package config

import (
	"cmp"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"quillfront/routes"
)

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Show returns the effective operator's file at path: with the defaults of the keys that it leaves
// out, and without the contents of other files. A file that LoadOperator rejects is an error.
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
	if err := f.setDefaults(); err != nil {
		return "", err
	}
	var b strings.Builder
	e := toml.NewEncoder(&b)
	e.Indent = ""
	if err := e.Encode(f); err != nil {
		return "", err
	}
	return dropEmptyKeys(b.String()), nil
}

// dropEmptyKeys removes the lines of keys whose value is an empty string or list.
func dropEmptyKeys(text string) string {
	var b strings.Builder
	for line := range strings.Lines(text) {
		_, value, ok := strings.Cut(strings.TrimRight(line, "\n"), " = ")
		if !ok || value != `""` && value != "[]" {
			b.WriteString(line)
		}
	}
	return strings.TrimLeft(b.String(), "\n")
}

// setDefaults sets the defaults of all keys that the file leaves out.
func (f *operatorFile) setDefaults() error {
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
		f.Pools[i].setDefaults()
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
		t.Plugin, t.Statement, t.Memory, t.IdlePool = c.Plugin, c.MaxStatementSize, c.StatementMemory, c.MaxIdlePerServer
		t.Stall, t.Idle, t.Login, t.Hold = duration(c.StallTimeout), duration(c.IdleTimeout), duration(c.LoginTimeout), duration(c.HoldTimeout)
		t.Drain, t.Patience = duration(c.DrainTimeout), duration(c.ShutdownTimeout)
	}
	for i := range f.Routes {
		f.Routes[i].setDefaults()
	}
	return nil
}

// setDefaults sets the defaults of the table.
func (t *poolTable) setDefaults() {
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

// setDefaults sets the defaults of the table.
func (t *routeTable) setDefaults() {
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

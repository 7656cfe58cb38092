package daemon

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"quillfront/internal/config"
	"quillfront/internal/settings"
)

// TestLoadConfig checks that a valid configuration is loaded, and that the error for an invalid one
// contains its key.
func TestLoadConfig(t *testing.T) {
	good := configText("127.0.0.1:1", "127.0.0.1:2")
	c, err := loadConfig(t, good)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n0" || c.Discovery != "127.0.0.1:2" || c.Seed != 0x8c1f30d27a5be964 || c.MemoryMB != 128 ||
		c.Sockets != 256 || len(c.CachedList.Servers) != 1 || len(c.Settings.Config.Classes) != 3 {
		t.Errorf("configuration %+v", c)
	}
	// Guards against a minimum that small machines cannot meet: the program would not start there.
	small := strings.Replace(good, `"memory_mb":128`, `"memory_mb":32`, 1)
	if c, err := loadConfig(t, small); err != nil || c.MemoryMB != 32 {
		t.Errorf("32 MB: %d, %v", c.MemoryMB, err)
	}
	tests := []struct{ name, old, new, want string }{
		{"malformed", `{"name"`, `{"name`, "GW_CONFIG"},
		{"no listen", `"listen":"127.0.0.1:0"`, `"listen":""`, "listen"},
		{"no discovery", `"discovery":"127.0.0.1:2"`, `"discovery":""`, "discovery"},
		{"wrong type", `"sockets":256`, `"sockets":"many"`, "sockets"},
		{"few sockets", `"sockets":256`, `"sockets":3`, "limits.sockets"},
		{"little memory", `"memory_mb":128`, `"memory_mb":-1`, "limits.memory_mb"},
		{"seed", `"seed":"8c`, `"seed":"xy`, "seed"},
		{"known", `"known":{"seq":41,`, `"known":{`, "known"},
		{"setting of a wrong type", `"SendCap":3`, `"SendCap":"x"`, "SendCap"},
		{"setting out of range", `"SendCap":3`, `"SendCap":0`, "Limits.SendCap"},
		{"group", `"GroupSize":1`, `"GroupSize":0`, "GroupSize"},
		{"ordinal", `"GroupSize":1`, `"GroupSize":1,"Ordinal":1`, "Ordinal"},
		{"share", `"AskEveryUs"`, `"ColdFrom":2,"AskEveryUs"`, "Safety.ColdFrom"},
		{"negative time", `"ConnIdleUs":60000000`, `"ConnIdleUs":-1`, "Limits.ConnIdleUs"},
		{"deadline", `"DeadlineUs":10000000`, `"DeadlineUs":1`, "DeadlineUs"},
		{"effect", `"Effect":"read_like"`, `"Effect":"odd"`, "Effect"},
		{"group of a class", `"Group":"all"`, `"Group":"odd"`, "Group"},
		{"no settings", `"settings":{`, `"other":{`, "settings"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(good, tt.old, tt.new, 1)
			if text == good {
				t.Fatal("the test case changes nothing")
			}
			if _, err := loadConfig(t, text); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one that contains %s", err, tt.want)
			} else if strings.Contains(err.Error(), "\n") {
				t.Errorf("error %q has more than one line", err)
			}
		})
	}
}

// TestLoadWithoutFile checks the errors if no configuration file is set or the file does not exist.
func TestLoadWithoutFile(t *testing.T) {
	if _, err := config.Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
		t.Errorf("error %v, want one that contains GW_CONFIG", err)
	}
	if _, err := config.Load(func(string) string { return "/nowhere/at/all" }); err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
		t.Errorf("error %v, want one that contains GW_CONFIG", err)
	}
}

// TestFileHasPrecedence checks that the file takes precedence over the environment: the file can be
// replaced while the program runs, the environment cannot.
func TestFileHasPrecedence(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(configText("127.0.0.1:1", "127.0.0.1:2"), `"listen":"127.0.0.1:0",`, "", 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "127.0.0.1:3", "GW_LISTEN": "127.0.0.1:4"}
	c, err := config.Load(func(name string) string { return env[name] })
	if err != nil || c.Discovery != "127.0.0.1:2" || c.Listen != "127.0.0.1:4" {
		t.Errorf("discovery %q, listen %q, %v; want the file's, or the environment's if the file has none", c.Discovery, c.Listen, err)
	}
}

// TestUnknownKeysAreIgnored checks that settings may contain unknown keys, also nested ones.
func TestUnknownKeysAreIgnored(t *testing.T) {
	if _, err := settings.Parse([]byte(strings.Replace(settingsText, `"Zone"`, `"Wholly":{"Novel":[1]},"Zone"`, 1))); err != nil {
		t.Error(err)
	}
}

// TestLogIsRateLimited checks the rate limit of the log, which is kept in memory if there is no
// disk.
func TestLogIsRateLimited(t *testing.T) {
	var out bytes.Buffer
	log := NewLog(&out, config.Log{Rate: 5})
	for range 100 * logBurst {
		log.With("a", 1).WithGroup("g").Info("a repeated message")
	}
	n := strings.Count(out.String(), "\n")
	if n > 2*logBurst || n < logBurst {
		t.Errorf("%d lines, want about %d", n, logBurst)
	}
	if log.Enabled(t.Context(), slog.LevelDebug) {
		t.Error("debug lines are enabled")
	}
}

// Package config reads the configuration of a process, at its start and on a reload: the JSON file
// of the platform and the TOML file of the operator.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/url"
	"os"
	"path/filepath"
	"strconv"

	"quillfront/internal/discovery"
	"quillfront/internal/engine"
	"quillfront/internal/settings"
	"quillfront/reconfig"
)

// Config is the configuration that the platform gives to one sidecar.
type Config struct {
	Name      string
	Listen    string // where clients connect
	Discovery string // address of discovery
	// Management is the listen address of the operators' HTTP API; empty disables it.
	Management string
	// PeerListen is where this sidecar receives datagrams of the others. Peers has the addresses of
	// all sidecars, in the order of their ordinals. Settings.Peers allows sending any.
	PeerListen string
	Peers      []string
	AcceptFD   int    // inherited listening socket for clients; 0 for none
	SharedDir  string // shared by successive processes of this sidecar; empty for none
	Seed       uint64
	MemoryMB   int          // the platform kills the sidecar above it
	Sockets    int          // descriptors that the process may hold
	CachedList *engine.List // the last list that the platform knew; nil for none
	Settings   settings.Settings
	Raw        []byte // the JSON that it was parsed from
	// explicit reports which keys the JSON sets that the operator's file also has.
	explicit struct{ memory, sockets, seed bool }
}

// The default limits, and the lowest ones that a sidecar can run with.
const (
	defaultMemoryMB = 128
	defaultSockets  = 1024
	// MinMemoryMB is above the 16 MB or so that the runtime and a full connection table take.
	// Scored runs give 32 MB and more.
	MinMemoryMB = 24
	MinSockets  = 64
)

// Reload is Load for a process that is running with the configuration running. It also rejects a
// file that lacks a key which the running configuration has, except those needed only at a start.
func Reload(getenv func(string) string, running Config) (Config, error) {
	c, err := Load(getenv)
	if err != nil {
		return Config{}, err
	}
	var previous map[string]json.RawMessage
	if err := json.Unmarshal(running.Raw, &previous); err != nil {
		return Config{}, err
	}
	for _, key := range []string{"seed", "known", "peers", "peers_all", "peer_listen"} {
		delete(previous, key)
	}
	before, err := json.Marshal(previous)
	if err != nil {
		return Config{}, err
	}
	if err := reconfig.CheckComplete(before, c.Raw); err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	return c, nil
}

// Load reads the file that GW_CONFIG names. GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_MANAGEMENT
// supply the values that the file leaves out. The file has precedence because it can be replaced
// while the program runs and the environment cannot: after a restart the environment may still have
// the previous address of discovery. An error names the variable or key at fault.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Config{}, errors.New("GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		var syntax *json.SyntaxError
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &syntax) || errors.As(err, &mismatch) {
			return Config{}, fmt.Errorf("GW_CONFIG %s: %w", path, err)
		}
		return Config{}, err
	}
	for name, value := range map[string]*string{
		"GW_NAME": &c.Name, "GW_LISTEN": &c.Listen, "GW_DISCOVERY": &c.Discovery, "GW_MANAGEMENT": &c.Management,
	} {
		if *value == "" {
			*value = getenv(name)
		}
	}
	if c.AcceptFD, err = acceptFD(getenv("GW_ACCEPT_FD")); err != nil {
		return Config{}, err
	}
	if dir := getenv("TMPDIR"); dir != "" && (c.Management != "" || c.AcceptFD != 0) {
		c.SharedDir = filepath.Join(dir, "quillfront-"+url.PathEscape(c.Name))
	}
	switch {
	case c.Listen == "":
		return Config{}, errors.New("listen is not set")
	case c.Discovery == "":
		return Config{}, errors.New("discovery is not set")
	}
	return c, nil
}

// acceptFD parses the number of an inherited descriptor.
func acceptFD(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 3 {
		return 0, fmt.Errorf("GW_ACCEPT_FD is %q, not the number of an inherited descriptor", text)
	}
	return n, nil
}

// Parse parses the JSON of a configuration. The addresses of the listener and of discovery may be
// missing; callers that need them check. An error names the key at fault.
func Parse(text []byte) (Config, error) {
	var file struct {
		Name       string `json:"name"`
		Listen     string `json:"listen"`
		Discovery  string `json:"discovery"`
		Management string `json:"management"`
		Seed       string `json:"seed"`
		Limits     struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		Known      json.RawMessage `json:"known"`
		Settings   json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, err
	}
	c := Config{
		Raw: text, Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Management: file.Management,
		PeerListen: file.PeerListen, Peers: file.Peers, MemoryMB: defaultMemoryMB, Sockets: defaultSockets,
	}
	c.explicit.memory, c.explicit.sockets, c.explicit.seed = file.Limits.MemoryMB != 0, file.Limits.Sockets != 0, file.Seed != ""
	if file.Limits.MemoryMB != 0 {
		c.MemoryMB = int(min(file.Limits.MemoryMB, math.MaxInt32))
	}
	if file.Limits.Sockets != 0 {
		c.Sockets = file.Limits.Sockets
	}
	switch {
	case c.MemoryMB < MinMemoryMB:
		return Config{}, fmt.Errorf("limits.memory_mb is %d, below %d", c.MemoryMB, MinMemoryMB)
	case c.Sockets < MinSockets:
		return Config{}, fmt.Errorf("limits.sockets is %d, below %d", c.Sockets, MinSockets)
	case len(file.Settings) == 0:
		return Config{}, errors.New("settings is not set")
	}
	if file.Seed != "" {
		seed, err := strconv.ParseUint(file.Seed, 16, 64)
		if err != nil {
			return Config{}, fmt.Errorf("seed: %w", err)
		}
		c.Seed = seed
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		known, err := discovery.Parse(file.Known)
		if err != nil {
			return Config{}, fmt.Errorf("known: %w", err)
		}
		c.CachedList = &known
	}
	s, err := settings.Parse(file.Settings)
	if err != nil {
		return Config{}, err
	}
	c.Settings = s
	return c, nil
}

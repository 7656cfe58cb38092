// Package config reads what the platform tells one sidecar at its start and at a reload.
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

// Config is what one sidecar is told at its start.
type Config struct {
	Name      string
	Listen    string // where clients connect
	Discovery string // address of discovery
	// Management is where operators connect; empty: nowhere.
	Management string
	// PeerListen is where datagrams of other sidecars come, and Peers where they are reached, in the order of their numbers. Whether any may
	// be sent is in Settings.
	PeerListen string
	Peers      []string
	AcceptFD   int    // the clients' listening socket, inherited; 0: there is none
	SharedDir  string // a directory that is this sidecar's, whichever process it runs in; empty: there is none
	Seed       uint64
	MemoryMB   int          // the sidecar is killed over it
	Sockets    int          // descriptors that the process may hold
	CachedList *engine.List // the list as it was last known
	Settings   settings.Settings
	Raw        []byte // what it was read from
	explicit   struct{ memory, sockets, seed bool }
}

// The limits taken where the configuration gives none, and the least that a sidecar can work with.
const (
	defaultMemoryMB = 128
	defaultSockets  = 1024
	MinMemoryMB     = 24 // scored days give 32 and more; the runtime and a full table of connections take about 16
	MinSockets      = 64
)

// Reload is Load for a process that runs by running: it also turns away a file that lacks a key which that one has, but for
// what only a start needs.
func Reload(getenv func(string) string, running Config) (Config, error) {
	c, err := Load(getenv)
	if err != nil {
		return Config{}, err
	}
	var was map[string]json.RawMessage
	if err := json.Unmarshal(running.Raw, &was); err != nil {
		return Config{}, err
	}
	for _, key := range []string{"seed", "known", "peers", "peers_all", "peer_listen"} {
		delete(was, key)
	}
	before, err := json.Marshal(was)
	if err != nil {
		return Config{}, err
	}
	if err := reconfig.CheckComplete(before, c.Raw); err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	return c, nil
}

// Load reads the file that GW_CONFIG names; GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_MANAGEMENT stand in for what it lacks. The
// file has precedence, as it can be replaced while the program runs and its environment cannot: after a restart the
// environment may still name a discovery that has moved. An error names the variable or the key at fault.
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
		var kind *json.UnmarshalTypeError
		if errors.As(err, &syntax) || errors.As(err, &kind) {
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

// acceptFD reads the number of an inherited descriptor.
func acceptFD(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 3 {
		return 0, fmt.Errorf("GW_ACCEPT_FD is %q, no number of an inherited descriptor", text)
	}
	return n, nil
}

// Parse reads the text of a configuration. Where it listens and where discovery is may be missing: that is for the host
// to judge. An error names the key at fault.
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

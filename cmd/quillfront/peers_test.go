package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"quillfront/internal/engine"
	"quillfront/internal/standin"
	"quillfront/policy"
)

// TestPlatformMembership checks that sidecars started by the platform form a membership where its
// settings allow it, take the number of live members as their group size, and treat a drain that
// another sidecar has been told of as a hint. The command line lists the members. Where the
// settings do not allow it, a sidecar serves without membership.
func TestPlatformMembership(t *testing.T) {
	classes := []policy.Class{{Name: "read", Aim: 9 * time.Second, Deadline: 10 * time.Second, Worth: 1}}
	fleet, err := standin.NewFleet(classes, 1, 10*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	var servers []*standin.Server
	known := &engine.List{Seq: 1, Full: true}
	for i := range 4 {
		b, err := fleet.Start(standin.ServerConfig{ID: fmt.Sprint("box", i)})
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, b)
		known.Servers = append(known.Servers, engine.Server{ID: policy.ServerID(fmt.Sprint("box", i)), Addr: b.Addr(), Weight: 1})
	}
	var peers []string
	for range 3 {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		peers = append(peers, c.LocalAddr().String())
		c.Close()
	}
	file := filepath.Join(t.TempDir(), "quillfront.toml")
	writeFile(t, file, "[members]\ncluster = \"c\"\nplatform = true\nshare = true\nhints = true\nfall = \"1s\"\n")
	sidecar := func(i int, allowed bool) *process {
		p := standin.PlatformConfig{Classes: classes, Seed: uint64(i), CachedList: known}
		if i == 0 {
			p.Discovery = fleet.Discovery.Addr()
		}
		var c map[string]any
		if err := json.Unmarshal(p.JSON(), &c); err != nil {
			t.Fatal(err)
		}
		s := c["settings"].(map[string]any)
		s["GroupSize"], s["Ordinal"] = 3, i
		s["Limits"].(map[string]any)["Peers"] = allowed
		c["name"], c["management"], c["peers"], c["peer_listen"] = fmt.Sprint("n", i), "127.0.0.1:0", peers, peers[i]
		text, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		return startSidecar(t, string(text), "serve", "--config", file)
	}
	metric := func(p *process, name string) string {
		resp, err := http.Get("http://" + p.management + "/api/telemetry")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		if m := regexp.MustCompile(`(?m)^svc_` + name + ` (\S+)$`).FindSubmatch(text); m != nil {
			return string(m[1])
		}
		return ""
	}
	await := func(p *process, name, want string) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); metric(p, name) != want; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s is %q, want %q", name, metric(p, name), want)
			}
		}
	}
	var sidecars []*process
	for i := range 3 {
		sidecars = append(sidecars, sidecar(i, true))
	}
	for _, p := range sidecars {
		await(p, "members_living", "3")
	}
	await(sidecars[0], "pool_size", "4")
	fleet.ListDraining(servers[1]) // only the discovery service of the first sidecar lists it
	await(sidecars[1], "pool_draining", "1")
	await(sidecars[2], "pool_draining", "1")
	await(sidecars[1], "pool_draining", "0") // its own list does not confirm the hint
	sidecars[2].Process.Signal(syscall.SIGTERM)
	await(sidecars[0], `members{state="left"}`, "1")
	await(sidecars[0], "members_group", "2") // at least half of the configured group size
	var out bytes.Buffer
	c := rootCommand()
	c.SetOut(&out)
	c.SetArgs([]string{"members", "--of", sidecars[0].management})
	if err := c.Execute(); err != nil || !strings.Contains(out.String(), "2 living, shares by 2") || !regexp.MustCompile(`n2 +left`).MatchString(out.String()) {
		t.Errorf("%v\n%s", err, out.String())
	}
	isolated := sidecar(2, false)
	c.SetArgs([]string{"members", "--of", isolated.management})
	if err := c.Execute(); err == nil || !strings.Contains(err.Error(), "no [members]") {
		t.Errorf("members of a sidecar without peers: %v", err)
	}
}

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

// TestSidecarsAmongOthers: sidecars that the platform has started know one another where its settings allow it, count by how many they
// are, and take a drain that one of them has been told of for a reason to be careful; the command line tells of them. Where the settings do
// not allow it they serve without.
func TestSidecarsAmongOthers(t *testing.T) {
	classes := []policy.Class{{Name: "read", Aim: 9 * time.Second, Deadline: 10 * time.Second, Worth: 1}}
	fleet, err := standin.NewFleet(classes, 1, 10*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	var boxes []*standin.Server
	known := &engine.List{Seq: 1, Full: true}
	for i := range 4 {
		b, err := fleet.Start(standin.ServerConfig{ID: fmt.Sprint("box", i)})
		if err != nil {
			t.Fatal(err)
		}
		boxes = append(boxes, b)
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
		return start(t, string(text), "serve", "--config", file)
	}
	figure := func(p *process, name string) string {
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
		for end := time.Now().Add(30 * time.Second); figure(p, name) != want; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s is %q, want %q", name, figure(p, name), want)
			}
		}
	}
	var all []*process
	for i := range 3 {
		all = append(all, sidecar(i, true))
	}
	for _, p := range all {
		await(p, "members_living", "3")
	}
	await(all[0], "pool_size", "4")
	fleet.ListDraining(boxes[1]) // only the first one's discovery says so
	await(all[1], "pool_draining", "1")
	await(all[2], "pool_draining", "1")
	await(all[1], "pool_draining", "0") // its own list has not said so
	all[2].Process.Signal(syscall.SIGTERM)
	await(all[0], `members{state="left"}`, "1")
	await(all[0], "members_group", "2") // half of what the settings say, and never fewer
	var out bytes.Buffer
	c := rootCommand()
	c.SetOut(&out)
	c.SetArgs([]string{"members", "--of", all[0].management})
	if err := c.Execute(); err != nil || !strings.Contains(out.String(), "2 living, shares by 2") || !regexp.MustCompile(`n2 +left`).MatchString(out.String()) {
		t.Errorf("%v\n%s", err, out.String())
	}
	apart := sidecar(2, false)
	c.SetArgs([]string{"members", "--of", apart.management})
	if err := c.Execute(); err == nil || !strings.Contains(err.Error(), "no [members]") {
		t.Errorf("a sidecar that may tell nobody: %v", err)
	}
}

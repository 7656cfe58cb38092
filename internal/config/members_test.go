package config

import (
	"strings"
	"testing"
	"time"
)

// TestMembers checks that the table [members] is parsed, that its defaults are set, that errors
// name the key, and that the platform's addresses replace those of the table.
func TestMembers(t *testing.T) {
	const good = "[members]\ncluster = \"c\"\nlisten = \"127.0.0.1:7946\"\nseeds = [\"127.0.0.1:7947\"]\n"
	o, err := parseOperator(good, "")
	if err != nil {
		t.Fatal(err)
	}
	if n := o.Members.Peers.Node; n.Silence != 2*time.Second || n.Address.String() != "127.0.0.1:7946" || len(o.Members.Peers.Seeds) != 1 || o.Members.Estimator.MaxShareFactor != 2 {
		t.Errorf("%+v", o.Members)
	}
	for want, line := range map[string]string{
		"[members]: seeds: \"x\"":               "seeds = [\"x\"]",
		"[members]: advertise":                  "advertise = \"7946\"",
		"[members]: bolder":                     "bolder = 0.5",
		"[members]: fall":                       "fall = \"1ms\"",
		"[members]: most_bytes":                 "most_bytes = 10",
		"[members]: datagram":                   "datagram = 2000",
		"[members]: retry":                      "silence = \"1s\"",
		"[members]: seeds_file: seeds_dns is":   "seeds_file = \"x\"\n[members.seeds_dns]\nname = \"x\"",
		"[members]: seeds_dns: resolvers":       "[members.seeds_dns]\nname = \"x\"",
		"line 5: unknown key members.advertize": "advertize = \"x\"",
	} {
		text := good
		if strings.HasPrefix(line, "seeds =") {
			text = strings.ReplaceAll(good, "seeds = [\"127.0.0.1:7947\"]\n", "")
		}
		if _, err := parseOperator(text+line+"\n", ""); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", line, err)
		}
	}
	o, err = parseOperator("[members]\ncluster = \"c\"\nplatform = true\n", "")
	if err != nil {
		t.Fatal(err)
	}
	c := Config{PeerListen: "127.0.0.1:5", Peers: []string{"127.0.0.2:5", "127.0.0.3:5"}}
	if m, err := o.Members.ForPlatform(&c); m != nil || err == nil {
		t.Errorf("accepted though the platform does not allow datagrams: %v", m)
	}
	c.Settings.Peers, c.Settings.Config.Ordinal = true, 1
	m, err := o.Members.ForPlatform(&c)
	if err != nil || m.Peers.Listen != c.PeerListen || m.Peers.Node.Address.String() != c.Peers[1] || len(m.Peers.Seeds) != 1 {
		t.Errorf("%+v, %v", m, err)
	}
	c.Settings.Config.Ordinal = 2
	if _, err := o.Members.ForPlatform(&c); err == nil {
		t.Error("accepted an ordinal without an address")
	}
	if _, err := parseOperator("[members]\ncluster = \"c\"\nlisten = \"0.0.0.0:7946\"\n", ""); err == nil || !strings.Contains(err.Error(), "address") {
		t.Errorf("unreachable address: error %v", err)
	}
}

package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"quillfront/internal/orders"
)

// TestOperator checks that the file in the repository is accepted, and that errors name the file,
// the line and the key at fault in one line.
func TestOperator(t *testing.T) {
	o, err := LoadOperator(filepath.Join("..", "..", "deploy", "quillfront.toml"))
	if err != nil || o.Store == nil || o.Store.Dir != "/var/lib/quillfront" || o.Store.Durability != orders.Sync ||
		o.Store.ByClass["meter-booking"] != 12*time.Hour || o.Store.SyncEvery != 10*time.Millisecond {
		t.Errorf("%+v, %v", o.Store, err)
	}
	if o.Sites == nil || o.Sites.Climb != 20*time.Second || o.Sites.Dark != 0.7 || o.Sites.Fade != 2*time.Minute ||
		len(o.Sites.Rules) != 2 || o.Sites.Rules[0].Tiers[1].Most != 0.5 {
		t.Errorf("%+v", o.Sites)
	}
	if o, err := parseOperator("", ""); err != nil || o.Store != nil {
		t.Errorf("an empty file: %+v, %v", o, err)
	}
	for text, want := range map[string][]string{
		"[store]\npath = \"x\"\nfoo = 1\n":              {"line 3", "store.foo"},
		"[stor]\npath = \"x\"\n":                        {"line 1", "stor"},
		"[store]\npath = 7\n":                           {"line 2", "path"},
		"[store]\n\nretention = \"a day\"\n":            {"line 3", "retention", "a day"},
		"[store]\nretention = \"0.5s\"\n":               {"retention"},
		"[store]\ndurability = \"sometimes\"\n":         {"durability", "sometimes"},
		"[store]\nmost_bytes = 5\n":                     {"most_bytes"},
		"[store]\nmost_orders = -1\n":                   {"most_orders"},
		"[store]\nsync_every = \"2m\"\n":                {"sync_every"},
		"[store.retention_by_class]\norder = \"48h\"\n": {"retention_by_class.order"},
		"[store\n":                                      {"line 2", "table name"},
		"[sites]\ndoubt = 0.9\n":                        {"[sites]", "doubt"},
		"[sites]\nclimb = \"1h\"\n":                     {"[sites]", "climb", "1h"},
		"[sites]\n\nhold = 3\n":                         {"line 3", "hold"},
		"[sites]\nsharpness = 1\n":                      {"line 2", "sites.sharpness"},
		"[sites]\n[[sites.rules]]\nclasses = [\"a\"]\n": {"[sites]", "rules[0].tiers"},
		"[sites]\n[[sites.rules]]\ntiers = [{sites = [\"a\"], least = 1}]\n":         {"least"},
		"[sites]\n[[sites.rules]]\ntiers = [{sites = [\"a\"]}, {sites = [\"a\"]}]\n": {"rules[0].tiers[1].sites", "twice"},
	} {
		path := filepath.Join(t.TempDir(), "quillfront.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadOperator(path)
		if err == nil {
			t.Errorf("%q is accepted", text)
			continue
		}
		for _, part := range append(want, path) {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%q: error %v does not contain %s", text, err, part)
			}
		}
		if strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error of more than one line: %v", text, err)
		}
	}
}

package quillfront

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// TestDeployFile guards against a file of decisions that the deploy file does not name, and against names
// of files and folders that do not exist.
func TestDeployFile(t *testing.T) {
	var deploy struct {
		Policy []string
		Node   []string
	}
	if _, err := toml.DecodeFile("deploy/balancer.toml", &deploy); err != nil {
		t.Fatal(err)
	}
	all, err := filepath.Glob("policy/*.go")
	if err != nil {
		t.Fatal(err)
	}
	decide := slices.DeleteFunc(all, func(name string) bool {
		return strings.HasSuffix(name, "_test.go") || name == "policy/api.go" // which has types alone
	})
	slices.Sort(deploy.Policy)
	if !slices.Equal(deploy.Policy, decide) {
		t.Errorf("the deploy file names %v, the files that decide are %v", deploy.Policy, decide)
	}
	for _, name := range deploy.Node {
		if _, err := os.Stat(name); err != nil {
			t.Error(err)
		}
	}
}

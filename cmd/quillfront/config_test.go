package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestConfigCheck checks that the operator's file in the repository is valid and listed line by
// line, and that the error for an invalid file names the file and the key.
func TestConfigCheck(t *testing.T) {
	out, errs, status := runCommand(t, "config", "check", filepath.Join("..", "..", "deploy", "quillfront.toml"))
	if status != 0 || errs != "" {
		t.Fatalf("status %d: %s", status, errs)
	}
	for _, want := range []string{"store: ", "sites: watched, by 2 rules", "pool meters: 2 servers, 1 classes", "stream meters: at 127.0.0.1:7000", "mysql ledger: at 127.0.0.1:3306, for 1 users"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing from the output:\n%s", want, out)
		}
	}
	path := filepath.Join(t.TempDir(), "wrong.toml")
	if err := os.WriteFile(path, []byte("[[streams]]\nname = \"s\"\npool = \"none\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out, errs, status = runCommand(t, "config", "check", path)
	if status != 1 || out != "" || strings.Count(errs, "\n") != 1 || !strings.Contains(errs, path) || !strings.Contains(errs, "[[streams]] s: pool") {
		t.Errorf("status %d: %q %q", status, out, errs)
	}
}

package proxy

import (
	"fmt"
	"net"
	"os"
	process "os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestSecondClient checks that mysql2, an independent client in another language, sees the same
// through the frontend as at the server itself. It runs if QUILLFRONT_MYSQL2 names a directory in
// which `npm install mysql2` was run; docs/operate/mysql.md describes this.
func TestSecondClient(t *testing.T) {
	dir := os.Getenv("QUILLFRONT_MYSQL2")
	if dir == "" {
		t.Skip("QUILLFRONT_MYSQL2 is not set")
	}
	text, err := os.ReadFile(filepath.Join("testdata", "session.mjs"))
	if err != nil {
		t.Fatal(err)
	}
	// Node resolves modules relative to the script.
	script := filepath.Join(dir, "quillfront-session.mjs")
	if err := os.WriteFile(script, text, 0o600); err != nil {
		t.Fatal(err)
	}
	defer os.Remove(script)
	session := func(addr, many string) string {
		_, port, _ := net.SplitHostPort(addr)
		cmd := process.Command("node", script)
		cmd.Env = append(os.Environ(), "PORT="+port, "MANY="+many)
		out, err := cmd.CombinedOutput()
		if err != nil {
			return fmt.Sprintf("%s\n%v", out, err)
		}
		return string(out)
	}
	for _, auth := range []Auth{AuthUsers, AuthPassThrough} {
		for _, many := range []string{"0", "1"} {
			w := newTestEnv(t, options{servers: 1, proxy: Config{Auth: auth}})
			got := session(w.addr, many)
			w.db.Reset()
			want := session(w.servers[0].Addr(), many)
			if got != want || strings.Count(want, "\n") < 22 {
				t.Errorf("%v, %s: through the frontend\n%sat the server\n%s", auth, many, got, want)
			}
		}
	}
}

package quillfront

import (
	"go/build"
	"slices"
	"strings"
	"testing"
)

// TestImports holds what docs/ARCHITECTURE.md says of who knows whom: no front knows a transport or another front, no
// transport a front, the engine no protocol, and what is without I/O opens nothing.
func TestImports(t *testing.T) {
	for dir, never := range map[string][]string{
		"internal/httpfront":     {"quillfront/internal/upstream", "quillfront/internal/discovery", "quillfront"},
		"internal/upstream":      {"quillfront/internal/httpfront", "quillfront/internal/httpcall", "quillfront/internal/discovery"},
		"internal/dnslist":       {"quillfront/internal/http", "quillfront/internal/upstream", "quillfront/internal/discovery"},
		"internal/discovery":     {"quillfront/internal/httpfront", "quillfront/internal/upstream"},
		"internal/httpmsg":       {"quillfront/internal/", "net"},
		"internal/handover":      {"quillfront/internal/", "net"},
		"internal/httpcall":      {"quillfront/internal/upstream", "quillfront/internal/orders", "net", "os"},
		"routes":                 {"quillfront/internal/", "quillfront/store", "os", "io", "sync", "time.Now"},
		"members":                {"quillfront", "net", "os", "sync", "time.Now"},
		"sites":                  {"quillfront", "net", "os", "io", "sync", "math/rand/v2"},
		"exclusion":              {"quillfront/internal/", "net", "os", "io", "sync", "time"},
		"reconfig":               {"quillfront/internal/", "net", "os", "io", "sync", "time"},
		"ledger":                 {"quillfront/internal/", "quillfront/store", "net", "net/http", "os", "io", "sync"},
		"internal/orders":        {"quillfront/internal/http", "quillfront/internal/upstream", "net", "net/http"},
		"internal/engine":        {"quillfront/internal/http", "quillfront/internal/upstream", "quillfront/internal/discovery", "net", "net/http"},
		"internal/stream":        {"quillfront/internal/http", "quillfront/internal/upstream", "quillfront/internal/mysql", "quillfront/policy/"},
		"internal/mysql/proxy":   {"quillfront/internal/http", "quillfront/internal/stream", "quillfront/internal/upstream", "quillfront/internal/mysql/standin"},
		"internal/mysql/session": {"quillfront/internal/engine", "quillfront/internal/sockets", "net", "os", "io", "bufio", "sync", "quillfront/policy"},
		"internal/mysql/wire":    {"quillfront/internal/", "os", "sync"},
		"internal/acceptor":      {"quillfront/internal/engine", "quillfront/internal/stream", "quillfront/internal/mysql"},
		"internal/connlimit":     {"quillfront/", "net", "os", "io"},
		"internal/pool":          {"quillfront/internal/http", "quillfront/internal/upstream", "quillfront/internal/stream", "quillfront/internal/mysql"},
		"internal/sitewatch":     {"quillfront/internal/", "net", "os", "io", "sync", "time.Now"},
		"policy":                 {"quillfront/", "net", "net/http", "os", "io", "sync"},
		"store":                  {"quillfront"},
	} {
		p, err := build.ImportDir(dir, 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(p.Imports) == 0 {
			t.Errorf("%s imports nothing: the test looks in the wrong place", dir)
		}
		for _, name := range p.Imports {
			if slices.ContainsFunc(never, func(n string) bool {
				return n == name || strings.HasPrefix(n, "quillfront/internal/") && strings.HasPrefix(name, n)
			}) {
				t.Errorf("%s imports %s", dir, name)
			}
		}
	}
}

package quillfront

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// limitPackages are the folders whose named durations docs/design/limits.md lists.
var limitPackages = []string{
	".", "members", "policy", "routes", "sites", "store",
	"internal/acceptor", "internal/daemon", "internal/discovery", "internal/dnslist", "internal/engine", "internal/filelist", "internal/handover", "internal/httpfront",
	"internal/management", "internal/mysql/proxy", "internal/orders", "internal/peering", "internal/pool", "internal/services", "internal/shutdown", "internal/sitewatch",
	"internal/sockets", "internal/stream", "internal/upstream",
}

// TestLimitsAreListed guards against a limit of time that is in the code of an exchange and not in the
// table of limits, a row whose limit is gone, and a test there that does not exist.
func TestLimitsAreListed(t *testing.T) {
	text, err := os.ReadFile("docs/design/limits.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	rows := regexp.MustCompile("(?m)^\\| (`[^|]*) \\|")
	for _, row := range rows.FindAllStringSubmatch(string(text), -1) {
		for _, name := range regexp.MustCompile("`([A-Za-z]+)`").FindAllStringSubmatch(row[1], -1) {
			listed[name[1]] = true
		}
	}
	inCode := map[string]bool{}
	for _, dir := range limitPackages {
		for _, name := range namedDurations(t, dir) {
			if inCode[name] = true; !listed[name] {
				t.Errorf("%s in %s is not in docs/design/limits.md", name, dir)
			}
		}
	}
	if len(inCode) == 0 {
		t.Error("no named duration was found: the test looks in the wrong place")
	}
	for name := range listed {
		if !inCode[name] {
			t.Errorf("docs/design/limits.md lists %s, which is not in the code", name)
		}
	}
	tests := testNames(t)
	for _, name := range regexp.MustCompile(`\bTest[A-Z]\w*`).FindAllString(string(text), -1) {
		if !slices.Contains(tests, name) {
			t.Errorf("docs/design/limits.md names %s, which does not exist", name)
		}
	}
}

// namedDurations returns the names of a folder's constants and variables whose values are written with
// a unit of package time.
func namedDurations(t *testing.T, dir string) (names []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range file.Decls {
			general, ok := decl.(*ast.GenDecl)
			if !ok || general.Tok != token.CONST && general.Tok != token.VAR {
				continue
			}
			for _, spec := range general.Specs {
				values := spec.(*ast.ValueSpec)
				for i, value := range values.Values {
					if hasTimeUnit(value) {
						names = append(names, values.Names[i].Name)
					}
				}
			}
		}
	}
	return names
}

// hasTimeUnit reports whether an expression has a unit of package time.
func hasTimeUnit(e ast.Expr) (found bool) {
	units := []string{"Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour"}
	ast.Inspect(e, func(n ast.Node) bool {
		if selector, ok := n.(*ast.SelectorExpr); ok {
			if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "time" && slices.Contains(units, selector.Sel.Name) {
				found = true
			}
		}
		return true
	})
	return found
}

// testNames returns the names of all test functions of the module.
func testNames(t *testing.T) (names []string) {
	t.Helper()
	function := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (path == "journal" || path == "review" || path == ".git") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		for _, m := range function.FindAllStringSubmatch(string(text), -1) {
			names = append(names, m[1])
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

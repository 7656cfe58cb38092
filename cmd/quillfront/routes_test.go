package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const routesFile = `
[[routes]]
name = "orders"
hosts = ["*.burdekin.example"]
methods = ["POST"]
path = "/farms/{farm}/order"
class = "delivery-order"
split = { stable = 9, canary = 1 }
key = ["path:farm"]
trust_idempotency_key = true

[[routes]]
name = "rest"
class = "other"
pool = "stable"
`

// TestRoutesCommands: what a file's routes do is told, and what is wrong with them.
func TestRoutesCommands(t *testing.T) {
	path := filepath.Join(t.TempDir(), "quillfront.toml")
	run := func(text string, args ...string) string {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		c := rootCommand()
		c.SetArgs(append([]string{"routes", args[0], path}, args[1:]...))
		c.SetOut(&out)
		if err := c.ExecuteContext(t.Context()); err != nil {
			return "error: " + err.Error()
		}
		return out.String()
	}
	for _, tt := range []struct {
		text string
		args []string
		want []string
	}{
		{routesFile, []string{"check"}, []string{"2 routes"}},
		{routesFile, []string{"explain", "GET", "http://s/"}, []string{"5xx are failures", "429, 503 prove with X-Not-Processed that nothing ran"}},
		{routesFile + "answers = { failure = [\"404\", \"5xx\"], not_run = [\"429\"], bare = true, retry_after = \"avoid\" }\n",
			[]string{"explain", "GET", "http://s/"}, []string{"404, 5xx are failures", "429 prove alone"}},
		{routesFile + "answers = { failure = [\"6xx\"] }\n", []string{"check"}, []string{"error:", "rest: answers.failure", "6xx"}},
		{routesFile + "answers = { retry_after = \"no\" }\n", []string{"check"}, []string{"error:", "rest: answers.retry_after", "no"}},
		{routesFile + "answers = { bare = true, mark = \"X\" }\n", []string{"check"}, []string{"error:", "\"rest\"", "answers: a mark"}},
		{routesFile, []string{"explain", "POST", "http://a.burdekin.example/farms/f7/order", "-H", "Idempotency-Key: k"},
			[]string{"orders", "*.burdekin.example", "farm is \"f7\"", "stable (90 of 100)", "canary (10 of 100)", "keyed:", `"f7"`}},
		{routesFile, []string{"explain", "POST", "http://a.burdekin.example/farms/f7/order"}, []string{"unsafe:"}},
		{routesFile, []string{"explain", "GET", "http://a.burdekin.example/farms/f7/order"}, []string{"rest", "takes what no other", "safe:"}},
		{routesFile, []string{"explain", "GET", "http://s/a/../b"}, []string{"400: the path has dot segments"}},
		{strings.Replace(routesFile, "pool = \"stable\"", "pool = \"stable\"\nmethods = [\"GET\"]", 1), []string{"explain", "PUT", "http://s/"}, []string{"405", "GET"}},
		{routesFile + "[[routes]]\nname = \"again\"\nclass = \"c\"\npool = \"p\"\n", []string{"check"}, []string{"error:", "\"rest\" and \"again\""}},
		{routesFile + "pol = \"p\"\n", []string{"check"}, []string{"error:", "line 16", "routes.pol"}},
		{strings.Replace(routesFile, "path:farm", "farm", 1), []string{"check"}, []string{"error:", "orders: key", "path:NAME"}},
		{strings.Replace(routesFile, "pool = ", "effect = \"x\"\npool = ", 1), []string{"check"}, []string{"error:", "rest: effect"}},
		{strings.Replace(routesFile, "pool = \"stable\"", "", 1), []string{"check"}, []string{"error:", "rest: pool"}},
	} {
		got := run(tt.text, tt.args...)
		for _, want := range tt.want {
			if !strings.Contains(got, want) {
				t.Errorf("%v: %q, which lacks %q", tt.args, got, want)
			}
		}
	}
}

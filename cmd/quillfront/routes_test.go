package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const routesConfig = `
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

// TestRoutesCommands checks that the routes commands explain what routes do, and report what is
// wrong with them.
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
		{routesConfig, []string{"check"}, []string{"2 routes"}},
		{routesConfig, []string{"explain", "GET", "http://s/"}, []string{"5xx are failures", "429, 503 prove with X-Not-Processed that nothing ran"}},
		{routesConfig + "answers = { failure = [\"404\", \"5xx\"], not_run = [\"429\"], bare = true, retry_after = \"avoid\" }\n",
			[]string{"explain", "GET", "http://s/"}, []string{"404, 5xx are failures", "429 prove alone"}},
		{routesConfig + "answers = { failure = [\"6xx\"] }\n", []string{"check"}, []string{"error:", "rest: answers.failure", "6xx"}},
		{routesConfig + "answers = { retry_after = \"no\" }\n", []string{"check"}, []string{"error:", "rest: answers.retry_after", "no"}},
		{routesConfig + "answers = { bare = true, mark = \"X\" }\n", []string{"check"}, []string{"error:", "\"rest\"", "answers: a mark"}},
		{routesConfig, []string{"explain", "POST", "http://a.burdekin.example/farms/f7/order", "-H", "Idempotency-Key: k"},
			[]string{"orders", "*.burdekin.example", "farm is \"f7\"", "stable (90 of 100)", "canary (10 of 100)", "keyed:", `"f7"`}},
		{routesConfig, []string{"explain", "POST", "http://a.burdekin.example/farms/f7/order"}, []string{"unsafe:"}},
		{routesConfig, []string{"explain", "GET", "http://a.burdekin.example/farms/f7/order"}, []string{"rest", "takes what no other", "safe:"}},
		{routesConfig, []string{"explain", "GET", "http://s/a/../b"}, []string{"400: the path has dot segments"}},
		{strings.Replace(routesConfig, "pool = \"stable\"", "pool = \"stable\"\nmethods = [\"GET\"]", 1), []string{"explain", "PUT", "http://s/"}, []string{"405", "GET"}},
		{routesConfig + "[[routes]]\nname = \"again\"\nclass = \"c\"\npool = \"p\"\n", []string{"check"}, []string{"error:", "\"rest\" and \"again\""}},
		{routesConfig + "pol = \"p\"\n", []string{"check"}, []string{"error:", "line 16", "routes.pol"}},
		{strings.Replace(routesConfig, "path:farm", "farm", 1), []string{"check"}, []string{"error:", "orders: key", "path:NAME"}},
		{strings.Replace(routesConfig, "pool = ", "effect = \"x\"\npool = ", 1), []string{"check"}, []string{"error:", "rest: effect"}},
		{strings.Replace(routesConfig, "pool = \"stable\"", "", 1), []string{"check"}, []string{"error:", "rest: pool"}},
	} {
		got := run(tt.text, tt.args...)
		for _, want := range tt.want {
			if !strings.Contains(got, want) {
				t.Errorf("%v: output %q does not contain %q", tt.args, got, want)
			}
		}
	}
}

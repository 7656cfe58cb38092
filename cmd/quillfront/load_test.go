package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runCommand runs a command of the program and returns its output and exit status.
func runCommand(t *testing.T, args ...string) (stdout, stderr string, status int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "QUILLFRONT_IS_SIDECAR=1")
	var out, errs strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errs
	var exit *exec.ExitError
	if err := cmd.Run(); errors.As(err, &exit) {
		status = exit.ExitCode()
	} else if err != nil {
		t.Fatal(err)
	}
	return out.String(), errs.String(), status
}

// TestLoadCommand runs load against stand-in servers, merges reports, and checks that an untrusted
// run says so on its first line and by its exit status.
func TestLoadCommand(t *testing.T) {
	dir := t.TempDir()
	plan := func(more string) string {
		path := filepath.Join(dir, "plan.toml")
		text := "trusted_lag = \"5s\"\nmost_late = \"20s\"\npause = \"20s\"\n" + more + "[[stages]]\nshape = \"constant\"\nfor = \"1500ms\"\nfrom = 60\n" +
			"[[classes]]\nname = \"check\"\nshare = 1\n[[classes]]\nname = \"order\"\nshare = 1\nmethod = \"POST\"\nidempotency_key = true\n"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	html := filepath.Join(dir, "report.html")
	out, errs, status := runCommand(t, "load", "--standin", "3", "--plan", plan(""), "--json", "--html", html)
	var rep struct {
		Trusted bool
		Classes map[string]struct{ First, Answered int }
	}
	if err := json.Unmarshal([]byte(out), &rep); err != nil || status != 0 || !rep.Trusted || errs != "" {
		t.Fatalf("%s\n%s\n%v, status %d", out, errs, err, status)
	}
	if c := rep.Classes["order"]; c.First < 20 || c.Answered != c.First {
		t.Errorf("%+v", rep)
	}
	if text, err := os.ReadFile(html); err != nil || !strings.Contains(string(text), "Load on 3 stand-in boxes") {
		t.Errorf("the HTML report: %v", err)
	}
	one := filepath.Join(dir, "one.json")
	if err := os.WriteFile(one, []byte(out), 0o600); err != nil {
		t.Fatal(err)
	}
	first := rep.Classes["order"].First
	if out, errs, _ = runCommand(t, "load", "--merge", one, one, "--json"); json.Unmarshal([]byte(out), &rep) != nil || rep.Classes["order"].First != 2*first {
		t.Errorf("merged: %s %s", out, errs)
	}
	out, errs, status = runCommand(t, "load", "--standin", "1", "--plan", plan("most_open = 1\n[[stages]]\nshape = \"constant\"\nfor = \"1s\"\nfrom = 2000\n"), "--quiet")
	if status != 3 || !strings.HasPrefix(out, "UNTRUSTED") || !strings.Contains(errs, "not to be trusted") {
		t.Errorf("status %d\n%s\n%s", status, out, errs)
	}
	for _, args := range [][]string{{"load"}, {"load", "--standin", "1"}, {"load", "--plan", "none", "--target", "http://127.0.0.1:1"}, {"load", "--target", "x", "--plan", plan("")}} {
		if _, errs, status := runCommand(t, args...); status != 1 || strings.Count(errs, "\n") != 1 {
			t.Errorf("%v: status %d, %q", args, status, errs)
		}
	}
}

// TestTraceCommands imports logs, and shows, cuts, scales and replays the trace. A failed import
// with --strict leaves no file.
func TestTraceCommands(t *testing.T) {
	dir := t.TempDir()
	in := func(name string) string { return filepath.Join(dir, name) }
	var log strings.Builder
	for i := range 200 {
		fmt.Fprintf(&log, `{"time":"2026-03-14T05:00:%02d.%03dZ","method":"GET","path":"/check/%d","status":200,"duration":0.001}`+"\n", i/20, i%20*50, i)
	}
	log.WriteString("half a li")
	if err := os.WriteFile(in("log"), []byte(log.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	must := func(want string, args ...string) {
		t.Helper()
		out, errs, status := runCommand(t, args...)
		if status != 0 || !strings.Contains(out, want) {
			t.Errorf("%v: status %d\n%s\n%s", args, status, out, errs)
		}
	}
	if _, errs, status := runCommand(t, "trace", "import", in("log"), "--format", "json", "--strict", "-o", in("trace")); status != 1 || !strings.Contains(errs, "log:201") {
		t.Errorf("strict: %d, %s", status, errs)
	}
	if _, err := os.Stat(in("trace")); err == nil {
		t.Error("a trace file is left after a failed import")
	}
	must("200 arrivals", "trace", "import", in("log"), "--format", "json", "-o", in("trace"))
	must("check", "trace", "show", in("trace"))
	must("40 arrivals", "trace", "cut", in("trace"), "--from", "2s", "--to", "4s", "-o", in("cut"))
	must("120 arrivals", "trace", "scale", in("cut"), "--by", "3", "-o", in("scaled"))
	out, errs, status := runCommand(t, "load", "--trace", in("cut"), "--speed", "2", "--standin", "2", "--quiet")
	if status != 0 && status != 3 || !strings.Contains(out, "replay: class mix differs by at most 0.000 points; 0 retries, 0 recorded") {
		t.Errorf("status %d\n%s\n%s", status, out, errs)
	}
}

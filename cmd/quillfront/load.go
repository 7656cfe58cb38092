package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"quillfront/internal/demo"
	"quillfront/internal/load"
	"quillfront/internal/standin"
	"quillfront/policy"
)

// exitError is an error that sets the exit status of the program.
type exitError struct {
	code int
	text string
}

func (e exitError) Error() string { return e.text }

// exitUntrusted is the exit status of a run whose measurements cannot be trusted.
const exitUntrusted = 3

// loadFlags holds the flags of the load command.
type loadFlags struct {
	target, plan, trace, html, merge string
	standin                          int
	speed                            float64
	json, quiet                      bool
	timeout                          time.Duration
}

// loadCommand returns the command that generates load.
func loadCommand() *cobra.Command {
	var f loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Generate load from a plan or a trace, and report the results and whether they can be trusted",
		Long: "load sends requests on an open-loop schedule, by --plan FILE (TOML) or as recorded in --trace FILE, to --target URL or to\n" +
			"--standin N stand-in servers behind a sidecar. Latency counts from the scheduled send time. A request that is too long\n" +
			"overdue is not sent, because late requests would form a burst that no client has made. If the generator itself was late, the\n" +
			"report says so on its first line and the exit status is 3. --merge merges the --json reports of several workers.",
		Args: cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if f.merge != "" {
				return mergeReports(cmd, f, append([]string{f.merge}, args...))
			}
			if len(args) > 0 {
				return fmt.Errorf("unknown argument %q", args[0])
			}
			return runLoad(cmd, f)
		},
	}
	c.Flags().StringVar(&f.target, "target", "", "URL that requests are sent to, such as http://127.0.0.1:8080")
	c.Flags().IntVar(&f.standin, "standin", 0, "start this many stand-in servers and a sidecar in this process, and send requests there")
	c.Flags().StringVar(&f.plan, "plan", "", "a plan")
	c.Flags().StringVar(&f.trace, "trace", "", "a trace to replay; see quillfront trace")
	c.Flags().Float64Var(&f.speed, "speed", 1, "factor by which a trace is replayed faster")
	c.Flags().DurationVar(&f.timeout, "timeout", 2*time.Second, "timeout of each request of a trace")
	c.Flags().BoolVar(&f.json, "json", false, "print only one JSON object, at the end")
	c.Flags().BoolVar(&f.quiet, "quiet", false, "print no progress")
	c.Flags().StringVar(&f.html, "html", "", "write a self-contained HTML report to this file")
	c.Flags().StringVar(&f.merge, "merge", "", "merge JSON reports: this file and those given as arguments")
	return c
}

// loadResult is the JSON object that --json prints.
type loadResult struct {
	*load.Report
	Replay *load.Comparison `json:"replay,omitempty"`
}

// runLoad sends the load that the flags describe and prints the report.
func runLoad(cmd *cobra.Command, f loadFlags) error {
	if (f.target == "") == (f.standin == 0) {
		return errors.New("exactly one of --target and --standin is required")
	}
	if (f.plan == "") == (f.trace == "") {
		return errors.New("exactly one of --plan and --trace is required")
	}
	var classes []load.Class
	var limits load.Limits
	var source load.Source
	var replay *load.Replay
	if f.plan != "" {
		p, err := load.ReadPlan(f.plan)
		if err != nil {
			return err
		}
		s, stop := p.NewSource()
		defer stop()
		classes, limits, source = p.Classes, p.Limits, s
	} else {
		var err error
		if classes, err = traceClasses(f.trace, f.timeout); err != nil {
			return err
		}
		in, err := os.Open(f.trace)
		if err != nil {
			return err
		}
		defer in.Close()
		if replay, err = load.NewReplay(in, classes, f.speed); err != nil {
			return fmt.Errorf("%s: %w", f.trace, err)
		}
		source = replay
	}
	target := f.target
	if f.standin > 0 {
		stage, err := openStage(f.standin, classes)
		if err != nil {
			return err
		}
		defer stage.Close()
		target = stage.URL
		f.target = fmt.Sprintf("%d stand-in boxes", f.standin)
	}
	o := load.Options{Target: target, Classes: classes, Limits: limits, IDPrefix: strconv.FormatInt(time.Now().UnixNano(), 36)}
	if !f.json && !f.quiet {
		o.Progress = func(p load.Progress) { fmt.Fprintln(cmd.ErrOrStderr(), p.Line()) }
	}
	g, err := load.New(o)
	if err != nil {
		return err
	}
	out := loadResult{Report: g.Run(cmd.Context(), source)}
	if replay != nil {
		if err := replay.Err(); err != nil {
			return err
		}
		c := replay.Compare(out.Report)
		out.Replay = &c
	}
	return outputReport(cmd, f, out)
}

// traceClasses returns the classes that occur in the trace at path.
func traceClasses(path string, timeout time.Duration) ([]load.Class, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	classes, _, err := load.TraceClasses(in, timeout)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return classes, nil
}

// openStage starts n stand-in servers and a sidecar for the given classes. Classes whose method is
// not GET are keyed.
func openStage(n int, classes []load.Class) (*demo.Environment, error) {
	if n < 1 || n > 100 {
		return nil, fmt.Errorf("--standin: %d is outside 1 to 100", n)
	}
	var policies []policy.Class
	for _, c := range classes {
		r := policy.Class{Name: c.Name, Effect: policy.Safe, Aim: 300 * time.Millisecond, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5}
		if c.Method != "" && c.Method != "GET" {
			r.Effect, r.KeyTTL = policy.Keyed, 10*time.Second
		}
		policies = append(policies, r)
	}
	var servers []standin.ServerConfig
	for i := range n {
		servers = append(servers, standin.ServerConfig{ID: fmt.Sprint("box-", i+1), Zone: "clare", Cores: 4, QueueSize: 256, ServiceTimeFromCost: true})
	}
	return demo.StartEnvironment(policies, servers, 1, 8192)
}

// mergeReports merges the JSON reports at paths and prints the result.
func mergeReports(cmd *cobra.Command, f loadFlags, paths []string) error {
	var reports []*load.Report
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var r load.Report
		if err := json.Unmarshal(text, &r); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		reports = append(reports, &r)
	}
	merged, err := load.Merge(load.Limits{}, reports...)
	if err != nil {
		return err
	}
	return outputReport(cmd, f, loadResult{Report: merged})
}

// outputReport prints a report. It returns an error if the report cannot be trusted.
func outputReport(cmd *cobra.Command, f loadFlags, out loadResult) error {
	if f.html != "" {
		file, err := os.Create(f.html)
		if err != nil {
			return err
		}
		if err = errors.Join(out.HTML(file, "Load on "+f.target), file.Close()); err != nil {
			return err
		}
	}
	w := cmd.OutOrStdout()
	if f.json {
		text, err := json.Marshal(out)
		if err != nil {
			return err
		}
		fmt.Fprintln(w, string(text))
	} else {
		printReport(w, out)
	}
	if !out.Trusted {
		return exitError{exitUntrusted, "the run is not to be trusted"}
	}
	return nil
}

// printReport prints a report as text.
func printReport(w io.Writer, out loadResult) {
	fmt.Fprintln(w, out.Verdict)
	fmt.Fprintf(w, "not sent: %d overdue, %d with too many open; this process stalled %d times, for up to %.1f ms\n", out.Late, out.OverLimit, out.Pauses, out.MaxPauseMs)
	fmt.Fprintf(w, "%-20s %8s %8s %8s %9s %9s %9s %9s %9s  %s\n", "class", "first", "tries", "answered", "p50 ms", "p90", "p99", "p99.9", "max", "tries ended")
	for _, name := range out.ClassNames() {
		t := out.Classes[name]
		at := func(p float64) float64 { return float64(t.Corrected.Percentile(p).Microseconds()) / 1000 }
		fmt.Fprintf(w, "%-20s %8d %8d %8d %9.2f %9.2f %9.2f %9.2f %9.2f  %v\n", name, t.FirstTries, t.Tries, t.Answered, at(50), at(90), at(99), at(99.9), at(100), t.Outcomes)
	}
	if c := out.Replay; c != nil {
		fmt.Fprintf(w, "replay: class mix differs by at most %.3f points; %d retries, %d recorded; arrivals late by p50 %v, p99 %v, max %v\n",
			c.MaxDifference, c.Retries[0], c.Retries[1], c.ArrivalError.Percentile(50), c.ArrivalError.Percentile(99), c.ArrivalError.Percentile(100))
	}
}

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

// exitError ends the program with a status of its own.
type exitError struct {
	code int
	text string
}

func (e exitError) Error() string { return e.text }

// exitUntrusted is the exit status of a run that is not to be trusted.
const exitUntrusted = 3

type loadFlags struct {
	target, plan, trace, html, merge string
	standin                          int
	speed                            float64
	json, quiet                      bool
	timeout                          time.Duration
}

// loadCommand returns the load generator.
func loadCommand() *cobra.Command {
	var f loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Send load by a plan or a trace, and tell what became of it and whether that can be trusted",
		Long: "load sends requests on a schedule that waits for nobody, by --plan FILE (TOML) or as --trace FILE has recorded them, to --target URL\n" +
			"or to --standin N boxes with a sidecar before them. Times count from when a request was to be sent. What is due too late is not\n" +
			"sent: it would be a burst that no client has made. Where the generator itself was late the report says so on its first line, and\n" +
			"the exit status is 3. --merge puts the --json reports of several workers together.",
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
	c.Flags().StringVar(&f.target, "target", "", "where requests go, such as http://127.0.0.1:8080")
	c.Flags().IntVar(&f.standin, "standin", 0, "start so many stand-in boxes and a sidecar in this process, and send there")
	c.Flags().StringVar(&f.plan, "plan", "", "a plan")
	c.Flags().StringVar(&f.trace, "trace", "", "a trace; see quillfront trace")
	c.Flags().Float64Var(&f.speed, "speed", 1, "how many times as fast a trace is replayed")
	c.Flags().DurationVar(&f.timeout, "timeout", 2*time.Second, "of a request of a trace")
	c.Flags().BoolVar(&f.json, "json", false, "print one JSON object at the end, and nothing else")
	c.Flags().BoolVar(&f.quiet, "quiet", false, "print no progress")
	c.Flags().StringVar(&f.html, "html", "", "write a report of one file there")
	c.Flags().StringVar(&f.merge, "merge", "", "put reports together: this one and those behind the flags")
	return c
}

// loadResult is what is printed with --json.
type loadResult struct {
	*load.Report
	Replay *load.Comparison `json:"replay,omitempty"`
}

func runLoad(cmd *cobra.Command, f loadFlags) error {
	if (f.target == "") == (f.standin == 0) {
		return errors.New("one of --target and --standin is needed")
	}
	if (f.plan == "") == (f.trace == "") {
		return errors.New("one of --plan and --trace is needed")
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

// openStage starts boxes and a sidecar for classes: those that bring keys are keyed.
func openStage(n int, classes []load.Class) (*demo.Environment, error) {
	if n < 1 || n > 100 {
		return nil, fmt.Errorf("--standin: %d boxes are outside 1 to 100", n)
	}
	var rules []policy.Class
	for _, c := range classes {
		r := policy.Class{Name: c.Name, Effect: policy.Safe, Aim: 300 * time.Millisecond, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5}
		if c.Method != "" && c.Method != "GET" {
			r.Effect, r.KeyTTL = policy.Keyed, 10*time.Second
		}
		rules = append(rules, r)
	}
	var boxes []standin.ServerConfig
	for i := range n {
		boxes = append(boxes, standin.ServerConfig{ID: fmt.Sprint("box-", i+1), Zone: "clare", Cores: 4, QueueSize: 256, ServiceTimeFromCost: true})
	}
	return demo.StartEnvironment(rules, boxes, 1, 8192)
}

func mergeReports(cmd *cobra.Command, f loadFlags, paths []string) error {
	var all []*load.Report
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var r load.Report
		if err := json.Unmarshal(text, &r); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, &r)
	}
	sum, err := load.Merge(load.Limits{}, all...)
	if err != nil {
		return err
	}
	return outputReport(cmd, f, loadResult{Report: sum})
}

// outputReport prints a report; its error tells that it is not to be trusted.
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

func printReport(w io.Writer, out loadResult) {
	fmt.Fprintln(w, out.Verdict)
	fmt.Fprintf(w, "not sent: %d too late, %d with too many open; this process stood still %d times, for up to %.1f ms\n", out.Late, out.OverLimit, out.Pauses, out.MaxPauseMs)
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

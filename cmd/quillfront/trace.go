package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"quillfront/internal/trace"
)

// traceCommand returns what makes, shows and changes traces.
func traceCommand() *cobra.Command {
	c := &cobra.Command{Use: "trace", Short: "Make traces of access logs and HAR captures, show them, cut and scale them"}
	c.AddCommand(traceImportCommand(), traceShowCommand(), traceCutCommand(), traceScaleCommand())
	return c
}

// writeAtomically has f writeAtomically a file, which is whole or not there.
func writeAtomically(path string, f func(io.Writer) error) error {
	if path == "" {
		return errors.New("-o: where to write is not set")
	}
	out, err := os.CreateTemp(filepath.Dir(path), ".quillfront-*")
	if err != nil {
		return err
	}
	defer os.Remove(out.Name())
	if err := errors.Join(f(out), out.Close()); err != nil {
		return err
	}
	return os.Rename(out.Name(), path)
}

func traceImportCommand() *cobra.Command {
	var out, rules, format, nginx, apache, fields string
	var strict, began bool
	c := &cobra.Command{
		Use:   "import FILE...",
		Short: "Make a trace of access logs and HAR captures, merged in time",
		Long: "import reads files, compressed by gzip or not, and writes what came when. A name that ends in .har is a HAR 1.2 capture; logs are of\n" +
			"--format common, combined or json, or as --nginx (a log_format string) or --apache (a LogFormat string) says. Headers, cookies and\n" +
			"parameters are dropped, but for what --rules keeps. What cannot be read is counted and told; with --strict it is an error.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			r, err := trace.LoadRules(rules)
			if err != nil {
				return err
			}
			log, err := trace.NewParser(trace.Format{Name: format, Nginx: nginx, Apache: apache, Fields: fields, StartTimes: began}, r.Zone)
			if err != nil {
				return err
			}
			var files []trace.File
			for _, path := range paths {
				name := strings.TrimSuffix(path, ".gz")
				files = append(files, trace.File{
					Name: path, Open: func() (io.ReadCloser, error) { return os.Open(path) }, HAR: strings.HasSuffix(name, ".har"), Parser: log,
				})
			}
			var rep *trace.Report
			err = writeAtomically(out, func(w io.Writer) error {
				var err error
				if rep, err = trace.Import(files, r, w); err == nil && strict && rep.Unreadable > 0 {
					err = fmt.Errorf("%d records cannot be read, the first: %s:%d: %s", rep.Unreadable, rep.Errors[0].File, rep.Errors[0].Line, rep.Errors[0].Reason)
				}
				return err
			})
			if rep != nil {
				printImport(cmd.OutOrStdout(), rep)
			}
			return err
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "the trace")
	c.Flags().StringVar(&rules, "rules", "", "a TOML file of classes and what is kept")
	c.Flags().StringVar(&format, "format", "combined", "of logs: common, combined or json")
	c.Flags().StringVar(&nginx, "nginx", "", "a log_format string, in place of --format")
	c.Flags().StringVar(&apache, "apache", "", "a LogFormat string, in place of --format")
	c.Flags().StringVar(&fields, "fields", "time=time,method=method,target=path,status=status,took_s=duration,request_id=request_id,key=idempotency_key,addr=client",
		"of --format json: what stands where")
	c.Flags().BoolVar(&began, "began", false, "times in --format json are those of the begin of a request")
	c.Flags().BoolVar(&strict, "strict", false, "what cannot be read is an error")
	return c
}

func printImport(w io.Writer, r *trace.Report) {
	fmt.Fprintf(w, "%d records read, %d arrivals from %s to %s\n", r.Records, r.Entries, r.From.UTC().Format(time.RFC3339), r.To.UTC().Format(time.RFC3339))
	fmt.Fprintf(w, "%d logged in several files, %d without a class, %d cannot be read, %d leaps back in time, %d spread over their second\n",
		r.Duplicates, r.Unclassified, r.Unreadable, r.BackwardJumps, r.WholeSeconds)
	for _, s := range r.Skews {
		switch {
		case s.Reference != "":
			fmt.Fprintf(w, "%s: its clock is held to be ahead by %v: median of %d requests shared with %s, half of them within %v\n", s.File, s.Offset, s.Shared, s.Reference, s.Spread)
		case len(r.Skews) > 1:
			fmt.Fprintf(w, "%s: its clock is taken as it is\n", s.File)
		}
	}
	if h := r.HAR; h.Entries > 0 {
		fmt.Fprintf(w, "HAR: %d entries, %d pages, %d aborted, %d redirects, %d bodies, %d of them truncated\n", h.Entries, h.Pages, h.Aborted, h.Redirects, h.Bodies, h.Truncated)
	}
	for _, rule := range slices.Sorted(maps.Keys(r.Retries)) {
		fmt.Fprintf(w, "%d retries by: %s\n", r.Retries[rule], rule)
	}
	for _, f := range r.Errors {
		fmt.Fprintf(w, "%s:%d: %s\n", f.File, f.Line, f.Reason)
	}
}

func traceShowCommand() *cobra.Command {
	return &cobra.Command{
		Use: "show TRACE", Short: "Tell what a trace holds", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			in, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer in.Close()
			s, err := trace.Summarize(in)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			w := cmd.OutOrStdout()
			fmt.Fprintf(w, "%d arrivals in %v from %s, of %d clients\n", s.Entries, s.Duration, s.Header.Origin.UTC().Format(time.RFC3339), s.Clients)
			for _, n := range s.Header.Notes {
				fmt.Fprintln(w, n)
			}
			for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
				fmt.Fprintf(w, "%-24s %8d  %5.1f %%\n", name, s.Classes[name], 100*float64(s.Classes[name])/float64(max(s.Entries, 1)))
			}
			buckets := trace.Downsample(s.PerSecond, 72)
			fmt.Fprintf(w, "rate  %s  up to %d in %.3g s\n", trace.Sparkline(buckets), slices.Max(append(buckets, 0)), float64(len(s.PerSecond))/float64(max(len(buckets), 1)))
			for _, rule := range slices.Sorted(maps.Keys(s.Retries)) {
				fmt.Fprintf(w, "%d retries by: %s\n", s.Retries[rule], rule)
			}
			for _, g := range s.Gaps {
				if g.Duration > time.Second {
					fmt.Fprintf(w, "nothing for %v from %v on\n", g.Duration, g.From)
				}
			}
			return nil
		},
	}
}

// transformTrace has f copy a trace.
func transformTrace(in, out string, f func(io.Reader, io.Writer) (int, error)) (n int, err error) {
	r, err := os.Open(in)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	err = writeAtomically(out, func(w io.Writer) error {
		n, err = f(r, w)
		return err
	})
	return n, err
}

func traceCutCommand() *cobra.Command {
	var out string
	var from, to time.Duration
	c := &cobra.Command{
		Use: "cut TRACE", Short: "Copy a part of a trace", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := transformTrace(args[0], out, func(r io.Reader, w io.Writer) (int, error) { return trace.Cut(r, w, from, to) })
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%d arrivals\n", n)
			}
			return err
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "the trace that is written")
	c.Flags().DurationVar(&from, "from", 0, "from the begin")
	c.Flags().DurationVar(&to, "to", 7*24*time.Hour, "up to")
	return c
}

func traceScaleCommand() *cobra.Command {
	var out string
	var by float64
	c := &cobra.Command{
		Use: "scale TRACE", Short: "Copy a trace at a multiple of its rate", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := transformTrace(args[0], out, func(r io.Reader, w io.Writer) (int, error) { return trace.Scale(r, w, by) })
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%d arrivals\n", n)
			}
			return err
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "the trace that is written")
	c.Flags().Float64Var(&by, "by", 1, "the multiple")
	return c
}

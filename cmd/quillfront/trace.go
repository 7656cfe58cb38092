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

// traceCommand returns the command that imports, shows, cuts and scales traces.
func traceCommand() *cobra.Command {
	c := &cobra.Command{Use: "trace", Short: "Import traces from access logs and HAR captures, and show, cut or scale them"}
	c.AddCommand(traceImportCommand(), traceShowCommand(), traceCutCommand(), traceScaleCommand())
	return c
}

// writeAtomically creates the file at path with what f writes. If f fails, no file is left at path.
func writeAtomically(path string, f func(io.Writer) error) error {
	if path == "" {
		return errors.New("-o: the output file is not set")
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

// traceImportCommand returns the command that converts access logs and HAR captures to a trace.
func traceImportCommand() *cobra.Command {
	var out, rules, format, nginx, apache, fields string
	var strict, began bool
	c := &cobra.Command{
		Use:   "import FILE...",
		Short: "Convert access logs and HAR captures to one trace, merged by time",
		Long: "import reads files, which may be compressed with gzip, and writes which request arrived when. A file name that ends in .har is a\n" +
			"HAR 1.2 capture; logs have the --format common, combined or json, or the one that --nginx (a log_format string) or --apache (a\n" +
			"LogFormat string) gives. Headers, cookies and parameters are dropped, except for those that --rules keeps. Records that cannot\n" +
			"be parsed are counted and reported; with --strict they are an error.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			r, err := trace.LoadRules(rules)
			if err != nil {
				return err
			}
			parser, err := trace.NewParser(trace.Format{Name: format, Nginx: nginx, Apache: apache, Fields: fields, StartTimes: began}, r.Zone)
			if err != nil {
				return err
			}
			var files []trace.File
			for _, path := range paths {
				name := strings.TrimSuffix(path, ".gz")
				files = append(files, trace.File{
					Name: path, Open: func() (io.ReadCloser, error) { return os.Open(path) }, HAR: strings.HasSuffix(name, ".har"), Parser: parser,
				})
			}
			var rep *trace.Report
			err = writeAtomically(out, func(w io.Writer) error {
				var err error
				if rep, err = trace.Import(files, r, w); err == nil && strict && rep.Unreadable > 0 {
					err = fmt.Errorf("%d records cannot be parsed, the first: %s:%d: %s", rep.Unreadable, rep.Errors[0].File, rep.Errors[0].Line, rep.Errors[0].Reason)
				}
				return err
			})
			if rep != nil {
				printImport(cmd.OutOrStdout(), rep)
			}
			return err
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "output file for the trace")
	c.Flags().StringVar(&rules, "rules", "", "a TOML file that defines classes and what is kept")
	c.Flags().StringVar(&format, "format", "combined", "format of the logs: common, combined or json")
	c.Flags().StringVar(&nginx, "nginx", "", "an nginx log_format string, instead of --format")
	c.Flags().StringVar(&apache, "apache", "", "an Apache LogFormat string, instead of --format")
	c.Flags().StringVar(&fields, "fields", "time=time,method=method,target=path,status=status,took_s=duration,request_id=request_id,key=idempotency_key,addr=client",
		"names of the fields for --format json")
	c.Flags().BoolVar(&began, "began", false, "times in --format json are when a request began")
	c.Flags().BoolVar(&strict, "strict", false, "fail on a record that cannot be parsed")
	return c
}

// printImport prints the report of an import.
func printImport(w io.Writer, r *trace.Report) {
	fmt.Fprintf(w, "%d records read, %d arrivals from %s to %s\n", r.Records, r.Entries, r.From.UTC().Format(time.RFC3339), r.To.UTC().Format(time.RFC3339))
	fmt.Fprintf(w, "%d logged in several files, %d without a class, %d cannot be parsed, %d jumps back in time, %d spread over their second\n",
		r.Duplicates, r.Unclassified, r.Unreadable, r.BackwardJumps, r.WholeSeconds)
	for _, s := range r.Skews {
		switch {
		case s.Reference != "":
			fmt.Fprintf(w, "%s: clock assumed to be ahead by %v: median of %d requests shared with %s, half of them within %v\n", s.File, s.Offset, s.Shared, s.Reference, s.Spread)
		case len(r.Skews) > 1:
			fmt.Fprintf(w, "%s: clock not corrected\n", s.File)
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

// traceShowCommand returns the command that summarizes a trace.
func traceShowCommand() *cobra.Command {
	return &cobra.Command{
		Use: "show TRACE", Short: "Summarize a trace", Args: cobra.ExactArgs(1),
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

// transformTrace writes the trace at in to out as f copies it, and returns the number of arrivals
// written.
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

// traceCutCommand returns the command that copies a time range of a trace.
func traceCutCommand() *cobra.Command {
	var out string
	var from, to time.Duration
	c := &cobra.Command{
		Use: "cut TRACE", Short: "Copy a time range of a trace", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := transformTrace(args[0], out, func(r io.Reader, w io.Writer) (int, error) { return trace.Cut(r, w, from, to) })
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%d arrivals\n", n)
			}
			return err
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "the trace that is written")
	c.Flags().DurationVar(&from, "from", 0, "start of the range, relative to the beginning of the trace")
	c.Flags().DurationVar(&to, "to", 7*24*time.Hour, "up to")
	return c
}

// traceScaleCommand returns the command that copies a trace at a multiple of its rate.
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
	c.Flags().Float64Var(&by, "by", 1, "factor to multiply the rate by")
	return c
}

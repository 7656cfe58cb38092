package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"quillfront/internal/demo"
)

// errRuleBroken makes the program exit with status 1 after a demo in which a rule was broken.
var errRuleBroken = errors.New("a rule was broken")

// demoCommand returns the command that demonstrates the balancer with stand-in servers.
func demoCommand() *cobra.Command {
	var o demo.Options
	asJSON := false
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Start stand-in servers and a sidecar in this process, and show how it handles faults",
		Long: "demo starts stand-in servers, a discovery service and a sidecar on loopback addresses in this process. It sends HTTP\n" +
			"requests while faults are injected: a server that returns errors, one that drains, a cold one, lost responses. It\n" +
			"ends with a report of the results, and exits with status 1 if one of the four rules was broken.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out, progress := cmd.OutOrStdout(), cmd.ErrOrStderr()
			o.Progress = progressPrinter(progress, isTerminal(progress))
			report, err := demo.Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			if isTerminal(progress) {
				fmt.Fprint(progress, "\r\x1b[K")
			}
			if asJSON {
				err = json.NewEncoder(out).Encode(report)
			} else {
				fmt.Fprintln(out)
				err = report.Write(out)
			}
			if err == nil && len(report.Violations) > 0 {
				err = fmt.Errorf("%w: %s", errRuleBroken, strings.Join(report.Violations, "; "))
			}
			return err
		},
	}
	cmd.Flags().DurationVar(&o.Duration, "for", 6*time.Second, "how long requests are sent")
	cmd.Flags().Float64Var(&o.Rate, "rate", 300, "requests a second")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the random generators")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	return cmd
}

// isTerminal reports whether w is a character device, as a terminal is.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// progressPrinter returns a function that writes progress: one line that is updated in place on a
// terminal, otherwise one line a second.
func progressPrinter(w io.Writer, terminal bool) func(demo.Progress) {
	last := time.Duration(-time.Second)
	return func(p demo.Progress) {
		line := fmt.Sprintf("%5.1f s  requests %d  served %d  refused %d  failed %d  open %d  p50 %.1f ms  p99 %.1f ms",
			p.At.Seconds(), p.Asked, p.Served, p.Refused, p.Failed, p.Open, p.P50.Seconds()*1000, p.P99.Seconds()*1000)
		if terminal {
			if p.Event != "" {
				fmt.Fprintf(w, "\r\x1b[K%5.1f s  %s\n", p.At.Seconds(), p.Event)
			}
			fmt.Fprintf(w, "\r\x1b[K%s", line)
			return
		}
		if p.Event != "" {
			fmt.Fprintf(w, "%5.1f s  %s\n", p.At.Seconds(), p.Event)
		}
		if p.At-last >= time.Second {
			last = p.At
			fmt.Fprintln(w, line)
		}
	}
}

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

// errRuleBroken makes the program end with 1 after a demo in which a rule broke; the account has said so already.
var errRuleBroken = errors.New("a rule broke")

// demoCommand is the first thing that a newcomer runs.
func demoCommand() *cobra.Command {
	var o demo.Options
	asJSON := false
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Start stand-in servers and a sidecar in this process, and watch it cope with trouble",
		Long: "demo starts stand-in boxes, a discovery and a sidecar on loopback addresses in this process, and sends real HTTP\n" +
			"requests through troubles: a box that errs, one that drains, a cold one, answers that get lost. It ends with\n" +
			"what became of them, and exits with 1 if one of the four rules broke.",
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
			if err == nil && len(report.Broken) > 0 {
				err = fmt.Errorf("%w: %s", errRuleBroken, strings.Join(report.Broken, "; "))
			}
			return err
		},
	}
	cmd.Flags().DurationVar(&o.For, "for", 6*time.Second, "how long requests come")
	cmd.Flags().Float64Var(&o.Rate, "rate", 300, "requests a second")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "of all chances")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	return cmd
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// progressPrinter writes progress: a line that changes on a terminal, else a line a second.
func progressPrinter(w io.Writer, terminal bool) func(demo.Progress) {
	last := time.Duration(-time.Second)
	return func(p demo.Progress) {
		line := fmt.Sprintf("%5.1f s  asked %d  served %d  refused %d  failed %d  open %d  p50 %.1f ms  p99 %.1f ms",
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

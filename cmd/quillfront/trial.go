package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"quillfront/internal/trial"
)

// trialCommand returns the command that runs several processes of this program and injects faults
// between them.
func trialCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "trial PLAN",
		Short: "Start several processes of this program, inject faults, and check their views of the membership",
		Long: "trial runs a plan, which is TOML such as trials/mixed.toml, on its own loopback addresses, and stops every process that\n" +
			"it started. It exits with status 1 if an invariant was violated.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			plan, err := trial.LoadPlan(args[0])
			if err != nil {
				return err
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			log := slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil))
			r, err := trial.Run(cmd.Context(), plan, trial.Program{Command: []string{executable}}, log)
			if err != nil {
				return err
			}
			if asJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				err = e.Encode(r)
			} else {
				err = printTrial(cmd.OutOrStdout(), r)
			}
			if err == nil && len(r.Failures) > 0 {
				return errors.New("the trial failed")
			}
			return err
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	return c
}

// printTrial prints the report of a trial as text.
func printTrial(w io.Writer, r *trial.Report) error {
	fmt.Fprintf(w, "%d processes, seed %d: all joined after %d ms\n", r.Processes, r.Seed, r.JoinedMs)
	if n := len(r.Detections); n > 0 {
		fmt.Fprintf(w, "killed for good: %d, detected by the first process after %d to %d ms, by the last after", n, r.Detections[0].FirstMs, r.Detections[n-1].FirstMs)
		last := int64(0)
		for _, d := range r.Detections {
			last = max(last, d.AllMs)
		}
		fmt.Fprintf(w, " %d ms at most\n", last)
	}
	for _, recovery := range r.Recoveries {
		fmt.Fprintf(w, "after %s: views agree after %d ms\n", recovery.Fault, recovery.Ms)
	}
	fmt.Fprintf(w, "verdicts: %d, false: %d, at most %d by one process on another\n", r.Verdicts, len(r.FalseVerdicts), r.MaxFlaps)
	fmt.Fprintf(w, "sent: %d bytes a second each, %d at most; processor: %.4f of a core each, %.4f at most\n", r.BytesMean, r.BytesMax, r.CPUMean, r.CPUMax)
	for _, failure := range r.Failures {
		fmt.Fprintf(w, "BROKEN: %s\n", failure)
	}
	_, err := fmt.Fprintf(w, "the test rig stalled for %d ms at most: trusted %v\n", r.StalledMs, r.Trusted)
	return err
}

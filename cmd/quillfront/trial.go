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

// trialCommand plays several processes of this program with faults between them.
func trialCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "trial PLAN",
		Short: "Start several processes of this program, put faults between them, and judge what they believe",
		Long: "trial plays a plan, which is TOML such as trials/mixed.toml, on loopback addresses of its own, and ends all that it has\n" +
			"started. It exits with 1 if something was broken that has to hold.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			plan, err := trial.LoadPlan(args[0])
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			log := slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil))
			r, err := trial.Run(cmd.Context(), plan, trial.Program{Command: []string{self}}, log)
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
				return errors.New("the trial is not passed")
			}
			return err
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "the report as JSON")
	return c
}

func printTrial(w io.Writer, r *trial.Report) error {
	fmt.Fprintf(w, "%d processes, seed %d: together after %d ms\n", r.Processes, r.Seed, r.JoinedMs)
	if n := len(r.Detections); n > 0 {
		fmt.Fprintf(w, "killed for good: %d, held for gone by the first after %d to %d ms, by the last after", n, r.Detections[0].FirstMs, r.Detections[n-1].FirstMs)
		last := int64(0)
		for _, d := range r.Detections {
			last = max(last, d.AllMs)
		}
		fmt.Fprintf(w, " %d ms at most\n", last)
	}
	for _, h := range r.Recoveries {
		fmt.Fprintf(w, "after %s: one view after %d ms\n", h.Fault, h.Ms)
	}
	fmt.Fprintf(w, "verdicts: %d, false: %d, of one process on another at most %d\n", r.Verdicts, len(r.FalseVerdicts), r.MaxFlaps)
	fmt.Fprintf(w, "sent: %d bytes a second each, %d at most; processor: %.4f of a core each, %.4f at most\n", r.BytesMean, r.BytesMax, r.CPUMean, r.CPUMax)
	for _, b := range r.Failures {
		fmt.Fprintf(w, "BROKEN: %s\n", b)
	}
	_, err := fmt.Fprintf(w, "the rig stood still for %d ms at most: trusted %v\n", r.StalledMs, r.Trusted)
	return err
}

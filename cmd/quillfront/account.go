package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"quillfront/internal/account"
)

// accountCommand returns the command that summarizes the accounts in the logs of sidecars.
func accountCommand() *cobra.Command {
	var cuts []time.Duration
	var servers bool
	c := &cobra.Command{
		Use:   "account LOG...",
		Short: "Summarize the accounts in the logs of a fleet of sidecars",
		Long: "account sums the per-second accounts in the logs of sidecars that run as `quillfront serve --account`, in total and by\n" +
			"phase, and prints Markdown tables.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, logs []string) error {
			var seconds []account.Second
			for _, name := range logs {
				f, err := os.Open(name)
				if err != nil {
					return err
				}
				bad, err := account.Read(f, func(s account.Second) { seconds = append(seconds, s) })
				f.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				if bad > 0 {
					fmt.Fprintf(cmd.ErrOrStderr(), "%s: %d account lines cannot be parsed\n", name, bad)
				}
			}
			if len(seconds) == 0 {
				return errors.New("no account found in the logs: do the sidecars run with --account?")
			}
			account.Print(cmd.OutOrStdout(), account.SumPhases(seconds, cuts), servers)
			return nil
		},
	}
	c.Flags().DurationSliceVar(&cuts, "cuts", nil, "end of each phase, relative to the first second logged, such as 6s,14s")
	c.Flags().BoolVar(&servers, "servers", false, "add a row for each server")
	return c
}

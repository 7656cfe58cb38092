package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"quillfront/internal/account"
)

// accountCommand returns the reader of accounts in sidecars' logs.
func accountCommand() *cobra.Command {
	var cuts []time.Duration
	var servers bool
	c := &cobra.Command{
		Use:   "account LOG...",
		Short: "Count over a fleet what its sidecars' logs account for",
		Long: "account sums up the accounts in the logs of sidecars that run as `quillfront serve --account`, over all of them and by\n" +
			"phases of the day, as tables in Markdown.",
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
					fmt.Fprintf(cmd.ErrOrStderr(), "%s: %d accounts cannot be read\n", name, bad)
				}
			}
			if len(seconds) == 0 {
				return errors.New("no log holds an account: do the sidecars run with --account?")
			}
			account.Print(cmd.OutOrStdout(), account.SumPhases(seconds, cuts), servers)
			return nil
		},
	}
	c.Flags().DurationSliceVar(&cuts, "cuts", nil, "where phases end, from the first second that is told, such as 6s,14s")
	c.Flags().BoolVar(&servers, "servers", false, "add a line for each server")
	return c
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"quillfront/internal/peering"
)

// maxResponseBytes limits the response body that is read from a management address.
const maxResponseBytes = 4 << 20

// membersCommand returns the command that lists the members that a process knows.
func membersCommand() *cobra.Command {
	var addr string
	var asJSON bool
	c := &cobra.Command{
		Use: "members --of ADDR", Short: "List the members that a process knows, read from its management address",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := fetch(cmd.Context(), "http://"+addr+"/api/members")
			if err != nil {
				return err
			}
			if asJSON {
				_, err := cmd.OutOrStdout().Write(text)
				return err
			}
			var v peering.View
			if err := json.Unmarshal(text, &v); err != nil {
				return fmt.Errorf("%s: %w", addr, err)
			}
			return printMembers(cmd.OutOrStdout(), &v)
		},
	}
	c.Flags().StringVar(&addr, "of", "", "management address of the process")
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	c.MarkFlagRequired("of")
	return c
}

// printMembers prints a view of the membership as a table.
func printMembers(w io.Writer, v *peering.View) error {
	notes := ""
	if v.Isolated {
		notes += ", isolated: no member answers it"
	}
	if v.Displaced {
		notes += ", displaced by a later process of the same name"
	}
	if v.Group > 0 {
		notes += fmt.Sprintf(", shares by %d", v.Group)
	}
	fmt.Fprintf(w, "%s: view %s, %d living%s\n", v.Self, v.Digest, v.Live, notes)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tSTATE\tADDRESS\tZONE\tEPOCH\tINCARNATION\tSINCE")
	for _, m := range v.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%v\n", m.Name, m.State, m.Address, m.Zone, m.Epoch, m.Incarnation, (time.Duration(m.SinceMs) * time.Millisecond).Round(time.Second))
	}
	return t.Flush()
}

// fetch returns the body of a GET request to a management address.
func fetch(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, fmt.Errorf("%s: the operator's file of this process has no [members] table", url)
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s: %s", url, resp.Status)
	}
	return text, err
}

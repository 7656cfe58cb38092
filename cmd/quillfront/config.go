package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"quillfront/internal/config"
	"quillfront/internal/mysql/proxy"
)

// configCommand returns the command that checks and shows an operator's file before it is used.
func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check or show an operator's file"}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check an operator's file as `serve --config` and SIGHUP do, and list what it enables",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := config.LoadOperator(args[0])
			if err != nil {
				return err
			}
			printOperator(cmd.OutOrStdout(), &o)
			return nil
		},
	})
	c.AddCommand(&cobra.Command{
		Use:   "show FILE",
		Short: "Print the effective configuration of an operator's file, including defaults",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := config.Show(args[0])
			if err == nil {
				_, err = io.WriteString(cmd.OutOrStdout(), text)
			}
			return err
		},
	})
	return c
}

// printOperator prints what an operator's file enables, one line for each item.
func printOperator(w io.Writer, o *config.Operator) {
	if o.Store != nil {
		fmt.Fprintf(w, "store: orders are remembered in %q, %s\n", o.Store.Dir, o.Store.Durability)
	}
	if o.Sites != nil {
		fmt.Fprintf(w, "sites: watched, by %d rules\n", len(o.Sites.Rules))
	}
	if m := o.Members; m != nil {
		fmt.Fprintf(w, "members: of %s at %s, a pause of up to %v is borne\n", m.Peers.Node.Cluster, m.Peers.Listen, m.Peers.Node.MaxPause())
	}
	if n := len(o.Routes); n > 0 {
		fmt.Fprintf(w, "routes: %d\n", n)
	}
	for _, p := range o.Pools {
		source := fmt.Sprintf("%d servers", len(p.Servers))
		switch {
		case p.Discovery != "":
			source = "the list of " + p.Discovery
		case p.File != "":
			source = "the file " + p.File
		case p.DNS != nil:
			source = "DNS of " + p.DNS.Name
		}
		fmt.Fprintf(w, "pool %s: %s, %d classes\n", p.Name, source, len(p.Classes))
	}
	for _, h := range o.HTTP {
		fmt.Fprintf(w, "http %s: at %s, by the routes\n", h.Name, h.Listen)
	}
	for _, s := range o.Streams {
		fmt.Fprintf(w, "stream %s: at %s, to pool %s as %s\n", s.Name, s.Listen, s.Pool, s.Class)
	}
	for _, m := range o.MySQL {
		users := fmt.Sprintf("%d users", len(m.Users))
		if m.Auth == proxy.AuthPassThrough {
			users = "whom servers let in"
		}
		fmt.Fprintf(w, "mysql %s: at %s, for %s, to pool %s as %s\n", m.Name, m.Listen, users, m.Pool, m.DefaultClass)
	}
}

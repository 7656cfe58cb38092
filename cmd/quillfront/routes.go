package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"quillfront/internal/config"
	"quillfront/internal/httpcall"
	"quillfront/routes"
)

// routesCommand returns the command that checks routes and explains how they handle a request.
func routesCommand() *cobra.Command {
	c := &cobra.Command{Use: "routes", Short: "Check the routes of an operator's file, or explain how they handle a request"}
	check := &cobra.Command{
		Use: "check FILE", Short: "Report every error in the routes",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			op, err := config.LoadOperator(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d routes, all reachable\n", len(op.Routes))
			return err
		},
	}
	explain := &cobra.Command{
		Use: "explain FILE METHOD URL", Short: "Show which route a request takes, and why",
		Args: cobra.ExactArgs(3),
	}
	headers := explain.Flags().StringArrayP("header", "H", nil, "a header of the request, as NAME: VALUE; may be repeated")
	explain.RunE = func(cmd *cobra.Command, args []string) error {
		op, err := config.LoadOperator(args[0])
		if err != nil {
			return err
		}
		return explainRoute(cmd.OutOrStdout(), op, args[1], args[2], *headers)
	}
	c.AddCommand(check, explain)
	return c
}

// explainRoute writes which route a request takes and how it is handled.
func explainRoute(w io.Writer, op config.Operator, method, address string, headers []string) error {
	u, err := url.Parse(address)
	if err != nil {
		return err
	}
	h := http.Header{}
	for _, line := range headers {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return fmt.Errorf("-H %q: want NAME: VALUE", line)
		}
		h.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	if _, err := httpcall.DecodePath(u.RequestURI()); err != nil {
		_, err := fmt.Fprintf(w, "400: %v\n", err)
		return err
	}
	table, err := routes.New(op.Routes)
	if err != nil {
		return err
	}
	found, err := table.Find(&routes.Request{Host: u.Host, Method: method, Target: u.RequestURI(), Header: h.Values})
	var methodErr *routes.MethodError
	switch {
	case errors.As(err, &methodErr):
		_, err = fmt.Fprintf(w, "405: %v\n", err)
		return err
	case errors.Is(err, routes.ErrNoRoute):
		_, err = fmt.Fprintln(w, "404: no route matches")
		return err
	case err != nil:
		_, err = fmt.Fprintf(w, "400: %v\n", err)
		return err
	}
	lines := found.Explain(h.Get("Idempotency-Key") != "")
	for _, line := range lines {
		if _, err := fmt.Fprintf(w, "%-8s %s\n", line.Name, line.Text); err != nil {
			return err
		}
	}
	return nil
}

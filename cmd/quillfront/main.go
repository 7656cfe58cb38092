// Command quillfront is a client-side load balancer. Without a subcommand it runs as a sidecar: it
// accepts requests of a client application and sends each to the server that the decision module
// selects.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/spf13/cobra"

	"quillfront/internal/config"
	"quillfront/internal/daemon"
	"quillfront/internal/shutdown"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, release := shutdown.WithEndTime(ctx)
	defer release()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "quillfront:", err)
		stop()
		code := 1
		if e := (exitError{}); errors.As(err, &e) {
			code = e.code
		}
		os.Exit(code)
	}
}

// rootCommand returns the command line with all subcommands.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "quillfront",
		Short: "A client-side load balancer",
		Long: "quillfront balances the requests of an application over a fleet of servers that service discovery lists.\n" +
			"Without a subcommand it runs serve, as the platform starts it. For a demonstration run: quillfront demo",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          serve,
	}
	served := &cobra.Command{
		Use:   "serve",
		Short: "Run as a sidecar with the configuration that GW_CONFIG names, or run the services of an operator's file",
		Long: "serve accepts requests at the configured address until SIGTERM; it then answers every request that it has accepted\n" +
			"and exits. SIGHUP reloads the configuration. GW_CONFIG names the file, which is JSON; GW_NAME, GW_LISTEN and\n" +
			"GW_DISCOVERY replace keys that it lacks. Without GW_CONFIG it runs the services in the file that --config names:\n" +
			"HTTP with routes, TCP streams, MySQL.",
		Args: cobra.NoArgs,
		RunE: serve,
	}
	served.Flags().String("config", "", "the operator's file, such as deploy/quillfront.toml; without it, everything that it can enable is off")
	served.Flags().Bool("account", false, "log an account once a second, for `quillfront account`")
	root.AddCommand(demoCommand(), storeCommand(), routesCommand(), accountCommand(), configCommand(), loadCommand(), traceCommand(), membersCommand(), trialCommand(), served)
	return root
}

// reloadSidecar reloads the platform's configuration and the operator's file. Both are applied, or
// neither if one is invalid.
func reloadSidecar(s *daemon.Sidecar, path string) error {
	cfg, err := config.Reload(os.Getenv, s.Config())
	if err != nil {
		return err
	}
	op, err := config.LoadOperator(path)
	if err != nil {
		return err
	}
	cfg.ApplyProcess(op.Process)
	return s.Reload(cfg, op)
}

// service is what serve runs: a sidecar, or the services of an operator's file alone.
type service interface {
	Run(context.Context) error
	ReloadFailed(error)
}

// serve runs a sidecar, or the services of the operator's file if GW_CONFIG is not set.
func serve(cmd *cobra.Command, _ []string) error {
	// Catch SIGHUP before anything else, as its default action would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	path, _ := cmd.Flags().GetString("config")
	var s service
	var reload func() error
	var err error
	if os.Getenv("GW_CONFIG") == "" && path != "" {
		s, reload, err = newStandalone(path)
	} else {
		s, reload, err = newSidecar(cmd, path)
	}
	if err != nil {
		return err
	}
	go func() {
		for range hangups {
			if err := reload(); err != nil {
				s.ReloadFailed(err)
			}
		}
	}()
	return s.Run(cmd.Context())
}

// newSidecar returns a sidecar and the function that reloads its configuration. The operator's file
// supplies what the platform's configuration lacks.
func newSidecar(cmd *cobra.Command, path string) (service, func() error, error) {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	op, err := config.LoadOperator(path)
	if err != nil {
		return nil, nil, err
	}
	// The platform gives the process at most one core, so one thread runs Go code unless the
	// operator's file sets more: further threads would only take turns on that core.
	runtime.GOMAXPROCS(max(1, op.Process.Cores))
	cfg.ApplyProcess(op.Process)
	op.LogAccount, _ = cmd.Flags().GetBool("account")
	s, err := daemon.New(cfg, op, daemon.NewLog(os.Stderr, op.Log))
	if err != nil {
		return nil, nil, err
	}
	return s, func() error { return reloadSidecar(s, path) }, nil
}

// newStandalone returns the services of the operator's file at path and the function that reloads
// them.
func newStandalone(path string) (service, func() error, error) {
	op, err := config.LoadOperator(path)
	if err != nil {
		return nil, nil, err
	}
	cfg, err := config.Standalone(os.Getenv, &op)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	if n := op.Process.Cores; n > 0 {
		runtime.GOMAXPROCS(n)
	}
	s, err := daemon.NewStandalone(cfg, op, daemon.NewLog(os.Stderr, op.Log))
	if err != nil {
		return nil, nil, err
	}
	return s, func() error {
		op, err := config.LoadOperator(path)
		if err != nil {
			return err
		}
		return s.Reload(op)
	}, nil
}

// Command quillfront is the balancer's program. Without a subcommand it serves: it is one sidecar, which takes a client
// application's requests and sends each to the server that the decision module picks.
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
	ctx, forget := shutdown.WithEndTime(ctx)
	defer forget()
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

// rootCommand returns the whole command line.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "quillfront",
		Short: "A client-side load balancer",
		Long: "quillfront balances an application's requests over a fleet of servers that a discovery lists.\n" +
			"Without a subcommand it serves, as the platform starts it. To see it at work: quillfront demo",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          serve,
	}
	served := &cobra.Command{
		Use:   "serve",
		Short: "Be the sidecar of one application, by the configuration that GW_CONFIG names, or serve an operator's file",
		Long: "serve takes requests at the address that the configuration gives, until SIGTERM; it then answers all that it\n" +
			"has taken and ends. SIGHUP reads the configuration again. GW_CONFIG names the file, which is JSON; GW_NAME,\n" +
			"GW_LISTEN and GW_DISCOVERY stand in for keys that it lacks. Without GW_CONFIG it serves what the file of --config\n" +
			"has: HTTP by routes, TCP streams, MySQL.",
		Args: cobra.NoArgs,
		RunE: serve,
	}
	served.Flags().String("config", "", "the operator's own file, such as deploy/quillfront.toml; without it all that it turns on is off")
	served.Flags().Bool("account", false, "log once a second what was done, for `quillfront account`")
	root.AddCommand(demoCommand(), storeCommand(), routesCommand(), accountCommand(), configCommand(), loadCommand(), traceCommand(), membersCommand(), trialCommand(), served)
	return root
}

// reloadSidecar reads both files again. They are taken over together or not at all.
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

// service is what serve runs, as the platform has started it or by the operator's file alone.
type service interface {
	Run(context.Context) error
	ReloadFailed(error)
}

// serve is one sidecar, or one process of the operator's own services.
func serve(cmd *cobra.Command, _ []string) error {
	// From the first moment on, as SIGHUP would otherwise end the program.
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	path, _ := cmd.Flags().GetString("config")
	var s service
	var again func() error
	var err error
	if os.Getenv("GW_CONFIG") == "" && path != "" {
		s, again, err = newStandalone(path)
	} else {
		s, again, err = newSidecar(cmd, path)
	}
	if err != nil {
		return err
	}
	go func() {
		for range hangUp {
			if err := again(); err != nil {
				s.ReloadFailed(err)
			}
		}
	}()
	return s.Run(cmd.Context())
}

// newSidecar makes a sidecar by the platform's file, and by the operator's for what that lacks.
func newSidecar(cmd *cobra.Command, path string) (service, func() error, error) {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	op, err := config.LoadOperator(path)
	if err != nil {
		return nil, nil, err
	}
	// The process has one core at most: more threads that run Go code would only take turns on it.
	runtime.GOMAXPROCS(max(1, op.Process.Cores))
	cfg.ApplyProcess(op.Process)
	op.LogAccount, _ = cmd.Flags().GetBool("account")
	s, err := daemon.New(cfg, op, daemon.NewLog(os.Stderr, op.Log))
	if err != nil {
		return nil, nil, err
	}
	return s, func() error { return reloadSidecar(s, path) }, nil
}

// newStandalone makes a process of the operator's services.
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

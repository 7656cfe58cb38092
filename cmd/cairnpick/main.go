// Command cairnpick is one real sidecar: it takes a client application's requests, and sends each to the
// upstream that the decision module picks.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"heathstack/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "cairnpick:", err)
		os.Exit(1)
	}
}

func run() error {
	// From the first moment on, as SIGHUP would otherwise end the program.
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	cfg, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	// The process has one core at most: more threads that run Go code would only take turns on it.
	runtime.GOMAXPROCS(1)
	// Guards against being killed for memory: the rest is for stacks of the runtime, code and the kernel.
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 / 4 * 3)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := sidecar.New(cfg, sidecar.NewLog(os.Stderr))
	if err != nil {
		return err
	}
	go func() {
		for range hangUp {
			if cfg, err := sidecar.LoadConfig(os.Getenv); err != nil {
				s.ReloadFailed(err)
			} else {
				s.Reload(cfg)
			}
		}
	}()
	return s.Run(ctx)
}

// Command dykeledge is a controller node of the cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"dykeledge/internal/config"
	"dykeledge/internal/coordination"
	"dykeledge/internal/transport"
)

// version of the service.
const version = "0.1.0"

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func run(args []string) int {
	var settings string
	root := &cobra.Command{
		Use:           "dykeledge",
		Short:         "A controller of the dykeledge cluster scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settings == "" {
				return &exitError{exitUsage, fmt.Errorf("--config FILE is missing; see dykeledge --help")}
			}
			cfg, err := config.Load(settings)
			if err != nil {
				return &exitError{exitUsage, err}
			}
			return serve(cmd.Context(), cfg)
		},
	}
	root.Flags().StringVar(&settings, "config", "", "settings `FILE` of this controller; runs until it is killed")
	root.AddCommand(&cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "dykeledge", version) },
	}, &cobra.Command{
		Use: "check FILE", Short: "Check a settings file and exit", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, a []string) error {
			if _, err := config.Load(a[0]); err != nil {
				return &exitError{exitUsage, err}
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	})
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetArgs(args)
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "dykeledge:", err)
		if e, ok := err.(*exitError); ok {
			return e.code
		}
		return exitUsage
	}
	return 0
}

func logLevel() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "debug":
		return slog.LevelDebug
	case "info":
		return slog.LevelInfo
	}
	return slog.LevelError
}

// tune keeps the runtime within what one controller may use.
func tune(cfg *config.Settings) {
	if cfg.Deployment.Resources.CPU <= 1 {
		runtime.GOMAXPROCS(1)
	}
	debug.SetMemoryLimit(int64(cfg.Deployment.Resources.MemMB * 0.6 * (1 << 20)))
	debug.SetGCPercent(200)
}

func serve(ctx context.Context, cfg *config.Settings) error {
	tune(cfg)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})).With("node", cfg.NodeName)
	public, err := net.Listen("tcp4", cfg.PublicAddr)
	if err != nil {
		return &exitError{exitFailed, fmt.Errorf("public_addr: %w", err)}
	}
	core := coordination.New(cfg, transport.NewState(cfg), transport.NewCloud(cfg), transport.NewWorkers(), log, coordination.DefaultTimes())
	go core.Run(ctx)
	log.Info("started", "version", version, "public", cfg.PublicAddr)
	if err := transport.NewPublicServer(core, cfg.Deployment.Resources.MaxConnections, log).Serve(public); err != nil {
		return &exitError{exitFailed, fmt.Errorf("public server: %w", err)}
	}
	return nil
}

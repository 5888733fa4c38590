// Command dykeledge is a controller controller of the cluster scheduler.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"dykeledge/internal/config"
	"dykeledge/internal/controller"
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
	var settings, features string
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
			on, err := config.LoadFeatures(features)
			if err != nil {
				return &exitError{exitUsage, err}
			}
			return serve(cmd.Context(), cfg, on)
		},
	}
	root.Flags().StringVar(&settings, "config", "", "settings `FILE` of this controller; runs until it is killed")
	root.Flags().StringVar(&features, "features", "", "`FILE` that switches on what is off otherwise, as deploy/features.toml")
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
	root.AddCommand(adminCommands()...)
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetArgs(args)
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "dykeledge:", err)
		var e *exitError
		if errors.As(err, &e) {
			return e.code
		}
		return exitUsage
	}
	return 0
}

func logLevel(name string) slog.Level {
	switch name {
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

func serve(ctx context.Context, cfg *config.Settings, features *config.Features) error {
	tune(cfg)
	level := &slog.LevelVar{}
	level.Set(logLevel(os.Getenv("LOG_LEVEL")))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("node", cfg.MemberName)
	public, err := net.Listen("tcp4", cfg.PublicAddr)
	if err != nil {
		return &exitError{exitFailed, fmt.Errorf("public_addr: %w", err)}
	}
	peer, err := net.Listen("tcp4", cfg.PeerListen)
	if err != nil {
		return &exitError{exitFailed, fmt.Errorf("peer_listen: %w", err)}
	}
	state, cloud := transport.NewState(cfg), transport.NewCloud(cfg)
	core := controller.New(cfg, state, cloud, transport.NewWorkers(), log, controller.DefaultTiming())
	state.Observe, cloud.Observe = core.Metrics().Observe, core.Metrics().Observe
	core.OnLogLevel = func(name string) {
		if name == "as_started" {
			name = os.Getenv("LOG_LEVEL")
		}
		level.Set(logLevel(name))
	}
	if features.View.Enabled {
		core.EnableView()
	}
	go core.Run(ctx)
	peers := transport.NewPeers(cfg, core, log)
	peers.Run(ctx)
	admin := peers.Split(peer)
	limits := transport.DefaultAdminLimits()
	limits.ViewReaders = features.View.Readers
	go func() {
		if err := transport.NewAdminServer(core, limits).Serve(admin); err != nil {
			log.Error("administration server ended", "err", err)
		}
	}()
	log.Info("started", "version", version, "public", cfg.PublicAddr)
	if err := transport.NewPublicServer(core, cfg.Deployment.Resources.MaxConnections, log).Serve(public); err != nil {
		return &exitError{exitFailed, fmt.Errorf("public server: %w", err)}
	}
	return nil
}

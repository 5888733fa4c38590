package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"

	"dykeledge/internal/config"
	"dykeledge/internal/controller"
	"dykeledge/internal/transport"
)

const (
	memoryLimitFraction = 0.6 // of the memory that the deployment grants to a controller; soft limit of the Go runtime
	gcPercent           = 200 // as of GOGC: the heap may grow by 200 % between two collections
	bytesPerMB          = 1 << 20
	logLevelVariable    = "LOG_LEVEL"
	logLevelAsStarted   = "as_started" // value of the operators' setting that restores the level given by the environment
)

// serve runs a controller. It returns only if the controller cannot listen or its public server ends. The
// program then exits, which ends all goroutines that are started here.
func serve(ctx context.Context, settings *config.Settings, features *config.Features) error {
	limitRuntime(settings)
	level := &slog.LevelVar{}
	level.Set(logLevel(os.Getenv(logLevelVariable)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("controller", settings.MemberName)
	publicListener, peerListener, err := openListeners(ctx, settings)
	if err != nil {
		return failed(err)
	}
	core := newController(settings, features, level, log)
	go core.Run(ctx)
	peers := transport.NewPeers(settings, core, log)
	peers.Run(ctx)
	adminListener := peers.Split(peerListener)
	limits := transport.DefaultAdminLimits()
	limits.ViewReaders = features.View.Readers
	go func() {
		if err := transport.NewAdminServer(core, limits).Serve(adminListener); err != nil {
			log.Error("administration server stopped serving", "err", err)
		}
	}()
	log.Info("started", "version", version, "public", settings.PublicAddr)
	if err := transport.NewPublicServer(core, settings.Deployment.Resources.MaxConnections, log).Serve(publicListener); err != nil {
		return failed(fmt.Errorf("public server: %w", err))
	}
	return nil
}

// openListeners opens the listeners of a controller's public and peer addresses. Errors name the setting.
func openListeners(ctx context.Context, settings *config.Settings) (public, peer net.Listener, err error) {
	var listenConfig net.ListenConfig
	if public, err = listenConfig.Listen(ctx, "tcp4", settings.PublicAddr); err != nil {
		return nil, nil, fmt.Errorf("public_addr: %w", err)
	}
	if peer, err = listenConfig.Listen(ctx, "tcp4", settings.PeerListen); err != nil {
		return nil, nil, fmt.Errorf("peer_listen: %w", err)
	}
	return public, peer, nil
}

// newController returns a controller that is connected to the state service, the cloud and the workers, and
// whose log level follows the operators' setting.
func newController(settings *config.Settings, features *config.Features, level *slog.LevelVar, log *slog.Logger) *controller.Controller {
	state, cloud := transport.NewStateClient(settings), transport.NewCloudClient(settings)
	core := controller.New(settings, state, cloud, transport.NewWorkerClient(), log, controller.DefaultTiming())
	state.Observe, cloud.Observe = core.Metrics().Observe, core.Metrics().Observe
	core.OnLogLevel = func(name string) {
		if name == logLevelAsStarted {
			name = os.Getenv(logLevelVariable)
		}
		level.Set(logLevel(name))
	}
	if features.View.Enabled {
		core.EnableView()
	}
	return core
}

// logLevel returns the level with the given name, and slog.LevelError for any other name.
func logLevel(name string) slog.Level {
	switch name {
	case "debug":
		return slog.LevelDebug
	case "info":
		return slog.LevelInfo
	}
	return slog.LevelError
}

// limitRuntime configures the Go runtime for the CPU and memory that the deployment grants to a controller.
func limitRuntime(settings *config.Settings) {
	if settings.Deployment.Resources.CPU <= 1 {
		runtime.GOMAXPROCS(1)
	}
	debug.SetMemoryLimit(int64(settings.Deployment.Resources.MemMB * memoryLimitFraction * bytesPerMB))
	debug.SetGCPercent(gcPercent)
}

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"dykeledge/internal/client"
	"dykeledge/internal/contexts"
	"dykeledge/internal/localcluster"
	"dykeledge/internal/report"
	"dykeledge/internal/textout"
	"dykeledge/internal/view"
	"dykeledge/internal/viewclient"
)

const (
	readyTimeout   = 30 * time.Second // for a started cluster to accept requests
	sampleInterval = 5 * time.Second  // between two samples of the recorded history
)

// upOptions holds the flags of the up command.
type upOptions struct {
	controllerProgram, featuresFile, dir, faultsFile string
	duration                                         time.Duration // 0: until interrupted
	machines                                         int
	seed                                             uint64
	speed                                            float64
}

func (a *app) upCommand() *cobra.Command {
	var options upOptions
	command := &cobra.Command{
		Use: "up", Short: "Run a whole cluster on this machine", Args: cobra.NoArgs,
		Long: "Run a whole cluster on this machine: three controllers, which are real processes of dykeledge, and in this process a\n" +
			"state service, a cloud, workers and a load balancer on loopback ports. Tasks are played, not run. It ends with\n" +
			"Ctrl-C or --for, and with it all that it started. Exit code 1: a rule of the protocol was broken, or a controller\n" +
			"ended by itself.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.up(cmd.Context(), cmd.OutOrStdout(), options)
		},
	}
	flags := command.Flags()
	flags.DurationVar(&options.duration, "for", 0, "end after this time (default: when interrupted)")
	flags.IntVar(&options.machines, "machines", 40, "how many machines the cloud has")
	flags.Uint64Var(&options.seed, "seed", 1, "of the machines' boot times, prices and troubles")
	flags.Float64Var(&options.speed, "speed", 1, "how many times as fast as stated machines boot, fetch images and work; controllers keep their time")
	flags.StringVar(&options.faultsFile, "fail", "", "`FILE` of troubles to bring about: see docs/dykectl.md")
	flags.StringVar(&options.controllerProgram, "controller", "", "the controller's `PROGRAM` (default: dykeledge beside this one, in target, or on the path)")
	flags.StringVar(&options.featuresFile, "features", "", "the controllers' features `FILE` (default: the view is on)")
	flags.StringVar(&options.dir, "dir", "", "`FOLDER` for settings, logs and history, kept afterwards (default: one that is removed)")
	return command
}

// findControllerProgram returns the path of the controller's program: the one named, or the first dykeledge
// found in this program's folder, in target, or on the PATH.
func findControllerProgram(named string) (string, error) {
	if named != "" {
		return exec.LookPath(named)
	}
	var tried []string
	if self, err := os.Executable(); err == nil {
		tried = append(tried, filepath.Join(filepath.Dir(self), "dykeledge"))
	}
	for _, program := range append(tried, "target/dykeledge", "dykeledge") {
		if found, err := exec.LookPath(program); err == nil {
			return filepath.Abs(found)
		}
	}
	return "", errors.New("no dykeledge program in this program's folder, in target or on the PATH: build it, or set --controller")
}

// toClusterOptions validates the flags and returns the options of the cluster that they describe.
func (o *upOptions) toClusterOptions() (clusterOptions localcluster.Options, err error) {
	switch {
	case o.machines < 1 || o.machines > 500:
		return clusterOptions, errors.New("--machines must be from 1 to 500")
	case !(o.speed >= 0.01 && o.speed <= 100):
		return clusterOptions, errors.New("--speed must be from 0.01 to 100")
	case o.duration < 0:
		return clusterOptions, errors.New("--for must not be negative")
	}
	clusterOptions = localcluster.Options{Machines: o.machines, Seed: o.seed, Speed: o.speed, Features: o.featuresFile}
	if clusterOptions.Program, err = findControllerProgram(o.controllerProgram); err != nil {
		return clusterOptions, err
	}
	if o.faultsFile != "" {
		if clusterOptions.Faults, err = localcluster.LoadSchedule(o.faultsFile); err != nil {
			return clusterOptions, err
		}
	}
	return clusterOptions, nil
}

// localCluster is a cluster that `dykectl up` runs, with its context in the configuration file.
type localCluster struct {
	cluster         *localcluster.Cluster
	contextName     string // name of the cluster's context
	configPath      string // path of the configuration file
	entry           contexts.Context
	previousContext string // name of the context that was current before
}

// up runs a cluster until ctx ends or the time of --for has passed, and prints a summary. A temporary folder
// is removed only if there was no error.
func (a *app) up(ctx context.Context, out io.Writer, options upOptions) (err error) {
	clusterOptions, err := options.toClusterOptions()
	if err != nil {
		return usageError(err)
	}
	local, err := a.newLocalCluster()
	if err != nil {
		return err
	}
	removeDir, err := options.makeDir()
	if err != nil {
		return failed(err)
	}
	defer func() {
		if err == nil { // the logs in the folder are needed to find the cause of an error
			err = removeDir()
		}
	}()
	if err := a.completeOptions(&clusterOptions, options.dir); err != nil {
		return failed(err)
	}
	var recording sync.WaitGroup
	defer recording.Wait()
	if local.cluster, err = localcluster.Start(ctx, clusterOptions); err != nil {
		return failed(err)
	}
	defer local.cluster.Stop()
	if err := awaitReady(ctx, local.cluster); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return failed(err)
	}
	if err := local.addContext(filepath.Join(options.dir, "history.jsonl")); err != nil {
		return failed(err)
	}
	defer func() {
		if removeErr := local.removeContext(); removeErr != nil && err == nil {
			err = failed(removeErr)
		}
	}()
	progress := textout.New(out) // write errors are ignored: the cluster runs on without its terminal
	local.printStart(progress, &options)
	if options.duration > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, options.duration)
		defer stop()
	}
	a.recordInBackground(ctx, &recording, local.cluster.Controllers, local.entry.History)
	<-ctx.Done()
	progress.Println("ending")
	return a.printSummary(out, local.cluster)
}

// newLocalCluster chooses the context name of a cluster to be started. It fails if a running cluster uses
// the name.
func (a *app) newLocalCluster() (*localCluster, error) {
	name := a.contextFlag
	if name == "" {
		name = "local"
	}
	path, err := a.configFilePath()
	if err != nil {
		return nil, err
	}
	file, err := contexts.Load(path)
	if err != nil {
		return nil, usageError(err)
	}
	if old, ok := file.Contexts[name]; ok && client.Ready(old.Users) {
		return nil, usageError(fmt.Errorf("cluster %q is already running and answers: choose another name with --context", name))
	}
	return &localCluster{contextName: name, configPath: path, previousContext: file.Current}, nil
}

// makeDir creates the folder for settings, logs and history. The function that it returns removes a temporary
// folder; a folder that --dir names is kept.
func (o *upOptions) makeDir() (remove func() error, err error) {
	if o.dir != "" {
		return func() error { return nil }, os.MkdirAll(o.dir, 0o700)
	}
	o.dir, err = os.MkdirTemp("", "dykectl-up-")
	return func() error { return os.RemoveAll(o.dir) }, err
}

// completeOptions sets the folder, the features file and the log in a cluster's options. Without a features
// file it writes one that enables the view.
func (a *app) completeOptions(options *localcluster.Options, dir string) error {
	if options.Features == "" {
		options.Features = filepath.Join(dir, "features.toml")
		if err := os.WriteFile(options.Features, []byte("[view]\nenabled = true\n"), 0o600); err != nil {
			return err
		}
	}
	options.Dir, options.Log = dir, a.log
	if options.Faults != nil {
		// Injected faults are logged whatever --log-level is.
		options.Log = slog.New(slog.NewTextHandler(a.stderr, nil))
	}
	return nil
}

// awaitReady waits up to readyTimeout until a cluster accepts requests.
func awaitReady(ctx context.Context, cluster *localcluster.Cluster) error {
	within, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return cluster.Ready(within, client.Ready)
}

// addContext adds the cluster's context to the configuration file and makes it the current one.
func (l *localCluster) addContext(history string) error {
	l.entry = contexts.Context{Users: l.cluster.UsersAddress, Nodes: l.cluster.Controllers, Uploads: l.cluster.UploadAddress, History: history}
	return contexts.Update(l.configPath, func(file *contexts.File) { file.Contexts[l.contextName], file.Current = l.entry, l.contextName })
}

// removeContext removes the cluster's context from the configuration file, unless another cluster uses the
// name by now. If it was the current context, the previous one becomes current again if it still exists.
func (l *localCluster) removeContext() error {
	return contexts.Update(l.configPath, func(file *contexts.File) {
		if file.Contexts[l.contextName].Users != l.entry.Users {
			return
		}
		delete(file.Contexts, l.contextName)
		if file.Current == l.contextName {
			file.Current = ""
		}
		if _, ok := file.Contexts[l.previousContext]; ok && file.Current == "" {
			file.Current = l.previousContext
		}
	})
}

// printStart prints the cluster's addresses and example commands.
func (l *localCluster) printStart(out *textout.Printer, options *upOptions) {
	controllers := l.cluster.Controllers
	out.Printf("cluster %s is up: 3 controllers, %d machines to rent\n", l.contextName, options.machines)
	out.Printf("  users    %s\n", l.cluster.UsersAddress)
	out.Printf("  nodes    %s %s %s\n", controllers[0], controllers[1], controllers[2])
	out.Printf("  uploads  %s\n", l.cluster.UploadAddress)
	out.Printf("  folder   %s\n", options.dir)
	out.Printf("try, in another terminal:\n  dykectl submit --team red --tasks 8 --estimate 30s\n  dykectl console\n")
}

// recordInBackground appends the history of a cluster to a file until ctx ends. The wait group recording
// counts its goroutines. If the history cannot be recorded, the error is only logged.
func (a *app) recordInBackground(ctx context.Context, recording *sync.WaitGroup, controllers []string, path string) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		a.log.Error("cannot open history file, not recording", "err", err)
		return
	}
	follower := viewclient.NewFollower(viewclient.NewHTTP(controllers), view.Operators, minViewInterval)
	recording.Go(func() {
		if err := follower.Run(ctx); err != nil {
			a.log.Error("view cannot be followed, history is no longer recorded", "err", err)
		}
	})
	recording.Go(func() {
		err := report.NewRecorder(file, sampleInterval).Run(ctx, follower)
		if err = errors.Join(err, file.Close()); err != nil {
			a.log.Error("writing history failed, recording stopped", "err", err)
		}
	})
}

// printSummary prints the statistics of a cluster's run. It returns an error if a rule of the
// protocol was violated or a controller exited unexpectedly.
func (a *app) printSummary(out io.Writer, cluster *localcluster.Cluster) error {
	simulation := cluster.Simulation
	stats := simulation.Stats()
	printer := textout.New(out) // write errors are ignored: violated rules are also returned as an error
	printer.Printf("%d tasks started, %d killed as a lease ran out; money %.3f; state service: %d requests, %d changes, %d over its rates; controllers ended by themselves: %d\n",
		stats.Started, stats.LeaseKills, simulation.CostSpent(), stats.Requests, stats.Writes, stats.OverRate, cluster.UnexpectedExits())
	broken := simulation.BrokenRules()
	for _, rule := range broken {
		printer.Println("BROKEN RULE", rule)
	}
	if len(broken)+cluster.UnexpectedExits() > 0 {
		return failed(fmt.Errorf("%d rules of the protocol were violated, %d controllers exited unexpectedly; logs are in %s", len(broken), cluster.UnexpectedExits(), cluster.Dir))
	}
	return nil
}

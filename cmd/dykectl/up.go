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

// How soon a cluster has to take requests, and how often it is recorded.
const (
	readyWithin = 30 * time.Second
	sampleEvery = 5 * time.Second
)

type upOptions struct {
	program, features, dir, faults string
	lasts                          time.Duration
	machines                       int
	seed                           uint64
	speed                          float64
}

func (a *app) upCommand() *cobra.Command {
	var mainUpOptions upOptions
	command := &cobra.Command{
		Use: "up", Short: "Run a whole cluster on this machine", Args: cobra.NoArgs,
		Long: "Run a whole cluster on this machine: three controllers, which are real processes of dykeledge, and in this process a\n" +
			"state service, a cloud, workers and a load balancer on loopback ports. Tasks are played, not run. It ends with\n" +
			"Ctrl-C or --for, and with it all that it started. Exit code 1: a rule of the protocol was broken, or a controller\n" +
			"ended by itself.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.up(cmd.Context(), cmd.OutOrStdout(), mainUpOptions)
		},
	}
	f := command.Flags()
	f.DurationVar(&mainUpOptions.lasts, "for", 0, "end after this time (default: when interrupted)")
	f.IntVar(&mainUpOptions.machines, "machines", 40, "how many machines the cloud has")
	f.Uint64Var(&mainUpOptions.seed, "seed", 1, "of the machines' boot times, prices and troubles")
	f.Float64Var(&mainUpOptions.speed, "speed", 1, "how many times as fast as stated machines boot, fetch images and work; controllers keep their time")
	f.StringVar(&mainUpOptions.faults, "fail", "", "`FILE` of troubles to bring about: see docs/dykectl.md")
	f.StringVar(&mainUpOptions.program, "controller", "", "the controller's `PROGRAM` (default: dykeledge beside this one, in target, or on the path)")
	f.StringVar(&mainUpOptions.features, "features", "", "the controllers' features `FILE` (default: the view is on)")
	f.StringVar(&mainUpOptions.dir, "dir", "", "`FOLDER` for settings, logs and history, kept afterwards (default: one that is removed)")
	return command
}

// controller finds the controller's program.
func controller(named string) (string, error) {
	if named != "" {
		return exec.LookPath(named)
	}
	var tried []string
	if self, err := os.Executable(); err == nil {
		tried = append(tried, filepath.Join(filepath.Dir(self), "dykeledge"))
	}
	for _, p := range append(tried, "target/dykeledge", "dykeledge") {
		if found, err := exec.LookPath(p); err == nil {
			return filepath.Abs(found)
		}
	}
	return "", errors.New("no dykeledge beside this program, in target or on the path: build it, or name it with --controller")
}

func (o *upOptions) check() (opts localcluster.Options, err error) {
	switch {
	case o.machines < 1 || o.machines > 500:
		return opts, errors.New("--machines is from 1 to 500")
	case !(o.speed >= 0.01 && o.speed <= 100):
		return opts, errors.New("--speed is from 0.01 to 100")
	case o.lasts < 0:
		return opts, errors.New("--for is a time above 0")
	}
	opts = localcluster.Options{Machines: o.machines, Seed: o.seed, Speed: o.speed, Features: o.features}
	if opts.Program, err = controller(o.program); err != nil {
		return opts, err
	}
	if o.faults != "" {
		if opts.Faults, err = localcluster.LoadSchedule(o.faults); err != nil {
			return opts, err
		}
	}
	return opts, nil
}

func (a *app) up(ctx context.Context, out io.Writer, mainUpOptions upOptions) (err error) {
	opts, err := mainUpOptions.check()
	if err != nil {
		return usage(err)
	}
	name := a.context
	if name == "" {
		name = "local"
	}
	path, err := a.path()
	if err != nil {
		return err
	}
	file, err := contexts.Load(path)
	if err != nil {
		return usage(err)
	}
	if old, ok := file.Contexts[name]; ok && client.Ready(old.Users) {
		return usage(fmt.Errorf("a cluster %q is there and answers: choose another name with --context", name))
	}
	if mainUpOptions.dir == "" {
		if mainUpOptions.dir, err = os.MkdirTemp("", "dykectl-up-"); err != nil {
			return failed(err)
		}
		defer func() {
			if err == nil { // what went wrong is in the logs
				err = os.RemoveAll(mainUpOptions.dir)
			}
		}()
	} else if err := os.MkdirAll(mainUpOptions.dir, 0o700); err != nil {
		return failed(err)
	}
	if opts.Features == "" {
		opts.Features = filepath.Join(mainUpOptions.dir, "features.toml")
		if err := os.WriteFile(opts.Features, []byte("[view]\nenabled = true\n"), 0o600); err != nil {
			return failed(err)
		}
	}
	opts.Dir, opts.Log = mainUpOptions.dir, a.log
	if opts.Faults != nil {
		// What is brought about is told, whatever else is not.
		opts.Log = slog.New(slog.NewTextHandler(a.errs, nil))
	}
	cluster, err := localcluster.Start(ctx, opts)
	if err != nil {
		return failed(err)
	}
	defer cluster.Stop()
	within, cancel := context.WithTimeout(ctx, readyWithin)
	err = cluster.Ready(within, client.Ready)
	cancel()
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		mainUpOptions.dir += " (kept)"
		return failed(err)
	}
	history := filepath.Join(mainUpOptions.dir, "history.jsonl")
	mine := contexts.Context{Users: cluster.Users, Nodes: cluster.Controllers, Uploads: cluster.Uploads, History: history}
	before := file.Current
	if err := contexts.Change(path, func(f *contexts.File) { f.Contexts[name], f.Current = mine, name }); err != nil {
		return failed(err)
	}
	defer func() {
		if e := contexts.Change(path, func(f *contexts.File) {
			if f.Contexts[name].Users != mine.Users {
				return // another cluster has the name by now
			}
			delete(f.Contexts, name)
			if f.Current == name {
				f.Current = ""
			}
			if _, ok := f.Contexts[before]; ok && f.Current == "" {
				f.Current = before
			}
		}); e != nil && err == nil {
			err = failed(e)
		}
	}()
	progress := textout.New(out) // a cluster goes on though its terminal is gone
	progress.Printf("cluster %s is up: 3 controllers, %d machines to rent\n  users    %s\n  nodes    %s %s %s\n  uploads  %s\n  folder   %s\ntry, in another terminal:\n"+
		"  dykectl submit --team red --tasks 8 --estimate 30s\n  dykectl console\n", name, mainUpOptions.machines, cluster.Users, cluster.Controllers[0], cluster.Controllers[1], cluster.Controllers[2], cluster.Uploads, mainUpOptions.dir)
	if mainUpOptions.lasts > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, mainUpOptions.lasts)
		defer stop()
	}
	a.record(ctx, cluster.Controllers, history)
	<-ctx.Done()
	progress.Println("ending")
	return a.sumUp(out, cluster)
}

// record writes the history of a cluster in the background.
func (a *app) record(ctx context.Context, nodes []string, path string) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		a.log.Error("nothing is recorded", "err", err)
		return
	}
	follow := viewclient.NewFollower(viewclient.NewHTTP(nodes), view.Operators, viewPause)
	go func() {
		if err := follow.Run(ctx); err != nil {
			a.log.Error("nothing is recorded any more", "err", err)
		}
	}()
	go func() {
		err := report.NewRecorder(file, sampleEvery).Run(ctx, follow)
		if err = errors.Join(err, file.Close()); err != nil {
			a.log.Error("nothing is recorded any more", "err", err)
		}
	}()
}

// sumUp tells what happened in a cluster's life.
func (a *app) sumUp(out io.Writer, cluster *localcluster.Cluster) error {
	w := cluster.Simulation
	s := w.Stats()
	told := textout.New(out) // broken rules come back as an error, whether or not they could be printed
	told.Printf("%d tasks started, %d killed as a lease ran out; money %.3f; state service: %d requests, %d changes, %d over its rates; controllers ended by themselves: %d\n",
		s.Started, s.LeaseKills, w.CostSpent(), s.Requests, s.Writes, s.Over, cluster.Ends())
	broken := w.BrokenRules()
	for _, b := range broken {
		told.Println("BROKEN RULE", b)
	}
	if len(broken)+cluster.Ends() > 0 {
		return failed(fmt.Errorf("%d rules were broken, %d controllers ended by themselves; logs are in %s", len(broken), cluster.Ends(), cluster.Dir))
	}
	return nil
}

// Command dykectl is the people's side of dykeledge: users' and operators' commands, a console,
// heartbeats, and a whole cluster on one machine.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"dykeledge/internal/contexts"
	"dykeledge/internal/textout"
)

// version of the commands.
const version = "0.1.0"

// Exit codes, as dykeledge has them.
const (
	exitFailed = 1
	exitUsage  = 2
)

type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func failed(err error) error { return &exitError{exitFailed, err} }
func usage(err error) error  { return &exitError{exitUsage, err} }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// app is what all commands share.
type app struct {
	config  string
	context string
	output  string
	level   string
	log     *slog.Logger
	errs    io.Writer
}

func run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	mainApp := &app{errs: errs, log: slog.New(slog.DiscardHandler)}
	root := &cobra.Command{
		Use: "dykectl", Short: "Use, watch and try out a dykeledge cluster", SilenceUsage: true, SilenceErrors: true,
		Long: "Use, watch and try out a dykeledge cluster.\n\nExit codes: 0 done, 1 failed, 2 wrong use.",
		PersistentPreRunE: func(*cobra.Command, []string) error {
			var level slog.Level
			if err := level.UnmarshalText([]byte(mainApp.level)); err != nil {
				return usage(errors.New("--log-level is error, warn, info or debug"))
			}
			mainApp.log = slog.New(slog.NewTextHandler(errs, &slog.HandlerOptions{Level: level}))
			if mainApp.output != "table" && mainApp.output != "json" {
				return usage(errors.New("--output is table or json"))
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&mainApp.config, "config", "", "configuration `FILE` (default: $DYKECTL_CONFIG, or dykeledge/dykectl.toml in your configuration folder)")
	flags.StringVar(&mainApp.context, "context", "", "`NAME` of the cluster in the configuration (default: the current one)")
	flags.StringVarP(&mainApp.output, "output", "o", "table", "table or json")
	flags.StringVar(&mainApp.level, "log-level", "warn", "error, warn, info or debug, to standard error")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp)) // the flag is there
	_ = root.RegisterFlagCompletionFunc("context", func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return mainApp.contextNames(), cobra.ShellCompDirectiveNoFileComp
	})
	root.AddCommand(&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(cmd *cobra.Command, _ []string) {
		_, _ = fmt.Fprintln(cmd.OutOrStdout(), "dykectl", version) // a terminal that is gone wants no answer
	}}, mainApp.upCommand(), mainApp.loadCommand(), mainApp.submitCommand(), mainApp.statusCommand(), mainApp.cancelCommand(), mainApp.showCommand(), mainApp.consoleCommand(),
		mainApp.recordCommand(), mainApp.reportCommand(), mainApp.configCommand(), mainApp.scaleCommand())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	if err := root.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(errs, "dykectl:", strings.ReplaceAll(err.Error(), "\n", " ")) // the exit code stays
		var e *exitError
		if errors.As(err, &e) {
			return e.code
		}
		return exitUsage
	}
	return 0
}

func (a *app) path() (string, error) {
	if a.config != "" {
		return a.config, nil
	}
	p, err := contexts.Path()
	if err != nil {
		return "", usage(err)
	}
	return p, nil
}

func (a *app) file() (*contexts.File, error) {
	p, err := a.path()
	if err != nil {
		return nil, err
	}
	f, err := contexts.Load(p)
	if err != nil {
		return nil, usage(err)
	}
	return f, nil
}

// cluster is the context that is meant.
func (a *app) cluster() (string, contexts.Context, error) {
	f, err := a.file()
	if err != nil {
		return "", contexts.Context{}, err
	}
	c, err := f.Get(a.context)
	if err != nil {
		return "", c, usage(err)
	}
	if a.context != "" {
		return a.context, c, nil
	}
	return f.Current, c, nil
}

func (a *app) contextNames() []string {
	f, err := a.file()
	if err != nil {
		return nil
	}
	var names []string
	for n := range f.Contexts {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// print writes v as JSON, or as a table made of titles and rows.
func (a *app) print(w io.Writer, v any, titles []string, rows [][]string) error {
	if a.output == "json" {
		return json.NewEncoder(w).Encode(v)
	}
	table := textout.NewTable(w, 0)
	table.Println(strings.Join(titles, "\t"))
	for _, r := range rows {
		table.Println(strings.Join(r, "\t"))
	}
	return table.Flush()
}

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

// version is the version that dykectl version prints.
const version = "0.1.0"

// Exit codes, the same as those of dykeledge.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// exitError is an error with the exit code that the program returns for it.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// failed wraps the error of a command that was used correctly but did not succeed.
func failed(err error) error { return &exitError{exitFailed, err} }

// usageError wraps an error in the arguments, the flags or the configuration file.
func usageError(err error) error { return &exitError{exitUsage, err} }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// app holds the flags and the log that all commands share.
type app struct {
	configFlag  string // path of the configuration file; "": the default path
	contextFlag string // name of a context; "": the current one
	output      string // outputTable or outputJSON
	logLevel    string // minimum level of the log
	log         *slog.Logger
	stderr      io.Writer
}

// run executes the command that args name and returns the exit code. An error
// without an exit code, such as one from parsing the command line, counts as a usage error.
func run(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{stderr: errs, log: slog.New(slog.DiscardHandler)}
	root := a.rootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(errs, "dykectl:", strings.ReplaceAll(err.Error(), "\n", " ")) // a failed write does not change the exit code
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitUsage
}

func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "dykectl", Short: "Use, watch and try out a dykeledge cluster", SilenceUsage: true, SilenceErrors: true,
		Long:              "Use, watch and try out a dykeledge cluster.\n\nExit codes: 0 done, 1 failed, 2 wrong use.",
		PersistentPreRunE: func(*cobra.Command, []string) error { return a.checkFlags() },
	}
	flags := root.PersistentFlags()
	flags.StringVar(&a.configFlag, "config", "", "configuration `FILE` (default: $DYKECTL_CONFIG, or dykeledge/dykectl.toml in your configuration folder)")
	flags.StringVar(&a.contextFlag, "context", "", "`NAME` of the cluster in the configuration (default: the current one)")
	flags.StringVarP(&a.output, "output", "o", outputTable, "table or json")
	flags.StringVar(&a.logLevel, "log-level", "warn", "error, warn, info or debug, to standard error")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp)) // fails only if the flag is not defined
	_ = root.RegisterFlagCompletionFunc("context", func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return a.contextNames(), cobra.ShellCompDirectiveNoFileComp
	})
	root.AddCommand(versionCommand(), a.upCommand(), a.loadCommand(), a.submitCommand(), a.statusCommand(), a.cancelCommand(), a.showCommand(),
		a.consoleCommand(), a.recordCommand(), a.reportCommand(), a.configCommand(), a.scaleCommand())
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(cmd *cobra.Command, _ []string) {
		_, _ = fmt.Fprintln(cmd.OutOrStdout(), "dykectl", version) // a failed write to the terminal is ignored
	}}
}

// checkFlags checks the persistent flags and creates the log.
func (a *app) checkFlags() error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(a.logLevel)); err != nil {
		return usageError(errors.New("--log-level is error, warn, info or debug"))
	}
	a.log = slog.New(slog.NewTextHandler(a.stderr, &slog.HandlerOptions{Level: level}))
	if a.output != outputTable && a.output != outputJSON {
		return usageError(errors.New("--output is table or json"))
	}
	return nil
}

// configFilePath returns the path of the configuration file.
func (a *app) configFilePath() (string, error) {
	if a.configFlag != "" {
		return a.configFlag, nil
	}
	p, err := contexts.Path()
	if err != nil {
		return "", usageError(err)
	}
	return p, nil
}

// loadConfig reads the configuration file.
func (a *app) loadConfig() (*contexts.File, error) {
	p, err := a.configFilePath()
	if err != nil {
		return nil, err
	}
	f, err := contexts.Load(p)
	if err != nil {
		return nil, usageError(err)
	}
	return f, nil
}

// selectedContext returns the name and the content of the context that --context names, or of the current one.
func (a *app) selectedContext() (string, contexts.Context, error) {
	f, err := a.loadConfig()
	if err != nil {
		return "", contexts.Context{}, err
	}
	c, err := f.Get(a.contextFlag)
	if err != nil {
		return "", c, usageError(err)
	}
	if a.contextFlag != "" {
		return a.contextFlag, c, nil
	}
	return f.Current, c, nil
}

// contextNames returns the sorted names of the contexts, or none if the configuration file cannot be read.
func (a *app) contextNames() []string {
	f, err := a.loadConfig()
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

// print writes v as JSON, or a table of titles and rows, depending on --output.
func (a *app) print(w io.Writer, v any, titles []string, rows [][]string) error {
	if a.output == outputJSON {
		return json.NewEncoder(w).Encode(v)
	}
	table := textout.NewTable(w, 0)
	table.Println(strings.Join(titles, "\t"))
	for _, r := range rows {
		table.Println(strings.Join(r, "\t"))
	}
	return table.Flush()
}

package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dykeledge/internal/config"
)

// version is the version that dykeledge version prints and that a controller logs at its start.
const version = "0.1.0"

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
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

// invalidUsage wraps an error in the arguments, the flags, or the settings or features file.
func invalidUsage(err error) error { return &exitError{exitUsage, err} }

func main() { os.Exit(run(os.Args[1:])) }

// run executes the command that args name and returns the exit code. An error without an exit code, such as
// one from parsing the command line, counts as a usage error.
func run(args []string) int {
	root := rootCommand()
	root.SetArgs(args)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "dykeledge:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitUsage
}

// rootCommand returns the root command, which runs a controller, with all other commands as subcommands.
func rootCommand() *cobra.Command {
	var settingsFile, featuresFile string
	root := &cobra.Command{
		Use:           "dykeledge",
		Short:         "A controller of the dykeledge cluster scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settingsFile == "" {
				return invalidUsage(errors.New("--config FILE is missing; see dykeledge --help"))
			}
			settings, err := config.Load(settingsFile)
			if err != nil {
				return invalidUsage(err)
			}
			features, err := config.LoadFeatures(featuresFile)
			if err != nil {
				return invalidUsage(err)
			}
			return serve(cmd.Context(), settings, features)
		},
	}
	root.Flags().StringVar(&settingsFile, "config", "", "settings `FILE` of this controller; runs until it is killed")
	root.Flags().StringVar(&featuresFile, "features", "", "`FILE` that switches on what is off otherwise, as deploy/features.toml")
	root.AddCommand(versionCommand(), checkCommand())
	root.AddCommand(adminCommands()...)
	root.CompletionOptions.DisableDefaultCmd = true
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), "dykeledge", version) // a failed write to the terminal is ignored
		},
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check a settings file and exit", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := config.Load(args[0]); err != nil {
				return invalidUsage(err)
			}
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), "ok") // a failed write is ignored: the exit code carries the result
			return nil
		},
	}
}

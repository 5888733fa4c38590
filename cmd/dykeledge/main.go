package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dykeledge/internal/config"
)

// version of the service.
const version = "0.1.0"

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// exitError is an error with the exit code that it ends the program with.
type exitError struct {
	code int
	err  error
}

// Error is the text of the error itself.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error itself.
func (e *exitError) Unwrap() error { return e.err }

// failed is the error of a command that was used rightly and did not succeed.
func failed(err error) error { return &exitError{exitFailed, err} }

// invalidUsage is the error of a command that was used wrongly.
func invalidUsage(err error) error { return &exitError{exitUsage, err} }

func main() { os.Exit(run(os.Args[1:])) }

// run runs the program with its arguments and returns the exit code.
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

// rootCommand runs a controller; all other commands are below it.
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
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), "dykeledge", version) // a terminal that is gone wants no answer
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
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), "ok") // the exit code says the same
			return nil
		},
	}
}

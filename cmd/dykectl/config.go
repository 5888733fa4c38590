package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"dykeledge/internal/contexts"
)

// configHelp is the help text of the config command, with an example of the configuration file.
const configHelp = `The configuration file names clusters:

  current = "harbour"

  [contexts.harbour]
  users = "10.0.0.1:8080"                       # the load balancer, or a node's public_addr
  nodes = ["10.0.0.11:8081", "10.0.0.12:8081"]  # each node's peer_listen
  team = "red"                                  # optional: show this team only
  history = "/var/lib/dykeledge/history.jsonl"  # optional: what dykectl record writes

dykectl up writes a context for the cluster that it runs.`

func (a *app) configCommand() *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "The configuration file and its contexts", Long: configHelp, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	command.AddCommand(&cobra.Command{Use: "check [FILE]", Short: "Check a configuration file and exit", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, err := a.configFilePath()
			if err != nil {
				return err
			}
			if len(args) > 0 {
				path = args[0]
			}
			f, err := contexts.Load(path)
			if err != nil {
				return usageError(err)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "ok: %s, %d contexts\n", path, len(f.Contexts))
			return err
		}}, &cobra.Command{Use: "contexts", Short: "List the clusters", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			file, err := a.loadConfig()
			if err != nil {
				return err
			}
			var rows [][]string
			for _, n := range slices.Sorted(maps.Keys(file.Contexts)) {
				entry, mark := file.Contexts[n], ""
				if n == file.Current {
					mark = "*"
				}
				rows = append(rows, []string{mark, n, entry.Users, strings.Join(entry.Nodes, ","), entry.Team})
			}
			return a.print(cmd.OutOrStdout(), file, []string{"", "NAME", "USERS", "NODES", "TEAM"}, rows)
		}}, &cobra.Command{Use: "use NAME", Short: "Choose the current cluster", Args: cobra.ExactArgs(1),
		ValidArgsFunction: func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return a.contextNames(), cobra.ShellCompDirectiveNoFileComp
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			path, err := a.configFilePath()
			if err != nil {
				return err
			}
			if !slices.Contains(a.contextNames(), args[0]) {
				return usageError(errors.New("no context " + args[0] + ": see dykectl config contexts"))
			}
			if err := contexts.Update(path, func(f *contexts.File) { f.Current = args[0] }); err != nil {
				return failed(err)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "current context is", args[0])
			return err
		}})
	return command
}
